#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "node/core_impl.h"
#include "platform/pf.h"

/* HTTP server of a replica for workers and operators. */

struct http_call {
	struct core *c;
	struct front_req *req;
	Job__CallKind kind;
	struct timespec since;
};

/* Answers a request; a body is JSON. */
static void
send_reply(struct front_req *req, int status, struct str body)
{
	struct front_header h = { str_from("Content-Type"),
		str_from("application/json") };
	struct front_reply r = { status, &h, body.len > 0, body };

	front_answer(req, &r);
}

/* Returns the HTTP status for the outcome of a call. */
static int
get_status(const Job__Answer *a)
{
	switch (a->outcome) {
	case JOB__OUTCOME__OK:
		return 200;
	case JOB__OUTCOME__NOT_FOUND:
		return 404;
	case JOB__OUTCOME__INVALID:
		return 400;
	default:
		return 503;
	}
}

/* Returns the body of a successful answer. */
static struct str
make_body(struct http_call *k, const Job__Answer *a)
{
	struct caller *caller = mesh_caller(k->c->mesh);

	switch (k->kind) {
	case JOB__CALL_KIND__CONFIG_GET:
	case JOB__CALL_KIND__EVACUATIONS_GET:
	case JOB__CALL_KIND__WHY_GET:
		return str_mem(a->document.data, a->document.len);
	case JOB__CALL_KIND__BEAT:
		/* Later heartbeats go straight to the leader, unless there
		 * are so many that all replicas share them. */
		return pf_format_heartbeat_response(k,
		    caller_leader(caller) == 0 ||
			    (int64_t)k->c->st.nworkers > k->c->inst->own_workers
			? str_mem("", 0)
			: inst_addr(k, caller_leader(caller),
			      k->c->inst->control_port));
	case JOB__CALL_KIND__WAVE_GET:
		return pf_format_wave_state(k, a->state != 0);
	default:
		return str_from("{}");
	}
}

/* Answers the HTTP request when its call on the leader has ended. */
static void
on_call_end(void *arg, enum caller_end end, const Job__Answer *a)
{
	struct http_call *k = arg;
	int status = end == CALLER_ANSWERED ? get_status(a) : 503;

	if (status != 200 || k->kind != JOB__CALL_KIND__BEAT)
		log_event(LOG_INFO, "core",
		    "event=answer call=%d status=%d end=%d took_ms=%" PRId64,
		    k->kind, status, end,
		    clk_diff_ms(mesh_now(k->c->mesh), k->since));
	send_reply(
	    k->req, status, status == 200 ? make_body(k, a) : str_mem("", 0));
	talloc_free(k);
}

/* Starts a call on the leader for an HTTP request. */
static void
start_call(
    struct core *c, struct front_req *req, Job__Call *call, int64_t timeout_ms)
{
	struct http_call *k = talloc_zero(c, struct http_call);

	if (k == NULL)
		abort();
	k->c = c;
	k->req = req;
	k->kind = call->kind;
	k->since = mesh_now(c->mesh);
	caller_start(
	    mesh_caller(c->mesh), k->since, call, timeout_ms, on_call_end, k);
	/* The caller has its own copy. */
	front_release_body(req);
}

/* Logs why a request is invalid and answers it with 400. */
static void
reply_bad_request(struct front_req *req, const struct err *e)
{
	log_event(LOG_NOTICE, "core",
	    "event=refused path=\"" STR_FMT "\" error=\"%s\"",
	    STR_ARG(req->path), e->msg);
	send_reply(req, 400, str_mem("", 0));
}

/* Fills the call that a request stands for; returns false and sets e if it is
 * invalid. */
static bool
decode_call(TALLOC_CTX *ctx, struct front_req *req, enum pf_request_kind kind,
    struct str arg, Job__Call *call, struct err *e)
{
	Job__Worker *w = talloc(ctx, Job__Worker);
	Job__Wave *wave = talloc(ctx, Job__Wave);
	Job__Evacuation *ev = talloc(ctx, Job__Evacuation);
	int64_t id = 0;

