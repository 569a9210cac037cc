#include "job/jlead.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "job/jlead_impl.h"
#include "job/jlead_pool.h"
#include "job/jlead_wave.h"

/* Prepares the state of a replica that doesn't lead yet. */
void
jlead_init(struct jlead *jl, struct jst *st, const struct jlead_ops *ops,
    struct ctr_set *ctr)
{
	memset(jl, 0, sizeof(*jl));
	jl->st = st;
	jl->ops = *ops;
	jl->ctr = ctr;
	hist_init(&jl->cancel_ms);
	jinterf_init(&jl->interf);
	jdemand_init(&jl->demand);
	jevac_init(&jl->evac);
	jroom_init(&jl->room);
}

/* Returns the session of a registration, NULL if there is none. */
struct wsess *
jl_session(struct jlead *jl, uint64_t num)
{
	struct jst_worker *w = jst_find_worker(jl->st, num);

	return w == NULL ? NULL : w->session;
}

/* Gives a session the next entry in the plan's input. */
static void
plan_slot_add(struct jlead *jl, struct wsess *ws)
{
	if (jl->nsessions == jl->plan_cap) {
		jl->plan_cap = jl->plan_cap == 0 ? 64 : jl->plan_cap * 2;
		jl->plan_workers = realloc(
		    jl->plan_workers, jl->plan_cap * sizeof(*jl->plan_workers));
		jl->plan_sessions = realloc(jl->plan_sessions,
		    jl->plan_cap * sizeof(*jl->plan_sessions));
		if (jl->plan_workers == NULL || jl->plan_sessions == NULL)
			abort();
	}
	ws->plan_index = jl->nsessions++;
	memset(&jl->plan_workers[ws->plan_index], 0, sizeof(*jl->plan_workers));
	ws->plan_stale = true;
	jl->plan_sessions[ws->plan_index] = ws;
}

/* Removes a session's entry from the plan's input; the last one takes its
 * index. With look-ahead it takes its entry along: that tells for which job its
 * worker is kept, also between plans. */
static void
plan_slot_remove(struct jlead *jl, const struct wsess *ws)
{
	struct wsess *last = jl->plan_sessions[--jl->nsessions];

	if (jl->lookahead)
		jl->plan_workers[ws->plan_index] =
		    jl->plan_workers[last->plan_index];
	last->plan_index = ws->plan_index;
	last->plan_stale = true;
	jl->plan_sessions[last->plan_index] = last;
}

/* Tells whether a worker's incarnation has started recently. Its start is a
 * time of day, which may be ahead of ours. */
static bool
is_young(const struct jlead *jl, const struct jst_worker *w)
{
	return jl->wall_ms - (int64_t)w->info->born < JLEAD_YOUNG_WORKER_MS;
}

/* Starts a session for a registered worker. */
static struct wsess *
session_new(struct jlead *jl, struct jst_worker *w)
{
	struct wsess *ws = calloc(1, sizeof(*ws));

	if (ws == NULL)
		abort();
	ws->w = w;
	ws->incarnation = w->info->born;
	ws->fence = jl->token << JLEAD_FENCE_BITS | jl->nfences;
	ws->follows_restart = is_young(jl, w);
	ws->closed = jevac_is_closed(jl->st, w->info->zone);
	ws->last_heard_at = ws->next_poll_at = ws->paused_until =
	    ws->failure_score_at = ws->named_at = ws->lease_sent_at = jl->now;
	ws->backoff_ms = JLEAD_RETRY_MS;
	jthrottle_init(&ws->throttle, clk_ns(jl->now) / CLK_NS_PER_MS);
	ws->next = jl->sessions;
	jl->sessions = ws;
	plan_slot_add(jl, ws);
	w->session = ws;
	return ws;
}

/* Drops the late ends that a session has reported. */
static void
drop_late_ends(struct jlead *jl, const struct wsess *ws)
{
	struct late_end **p = &jl->late_ends, *l;

	while ((l = *p) != NULL) {
		if (l->ws != ws) {
			p = &l->next;
			continue;
		}
		*p = l->next;
		free(l);
	}
}

