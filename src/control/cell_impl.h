/* Private structures and functions of the cell module (cell*.c). */
#ifndef CONTROL_CELL_IMPL_H
#define CONTROL_CELL_IMPL_H

#include "base/ctr.h"
#include "control/cell.h"
#include "control/lease.h"
#include "control/st.h"
#include "placement/sched.h"
#include "request/grant.h"

__BEGIN_DECLS

/*
 * Validity of a slot grant: above the longest request timeout of 30 s, with
 * room for messages in transit.
 */
#define CELL_GRANT_TTL_MS 32000
/* Interval of the checks for expired keys and missing replicas. */
#define CELL_HOUSEKEEPING_MS 1000
/* Below this age a heartbeat counts as recent when replicas are chosen. */
#define CELL_HEARTBEAT_RECENT_MS 3000
/*
 * Limit of operations that wait for the first commit of the term, and of
 * those that wait for a confirmation of leadership.
 */
#define CELL_WAITERS_MAX 8192
/* Orders in the answer to one poll. */
#define CELL_POLL_ORDERS_MAX 256
/* Initial capacity of the action arrays. */
#define CELL_ACTS_INITIAL   16
#define CELL_QUERY_ROWS_MAX 1000
/* Assignments in one record, which stays far below its size limit. */
#define CELL_ASSIGNMENTS_MAX 8192

enum cell_ctr {
	CELL_C_OPS,
	CELL_C_NOT_LEADER,
	CELL_C_UNKNOWN,
	CELL_C_REFUSED,
	CELL_C_FULL,
	CELL_C_HEARTBEATS,
	CELL_C_HEARTBEATS_OLD,
	CELL_C_POLLS,
	CELL_C_POLLS_STALE,
	CELL_C_CONFIRMS,
	CELL_C_WORKERS_LOST,
	CELL_C_ASSIGNED,
	CELL_C_ASSIGN_REFUSED,
	CELL_C_EVENTS_DROPPED,
	CELL_C_TASKS_VANISHED,
	CELL_C_KEYS_DROPPED,
	CELL_C_SNAPSHOTS,
	CELL_C_MEMBERS_ADDED,
	CELL_C_ELECTED,
	CELL_C_COUNT
};

/* The caller of an operation: where its result is sent. */
struct cell_caller {
	uint32_t instance;
	uint64_t id;
};

/* A poll of a worker that is not answered yet. */
struct cell_poll {
	uint64_t epoch, incarnation;
	uint64_t order_seq; /* last order executed; 0: not reported */
	char *name;
	uint64_t *running;
	size_t nrunning;
	uint64_t event_ack;
	bool leadership_confirmed, events_applied;
	bool events_complete; /* none of its events was rejected by the log */
};

enum cell_waiter_kind {
	CELL_WAITER_HEARTBEAT,
	CELL_WAITER_POLL,
	CELL_WAITER_QUERY,
	CELL_WAITER_LEAVE
};

/*
 * A request that is answered only after a quorum has confirmed that this
 * replica still leads.
 */
struct cell_waiter {
	struct cell_waiter *next;
	enum cell_waiter_kind kind;
	uint64_t confirm_id; /* confirmation round; 0: not started */
	struct cell_caller caller;
	struct cell_poll *poll;
	Control__Query *query;
	Control__WorkerLeave *leave;
};

/* A request that arrived between the election and the first commit. */
struct cell_deferred {
	struct cell_deferred *next;
	struct cell_caller caller;
	Control__Op *op;
	Control__Beat *heartbeat;
};

enum cell_proposal_kind {
	CELL_PROPOSAL_OP,
	CELL_PROPOSAL_LEAVE,
	CELL_PROPOSAL_EVENTS,
	CELL_PROPOSAL_LOST,
	CELL_PROPOSAL_ASSIGN,
	CELL_PROPOSAL_FENCE,
	CELL_PROPOSAL_INTERNAL
};

