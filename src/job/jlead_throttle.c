#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/log.h"
#include "job/jlead_impl.h"

/* Keeps best-effort tasks from slowing down the serving tasks beside them. */

/* Tells whether a run is a confirmed best-effort one that is not being stopped.
 */
static bool
is_best_effort(const struct jrun *r)
{
	return r->step->spec->fills && r->phase == RUN_CONFIRMED &&
	    !r->must_stop;
}

/* Returns the largest tail latency over its target. Tasks that are still
 * starting have none. */
static double
worst_tail_ratio(const struct wsess *ws)
{
	const struct jrun *r;
	double worst = 0, x;

	for (r = ws->runs; r != NULL; r = r->next) {
		if (r->step->spec->target_ms == 0 || r->phase != RUN_CONFIRMED)
			continue;
		x = (double)r->metric / r->step->spec->target_ms;
		if (x > worst)
			worst = x;
	}
	return worst;
}

/* Returns a task's share of the worker's processors when it isn't throttled. */
double
jl_cpu_share(const struct wsess *ws, const Job__Step *s)
{
	return ws->w->info->cpu_milli == 0
	    ? 0
	    : (double)s->cpu_milli / ws->w->info->cpu_milli;
}

/* Writes the best-effort runs of a worker to v, with the processors that they
 * use, and returns their number. */
static size_t
interference_sources(
    struct jlead *jl, struct wsess *ws, struct jinterf_source *v)
{
	uint32_t cpu = ws->w->info->cpu_milli;
	struct jrun *r;
	size_t n = 0;

	for (r = ws->runs; r != NULL; r = r->next) {
		if (!is_best_effort(r) || cpu == 0)
			continue;
		v[n].image_index = r->image_index;
		v[n++].cpu_share = (double)r->metric / cpu;
	}
	return n;
}

/* Tells whether a best-effort run interferes strongly with a serving task
 * beside it that misses its target. */
static bool
interferes(struct jlead *jl, const struct jrun *r)
{
	const struct jrun *o;

	for (o = r->ws->runs; o != NULL; o = o->next) {
		if (o->step->spec->target_ms > 0 && o->phase == RUN_CONFIRMED &&
		    (double)o->metric >=
			JTHROTTLE_UNDER_TARGET * o->step->spec->target_ms &&
		    jinterf_effect(&jl->interf, r->image_index,
			o->image_index) >= JTHROTTLE_HEAVY_EFFECT)
			return true;
	}
	return false;
}

/* Tells whether the leader knows a run's throttle. It doesn't while its last
 * order has no answer, and when an earlier leader may have throttled it. */
static bool
is_throttle_known(const struct jrun *r)
{
	return r->nthrottles == 0 ? !r->inherited || r->metric > 0
				  : r->throttle_ordered == r->throttle_percent;
}

/* Tells whether a run uses no processor although it isn't throttled, as far as
 * the leader knows. */
static bool
seems_throttled(const struct jlead *jl, const struct jrun *r)
{
	struct timespec since =
	    r->nthrottles == 0 ? r->assigned_at : r->throttled_at;

	return r->throttle_percent > 0 && r->metric == 0 &&
	    clk_diff_ms(jl->now, since) > JTHROTTLE_REPEAT_MS;
}

/* Orders a run's throttle unless it is in effect or an order is in flight. */
static void
order_throttle(struct jlead *jl, struct jrun *r, uint32_t percent)
{
	struct jl_call c;

	if (r->throttle_pending ||
	    (r->throttle_percent == percent && is_throttle_known(r) &&
		!seems_throttled(jl, r)))
		return;
	jl_call_init(jl, r->ws, &c, JL_THROTTLE);
	jrun_task_ref(r, &c.task);
	c.run = r->run;
	c.throttle_percent = percent;
	r->throttle_pending = true;
	r->throttle_ordered = percent;
	r->nthrottles++;
	r->throttled_at = jl->now;
	ctr_add(jl->ctr, JCTR_THROTTLES, 1);
	log_event(LOG_INFO, "job",
	    "event=pace job=%016" PRIx64 " task=%u.%u.%u run=%u worker=%s "
	    "percent=%u before=%u tail_permille=%d over_target_ms=%" PRId64,
	    c.task.job, c.task.occurrence, c.task.step, c.task.index, c.run,
	    c.id, percent, r->throttle_percent,
	    (int)(r->ws->throttle.worst_ratio * 1000),
	    (int64_t)(clk_ns(jl->now) / CLK_NS_PER_MS) -
		r->ws->throttle.last_under_ms);
	jl->ops.call(jl->ops.arg, &c);
}

/* Throttles each best-effort run of a worker as far as it must be now. */
void
jl_apply_throttle(struct jlead *jl, struct wsess *ws)
{
	struct jrun *r;

	for (r = ws->runs; r != NULL; r = r->next) {
		if (is_best_effort(r))
			order_throttle(jl, r,
			    jthrottle_percent(
				&ws->throttle, interferes(jl, r)));
	}
}

/* Logs the tail latencies and processor use on a worker, for the study of
 * interference. */
static void
log_metrics(const struct wsess *ws)
{
	const struct jrun *r;
	char text[640] = "";
	size_t len = 0;

	if (!log_is_enabled(LOG_DEBUG))
		return;
	for (r = ws->runs; r != NULL && len + 64 < sizeof(text); r = r->next) {
		const Job__Step *s = r->step->spec;

		if (r->phase != RUN_CONFIRMED ||
		    (s->target_ms == 0 && !s->fills))
			continue;
		len += (size_t)snprintf(text + len, sizeof(text) - len,
		    " %c:%s:%u:%u:%u", s->fills ? 'f' : 's',
		    s->image == NULL ? "" : s->image, s->cpu_milli,
		    s->fills ? r->throttle_percent : s->target_ms, r->metric);
	}
	if (len > 0)
		log_event(LOG_DEBUG, "job", "event=metrics worker=%s cpu=%u%s",
		    ws->w->info->id, ws->w->info->cpu_milli, text);
}

/* Learns from the metrics in the answer to a poll, and throttles the worker's
 * best-effort tasks accordingly. */
void
jl_update_throttle(struct jlead *jl, struct wsess *ws)
{
	struct jinterf_source *v = calloc(ws->nruns + 1, sizeof(*v));
	struct jrun *r;
	size_t n;

	if (v == NULL)
		abort();
	ws->plan_stale = true;
	n = interference_sources(jl, ws, v);
	for (r = ws->runs; r != NULL; r = r->next) {
		const Job__Step *s = r->step->spec;

		if (s->target_ms > 0 && r->phase == RUN_CONFIRMED)
			jinterf_learn(&jl->interf, r->image_index,
			    (double)r->metric / s->target_ms, &r->step->load, v,
			    n);
	}
	free(v);
	log_metrics(ws);
	jthrottle_update(&ws->throttle, clk_ns(jl->now) / CLK_NS_PER_MS,
	    worst_tail_ratio(ws));
	if (n > 0)
		jl_apply_throttle(jl, ws);
}
