#include <stdlib.h>
#include <string.h>

#include "job/jst.h"

/* The failure domains under evacuation. */

/* Returns the index of a domain's evacuation, or their number. */
static size_t
find_index(const struct jst *s, const char *domain)
{
	size_t i;

	for (i = 0; i < s->nevacuations; i++) {
		if (strcmp(s->evacuations[i]->domain, domain) == 0)
			break;
	}
	return i;
}

/* Returns the evacuation of a failure domain, NULL if none is in effect. */
const Job__Evacuation *
jst_find_evacuation(const struct jst *s, const char *domain)
{
	size_t i = find_index(s, domain);

	return i < s->nevacuations ? s->evacuations[i] : NULL;
}

/* Adds an evacuation. */
static void
add_evacuation(struct jst *s, const Job__Evacuation *m)
{
	Job__Evacuation *ev = calloc(1, sizeof(*ev));

	s->evacuations = realloc(
	    s->evacuations, (s->nevacuations + 1) * sizeof(*s->evacuations));
	if (ev == NULL || s->evacuations == NULL)
		abort();
	job__evacuation__init(ev);
	ev->domain = strdup(m->domain);
	if (ev->domain == NULL)
		abort();
	ev->begin = 1;
	ev->has_at_ms = 1;
	ev->at_ms = m->at_ms;
	s->evacuations[s->nevacuations++] = ev;
}

/* Begins or ends the evacuation of a failure domain. STATUS_EXISTS if it has
 * begun already, STATUS_NOT_FOUND if there is none to end; both leave the state
 * as it is. */
void
jst_apply_evacuation(
    struct jst *s, const Job__Evacuation *m, struct jst_result *r)
{
	size_t i = find_index(s, m->domain);

	if (m->begin && i < s->nevacuations) {
		r->status = STATUS_EXISTS;
	} else if (m->begin && s->nevacuations == JST_EVACUATIONS_MAX) {
		r->status = STATUS_FULL;
	} else if (m->begin) {
		add_evacuation(s, m);
	} else if (i == s->nevacuations) {
		r->status = STATUS_NOT_FOUND;
	} else {
		job__evacuation__free_unpacked(s->evacuations[i], NULL);
		s->nevacuations--;
		memmove(&s->evacuations[i], &s->evacuations[i + 1],
		    (s->nevacuations - i) * sizeof(s->evacuations[0]));
	}
}

/* Frees all evacuations. */
void
jst_free_evacuations(struct jst *s)
{
	size_t i;

	for (i = 0; i < s->nevacuations; i++)
		job__evacuation__free_unpacked(s->evacuations[i], NULL);
	free(s->evacuations);
}
