#include "placement/sched_impl.h"

#include <math.h>
#include <string.h>

#define NEED_JOB_CPU	8  /* tasks of a job seen before its figure counts */
#define NEED_JOB_MEM	16 /* memory is given back later than processors */
#define NEED_CLASS_CPU	64
#define NEED_CLASS_MEM	200
#define NEED_MEM_MARGIN 1.10
#define NEED_MEM_CLASS	1.25 /* jobs of a class differ more than tasks */

/*
 * Resources a new task of the job reserves: the declared size until enough
 * tasks were seen, then the 95th percentile of processors and the maximum of
 * memory plus a margin, of the job or else of its class. A few reports are
 * enough to raise a reservation, but not to lower it.
 */
struct sched_res
sched_need(const struct sched *s, const struct jobq_job *j)
{
	const struct learn *l = j->learn, *cl = &s->q.c[j->cls].learn;
	struct sched_res need = j->declared;
	double cpu = 1, mem = 1;

	/* Others of the class say little of a job that they would keep out. */
	if (!s->conf.learning || (l == NULL && j->as_declared))
		return need;
	if (cl->ncpu >= NEED_CLASS_CPU)
		cpu = learn_cpu_quantile(cl, 0.95);
	if (cl->nmem >= NEED_CLASS_MEM)
		mem = learn_mem_quantile(cl, 1) * NEED_MEM_CLASS;
	if (l != NULL && l->ncpu >= NEED_JOB_CPU)
		cpu = learn_cpu_quantile(l, 0.95);
	else if (l != NULL)
		cpu = fmax(cpu, learn_cpu_quantile(l, 1));
	if (l != NULL && l->nmem >= NEED_JOB_MEM)
		mem = learn_mem_quantile(l, 1) * NEED_MEM_MARGIN;
	else if (l != NULL)
		mem = fmax(mem, learn_mem_quantile(l, 1) * NEED_MEM_MARGIN);
	need.cpu_milli = (int64_t)ceil((double)need.cpu_milli * cpu);
	need.mem_mb = (int64_t)ceil((double)need.mem_mb * mem);
	return need;
}

static void
sched_spread(struct sched *s, const struct alloc_task *t, int by)
{
	struct jobq_class *c = &s->q.c[t->cls];
	const struct alloc_worker *w = &s->a.w[t->worker];
	uint32_t i;

	if (w->rack >= c->nracks) {
		c->rack_n = talloc_realloc(s, c->rack_n, uint32_t, s->nracks);
		for (i = c->nracks; i < s->nracks; i++)
			c->rack_n[i] = 0;
		c->nracks = s->nracks;
	}
	if (w->domain >= c->ndomains) {
		c->domain_n =
		    talloc_realloc(s, c->domain_n, uint32_t, s->ndomains);
		for (i = c->ndomains; i < s->ndomains; i++)
			c->domain_n[i] = 0;
		c->ndomains = s->ndomains;
	}
	c->rack_n[w->rack] += (uint32_t)by;
	c->domain_n[w->domain] += (uint32_t)by;
	c->running += (uint32_t)by;
}

void
sched_charge(struct sched *s, const struct alloc_task *t, int sign)
{
	struct jobq_team *team = &s->q.t[s->q.c[t->cls].team];

	if (sign > 0)
		res_add(&team->used, &t->held);
	else
		res_sub(&team->used, &t->held);
	if (t->urgent) {
		s->urgent_n += (uint32_t)sign;
		if (t->held.mem_mb > s->urgent_need_mb)
			s->urgent_need_mb = t->held.mem_mb;
	}
	sched_spread(s, t, sign);
}

/* Holds resources for a task and makes it live. False: no room. */
bool
sched_hold(struct sched *s, uint32_t ji, uint32_t number, uint32_t wi,
    struct sched_res need, uint32_t *task)
{
	struct jobq_job *j = &s->q.j[ji];
	struct alloc_task *t;

	if (!alloc_task_hold(&s->a, wi, j->id << JOBQ_TASK_BITS | number, ji,
		j->cls, s->q.c[j->cls].urgent, need, task))
		return false;
	t = &s->a.t[*task];
	t->since_ms = s->now_ms;
	t->jnext = j->head;
	if (j->head != ALLOC_NONE)
		s->a.t[j->head].jprev = *task;
	j->head = *task;
	sched_charge(s, t, 1);
	if (t->urgent) {
		struct jobq_class *c = &s->q.c[j->cls];

		if (c->preempting > 0)
			c->preempting--;
	}
	jobq_take(&s->q, ji, number);
	return true;
}

/*
 * Ends a task's hold on its worker. Unless it is done, the task waits again.
 * The job is settled by the caller.
 */
