#include <inttypes.h>
#include <json-c/json.h>
#include <stdlib.h>

#include "node/core_impl.h"

/* Why a job waits: its steps with waiting tasks, and the workers that
 * look-ahead placement keeps for them. */

/* Most places and steps that are shown. A job has up to 20,000 steps in all its
 * occurrences. */
#define WHY_PLACES_MAX 64
#define WHY_STEPS_MAX  64

/* Adds a line to the text; takes the line. */
static void
add_line(struct json_object *text, char *line)
{
	if (line == NULL ||
	    json_object_array_add(text, json_object_new_string(line)) != 0)
		abort();
	talloc_free(line);
}

/* Adds a line for a step with waiting tasks. */
static void
add_step(TALLOC_CTX *ctx, struct json_object *text, uint32_t occurrence,
    uint32_t number, uint32_t nwaiting, uint32_t count, bool is_ready)
{
	add_line(text,
	    talloc_asprintf(ctx, "step %u.%u: %u of %u tasks wait%s",
		occurrence, number, nwaiting, count,
		is_ready ? "" : " for earlier steps"));
}

/* Adds lines for steps of occurrences that aren't in memory. Returns how many
 * lines there are then. */
static uint32_t
add_later_steps(TALLOC_CTX *ctx, struct json_object *text,
    const struct jst_job *j, uint32_t nlines)
{
	uint32_t o, i;

	for (o = j->next_open; o < j->occurrences; o++) {
		for (i = 0; i < j->spec->n_steps; i++) {
			const Job__Step *s = j->spec->steps[i];

			if (nlines == WHY_STEPS_MAX)
				return nlines;
			nlines++;
			add_step(ctx, text, o, i, s->count, s->count,
			    s->n_after == 0);
		}
	}
	return nlines;
}

/* Adds a line for each of the first steps with waiting tasks, and one for the
 * number of the others. */
static void
add_steps(TALLOC_CTX *ctx, struct json_object *text, const struct jst_job *j)
{
	const struct jst_step *st;
	uint32_t o, i, n = 0, nlines = 0;

	JST_FOREACH_STEP(j, st, o, i)
	{
		if (st->nwaiting == 0 || n++ >= WHY_STEPS_MAX)
			continue;
		nlines++;
		add_step(ctx, text, st->occurrence, st->number, st->nwaiting,
		    st->spec->count, jst_step_ready(st));
	}
	nlines = add_later_steps(ctx, text, j, nlines);
	n += (j->occurrences - j->next_open) * (uint32_t)j->spec->n_steps;
	if (n > nlines)
		add_line(text,
		    talloc_asprintf(
			ctx, "%" PRIu32 " more steps wait", n - nlines));
}

/* Adds a line for each worker that is kept for the job. */
static void
add_places(struct core *c, TALLOC_CTX *ctx, struct json_object *text,
    const struct jst_job *j)
{
	const struct jplan_worker *v[WHY_PLACES_MAX];
	int64_t now_ms = clk_ns(mesh_now(c->mesh)) / CLK_NS_PER_MS;
	size_t i, n = jlead_kept_places(&c->jl, j->id, v, WHY_PLACES_MAX);

	for (i = 0; i < n && i < WHY_PLACES_MAX; i++)
		add_line(text,
		    talloc_asprintf(ctx,
			"step %u.%u: replica " STR_FMT
			" keeps worker %s of domain %s, "
			"start in %" PRId64 " ms",
			v[i]->hold.occurrence, v[i]->hold.step,
			STR_ARG(c->inst->name), v[i]->w->info->id,
			v[i]->w->info->zone, v[i]->hold.start_ms - now_ms));
	if (n > WHY_PLACES_MAX)
		add_line(text,
		    talloc_asprintf(
			ctx, "%zu more workers", n - WHY_PLACES_MAX));
	if (n == 0)
		add_line(text, talloc_strdup(ctx, "no worker is kept for it"));
}

/* Fills the answer to a query for why a job waits. */
void
core_fill_why(struct core *c, TALLOC_CTX *ctx, uint64_t job, Job__Answer *a)
{
	const struct jst_job *j = jst_find_job(&c->st, job);
	struct json_object *o, *text;
	struct str s;

	if (j == NULL) {
		a->outcome = JOB__OUTCOME__NOT_FOUND;
		return;
	}
	o = json_object_new_object();
	text = json_object_new_array();
	if (o == NULL || text == NULL ||
	    json_object_object_add(o, "text", text) != 0)
		abort();
	if (j->state == JST_ACTIVE) {
		add_steps(ctx, text, j);
		add_places(c, ctx, text, j);
	} else {
		add_line(text, talloc_strdup(ctx, "the job has ended"));
	}
	s = str_dup(ctx, str_from(json_object_to_json_string(o)));
	json_object_put(o);
	a->has_document = 1;
	a->document.data = (uint8_t *)(uintptr_t)s.p;
	a->document.len = s.len;
}
