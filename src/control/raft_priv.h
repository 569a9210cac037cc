/* Layout of struct raft, shared by the raft_*.c files only. */
#ifndef CONTROL_RAFT_PRIV_H
#define CONTROL_RAFT_PRIV_H

#include "control/raft.h"

/* Entries in one APPEND; far below the 4 MiB limit of a frame. */
#define RAFT_MSG_BYTES (256 * 1024)
/* APPEND messages in flight per follower; beyond it, proposals share one. */
#define RAFT_FLIGHT_MAX 16
/* Of these, sent from within a PROPOSE. A burst of proposals is sent as one
 * message when the disk has synced or a follower has answered. */
#define RAFT_FLIGHT_EAGER 2
/* Until a failed candidate tries again. The leader is known to be gone then,
 * so the longer timeout that detects this is not needed again. */
#define RAFT_RETRY_MIN_MS 150
#define RAFT_RETRY_MAX_MS 450
/* Proposals are refused with STATUS_FULL above this. */
#define RAFT_UNCOMMITTED_BYTES (8 * 1024 * 1024)
/* Kept behind a snapshot, so that a slightly late follower needs no snapshot.
 */
#define RAFT_KEEP_ENTRIES 512
#define RAFT_KEEP_BYTES	  (256 * 1024)
/* Below RAFT_ELECTION_MIN_MS by more than the 1 % clock-rate bound of both
 * sides: no follower votes for another leader while this lasts. */
#define RAFT_LEASE_MS 900
/* Send times are remembered for this many rounds; covers RAFT_LEASE_MS. */
#define RAFT_ROUNDS 64
/* Work of the current step, whose PERSIST number is not known yet. */
#define RAFT_SEQ_THIS_STEP UINT64_MAX
/* Estimated size of an entry besides its data. */
#define RAFT_ENTRY_OVERHEAD 32

enum raft_flow {
	FLOW_PROBE,	/* one message at a time until the logs agree */
	FLOW_REPLICATE, /* pipelined up to RAFT_WINDOW_BYTES */
	FLOW_SNAPSHOT	/* one chunk at a time */
};

/* What a leader or candidate knows about one member, itself included. */
struct raft_peer {
	uint64_t replica;
	uint32_t instance;
	bool voter;
	enum raft_flow flow;
	uint64_t match; /* highest index on its disk that agrees */
	uint64_t next;	/* next index to send */
	bool paused;	/* waits for a reply or the next heartbeat */
	struct {
		uint64_t last;
		size_t bytes;
	} flight[RAFT_FLIGHT_MAX];
	size_t nflight, flight_bytes;
	uint64_t acked_round;
	struct timespec heard;
	uint64_t snap_index, snap_offset; /* of the snapshot being sent */
	bool granted;
};

struct raft_conf_set {
	uint64_t index; /* of the entry that holds it */
	struct raft_member *v;
	size_t n;
};

struct raft_deferred {
	uint64_t seq;
	uint32_t instance;
	Control__RaftMsg msg; /* without pointers */
};

struct raft_sync {
	uint64_t seq, last; /* once synced, the disk holds the log to last */
};

struct raft_confirm {
	uint64_t id, round;
};

struct raft {
	uint64_t self;
	uint32_t self_instance; /* 0 until a member list names it */
	struct rng rng;
	enum raft_role role;
	uint64_t term, voted_for, leader;
	uint32_t leader_instance;

	struct raft_entry *log; /* log[0] is base_index + 1 */
	size_t nlog, caplog;
	uint64_t base_index, base_term;
	size_t log_bytes; /* after snap_index */
	uint64_t commit, applied, durable;
	size_t uncommitted_bytes;
	uint64_t term_start; /* index of this leader's first entry */

	uint64_t snap_index, snap_term;
	struct str snap_data;
	struct raft_conf_set snap_conf, conf;
	struct raft_peer *peers;
	size_t npeers;

	/* Snapshot being received. */
	uint64_t recv_index, recv_term;
	uint8_t *recv;
	size_t recv_len;
	bool loading;

	uint64_t persist_seq, synced_seq;
	uint64_t vote_seq; /* own vote counts once this is synced */
	bool hard_dirty, cut;
	uint64_t hard_seq; /* covers term and vote */
	uint64_t cut_from, append_from;
	struct raft_sync *syncs;
	size_t nsyncs;
	struct raft_deferred *deferred;
	size_t ndeferred;

