#include "job/jst.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* Returns n zeroed elements; aborts if memory is exhausted. */
void *
jst_alloc(size_t n, size_t size)
{
	void *p = calloc(n == 0 ? 1 : n, size);

	if (p == NULL)
		abort();
	return p;
}

/* Returns a copy of a string, NULL for NULL. */
char *
jst_copy_text(const char *s)
{
	char *p = s == NULL ? NULL : strdup(s);

	if (s != NULL && p == NULL)
		abort();
	return p;
}

/* Returns a deep copy of a message. */
void *
jst_copy_msg(const ProtobufCMessage *m)
{
	size_t len = protobuf_c_message_get_packed_size(m);
	uint8_t *buf = jst_alloc(len, 1);
	ProtobufCMessage *out;

	protobuf_c_message_pack(m, buf);
	out = protobuf_c_message_unpack(m->descriptor, NULL, len, buf);
	if (out == NULL)
		abort();
	free(buf);
	return out;
}

/* Frees a message from jst_copy_msg; NULL is allowed. */
void
jst_free_msg(void *m)
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
	s->uses = g_hash_table_new(g_str_hash, g_str_equal);
	jst_init_timers(s);
	s->left = jst_alloc(JST_LEFT_MAX, sizeof(*s->left));
	s->next_worker = 1;
}

/* Releases all memory. */
void
jst_finish(struct jst *s)
{
	struct jst_job *j, *next, *lists[3];
	size_t i;

	jst_free_dead(s);
	lists[0] = s->active;
	lists[1] = s->dormant;
	lists[2] = s->ended;
	jst_finish_timers(s);
	for (i = 0; i < G_N_ELEMENTS(lists); i++) {
		for (j = lists[i]; j != NULL; j = next) {
			next = j->next;
			jst_job_free(j);
		}
	}
	g_hash_table_destroy(s->uses);
	free(s->limits);
	jst_free_waves(s);
	for (i = 0; i < s->nworkers; i++) {
		jst_free_msg((void *)(uintptr_t)s->workers[i]->info);
		free(s->workers[i]);
	}
	free(s->workers);
	for (i = 0; i < s->nleft; i++)
		jst_free_msg(s->left[i]);
	free(s->left);
	jst_free_msg(s->config);
	jst_free_evacuations(s);
	jst_free_moves(s);
	g_hash_table_destroy(s->jobs);
	g_hash_table_destroy(s->by_id);
	memset(s, 0, sizeof(*s));
}

/* Tells whether an ended job may be forgotten. */
bool
jst_has_expired(const struct jst *s, int64_t now_ms)
{
	const struct jst_job *j;

	for (j = s->ended; j != NULL; j = j->next) {
		if (j->ended_ms + JST_ENDED_RETENTION_MS > now_ms)
			break;
		if (j->ncounted == 0)
			return true;
	}
	return false;
}

/* Removes jobs that ended JST_ENDED_RETENTION_MS ago and have no assigned
 * tasks. */
static void
forget_ended(struct jst *s, int64_t now_ms)
{
	struct jst_job *j, *next;

	if (s->loading)
		return;
	for (j = s->ended; j != NULL; j = next) {
		next = j->next;
		if (j->ended_ms + JST_ENDED_RETENTION_MS > now_ms)
			return;
		if (j->ncounted == 0)
			jst_job_forget(s, j);
	}
}

/* Adds a job. One whose cancel came first is added as cancelled, with
 * STATUS_STALE. One whose queue has been forgotten since it was proposed could
 * never run and is refused with STATUS_NOT_FOUND, one for which there is no
 * room with STATUS_FULL. */
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
	if (withdrawn == NULL && !s->loading && !jst_admits(s, m)) {
		r->status = STATUS_FULL;
		return;
	}
	if (withdrawn != NULL)
		jst_job_forget(s, withdrawn);
	r->job = jst_job_new(s, m);
	if (withdrawn != NULL) {
		jst_job_end(s, r->job, JST_CANCELLED, m->at_ms, r);
		r->status = STATUS_STALE;
	}
}

