#include "control/agent.h"

#include <stdlib.h>
#include <string.h>

#include "base/vec.h"
#include "control/agent_impl.h"
#include "control/pb.h"

static const struct ctr_desc agent_ctr_desc[AGENT_C_COUNT] = {
	[AGENT_C_BEATS] = { "agent_beats", "Heartbeats sent." },
	[AGENT_C_BEAT_TIMEOUTS] = { "agent_beat_timeouts",
	    "Heartbeats without an answer in time." },
	[AGENT_C_BEAT_REFUSED] = { "agent_beat_refused",
	    "Heartbeats to an instance that does not lead." },
	[AGENT_C_REPLIES_OLD] = { "agent_replies_old",
	    "Heartbeat replies of an older term or out of order, dropped." },
	[AGENT_C_VERSION_OLD] = { "agent_version_old",
	    "Heartbeat replies with an older configuration, refused." },
	[AGENT_C_OPS] = { "agent_ops", "Operations started." },
	[AGENT_C_RESENDS] = { "agent_resends", "Operations sent again." },
	[AGENT_C_LATE] = { "agent_late",
	    "Results that came after their operation had ended." },
	[AGENT_C_UNKNOWN] = { "agent_unknown",
	    "Operations that ended without a known outcome." },
	[AGENT_C_UNAVAILABLE] = { "agent_unavailable",
	    "Operations that no leader could be found for." },
	[AGENT_C_FULL] = { "agent_full",
	    "Operations refused because too many wait." },
};

/* Appends an action to the output of this step. */
struct agent_act *
agent_act(struct agent *a, enum agent_act_kind kind)
{
	struct agent_acts *out = a->acts;
	struct agent_act *act;

	out->v = vec_grow(out->v, out->n, &out->cap, sizeof(*out->v));
	act = &out->v[out->n++];
	memset(act, 0, sizeof(*act));
	act->kind = kind;
	return act;
}

/* Adds a SEND with an empty message, which lives until the next step. */
Control__PeerMsg *
agent_msg(struct agent *a, uint32_t instance)
{
	struct agent_act *act = agent_act(a, AGENT_ACT_SEND);
	Control__PeerMsg *m = talloc(a->step, Control__PeerMsg);

	if (m == NULL)
		abort();
	control__peer_msg__init(m);
	m->group = a->conf.group;
	m->from = a->conf.instance;
	act->u.send.instance = instance;
	act->u.send.msg = m;
	return m;
}

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

static void
target_set(struct agent *a, uint32_t instance)
{
	const struct agent_peer *p = peer_find(a, instance);

	a->target = instance;
	a->heard = a->now;
	if (p != NULL)
		a->cursor = (size_t)(p - a->peers);
}

static bool
peer_candidate(const struct agent *a, const struct agent_peer *p)
{
	return !p->no_replica && !clk_before(a->now, p->silent);
}

/*
 * Turns to the next candidate: an instance that has a replica, as far as is
 * known, and did not fail to answer lately. A pause follows when all have
 * been asked.
 */
static void
target_next(struct agent *a)
{
	size_t i, n = a->conf.npeers, next = (a->cursor + 1) % n;
	unsigned candidates = 0;

	for (i = 0; i < n; i++)
		candidates += peer_candidate(a, &a->peers[i]);
	for (i = 0; candidates > 0 && i < n; i++) {
		if (peer_candidate(a, &a->peers[(next + i) % n]))
			break;
	}
	target_set(a, a->peers[(next + i) % n].instance);
	if (++a->failed < candidates)
		return;
	a->failed = 0;
	a->pause = clk_add_ms(a->now,
	    AGENT_PAUSE_MS / 2 + (int64_t)rng_below(&a->rng, AGENT_PAUSE_MS));
	/* Replicas may have moved; silence may have been the own network's. */
	if (candidates > 0 && ++a->rounds % AGENT_ROUNDS_ALL != 0)
		return;
	for (i = 0; i < n; i++) {
		a->peers[i].no_replica = false;
		a->peers[i].silent = a->now;
	}
}

