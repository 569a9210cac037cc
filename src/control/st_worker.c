#include <stdlib.h>
#include <string.h>

#include "control/pb.h"
#include "control/st_impl.h"

/* Compares a worker with a name for the index. */
static bool
worker_name_matches(const void *object, const void *key)
{
	return str_eq(
	    ((const struct st_worker *)object)->name, *(const struct str *)key);
}

/* Returns the index of the first worker with an epoch not below epoch. */
static size_t
worker_index(const struct st *st, uint64_t epoch)
{
	size_t lo = 0, hi = st->nworkers;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (st->workers[mid]->epoch < epoch)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

/* Returns the worker with this epoch for changes, or NULL if it has ended. */
struct st_worker *
st_worker_find(struct st *st, uint64_t epoch)
{
	size_t i = worker_index(st, epoch);

	if (i == st->nworkers || st->workers[i]->epoch != epoch)
		return NULL;
	return st->workers[i];
}

/* Frees a worker. */
static void
worker_free(struct st_worker *w)
{
	free(w->tasks);
	free(w);
}

/* Frees all workers. */
void
st_worker_finish(struct st *st)
{
	size_t i;

	for (i = 0; i < st->nworkers; i++)
		worker_free(st->workers[i]);
	free(st->workers);
	st->workers = NULL;
	st->nworkers = st->capworkers = 0;
	idx_finish(&st->worker_by_name);
	st->worker_version = st->ended_epochs_floor = 0;
	st->first_ended_epoch = st->nended_epochs = 0;
}

/* Adds a worker; name and up are copied into its allocation. */
static struct st_worker *
worker_add(struct st *st, uint64_t epoch, struct str name, struct str up)
{
	struct st_worker *w = calloc(1, sizeof(*w) + name.len + up.len);
	char *p;

	if (st->nworkers == st->capworkers) {
		st->capworkers = st->capworkers == 0 ? 16 : 2 * st->capworkers;
		st->workers = realloc(
		    st->workers, st->capworkers * sizeof(struct st_worker *));
	}
	if (w == NULL || st->workers == NULL)
		abort();
	p = (char *)(w + 1);
	w->epoch = epoch;
	memcpy(p, name.p, name.len);
	w->name = str_mem(p, name.len);
	p += name.len;
	memcpy(p, up.p, up.len);
	w->packed_up = str_mem(p, up.len);
	st->workers[st->nworkers++] = w;
	idx_add(&st->worker_by_name, str_hash(w->name), w);
	return w;
}

/* Records that an epoch has ended; drops the oldest at the limit. */
static void
ended_epoch_add(struct st *st, uint64_t epoch, uint64_t index)
{
	if (st->nended_epochs == ST_ENDED_EPOCHS_KEPT) {
		st->ended_epochs_floor =
		    st->ended_epochs[st->first_ended_epoch].index;
		st->first_ended_epoch =
		    (st->first_ended_epoch + 1) % ST_ENDED_EPOCHS_KEPT;
		st->nended_epochs--;
	}
	st->ended_epochs[(st->first_ended_epoch + st->nended_epochs++) %
	    ST_ENDED_EPOCHS_KEPT] = (struct st_ended_epoch){ epoch, index };
}

/* Ends the epoch of a worker and requeues its tasks. */
static void
worker_remove(struct st *st, struct st_worker *w)
{
	size_t i = worker_index(st, w->epoch);

	while (w->ntasks > 0)
		st_task_requeue(st, w->tasks[w->ntasks - 1]);
	st_effect_add(st, ST_EFFECT_WORKER_GONE, w->epoch);
	ended_epoch_add(st, w->epoch, st->index);
	st->worker_version = st->index;
	idx_remove(&st->worker_by_name, str_hash(w->name), w);
	memmove(&st->workers[i], &st->workers[i + 1],
	    (st->nworkers - i - 1) * sizeof(struct st_worker *));
	st->nworkers--;
	worker_free(w);
}

/*
 * Registers an announced worker. Its epoch is the index of the log entry. The
 * same incarnation gets the same epoch again; a new incarnation ends the epoch
 * of the previous one. A late copy of the previous incarnation's announcement
 * is refused with STATUS_STALE, since it would end the epoch of its successor.
 */
void
st_worker_apply_up(struct st *st, const Control__WorkerUp *up)
{
	struct str name = str_from(up->name), packed;
	struct st_worker *w, *old;
	uint64_t superseded = 0;

	if (name.len == 0 || name.len > ST_NAME_MAX_BYTES ||
	    up->slots > UINT16_MAX) {
		st_fail(
		    st, STATUS_INVALID, "worker name or slots out of range");
		return;
	}
	old = idx_find(
	    &st->worker_by_name, str_hash(name), worker_name_matches, &name);
	if (old != NULL && old->incarnation == up->incarnation) {
		st->res.epoch = old->epoch;
		return;
	}
	if (old != NULL && old->superseded_incarnation == up->incarnation) {
		st->res.epoch = old->epoch;
		st_fail(st, STATUS_STALE,
		    "a later incarnation of the worker has announced itself");
		return;
	}
	if (old != NULL) {
		superseded = old->incarnation;
		worker_remove(st, old);
	}
	packed = pb_pack(NULL, up);
	w = worker_add(st, st->index, name, packed);
	talloc_free((void *)(uintptr_t)packed.p);
	w->incarnation = up->incarnation;
	w->superseded_incarnation = superseded;
	w->changed_index = st->index;
	st->worker_version = st->index;
	st->res.epoch = w->epoch;
	st_effect_add(st, ST_EFFECT_WORKER_UP, w->epoch);
}

/* Ends an epoch; its tasks become pending again with a new attempt. */
void
st_worker_apply_lost(struct st *st, uint64_t epoch)
{
	struct st_worker *w = st_worker_find(st, epoch);

	if (w == NULL)
		st_fail(st, STATUS_NOT_FOUND, "worker epoch has ended");
	else
		worker_remove(st, w);
}

/* Marks a worker as draining, so that it gets no new work. */
void
st_worker_apply_drain(struct st *st, const Control__WorkerDrain *drain)
{
	struct str name = str_from(drain->name);
	struct st_worker *w = idx_find(
	    &st->worker_by_name, str_hash(name), worker_name_matches, &name);

	if (w == NULL) {
		st_fail(st, STATUS_NOT_FOUND, "no worker has this name");
		return;
	}
	if (drain->has_incarnation && drain->incarnation != w->incarnation) {
		st_fail(st, STATUS_STALE, "worker incarnation has ended");
		return;
	}
	st->res.epoch = w->epoch;
	if (w->draining)
		return;
	w->draining = true;
	w->changed_index = st->index;
	st->worker_version = st->index;
	st_effect_add(st, ST_EFFECT_WORKER_DRAIN, w->epoch);
}

/* Adds a task to those assigned to the worker. */
void
st_worker_add_task(struct st_worker *w, uint64_t task)
{
	if (w->ntasks == w->captasks) {
		w->captasks = w->captasks == 0 ? 4 : 2 * w->captasks;
		w->tasks = realloc(w->tasks, w->captasks * sizeof(uint64_t));
		if (w->tasks == NULL)
			abort();
	}
	w->tasks[w->ntasks++] = task;
}

/* Removes a task from those assigned to the worker. */
void
st_worker_remove_task(struct st_worker *w, uint64_t task)
{
	uint32_t i = w->ntasks;

	/* Backwards, since worker_remove() takes them from the end. */
	while (i > 0) {
		if (w->tasks[--i] == task) {
			w->tasks[i] = w->tasks[--w->ntasks];
			return;
		}
	}
}

/* Writes the workers, without their tasks, into a snapshot. */
void
st_worker_save(const struct st *st, struct enc *e)
{
	size_t i;

	enc_u64(e, st->worker_version);
	enc_u64(e, st->ended_epochs_floor);
	enc_u64(e, st->nended_epochs);
	for (i = 0; i < st->nended_epochs; i++) {
		const struct st_ended_epoch *g =
		    &st->ended_epochs[(st->first_ended_epoch + i) %
			ST_ENDED_EPOCHS_KEPT];

		enc_u64(e, g->epoch);
		enc_u64(e, g->index);
	}
	enc_u64(e, st->nworkers);
	for (i = 0; i < st->nworkers; i++) {
		const struct st_worker *w = st->workers[i];

		enc_u64(e, w->epoch);
		enc_u64(e, w->superseded_incarnation);
		enc_u64(e, w->changed_index);
		enc_u64(e, w->event_seq);
		enc_u64(e, w->draining);
		enc_str(e, w->packed_up);
	}
}

/* Reads what st_worker_save wrote. */
void
st_worker_load(struct st *st, struct dec *d)
{
	TALLOC_CTX *tmp = talloc_new(NULL);
	uint64_t n;

	st->worker_version = dec_u64(d);
	st->ended_epochs_floor = dec_u64(d);
	n = dec_u64(d);
	if (n > ST_ENDED_EPOCHS_KEPT)
		d->malformed = true;
	for (; n > 0 && !d->malformed; n--) {
		uint64_t epoch = dec_u64(d);

		ended_epoch_add(st, epoch, dec_u64(d));
	}
	for (n = dec_u64(d); n > 0 && !d->malformed; n--) {
		uint64_t epoch = dec_u64(d), superseded = dec_u64(d);
		uint64_t changed = dec_u64(d), seq = dec_u64(d);
		bool draining = dec_u64(d) != 0;
		struct str packed = dec_str(d);
		const Control__WorkerUp *up = d->malformed
		    ? NULL
		    : pb_unpack(tmp, &control__worker_up__descriptor, packed);
		struct st_worker *w;

		/* The binary search needs ascending epochs. */
		if (up == NULL ||
		    (st->nworkers > 0 &&
			st->workers[st->nworkers - 1]->epoch >= epoch)) {
			d->malformed = true;
			break;
		}
		w = worker_add(st, epoch, str_from(up->name), packed);
		w->incarnation = up->incarnation;
		w->superseded_incarnation = superseded;
		w->changed_index = changed;
		w->event_seq = seq;
		w->draining = draining;
	}
	talloc_free(tmp);
}

/* Returns the number of workers with a current epoch. */
size_t
st_nworkers(const struct st *st)
{
	return st->nworkers;
}

/* Returns the i-th worker, ordered by epoch. */
const struct st_worker *
st_worker_at(const struct st *st, size_t i)
{
	return st->workers[i];
}

/* Returns the worker with this epoch, or NULL if it has ended. */
const struct st_worker *
st_worker_get(const struct st *st, uint64_t epoch)
{
	size_t i = worker_index(st, epoch);

	if (i == st->nworkers || st->workers[i]->epoch != epoch)
		return NULL;
	return st->workers[i];
}

/* Returns the worker with this name, or NULL. */
const struct st_worker *
st_worker_get_by_name(const struct st *st, struct str name)
{
	return idx_find(
	    &st->worker_by_name, str_hash(name), worker_name_matches, &name);
}

/* Decodes a worker's announcement into memory of ctx. */
Control__WorkerUp *
st_worker_up(const struct st_worker *w, TALLOC_CTX *ctx)
{
	return pb_unpack(ctx, &control__worker_up__descriptor, w->packed_up);
}

/* Returns the log index of the last change of the worker table. */
uint64_t
st_worker_version(const struct st *st)
{
	return st->worker_version;
}

/*
 * Lists the epochs that ended after a version of the worker table, in memory
 * of ctx. Returns false when the version is too old and the whole table is
 * needed instead.
 */
bool
st_epochs_ended_since(const struct st *st, uint64_t version, TALLOC_CTX *ctx,
    uint64_t **epochs, size_t *n)
{
	size_t i;

	*n = 0;
	*epochs = NULL;
	if (version < st->ended_epochs_floor)
		return false;
	*epochs = talloc_array(ctx, uint64_t, st->nended_epochs);
	if (*epochs == NULL && st->nended_epochs > 0)
		abort();
	for (i = 0; i < st->nended_epochs; i++) {
		const struct st_ended_epoch *g =
		    &st->ended_epochs[(st->first_ended_epoch + i) %
			ST_ENDED_EPOCHS_KEPT];

		if (g->index > version)
			(*epochs)[(*n)++] = g->epoch;
	}
	return true;
}
