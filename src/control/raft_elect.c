#include "control/raft_priv.h"

/* Draws the next election timeout; ties between candidates are broken by it. */
void
raft_set_election_timer(struct raft *r, bool retry)
{
	int64_t min = retry ? RAFT_RETRY_MIN_MS : RAFT_ELECTION_MIN_MS;
	int64_t max = retry ? RAFT_RETRY_MAX_MS : RAFT_ELECTION_MAX_MS;

	r->election_at = clk_add_ms(
	    r->now, min + (int64_t)rng_below(&r->rng, (uint64_t)(max - min)));
}

/* Tells whether a leader lives as far as this replica knows. */
bool
raft_heard_leader(const struct raft *r)
{
	return r->role == RAFT_LEADER ||
	    clk_diff_ms(r->now, r->heard_leader) < RAFT_ELECTION_MIN_MS;
}

static void
set_term(struct raft *r, uint64_t term, uint64_t vote)
{
	if (term != r->term)
		r->ndeferred = 0; /* answers of an older term */
	if (term != r->term || vote != r->voted_for)
		r->hard_dirty = true;
	r->term = term;
	r->voted_for = vote;
}

/*
 * Turns into a follower of term, which is not below the current one. leader
 * is 0 while it is unknown.
 */
void
raft_become_follower(
    struct raft *r, uint64_t term, uint64_t leader, uint32_t instance)
{
	bool led = r->role == RAFT_LEADER;

	if (term != r->term)
		set_term(r, term, 0);
	if (r->role != RAFT_FOLLOWER)
		raft_set_election_timer(r, false);
	r->role = RAFT_FOLLOWER;
	r->leader = leader;
	r->leader_instance = instance;
	r->transfer_to = 0;
	if (led)
		raft_answer_confirms(r, true);
}

static void
become_leader(struct raft *r)
{
	uint64_t last = raft_log_last(r);
	size_t i;

	r->role = RAFT_LEADER;
	r->leader = r->self;
	r->leader_instance = r->self_instance;
	r->transfer_to = 0;
	r->lease_void = false;
	r->term_start = last + 1;
	for (i = 0; i < r->npeers; i++) {
		struct raft_peer *p = &r->peers[i];

		p->flow = FLOW_PROBE;
		p->match = 0;
		p->next = last + 1;
		p->paused = false;
		p->nflight = p->flight_bytes = 0;
		p->acked_round = 0;
		p->heard = r->now;
	}
	r->round = 0;
	r->confirm_round = 0;
	r->commit_at_beat = UINT64_MAX; /* until the first own commit */
	raft_log_append(
	    r, r->term, CONTROL__ENTRY_KIND__ENTRY_NOOP, str_mem(NULL, 0));
	raft_broadcast(r);
}

static size_t
granted(const struct raft *r)
{
	size_t i, n = 0;

	for (i = 0; i < r->npeers; i++)
		n += r->peers[i].voter && r->peers[i].granted;
	return n;
}

static void
clear_votes(struct raft *r)
{
	size_t i;

	for (i = 0; i < r->npeers; i++)
		r->peers[i].granted = false;
}

static void
ask_votes(struct raft *r, Control__RaftKind kind, uint64_t term, bool transfer)
{
	uint64_t last = raft_log_last(r), last_term = 0;
	size_t i;

	raft_log_term(r, last, &last_term);
	for (i = 0; i < r->npeers; i++) {
		struct raft_peer *p = &r->peers[i];
		Control__RaftMsg *m;

		if (!p->voter || p->replica == r->self)
			continue;
		m = raft_msg_new(r, kind, p->replica);
		m->term = term;
		m->has_index = m->has_log_term = 1;
		m->index = last;
		m->log_term = last_term;
		m->has_transfer = transfer;
		m->transfer = transfer;
		raft_send(r, m, p->instance);
	}
}

/*
 * Stands for election in a new term. With transfer the voters do not insist
 * on having lost the leader, since it asked for this itself.
 */
