#include "control/agent.h"

#include <stdlib.h>
#include <string.h>

#include "base/vec.h"
#include "control/agent_impl.h"
#include "control/pb.h"

static const struct ctr_desc agent_ctr_desc[AGENT_C_COUNT] = {
	[AGENT_C_HEARTBEATS] = { "agent_beats", "Heartbeats sent." },
	[AGENT_C_HEARTBEAT_TIMEOUTS] = { "agent_beat_timeouts",
	    "Heartbeats that were not answered in time." },
	[AGENT_C_HEARTBEAT_REFUSED] = { "agent_beat_refused",
	    "Heartbeats refused by an instance that does not lead." },
	[AGENT_C_REPLIES_OLD] = { "agent_replies_old",
	    "Heartbeat replies dropped as out of order or of an older term." },
	[AGENT_C_VERSION_OLD] = { "agent_version_old",
	    "Heartbeat replies refused as their configuration is older." },
	[AGENT_C_OPS] = { "agent_ops", "Operations started." },
	[AGENT_C_RESENDS] = { "agent_resends", "Operations resent." },
	[AGENT_C_LATE] = { "agent_late",
	    "Results that arrived after their operation had ended." },
	[AGENT_C_UNKNOWN] = { "agent_unknown",
	    "Operations that ended without a known outcome." },
	[AGENT_C_UNAVAILABLE] = { "agent_unavailable",
	    "Operations for which no leader was found." },
	[AGENT_C_FULL] = { "agent_full",
	    "Operations refused because too many are pending." },
};

/* Appends an empty action of this kind to the output of the step. */
struct agent_act *
agent_act_add(struct agent *a, enum agent_act_kind kind)
{
	struct agent_acts *out = a->acts;
	struct agent_act *act;

	out->v = vec_grow(out->v, out->n, &out->cap, sizeof(*out->v));
	act = &out->v[out->n++];
	memset(act, 0, sizeof(*act));
	act->kind = kind;
	return act;
}

/* Appends a SEND of an empty message, which is valid until the next step. */
Control__PeerMsg *
agent_msg_new(struct agent *a, uint32_t instance)
{
	struct agent_act *act = agent_act_add(a, AGENT_ACT_SEND);
	Control__PeerMsg *m = talloc(a->step_ctx, Control__PeerMsg);

	if (m == NULL)
		abort();
	control__peer_msg__init(m);
	m->group = a->conf.group;
	m->from = a->conf.instance;
	act->u.send.instance = instance;
	act->u.send.msg = m;
	return m;
}

/* Returns the entry of an instance, or NULL. */
static struct agent_peer *
peer_find(struct agent *a, uint32_t instance)
{
	size_t i;

	for (i = 0; i < a->conf.npeers; i++) {
		if (a->peers[i].instance == instance)
			return &a->peers[i];
	}
	return NULL;
}

/* Sets the instance that is assumed to be the leader. */
static void
target_set(struct agent *a, uint32_t instance)
{
	const struct agent_peer *p = peer_find(a, instance);

	a->target = instance;
	a->last_answer = a->now;
	if (p != NULL)
		a->target_index = (size_t)(p - a->peers);
}

/* Returns whether an instance may lead and isn't being skipped. */
static bool
peer_is_candidate(const struct agent *a, const struct agent_peer *p)
{
	return !p->has_no_replica && !clk_before(a->now, p->skip_until);
}

/*
 * Selects the next candidate: an instance that isn't known to have no replica
 * and isn't skipped for not answering. A pause follows after a full round.
 */
static void
target_select_next(struct agent *a)
{
	size_t i, n = a->conf.npeers, next = (a->target_index + 1) % n;
	unsigned candidates = 0;

	for (i = 0; i < n; i++)
		candidates += peer_is_candidate(a, &a->peers[i]);
	for (i = 0; candidates > 0 && i < n; i++) {
		if (peer_is_candidate(a, &a->peers[(next + i) % n]))
			break;
	}
	target_set(a, a->peers[(next + i) % n].instance);
	if (++a->nfailed < candidates)
		return;
	a->nfailed = 0;
	a->paused_until = clk_add_ms(a->now,
	    AGENT_ROUND_PAUSE_MS / 2 +
		(int64_t)rng_below(&a->rng, AGENT_ROUND_PAUSE_MS));
	/* Replicas may have moved, or this instance's own network failed. */
	if (candidates > 0 && ++a->failed_rounds % AGENT_RESET_ROUNDS != 0)
		return;
	for (i = 0; i < n; i++) {
		a->peers[i].has_no_replica = false;
		a->peers[i].skip_until = a->now;
	}
}

