/* Sessions and runs of the leader; private to the jlead*.c files. */
#ifndef JOB_JLEAD_IMPL_H
#define JOB_JLEAD_IMPL_H

#include "base/clk.h"
#include "job/jctr.h"
#include "job/jlead.h"
#include "job/jspeed.h"
#include "job/jthrottle.h"

__BEGIN_DECLS

enum run_phase {
	RUN_PROPOSED,  /* the assignment is being replicated */
	RUN_INHERITED, /* inherited, worker not polled yet */
	RUN_STARTING,  /* ordered, not confirmed yet */
	RUN_CONFIRMED,
	RUN_ENDING /* its end is being replicated */
};

/* Reasons for stopping a run. */
enum jl_stop_reason {
	JL_STOP_NONE,
	JL_STOP_JOB_ENDED,
	JL_STOP_NOT_LISTED,  /* the worker no longer lists the run */
	JL_STOP_RESTARTED,   /* the worker has restarted */
	JL_STOP_LEAVING,     /* the worker is about to exit */
	JL_STOP_UNCONFIRMED, /* refused, but another copy of the start may be in
				flight */
	JL_STOP_TASK_DONE,   /* an earlier run has done the task */
	JL_STOP_EVACUATED,   /* another member of its gang isn't started */
	JL_STOP_MAINTENANCE  /* its machine's maintenance comes next */
};

/* One start of a task, from its assignment to its replicated end. */
struct jrun {
	struct jrun *prev, *next; /* list of the session's runs */
	struct wsess *ws;
	/* session that reported the run's end, which is acknowledged there once
	 * it has been replicated; or NULL */
	struct wsess *end_session;
	struct jst_step *step;
	struct jst_task *task;
	uint32_t index, run;
	/* index of the step's image in the leader's interference model */
	size_t image_index;
	enum run_phase phase;
	bool order_pending; /* a start or a stop is in flight */
	bool unconfirmed;   /* a start had no answer and may still arrive */
	/* The worker's incarnation of this session has listed the run, or has
	 * answered its start, as the clock in the answer shows. Until then
	 * another one may have carried out its start. */
	bool is_attributed;
	bool is_recent; /* inherited, and assigned just before */
	/* when such a start was last sent or answered */
	struct timespec started_at;
	/* a start without an answer may be carried out until then */
	struct timespec late_until;
	bool must_stop; /* the run is to be stopped */
	/* in an incarnation that follows the session's */
	bool must_stop_next;
	bool stop_confirmed; /* the worker has confirmed a stop */
	struct timespec stopped_at;
	enum jl_stop_reason stop_reason; /* why must_stop is set */
	uint32_t nstarts, nstops;	 /* orders sent so far */
	bool inherited;			 /* assigned by an earlier leader */
	struct timespec created;
	uint64_t order_serial; /* of the last start or stop */
	/* a poll with a higher serial shows whether the run exists */
	uint64_t confirmed_serial;
	struct timespec retry_at, assigned_at;
	struct timespec order_sent_at; /* last start or stop */
	struct timespec starting_at;   /* when RUN_STARTING began */
	int64_t backoff_ms;
	/* progress and metric in the last answer of the worker */
	uint32_t progress_percent, metric;
	/* in effect, and last ordered; 100: not throttled */
	uint32_t throttle_percent, throttle_ordered;
	bool throttle_pending;	      /* a throttle order is in flight */
	uint32_t nthrottles;	      /* throttle orders sent so far */
	struct timespec throttled_at; /* when the last one was sent */
	char *checkpoint;
};

/* The end as done of a run that was given up, while it is being replicated. */
struct late_end {
	struct late_end *next;
	struct wsess *ws; /* reported it, and gets it acknowledged */
	Job__Task task;
	uint32_t run;
};

/* Session: what the leader knows about one registered worker. */
struct wsess {
	struct wsess *next;
	size_t plan_index; /* index in the leader's plan_workers */
	bool plan_stale;   /* the entry there is out of date */
	bool orders_due;   /* a run may need an order to be sent */
	struct jst_worker *w;
	struct jrun *runs;
	uint32_t nruns;
	bool contacted; /* has answered a poll of this leader */
	bool silent;	/* the last call had no answer */
	/* polls that failed so that calls take another instance */
	uint32_t failed_polls;
	/* another incarnation answered under this worker's id */
	bool restarted;
	/* The next incarnation was registered, and that registration has been
	 * removed: no end is taken from it any more. */
	bool next_removed;
	/* An earlier incarnation may have been called, and a lease by its clock
	 * may have reached this one. */
	bool follows_restart;
	/* the worker has said that it is about to exit */
	bool leave_announced;
	/* gets no new work before the maintenance of its machine */
	bool awaits_maintenance;
	/* the maintenance of its machine is recorded and may have begun */
	bool in_maintenance;
	/* gets no new work before its machine moves to another pool */
	bool awaits_move;
	bool removal_proposed; /* its removal is being replicated */
	bool closed;	       /* its domain is under evacuation */
	/* The worker is slow until then, as its heartbeats say. */
	struct timespec cold_until;
	uint64_t incarnation; /* of the worker that answers */
	uint64_t fence;	      /* fencing token of its calls */
	bool poll_pending;    /* a long poll is in flight */
	uint64_t poll_serial;
	uint64_t answered_poll; /* serial of the last poll that was answered */
	struct timespec poll_deadline; /* end of the poll's time limit */
	/* when this incarnation last answered a poll, and when a lease was last
	 * sent, whose call another one may have carried out */
	struct timespec named_at, lease_sent_at;
	struct timespec next_poll_at, last_heard_at, clock_at, paused_until,
	    failure_score_at;
	int64_t backoff_ms;
	int64_t clock_ms; /* the worker's clock at the time clock_at */
	/* latest end of a lease granted, on the worker's clock */
	int64_t lease_until_max_ms;
	/* ends are acknowledged up to this number */
	uint64_t acked_end;
	uint64_t poll_acked;  /* the same, as sent with the last poll */
	uint64_t acked_known; /* the worker has forgotten ends up to this */
	uint64_t last_end;    /* acked_end once those pending are replicated */
	uint32_t ends_pending;
	int64_t cpu_allocated, mem_allocated, accel_allocated,
	    best_effort_cpu; /* allocated to runs */
	uint32_t nserving, nbest_effort;
	struct jthrottle throttle;
	/* part of cpu_allocated held by serving tasks */
	int64_t serving_cpu;
	double failure_score;
	/* with look-ahead */
	struct jroom_worker room;
	struct jspeed speed;
};

