#include "base/hist.h"

#include <string.h>

const int64_t hist_bound_ms[HIST_BOUNDS] = { 1, 2, 5, 10, 20, 50, 100, 200, 500,
	1000, 2000, 5000, 10000, 30000 };

/* Empties a histogram. */
void
hist_init(struct hist *h)
{
	memset(h, 0, sizeof(*h));
}

/* Adds a duration. */
void
hist_add(struct hist *h, int64_t ms)
{
	size_t i = 0;

	if (ms < 0)
		ms = 0;
	while (i < HIST_BOUNDS && ms > hist_bound_ms[i])
		i++;
	h->buckets[i]++;
	h->count++;
	h->sum_ms += ms;
}

/*
 * Returns the upper bound, in ms, of the bucket that contains a quantile,
 * such as 0.95; -1 if that is the last bucket, which has no bound.
 */
int64_t
hist_quantile_ms(const struct hist *h, double quantile)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < HIST_BOUNDS; i++) {
		sum += h->buckets[i];
		if ((double)sum >= quantile * (double)h->count)
			return hist_bound_ms[i];
	}
	return -1;
}
