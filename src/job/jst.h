/*
 * The replicated state: jobs, tasks, workers, maintenance waves and the
 * configuration. Deterministic: the same commands in the same order give the
 * same state on each replica. Fields marked "leader" belong to the replica that
 * leads; commands don't read them, and change them only to clear them.
 */
#ifndef JOB_JST_H
#define JOB_JST_H

#include "base/err.h"
#include "base/str.h"
#include "job/job.pb-c.h"

__BEGIN_DECLS

/* How long ended jobs are kept so that their state can be queried; above the
 * 120 s that clients are promised. */
#define JST_ENDED_RETENTION_MS 180000
/* Attempts of a task if its queue sets no number. */
#define JST_ATTEMPTS_DEFAULT 3
/* Most tasks of a job over all its occurrences; limits the memory of a job, at
 * 64 bytes a task. */
#define JST_TASKS_MAX 20000
/* Most registered workers; further registrations are refused. */
#define JST_WORKERS_MAX 30000
/* Most cancels remembered of jobs that haven't been submitted; further ones are
 * refused. Limits their memory, at about 500 bytes each. */
#define JST_WITHDRAWN_MAX 20000

/* Most workers that have left which are remembered; the oldest are forgotten
 * first. Limits their memory, at about 500 bytes each. */
#define JST_LEFT_MAX 1000

/* Most failure domains under evacuation; further ones are refused. Limits their
 * memory, at about 400 bytes each. */
#define JST_EVACUATIONS_MAX 256
/* Most machines with a recorded move; further moves are refused. Limits their
 * memory, at about 300 bytes each. */
#define JST_MOVES_MAX 4096
/* Lengths of ended tasks kept for a step, to find their median. */
#define JST_SPEED_MAX 8

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
struct jadvice_step;

struct jst_task {
	enum jst_task_state state;
	uint32_t run;	  /* number of the latest run, 0: none */
	uint32_t nfailed; /* runs that failed */
	struct jst_worker *worker;
	char *checkpoint; /* newest checkpoint, or NULL; not of a gang's task */
	/* leader: the run, while proposed or assigned */
	struct jrun *active_run;
	struct jst_worker *run_worker; /* leader: worker of active_run */
	/* Monotonic time on this replica when it was assigned last; 0: before
	 * the state was loaded. */
	struct timespec assigned_at;
	/* leader: since when it should run and doesn't, 0: it needn't */
	int64_t idle_since_ms;
};

struct jst_step {
	struct jst_job *job;
	const Job__Step *spec;
	uint32_t occurrence, number;
	struct jst_task *tasks; /* spec->count */
	uint32_t ndone;
	/* A gang's newest checkpoint, which any member has saved and all resume
	 * from, or NULL; and the run that saved it. */
	char *checkpoint;
	uint32_t checkpoint_run;
	/* leader: a gang's run of which a member isn't started, because its
	 * domain is under evacuation */
	uint32_t withheld_run;
	uint32_t nwaiting;  /* neither done nor assigned */
	uint32_t nproposed; /* leader: of nwaiting, being assigned */
	/* leader: monotonic time since when tasks of it wait and no worker has
	 * started one, 0: none waits */
	int64_t waiting_since_ms;
	/* leader: monotonic time since when tasks of it wait, as the moves
	 * between pools count it, 0: none waits */
	int64_t short_since_ms;
	double load; /* leader: load of its serving tasks, 0: unknown */
	/* leader: how many of its tasks miss their target, by the plan */
	double over_target;
	/* leader: ratios of real to declared time of its ended tasks */
	double room_ratio_sum;
	uint32_t room_nended;
	/* leader: when a place was last kept for it, 0: never; in which plan;
	 * and for how long in all since one of its tasks began */
	int64_t room_kept_ms;
	uint64_t room_plan;
	int64_t room_held_ms;
	/* leader: no place is searched for it before this monotonic time */
	int64_t room_retry_ms;
	/* leader: how long ended tasks took, in order */
	float speed_ms[JST_SPEED_MAX];
	uint32_t nspeed;
	bool speed_drops_first; /* from the full list, or the last */
	/* leader: what is known of its workers, NULL: nothing; owned by the
	 * leader */
	struct jadvice_step *advice;
};

struct jst_job {
	uint64_t id;
	char *queue; /* the queue that it was submitted to */
	const Job__Spec *spec;
	Job__Submit *submit; /* owns spec */
	int64_t submitted_ms, ended_ms;
	enum jst_job_state state;
	bool started; /* a worker has begun a task */
	uint32_t occurrences;
	struct jst_step *steps;	     /* by occurrence, n_steps each */
	uint32_t ndone;		     /* finished steps */
	struct jst_job *prev, *next; /* list of active or of ended jobs */
	uint32_t nruns;	     /* leader: runs that may exist on workers */
	bool begun_proposed; /* leader: that it has started */
	/* leader: derived from the configuration; cleared when it changes. When
	 * the job should be complete; 0: not computed yet. */
	int64_t deadline_ms;
	/* NULL: not looked up yet, or removed */
	const Job__Queue *queue_cfg;
};

struct jst_worker {
	uint64_t num;
	const Job__Worker *info;
	bool draining;
	uint32_t nassigned;
	void *session; /* leader: struct wsess */
	/* Monotonic time on this replica when it was registered; 0: before the
	 * state was loaded. */
	struct timespec registered_at;
	uint32_t plan_index; /* leader: index in the current plan */
};

enum jst_wave_state {
	JST_WAVE_WAITING,
	JST_WAVE_BEGUN,
	JST_WAVE_DONE
};

