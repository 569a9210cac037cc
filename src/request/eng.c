#include "request/eng_priv.h"

#include <stdlib.h>
#include <string.h>

#include "base/vec.h"

#define ENG_REQ_CHUNK 64
/* How long the answer to the claim of an ended request is waited for; twice
 * the time after which the instance gives a forwarded operation up as lost. */
#define ENG_UNCONFIRMED_NS (10 * CLK_NS_PER_S)

/* Appends an action; the array grows in the caller's struct. */
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

/* Returns a request in state FREE; requests are reused. */
struct eng_req *
eng_req_new(struct eng *e)
{
	struct eng_req *r = e->free;

	if (r == NULL) {
		struct eng_req *chunk =
		    talloc_zero_array(e, struct eng_req, ENG_REQ_CHUNK);

		if (chunk == NULL)
			abort();
		for (size_t i = 0; i < ENG_REQ_CHUNK; i++) {
			chunk[i].next = e->free;
			e->free = &chunk[i];
		}
		r = e->free;
	}
	e->free = r->next;
	memset(r, 0, sizeof(*r));
	r->tmr.kind = ENG_TMR_REQ;
	return r;
}

/* Gives a request back; its timer is cleared. */
void
eng_req_free(struct eng *e, struct eng_req *r)
{
	tmr_clear(&e->tmr, &r->tmr);
	r->state = ENG_S_FREE;
	r->next = e->free;
	e->free = r;
}

static size_t
eng_hash_index(const struct eng *e, uint64_t id)
{
	return (size_t)((id * 0x9e3779b97f4a7c15ULL) >> 20) & (e->nhash - 1);
}

static struct eng_req *
eng_find_request(const struct eng *e, uint64_t id)
{
	struct eng_req *r = e->hash[eng_hash_index(e, id)];

	while (r != NULL && r->id != id)
		r = r->next;
	return r;
}

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
 * Time after which the client may try again. It is spread by up to one half,
 * so that refused clients do not come back at once.
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

/* True if other classes hold slots, or slots are kept free for them. */
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
		    c->urgent ? ENG_C_CROWDED_URGENT : ENG_C_CROWDED_BATCH, 1);
}

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
 * Ends a request: records the end of its claim, answers and forgets it. Not
 * run is answered only by callers that know it of every attempt; see
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

/* Checks an arrival; any reason but NONE refuses it as not run. */
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
	/* A keyed request runs at most once, whatever its method. */
	r->idempotent = ev->u.arrive.idempotent && !r->keyed;
	eng_hash_insert(e, r);
	e->nreq++;
	if (!r->keyed) {
		eng_enqueue(e, r, now);
		return STATUS_OK;
	}
	r->state = ENG_S_CLAIMING;
	c->claiming++;
	tmr_set(&e->tmr, &r->tmr, deadline);
	eng_emit(e, ENG_ACT_CLAIM, r->id);
	return STATUS_OK;
}

/*
 * Ends a request whose claim is under way. It is never dispatched by this
 * engine. It is still answered as unknown, not as not run: the answer to the
 * claim would have told whether an earlier request with this key was run, and
 * the key may now be claimed with nobody to run it. The request stays as an
 * orphan until the claim is answered, so that a granted one is released.
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
	tmr_set(&e->tmr, &r->tmr, now + ENG_UNCONFIRMED_NS);
}

static void
eng_forget_unconfirmed(struct eng *e, struct eng_req *r)
{
	e->nunconfirmed--;
	eng_hash_remove(e, r);
	eng_req_free(e, r);
}

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
 * Handles the answer to a claim. Not run is said of this request, which was
 * not dispatched; an earlier request with the same key has its own outcome.
 * A lost claim is unknown for the reasons given at eng_end_claiming, and is
 * released in case it was recorded.
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
 * The client has gone. A queued request gives its place up. A running one of
 * which a byte may have left is left to finish: the backend server would run
 * on anyway, the slot is free sooner than at the deadline, and the record of
 * a key gets the answer. Its ANSWER follows when it ends.
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

static void
eng_attempt_event(struct eng *e, const struct eng_ev *ev, int64_t now)
{
	struct eng_req *r = eng_find_request(e, ev->req);
	bool maybe;

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
		tmr_set(&e->tmr, &r->tmr, r->attempt_deadline_ns);
		break;
	case ENG_EV_DONE:
		eng_attempt_done(e, r, now, ev->u.done.http_status);
		break;
	default:
		maybe = (r->sent || ev->u.failed.sent) &&
		    ev->u.failed.kind != ENG_FAIL_NOT_STARTED;
		eng_attempt_failed(
		    e, r, now, eng_fail_reason(ev->u.failed.kind), maybe);
		break;
	}
}

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

static void
eng_run_timers(struct eng *e, int64_t now)
{
	struct tmr *t;

	while ((t = tmr_first(&e->tmr)) != NULL && t->at_ns <= now) {
		tmr_clear(&e->tmr, t);
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

static int
eng_destroy(struct eng *e)
{
	tmr_finish(&e->tmr);
	return 0;
}

/*
 * Creates an engine without a view: it refuses everything as CONFIG_STALE
 * until the first VIEW. Released with talloc_free.
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
	tmr_init(&e->tmr);
	e->nhash = 256;
	e->hash = talloc_zero_array(e, struct eng_req *, e->nhash);
	if (e->hash == NULL)
		abort();
	talloc_set_destructor(e, eng_destroy);
	return e;
}

/*
 * Handles one event at now. Actions are appended to acts, whose array is
 * talloc'd on NULL and belongs to the caller. SENT is passed in before a byte
 * can leave; if the actions of that step abort the attempt, none may leave.
 * Returns STATUS_EXISTS for an ARRIVE with the id of a request that
 * has not ended; it gets no ANSWER of its own. Events of attempts or requests
 * that have ended are counted and otherwise ignored.
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
	/* What comes at a deadline still counts, SENT above all: the byte
	 * leaves after this step. Before a new view is taken over nothing
	 * may be dispatched, since indexes are those of the new one. */
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
		eng_probed(e, ev->u.probed.epoch, ev->u.probed.ok, t);
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

/* Returns when TICK is next needed; the far future when never. */
struct timespec
eng_deadline(const struct eng *e)
{
	const struct tmr *t = tmr_first(&e->tmr);

	return clk_from_ns(t != NULL ? t->at_ns : INT64_MAX);
}

/* Tells whether every request has been answered. */
bool
eng_idle(const struct eng *e)
{
	return e->nreq == 0;
}

/* Returns the counters; those of the reasons come first. */
const struct ctr_set *
eng_counters(const struct eng *e)
{
	return &e->ctr;
}
