#include "placement/jobq.h"

#include <string.h>

/*
 * Initialises a job queue without classes, teams and jobs; memory is allocated
 * below ctx.
 */
void
jobq_init(struct jobq *q, TALLOC_CTX *ctx)
{
	memset(q, 0, sizeof(*q));
	q->ctx = ctx;
	q->free_job = JOBQ_NONE;
	hmap_init(&q->by_job, ctx);
	hmap_init(&q->by_class, ctx);
	hmap_init(&q->by_team, ctx);
	hmap_init(&q->by_need, ctx);
}

/* Returns the index of a class, or JOBQ_NONE. */
uint32_t
jobq_class_find(const struct jobq *q, struct str name)
{
	return hmap_get(&q->by_class, str_hash(name));
}

/* Returns the index of a class. A missing one is created as not configured. */
uint32_t
jobq_class_get(struct jobq *q, struct str name)
{
	uint32_t i = jobq_class_find(q, name);
	struct jobq_class *c;

	if (i != JOBQ_NONE)
		return i;
	if (q->nclasses == q->classes_cap) {
		q->classes_cap = q->classes_cap > 0 ? q->classes_cap * 2 : 16;
		q->classes = talloc_realloc(
		    q->ctx, q->classes, struct jobq_class, q->classes_cap);
	}
	c = &q->classes[q->nclasses];
	memset(c, 0, sizeof(*c));
	c->name = str_cstr(q->ctx, name);
	c->team = JOBQ_NONE;
	c->queue.head = c->queue.tail = JOBQ_NONE;
	learn_init(&c->learn);
	hmap_set(&q->by_class, str_hash(name), q->nclasses);
	return q->nclasses++;
}

/* Returns the index of a team. A missing one is created without limits. */
uint32_t
jobq_team_get(struct jobq *q, struct str name)
{
	uint32_t i = hmap_get(&q->by_team, str_hash(name));
	struct jobq_team *t;

	if (i != JOBQ_NONE)
		return i;
	if (q->nteams == q->teams_cap) {
		q->teams_cap = q->teams_cap > 0 ? q->teams_cap * 2 : 16;
		q->teams = talloc_realloc(
		    q->ctx, q->teams, struct jobq_team, q->teams_cap);
	}
	t = &q->teams[q->nteams];
	memset(t, 0, sizeof(*t));
	t->name = str_cstr(q->ctx, name);
	t->quota = (struct sched_res){ -1, -1, -1 };
	t->parked.head = t->parked.tail = JOBQ_NONE;
	hmap_set(&q->by_team, str_hash(name), q->nteams);
	return q->nteams++;
}

/*
 * Returns true if a team's quota has room for need in addition to what it
 * uses.
 */
bool
jobq_quota_allows(const struct jobq_team *t, const struct sched_res *need)
{
	return (t->quota.cpu_milli < 0 ||
		   t->used.cpu_milli + need->cpu_milli <= t->quota.cpu_milli) &&
	    (t->quota.mem_mb < 0 ||
		t->used.mem_mb + need->mem_mb <= t->quota.mem_mb) &&
	    (t->quota.accel < 0 ||
		t->used.accel + need->accel <= t->quota.accel);
}

/* Returns the index of a job, or JOBQ_NONE. */
uint32_t
jobq_job_find(const struct jobq *q, uint64_t id)
{
	return hmap_get(&q->by_job, id);
}

/*
 * Adds a job that is in no list yet and returns its index. Tasks with their
 * done bit set are finished.
 */
uint32_t
jobq_job_add(struct jobq *q, const struct sched_job *in, uint32_t cls)
{
	size_t bytes = ((size_t)in->ntasks + 7) / 8;
	uint32_t i, k;
	struct jobq_job *j;

	if (q->free_job != JOBQ_NONE) {
		i = q->free_job;
		q->free_job = q->jobs[i].next;
	} else {
		if (q->njobs == q->jobs_cap) {
			q->jobs_cap = q->jobs_cap > 0 ? q->jobs_cap * 2 : 16;
			q->jobs = talloc_realloc(
			    q->ctx, q->jobs, struct jobq_job, q->jobs_cap);
		}
		i = q->njobs++;
	}
	j = &q->jobs[i];
	memset(j, 0, sizeof(*j));
	j->id = in->id;
	j->cls = cls;
	j->ntasks = in->ntasks;
	j->declared = in->declared;
	j->run_ms = in->run_ms;
	j->gang = in->gang;
	j->first_task = j->next = j->prev = JOBQ_NONE;
	j->done = talloc_zero_size(q->ctx, bytes);
	j->placed = talloc_zero_size(q->ctx, bytes);
	if (in->done != NULL)
		for (k = 0; k < in->ntasks; k++)
			if (in->done[k / 8] & (1U << (k % 8))) {
				j->done[k / 8] |= (uint8_t)(1U << (k % 8));
				j->ndone++;
			}
	hmap_set(&q->by_job, in->id, i);
	jobq_recount_waiting(q, i);
	return i;
}

