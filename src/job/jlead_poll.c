#include <stdlib.h>
#include <string.h>

#include "job/jlead_impl.h"

/* What a look at a worker tells: what runs there and what has ended. */

/* Nothing here wants this run: it is stopped, so that it holds no room. */
static void
stop_stranger(struct jlead *jl, struct wsess *ws, const struct jl_row *row)
{
	struct jl_call c;

	jl_log_unwanted(jl, ws, row);
	jl_call_init(jl, ws, &c, JL_STOP);
	c.task = row->task;
	c.run = row->run;
	jl->ops.call(jl->ops.arg, &c);
}

static void
on_row(struct jlead *jl, struct wsess *ws, const struct jl_row *row)
{
	struct jrun *r = jrun_find(jl, ws, &row->task, row->run);

	if (r == NULL) {
		stop_stranger(jl, ws, row);
		return;
	}
	r->sure_after = UINT64_MAX; /* seen in this look */
	r->percent = row->percent;
	r->figure = row->figure;
	if (row->saved != NULL && row->saved[0] != '\0' &&
	    (r->saved == NULL || strcmp(r->saved, row->saved) != 0)) {
		free(r->saved);
		r->saved = strdup(row->saved);
	}
	if (r->phase == RUN_STARTING || r->phase == RUN_ADOPTED)
		r->phase = RUN_LIVE;
	if (r->st->job->state != JST_ACTIVE)
		jrun_stop(jl, r, JL_WHY_JOB_ENDED);
}

static void
count_end(struct jlead *jl, struct wsess *ws, struct jrun *r, Job__How how)
{
	switch (how) {
	case JOB__HOW__DONE:
		ctr_add(jl->ctr, JCTR_ENDS_DONE, 1);
		jl_blame(jl, ws, -0.5);
		break;
	case JOB__HOW__FAILED:
		ctr_add(jl->ctr, JCTR_ENDS_FAILED, 1);
		/* A task that has failed elsewhere says little about this
		 * worker. */
		jl_blame(jl, ws, r->t->fails == 0 ? 1.0 : 0.3);
		break;
	default:
		ctr_add(jl->ctr, JCTR_ENDS_OTHER, 1);
	}
}

/* The run that an end is of. An order for a former life of the worker may
 * have been carried out by this one. */
static struct jrun *
run_listed(struct jlead *jl, struct wsess *ws, const struct jl_ended *e)
{
	struct jst_step *st = NULL;
	struct jst_task *t = jst_find_task(jl->st, &e->task, &st);

	if (t == NULL || t->live == NULL || t->live->run != e->run ||
	    t->live->phase == RUN_PROPOSED ||
	    strcmp(t->live->ws->w->info->id, ws->w->info->id) != 0)
		return NULL;
	return t->live;
}

static void
on_ended(struct jlead *jl, struct wsess *ws, const struct jl_ended *e)
{
	struct jrun *r;

	if (e->n <= ws->seen_next)
		return;
	ws->seen_next = e->n;
	r = run_listed(jl, ws, e);
	if (r == NULL || r->phase == RUN_ENDING)
		return;
	count_end(jl, ws, r, e->how);
	r->lister = ws;
	ws->ends_pending++;
	jrun_end(jl, r, e->how, e->saved);
}

/*
 * A run that a look sent after its confirmation doesn't list is not there
 * and won't be: it was stopped before it came, or its end was forgotten.
 */
static void
on_absent(struct jlead *jl, struct wsess *ws, struct jrun *r, uint64_t serial)
{
	if (r->phase == RUN_ADOPTED) {
		/* Orders of earlier leaders are refused from now on. */
		r->phase = RUN_STARTING;
		if (r->st->job->state != JST_ACTIVE)
			jrun_end(jl, r, JOB__HOW__GONE, NULL);
		else
			jrun_tick(jl, r);
		return;
	}
	if (serial <= r->sure_after || r->calling)
		return;
	if (r->stop && r->stopped)
		jrun_end(jl, r, JOB__HOW__STOPPED, NULL);
	else if (r->phase == RUN_LIVE && !r->stop)
		jrun_stop(jl, r, JL_WHY_NOT_LISTED);
}

/* Takes in the answer to a look. */
void
jl_on_look(struct jlead *jl, struct wsess *ws, const struct jl_reply *rep)
{
	struct jrun *r, *next;
	size_t i;

	for (i = 0; i < rep->nended; i++)
		on_ended(jl, ws, &rep->ended[i]);
	for (i = 0; i < rep->nrunning; i++)
		on_row(jl, ws, &rep->running[i]);
	for (r = ws->runs; r != NULL; r = next) {
		next = r->next;
		if (r->sure_after == UINT64_MAX)
			r->sure_after = rep->serial;
		else if (r->phase == RUN_LIVE || r->phase == RUN_ADOPTED ||
		    (r->phase == RUN_STARTING && r->stop))
			on_absent(jl, ws, r, rep->serial);
	}
	if (ws->ends_pending == 0)
		ws->seen = ws->seen_next;
	jl_pace_look(jl, ws);
}
