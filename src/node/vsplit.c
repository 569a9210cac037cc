#include "node/vsplit.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/*
 * Returns the share of thread i when slots are divided evenly between n. The
 * epoch decides which threads get the remainder, so that no thread gets it on
 * every worker.
 */
unsigned
vsplit_slots(uint64_t epoch, unsigned total, unsigned i, unsigned n)
{
	unsigned place = (unsigned)((i + epoch) % n);

	return total / n + (place < total % n ? 1 : 0);
}

/* Copies a view with the share of one thread. */
struct view *
vsplit_copy_share(const struct view *v, unsigned i, unsigned n)
{
	struct view *o = talloc(NULL, struct view);
	struct view_worker *w;
	unsigned *serves;
	size_t k;

	if (o == NULL)
		abort();
	*o = *v;
	o->classes = talloc_array(o, struct view_class, v->nclasses + 1);
	o->workers = talloc_array(o, struct view_worker, v->nworkers + 1);
	if (o->classes == NULL || o->workers == NULL)
		abort();
	for (k = 0; k < v->nclasses; k++) {
		o->classes[k] = v->classes[k];
		o->classes[k].name = str_dup(o, v->classes[k].name);
	}
	for (k = 0; k < v->nworkers; k++) {
		w = &o->workers[k];
		*w = v->workers[k];
		w->name = str_dup(o, w->name);
		w->addr = str_dup(o, w->addr);
		w->rack = str_dup(o, w->rack);
		w->domain = str_dup(o, w->domain);
		w->slots = vsplit_slots(w->epoch, w->slots, i, n);
		w->connections = w->connections == 0
		    ? 0
		    : vsplit_slots(w->epoch, w->connections, i, n);
		serves = talloc_array(o, unsigned, w->nserves + 1);
		if (serves == NULL)
			abort();
		if (w->nserves > 0)
			memcpy(serves, w->serves, w->nserves * sizeof(*serves));
		w->serves = serves;
	}
	return o;
}

/* Adds up the slots of all threads by worker. The oldest grant that any thread
 * has seen counts. */
Control__SlotUse *
vsplit_merge_slots(
    TALLOC_CTX *ctx, Control__Beat *const *b, unsigned n, size_t *nout)
{
	GHashTable *at = g_hash_table_new(g_int64_hash, g_int64_equal);
	Control__SlotUse *out, *u;
	size_t total = 0, used = 0, k;
	unsigned i;

	for (i = 0; i < n; i++)
		total += b[i] == NULL ? 0 : b[i]->n_slots;
	out = talloc_array(ctx, Control__SlotUse, total + 1);
	if (out == NULL)
		abort();
	for (i = 0; i < n; i++) {
		for (k = 0; b[i] != NULL && k < b[i]->n_slots; k++) {
			const Control__SlotUse *s = b[i]->slots[k];

			u = g_hash_table_lookup(at, &s->epoch);
			if (u == NULL) {
				out[used] = *s;
				g_hash_table_insert(
				    at, &out[used].epoch, &out[used]);
				used++;
				continue;
			}
			u->held += s->held;
			u->used += s->used;
			if (s->grant_seq < u->grant_seq)
				u->grant_seq = s->grant_seq;
		}
	}
	g_hash_table_destroy(at);
	*nout = used;
	return out;
}

/* Adds up the demand of all threads by class. */
Control__ClassDemand *
vsplit_merge_demand(
    TALLOC_CTX *ctx, Control__Beat *const *b, unsigned n, size_t *nout)
{
	GHashTable *at = g_hash_table_new(g_str_hash, g_str_equal);
	Control__ClassDemand *out, *u;
	size_t total = 0, used = 0, k;
	unsigned i;

	for (i = 0; i < n; i++)
		total += b[i] == NULL ? 0 : b[i]->n_demand;
	out = talloc_array(ctx, Control__ClassDemand, total + 1);
	if (out == NULL)
		abort();
	for (i = 0; i < n; i++) {
		for (k = 0; b[i] != NULL && k < b[i]->n_demand; k++) {
			const Control__ClassDemand *d = b[i]->demand[k];

			u = g_hash_table_lookup(at, d->name);
			if (u == NULL) {
				out[used] = *d;
				g_hash_table_insert(
				    at, out[used].name, &out[used]);
				used++;
				continue;
			}
			u->queued += d->queued;
			u->running += d->running;
			u->answered += d->answered;
			u->late += d->late;
			u->refused += d->refused;
		}
	}
	g_hash_table_destroy(at);
	*nout = used;
	return out;
}
