#include "request/eng_priv.h"

#include <stdlib.h>
#include <string.h>

#include "base/vec.h"

#define ENG_REQ_CHUNK 64
/* Time to wait for the claim answer of a request that has been answered: twice
 * the time after which the instance reports a forwarded operation as lost. */
#define ENG_UNCONFIRMED_NS (10 * CLK_NS_PER_S)

/*
 * Appends an action to the list of the current step and returns it, zeroed
 * except for its kind and request. The array grows in the caller's struct.
 */
struct eng_act *
eng_emit(struct eng *e, enum eng_act_kind kind, uint64_t req)
{
	struct eng_acts *o = e->acts;
	struct eng_act *a;

	o->v = vec_grow(o->v, o->n, &o->cap, sizeof(*o->v));
	a = &o->v[o->n++];
	memset(a, 0, sizeof(*a));
	a->kind = kind;
	a->req = req;
	return a;
}

/*
 * Returns a zeroed request in state FREE. Requests come from a free list,
 * which is refilled in chunks.
 */
struct eng_req *
eng_req_new(struct eng *e)
{
	struct eng_req *r = e->free_reqs;

	if (r == NULL) {
		struct eng_req *chunk =
		    talloc_zero_array(e, struct eng_req, ENG_REQ_CHUNK);

		if (chunk == NULL)
			abort();
		for (size_t i = 0; i < ENG_REQ_CHUNK; i++) {
			chunk[i].next = e->free_reqs;
			e->free_reqs = &chunk[i];
		}
		r = e->free_reqs;
	}
	e->free_reqs = r->next;
	memset(r, 0, sizeof(*r));
	r->tmr.kind = ENG_TMR_REQ;
	return r;
}

/* Clears the timer of a request and puts the request on the free list. */
void
eng_req_free(struct eng *e, struct eng_req *r)
{
	tmr_clear(&e->timers, &r->tmr);
	r->state = ENG_S_FREE;
	r->next = e->free_reqs;
	e->free_reqs = r;
}

/* Returns the bucket of a request id in the hash table. */
static size_t
eng_hash_index(const struct eng *e, uint64_t id)
{
	return (size_t)((id * 0x9e3779b97f4a7c15ULL) >> 20) & (e->nhash - 1);
}

/* Returns the request with an id, or NULL if there is none. */
static struct eng_req *
eng_find_request(const struct eng *e, uint64_t id)
{
	struct eng_req *r = e->hash[eng_hash_index(e, id)];

	while (r != NULL && r->id != id)
		r = r->next;
	return r;
}

/* Doubles the hash table and rehashes all requests. */
static void
eng_hash_grow(struct eng *e)
{
	struct eng_req **old = e->hash;
	size_t n = e->nhash;

	e->nhash *= 2;
	e->hash = talloc_zero_array(e, struct eng_req *, e->nhash);
	if (e->hash == NULL)
		abort();
	for (size_t i = 0; i < n; i++) {
		struct eng_req *r = old[i], *next;

		for (; r != NULL; r = next) {
			size_t h = eng_hash_index(e, r->id);

			next = r->next;
			r->next = e->hash[h];
			e->hash[h] = r;
		}
	}
	talloc_free(old);
}

/*
 * Adds a request to the hash table, which keeps at most one request per bucket
 * on average.
 */
static void
eng_hash_insert(struct eng *e, struct eng_req *r)
{
	size_t h;

	if (e->nhashed >= e->nhash)
		eng_hash_grow(e);
	h = eng_hash_index(e, r->id);
	r->next = e->hash[h];
	e->hash[h] = r;
	e->nhashed++;
}

/* Removes a request from the hash table; it must be in it. */
static void
eng_hash_remove(struct eng *e, struct eng_req *r)
{
	struct eng_req **p = &e->hash[eng_hash_index(e, r->id)];

	while (*p != r)
		p = &(*p)->next;
	*p = r->next;
	e->nhashed--;
}

/*
 * Returns the milliseconds after which the client may try again. Up to one
 * half is added at random, so that refused clients do not all return at once.
 */