/* What is recorded of the order for one machine of a wave. */
struct jst_wave_order {
	char *worker;	  /* id of its worker before the order, or NULL */
	uint32_t attempt; /* orders that were given up so far */
};

struct jst_wave {
	Job__Wave *info;
	enum jst_wave_state *states;   /* one per machine */
	struct jst_wave_order *orders; /* one per machine */
	/* leader: one struct jl_wave_note per machine, or NULL */
	void *notes;
	struct jst_wave *next;
};

struct jst {
	/* NULL: none set yet. Also holds removed queues that jobs need. */
	Job__Config *config;
	struct jst_job *active, *active_last;
	struct jst_job *ended, *ended_last; /* oldest first */
	void *jobs;			    /* hash table by id */
	/* Ended jobs that are only the cancel of a job not submitted yet; they
	 * have no steps. */
	uint32_t nwithdrawn;
	/* loading a snapshot: ended jobs aren't removed, and jobs of forgotten
	 * queues aren't refused */
	bool loading;
	struct jst_worker **workers;
	size_t nworkers;
	void *by_id; /* hash table of the latest registration of each id */
	uint64_t next_worker;
	/* The last incarnations of workers that have left, oldest first. */
	Job__Worker **left;
	size_t nleft;
	struct jst_wave *waves;
	/* Evacuations in effect, in the order in which they began. */
	Job__Evacuation **evacuations;
	size_t nevacuations;
	/* Moves between pools that have begun, or are done and of interest. */
	Job__Move **moves;
	size_t nmoves;
};

/* Effect of a command, for the caller that waits for it. */
struct jst_result {
	enum status status; /* OK, EXISTS, NOT_FOUND, STALE, FULL */
	struct jst_job *job;
	struct jst_task *task;
	struct jst_step *step;
	struct jst_worker *worker; /* worker registered or found */
	bool job_ended;		   /* the command ended the job */
};

void jst_init(struct jst *);
void jst_finish(struct jst *);
/* Applies one command and reports its effect. */
void jst_apply(struct jst *, const Job__Command *, struct jst_result *);

/* Returns a job, NULL if it is unknown or was cancelled before it was
 * submitted. */
struct jst_job *jst_find_job(const struct jst *, uint64_t id);
struct jst_job *jst_find_withdrawn(const struct jst *, uint64_t id);
/* Tells whether a cancel of this job would change the state. */
bool jst_cancel_has_effect(const struct jst *, uint64_t id);
struct jst_task *jst_find_task(
    const struct jst *, const Job__Task *, struct jst_step **);
struct jst_step *jst_find_step(
    const struct jst_job *, uint32_t occurrence, uint32_t step);
/* Returns the checkpoint that the next run of a task resumes from, or NULL. */
const char *jst_checkpoint(const struct jst_step *, const struct jst_task *);
size_t jst_worker_index(const struct jst *, uint64_t num);
struct jst_worker *jst_find_worker(const struct jst *, uint64_t num);
struct jst_worker *jst_find_worker_by_id(const struct jst *, const char *id);
/* Returns the registration that a worker's notice to leave removes, NULL if
 * there is none, or if the notice may be a late one of an earlier incarnation.
 * born 0: incarnation not named in the notice. */
bool jst_is_other_writer(
    const struct jst *, const Job__Worker *, const Job__Worker *);
struct jst_worker *jst_find_leaving_worker(
    const struct jst *, const char *id, uint64_t born);
/* Used only by the commands on workers. */
void jst_index_worker(struct jst *, struct jst_worker *);
void jst_unindex_worker(struct jst *, const struct jst_worker *);
/* Remembers the last incarnation of a worker that has left; takes over the
 * message. */
void jst_add_left(struct jst *, Job__Worker *);
/* Tells whether an incarnation, or a later one of its id, has left. */
bool jst_has_left(const struct jst *, const char *id, uint64_t born);
struct jst_wave *jst_find_wave(const struct jst *, uint64_t id);
/* Returns the evacuation of a failure domain, NULL if none is in effect. */
const Job__Evacuation *jst_find_evacuation(
    const struct jst *, const char *domain);
/* Used only by jst_apply and jst_finish. */
void jst_apply_evacuation(
    struct jst *, const Job__Evacuation *, struct jst_result *);
void jst_free_evacuations(struct jst *);
void jst_apply_move(struct jst *, const Job__Move *, struct jst_result *);
void jst_free_moves(struct jst *);
/* Returns the recorded move of a machine, NULL if there is none. */
const Job__Move *jst_find_move(const struct jst *, const char *machine);
const Job__Queue *jst_queue(const struct jst *, const char *name);
bool jst_queue_removed(const Job__Queue *);
bool jst_is_orphaned(const struct jst *, uint64_t id, struct str path);
const Job__Service *jst_service(const struct jst *, const char *name);
/* Returns the queue of a host and path, by the longest prefix; NULL if there is
 * none. */
const Job__Queue *jst_route(
    const struct jst *, struct str host, struct str path);
/* Counts the active jobs of a queue of which no worker has begun a task. */
uint32_t jst_count_waiting(const struct jst *, const char *queue);
/* Tells whether all steps that this one depends on are done in its
 * occurrence. */
bool jst_step_ready(const struct jst_step *);
uint32_t jst_max_attempts(const struct jst *, const struct jst_job *);

/* Serialises the whole state into memory owned by ctx, and loads it. */
struct str jst_pack(const struct jst *, TALLOC_CTX *ctx);
enum status jst_unpack(struct jst *, struct str, struct err *);

__END_DECLS

#endif
