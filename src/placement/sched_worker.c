#include "placement/sched_impl.h"

#define DRAIN_FINISH_MS 30000 /* tasks that end sooner are not evicted */

/*
 * Returns the index of a rack or failure domain. Equal names have the same
 * index; a new name gets the next one.
 */
static uint32_t
sched_location_index(struct hmap *m, uint32_t *n, struct str name)
{
	uint64_t key = str_hash(name);
	uint32_t i = hmap_get(m, key);

	if (i == HMAP_NONE) {
		i = (*n)++;
		hmap_set(m, key, i);
	}
	return i;
}

/*
 * Adds a worker that may receive tasks. Errors: INVALID (negative capacity),
 * EXISTS (the epoch is known).
 */
enum status
sched_worker_up(struct sched *s, const struct sched_worker *in)
{
	uint32_t rack, domain, i, k;

	if (in->capacity.cpu_milli < 0 || in->capacity.mem_mb < 0 ||
	    in->capacity.accel < 0)
		return STATUS_INVALID;
	if (alloc_worker_find(&s->alloc, in->epoch) != ALLOC_NONE)
		return STATUS_EXISTS;
	rack = sched_location_index(&s->racks, &s->nracks, in->rack);
	domain = sched_location_index(&s->domains, &s->ndomains, in->domain);
	i = alloc_worker_add(&s->alloc, s, in, rack, domain);
	s->alloc.workers[i].serves = talloc_array(s, uint32_t, in->nserves);
	for (k = 0; k < in->nserves; k++)
		s->alloc.workers[i].serves[k] =
		    jobq_class_get(&s->queue, in->serves[k]);
	s->alloc.workers[i].nserves = (uint32_t)in->nserves;
	/*
	 * Until the first usage report, requests are expected to use as much
	 * per slot as on the other workers.
	 */
	s->alloc.workers[i].request_peak_cpu = s->slot_cpu_milli * in->slots;
	s->alloc.workers[i].request_peak_mem = s->slot_mem_mb * in->slots;
	if (in->slots > 0)
		alloc_worker_set_requests(&s->alloc, i,
		    (struct sched_res){
			(int64_t)s->alloc.workers[i].request_peak_cpu,
			(int64_t)s->alloc.workers[i].request_peak_mem, 0 });
	sched_fleet_changed(s);
	return STATUS_OK;
}

/*
 * Removes a worker; its tasks wait again. The caller has fenced the epoch, so
 * none of them still takes effect there. NOT_FOUND: the epoch is unknown.
 */
enum status
sched_worker_lost(struct sched *s, uint64_t epoch)
{
	uint32_t wi = alloc_worker_find(&s->alloc, epoch), ti, ji;

	if (wi == ALLOC_NONE)
		return STATUS_NOT_FOUND;
	while ((ti = s->alloc.workers[wi].first_task) != ALLOC_NONE) {
		ji = s->alloc.tasks[ti].job;
		sched_release(s, ti, false);
		sched_job_update(s, ji);
	}
	if (s->alloc.workers[wi].quarantined)
		s->nquarantined--;
	alloc_worker_del(&s->alloc, wi);
	sched_fleet_changed(s);
	return STATUS_OK;
}

/*
 * Gives no more tasks to a worker that will leave. Tasks that are expected to
 * end within DRAIN_FINISH_MS finish there; the others are evicted regardless
 * of the budgets. NOT_FOUND: the epoch is unknown.
 */
enum status
sched_worker_drain(struct sched *s, uint64_t epoch)
{
	uint32_t wi = alloc_worker_find(&s->alloc, epoch), ti;

	if (wi == ALLOC_NONE)
		return STATUS_NOT_FOUND;
	s->alloc.workers[wi].draining = true;
	alloc_worker_set_closed(&s->alloc, wi, s->alloc.workers[wi].closed);
	for (ti = s->alloc.workers[wi].first_task; ti != ALLOC_NONE;
	     ti = s->alloc.tasks[ti].worker_next) {
		struct alloc_task *t = &s->alloc.tasks[ti];
		int64_t run_ms = s->queue.jobs[t->job].run_ms;

		if (t->state != ALLOC_RUNNING ||
		    (run_ms > 0 &&
			run_ms - (s->now_ms - t->since_ms) < DRAIN_FINISH_MS))
			continue;
		t->state = ALLOC_STOPPING;
		sched_emit_task(s, SCHED_ACT_CHECKPOINT, ti);
		ctr_add(&s->ctr, SCHED_CTR_EVICT_DRAIN, 1);
	}
	return STATUS_OK;
}