	if (w == NULL || wave == NULL || ev == NULL)
		abort();
	switch (kind) {
	case PF_REQ_HEARTBEAT:
		call->kind = JOB__CALL_KIND__BEAT;
		call->worker = w;
		return pf_decode_worker(ctx, arg, req->body, w, e) == STATUS_OK;
	case PF_REQ_LEAVE:
		call->kind = JOB__CALL_KIND__LEAVE;
		call->worker = w;
		return pf_decode_leave(ctx, arg, req->body, w, e) == STATUS_OK;
	case PF_REQ_CONFIG_PUT:
		call->kind = JOB__CALL_KIND__CONFIG_PUT;
		call->config = talloc(ctx, Job__Config);
		return pf_decode_config(ctx, req->body, call->config, e) ==
		    STATUS_OK;
	case PF_REQ_CONFIG_GET:
		call->kind = JOB__CALL_KIND__CONFIG_GET;
		return true;
	case PF_REQ_WAVE_START:
		call->kind = JOB__CALL_KIND__WAVE_PUT;
		call->wave = wave;
		return pf_decode_wave(ctx, req->body, wave, e) == STATUS_OK;
	case PF_REQ_WAVE_GET:
		call->kind = JOB__CALL_KIND__WAVE_GET;
		job__wave__init(wave);
		if (!str_to_i64(arg, &id) || id < 0)
			return err_set(e, STATUS_INVALID,
				   "wave: expected a number") == STATUS_OK;
		wave->id = (uint64_t)id;
		call->wave = wave;
		return true;
	case PF_REQ_EVACUATION_BEGIN:
	case PF_REQ_EVACUATION_END:
		call->kind = JOB__CALL_KIND__EVACUATE;
		call->evacuation = ev;
		return pf_decode_evacuation(ctx, arg,
			   kind == PF_REQ_EVACUATION_BEGIN, ev, e) == STATUS_OK;
	case PF_REQ_EVACUATIONS:
		call->kind = JOB__CALL_KIND__EVACUATIONS_GET;
		return true;
	case PF_REQ_WHY:
		call->kind = JOB__CALL_KIND__WHY_GET;
		call->has_job = pf_parse_id(arg, &call->job);
		return call->has_job ||
		    err_set(e, STATUS_INVALID, "job: expected 16 digits") ==
		    STATUS_OK;
	default:
		return err_set(e, STATUS_NOT_FOUND, "unknown method or path") ==
		    STATUS_OK;
	}
}

/*
 * Tells whether a heartbeat may be answered without the leader: it changes
 * nothing in the replicated state, and this replica is the sole leader, or is
 * in contact with it and has the committed log, so that it would have learned
 * of the end of this worker's registration. Only the leader uses that a worker
 * is cold, so such a heartbeat has to reach it.
 */
static bool
can_answer_heartbeat(struct core *c, const Job__Worker *w)
{
	struct timespec now = mesh_now(c->mesh);

	if (c->disk_failed || !core_is_heartbeat_known(c, w))
		return false;
	if (!c->leading && w->cold_left_ms > 0)
		return false;
	if (!c->leading)
		return raft_is_up_to_date(c->raft, now) &&
		    caller_is_ready(mesh_caller(c->mesh), now);
	if (!raft_has_leader_lease(c->raft, now))
		return false;
	jlead_on_heartbeat(
	    &c->jl, jst_find_worker_by_id(&c->st, w->id), w->cold_left_ms);
	return true;
}

/* Handles an HTTP request of a worker or an operator. */
void
core_on_control(void *arg, struct front_req *req)
{
	struct core *c = arg;
	TALLOC_CTX *ctx = talloc_new(NULL);
	Job__Call call = JOB__CALL__INIT;
	struct str path_arg;
	enum pf_request_kind kind =
	    pf_classify_request(req->method, req->path, &path_arg);
	bool from_worker = kind == PF_REQ_HEARTBEAT || kind == PF_REQ_LEAVE;
	struct err e;

	err_clear(&e);
	if (!decode_call(ctx, req, kind, path_arg, &call, &e))
		reply_bad_request(req, &e);
	else if (kind == PF_REQ_CONFIG_GET && c->st.config != NULL &&
	    !front_reserve_answer(
		req, CORE_ANSWER_COPIES * c->st.config->document.len))
		log_event(
		    LOG_INFO, "core", "event=no_memory call=%d", call.kind);
	else if (kind == PF_REQ_HEARTBEAT &&
	    can_answer_heartbeat(c, call.worker))
		send_reply(req, 200,
		    pf_format_heartbeat_response(ctx, str_mem("", 0)));
	else if (call.evacuation != NULL && !core_take_order(c, req, &call))
		send_reply(req, 503, str_mem("", 0));
	else
		start_call(c, req, &call,
		    from_worker ? CORE_WORKER_TIMEOUT_MS
				: CORE_OPERATOR_TIMEOUT_MS);
	talloc_free(ctx);
}
