#include "placement/jobq.h"

#include <string.h>

void
jobq_init(struct jobq *q, TALLOC_CTX *ctx)
{
	memset(q, 0, sizeof(*q));
	q->ctx = ctx;
	q->jfree = JOBQ_NONE;
	hmap_init(&q->by_job, ctx);
	hmap_init(&q->by_class, ctx);
	hmap_init(&q->by_team, ctx);
	hmap_init(&q->by_need, ctx);
}

/* Index of the class of that name, or JOBQ_NONE. */
uint32_t
jobq_class_find(const struct jobq *q, struct str name)
{
	return hmap_get(&q->by_class, str_hash(name));
}

/* Index of the class of that name; an absent one is created, not present. */
uint32_t
jobq_class_get(struct jobq *q, struct str name)
{
	uint32_t i = jobq_class_find(q, name);
	struct jobq_class *c;

	if (i != JOBQ_NONE)
		return i;
	if (q->nc == q->cc) {
		q->cc = q->cc > 0 ? q->cc * 2 : 16;
		q->c = talloc_realloc(q->ctx, q->c, struct jobq_class, q->cc);
	}
	c = &q->c[q->nc];
	memset(c, 0, sizeof(*c));
	c->name = str_cstr(q->ctx, name);
	c->team = JOBQ_NONE;
	c->q.head = c->q.tail = JOBQ_NONE;
	learn_init(&c->learn);
	hmap_set(&q->by_class, str_hash(name), q->nc);
	return q->nc++;
}

/* Index of the team of that name; an absent one is created without limits. */
uint32_t
jobq_team_get(struct jobq *q, struct str name)
{
	uint32_t i = hmap_get(&q->by_team, str_hash(name));
	struct jobq_team *t;

	if (i != JOBQ_NONE)
		return i;
	if (q->nt == q->ct) {
		q->ct = q->ct > 0 ? q->ct * 2 : 16;
		q->t = talloc_realloc(q->ctx, q->t, struct jobq_team, q->ct);
	}
	t = &q->t[q->nt];
	memset(t, 0, sizeof(*t));
	t->name = str_cstr(q->ctx, name);
	t->quota = (struct sched_res){ -1, -1, -1 };
	t->parked.head = t->parked.tail = JOBQ_NONE;
	hmap_set(&q->by_team, str_hash(name), q->nt);
	return q->nt++;
}

/* True when a team may hold need on top of what it holds. */
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

uint32_t
jobq_job_find(const struct jobq *q, uint64_t id)
{
	return hmap_get(&q->by_job, id);
}

/* Adds a job, in no queue yet. Tasks with their done bit set are finished. */
uint32_t
jobq_job_add(struct jobq *q, const struct sched_job *in, uint32_t cls)
{
	size_t bytes = ((size_t)in->tasks + 7) / 8;
	uint32_t i, k;
	struct jobq_job *j;

	if (q->jfree != JOBQ_NONE) {
		i = q->jfree;
		q->jfree = q->j[i].next;
	} else {
		if (q->nj == q->cj) {
			q->cj = q->cj > 0 ? q->cj * 2 : 16;
			q->j = talloc_realloc(
			    q->ctx, q->j, struct jobq_job, q->cj);
		}
		i = q->nj++;
	}
	j = &q->j[i];
	memset(j, 0, sizeof(*j));
	j->id = in->id;
	j->cls = cls;
	j->tasks = in->tasks;
	j->declared = in->declared;
	j->run_ms = in->run_ms;
	j->gang = in->gang;
	j->head = j->next = j->prev = JOBQ_NONE;
	j->done = talloc_zero_size(q->ctx, bytes);
	j->live = talloc_zero_size(q->ctx, bytes);
	if (in->done != NULL)
		for (k = 0; k < in->tasks; k++)
			if (in->done[k / 8] & (1U << (k % 8))) {
				j->done[k / 8] |= (uint8_t)(1U << (k % 8));
				j->ndone++;
			}
	hmap_set(&q->by_job, in->id, i);
	jobq_count(q, i);
	return i;
}

void
jobq_job_del(struct jobq *q, uint32_t i)
{
	struct jobq_job *j = &q->j[i];

	jobq_remove(q, i);
	j->dead = true;
	jobq_count(q, i);
	hmap_del(&q->by_job, j->id);
	talloc_free(j->done);
	talloc_free(j->live);
	talloc_free(j->again);
	talloc_free(j->learn);
	memset(j, 0, sizeof(*j));
	j->next = q->jfree;
	q->jfree = i;
}

/* Tasks that are neither finished nor hold resources. */
uint32_t
jobq_waiting(const struct jobq_job *j)
{
	return j->dead ? 0 : j->tasks - j->ndone - j->nlive;
}

void
jobq_count(struct jobq *q, uint32_t i)
{
	struct jobq_job *j = &q->j[i];
	uint32_t n = jobq_waiting(j);

	q->c[j->cls].waiting += n - j->nwait;
	j->nwait = n;
}

bool
jobq_is_done(const struct jobq_job *j, uint32_t task)
{
	return (j->done[task / 8] >> (task % 8)) & 1;
}

bool
jobq_is_live(const struct jobq_job *j, uint32_t task)
{
	return (j->live[task / 8] >> (task % 8)) & 1;
}

static bool
jobq_waits(const struct jobq_job *j, uint32_t task)
{
	return !jobq_is_done(j, task) && !jobq_is_live(j, task);
}

/*
 * The task to start next, JOBQ_NONE when none waits. Entries that a rebuild
 * or a late report has made live or finished are skipped for good, so the
 * cost is constant per task over the life of a job.
 */
