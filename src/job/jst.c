#include "job/jst.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* Returns n zeroed elements; aborts if memory is exhausted. */
static void *
alloc_zeroed(size_t n, size_t size)
{
	void *p = calloc(n == 0 ? 1 : n, size);

	if (p == NULL)
		abort();
	return p;
}

/* Returns a copy of a string, NULL for NULL. */
static char *
copy_text(const char *s)
{
	char *p = s == NULL ? NULL : strdup(s);

	if (s != NULL && p == NULL)
		abort();
	return p;
}

/* Returns a deep copy of a message. */
static ProtobufCMessage *
copy_msg(const ProtobufCMessage *m)
{
	size_t len = protobuf_c_message_get_packed_size(m);
	uint8_t *buf = alloc_zeroed(len, 1);
	ProtobufCMessage *out;

	protobuf_c_message_pack(m, buf);
	out = protobuf_c_message_unpack(m->descriptor, NULL, len, buf);
	if (out == NULL)
		abort();
	free(buf);
	return out;
}

/* Frees a message from copy_msg; NULL is allowed. */
static void
free_msg(void *m)
{
	if (m != NULL)
		protobuf_c_message_free_unpacked(m, NULL);
}

/* Starts with an empty state. */
void
jst_init(struct jst *s)
{
	memset(s, 0, sizeof(*s));
	s->jobs = g_hash_table_new(g_int64_hash, g_int64_equal);
	s->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	s->left = alloc_zeroed(JST_LEFT_MAX, sizeof(*s->left));
	s->next_worker = 1;
}

/* Returns the number of steps of a job over all occurrences. */
static uint32_t
job_steps(const struct jst_job *j)
{
	return j->occurrences * (uint32_t)j->spec->n_steps;
}

/* Frees a job. */
static void
job_free(struct jst_job *j)
{
	uint32_t i, k;

	for (i = 0; i < job_steps(j); i++) {
		for (k = 0; k < j->steps[i].spec->count; k++)
			free(j->steps[i].tasks[k].checkpoint);
		free(j->steps[i].checkpoint);
		free(j->steps[i].tasks);
	}
	free(j->steps);
	free(j->queue);
	free_msg(j->submit);
	free(j);
}

/* Frees a maintenance wave. */
static void
wave_free(struct jst_wave *w)
{
	size_t i;

	for (i = 0; i < w->info->n_machines; i++)
		free(w->orders[i].worker);
	free(w->orders);
	free(w->notes);
	free(w->states);
	free_msg(w->info);
	free(w);
}

/* Releases all memory. */
void
jst_finish(struct jst *s)
{
	struct jst_job *j, *next;
	struct jst_wave *w, *wnext;
	size_t i;

	for (j = s->active; j != NULL; j = next) {
		next = j->next;
		job_free(j);
	}
	for (j = s->ended; j != NULL; j = next) {
		next = j->next;
		job_free(j);
	}
	for (w = s->waves; w != NULL; w = wnext) {
		wnext = w->next;
		wave_free(w);
	}
	for (i = 0; i < s->nworkers; i++) {
		free_msg((void *)(uintptr_t)s->workers[i]->info);
		free(s->workers[i]);
	}
	free(s->workers);
	for (i = 0; i < s->nleft; i++)
		free_msg(s->left[i]);
	free(s->left);
	free_msg(s->config);
	jst_free_evacuations(s);
	jst_free_moves(s);
	g_hash_table_destroy(s->jobs);
	g_hash_table_destroy(s->by_id);
	memset(s, 0, sizeof(*s));
}

/* Appends a job to a list. */
static void
list_add(struct jst_job **head, struct jst_job **last, struct jst_job *j)
{
	j->next = NULL;
	j->prev = *last;
	if (*last != NULL)
		(*last)->next = j;
	else
		*head = j;
	*last = j;
}

/* Removes a job from a list. */
static void
list_remove(struct jst_job **head, struct jst_job **last, struct jst_job *j)
{
	if (j->prev != NULL)
		j->prev->next = j->next;
	else
		*head = j->next;
	if (j->next != NULL)
		j->next->prev = j->prev;
	else
		*last = j->prev;
}

