/*
 * The replicated state of a group: configuration, jobs and tasks, worker
 * identities and idempotency records. It changes only by st_apply, which is
 * deterministic: the same commands at the same indexes give the same state
 * and the same results on every replica. Time comes in with the commands.
 */
#ifndef CONTROL_ST_H
#define CONTROL_ST_H

#include "base/err.h"
#include "base/str.h"
#include "control/control.pb-c.h"

__BEGIN_DECLS

#define ST_TASK_BITS	20
#define ST_TASKS_MAX	(1U << ST_TASK_BITS) /* of one job */
#define ST_CHANGES_KEPT 4096  /* results by change id, of each kind */
#define ST_ENDED_KEPT	4096  /* jobs that have ended */
#define ST_GONE_KEPT	1024  /* epochs for incremental worker tables */
#define ST_BODY_MAX	16384 /* of a recorded answer */
#define ST_NAME_MAX	128   /* of names, keys and change ids */
#define ST_SPEC_MAX	65536 /* of a packed JobSpec */
/* Grants outlive the longest request; see CELL_GRANT_TTL_MS. */
#define ST_TIMEOUT_MAX_MS 30000

enum st_task_state {
	ST_TASK_PENDING,
	ST_TASK_ASSIGNED,
	ST_TASK_ENDING, /* on a worker, its job is cancelled or failed */
	ST_TASK_DONE,
	ST_TASK_FAILED,
	ST_TASK_CANCELLED
};

struct st_task {
	uint64_t epoch;	   /* of the worker that has it, else 0 */
	uint64_t progress; /* of the last checkpoint */
	uint32_t attempt;  /* from 1 */
	uint8_t state;	   /* enum st_task_state */
};

struct st_job {
	uint64_t id;
	Control__JobState state;
	uint32_t n; /* tasks */
	uint32_t pending, assigned, done, failed, cancelled;
	uint32_t ending; /* of assigned, those that end by an order */
	uint32_t evictions;
	struct st_task *tasks; /* NULL once all have ended */
	struct str spec;       /* packed JobSpec */
};

struct st_worker {
	uint64_t epoch;
	uint64_t incarnation;
	uint64_t superseded; /* incarnation before this one, else 0 */
	uint64_t changed;    /* index of the last change */
	uint64_t event_seq;  /* task events up to here are applied */
	bool draining;
	struct str name;
	struct str up;	 /* packed WorkerUp */
	uint64_t *tasks; /* that it has, in no order */
	uint32_t ntasks, captasks;
};

enum st_key_state {
	ST_KEY_RUNNING,
	ST_KEY_ANSWERED,
	ST_KEY_TOO_LARGE, /* answered, over ST_BODY_MAX */
	ST_KEY_RELEASED,  /* proven not run; may be claimed again */
	ST_KEY_UNKNOWN
};

struct st_key {
	struct st_key *prev, *next; /* by time of the last change */
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

/* What an applied command changed, for the leader's soft state. */
enum st_note_kind {
	ST_NOTE_CONFIG,
	ST_NOTE_WORKER_UP,    /* id: epoch */
	ST_NOTE_WORKER_GONE,  /* id: epoch; its tasks are pending again */
	ST_NOTE_WORKER_DRAIN, /* id: epoch */
	ST_NOTE_JOB_SUBMIT,   /* id: job */
	ST_NOTE_JOB_CANCEL,   /* id: job, also for one that failed */
	ST_NOTE_ASSIGNED,     /* id: task */
	ST_NOTE_ASSIGN_REFUSED,
	ST_NOTE_TASK_EVENT /* id: task; the event counted */
};

struct st_note {
	enum st_note_kind kind;
	Control__TaskEventKind event;
	uint64_t id;
	uint64_t epoch;
	uint64_t progress;
	uint32_t attempt; /* that the command named */
};

/* Valid until the next st_apply or st_restore. */
struct st_result {
	enum status status;
	const char *message; /* static */
	uint64_t version;    /* of the configuration, after the command */
	uint64_t id;	     /* job */
	uint64_t epoch;	     /* worker */
	Control__KeyState key_state;
	const struct st_key *key; /* RECORDED: the answer */
	uint32_t dropped;	  /* keys that expired */
	const struct st_note *notes;
	size_t nnotes;
};

struct st;

struct st *st_new(TALLOC_CTX *);
/* index grows from call to call; data is a packed Command. */
const struct st_result *st_apply(struct st *, uint64_t index, struct str data);
/* An entry without a command. */
void st_skip(struct st *, uint64_t index);
struct str st_snapshot(const struct st *, TALLOC_CTX *);
/* On failure the state is empty. */
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
const struct st_worker *st_worker_named(const struct st *, struct str name);
Control__WorkerUp *st_worker_up(const struct st_worker *, TALLOC_CTX *);
/* Index of the last change of the table of workers. */
uint64_t st_worker_version(const struct st *);
/* Epochs gone after version; false: too old, the whole table is needed. */
bool st_workers_gone(const struct st *, uint64_t version, TALLOC_CTX *,
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
