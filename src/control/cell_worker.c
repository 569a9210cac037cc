#include <stdlib.h>
#include <string.h>

#include "control/cell_impl.h"
#include "control/pb.h"

static bool
worker_is(const void *object, const void *key)
{
	return ((const struct cell_worker *)object)->epoch ==
	    *(const uint64_t *)key;
}

/* Returns what the leader holds of a worker, or NULL. */
struct cell_worker *
cell_worker(struct cell *c, uint64_t epoch)
{
	return idx_find(&c->workers, idx_hash_u64(epoch), worker_is, &epoch);
}

/* Starts lease, grants and placement of a worker with a current epoch. */
void
cell_worker_up(struct cell *c, uint64_t epoch)
{
	const struct st_worker *sw = st_worker_get(c->st, epoch);
	struct cell_worker *w;
	struct sched_ev ev = { .kind = SCHED_EV_WORKER_UP };
	Control__WorkerUp *up;
	struct str *serves;
	size_t i;

	/* A later entry of the same batch may have ended it. */
	if (sw == NULL || cell_worker(c, epoch) != NULL)
		return;
	up = st_worker_up(sw, c->step);
	w = talloc_zero(c->lead, struct cell_worker);
	serves = talloc_array(c->step, struct str, up->n_serves);
	if (w == NULL || serves == NULL)
		abort();
	w->epoch = epoch;
	idx_add(&c->workers, idx_hash_u64(epoch), w);
	lease_add(&c->lease, c->now, epoch);
	grant_worker(c->grant, c->now, epoch, up->slots,
	    up->has_connections ? up->connections : up->slots, sw->draining);
	for (i = 0; i < up->n_serves; i++)
		serves[i] = str_from(up->serves[i]);
	ev.u.worker.epoch = epoch;
	ev.u.worker.name = str_from(up->name);
	ev.u.worker.cap.cpu_milli = (int64_t)up->cpu_milli;
	ev.u.worker.cap.mem_mb = (int64_t)up->mem_mb;
	ev.u.worker.cap.accel = up->accel;
	ev.u.worker.rack = str_from(up->rack);
	ev.u.worker.domain = str_from(up->domain);
	ev.u.worker.slots = up->slots;
	ev.u.worker.serves = serves;
	ev.u.worker.nserves = up->n_serves;
	cell_sched(c, &ev);
	if (sw->draining) {
		ev = (struct sched_ev){ .kind = SCHED_EV_WORKER_DRAIN };
		ev.u.epoch = epoch;
		cell_sched(c, &ev);
	}
}

/* Ends lease, grants and placement of a worker. */
void
cell_worker_gone(struct cell *c, uint64_t epoch)
{
	struct cell_worker *w = cell_worker(c, epoch);
	struct sched_ev ev = { .kind = SCHED_EV_WORKER_LOST };

	if (w == NULL)
		return;
	lease_remove(&c->lease, epoch);
	grant_worker_gone(c->grant, epoch);
	idx_remove(&c->workers, idx_hash_u64(epoch), w);
	talloc_free(w);
	ev.u.epoch = epoch;
	cell_sched(c, &ev);
}

static void
order_remove(struct cell_worker *w, size_t i)
{
	w->norders--;
	memmove(&w->orders[i], &w->orders[i + 1],
	    (w->norders - i) * sizeof(*w->orders));
}

/*
 * Queues an order until the worker has carried it out. A newer throttle or
 * stop of the same task replaces the one that is still queued.
 */
void
cell_order_add(struct cell *c, uint64_t epoch, const struct cell_order *order)
{
	struct cell_worker *w = cell_worker(c, epoch);
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
	/* Above all orders of earlier leaders to the same epoch. */
	w->orders[w->norders++].seq = c->term << 32 | ++c->order_count;
}

static bool
order_has(const struct cell_worker *w, Control__OrderKind kind, uint64_t task)
{
	size_t i;

	for (i = 0; i < w->norders; i++) {
		if (w->orders[i].task == task && w->orders[i].kind == kind)
			return true;
	}
	return false;
}

static void
had_add(struct cell_worker *w, const struct cell_order *o)
{
	size_t i;

	if (o->kind == CONTROL__ORDER_KIND__ORDER_THROTTLE)
		return;
	for (i = 0; i < w->nhad && w->had[i].task != o->task; i++)
		;
	if (i == w->caphad) {
		w->caphad = w->caphad == 0 ? 4 : 2 * w->caphad;
		w->had = talloc_realloc(w, w->had, struct cell_had, w->caphad);
		if (w->had == NULL)
			abort();
	}
	if (i == w->nhad)
		w->nhad++;
	w->had[i] = (struct cell_had){ o->task, o->seq, o->attempt };
}

static void
orders_done(struct cell_worker *w, uint64_t seq)
{
	size_t n = 0;

	while (n < w->norders && w->orders[n].seq <= seq)
		had_add(w, &w->orders[n++]);
	if (n == 0)
		return;
	w->norders -= n;
	memmove(w->orders, w->orders + n, w->norders * sizeof(*w->orders));
}

