#include "request/outlier.h"

#include <string.h>

#include "base/clk.h"

#define OUT_DELAY_MIN (1 * CLK_NS_PER_S)
#define OUT_DELAY_MAX (30 * CLK_NS_PER_S)
/* A worker that fails again within this time waits longer. */
#define OUT_RELAPSE (60 * CLK_NS_PER_S)
/* A readmitted worker is ejected again after three failures in a row. */
#define OUT_TRIAL ((1U << (OUT_FAILURES - 3)) - 1)

/* Starts with a worker that is in use. */
void
out_init(struct out *o)
{
	memset(o, 0, sizeof(*o));
}

/* Returns the number of failures among the last OUT_WINDOW results. */
unsigned
out_failures(const struct out *o)
{
	return (unsigned)__builtin_popcount(o->failed);
}

/* Remembers one result; any answer ends a row of timeouts. */
bool
out_result(struct out *o, bool ok, int64_t now)
{
	o->failed = (o->failed << 1 | !ok) & ((1U << OUT_WINDOW) - 1);
	if (ok)
		o->timeouts = 0;
	else
		o->failed_at = now;
	return o->state == OUT_OK && out_failures(o) >= OUT_FAILURES;
}

/*
 * Returns the failures among the last results, timeouts counting more, for as
 * many seconds after the newest one as there are failures. Without an end a
 * lightly loaded worker would never get the work that shows it is sound.
 */
unsigned
out_penalty(const struct out *o, int64_t now)
{
	unsigned n = out_failures(o);

	if (now - o->failed_at >= n * CLK_NS_PER_S)
		return 0;
	return n + 8U * o->timeouts;
}

/* Counts a timeout. The result itself is reported with out_result. */
bool
out_timeout(struct out *o)
{
	if (o->timeouts < OUT_TIMEOUTS)
		o->timeouts++;
	return o->state == OUT_OK && o->timeouts >= OUT_TIMEOUTS;
}

/*
 * Takes the worker out of use. The delay of the first probe doubles each time
 * that the worker fails soon after it came back, from 1 s to 30 s; a suspect
 * is probed at once.
 */
int64_t
out_remove(struct out *o, enum out_state state, int64_t now)
{
	if (o->delay == 0 || now - o->back_at > OUT_RELAPSE)
		o->delay = OUT_DELAY_MIN;
	else if (o->delay < OUT_DELAY_MAX / 2)
		o->delay *= 2;
	else
		o->delay = OUT_DELAY_MAX;
	o->state = state;
	o->since = now;
	return state == OUT_SUSPECT ? now : now + o->delay;
}

/* Doubles the delay up to 30 s. */
int64_t
out_probe_failed(struct out *o, int64_t now)
{
	int64_t at = now + o->delay;

	o->probing = false;
	o->delay = o->delay < OUT_DELAY_MAX / 2 ? o->delay * 2 : OUT_DELAY_MAX;
	return at;
}

/* Brings the worker back on trial. */
void
out_readmit(struct out *o, int64_t now)
{
	o->failed = o->state == OUT_EJECTED ? OUT_TRIAL : 0;
	o->timeouts = 0;
	o->state = OUT_OK;
	o->probing = false;
	o->back_at = now;
}

/*
 * Returns how many of n workers may be ejected at a time. Of three or four
 * workers one may be, although a fifth of them is less than one: otherwise a
 * small class could never get rid of a worker that fails everything.
 */
unsigned
out_cap(unsigned n, unsigned percent)
{
	unsigned cap = n * percent / 100;

	return cap == 0 && n >= 3 && percent > 0 ? 1 : cap;
}
