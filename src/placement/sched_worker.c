#include "placement/sched_impl.h"

#include <string.h>

/* Index of a rack or domain; equal names share one. */
static uint32_t
sched_place_index(struct hmap *m, uint32_t *n, struct str name)
{
	uint64_t key = str_hash(name);
	uint32_t i = hmap_get(m, key);

	if (i == HMAP_NONE) {
		i = (*n)++;
		hmap_set(m, key, i);
	}
	return i;
}

enum status
sched_worker_up(struct sched *s, const struct sched_worker *in)
{
	uint32_t rack, domain, i, k;

	if (in->cap.cpu_milli < 0 || in->cap.mem_mb < 0 || in->cap.accel < 0)
		return STATUS_INVALID;
	if (alloc_worker_find(&s->a, in->epoch) != ALLOC_NONE)
		return STATUS_EXISTS;
	rack = sched_place_index(&s->racks, &s->nracks, in->rack);
	domain = sched_place_index(&s->domains, &s->ndomains, in->domain);
	i = alloc_worker_add(&s->a, s, in, rack, domain);
	s->a.w[i].serves = talloc_array(s, uint32_t, in->nserves);
	for (k = 0; k < in->nserves; k++)
		s->a.w[i].serves[k] = jobq_class_get(&s->q, in->serves[k]);
	s->a.w[i].nserves = (uint32_t)in->nserves;
	sched_fleet_changed(s);
	return STATUS_OK;
}

/* The worker's tasks wait again; the caller has fenced its epoch. */
enum status
sched_worker_lost(struct sched *s, uint64_t epoch)
{
	uint32_t wi = alloc_worker_find(&s->a, epoch), ti, ji;

	if (wi == ALLOC_NONE)
		return STATUS_NOT_FOUND;
	while ((ti = s->a.w[wi].head) != ALLOC_NONE) {
		ji = s->a.t[ti].job;
		sched_drop(s, ti, false);
		sched_job_settle(s, ji);
	}
	alloc_worker_del(&s->a, wi);
	sched_fleet_changed(s);
	return STATUS_OK;
}

/* No new work for the worker; it finishes what it has. */
enum status
sched_worker_drain(struct sched *s, uint64_t epoch)
{
	uint32_t wi = alloc_worker_find(&s->a, epoch);

	if (wi == ALLOC_NONE)
		return STATUS_NOT_FOUND;
	s->a.w[wi].draining = true;
	alloc_worker_close(&s->a, wi, s->a.w[wi].closed);
	return STATUS_OK;
}
