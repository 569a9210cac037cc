#include <stdlib.h>
#include <string.h>

#include "control/cell_impl.h"
#include "control/pb.h"

/* Sends a result to where its operation came from; each gets exactly one. */
void
cell_reply(struct cell *c, struct cell_from from, Control__OpResult *r)
{
	Control__ForwardReply *f = talloc(c->step, Control__ForwardReply);

	if (f == NULL)
		abort();
	control__forward_reply__init(f);
	f->id = from.id;
	f->result = r;
	cell_msg(c, from.instance)->forward_reply = f;
}

static Control__OpResult *
result_new(struct cell *c, enum status status, const char *message)
{
	Control__OpResult *r = talloc(c->step, Control__OpResult);

	if (r == NULL)
		abort();
	control__op_result__init(r);
	r->status = status;
	if (message != NULL)
		r->message = str_cstr(c->step, str_from(message));
	return r;
}

/* Sends a result that consists of a status and a message, which may be NULL. */
void
cell_reply_status(struct cell *c, struct cell_from from, enum status status,
    const char *message)
{
	cell_reply(c, from, result_new(c, status, message));
}

/*
 * Returns the term that a refusal names. A replica that has heard of no term
 * names 1, since callers take 0 for an instance without a replica.
 */
uint64_t
cell_named_term(const struct cell *c)
{
	uint64_t term = raft_term(c->raft);

	return term == 0 ? 1 : term;
}

/*
 * Refuses an operation and names the leader that is known. status is
 * STATUS_NOT_LEADER when the operation has certainly not been accepted, else
 * STATUS_UNKNOWN.
 */
void
cell_reply_not_leader(struct cell *c, struct cell_from from, enum status status)
{
	Control__OpResult *r = result_new(c, status,
	    status == STATUS_UNKNOWN ? "leadership was lost before commit"
				     : "this instance does not lead");

	ctr_add(&c->ctr,
	    status == STATUS_UNKNOWN ? CELL_C_UNKNOWN : CELL_C_NOT_LEADER, 1);
	r->has_leader = r->has_term = 1;
	r->leader = raft_leader_instance(c->raft);
	r->term = cell_named_term(c);
	cell_reply(c, from, r);
}

/* Makes an empty record with the current time, in memory of the step. */
Control__Command *
cell_command(struct cell *c)
{
	Control__Command *cmd = talloc(c->step, Control__Command);

	if (cmd == NULL)
		abort();
	control__command__init(cmd);
	cmd->has_now_ms = 1;
	cmd->now_ms = (uint64_t)c->wall_ms;
	return cmd;
}

/* Adds a record to those that this step proposes together. */
struct cell_pend *
cell_propose(struct cell *c, enum cell_pend_kind kind, Control__Command *cmd)
{
	struct cell_pend *p = talloc_zero(c, struct cell_pend);

	if (p == NULL)
		abort();
	p->kind = kind;
	p->data = pb_pack(p, cmd);
	*c->batch_end = p;
	c->batch_end = &p->next;
	c->nbatch++;
	return p;
}

/* Turns the assignments collected so far into a record of the batch. */
void
cell_assign_end(struct cell *c)
{
	Control__Command *cmd = c->assign;
	struct cell_pend *p;
	size_t i;

	if (cmd == NULL)
		return;
	c->assign = NULL;
	p = cell_propose(c, CELL_PEND_ASSIGN, cmd);
	p->ntasks = cmd->n_assign;
	p->tasks = talloc_array(p, uint64_t, p->ntasks);
	if (p->tasks == NULL)
		abort();
	for (i = 0; i < p->ntasks; i++)
		p->tasks[i] = cmd->assign[i]->task;
	talloc_free(cmd);
}

/* Takes records that the log refused, the newest ones, off the list. */
static void
cell_unpropose(struct cell *c, struct cell_pend *first, enum status status)
{
	struct cell_pend **at = &c->pend_first, *p;

	while (*at != NULL && *at != first)
		at = &(*at)->next;
	/* None is left when the step ended the leadership. */
	if (*at == NULL)
		return;
	*at = NULL;
	c->pend_end = at;
	if (status == STATUS_UNAVAILABLE)
		status = STATUS_NOT_LEADER;
	while ((p = first) != NULL) {
		first = p->next;
		cell_pend_fail(c, p, status);
	}
}

