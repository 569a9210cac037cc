#include "node/gate.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <tevent.h>

#include "base/log.h"
#include "node/fdplan.h"
#include "node/front.h"
#include "node/mesh.h"
#include "node/metrics.h"
#include "node/nctr.h"
#include "node/sock.h"
#include "node/ticker.h"
#include "platform/pf.h"

#define TICK_MS 50

struct gate {
	const struct inst *inst;
	struct tevent_context *ev;
	struct ctr_set ctr;
	struct hist answer_ms;
	struct metrics *metrics;
	struct memacct *account; /* of the memory of connections */
	struct fdplan_entry fds;
	struct mesh *mesh;
	struct front *clients, *readiness;
	struct ticker *ticker;
	bool stopping, was_ready;
	struct timespec stop_deadline;
};

/* A client's request that waits for the leader's answer. */
struct http_call {
	struct gate *g;
	struct front_req *req;
	Job__CallKind kind;
	uint64_t job;
	struct timespec since;
};

/* Answers a request; a body is JSON, retry_s of 0 stands for no Retry-After. */
static void
send_reply(struct front_req *req, int status, struct str body, unsigned retry_s)
{
	struct front_header h[2];
	struct front_reply r = { status, h, 0, body };
	char secs[16];

	if (body.len > 0) {
		h[r.nheaders].name = str_from("Content-Type");
		h[r.nheaders++].value = str_from("application/json");
	}
	if (retry_s > 0) {
		snprintf(secs, sizeof(secs), "%u", retry_s);
		h[r.nheaders].name = str_from("Retry-After");
		h[r.nheaders++].value = str_from(secs);
	}
	front_answer(req, &r);
}

/* Returns the HTTP status for the outcome of a call. */
static int
get_status(const struct http_call *k, const Job__Answer *a)
{
	switch (a->outcome) {
	case JOB__OUTCOME__OK:
		return 200;
	case JOB__OUTCOME__NOT_FOUND:
		return 404;
	case JOB__OUTCOME__NO_JOB:
		return 410;
	case JOB__OUTCOME__NO_CONFIG:
		return 503;
	case JOB__OUTCOME__BUSY:
	case JOB__OUTCOME__FULL:
		return 429;
	case JOB__OUTCOME__INVALID:
		return 400;
	default:
		return 504;
	}
}

/* Returns the body of an answer. */
static struct str
make_body(TALLOC_CTX *ctx, const struct http_call *k, const Job__Answer *a)
{
	if (a->outcome == JOB__OUTCOME__FULL)
		return pf_format_refusal(
		    ctx, a->retry_ms > 0 ? "full" : "too large");
	if (a->outcome != JOB__OUTCOME__OK)
		return str_mem("", 0);
	if (k->kind == JOB__CALL_KIND__STATUS)
		return pf_format_job_state(ctx, a->state, a->waiting == 0);
	if (k->kind == JOB__CALL_KIND__COUNT)
		return pf_format_queue_length(ctx, a->waiting);
	return str_from("{}");
}

/* Answers a client when its call on the leader has ended: 503 if it had no
 * effect, 504 if it may have had one. */
static void
on_call_end(void *arg, enum caller_end end, const Job__Answer *a)
{
	struct http_call *k = arg;
	int status = end == CALLER_NOT_SENT ? 503 : 504;
	unsigned retry_s = end == CALLER_NOT_SENT ? GATE_RETRY_AFTER_S : 0;
	struct str body = str_mem("", 0);

	if (end == CALLER_ANSWERED) {
		status = get_status(k, a);
		body = make_body(k, k, a);
		if (a->retry_ms > 0)
			retry_s = (a->retry_ms + 999) / 1000;
		if (a->outcome == JOB__OUTCOME__NO_CONFIG)
			retry_s = GATE_RETRY_AFTER_S;
	}
	log_event(status >= 500 ? LOG_NOTICE : LOG_INFO, "gate",
	    "event=answer job=%016" PRIx64 " call=%d status=%d outcome=%d "
	    "end=%d leader=%u took_ms=%" PRId64,
	    k->job, k->kind, status, a == NULL ? -1 : (int)a->outcome, end,
	    caller_leader(mesh_caller(k->g->mesh)),
	    clk_diff_ms(mesh_now(k->g->mesh), k->since));
	hist_add(&k->g->answer_ms, clk_diff_ms(mesh_now(k->g->mesh), k->since));
	send_reply(k->req, status, body, retry_s);
	talloc_free(k);
}

