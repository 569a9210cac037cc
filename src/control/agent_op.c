#include <stdlib.h>
#include <string.h>

#include "control/agent_impl.h"
#include "control/pb.h"

/*
 * Returns whether an operation is idempotent: it carries a change id, a claim,
 * an incarnation or a job id that is never reused. A drain is not, since a
 * late copy could drain the next incarnation of the worker.
 */
static bool
op_is_idempotent(const Control__Op *op)
{
	return op->config_set != NULL || op->worker_up != NULL ||
	    op->worker_poll != NULL || op->worker_leave != NULL ||
	    op->job_submit != NULL || op->job_cancel != NULL ||
	    op->key_claim != NULL || op->key_done != NULL || op->query != NULL;
}

/* Reports the result of an operation to the caller. */
static void
op_reply(struct agent *a, uint64_t id, const Control__OpResult *r)
{
	struct agent_act *act = agent_act_add(a, AGENT_ACT_REPLY);

	act->u.reply.id = id;
	act->u.reply.result = r;
}

/* Reports a result of only a status and a message to the caller. */
static void
op_reply_status(
    struct agent *a, uint64_t id, enum status status, const char *message)
{
	Control__OpResult *r = talloc(a->step_ctx, Control__OpResult);

	if (r == NULL)
		abort();
	control__op_result__init(r);
	r->status = status;
	r->message = str_cstr(a->step_ctx, str_from(message));
	op_reply(a, id, r);
}

/* Compares an operation with a forward id for the index. */
static bool
op_matches(const void *object, const void *key)
{
	return ((const struct agent_op *)object)->forward_id ==
	    *(const uint64_t *)key;
}

/* Removes an operation that has ended. */
static void
op_remove(struct agent *a, struct agent_op *o)
{
	if (o->prev != NULL)
		o->prev->next = o->next;
	else
		a->op_first = o->next;
	if (o->next != NULL)
		o->next->prev = o->prev;
	else
		a->op_last = o->prev;
	idx_remove(&a->op_by_forward_id, idx_hash_u64(o->forward_id), o);
	a->nops--;
	/* Messages of this step may still refer to the operation. */
	talloc_steal(a->step_ctx, o);
}

/* Frees the index; the operations belong to the agent. */
void
agent_op_finish(struct agent *a)
{
	idx_finish(&a->op_by_forward_id);
}

/* Makes agent_op_tick() run not later than at. */
static void
op_schedule(struct agent *a, struct timespec at)
{
	if (clk_before(at, a->next_op_at))
		a->next_op_at = at;
}

/* Sends an operation to the target. */
static void
op_send(struct agent *a, struct agent_op *o)
{
	Control__Forward *f = talloc(a->step_ctx, Control__Forward);

	if (f == NULL)
		abort();
	control__forward__init(f);
	f->id = o->forward_id;
	f->op = o->op;
	if (o->retry_ms != 0)
		ctr_add(&a->ctr, AGENT_C_RESENDS, 1);
	/* Exponential backoff, so that a slow leader isn't flooded. */
	o->retry_ms =
	    o->retry_ms == 0 ? agent_answer_timeout_ms(a) : 2 * o->retry_ms;
	o->retry_at = clk_add_ms(a->now, o->retry_ms);
	o->sent_to = a->target;
	if (o->nunanswered < AGENT_UNANSWERED_MAX)
		o->unanswered[o->nunanswered++] = o->sent_to;
	else
		o->unconfirmed = true;
	op_schedule(a, o->deadline);
	if (o->is_idempotent)
		op_schedule(a, o->retry_at);
	agent_msg_new(a, o->sent_to)->forward = f;
}

/* Starts an operation, which ends with exactly one REPLY. */
void
agent_op_start(struct agent *a, uint64_t id, const Control__Op *op)
{
	struct agent_op *o;

	ctr_add(&a->ctr, AGENT_C_OPS, 1);
	if (a->nops >= AGENT_OPS_MAX) {
		ctr_add(&a->ctr, AGENT_C_FULL, 1);
		op_reply_status(
		    a, id, STATUS_FULL, "too many operations are pending");
		return;
	}
	o = talloc_zero(a, struct agent_op);
	if (o == NULL)
		abort();
	o->id = id;
	o->forward_id = ++a->last_forward_id;
	o->op = pb_dup(o, op);
	o->is_idempotent = op_is_idempotent(op);
	o->deadline = clk_add_ms(a->now, a->conf.op_timeout_ms);
	o->prev = a->op_last;
	if (o->prev != NULL)
		o->prev->next = o;
	else
		a->op_first = o;
	a->op_last = o;
	idx_add(&a->op_by_forward_id, idx_hash_u64(o->forward_id), o);
	a->nops++;
	/* Sent directly, so that the other operations need no scan. */
	if (clk_before(a->now, a->paused_until))
		op_schedule(a, a->paused_until);
	else
		op_send(a, o);
}

