#include "placement/sched_impl.h"

#include <math.h>
#include <string.h>

/*
 * Tasks seen before a learned size replaces the declared one. Memory needs more
 * of them, because tasks give it back later than processors.
 */
#define NEED_JOB_CPU_TASKS   8
#define NEED_JOB_MEM_TASKS   16
#define NEED_CLASS_CPU_TASKS 64
#define NEED_CLASS_MEM_TASKS 200
#define NEED_MEM_JOB_MARGIN  1.10
/* Jobs of a class differ more than tasks of a job. */
#define NEED_MEM_CLASS_MARGIN 1.25

/*
 * Returns the resources that a new task of the job reserves: the declared size
 * until enough tasks were seen, then the 95th percentile of the processors and
 * the maximum of the memory plus a margin, of the job or else of its class. A
 * few reports are enough to raise a reservation, but not to lower it.
 */
struct sched_res
sched_task_need(const struct sched *s, const struct jobq_job *j)
{
	const struct learn *job_sizes = j->learn,
			   *class_sizes = &s->queue.classes[j->cls].learn;
	struct sched_res need = j->declared;
	double cpu = 1, mem = 1;

	/*
	 * A job that would not fit with the learned size of its class uses its
	 * declared size.
	 */
	if (!s->conf.learning || (job_sizes == NULL && j->use_declared))
		return need;
	if (class_sizes->ncpu >= NEED_CLASS_CPU_TASKS)
		cpu = learn_cpu_quantile(class_sizes, 0.95);
	if (class_sizes->nmem >= NEED_CLASS_MEM_TASKS)
		mem =
		    learn_mem_quantile(class_sizes, 1) * NEED_MEM_CLASS_MARGIN;
	if (job_sizes != NULL && job_sizes->ncpu >= NEED_JOB_CPU_TASKS)
		cpu = learn_cpu_quantile(job_sizes, 0.95);
	else if (job_sizes != NULL)
		cpu = fmax(cpu, learn_cpu_quantile(job_sizes, 1));
	if (job_sizes != NULL && job_sizes->nmem >= NEED_JOB_MEM_TASKS)
		mem = learn_mem_quantile(job_sizes, 1) * NEED_MEM_JOB_MARGIN;
	else if (job_sizes != NULL)
		mem = fmax(mem,
		    learn_mem_quantile(job_sizes, 1) * NEED_MEM_JOB_MARGIN);
	need.cpu_milli = (int64_t)ceil((double)need.cpu_milli * cpu);
	need.mem_mb = (int64_t)ceil((double)need.mem_mb * mem);
	return need;
}

/*
 * Adds by, 1 or -1, to the number of running tasks of a class and to its
 * counts per rack and failure domain.
 */
static void
sched_count_placement(struct sched *s, const struct alloc_task *t, int by)
{
	struct jobq_class *c = &s->queue.classes[t->cls];
	const struct alloc_worker *w = &s->alloc.workers[t->worker];
	uint32_t i;

	if (w->rack >= c->nracks) {
		c->rack_tasks =
		    talloc_realloc(s, c->rack_tasks, uint32_t, s->nracks);
		for (i = c->nracks; i < s->nracks; i++)
			c->rack_tasks[i] = 0;
		c->nracks = s->nracks;
	}
	if (w->domain >= c->ndomains) {
		c->domain_tasks =
		    talloc_realloc(s, c->domain_tasks, uint32_t, s->ndomains);
		for (i = c->ndomains; i < s->ndomains; i++)
			c->domain_tasks[i] = 0;
		c->ndomains = s->ndomains;
	}
	c->rack_tasks[w->rack] += (uint32_t)by;
	c->domain_tasks[w->domain] += (uint32_t)by;
	c->running += (uint32_t)by;
}

/*
 * Adds a task's allocation to the accounts of its team and class, or removes
 * it if sign is -1.
 */
