#include <stdlib.h>
#include <string.h>

#include "control/cell_impl.h"
#include "control/pb.h"

/* Compares a worker with an epoch for the index. */
static bool
worker_matches(const void *object, const void *key)
{
	return ((const struct cell_worker *)object)->epoch ==
	    *(const uint64_t *)key;
}

/* Returns the leader's entry of a worker, or NULL. */
struct cell_worker *
cell_worker_find(struct cell *c, uint64_t epoch)
{
	return idx_find(
	    &c->workers, idx_hash_u64(epoch), worker_matches, &epoch);
}

/*
 * Adds a worker to the leases, grants and scheduler; it is ignored when its
 * epoch has ended or it was added before.
 */
void
cell_worker_up(struct cell *c, uint64_t epoch)
{
	const struct st_worker *sw = st_worker_get(c->st, epoch);
	struct cell_worker *w;
	struct sched_ev ev = { .kind = SCHED_EV_WORKER_UP };
	Control__WorkerUp *up;
	struct str *serves;
	size_t i;

	/* A later entry of the same batch may have ended the epoch. */
	if (sw == NULL || cell_worker_find(c, epoch) != NULL)
		return;
	up = st_worker_up(sw, c->step_ctx);
	w = talloc_zero(c->leader_ctx, struct cell_worker);
	serves = talloc_array(c->step_ctx, struct str, up->n_serves);
	if (w == NULL || serves == NULL)
		abort();
	w->epoch = epoch;
	idx_add(&c->workers, idx_hash_u64(epoch), w);
	lease_start(&c->lease, c->now, epoch);
	grant_update_worker(c->grant, c->now, epoch, up->slots,
	    up->has_connections ? up->connections : up->slots, sw->draining);
	for (i = 0; i < up->n_serves; i++)
		serves[i] = str_from(up->serves[i]);
	ev.u.worker.epoch = epoch;
	ev.u.worker.name = str_from(up->name);
	ev.u.worker.capacity.cpu_milli = (int64_t)up->cpu_milli;
	ev.u.worker.capacity.mem_mb = (int64_t)up->mem_mb;
	ev.u.worker.capacity.accel = up->accel;
	ev.u.worker.rack = str_from(up->rack);
	ev.u.worker.domain = str_from(up->domain);
	ev.u.worker.slots = up->slots;
	ev.u.worker.serves = serves;
	ev.u.worker.nserves = up->n_serves;
	cell_sched_step(c, &ev);
	if (sw->draining) {
		ev = (struct sched_ev){ .kind = SCHED_EV_WORKER_DRAIN };
		ev.u.epoch = epoch;
		cell_sched_step(c, &ev);
	}
}

/* Removes a worker from the leases, grants and scheduler. */
void
cell_worker_gone(struct cell *c, uint64_t epoch)
{
	struct cell_worker *w = cell_worker_find(c, epoch);
	struct sched_ev ev = { .kind = SCHED_EV_WORKER_LOST };

	if (w == NULL)
		return;
	lease_remove(&c->lease, epoch);
	grant_remove_worker(c->grant, epoch);
	idx_remove(&c->workers, idx_hash_u64(epoch), w);
	talloc_free(w);
	ev.u.epoch = epoch;
	cell_sched_step(c, &ev);
}

/* Removes the i-th queued order. */
static void
order_remove(struct cell_worker *w, size_t i)
{
	w->norders--;
	memmove(&w->orders[i], &w->orders[i + 1],
	    (w->norders - i) * sizeof(*w->orders));
}

/*
 * Queues an order until the worker reports that it was executed. It replaces
 * a queued order of the same kind for the same task.
 */
void
cell_order_add(struct cell *c, uint64_t epoch, const struct cell_order *order)
{
	struct cell_worker *w = cell_worker_find(c, epoch);
	size_t i;

	if (w == NULL)
		return;
	for (i = 0; i < w->norders; i++) {
		if (w->orders[i].task != order->task ||
		    w->orders[i].kind != order->kind)
			continue;
		order_remove(w, i);
		break;
	}
	if (w->norders == w->caporders) {
		w->caporders = w->caporders == 0 ? 4 : 2 * w->caporders;
		w->orders = talloc_realloc(
		    w, w->orders, struct cell_order, w->caporders);
		if (w->orders == NULL)
			abort();
	}
	w->orders[w->norders] = *order;
	/* Higher than any order of earlier leaders to the same epoch. */
	w->orders[w->norders++].seq = c->term << 32 | ++c->order_count;
}

