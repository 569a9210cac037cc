#include "job/jplan_impl.h"

/*
 * What filling tasks cost the serving jobs beside them. A serving job loses
 * all once a quarter of its tasks are over their target; more harm to it costs
 * nothing then. So harm goes where its jobs have lost already, and the others
 * are kept whole.
 */

static double
load_of(const struct jplan_group *g)
{
	return g->st->load > 0 ? g->st->load : JPRESS_LOAD_GUESS;
}

/* How likely a use is over a target. */
static double
over(double use)
{
	double x = (use - JPLAN_OVER_FROM) / (JPLAN_OVER_TO - JPLAN_OVER_FROM);

	return x < 0 ? 0 : x > 1 ? 1 : x;
}

/* The part that a job of n tasks loses while so many are over their target. */
static double
lost(double tasks, uint32_t n)
{
	double x = JPLAN_HARM_FACTOR * tasks / n;

	return x > 1 ? 1 : x;
}

/* Counts the tasks over their target for each serving step. */
void
jplan_harm_init(struct jplan_worker *v, size_t n)
{
	size_t i;
	uint32_t k;

	for (i = 0; i < n; i++) {
		for (k = 0; k < v[i].ngroups; k++)
			v[i].groups[k].st->over = 0;
	}
	for (i = 0; i < n; i++) {
		for (k = 0; k < v[i].ngroups; k++) {
			struct jplan_group *g = &v[i].groups[k];

			g->st->over += g->n * over(load_of(g) + g->press);
		}
	}
}

/* Returns what one more filling task on a worker costs. */
double
jplan_harm(const struct jpress *press, const struct jplan_worker *p,
    size_t image, double share)
{
	double sum = 0, worst = 0, use, more;
	uint32_t k;

	for (k = 0; k < p->ngroups; k++) {
		const struct jplan_group *g = &p->groups[k];

		use = load_of(g) + g->press;
		more = jpress_of(press, image, g->image) * share;
		sum += lost(g->st->over + g->n * (over(use + more) - over(use)),
			   g->st->spec->count) -
		    lost(g->st->over, g->st->spec->count);
		if (more > worst)
			worst = more;
	}
	return sum + JPLAN_PRESS_PART * worst;
}

/* Counts a filling task on a worker; share is negative for one less. */
void
jplan_harm_add(const struct jpress *press, struct jplan_worker *p, size_t image,
    double share)
{
	uint32_t k;

	for (k = 0; k < p->ngroups; k++) {
		struct jplan_group *g = &p->groups[k];
		double use = load_of(g) + g->press;
		double more = jpress_of(press, image, g->image) * share;

		g->st->over += g->n * (over(use + more) - over(use));
		g->press += more;
	}
}
