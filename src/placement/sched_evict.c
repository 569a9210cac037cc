#include "placement/sched_impl.h"

#include <math.h>

#define EVICT_HOUR_MS	  3600000
#define EVICT_SHARE	  0.02	/* of a class's running tasks per minute */
#define EVICT_YOUNG_MS	  15000 /* a task runs at least so long */
#define EVICT_SAMPLE	  16	/* workers looked at for one preemption */
#define EVICT_TASKS	  16	/* tasks stopped for one preemption */
#define EVICT_PATIENCE_MS 1000	/* preemption ignores budgets after this */
#define EVICT_ROOM_MS	  6000	/* until room that was made has shown up */

/* Time a task has run since it began or since its last checkpoint. */
int64_t
sched_lost_ms(const struct sched *s, const struct alloc_task *t)
{
	int64_t from = t->ckpt_ms > t->since_ms ? t->ckpt_ms : t->since_ms;

	return s->now_ms - from;
}

static void
evict_refill(const struct sched *s, struct jobq_class *c)
{
	double rate = EVICT_SHARE * c->running;

	c->evict_tokens += (double)(s->now_ms - c->evict_ms) / 60000 * rate;
	c->evict_tokens = fmin(c->evict_tokens, fmax(1, rate));
	c->evict_ms = s->now_ms;
}

static bool
evict_job_allows(const struct sched *s, const struct jobq_job *j)
{
	return j->evictions < JOBQ_EVICT_HOUR ||
	    s->now_ms - j->evict_ms[j->evictions % JOBQ_EVICT_HOUR] >=
	    EVICT_HOUR_MS;
}

static void
evict_now(struct sched *s, uint32_t ti, enum sched_ctr why)
{
	struct alloc_task *t = &s->a.t[ti];
	struct jobq_job *j = &s->q.j[t->job];

	j->evict_ms[j->evictions++ % JOBQ_EVICT_HOUR] = s->now_ms;
	t->state = ALLOC_STOPPING;
	sched_order(s, SCHED_ACT_CHECKPOINT, ti);
	ctr_add(&s->ctr, why, 1);
}

/*
 * Checkpoints and stops a running task if the budgets of its job and class
 * allow it. A task that has just begun and a member of a gang are left alone.
 */
bool
sched_evict(struct sched *s, uint32_t ti, enum sched_ctr why)
{
	struct alloc_task *t = &s->a.t[ti];
	struct jobq_job *j = &s->q.j[t->job];
	struct jobq_class *c = &s->q.c[t->cls];

	if (t->state != ALLOC_RUNNING)
		return false;
	evict_refill(s, c);
	if (j->gang || s->now_ms - t->since_ms < EVICT_YOUNG_MS ||
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
evict_sample(struct sched *s, uint32_t k)
{
	uint32_t wi = s->a.nw <= EVICT_SAMPLE
	    ? k
	    : (uint32_t)rng_below(&s->a.rng, s->a.nw);

	if (wi >= s->a.nw || s->a.w[wi].epoch == 0 || s->a.w[wi].closed ||
	    s->a.w[wi].draining || s->a.w[wi].suspect >= SCHED_SUSPECT)
		return ALLOC_NONE;
	return wi;
}

static bool
evict_squeezable(const struct alloc_task *t)
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
sched_squeeze(struct sched *s, const struct sched_res *need)
{
	uint32_t k, wi, ti, best = ALLOC_NONE;
	struct sched_res room;
	int64_t give;
	double part, low = 1;

	for (k = 0; k < EVICT_SAMPLE; k++) {
		wi = evict_sample(s, k);
		if (wi == ALLOC_NONE)
			continue;
		room = alloc_free(&s->a.w[wi]);
		if (need->mem_mb > room.mem_mb || need->accel > room.accel)
			continue;
		give = 0;
		for (ti = s->a.w[wi].head; ti != ALLOC_NONE;
		     ti = s->a.t[ti].wnext)
			if (evict_squeezable(&s->a.t[ti]))
				give += s->a.t[ti].held.cpu_milli / 2;
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
	for (ti = s->a.w[best].head; ti != ALLOC_NONE; ti = s->a.t[ti].wnext) {
		room = alloc_free(&s->a.w[best]);
		if (res_fits(need, &room))
			break;
		if (evict_squeezable(&s->a.t[ti]))
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
	struct sched_res room = alloc_free(&s->a.w[wi]);
	unsigned n = 0, i;
	uint32_t ti, best;

	*lost = 0;
	while (!res_fits(need, &room)) {
		best = ALLOC_NONE;
		if (n == EVICT_TASKS)
			return 0;
		for (ti = s->a.w[wi].head; ti != ALLOC_NONE;
		     ti = s->a.t[ti].wnext) {
			const struct alloc_task *t = &s->a.t[ti];
			const struct jobq_job *j = &s->q.j[t->job];

			if (t->urgent || t->state != ALLOC_RUNNING || j->gang)
				continue;
			for (i = 0; i < n; i++)
				if (plan[i] == ti)
					break;
			if (i < n || (budgets && !evict_job_allows(s, j)))
				continue;
			if (best == ALLOC_NONE ||
			    sched_lost_ms(s, t) <
				sched_lost_ms(s, &s->a.t[best]))
				best = ti;
		}
		if (best == ALLOC_NONE)
			return 0;
		plan[n++] = best;
		res_add(&room, &s->a.t[best].held);
		*lost += sched_lost_ms(s, &s->a.t[best]);
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
	struct jobq_class *c = &s->q.c[s->q.j[ji].cls], *vc;
	bool budgets = s->now_ms - s->q.j[ji].wait_ms < EVICT_PATIENCE_MS;
	uint32_t plan[EVICT_TASKS], best[EVICT_TASKS], wi, k;
	unsigned n, i, nbest = 0;
	int64_t lost, low = 0;

	if (s->now_ms - c->preempt_ms >= EVICT_ROOM_MS)
		c->preempting = 0;
	if (c->preempting >= c->waiting || s->a.nw == 0)
		return false;
	for (k = 0; k < EVICT_SAMPLE; k++) {
		wi = evict_sample(s, k);
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
		vc = &s->q.c[s->a.t[best[i]].cls];
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
	c->preempting++;
	c->preempt_ms = s->now_ms;
	return true;
}
