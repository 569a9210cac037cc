/*
 * The replicated state: jobs, tasks, workers, maintenance waves and the
 * configuration. Deterministic: the same commands in the same order give the
 * same state on each replica. Fields marked "leader" belong to the replica that
 * leads; commands don't read them, and change them only to clear them.
 */
#ifndef JOB_JST_H
#define JOB_JST_H

#include <glib.h>

#include "base/err.h"
#include "base/str.h"
#include "job/jmem.h"
#include "job/job.pb-c.h"

__BEGIN_DECLS

/* How long ended jobs are kept so that their state can be queried; above the
 * 120 s that clients are promised. */
#define JST_ENDED_RETENTION_MS 180000
/* Attempts of a task if its queue sets no number. */
#define JST_ATTEMPTS_DEFAULT 3
/* Most tasks of a job over all its occurrences. */
#define JST_TASKS_MAX 20000
/* Most registered workers; further registrations are refused. */
#define JST_WORKERS_MAX 30000
/* Most cancels remembered of jobs that haven't been submitted; further ones are
 * refused. Limits their memory, at about 300 bytes each. */
#define JST_WITHDRAWN_MAX 20000
/* Most occurrences of a job that are in memory before a task of theirs is
 * assigned. */
#define JST_OPEN_MAX 16
/* Jobs with an occurrence that is due, but for which there was no memory, that
 * are tried again at once. */
#define JST_BLOCKED_TRIES 64
/* Most machines of all waves: a wave beyond that is refused. Most waves that
 * are done and kept with their machines, and most that are kept by their id
 * only: the oldest makes room. */
#define JST_WAVE_MACHINES_MAX 30000
#define JST_WAVES_KEPT_MAX    64
#define JST_WAVES_DONE_MAX    20000
/* Most replicas whose memory is recorded. */
#define JST_LIMITS_MAX 64

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
struct jst_occ;
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
	struct jst_occ *occ;
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

/*
 * An occurrence that is in memory: one that is due, or of which a task has been
 * assigned. It is retired once it needs no memory any more by the replicated
 * state, and freed when the leader has no run of it either.
 */
struct jst_occ {
	struct jst_job *job;
	struct jst_occ *next_dead; /* list of those to be freed */
	uint32_t number;
	uint32_t ndone;	    /* finished steps */
	uint32_t nassigned; /* assigned tasks */
	uint32_t nrefs;	    /* leader: its runs of it */
	/* Accounted for on all replicas; false: opened by this leader only. */
	bool is_counted;
	bool is_retired, is_dead;
	struct jst_step steps[]; /* of the job's specification */
};

/* What a queue's jobs take. */
struct jst_use {
	char *queue;
	size_t bytes;
	uint32_t njobs;	   /* in the state */
	uint32_t nactive;  /* that haven't ended */
	uint32_t nwaiting; /* of these, without a task that has begun */
};

/* Lists that a job can be in. */
enum jst_list {
	JST_LIST_NONE,	  /* forgotten, but the leader still has a run of it */
	JST_LIST_ACTIVE,  /* has occurrences in memory */
	JST_LIST_DORMANT, /* its next occurrence isn't due yet */
	JST_LIST_ENDED,
	JST_LISTS
};

