#include "job/jplan_impl.h"

/*
 * Cost of best-effort tasks for the serving jobs beside them. A serving job
 * loses its whole value once a quarter of its tasks miss their target; more
 * interference costs nothing then. So interference is concentrated on jobs that
 * have lost already, and the others are spared.
 */

/* Returns the load of a group's serving tasks. */
static double
group_load(const struct jplan_group *g)
{
	return g->step->load > 0 ? g->step->load : JINTERF_LOAD_DEFAULT;
}

/* Returns the probability that a task with this utilisation misses its
 * target. */
static double
over_target_probability(double use)
{
	double x = (use - JPLAN_OVER_TARGET_MIN_USE) /
	    (JPLAN_OVER_TARGET_MAX_USE - JPLAN_OVER_TARGET_MIN_USE);

	return x < 0 ? 0 : x > 1 ? 1 : x;
}

/* Returns the share of its value that a job of n tasks loses if so many of them
 * miss their target. */
static double
lost_fraction(double tasks, uint32_t n)
{
	double x = JPLAN_LOSS_FACTOR * tasks / n;

	return x > 1 ? 1 : x;
}

/* Estimates for each serving step how many of its tasks miss their target. */
void
jplan_interf_init(struct jplan_worker *v, size_t n)
{
	size_t i;
	uint32_t k;

	for (i = 0; i < n; i++) {
		for (k = 0; k < v[i].ngroups; k++)
			v[i].groups[k].step->over_target = 0;
	}
	for (i = 0; i < n; i++) {
		for (k = 0; k < v[i].ngroups; k++) {
			struct jplan_group *g = &v[i].groups[k];

			g->step->over_target += g->ntasks *
			    over_target_probability(
				group_load(g) + g->interference);
		}
	}
}

/* Returns the cost of one more best-effort task on a worker. */
double
jplan_interf_cost(const struct jinterf *interf, const struct jplan_worker *p,
    size_t image, double share)
{
	double sum = 0, worst = 0, use, more;
	uint32_t k;

	for (k = 0; k < p->ngroups; k++) {
		const struct jplan_group *g = &p->groups[k];

		use = group_load(g) + g->interference;
		more = jinterf_effect(interf, image, g->image) * share;
		sum += lost_fraction(g->step->over_target +
			       g->ntasks *
				   (over_target_probability(use + more) -
				       over_target_probability(use)),
			   g->step->spec->count) -
		    lost_fraction(g->step->over_target, g->step->spec->count);
		if (more > worst)
			worst = more;
	}
	return sum + JPLAN_USE_RISE_WEIGHT * worst;
}

/* Adds a best-effort task on a worker to the estimates; a negative share
 * removes one. */
void
jplan_interf_add(const struct jinterf *interf, struct jplan_worker *p,
    size_t image, double share)
{
	uint32_t k;

	for (k = 0; k < p->ngroups; k++) {
		struct jplan_group *g = &p->groups[k];
		double use = group_load(g) + g->interference;
		double more = jinterf_effect(interf, image, g->image) * share;

		g->step->over_target += g->ntasks *
		    (over_target_probability(use + more) -
			over_target_probability(use));
		g->interference += more;
	}
}
