/*
 * Advice: which workers may run the steps of a queue whose policy allows only
 * some, and the tickets that starts there carry. Decides which call to the
 * service that knows them is made next, by whom, and which workers it names;
 * keeps the answers. Pure.
 *
 * Built for tens of short steps a second, of which the service allows a part of
 * the workers each. A call takes a fixed time and some for each worker, and the
 * service handles one at a time for each calling machine: a call for each
 * worker or task, or about all workers, would make all steps late.
 */
#ifndef JOB_JADVICE_H
#define JOB_JADVICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "job/job.pb-c.h"

__BEGIN_DECLS

/* Workers named in the first call of a step; the objective of a job allows for
 * one call about so many. Each later call names as many more. */
#define JADVICE_WORKERS 30
/* Most workers in one call; a limit of the service. */
#define JADVICE_WORKERS_MAX 100
/* A later call of a step names at least so many new workers, or comes this long
 * after the call before: a call costs its fixed time also for one worker. */
#define JADVICE_FEW	    8
#define JADVICE_FEW_WAIT_MS 500
/* Most calls that wait for a free caller. */
#define JADVICE_QUEUE_MAX 16
/* Most instances that make calls, the leader included. */
#define JADVICE_CALLERS_MAX 64
/* A call ends this long after the time that it needs. */
#define JADVICE_TIMEOUT_MS 500
/* The leader waits so much longer for an instance that makes a call; above the
 * time of two messages and a late tick. */
#define JADVICE_RELAY_MS 300
/* Pause of a caller after a call that failed, doubled up to the maximum. */
#define JADVICE_RETRY_MS     200
#define JADVICE_RETRY_MAX_MS 2000
/* A ticket is not used in its last ms: the start is on its way then. */
#define JADVICE_LAST_MS 200
/* A task is placed only with a ticket that is valid for this long: above
 * JADVICE_LAST_MS by the time of a commit. */
#define JADVICE_PLACE_MS 300
/* A worker that refused a ticket is asked about again after this, doubled up to
 * the maximum. */
#define JADVICE_REJECTED_MS	500
#define JADVICE_REJECTED_MAX_MS 8000
/* A repeated job is asked about so long before an occurrence: a call about 30
 * workers, and some waiting for a caller. */
#define JADVICE_AHEAD_MS 1000
/* A step for which no call was needed isn't looked at again for this long. */
#define JADVICE_LOOK_MS 100
/* On a large fleet it is put off for longer, up to this, as only few steps are
 * looked at in a tick. */
#define JADVICE_LOOK_MAX_MS 2000

enum jadvice_result {
	JADVICE_OK,
	JADVICE_LIMITED, /* too many calls wait at the service */
	JADVICE_NOT_SENT,
	JADVICE_NO_ANSWER, /* nor one that can be read */
	JADVICE_RESULTS
};

/* Limits of a queue's advice. */
struct jadvice_terms {
	int64_t decide_ms, each_ms; /* time of a call, and for each worker */
	int64_t valid_ms;	    /* of a ticket */
};

/* A worker that may be named in a call. */
struct jadvice_worker {
	const char *id, *domain;
	uint64_t num;	 /* registration */
	uint32_t room;	 /* tasks of the step that fit now */
	uint32_t nruns;	 /* on it */
	int64_t free;	 /* 1/1000 of its processors */
	bool fits_empty; /* a task fits once its runs have ended */
};

/* A call to be made. The strings are valid only during the function call. */
struct jadvice_call {
	uint32_t instance; /* that makes it; 0: the leader */
	uint64_t token;	   /* of the leader */
	uint64_t serial;   /* copied into the answer */
	Job__Task step;	   /* its index is unused */
	const char *const *workers;
	size_t nworkers;
	int64_t timeout_ms;
};

/* A worker that may run the step. */
struct jadvice_good {
	const char *worker, *ticket;
};

struct jadvice_answer {
	uint32_t instance;
	uint64_t serial;
	enum jadvice_result result;
	const struct jadvice_good *good;
	size_t ngood;
};

/* What the end of a call has changed. */
struct jadvice_outcome {
	bool expected; /* false: late, repeated, or of another leader */
	bool has_step; /* its step still exists */
	Job__Task step;
	size_t nasked, ngood;
	int64_t took_ms;
};

