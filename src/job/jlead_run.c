#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/crc.h"
#include "base/log.h"
#include "job/jlead_impl.h"

/* One run of a task: start order, confirmation, stop, end. */

/* Adds a task's resources to those allocated on a worker; sign -1 releases
 * them. */
static void
allocate(struct wsess *ws, const Job__Step *s, int sign)
{
	if (s->fills) {
		ws->best_effort_cpu += sign * (int64_t)s->cpu_milli;
		ws->nbest_effort += (uint32_t)sign;
	} else {
		ws->cpu_allocated += sign * (int64_t)s->cpu_milli;
	}
	ws->mem_allocated += sign * (int64_t)s->mem_mb;
	ws->accel_allocated += sign * (int64_t)s->accel;
	if (s->target_ms > 0) {
		ws->nserving += (uint32_t)sign;
		ws->serving_cpu += sign * (int64_t)s->cpu_milli;
	}
}

/* Adds a run to a session; its resources stay allocated until it is freed. */
struct jrun *
jrun_new(struct jlead *jl, struct wsess *ws, struct jst_step *st,
    uint32_t index, uint32_t run, enum run_phase phase)
{
	struct jrun *r = calloc(1, sizeof(*r));

	if (r == NULL)
		abort();
	r->ws = ws;
	r->step = st;
	r->task = &st->tasks[index];
	r->index = index;
	r->run = run;
	r->image_index = jinterf_image_index(&jl->interf, st->spec->image);
	r->phase = phase;
	r->assigned_at = r->retry_at = r->created = jl->now;
	r->inherited = phase == RUN_INHERITED;
	if (r->inherited) {
		r->is_recent = !st->spec->lasting &&
		    clk_diff_ms(jl->now, r->task->assigned_at) <
			JLEAD_RECENT_ASSIGNMENT_MS;
		r->late_until = clk_add_ms(jl->now, JLEAD_LATE_CALL_MS);
	}
	r->backoff_ms = JLEAD_RETRY_MS;
	r->throttle_percent = JTHROTTLE_FULL_PERCENT;
	r->next = ws->runs;
	if (r->next != NULL)
		r->next->prev = r;
	ws->runs = r;
	ws->nruns++;
	allocate(ws, st->spec, 1);
	ws->plan_stale = true;
	r->task->active_run = r;
	jst_occ_ref(st->occ);
	r->task->run_worker = ws->w;
	jl->nruns++;
	if (phase == RUN_PROPOSED)
		st->nproposed++;
	else
		st->job->nruns++;
	return r;
}

/* Replaces the copy of a run's checkpoint; NULL removes it. If there is no
 * memory for a longer one, the one before is kept: the task would resume from
 * there. */
void
jl_set_checkpoint(struct jlead *jl, struct jrun *r, const char *checkpoint)
{
	size_t max = jl->st->max.checkpoints;
	size_t before =
	    r->checkpoint == NULL ? 0 : jmem_block(strlen(r->checkpoint) + 1);
	size_t after =
	    checkpoint == NULL ? 0 : jmem_block(strlen(checkpoint) + 1);

	if (max > 0 && after > before &&
	    jl->checkpoint_bytes + after - before > max) {
		ctr_add(jl->ctr, JCTR_CHECKPOINTS_DROPPED, 1);
		return;
	}
	jl->checkpoint_bytes += after - before;
	free(r->checkpoint);
	r->checkpoint = jst_copy_text(checkpoint);
}

/* Removes a run from its session and frees it. */
void
jrun_free(struct jlead *jl, struct jrun *r)
{
	if (r->prev != NULL)
		r->prev->next = r->next;
	else
		r->ws->runs = r->next;
	if (r->next != NULL)
		r->next->prev = r->prev;
	r->ws->nruns--;
	allocate(r->ws, r->step->spec, -1);
	r->ws->plan_stale = true;
	if (r->phase == RUN_PROPOSED) {
		r->step->nproposed--;
	} else {
		r->step->job->nruns--;
		if (jl->leading)
			jl_log_cancel_done(jl, r->step->job);
	}
	if (r->end_session != NULL) {
		/* Its end wasn't replicated, so the worker has to report it
		 * again. */
		r->end_session->ends_pending--;
		r->end_session->last_end = r->end_session->acked_end;
	}
	if (r->task->active_run == r)
		r->task->active_run = NULL;
	jst_occ_unref(jl->st, r->step->occ);
	jl->nruns--;
	jl_set_checkpoint(jl, r, NULL);
	free(r);
	jl->plan_needed = true;
}

