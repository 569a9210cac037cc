#include "placement/sched_impl.h"

#include <math.h>

#define EVICT_JOB_WINDOW_MS 3600000
/* Share of the running tasks of a class that may be evicted in a minute. */
#define EVICT_SHARE_PER_MIN 0.02
#define EVICT_MIN_RUN_MS    15000 /* younger tasks are not evicted */
/* Workers examined, and tasks evicted at most, for one preemption. */
#define EVICT_SAMPLE_WORKERS 16
#define EVICT_PLAN_MAX	     16
/* A job that has waited for so long preempts beyond the budgets. */
#define EVICT_BUDGET_WAIT_MS 1000
/* Time that evicted tasks get to free their resources. */
#define EVICT_SETTLE_MS 6000

/*
 * Returns the time for which a task has run since its start or its last
 * checkpoint, whichever is later. This is the work that it repeats if it stops
 * now.
 */
int64_t
sched_repeated_work_ms(const struct sched *s, const struct alloc_task *t)
{
	int64_t from =
	    t->checkpoint_ms > t->since_ms ? t->checkpoint_ms : t->since_ms;

	return s->now_ms - from;
}

/* Refills the token bucket of a class that limits its evictions per minute. */
static void
evict_refill(const struct sched *s, struct jobq_class *c)
{
	double rate = EVICT_SHARE_PER_MIN * c->running;

	c->evict_tokens +=
	    (double)(s->now_ms - c->evict_refill_ms) / 60000 * rate;
	c->evict_tokens = fmin(c->evict_tokens, fmax(1, rate));
	c->evict_refill_ms = s->now_ms;
}

/* Returns true if the job has evictions left in its hourly budget. */
static bool
evict_job_allows(const struct sched *s, const struct jobq_job *j)
{
	return j->evictions < JOBQ_EVICTIONS_PER_HOUR ||
	    s->now_ms - j->evict_ms[j->evictions % JOBQ_EVICTIONS_PER_HOUR] >=
	    EVICT_JOB_WINDOW_MS;
}

/* Orders a task to checkpoint and stop, and counts it in the job's budget. */
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
 * Evicts a running task: it checkpoints and stops, then waits again. Returns
 * false if the task does not run, started too recently, belongs to a gang or
 * exceeds the eviction budget of its job or class.
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

/*
 * Returns the k-th worker to examine: each worker of a small fleet in turn,
 * otherwise a random one. ALLOC_NONE: this one cannot take work, try the next
 * k.
 */
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

/* Returns true for a running batch task that is not throttled yet. */
static bool
evict_is_throttleable(const struct alloc_task *t)
{
	return !t->urgent && t->state == ALLOC_RUNNING && t->percent == 100;
}

/*
 * Makes room for an urgent task on a worker that lacks only processors, by
 * throttling batch tasks there to a half. Among the sampled workers, the one
 * where the smallest part of the batch work slows down is chosen. The worker
 * receives the throttle and start orders together, so the urgent task starts
 * at once and nothing is evicted. Returns the worker or ALLOC_NONE.
 */
uint32_t
sched_throttle_for_urgent(struct sched *s, const struct sched_res *need)
{
	uint32_t k, wi, ti, best = ALLOC_NONE;
	struct sched_res room;
	int64_t freeable_milli;
	double slowed_share, lowest_share = 1;

	for (k = 0; k < EVICT_SAMPLE_WORKERS; k++) {
		wi = evict_sample_worker(s, k);
		if (wi == ALLOC_NONE)
			continue;
		room = alloc_free_capacity(&s->alloc.workers[wi]);
		if (need->mem_mb > room.mem_mb || need->accel > room.accel)
			continue;
		freeable_milli = 0;
		for (ti = s->alloc.workers[wi].first_task; ti != ALLOC_NONE;
		     ti = s->alloc.tasks[ti].worker_next)
			if (evict_is_throttleable(&s->alloc.tasks[ti]))
				freeable_milli +=
				    s->alloc.tasks[ti].allocated.cpu_milli / 2;
		if (freeable_milli <= 0)
			continue;
		slowed_share = (double)(need->cpu_milli - room.cpu_milli) /
		    (double)freeable_milli;
		if (slowed_share <= lowest_share) {
			lowest_share = slowed_share;
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
 * Chooses batch tasks of a worker whose eviction makes room for need, those
 * with the least work to repeat first. Fills plan with at most EVICT_PLAN_MAX
 * tasks and *lost with their work to repeat in ms. Returns the number of tasks,
 * 0 if that cannot be done.
 */
static unsigned
evict_plan(struct sched *s, uint32_t wi, const struct sched_res *need,
    bool within_budgets, uint32_t *plan, int64_t *lost)
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
			if (i < n ||
			    (within_budgets && !evict_job_allows(s, j)))
				continue;
			if (best == ALLOC_NONE ||
			    sched_repeated_work_ms(s, t) <
				sched_repeated_work_ms(
				    s, &s->alloc.tasks[best]))
				best = ti;
		}
		if (best == ALLOC_NONE)
			return 0;
		plan[n++] = best;
		res_add(&room, &s->alloc.tasks[best].allocated);
		*lost += sched_repeated_work_ms(s, &s->alloc.tasks[best]);
	}
	return n;
}

/*
 * Makes room for one urgent task by evicting batch tasks from the sampled
 * worker that loses the least work. The eviction budgets are ignored once the
 * job has waited for EVICT_BUDGET_WAIT_MS, since starting urgent work then
 * matters more. Returns false if no room can be made now, or if room for all
 * waiting tasks of the class is being made already.
 */
bool
sched_preempt(struct sched *s, uint32_t ji, const struct sched_res *need)
{
	struct jobq_class *c = &s->queue.classes[s->queue.jobs[ji].cls],
			  *victim_class;
	bool within_budgets = s->now_ms - s->queue.jobs[ji].waiting_since_ms <
	    EVICT_BUDGET_WAIT_MS;
	uint32_t plan[EVICT_PLAN_MAX], best[EVICT_PLAN_MAX], wi, k;
	unsigned n, i, nbest = 0;
	int64_t lost, lowest_lost = 0;

	if (s->now_ms - c->preempt_ms >= EVICT_SETTLE_MS)
		c->npreempting = 0;
	if (c->npreempting >= c->waiting || s->alloc.nworkers == 0)
		return false;
	for (k = 0; k < EVICT_SAMPLE_WORKERS; k++) {
		wi = evict_sample_worker(s, k);
		if (wi == ALLOC_NONE)
			continue;
		n = evict_plan(s, wi, need, within_budgets, plan, &lost);
		if (n == 0 || (nbest > 0 && lost >= lowest_lost))
			continue;
		nbest = n;
		lowest_lost = lost;
		for (i = 0; i < n; i++)
			best[i] = plan[i];
	}
	for (i = 0; within_budgets && i < nbest; i++) {
		victim_class = &s->queue.classes[s->alloc.tasks[best[i]].cls];
		evict_refill(s, victim_class);
		if (victim_class->evict_tokens < 1) {
			ctr_add(&s->ctr, SCHED_CTR_EVICT_REFUSED, 1);
			return false;
		}
		victim_class->evict_tokens -= 1;
	}
	for (i = 0; i < nbest; i++)
		evict_now(s, best[i], SCHED_CTR_EVICT_PREEMPT);
	if (nbest == 0)
		return false;
	c->npreempting++;
	c->preempt_ms = s->now_ms;
	return true;
}
