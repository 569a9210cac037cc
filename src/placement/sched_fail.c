#include "placement/sched_impl.h"

/* A job that has failed on so many workers is failed. */
#define FAIL_JOB_WORKERS 3
/* Failures of a job after which workers without any success count too. */
#define FAIL_UNPROVEN_FAILURES 12
/* At most one in so many workers is in quarantine. */
#define FAIL_QUARANTINE_DIVISOR	   10
#define FAIL_PROBE_INTERVAL_MS	   60000
#define FAIL_PROBE_INTERVAL_MAX_MS 3600000

/*
 * Returns true if a task of the job has failed on the worker, as far as the
 * last JOBQ_FAILURES_MAX failures tell.
 */
bool
sched_task_failed_on(const struct jobq_job *j, uint32_t number, uint64_t epoch)
{
	uint32_t i,
	    n = j->nfailures < JOBQ_FAILURES_MAX ? j->nfailures
						 : JOBQ_FAILURES_MAX;

	for (i = 0; i < n; i++)
		if (j->failures[i].task == number &&
		    j->failures[i].epoch == epoch)
			return true;
	return false;
}

/* Puts a worker into quarantine or releases it, and emits QUARANTINE. */
static void
fail_set_quarantine(struct sched *s, uint32_t wi, bool on)
{
	struct alloc_worker *w = &s->alloc.workers[wi];
	struct sched_act *act;

	w->quarantined = on;
	w->probing = false;
	w->failure_score = 0;
	s->nquarantined += on ? 1 : -1U;
	if (on) {
		w->probe_interval_ms = FAIL_PROBE_INTERVAL_MS;
		w->probe_ms = s->now_ms + w->probe_interval_ms;
		ctr_add(&s->ctr, SCHED_CTR_QUARANTINE, 1);
	} else {
		s->pass_needed = true;
	}
	alloc_worker_set_closed(&s->alloc, wi, on);
	act = sched_emit(s, SCHED_ACT_QUARANTINE);
	act->u.quarantine.epoch = w->epoch;
	act->u.quarantine.on = on;
}

/*
 * Clears the failure score of a worker on which a task has finished, and ends
 * its quarantine.
 */
void
sched_worker_succeeded(struct sched *s, uint32_t wi)
{
	s->alloc.workers[wi].failure_score = 0;
	s->alloc.workers[wi].last_failed_job = 0;
	s->alloc.workers[wi].has_succeeded = true;
	s->alloc.workers[wi].failed_several_jobs = false;
	if (s->alloc.workers[wi].quarantined)
		fail_set_quarantine(s, wi, false);
}

/*
 * Counts the distinct workers on which the job has failed, or on which one
 * task of it has. A worker does not count if it is quarantined or has failed
 * other jobs too since its last success, because then the worker may be at
 * fault. Workers on which nothing has succeeded yet count only after
 * FAIL_UNPROVEN_FAILURES failures.
 */
static unsigned
fail_count_workers(const struct sched *s, const struct jobq_job *j,
    uint32_t number, bool any_task)
{
	uint32_t i, earlier, wi,
	    n = j->nfailures < JOBQ_FAILURES_MAX ? j->nfailures
						 : JOBQ_FAILURES_MAX;
	unsigned workers = 0;

	for (i = 0; i < n; i++) {
		if (!any_task && j->failures[i].task != number)
			continue;
		wi = alloc_worker_find(&s->alloc, j->failures[i].epoch);
		if (wi != ALLOC_NONE &&
		    (s->alloc.workers[wi].quarantined ||
			s->alloc.workers[wi].failed_several_jobs ||
			(!s->alloc.workers[wi].has_succeeded &&
			    j->nfailures < FAIL_UNPROVEN_FAILURES)))
			continue;
		for (earlier = 0; earlier < i; earlier++)
			if (j->failures[earlier].epoch ==
				j->failures[i].epoch &&
			    (any_task || j->failures[earlier].task == number))
				break;
		workers += earlier == i;
	}
	return workers;
}

/*
 * Attributes the failure of a task either to its worker or to its job. A
 * failure of a job that has succeeded elsewhere speaks against the worker and
 * adds 2 to its failure score; one of a job that has not succeeded yet adds 1,
 * and several of these in a row count once. A worker that reaches
 * SCHED_SUSPECT_SCORE is quarantined. A job that fails on FAIL_JOB_WORKERS
 * workers that are not themselves at fault is failed, and its running tasks
 * are stopped.
 */
