#include <stdlib.h>
#include <string.h>

#include "control/cell_impl.h"
#include "control/pb.h"

/* Compares a pending start with a task id for the index. */
static bool
start_matches(const void *object, const void *key)
{
	return ((const struct cell_pending_start *)object)->task ==
	    *(const uint64_t *)key;
}

/* Compares a job with an id for the index. */
static bool
job_matches(const void *object, const void *key)
{
	return ((const struct cell_job *)object)->id == *(const uint64_t *)key;
}

/* Returns the last wait reason recorded for a job, or NULL. */
struct cell_job *
cell_job_find(struct cell *c, uint64_t id)
{
	return idx_find(&c->jobs, idx_hash_u64(id), job_matches, &id);
}

/* Records why a job waits. */
static void
job_set_wait_reason(struct cell *c, uint64_t id, enum sched_wait wait)
{
	struct cell_job *j = cell_job_find(c, id);

	if (j == NULL) {
		j = talloc(c->leader_ctx, struct cell_job);
		if (j == NULL)
			abort();
		j->id = id;
		idx_add(&c->jobs, idx_hash_u64(id), j);
	}
	j->wait_reason = wait;
}

/* Removes the wait reason of a job that has ended. */
static void
job_forget(struct cell *c, uint64_t id)
{
	const struct st_job *sj = st_job_get(c->st, id);
	struct cell_job *j = cell_job_find(c, id);

	if (j == NULL || (sj != NULL && sj->tasks != NULL))
		return;
	idx_remove(&c->jobs, idx_hash_u64(id), j);
	talloc_free(j);
}

/*
 * Adds an assignment to the record of this step. Returns false when the task
 * is no longer pending or the worker's epoch has ended.
 */
static bool
assignment_add(struct cell *c, const struct sched_act *a)
{
	uint64_t task = a->u.task.task;
	const struct st_task *t = st_task_get(c->st, task);
	Control__Assignment *m;
	struct cell_pending_start *s;

	if (t == NULL || t->state != ST_TASK_PENDING ||
	    st_worker_get(c->st, a->u.task.epoch) == NULL)
		return false;
	if (c->assignments == NULL) {
		c->assignments = talloc(c, Control__Command);
		if (c->assignments == NULL)
			abort();
		control__command__init(c->assignments);
		c->assignments->assign = talloc_array(c->assignments,
		    Control__Assignment *, CELL_ASSIGNMENTS_MAX);
		if (c->assignments->assign == NULL)
			abort();
	}
	m = talloc(c->assignments, Control__Assignment);
	if (m == NULL)
		abort();
	control__assignment__init(m);
	m->task = task;
	m->attempt = t->attempt;
	m->epoch = a->u.task.epoch;
	c->assignments->assign[c->assignments->n_assign++] = m;
	if (c->assignments->n_assign == CELL_ASSIGNMENTS_MAX)
		cell_assignments_close(c);
	s = idx_find(&c->starts, idx_hash_u64(task), start_matches, &task);
	if (s == NULL) {
		s = talloc(c->leader_ctx, struct cell_pending_start);
		if (s == NULL)
			abort();
		s->task = task;
		idx_add(&c->starts, idx_hash_u64(task), s);
	}
	s->epoch = a->u.task.epoch;
	s->limit = a->u.task.limit;
	return true;
}

/* Queues an order for a task, unless the task has left the worker. */
static void
order_from_action(
    struct cell *c, const struct sched_act *a, Control__OrderKind kind)
{
	const struct st_task *t = st_task_get(c->st, a->u.task.task);
	struct cell_order o = { .kind = kind, .task = a->u.task.task };

	if (t == NULL || t->epoch != a->u.task.epoch)
		return;
	o.attempt = t->attempt;
	o.percent = a->u.task.percent;
	o.limit = a->u.task.limit;
	cell_order_add(c, a->u.task.epoch, &o);
}

