/*
 * Interference: how much the answers of one class slow down per share of a
 * worker's processors that a neighbour class uses. One estimate per ordered
 * pair, learned online by a diagonal Kalman filter from latency summaries
 * relative to the victim's figure in the whole fleet.
 */
#ifndef PLACEMENT_INTF_H
#define PLACEMENT_INTF_H

#include <stdbool.h>
#include "placement/hmap.h"

__BEGIN_DECLS

#define INTF_NEIGHBOURS_MAX 24 /* neighbour classes of a worker considered */

/* A neighbour class and its share of the worker's processors. */
struct intf_neighbour {
	uint32_t cls;
	double share;
};

struct intf_pair {
	float slowdown; /* slowdown per share of 1 */
	float variance; /* of the estimate */
	int64_t seen_ms;
	float weight; /* cached by the scheduler */
	uint32_t weight_refresh;
};

struct intf_victim {
	double mean_ms;	  /* of the fleet, decaying */
	double intercept; /* intercept: relative answer time when alone */
	double intercept_var;
	double noise;	      /* decaying mean of squared residuals */
	double mean_slowdown; /* mean of g over what was seen near the victim */
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
/* One latency summary of a victim class on a worker. */
void intf_observe(struct intf *, int64_t now_ms, uint32_t victim,
    const struct intf_neighbour *, unsigned n, uint32_t count, double mean_ms);
/*
 * Slowdown of the victim per share of the neighbour, and its standard
 * deviation; a pair that was never seen has the mean of its victim.
 */
double intf_slowdown(const struct intf *, int64_t now_ms, uint32_t victim,
    uint32_t neighbour, double *sd);
/* The record of a pair, NULL when it was never seen. */
struct intf_pair *intf_find(
    const struct intf *, uint32_t victim, uint32_t neighbour);
/* Mean slowdown per share of what runs near the victim. */
double intf_mean(const struct intf *, uint32_t victim);

__END_DECLS

#endif
