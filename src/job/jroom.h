/*
 * When the resources of a worker become free. Pure.
 *
 * Small tasks leave fragments that a large task can't use, and take each of
 * them again as soon as it grows. The model says when the runs on a worker end,
 * so that a place can be kept for a large task while tasks that end before then
 * still use it. It starts from declared times, corrected by the average ratio
 * of real to declared times of the same step and image. The averages aren't
 * replicated: a new leader learns them again.
 */
#ifndef JOB_JROOM_H
#define JOB_JROOM_H

#include "job/jinterf.h"
#include "job/jst.h"

__BEGIN_DECLS

/* A time that never comes, in ms. */
#define JROOM_NEVER INT64_MAX
/* Steps of an image that are told apart by their number; later ones share the
 * last average. */
#define JROOM_STEPS 8
/* Time constant of the averages. Covers a few hundred ends of a common image,
 * and follows a change of the load. */
#define JROOM_DECAY_MS 10000
/* Runs that an average counts for at most, so that a new trend shows after some
 * tens of ends. */
#define JROOM_WEIGHT_MAX 50
/* Runs that the next broader average counts for when averages are combined: the
 * image's for a step, the step's for the tasks of one job. */
#define JROOM_PRIOR_WEIGHT 2.0
/* Range of a ratio that is learnt. Declared times are off by 0.9 of their value
 * at most; the rest is for calls that got lost. */
#define JROOM_RATIO_MIN 0.05
#define JROOM_RATIO_MAX 20.0
/* A run that is longer than expected is expected to go on for this share of its
 * age, and at least for this long: the longer it has run, the less is known. */
#define JROOM_OVERRUN_SHARE  0.25
#define JROOM_OVERRUN_MIN_MS 40
/* Until the end of a stopped run, or one whose end is being replicated, is
 * known. */
#define JROOM_STOP_MS	1100
#define JROOM_ENDING_MS 30
/* Runs on a worker beyond these are taken not to end. A worker has up to some
 * tens. */
#define JROOM_RUNS_MAX 64

/* Decaying average of real over declared times. */
struct jroom_ratio {
	double mean, weight;
	int64_t at_ms;
};

struct jroom {
	/* by image as jinterf numbers them, the last for all others */
	struct jroom_ratio image[JINTERF_IMAGES_MAX + 1];
	struct jroom_ratio step[JINTERF_IMAGES_MAX + 1][JROOM_STEPS];
};

/* A run that ends, and what it releases. Its resources are held from since_ms
 * on, expected_ms long. */
struct jroom_run {
	int64_t since_ms, expected_ms;
	int64_t cpu, mem, accel;
};

/* The runs of a worker that end by themselves, in order of since_ms +
 * expected_ms, so that a search needn't sort them. */
struct jroom_worker {
	struct jroom_run *runs;
	size_t n, cap;
	bool stale; /* to be filled again before it is used */
};

/* An amount of resources: 1/1000 processors, MB and accelerators. */
struct jroom_amount {
	int64_t cpu, mem, accel;
};

/* The time when a task fits on a worker. */
struct jroom_start {
	int64_t at_ms;
	struct jroom_amount spare; /* free then beside the task */
	uint32_t nends;		   /* runs that end until then */
	/* one of these releases enough, so that the place needn't be kept */
	bool one_is_enough;
};

void jroom_init(struct jroom *);
/* Learns from a task that was done after its resources were held for held_ms.
 */
void jroom_learn(struct jroom *, struct jst_step *, size_t image,
    int64_t held_ms, int64_t now_ms);
/* Returns for how long a task of a step holds its resources, in ms. */
int64_t jroom_expected_ms(
    const struct jroom *, const struct jst_step *, size_t image);
void jroom_add_run(struct jroom_worker *, const struct jroom_run *);
void jroom_remove_run(struct jroom_worker *, const struct jroom_run *);
/* Returns when a run ends. */
int64_t jroom_end_ms(const struct jroom_run *, int64_t now_ms);
/* Returns when a task fits on a worker with these free resources. at_ms is
 * JROOM_NEVER if it doesn't fit by by_ms. */
struct jroom_start jroom_find_start(const struct jroom_worker *,
    const struct jroom_amount *available, const struct jroom_amount *need,
    int64_t now_ms, int64_t by_ms);
void jroom_worker_finish(struct jroom_worker *);

__END_DECLS

#endif
