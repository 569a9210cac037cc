#include "control/raft.h"

#include <stdlib.h>
#include <string.h>

#include "base/vec.h"
#include "control/raft_priv.h"

/* Grows an array of n elements to hold one more; capacities are powers of 2. */
void *
raft_grow(TALLOC_CTX *ctx, void *v, size_t size, size_t n)
{
	if (v != NULL && (n & (n - 1)) != 0)
		return v;
	v = talloc_realloc_size(ctx, v, size * (n == 0 ? 1 : n * 2));
	if (v == NULL)
		abort();
	return v;
}

/* Appends an empty action to the output of this step. */
struct raft_act *
raft_act_add(struct raft *r, enum raft_act_kind kind)
{
	struct raft_acts *out = r->acts;
	struct raft_act *a;

	out->v = vec_grow(out->v, out->n, &out->cap, sizeof(*out->v));
	a = &out->v[out->n++];
	memset(a, 0, sizeof(*a));
	a->kind = kind;
	return a;
}

/* Starts a message of the current term; it lives until the next step. */
Control__RaftMsg *
raft_msg_new(struct raft *r, Control__RaftKind kind, uint64_t to)
{
	Control__RaftMsg *m = talloc(r->scratch, Control__RaftMsg);

	if (m == NULL)
		abort();
	control__raft_msg__init(m);
	m->kind = kind;
	m->term = r->term;
	m->from = r->self;
	m->to = to;
	/* Kept after the own removal: a leader then still leads until the
	 * removal is committed, and has to be answered. */
	m->has_instance = r->self_instance != 0;
	m->instance = r->self_instance;
	return m;
}

/* Gives a message out at once; one to an unknown instance is dropped. */
void
raft_send(struct raft *r, Control__RaftMsg *m, uint32_t instance)
{
	struct raft_act *a;

	if (instance == 0)
		return;
	a = raft_act_add(r, RAFT_ACT_SEND);
	a->u.send.instance = instance;
	a->u.send.msg = m;
}

/* Holds a message back until all writes up to this step are on disk. */
void
raft_send_synced(struct raft *r, Control__RaftMsg *m, uint32_t instance)
{
	struct raft_deferred *d;

	r->deferred = raft_grow(r, r->deferred, sizeof(*d), r->ndeferred);
	d = &r->deferred[r->ndeferred++];
	d->seq = RAFT_SEQ_THIS_STEP;
	d->instance = instance;
	d->msg = *m;
}

/* Returns the instance of a message's sender, 0 if it cannot be known. */
uint32_t
raft_instance_of(const struct raft *r, const Control__RaftMsg *m)
{
	const struct raft_peer *p;

	if (m->has_instance)
		return m->instance;
	p = raft_peer_find(r, m->from);
	return p == NULL ? 0 : p->instance;
}

/*
 * Creates a replica from the state on disk; all of it is copied. The sole
 * voter of a group stands for election at once.
 */
struct raft *
raft_new(TALLOC_CTX *ctx, const struct raft_conf *c, struct timespec now)
{
	struct raft *r = talloc_zero(ctx, struct raft);
	const struct raft_peer *self;
	size_t i;

	if (r == NULL)
		abort();
	r->scratch = talloc_new(r);
	r->self = c->replica;
	rng_init(&r->rng, c->seed);
	r->term = c->term;
	r->voted_for = c->voted_for;
	r->now = now;
	/* A leader may rely on this replica's last answer before a restart. */
	r->heard_leader = now;
	r->base_index = r->snap_index = c->snap_index;
	r->base_term = r->snap_term = c->snap_term;
	r->commit = r->applied = c->snap_index;
	if (c->snap_data.p != NULL)
		r->snap_data = str_dup(r, c->snap_data);
	raft_conf_copy(
	    r, &r->snap_conf, c->snap_index, c->members, c->nmembers);
	raft_conf_update(r);
	for (i = 0; i < c->nentries; i++)
		raft_log_append(r, c->entries[i].term, c->entries[i].kind,
		    c->entries[i].data);
	r->append_from = 0;
	r->durable = raft_log_last(r);
	raft_set_election_timer(r, false);
	self = raft_self(r);
	if (self != NULL && self->voter && raft_quorum(r) == 1)
		r->election_at = now;
	r->told_term = r->term;
	talloc_free_children(r->scratch);
	return r;
}

