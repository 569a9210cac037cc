#include "control/raft_priv.h"

#include <stdlib.h>
#include <string.h>

/*
 * Fills an APPEND with entries from an index on, up to RAFT_APPEND_BYTES_MAX
 * but at least one if there is any. Returns their number and stores their
 * size.
 */
static size_t
add_entries(struct raft *r, Control__RaftMsg *m, uint64_t from, size_t *bytes)
{
	uint64_t last = raft_log_last(r), i;
	Control__Entry *store;
	size_t n = 0, size = 0;

	for (i = from; i <= last; i++) {
		size += raft_log_at(r, i)->data.len + RAFT_ENTRY_OVERHEAD;
		if (n > 0 && size > RAFT_APPEND_BYTES_MAX)
			break;
		n++;
		if (size > RAFT_APPEND_BYTES_MAX)
			break;
	}
	*bytes = size;
	if (n == 0)
		return 0;
	store = talloc_array(r->scratch, Control__Entry, n);
	m->entries = talloc_array(r->scratch, Control__Entry *, n);
	if (store == NULL || m->entries == NULL)
		abort();
	for (i = 0; i < n; i++) {
		const struct raft_entry *e = raft_log_at(r, from + i);

		control__entry__init(&store[i]);
		store[i].index = e->index;
		store[i].term = e->term;
		store[i].kind = e->kind;
		store[i].has_data = e->data.len > 0;
		store[i].data.len = e->data.len;
		store[i].data.data = (uint8_t *)(uintptr_t)e->data.p;
		m->entries[i] = &store[i];
	}
	m->n_entries = n;
	return n;
}

/* Switches a member to receiving the current snapshot, from its start. */
static void
start_sending_snapshot(struct raft *r, struct raft_peer *p)
{
	p->flow = FLOW_SNAPSHOT;
	p->snap_index = r->snap_index;
	p->snap_offset = 0;
	p->ninflight = p->inflight_bytes = 0;
	p->paused = false;
}

/* Lists the silent voters in a message, so that the next leader needn't find
 * them anew. */
static void
add_silent(struct raft *r, Control__RaftMsg *m)
{
	size_t i;

	m->silent = talloc_array(r->scratch, uint64_t, r->npeers);
	if (m->silent == NULL)
		abort();
	for (i = 0; i < r->npeers; i++) {
		if (raft_is_silent(r, &r->peers[i]))
			m->silent[m->n_silent++] = r->peers[i].replica;
	}
}

/* Takes over which voters the leader has found silent. */
static void
update_silent(struct raft *r, const Control__RaftMsg *m)
{
	size_t i, k;

	for (i = 0; i < r->npeers; i++) {
		r->peers[i].found_silent = false;
		for (k = 0; k < m->n_silent; k++)
			r->peers[i].found_silent |=
			    m->silent[k] == r->peers[i].replica;
	}
}

/*
 * Sends one APPEND from p->next on. Returns the number of entries in it. If
 * they were compacted, starts sending a snapshot instead and returns 0.
 */
static size_t
send_append(struct raft *r, struct raft_peer *p, size_t *bytes)
{
	uint64_t prev = p->next - 1, term = 0;
	Control__RaftMsg *m;
	size_t n;

	if (prev < r->base_index || !raft_log_term(r, prev, &term)) {
		start_sending_snapshot(r, p);
		return 0;
	}
	m = raft_msg_new(r, CONTROL__RAFT_KIND__RAFT_APPEND, p->replica);
	m->has_index = m->has_log_term = m->has_commit = m->has_round = 1;
	m->index = prev;
	m->log_term = term;
	m->commit = r->commit;
	m->round = r->round;
	n = add_entries(r, m, p->next, bytes);
	add_silent(r, m);
	raft_send(r, m, p->instance);
	return n;
}

/*
 * Sends a member the entries or snapshot chunk that flow control permits.
 * Returns whether anything was sent.
 */