/* Makes a heartbeat due now, without waiting for the last reply. */
static void
heartbeat_retry(struct agent *a)
{
	a->heartbeat_pending = false;
	a->next_heartbeat = a->now;
}

/*
 * Handles a refusal of an instance that doesn't lead; term 0 means that it has
 * no replica. The leader named in a refusal isn't used: it did not shorten the
 * time to the first success, see docs/decisions/leader-discovery.md.
 */
void
agent_peer_refused(struct agent *a, uint32_t instance, uint64_t term)
{
	struct agent_peer *p = peer_find(a, instance);

	if (p != NULL) {
		p->has_no_replica = term == 0;
		p->backoff_ms = 0;
	}
	if (instance != a->target)
		return;
	a->seeking_leader = true;
	target_select_next(a);
	heartbeat_retry(a);
}

/* Returns how long to wait for an answer of the target, in milliseconds. */
int64_t
agent_answer_timeout_ms(const struct agent *a)
{
	return a->seeking_leader ? AGENT_DISCOVERY_TIMEOUT_MS
				 : AGENT_ANSWER_TIMEOUT_MS;
}

/* Handles an instance that doesn't answer: it is skipped for a while. */
void
agent_peer_unresponsive(struct agent *a, uint32_t instance)
{
	struct agent_peer *p = peer_find(a, instance);

	if (p != NULL) {
		p->backoff_ms =
		    p->backoff_ms == 0 ? AGENT_BACKOFF_MS : 2 * p->backoff_ms;
		if (p->backoff_ms > AGENT_BACKOFF_MAX_MS)
			p->backoff_ms = AGENT_BACKOFF_MAX_MS;
		p->skip_until = clk_add_ms(a->now, p->backoff_ms);
	}
	if (instance != a->target)
		return;
	a->seeking_leader = true;
	target_select_next(a);
	heartbeat_retry(a);
}

/* Records that an instance has answered as the leader. */
void
agent_peer_leads(struct agent *a, uint32_t instance)
{
	struct agent_peer *p = peer_find(a, instance);

	if (p != NULL) {
		p->has_no_replica = false;
		p->skip_until = a->now;
		p->backoff_ms = 0;
	}
	a->seeking_leader = false;
	if (a->target != instance)
		target_set(a, instance);
	a->last_answer = a->now;
	a->paused_until = a->now;
	a->nfailed = a->failed_rounds = 0;
}

/* Sends a heartbeat to the target. */
static void
heartbeat_send(struct agent *a)
{
	Control__Beat *b = talloc(a->step_ctx, Control__Beat);
	struct agent_sent_heartbeat *s =
	    &a->sent_heartbeats[++a->heartbeat_seq % AGENT_SENT_HEARTBEATS];

	if (b == NULL)
		abort();
	control__beat__init(b);
	s->seq = a->heartbeat_seq;
	s->sent_at = a->now;
	b->instance = a->conf.instance;
	b->incarnation = a->conf.incarnation;
	b->seq = a->heartbeat_seq;
	b->config_version = a->config == NULL ? 0 : a->config->version;
	b->has_worker_version = b->has_term = 1;
	b->worker_version = a->worker_version;
	b->term = a->term;
	if (a->stats != NULL) {
		b->slots = a->stats->slots;
		b->n_slots = a->stats->n_slots;
		b->demand = a->stats->demand;
		b->n_demand = a->stats->n_demand;
	}
	b->latency = talloc_steal(a->step_ctx, a->latency);
	b->n_latency = a->nlatency;
	a->latency = NULL;
	a->nlatency = 0;
	b->has_replica = a->conf.replica != 0;
	b->replica = a->conf.replica;
	if (a->conf.domain.len > 0)
		b->domain = str_cstr(a->step_ctx, a->conf.domain);
	b->has_draining = a->draining;
	b->draining = a->draining;
	ctr_add(&a->ctr, AGENT_C_HEARTBEATS, 1);
	agent_msg_new(a, a->target)->beat = b;
	a->heartbeat_pending = true;
	a->next_heartbeat = clk_add_ms(a->now, AGENT_HEARTBEAT_MS);
}

