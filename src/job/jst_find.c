#include <glib.h>
#include <string.h>

#include "job/jst.h"

/* Lookups in the state. */

/* Returns a job by its id. */
struct jst_job *
jst_find_job(const struct jst *s, uint64_t id)
{
	struct jst_job *j = g_hash_table_lookup(s->jobs, &id);

	return j != NULL && !j->is_withdrawn ? j : NULL;
}

/* Returns the record of a job that was cancelled before it was submitted. */
struct jst_job *
jst_find_withdrawn(const struct jst *s, uint64_t id)
{
	struct jst_job *j = g_hash_table_lookup(s->jobs, &id);

	return j != NULL && j->is_withdrawn ? j : NULL;
}

/* Tells whether a cancel would change anything: it ends an active job, and is
 * remembered for a job that hasn't been submitted. */
bool
jst_cancel_has_effect(const struct jst *s, uint64_t id)
{
	struct jst_job *j = g_hash_table_lookup(s->jobs, &id);

	return j == NULL || j->state == JST_ACTIVE;
}

/* Returns a step of a job, NULL if it isn't in memory or there is none of that
 * number. */
struct jst_step *
jst_find_step(const struct jst_job *j, uint32_t occurrence, uint32_t step)
{
	struct jst_occ *o = jst_find_occ(j, occurrence);

	return o == NULL || step >= j->spec->n_steps ? NULL : &o->steps[step];
}

/* Tells whether an occurrence is done and no longer in memory. */
bool
jst_has_done(const struct jst_job *j, uint32_t occurrence)
{
	return occurrence < j->opened && jst_find_occ(j, occurrence) == NULL;
}

/* Returns the first step of a step's occurrence. */
struct jst_step *
jst_first_step(const struct jst_step *st)
{
	return st->occ->steps;
}

/* Returns a task and its step, NULL if there is none. */
struct jst_task *
jst_find_task(const struct jst *s, const Job__Task *ref, struct jst_step **step)
{
	struct jst_job *j = jst_find_job(s, ref->job);
	struct jst_step *st =
	    j == NULL ? NULL : jst_find_step(j, ref->occurrence, ref->step);

	if (st == NULL || ref->index >= st->spec->count)
		return NULL;
	*step = st;
	return &st->tasks[ref->index];
}

/* Returns the checkpoint that the next run of a task resumes from, NULL if
 * there is none. All members of a gang have to resume from the same one. */
const char *
jst_checkpoint(const struct jst_step *st, const struct jst_task *t)
{
	return st->spec->gang ? st->checkpoint : t->checkpoint;
}

/* Returns the index of a registration in the list of workers, or where it would
 * be inserted. */
