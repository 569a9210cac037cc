/*
 * Learns how much best-effort tasks raise the tail latency of serving tasks on
 * the same worker, per pair of images. Pure.
 *
 * A serving task is modelled as a queue: its utilisation goes from 0 to 1, and
 * its tail latency is JINTERF_IDLE_RATIO of its target / (1 - utilisation). The
 * utilisation is the sum of the load of its own job, which changes within
 * seconds and is the same on all workers, and of the effect of each best-effort
 * task beside it times that task's share of the worker's processors. The effect
 * depends on both images, because what slows down one kind of service may leave
 * another one alone. Loads and effects are tracked by normalised LMS (least
 * mean squares), one step per latency figure.
 */
#ifndef JOB_JINTERF_H
#define JOB_JINTERF_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/cdefs.h>

__BEGIN_DECLS

/* Images with effects of their own; further ones have the default effect. */
#define JINTERF_IMAGES_MAX 64
/* Tail latency of an idle serving task as a share of its target, just below the
 * least seen, 0.22. */
#define JINTERF_IDLE_RATIO 0.2
/* Utilisation at which the tail latency equals its target. */
#define JINTERF_TARGET_USE (1 - JINTERF_IDLE_RATIO)
/* Above this, the latency no longer tells how overloaded a task is. */
#define JINTERF_USE_MAX 0.95
/* Effect of an unknown pair of images, and load of a job that isn't known
 * yet. */
#define JINTERF_EFFECT_DEFAULT 0.7
#define JINTERF_LOAD_DEFAULT   0.5
/* Step sizes of the learning rule. */
#define JINTERF_LOAD_STEP   0.3
#define JINTERF_EFFECT_STEP 0.05
/* Limit of the error taken from one figure, in utilisation: three times the
 * error that remains once the model has learned. */
#define JINTERF_ERROR_MAX 0.3
/* The more interference a task has, the less its latency tells about its load:
 * an interference of 1 makes the step four times smaller. */
#define JINTERF_LOAD_DAMPING 3
/* Regularisation, so that a small share doesn't get the whole error: the square
 * of a tenth of the processors. */
#define JINTERF_REGULARISATION 0.01
/* Least load that is learned; 0 means unknown. */
#define JINTERF_LOAD_MIN 0.05

struct jinterf {
	char *names[JINTERF_IMAGES_MAX];
	size_t n;
	/* [best-effort image][serving image] */
	double effect[JINTERF_IMAGES_MAX][JINTERF_IMAGES_MAX];
};

/* A best-effort task on a worker and its share of the processors. */
struct jinterf_source {
	size_t image_index;
	double cpu_share;
};

void jinterf_init(struct jinterf *);
void jinterf_finish(struct jinterf *);
/* Returns the index of an image, which never changes; adds the image if it is
 * new. NULL counts as "". Returns JINTERF_IMAGES_MAX if there are too many. */
size_t jinterf_image_index(struct jinterf *, const char *name);
/* Returns what a best-effort image adds to the utilisation of a serving one if
 * it has all processors of the worker. */
double jinterf_effect(
    const struct jinterf *, size_t best_effort, size_t serving);
/* Returns the utilisation for a tail latency over its target. */
double jinterf_use(double ratio);
/* Learns from the tail latency over its target of a serving task and the
 * best-effort tasks beside it. load is the load of the task's job, 0 if
 * unknown, and is updated. */
void jinterf_learn(struct jinterf *, size_t serving, double ratio, double *load,
    const struct jinterf_source *, size_t n);

__END_DECLS

#endif