/* Proposes the batch as one append. */
void
cell_flush(struct cell *c)
{
	struct raft_ev ev = { .kind = RAFT_EV_PROPOSE };
	struct cell_pend *p, *first, **end;
	enum status status;
	struct str *data;
	size_t n = 0;

	cell_assign_end(c);
	data = talloc_array(c->step, struct str, c->nbatch);
	if (data == NULL)
		abort();
	for (p = c->batch_first; p != NULL; p = p->next)
		data[n++] = p->data;
	first = c->batch_first;
	end = c->batch_end;
	c->batch_first = NULL;
	c->batch_end = &c->batch_first;
	c->nbatch = 0;
	ev.u.propose.data = data;
	ev.u.propose.n = n;
	/* In the list before the step, which may commit at once. */
	*c->pend_end = first;
	c->pend_end = end;
	cell_raft(c, &ev, &status);
	if (status != STATUS_OK)
		cell_unpropose(c, first, status);
}

/* Answers a record that has certainly not been, or may have been, accepted. */
void
cell_pend_fail(struct cell *c, struct cell_pend *p, enum status status)
{
	size_t i;

	switch (p->kind) {
	case CELL_PEND_OP:
	case CELL_PEND_LEAVE:
		if (status == STATUS_NOT_LEADER || status == STATUS_UNKNOWN)
			cell_reply_not_leader(c, p->from, status);
		else
			cell_reply_status(c, p->from, status,
			    "the log does not accept the record");
		break;
	case CELL_PEND_EVENTS:
		/* The worker sends its events again. */
		p->poll->poll->event_ack = 0;
		p->poll->poll->complete = false;
		p->poll->poll->applied = true;
		break;
	case CELL_PEND_LOST:
		if (c->serving)
			lease_retry(&c->lease, p->epoch);
		break;
	case CELL_PEND_ASSIGN:
		for (i = 0; c->serving && i < p->ntasks; i++)
			cell_assign_refused(c, p->tasks[i]);
		break;
	case CELL_PEND_INTERNAL:
		break;
	}
	talloc_free(p);
}

/* A claimant that has restarted since will never record an end. */
static bool
claimant_gone(struct cell *c, const struct st_key *k)
{
	const struct cell_inst *n =
	    k == NULL || !c->serving ? NULL : cell_inst(c, k->instance);

	return n != NULL && n->incarnation != k->incarnation;
}

static void
result_key(struct cell *c, Control__OpResult *r, const struct st_result *res)
{
	r->has_key_state = 1;
	r->key_state = res->key_state;
	if (res->key_state == CONTROL__KEY_STATE__KEY_STATE_RUNNING &&
	    claimant_gone(c, res->key))
		r->key_state = CONTROL__KEY_STATE__KEY_STATE_UNKNOWN;
	if (res->key_state != CONTROL__KEY_STATE__KEY_STATE_RECORDED ||
	    res->key == NULL)
		return;
	r->has_http_status = r->has_body = 1;
	r->http_status = res->key->http_status;
	r->body = pb_bytes(str_dup(c->step, st_key_body(res->key)));
	if (res->key->type_len > 0)
		r->content_type = str_cstr(c->step, st_key_type(res->key));
}

static void
op_applied(
    struct cell *c, const struct cell_pend *p, const struct st_result *res)
{
	Control__OpResult *r = result_new(c, res->status, res->message);

	if (res->status != STATUS_OK)
		ctr_add(&c->ctr, CELL_C_REFUSED, 1);
	if (res->version != 0) {
		r->has_version = 1;
		r->version = res->version;
	}
	if (res->id != 0) {
		r->has_id = 1;
		r->id = res->id;
	}
	if (res->epoch != 0) {
		r->has_epoch = r->has_lease_ms = r->has_poll_ms = 1;
		r->epoch = res->epoch;
		r->lease_ms = (uint64_t)c->conf.lease_ms;
		r->poll_ms = (uint64_t)c->conf.poll_ms;
		/* The worker counts its lease from this announcement. */
		if (c->serving && p->epoch != 0 && res->status == STATUS_OK &&
		    !lease_renew(&c->lease, c->now, res->epoch)) {
			r->status = STATUS_UNAVAILABLE;
			r->message = str_cstr(c->step,
			    str_from("the lease is ending; announce again"));
		}
	}
	if (res->key_state != 0 || p->ntasks != 0)
		result_key(c, r, res);
	cell_reply(c, p->from, r);
}

/* Answers a record that has been applied with its result. */
void
cell_applied(struct cell *c, struct cell_pend *p, const struct st_result *res)
{
	switch (p->kind) {
	case CELL_PEND_OP:
		op_applied(c, p, res);
		break;
	case CELL_PEND_LEAVE:
		cell_reply_status(c, p->from, STATUS_OK, NULL);
		break;
	case CELL_PEND_EVENTS:
		p->poll->poll->applied = true;
		break;
	case CELL_PEND_LOST:
	case CELL_PEND_ASSIGN:
	case CELL_PEND_INTERNAL:
		break;
	}
	talloc_free(p);
}

