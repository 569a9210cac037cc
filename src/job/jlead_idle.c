#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "job/jlead_impl.h"

/* Finds tasks that should run and don't, and runs that outlive their job;
 * counts and logs them. Nothing here decides anything. */

/* Idle tasks of one scan. */
struct idle_scan {
	uint32_t nwaiting;     /* not assigned */
	uint32_t nunconfirmed; /* assigned, not confirmed by the worker */
	uint32_t nno_run;      /* assigned, and the leader has no run of it */
	uint32_t nlogged;
	int64_t oldest_ms;
};

/* Returns the name of a run's phase in the log. */
static const char *
phase_name(const struct jrun *r)
{
	switch (r->phase) {
	case RUN_PROPOSED:
		return "proposed";
	case RUN_INHERITED:
		return "inherited";
	case RUN_STARTING:
		return "starting";
	case RUN_CONFIRMED:
		return "confirmed";
	case RUN_ENDING:
		return "ending";
	}
	return "invalid";
}

/*
 * Tells whether a task should be running. That is so once it is assigned, and
 * for a displaced long-running task. Other tasks wait for their turn: only the
 * first one of a job that has no run at all counts.
 */
static bool
should_run(const struct jst_step *st, uint32_t index)
{
	const struct jst_task *t = &st->tasks[index];

	switch (t->state) {
	case JST_DONE:
		return false;
	case JST_ASSIGNED:
		return t->active_run == NULL ||
		    t->active_run->phase != RUN_CONFIRMED;
	case JST_WAITING:
		return st->spec->lasting ? t->run > 0
					 : index == 0 && st->job->nruns == 0;
	}
	return false;
}

/* Workers that have room for a task, by what keeps the plan from using them. */
struct fitting_workers {
	uint32_t usable, reserved, silent, paused, draining, evacuated, others;
};

/* Counts the workers that have the processors and memory for a task, by the
 * input of the last plan. */
static void
count_fitting(
    const struct jlead *jl, const Job__Step *s, struct fitting_workers *f)
{
	size_t i;

	memset(f, 0, sizeof(*f));
	for (i = 0; i < jl->nsessions; i++) {
		const struct jplan_worker *p = &jl->plan_workers[i];
		const struct wsess *ws = jl->plan_sessions[i];

		if (p->free_cpu < (int64_t)s->cpu_milli ||
		    p->free_mem < (int64_t)s->mem_mb)
			continue;
		if (p->usable && p->reserved)
			f->reserved++;
		else if (p->usable)
			f->usable++;
		else if (ws->w->draining || ws->leave_announced)
			f->draining++;
		else if (ws->closed)
			f->evacuated++;
		else if (ws->silent || !ws->contacted)
			f->silent++;
		else if (clk_before(jl->now, ws->paused_until))
			f->paused++;
		else
			f->others++;
	}
}

/* Logs a task that isn't assigned: whether its step and queue let the plan see
 * it, and how many workers have room. */
static void
log_waiting(const struct jlead *jl, const struct jst_step *st, uint32_t index,
    int64_t idle_ms)
{
	const struct jst_task *t = &st->tasks[index];
	struct fitting_workers f;

	count_fitting(jl, st->spec, &f);
	log_event(LOG_NOTICE, "job",
	    "event=idle job=%016" PRIx64 " task=%u.%u.%u run=%u state=waiting "
	    "idle_ms=%" PRId64 " proposed=%d step_waiting=%u step_proposed=%u "
	    "queue=%d cpu=%" PRId64 " mem_mb=%" PRId64
	    " long_running=%d best_effort=%d spread=%u fitting=%u of=%zu"
	    " reserved=%u silent=%u paused=%u draining=%u others=%u "
	    "evacuated=%u",
	    st->job->id, st->occurrence, st->number, index, t->run, idle_ms,
	    t->active_run != NULL, st->nwaiting, st->nproposed,
	    st->job->queue_cfg != NULL, (int64_t)st->spec->cpu_milli,
	    (int64_t)st->spec->mem_mb, st->spec->lasting, st->spec->fills,
	    st->spec->spread, f.usable, jl->nsessions, f.reserved, f.silent,
	    f.paused, f.draining, f.others, f.evacuated);
}

