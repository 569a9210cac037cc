#include <stdlib.h>
#include <string.h>

#include "control/cell_impl.h"
#include "control/pb.h"

/* Sends the result of an operation to its caller; each gets exactly one. */
void
cell_reply(struct cell *c, struct cell_caller caller, Control__OpResult *r)
{
	Control__ForwardReply *f = talloc(c->step_ctx, Control__ForwardReply);

	if (f == NULL)
		abort();
	control__forward_reply__init(f);
	f->id = caller.id;
	f->result = r;
	cell_msg_new(c, caller.instance)->forward_reply = f;
}

/* Creates a result in memory of the step; message may be NULL. */
static Control__OpResult *
result_new(struct cell *c, enum status status, const char *message)
{
	Control__OpResult *r = talloc(c->step_ctx, Control__OpResult);

	if (r == NULL)
		abort();
	control__op_result__init(r);
	r->status = status;
	if (message != NULL)
		r->message = str_cstr(c->step_ctx, str_from(message));
	return r;
}

/* Sends a result of only a status and a message, which may be NULL. */
void
cell_reply_status(struct cell *c, struct cell_caller caller, enum status status,
    const char *message)
{
	cell_reply(c, caller, result_new(c, status, message));
}

/*
 * Returns the term to report in a refusal: the current one, but at least 1,
 * since callers take 0 to mean an instance without a replica.
 */
uint64_t
cell_refusal_term(const struct cell *c)
{
	uint64_t term = raft_term(c->raft);

	return term == 0 ? 1 : term;
}

/*
 * Refuses an operation and reports the known leader. status is
 * STATUS_NOT_LEADER when the operation has certainly not been accepted,
 * otherwise STATUS_UNKNOWN.
 */
void
cell_reply_not_leader(
    struct cell *c, struct cell_caller caller, enum status status)
{
	Control__OpResult *r = result_new(c, status,
	    status == STATUS_UNKNOWN ? "leadership was lost before commit"
				     : "this instance is not the leader");

	ctr_add(&c->ctr,
	    status == STATUS_UNKNOWN ? CELL_C_UNKNOWN : CELL_C_NOT_LEADER, 1);
	r->has_leader = r->has_term = 1;
	r->leader = raft_leader_instance(c->raft);
	r->term = cell_refusal_term(c);
	cell_reply(c, caller, r);
}

/* Creates an empty command with the current time, valid for this step. */
Control__Command *
cell_command_new(struct cell *c)
{
	Control__Command *cmd = talloc(c->step_ctx, Control__Command);

	if (cmd == NULL)
		abort();
	control__command__init(cmd);
	cmd->has_now_ms = 1;
	cmd->now_ms = (uint64_t)c->wall_ms;
	return cmd;
}

/* Packs a command and adds it to the batch that is proposed next. */
struct cell_proposal *
cell_propose(
    struct cell *c, enum cell_proposal_kind kind, Control__Command *cmd)
{
	struct cell_proposal *p = talloc_zero(c, struct cell_proposal);

	if (p == NULL)
		abort();
	p->kind = kind;
	p->record = pb_pack(p, cmd);
	*c->batch_end = p;
	c->batch_end = &p->next;
	c->nbatch++;
	return p;
}

/* Adds the assignments collected so far to the batch as one record. */
void
cell_assignments_close(struct cell *c)
{
	Control__Command *cmd = c->assignments;
	struct cell_proposal *p;
	size_t i;

	if (cmd == NULL)
		return;
	c->assignments = NULL;
	p = cell_propose(c, CELL_PROPOSAL_ASSIGN, cmd);
	p->ntasks = cmd->n_assign;
	p->tasks = talloc_array(p, uint64_t, p->ntasks);
	if (p->tasks == NULL)
		abort();
	for (i = 0; i < p->ntasks; i++)
		p->tasks[i] = cmd->assign[i]->task;
	talloc_free(cmd);
}

/*
 * Fails the records from first on, the newest ones, which the log has refused.
 */
static void
cell_proposals_withdraw(
    struct cell *c, struct cell_proposal *first, enum status status)
{
	struct cell_proposal **at = &c->proposed_first, *p;

	while (*at != NULL && *at != first)
		at = &(*at)->next;
	/* Losing the leadership in this step has failed them already. */
	if (*at == NULL)
		return;
	*at = NULL;
	c->proposed_end = at;
	if (status == STATUS_UNAVAILABLE)
		status = STATUS_NOT_LEADER;
	while ((p = first) != NULL) {
		first = p->next;
		cell_proposal_fail(c, p, status);
	}
}

