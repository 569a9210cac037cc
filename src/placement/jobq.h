/*
 * Classes, teams and their jobs: a queue of jobs for each class, a quota for
 * each team, and parked jobs, which wait for a larger fleet or for quota.
 */
#ifndef PLACEMENT_JOBQ_H
#define PLACEMENT_JOBQ_H

#include "placement/hmap.h"
#include "placement/learn.h"
#include "placement/sched.h"
#include "placement/tgt.h"

__BEGIN_DECLS

#define JOBQ_NONE		UINT32_MAX
#define JOBQ_TASK_BITS		20
#define JOBQ_FAILURES_MAX	8 /* last failures kept per job */
#define JOBQ_EVICTIONS_PER_HOUR 3 /* evictions allowed per job and hour */

/* A failure of one task on one worker. */
struct jobq_failure {
	uint64_t epoch;
	uint32_t task;
};

struct jobq_job {
	uint64_t id;
	uint32_t cls;
	uint32_t ntasks;
	struct sched_res declared;
	int64_t run_ms; /* declared, 0: unknown */
	int64_t submit_ms;
	int64_t waiting_since_ms; /* since when its tasks wait */
	uint8_t *done;		  /* one bit per task */
	uint8_t *placed; /* one bit per task with resources allocated */
	uint32_t *rerun; /* stack of tasks to run again */
	uint32_t nrerun, rerun_cap;
	uint32_t ndone, nplaced;
	uint32_t cursor;     /* next task that was never started */
	uint32_t first_task; /* of the list of placed tasks */
	uint32_t next, prev; /* in the list that queue_state names */
	enum sched_wait wait_reason;
	struct jobq_failure failures[JOBQ_FAILURES_MAX];
	uint32_t nfailures;
	/* Ring of the times of the last evictions. */
	int64_t evict_ms[JOBQ_EVICTIONS_PER_HOUR];
	uint32_t evictions;
	int64_t retry_ms; /* next try of a gang that did not fit */
	uint32_t retry_interval_ms;
	uint32_t nsucceeded;	   /* tasks finished since the job was added */
	struct learn *learn;	   /* NULL until usage was seen */
	uint32_t nwaiting_counted; /* counted in waiting of the class */
	bool gang, terminated;	   /* terminated: cancelled or failed */
	bool use_declared;	   /* learned sizes did not fit: use declared */
	uint8_t queue_state;	   /* enum jobq_queue_state */
	uint32_t parked;	   /* index in jobq.parked, if PARKED_NEED */
};

/* The list that a job is in. */
enum jobq_queue_state {
	JOBQ_UNQUEUED,	  /* in no list */
	JOBQ_QUEUED,	  /* in the queue of its class */
	JOBQ_PARKED_NEED, /* no worker is large enough */
	JOBQ_PARKED_QUOTA /* the quota of its team is used up */
};

struct jobq_list {
	uint32_t head, tail;
};

struct jobq_class {
	char *name;	 /* NULL: entry is free */
	bool configured; /* in the present configuration */
	bool urgent;
	int percentile_x10;
	int64_t bound_ms;
	int64_t finish_per_hour;
	uint32_t team;
	struct jobq_list queue;
	uint32_t waiting, running;	     /* tasks */
	uint32_t nqueued;		     /* in the queue */
	uint32_t *rack_tasks, *domain_tasks; /* tasks per rack and domain */
	uint32_t nracks, ndomains;	     /* entries allocated in them */
	struct learn learn;
	struct tgt tgt;
	double sort_key;	  /* order of classes in a pass, lowest first */
	int64_t blocked_until_ms; /* next try after a target forbade a start */
	bool at_risk;		  /* the target is missed; set every second */
	double evict_tokens;	  /* token bucket of evictions per minute */
	int64_t evict_refill_ms;
	uint32_t npreempting; /* tasks that room is being made for */
	int64_t preempt_ms;   /* time of the last preemption */
};

struct jobq_team {
	char *name;
	struct sched_res quota, used;
	struct jobq_list parked;
};

/* Jobs with the same need, which no worker of the fleet can hold. */
struct jobq_parked {
	struct sched_res need;
	struct jobq_list jobs;
};

struct jobq {
	TALLOC_CTX *ctx;
	struct jobq_job *jobs;
	uint32_t njobs, jobs_cap, free_job;
	struct hmap by_job;
	struct jobq_class *classes;
	uint32_t nclasses, classes_cap;
	struct hmap by_class;
	struct jobq_team *teams;
	uint32_t nteams, teams_cap;
	struct hmap by_team;
	struct jobq_parked *parked;
	uint32_t nparked, parked_cap;
	struct hmap by_need; /* hash of a need to its entry in parked */
};

void jobq_init(struct jobq *, TALLOC_CTX *);
/* Return the index of a class or team, which is created if it is missing. */
uint32_t jobq_class_get(struct jobq *, struct str name);
uint32_t jobq_class_find(const struct jobq *, struct str name);
uint32_t jobq_team_get(struct jobq *, struct str name);
/* Adds a job and returns its index. */
uint32_t jobq_job_add(struct jobq *, const struct sched_job *, uint32_t cls);
uint32_t jobq_job_find(const struct jobq *, uint64_t id);
/* Deletes a job that has no placed tasks. */
void jobq_job_del(struct jobq *, uint32_t i);
uint32_t jobq_nwaiting(const struct jobq_job *);
/*
 * Updates the number of waiting tasks of the class after a change of the job.
 */
void jobq_recount_waiting(struct jobq *, uint32_t i);
/*
 * Returns the next task to start, JOBQ_NONE if none waits. The caller marks it
 * with jobq_task_place().
 */
uint32_t jobq_next_task(struct jobq_job *);
void jobq_task_place(struct jobq *, uint32_t i, uint32_t task);
/* Marks a placed task as waiting again. */
void jobq_task_return(struct jobq *, uint32_t i, uint32_t task);
void jobq_task_finish(struct jobq *, uint32_t i, uint32_t task);
bool jobq_is_done(const struct jobq_job *, uint32_t task);
bool jobq_is_placed(const struct jobq_job *, uint32_t task);

/* Move a job between the queue of its class, the parked lists and no list. */
void jobq_enqueue(struct jobq *, uint32_t i);
void jobq_enqueue_last(struct jobq *, uint32_t i);
void jobq_park_need(struct jobq *, uint32_t i, const struct sched_res *);
void jobq_park_quota(struct jobq *, uint32_t i);
void jobq_remove(struct jobq *, uint32_t i);
bool jobq_quota_allows(const struct jobq_team *, const struct sched_res *);

__END_DECLS

#endif
