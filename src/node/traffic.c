#include "node/traffic.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <tevent.h>

#include "base/clk.h"
#include "base/log.h"
#include "control/control.pb-c.h"
#include "control/view.h"
#include "node/api.h"
#include "node/back.h"
#include "node/front.h"
#include "node/nctr.h"
#include "node/tstats.h"
#include "request/eng.h"

#define STOP_WAIT_MS 1000

enum op_kind {
	OP_API,
	OP_CLAIM,
	OP_RECORD
};

/* A request for /svc. It lives until answered and free of pending work. */
struct treq {
	struct traffic *t;
	struct treq *next_dead;
	uint64_t id;
	struct front_req *http; /* NULL once answered */
	struct str class_name, key;
	uint64_t digest;
	uint64_t deadline_ms; /* wall clock */
	struct back_call *call;
	uint64_t attempt, epoch;
	unsigned ops; /* claims and records under way */
	bool dead;
	/* The answer of the worker, or the recorded one. */
	bool has_answer;
	int status;
	struct front_header *headers;
	size_t nheaders;
	struct str content_type, body;
};

/* An operation that the control thread has not answered yet. */
struct top {
	uint64_t id;
	enum op_kind kind;
	enum api_route route;
	struct treq *req;	/* OP_CLAIM, OP_RECORD */
	struct front_req *http; /* OP_API; NULL once the client is gone */
};

struct probe {
	struct traffic *t;
	uint64_t epoch;
};

struct traffic {
	struct traffic_conf conf;
	struct tevent_context *ev;
	struct clk clk;
	struct mbox mbox;
	struct tevent_fd *mbox_fde;
	struct tevent_timer *tick, *stats;
	struct timespec tick_at;
	struct front *front;
	struct back *back;
	struct eng *eng;
	struct eng_acts acts;
	struct view *view;
	struct ctr_set ctr;
	GHashTable *reqs; /* id -> struct treq */
	GHashTable *ops;  /* id -> struct top */
	uint64_t next_req, next_op;
	GArray *evq; /* events found while actions are carried out */
	struct treq *dead;
	bool stepping, draining, told_idle, stop;
	struct timespec stop_at;
};

/* The user pointer of calls: a request or a probe, told apart by kind. */
struct call_user {
	struct treq *req;
	uint64_t attempt;
	struct probe *probe;
};

static void traffic_step(struct traffic *, const struct eng_ev *);

static void
reply_text(
    struct traffic *t, struct front_req *http, int status, struct str body)
{
	struct front_header type = { str_from("Content-Type"),
		str_from("application/json") };
	struct front_reply r = {
		.status = status, .headers = &type, .nheaders = 1, .body = body
	};

	front_answer(http, &r);
}

static void
reply_error(struct traffic *t, struct front_req *http, enum status st,
    const char *message, int http_status)
{
	TALLOC_CTX *tmp = talloc_new(t);
	int code;
	struct str body = api_render_error(tmp, st, message, &code);

	reply_text(t, http, http_status != 0 ? http_status : code, body);
	talloc_free(tmp);
}

/* ---- operations for the leader ---- */

static struct top *
op_start(struct traffic *t, enum op_kind kind, const Control__Op *op)
{
	struct mbox_msg *m;
	struct top *o;

	m = mbox_msg_new(MBOX_OP, control__op__get_packed_size(op));
	control__op__pack(op, (uint8_t *)(uintptr_t)m->data.p);
	m->thread = t->conf.thread;
	m->id = ++t->next_op;
	o = talloc_zero(t, struct top);
	if (o == NULL)
		abort();
	o->id = m->id;
	o->kind = kind;
	if (mbox_post(&t->conf.shared->control, m) != STATUS_OK) {
		ctr_add(&t->ctr, NCTR_API_BUSY, 1);
		talloc_free(m);
		talloc_free(o);
		return NULL;
	}
	g_hash_table_insert(t->ops, &o->id, o);
	return o;
}

static void
event_later(struct traffic *t, const struct eng_ev *ev)
{
	g_array_append_val(t->evq, *ev);
}

