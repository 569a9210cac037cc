#include <inttypes.h>

#include "base/crc.h"
#include "base/log.h"
#include "job/jlead_impl.h"

/* Log lines about orders and their outcome. Nothing here decides anything. */

/* Returns the name of a job state in the log. */
static const char *
state_name(enum jst_job_state s)
{
	switch (s) {
	case JST_ACTIVE:
		return "active";
	case JST_COMPLETED:
		return "completed";
	case JST_FAILED:
		return "failed";
	case JST_CANCELLED:
		return "cancelled";
	}
	return "invalid";
}

/* Returns the name of a stop reason in the log. */
static const char *
stop_reason_name(enum jl_stop_reason w)
{
	switch (w) {
	case JL_STOP_NONE:
		return "none";
	case JL_STOP_JOB_ENDED:
		return "job_ended";
	case JL_STOP_NOT_LISTED:
		return "not_listed";
	case JL_STOP_RESTARTED:
		return "restarted";
	case JL_STOP_LEAVING:
		return "worker_leaves";
	case JL_STOP_UNCONFIRMED:
		return "unconfirmed";
	case JL_STOP_MAINTENANCE:
		return "maintenance";
	case JL_STOP_TASK_DONE:
		return "task_done";
	case JL_STOP_EVACUATED:
		return "evacuated";
	}
	return "invalid";
}

/* Returns the time since a job ended, -1 while it is active. The leader's wall
 * clock is read once per tick and may be behind the time in the command. */
static int64_t
ms_since_end(const struct jlead *jl, const struct jst_job *j)
{
	if (j->state == JST_ACTIVE)
		return -1;
	return jl->wall_ms < j->ended_ms ? 0 : jl->wall_ms - j->ended_ms;
}

/* Logs a start order, unless it is the first one of a run that was just
 * assigned, without a checkpoint: event=assign has logged that already. */
void
jl_log_start(struct jlead *jl, struct jrun *r, const struct jl_call *c)
{
	const struct jst_job *j = r->step->job;
	bool ended = j->state != JST_ACTIVE;
	bool current = r->task->state == JST_ASSIGNED && r->task->run == r->run;
	bool saved = c->checkpoint != NULL && c->checkpoint[0] != '\0';
	int64_t age = clk_diff_ms(jl->now, r->created);

	r->nstarts++;
	r->ws->room.stale = true; /* a repeated start is timed from now */
	if (ended)
		ctr_add(jl->ctr, JCTR_STARTS_ENDED, 1);
	if (r->nstarts == 1 && !r->inherited && !saved && !ended && current &&
	    age <= JLEAD_LATE_START_MS)
		return;
	if (!log_is_enabled(ended ? LOG_WARNING : LOG_INFO))
		return;
	log_event(ended ? LOG_WARNING : LOG_INFO, "job",
	    "event=start job=%016" PRIx64 " task=%u.%u.%u run=%u worker=%s "
	    "born=%" PRIu64 " token=%" PRIu64 " serial=%" PRIu64
	    " until_ms=%" PRId64
	    " spec=%08x saved=%08x again=%u inherited=%d age_ms=%" PRId64
	    " state=%s since_end_ms=%" PRId64 " current=%d",
	    c->task.job, c->task.occurrence, c->task.step, c->task.index,
	    c->run, c->id, r->ws->incarnation, c->token, c->serial,
	    c->lease_until_ms, crc32c_text(c->spec), crc32c_text(c->checkpoint),
	    r->nstarts - 1, r->inherited, age, state_name(j->state),
	    ms_since_end(jl, j), current);
}

/* Logs a stop order. */
void
jl_log_stop(struct jlead *jl, struct jrun *r, const struct jl_call *c)
{
	const struct jst_job *j = r->step->job;

	log_event(LOG_INFO, "job",
	    "event=stop job=%016" PRIx64 " task=%u.%u.%u run=%u worker=%s "
	    "born=%" PRIu64 " token=%" PRIu64 " serial=%" PRIu64
	    " why=%s again=%u state=%s since_end_ms=%" PRId64,
	    c->task.job, c->task.occurrence, c->task.step, c->task.index,
	    c->run, c->id, r->ws->incarnation, c->token, c->serial,
	    stop_reason_name(r->stop_reason), r->nstops++, state_name(j->state),
	    ms_since_end(jl, j));
}

