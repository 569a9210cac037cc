/* Internals of a replica, shared by the core*.c files only. */
#ifndef NODE_CORE_IMPL_H
#define NODE_CORE_IMPL_H

#include <tevent.h>

#include "control/raft.h"
#include "control/wal.h"
#include "job/jlead.h"
#include "node/advice.h"
#include "node/cloud.h"
#include "node/core.h"
#include "node/dsync.h"
#include "node/fdplan.h"
#include "node/front.h"
#include "node/mesh.h"
#include "node/metrics.h"
#include "node/pause.h"
#include "node/relay.h"
#include "node/ticker.h"

/* The call that waits for a command; none for the leader's own commands. */
struct core_waiter {
	uint32_t from; /* instance; 0: none */
	uint64_t call_id;
	Job__CallKind kind;
	uint64_t job; /* of a submission; 0: none */
	/* at a place where the job's queue was, but isn't any more */
	bool is_orphan;
	struct timespec since;
};

/* A queued command that has not been proposed yet. */
struct core_cmd {
	struct core_cmd *next;
	struct core_waiter waiter;
	size_t bytes; /* reserved in core.calls_held; 0: the leader's own */
	size_t len;
	uint8_t data[];
};

/* An entry that this leader has proposed and that isn't committed yet. */
struct core_inflight {
	struct core_inflight *next;
	uint64_t index;
	size_t nwaiters;
	struct core_waiter waiters[];
};

/* A read that waits for the confirmation that this replica still leads. */
struct core_read {
	struct core_read *next;
	uint64_t id;
	uint32_t from;
	size_t bytes; /* reserved in core.calls_held */
	Job__Call *call;
};

/* A worker's notice to leave, unanswered until nothing runs there. */
struct core_leave {
	struct core_leave *next;
	uint64_t call_id;
	uint32_t from;
	uint64_t registration; /* number of its registration */
	struct timespec since;
};

struct core {
	const struct inst *inst;
	struct tevent_context *ev;
	struct ctr_set nctr, jctr;
	struct hist commit_ms, first_start_ms, complete_ms;
	struct metrics *metrics;
	struct memacct *account; /* of the memory of connections */
	struct mesh *mesh;
	struct front *control;
	struct relay *relay;   /* calls to workers */
	struct cloud *cloud;   /* calls about machines; NULL: no such service */
	struct advice *advice; /* calls for advice; NULL: no such service */
	struct ticker *ticker;
	struct timespec ticked_at; /* last tick; zero before the first */
	struct pause pause;
	struct fdplan fds;
	struct tevent_immediate *flush_event;
	bool flush_scheduled, in_flush;

	struct wal *wal;
	struct raft *raft;
	struct raft_acts acts;
	struct dsync *dsync; /* the only user of wal while it exists */
	uint64_t replica, generation;
	/* A snapshot of this replica, or one from the leader, is being written
	 * to the disk. */
	bool saving_snapshot, loading_snapshot;
	/* The disk has failed: this replica neither votes nor leads, raft and
	 * wal may be NULL. */
	bool disk_failed;
	/* Last failure or recovery of the disk. */
	struct timespec disk_changed_at;
	struct timespec disk_retry_at;
	int64_t disk_backoff_ms;
	/* Newest snapshot; data is set until it is on disk. */
	uint64_t snapshot_index, snapshot_term;
	struct str snapshot_data;
	size_t log_max_bytes; /* of the log before a snapshot is taken */
	bool confirming, confirm_ok;
	uint64_t confirmed_read;     /* reads up to this id may be answered */
	struct raft_member *members; /* as of the applied index */
	size_t nmembers;
	uint64_t applied, applied_term;

	struct jst st;
	struct jlead jl;
	enum raft_role role;
	uint64_t term;
	uint32_t leader;
	bool leading; /* this replica leads, and all entries are applied */

	struct core_cmd *cmds, **cmds_tail;
	size_t ncmds;
	size_t own_bytes;     /* of cmds: the leader's own */
	bool propose_blocked; /* raft refused entries; until the next tick */
	struct core_inflight *inflight, **inflight_tail;
	struct core_read *reads, **reads_tail;
	uint64_t last_read;
	struct memacct_conn calls_held; /* by reads and cmds */
	struct timespec refused_log_at; /* next line on refused submissions */
	struct timespec limits_at;	/* next check of the replicas' memory */
	struct core_leave *leaves;
	struct timespec next_join_at;
	bool stopping;
	struct timespec stop_deadline;
	/* No longer waits to be removed from the group after this. */
	struct timespec leave_deadline;
	bool has_left; /* the leader has removed this stopping replica */
};

/* core.c */
void core_flush_later(struct core *);
bool core_is_sole_leader(struct core *);
void core_propose(
    struct core *, const Job__Command *, const struct core_waiter *);
/* core_limit.c */
uint32_t core_memory_mb(const struct core *);
void core_limit_tick(struct core *);
void core_on_member_memory(
    struct core *, uint32_t instance, uint32_t memory_mb);
/* core_cloud.c */
void core_cloud_start(struct core *);
/* core_advice.c */
void core_advice_start(struct core *);
/* core_log.c */
void core_step(struct core *, const struct raft_ev *);
bool core_log_flush(struct core *);
void core_members_tick(struct core *);
size_t core_voters_needed(const struct core *);
void core_on_leaving(struct core *, const Job__Join *);
bool core_waits_to_leave(const struct core *);
bool core_has_member(const struct core *, uint64_t replica);
void core_stop_leading(struct core *);
/* core_disk.c */
enum status core_log_open(struct core *, struct wal_init *, struct err *);
void core_disk_failed(struct core *, const struct err *);
void core_disk_tick(struct core *);
/* core_call.c */
void core_on_call(struct core *, uint32_t from, const Job__Call *);
void core_propose_call(
    struct core *, uint32_t from, const Job__Call *, const Job__Command *);
void core_send_outcome(struct core *, uint32_t from, uint64_t id, Job__Outcome);
void core_on_applied(struct core *, const struct core_waiter *,
    const Job__Command *, const struct jst_result *);
void core_fail_waiter(struct core *, const struct core_waiter *, Job__Outcome);
bool core_is_heartbeat_known(struct core *, const Job__Worker *);
void core_answer_reads(struct core *);
void core_fail_reads(struct core *);
void core_answer_leaves(struct core *, uint64_t num, Job__Outcome);
void core_tick_leaves(struct core *);
/* core_evac.c */
bool core_take_order(struct core *, const struct front_req *, Job__Call *);
void core_handle_evacuate(struct core *, uint32_t from, const Job__Call *);
void core_fill_evacuations(struct core *, TALLOC_CTX *, Job__Answer *);
void core_note_tick(struct core *, struct timespec now);
/* core_why.c */
void core_fill_why(struct core *, TALLOC_CTX *, uint64_t job, Job__Answer *);
/* core_http.c */
void core_on_control(void *arg, struct front_req *);

#endif
