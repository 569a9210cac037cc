#include "placement/sched_impl.h"

#include <math.h>

#define EVICT_JOB_WINDOW_MS  3600000
#define EVICT_SHARE_PER_MIN  0.02  /* of a class's running tasks per minute */
#define EVICT_MIN_RUN_MS     15000 /* a task runs at least so long */
#define EVICT_SAMPLE_WORKERS 16	   /* workers looked at for one preemption */
#define EVICT_PLAN_MAX	     16	   /* tasks stopped for one preemption */
#define EVICT_BUDGET_WAIT_MS 1000  /* preemption ignores budgets after this */
#define EVICT_SETTLE_MS	     6000  /* until room that was made has shown up */

/* Time a task has run since it began or since its last checkpoint. */
int64_t
sched_unsaved_work_ms(const struct sched *s, const struct alloc_task *t)
{
	int64_t from =
	    t->checkpoint_ms > t->since_ms ? t->checkpoint_ms : t->since_ms;

	return s->now_ms - from;
}

static void
evict_refill(const struct sched *s, struct jobq_class *c)
{
	double rate = EVICT_SHARE_PER_MIN * c->running;

	c->evict_tokens +=
	    (double)(s->now_ms - c->evict_refill_ms) / 60000 * rate;
	c->evict_tokens = fmin(c->evict_tokens, fmax(1, rate));
	c->evict_refill_ms = s->now_ms;
}

static bool
evict_job_allows(const struct sched *s, const struct jobq_job *j)
{
	return j->evictions < JOBQ_EVICTIONS_PER_HOUR ||
	    s->now_ms - j->evict_ms[j->evictions % JOBQ_EVICTIONS_PER_HOUR] >=
	    EVICT_JOB_WINDOW_MS;
}

static void
evict_now(struct sched *s, uint32_t ti, enum sched_ctr why)
{
	struct alloc_task *t = &s->alloc.tasks[ti];
	struct jobq_job *j = &s->queue.jobs[t->job];

	j->evict_ms[j->evictions++ % JOBQ_EVICTIONS_PER_HOUR] = s->now_ms;
	t->state = ALLOC_STOPPING;
	sched_emit_task(s, SCHED_ACT_CHECKPOINT, ti);
	ctr_add(&s->ctr, why, 1);
}

/*
 * Checkpoints and stops a running task if the budgets of its job and class
 * allow it. A task that has just begun and a member of a gang are left alone.
 */
bool
sched_evict(struct sched *s, uint32_t ti, enum sched_ctr why)
{
	struct alloc_task *t = &s->alloc.tasks[ti];
	struct jobq_job *j = &s->queue.jobs[t->job];
	struct jobq_class *c = &s->queue.classes[t->cls];

	if (t->state != ALLOC_RUNNING)
		return false;
	evict_refill(s, c);
	if (j->gang || s->now_ms - t->since_ms < EVICT_MIN_RUN_MS ||
	    c->evict_tokens < 1 || !evict_job_allows(s, j)) {
		ctr_add(&s->ctr, SCHED_CTR_EVICT_REFUSED, 1);
		return false;
	}
	c->evict_tokens -= 1;
	evict_now(s, ti, why);
	return true;
}

/* A worker to look at for the k-th time, ALLOC_NONE: not this one. */
static uint32_t
evict_sample_worker(struct sched *s, uint32_t k)
{
	uint32_t wi = s->alloc.nworkers <= EVICT_SAMPLE_WORKERS
	    ? k
	    : (uint32_t)rng_below(&s->alloc.rng, s->alloc.nworkers);

	if (wi >= s->alloc.nworkers || s->alloc.workers[wi].epoch == 0 ||
	    s->alloc.workers[wi].closed || s->alloc.workers[wi].draining ||
	    s->alloc.workers[wi].failure_score >= SCHED_SUSPECT_SCORE)
		return ALLOC_NONE;
	return wi;
}

static bool
evict_is_throttleable(const struct alloc_task *t)
{
	return !t->urgent && t->state == ALLOC_RUNNING && t->percent == 100;
}

/*
 * When a worker lacks only processors for an urgent task, batch tasks there
 * are throttled to a half. The worker gets both orders together, so the task
 * starts at once and no work is moved. The worker where the smallest part of
 * the batch work is slowed down is taken.
 */