	struct timespec now;
	struct timespec election_at, heartbeat_at, heard_leader;
	uint64_t round, confirm_round; /* confirm_round: being waited for */
	struct timespec round_sent[RAFT_ROUNDS];
	struct raft_confirm *confirms;
	size_t nconfirms;
	uint64_t commit_at_beat;
	uint64_t transfer_to;
	struct timespec transfer_until;
	bool transfer_sent;
	bool proposing;	 /* this step is a PROPOSE */
	bool lease_void; /* TIMEOUT_NOW was sent in this term */

	enum raft_role told_role;
	uint64_t told_term, told_leader;
	struct raft_acts *acts; /* of the current step */
	TALLOC_CTX *scratch;	/* memory of the current step's actions */
};

/* raft.c */
struct raft_act *raft_act_add(struct raft *, enum raft_act_kind);
void *raft_grow(TALLOC_CTX *, void *, size_t size, size_t n);
Control__RaftMsg *raft_msg_new(struct raft *, Control__RaftKind, uint64_t to);
void raft_send(struct raft *, Control__RaftMsg *, uint32_t instance);
void raft_send_synced(struct raft *, Control__RaftMsg *, uint32_t instance);
uint32_t raft_instance_of(const struct raft *, const Control__RaftMsg *);

/* raft_log.c */
uint64_t raft_log_last(const struct raft *);
bool raft_log_term(const struct raft *, uint64_t index, uint64_t *term);
const struct raft_entry *raft_log_at(const struct raft *, uint64_t index);
void raft_log_append(
    struct raft *, uint64_t term, Control__EntryKind, struct str data);
void raft_log_cut(struct raft *, uint64_t from);
void raft_log_reset(struct raft *, uint64_t index, uint64_t term);
void raft_log_compact(struct raft *, uint64_t index);
uint64_t raft_log_find(const struct raft *, uint64_t index, uint64_t term);
const struct raft_entry *raft_log_copy(
    struct raft *, uint64_t from, uint64_t to, size_t *n);

/* raft_elect.c */
void raft_set_election_timer(struct raft *, bool retry);
void raft_become_follower(
    struct raft *, uint64_t term, uint64_t leader, uint32_t instance);
void raft_campaign(struct raft *, bool transfer);
void raft_pre_campaign(struct raft *);
void raft_own_vote_synced(struct raft *);
void raft_on_prevote(struct raft *, const Control__RaftMsg *);
void raft_on_vote(struct raft *, const Control__RaftMsg *);
void raft_on_vote_reply(struct raft *, const Control__RaftMsg *, bool pre);
bool raft_heard_leader(const struct raft *);

/* raft_repl.c */
void raft_broadcast(struct raft *);
void raft_replicate(struct raft *);
void raft_advance_commit(struct raft *);
void raft_deliver(struct raft *);
void raft_on_append(struct raft *, const Control__RaftMsg *);
void raft_on_append_reply(struct raft *, const Control__RaftMsg *);
bool raft_quorum_heard(const struct raft *);
void raft_start_confirm(struct raft *, uint64_t id);
void raft_answer_confirms(struct raft *, bool lost);

/* raft_snap.c */
void raft_send_chunk(struct raft *, struct raft_peer *);
void raft_on_chunk(struct raft *, const Control__RaftMsg *);
void raft_on_chunk_reply(struct raft *, const Control__RaftMsg *);
enum status raft_snapshot_taken(
    struct raft *, uint64_t index, uint64_t term, struct str data);
enum status raft_snapshot_loaded(struct raft *);

/* raft_member.c */
struct raft_peer *raft_peer_find(const struct raft *, uint64_t replica);
struct raft_peer *raft_self(const struct raft *);
size_t raft_quorum(const struct raft *);
uint64_t raft_quorum_value(const struct raft *, bool rounds);
void raft_conf_copy(struct raft *, struct raft_conf_set *, uint64_t index,
    const struct raft_member *, size_t n);
bool raft_conf_unpack(
    struct raft *, struct raft_conf_set *, uint64_t index, struct str data);
struct str raft_conf_pack(struct raft *, const struct raft_member *, size_t n);
void raft_conf_update(struct raft *);
void raft_conf_at(struct raft *, uint64_t index, struct raft_conf_set *);
void raft_peers_build(struct raft *);
enum status raft_member_add(struct raft *, const struct raft_member *);
enum status raft_member_remove(struct raft *, uint64_t replica);
void raft_promote(struct raft *);
enum status raft_transfer(struct raft *);
void raft_transfer_check(struct raft *);

#endif
