#include "placement/sched_impl.h"

#include <math.h>

/* Decay of the observed maxima per usage report. */
#define USAGE_CPU_DECAY	    0.97
#define USAGE_REQUEST_DECAY 0.99
/*
 * Margins over the observed maximum. The one for processors applies to urgent
 * tasks; batch tasks can be throttled.
 */
#define USAGE_CPU_MARGIN     1.10
#define USAGE_MEM_MARGIN     1.15
#define USAGE_REQUEST_MARGIN 1.15
/* Reports of a task before its reservation may shrink. */
#define USAGE_SETTLED_REPORTS 5
/* A reservation shrinks only below this share of its size. */
#define USAGE_SHRINK_BELOW 0.9
/* Throttling gets this time to help before a task is evicted. */
#define USAGE_EVICT_AFTER_MS 10000
/* Share of a worker's memory above which no time is left to checkpoint. */
#define USAGE_MEM_CRITICAL	  0.97
#define USAGE_UNTHROTTLE_AFTER_MS 5000
#define USAGE_PERCENT_MIN	  25

/*
 * Adds the maximum usage of a task to the learned sizes of its job and class.
 */
void
sched_learn_size(struct sched *s, const struct alloc_task *t)
{
	struct jobq_job *j = &s->queue.jobs[t->job];
	struct jobq_class *c = &s->queue.classes[t->cls];
	double cpu, mem;

	if (t->reports == 0)
		return;
	if (j->learn == NULL) {
		j->learn = talloc(s, struct learn);
		learn_init(j->learn);
	}
	/* A throttled task does not show what it would use at full speed. */
	if (j->declared.cpu_milli > 0 && t->percent == 100) {
		cpu = (double)t->peak_cpu_milli / (double)j->declared.cpu_milli;
		learn_cpu(j->learn, cpu);
		learn_cpu(&c->learn, cpu);
	}
	if (j->declared.mem_mb > 0) {
		mem = (double)t->peak_mem_mb / (double)j->declared.mem_mb;
		learn_mem(j->learn, mem);
		learn_mem(&c->learn, mem);
	}
}

/*
 * Changes the allocation of a task and the account of its team. Returns false
 * if there was less room than asked for.
 */
static bool
usage_resize(struct sched *s, uint32_t ti, struct sched_res to)
{
	struct alloc_task *t = &s->alloc.tasks[ti];
	struct jobq_team *team = &s->queue.teams[s->queue.classes[t->cls].team];
	int64_t before = t->allocated.cpu_milli + t->allocated.mem_mb;
	bool whole;

	res_sub(&team->used, &t->allocated);
	whole = alloc_task_resize(&s->alloc, ti, to);
	res_add(&team->used, &t->allocated);
	if (t->allocated.cpu_milli + t->allocated.mem_mb < before)
		s->pass_needed = true;
	return whole;
}

/* Emits a THROTTLE with the full reservation of a task and its percentage. */
void
sched_emit_throttle(struct sched *s, uint32_t ti)
{
	const struct alloc_task *t = &s->alloc.tasks[ti];
	struct sched_act *act = sched_emit(s, SCHED_ACT_THROTTLE);

	act->u.task.task = t->id;
	act->u.task.epoch = s->alloc.workers[t->worker].epoch;
	act->u.task.limit = t->allocated;
	act->u.task.limit.cpu_milli = t->full_cpu_milli;
	act->u.task.percent = t->percent;
}

/*
 * Throttles a task to a percentage of its full reservation and allocates as
 * much for it. A raise takes effect only as far as there is room.
 */
void
sched_set_percent(struct sched *s, uint32_t ti, unsigned percent)
{
	struct alloc_task *t = &s->alloc.tasks[ti];
	struct sched_res to = t->allocated;

	ctr_add(&s->ctr,
	    percent < t->percent ? SCHED_CTR_THROTTLE : SCHED_CTR_UNTHROTTLE,
	    1);
	t->percent = (uint8_t)percent;
	t->throttle_ms = s->now_ms;
	to.cpu_milli = (int64_t)t->full_cpu_milli * percent / 100;
	usage_resize(s, ti, to);
	/* During a rebuild the first TICK sends the final percentages. */
	if (s->ready)
		sched_emit_throttle(s, ti);
}