/* Frees a session and its runs, and drops references to it from other runs. */
static void
session_free(struct jlead *jl, struct wsess *ws)
{
	struct wsess **p;

	struct wsess *other;
	struct jrun *r;

	while (ws->runs != NULL)
		jrun_free(jl, ws->runs);
	drop_late_ends(jl, ws);
	for (other = jl->sessions; other != NULL; other = other->next) {
		if (other->restarted && other->w->num < ws->w->num &&
		    strcmp(other->w->info->id, ws->w->info->id) == 0) {
			other->next_removed = true;
			if (clk_before(other->lease_sent_at, ws->lease_sent_at))
				other->lease_sent_at = ws->lease_sent_at;
		}
		for (r = other->runs; r != NULL; r = r->next) {
			if (r->end_session == ws)
				r->end_session = NULL;
		}
	}
	for (p = &jl->sessions; *p != NULL && *p != ws; p = &(*p)->next)
		;
	if (*p != NULL)
		*p = ws->next;
	plan_slot_remove(jl, ws);
	jl->nrestarted -= ws->restarted;
	ws->w->session = NULL;
	jroom_worker_finish(&ws->room);
	free(ws);
}

/* Drops everything that only a leader keeps. */
void
jlead_stop(struct jlead *jl)
{
	jl->leading = false;
	jl->evac.nruns = 0;
	jl_wave_stop(jl);
	jl_pool_stop(jl);
	jl_advice_stop(jl);
	while (jl->sessions != NULL)
		session_free(jl, jl->sessions);
	jst_close_untouched(jl->st);
}

/* Releases everything except the replicated state. */
void
jlead_finish(struct jlead *jl)
{
	jlead_stop(jl);
	jl_pool_finish(jl);
	jl_wave_finish(jl);
	free(jl->plan_workers);
	free(jl->plan_sessions);
	jl->plan_workers = NULL;
	jl->plan_sessions = NULL;
	jl->plan_cap = 0;
	jinterf_finish(&jl->interf);
	jevac_finish(&jl->evac);
}

/* Drops what was derived from the configuration; the next plan computes it
 * again. */
static void
clear_queue_cache(struct jst_job *j)
{
	j->deadline_ms = 0;
	j->queue_cfg = NULL;
}

/* Takes over the assigned tasks of a list of jobs as inherited runs; returns
 * their number. */
static uint32_t
inherit_runs(struct jlead *jl, struct jst_job *j)
{
	struct jst_step *st;
	uint32_t o, i, k, n = 0;

	for (; j != NULL; j = j->next) {
		clear_queue_cache(j);
		j->begun_proposed = false;
		j->nruns = 0;
		JST_FOREACH_STEP(j, st, o, i)
		{
			st->nproposed = 0;
			jl_forget_room(st);
			st->short_since_ms = 0;
			st->nspeed = 0;
			st->advice = NULL;
			for (k = 0; k < st->spec->count; k++) {
				struct jst_task *t = &st->tasks[k];

				t->active_run = NULL;
				t->idle_since_ms = 0;
				if (t->state != JST_ASSIGNED)
					continue;
				jrun_new(jl, t->worker->session, st, k, t->run,
				    RUN_INHERITED);
				n++;
			}
		}
	}
	return n;
}

/* Notes which workers have an earlier registration that is not removed yet. */
static void
find_restarted_workers(struct jlead *jl)
{
	struct jst_worker *latest;
	struct wsess *ws;

	for (ws = jl->sessions; ws != NULL; ws = ws->next) {
		latest = jst_find_worker_by_id(jl->st, ws->w->info->id);
		if (latest != ws->w)
			((struct wsess *)latest->session)->follows_restart =
			    true;
	}
}

/* Starts to lead. Nothing is assigned to a worker before it has been polled. */
void
jlead_begin(
    struct jlead *jl, struct timespec now, int64_t wall_ms, uint64_t token)
{
	uint32_t inherited;
	size_t i;

	jlead_stop(jl);
	jl->now = jl->leading_since = now;
	jl->wall_ms = wall_ms;
	jl->token = token;
	jl->nfences = 0;
	jl->forget_at = now;
	jl->first_serial = jl->serial + 1;
	memset(&jl->speed, 0, sizeof(jl->speed));
	jroom_init(&jl->room);
	jl->leading = true;
	jl->plan_needed = true;
	jl_advice_begin(jl);
	for (i = 0; i < jl->st->nworkers; i++)
		session_new(jl, jl->st->workers[i]);
	find_restarted_workers(jl);
	inherited = inherit_runs(jl, jl->st->active) +
	    inherit_runs(jl, jl->st->dormant) + inherit_runs(jl, jl->st->ended);
	log_event(LOG_NOTICE, "job",
	    "event=lead token=%" PRIu64 " workers=%zu inherited_runs=%u", token,
	    jl->st->nworkers, inherited);
	jlead_tick(jl, now, wall_ms);
}