/* Deletes a job that has no placed tasks. */
void
jobq_job_del(struct jobq *q, uint32_t i)
{
	struct jobq_job *j = &q->jobs[i];

	jobq_remove(q, i);
	j->terminated = true;
	jobq_recount_waiting(q, i);
	hmap_del(&q->by_job, j->id);
	talloc_free(j->done);
	talloc_free(j->placed);
	talloc_free(j->rerun);
	talloc_free(j->learn);
	memset(j, 0, sizeof(*j));
	j->next = q->free_job;
	q->free_job = i;
}

/*
 * Returns the number of tasks that are neither finished nor placed, 0 for a
 * terminated job.
 */
uint32_t
jobq_nwaiting(const struct jobq_job *j)
{
	return j->terminated ? 0 : j->ntasks - j->ndone - j->nplaced;
}

/*
 * Updates the number of waiting tasks of the class after a change of the job.
 */
void
jobq_recount_waiting(struct jobq *q, uint32_t i)
{
	struct jobq_job *j = &q->jobs[i];
	uint32_t n = jobq_nwaiting(j);

	q->classes[j->cls].waiting += n - j->nwaiting_counted;
	j->nwaiting_counted = n;
}

/* Returns true if the task is finished. */
bool
jobq_is_done(const struct jobq_job *j, uint32_t task)
{
	return (j->done[task / 8] >> (task % 8)) & 1;
}

/* Returns true if resources are allocated for the task. */
bool
jobq_is_placed(const struct jobq_job *j, uint32_t task)
{
	return (j->placed[task / 8] >> (task % 8)) & 1;
}

/* Returns true if the task is neither finished nor placed. */
static bool
jobq_is_waiting(const struct jobq_job *j, uint32_t task)
{
	return !jobq_is_done(j, task) && !jobq_is_placed(j, task);
}

/*
 * Returns the task to start next, JOBQ_NONE if none waits. Entries that a
 * rebuild or a late report has placed or finished are skipped for good, so the
 * cost per task is constant over the life of a job.
 */
uint32_t
jobq_next_task(struct jobq_job *j)
{
	if (j->terminated)
		return JOBQ_NONE;
	while (j->nrerun > 0 && !jobq_is_waiting(j, j->rerun[j->nrerun - 1]))
		j->nrerun--;
	if (j->nrerun > 0)
		return j->rerun[j->nrerun - 1];
	while (j->cursor < j->ntasks && !jobq_is_waiting(j, j->cursor))
		j->cursor++;
	return j->cursor < j->ntasks ? j->cursor : JOBQ_NONE;
}

/* Marks a waiting task as placed. */
void
jobq_task_place(struct jobq *q, uint32_t i, uint32_t task)
{
	struct jobq_job *j = &q->jobs[i];

	j->placed[task / 8] |= (uint8_t)(1U << (task % 8));
	j->nplaced++;
	jobq_recount_waiting(q, i);
}

/* Marks a task as not placed any more. */
static void
jobq_clear_placed(struct jobq_job *j, uint32_t task)
{
	j->placed[task / 8] &= (uint8_t) ~(1U << (task % 8));
	j->nplaced--;
}

/* Marks a placed task as waiting. It is started again before new tasks. */
void
jobq_task_return(struct jobq *q, uint32_t i, uint32_t task)
{
	struct jobq_job *j = &q->jobs[i];

	jobq_clear_placed(j, task);
	if (!j->terminated && task < j->cursor) {
		if (j->nrerun == j->rerun_cap) {
			j->rerun_cap = j->rerun_cap > 0 ? j->rerun_cap * 2 : 4;
			j->rerun = talloc_realloc(
			    q->ctx, j->rerun, uint32_t, j->rerun_cap);
		}
		j->rerun[j->nrerun++] = task;
	}
	jobq_recount_waiting(q, i);
}

