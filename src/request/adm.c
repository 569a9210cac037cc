#include "request/adm.h"

#include <string.h>

#include "base/clk.h"

/* Quantiles are computed again after this many results. */
#define ADM_REFRESH_RESULTS 64
/* Counts are halved at this many, so that the figures follow the load. */
#define ADM_DECAY_RESULTS 1024
/* Share of the newest result in the mean service time. */
#define ADM_SERVICE_GAIN 0.05

/* Starts a class that has not served anything yet. */
void
adm_init(struct adm *a)
{
	memset(a, 0, sizeof(*a));
	lat_init(&a->lat);
}

/* Takes over the target of the class; bound_ms 0 means none. */
void
adm_set_target(struct adm *a, int64_t bound_ms, int64_t timeout_ms)
{
	a->bound_ns = bound_ms * CLK_NS_PER_MS;
	a->timeout_ns = timeout_ms * CLK_NS_PER_MS;
}

static void
adm_add_latency(struct adm *a, int64_t ns)
{
	lat_add(&a->lat, ns / 1000);
	if (++a->new_results < ADM_REFRESH_RESULTS &&
	    a->lat.n > ADM_REFRESH_RESULTS)
		return;
	a->new_results = 0;
	a->p50_ns = lat_quantile(&a->lat, 0.5) * 1000;
	a->p99_ns = lat_quantile(&a->lat, 0.99) * 1000;
	if (a->lat.n >= ADM_DECAY_RESULTS)
		lat_decay(&a->lat);
}

/* Takes one result into the mean and the quantiles. */
void
adm_add_served(struct adm *a, int64_t ns)
{
	if (a->service_ns == 0)
		a->service_ns = (double)ns;
	else
		a->service_ns +=
		    ((double)ns - a->service_ns) * ADM_SERVICE_GAIN;
	adm_add_latency(a, ns);
}

/*
 * Counts an attempt that was given up as one that would have taken twice as
 * long. Should requests really take that long, the percentiles rise until
 * attempts are no longer cut short.
 */
void
adm_add_abandoned(struct adm *a, int64_t ns)
{
	adm_add_latency(a, 2 * ns);
}

/*
 * Returns the latest instant at which a request may start. A class with a
 * target waits only as long as 99 of 100 requests then still meet it: under
 * lasting overload every request waits for that long, and one that misses the
 * target has taken the slot of one that could have met it. An eighth of the
 * bound is always waited for, also when the service itself takes too long.
 */
int64_t
adm_latest_start(const struct adm *a, int64_t arrived, int64_t deadline)
{
	int64_t by = deadline - a->p50_ns;
	int64_t wait;

	if (a->bound_ns > 0) {
		wait = a->bound_ns - a->p99_ns;
		if (wait < a->bound_ns / 8)
			wait = a->bound_ns / 8;
		if (arrived + wait < by)
			by = arrived + wait;
	}
	return by;
}

/*
 * Returns the expected wait in nanoseconds of a request with so many ahead of
 * it. Without slots nothing is known: grants may be on their way, so the
 * request is left to the limit of adm_latest_start.
 */
int64_t
adm_expected_wait(const struct adm *a, unsigned ahead, unsigned slots)
{
	if (slots == 0)
		return 0;
	return (int64_t)(a->service_ns * (ahead + 1) / slots);
}

/*
 * Returns how long to wait for an attempt of an idempotent request with the
 * time left until its deadline. Half of it is kept for another worker, unless
 * a sound worker may well take longer than half: four times the bound of the
 * target or twice the 99th percentile.
 */
int64_t
adm_attempt_limit(const struct adm *a, int64_t left)
{
	int64_t cut = left / 2;

	if (a->bound_ns == 0 && a->lat.n < ADM_REFRESH_RESULTS)
		return left;
	if (cut < 4 * a->bound_ns)
		cut = 4 * a->bound_ns;
	if (cut < 2 * a->p99_ns)
		cut = 2 * a->p99_ns;
	return cut < left - left / 4 ? cut : left;
}

/*
 * Tells a silent worker from a request that was given too little time by its
 * client: the worker had the timeout of the class, or longer than the bound
 * of the target and twice the 99th percentile.
 */
bool
adm_is_overlong(const struct adm *a, int64_t ns)
{
	int64_t enough = a->bound_ns;

	if (enough < 2 * a->p99_ns)
		enough = 2 * a->p99_ns;
	return ns >= a->timeout_ns || (enough > 0 && ns >= enough);
}
