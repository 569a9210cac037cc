#include "request/outlier.h"

#include <string.h>

#include "base/clk.h"

#define OUTLIER_PROBE_MIN_NS (1 * CLK_NS_PER_S)
#define OUTLIER_PROBE_MAX_NS (30 * CLK_NS_PER_S)
/* A worker that fails within this time of its return waits longer. */
#define OUTLIER_RELAPSE_NS (60 * CLK_NS_PER_S)
/* Results recorded at readmission: three failures short of an ejection. */
#define OUTLIER_READMIT_BITS ((1U << (OUTLIER_EJECT_FAILURES - 3)) - 1)

/* Initialises a worker that is in use and has no results. */
void
outlier_init(struct outlier *o)
{
	memset(o, 0, sizeof(*o));
}

/* Returns the number of failures among the last OUTLIER_WINDOW results. */
unsigned
outlier_count_failures(const struct outlier *o)
{
	return (unsigned)__builtin_popcount(o->failed_bits);
}

/*
 * Records one result; a good one resets the count of timeouts in a row.
 * Returns true if the worker is in use and should be ejected.
 */
bool
outlier_add_result(struct outlier *o, bool ok, int64_t now)
{
	o->failed_bits =
	    (o->failed_bits << 1 | !ok) & ((1U << OUTLIER_WINDOW) - 1);
	if (ok)
		o->timeouts = 0;
	else
		o->last_failure_ns = now;
	return o->state == OUTLIER_IN_USE &&
	    outlier_count_failures(o) >= OUTLIER_EJECT_FAILURES;
}

/*
 * Returns the failures among the last results plus 8 for each timeout in a
 * row. The score applies for as many seconds after the newest failure as there
 * are failures and is 0 after that: otherwise a lightly loaded worker would
 * never get the requests that show that it has recovered.
 */
unsigned
outlier_failure_score(const struct outlier *o, int64_t now)
{
	unsigned n = outlier_count_failures(o);

	if (now - o->last_failure_ns >= n * CLK_NS_PER_S)
		return 0;
	return n + 8U * o->timeouts;
}

/*
 * Counts a timeout, whose result is recorded by outlier_add_result. Returns
 * true if the worker is in use and should become suspect.
 */
bool
outlier_add_timeout(struct outlier *o)
{
	if (o->timeouts < OUTLIER_SUSPECT_TIMEOUTS)
		o->timeouts++;
	return o->state == OUTLIER_IN_USE &&
	    o->timeouts >= OUTLIER_SUSPECT_TIMEOUTS;
}

/*
 * Takes the worker out of use and returns when to probe it: a suspect worker
 * at once, an ejected one after a delay. The delay doubles from 1 s to 30 s
 * each time that the worker fails within OUTLIER_RELAPSE_NS of its return.
 */
int64_t
outlier_withdraw(struct outlier *o, enum outlier_state state, int64_t now)
{
	if (o->probe_delay_ns == 0 ||
	    now - o->readmitted_ns > OUTLIER_RELAPSE_NS)
		o->probe_delay_ns = OUTLIER_PROBE_MIN_NS;
	else if (o->probe_delay_ns < OUTLIER_PROBE_MAX_NS / 2)
		o->probe_delay_ns *= 2;
	else
		o->probe_delay_ns = OUTLIER_PROBE_MAX_NS;
	o->state = state;
	o->withdrawn_ns = now;
	return state == OUTLIER_SUSPECT ? now : now + o->probe_delay_ns;
}

/*
 * Records a failed probe, returns when to probe again and doubles the delay
 * after that, up to 30 s.
 */
int64_t
outlier_probe_failed(struct outlier *o, int64_t now)
{
	int64_t at = now + o->probe_delay_ns;

	o->probing = false;
	o->probe_delay_ns = o->probe_delay_ns < OUTLIER_PROBE_MAX_NS / 2
	    ? o->probe_delay_ns * 2
	    : OUTLIER_PROBE_MAX_NS;
	return at;
}

/*
 * Puts the worker back into use. One that was ejected starts with failures
 * recorded, so that three more in a row eject it again.
 */
void
outlier_readmit(struct outlier *o, int64_t now)
{
	o->failed_bits = o->state == OUTLIER_EJECTED ? OUTLIER_READMIT_BITS : 0;
	o->timeouts = 0;
	o->state = OUTLIER_IN_USE;
	o->probing = false;
	o->readmitted_ns = now;
}

/*
 * Returns how many of n workers may be ejected at a time. One of three or four
 * may be, although a fifth of them is less than one: otherwise a small class
 * could never eject a worker that fails every request.
 */
unsigned
outlier_max_ejected(unsigned n, unsigned percent)
{
	unsigned cap = n * percent / 100;

	return cap == 0 && n >= 3 && percent > 0 ? 1 : cap;
}
