#include "control/raft_priv.h"

#include <stdlib.h>
#include <string.h>

/* Returns the state kept for a member, or NULL if it is not a member. */
struct raft_peer *
raft_peer_find(const struct raft *r, uint64_t replica)
{
	size_t i;

	for (i = 0; i < r->npeers; i++) {
		if (r->peers[i].replica == replica)
			return &r->peers[i];
	}
	return NULL;
}

/* Returns the state kept for this replica, or NULL if it is not a member. */
struct raft_peer *
raft_self(const struct raft *r)
{
	return raft_peer_find(r, r->self);
}

/* Returns the number of voters. */
static size_t
count_voters(const struct raft *r)
{
	size_t i, n = 0;

	for (i = 0; i < r->npeers; i++)
		n += r->peers[i].voter;
	return n;
}

/* Returns the number of voters that make a majority. */
size_t
raft_quorum(const struct raft *r)
{
	return count_voters(r) / 2 + 1;
}

/*
 * Returns the highest value that a majority of voters has reached: of the
 * acknowledged heartbeat round if rounds is set, else of the match index.
 */
uint64_t
raft_quorum_value(const struct raft *r, bool rounds)
{
	size_t i, j, need = raft_quorum(r);
	uint64_t best = 0;

	for (i = 0; i < r->npeers; i++) {
		uint64_t v;
		size_t n = 0;

		if (!r->peers[i].voter)
			continue;
		v = rounds ? r->peers[i].acked_round : r->peers[i].match;
		for (j = 0; j < r->npeers; j++) {
			const struct raft_peer *p = &r->peers[j];

			n += p->voter &&
			    (rounds ? p->acked_round : p->match) >= v;
		}
		if (n >= need && v > best)
			best = v;
	}
	return best;
}

/* Copies n members with their strings into one array owned by ctx. */
struct raft_member *
raft_members_copy(TALLOC_CTX *ctx, const struct raft_member *v, size_t n)
{
	struct raft_member *copy = talloc_array(ctx, struct raft_member, n);
	size_t i;

	if (copy == NULL)
		abort();
	for (i = 0; i < n; i++) {
		copy[i] = v[i];
		copy[i].domain = str_dup(copy, v[i].domain);
	}
	return copy;
}

/* Replaces a member list by a copy of v, set by the log entry at index. */
void
raft_member_list_copy(struct raft *r, struct raft_member_list *c,
    uint64_t index, const struct raft_member *v, size_t n)
{
	struct raft_member *copy = raft_members_copy(r, v, n);

	talloc_free(c->v);
	c->index = index;
	c->v = copy;
	c->n = n;
}

/* Decodes the data of an ENTRY_MEMBERS. Returns false if it is malformed. */
bool
raft_member_list_unpack(
    struct raft *r, struct raft_member_list *c, uint64_t index, struct str data)
{
	Control__Members *m =
	    control__members__unpack(NULL, data.len, (const uint8_t *)data.p);
	struct raft_member *v;
	size_t i;

	if (m == NULL)
		return false;
	v = talloc_zero_array(r->scratch, struct raft_member, m->n_members);
	if (v == NULL)
		abort();
	for (i = 0; i < m->n_members; i++) {
		v[i].replica = m->members[i]->replica;
		v[i].instance = m->members[i]->instance;
		v[i].voter = m->members[i]->voter;
		v[i].domain = str_from(m->members[i]->domain);
	}
	raft_member_list_copy(r, c, index, v, m->n_members);
	control__members__free_unpacked(m, NULL);
	return true;
}

/* Encodes a member list as the data of an ENTRY_MEMBERS. */
struct str
raft_member_list_pack(struct raft *r, const struct raft_member *v, size_t n)
{
	Control__Members m = CONTROL__MEMBERS__INIT;
	Control__Member *store = talloc_array(r->scratch, Control__Member, n);
	uint8_t *buf;
	size_t i;

	m.members = talloc_array(r->scratch, Control__Member *, n);
	m.n_members = n;
	if (store == NULL || m.members == NULL)
		abort();
	for (i = 0; i < n; i++) {
		control__member__init(&store[i]);
		store[i].replica = v[i].replica;
		store[i].instance = v[i].instance;
		store[i].voter = v[i].voter;
		if (v[i].domain.len > 0)
			store[i].domain = str_cstr(r->scratch, v[i].domain);
		m.members[i] = &store[i];
	}
	buf = talloc_array(
	    r->scratch, uint8_t, control__members__get_packed_size(&m));
	if (buf == NULL)
		abort();
	return str_mem(buf, control__members__pack(&m, buf));
}

