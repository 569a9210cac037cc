#include <stdlib.h>
#include <string.h>

#include "job/jlead_impl.h"

/* Handles the answers to long polls: which runs a worker lists, and which have
 * ended. */

/* Records that a worker has listed a task, as running or as ended, so that its
 * job has started. */
static void
note_listed(struct jlead *jl, const Job__Task *task)
{
	struct jst_job *j = jst_find_job(jl->st, task->job);

	if (j != NULL)
		jl_note_begun(jl, j);
}

/* Stops an orphaned run, so that it doesn't hold resources. */
static void
stop_orphan(struct jlead *jl, struct wsess *ws, const struct jl_running *row)
{
	struct jl_call c;

	jl_log_orphan(jl, ws, row);
	jl_call_init(jl, ws, &c, JL_STOP);
	c.task = row->task;
	c.run = row->run;
	jl->ops.call(jl->ops.arg, &c);
}

/* Orders the stop of a run again that was confirmed, and whose worker lists it
 * longer than a stop takes. */
static void
repeat_confirmed_stop(struct jlead *jl, struct jrun *r)
{
	if (!r->stop_confirmed || r->phase == RUN_ENDING ||
	    clk_diff_ms(jl->now, r->stopped_at) <= JLEAD_STOP_MAX_MS)
		return;
	r->stop_confirmed = false;
	r->retry_at = jl->now;
	r->backoff_ms = JLEAD_RETRY_MS;
	jrun_send_due(jl, r);
}

/* Updates a run from its row in the list of running ones. */
static void
update_running(struct jlead *jl, struct wsess *ws, const struct jl_running *row)
{
	struct jrun *r = jrun_find(jl, ws, &row->task, row->run);

	note_listed(jl, &row->task);
	if (r == NULL) {
		stop_orphan(jl, ws, row);
		return;
	}
	r->confirmed_serial = UINT64_MAX; /* listed in this poll */
	r->is_attributed = true;
	r->progress_percent = row->progress_percent;
	r->metric = row->metric;
	if (row->checkpoint != NULL && row->checkpoint[0] != '\0' &&
	    (r->checkpoint == NULL ||
		strcmp(r->checkpoint, row->checkpoint) != 0))
		jl_set_checkpoint(jl, r, row->checkpoint);
	if (r->phase == RUN_STARTING || r->phase == RUN_INHERITED)
		jrun_confirm(r);
	repeat_confirmed_stop(jl, r);
	if (r->step->job->state != JST_ACTIVE)
		jrun_stop(jl, r, JL_STOP_JOB_ENDED);
}

/* Counts an end by its kind and adjusts the worker's failure score. */
static void
record_end(struct jlead *jl, struct wsess *ws, struct jrun *r, Job__How how)
{
	switch (how) {
	case JOB__HOW__DONE:
		ctr_add(jl->ctr, JCTR_ENDS_DONE, 1);
		jl_add_failure(jl, ws, -0.5);
		break;
	case JOB__HOW__FAILED:
		ctr_add(jl->ctr, JCTR_ENDS_FAILED, 1);
		/* A task that has also failed elsewhere says little about this
		 * worker. */
		jl_add_failure(jl, ws, r->task->nfailed == 0 ? 1.0 : 0.3);
		break;
	default:
		ctr_add(jl->ctr, JCTR_ENDS_OTHER, 1);
	}
}

/* Returns the run that an end belongs to, NULL if there is none. It may belong
 * to another session of the same id: an order sent to an earlier incarnation
 * may have been carried out by this one. */
static struct jrun *
find_ended_run(
    struct jlead *jl, const struct wsess *ws, const struct jl_ended *e)
{
	struct jst_step *st = NULL;
	struct jst_task *t = jst_find_task(jl->st, &e->task, &st);

	if (t == NULL || t->active_run == NULL ||
	    t->active_run->run != e->run ||
	    t->active_run->phase == RUN_PROPOSED ||
	    strcmp(t->active_run->ws->w->info->id, ws->w->info->id) != 0)
		return NULL;
	return t->active_run;
}

/* Tells whether a run that was given up has done its task all the same. */
static bool
is_late_end(struct jlead *jl, const struct jl_ended *e)
{
	struct jst_step *st = NULL;
	const struct jst_task *t = jst_find_task(jl->st, &e->task, &st);

	return t != NULL && e->how == JOB__HOW__DONE && !st->spec->lasting &&
	    st->job->state == JST_ACTIVE && t->state != JST_DONE &&
	    e->run > 0 && e->run <= t->run;
}

/* Replicates the end as done of a run that was given up, and stops a later run
 * of the task. */