/* Marks a task as finished, whether it is placed or not. */
void
jobq_task_finish(struct jobq *q, uint32_t i, uint32_t task)
{
	struct jobq_job *j = &q->jobs[i];

	if (jobq_is_placed(j, task))
		jobq_clear_placed(j, task);
	if (!jobq_is_done(j, task)) {
		j->done[task / 8] |= (uint8_t)(1U << (task % 8));
		j->ndone++;
	}
	jobq_recount_waiting(q, i);
}

/* Returns the list that a job is in, NULL if it is in none. */
static struct jobq_list *
jobq_list_of(struct jobq *q, const struct jobq_job *j)
{
	switch ((enum jobq_queue_state)j->queue_state) {
	case JOBQ_QUEUED:
		return &q->classes[j->cls].queue;
	case JOBQ_PARKED_QUOTA:
		return &q->teams[q->classes[j->cls].team].parked;
	case JOBQ_PARKED_NEED:
		return &q->parked[j->parked].jobs;
	case JOBQ_UNQUEUED:
		break;
	}
	return NULL;
}

/* Inserts a job that is in no list at the front or back of one. */
static void
jobq_insert(struct jobq *q, uint32_t i, enum jobq_queue_state where, bool back)
{
	struct jobq_job *j = &q->jobs[i];
	struct jobq_list *l;

	j->queue_state = where;
	l = jobq_list_of(q, j);
	j->next = back ? JOBQ_NONE : l->head;
	j->prev = back ? l->tail : JOBQ_NONE;
	if (j->next != JOBQ_NONE)
		q->jobs[j->next].prev = i;
	else
		l->tail = i;
	if (j->prev != JOBQ_NONE)
		q->jobs[j->prev].next = i;
	else
		l->head = i;
	if (where == JOBQ_QUEUED)
		q->classes[j->cls].nqueued++;
}

/* Takes a job out of its list, if it is in one. */
void
jobq_remove(struct jobq *q, uint32_t i)
{
	struct jobq_job *j = &q->jobs[i];
	struct jobq_list *l = jobq_list_of(q, j);

	if (l == NULL)
		return;
	if (j->next != JOBQ_NONE)
		q->jobs[j->next].prev = j->prev;
	else
		l->tail = j->prev;
	if (j->prev != JOBQ_NONE)
		q->jobs[j->prev].next = j->next;
	else
		l->head = j->next;
	if (j->queue_state == JOBQ_QUEUED)
		q->classes[j->cls].nqueued--;
	j->queue_state = JOBQ_UNQUEUED;
	j->next = j->prev = JOBQ_NONE;
}

/*
 * Puts a job into the queue of its class: at the end if it is new, at the
 * front if some of its tasks have run, so that started work finishes before
 * new work begins.
 */
void
jobq_enqueue(struct jobq *q, uint32_t i)
{
	bool front = q->jobs[i].cursor > 0;

	if (q->jobs[i].queue_state == JOBQ_QUEUED)
		return;
	jobq_remove(q, i);
	jobq_insert(q, i, JOBQ_QUEUED, !front);
}

/* Moves a job to the end of the queue of its class. */
void
jobq_enqueue_last(struct jobq *q, uint32_t i)
{
	jobq_remove(q, i);
	jobq_insert(q, i, JOBQ_QUEUED, true);
}

/*
 * Parks a job until a worker can hold need. Jobs with the same need share a
 * list, so that a change of the fleet checks each need once and not each job.
 */
void
jobq_park_need(struct jobq *q, uint32_t i, const struct sched_res *need)
{
	uint64_t key = str_hash(str_mem(need, sizeof(*need)));
	uint32_t k = hmap_get(&q->by_need, key);

	jobq_remove(q, i);
	if (k == JOBQ_NONE) {
		if (q->nparked == q->parked_cap) {
			q->parked_cap =
			    q->parked_cap > 0 ? q->parked_cap * 2 : 8;
			q->parked = talloc_realloc(q->ctx, q->parked,
			    struct jobq_parked, q->parked_cap);
		}
		k = q->nparked++;
		q->parked[k].need = *need;
		q->parked[k].jobs.head = JOBQ_NONE;
		q->parked[k].jobs.tail = JOBQ_NONE;
		hmap_set(&q->by_need, key, k);
	}
	q->jobs[i].parked = k;
	jobq_insert(q, i, JOBQ_PARKED_NEED, true);
}

/* Parks a job until the quota of its team allows more. */
void
jobq_park_quota(struct jobq *q, uint32_t i)
{
	jobq_remove(q, i);
	jobq_insert(q, i, JOBQ_PARKED_QUOTA, true);
}
