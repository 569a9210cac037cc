/*
 * The replicated state of jobs, tasks, workers, waves of upkeep and the
 * configuration. Deterministic: the same commands in the same order give the
 * same state on each replica. Who leads keeps its own figures in the fields
 * marked "leader", which no command reads or changes but to clear them.
 */
#ifndef JOB_JST_H
#define JOB_JST_H

#include "base/err.h"
#include "base/str.h"
#include "job/job.pb-c.h"

__BEGIN_DECLS

/* Finished jobs are kept this long, so that their state can be asked for;
 * above the 120 s that callers are promised. */
#define JST_ENDED_RETENTION_MS 180000
/* Attempts of a task when its queue names none. */
#define JST_ATTEMPTS_DEFAULT 3
/* Most tasks of a job over all its occurrences; bounds the memory a job
 * takes: 64 bytes a task. */
#define JST_TASKS_MAX 20000
/* Most workers kept; a registration beyond it is refused. */
#define JST_WORKERS_MAX 30000
/* Most jobs kept that were cancelled before they came; a cancel beyond it is
 * refused. Bounds their memory: about 500 bytes each. */
#define JST_WITHDRAWN_MAX 20000

enum jst_job_state {
	JST_ACTIVE,
	JST_COMPLETED,
	JST_FAILED,
	JST_CANCELLED
};

enum jst_task_state {
	JST_WAITING,
	JST_ASSIGNED,
	JST_DONE
};

struct jst_job;
struct jst_worker;
struct jrun;

struct jst_task {
	enum jst_task_state state;
	uint32_t run;	  /* newest start, 0: none */
	uint32_t nfailed; /* runs that ended as failed */
	struct jst_worker *worker;
	char *checkpoint; /* newest checkpoint, or NULL */
	struct jrun
	    *active_run; /* leader: the run, while assigned or proposed */
	struct jst_worker *run_worker; /* leader: where it is */
};

struct jst_step {
	struct jst_job *job;
	const Job__Step *spec;
	uint32_t occurrence, number;
	struct jst_task *tasks; /* spec->count */
	uint32_t ndone;
	uint32_t nwaiting;	  /* neither done nor assigned */
	uint32_t nproposed;	  /* leader: of these, being assigned */
	int64_t waiting_since_ms; /* leader: since when it waits for a better
				     place */
	double load; /* leader: of its serving tasks, 0: not known */
	double
	    over_target; /* leader: of these, over their target by the plan */
};

struct jst_job {
	uint64_t id;
	char *queue; /* name of the route it came by */
	const Job__Spec *spec;
	Job__Submit *submit; /* owns spec */
	int64_t at_ms, ended_ms;
	enum jst_job_state state;
	bool started; /* a task has been assigned once */
	uint32_t occurrences;
	struct jst_step *steps;	     /* occurrence-major, n_steps each */
	uint32_t ndone;		     /* steps that are done */
	struct jst_job *prev, *next; /* of the active or the ended ones */
	uint32_t nruns;		     /* leader: runs that workers may have */
	/* leader: decided once from the configuration, which clears them */
	int64_t due_ms;
	const Job__Queue *queue_cfg; /* NULL: not known, or it is gone */
};

struct jst_worker {
	uint64_t num;
	const Job__Worker *info;
	bool draining;
	uint32_t nassigned;
	void *session;	     /* leader */
	uint32_t plan_index; /* leader: its place in the plan being made */
};

enum jst_wave_state {
	JST_WAVE_WAITING,
	JST_WAVE_BEGUN,
	JST_WAVE_DONE
};

struct jst_wave {
	Job__Wave *info;
	enum jst_wave_state *states; /* by machine */
	struct jst_wave *next;
};

struct jst {
	Job__Config *config; /* NULL: none yet */
	struct jst_job *active, *active_last;
	struct jst_job *ended, *ended_last; /* oldest first */
	void *jobs;			    /* by id */
	/* Of the ended ones, those that were cancelled before they came: they
	 * have no steps. */
	uint32_t nwithdrawn;
	bool loading; /* from a snapshot: nothing is forgotten */
	struct jst_worker **workers;
	size_t nworkers;
	void *by_id; /* newest registration under each id */
	uint64_t next_worker;
	struct jst_wave *waves;
};

/* What a command did, for the caller who waits for it. */
struct jst_result {
	enum status status; /* OK, EXISTS, NOT_FOUND, STALE, FULL */
	struct jst_job *job;
	struct jst_task *task;
	struct jst_step *step;
	struct jst_worker *worker; /* registered by it */
	bool job_ended;		   /* this command ended the job */
};

void jst_init(struct jst *);
void jst_finish(struct jst *);
/* Applies one command. */
void jst_apply(struct jst *, const Job__Command *, struct jst_result *);

/* NULL for one that was cancelled before it came. */
struct jst_job *jst_find_job(const struct jst *, uint64_t id);
struct jst_job *jst_find_withdrawn(const struct jst *, uint64_t id);
/* A cancel of this job would change the state. */
bool jst_cancels(const struct jst *, uint64_t id);
struct jst_task *jst_find_task(
    const struct jst *, const Job__Task *, struct jst_step **);
struct jst_step *jst_find_step(
    const struct jst_job *, uint32_t occurrence, uint32_t step);
size_t jst_worker_index(const struct jst *, uint64_t num);
struct jst_worker *jst_find_worker(const struct jst *, uint64_t num);
struct jst_worker *jst_find_worker_by_id(const struct jst *, const char *id);
/* The registration that a notice to leave ends; NULL: none. born 0: not
 * named. */
struct jst_worker *jst_find_leaver(
    const struct jst *, const char *id, uint64_t born);
/* Kept by the commands on workers only. */
void jst_index_worker(struct jst *, struct jst_worker *);
void jst_unindex_worker(struct jst *, const struct jst_worker *);
struct jst_wave *jst_find_wave(const struct jst *, uint64_t id);
const Job__Queue *jst_queue(const struct jst *, const char *name);
const Job__Service *jst_service(const struct jst *, const char *name);
/* The queue of a host and path: the longest prefix; NULL: none. */
const Job__Queue *jst_route(
    const struct jst *, struct str host, struct str path);
/* Accepted jobs of a queue of which nothing has started. */
uint32_t jst_waiting(const struct jst *, const char *queue);
/* All steps that it comes after are done, in its occurrence. */
bool jst_step_ready(const struct jst_step *);
uint32_t jst_attempts(const struct jst *, const struct jst_job *);

/* The whole state as bytes owned by ctx, and back. */
struct str jst_pack(const struct jst *, TALLOC_CTX *ctx);
enum status jst_unpack(struct jst *, struct str, struct err *);

__END_DECLS

#endif
