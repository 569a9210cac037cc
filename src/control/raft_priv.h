/* Internals of struct raft, shared by the raft*.c files only. */
#ifndef CONTROL_RAFT_PRIV_H
#define CONTROL_RAFT_PRIV_H

#include "control/raft.h"

/* Entries in one APPEND; far below the 4 MiB limit of a frame. */
#define RAFT_APPEND_BYTES_MAX (256 * 1024)
/* APPEND messages in flight to a follower; later proposals share the next. */
#define RAFT_INFLIGHT_MAX 16
/* The same while handling a PROPOSE. The rest of a burst of proposals is sent
 * as one message at the next event, such as a sync or a reply. */
#define RAFT_INFLIGHT_PROPOSE_MAX 2
/* Time until a failed candidate tries again. It already knows that there is no
 * leader, so it need not wait for the longer timeout that detects this. */
#define RAFT_CAMPAIGN_RETRY_MIN_MS 150
#define RAFT_CAMPAIGN_RETRY_MAX_MS 450
/* How often that range may double: up to 3.6 s. */
#define RAFT_CAMPAIGN_BACKOFF_MAX 3
/* Proposals are refused with STATUS_FULL above this. */
#define RAFT_UNCOMMITTED_BYTES_MAX (8 * 1024 * 1024)
/* Entries kept before a snapshot, so that a follower that is slightly behind
 * does not need the snapshot. */
#define RAFT_KEEP_ENTRIES 512
#define RAFT_KEEP_BYTES	  (256 * 1024)
/* Leader lease, from the time a heartbeat was sent. Shorter than
 * RAFT_ELECTION_MIN_MS by more than the clock-rate error of 1 % on each side,
 * so that no follower votes for another leader while it lasts. */
#define RAFT_LEASE_MS 900
/* A voter that has not answered for this long may be replaced. Short, because a
 * new leader starts to count anew and a second replica may be lost meanwhile.
 */
#define RAFT_VOTER_SILENT_MS RAFT_ELECTION_MIN_MS
/* The same for one that the previous leader has found silent, and for that
 * leader. */
#define RAFT_VOTER_STILL_SILENT_MS (3 * RAFT_HEARTBEAT_MS)
/* A tick that is late by more than this means that this process was paused:
 * answers of voters that seem silent may wait to be read. */
#define RAFT_PAUSE_MS (2 * RAFT_HEARTBEAT_MS)
/* How long a learner that isn't needed as a voter waits before it becomes an
 * additional one. Long enough that a voter which it replaces is found silent,
 * and removed, first. */
#define RAFT_ADDITIONAL_VOTER_MS 2000
/* Rounds whose send times are kept; they cover RAFT_LEASE_MS. */
#define RAFT_ROUND_HISTORY 64
/* Stands for the PERSIST number of the current step until it is known. */
#define RAFT_SEQ_THIS_STEP UINT64_MAX
/* Estimated bytes of an entry in addition to its data. */
#define RAFT_ENTRY_OVERHEAD 32

/* How entries are sent to a member. */
enum raft_flow {
	FLOW_PROBE,	/* one message at a time until the logs agree */
	FLOW_REPLICATE, /* pipelined up to RAFT_INFLIGHT_BYTES_MAX */
	FLOW_SNAPSHOT	/* one chunk at a time */
};

/* State that a leader or candidate keeps for each member, itself included. */
struct raft_peer {
	uint64_t replica;
	uint32_t instance;
	bool voter;
	enum raft_flow flow;
	uint64_t match; /* highest index known to be on its disk */
	uint64_t next;	/* next index to send */
	bool paused;	/* until a reply or the next heartbeat */
	struct {
		uint64_t last; /* index of its last entry */
		size_t bytes;
	} inflight[RAFT_INFLIGHT_MAX];
	size_t ninflight, inflight_bytes;
	uint64_t acked_round; /* last heartbeat round it answered */
	struct timespec last_reply_at;
	bool found_silent;	  /* by the last leader, or it was that */
	struct timespec known_at; /* to this replica, as a member */
	uint64_t snap_index, snap_offset; /* snapshot being sent */
	bool vote_granted;
};

/* A Raft configuration: the members as set by one log entry. */
struct raft_member_list {
	uint64_t index; /* of the log entry that set it */
	struct raft_member *v;
	size_t n;
};

/* A message to be sent once the PERSIST with number seq is synced. */
struct raft_deferred {
	uint64_t seq;
	uint32_t instance;
	Control__RaftMsg msg; /* its pointer members are unused */
};

/* A PERSIST action that is not synced yet. */
struct raft_pending_sync {
	uint64_t seq;
	uint64_t last; /* once seq is synced, entries to last are durable */
};

/* A request to confirm leadership; answered when round is acknowledged. */
struct raft_confirm {
	uint64_t id, round;
};

struct raft {
	uint64_t self;
	uint32_t self_instance; /* 0 until a member list holds it */
	struct rng rng;
	enum raft_role role;
	uint64_t term, voted_for, leader;
	uint32_t leader_instance;

	struct raft_entry *log; /* log[0] has index base_index + 1 */
	size_t nlog, caplog;
	uint64_t base_index, base_term; /* of the entry before log[0] */
	size_t log_bytes;		/* of entries after snap_index */
	/* Highest index committed, emitted with COMMIT, and synced here. */
	uint64_t commit, applied, durable;
	size_t uncommitted_bytes;
	uint64_t term_start; /* first index of this leader's term */

