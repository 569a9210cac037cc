/* Layout of a cell, shared by the files of cell. */
#ifndef CONTROL_CELL_IMPL_H
#define CONTROL_CELL_IMPL_H

#include "base/ctr.h"
#include "control/cell.h"
#include "control/lease.h"
#include "control/st.h"
#include "placement/sched.h"
#include "request/grant.h"

__BEGIN_DECLS

/* Requests time out after at most 30 s; the rest covers their transit. */
#define CELL_GRANT_TTL_MS 32000
/* How often the leader looks for expired keys and replicas to add. */
#define CELL_HOUSEKEEPING_MS 1000
/* An instance that has been silent for this long is not added as replica. */
#define CELL_BEAT_RECENT_MS 3000
/* Ops that wait for the leader's first commit or for proof of leadership. */
#define CELL_WAITING_MAX 8192
#define CELL_ORDERS_MAX	 256 /* in one poll reply */
#define CELL_ACTS_FIRST	 16
#define CELL_QUERY_MAX	 1000
#define CELL_ASSIGN_MAX	 8192 /* tasks in one record, far below its limit */

enum cell_ctr {
	CELL_C_OPS,
	CELL_C_NOT_LEADER,
	CELL_C_UNKNOWN,
	CELL_C_REFUSED,
	CELL_C_FULL,
	CELL_C_BEATS,
	CELL_C_BEATS_OLD,
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

/* Where the result of an operation goes. */
struct cell_from {
	uint32_t instance;
	uint64_t id;
};

/* A poll that is not answered yet. */
struct cell_poll {
	Control__WorkerPoll *msg;
	uint64_t event_ack;
	bool confirmed, applied;
	bool complete; /* its events are applied, no one was refused */
};

enum cell_wait_kind {
	CELL_WAIT_BEAT,
	CELL_WAIT_POLL,
	CELL_WAIT_QUERY,
	CELL_WAIT_LEAVE
};

/* Something that is answered only with proof of leadership. */
struct cell_wait {
	struct cell_wait *next;
	enum cell_wait_kind kind;
	uint64_t confirm; /* that proves it; 0: not asked for yet */
	struct cell_from from;
	struct cell_poll *poll;
	Control__Query *query;
	Control__WorkerLeave *leave;
};

/* What came between the election and the first commit of the term. */
struct cell_held {
	struct cell_held *next;
	struct cell_from from;
	Control__Op *op;
	Control__Beat *beat;
};

enum cell_pend_kind {
	CELL_PEND_OP,
	CELL_PEND_LEAVE,
	CELL_PEND_EVENTS,
	CELL_PEND_LOST,
	CELL_PEND_ASSIGN,
	CELL_PEND_INTERNAL
};

/* A record that was proposed, in the order of the log. */
struct cell_pend {
	struct cell_pend *next;
	enum cell_pend_kind kind;
	struct cell_from from;
	struct cell_wait *poll; /* EVENTS; not answered before */
	uint64_t epoch;		/* LOST */
	struct str data;	/* until it is proposed */
	uint64_t *tasks;	/* ASSIGN */
	size_t ntasks;
};

struct cell_order {
	uint64_t seq;
	Control__OrderKind kind;
	uint64_t task;
	uint32_t attempt;
	uint32_t percent;
	struct sched_res limit;
};

/* An order that was carried out: the task runs, or has ended there. */
struct cell_had {
	uint64_t task;
	uint64_t seq;
	uint32_t attempt;
};

/* The leader's view of a worker. */
struct cell_worker {
	uint64_t epoch;
	bool polled; /* since this leader serves */
	bool quarantined;
	struct cell_order *orders; /* not yet carried out, by seq */
	size_t norders, caporders;
	struct cell_had *had;
	size_t nhad, caphad;
	uint64_t *running; /* tasks reported as running */
	size_t nrunning, caprunning;
};

struct cell_inst {
	uint32_t instance;
	uint64_t incarnation;
	struct timespec heard;
	Control__Beat *beat; /* the newest one */
	bool waiting;	     /* for the reply to it */
};

/* A START of the scheduler that is not assigned yet. */
struct cell_start {
	uint64_t task;
	uint64_t epoch;
	struct sched_res limit;
};

struct cell_job {
	uint64_t id;
	enum sched_wait wait;
};

struct cell_member_op {
	struct cell_from from;
	bool active, add;
	uint64_t replica;
};

struct cell {
	struct cell_conf conf;
	struct raft *raft;
	struct st *st;
	uint64_t applied_term;	     /* of the last entry applied */
	struct raft_member *members; /* as of the last entry applied */
	size_t nmembers;
	struct ctr_set ctr;