/* Executes or proposes one decision of the scheduler, except a START. */
static void
sched_action_run(struct cell *c, const struct sched_act *a)
{
	Control__Command *cmd;
	struct cell_worker *w;

	switch (a->kind) {
	case SCHED_ACT_START:
		break; /* handled by the caller */
	case SCHED_ACT_THROTTLE:
		order_from_action(c, a, CONTROL__ORDER_KIND__ORDER_THROTTLE);
		break;
	case SCHED_ACT_CHECKPOINT:
		order_from_action(c, a, CONTROL__ORDER_KIND__ORDER_CHECKPOINT);
		break;
	case SCHED_ACT_STOP:
		order_from_action(c, a, CONTROL__ORDER_KIND__ORDER_STOP);
		break;
	case SCHED_ACT_JOB_STATE:
		job_set_wait_reason(c, a->u.job.id, a->u.job.wait);
		break;
	case SCHED_ACT_JOB_FAILED:
		cmd = cell_command_new(c);
		cmd->fail_tasks = talloc(c->step_ctx, uint64_t);
		if (cmd->fail_tasks == NULL)
			abort();
		cmd->fail_tasks[0] = a->u.job.id << ST_TASK_BITS;
		cmd->n_fail_tasks = 1;
		cell_propose(c, CELL_PROPOSAL_INTERNAL, cmd);
		break;
	case SCHED_ACT_QUARANTINE:
		w = cell_worker_find(c, a->u.quarantine.epoch);
		if (w != NULL)
			w->quarantined = a->u.quarantine.on;
		break;
	}
}

/* Passes an event to the scheduler and executes or proposes its decisions. */
void
cell_sched_step(struct cell *c, const struct sched_ev *ev)
{
	uint64_t *refused = NULL;
	size_t i, nrefused = 0;

	c->sched_acts.n = 0;
	sched_step(c->sched, c->now, ev, &c->sched_acts);
	for (i = 0; i < c->sched_acts.n; i++) {
		const struct sched_act *a = &c->sched_acts.v[i];

		if (a->kind != SCHED_ACT_START) {
			sched_action_run(c, a);
			continue;
		}
		if (assignment_add(c, a))
			continue;
		if (refused == NULL)
			refused = talloc_array(
			    c->step_ctx, uint64_t, c->sched_acts.n);
		if (refused == NULL)
			abort();
		refused[nrefused++] = a->u.task.task;
	}
	for (i = 0; refused != NULL && i < nrefused; i++)
		cell_assignment_refused(c, refused[i]);
}

/* Runs the scheduler when its deadline has passed. */
void
cell_sched_tick(struct cell *c)
{
	const struct sched_ev ev = { .kind = SCHED_EV_TICK };

	if (!clk_before(c->now, sched_next_tick(c->sched)))
		cell_sched_step(c, &ev);
}

/* Tells the scheduler that a START was rejected. */
void
cell_assignment_refused(struct cell *c, uint64_t task)
{
	struct cell_pending_start *s =
	    idx_find(&c->starts, idx_hash_u64(task), start_matches, &task);
	struct sched_ev ev = { .kind = SCHED_EV_ASSIGN_FAILED };

	ctr_add(&c->ctr, CELL_C_ASSIGN_REFUSED, 1);
	ev.u.task.task = task;
	if (s != NULL) {
		ev.u.task.epoch = s->epoch;
		idx_remove(&c->starts, idx_hash_u64(task), s);
		talloc_free(s);
	}
	cell_sched_step(c, &ev);
}

/* Handles a committed assignment: orders the start and tells the scheduler. */
static void
task_assigned(struct cell *c, const struct st_effect *n)
{
	struct cell_pending_start *s =
	    idx_find(&c->starts, idx_hash_u64(n->id), start_matches, &n->id);
	struct cell_order o = { .kind = CONTROL__ORDER_KIND__ORDER_START,
		.task = n->id,
		.attempt = n->attempt };
	struct sched_ev ev = { .kind = SCHED_EV_ASSIGNED };

	ctr_add(&c->ctr, CELL_C_ASSIGNED, 1);
	if (s != NULL) {
		o.limit = s->limit;
		idx_remove(&c->starts, idx_hash_u64(n->id), s);
		talloc_free(s);
	}
	cell_order_add(c, n->epoch, &o);
	ev.u.task.task = n->id;
	ev.u.task.attempt = n->attempt;
	ev.u.task.epoch = n->epoch;
	ev.u.task.progress = (int64_t)n->progress;
	cell_sched_step(c, &ev);
}

