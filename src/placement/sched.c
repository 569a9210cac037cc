#include "placement/sched.h"

#include <math.h>
#include <string.h>

#include "base/vec.h"
#include "placement/sched_impl.h"

#define HEADROOM_DECAY_S 600
#define HEADROOM_MAX	 0.25 /* of a worker */
#define HEADROOM_SIZE_S	 3600

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
	    "tasks moved for the answer times of a class" },
	[SCHED_CTR_EVICT_USE] = { "evict_use",
	    "tasks moved because work uses more than is held" },
	[SCHED_CTR_EVICT_PREEMPT] = { "evict_preempt",
	    "batch tasks moved to make room for urgent work" },
	[SCHED_CTR_EVICT_DRAIN] = { "evict_drain",
	    "tasks moved off a leaving worker" },
	[SCHED_CTR_EVICT_REFUSED] = { "evict_refused",
	    "evictions refused by a budget" },
	[SCHED_CTR_STOP_MEMORY] = { "stop_memory",
	    "tasks stopped because memory was about to run out" },
	[SCHED_CTR_OVER] = { "over",
	    "usage reports that show more than could be held" },
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

/* The typed reason as shown to operators. */
const char *
sched_wait_name(enum sched_wait w)
{
	return w < SCHED_WAIT_COUNT ? sched_wait_names[w] : "?";
}

/* A scheduler without workers, classes and jobs. */
struct sched *
sched_new(TALLOC_CTX *ctx, const struct sched_conf *conf, struct timespec now)
{
	struct sched *s = talloc_zero(ctx, struct sched);

	s->conf = *conf;
	if (s->conf.candidates == 0)
		s->conf.candidates = 8;
	if (s->conf.candidates > SCHED_CANDIDATES)
		s->conf.candidates = SCHED_CANDIDATES;
	s->now_ms = clk_ns(now) / CLK_NS_PER_MS;
	alloc_init(&s->a, s, conf->seed);
	jobq_init(&s->q, s);
	intf_init(&s->f, s);
	s->tick_ms = s->now_ms;
	s->slot_cpu = SCHED_SLOT_CPU;
	s->slot_mem = SCHED_SLOT_MEM;
	hmap_init(&s->racks, s);
	hmap_init(&s->domains, s);
	ctr_init(&s->ctr, s, sched_ctr_desc, SCHED_CTR_COUNT);
	s->pass_ms = s->now_ms;
	s->retry_ms = INT64_MAX;
	return s;
}

/* Appends a zeroed action to the output of the current step. */
struct sched_act *
sched_emit(struct sched *s, enum sched_act_kind kind)
{
	struct sched_acts *o = s->out;

	o->v = vec_grow(o->v, o->n, &o->cap, sizeof(*o->v));
	memset(&o->v[o->n], 0, sizeof(o->v[o->n]));
	o->v[o->n].kind = kind;
	return &o->v[o->n++];
}

void
sched_order(struct sched *s, enum sched_act_kind kind, uint32_t ti)
{
	struct sched_act *act = sched_emit(s, kind);
	const struct alloc_task *t = &s->a.t[ti];

	act->u.task.task = t->id;
	act->u.task.epoch = s->a.w[t->worker].epoch;
	act->u.task.limit = t->held;
	act->u.task.percent = t->percent;
}

/* Records why a job waits and reports a change. */
void
sched_job_wait(struct sched *s, uint32_t ji, enum sched_wait wait)
{
	struct jobq_job *j = &s->q.j[ji];
	struct sched_act *act;

	if (j->wait == wait)
		return;
	j->wait = wait;
	act = sched_emit(s, SCHED_ACT_JOB_STATE);
	act->u.job.id = j->id;
	act->u.job.wait = wait;
}