static void
propose_late_end(struct jlead *jl, struct wsess *ws, const struct jl_ended *e)
{
	struct jst_step *st = NULL;
	struct jst_task *t = jst_find_task(jl->st, &e->task, &st);
	Job__Command c = JOB__COMMAND__INIT;
	Job__End end = JOB__END__INIT;
	struct late_end *l = calloc(1, sizeof(*l));

	if (l == NULL)
		abort();
	l->ws = ws;
	l->task = e->task;
	/* Fields without these are not packed. */
	l->task.has_occurrence = l->task.has_step = l->task.has_index = 1;
	l->run = e->run;
	l->next = jl->late_ends;
	jl->late_ends = l;
	ws->ends_pending++;
	end.task = &l->task;
	end.run = e->run;
	end.how = e->how;
	end.saved = (char *)(uintptr_t)e->checkpoint;
	end.has_at_ms = 1;
	end.at_ms = jl->wall_ms;
	c.end = &end;
	jl_log_late_end(jl, ws, e);
	jl->ops.propose(jl->ops.arg, &c);
	if (t->active_run != NULL)
		jrun_stop(jl, t->active_run, JL_STOP_TASK_DONE);
}

/* Tells whether a late end of this task is being replicated; that of one member
 * of a gang is that of all. */
bool
jl_has_late_end(
    const struct jlead *jl, const struct jst_step *st, const Job__Task *t)
{
	const struct late_end *l;

	for (l = jl->late_ends; l != NULL; l = l->next) {
		if (l->task.job == t->job &&
		    l->task.occurrence == t->occurrence &&
		    l->task.step == t->step &&
		    (st->spec->gang || l->task.index == t->index))
			return true;
	}
	return false;
}

/* Tells whether an end that this session has reported before is still being
 * replicated. */
static bool
is_being_replicated(
    struct jlead *jl, const struct wsess *ws, const struct jl_ended *e)
{
	const struct jrun *r = find_ended_run(jl, ws, e);
	const struct late_end *l;

	if (r != NULL && r->phase == RUN_ENDING && r->end_session == ws)
		return true;
	for (l = jl->late_ends; l != NULL; l = l->next) {
		if (l->ws == ws && l->run == e->run &&
		    l->task.job == e->task.job &&
		    l->task.occurrence == e->task.occurrence &&
		    l->task.step == e->task.step &&
		    l->task.index == e->task.index)
			return true;
	}
	return false;
}

/* Tells whether a worker may number an end so, given those that it has
 * numbered before. */
static bool
is_plausible_number(const struct wsess *ws, uint64_t number)
{
	return number <= JLEAD_END_NUMBER_MAX &&
	    (ws->acked_end == 0 ||
		number <= ws->acked_end + JLEAD_END_NUMBER_STEP_MAX);
}