/* Returns the Host header without the port. */
static struct str
get_host(const struct front_req *req)
{
	size_t n;
	struct str h = front_header_get(req, "Host", &n);
	const char *colon = h.len > 0 ? memchr(h.p, ':', h.len) : NULL;

	return colon == NULL ? h : str_mem(h.p, (size_t)(colon - h.p));
}

/* Fills the call that a request stands for. Returns 0, or the HTTP status that
 * refuses it, and sets e. */
static int
decode_call(TALLOC_CTX *ctx, const struct front_req *req, Job__Call *c,
    Job__Spec *spec, struct err *e)
{
	bool job = pf_parse_job_id(req->path, &c->job);

	c->has_job = job;
	c->host = str_cstr(ctx, get_host(req));
	c->path = str_cstr(ctx, req->path);
	if (str_eq_c(req->method, "POST")) {
		c->kind = JOB__CALL_KIND__SUBMIT;
		if (!job) {
			err_set(e, STATUS_NOT_FOUND,
			    "path: expected a job id at its end");
			return 404;
		}
		if (pf_decode_job(ctx, req->body, spec, e) != STATUS_OK)
			return 400;
		c->spec = spec;
	} else if (str_eq_c(req->method, "GET")) {
		c->kind = job ? JOB__CALL_KIND__STATUS : JOB__CALL_KIND__COUNT;
	} else if (str_eq_c(req->method, "DELETE") && job) {
		c->kind = JOB__CALL_KIND__CANCEL;
	} else {
		err_set(e, STATUS_INVALID,
		    "method: expected POST, GET or DELETE of a job");
		return 405;
	}
	return 0;
}

/* Handles a client's request. */
static void
on_request(void *arg, struct front_req *req)
{
	struct gate *g = arg;
	TALLOC_CTX *ctx = talloc_new(NULL);
	Job__Call c = JOB__CALL__INIT;
	Job__Spec spec;
	struct err e;
	struct http_call *k;
	int64_t ms;
	int status;

	err_clear(&e);
	status = decode_call(ctx, req, &c, &spec, &e);
	if (status != 0) {
		log_event(LOG_INFO, "gate",
		    "event=refused path=\"" STR_FMT "\" status=%d "
		    "error=\"%s\"",
		    STR_ARG(req->path), status, e.msg);
		send_reply(req, status, str_mem("", 0), 0);
		talloc_free(ctx);
		return;
	}
	ms = pf_client_timeout_ms(req, GATE_DEFAULT_TIMEOUT_MS) -
	    GATE_ANSWER_MARGIN_MS;
	k = talloc_zero(g, struct http_call);
	if (k == NULL)
		abort();
	k->g = g;
	k->req = req;
	k->kind = c.kind;
	k->job = c.job;
	k->since = mesh_now(g->mesh);
	caller_start(mesh_caller(g->mesh), k->since, &c, ms < 1 ? 1 : ms,
	    on_call_end, k);
	front_release_body(req);
	talloc_free(ctx);
}

/* Tells whether this instance can serve clients. Closing slow connections
 * doesn't make it unready: its balancer would send their clients on to the
 * other instances. */
static bool
is_ready(struct gate *g)
{
	return !g->stopping && front_has_room(g->clients) &&
	    caller_is_ready(mesh_caller(g->mesh), mesh_now(g->mesh));
}

/* Answers a readiness check of the load balancer. */
static void
on_readiness(void *arg, struct front_req *req)
{
	send_reply(req, is_ready(arg) ? 200 : 503, str_mem("", 0), 0);
}

/* Does nothing: a call goes on when its client has closed. */
static void
on_client_gone(void *arg, struct front_req *req)
{
}

/* Ignores messages: only replicas receive calls, pings and joins. */
static void
on_job(void *arg, uint32_t from, const Job__Msg *m)
{
}

/* Runs the timers and logs changes of readiness. */
static void
on_tick(void *arg)
{
	struct gate *g = arg;
	bool ready;

	mesh_tick(g->mesh);
	ready = is_ready(g);
	if (ready != g->was_ready)
		log_event(LOG_NOTICE, "gate", "event=%s leader=%u",
		    ready ? "ready" : "unready",
		    caller_leader(mesh_caller(g->mesh)));
	g->was_ready = ready;
}

/* Reloads the settings on SIGHUP; any other signal starts the shutdown. */
static void
on_signal(struct tevent_context *ev, struct tevent_signal *se, int signum,
    int count, void *siginfo, void *arg)
{
	struct gate *g = arg;

	if (signum == SIGHUP) {
		mesh_reload(g->mesh);
		return;
	}
	if (g->stopping)
		return;
	log_event(LOG_NOTICE, "gate", "event=stop busy=%zu",
	    front_count_requests(g->clients));
	g->stopping = true;
	g->stop_deadline =
	    clk_add_ms(mesh_now(g->mesh), g->inst->grace_ms * 5 / 6);
	front_drain(g->clients);
}

