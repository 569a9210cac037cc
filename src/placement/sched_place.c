#include "placement/sched_impl.h"

#include <math.h>
#include <stdlib.h>

#define PLACE_JOBS_PER_TURN   16 /* jobs examined per turn of a class */
#define PLACE_STARTS_PER_TURN 64 /* tasks started per turn of a class */
#define PLACE_NOFIT_MAX	      16 /* needs remembered as not fitting */
/* Weights of the terms of a worker's score, see place_score(). */
#define PLACE_WEIGHT_BALANCE	  0.3
#define PLACE_WEIGHT_LOAD	  0.3
#define PLACE_WEIGHT_ACCEL	  0.5
#define PLACE_WEIGHT_RACK	  0.5
#define PLACE_WEIGHT_DOMAIN	  1.0
#define PLACE_WEIGHT_SLOWDOWN	  1.0
#define PLACE_WEIGHT_INTERFERENCE 0.5
/* Outweighs the other terms for a worker on which the task has failed. */
#define PLACE_FAILED_PENALTY 100.0
/* Samples of candidates drawn while none of them is acceptable. */
#define PLACE_PICK_TRIES 3
/* Time until a class that was held back for a target is tried again. */
#define PLACE_TARGET_RETRY_MS	200
#define PLACE_GANG_RETRY_MS	100
#define PLACE_GANG_RETRY_MAX_MS 5000

/*
 * State of one placement pass: the starts so far and the needs that found no
 * room. A need that is as large in every dimension is not tried.
 */
struct place_pass {
	struct sched_res nofit[PLACE_NOFIT_MAX];
	unsigned n, starts;
};

/*
 * Parks a job whose tasks are larger than every worker of the fleet; the wait
 * reason tells whether accelerators are missing. If only the learned size does
 * not fit, the job uses its declared size from then on.
 */
void
sched_check_fits(struct sched *s, uint32_t ji)
{
	struct jobq_job *j = &s->queue.jobs[ji];
	struct sched_res need = sched_task_need(s, j);
	bool accel;

	if (s->alloc.nalive == 0 || alloc_ever_fits(&s->alloc, &need, &accel))
		return;
	if (!j->use_declared) {
		j->use_declared = true;
		need = sched_task_need(s, j);
		if (alloc_ever_fits(&s->alloc, &need, &accel))
			return;
	}
	jobq_park_need(&s->queue, ji, &need);
	sched_job_set_wait(
	    s, ji, accel ? SCHED_WAIT_TOO_LARGE : SCHED_WAIT_NO_ACCELERATOR);
}

/*
 * Queues the parked jobs whose need fits a worker now. Jobs that are queued
 * already are checked when they are tried.
 */
void
sched_fleet_changed(struct sched *s)
{
	uint32_t k;
	bool accel;

	for (k = 0; k < s->queue.nparked; k++) {
		struct jobq_list *l = &s->queue.parked[k].jobs;

		if (l->head == JOBQ_NONE ||
		    !alloc_ever_fits(
			&s->alloc, &s->queue.parked[k].need, &accel))
			continue;
		while (l->head != JOBQ_NONE) {
			uint32_t ji = l->head;

			jobq_enqueue(&s->queue, ji);
			sched_job_set_wait(s, ji, SCHED_WAIT_QUEUED);
		}
	}
	s->pass_needed = true;
}

/*
 * Returns how much of a worker's batch cap would be used with a batch task of
 * class cls that takes the given share of its processors, as the maximum over
 * the urgent classes there. Above 1 the answers of an urgent class would
 * become late.
 */
static double
place_interference(const struct sched *s, const struct alloc_worker *w,
    uint32_t cls, double share)
{
	uint32_t victims[SCHED_VICTIMS_MAX];
	struct intf_neighbour neighbours[INTF_NEIGHBOURS_MAX];
	unsigned nvictims = sched_victims(s, w, victims), nneighbours, i;
	double used, highest = 0;

	if (nvictims == 0)
		return 0;
	nneighbours = sched_neighbours(s, w, neighbours);
	for (i = 0; i < nvictims; i++) {
		used = (sched_weighted_load(
			    s, victims[i], neighbours, nneighbours) +
			   share * sched_neighbour_weight(s, victims[i], cls)) /
		    s->queue.classes[victims[i]].tgt.batch_cap;
		if (used > highest)
			highest = used;
	}
	return highest;
}