/* Orders the numbers of ends for qsort. */
static int
compare_numbers(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

/*
 * Returns the number up to which the ends in an answer may be acknowledged once
 * they are replicated. Workers may list them in any order. A full answer may
 * lack ends with lower numbers, so that only numbers without a gap count
 * there.
 */
static uint64_t
last_listed_end(const struct wsess *ws, const struct jl_reply *rep)
{
	uint64_t *v = calloc(rep->nended + 1, sizeof(*v));
	uint64_t last = ws->acked_end;
	size_t i, n = 0;

	if (v == NULL)
		abort();
	for (i = 0; i < rep->nended; i++) {
		if (rep->ended[i].number > last &&
		    is_plausible_number(ws, rep->ended[i].number))
			v[n++] = rep->ended[i].number;
	}
	qsort(v, n, sizeof(*v), compare_numbers);
	for (i = 0; i < n; i++) {
		if (i > 0 && rep->nended >= JLEAD_ENDS_PER_ANSWER &&
		    v[i] > v[i - 1] + 1)
			break;
		last = v[i];
	}
	free(v);
	return last;
}

/* Replicates a reported end; ends reported before are skipped. */
static void
handle_ended(struct jlead *jl, struct wsess *ws, const struct jl_ended *e)
{
	struct jrun *r;

	if (e->number <= ws->acked_end || is_being_replicated(jl, ws, e))
		return;
	note_listed(jl, &e->task);
	r = find_ended_run(jl, ws, e);
	if (r == NULL || r->phase == RUN_ENDING) {
		if (is_late_end(jl, e))
			propose_late_end(jl, ws, e);
		else
			jl_log_ignored_end(jl, ws, e);
		return;
	}
	record_end(jl, ws, r, e->how);
	if (e->how == JOB__HOW__DONE)
		jl_learn_room(jl, r);
	r->end_session = ws;
	ws->ends_pending++;
	jrun_end(jl, r, e->how, e->checkpoint);
}

/* Handles a run that the poll doesn't list. If the poll was sent after the run
 * was confirmed, the run doesn't exist and won't: it was stopped before it
 * arrived, or its end was acknowledged earlier. */
static void
handle_unlisted(
    struct jlead *jl, struct wsess *ws, struct jrun *r, uint64_t serial)
{
	if (r->phase == RUN_INHERITED) {
		/* The worker now refuses orders of earlier leaders. */
		r->phase = RUN_STARTING;
		r->starting_at = jl->now;
		if (r->step->job->state != JST_ACTIVE)
			jrun_end(jl, r, JOB__HOW__GONE, NULL);
		else
			jrun_send_due(jl, r);
		return;
	}
	if (serial <= r->confirmed_serial || r->order_pending)
		return;
	if (r->must_stop && r->stop_confirmed)
		jrun_end(jl, r, JOB__HOW__STOPPED, NULL);
	else if (r->phase == RUN_CONFIRMED && !r->must_stop)
		jrun_stop(jl, r, JL_STOP_NOT_LISTED);
}

/* Tells whether an answer lists a run as running. */
static bool
is_listed(const struct jl_reply *rep, const struct jrun *r)
{
	Job__Task t;
	size_t i;

	jrun_task_ref(r, &t);
	for (i = 0; i < rep->nrunning; i++) {
		const struct jl_running *x = &rep->running[i];

		if (x->run == r->run && x->task.job == t.job &&
		    x->task.occurrence == t.occurrence &&
		    x->task.step == t.step && x->task.index == t.index)
			return true;
	}
	return false;
}

/* Ends the runs of an earlier session that an incarnation doesn't list. It now
 * refuses the orders that were sent in that session, or by earlier leaders. */
static void
release_unlisted(struct jlead *jl, const struct wsess *ws,
    struct wsess *earlier, const struct jl_reply *rep)
{
	struct jrun *r, *next;

	for (r = earlier->runs; r != NULL; r = next) {
		next = r->next;
		if (r->must_stop_next && r->phase != RUN_ENDING &&
		    (r->nstarts == 0 || earlier->fence < ws->fence) &&
		    !is_listed(rep, r))
			jrun_end(jl, r, JOB__HOW__GONE, NULL);
	}
}

/* Ends the runs of earlier incarnations that the present one doesn't list. */
static void
release_earlier(
    struct jlead *jl, const struct wsess *ws, const struct jl_reply *rep)
{
	struct wsess *earlier;

	if (jl->nrestarted == 0 || ws->restarted)
		return;
	for (earlier = jl->sessions; earlier != NULL; earlier = earlier->next) {
		if (earlier->restarted && earlier->w->num < ws->w->num &&
		    strcmp(earlier->w->info->id, ws->w->info->id) == 0)
			release_unlisted(jl, ws, earlier, rep);
	}
}

/* Handles the answer to a long poll. */
void
jl_handle_poll(struct jlead *jl, struct wsess *ws, const struct jl_reply *rep)
{
	bool is_full = rep->nended >= JLEAD_ENDS_PER_ANSWER;
	struct jrun *r, *next;
	size_t i;

	for (i = 0; i < rep->nended; i++)
		handle_ended(jl, ws, &rep->ended[i]);
	ws->last_end = last_listed_end(ws, rep);
	for (i = 0; i < rep->nrunning; i++)
		update_running(jl, ws, &rep->running[i]);
	for (r = ws->runs; r != NULL; r = next) {
		next = r->next;
		if (r->confirmed_serial == UINT64_MAX)
			r->confirmed_serial = rep->serial;
		else if (is_full)
			continue; /* its end may be among those not listed */
		else if (r->phase == RUN_CONFIRMED ||
		    r->phase == RUN_INHERITED ||
		    (r->phase == RUN_STARTING && r->must_stop))
			handle_unlisted(jl, ws, r, rep->serial);
	}
	if (ws->ends_pending == 0 && rep->nended > 0 &&
	    ws->last_end == ws->acked_known) {
		/* No listed end may be acknowledged, so the worker answers the
		 * next poll at once. */
		ws->next_poll_at =
		    clk_add_ms(jl->now, JLEAD_SERVING_POLL_WAIT_MS);
	}
	if (ws->ends_pending == 0)
		ws->acked_end = ws->last_end;
	if (!is_full)
		release_earlier(jl, ws, rep);
	jl_update_throttle(jl, ws);
}
