/*
 * Which waiting tasks start now, and where. Pure: the state, what is free on
 * each worker and the time go in, choices come out.
 *
 * The load it answers: more work than fits for seconds at a time, in jobs
 * whose worth drops at their objective and again at three times that. Jobs
 * that can still meet their objective come first, then those that are late
 * but still worth something, then the rest. Within each, the queue's priority
 * decides, then jobs that have begun: an order by objective alone would start
 * everything and finish little in time. Of those that can be in time the one
 * with the least time to spare comes next, counting the time until all tasks
 * of a wide step are started, so that large jobs are not put off until they
 * are late; of the others the one with the least work left. Short jobs come
 * before lasting ones, but tasks of a lasting job that have lost their place
 * come before all: their users wait for them, and on a full fleet small tasks
 * would take every bit of room that becomes free before it is enough for a
 * large one. So for those that find none a worker each is kept until it is.
 * New lasting tasks leave free what short jobs need on average.
 *
 * Filling tasks share workers with serving ones. They go where they disturb
 * the fewest serving jobs, and wait for such a place while they have time.
 */
#ifndef JOB_JPLAN_H
#define JOB_JPLAN_H

#include "job/jdemand.h"
#include "job/jinterf.h"
#include "job/jst.h"

__BEGIN_DECLS

/* Up to this multiple of the objective a late job is worth something; from
 * the users' rules on credit. */
#define JPLAN_LATE_FACTOR 3
/* Attempts and orders add about this to each step: two commits, a call and
 * the look that reports the end. */
#define JPLAN_STEP_OVERHEAD_MS 60
/* Steps of a job that are looked at for its longest chain; the adapter takes
 * no more. */
#define JPLAN_STEPS_MAX 64
/* Place of a job that lasts in the order of those that can be in time: behind
 * all others, which lose all while they wait and soon give back what they take.
 */
#define JPLAN_LASTING_ORDER 1e9
/* Most workers kept for tasks that return, one of so many and one more. */
#define JPLAN_KEPT_PART 16
/* Costs of a worker for a task. One is a thousandth of its processors, so that
 * those of 1000 and more go before any difference in room; beyond that only
 * their order is meant: blame, then harm, the rack, strangers, the rest. */
/* For each unit of blame: a worker that failed a task lately is the last. */
#define JPLAN_AVOID_COST 100000.0
/* For a filling task where nothing serves: it takes the place of one that
 * disturbs whatever serves elsewhere. */
#define JPLAN_FREE_COST 1000.0
/* For a serving job that loses all because of a filling task. */
#define JPLAN_HARM_COST 10000.0
/* A serving job loses so many times the part of its tasks that are over their
 * target because of what fills beside them, at most all; from the users' rules
 * on credit. */
#define JPLAN_HARM_FACTOR 4
/* Part of a serving job that a rise of its use by 1 counts for, also below a
 * target: the load may rise while the filling task runs. */
#define JPLAN_PRESS_PART 1.0
/* The use at a target, and the error of the model around it. */
#define JPLAN_OVER_FROM (JPRESS_FULL_USE - 0.08)
#define JPLAN_OVER_TO	(JPRESS_FULL_USE + 0.08)
/* A filling task that costs more than this part of a serving job waits for a
 * better place until its own job would be late but for so little: the error of
 * declared times, and a plan. Mean worth of 8 days: 0.583 without waiting,
 * 0.616 from 0.25, 0.657 from 0.12, 0.668 from 0.08, 0.646 from 0.05. */
#define JPLAN_PATIENT_HARM 0.08
#define JPLAN_PATIENCE_MS  200
/* While less than this part of a service's processors is taken a task waits no
 * longer than so long for a better place. The users allow 3 s while half of a
 * service is free; both leave a margin for figures that are a moment old. */
#define JPLAN_CALM_PART	  0.6
#define JPLAN_CALM_MAX_MS 1500
/* Serving jobs of a worker that are told apart; up to six were seen. */
#define JPLAN_GROUPS_MAX 12
/* For the first serving task of a worker: serving tasks share workers, so that
 * some are left for heavy images. */
#define JPLAN_FIRST_SERVING_COST 500.0
/* For a worker whose serving tasks are all of other images. */
#define JPLAN_STRANGER_COST 4000.0
/* For a worker that takes all serving tasks of a job. */
#define JPLAN_TOGETHER_GAIN 3000.0
/* For a worker that isn't on the rack of the task's data. */
#define JPLAN_FAR_COST 5000.0
/* Part of what serving tasks reserve that they use in their busy seconds;
 * the rest is for what fills. */
#define JPLAN_SERVING_USE 0.5

/* The serving tasks of one step on a worker. */
struct jplan_group {
	struct jst_step *st;
	size_t image;
	uint32_t n;
	double press; /* of what fills beside them */
};

struct jplan_worker {
	struct jst_worker *w;
	bool usable;
	int64_t cpu, mem, accel; /* free; cpu without the filling tasks */
	int64_t cpu_total;
	int64_t fill_cpu;    /* asked for by filling tasks */
	int64_t serving_cpu; /* reserved by serving tasks */
	uint32_t serving, filling;
	struct jplan_group groups[JPLAN_GROUPS_MAX];
	uint32_t ngroups;
	double blame;	     /* recent failures that point at the worker */
	uint32_t service_no; /* given by the plan */
	bool changed;	     /* by the plan */
	bool kept;	     /* by the plan: for tasks that return */
};

struct jplan_choice {
	struct jst_step *step;
	uint32_t index;
	size_t worker;
	double harm;  /* to serving jobs there, of a filling task */
	bool patient; /* it could have waited for a place with less */
};

/* The longest chain of declared times of a job, in ms. */
int64_t jplan_chain_ms(const Job__Spec *);
/* Sets due_ms of a job from its queue. */
void jplan_judge(const struct jst *, struct jst_job *);
/* Fills out, at most max; what is chosen is taken off the free amounts. */
size_t jplan_pick(struct jst *, struct jpress *, const struct jdemand *,
    struct jplan_worker *, size_t nworkers, int64_t now_ms,
    struct jplan_choice *out, size_t max);

__END_DECLS

#endif
