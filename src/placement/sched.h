/*
 * Places tasks on the workers of one group. The scheduler does no I/O and is
 * deterministic: it takes an event and the time, and returns actions. Its state
 * is not persistent; a new leader feeds workers, classes, teams, jobs and
 * running tasks into a new object.
 *
 * A new object starts no task before its first TICK, so that a rebuild can
 * feed all running tasks before that. Workers and jobs are fed before the
 * ASSIGNED of their tasks.
 *
 * START is a proposal. It takes effect when ASSIGNED confirms it, and is
 * withdrawn by ASSIGN_FAILED; resources are allocated from START on.
 */
#ifndef PLACEMENT_SCHED_H
#define PLACEMENT_SCHED_H

#include "base/clk.h"
#include "base/ctr.h"
#include "base/err.h"
#include "base/str.h"

__BEGIN_DECLS

struct sched_res {
	int64_t cpu_milli; /* thousandths of a processor */
	int64_t mem_mb;	   /* MiB */
	int64_t accel;	   /* accelerators */
};

struct sched_conf {
	uint64_t seed;
	bool interference;   /* false: without the interference model */
	bool learning;	     /* false: always reserve declared sizes */
	bool targets;	     /* false: targets of classes are ignored */
	unsigned candidates; /* workers scored per placement, 0: 8 */
};

enum sched_ev_kind {
	SCHED_EV_TICK,
	SCHED_EV_WORKER_UP,
	SCHED_EV_WORKER_LOST,
	SCHED_EV_WORKER_DRAIN,
	SCHED_EV_CLASS_SET,
	SCHED_EV_CLASS_GONE,
	SCHED_EV_TEAM_SET,
	SCHED_EV_JOB_SUBMIT,
	SCHED_EV_JOB_CANCEL,
	SCHED_EV_ASSIGNED, /* also at a rebuild: the task runs there */
	SCHED_EV_ASSIGN_FAILED,
	SCHED_EV_TASK_RUNNING,
	SCHED_EV_TASK_DONE,
	SCHED_EV_TASK_FAILED,
	SCHED_EV_TASK_CHECKPOINT,
	SCHED_EV_TASK_STOPPED, /* evicted: waits again, keeps its checkpoint */
	SCHED_EV_USAGE,
	SCHED_EV_LATENCY
};

struct sched_worker {
	uint64_t epoch; /* identifies the incarnation of the worker */
	struct str name;
	struct sched_res capacity;
	struct str rack;
	struct str domain;
	unsigned slots;		  /* request slots, 0: serves no requests */
	const struct str *serves; /* classes of requests */
	size_t nserves;
};

struct sched_class {
	struct str name;
	bool urgent;
	int percentile_x10;
	int64_t bound_ms;
	int64_t finish_per_hour;
	struct str team;
};

struct sched_job {
	uint64_t id; /* task ids are id << 20 | number */
	struct str class_name;
	uint32_t ntasks;
	struct sched_res declared; /* per task */
	bool gang;		   /* all tasks start together or none */
	int64_t run_ms;		   /* declared, 0: unknown */
	/* At rebuild: tasks that are already finished, one bit each. */
	const uint8_t *done;
};

struct sched_usage {
	uint64_t task;
	int64_t cpu_milli;
	int64_t mem_mb;
};

struct sched_ev {
	enum sched_ev_kind kind;
	union {
		struct sched_worker worker;
		uint64_t epoch; /* LOST, DRAIN */
		struct sched_class cls;
		struct str name; /* CLASS_GONE */
		struct {
			struct str name;
			struct sched_res quota; /* -1: no limit */
		} team;
		struct sched_job job;
		uint64_t job_id; /* CANCEL */
		struct {
			uint64_t task;
			uint32_t attempt;
			uint64_t epoch;	  /* of the worker */
			int64_t progress; /* CHECKPOINT, STOPPED */
		} task;
		struct {
			uint64_t epoch;
			int64_t age_ms;	       /* age of the figures */
			struct sched_res used; /* by the whole worker */
			const struct sched_usage *tasks;
			size_t n;
		} usage;
		struct {
			uint64_t epoch;
			struct str class_name;
			uint32_t count; /* answers */
			uint32_t late;	/* of them, later than the bound */
			double mean_ms;
			double high_ms; /* at the class's percentile */
		} latency;
	} u;
};

enum sched_wait {
	SCHED_WAIT_NONE,
	SCHED_WAIT_QUEUED,    /* behind other jobs of its class */
	SCHED_WAIT_NO_ROOM,   /* fits a worker, but none has room now */
	SCHED_WAIT_TOO_LARGE, /* larger than the largest worker */
	SCHED_WAIT_NO_ACCELERATOR,
	SCHED_WAIT_OVER_QUOTA,
	SCHED_WAIT_GANG,   /* room for some of the tasks, not all */
	SCHED_WAIT_TARGET, /* held back for the target of an urgent class */
	SCHED_WAIT_NO_CLASS,
	SCHED_WAIT_FAILED, /* failed on too many workers */
	SCHED_WAIT_COUNT
};

enum sched_act_kind {
	SCHED_ACT_START,
	SCHED_ACT_THROTTLE,
	SCHED_ACT_CHECKPOINT, /* and stop; answered by TASK_STOPPED */
	SCHED_ACT_STOP,
	SCHED_ACT_JOB_STATE,
	SCHED_ACT_JOB_FAILED, /* a task failed on too many workers */
	SCHED_ACT_QUARANTINE  /* begins or ends for a worker */
};

struct sched_act {
	enum sched_act_kind kind;
	union {
		struct {
			uint64_t task;
			uint64_t epoch;
			struct sched_res limit; /* reserved on the worker */
			unsigned percent;	/* THROTTLE, of the limit */
		} task;
		struct {
			uint64_t id;
			enum sched_wait wait;
		} job;
		struct {
			uint64_t epoch;
			bool on;
		} quarantine;
	} u;
};

struct sched_acts {
	struct sched_act *v;
	size_t n, cap;
};

struct sched;

struct sched *sched_new(
    TALLOC_CTX *, const struct sched_conf *, struct timespec now);
enum status sched_step(struct sched *, struct timespec now,
    const struct sched_ev *, struct sched_acts *);
struct timespec sched_next_tick(const struct sched *);
const struct ctr_set *sched_counters(const struct sched *);
const char *sched_wait_name(enum sched_wait);

struct sched_attainment {
	struct str name;
	double
	    attainment_1m; /* part of the target that is met, 1 or more: all */
	double attainment_10m;
	bool at_risk;
	uint32_t waiting, running;
};
/*
 * Fills at most n classes, returns how many there are. In C++ the function
 * hides the constructor of the struct of the same name, which is never used.
 */
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wshadow"
size_t sched_attainment(
    const struct sched *, struct sched_attainment *, size_t n);
#pragma GCC diagnostic pop
/*
 * Explains a job on one screen, one fact a line, in memory of ctx. Returns NULL
 * if it is unknown.
 */
char *sched_explain_job(const struct sched *, TALLOC_CTX *ctx, uint64_t job);
/* Copies out what is allocated on a worker; for checks of invariants. */
bool sched_worker_allocated(const struct sched *, uint64_t epoch,
    struct sched_res *allocated, struct sched_res *capacity);
/* Returns the bytes of all state, to plan capacity. */
size_t sched_state_bytes(const struct sched *);

__END_DECLS

#endif