/* Starts an HTTP server on an address; returns NULL and sets e if it can't
 * listen. */
static struct front *
start_server(struct gate *g, struct str addr, size_t body_max,
    enum memacct_use use, void (*request)(void *, struct front_req *),
    struct err *e)
{
	struct front_conf fc;

	memset(&fc, 0, sizeof(fc));
	fc.listen_fd = sock_listen(addr, false, e);
	if (fc.listen_fd < 0)
		return NULL;
	fc.body_max = body_max;
	fc.use = use;
	if (use == MEMACCT_REQUESTS) {
		fc.name = "clients";
		fc.connections_max = g->fds.clients;
		fc.body_copies = GATE_BODY_COPIES;
	} else {
		fc.name = "readiness";
		fc.connections_max = g->fds.readiness;
	}
	fc.account = g->account;
	fc.ctr = &g->ctr;
	fc.on_request = request;
	fc.on_client_gone = on_client_gone;
	fc.arg = g;
	return front_new(g, g->ev, &fc, e);
}

/* Starts all parts of an entry instance. */
static enum status
start_gate(struct gate *g, struct err *e)
{
	struct memacct_limits limits;
	struct mesh_conf mc;

	limits = memacct_split(MEMACCT_ENTRY, g->inst->memory_mb);
	g->account = memacct_new(g, &limits);
	g->fds = fdplan_split_entry(g->inst->descriptors);
	memset(&mc, 0, sizeof(mc));
	mc.inst = g->inst;
	mc.ctr = &g->ctr;
	mc.account = g->account;
	mc.connections_max = g->fds.peers;
	mc.on_job = on_job;
	mc.arg = g;
	if (getrandom(&mc.incarnation, sizeof(mc.incarnation), 0) < 0)
		return err_errno(e, STATUS_IO, "getrandom");
	g->mesh = mesh_new(g, g->ev, &mc, e);
	if (g->mesh == NULL)
		return e->status;
	g->clients = start_server(g, g->inst->clients, GATE_BODY_MAX,
	    MEMACCT_REQUESTS, on_request, e);
	if (g->clients == NULL)
		return e->status;
	if (g->inst->readiness.len > 0) {
		g->readiness = start_server(g, g->inst->readiness, 1024,
		    MEMACCT_READINESS, on_readiness, e);
		if (g->readiness == NULL)
			return e->status;
	}
	g->metrics =
	    metrics_new(g, g->ev, g->inst->metrics, &g->ctr, g->account, e);
	if (g->metrics == NULL)
		return e->status;
	metrics_add_counters(g->metrics, &g->ctr);
	metrics_add_hist(g->metrics, "answer", &g->answer_ms);
	g->ticker = ticker_new(g, g->ev, TICK_MS, on_tick, g, e);
	return g->ticker == NULL ? e->status : STATUS_OK;
}

/* Runs an entry instance until SIGTERM and a graceful shutdown. Returns the
 * exit status: 0, or 1 if it could not start. */
int
gate_run(const struct inst *inst, struct err *e)
{
	struct gate *g = talloc_zero(NULL, struct gate);

	if (g == NULL)
		abort();
	signal(SIGPIPE, SIG_IGN);
	log_set_nonblocking();
	front_init_heap();
	g->inst = inst;
	g->ev = tevent_context_init(g);
	if (g->ev == NULL)
		abort();
	ctr_init(&g->ctr, g, nctr_desc, NCTR_COUNT);
	if (start_gate(g, e) != STATUS_OK) {
		talloc_free(g);
		return 1;
	}
	tevent_add_signal(g->ev, g, SIGTERM, 0, on_signal, g);
	tevent_add_signal(g->ev, g, SIGINT, 0, on_signal, g);
	tevent_add_signal(g->ev, g, SIGHUP, 0, on_signal, g);
	log_event(LOG_NOTICE, "gate", "event=start name=" STR_FMT,
	    STR_ARG(inst->name));
	while (!g->stopping ||
	    (front_count_requests(g->clients) > 0 &&
		clk_before(mesh_now(g->mesh), g->stop_deadline))) {
		if (tevent_loop_once(g->ev) != 0)
			break;
	}
	log_event(LOG_NOTICE, "gate", "event=end busy=%zu",
	    front_count_requests(g->clients));
	/* Nothing is released: the process ends. */
	return 0;
}