/* Copies the member list in force at a log index. */
void
raft_member_list_at(struct raft *r, uint64_t index, struct raft_member_list *c)
{
	uint64_t i;

	for (i = index; i > r->snap_index; i--) {
		const struct raft_entry *e = raft_log_at(r, i);

		if (e == NULL)
			break;
		if (e->kind == CONTROL__ENTRY_KIND__ENTRY_MEMBERS &&
		    raft_member_list_unpack(r, c, i, e->data))
			return;
	}
	if (c != &r->snap_members)
		raft_member_list_copy(r, c, r->snap_members.index,
		    r->snap_members.v, r->snap_members.n);
}

/*
 * Puts the newest member list of the log in force. As Raft requires, it need
 * not be committed.
 */
void
raft_member_list_update(struct raft *r)
{
	raft_member_list_at(r, raft_log_last(r), &r->members);
	raft_peers_rebuild(r);
}

/*
 * Rebuilds the table of peers from the member list in force. Keeps the state
 * of members that remain.
 */
void
raft_peers_rebuild(struct raft *r)
{
	struct raft_peer *v =
	    talloc_zero_array(r, struct raft_peer, r->members.n);
	size_t i;

	if (v == NULL)
		abort();
	for (i = 0; i < r->members.n; i++) {
		const struct raft_member *m = &r->members.v[i];
		const struct raft_peer *old = raft_peer_find(r, m->replica);

		if (old != NULL) {
			v[i] = *old;
		} else {
			v[i].next = raft_log_last(r) + 1;
			v[i].last_reply_at = v[i].known_at = r->now;
		}
		v[i].replica = m->replica;
		v[i].instance = m->instance;
		v[i].voter = m->voter;
		if (m->replica == r->self)
			r->self_instance = m->instance;
	}
	talloc_free(r->peers);
	r->peers = v;
	r->npeers = r->members.n;
}

/*
 * Checks that a membership change may start. Returns STATUS_FULL until the
 * previous change and an entry of the current term are committed: otherwise
 * two majorities without a common replica are possible.
 */
static enum status
check_change_allowed(const struct raft *r)
{
	if (r->role != RAFT_LEADER)
		return STATUS_NOT_LEADER;
	if (r->transfer_target != 0)
		return STATUS_UNAVAILABLE;
	if (r->commit < r->term_start || r->members.index > r->commit)
		return STATUS_FULL;
	return STATUS_OK;
}

/* Appends a new member list to the log. */
static void
propose_members(struct raft *r, const struct raft_member *v, size_t n)
{
	raft_log_append(r, r->term, CONTROL__ENTRY_KIND__ENTRY_MEMBERS,
	    raft_member_list_pack(r, v, n));
}

/*
 * Proposes to add a replica as a learner. Returns STATUS_EXISTS if it is a
 * member, STATUS_INVALID if its id is 0, or the error of a change that may not
 * start yet.
 */
enum status
raft_member_add(struct raft *r, const struct raft_member *m)
{
	enum status st = check_change_allowed(r);
	struct raft_member *v;
	size_t n = r->members.n;

	if (st == STATUS_NOT_LEADER)
		return st;
	if (m->replica == 0)
		return STATUS_INVALID;
	if (raft_peer_find(r, m->replica) != NULL)
		return STATUS_EXISTS;
	if (st != STATUS_OK)
		return st;
	v = talloc_array(r->scratch, struct raft_member, n + 1);
	if (v == NULL)
		abort();
	memcpy(v, r->members.v, n * sizeof(*v));
	v[n] = *m;
	v[n].voter = false;
	propose_members(r, v, n + 1);
	return STATUS_OK;
}

