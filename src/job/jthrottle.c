#include "job/jthrottle.h"

#include <string.h>

/* Starts at full pace. */
void
jpace_init(struct jpace *p, int64_t now_ms)
{
	memset(p, 0, sizeof(*p));
	p->under_ms = now_ms;
}

/* Takes in the worst tail of a look. */
void
jpace_look(struct jpace *p, int64_t now_ms, double worst)
{
	p->ratio = worst;
	if (worst < JPACE_UNDER)
		p->under_ms = now_ms;
	p->hold_heavy = now_ms - p->under_ms > JPACE_HEAVY_MS;
	p->hold_all = now_ms - p->under_ms > JPACE_ALL_MS;
}

/* Returns the pace of a task of a heavy or light image, in percent. */
uint32_t
jpace_of(const struct jpace *p, bool heavy)
{
	return p->hold_all || (heavy && p->hold_heavy) ? 0 : JPACE_FULL;
}