/* Ends an active job and moves it to the list of ended ones. */
static void
job_end(struct jst *s, struct jst_job *j, enum jst_job_state state,
    int64_t at_ms, struct jst_result *r)
{
	if (j->state != JST_ACTIVE)
		return;
	j->state = state;
	j->ended_ms = at_ms;
	list_remove(&s->active, &s->active_last, j);
	list_add(&s->ended, &s->ended_last, j);
	r->job_ended = true;
}

/* Removes an ended job from the state. */
static void
job_forget(struct jst *s, struct jst_job *j)
{
	s->nwithdrawn -= j->spec->n_steps == 0;
	list_remove(&s->ended, &s->ended_last, j);
	g_hash_table_remove(s->jobs, &j->id);
	job_free(j);
}

/* Removes jobs that ended JST_ENDED_RETENTION_MS ago and have no assigned
 * tasks. */
static void
forget_ended(struct jst *s, int64_t now_ms)
{
	struct jst_job *j, *next;
	uint32_t i, k;

	if (s->loading)
		return;
	for (j = s->ended; j != NULL; j = next) {
		bool busy = false;

		next = j->next;
		if (j->ended_ms + JST_ENDED_RETENTION_MS > now_ms)
			return;
		for (i = 0; i < job_steps(j) && !busy; i++) {
			for (k = 0; k < j->steps[i].spec->count; k++)
				busy |=
				    j->steps[i].tasks[k].state == JST_ASSIGNED;
		}
		if (busy)
			continue;
		job_forget(s, j);
	}
}

/* Adds an active job. */
static struct jst_job *
job_new(struct jst *s, const Job__Submit *m)
{
	struct jst_job *j = alloc_zeroed(1, sizeof(*j));
	uint32_t i;

	j->submit = (Job__Submit *)copy_msg(&m->base);
	j->spec = j->submit->spec;
	j->id = m->job;
	j->queue = copy_text(m->queue);
	j->submitted_ms = m->at_ms;
	j->occurrences = m->spec->repeat > 0 ? m->spec->repeat : 1;
	j->steps = alloc_zeroed(job_steps(j), sizeof(*j->steps));
	for (i = 0; i < job_steps(j); i++) {
		struct jst_step *st = &j->steps[i];

		st->job = j;
		st->occurrence = i / (uint32_t)j->spec->n_steps;
		st->number = i % (uint32_t)j->spec->n_steps;
		st->spec = j->spec->steps[st->number];
		st->tasks = alloc_zeroed(st->spec->count, sizeof(*st->tasks));
		st->nwaiting = st->spec->count;
	}
	s->nwithdrawn += j->spec->n_steps == 0;
	list_add(&s->active, &s->active_last, j);
	g_hash_table_insert(s->jobs, &j->id, j);
	return j;
}

/* Adds a job. One whose cancel came first is added as cancelled, with
 * STATUS_STALE. One whose queue has been forgotten since it was proposed could
 * never run and is refused with STATUS_NOT_FOUND. */
static void
apply_submit(struct jst *s, const Job__Submit *m, struct jst_result *r)
{
	struct jst_job *withdrawn;

	forget_ended(s, m->at_ms);
	r->job = jst_find_job(s, m->job);
	if (r->job != NULL) {
		r->status = STATUS_EXISTS;
		return;
	}
	if (!s->loading && jst_queue(s, m->queue) == NULL) {
		r->status = STATUS_NOT_FOUND;
		return;
	}
	withdrawn = jst_find_withdrawn(s, m->job);
	if (withdrawn != NULL)
		job_forget(s, withdrawn);
	r->job = job_new(s, m);
	if (withdrawn != NULL) {
		job_end(s, r->job, JST_CANCELLED, m->at_ms, r);
		r->status = STATUS_STALE;
	}
}

/* Remembers the cancel of a job whose submission may still be in flight, for as
 * long as ended jobs are kept. */