void
sched_drop(struct sched *s, uint32_t ti, bool done)
{
	struct alloc_task *t = &s->a.t[ti];
	uint32_t number = t->id & ((1U << JOBQ_TASK_BITS) - 1);
	uint32_t ji = t->job;

	if (t->jprev != ALLOC_NONE)
		s->a.t[t->jprev].jnext = t->jnext;
	else
		s->q.j[ji].head = t->jnext;
	if (t->jnext != ALLOC_NONE)
		s->a.t[t->jnext].jprev = t->jprev;
	sched_charge(s, t, -1);
	alloc_task_release(&s->a, ti);
	if (!done)
		s->q.j[ji].wait_ms = s->now_ms;
	if (done)
		jobq_finish_task(&s->q, ji, number);
	else
		jobq_return(&s->q, ji, number);
	s->dirty = true;
}

/*
 * Brings a job into the state its tasks call for. A finished or dead job is
 * forgotten once it holds nothing; one with waiting tasks is queued.
 */
void
sched_job_settle(struct sched *s, uint32_t ji)
{
	struct jobq_job *j = &s->q.j[ji];

	if (j->nlive == 0 && (j->dead || j->ndone == j->tasks)) {
		jobq_job_del(&s->q, ji);
		return;
	}
	if (j->dead || jobq_waiting(j) == 0) {
		jobq_remove(&s->q, ji);
		return;
	}
	if (j->where == JOBQ_OUT)
		jobq_queue(&s->q, ji);
}

/* Validates and queues a job; one that can never run is parked at once. */
enum status
sched_job_submit(struct sched *s, const struct sched_job *in)
{
	uint32_t ci, ji;

	if (in->tasks == 0 || in->tasks > 1U << JOBQ_TASK_BITS ||
	    in->declared.cpu_milli < 0 || in->declared.mem_mb < 0 ||
	    in->declared.accel < 0)
		return STATUS_INVALID;
	if (jobq_job_find(&s->q, in->id) != JOBQ_NONE)
		return STATUS_EXISTS;
	ci = jobq_class_get(&s->q, in->class_name);
	if (s->q.c[ci].team == JOBQ_NONE) {
		uint32_t team = jobq_team_get(&s->q, str_from(""));

		s->q.c[ci].team = team;
	}
	ji = jobq_job_add(&s->q, in, ci);
	s->q.j[ji].submit_ms = s->now_ms;
	s->q.j[ji].wait_ms = s->now_ms;
	if (s->q.j[ji].ndone == in->tasks) {
		jobq_job_del(&s->q, ji);
		return STATUS_OK;
	}
	jobq_queue(&s->q, ji);
	s->q.j[ji].wait = SCHED_WAIT_QUEUED;
	sched_check_fits(s, ji);
	s->dirty = true;
	return STATUS_OK;
}

/*
 * Cancels a job. The cost is that of its live tasks: running ones are stopped,
 * starting ones are stopped once they are confirmed.
 */
enum status
sched_job_cancel(struct sched *s, uint64_t id)
{
	uint32_t ji = jobq_job_find(&s->q, id), ti;
	struct jobq_job *j;

	if (ji == JOBQ_NONE)
		return STATUS_NOT_FOUND;
	j = &s->q.j[ji];
	if (j->dead)
		return STATUS_OK;
	j->dead = true;
	jobq_count(&s->q, ji);
	for (ti = j->head; ti != ALLOC_NONE; ti = s->a.t[ti].jnext)
		if (s->a.t[ti].state == ALLOC_RUNNING) {
			s->a.t[ti].state = ALLOC_STOPPING;
			sched_order(s, SCHED_ACT_STOP, ti);
		}
	sched_job_settle(s, ji);
	return STATUS_OK;
}

/*
 * Holds resources for a task that runs already. The last leader may have
 * throttled batch tasks of the worker, to a quarter at most, so they yield in
 * the same way, and a batch task that does not fit whole is throttled to what
 * fits. Memory is
 * held up to the room there is, and corrected by the next usage report.
 */
static bool
sched_hold_running(
    struct sched *s, uint32_t ji, uint32_t number, uint32_t wi, uint32_t *task)
{
	struct sched_res need = sched_need(s, &s->q.j[ji]), room;
	bool urgent = s->q.c[s->q.j[ji].cls].urgent;
	int64_t full = need.cpu_milli;
	int64_t least = urgent ? full : (full + 3) / 4;

