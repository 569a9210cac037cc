#include "job/jroom.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "job/jplan.h"

/* Starts without any average. */
void
jroom_init(struct jroom *m)
{
	memset(m, 0, sizeof(*m));
}

/* Returns the average of a step of an image. */
static struct jroom_ratio *
step_ratio(struct jroom *m, const struct jst_step *st, size_t image)
{
	uint32_t i = st->number < JROOM_STEPS ? st->number : JROOM_STEPS - 1;

	return &m->step[image < JINTERF_IMAGES_MAX ? image : JINTERF_IMAGES_MAX]
		       [i];
}

/* Adds a ratio to an average. */
static void
ratio_add(struct jroom_ratio *a, double ratio, int64_t now_ms)
{
	double age = (double)(now_ms - a->at_ms);

	a->weight *= exp(-(age > 0 ? age : 0) / JROOM_DECAY_MS);
	a->weight = fmin(a->weight + 1, JROOM_WEIGHT_MAX);
	a->mean += (ratio - a->mean) / a->weight;
	a->at_ms = now_ms;
}

/* Returns the declared time for which a task holds its resources. */
static double
declared_ms(const struct jst_step *st)
{
	return (double)st->spec->estimate_ms + JPLAN_STEP_OVERHEAD_MS;
}

/* Learns the ratio of real to declared time for the image, the step and the
 * other tasks of the same job. */
void
jroom_learn(struct jroom *m, struct jst_step *st, size_t image, int64_t held_ms,
    int64_t now_ms)
{
	double ratio = (double)held_ms / declared_ms(st);

	ratio = fmin(fmax(ratio, JROOM_RATIO_MIN), JROOM_RATIO_MAX);
	ratio_add(
	    &m->image[image < JINTERF_IMAGES_MAX ? image : JINTERF_IMAGES_MAX],
	    ratio, now_ms);
	ratio_add(step_ratio(m, st, image), ratio, now_ms);
	st->room_ratio_sum += ratio;
	st->room_nended++;
}

/* Combines a mean with the next broader one. */
static double
combine(double broad, double mean, double weight)
{
	return (JROOM_PRIOR_WEIGHT * broad + weight * mean) /
	    (JROOM_PRIOR_WEIGHT + weight);
}

/* Returns the declared time, corrected by the image's average, then by the
 * step's, then by that of the job's own tasks. Each counts the more, the more
 * runs it comes from. */
int64_t
jroom_expected_ms(
    const struct jroom *m, const struct jst_step *st, size_t image)
{
	size_t i = image < JINTERF_IMAGES_MAX ? image : JINTERF_IMAGES_MAX;
	uint32_t k = st->number < JROOM_STEPS ? st->number : JROOM_STEPS - 1;
	double ratio = 1;

	ratio = combine(ratio, m->image[i].mean, m->image[i].weight);
	ratio = combine(ratio, m->step[i][k].mean, m->step[i][k].weight);
	if (st->room_nended > 0)
		ratio = combine(ratio, st->room_ratio_sum / st->room_nended,
		    st->room_nended);
	return (int64_t)(declared_ms(st) * ratio);
}

/* Returns when a run ends if it takes as long as expected. */
static int64_t
nominal_end_ms(const struct jroom_run *run)
{
	return run->since_ms + run->expected_ms;
}

/* Adds a run that ends by itself, after those that end no later. */
void
jroom_add_run(struct jroom_worker *w, const struct jroom_run *run)
{
	size_t lo = 0, hi = w->n;

	if (w->n == JROOM_RUNS_MAX)
		return;
	if (w->n == w->cap) {
		w->cap = w->cap == 0 ? 8 : w->cap * 2;
		w->runs = realloc(w->runs, w->cap * sizeof(*w->runs));
		if (w->runs == NULL)
			abort();
	}
	while (lo < hi) {
		size_t mid = (lo + hi) / 2;

		if (nominal_end_ms(&w->runs[mid]) <= nominal_end_ms(run))
			lo = mid + 1;
		else
			hi = mid;
	}
	memmove(&w->runs[lo + 1], &w->runs[lo], (w->n - lo) * sizeof(*w->runs));
	w->runs[lo] = *run;
	w->n++;
}