/* Logs a task that is assigned: the phase of its run and what its worker's
 * session waits for. */
static void
log_assigned(const struct jlead *jl, const struct jst_step *st, uint32_t index,
    int64_t idle_ms)
{
	const struct jst_task *t = &st->tasks[index];
	const struct jrun *r = t->active_run;
	const struct wsess *ws = r == NULL ? t->worker->session : r->ws;

	log_event(LOG_NOTICE, "job",
	    "event=idle job=%016" PRIx64 " task=%u.%u.%u run=%u "
	    "state=assigned idle_ms=%" PRId64
	    " phase=%s order_pending=%d unconfirmed=%d stop=%d stopped=%d "
	    "starts=%u stops=%u worker=%s contacted=%d silent=%d "
	    "heard_ms=%" PRId64
	    " poll_pending=%d failed_polls=%u ends_pending=%u restarted=%d "
	    "leaving=%d removal=%d",
	    st->job->id, st->occurrence, st->number, index, t->run, idle_ms,
	    r == NULL ? "none" : phase_name(r), r != NULL && r->order_pending,
	    r != NULL && r->unconfirmed, r != NULL && r->must_stop,
	    r != NULL && r->stop_confirmed, r == NULL ? 0 : r->nstarts,
	    r == NULL ? 0 : r->nstops, t->worker->info->id, ws->contacted,
	    ws->silent, clk_diff_ms(jl->now, ws->last_heard_at),
	    ws->poll_pending, ws->failed_polls, ws->ends_pending, ws->restarted,
	    ws->leave_announced, ws->removal_proposed);
}

/* Adds an idle task to the scan, and logs it if few have been logged. */
static void
add_idle(const struct jlead *jl, const struct jst_step *st, uint32_t index,
    int64_t idle_ms, struct idle_scan *scan)
{
	const struct jst_task *t = &st->tasks[index];

	if (idle_ms > scan->oldest_ms)
		scan->oldest_ms = idle_ms;
	if (t->state == JST_WAITING)
		scan->nwaiting++;
	else if (t->active_run == NULL)
		scan->nno_run++;
	else
		scan->nunconfirmed++;
	if (scan->nlogged++ >= JLEAD_IDLE_LINES_MAX)
		return;
	if (t->state == JST_WAITING)
		log_waiting(jl, st, index, idle_ms);
	else
		log_assigned(jl, st, index, idle_ms);
}

/* Finds the idle tasks of a step, and notes since when each is idle. */
static void
scan_step(struct jlead *jl, struct jst_step *st, struct idle_scan *scan)
{
	int64_t now_ms = clk_ns(jl->now) / CLK_NS_PER_MS;
	uint32_t k;

	for (k = 0; k < st->spec->count; k++) {
		struct jst_task *t = &st->tasks[k];

		if (!should_run(st, k)) {
			t->idle_since_ms = 0;
			continue;
		}
		if (t->idle_since_ms == 0)
			t->idle_since_ms = now_ms;
		if (now_ms - t->idle_since_ms >= JLEAD_IDLE_MS)
			add_idle(jl, st, k, now_ms - t->idle_since_ms, scan);
	}
}

/* Counts and logs the workers with runs that are not heard although they don't
 * count as silent: their answers are lost on the way, or no poll is sent. */
static void
scan_unheard(struct jlead *jl)
{
	const struct wsess *ws;
	uint32_t n = 0;
	int64_t ms;

	for (ws = jl->sessions; ws != NULL; ws = ws->next) {
		ms = clk_diff_ms(jl->now, ws->last_heard_at);
		if (ws->silent || ws->restarted || ws->nruns == 0 ||
		    ms < JLEAD_UNHEARD_MS)
			continue;
		if (n++ >= JLEAD_IDLE_LINES_MAX)
			continue;
		log_event(LOG_NOTICE, "job",
		    "event=unheard worker=%s heard_ms=%" PRId64
		    " runs=%u contacted=%d poll_pending=%d failed_polls=%u "
		    "ends_pending=%u leaving=%d removal=%d",
		    ws->w->info->id, ms, ws->nruns, ws->contacted,
		    ws->poll_pending, ws->failed_polls, ws->ends_pending,
		    ws->leave_announced, ws->removal_proposed);
	}
	ctr_add(jl->ctr, JCTR_UNHEARD, n);
}

