#include "placement/sched.h"

#include <math.h>
#include <string.h>

#include "base/vec.h"
#include "placement/sched_impl.h"

/* Time constants, in seconds, with which the recent maxima decay. */
#define HEADROOM_DECAY_S 600  /* of the number of urgent tasks */
#define HEADROOM_SIZE_S	 3600 /* of the memory of the largest one */
#define HEADROOM_MAX	 0.25 /* share of the memory of a worker */

static const struct ctr_desc sched_ctr_desc[SCHED_CTR_COUNT] = {
	[SCHED_CTR_STARTS] = { "starts", "tasks proposed to a worker" },
	[SCHED_CTR_PASSES] = { "passes", "placement passes" },
	[SCHED_CTR_NO_ROOM] = { "no_room",
	    "placements that found no worker with room" },
	[SCHED_CTR_STALE] = { "stale",
	    "task events of another attempt or worker, ignored" },
	[SCHED_CTR_ASSIGN_FAILED] = { "assign_failed",
	    "proposals that were not confirmed" },
	[SCHED_CTR_GANG_ROLLBACK] = { "gang_rollback",
	    "gangs that did not fit as a whole" },
	[SCHED_CTR_GANG_STOP] = { "gang_stop",
	    "gang tasks stopped because a member could not be replaced" },
	[SCHED_CTR_THROTTLE] = { "throttle", "batch tasks slowed down" },
	[SCHED_CTR_UNTHROTTLE] = { "unthrottle", "batch tasks sped up again" },
	[SCHED_CTR_EVICT_TARGET] = { "evict_target",
	    "tasks evicted for the answer times of a class" },
	[SCHED_CTR_EVICT_USE] = { "evict_use",
	    "tasks evicted because work uses more than is allocated" },
	[SCHED_CTR_EVICT_PREEMPT] = { "evict_preempt",
	    "batch tasks evicted to make room for urgent work" },
	[SCHED_CTR_EVICT_DRAIN] = { "evict_drain",
	    "tasks evicted from a draining worker" },
	[SCHED_CTR_EVICT_REFUSED] = { "evict_refused",
	    "evictions refused by a budget" },
	[SCHED_CTR_STOP_MEMORY] = { "stop_memory",
	    "tasks stopped because memory was about to run out" },
	[SCHED_CTR_SHORTAGE] = { "over",
	    "usage reports that show more than could be allocated" },
	[SCHED_CTR_HELD_BACK] = { "held_back",
	    "batch placements held back for a class at risk" },
	[SCHED_CTR_LATE_USAGE] = { "late_usage",
	    "usage reports older than the last one, ignored" },
	[SCHED_CTR_QUARANTINE] = { "quarantine",
	    "workers that failed everything and get no work" },
	[SCHED_CTR_PROBE] = { "probe",
	    "tasks placed on a quarantined worker to test it" },
	[SCHED_CTR_JOB_FAILED] = { "job_failed",
	    "jobs that failed on too many workers" },
};

static const char *const sched_wait_names[SCHED_WAIT_COUNT] = {
	[SCHED_WAIT_NONE] = "NONE",
	[SCHED_WAIT_QUEUED] = "QUEUED",
	[SCHED_WAIT_NO_ROOM] = "NO_ROOM",
	[SCHED_WAIT_TOO_LARGE] = "TOO_LARGE",
	[SCHED_WAIT_NO_ACCELERATOR] = "NO_ACCELERATOR",
	[SCHED_WAIT_OVER_QUOTA] = "OVER_QUOTA",
	[SCHED_WAIT_GANG] = "GANG",
	[SCHED_WAIT_TARGET] = "TARGET",
	[SCHED_WAIT_NO_CLASS] = "NO_CLASS",
	[SCHED_WAIT_FAILED] = "FAILED",
};

/*
 * Returns the name of a wait reason as shown to operators, "?" for an unknown
 * value.
 */
const char *
sched_wait_name(enum sched_wait w)
{
	return w < SCHED_WAIT_COUNT ? sched_wait_names[w] : "?";
}

/*
 * Returns a scheduler without workers, classes and jobs. It is allocated below
 * ctx and freed with talloc_free().
 */
