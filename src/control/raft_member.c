#include "control/raft_priv.h"

#include <stdlib.h>
#include <string.h>

/* Finds what is known about a member, or NULL. */
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

/* Returns the own entry, or NULL if this replica is not a member. */
struct raft_peer *
raft_self(const struct raft *r)
{
	return raft_peer_find(r, r->self);
}

/* Returns the number of voters that make a majority. */
size_t
raft_quorum(const struct raft *r)
{
	size_t i, n = 0;

	for (i = 0; i < r->npeers; i++)
		n += r->peers[i].voter;
	return n / 2 + 1;
}

/*
 * Returns the highest value that a majority of voters has reached: of the
 * index on disk, or of the heartbeat round.
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

/* Copies a member list with its strings into memory owned by ctx. */
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

/* Replaces a member list by a copy of another one. */
void
raft_conf_copy(struct raft *r, struct raft_conf_set *c, uint64_t index,
    const struct raft_member *v, size_t n)
{
	struct raft_member *copy = raft_members_copy(r, v, n);

	talloc_free(c->v);
	c->index = index;
	c->v = copy;
	c->n = n;
}

/* Decodes the data of an ENTRY_MEMBERS; false if it is malformed. */
bool
raft_conf_unpack(
    struct raft *r, struct raft_conf_set *c, uint64_t index, struct str data)
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
	raft_conf_copy(r, c, index, v, m->n_members);
	control__members__free_unpacked(m, NULL);
	return true;
}

/* Encodes a member list as the data of an ENTRY_MEMBERS. */
struct str
raft_conf_pack(struct raft *r, const struct raft_member *v, size_t n)
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

/* Finds the member list in force at an index of the log. */
void
raft_conf_at(struct raft *r, uint64_t index, struct raft_conf_set *c)
{
	uint64_t i;

	for (i = index; i > r->snap_index; i--) {
		const struct raft_entry *e = raft_log_at(r, i);

		if (e == NULL)
			break;
		if (e->kind == CONTROL__ENTRY_KIND__ENTRY_MEMBERS &&
		    raft_conf_unpack(r, c, i, e->data))
			return;
	}
	if (c != &r->snap_conf)
		raft_conf_copy(
		    r, c, r->snap_conf.index, r->snap_conf.v, r->snap_conf.n);
}

/* Puts the newest member list of the log in force, committed or not. */
void
raft_conf_update(struct raft *r)
{
	raft_conf_at(r, raft_log_last(r), &r->conf);
	raft_peers_build(r);
}

/* Rebuilds the table of peers; what is known about a member is kept. */
void
raft_peers_build(struct raft *r)
{
	struct raft_peer *v = talloc_zero_array(r, struct raft_peer, r->conf.n);
	size_t i;

	if (v == NULL)
		abort();
	for (i = 0; i < r->conf.n; i++) {
		const struct raft_member *m = &r->conf.v[i];
		const struct raft_peer *old = raft_peer_find(r, m->replica);

		if (old != NULL) {
			v[i] = *old;
		} else {
			v[i].next = raft_log_last(r) + 1;
			v[i].heard = r->now;
		}
		v[i].replica = m->replica;
		v[i].instance = m->instance;
		v[i].voter = m->voter;
		if (m->replica == r->self)
			r->self_instance = m->instance;
	}
	talloc_free(r->peers);
	r->peers = v;
	r->npeers = r->conf.n;
}

/*
 * A change may start when the one before is committed, and an entry of the
 * own term too: else two majorities without a common replica are possible.
 */
static enum status
change_allowed(const struct raft *r)
{
	if (r->role != RAFT_LEADER)
		return STATUS_NOT_LEADER;
	if (r->transfer_to != 0)
		return STATUS_UNAVAILABLE;
	if (r->commit < r->term_start || r->conf.index > r->commit)
		return STATUS_FULL;
	return STATUS_OK;
}

static void
propose_conf(struct raft *r, const struct raft_member *v, size_t n)
{
	raft_log_append(r, r->term, CONTROL__ENTRY_KIND__ENTRY_MEMBERS,
	    raft_conf_pack(r, v, n));
}

/* Adds a replica as a learner; STATUS_EXISTS if it is a member. */
enum status
raft_member_add(struct raft *r, const struct raft_member *m)
{
	enum status st = change_allowed(r);
	struct raft_member *v;
	size_t n = r->conf.n;

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
	memcpy(v, r->conf.v, n * sizeof(*v));
	v[n] = *m;
	v[n].voter = false;
	propose_conf(r, v, n + 1);
	return STATUS_OK;
}

