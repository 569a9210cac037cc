#include "node/traffic_impl.h"

#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "node/nctr.h"
#include "node/tstats.h"

/*
 * Returns the worker at an index of the view, NULL if it has another epoch or
 * is no longer there.
 */
static const struct view_worker *
find_view_worker(struct traffic *t, size_t i, uint64_t epoch)
{
	if (t->view == NULL || i >= t->view->nworkers ||
	    t->view->workers[i].epoch != epoch)
		return NULL;
	return &t->view->workers[i];
}

/*
 * Sends an attempt of a request to a worker. Reported as a failed connection if
 * the worker or the client is gone.
 */
static void
send_attempt(struct traffic *t, struct svc_req *r, const struct eng_act *a)
{
	const struct view_worker *w =
	    find_view_worker(t, a->u.dispatch.worker, a->u.dispatch.epoch);
	struct eng_ev ev = {
		.kind = ENG_EV_FAILED, .req = r->id, .attempt = a->attempt
	};
	struct call_ctx *u;
	struct back_req b;

	if (w == NULL || r->http == NULL) {
		ev.u.failed.kind = ENG_FAIL_CONNECT;
		traffic_queue_event(t, &ev);
		return;
	}
	u = talloc_zero(t, struct call_ctx);
	if (u == NULL)
		abort();
	u->req = r;
	u->attempt = a->attempt;
	memset(&b, 0, sizeof(b));
	b.addr = w->addr;
	b.max_connections = w->connections;
	b.method = r->http->method;
	b.target = r->http->target;
	b.body = r->http->body;
	b.headers = r->http->headers;
	b.nheaders = r->http->nheaders;
	b.epoch = w->epoch;
	b.request_id = r->id;
	b.timeout_ms = clk_diff_ms(a->u.dispatch.deadline, clk_now(&t->clk));
	if (b.timeout_ms < 1)
		b.timeout_ms = 1;
	b.send_by = a->u.dispatch.send_by;
	b.user = u;
	r->attempt = a->attempt;
	r->call = back_start(t->back, &b);
	talloc_steal(r->call, u);
}

/* Sends a probe to a worker; it fails at once if the worker is gone. */
static void
send_probe(struct traffic *t, const struct eng_act *a)
{
	const struct view_worker *w =
	    find_view_worker(t, a->u.probe.worker, a->u.probe.epoch);
	struct eng_ev ev = { .kind = ENG_EV_PROBED };
	struct call_ctx *u;
	struct back_req b;

	if (w == NULL) {
		ev.u.probed.epoch = a->u.probe.epoch;
		traffic_queue_event(t, &ev);
		return;
	}
	u = talloc_zero(t, struct call_ctx);
	if (u == NULL)
		abort();
	u->probe = talloc_zero(u, struct probe);
	u->probe->t = t;
	u->probe->epoch = w->epoch;
	memset(&b, 0, sizeof(b));
	b.addr = w->addr;
	b.max_connections = w->connections;
	b.method = str_from("GET");
	b.target = str_from("/ping");
	b.epoch = w->epoch;
	b.is_probe = true;
	b.user = u;
	talloc_steal(back_start(t->back, &b), u);
}

/* Returns the HTTP status of a request that no worker has answered. */
static int
get_refusal_status(enum eng_outcome outcome, enum eng_reason reason)
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

/* Appends a header field; name and value must outlive the list. */
void
traffic_add_header(
    struct front_header *h, size_t *n, const char *name, struct str value)
{
	h[*n].name = str_from(name);
	h[*n].value = value;
	(*n)++;
}

static const char *const outcome_names[] = { "answered", "not-run", "unknown" };

/*
 * Answers a request with the reason why there is no answer of a worker. h has n
 * fields already.
 */
static void
answer_without_worker(struct svc_req *r, const struct eng_act *a,
    struct front_header *h, size_t n)
{
	struct front_reply f;
	const char *reason = eng_reason_name(a->u.answer.reason);
	char text[256], after[32];
	long long s = (a->u.answer.retry_after_ms + 999) / 1000;