/* Returns what a running task should have allocated after a usage report. */
static struct sched_res
usage_wanted_size(const struct sched *s, const struct alloc_task *t)
{
	struct sched_res need = sched_task_need(s, &s->queue.jobs[t->job]),
			 to = t->allocated;
	double cpu = t->peak_cpu_milli * (t->urgent ? USAGE_CPU_MARGIN : 1);
	double mem = t->peak_mem_mb * USAGE_MEM_MARGIN;

	to.cpu_milli = t->full_cpu_milli;
	if (t->percent == 100) {
		if (cpu > (double)to.cpu_milli ||
		    (t->reports >= USAGE_SETTLED_REPORTS &&
			cpu < (double)to.cpu_milli * USAGE_SHRINK_BELOW))
			to.cpu_milli = (int64_t)cpu;
	}
	/* A task that has just begun may still grow to the learned size. */
	mem = fmax(mem, (double)need.mem_mb);
	if (mem > (double)to.mem_mb ||
	    (t->reports >= USAGE_SETTLED_REPORTS &&
		mem < (double)to.mem_mb * USAGE_SHRINK_BELOW))
		to.mem_mb = (int64_t)mem;
	return to;
}

/*
 * Processes the usage of one task and adjusts its allocation. Adds to *lack
 * what could not be allocated.
 */
static void
usage_task(struct sched *s, uint32_t ti, const struct sched_usage *u,
    struct sched_res *lack)
{
	struct alloc_task *t = &s->alloc.tasks[ti];
	struct sched_res wanted;

	t->reports++;
	t->peak_cpu_milli = (int32_t)fmax(
	    (double)u->cpu_milli, (double)t->peak_cpu_milli * USAGE_CPU_DECAY);
	if (u->mem_mb > t->peak_mem_mb)
		t->peak_mem_mb = (int32_t)u->mem_mb;
	if (t->reports == 5 || t->reports == 25 || t->reports == 125)
		sched_learn_size(s, t);
	if (!s->conf.learning || t->state == ALLOC_STOPPING)
		return;
	wanted = usage_wanted_size(s, t);
	t->full_cpu_milli = (int32_t)wanted.cpu_milli;
	wanted.cpu_milli = wanted.cpu_milli * t->percent / 100;
	if (usage_resize(s, ti, wanted))
		return;
	/*
	 * Batch tasks may use idle processors beyond their allocation, so only
	 * urgent tasks lack some.
	 */
	if (t->urgent)
		lack->cpu_milli += wanted.cpu_milli - t->allocated.cpu_milli;
	/*
	 * Only memory in use counts: possible growth is no reason to evict
	 * tasks now.
	 */
	if (t->peak_mem_mb > t->allocated.mem_mb)
		lack->mem_mb += t->peak_mem_mb - t->allocated.mem_mb;
}

/*
 * Adjusts the allocation for the requests that a worker serves to their use.
 * Adds to *lack what could not be allocated.
 */
static void
usage_requests(struct sched *s, uint32_t wi, int64_t cpu, int64_t mem,
    struct sched_res *lack)
{
	struct alloc_worker *w = &s->alloc.workers[wi];
	struct sched_res wanted;

	if (w->slots == 0)
		return;
	w->request_peak_cpu =
	    fmax((double)cpu, w->request_peak_cpu * USAGE_REQUEST_DECAY);
	w->request_peak_mem =
	    fmax((double)mem, w->request_peak_mem * USAGE_REQUEST_DECAY);
	s->slot_cpu_milli +=
	    0.01 * (w->request_peak_cpu / w->slots - s->slot_cpu_milli);
	s->slot_mem_mb +=
	    0.01 * (w->request_peak_mem / w->slots - s->slot_mem_mb);
	wanted.cpu_milli =
	    (int64_t)(w->request_peak_cpu * USAGE_REQUEST_MARGIN);
	wanted.mem_mb = (int64_t)(w->request_peak_mem * USAGE_REQUEST_MARGIN);
	wanted.accel = 0;
	if (wanted.cpu_milli < w->request_allocated.cpu_milli)
		s->pass_needed = true;
	alloc_worker_set_requests(&s->alloc, wi, wanted);
	lack->cpu_milli +=
	    wanted.cpu_milli - s->alloc.workers[wi].request_allocated.cpu_milli;
	if ((int64_t)w->request_peak_mem > w->request_allocated.mem_mb)
		lack->mem_mb +=
		    (int64_t)w->request_peak_mem - w->request_allocated.mem_mb;
}

/*
 * Throttles batch tasks of a worker, the largest first, until lack thousandths
 * of a processor are freed. Returns how much is still missing.
 */