static enum status
sched_class_set(struct sched *s, const struct sched_class *in)
{
	uint32_t i = jobq_class_get(&s->q, in->name);
	uint32_t team = jobq_team_get(&s->q, in->team), ji;
	struct jobq_class *c = &s->q.c[i];
	uint32_t old = c->team;

	if (!c->present)
		tgt_init(&c->tgt, s->now_ms);
	c->present = true;
	c->urgent = in->urgent;
	c->percentile_x10 = in->percentile_x10;
	c->bound_ms = in->bound_ms;
	c->finish_per_hour = in->finish_per_hour;
	if (old != team) {
		/* What runs and what is parked moves to the new team. */
		for (ji = 0; ji < s->q.nj; ji++)
			if (s->q.j[ji].cls == i &&
			    s->q.j[ji].where == JOBQ_PARKED_TEAM)
				jobq_queue(&s->q, ji);
		if (old != JOBQ_NONE) {
			struct sched_res used = { 0 };
			uint32_t ti;

			for (ji = 0; ji < s->q.nj; ji++) {
				if (s->q.j[ji].tasks == 0 ||
				    s->q.j[ji].cls != i)
					continue;
				for (ti = s->q.j[ji].head; ti != ALLOC_NONE;
				     ti = s->a.t[ti].jnext)
					res_add(&used, &s->a.t[ti].held);
			}
			res_sub(&s->q.t[old].used, &used);
			res_add(&s->q.t[team].used, &used);
		}
		c->team = team;
	}
	s->dirty = true;
	return STATUS_OK;
}

static enum status
sched_class_gone(struct sched *s, struct str name)
{
	uint32_t i = jobq_class_find(&s->q, name);

	if (i == JOBQ_NONE || !s->q.c[i].present)
		return STATUS_NOT_FOUND;
	s->q.c[i].present = false;
	s->dirty = true;
	return STATUS_OK;
}

static enum status
sched_team_set(struct sched *s, struct str name, struct sched_res quota)
{
	struct jobq_team *t = &s->q.t[jobq_team_get(&s->q, name)];

	t->quota = quota;
	while (t->parked.head != JOBQ_NONE)
		jobq_queue(&s->q, t->parked.head);
	s->dirty = true;
	return STATUS_OK;
}

/*
 * Memory for as many urgent tasks as ran at the recent peak beyond those that
 * run now, each as large as the largest. Whole tasks are assigned to workers,
 * by a fixed sequence over their indices: an equal share of every worker would
 * be too small for a task. Processors need no headroom, since batch work can
 * be throttled at once.
 */
int64_t
sched_headroom_mb(const struct sched *s, uint32_t wi)
{
	double each =
	    s->a.alive == 0 ? 0 : (s->urgent_peak - s->urgent_n) / s->a.alive;
	double turn = wi * 0.6180339887, n, size;

	if (each <= 0)
		return 0;
	n = floor(each + turn - floor(turn));
	/* A small worker must not be kept free altogether. */
	size = fmax(1, (double)s->urgent_need_mb);
	n = fmin(n, floor(HEADROOM_MAX * (double)s->a.w[wi].cap.mem_mb / size));
	return (int64_t)(n * size);
}

/* Refreshes what depends on time alone. */
static void
sched_second(struct sched *s)
{
	double m1, m10;
	uint32_t i;

	s->tick_ms = s->now_ms + 1000;
	s->ticks++;
	for (i = 0; i < s->q.nc; i++) {
		struct jobq_class *c = &s->q.c[i];

		if (!c->present)
			continue;
		sched_attain(s, i, &m1, &m10);
		/* Classes furthest below their target are served first. */
		c->key = s->conf.targets ? m10 : 0;
		c->at_risk = c->urgent ? m1 < 1 : m10 < 1 && c->waiting > 0;
		if (c->urgent && s->conf.targets)
			tgt_control(&c->tgt, s->now_ms, c->percentile_x10);
	}
	s->urgent_peak -= (s->urgent_peak - s->urgent_n) / HEADROOM_DECAY_S;
	if (s->urgent_peak < s->urgent_n)
		s->urgent_peak = s->urgent_n;
	s->urgent_need_mb -= s->urgent_need_mb / HEADROOM_SIZE_S;
	sched_probes(s);
	/* Caps have moved, so what was held back may start. */
	s->dirty = true;
}

/*
 * The rebuild is complete. Batch tasks that run already may have been
 * throttled by the last leader, so the workers are told the percentages now.
 */
