#include <stdlib.h>
#include <string.h>

#include "job/jplan_impl.h"

/* Workers that are slow for a while, as after an evacuation. A plan uses only
 * some of those of a domain: what it places there takes longer, and warm
 * workers may become free before the next one. */

/* Adds a cold worker to those of its domain. */
void
jplan_cold_add(struct jplan_round *r, struct jplan_worker *p)
{
	const char *domain = p->w->info->zone;
	uint32_t i;

	for (i = 0; i < r->ncold; i++) {
		if (strcmp(r->cold[i].domain, domain) == 0)
			break;
	}
	if (i == r->ncold) {
		r->cold = realloc(r->cold, (i + 1) * sizeof(*r->cold));
		if (r->cold == NULL)
			abort();
		memset(&r->cold[i], 0, sizeof(r->cold[i]));
		r->cold[i].domain = domain;
		r->ncold++;
	}
	r->cold[i].nworkers++;
	p->domain_index = i;
	p->ncold_tasks = 0;
}

/* Tells whether a cold worker may take a task in this plan. A gang is placed as
 * a whole or not at all, so that the limit would keep a large one waiting. */
bool
jplan_cold_may_use(
    const struct jplan_round *r, const struct jplan_worker *p, bool gang)
{
	const struct jplan_cold *c = &r->cold[p->domain_index];

	return gang || p->ncold_tasks > 0 ||
	    c->nused * JPLAN_COLD_WORKERS_PER_USED < c->nworkers;
}

/* Counts a task on a cold worker; sign -1 undoes that. */
void
jplan_cold_count(struct jplan_round *r, struct jplan_worker *p, int sign)
{
	bool was_used = p->ncold_tasks > 0;

	p->ncold_tasks += (uint32_t)sign;
	if (was_used != (p->ncold_tasks > 0))
		r->cold[p->domain_index].nused += (size_t)(long)sign;
}