void
sched_account(struct sched *s, const struct alloc_task *t, int sign)
{
	struct jobq_team *team = &s->queue.teams[s->queue.classes[t->cls].team];

	if (sign > 0)
		res_add(&team->used, &t->allocated);
	else
		res_sub(&team->used, &t->allocated);
	if (t->urgent) {
		s->nurgent += (uint32_t)sign;
		if (t->allocated.mem_mb > s->urgent_mem_mb)
			s->urgent_mem_mb = t->allocated.mem_mb;
	}
	sched_count_placement(s, t, sign);
}

/*
 * Allocates resources on a worker for a waiting task and marks it as placed.
 * Returns false if there is no room.
 */
bool
sched_allocate(struct sched *s, uint32_t ji, uint32_t number, uint32_t wi,
    struct sched_res need, uint32_t *task)
{
	struct jobq_job *j = &s->queue.jobs[ji];
	struct alloc_task *t;

	if (!alloc_task_add(&s->alloc, wi, j->id << JOBQ_TASK_BITS | number, ji,
		j->cls, s->queue.classes[j->cls].urgent, need, task))
		return false;
	t = &s->alloc.tasks[*task];
	t->since_ms = s->now_ms;
	t->job_next = j->first_task;
	if (j->first_task != ALLOC_NONE)
		s->alloc.tasks[j->first_task].job_prev = *task;
	j->first_task = *task;
	sched_account(s, t, 1);
	if (t->urgent) {
		struct jobq_class *c = &s->queue.classes[j->cls];

		if (c->npreempting > 0)
			c->npreempting--;
	}
	jobq_task_place(&s->queue, ji, number);
	return true;
}

/*
 * Releases the resources of a task. The task is finished if done is set,
 * otherwise it waits again. The caller then calls sched_job_update().
 */
void
sched_release(struct sched *s, uint32_t ti, bool done)
{
	struct alloc_task *t = &s->alloc.tasks[ti];
	uint32_t number = t->id & ((1U << JOBQ_TASK_BITS) - 1);
	uint32_t ji = t->job;

	if (t->job_prev != ALLOC_NONE)
		s->alloc.tasks[t->job_prev].job_next = t->job_next;
	else
		s->queue.jobs[ji].first_task = t->job_next;
	if (t->job_next != ALLOC_NONE)
		s->alloc.tasks[t->job_next].job_prev = t->job_prev;
	sched_account(s, t, -1);
	alloc_task_release(&s->alloc, ti);
	if (!done)
		s->queue.jobs[ji].waiting_since_ms = s->now_ms;
	if (done)
		jobq_task_finish(&s->queue, ji, number);
	else
		jobq_task_return(&s->queue, ji, number);
	s->pass_needed = true;
}

/*
 * Updates the queue state of a job after a change of its tasks. A finished or
 * terminated job is deleted once it has no placed tasks; one with waiting
 * tasks is queued.
 */
void
sched_job_update(struct sched *s, uint32_t ji)
{
	struct jobq_job *j = &s->queue.jobs[ji];

	if (j->nplaced == 0 && (j->terminated || j->ndone == j->ntasks)) {
		jobq_job_del(&s->queue, ji);
		return;
	}
	if (j->terminated || jobq_nwaiting(j) == 0) {
		jobq_remove(&s->queue, ji);
		return;
	}
	if (j->queue_state == JOBQ_UNQUEUED)
		jobq_enqueue(&s->queue, ji);
}

/*
 * Validates and queues a job. A job that can never run in this fleet is parked
 * at once. Errors: INVALID (task count or declared size), EXISTS (the id is
 * known).
 */
enum status
sched_job_submit(struct sched *s, const struct sched_job *in)
{
	uint32_t ci, ji;

	if (in->ntasks == 0 || in->ntasks > 1U << JOBQ_TASK_BITS ||
	    in->declared.cpu_milli < 0 || in->declared.mem_mb < 0 ||
	    in->declared.accel < 0)
		return STATUS_INVALID;
	if (jobq_job_find(&s->queue, in->id) != JOBQ_NONE)
		return STATUS_EXISTS;
	ci = jobq_class_get(&s->queue, in->class_name);
	if (s->queue.classes[ci].team == JOBQ_NONE) {
		uint32_t team = jobq_team_get(&s->queue, str_from(""));

		s->queue.classes[ci].team = team;
	}
	ji = jobq_job_add(&s->queue, in, ci);
	s->queue.jobs[ji].submit_ms = s->now_ms;
	s->queue.jobs[ji].waiting_since_ms = s->now_ms;
	if (s->queue.jobs[ji].ndone == in->ntasks) {
		jobq_job_del(&s->queue, ji);
		return STATUS_OK;
	}
	jobq_enqueue(&s->queue, ji);
	s->queue.jobs[ji].wait_reason = SCHED_WAIT_QUEUED;
	sched_check_fits(s, ji);
	s->pass_needed = true;
	return STATUS_OK;
}