static void
record_early_cancel(struct jst *s, const Job__Cancel *m, struct jst_result *r)
{
	Job__Submit none = JOB__SUBMIT__INIT;
	Job__Spec spec = JOB__SPEC__INIT;
	char text[] = "";

	forget_ended(s, m->at_ms);
	r->status = STATUS_NOT_FOUND;
	if (jst_find_withdrawn(s, m->job) != NULL)
		return;
	if (s->nwithdrawn >= JST_WITHDRAWN_MAX) {
		r->status = STATUS_FULL;
		return;
	}
	spec.text = text;
	none.job = m->job;
	none.queue = text;
	none.spec = &spec;
	none.at_ms = m->at_ms;
	job_end(s, job_new(s, &none), JST_CANCELLED, m->at_ms, r);
	r->job_ended = false; /* no job existed */
}

/* Cancels a job. */
static void
apply_cancel(struct jst *s, const Job__Cancel *m, struct jst_result *r)
{
	r->job = jst_find_job(s, m->job);
	if (r->job != NULL)
		job_end(s, r->job, JST_CANCELLED, m->at_ms, r);
	else
		record_early_cancel(s, m, r);
}

/* Makes an assigned task wait again. */
static void
task_unassign(struct jst_step *st, struct jst_task *t)
{
	if (t->state != JST_ASSIGNED)
		return;
	t->state = JST_WAITING;
	st->nwaiting++;
	if (t->worker != NULL)
		t->worker->nassigned--;
	t->worker = NULL;
}

/* Assigns a task to a worker for a run. Refused with STATUS_STALE if the task
 * has another run, or its job or worker is gone; the leader must not send the
 * order then. */
static void
apply_assign(struct jst *s, const Job__Assign *m, struct jst_result *r)
{
	struct jst_step *st = NULL;
	struct jst_task *t = jst_find_task(s, m->task, &st);
	struct jst_worker *w = jst_find_worker(s, m->worker);

	r->task = t;
	r->step = st;
	r->worker = w;
	r->status = STATUS_STALE;
	if (t == NULL)
		return;
	r->job = st->job;
	if (w == NULL || t->state != JST_WAITING || m->run <= t->run ||
	    st->job->state != JST_ACTIVE)
		return;
	t->state = JST_ASSIGNED;
	t->run = m->run;
	t->worker = w;
	w->nassigned++;
	st->nwaiting--;
	r->status = STATUS_OK;
}

/* Records that a worker has begun a task of a job. */
static void
apply_begun(struct jst *s, const Job__Begun *m, struct jst_result *r)
{
	r->job = jst_find_job(s, m->job);
	if (r->job == NULL) {
		r->status = STATUS_NOT_FOUND;
		return;
	}
	r->status = r->job->started ? STATUS_EXISTS : STATUS_OK;
	r->job->started = true;
}

/* Completes the job if all its steps are done. */
static void
step_done(
    struct jst *s, struct jst_step *st, int64_t at_ms, struct jst_result *r)
{
	struct jst_job *j = st->job;

	if (st->ndone < st->spec->count)
		return;
	if (++j->ndone == job_steps(j))
		job_end(s, j, JST_COMPLETED, at_ms, r);
}

/* Completes a gang step: the first task that is done completes all of them. */
static void
gang_done(
    struct jst *s, struct jst_step *st, int64_t at_ms, struct jst_result *r)
{
	uint32_t i;

	for (i = 0; i < st->spec->count; i++) {
		struct jst_task *t = &st->tasks[i];

		if (t->state == JST_DONE)
			continue;
		if (t->state == JST_WAITING)
			st->nwaiting--;
		else if (t->worker != NULL)
			t->worker->nassigned--;
		t->worker = NULL;
		t->state = JST_DONE;
		st->ndone++;
	}
	step_done(s, st, at_ms, r);
}

/* Tells whether an end changes its task: it is that of the present run, or an
 * earlier run, which was given up, has done the work all the same. */