	room = alloc_free(&s->a.w[wi]);
	if (least > room.cpu_milli) {
		(void)sched_throttle(s, wi, least - room.cpu_milli);
		room = alloc_free(&s->a.w[wi]);
	}
	if (need.cpu_milli > room.cpu_milli)
		need.cpu_milli = room.cpu_milli;
	if (need.mem_mb > room.mem_mb)
		need.mem_mb = room.mem_mb;
	if (need.accel > room.accel)
		need.accel = room.accel;
	if (!sched_hold(s, ji, number, wi, need, task))
		return false;
	s->a.t[*task].full_cpu = (int32_t)full;
	s->a.t[*task].state = ALLOC_RUNNING;
	if (!urgent && need.cpu_milli < full) {
		int64_t percent = need.cpu_milli * 100 / full;

		sched_set_percent(s, *task, percent > 0 ? percent : 1);
	}
	return true;
}

/*
 * A task runs on a worker: the confirmation of a START, or known from the
 * replicated state at a rebuild.
 */
enum status
sched_assigned(struct sched *s, const struct sched_ev *ev)
{
	uint64_t id = ev->u.task.task;
	uint32_t number = id & ((1U << JOBQ_TASK_BITS) - 1);
	uint32_t ji = jobq_job_find(&s->q, id >> JOBQ_TASK_BITS);
	uint32_t wi = alloc_worker_find(&s->a, ev->u.task.epoch);
	uint32_t ti = alloc_task_find(&s->a, id);

	if (ji == JOBQ_NONE || wi == ALLOC_NONE)
		return STATUS_NOT_FOUND;
	if (number >= s->q.j[ji].tasks)
		return STATUS_INVALID;
	if (jobq_is_done(&s->q.j[ji], number))
		return STATUS_STALE;
	if (ti != ALLOC_NONE && s->a.t[ti].worker != wi) {
		sched_drop(s, ti, false);
		ti = ALLOC_NONE;
	}
	if (ti == ALLOC_NONE) {
		if (!sched_hold_running(s, ji, number, wi, &ti))
			return STATUS_INVALID;
	}
	if (s->a.t[ti].state == ALLOC_STARTING) {
		s->a.t[ti].state = ALLOC_RUNNING;
		s->a.t[ti].since_ms = s->now_ms;
	}
	s->a.t[ti].attempt = ev->u.task.attempt;
	if (s->q.j[ji].dead && s->a.t[ti].state == ALLOC_RUNNING) {
		s->a.t[ti].state = ALLOC_STOPPING;
		sched_order(s, SCHED_ACT_STOP, ti);
	}
	if (jobq_waiting(&s->q.j[ji]) == 0)
		jobq_remove(&s->q, ji);
	return STATUS_OK;
}

/* A proposal was not accepted; the task waits again. */
enum status
sched_assign_failed(struct sched *s, const struct sched_ev *ev)
{
	uint32_t ti = alloc_task_find(&s->a, ev->u.task.task), ji;

	if (ti == ALLOC_NONE || s->a.t[ti].state != ALLOC_STARTING ||
	    s->a.w[s->a.t[ti].worker].epoch != ev->u.task.epoch)
		return STATUS_STALE;
	ctr_add(&s->ctr, SCHED_CTR_ASSIGN_FAILED, 1);
	ji = s->a.t[ti].job;
	sched_drop(s, ti, false);
	sched_job_settle(s, ji);
	return STATUS_OK;
}

/* An event of a task that runs; others are STALE and change nothing. */
enum status
sched_task_event(struct sched *s, const struct sched_ev *ev)
{
	uint32_t ti = alloc_task_find(&s->a, ev->u.task.task), ji;
	struct alloc_task *t;

	if (ti == ALLOC_NONE)
		return STATUS_STALE;
	t = &s->a.t[ti];
	if (s->a.w[t->worker].epoch != ev->u.task.epoch ||
	    (t->attempt != 0 && t->attempt != ev->u.task.attempt))
		return STATUS_STALE;
	ji = t->job;
	switch (ev->kind) {
	case SCHED_EV_TASK_RUNNING:
		return STATUS_OK;
	case SCHED_EV_TASK_CHECKPOINT:
		t->progress = ev->u.task.progress;
		t->ckpt_ms = s->now_ms;
		return STATUS_OK;
	case SCHED_EV_TASK_DONE:
		sched_observe(s, t);
		sched_worker_good(s, t->worker);
		s->q.j[ji].okay++;
		if (!t->urgent)
			tgt_add(&s->q.c[t->cls].tgt, s->now_ms, 1, 0);
		sched_drop(s, ti, true);
		break;
	case SCHED_EV_TASK_FAILED:
		sched_task_failed(s, ti);
		sched_drop(s, ti, false);
		break;
	case SCHED_EV_TASK_STOPPED:
		sched_drop(s, ti, false);
		break;
	default:
		return STATUS_INVALID;
	}
	sched_job_settle(s, ji);
	return STATUS_OK;
}