static int64_t
eng_retry_after(struct eng *e, const struct eng_class *c, enum eng_reason why)
{
	int64_t ms = 1000;

	if (why == ENG_R_OVERLOAD && c != NULL) {
		ms = adm_expected_wait(&c->adm, c->queued, c->slots) /
		    CLK_NS_PER_MS;
		if (ms < 100)
			ms = 100;
		if (ms > 5000)
			ms = 5000;
	}
	return ms + (int64_t)rng_below(&e->rng, (uint64_t)ms / 2 + 1);
}

/*
 * Returns true if another class holds slots, or if slots are kept free for an
 * urgent class while this one is not urgent.
 */
static bool
eng_has_competing_class(const struct eng *e, const struct eng_class *c)
{
	for (size_t i = 0; i < e->nclasses; i++) {
		const struct eng_class *o = e->classes[i];

		if (o != c && (o->running > 0 || (o->urgent && !c->urgent)))
			return true;
	}
	return false;
}

/*
 * Counts an answer by reason and outcome, and for the class if the request was
 * not run. Refusals for lack of slots also count as unmet demand.
 */
static void
eng_count_answer(struct eng *e, struct eng_class *c, enum eng_outcome outcome,
    enum eng_reason why)
{
	ctr_add(&e->ctr, why, 1);
	ctr_add(&e->ctr, ENG_C_ANSWERED + (size_t)outcome, 1);
	if (c == NULL || outcome != ENG_NOT_RUN)
		return;
	c->refused++;
	if (why != ENG_R_OVERLOAD && why != ENG_R_QUEUE_TIMEOUT)
		return;
	c->unmet_requests++;
	if (eng_has_competing_class(e, c))
		ctr_add(&e->ctr,
		    c->urgent ? ENG_C_COMPETING_URGENT : ENG_C_COMPETING_BATCH,
		    1);
}

/*
 * Emits the ANSWER of a request and counts it. Any outcome but ANSWERED tells
 * the client when to try again.
 */
static void
eng_emit_answer(struct eng *e, uint64_t id, struct eng_class *c,
    enum eng_outcome outcome, enum eng_reason why, bool recorded)
{
	struct eng_act *a = eng_emit(e, ENG_ACT_ANSWER, id);

	a->u.answer.outcome = outcome;
	a->u.answer.reason = why;
	a->u.answer.recorded = recorded;
	if (outcome != ENG_ANSWERED)
		a->u.answer.retry_after_ms = eng_retry_after(e, c, why);
	eng_count_answer(e, c, outcome, why);
}

/*
 * Ends a request: records the end of its claim, emits the answer and frees the
 * request. The caller passes NOT_RUN only if no attempt can have run; see
 * eng_failure_outcome.
 */
void
eng_answer(struct eng *e, struct eng_req *r, int64_t now,
    enum eng_outcome outcome, enum eng_reason why)
{
	struct eng_class *c = r->class;

	if (r->claimed)
		eng_emit(e, ENG_ACT_RECORD, r->id)->u.record.outcome = outcome;
	if (outcome == ENG_ANSWERED) {
		c->answered++;
		if (c->adm.bound_ns > 0 &&
		    now - r->arrived_ns > c->adm.bound_ns)
			c->late++;
	}
	eng_emit_answer(e, r->id, c, outcome, why, false);
	e->nreq--;
	eng_hash_remove(e, r);
	eng_req_free(e, r);
}

/*
 * Returns the class with a name in the current view, or NULL. The view lists
 * its classes by name, so this is a binary search.
 */