static void
claim_send(struct traffic *t, struct treq *r)
{
	Control__Op op = CONTROL__OP__INIT;
	Control__KeyClaim claim = CONTROL__KEY_CLAIM__INIT;
	struct top *o;
	struct eng_ev ev = { .kind = ENG_EV_CLAIMED, .req = r->id };

	claim.key = str_cstr(r, r->key);
	claim.class_name = str_cstr(r, r->class_name);
	claim.digest = r->digest;
	claim.instance = t->conf.instance;
	claim.incarnation = t->conf.incarnation;
	claim.request = r->id;
	claim.has_deadline_ms = 1;
	claim.deadline_ms = r->deadline_ms;
	op.key_claim = &claim;
	o = op_start(t, OP_CLAIM, &op);
	if (o == NULL) {
		ev.u.claim = ENG_CLAIM_REFUSED;
		event_later(t, &ev);
		return;
	}
	o->req = r;
	r->ops++;
}

static void
record_send(struct traffic *t, struct treq *r, enum eng_outcome outcome)
{
	Control__Op op = CONTROL__OP__INIT;
	Control__KeyDone done = CONTROL__KEY_DONE__INIT;
	struct top *o;

	done.key = str_cstr(r, r->key);
	done.class_name = str_cstr(r, r->class_name);
	done.incarnation = t->conf.incarnation;
	done.request = r->id;
	done.end = outcome == ENG_ANSWERED ? CONTROL__KEY_END__KEY_ANSWERED
	    : outcome == ENG_NOT_RUN	   ? CONTROL__KEY_END__KEY_NOT_RUN
					   : CONTROL__KEY_END__KEY_UNKNOWN;
	if (outcome == ENG_ANSWERED && r->has_answer) {
		done.has_http_status = 1;
		done.http_status = (uint32_t)r->status;
		if (r->content_type.len > 0)
			done.content_type = str_cstr(r, r->content_type);
		if (r->body.len <= TRAFFIC_RECORD_MAX) {
			done.has_body = 1;
			done.body.data = (uint8_t *)(uintptr_t)r->body.p;
			done.body.len = r->body.len;
		}
	}
	op.key_done = &done;
	o = op_start(t, OP_RECORD, &op);
	if (o == NULL) {
		ctr_add(&t->ctr, NCTR_KEY_RECORD_LOST, 1);
		return;
	}
	o->req = r;
	r->ops++;
}

static enum eng_claim
claim_outcome(const Control__OpResult *res)
{
	switch ((enum status)res->status) {
	case STATUS_OK:
		break;
	case STATUS_TIMEOUT:
	case STATUS_UNKNOWN:
		return ENG_CLAIM_LOST;
	default:
		return ENG_CLAIM_REFUSED;
	}
	switch (res->key_state) {
	case CONTROL__KEY_STATE__KEY_STATE_CLAIMED:
		return ENG_CLAIM_GRANTED;
	case CONTROL__KEY_STATE__KEY_STATE_RUNNING:
		return ENG_CLAIM_RUNNING;
	case CONTROL__KEY_STATE__KEY_STATE_RECORDED:
		return ENG_CLAIM_RECORDED;
	case CONTROL__KEY_STATE__KEY_STATE_MISMATCH:
		return ENG_CLAIM_MISMATCH;
	default:
		return ENG_CLAIM_UNKNOWN;
	}
}

static void
claim_done(struct traffic *t, struct treq *r, const Control__OpResult *res)
{
	struct eng_ev ev = { .kind = ENG_EV_CLAIMED, .req = r->id };

	ev.u.claim = claim_outcome(res);
	if (ev.u.claim == ENG_CLAIM_RECORDED) {
		r->has_answer = true;
		r->status = (int)res->http_status;
		r->body = str_dup(r, str_mem(res->body.data, res->body.len));
		if (res->content_type != NULL)
			r->content_type =
			    str_dup(r, str_from(res->content_type));
	}
	traffic_step(t, &ev);
}

static void
req_release(struct treq *r)
{
	struct traffic *t = r->t;

	if (r->dead || r->http != NULL || r->call != NULL || r->ops > 0)
		return;
	r->dead = true;
	g_hash_table_remove(t->reqs, &r->id);
	r->next_dead = t->dead;
	t->dead = r;
}

static void
traffic_reap(struct traffic *t)
{
	struct treq *r;

	while ((r = t->dead) != NULL) {
		t->dead = r->next_dead;
		talloc_free(r);
	}
}

/* Looks at a request again after a step, which may have freed it. */
static void
req_settle(struct traffic *t, uint64_t id)
{
	struct treq *r = g_hash_table_lookup(t->reqs, &id);

	if (r != NULL)
		req_release(r);
	if (!t->stepping)
		traffic_reap(t);
}