/* Tells whether a worker has been silent since a poll failed. An order without
 * an answer makes it silent too, but the poll in flight may still be
 * answered. */
bool
jl_has_failed_poll(const struct wsess *ws)
{
	return ws->silent && ws->backoff_ms > JLEAD_RETRY_MS;
}

/* Returns how far a worker's clock advances at least in this many ms. */
static int64_t
least_advance_ms(int64_t ms)
{
	return ms * (1000 - JLEAD_CLOCK_DRIFT_PERMILLE) / 1000;
}

/* Returns the end of a lease granted now, on the worker's clock; 0 if none may
 * be granted. However slow that clock is, the lease is no longer than
 * JLEAD_LEASE_MS, which the next leader counts on. A worker whose poll failed
 * may have restarted, and its next incarnation has another clock. */
int64_t
jl_lease_until(const struct jlead *jl, const struct wsess *ws)
{
	if (!ws->contacted || !jl->ops.is_sole_leader(jl->ops.arg) ||
	    jl_has_failed_poll(ws) ||
	    (ws->silent &&
		clk_diff_ms(jl->now, ws->last_heard_at) >
		    JLEAD_SILENT_LEASE_MS))
		return 0;
	return ws->clock_ms +
	    least_advance_ms(clk_diff_ms(jl->now, ws->clock_at)) +
	    JLEAD_LEASE_MS;
}

/* Tells whether a lease of JLEAD_LEASE_MAX_MS that was granted at a time may be
 * in force on some worker. */
static bool
longest_lease_is_valid(const struct jlead *jl, struct timespec granted_at)
{
	return least_advance_ms(clk_diff_ms(jl->now, granted_at)) <=
	    JLEAD_LEASE_MAX_MS + 1;
}

/* Returns when a worker was registered at the latest, on this replica's
 * monotonic clock; a replica that was not there goes by the time of day. */
static struct timespec
registration_time(const struct jlead *jl, const struct jst_worker *w)
{
	int64_t age =
	    jl->wall_ms - w->info->registered_ms - JLEAD_WALL_CLOCK_STEP_MS;

	if (w->registered_at.tv_sec != 0)
		return w->registered_at;
	return clk_add_ms(jl->now, age > 0 ? -age : 0);
}

/*
 * Tells whether a lease of earlier leaders may be in force on a worker that has
 * answered no poll of this one. A call that was meant for the incarnation
 * before may have given it the longest one just when it was registered; later
 * ones are refused.
 */
static bool
old_lease_is_valid(const struct jlead *jl, const struct jrun *r)
{
	const struct jst_worker *latest =
	    jst_find_worker_by_id(jl->st, r->ws->w->info->id);
	bool restarted = r->ws->follows_restart || latest != r->ws->w;
	struct timespec last =
	    clk_add_ms(jl->leading_since, JLEAD_OLD_LEADER_LEASE_MS);
	struct timespec registered =
	    clk_add_ms(registration_time(jl, latest), JLEAD_CALL_TIMEOUT_MS);

	if (clk_before(last, registered))
		registered = last;
	if (r->is_recent && longest_lease_is_valid(jl, last))
		return true;
	if (restarted && longest_lease_is_valid(jl, registered))
		return true;
	return least_advance_ms(clk_diff_ms(jl->now, last)) <=
	    JLEAD_LEASE_MS + 1;
}

/* Tells whether a lease by the clock of a session's incarnation may be in
 * force. */
static bool
session_lease_is_valid(const struct jlead *jl, const struct wsess *ws)
{
	return least_advance_ms(clk_diff_ms(jl->now, ws->clock_at)) <=
	    ws->lease_until_max_ms - ws->clock_ms + 1;
}

/* Tells whether an incarnation other than the session's may have carried out a
 * run's start. */
bool
jl_may_run_elsewhere(const struct jlead *jl, const struct jrun *r)
{
	return r->phase == RUN_INHERITED || r->order_pending ||
	    (r->nstarts > 0 && !r->is_attributed) ||
	    clk_before(jl->now, r->late_until);
}

/*
 * Tells whether the clock in the answer to an order is that of the session's
 * incarnation, or ahead of it. The clock of the next one starts anew, so that
 * it is behind. Leases by a clock that isn't behind end no later than we
 * expect.
 */
