/* Layout of sessions and runs, shared by the jlead*.c files only. */
#ifndef JOB_JLEAD_IMPL_H
#define JOB_JLEAD_IMPL_H

#include "base/clk.h"
#include "job/jctr.h"
#include "job/jlead.h"
#include "job/jthrottle.h"

enum run_phase {
	RUN_PROPOSED, /* the assignment is being replicated */
	RUN_ADOPTED,  /* assigned by an earlier leader, not looked at yet */
	RUN_STARTING, /* ordered, not confirmed */
	RUN_LIVE,
	RUN_ENDING /* its end is being replicated */
};

/* Why a run is stopped. */
enum jl_why {
	JL_WHY_NONE,
	JL_WHY_JOB_ENDED,
	JL_WHY_NOT_LISTED, /* its worker doesn't list it any more */
	JL_WHY_REBORN,	   /* its worker has started anew */
	JL_WHY_LEAVES,	   /* its worker */
	JL_WHY_DOUBTFUL	   /* refused while another copy may be under way */
};

/* One start of a task, from its assignment to its replicated end. */
struct jrun {
	struct jrun *prev, *next; /* of the session */
	struct wsess *ws;
	struct wsess *lister; /* listed its end, which it may forget once
			       * that is replicated */
	struct jst_step *st;
	struct jst_task *t;
	uint32_t index, run;
	size_t image; /* of the step, in the leader's press */
	enum run_phase phase;
	bool calling;  /* a start or a stop is under way */
	bool doubtful; /* a start had no answer: it may arrive late */
	bool stop;     /* it has to be stopped */
	bool stopped;  /* the worker answered a stop */
	struct timespec stopped_at;
	enum jl_why why;	/* it is stopped */
	uint32_t starts, stops; /* orders sent */
	bool adopted;		/* assigned by an earlier leader */
	struct timespec created;
	uint64_t sure_after; /* looks sent after this serial tell about it */
	struct timespec retry_at, since;
	int64_t backoff_ms;
	uint32_t percent, figure;
	uint32_t pace, pace_asked; /* that it was told, 100 at its start */
	bool pacing;		   /* an order for its pace is under way */
	char *saved;
};

/* What the leader knows about one worker. */
struct wsess {
	struct wsess *next;
	size_t place;	 /* in the leader's seen */
	bool stale;	 /* what is seen there has changed */
	bool orders_due; /* a run may have an order to be sent */
	struct jst_worker *w;
	struct jrun *runs;
	uint32_t nruns;
	bool contacted;	 /* answered a look of this leader */
	bool silent;	 /* the last call had no answer */
	uint32_t detour; /* looks that had none */
	bool reborn;	 /* another life answered under its id */
	bool departing;	 /* it has said that it ends */
	bool leaving;	 /* its end is being replicated */
	uint64_t born;	 /* of the life that answers */
	bool looking;	 /* a look is under way */
	uint64_t look_serial;
	struct timespec look_at, heard, clock_at, paused_until, blame_at;
	int64_t backoff_ms;
	int64_t clock_ms;  /* of the worker, at clock_at */
	int64_t until_max; /* latest lease that may be in force */
	uint64_t seen, seen_next;
	uint32_t ends_pending;
	int64_t cpu, mem, accel, fill_cpu; /* taken */
	uint32_t serving, filling;
	struct jpace pace;
	int64_t serving_cpu; /* of cpu */
	double blame;
};

/* jlead.c */
void jl_call_init(
    struct jlead *, const struct wsess *, struct jl_call *, enum jl_call_kind);
struct wsess *jl_session(struct jlead *, uint64_t num);
int64_t jl_lease_until(const struct jlead *, const struct wsess *);
void jl_call_run(struct jlead *, struct jrun *, enum jl_call_kind);
void jl_look(struct jlead *, struct wsess *);
bool jl_surely_over(const struct jlead *, const struct wsess *);
/* jlead_run.c */
struct jrun *jrun_new(struct jlead *, struct wsess *, struct jst_step *,
    uint32_t index, uint32_t run, enum run_phase);
void jrun_free(struct jlead *, struct jrun *);
void jrun_end(struct jlead *, struct jrun *, Job__How, const char *saved);
void jrun_stop(struct jlead *, struct jrun *, enum jl_why);
void jrun_tick(struct jlead *, struct jrun *);
void jrun_ref(const struct jrun *, Job__Task *);
struct jrun *jrun_find(
    const struct jlead *, const struct wsess *, const Job__Task *, uint32_t);
/* jlead_log.c */
void jl_log_start(struct jlead *, struct jrun *, const struct jl_call *);
void jl_log_stop(struct jlead *, struct jrun *, const struct jl_call *);
void jl_log_gone(struct jlead *, const struct jst_job *);
void jl_log_unwanted(
    struct jlead *, const struct wsess *, const struct jl_row *);
/* jlead_pace.c */
double jl_share(const struct wsess *, const Job__Step *);
void jl_pace_look(struct jlead *, struct wsess *);
void jl_pace_set(struct jlead *, struct wsess *);
void jl_blame(struct jlead *, struct wsess *, double);
double jl_blame_now(const struct jlead *, const struct wsess *);
/* jlead_reply.c */
void jl_remove(struct jlead *, struct wsess *);
void jl_reborn(struct jlead *, struct wsess *, uint64_t born);
/* jlead_look.c */
void jl_on_look(struct jlead *, struct wsess *, const struct jl_reply *);

#endif