uint32_t
sched_throttle_for_urgent(struct sched *s, const struct sched_res *need)
{
	uint32_t k, wi, ti, best = ALLOC_NONE;
	struct sched_res room;
	int64_t give;
	double part, low = 1;

	for (k = 0; k < EVICT_SAMPLE_WORKERS; k++) {
		wi = evict_sample_worker(s, k);
		if (wi == ALLOC_NONE)
			continue;
		room = alloc_free_capacity(&s->alloc.workers[wi]);
		if (need->mem_mb > room.mem_mb || need->accel > room.accel)
			continue;
		give = 0;
		for (ti = s->alloc.workers[wi].first_task; ti != ALLOC_NONE;
		     ti = s->alloc.tasks[ti].worker_next)
			if (evict_is_throttleable(&s->alloc.tasks[ti]))
				give +=
				    s->alloc.tasks[ti].allocated.cpu_milli / 2;
		if (give <= 0)
			continue;
		part =
		    (double)(need->cpu_milli - room.cpu_milli) / (double)give;
		if (part <= low) {
			low = part;
			best = wi;
		}
	}
	if (best == ALLOC_NONE)
		return best;
	for (ti = s->alloc.workers[best].first_task; ti != ALLOC_NONE;
	     ti = s->alloc.tasks[ti].worker_next) {
		room = alloc_free_capacity(&s->alloc.workers[best]);
		if (res_fits(need, &room))
			break;
		if (evict_is_throttleable(&s->alloc.tasks[ti]))
			sched_set_percent(s, ti, 50);
	}
	return best;
}

/*
 * Chooses batch tasks of a worker whose end makes room for need, least lost
 * work first. Returns their number, 0 when it cannot be done.
 */
static unsigned
evict_plan(struct sched *s, uint32_t wi, const struct sched_res *need,
    bool budgets, uint32_t *plan, int64_t *lost)
{
	struct sched_res room = alloc_free_capacity(&s->alloc.workers[wi]);
	unsigned n = 0, i;
	uint32_t ti, best;

	*lost = 0;
	while (!res_fits(need, &room)) {
		best = ALLOC_NONE;
		if (n == EVICT_PLAN_MAX)
			return 0;
		for (ti = s->alloc.workers[wi].first_task; ti != ALLOC_NONE;
		     ti = s->alloc.tasks[ti].worker_next) {
			const struct alloc_task *t = &s->alloc.tasks[ti];
			const struct jobq_job *j = &s->queue.jobs[t->job];

			if (t->urgent || t->state != ALLOC_RUNNING || j->gang)
				continue;
			for (i = 0; i < n; i++)
				if (plan[i] == ti)
					break;
			if (i < n || (budgets && !evict_job_allows(s, j)))
				continue;
			if (best == ALLOC_NONE ||
			    sched_unsaved_work_ms(s, t) <
				sched_unsaved_work_ms(s, &s->alloc.tasks[best]))
				best = ti;
		}
		if (best == ALLOC_NONE)
			return 0;
		plan[n++] = best;
		res_add(&room, &s->alloc.tasks[best].allocated);
		*lost += sched_unsaved_work_ms(s, &s->alloc.tasks[best]);
	}
	return n;
}

/*
 * Makes room for one urgent task by moving batch work off one of a bounded
 * number of workers. Budgets hold until the work has waited for some seconds;
 * after that the start of urgent work comes first.
 */
bool
sched_preempt(struct sched *s, uint32_t ji, const struct sched_res *need)
{
	struct jobq_class *c = &s->queue.classes[s->queue.jobs[ji].cls], *vc;
	bool budgets = s->now_ms - s->queue.jobs[ji].waiting_since_ms <
	    EVICT_BUDGET_WAIT_MS;
	uint32_t plan[EVICT_PLAN_MAX], best[EVICT_PLAN_MAX], wi, k;
	unsigned n, i, nbest = 0;
	int64_t lost, low = 0;

	if (s->now_ms - c->preempt_ms >= EVICT_SETTLE_MS)
		c->npreempting = 0;
	if (c->npreempting >= c->waiting || s->alloc.nworkers == 0)
		return false;
	for (k = 0; k < EVICT_SAMPLE_WORKERS; k++) {
		wi = evict_sample_worker(s, k);
		if (wi == ALLOC_NONE)
			continue;
		n = evict_plan(s, wi, need, budgets, plan, &lost);
		if (n == 0 || (nbest > 0 && lost >= low))
			continue;
		nbest = n;
		low = lost;
		for (i = 0; i < n; i++)
			best[i] = plan[i];
	}
	for (i = 0; budgets && i < nbest; i++) {
		vc = &s->queue.classes[s->alloc.tasks[best[i]].cls];
		evict_refill(s, vc);
		if (vc->evict_tokens < 1) {
			ctr_add(&s->ctr, SCHED_CTR_EVICT_REFUSED, 1);
			return false;
		}
		vc->evict_tokens -= 1;
	}
	for (i = 0; i < nbest; i++)
		evict_now(s, best[i], SCHED_CTR_EVICT_PREEMPT);
	if (nbest == 0)
		return false;
	c->npreempting++;
	c->preempt_ms = s->now_ms;
	return true;
}