bool
jl_is_own_clock(
    const struct wsess *ws, const struct jl_reply *rep, struct timespec sent_at)
{
	int64_t passed = clk_diff_ms(sent_at, ws->clock_at);

	if (!rep->has_clock || !ws->contacted || ws->restarted)
		return false;
	return rep->clock_ms >=
	    ws->clock_ms + (passed > 0 ? least_advance_ms(passed) : passed);
}

/* Returns the later of two times. */
static struct timespec
later(struct timespec a, struct timespec b)
{
	return clk_before(a, b) ? b : a;
}

/* Tells whether a run that is to be stopped in its worker's next incarnation
 * may be under a lease there. */
static bool
may_run_after_restart(const struct jlead *jl, const struct jrun *r)
{
	const struct wsess *ws = r->ws, *next;
	const struct jst_worker *w =
	    jst_find_worker_by_id(jl->st, ws->w->info->id);

	next = w == NULL || w == ws->w ? NULL : w->session;
	if (next == NULL)
		return longest_lease_is_valid(jl, ws->lease_sent_at);
	if (!next->contacted)
		return longest_lease_is_valid(
		    jl, later(ws->lease_sent_at, next->lease_sent_at));
	return !next->silent || session_lease_is_valid(jl, next);
}

/*
 * Tells whether a run of a silent worker may be under a lease. One that the
 * session's incarnation has started is bound by the leases on its clock. The
 * start of any other may have been carried out by the next incarnation, whose
 * clock isn't known: by that one, a lease may be as long as any. A stop ends a
 * run before that, but only a long-running one has no end to be heard of.
 */
bool
jl_may_run(const struct jlead *jl, const struct jrun *r)
{
	const struct wsess *ws = r->ws;

	if (r->stop_confirmed && r->step->spec->lasting &&
	    clk_diff_ms(jl->now, r->stopped_at) > JLEAD_STOP_MAX_MS)
		return false;
	if (ws->restarted)
		return may_run_after_restart(jl, r);
	if (!ws->contacted)
		return old_lease_is_valid(jl, r);
	if (session_lease_is_valid(jl, ws))
		return true;
	return r->nstarts > 0 && !r->is_attributed &&
	    longest_lease_is_valid(jl, later(r->started_at, ws->lease_sent_at));
}

/* Returns the session whose incarnation gets the calls to a worker: that of its
 * latest registration. */
static const struct wsess *
latest_session(const struct jlead *jl, const struct wsess *ws)
{
	const struct jst_worker *w = ws->restarted
	    ? jst_find_worker_by_id(jl->st, ws->w->info->id)
	    : ws->w;

	return w == NULL || w->session == NULL ? ws : w->session;
}

/* Fills the fields that every call to a worker has. */
void
jl_call_init(struct jlead *jl, const struct wsess *ws, struct jl_call *c,
    enum jl_call_kind kind)
{
	memset(c, 0, sizeof(*c));
	c->kind = kind;
	c->worker = ws->w->num;
	c->id = ws->w->info->id;
	c->addr = ws->w->info->addr;
	c->zone = ws->w->info->zone;
	c->relay_attempt = ws->failed_polls;
	c->token = jl->token;
	c->fence = latest_session(jl, ws)->fence;
	c->serial = ++jl->serial;
	c->timeout_ms = JLEAD_CALL_TIMEOUT_MS;
}

/* Remembers the latest lease granted to a worker. */
static void
record_lease(const struct jlead *jl, struct wsess *ws, int64_t until)
{
	if (until > 0)
		ws->lease_sent_at = jl->now;
	if (until > ws->lease_until_max_ms)
		ws->lease_until_max_ms = until;
}

/* Sends an order to start or stop a run. A start without a lease is not
 * sent. */
void
jl_call_run(struct jlead *jl, struct jrun *r, enum jl_call_kind kind)
{
	struct jl_call c;

	jl_call_init(jl, r->ws, &c, kind);
	jrun_task_ref(r, &c.task);
	c.run = r->run;
	if (kind == JL_START) {
		c.lease_until_ms = jl_lease_until(jl, r->ws);
		if (c.lease_until_ms == 0)
			return;
		record_lease(jl, r->ws, c.lease_until_ms);
		r->started_at = jl->now;
		c.spec = r->step->job->spec->text;
		c.checkpoint = jst_checkpoint(r->step, r->task);
		c.ticket = jl_advice_ticket(jl, r);
		ctr_add(jl->ctr, JCTR_STARTS, 1);
		jl_log_start(jl, r, &c);
	} else {
		ctr_add(jl->ctr, JCTR_STOPS, 1);
		jl_log_stop(jl, r, &c);
	}
	r->order_pending = true;
	r->order_serial = r->confirmed_serial = c.serial;
	r->order_sent_at = jl->now;
	jl->ops.call(jl->ops.arg, &c);
}

