#include "node/relay_msg.h"

#include <stdlib.h>
#include <string.h>

#include "node/relay.h"

/* Returns p; ends the process if it is NULL. */
static void *
check_alloc(void *p)
{
	if (p == NULL)
		abort();
	return p;
}

/* Copies a string that may be NULL. */
static char *
copy_text(TALLOC_CTX *ctx, const char *s)
{
	return s == NULL ? NULL : check_alloc(talloc_strdup(ctx, s));
}

/* Encodes a call. */
Job__WorkerCall *
relay_msg_call(TALLOC_CTX *ctx, const struct jl_call *c)
{
	Job__WorkerCall *m = check_alloc(talloc(ctx, Job__WorkerCall));

	job__worker_call__init(m);
	m->serial = c->serial;
	m->kind = c->kind;
	m->worker = c->worker;
	m->id = copy_text(m, c->id);
	m->addr = copy_text(m, c->addr);
	m->timeout_ms = (uint32_t)c->timeout_ms;
	m->has_fence = 1;
	m->fence = c->fence;
	m->has_until_ms = c->lease_until_ms != 0;
	m->until_ms = c->lease_until_ms;
	if (c->kind == JL_POLL) {
		m->has_seen = m->has_wait_ms = 1;
		m->seen = c->acked_end;
		m->wait_ms = (uint32_t)c->wait_ms;
		return m;
	}
	m->task = check_alloc(talloc(m, Job__Task));
	*m->task = c->task;
	m->task->has_occurrence = m->task->has_step = m->task->has_index = 1;
	m->has_run = 1;
	m->run = c->run;
	m->spec = copy_text(m, c->spec);
	m->saved = copy_text(m, c->checkpoint);
	m->ticket = copy_text(m, c->ticket);
	m->has_percent = c->kind == JL_THROTTLE;
	m->percent = c->throttle_percent;
	return m;
}

/* Decodes a call; the leader's token is that of its batch. */
bool
relay_msg_to_call(const Job__WorkerCall *m, struct jl_call *c)
{
	memset(c, 0, sizeof(*c));
	if (m->kind > JL_THROTTLE || (m->kind != JL_POLL && m->task == NULL) ||
	    (m->kind == JL_START && m->spec == NULL))
		return false;
	c->serial = m->serial;
	c->kind = (enum jl_call_kind)m->kind;
	c->worker = m->worker;
	c->id = m->id;
	c->addr = m->addr;
	c->timeout_ms = m->timeout_ms;
	c->fence = m->fence;
	c->lease_until_ms = m->until_ms;
	c->acked_end = m->seen;
	c->wait_ms = m->wait_ms;
	if (m->task != NULL)
		c->task = *m->task;
	c->run = m->run;
	c->spec = m->spec;
	c->checkpoint = m->saved;
	c->ticket = m->ticket;
	c->throttle_percent = m->percent;
	return true;
}

/* Returns a message with columns for n rows. */
static Job__WorkerRows *
new_rows(TALLOC_CTX *ctx, size_t n)
{
	Job__WorkerRows *m = check_alloc(talloc(ctx, Job__WorkerRows));

	job__worker_rows__init(m);
	m->job = check_alloc(talloc_array(m, uint64_t, n));
	m->occurrence = check_alloc(talloc_array(m, uint32_t, n));
	m->step = check_alloc(talloc_array(m, uint32_t, n));
	m->index = check_alloc(talloc_array(m, uint32_t, n));
	m->run = check_alloc(talloc_array(m, uint32_t, n));
	m->saved = check_alloc(talloc_array(m, char *, n));
	m->n_job = m->n_occurrence = m->n_step = m->n_index = m->n_run =
	    m->n_saved = n;
	return m;
}

/* Sets row i of the columns that all rows have. */
static void
set_row(Job__WorkerRows *m, size_t i, const Job__Task *t, uint32_t run,
    const char *saved)
{
	m->job[i] = t->job;
	m->occurrence[i] = t->occurrence;
	m->step[i] = t->step;
	m->index[i] = t->index;
	m->run[i] = run;
	m->saved[i] = copy_text(m, saved == NULL ? "" : saved);
}

/* Encodes the runs that a worker lists as running. */
static Job__WorkerRows *
encode_running(TALLOC_CTX *ctx, const struct jl_reply *r)
{
	Job__WorkerRows *m = new_rows(ctx, r->nrunning);
	size_t i;

	m->percent = check_alloc(talloc_array(m, uint32_t, r->nrunning));
	m->figure = check_alloc(talloc_array(m, uint32_t, r->nrunning));
	m->n_percent = m->n_figure = r->nrunning;
	for (i = 0; i < r->nrunning; i++) {
		const struct jl_running *o = &r->running[i];

		set_row(m, i, &o->task, o->run, o->checkpoint);
		m->percent[i] = o->progress_percent;
		m->figure[i] = o->metric;
	}
	return m;
}

