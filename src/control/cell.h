/*
 * A cell is one replica of a group. It combines the Raft log, the replicated
 * state and the services of the leader: worker leases, slot grants and task
 * placement. It does no I/O: each step takes an event and the current time
 * and returns actions for the caller to carry out. There is no global state,
 * so a process may hold replicas of several groups.
 */
#ifndef CONTROL_CELL_H
#define CONTROL_CELL_H

#include "control/raft.h"

__BEGIN_DECLS

struct cell_conf {
	uint32_t group;
	uint32_t instance;
	struct raft_initial_state raft;
	struct str snapshot;	   /* state at raft.snap_index */
	unsigned replicas;	   /* voters wanted, default 3 */
	int64_t lease_ms;	   /* lease of a worker, default 6000 */
	int64_t poll_ms;	   /* interval of worker polls, default 1000 */
	int64_t max_transit_ms;	   /* longest message transit, default 500 */
	int64_t freshness_max_ms;  /* longest config_freshness of an instance */
	int64_t key_retention_ms;  /* of idempotency records, default 900000 */
	unsigned clock_ppm;	   /* largest clock rate error; 10000 is 1 % */
	uint64_t snapshot_entries; /* log entries per snapshot, default 4096 */
	uint64_t snapshot_bytes;   /* or log bytes, default 16 MiB */
};

enum cell_ev_kind {
	CELL_EV_TICK,
	CELL_EV_PEER,	/* RaftMsg, Beat or Forward of an instance */
	CELL_EV_OP,	/* operation of this instance's agent */
	CELL_EV_SYNCED, /* a PERSIST is on disk */
	CELL_EV_SNAPSHOT_SAVED,
	CELL_EV_TRANSFER /* hand the leadership to another replica */
};

struct cell_ev {
	enum cell_ev_kind kind;
	int64_t wall_ms; /* wall clock, recorded in commands */
	union {
		const Control__PeerMsg *peer;
		struct {
			uint64_t id;
			const Control__Op *op;
		} op;
		uint64_t synced;
		uint64_t saved_index;
	} u;
};

enum cell_act_kind {
	CELL_ACT_SEND,		/* send msg; the own instance is its agent */
	CELL_ACT_PERSIST,	/* as RAFT_ACT_PERSIST; answered by SYNCED */
	CELL_ACT_SAVE_SNAPSHOT, /* write and sync; answered by SNAPSHOT_SAVED */
	CELL_ACT_ROLE		/* role, term or known leader has changed */
};

struct cell_act {
	enum cell_act_kind kind;
	union {
		struct {
			uint32_t instance;
			Control__PeerMsg *msg;
		} send;
		struct raft_act persist; /* kind RAFT_ACT_PERSIST */
		struct {
			uint64_t index, term;
			const struct raft_member *members;
			size_t nmembers;
			struct str data;
			bool received; /* from the leader: replaces the log on
					  disk */
		} snapshot;
		struct {
			enum raft_role role;
			uint64_t term;
			uint32_t leader_instance;
		} role;
	} u;
};

struct cell_acts {
	struct cell_act *v;
	size_t n, cap;
};

struct cell;

struct cell *cell_new(
    TALLOC_CTX *, const struct cell_conf *, struct timespec now, struct err *);
enum status cell_step(struct cell *, struct timespec now,
    const struct cell_ev *, struct cell_acts *);
struct timespec cell_next_tick(const struct cell *);
const struct ctr_set *cell_counters(const struct cell *);

__END_DECLS

#endif
