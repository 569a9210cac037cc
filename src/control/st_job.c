#include <stdlib.h>
#include <string.h>

#include "control/pb.h"
#include "control/st_impl.h"

/* Returns the index of the first job with an id not below id. */
static size_t
job_index(const struct st *st, uint64_t id)
{
	size_t lo = 0, hi = st->njobs;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (st->jobs[mid]->id < id)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

/* Returns a job for changes, or NULL. */
static struct st_job *
job_find(const struct st *st, uint64_t id)
{
	size_t i = job_index(st, id);

	if (i == st->njobs || st->jobs[i]->id != id)
		return NULL;
	return st->jobs[i];
}

/* Returns a task and its job; NULL if the job has ended or doesn't exist. */
static struct st_task *
task_find(const struct st *st, uint64_t task, struct st_job **job)
{
	uint64_t n = task & (ST_JOB_TASKS_MAX - 1);

	*job = job_find(st, task >> ST_TASK_BITS);
	if (*job == NULL || (*job)->tasks == NULL || n >= (*job)->ntasks)
		return NULL;
	return &(*job)->tasks[n];
}

/* Frees a job and its tasks. */
static void
job_free(struct st_job *j)
{
	free(j->tasks);
	free(j);
}

/* Frees all jobs. */
void
st_job_finish(struct st *st)
{
	size_t i;

	for (i = 0; i < st->njobs; i++)
		job_free(st->jobs[i]);
	free(st->jobs);
	st->jobs = NULL;
	st->njobs = st->capjobs = 0;
	st->last_job = st->evictions = 0;
	st->first_ended_job = st->nended_jobs = 0;
}

/* Adds a job without tasks; spec is copied into its allocation. */
static struct st_job *
job_add(struct st *st, uint64_t id, struct str spec)
{
	struct st_job *j = calloc(1, sizeof(*j) + spec.len);

	if (st->njobs == st->capjobs) {
		st->capjobs = st->capjobs == 0 ? 16 : 2 * st->capjobs;
		st->jobs =
		    realloc(st->jobs, st->capjobs * sizeof(struct st_job *));
	}
	if (j == NULL || st->jobs == NULL)
		abort();
	j->id = id;
	memcpy(j + 1, spec.p, spec.len);
	j->spec = str_mem(j + 1, spec.len);
	st->jobs[st->njobs++] = j;
	return j;
}

/* Removes a job that has ended, if it is there. */
static void
job_remove(struct st *st, uint64_t id)
{
	size_t i = job_index(st, id);

	if (i == st->njobs || st->jobs[i]->id != id)
		return;
	job_free(st->jobs[i]);
	memmove(&st->jobs[i], &st->jobs[i + 1],
	    (st->njobs - i - 1) * sizeof(struct st_job *));
	st->njobs--;
}

/* Records that a job has ended; drops the oldest at the limit. */
static void
ended_job_add(struct st *st, uint64_t id)
{
	if (st->nended_jobs == ST_ENDED_JOBS_KEPT) {
		job_remove(st, st->ended_jobs[st->first_ended_job]);
		st->first_ended_job =
		    (st->first_ended_job + 1) % ST_ENDED_JOBS_KEPT;
		st->nended_jobs--;
	}
	st->ended_jobs[(st->first_ended_job + st->nended_jobs++) %
	    ST_ENDED_JOBS_KEPT] = id;
}

/* Updates the job's state after a change; frees its tasks once all ended. */
static void
job_update_state(struct st *st, struct st_job *j)
{
	if (j->tasks == NULL)
		return;
	if (j->state == CONTROL__JOB_STATE__JOB_PENDING && j->assigned > 0)
		j->state = CONTROL__JOB_STATE__JOB_ACTIVE;
	if (j->pending > 0 || j->assigned > 0)
		return;
	if (j->state == CONTROL__JOB_STATE__JOB_PENDING ||
	    j->state == CONTROL__JOB_STATE__JOB_ACTIVE)
		j->state = j->failed > 0 ? CONTROL__JOB_STATE__JOB_FAILED
					 : CONTROL__JOB_STATE__JOB_DONE;
	free(j->tasks);
	j->tasks = NULL;
	ended_job_add(st, j->id);
}

/* Allocates n pending tasks in their first attempt. */
static struct st_task *
tasks_new(uint32_t n)
{
	struct st_task *t = calloc(n, sizeof(*t));
	uint32_t i;

	if (t == NULL)
		abort();
	for (i = 0; i < n; i++)
		t[i].attempt = 1;
	return t;
}

/* Adds a job; the result, also a refusal, is kept under the change id. */
void
st_job_submit(struct st *st, const Control__JobSubmit *s)
{
	struct str id = str_from(s->change_id), spec;
	uint64_t digest = st_change_digest(s), job = 0;
	struct st_job *j;

	if (id.len == 0 || id.len > ST_NAME_MAX_BYTES) {
		st_fail(st, STATUS_INVALID, "change id is empty or too long");
		return;
	}
	if (st_change_find(st, &st->job_changes, id, digest, &job)) {
		st->res.id = job;
		return;
	}
	spec = pb_pack(NULL, s->spec);
	if (s->spec->tasks == 0 || s->spec->tasks > ST_JOB_TASKS_MAX) {
		st_fail(st, STATUS_INVALID, "number of tasks is out of range");
	} else if (spec.len > ST_SPEC_MAX_BYTES) {
		st_fail(st, STATUS_LIMIT, "job specification is too large");
	} else {
		j = job_add(st, ++st->last_job, spec);
		j->ntasks = j->pending = s->spec->tasks;
		j->tasks = tasks_new(j->ntasks);
		job = st->res.id = j->id;
		st_effect_add(st, ST_EFFECT_JOB_SUBMIT, j->id);
	}
	talloc_free((void *)(uintptr_t)spec.p);
	st_change_store(&st->job_changes, id, digest, job, st->res.status);
}

/*
 * Ends a job as failed or cancelled: pending tasks at once, assigned ones when
 * their worker reports the end.
 */
static void
job_end(struct st *st, struct st_job *j, Control__JobState state)
{
	uint8_t end = state == CONTROL__JOB_STATE__JOB_FAILED
	    ? ST_TASK_FAILED
	    : ST_TASK_CANCELLED;
	uint32_t i;

	for (i = 0; i < j->ntasks; i++) {
		struct st_task *t = &j->tasks[i];

		if (t->state == ST_TASK_PENDING) {
			t->state = end;
			j->pending--;
			if (end == ST_TASK_FAILED)
				j->failed++;
			else
				j->cancelled++;
		} else if (t->state == ST_TASK_ASSIGNED) {
			t->state = ST_TASK_ENDING;
			j->ending++;
		}
	}
	j->state = state;
	st_effect_add(st, ST_EFFECT_JOB_CANCEL, j->id);
	job_update_state(st, j);
}

/* Returns whether a job has neither ended nor is being ended. */
static bool
job_is_open(const struct st_job *j)
{
	return j->state == CONTROL__JOB_STATE__JOB_PENDING ||
	    j->state == CONTROL__JOB_STATE__JOB_ACTIVE;
}

/* Cancels a job; cancelling it again has no effect. */
void
st_job_cancel(struct st *st, uint64_t id)
{
	struct st_job *j = job_find(st, id);

	st->res.id = id;
	if (j == NULL)
		st_fail(st, STATUS_NOT_FOUND, "no job has this id");
	else if (job_is_open(j))
		job_end(st, j, CONTROL__JOB_STATE__JOB_CANCELLED);
	else if (j->state != CONTROL__JOB_STATE__JOB_CANCELLED)
		st_fail(st, STATUS_REFUSED, "job has already ended");
}

/* Fails the job of a task that has failed on too many workers. */
void
st_job_fail(struct st *st, uint64_t task)
{
	struct st_job *j = job_find(st, task >> ST_TASK_BITS);

	if (j != NULL && job_is_open(j))
		job_end(st, j, CONTROL__JOB_STATE__JOB_FAILED);
}

/*
 * Assigns a pending task to a worker. It is refused, with an ASSIGN_REFUSED
 * effect, when the attempt or the epoch is outdated.
 */
void
st_task_assign(struct st *st, const Control__Assignment *a)
{
	struct st_job *j;
	struct st_task *t = task_find(st, a->task, &j);
	struct st_worker *w = st_worker_find(st, a->epoch);
	struct st_effect *n;

	if (t == NULL || w == NULL || t->state != ST_TASK_PENDING ||
	    t->attempt != a->attempt) {
		n = st_effect_add(st, ST_EFFECT_ASSIGN_REFUSED, a->task);
		n->epoch = a->epoch;
		n->attempt = a->attempt;
		return;
	}
	t->state = ST_TASK_ASSIGNED;
	t->epoch = a->epoch;
	j->pending--;
	j->assigned++;
	st_worker_add_task(w, a->task);
	n = st_effect_add(st, ST_EFFECT_ASSIGNED, a->task);
	n->epoch = a->epoch;
	n->attempt = a->attempt;
	n->progress = t->progress;
	job_update_state(st, j);
}

/*
 * Ends the current attempt of a task in the given state. A task that was being
 * ended gets the final state of its job, unless it was done.
 */
static void
task_end_attempt(struct st_job *j, struct st_task *t, uint8_t state)
{
	j->assigned--;
	if (t->state == ST_TASK_ENDING) {
		j->ending--;
		if (state != ST_TASK_DONE)
			state = j->state == CONTROL__JOB_STATE__JOB_FAILED
			    ? ST_TASK_FAILED
			    : ST_TASK_CANCELLED;
	}
	t->state = state;
	t->epoch = 0;
	if (state == ST_TASK_PENDING) {
		t->attempt++;
		j->pending++;
	} else if (state == ST_TASK_DONE) {
		j->done++;
	} else if (state == ST_TASK_FAILED) {
		j->failed++;
	} else {
		j->cancelled++;
	}
}

/*
 * Applies a task event reported by a worker. Events of an outdated attempt or
 * epoch are ignored.
 */
void
st_task_event(struct st *st, uint64_t epoch, const Control__TaskEvent *ev)
{
	struct st_job *j;
	struct st_task *t = task_find(st, ev->task, &j);
	struct st_worker *w = st_worker_find(st, epoch);
	struct st_effect *n;

	if (t == NULL || w == NULL || t->epoch != epoch ||
	    t->attempt != ev->attempt ||
	    (t->state != ST_TASK_ASSIGNED && t->state != ST_TASK_ENDING))
		return;
	/* An older checkpoint must not replace a newer one. */
	if (ev->has_progress && ev->progress > t->progress)
		t->progress = ev->progress;
	n = st_effect_add(st, ST_EFFECT_TASK_EVENT, ev->task);
	n->event = ev->kind;
	n->epoch = epoch;
	n->attempt = ev->attempt;
	n->progress = t->progress;
	switch (ev->kind) {
	case CONTROL__TASK_EVENT_KIND__TASK_DONE:
		st_worker_remove_task(w, ev->task);
		task_end_attempt(j, t, ST_TASK_DONE);
		break;
	case CONTROL__TASK_EVENT_KIND__TASK_STOPPED:
		if (t->state == ST_TASK_ASSIGNED) {
			j->evictions++;
			st->evictions++;
		}
		/* FALLTHROUGH */
	case CONTROL__TASK_EVENT_KIND__TASK_FAILED:
		st_worker_remove_task(w, ev->task);
		task_end_attempt(j, t, ST_TASK_PENDING);
		break;
	default:
		break;
	}
	job_update_state(st, j);
}

/* Requeues a task of a worker whose epoch ends. */
void
st_task_requeue(struct st *st, uint64_t task)
{
	struct st_job *j;
	struct st_task *t = task_find(st, task, &j);
	struct st_worker *w = st_worker_find(st, t->epoch);

	st_worker_remove_task(w, task);
	task_end_attempt(j, t, ST_TASK_PENDING);
	job_update_state(st, j);
}

/* Returns whether two tasks have the same state. */
static bool
task_equal(const struct st_task *a, const struct st_task *b)
{
	return a->epoch == b->epoch && a->progress == b->progress &&
	    a->attempt == b->attempt && a->state == b->state;
}

/* Writes the tasks run-length encoded: most are pending or done. */
static void
tasks_save(const struct st_job *j, struct enc *e)
{
	uint32_t i, k;

	for (i = 0; i < j->ntasks; i = k) {
		const struct st_task *t = &j->tasks[i];

		for (k = i + 1; k < j->ntasks && task_equal(t, &j->tasks[k]);
		     k++)
			;
		enc_u64(e, k - i);
		enc_u64(e, t->state);
		enc_u64(e, t->attempt);
		enc_u64(e, t->epoch);
		enc_u64(e, t->progress);
	}
}

/* Adds task i, read from a snapshot, to the counts and to its worker. */
static void
task_count_loaded(struct st *st, struct st_job *j, uint32_t i, struct dec *d)
{
	const struct st_task *t = &j->tasks[i];
	struct st_worker *w;

	switch (t->state) {
	case ST_TASK_PENDING:
		j->pending++;
		break;
	case ST_TASK_ENDING:
		j->ending++;
		/* FALLTHROUGH */
	case ST_TASK_ASSIGNED:
		j->assigned++;
		w = st_worker_find(st, t->epoch);
		if (w == NULL)
			d->malformed = true;
		else
			st_worker_add_task(w, j->id << ST_TASK_BITS | i);
		break;
	case ST_TASK_DONE:
		j->done++;
		break;
	case ST_TASK_FAILED:
		j->failed++;
		break;
	case ST_TASK_CANCELLED:
		j->cancelled++;
		break;
	default:
		d->malformed = true;
	}
}

/* Reads what tasks_save wrote. */
static void
tasks_load(struct st *st, struct st_job *j, struct dec *d)
{
	uint32_t i = 0;

	j->tasks = tasks_new(j->ntasks);
	while (i < j->ntasks && !d->malformed) {
		uint64_t run = dec_u64(d);
		struct st_task t = { .state = (uint8_t)dec_u64(d) };

		t.attempt = (uint32_t)dec_u64(d);
		t.epoch = dec_u64(d);
		t.progress = dec_u64(d);
		if (run == 0 || run > j->ntasks - i)
			d->malformed = true;
		for (; run > 0 && !d->malformed; run--, i++) {
			j->tasks[i] = t;
			task_count_loaded(st, j, i, d);
		}
	}
}

/* Writes jobs and tasks into a snapshot. */
void
st_job_save(const struct st *st, struct enc *e)
{
	size_t i;

	enc_u64(e, st->last_job);
	enc_u64(e, st->evictions);
	enc_u64(e, st->njobs);
	for (i = 0; i < st->njobs; i++) {
		const struct st_job *j = st->jobs[i];

		enc_u64(e, j->id);
		enc_str(e, j->spec);
		enc_u64(e, j->state);
		enc_u64(e, j->ntasks);
		enc_u64(e, j->evictions);
		enc_u64(e, j->tasks != NULL);
		if (j->tasks != NULL) {
			tasks_save(j, e);
		} else {
			enc_u64(e, j->done);
			enc_u64(e, j->failed);
			enc_u64(e, j->cancelled);
		}
	}
	enc_u64(e, st->nended_jobs);
	for (i = 0; i < st->nended_jobs; i++)
		enc_u64(e,
		    st->ended_jobs[(st->first_ended_job + i) %
			ST_ENDED_JOBS_KEPT]);
}

/* Reads what st_job_save wrote. */
void
st_job_load(struct st *st, struct dec *d)
{
	uint64_t n;

	st->last_job = dec_u64(d);
	st->evictions = dec_u64(d);
	for (n = dec_u64(d); n > 0 && !d->malformed; n--) {
		uint64_t id = dec_u64(d);
		struct str spec = dec_str(d);
		uint64_t state = dec_u64(d), tasks = dec_u64(d);
		struct st_job *j;

		if (d->malformed || tasks == 0 || tasks > ST_JOB_TASKS_MAX ||
		    (st->njobs > 0 && st->jobs[st->njobs - 1]->id >= id)) {
			d->malformed = true;
			return;
		}
		j = job_add(st, id, spec);
		j->state = (Control__JobState)state;
		j->ntasks = (uint32_t)tasks;
		j->evictions = (uint32_t)dec_u64(d);
		if (dec_u64(d) != 0) {
			tasks_load(st, j, d);
		} else {
			j->done = (uint32_t)dec_u64(d);
			j->failed = (uint32_t)dec_u64(d);
			j->cancelled = (uint32_t)dec_u64(d);
		}
	}
	n = dec_u64(d);
	if (n > ST_ENDED_JOBS_KEPT)
		d->malformed = true;
	for (; n > 0 && !d->malformed; n--)
		ended_job_add(st, dec_u64(d));
}

/* Returns the number of jobs, ended ones included. */
size_t
st_njobs(const struct st *st)
{
	return st->njobs;
}

/* Returns the i-th job, ordered by id. */
const struct st_job *
st_job_at(const struct st *st, size_t i)
{
	return st->jobs[i];
}

/* Returns a job, or NULL. */
const struct st_job *
st_job_get(const struct st *st, uint64_t id)
{
	return job_find(st, id);
}

/* Returns a task of a job that has not ended, or NULL. */
const struct st_task *
st_task_get(const struct st *st, uint64_t task)
{
	struct st_job *j;

	return task_find(st, task, &j);
}

/* Unpacks the specification of a job into memory of ctx. */
Control__JobSpec *
st_job_spec(const struct st_job *j, TALLOC_CTX *ctx)
{
	return pb_unpack(ctx, &control__job_spec__descriptor, j->spec);
}

/* Returns how often running tasks were stopped to run again later. */
uint64_t
st_evictions(const struct st *st)
{
	return st->evictions;
}
