#include "control/raft_priv.h"

#include <stdlib.h>
#include <string.h>

/*
 * Sends the next chunk of the snapshot. The last one also carries the member
 * list, as an entry.
 */
void
raft_send_chunk(struct raft *r, struct raft_peer *p)
{
	Control__RaftMsg *m;
	size_t len = r->snap_data.len, n;

	/* The data of this snapshot is not in memory: the follower has to
	 * wait for the next one that is taken. */
	if (r->snap_data.p == NULL)
		return;
	m = raft_msg_new(
	    r, CONTROL__RAFT_KIND__RAFT_SNAPSHOT_CHUNK, p->replica);
	if (p->snap_index != r->snap_index) {
		p->snap_index = r->snap_index;
		p->snap_offset = 0;
	}
	n = len - p->snap_offset;
	if (n > RAFT_SNAPSHOT_CHUNK_BYTES)
		n = RAFT_SNAPSHOT_CHUNK_BYTES;
	m->has_index = m->has_log_term = m->has_round = 1;
	m->index = r->snap_index;
	m->log_term = r->snap_term;
	m->round = r->round;
	m->has_offset = m->has_chunk = m->has_last = 1;
	m->offset = p->snap_offset;
	m->chunk.len = n;
	m->chunk.data = (uint8_t *)(uintptr_t)r->snap_data.p + p->snap_offset;
	m->last = p->snap_offset + n == len;
	if (m->last) {
		Control__Entry *e = talloc(r->scratch, Control__Entry);
		struct str conf = raft_member_list_pack(
		    r, r->snap_members.v, r->snap_members.n);

		m->entries = talloc_array(r->scratch, Control__Entry *, 1);
		if (e == NULL || m->entries == NULL)
			abort();
		control__entry__init(e);
		e->index = r->snap_index;
		e->term = r->snap_term;
		e->kind = CONTROL__ENTRY_KIND__ENTRY_MEMBERS;
		e->has_data = 1;
		e->data.data = (uint8_t *)(uintptr_t)conf.p;
		e->data.len = conf.len;
		m->entries[0] = e;
		m->n_entries = 1;
	}
	raft_send(r, m, p->instance);
}

/*
 * Answers a chunk with the offset expected next, or, if done is set, with the
 * acknowledgement that this replica has all entries of the snapshot.
 */
static void
reply_chunk(
    struct raft *r, const Control__RaftMsg *m, uint64_t offset, bool done)
{
	Control__RaftMsg *a =
	    raft_msg_new(r, CONTROL__RAFT_KIND__RAFT_SNAPSHOT_REPLY, m->from);

	a->has_index = a->has_offset = a->has_ok = a->has_round = 1;
	a->index = m->index;
	a->offset = offset;
	a->ok = done;
	a->round = m->round;
	if (done)
		raft_send_synced(r, a, raft_instance_of(r, m));
	else
		raft_send(r, a, raft_instance_of(r, m));
}

/* Emits a LOAD_SNAPSHOT action for the complete snapshot. */
static void
load_received_snapshot(struct raft *r, const Control__RaftMsg *m)
{
	struct raft_member_list conf = { 0 };
	struct raft_act *a;

	if (m->n_entries != 1 ||
	    !raft_member_list_unpack(r, &conf, m->index,
		str_mem(m->entries[0]->data.data, m->entries[0]->data.len)))
		return;
	r->loading = true;
	talloc_free(r->snap_members.v);
	r->snap_members = conf;
	a = raft_act_add(r, RAFT_ACT_LOAD_SNAPSHOT);
	a->u.snapshot.index = r->recv_index;
	a->u.snapshot.term = r->recv_term;
	a->u.snapshot.members = r->snap_members.v;
	a->u.snapshot.nmembers = r->snap_members.n;
	a->u.snapshot.data = str_mem(r->recv, r->recv_len);
}

/*
 * Collects the chunks of a snapshot and loads it with the last one. A snapshot
 * that this log already covers is acknowledged but not loaded, because loading
 * would remove later entries that were acknowledged to the leader.
 */
