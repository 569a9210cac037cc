#include "control/st.h"

#include <stdlib.h>
#include <string.h>

#include "control/pb.h"
#include "control/st_impl.h"

#define ST_FORMAT 1 /* version of the snapshot format */

/* Frees the whole content of the state. */
static void
st_clear(struct st *st)
{
	st_key_finish(st);
	st_job_finish(st);
	st_worker_finish(st);
	st_config_finish(st);
}

/* Frees what talloc doesn't own. */
static int
st_destroy(struct st *st)
{
	st_clear(st);
	free(st->effects);
	return 0;
}

/* Creates the state of a group before its first log entry, owned by ctx. */
struct st *
st_new(TALLOC_CTX *ctx)
{
	struct st *st = talloc_zero(ctx, struct st);

	if (st == NULL)
		abort();
	talloc_set_destructor(st, st_destroy);
	st_config_init(st);
	return st;
}

/* Appends an effect to the result of the command being applied. */
struct st_effect *
st_effect_add(struct st *st, enum st_effect_kind kind, uint64_t id)
{
	struct st_effect *n;

	if (st->neffects == st->capeffects) {
		st->capeffects = st->capeffects == 0 ? 16 : 2 * st->capeffects;
		st->effects =
		    realloc(st->effects, st->capeffects * sizeof(*st->effects));
		if (st->effects == NULL)
			abort();
	}
	n = &st->effects[st->neffects++];
	memset(n, 0, sizeof(*n));
	n->kind = kind;
	n->id = id;
	return n;
}

/* Sets status and message of the command being applied; returns status. */
enum status
st_fail(struct st *st, enum status status, const char *message)
{
	st->res.status = status;
	st->res.message = message;
	return status;
}

/* Applies each part that a command has. */
static void
st_dispatch(struct st *st, const Control__Command *c)
{
	size_t i;

	/* The clocks of leaders differ; the time of the state never goes back.
	 */
	if (c->has_now_ms && c->now_ms > st->now_ms)
		st->now_ms = c->now_ms;
	if (c->config_set != NULL)
		st_config_set(st, c->config_set);
	if (c->worker_up != NULL)
		st_worker_apply_up(st, c->worker_up);
	if (c->has_worker_lost)
		st_worker_apply_lost(st, c->worker_lost);
	if (c->worker_drain != NULL)
		st_worker_apply_drain(st, c->worker_drain);
	if (c->job_submit != NULL)
		st_job_submit(st, c->job_submit);
	if (c->job_cancel != NULL)
		st_job_cancel(st, c->job_cancel->job);
	for (i = 0; i < c->n_assign; i++)
		st_task_assign(st, c->assign[i]);
	if (c->has_events_epoch) {
		struct st_worker *w = st_worker_find(st, c->events_epoch);

		for (i = 0; i < c->n_task_events; i++)
			st_task_event(st, c->events_epoch, c->task_events[i]);
		if (w == NULL)
			st_fail(st, STATUS_STALE, "worker epoch has ended");
		else if (c->event_seq > w->event_seq)
			w->event_seq = c->event_seq;
	}
	for (i = 0; i < c->n_fail_tasks; i++)
		st_job_fail(st, c->fail_tasks[i]);
	if (c->key_claim != NULL)
		st_key_claim(st, c->key_claim);
	if (c->key_done != NULL)
		st_key_done(st, c->key_done);
	if (c->has_key_expire && c->key_expire)
		st_key_expire(st, c->key_cutoff_ms);
}

/*
 * Applies the log record at index, which must grow from call to call. data is
 * a packed Command; a malformed one changes only the index and gives
 * STATUS_CORRUPT. The result and its effects are valid until the next call.
 */
const struct st_result *
st_apply(struct st *st, uint64_t index, struct str data)
{
	TALLOC_CTX *tmp = talloc_new(NULL);
	const Control__Command *c =
	    pb_unpack(tmp, &control__command__descriptor, data);

	st->index = index;
	st->neffects = 0;
	memset(&st->res, 0, sizeof(st->res));
	st->res.version = st->config->version;
	if (c == NULL)
		st_fail(st, STATUS_CORRUPT, "record is not a valid command");
	else
		st_dispatch(st, c);
	st->res.effects = st->effects;
	st->res.neffects = st->neffects;
	talloc_free(tmp);
	return &st->res;
}

/* Advances the index past a log entry that holds no command. */
void
st_skip(struct st *st, uint64_t index)
{
	st->index = index;
}

/* Returns a snapshot of the state in the format that st_restore reads. */
struct str
st_snapshot(const struct st *st, TALLOC_CTX *ctx)
{
	struct enc e;

	enc_init(&e, ctx);
	enc_u64(&e, ST_FORMAT);
	enc_u64(&e, st->index);
	enc_u64(&e, st->now_ms);
	st_config_save(st, &e);
	st_worker_save(st, &e);
	st_job_save(st, &e);
	st_key_save(st, &e);
	return str_mem(e.p, e.n);
}

/*
 * Replaces the state by a snapshot. Returns STATUS_CORRUPT and leaves the state
 * empty when the bytes aren't a complete snapshot of a known format.
 */
enum status
st_restore(struct st *st, struct str data, struct err *err)
{
	struct dec d = { data.p, data.p + data.len, false };

	st_clear(st);
	st->index = 0;
	st->now_ms = 0;
	st_config_init(st);
	if (data.len == 0 || dec_u64(&d) != ST_FORMAT)
		return err_set(
		    err, STATUS_CORRUPT, "snapshot has an unknown format");
	st->index = dec_u64(&d);
	st->now_ms = dec_u64(&d);
	st_config_load(st, &d);
	if (!d.malformed)
		st_worker_load(st, &d);
	if (!d.malformed)
		st_job_load(st, &d);
	if (!d.malformed)
		st_key_load(st, &d);
	if (d.malformed || d.p != d.end) {
		st_clear(st);
		st->index = 0;
		st_config_init(st);
		return err_set(err, STATUS_CORRUPT, "snapshot is malformed");
	}
	return STATUS_OK;
}

/* Returns the index of the last entry applied. */
uint64_t
st_index(const struct st *st)
{
	return st->index;
}

/* Returns the latest time of a command, in milliseconds since 1970. */
uint64_t
st_now_ms(const struct st *st)
{
	return st->now_ms;
}
