/*
 * Model of interference: how much the answers of one class, the victim, slow
 * down per share of a worker's processors that a neighbour class uses. There is
 * one estimate per ordered pair of classes. A Kalman filter with a diagonal
 * covariance learns it online from latency summaries, relative to the victim's
 * mean in the whole fleet.
 */
#ifndef PLACEMENT_INTF_H
#define PLACEMENT_INTF_H

#include <stdbool.h>
#include "placement/hmap.h"

__BEGIN_DECLS

#define INTF_NEIGHBOURS_MAX 24 /* neighbour classes considered per worker */

/* A neighbour class and its share of the worker's processors. */
struct intf_neighbour {
	uint32_t cls;
	double share;
};

struct intf_pair {
	float slowdown; /* relative slowdown per share of 1 */
	float variance; /* of the estimate */
	int64_t last_seen_ms;
	float weight;		 /* cached by sched_neighbour_weight() */
	uint32_t weight_refresh; /* value of sched.refreshes then */
};

struct intf_victim {
	double mean_ms;	  /* moving mean of the answer time in the fleet */
	double intercept; /* relative answer time without neighbours */
	double intercept_var;
	double noise;	      /* moving mean of squared residuals */
	double mean_slowdown; /* mean over the neighbours seen */
	uint32_t nsummaries;
	int64_t mean_at_ms;
};

struct intf {
	TALLOC_CTX *ctx;
	struct hmap by_pair; /* victim << 32 | neighbour */
	struct intf_pair *pairs;
	uint32_t npairs, pairs_cap;
	struct intf_victim *victims;
	uint32_t nvictims;
};

void intf_init(struct intf *, TALLOC_CTX *);
/* Learns from one latency summary of a victim class on a worker. */
void intf_observe(struct intf *, int64_t now_ms, uint32_t victim,
    const struct intf_neighbour *, unsigned n, uint32_t count, double mean_ms);
/*
 * Returns the slowdown of the victim per share of the neighbour, and its
 * standard deviation. A pair that was never seen has the mean of its victim.
 */
double intf_slowdown(const struct intf *, int64_t now_ms, uint32_t victim,
    uint32_t neighbour, double *sd);
/* Returns the record of a pair, NULL if it was never seen. */
struct intf_pair *intf_find(
    const struct intf *, uint32_t victim, uint32_t neighbour);
/* Returns the mean slowdown of the victim per share of its neighbours. */
double intf_mean(const struct intf *, uint32_t victim);

__END_DECLS

#endif