void
raft_on_chunk(struct raft *r, const Control__RaftMsg *m)
{
	uint64_t term;

	if (r->loading) {
		reply_chunk(r, m, r->recv_len, false);
		return;
	}
	if (m->index <= r->commit) {
		reply_chunk(r, m, 0, true);
		return;
	}
	if (raft_log_term(r, m->index, &term) && term == m->log_term) {
		r->commit = m->index;
		reply_chunk(r, m, 0, true);
		return;
	}
	if (m->index != r->recv_index || m->log_term != r->recv_term) {
		r->recv_index = m->index;
		r->recv_term = m->log_term;
		r->recv_len = 0;
	}
	if (m->offset == r->recv_len) {
		r->recv = talloc_realloc(
		    r, r->recv, uint8_t, r->recv_len + m->chunk.len + 1);
		if (r->recv == NULL)
			abort();
		if (m->chunk.len > 0)
			memcpy(
			    r->recv + r->recv_len, m->chunk.data, m->chunk.len);
		r->recv_len += m->chunk.len;
		if (m->last)
			load_received_snapshot(r, m);
	}
	reply_chunk(r, m, r->recv_len, false);
}

/*
 * Handles a SNAPSHOT_REPLY of the current term on the leader: continues at the
 * offset that the follower asks for, or goes on with entries.
 */
void
raft_on_chunk_reply(struct raft *r, const Control__RaftMsg *m)
{
	struct raft_peer *p = raft_peer_find(r, m->from);

	if (p == NULL || r->role != RAFT_LEADER)
		return;
	p->last_reply_at = r->now;
	if (m->round > p->acked_round && m->round <= r->round)
		p->acked_round = m->round;
	if (p->flow != FLOW_SNAPSHOT)
		return;
	if (m->ok) {
		if (m->index > p->match && m->index <= raft_log_last(r))
			p->match = m->index;
		p->next = p->match + 1;
		p->flow = FLOW_PROBE;
		p->paused = false;
		return;
	}
	if (m->index != p->snap_index || m->offset > r->snap_data.len)
		return;
	/* There is nothing new to send while the follower loads the snapshot.
	 * The next heartbeat sends again. */
	p->paused =
	    m->offset == p->snap_offset || m->offset == r->snap_data.len;
	p->snap_offset = m->offset;
}

/*
 * Records a snapshot that this replica took up to an applied index, and
 * removes the entries it covers. Returns STATUS_INVALID if the index is not
 * applied or term is neither 0 nor its term, STATUS_STALE if there is a newer
 * snapshot or one is being loaded. Data that is given is kept or freed, other
 * data is copied.
 */
enum status
raft_snapshot_taken(
    struct raft *r, uint64_t index, uint64_t term, struct str data, bool given)
{
	void *block = given ? (void *)(uintptr_t)data.p : NULL;
	uint64_t entry_term = 0;

	if (index <= r->snap_index || r->loading) {
		talloc_free(block);
		return STATUS_STALE;
	}
	if (index > r->applied || !raft_log_term(r, index, &entry_term) ||
	    (term != 0 && term != entry_term)) {
		talloc_free(block);
		return STATUS_INVALID;
	}
	raft_member_list_at(r, index, &r->snap_members);
	raft_log_compact(r, index);
	r->snap_index = index;
	r->snap_term = entry_term;
	talloc_free((void *)(uintptr_t)r->snap_data.p);
	talloc_steal(r, block);
	r->snap_data = given ? data : str_dup(r, data);
	return STATUS_OK;
}

/*
 * Replaces the log by the received snapshot, whose state the caller has
 * loaded. Returns STATUS_INVALID if no snapshot is being loaded.
 */
enum status
raft_snapshot_loaded(struct raft *r)
{
	if (!r->loading)
		return STATUS_INVALID;
	r->loading = false;
	raft_log_reset(r, r->recv_index, r->recv_term);
	r->snap_index = r->recv_index;
	r->snap_term = r->recv_term;
	r->commit = r->applied = r->recv_index;
	talloc_free((void *)(uintptr_t)r->snap_data.p);
	r->snap_data = str_mem(r->recv, r->recv_len);
	r->recv = NULL;
	r->recv_len = 0;
	r->recv_index = r->recv_term = 0;
	raft_member_list_update(r);
	return STATUS_OK;
}