/* Tells whether a poll may acknowledge ends. Its next incarnation would forget
 * those of its own with the same numbers, so that this one must have answered
 * just before. */
static bool
may_acknowledge(const struct jlead *jl, const struct wsess *ws)
{
	return !ws->silent && ws->answered_poll == ws->poll_serial &&
	    clk_diff_ms(jl->now, ws->named_at) <= JLEAD_ACK_AGE_MS;
}

/* Sends a long poll: renews the worker's leases, and asks what runs and what
 * has ended. */
void
jl_poll(struct jlead *jl, struct wsess *ws)
{
	bool has_acks = ws->acked_end > ws->acked_known;
	struct jl_call c;

	jl_call_init(jl, ws, &c, JL_POLL);
	if (has_acks && may_acknowledge(jl, ws))
		c.acked_end = ws->acked_end;
	if (ws->contacted) {
		if (ws->nruns > 0 && !ws->leave_announced)
			c.lease_until_ms = jl_lease_until(jl, ws);
		c.wait_ms = ws->nruns > 0 ? JLEAD_POLL_WAIT_MS
					  : JLEAD_IDLE_POLL_WAIT_MS;
		if (ws->nserving > 0)
			c.wait_ms = JLEAD_SERVING_POLL_WAIT_MS;
		if (ws->silent || (has_acks && c.acked_end == 0))
			c.wait_ms = 0;
		record_lease(jl, ws, c.lease_until_ms);
	}
	c.timeout_ms = c.wait_ms + JLEAD_CALL_TIMEOUT_MS;
	ws->poll_pending = true;
	ws->poll_serial = c.serial;
	ws->poll_acked = c.acked_end;
	ws->poll_deadline = clk_add_ms(jl->now, c.timeout_ms);
	ctr_add(jl->ctr, JCTR_POLLS, 1);
	jl->ops.call(jl->ops.arg, &c);
}

/* Polls a silent worker again without waiting for the backoff, as a heartbeat
 * has shown that it is alive. */
void
jlead_on_heartbeat(
    struct jlead *jl, struct jst_worker *w, uint32_t cold_left_ms)
{
	struct wsess *ws = w->session;

	if (!jl->leading || ws == NULL)
		return;
	if (cold_left_ms > 0)
		ws->cold_until = clk_add_ms(jl->now, cold_left_ms);
	if (ws->silent && !ws->poll_pending)
		ws->next_poll_at = jl->now;
}

/* Handles a worker's notice that it is about to exit. The worker goes on for
 * seconds if the acknowledgement is lost, so its tasks go to other workers only
 * after their runs have stopped there or their lease has expired. */
bool
jlead_leave(struct jlead *jl, struct timespec now, struct jst_worker *w)
{
	struct wsess *ws = w->session;
	struct jrun *r;

	jl->now = now;
	if (ws == NULL)
		return true;
	if (ws->nruns == 0) {
		ws->removal_proposed = true; /* by the caller */
		return true;
	}
	if (ws->leave_announced)
		return false;
	ws->leave_announced = true;
	for (r = ws->runs; r != NULL; r = r->next)
		jrun_stop(jl, r, JL_STOP_LEAVING);
	return false;
}

/* Stops all runs of a job. */
static void
stop_job_runs(struct jlead *jl, struct jst_job *j)
{
	struct jst_step *st;
	uint32_t o, i, k;

	JST_FOREACH_STEP(j, st, o, i)
	{
		for (k = 0; k < st->spec->count; k++) {
			if (st->tasks[k].active_run != NULL)
				jrun_stop(jl, st->tasks[k].active_run,
				    JL_STOP_JOB_ENDED);
		}
	}
}

/* Tells whether a run is the one that an assignment proposes. Two of a task
 * may be in flight with the same run number: if a worker is removed, its tasks
 * are assigned again before its assignments are refused. */