/* Removes a run that was added. */
void
jroom_remove_run(struct jroom_worker *w, const struct jroom_run *run)
{
	size_t i;

	for (i = w->n; i > 0; i--) {
		if (memcmp(&w->runs[i - 1], run, sizeof(*run)) != 0)
			continue;
		memmove(&w->runs[i - 1], &w->runs[i],
		    (w->n - i) * sizeof(*w->runs));
		w->n--;
		return;
	}
}

/* Returns when a run ends; one that is longer than expected goes on for a
 * while. */
int64_t
jroom_end_ms(const struct jroom_run *run, int64_t now_ms)
{
	int64_t age = now_ms - run->since_ms, more;

	more = (int64_t)((double)age * JROOM_OVERRUN_SHARE);
	if (more < JROOM_OVERRUN_MIN_MS)
		more = JROOM_OVERRUN_MIN_MS;
	return run->expected_ms - age > more ? run->since_ms + run->expected_ms
					     : now_ms + more;
}

/* Tells whether a worker that lacks these resources would have enough if it had
 * this much more. */
static bool
covers(const struct jroom_amount *available, const struct jroom_amount *need,
    int64_t cpu, int64_t mem, int64_t accel)
{
	return (need->cpu <= available->cpu || need->cpu <= cpu) &&
	    (need->mem <= available->mem || need->mem <= mem) &&
	    (need->accel <= available->accel || need->accel <= accel);
}

/* The ends on a worker in order, read one at a time. Overdue runs end later
 * than their place in the list says; they wait in late until it is their
 * turn. */
struct ends {
	const struct jroom_worker *w;
	int64_t now_ms;
	size_t next; /* index of the next run */
	struct late_run {
		int64_t at_ms;
		const struct jroom_run *run;
	} late[JROOM_RUNS_MAX]; /* the earliest last */
	size_t nlate;
};

/* Returns the run that ends next and sets at_ms to its end, NULL if there is
 * none. */
static const struct jroom_run *
next_end(struct ends *e, int64_t *at_ms)
{
	while (e->next < e->w->n) {
		const struct jroom_run *run = &e->w->runs[e->next];
		int64_t nominal = nominal_end_ms(run), at;
		size_t k;

		if (e->nlate > 0 && e->late[e->nlate - 1].at_ms <= nominal)
			break;
		e->next++;
		at = jroom_end_ms(run, e->now_ms);
		if (at == nominal) {
			*at_ms = at;
			return run;
		}
		for (k = e->nlate++; k > 0 && e->late[k - 1].at_ms <= at; k--)
			e->late[k] = e->late[k - 1];
		e->late[k] = (struct late_run){ at, run };
	}
	if (e->nlate == 0)
		return NULL;
	e->nlate--;
	*at_ms = e->late[e->nlate].at_ms;
	return e->late[e->nlate].run;
}

/* Goes through the ends on a worker in order until the task fits, no further
 * than by_ms. */
struct jroom_start
jroom_find_start(const struct jroom_worker *w,
    const struct jroom_amount *available, const struct jroom_amount *need,
    int64_t now_ms, int64_t by_ms)
{
	struct jroom_start s = { .at_ms = JROOM_NEVER };
	struct jroom_amount sum = *available;
	const struct jroom_run *run;
	struct ends e;
	int64_t at_ms = now_ms;

	e.w = w;
	e.now_ms = now_ms;
	e.next = e.nlate = 0;
	while (!covers(&sum, need, 0, 0, 0)) {
		run = next_end(&e, &at_ms);
		if (run == NULL || at_ms > by_ms)
			return s;
		s.one_is_enough |=
		    covers(available, need, run->cpu, run->mem, run->accel);
		sum.cpu += run->cpu;
		sum.mem += run->mem;
		sum.accel += run->accel;
		s.nends++;
	}
	s.at_ms = at_ms;
	s.spare.cpu = sum.cpu - need->cpu;
	s.spare.mem = sum.mem - need->mem;
	s.spare.accel = sum.accel - need->accel;
	return s;
}

/* Releases the memory of a worker's runs. */
void
jroom_worker_finish(struct jroom_worker *w)
{
	free(w->runs);
	memset(w, 0, sizeof(*w));
}