struct jst_job {
	uint64_t id;
	char *queue; /* the queue that it was submitted to */
	/* Empty once the job has ended and none of its tasks is assigned. */
	const Job__Spec *spec;
	Job__Submit *submit; /* owns spec, or NULL */
	int64_t submitted_ms, ended_ms;
	enum jst_job_state state;
	bool started;	   /* a worker has begun a task */
	bool is_withdrawn; /* only the cancel of a job not submitted yet */
	uint32_t occurrences;
	/* Occurrences in memory, by number. One below opened that isn't among
	 * them is done; the others have no tasks yet. */
	struct jst_occ **live;
	uint32_t nlive, live_cap;
	uint32_t opened;    /* the first one that no command has touched */
	uint32_t next_open; /* the first one that isn't in memory */
	uint32_t ncounted;  /* in memory on all replicas */
	uint32_t nsoft;	    /* opened by this leader only */
	uint32_t ndone;	    /* finished occurrences */
	/* Memory that it takes: by itself, for an occurrence, and for
	 * checkpoints beyond what an occurrence reserves. */
	size_t base_bytes, occ_bytes, extra_bytes;
	size_t counted_bytes, local_bytes; /* as in struct jst */
	struct jst_use *use;		   /* NULL: withdrawn */
	enum jst_list list;
	struct jst_job *prev, *next;
	int64_t due_ms;	     /* of occurrence next_open */
	bool is_timed;	     /* in the index by due_ms */
	GList *blocked;	     /* its link in the list, or NULL */
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

/* Memory of a replica, from its settings. */
struct jst_limit {
	uint32_t instance;
	uint32_t memory_mb;
};

struct jst {
	/* NULL: none set yet. Also holds removed queues that jobs need. */
	Job__Config *config;
	struct jst_job *active, *active_last;
	struct jst_job *dormant, *dormant_last;
	struct jst_job *ended, *ended_last; /* oldest first */
	void *jobs;			    /* hash table by id */
	GTree *timers;	      /* jobs by the time of their next occurrence */
	GQueue blocked;	      /* jobs whose next occurrence lacks memory */
	struct jst_occ *dead; /* to be freed before the next command */
	GHashTable *uses;     /* struct jst_use by queue */
	struct jst_limit *limits;
	size_t nlimits;
	struct jmem_limits max; /* by the smallest of them; 0: no limit known */
	/* Memory that jobs take by the replicated state; and the same with what
	 * this leader has opened ahead. */
	size_t bytes, local_bytes;
	size_t removed_bytes; /* of bytes: by removed queues */
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
	struct jst_wave *waves; /* newest first */
	size_t nwave_machines;	/* of open waves */
	/* Ids of waves that are done, oldest first. */
	uint64_t *waves_done;
	size_t nwaves_done;
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
	bool checkpoint_dropped;   /* there was no memory for it */
};

/* Goes through the steps of a job's occurrences that are in memory: st is the
 * step; o and i are indexes. */
#define JST_FOREACH_STEP(j, st, o, i)                                          \
	for ((o) = 0; (o) < (j)->nlive; (o)++)                                 \
		for ((i) = 0; (i) < (j)->spec->n_steps &&                      \
		     ((st) = &(j)->live[o]->steps[i], true);                   \
		     (i)++)

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
/* NULL also for a step of an occurrence that is done or not due yet. */
struct jst_step *jst_find_step(
    const struct jst_job *, uint32_t occurrence, uint32_t step);
/* Tells whether an occurrence is done and no longer in memory. */
bool jst_has_done(const struct jst_job *, uint32_t occurrence);
/* Returns the first step of a step's occurrence; the others follow it. */
struct jst_step *jst_first_step(const struct jst_step *);
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
/* Tells whether a wave has been completed. */
bool jst_wave_is_done(const struct jst *, uint64_t id);
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

/* Leader: opens the occurrences that are due at a time of day, as far as there
 * is memory for them; the next one of a job of which none is open always is. */
void jst_open_due(struct jst *, int64_t until_ms);
/* Drops what a leader has opened and no command has touched. */
void jst_close_untouched(struct jst *);
/* Leader: a run refers to an occurrence, or doesn't any more. */
void jst_occ_ref(struct jst_occ *);
void jst_occ_unref(struct jst *, struct jst_occ *);
/* Tells whether there is room for a job, as a submission of it would. */
bool jst_admits(const struct jst *, const Job__Submit *);
/* Tells whether a job could be accepted if there were no other. */
bool jst_can_ever_admit(const struct jst *, const Job__Submit *);
/* Tells whether an ended job may be forgotten at a time of day. */
bool jst_has_expired(const struct jst *, int64_t now_ms);

/* Used only by the jst*.c files. */
void *jst_alloc(size_t n, size_t size);
char *jst_copy_text(const char *);
void *jst_copy_msg(const ProtobufCMessage *);
void jst_free_msg(void *);
void jst_apply_limit(struct jst *, const Job__Limit *, struct jst_result *);
struct jst_job *jst_job_new(struct jst *, const Job__Submit *);
struct jst_job *jst_job_new_ended(
    struct jst *, uint64_t id, const char *queue, int64_t submitted_ms);
void jst_job_end(struct jst *, struct jst_job *, enum jst_job_state,
    int64_t at_ms, struct jst_result *);
void jst_job_begun(struct jst_job *);
void jst_job_forget(struct jst *, struct jst_job *);
void jst_job_free(struct jst_job *);
void jst_job_list(struct jst *, struct jst_job *, enum jst_list);
void jst_job_compact(struct jst *, struct jst_job *);
void jst_update_memory(struct jst *, struct jst_job *);
struct jst_use *jst_find_use(const struct jst *, const char *queue);
void jst_init_timers(struct jst *);
void jst_finish_timers(struct jst *);
void jst_set_timer(struct jst *, struct jst_job *);
void jst_clear_timer(struct jst *, struct jst_job *);
struct jst_occ *jst_find_occ(const struct jst_job *, uint32_t number);
struct jst_occ *jst_occ_open(struct jst *, struct jst_job *);
void jst_occ_touch(struct jst *, struct jst_job *, uint32_t number);
void jst_occ_check(struct jst *, struct jst_occ *);
void jst_occ_free(struct jst_occ *);
void jst_free_dead(struct jst *);
bool jst_save_checkpoint(
    struct jst *, struct jst_step *, char **, const char *);
size_t jst_checkpoint_extra(const struct jst_step *, const char *);
void jst_apply_wave(struct jst *, const Job__Wave *, struct jst_result *);
void jst_apply_wave_step(
    struct jst *, const Job__WaveStep *, struct jst_result *);
void jst_add_wave_done(struct jst *, uint64_t id);
void jst_free_waves(struct jst *);

/* Serialises the whole state into memory owned by ctx, and loads it. */
struct str jst_pack(const struct jst *, TALLOC_CTX *ctx);
enum status jst_unpack(struct jst *, struct str, struct err *);

__END_DECLS

#endif