/*
 * Cancels a job: running tasks are stopped at once, starting ones when they
 * are confirmed. The cost is proportional to the number of placed tasks.
 * NOT_FOUND: the id is unknown.
 */
enum status
sched_job_cancel(struct sched *s, uint64_t id)
{
	uint32_t ji = jobq_job_find(&s->queue, id), ti;
	struct jobq_job *j;

	if (ji == JOBQ_NONE)
		return STATUS_NOT_FOUND;
	j = &s->queue.jobs[ji];
	if (j->terminated)
		return STATUS_OK;
	j->terminated = true;
	jobq_recount_waiting(&s->queue, ji);
	for (ti = j->first_task; ti != ALLOC_NONE;
	     ti = s->alloc.tasks[ti].job_next)
		if (s->alloc.tasks[ti].state == ALLOC_RUNNING) {
			s->alloc.tasks[ti].state = ALLOC_STOPPING;
			sched_emit_task(s, SCHED_ACT_STOP, ti);
		}
	sched_job_update(s, ji);
	return STATUS_OK;
}

/*
 * Allocates resources for a task that runs already, during a rebuild. The
 * previous leader may have throttled batch tasks of the worker, to a quarter
 * at most, so they are throttled in the same way, and a batch task that does
 * not fit whole is throttled to what fits. Memory is allocated as far as there
 * is room and corrected by the next usage report. Returns false if there is no
 * room.
 */
static bool
sched_allocate_running(
    struct sched *s, uint32_t ji, uint32_t number, uint32_t wi, uint32_t *task)
{
	struct sched_res need = sched_task_need(s, &s->queue.jobs[ji]), room;
	bool urgent = s->queue.classes[s->queue.jobs[ji].cls].urgent;
	int64_t full_milli = need.cpu_milli;
	int64_t least_milli = urgent ? full_milli : (full_milli + 3) / 4;

	room = alloc_free_capacity(&s->alloc.workers[wi]);
	if (least_milli > room.cpu_milli) {
		(void)sched_throttle_batch(s, wi, least_milli - room.cpu_milli);
		room = alloc_free_capacity(&s->alloc.workers[wi]);
	}
	if (need.cpu_milli > room.cpu_milli)
		need.cpu_milli = room.cpu_milli;
	if (need.mem_mb > room.mem_mb)
		need.mem_mb = room.mem_mb;
	if (need.accel > room.accel)
		need.accel = room.accel;
	if (!sched_allocate(s, ji, number, wi, need, task))
		return false;
	s->alloc.tasks[*task].full_cpu_milli = (int32_t)full_milli;
	s->alloc.tasks[*task].state = ALLOC_RUNNING;
	if (!urgent && need.cpu_milli < full_milli) {
		int64_t percent = need.cpu_milli * 100 / full_milli;

		sched_set_percent(s, *task, percent > 0 ? percent : 1);
	}
	return true;
}

/*
 * Records that a task runs on a worker: either START is confirmed, or a
 * rebuild feeds the replicated state. Errors: NOT_FOUND (job or worker is
 * unknown), INVALID (no such task of the job, or no room), STALE (the task is
 * finished).
 */