/* A record proposed to the log; the list is in log order. */
struct cell_proposal {
	struct cell_proposal *next;
	enum cell_proposal_kind kind;
	struct cell_caller caller;
	struct cell_waiter *waiter; /* EVENTS: poll that waits for it */
	uint64_t epoch;		    /* LOST; OP: 1 marks an announcement */
	struct str record;	    /* packed Command */
	uint64_t *tasks;	    /* ASSIGN */
	size_t ntasks;		    /* ASSIGN; OP: 1 marks a key claim */
};

/* An order that is queued for a worker. */
struct cell_order {
	uint64_t seq;
	Control__OrderKind kind;
	uint64_t task;
	uint32_t attempt;
	uint32_t percent;	/* THROTTLE: share of the processor limit */
	struct sched_res limit; /* START: resources of the task */
};

/* The last order that a worker executed for a task; throttles don't count. */
struct cell_executed_order {
	uint64_t task;
	uint64_t seq;
	uint32_t attempt;
};

/* What the leader keeps about a worker with a current epoch. */
struct cell_worker {
	uint64_t epoch;
	bool has_polled; /* at least once since this leader began to serve */
	bool quarantined;
	uint64_t count_order;	   /* seq of the order to count; 0: none */
	struct cell_order *orders; /* not yet executed, by seq */
	size_t norders, caporders;
	struct cell_executed_order *executed;
	size_t nexecuted, capexecuted;
	uint64_t *running; /* tasks reported as running */
	size_t nrunning, caprunning;
};

/* What the leader keeps about an instance that sends heartbeats. */
struct cell_instance {
	uint32_t instance;
	uint64_t incarnation;
	struct timespec last_heartbeat; /* its arrival */
	Control__Beat *heartbeat;	/* the newest one */
	bool reply_pending;		/* the reply waits for a confirmation */
};

/* A START of the scheduler whose assignment is not committed yet. */
struct cell_pending_start {
	uint64_t task;
	uint64_t epoch;
	struct sched_res limit;
};

/* Why a job waits, as last reported by the scheduler. */
struct cell_job {
	uint64_t id;
	enum sched_wait wait_reason;
};

/* The membership change under way; the group allows one at a time. */
struct cell_member_op {
	struct cell_caller caller;
	bool is_active, is_add;
	uint64_t replica;
};

struct cell {
	struct cell_conf conf;
	struct raft *raft;
	struct st *st;
	uint64_t applied_term; /* of the last entry applied */
	/* Of the last leader that may have granted slots again that leaders
	 * before it had granted. */
	uint64_t grant_fence_term;
	struct raft_member *members; /* as of the last entry applied */
	size_t nmembers;
	struct ctr_set ctr;

	/* Valid during one step. */
	TALLOC_CTX *step_ctx;
	struct cell_acts *acts;
	struct timespec now;
	int64_t wall_ms;
	struct raft_acts raft_acts;

	/* State of the leader. */
	bool leading; /* is the leader of term */
	bool serving; /* has applied an entry of its term */
	uint64_t term;
	TALLOC_CTX *leader_ctx; /* owns what ends with the leadership */
	struct lease lease;
	struct grant *grant;
	bool fence_proposed; /* for the grants of earlier leaders */
	struct sched *sched;
	struct sched_acts sched_acts;
	Control__Config *sched_config; /* as last given to the scheduler */
	struct idx workers;	       /* struct cell_worker by epoch */
	struct idx starts;	       /* struct cell_pending_start by task */
	struct idx jobs;	       /* struct cell_job by id */
	struct cell_instance **instances; /* by instance */
	size_t ninstances;
	uint32_t order_count; /* orders queued in this term */
	struct timespec next_housekeeping;

	/* Records handed to the log, and those still to be handed over. */
	struct cell_proposal *proposed_first, **proposed_end;
	struct cell_proposal *batch_first, **batch_end;
	size_t nbatch;
	Control__Command *assignments; /* collected in this step */
	struct cell_member_op member_op;

