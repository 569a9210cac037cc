#include "placement/sched_impl.h"

#include <math.h>

#define USAGE_CPU_DECAY	    0.97
#define USAGE_SVC_DECAY	    0.99
#define USAGE_CPU_MARGIN    1.10 /* of urgent tasks; batch can be throttled */
#define USAGE_MEM_MARGIN    1.15
#define USAGE_SVC_MARGIN    1.15
#define USAGE_SETTLED	    5	  /* reports before a reservation may shrink */
#define USAGE_SHRINK	    0.9	  /* smaller changes are not worth it */
#define USAGE_MOVE_MS	    10000 /* throttling is given this long */
#define USAGE_MEM_DANGER    0.97  /* of capacity: no time to checkpoint */
#define USAGE_RELAX_MS	    5000
#define USAGE_PERCENT_LEAST 25

void
sched_observe(struct sched *s, const struct alloc_task *t)
{
	struct jobq_job *j = &s->q.j[t->job];
	struct jobq_class *c = &s->q.c[t->cls];
	double cpu, mem;

	if (t->reports == 0)
		return;
	if (j->learn == NULL) {
		j->learn = talloc(s, struct learn);
		learn_init(j->learn);
	}
	/* A throttled task does not show what it would use. */
	if (j->declared.cpu_milli > 0 && t->percent == 100) {
		cpu = (double)t->peak_cpu / (double)j->declared.cpu_milli;
		learn_cpu(j->learn, cpu);
		learn_cpu(&c->learn, cpu);
	}
	if (j->declared.mem_mb > 0) {
		mem = (double)t->peak_mem / (double)j->declared.mem_mb;
		learn_mem(j->learn, mem);
		learn_mem(&c->learn, mem);
	}
}

/* Changes a reservation and the account of the team with it. */
static bool
usage_resize(struct sched *s, uint32_t ti, struct sched_res to)
{
	struct alloc_task *t = &s->a.t[ti];
	struct jobq_team *team = &s->q.t[s->q.c[t->cls].team];
	int64_t before = t->held.cpu_milli + t->held.mem_mb;
	bool whole;

	res_sub(&team->used, &t->held);
	whole = alloc_task_resize(&s->a, ti, to);
	res_add(&team->used, &t->held);
	if (t->held.cpu_milli + t->held.mem_mb < before)
		s->dirty = true;
	return whole;
}

/* Tells the worker the full reservation of a task and its percentage. */
void
sched_throttle_order(struct sched *s, uint32_t ti)
{
	const struct alloc_task *t = &s->a.t[ti];
	struct sched_act *act = sched_emit(s, SCHED_ACT_THROTTLE);

	act->u.task.task = t->id;
	act->u.task.epoch = s->a.w[t->worker].epoch;
	act->u.task.limit = t->held;
	act->u.task.limit.cpu_milli = t->full_cpu;
	act->u.task.percent = t->percent;
}

/*
 * Orders a task to use a percentage of its full reservation and holds as much
 * for it. A raise takes effect only as far as there is room.
 */
void
sched_set_percent(struct sched *s, uint32_t ti, unsigned percent)
{
	struct alloc_task *t = &s->a.t[ti];
	struct sched_res to = t->held;

	ctr_add(&s->ctr,
	    percent < t->percent ? SCHED_CTR_THROTTLE : SCHED_CTR_UNTHROTTLE,
	    1);
	t->percent = (uint8_t)percent;
	t->thr_ms = s->now_ms;
	to.cpu_milli = (int64_t)t->full_cpu * percent / 100;
	usage_resize(s, ti, to);
	/* During a rebuild the first TICK sends the final percentages. */
	if (s->ready)
		sched_throttle_order(s, ti);
}

/* What a running task should hold after a report. */
static struct sched_res
usage_want(const struct sched *s, const struct alloc_task *t)
{
	struct sched_res need = sched_need(s, &s->q.j[t->job]), to = t->held;
	double cpu = t->peak_cpu * (t->urgent ? USAGE_CPU_MARGIN : 1);
	double mem = t->peak_mem * USAGE_MEM_MARGIN;

	to.cpu_milli = t->full_cpu;
	if (t->percent == 100) {
		if (cpu > (double)to.cpu_milli ||
		    (t->reports >= USAGE_SETTLED &&
			cpu < (double)to.cpu_milli * USAGE_SHRINK))
			to.cpu_milli = (int64_t)cpu;
	}
	/* A task that has just begun may still grow to the learned size. */
	mem = fmax(mem, (double)need.mem_mb);
	if (mem > (double)to.mem_mb ||
	    (t->reports >= USAGE_SETTLED &&
		mem < (double)to.mem_mb * USAGE_SHRINK))
		to.mem_mb = (int64_t)mem;
	return to;
}

/* Takes one task's figures in; adds what it lacks to *lack. */
static void
usage_task(struct sched *s, uint32_t ti, const struct sched_usage *u,
    struct sched_res *lack)
{
	struct alloc_task *t = &s->a.t[ti];
	struct sched_res want;