enum status
sched_assigned(struct sched *s, const struct sched_ev *ev)
{
	uint64_t id = ev->u.task.task;
	uint32_t number = id & ((1U << JOBQ_TASK_BITS) - 1);
	uint32_t ji = jobq_job_find(&s->queue, id >> JOBQ_TASK_BITS);
	uint32_t wi = alloc_worker_find(&s->alloc, ev->u.task.epoch);
	uint32_t ti = alloc_task_find(&s->alloc, id);

	if (ji == JOBQ_NONE || wi == ALLOC_NONE)
		return STATUS_NOT_FOUND;
	if (number >= s->queue.jobs[ji].ntasks)
		return STATUS_INVALID;
	if (jobq_is_done(&s->queue.jobs[ji], number))
		return STATUS_STALE;
	if (ti != ALLOC_NONE && s->alloc.tasks[ti].worker != wi) {
		sched_release(s, ti, false);
		ti = ALLOC_NONE;
	}
	if (ti == ALLOC_NONE) {
		if (!sched_allocate_running(s, ji, number, wi, &ti))
			return STATUS_INVALID;
	}
	if (s->alloc.tasks[ti].state == ALLOC_STARTING) {
		s->alloc.tasks[ti].state = ALLOC_RUNNING;
		s->alloc.tasks[ti].since_ms = s->now_ms;
	}
	s->alloc.tasks[ti].attempt = ev->u.task.attempt;
	if (s->queue.jobs[ji].terminated &&
	    s->alloc.tasks[ti].state == ALLOC_RUNNING) {
		s->alloc.tasks[ti].state = ALLOC_STOPPING;
		sched_emit_task(s, SCHED_ACT_STOP, ti);
	}
	if (jobq_nwaiting(&s->queue.jobs[ji]) == 0)
		jobq_remove(&s->queue, ji);
	return STATUS_OK;
}

/*
 * Releases a task whose START was not accepted, so that it waits again. STALE:
 * the task is not starting on this worker.
 */
enum status
sched_assign_failed(struct sched *s, const struct sched_ev *ev)
{
	uint32_t ti = alloc_task_find(&s->alloc, ev->u.task.task), ji;

	if (ti == ALLOC_NONE || s->alloc.tasks[ti].state != ALLOC_STARTING ||
	    s->alloc.workers[s->alloc.tasks[ti].worker].epoch !=
		ev->u.task.epoch)
		return STATUS_STALE;
	ctr_add(&s->ctr, SCHED_CTR_ASSIGN_FAILED, 1);
	ji = s->alloc.tasks[ti].job;
	sched_release(s, ti, false);
	sched_job_update(s, ji);
	return STATUS_OK;
}

/*
 * Processes an event of a running task. STALE: the event is of another attempt
 * or worker and changes nothing.
 */
enum status
sched_task_event(struct sched *s, const struct sched_ev *ev)
{
	uint32_t ti = alloc_task_find(&s->alloc, ev->u.task.task), ji;
	struct alloc_task *t;

	if (ti == ALLOC_NONE)
		return STATUS_STALE;
	t = &s->alloc.tasks[ti];
	if (s->alloc.workers[t->worker].epoch != ev->u.task.epoch ||
	    (t->attempt != 0 && t->attempt != ev->u.task.attempt))
		return STATUS_STALE;
	ji = t->job;
	switch (ev->kind) {
	case SCHED_EV_TASK_RUNNING:
		return STATUS_OK;
	case SCHED_EV_TASK_CHECKPOINT:
		t->progress = ev->u.task.progress;
		t->checkpoint_ms = s->now_ms;
		return STATUS_OK;
	case SCHED_EV_TASK_DONE:
		sched_learn_size(s, t);
		sched_worker_succeeded(s, t->worker);
		s->queue.jobs[ji].nsucceeded++;
		if (!t->urgent)
			tgt_add(&s->queue.classes[t->cls].tgt, s->now_ms, 1, 0);
		sched_release(s, ti, true);
		break;
	case SCHED_EV_TASK_FAILED:
		sched_task_failed(s, ti);
		sched_release(s, ti, false);
		break;
	case SCHED_EV_TASK_STOPPED:
		sched_release(s, ti, false);
		break;
	default:
		return STATUS_INVALID;
	}
	sched_job_update(s, ji);
	return STATUS_OK;
}
