#include <string.h>

#include "job/jlead_wave_impl.h"

/* Maintenance waves: stops on a closed machine the tasks that can go on
 * elsewhere, before the order would end them. */

/* A checkpointing task that needs longer than this is stopped, which saves its
 * state; a shorter one ends sooner by itself than it would elsewhere. */
#define SAVE_MIN_MS 3000

/* Tells whether a worker has a label; none is required if it is empty. */
static bool
has_label(const Job__Worker *w, const char *label)
{
	size_t i;

	if (label == NULL || label[0] == '\0')
		return true;
	for (i = 0; i < w->n_labels; i++) {
		if (strcmp(w->labels[i], label) == 0)
			return true;
	}
	return false;
}

/* Tells whether a session has as many tasks of a step as one worker may. */
static bool
is_spread_full(const struct wsess *ws, const struct jst_step *st)
{
	const struct jrun *r;
	uint32_t n = 0;

	for (r = ws->runs; r != NULL; r = r->next)
		n += r->step == st;
	return st->spec->spread > 0 && n >= st->spec->spread;
}

/* Tells whether a task would find room on another worker, by the input of the
 * last plan. */
static bool
has_place(const struct jlead *jl, const struct jrun *r)
{
	const Job__Step *s = r->step->spec;
	size_t i;

	for (i = 0; i < jl->nsessions; i++) {
		const struct jplan_worker *p = &jl->plan_workers[i];
		const struct wsess *ws = jl->plan_sessions[i];

		if (p->usable && !p->reserved && ws != r->ws &&
		    jl_takes_new_work(ws) &&
		    strcmp(ws->w->info->service, r->ws->w->info->service) ==
			0 &&
		    p->free_cpu >= (int64_t)s->cpu_milli &&
		    p->free_mem >= (int64_t)s->mem_mb &&
		    p->free_accel >= (int64_t)s->accel &&
		    has_label(ws->w->info, s->label) &&
		    !is_spread_full(ws, r->step))
			return true;
	}
	return false;
}

/* Stops a long-running task if it has a place elsewhere and its step may miss
 * it until it is there. One that may miss none moves one task at a time. */
static void
move_lasting(struct jlead *jl, struct jl_wave_note *n, struct jrun *r)
{
	struct jl_waves *v = jl->waves;
	struct jwave_step *s;
	uint32_t limit;

	if (r->must_stop) {
		n->is_moving = true;
		return;
	}
	if (!has_place(jl, r))
		return;
	n->is_moving = true;
	if (v->mover != NULL && v->mover != n)
		return;
	v->mover = n;
	s = &g_array_index(
	    v->steps, struct jwave_step, jl_wave_step_index(v, r->step));
	limit = s->may_miss == 0 ? 1 : s->may_miss;
	if (s->absent >= limit)
		return;
	s->absent++;
	jrun_stop(jl, r, JL_STOP_MAINTENANCE);
}

/* Stops what can go on elsewhere on a closed machine: long-running tasks on one
 * machine at a time, and checkpointing tasks that wouldn't end soon. */
void
jl_wave_move(struct jlead *jl, struct jl_wave_note *n, struct wsess *ws)
{
	struct jrun *r, *next;

	n->is_moving = n->is_saving = false;
	for (r = ws->runs; r != NULL; r = next) {
		const Job__Step *s = r->step->spec;

		next = r->next;
		if (r->phase != RUN_CONFIRMED ||
		    r->step->job->state != JST_ACTIVE)
			continue;
		if (s->lasting) {
			move_lasting(jl, n, r);
		} else if (s->checkpoints && !s->gang &&
		    (r->must_stop ||
			(int64_t)s->estimate_ms -
				clk_diff_ms(jl->now, r->assigned_at) >
			    SAVE_MIN_MS)) {
			n->is_saving = true;
			jrun_stop(jl, r, JL_STOP_MAINTENANCE);
		}
	}
}
