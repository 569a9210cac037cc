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

#define JOBQ_NONE	UINT32_MAX
#define JOBQ_TASK_BITS	20
#define JOBQ_FAILS	8 /* failures remembered per job */
#define JOBQ_EVICT_HOUR 3 /* evictions allowed per job and hour */

/* A failure of one task on one worker. */
struct jobq_fail {
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
	int64_t wait_ms; /* since when the next task waits */
	uint8_t *done;	 /* one bit per task */
	uint8_t *live;	 /* one bit per task that holds resources */
	uint32_t *again; /* tasks to run again, a stack */
	uint32_t nagain, cagain;
	uint32_t ndone, nlive;
	uint32_t cursor;     /* tasks below it were started once */
	uint32_t head;	     /* live tasks */
	uint32_t next, prev; /* in the queue of the class or a park */
	enum sched_wait wait;
	struct jobq_fail fail[JOBQ_FAILS];
	uint32_t nfail;
	int64_t evict_ms[JOBQ_EVICT_HOUR]; /* last evictions, a ring */
	uint32_t evictions;
	int64_t retry_ms; /* of a gang that did not fit */
	uint32_t retry_gap_ms;
	uint32_t okay;	     /* tasks finished since the first failure */
	struct learn *learn; /* NULL until usage was seen */
	uint32_t nwait;	     /* tasks counted as waiting in the class */
	bool gang, dead;     /* dead: cancelled or failed */
	bool as_declared;    /* learned sizes of the class did not fit */
	uint8_t where;	     /* enum jobq_where */
	uint32_t park;	     /* index, when parked by need */
};

enum jobq_where {
	JOBQ_OUT,
	JOBQ_QUEUED,
	JOBQ_PARKED,
	JOBQ_PARKED_TEAM
};

struct jobq_list {
	uint32_t head, tail;
};

struct jobq_class {
	char *name;   /* NULL: entry is free */
	bool present; /* set by the configuration */
	bool urgent;
	int percentile_x10;
	int64_t bound_ms;
	int64_t finish_per_hour;
	uint32_t team;
	struct jobq_list q;
	uint32_t waiting, running;   /* tasks */
	uint32_t njobs;		     /* in the queue */
	uint32_t *rack_n, *domain_n; /* tasks per rack and domain */
	uint32_t nracks, ndomains;   /* allocated */
	struct learn learn;
	struct tgt tgt;
	double key;	     /* order in a pass, lowest first */
	int64_t held_ms;     /* not tried before; held back for a target */
	bool at_risk;	     /* refreshed every second */
	double evict_tokens; /* of the budget per minute */
	int64_t evict_ms;
	uint32_t preempting; /* tasks that room is being made for */
	int64_t preempt_ms;
};

struct jobq_team {
	char *name;
	struct sched_res quota, used;
	struct jobq_list parked;
};

/* Jobs that need the same and cannot run in this fleet. */
struct jobq_park {
	struct sched_res need;
	struct jobq_list jobs;
};

struct jobq {
	TALLOC_CTX *ctx;
	struct jobq_job *j;
	uint32_t nj, cj, jfree;
	struct hmap by_job;
	struct jobq_class *c;
	uint32_t nc, cc;
	struct hmap by_class;
	struct jobq_team *t;
	uint32_t nt, ct;
	struct hmap by_team;
	struct jobq_park *park;
	uint32_t np, cp;
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
uint32_t jobq_waiting(const struct jobq_job *);
/* Recounts the waiting tasks of the job in its class. */
void jobq_count(struct jobq *, uint32_t i);
/* Next task to start, JOBQ_NONE: none; it becomes live with _take. */
uint32_t jobq_peek(struct jobq_job *);
void jobq_take(struct jobq *, uint32_t i, uint32_t task);
/* A live task waits again. */
void jobq_return(struct jobq *, uint32_t i, uint32_t task);
void jobq_finish_task(struct jobq *, uint32_t i, uint32_t task);
bool jobq_is_done(const struct jobq_job *, uint32_t task);
bool jobq_is_live(const struct jobq_job *, uint32_t task);

/* Moves a job between its queue, a park and neither. */
void jobq_queue(struct jobq *, uint32_t i);
void jobq_queue_back(struct jobq *, uint32_t i);
void jobq_park_need(struct jobq *, uint32_t i, const struct sched_res *);
void jobq_park_team(struct jobq *, uint32_t i);
void jobq_remove(struct jobq *, uint32_t i);
bool jobq_quota_allows(const struct jobq_team *, const struct sched_res *);

__END_DECLS

#endif
