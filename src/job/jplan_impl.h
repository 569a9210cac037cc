/* Shared by the jplan*.c files only. */
#ifndef JOB_JPLAN_IMPL_H
#define JOB_JPLAN_IMPL_H

#include "job/jplan.h"

/* Demands that found no room, kept while one plan is made; enough for the few
 * sizes that matter and each filling image, as a demand at least as large as
 * one of them is skipped. */
#define JPLAN_NO_FIT_MAX 128
/* Services that are told apart by number; later ones by their names. */
#define JPLAN_SERVICES_MAX 16

/* What a task needs of a worker. */
struct jplan_need {
	const char *service, *label, *rack;
	uint32_t service_index;
	bool best_effort, may_wait;
	bool displaced; /* it has run and lost its place */
	size_t image_index;
	int64_t cpu, mem, accel;
};

/* A worker that has room for a task of the step being placed. */
struct jplan_option {
	double cost, interference;
	uint32_t worker;
};

/* One plan in the making: what is free shrinks as tasks are placed. */
struct jplan_round {
	struct jinterf *interf;
	struct jplan_worker *workers;
	size_t nworkers;
	uint32_t *step_tasks;	   /* tasks of the step on each worker */
	struct jplan_option *heap; /* of the step, the least cost first */
	size_t nheap;
	size_t nreserved;
	const char *services[JPLAN_SERVICES_MAX];
	uint32_t nservices;
	/* Processors of each service, and those taken, also by what fills. */
	int64_t cpu_total[JPLAN_SERVICES_MAX + 1];
	int64_t cpu_allocated[JPLAN_SERVICES_MAX + 1];
	/* Free on usable workers, beside what fills, in all and in whole pieces
	 * for short tasks, and how much of both new tasks that last leave. */
	int64_t piece_cpu[JPLAN_SERVICES_MAX + 1];
	int64_t cpu_free[JPLAN_SERVICES_MAX + 1];
	int64_t cpu_in_pieces[JPLAN_SERVICES_MAX + 1];
	int64_t cpu_reserved[JPLAN_SERVICES_MAX + 1];
	int64_t now_ms;
	struct jplan_need no_fit[JPLAN_NO_FIT_MAX];
	size_t nno_fit;
};

/* jplan_place.c */
bool jplan_displaced(const struct jst_step *);
void jplan_round_init(struct jplan_round *, struct jinterf *,
    const struct jdemand *, struct jplan_worker *, size_t n, int64_t now_ms);
void jplan_round_finish(struct jplan_round *);
/* Places waiting tasks of a step, at most max; returns how many. A patient one
 * starts nothing that brings a serving task over its target. */
size_t jplan_place(struct jplan_round *, struct jst_step *, bool patient,
    struct jplan_choice *out, size_t max);
/* Keeps workers for tasks of a step that found no room, until they have it. */
void jplan_reserve(struct jplan_round *, const struct jst_step *, size_t tasks);
/* Undoes choices of jplan_place. */
void jplan_undo(struct jplan_round *, const struct jplan_choice *, size_t n);

/* jplan_interf_cost.c */
/* Counts the serving tasks that are over their target by the model. */
void jplan_interf_init(struct jplan_worker *, size_t n);
/* What a filling task of an image with this part of a worker's processors
 * costs, in serving jobs that lose all. */
double jplan_interf_cost(const struct jinterf *, const struct jplan_worker *,
    size_t image, double share);
/* Counts such a task. */
void jplan_interf_add(
    const struct jinterf *, struct jplan_worker *, size_t image, double share);

#endif
