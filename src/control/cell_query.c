#include <stdlib.h>
#include <string.h>

#include "control/cell_impl.h"
#include "control/pb.h"

/*
 * Describes a worker in memory of the step. full adds the fields that only
 * operators see.
 */
Control__WorkerInfo *
cell_worker_info(struct cell *c, const struct st_worker *w, bool full)
{
	Control__WorkerInfo *m = talloc(c->step_ctx, Control__WorkerInfo);
	Control__WorkerUp *up = st_worker_up(w, c->step_ctx);
	const struct cell_worker *cw = cell_worker_find(c, w->epoch);

	if (m == NULL)
		abort();
	control__worker_info__init(m);
	m->name = up->name;
	m->epoch = w->epoch;
	m->addr = up->addr;
	m->slots = up->slots;
	m->rack = up->rack;
	m->domain = up->domain;
	m->serves = up->serves;
	m->n_serves = up->n_serves;
	m->has_draining = w->draining;
	m->draining = w->draining;
	m->has_connections = up->has_connections;
	m->connections = up->connections;
	if (!full)
		return m;
	m->has_cpu_milli = m->has_mem_mb = m->has_accel = m->has_tasks = 1;
	m->cpu_milli = up->cpu_milli;
	m->mem_mb = up->mem_mb;
	m->accel = up->accel;
	m->tasks = w->ntasks;
	m->has_quarantined = 1;
	m->quarantined = cw != NULL && cw->quarantined;
	return m;
}

/* Returns the number of rows to send for a query. */
static size_t
query_limit(const Control__Query *q)
{
	if (!q->has_limit || q->limit == 0 || q->limit > CELL_QUERY_ROWS_MAX)
		return CELL_QUERY_ROWS_MAX;
	return q->limit;
}

/* Adds the workers with epochs above after. */
static void
query_workers(struct cell *c, const Control__Query *q, Control__OpResult *r)
{
	size_t i, limit = query_limit(q);

	r->workers = talloc_array(c->step_ctx, Control__WorkerInfo *, limit);
	if (r->workers == NULL)
		abort();
	for (i = 0; i < st_nworkers(c->st) && r->n_workers < limit; i++) {
		const struct st_worker *w = st_worker_at(c->st, i);

		if (w->epoch > q->after)
			r->workers[r->n_workers++] =
			    cell_worker_info(c, w, true);
	}
}

/* Describes a job in memory of the step. */
static Control__JobInfo *
job_info(struct cell *c, const struct st_job *j)
{
	Control__JobInfo *m = talloc(c->step_ctx, Control__JobInfo);
	const struct cell_job *cj = cell_job_find(c, j->id);

	if (m == NULL)
		abort();
	control__job_info__init(m);
	m->id = j->id;
	m->spec = st_job_spec(j, c->step_ctx);
	m->state = j->state;
	m->has_pending = m->has_running = m->has_done = m->has_failed = 1;
	m->pending = j->pending;
	m->running = j->assigned;
	m->done = j->done;
	m->failed = j->failed;
	m->has_evictions = 1;
	m->evictions = j->evictions;
	if (cj != NULL && j->tasks != NULL)
		m->reason = str_cstr(
		    c->step_ctx, str_from(sched_wait_name(cj->wait_reason)));
	return m;
}

/* Adds the jobs with ids above after. */
static void
query_jobs(struct cell *c, const Control__Query *q, Control__OpResult *r)
{
	size_t i, limit = query_limit(q);

	r->jobs = talloc_array(c->step_ctx, Control__JobInfo *, limit);
	if (r->jobs == NULL)
		abort();
	for (i = 0; i < st_njobs(c->st) && r->n_jobs < limit; i++) {
		const struct st_job *j = st_job_at(c->st, i);

		if (j->id > q->after)
			r->jobs[r->n_jobs++] = job_info(c, j);
	}
}

/* Adds the members of the group as Raft has them. */
static void
query_members(struct cell *c, Control__OpResult *r)
{
	Control__Members *m = talloc(c->step_ctx, Control__Members);
	const struct raft_member *v;
	size_t i, n = raft_members(c->raft, &v);

	if (m == NULL)
		abort();
	control__members__init(m);
	m->members = talloc_array(c->step_ctx, Control__Member *, n);
	if (m->members == NULL)
		abort();
	for (i = 0; i < n; i++) {
		Control__Member *e = talloc(c->step_ctx, Control__Member);

		if (e == NULL)
			abort();
		control__member__init(e);
		e->replica = v[i].replica;
		e->instance = v[i].instance;
		e->voter = v[i].voter;
		e->domain = str_cstr(c->step_ctx, v[i].domain);
		m->members[m->n_members++] = e;
	}
	r->members = m;
}

/* Adds how far the classes meet their targets. */
static void
status_add_classes(struct cell *c, Control__StatusInfo *s)
{
	size_t n = sched_attainment(c->sched, NULL, 0), i, j, k;
	struct sched_attainment *v =
	    talloc_array(c->step_ctx, struct sched_attainment, n);

	s->classes = talloc_array(c->step_ctx, Control__ClassStatus *, n);
	if (v == NULL || s->classes == NULL)
		abort();
	n = sched_attainment(c->sched, v, n);
	for (i = 0; i < n; i++) {
		Control__ClassStatus *m =
		    talloc(c->step_ctx, Control__ClassStatus);

		if (m == NULL)
			abort();
		control__class_status__init(m);
		m->name = str_cstr(c->step_ctx, v[i].name);
		m->has_attained_x1000_1m = m->has_attained_x1000_10m = 1;
		m->attained_x1000_1m = (uint32_t)(v[i].attainment_1m * 1000);
		m->attained_x1000_10m = (uint32_t)(v[i].attainment_10m * 1000);
		m->has_at_risk = m->has_requests = m->has_late = 1;
		m->at_risk = v[i].at_risk;
		for (j = 0; j < c->ninstances; j++) {
			const Control__Beat *b = c->instances[j]->heartbeat;

			for (k = 0; k < b->n_demand; k++) {
				if (strcmp(b->demand[k]->name, m->name) != 0)
					continue;
				m->requests += b->demand[k]->answered;
				m->late += b->demand[k]->late;
			}
		}
		s->classes[s->n_classes++] = m;
	}
}

