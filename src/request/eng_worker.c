#include "request/eng_priv.h"

#include <stdlib.h>
#include <string.h>

/* Time after which a probe without an answer has failed. */
#define ENG_PROBE_TIMEOUT_NS (1 * CLK_NS_PER_S)

/* Returns the worker with an epoch, or NULL if there is none. */
struct eng_worker *
eng_worker_find(const struct eng *e, uint64_t epoch)
{
	size_t lo = 0, hi = e->nworkers;

	while (lo < hi) {
		size_t mid = (lo + hi) / 2;

		if (e->workers[mid]->epoch == epoch)
			return e->workers[mid];
		if (e->workers[mid]->epoch < epoch)
			lo = mid + 1;
		else
			hi = mid;
	}
	return NULL;
}

/*
 * Returns true if the worker may get new requests: it is in the view, not
 * draining, not out of use and not being probed.
 */
bool
eng_worker_usable(const struct eng_worker *w)
{
	return w->index != SIZE_MAX && !w->draining &&
	    w->outlier.state == OUTLIER_IN_USE && !w->outlier.probing;
}

/*
 * Updates the sums of the worker's classes after its state has changed, by the
 * difference to what was counted last.
 */
void
eng_update_class_sums(struct eng *e, struct eng_worker *w)
{
	bool usable = eng_worker_usable(w);
	unsigned slots = 0, free = 0;

	(void)e;
	if (usable && w->slot.granted > w->slot.lingering)
		slots = w->slot.granted - w->slot.lingering;
	if (usable && w->slot.granted > w->slot.used)
		free = w->slot.granted - w->slot.used;
	for (size_t i = 0; i < w->nserves; i++) {
		struct eng_class *c = w->serves[i].class;

		c->slots += slots - w->counted_slots;
		c->free_slots += free - w->counted_free;
		c->usable_workers +=
		    (unsigned)usable - (unsigned)w->counted_usable;
	}
	w->counted_slots = slots;
	w->counted_free = free;
	w->counted_usable = usable;
}

/*
 * Returns true if no class that the worker serves has reached its limit of
 * ejected workers.
 */
static bool
eng_may_eject(const struct eng *e, const struct eng_worker *w)
{
	for (size_t i = 0; i < w->nserves; i++) {
		const struct eng_class *c = w->serves[i].class;

		if (c->ejected >= outlier_max_ejected((unsigned)c->nworkers,
				      e->conf.eject_percent))
			return false;
	}
	return true;
}

/* Takes a worker out of use as suspect or ejected and schedules a probe. */
static void
eng_withdraw_worker(
    struct eng *e, struct eng_worker *w, enum outlier_state state, int64_t now)
{
	int64_t next;

	if (state == OUTLIER_EJECTED)
		for (size_t i = 0; i < w->nserves; i++)
			w->serves[i].class->ejected++;
	next = outlier_withdraw(&w->outlier, state, now);
	if (!w->outlier.probing)
		tmr_set(&e->timers, &w->tmr, next);
	ctr_add(&e->ctr,
	    state == OUTLIER_EJECTED ? ENG_C_EJECTED : ENG_C_SUSPECTED, 1);
	eng_update_class_sums(e, w);
}

/* Puts a worker back into use and sends it queued requests. */
static void
eng_readmit_worker(struct eng *e, struct eng_worker *w, int64_t now)
{
	if (w->outlier.state == OUTLIER_EJECTED)
		for (size_t i = 0; i < w->nserves; i++)
			w->serves[i].class->ejected--;
	outlier_readmit(&w->outlier, now);
	tmr_clear(&e->timers, &w->tmr);
	ctr_add(&e->ctr, ENG_C_READMITTED, 1);
	eng_update_class_sums(e, w);
	eng_dispatch_queued(e, w, now);
}

/*
 * Records the result of an attempt and, if the results demand it, takes the
 * worker out of use. timed_out says that the worker has had enough time to
 * answer.
 */
void
eng_add_result(
    struct eng *e, struct eng_worker *w, int64_t now, bool ok, bool timed_out)
{
	bool failing = outlier_add_result(&w->outlier, ok, now);

