/* Layout of sessions and runs, shared by the jlead*.c files only. */
#ifndef JOB_JLEAD_IMPL_H
#define JOB_JLEAD_IMPL_H

#include "base/clk.h"
#include "job/jctr.h"
#include "job/jlead.h"
#include "job/jthrottle.h"

enum run_phase {
	RUN_PROPOSED,  /* the assignment is being replicated */
	RUN_INHERITED, /* assigned by an earlier leader, not looked at yet */
	RUN_STARTING,  /* ordered, not confirmed */
	RUN_CONFIRMED,
	RUN_ENDING /* its end is being replicated */
};

/* Why a run is stopped. */
enum jl_stop_reason {
	JL_STOP_NONE,
	JL_STOP_JOB_ENDED,
	JL_STOP_NOT_LISTED, /* its worker doesn't list it any more */
	JL_STOP_RESTARTED,  /* its worker has started anew */
	JL_STOP_LEAVING,    /* its worker */
	JL_STOP_UNCONFIRMED /* refused while another copy may be under way */
};

/* One start of a task, from its assignment to its replicated end. */
struct jrun {
	struct jrun *prev, *next; /* of the session */
	struct wsess *ws;
	struct wsess *end_session; /* listed its end, which it may forget once
				    * that is replicated */
	struct jst_step *step;
	struct jst_task *task;
	uint32_t index, run;
	size_t image_index; /* of the step, in the leader's press */
	enum run_phase phase;
	bool order_pending;  /* a start or a stop is under way */
	bool unconfirmed;    /* a start had no answer: it may arrive late */
	bool must_stop;	     /* it has to be stopped */
	bool stop_confirmed; /* the worker answered a stop */
	struct timespec stopped_at;
	enum jl_stop_reason stop_reason; /* it is stopped */
	uint32_t nstarts, nstops;	 /* orders sent */
	bool inherited;			 /* assigned by an earlier leader */
	struct timespec created;
	uint64_t
	    confirmed_serial; /* looks sent after this serial tell about it */
	struct timespec retry_at, assigned_at;
	int64_t backoff_ms;
	uint32_t percent, metric;
	uint32_t throttle_percent,
	    throttle_ordered;  /* that it was told, 100 at its start */
	bool throttle_pending; /* an order for its pace is under way */
	char *checkpoint;
};

/* What the leader knows about one worker. */
struct wsess {
	struct wsess *next;
	size_t plan_index; /* in the leader's seen */
	bool plan_stale;   /* what is seen there has changed */
	bool orders_due;   /* a run may have an order to be sent */
	struct jst_worker *w;
	struct jrun *runs;
	uint32_t nruns;
	bool contacted;	       /* answered a look of this leader */
	bool silent;	       /* the last call had no answer */
	uint32_t failed_polls; /* looks that had none */
	bool restarted;	       /* another life answered under its id */
	bool leave_announced;  /* it has said that it ends */
	bool removal_proposed; /* its end is being replicated */
	uint64_t incarnation;  /* of the life that answers */
	bool poll_pending;     /* a look is under way */
	uint64_t poll_serial;
	struct timespec next_poll_at, last_heard_at, clock_at, paused_until,
	    failure_score_at;
	int64_t backoff_ms;
	int64_t clock_ms;	    /* of the worker, at clock_at */
	int64_t lease_until_max_ms; /* latest lease that may be in force */
	uint64_t acked_end, last_end;
	uint32_t ends_pending;
	int64_t cpu_allocated, mem_allocated, accel_allocated,
	    best_effort_cpu; /* taken */
	uint32_t nserving, nbest_effort;
	struct jthrottle throttle;
	int64_t serving_cpu; /* of cpu */
	double failure_score;
};

/* jlead.c */
void jl_call_init(
    struct jlead *, const struct wsess *, struct jl_call *, enum jl_call_kind);
struct wsess *jl_session(struct jlead *, uint64_t num);
int64_t jl_lease_until(const struct jlead *, const struct wsess *);
void jl_call_run(struct jlead *, struct jrun *, enum jl_call_kind);
void jl_poll(struct jlead *, struct wsess *);
bool jl_leases_expired(const struct jlead *, const struct wsess *);
/* jlead_run.c */
struct jrun *jrun_new(struct jlead *, struct wsess *, struct jst_step *,
    uint32_t index, uint32_t run, enum run_phase);
void jrun_free(struct jlead *, struct jrun *);
void jrun_end(struct jlead *, struct jrun *, Job__How, const char *saved);
void jrun_stop(struct jlead *, struct jrun *, enum jl_stop_reason);
void jrun_send_due(struct jlead *, struct jrun *);
void jrun_task_ref(const struct jrun *, Job__Task *);
struct jrun *jrun_find(
    const struct jlead *, const struct wsess *, const Job__Task *, uint32_t);
/* jlead_log.c */
void jl_log_start(struct jlead *, struct jrun *, const struct jl_call *);
void jl_log_stop(struct jlead *, struct jrun *, const struct jl_call *);
void jl_log_cancel_done(struct jlead *, const struct jst_job *);
void jl_log_orphan(struct jlead *, const struct wsess *, const struct jl_row *);
/* jlead_pace.c */
double jl_cpu_share(const struct wsess *, const Job__Step *);
void jl_throttle_update(struct jlead *, struct wsess *);
void jl_throttle_apply(struct jlead *, struct wsess *);
void jl_failure_add(struct jlead *, struct wsess *, double);
double jl_failure_score(const struct jlead *, const struct wsess *);
/* jlead_reply.c */
void jl_propose_removal(struct jlead *, struct wsess *);
void jl_restarted(struct jlead *, struct wsess *, uint64_t born);
/* jlead_look.c */
void jl_on_poll(struct jlead *, struct wsess *, const struct jl_reply *);

#endif
