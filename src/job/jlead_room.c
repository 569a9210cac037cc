#include <inttypes.h>

#include "base/log.h"
#include "job/jlead_impl.h"

/* Look-ahead: what the leader knows about the ends of runs. */

/* Returns since when a run's task runs. One whose start was sent again began
 * with the last order. An inherited one was assigned by an earlier leader, at a
 * time that this replica may not know. */
static struct timespec
held_since(const struct jrun *r)
{
	if (r->nstarts > (r->inherited ? 0 : 1))
		return r->order_sent_at;
	if (r->inherited && r->task->assigned_at.tv_sec != 0)
		return r->task->assigned_at;
	return r->created;
}

/* Fills the runs of a worker that end by themselves or are being stopped. */
static void
fill_room(void *arg, size_t worker, struct jroom_worker *w)
{
	struct jlead *jl = arg;
	int64_t now_ms = clk_ns(jl->now) / CLK_NS_PER_MS;
	const struct jrun *r;

	for (r = jl->plan_sessions[worker]->runs; r != NULL; r = r->next) {
		const Job__Step *s = r->step->spec;
		struct jroom_run x = { 0 };

		x.since_ms = clk_ns(held_since(r)) / CLK_NS_PER_MS;
		if (r->phase == RUN_ENDING || r->must_stop) {
			/* Its age says nothing about when it ends. */
			x.since_ms = now_ms;
			x.expected_ms = r->phase == RUN_ENDING ? JROOM_ENDING_MS
							       : JROOM_STOP_MS;
		} else if (s->lasting) {
			continue;
		} else {
			x.expected_ms = jroom_expected_ms(&jl->room, r->step,
					    r->image_index) *
			    JTHROTTLE_FULL_PERCENT /
			    (r->throttle_percent > 0 ? r->throttle_percent : 1);
		}
		x.cpu = s->fills ? 0 : s->cpu_milli;
		x.mem = s->mem_mb;
		x.accel = s->accel;
		jroom_add_run(w, &x);
	}
}

/* Returns the look-ahead for a plan, NULL if it is turned off. */
struct jplan_lookahead *
jl_lookahead(struct jlead *jl)
{
	if (!jl->lookahead)
		return NULL;
	jl->look.model = &jl->room;
	jl->look.fill = fill_room;
	jl->look.arg = jl;
	return &jl->look;
}

/* Returns how much longer a worker's runs take than elsewhere, as a share. */
double
jl_slowness(const struct jlead *jl, const struct wsess *ws)
{
	return ws->speed.n < JSPEED_RUNS_MIN
	    ? 0
	    : jspeed_slowness(
		  &ws->speed, &jl->speed, clk_ns(jl->now) / CLK_NS_PER_MS);
}

/* Learns from a run that was done, unless its start was repeated or it was
 * throttled, so that its length says little. */
void
jl_learn_room(struct jlead *jl, const struct jrun *r)
{
	int64_t held_ms = clk_diff_ms(jl->now, r->created);
	int64_t now_ms = clk_ns(jl->now) / CLK_NS_PER_MS;

	if (!jl->lookahead || r->inherited || r->step->spec->lasting ||
	    r->nstarts > 1 || r->nthrottles > 0)
		return;
	jroom_learn(&jl->room, r->step, r->image_index, held_ms, now_ms);
	if (!r->step->spec->fills)
		jspeed_learn(
		    &r->ws->speed, &jl->speed, r->step, held_ms, now_ms);
}

/* Forgets what an earlier leader on this replica knew of a step. */
void
jl_forget_room(struct jst_step *st)
{
	st->room_ratio_sum = 0;
	st->room_nended = 0;
	st->room_held_ms = st->room_kept_ms = st->room_retry_ms = 0;
}

/* Logs the places that the last plan keeps and the one before didn't. At most
 * JLEAD_RESERVE_LINES_MAX in one JLEAD_FLEET_LOG_INTERVAL_MS. */
void
jl_log_reserved(struct jlead *jl)
{
	int64_t now_ms = clk_ns(jl->now) / CLK_NS_PER_MS;
	size_t i;

	for (i = 0; i < jl->look.nslots; i++) {
		const struct jplan_slot *s = &jl->look.slots[i];
		const struct jplan_worker *p = &jl->plan_workers[s->worker];

		if (!s->is_new || jl->nreserve_lines >= JLEAD_RESERVE_LINES_MAX)
			continue;
		jl->nreserve_lines++;
		log_event(LOG_INFO, "job",
		    "event=reserve job=%016" PRIx64
		    " step=%u.%u worker=%s start_in_ms=%" PRId64
		    " due_in_ms=%" PRId64
		    " reason=no_single_end_suffices ends=%u cpu=%u "
		    "free_cpu=%" PRId64 " late=%d",
		    s->step->job->id, s->step->occurrence, s->step->number,
		    p->w->info->id, s->start_ms - now_ms,
		    s->step->job->deadline_ms - jl->wall_ms, s->nends,
		    s->step->spec->cpu_milli, p->free_cpu, s->is_late);
	}
}

/* Finds the workers that the last plan keeps for a job. */
size_t
jlead_kept_places(const struct jlead *jl, uint64_t job,
    const struct jplan_worker **out, size_t max)
{
	size_t i, n = 0;

	for (i = 0; i < jl->nsessions; i++) {
		const struct jplan_worker *p = &jl->plan_workers[i];

		if (p->hold.start_ms == 0 || p->hold.job != job)
			continue;
		if (n < max)
			out[n] = p;
		n++;
	}
	return n;
}