/* Remembers the cancel of a job whose submission may still be in flight, for as
 * long as ended jobs are kept. */
static void
record_early_cancel(struct jst *s, const Job__Cancel *m, struct jst_result *r)
{
	struct jst_job *j;

	forget_ended(s, m->at_ms);
	r->status = STATUS_NOT_FOUND;
	if (jst_find_withdrawn(s, m->job) != NULL)
		return;
	if (s->nwithdrawn >= JST_WITHDRAWN_MAX) {
		r->status = STATUS_FULL;
		return;
	}
	j = jst_job_new_ended(s, m->job, "", m->at_ms);
	j->is_withdrawn = true;
	j->state = JST_CANCELLED;
	j->ended_ms = m->at_ms;
	s->nwithdrawn++;
}

/* Cancels a job. */
static void
apply_cancel(struct jst *s, const Job__Cancel *m, struct jst_result *r)
{
	r->job = jst_find_job(s, m->job);
	if (r->job != NULL)
		jst_job_end(s, r->job, JST_CANCELLED, m->at_ms, r);
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
	st->occ->nassigned--;
	if (t->worker != NULL)
		t->worker->nassigned--;
	t->worker = NULL;
}

/* Assigns a task to a worker for a run. Refused with STATUS_STALE if the task
 * has another run, or its job or worker is gone; the leader must not send the
 * order then. The first assignment of an occurrence takes memory for it on all
 * replicas, whether there is room or not: the leader has seen to that. */
static void
apply_assign(struct jst *s, const Job__Assign *m, struct jst_result *r)
{
	struct jst_worker *w = jst_find_worker(s, m->worker);
	struct jst_job *j = jst_find_job(s, m->task->job);
	struct jst_step *st = NULL;
	struct jst_task *t;

	if (j != NULL && j->state == JST_ACTIVE && w != NULL)
		jst_occ_touch(s, j, m->task->occurrence);
	t = jst_find_task(s, m->task, &st);
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
	st->occ->nassigned++;
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
	jst_job_begun(r->job);
}

/* Completes the occurrence if all its steps are done, and the job with its
 * last occurrence. */
static void
step_done(
    struct jst *s, struct jst_step *st, int64_t at_ms, struct jst_result *r)
{
	struct jst_job *j = st->job;

	if (st->ndone < st->spec->count || ++st->occ->ndone < j->spec->n_steps)
		return;
	if (++j->ndone == j->occurrences)
		jst_job_end(s, j, JST_COMPLETED, at_ms, r);
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
		task_unassign(st, t);
		st->nwaiting--;
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
 * Keeps the checkpoint of an ended run, unless it is a long one and there is no
 * room for it; the one before is kept then. In a gang, the ends of several
 * members name different ones: those that members have listed count before the
 * last one known of a member that was lost, and none counts before those of a
 * later run.
 */
static void
save_checkpoint(struct jst *s, struct jst_step *st, struct jst_task *t,
    const Job__End *m, struct jst_result *r)
{
	char **checkpoint = st->spec->gang ? &st->checkpoint : &t->checkpoint;

	if (m->saved == NULL || m->saved[0] == '\0')
		return;
	if (st->spec->gang &&
	    (m->run < st->checkpoint_run ||
		(m->run == st->checkpoint_run && m->how == JOB__HOW__GONE)))
		return;
	if (!jst_save_checkpoint(s, st, checkpoint, m->saved))
		r->checkpoint_dropped = true;
	else if (st->spec->gang)
		st->checkpoint_run = m->run;
}

/* Applies an end to the state of its task. */
static void
end_task(struct jst *s, struct jst_step *st, struct jst_task *t,
    const Job__End *m, struct jst_result *r)
{
	task_unassign(st, t);
	save_checkpoint(s, st, t, m, r);
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
		jst_job_end(s, st->job, JST_FAILED, m->at_ms, r);
	}
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
	end_task(s, st, t, m, r);
	jst_occ_check(s, st->occ);
}

