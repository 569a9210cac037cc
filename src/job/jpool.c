#include "job/jpool.h"

#include <stdlib.h>
#include <string.h>

/* Decides on moves between pools. Tasks that wait are first placed into what
 * their service will have free soon, then onto machines that are on their way,
 * and machines are chosen for those that remain. */

/* Subtracts n times an amount. */
static void
subtract(struct jpool_amount *a, const struct jpool_amount *b, int64_t n)
{
	a->cpu -= n * b->cpu;
	a->mem -= n * b->mem;
	a->accel -= n * b->accel;
}

/* Returns how often an amount fits into another one, at most max times. */
static uint32_t
count_fits(const struct jpool_amount *room, const struct jpool_amount *size,
    uint32_t max)
{
	int64_t n = max;

	if (size->cpu > 0 && room->cpu / size->cpu < n)
		n = room->cpu / size->cpu;
	if (size->mem > 0 && room->mem / size->mem < n)
		n = room->mem / size->mem;
	if (size->accel > 0 && room->accel / size->accel < n)
		n = room->accel / size->accel;
	return n < 0 ? 0 : (uint32_t)n;
}

/* Tells whether a label is among those of a worker or machine. */
static bool
has_label(const struct jpool_labels *l, const char *label)
{
	size_t i;

	for (i = 0; label != NULL && i < l->n; i++) {
		if (strcmp(l->v[i], label) == 0)
			return true;
	}
	return label == NULL;
}

/* Places the tasks of a pool that remain onto a worker, and returns their
 * number. Only counts them if is_trial is set. */
static uint32_t
place(struct jpool_input *in, size_t pool, struct jpool_amount room,
    const struct jpool_labels *labels, bool is_trial)
{
	uint32_t n, total = 0;
	size_t i;

	for (i = 0; i < in->ndemands; i++) {
		struct jpool_demand *d = &in->demands[i];

		if (d->nmissing == 0 || d->pool != pool ||
		    room.cpu < d->size.cpu || room.mem < d->size.mem ||
		    room.accel < d->size.accel || !has_label(labels, d->label))
			continue;
		n = d->nmissing;
		if (d->spread > 0 && n > d->spread)
			n = d->spread;
		n = count_fits(&room, &d->size, n);
		subtract(&room, &d->size, n);
		total += n;
		if (!is_trial)
			d->nmissing -= n;
	}
	return total;
}

/* Orders demands by the time waited, longest first. */
static int
compare_demands(const void *a, const void *b)
{
	const struct jpool_demand *x = a, *y = b;

	return (y->waited_ms > x->waited_ms) - (y->waited_ms < x->waited_ms);
}

/* Places tasks into what their service has free soon, and onto machines on
 * their way to it. An open move onto which none is placed isn't needed. */
static void
place_soon(struct jpool_input *in)
{
	size_t i;

	for (i = 0; i < in->ndemands; i++)
		in->demands[i].nmissing = in->demands[i].ntasks;
	for (i = 0; i < in->nhosts; i++)
		place(in, in->hosts[i].pool, in->hosts[i].soon,
		    &in->hosts[i].labels, false);
	for (i = 0; i < in->nmachines; i++) {
		struct jpool_machine *m = &in->machines[i];

		if (m->is_coming)
			place(in, m->pool, m->size, &m->labels, false);
		if (m->to == JPOOL_NONE)
			continue;
		in->pools[m->to].nopen++;
		if (in->pools[m->to].is_spare)
			m->is_needed = m->pool == JPOOL_NONE ||
			    in->pools[m->pool].nwaiting == 0;
		else
			m->is_needed =
			    place(in, m->to, m->size, &m->labels, false) > 0;
	}
}

/* Tells whether a pool keeps enough free capacity without a machine: for its
 * waiting tasks and a part of what runs there, and for what ran and waited
 * there at most shortly before. */
static bool
keeps_enough(const struct jpool_pool *p, const struct jpool_amount *size)
{
	struct jpool_amount left = p->free;

	subtract(&left, size, 1);
	if (left.cpu + p->used.cpu < p->peak.cpu ||
	    left.mem + p->used.mem < p->peak.mem ||
	    left.accel + p->used.accel < p->peak.accel)
		return false;
	subtract(&left, &p->waiting, 1);
	return left.cpu >= p->used.cpu / JPOOL_KEPT_PART &&
	    left.mem >= p->used.mem / JPOOL_KEPT_PART &&
	    left.accel >= p->used.accel / JPOOL_KEPT_PART;
}

/* Tells whether a pool could give a machine to another one. */
bool
jpool_may_give(const struct jpool_input *in, size_t from, size_t to)
{
	const struct jpool_pool *p = &in->pools[from];

	return from != to && !in->pools[to].is_spare &&
	    !in->is_refused(in->arg, from, to) && (p->is_spare || p->has_peak);
}

