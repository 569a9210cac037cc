#include "request/eng_priv.h"

#include <math.h>
#include <stdlib.h>

/*
 * Lists the slots held and in use on each worker that has granted any or runs
 * requests.
 */
static void
eng_stats_slots(struct eng *e, TALLOC_CTX *ctx, struct eng_stats *s)
{
	s->slots = talloc_array(ctx, struct eng_slot_use, e->nworkers + 1);
	if (s->slots == NULL)
		abort();
	for (size_t i = 0; i < e->nworkers; i++) {
		const struct eng_worker *w = e->workers[i];
		struct eng_slot_use *u = &s->slots[s->nslots];

		if (w->slot.grant_seq == 0 && w->slot.used == 0)
			continue;
		u->epoch = w->epoch;
		u->held = slot_held(&w->slot, e->last_stats_ns);
		u->used = w->slot.used;
		u->grant_seq = w->slot.grant_seq;
		s->nslots++;
	}
}

/*
 * Returns the slots that the refused requests would have needed, by Little's
 * law: their rate since the last call times the mean time that a request holds
 * a slot.
 */
static unsigned
eng_unmet_slots(const struct eng_class *c, int64_t since_ns)
{
	if (since_ns <= 0)
		return c->unmet_requests > 0;
	return (unsigned)ceil(
	    c->unmet_requests * c->adm.service_ns / (double)since_ns);
}

/* Copies the latency counts of each worker and class and resets them. */
static void
eng_stats_latency(struct eng *e, TALLOC_CTX *ctx, struct eng_stats *s)
{
	size_t cap = 0;

	for (size_t i = 0; i < e->nworkers; i++)
		cap += e->workers[i]->nserves;
	s->latency = talloc_array(ctx, struct eng_latency, cap + 1);
	if (s->latency == NULL)
		abort();
	for (size_t i = 0; i < e->nworkers; i++) {
		struct eng_worker *w = e->workers[i];

		for (size_t k = 0; k < w->nserves; k++) {
			struct lat *l = w->serves[k].lat;
			struct eng_latency *o = &s->latency[s->nlatency];
			uint32_t *v;

			if (l == NULL || l->total == 0)
				continue;
			v = talloc_array(ctx, uint32_t, 2 * LAT_BUCKETS);
			if (v == NULL)
				abort();
			o->epoch = w->epoch;
			o->class_name = str_dup(ctx, w->serves[k].class->name);
			o->nbuckets = lat_export(l, v, v + LAT_BUCKETS);
			o->bucket = v;
			o->count = v + LAT_BUCKETS;
			lat_init(l);
			s->nlatency++;
		}
	}
}

/*
 * Fills the figures of a heartbeat, in memory owned by ctx, and resets those
 * that count since the last call. The queued figure of a class is the number
 * of waiting requests plus the slots that refused requests would have needed,
 * so that the leader also sees demand that was not admitted.
 */
void
eng_stats(struct eng *e, TALLOC_CTX *ctx, struct eng_stats *s)
{
	int64_t now = e->now_ns, since = now - e->last_stats_ns;

	*s = (struct eng_stats){ 0 };
	e->last_stats_ns = now;
	eng_stats_slots(e, ctx, s);
	s->demand = talloc_array(ctx, struct eng_demand, e->nclasses + 1);
	if (s->demand == NULL)
		abort();
	for (size_t i = 0; i < e->nclasses; i++) {
		struct eng_class *c = e->classes[i];
		struct eng_demand *d = &s->demand[s->ndemand++];

		d->name = str_dup(ctx, c->name);
		d->queued = c->queued + eng_unmet_slots(c, since);
		d->running = c->running;
		d->answered = c->answered;
		d->late = c->late;
		d->refused = c->refused;
		c->unmet_requests = 0;
	}
	eng_stats_latency(e, ctx, s);
}
