#include "node/traffic_impl.h"

#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "node/nctr.h"
#include "node/tstats.h"

/*
 * Hands an operation to the control thread; NULL when its queue is full. The
 * outcome comes back as a message with the id of the operation.
 */
struct top *
traffic_op_start(struct traffic *t, enum op_kind kind, const Control__Op *op)
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

/*
 * Queues an event that is found while actions are carried out, since the
 * engine must not be entered again from within its own step.
 */
void
traffic_event_later(struct traffic *t, const struct eng_ev *ev)
{
	g_array_append_val(t->evq, *ev);
}

/*
 * Asks the leader to record the key of a request before it is dispatched.
 */
void
traffic_claim_send(struct traffic *t, struct treq *r)
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
	o = traffic_op_start(t, OP_CLAIM, &op);
	if (o == NULL) {
		ev.u.claim = ENG_CLAIM_REFUSED;
		traffic_event_later(t, &ev);
		return;
	}
	o->req = r;
	r->ops++;
}

/* Records the end of a claimed key, with the answer when there is one. */
void
traffic_record_send(struct traffic *t, struct treq *r, enum eng_outcome outcome)
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
	o = traffic_op_start(t, OP_RECORD, &op);
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

/* Marks an answered request without pending work for traffic_reap. */
void
traffic_req_release(struct treq *r)
{
	struct traffic *t = r->t;

	if (r->dead || r->http != NULL || r->call != NULL || r->ops > 0)
		return;
	r->dead = true;
	g_hash_table_remove(t->reqs, &r->id);
	r->next_dead = t->dead;
	t->dead = r;
}

/* Frees the requests that have ended during a step. */
void
traffic_reap(struct traffic *t)
{
	struct treq *r;

	while ((r = t->dead) != NULL) {
		t->dead = r->next_dead;
		talloc_free(r);
	}
}

/* Looks at a request again after a step, which may have freed it. */
void
traffic_req_settle(struct traffic *t, uint64_t id)
{
	struct treq *r = g_hash_table_lookup(t->reqs, &id);

	if (r != NULL)
		traffic_req_release(r);
	if (!t->stepping)
		traffic_reap(t);
}

/* Takes the outcome of an operation from the control thread. */
void
traffic_op_done(struct traffic *t, struct mbox_msg *m)
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
		traffic_reply_text(t, o->http, status, body);
		break;
	case OP_CLAIM:
		/* Counted as under way until the step is over: the request
		 * may end in it. */
		claim_done(t, o->req, res);
		o->req->ops--;
		traffic_req_settle(t, o->req->id);
		break;
	case OP_RECORD:
		o->req->ops--;
		if (res->status != STATUS_OK)
			ctr_add(&t->ctr, NCTR_KEY_RECORD_LOST, 1);
		traffic_req_settle(t, o->req->id);
		break;
	}
	control__op_result__free_unpacked(res, NULL);
	talloc_free(o);
}