void
raft_campaign(struct raft *r, bool transfer)
{
	r->role = RAFT_CANDIDATE;
	r->leader = 0;
	r->leader_instance = 0;
	set_term(r, r->term + 1, r->self);
	raft_set_election_timer(r, true);
	clear_votes(r);
	r->vote_seq = RAFT_SEQ_THIS_STEP;
	ask_votes(r, CONTROL__RAFT_KIND__RAFT_VOTE, r->term, transfer);
}

/*
 * Asks whether an election could be won. The term is raised only then, so a
 * replica that returns from a partition does not disturb the leader.
 */
void
raft_pre_campaign(struct raft *r)
{
	r->role = RAFT_PRE_CANDIDATE;
	r->leader = 0;
	r->leader_instance = 0;
	raft_set_election_timer(r, true);
	clear_votes(r);
	raft_self(r)->granted = true;
	if (granted(r) >= raft_quorum(r)) {
		raft_campaign(r, false);
		return;
	}
	ask_votes(r, CONTROL__RAFT_KIND__RAFT_PREVOTE, r->term + 1, false);
}

/* Counts the own vote, which is on disk now. */
void
raft_own_vote_synced(struct raft *r)
{
	struct raft_peer *self = raft_self(r);

	if (r->role != RAFT_CANDIDATE || r->synced_seq < r->vote_seq ||
	    self == NULL)
		return;
	self->granted = true;
	if (granted(r) >= raft_quorum(r))
		become_leader(r);
}

static bool
up_to_date(const struct raft *r, const Control__RaftMsg *m)
{
	uint64_t last = raft_log_last(r), term = 0;

	raft_log_term(r, last, &term);
	return m->log_term > term || (m->log_term == term && m->index >= last);
}

/* Answers a PREVOTE; neither term nor vote change. */
void
raft_on_prevote(struct raft *r, const Control__RaftMsg *m)
{
	Control__RaftMsg *a =
	    raft_msg_new(r, CONTROL__RAFT_KIND__RAFT_PREVOTE_REPLY, m->from);

	a->has_ok = 1;
	a->ok = m->term > r->term && !raft_heard_leader(r) && up_to_date(r, m);
	if (a->ok)
		a->term = m->term;
	raft_send(r, a, raft_instance_of(r, m));
}

/*
 * Answers a VOTE of the current term once term and vote are on disk. The term
 * may have been raised by another message before, so a vote is also refused
 * here while the leader of the term before may hold its lease.
 */
void
raft_on_vote(struct raft *r, const Control__RaftMsg *m)
{
	Control__RaftMsg *a =
	    raft_msg_new(r, CONTROL__RAFT_KIND__RAFT_VOTE_REPLY, m->from);

	a->has_ok = 1;
	a->ok = m->term == r->term && (m->transfer || !raft_heard_leader(r)) &&
	    (r->voted_for == 0 || r->voted_for == m->from) &&
	    r->role < RAFT_CANDIDATE && r->leader == 0 && up_to_date(r, m);
	if (a->ok) {
		r->role = RAFT_FOLLOWER;
		set_term(r, r->term, m->from);
		raft_set_election_timer(r, false);
	}
	raft_send_synced(r, a, raft_instance_of(r, m));
}

/* Counts a vote or pre-vote; enough of them start the next stage. */
void
raft_on_vote_reply(struct raft *r, const Control__RaftMsg *m, bool pre)
{
	struct raft_peer *p = raft_peer_find(r, m->from);

	if (p == NULL || !m->has_ok || !m->ok ||
	    r->role != (pre ? RAFT_PRE_CANDIDATE : RAFT_CANDIDATE) ||
	    m->term != r->term + pre)
		return;
	p->granted = true;
	if (granted(r) < raft_quorum(r))
		return;
	if (pre)
		raft_campaign(r, false);
	else
		become_leader(r);
}