	memset(&f, 0, sizeof(f));
	snprintf(after, sizeof(after), "%lld", s < 1 ? 1 : s);
	traffic_add_header(h, &n, "Cicadabay-Reason", str_from(reason));
	traffic_add_header(h, &n, "Content-Type", str_from("application/json"));
	if (a->u.answer.outcome == ENG_NOT_RUN ||
	    a->u.answer.reason == ENG_R_KEY_RUNNING)
		traffic_add_header(h, &n, "Retry-After", str_from(after));
	snprintf(text, sizeof(text), "{\"outcome\":\"%s\",\"reason\":\"%s\"}\n",
	    outcome_names[a->u.answer.outcome], reason);
	f.status = get_refusal_status(a->u.answer.outcome, a->u.answer.reason);
	f.headers = h;
	f.nheaders = n;
	f.body = str_from(text);
	front_answer(r->http, &f);
}

/*
 * Answers the client, if it is still there, with the answer of a worker or a
 * reason.
 */
static void
answer_client(struct traffic *t, struct svc_req *r, const struct eng_act *a)
{
	struct front_header *h;
	struct front_reply f;
	size_t n = 0, i;

	if (r->http == NULL)
		return;
	h = talloc_array(r, struct front_header, r->nheaders + 8);
	if (h == NULL)
		abort();
	traffic_add_header(h, &n, "Cicadabay-Outcome",
	    str_from(outcome_names[a->u.answer.outcome]));
	if (a->u.answer.outcome == ENG_ANSWERED && r->has_answer) {
		memset(&f, 0, sizeof(f));
		for (i = 0; i < r->nheaders; i++)
			h[n++] = r->headers[i];
		if (r->nheaders == 0 && r->content_type.len > 0)
			traffic_add_header(
			    h, &n, "Content-Type", r->content_type);
		f.status = r->status;
		f.headers = h;
		f.nheaders = n;
		f.body = r->body;
		front_answer(r->http, &f);
	} else {
		answer_without_worker(r, a, h, n);
	}
	r->http = NULL;
}

/* Aborts an attempt if it is the one under way. */
static void
abort_attempt(struct svc_req *r, uint64_t attempt)
{
	if (r->call == NULL || r->attempt != attempt)
		return;
	back_abort(r->call);
	r->call = NULL;
}

/* Carries out one action that the engine has asked for. */
static void
run_action(struct traffic *t, const struct eng_act *a)
{
	struct svc_req *r;

	if (a->kind == ENG_ACT_PROBE) {
		send_probe(t, a);
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
		traffic_send_claim(t, r);
		break;
	case ENG_ACT_DISPATCH:
		send_attempt(t, r, a);
		break;
	case ENG_ACT_ABORT:
		abort_attempt(r, a->attempt);
		break;
	case ENG_ACT_ANSWER:
		answer_client(t, r, a);
		break;
	case ENG_ACT_RECORD:
		traffic_send_record(t, r, a->u.record.outcome);
		break;
	case ENG_ACT_PROBE:
		break;
	}
}

/* Tells the engine that its deadline has passed. */
void
traffic_on_tick(void *arg)
{
	struct traffic *t = arg;
	struct eng_ev tick = { .kind = ENG_EV_TICK };

	traffic_step(t, &tick);
}

/*
 * Arms the engine's timer, which is only set anew if the engine needs it
 * earlier.
 */
void
traffic_arm_tick(struct traffic *t)
{
	struct timespec at = eng_next_tick(t->eng);
	int64_t ns;

	if (mtimer_is_set(&t->tick_timer) && !clk_before(at, t->tick_at))
		return;
	ns = clk_diff_ns(at, clk_now(&t->clk));
	if (ns < 0)
		ns = 0;
	if (ns > CLK_NS_PER_S)
		ns = CLK_NS_PER_S;
	t->tick_at = at;
	mtimer_set(&t->tick_timer, ns);
}

