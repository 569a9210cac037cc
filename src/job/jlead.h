/*
 * The leader's side of running jobs. It assigns tasks to workers, replicates
 * the assignments, sends start and stop orders, follows the runs by long polls,
 * and replicates each end before it acknowledges it to the worker. Pure: takes
 * events and the time, produces commands to replicate and calls to workers.
 *
 * A run is given up only when it can no longer be running: its worker reported
 * its end; or refused the start while no other copy of the order is in flight;
 * or confirmed a stop and no longer lists it; or has restarted since it
 * confirmed the run; or the lease has run out even on the slowest clock that a
 * worker may have. If a worker reports later that such a run was done, its task
 * is done, and a later run of it is stopped.
 */
#ifndef JOB_JLEAD_H
#define JOB_JLEAD_H

#include <time.h>

#include "base/ctr.h"
#include "base/hist.h"
#include "job/jadvice.h"
#include "job/jcloud.h"
#include "job/jdemand.h"
#include "job/jevac.h"
#include "job/jplan.h"
#include "job/jinterf.h"
#include "job/jspeed.h"
#include "job/jst.h"

__BEGIN_DECLS

/* Lease granted with each order. Longer than a change of leader (about 2.5 s)
 * between two renewals, short enough to restart lost work soon. */
#define JLEAD_LEASE_MS 6000
/* Longest lease that a worker accepts, whatever the order says; a limit of the
 * platform. */
#define JLEAD_LEASE_MAX_MS 10000
/* A call without an answer may be carried out this long after it was sent, also
 * by the worker's next incarnation. */
#define JLEAD_LATE_CALL_MS 12000
/* A call that was sent to a worker's earlier incarnation may have given one
 * that started this recently a lease by the earlier clock that is still in
 * force. */
#define JLEAD_YOUNG_WORKER_MS (JLEAD_LATE_CALL_MS + JLEAD_LEASE_MAX_MS + 500)
/* How far the times of day of two replicas may be apart; a limit of the
 * platform's deployments is 2.4 s. */
#define JLEAD_WALL_CLOCK_STEP_MS 2500
/* A run that was assigned this long before a change of the leader has been
 * started, and listed by its worker, if it was going to be. */
#define JLEAD_RECENT_ASSIGNMENT_MS 4000
/* Ends are acknowledged only this soon after an answer that names its
 * incarnation: a later one can't have ended a run of its own by then. */
#define JLEAD_ACK_AGE_MS 200
/* Bits of a fencing token below the leader's term. They count the registrations
 * in its term, so that a new incarnation refuses calls that were meant for the
 * one before. */
#define JLEAD_FENCE_BITS 20
/* Longest time that a worker needs to stop a task; above the platform's limit
 * of 900 ms. */
#define JLEAD_STOP_MAX_MS 1100
/* Most ends that a worker lists in one answer; a limit of the platform. */
#define JLEAD_ENDS_PER_ANSWER 500
/* An end with a higher number, or one that is further above those that were
 * acknowledged, is malformed and never acknowledged: the worker would forget
 * all ends before it unheard. */
#define JLEAD_END_NUMBER_MAX	  (UINT64_C(1) << 31)
#define JLEAD_END_NUMBER_STEP_MAX UINT64_C(1000000)
/* How much slower than real time a worker's clock may run; a limit of the
 * platform. */
#define JLEAD_CLOCK_DRIFT_PERMILLE 20
/* A leader that was cut off may still grant leases this long after the vote
 * that replaced it: the validity of the leader's lease in raft. */
#define JLEAD_OLD_LEADER_LEASE_MS 1000
/* How long a worker holds a long poll open. Bounds how late a silent worker is
 * noticed. */
#define JLEAD_POLL_WAIT_MS	1000
#define JLEAD_IDLE_POLL_WAIT_MS 2000
/* Long poll of a worker with serving tasks, which best-effort tasks may slow
 * down: their tail latencies cover the last half second. */
#define JLEAD_SERVING_POLL_WAIT_MS 300
/* First polls that a new leader sends in one tick. Each opens a connection;
 * opening hundreds at once keeps the leader busy for longer than its followers
 * wait for a heartbeat. */