static struct eng_class *
eng_class_lookup(const struct eng *e, struct str name)
{
	const struct view *v = e->view;
	size_t lo = 0, hi = v->nclasses;

	while (lo < hi) {
		size_t mid = (lo + hi) / 2;
		int d = str_cmp(v->classes[mid].name, name);

		if (d == 0)
			return e->by_index[mid];
		if (d < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return NULL;
}

/*
 * Returns the number of queued requests that are served before a new one of
 * this class. Requests of urgent classes go before all others.
 */
static unsigned
eng_requests_ahead(const struct eng *e, const struct eng_class *c)
{
	unsigned n = c->queued;

	if (!c->urgent)
		for (size_t i = 0; i < e->nclasses; i++)
			if (e->classes[i]->urgent)
				n += e->classes[i]->queued;
	return n;
}

/*
 * Decides whether to admit an arriving request and sets its class, its
 * deadline and its latest start in nanoseconds. Returns ENG_R_NONE to admit
 * it; any other reason refuses it as NOT_RUN.
 */
static enum eng_reason
eng_admit(struct eng *e, const struct eng_ev *ev, int64_t now,
    struct eng_class **cp, int64_t *deadline, int64_t *start_by)
{
	struct eng_class *c;
	int64_t ms = ev->u.arrive.timeout_ms;

	if (e->draining)
		return ENG_R_DRAINING;
	if (e->view == NULL || e->view->config_version == 0 ||
	    now >= e->fresh_until_ns)
		return ENG_R_CONFIG_STALE;
	*cp = c = eng_class_lookup(e, ev->u.arrive.class_name);
	if (c == NULL)
		return ENG_R_UNKNOWN_CLASS;
	if (ms < 0 || ev->u.arrive.key.len > ENG_KEY_MAX)
		return ENG_R_BAD_REQUEST;
	if (e->nreq + e->nunconfirmed >= e->conf.max_requests)
		return ENG_R_TOO_MANY;
	if (c->nworkers == 0)
		return ENG_R_NO_WORKER;
	if (ms == 0 || ms > c->adm.timeout_ns / CLK_NS_PER_MS)
		ms = c->adm.timeout_ns / CLK_NS_PER_MS;
	*deadline = now + ms * CLK_NS_PER_MS;
	*start_by = adm_latest_start(&c->adm, now, *deadline);
	if (c->queued > 0 &&
	    now +
		    adm_expected_wait(
			&c->adm, eng_requests_ahead(e, c), c->slots) >
		*start_by)
		return ENG_R_OVERLOAD;
	return ENG_R_NONE;
}

/*
 * Handles ARRIVE: refuses the request, emits a CLAIM for its key, or
 * dispatches or queues it. Returns STATUS_EXISTS if a request with this id has
 * not ended.
 */
static enum status
eng_arrive(struct eng *e, const struct eng_ev *ev, int64_t now)
{
	struct eng_class *c = NULL;
	struct eng_req *r;
	int64_t deadline = 0, start_by = 0;
	enum eng_reason why;

	if (eng_find_request(e, ev->req) != NULL)
		return STATUS_EXISTS;
	why = eng_admit(e, ev, now, &c, &deadline, &start_by);
	if (why != ENG_R_NONE) {
		eng_emit_answer(e, ev->req, c, ENG_NOT_RUN, why, false);
		return STATUS_OK;
	}
	retry_budget_earn(&c->retry_budget);
	r = eng_req_new(e);
	r->id = ev->req;
	r->class = c;
	r->arrived_ns = now;
	r->deadline_ns = deadline;
	r->start_by_ns = start_by;
	r->keyed = ev->u.arrive.key.len > 0;
	/* A key promises at most one run, also for an idempotent method. */
	r->idempotent = ev->u.arrive.idempotent && !r->keyed;
	eng_hash_insert(e, r);
	e->nreq++;
	if (!r->keyed) {
		eng_enqueue(e, r, now);
		return STATUS_OK;
	}
	r->state = ENG_S_CLAIMING;
	c->claiming++;
	tmr_set(&e->timers, &r->tmr, deadline);
	eng_emit(e, ENG_ACT_CLAIM, r->id);
	return STATUS_OK;
}

/*
 * Answers a request whose claim has not been confirmed. This engine never
 * dispatches it, but the outcome is UNKNOWN and not NOT_RUN: an earlier
 * request with this key may have run, which the answer to the claim would have
 * shown, and the key may now be claimed although nobody runs it. The request
 * stays in state UNCONFIRMED until the claim is answered, so that a granted
 * claim is released.
 */
static void
eng_end_claiming(
    struct eng *e, struct eng_req *r, int64_t now, enum eng_reason why)
{
	eng_emit_answer(e, r->id, r->class, ENG_UNKNOWN, why, false);
	r->class->claiming--;
	r->class = NULL;
	e->nreq--;
	r->state = ENG_S_UNCONFIRMED;
	e->nunconfirmed++;
	tmr_set(&e->timers, &r->tmr, now + ENG_UNCONFIRMED_NS);
}

/* Frees a request in state UNCONFIRMED. */
static void
eng_forget_unconfirmed(struct eng *e, struct eng_req *r)
{
	e->nunconfirmed--;
	eng_hash_remove(e, r);
	eng_req_free(e, r);
}

/*
 * Handles the answer to the claim of a request that has already been answered.
 * A claim that was granted, or may have been, is released.
 */
static void
eng_late_claim(struct eng *e, struct eng_req *r, enum eng_claim claim)
{
	ctr_add(&e->ctr, ENG_C_LATE_CLAIM, 1);
	if (claim == ENG_CLAIM_GRANTED || claim == ENG_CLAIM_LOST)
		eng_emit(e, ENG_ACT_RECORD, r->id)->u.record.outcome =
		    ENG_NOT_RUN;
	eng_forget_unconfirmed(e, r);
}

/*
 * Handles the answer to a claim. NOT_RUN refers to this request only, which
 * was not dispatched; an earlier request with the same key has its own
 * outcome. A lost claim ends as UNKNOWN for the reasons given at
 * eng_end_claiming, and is released in case it was recorded.
 */
static void
eng_claim_answered(
    struct eng *e, struct eng_req *r, enum eng_claim claim, int64_t now)
{
	r->class->claiming--;
	switch (claim) {
	case ENG_CLAIM_GRANTED:
		r->claimed = true;
		if (now > r->start_by_ns)
			eng_answer(e, r, now, ENG_NOT_RUN, ENG_R_QUEUE_TIMEOUT);
		else
			eng_enqueue(e, r, now);
		break;
	case ENG_CLAIM_RUNNING:
		eng_answer(e, r, now, ENG_UNKNOWN, ENG_R_KEY_RUNNING);
		break;
	case ENG_CLAIM_RECORDED:
		r->class->answered++;
		eng_emit_answer(
		    e, r->id, r->class, ENG_ANSWERED, ENG_R_NONE, true);
		e->nreq--;
		eng_hash_remove(e, r);
		eng_req_free(e, r);
		break;
	case ENG_CLAIM_UNKNOWN:
		eng_answer(e, r, now, ENG_UNKNOWN, ENG_R_KEY_UNKNOWN);
		break;
	case ENG_CLAIM_MISMATCH:
		eng_answer(e, r, now, ENG_NOT_RUN, ENG_R_KEY_MISMATCH);
		break;
	case ENG_CLAIM_REFUSED:
		eng_answer(e, r, now, ENG_NOT_RUN, ENG_R_CLAIM_FAILED);
		break;
	case ENG_CLAIM_LOST:
		eng_emit(e, ENG_ACT_RECORD, r->id)->u.record.outcome =
		    ENG_NOT_RUN;
		eng_answer(e, r, now, ENG_UNKNOWN, ENG_R_CLAIM_UNKNOWN);
		break;
	}
}

/*
 * Handles the loss of the client. A queued request leaves the queue. A running
 * request of which a byte may have left runs to its end: the backend server
 * would go on anyway, the slot is free sooner than at the deadline, and a
 * keyed request still gets its answer recorded. Its ANSWER follows when it
 * ends.
 */
static void
eng_cancel(struct eng *e, struct eng_req *r, int64_t now)
{
	switch (r->state) {
	case ENG_S_CLAIMING:
		eng_end_claiming(e, r, now, ENG_R_CANCELLED);
		break;
	case ENG_S_QUEUED:
		eng_dequeue(e, r);
		eng_answer(e, r, now,
		    r->may_have_run ? ENG_UNKNOWN : ENG_NOT_RUN,
		    ENG_R_CANCELLED);
		break;
	case ENG_S_RUNNING: {
		struct eng_worker *w = r->worker;

		r->client_gone = true;
		if (r->sent)
			break;
		eng_abort_attempt(e, r, false);
		r->class->running--;
		eng_release_slot(e, w);
		eng_answer(e, r, now,
		    r->may_have_run ? ENG_UNKNOWN : ENG_NOT_RUN,
		    ENG_R_CANCELLED);
		eng_dispatch_queued(e, w, now);
		break;
	}
	default:
		break;
	}
}

/* Returns the reason that is reported for a failed attempt. */
static enum eng_reason
eng_fail_reason(enum eng_fail kind)
{
	switch (kind) {
	case ENG_FAIL_CONNECT:
		return ENG_R_CONNECT;
	case ENG_FAIL_NOT_STARTED:
		return ENG_R_NOT_STARTED;
	case ENG_FAIL_RESET:
		return ENG_R_RESET;
	case ENG_FAIL_TRUNCATED:
		break;
	}
	return ENG_R_TRUNCATED;
}

/*
 * Handles SENT, DONE and FAILED. Events of an attempt that is no longer the
 * current one are counted and ignored.
 */
static void
eng_attempt_event(struct eng *e, const struct eng_ev *ev, int64_t now)
{
	struct eng_req *r = eng_find_request(e, ev->req);
	bool may_run;

	if (r == NULL || r->state != ENG_S_RUNNING ||
	    r->attempt != ev->attempt) {
		ctr_add(&e->ctr,
		    ev->kind == ENG_EV_DONE ? ENG_C_LATE_ANSWER
					    : ENG_C_OLD_EVENT,
		    1);
		return;
	}
	switch (ev->kind) {
	case ENG_EV_SENT:
		r->sent = true;
		tmr_set(&e->timers, &r->tmr, r->attempt_deadline_ns);
		break;
	case ENG_EV_DONE:
		eng_attempt_done(e, r, now, ev->u.done.http_status);
		break;
	default:
		may_run = (r->sent || ev->u.failed.sent) &&
		    ev->u.failed.kind != ENG_FAIL_NOT_STARTED;
		eng_attempt_failed(
		    e, r, now, eng_fail_reason(ev->u.failed.kind), may_run);
		break;
	}
}

/*
 * Handles CLAIMED and CANCEL. Events of a request that has ended are counted
 * and ignored.
 */
static void
eng_req_event(struct eng *e, const struct eng_ev *ev, int64_t now)
{
	struct eng_req *r = eng_find_request(e, ev->req);

	if (r == NULL) {
		ctr_add(&e->ctr,
		    ev->kind == ENG_EV_CLAIMED ? ENG_C_LATE_CLAIM
					       : ENG_C_OLD_EVENT,
		    1);
	} else if (ev->kind == ENG_EV_CANCEL) {
		eng_cancel(e, r, now);
	} else if (r->state == ENG_S_UNCONFIRMED) {
		eng_late_claim(e, r, ev->u.claim);
	} else if (r->state == ENG_S_CLAIMING) {
		eng_claim_answered(e, r, ev->u.claim, now);
	} else {
		ctr_add(&e->ctr, ENG_C_OLD_EVENT, 1);
	}
}

/* Runs all timers that are due, earliest first. */
static void
eng_run_timers(struct eng *e, int64_t now)
{
	struct tmr *t;

	while ((t = tmr_first(&e->timers)) != NULL && t->at_ns <= now) {
		tmr_clear(&e->timers, t);
		if (t->kind == ENG_TMR_WORKER) {
			eng_worker_timer(e,
			    (struct eng_worker *)((char *)t -
				offsetof(struct eng_worker, tmr)),
			    now);
		} else {
			struct eng_req *r = (struct eng_req *)((char *)t -
			    offsetof(struct eng_req, tmr));

			if (r->state == ENG_S_CLAIMING) {
				eng_end_claiming(
				    e, r, now, ENG_R_CLAIM_UNKNOWN);
			} else if (r->state == ENG_S_UNCONFIRMED) {
				eng_forget_unconfirmed(e, r);
			} else {
				eng_req_timer(e, r, now);
			}
		}
	}
}

/*
 * Releases the timer heap, which is not allocated on the engine; called by
 * talloc_free.
 */
static int
eng_destroy(struct eng *e)
{
	tmr_finish(&e->timers);
	return 0;
}

/*
 * Creates an engine. Without a view it refuses every request as CONFIG_STALE
 * until the first VIEW. It is released with talloc_free.
 */
struct eng *
eng_new(TALLOC_CTX *ctx, const struct eng_conf *conf, struct timespec now)
{
	struct eng *e = talloc_zero(ctx, struct eng);

	if (e == NULL)
		abort();
	e->conf = *conf;
	e->last_stats_ns = e->now_ns = clk_ns(now);
	rng_init(&e->rng, conf->seed);
	ctr_init(&e->ctr, e, eng_ctr_desc, ENG_C_COUNT);
	tmr_init(&e->timers);
	e->nhash = 256;
	e->hash = talloc_zero_array(e, struct eng_req *, e->nhash);
	if (e->hash == NULL)
		abort();
	talloc_set_destructor(e, eng_destroy);
	return e;
}

/*
 * Handles one event at now and appends the resulting actions to acts, whose
 * array is allocated on the NULL talloc context and owned by the caller. SENT
 * must be passed in before a byte can leave; if the actions of that step abort
 * the attempt, no byte may leave. Returns STATUS_EXISTS for an ARRIVE with the
 * id of a request that has not ended; that ARRIVE gets no ANSWER of its own.
 * Events of attempts or requests that have ended are counted and otherwise
 * ignored.
 */
enum status
eng_step(struct eng *e, struct timespec now, const struct eng_ev *ev,
    struct eng_acts *acts)
{
	int64_t t = clk_ns(now);
	enum status st = STATUS_OK;
	bool late;

	e->acts = acts;
	e->now_ns = t;
	/* Results that arrive exactly at a deadline are handled before the
	 * timers, so that they still count. SENT must be among them, since
	 * the byte leaves after this step. VIEW comes before the timers
	 * because a dispatch must use indexes of the new view. */
	late = ev->kind == ENG_EV_SENT || ev->kind == ENG_EV_DONE ||
	    ev->kind == ENG_EV_FAILED || ev->kind == ENG_EV_CLAIMED ||
	    ev->kind == ENG_EV_VIEW;
	if (!late)
		eng_run_timers(e, t);
	switch (ev->kind) {
	case ENG_EV_TICK:
		break;
	case ENG_EV_ARRIVE:
		st = eng_arrive(e, ev, t);
		break;
	case ENG_EV_CLAIMED:
	case ENG_EV_CANCEL:
		eng_req_event(e, ev, t);
		break;
	case ENG_EV_SENT:
	case ENG_EV_DONE:
	case ENG_EV_FAILED:
		eng_attempt_event(e, ev, t);
		break;
	case ENG_EV_PROBED:
		eng_probe_answered(e, ev->u.probed.epoch, ev->u.probed.ok, t);
		break;
	case ENG_EV_VIEW:
		eng_apply_view(e, ev->u.view, t);
		break;
	case ENG_EV_DRAIN:
		e->draining = true;
		break;
	}
	if (late)
		eng_run_timers(e, t);
	e->acts = NULL;
	return st;
}

/* Returns when the next TICK is due, or the far future if no timer is set. */
struct timespec
eng_next_tick(const struct eng *e)
{
	const struct tmr *t = tmr_first(&e->timers);

	return clk_from_ns(t != NULL ? t->at_ns : INT64_MAX);
}

/* Returns true if no request is being claimed, queued or running. */
bool
eng_is_idle(const struct eng *e)
{
	return e->nreq == 0;
}

/* Returns the counters; enum eng_reason indexes the first of them. */
const struct ctr_set *
eng_counters(const struct eng *e)
{
	return &e->ctr;
}