/*
 * Returns the slowdown that an urgent task of class cls is expected to suffer
 * from the tasks of a worker.
 */
static double
place_expected_slowdown(
    const struct sched *s, const struct alloc_worker *w, uint32_t cls)
{
	struct intf_neighbour neighbours[INTF_NEIGHBOURS_MAX];
	unsigned n = sched_neighbours(s, w, neighbours), i;
	double sum = 0, sd;

	for (i = 0; i < n; i++)
		sum += neighbours[i].share *
		    intf_slowdown(
			&s->intf, s->now_ms, cls, neighbours[i].cls, &sd);
	return sum;
}

/*
 * Returns the score of a worker for a task, lower is better, or INFINITY if
 * the worker must not get it. Terms: imbalance between free processors and
 * memory, load, accelerators left unused, spread of urgent classes over racks
 * and failure domains, and interference in both directions.
 */
static double
place_score(const struct sched *s, const struct jobq_job *j, uint32_t wi,
    const struct sched_res *need)
{
	const struct alloc_worker *w = &s->alloc.workers[wi];
	const struct jobq_class *c = &s->queue.classes[j->cls];
	struct sched_res room = alloc_free_capacity(w);
	double cpu = 0, mem = 0, score, cap_used;

	/*
	 * A suspect worker that may not be quarantined, since too many are,
	 * gets only one batch task at a time.
	 */
	if (w->failure_score >= SCHED_SUSPECT_SCORE &&
	    (w->ntasks > 0 || c->urgent))
		return INFINITY;
	res_sub(&room, need);
	if (w->capacity.cpu_milli > 0)
		cpu = (double)room.cpu_milli / (double)w->capacity.cpu_milli;
	if (w->capacity.mem_mb > 0)
		mem = (double)room.mem_mb / (double)w->capacity.mem_mb;
	score = PLACE_WEIGHT_BALANCE * fabs(cpu - mem) +
	    PLACE_WEIGHT_LOAD * (1 - cpu);
	if (need->accel == 0 && room.accel > 0)
		score += PLACE_WEIGHT_ACCEL;
	if (c->urgent) {
		if (w->rack < c->nracks)
			score += PLACE_WEIGHT_RACK * c->rack_tasks[w->rack] /
			    (c->running + 1.0);
		if (w->domain < c->ndomains)
			score += PLACE_WEIGHT_DOMAIN *
			    c->domain_tasks[w->domain] / (c->running + 1.0);
		if (s->conf.interference)
			score += PLACE_WEIGHT_SLOWDOWN *
			    place_expected_slowdown(s, w, j->cls);
		return score;
	}
	if (!s->conf.targets)
		return score;
	if (room.mem_mb < sched_headroom_mb(s, wi))
		return INFINITY;
	cap_used = place_interference(s, w, j->cls,
	    (double)need->cpu_milli /
		(double)(w->capacity.cpu_milli > 0 ? w->capacity.cpu_milli
						   : 1));
	return cap_used > 1 ? INFINITY
			    : score + PLACE_WEIGHT_INTERFERENCE * cap_used;
}

/*
 * Picks the best worker among a bounded number of candidates. Returns
 * ALLOC_NONE if no candidate is acceptable; *held_back is then true if
 * candidates had room for a batch task.
 */
static uint32_t
place_pick(struct sched *s, const struct jobq_job *j, uint32_t number,
    const struct sched_res *need, bool *held_back)
{
	uint32_t cands[SCHED_CANDIDATES_MAX], best = ALLOC_NONE;
	unsigned n, i, tries;
	double score, lowest = INFINITY;

	for (tries = 0; tries < PLACE_PICK_TRIES && best == ALLOC_NONE;
	     tries++) {
		n = alloc_candidates(
		    &s->alloc, need, cands, s->conf.candidates);
		*held_back = n > 0 && !s->queue.classes[j->cls].urgent;
		for (i = 0; i < n; i++) {
			score = place_score(s, j, cands[i], need);
			/*
			 * Other workers are preferred, but this one is better
			 * than none.
			 */
			if (sched_task_failed_on(
				j, number, s->alloc.workers[cands[i]].epoch))
				score += PLACE_FAILED_PENALTY;
			if (score < lowest) {
				best = cands[i];
				lowest = score;
			}
		}
		if (n < s->conf.candidates)
			break;
	}
	return best;
}