	t->reports++;
	t->peak_cpu = (int32_t)fmax(
	    (double)u->cpu_milli, (double)t->peak_cpu * USAGE_CPU_DECAY);
	if (u->mem_mb > t->peak_mem)
		t->peak_mem = (int32_t)u->mem_mb;
	if (t->reports == 5 || t->reports == 25 || t->reports == 125)
		sched_observe(s, t);
	if (!s->conf.learning || t->state == ALLOC_STOPPING)
		return;
	want = usage_want(s, t);
	t->full_cpu = (int32_t)want.cpu_milli;
	want.cpu_milli = want.cpu_milli * t->percent / 100;
	if (usage_resize(s, ti, want))
		return;
	/* Batch work may use idle processors beyond what it holds. */
	if (t->urgent)
		lack->cpu_milli += want.cpu_milli - t->held.cpu_milli;
	/* What it may still grow to is no reason to move work now. */
	if (t->peak_mem > t->held.mem_mb)
		lack->mem_mb += t->peak_mem - t->held.mem_mb;
}

/* Follows what the requests of a worker use; adds what is lacking. */
static void
usage_requests(struct sched *s, uint32_t wi, int64_t cpu, int64_t mem,
    struct sched_res *lack)
{
	struct alloc_worker *w = &s->a.w[wi];
	struct sched_res svc;

	if (w->slots == 0)
		return;
	w->svc_cpu = fmax((double)cpu, w->svc_cpu * USAGE_SVC_DECAY);
	w->svc_mem = fmax((double)mem, w->svc_mem * USAGE_SVC_DECAY);
	s->slot_cpu += 0.01 * (w->svc_cpu / w->slots - s->slot_cpu);
	s->slot_mem += 0.01 * (w->svc_mem / w->slots - s->slot_mem);
	svc.cpu_milli = (int64_t)(w->svc_cpu * USAGE_SVC_MARGIN);
	svc.mem_mb = (int64_t)(w->svc_mem * USAGE_SVC_MARGIN);
	svc.accel = 0;
	if (svc.cpu_milli < w->svc.cpu_milli)
		s->dirty = true;
	alloc_worker_svc(&s->a, wi, svc);
	lack->cpu_milli += svc.cpu_milli - s->a.w[wi].svc.cpu_milli;
	if ((int64_t)w->svc_mem > w->svc.mem_mb)
		lack->mem_mb += (int64_t)w->svc_mem - w->svc.mem_mb;
}

/* Throttles batch tasks, the largest first, until enough is given back. */
int64_t
sched_throttle(struct sched *s, uint32_t wi, int64_t lack)
{
	uint32_t ti, best;
	int64_t before;

	while (lack > 0) {
		best = ALLOC_NONE;
		for (ti = s->a.w[wi].head; ti != ALLOC_NONE;
		     ti = s->a.t[ti].wnext) {
			const struct alloc_task *t = &s->a.t[ti];

			if (t->urgent || t->state != ALLOC_RUNNING ||
			    t->percent <= USAGE_PERCENT_LEAST)
				continue;
			if (best == ALLOC_NONE ||
			    t->held.cpu_milli > s->a.t[best].held.cpu_milli)
				best = ti;
		}
		if (best == ALLOC_NONE)
			break;
		before = s->a.t[best].held.cpu_milli;
		sched_set_percent(s, best, s->a.t[best].percent / 2);
		if (before == 0)
			break;
		lack -= before - s->a.t[best].held.cpu_milli;
	}
	return lack;
}

/*
 * The task whose end frees the most useful room for the least repeated work:
 * batch before urgent, enough memory before too little, then least lost.
 */
static uint32_t
usage_victim(const struct sched *s, uint32_t wi, int64_t mem, bool urgent)
{
	uint32_t ti, best = ALLOC_NONE;
	bool enough, best_enough = false;
	int64_t lost, best_lost = 0;

	for (ti = s->a.w[wi].head; ti != ALLOC_NONE; ti = s->a.t[ti].wnext) {
		const struct alloc_task *t = &s->a.t[ti];

		if (t->urgent != urgent || t->state != ALLOC_RUNNING)
			continue;
		enough = t->held.mem_mb >= mem;
		lost = sched_lost_ms(s, t);
		if (best == ALLOC_NONE || (enough && !best_enough) ||
		    (enough == best_enough && lost < best_lost)) {
			best = ti;
			best_enough = enough;
			best_lost = lost;
		}
	}
	return best;
}

/* Memory that stopping tasks of a worker are about to give back. */
static int64_t
usage_stopping(const struct sched *s, uint32_t wi)
{
	int64_t mem = 0;
	uint32_t ti;

	for (ti = s->a.w[wi].head; ti != ALLOC_NONE; ti = s->a.t[ti].wnext)
		if (s->a.t[ti].state == ALLOC_STOPPING)
			mem += s->a.t[ti].held.mem_mb;
	return mem;
}

/*
 * Reacts to work that needs more than could be held. Processors: throttle
 * batch, and move a batch task when that does not help for some time. Memory
 * cannot be throttled: move a task; stop it when memory is about to run out.
 */