	if (timed_out && outlier_add_timeout(&w->outlier))
		eng_withdraw_worker(e, w, OUTLIER_SUSPECT, now);
	else if (timed_out && w->outlier.state == OUTLIER_IN_USE &&
	    !w->outlier.probing)
		/* One timeout may be the fault of the request. A probe shows
		 * sooner than a second timeout whether the worker responds. */
		tmr_set(&e->timers, &w->tmr, now);
	else if (failing && !ok && eng_may_eject(e, w))
		eng_withdraw_worker(e, w, OUTLIER_EJECTED, now);
	else if (failing && !ok)
		ctr_add(&e->ctr, ENG_C_EJECT_CAPPED, 1);
}

/*
 * Handles a failed probe: a worker in use becomes suspect, and the next probe
 * is scheduled.
 */
static void
eng_probe_failed(struct eng *e, struct eng_worker *w, int64_t now)
{
	w->slot.probes--;
	ctr_add(&e->ctr, ENG_C_PROBE_FAILED, 1);
	if (w->outlier.state == OUTLIER_IN_USE)
		eng_withdraw_worker(e, w, OUTLIER_SUSPECT, now);
	tmr_set(&e->timers, &w->tmr, outlier_probe_failed(&w->outlier, now));
}

/*
 * Sends a probe, or counts the probe that is under way as failed. A worker
 * that cannot be probed now, because it has left the view, its grant has
 * expired or its connections are all in use, is tried again after
 * ENG_PROBE_TIMEOUT_NS.
 */
void
eng_worker_timer(struct eng *e, struct eng_worker *w, int64_t now)
{
	struct eng_act *a;

	if (w->outlier.probing) {
		eng_probe_failed(e, w, now);
		return;
	}
	tmr_set(&e->timers, &w->tmr, now + ENG_PROBE_TIMEOUT_NS);
	if (w->index == SIZE_MAX || w->slot.expiry_ns <= now ||
	    w->slot.used + w->slot.probes >= w->slot.connections)
		return;
	w->outlier.probing = true;
	w->slot.probes++;
	eng_update_class_sums(e, w);
	a = eng_emit(e, ENG_ACT_PROBE, 0);
	a->u.probe.worker = w->index;
	a->u.probe.epoch = w->epoch;
}

/* Handles the result of a probe. */
void
eng_probe_answered(struct eng *e, uint64_t epoch, bool ok, int64_t now)
{
	struct eng_worker *w = eng_worker_find(e, epoch);

	if (w == NULL || !w->outlier.probing) {
		ctr_add(&e->ctr, ENG_C_OLD_EVENT, 1);
	} else if (ok && w->outlier.state == OUTLIER_IN_USE) {
		w->slot.probes--;
		w->outlier.probing = false;
		tmr_clear(&e->timers, &w->tmr);
		eng_update_class_sums(e, w);
		eng_dispatch_queued(e, w, now);
	} else if (ok) {
		w->slot.probes--;
		eng_readmit_worker(e, w, now);
	} else {
		eng_probe_failed(e, w, now);
	}
}

/* Returns the index of a rack, which is added if it is new. */
static size_t
eng_rack_index(struct eng *e, struct str name)
{
	for (size_t i = 0; i < e->nracks; i++)
		if (str_eq(e->racks[i].name, name))
			return i;
	e->racks = talloc_realloc(e, e->racks, struct eng_rack, e->nracks + 1);
	if (e->racks == NULL)
		abort();
	memset(&e->racks[e->nracks], 0, sizeof(e->racks[0]));
	e->racks[e->nracks].name = str_dup(e->racks, name);
	return e->nracks++;
}

/*
 * Returns the class with a name, or NULL. Unlike eng_class_lookup it also
 * finds classes that have left the view.
 */
static struct eng_class *
eng_class_find(const struct eng *e, struct str name)
{
	for (size_t i = 0; i < e->nclasses; i++)
		if (str_eq(e->classes[i]->name, name))
			return e->classes[i];
	return NULL;
}