/*
 * Returns whether a member is this replica, or has acknowledged entries and
 * answered within the minimum election timeout.
 */
static bool
has_answered_recently(const struct raft *r, uint64_t replica)
{
	const struct raft_peer *p = raft_peer_find(r, replica);

	return replica == r->self ||
	    (p->match > 0 &&
		clk_diff_ms(r->now, p->last_reply_at) < RAFT_ELECTION_MIN_MS);
}

/*
 * Proposes to remove a member. Returns STATUS_NOT_FOUND if it is not a member,
 * STATUS_REFUSED for the last voter, and STATUS_UNAVAILABLE if the remaining
 * voters that answer are not a majority of the remaining ones: this change
 * could then not be committed, and would block every later one.
 */
enum status
raft_member_remove(struct raft *r, uint64_t replica)
{
	const struct raft_peer *p = raft_peer_find(r, replica);
	enum status st = check_change_allowed(r);
	struct raft_member *v;
	size_t i, n = 0, voters = 0, alive = 0;

	if (st == STATUS_NOT_LEADER)
		return st;
	if (p == NULL)
		return STATUS_NOT_FOUND;
	if (st != STATUS_OK)
		return st;
	v = talloc_array(r->scratch, struct raft_member, r->members.n);
	if (v == NULL)
		abort();
	for (i = 0; i < r->members.n; i++) {
		if (r->members.v[i].replica == replica)
			continue;
		v[n++] = r->members.v[i];
		voters += r->members.v[i].voter;
		alive += r->members.v[i].voter &&
		    has_answered_recently(r, r->members.v[i].replica);
	}
	if (voters == 0)
		return STATUS_REFUSED;
	if (alive < voters / 2 + 1)
		return STATUS_UNAVAILABLE;
	propose_members(r, v, n);
	return STATUS_OK;
}

/* Returns another replica on the same instance as p, or 0 if there is none. */
static uint64_t
find_replaced_replica(const struct raft *r, const struct raft_peer *p)
{
	size_t i;

	for (i = 0; i < r->npeers; i++) {
		const struct raft_peer *q = &r->peers[i];

		if (q->instance == p->instance && q->replica != p->replica &&
		    q->replica != r->self)
			return q->replica;
	}
	return 0;
}

/* Tells whether a voter has been silent for RAFT_VOTER_SILENT_MS, or was the
 * previous leader or found so by it, and hasn't answered this one. */
bool
raft_is_silent(const struct raft *r, const struct raft_peer *p)
{
	return p->voter && p->replica != r->self &&
	    (p->found_silent ||
		clk_diff_ms(r->now, p->last_reply_at) >= RAFT_VOTER_SILENT_MS);
}

/* Returns the voter that has been silent for longest, 0 if none has been for
 * RAFT_VOTER_SILENT_MS. */
static uint64_t
find_silent_voter(const struct raft *r)
{
	int64_t longest = RAFT_VOTER_SILENT_MS - 1;
	uint64_t replica = 0;
	size_t i;

	if (clk_diff_ms(r->now, r->running_since) < RAFT_VOTER_SILENT_MS)
		return 0;

	for (i = 0; i < r->npeers; i++) {
		const struct raft_peer *p = &r->peers[i];
		int64_t silent = clk_diff_ms(r->now, p->last_reply_at);

		if (!p->voter || p->replica == r->self || silent <= longest)
			continue;
		longest = silent;
		replica = p->replica;
	}
	return replica;
}

/* Returns a learner that answers and has all entries that were committed at the
 * last heartbeat, or NULL. */
static const struct raft_peer *
find_caught_up_learner(const struct raft *r)
{
	size_t i;

	for (i = 0; i < r->npeers; i++) {
		const struct raft_peer *p = &r->peers[i];

		if (!p->voter && p->flow == FLOW_REPLICATE &&
		    p->match >= r->commit_at_heartbeat &&
		    clk_diff_ms(r->now, p->last_reply_at) <
			RAFT_ELECTION_MIN_MS)
			return p;
	}
	return NULL;
}