static bool
is_proposed_by(const struct jrun *r, const Job__Assign *a)
{
	return r->phase == RUN_PROPOSED && r->run == a->run &&
	    r->ws->w->num == a->worker;
}

/* Starts the run of a committed assignment. If the leader has given that run
 * up, or has proposed another one, the committed one replaces it. */
static void
start_assigned(
    struct jlead *jl, const struct jst_result *res, const Job__Assign *a)
{
	struct jrun *r = res->task->active_run;

	if (r != NULL && is_proposed_by(r, a)) {
		r->step->nproposed--;
		r->step->job->nruns++;
		r->phase = RUN_STARTING;
	} else {
		if (r != NULL)
			jrun_free(jl, r);
		r = jrun_new(jl, res->worker->session, res->step,
		    a->task->index, a->run, RUN_STARTING);
	}
	r->assigned_at = r->starting_at = jl->now;
	if (r->ws->restarted || r->ws->leave_announced)
		jrun_end(jl, r, JOB__HOW__GONE, NULL);
	else if (jl_has_late_end(jl, res->step, a->task))
		jrun_stop(jl, r, JL_STOP_TASK_DONE);
	else
		jrun_send_due(jl, r);
}

/* Starts a run whose assignment has been committed, or drops it if it was
 * refused. */
static void
handle_assign(
    struct jlead *jl, const struct jst_result *res, const Job__Assign *a)
{
	struct jrun *r;

	if (res->task == NULL)
		return;
	r = res->task->active_run;
	if (res->status == STATUS_OK)
		start_assigned(jl, res, a);
	else if (r != NULL && is_proposed_by(r, a))
		jrun_free(jl, r);
}

/* Counts an end that a session has reported as committed, and acknowledges all
 * of them once none is left. */
static void
ack_end(struct jlead *jl, struct wsess *ws)
{
	if (--ws->ends_pending > 0)
		return;
	ws->acked_end = ws->last_end;
	if (!ws->poll_pending && !ws->silent && !ws->restarted)
		jl_poll(jl, ws);
}

/* Tells whether a late end is the one of a command. */
static bool
is_end_of(const struct late_end *l, const Job__End *e)
{
	return l->run == e->run && e->how == JOB__HOW__DONE &&
	    l->task.job == e->task->job &&
	    l->task.occurrence == e->task->occurrence &&
	    l->task.step == e->task->step && l->task.index == e->task->index;
}

/* Acknowledges the late ends that a committed command records. */
static void
ack_late_ends(struct jlead *jl, const Job__End *e)
{
	struct late_end **p = &jl->late_ends, *l;

	while ((l = *p) != NULL) {
		if (!is_end_of(l, e)) {
			p = &l->next;
			continue;
		}
		*p = l->next;
		ack_end(jl, l->ws);
		free(l);
	}
}

/* Ends the run of a task that an earlier run has done. */
static void
drop_later_run(struct jlead *jl, struct jrun *r)
{
	if (r->phase == RUN_PROPOSED)
		jrun_free(jl, r);
	else
		jrun_stop(jl, r, JL_STOP_TASK_DONE);
}

/* Ends the later runs of a task that an earlier run has done. In a gang that
 * run has done the tasks of all members. */
static void
drop_later_runs(struct jlead *jl, const struct jst_step *st, const Job__End *e)
{
	struct jrun *r;
	uint32_t i;

	for (i = 0; i < st->spec->count; i++) {
		r = st->tasks[i].active_run;
		if (r != NULL && r->run > e->run &&
		    (st->spec->gang || i == e->task->index))
			drop_later_run(jl, r);
	}
}

/* Frees a run whose end has been committed, and acknowledges the end once all
 * those reported with it are committed too. */
static void
handle_end(struct jlead *jl, const struct jst_result *res, const Job__End *e)
{
	struct jrun *r;
	struct wsess *ws;

	ack_late_ends(jl, e);
	if (res->status == STATUS_OK && e->how == JOB__HOW__DONE)
		drop_later_runs(jl, res->step, e);
	r = res->task == NULL ? NULL : res->task->active_run;
	if (r == NULL || r->run != e->run)
		return;
	ws = r->end_session;
	r->end_session = NULL;
	jrun_free(jl, r);
	if (ws != NULL)
		ack_end(jl, ws);
}

/* Starts a session for a new incarnation; earlier ones under its id are over.
 * The session is there first: the calls to the incarnation get its token. */
