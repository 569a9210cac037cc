#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "job/jlead_impl.h"

/* The leader's side of advice: which steps need it, which workers may be named,
 * and the tickets of starts. */

/* Workers looked at in one tick to choose those that calls name, and one more
 * step. A step that turns out to need no call takes part of it, so that it has
 * to be enough for many steps on a fleet of hundreds of workers. */
#define LOOKED_AT_PER_TICK 8000

/* Returns the leader's monotonic time in ms. */
static int64_t
now_ms(const struct jlead *jl)
{
	return clk_ns(jl->now) / CLK_NS_PER_MS;
}

/* Returns the limits of a job's advice, NULL if its queue has none. */
static const Job__Advice *
advice_of(const struct jlead *jl, struct jst_job *j)
{
	if (!jl->advice.is_used)
		return NULL;
	if (j->queue_cfg == NULL)
		j->queue_cfg = jst_queue(jl->st, j->queue);
	return j->queue_cfg == NULL ? NULL : j->queue_cfg->advice;
}

/* Fills the name of a step. */
static void
step_ref(const struct jst_step *st, Job__Task *ref)
{
	job__task__init(ref);
	ref->job = st->job->id;
	ref->has_occurrence = ref->has_step = 1;
	ref->occurrence = st->occurrence;
	ref->step = st->number;
}

/* Enables the calls; called once, after jlead_init. */
void
jlead_set_advice(struct jlead *jl, const struct jadvice_ops *ops)
{
	jl->advice.ops = *ops;
}

/* Drops what is known, at the end of a term. */
void
jl_advice_stop(struct jlead *jl)
{
	jadvice_free(jl->advice.known);
	jl->advice.known = NULL;
	jl->advice.nwaiting = jl->advice.ntickets = jl->advice.nqueued = 0;
}

/* ---- starts ---- */

/* Returns the ticket that a start has to carry now, NULL if there is none. */
const char *
jl_advice_ticket(const struct jlead *jl, const struct jrun *r)
{
	if (!jl->advice.is_used || r->step->advice == NULL)
		return NULL;
	return jadvice_ticket(
	    r->step->advice, r->ws->w->info->id, r->ws->w->num, now_ms(jl));
}

/* Tells whether a start isn't to be sent, or not again, for lack of a valid
 * ticket. */
bool
jl_advice_withholds(const struct jlead *jl, const struct jrun *r)
{
	return advice_of(jl, r->step->job) != NULL &&
	    jl_advice_ticket(jl, r) == NULL;
}

/* Handles that a start is given up because its ticket has run out. */
void
jl_advice_gave_up(struct jlead *jl, const struct jrun *r)
{
	ctr_add(jl->ctr, JCTR_STARTS_NO_TICKET, 1);
	log_event(LOG_INFO, "job",
	    "event=ticket_expired job=%016" PRIx64 " step=%u.%u run=%u "
	    "worker=%s",
	    r->step->job->id, r->step->occurrence, r->step->number, r->run,
	    r->ws->w->info->id);
	if (r->step->spec->gang)
		jl_withhold_gang(jl, r);
}

/* Handles that a worker has refused a start for its ticket. Returns false if
 * the queue has no advice. */
bool
jl_advice_refused(struct jlead *jl, const struct jrun *r)
{
	if (advice_of(jl, r->step->job) == NULL)
		return false;
	log_event(LOG_NOTICE, "job",
	    "event=ticket_refused job=%016" PRIx64 " step=%u.%u run=%u "
	    "worker=%s",
	    r->step->job->id, r->step->occurrence, r->step->number, r->run,
	    r->ws->w->info->id);
	if (r->step->advice != NULL)
		jadvice_reject(r->step->advice, r->ws->w->info->id,
		    r->ws->w->num, now_ms(jl));
	if (r->step->spec->gang)
		jl_withhold_gang(jl, r);
	return true;
}

/* ---- steps ---- */

/* Tells whether a step still has tasks that wait or run. Also clears the record
 * of one that hasn't, which is removed then. */
static bool
is_step_needed(void *arg, const Job__Task *ref)
{
	struct jlead *jl = arg;
	const struct jst_job *j = jst_find_job(jl->st, ref->job);
	struct jst_step *st =
	    j == NULL ? NULL : jst_find_step(j, ref->occurrence, ref->step);

	if (st == NULL)
		return false;
	if (j->state == JST_ACTIVE && st->ndone < st->spec->count &&
	    advice_of(jl, st->job) != NULL)
		return true;
	st->advice = NULL;
	return false;
}