#define JLEAD_FIRST_POLLS_PER_TICK 8
/* First polls in one tick for each other instance that makes calls for the
 * leader. It has little else to do. */
#define JLEAD_FIRST_POLLS_PER_RELAY 24
/* Time limit of a call; an order without an answer is sent again after it.
 * Calls normally take a few milliseconds, and workers that answer later count
 * as silent. */
#define JLEAD_CALL_TIMEOUT_MS 800
/* A worker that has been silent for longer is given no new lease. Any
 * unanswered order or poll may have renewed its lease, so that its tasks would
 * never be given to another worker. */
#define JLEAD_SILENT_LEASE_MS 800
/* Delay before a failed call is repeated; doubles up to the maximum. */
#define JLEAD_RETRY_MS	   150
#define JLEAD_RETRY_MAX_MS 1000
/* A stop without an answer is repeated this long after it was sent, however
 * often it has failed: a task has to end within 3.9 s of its job's cancel, also
 * if its worker loses three orders. */
#define JLEAD_STOP_REPEAT_MS (JLEAD_CALL_TIMEOUT_MS + JLEAD_RETRY_MS)
/* A silent worker without runs is removed after this time. */
#define JLEAD_FORGET_SILENT_MS 20000
/* A start that the worker hasn't confirmed for this long is given up, and the
 * task goes to another worker. Leaves time for a third attempt; users accept
 * 6 s between two runs of a long-running task. */
#define JLEAD_START_MS 3000
/* No tasks are assigned to a worker for this long after it refused a start for
 * lack of resources or because it is unhealthy. */
#define JLEAD_REFUSED_PAUSE_MS 500
/* Half-life of a worker's failure score. */
#define JLEAD_FAILURE_HALF_LIFE_MS 4000
/*
 * Minimum interval between two plans: 1 ms for this many workers. A plan visits
 * every worker and every waiting step, which takes about 1 us a worker on a
 * full fleet, so that planning takes at most a twentieth of a processor at any
 * size.
 */
#define JLEAD_PLAN_WORKERS_PER_MS 50
/* Interval of the log line about the whole fleet. */
#define JLEAD_FLEET_LOG_INTERVAL_MS 1000
/* A task that should run and hasn't for this long is logged. Long enough for a
 * change of leader, and for an order that is repeated. */
#define JLEAD_IDLE_MS 3000
/* A worker with runs that hasn't been heard for this long and doesn't count as
 * silent is logged. Longer than a poll that gets no answer. */
#define JLEAD_UNHEARD_MS 3500
/* Most such tasks, and workers, logged in one JLEAD_FLEET_LOG_INTERVAL_MS. */
#define JLEAD_IDLE_LINES_MAX 8
/* Most places kept for large tasks that are logged in one
 * JLEAD_FLEET_LOG_INTERVAL_MS. */
#define JLEAD_RESERVE_LINES_MAX 16
/* A start that is sent later than this after its assignment is logged
 * separately. */
#define JLEAD_LATE_START_MS 1000
/* Ended jobs that could have been forgotten for this long are, and how often
 * that is tried. Submissions forget them too, but may be refused before they
 * are in the log. */
#define JLEAD_FORGET_LATE_MS	 5000
#define JLEAD_FORGET_INTERVAL_MS 1000
/* Most assignments of one plan, besides the rest of a gang; keeps the log
 * record below 64 KiB. */
#define JLEAD_ASSIGN_MAX 512

enum jl_call_kind {
	JL_POLL,
	JL_START,
	JL_STOP,
	JL_THROTTLE
};

/* An order or a long poll. The strings are valid only during the call. */
struct jl_call {
	enum jl_call_kind kind;
	uint64_t worker;
	const char *id, *addr, *zone;
	uint32_t relay_attempt; /* how many other instances to try first */
	Job__Task task;
	uint32_t run;
	int64_t lease_until_ms; /* on the worker's clock; 0: no lease */
	uint64_t token;		/* of the leader */
	uint64_t fence;		/* fencing token that the worker compares */
	uint64_t acked_end;	/* ends up to this number are acknowledged */
	int64_t wait_ms;
	int64_t timeout_ms;
	const char *spec, *checkpoint, *ticket;
	uint32_t throttle_percent;
	uint64_t serial; /* copied into the reply */
};