	struct cell_deferred *deferred_first, **deferred_end;
	size_t ndeferred;
	struct cell_waiter *waiter_first, **waiter_end;
	size_t nwaiters;
	uint64_t confirm_last_id; /* newest confirmation round */
	uint64_t confirm_done_id; /* newest round that a quorum confirmed */
	bool confirm_pending;	  /* round confirm_last_id has no outcome */

	/* Snapshot being written to disk by the caller. */
	bool saving_snapshot;  /* it was taken by this replica */
	bool loading_snapshot; /* it was received from the leader */
	uint64_t save_index, save_term;
	struct str save_data;
};

/* cell.c */
void cell_raft_step(struct cell *, const struct raft_ev *, enum status *);
struct cell_act *cell_act_add(struct cell *, enum cell_act_kind);
Control__PeerMsg *cell_msg_new(struct cell *, uint32_t instance);

/* cell_op.c */
void cell_handle_op(struct cell *, struct cell_caller, const Control__Op *);
void cell_reply(struct cell *, struct cell_caller, Control__OpResult *);
void cell_reply_status(
    struct cell *, struct cell_caller, enum status, const char *message);
uint64_t cell_refusal_term(const struct cell *);
void cell_reply_not_leader(struct cell *, struct cell_caller, enum status);
struct cell_proposal *cell_propose(
    struct cell *, enum cell_proposal_kind, Control__Command *);
Control__Command *cell_command_new(struct cell *);
void cell_assignments_close(struct cell *);
void cell_propose_batch(struct cell *);
void cell_proposal_applied(
    struct cell *, struct cell_proposal *, const struct st_result *);
void cell_proposal_fail(struct cell *, struct cell_proposal *, enum status);
void cell_member_op_applied(struct cell *);

/* cell_wait.c */
struct cell_waiter *cell_waiter_add(
    struct cell *, enum cell_waiter_kind, struct cell_caller);
bool cell_confirm_leadership(struct cell *);
void cell_waiters_answer(struct cell *);
bool cell_defer(struct cell *, struct cell_caller, const Control__Op *,
    const Control__Beat *);
void cell_deferred_run(struct cell *);
void cell_deferred_refuse(struct cell *);
void cell_waiters_refuse(struct cell *);

/* cell_worker.c */
struct cell_worker *cell_worker_find(struct cell *, uint64_t epoch);
void cell_worker_up(struct cell *, uint64_t epoch);
void cell_worker_gone(struct cell *, uint64_t epoch);
void cell_order_add(struct cell *, uint64_t epoch, const struct cell_order *);
void cell_worker_task_gone(struct cell *, uint64_t epoch, uint64_t task);
void cell_handle_poll(
    struct cell *, struct cell_caller, const Control__WorkerPoll *);
void cell_poll_answer(struct cell *, struct cell_waiter *);
void cell_leases_expire(struct cell *);

/* cell_sched.c */
void cell_sched_step(struct cell *, const struct sched_ev *);
void cell_sched_tick(struct cell *);
void cell_sched_set_config(struct cell *);
void cell_sched_add_job(struct cell *, const struct st_job *);
void cell_sched_rebuild(struct cell *);
void cell_effect_apply(struct cell *, const struct st_effect *);
struct cell_job *cell_job_find(struct cell *, uint64_t id);
void cell_assignment_refused(struct cell *, uint64_t task);

/* cell_heartbeat.c */
void cell_handle_heartbeat(
    struct cell *, uint32_t instance, const Control__Beat *);
void cell_heartbeat_answer(struct cell *, uint32_t instance);
void cell_run_housekeeping(struct cell *);
struct cell_instance *cell_instance_find(struct cell *, uint32_t instance);

/* cell_query.c */
void cell_handle_query(
    struct cell *, struct cell_caller, const Control__Query *);
Control__WorkerInfo *cell_worker_info(
    struct cell *, const struct st_worker *, bool full);

__END_DECLS

#endif