static void
handle_registration(struct jlead *jl, struct jst_worker *w)
{
	struct wsess *ws, *earlier;

	if (jl->nfences + 1 < UINT64_C(1) << JLEAD_FENCE_BITS)
		jl->nfences++;
	ws = session_new(jl, w);
	ws->cold_until = clk_add_ms(jl->now, w->info->cold_left_ms);
	for (earlier = jl->sessions; earlier != NULL; earlier = earlier->next) {
		if (earlier == ws ||
		    strcmp(earlier->w->info->id, w->info->id) != 0)
			continue;
		ws->follows_restart = true;
		jl_handle_restart(jl, earlier, w->info->born);
	}
	jl_poll(jl, ws);
}

/* Adds a submitted job to the average demand. Every replica does so, so that a
 * new leader has the averages. */
static void
count_demand(struct jlead *jl, const struct jst_job *j)
{
	const Job__Queue *q = jst_queue(jl->st, j->queue);

	if (q != NULL)
		jdemand_add(&jl->demand, q->service, j->spec, j->submitted_ms);
}

/* Records when a task was assigned or a worker registered, for a later term of
 * this replica. */
static void
record_time(
    const Job__Command *c, struct timespec now, const struct jst_result *res)
{
	if (c->assign != NULL) {
		if (res->status == STATUS_OK)
			res->task->assigned_at = now;
	} else if (c->worker != NULL && res->worker != NULL &&
	    res->worker->registered_at.tv_sec == 0) {
		res->worker->registered_at = now;
	}
}

/* Applies a committed command to the state; a leader then continues the runs
 * that it concerns. */
void
jlead_apply(struct jlead *jl, struct timespec now, int64_t wall_ms,
    const Job__Command *c, struct jst_result *res)
{
	struct jst_job *j;

	jl->now = now;
	jl->wall_ms = wall_ms;
	if (jl->leading && c->gone != NULL) {
		struct wsess *ws = jl_session(jl, c->gone->num);

		if (ws != NULL)
			session_free(jl, ws);
	}
	jst_apply(jl->st, c, res);
	if (jl->leading && res->checkpoint_dropped)
		ctr_add(jl->ctr, JCTR_CHECKPOINTS_DROPPED, 1);
	if (c->submit != NULL && res->status == STATUS_OK)
		count_demand(jl, res->job);
	record_time(c, now, res);
	if (c->evacuation != NULL)
		jl_evac_applied(jl, c->evacuation, res->status);
	if (!jl->leading)
		return;
	jl->plan_needed = true;
	if ((c->assign != NULL || c->end != NULL) &&
	    res->status == STATUS_STALE)
		jl_log_stale(jl, c, res);
	if (c->assign != NULL)
		handle_assign(jl, res, c->assign);
	else if (c->end != NULL)
		handle_end(jl, res, c->end);
	else if (c->worker != NULL && res->worker != NULL &&
	    res->worker->session == NULL)
		handle_registration(jl, res->worker);
	else if (c->wave_step != NULL)
		jl_wave_applied(jl, c->wave_step);
	else if (c->move != NULL)
		jl_pool_applied(jl, c->move);
	else if (c->config != NULL) {
		jl_advice_configured(jl);
		for (j = jl->st->active; j != NULL; j = j->next)
			clear_queue_cache(j);
		for (j = jl->st->dormant; j != NULL; j = j->next)
			clear_queue_cache(j);
	}
	if (res->job_ended && res->job != NULL)
		stop_job_runs(jl, res->job);
}

/* Ends the runs of a silent worker whose leases have expired. */
static void
end_lost_runs(struct jlead *jl, struct wsess *ws)
{
	struct jrun *r, *next;
	uint32_t n = 0;

	for (r = ws->runs; r != NULL; r = next) {
		next = r->next;
		if (r->phase == RUN_PROPOSED || r->phase == RUN_ENDING ||
		    jl_may_run(jl, r))
			continue;
		n++;
		ctr_add(jl->ctr, JCTR_ENDS_GONE, 1);
		jrun_end(jl, r, JOB__HOW__GONE, NULL);
	}
	if (n > 0)
		jl_log_worker_lost(jl, ws, n);
}

/*
 * Tells whether a run that was stopped in its worker's next incarnation is
 * over, and its end known if it had one: that incarnation has answered a poll
 * that was sent after the stop, or has left, or the longest lease has expired.
 * A long-running task is never done, so no end of it is waited for.
 */