/* Handles the reply to a heartbeat. */
static void
heartbeat_reply(struct agent *a, uint32_t from, const Control__BeatReply *r)
{
	const struct agent_sent_heartbeat *s =
	    &a->sent_heartbeats[r->seq % AGENT_SENT_HEARTBEATS];

	if (r->has_not_leader && r->not_leader) {
		ctr_add(&a->ctr, AGENT_C_HEARTBEAT_REFUSED, 1);
		if (r->seq == a->heartbeat_seq)
			agent_peer_refused(a, from, r->term);
		return;
	}
	if (s->seq != r->seq || r->seq <= a->reply_seq || r->term < a->term) {
		ctr_add(&a->ctr, AGENT_C_REPLIES_OLD, 1);
		return;
	}
	/* A new leader grants nothing until a heartbeat names its term. */
	if (r->term > a->term)
		a->next_heartbeat = a->now;
	a->reply_seq = r->seq;
	a->term = r->term;
	if (r->seq == a->heartbeat_seq)
		a->heartbeat_pending = false;
	agent_peer_leads(a, from);
	if (agent_view_update(a, s->sent_at, r))
		agent_view_publish(a);
}

/* Stores new statistics; latencies accumulate until they are sent. */
static void
stats_store(struct agent *a, const struct agent_stats *s)
{
	Control__Beat b = CONTROL__BEAT__INIT;
	size_t i, n = 0;

	b.slots = talloc_array(a->step_ctx, Control__SlotUse *, s->nslots);
	b.demand =
	    talloc_array(a->step_ctx, Control__ClassDemand *, s->ndemand);
	a->latency = talloc_realloc(
	    a, a->latency, Control__Latency *, a->nlatency + s->nlatency + 1);
	if (b.slots == NULL || b.demand == NULL || a->latency == NULL)
		abort();
	/* Leave out workers without any grant so far. */
	for (i = 0; i < s->nslots; i++) {
		const Control__SlotUse *u = &s->slots[i];

		if (u->held != 0 || u->used != 0 || u->grant_seq != 0)
			b.slots[n++] = (Control__SlotUse *)(uintptr_t)u;
	}
	for (i = 0; i < s->ndemand; i++)
		b.demand[i] = (Control__ClassDemand *)(uintptr_t)&s->demand[i];
	b.n_slots = n;
	b.n_demand = s->ndemand;
	talloc_free(a->stats);
	a->stats = pb_dup(a, &b);
	for (i = 0; i < s->nlatency; i++)
		a->latency[a->nlatency++] = pb_dup(a->latency, &s->latency[i]);
}

/* Frees what talloc doesn't own. */
static int
agent_destroy(struct agent *a)
{
	agent_op_finish(a);
	return 0;
}

/*
 * Creates the agent of an instance, owned by ctx. It first tries its own
 * instance if that has a data directory, otherwise a random one.
 */
struct agent *
agent_new(TALLOC_CTX *ctx, const struct agent_conf *conf, struct timespec now)
{
	struct agent *a = talloc_zero(ctx, struct agent);
	size_t i;

	if (a == NULL)
		abort();
	a->conf = *conf;
	a->conf.domain = str_dup(a, conf->domain);
	a->conf.peers = NULL;
	a->peers = talloc_array(a, struct agent_peer, conf->npeers);
	if (a->peers == NULL)
		abort();
	for (i = 0; i < conf->npeers; i++)
		a->peers[i] =
		    (struct agent_peer){ conf->peers[i], false, now, 0 };
	rng_init(&a->rng, conf->seed);
	ctr_init(&a->ctr, a, agent_ctr_desc, AGENT_C_COUNT);
	a->step_ctx = talloc_new(a);
	a->now = now;
	idx_init(&a->op_by_forward_id);
	a->next_op_at = clk_from_ns(INT64_MAX);
	talloc_set_destructor(a, agent_destroy);
	a->paused_until = a->next_heartbeat = a->fresh_until = now;
	a->newest_config_version = conf->min_config_version;
	target_set(a,
	    conf->replica != 0 ? conf->instance
			       : conf->peers[rng_below(&a->rng, conf->npeers)]);
	return a;
}

