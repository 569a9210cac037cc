#include "control/raft.h"

#include <stdlib.h>
#include <string.h>

#include "base/vec.h"
#include "control/raft_priv.h"

/*
 * Grows an array of n elements so that one more fits. Capacities are powers of
 * two, so the array is full when n is 0 or a power of two. Aborts when memory
 * runs out.
 */
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

/* Appends a zeroed action to the output of the current step. */
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

/* Creates a message of the current term; it is valid until the next step. */
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
	/* A leader that removes itself leads until the removal is committed,
	 * so its followers need its instance for their replies until then. */
	m->has_instance = r->self_instance != 0;
	m->instance = r->self_instance;
	return m;
}

/* Sends a message in this step; drops it if the instance is unknown (0). */
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

/* Sends a message once all writes up to and including this step are synced. */
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

/* Returns the instance of a message's sender, or 0 if it is unknown. */
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
 * Creates a replica from the state on disk, which is copied. The only voter
 * of a group starts an election at the first tick.
 */
struct raft *
raft_new(
    TALLOC_CTX *ctx, const struct raft_initial_state *c, struct timespec now)
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
	r->now = r->running_since = now;
	/* The leader's lease may rest on a reply sent before this restart. */
	r->leader_contact_at = now;
	r->up_to_date_at = r->resumed_at =
	    clk_add_ms(now, -RAFT_ELECTION_MIN_MS);
	r->base_index = r->snap_index = c->snap_index;
	r->base_term = r->snap_term = c->snap_term;
	r->commit = r->applied = c->snap_index;
	r->voters_needed = c->voters_needed;
	if (c->snap_data.p != NULL)
		r->snap_data = str_dup(r, c->snap_data);
	raft_member_list_copy(
	    r, &r->snap_members, c->snap_index, c->members, c->nmembers);
	raft_member_list_update(r);
	for (i = 0; i < c->nentries; i++)
		raft_log_append(r, c->entries[i].term, c->entries[i].kind,
		    c->entries[i].data);
	r->unpersisted_from = 0;
	r->durable = raft_log_last(r);
	raft_set_election_timer(r, false);
	self = raft_self(r);
	if (self != NULL && self->voter && raft_quorum(r) == 1)
		r->election_at = now;
	r->reported_term = r->term;
	talloc_free_children(r->scratch);
	return r;
}

/*
 * Sends heartbeats, steps down without a quorum, or starts an election when
 * due.
 */
static void
handle_tick(struct raft *r)
{
	const struct raft_peer *self = raft_self(r);

	if (r->role == RAFT_LEADER) {
		if (clk_before(r->now, r->heartbeat_at))
			return;
		if (raft_quorum_is_recent(r))
			raft_broadcast(r);
		else
			raft_become_follower(r, r->term, 0, 0);
		return;
	}
	if (clk_before(r->now, r->election_at))
		return;
	if (self != NULL && self->voter && !r->loading) {
		if (r->role == RAFT_CANDIDATE &&
		    clk_before(r->now, r->campaign_until))
			raft_ask_again(r);
		else
			raft_pre_campaign(r);
		return;
	}
	r->leader = 0;
	r->leader_instance = 0;
	raft_set_election_timer(r, false);
}

/* Returns whether only the leader of a term sends this kind of message. */
static bool
is_from_leader(Control__RaftKind kind)
{
	return kind == CONTROL__RAFT_KIND__RAFT_APPEND ||
	    kind == CONTROL__RAFT_KIND__RAFT_SNAPSHOT_CHUNK;
}

/* Rejects a message of an older term, so that its sender learns the new one. */
static void
reply_stale(struct raft *r, const Control__RaftMsg *m)
{
	Control__RaftKind kind;
	Control__RaftMsg *a;

	if (is_from_leader(m->kind))
		kind = CONTROL__RAFT_KIND__RAFT_APPEND_REPLY;
	else if (m->kind == CONTROL__RAFT_KIND__RAFT_VOTE)
		kind = CONTROL__RAFT_KIND__RAFT_VOTE_REPLY;
	else
		return;
	a = raft_msg_new(r, kind, m->from);
	a->has_ok = 1;
	raft_send(r, a, raft_instance_of(r, m));
}