/* How the leader makes calls. */
struct jadvice_ops {
	/* Returns false if the call isn't made; its answer comes later
	 * otherwise, or never. */
	bool (*call)(void *arg, const struct jadvice_call *);
	/* Writes the other instances that make calls now to out, and returns
	 * their number. */
	size_t (*list_callers)(void *arg, uint32_t *out, size_t max);
	void *arg;
};

struct jadvice;
struct jadvice_step;

/* A step that wants a call. */
struct jadvice_want {
	struct jadvice_step *step;
	void *arg; /* of the caller */
	double gain;
	int64_t deadline_ms;
};

/* The calls that wait, those that gain most first. */
struct jadvice_queue {
	struct jadvice_want v[JADVICE_QUEUE_MAX];
	size_t n;
	size_t nleft_out; /* for lack of a place */
	size_t nsteps;	  /* that may need a call, now or later */
};

struct jadvice *jadvice_new(void);
void jadvice_free(struct jadvice *);

/* ---- what is known ---- */

/* Returns the record of a step; creates it if needed. */
struct jadvice_step *jadvice_step_get(struct jadvice *, const Job__Task *);
/* Removes the records of steps that need no more advice. */
void jadvice_prune(struct jadvice *,
    bool (*is_needed)(void *arg, const Job__Task *), void *arg);
bool jadvice_is_in_call(const struct jadvice_step *);
bool jadvice_was_asked(const struct jadvice_step *);
/* Counts the workers with a usable ticket. From then on jadvice_allows refers
 * to this time. */
size_t jadvice_step_update(struct jadvice_step *, int64_t now_ms);
/* Returns that number. */
size_t jadvice_step_count(const struct jadvice_step *);
/* Tells whether a task of the step may be placed on a worker. */
bool jadvice_allows(const struct jadvice_step *, const char *id, uint64_t num);
/* Returns the ticket for a start that is sent now, NULL if there is no valid
 * one for this registration. */
const char *jadvice_ticket(
    const struct jadvice_step *, const char *id, uint64_t num, int64_t now_ms);
/* Notes that a worker has refused its ticket. */
void jadvice_reject(
    struct jadvice_step *, const char *id, uint64_t num, int64_t now_ms);

/* ---- which call comes next ---- */

/* Returns what a step gains per ms of the service if it is asked about. band: 0
 * if its job can be in time then, 1 if it is worth something, else 2. */
double jadvice_gain(int band, uint32_t priority, bool is_ready, bool is_first,
    const struct jadvice_terms *);
/* Adds a step to the queue, unless all in it gain more. */
void jadvice_queue_add(struct jadvice_queue *, const struct jadvice_want *);
/* Tells whether a step is to be looked at now. */
bool jadvice_is_due(const struct jadvice_step *, int64_t now_ms);
/* Leaves a step for which no call was needed until a later time. */
void jadvice_put_off(struct jadvice_step *, int64_t until_ms);
/* Writes the workers that a call for a step names to out, which has
 * JADVICE_WORKERS_MAX entries, and returns their number; 0: no call is needed.
 * v is reordered. */
size_t jadvice_choose(struct jadvice_step *, const struct jadvice_terms *,
    struct jadvice_worker *v, size_t n, uint32_t ntasks, bool is_ready,
    int64_t now_ms, struct jadvice_worker *out);

/* ---- calls ---- */

/* Sets the instances that make calls besides the leader. Calls of others are
 * overdue from then on. */
void jadvice_set_callers(struct jadvice *, const uint32_t *, size_t n);
/* Finds a caller that may be given a call now. */
bool jadvice_find_caller(
    const struct jadvice *, int64_t now_ms, uint32_t *instance);
/* Records a call and returns its serial; *timeout_ms is its time limit. */
uint64_t jadvice_begin(struct jadvice *, uint32_t instance,
    struct jadvice_step *, const struct jadvice_terms *,
    const struct jadvice_worker *, size_t n, int64_t now_ms,
    int64_t *timeout_ms);
/* Records the end of a call. */
void jadvice_end(struct jadvice *, const struct jadvice_answer *,
    int64_t now_ms, struct jadvice_outcome *);
/* Finds a call whose time limit has passed, as one without an answer. */
bool jadvice_find_overdue(
    const struct jadvice *, int64_t now_ms, struct jadvice_answer *);
/* Returns the number of calls in flight. */
size_t jadvice_count_calls(const struct jadvice *);

__END_DECLS

#endif