/* Proposes the records of the batch in one append. */
void
cell_propose_batch(struct cell *c)
{
	struct raft_ev ev = { .kind = RAFT_EV_PROPOSE };
	struct cell_proposal *p, *first, **end;
	enum status status;
	struct str *data;
	size_t n = 0;

	cell_assignments_close(c);
	data = talloc_array(c->step_ctx, struct str, c->nbatch);
	if (data == NULL)
		abort();
	for (p = c->batch_first; p != NULL; p = p->next)
		data[n++] = p->record;
	first = c->batch_first;
	end = c->batch_end;
	c->batch_first = NULL;
	c->batch_end = &c->batch_first;
	c->nbatch = 0;
	ev.u.propose.data = data;
	ev.u.propose.n = n;
	/* Listed before the step, which may commit them at once. */
	*c->proposed_end = first;
	c->proposed_end = end;
	cell_raft_step(c, &ev, &status);
	if (status != STATUS_OK)
		cell_proposals_withdraw(c, first, status);
}

/*
 * Ends a proposed record that wasn't committed: STATUS_UNKNOWN when it may
 * still be, any other status when it certainly will not.
 */
void
cell_proposal_fail(struct cell *c, struct cell_proposal *p, enum status status)
{
	size_t i;

	switch (p->kind) {
	case CELL_PROPOSAL_OP:
	case CELL_PROPOSAL_LEAVE:
		if (status == STATUS_NOT_LEADER || status == STATUS_UNKNOWN)
			cell_reply_not_leader(c, p->caller, status);
		else
			cell_reply_status(c, p->caller, status,
			    "the log did not accept the operation");
		break;
	case CELL_PROPOSAL_EVENTS:
		/* Without an acknowledgement the worker resends them. */
		p->waiter->poll->event_ack = 0;
		p->waiter->poll->events_complete = false;
		p->waiter->poll->events_applied = true;
		break;
	case CELL_PROPOSAL_LOST:
		if (c->serving)
			lease_report_again(&c->lease, p->epoch);
		break;
	case CELL_PROPOSAL_ASSIGN:
		for (i = 0; c->serving && i < p->ntasks; i++)
			cell_assignment_refused(c, p->tasks[i]);
		break;
	case CELL_PROPOSAL_FENCE:
		c->fence_proposed = false;
		break;
	case CELL_PROPOSAL_INTERNAL:
		break;
	}
	talloc_free(p);
}

/*
 * Returns whether the claimant of a key has restarted since, in which case it
 * will never record an outcome.
 */
static bool
claimant_has_restarted(struct cell *c, const struct st_key *k)
{
	const struct cell_instance *n = k == NULL || !c->serving
	    ? NULL
	    : cell_instance_find(c, k->instance);

	return n != NULL && n->incarnation != k->incarnation;
}

/* Adds the state of an idempotency key and a recorded answer. */
static void
result_add_key(
    struct cell *c, Control__OpResult *r, const struct st_result *res)
{
	r->has_key_state = 1;
	r->key_state = res->key_state;
	if (res->key_state == CONTROL__KEY_STATE__KEY_STATE_RUNNING &&
	    claimant_has_restarted(c, res->key))
		r->key_state = CONTROL__KEY_STATE__KEY_STATE_UNKNOWN;
	if (res->key_state != CONTROL__KEY_STATE__KEY_STATE_RECORDED ||
	    res->key == NULL)
		return;
	r->has_http_status = r->has_body = 1;
	r->http_status = res->key->http_status;
	r->body = pb_bytes(str_dup(c->step_ctx, st_key_body(res->key)));
	if (res->key->type_len > 0)
		r->content_type = str_cstr(c->step_ctx, st_key_type(res->key));
}

/* Sends the result of an operation that was applied. */
static void
op_applied(
    struct cell *c, const struct cell_proposal *p, const struct st_result *res)
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
		/* The lease starts with the announcement. */
		if (c->serving && p->epoch != 0 && res->status == STATUS_OK &&
		    !lease_renew(&c->lease, c->now, res->epoch)) {
			r->status = STATUS_UNAVAILABLE;
			r->message = str_cstr(c->step_ctx,
			    str_from("the lease is about to expire; announce "
				     "again"));
		}
	}
	if (res->key_state != 0 || p->ntasks != 0)
		result_add_key(c, r, res);
	cell_reply(c, p->caller, r);
}