/* Logs a run of a job that has ended: its phase, the stops sent so far, and
 * what the session of its worker waits for. */
static void
log_outlived(const struct jlead *jl, const struct jrun *r, int64_t since_end_ms)
{
	const struct wsess *ws = r->ws;

	log_event(LOG_NOTICE, "job",
	    "event=outlived job=%016" PRIx64 " task=%u.%u.%u run=%u "
	    "since_end_ms=%" PRId64
	    " phase=%s order_pending=%d retry_in_ms=%" PRId64
	    " backoff_ms=%" PRId64 " stop=%d stopped=%d starts=%u stops=%u "
	    "worker=%s contacted=%d silent=%d heard_ms=%" PRId64
	    " poll_pending=%d failed_polls=%u ends_pending=%u restarted=%d "
	    "leaving=%d removal=%d draining=%d sole_leader=%d",
	    r->step->job->id, r->step->occurrence, r->step->number, r->index,
	    r->run, since_end_ms, phase_name(r), r->order_pending,
	    clk_diff_ms(r->retry_at, jl->now), r->backoff_ms, r->must_stop,
	    r->stop_confirmed, r->nstarts, r->nstops, ws->w->info->id,
	    ws->contacted, ws->silent, clk_diff_ms(jl->now, ws->last_heard_at),
	    ws->poll_pending, ws->failed_polls, ws->ends_pending, ws->restarted,
	    ws->leave_announced, ws->removal_proposed, ws->w->draining,
	    jl->ops.is_sole_leader(jl->ops.arg));
}

/* Counts and logs the runs of jobs that ended over JLEAD_IDLE_MS ago. */
static void
scan_outlived(struct jlead *jl)
{
	const struct wsess *ws;
	const struct jrun *r;
	uint32_t n = 0;
	int64_t ms;

	for (ws = jl->sessions; ws != NULL; ws = ws->next) {
		for (r = ws->runs; r != NULL; r = r->next) {
			if (r->step->job->state == JST_ACTIVE)
				continue;
			ms = jl->wall_ms - r->step->job->ended_ms;
			if (ms >= JLEAD_IDLE_MS && n++ < JLEAD_IDLE_LINES_MAX)
				log_outlived(jl, r, ms);
		}
	}
	ctr_add(jl->ctr, JCTR_OUTLIVED, n);
}

/* Counts and logs the tasks that should run and have not done so for
 * JLEAD_IDLE_MS. */
void
jl_scan_idle(struct jlead *jl)
{
	struct idle_scan scan = { 0 };
	struct jst_job *j;
	struct jst_step *st;
	uint32_t o, i;

	for (j = jl->st->active; j != NULL; j = j->next) {
		JST_FOREACH_STEP(j, st, o, i)
		{
			if (st->ndone < st->spec->count && jst_step_ready(st))
				scan_step(jl, st, &scan);
		}
	}
	scan_unheard(jl);
	scan_outlived(jl);
	if (scan.nlogged == 0)
		return;
	ctr_add(jl->ctr, JCTR_IDLE_WAITING, scan.nwaiting);
	ctr_add(jl->ctr, JCTR_IDLE_UNCONFIRMED, scan.nunconfirmed);
	ctr_add(jl->ctr, JCTR_IDLE_NO_RUN, scan.nno_run);
	log_event(LOG_NOTICE, "job",
	    "event=idle_tasks waiting=%u unconfirmed=%u no_run=%u "
	    "oldest_ms=%" PRId64,
	    scan.nwaiting, scan.nunconfirmed, scan.nno_run, scan.oldest_ms);
}
