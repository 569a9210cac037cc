#include "control/raft_priv.h"

/*
 * Sets a random election timeout, which makes split votes unlikely. retry
 * selects the shorter range used after an election was started.
 */
void
raft_set_election_timer(struct raft *r, bool retry)
{
	int64_t min = retry ? RAFT_CAMPAIGN_RETRY_MIN_MS : RAFT_ELECTION_MIN_MS;
	int64_t max = retry ? RAFT_CAMPAIGN_RETRY_MAX_MS : RAFT_ELECTION_MAX_MS;

	r->election_at = clk_add_ms(
	    r->now, min + (int64_t)rng_below(&r->rng, (uint64_t)(max - min)));
}

/*
 * Returns whether this replica leads, or has heard from a leader within the
 * minimum election timeout.
 */
bool
raft_leader_is_recent(const struct raft *r)
{
	return r->role == RAFT_LEADER ||
	    clk_diff_ms(r->now, r->leader_contact_at) < RAFT_ELECTION_MIN_MS;
}

/* Changes term and vote and marks them to be persisted. */
static void
set_term_and_vote(struct raft *r, uint64_t term, uint64_t vote)
{
	if (term != r->term)
		r->ndeferred = 0; /* replies of an older term */
	if (term != r->term || vote != r->voted_for)
		r->hard_state_dirty = true;
	r->term = term;
	r->voted_for = vote;
}

/*
 * Becomes a follower in term, which must not be below the current one. leader
 * is 0 while it is unknown. A leader that steps down fails its pending
 * confirmations.
 */
void
raft_become_follower(
    struct raft *r, uint64_t term, uint64_t leader, uint32_t instance)
{
	bool led = r->role == RAFT_LEADER;

	if (term != r->term)
		set_term_and_vote(r, term, 0);
	if (r->role != RAFT_FOLLOWER)
		raft_set_election_timer(r, false);
	r->role = RAFT_FOLLOWER;
	if (leader != 0)
		r->nelections = 0;
	r->leader = leader;
	r->leader_instance = instance;
	r->transfer_target = 0;
	if (led)
		raft_answer_confirms(r, true);
}

/*
 * Becomes leader, resets what is known about the members, appends an empty
 * entry of the new term, and sends a first heartbeat.
 */
static void
become_leader(struct raft *r)
{
	uint64_t last = raft_log_last(r);
	size_t i;

	r->role = RAFT_LEADER;
	r->leader = r->self;
	r->leader_instance = r->self_instance;
	r->transfer_target = 0;
	r->lease_invalidated = false;
	r->nelections = 0;
	r->term_start = last + 1;
	for (i = 0; i < r->npeers; i++) {
		struct raft_peer *p = &r->peers[i];

		p->flow = FLOW_PROBE;
		p->match = 0;
		p->next = last + 1;
		p->paused = false;
		p->ninflight = p->inflight_bytes = 0;
		p->acked_round = 0;
		p->last_reply_at = r->now;
		if (p->found_silent)
			p->last_reply_at = clk_add_ms(r->now,
			    RAFT_VOTER_STILL_SILENT_MS - RAFT_VOTER_SILENT_MS);
	}
	r->round = 0;
	r->awaited_round = 0;
	r->commit_at_heartbeat = UINT64_MAX; /* none in this term yet */
	raft_log_append(
	    r, r->term, CONTROL__ENTRY_KIND__ENTRY_NOOP, str_mem(NULL, 0));
	raft_broadcast(r);
}

/* Returns the number of voters that granted their vote. */
static size_t
count_granted_votes(const struct raft *r)
{
	size_t i, n = 0;

	for (i = 0; i < r->npeers; i++)
		n += r->peers[i].voter && r->peers[i].vote_granted;
	return n;
}

/* Forgets all granted votes. */
static void
clear_votes(struct raft *r)
{
	size_t i;

	for (i = 0; i < r->npeers; i++)
		r->peers[i].vote_granted = false;
}

/* Sends a VOTE or PREVOTE for term to the other voters that haven't granted it.
 */
static void
send_vote_requests(
    struct raft *r, Control__RaftKind kind, uint64_t term, bool transfer)
{
	uint64_t last = raft_log_last(r), last_term = 0;
	size_t i;

