#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "job/jlead_impl.h"
#include "job/jlead_wave.h"

/* Assigns tasks: builds the plan's input from the sessions and proposes its
 * choices. */

/* Adds a serving run to the groups of its worker. */
static void
count_serving_task(struct jplan_worker *p, const struct jrun *r)
{
	struct jplan_group *g = p->groups;

	while (g < p->groups + p->ngroups && g->step != r->step)
		g++;
	if (g == p->groups + JPLAN_GROUPS_MAX)
		return;
	if (g == p->groups + p->ngroups) {
		memset(g, 0, sizeof(*g));
		g->step = r->step;
		g->image = r->image_index;
		p->ngroups++;
	}
	g->ntasks++;
}

/* Fills the groups of serving tasks on a worker, and the interference that
 * best-effort tasks cause there. */
static void
fill_groups(struct jlead *jl, const struct wsess *ws, struct jplan_worker *p)
{
	const struct jrun *r;
	double share;
	uint32_t i;

	for (r = ws->runs; r != NULL; r = r->next) {
		if (r->step->spec->target_ms > 0)
			count_serving_task(p, r);
	}
	for (r = ws->runs; r != NULL; r = r->next) {
		if (!r->step->spec->fills)
			continue;
		share = jl_cpu_share(ws, r->step->spec) * r->throttle_percent /
		    JTHROTTLE_FULL_PERCENT;
		for (i = 0; i < p->ngroups; i++)
			p->groups[i].interference += share *
			    jinterf_effect(&jl->interf, r->image_index,
				p->groups[i].image);
	}
}

/* Adds up what long-running tasks have allocated on a worker. */
static void
fill_lasting(const struct wsess *ws, struct jplan_worker *p)
{
	const struct jrun *r;

	for (r = ws->runs; r != NULL; r = r->next) {
		const Job__Step *s = r->step->spec;

		if (!s->lasting)
			continue;
		p->lasting_cpu += s->fills ? 0 : s->cpu_milli;
		p->lasting_mem += s->mem_mb;
		p->lasting_accel += s->accel;
	}
}

/* Fills what runs on a worker and what is free there. */
static void
fill_plan_worker(struct jlead *jl, struct wsess *ws, struct jplan_worker *p)
{
	const Job__Worker *w = ws->w->info;
	struct jplan_hold hold = { 0 };

	/* The entry may have been another worker's. */
	if (p->room == &ws->room)
		hold = p->hold;
	memset(p, 0, sizeof(*p));
	if (jl->lookahead) {
		p->room = &ws->room;
		p->hold = hold;
		ws->room.stale = true;
	}
	p->w = ws->w;
	p->cpu_total = w->cpu_milli;
	p->free_cpu = (int64_t)w->cpu_milli - ws->cpu_allocated;
	p->free_mem = (int64_t)w->mem_mb - ws->mem_allocated;
	p->free_accel = (int64_t)w->accel - ws->accel_allocated;
	p->best_effort_cpu = ws->best_effort_cpu;
	p->nserving = ws->nserving;
	p->serving_cpu = ws->serving_cpu;
	fill_lasting(ws, p);
	if (ws->nserving > 0)
		fill_groups(jl, ws, p);
	p->nbest_effort = ws->nbest_effort;
	ws->plan_stale = false;
}

/* Returns when a worker that isn't usable is again, JROOM_NEVER if that isn't
 * known: one that doesn't answer, or drains. */
static int64_t
usable_at_ms(const struct jlead *jl, const struct wsess *ws)
{
	if (!ws->contacted || ws->silent || ws->restarted || ws->closed ||
	    ws->leave_announced || ws->removal_proposed || ws->w->draining ||
	    !jl_takes_new_work(ws) || !clk_before(jl->now, ws->paused_until))
		return JROOM_NEVER;
	return clk_ns(ws->paused_until) / CLK_NS_PER_MS;
}

/* Tells whether a worker may be given work now. */
bool
jl_is_usable(const struct jlead *jl, const struct wsess *ws)
{
	return ws->contacted && !ws->silent && !ws->restarted && !ws->closed &&
	    !ws->leave_announced && !ws->removal_proposed && !ws->w->draining &&
	    !clk_before(jl->now, ws->paused_until) && jl_takes_new_work(ws);
}

/* Brings the plan's input up to date. */
static void
update_plan_workers(struct jlead *jl)
{
	size_t i;

	for (i = 0; i < jl->nsessions; i++) {
		struct wsess *ws = jl->plan_sessions[i];
		struct jplan_worker *p = &jl->plan_workers[i];

		if (ws->plan_stale || p->changed)
			fill_plan_worker(jl, ws, p);
		p->closed = ws->closed;
		p->cold = clk_before(jl->now, ws->cold_until);
		p->usable = jl_is_usable(jl, ws);
		p->usable_at_ms = p->usable ? 0 : usable_at_ms(jl, ws);
		p->slowness = jl->lookahead ? jl_slowness(jl, ws) : 0;
		p->failure_score =
		    ws->failure_score > 0 ? jl_failure_score(jl, ws) : 0;
	}
}

/* Proposes the assignment of a task to a worker. */
static void
propose_assign(
    struct jlead *jl, struct jplan_choice *c, const struct jplan_worker *p)
{
	Job__Command cmd = JOB__COMMAND__INIT;
	Job__Assign a = JOB__ASSIGN__INIT;
	struct jst_step *st = c->step;
	uint32_t run = st->tasks[c->index].run + 1, i;
	Job__Task ref;
	struct jrun *r;

