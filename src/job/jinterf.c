#include "job/jinterf.h"

#include <stdlib.h>
#include <string.h>

/* Starts without any image. */
void
jinterf_init(struct jinterf *p)
{
	memset(p, 0, sizeof(*p));
}

/* Releases all memory. */
void
jinterf_finish(struct jinterf *p)
{
	size_t i;

	for (i = 0; i < p->n; i++)
		free(p->names[i]);
	memset(p, 0, sizeof(*p));
}

/* Returns the index of an image, JINTERF_IMAGES_MAX if there are too many. */
size_t
jinterf_image_index(struct jinterf *p, const char *name)
{
	size_t i, k;

	if (name == NULL)
		name = "";
	for (i = 0; i < p->n; i++) {
		if (strcmp(p->names[i], name) == 0)
			return i;
	}
	if (p->n == JINTERF_IMAGES_MAX)
		return JINTERF_IMAGES_MAX;
	p->names[p->n] = strdup(name);
	if (p->names[p->n] == NULL)
		abort();
	for (i = 0, k = p->n; i < JINTERF_IMAGES_MAX; i++)
		p->effect[k][i] = JINTERF_EFFECT_DEFAULT;
	return p->n++;
}

/* Returns the effect of a best-effort image on a serving one. */
double
jinterf_effect(const struct jinterf *p, size_t best_effort, size_t serving)
{
	return best_effort < p->n && serving < p->n
	    ? p->effect[best_effort][serving]
	    : JINTERF_EFFECT_DEFAULT;
}

/* Returns the utilisation for a tail latency over its target. */
double
jinterf_use(double ratio)
{
	return ratio <= JINTERF_IDLE_RATIO ? 0 : 1 - JINTERF_IDLE_RATIO / ratio;
}

/* Returns x limited to lo..hi. */
static double
clamp(double x, double lo, double hi)
{
	return x < lo ? lo : x > hi ? hi : x;
}

/* Updates the load of a serving job and the effects on its image from one
 * latency figure. A task whose load is unknown gets its first estimate. */
void
jinterf_learn(struct jinterf *p, size_t serving, double ratio, double *load,
    const struct jinterf_source *v, size_t n)
{
	double use = jinterf_use(ratio), interference = 0, squares = 0, error;
	size_t i;

	if (ratio <= 0)
		return;
	for (i = 0; i < n; i++) {
		interference += jinterf_effect(p, v[i].image_index, serving) *
		    v[i].cpu_share;
		squares += v[i].cpu_share * v[i].cpu_share;
	}
	if (*load <= 0) {
		*load = clamp(
		    use - interference, JINTERF_LOAD_MIN, JINTERF_TARGET_USE);
		return;
	}
	error = use - *load - interference;
	if (use > JINTERF_USE_MAX && error < 0)
		return;
	error = clamp(error, -JINTERF_ERROR_MAX, JINTERF_ERROR_MAX);
	*load = clamp(*load +
		JINTERF_LOAD_STEP * error /
		    (1 + JINTERF_LOAD_DAMPING * interference),
	    JINTERF_LOAD_MIN, JINTERF_TARGET_USE);
	for (i = 0; i < n; i++) {
		double *x;

		if (v[i].image_index >= p->n || serving >= p->n)
			continue;
		x = &p->effect[v[i].image_index][serving];
		*x += JINTERF_EFFECT_STEP * error * v[i].cpu_share /
		    (squares + JINTERF_REGULARISATION);
		if (*x < 0)
			*x = 0;
	}
}