/* Looks up whether any queue has advice; drops what is known otherwise. */
void
jl_advice_configured(struct jlead *jl)
{
	const Job__Config *c = jl->st->config;
	size_t i;

	jl->advice.is_used = false;
	for (i = 0; c != NULL && i < c->n_queues; i++)
		jl->advice.is_used |= c->queues[i]->advice != NULL;
	if (jl->advice.is_used)
		return;
	jadvice_prune(jl->advice.known, is_step_needed, jl);
	jl->advice.nwaiting = jl->advice.ntickets = jl->advice.nqueued = 0;
}

/* Starts a term: nothing is known. */
void
jl_advice_begin(struct jlead *jl)
{
	jl->advice.known = jadvice_new();
	jl->advice.log_at = jl->now;
	jl->advice.is_lack_logged = false;
	jl_advice_configured(jl);
}

/* Tells whether the steps before one have begun their last tasks, so that it
 * may be asked about. Sets *is_ready if they are done. */
static bool
is_expected(const struct jlead *jl, const struct jst_step *st, bool *is_ready)
{
	size_t i;

	if (st->nwaiting <= st->nproposed ||
	    !jplan_may_start(st, jl->wall_ms + JADVICE_AHEAD_MS))
		return false;
	for (i = 0; i < st->spec->n_after; i++) {
		const struct jst_step *before =
		    jst_find_step(st->job, st->occurrence, st->spec->after[i]);

		if (before != NULL && before->nwaiting > 0)
			return false;
	}
	*is_ready = jst_step_ready(st) && jplan_may_start(st, jl->wall_ms);
	return true;
}

/* Returns the limits of a queue's advice. */
static struct jadvice_terms
terms_of(const Job__Advice *a)
{
	struct jadvice_terms t = { a->decide_ms, a->each_ms, a->valid_ms };

	return t;
}

/* Adds a step to the queue of calls if it may need one. */
static void
add_want(struct jlead *jl, struct jst_step *st, const Job__Advice *a,
    bool is_ready, struct jadvice_queue *q)
{
	struct jadvice_terms t = terms_of(a);
	struct jadvice_want w = { .arg = st };
	Job__Task ref;
	int band;

	if (st->advice == NULL) {
		step_ref(st, &ref);
		st->advice = jadvice_step_get(jl->advice.known, &ref);
	}
	q->nsteps++;
	if (!jadvice_is_due(st->advice, now_ms(jl)))
		return;
	band = jplan_band(st,
	    jl->wall_ms + t.decide_ms + t.each_ms * JADVICE_WORKERS,
	    &w.deadline_ms);
	w.step = st->advice;
	w.gain = jadvice_gain(band, st->job->queue_cfg->priority, is_ready,
	    !jadvice_was_asked(st->advice), &t);
	jadvice_queue_add(q, &w);
}

/* Collects the steps that may need a call, and counts those that wait for a
 * ticket. */
static void
collect_wants(struct jlead *jl, struct jadvice_queue *q)
{
	const Job__Advice *a;
	struct jst_job *j;
	struct jst_step *st;
	bool is_ready;
	uint32_t o, i;

	jl->advice.nwaiting = jl->advice.ntickets = 0;
	for (j = jl->st->active; j != NULL; j = j->next) {
		a = advice_of(jl, j);
		if (a == NULL)
			continue;
		if (j->deadline_ms == 0)
			jplan_set_deadline(jl->st, j);
		JST_FOREACH_STEP(j, st, o, i)
		{
			if (!is_expected(jl, st, &is_ready))
				continue;
			if (st->advice != NULL)
				jl->advice.ntickets +=
				    jadvice_step_update(st->advice, now_ms(jl));
			jl->advice.nwaiting += is_ready &&
			    (st->advice == NULL ||
				jadvice_step_count(st->advice) == 0);
			if (jl->advice.ops.call != NULL)
				add_want(jl, st, a, is_ready, q);
		}
	}
}

/* Returns the processors that further tasks of a step can use on a worker, as
 * the plan counts them. */
static int64_t
free_cpu(const Job__Step *s, const struct jplan_worker *p)
{
	if (!s->fills)
		return p->free_cpu;
	return p->free_cpu - p->best_effort_cpu +
	    (int64_t)((double)p->serving_cpu * (1 - JPLAN_SERVING_USE));
}

/* Returns how many tasks of a step fit into what is free. A best-effort task of
 * any size fits where there is no other one. */
static uint32_t
count_room(const Job__Step *s, int64_t cpu, int64_t mem, int64_t accel,
    bool has_best_effort)
{
	int64_t n = s->spread > 0 ? s->spread : s->count;
	int64_t least = s->fills && !has_best_effort ? 1 : 0;

	if (s->cpu_milli > 0 && cpu / s->cpu_milli < n)
		n = cpu / s->cpu_milli;
	if (n < least)
		n = least;
	if (s->mem_mb > 0 && mem / s->mem_mb < n)
		n = mem / s->mem_mb;
	if (s->accel > 0 && accel / s->accel < n)
		n = accel / s->accel;
	return n > 0 ? (uint32_t)n : 0;
}