static void
tick(struct raft *r)
{
	const struct raft_peer *self = raft_self(r);

	if (r->role == RAFT_LEADER) {
		if (clk_before(r->now, r->heartbeat_at))
			return;
		if (raft_quorum_heard(r))
			raft_broadcast(r);
		else
			raft_become_follower(r, r->term, 0, 0);
		return;
	}
	if (clk_before(r->now, r->election_at))
		return;
	if (self != NULL && self->voter && !r->loading) {
		raft_pre_campaign(r);
		return;
	}
	r->leader = 0;
	r->leader_instance = 0;
	raft_set_election_timer(r, false);
}

static bool
from_leader(Control__RaftKind kind)
{
	return kind == CONTROL__RAFT_KIND__RAFT_APPEND ||
	    kind == CONTROL__RAFT_KIND__RAFT_SNAPSHOT_CHUNK;
}

/* Answers a message of an older term, so that its sender learns the term. */
static void
reply_stale(struct raft *r, const Control__RaftMsg *m)
{
	Control__RaftKind kind;
	Control__RaftMsg *a;

	if (from_leader(m->kind))
		kind = CONTROL__RAFT_KIND__RAFT_APPEND_REPLY;
	else if (m->kind == CONTROL__RAFT_KIND__RAFT_VOTE)
		kind = CONTROL__RAFT_KIND__RAFT_VOTE_REPLY;
	else
		return;
	a = raft_msg_new(r, kind, m->from);
	a->has_ok = 1;
	raft_send(r, a, raft_instance_of(r, m));
}

/* Compares terms; false if the message is to be ignored. */
static bool
check_term(struct raft *r, const Control__RaftMsg *m)
{
	if (m->kind == CONTROL__RAFT_KIND__RAFT_PREVOTE ||
	    (m->kind == CONTROL__RAFT_KIND__RAFT_PREVOTE_REPLY && m->ok))
		return true;
	if (m->term < r->term) {
		reply_stale(r, m);
		return false;
	}
	if (m->kind == CONTROL__RAFT_KIND__RAFT_VOTE && m->term > r->term &&
	    raft_heard_leader(r) && !m->transfer)
		return false;
	if (m->term > r->term)
		raft_become_follower(r, m->term, 0, 0);
	if (!from_leader(m->kind))
		return true;
	if (r->role == RAFT_LEADER)
		return false; /* two leaders of a term: never acted upon */
	if (r->role != RAFT_FOLLOWER || r->leader != m->from)
		raft_become_follower(
		    r, m->term, m->from, raft_instance_of(r, m));
	r->heard_leader = r->now;
	raft_set_election_timer(r, false);
	return true;
}

static enum status
on_msg(struct raft *r, const Control__RaftMsg *m)
{
	const struct raft_peer *self = raft_self(r);

	if (m->to != r->self || m->from == r->self)
		return STATUS_REFUSED;
	if (!check_term(r, m))
		return STATUS_STALE;
	switch (m->kind) {
	case CONTROL__RAFT_KIND__RAFT_PREVOTE:
		raft_on_prevote(r, m);
		return STATUS_OK;
	case CONTROL__RAFT_KIND__RAFT_PREVOTE_REPLY:
		raft_on_vote_reply(r, m, true);
		return STATUS_OK;
	case CONTROL__RAFT_KIND__RAFT_VOTE:
		raft_on_vote(r, m);
		return STATUS_OK;
	case CONTROL__RAFT_KIND__RAFT_VOTE_REPLY:
		raft_on_vote_reply(r, m, false);
		return STATUS_OK;
	case CONTROL__RAFT_KIND__RAFT_APPEND:
		raft_on_append(r, m);
		return STATUS_OK;
	case CONTROL__RAFT_KIND__RAFT_APPEND_REPLY:
		raft_on_append_reply(r, m);
		return STATUS_OK;
	case CONTROL__RAFT_KIND__RAFT_SNAPSHOT_CHUNK:
		raft_on_chunk(r, m);
		return STATUS_OK;
	case CONTROL__RAFT_KIND__RAFT_SNAPSHOT_REPLY:
		raft_on_chunk_reply(r, m);
		return STATUS_OK;
	case CONTROL__RAFT_KIND__RAFT_TIMEOUT_NOW:
		if (r->role == RAFT_FOLLOWER && r->leader == m->from &&
		    self != NULL && self->voter && !r->loading)
			raft_campaign(r, true);
		return STATUS_OK;
	default:
		return STATUS_PROTOCOL;
	}
}

