/* Private to the jplan*.c files. */
#ifndef JOB_JPLAN_IMPL_H
#define JOB_JPLAN_IMPL_H

#include "job/jadvice.h"
#include "job/jplan.h"

/* Most needs remembered as not fitting during one plan. A need at least as
 * large as one of them is skipped, so that the few common sizes and each
 * best-effort image are enough. */
#define JPLAN_NO_FIT_MAX 128

#define JPLAN_NO_SERVICE UINT32_MAX

/* Resources and constraints of a task. */
struct jplan_need {
	const char *label, *rack;
	uint32_t service_index; /* JPLAN_NO_SERVICE: no worker has it */
	bool best_effort, may_wait;
	bool prefers_warm; /* it has an objective to meet */
	bool displaced;	   /* it has run before and lost its worker */
	bool may_use_reserved;
	/* a best-effort task that needs no processors left for it */
	bool shares_cpu;
	size_t image_index;
	/* NULL: every worker of the service is allowed */
	const struct jadvice_step *advice;
	int64_t cpu, mem, accel;
	/* With look-ahead: for how long it holds its resources, its order, and
	 * whether it may use places kept for others. */
	int64_t duration_ms;
	uint32_t priority;
	int band;
	bool ignores_room;
};

/* With look-ahead: the order and the value of the step being placed. */
struct jplan_claim {
	int band;
	uint32_t priority;
	/* of its job from the start of the step on, by declared times */
	int64_t left_ms;
	/* when the job is late, and when it has no value left */
	int64_t deadline_ms, late_ms;
	int64_t wall_ms;
};

/* A worker that can take a task of the step being placed. */
struct jplan_option {
	double cost, interference;
	uint32_t worker;
};

/* The workers of one service. Processors are in 1/1000. */
struct jplan_service {
	const char *name;
	size_t nworkers, nreserved;
	/* Processors in all and allocated. Best-effort tasks don't count, as
	 * other tasks may use what they have. */
	int64_t cpu_total, cpu_allocated;
	/*
	 * On usable workers: processors of a typical short task, free
	 * processors (best-effort tasks ignored), free processors in multiples
	 * of piece_cpu on one worker, and how much of both new long-running
	 * tasks must leave free.
	 */
	int64_t piece_cpu, cpu_free, cpu_in_pieces, cpu_reserved;
	size_t nslots; /* with look-ahead: places kept */
};

/* With look-ahead: the workers that a search of this plan went through. */
struct jplan_set {
	/* of the tasks that the search was for */
	uint32_t service_index;
	const char *label;
	const struct jadvice_step *advice;
	struct jroom_amount need;
	/* that may run such a task by label and size, and places kept there */
	size_t nworkers, nslots;
	bool is_full;	    /* no further place may be kept there */
	bool one_is_enough; /* a single end makes room for such a task */
};

/* A failure domain with cold workers. */
struct jplan_cold {
	const char *domain;
	size_t nworkers, nused; /* cold ones, and those that took a task */
};

/* State of one plan; free resources shrink as tasks are placed. */
struct jplan_round {
	struct jinterf *interf;
	struct jplan_worker *workers;
	size_t nworkers;
	uint32_t *step_tasks; /* number of tasks of the step on each worker */
	/* chosen so far in this plan */
	const struct jplan_choice *chosen;
	size_t nchosen;
	/* options of the step, a heap with the least cost first */
	struct jplan_option *heap;
	size_t nheap;
	struct jplan_service *services;
	uint32_t nservices, services_cap;
	struct jplan_cold *cold; /* NULL: no worker is cold */
	uint32_t ncold;
	int64_t now_ms; /* monotonic */
	struct jplan_need no_fit[JPLAN_NO_FIT_MAX];
	size_t nno_fit;
	struct jplan_lookahead *look; /* or NULL */
	struct jplan_claim claim;
	struct jplan_set sets[JPLAN_SLOT_SCANS_MAX];
	size_t nsets;
	/* jobs with places from the plan before that this one hasn't reached */
	uint64_t carried[JPLAN_SLOTS_MAX];
	size_t ncarried;
};

/* jplan_place.c */
uint32_t jplan_count_displaced(const struct jst_step *);
void jplan_round_init(struct jplan_round *, struct jinterf *,
    const struct jdemand *, struct jplan_worker *, size_t n, int64_t wall_ms,
    int64_t now_ms);
void jplan_round_finish(struct jplan_round *);
/* Places up to max waiting tasks of a step and returns their number: of a
 * long-running one either the displaced tasks or the new ones, unless it is a
 * gang. If can_wait, starts nothing that slows down a serving task beyond
 * JPLAN_WAIT_INTERFERENCE. */
size_t jplan_place(struct jplan_round *, struct jst_step *, bool displaced,
    bool can_wait, struct jplan_choice *out, size_t max);
/* Reserves workers for displaced tasks of a step that don't fit anywhere
 * now. */
void jplan_reserve(struct jplan_round *, const struct jst_step *, size_t tasks);
struct jplan_need jplan_get_need(
    struct jplan_round *, const struct jst_step *, bool displaced);
bool jplan_is_eligible(const struct jplan_need *, const struct jplan_worker *);
/* Tells whether two labels are equal; NULL is none. */
bool jplan_is_same_label(const char *, const char *);
/* Undoes choices of jplan_place. */
void jplan_undo(struct jplan_round *, const struct jplan_choice *, size_t n);

/* jplan_cold.c */
/* Adds a cold worker to those of its domain. */
void jplan_cold_add(struct jplan_round *, struct jplan_worker *);
/* Tells whether a cold worker may take a task in this plan. */
bool jplan_cold_may_use(
    const struct jplan_round *, const struct jplan_worker *, bool gang);
/* Counts a task on a cold worker; sign -1 undoes that. */
void jplan_cold_count(struct jplan_round *, struct jplan_worker *, int sign);
/* jplan_room.c */
void jplan_room_init(struct jplan_round *, struct jplan_lookahead *);
void jplan_room_need(
    struct jplan_round *, const struct jst_step *, struct jplan_need *);
bool jplan_room_blocks(const struct jplan_round *, const struct jplan_need *,
    const struct jplan_worker *);
bool jplan_room_is_held(const struct jplan_round *, const struct jst_step *,
    const struct jplan_need *, const struct jplan_worker *);
void jplan_room_note(struct jplan_round *, const struct jst_step *,
    const struct jplan_need *, struct jplan_worker *, int sign);
/* Keeps places for this many tasks of the step that was placed last. */
void jplan_room_reserve(struct jplan_round *, struct jst_step *, size_t tasks);
/* Keeps the places that a step had in the plan before; this one has reached its
 * limit before the step. */
void jplan_room_carry(struct jplan_round *, struct jst_step *);
void jplan_room_finish(struct jplan_round *);

/* jplan_interf.c */
/* Estimates for each serving step how many of its tasks miss their target. */
void jplan_interf_init(struct jplan_worker *, size_t n);
/* Returns what a best-effort task of this image and share of the worker's
 * processors costs, in serving jobs that lose their whole value. */
double jplan_interf_cost(const struct jinterf *, const struct jplan_worker *,
    size_t image, double share);
/* Adds such a task to the estimates; a negative share removes one. */
void jplan_interf_add(
    const struct jinterf *, struct jplan_worker *, size_t image, double share);

#endif