/* Removes an instance from the unanswered sends of an operation. */
static bool
op_mark_answered(struct agent_op *o, uint32_t instance)
{
	unsigned i;

	for (i = 0; i < o->nunanswered; i++) {
		if (o->unanswered[i] == instance) {
			o->unanswered[i] = o->unanswered[--o->nunanswered];
			return true;
		}
	}
	return false;
}

/* Ends an operation whose outcome is unknown. */
static void
op_end_unknown(struct agent *a, struct agent_op *o)
{
	ctr_add(&a->ctr, AGENT_C_UNKNOWN, 1);
	op_reply_status(a, o->id,
	    o->op->query != NULL ? STATUS_TIMEOUT : STATUS_UNKNOWN,
	    "the operation was sent but not answered");
	op_remove(a, o);
}

/*
 * Handles the result of an operation. NOT_LEADER means that it had no effect,
 * so that it is sent to another instance; after UNKNOWN only an idempotent
 * operation is.
 */
void
agent_op_reply(struct agent *a, uint32_t from, const Control__ForwardReply *f)
{
	const Control__OpResult *r = f->result;
	struct agent_op *o = idx_find(
	    &a->op_by_forward_id, idx_hash_u64(f->id), op_matches, &f->id);

	if (o == NULL) {
		ctr_add(&a->ctr, AGENT_C_LATE, 1);
		return;
	}
	if (r->status != STATUS_NOT_LEADER && r->status != STATUS_UNKNOWN) {
		agent_peer_leads(a, from);
		op_reply(a, o->id, r);
		op_remove(a, o);
		return;
	}
	op_mark_answered(o, from);
	if (r->status == STATUS_UNKNOWN) {
		o->unconfirmed = true;
		if (!o->is_idempotent) {
			agent_peer_refused(a, from, r->term);
			op_end_unknown(a, o);
			return;
		}
	}
	agent_peer_refused(a, from, r->term);
	if (o->sent_to != from)
		return;
	o->sent_to = 0;
	o->retry_ms = 0;
	op_schedule(a, a->now);
}

/*
 * Handles the loss of the connection to an instance: operations sent to it are
 * sent again if they are idempotent, otherwise their outcome is unknown.
 */
void
agent_op_peer_down(struct agent *a, uint32_t instance)
{
	struct agent_op *o, *next;

	for (o = a->op_first; o != NULL; o = next) {
		next = o->next;
		if (o->sent_to != instance)
			continue;
		o->unconfirmed = true;
		o->sent_to = 0;
		op_schedule(a, a->now);
		if (!o->is_idempotent)
			op_end_unknown(a, o);
	}
}

/* Ends or sends an operation if it is due. */
static void
op_tick(struct agent *a, struct agent_op *o)
{
	if (!clk_before(a->now, o->deadline)) {
		if (o->unconfirmed || o->nunanswered > 0) {
			op_end_unknown(a, o);
			return;
		}
		ctr_add(&a->ctr, AGENT_C_UNAVAILABLE, 1);
		op_reply_status(a, o->id, STATUS_UNAVAILABLE,
		    "no leader was found before the timeout");
		op_remove(a, o);
		return;
	}
	if (o->sent_to != 0 && o->is_idempotent &&
	    !clk_before(a->now, o->retry_at)) {
		if (o->sent_to == a->target &&
		    clk_diff_ms(a->now, a->last_answer) >=
			agent_answer_timeout_ms(a))
			agent_peer_unresponsive(a, o->sent_to);
		o->sent_to = 0;
	}
	if (o->sent_to != 0) {
		op_schedule(a, o->deadline);
		if (o->is_idempotent)
			op_schedule(a, o->retry_at);
	} else if (clk_before(a->now, a->paused_until)) {
		op_schedule(a,
		    clk_before(o->deadline, a->paused_until) ? o->deadline
							     : a->paused_until);
	} else {
		op_send(a, o);
	}
}

/* Ends and sends the operations that are due. */
void
agent_op_tick(struct agent *a)
{
	struct agent_op *o, *next;

	if (clk_before(a->now, a->next_op_at))
		return;
	a->next_op_at = clk_from_ns(INT64_MAX);
	for (o = a->op_first; o != NULL; o = next) {
		next = o->next;
		op_tick(a, o);
	}
}