	/* One step. */
	TALLOC_CTX *step;
	struct cell_acts *acts;
	struct timespec now;
	int64_t wall_ms;
	struct raft_acts racts;

	/* The leader. */
	bool leading; /* has the role */
	bool serving; /* has applied an entry of its term */
	uint64_t term;
	TALLOC_CTX *lead; /* all that dies with the role */
	struct lease lease;
	struct grant *grant;
	struct sched *sched;
	struct sched_acts sacts;
	Control__Config *fed;	  /* that the scheduler has */
	struct idx workers;	  /* struct cell_worker by epoch */
	struct idx starts;	  /* struct cell_start by task */
	struct idx jobs;	  /* struct cell_job by id */
	struct cell_inst **insts; /* by instance */
	size_t ninsts;
	uint32_t order_count;
	struct timespec housekeeping;

	/* Proposed records, and those of this step that are not yet. */
	struct cell_pend *pend_first, **pend_end;
	struct cell_pend *batch_first, **batch_end;
	size_t nbatch;
	Control__Command *assign; /* of this step */
	struct cell_member_op member_op;

	struct cell_held *held_first, **held_end;
	size_t nheld;
	struct cell_wait *wait_first, **wait_end;
	size_t nwait;
	uint64_t confirm_last; /* id of the newest CONFIRM */
	uint64_t confirm_done; /* highest one that proved leadership */
	bool confirm_open;     /* one is under way */

	/* A snapshot that the shell is writing. */
	bool saving, loading;
	uint64_t save_index, save_term;
	struct str save_data;
};

/* cell.c */
void cell_raft(struct cell *, const struct raft_ev *, enum status *);
struct cell_act *cell_act(struct cell *, enum cell_act_kind);
Control__PeerMsg *cell_msg(struct cell *, uint32_t instance);

/* cell_op.c */
void cell_op(struct cell *, struct cell_from, const Control__Op *);
void cell_reply(struct cell *, struct cell_from, Control__OpResult *);
void cell_reply_status(
    struct cell *, struct cell_from, enum status, const char *message);
void cell_reply_not_leader(struct cell *, struct cell_from, enum status);
struct cell_pend *cell_propose(
    struct cell *, enum cell_pend_kind, Control__Command *);
Control__Command *cell_command(struct cell *);
void cell_assign_end(struct cell *);
void cell_flush(struct cell *);
void cell_applied(struct cell *, struct cell_pend *, const struct st_result *);
void cell_pend_fail(struct cell *, struct cell_pend *, enum status);
void cell_member_applied(struct cell *);

/* cell_wait.c */
struct cell_wait *cell_wait(
    struct cell *, enum cell_wait_kind, struct cell_from);
/* Asks for proof for all that has none; true if proof came at once. */
bool cell_wait_confirm(struct cell *);
void cell_wait_answer(struct cell *);
/* Keeps an operation or a beat until this leader serves; false: full. */
bool cell_hold(struct cell *, struct cell_from, const Control__Op *,
    const Control__Beat *);
void cell_held_run(struct cell *);
void cell_held_fail(struct cell *);
void cell_wait_fail(struct cell *);

/* cell_worker.c */
struct cell_worker *cell_worker(struct cell *, uint64_t epoch);
void cell_worker_up(struct cell *, uint64_t epoch);
void cell_worker_gone(struct cell *, uint64_t epoch);
void cell_order_add(struct cell *, uint64_t epoch, const struct cell_order *);
/* The task is no longer on the worker. */
void cell_worker_task_gone(struct cell *, uint64_t epoch, uint64_t task);
void cell_poll(struct cell *, struct cell_from, const Control__WorkerPoll *);
void cell_poll_answer(struct cell *, struct cell_wait *);
void cell_lease_check(struct cell *);

/* cell_sched.c */
void cell_sched(struct cell *, const struct sched_ev *);
void cell_sched_tick(struct cell *);
void cell_sched_config(struct cell *);
void cell_sched_job(struct cell *, const struct st_job *);
void cell_sched_rebuild(struct cell *);
void cell_note(struct cell *, const struct st_note *);
struct cell_job *cell_job(struct cell *, uint64_t id);
void cell_assign_refused(struct cell *, uint64_t task);

/* cell_beat.c */
void cell_beat(struct cell *, uint32_t from, const Control__Beat *);
void cell_beat_answer(struct cell *, uint32_t instance);
void cell_housekeeping(struct cell *);
struct cell_inst *cell_inst(struct cell *, uint32_t instance);

/* cell_query.c */
void cell_query(struct cell *, struct cell_from, const Control__Query *);
Control__WorkerInfo *cell_worker_info(
    struct cell *, const struct st_worker *, bool full);

__END_DECLS

#endif