/* Returns true if a need that is no larger has found no room in this pass. */
static bool
place_known_nofit(const struct place_pass *p, const struct sched_res *need)
{
	unsigned i;

	for (i = 0; i < p->n; i++)
		if (res_fits(&p->nofit[i], need))
			return true;
	return false;
}

/*
 * Tries to start one task of a job. Returns NONE if resources are allocated
 * for it, otherwise the reason why it waits. For an urgent task without room
 * batch work is throttled or evicted.
 */
static enum sched_wait
place_task(struct sched *s, struct place_pass *p, uint32_t ji, uint32_t *task)
{
	struct jobq_job *j = &s->queue.jobs[ji];
	struct sched_res need = sched_task_need(s, j);
	uint32_t number = jobq_next_task(j), wi;
	uint32_t n;
	bool held_back;

	if (!jobq_quota_allows(
		&s->queue.teams[s->queue.classes[j->cls].team], &need))
		return SCHED_WAIT_OVER_QUOTA;
	if (!place_known_nofit(p, &need)) {
		wi = place_pick(s, j, number, &need, &held_back);
		if (wi != ALLOC_NONE &&
		    sched_allocate(s, ji, number, wi, need, task))
			return SCHED_WAIT_NONE;
		if (held_back) {
			ctr_add(&s->ctr, SCHED_CTR_HELD_BACK, 1);
			return SCHED_WAIT_TARGET;
		}
		if (p->n < PLACE_NOFIT_MAX)
			p->nofit[p->n++] = need;
		ctr_add(&s->ctr, SCHED_CTR_NO_ROOM, 1);
	}
	if (s->queue.classes[j->cls].urgent && s->conf.targets) {
		wi = sched_throttle_for_urgent(s, &need);
		if (wi != ALLOC_NONE &&
		    sched_allocate(s, ji, number, wi, need, task))
			return SCHED_WAIT_NONE;
	}
	/*
	 * Makes room for all waiting tasks of the job at once, instead of for
	 * one task per pass.
	 */
	if (s->queue.classes[j->cls].urgent && !j->gang)
		for (n = jobq_nwaiting(j); n > 0; n--)
			if (!sched_preempt(s, ji, &need))
				break;
	return SCHED_WAIT_NO_ROOM;
}

/* Emits the START of a task that resources have been allocated for. */
static void
place_start(struct sched *s, struct place_pass *p, uint32_t ti)
{
	const struct alloc_task *t = &s->alloc.tasks[ti];

	sched_emit_task(s, SCHED_ACT_START, ti);
	ctr_add(&s->ctr, SCHED_CTR_STARTS, 1);
	p->starts++;
	/*
	 * A late start of an urgent task counts as a late answer of its class.
	 */
	if (t->urgent)
		tgt_add(&s->queue.classes[t->cls].tgt, s->now_ms, 1,
		    s->now_ms - s->queue.jobs[t->job].waiting_since_ms >
			SCHED_URGENT_START_MS);
}

/*
 * Starts all waiting tasks of a gang or none of them. Lost members are
 * replaced in the same way; if that fails, the remaining members are stopped.
 * Retries are delayed with exponential backoff.
 */