enum jl_reply_kind {
	JL_OK,
	JL_NO_ANSWER, /* may have been carried out, or may be later */
	JL_NOT_SENT,  /* could not connect */
	JL_FENCED,
	JL_RUN_ENDED,  /* the run was stopped or has ended there */
	JL_LEASE_OVER, /* the lease in the order has expired */
	JL_NO_ROOM,
	JL_BAD_TICKET,
	JL_INVALID,
	JL_UNHEALTHY, /* the worker is unhealthy; nothing was done */
	JL_OTHER_INCARNATION,
	/* Reported by the instance that relays the call; they tell nothing
	 * about the worker: */
	JL_RELAY_DROPPED, /* it did not make the call */
	JL_RELAY_LOST,	  /* no answer from it; as JL_NO_ANSWER */
	/* Last, because replicas of earlier versions know the values above by
	 * number. */
	/* Connection refused. No sign that the worker's process has ended: a
	 * broken path may refuse as well. */
	JL_CONN_REFUSED
};

/* A running task in the answer to a long poll. */
struct jl_running {
	Job__Task task;
	uint32_t run;
	const char *checkpoint;
	uint32_t progress_percent; /* progress of the task */
	/* tail latency in ms of a serving task, or processors in use */
	uint32_t metric;
};

/* An ended run in the answer to a long poll; numbers rise within an incarnation
 * of the worker. */
struct jl_ended {
	uint64_t number;
	Job__Task task;
	uint32_t run;
	Job__How how;
	const char *checkpoint;
};

/* The answer to a call, or that there was none. */
struct jl_reply {
	enum jl_reply_kind kind;
	enum jl_call_kind call;
	uint64_t worker, serial;
	Job__Task task;
	uint32_t run;
	bool has_clock;
	int64_t clock_ms;
	/* 0: not reported, as in answers to orders: any incarnation may have
	 * given them */
	uint64_t incarnation;
	const struct jl_running *running;
	size_t nrunning;
	const struct jl_ended *ended;
	size_t nended;
};

/* How the leader acts: by proposing commands and calling workers. */
struct jlead_ops {
	void (*propose)(void *arg, const Job__Command *);
	void (*call)(void *arg, const struct jl_call *);
	/* Tells whether this replica is the only leader right now. Asked before
	 * each lease, because a process that was paused handles queued events
	 * before its timers. */
	bool (*is_sole_leader)(void *arg);
	void *arg;
};

struct wsess;
struct late_end;
struct jl_waves;
struct jl_pools;

/* Advice of a leader. */
struct jl_advice {
	struct jadvice_ops ops; /* call NULL: there is no setting */
	bool is_used;		/* a queue has advice */
	struct jadvice *known;	/* NULL: this replica doesn't lead */
	bool is_lack_logged;	/* that the setting is missing */
	struct timespec log_at; /* next log line */
	/* Steps that could start and have no usable ticket, calls that wait for
	 * a caller, and usable tickets. */
	size_t nwaiting, nqueued, ntickets;
};

