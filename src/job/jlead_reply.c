#include <inttypes.h>

#include "base/log.h"
#include "job/jlead_impl.h"

/* Handles the answers of workers, and calls that got none. */

/* Marks a worker as silent after a call without an answer. */
static void
mark_silent(struct jlead *jl, struct wsess *ws)
{
	if (!ws->silent)
		log_event(LOG_NOTICE, "job",
		    "event=worker_silent worker=%s addr=%s runs=%u "
		    "failed_polls=%u",
		    ws->w->info->id, ws->w->info->addr, ws->nruns,
		    ws->failed_polls);
	ws->silent = true;
}

/* Records that a worker has answered, and the clock of its incarnation: an
 * answer that names none may come from the next one, which has another clock.
 */
static void
mark_answered(struct jlead *jl, struct wsess *ws, const struct jl_reply *rep)
{
	if (ws->silent)
		log_event(LOG_NOTICE, "job",
		    "event=worker_back worker=%s silent_ms=%" PRId64,
		    ws->w->info->id, clk_diff_ms(jl->now, ws->last_heard_at));
	if (ws->silent)
		jl->plan_needed = true;
	ws->silent = false;
	ws->last_heard_at = jl->now;
	ws->backoff_ms = JLEAD_RETRY_MS;
	if (!rep->has_clock || rep->incarnation != ws->incarnation)
		return;
	ws->clock_ms = rep->clock_ms;
	ws->clock_at = jl->now;
}

/* Proposes to remove a registration; nothing may be running under it any
 * more. */
void
jl_propose_removal(struct jlead *jl, struct wsess *ws)
{
	Job__Command c = JOB__COMMAND__INIT;
	Job__WorkerGone g = JOB__WORKER_GONE__INIT;

	if (ws->removal_proposed)
		return;
	ws->removal_proposed = true;
	g.num = ws->w->num;
	g.has_left = 1;
	g.left = ws->leave_announced;
	c.gone = &g;
	jl->ops.propose(jl->ops.arg, &c);
}

/* Ends a run of an earlier incarnation, or has it stopped in the next one. */
static void
handle_restarted_run(struct jlead *jl, struct jrun *r, uint64_t incarnation)
{
	if (r->phase == RUN_PROPOSED || r->phase == RUN_ENDING)
		return;
	if (incarnation == 0 ||
	    (!r->must_stop_next && !jl_may_run_elsewhere(jl, r))) {
		jrun_end(jl, r, JOB__HOW__GONE, NULL);
		return;
	}
	r->must_stop_next = true;
	if (r->phase == RUN_INHERITED)
		r->phase = RUN_STARTING;
	if (r->order_pending)
		jrun_note_late(r);
	r->unconfirmed = true;
	if (r->must_stop)
		jrun_stop_again(jl, r);
	else
		jrun_stop(jl, r, JL_STOP_RESTARTED);
}

/*
 * Handles that another incarnation answers under the worker's id, or is
 * registered. Runs that the old one has listed ended with it. An order that it
 * hasn't shown to have carried out may have reached, or may still reach, the
 * new one, which carries it out as it knows nothing of the old one; such a run
 * is stopped there before its task is given to another worker. So is an
 * inherited run, of which the order of the earlier leader may have reached the
 * new incarnation. This session polls the worker no more: the ends of the new
 * incarnation belong to its own registration.
 *
 * incarnation is 0 if another instance answers at the worker's address. Then
 * every incarnation under the worker's id has ended, with all that it ran.
 */
void
jl_handle_restart(struct jlead *jl, struct wsess *ws, uint64_t incarnation)
{
	struct jrun *r, *next;

	if (ws->removal_proposed ||
	    (ws->restarted && ws->incarnation == incarnation))
		return;
	ctr_add(jl->ctr, JCTR_WORKERS_RESTARTED, 1);
	log_event(LOG_NOTICE, "job",
	    "event=worker_restarted worker=%s born=%" PRIu64 " now=%" PRIu64
	    " runs=%u",
	    ws->w->info->id, ws->w->info->born, incarnation, ws->nruns);
	jl->nrestarted += !ws->restarted;
	ws->restarted = true;
	ws->incarnation = incarnation;
	ws->acked_end = ws->last_end = 0;
	ws->contacted = true;
	for (r = ws->runs; r != NULL; r = next) {
		next = r->next;
		handle_restarted_run(jl, r, incarnation);
	}
}