/* Tells the scheduler about an applied task event. */
static void
task_event_applied(struct cell *c, const struct st_effect *n)
{
	struct sched_ev ev = { .kind = SCHED_EV_TASK_CHECKPOINT };

	ev.u.task.task = n->id;
	ev.u.task.attempt = n->attempt;
	ev.u.task.epoch = n->epoch;
	ev.u.task.progress = (int64_t)n->progress;
	switch (n->event) {
	case CONTROL__TASK_EVENT_KIND__TASK_DONE:
		ev.kind = SCHED_EV_TASK_DONE;
		break;
	case CONTROL__TASK_EVENT_KIND__TASK_FAILED:
		ev.kind = SCHED_EV_TASK_FAILED;
		break;
	case CONTROL__TASK_EVENT_KIND__TASK_STOPPED:
		ev.kind = SCHED_EV_TASK_STOPPED;
		break;
	case CONTROL__TASK_EVENT_KIND__TASK_RUNNING:
		return;
	default:
		break;
	}
	if (ev.kind != SCHED_EV_TASK_CHECKPOINT)
		cell_worker_task_gone(c, n->epoch, n->id);
	cell_sched_step(c, &ev);
	job_forget(c, n->id >> ST_TASK_BITS);
}

/* Returns whether a configuration has no class of this name. */
static bool
class_is_removed(const Control__Config *c, const char *name)
{
	size_t i;

	for (i = 0; i < c->n_classes; i++) {
		if (strcmp(c->classes[i]->name, name) == 0)
			return false;
	}
	return true;
}

/* Returns whether a configuration has no team of this name. */
static bool
team_is_removed(const Control__Config *c, const char *name)
{
	size_t i;

	for (i = 0; i < c->n_teams; i++) {
		if (strcmp(c->teams[i]->name, name) == 0)
			return false;
	}
	return true;
}

/* Passes the quota of a team to the scheduler; a removed team has none. */
static void
report_team(struct cell *c, const Control__Team *t, bool removed)
{
	struct sched_ev ev = { .kind = SCHED_EV_TEAM_SET };

	ev.u.team.name = str_from(t->name);
	ev.u.team.quota.cpu_milli =
	    t->has_cpu_milli && !removed ? (int64_t)t->cpu_milli : -1;
	ev.u.team.quota.mem_mb =
	    t->has_mem_mb && !removed ? (int64_t)t->mem_mb : -1;
	ev.u.team.quota.accel =
	    t->has_accel && !removed ? (int64_t)t->accel : -1;
	cell_sched_step(c, &ev);
}

/*
 * Passes the current configuration to the scheduler. Classes that were removed
 * are withdrawn; teams that were removed lose their quota.
 */
void
cell_sched_set_config(struct cell *c)
{
	const Control__Config *now = st_config(c->st);
	struct sched_ev ev;
	size_t i;

	for (i = 0; c->sched_config != NULL && i < c->sched_config->n_classes;
	     i++) {
		if (!class_is_removed(now, c->sched_config->classes[i]->name))
			continue;
		ev = (struct sched_ev){ .kind = SCHED_EV_CLASS_GONE };
		ev.u.name = str_from(c->sched_config->classes[i]->name);
		cell_sched_step(c, &ev);
	}
	for (i = 0; c->sched_config != NULL && i < c->sched_config->n_teams;
	     i++) {
		if (team_is_removed(now, c->sched_config->teams[i]->name))
			report_team(c, c->sched_config->teams[i], true);
	}
	for (i = 0; i < now->n_teams; i++)
		report_team(c, now->teams[i], false);
	for (i = 0; i < now->n_classes; i++) {
		const Control__Class *k = now->classes[i];

		ev = (struct sched_ev){ .kind = SCHED_EV_CLASS_SET };
		ev.u.cls.name = str_from(k->name);
		ev.u.cls.urgent = k->urgent;
		ev.u.cls.percentile_x10 = (int)k->percentile_x10;
		ev.u.cls.bound_ms = k->bound_ms;
		ev.u.cls.finish_per_hour = k->finish_per_hour;
		ev.u.cls.team = str_from(k->team);
		cell_sched_step(c, &ev);
	}
	talloc_free(c->sched_config);
	c->sched_config = pb_dup(c->leader_ctx, now);
}