static enum status
propose(struct raft *r, const struct str *data, size_t n)
{
	size_t i;

	if (r->role != RAFT_LEADER)
		return STATUS_NOT_LEADER;
	if (r->transfer_to != 0)
		return STATUS_UNAVAILABLE;
	for (i = 0; i < n; i++) {
		if (data[i].len > RAFT_WINDOW_BYTES)
			return STATUS_LIMIT;
	}
	if (r->uncommitted_bytes > RAFT_UNCOMMITTED_BYTES)
		return STATUS_FULL;
	for (i = 0; i < n; i++)
		raft_log_append(
		    r, r->term, CONTROL__ENTRY_KIND__ENTRY_DATA, data[i]);
	return STATUS_OK;
}

static enum status
synced(struct raft *r, uint64_t seq)
{
	size_t i, k = 0;

	if (seq > r->persist_seq)
		return STATUS_INVALID;
	if (seq > r->synced_seq)
		r->synced_seq = seq;
	for (i = 0; i < r->nsyncs; i++) {
		if (r->syncs[i].seq > seq) {
			r->syncs[k++] = r->syncs[i];
			continue;
		}
		if (r->syncs[i].last > r->durable)
			r->durable = r->syncs[i].last;
	}
	r->nsyncs = k;
	raft_own_vote_synced(r);
	return STATUS_OK;
}

/* Gives out one PERSIST for all that this step changed. */
static void
flush_persist(struct raft *r)
{
	uint64_t last = raft_log_last(r);
	struct raft_act *a;
	struct raft_sync *s;

	if (!r->hard_dirty && !r->cut && r->append_from == 0)
		return;
	a = raft_act_add(r, RAFT_ACT_PERSIST);
	a->u.persist.seq = ++r->persist_seq;
	a->u.persist.term = r->term;
	a->u.persist.voted_for = r->voted_for;
	a->u.persist.truncate_from = r->cut ? r->cut_from : 0;
	if (r->append_from != 0)
		a->u.persist.entries =
		    raft_log_copy(r, r->append_from, last, &a->u.persist.n);
	r->syncs = raft_grow(r, r->syncs, sizeof(*s), r->nsyncs);
	s = &r->syncs[r->nsyncs++];
	s->seq = r->persist_seq;
	s->last = last;
	if (r->hard_dirty)
		r->hard_seq = r->persist_seq;
	r->hard_dirty = r->cut = false;
	r->append_from = 0;
}

static void
release_deferred(struct raft *r)
{
	size_t i, k = 0;

	for (i = 0; i < r->ndeferred; i++) {
		struct raft_deferred *d = &r->deferred[i];
		Control__RaftMsg *m;

		if (d->seq == RAFT_SEQ_THIS_STEP)
			d->seq = r->persist_seq;
		if (d->seq > r->synced_seq) {
			r->deferred[k++] = *d;
			continue;
		}
		m = talloc_memdup(r->scratch, &d->msg, sizeof(d->msg));
		if (m == NULL)
			abort();
		raft_send(r, m, d->instance);
	}
	r->ndeferred = k;
}

static void
tell_role(struct raft *r)
{
	struct raft_act *a;

	if (r->role == r->told_role && r->term == r->told_term &&
	    r->leader == r->told_leader)
		return;
	r->told_role = r->role;
	r->told_term = r->term;
	r->told_leader = r->leader;
	a = raft_act_add(r, RAFT_ACT_ROLE);
	a->u.role.role = r->role;
	a->u.role.term = r->term;
	a->u.role.leader = r->leader;
	a->u.role.leader_instance = r->leader_instance;
}

