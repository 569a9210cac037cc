#include "placement/learn.h"

#include <math.h>
#include <string.h>

/* Observations after which all buckets are halved. */
#define LEARN_COUNT_MAX 4096

/* Initialises empty histograms. */
void
learn_init(struct learn *l)
{
	memset(l, 0, sizeof(*l));
}

/* Returns the index of the bucket for a ratio. */
static unsigned
learn_bucket(double ratio)
{
	double x = ratio > 0 ? (log2(ratio) + 6) * 8 : 0;

	if (!(x > 0))
		return 0;
	return x < LEARN_BUCKETS - 1 ? (unsigned)x : LEARN_BUCKETS - 1;
}

/* Counts a ratio in a histogram h with *n observations. */
static void
learn_add(uint16_t *h, uint32_t *n, double ratio)
{
	unsigned i;

	if (*n >= LEARN_COUNT_MAX) {
		*n = 0;
		for (i = 0; i < LEARN_BUCKETS; i++) {
			/*
			 * Rounded up, so that rare large sizes are not
			 * forgotten.
			 */
			h[i] = (uint16_t)((h[i] + 1) / 2);
			*n += h[i];
		}
	}
	h[learn_bucket(ratio)]++;
	(*n)++;
}

/*
 * Returns the upper edge of the bucket with the quantile q, 0 if there are no
 * observations.
 */
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

/* Adds an observed ratio of used to declared processors. */
void
learn_cpu(struct learn *l, double ratio)
{
	learn_add(l->cpu, &l->ncpu, ratio);
}

/* Adds an observed ratio of used to declared memory. */
void
learn_mem(struct learn *l, double ratio)
{
	learn_add(l->mem, &l->nmem, ratio);
}

/*
 * Returns the quantile q of used to declared processors, rounded up to a
 * bucket; 0 without observations.
 */
double
learn_cpu_quantile(const struct learn *l, double q)
{
	return learn_quantile(l->cpu, l->ncpu, q);
}

/*
 * Returns the quantile q of used to declared memory, rounded up to a bucket; 0
 * without observations.
 */
double
learn_mem_quantile(const struct learn *l, double q)
{
	return learn_quantile(l->mem, l->nmem, q);
}