/* Removes an entry from the list of workers that have left. */
static void
remove_left(struct jst *s, size_t i)
{
	jst_free_msg(s->left[i]);
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
		jst_free_msg(w);
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
	if (!s->loading &&
	    s->nworkers >=
		(s->max.workers > 0 ? s->max.workers : JST_WORKERS_MAX)) {
		r->status = STATUS_FULL;
		return;
	}
	w = jst_alloc(1, sizeof(*w));
	info = jst_copy_msg(&m->base);
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

/* Makes the tasks of a list of jobs wait again that are assigned to a
 * worker. */
static void
unassign_all(struct jst *s, struct jst_job *j, const struct jst_worker *w)
{
	uint32_t o, n, k;

	for (; j != NULL; j = j->next) {
		for (o = 0; o < j->nlive; o++) {
			struct jst_occ *occ = j->live[o];

			if (occ->nassigned == 0)
				continue;
			for (n = 0; n < j->spec->n_steps; n++) {
				struct jst_step *st = &occ->steps[n];

				for (k = 0; k < st->spec->count; k++) {
					if (st->tasks[k].worker == w)
						task_unassign(
						    st, &st->tasks[k]);
				}
			}
			jst_occ_check(s, occ);
		}
	}
}

/* Removes a registration. Its runs should have been ended before; tasks still
 * assigned to it wait again. */
static void
apply_gone(struct jst *s, const Job__WorkerGone *m, struct jst_result *r)
{
	size_t i = jst_worker_index(s, m->num);
	struct jst_worker *w = jst_find_worker(s, m->num);
	Job__Worker *info;
	bool has_left;

	if (w == NULL) {
		r->status = STATUS_NOT_FOUND;
		return;
	}
	has_left = (m->left || w->draining) && !is_replaced_writer(s, w);
	if (w->nassigned > 0) {
		unassign_all(s, s->active, w);
		unassign_all(s, s->ended, w);
	}
	jst_unindex_worker(s, w);
	info = (Job__Worker *)(uintptr_t)w->info;
	if (has_left) {
		info->has_draining = info->draining = 1;
		jst_add_left(s, info);
	} else {
		jst_free_msg(info);
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
	const struct jst_use *u = jst_find_use(s, name);

	return u != NULL && u->nactive > 0;
}

/* Adds a copy of a queue to a configuration as a removed one. */
static void
add_removed_queue(Job__Config *c, const Job__Queue *q)
{
	Job__Queue *copy = jst_copy_msg(&q->base);

	free(copy->host);
	copy->host = jst_copy_text("");
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

/* Counts what the removed queues that are kept for their jobs take. */
static void
count_removed_queues(struct jst *s)
{
	size_t i, sum = 0;

	for (i = 0; i < s->config->n_queues; i++) {
		const Job__Queue *q = s->config->queues[i];

		if (jst_queue_removed(q))
			sum += jmem_message(&q->base) +
			    JMEM_SNAPSHOT_COPIES *
				job__queue__get_packed_size(q);
	}
	s->bytes += sum - s->removed_bytes;
	s->local_bytes += sum - s->removed_bytes;
	s->removed_bytes = sum;
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
	s->config = jst_copy_msg(&m->base);
	keep_removed_queues(s, old);
	count_removed_queues(s);
	jst_free_msg(old);
}

/* Applies one command and reports its effect. */
void
jst_apply(struct jst *s, const Job__Command *c, struct jst_result *r)
{
	memset(r, 0, sizeof(*r));
	jst_free_dead(s);
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
		jst_apply_wave(s, c->wave, r);
	else if (c->wave_step != NULL)
		jst_apply_wave_step(s, c->wave_step, r);
	else if (c->evacuation != NULL)
		jst_apply_evacuation(s, c->evacuation, r);
	else if (c->move != NULL)
		jst_apply_move(s, c->move, r);
	else if (c->limit != NULL)
		jst_apply_limit(s, c->limit, r);
	else if (c->forget != NULL)
		forget_ended(s, c->forget->at_ms);
	else
		r->status = STATUS_INVALID;
}
