#include <stdlib.h>

#include "control/cell_impl.h"
#include "control/pb.h"

/* Adds something that is answered once leadership is proven. */
struct cell_wait *
cell_wait(struct cell *c, enum cell_wait_kind kind, struct cell_from from)
{
	struct cell_wait *w = talloc_zero(c, struct cell_wait);

	if (w == NULL)
		abort();
	w->kind = kind;
	w->from = from;
	*c->wait_end = w;
	c->wait_end = &w->next;
	c->nwait++;
	return w;
}

/*
 * Starts one proof of leadership for all that came since the last one. At
 * most one is under way, so that any number of heartbeats and polls share it.
 */
bool
cell_wait_confirm(struct cell *c)
{
	struct raft_ev ev = { .kind = RAFT_EV_CONFIRM };
	struct cell_wait *w;
	enum status status;
	bool any = false;

	if (!c->serving || c->confirm_open)
		return false;
	for (w = c->wait_first; w != NULL; w = w->next) {
		if (w->confirm != 0)
			continue;
		w->confirm = c->confirm_last + 1;
		any = true;
	}
	if (!any)
		return false;
	ev.u.confirm = ++c->confirm_last;
	c->confirm_open = true;
	ctr_add(&c->ctr, CELL_C_CONFIRMS, 1);
	cell_raft(c, &ev, &status);
	return !c->confirm_open;
}

/* Answers a leave; an epoch that is not current has ended before. */
static void
leave_answer(struct cell *c, const struct cell_wait *w)
{
	const struct st_worker *sw =
	    st_worker_named(c->st, str_from(w->leave->name));
	Control__Command *cmd;
	struct cell_pend *p;

	if (sw == NULL || sw->incarnation != w->leave->incarnation) {
		cell_reply_status(c, w->from, STATUS_OK, NULL);
		return;
	}
	cmd = cell_command(c);
	cmd->has_worker_lost = 1;
	cmd->worker_lost = sw->epoch;
	p = cell_propose(c, CELL_PEND_LEAVE, cmd);
	p->from = w->from;
}

/* Returns whether the wait is over. */
static bool
wait_answer(struct cell *c, struct cell_wait *w)
{
	switch (w->kind) {
	case CELL_WAIT_BEAT:
		cell_beat_answer(c, w->from.instance);
		return true;
	case CELL_WAIT_POLL:
		w->poll->confirmed = true;
		if (!w->poll->applied)
			return false;
		cell_poll_answer(c, w);
		return true;
	case CELL_WAIT_QUERY:
		cell_query(c, w->from, w->query);
		return true;
	case CELL_WAIT_LEAVE:
		leave_answer(c, w);
		return true;
	}
	return true;
}

/* Answers all that leadership has been proven for. */
void
cell_wait_answer(struct cell *c)
{
	struct cell_wait **at = &c->wait_first, *w;

	while ((w = *at) != NULL) {
		/* Confirm numbers ascend along the list. */
		if (w->confirm == 0 || w->confirm > c->confirm_done)
			break;
		if (!wait_answer(c, w)) {
			at = &w->next;
			continue;
		}
		*at = w->next;
		if (w->next == NULL)
			c->wait_end = at;
		c->nwait--;
		talloc_free(w);
	}
}

/* Tells everything that waits that this replica does not lead. */
void
cell_wait_fail(struct cell *c)
{
	struct cell_wait *w;

	while ((w = c->wait_first) != NULL) {
		c->wait_first = w->next;
		if (w->kind != CELL_WAIT_BEAT)
			cell_reply_not_leader(c, w->from, STATUS_NOT_LEADER);
		talloc_free(w);
	}
	c->wait_end = &c->wait_first;
	c->nwait = 0;
}

/*
 * Keeps what comes between the election and the first commit of the term,
 * which is one round trip and one sync away; refusing it would send the
 * caller off to look for another leader.
 */
bool
cell_hold(struct cell *c, struct cell_from from, const Control__Op *op,
    const Control__Beat *beat)
{
	struct cell_held *h;

	if (!c->leading || c->nheld >= CELL_WAITING_MAX)
		return false;
	h = talloc_zero(c, struct cell_held);
	if (h == NULL)
		abort();
	h->from = from;
	h->op = op == NULL ? NULL : pb_dup(h, op);
	h->beat = beat == NULL ? NULL : pb_dup(h, beat);
	*c->held_end = h;
	c->held_end = &h->next;
	c->nheld++;
	return true;
}

static struct cell_held *
held_take(struct cell *c)
{
	struct cell_held *h = c->held_first;

	if (h == NULL)
		return NULL;
	c->held_first = h->next;
	if (c->held_first == NULL)
		c->held_end = &c->held_first;
	c->nheld--;
	talloc_steal(c->step, h);
	return h;
}

/* Handles all that was kept, in the order of its arrival. */
void
cell_held_run(struct cell *c)
{
	struct cell_held *h;

	while ((h = held_take(c)) != NULL) {
		if (h->op != NULL)
			cell_op(c, h->from, h->op);
		else
			cell_beat(c, h->from.instance, h->beat);
	}
}

/* Refuses all that was kept: this replica no longer leads. */
void
cell_held_fail(struct cell *c)
{
	struct cell_held *h;

	while ((h = held_take(c)) != NULL) {
		if (h->op != NULL)
			cell_reply_not_leader(c, h->from, STATUS_NOT_LEADER);
	}
}
