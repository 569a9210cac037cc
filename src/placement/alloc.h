/*
 * Allocates the processors, memory and accelerators of each worker. Only this
 * module changes what is allocated, and it never exceeds the capacity of a
 * worker. Workers are kept in a grid of buckets by free capacity, so that the
 * cost of finding candidates does not grow with the number of workers.
 */
#ifndef PLACEMENT_ALLOC_H
#define PLACEMENT_ALLOC_H

#include <stdbool.h>
#include "base/rng.h"
#include "placement/hmap.h"
#include "placement/sched.h"

__BEGIN_DECLS

#define ALLOC_NONE	 UINT32_MAX
#define ALLOC_LEVELS	 32 /* per dimension, half an octave each */
#define ALLOC_GRIDS	 5  /* by free accelerators: 0, 1, 2-3, 4-7, 8+ */
#define ALLOC_SCAN_MAX	 64 /* workers examined per search at most */
#define ALLOC_SHAPES_MAX 64 /* distinct capacities counted */

enum alloc_state {
	ALLOC_STARTING,
	ALLOC_RUNNING,
	ALLOC_STOPPING
};

/* A task that has resources allocated on a worker. */
struct alloc_task {
	uint64_t id;
	struct sched_res allocated;
	int64_t since_ms;	/* time of START, then of ASSIGNED */
	int64_t checkpoint_ms;	/* time of the last checkpoint, 0: none */
	int64_t progress;	/* as reported with it */
	int64_t throttle_ms;	/* time of the last change of percent */
	int32_t full_cpu_milli; /* reservation without throttling */
	int32_t peak_cpu_milli; /* decaying maximum of usage */
	int32_t peak_mem_mb;	/* maximum of usage */
	uint32_t reports;	/* usage reports received */
	uint32_t attempt;	/* 0: not yet known */
	uint32_t worker;	/* index */
	uint32_t job, cls;	/* indices of job and class in jobq */
	uint32_t worker_next, worker_prev; /* list of the worker */
	uint32_t job_next, job_prev;	   /* list of the job */
	uint8_t state;			   /* enum alloc_state */
	uint8_t percent; /* of full_cpu_milli, 100: not throttled */
	bool urgent;
};

/* What the tasks of one class use on a worker. */
struct alloc_class_use {
	uint32_t cls;
	uint32_t ntasks;
	int64_t cpu_milli; /* allocated */
};

struct alloc_worker {
	uint64_t epoch; /* 0: entry is free */
	char *name;
	struct sched_res capacity;
	struct sched_res allocated;	    /* to tasks and requests */
	struct sched_res request_allocated; /* part of it for requests */
	uint32_t rack, domain;		    /* indices */
	uint32_t first_task;		    /* of the list of its tasks */
	uint32_t ntasks;
	struct alloc_class_use *class_uses;
	uint32_t nclass_uses, class_uses_cap;
	uint32_t *serves; /* class indices */
	uint32_t nserves;
	uint32_t slots;
	uint32_t bucket, bucket_pos; /* ALLOC_NONE: in no bucket */
	bool draining, quarantined, closed;
	bool probing;	    /* quarantined, and a probe is running */
	bool has_succeeded; /* a task has finished there */
	/* Several jobs have failed there since the last success. */
	bool failed_several_jobs;
	uint32_t failure_score;	  /* raised by failures, 0 after a success */
	uint64_t last_failed_job; /* id, 0: none since the last success */
	int64_t probe_ms;	  /* time of the next probe */
	int64_t probe_interval_ms;
	int64_t usage_ms; /* time that the last report describes */
	/* Since when more is needed than is free, 0: it is not. */
	int64_t shortage_since_ms;
	/* Time of the last reaction to late answers. */
	int64_t latency_reaction_ms;
	/* Decaying maximum of use by requests: thousandths, MiB. */
	double request_peak_cpu, request_peak_mem;
};

struct alloc_bucket {
	uint32_t *workers;
	uint32_t nworkers, workers_cap;
};

struct alloc {
	struct alloc_worker *workers;
	uint32_t nworkers, workers_cap; /* entries used and allocated */
	uint32_t nalive;		/* workers that exist */
	struct hmap by_epoch;
	struct alloc_task *tasks;
	uint32_t ntasks, tasks_cap, free_task;
	struct hmap by_task;
	uint32_t *free_workers;
	uint32_t nfree_workers;
	struct alloc_bucket grid[ALLOC_GRIDS][ALLOC_LEVELS * ALLOC_LEVELS];
	/* Bitmap of the columns that are not empty. */
	uint32_t nonempty[ALLOC_GRIDS][ALLOC_LEVELS];
	struct sched_res shape[ALLOC_SHAPES_MAX];
	uint32_t shape_count[ALLOC_SHAPES_MAX];
	uint32_t nshapes;
	struct sched_res total, allocated; /* of all workers */
	struct rng rng;
};

bool res_fits(const struct sched_res *need, const struct sched_res *room);
void res_add(struct sched_res *, const struct sched_res *);
void res_sub(struct sched_res *, const struct sched_res *);

void alloc_init(struct alloc *, TALLOC_CTX *, uint64_t seed);
void alloc_finish(struct alloc *);
/*
 * Returns the index of a new worker; strings and lists are copied below owner.
 */
uint32_t alloc_worker_add(struct alloc *, TALLOC_CTX *owner,
    const struct sched_worker *, uint32_t rack, uint32_t domain);
void alloc_worker_del(struct alloc *, uint32_t w);
uint32_t alloc_worker_find(const struct alloc *, uint64_t epoch);
struct sched_res alloc_free_capacity(const struct alloc_worker *);
/* Excludes a worker from the candidates, or includes it again. */
void alloc_worker_set_closed(struct alloc *, uint32_t w, bool closed);
/* Sets what is allocated for requests, limited to the free capacity. */
void alloc_worker_set_requests(struct alloc *, uint32_t w, struct sched_res);
/* Returns true if some worker of the fleet could hold need when empty. */
bool alloc_ever_fits(
    const struct alloc *, const struct sched_res *need, bool *accel);
/*
 * Fills out with at most max distinct workers with room for need; returns their
 * number.
 */
unsigned alloc_candidates(
    struct alloc *, const struct sched_res *need, uint32_t *out, unsigned max);

/* Allocates resources for a task. Returns false if they do not fit. */
bool alloc_task_add(struct alloc *, uint32_t w, uint64_t id, uint32_t job,
    uint32_t cls, bool urgent, struct sched_res, uint32_t *task);
void alloc_task_release(struct alloc *, uint32_t ti);
/*
 * Changes an allocation as far as there is room. Returns false if there was
 * less room than asked for.
 */
bool alloc_task_resize(struct alloc *, uint32_t task, struct sched_res);
uint32_t alloc_task_find(const struct alloc *, uint64_t id);

__END_DECLS

#endif
