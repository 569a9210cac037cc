/*
 * Histograms of durations. The buckets are fixed, so that the histograms of
 * several instances can be added up.
 */
#ifndef BASE_HIST_H
#define BASE_HIST_H

#include <sys/cdefs.h>
#include <stddef.h>
#include <stdint.h>

__BEGIN_DECLS

#define HIST_BOUNDS 14

/* Upper bounds of the buckets; one more bucket has no bound. */
extern const int64_t hist_bound_ms[HIST_BOUNDS];

struct hist {
	uint64_t buckets[HIST_BOUNDS + 1];
	uint64_t count;
	int64_t sum_ms;
};

void hist_init(struct hist *);
/* A negative duration, measured when a clock was set back, counts as 0. */
void hist_add(struct hist *, int64_t ms);
/* Returns the upper bound of the bucket with a quantile (0 to 1); -1: the last
 * one. */
int64_t hist_quantile_ms(const struct hist *, double quantile);

__END_DECLS

#endif
