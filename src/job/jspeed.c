#include "job/jspeed.h"

#include <math.h>
#include <string.h>

/* Returns the share of a sum that is left after its decay. */
static double
decay(const struct jspeed *s, int64_t now_ms)
{
	double age = (double)(now_ms - s->at_ms);

	return exp(-(age > 0 ? age : 0) / JSPEED_DECAY_MS);
}

/* Adds a logarithm to the sums. */
static void
add(struct jspeed *s, double x, int64_t now_ms)
{
	double f = decay(s, now_ms);

	s->n = s->n * f + 1;
	s->sum = s->sum * f + x;
	s->squares = s->squares * f + x * x;
	s->at_ms = now_ms;
}

/* Adds the length of an ended task to the latest ones of its step, which are
 * kept in order. Of a full list, the shortest and the longest are dropped in
 * turn, so that the median stays. */
static void
add_to_step(struct jst_step *st, float ms)
{
	uint32_t i;

	if (st->nspeed == JST_SPEED_MAX) {
		if (st->speed_drops_first)
			memmove(st->speed_ms, st->speed_ms + 1,
			    sizeof(st->speed_ms) - sizeof(st->speed_ms[0]));
		st->speed_drops_first = !st->speed_drops_first;
		st->nspeed--;
	}
	for (i = st->nspeed; i > 0 && st->speed_ms[i - 1] > ms; i--)
		st->speed_ms[i] = st->speed_ms[i - 1];
	st->speed_ms[i] = ms;
	st->nspeed++;
}

/* Compares an ended task with the median of those of its step that ended
 * before. Later ends are longer, so the mean ratio of all workers is above
 * 1. */
void
jspeed_learn(struct jspeed *worker, struct jspeed *all, struct jst_step *st,
    int64_t ms, int64_t now_ms)
{
	if (ms < 1)
		ms = 1;
	if (st->nspeed >= JSPEED_STEP_MIN) {
		double ratio = (double)ms / st->speed_ms[st->nspeed / 2];
		double x = log(
		    fmin(fmax(ratio, 1 / JSPEED_RATIO_MAX), JSPEED_RATIO_MAX));

		add(worker, x, now_ms);
		add(all, x, now_ms);
	}
	add_to_step(st, (float)ms);
}

/* Compares a worker's mean with that of all. Its spread is taken to be no less
 * than that of all, as a few runs may be alike by chance. */
double
jspeed_slowness(
    const struct jspeed *worker, const struct jspeed *all, int64_t now_ms)
{
	double n = worker->n * decay(worker, now_ms), mean, mean_all, spread;

	if (n < JSPEED_RUNS_MIN || all->n <= 0)
		return 0;
	mean = worker->sum / worker->n;
	mean_all = all->sum / all->n;
	spread = fmax(worker->squares / worker->n - mean * mean,
	    all->squares / all->n - mean_all * mean_all);
	if (mean - mean_all < log(JSPEED_SLOW_RATIO) ||
	    mean - mean_all < JSPEED_ERRORS_MIN * sqrt(fmax(spread, 0) / n))
		return 0;
	return fmin(exp(mean - mean_all), JSPEED_RATIO_MAX) - 1;
}