/* Handles a missing heartbeat reply and sends what is due. */
static void
agent_tick(struct agent *a)
{
	if (a->heartbeat_pending &&
	    clk_diff_ms(a->now, a->last_answer) >= agent_answer_timeout_ms(a) &&
	    clk_diff_ms(a->now,
		a->sent_heartbeats[a->heartbeat_seq % AGENT_SENT_HEARTBEATS]
		    .sent_at) >= agent_answer_timeout_ms(a)) {
		ctr_add(&a->ctr, AGENT_C_HEARTBEAT_TIMEOUTS, 1);
		agent_peer_unresponsive(a, a->target);
	}
	if (!clk_before(a->now, a->next_heartbeat) &&
	    !clk_before(a->now, a->paused_until))
		heartbeat_send(a);
	agent_op_tick(a);
}

/*
 * Handles one event at time now and appends the resulting actions, which are
 * valid until the next step; the caller owns the view of a VIEW action.
 * Returns STATUS_PROTOCOL for a message that isn't for an agent of this group.
 */
enum status
agent_step(struct agent *a, struct timespec now, const struct agent_ev *ev,
    struct agent_acts *acts)
{
	const Control__PeerMsg *m;
	enum status status = STATUS_OK;

	talloc_free_children(a->step_ctx);
	a->acts = acts;
	a->now = now;
	switch (ev->kind) {
	case AGENT_EV_TICK:
		break;
	case AGENT_EV_PEER:
		m = ev->u.peer;
		if (m->group != a->conf.group)
			status = STATUS_PROTOCOL;
		else if (m->beat_reply != NULL)
			heartbeat_reply(a, m->from, m->beat_reply);
		else if (m->forward_reply != NULL)
			agent_op_reply(a, m->from, m->forward_reply);
		else
			status = STATUS_PROTOCOL;
		break;
	case AGENT_EV_PEER_DOWN:
		agent_peer_unresponsive(a, ev->u.down);
		agent_op_peer_down(a, ev->u.down);
		break;
	case AGENT_EV_OP:
		agent_op_start(a, ev->u.op.id, ev->u.op.op);
		break;
	case AGENT_EV_STATS:
		stats_store(a, &ev->u.stats);
		break;
	case AGENT_EV_DRAIN:
		a->draining = true;
		a->next_heartbeat = now;
		agent_view_publish(a);
		break;
	}
	agent_tick(a);
	a->acts = NULL;
	return status;
}

/* Returns the time at which the next TICK is due. */
struct timespec
agent_next_tick(const struct agent *a)
{
	struct timespec t = a->next_heartbeat, d;

	if (a->heartbeat_pending) {
		d = a->sent_heartbeats[a->heartbeat_seq % AGENT_SENT_HEARTBEATS]
			.sent_at;
		if (clk_before(d, a->last_answer))
			d = a->last_answer;
		d = clk_add_ms(d, agent_answer_timeout_ms(a));
		if (clk_before(d, t))
			t = d;
	}
	/* Nothing is sent during a pause, but operations may end. */
	if (clk_before(t, a->paused_until))
		t = a->paused_until;
	return clk_before(a->next_op_at, t) ? a->next_op_at : t;
}

/* Returns whether this instance may accept new work at time now. */
bool
agent_is_ready(const struct agent *a, struct timespec now)
{
	return a->config != NULL && !a->draining &&
	    clk_before(now, a->fresh_until);
}

/* Returns the counters of this agent. */
const struct ctr_set *
agent_counters(const struct agent *a)
{
	return &a->ctr;
}
