#include "node/pause.h"

#include <stdbool.h>

/* Returns the time since the last tick in ms, suspensions included. */
static int64_t
time_since_tick(
    const struct pause *p, struct timespec now, int64_t boot_ahead_ms)
{
	return p->ticked_at.tv_sec == 0
	    ? 0
	    : clk_diff_ms(now, p->ticked_at) + boot_ahead_ms - p->boot_ahead_ms;
}

/* Tells whether requests that waited during the last pause may still be
 * unread. */
static bool
is_settling(const struct pause *p, struct timespec now)
{
	return p->noticed.tv_sec != 0 &&
	    clk_diff_ms(now, p->noticed) < PAUSE_SETTLE_MS;
}

/* Handles a tick. A pause that begins before the requests of the one before
 * have been read extends it. */
int64_t
pause_tick(struct pause *p, struct timespec now, int64_t boot_ahead_ms)
{
	int64_t passed = time_since_tick(p, now, boot_ahead_ms);
	int64_t suspended =
	    p->ticked_at.tv_sec == 0 ? 0 : boot_ahead_ms - p->boot_ahead_ms;

	if (passed >= PAUSE_MS) {
		if (!is_settling(p, p->ticked_at))
			p->began = clk_add_ms(now, -passed);
		p->noticed = now;
	}
	p->ticked_at = now;
	p->boot_ahead_ms = boot_ahead_ms;
	return suspended;
}

/* Returns the earliest arrival of a request that is read now. */
struct timespec
pause_earliest_arrival(
    const struct pause *p, struct timespec now, int64_t boot_ahead_ms)
{
	int64_t passed = time_since_tick(p, now, boot_ahead_ms);
	bool is_stalled = passed >= PAUSE_MS;

	if (is_settling(p, is_stalled ? p->ticked_at : now))
		return p->began;
	return is_stalled ? clk_add_ms(now, -passed) : now;
}
