#include "placement/learn.h"

#include <math.h>
#include <string.h>

#define LEARN_COUNT_MAX 4096 /* observations kept; then all are halved */

void
learn_init(struct learn *l)
{
	memset(l, 0, sizeof(*l));
}

static unsigned
learn_bucket(double ratio)
{
	double x = ratio > 0 ? (log2(ratio) + 6) * 8 : 0;

	if (!(x > 0))
		return 0;
	return x < LEARN_BUCKETS - 1 ? (unsigned)x : LEARN_BUCKETS - 1;
}

static void
learn_add(uint16_t *h, uint32_t *n, double ratio)
{
	unsigned i;

	if (*n >= LEARN_COUNT_MAX) {
		*n = 0;
		for (i = 0; i < LEARN_BUCKETS; i++) {
			/* Rounded up: the rare large sizes stay known. */
			h[i] = (uint16_t)((h[i] + 1) / 2);
			*n += h[i];
		}
	}
	h[learn_bucket(ratio)]++;
	(*n)++;
}

static double
learn_quantile(const uint16_t *h, uint32_t n, double q)
{
	uint32_t above = (uint32_t)((1 - q) * n), seen = 0;
	int i;

	if (n == 0)
		return 0;
	for (i = LEARN_BUCKETS - 1; i > 0; i--) {
		seen += h[i];
		if (seen > above)
			break;
	}
	return exp2((i + 1) / 8.0 - 6);
}

void
learn_cpu(struct learn *l, double ratio)
{
	learn_add(l->cpu, &l->ncpu, ratio);
}

void
learn_mem(struct learn *l, double ratio)
{
	learn_add(l->mem, &l->nmem, ratio);
}

/* Quantile q of used over declared processors, rounded up to a step. */
double
learn_cpu_quantile(const struct learn *l, double q)
{
	return learn_quantile(l->cpu, l->ncpu, q);
}

/* Quantile q of used over declared memory, rounded up to a step. */
double
learn_mem_quantile(const struct learn *l, double q)
{
	return learn_quantile(l->mem, l->nmem, q);
}
