#include "placement/sched_impl.h"

#define FAIL_WORKERS	  3  /* a job that failed on so many is failed */
#define FAIL_UNPROVEN	  12 /* failures after which unproven workers count */
#define FAIL_SHARE	  10 /* one in so many workers in quarantine at most */
#define FAIL_PROBE_MS	  60000
#define FAIL_PROBE_MAX_MS 3600000

bool
sched_failed_on(const struct jobq_job *j, uint32_t number, uint64_t epoch)
{
	uint32_t i, n = j->nfail < JOBQ_FAILS ? j->nfail : JOBQ_FAILS;

	for (i = 0; i < n; i++)
		if (j->fail[i].task == number && j->fail[i].epoch == epoch)
			return true;
	return false;
}

static void
fail_quarantine(struct sched *s, uint32_t wi, bool on)
{
	struct alloc_worker *w = &s->a.w[wi];
	struct sched_act *act;

	w->quarantined = on;
	w->probing = false;
	w->suspect = 0;
	s->nquarantined += on ? 1 : -1U;
	if (on) {
		w->probe_gap_ms = FAIL_PROBE_MS;
		w->probe_ms = s->now_ms + w->probe_gap_ms;
		ctr_add(&s->ctr, SCHED_CTR_QUARANTINE, 1);
	} else {
		s->dirty = true;
	}
	alloc_worker_close(&s->a, wi, on);
	act = sched_emit(s, SCHED_ACT_QUARANTINE);
	act->u.quarantine.epoch = w->epoch;
	act->u.quarantine.on = on;
}

/* A task finished on the worker, so the worker is not broken. */
void
sched_worker_good(struct sched *s, uint32_t wi)
{
	s->a.w[wi].suspect = 0;
	s->a.w[wi].bad_job = 0;
	s->a.w[wi].proven = true;
	s->a.w[wi].mixed = false;
	if (s->a.w[wi].quarantined)
		fail_quarantine(s, wi, false);
}

/*
 * Distinct workers that failed the job, or one task of it. Workers that
 * failed other jobs too since their last success say nothing about the job,
 * nor do, at first, workers on which nothing has succeeded yet.
 */
static unsigned
fail_workers(const struct sched *s, const struct jobq_job *j, uint32_t number,
    bool any_task)
{
	uint32_t i, k, wi, n = j->nfail < JOBQ_FAILS ? j->nfail : JOBQ_FAILS;
	unsigned workers = 0;

	for (i = 0; i < n; i++) {
		if (!any_task && j->fail[i].task != number)
			continue;
		wi = alloc_worker_find(&s->a, j->fail[i].epoch);
		if (wi != ALLOC_NONE &&
		    (s->a.w[wi].quarantined || s->a.w[wi].mixed ||
			(!s->a.w[wi].proven && j->nfail < FAIL_UNPROVEN)))
			continue;
		for (k = 0; k < i; k++)
			if (j->fail[k].epoch == j->fail[i].epoch &&
			    (any_task || j->fail[k].task == number))
				break;
		workers += k == i;
	}
	return workers;
}

/*
 * A task failed. Two explanations compete: the worker fails everything, or
 * the job fails everywhere. A failure of a job that succeeds elsewhere speaks
 * against the worker; several failures of one unproven job in a row count
 * once. A job that fails on several workers, none of them suspect, is failed.
 */
void
sched_task_failed(struct sched *s, uint32_t ti)
{
	struct alloc_task *t = &s->a.t[ti];
	struct alloc_worker *w = &s->a.w[t->worker];
	struct jobq_job *j = &s->q.j[t->job];
	uint32_t number = t->id & ((1U << JOBQ_TASK_BITS) - 1), li;
	struct sched_act *act;

	if (j->okay > 0)
		w->suspect += 2;
	else if (w->bad_job != j->id)
		w->suspect += 1;
	if (w->bad_job != 0 && w->bad_job != j->id)
		w->mixed = true;
	w->bad_job = j->id;
	if (w->quarantined) {
		/* Tasks from before the quarantine tell nothing new. */
		if (w->probing)
			w->probe_gap_ms =
			    w->probe_gap_ms * 2 < FAIL_PROBE_MAX_MS
			    ? w->probe_gap_ms * 2
			    : FAIL_PROBE_MAX_MS;
		w->probing = false;
		w->probe_ms = s->now_ms + w->probe_gap_ms;
	} else if (w->suspect >= SCHED_SUSPECT &&
	    (s->nquarantined + 1) * FAIL_SHARE <= s->a.alive) {
		fail_quarantine(s, t->worker, true);
	}
	if (!sched_failed_on(j, number, w->epoch))
		j->fail[j->nfail++ % JOBQ_FAILS] =
		    (struct jobq_fail){ w->epoch, number };
	if (j->dead || fail_workers(s, j, number, j->okay == 0) < FAIL_WORKERS)
		return;
	j->dead = true;
	j->wait = SCHED_WAIT_FAILED;
	jobq_count(&s->q, t->job);
	ctr_add(&s->ctr, SCHED_CTR_JOB_FAILED, 1);
	act = sched_emit(s, SCHED_ACT_JOB_FAILED);
	act->u.job.id = j->id;
	act->u.job.wait = SCHED_WAIT_FAILED;
	for (li = j->head; li != ALLOC_NONE; li = s->a.t[li].jnext) {
		if (li == ti || s->a.t[li].state != ALLOC_RUNNING)
			continue;
		s->a.t[li].state = ALLOC_STOPPING;
		sched_order(s, SCHED_ACT_STOP, li);
	}
}

/* Places one task of a waiting batch job on a worker under quarantine. */
static void
fail_probe(struct sched *s, uint32_t wi)
{
	struct sched_res need;
	uint32_t ci, ji, ti, number;

	for (ci = 0; ci < s->q.nc; ci++) {
		ji = s->q.c[ci].q.head;
		if (ji == JOBQ_NONE || s->q.c[ci].urgent ||
		    !s->q.c[ci].present || s->q.j[ji].gang)
			continue;
		number = jobq_peek(&s->q.j[ji]);
		need = sched_need(s, &s->q.j[ji]);
		if (number == JOBQ_NONE ||
		    !jobq_quota_allows(&s->q.t[s->q.c[ci].team], &need) ||
		    !sched_hold(s, ji, number, wi, need, &ti))
			continue;
		sched_order(s, SCHED_ACT_START, ti);
		ctr_add(&s->ctr, SCHED_CTR_STARTS, 1);
		ctr_add(&s->ctr, SCHED_CTR_PROBE, 1);
		s->a.w[wi].probing = true;
		if (jobq_waiting(&s->q.j[ji]) == 0) {
			jobq_remove(&s->q, ji);
			sched_job_wait(s, ji, SCHED_WAIT_NONE);
		}
		return;
	}
}

/* Probes each quarantined worker with one task when its time has come. */
void
sched_probes(struct sched *s)
{
	uint32_t i;

	if (s->nquarantined == 0 || !s->ready)
		return;
	for (i = 0; i < s->a.nw; i++) {
		struct alloc_worker *w = &s->a.w[i];

		if (w->epoch == 0 || !w->quarantined || w->draining ||
		    s->now_ms < w->probe_ms)
			continue;
		/* A probe that never ends is repeated later. */
		if (w->probing) {
			w->probing = w->ntasks > 0;
			continue;
		}
		if (w->ntasks == 0)
			fail_probe(s, i);
	}
}