int64_t
sched_throttle_batch(struct sched *s, uint32_t wi, int64_t lack)
{
	uint32_t ti, best;
	int64_t before;

	while (lack > 0) {
		best = ALLOC_NONE;
		for (ti = s->alloc.workers[wi].first_task; ti != ALLOC_NONE;
		     ti = s->alloc.tasks[ti].worker_next) {
			const struct alloc_task *t = &s->alloc.tasks[ti];

			if (t->urgent || t->state != ALLOC_RUNNING ||
			    t->percent <= USAGE_PERCENT_MIN)
				continue;
			if (best == ALLOC_NONE ||
			    t->allocated.cpu_milli >
				s->alloc.tasks[best].allocated.cpu_milli)
				best = ti;
		}
		if (best == ALLOC_NONE)
			break;
		before = s->alloc.tasks[best].allocated.cpu_milli;
		sched_set_percent(s, best, s->alloc.tasks[best].percent / 2);
		if (before == 0)
			break;
		lack -= before - s->alloc.tasks[best].allocated.cpu_milli;
	}
	return lack;
}

/*
 * Picks the running urgent or batch task to evict, or ALLOC_NONE: one with at
 * least mem MiB allocated if there is any, and among these the one with the
 * least work to repeat.
 */
static uint32_t
usage_pick_eviction(
    const struct sched *s, uint32_t wi, int64_t mem, bool urgent)
{
	uint32_t ti, best = ALLOC_NONE;
	bool enough, best_enough = false;
	int64_t lost, best_lost = 0;

	for (ti = s->alloc.workers[wi].first_task; ti != ALLOC_NONE;
	     ti = s->alloc.tasks[ti].worker_next) {
		const struct alloc_task *t = &s->alloc.tasks[ti];

		if (t->urgent != urgent || t->state != ALLOC_RUNNING)
			continue;
		enough = t->allocated.mem_mb >= mem;
		lost = sched_repeated_work_ms(s, t);
		if (best == ALLOC_NONE || (enough && !best_enough) ||
		    (enough == best_enough && lost < best_lost)) {
			best = ti;
			best_enough = enough;
			best_lost = lost;
		}
	}
	return best;
}

/* Returns the memory in MiB that the stopping tasks of a worker will free. */
static int64_t
usage_stopping_mem_mb(const struct sched *s, uint32_t wi)
{
	int64_t mem = 0;
	uint32_t ti;

	for (ti = s->alloc.workers[wi].first_task; ti != ALLOC_NONE;
	     ti = s->alloc.tasks[ti].worker_next)
		if (s->alloc.tasks[ti].state == ALLOC_STOPPING)
			mem += s->alloc.tasks[ti].allocated.mem_mb;
	return mem;
}

/*
 * Reacts to tasks or requests that need more than could be allocated. For
 * processors, batch tasks are throttled, and one is evicted if that does not
 * help for USAGE_EVICT_AFTER_MS. Memory cannot be throttled: a task is
 * evicted, or stopped without a checkpoint if memory is about to run out.
 */
static void
usage_resolve_shortage(struct sched *s, uint32_t wi,
    const struct sched_res *lack, const struct sched_res *used)
{
	struct alloc_worker *w = &s->alloc.workers[wi];
	bool is_critical = (double)used->mem_mb >
	    (double)w->capacity.mem_mb * USAGE_MEM_CRITICAL;
	int64_t cpu, mem;
	uint32_t ti;

	ctr_add(&s->ctr, SCHED_CTR_SHORTAGE, 1);
	if (w->shortage_since_ms == 0)
		w->shortage_since_ms = s->now_ms;
	cpu = sched_throttle_batch(s, wi, lack->cpu_milli);
	if (cpu > 0 &&
	    s->now_ms - w->shortage_since_ms > USAGE_EVICT_AFTER_MS) {
		ti = usage_pick_eviction(s, wi, 0, false);
		if (ti != ALLOC_NONE)
			(void)sched_evict(s, ti, SCHED_CTR_EVICT_USE);
	}
	mem = lack->mem_mb;
	if (is_critical && mem == 0)
		mem = used->mem_mb -
		    (int64_t)((double)w->capacity.mem_mb * USAGE_MEM_CRITICAL);
	mem -= usage_stopping_mem_mb(s, wi);
	if (mem <= 0)
		return;
	ti = usage_pick_eviction(s, wi, mem, false);
	if (ti == ALLOC_NONE)
		ti = usage_pick_eviction(s, wi, mem, true);
	if (ti == ALLOC_NONE)
		return;
	if (!is_critical && sched_evict(s, ti, SCHED_CTR_EVICT_USE))
		return;
	if (is_critical) {
		s->alloc.tasks[ti].state = ALLOC_STOPPING;
		sched_emit_task(s, SCHED_ACT_STOP, ti);
		ctr_add(&s->ctr, SCHED_CTR_STOP_MEMORY, 1);
	}
}

