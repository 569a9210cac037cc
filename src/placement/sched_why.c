#include "placement/sched_impl.h"

#include <inttypes.h>

/*
 * Explains a job in at most some twenty lines, owned by ctx: its state, why
 * it waits or where it runs, and what would help. NULL when it is unknown.
 */
char *
sched_why(const struct sched *s, TALLOC_CTX *ctx, uint64_t job)
{
	uint32_t ji = jobq_job_find(&s->q, job);
	const struct jobq_job *j;
	const struct jobq_class *c;
	char *out;

	if (ji == JOBQ_NONE)
		return NULL;
	j = &s->q.j[ji];
	c = &s->q.c[j->cls];
	out = talloc_asprintf(ctx,
	    "job %" PRIu64 " class %s team %s\n"
	    "tasks %u: %u finished, %u placed, %u waiting\n",
	    j->id, c->name, s->q.t[c->team].name, j->tasks, j->ndone, j->nlive,
	    jobq_waiting(j));
	if (jobq_waiting(j) > 0)
		out = talloc_asprintf_append(
		    out, "waits: %s\n", sched_wait_name(j->wait));
	return out;
}