/* Logs a worker's answer to a stop, or that there was none. */
void
jl_log_stop_answer(const struct jrun *r, const struct jl_reply *rep)
{
	log_event(rep->kind == JL_OK ? LOG_DEBUG : LOG_INFO, "job",
	    "event=stop_answer job=%016" PRIx64 " task=%u.%u.%u run=%u "
	    "worker=%s answer=%d serial=%" PRIu64 " stops=%u",
	    rep->task.job, rep->task.occurrence, rep->task.step,
	    rep->task.index, rep->run, r->ws->w->info->id, rep->kind,
	    rep->serial, r->nstops);
}

/* Logs how long a cancel took, once the job's last run is gone. */
void
jl_log_cancel_done(struct jlead *jl, const struct jst_job *j)
{
	int64_t took = ms_since_end(jl, j);

	if (j->state != JST_CANCELLED || j->nruns > 0)
		return;
	hist_add(&jl->cancel_ms, took);
	ctr_add(jl->ctr, JCTR_CANCELS_DONE, 1);
	log_event(took > JLEAD_STOP_MAX_MS ? LOG_NOTICE : LOG_INFO, "job",
	    "event=cancel_done job=%016" PRIx64 " took_ms=%" PRId64, j->id,
	    took);
}

/* Returns why a run is orphaned, and the counter of that cause. */
static const char *
orphan_cause(const struct jst_job *j, const struct jst_task *t,
    uint32_t occurrence, uint32_t run, enum jctr *which)
{
	*which = JCTR_ORPHANS_UNKNOWN;
	if (j == NULL)
		return "job_unknown";
	if (j->state != JST_ACTIVE) {
		*which = JCTR_ORPHANS_JOB_ENDED;
		return "job_ended";
	}
	if (t == NULL && jst_has_done(j, occurrence)) {
		*which = JCTR_ORPHANS_RUN_ENDED;
		return "run_ended";
	}
	if (t == NULL || run > t->run)
		return "run_unknown";
	*which = JCTR_ORPHANS_RUN_ENDED;
	if (t->state == JST_ASSIGNED && run == t->run)
		return "elsewhere";
	return "run_ended";
}

/* Counts and logs an orphaned run. */
void
jl_log_orphan(
    struct jlead *jl, const struct wsess *ws, const struct jl_running *row)
{
	const struct jst_job *j = jst_find_job(jl->st, row->task.job);
	struct jst_step *st = NULL;
	const struct jst_task *t = jst_find_task(jl->st, &row->task, &st);
	enum jctr which;
	const char *cause =
	    orphan_cause(j, t, row->task.occurrence, row->run, &which);

	ctr_add(jl->ctr, JCTR_ORPHANS, 1);
	ctr_add(jl->ctr, which, 1);
	log_event(LOG_NOTICE, "job",
	    "event=stop_orphan job=%016" PRIx64 " task=%u.%u.%u run=%u "
	    "worker=%s born=%" PRIu64 " token=%" PRIu64
	    " cause=%s state=%s since_end_ms=%" PRId64
	    " current_run=%u current_worker=%s saved=%08x",
	    row->task.job, row->task.occurrence, row->task.step,
	    row->task.index, row->run, ws->w->info->id, ws->incarnation,
	    jl->token, cause, j == NULL ? "unknown" : state_name(j->state),
	    j == NULL ? -1 : ms_since_end(jl, j), t == NULL ? 0 : t->run,
	    t == NULL || t->worker == NULL ? "-" : t->worker->info->id,
	    crc32c_text(row->checkpoint));
}

/* Returns why a reported end has no effect; *is_lost tells whether it is the
 * end of work on a task that isn't done. */
static const char *
ignored_end_cause(const struct jst_job *j, const struct jst_task *t,
    const struct jl_ended *e, bool *is_lost)
{
	*is_lost = false;
	if (j == NULL)
		return "job_unknown";
	if (j->state != JST_ACTIVE)
		return "job_ended";
	if (t == NULL)
		return jst_has_done(j, e->task.occurrence) ? "task_done"
							   : "task_unknown";
	if (t->state == JST_DONE)
		return "task_done";
	*is_lost = e->how == JOB__HOW__DONE;
	if (e->run > t->run)
		return "run_unknown";
	if (e->run < t->run)
		return "later_run";
	if (t->state == JST_WAITING)
		return "run_ended";
	if (t->active_run == NULL)
		return "no_run";
	return t->active_run->phase == RUN_ENDING ? "ending" : "elsewhere";
}