/* Returns whether an order of this kind is queued for a task. */
static bool
order_is_queued(
    const struct cell_worker *w, Control__OrderKind kind, uint64_t task)
{
	size_t i;

	for (i = 0; i < w->norders; i++) {
		if (w->orders[i].task == task && w->orders[i].kind == kind)
			return true;
	}
	return false;
}

/* Records that a worker has executed an order. */
static void
executed_add(struct cell_worker *w, const struct cell_order *o)
{
	size_t i;

	if (o->kind == CONTROL__ORDER_KIND__ORDER_THROTTLE)
		return;
	for (i = 0; i < w->nexecuted && w->executed[i].task != o->task; i++)
		;
	if (i == w->capexecuted) {
		w->capexecuted = w->capexecuted == 0 ? 4 : 2 * w->capexecuted;
		w->executed = talloc_realloc(
		    w, w->executed, struct cell_executed_order, w->capexecuted);
		if (w->executed == NULL)
			abort();
	}
	if (i == w->nexecuted)
		w->nexecuted++;
	w->executed[i] =
	    (struct cell_executed_order){ o->task, o->seq, o->attempt };
}

/* Removes the orders up to seq, which the worker has executed. */
static void
orders_mark_executed(struct cell_worker *w, uint64_t seq)
{
	size_t n = 0;

	while (n < w->norders && w->orders[n].seq <= seq)
		executed_add(w, &w->orders[n++]);
	if (n == 0)
		return;
	w->norders -= n;
	memmove(w->orders, w->orders + n, w->norders * sizeof(*w->orders));
}

/* Forgets a task that has ended on the worker. */
void
cell_worker_task_gone(struct cell *c, uint64_t epoch, uint64_t task)
{
	struct cell_worker *w = cell_worker_find(c, epoch);
	size_t i;

	if (w == NULL)
		return;
	for (i = 0; i < w->nrunning; i++) {
		if (w->running[i] == task) {
			w->running[i] = w->running[--w->nrunning];
			break;
		}
	}
	for (i = 0; i < w->nexecuted; i++) {
		if (w->executed[i].task == task) {
			w->executed[i] = w->executed[--w->nexecuted];
			break;
		}
	}
}

/* Proposes the loss of every worker whose lease has expired. */
void
cell_leases_expire(struct cell *c)
{
	uint64_t epoch;

	while ((epoch = lease_next_expired(&c->lease, c->now)) != 0) {
		Control__Command *cmd = cell_command_new(c);

		cmd->has_worker_lost = 1;
		cmd->worker_lost = epoch;
		cell_propose(c, CELL_PROPOSAL_LOST, cmd)->epoch = epoch;
		ctr_add(&c->ctr, CELL_C_WORKERS_LOST, 1);
	}
}

/* Tells the scheduler that a task runs on a worker, once per attempt. */
static void
report_running(struct cell *c, uint64_t epoch, uint64_t task)
{
	const struct st_task *t = st_task_get(c->st, task);
	struct cell_worker *w = cell_worker_find(c, epoch);
	struct sched_ev ev = { .kind = SCHED_EV_TASK_RUNNING };
	size_t i;

	if (w == NULL || t == NULL || t->epoch != epoch)
		return;
	for (i = 0; i < w->nrunning; i++) {
		if (w->running[i] == task)
			return;
	}
	if (w->nrunning == w->caprunning) {
		w->caprunning = w->caprunning == 0 ? 4 : 2 * w->caprunning;
		w->running =
		    talloc_realloc(w, w->running, uint64_t, w->caprunning);
		if (w->running == NULL)
			abort();
	}
	w->running[w->nrunning++] = task;
	ev.u.task.task = task;
	ev.u.task.attempt = t->attempt;
	ev.u.task.epoch = epoch;
	cell_sched_step(c, &ev);
}

/* Passes the resource usage in a poll to the scheduler. */
static void
report_usage(struct cell *c, const Control__WorkerPoll *poll)
{
	struct sched_usage *v =
	    talloc_array(c->step_ctx, struct sched_usage, poll->n_usage);
	struct sched_ev ev = { .kind = SCHED_EV_USAGE };
	size_t i;

	if (poll->n_usage == 0 && !poll->has_cpu_used_milli)
		return;
	if (v == NULL)
		abort();
	for (i = 0; i < poll->n_usage; i++) {
		v[i].task = poll->usage[i]->task;
		v[i].cpu_milli = (int64_t)poll->usage[i]->cpu_milli;
		v[i].mem_mb = (int64_t)poll->usage[i]->mem_mb;
	}
	ev.u.usage.epoch = poll->epoch;
	ev.u.usage.age_ms = (int64_t)poll->usage_age_ms;
	ev.u.usage.used.cpu_milli = (int64_t)poll->cpu_used_milli;
	ev.u.usage.used.mem_mb = (int64_t)poll->mem_used_mb;
	ev.u.usage.tasks = v;
	ev.u.usage.n = poll->n_usage;
	cell_sched_step(c, &ev);
}

