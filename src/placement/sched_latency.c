#include "placement/sched_impl.h"

#include <math.h>

/* Minimum time between two reactions on a worker. */
#define LATENCY_REACT_INTERVAL_MS 2000
#define LATENCY_CAP_TOLERANCE	  1.05
#define LATENCY_THROTTLES_MAX	  4 /* tasks throttled per reaction */
/* A task that has been throttled for so long is evicted. */
#define LATENCY_EVICT_AFTER_MS 20000
#define LATENCY_WEIGHT_MAX     8.0
/* Standard deviations added at risk, and subtracted to try a pair. */
#define LATENCY_RISK_SD	    0.5
#define LATENCY_EXPLORE_SD  0.25
#define LATENCY_PERCENT_MIN 25

/*
 * Fills at most INTF_NEIGHBOURS_MAX entries with the classes that run on a
 * worker and the share of its processors allocated to each. Returns their
 * number.
 */
unsigned
sched_neighbours(const struct sched *s, const struct alloc_worker *w,
    struct intf_neighbour *neighbours)
{
	unsigned n = 0;
	uint32_t i;

	(void)s;
	for (i = 0; i < w->nclass_uses && n < INTF_NEIGHBOURS_MAX; i++) {
		neighbours[n].cls = w->class_uses[i].cls;
		neighbours[n++].share = (double)w->class_uses[i].cpu_milli /
		    (double)(w->capacity.cpu_milli > 0 ? w->capacity.cpu_milli
						       : 1);
	}
	return n;
}

/*
 * Fills at most SCHED_VICTIMS_MAX entries with the urgent classes whose
 * answers the worker gives, by serving requests or by running tasks of the
 * class. Returns their number.
 */
unsigned
sched_victims(
    const struct sched *s, const struct alloc_worker *w, uint32_t *victims)
{
	unsigned n = 0, k;
	uint32_t i;

	for (i = 0; i < w->nserves && n < SCHED_VICTIMS_MAX; i++)
		if (s->queue.classes[w->serves[i]].configured &&
		    s->queue.classes[w->serves[i]].urgent)
			victims[n++] = w->serves[i];
	for (i = 0; i < w->nclass_uses && n < SCHED_VICTIMS_MAX; i++) {
		if (!s->queue.classes[w->class_uses[i].cls].urgent)
			continue;
		for (k = 0; k < n; k++)
			if (victims[k] == w->class_uses[i].cls)
				break;
		if (k == n)
			victims[n++] = w->class_uses[i].cls;
	}
	return n;
}

/*
 * Returns how much a share of a neighbour class slows the victim down,
 * relative to the mean of its neighbours. An uncertain estimate is raised
 * while the target of the victim is at risk, and lowered slightly otherwise,
 * so that pairs seen rarely are tried.
 */
double
sched_neighbour_weight(const struct sched *s, uint32_t victim, uint32_t cls)
{
	double sd, slowdown;
	struct intf_pair *p;

	if (!s->conf.interference)
		return 1;
	/* Cached for a second, since it is read for every candidate. */
	p = intf_find(&s->intf, victim, cls);
	if (p != NULL && p->weight_refresh == s->refreshes)
		return p->weight;
	slowdown = intf_slowdown(&s->intf, s->now_ms, victim, cls, &sd);
	slowdown += s->queue.classes[victim].at_risk ? LATENCY_RISK_SD * sd
						     : -LATENCY_EXPLORE_SD * sd;
	slowdown = fmax(0,
	    fmin(LATENCY_WEIGHT_MAX, slowdown / intf_mean(&s->intf, victim)));
	if (p != NULL) {
		p->weight = (float)slowdown;
		p->weight_refresh = s->refreshes;
	}
	return slowdown;
}

/*
 * Returns the share of a worker's processors that is allocated to batch
 * classes, each weighted by its interference with the victim.
 */
double
sched_weighted_load(const struct sched *s, uint32_t victim,
    const struct intf_neighbour *neighbours, unsigned n)
{
	double load = 0;
	unsigned i;

	for (i = 0; i < n; i++)
		if (!s->queue.classes[neighbours[i].cls].urgent)
			load += neighbours[i].share *
			    sched_neighbour_weight(
				s, victim, neighbours[i].cls);
	return load;
}

