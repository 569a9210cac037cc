/*
 * Tells which workers are slower than others. Pure.
 *
 * Declared times are too rough to show it, so a run is compared with the median
 * of the ended tasks of its own step. A worker counts as slow only if the mean
 * of such ratios is further from that of all workers than chance explains. It
 * then gets fewer runs, the average decays, and it is tried again.
 */
#ifndef JOB_JSPEED_H
#define JOB_JSPEED_H

#include "job/jst.h"

__BEGIN_DECLS

/* Time constant of the averages. A worker is slow for some tens of seconds
 * after its failure domain was evacuated. */
#define JSPEED_DECAY_MS 10000
/* Ended tasks of a step before others are compared with their median. */
#define JSPEED_STEP_MIN 3
/* Range of the ratio of one run: a single one may be off by any cause. */
#define JSPEED_RATIO_MAX 4.0
/* Runs, after decay, before a worker may count as slow. */
#define JSPEED_RUNS_MIN 5.0
/* Standard errors by which a slow worker's mean is above that of all. With 500
 * workers, 2 would name some tens by chance at any time. */
#define JSPEED_ERRORS_MIN 3.0
/* Least ratio that counts: below it, what avoiding the worker would lose is
 * more. */
#define JSPEED_SLOW_RATIO 1.2

/* Decaying sums over the logarithms of ratios. */
struct jspeed {
	double n, sum, squares;
	int64_t at_ms;
};

/* Learns from a task of a step that was done after ms. all is the average over
 * all workers. */
void jspeed_learn(struct jspeed *worker, struct jspeed *all, struct jst_step *,
    int64_t ms, int64_t now_ms);
/* Returns how much longer a worker's runs take than elsewhere, as a share; 0:
 * not known to be slow. */
double jspeed_slowness(
    const struct jspeed *worker, const struct jspeed *all, int64_t now_ms);

__END_DECLS

#endif