/* Returns whether the event changes the replicated state. */
static bool
event_is_replicated(const Control__TaskEvent *ev)
{
	return ev->kind != CONTROL__TASK_EVENT_KIND__TASK_RUNNING;
}

/* Proposes the events of a poll that aren't in the replicated state yet. */
static void
propose_poll_events(struct cell *c, struct cell_waiter *w,
    const struct st_worker *sw, const Control__WorkerPoll *poll)
{
	Control__Command *cmd;
	struct cell_proposal *p;
	size_t i, n = 0;

	w->poll->events_applied = true;
	if (!poll->has_event_seq || poll->n_events == 0)
		return;
	w->poll->event_ack = poll->event_seq;
	if (poll->event_seq <= sw->event_seq)
		return;
	cmd = cell_command_new(c);
	cmd->task_events =
	    talloc_array(c->step_ctx, Control__TaskEvent *, poll->n_events);
	if (cmd->task_events == NULL)
		abort();
	for (i = 0; i < poll->n_events; i++) {
		if (event_is_replicated(poll->events[i]))
			cmd->task_events[n++] = poll->events[i];
		else
			report_running(c, poll->epoch, poll->events[i]->task);
	}
	if (n == 0)
		return;
	cmd->n_task_events = n;
	cmd->has_events_epoch = cmd->has_event_seq = 1;
	cmd->events_epoch = poll->epoch;
	cmd->event_seq = poll->event_seq;
	p = cell_propose(c, CELL_PROPOSAL_EVENTS, cmd);
	p->waiter = w;
	w->poll->events_applied = false;
}

/* Returns whether a poll comes from the worker's current incarnation. */
static bool
poll_is_current(const struct st_worker *sw, const struct cell_poll *poll)
{
	return sw != NULL && sw->incarnation == poll->incarnation &&
	    str_eq_c(sw->name, poll->name);
}

/* Copies the parts of a poll that its answer depends on. */
static struct cell_poll *
poll_copy(TALLOC_CTX *ctx, const Control__WorkerPoll *m)
{
	struct cell_poll *p = talloc_zero(ctx, struct cell_poll);

	if (p == NULL)
		abort();
	p->epoch = m->epoch;
	p->incarnation = m->incarnation;
	p->order_seq = m->order_seq;
	p->name = str_cstr(p, str_from(m->name));
	p->nrunning = m->n_running;
	p->running = talloc_array(p, uint64_t, p->nrunning);
	if (p->running == NULL)
		abort();
	if (p->nrunning > 0)
		memcpy(p->running, m->running, p->nrunning * sizeof(uint64_t));
	p->events_applied = true;
	return p;
}

/*
 * Has a worker count its requests if slots may be held that only these can
 * hold. Before, a fence in the log tells later leaders that grants of earlier
 * terms are void. The order to count is a throttle of no task, which does
 * nothing: a poll that says it was carried out was made after it was given,
 * however long the poll was in transit.
 */
static void
order_count(struct cell *c, struct cell_worker *w)
{
	struct cell_order o = { .kind = CONTROL__ORDER_KIND__ORDER_THROTTLE,
		.percent = 100 };

	if (w->count_order != 0 ||
	    !grant_wants_count(c->grant, c->now, w->epoch))
		return;
	if (c->grant_fence_term == c->term) {
		cell_order_add(c, w->epoch, &o);
		w->count_order = w->orders[w->norders - 1].seq;
	} else if (!c->fence_proposed) {
		Control__Command *cmd = cell_command_new(c);

		control__command__init(cmd);
		cell_propose(c, CELL_PROPOSAL_FENCE, cmd);
		c->fence_proposed = true;
	}
}

/* Passes the count of requests in a poll to the grants. */
static void
report_running_requests(struct cell *c, const struct cell_worker *w,
    const Control__WorkerPoll *poll)
{
	if (w->count_order != 0 && poll->has_running_requests &&
	    poll->has_order_seq && poll->order_seq >= w->count_order)
		grant_set_running(
		    c->grant, poll->epoch, poll->running_requests);
}

/*
 * Handles a poll of a worker and renews its lease from now. The answer waits
 * until the reported events are durable and leadership is confirmed: a leader
 * that has been replaced must not renew a lease.
 */
