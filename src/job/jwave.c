#include "job/jwave.h"

#include <stdlib.h>

/* Returns the most machines of a wave that may be down at once. */
static uint32_t
down_limit(const struct jwave_wave *w)
{
	return w->max_down == 0 ? 1 : w->max_down;
}

/* Counts the machines of each wave that are down, closed and waiting. */
static void
count_machines(struct jwave_wave *waves, size_t nwaves,
    const struct jwave_machine *m, size_t n)
{
	size_t i;

	for (i = 0; i < nwaves; i++)
		waves[i].ndown = waves[i].nclosed = waves[i].nwaiting = 0;
	for (i = 0; i < n; i++) {
		struct jwave_wave *w = &waves[m[i].wave];

		w->ndown += m[i].is_down;
		w->nwaiting += m[i].phase == JWAVE_WAITING;
		w->nclosed += m[i].phase == JWAVE_WAITING && m[i].is_closed;
	}
}

/* Tells whether the order for a machine would leave more tasks of some step
 * absent than it may miss. Tasks of a recorded machine are absent already. */
static bool
is_held(const struct jwave_machine *m, const struct jwave_step *steps)
{
	const struct jwave_step *s;
	size_t i;

	for (i = 0; i < m->nuses; i++) {
		s = &steps[m->uses[i].step];
		if (s->absent +
			(m->phase == JWAVE_WAITING ? m->uses[i].ntasks : 0) >
		    s->may_miss)
			return true;
	}
	return false;
}

/* Returns how long a machine may stay closed for its tasks, so that all that
 * wait can begin within the term. */
static int64_t
closed_limit_ms(const struct jwave_wave *w, int64_t now_ms)
{
	int64_t rounds = (w->nwaiting + down_limit(w) - 1) / down_limit(w);
	int64_t each = rounds == 0 ? 0 : (w->deadline_ms - now_ms) / rounds;

	/* Half of what is left over is for changes of leader and for orders
	 * without an answer. */
	each = (each - JWAVE_DOWN_MS) / 2;
	if (each < 0)
		return 0;
	return each < JWAVE_CLOSED_MAX_MS ? each : JWAVE_CLOSED_MAX_MS;
}

/* Tells whether a closed machine still waits for its tasks. */
static bool
waits_for_tasks(
    const struct jwave_machine *m, const struct jwave_wave *w, int64_t now_ms)
{
	int64_t closed = now_ms - m->closed_ms,
		limit = closed_limit_ms(w, now_ms);

	if (closed < JWAVE_CLOSED_MIN_MS)
		return true;
	if (m->is_saving || m->is_moving)
		return closed < limit + JWAVE_CLOSED_MIN_MS;
	return m->busy_ms > 0 && closed < limit;
}

/* Returns what a closed machine does, and counts its tasks as absent if its
 * maintenance is to be recorded. */
static enum jwave_choice
choose_closed(struct jwave_machine *m, struct jwave_wave *w,
    struct jwave_step *steps, int64_t now_ms)
{
	size_t i;

	if (waits_for_tasks(m, w, now_ms))
		return JWAVE_CLOSE;
	if (is_held(m, steps))
		return now_ms - m->closed_ms <
			closed_limit_ms(w, now_ms) + JWAVE_HELD_MAX_MS
		    ? JWAVE_HELD
		    : JWAVE_QUEUED;
	if (w->ndown >= down_limit(w))
		return now_ms - m->closed_ms <
			closed_limit_ms(w, now_ms) + JWAVE_SLOT_MAX_MS
		    ? JWAVE_SLOT
		    : JWAVE_QUEUED;
	w->ndown++;
	for (i = 0; i < m->nuses; i++)
		steps[m->uses[i].step].absent += m->uses[i].ntasks;
	return JWAVE_RECORD;
}

/* Returns what a machine does whose maintenance is recorded. */
static enum jwave_choice
choose_begun(const struct jwave_machine *m, const struct jwave_step *steps)
{
	if (m->is_waiting)
		return JWAVE_RETRY;
	if (!m->is_up)
		return JWAVE_UNLISTED;
	return is_held(m, steps) ? JWAVE_HELD_BEGUN : JWAVE_ORDER;
}

/* Returns what a machine does that waits. */
static enum jwave_choice
choose_waiting(struct jwave_machine *m, struct jwave_wave *w,
    struct jwave_step *steps, int64_t now_ms)
{
	if (m->is_waiting)
		return JWAVE_RETRY;
	if (m->is_blocked)
		return JWAVE_OTHER;
	if (!m->is_up)
		return JWAVE_UNLISTED;
	if (m->is_closed)
		return choose_closed(m, w, steps, now_ms);
	return JWAVE_QUEUED;
}

/* Orders machines by what an order would lose there. */
static int
compare_cost(const void *a, const void *b)
{
	const struct jwave_machine *const *x = a, *const *y = b;

	if ((*x)->cost != (*y)->cost)
		return (*x)->cost < (*y)->cost ? -1 : 1;
	return *x < *y ? -1 : *x > *y;
}

/* Closes further machines, those that lose least first, up to max_down of each
 * wave: they get empty while others are down. */
static void
close_more(
    struct jwave_wave *waves, struct jwave_machine *m, size_t n, int64_t now_ms)
{
	struct jwave_machine **order =
	    calloc(n + 1, sizeof(struct jwave_machine *));
	size_t i, k = 0;

	if (order == NULL)
		abort();
	for (i = 0; i < n; i++) {
		if (m[i].choice == JWAVE_QUEUED && !m[i].is_closed &&
		    now_ms >= m[i].reopens_ms)
			order[k++] = &m[i];
	}
	qsort(order, k, sizeof(struct jwave_machine *), compare_cost);
	for (i = 0; i < k; i++) {
		struct jwave_wave *w = &waves[order[i]->wave];

		if (w->nclosed >= down_limit(w))
			continue;
		w->nclosed++;
		order[i]->choice = JWAVE_CLOSE;
	}
	free(order);
}

/* Sets the choice of each machine. */
void
jwave_choose(struct jwave_wave *waves, size_t nwaves, struct jwave_machine *m,
    size_t n, struct jwave_step *steps, int64_t now_ms)
{
	size_t i;

	count_machines(waves, nwaves, m, n);
	for (i = 0; i < n; i++) {
		switch (m[i].phase) {
		case JWAVE_WAITING:
			m[i].choice = choose_waiting(
			    &m[i], &waves[m[i].wave], steps, now_ms);
			break;
		case JWAVE_BEGUN:
			m[i].choice = choose_begun(&m[i], steps);
			break;
		case JWAVE_DONE:
			m[i].choice = JWAVE_NONE;
			break;
		}
	}
	close_more(waves, m, n, now_ms);
}

/* Returns the name of a choice in the log. */
const char *
jwave_choice_name(enum jwave_choice c)
{
	switch (c) {
	case JWAVE_NONE:
		return "done";
	case JWAVE_UNLISTED:
		return "not_up";
	case JWAVE_OTHER:
		return "other_wave";
	case JWAVE_RETRY:
		return "retry";
	case JWAVE_QUEUED:
		return "queued";
	case JWAVE_CLOSE:
		return "closed";
	case JWAVE_SLOT:
		return "max_count";
	case JWAVE_HELD:
	case JWAVE_HELD_BEGUN:
		return "may_miss";
	case JWAVE_RECORD:
		return "record";
	case JWAVE_ORDER:
		return "order";
	}
	return "invalid";
}
