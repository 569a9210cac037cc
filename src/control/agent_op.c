#include <stdlib.h>
#include <string.h>

#include "control/agent_impl.h"
#include "control/pb.h"

/*
 * Operations that a second copy cannot change the effect of: they carry a
 * change id, a claim, an incarnation or a job id that is never used again. A
 * drain names a worker whose next start must not be drained by a late copy.
 */
static bool
op_repeatable(const Control__Op *op)
{
	return op->config_set != NULL || op->worker_up != NULL ||
	    op->worker_poll != NULL || op->worker_leave != NULL ||
	    op->job_submit != NULL || op->job_cancel != NULL ||
	    op->key_claim != NULL || op->key_done != NULL || op->query != NULL;
}

static void
op_reply(struct agent *a, uint64_t id, const Control__OpResult *r)
{
	struct agent_act *act = agent_act(a, AGENT_ACT_REPLY);

	act->u.reply.id = id;
	act->u.reply.result = r;
}

static void
op_reply_status(
    struct agent *a, uint64_t id, enum status status, const char *message)
{
	Control__OpResult *r = talloc(a->step, Control__OpResult);

	if (r == NULL)
		abort();
	control__op_result__init(r);
	r->status = status;
	r->message = str_cstr(a->step, str_from(message));
	op_reply(a, id, r);
}

static bool
op_is(const void *object, const void *key)
{
	return ((const struct agent_op *)object)->fid == *(const uint64_t *)key;
}

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
	idx_remove(&a->op_by_fid, idx_hash_u64(o->fid), o);
	a->nops--;
	/* Messages of this step may point into the operation. */
	talloc_steal(a->step, o);
}

/* Frees the index; the operations belong to the agent. */
void
agent_op_finish(struct agent *a)
{
	idx_finish(&a->op_by_fid);
}

static void
op_due(struct agent *a, struct timespec at)
{
	if (clk_before(at, a->op_due))
		a->op_due = at;
}

static void
op_send(struct agent *a, struct agent_op *o)
{
	Control__Forward *f = talloc(a->step, Control__Forward);

	if (f == NULL)
		abort();
	control__forward__init(f);
	f->id = o->fid;
	f->op = o->op;
	if (o->try_ms != 0)
		ctr_add(&a->ctr, AGENT_C_RESENDS, 1);
	/* Longer after each send, so that a slow leader is not flooded. */
	o->try_ms = o->try_ms == 0 ? agent_patience_ms(a) : 2 * o->try_ms;
	o->try_until = clk_add_ms(a->now, o->try_ms);
	o->at = a->target;
	if (o->ntried < AGENT_TRIES_MAX)
		o->tried[o->ntried++] = o->at;
	else
		o->lost = true;
	op_due(a, o->deadline);
	if (o->repeatable)
		op_due(a, o->try_until);
	agent_msg(a, o->at)->forward = f;
}

/* Starts an operation; it ends in exactly one REPLY. */
void
agent_op_start(struct agent *a, uint64_t id, const Control__Op *op)
{
	struct agent_op *o;

	ctr_add(&a->ctr, AGENT_C_OPS, 1);
	if (a->nops >= AGENT_OPS_MAX) {
		ctr_add(&a->ctr, AGENT_C_FULL, 1);
		op_reply_status(a, id, STATUS_FULL, "too many operations wait");
		return;
	}
	o = talloc_zero(a, struct agent_op);
	if (o == NULL)
		abort();
	o->id = id;
	o->fid = ++a->fid;
	o->op = pb_dup(o, op);
	o->repeatable = op_repeatable(op);
	o->deadline = clk_add_ms(a->now, a->conf.op_timeout_ms);
	o->prev = a->op_last;
	if (o->prev != NULL)
		o->prev->next = o;
	else
		a->op_first = o;
	a->op_last = o;
	idx_add(&a->op_by_fid, idx_hash_u64(o->fid), o);
	a->nops++;
	/* The others need no look at when this one can leave at once. */
	if (clk_before(a->now, a->pause))
		op_due(a, a->pause);
	else
		op_send(a, o);
}

