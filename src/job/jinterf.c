#include "job/jinterf.h"

#include <stdlib.h>
#include <string.h>

/* Starts without any image. */
void
jpress_init(struct jpress *p)
{
	memset(p, 0, sizeof(*p));
}

/* Releases everything. */
void
jpress_finish(struct jpress *p)
{
	size_t i;

	for (i = 0; i < p->n; i++)
		free(p->names[i]);
	memset(p, 0, sizeof(*p));
}

/* Returns the number of an image, JPRESS_IMAGES for one too many. */
size_t
jpress_image(struct jpress *p, const char *name)
{
	size_t i, k;

	if (name == NULL)
		name = "";
	for (i = 0; i < p->n; i++) {
		if (strcmp(p->names[i], name) == 0)
			return i;
	}
	if (p->n == JPRESS_IMAGES)
		return JPRESS_IMAGES;
	p->names[p->n] = strdup(name);
	if (p->names[p->n] == NULL)
		abort();
	for (i = 0, k = p->n; i < JPRESS_IMAGES; i++)
		p->press[k][i] = JPRESS_GUESS;
	return p->n++;
}

/* Returns the press of a filling image on a serving one. */
double
jpress_of(const struct jpress *p, size_t fills, size_t serves)
{
	return fills < p->n && serves < p->n ? p->press[fills][serves]
					     : JPRESS_GUESS;
}

/* Returns the use that a tail over its target stands for. */
double
jpress_use(double ratio)
{
	return ratio <= JPRESS_IDLE_RATIO ? 0 : 1 - JPRESS_IDLE_RATIO / ratio;
}

static double
within(double x, double lo, double hi)
{
	return x < lo ? lo : x > hi ? hi : x;
}

/* Takes in one figure. */
void
jpress_learn(struct jpress *p, size_t serves, double ratio, double *load,
    const struct jpress_part *v, size_t n)
{
	double use = jpress_use(ratio), press = 0, squares = 0, off;
	size_t i;

	if (ratio <= 0)
		return;
	for (i = 0; i < n; i++) {
		press += jpress_of(p, v[i].image, serves) * v[i].share;
		squares += v[i].share * v[i].share;
	}
	if (*load <= 0) {
		*load = within(use - press, JPRESS_LEAST_LOAD, JPRESS_FULL_USE);
		return;
	}
	off = use - *load - press;
	if (use > JPRESS_MOST_USE && off < 0)
		return;
	off = within(off, -JPRESS_SURPRISE, JPRESS_SURPRISE);
	*load = within(
	    *load + JPRESS_LOAD_STEP * off / (1 + JPRESS_LOAD_DOUBT * press),
	    JPRESS_LEAST_LOAD, JPRESS_FULL_USE);
	for (i = 0; i < n; i++) {
		double *x;

		if (v[i].image >= p->n || serves >= p->n)
			continue;
		x = &p->press[v[i].image][serves];
		*x += JPRESS_PRESS_STEP * off * v[i].share /
		    (squares + JPRESS_SMALL_PART);
		if (*x < 0)
			*x = 0;
	}
}
