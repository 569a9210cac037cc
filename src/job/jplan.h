/*
 * Chooses which waiting tasks start now, and on which workers. Pure: takes the
 * state, the free resources of each worker and the time, returns choices.
 *
 * Built for loads above the capacity for seconds at a time, from jobs whose
 * value drops at their objective and again at JPLAN_LATE_FACTOR times that.
 * Jobs that can still meet their objective come first, then jobs that are late
 * but still worth something, then the rest. Within each band the order is by
 * the queue's priority, then jobs that have begun: an order by objective alone
 * would start everything and finish little in time. Among jobs that can be in
 * time, the one with the least slack comes next. The slack counts the time
 * until all tasks of a wide step have started, so that large jobs aren't put
 * off until they are late. Among the others, the one with the least work left
 * comes next.
 *
 * Short jobs come before long-running ones, except that displaced tasks of a
 * long-running job come first of all: users wait for them, and on a full fleet
 * small tasks would take all resources that become free before there is enough
 * for a large task. For each displaced task that doesn't fit anywhere, a worker
 * is reserved until it does, or until a step of which nothing runs has waited
 * for long on a service of which much is free. New long-running tasks leave
 * free what short jobs need on average.
 *
 * Best-effort tasks share workers with serving ones. They go where they slow
 * down the fewest serving jobs, and wait for such a place while they have time.
 * They wait for processors that others leave unused, but not for long while
 * nothing of their job runs on a service of which much is free.
 *
 * With look-ahead, a worker is kept for a large short task that fits nowhere,
 * where it can start earliest. Other tasks go there if they end before then,
 * fit beside it, or are more urgent.
 */
#ifndef JOB_JPLAN_H
#define JOB_JPLAN_H

#include "job/jdemand.h"
#include "job/jinterf.h"
#include "job/jroom.h"
#include "job/jst.h"

__BEGIN_DECLS

/* A late job is worth something up to this multiple of its objective; from the
 * users' rules on credit. */
#define JPLAN_LATE_FACTOR 3
/* Overhead of a step in ms: two commits, a call and the poll that reports the
 * end. */
#define JPLAN_STEP_OVERHEAD_MS 60
/* Steps of a job that count for its critical path; the platform adapter accepts
 * no more. */
#define JPLAN_STEPS_MAX 64
/* Sort key of a long-running job among those that can be in time: after all
 * others, which lose all value while waiting and soon free their
 * resources. */
#define JPLAN_LONG_RUNNING_ORDER 1e9
/* At most one of this many workers of a service, plus one, is reserved for
 * displaced tasks. */
#define JPLAN_WORKERS_PER_RESERVED 16
/*
 * Costs of a worker for a task. The unit is a thousandth of its processors, so
 * that a cost of 1000 or more outweighs any difference in free resources. Above
 * that only the order matters: failure score, then interference, rack, serving
 * tasks of other images, the rest.
 */
/* Per unit of failure score, so that a worker that failed tasks lately is
 * chosen last. */
#define JPLAN_FAILURE_COST 100000.0
/* A best-effort task on a worker without serving tasks: it would take the place
 * of one that slows down every serving task elsewhere. */
#define JPLAN_NO_SERVING_COST 1000.0
/* Per serving job that loses its whole value because of a best-effort task. */
#define JPLAN_INTERFERENCE_COST 10000.0
/* A serving job loses this multiple of the share of its tasks that miss their
 * target because of best-effort tasks, at most its whole value; from the users'
 * rules on credit. */
#define JPLAN_LOSS_FACTOR 4
/* Cost of raising the utilisation of a serving job by 1, in serving jobs.
 * Counts below the target too, since the load may rise while the best-effort
 * task runs. */
#define JPLAN_USE_RISE_WEIGHT 1.0
/* Range of utilisation in which a target may be missed: the one at the target,
 * plus and minus the error of the model. */
#define JPLAN_OVER_TARGET_MIN_USE (JINTERF_TARGET_USE - 0.08)
#define JPLAN_OVER_TARGET_MAX_USE (JINTERF_TARGET_USE + 0.08)
/* A best-effort task whose interference costs more than this share of a serving
 * job waits for a better place, until its own job has only this much time to
 * spare. The margin covers the error of declared times and one plan. */
