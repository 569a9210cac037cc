#include <stdlib.h>
#include <string.h>

#include "job/jst.h"

/*
 * Occurrences. One takes memory from when the leader finds it due, or a command
 * assigns a task of it, until it is done. What is in memory without having been
 * touched by a command is the leader's own affair: it changes no decision of
 * the replicated state.
 */

/* Returns an occurrence that is in memory, NULL if it isn't. */
struct jst_occ *
jst_find_occ(const struct jst_job *j, uint32_t number)
{
	uint32_t lo = 0, hi = j->nlive;

	while (lo < hi) {
		uint32_t mid = lo + (hi - lo) / 2;

		if (j->live[mid]->number < number)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo < j->nlive && j->live[lo]->number == number ? j->live[lo]
							      : NULL;
}

/* Frees an occurrence. */
void
jst_occ_free(struct jst_occ *o)
{
	uint32_t i, k;

	for (i = 0; i < o->job->spec->n_steps; i++) {
		struct jst_step *st = &o->steps[i];

		for (k = 0; k < st->spec->count; k++)
			free(st->tasks[k].checkpoint);
		free(st->checkpoint);
		free(st->tasks);
	}
	free(o);
}

/* ---- index by time ---- */

/* Orders jobs by the time of their next occurrence. */
static gint
compare_timers(gconstpointer pa, gconstpointer pb)
{
	const struct jst_job *a = pa, *b = pb;

	if (a->due_ms != b->due_ms)
		return a->due_ms < b->due_ms ? -1 : 1;
	return (a->id > b->id) - (a->id < b->id);
}

/* Creates the index. */
void
jst_init_timers(struct jst *s)
{
	s->timers = g_tree_new(compare_timers);
	g_queue_init(&s->blocked);
}

/* Releases the index. */
void
jst_finish_timers(struct jst *s)
{
	g_tree_destroy(s->timers);
	g_queue_clear(&s->blocked);
}

/* Returns when an occurrence is due; INT64_MIN: at once. */
static int64_t
due_at_ms(const struct jst_job *j, uint32_t number)
{
	int64_t after, at;

	if (j->spec->repeat == 0 || !j->spec->has_start_at_ms)
		return INT64_MIN;
	if (__builtin_mul_overflow(
		(int64_t)number, j->spec->interval_ms, &after) ||
	    __builtin_add_overflow(after, j->spec->start_at_ms, &at))
		return INT64_MAX;
	return at;
}

/* Takes a job out of the index, and of those that wait for memory. */
void
jst_clear_timer(struct jst *s, struct jst_job *j)
{
	if (j->is_timed)
		g_tree_remove(s->timers, j);
	j->is_timed = false;
	if (j->blocked != NULL)
		g_queue_delete_link(&s->blocked, j->blocked);
	j->blocked = NULL;
}

/* Puts a job into the index by its next occurrence, if it has one. */
void
jst_set_timer(struct jst *s, struct jst_job *j)
{
	jst_clear_timer(s, j);
	if (j->state != JST_ACTIVE || j->next_open >= j->occurrences)
		return;
	j->due_ms = due_at_ms(j, j->next_open);
	j->is_timed = true;
	g_tree_insert(s->timers, j, j);
}

/* ---- in memory ---- */

/* Brings the next occurrence of a job into memory. */
struct jst_occ *
jst_occ_open(struct jst *s, struct jst_job *j)
{
	const Job__Spec *spec = j->spec;
	struct jst_occ *o =
	    jst_alloc(1, sizeof(*o) + spec->n_steps * sizeof(o->steps[0]));
	uint32_t i;

	o->job = j;
	o->number = j->next_open++;
	for (i = 0; i < spec->n_steps; i++) {
		struct jst_step *st = &o->steps[i];

		st->job = j;
		st->occ = o;
		st->occurrence = o->number;
		st->number = i;
		st->spec = spec->steps[i];
		st->tasks = jst_alloc(st->spec->count, sizeof(*st->tasks));
		st->nwaiting = st->spec->count;
	}
	if (j->nlive == j->live_cap) {
		j->live_cap = j->live_cap == 0 ? 1 : j->live_cap * 2;
		j->live = realloc(j->live, j->live_cap * sizeof(*j->live));
		if (j->live == NULL)
			abort();
	}
	j->live[j->nlive++] = o;
	j->nsoft++;
	if (j->list == JST_LIST_DORMANT)
		jst_job_list(s, j, JST_LIST_ACTIVE);
	jst_update_memory(s, j);
	jst_set_timer(s, j);
	return o;
}

/* Makes an occurrence, and those before it, take memory on all replicas. */
void
jst_occ_touch(struct jst *s, struct jst_job *j, uint32_t number)
{
	struct jst_occ *o;

	if (number >= j->occurrences)
		return;
	for (; j->opened <= number; j->opened++) {
		o = j->opened < j->next_open ? jst_find_occ(j, j->opened)
					     : jst_occ_open(s, j);
		o->is_counted = true;
		j->nsoft--;
		j->ncounted++;
	}
	jst_update_memory(s, j);
}

/* Returns what the checkpoints of an occurrence take beyond its reserve. */
static size_t
extra_bytes(const struct jst_occ *o)
{
	size_t sum = 0;
	uint32_t i, k;

	for (i = 0; i < o->job->spec->n_steps; i++) {
		const struct jst_step *st = &o->steps[i];

		sum += jst_checkpoint_extra(st, st->checkpoint);
		for (k = 0; k < st->spec->count; k++)
			sum +=
			    jst_checkpoint_extra(st, st->tasks[k].checkpoint);
	}
	return sum;
}

/* Retires an occurrence that needs no memory any more, and has it freed once no
 * run of the leader refers to it. */
void
jst_occ_check(struct jst *s, struct jst_occ *o)
{
	struct jst_job *j = o->job;
	bool is_over = o->ndone == j->spec->n_steps || j->state != JST_ACTIVE;

	if (!o->is_retired && is_over && o->nassigned == 0) {
		o->is_retired = true;
		if (o->is_counted)
			j->ncounted--;
		else
			j->nsoft--;
		j->extra_bytes -= extra_bytes(o);
		jst_update_memory(s, j);
	}
	if (!o->is_retired || o->is_dead || o->nrefs > 0)
		return;
	o->is_dead = true;
	o->next_dead = s->dead;
	s->dead = o;
}

/* Removes an occurrence from the list of its job. */
static void
unlink_occ(struct jst_job *j, const struct jst_occ *o)
{
	uint32_t i;

	for (i = 0; i < j->nlive && j->live[i] != o; i++)
		;
	if (i == j->nlive)
		abort();
	j->nlive--;
	memmove(
	    &j->live[i], &j->live[i + 1], (j->nlive - i) * sizeof(j->live[0]));
}

/* Handles that a job has nothing in memory any more. */
static void
on_empty(struct jst *s, struct jst_job *j)
{
	switch (j->list) {
	case JST_LIST_NONE:
		jst_job_free(j);
		break;
	case JST_LIST_ACTIVE:
		jst_job_list(s, j, JST_LIST_DORMANT);
		jst_set_timer(s, j);
		break;
	case JST_LIST_ENDED:
		jst_job_compact(s, j);
		break;
	case JST_LIST_DORMANT:
	case JST_LISTS:
		break;
	}
}

/* Frees the occurrences that nothing needs any more. Not done at once, as the
 * results of a command refer to its occurrence. */
void
jst_free_dead(struct jst *s)
{
	struct jst_occ *o;

	while ((o = s->dead) != NULL) {
		struct jst_job *j = o->job;

		s->dead = o->next_dead;
		unlink_occ(j, o);
		jst_occ_free(o);
		if (j->nlive == 0)
			on_empty(s, j);
	}
}

/* ---- the leader ---- */

/* Notes that a run refers to an occurrence. */
void
jst_occ_ref(struct jst_occ *o)
{
	o->nrefs++;
}

/* Notes that a run doesn't refer to an occurrence any more. */
void
jst_occ_unref(struct jst *s, struct jst_occ *o)
{
	o->nrefs--;
	jst_occ_check(s, o);
}

/* Tells whether the next occurrence of a job may be opened. The memory for one
 * was reserved when the job was accepted; others take what is free, less an
 * eighth that is left to submissions. */
static bool
may_open(const struct jst *s, const struct jst_job *j)
{
	size_t max = s->max.jobs - s->max.jobs / 8;

	if (j->nlive == 0)
		return true;
	if (j->next_open - j->opened >= JST_OPEN_MAX)
		return false;
	return s->max.jobs == 0 ||
	    (s->local_bytes + j->occ_bytes <= max &&
		j->use->bytes + j->occ_bytes <=
		    JMEM_QUEUE_FACTOR * (max - s->local_bytes));
}

/* Opens the next occurrence of a job that is due, or has it wait. */
static void
open_or_block(struct jst *s, struct jst_job *j)
{
	if (may_open(s, j)) {
		jst_occ_open(s, j);
		return;
	}
	g_queue_push_tail(&s->blocked, j);
	j->blocked = g_queue_peek_tail_link(&s->blocked);
}

/* Opens the occurrences that are due. */
void
jst_open_due(struct jst *s, int64_t until_ms)
{
	guint tries = MIN(g_queue_get_length(&s->blocked), JST_BLOCKED_TRIES);
	GTreeNode *node;
	struct jst_job *j;

	jst_free_dead(s);
	while (tries-- > 0 && (j = g_queue_pop_head(&s->blocked)) != NULL) {
		j->blocked = NULL;
		open_or_block(s, j);
	}
	while ((node = g_tree_node_first(s->timers)) != NULL) {
		j = g_tree_node_key(node);
		if (j->due_ms > until_ms)
			break;
		jst_clear_timer(s, j);
		open_or_block(s, j);
	}
}

/* Drops what this leader has opened of a job and no command has touched. */
static void
close_job(struct jst *s, struct jst_job *j)
{
	while (j->next_open > j->opened) {
		struct jst_occ *o = j->live[j->nlive - 1];

		if (o->nrefs > 0 || o->is_dead)
			abort();
		j->nlive--;
		j->next_open--;
		j->nsoft--;
		jst_occ_free(o);
	}
	jst_update_memory(s, j);
	if (j->nlive == 0)
		jst_job_list(s, j, JST_LIST_DORMANT);
	jst_set_timer(s, j);
}

/* Drops what this leader has opened and no command has touched. */
void
jst_close_untouched(struct jst *s)
{
	struct jst_job *j, *next;

	jst_free_dead(s);
	for (j = s->active; j != NULL; j = next) {
		next = j->next;
		if (j->next_open > j->opened)
			close_job(s, j);
	}
	while ((j = g_queue_peek_head(&s->blocked)) != NULL)
		jst_set_timer(s, j);
}