/*
 * Passes an event to the engine and carries out the resulting actions, then the
 * same for events that these have queued. Called from within a step, it only
 * queues the event.
 */
void
traffic_step(struct traffic *t, const struct eng_ev *first)
{
	struct eng_ev ev = *first;
	struct svc_req *r;
	size_t i, next = 0;

	if (t->stepping) {
		traffic_queue_event(t, first);
		return;
	}
	t->stepping = true;
	for (;;) {
		t->acts.n = 0;
		eng_step(t->eng, clk_now(&t->clk), &ev, &t->acts);
		for (i = 0; i < t->acts.n; i++)
			run_action(t, &t->acts.v[i]);
		for (i = 0; i < t->acts.n; i++) {
			r = t->acts.v[i].kind == ENG_ACT_PROBE
			    ? NULL
			    : g_hash_table_lookup(t->reqs, &t->acts.v[i].req);
			if (r != NULL)
				traffic_req_release(r);
		}
		if (next == t->event_queue->len)
			break;
		ev = g_array_index(t->event_queue, struct eng_ev, next);
		next++;
	}
	g_array_set_size(t->event_queue, 0);
	t->stepping = false;
	traffic_free_ended(t);
	traffic_arm_tick(t);
}

/* Tells the engine that a byte of an attempt may have been sent. */
void
traffic_on_sent(void *arg, void *user)
{
	struct call_ctx *u = user;
	struct eng_ev ev = { .kind = ENG_EV_SENT };

	if (u->req == NULL)
		return;
	ev.req = u->req->id;
	ev.attempt = u->attempt;
	traffic_step(arg, &ev);
}

/* Copies the answer of a worker into its request. */
static void
store_answer(struct svc_req *r, const struct back_answer *a)
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

/* Tells the engine how a probe ended. */
static void
end_probe(struct traffic *t, const struct probe *p, bool ok)
{
	struct eng_ev ev = { .kind = ENG_EV_PROBED };

	ev.u.probed.epoch = p->epoch;
	ev.u.probed.ok = ok;
	traffic_step(t, &ev);
}

/* Handles the whole answer of a worker to a request or a probe. */
void
traffic_on_done(void *arg, void *user, const struct back_answer *a)
{
	struct call_ctx *u = user;
	struct traffic *t = arg;
	struct eng_ev ev = { .kind = ENG_EV_DONE };

	if (u->req == NULL) {
		end_probe(t, u->probe, a->status == 200);
		return;
	}
	u->req->call = NULL;
	store_answer(u->req, a);
	ev.req = u->req->id;
	ev.attempt = u->attempt;
	ev.u.done.http_status = a->status;
	traffic_step(t, &ev);
	traffic_req_try_release(t, ev.req);
}

/*
 * Handles the failure of an attempt or a probe. sent: a byte may have been
 * sent.
 */
void
traffic_on_failed(void *arg, void *user, enum back_fail kind, bool sent)
{
	static const enum eng_fail kinds[] = { [BACK_CONNECT_FAILED] =
						   ENG_FAIL_CONNECT,
		[BACK_NOT_STARTED] = ENG_FAIL_NOT_STARTED,
		[BACK_RESET] = ENG_FAIL_RESET,
		[BACK_TRUNCATED] = ENG_FAIL_TRUNCATED };
	struct call_ctx *u = user;
	struct traffic *t = arg;
	struct eng_ev ev = { .kind = ENG_EV_FAILED };

	if (u->req == NULL) {
		end_probe(t, u->probe, false);
		return;
	}
	u->req->call = NULL;
	ev.req = u->req->id;
	ev.attempt = u->attempt;
	ev.u.failed.kind = kinds[kind];
	ev.u.failed.sent = sent;
	traffic_step(t, &ev);
	traffic_req_try_release(t, ev.req);
}
