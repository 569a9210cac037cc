#include "job/jdemand.h"

#include <math.h>
#include <string.h>

/* Starts without any demand. */
void
jdemand_init(struct jdemand *d)
{
	memset(d, 0, sizeof(*d));
}

/* Returns the index of a service, d->n if it isn't tracked. */
static size_t
find_service(const struct jdemand *d, const char *service)
{
	size_t i;

	for (i = 0; i < d->n; i++) {
		if (strncmp(d->v[i].service, service, JDEMAND_NAME_MAX - 1) ==
		    0)
			break;
	}
	return i;
}

/* Returns the factor by which an average has decayed since its last update. */
static double
decay(const struct jdemand *d, size_t i, int64_t now_ms)
{
	double age = (double)(now_ms - d->v[i].at_ms);

	return exp(-(age > 0 ? age : 0) / JDEMAND_TIME_CONSTANT_MS);
}

/* Adds the work of a job's short tasks; long-running and best-effort steps
 * don't count. */
void
jdemand_add(struct jdemand *d, const char *service, const Job__Spec *spec,
    int64_t now_ms)
{
	size_t i = find_service(d, service), k;
	double work = 0, size_weighted = 0, factor;

	for (k = 0; k < spec->n_steps; k++) {
		const Job__Step *s = spec->steps[k];
		double w = (double)s->count * s->cpu_milli * s->estimate_ms;

		if (s->lasting || s->fills)
			continue;
		work += w;
		size_weighted += w * s->cpu_milli;
	}
	if (work <= 0 || i == JDEMAND_SERVICES_MAX)
		return;
	if (i == d->n) {
		strncpy(d->v[i].service, service, sizeof(d->v[i].service) - 1);
		d->n++;
	}
	factor = decay(d, i, now_ms);
	d->v[i].cpu_milli =
	    d->v[i].cpu_milli * factor + work / JDEMAND_TIME_CONSTANT_MS;
	d->v[i].size_weighted = d->v[i].size_weighted * factor +
	    size_weighted / JDEMAND_TIME_CONSTANT_MS;
	d->v[i].at_ms = now_ms;
}

/* Returns the average demand times the margin, and the typical task size. */
int64_t
jdemand_reserve(const struct jdemand *d, const char *service, int64_t now_ms,
    int64_t *piece)
{
	size_t i = find_service(d, service);

	*piece = 0;
	if (i == d->n)
		return 0;
	*piece = (int64_t)(d->v[i].size_weighted / d->v[i].cpu_milli);
	return (
	    int64_t)(JDEMAND_MARGIN * d->v[i].cpu_milli * decay(d, i, now_ms));
}