/*
 * Returns the running batch task that interferes most with the victim per
 * processor, ALLOC_NONE if there is none. Considered are tasks that run at
 * more than percent_over percent; with throttled_ms above 0 only tasks that
 * have been throttled for at least so long.
 */
static uint32_t
latency_worst_task(const struct sched *s, uint32_t wi, uint32_t victim,
    unsigned percent_over, int64_t throttled_ms)
{
	uint32_t ti, best = ALLOC_NONE;
	double weight, highest = -1;

	for (ti = s->alloc.workers[wi].first_task; ti != ALLOC_NONE;
	     ti = s->alloc.tasks[ti].worker_next) {
		const struct alloc_task *t = &s->alloc.tasks[ti];

		if (t->urgent || t->state != ALLOC_RUNNING ||
		    t->percent <= percent_over)
			continue;
		if (throttled_ms > 0 &&
		    (t->percent == 100 ||
			s->now_ms - t->throttle_ms < throttled_ms))
			continue;
		weight = sched_neighbour_weight(s, victim, t->cls);
		/*
		 * Among equals the youngest task, which has the least work to
		 * repeat.
		 */
		if (weight > highest ||
		    (weight >= highest &&
			t->since_ms > s->alloc.tasks[best].since_ms)) {
			best = ti;
			highest = weight;
		}
	}
	return best;
}

/*
 * Throttles batch tasks on a worker until their weighted load is below the
 * batch cap of the victim class, and evicts a task that has been throttled for
 * long.
 */
static void
latency_enforce(struct sched *s, uint32_t wi, uint32_t victim)
{
	struct alloc_worker *w = &s->alloc.workers[wi];
	double cap = s->queue.classes[victim].tgt.batch_cap;
	struct intf_neighbour neighbours[INTF_NEIGHBOURS_MAX];
	uint32_t ti;
	int i;

	if (s->now_ms - w->latency_reaction_ms < LATENCY_REACT_INTERVAL_MS)
		return;
	for (i = 0; i < LATENCY_THROTTLES_MAX; i++) {
		if (sched_weighted_load(s, victim, neighbours,
			sched_neighbours(s, w, neighbours)) <=
		    cap * LATENCY_CAP_TOLERANCE)
			return;
		w->latency_reaction_ms = s->now_ms;
		ti = latency_worst_task(s, wi, victim, LATENCY_PERCENT_MIN, 0);
		if (ti == ALLOC_NONE)
			break;
		sched_set_percent(s, ti, s->alloc.tasks[ti].percent / 2);
	}
	/*
	 * A task that has been throttled for long may run at full speed on
	 * another worker.
	 */
	ti = latency_worst_task(s, wi, victim, 0, LATENCY_EVICT_AFTER_MS);
	if (ti != ALLOC_NONE)
		(void)sched_evict(s, ti, SCHED_CTR_EVICT_TARGET);
}

/*
 * Takes in a summary of the answer times of one class on one worker. Errors:
 * NOT_FOUND (unknown worker or class), INVALID (not an urgent class, or more
 * late answers than answers).
 */
enum status
sched_latency(struct sched *s, const struct sched_ev *ev)
{
	uint32_t wi = alloc_worker_find(&s->alloc, ev->u.latency.epoch);
	uint32_t ci = jobq_class_find(&s->queue, ev->u.latency.class_name);
	struct intf_neighbour neighbours[INTF_NEIGHBOURS_MAX];
	struct jobq_class *c;
	unsigned n;

	if (wi == ALLOC_NONE || ci == JOBQ_NONE ||
	    !s->queue.classes[ci].configured)
		return STATUS_NOT_FOUND;
	c = &s->queue.classes[ci];
	if (!c->urgent || ev->u.latency.late > ev->u.latency.count)
		return STATUS_INVALID;
	tgt_add(&c->tgt, s->now_ms, ev->u.latency.count, ev->u.latency.late);
	if (s->conf.interference) {
		n = sched_neighbours(s, &s->alloc.workers[wi], neighbours);
		intf_observe(&s->intf, s->now_ms, ci, neighbours, n,
		    ev->u.latency.count, ev->u.latency.mean_ms);
	}
	if (s->conf.targets)
		latency_enforce(s, wi, ci);
	return STATUS_OK;
}
