/* Layout of the replicated state, shared by the files of st. */
#ifndef CONTROL_ST_IMPL_H
#define CONTROL_ST_IMPL_H

#include "control/enc.h"
#include "control/idx.h"
#include "control/st.h"

__BEGIN_DECLS

/* The result of a change, kept under its id. */
struct st_change {
	uint64_t digest;
	uint64_t value; /* version or job */
	uint8_t status;
	uint8_t id_len;
	char id[ST_NAME_MAX]; /* only id_len bytes are allocated */
};

struct st_changes {
	struct st_change **ring; /* ST_CHANGES_KEPT, allocated when used */
	size_t first, n;
	struct idx by_id;
};

struct st_gone {
	uint64_t epoch, index;
};

struct st {
	uint64_t index;
	uint64_t now_ms;
	Control__Config *config;
	struct st_changes config_changes, job_changes;

	struct st_job **jobs; /* by id */
	size_t njobs, capjobs;
	uint64_t last_job;
	uint64_t ended[ST_ENDED_KEPT]; /* ring of job ids, oldest first */
	size_t first_ended, nended;
	uint64_t evictions;

	struct st_worker **workers; /* by epoch */
	size_t nworkers, capworkers;
	struct idx worker_by_name;
	uint64_t worker_version;
	struct st_gone gone[ST_GONE_KEPT]; /* ring, oldest first */
	size_t first_gone, ngone;
	uint64_t gone_floor; /* changes up to here are forgotten */

	struct idx key_by_name;
	struct st_key *key_first, *key_last;

	struct st_result res;
	struct st_note *notes;
	size_t nnotes, capnotes;
};

/* st.c */
struct st_note *st_note(struct st *, enum st_note_kind, uint64_t id);
enum status st_fail(struct st *, enum status, const char *message);

/* st_config.c */
void st_config_init(struct st *);
void st_config_finish(struct st *);
void st_config_set(struct st *, const Control__ConfigSet *);
bool st_change_find(struct st *, struct st_changes *, struct str id,
    uint64_t digest, uint64_t *value);
void st_change_keep(struct st_changes *, struct str id, uint64_t digest,
    uint64_t value, enum status);
uint64_t st_change_digest(const void *msg);
void st_config_save(const struct st *, struct enc *);
void st_config_load(struct st *, struct dec *);

/* st_worker.c */
void st_worker_finish(struct st *);
void st_worker_apply_up(struct st *, const Control__WorkerUp *);
void st_worker_apply_lost(struct st *, uint64_t epoch);
void st_worker_apply_drain(struct st *, const Control__WorkerDrain *);
struct st_worker *st_worker_mut(struct st *, uint64_t epoch);
void st_worker_attach(struct st_worker *, uint64_t task);
void st_worker_detach(struct st_worker *, uint64_t task);
void st_worker_save(const struct st *, struct enc *);
void st_worker_load(struct st *, struct dec *);

/* st_job.c */
void st_job_finish(struct st *);
void st_job_submit(struct st *, const Control__JobSubmit *);
void st_job_cancel(struct st *, uint64_t id);
void st_job_fail(struct st *, uint64_t task);
void st_job_assign(struct st *, const Control__Assignment *);
void st_job_event(struct st *, uint64_t epoch, const Control__TaskEvent *);
/* The worker that had the task is gone. */
void st_job_lost(struct st *, uint64_t task);
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