/* Fills what a call has to know of a worker. Returns false if it can't be
 * named. */
static bool
describe_worker(struct jlead *jl, const struct jst_step *st, size_t i,
    struct jadvice_worker *o)
{
	const struct jplan_worker *p = &jl->plan_workers[i];
	const struct wsess *ws = jl->plan_sessions[i];
	const Job__Worker *w = ws->w->info;

	/* The entry may still be another worker's. */
	if (p->w != ws->w || !jl_is_usable(jl, ws) ||
	    clk_before(jl->now, ws->cold_until) ||
	    strcmp(w->service, st->job->queue_cfg->service) != 0 ||
	    !jplan_has_label(w, st->spec->label) ||
	    (ws->failure_score > 0 &&
		jl_failure_score(jl, ws) > JPLAN_SLOT_FAILURE_MAX) ||
	    jl_slowness(jl, ws) > 0)
		return false;
	o->id = w->id;
	o->domain = w->zone;
	o->num = ws->w->num;
	o->room = count_room(st->spec, free_cpu(st->spec, p), p->free_mem,
	    p->free_accel, p->nbest_effort > 0);
	o->nruns = ws->nruns;
	o->free = p->cpu_total > 0 ? p->free_cpu * 1000 / p->cpu_total : 0;
	o->fits_empty = count_room(st->spec, p->cpu_total - p->lasting_cpu,
			    (int64_t)w->mem_mb - p->lasting_mem,
			    (int64_t)w->accel - p->lasting_accel, false) > 0;
	return true;
}

/* Makes a call for a step, if it needs one. Returns false if it doesn't. */
static bool
make_call(struct jlead *jl, struct jst_step *st, uint32_t instance)
{
	struct jadvice_terms t = terms_of(st->job->queue_cfg->advice);
	struct jadvice_worker out[JADVICE_WORKERS_MAX], *v;
	const char *ids[JADVICE_WORKERS_MAX];
	struct jadvice_answer failed = { .instance = instance,
		.result = JADVICE_NOT_SENT };
	struct jadvice_call c = { .instance = instance, .token = jl->token };
	size_t i, n = 0;
	bool is_ready = false;

	v = calloc(jl->nsessions + 1, sizeof(*v));
	if (v == NULL)
		abort();
	for (i = 0; i < jl->nsessions; i++)
		n += describe_worker(jl, st, i, &v[n]);
	is_expected(jl, st, &is_ready);
	n = jadvice_choose(st->advice, &t, v, n, st->nwaiting - st->nproposed,
	    is_ready, now_ms(jl), out);
	free(v);
	if (n == 0)
		return false;
	for (i = 0; i < n; i++)
		ids[i] = out[i].id;
	step_ref(st, &c.step);
	c.workers = ids;
	c.nworkers = n;
	c.serial = failed.serial = jadvice_begin(jl->advice.known, instance,
	    st->advice, &t, out, n, now_ms(jl), &c.timeout_ms);
	ctr_add(jl->ctr, JCTR_ADVICE_CALLS, 1);
	log_event(LOG_INFO, "job",
	    "event=advice_call serial=%" PRIu64 " caller=%u job=%016" PRIx64
	    " step=%u.%u workers=%zu ready=%d tasks=%u timeout_ms=%" PRId64,
	    c.serial, instance, st->job->id, st->occurrence, st->number, n,
	    is_ready, st->nwaiting - st->nproposed, c.timeout_ms);
	if (!jl->advice.ops.call(jl->advice.ops.arg, &c))
		jlead_on_advice(jl, jl->now, jl->token, &failed);
	return true;
}

/* Returns when a step for which no call was needed is looked at again: late
 * enough that the others have their turn, about twice the time that it takes to
 * look at all of them. Otherwise a few that need no call would be the first of
 * the queue at all times. */
static int64_t
next_look_ms(const struct jlead *jl, const struct jadvice_queue *q, size_t most)
{
	int64_t pause_ms =
	    JADVICE_LOOK_MS + JADVICE_LOOK_MS / 2 * (int64_t)(q->nsteps / most);

	if (pause_ms > JADVICE_LOOK_MAX_MS)
		pause_ms = JADVICE_LOOK_MAX_MS;
	return now_ms(jl) + pause_ms;
}