/* Tells whether the next calls should take another instance after a failed
 * poll. An instance that was lost before the poll's time limit isn't used until
 * it is back. */
static bool
should_change_instance(
    const struct jlead *jl, const struct wsess *ws, const struct jl_reply *rep)
{
	if (rep->kind == JL_RELAY_LOST)
		return !clk_before(jl->now, ws->poll_deadline);
	return rep->kind != JL_FENCED;
}

/* Handles the answer to a long poll, or that there was none. */
static void
handle_poll_reply(
    struct jlead *jl, struct wsess *ws, const struct jl_reply *rep)
{
	if (rep->serial != ws->poll_serial)
		return;
	ws->poll_pending = false;
	ws->next_poll_at = jl->now;
	if (ws->restarted)
		return;
	if (rep->kind == JL_OTHER_INCARNATION) {
		jl_handle_restart(jl, ws, 0);
		return;
	}
	/* A list that names no incarnation can't be told from one of another.
	 */
	if (rep->kind != JL_OK || rep->incarnation != ws->incarnation) {
		ctr_add(jl->ctr, JCTR_POLLS_FAILED, 1);
		if (should_change_instance(jl, ws, rep))
			ws->failed_polls++;
		if (rep->kind == JL_RELAY_LOST)
			return; /* another instance polls at once */
		if (rep->kind != JL_FENCED && rep->kind != JL_RELAY_DROPPED)
			mark_silent(jl, ws);
		ws->next_poll_at = clk_add_ms(jl->now, ws->backoff_ms);
		ws->backoff_ms *= 2;
		if (ws->backoff_ms > JLEAD_RETRY_MAX_MS)
			ws->backoff_ms = JLEAD_RETRY_MAX_MS;
		return;
	}
	mark_answered(jl, ws, rep);
	ws->answered_poll = rep->serial;
	ws->named_at = jl->now;
	if (ws->poll_acked > ws->acked_known)
		ws->acked_known = ws->poll_acked;
	if (!ws->contacted) {
		ws->contacted = true;
		/* Leases of an earlier leader, or ones meant for an earlier
		 * incarnation, may be in force. */
		ws->lease_until_max_ms = ws->clock_ms +
		    (ws->follows_restart ? JLEAD_LEASE_MAX_MS : JLEAD_LEASE_MS);
		jl->plan_needed = true;
	}
	jl_handle_poll(jl, ws, rep);
}

/* Prefers other workers for some time to one that refuses starts. Those refused
 * together count once. */
static void
record_refusal(struct jlead *jl, struct wsess *ws)
{
	if (!clk_before(jl->now, ws->paused_until))
		jl_add_failure(jl, ws, 1.0);
}

/* Ends a run whose start was refused. If another copy of the order may be in
 * flight, the run is stopped first. */
static void
end_refused_run(struct jlead *jl, struct jrun *r, enum jctr which)
{
	bool is_ticket =
	    which == JCTR_START_BAD_TICKET && jl_advice_refused(jl, r);

	ctr_add(jl->ctr, which, 1);
	if (which == JCTR_START_NO_ROOM || which == JCTR_START_UNHEALTHY)
		record_refusal(jl, r->ws);
	/* A ticket concerns one step only. */
	if (!is_ticket)
		r->ws->paused_until =
		    clk_add_ms(jl->now, JLEAD_REFUSED_PAUSE_MS);
	if (r->unconfirmed)
		jrun_stop(jl, r, JL_STOP_UNCONFIRMED);
	else
		jrun_end(jl, r, JOB__HOW__REFUSED, NULL);
}

/* Handles an order without an answer. A poll sent before it may be lost as
 * well: it is replaced by one that doesn't wait, as nothing is started on a
 * silent worker until it answers. The replies to both are safe to get, or to
 * miss. */
static void
handle_unanswered_order(
    struct jlead *jl, struct wsess *ws, const struct jl_reply *rep)
{
	mark_silent(jl, ws);
	if (ws->poll_pending && ws->poll_serial < rep->serial &&
	    ws->contacted && !ws->restarted)
		jl_poll(jl, ws);
}

