/*
 * What the images of filling tasks do to the tails of serving tasks on the
 * same worker, learned from looks. Pure.
 *
 * Model: a serving task behaves like a queue. Its use grows from 0 to 1, and
 * its tail is JINTERF_IDLE_RATIO of its target / (1 - use). The use is the load
 * of its own job, which swings within seconds and is the same on all workers,
 * and the press of each filling task beside it times its part of the worker's
 * processors. The press belongs to a pair of images: what one kind of service
 * suffers from leaves another one alone. Loads and presses are followed by the
 * normalised least mean squares rule, one step a figure. On 47,000 figures of a
 * played day it told in 89 of 100 cases whether a tail was over its target, and
 * was 0.09 off in the use (0.11 with one press for each filling image).
 */
#ifndef JOB_JINTERF_H
#define JOB_JINTERF_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/cdefs.h>

__BEGIN_DECLS

/* Most images that are told apart; later ones count as average. */
#define JINTERF_IMAGES_MAX 64
/* Tail over target of a serving task that nothing asks: the least figures seen
 * are 0.22. */
#define JINTERF_IDLE_RATIO 0.2
/* The use at which a tail is at its target. */
#define JINTERF_TARGET_USE (1 - JINTERF_IDLE_RATIO)
/* Above it figures tell no more how far the use is over 1. */
#define JINTERF_USE_MAX 0.95
/* Press of a pair that has not been seen, and load of a job: the middle of
 * those seen. */
#define JINTERF_EFFECT_DEFAULT 0.7
#define JINTERF_LOAD_DEFAULT   0.5
/* Steps of the rule; of 0.1 to 0.5 and 0.02 to 0.15 these told most. */
#define JINTERF_LOAD_STEP   0.3
#define JINTERF_EFFECT_STEP 0.05
/* Most that one figure may differ from the model, in use: three times the
 * error that is left once it has learned. */
#define JINTERF_ERROR_MAX 0.3
/* The more fills beside a task, the less its figure tells of its load: a press
 * of 1 makes the step four times smaller. */
#define JINTERF_LOAD_DAMPING 3
/* Added to the sum of squared parts, so that small parts are not blamed for
 * all: the square of a tenth of the processors. */
#define JINTERF_REGULARISATION 0.01
/* Least load; 0 stands for one that isn't known. */
#define JINTERF_LOAD_MIN 0.05

struct jinterf {
	char *names[JINTERF_IMAGES_MAX];
	size_t n;
	/* Of a filling image, on a serving one. */
	double effect[JINTERF_IMAGES_MAX][JINTERF_IMAGES_MAX];
};

/* A filling task on a worker: its part of the processors. */
struct jinterf_source {
	size_t image_index;
	double cpu_share;
};

void jinterf_init(struct jinterf *);
void jinterf_finish(struct jinterf *);
/* The number of an image, which stays valid. NULL is an image of its own. */
size_t jinterf_image_index(struct jinterf *, const char *name);
/* What a filling image adds to the use of a serving one beside it, for all of
 * the worker's processors. */
double jinterf_effect(const struct jinterf *, size_t fills, size_t serves);
/* The use that a tail over its target stands for. */
double jinterf_use(double ratio);
/* Takes in the tail over its target of a serving task of an image beside these
 * parts. load is that of its job, 0 if it isn't known yet, and is followed,
 * too. */
void jinterf_learn(struct jinterf *, size_t serves, double ratio, double *load,
    const struct jinterf_source *, size_t n);

__END_DECLS

#endif