static void
op_done(struct traffic *t, struct mbox_msg *m)
{
	struct top *o = g_hash_table_lookup(t->ops, &m->id);
	Control__OpResult *res;
	struct str body;
	int status;

	if (o == NULL)
		return;
	g_hash_table_remove(t->ops, &m->id);
	res = control__op_result__unpack(
	    NULL, m->data.len, (const uint8_t *)m->data.p);
	if (res == NULL)
		abort();
	switch (o->kind) {
	case OP_API:
		if (res->status == STATUS_TIMEOUT ||
		    res->status == STATUS_UNKNOWN)
			ctr_add(&t->ctr, NCTR_API_TIMEOUT, 1);
		if (o->http == NULL)
			break;
		body = api_render(o, o->route, res, &status);
		reply_text(t, o->http, status, body);
		break;
	case OP_CLAIM:
		/* Counted as under way until the step is over: the request
		 * may end in it. */
		claim_done(t, o->req, res);
		o->req->ops--;
		req_settle(t, o->req->id);
		break;
	case OP_RECORD:
		o->req->ops--;
		if (res->status != STATUS_OK)
			ctr_add(&t->ctr, NCTR_KEY_RECORD_LOST, 1);
		req_settle(t, o->req->id);
		break;
	}
	control__op_result__free_unpacked(res, NULL);
	talloc_free(o);
}

/* ---- actions of the engine ---- */

static const struct view_worker *
view_worker_at(struct traffic *t, size_t i, uint64_t epoch)
{
	if (t->view == NULL || i >= t->view->nworkers ||
	    t->view->workers[i].epoch != epoch)
		return NULL;
	return &t->view->workers[i];
}

static void
dispatch(struct traffic *t, struct treq *r, const struct eng_act *a)
{
	const struct view_worker *w =
	    view_worker_at(t, a->u.dispatch.worker, a->u.dispatch.epoch);
	struct eng_ev ev = {
		.kind = ENG_EV_FAILED, .req = r->id, .attempt = a->attempt
	};
	struct call_user *u;
	struct back_req b;

	if (w == NULL || r->http == NULL) {
		ev.u.failed.kind = ENG_FAIL_CONNECT;
		event_later(t, &ev);
		return;
	}
	u = talloc_zero(t, struct call_user);
	if (u == NULL)
		abort();
	u->req = r;
	u->attempt = a->attempt;
	memset(&b, 0, sizeof(b));
	b.addr = w->addr;
	b.connections = w->connections;
	b.method = r->http->method;
	b.target = r->http->target;
	b.body = r->http->body;
	b.headers = r->http->headers;
	b.nheaders = r->http->nheaders;
	b.epoch = w->epoch;
	b.request = r->id;
	b.timeout_ms = clk_diff_ms(a->u.dispatch.deadline, clk_now(&t->clk));
	if (b.timeout_ms < 1)
		b.timeout_ms = 1;
	b.user = u;
	r->attempt = a->attempt;
	r->call = back_start(t->back, &b);
	talloc_steal(r->call, u);
}

static void
probe_send(struct traffic *t, const struct eng_act *a)
{
	const struct view_worker *w =
	    view_worker_at(t, a->u.probe.worker, a->u.probe.epoch);
	struct eng_ev ev = { .kind = ENG_EV_PROBED };
	struct call_user *u;
	struct back_req b;

	if (w == NULL) {
		ev.u.probed.epoch = a->u.probe.epoch;
		event_later(t, &ev);
		return;
	}
	u = talloc_zero(t, struct call_user);
	if (u == NULL)
		abort();
	u->probe = talloc_zero(u, struct probe);
	u->probe->t = t;
	u->probe->epoch = w->epoch;
	memset(&b, 0, sizeof(b));
	b.addr = w->addr;
	b.connections = w->connections;
	b.method = str_from("GET");
	b.target = str_from("/ping");
	b.epoch = w->epoch;
	b.probe = true;
	b.user = u;
	talloc_steal(back_start(t->back, &b), u);
}

static int
refusal_status(enum eng_outcome outcome, enum eng_reason reason)
{
	if (outcome == ENG_UNKNOWN)
		return reason == ENG_R_TIMEOUT ||
			reason == ENG_R_CLAIM_UNKNOWN ||
			reason == ENG_R_KEY_RUNNING
		    ? 504
		    : 502;
	switch (reason) {
	case ENG_R_UNKNOWN_CLASS:
		return 404;
	case ENG_R_BAD_REQUEST:
		return 400;
	case ENG_R_KEY_MISMATCH:
		return 422;
	default:
		return 503;
	}
}