	uint64_t snap_index, snap_term;
	struct str snap_data;
	/* As of the snapshot, and in force. */
	struct raft_member_list snap_members, members;
	struct raft_peer *peers;
	size_t npeers;
	size_t voters_needed; /* 0: the caller removes voters */

	/* Snapshot being received. */
	uint64_t recv_index, recv_term;
	uint8_t *recv;
	size_t recv_len;
	bool loading;

	uint64_t persist_seq, synced_seq; /* last emitted, last synced */
	uint64_t vote_seq;		  /* PERSIST of the vote for itself */
	unsigned nelections; /* by this replica, since it knew a leader */
	bool hard_state_dirty, truncated;
	uint64_t hard_state_seq; /* last PERSIST that changed term or vote */
	/* First entry removed, and first one added, since the last PERSIST. */
	uint64_t truncate_from, unpersisted_from;
	struct raft_pending_sync *syncs;
	size_t nsyncs;
	struct raft_deferred *deferred;
	size_t ndeferred;

	struct timespec now;
	struct timespec running_since; /* start, or end of the last pause */
	struct timespec election_at, heartbeat_at, leader_contact_at;
	/* Until then a candidate asks again instead of raising the term. */
	struct timespec campaign_until;
	/* When all that the leader reported as committed was here. */
	struct timespec up_to_date_at;
	/* When the leader was last heard again after the election timeout. */
	struct timespec resumed_at;
	uint64_t round;		/* of heartbeats, counted from 1 in each term */
	uint64_t awaited_round; /* started for confirmation requests */
	struct timespec round_sent[RAFT_ROUND_HISTORY];
	struct raft_confirm *confirms;
	size_t nconfirms;
	uint64_t commit_at_heartbeat; /* UINT64_MAX: none in this term */
	uint64_t transfer_target;     /* replica, 0: no transfer */
	struct timespec transfer_deadline;
	bool timeout_now_sent;	/* since the last heartbeat */
	bool proposing;		/* the current event is a PROPOSE */
	bool lease_invalidated; /* TIMEOUT_NOW was sent in this term */

	/* As of the last ROLE action. */
	enum raft_role reported_role;
	uint64_t reported_term, reported_leader;
	struct raft_acts *acts; /* of the current step */
	TALLOC_CTX *scratch;	/* for the current step's actions */
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
void raft_log_truncate(struct raft *, uint64_t from);
void raft_log_reset(struct raft *, uint64_t index, uint64_t term);
void raft_log_compact(struct raft *, uint64_t index);
uint64_t raft_log_find_agreement(
    const struct raft *, uint64_t index, uint64_t term);
const struct raft_entry *raft_log_copy(
    struct raft *, uint64_t from, uint64_t to, size_t *n);

/* raft_elect.c */
void raft_set_election_timer(struct raft *, bool retry);
void raft_become_follower(
    struct raft *, uint64_t term, uint64_t leader, uint32_t instance);
void raft_campaign(struct raft *, bool transfer);
void raft_pre_campaign(struct raft *);
void raft_ask_again(struct raft *);
void raft_count_own_vote(struct raft *);
void raft_on_prevote(struct raft *, const Control__RaftMsg *);
void raft_on_vote(struct raft *, const Control__RaftMsg *);
void raft_on_vote_reply(struct raft *, const Control__RaftMsg *, bool pre);
bool raft_leader_is_recent(const struct raft *);

/* raft_repl.c */
void raft_broadcast(struct raft *);
void raft_replicate(struct raft *);
void raft_advance_commit(struct raft *);
void raft_emit_committed(struct raft *);
void raft_on_append(struct raft *, const Control__RaftMsg *);
void raft_on_append_reply(struct raft *, const Control__RaftMsg *);
bool raft_quorum_is_recent(const struct raft *);
void raft_start_confirm(struct raft *, uint64_t id);
void raft_answer_confirms(struct raft *, bool lost);

/* raft_snap.c */
void raft_send_chunk(struct raft *, struct raft_peer *);
void raft_on_chunk(struct raft *, const Control__RaftMsg *);
void raft_on_chunk_reply(struct raft *, const Control__RaftMsg *);
enum status raft_snapshot_taken(
    struct raft *, uint64_t index, uint64_t term, struct str data, bool given);
enum status raft_snapshot_loaded(struct raft *);

/* raft_member.c */
struct raft_peer *raft_peer_find(const struct raft *, uint64_t replica);
struct raft_peer *raft_self(const struct raft *);
size_t raft_quorum(const struct raft *);
uint64_t raft_quorum_value(const struct raft *, bool rounds);
void raft_member_list_copy(struct raft *, struct raft_member_list *,
    uint64_t index, const struct raft_member *, size_t n);
bool raft_member_list_unpack(
    struct raft *, struct raft_member_list *, uint64_t index, struct str data);
struct str raft_member_list_pack(
    struct raft *, const struct raft_member *, size_t n);
void raft_member_list_update(struct raft *);
void raft_member_list_at(
    struct raft *, uint64_t index, struct raft_member_list *);
void raft_peers_rebuild(struct raft *);
enum status raft_member_add(struct raft *, const struct raft_member *);
enum status raft_member_remove(struct raft *, uint64_t replica);
void raft_update_voters(struct raft *);
bool raft_is_silent(const struct raft *, const struct raft_peer *);
enum status raft_transfer(struct raft *);
void raft_transfer_check(struct raft *);

#endif
