#include "placement/sched_impl.h"

#include <math.h>

#define LATENCY_ACT_MS	      2000 /* between two reactions on a worker */
#define LATENCY_SLACK	      1.05
#define LATENCY_STEPS	      4 /* tasks throttled per reaction */
#define LATENCY_MOVE_MS	      20000
#define LATENCY_WEIGHT_MAX    8.0
#define LATENCY_RISK_SD	      0.5
#define LATENCY_TRY_SD	      0.25
#define LATENCY_PERCENT_LEAST 25

/* Fills at most INTF_NEAR_MAX classes with what they hold of a worker. */
unsigned
sched_near(
    const struct sched *s, const struct alloc_worker *w, struct intf_near *near)
{
	unsigned n = 0;
	uint32_t i;

	(void)s;
	for (i = 0; i < w->nshares && n < INTF_NEAR_MAX; i++) {
		near[n].cls = w->shares[i].cls;
		near[n++].x = (double)w->shares[i].cpu_milli /
		    (double)(w->cap.cpu_milli > 0 ? w->cap.cpu_milli : 1);
	}
	return n;
}

/* Fills at most SCHED_VICTIMS classes whose answers the worker gives. */
unsigned
sched_victims(
    const struct sched *s, const struct alloc_worker *w, uint32_t *victims)
{
	unsigned n = 0, k;
	uint32_t i;

	for (i = 0; i < w->nserves && n < SCHED_VICTIMS; i++)
		if (s->q.c[w->serves[i]].present && s->q.c[w->serves[i]].urgent)
			victims[n++] = w->serves[i];
	for (i = 0; i < w->nshares && n < SCHED_VICTIMS; i++) {
		if (!s->q.c[w->shares[i].cls].urgent)
			continue;
		for (k = 0; k < n; k++)
			if (victims[k] == w->shares[i].cls)
				break;
		if (k == n)
			victims[n++] = w->shares[i].cls;
	}
	return n;
}

/*
 * How much a share of a neighbour counts near a victim, relative to the mean
 * neighbour. An uncertain pair counts as worse while the victim's target is
 * at risk, and as slightly better otherwise, so that it is tried.
 */
double
sched_weight(const struct sched *s, uint32_t victim, uint32_t cls)
{
	double sd, g;
	struct intf_pair *p;

	if (!s->conf.interference)
		return 1;
	/* Computed once a second; it is read for every candidate. */
	p = intf_find(&s->f, victim, cls);
	if (p != NULL && p->weight_at == s->ticks)
		return p->weight;
	g = intf_slowdown(&s->f, s->now_ms, victim, cls, &sd);
	g += s->q.c[victim].at_risk ? LATENCY_RISK_SD * sd
				    : -LATENCY_TRY_SD * sd;
	g = fmax(0, fmin(LATENCY_WEIGHT_MAX, g / intf_mean(&s->f, victim)));
	if (p != NULL) {
		p->weight = (float)g;
		p->weight_at = s->ticks;
	}
	return g;
}

double
sched_load(const struct sched *s, uint32_t victim, const struct intf_near *near,
    unsigned n)
{
	double load = 0;
	unsigned i;

	for (i = 0; i < n; i++)
		if (!s->q.c[near[i].cls].urgent)
			load +=
			    near[i].x * sched_weight(s, victim, near[i].cls);
	return load;
}

/* The running batch task that harms the victim most per processor. */
static uint32_t
latency_worst(const struct sched *s, uint32_t wi, uint32_t victim,
    unsigned percent_over, int64_t throttled_ms)
{
	uint32_t ti, best = ALLOC_NONE;
	double weight, high = -1;

	for (ti = s->a.w[wi].head; ti != ALLOC_NONE; ti = s->a.t[ti].wnext) {
		const struct alloc_task *t = &s->a.t[ti];

		if (t->urgent || t->state != ALLOC_RUNNING ||
		    t->percent <= percent_over)
			continue;
		if (throttled_ms > 0 &&
		    (t->percent == 100 || s->now_ms - t->thr_ms < throttled_ms))
			continue;
		weight = sched_weight(s, victim, t->cls);
		/* Of equals the youngest, which loses least. */
		if (weight > high ||
		    (weight >= high && t->since_ms > s->a.t[best].since_ms)) {
			best = ti;
			high = weight;
		}
	}
	return best;
}

/* Brings the batch work near a victim below the cap of its class. */
static void
latency_enforce(struct sched *s, uint32_t wi, uint32_t victim)
{
	struct alloc_worker *w = &s->a.w[wi];
	double cap = s->q.c[victim].tgt.cap;
	struct intf_near near[INTF_NEAR_MAX];
	uint32_t ti;
	int i;

	if (s->now_ms - w->acted_ms < LATENCY_ACT_MS)
		return;
	for (i = 0; i < LATENCY_STEPS; i++) {
		if (sched_load(s, victim, near, sched_near(s, w, near)) <=
		    cap * LATENCY_SLACK)
			return;
		w->acted_ms = s->now_ms;
		ti = latency_worst(s, wi, victim, LATENCY_PERCENT_LEAST, 0);
		if (ti == ALLOC_NONE)
			break;
		sched_set_percent(s, ti, s->a.t[ti].percent / 2);
	}
	/* What has been slowed down for long does better elsewhere. */
	ti = latency_worst(s, wi, victim, 0, LATENCY_MOVE_MS);
	if (ti != ALLOC_NONE)
		(void)sched_evict(s, ti, SCHED_CTR_EVICT_TARGET);
}

/* A summary of the answers of one class on one worker. */
enum status
sched_latency(struct sched *s, const struct sched_ev *ev)
{
	uint32_t wi = alloc_worker_find(&s->a, ev->u.latency.epoch);
	uint32_t ci = jobq_class_find(&s->q, ev->u.latency.class_name);
	struct intf_near near[INTF_NEAR_MAX];
	struct jobq_class *c;
	unsigned n;

	if (wi == ALLOC_NONE || ci == JOBQ_NONE || !s->q.c[ci].present)
		return STATUS_NOT_FOUND;
	c = &s->q.c[ci];
	if (!c->urgent || ev->u.latency.late > ev->u.latency.count)
		return STATUS_INVALID;
	tgt_add(&c->tgt, s->now_ms, ev->u.latency.count, ev->u.latency.late);
	if (s->conf.interference) {
		n = sched_near(s, &s->a.w[wi], near);
		intf_observe(&s->f, s->now_ms, ci, near, n, ev->u.latency.count,
		    ev->u.latency.mean_ms);
	}
	if (s->conf.targets)
		latency_enforce(s, wi, ci);
	return STATUS_OK;
}
