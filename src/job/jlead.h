/*
 * What the leader does with jobs: it assigns tasks to workers, has the
 * assignments replicated, gives the orders, watches what runs by long polls
 * and has each end replicated before the worker may forget it. Pure: events
 * and the time in, commands to replicate and calls to workers out.
 *
 * A run is given up only when it can't be running: its worker listed its
 * end, or refused it with no other copy of the order under way, or answered
 * a stop and doesn't list it, or has started anew since it confirmed it, or
 * its lease has run out on the slowest clock a worker may have.
 */
#ifndef JOB_JLEAD_H
#define JOB_JLEAD_H

#include <time.h>

#include "base/ctr.h"
#include "base/hist.h"
#include "job/jdemand.h"
#include "job/jplan.h"
#include "job/jinterf.h"
#include "job/jst.h"

__BEGIN_DECLS

/* Lease given with each order. Long enough for a change of leader (about
 * 2.5 s) between two renewals, short enough to restart lost work soon. */
#define JLEAD_LEASE_MS 6000
/* Longest lease that a worker takes, whatever an order names; from the
 * platform's page. */
#define JLEAD_LEASE_MAX_MS 10000
/* A stop takes a worker at most this long; above the 900 ms of the platform's
 * page. */
#define JLEAD_STOP_MS 1100
/* A worker's clock may be this much slow; from the platform's page. */
#define JLEAD_SLOW_PERMILLE 20
/* A leader cut off gives no leases this long after the vote that ended its
 * time; the validity of a leader's lease in raft. */
#define JLEAD_OLD_LEADER_MS 1000
/* Long poll: bounds how late a silent worker is noticed. */
#define JLEAD_WAIT_MS	   1000
#define JLEAD_IDLE_WAIT_MS 2000
/* Where filling tasks may disturb serving ones, whose tails are figures of
 * the last half second. */
#define JLEAD_MIXED_WAIT_MS 300
/* First looks of a new leader in one tick: each makes a connection, and a
 * leader that makes hundreds at once is busy for longer than its followers
 * wait for its heartbeats. */
#define JLEAD_FIRST_LOOKS 8
/* And so many for each other instance that makes calls: it makes them beside
 * little else. */
#define JLEAD_FIRST_LOOKS_A_WAY 24
/* An order without an answer after this is sent again. Calls take a few
 * milliseconds; workers that answer late count as silent. */
#define JLEAD_CALL_MS 800
/* A silent worker gets no lease this long after its last word: each order or
 * look without an answer may have renewed it, so that its tasks would wait for
 * it for ever. */
#define JLEAD_HEARD_MS 800
/* Pause after a call that failed, doubled up to the maximum. */
#define JLEAD_RETRY_MS	   150
#define JLEAD_RETRY_MAX_MS 1000
/* A worker that is silent and runs nothing is forgotten after this. */
#define JLEAD_FORGET_MS 20000
/* No starts on a worker for this long after it refused one for want of room
 * or health. */
#define JLEAD_REFUSED_PAUSE_MS 500
/* Blame for failures halves in this time. */
#define JLEAD_BLAME_HALF_MS 4000
/* A plan looks at every worker and every waiting step, about 1 us a worker
 * when the fleet is full. Plans keep a distance of 1 ms for so many workers,
 * which bounds them to a twentieth of a processor at any size. */
#define JLEAD_PLAN_WORKERS_A_MS 50
/* A line on the whole fleet is written this often. */
#define JLEAD_TELL_MS 1000
/* A start that leaves later after its assignment has a line of its own. */
#define JLEAD_LOG_LATE_MS 1000
/* Most assignments in one round, so that a record stays below 64 KiB. */
#define JLEAD_ROUND_MAX 512

enum jl_call_kind {
	JL_HOLD,
	JL_START,
	JL_STOP,
	JL_PACE
};

/* An order or a look; strings are valid during the call. */
struct jl_call {
	enum jl_call_kind kind;
	uint64_t worker;
	const char *id, *addr, *zone;
	uint32_t detour; /* times that another way to it was to be tried */
	Job__Task task;
	uint32_t run;
	int64_t until_ms; /* on the worker's clock; 0: none */
	uint64_t token;
	uint64_t seen; /* ends up to this one may be forgotten */
	int64_t wait_ms;
	int64_t timeout_ms;
	const char *spec, *saved, *ticket;
	uint32_t percent;
	uint64_t serial; /* given back with the reply */
};