static void
header_add(
    struct front_header *h, size_t *n, const char *name, struct str value)
{
	h[*n].name = str_from(name);
	h[*n].value = value;
	(*n)++;
}

static const char *const outcome_names[] = { "answered", "not-run", "unknown" };

static void
answer_refusal(
    struct treq *r, const struct eng_act *a, struct front_header *h, size_t n)
{
	struct front_reply f;
	const char *reason = eng_reason_name(a->u.answer.reason);
	char text[256], after[32];
	long long s = (a->u.answer.retry_after_ms + 999) / 1000;

	memset(&f, 0, sizeof(f));
	snprintf(after, sizeof(after), "%lld", s < 1 ? 1 : s);
	header_add(h, &n, "Cicadabay-Reason", str_from(reason));
	header_add(h, &n, "Content-Type", str_from("application/json"));
	if (a->u.answer.outcome == ENG_NOT_RUN ||
	    a->u.answer.reason == ENG_R_KEY_RUNNING)
		header_add(h, &n, "Retry-After", str_from(after));
	snprintf(text, sizeof(text), "{\"outcome\":\"%s\",\"reason\":\"%s\"}\n",
	    outcome_names[a->u.answer.outcome], reason);
	f.status = refusal_status(a->u.answer.outcome, a->u.answer.reason);
	f.headers = h;
	f.nheaders = n;
	f.body = str_from(text);
	front_answer(r->http, &f);
}

static void
answer(struct traffic *t, struct treq *r, const struct eng_act *a)
{
	struct front_header *h;
	struct front_reply f;
	size_t n = 0, i;

	if (r->http == NULL)
		return;
	h = talloc_array(r, struct front_header, r->nheaders + 8);
	if (h == NULL)
		abort();
	header_add(h, &n, "Cicadabay-Outcome",
	    str_from(outcome_names[a->u.answer.outcome]));
	if (a->u.answer.outcome == ENG_ANSWERED && r->has_answer) {
		memset(&f, 0, sizeof(f));
		for (i = 0; i < r->nheaders; i++)
			h[n++] = r->headers[i];
		if (r->nheaders == 0 && r->content_type.len > 0)
			header_add(h, &n, "Content-Type", r->content_type);
		f.status = r->status;
		f.headers = h;
		f.nheaders = n;
		f.body = r->body;
		front_answer(r->http, &f);
	} else {
		answer_refusal(r, a, h, n);
	}
	r->http = NULL;
}

static void
act_abort(struct treq *r, uint64_t attempt)
{
	if (r->call == NULL || r->attempt != attempt)
		return;
	back_abort(r->call);
	r->call = NULL;
}

static void
act_do(struct traffic *t, const struct eng_act *a)
{
	struct treq *r;

	if (a->kind == ENG_ACT_PROBE) {
		probe_send(t, a);
		return;
	}
	r = g_hash_table_lookup(t->reqs, &a->req);
	if (r == NULL) {
		log_event(LOG_WARNING, "traffic",
		    "event=action_without_request kind=%d", (int)a->kind);
		return;
	}
	switch (a->kind) {
	case ENG_ACT_CLAIM:
		claim_send(t, r);
		break;
	case ENG_ACT_DISPATCH:
		dispatch(t, r, a);
		break;
	case ENG_ACT_ABORT:
		act_abort(r, a->attempt);
		break;
	case ENG_ACT_ANSWER:
		answer(t, r, a);
		break;
	case ENG_ACT_RECORD:
		record_send(t, r, a->u.record.outcome);
		break;
	case ENG_ACT_PROBE:
		break;
	}
}

static void
on_tick(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
    void *arg)
{
	struct traffic *t = arg;
	struct eng_ev tick = { .kind = ENG_EV_TICK };

	t->tick = NULL;
	traffic_step(t, &tick);
}

/* Keeps one timer, armed again only when the engine needs it earlier. */
static void
tick_arm(struct traffic *t)
{
	struct timespec at = eng_deadline(t->eng);
	int64_t ns;

	if (t->tick != NULL && !clk_before(at, t->tick_at))
		return;
	TALLOC_FREE(t->tick);
	ns = clk_diff_ns(at, clk_now(&t->clk));
	if (ns < 0)
		ns = 0;
	if (ns > CLK_NS_PER_S)
		ns = CLK_NS_PER_S;
	t->tick_at = at;
	t->tick = tevent_add_timer(t->ev, t,
	    tevent_timeval_current_ofs((uint32_t)(ns / CLK_NS_PER_S),
		(uint32_t)(ns % CLK_NS_PER_S / 1000) + 1),
	    on_tick, t);
}