/* State of the job leader. On other replicas only the averages are kept up. */
struct jlead {
	struct jst *st;
	struct jlead_ops ops;
	struct ctr_set *ctr;
	bool leading;
	uint64_t token;
	struct timespec now, leading_since;
	int64_t wall_ms;
	bool plan_needed; /* a plan may find something to assign */
	/* May still be sent in this tick: first polls, and those repeated that
	 * had no answer. Workers that never answer must not delay others. */
	uint32_t first_polls_left, first_repeats_left;
	struct timespec plan_at;      /* earliest time of the next plan */
	struct timespec fleet_log_at; /* next log line about the fleet */
	uint64_t nplans;	      /* since the last such line */
	uint64_t serial;	      /* of the last call */
	uint64_t nfences;	      /* registrations in this term */
	size_t nrestarted;	      /* sessions of earlier incarnations */
	uint32_t nruns;		      /* of all sessions */
	size_t checkpoint_bytes;      /* copies of their checkpoints */
	struct timespec forget_at;    /* next order to forget ended jobs */
	uint64_t first_serial;	      /* of this term's calls */
	struct jinterf interf;	      /* kept when the leader changes */
	struct jdemand demand;
	struct jevac evac;
	bool lookahead; /* set once, after jlead_init; look-ahead placement */
	struct jroom room;
	struct jspeed speed; /* of all workers */
	struct jplan_lookahead look;
	uint32_t nreserve_lines; /* logged since the last line on the fleet */
	/* from a cancel to the end of the job's last run */
	struct hist cancel_ms;
	struct wsess *sessions; /* linked list */
	struct late_end *late_ends;
	size_t nsessions;
	/* Input of the plan, one entry per session; kept between plans, as most
	 * workers don't change from one plan to the next. */
	struct jplan_worker *plan_workers;
	struct wsess **plan_sessions;
	size_t plan_cap;
	uint32_t nrelays;	/* other instances that relay its calls */
	struct jl_waves *waves; /* NULL: no maintenance is ordered */
	struct jl_pools *pools; /* NULL as well: no moves between pools */
	struct jl_advice advice;
};

void jlead_init(
    struct jlead *, struct jst *, const struct jlead_ops *, struct ctr_set *);
void jlead_finish(struct jlead *);
/* Starts to lead. The state must hold all committed commands; token must be
 * higher than that of any earlier leader. */
void jlead_begin(
    struct jlead *, struct timespec now, int64_t wall_ms, uint64_t token);
void jlead_stop(struct jlead *);
/* Applies a committed command to the state, on every replica. */
void jlead_apply(struct jlead *, struct timespec now, int64_t wall_ms,
    const Job__Command *, struct jst_result *);
void jlead_reply(struct jlead *, struct timespec now, const struct jl_reply *);
/* Records a heartbeat of a registered worker, which says for how much longer
 * the worker is slow; 0: it isn't. */
void jlead_on_heartbeat(
    struct jlead *, struct jst_worker *, uint32_t cold_left_ms);
/* Handles a worker's notice that it is about to exit. Returns true if nothing
 * can run there: the caller then proposes the removal of its registration.
 * Otherwise its runs are stopped, and the registration is removed once they
 * have ended. */
bool jlead_leave(struct jlead *, struct timespec now, struct jst_worker *);
/* Counts the runs in a failure domain. */
uint64_t jl_evac_count_runs(const struct jlead *, const char *domain);
/* Handles timeouts and sends the orders and polls that are due. */
void jlead_tick(struct jlead *, struct timespec now, int64_t wall_ms);
/* Enables the orders of maintenance and of moves; called once, after
 * jlead_init. A leader waits holder_wait_ms before its first one. */
void jlead_set_cloud(
    struct jlead *, const struct jcloud_ops *, int64_t holder_wait_ms);
/* Takes a complete list of the machines. */
void jlead_on_machines(struct jlead *, struct timespec now,
    const struct jcloud_machine *, size_t n, struct timespec requested_at);
/* Takes the result of an order. */
void jlead_on_ordered(
    struct jlead *, struct timespec now, uint64_t serial, enum jcloud_result);
/* Returns how many workers the last plan keeps for tasks of a job, and sets out
 * to the first max of them, in no order. None without look-ahead. */
size_t jlead_kept_places(const struct jlead *, uint64_t job,
    const struct jplan_worker **out, size_t max);
/* Enables calls for advice; called once, after jlead_init. */
void jlead_set_advice(struct jlead *, const struct jadvice_ops *);
/* Takes the answer to such a call of the leader with this token, or that there
 * was none. */
void jlead_on_advice(struct jlead *, struct timespec now, uint64_t token,
    const struct jadvice_answer *);
/* Assigns tasks that can start now. Called at the end of each round of
 * events. */
void jlead_plan(struct jlead *);

__END_DECLS

#endif