/* Tells whether a member has answered this leader lately. */
static bool
answers(const struct raft *r, uint64_t replica)
{
	const struct raft_peer *p = raft_peer_find(r, replica);

	return replica == r->self ||
	    (p->match > 0 &&
		clk_diff_ms(r->now, p->heard) < RAFT_ELECTION_MIN_MS);
}

/*
 * Removes a member. STATUS_NOT_FOUND if it is none, STATUS_REFUSED for the
 * last voter, STATUS_UNAVAILABLE if the remaining voters that answer are no
 * majority: the change could never be committed, and no other one either.
 */
enum status
raft_member_remove(struct raft *r, uint64_t replica)
{
	const struct raft_peer *p = raft_peer_find(r, replica);
	enum status st = change_allowed(r);
	struct raft_member *v;
	size_t i, n = 0, voters = 0, alive = 0;

	if (st == STATUS_NOT_LEADER)
		return st;
	if (p == NULL)
		return STATUS_NOT_FOUND;
	if (st != STATUS_OK)
		return st;
	v = talloc_array(r->scratch, struct raft_member, r->conf.n);
	if (v == NULL)
		abort();
	for (i = 0; i < r->conf.n; i++) {
		if (r->conf.v[i].replica == replica)
			continue;
		v[n++] = r->conf.v[i];
		voters += r->conf.v[i].voter;
		alive += r->conf.v[i].voter && answers(r, r->conf.v[i].replica);
	}
	if (voters == 0)
		return STATUS_REFUSED;
	if (alive < voters / 2 + 1)
		return STATUS_UNAVAILABLE;
	propose_conf(r, v, n);
	return STATUS_OK;
}

static uint64_t
predecessor(const struct raft *r, const struct raft_peer *p)
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

/*
 * Promotes a learner that has all that was committed at the last heartbeat.
 * A member on the same instance is one that lost its disk; it is removed
 * first, so that it does not count towards the majority as a dead voter.
 */
void
raft_promote(struct raft *r)
{
	struct raft_member *v;
	size_t i;

	if (change_allowed(r) != STATUS_OK)
		return;
	for (i = 0; i < r->npeers; i++) {
		const struct raft_peer *p = &r->peers[i];
		uint64_t old;

		if (p->voter || p->flow != FLOW_REPLICATE ||
		    p->match < r->commit_at_beat ||
		    clk_diff_ms(r->now, p->heard) >= RAFT_ELECTION_MIN_MS)
			continue;
		old = predecessor(r, p);
		if (old != 0) {
			raft_member_remove(r, old);
			return;
		}
		v = talloc_memdup(
		    r->scratch, r->conf.v, r->conf.n * sizeof(*v));
		if (v == NULL)
			abort();
		v[i].voter = true;
		propose_conf(r, v, r->conf.n);
		return;
	}
}

/*
 * Starts handing leadership over to the voter with the longest log. New
 * proposals are refused until it is over. STATUS_UNAVAILABLE if no other
 * voter answers.
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
		    clk_diff_ms(r->now, p->heard) < RAFT_ELECTION_MIN_MS &&
		    (best == NULL || p->match > best->match))
			best = p;
	}
	if (best == NULL)
		return STATUS_UNAVAILABLE;
	r->transfer_to = best->replica;
	r->transfer_until = clk_add_ms(r->now, RAFT_ELECTION_MIN_MS);
	r->transfer_sent = false;
	return STATUS_OK;
}

/* Tells the target to stand for election once it has the whole log. */
void
raft_transfer_check(struct raft *r)
{
	const struct raft_peer *p;

	if (r->transfer_to == 0)
		return;
	p = raft_peer_find(r, r->transfer_to);
	if (p == NULL || !clk_before(r->now, r->transfer_until)) {
		r->transfer_to = 0;
		return;
	}
	if (p->match < raft_log_last(r) || r->transfer_sent)
		return;
	/* The target's election ignores that the leader lives, so the lease
	 * proves nothing from here on. */
	r->lease_void = true;
	r->transfer_sent = true;
	raft_send(r,
	    raft_msg_new(r, CONTROL__RAFT_KIND__RAFT_TIMEOUT_NOW, p->replica),
	    p->instance);
}