/* Tells whether a learner that has caught up may become a voter now. One that
 * isn't needed waits for a while, and until all voters have answered this
 * leader: it may have come to replace one that is lost. */
static bool
may_promote(const struct raft *r, const struct raft_peer *learner)
{
	size_t i;

	if (r->voters_needed == 0 || count_voters(r) < r->voters_needed)
		return true;
	for (i = 0; i < r->npeers; i++) {
		if (r->peers[i].voter &&
		    !has_answered_recently(r, r->peers[i].replica))
			return false;
	}
	return clk_diff_ms(r->now, learner->known_at) >=
	    RAFT_ADDITIONAL_VOTER_MS;
}

/* Proposes to make a member a voter. */
static void
promote(struct raft *r, uint64_t replica)
{
	struct raft_member *v =
	    talloc_memdup(r->scratch, r->members.v, r->members.n * sizeof(*v));
	size_t i;

	if (v == NULL)
		abort();
	for (i = 0; i < r->members.n; i++)
		v[i].voter |= v[i].replica == replica;
	propose_members(r, v, r->members.n);
}

/*
 * Proposes the next change of the voters, if one is due: a learner that has
 * caught up becomes one, and a voter that can't be reached is removed while
 * voters_needed remain with that learner. The removal comes first, because a
 * dead voter raises the size of the majority, and so would a learner that is
 * lost before it was needed. Another member on the learner's instance is the
 * replica that lost its disk there and needn't be silent.
 */
void
raft_update_voters(struct raft *r)
{
	const struct raft_peer *learner;
	uint64_t dead = 0;

	if (check_change_allowed(r) != STATUS_OK)
		return;
	learner = find_caught_up_learner(r);
	if (learner != NULL)
		dead = find_replaced_replica(r, learner);
	if (dead == 0 && r->voters_needed > 0 &&
	    count_voters(r) + (learner != NULL) > r->voters_needed)
		dead = find_silent_voter(r);
	if (dead != 0)
		raft_member_remove(r, dead);
	else if (learner != NULL && may_promote(r, learner))
		promote(r, learner->replica);
}

/*
 * Starts a leadership transfer to the answering voter with the highest match
 * index. Proposals are refused until the transfer ends. Returns
 * STATUS_UNAVAILABLE if no other voter answers.
 */
enum status
raft_transfer(struct raft *r)
{
	const struct raft_peer *best = NULL;
	size_t i;

	if (r->role != RAFT_LEADER)
		return STATUS_NOT_LEADER;
	for (i = 0; i < r->npeers; i++) {
		const struct raft_peer *p = &r->peers[i];

		if (p->voter && p->replica != r->self &&
		    clk_diff_ms(r->now, p->last_reply_at) <
			RAFT_ELECTION_MIN_MS &&
		    (best == NULL || p->match > best->match))
			best = p;
	}
	if (best == NULL)
		return STATUS_UNAVAILABLE;
	r->transfer_target = best->replica;
	r->transfer_deadline = clk_add_ms(r->now, RAFT_ELECTION_MIN_MS);
	r->timeout_now_sent = false;
	return STATUS_OK;
}

/*
 * Sends TIMEOUT_NOW to the target of a transfer once it has the whole log.
 * Gives the transfer up at its deadline.
 */
void
raft_transfer_check(struct raft *r)
{
	const struct raft_peer *p;

	if (r->transfer_target == 0)
		return;
	p = raft_peer_find(r, r->transfer_target);
	if (p == NULL || !clk_before(r->now, r->transfer_deadline)) {
		r->transfer_target = 0;
		return;
	}
	if (p->match < raft_log_last(r) || r->timeout_now_sent)
		return;
	/* Voters grant the target their vote although they hear from this
	 * leader, so its lease no longer excludes another leader. */
	r->lease_invalidated = true;
	r->timeout_now_sent = true;
	raft_send(r,
	    raft_msg_new(r, CONTROL__RAFT_KIND__RAFT_TIMEOUT_NOW, p->replica),
	    p->instance);
}
