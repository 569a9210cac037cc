#include "job/jevac.h"

#include <stdlib.h>
#include <string.h>

/* Starts without any known change. */
void
jevac_init(struct jevac *ev)
{
	memset(ev, 0, sizeof(*ev));
}

/* Releases all memory. */
void
jevac_finish(struct jevac *ev)
{
	size_t i;

	for (i = 0; i < ev->ndomains; i++)
		free(ev->domains[i].name);
	free(ev->domains);
	memset(ev, 0, sizeof(*ev));
}

/* Forgets all changes: the state was loaded at this time. */
void
jevac_reset(struct jevac *ev, int64_t now_ms)
{
	jevac_finish(ev);
	ev->known_since_ms = now_ms;
}

/* Returns the entry of a domain, NULL if there is none. */
static struct jevac_domain *
find_domain(const struct jevac *ev, const char *name)
{
	size_t i;

	for (i = 0; i < ev->ndomains; i++) {
		if (strcmp(ev->domains[i].name, name) == 0)
			return &ev->domains[i];
	}
	return NULL;
}

/* Removes an entry. */
static void
remove_domain(struct jevac *ev, size_t i)
{
	free(ev->domains[i].name);
	ev->ndomains--;
	memmove(&ev->domains[i], &ev->domains[i + 1],
	    (ev->ndomains - i) * sizeof(*ev->domains));
}

/* Appends an entry; the one with the oldest change makes room. */
static struct jevac_domain *
add_domain(struct jevac *ev, const char *name)
{
	struct jevac_domain *d;

	if (ev->ndomains == JEVAC_DOMAINS_MAX) {
		if (ev->domains[0].changed_ms > ev->known_since_ms)
			ev->known_since_ms = ev->domains[0].changed_ms;
		remove_domain(ev, 0);
	}
	ev->domains =
	    realloc(ev->domains, (ev->ndomains + 1) * sizeof(*ev->domains));
	if (ev->domains == NULL)
		abort();
	d = &ev->domains[ev->ndomains++];
	memset(d, 0, sizeof(*d));
	d->name = strdup(name);
	if (d->name == NULL)
		abort();
	return d;
}

/* Records a change of a domain that has taken effect. */
void
jevac_note_change(
    struct jevac *ev, const char *name, bool begin, int64_t now_ms)
{
	struct jevac_domain *d = find_domain(ev, name);

	if (d != NULL)
		remove_domain(ev, (size_t)(d - ev->domains));
	d = add_domain(ev, name);
	d->begin = begin;
	d->has_runs = true;
	d->changed_ms = now_ms;
}

/* Records an order that was committed without changing its domain. It matters
 * only if an opposite one was proposed before it and never committed. */
void
jevac_note_repeat(
    struct jevac *ev, const char *name, bool begin, int64_t now_ms)
{
	const struct jevac_domain *d = find_domain(ev, name);

	if (d != NULL && d->begin != begin)
		jevac_note_change(ev, name, begin, now_ms);
}

/* Tells whether the last known change of a domain began an evacuation. */
static bool
is_begun(const struct jevac *ev, const struct jst *s, const char *name)
{
	const struct jevac_domain *d = find_domain(ev, name);

	return d != NULL ? d->begin : jevac_is_closed(s, name);
}

/* Records an order that is about to be proposed, if it changes its domain: a
 * late copy of the order before must not be proposed behind it. */
void
jevac_note_proposal(struct jevac *ev, const struct jst *s,
    const Job__Evacuation *m, int64_t now_ms)
{
	if ((m->begin != 0) != is_begun(ev, s, m->domain))
		jevac_note_change(ev, m->domain, m->begin != 0, now_ms);
}

/*
 * Decides on an order. One that repeats the last change of its domain is
 * harmless however old. Any other was received after that change took effect,
 * as the operator waits for one order before it sends the opposite one.
 */
enum jevac_verdict
jevac_judge(const struct jevac *ev, const struct jst *s,
    const Job__Evacuation *m, int64_t now_ms)
{
	const struct jevac_domain *d = find_domain(ev, m->domain);
	int64_t changed_ms = d != NULL ? d->changed_ms : ev->known_since_ms;
	int64_t age_ms = now_ms - m->received_ms;

	if (!m->has_received_ms || age_ms > JEVAC_ORDER_MAX_AGE_MS ||
	    age_ms < -JEVAC_CLOCK_ERROR_MS)
		return JEVAC_LATE;
	if ((m->begin != 0) != is_begun(ev, s, m->domain) &&
	    m->received_ms < changed_ms - JEVAC_CLOCK_ERROR_MS)
		return JEVAC_LATE;
	return JEVAC_PROPOSE;
}

/* Tells whether nothing new may start in a failure domain. */
bool
jevac_is_closed(const struct jst *s, const char *domain)
{
	return s->nevacuations > 0 && jst_find_evacuation(s, domain) != NULL;
}

/* Records the number of runs in a domain under evacuation; returns true once
 * when the last one there has ended, also if there were none. */
bool
jevac_count_runs(struct jevac *ev, const char *name, uint64_t runs)
{
	struct jevac_domain *d = find_domain(ev, name);
	bool is_last;

	if (d == NULL) {
		d = add_domain(ev, name);
		d->begin = d->has_runs = true;
		d->changed_ms = ev->known_since_ms;
	}
	is_last = d->has_runs && runs == 0;
	d->has_runs = runs > 0;
	d->runs = runs;
	return is_last;
}
