#include "request/eng_priv.h"

/* With more workers than this in a class, only a sample is compared. */
#define ENG_COMPARE_ALL_MAX 64
#define ENG_SAMPLE_WORKERS  32
/* Queued requests of a class that are tried for one free slot. */
#define ENG_QUEUE_SCAN 4
/* Batch requests leave one in this many slots to urgent classes. */
#define ENG_HEADROOM_DIVISOR 8
/* Connecting may take a quarter of the time left, within these limits. */
#define ENG_CONNECT_MIN_NS (50 * CLK_NS_PER_MS)
#define ENG_CONNECT_MAX_NS (1 * CLK_NS_PER_S)

/*
 * Adds by to the slots in use in the worker's rack, and updates the sums of
 * the worker's classes.
 */
static void
eng_add_used_slots(struct eng *e, struct eng_worker *w, int by)
{
	e->racks[w->rack].used += (unsigned)by;
	eng_update_class_sums(e, w);
}

/* Returns a slot to a worker. */
void
eng_release_slot(struct eng *e, struct eng_worker *w)
{
	slot_release(&w->slot);
	eng_add_used_slots(e, w, -1);
}

/*
 * Returns true if a batch request may take a slot of the worker. Batch
 * requests may run for long, so a share of the slots of each urgent class
 * stays free of them: otherwise they would take every slot while urgent load
 * is low and hold it when it rises.
 */
static bool
eng_leaves_headroom(const struct eng_worker *w)
{
	for (size_t i = 0; i < w->nserves; i++) {
		const struct eng_class *c = w->serves[i].class;

		if (c->urgent &&
		    c->free_slots <= c->slots / ENG_HEADROOM_DIVISOR)
			return false;
	}
	return true;
}

/*
 * Returns the latest end, in nanoseconds, of an attempt that starts at now. An
 * idempotent request keeps time for an attempt on another worker as long as
 * there is another worker and attempts are left.
 */
static int64_t
eng_attempt_deadline(const struct eng_req *r, int64_t now)
{
	if (!r->idempotent || r->client_gone || r->class->usable_workers < 2 ||
	    r->attempts + 1 >= ENG_ATTEMPTS_MAX)
		return r->deadline_ns;
	return now + adm_attempt_limit(&r->class->adm, r->deadline_ns - now);
}

/*
 * Returns true if the request may be sent to the worker now, for an attempt
 * that ends by deadline. The worker of the last failed attempt is avoided
 * while the class has another one.
 */
static bool
eng_can_dispatch(const struct eng *e, const struct eng_req *r,
    const struct eng_worker *w, int64_t now, int64_t deadline)
{
	return eng_worker_usable(w) && slot_free(&w->slot, now) > 0 &&
	    (r->class->urgent || eng_leaves_headroom(w)) &&
	    (r->avoid_epoch != w->epoch || r->class->usable_workers < 2) &&
	    slot_covers(&w->slot, now, deadline, e->conf.clock_ppm);
}

/*
 * Returns the score of a worker, lower is better: recent failures weigh most,
 * then the share of this instance's slots in use on the worker, then that in
 * its rack.
 */
static unsigned
eng_score(const struct eng *e, const struct eng_worker *w, int64_t now)
{
	const struct eng_rack *k = &e->racks[w->rack];
	unsigned score = outlier_failure_score(&w->outlier, now) * 64;

	score += w->slot.used * 256 / w->slot.granted;
	if (k->granted > 0)
		score += k->used * 128 / k->granted;
	return score;
}

/*
 * Returns the worker with the lowest score among those with a free slot, or
 * NULL. The comparison starts at a random worker. In a large class it stops
 * after ENG_SAMPLE_WORKERS if one of them fits, so that the cost does not grow
 * with the number of workers while free slots are easy to find.
 */