/* Fills the identifier of a run's task. */
void
jrun_task_ref(const struct jrun *r, Job__Task *ref)
{
	job__task__init(ref);
	ref->job = r->step->job->id;
	ref->has_occurrence = ref->has_step = ref->has_index = 1;
	ref->occurrence = r->step->occurrence;
	ref->step = r->step->number;
	ref->index = r->index;
}

/* Returns a session's run of a task with this run number, NULL if there is
 * none. */
struct jrun *
jrun_find(const struct jlead *jl, const struct wsess *ws, const Job__Task *ref,
    uint32_t run)
{
	struct jst_step *st = NULL;
	struct jst_task *t = jst_find_task(jl->st, ref, &st);

	if (t == NULL || t->active_run == NULL || t->active_run->ws != ws ||
	    t->active_run->run != run || t->active_run->phase == RUN_PROPOSED)
		return NULL;
	return t->active_run;
}

/* Proposes the end of a run; nothing more is ordered for it. Without a
 * checkpoint, the last one that the worker reported is recorded. */
void
jrun_end(struct jlead *jl, struct jrun *r, Job__How how, const char *checkpoint)
{
	Job__Command c = JOB__COMMAND__INIT;
	Job__End e = JOB__END__INIT;
	Job__Task ref;
	bool is_last_known = false;

	if (r->phase == RUN_ENDING)
		return;
	r->phase = RUN_ENDING;
	r->ws->room.stale = true;
	jrun_task_ref(r, &ref);
	e.task = &ref;
	e.run = r->run;
	e.how = how;
	if (checkpoint == NULL || checkpoint[0] == '\0') {
		checkpoint = r->checkpoint;
		is_last_known = checkpoint != NULL;
	}
	e.saved = (char *)(uintptr_t)checkpoint;
	e.has_at_ms = 1;
	e.at_ms = jl->wall_ms;
	c.end = &e;
	log_event(LOG_INFO, "job",
	    "event=end job=%016" PRIx64 " task=%u.%u.%u run=%u how=%s "
	    "worker=%s age_ms=%" PRId64 " saved=%08x last_known=%d",
	    ref.job, ref.occurrence, ref.step, ref.index, r->run,
	    protobuf_c_enum_descriptor_get_value(&job__how__descriptor, how)
		->name,
	    r->ws->w->info->id, clk_diff_ms(jl->now, r->assigned_at),
	    crc32c_text(checkpoint), is_last_known);
	jl->ops.propose(jl->ops.arg, &c);
}

/* Proposes that a job has started, once; a worker has shown that it has begun a
 * task of it. */
void
jl_note_begun(struct jlead *jl, struct jst_job *j)
{
	Job__Command c = JOB__COMMAND__INIT;
	Job__Begun b = JOB__BEGUN__INIT;

	if (j->started || j->begun_proposed)
		return;
	j->begun_proposed = true;
	b.job = j->id;
	c.begun = &b;
	jl->ops.propose(jl->ops.arg, &c);
}

/* Records that a worker has started a run. The wait of its step for a place is
 * over; a start that is refused doesn't end it. */
void
jrun_confirm(struct jrun *r)
{
	r->phase = RUN_CONFIRMED;
	r->step->waiting_since_ms = 0;
	r->step->room_held_ms = 0;
}

/* Notes that the last order, a start, has no answer and may be carried out
 * late. */
void
jrun_note_late(struct jrun *r)
{
	r->unconfirmed = true;
	r->late_until = clk_add_ms(r->order_sent_at, JLEAD_LATE_CALL_MS);
}