static bool
send_to_peer(struct raft *r, struct raft_peer *p)
{
	size_t max =
	    r->proposing ? RAFT_INFLIGHT_PROPOSE_MAX : RAFT_INFLIGHT_MAX;
	size_t bytes, n;
	bool sent = false;

	if (p->flow == FLOW_PROBE && !p->paused &&
	    p->next <= raft_log_last(r)) {
		send_append(r, p, &bytes);
		if (p->flow == FLOW_PROBE)
			p->paused = sent = true;
	}
	while (p->flow == FLOW_REPLICATE && p->next <= raft_log_last(r) &&
	    p->ninflight < max && p->inflight_bytes < RAFT_INFLIGHT_BYTES_MAX) {
		n = send_append(r, p, &bytes);
		if (n == 0)
			break;
		sent = true;
		p->next += n;
		p->inflight[p->ninflight].last = p->next - 1;
		p->inflight[p->ninflight++].bytes = bytes;
		p->inflight_bytes += bytes;
	}
	if (p->flow == FLOW_SNAPSHOT && !p->paused) {
		raft_send_chunk(r, p);
		p->paused = sent = true;
	}
	return sent;
}

/* Sends new entries to all other members as far as flow control permits. */
void
raft_replicate(struct raft *r)
{
	size_t i;

	for (i = 0; i < r->npeers; i++) {
		if (r->peers[i].replica != r->self)
			send_to_peer(r, &r->peers[i]);
	}
}

/*
 * Starts a heartbeat round: sends every other member its next entries, a
 * snapshot chunk, or an empty APPEND.
 */
void
raft_broadcast(struct raft *r)
{
	size_t i, bytes;

	r->round++;
	r->round_sent[r->round % RAFT_ROUND_HISTORY] = r->now;
	r->heartbeat_at = clk_add_ms(r->now, RAFT_HEARTBEAT_MS);
	r->commit_at_heartbeat =
	    r->commit >= r->term_start ? r->commit : UINT64_MAX;
	r->timeout_now_sent = false;
	for (i = 0; i < r->npeers; i++) {
		struct raft_peer *p = &r->peers[i];

		if (p->replica == r->self)
			continue;
		p->paused = false;
		if (!send_to_peer(r, p))
			send_append(r, p, &bytes);
	}
}

/*
 * Advances the commit index to the highest entry that a majority has on disk,
 * if that is of the current term. Raft forbids to commit entries of older
 * terms by counting replicas.
 */
void
raft_advance_commit(struct raft *r)
{
	uint64_t n = raft_quorum_value(r, false), term;

	if (n > r->commit && raft_log_term(r, n, &term) && term == r->term)
		r->commit = n;
}

/* Emits a COMMIT action with the newly committed entries. */
void
raft_emit_committed(struct raft *r)
{
	struct raft_act *a;
	size_t i;

	if (r->commit == r->applied)
		return;
	a = raft_act_add(r, RAFT_ACT_COMMIT);
	a->u.commit.entries =
	    raft_log_copy(r, r->applied + 1, r->commit, &a->u.commit.n);
	for (i = 0; i < a->u.commit.n; i++)
		r->uncommitted_bytes -=
		    a->u.commit.entries[i].data.len + RAFT_ENTRY_OVERHEAD;
	r->applied = r->commit;
}

/*
 * Returns whether the entries of a message have consecutive indexes and
 * plausible terms.
 */
static bool
entries_are_valid(const Control__RaftMsg *m)
{
	size_t i;

	for (i = 0; i < m->n_entries; i++) {
		if (m->entries[i]->index != m->index + 1 + i ||
		    m->entries[i]->term > m->term)
			return false;
	}
	return true;
}

/*
 * Appends the entries of an APPEND that this log lacks. A conflicting entry
 * and all behind it are removed first.
 */
static void
store_entries(struct raft *r, const Control__RaftMsg *m)
{
	uint64_t term;
	size_t i;

	for (i = 0; i < m->n_entries; i++) {
		const Control__Entry *e = m->entries[i];

		if (e->index <= r->commit)
			continue;
		if (raft_log_term(r, e->index, &term)) {
			if (term == e->term)
				continue;
			raft_log_truncate(r, e->index);
		}
		raft_log_append(r, e->term, e->kind,
		    str_mem(e->data.data, e->has_data ? e->data.len : 0));
	}
}

/*
 * Acknowledges an APPEND; verified is the last index known to match the
 * leader.
 */