static void
beat_again(struct agent *a)
{
	a->beat_open = false;
	a->beat_at = a->now;
}

/*
 * Turns away from an instance that does not lead; term 0 tells that it has no
 * replica. The leader that a refusal names is not used: it did not shorten
 * the time to the first success, see docs/decisions/leader-discovery.md.
 */
void
agent_refused(struct agent *a, uint32_t instance, uint64_t term)
{
	struct agent_peer *p = peer_find(a, instance);

	if (p != NULL) {
		p->no_replica = term == 0;
		p->silent_ms = 0;
	}
	if (instance != a->target)
		return;
	a->seeking = true;
	target_next(a);
	beat_again(a);
}

/* Returns how long an answer of the target is waited for. */
int64_t
agent_patience_ms(const struct agent *a)
{
	return a->seeking ? AGENT_SEEK_MS : AGENT_TRY_MS;
}

/* Turns away from an instance that does not answer. */
void
agent_silent(struct agent *a, uint32_t instance)
{
	struct agent_peer *p = peer_find(a, instance);

	if (p != NULL) {
		p->silent_ms =
		    p->silent_ms == 0 ? AGENT_SILENT_MS : 2 * p->silent_ms;
		if (p->silent_ms > AGENT_SILENT_MAX_MS)
			p->silent_ms = AGENT_SILENT_MAX_MS;
		p->silent = clk_add_ms(a->now, p->silent_ms);
	}
	if (instance != a->target)
		return;
	a->seeking = true;
	target_next(a);
	beat_again(a);
}

/* An instance has answered as the leader. */
void
agent_led(struct agent *a, uint32_t instance)
{
	struct agent_peer *p = peer_find(a, instance);

	if (p != NULL) {
		p->no_replica = false;
		p->silent = a->now;
		p->silent_ms = 0;
	}
	a->seeking = false;
	if (a->target != instance)
		target_set(a, instance);
	a->heard = a->now;
	a->pause = a->now;
	a->failed = a->rounds = 0;
}

static void
beat_send(struct agent *a)
{
	Control__Beat *b = talloc(a->step, Control__Beat);
	struct agent_sent *s = &a->sent[++a->beat_seq % AGENT_SENT_KEPT];

	if (b == NULL)
		abort();
	control__beat__init(b);
	s->seq = a->beat_seq;
	s->at = a->now;
	b->instance = a->conf.instance;
	b->incarnation = a->conf.incarnation;
	b->seq = a->beat_seq;
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
	b->latency = talloc_steal(a->step, a->latency);
	b->n_latency = a->nlatency;
	a->latency = NULL;
	a->nlatency = 0;
	b->has_replica = a->conf.replica != 0;
	b->replica = a->conf.replica;
	if (a->conf.domain.len > 0)
		b->domain = str_cstr(a->step, a->conf.domain);
	b->has_draining = a->draining;
	b->draining = a->draining;
	ctr_add(&a->ctr, AGENT_C_BEATS, 1);
	agent_msg(a, a->target)->beat = b;
	a->beat_open = true;
	a->beat_at = clk_add_ms(a->now, AGENT_BEAT_MS);
}

static void
beat_reply(struct agent *a, uint32_t from, const Control__BeatReply *r)
{
	const struct agent_sent *s = &a->sent[r->seq % AGENT_SENT_KEPT];

	if (r->has_not_leader && r->not_leader) {
		ctr_add(&a->ctr, AGENT_C_BEAT_REFUSED, 1);
		if (r->seq == a->beat_seq)
			agent_refused(a, from, r->term);
		return;
	}
	if (s->seq != r->seq || r->seq <= a->reply_seq || r->term < a->term) {
		ctr_add(&a->ctr, AGENT_C_REPLIES_OLD, 1);
		return;
	}
	a->reply_seq = r->seq;
	a->term = r->term;
	if (r->seq == a->beat_seq)
		a->beat_open = false;
	agent_led(a, from);
	if (agent_view_take(a, s->at, r))
		agent_view_publish(a);
}