static void
finish_leader(struct raft *r)
{
	struct raft_peer *self = raft_self(r);

	if (self != NULL) {
		self->match = r->durable;
		self->acked_round = r->round;
	}
	raft_advance_commit(r);
	raft_promote(r);
	raft_transfer_check(r);
	raft_replicate(r);
	self = raft_self(r);
	if (r->conf.index <= r->commit && (self == NULL || !self->voter)) {
		raft_broadcast(r); /* tells the others that it is committed */
		raft_become_follower(r, r->term, 0, 0);
	}
}

/*
 * Handles one event at time now and appends the resulting actions, which the
 * caller carries out in order: entries are given to be persisted before they
 * are given to be applied, and applied before a CONFIRMED that relies on
 * them. Fails without any change with STATUS_NOT_LEADER, STATUS_UNAVAILABLE
 * (leadership is being transferred), STATUS_FULL, STATUS_LIMIT (record too
 * large) or the codes of the membership functions; messages that were ignored
 * give STATUS_STALE, STATUS_REFUSED or STATUS_PROTOCOL.
 */
enum status
raft_step(struct raft *r, struct timespec now, const struct raft_ev *ev,
    struct raft_acts *acts)
{
	enum status st = STATUS_OK;

	talloc_free_children(r->scratch);
	r->now = now;
	r->acts = acts;
	r->proposing = ev->kind == RAFT_EV_PROPOSE;
	switch (ev->kind) {
	case RAFT_EV_TICK:
		tick(r);
		break;
	case RAFT_EV_MSG:
		st = on_msg(r, ev->u.msg);
		break;
	case RAFT_EV_SYNCED:
		st = synced(r, ev->u.synced);
		break;
	case RAFT_EV_PROPOSE:
		st = propose(r, ev->u.propose.data, ev->u.propose.n);
		break;
	case RAFT_EV_MEMBER_ADD:
		st = raft_member_add(r, &ev->u.member);
		break;
	case RAFT_EV_MEMBER_REMOVE:
		st = raft_member_remove(r, ev->u.member.replica);
		break;
	case RAFT_EV_TRANSFER:
		st = raft_transfer(r);
		break;
	case RAFT_EV_CONFIRM:
		if (r->role == RAFT_LEADER)
			raft_start_confirm(r, ev->u.confirm);
		else
			st = STATUS_NOT_LEADER;
		break;
	case RAFT_EV_SNAPSHOT_TAKEN:
		st = raft_snapshot_taken(r, ev->u.snapshot.index,
		    ev->u.snapshot.term, ev->u.snapshot.data);
		break;
	case RAFT_EV_SNAPSHOT_LOADED:
		st = raft_snapshot_loaded(r);
		break;
	}
	if (r->role == RAFT_LEADER)
		finish_leader(r);
	flush_persist(r);
	raft_deliver(r);
	if (r->role == RAFT_LEADER)
		raft_answer_confirms(r, false);
	if (r->vote_seq == RAFT_SEQ_THIS_STEP)
		r->vote_seq = r->persist_seq;
	release_deferred(r);
	tell_role(r);
	r->acts = NULL;
	return st;
}

/* Returns when the next TICK has something to do. */
struct timespec
raft_deadline(const struct raft *r)
{
	return r->role == RAFT_LEADER ? r->heartbeat_at : r->election_at;
}

/* Returns the current role. */
enum raft_role
raft_role(const struct raft *r)
{
	return r->role;
}

/* Returns the current term. */
uint64_t
raft_term(const struct raft *r)
{
	return r->term;
}

/* Returns the highest index known to be committed. */
uint64_t
raft_commit_index(const struct raft *r)
{
	return r->commit;
}

/* Returns the index of the last entry. */
uint64_t
raft_last_index(const struct raft *r)
{
	return raft_log_last(r);
}

/* Returns the instance of the known leader, 0 if there is none. */
uint32_t
raft_leader_instance(const struct raft *r)
{
	return r->leader_instance;
}

/* Returns the member list in force; it is valid until the next step. */
size_t
raft_members(const struct raft *r, const struct raft_member **v)
{
	*v = r->conf.v;
	return r->conf.n;
}

/* Returns the size of the entries after the snapshot. */
size_t
raft_log_bytes(const struct raft *r)
{
	return r->log_bytes;
}

/* Returns the number of entries after the snapshot. */
uint64_t
raft_log_entries(const struct raft *r)
{
	return raft_log_last(r) - r->snap_index;
}