/*
 * Raises the percentage of one throttled task if there is room and no urgent
 * class would exceed its batch cap.
 */
static void
usage_unthrottle(struct sched *s, uint32_t wi)
{
	const struct alloc_worker *w = &s->alloc.workers[wi];
	struct sched_res room = alloc_free_capacity(w);
	uint32_t victims[SCHED_VICTIMS_MAX], ti;
	struct intf_neighbour neighbours[INTF_NEIGHBOURS_MAX];
	unsigned nvictims = sched_victims(s, w, victims), nneighbours, i;
	double share;
	int64_t more_milli;

	for (ti = w->first_task; ti != ALLOC_NONE;
	     ti = s->alloc.tasks[ti].worker_next) {
		const struct alloc_task *t = &s->alloc.tasks[ti];
		unsigned to = t->percent >= 50 ? 100 : t->percent * 2;

		if (t->percent == 100 || t->state != ALLOC_RUNNING ||
		    s->now_ms - t->throttle_ms < USAGE_UNTHROTTLE_AFTER_MS)
			continue;
		more_milli =
		    (int64_t)t->full_cpu_milli * (to - t->percent) / 100;
		if (more_milli > room.cpu_milli ||
		    !jobq_quota_allows(
			&s->queue.teams[s->queue.classes[t->cls].team],
			&(struct sched_res){ more_milli, 0, 0 }))
			continue;
		share = (double)more_milli / (double)w->capacity.cpu_milli;
		nneighbours = sched_neighbours(s, w, neighbours);
		for (i = 0; s->conf.targets && i < nvictims; i++)
			if (sched_weighted_load(
				s, victims[i], neighbours, nneighbours) +
				share *
				    sched_neighbour_weight(
					s, victims[i], t->cls) >
			    s->queue.classes[victims[i]].tgt.batch_cap)
				break;
		if (s->conf.targets && i < nvictims)
			continue;
		sched_set_percent(s, ti, to);
		return;
	}
}

/*
 * Processes a usage report of a worker. The report describes the past: tasks
 * that started since then are not in it and keep their allocation. Errors:
 * NOT_FOUND (unknown worker), STALE (older than the last report).
 */
enum status
sched_usage(struct sched *s, const struct sched_ev *ev)
{
	uint32_t wi = alloc_worker_find(&s->alloc, ev->u.usage.epoch), ti;
	int64_t at = s->now_ms - ev->u.usage.age_ms;
	struct sched_res lack = { 0 };
	int64_t cpu = ev->u.usage.used.cpu_milli, mem = ev->u.usage.used.mem_mb;
	size_t i;

	if (wi == ALLOC_NONE)
		return STATUS_NOT_FOUND;
	if (at < s->alloc.workers[wi].usage_ms) {
		ctr_add(&s->ctr, SCHED_CTR_LATE_USAGE, 1);
		return STATUS_STALE;
	}
	s->alloc.workers[wi].usage_ms = at;
	for (i = 0; i < ev->u.usage.n; i++) {
		const struct sched_usage *u = &ev->u.usage.tasks[i];

		cpu -= u->cpu_milli;
		mem -= u->mem_mb;
		ti = alloc_task_find(&s->alloc, u->task);
		if (ti == ALLOC_NONE || s->alloc.tasks[ti].worker != wi)
			continue;
		usage_task(s, ti, u, &lack);
	}
	usage_requests(s, wi, cpu > 0 ? cpu : 0, mem > 0 ? mem : 0, &lack);
	if (lack.cpu_milli > 0 || lack.mem_mb > 0 ||
	    (double)ev->u.usage.used.mem_mb >
		(double)s->alloc.workers[wi].capacity.mem_mb *
		    USAGE_MEM_CRITICAL) {
		usage_resolve_shortage(s, wi, &lack, &ev->u.usage.used);
	} else {
		s->alloc.workers[wi].shortage_since_ms = 0;
		usage_unthrottle(s, wi);
	}
	return STATUS_OK;
}