/* Gives the engine an event and carries out what it decides. */
static void
traffic_step(struct traffic *t, const struct eng_ev *first)
{
	struct eng_ev ev = *first;
	struct treq *r;
	size_t i, next = 0;

	if (t->stepping) {
		event_later(t, first);
		return;
	}
	t->stepping = true;
	for (;;) {
		t->acts.n = 0;
		eng_step(t->eng, clk_now(&t->clk), &ev, &t->acts);
		for (i = 0; i < t->acts.n; i++)
			act_do(t, &t->acts.v[i]);
		for (i = 0; i < t->acts.n; i++) {
			r = t->acts.v[i].kind == ENG_ACT_PROBE
			    ? NULL
			    : g_hash_table_lookup(t->reqs, &t->acts.v[i].req);
			if (r != NULL)
				req_release(r);
		}
		if (next == t->evq->len)
			break;
		ev = g_array_index(t->evq, struct eng_ev, next);
		next++;
	}
	g_array_set_size(t->evq, 0);
	t->stepping = false;
	traffic_reap(t);
	tick_arm(t);
}

/* ---- calls to workers ---- */

static void
on_sent(void *arg, void *user)
{
	struct call_user *u = user;
	struct eng_ev ev = { .kind = ENG_EV_SENT };

	if (u->req == NULL)
		return;
	ev.req = u->req->id;
	ev.attempt = u->attempt;
	traffic_step(arg, &ev);
}

static void
answer_keep(struct treq *r, const struct back_answer *a)
{
	size_t i;

	r->has_answer = true;
	r->status = a->status;
	r->body = str_dup(r, a->body);
	r->headers = talloc_array(r, struct front_header, a->nheaders + 1);
	if (r->headers == NULL)
		abort();
	for (i = 0; i < a->nheaders; i++) {
		r->headers[i].name = str_dup(r, a->headers[i].name);
		r->headers[i].value = str_dup(r, a->headers[i].value);
	}
	r->nheaders = a->nheaders;
	r->content_type = str_dup(r, a->content_type);
}

static void
probe_done(struct traffic *t, const struct probe *p, bool ok)
{
	struct eng_ev ev = { .kind = ENG_EV_PROBED };

	ev.u.probed.epoch = p->epoch;
	ev.u.probed.ok = ok;
	traffic_step(t, &ev);
}

static void
on_done(void *arg, void *user, const struct back_answer *a)
{
	struct call_user *u = user;
	struct traffic *t = arg;
	struct eng_ev ev = { .kind = ENG_EV_DONE };

	if (u->req == NULL) {
		probe_done(t, u->probe, a->status == 200);
		return;
	}
	u->req->call = NULL;
	answer_keep(u->req, a);
	ev.req = u->req->id;
	ev.attempt = u->attempt;
	ev.u.done.http_status = a->status;
	traffic_step(t, &ev);
	req_settle(t, ev.req);
}

static void
on_failed(void *arg, void *user, enum back_fail kind, bool sent)
{
	static const enum eng_fail kinds[] = { [BACK_CONNECT] =
						   ENG_FAIL_CONNECT,
		[BACK_NOT_STARTED] = ENG_FAIL_NOT_STARTED,
		[BACK_RESET] = ENG_FAIL_RESET,
		[BACK_TRUNCATED] = ENG_FAIL_TRUNCATED };
	struct call_user *u = user;
	struct traffic *t = arg;
	struct eng_ev ev = { .kind = ENG_EV_FAILED };

	if (u->req == NULL) {
		probe_done(t, u->probe, false);
		return;
	}
	u->req->call = NULL;
	ev.req = u->req->id;
	ev.attempt = u->attempt;
	ev.u.failed.kind = kinds[kind];
	ev.u.failed.sent = sent;
	traffic_step(t, &ev);
	req_settle(t, ev.req);
}

/* ---- requests from clients ---- */

static bool
method_idempotent(struct str m)
{
	static const char *const names[] = { "GET", "HEAD", "PUT", "DELETE",
		"OPTIONS" };
	size_t i;

	for (i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		if (str_eq_c(m, names[i]))
			return true;
	}
	return false;
}