/* Tells whether a machine may be chosen for a pool. */
static bool
may_choose(
    const struct jpool_input *in, const struct jpool_machine *m, size_t to)
{
	return m->is_free && m->to == JPOOL_NONE && m->choice == JPOOL_NONE &&
	    m->pool != JPOOL_NONE && m->moved_ms >= JPOOL_CALM_MS &&
	    jpool_may_give(in, m->pool, to) &&
	    (in->pools[m->pool].is_spare ||
		keeps_enough(&in->pools[m->pool], &m->size));
}

/* Tells whether machine a, which takes na tasks, is chosen before b: spare
 * machines first, then those of the pool with the most free processors, those
 * that take more tasks, and the smaller ones. */
static bool
is_better(const struct jpool_input *in, const struct jpool_machine *a,
    uint32_t na, const struct jpool_machine *b, uint32_t nb)
{
	const struct jpool_pool *p = &in->pools[a->pool],
				*q = &in->pools[b->pool];

	if (p->is_spare != q->is_spare)
		return p->is_spare;
	if (a->is_off != b->is_off)
		return b->is_off;
	if (p != q && !p->is_spare && p->free.cpu != q->free.cpu)
		return p->free.cpu > q->free.cpu;
	if (na != nb)
		return na > nb;
	return a->size.cpu < b->size.cpu;
}

/* Chooses a machine for the tasks of a pool; false if none fits. */
static bool
choose_machine(struct jpool_input *in, size_t to)
{
	struct jpool_machine *best = NULL;
	uint32_t n, nbest = 0;
	size_t i;

	for (i = 0; i < in->nmachines; i++) {
		struct jpool_machine *m = &in->machines[i];

		if (!may_choose(in, m, to))
			continue;
		n = place(in, to, m->size, &m->labels, true);
		if (n == 0 ||
		    (best != NULL && !is_better(in, m, n, best, nbest)))
			continue;
		best = m;
		nbest = n;
	}
	if (best == NULL)
		return false;
	place(in, to, best->size, &best->labels, false);
	best->choice = to;
	subtract(&in->pools[best->pool].free, &best->size, 1);
	in->pools[to].nopen++;
	in->nopen++;
	return true;
}

/* Returns the pool that gets the next machine: of those with the fewest open
 * moves the one whose tasks have waited longest; JPOOL_NONE if none needs
 * one. */
static size_t
next_pool(const struct jpool_input *in, const bool *is_done)
{
	size_t i, to = JPOOL_NONE;

	for (i = 0; i < in->ndemands; i++) {
		const struct jpool_demand *d = &in->demands[i];

		if (d->nmissing > 0 && !is_done[d->pool] &&
		    (to == JPOOL_NONE ||
			in->pools[d->pool].nopen < in->pools[to].nopen))
			to = d->pool;
	}
	return to;
}

/* Chooses machines for the tasks that would wait for longer than a move. */
static void
choose_for_tasks(struct jpool_input *in)
{
	bool *is_done = calloc(in->npools + 1, sizeof(*is_done));
	size_t to;

	if (is_done == NULL)
		abort();
	while (in->nopen < JPOOL_OPEN_MAX &&
	    (to = next_pool(in, is_done)) != JPOOL_NONE)
		is_done[to] = !choose_machine(in, to);
	free(is_done);
}

/* Chooses the machines that go back to their spare pool. */
static void
choose_returns(struct jpool_input *in)
{
	size_t i;

	for (i = 0; i < in->nmachines && in->nopen < JPOOL_OPEN_MAX; i++) {
		struct jpool_machine *m = &in->machines[i];

		if (m->home == JPOOL_NONE || m->pool == m->home ||
		    !m->is_free || m->to != JPOOL_NONE ||
		    m->choice != JPOOL_NONE || m->moved_ms < JPOOL_CALM_MS ||
		    m->empty_ms < JPOOL_EMPTY_MS ||
		    (m->pool != JPOOL_NONE &&
			(in->pools[m->pool].nwaiting > 0 ||
			    in->is_refused(in->arg, m->pool, m->home))))
			continue;
		m->choice = m->home;
		in->nopen++;
	}
}

/* Sets the choices. */
void
jpool_choose(struct jpool_input *in)
{
	size_t i;

	for (i = 0; i < in->nmachines; i++) {
		in->machines[i].is_needed = false;
		in->machines[i].choice = JPOOL_NONE;
	}
	for (i = 0; i < in->npools; i++)
		in->pools[i].nopen = 0;
	if (in->ndemands > 1)
		qsort(in->demands, in->ndemands, sizeof(*in->demands),
		    compare_demands);
	place_soon(in);
	choose_for_tasks(in);
	choose_returns(in);
}