static void
stats_take(struct agent *a, const struct agent_stats *s)
{
	Control__Beat b = CONTROL__BEAT__INIT;
	size_t i, n = 0;

	b.slots = talloc_array(a->step, Control__SlotUse *, s->nslots);
	b.demand = talloc_array(a->step, Control__ClassDemand *, s->ndemand);
	a->latency = talloc_realloc(
	    a, a->latency, Control__Latency *, a->nlatency + s->nlatency + 1);
	if (b.slots == NULL || b.demand == NULL || a->latency == NULL)
		abort();
	/* A worker that nothing was ever granted of needs no mention. */
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

static int
agent_destroy(struct agent *a)
{
	agent_op_finish(a);
	return 0;
}

/*
 * Makes the agent of an instance. It asks its own instance first if that has
 * a data directory, else one that the seed selects.
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
	a->step = talloc_new(a);
	a->now = now;
	idx_init(&a->op_by_fid);
	a->op_due = clk_from_ns(INT64_MAX);
	talloc_set_destructor(a, agent_destroy);
	a->pause = a->beat_at = a->fresh_until = now;
	a->version_floor = conf->min_config_version;
	target_set(a,
	    conf->replica != 0 ? conf->instance
			       : conf->peers[rng_below(&a->rng, conf->npeers)]);
	return a;
}

static void
agent_tick(struct agent *a)
{
	if (a->beat_open &&
	    clk_diff_ms(a->now, a->heard) >= agent_patience_ms(a) &&
	    clk_diff_ms(a->now, a->sent[a->beat_seq % AGENT_SENT_KEPT].at) >=
		agent_patience_ms(a)) {
		ctr_add(&a->ctr, AGENT_C_BEAT_TIMEOUTS, 1);
		agent_silent(a, a->target);
	}
	if (!clk_before(a->now, a->beat_at) && !clk_before(a->now, a->pause))
		beat_send(a);
	agent_op_tick(a);
}

/*
 * Handles one event at time now and appends the resulting actions, which are
 * valid until the next step; a VIEW belongs to its receiver. STATUS_PROTOCOL
 * for a message that is not for an agent of this group.
 */
enum status
agent_step(struct agent *a, struct timespec now, const struct agent_ev *ev,
    struct agent_acts *acts)
{
	const Control__PeerMsg *m;
	enum status status = STATUS_OK;

	talloc_free_children(a->step);
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
			beat_reply(a, m->from, m->beat_reply);
		else if (m->forward_reply != NULL)
			agent_op_reply(a, m->from, m->forward_reply);
		else
			status = STATUS_PROTOCOL;
		break;
	case AGENT_EV_PEER_DOWN:
		agent_silent(a, ev->u.down);
		agent_op_down(a, ev->u.down);
		break;
	case AGENT_EV_OP:
		agent_op_start(a, ev->u.op.id, ev->u.op.op);
		break;
	case AGENT_EV_STATS:
		stats_take(a, &ev->u.stats);
		break;
	case AGENT_EV_DRAIN:
		a->draining = true;
		a->beat_at = now;
		agent_view_publish(a);
		break;
	}
	agent_tick(a);
	a->acts = NULL;
	return status;
}

/* Returns when a TICK has something to do next. */
struct timespec
agent_deadline(const struct agent *a)
{
	struct timespec t = a->beat_at, d;

	if (a->beat_open) {
		d = a->sent[a->beat_seq % AGENT_SENT_KEPT].at;
		if (clk_before(d, a->heard))
			d = a->heard;
		d = clk_add_ms(d, agent_patience_ms(a));
		if (clk_before(d, t))
			t = d;
	}
	/* Nothing is sent in a pause, but operations may end. */
	if (clk_before(t, a->pause))
		t = a->pause;
	return clk_before(a->op_due, t) ? a->op_due : t;
}

/* Tells whether this instance may take new work at now. */
bool
agent_ready(const struct agent *a, struct timespec now)
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