void
sched_task_failed(struct sched *s, uint32_t ti)
{
	struct alloc_task *t = &s->alloc.tasks[ti];
	struct alloc_worker *w = &s->alloc.workers[t->worker];
	struct jobq_job *j = &s->queue.jobs[t->job];
	uint32_t number = t->id & ((1U << JOBQ_TASK_BITS) - 1), other;
	struct sched_act *act;

	if (j->nsucceeded > 0)
		w->failure_score += 2;
	else if (w->last_failed_job != j->id)
		w->failure_score += 1;
	if (w->last_failed_job != 0 && w->last_failed_job != j->id)
		w->failed_several_jobs = true;
	w->last_failed_job = j->id;
	if (w->quarantined) {
		/*
		 * Only a probe shows the present state of the worker, not a
		 * task that was started before the quarantine.
		 */
		if (w->probing)
			w->probe_interval_ms = w->probe_interval_ms * 2 <
				FAIL_PROBE_INTERVAL_MAX_MS
			    ? w->probe_interval_ms * 2
			    : FAIL_PROBE_INTERVAL_MAX_MS;
		w->probing = false;
		w->probe_ms = s->now_ms + w->probe_interval_ms;
	} else if (w->failure_score >= SCHED_SUSPECT_SCORE &&
	    (s->nquarantined + 1) * FAIL_QUARANTINE_DIVISOR <=
		s->alloc.nalive) {
		fail_set_quarantine(s, t->worker, true);
	}
	if (!sched_task_failed_on(j, number, w->epoch))
		j->failures[j->nfailures++ % JOBQ_FAILURES_MAX] =
		    (struct jobq_failure){ w->epoch, number };
	if (j->terminated ||
	    fail_count_workers(s, j, number, j->nsucceeded == 0) <
		FAIL_JOB_WORKERS)
		return;
	j->terminated = true;
	j->wait_reason = SCHED_WAIT_FAILED;
	jobq_recount_waiting(&s->queue, t->job);
	ctr_add(&s->ctr, SCHED_CTR_JOB_FAILED, 1);
	act = sched_emit(s, SCHED_ACT_JOB_FAILED);
	act->u.job.id = j->id;
	act->u.job.wait = SCHED_WAIT_FAILED;
	for (other = j->first_task; other != ALLOC_NONE;
	     other = s->alloc.tasks[other].job_next) {
		if (other == ti || s->alloc.tasks[other].state != ALLOC_RUNNING)
			continue;
		s->alloc.tasks[other].state = ALLOC_STOPPING;
		sched_emit_task(s, SCHED_ACT_STOP, other);
	}
}

/* Starts one task of a waiting batch job on a quarantined worker to test it. */
static void
fail_start_probe(struct sched *s, uint32_t wi)
{
	struct sched_res need;
	uint32_t ci, ji, ti, number;

	for (ci = 0; ci < s->queue.nclasses; ci++) {
		ji = s->queue.classes[ci].queue.head;
		if (ji == JOBQ_NONE || s->queue.classes[ci].urgent ||
		    !s->queue.classes[ci].configured || s->queue.jobs[ji].gang)
			continue;
		number = jobq_next_task(&s->queue.jobs[ji]);
		need = sched_task_need(s, &s->queue.jobs[ji]);
		if (number == JOBQ_NONE ||
		    !jobq_quota_allows(
			&s->queue.teams[s->queue.classes[ci].team], &need) ||
		    !sched_allocate(s, ji, number, wi, need, &ti))
			continue;
		sched_emit_task(s, SCHED_ACT_START, ti);
		ctr_add(&s->ctr, SCHED_CTR_STARTS, 1);
		ctr_add(&s->ctr, SCHED_CTR_PROBE, 1);
		s->alloc.workers[wi].probing = true;
		if (jobq_nwaiting(&s->queue.jobs[ji]) == 0) {
			jobq_remove(&s->queue, ji);
			sched_job_set_wait(s, ji, SCHED_WAIT_NONE);
		}
		return;
	}
}

/* Starts a probe on each quarantined worker whose probe time has come. */
void
sched_probe_workers(struct sched *s)
{
	uint32_t i;

	if (s->nquarantined == 0 || !s->ready)
		return;
	for (i = 0; i < s->alloc.nworkers; i++) {
		struct alloc_worker *w = &s->alloc.workers[i];

		if (w->epoch == 0 || !w->quarantined || w->draining ||
		    s->now_ms < w->probe_ms)
			continue;
		/*
		 * A probe is forgotten once its task has left the worker
		 * without a result, so that another one can follow.
		 */
		if (w->probing) {
			w->probing = w->ntasks > 0;
			continue;
		}
		if (w->ntasks == 0)
			fail_start_probe(s, i);
	}
}