/* Counts and logs that a run which was given up has done its task. */
void
jl_log_late_end(
    struct jlead *jl, const struct wsess *ws, const struct jl_ended *e)
{
	struct jst_step *st = NULL;
	const struct jst_task *t = jst_find_task(jl->st, &e->task, &st);

	ctr_add(jl->ctr, JCTR_ENDS_LATE, 1);
	log_event(LOG_NOTICE, "job",
	    "event=late_end job=%016" PRIx64 " task=%u.%u.%u run=%u worker=%s "
	    "born=%" PRIu64 " number=%" PRIu64
	    " current_run=%u current_worker=%s",
	    e->task.job, e->task.occurrence, e->task.step, e->task.index,
	    e->run, ws->w->info->id, ws->incarnation, e->number,
	    t == NULL ? 0 : t->run,
	    t == NULL || t->worker == NULL ? "-" : t->worker->info->id);
}

/* Counts and logs a reported end that has no effect. One that tells nothing new
 * is logged for debugging only. */
void
jl_log_ignored_end(
    struct jlead *jl, const struct wsess *ws, const struct jl_ended *e)
{
	const struct jst_job *j = jst_find_job(jl->st, e->task.job);
	struct jst_step *st = NULL;
	const struct jst_task *t = jst_find_task(jl->st, &e->task, &st);
	bool is_lost;
	const char *cause = ignored_end_cause(j, t, e, &is_lost);

	if (is_lost)
		ctr_add(jl->ctr, JCTR_DONE_IGNORED, 1);
	log_event(is_lost ? LOG_NOTICE : LOG_DEBUG, "job",
	    "event=end_ignored job=%016" PRIx64 " task=%u.%u.%u run=%u how=%s "
	    "worker=%s born=%" PRIu64 " number=%" PRIu64
	    " cause=%s state=%s current_run=%u current_worker=%s",
	    e->task.job, e->task.occurrence, e->task.step, e->task.index,
	    e->run,
	    protobuf_c_enum_descriptor_get_value(&job__how__descriptor, e->how)
		->name,
	    ws->w->info->id, ws->incarnation, e->number, cause,
	    j == NULL ? "unknown" : state_name(j->state),
	    t == NULL ? 0 : t->run,
	    t == NULL || t->worker == NULL ? "-" : t->worker->info->id);
}

/* Counts and logs that the leases of a silent worker have expired, with what
 * they were computed from; nruns runs end with them. */
void
jl_log_worker_lost(struct jlead *jl, const struct wsess *ws, uint32_t nruns)
{
	ctr_add(jl->ctr, JCTR_WORKERS_LOST, 1);
	log_event(LOG_NOTICE, "job",
	    "event=worker_lost worker=%s silent_ms=%" PRId64
	    " runs=%u contacted=%d lease_until_ms=%" PRId64 " clock_ms=%" PRId64
	    " clock_age_ms=%" PRId64 " leading_ms=%" PRId64,
	    ws->w->info->id, clk_diff_ms(jl->now, ws->last_heard_at), nruns,
	    ws->contacted, ws->lease_until_max_ms, ws->clock_ms,
	    clk_diff_ms(jl->now, ws->clock_at),
	    clk_diff_ms(jl->now, jl->leading_since));
}

/* Counts and logs an assignment or an end that no longer applied when it was
 * committed. */
void
jl_log_stale(
    struct jlead *jl, const Job__Command *c, const struct jst_result *res)
{
	const Job__Task *ref =
	    c->assign != NULL ? c->assign->task : c->end->task;
	const struct jst_task *t = res->task;

	ctr_add(jl->ctr, JCTR_COMMANDS_STALE, 1);
	log_event(LOG_NOTICE, "job",
	    "event=stale_command kind=%s job=%016" PRIx64
	    " task=%u.%u.%u run=%u state=%s task_state=%d current_run=%u",
	    c->assign != NULL ? "assign" : "end", ref->job, ref->occurrence,
	    ref->step, ref->index,
	    c->assign != NULL ? c->assign->run : c->end->run,
	    res->job == NULL ? "unknown" : state_name(res->job->state),
	    t == NULL ? -1 : (int)t->state, t == NULL ? 0 : t->run);
}
