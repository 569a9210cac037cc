/*
 * One replica of a group with the services its leader gives: replicated
 * state, worker leases, slot grants and placement. Pure: an event and the
 * time in, actions out. A process may hold many groups; nothing is global.
 */
#ifndef CONTROL_CELL_H
#define CONTROL_CELL_H

#include "control/raft.h"

__BEGIN_DECLS

struct cell_conf {
	uint32_t group;
	uint32_t instance;
	struct raft_conf raft;
	struct str snapshot;	   /* state as of raft.snap_index */
	unsigned replicas;	   /* voters to keep, default 3 */
	int64_t lease_ms;	   /* of a worker, 6000 */
	int64_t poll_ms;	   /* between polls, 1000 */
	int64_t flight_ms;	   /* message transit bound, 500 */
	int64_t key_retention_ms;  /* of idempotency records, 900000 */
	unsigned clock_ppm;	   /* clock-rate bound, 10000 is 1 % */
	uint64_t snapshot_entries; /* snapshot after, 4096 */
	uint64_t snapshot_bytes;   /* or after, 16 MiB */
};

enum cell_ev_kind {
	CELL_EV_TICK,
	CELL_EV_PEER, /* RaftMsg, Beat or Forward from another instance */
	CELL_EV_OP,   /* from this instance's own agent */
	CELL_EV_SYNCED,
	CELL_EV_SNAPSHOT_SAVED,
	CELL_EV_TRANSFER
};

struct cell_ev {
	enum cell_ev_kind kind;
	int64_t wall_ms; /* calendar time, for fields of commands */
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
	CELL_ACT_SEND,	  /* msg to instance; own instance: to its agent */
	CELL_ACT_PERSIST, /* as raft's; answered by SYNCED */
	CELL_ACT_SAVE_SNAPSHOT, /* write, sync; answered by SNAPSHOT_SAVED */
	CELL_ACT_ROLE
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
			bool received; /* replaces the log on disk */
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
struct timespec cell_deadline(const struct cell *);
/* Counters: reasons of refusals, changes, expiries; see cell_ctr_desc. */
const struct ctr_set *cell_counters(const struct cell *);

__END_DECLS

#endif
