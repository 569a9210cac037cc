#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "job/jlead_impl.h"

/* Evacuations: no new work on the workers of a failure domain. What runs there
 * goes on. */

/* Returns the leader's monotonic time in ms. */
static int64_t
now_ms(const struct jlead *jl)
{
	return clk_ns(jl->now) / CLK_NS_PER_MS;
}

/* Counts the runs in a failure domain. */
uint64_t
jl_evac_count_runs(const struct jlead *jl, const char *domain)
{
	const struct wsess *ws;
	uint64_t n = 0;

	for (ws = jl->sessions; ws != NULL; ws = ws->next) {
		if (strcmp(ws->w->info->zone, domain) == 0)
			n += ws->nruns;
	}
	return n;
}

/* Tells whether a start in a domain under evacuation isn't to be sent, or not
 * again: its worker is there, or another member of its gang can't start. */
bool
jl_evac_withholds(const struct jlead *jl, const struct jrun *r)
{
	const struct jst_step *st = r->step;
	const struct jrun *o;
	uint32_t i;

	if (r->ws->closed)
		return true;
	if (!st->spec->gang)
		return false;
	if (r->run == st->withheld_run)
		return true;
	for (i = 0; jl->st->nevacuations > 0 && i < st->spec->count; i++) {
		o = st->tasks[i].active_run;
		if (o != NULL && o->run == r->run && o->ws->closed &&
		    o->nstarts == 0 && !o->inherited)
			return true;
	}
	return false;
}

/* Ends the run of a gang of which one member isn't started: the others would
 * wait for it in vain. Those that aren't sent are given up, also once their
 * assignment is committed; the others are stopped. The gang starts again as a
 * whole. */
void
jl_withhold_gang(struct jlead *jl, const struct jrun *withheld)
{
	struct jst_step *st = withheld->step;
	struct jrun *r;
	uint32_t i;

	st->withheld_run = withheld->run;
	for (i = 0; i < st->spec->count; i++) {
		r = st->tasks[i].active_run;
		if (r == NULL || r == withheld || r->run != withheld->run)
			continue;
		if (r->phase == RUN_STARTING && r->nstarts == 0 &&
		    !r->inherited)
			jrun_send_due(jl, r);
		else
			jrun_stop(jl, r, JL_STOP_EVACUATED);
	}
}

/* Handles that a start is given up because of an evacuation. */
void
jl_evac_gave_up(struct jlead *jl, const struct jrun *r)
{
	ctr_add(jl->ctr, JCTR_STARTS_EVACUATED, 1);
	if (r->step->spec->gang && r->ws->closed)
		jl_withhold_gang(jl, r);
}

/* Handles a committed order, on every replica. Starts without an answer are
 * given up when they would be sent again. */
void
jl_evac_applied(struct jlead *jl, const Job__Evacuation *m, enum status status)
{
	const Job__Evacuation *ev = jst_find_evacuation(jl->st, m->domain);
	struct wsess *ws;

	if (status == STATUS_OK)
		jevac_note_change(
		    &jl->evac, m->domain, m->begin != 0, now_ms(jl));
	else if (status != STATUS_FULL)
		jevac_note_repeat(
		    &jl->evac, m->domain, m->begin != 0, now_ms(jl));
	if (!jl->leading)
		return;
	log_event(LOG_NOTICE, "job",
	    "event=evacuation domain=%s order=%s status=%s since_ms=%" PRId64
	    " runs=%" PRIu64 " domains=%zu",
	    m->domain, m->begin ? "begin" : "end", status_name(status),
	    ev == NULL ? 0 : ev->at_ms, jl_evac_count_runs(jl, m->domain),
	    jl->st->nevacuations);
	for (ws = jl->sessions; ws != NULL; ws = ws->next)
		ws->closed = jevac_is_closed(jl->st, ws->w->info->zone);
}

/* Counts what still runs in the domains under evacuation, and logs when nothing
 * does any more. */
void
jl_evac_scan(struct jlead *jl)
{
	size_t i;

	jl->evac.nruns = 0;
	for (i = 0; i < jl->st->nevacuations; i++) {
		const Job__Evacuation *ev = jl->st->evacuations[i];
		uint64_t n = jl_evac_count_runs(jl, ev->domain);

		jl->evac.nruns += n;
		if (jevac_count_runs(&jl->evac, ev->domain, n))
			log_event(LOG_NOTICE, "job",
			    "event=evacuation_empty domain=%s "
			    "after_ms=%" PRId64,
			    ev->domain, jl->wall_ms - ev->at_ms);
	}
}