/* Repeats a start after the backoff. */
static void
schedule_start_retry(struct jlead *jl, struct jrun *r)
{
	r->retry_at = clk_add_ms(jl->now, r->backoff_ms);
	r->backoff_ms *= 2;
	if (r->backoff_ms > JLEAD_RETRY_MAX_MS)
		r->backoff_ms = JLEAD_RETRY_MAX_MS;
	ctr_add(jl->ctr, JCTR_START_RETRIES, 1);
}

/* Handles the answer to a start order. */
static void
handle_start_reply(struct jlead *jl, struct jrun *r, const struct jl_reply *rep)
{
	log_event(rep->kind == JL_OK ? LOG_DEBUG : LOG_INFO, "job",
	    "event=start_answer job=%016" PRIx64 " task=%u.%u.%u run=%u "
	    "worker=%s answer=%d",
	    rep->task.job, rep->task.occurrence, rep->task.step,
	    rep->task.index, rep->run, r->ws->w->info->id, rep->kind);
	switch (rep->kind) {
	case JL_OK:
		jl_note_begun(jl, r->step->job);
		if (r->phase == RUN_STARTING)
			jrun_confirm(r);
		r->confirmed_serial = jl->serial;
		if (r->step->spec->fills)
			jl_apply_throttle(jl, r->ws);
		break;
	case JL_NO_ANSWER:
		jrun_note_late(r);
		handle_unanswered_order(jl, r->ws, rep);
		schedule_start_retry(jl, r);
		break;
	case JL_NOT_SENT:
		handle_unanswered_order(jl, r->ws, rep);
		schedule_start_retry(jl, r);
		break;
	case JL_CONN_REFUSED:
		mark_silent(jl, r->ws);
		schedule_start_retry(jl, r);
		break;
	case JL_RELAY_LOST:
		jrun_note_late(r);
		schedule_start_retry(jl, r);
		break;
	case JL_RELAY_DROPPED:
		schedule_start_retry(jl, r);
		break;
	case JL_FENCED:
		ctr_add(jl->ctr, JCTR_START_FENCED, 1);
		schedule_start_retry(jl, r);
		break;
	case JL_LEASE_OVER:
		ctr_add(jl->ctr, JCTR_START_LEASE_OVER, 1);
		schedule_start_retry(jl, r);
		break;
	case JL_RUN_ENDED:
		/* It has already ended there; a poll reports the end, unless it
		 * was acknowledged. */
		ctr_add(jl->ctr, JCTR_START_RUN_ENDED, 1);
		r->phase = RUN_CONFIRMED;
		r->confirmed_serial = jl->serial;
		break;
	case JL_NO_ROOM:
		end_refused_run(jl, r, JCTR_START_NO_ROOM);
		break;
	case JL_UNHEALTHY:
		end_refused_run(jl, r, JCTR_START_UNHEALTHY);
		break;
	case JL_BAD_TICKET:
		end_refused_run(jl, r, JCTR_START_BAD_TICKET);
		break;
	case JL_INVALID:
		end_refused_run(jl, r, JCTR_START_INVALID);
		break;
	case JL_OTHER_INCARNATION:
		jl_handle_restart(jl, r->ws, 0);
		break;
	}
}

/* Repeats a stop after the backoff, but no later than JLEAD_STOP_REPEAT_MS
 * after it was sent. */
static void
schedule_stop_retry(struct jlead *jl, struct jrun *r)
{
	int64_t passed = clk_diff_ms(jl->now, r->order_sent_at);
	int64_t delay = r->backoff_ms;

	if (delay > JLEAD_STOP_REPEAT_MS - passed)
		delay = JLEAD_STOP_REPEAT_MS - passed;
	if (delay < JLEAD_RETRY_MS)
		delay = JLEAD_RETRY_MS;
	r->retry_at = clk_add_ms(jl->now, delay);
	r->backoff_ms *= 2;
	if (r->backoff_ms > JLEAD_RETRY_MAX_MS)
		r->backoff_ms = JLEAD_RETRY_MAX_MS;
	ctr_add(jl->ctr, JCTR_STOP_RETRIES, 1);
}