static void
sched_begin(struct sched *s)
{
	uint32_t wi, ti;

	s->ready = true;
	for (wi = 0; wi < s->a.nw; wi++) {
		if (s->a.w[wi].epoch == 0)
			continue;
		for (ti = s->a.w[wi].head; ti != ALLOC_NONE;
		     ti = s->a.t[ti].wnext)
			if (!s->a.t[ti].urgent)
				sched_throttle_order(s, ti);
	}
}

/*
 * Takes one event. Actions are appended to out, which the caller clears.
 * Errors: INVALID (malformed), EXISTS (job or worker is known), NOT_FOUND
 * (job, worker or class is unknown), STALE (other attempt or worker).
 */
enum status
sched_step(struct sched *s, struct timespec now, const struct sched_ev *ev,
    struct sched_acts *out)
{
	enum status rc = STATUS_OK;
	int64_t now_ms = clk_ns(now) / CLK_NS_PER_MS;

	if (now_ms > s->now_ms)
		s->now_ms = now_ms;
	s->out = out;
	switch (ev->kind) {
	case SCHED_EV_TICK:
		if (!s->ready)
			sched_begin(s);
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
	if (s->now_ms >= s->tick_ms)
		sched_second(s);
	if (s->ready && s->now_ms >= s->pass_ms &&
	    (s->dirty || s->now_ms >= s->retry_ms))
		sched_place(s);
	s->out = NULL;
	return rc;
}

/* When TICK is needed at the latest. */
struct timespec
sched_deadline(const struct sched *s)
{
	int64_t at = s->now_ms + 1000;

	if (s->retry_ms < at)
		at = s->retry_ms;
	if ((s->dirty || !s->ready) && s->pass_ms < at)
		at = s->pass_ms;
	return clk_from_ns(at * CLK_NS_PER_MS);
}

const struct ctr_set *
sched_counters(const struct sched *s)
{
	return &s->ctr;
}

/*
 * Copies out what is held on a worker, including starting, stopping and
 * unknown tasks and what requests are expected to use. False: no such worker.
 */
bool
sched_worker_held(const struct sched *s, uint64_t epoch, struct sched_res *held,
    struct sched_res *cap)
{
	uint32_t w = alloc_worker_find(&s->a, epoch);

	if (w == ALLOC_NONE)
		return false;
	*held = s->a.w[w].held;
	*cap = s->a.w[w].cap;
	return true;
}

/* Bytes of all state; walks the whole tree. */
size_t
sched_bytes(const struct sched *s)
{
	return talloc_total_size(s);
}

/* Attainment of a class: answers in time, or work finished. */
void
sched_attain(const struct sched *s, uint32_t ci, double *m1, double *m10)
{
	const struct jobq_class *c = &s->q.c[ci];

	if (c->urgent) {
		*m1 =
		    tgt_share_answers(&c->tgt, s->now_ms, 6, c->percentile_x10);
		*m10 = tgt_share_answers(
		    &c->tgt, s->now_ms, TGT_SLOTS, c->percentile_x10);
	} else {
		*m1 = tgt_share_finished(
		    &c->tgt, s->now_ms, 6, c->finish_per_hour);
		*m10 = tgt_share_finished(
		    &c->tgt, s->now_ms, TGT_SLOTS, c->finish_per_hour);
	}
}

/*
 * Fills at most n entries, one per configured class, and returns how many
 * there are. Names live as long as the scheduler.
 */
size_t
sched_attainment(const struct sched *s, struct sched_attainment *v, size_t n)
{
	size_t k = 0;
	uint32_t i;

	for (i = 0; i < s->q.nc; i++) {
		const struct jobq_class *c = &s->q.c[i];

		if (!c->present)
			continue;
		if (k < n) {
			v[k] = (struct sched_attainment){
				.name = str_from(c->name),
				.at_risk = c->at_risk,
				.waiting = c->waiting,
				.running = c->running,
			};
			sched_attain(s, i, &v[k].share_1m, &v[k].share_10m);
		}
		k++;
	}
	return k;
}