struct sched *
sched_new(TALLOC_CTX *ctx, const struct sched_conf *conf, struct timespec now)
{
	struct sched *s = talloc_zero(ctx, struct sched);

	s->conf = *conf;
	if (s->conf.candidates == 0)
		s->conf.candidates = 8;
	if (s->conf.candidates > SCHED_CANDIDATES_MAX)
		s->conf.candidates = SCHED_CANDIDATES_MAX;
	s->now_ms = clk_ns(now) / CLK_NS_PER_MS;
	alloc_init(&s->alloc, s, conf->seed);
	jobq_init(&s->queue, s);
	intf_init(&s->intf, s);
	s->refresh_ms = s->now_ms;
	s->slot_cpu_milli = SCHED_SLOT_CPU_MILLI;
	s->slot_mem_mb = SCHED_SLOT_MEM_MB;
	hmap_init(&s->racks, s);
	hmap_init(&s->domains, s);
	ctr_init(&s->ctr, s, sched_ctr_desc, SCHED_CTR_COUNT);
	s->pass_ms = s->now_ms;
	s->retry_ms = INT64_MAX;
	return s;
}

/* Appends a zeroed action to the output of the current step and returns it. */
struct sched_act *
sched_emit(struct sched *s, enum sched_act_kind kind)
{
	struct sched_acts *o = s->acts;

	o->v = vec_grow(o->v, o->n, &o->cap, sizeof(*o->v));
	memset(&o->v[o->n], 0, sizeof(o->v[o->n]));
	o->v[o->n].kind = kind;
	return &o->v[o->n++];
}

/* Emits an action for a task, with its current allocation and throttle. */
void
sched_emit_task(struct sched *s, enum sched_act_kind kind, uint32_t ti)
{
	struct sched_act *act = sched_emit(s, kind);
	const struct alloc_task *t = &s->alloc.tasks[ti];

	act->u.task.task = t->id;
	act->u.task.epoch = s->alloc.workers[t->worker].epoch;
	act->u.task.limit = t->allocated;
	act->u.task.percent = t->percent;
}

/* Records why a job waits and emits JOB_STATE if the reason has changed. */
void
sched_job_set_wait(struct sched *s, uint32_t ji, enum sched_wait wait)
{
	struct jobq_job *j = &s->queue.jobs[ji];
	struct sched_act *act;

	if (j->wait_reason == wait)
		return;
	j->wait_reason = wait;
	act = sched_emit(s, SCHED_ACT_JOB_STATE);
	act->u.job.id = j->id;
	act->u.job.wait = wait;
}

/*
 * Creates or updates a class from the configuration. When the team changes,
 * the allocations of the class are moved to the account of the new team, and
 * jobs parked for the quota of the old team are queued again.
 */
static enum status
sched_class_set(struct sched *s, const struct sched_class *in)
{
	uint32_t i = jobq_class_get(&s->queue, in->name);
	uint32_t team = jobq_team_get(&s->queue, in->team), ji;
	struct jobq_class *c = &s->queue.classes[i];
	uint32_t old = c->team;

	if (!c->configured)
		tgt_init(&c->tgt, s->now_ms);
	c->configured = true;
	c->urgent = in->urgent;
	c->percentile_x10 = in->percentile_x10;
	c->bound_ms = in->bound_ms;
	c->finish_per_hour = in->finish_per_hour;
	if (old != team) {
		/* The new team may have quota left for the parked jobs. */
		for (ji = 0; ji < s->queue.njobs; ji++)
			if (s->queue.jobs[ji].cls == i &&
			    s->queue.jobs[ji].queue_state == JOBQ_PARKED_QUOTA)
				jobq_enqueue(&s->queue, ji);
		if (old != JOBQ_NONE) {
			struct sched_res used = { 0 };
			uint32_t ti;

			for (ji = 0; ji < s->queue.njobs; ji++) {
				if (s->queue.jobs[ji].ntasks == 0 ||
				    s->queue.jobs[ji].cls != i)
					continue;
				for (ti = s->queue.jobs[ji].first_task;
				     ti != ALLOC_NONE;
				     ti = s->alloc.tasks[ti].job_next)
					res_add(&used,
					    &s->alloc.tasks[ti].allocated);
			}
			res_sub(&s->queue.teams[old].used, &used);
			res_add(&s->queue.teams[team].used, &used);
		}
		c->team = team;
	}
	s->pass_needed = true;
	return STATUS_OK;
}

/*
 * Marks a class as not configured. Its record stays, since jobs may still
 * refer to it. NOT_FOUND: no such class is configured.
 */
static enum status
sched_class_gone(struct sched *s, struct str name)
{
	uint32_t i = jobq_class_find(&s->queue, name);

	if (i == JOBQ_NONE || !s->queue.classes[i].configured)
		return STATUS_NOT_FOUND;
	s->queue.classes[i].configured = false;
	s->pass_needed = true;
	return STATUS_OK;
}

/* Sets the quota of a team and queues the jobs that were parked for it. */
static enum status
sched_team_set(struct sched *s, struct str name, struct sched_res quota)
{
	struct jobq_team *t = &s->queue.teams[jobq_team_get(&s->queue, name)];

	t->quota = quota;
	while (t->parked.head != JOBQ_NONE)
		jobq_enqueue(&s->queue, t->parked.head);
	s->pass_needed = true;
	return STATUS_OK;
}