static void
reply_append(struct raft *r, const Control__RaftMsg *m, uint64_t verified)
{
	Control__RaftMsg *a =
	    raft_msg_new(r, CONTROL__RAFT_KIND__RAFT_APPEND_REPLY, m->from);

	a->has_ok = a->ok = 1;
	a->has_index = a->has_round = 1;
	a->index = verified;
	a->round = m->round;
	/* A heartbeat is answered at once, so that a slow disk does not look
	 * like a lost follower. The reply acknowledges only what is synced. */
	if (m->n_entries == 0 && !r->hard_state_dirty &&
	    r->synced_seq >= r->hard_state_seq) {
		if (a->index > r->durable)
			a->index = r->durable;
		raft_send(r, a, raft_instance_of(r, m));
		return;
	}
	raft_send_synced(r, a, raft_instance_of(r, m));
}

/*
 * Rejects an APPEND whose previous entry does not match, with a hint where the
 * logs may agree.
 */
static void
reject_append(struct raft *r, const Control__RaftMsg *m)
{
	Control__RaftMsg *a =
	    raft_msg_new(r, CONTROL__RAFT_KIND__RAFT_APPEND_REPLY, m->from);

	a->has_ok = a->has_index = a->has_round = 1;
	a->has_hint = a->has_log_term = 1;
	a->index = m->index;
	a->round = m->round;
	a->hint = raft_log_find_agreement(r, m->index, m->log_term);
	raft_log_term(r, a->hint, &a->log_term);
	raft_send_synced(r, a, raft_instance_of(r, m));
}

/*
 * Handles an APPEND of the current term: stores its entries and advances the
 * commit index, or rejects it if the logs do not match.
 */
void
raft_on_append(struct raft *r, const Control__RaftMsg *m)
{
	uint64_t verified, term;

	if (r->loading || !entries_are_valid(m))
		return;
	update_silent(r, m);
	if (m->index < r->commit) {
		/* Every later leader has all committed entries. */
		verified = r->commit;
		if (m->index + m->n_entries > verified) {
			store_entries(r, m);
			verified = m->index + m->n_entries;
		}
	} else if (!raft_log_term(r, m->index, &term) || term != m->log_term) {
		reject_append(r, m);
		return;
	} else {
		store_entries(r, m);
		verified = m->index + m->n_entries;
	}
	if (m->commit > r->commit)
		r->commit = m->commit < verified ? m->commit : verified;
	if (m->commit <= r->commit &&
	    clk_diff_ms(r->now, r->resumed_at) >= RAFT_ELECTION_MIN_MS)
		r->up_to_date_at = r->now;
	reply_append(r, m, verified);
}

/*
 * Removes the in-flight messages that an acknowledgement up to index covers.
 */
static void
release_inflight(struct raft_peer *p, uint64_t index)
{
	size_t i, k = 0;

	while (k < p->ninflight && p->inflight[k].last <= index)
		p->inflight_bytes -= p->inflight[k++].bytes;
	for (i = k; i < p->ninflight; i++)
		p->inflight[i - k] = p->inflight[i];
	p->ninflight -= k;
}

/*
 * Handles an APPEND_REPLY of the current term on the leader. A rejection moves
 * the follower's next index back and returns to probing.
 */
void
raft_on_append_reply(struct raft *r, const Control__RaftMsg *m)
{
	struct raft_peer *p = raft_peer_find(r, m->from);
	uint64_t next;

	if (p == NULL || r->role != RAFT_LEADER)
		return;
	p->last_reply_at = r->now;
	p->found_silent = false;
	if (m->round > p->acked_round && m->round <= r->round)
		p->acked_round = m->round;
	if (m->ok) {
		if (m->index > raft_log_last(r))
			return;
		if (m->index > p->match)
			p->match = m->index;
		if (p->next <= p->match)
			p->next = p->match + 1;
		release_inflight(p, m->index);
		if (p->flow == FLOW_SNAPSHOT && p->match < p->snap_index)
			return;
		if (p->flow != FLOW_REPLICATE)
			p->ninflight = p->inflight_bytes = 0;
		p->flow = FLOW_REPLICATE;
		p->paused = false;
		return;
	}
	if (p->flow == FLOW_SNAPSHOT || m->index <= p->match ||
	    (p->flow == FLOW_PROBE && m->index != p->next - 1))
		return;
	next = raft_log_find_agreement(r, m->hint, m->log_term) + 1;
	if (next > m->index)
		next = m->index;
	p->next = next > p->match ? next : p->match + 1;
	p->flow = FLOW_PROBE;
	p->ninflight = p->inflight_bytes = 0;
	p->paused = false;
}