/* Encodes the ends of runs that a worker lists. */
static Job__WorkerRows *
encode_ended(TALLOC_CTX *ctx, const struct jl_reply *r)
{
	Job__WorkerRows *m = new_rows(ctx, r->nended);
	size_t i;

	m->number = check_alloc(talloc_array(m, uint64_t, r->nended));
	m->how = check_alloc(talloc_array(m, uint32_t, r->nended));
	m->n_number = m->n_how = r->nended;
	for (i = 0; i < r->nended; i++) {
		const struct jl_ended *o = &r->ended[i];

		set_row(m, i, &o->task, o->run, o->checkpoint);
		m->number[i] = o->number;
		m->how[i] = (uint32_t)o->how;
	}
	return m;
}

/* Encodes a reply. */
Job__WorkerAnswer *
relay_msg_answer(TALLOC_CTX *ctx, const struct jl_reply *r)
{
	Job__WorkerAnswer *m = check_alloc(talloc(ctx, Job__WorkerAnswer));

	job__worker_answer__init(m);
	m->serial = r->serial;
	m->kind = r->kind;
	m->has_clock_ms = r->has_clock;
	m->clock_ms = r->clock_ms;
	m->has_born = r->incarnation != 0;
	m->born = r->incarnation;
	if (r->nrunning > 0)
		m->running = encode_running(m, r);
	if (r->nended > 0)
		m->ended = encode_ended(m, r);
	return m;
}

/* Tells whether the columns that all rows have are of equal length. */
static bool
has_equal_columns(const Job__WorkerRows *m)
{
	size_t n = m->n_job;

	return m->n_occurrence == n && m->n_step == n && m->n_index == n &&
	    m->n_run == n && m->n_saved == n;
}

/* Reads the task of row i. */
static void
get_row_task(const Job__WorkerRows *m, size_t i, Job__Task *t)
{
	job__task__init(t);
	t->job = m->job[i];
	t->occurrence = m->occurrence[i];
	t->step = m->step[i];
	t->index = m->index[i];
}

/* Decodes the runs that a worker lists as running. */
static bool
decode_running(TALLOC_CTX *ctx, const Job__WorkerRows *m, struct jl_reply *r)
{
	struct jl_running *v;
	size_t i;

	if (m == NULL)
		return true;
	if (!has_equal_columns(m) || m->n_percent != m->n_job ||
	    m->n_figure != m->n_job)
		return false;
	v = check_alloc(
	    talloc_zero_array(ctx, struct jl_running, m->n_job + 1));
	for (i = 0; i < m->n_job; i++) {
		get_row_task(m, i, &v[i].task);
		v[i].run = m->run[i];
		v[i].checkpoint = m->saved[i];
		v[i].progress_percent = m->percent[i];
		v[i].metric = m->figure[i];
	}
	r->running = v;
	r->nrunning = m->n_job;
	return true;
}

/* Decodes the ends of runs that a worker lists. */
static bool
decode_ended(TALLOC_CTX *ctx, const Job__WorkerRows *m, struct jl_reply *r)
{
	struct jl_ended *v;
	size_t i;

	if (m == NULL)
		return true;
	if (!has_equal_columns(m) || m->n_number != m->n_job ||
	    m->n_how != m->n_job)
		return false;
	v = check_alloc(talloc_zero_array(ctx, struct jl_ended, m->n_job + 1));
	for (i = 0; i < m->n_job; i++) {
		if (m->how[i] > JOB__HOW__REFUSED)
			return false;
		get_row_task(m, i, &v[i].task);
		v[i].number = m->number[i];
		v[i].run = m->run[i];
		v[i].how = (Job__How)m->how[i];
		v[i].checkpoint = m->saved[i];
	}
	r->ended = v;
	r->nended = m->n_job;
	return true;
}

/* Decodes an answer into a reply whose fields about its call are set
 * already. */
bool
relay_msg_to_reply(
    TALLOC_CTX *ctx, const Job__WorkerAnswer *m, struct jl_reply *r)
{
	if (m->kind > JL_CONN_REFUSED ||
	    (m->has_clock_ms &&
		(m->clock_ms < 0 || m->clock_ms > RELAY_TIME_MAX_MS)))
		return false;
	r->kind = (enum jl_reply_kind)m->kind;
	r->has_clock = m->has_clock_ms;
	r->clock_ms = m->clock_ms;
	r->incarnation = m->born;
	return decode_running(ctx, m->running, r) &&
	    decode_ended(ctx, m->ended, r);
}