uint32_t
jobq_peek(struct jobq_job *j)
{
	if (j->dead)
		return JOBQ_NONE;
	while (j->nagain > 0 && !jobq_waits(j, j->again[j->nagain - 1]))
		j->nagain--;
	if (j->nagain > 0)
		return j->again[j->nagain - 1];
	while (j->cursor < j->tasks && !jobq_waits(j, j->cursor))
		j->cursor++;
	return j->cursor < j->tasks ? j->cursor : JOBQ_NONE;
}

void
jobq_take(struct jobq *q, uint32_t i, uint32_t task)
{
	struct jobq_job *j = &q->j[i];

	j->live[task / 8] |= (uint8_t)(1U << (task % 8));
	j->nlive++;
	jobq_count(q, i);
}

static void
jobq_unlive(struct jobq_job *j, uint32_t task)
{
	j->live[task / 8] &= (uint8_t) ~(1U << (task % 8));
	j->nlive--;
}

void
jobq_return(struct jobq *q, uint32_t i, uint32_t task)
{
	struct jobq_job *j = &q->j[i];

	jobq_unlive(j, task);
	if (!j->dead && task < j->cursor) {
		if (j->nagain == j->cagain) {
			j->cagain = j->cagain > 0 ? j->cagain * 2 : 4;
			j->again = talloc_realloc(
			    q->ctx, j->again, uint32_t, j->cagain);
		}
		j->again[j->nagain++] = task;
	}
	jobq_count(q, i);
}

/* Marks a task as finished, whether it is live or not. */
void
jobq_finish_task(struct jobq *q, uint32_t i, uint32_t task)
{
	struct jobq_job *j = &q->j[i];

	if (jobq_is_live(j, task))
		jobq_unlive(j, task);
	if (!jobq_is_done(j, task)) {
		j->done[task / 8] |= (uint8_t)(1U << (task % 8));
		j->ndone++;
	}
	jobq_count(q, i);
}

static struct jobq_list *
jobq_list_of(struct jobq *q, const struct jobq_job *j)
{
	switch ((enum jobq_where)j->where) {
	case JOBQ_QUEUED:
		return &q->c[j->cls].q;
	case JOBQ_PARKED_TEAM:
		return &q->t[q->c[j->cls].team].parked;
	case JOBQ_PARKED:
		return &q->park[j->park].jobs;
	case JOBQ_OUT:
		break;
	}
	return NULL;
}

static void
jobq_link(struct jobq *q, uint32_t i, enum jobq_where where, bool back)
{
	struct jobq_job *j = &q->j[i];
	struct jobq_list *l;

	j->where = where;
	l = jobq_list_of(q, j);
	j->next = back ? JOBQ_NONE : l->head;
	j->prev = back ? l->tail : JOBQ_NONE;
	if (j->next != JOBQ_NONE)
		q->j[j->next].prev = i;
	else
		l->tail = i;
	if (j->prev != JOBQ_NONE)
		q->j[j->prev].next = i;
	else
		l->head = i;
	if (where == JOBQ_QUEUED)
		q->c[j->cls].njobs++;
}

void
jobq_remove(struct jobq *q, uint32_t i)
{
	struct jobq_job *j = &q->j[i];
	struct jobq_list *l = jobq_list_of(q, j);

	if (l == NULL)
		return;
	if (j->next != JOBQ_NONE)
		q->j[j->next].prev = j->prev;
	else
		l->tail = j->prev;
	if (j->prev != JOBQ_NONE)
		q->j[j->prev].next = j->next;
	else
		l->head = j->next;
	if (j->where == JOBQ_QUEUED)
		q->c[j->cls].njobs--;
	j->where = JOBQ_OUT;
	j->next = j->prev = JOBQ_NONE;
}

/*
 * Puts a job into the queue of its class: at the end when it is new, at the
 * front when some of its tasks have run, so that work in progress finishes
 * before new work begins.
 */
void
jobq_queue(struct jobq *q, uint32_t i)
{
	bool front = q->j[i].cursor > 0;

	if (q->j[i].where == JOBQ_QUEUED)
		return;
	jobq_remove(q, i);
	jobq_link(q, i, JOBQ_QUEUED, !front);
}

/* Moves a queued job behind the others of its class. */
void
jobq_queue_back(struct jobq *q, uint32_t i)
{
	jobq_remove(q, i);
	jobq_link(q, i, JOBQ_QUEUED, true);
}

/*
 * Parks a job until a worker can hold need. There is one park for each
 * distinct need, so a change of the fleet checks needs, not jobs.
 */
void
jobq_park_need(struct jobq *q, uint32_t i, const struct sched_res *need)
{
	uint64_t key = str_hash(str_mem(need, sizeof(*need)));
	uint32_t k = hmap_get(&q->by_need, key);

	jobq_remove(q, i);
	if (k == JOBQ_NONE) {
		if (q->np == q->cp) {
			q->cp = q->cp > 0 ? q->cp * 2 : 8;
			q->park = talloc_realloc(
			    q->ctx, q->park, struct jobq_park, q->cp);
		}
		k = q->np++;
		q->park[k].need = *need;
		q->park[k].jobs.head = JOBQ_NONE;
		q->park[k].jobs.tail = JOBQ_NONE;
		hmap_set(&q->by_need, key, k);
	}
	q->j[i].park = k;
	jobq_link(q, i, JOBQ_PARKED, true);
}

/* Parks a job until its team's quota allows more. */
void
jobq_park_team(struct jobq *q, uint32_t i)
{
	jobq_remove(q, i);
	jobq_link(q, i, JOBQ_PARKED_TEAM, true);
}