	/* All tasks of a gang get the same run number. */
	for (i = 0; st->spec->gang && i < st->spec->count; i++) {
		if (st->tasks[i].run >= run)
			run = st->tasks[i].run + 1;
	}
	r = jrun_new(jl, p->w->session, st, c->index, run, RUN_PROPOSED);
	jrun_task_ref(r, &ref);
	a.task = &ref;
	a.run = run;
	a.worker = p->w->num;
	cmd.assign = &a;
	log_event(LOG_INFO, "job",
	    "event=assign job=%016" PRIx64 " task=%u.%u.%u run=%u worker=%s "
	    "free_cpu=%" PRId64 " due_in_ms=%" PRId64
	    " interference_permille=%d could_wait=%d token=%" PRIu64
	    " born=%" PRIu64,
	    ref.job, ref.occurrence, ref.step, ref.index, run, p->w->info->id,
	    p->free_cpu, st->job->deadline_ms - jl->wall_ms,
	    (int)(c->interference * 1000), c->may_wait, jl->token,
	    p->w->info->born);
	jl->ops.propose(jl->ops.arg, &cmd);
}

/* Numbers of waiting tasks that could start, by kind. */
struct waiting_tasks {
	uint32_t long_running, best_effort, others;
};

/* Counts the waiting tasks that could start. */
static void
count_waiting(const struct jst *st, struct waiting_tasks *w)
{
	const struct jst_job *j;
	const struct jst_step *s;
	uint32_t o, i, n;

	memset(w, 0, sizeof(*w));
	for (j = st->active; j != NULL; j = j->next) {
		JST_FOREACH_STEP(j, s, o, i)
		{
			if (s->nwaiting <= s->nproposed || !jst_step_ready(s))
				continue;
			n = s->nwaiting - s->nproposed;
			if (s->spec->lasting)
				w->long_running += n;
			else if (s->spec->fills)
				w->best_effort += n;
			else
				w->others += n;
		}
	}
}

/* Logs how the fleet is used, to explain why jobs wait. At most one line per
 * JLEAD_FLEET_LOG_INTERVAL_MS. */
static void
log_fleet(struct jlead *jl)
{
	int64_t cpu = 0, allocated = 0, serving = 0, best_effort = 0, mem = 0,
		free_mem = 0;
	uint32_t usable = 0, silent = 0, closed = 0, cold = 0;
	struct waiting_tasks w;
	size_t i;

	if (clk_before(jl->now, jl->fleet_log_at))
		return;
	jl->fleet_log_at = clk_add_ms(jl->now, JLEAD_FLEET_LOG_INTERVAL_MS);
	for (i = 0; i < jl->nsessions; i++) {
		const struct jplan_worker *p = &jl->plan_workers[i];

		silent += jl->plan_sessions[i]->silent;
		closed += p->closed;
		cold += p->cold;
		if (!p->usable)
			continue;
		usable++;
		cpu += p->cpu_total;
		allocated += p->cpu_total - p->free_cpu;
		serving += p->serving_cpu;
		best_effort += p->best_effort_cpu;
		mem += p->w->info->mem_mb;
		free_mem += p->free_mem;
	}
	count_waiting(jl->st, &w);
	log_event(LOG_NOTICE, "job",
	    "event=fleet workers=%zu usable=%u silent=%u cpu=%" PRId64
	    " allocated=%" PRId64 " serving=%" PRId64 " best_effort=%" PRId64
	    " mem_mb=%" PRId64 " free_mem_mb=%" PRId64
	    " waiting=%u waiting_best_effort=%u waiting_long_running=%u "
	    "plans=%" PRIu64
	    " evacuated=%u cold=%u runs=%u dormant=%u blocked=%u state=%zu "
	    "state_max=%zu",
	    jl->nsessions, usable, silent, cpu / 1000, allocated / 1000,
	    serving / 1000, best_effort / 1000, mem, free_mem, w.others,
	    w.best_effort, w.long_running, jl->nplans, closed, cold, jl->nruns,
	    g_tree_nnodes(jl->st->timers), g_queue_get_length(&jl->st->blocked),
	    jl->st->bytes, jl->st->max.jobs);
	jl->nplans = 0;
	jl_evac_scan(jl);
	jl->nreserve_lines = 0;
	jl_scan_idle(jl);
}

/* Returns how many tasks may be assigned in this plan: each run takes memory on
 * the leader. */
static size_t
assignments_left(const struct jlead *jl)
{
	uint32_t max = jl->st->max.runs;

	if (max == 0)
		return JLEAD_ASSIGN_MAX;
	if (jl->nruns >= max)
		return 0;
	return MIN(JLEAD_ASSIGN_MAX, max - jl->nruns);
}

/* Assigns tasks that can start now. */
void
jlead_plan(struct jlead *jl)
{
	struct jplan_choice *out;
	size_t i, n;

	if (!jl->leading || !jl->plan_needed ||
	    clk_before(jl->now, jl->plan_at) ||
	    !jl->ops.is_sole_leader(jl->ops.arg))
		return;
	jl->plan_needed = false;
	jl->plan_at = clk_add_ms(
	    jl->now, (int64_t)jl->nsessions / JLEAD_PLAN_WORKERS_PER_MS);
	update_plan_workers(jl);
	jl_advice_prepare(jl);
	n = jplan_choose(jl->st, &jl->interf, &jl->demand, jl->plan_workers,
	    jl->nsessions, jl->wall_ms, clk_ns(jl->now) / CLK_NS_PER_MS,
	    jl_lookahead(jl), &out, assignments_left(jl));
	for (i = 0; i < n; i++)
		propose_assign(jl, &out[i], &jl->plan_workers[out[i].worker]);
	free(out);
	if (jl->lookahead)
		jl_log_reserved(jl);
	jl->nplans++;
	log_fleet(jl);
	if (n >= JLEAD_ASSIGN_MAX)
		jl->plan_needed = true;
}
