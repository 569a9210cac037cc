#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/log.h"
#include "job/jlead_impl.h"

/* Keeps filling tasks from disturbing the serving ones beside them. */

static bool
fills(const struct jrun *r)
{
	return r->st->spec->fills && r->phase == RUN_LIVE && !r->stop;
}

/* The largest tail over its target; tasks that still start have none. */
static double
worst_tail(const struct wsess *ws)
{
	const struct jrun *r;
	double worst = 0, x;

	for (r = ws->runs; r != NULL; r = r->next) {
		if (r->st->spec->target_ms == 0 || r->phase != RUN_LIVE)
			continue;
		x = (double)r->figure / r->st->spec->target_ms;
		if (x > worst)
			worst = x;
	}
	return worst;
}

/* A task's part of the worker's processors at full pace. */
double
jl_share(const struct wsess *ws, const Job__Step *s)
{
	return ws->w->info->cpu_milli == 0
	    ? 0
	    : (double)s->cpu_milli / ws->w->info->cpu_milli;
}

/* The parts of all tasks that fill on a worker, by the processors in use. */
static size_t
parts(struct jlead *jl, struct wsess *ws, struct jpress_part *v)
{
	uint32_t cpu = ws->w->info->cpu_milli;
	struct jrun *r;
	size_t n = 0;

	for (r = ws->runs; r != NULL; r = r->next) {
		if (!fills(r) || cpu == 0)
			continue;
		v[n].image = r->image;
		v[n++].share = (double)r->figure / cpu;
	}
	return n;
}

/* Tells whether a filling run disturbs a serving task beside it that is over
 * its target. */
static bool
heavy(struct jlead *jl, const struct jrun *r)
{
	const struct jrun *o;

	for (o = r->ws->runs; o != NULL; o = o->next) {
		if (o->st->spec->target_ms > 0 && o->phase == RUN_LIVE &&
		    (double)o->figure >= JPACE_UNDER * o->st->spec->target_ms &&
		    jpress_of(&jl->press, r->image, o->image) >=
			JPACE_HEAVY_PRESS)
			return true;
	}
	return false;
}

/* Orders the pace of a run if it has another one. */
static void
pace_run(struct jlead *jl, struct jrun *r, uint32_t percent)
{
	struct jl_call c;

	if (r->pacing || r->pace == percent)
		return;
	jl_call_init(jl, r->ws, &c, JL_PACE);
	jrun_ref(r, &c.task);
	c.run = r->run;
	c.percent = percent;
	r->pacing = true;
	r->pace_asked = percent;
	ctr_add(jl->ctr, JCTR_PACES, 1);
	log_event(LOG_INFO, "job",
	    "event=pace job=%016" PRIx64 " task=%u.%u.%u run=%u worker=%s "
	    "percent=%u before=%u tail_permille=%d over_ms=%" PRId64,
	    c.task.job, c.task.occurrence, c.task.step, c.task.index, c.run,
	    c.id, percent, r->pace, (int)(r->ws->pace.ratio * 1000),
	    (int64_t)(clk_ns(jl->now) / CLK_NS_PER_MS) - r->ws->pace.under_ms);
	jl->ops.call(jl->ops.arg, &c);
}

/* Gives each filling task of a worker the pace that it may have now. */
void
jl_pace_set(struct jlead *jl, struct wsess *ws)
{
	struct jrun *r;

	for (r = ws->runs; r != NULL; r = r->next) {
		if (fills(r))
			pace_run(jl, r, jpace_of(&ws->pace, heavy(jl, r)));
	}
}

/* What was seen on a worker, for those who study interference. */
static void
log_figures(const struct wsess *ws)
{
	const struct jrun *r;
	char text[640] = "";
	size_t len = 0;

	if (!log_writes(LOG_DEBUG))
		return;
	for (r = ws->runs; r != NULL && len + 64 < sizeof(text); r = r->next) {
		const Job__Step *s = r->st->spec;

		if (r->phase != RUN_LIVE || (s->target_ms == 0 && !s->fills))
			continue;
		len += (size_t)snprintf(text + len, sizeof(text) - len,
		    " %c:%s:%u:%u:%u", s->fills ? 'f' : 's',
		    s->image == NULL ? "" : s->image, s->cpu_milli,
		    s->fills ? r->pace : s->target_ms, r->figure);
	}
	if (len > 0)
		log_event(LOG_DEBUG, "job", "event=figures worker=%s cpu=%u%s",
		    ws->w->info->id, ws->w->info->cpu_milli, text);
}

/* Takes in the tails that a look has shown. */
void
jl_pace_look(struct jlead *jl, struct wsess *ws)
{
	struct jpress_part *v = calloc(ws->nruns + 1, sizeof(*v));
	struct jrun *r;
	size_t n;

	if (v == NULL)
		abort();
	ws->stale = true;
	n = parts(jl, ws, v);
	for (r = ws->runs; r != NULL; r = r->next) {
		const Job__Step *s = r->st->spec;

		if (s->target_ms > 0 && r->phase == RUN_LIVE)
			jpress_learn(&jl->press, r->image,
			    (double)r->figure / s->target_ms, &r->st->load, v,
			    n);
	}
	free(v);
	log_figures(ws);
	jpace_look(&ws->pace, clk_ns(jl->now) / CLK_NS_PER_MS, worst_tail(ws));
	if (n > 0)
		jl_pace_set(jl, ws);
}