static struct eng_worker *
eng_pick_worker(
    struct eng *e, const struct eng_req *r, int64_t now, int64_t deadline)
{
	const struct eng_class *c = r->class;
	size_t n = c->nworkers,
	       sample = n > ENG_COMPARE_ALL_MAX ? ENG_SAMPLE_WORKERS : n, i;
	struct eng_worker *best = NULL;
	unsigned best_score = 0;

	if (n == 0 || now >= e->fresh_until_ns)
		return NULL;
	i = (size_t)rng_below(&e->rng, n);
	for (size_t k = 0; k < n; k++, i = i + 1 < n ? i + 1 : 0) {
		struct eng_worker *w = c->workers[i];
		unsigned score;

		if (k >= sample && best != NULL)
			break;
		if (!eng_can_dispatch(e, r, w, now, deadline))
			continue;
		score = eng_score(e, w, now);
		if (best == NULL || score < best_score) {
			best = w;
			best_score = score;
		}
	}
	return best;
}

/*
 * Starts an attempt on a worker: takes a slot, sets the timer to the end of
 * the connection phase and emits DISPATCH.
 */
static void
eng_dispatch(struct eng *e, struct eng_req *r, struct eng_worker *w,
    int64_t now, int64_t deadline)
{
	struct eng_act *a;
	int64_t wait = (deadline - now) / 4;

	slot_take(&w->slot);
	eng_add_used_slots(e, w, 1);
	r->class->running++;
	r->state = ENG_S_RUNNING;
	r->worker = w;
	r->attempt = ++e->last_attempt;
	r->attempts++;
	r->attempt_start_ns = now;
	r->attempt_deadline_ns = deadline;
	r->sent = false;
	if (wait < ENG_CONNECT_MIN_NS)
		wait = ENG_CONNECT_MIN_NS;
	if (wait > ENG_CONNECT_MAX_NS)
		wait = ENG_CONNECT_MAX_NS;
	if (wait > deadline - now)
		wait = deadline - now;
	tmr_set(&e->timers, &r->tmr, now + wait);
	a = eng_emit(e, ENG_ACT_DISPATCH, r->id);
	a->attempt = r->attempt;
	a->u.dispatch.worker = w->index;
	a->u.dispatch.epoch = w->epoch;
	a->u.dispatch.deadline = clk_from_ns(deadline);
	a->u.dispatch.send_by = clk_from_ns(now + wait);
}

/*
 * Puts a request at the tail of its class queue, or at the head if it has been
 * dispatched before, and sets the timer to its latest start.
 */
static void
eng_queue_insert(struct eng *e, struct eng_req *r)
{
	struct eng_class *c = r->class;

	r->state = ENG_S_QUEUED;
	c->queued++;
	if (r->attempts > 0)
		TAILQ_INSERT_HEAD(&c->queue, r, link);
	else
		TAILQ_INSERT_TAIL(&c->queue, r, link);
	tmr_set(&e->timers, &r->tmr, r->start_by_ns);
}

/* Removes a request from its class queue and clears its timer. */
void
eng_dequeue(struct eng *e, struct eng_req *r)
{
	TAILQ_REMOVE(&r->class->queue, r, link);
	r->class->queued--;
	tmr_clear(&e->timers, &r->tmr);
}

/*
 * Sends an admitted request to a worker, or queues it until a slot is free or
 * its latest start has passed. A new request does not overtake queued ones of
 * its class.
 */
void
eng_enqueue(struct eng *e, struct eng_req *r, int64_t now)
{
	struct eng_worker *w = NULL;
	int64_t deadline = eng_attempt_deadline(r, now);

	if (r->class->index == SIZE_MAX) {
		eng_answer(e, r, now, eng_failure_outcome(r),
		    r->may_have_run ? (enum eng_reason)r->reason
				    : ENG_R_UNKNOWN_CLASS);
		return;
	}
	if (r->class->queued == 0 || r->attempts > 0)
		w = eng_pick_worker(e, r, now, deadline);
	if (w != NULL)
		eng_dispatch(e, r, w, now, deadline);
	else
		eng_queue_insert(e, r);
}