/* Forgets what is known of a task that has left the worker. */
void
cell_worker_task_gone(struct cell *c, uint64_t epoch, uint64_t task)
{
	struct cell_worker *w = cell_worker(c, epoch);
	size_t i;

	if (w == NULL)
		return;
	for (i = 0; i < w->nrunning; i++) {
		if (w->running[i] == task) {
			w->running[i] = w->running[--w->nrunning];
			break;
		}
	}
	for (i = 0; i < w->nhad; i++) {
		if (w->had[i].task == task) {
			w->had[i] = w->had[--w->nhad];
			break;
		}
	}
}

/* Declares workers lost whose leases ended, all in one append. */
void
cell_lease_check(struct cell *c)
{
	uint64_t epoch;

	while ((epoch = lease_expired(&c->lease, c->now)) != 0) {
		Control__Command *cmd = cell_command(c);

		cmd->has_worker_lost = 1;
		cmd->worker_lost = epoch;
		cell_propose(c, CELL_PEND_LOST, cmd)->epoch = epoch;
		ctr_add(&c->ctr, CELL_C_WORKERS_LOST, 1);
	}
}

static void
feed_running(struct cell *c, uint64_t epoch, uint64_t task)
{
	const struct st_task *t = st_task_get(c->st, task);
	struct cell_worker *w = cell_worker(c, epoch);
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
	cell_sched(c, &ev);
}

static void
feed_usage(struct cell *c, const Control__WorkerPoll *poll)
{
	struct sched_usage *v =
	    talloc_array(c->step, struct sched_usage, poll->n_usage);
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
	cell_sched(c, &ev);
}

/* Tells whether the event changes the replicated state. */
static bool
event_logged(const Control__TaskEvent *ev)
{
	return ev->kind != CONTROL__TASK_EVENT_KIND__TASK_RUNNING;
}

/* Proposes the events of a poll that the state does not have yet. */
static void
poll_events(struct cell *c, struct cell_wait *w, const struct st_worker *sw,
    const Control__WorkerPoll *poll)
{
	Control__Command *cmd;
	struct cell_pend *p;
	size_t i, n = 0;

	w->poll->applied = true;
	if (!poll->has_event_seq || poll->n_events == 0)
		return;
	w->poll->event_ack = poll->event_seq;
	if (poll->event_seq <= sw->event_seq)
		return;
	cmd = cell_command(c);
	cmd->task_events =
	    talloc_array(c->step, Control__TaskEvent *, poll->n_events);
	if (cmd->task_events == NULL)
		abort();
	for (i = 0; i < poll->n_events; i++) {
		if (event_logged(poll->events[i]))
			cmd->task_events[n++] = poll->events[i];
		else
			feed_running(c, poll->epoch, poll->events[i]->task);
	}
	if (n == 0)
		return;
	cmd->n_task_events = n;
	cmd->has_events_epoch = cmd->has_event_seq = 1;
	cmd->events_epoch = poll->epoch;
	cmd->event_seq = poll->event_seq;
	p = cell_propose(c, CELL_PEND_EVENTS, cmd);
	p->poll = w;
	w->poll->applied = false;
}

static bool
poll_current(const struct st_worker *sw, const struct cell_poll *poll)
{
	return sw != NULL && sw->incarnation == poll->incarnation &&
	    str_eq_c(sw->name, poll->name);
}

/* Keeps what the answer depends on. */
static struct cell_poll *
poll_new(TALLOC_CTX *ctx, const Control__WorkerPoll *m)
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
	p->applied = true;
	return p;
}

/*
 * Takes a poll in. Its lease runs from now; the answer waits for proof of
 * leadership, since a leader that has been replaced must not renew a lease,
 * and for its events to be durable.
 */
void
cell_poll(
    struct cell *c, struct cell_from from, const Control__WorkerPoll *poll)
{
	const struct st_worker *sw = st_worker_get(c->st, poll->epoch);
	struct cell_worker *cw = cell_worker(c, poll->epoch);
	struct cell_wait *w = cell_wait(c, CELL_WAIT_POLL, from);
	size_t i;

	ctr_add(&c->ctr, CELL_C_POLLS, 1);
	w->poll = poll_new(w, poll);
	if (cw == NULL || !poll_current(sw, w->poll) ||
	    !lease_renew(&c->lease, c->now, poll->epoch))
		return;
	if (poll->has_order_seq)
		orders_done(cw, poll->order_seq);
	w->poll->complete = true;
	poll_events(c, w, sw, poll);
	for (i = 0; i < poll->n_running; i++)
		feed_running(c, poll->epoch, poll->running[i]);
	grant_overdue(c->grant, poll->epoch, poll->overdue);
	feed_usage(c, poll);
}

static bool
poll_runs(const struct cell_poll *poll, uint64_t task)
{
	size_t i;

	for (i = 0; i < poll->nrunning; i++) {
		if (poll->running[i] == task)
			return true;
	}
	return false;
}

/*
 * Moves a queued throttle of a task behind its START: a worker that does not
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
 * Repeats orders that an earlier leader may or may not have delivered. A
 * worker ignores a START of an attempt that it has had before.
 */
