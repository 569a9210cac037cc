#include <stdlib.h>
#include <string.h>

#include "control/agent_impl.h"
#include "control/pb.h"

#define PPM 1000000

/* Returns the index of the first worker with an epoch not below epoch. */
static size_t
worker_index(const struct agent *a, uint64_t epoch)
{
	size_t lo = 0, hi = a->nworkers;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (a->workers[mid]->epoch < epoch)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

/* Removes a worker from the table, if it is there. */
static void
worker_remove(struct agent *a, uint64_t epoch)
{
	size_t i = worker_index(a, epoch);

	if (i == a->nworkers || a->workers[i]->epoch != epoch)
		return;
	talloc_free(a->workers[i]);
	a->nworkers--;
	memmove(&a->workers[i], &a->workers[i + 1],
	    (a->nworkers - i) * sizeof(Control__WorkerInfo *));
}

/* Adds a worker to the table or replaces its entry. */
static void
worker_set(struct agent *a, const Control__WorkerInfo *w)
{
	size_t i;

	worker_remove(a, w->epoch);
	i = worker_index(a, w->epoch);
	a->workers = talloc_realloc(
	    a, a->workers, Control__WorkerInfo *, a->nworkers + 1);
	if (a->workers == NULL)
		abort();
	memmove(&a->workers[i + 1], &a->workers[i],
	    (a->nworkers - i) * sizeof(Control__WorkerInfo *));
	a->nworkers++;
	a->workers[i] = pb_dup(a, w);
}

/* Applies a full or incremental worker table. */
static void
workers_update(struct agent *a, const Control__BeatReply *r)
{
	size_t i;

	/* A reply with an older table must not replace a newer one. */
	if (!r->has_worker_version || r->worker_version < a->worker_version)
		return;
	if (r->has_workers_full && r->workers_full) {
		while (a->nworkers > 0)
			talloc_free(a->workers[--a->nworkers]);
	}
	for (i = 0; i < r->n_workers_gone; i++)
		worker_remove(a, r->workers_gone[i]);
	for (i = 0; i < r->n_workers; i++)
		worker_set(a, r->workers[i]);
	a->worker_version = r->worker_version;
}

/* Returns the grant on a worker, or NULL. */
static struct agent_grant *
grant_find(const struct agent *a, uint64_t epoch)
{
	size_t i;

	for (i = 0; i < a->ngrants; i++) {
		if (a->grants[i].epoch == epoch)
			return &a->grants[i];
	}
	return NULL;
}

/* Removes grants that have expired or whose worker was removed. */
static void
grants_expire(struct agent *a)
{
	size_t i, n = 0;

	for (i = 0; i < a->ngrants; i++) {
		const struct agent_grant *g = &a->grants[i];
		size_t w = worker_index(a, g->epoch);

		if (clk_before(a->now, g->expiry) && w < a->nworkers &&
		    a->workers[w]->epoch == g->epoch)
			a->grants[n++] = *g;
	}
	a->ngrants = n;
}

/*
 * Stores the grants of a reply to a heartbeat sent at sent, under which
 * requests may be started until start_until. A worker that isn't listed keeps
 * its earlier grant until that expires, since a new leader lists only the
 * grants it has learnt of. The reply doesn't extend such a grant: another
 * instance may have it by then.
 */
static void
grants_update(struct agent *a, struct timespec sent,
    struct timespec start_until, const Control__BeatReply *r)
{
	int64_t valid_ns = (int64_t)r->grant_ttl_ms * CLK_NS_PER_MS;
	size_t i;

	valid_ns -= valid_ns / PPM * a->conf.clock_ppm;
	for (i = 0; i < r->n_grants; i++) {
		const Control__Grant *m = r->grants[i];
		struct agent_grant *g = grant_find(a, m->epoch);

		if (g == NULL) {
			a->grants = talloc_realloc(
			    a, a->grants, struct agent_grant, a->ngrants + 1);
			if (a->grants == NULL)
				abort();
			g = &a->grants[a->ngrants++];
			g->epoch = m->epoch;
		}
		g->seq = m->seq;
		g->slots = m->slots;
		g->connections = m->connections;
		g->start_until = start_until;
		g->expiry = clk_add_ns(sent, valid_ns);
	}
	grants_expire(a);
}

/*
 * Updates the view from the reply to a heartbeat sent at sent. Validity times
 * count from then, shortened by the largest clock rate error. A reply with a
 * configuration older than the newest one seen, also before a restart, is
 * refused and renews nothing. Returns whether the reply was accepted.
 */
bool
agent_view_update(
    struct agent *a, struct timespec sent, const Control__BeatReply *r)
{
	int64_t valid_ns = a->conf.freshness_ms * CLK_NS_PER_MS;
	uint64_t version;
	struct timespec until =
	    clk_add_ns(sent, valid_ns - valid_ns / PPM * a->conf.clock_ppm);

	if (r->config_version < a->newest_config_version) {
		ctr_add(&a->ctr, AGENT_C_VERSION_OLD, 1);
		return false;
	}
	version = a->config == NULL ? 0 : a->config->version;
	if (r->config != NULL &&
	    (a->config == NULL || r->config->version > version)) {
		talloc_free(a->config);
		a->config = pb_dup(a, r->config);
		version = a->config->version;
	}
	if (version > a->newest_config_version)
		a->newest_config_version = version;
	workers_update(a, r);
	grants_update(a, sent, until, r);
	/* Without the leader's configuration nothing is fresh. */
	if (version < r->config_version)
		return true;
	/* Version 0 is sent without content: no configuration was set yet. */
	if (a->config == NULL) {
		a->config = talloc(a, Control__Config);
		if (a->config == NULL)
			abort();
		control__config__init(a->config);
	}
	if (clk_before(a->fresh_until, until))
		a->fresh_until = until;
	return true;
}

/* Copies the classes into a view. */
static void
view_set_classes(const struct agent *a, struct view *v)
{
	size_t i;

	v->nclasses = a->config == NULL ? 0 : a->config->n_classes;
	v->classes = talloc_array(v, struct view_class, v->nclasses);
	if (v->classes == NULL)
		abort();
	for (i = 0; i < v->nclasses; i++) {
		const Control__Class *m = a->config->classes[i];
		struct view_class *c = &v->classes[i];

		c->name = str_dup(v->classes, str_from(m->name));
		c->urgent = m->urgent;
		c->percentile_x10 = (int)m->percentile_x10;
		c->bound_ms = m->bound_ms;
		c->timeout_ms = m->timeout_ms == 0 ||
			m->timeout_ms > AGENT_REQUEST_TIMEOUT_MAX_MS
		    ? AGENT_REQUEST_TIMEOUT_MAX_MS
		    : m->timeout_ms;
	}
}

/* Translates the names of served classes into indexes. */
static void
view_set_serves(
    struct view *v, struct view_worker *w, const Control__WorkerInfo *m)
{
	unsigned *serves = talloc_array(v->workers, unsigned, m->n_serves);
	size_t i, k;

	if (serves == NULL)
		abort();
	w->serves = serves;
	w->nserves = 0;
	for (i = 0; i < m->n_serves; i++) {
		for (k = 0; k < v->nclasses; k++) {
			if (str_eq_c(v->classes[k].name, m->serves[i]))
				serves[w->nserves++] = (unsigned)k;
		}
	}
}

/* Copies worker i and its grant into a view. */
static void
view_set_worker(
    const struct agent *a, struct view *v, struct view_worker *w, size_t i)
{
	const Control__WorkerInfo *m = a->workers[i];
	const struct agent_grant *g = grant_find(a, m->epoch);

	memset(w, 0, sizeof(*w));
	w->epoch = m->epoch;
	w->name = str_dup(v->workers, str_from(m->name));
	w->addr = str_dup(v->workers, str_from(m->addr));
	w->rack = str_dup(v->workers, str_from(m->rack));
	w->domain = str_dup(v->workers, str_from(m->domain));
	w->draining = m->draining;
	view_set_serves(v, w, m);
	if (g == NULL)
		return;
	w->grant_seq = g->seq;
	w->connections = g->connections;
	/* A draining instance returns all its slots. */
	w->slots = a->draining ? 0 : g->slots;
	if (w->slots > 0) {
		w->grant_start_until = g->start_until;
		w->grant_expiry = g->expiry;
	}
}

/* Emits a VIEW action with a copy of the current state. */
void
agent_view_publish(struct agent *a)
{
	struct view *v = talloc_zero(NULL, struct view);
	size_t i;

	if (v == NULL)
		abort();
	v->config_version = a->config == NULL ? 0 : a->config->version;
	v->term = a->term;
	v->fresh_until = a->fresh_until;
	view_set_classes(a, v);
	v->nworkers = a->nworkers;
	v->workers = talloc_array(v, struct view_worker, v->nworkers);
	if (v->workers == NULL)
		abort();
	for (i = 0; i < v->nworkers; i++)
		view_set_worker(a, v, &v->workers[i], i);
	agent_act_add(a, AGENT_ACT_VIEW)->u.view = v;
}
