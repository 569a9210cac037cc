#include "node/traffic_impl.h"

#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "node/nctr.h"
#include "node/node.h"
#include "node/tstats.h"

/* For answers that are still being written at MBOX_STOP. */
#define STOP_TIMEOUT_MS 1000

/* Answers a client with a JSON body. */
void
traffic_reply_json(
    struct traffic *t, struct front_req *http, int status, struct str body)
{
	struct front_header type = { str_from("Content-Type"),
		str_from("application/json") };
	struct front_reply r = {
		.status = status, .headers = &type, .nheaders = 1, .body = body
	};

	front_answer(http, &r);
}

/*
 * Answers a client with a status and a message as JSON. http_status 0 selects
 * the one that belongs to st.
 */
static void
reply_error(struct traffic *t, struct front_req *http, enum status st,
    const char *message, int http_status)
{
	TALLOC_CTX *tmp = talloc_new(t);
	int code;
	struct str body = api_render_error(tmp, st, message, &code);

	traffic_reply_json(
	    t, http, http_status != 0 ? http_status : code, body);
	talloc_free(tmp);
}

/* Returns whether a request with this method can be repeated safely. */
static bool
is_method_idempotent(struct str m)
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

/*
 * Returns a request id that is unique among instances, threads and restarts, so
 * that the records which different processes keep of a request can be matched.
 */
static uint64_t
next_request_id(struct traffic *t)
{
	t->next_req = (t->next_req + 1) & 0xffffffffu;
	return (uint64_t)(t->conf.instance & 0xfff) << 51 |
	    (uint64_t)(t->conf.thread & 0x1f) << 46 |
	    (t->conf.incarnation & 0x3fff) << 32 | t->next_req;
}

/*
 * Returns the timeout of a class, TRAFFIC_DEFAULT_TIMEOUT_MS if the view has no
 * such class.
 */
static int64_t
get_class_timeout_ms(struct traffic *t, struct str name)
{
	size_t i;

	for (i = 0; t->view != NULL && i < t->view->nclasses; i++) {
		if (str_eq(t->view->classes[i].name, name))
			return t->view->classes[i].timeout_ms;
	}
	return TRAFFIC_DEFAULT_TIMEOUT_MS;
}

/*
 * Reads Idempotency-Key and Request-Timeout-Ms; the timeout is 0 if there is
 * none. Answers with 400 and returns false if one is invalid.
 */
static bool
read_request_headers(struct traffic *t, struct front_req *http, struct str *key,
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
	traffic_add_header(h, &n, "Cicadabay-Outcome", str_from("not-run"));
	traffic_add_header(h, &n, "Cicadabay-Reason",
	    str_from(eng_reason_name(ENG_R_BAD_REQUEST)));
	traffic_add_header(h, &n, "Content-Type", str_from("application/json"));
	r.status = 400;
	r.headers = h;
	r.nheaders = n;
	r.body = str_from("{\"outcome\":\"not-run\",\"message\":"
			  "\"Idempotency-Key: 1 to 128 printable bytes; "
			  "Request-Timeout-Ms: a number above 0\"}\n");
	front_answer(http, &r);
	return false;
}

/*
 * Returns a hash of the method, target and body, which tells a repeated request
 * from another one that uses the same key.
 */
static uint64_t
compute_request_digest(const struct front_req *http)
{
	uint64_t d = str_hash(http->method);

	d = d * 0x9e3779b97f4a7c15ULL ^ str_hash(http->target);
	return d * 0x9e3779b97f4a7c15ULL ^ str_hash(http->body);
}

/* Hands a request for /svc to the request engine. */
static void
start_service_request(
    struct traffic *t, struct front_req *http, struct str class_name)
{
	struct eng_ev ev = { .kind = ENG_EV_ARRIVE };
	struct svc_req *r;
	struct str key;
	int64_t timeout_ms, limit;

	if (!read_request_headers(t, http, &key, &timeout_ms))
		return;
	r = talloc_zero(t, struct svc_req);
	if (r == NULL)
		abort();
	r->t = t;
	r->id = next_request_id(t);
	r->http = http;
	r->class_name = str_dup(r, class_name);
	r->key = str_dup(r, key);
	http->user = r;
	if (key.len > 0) {
		limit = get_class_timeout_ms(t, class_name);
		if (timeout_ms == 0 || timeout_ms > limit)
			limit = limit > 0 ? limit : TRAFFIC_DEFAULT_TIMEOUT_MS;
		else
			limit = timeout_ms;
		r->digest = compute_request_digest(http);
		r->deadline_ms =
		    (uint64_t)(clk_ns(clk_wall(&t->clk)) / CLK_NS_PER_MS) +
		    (uint64_t)limit;
	}
	g_hash_table_insert(t->reqs, &r->id, r);
	ev.req = r->id;
	ev.u.arrive.class_name = r->class_name;
	ev.u.arrive.key = r->key;
	ev.u.arrive.idempotent = is_method_idempotent(http->method);
	ev.u.arrive.timeout_ms = timeout_ms;
	traffic_step(t, &ev);
}