/* jlead.c */
void jl_call_init(
    struct jlead *, const struct wsess *, struct jl_call *, enum jl_call_kind);
struct wsess *jl_session(struct jlead *, uint64_t num);
int64_t jl_lease_until(const struct jlead *, const struct wsess *);
void jl_call_run(struct jlead *, struct jrun *, enum jl_call_kind);
void jl_poll(struct jlead *, struct wsess *);
bool jl_has_failed_poll(const struct wsess *);
bool jl_may_run(const struct jlead *, const struct jrun *);
bool jl_is_own_clock(
    const struct wsess *, const struct jl_reply *, struct timespec sent_at);
bool jl_may_run_elsewhere(const struct jlead *, const struct jrun *);
/* jlead_run.c */
struct jrun *jrun_new(struct jlead *, struct wsess *, struct jst_step *,
    uint32_t index, uint32_t run, enum run_phase);
void jrun_free(struct jlead *, struct jrun *);
void jl_set_checkpoint(struct jlead *, struct jrun *, const char *);
void jrun_end(struct jlead *, struct jrun *, Job__How, const char *checkpoint);
void jl_note_begun(struct jlead *, struct jst_job *);
void jrun_confirm(struct jrun *);
void jrun_stop(struct jlead *, struct jrun *, enum jl_stop_reason);
void jrun_stop_again(struct jlead *, struct jrun *);
void jrun_note_late(struct jrun *);
void jrun_send_due(struct jlead *, struct jrun *);
void jrun_task_ref(const struct jrun *, Job__Task *);
struct jrun *jrun_find(
    const struct jlead *, const struct wsess *, const Job__Task *, uint32_t);
void jl_add_failure(struct jlead *, struct wsess *, double);
double jl_failure_score(const struct jlead *, const struct wsess *);
/* jlead_log.c */
void jl_log_start(struct jlead *, struct jrun *, const struct jl_call *);
void jl_log_stop(struct jlead *, struct jrun *, const struct jl_call *);
void jl_log_stop_answer(const struct jrun *, const struct jl_reply *);
void jl_log_cancel_done(struct jlead *, const struct jst_job *);
void jl_log_orphan(
    struct jlead *, const struct wsess *, const struct jl_running *);
void jl_log_late_end(
    struct jlead *, const struct wsess *, const struct jl_ended *);
void jl_log_ignored_end(
    struct jlead *, const struct wsess *, const struct jl_ended *);
void jl_log_worker_lost(struct jlead *, const struct wsess *, uint32_t nruns);
void jl_log_stale(
    struct jlead *, const Job__Command *, const struct jst_result *);
/* jlead_evac.c */
bool jl_evac_withholds(const struct jlead *, const struct jrun *);
void jl_evac_gave_up(struct jlead *, const struct jrun *);
void jl_evac_applied(struct jlead *, const Job__Evacuation *, enum status);
void jl_evac_scan(struct jlead *);
void jl_withhold_gang(struct jlead *, const struct jrun *);
/* jlead_plan.c */
bool jl_is_usable(const struct jlead *, const struct wsess *);
/* jlead_advice.c */
void jl_advice_begin(struct jlead *);
void jl_advice_stop(struct jlead *);
void jl_advice_configured(struct jlead *);
void jl_advice_tick(struct jlead *);
void jl_advice_prepare(struct jlead *);
const char *jl_advice_ticket(const struct jlead *, const struct jrun *);
bool jl_advice_withholds(const struct jlead *, const struct jrun *);
void jl_advice_gave_up(struct jlead *, const struct jrun *);
bool jl_advice_refused(struct jlead *, const struct jrun *);
/* jlead_room.c */
struct jplan_lookahead *jl_lookahead(struct jlead *);
double jl_slowness(const struct jlead *, const struct wsess *);
void jl_learn_room(struct jlead *, const struct jrun *);
void jl_log_reserved(struct jlead *);
void jl_forget_room(struct jst_step *);
/* jlead_idle.c */
void jl_scan_idle(struct jlead *);
/* jlead_throttle.c */
double jl_cpu_share(const struct wsess *, const Job__Step *);
void jl_update_throttle(struct jlead *, struct wsess *);
void jl_apply_throttle(struct jlead *, struct wsess *);
/* jlead_reply.c */
void jl_propose_removal(struct jlead *, struct wsess *);
void jl_handle_restart(struct jlead *, struct wsess *, uint64_t incarnation);
/* jlead_poll.c */
bool jl_has_late_end(
    const struct jlead *, const struct jst_step *, const Job__Task *);
void jl_handle_poll(struct jlead *, struct wsess *, const struct jl_reply *);

__END_DECLS

#endif