#define JPLAN_WAIT_INTERFERENCE 0.08
#define JPLAN_WAIT_MARGIN_MS	200
/*
 * While less than this share of a service's processors is allocated, a task
 * waits no longer than this for a better place, or for a reserved worker. Users
 * accept 3 s while half of the service is free; both values leave a margin for
 * data that is slightly out of date.
 */
#define JPLAN_LOW_LOAD_SHARE   0.6
#define JPLAN_LOW_LOAD_WAIT_MS 1500
/* Most groups of serving tasks on one worker; tasks beyond them don't count. Up
 * to six occur. */
#define JPLAN_GROUPS_MAX 12
/* First serving task on a worker. Makes serving tasks share workers, so that
 * some workers stay free for best-effort images that interfere strongly. */
#define JPLAN_FIRST_SERVING_COST 500.0
/* A worker whose serving tasks are all of other images. */
#define JPLAN_OTHER_IMAGE_COST 4000.0
/* Bonus for a worker that takes all serving tasks of a job. */
#define JPLAN_SAME_JOB_GAIN 3000.0
/* A worker that isn't on the rack of the task's data. */
#define JPLAN_OTHER_RACK_COST 5000.0
/* A cold worker for a task that is to meet an objective: chosen after every
 * warm one that hasn't failed tasks lately. */
#define JPLAN_COLD_COST 50000.0
/* At most one of this many cold workers of a domain takes tasks in one plan,
 * rounded up, so that a domain that comes back isn't filled all at once. */
#define JPLAN_COLD_WORKERS_PER_USED 2
/* Share of their processors that serving tasks use at busy times; the rest is
 * for best-effort tasks. */
#define JPLAN_SERVING_USE 0.5

/*
 * Look-ahead: places kept for large short tasks. At most one of this many
 * workers of a service, plus one, is kept, and as many of those that may run
 * the step; and these in all, and for one step.
 */
#define JPLAN_WORKERS_PER_SLOT	 16
#define JPLAN_SLOTS_MAX		 256
#define JPLAN_SLOTS_PER_STEP_MAX 16
/* A step for which no worker was found isn't looked at again for this long, so
 * that steps which fit no worker don't use up the searches of each plan. */
#define JPLAN_SLOT_RETRY_MS 1000
/* Searches of all workers for places in one plan. One takes 0.2 us a worker
 * with 30 runs; putting the runs of a changed one in order takes 1 us. */
#define JPLAN_SLOT_SCANS_MAX 3
/* No place is kept that is free later than this: nearly all tasks fit in before
 * then, and the model knows little about so late a time. */
#define JPLAN_SLOT_AHEAD_MAX_MS 8000
/* A step for which places were kept for so long in all without a start gets
 * none for as long again: the model is wrong, or more urgent tasks take them.
 * Kept time is forgotten after as long without a place. */
#define JPLAN_SLOT_HOLD_MAX_MS 10000
/* A place moves if it is free this much sooner elsewhere; below the error of
 * the model a move would only give away what has become free. */
#define JPLAN_SLOT_MOVE_MS 100
/* Workers with a higher failure score get no place. */
#define JPLAN_SLOT_FAILURE_MAX 1.0
/* A worker whose place was kept in the plan before, for a task that would delay
 * the start there: above any difference in free resources. */
#define JPLAN_SLOT_COST 2000.0

/* With look-ahead: a worker whose runs take twice as long as elsewhere, for a
 * short task. Above any difference in free resources already for the least
 * slowness that counts. */
#define JPLAN_SLOW_COST 6000.0

/* Serving tasks of one step on a worker. */
struct jplan_group {
	struct jst_step *step;
	size_t image;
	uint32_t ntasks;
	/* added to their utilisation by best-effort tasks there */
	double interference;
};

/* A place kept for a large task in an earlier plan. */
struct jplan_hold {
	uint64_t job;
	uint32_t occurrence, step;
	int64_t start_ms; /* when it was to start; 0: none is kept */
};

/* What the plan knows about a worker. Resources are in 1/1000 processors, MB
 * and accelerators. */