static bool
op_answered(struct agent_op *o, uint32_t instance)
{
	unsigned i;

	for (i = 0; i < o->ntried; i++) {
		if (o->tried[i] == instance) {
			o->tried[i] = o->tried[--o->ntried];
			return true;
		}
	}
	return false;
}

/* Ends an operation whose outcome cannot be known. */
static void
op_unknown(struct agent *a, struct agent_op *o)
{
	ctr_add(&a->ctr, AGENT_C_UNKNOWN, 1);
	op_reply_status(a, o->id,
	    o->op->query != NULL ? STATUS_TIMEOUT : STATUS_UNKNOWN,
	    "sent, but no answer came");
	op_remove(a, o);
}

/*
 * Takes a result. NOT_LEADER says that nothing was done, so any operation may
 * be sent elsewhere; UNKNOWN allows it only for one that can be repeated.
 */
void
agent_op_reply(struct agent *a, uint32_t from, const Control__ForwardReply *f)
{
	const Control__OpResult *r = f->result;
	struct agent_op *o =
	    idx_find(&a->op_by_fid, idx_hash_u64(f->id), op_is, &f->id);

	if (o == NULL) {
		ctr_add(&a->ctr, AGENT_C_LATE, 1);
		return;
	}
	if (r->status != STATUS_NOT_LEADER && r->status != STATUS_UNKNOWN) {
		agent_led(a, from);
		op_reply(a, o->id, r);
		op_remove(a, o);
		return;
	}
	op_answered(o, from);
	if (r->status == STATUS_UNKNOWN) {
		o->lost = true;
		if (!o->repeatable) {
			agent_refused(a, from, r->term);
			op_unknown(a, o);
			return;
		}
	}
	agent_refused(a, from, r->term);
	if (o->at != from)
		return;
	o->at = 0;
	o->try_ms = 0;
	op_due(a, a->now);
}

/* Deals with operations that were sent to an instance that is unreachable. */
void
agent_op_down(struct agent *a, uint32_t instance)
{
	struct agent_op *o, *next;

	for (o = a->op_first; o != NULL; o = next) {
		next = o->next;
		if (o->at != instance)
			continue;
		o->lost = true;
		o->at = 0;
		op_due(a, a->now);
		if (!o->repeatable)
			op_unknown(a, o);
	}
}

/* Handles one operation whose time may have come; it may end. */
static void
op_tick(struct agent *a, struct agent_op *o)
{
	if (!clk_before(a->now, o->deadline)) {
		if (o->lost || o->ntried > 0) {
			op_unknown(a, o);
			return;
		}
		ctr_add(&a->ctr, AGENT_C_UNAVAILABLE, 1);
		op_reply_status(
		    a, o->id, STATUS_UNAVAILABLE, "no leader was found");
		op_remove(a, o);
		return;
	}
	if (o->at != 0 && o->repeatable && !clk_before(a->now, o->try_until)) {
		if (o->at == a->target &&
		    clk_diff_ms(a->now, a->heard) >= agent_patience_ms(a))
			agent_silent(a, o->at);
		o->at = 0;
	}
	if (o->at != 0) {
		op_due(a, o->deadline);
		if (o->repeatable)
			op_due(a, o->try_until);
	} else if (clk_before(a->now, a->pause)) {
		op_due(a,
		    clk_before(o->deadline, a->pause) ? o->deadline : a->pause);
	} else {
		op_send(a, o);
	}
}

/* Ends and sends operations as far as their time has come. */
void
agent_op_tick(struct agent *a)
{
	struct agent_op *o, *next;

	if (clk_before(a->now, a->op_due))
		return;
	a->op_due = clk_from_ns(INT64_MAX);
	for (o = a->op_first; o != NULL; o = next) {
		next = o->next;
		op_tick(a, o);
	}
}