static bool
is_over_after_restart(const struct jlead *jl, const struct jrun *r)
{
	const struct jst_worker *w =
	    jst_find_worker_by_id(jl->st, r->ws->w->info->id);
	const struct wsess *next = w == NULL ? NULL : w->session;

	if (!r->stop_confirmed ||
	    clk_diff_ms(jl->now, r->stopped_at) <= JLEAD_STOP_MAX_MS)
		return false;
	return r->step->spec->lasting || r->ws->next_removed ||
	    (next != NULL && next != r->ws &&
		next->answered_poll > r->confirmed_serial) ||
	    least_advance_ms(clk_diff_ms(jl->now, r->stopped_at)) >
	    JLEAD_LEASE_MAX_MS;
}

/* Sends the orders that are due. Clears orders_due if no run needs an order, so
 * that the session is skipped until one does. */
static void
send_due_orders(struct jlead *jl, struct wsess *ws)
{
	struct jrun *r, *next;
	bool needs_order = false;

	for (r = ws->runs; r != NULL; r = next) {
		next = r->next;
		jrun_send_due(jl, r);
		if (ws->restarted && is_over_after_restart(jl, r))
			jrun_end(jl, r, JOB__HOW__GONE, NULL);
		needs_order |= r->phase == RUN_STARTING || r->must_stop;
	}
	ws->orders_due = needs_order;
}

/* Takes a worker's first poll, or its repetition, from the number that may be
 * sent in this tick; false if that is used up. */
static bool
take_first_poll(struct jlead *jl, const struct wsess *ws)
{
	uint32_t *left = ws->poll_serial == 0 ? &jl->first_polls_left
					      : &jl->first_repeats_left;

	if (*left == 0)
		return false;
	(*left)--;
	return true;
}

/* Handles the timeouts of one session and polls its worker if it is time. */
static void
session_tick(struct jlead *jl, struct wsess *ws)
{
	if ((ws->restarted || ws->leave_announced) && ws->nruns == 0)
		jl_propose_removal(jl, ws);
	if (ws->removal_proposed)
		return;
	if (ws->silent && ws->nruns > 0)
		end_lost_runs(jl, ws);
	if (ws->silent && ws->nruns == 0 &&
	    clk_diff_ms(jl->now, ws->last_heard_at) > JLEAD_FORGET_SILENT_MS) {
		jl_propose_removal(jl, ws);
		return;
	}
	if (ws->orders_due || ws->restarted)
		send_due_orders(jl, ws);
	if (ws->restarted || ws->poll_pending || ws->ends_pending > 0 ||
	    clk_before(jl->now, ws->next_poll_at))
		return;
	if (!ws->contacted && !take_first_poll(jl, ws))
		return;
	jl_poll(jl, ws);
}

/* Has ended jobs forgotten that have been kept for long enough. */
static void
forget_expired(struct jlead *jl)
{
	Job__Command cmd = JOB__COMMAND__INIT;
	Job__Forget f = JOB__FORGET__INIT;

	if (clk_before(jl->now, jl->forget_at) ||
	    !jst_has_expired(jl->st, jl->wall_ms - JLEAD_FORGET_LATE_MS))
		return;
	jl->forget_at = clk_add_ms(jl->now, JLEAD_FORGET_INTERVAL_MS);
	f.at_ms = jl->wall_ms;
	cmd.forget = &f;
	jl->ops.propose(jl->ops.arg, &cmd);
}

/* Sends the orders and polls that are due, and gives up runs that can no longer
 * be running. */
void
jlead_tick(struct jlead *jl, struct timespec now, int64_t wall_ms)
{
	struct wsess *ws;

	jl->now = now;
	jl->wall_ms = wall_ms;
	if (!jl->leading || !jl->ops.is_sole_leader(jl->ops.arg))
		return;
	jl->first_polls_left = jl->first_repeats_left =
	    JLEAD_FIRST_POLLS_PER_TICK +
	    jl->nrelays * JLEAD_FIRST_POLLS_PER_RELAY;
	for (ws = jl->sessions; ws != NULL; ws = ws->next)
		session_tick(jl, ws);
	forget_expired(jl);
	jst_open_due(jl->st, wall_ms + JADVICE_AHEAD_MS);
	jl_wave_tick(jl);
	jl_pool_tick(jl);
	jl_advice_tick(jl);
	jl->plan_needed = true;
}