static enum sched_wait
place_gang(struct sched *s, struct place_pass *p, uint32_t ji)
{
	struct jobq_job *j = &s->queue.jobs[ji];
	enum sched_wait why = SCHED_WAIT_NONE;
	uint32_t ti, n = 0, wanted = jobq_nwaiting(j);
	bool was_needed = s->pass_needed;

	if (s->now_ms < j->retry_ms)
		return SCHED_WAIT_GANG;
	for (ti = j->first_task; ti != ALLOC_NONE;
	     ti = s->alloc.tasks[ti].job_next)
		if (s->alloc.tasks[ti].state != ALLOC_RUNNING)
			return SCHED_WAIT_GANG;
	while (n < wanted && why == SCHED_WAIT_NONE) {
		why = place_task(s, p, ji, &ti);
		if (why == SCHED_WAIT_NONE)
			n++;
	}
	/* New tasks are at the head of the job's list. */
	ti = j->first_task;
	if (why == SCHED_WAIT_NONE) {
		j->retry_interval_ms = 0;
		for (; n > 0; n--, ti = s->alloc.tasks[ti].job_next)
			place_start(s, p, ti);
		return why;
	}
	if (n > 0 && why == SCHED_WAIT_NO_ROOM)
		why = SCHED_WAIT_GANG;
	for (; n > 0; n--)
		sched_release(s, j->first_task, false);
	s->pass_needed = was_needed;
	ctr_add(&s->ctr, SCHED_CTR_GANG_ROLLBACK, 1);
	/*
	 * A gang that lost members and cannot replace them must not keep
	 * resources allocated.
	 */
	for (ti = j->first_task; ti != ALLOC_NONE;
	     ti = s->alloc.tasks[ti].job_next) {
		s->alloc.tasks[ti].state = ALLOC_STOPPING;
		sched_emit_task(s, SCHED_ACT_CHECKPOINT, ti);
		ctr_add(&s->ctr, SCHED_CTR_GANG_STOP, 1);
	}
	j->retry_interval_ms = j->retry_interval_ms == 0 ? PLACE_GANG_RETRY_MS
	    : j->retry_interval_ms * 2 < PLACE_GANG_RETRY_MAX_MS
	    ? j->retry_interval_ms * 2
	    : PLACE_GANG_RETRY_MAX_MS;
	if (j->retry_interval_ms >= PLACE_GANG_RETRY_MAX_MS)
		j->use_declared = true;
	j->retry_ms = s->now_ms + j->retry_interval_ms;
	if (j->retry_ms < s->retry_ms)
		s->retry_ms = j->retry_ms;
	return why;
}

/*
 * Starts at most limit tasks of a job. Returns the reason why its next task
 * waits, NONE if no task waits.
 */
static enum sched_wait
place_job(struct sched *s, struct place_pass *p, uint32_t ji, unsigned limit)
{
	enum sched_wait why = SCHED_WAIT_NONE;
	unsigned n = 0;
	uint32_t ti;

	if (s->queue.jobs[ji].gang)
		return place_gang(s, p, ji);
	while (n < limit && jobq_next_task(&s->queue.jobs[ji]) != JOBQ_NONE) {
		why = place_task(s, p, ji, &ti);
		if (why != SCHED_WAIT_NONE)
			return why;
		place_start(s, p, ti);
		n++;
	}
	return jobq_next_task(&s->queue.jobs[ji]) == JOBQ_NONE
	    ? SCHED_WAIT_NONE
	    : SCHED_WAIT_QUEUED;
}

/*
 * Gives a class one turn: tries the first jobs of its queue. Returns true if
 * the class started PLACE_STARTS_PER_TURN tasks and may have more to start.
 */