/* Answers /readyz: 503 while the instance takes no new work. */
static void
reply_readiness(struct traffic *t, struct front_req *http)
{
	if (__atomic_load_n(&t->conf.shared->is_draining, __ATOMIC_RELAXED))
		reply_error(t, http, STATUS_UNAVAILABLE, "draining", 0);
	else if (!__atomic_load_n(&t->conf.shared->is_ready, __ATOMIC_RELAXED))
		reply_error(t, http, STATUS_UNAVAILABLE,
		    "no recent contact with the leader", 0);
	else
		traffic_reply_json(
		    t, http, 200, str_from("{\"status\":\"OK\"}\n"));
}

/*
 * Answers a request to drain this instance, after telling the control thread.
 */
static void
start_drain(struct traffic *t, struct front_req *http)
{
	struct mbox_msg *m = mbox_msg_new(MBOX_DRAIN, 0);

	mbox_post(&t->conf.shared->control, m);
	traffic_reply_json(t, http, 202, str_from("{\"status\":\"OK\"}\n"));
}

/* Answers a request of the HTTP interface, or starts its operation. */
static void
handle_api_request(
    struct traffic *t, struct front_req *http, const struct api_req *q)
{
	struct pending_op *o;

	switch (q->kind) {
	case API_HEALTH:
		traffic_reply_json(
		    t, http, 200, str_from("{\"status\":\"OK\"}\n"));
		return;
	case API_READY:
		reply_readiness(t, http);
		return;
	case API_COUNTERS:
		traffic_reply_json(t, http, 200,
		    tstats_counters_json(http, &t->conf.shared->counters));
		return;
	case API_DRAIN:
		start_drain(t, http);
		return;
	case API_OP:
	case API_SERVICE:
		break;
	}
	o = traffic_start_op(t, OP_API, q->op);
	if (o == NULL) {
		reply_error(
		    t, http, STATUS_FULL, "too many operations are pending", 0);
		return;
	}
	o->route = q->route;
	o->http = http;
	http->user = o;
}

/* Handles a whole request from a client. */
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
		start_service_request(t, http, q.class_name);
	else
		handle_api_request(t, http, &q);
}

/* Detaches an operation from a client that is gone. */
static void
detach_op_client(gpointer key, gpointer value, gpointer http)
{
	struct pending_op *o = value;

	if (o->kind == OP_API && o->http == http)
		o->http = NULL;
}

/*
 * Handles the loss of a client: a service request is cancelled; an operation
 * goes on and its result is dropped.
 */
static void
on_client_gone(void *arg, struct front_req *http)
{
	struct traffic *t = arg;
	struct eng_ev ev = { .kind = ENG_EV_CANCEL };
	struct front_reply none = { .status = 500 };
	struct str name;

	name = str_mem(http->path.p, http->path.len);
	if (str_starts(name, "/svc/")) {
		ev.req = ((struct svc_req *)http->user)->id;
		traffic_step(t, &ev);
		return;
	}
	g_hash_table_foreach(t->ops, detach_op_client, http);
	front_answer(http, &none);
}

/*
 * Reports the engine's statistics to the control thread every
 * TRAFFIC_STATS_INTERVAL_MS and, once while draining, that nothing is left to
 * do.
 */
static void
on_stats(void *arg)
{
	struct traffic *t = arg;
	struct mbox_msg *m;

	mtimer_set_ms(&t->stats_timer, TRAFFIC_STATS_INTERVAL_MS);
	m = tstats_message(t->eng, t->conf.thread);
	if (mbox_post(&t->conf.shared->control, m) != STATUS_OK)
		talloc_free(m);
	if (!t->draining || t->idle_reported || !eng_is_idle(t->eng) ||
	    g_hash_table_size(t->ops) > 0 || back_count_calls(t->back) > 0 ||
	    front_count_requests(t->front) > 0)
		return;
	t->idle_reported = true;
	m = mbox_msg_new(MBOX_IDLE, 0);
	m->thread = t->conf.thread;
	mbox_post(&t->conf.shared->control, m);
}

/* Replaces the view and passes the new one to the engine. */
static void
set_view(struct traffic *t, struct view *v)
{
	struct eng_ev ev = { .kind = ENG_EV_VIEW };
	struct view *old = t->view;

	t->view = talloc_steal(t, v);
	ev.u.view = v;
	traffic_step(t, &ev);
	talloc_free(old);
}