static bool
end_applies(
    const struct jst_step *st, const struct jst_task *t, const Job__End *m)
{
	if (t->state == JST_ASSIGNED && t->run == m->run)
		return true;
	return m->how == JOB__HOW__DONE && !st->spec->lasting &&
	    st->job->state == JST_ACTIVE && t->state != JST_DONE &&
	    m->run > 0 && m->run <= t->run;
}

/*
 * Keeps the checkpoint of an ended run. In a gang, the ends of several members
 * name different ones: those that members have listed count before the last one
 * known of a member that was lost, and none counts before those of a later run.
 */
static void
save_checkpoint(struct jst_step *st, struct jst_task *t, const Job__End *m)
{
	char **checkpoint = &t->checkpoint;

	if (m->saved == NULL || m->saved[0] == '\0')
		return;
	if (st->spec->gang) {
		if (m->run < st->checkpoint_run ||
		    (m->run == st->checkpoint_run && m->how == JOB__HOW__GONE))
			return;
		st->checkpoint_run = m->run;
		checkpoint = &st->checkpoint;
	}
	free(*checkpoint);
	*checkpoint = copy_text(m->saved);
}

/* Ends a run. The task is done, waits again, or fails its job. */
static void
apply_end(struct jst *s, const Job__End *m, struct jst_result *r)
{
	struct jst_step *st = NULL;
	struct jst_task *t = jst_find_task(s, m->task, &st);

	r->task = t;
	r->step = st;
	r->status = STATUS_STALE;
	if (t == NULL)
		return;
	r->job = st->job;
	if (!end_applies(st, t, m))
		return;
	r->status = STATUS_OK;
	r->worker = t->worker;
	task_unassign(st, t);
	save_checkpoint(st, t, m);
	if (m->how == JOB__HOW__DONE && !st->spec->lasting) {
		if (st->spec->gang) {
			gang_done(s, st, m->at_ms, r);
			return;
		}
		t->state = JST_DONE;
		st->nwaiting--;
		st->ndone++;
		step_done(s, st, m->at_ms, r);
	} else if (m->how == JOB__HOW__FAILED && !st->spec->lasting &&
	    ++t->nfailed >= jst_max_attempts(s, st->job)) {
		job_end(s, st->job, JST_FAILED, m->at_ms, r);
	}
}

/* Removes an entry from the list of workers that have left. */
static void
remove_left(struct jst *s, size_t i)
{
	free_msg(s->left[i]);
	s->nleft--;
	memmove(
	    &s->left[i], &s->left[i + 1], (s->nleft - i) * sizeof(s->left[0]));
}

/* Remembers the last incarnation of a worker that has left; the oldest entry
 * makes room. */
void
jst_add_left(struct jst *s, Job__Worker *w)
{
	size_t i;

	if (jst_has_left(s, w->id, w->born)) {
		free_msg(w);
		return;
	}
	for (i = 0; i < s->nleft; i++) {
		if (strcmp(s->left[i]->id, w->id) == 0) {
			remove_left(s, i);
			break;
		}
	}
	if (s->nleft == JST_LEFT_MAX)
		remove_left(s, 0);
	s->left[s->nleft++] = w;
}

/* Tells whether an incarnation, or a later one of its id, has left. */
bool
jst_has_left(const struct jst *s, const char *id, uint64_t born)
{
	size_t i;

	for (i = 0; i < s->nleft; i++) {
		if (strcmp(s->left[i]->id, id) == 0)
			return s->left[i]->born >= born;
	}
	return false;
}

/*
 * Registers a worker. A newer incarnation gets a registration of its own; an
 * older one is refused with STATUS_STALE. One that has left is registered as
 * draining, whatever its heartbeat says: it gets no work, but is still polled,
 * so that orders which reach it late are stopped. A heartbeat that may be
 * another writer's says nothing of the worker whose id it carries.
 */