void
cell_handle_poll(
    struct cell *c, struct cell_caller caller, const Control__WorkerPoll *poll)
{
	const struct st_worker *sw = st_worker_get(c->st, poll->epoch);
	struct cell_worker *cw = cell_worker_find(c, poll->epoch);
	struct cell_waiter *w = cell_waiter_add(c, CELL_WAITER_POLL, caller);
	size_t i;

	ctr_add(&c->ctr, CELL_C_POLLS, 1);
	w->poll = poll_copy(w, poll);
	if (cw == NULL || !poll_is_current(sw, w->poll) ||
	    !lease_renew(&c->lease, c->now, poll->epoch))
		return;
	if (poll->has_order_seq)
		orders_mark_executed(cw, poll->order_seq);
	w->poll->events_complete = true;
	propose_poll_events(c, w, sw, poll);
	for (i = 0; i < poll->n_running; i++)
		report_running(c, poll->epoch, poll->running[i]);
	grant_set_overdue(c->grant, poll->epoch, poll->overdue);
	report_running_requests(c, cw, poll);
	report_usage(c, poll);
}

/* Returns whether a poll reports a task as running. */
static bool
poll_lists_task(const struct cell_poll *poll, uint64_t task)
{
	size_t i;

	for (i = 0; i < poll->nrunning; i++) {
		if (poll->running[i] == task)
			return true;
	}
	return false;
}

/*
 * Requeues the throttle of a task behind its START: a worker that doesn't
 * have the task yet would drop the throttle and run the task at full speed.
 */
static void
throttle_behind_start(struct cell *c, struct cell_worker *w, uint64_t task)
{
	size_t i;

	for (i = 0; i < w->norders; i++) {
		struct cell_order o = w->orders[i];

		if (o.task == task &&
		    o.kind == CONTROL__ORDER_KIND__ORDER_THROTTLE) {
			cell_order_add(c, w->epoch, &o);
			return;
		}
	}
}

/*
 * Repeats unconfirmed orders of earlier leaders. A worker ignores a START of
 * an attempt that it has received before.
 */
static void
orders_repeat_unconfirmed(struct cell *c, struct cell_worker *w,
    const struct st_worker *sw, const struct cell_poll *poll)
{
	uint32_t i;

	for (i = 0; i < sw->ntasks; i++) {
		const struct st_task *t = st_task_get(c->st, sw->tasks[i]);
		struct cell_order o = { .kind = CONTROL__ORDER_KIND__ORDER_STOP,
			.task = sw->tasks[i] };

		if (t == NULL)
			continue;
		if (t->state == ST_TASK_ASSIGNED) {
			o.kind = CONTROL__ORDER_KIND__ORDER_START;
			if (poll_lists_task(poll, o.task))
				continue;
		}
		o.attempt = t->attempt;
		if (order_is_queued(w, o.kind, o.task))
			continue;
		cell_order_add(c, w->epoch, &o);
		if (o.kind == CONTROL__ORDER_KIND__ORDER_START)
			throttle_behind_start(c, w, o.task);
	}
}

/* Stops orphaned runs: tasks on the worker that aren't assigned to it. */
static void
orders_stop_orphaned(
    struct cell *c, struct cell_worker *w, const struct cell_poll *poll)
{
	size_t i;

	for (i = 0; i < poll->nrunning; i++) {
		const struct st_task *t = st_task_get(c->st, poll->running[i]);
		struct cell_order o = { .kind = CONTROL__ORDER_KIND__ORDER_STOP,
			.task = poll->running[i] };

		if ((t == NULL || t->epoch != w->epoch) &&
		    !order_is_queued(w, o.kind, o.task))
			cell_order_add(c, w->epoch, &o);
	}
}

/*
 * Ends tasks that a worker lost without reporting it. Once a worker has
 * executed an order, its poll lists the task as running or carries the event
 * that ended it, unless that event is already applied. Otherwise the task is
 * lost.
 */
static void
tasks_end_lost(
    struct cell *c, struct cell_worker *w, const struct cell_poll *poll)
{
	Control__Command *cmd = NULL;
	size_t i;

	for (i = 0; poll->order_seq != 0 && i < w->nexecuted; i++) {
		const struct cell_executed_order *x = &w->executed[i];
		const struct st_task *t = st_task_get(c->st, x->task);
		Control__TaskEvent *e;

		if (x->seq > poll->order_seq || t == NULL ||
		    t->epoch != w->epoch || t->attempt != x->attempt ||
		    poll_lists_task(poll, x->task))
			continue;
		if (cmd == NULL) {
			cmd = cell_command_new(c);
			cmd->has_events_epoch = cmd->has_event_seq = 1;
			cmd->events_epoch = w->epoch;
			cmd->task_events = talloc_array(
			    c->step_ctx, Control__TaskEvent *, w->nexecuted);
		}
		e = talloc(c->step_ctx, Control__TaskEvent);
		if (e == NULL || cmd->task_events == NULL)
			abort();
		control__task_event__init(e);
		e->task = x->task;
		e->attempt = x->attempt;
		e->kind = CONTROL__TASK_EVENT_KIND__TASK_STOPPED;
		cmd->task_events[cmd->n_task_events++] = e;
		ctr_add(&c->ctr, CELL_C_TASKS_VANISHED, 1);
	}
	if (cmd != NULL)
		cell_propose(c, CELL_PROPOSAL_INTERNAL, cmd);
}