/* Handles the messages of the control thread. */
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
			traffic_on_op_result(t, m);
			break;
		case MBOX_VIEW:
			set_view(t, m->view);
			break;
		case MBOX_DRAIN:
			t->draining = true;
			front_drain(t->front);
			traffic_step(t, &drain);
			break;
		case MBOX_STOP:
			t->stop = true;
			t->stop_deadline =
			    clk_add_ms(clk_now(&t->clk), STOP_TIMEOUT_MS);
			break;
		default:
			break;
		}
		talloc_free(m);
	}
}

/*
 * Runs the event loop; returns after MBOX_STOP, once all clients are answered
 * or STOP_TIMEOUT_MS have passed.
 */
void *
traffic_run(void *arg)
{
	struct traffic *t = arg;

	while (!t->stop || front_count_requests(t->front) > 0) {
		if (t->stop && clk_before(t->stop_deadline, clk_now(&t->clk)))
			break;
		if (tevent_loop_once(t->ev) != 0)
			break;
	}
	return NULL;
}

/* Returns the mailbox of the thread. */
struct mbox *
traffic_mbox(struct traffic *t)
{
	return &t->mbox;
}

/* Registers the counter sets of the thread. */
void
traffic_register_counters(struct traffic *t, struct node_counters *c)
{
	node_counters_add(c, "node", &t->ctr);
	node_counters_add(c, "request", eng_counters(t->eng));
}

/* Frees what talloc does not own, after the HTTP server and client. */
static int
traffic_destroy(struct traffic *t)
{
	TALLOC_FREE(t->front);
	TALLOC_FREE(t->back);
	g_hash_table_destroy(t->reqs);
	g_hash_table_destroy(t->ops);
	g_array_free(t->event_queue, TRUE);
	talloc_free(t->acts.v);
	TALLOC_FREE(t->mbox_fde);
	mbox_destroy(&t->mbox);
	return 0;
}

/* Creates the request engine with its settings. */
static struct eng *
create_engine(struct traffic *t)
{
	struct eng_conf c;

	memset(&c, 0, sizeof(c));
	c.seed = t->conf.seed;
	c.retry_percent = 10;
	c.retry_min_per_s = 3;
	c.eject_percent = 20;
	c.clock_ppm = NODE_CLOCK_PPM;
	c.max_requests = TRAFFIC_REQUESTS_MAX;
	return eng_new(t, &c, clk_now(&t->clk));
}

/*
 * Creates a traffic thread's modules; NULL with e set on failure. This runs in
 * the caller's thread; afterwards only traffic_run may use them.
 */
struct traffic *
traffic_new(TALLOC_CTX *ctx, const struct traffic_conf *conf, struct err *e)
{
	struct traffic *t = talloc_zero(ctx, struct traffic);
	struct memacct_limits limits;
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
	t->event_queue = g_array_new(FALSE, FALSE, sizeof(struct eng_ev));
	talloc_set_destructor(t, traffic_destroy);
	t->ev = tevent_context_init(t);
	if (t->ev == NULL)
		abort();
	t->timers = mtimer_queue_new(t, t->ev);
	mtimer_init(&t->tick_timer, t->timers, traffic_on_tick, t);
	t->eng = create_engine(t);
	bc.ctr = &t->ctr;
	bc.on_sent = traffic_on_sent;
	bc.on_done = traffic_on_done;
	bc.on_failed = traffic_on_failed;
	bc.arg = t;
	t->back = back_new(t, t->ev, &bc);
	limits = memacct_split(MEMACCT_ENTRY, 0);
	t->account = memacct_new(t, &limits);
	memset(&fc, 0, sizeof(fc));
	fc.listen_fd = conf->listen_fd;
	fc.body_max = conf->body_max;
	fc.connections_max = conf->connections_max;
	fc.ctr = &t->ctr;
	fc.account = t->account;
	fc.use = MEMACCT_REQUESTS;
	fc.name = "requests";
	fc.body_copies = 1; /* for the worker */
	fc.on_request = on_request;
	fc.on_client_gone = on_client_gone;
	fc.arg = t;
	t->front = front_new(t, t->ev, &fc, e);
	if (t->front == NULL) {
		talloc_free(t);
		return NULL;
	}
	t->mbox_fde =
	    tevent_add_fd(t->ev, t, t->mbox.fd, TEVENT_FD_READ, on_mbox, t);
	mtimer_init(&t->stats_timer, t->timers, on_stats, t);
	mtimer_set_ms(&t->stats_timer, 0);
	traffic_arm_tick(t);
	return t;
}