/* Adds a class without results. */
static struct eng_class *
eng_class_new(struct eng *e, struct str name, int64_t now)
{
	struct eng_class *c = talloc_zero(e, struct eng_class);

	e->classes =
	    talloc_realloc(e, e->classes, struct eng_class *, e->nclasses + 1);
	if (c == NULL || e->classes == NULL)
		abort();
	c->name = str_dup(c, name);
	adm_init(&c->adm);
	retry_budget_init(&c->retry_budget, e->conf.retry_percent,
	    e->conf.retry_min_per_s, now);
	TAILQ_INIT(&c->queue);
	e->classes[e->nclasses++] = c;
	return c;
}

/*
 * Updates the classes from a view. Those that are not in it get index
 * SIZE_MAX. Sums over workers are reset; eng_apply_worker adds them up again.
 */
static void
eng_apply_classes(struct eng *e, const struct view *v, int64_t now)
{
	for (size_t i = 0; i < e->nclasses; i++) {
		struct eng_class *c = e->classes[i];

		c->index = SIZE_MAX;
		c->nworkers = 0;
		c->usable_workers = c->slots = c->ejected = c->free_slots = 0;
	}
	e->by_index =
	    talloc_realloc(e, e->by_index, struct eng_class *, v->nclasses + 1);
	if (e->by_index == NULL)
		abort();
	for (size_t i = 0; i < v->nclasses; i++) {
		const struct view_class *vc = &v->classes[i];
		struct eng_class *c = eng_class_find(e, vc->name);

		if (c == NULL)
			c = eng_class_new(e, vc->name, now);
		c->index = i;
		c->urgent = vc->urgent;
		adm_set_target(&c->adm,
		    vc->percentile_x10 > 0 ? vc->bound_ms : 0, vc->timeout_ms);
		e->by_index[i] = c;
	}
}

/* Creates a worker that is in use and has no grant yet. */
static struct eng_worker *
eng_worker_new(struct eng *e, const struct view_worker *vw)
{
	struct eng_worker *w = talloc_zero(e, struct eng_worker);

	if (w == NULL)
		abort();
	w->epoch = vw->epoch;
	w->rack = eng_rack_index(e, vw->rack);
	w->tmr.kind = ENG_TMR_WORKER;
	outlier_init(&w->outlier);
	return w;
}

/* Adds a worker to those that serve a class. */
static void
eng_class_add_worker(struct eng_class *c, struct eng_worker *w)
{
	if (c->nworkers == c->cap) {
		c->cap = c->cap > 0 ? 2 * c->cap : 16;
		c->workers =
		    talloc_realloc(c, c->workers, struct eng_worker *, c->cap);
		if (c->workers == NULL)
			abort();
	}
	c->workers[c->nworkers++] = w;
}

/*
 * Updates one worker from a view. Latency counts of the classes that it still
 * serves are kept.
 */
static void
eng_apply_worker(struct eng *e, struct eng_worker *w,
    const struct view_worker *vw, size_t index)
{
	struct eng_served_class *s = NULL;

	if (vw->nserves > 0) {
		s = talloc_zero_array(w, struct eng_served_class, vw->nserves);
		if (s == NULL)
			abort();
	}
	for (size_t i = 0; i < vw->nserves; i++) {
		s[i].class = e->by_index[vw->serves[i]];
		for (size_t k = 0; k < w->nserves; k++)
			if (w->serves[k].class == s[i].class)
				s[i].lat = w->serves[k].lat;
		eng_class_add_worker(s[i].class, w);
		if (w->outlier.state == OUTLIER_EJECTED)
			s[i].class->ejected++;
	}
	talloc_free(w->serves);
	w->serves = s;
	w->nserves = vw->nserves;
	w->index = index;
	w->draining = vw->draining;
	slot_grant(&w->slot, vw->slots, vw->connections, vw->grant_seq,
	    clk_ns(vw->grant_start_until), clk_ns(vw->grant_expiry));
	e->racks[w->rack].granted += vw->slots;
	w->counted_slots = w->counted_free = 0;
	w->counted_usable = false;
	eng_update_class_sums(e, w);
}

/*
 * Handles a worker that is not in the view. Returns true if it is kept because
 * requests may still run on it; otherwise it is freed.
 */