struct jplan_worker {
	struct jst_worker *w;
	bool usable;
	bool closed; /* not usable: its domain is under evacuation */
	bool cold;   /* slow for a while */
	int64_t free_cpu, free_mem,
	    free_accel; /* free_cpu ignores best-effort tasks */
	int64_t cpu_total;
	int64_t best_effort_cpu; /* requested by best-effort tasks */
	int64_t serving_cpu;	 /* allocated to serving tasks */
	/* allocated to long-running tasks, best-effort ones use no cpu */
	int64_t lasting_cpu, lasting_mem, lasting_accel;
	uint32_t nserving, nbest_effort;
	struct jplan_group groups[JPLAN_GROUPS_MAX];
	uint32_t ngroups;
	double failure_score;	/* from recent failed tasks, 0: none */
	uint32_t service_index; /* set by the plan */
	bool changed;  /* set by the plan when it has placed a task there */
	bool reserved; /* set by the plan: for displaced tasks only */
	/* set by the plan, for cold workers: index of its domain, and the tasks
	 * that were placed there */
	uint32_t domain_index, ncold_tasks;
	/* With look-ahead: the runs there, NULL without; and when an unusable
	 * worker is usable again, or JROOM_NEVER. */
	struct jroom_worker *room;
	double slowness; /* as jspeed_slowness returns it */
	int64_t usable_at_ms;
	struct jplan_hold hold; /* set by the plan, kept until the next one */
	/* set by the plan: 1 + index in jplan_lookahead.slots, 0: none */
	uint32_t room_slot;
};

/* A task that is to start on a worker. */
struct jplan_choice {
	struct jst_step *step;
	uint32_t index;
	size_t worker;
	/* of a best-effort task: its cost to serving jobs there */
	double interference;
	/* it could have waited for a place with less interference */
	bool may_wait;
};

/* A place kept for a large task of a step until start_ms. */
struct jplan_slot {
	const struct jst_step *step;
	size_t worker;
	/* against tasks of this band and priority, and those after them */
	int band;
	uint32_t priority;
	int64_t start_ms;
	struct jroom_amount spare; /* free then beside the task */
	uint32_t nends;		   /* runs that end until then */
	bool is_new;		   /* not kept in the plan before */
	bool is_late;		   /* its job won't be in time by the model */
};

/* Look-ahead placement: the model, and the places kept by the last plan. */
struct jplan_lookahead {
	const struct jroom *model;
	/* fills the runs of a worker whose entry is stale */
	void (*fill)(void *arg, size_t worker, struct jroom_worker *);
	void *arg;
	struct jplan_slot slots[JPLAN_SLOTS_MAX];
	size_t nslots;
	uint32_t nscans; /* of all workers for a place in the last plan */
	uint64_t plan;	 /* number of the last plan */
};

/* Returns the length of a job's critical path by declared times, in ms. */
int64_t jplan_critical_path_ms(const Job__Spec *);
/* Sets queue_cfg and deadline_ms of a job. The deadline is the objective of its
 * queue after the submission. */
void jplan_set_deadline(const struct jst *, struct jst_job *);
/* Returns the band of a step that starts at a time: 0 if its job can be in
 * time, 1 if it is late, 2 if it is worthless; and sets its deadline. */
int jplan_band(struct jst_step *, int64_t at_ms, int64_t *deadline_ms);
/* Tells whether the start time of a step's occurrence has come. */
bool jplan_may_start(const struct jst_step *, int64_t wall_ms);
/* Tells whether a worker has a label; any has the one that is NULL or empty. */
bool jplan_has_label(const Job__Worker *, const char *label);
/* Sets out to the choices, which the caller frees, and returns their number: at
 * most max, unless a gang begins below and ends above. Subtracts chosen tasks
 * from the free resources. wall_ms counts for deadlines and start times,
 * the monotonic now_ms for how long a task waits. Without look-ahead NULL. */
size_t jplan_choose(struct jst *, struct jinterf *, const struct jdemand *,
    struct jplan_worker *, size_t nworkers, int64_t wall_ms, int64_t now_ms,
    struct jplan_lookahead *, struct jplan_choice **out, size_t max);

__END_DECLS

#endif
