#include "placement/sched_impl.h"

#include <inttypes.h>

#define WHY_WORKERS 6 /* placed tasks shown per job */

/* For each wait reason, its meaning and what an operator can do. */
static const char *const why_help[SCHED_WAIT_COUNT] = {
	[SCHED_WAIT_NONE] = "",
	[SCHED_WAIT_QUEUED] = "earlier jobs of the class start first; add "
			      "workers or raise the target of the class",
	[SCHED_WAIT_NO_ROOM] = "no worker has room for a task of the reserved "
			       "size now; add workers or use smaller tasks",
	[SCHED_WAIT_TOO_LARGE] = "no worker is large enough even when empty; "
				 "add larger workers or use smaller tasks",
	[SCHED_WAIT_NO_ACCELERATOR] = "no worker has enough accelerators",
	[SCHED_WAIT_OVER_QUOTA] = "the quota of the team has no room for "
				  "another task; raise it or wait until tasks "
				  "of the team end",
	[SCHED_WAIT_GANG] = "there is room for some tasks of the gang, not for "
			    "all; add workers or use a smaller gang",
	[SCHED_WAIT_TARGET] = "more batch work would make answers of an urgent "
			      "class late; add workers or raise its bound",
	[SCHED_WAIT_NO_CLASS] = "the class is not configured; apply a "
				"configuration that has it",
	[SCHED_WAIT_FAILED] = "tasks failed on several healthy workers; check "
			      "the program and input of the job",
};

/* Formats resources for operators, in memory of ctx. */
static char *
why_res(TALLOC_CTX *ctx, const struct sched_res *r)
{
	return talloc_asprintf(ctx,
	    "%" PRId64 ".%02" PRId64 " processors, %" PRId64 " MiB, %" PRId64
	    " accelerators",
	    r->cpu_milli / 1000, r->cpu_milli % 1000 / 10, r->mem_mb, r->accel);
}

/* Appends the quota of a team and what it has allocated, if it is limited. */
static char *
why_team(const struct sched *s, char *out, const struct jobq_team *t)
{
	(void)s;
	if (t->quota.cpu_milli >= 0 || t->quota.mem_mb >= 0 ||
	    t->quota.accel >= 0)
		out = talloc_asprintf_append(out,
		    "quota of team %s: allocated %" PRId64 " of %" PRId64
		    " milliprocessors, %" PRId64 " of %" PRId64 " MiB, %" PRId64
		    " of %" PRId64 " accelerators (-1: no limit)\n",
		    t->name, t->used.cpu_milli, t->quota.cpu_milli,
		    t->used.mem_mb, t->quota.mem_mb, t->used.accel,
		    t->quota.accel);
	return out;
}

/* Appends where the placed tasks of a job run, at most WHY_WORKERS of them. */
static char *
why_workers(const struct sched *s, char *out, const struct jobq_job *j)
{
	static const char *const state[] = { "starting", "runs", "stopping" };
	uint32_t ti, n = 0;

	for (ti = j->first_task; ti != ALLOC_NONE && n < WHY_WORKERS;
	     ti = s->alloc.tasks[ti].job_next, n++) {
		const struct alloc_task *t = &s->alloc.tasks[ti];

		out = talloc_asprintf_append(out,
		    "task %" PRIu64 " %s on %s at %u%%, allocated %" PRId64
		    " milliprocessors, %" PRId64 " MiB\n",
		    t->id & ((1U << JOBQ_TASK_BITS) - 1), state[t->state],
		    s->alloc.workers[t->worker].name, t->percent,
		    t->allocated.cpu_milli, t->allocated.mem_mb);
	}
	if (j->nplaced > n)
		out = talloc_asprintf_append(
		    out, "and %u more\n", j->nplaced - n);
	return out;
}

/* Returns the urgent class with the lowest batch cap, NULL if there is none. */
static const struct jobq_class *
why_lowest_cap(const struct sched *s)
{
	const struct jobq_class *lowest = NULL;
	uint32_t i;

	for (i = 0; i < s->queue.nclasses; i++)
		if (s->queue.classes[i].configured &&
		    s->queue.classes[i].urgent &&
		    (lowest == NULL ||
			s->queue.classes[i].tgt.batch_cap <
			    lowest->tgt.batch_cap))
			lowest = &s->queue.classes[i];
	return lowest;
}

/*
 * Explains a job in some twenty lines, owned by ctx: its state, why it waits
 * or where it runs, the attainment of its class, and what would help. Returns
 * NULL if the job is unknown.
 */
char *
sched_explain_job(const struct sched *s, TALLOC_CTX *ctx, uint64_t job)
{
	uint32_t ji = jobq_job_find(&s->queue, job);
	const struct jobq_class *c, *limiting;
	const struct jobq_job *j;
	struct sched_res need;
	double m1, m10;
	char *out;

	if (ji == JOBQ_NONE)
		return NULL;
	j = &s->queue.jobs[ji];
	c = &s->queue.classes[j->cls];
	out = talloc_asprintf(ctx,
	    "job %" PRIu64 " class %s (%s) team %s%s\n"
	    "tasks %u: %u finished, %u placed, %u waiting; %u evictions, "
	    "%u failures\n",
	    j->id, c->name, c->urgent ? "urgent" : "batch",
	    s->queue.teams[c->team].name, j->gang ? ", all start together" : "",
	    j->ntasks, j->ndone, j->nplaced, jobq_nwaiting(j), j->evictions,
	    j->nfailures);
	need = sched_task_need(s, j);
	out = talloc_asprintf_append(
	    out, "declared per task: %s\n", why_res(out, &j->declared));
	out = talloc_asprintf_append(
	    out, "reserved per task: %s\n", why_res(out, &need));
	if (jobq_nwaiting(j) > 0 || j->wait_reason == SCHED_WAIT_FAILED) {
		out = talloc_asprintf_append(out,
		    "waits %.1f s: %s\nhelp: %s\n",
		    (double)(s->now_ms - j->waiting_since_ms) / 1000,
		    sched_wait_name(j->wait_reason), why_help[j->wait_reason]);
		if (j->wait_reason == SCHED_WAIT_OVER_QUOTA)
			out = why_team(s, out, &s->queue.teams[c->team]);
		limiting = why_lowest_cap(s);
		if (j->wait_reason == SCHED_WAIT_TARGET && limiting != NULL)
			out = talloc_asprintf_append(out,
			    "class %s leaves batch %.0f%% of the processors "
			    "of a worker\n",
			    limiting->name, limiting->tgt.batch_cap * 100);
	}
	out = why_workers(s, out, j);
	sched_class_attainment(s, j->cls, &m1, &m10);
	out = talloc_asprintf_append(out,
	    "class %s meets %.1f%% of its target over 1 min, %.1f%% over "
	    "10 min%s\n",
	    c->name, m1 * 100, m10 * 100, c->at_risk ? ", at risk" : "");
	return out;
}