static void
apply_worker(struct jst *s, const Job__Worker *m, struct jst_result *r)
{
	struct jst_worker *w = jst_find_worker_by_id(s, m->id);
	bool draining = m->draining || jst_has_left(s, m->id, m->born);
	bool replaces_other = w != NULL && jst_is_other_writer(s, m, w->info);
	Job__Worker *info;

	r->worker = w;
	if (w != NULL && jst_is_other_writer(s, w->info, m)) {
		r->status = STATUS_STALE;
		return;
	}
	if (w != NULL && !replaces_other && w->info->born == m->born) {
		w->draining = w->draining || draining;
		return;
	}
	if (w != NULL && !replaces_other && w->info->born > m->born) {
		r->status = STATUS_STALE;
		return;
	}
	if (s->nworkers >= JST_WORKERS_MAX) {
		r->status = STATUS_FULL;
		return;
	}
	w = alloc_zeroed(1, sizeof(*w));
	info = (Job__Worker *)copy_msg(&m->base);
	w->num = s->next_worker++;
	info->has_num = 1;
	info->num = w->num;
	w->info = info;
	w->draining = draining;
	s->workers = realloc(s->workers, (s->nworkers + 1) * sizeof(w));
	if (s->workers == NULL)
		abort();
	s->workers[s->nworkers++] = w;
	jst_index_worker(s, w);
	r->worker = w;
}

/* Tells whether a registration gave way to that of a sound worker. */
static bool
is_replaced_writer(const struct jst *s, const struct jst_worker *w)
{
	const struct jst_worker *latest = jst_find_worker_by_id(s, w->info->id);

	return latest != NULL && jst_is_other_writer(s, latest->info, w->info);
}

/* Removes a registration. Its runs should have been ended before; tasks still
 * assigned to it wait again. */
static void
apply_gone(struct jst *s, const Job__WorkerGone *m, struct jst_result *r)
{
	size_t i = jst_worker_index(s, m->num);
	struct jst_worker *w = jst_find_worker(s, m->num);
	Job__Worker *info;
	struct jst_job *j, *lists[2] = { s->active, s->ended };
	bool has_left;
	uint32_t n, k;
	int l;

	if (w == NULL) {
		r->status = STATUS_NOT_FOUND;
		return;
	}
	has_left = (m->left || w->draining) && !is_replaced_writer(s, w);
	for (l = 0; w->nassigned > 0 && l < 2; l++) {
		for (j = lists[l]; j != NULL; j = j->next) {
			for (n = 0; n < job_steps(j); n++) {
				struct jst_step *st = &j->steps[n];

				for (k = 0; k < st->spec->count; k++) {
					if (st->tasks[k].worker == w)
						task_unassign(
						    st, &st->tasks[k]);
				}
			}
		}
	}
	jst_unindex_worker(s, w);
	info = (Job__Worker *)(uintptr_t)w->info;
	if (has_left) {
		info->has_draining = info->draining = 1;
		jst_add_left(s, info);
	} else {
		free_msg(info);
	}
	free(w);
	memmove(&s->workers[i], &s->workers[i + 1],
	    (s->nworkers - i - 1) * sizeof(w));
	s->nworkers--;
}

/* Tells whether an active job was submitted to this queue. */
static bool
queue_has_jobs(const struct jst *s, const char *name)
{
	const struct jst_job *j;

	for (j = s->active; j != NULL; j = j->next) {
		if (strcmp(j->queue, name) == 0)
			return true;
	}
	return false;
}

/* Adds a copy of a queue to a configuration as a removed one. */
static void
add_removed_queue(Job__Config *c, const Job__Queue *q)
{
	Job__Queue *copy = (Job__Queue *)copy_msg(&q->base);

	free(copy->host);
	copy->host = copy_text("");
	c->queues = realloc(c->queues, (c->n_queues + 1) * sizeof(*c->queues));
	if (c->queues == NULL)
		abort();
	c->queues[c->n_queues++] = copy;
}

/*
 * Keeps the queues that a new configuration removes, as accepted jobs still run
 * by the settings of theirs. One that was removed earlier is kept while it has
 * active jobs; one that is removed now also without, as a submission may have
 * been proposed before.
 */
