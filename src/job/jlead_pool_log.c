#include <inttypes.h>

#include "base/log.h"
#include "job/jlead_pool_impl.h"

/* Moves between pools: what is logged of them, and counted. */

/* Returns the name of a result in the log, and its counter. */
const char *
jl_pool_result_name(enum jcloud_result r, enum jctr *which)
{
	switch (r) {
	case JCLOUD_DONE:
		*which = JCTR_MOVE_DONE;
		return "done";
	case JCLOUD_FENCED:
		*which = JCTR_MOVE_FENCED;
		return "fenced";
	case JCLOUD_BUSY:
	case JCLOUD_NOT_MEMBER:
		*which = JCTR_MOVE_BUSY;
		return "busy";
	case JCLOUD_UNKNOWN:
		*which = JCTR_MOVE_REFUSED;
		return "refused";
	case JCLOUD_LIMITED:
		*which = JCTR_MOVE_LIMITED;
		return "limited";
	case JCLOUD_NOT_SENT:
		*which = JCTR_MOVE_NOT_SENT;
		return "not_sent";
	case JCLOUD_NO_ANSWER:
		break;
	}
	*which = JCTR_MOVE_NO_ANSWER;
	return "no_answer";
}

/* Logs what happens to a move. */
void
jl_pool_log_move(const struct jlead *jl, const Job__Move *m, const char *what)
{
	log_event(LOG_NOTICE, "job",
	    "event=move state=%s machine=%s from=%s to=%s worker=%s home=%s "
	    "token=%" PRIu64,
	    what, m->machine, m->from, m->to,
	    m->worker == NULL ? "-" : m->worker,
	    m->home == NULL ? "-" : m->home, jl->token);
}

/* Logs the counts of moves, at most once a second while one is open. */
void
jl_pool_log(struct jlead *jl)
{
	struct jl_pools *p = jl->pools;
	const struct jl_waves *v = jl->waves;
	int64_t t = jl_wave_now_ms(jl);
	uint32_t nsent = 0, nrecording = 0, nmissing = 0, naway = 0;
	const struct jl_move_note *n;
	GHashTableIter it;
	gpointer key, value;
	size_t i;

	if (t < p->next_log_ms || g_hash_table_size(p->notes) == 0)
		return;
	p->next_log_ms = t + JLEAD_FLEET_LOG_INTERVAL_MS;
	g_hash_table_iter_init(&it, p->notes);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		n = value;
		nsent += n->in_flight || n->may_be_sent;
		nrecording += n->recording;
	}
	for (i = 0; i < p->in.ndemands; i++)
		nmissing += p->in.demands[i].nmissing;
	for (i = 0; i < jl->st->nmoves; i++)
		naway += jl_pool_is_away(p, jl->st->moves[i]);
	log_event(LOG_NOTICE, "job",
	    "event=move_state open=%u recording=%u sent=%u away=%u "
	    "short_steps=%zu short_tasks=%u list_age_ms=%" PRId64,
	    g_hash_table_size(p->notes), nrecording, nsent, naway,
	    p->in.ndemands, nmissing, v->nlists == 0 ? -1 : t - v->list_ms);
}