/* Submits a job to the scheduler, marking the tasks that have ended. */
void
cell_sched_add_job(struct cell *c, const struct st_job *j)
{
	struct sched_ev ev = { .kind = SCHED_EV_JOB_SUBMIT };
	Control__JobSpec *spec;
	uint8_t *done = NULL;
	uint32_t i;

	if (j == NULL || j->tasks == NULL)
		return;
	spec = st_job_spec(j, c->step_ctx);
	if (j->done + j->failed + j->cancelled > 0) {
		done =
		    talloc_zero_array(c->step_ctx, uint8_t, j->ntasks / 8 + 1);
		if (done == NULL)
			abort();
		for (i = 0; i < j->ntasks; i++) {
			if (j->tasks[i].state >= ST_TASK_DONE)
				done[i / 8] |= (uint8_t)(1U << (i % 8));
		}
	}
	ev.u.job.id = j->id;
	ev.u.job.class_name = str_from(spec->class_name);
	ev.u.job.ntasks = j->ntasks;
	ev.u.job.declared.cpu_milli = (int64_t)spec->cpu_milli;
	ev.u.job.declared.mem_mb = (int64_t)spec->mem_mb;
	ev.u.job.declared.accel = spec->accel;
	ev.u.job.gang = spec->gang;
	ev.u.job.run_ms = (int64_t)spec->run_ms;
	ev.u.job.done = done;
	cell_sched_step(c, &ev);
	talloc_free(done);
	talloc_free(spec);
}

/* Passes the assigned tasks of a job to a new scheduler. */
static void
restore_tasks(struct cell *c, const struct st_job *j)
{
	struct sched_ev ev;
	uint32_t i;

	for (i = 0; j->tasks != NULL && i < j->ntasks; i++) {
		const struct st_task *t = &j->tasks[i];

		if (t->state != ST_TASK_ASSIGNED && t->state != ST_TASK_ENDING)
			continue;
		ev = (struct sched_ev){ .kind = SCHED_EV_ASSIGNED };
		ev.u.task.task = j->id << ST_TASK_BITS | i;
		ev.u.task.attempt = t->attempt;
		ev.u.task.epoch = t->epoch;
		cell_sched_step(c, &ev);
		if (t->progress == 0)
			continue;
		ev.kind = SCHED_EV_TASK_CHECKPOINT;
		ev.u.task.progress = (int64_t)t->progress;
		cell_sched_step(c, &ev);
	}
}

/*
 * Loads a new scheduler with the replicated state; the workers have to be
 * added before.
 */
void
cell_sched_rebuild(struct cell *c)
{
	struct sched_ev ev = { .kind = SCHED_EV_JOB_CANCEL };
	size_t i;

	c->sched_config = NULL;
	cell_sched_set_config(c);
	for (i = 0; i < st_njobs(c->st); i++)
		cell_sched_add_job(c, st_job_at(c->st, i));
	for (i = 0; i < st_njobs(c->st); i++)
		restore_tasks(c, st_job_at(c->st, i));
	for (i = 0; i < st_njobs(c->st); i++) {
		const struct st_job *j = st_job_at(c->st, i);

		if (j->tasks == NULL || j->state < CONTROL__JOB_STATE__JOB_DONE)
			continue;
		ev.u.job_id = j->id;
		cell_sched_step(c, &ev);
	}
}

/*
 * Updates the leader's volatile state (scheduler, leases, grants, orders) after
 * a change of the replicated state.
 */
void
cell_effect_apply(struct cell *c, const struct st_effect *n)
{
	const struct st_worker *sw;
	struct sched_ev ev;

	switch (n->kind) {
	case ST_EFFECT_CONFIG:
		cell_sched_set_config(c);
		break;
	case ST_EFFECT_WORKER_UP:
		cell_worker_up(c, n->id);
		break;
	case ST_EFFECT_WORKER_GONE:
		cell_worker_gone(c, n->id);
		break;
	case ST_EFFECT_WORKER_DRAIN:
		sw = st_worker_get(c->st, n->id);
		if (sw != NULL) {
			Control__WorkerUp *up = st_worker_up(sw, c->step_ctx);

			grant_update_worker(c->grant, c->now, n->id, up->slots,
			    up->has_connections ? up->connections : up->slots,
			    true);
		}
		ev = (struct sched_ev){ .kind = SCHED_EV_WORKER_DRAIN };
		ev.u.epoch = n->id;
		cell_sched_step(c, &ev);
		break;
	case ST_EFFECT_JOB_SUBMIT:
		cell_sched_add_job(c, st_job_get(c->st, n->id));
		break;
	case ST_EFFECT_JOB_CANCEL:
		ev = (struct sched_ev){ .kind = SCHED_EV_JOB_CANCEL };
		ev.u.job_id = n->id;
		cell_sched_step(c, &ev);
		job_forget(c, n->id);
		break;
	case ST_EFFECT_ASSIGNED:
		task_assigned(c, n);
		break;
	case ST_EFFECT_ASSIGN_REFUSED:
		cell_assignment_refused(c, n->id);
		break;
	case ST_EFFECT_TASK_EVENT:
		task_event_applied(c, n);
		break;
	}
}
