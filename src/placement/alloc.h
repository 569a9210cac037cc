/*
 * The allocator: the one owner of each worker's processors, memory and
 * accelerators. What is held on a worker never exceeds its capacity. Workers
 * are kept in a grid of buckets by free capacity, so that the cost of finding
 * candidates does not grow with the fleet.
 */
#ifndef PLACEMENT_ALLOC_H
#define PLACEMENT_ALLOC_H

#include <stdbool.h>
#include "base/rng.h"
#include "placement/hmap.h"
#include "placement/sched.h"

__BEGIN_DECLS

#define ALLOC_NONE	 UINT32_MAX
#define ALLOC_LEVELS	 32 /* steps of half an octave */
#define ALLOC_GRIDS	 5  /* by free accelerators: 0, 1, 2-3, 4-7, 8+ */
#define ALLOC_SCAN_MAX	 64 /* workers examined per pick at most */
#define ALLOC_SHAPES_MAX 64 /* distinct capacities remembered */

enum alloc_state {
	ALLOC_STARTING,
	ALLOC_RUNNING,
	ALLOC_STOPPING
};

/* A task that holds resources on a worker. */
struct alloc_task {
	uint64_t id;
	struct sched_res allocated;
	int64_t since_ms;		   /* of START, then of ASSIGNED */
	int64_t checkpoint_ms;		   /* of the last checkpoint, 0: none */
	int64_t progress;		   /* at the last checkpoint */
	int64_t throttle_ms;		   /* last change of percent */
	int32_t full_cpu_milli;		   /* reservation without throttling */
	int32_t peak_cpu_milli;		   /* decaying maximum of reports */
	int32_t peak_mem_mb;		   /* MiB, maximum of reports */
	uint32_t reports;		   /* of usage */
	uint32_t attempt;		   /* 0: not yet known */
	uint32_t worker;		   /* index */
	uint32_t job, cls;		   /* indices in jobq */
	uint32_t worker_next, worker_prev; /* on the worker */
	uint32_t job_next, job_prev;	   /* of the job */
	uint8_t state;			   /* enum alloc_state */
	uint8_t percent;		   /* throttle, 100: none */
	bool urgent;
};

/* Tasks of one class on a worker. */
struct alloc_class_use {
	uint32_t cls;
	uint32_t ntasks;
	int64_t cpu_milli; /* held */
};

struct alloc_worker {
	uint64_t epoch; /* 0: entry is free */
	char *name;
	struct sched_res cap;
	struct sched_res allocated;	    /* tasks and requests together */
	struct sched_res request_allocated; /* of it for requests */
	uint32_t rack, domain;		    /* indices */
	uint32_t first_task;		    /* of the task list */
	uint32_t ntasks;
	struct alloc_class_use *class_uses;
	uint32_t nclass_uses, class_uses_cap;
	uint32_t *serves; /* class indices */
	uint32_t nserves;
	uint32_t slots;
	uint32_t bucket, bucket_pos; /* ALLOC_NONE: in no bucket */
	bool draining, quarantined, closed;
	bool probing;		  /* quarantined, one task is under way */
	bool has_succeeded;	  /* some task has finished there */
	bool failed_several_jobs; /* several jobs failed in a row */
	uint32_t failure_score;	  /* points for failures in a row */
	uint64_t last_failed_job; /* of the last failure */
	int64_t probe_ms;	  /* next probe */
	int64_t probe_interval_ms;
	int64_t usage_ms;	     /* instant the last report describes */
	int64_t shortage_since_ms;   /* since when work needs more, 0: not */
	int64_t latency_reaction_ms; /* last reaction to late answers */
	double request_peak_cpu,
	    request_peak_mem; /* decaying maximum of what requests use */
};

struct alloc_bucket {
	uint32_t *v;
	uint32_t n, cap;
};

struct alloc {
	struct alloc_worker *workers;
	uint32_t nworkers, workers_cap; /* entries used and allocated */
	uint32_t alive;
	struct hmap by_epoch;
	struct alloc_task *tasks;
	uint32_t ntasks, tasks_cap, free_task;
	struct hmap by_task;
	uint32_t *free_workers;
	uint32_t nfree_workers;
	struct alloc_bucket grid[ALLOC_GRIDS][ALLOC_LEVELS * ALLOC_LEVELS];
	uint32_t nonempty[ALLOC_GRIDS][ALLOC_LEVELS]; /* non-empty columns */
	struct sched_res shape[ALLOC_SHAPES_MAX];
	uint32_t shape_count[ALLOC_SHAPES_MAX];
	uint32_t nshapes;
	struct sched_res total, allocated; /* of all open workers */
	struct rng rng;
};

bool res_fits(const struct sched_res *need, const struct sched_res *room);
void res_add(struct sched_res *, const struct sched_res *);
void res_sub(struct sched_res *, const struct sched_res *);

void alloc_init(struct alloc *, TALLOC_CTX *, uint64_t seed);
void alloc_finish(struct alloc *);
/* Index of a new worker; strings and lists are copied below owner. */
uint32_t alloc_worker_add(struct alloc *, TALLOC_CTX *owner,
    const struct sched_worker *, uint32_t rack, uint32_t domain);
void alloc_worker_del(struct alloc *, uint32_t w);
uint32_t alloc_worker_find(const struct alloc *, uint64_t epoch);
struct sched_res alloc_free_capacity(const struct alloc_worker *);
/* Takes a worker out of the candidates or back. */
void alloc_worker_set_closed(struct alloc *, uint32_t w, bool closed);
/* Sets what requests hold; clamped so that the bound holds. */
void alloc_worker_set_requests(struct alloc *, uint32_t w, struct sched_res);
/* True when some worker of the fleet could hold need when empty. */
bool alloc_ever_fits(
    const struct alloc *, const struct sched_res *need, bool *accel);
/* Up to max distinct workers with room for need; returns their number. */
unsigned alloc_candidates(
    struct alloc *, const struct sched_res *need, uint32_t *out, unsigned max);

/* Holds resources for a task; false when they do not fit. */
bool alloc_task_add(struct alloc *, uint32_t w, uint64_t id, uint32_t job,
    uint32_t cls, bool urgent, struct sched_res, uint32_t *task);
void alloc_task_release(struct alloc *, uint32_t ti);
/* Changes a reservation, up to the room there is; false: less than asked. */
bool alloc_task_resize(struct alloc *, uint32_t task, struct sched_res);
uint32_t alloc_task_find(const struct alloc *, uint64_t id);

__END_DECLS

#endif