/*
 * Returns the memory in MiB that batch work leaves free on a worker for urgent
 * tasks. Over the fleet this is room for as many urgent tasks as ran at the
 * recent peak beyond those that run now, each as large as the largest. Whole
 * tasks are distributed over the workers by a low-discrepancy sequence over
 * their indices, because an equal share of every worker would be too small for
 * a task. Processors need no headroom: batch work can be throttled at once.
 */
int64_t
sched_headroom_mb(const struct sched *s, uint32_t wi)
{
	double per_worker = s->alloc.nalive == 0
	    ? 0
	    : (s->nurgent_peak - s->nurgent) / s->alloc.nalive;
	double offset = wi * 0.6180339887, n, size;

	if (per_worker <= 0)
		return 0;
	n = floor(per_worker + offset - floor(offset));
	/* A small worker must not be closed to batch work altogether. */
	size = fmax(1, (double)s->urgent_mem_mb);
	n = fmin(n,
	    floor(HEADROOM_MAX * (double)s->alloc.workers[wi].capacity.mem_mb /
		size));
	return (int64_t)(n * size);
}

/*
 * Updates once a second what depends on time alone: attainment of the classes,
 * batch caps, headroom for urgent tasks and probes of quarantined workers.
 */
static void
sched_refresh(struct sched *s)
{
	double m1, m10;
	uint32_t i;

	s->refresh_ms = s->now_ms + 1000;
	s->refreshes++;
	for (i = 0; i < s->queue.nclasses; i++) {
		struct jobq_class *c = &s->queue.classes[i];

		if (!c->configured)
			continue;
		sched_class_attainment(s, i, &m1, &m10);
		/* Classes furthest below their target are served first. */
		c->sort_key = s->conf.targets ? m10 : 0;
		c->at_risk = c->urgent ? m1 < 1 : m10 < 1 && c->waiting > 0;
		if (c->urgent && s->conf.targets)
			tgt_update_cap(&c->tgt, s->now_ms, c->percentile_x10);
	}
	s->nurgent_peak -= (s->nurgent_peak - s->nurgent) / HEADROOM_DECAY_S;
	if (s->nurgent_peak < s->nurgent)
		s->nurgent_peak = s->nurgent;
	s->urgent_mem_mb -= s->urgent_mem_mb / HEADROOM_SIZE_S;
	sched_probe_workers(s);
	/* Batch caps have changed, so held-back tasks may start. */
	s->pass_needed = true;
}

/*
 * Ends the rebuild of the state by a new leader. The previous leader may have
 * throttled running batch tasks, so the current percentages are sent to
 * the workers.
 */
static void
sched_finish_rebuild(struct sched *s)
{
	uint32_t wi, ti;

	s->ready = true;
	for (wi = 0; wi < s->alloc.nworkers; wi++) {
		if (s->alloc.workers[wi].epoch == 0)
			continue;
		for (ti = s->alloc.workers[wi].first_task; ti != ALLOC_NONE;
		     ti = s->alloc.tasks[ti].worker_next)
			if (!s->alloc.tasks[ti].urgent)
				sched_emit_throttle(s, ti);
	}
}

/*
 * Processes one event. Actions are appended to out, which the caller clears.
 * Errors: INVALID (malformed event), EXISTS (job or worker is known already),
 * NOT_FOUND (job, worker or class is unknown), STALE (event of another attempt
 * or worker, or an outdated usage report).
 */
enum status
sched_step(struct sched *s, struct timespec now, const struct sched_ev *ev,
    struct sched_acts *out)
{
	enum status rc = STATUS_OK;
	int64_t now_ms = clk_ns(now) / CLK_NS_PER_MS;

