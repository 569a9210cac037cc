#include <inttypes.h>

#include "base/log.h"
#include "job/jlead_wave_impl.h"

/* Maintenance waves: what is logged of them, and counted. */

/* Returns the name of a result in the log, and its counter. */
const char *
jl_wave_result_name(enum jcloud_result r, enum jctr *which)
{
	switch (r) {
	case JCLOUD_DONE:
		*which = JCTR_MAINTENANCE_DONE;
		return "done";
	case JCLOUD_FENCED:
		*which = JCTR_MAINTENANCE_FENCED;
		return "fenced";
	case JCLOUD_BUSY:
		*which = JCTR_MAINTENANCE_BUSY;
		return "busy";
	case JCLOUD_NOT_MEMBER:
		*which = JCTR_MAINTENANCE_NOT_MEMBER;
		return "not_member";
	case JCLOUD_UNKNOWN:
		*which = JCTR_MAINTENANCE_UNKNOWN;
		return "unknown_machine";
	case JCLOUD_LIMITED:
		*which = JCTR_MAINTENANCE_LIMITED;
		return "limited";
	case JCLOUD_NOT_SENT:
		*which = JCTR_MAINTENANCE_NOT_SENT;
		return "not_sent";
	case JCLOUD_NO_ANSWER:
		break;
	}
	*which = JCTR_MAINTENANCE_NO_ANSWER;
	return "no_answer";
}

/* Logs the counts of each wave, at most once a second. */
void
jl_wave_log(struct jlead *jl)
{
	struct jl_waves *v = jl->waves;
	guint k, i;

	if (jl_wave_now_ms(jl) < v->next_log_ms)
		return;
	v->next_log_ms = jl_wave_now_ms(jl) + JLEAD_FLEET_LOG_INTERVAL_MS;
	for (k = 0; k < v->waves->len; k++) {
		const struct jwave_wave *w =
		    &g_array_index(v->waves, struct jwave_wave, k);
		const struct jst_wave *info =
		    g_array_index(v->infos, struct jst_wave *, k);
		uint32_t ndone = 0, nheld = 0, nbegun = 0;

		for (i = 0; i < v->machines->len; i++) {
			const struct jwave_machine *m = &g_array_index(
			    v->machines, struct jwave_machine, i);

			if (m->wave != k)
				continue;
			ndone += m->phase == JWAVE_DONE;
			nbegun += m->phase == JWAVE_BEGUN;
			nheld += m->choice == JWAVE_HELD ||
			    m->choice == JWAVE_HELD_BEGUN;
		}
		log_event(LOG_NOTICE, "job",
		    "event=wave_state wave=%" PRIu64
		    " waiting=%u closed=%u begun=%u down=%u max_down=%u "
		    "done=%u held=%u left_ms=%" PRId64 " list_age_ms=%" PRId64,
		    info->info->id, w->nwaiting, w->nclosed, nbegun, w->ndown,
		    w->max_down, ndone, nheld,
		    w->deadline_ms - jl_wave_now_ms(jl),
		    v->nlists == 0 ? -1 : jl_wave_now_ms(jl) - v->list_ms);
	}
}
