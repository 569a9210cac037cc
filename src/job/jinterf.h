/*
 * What the images of filling tasks do to the tails of serving tasks on the
 * same worker, learned from looks. Pure.
 *
 * Model: a serving task behaves like a queue. Its use grows from 0 to 1, and
 * its tail is JPRESS_IDLE_RATIO of its target / (1 - use). The use is the load
 * of its own job, which swings within seconds and is the same on all workers,
 * and the press of each filling task beside it times its part of the worker's
 * processors. The press belongs to a pair of images: what one kind of service
 * suffers from leaves another one alone. Loads and presses are followed by the
 * normalised least mean squares rule, one step a figure. On 47,000 figures of a
 * played day it told in 89 of 100 cases whether a tail was over its target, and
 * was 0.09 off in the use (0.11 with one press for each filling image).
 */
#ifndef JOB_JPRESS_H
#define JOB_JPRESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/cdefs.h>

__BEGIN_DECLS

/* Most images that are told apart; later ones count as average. */
#define JPRESS_IMAGES 64
/* Tail over target of a serving task that nothing asks: the least figures seen
 * are 0.22. */
#define JPRESS_IDLE_RATIO 0.2
/* The use at which a tail is at its target. */
#define JPRESS_FULL_USE (1 - JPRESS_IDLE_RATIO)
/* Above it figures tell no more how far the use is over 1. */
#define JPRESS_MOST_USE 0.95
/* Press of a pair that has not been seen, and load of a job: the middle of
 * those seen. */
#define JPRESS_GUESS	  0.7
#define JPRESS_LOAD_GUESS 0.5
/* Steps of the rule; of 0.1 to 0.5 and 0.02 to 0.15 these told most. */
#define JPRESS_LOAD_STEP  0.3
#define JPRESS_PRESS_STEP 0.05
/* Most that one figure may differ from the model, in use: three times the
 * error that is left once it has learned. */
#define JPRESS_SURPRISE 0.3
/* The more fills beside a task, the less its figure tells of its load: a press
 * of 1 makes the step four times smaller. */
#define JPRESS_LOAD_DOUBT 3
/* Added to the sum of squared parts, so that small parts are not blamed for
 * all: the square of a tenth of the processors. */
#define JPRESS_SMALL_PART 0.01
/* Least load; 0 stands for one that isn't known. */
#define JPRESS_LEAST_LOAD 0.05

struct jpress {
	char *names[JPRESS_IMAGES];
	size_t n;
	/* Of a filling image, on a serving one. */
	double press[JPRESS_IMAGES][JPRESS_IMAGES];
};

/* A filling task on a worker: its part of the processors. */
struct jpress_part {
	size_t image;
	double share;
};

void jpress_init(struct jpress *);
void jpress_finish(struct jpress *);
/* The number of an image, which stays valid. NULL is an image of its own. */
size_t jpress_image(struct jpress *, const char *name);
/* What a filling image adds to the use of a serving one beside it, for all of
 * the worker's processors. */
double jpress_of(const struct jpress *, size_t fills, size_t serves);
/* The use that a tail over its target stands for. */
double jpress_use(double ratio);
/* Takes in the tail over its target of a serving task of an image beside these
 * parts. load is that of its job, 0 if it isn't known yet, and is followed,
 * too. */
void jpress_learn(struct jpress *, size_t serves, double ratio, double *load,
    const struct jpress_part *, size_t n);

__END_DECLS

#endif