/* Adds the instances that have sent heartbeats to this leader. */
static void
status_add_instances(struct cell *c, Control__StatusInfo *s)
{
	size_t i;

	s->instances =
	    talloc_array(c->step_ctx, Control__InstanceInfo *, c->ninstances);
	if (s->instances == NULL)
		abort();
	for (i = 0; i < c->ninstances; i++) {
		const struct cell_instance *n = c->instances[i];
		Control__InstanceInfo *m =
		    talloc(c->step_ctx, Control__InstanceInfo);

		if (m == NULL)
			abort();
		control__instance_info__init(m);
		m->instance = n->instance;
		m->has_incarnation = m->has_config_version = 1;
		m->incarnation = n->incarnation;
		m->config_version = n->heartbeat->config_version;
		m->has_beat_age_ms = m->has_draining = m->has_replica = 1;
		m->beat_age_ms =
		    (uint64_t)clk_diff_ms(c->now, n->last_heartbeat);
		m->draining = n->heartbeat->draining;
		m->replica =
		    n->heartbeat->has_replica && n->heartbeat->replica != 0;
		if (n->heartbeat->domain != NULL)
			m->domain = str_cstr(
			    c->step_ctx, str_from(n->heartbeat->domain));
		s->instances[s->n_instances++] = m;
	}
}

/* Adds the overall state of the group. */
static void
query_status(struct cell *c, Control__OpResult *r)
{
	Control__StatusInfo *s = talloc(c->step_ctx, Control__StatusInfo);
	size_t i;

	if (s == NULL)
		abort();
	control__status_info__init(s);
	s->has_leader = s->has_term = s->has_commit = 1;
	s->leader = c->conf.instance;
	s->term = c->term;
	s->commit = raft_commit_index(c->raft);
	s->has_config_version = s->has_workers = s->has_evictions = 1;
	s->config_version = st_config(c->st)->version;
	s->workers = (uint32_t)st_nworkers(c->st);
	s->evictions = st_evictions(c->st);
	s->has_tasks_pending = s->has_tasks_running = 1;
	for (i = 0; i < st_njobs(c->st); i++) {
		s->tasks_pending += st_job_at(c->st, i)->pending;
		s->tasks_running += st_job_at(c->st, i)->assigned;
	}
	status_add_classes(c, s);
	status_add_instances(c, s);
	r->info = s;
}

/* Adds the text that explains what a job is waiting for. */
static void
query_why(struct cell *c, uint64_t id, Control__OpResult *r)
{
	const struct st_job *j = st_job_get(c->st, id);
	char *text;

	if (j == NULL) {
		r->status = STATUS_NOT_FOUND;
		r->message =
		    str_cstr(c->step_ctx, str_from("no job has this id"));
		return;
	}
	text = talloc_asprintf(c->step_ctx,
	    "tasks: %u pending, %u on workers, %u done, %u failed, "
	    "%u cancelled\nevictions: %u\n",
	    j->pending, j->assigned, j->done, j->failed, j->cancelled,
	    j->evictions);
	if (text != NULL && j->tasks != NULL) {
		char *why = sched_explain_job(c->sched, c->step_ctx, id);

		if (why != NULL)
			text = talloc_strdup_append(text, why);
	}
	if (text == NULL)
		abort();
	r->text = text;
	r->has_id = 1;
	r->id = id;
}

/* Answers a query from the current state; leadership is confirmed. */
void
cell_handle_query(
    struct cell *c, struct cell_caller caller, const Control__Query *q)
{
	Control__OpResult *r = talloc(c->step_ctx, Control__OpResult);
	const struct st_job *j;

	if (r == NULL)
		abort();
	control__op_result__init(r);
	switch (q->kind) {
	case CONTROL__QUERY_KIND__QUERY_CONFIG:
		r->config = pb_dup(c->step_ctx, st_config(c->st));
		r->has_version = 1;
		r->version = r->config->version;
		break;
	case CONTROL__QUERY_KIND__QUERY_WORKERS:
		query_workers(c, q, r);
		break;
	case CONTROL__QUERY_KIND__QUERY_JOBS:
		query_jobs(c, q, r);
		break;
	case CONTROL__QUERY_KIND__QUERY_JOB:
		j = st_job_get(c->st, q->id);
		if (j == NULL) {
			r->status = STATUS_NOT_FOUND;
			r->message = str_cstr(
			    c->step_ctx, str_from("no job has this id"));
			break;
		}
		r->jobs = talloc_array(c->step_ctx, Control__JobInfo *, 1);
		if (r->jobs == NULL)
			abort();
		r->jobs[0] = job_info(c, j);
		r->n_jobs = 1;
		break;
	case CONTROL__QUERY_KIND__QUERY_WHY:
		query_why(c, q->id, r);
		break;
	case CONTROL__QUERY_KIND__QUERY_STATUS:
		query_status(c, r);
		break;
	case CONTROL__QUERY_KIND__QUERY_MEMBERS:
		query_members(c, r);
		break;
	default:
		r->status = STATUS_INVALID;
		break;
	}
	cell_reply(c, caller, r);
}