/*
 * Compares the term of a message with the current one. Steps down if it is
 * newer, and records the contact if the message comes from the leader.
 * Returns false if the message has to be ignored.
 */
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
	    raft_leader_is_recent(r) && !m->transfer)
		return false;
	if (m->term > r->term)
		raft_become_follower(r, m->term, 0, 0);
	if (!is_from_leader(m->kind))
		return true;
	if (r->role == RAFT_LEADER)
		return false; /* a second leader of this term is ignored */
	/* This process may have been paused, and messages of before then are
	 * read now. */
	if (r->role != RAFT_FOLLOWER ||
	    (r->leader != 0 && !clk_before(r->now, r->election_at)))
		r->resumed_at = r->now;
	if (r->role != RAFT_FOLLOWER || r->leader != m->from)
		raft_become_follower(
		    r, m->term, m->from, raft_instance_of(r, m));
	r->leader_contact_at = r->now;
	raft_set_election_timer(r, false);
	return true;
}

/*
 * Emits a ROLE action if role, term or leader differ from those last reported.
 */
static void
emit_role_change(struct raft *r)
{
	struct raft_act *a;

	if (r->role == r->reported_role && r->term == r->reported_term &&
	    r->leader == r->reported_leader)
		return;
	r->reported_role = r->role;
	r->reported_term = r->term;
	r->reported_leader = r->leader;
	a = raft_act_add(r, RAFT_ACT_ROLE);
	a->u.role.role = r->role;
	a->u.role.term = r->term;
	a->u.role.leader = r->leader;
	a->u.role.leader_instance = r->leader_instance;
}

/*
 * Dispatches a message by its kind. Returns STATUS_REFUSED if it is addressed
 * to another replica or comes from this one, STATUS_STALE if its term makes it
 * void, STATUS_PROTOCOL for an unknown kind.
 */
static enum status
handle_msg(struct raft *r, const Control__RaftMsg *m)
{
	const struct raft_peer *self = raft_self(r);

	if (m->to != r->self || m->from == r->self)
		return STATUS_REFUSED;
	if (!check_term(r, m))
		return STATUS_STALE;
	/* A replaced leader has to stop before it gets what the next one has
	 * committed, or its snapshot. */
	if (r->term != r->reported_term)
		emit_role_change(r);
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

/* Appends n records to the log of the leader. */
static enum status
handle_propose(struct raft *r, const struct str *data, size_t n)
{
	size_t i;

	if (r->role != RAFT_LEADER)
		return STATUS_NOT_LEADER;
	if (r->transfer_target != 0)
		return STATUS_UNAVAILABLE;
	for (i = 0; i < n; i++) {
		if (data[i].len > RAFT_INFLIGHT_BYTES_MAX)
			return STATUS_LIMIT;
	}
	if (r->uncommitted_bytes > RAFT_UNCOMMITTED_BYTES_MAX)
		return STATUS_FULL;
	for (i = 0; i < n; i++)
		raft_log_append(
		    r, r->term, CONTROL__ENTRY_KIND__ENTRY_DATA, data[i]);
	return STATUS_OK;
}

/*
 * Records that all PERSIST actions up to seq are on disk. Returns
 * STATUS_INVALID for a sequence number that was not issued yet.
 */
static enum status
handle_synced(struct raft *r, uint64_t seq)
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
	raft_count_own_vote(r);
	return STATUS_OK;
}

/* Emits one PERSIST action for everything that this step changed. */
static void
emit_persist(struct raft *r)
{
	uint64_t last = raft_log_last(r);
	struct raft_act *a;
	struct raft_pending_sync *s;

	if (!r->hard_state_dirty && !r->truncated && r->unpersisted_from == 0)
		return;
	a = raft_act_add(r, RAFT_ACT_PERSIST);
	a->u.persist.seq = ++r->persist_seq;
	a->u.persist.term = r->term;
	a->u.persist.voted_for = r->voted_for;
	a->u.persist.truncate_from = r->truncated ? r->truncate_from : 0;
	if (r->unpersisted_from != 0)
		a->u.persist.entries = raft_log_copy(
		    r, r->unpersisted_from, last, &a->u.persist.n);
	r->syncs = raft_grow(r, r->syncs, sizeof(*s), r->nsyncs);
	s = &r->syncs[r->nsyncs++];
	s->seq = r->persist_seq;
	s->last = last;
	if (r->hard_state_dirty)
		r->hard_state_seq = r->persist_seq;
	r->hard_state_dirty = r->truncated = false;
	r->unpersisted_from = 0;
}

/* Sends the deferred messages whose PERSIST action is synced. */
static void
send_durable_deferred(struct raft *r)
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

/*
 * Does the leader's work after each event: advances the commit index, promotes
 * learners, continues a transfer and replicates. Steps down once its own
 * removal, or demotion, is committed.
 */