/* Makes the calls that come next, as far as callers are free. */
static void
make_calls(struct jlead *jl, struct jadvice_queue *q)
{
	uint32_t instance;
	size_t i, ncalls = 0;
	size_t most = LOOKED_AT_PER_TICK / (jl->nsessions + 1) + 1;

	for (i = 0; i < q->n && i < most &&
	     jadvice_find_caller(jl->advice.known, now_ms(jl), &instance);
	     i++) {
		if (make_call(jl, q->v[i].arg, instance))
			ncalls++;
		else
			jadvice_put_off(
			    q->v[i].step, next_look_ms(jl, q, most));
	}
	jl->advice.nqueued = q->n - ncalls;
}

/* Logs, at most once in JLEAD_FLEET_LOG_INTERVAL_MS, what waits. */
static void
log_advice(struct jlead *jl, const struct jadvice_queue *q)
{
	struct jl_advice *a = &jl->advice;

	if (clk_before(jl->now, a->log_at))
		return;
	a->log_at = clk_add_ms(jl->now, JLEAD_FLEET_LOG_INTERVAL_MS);
	ctr_add(jl->ctr, JCTR_ADVICE_WAITING, a->nwaiting);
	if (a->ops.call == NULL) {
		ctr_add(jl->ctr, JCTR_ADVICE_NO_SETTING, a->nwaiting);
		if (a->nwaiting > 0 && !a->is_lack_logged)
			log_event(LOG_WARNING, "job",
			    "event=advice_missing steps=%zu", a->nwaiting);
		a->is_lack_logged |= a->nwaiting > 0;
		return;
	}
	if (a->nwaiting > 0 || a->ntickets > 0)
		log_event(LOG_NOTICE, "job",
		    "event=advice_state waiting=%zu queued=%zu left_out=%zu "
		    "calls=%zu tickets=%zu",
		    a->nwaiting, a->nqueued, q->nleft_out,
		    jadvice_count_calls(a->known), a->ntickets);
}

/* Ends calls past their time limit and makes those that come next. */
void
jl_advice_tick(struct jlead *jl)
{
	struct jl_advice *a = &jl->advice;
	struct jadvice_queue q = { .n = 0 };
	uint32_t callers[JADVICE_CALLERS_MAX];
	struct jadvice_answer r;

	if (!a->is_used)
		return;
	jadvice_prune(a->known, is_step_needed, jl);
	if (a->ops.list_callers != NULL)
		jadvice_set_callers(a->known, callers,
		    a->ops.list_callers(
			a->ops.arg, callers, JADVICE_CALLERS_MAX - 1));
	while (jadvice_find_overdue(a->known, now_ms(jl), &r))
		jlead_on_advice(jl, jl->now, jl->token, &r);
	collect_wants(jl, &q);
	make_calls(jl, &q);
	log_advice(jl, &q);
}

/* Brings the tickets that the next plan uses up to date. */
void
jl_advice_prepare(struct jlead *jl)
{
	struct jst_job *j;
	struct jst_step *st;
	uint32_t o, i;

	for (j = jl->advice.is_used ? jl->st->active : NULL; j != NULL;
	     j = j->next) {
		JST_FOREACH_STEP(j, st, o, i)
		{
			if (st->advice != NULL)
				jadvice_step_update(st->advice, now_ms(jl));
		}
	}
}

/* Handles the end of a call. */
void
jlead_on_advice(struct jlead *jl, struct timespec now, uint64_t token,
    const struct jadvice_answer *r)
{
	static const struct {
		enum jctr counter;
		const char *name;
	} results[JADVICE_RESULTS] = { { JCTR_ADVICE_OK, "ok" },
		{ JCTR_ADVICE_LIMITED, "limited" },
		{ JCTR_ADVICE_NOT_SENT, "not_sent" },
		{ JCTR_ADVICE_NO_ANSWER, "no_answer" } };
	struct jadvice_outcome o;

	if (!jl->leading || r->result >= JADVICE_RESULTS)
		return;
	jl->now = now;
	memset(&o, 0, sizeof(o));
	if (token == jl->token)
		jadvice_end(jl->advice.known, r, now_ms(jl), &o);
	if (!o.expected) {
		ctr_add(jl->ctr, JCTR_ADVICE_UNEXPECTED, 1);
		return;
	}
	ctr_add(jl->ctr, results[r->result].counter, 1);
	log_event(r->result == JADVICE_OK ? LOG_INFO : LOG_NOTICE, "job",
	    "event=advice_answer serial=%" PRIu64 " caller=%u job=%016" PRIx64
	    " step=%u.%u result=%s workers=%zu good=%zu took_ms=%" PRId64
	    " dropped=%d",
	    r->serial, r->instance, o.step.job, o.step.occurrence, o.step.step,
	    results[r->result].name, o.nasked, o.ngood, o.took_ms, !o.has_step);
	jl->plan_needed = true;
}