/* Ids are unique among instances and restarts, so that ledgers agree. */
static uint64_t
next_request(struct traffic *t)
{
	t->next_req = (t->next_req + 1) & 0xffffffffu;
	return (uint64_t)(t->conf.instance & 0xfff) << 51 |
	    (uint64_t)(t->conf.thread & 0x1f) << 46 |
	    (t->conf.incarnation & 0x3fff) << 32 | t->next_req;
}

static int64_t
class_timeout(struct traffic *t, struct str name)
{
	size_t i;

	for (i = 0; t->view != NULL && i < t->view->nclasses; i++) {
		if (str_eq(t->view->classes[i].name, name))
			return t->view->classes[i].timeout_ms;
	}
	return TRAFFIC_TIMEOUT_MS;
}

/* Reads the key and the timeout; false if the request was refused. */
static bool
request_headers(struct traffic *t, struct front_req *http, struct str *key,
    int64_t *timeout_ms)
{
	struct front_header h[3];
	struct front_reply r;
	struct str text;
	size_t nkey, ntimeout, n = 0, i;
	bool ok;

	*timeout_ms = 0;
	*key = front_header_get(http, "Idempotency-Key", &nkey);
	text = front_header_get(http, "Request-Timeout-Ms", &ntimeout);
	ok = nkey <= 1 && ntimeout <= 1 && key->len <= ENG_KEY_MAX &&
	    !(nkey == 1 && key->len == 0);
	for (i = 0; i < key->len; i++)
		ok &= key->p[i] > ' ' && key->p[i] <= '~';
	if (ntimeout == 1)
		ok &= str_to_i64(text, timeout_ms) && *timeout_ms > 0;
	if (ok)
		return true;
	ctr_add(&t->ctr, NCTR_HTTP_BAD_HEADER, 1);
	memset(&r, 0, sizeof(r));
	header_add(h, &n, "Cicadabay-Outcome", str_from("not-run"));
	header_add(h, &n, "Cicadabay-Reason",
	    str_from(eng_reason_name(ENG_R_BAD_REQUEST)));
	header_add(h, &n, "Content-Type", str_from("application/json"));
	r.status = 400;
	r.headers = h;
	r.nheaders = n;
	r.body = str_from("{\"outcome\":\"not-run\",\"message\":"
			  "\"Idempotency-Key: 1 to 128 printable bytes; "
			  "Request-Timeout-Ms: a number above 0\"}\n");
	front_answer(http, &r);
	return false;
}

static uint64_t
request_digest(const struct front_req *http)
{
	uint64_t d = str_hash(http->method);

	d = d * 0x9e3779b97f4a7c15ULL ^ str_hash(http->target);
	return d * 0x9e3779b97f4a7c15ULL ^ str_hash(http->body);
}

static void
service_request(
    struct traffic *t, struct front_req *http, struct str class_name)
{
	struct eng_ev ev = { .kind = ENG_EV_ARRIVE };
	struct treq *r;
	struct str key;
	int64_t timeout_ms, limit;

	if (!request_headers(t, http, &key, &timeout_ms))
		return;
	r = talloc_zero(t, struct treq);
	if (r == NULL)
		abort();
	r->t = t;
	r->id = next_request(t);
	r->http = http;
	r->class_name = str_dup(r, class_name);
	r->key = str_dup(r, key);
	http->user = r;
	if (key.len > 0) {
		limit = class_timeout(t, class_name);
		if (timeout_ms == 0 || timeout_ms > limit)
			limit = limit > 0 ? limit : TRAFFIC_TIMEOUT_MS;
		else
			limit = timeout_ms;
		r->digest = request_digest(http);
		r->deadline_ms =
		    (uint64_t)(clk_ns(clk_wall(&t->clk)) / CLK_NS_PER_MS) +
		    (uint64_t)limit;
	}
	g_hash_table_insert(t->reqs, &r->id, r);
	ev.req = r->id;
	ev.u.arrive.class_name = r->class_name;
	ev.u.arrive.key = r->key;
	ev.u.arrive.idempotent = method_idempotent(http->method);
	ev.u.arrive.timeout_ms = timeout_ms;
	traffic_step(t, &ev);
}

