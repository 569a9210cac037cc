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

/* Adds a run that ends by itself. */
void
jroom_add_run(struct jroom_worker *w, const struct jroom_run *run)
{
	if (w->n == JROOM_RUNS_MAX)
		return;
	if (w->n == w->cap) {
		w->cap = w->cap == 0 ? 8 : w->cap * 2;
		w->runs = realloc(w->runs, w->cap * sizeof(*w->runs));
		if (w->runs == NULL)
			abort();
	}
	w->runs[w->n++] = *run;
}

/* Removes a run that was added; the order of the others doesn't matter. */
void
jroom_remove_run(struct jroom_worker *w, const struct jroom_run *run)
{
	size_t i;

	for (i = w->n; i > 0; i--) {
		if (memcmp(&w->runs[i - 1], run, sizeof(*run)) == 0) {
			w->runs[i - 1] = w->runs[--w->n];
			return;
		}
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

/* Goes through the ends on a worker in order until the task fits. */
struct jroom_start
jroom_find_start(const struct jroom_worker *w,
    const struct jroom_amount *available, const struct jroom_amount *need,
    int64_t now_ms)
{
	struct jroom_start s = { .at_ms = JROOM_NEVER };
	struct {
		int64_t at_ms;
		const struct jroom_run *run;
	} order[JROOM_RUNS_MAX];
	struct jroom_amount sum = *available;
	size_t i, k;

	for (i = 0; i < w->n; i++) {
		int64_t at = jroom_end_ms(&w->runs[i], now_ms);

		for (k = i; k > 0 && order[k - 1].at_ms > at; k--)
			order[k] = order[k - 1];
		order[k].at_ms = at;
		order[k].run = &w->runs[i];
	}
	for (i = 0; i <= w->n; i++) {
		const struct jroom_run *run;

		if (covers(&sum, need, 0, 0, 0)) {
			s.at_ms = i == 0 ? now_ms : order[i - 1].at_ms;
			break;
		}
		if (i == w->n)
			break;
		run = order[i].run;
		s.one_is_enough |=
		    covers(available, need, run->cpu, run->mem, run->accel);
		sum.cpu += run->cpu;
		sum.mem += run->mem;
		sum.accel += run->accel;
		s.nends++;
	}
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
