#include <stdlib.h>
#include <string.h>

#include "job/jlead_impl.h"

/* What a look at a worker tells: what runs there and what has ended. */

/* Nothing here wants this run: it is stopped, so that it holds no room. */
static void
stop_orphan(struct jlead *jl, struct wsess *ws, const struct jl_row *row)
{
	struct jl_call c;

	jl_log_orphan(jl, ws, row);
	jl_call_init(jl, ws, &c, JL_STOP);
	c.task = row->task;
	c.run = row->run;
	jl->ops.call(jl->ops.arg, &c);
}

static void
update_running(struct jlead *jl, struct wsess *ws, const struct jl_row *row)
{
	struct jrun *r = jrun_find(jl, ws, &row->task, row->run);

	if (r == NULL) {
		stop_orphan(jl, ws, row);
		return;
	}
	r->confirmed_serial = UINT64_MAX; /* seen in this look */
	r->percent = row->percent;
	r->metric = row->figure;
	if (row->saved != NULL && row->saved[0] != '\0' &&
	    (r->checkpoint == NULL || strcmp(r->checkpoint, row->saved) != 0)) {
		free(r->checkpoint);
		r->checkpoint = strdup(row->saved);
	}
	if (r->phase == RUN_STARTING || r->phase == RUN_INHERITED)
		r->phase = RUN_CONFIRMED;
	if (r->step->job->state != JST_ACTIVE)
		jrun_stop(jl, r, JL_STOP_JOB_ENDED);
}

static void
record_end(struct jlead *jl, struct wsess *ws, struct jrun *r, Job__How how)
{
	switch (how) {
	case JOB__HOW__DONE:
		ctr_add(jl->ctr, JCTR_ENDS_DONE, 1);
		jl_failure_add(jl, ws, -0.5);
		break;
	case JOB__HOW__FAILED:
		ctr_add(jl->ctr, JCTR_ENDS_FAILED, 1);
		/* A task that has failed elsewhere says little about this
		 * worker. */
		jl_failure_add(jl, ws, r->task->nfailed == 0 ? 1.0 : 0.3);
		break;
	default:
		ctr_add(jl->ctr, JCTR_ENDS_OTHER, 1);
	}
}

/* The run that an end is of. An order for a former life of the worker may
 * have been carried out by this one. */
static struct jrun *
find_ended_run(struct jlead *jl, struct wsess *ws, const struct jl_ended *e)
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

static void
update_ended(struct jlead *jl, struct wsess *ws, const struct jl_ended *e)
{
	struct jrun *r;

	if (e->n <= ws->last_end)
		return;
	ws->last_end = e->n;
	r = find_ended_run(jl, ws, e);
	if (r == NULL || r->phase == RUN_ENDING)
		return;
	record_end(jl, ws, r, e->how);
	r->end_session = ws;
	ws->ends_pending++;
	jrun_end(jl, r, e->how, e->saved);
}

/*
 * A run that a look sent after its confirmation doesn't list is not there
 * and won't be: it was stopped before it came, or its end was forgotten.
 */
static void
update_unlisted(
    struct jlead *jl, struct wsess *ws, struct jrun *r, uint64_t serial)
{
	if (r->phase == RUN_INHERITED) {
		/* Orders of earlier leaders are refused from now on. */
		r->phase = RUN_STARTING;
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

/* Takes in the answer to a look. */
void
jl_on_poll(struct jlead *jl, struct wsess *ws, const struct jl_reply *rep)
{
	struct jrun *r, *next;
	size_t i;

	for (i = 0; i < rep->nended; i++)
		update_ended(jl, ws, &rep->ended[i]);
	for (i = 0; i < rep->nrunning; i++)
		update_running(jl, ws, &rep->running[i]);
	for (r = ws->runs; r != NULL; r = next) {
		next = r->next;
		if (r->confirmed_serial == UINT64_MAX)
			r->confirmed_serial = rep->serial;
		else if (r->phase == RUN_CONFIRMED ||
		    r->phase == RUN_INHERITED ||
		    (r->phase == RUN_STARTING && r->must_stop))
			update_unlisted(jl, ws, r, rep->serial);
	}
	if (ws->ends_pending == 0)
		ws->acked_end = ws->last_end;
	jl_throttle_update(jl, ws);
}