static void
reply_ready(struct traffic *t, struct front_req *http)
{
	if (__atomic_load_n(&t->conf.shared->draining, __ATOMIC_RELAXED))
		reply_error(t, http, STATUS_UNAVAILABLE, "draining", 0);
	else if (!__atomic_load_n(&t->conf.shared->ready, __ATOMIC_RELAXED))
		reply_error(t, http, STATUS_UNAVAILABLE,
		    "no recent contact with the leader", 0);
	else
		reply_text(t, http, 200, str_from("{\"status\":\"OK\"}\n"));
}

static void
drain_request(struct traffic *t, struct front_req *http)
{
	struct mbox_msg *m = mbox_msg_new(MBOX_DRAIN, 0);

	mbox_post(&t->conf.shared->control, m);
	reply_text(t, http, 202, str_from("{\"status\":\"OK\"}\n"));
}

static void
api_request(struct traffic *t, struct front_req *http, const struct api_req *q)
{
	struct top *o;

	switch (q->kind) {
	case API_HEALTH:
		reply_text(t, http, 200, str_from("{\"status\":\"OK\"}\n"));
		return;
	case API_READY:
		reply_ready(t, http);
		return;
	case API_COUNTERS:
		reply_text(t, http, 200,
		    tstats_counters_json(http, &t->conf.shared->counters));
		return;
	case API_DRAIN:
		drain_request(t, http);
		return;
	case API_OP:
	case API_SERVICE:
		break;
	}
	o = op_start(t, OP_API, q->op);
	if (o == NULL) {
		reply_error(
		    t, http, STATUS_FULL, "too many operations are waiting", 0);
		return;
	}
	o->route = q->route;
	o->http = http;
	http->user = o;
}

static void
on_request(void *arg, struct front_req *http)
{
	struct traffic *t = arg;
	struct api_req q;
	struct err e;
	enum status st;

	err_clear(&e);
	st = api_parse(
	    http, http->method, http->path, http->query, http->body, &q, &e);
	if (st != STATUS_OK) {
		ctr_add(&t->ctr,
		    q.http_status == 404	? NCTR_API_NO_ROUTE
			: q.http_status == 405	? NCTR_API_BAD_METHOD
			: st == STATUS_PROTOCOL ? NCTR_API_BAD_JSON
						: NCTR_API_BAD_FIELD,
		    1);
		reply_error(t, http, st, e.msg, q.http_status);
		return;
	}
	if (q.kind == API_SERVICE)
		service_request(t, http, q.class_name);
	else
		api_request(t, http, &q);
}

static void
op_forget_client(gpointer key, gpointer value, gpointer http)
{
	struct top *o = value;

	if (o->kind == OP_API && o->http == http)
		o->http = NULL;
}

/* The client is gone: its operation goes on, its reply goes nowhere. */
static void
on_gone(void *arg, struct front_req *http)
{
	struct traffic *t = arg;
	struct eng_ev ev = { .kind = ENG_EV_CANCEL };
	struct front_reply none = { .status = 500 };
	struct str name;

	name = str_mem(http->path.p, http->path.len);
	if (str_starts(name, "/svc/")) {
		ev.req = ((struct treq *)http->user)->id;
		traffic_step(t, &ev);
		return;
	}
	g_hash_table_foreach(t->ops, op_forget_client, http);
	front_answer(http, &none);
}

/* ---- the loop ---- */

static void
on_stats(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
    void *arg)
{
	struct traffic *t = arg;
	struct mbox_msg *m;

	t->stats = tevent_add_timer(ev, t,
	    tevent_timeval_current_ofs(0, TRAFFIC_STATS_MS * 1000), on_stats,
	    t);
	m = tstats_message(t->eng, t->conf.thread);
	if (mbox_post(&t->conf.shared->control, m) != STATUS_OK)
		talloc_free(m);
	if (!t->draining || t->told_idle || !eng_idle(t->eng) ||
	    g_hash_table_size(t->ops) > 0 || back_busy(t->back) > 0 ||
	    front_busy(t->front) > 0)
		return;
	t->told_idle = true;
	m = mbox_msg_new(MBOX_IDLE, 0);
	m->thread = t->conf.thread;
	mbox_post(&t->conf.shared->control, m);
}

static void
view_set(struct traffic *t, struct view *v)
{
	struct eng_ev ev = { .kind = ENG_EV_VIEW };
	struct view *old = t->view;

	t->view = talloc_steal(t, v);
	ev.u.view = v;
	traffic_step(t, &ev);
	talloc_free(old);
}

