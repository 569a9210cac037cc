#include "placement/intf.h"

#include <math.h>

#define INTF_PRIOR	 0.5 /* slowdown per share before anything is seen */
#define INTF_PRIOR_VAR	 1.0
#define INTF_DRIFT	 1e-4 /* variance added per summary: pairs change */
#define INTF_FORGET_MS	 (30 * 60 * 1000.0) /* half-life when unseen */
#define INTF_MEAN_TAU_MS 30000.0
#define INTF_MEAN_MIN	 0.1 /* below, neighbours hardly matter */

void
intf_init(struct intf *f, TALLOC_CTX *ctx)
{
	*f = (struct intf){ .ctx = ctx };
	hmap_init(&f->by_pair, ctx);
}

static uint64_t
intf_key(uint32_t victim, uint32_t neighbour)
{
	return (uint64_t)victim << 32 | neighbour;
}

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

/* Slowdown per share averaged over what ran near the victim. */
double
intf_mean(const struct intf *f, uint32_t victim)
{
	if (victim >= f->nvictims || f->victims[victim].nsummaries == 0)
		return INTF_PRIOR;
	return fmax(f->victims[victim].mean_slowdown, INTF_MEAN_MIN);
}

struct intf_pair *
intf_find(const struct intf *f, uint32_t victim, uint32_t neighbour)
{
	uint32_t i = hmap_get(&f->by_pair, intf_key(victim, neighbour));

	return i == HMAP_NONE ? NULL : &f->pairs[i];
}

/*
 * The estimate for a pair. What was not seen for long moves back towards the
 * mean of the victim, and its deviation grows, so that it is tried again.
 */
double
intf_slowdown(const struct intf *f, int64_t now_ms, uint32_t victim,
    uint32_t neighbour, double *sd)
{
	uint32_t i = hmap_get(&f->by_pair, intf_key(victim, neighbour));
	double mean = intf_mean(f, victim), keep;
	const struct intf_pair *p;

	if (i == HMAP_NONE) {
		*sd = sqrt(INTF_PRIOR_VAR);
		return mean;
	}
	p = &f->pairs[i];
	keep = exp2(-(double)(now_ms - p->seen_ms) / INTF_FORGET_MS);
	*sd = sqrt(keep * p->variance + (1 - keep) * INTF_PRIOR_VAR);
	return keep * p->slowdown + (1 - keep) * mean;
}

/*
 * Updates the pairs of one victim from a summary. The answer time relative to
 * the fleet is modelled as base + sum of g * share; each coefficient moves in
 * proportion to its variance. Summaries of few answers count less.
 */
void
intf_observe(struct intf *f, int64_t now_ms, uint32_t victim,
    const struct intf_neighbour *near, unsigned n, uint32_t count,
    double mean_ms)
{
	struct intf_victim *v = intf_victim_get(f, victim);
	struct intf_pair *p[INTF_NEIGHBOURS_MAX];
	double y, pred, err, s, r, w, k, x, total = 0, gsum = 0;
	unsigned i;

	if (count == 0 || !(mean_ms > 0))
		return;
	if (v->nsummaries == 0)
		v->mean_ms = mean_ms;
	/* Roughly one summary per worker and second enters the mean. */
	w = fmin(0.2, 1.0 / (1 + v->nsummaries));
	if (v->nsummaries > 20)
		w = 0.02;
	v->mean_ms += w * (mean_ms - v->mean_ms);
	v->nsummaries++;
	y = fmin(mean_ms / v->mean_ms, 10);
	if (n > INTF_NEIGHBOURS_MAX)
		n = INTF_NEIGHBOURS_MAX;
	for (i = 0; i < n; i++)
		(void)intf_pair_get(f, victim, near[i].cls);
	pred = v->intercept;
	r = v->noise * (count < 20 ? 20.0 / count : 1);
	s = r + v->intercept_var;
	for (i = 0; i < n; i++) {
		p[i] = intf_pair_get(f, victim, near[i].cls);
		p[i]->seen_ms = now_ms;
		p[i]->variance =
		    (float)fmin(p[i]->variance + INTF_DRIFT, INTF_PRIOR_VAR);
		pred += p[i]->slowdown * near[i].share;
		s += p[i]->variance * near[i].share * near[i].share;
	}
	err = y - pred;
	/* One very slow summary does not overturn the model. */
	err = fmax(-2, fmin(2, err));
	k = v->intercept_var / s;
	v->intercept = fmax(0.05, v->intercept + k * err);
	v->intercept_var = fmin(v->intercept_var * (1 - k) + 1e-5, 0.1);
	for (i = 0; i < n; i++) {
		x = near[i].share;
		k = p[i]->variance * x / s;
		p[i]->slowdown = (float)fmax(0, p[i]->slowdown + k * err);
		p[i]->variance =
		    (float)fmax(1e-6, p[i]->variance * (1 - k * x));
		if (near[i].cls != victim) {
			total += x;
			gsum += p[i]->slowdown * x;
		}
	}
	v->noise += 0.01 * (err * err - v->noise);
	v->noise = fmax(v->noise, 1e-4);
	if (total > 0.01)
		v->mean_slowdown += 0.01 * (gsum / total - v->mean_slowdown);
}
