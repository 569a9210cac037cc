/*
 * Classes, teams and their jobs: queues per class, quotas per team, and jobs
 * that cannot run, parked by resource need until the fleet changes.
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
#define JOBQ_FAILURES_MAX	8 /* failures remembered per job */
#define JOBQ_EVICTIONS_PER_HOUR 3 /* evictions allowed per job and hour */

/* A failure of one task on one worker. */
struct jobq_failure {
	uint64_t epoch;
	uint32_t task;
};

struct jobq_job {
	uint64_t id;
	uint32_t cls;
	uint32_t tasks;
	struct sched_res declared;
	int64_t run_ms;
	int64_t submit_ms;
	int64_t waiting_since_ms; /* since when the next task waits */
	uint8_t *done;		  /* one bit per task */
	uint8_t *placed;	  /* one bit per task that holds resources */
	uint32_t *rerun;	  /* tasks to run again, a stack */
	uint32_t nrerun, rerun_cap;
	uint32_t ndone, nplaced;
	uint32_t cursor;     /* tasks below it were started once */
	uint32_t first_task; /* live tasks */
	uint32_t next, prev; /* in the queue of the class or a park */
	enum sched_wait wait_reason;
	struct jobq_failure failures[JOBQ_FAILURES_MAX];
	uint32_t nfailures;
	int64_t evict_ms[JOBQ_EVICTIONS_PER_HOUR]; /* last evictions, a ring */
	uint32_t evictions;
	int64_t retry_ms; /* of a gang that did not fit */
	uint32_t retry_interval_ms;
	uint32_t nsucceeded;	   /* tasks finished since the first failure */
	struct learn *learn;	   /* NULL until usage was seen */
	uint32_t nwaiting_counted; /* tasks counted as waiting in the class */
	bool gang, terminated;	   /* dead: cancelled or failed */
	bool use_declared;	   /* learned sizes of the class did not fit */
	uint8_t queue_state;	   /* enum jobq_queue_state */
	uint32_t parked;	   /* index, when parked by need */
};

enum jobq_queue_state {
	JOBQ_UNQUEUED,
	JOBQ_QUEUED,
	JOBQ_PARKED_NEED,
	JOBQ_PARKED_QUOTA
};

struct jobq_list {
	uint32_t head, tail;
};

struct jobq_class {
	char *name;	 /* NULL: entry is free */
	bool configured; /* set by the configuration */
	bool urgent;
	int percentile_x10;
	int64_t bound_ms;
	int64_t finish_per_hour;
	uint32_t team;
	struct jobq_list queue;
	uint32_t waiting, running;	     /* tasks */
	uint32_t nqueued;		     /* in the queue */
	uint32_t *rack_tasks, *domain_tasks; /* tasks per rack and domain */
	uint32_t nracks, ndomains;	     /* allocated */
	struct learn learn;
	struct tgt tgt;
	double sort_key;	  /* order in a pass, lowest first */
	int64_t blocked_until_ms; /* not tried before; held back for a target */
	bool at_risk;		  /* refreshed every second */
	double evict_tokens;	  /* of the budget per minute */
	int64_t evict_refill_ms;
	uint32_t npreempting; /* tasks that room is being made for */
	int64_t preempt_ms;
};

struct jobq_team {
	char *name;
	struct sched_res quota, used;
	struct jobq_list parked;
};

/* Jobs that need the same and cannot run in this fleet. */
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
	struct hmap by_need; /* digest of a need to its park */
};

void jobq_init(struct jobq *, TALLOC_CTX *);
/* Index of a class or team of that name; created when missing. */
uint32_t jobq_class_get(struct jobq *, struct str name);
uint32_t jobq_class_find(const struct jobq *, struct str name);
uint32_t jobq_team_get(struct jobq *, struct str name);
/* Index of a new job. */
uint32_t jobq_job_add(struct jobq *, const struct sched_job *, uint32_t cls);
uint32_t jobq_job_find(const struct jobq *, uint64_t id);
/* Forgets a job that holds nothing. */
void jobq_job_del(struct jobq *, uint32_t i);
uint32_t jobq_nwaiting(const struct jobq_job *);
/* Recounts the waiting tasks of the job in its class. */
void jobq_recount_waiting(struct jobq *, uint32_t i);
/* Next task to start, JOBQ_NONE: none; it becomes live with _take. */
uint32_t jobq_next_task(struct jobq_job *);
void jobq_task_place(struct jobq *, uint32_t i, uint32_t task);
/* A live task waits again. */
void jobq_task_return(struct jobq *, uint32_t i, uint32_t task);
void jobq_task_finish(struct jobq *, uint32_t i, uint32_t task);
bool jobq_is_done(const struct jobq_job *, uint32_t task);
bool jobq_is_placed(const struct jobq_job *, uint32_t task);

/* Moves a job between its queue, a park and neither. */
void jobq_enqueue(struct jobq *, uint32_t i);
void jobq_enqueue_last(struct jobq *, uint32_t i);
void jobq_park_need(struct jobq *, uint32_t i, const struct sched_res *);
void jobq_park_quota(struct jobq *, uint32_t i);
void jobq_remove(struct jobq *, uint32_t i);
bool jobq_quota_allows(const struct jobq_team *, const struct sched_res *);

__END_DECLS

#endif
