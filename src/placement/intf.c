#include "placement/intf.h"

#include <math.h>

#define INTF_PRIOR     0.5 /* slowdown per share before any summary */
#define INTF_PRIOR_VAR 1.0
#define INTF_DRIFT     1e-4 /* variance added per summary, since pairs change */
/* Half-life of the estimate of a pair that is not seen. */
#define INTF_FORGET_MS	 (30 * 60 * 1000.0)
#define INTF_MEAN_TAU_MS 30000.0
#define INTF_MEAN_MIN	 0.1 /* below, neighbours hardly matter */

/* Initialises a model without observations; memory is taken from ctx. */
void
intf_init(struct intf *f, TALLOC_CTX *ctx)
{
	*f = (struct intf){ .ctx = ctx };
	hmap_init(&f->by_pair, ctx);
}

/* Returns the key of a pair in by_pair. */
static uint64_t
intf_key(uint32_t victim, uint32_t neighbour)
{
	return (uint64_t)victim << 32 | neighbour;
}

/* Returns the record of a victim class; creates it if it is missing. */
static struct intf_victim *
intf_victim_get(struct intf *f, uint32_t victim)
{
	uint32_t i;

	if (victim >= f->nvictims) {
		f->victims = talloc_realloc(
		    f->ctx, f->victims, struct intf_victim, victim + 1);
		for (i = f->nvictims; i <= victim; i++)
			f->victims[i] = (struct intf_victim){ .intercept = 1,
				.intercept_var = 0.1,
				.noise = 0.1,
				.mean_slowdown = INTF_PRIOR };
		f->nvictims = victim + 1;
	}
	return &f->victims[victim];
}

/*
 * Returns the record of a pair. A missing one is created with the mean of its
 * victim, whose record must exist.
 */
static struct intf_pair *
intf_pair_get(struct intf *f, uint32_t victim, uint32_t neighbour)
{
	uint64_t key = intf_key(victim, neighbour);
	uint32_t i = hmap_get(&f->by_pair, key);

	if (i == HMAP_NONE) {
		if (f->npairs == f->pairs_cap) {
			f->pairs_cap = f->pairs_cap > 0 ? f->pairs_cap * 2 : 16;
			f->pairs = talloc_realloc(
			    f->ctx, f->pairs, struct intf_pair, f->pairs_cap);
		}
		i = f->npairs++;
		f->pairs[i] = (struct intf_pair){
			.slowdown = (float)f->victims[victim].mean_slowdown,
			.variance = INTF_PRIOR_VAR
		};
		hmap_set(&f->by_pair, key, i);
	}
	return &f->pairs[i];
}

/* Returns the slowdown per share averaged over the neighbours of the victim. */
double
intf_mean(const struct intf *f, uint32_t victim)
{
	if (victim >= f->nvictims || f->victims[victim].nsummaries == 0)
		return INTF_PRIOR;
	return fmax(f->victims[victim].mean_slowdown, INTF_MEAN_MIN);
}

/* Returns the record of a pair, NULL if it was never seen. */
struct intf_pair *
intf_find(const struct intf *f, uint32_t victim, uint32_t neighbour)
{
	uint32_t i = hmap_get(&f->by_pair, intf_key(victim, neighbour));

	return i == HMAP_NONE ? NULL : &f->pairs[i];
}

/*
 * Returns the estimated slowdown of a pair and its standard deviation in *sd.
 * The estimate of a pair that has not been seen for long moves back towards
 * the mean of the victim and its deviation grows, so that the pair is tried
 * again.
 */
double
intf_slowdown(const struct intf *f, int64_t now_ms, uint32_t victim,
    uint32_t neighbour, double *sd)
{
	uint32_t i = hmap_get(&f->by_pair, intf_key(victim, neighbour));
	double mean = intf_mean(f, victim), weight;
	const struct intf_pair *p;

	if (i == HMAP_NONE) {
		*sd = sqrt(INTF_PRIOR_VAR);
		return mean;
	}
	p = &f->pairs[i];
	weight = exp2(-(double)(now_ms - p->last_seen_ms) / INTF_FORGET_MS);
	*sd = sqrt(weight * p->variance + (1 - weight) * INTF_PRIOR_VAR);
	return weight * p->slowdown + (1 - weight) * mean;
}

/*
 * Updates the pairs of one victim from a latency summary of count answers. The
 * answer time relative to the fleet is modelled as intercept + sum of slowdown
 * * share; each coefficient changes in proportion to its variance. Summaries
 * of few answers count less.
 */
void
intf_observe(struct intf *f, int64_t now_ms, uint32_t victim,
    const struct intf_neighbour *neighbours, unsigned n, uint32_t count,
    double mean_ms)
{
	struct intf_victim *vic = intf_victim_get(f, victim);
	struct intf_pair *pair[INTF_NEIGHBOURS_MAX];
	double relative, predicted, residual, residual_var, noise_var, rate,
	    gain, share, share_sum = 0, slowdown_sum = 0;
	unsigned i;

	if (count == 0 || !(mean_ms > 0))
		return;
	if (vic->nsummaries == 0)
		vic->mean_ms = mean_ms;
	/*
	 * About one summary per worker and second enters the mean of the fleet,
	 * so each one moves it little.
	 */
	rate = fmin(0.2, 1.0 / (1 + vic->nsummaries));
	if (vic->nsummaries > 20)
		rate = 0.02;
	vic->mean_ms += rate * (mean_ms - vic->mean_ms);
	vic->nsummaries++;
	relative = fmin(mean_ms / vic->mean_ms, 10);
	if (n > INTF_NEIGHBOURS_MAX)
		n = INTF_NEIGHBOURS_MAX;
	for (i = 0; i < n; i++)
		(void)intf_pair_get(f, victim, neighbours[i].cls);
	predicted = vic->intercept;
	noise_var = vic->noise * (count < 20 ? 20.0 / count : 1);
	residual_var = noise_var + vic->intercept_var;
	for (i = 0; i < n; i++) {
		pair[i] = intf_pair_get(f, victim, neighbours[i].cls);
		pair[i]->last_seen_ms = now_ms;
		pair[i]->variance =
		    (float)fmin(pair[i]->variance + INTF_DRIFT, INTF_PRIOR_VAR);
		predicted += pair[i]->slowdown * neighbours[i].share;
		residual_var += pair[i]->variance * neighbours[i].share *
		    neighbours[i].share;
	}
	residual = relative - predicted;
	/* Limits the effect of one very slow summary on the model. */
	residual = fmax(-2, fmin(2, residual));
	gain = vic->intercept_var / residual_var;
	vic->intercept = fmax(0.05, vic->intercept + gain * residual);
	vic->intercept_var = fmin(vic->intercept_var * (1 - gain) + 1e-5, 0.1);
	for (i = 0; i < n; i++) {
		share = neighbours[i].share;
		gain = pair[i]->variance * share / residual_var;
		pair[i]->slowdown =
		    (float)fmax(0, pair[i]->slowdown + gain * residual);
		pair[i]->variance =
		    (float)fmax(1e-6, pair[i]->variance * (1 - gain * share));
		if (neighbours[i].cls != victim) {
			share_sum += share;
			slowdown_sum += pair[i]->slowdown * share;
		}
	}
	vic->noise += 0.01 * (residual * residual - vic->noise);
	vic->noise = fmax(vic->noise, 1e-4);
	if (share_sum > 0.01)
		vic->mean_slowdown +=
		    0.01 * (slowdown_sum / share_sum - vic->mean_slowdown);
}