static bool
members_have(const struct cell *c, uint64_t replica)
{
	size_t i;

	for (i = 0; i < c->nmembers; i++) {
		if (c->members[i].replica == replica)
			return true;
	}
	return false;
}

/* Answers a membership change once its entry is applied. */
void
cell_member_applied(struct cell *c)
{
	struct cell_member_op *m = &c->member_op;

	if (!m->active || members_have(c, m->replica) != m->add)
		return;
	m->active = false;
	cell_reply_status(c, m->from, STATUS_OK, NULL);
}

static void
op_member(struct cell *c, struct cell_from from, const Control__Op *op)
{
	struct raft_ev ev = { .kind = RAFT_EV_MEMBER_REMOVE };
	enum status status;

	if (c->member_op.active) {
		cell_reply_status(c, from, STATUS_FULL,
		    "another membership change is under way");
		return;
	}
	if (op->member_add != NULL) {
		ev.kind = RAFT_EV_MEMBER_ADD;
		ev.u.member.instance = op->member_add->instance;
		ev.u.member.domain = str_from(op->member_add->domain);
		ev.u.member.replica = op->member_add->replica;
	} else {
		ev.u.member.replica = op->member_remove->replica;
	}
	c->member_op.from = from;
	c->member_op.add = op->member_add != NULL;
	c->member_op.replica = ev.u.member.replica;
	c->member_op.active = true;
	cell_raft(c, &ev, &status);
	if (status == STATUS_OK || !c->member_op.active)
		return;
	c->member_op.active = false;
	if (status == STATUS_NOT_LEADER || status == STATUS_UNAVAILABLE)
		cell_reply_not_leader(c, from, STATUS_NOT_LEADER);
	else if (status == STATUS_EXISTS || status == STATUS_NOT_FOUND)
		cell_reply_status(c, from, STATUS_OK, NULL);
	else
		cell_reply_status(
		    c, from, status, "the group refuses the change");
}

static bool
op_logged(Control__Command *cmd, const Control__Op *op)
{
	cmd->config_set = op->config_set;
	cmd->worker_up = op->worker_up;
	cmd->worker_drain = op->worker_drain;
	cmd->job_submit = op->job_submit;
	cmd->job_cancel = op->job_cancel;
	cmd->key_claim = op->key_claim;
	cmd->key_done = op->key_done;
	return op->config_set != NULL || op->worker_up != NULL ||
	    op->worker_drain != NULL || op->job_submit != NULL ||
	    op->job_cancel != NULL || op->key_claim != NULL ||
	    op->key_done != NULL;
}

/* Handles an operation of the own instance or a forwarded one. */
void
cell_op(struct cell *c, struct cell_from from, const Control__Op *op)
{
	Control__Command *cmd;
	struct cell_pend *p;
	struct cell_wait *w;

	ctr_add(&c->ctr, CELL_C_OPS, 1);
	if (!c->serving) {
		if (!cell_hold(c, from, op, NULL))
			cell_reply_not_leader(c, from, STATUS_NOT_LEADER);
		return;
	}
	if (c->nwait >= CELL_WAITING_MAX) {
		ctr_add(&c->ctr, CELL_C_FULL, 1);
		cell_reply_status(
		    c, from, STATUS_FULL, "too many operations wait");
		return;
	}
	cmd = cell_command(c);
	if (op_logged(cmd, op)) {
		if (protobuf_c_message_get_packed_size(&cmd->base) >
		    RAFT_WINDOW_BYTES) {
			cell_reply_status(
			    c, from, STATUS_LIMIT, "operation is too large");
			return;
		}
		p = cell_propose(c, CELL_PEND_OP, cmd);
		p->from = from;
		/* Marks an announcement and a claim for their results. */
		p->epoch = op->worker_up != NULL;
		p->ntasks = op->key_claim != NULL;
	} else if (op->worker_poll != NULL) {
		cell_poll(c, from, op->worker_poll);
	} else if (op->query != NULL) {
		w = cell_wait(c, CELL_WAIT_QUERY, from);
		w->query = pb_dup(w, op->query);
	} else if (op->worker_leave != NULL) {
		w = cell_wait(c, CELL_WAIT_LEAVE, from);
		w->leave = pb_dup(w, op->worker_leave);
	} else if (op->member_add != NULL || op->member_remove != NULL) {
		op_member(c, from, op);
	} else {
		cell_reply_status(
		    c, from, STATUS_INVALID, "unknown kind of operation");
	}
}