	raft_log_term(r, last, &last_term);
	for (i = 0; i < r->npeers; i++) {
		struct raft_peer *p = &r->peers[i];
		Control__RaftMsg *m;

		if (!p->voter || p->vote_granted || p->replica == r->self)
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
 * Sets how long the election that begins may wait for votes before the next one
 * raises the term. Votes wait for the disks of the candidate and of the voters:
 * with syncs of 0.5 s, retries after 150 to 450 ms each came before the votes
 * of the last election, so that none was ever won. The range therefore doubles
 * with each election that has raised the term without a leader.
 */
static void
set_campaign_end(struct raft *r)
{
	int64_t min = RAFT_CAMPAIGN_RETRY_MIN_MS << r->nelections;
	int64_t max = RAFT_CAMPAIGN_RETRY_MAX_MS << r->nelections;

	raft_set_election_timer(r, true);
	r->campaign_until = r->election_at;
	if (r->nelections > 0)
		r->campaign_until = clk_add_ms(r->now,
		    min + (int64_t)rng_below(&r->rng, (uint64_t)(max - min)));
	if (r->nelections < RAFT_CAMPAIGN_BACKOFF_MAX)
		r->nelections++;
}

/* Asks the voters that haven't answered again, in the same term: requests and
 * answers get lost. */
void
raft_ask_again(struct raft *r)
{
	raft_set_election_timer(r, true);
	if (clk_before(r->campaign_until, r->election_at))
		r->election_at = r->campaign_until;
	send_vote_requests(r, CONTROL__RAFT_KIND__RAFT_VOTE, r->term, false);
}

/*
 * Starts an election in a new term. With transfer the voters grant their vote
 * even while they hear from the leader, because it requested the election.
 */
void
raft_campaign(struct raft *r, bool transfer)
{
	r->role = RAFT_CANDIDATE;
	r->leader = 0;
	r->leader_instance = 0;
	set_term_and_vote(r, r->term + 1, r->self);
	set_campaign_end(r);
	clear_votes(r);
	r->vote_seq = RAFT_SEQ_THIS_STEP;
	send_vote_requests(r, CONTROL__RAFT_KIND__RAFT_VOTE, r->term, transfer);
}

/* Records that the leader has been silent, for at least the minimum election
 * timeout. */
static void
note_silent_leader(struct raft *r)
{
	struct raft_peer *p = raft_peer_find(r, r->leader);

	if (p != NULL)
		p->found_silent = true;
}

/*
 * Starts a pre-vote: asks the voters whether they would grant a vote. The term
 * is raised only if a majority would, so a replica that returns from a
 * partition does not depose the leader.
 */
void
raft_pre_campaign(struct raft *r)
{
	note_silent_leader(r);
	r->role = RAFT_PRE_CANDIDATE;
	r->leader = 0;
	r->leader_instance = 0;
	raft_set_election_timer(r, true);
	clear_votes(r);
	raft_self(r)->vote_granted = true;
	if (count_granted_votes(r) >= raft_quorum(r)) {
		raft_campaign(r, false);
		return;
	}
	send_vote_requests(
	    r, CONTROL__RAFT_KIND__RAFT_PREVOTE, r->term + 1, false);
}

/* Counts a candidate's vote for itself once that vote is on disk. */
void
raft_count_own_vote(struct raft *r)
{
	struct raft_peer *self = raft_self(r);

	if (r->role != RAFT_CANDIDATE || r->synced_seq < r->vote_seq ||
	    self == NULL)
		return;
	self->vote_granted = true;
	if (count_granted_votes(r) >= raft_quorum(r))
		become_leader(r);
}

/* Returns whether the sender's log is at least as up to date as this one. */
static bool
is_log_up_to_date(const struct raft *r, const Control__RaftMsg *m)
{
	uint64_t last = raft_log_last(r), term = 0;

	raft_log_term(r, last, &term);
	return m->log_term > term || (m->log_term == term && m->index >= last);
}

/* Answers a PREVOTE without changing term or vote. */
void
raft_on_prevote(struct raft *r, const Control__RaftMsg *m)
{
	Control__RaftMsg *a =
	    raft_msg_new(r, CONTROL__RAFT_KIND__RAFT_PREVOTE_REPLY, m->from);

	a->has_ok = 1;
	a->ok = m->term > r->term && !raft_leader_is_recent(r) &&
	    is_log_up_to_date(r, m);
	if (a->ok)
		a->term = m->term;
	raft_send(r, a, raft_instance_of(r, m));
}

/*
 * Answers a VOTE of the current term once term and vote are on disk. Another
 * message may already have raised the term, so the vote is refused here too
 * while the previous leader may still hold its lease.
 */
void
raft_on_vote(struct raft *r, const Control__RaftMsg *m)
{
	Control__RaftMsg *a =
	    raft_msg_new(r, CONTROL__RAFT_KIND__RAFT_VOTE_REPLY, m->from);

	a->has_ok = 1;
	a->ok = m->term == r->term &&
	    (m->transfer || !raft_leader_is_recent(r)) &&
	    (r->voted_for == 0 || r->voted_for == m->from) &&
	    r->role < RAFT_CANDIDATE && r->leader == 0 &&
	    is_log_up_to_date(r, m);
	/* A candidate that asks again doesn't put off the elections of others.
	 */
	if (a->ok && r->voted_for == 0) {
		r->role = RAFT_FOLLOWER;
		set_term_and_vote(r, r->term, m->from);
		raft_set_election_timer(r, false);
	}
	raft_send_synced(r, a, raft_instance_of(r, m));
}

/*
 * Counts a granted vote, or pre-vote if pre is set. A majority of pre-votes
 * starts the election, a majority of votes wins it.
 */
void
raft_on_vote_reply(struct raft *r, const Control__RaftMsg *m, bool pre)
{
	struct raft_peer *p = raft_peer_find(r, m->from);

	if (p == NULL || !m->has_ok || !m->ok ||
	    r->role != (pre ? RAFT_PRE_CANDIDATE : RAFT_CANDIDATE) ||
	    m->term != r->term + pre)
		return;
	p->vote_granted = true;
	if (count_granted_votes(r) < raft_quorum(r))
		return;
	if (pre)
		raft_campaign(r, false);
	else
		become_leader(r);
}