	if (now_ms > s->now_ms)
		s->now_ms = now_ms;
	s->acts = out;
	switch (ev->kind) {
	case SCHED_EV_TICK:
		if (!s->ready)
			sched_finish_rebuild(s);
		break;
	case SCHED_EV_WORKER_UP:
		rc = sched_worker_up(s, &ev->u.worker);
		break;
	case SCHED_EV_WORKER_LOST:
		rc = sched_worker_lost(s, ev->u.epoch);
		break;
	case SCHED_EV_WORKER_DRAIN:
		rc = sched_worker_drain(s, ev->u.epoch);
		break;
	case SCHED_EV_CLASS_SET:
		rc = sched_class_set(s, &ev->u.cls);
		break;
	case SCHED_EV_CLASS_GONE:
		rc = sched_class_gone(s, ev->u.name);
		break;
	case SCHED_EV_TEAM_SET:
		rc = sched_team_set(s, ev->u.team.name, ev->u.team.quota);
		break;
	case SCHED_EV_JOB_SUBMIT:
		rc = sched_job_submit(s, &ev->u.job);
		break;
	case SCHED_EV_JOB_CANCEL:
		rc = sched_job_cancel(s, ev->u.job_id);
		break;
	case SCHED_EV_ASSIGNED:
		rc = sched_assigned(s, ev);
		break;
	case SCHED_EV_ASSIGN_FAILED:
		rc = sched_assign_failed(s, ev);
		break;
	case SCHED_EV_TASK_RUNNING:
	case SCHED_EV_TASK_DONE:
	case SCHED_EV_TASK_FAILED:
	case SCHED_EV_TASK_CHECKPOINT:
	case SCHED_EV_TASK_STOPPED:
		rc = sched_task_event(s, ev);
		break;
	case SCHED_EV_USAGE:
		rc = sched_usage(s, ev);
		break;
	case SCHED_EV_LATENCY:
		rc = sched_latency(s, ev);
		break;
	}
	if (rc == STATUS_STALE)
		ctr_add(&s->ctr, SCHED_CTR_STALE, 1);
	if (s->now_ms >= s->refresh_ms)
		sched_refresh(s);
	if (s->ready && s->now_ms >= s->pass_ms &&
	    (s->pass_needed || s->now_ms >= s->retry_ms))
		sched_placement_pass(s);
	s->acts = NULL;
	return rc;
}

/* Returns the time at which the next TICK is needed at the latest. */
struct timespec
sched_next_tick(const struct sched *s)
{
	int64_t at = s->now_ms + 1000;

	if (s->retry_ms < at)
		at = s->retry_ms;
	if ((s->pass_needed || !s->ready) && s->pass_ms < at)
		at = s->pass_ms;
	return clk_from_ns(at * CLK_NS_PER_MS);
}

/* Returns the counters of the scheduler, which live as long as it does. */
const struct ctr_set *
sched_counters(const struct sched *s)
{
	return &s->ctr;
}

/*
 * Copies out the resources allocated on a worker and its capacity. Allocated
 * are starting, running and stopping tasks and the expected use by requests.
 * Returns false if there is no such worker.
 */
bool
sched_worker_allocated(const struct sched *s, uint64_t epoch,
    struct sched_res *allocated, struct sched_res *capacity)
{
	uint32_t w = alloc_worker_find(&s->alloc, epoch);

	if (w == ALLOC_NONE)
		return false;
	*allocated = s->alloc.workers[w].allocated;
	*capacity = s->alloc.workers[w].capacity;
	return true;
}

/* Returns the bytes of all state. Walks the whole talloc tree. */
size_t
sched_state_bytes(const struct sched *s)
{
	return talloc_total_size(s);
}

/*
 * Computes the attainment of a class over 1 and 10 minutes: answers in time of
 * an urgent class, finished tasks of a batch class. 1 or more: the target is
 * met.
 */
void
sched_class_attainment(
    const struct sched *s, uint32_t ci, double *m1, double *m10)
{
	const struct jobq_class *c = &s->queue.classes[ci];

	if (c->urgent) {
		*m1 = tgt_attainment_answers(
		    &c->tgt, s->now_ms, 6, c->percentile_x10);
		*m10 = tgt_attainment_answers(
		    &c->tgt, s->now_ms, TGT_SLOTS, c->percentile_x10);
	} else {
		*m1 = tgt_attainment_finished(
		    &c->tgt, s->now_ms, 6, c->finish_per_hour);
		*m10 = tgt_attainment_finished(
		    &c->tgt, s->now_ms, TGT_SLOTS, c->finish_per_hour);
	}
}

/*
 * Fills at most n entries, one per configured class, and returns how many
 * configured classes there are. Names live as long as the scheduler.
 */
size_t
sched_attainment(const struct sched *s, struct sched_attainment *v, size_t n)
{
	size_t nconfigured = 0;
	uint32_t i;

	for (i = 0; i < s->queue.nclasses; i++) {
		const struct jobq_class *c = &s->queue.classes[i];

		if (!c->configured)
			continue;
		if (nconfigured < n) {
			v[nconfigured] = (struct sched_attainment){
				.name = str_from(c->name),
				.at_risk = c->at_risk,
				.waiting = c->waiting,
				.running = c->running,
			};
			sched_class_attainment(s, i,
			    &v[nconfigured].attainment_1m,
			    &v[nconfigured].attainment_10m);
		}
		nconfigured++;
	}
	return nconfigured;
}
