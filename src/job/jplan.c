#include <stdlib.h>
#include <string.h>

#include "job/jplan_impl.h"

/* A step with waiting tasks, and its sort keys. */
struct candidate {
	struct jst_step *st;
	int band; /* 0: can be in time, 1: late, 2: worthless */
	uint32_t priority;
	bool has_begun; /* some of its job's work is done or running */
	int64_t deadline_ms;
	int64_t left_ms, late_ms; /* as in struct jplan_claim */
	double sort_key; /* slack in ms, or core-seconds of remaining work */
	bool may_wait;	 /* it may wait for a better place */
	uint32_t ndisplaced; /* displaced long-running tasks to be placed */
};

/* Returns the length of a job's critical path by declared times, overheads
 * included, in ms. */
int64_t
jplan_critical_path_ms(const Job__Spec *spec)
{
	int64_t *end = calloc(spec->n_steps + 1, sizeof(*end)), longest = 0;
	size_t i, k;

	if (end == NULL)
		abort();
	for (i = 0; i < spec->n_steps; i++) {
		const Job__Step *s = spec->steps[i];
		int64_t from = 0;

		for (k = 0; k < s->n_after; k++) {
			if (s->after[k] < i && end[s->after[k]] > from)
				from = end[s->after[k]];
		}
		end[i] = from + s->estimate_ms + JPLAN_STEP_OVERHEAD_MS;
		if (end[i] > longest)
			longest = end[i];
	}
	free(end);
	return longest;
}

/* Sets a job's queue and its deadline, the time when it should be complete. */
void
jplan_set_deadline(const struct jst *s, struct jst_job *j)
{
	const Job__Queue *q = jst_queue(s, j->queue);
	int64_t chain = jplan_critical_path_ms(j->spec), span;
	int64_t stretch =
	    q == NULL || q->stretch_milli == 0 ? 1000 : q->stretch_milli;

	span = chain * stretch / 1000 + (q == NULL ? 0 : q->target_ms);
	j->deadline_ms = j->submitted_ms + span;
	j->queue_cfg = q;
}

/* Tells whether a job runs until it is cancelled. */
static bool
is_long_running(const struct jst_job *j)
{
	return j->spec->n_steps > 0 && j->spec->steps[0]->lasting;
}

/* Returns the deadline of an occurrence. */
static int64_t
occurrence_deadline_ms(const struct jst_step *st)
{
	const Job__Spec *spec = st->job->spec;

	if (spec->repeat == 0 || !spec->has_start_at_ms)
		return st->job->deadline_ms;
	return st->job->deadline_ms - st->job->submitted_ms +
	    spec->start_at_ms + (int64_t)(st->occurrence * spec->interval_ms);
}

/* Orders candidates by the rules in jplan.h. */
static int
compare_candidates(const void *pa, const void *pb)
{
	const struct candidate *a = pa, *b = pb;

	if ((a->ndisplaced > 0) != (b->ndisplaced > 0))
		return a->ndisplaced > 0 ? -1 : 1;
	if (a->band != b->band)
		return a->band - b->band;
	if (a->priority != b->priority)
		return a->priority < b->priority ? -1 : 1;
	if (a->has_begun != b->has_begun)
		return a->has_begun ? -1 : 1;
	if (a->sort_key != b->sort_key)
		return a->sort_key < b->sort_key ? -1 : 1;
	if (a->deadline_ms != b->deadline_ms)
		return a->deadline_ms < b->deadline_ms ? -1 : 1;
	return (a->st->job->id > b->st->job->id) -
	    (a->st->job->id < b->st->job->id);
}

/* Returns the remaining work of an occurrence in core-seconds, by declared
 * times. */
static double
remaining_work(const struct jst_step *st)
{
	const struct jst_step *base = jst_first_step(st);
	double sum = 0;
	size_t i;

	for (i = 0; i < st->job->spec->n_steps; i++)
		sum += (double)(base[i].spec->count - base[i].ndone) *
		    base[i].spec->cpu_milli * base[i].spec->estimate_ms / 1e6;
	return sum;
}

/* Returns the length of the critical path from the start of a step on, by
 * declared times. */