enum jl_reply_kind {
	JL_OK,
	JL_NO_ANSWER, /* it may have been carried out, now or later */
	JL_NOT_SENT,  /* no connection */
	JL_FENCED,
	JL_OLD,	 /* the run was stopped or has ended there */
	JL_LATE, /* the lease named is over */
	JL_ROOM,
	JL_TICKET,
	JL_INVALID,
	JL_UNHEALTHY, /* nothing was done */
	JL_OTHER_LIFE,
	/* Of the instance that was to call, which says nothing of the worker:
	 */
	JL_DROPPED,  /* it has not called */
	JL_VIA_LOST, /* no word from it; as JL_NO_ANSWER */
	/* The last value, as replicas of earlier versions know those above. */
	JL_REFUSED /* nothing listens at its address; as JL_NOT_SENT */
};

struct jl_row {
	Job__Task task;
	uint32_t run;
	const char *saved;
	uint32_t percent;
	uint32_t figure; /* tail in ms, or processors in use */
};

struct jl_ended {
	uint64_t n;
	Job__Task task;
	uint32_t run;
	Job__How how;
	const char *saved;
};

struct jl_reply {
	enum jl_reply_kind kind;
	enum jl_call_kind call;
	uint64_t worker, serial;
	Job__Task task;
	uint32_t run;
	bool has_clock;
	int64_t clock_ms;
	uint64_t born; /* 0: not named */
	const struct jl_row *running;
	size_t nrunning;
	const struct jl_ended *ended;
	size_t nended;
};

struct jlead_ops {
	void (*propose)(void *arg, const Job__Command *);
	void (*call)(void *arg, const struct jl_call *);
	/* Whether this leader is the only one right now. Asked for each lease:
	 * a process that was paused handles what came meanwhile before its
	 * timers. */
	bool (*alone)(void *arg);
	void *arg;
};

struct wsess;

struct jlead {
	struct jst *st;
	struct jlead_ops ops;
	struct ctr_set *ctr;
	bool leading;
	uint64_t token;
	struct timespec now, since;
	int64_t wall_ms;
	bool dirty;		 /* something to assign may have changed */
	uint32_t first_looks;	 /* left in this tick */
	struct timespec plan_at; /* the next plan is made from then on */
	struct timespec tell_at; /* the next line on the whole fleet */
	uint64_t plans;		 /* since the last one */
	uint64_t serial;
	struct jpress press; /* kept over changes of leader */
	struct jdemand demand;
	struct hist cancel_ms;	/* from a cancel to the end of the last run */
	struct wsess *sessions; /* list */
	size_t nsessions;
	/* What the plan sees of each session, at its place; kept between
	 * plans, as most workers don't change from one to the next. */
	struct jplan_worker *seen;
	struct wsess **seen_of;
	size_t seen_cap;
	uint32_t ways; /* instances that make its calls, besides this one */
};

void jlead_init(
    struct jlead *, struct jst *, const struct jlead_ops *, struct ctr_set *);
void jlead_finish(struct jlead *);
/* The state holds all that is committed; token rises with each leader. */
void jlead_begin(
    struct jlead *, struct timespec now, int64_t wall_ms, uint64_t token);
void jlead_stop(struct jlead *);
/* Applies a committed command to the state, on every replica. */
void jlead_apply(struct jlead *, struct timespec now, int64_t wall_ms,
    const Job__Command *, struct jst_result *);
void jlead_reply(struct jlead *, struct timespec now, const struct jl_reply *);
/* A heartbeat of a registered worker. */
void jlead_heard(struct jlead *, struct jst_worker *);
/* A worker says that it ends. True if nothing can run there; else its runs are
 * stopped, and its registration is removed once they have ended. */
bool jlead_leave(struct jlead *, struct timespec now, struct jst_worker *);
/* Timeouts, orders that are due. */
void jlead_tick(struct jlead *, struct timespec now, int64_t wall_ms);
/* Assigns what can start now; called when a round of events is done. */
void jlead_plan(struct jlead *);

__END_DECLS

#endif