static void
usage_react(struct sched *s, uint32_t wi, const struct sched_res *lack,
    const struct sched_res *used)
{
	struct alloc_worker *w = &s->a.w[wi];
	bool danger =
	    (double)used->mem_mb > (double)w->cap.mem_mb * USAGE_MEM_DANGER;
	int64_t cpu, mem;
	uint32_t ti;

	ctr_add(&s->ctr, SCHED_CTR_OVER, 1);
	if (w->over_ms == 0)
		w->over_ms = s->now_ms;
	cpu = sched_throttle(s, wi, lack->cpu_milli);
	if (cpu > 0 && s->now_ms - w->over_ms > USAGE_MOVE_MS) {
		ti = usage_victim(s, wi, 0, false);
		if (ti != ALLOC_NONE)
			(void)sched_evict(s, ti, SCHED_CTR_EVICT_USE);
	}
	mem = lack->mem_mb;
	if (danger && mem == 0)
		mem = used->mem_mb -
		    (int64_t)((double)w->cap.mem_mb * USAGE_MEM_DANGER);
	mem -= usage_stopping(s, wi);
	if (mem <= 0)
		return;
	ti = usage_victim(s, wi, mem, false);
	if (ti == ALLOC_NONE)
		ti = usage_victim(s, wi, mem, true);
	if (ti == ALLOC_NONE)
		return;
	if (!danger && sched_evict(s, ti, SCHED_CTR_EVICT_USE))
		return;
	if (danger) {
		s->a.t[ti].state = ALLOC_STOPPING;
		sched_order(s, SCHED_ACT_STOP, ti);
		ctr_add(&s->ctr, SCHED_CTR_STOP_MEMORY, 1);
	}
}

/* Speeds one throttled task up when there is room and no class suffers. */
static void
usage_relax(struct sched *s, uint32_t wi)
{
	const struct alloc_worker *w = &s->a.w[wi];
	struct sched_res room = alloc_free(w);
	uint32_t victims[SCHED_VICTIMS], ti;
	struct intf_near near[INTF_NEAR_MAX];
	unsigned nv = sched_victims(s, w, victims), nn, i;
	double x;
	int64_t more;

	for (ti = w->head; ti != ALLOC_NONE; ti = s->a.t[ti].wnext) {
		const struct alloc_task *t = &s->a.t[ti];
		unsigned to = t->percent >= 50 ? 100 : t->percent * 2;

		if (t->percent == 100 || t->state != ALLOC_RUNNING ||
		    s->now_ms - t->thr_ms < USAGE_RELAX_MS)
			continue;
		more = (int64_t)t->full_cpu * (to - t->percent) / 100;
		if (more > room.cpu_milli ||
		    !jobq_quota_allows(&s->q.t[s->q.c[t->cls].team],
			&(struct sched_res){ more, 0, 0 }))
			continue;
		x = (double)more / (double)w->cap.cpu_milli;
		nn = sched_near(s, w, near);
		for (i = 0; s->conf.targets && i < nv; i++)
			if (sched_load(s, victims[i], near, nn) +
				x * sched_weight(s, victims[i], t->cls) >
			    s->q.c[victims[i]].tgt.cap)
				break;
		if (s->conf.targets && i < nv)
			continue;
		sched_set_percent(s, ti, to);
		return;
	}
}

/*
 * A usage report of a worker. It describes the past: tasks that began since
 * are not in it and keep what they hold. STALE: older than the last one.
 */
enum status
sched_usage(struct sched *s, const struct sched_ev *ev)
{
	uint32_t wi = alloc_worker_find(&s->a, ev->u.usage.epoch), ti;
	int64_t at = s->now_ms - ev->u.usage.age_ms;
	struct sched_res lack = { 0 };
	int64_t cpu = ev->u.usage.used.cpu_milli, mem = ev->u.usage.used.mem_mb;
	size_t i;

	if (wi == ALLOC_NONE)
		return STATUS_NOT_FOUND;
	if (at < s->a.w[wi].usage_ms) {
		ctr_add(&s->ctr, SCHED_CTR_LATE_USAGE, 1);
		return STATUS_STALE;
	}
	s->a.w[wi].usage_ms = at;
	for (i = 0; i < ev->u.usage.n; i++) {
		const struct sched_usage *u = &ev->u.usage.tasks[i];

		cpu -= u->cpu_milli;
		mem -= u->mem_mb;
		ti = alloc_task_find(&s->a, u->task);
		if (ti == ALLOC_NONE || s->a.t[ti].worker != wi)
			continue;
		usage_task(s, ti, u, &lack);
	}
	usage_requests(s, wi, cpu > 0 ? cpu : 0, mem > 0 ? mem : 0, &lack);
	if (lack.cpu_milli > 0 || lack.mem_mb > 0 ||
	    (double)ev->u.usage.used.mem_mb >
		(double)s->a.w[wi].cap.mem_mb * USAGE_MEM_DANGER) {
		usage_react(s, wi, &lack, &ev->u.usage.used);
	} else {
		s->a.w[wi].over_ms = 0;
		usage_relax(s, wi);
	}
	return STATUS_OK;
}
