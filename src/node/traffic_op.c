#include "node/traffic_impl.h"

#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "node/nctr.h"
#include "node/tstats.h"

/*
 * Posts an operation to the control thread; NULL if its queue is full. The
 * result comes back in a message with the id of the operation.
 */
struct pending_op *
traffic_start_op(struct traffic *t, enum op_kind kind, const Control__Op *op)
{
	struct mbox_msg *m;
	struct pending_op *o;

	m = mbox_msg_new(MBOX_OP, control__op__get_packed_size(op));
	control__op__pack(op, (uint8_t *)(uintptr_t)m->data.p);
	m->thread = t->conf.thread;
	m->id = ++t->next_op;
	o = talloc_zero(t, struct pending_op);
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

/*
 * Queues an event that arises while actions are carried out, since the engine
 * must not be called again from within its own step.
 */
void
traffic_queue_event(struct traffic *t, const struct eng_ev *ev)
{
	g_array_append_val(t->event_queue, *ev);
}

/*
 * Asks the leader to record the idempotency key of a request before the request
 * is sent to a worker.
 */
void
traffic_send_claim(struct traffic *t, struct svc_req *r)
{
	Control__Op op = CONTROL__OP__INIT;
	Control__KeyClaim claim = CONTROL__KEY_CLAIM__INIT;
	struct pending_op *o;
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
	o = traffic_start_op(t, OP_CLAIM, &op);
	if (o == NULL) {
		ev.u.claim = ENG_CLAIM_REFUSED;
		traffic_queue_event(t, &ev);
		return;
	}
	o->svc_req = r;
	r->nops++;
}

/*
 * Asks the leader to record how a request with a claimed key ended, with its
 * answer if there is one.
 */
void
traffic_send_record(
    struct traffic *t, struct svc_req *r, enum eng_outcome outcome)
{
	Control__Op op = CONTROL__OP__INIT;
	Control__KeyDone done = CONTROL__KEY_DONE__INIT;
	struct pending_op *o;

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
		if (r->body.len <= TRAFFIC_RECORD_MAX_BYTES) {
			done.has_body = 1;
			done.body.data = (uint8_t *)(uintptr_t)r->body.p;
			done.body.len = r->body.len;
		}
	}
	op.key_done = &done;
	o = traffic_start_op(t, OP_RECORD, &op);
	if (o == NULL) {
		ctr_add(&t->ctr, NCTR_KEY_RECORD_LOST, 1);
		return;
	}
	o->svc_req = r;
	r->nops++;
}

/*
 * Translates the result of a claim for the engine. After a timeout the claim
 * may have been made, so it counts as lost rather than refused.
 */
static enum eng_claim
to_claim_outcome(const Control__OpResult *res)
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

/*
 * Passes the result of a claim to the engine, with the recorded answer if the
 * key has one.
 */
static void
handle_claim_result(
    struct traffic *t, struct svc_req *r, const Control__OpResult *res)
{
	struct eng_ev ev = { .kind = ENG_EV_CLAIMED, .req = r->id };

	ev.u.claim = to_claim_outcome(res);
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

/*
 * Removes a request and leaves it to traffic_free_ended, if it is answered and
 * nothing is pending.
 */
void
traffic_req_release(struct svc_req *r)
{
	struct traffic *t = r->t;

	if (r->is_ended || r->http != NULL || r->call != NULL || r->nops > 0)
		return;
	r->is_ended = true;
	g_hash_table_remove(t->reqs, &r->id);
	r->next_ended = t->ended;
	t->ended = r;
}

/*
 * Frees the requests that have ended. Not called during a step, whose actions
 * may refer to them.
 */
void
traffic_free_ended(struct traffic *t)
{
	struct svc_req *r;

	while ((r = t->ended) != NULL) {
		t->ended = r->next_ended;
		talloc_free(r);
	}
}

/* Releases a request after a step, which may have freed it already. */
void
traffic_req_try_release(struct traffic *t, uint64_t id)
{
	struct svc_req *r = g_hash_table_lookup(t->reqs, &id);

	if (r != NULL)
		traffic_req_release(r);
	if (!t->stepping)
		traffic_free_ended(t);
}

/* Handles the result of an operation from the control thread. */
void
traffic_on_op_result(struct traffic *t, struct mbox_msg *m)
{
	struct pending_op *o = g_hash_table_lookup(t->ops, &m->id);
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
		traffic_reply_json(t, o->http, status, body);
		break;
	case OP_CLAIM:
		/* Counted as pending until the step is over, as the step may
		 * end the request. */
		handle_claim_result(t, o->svc_req, res);
		o->svc_req->nops--;
		traffic_req_try_release(t, o->svc_req->id);
		break;
	case OP_RECORD:
		o->svc_req->nops--;
		if (res->status != STATUS_OK)
			ctr_add(&t->ctr, NCTR_KEY_RECORD_LOST, 1);
		traffic_req_try_release(t, o->svc_req->id);
		break;
	}
	control__op_result__free_unpacked(res, NULL);
	talloc_free(o);
}
