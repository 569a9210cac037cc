#include "request/adm.h"

#include <string.h>

#include "base/clk.h"

/* Results after which the percentiles are computed again. */
#define ADM_REFRESH_RESULTS 64
/* Results at which all counts are halved, so that old results lose weight. */
#define ADM_DECAY_RESULTS 1024
/* Weight of the newest result in the moving mean of the service time. */
#define ADM_SERVICE_GAIN 0.05

/* Initialises a class without results. */
void
adm_init(struct adm *a)
{
	memset(a, 0, sizeof(*a));
	lat_init(&a->lat);
}

/*
 * Sets the latency target and the timeout of the class in milliseconds.
 * bound_ms 0 means that there is no target.
 */
void
adm_set_target(struct adm *a, int64_t bound_ms, int64_t timeout_ms)
{
	a->bound_ns = bound_ms * CLK_NS_PER_MS;
	a->timeout_ns = timeout_ms * CLK_NS_PER_MS;
}

/*
 * Adds one latency in nanoseconds. The percentiles are updated with every
 * result at first and after every ADM_REFRESH_RESULTS results later.
 */
static void
adm_add_latency(struct adm *a, int64_t ns)
{
	lat_add(&a->lat, ns / 1000);
	if (++a->new_results < ADM_REFRESH_RESULTS &&
	    a->lat.total > ADM_REFRESH_RESULTS)
		return;
	a->new_results = 0;
	a->p50_ns = lat_quantile(&a->lat, 0.5) * 1000;
	a->p99_ns = lat_quantile(&a->lat, 0.99) * 1000;
	if (a->lat.total >= ADM_DECAY_RESULTS)
		lat_decay(&a->lat);
}

/*
 * Adds the service time of one answered attempt to the mean and the
 * percentiles.
 */
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
 * Counts an attempt that was abandoned after ns as one that would have taken
 * twice as long. If requests really take that long, the percentiles rise until
 * attempts are no longer abandoned early.
 */
void
adm_add_abandoned(struct adm *a, int64_t ns)
{
	adm_add_latency(a, 2 * ns);
}

/*
 * Returns the latest instant at which a request may start. A class with a
 * target queues a request only as long as 99 of 100 requests still meet the
 * target: under lasting overload every request waits for the maximum, and a
 * request that misses the target takes the slot of one that could have met it.
 * An eighth of the bound may always be waited, also when the service alone
 * takes too long.
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
 * Returns the expected wait in nanoseconds of a request with ahead requests
 * before it. Without slots the result is 0: grants may be on their way, so the
 * wait is limited by adm_latest_start only.
 */
int64_t
adm_expected_wait(const struct adm *a, unsigned ahead, unsigned slots)
{
	if (slots == 0)
		return 0;
	return (int64_t)(a->service_ns * (ahead + 1) / slots);
}

/*
 * Returns how long, in nanoseconds, to wait for an attempt of an idempotent
 * request that has left nanoseconds until its deadline. Half of the time is
 * kept for another worker, unless a healthy worker may well take longer than
 * half: four times the bound of the target or twice the 99th percentile. All
 * of left is returned if less than a quarter would remain, or if nothing is
 * known yet.
 */
int64_t
adm_attempt_limit(const struct adm *a, int64_t left)
{
	int64_t limit = left / 2;

	if (a->bound_ns == 0 && a->lat.total < ADM_REFRESH_RESULTS)
		return left;
	if (limit < 4 * a->bound_ns)
		limit = 4 * a->bound_ns;
	if (limit < 2 * a->p99_ns)
		limit = 2 * a->p99_ns;
	return limit < left - left / 4 ? limit : left;
}

/*
 * Distinguishes a silent worker from a request whose client gave it too little
 * time. Returns true if the worker had the timeout of the class, or at least
 * the bound of the target and twice the 99th percentile.
 */
bool
adm_is_overlong(const struct adm *a, int64_t ns)
{
	int64_t enough = a->bound_ns;

	if (enough < 2 * a->p99_ns)
		enough = 2 * a->p99_ns;
	return ns >= a->timeout_ns || (enough > 0 && ns >= enough);
}