static bool
eng_worker_left_view(struct eng *e, struct eng_worker *w)
{
	w->index = SIZE_MAX;
	w->nserves = 0;
	w->counted_slots = w->counted_free = 0;
	w->counted_usable = false;
	if (w->slot.used > 0)
		return true;
	tmr_clear(&e->timers, &w->tmr);
	talloc_free(w);
	return false;
}

/*
 * Merges the workers of the engine with those of the view. Both lists are
 * sorted by epoch.
 */
static void
eng_merge_workers(struct eng *e, const struct view *v)
{
	struct eng_worker **old = e->workers;
	size_t nold = e->nworkers, o = 0, n = 0;

	for (size_t i = 0; i < e->nracks; i++)
		e->racks[i].granted = 0;
	e->workers =
	    talloc_array(e, struct eng_worker *, nold + v->nworkers + 1);
	if (e->workers == NULL)
		abort();
	for (size_t i = 0; i < v->nworkers; i++) {
		const struct view_worker *vw = &v->workers[i];
		struct eng_worker *w;

		for (; o < nold && old[o]->epoch < vw->epoch; o++)
			if (eng_worker_left_view(e, old[o]))
				e->workers[n++] = old[o];
		if (o < nold && old[o]->epoch == vw->epoch)
			w = old[o++];
		else
			w = eng_worker_new(e, vw);
		eng_apply_worker(e, w, vw, i);
		e->workers[n++] = w;
	}
	for (; o < nold; o++)
		if (eng_worker_left_view(e, old[o]))
			e->workers[n++] = old[o];
	e->nworkers = n;
	talloc_free(old);
}

/*
 * Answers the queued requests of classes that have left the view and frees
 * those classes that have no requests left.
 */
static void
eng_remove_classes(struct eng *e, int64_t now)
{
	size_t n = 0;

	for (size_t i = 0; i < e->nclasses; i++) {
		struct eng_class *c = e->classes[i];
		struct eng_req *r;

		while (c->index == SIZE_MAX &&
		    (r = TAILQ_FIRST(&c->queue)) != NULL) {
			eng_dequeue(e, r);
			eng_answer(e, r, now, eng_failure_outcome(r),
			    r->may_have_run ? (enum eng_reason)r->reason
					    : ENG_R_UNKNOWN_CLASS);
		}
		if (c->index == SIZE_MAX && c->running + c->claiming == 0)
			talloc_free(c);
		else
			e->classes[n++] = c;
	}
	e->nclasses = n;
}

/*
 * Readmits the workers that were ejected first in each class that has more
 * ejected workers than its limit, which shrinks with the number of workers.
 */
static void
eng_enforce_eject_cap(struct eng *e, int64_t now)
{
	for (size_t i = 0; i < e->nclasses; i++) {
		struct eng_class *c = e->classes[i];
		unsigned cap = outlier_max_ejected(
		    (unsigned)c->nworkers, e->conf.eject_percent);

		while (c->ejected > cap) {
			struct eng_worker *first = NULL;

			for (size_t k = 0; k < c->nworkers; k++) {
				struct eng_worker *w = c->workers[k];

				if (w->outlier.state == OUTLIER_EJECTED &&
				    (first == NULL ||
					w->outlier.withdrawn_ns <
					    first->outlier.withdrawn_ns))
					first = w;
			}
			if (first == NULL)
				break;
			if (first->outlier.probing)
				first->slot.probes--;
			eng_readmit_worker(e, first, now);
		}
	}
}

/*
 * Replaces the current view. Requests that run on workers that have left the
 * view go on; queued requests are sent to slots that are free in the new view.
 */
void
eng_apply_view(struct eng *e, const struct view *v, int64_t now)
{
	size_t start;

	e->view = v;
	e->fresh_until_ns = clk_ns(v->fresh_until);
	eng_apply_classes(e, v, now);
	eng_merge_workers(e, v);
	eng_remove_classes(e, now);
	eng_enforce_eject_cap(e, now);
	if (e->nworkers == 0)
		return;
	start = (size_t)rng_below(&e->rng, e->nworkers);
	for (size_t i = 0; i < e->nworkers; i++)
		eng_dispatch_queued(
		    e, e->workers[(start + i) % e->nworkers], now);
}