static int64_t
remaining_path_ms(const struct jst_step *st)
{
	const Job__Spec *spec = st->job->spec;
	int64_t v[JPLAN_STEPS_MAX] = { 0 }, longest = 0;
	size_t i, k;

	for (i = st->number; i < spec->n_steps && i < JPLAN_STEPS_MAX; i++) {
		const Job__Step *s = spec->steps[i];
		int64_t from = i == st->number ? 0 : -1;

		for (k = 0; k < s->n_after; k++) {
			if (s->after[k] >= st->number && s->after[k] < i &&
			    v[s->after[k]] > from)
				from = v[s->after[k]];
		}
		if (from < 0)
			continue;
		v[i] = from + s->estimate_ms + JPLAN_STEP_OVERHEAD_MS;
		if (v[i] > longest)
			longest = v[i];
	}
	return longest;
}

/* Counts the assigned tasks of jobs that aren't long-running. */
static uint32_t
count_running(const struct jst *s)
{
	const struct jst_job *j;
	uint32_t o, n = 0;

	for (j = s->active; j != NULL; j = j->next) {
		for (o = 0; o < j->nlive && !is_long_running(j); o++)
			n += j->live[o]->nassigned;
	}
	return n;
}

/* Estimates the time until the last task of a step has started, if every task
 * that ends on a full fleet makes room for it. */
static double
expected_start_ms(const struct jst_step *st, uint32_t running)
{
	return (double)st->nwaiting * st->spec->estimate_ms /
	    (running > 0 ? running : 1);
}

/* Computes the sort keys of a step. */
static void
candidate_init(
    struct candidate *c, struct jst_step *st, uint32_t running, int64_t wall_ms)
{
	const Job__Queue *q = st->job->queue_cfg;
	int64_t span, left, late_ms;

	c->st = st;
	c->priority = q == NULL ? 0 : q->priority;
	c->deadline_ms = occurrence_deadline_ms(st);
	span = st->job->deadline_ms - st->job->submitted_ms;
	c->band = 0;
	c->sort_key = JPLAN_LONG_RUNNING_ORDER;
	c->left_ms = c->late_ms = 0;
	c->has_begun = c->may_wait = false;
	c->ndisplaced = 0;
	if (is_long_running(st->job))
		return;
	c->sort_key = remaining_work(st);
	c->has_begun = st->nwaiting < st->spec->count || st->number > 0;
	left = remaining_path_ms(st);
	late_ms = c->deadline_ms + (JPLAN_LATE_FACTOR - 1) * span;
	c->left_ms = left;
	c->late_ms = late_ms;
	if (wall_ms > late_ms)
		c->band = 2;
	else if (wall_ms + left > c->deadline_ms)
		c->band = 1;
	if (c->band == 0)
		c->sort_key = (double)(c->deadline_ms - left - wall_ms) -
		    expected_start_ms(st, running);
	c->may_wait = wall_ms + left + JPLAN_WAIT_MARGIN_MS <
	    (c->band == 0 ? c->deadline_ms : late_ms);
}

/* Returns the band of a step that starts at a time, and sets its deadline. */
int
jplan_band(struct jst_step *st, int64_t at_ms, int64_t *deadline_ms)
{
	struct candidate c;

	candidate_init(&c, st, 0, at_ms);
	*deadline_ms = c.deadline_ms;
	return c.band;
}

/* Tells whether a step has to wait because no worker with a ticket is known. */
static bool
lacks_advice(const struct jst_step *st)
{
	const Job__Queue *q = st->job->queue_cfg;

	return q != NULL && q->advice != NULL &&
	    (st->advice == NULL || jadvice_step_count(st->advice) == 0);
}

/* Tells whether a task of an occurrence has been assigned; the first task of a
 * step is before the others. */
static bool
occurrence_has_begun(const struct jst_step *st)
{
	const Job__Spec *spec = st->job->spec;
	const struct jst_step *base = jst_first_step(st);
	size_t i;

	for (i = 0; i < spec->n_steps; i++) {
		if (base[i].nwaiting < base[i].spec->count ||
		    base[i].tasks[0].run > 0)
			return true;
	}
	return false;
}

/* Tells whether the start time of an occurrence has come. One that has begun
 * goes on if the wall clock is stepped back, or a leader's is behind. */
bool
jplan_may_start(const struct jst_step *st, int64_t wall_ms)
{
	const Job__Spec *spec = st->job->spec;

	return spec->repeat == 0 || !spec->has_start_at_ms ||
	    wall_ms >=
	    spec->start_at_ms + (int64_t)(st->occurrence * spec->interval_ms) ||
	    occurrence_has_begun(st);
}

/* Adds a step to the candidates; a long-running one twice if some of its tasks
 * are displaced and others new. Returns how many were added. */
static size_t
add_candidates(
    struct candidate *c, struct jst_step *st, uint32_t running, int64_t wall_ms)
{
	uint32_t ndisplaced = jplan_count_displaced(st);