/* Builds the message for an order; returns NULL if the order is obsolete. */
static Control__Order *
order_to_msg(struct cell *c, uint64_t epoch, const struct cell_order *o)
{
	Control__Order *m = talloc(c->step_ctx, Control__Order);
	const struct st_job *j = st_job_get(c->st, o->task >> ST_TASK_BITS);
	const struct st_task *t = st_task_get(c->st, o->task);
	Control__JobSpec *spec;

	if (m == NULL)
		abort();
	control__order__init(m);
	m->seq = o->seq;
	m->kind = o->kind;
	m->task = o->task;
	m->attempt = o->attempt;
	m->epoch = epoch;
	if (o->kind == CONTROL__ORDER_KIND__ORDER_THROTTLE) {
		m->has_percent = 1;
		m->percent = o->percent;
	}
	if (o->kind != CONTROL__ORDER_KIND__ORDER_START)
		return m;
	/* Obsolete: the job was cancelled while the order was queued. */
	if (j == NULL || t == NULL || t->epoch != epoch ||
	    t->attempt != o->attempt || t->state != ST_TASK_ASSIGNED)
		return NULL;
	spec = st_job_spec(j, c->step_ctx);
	m->has_cpu_milli = m->has_mem_mb = m->has_accel = 1;
	m->cpu_milli = o->limit.cpu_milli > 0 ? (uint64_t)o->limit.cpu_milli
					      : spec->cpu_milli;
	m->mem_mb =
	    o->limit.mem_mb > 0 ? (uint64_t)o->limit.mem_mb : spec->mem_mb;
	m->accel = spec->accel;
	m->has_resume_from = 1;
	m->resume_from = t->progress;
	m->payload = spec->payload;
	m->class_name = spec->class_name;
	m->has_run_ms = spec->has_run_ms;
	m->run_ms = spec->run_ms;
	return m;
}

/* Answers a poll once leadership is confirmed and its events are durable. */
void
cell_poll_answer(struct cell *c, struct cell_waiter *w)
{
	const struct cell_poll *poll = w->poll;
	const struct st_worker *sw = st_worker_get(c->st, poll->epoch);
	struct cell_worker *cw = cell_worker_find(c, poll->epoch);
	Control__OpResult *r = talloc(c->step_ctx, Control__OpResult);
	size_t i;

	if (r == NULL)
		abort();
	control__op_result__init(r);
	if (cw == NULL || !poll_is_current(sw, poll) ||
	    !lease_is_held(&c->lease, c->now, poll->epoch)) {
		ctr_add(&c->ctr, CELL_C_POLLS_STALE, 1);
		cell_reply_status(c, w->caller, STATUS_STALE,
		    "the worker's epoch has ended; announce again");
		return;
	}
	if (!cw->has_polled)
		orders_repeat_unconfirmed(c, cw, sw, poll);
	cw->has_polled = true;
	order_count(c, cw);
	orders_stop_orphaned(c, cw, poll);
	if (w->poll->events_complete)
		tasks_end_lost(c, cw, poll);
	r->has_epoch = r->has_lease_ms = r->has_poll_ms = 1;
	r->epoch = poll->epoch;
	r->lease_ms = (uint64_t)c->conf.lease_ms;
	r->poll_ms = (uint64_t)c->conf.poll_ms;
	if (w->poll->event_ack != 0) {
		r->has_event_ack = 1;
		r->event_ack = w->poll->event_ack;
	}
	r->orders =
	    talloc_array(c->step_ctx, Control__Order *, CELL_POLL_ORDERS_MAX);
	if (r->orders == NULL)
		abort();
	for (i = 0; i < cw->norders && r->n_orders < CELL_POLL_ORDERS_MAX;) {
		Control__Order *o = order_to_msg(c, cw->epoch, &cw->orders[i]);

		if (o == NULL) {
			order_remove(cw, i);
			continue;
		}
		r->orders[r->n_orders++] = o;
		i++;
	}
	cell_reply(c, w->caller, r);
}