static bool
place_class(struct sched *s, struct place_pass *p, uint32_t ci)
{
	unsigned seen = 0, starts_before = p->starts;
	uint32_t ji = s->queue.classes[ci].queue.head, next;
	enum sched_wait why;

	if (s->now_ms < s->queue.classes[ci].blocked_until_ms)
		return false;
	for (; ji != JOBQ_NONE && seen < PLACE_JOBS_PER_TURN;
	     ji = next, seen++) {
		next = s->queue.jobs[ji].next;
		if (!s->queue.classes[ci].configured) {
			sched_job_set_wait(s, ji, SCHED_WAIT_NO_CLASS);
			continue;
		}
		why = place_job(s, p, ji, PLACE_STARTS_PER_TURN);
		sched_job_set_wait(s, ji, why);
		if (why == SCHED_WAIT_NONE)
			jobq_remove(&s->queue, ji);
		else if (why == SCHED_WAIT_OVER_QUOTA)
			jobq_park_quota(&s->queue, ji);
		else if (why == SCHED_WAIT_NO_ROOM)
			sched_check_fits(s, ji);
		if (why == SCHED_WAIT_TARGET) {
			/*
			 * Batch caps change once a second, so retrying at once
			 * is useless.
			 */
			s->queue.classes[ci].blocked_until_ms =
			    s->now_ms + PLACE_TARGET_RETRY_MS;
			s->retry_ms =
			    s->retry_ms < s->queue.classes[ci].blocked_until_ms
			    ? s->retry_ms
			    : s->queue.classes[ci].blocked_until_ms;
			/* A large job must not block smaller ones. */
			jobq_enqueue_last(&s->queue, ji);
			return false;
		}
		if (p->starts - starts_before >= PLACE_STARTS_PER_TURN)
			return true;
	}
	/* None of the first jobs fits: try others next time. */
	if (seen == PLACE_JOBS_PER_TURN && ji != JOBQ_NONE &&
	    p->starts == starts_before)
		jobq_enqueue_last(&s->queue, s->queue.classes[ci].queue.head);
	return false;
}

/*
 * Orders classes for a pass: urgent ones first, then by sort key, then by
 * index. For qsort_r().
 */
static int
place_compare_classes(const void *a, const void *b, void *arg)
{
	const struct sched *s = arg;
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	if (s->queue.classes[x].urgent != s->queue.classes[y].urgent)
		return s->queue.classes[x].urgent ? -1 : 1;
	if (s->queue.classes[x].sort_key != s->queue.classes[y].sort_key)
		return s->queue.classes[x].sort_key <
			s->queue.classes[y].sort_key
		    ? -1
		    : 1;
	return x < y ? -1 : x > y;
}

/*
 * Fills s->order with the classes that have queued jobs, in the order in which
 * they get their turns.
 */
static void
place_sort_classes(struct sched *s)
{
	uint32_t i;

	if (s->order_cap < s->queue.nclasses) {
		s->order_cap = s->queue.nclasses;
		s->order = talloc_realloc(s, s->order, uint32_t, s->order_cap);
	}
	s->norder = 0;
	for (i = 0; i < s->queue.nclasses; i++) {
		if (s->queue.classes[i].nqueued > 0)
			s->order[s->norder++] = i;
	}
	if (s->norder > 1)
		qsort_r(s->order, s->norder, sizeof(*s->order),
		    place_compare_classes, s);
}

/*
 * Queues the first parked job of each team whose quota has room for it again.
 */
static void
place_requeue_teams(struct sched *s)
{
	uint32_t i, ji;
	struct sched_res need;

	for (i = 0; i < s->queue.nteams; i++) {
		ji = s->queue.teams[i].parked.head;
		if (ji == JOBQ_NONE)
			continue;
		need = sched_task_need(s, &s->queue.jobs[ji]);
		if (!jobq_quota_allows(&s->queue.teams[i], &need))
			continue;
		jobq_enqueue(&s->queue, ji);
	}
}

/*
 * Runs one placement pass: the classes get turns in their order until nothing
 * more can be started or SCHED_STARTS_PER_PASS is reached. In the latter case
 * the next pass follows after SCHED_PASS_INTERVAL_MS.
 */
void
sched_placement_pass(struct sched *s)
{
	struct place_pass pass = { .n = 0 };
	uint32_t i, nleft;

	s->pass_needed = false;
	s->retry_ms = INT64_MAX;
	s->pass_ms = s->now_ms + SCHED_PASS_INTERVAL_MS;
	ctr_add(&s->ctr, SCHED_CTR_PASSES, 1);
	place_requeue_teams(s);
	place_sort_classes(s);
	while (s->norder > 0 && pass.starts < SCHED_STARTS_PER_PASS) {
		for (i = nleft = 0; i < s->norder; i++) {
			if (pass.starts >= SCHED_STARTS_PER_PASS ||
			    place_class(s, &pass, s->order[i]))
				s->order[nleft++] = s->order[i];
		}
		s->norder = nleft;
	}
	if (s->norder > 0)
		s->pass_needed = true;
}