/* Handles the answer to a stop order. */
static void
handle_stop_reply(struct jlead *jl, struct jrun *r, const struct jl_reply *rep)
{
	jl_log_stop_answer(r, rep);
	if (rep->kind == JL_OK) {
		r->stop_confirmed = true;
		r->stopped_at = jl->now;
		r->confirmed_serial = jl->serial;
		return;
	}
	if (rep->kind == JL_OTHER_INCARNATION) {
		jl_handle_restart(jl, r->ws, 0);
		return;
	}
	if (rep->kind == JL_NO_ANSWER || rep->kind == JL_NOT_SENT)
		handle_unanswered_order(jl, r->ws, rep);
	else if (rep->kind == JL_CONN_REFUSED)
		mark_silent(jl, r->ws);
	schedule_stop_retry(jl, r);
}

/* Tells whether a reply comes from the worker's present incarnation. */
static bool
is_worker_answer(enum jl_reply_kind kind)
{
	switch (kind) {
	case JL_NO_ANSWER:
	case JL_NOT_SENT:
	case JL_CONN_REFUSED:
	case JL_OTHER_INCARNATION:
	case JL_RELAY_DROPPED:
	case JL_RELAY_LOST:
		return false;
	default:
		return true;
	}
}

/* Tells whether a reply belongs to the run's order in flight. One to an order
 * of an earlier term of this replica says nothing about it. */
static bool
is_order_reply(const struct jrun *r, const struct jl_reply *rep)
{
	return r->order_pending && rep->serial == r->order_serial;
}

/* Handles the answer of an earlier incarnation: it says nothing about the
 * present one, but its call is no longer in flight. */
static void
handle_outdated_reply(
    struct jlead *jl, struct wsess *ws, const struct jl_reply *rep)
{
	struct jrun *r;

	if (rep->call == JL_POLL) {
		if (rep->serial == ws->poll_serial) {
			ws->poll_pending = false;
			ws->next_poll_at = clk_add_ms(jl->now, JLEAD_RETRY_MS);
		}
		return;
	}
	r = jrun_find(jl, ws, &rep->task, rep->run);
	if (r == NULL)
		return;
	if (rep->call == JL_THROTTLE) {
		r->throttle_pending = false;
		return;
	}
	if (!is_order_reply(r, rep))
		return;
	r->order_pending = false;
	jrun_send_due(jl, r);
}

/* Handles the answer to a call of this term, or that there was none. */
void
jlead_reply(struct jlead *jl, struct timespec now, const struct jl_reply *rep)
{
	struct wsess *ws;
	struct jrun *r;
	uint64_t incarnation;

	jl->now = now;
	if (!jl->leading || rep->serial < jl->first_serial)
		return;
	ws = jl_session(jl, rep->worker);
	if (ws == NULL)
		return;
	/* Another instance names an incarnation of its own. */
	incarnation = rep->kind == JL_OTHER_INCARNATION ? 0 : rep->incarnation;
	if (incarnation != 0 && ws->incarnation != 0 &&
	    incarnation > ws->incarnation)
		jl_handle_restart(jl, ws, incarnation);
	else if (incarnation != 0 && incarnation < ws->incarnation) {
		handle_outdated_reply(jl, ws, rep);
		return;
	}
	if (rep->call == JL_POLL) {
		handle_poll_reply(jl, ws, rep);
		return;
	}
	if (is_worker_answer(rep->kind))
		mark_answered(jl, ws, rep);
	r = jrun_find(jl, ws, &rep->task, rep->run);
	if (r == NULL)
		return;
	if (rep->call == JL_THROTTLE) {
		r->throttle_pending = false;
		if (rep->kind == JL_OK)
			r->throttle_percent = r->throttle_ordered;
		r->ws->plan_stale = true;
		return;
	}
	if (!is_order_reply(r, rep))
		return;
	r->order_pending = false;
	if (r->phase == RUN_ENDING)
		return;
	if (rep->call == JL_START && is_worker_answer(rep->kind)) {
		r->started_at = jl->now;
		r->is_attributed = jl_is_own_clock(ws, rep, r->order_sent_at);
	}
	if (rep->call == JL_START)
		handle_start_reply(jl, r, rep);
	else if (rep->call == JL_STOP)
		handle_stop_reply(jl, r, rep);
	if (r->phase != RUN_ENDING)
		jrun_send_due(jl, r);
}