	candidate_init(c, st, running, wall_ms);
	if (ndisplaced == 0)
		return 1;
	c->ndisplaced = ndisplaced;
	if (st->spec->gang || st->nwaiting - st->nproposed == ndisplaced)
		return 1;
	candidate_init(c + 1, st, running, wall_ms);
	return 2;
}

/* Writes the steps that can start tasks to out, in order, and returns their
 * number. The caller frees out. */
static size_t
collect_candidates(struct jst *s, int64_t wall_ms, struct candidate **out)
{
	struct jst_job *j;
	struct jst_step *st;
	struct candidate *v = NULL;
	size_t n = 0, cap = 0;
	uint32_t o, i, running = count_running(s);

	for (j = s->active; j != NULL; j = j->next) {
		if (j->deadline_ms == 0)
			jplan_set_deadline(s, j);
		else if (j->queue_cfg == NULL)
			j->queue_cfg = jst_queue(s, j->queue);
		JST_FOREACH_STEP(j, st, o, i)
		{
			if (st->nwaiting <= st->nproposed ||
			    !jplan_may_start(st, wall_ms) ||
			    !jst_step_ready(st) || lacks_advice(st))
				continue;
			if (n + 1 >= cap) {
				cap = cap == 0 ? 64 : cap * 2;
				v = realloc(v, cap * sizeof(*v));
				if (v == NULL)
					abort();
			}
			n += add_candidates(&v[n], st, running, wall_ms);
		}
	}
	if (n > 1)
		qsort(v, n, sizeof(*v), compare_candidates);
	*out = v;
	return n;
}

/* Returns the number of tasks of the largest gang among the candidates. */
static size_t
largest_gang(const struct candidate *c, size_t n)
{
	size_t i, largest = 0;

	for (i = 0; i < n; i++) {
		const Job__Step *s = c[i].st->spec;

		if (s->gang && s->count > largest)
			largest = s->count;
	}
	return largest;
}

/* Sets the order and the value of the step that is placed next. */
static void
set_claim(struct jplan_claim *claim, const struct candidate *c, int64_t wall_ms)
{
	claim->band = c->band;
	claim->priority = c->priority;
	claim->left_ms = c->left_ms;
	claim->deadline_ms = c->deadline_ms;
	claim->late_ms = c->late_ms;
	claim->wall_ms = wall_ms;
}

/* Chooses the tasks that start now. A gang starts as a whole or not at all. */
size_t
jplan_choose(struct jst *s, struct jinterf *interf,
    const struct jdemand *demand, struct jplan_worker *v, size_t nworkers,
    int64_t wall_ms, int64_t now_ms, struct jplan_lookahead *look,
    struct jplan_choice **out, size_t max)
{
	struct jplan_round round;
	struct jplan_choice *chosen;
	struct candidate *c;
	size_t i, k, n = 0, ncand;

	jst_open_due(s, wall_ms);
	ncand = collect_candidates(s, wall_ms, &c);
	chosen = calloc(max + largest_gang(c, ncand), sizeof(*chosen));
	if (chosen == NULL)
		abort();
	jplan_round_init(&round, interf, demand, v, nworkers, wall_ms, now_ms);
	jplan_room_init(&round, look);
	round.chosen = chosen;
	for (i = 0; i < ncand && n < max; i++) {
		struct jst_step *st = c[i].st;

		if (st->spec->gang && st->nwaiting < st->spec->count)
			continue;
		set_claim(&round.claim, &c[i], wall_ms);
		k = jplan_place(&round, st, c[i].ndisplaced > 0, c[i].may_wait,
		    chosen + n, st->spec->gang ? st->spec->count : max - n);
		if (st->spec->gang && k < st->spec->count) {
			jplan_undo(&round, chosen + n, k);
			k = 0;
		}
		n += k;
		round.nchosen = n;
		if (k < c[i].ndisplaced && n < max)
			jplan_reserve(&round, st, c[i].ndisplaced - k);
		else if (st->nwaiting - st->nproposed > k && n < max)
			jplan_room_reserve(
			    &round, st, st->nwaiting - st->nproposed - k);
	}
	/* The last step that was reached may have tasks left. */
	for (i -= n >= max && i > 0; n >= max && i < ncand; i++)
		jplan_room_carry(&round, c[i].st);
	jplan_room_finish(&round);
	jplan_round_finish(&round);
	free(c);
	*out = chosen;
	return n;
}