static void
finish_leader_step(struct raft *r)
{
	struct raft_peer *self = raft_self(r);

	if (self != NULL) {
		self->match = r->durable;
		self->acked_round = r->round;
	}
	raft_advance_commit(r);
	raft_update_voters(r);
	raft_transfer_check(r);
	raft_replicate(r);
	self = raft_self(r);
	if (r->members.index <= r->commit && (self == NULL || !self->voter)) {
		raft_broadcast(r); /* announces the new commit index */
		raft_become_follower(r, r->term, 0, 0);
	}
}

/*
 * Handles one event at time now and appends the resulting actions, which the
 * caller has to carry out in order: the PERSIST of an entry comes before its
 * COMMIT, and that before a LEADERSHIP_CONFIRMED that relies on it; the ROLE of
 * a newer term comes before what its leader has committed. Leaves the state
 * unchanged on STATUS_NOT_LEADER, STATUS_UNAVAILABLE (leadership is being
 * transferred), STATUS_FULL, STATUS_LIMIT (record too large) and the errors
 * of the membership functions. Returns STATUS_STALE, STATUS_REFUSED or
 * STATUS_PROTOCOL for a message that was ignored.
 */
enum status
raft_step(struct raft *r, struct timespec now, const struct raft_ev *ev,
    struct raft_acts *acts)
{
	enum status st = STATUS_OK;

	talloc_free_children(r->scratch);
	if (clk_diff_ms(now, raft_next_tick(r)) > RAFT_PAUSE_MS)
		r->running_since = now;
	r->now = now;
	r->acts = acts;
	r->proposing = ev->kind == RAFT_EV_PROPOSE;
	switch (ev->kind) {
	case RAFT_EV_TICK:
		handle_tick(r);
		break;
	case RAFT_EV_MSG:
		st = handle_msg(r, ev->u.msg);
		break;
	case RAFT_EV_SYNCED:
		st = handle_synced(r, ev->u.synced);
		break;
	case RAFT_EV_PROPOSE:
		st = handle_propose(r, ev->u.propose.data, ev->u.propose.n);
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
	case RAFT_EV_CONFIRM_LEADERSHIP:
		if (r->role == RAFT_LEADER)
			raft_start_confirm(r, ev->u.confirm);
		else
			st = STATUS_NOT_LEADER;
		break;
	case RAFT_EV_SNAPSHOT_TAKEN:
		st = raft_snapshot_taken(r, ev->u.snapshot.index,
		    ev->u.snapshot.term, ev->u.snapshot.data,
		    ev->u.snapshot.is_given);
		break;
	case RAFT_EV_SNAPSHOT_LOADED:
		st = raft_snapshot_loaded(r);
		break;
	}
	if (r->role == RAFT_LEADER)
		finish_leader_step(r);
	emit_persist(r);
	raft_emit_committed(r);
	if (r->role == RAFT_LEADER)
		raft_answer_confirms(r, false);
	if (r->vote_seq == RAFT_SEQ_THIS_STEP)
		r->vote_seq = r->persist_seq;
	send_durable_deferred(r);
	emit_role_change(r);
	r->acts = NULL;
	return st;
}

/* Returns the time at which the next TICK event is due. */
struct timespec
raft_next_tick(const struct raft *r)
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

/*
 * Returns whether this follower has heard from the leader within the minimum
 * election timeout, and had all that was committed then. A member that was
 * removed, or is far behind, isn't up to date.
 */
bool
raft_is_up_to_date(const struct raft *r, struct timespec now)
{
	return r->role == RAFT_FOLLOWER && r->leader != 0 && !r->loading &&
	    clk_diff_ms(now, r->up_to_date_at) < RAFT_ELECTION_MIN_MS;
}

/* Returns the highest log index known to be committed. */
uint64_t
raft_commit_index(const struct raft *r)
{
	return r->commit;
}

/* Returns the index of the last log entry, committed or not. */
uint64_t
raft_last_index(const struct raft *r)
{
	return raft_log_last(r);
}

/* Returns the instance of the leader, or 0 if it is unknown. */
uint32_t
raft_leader_instance(const struct raft *r)
{
	return r->leader_instance;
}

/*
 * Points *v at the member list in force, which is valid until the next step,
 * and returns its length.
 */
size_t
raft_members(const struct raft *r, const struct raft_member **v)
{
	*v = r->members.v;
	return r->members.n;
}

/* Returns the size in bytes of the log entries after the snapshot. */
size_t
raft_log_bytes(const struct raft *r)
{
	return r->log_bytes;
}

/* Returns the number of log entries after the snapshot. */
uint64_t
raft_log_entries(const struct raft *r)
{
	return raft_log_last(r) - r->snap_index;
}