/* Stops a run again: its worker has a new incarnation, which knows nothing of
 * the stop before. */
void
jrun_stop_again(struct jlead *jl, struct jrun *r)
{
	r->order_pending = false;
	r->stop_confirmed = false;
	r->retry_at = jl->now;
	r->backoff_ms = JLEAD_RETRY_MS;
	jrun_send_due(jl, r);
}

/* Stops a run. Its resources stay allocated until the worker reports its end. A
 * start in flight isn't waited for: the worker refuses one that comes after the
 * stop. */
void
jrun_stop(struct jlead *jl, struct jrun *r, enum jl_stop_reason why)
{
	if (r->must_stop || r->phase == RUN_ENDING || r->phase == RUN_PROPOSED)
		return;
	r->must_stop = true;
	r->ws->room.stale = true;
	r->stop_reason = why;
	if (r->order_pending) {
		r->order_pending = false;
		jrun_note_late(r);
	}
	r->retry_at = jl->now;
	r->backoff_ms = JLEAD_RETRY_MS;
	jrun_send_due(jl, r);
}

/* Tells whether a start is not to be ordered, or not again. */
static bool
is_start_overdue(const struct jlead *jl, const struct jrun *r)
{
	return r->phase == RUN_STARTING && !r->must_stop &&
	    (r->ws->w->draining || jl_evac_withholds(jl, r) ||
		jl_advice_withholds(jl, r) ||
		clk_diff_ms(jl->now, r->starting_at) > JLEAD_START_MS);
}

/*
 * Gives up a start, so that the task goes to another worker. If a copy of the
 * order may be in flight, the run is stopped first. A worker that answers no
 * polls may run the task: its next answer shows that, or its leases expire.
 */
static void
give_up_start(struct jlead *jl, struct jrun *r)
{
	if (r->unconfirmed && jl_has_failed_poll(r->ws))
		return;
	ctr_add(jl->ctr, JCTR_STARTS_GIVEN_UP, 1);
	if (jl_evac_withholds(jl, r))
		jl_evac_gave_up(jl, r);
	else if (jl_advice_withholds(jl, r))
		jl_advice_gave_up(jl, r);
	else if (!r->ws->w->draining)
		jl_add_failure(jl, r->ws, 1.0);
	if (r->unconfirmed)
		jrun_stop(jl, r, JL_STOP_UNCONFIRMED);
	else
		jrun_end(jl, r, JOB__HOW__REFUSED, NULL);
}

/* Sends the order that a run needs now: its start or its stop, for the first
 * time or again. */
void
jrun_send_due(struct jlead *jl, struct jrun *r)
{
	if (r->phase == RUN_STARTING || r->must_stop)
		r->ws->orders_due = true;
	if (r->order_pending || clk_before(jl->now, r->retry_at) ||
	    r->phase == RUN_PROPOSED || r->phase == RUN_INHERITED ||
	    r->phase == RUN_ENDING)
		return;
	if (is_start_overdue(jl, r)) {
		give_up_start(jl, r);
	} else if (r->must_stop) {
		if (!r->stop_confirmed)
			jl_call_run(jl, r, JL_STOP);
	} else if (r->phase == RUN_STARTING && r->ws->contacted) {
		jl_call_run(jl, r, JL_START);
	}
}

/* Returns the failure score of a worker, which decays with time. */
double
jl_failure_score(const struct jlead *jl, const struct wsess *ws)
{
	double age = (double)clk_diff_ms(jl->now, ws->failure_score_at);

	return ws->failure_score * exp2(-age / JLEAD_FAILURE_HALF_LIFE_MS);
}

/* Adds to the failure score of a worker; a success reduces it. */
void
jl_add_failure(struct jlead *jl, struct wsess *ws, double by)
{
	ws->failure_score = jl_failure_score(jl, ws) + by;
	if (ws->failure_score < 0)
		ws->failure_score = 0;
	ws->failure_score_at = jl->now;
}
