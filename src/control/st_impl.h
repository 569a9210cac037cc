/* Private structures and functions of the st module (st*.c). */
#ifndef CONTROL_ST_IMPL_H
#define CONTROL_ST_IMPL_H

#include "control/enc.h"
#include "control/idx.h"
#include "control/st.h"

__BEGIN_DECLS

/* The result of a change, kept under its change id to answer resends. */
struct st_change {
	uint64_t digest;
	uint64_t value; /* version or job */
	uint8_t status;
	uint8_t id_len;
	char id[ST_NAME_MAX_BYTES]; /* only id_len bytes are allocated */
};

/* The most recent results of one kind of change. */
struct st_changes {
	struct st_change **ring; /* ST_CHANGES_KEPT, allocated when used */
	size_t first, n;
	struct idx by_id;
};

/* An epoch that has ended, and the log index at which it did. */
struct st_ended_epoch {
	uint64_t epoch, index;
};

struct st {
	uint64_t index;
	uint64_t now_ms; /* latest time of a command, wall clock */
	Control__Config *config;
	struct st_changes config_changes, job_changes;

	struct st_job **jobs; /* by id */
	size_t njobs, capjobs;
	uint64_t last_job;
	/* Ring of job ids, oldest at first_ended_job. */
	uint64_t ended_jobs[ST_ENDED_JOBS_KEPT];
	size_t first_ended_job, nended_jobs;
	uint64_t evictions;

	struct st_worker **workers; /* by epoch */
	size_t nworkers, capworkers;
	struct idx worker_by_name;
	uint64_t worker_version;
	/* Ring, oldest at first_ended_epoch. */
	struct st_ended_epoch ended_epochs[ST_ENDED_EPOCHS_KEPT];
	size_t first_ended_epoch, nended_epochs;
	uint64_t ended_epochs_floor; /* index of the last one dropped */

	struct idx key_by_name;
	struct st_key *key_first, *key_last; /* by last change */

	struct st_result res; /* of the command being applied */
	struct st_effect *effects;
	size_t neffects, capeffects;
};

/* st.c */
struct st_effect *st_effect_add(struct st *, enum st_effect_kind, uint64_t id);
enum status st_fail(struct st *, enum status, const char *message);

/* st_config.c */
void st_config_init(struct st *);
void st_config_finish(struct st *);
void st_config_set(struct st *, const Control__ConfigSet *);
bool st_change_find(struct st *, struct st_changes *, struct str id,
    uint64_t digest, uint64_t *value);
void st_change_store(struct st_changes *, struct str id, uint64_t digest,
    uint64_t value, enum status);
uint64_t st_change_digest(const void *msg);
void st_config_save(const struct st *, struct enc *);
void st_config_load(struct st *, struct dec *);

/* st_worker.c */
void st_worker_finish(struct st *);
void st_worker_apply_up(struct st *, const Control__WorkerUp *);
void st_worker_apply_lost(struct st *, uint64_t epoch);
void st_worker_apply_drain(struct st *, const Control__WorkerDrain *);
struct st_worker *st_worker_find(struct st *, uint64_t epoch);
void st_worker_add_task(struct st_worker *, uint64_t task);
void st_worker_remove_task(struct st_worker *, uint64_t task);
void st_worker_save(const struct st *, struct enc *);
void st_worker_load(struct st *, struct dec *);

/* st_job.c */
void st_job_finish(struct st *);
void st_job_submit(struct st *, const Control__JobSubmit *);
void st_job_cancel(struct st *, uint64_t id);
void st_job_fail(struct st *, uint64_t task);
void st_task_assign(struct st *, const Control__Assignment *);
void st_task_event(struct st *, uint64_t epoch, const Control__TaskEvent *);
void st_task_requeue(struct st *, uint64_t task);
void st_job_save(const struct st *, struct enc *);
void st_job_load(struct st *, struct dec *);

/* st_key.c */
void st_key_finish(struct st *);
void st_key_claim(struct st *, const Control__KeyClaim *);
void st_key_done(struct st *, const Control__KeyDone *);
void st_key_expire(struct st *, uint64_t cutoff_ms);
void st_key_save(const struct st *, struct enc *);
void st_key_load(struct st *, struct dec *);

__END_DECLS

#endif