static void
orders_recover(struct cell *c, struct cell_worker *w,
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
			if (poll_runs(poll, o.task))
				continue;
		}
		o.attempt = t->attempt;
		if (order_has(w, o.kind, o.task))
			continue;
		cell_order_add(c, w->epoch, &o);
		if (o.kind == CONTROL__ORDER_KIND__ORDER_START)
			throttle_behind_start(c, w, o.task);
	}
}

/* Stops what the worker runs although the state does not place it there. */
static void
orders_strangers(
    struct cell *c, struct cell_worker *w, const struct cell_poll *poll)
{
	size_t i;

	for (i = 0; i < poll->nrunning; i++) {
		const struct st_task *t = st_task_get(c->st, poll->running[i]);
		struct cell_order o = { .kind = CONTROL__ORDER_KIND__ORDER_STOP,
			.task = poll->running[i] };

		if ((t == NULL || t->epoch != w->epoch) &&
		    !order_has(w, o.kind, o.task))
			cell_order_add(c, w->epoch, &o);
	}
}

/*
 * Ends tasks that a worker no longer has and says nothing about. A poll sent
 * after an order was carried out lists the task, or holds its event, or that
 * event is applied by now; else the worker has lost the task.
 */
static void
tasks_vanished(
    struct cell *c, struct cell_worker *w, const struct cell_poll *poll)
{
	Control__Command *cmd = NULL;
	size_t i;

	for (i = 0; poll->order_seq != 0 && i < w->nhad; i++) {
		const struct cell_had *h = &w->had[i];
		const struct st_task *t = st_task_get(c->st, h->task);
		Control__TaskEvent *e;

		if (h->seq > poll->order_seq || t == NULL ||
		    t->epoch != w->epoch || t->attempt != h->attempt ||
		    poll_runs(poll, h->task))
			continue;
		if (cmd == NULL) {
			cmd = cell_command(c);
			cmd->has_events_epoch = cmd->has_event_seq = 1;
			cmd->events_epoch = w->epoch;
			cmd->task_events = talloc_array(
			    c->step, Control__TaskEvent *, w->nhad);
		}
		e = talloc(c->step, Control__TaskEvent);
		if (e == NULL || cmd->task_events == NULL)
			abort();
		control__task_event__init(e);
		e->task = h->task;
		e->attempt = h->attempt;
		e->kind = CONTROL__TASK_EVENT_KIND__TASK_STOPPED;
		cmd->task_events[cmd->n_task_events++] = e;
		ctr_add(&c->ctr, CELL_C_TASKS_VANISHED, 1);
	}
	if (cmd != NULL)
		cell_propose(c, CELL_PEND_INTERNAL, cmd);
}

static Control__Order *
order_fill(struct cell *c, uint64_t epoch, const struct cell_order *o)
{
	Control__Order *m = talloc(c->step, Control__Order);
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
	/* Superseded while it waited: the job was cancelled. */
	if (j == NULL || t == NULL || t->epoch != epoch ||
	    t->attempt != o->attempt || t->state != ST_TASK_ASSIGNED)
		return NULL;
	spec = st_job_spec(j, c->step);
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

/* Answers a poll: leadership is proven and its events are durable. */
void
cell_poll_answer(struct cell *c, struct cell_wait *w)
{
	const struct cell_poll *poll = w->poll;
	const struct st_worker *sw = st_worker_get(c->st, poll->epoch);
	struct cell_worker *cw = cell_worker(c, poll->epoch);
	Control__OpResult *r = talloc(c->step, Control__OpResult);
	size_t i;

	if (r == NULL)
		abort();
	control__op_result__init(r);
	if (cw == NULL || !poll_current(sw, poll) ||
	    !lease_held(&c->lease, c->now, poll->epoch)) {
		ctr_add(&c->ctr, CELL_C_POLLS_STALE, 1);
		cell_reply_status(c, w->from, STATUS_STALE,
		    "the worker's epoch has ended; announce again");
		return;
	}
	if (!cw->polled)
		orders_recover(c, cw, sw, poll);
	cw->polled = true;
	orders_strangers(c, cw, poll);
	if (w->poll->complete)
		tasks_vanished(c, cw, poll);
	r->has_epoch = r->has_lease_ms = r->has_poll_ms = 1;
	r->epoch = poll->epoch;
	r->lease_ms = (uint64_t)c->conf.lease_ms;
	r->poll_ms = (uint64_t)c->conf.poll_ms;
	if (w->poll->event_ack != 0) {
		r->has_event_ack = 1;
		r->event_ack = w->poll->event_ack;
	}
	r->orders = talloc_array(c->step, Control__Order *, CELL_ORDERS_MAX);
	if (r->orders == NULL)
		abort();
	for (i = 0; i < cw->norders && r->n_orders < CELL_ORDERS_MAX;) {
		Control__Order *o = order_fill(c, cw->epoch, &cw->orders[i]);

		if (o == NULL) {
			order_remove(cw, i);
			continue;
		}
		r->orders[r->n_orders++] = o;
		i++;
	}
	cell_reply(c, w->from, r);
}
