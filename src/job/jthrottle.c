#include "job/jthrottle.h"

#include <string.h>

/* Starts without throttling. */
void
jthrottle_init(struct jthrottle *p, int64_t now_ms)
{
	memset(p, 0, sizeof(*p));
	p->last_under_ms = now_ms;
}

/* Updates the state with the worst tail latency over its target. */
void
jthrottle_update(struct jthrottle *p, int64_t now_ms, double worst)
{
	p->worst_ratio = worst;
	if (worst < JTHROTTLE_UNDER_TARGET)
		p->last_under_ms = now_ms;
	p->stop_heavy = now_ms - p->last_under_ms > JTHROTTLE_HEAVY_MS;
	p->stop_all = now_ms - p->last_under_ms > JTHROTTLE_ALL_MS;
}

/* Returns the share of its processors that a best-effort task may use, in
 * percent. */
uint32_t
jthrottle_percent(const struct jthrottle *p, bool heavy)
{
	return p->stop_all || (heavy && p->stop_heavy) ? 0
						       : JTHROTTLE_FULL_PERCENT;
}