size_t
jst_worker_index(const struct jst *s, uint64_t num)
{
	size_t lo = 0, hi = s->nworkers;

	while (lo < hi) {
		size_t mid = (lo + hi) / 2;

		if (s->workers[mid]->num < num)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

/* Returns a worker by the number of its registration. */
struct jst_worker *
jst_find_worker(const struct jst *s, uint64_t num)
{
	size_t i = jst_worker_index(s, num);

	return i < s->nworkers && s->workers[i]->num == num ? s->workers[i]
							    : NULL;
}

/* Returns the latest registration of an id. */
struct jst_worker *
jst_find_worker_by_id(const struct jst *s, const char *id)
{
	return g_hash_table_lookup(s->by_id, id);
}

/* Returns the registration that a notice to leave removes: the latest of the
 * id, unless the notice is, or may be, a late one of an earlier incarnation. A
 * worker drains before it sends its notice, so that one without an incarnation
 * can't come from one that is registered as ready. */
struct jst_worker *
jst_find_leaving_worker(const struct jst *s, const char *id, uint64_t born)
{
	struct jst_worker *w = jst_find_worker_by_id(s, id);
	bool is_current =
	    w != NULL && (born == 0 ? w->draining : w->info->born <= born);

	return is_current ? w : NULL;
}

/* Makes a registration the latest of its id. */
void
jst_index_worker(struct jst *s, struct jst_worker *w)
{
	g_hash_table_replace(s->by_id, w->info->id, w);
}

/* Removes a registration from the index by id; an older one of the same id
 * becomes the latest. */
void
jst_unindex_worker(struct jst *s, const struct jst_worker *w)
{
	size_t i;

	if (g_hash_table_lookup(s->by_id, w->info->id) != w)
		return;
	g_hash_table_remove(s->by_id, w->info->id);
	for (i = s->nworkers; i > 0; i--) {
		struct jst_worker *o = s->workers[i - 1];

		if (o != w && strcmp(o->info->id, w->info->id) == 0) {
			jst_index_worker(s, o);
			return;
		}
	}
}

/* Returns a maintenance wave by its id. */
struct jst_wave *
jst_find_wave(const struct jst *s, uint64_t id)
{
	struct jst_wave *w;

	for (w = s->waves; w != NULL; w = w->next) {
		if (w->info->id == id)
			return w;
	}
	return NULL;
}

/* Returns a queue by its name, also a removed one that is kept for its jobs. */
const Job__Queue *
jst_queue(const struct jst *s, const char *name)
{
	size_t i;

	for (i = 0; s->config != NULL && i < s->config->n_queues; i++) {
		if (strcmp(s->config->queues[i]->name, name) == 0)
			return s->config->queues[i];
	}
	return NULL;
}

/* Tells whether a queue isn't in the configuration any more: it takes no
 * requests, so it has no host. */
bool
jst_queue_removed(const Job__Queue *q)
{
	return q->host[0] == '\0';
}

/* Tells whether a request for a job is at a place where the job's queue was,
 * but isn't any more. The place of a queue that has no active jobs may be
 * forgotten. */
bool
jst_is_orphaned(const struct jst *s, uint64_t id, struct str path)
{
	const struct jst_job *j = jst_find_job(s, id);
	const Job__Queue *q = j == NULL ? NULL : jst_queue(s, j->queue);

	if (j == NULL || (q != NULL && !jst_queue_removed(q)))
		return false;
	return q == NULL ||
	    (strlen(q->prefix) <= path.len &&
		memcmp(q->prefix, path.p, strlen(q->prefix)) == 0);
}

/* Returns a service of the configuration by its name. */
const Job__Service *
jst_service(const struct jst *s, const char *name)
{
	size_t i;

	for (i = 0; s->config != NULL && i < s->config->n_services; i++) {
		if (strcmp(s->config->services[i]->name, name) == 0)
			return s->config->services[i];
	}
	return NULL;
}

/* Tells whether nothing configured, and no queue kept for its jobs, has workers
 * of this service. */
static bool
is_unknown_service(const struct jst *s, const char *name)
{
	size_t i;

	for (i = 0; s->config != NULL && i < s->config->n_queues; i++) {
		if (strcmp(s->config->queues[i]->service, name) == 0)
			return false;
	}
	return jst_service(s, name) == NULL;
}

/* Tells whether one of two heartbeats under the same id can't be of the worker
 * that sent the other: it names another service, which isn't configured. The
 * platform lets other writers send such heartbeats. */
bool
jst_is_other_writer(
    const struct jst *s, const Job__Worker *worker, const Job__Worker *m)
{
	return strcmp(worker->service, m->service) != 0 &&
	    is_unknown_service(s, m->service);
}

/* Returns the queue for a request's host and path, by the longest prefix. */
const Job__Queue *
jst_route(const struct jst *s, struct str host, struct str path)
{
	const Job__Queue *best = NULL;
	size_t i, len, best_len = 0;

	for (i = 0; s->config != NULL && i < s->config->n_queues; i++) {
		const Job__Queue *q = s->config->queues[i];

		len = strlen(q->prefix);
		if (!jst_queue_removed(q) && str_eq_c(host, q->host) &&
		    len <= path.len && memcmp(q->prefix, path.p, len) == 0 &&
		    (best == NULL || len > best_len)) {
			best = q;
			best_len = len;
		}
	}
	return best;
}

/* Counts the active jobs of a queue of which no worker has begun a task. An
 * assignment alone doesn't count: the worker may refuse it. */
uint32_t
jst_count_waiting(const struct jst *s, const char *queue)
{
	const struct jst_use *u = jst_find_use(s, queue);

	return u == NULL ? 0 : u->nwaiting;
}

/* Tells whether all steps that a step depends on are done. */
bool
jst_step_ready(const struct jst_step *st)
{
	const struct jst_step *base = jst_first_step(st);
	size_t i;

	for (i = 0; i < st->spec->n_after; i++) {
		const struct jst_step *d = &base[st->spec->after[i]];

		if (d->ndone < d->spec->count)
			return false;
	}
	return true;
}

/* Returns how often a task of a job may fail before the job does. */
uint32_t
jst_max_attempts(const struct jst *s, const struct jst_job *j)
{
	const Job__Queue *q = jst_queue(s, j->queue);

	return q == NULL || q->max_attempts == 0 ? JST_ATTEMPTS_DEFAULT
						 : q->max_attempts;
}