static void
keep_removed_queues(const struct jst *s, const Job__Config *old)
{
	size_t i;

	for (i = 0; old != NULL && i < old->n_queues; i++) {
		const Job__Queue *q = old->queues[i];

		if (jst_queue(s, q->name) == NULL &&
		    (!jst_queue_removed(q) || queue_has_jobs(s, q->name)))
			add_removed_queue(s->config, q);
	}
}

/* Replaces the configuration if the version is higher. */
static void
apply_config(struct jst *s, const Job__Config *m, struct jst_result *r)
{
	Job__Config *old = s->config;

	if (old != NULL && m->version <= old->version) {
		r->status = STATUS_EXISTS;
		return;
	}
	s->config = (Job__Config *)copy_msg(&m->base);
	keep_removed_queues(s, old);
	free_msg(old);
}

/* Adds a maintenance wave. */
static void
apply_wave(struct jst *s, const Job__Wave *m, struct jst_result *r)
{
	struct jst_wave *w = jst_find_wave(s, m->id);

	if (w != NULL) {
		r->status = STATUS_EXISTS;
		return;
	}
	w = alloc_zeroed(1, sizeof(*w));
	w->info = (Job__Wave *)copy_msg(&m->base);
	w->states = alloc_zeroed(m->n_machines, sizeof(*w->states));
	w->orders = alloc_zeroed(m->n_machines, sizeof(*w->orders));
	w->next = s->waves;
	s->waves = w;
}

/* Tells whether a step is later than what is recorded of its machine. States
 * advance; only an attempt that was given up makes its machine wait again. */
static bool
is_later_step(const struct jst_wave *w, size_t i, const Job__WaveStep *m)
{
	enum jst_wave_state state = (enum jst_wave_state)m->state;

	if (w->states[i] == JST_WAVE_DONE)
		return false;
	if (m->attempt != w->orders[i].attempt)
		return m->attempt > w->orders[i].attempt;
	return state > w->states[i];
}

/* Advances a machine of a maintenance wave, which may be named several times.
 */
static void
apply_wave_step(struct jst *s, const Job__WaveStep *m, struct jst_result *r)
{
	struct jst_wave *w = jst_find_wave(s, m->wave);
	size_t i;

	r->status = STATUS_NOT_FOUND;
	for (i = 0; w != NULL && i < w->info->n_machines; i++) {
		if (strcmp(w->info->machines[i], m->machine) != 0)
			continue;
		if (r->status == STATUS_NOT_FOUND)
			r->status = STATUS_STALE;
		if (is_later_step(w, i, m)) {
			w->states[i] = (enum jst_wave_state)m->state;
			w->orders[i].attempt = m->attempt;
			if (m->worker != NULL ||
			    m->state == JOB__WAVE_STATE__WAVE_WAITING) {
				free(w->orders[i].worker);
				w->orders[i].worker = copy_text(m->worker);
			}
			r->status = STATUS_OK;
		}
	}
}

/* Applies one command and reports its effect. */
void
jst_apply(struct jst *s, const Job__Command *c, struct jst_result *r)
{
	memset(r, 0, sizeof(*r));
	if (c->config != NULL)
		apply_config(s, c->config, r);
	else if (c->submit != NULL)
		apply_submit(s, c->submit, r);
	else if (c->cancel != NULL)
		apply_cancel(s, c->cancel, r);
	else if (c->assign != NULL)
		apply_assign(s, c->assign, r);
	else if (c->begun != NULL)
		apply_begun(s, c->begun, r);
	else if (c->end != NULL)
		apply_end(s, c->end, r);
	else if (c->worker != NULL)
		apply_worker(s, c->worker, r);
	else if (c->gone != NULL)
		apply_gone(s, c->gone, r);
	else if (c->wave != NULL)
		apply_wave(s, c->wave, r);
	else if (c->wave_step != NULL)
		apply_wave_step(s, c->wave_step, r);
	else if (c->evacuation != NULL)
		jst_apply_evacuation(s, c->evacuation, r);
	else if (c->move != NULL)
		jst_apply_move(s, c->move, r);
	else
		r->status = STATUS_INVALID;
}
