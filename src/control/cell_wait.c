#include <stdlib.h>

#include "control/cell_impl.h"
#include "control/pb.h"

/* Adds a request that is answered once leadership is confirmed. */
struct cell_waiter *
cell_waiter_add(
    struct cell *c, enum cell_waiter_kind kind, struct cell_caller caller)
{
	struct cell_waiter *w = talloc_zero(c, struct cell_waiter);

	if (w == NULL)
		abort();
	w->kind = kind;
	w->caller = caller;
	*c->waiter_end = w;
	c->waiter_end = &w->next;
	c->nwaiters++;
	return w;
}

/*
 * Starts a confirmation of leadership for all waiting requests that have none.
 * At most one is under way, so that any number of heartbeats and polls share
 * it. Returns true if it was confirmed at once.
 */
bool
cell_confirm_leadership(struct cell *c)
{
	struct raft_ev ev = { .kind = RAFT_EV_CONFIRM_LEADERSHIP };
	struct cell_waiter *w;
	enum status status;
	bool any = false;

	if (!c->serving || c->confirm_pending)
		return false;
	for (w = c->waiter_first; w != NULL; w = w->next) {
		if (w->confirm_id != 0)
			continue;
		w->confirm_id = c->confirm_last_id + 1;
		any = true;
	}
	if (!any)
		return false;
	ev.u.confirm = ++c->confirm_last_id;
	c->confirm_pending = true;
	ctr_add(&c->ctr, CELL_C_CONFIRMS, 1);
	cell_raft_step(c, &ev, &status);
	return !c->confirm_pending;
}

/* Ends the epoch of a worker that leaves, if it is still current. */
static void
leave_answer(struct cell *c, const struct cell_waiter *w)
{
	const struct st_worker *sw =
	    st_worker_get_by_name(c->st, str_from(w->leave->name));
	Control__Command *cmd;
	struct cell_proposal *p;

	if (sw == NULL || sw->incarnation != w->leave->incarnation) {
		cell_reply_status(c, w->caller, STATUS_OK, NULL);
		return;
	}
	cmd = cell_command_new(c);
	cmd->has_worker_lost = 1;
	cmd->worker_lost = sw->epoch;
	p = cell_propose(c, CELL_PROPOSAL_LEAVE, cmd);
	p->caller = w->caller;
}

/* Answers a request if it is complete; returns whether it was answered. */
static bool
waiter_answer(struct cell *c, struct cell_waiter *w)
{
	switch (w->kind) {
	case CELL_WAITER_HEARTBEAT:
		cell_heartbeat_answer(c, w->caller.instance);
		return true;
	case CELL_WAITER_POLL:
		w->poll->leadership_confirmed = true;
		if (!w->poll->events_applied)
			return false;
		cell_poll_answer(c, w);
		return true;
	case CELL_WAITER_QUERY:
		cell_handle_query(c, w->caller, w->query);
		return true;
	case CELL_WAITER_LEAVE:
		leave_answer(c, w);
		return true;
	}
	return true;
}

/* Answers the requests for which leadership is confirmed. */
void
cell_waiters_answer(struct cell *c)
{
	struct cell_waiter **at = &c->waiter_first, *w;

	while ((w = *at) != NULL) {
		/* Confirmation numbers ascend along the list. */
		if (w->confirm_id == 0 || w->confirm_id > c->confirm_done_id)
			break;
		if (!waiter_answer(c, w)) {
			at = &w->next;
			continue;
		}
		*at = w->next;
		if (w->next == NULL)
			c->waiter_end = at;
		c->nwaiters--;
		talloc_free(w);
	}
}

/*
 * Refuses all waiting requests since this replica no longer leads. Heartbeats
 * get no answer; they are sent again anyway.
 */
void
cell_waiters_refuse(struct cell *c)
{
	struct cell_waiter *w;

	while ((w = c->waiter_first) != NULL) {
		c->waiter_first = w->next;
		if (w->kind != CELL_WAITER_HEARTBEAT)
			cell_reply_not_leader(c, w->caller, STATUS_NOT_LEADER);
		talloc_free(w);
	}
	c->waiter_end = &c->waiter_first;
	c->nwaiters = 0;
}

/*
 * Stores an operation or heartbeat until this leader begins to serve. The
 * first commit of the term is one round trip and one disk sync away; a refusal
 * would make the caller search for another leader. Returns false when this
 * replica doesn't lead or too many are stored.
 */
bool
cell_defer(struct cell *c, struct cell_caller caller, const Control__Op *op,
    const Control__Beat *heartbeat)
{
	struct cell_deferred *h;

	if (!c->leading || c->ndeferred >= CELL_WAITERS_MAX)
		return false;
	h = talloc_zero(c, struct cell_deferred);
	if (h == NULL)
		abort();
	h->caller = caller;
	h->op = op == NULL ? NULL : pb_dup(h, op);
	h->heartbeat = heartbeat == NULL ? NULL : pb_dup(h, heartbeat);
	*c->deferred_end = h;
	c->deferred_end = &h->next;
	c->ndeferred++;
	return true;
}

/* Removes the first deferred request; it is valid for this step. */
static struct cell_deferred *
deferred_take(struct cell *c)
{
	struct cell_deferred *h = c->deferred_first;

	if (h == NULL)
		return NULL;
	c->deferred_first = h->next;
	if (c->deferred_first == NULL)
		c->deferred_end = &c->deferred_first;
	c->ndeferred--;
	talloc_steal(c->step_ctx, h);
	return h;
}

/* Handles the deferred requests in the order of their arrival. */
void
cell_deferred_run(struct cell *c)
{
	struct cell_deferred *h;

	while ((h = deferred_take(c)) != NULL) {
		if (h->op != NULL)
			cell_handle_op(c, h->caller, h->op);
		else
			cell_handle_heartbeat(
			    c, h->caller.instance, h->heartbeat);
	}
}

/* Refuses the deferred operations since this replica no longer leads. */
void
cell_deferred_refuse(struct cell *c)
{
	struct cell_deferred *h;

	while ((h = deferred_take(c)) != NULL) {
		if (h->op != NULL)
			cell_reply_not_leader(c, h->caller, STATUS_NOT_LEADER);
	}
}