/* Ends a proposed record that was applied and answers its caller. */
void
cell_proposal_applied(
    struct cell *c, struct cell_proposal *p, const struct st_result *res)
{
	switch (p->kind) {
	case CELL_PROPOSAL_OP:
		op_applied(c, p, res);
		break;
	case CELL_PROPOSAL_LEAVE:
		cell_reply_status(c, p->caller, STATUS_OK, NULL);
		break;
	case CELL_PROPOSAL_EVENTS:
		p->waiter->poll->events_applied = true;
		break;
	case CELL_PROPOSAL_LOST:
	case CELL_PROPOSAL_ASSIGN:
	case CELL_PROPOSAL_FENCE:
	case CELL_PROPOSAL_INTERNAL:
		break;
	}
	talloc_free(p);
}

/* Returns whether the applied member list contains a replica. */
static bool
is_member(const struct cell *c, uint64_t replica)
{
	size_t i;

	for (i = 0; i < c->nmembers; i++) {
		if (c->members[i].replica == replica)
			return true;
	}
	return false;
}

/* Answers the membership change under way if it is now in effect. */
void
cell_member_op_applied(struct cell *c)
{
	struct cell_member_op *m = &c->member_op;

	if (!m->is_active || is_member(c, m->replica) != m->is_add)
		return;
	m->is_active = false;
	cell_reply_status(c, m->caller, STATUS_OK, NULL);
}

/* Starts a membership change; it is answered when it is in effect. */
static void
op_change_members(
    struct cell *c, struct cell_caller caller, const Control__Op *op)
{
	struct raft_ev ev = { .kind = RAFT_EV_MEMBER_REMOVE };
	enum status status;

	if (c->member_op.is_active) {
		cell_reply_status(c, caller, STATUS_FULL,
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
	c->member_op.caller = caller;
	c->member_op.is_add = op->member_add != NULL;
	c->member_op.replica = ev.u.member.replica;
	c->member_op.is_active = true;
	cell_raft_step(c, &ev, &status);
	if (status == STATUS_OK || !c->member_op.is_active)
		return;
	c->member_op.is_active = false;
	if (status == STATUS_NOT_LEADER || status == STATUS_UNAVAILABLE)
		cell_reply_not_leader(c, caller, STATUS_NOT_LEADER);
	else if (status == STATUS_EXISTS || status == STATUS_NOT_FOUND)
		cell_reply_status(c, caller, STATUS_OK, NULL);
	else
		cell_reply_status(
		    c, caller, status, "the membership change was refused");
}

/* Copies an operation into cmd; returns false if it needs no log record. */
static bool
op_to_command(Control__Command *cmd, const Control__Op *op)
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

/* Handles an operation of this instance's agent or a forwarded one. */
void
cell_handle_op(struct cell *c, struct cell_caller caller, const Control__Op *op)
{
	Control__Command *cmd;
	struct cell_proposal *p;
	struct cell_waiter *w;

	ctr_add(&c->ctr, CELL_C_OPS, 1);
	if (!c->serving) {
		if (!cell_defer(c, caller, op, NULL))
			cell_reply_not_leader(c, caller, STATUS_NOT_LEADER);
		return;
	}
	if (c->nwaiters >= CELL_WAITERS_MAX) {
		ctr_add(&c->ctr, CELL_C_FULL, 1);
		cell_reply_status(
		    c, caller, STATUS_FULL, "too many operations are pending");
		return;
	}
	cmd = cell_command_new(c);
	if (op_to_command(cmd, op)) {
		if (protobuf_c_message_get_packed_size(&cmd->base) >
		    RAFT_INFLIGHT_BYTES_MAX) {
			cell_reply_status(
			    c, caller, STATUS_LIMIT, "operation is too large");
			return;
		}
		p = cell_propose(c, CELL_PROPOSAL_OP, cmd);
		p->caller = caller;
		/* op_applied() needs these to complete the result. */
		p->epoch = op->worker_up != NULL;
		p->ntasks = op->key_claim != NULL;
	} else if (op->worker_poll != NULL) {
		cell_handle_poll(c, caller, op->worker_poll);
	} else if (op->query != NULL) {
		w = cell_waiter_add(c, CELL_WAITER_QUERY, caller);
		w->query = pb_dup(w, op->query);
	} else if (op->worker_leave != NULL) {
		w = cell_waiter_add(c, CELL_WAITER_LEAVE, caller);
		w->leave = pb_dup(w, op->worker_leave);
	} else if (op->member_add != NULL || op->member_remove != NULL) {
		op_change_members(c, caller, op);
	} else {
		cell_reply_status(
		    c, caller, STATUS_INVALID, "unknown kind of operation");
	}
}