/* Returns whether a majority answered within the minimum election timeout. */
bool
raft_quorum_is_recent(const struct raft *r)
{
	size_t i, n = 0;

	for (i = 0; i < r->npeers; i++) {
		const struct raft_peer *p = &r->peers[i];

		n += p->voter &&
		    (p->replica == r->self ||
			clk_diff_ms(r->now, p->last_reply_at) <
			    RAFT_ELECTION_MIN_MS);
	}
	return n >= raft_quorum(r);
}

/* Returns whether this replica holds the leader lease in the current step. */
static bool
has_valid_lease(const struct raft *r)
{
	return raft_has_leader_lease(r, r->now);
}

/*
 * Returns whether this replica holds the leader lease at time now: a majority
 * acknowledged a heartbeat sent less than RAFT_LEASE_MS ago, so no other
 * replica can have been elected.
 */
bool
raft_has_leader_lease(const struct raft *r, struct timespec now)
{
	uint64_t round = raft_quorum_value(r, true);

	if (r->role != RAFT_LEADER || r->lease_invalidated || round == 0 ||
	    round + RAFT_ROUND_HISTORY <= r->round)
		return false;
	return clk_diff_ms(now, r->round_sent[round % RAFT_ROUND_HISTORY]) <
	    RAFT_LEASE_MS;
}

/*
 * Returns the time in ms since a member last answered this leader, or 0 if
 * this replica does not lead, is that member, or does not know it.
 */
int64_t
raft_ms_since_reply(const struct raft *r, uint64_t replica)
{
	const struct raft_peer *p = raft_peer_find(r, replica);

	if (p == NULL || r->role != RAFT_LEADER || replica == r->self)
		return 0;
	return clk_diff_ms(r->now, p->last_reply_at);
}

/*
 * Registers a request to confirm leadership. It is answered in this step if
 * the leader lease is valid, else once a majority has acknowledged a heartbeat
 * round that starts after it.
 */
void
raft_start_confirm(struct raft *r, uint64_t id)
{
	struct raft_confirm *c;

	r->confirms = raft_grow(r, r->confirms, sizeof(*c), r->nconfirms);
	c = &r->confirms[r->nconfirms++];
	c->id = id;
	c->round = has_valid_lease(r) ? 0 : r->round + 1;
}

/* Starts a heartbeat round if a confirmation request waits for one. */
static void
start_confirm_round(struct raft *r)
{
	uint64_t acked = raft_quorum_value(r, true);
	size_t i;

	/* Only one extra round at a time is under way. Requests that arrive
	 * meanwhile share the next one. */
	if (r->awaited_round > acked)
		return;
	for (i = 0; i < r->nconfirms; i++) {
		if (r->confirms[i].round > r->round) {
			raft_broadcast(r);
			r->awaited_round = r->round;
			return;
		}
	}
}

/*
 * Answers the confirmation requests whose round a majority has acknowledged;
 * if leadership is lost, fails all of them. A leader that has not committed an
 * entry of its term yet may not know all earlier commits, so it waits.
 */
void
raft_answer_confirms(struct raft *r, bool lost)
{
	uint64_t acked = lost ? 0 : raft_quorum_value(r, true);
	size_t i, k = 0;

	for (i = 0; i < r->nconfirms; i++) {
		struct raft_confirm c = r->confirms[i];
		struct raft_act *a;

		if (!lost && (r->commit < r->term_start || c.round > acked)) {
			r->confirms[k++] = c;
			continue;
		}
		a = raft_act_add(r, RAFT_ACT_LEADERSHIP_CONFIRMED);
		a->u.confirmed.id = c.id;
		a->u.confirmed.ok = !lost;
	}
	r->nconfirms = k;
	if (!lost)
		start_confirm_round(r);
}