/*
 * Returns the first request among the ENG_QUEUE_SCAN oldest of a class queue
 * that may run on the worker now, or NULL.
 */
static struct eng_req *
eng_next_queued(const struct eng *e, const struct eng_class *c,
    const struct eng_worker *w, int64_t now)
{
	struct eng_req *r = TAILQ_FIRST(&c->queue);

	for (unsigned i = 0; r != NULL && i < ENG_QUEUE_SCAN; i++) {
		if (eng_can_dispatch(
			e, r, w, now, eng_attempt_deadline(r, now)))
			return r;
		r = TAILQ_NEXT(r, link);
	}
	return NULL;
}

/*
 * Sends queued requests to a worker while it has a free slot: urgent before
 * batch, then the one with the earliest latest start.
 */
void
eng_dispatch_queued(struct eng *e, struct eng_worker *w, int64_t now)
{
	while (now < e->fresh_until_ns && eng_worker_usable(w) &&
	    slot_free(&w->slot, now) > 0) {
		struct eng_req *best = NULL;

		for (size_t i = 0; i < w->nserves; i++) {
			const struct eng_class *c = w->serves[i].class;
			struct eng_req *r;

			if (c->queued == 0)
				continue;
			r = eng_next_queued(e, c, w, now);
			if (r == NULL)
				continue;
			if (best == NULL || c->urgent > best->class->urgent ||
			    (c->urgent == best->class->urgent &&
				r->start_by_ns < best->start_by_ns))
				best = r;
		}
		if (best == NULL)
			return;
		eng_dequeue(e, best);
		eng_dispatch(e, best, w, now, eng_attempt_deadline(best, now));
	}
}

/*
 * Returns the outcome of a request without an answer: NOT_RUN only if no
 * attempt can have run, UNKNOWN otherwise.
 */
enum eng_outcome
eng_failure_outcome(const struct eng_req *r)
{
	return r->may_have_run ? ENG_UNKNOWN : ENG_NOT_RUN;
}

/* Returns the counter of retries for a reason. */
static enum eng_ctr
eng_retry_ctr(enum eng_reason why)
{
	switch (why) {
	case ENG_R_CONNECT:
		return ENG_C_RETRY_CONNECT;
	case ENG_R_NOT_STARTED:
		return ENG_C_RETRY_NOT_STARTED;
	case ENG_R_RESET:
		return ENG_C_RETRY_RESET;
	case ENG_R_TRUNCATED:
		return ENG_C_RETRY_TRUNCATED;
	default:
		return ENG_C_RETRY_TIMEOUT;
	}
}

/*
 * Keeps the slot of an attempt that may still run on its worker until the
 * deadline has certainly passed on the worker's clock too.
 */
static void
eng_retain_slot(struct eng *e, const struct eng_req *r)
{
	struct eng_req *l = eng_req_new(e);

	l->state = ENG_S_LINGER;
	l->worker = r->worker;
	slot_linger(&r->worker->slot);
	tmr_set(&e->timers, &l->tmr,
	    slot_latest_end(r->attempt_start_ns, r->attempt_deadline_ns,
		e->conf.clock_ppm));
}

/*
 * Ends an attempt without an answer and retries or answers the request.
 * may_run says whether the worker may have run the attempt. The request is
 * retried if no attempt can have run or it is idempotent, its client is
 * connected, time and attempts are left, and the retry budget allows it.
 */
void
eng_attempt_failed(struct eng *e, struct eng_req *r, int64_t now,
    enum eng_reason why, bool may_run)
{
	struct eng_class *c = r->class;
	struct eng_worker *w = r->worker;
	bool timed_out = why == ENG_R_TIMEOUT;

