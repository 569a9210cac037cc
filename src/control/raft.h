/*
 * One replica of a replicated log: Raft with pre-vote, check quorum, learners,
 * single-server membership changes, leadership transfer, group commit and flow
 * control. It is a state machine without I/O: raft_step takes an event and the
 * time and returns actions for the caller to carry out.
 *
 * The caller writes and syncs what RAFT_ACT_PERSIST holds and answers with
 * RAFT_EV_SYNCED. Only then are messages sent that rely on it being on disk.
 */
#ifndef CONTROL_RAFT_H
#define CONTROL_RAFT_H

#include "base/clk.h"
#include "base/err.h"
#include "base/rng.h"
#include "base/str.h"
#include "control/control.pb-c.h"

__BEGIN_DECLS

#define RAFT_ELECTION_MIN_MS	  1000
#define RAFT_ELECTION_MAX_MS	  2000
#define RAFT_HEARTBEAT_MS	  150
#define RAFT_INFLIGHT_BYTES_MAX	  (1024 * 1024) /* in flight to a follower */
#define RAFT_SNAPSHOT_CHUNK_BYTES (256 * 1024)	/* of a snapshot message */

enum raft_role {
	RAFT_FOLLOWER,
	RAFT_PRE_CANDIDATE,
	RAFT_CANDIDATE,
	RAFT_LEADER
};

struct raft_entry {
	uint64_t index; /* from 1 */
	uint64_t term;
	Control__EntryKind kind;
	struct str data;
};

struct raft_member {
	uint64_t replica; /* random id of its data directory */
	uint32_t instance;
	bool voter; /* false: learner */
	struct str domain;
};

struct raft_initial_state {
	uint64_t replica;
	uint64_t seed; /* for the election timeouts */
	/* State read from disk; 0 or empty for a new replica. */
	uint64_t term;
	uint64_t voted_for;
	uint64_t snap_index, snap_term;
	struct str snap_data;		   /* sent to followers that need it */
	const struct raft_member *members; /* as of the snapshot */
	size_t nmembers;
	const struct raft_entry *entries; /* after the snapshot */
	size_t nentries;
	/* Voters that the group needs. With as many, a learner takes the place
	 * of a silent one, and becomes an additional one only after a while;
	 * with more, a silent one is removed. 0: learners become voters as
	 * soon as they can, and only the caller removes voters. */
	size_t voters_needed;
};

enum raft_ev_kind {
	RAFT_EV_TICK,
	RAFT_EV_MSG,
	RAFT_EV_SYNCED, /* a PERSIST action is on disk */
	RAFT_EV_PROPOSE,
	RAFT_EV_MEMBER_ADD, /* as a learner, promoted once it caught up */
	RAFT_EV_MEMBER_REMOVE,
	RAFT_EV_TRANSFER, /* hand leadership over before a planned stop */
	RAFT_EV_CONFIRM_LEADERSHIP, /* a barrier before a read */
	RAFT_EV_SNAPSHOT_TAKEN, /* a snapshot up to index is on disk; its term
				 * is checked unless it is 0 */
	RAFT_EV_SNAPSHOT_LOADED /* a LOAD_SNAPSHOT action is carried out */
};

struct raft_ev {
	enum raft_ev_kind kind;
	union {
		const Control__RaftMsg *msg;
		uint64_t synced; /* seq of the PERSIST action */
		struct {
			const struct str *data; /* n records */
			size_t n;
		} propose;
		struct raft_member member;
		uint64_t confirm; /* id, returned with LEADERSHIP_CONFIRMED */
		struct {
			uint64_t index, term;
			struct str data; /* kept for followers */
			/* data is a talloc block that raft takes over;
			 * otherwise it is copied */
			bool is_given;
		} snapshot;
	} u;
};

enum raft_act_kind {
	RAFT_ACT_SEND,	  /* send msg to instance */
	RAFT_ACT_PERSIST, /* write and sync, then SYNCED with seq */
	RAFT_ACT_COMMIT,  /* apply entries in order */
	RAFT_ACT_ROLE,	  /* role, term or leader changed */
	RAFT_ACT_LEADERSHIP_CONFIRMED, /* this replica still led after the
					* CONFIRM_LEADERSHIP, and all entries
					* committed before that have been
					* emitted with COMMIT */
	RAFT_ACT_LOAD_SNAPSHOT	       /* save it, replace the state, then
					  SNAPSHOT_LOADED */
};

struct raft_act {
	enum raft_act_kind kind;
	union {
		struct {
			uint32_t instance;
			Control__RaftMsg *msg; /* valid until the next step */
		} send;
		struct {
			uint64_t seq;
			uint64_t term, voted_for;
			/* Remove entries from this index on first; 0: none. */
			uint64_t truncate_from;
			const struct raft_entry *entries;
			size_t n;
		} persist;
		struct {
			const struct raft_entry *entries;
			size_t n;
		} commit;
		struct {
			enum raft_role role;
			uint64_t term;
			uint64_t leader; /* its replica id, 0: unknown */
			uint32_t leader_instance;
		} role;
		struct {
			uint64_t id;
			bool ok; /* false: no longer the leader */
		} confirmed;
		struct {
			uint64_t index, term;
			const struct raft_member *members;
			size_t nmembers;
			struct str data;
		} snapshot;
	} u;
};

struct raft_acts {
	struct raft_act *v; /* talloc'd by the caller's context */
	size_t n, cap;
};

/* Freed with talloc_free. */
struct raft;

struct raft *raft_new(
    TALLOC_CTX *, const struct raft_initial_state *, struct timespec now);
/* Returns STATUS_NOT_LEADER if the event needs a leader; STATUS_FULL while a
 * membership change is under way or the log holds too many uncommitted bytes.
 */
enum status raft_step(struct raft *, struct timespec now,
    const struct raft_ev *, struct raft_acts *);
/* Returns the time at which the next TICK is due. */
struct timespec raft_next_tick(const struct raft *);
enum raft_role raft_role(const struct raft *);
uint64_t raft_term(const struct raft *);
uint64_t raft_commit_index(const struct raft *);
uint64_t raft_last_index(const struct raft *);
uint32_t raft_leader_instance(const struct raft *);
size_t raft_members(const struct raft *, const struct raft_member **);
/* Returns the time since a member last answered this leader; 0 if unknown. */
int64_t raft_ms_since_reply(const struct raft *, uint64_t replica);
/* Returns whether this replica leads and its lease excludes any other leader.
 */
bool raft_has_leader_lease(const struct raft *, struct timespec now);
/* Returns whether this follower's state is at most RAFT_ELECTION_MIN_MS
 * behind that of the leader. */
bool raft_is_up_to_date(const struct raft *, struct timespec now);
/* Returns a deep copy owned by ctx, freed as a whole. */
struct raft_member *raft_members_copy(
    TALLOC_CTX *ctx, const struct raft_member *, size_t n);
/* Return the bytes and entries of the log since the last snapshot. */
size_t raft_log_bytes(const struct raft *);
uint64_t raft_log_entries(const struct raft *);

__END_DECLS

#endif
