/*
 * The replicated state ("st") of a group: configuration, jobs and tasks,
 * worker epochs and idempotency records. It changes only by st_apply, which is
 * deterministic: the same commands at the same log indexes give the same state
 * and the same results on every replica. The time is part of the commands.
 */
#ifndef CONTROL_ST_H
#define CONTROL_ST_H

#include "base/err.h"
#include "base/str.h"
#include "control/control.pb-c.h"

__BEGIN_DECLS

#define ST_TASK_BITS	     20
#define ST_JOB_TASKS_MAX     (1U << ST_TASK_BITS) /* of one job */
#define ST_CHANGES_KEPT	     4096  /* results by change id, per kind */
#define ST_ENDED_JOBS_KEPT   4096  /* ended jobs that can be queried */
#define ST_ENDED_EPOCHS_KEPT 1024  /* for incremental worker tables */
#define ST_BODY_MAX_BYTES    16384 /* body of a recorded answer */
#define ST_NAME_MAX_BYTES    128   /* of names, keys and change ids */
#define ST_SPEC_MAX_BYTES    65536 /* packed JobSpec */
/* CELL_GRANT_TTL_MS must be longer, so that a grant outlives a request. */
#define ST_TIMEOUT_MAX_MS 30000

enum st_task_state {
	ST_TASK_PENDING,
	ST_TASK_ASSIGNED,
	ST_TASK_ENDING, /* still on a worker, its job was ended */
	ST_TASK_DONE,
	ST_TASK_FAILED,
	ST_TASK_CANCELLED
};

struct st_task {
	uint64_t epoch;	   /* of the worker it is assigned to, else 0 */
	uint64_t progress; /* at the last checkpoint, unit of the job */
	uint32_t attempt;  /* from 1 */
	uint8_t state;	   /* enum st_task_state */
};

struct st_job {
	uint64_t id;
	Control__JobState state;
	uint32_t ntasks;
	uint32_t pending, assigned, done, failed, cancelled;
	uint32_t ending; /* those of assigned in ST_TASK_ENDING */
	uint32_t evictions;
	struct st_task *tasks; /* NULL once all have ended */
	struct str spec;       /* packed JobSpec */
};

struct st_worker {
	uint64_t epoch;
	uint64_t incarnation;
	uint64_t superseded_incarnation; /* previous incarnation, else 0 */
	uint64_t changed_index;		 /* log index of the last change */
	uint64_t event_seq; /* task events up to here are applied */
	bool draining;
	struct str name;
	struct str packed_up; /* packed WorkerUp */
	uint64_t *tasks;      /* assigned to it, unordered */
	uint32_t ntasks, captasks;
};

enum st_key_state {
	ST_KEY_RUNNING,
	ST_KEY_ANSWERED,
	ST_KEY_TOO_LARGE, /* answered, over ST_BODY_MAX_BYTES */
	ST_KEY_RELEASED,  /* certainly not run; may be claimed again */
	ST_KEY_UNKNOWN	  /* ended, outcome unknown */
};

/* An idempotency record: a key of a class and what became of its request. */
struct st_key {
	struct st_key *prev, *next; /* list by time of the last change */
	uint64_t digest;
	uint64_t incarnation, request; /* of the claimant */
	uint64_t deadline_ms;
	uint64_t changed_ms;
	uint32_t instance;
	uint16_t http_status;
	uint8_t state; /* enum st_key_state */
	uint8_t class_len, key_len, type_len;
	uint16_t body_len;
	char text[]; /* class, key, content type, body */
};

/* A change made by an applied command, for the leader's volatile state. */
enum st_effect_kind {
	ST_EFFECT_CONFIG,
	ST_EFFECT_WORKER_UP,	/* id: epoch */
	ST_EFFECT_WORKER_GONE,	/* id: epoch; its tasks are requeued */
	ST_EFFECT_WORKER_DRAIN, /* id: epoch */
	ST_EFFECT_JOB_SUBMIT,	/* id: job */
	ST_EFFECT_JOB_CANCEL,	/* id: job, also for one that failed */
	ST_EFFECT_ASSIGNED,	/* id: task */
	ST_EFFECT_ASSIGN_REFUSED,
	ST_EFFECT_TASK_EVENT /* id: task; the event was accepted */
};

struct st_effect {
	enum st_effect_kind kind;
	Control__TaskEventKind event;
	uint64_t id;
	uint64_t epoch;
	uint64_t progress;
	uint32_t attempt; /* named by the command */
};

/* Result of a command, valid until the next st_apply or st_restore. */
struct st_result {
	enum status status;
	const char *message; /* static */
	uint64_t version;    /* of the configuration, after the command */
	uint64_t id;	     /* job */
	uint64_t epoch;	     /* worker */
	Control__KeyState key_state;
	const struct st_key *key; /* RECORDED: the answer */
	uint32_t keys_dropped;	  /* keys that expired */
	const struct st_effect *effects;
	size_t neffects;
};

struct st;

struct st *st_new(TALLOC_CTX *);
const struct st_result *st_apply(struct st *, uint64_t index, struct str data);
void st_skip(struct st *, uint64_t index);
struct str st_snapshot(const struct st *, TALLOC_CTX *);
enum status st_restore(struct st *, struct str, struct err *);

uint64_t st_index(const struct st *); /* of the last entry applied */
const Control__Config *st_config(const struct st *);
size_t st_njobs(const struct st *);
const struct st_job *st_job_at(const struct st *, size_t i); /* by id */
const struct st_job *st_job_get(const struct st *, uint64_t id);
const struct st_task *st_task_get(const struct st *, uint64_t task);
Control__JobSpec *st_job_spec(const struct st_job *, TALLOC_CTX *);
size_t st_nworkers(const struct st *);
const struct st_worker *st_worker_at(const struct st *, size_t i); /* epoch */
const struct st_worker *st_worker_get(const struct st *, uint64_t epoch);
const struct st_worker *st_worker_get_by_name(
    const struct st *, struct str name);
Control__WorkerUp *st_worker_up(const struct st_worker *, TALLOC_CTX *);
uint64_t st_worker_version(const struct st *);
bool st_epochs_ended_since(const struct st *, uint64_t version, TALLOC_CTX *,
    uint64_t **epochs, size_t *n);
size_t st_nkeys(const struct st *);
const struct st_key *st_key_first(const struct st *); /* least recent */
const struct st_key *st_key_get(
    const struct st *, struct str class_name, struct str key);
struct str st_key_type(const struct st_key *);
struct str st_key_body(const struct st_key *);
uint64_t st_evictions(const struct st *);
uint64_t st_now_ms(const struct st *); /* latest time of a command */

__END_DECLS

#endif