static void
on_mbox(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct eng_ev drain = { .kind = ENG_EV_DRAIN };
	struct traffic *t = arg;
	struct mbox_msg *m, *next;

	for (m = mbox_take(&t->mbox); m != NULL; m = next) {
		next = m->next;
		switch (m->kind) {
		case MBOX_RESULT:
			op_done(t, m);
			break;
		case MBOX_VIEW:
			view_set(t, m->view);
			break;
		case MBOX_DRAIN:
			t->draining = true;
			front_drain(t->front);
			traffic_step(t, &drain);
			break;
		case MBOX_STOP:
			t->stop = true;
			t->stop_at = clk_add_ms(clk_now(&t->clk), STOP_WAIT_MS);
			break;
		default:
			break;
		}
		talloc_free(m);
	}
}

/* The body of the thread: returns after MBOX_STOP, once nothing is left. */
void *
traffic_run(void *arg)
{
	struct traffic *t = arg;

	while (!t->stop || front_busy(t->front) > 0) {
		if (t->stop && clk_before(t->stop_at, clk_now(&t->clk)))
			break;
		if (tevent_loop_once(t->ev) != 0)
			break;
	}
	return NULL;
}

/* Mailbox into the thread. */
struct mbox *
traffic_mbox(struct traffic *t)
{
	return &t->mbox;
}

/* Registers the counter sets of the thread. */
void
traffic_counters(struct traffic *t, struct node_counters *c)
{
	node_counters_add(c, "node", &t->ctr);
	node_counters_add(c, "request", eng_counters(t->eng));
}

static int
traffic_destroy(struct traffic *t)
{
	TALLOC_FREE(t->front);
	TALLOC_FREE(t->back);
	g_hash_table_destroy(t->reqs);
	g_hash_table_destroy(t->ops);
	g_array_free(t->evq, TRUE);
	talloc_free(t->acts.v);
	TALLOC_FREE(t->mbox_fde);
	mbox_finish(&t->mbox);
	return 0;
}

static struct eng *
traffic_eng(struct traffic *t)
{
	struct eng_conf c;

	memset(&c, 0, sizeof(c));
	c.seed = t->conf.seed;
	c.retry_percent = 10;
	c.retry_min_per_s = 3;
	c.eject_percent = 20;
	c.clock_ppm = 10000;
	c.max_requests = TRAFFIC_REQUESTS;
	return eng_new(t, &c, clk_now(&t->clk));
}

/*
 * Prepares a traffic thread; all of it is created in the caller's thread, and
 * is used only by traffic_run afterwards.
 */
struct traffic *
traffic_new(TALLOC_CTX *ctx, const struct traffic_conf *conf, struct err *e)
{
	struct traffic *t = talloc_zero(ctx, struct traffic);
	struct back_conf bc;
	struct front_conf fc;

	if (t == NULL)
		abort();
	t->conf = *conf;
	t->clk = clk_system();
	if (mbox_init(&t->mbox, 65536, e) != STATUS_OK) {
		talloc_free(t);
		return NULL;
	}
	ctr_init(&t->ctr, t, nctr_desc, NCTR_COUNT);
	t->reqs = g_hash_table_new(g_int64_hash, g_int64_equal);
	t->ops = g_hash_table_new(g_int64_hash, g_int64_equal);
	t->evq = g_array_new(FALSE, FALSE, sizeof(struct eng_ev));
	talloc_set_destructor(t, traffic_destroy);
	t->ev = tevent_context_init(t);
	if (t->ev == NULL)
		abort();
	t->eng = traffic_eng(t);
	bc.ctr = &t->ctr;
	bc.sent = on_sent;
	bc.done = on_done;
	bc.failed = on_failed;
	bc.arg = t;
	t->back = back_new(t, t->ev, &bc);
	memset(&fc, 0, sizeof(fc));
	fc.listen_fd = conf->listen_fd;
	fc.body_max = conf->body_max;
	fc.connections_max = conf->connections_max;
	fc.ctr = &t->ctr;
	fc.request = on_request;
	fc.gone = on_gone;
	fc.arg = t;
	t->front = front_new(t, t->ev, &fc, e);
	if (t->front == NULL) {
		talloc_free(t);
		return NULL;
	}
	t->mbox_fde =
	    tevent_add_fd(t->ev, t, t->mbox.fd, TEVENT_FD_READ, on_mbox, t);
	t->stats =
	    tevent_add_timer(t->ev, t, tevent_timeval_zero(), on_stats, t);
	tick_arm(t);
	return t;
}