	tmr_clear(&e->timers, &r->tmr);
	c->running--;
	if (may_run) {
		r->may_have_run = true;
		eng_retain_slot(e, r);
	} else {
		eng_release_slot(e, w);
	}
	if (timed_out && r->attempt_deadline_ns < r->deadline_ns &&
	    w->outlier.timeouts == 0)
		adm_add_abandoned(&c->adm, now - r->attempt_start_ns);
	if (!timed_out)
		eng_add_result(e, w, now, false, false);
	else if (!r->sent ||
	    adm_is_overlong(&c->adm, now - r->attempt_start_ns))
		eng_add_result(e, w, now, false, true);
	eng_update_class_sums(e, w);
	r->avoid_epoch = w->epoch;
	r->reason = why;
	r->start_by_ns = r->deadline_ns - c->adm.p50_ns;
	if (r->client_gone || (r->may_have_run && !r->idempotent) ||
	    r->start_by_ns <= now || r->attempts >= ENG_ATTEMPTS_MAX) {
		eng_answer(e, r, now, eng_failure_outcome(r), why);
	} else if (!retry_budget_take(&c->retry_budget, now)) {
		eng_answer(
		    e, r, now, eng_failure_outcome(r), ENG_R_RETRY_BUDGET);
	} else {
		ctr_add(&e->ctr, eng_retry_ctr(why), 1);
		eng_enqueue(e, r, now);
	}
	if (!may_run)
		eng_dispatch_queued(e, w, now);
}

/*
 * Ends an attempt with a complete answer. A status of 500 or above is passed
 * on like any other but counts as a failure of the worker.
 */
void
eng_attempt_done(struct eng *e, struct eng_req *r, int64_t now, int http_status)
{
	struct eng_worker *w = r->worker;
	struct eng_class *c = r->class;
	int64_t took = now - r->attempt_start_ns;

	tmr_clear(&e->timers, &r->tmr);
	c->running--;
	eng_release_slot(e, w);
	adm_add_served(&c->adm, took);
	for (size_t i = 0; i < w->nserves; i++) {
		struct eng_served_class *s = &w->serves[i];

		if (s->class != c)
			continue;
		if (s->lat == NULL)
			s->lat = talloc_zero(w, struct lat);
		if (s->lat != NULL)
			lat_add(s->lat, took / 1000);
	}
	eng_add_result(e, w, now, http_status < 500, false);
	eng_answer(e, r, now, ENG_ANSWERED, ENG_R_NONE);
	eng_dispatch_queued(e, w, now);
}

/*
 * Emits ABORT for the connection of an attempt. close_idle is set after a
 * timeout: idle connections to the worker may be dead as well, so they are
 * closed too.
 */
void
eng_abort_attempt(struct eng *e, const struct eng_req *r, bool close_idle)
{
	struct eng_act *a = eng_emit(e, ENG_ACT_ABORT, r->id);

	a->attempt = r->attempt;
	a->u.abort.worker = r->worker->index;
	a->u.abort.epoch = r->worker->epoch;
	a->u.abort.close_idle = close_idle;
}

/* Handles the timer of a queued, running or lingering request. */
void
eng_req_timer(struct eng *e, struct eng_req *r, int64_t now)
{
	struct eng_worker *w = r->worker;

	switch (r->state) {
	case ENG_S_QUEUED:
		eng_dequeue(e, r);
		eng_answer(e, r, now, eng_failure_outcome(r),
		    r->may_have_run ? (enum eng_reason)r->reason
				    : ENG_R_QUEUE_TIMEOUT);
		break;
	case ENG_S_RUNNING:
		eng_abort_attempt(e, r, true);
		eng_attempt_failed(e, r, now, ENG_R_TIMEOUT, r->sent);
		break;
	case ENG_S_LINGER:
		slot_linger_end(&w->slot);
		eng_add_used_slots(e, w, -1);
		eng_req_free(e, r);
		eng_update_class_sums(e, w);
		eng_dispatch_queued(e, w, now);
		break;
	default:
		break;
	}
}
