#include "job/jadvice.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* Most failure domains that are told apart when workers are spread. */
#define DOMAINS_MAX 64

/* What is known of a worker for one step. */
struct known {
	bool is_good;
	char *ticket;	   /* NULL: none, or refused */
	uint64_t num;	   /* registration that the ticket was issued for */
	int64_t until_ms;  /* end of its validity */
	uint32_t nrefused; /* tickets in a row */
	int64_t retry_ms;  /* it isn't named in a call before */
};

struct jadvice_step {
	uint64_t job;
	uint32_t occurrence, number;
	GHashTable *known; /* by the worker's id */
	uint32_t ncalls;   /* with an answer */
	bool is_in_call;
	int64_t called_ms; /* start of the last call */
	int64_t look_ms;   /* no call is needed before */
	int64_t place_ms;  /* time that jadvice_allows refers to */
	size_t nusable;	   /* at that time */
};

/* An instance that makes calls, and its call in flight. */
struct caller {
	uint32_t instance;
	bool is_live; /* it may be given calls */
	int64_t retry_ms, backoff_ms;
	uint64_t serial; /* 0: no call */
	Job__Task step;
	GPtrArray *ids;	 /* of the workers that are named */
	uint64_t *nums;	 /* their registrations */
	int64_t sent_ms; /* when the leader ordered the call */
	int64_t until_ms, valid_ms;
};

struct jadvice {
	GHashTable *steps; /* a set of struct jadvice_step */
	struct caller callers[JADVICE_CALLERS_MAX];
	size_t ncallers;
	uint64_t serial; /* of the last call */
};

/* ---- what is known ---- */

/* Hashes the name of a step. */
static guint
step_hash(gconstpointer p)
{
	const struct jadvice_step *s = p;
	gint64 job = (gint64)s->job;

	return g_int64_hash(&job) ^ s->occurrence * 31 ^ s->number;
}

/* Compares the names of two steps. */
static gboolean
step_equal(gconstpointer pa, gconstpointer pb)
{
	const struct jadvice_step *a = pa, *b = pb;

	return a->job == b->job && a->occurrence == b->occurrence &&
	    a->number == b->number;
}

/* Frees what is known of a worker. */
static void
known_free(gpointer p)
{
	struct known *k = p;

	g_free(k->ticket);
	g_free(k);
}

/* Frees the record of a step. */
static void
step_free(gpointer p)
{
	struct jadvice_step *s = p;

	g_hash_table_destroy(s->known);
	g_free(s);
}

/* Creates the state of a leader; the first caller is the leader itself. */
struct jadvice *
jadvice_new(void)
{
	struct jadvice *a = g_new0(struct jadvice, 1);

	a->steps =
	    g_hash_table_new_full(step_hash, step_equal, step_free, NULL);
	a->ncallers = 1;
	a->callers[0].is_live = true;
	a->callers[0].backoff_ms = JADVICE_RETRY_MS;
	return a;
}

/* Removes the call of a caller. */
static void
clear_call(struct caller *c)
{
	c->serial = 0;
	if (c->ids != NULL)
		g_ptr_array_free(c->ids, TRUE);
	g_free(c->nums);
	c->ids = NULL;
	c->nums = NULL;
}

/* Frees everything; calls in flight are forgotten. */
void
jadvice_free(struct jadvice *a)
{
	size_t i;

	if (a == NULL)
		return;
	for (i = 0; i < a->ncallers; i++)
		clear_call(&a->callers[i]);
	g_hash_table_destroy(a->steps);
	g_free(a);
}

/* Returns the record of a step, NULL if there is none. */
static struct jadvice_step *
find_step(const struct jadvice *a, const Job__Task *t)
{
	struct jadvice_step key = {
		.job = t->job, .occurrence = t->occurrence, .number = t->step
	};

	return g_hash_table_lookup(a->steps, &key);
}

/* Returns the record of a step; creates it if needed. */
struct jadvice_step *
jadvice_step_get(struct jadvice *a, const Job__Task *t)
{
	struct jadvice_step *s = find_step(a, t);

	if (s != NULL)
		return s;
	s = g_new0(struct jadvice_step, 1);
	s->job = t->job;
	s->occurrence = t->occurrence;
	s->number = t->step;
	s->known =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, known_free);
	g_hash_table_add(a->steps, s);
	return s;
}

/* Removes the records of steps that need no more advice. */
void
jadvice_prune(struct jadvice *a,
    bool (*is_needed)(void *arg, const Job__Task *), void *arg)
{
	GHashTableIter it;
	gpointer key;
	Job__Task t;

	job__task__init(&t);
	g_hash_table_iter_init(&it, a->steps);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		const struct jadvice_step *s = key;

		t.job = s->job;
		t.occurrence = s->occurrence;
		t.step = s->number;
		if (!is_needed(arg, &t))
			g_hash_table_iter_remove(&it);
	}
}

/* Tells whether a call for a step is in flight. */
bool
jadvice_is_in_call(const struct jadvice_step *s)
{
	return s->is_in_call;
}

/* Tells whether a call for a step was answered. */
bool
jadvice_was_asked(const struct jadvice_step *s)
{
	return s->ncalls > 0;
}

/* Tells whether a ticket applies to a registration and is valid for so long. */
static bool
is_valid(const struct known *k, uint64_t num, int64_t now_ms, int64_t left_ms)
{
	return k != NULL && k->ticket != NULL && k->num == num &&
	    k->until_ms - now_ms > left_ms;
}

/* Counts the workers with a usable ticket. */
size_t
jadvice_step_update(struct jadvice_step *s, int64_t now_ms)
{
	GHashTableIter it;
	gpointer value;

	s->place_ms = now_ms;
	s->nusable = 0;
	g_hash_table_iter_init(&it, s->known);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct known *k = value;

		s->nusable += is_valid(k, k->num, now_ms, JADVICE_PLACE_MS);
	}
	return s->nusable;
}

/* Returns the number of workers with a usable ticket at the last update. */
size_t
jadvice_step_count(const struct jadvice_step *s)
{
	return s->nusable;
}

/* Tells whether a task of the step may be placed on a worker. */
bool
jadvice_allows(const struct jadvice_step *s, const char *id, uint64_t num)
{
	return is_valid(g_hash_table_lookup(s->known, id), num, s->place_ms,
	    JADVICE_PLACE_MS);
}

/* Returns the ticket for a start that is sent now. */
const char *
jadvice_ticket(
    const struct jadvice_step *s, const char *id, uint64_t num, int64_t now_ms)
{
	const struct known *k = g_hash_table_lookup(s->known, id);

	return is_valid(k, num, now_ms, JADVICE_LAST_MS) ? k->ticket : NULL;
}

/* Notes that a worker has refused its ticket: it needs another one. */
void
jadvice_reject(
    struct jadvice_step *s, const char *id, uint64_t num, int64_t now_ms)
{
	struct known *k = g_hash_table_lookup(s->known, id);
	int64_t pause_ms = JADVICE_REJECTED_MS;

	if (k == NULL || k->num != num || k->ticket == NULL)
		return;
	g_free(k->ticket);
	k->ticket = NULL;
	if (k->nrefused < 4)
		pause_ms <<= k->nrefused++;
	else
		pause_ms = JADVICE_REJECTED_MAX_MS;
	k->retry_ms = now_ms + pause_ms;
	s->look_ms = now_ms;
}

/* ---- which call comes next ---- */

/* Returns the time that a call about n workers needs. */
static int64_t
call_ms(const struct jadvice_terms *t, size_t n)
{
	return t->decide_ms + t->each_ms * (int64_t)n;
}

/* Returns what a step gains per ms of the service. Late jobs are worth half and
 * worthless ones little, but all are asked about at last. */
double
jadvice_gain(int band, uint32_t priority, bool is_ready, bool is_first,
    const struct jadvice_terms *t)
{
	double worth = band == 0 ? 1 : band == 1 ? 0.5 : 0.01;

	return worth / (1.0 + priority) * (is_ready ? 1 : 0.5) *
	    (is_first ? 1 : 0.5) / (double)(call_ms(t, JADVICE_WORKERS) + 1);
}

/* Tells whether a comes before b. */
static bool
is_before(const struct jadvice_want *a, const struct jadvice_want *b)
{
	if (a->gain < b->gain || a->gain > b->gain)
		return a->gain > b->gain;
	return a->deadline_ms < b->deadline_ms;
}

/* Adds a step to the queue, unless all in it gain more. */
void
jadvice_queue_add(struct jadvice_queue *q, const struct jadvice_want *w)
{
	size_t i;

	if (q->n == JADVICE_QUEUE_MAX) {
		q->nleft_out++;
		if (!is_before(w, &q->v[q->n - 1]))
			return;
		q->n--;
	}
	for (i = q->n++; i > 0 && is_before(w, &q->v[i - 1]); i--)
		q->v[i] = q->v[i - 1];
	q->v[i] = *w;
}

/* Tells whether a step is to be looked at now. */
bool
jadvice_is_due(const struct jadvice_step *s, int64_t now_ms)
{
	return !s->is_in_call && now_ms >= s->look_ms;
}

/* Orders workers: those with room first, then those with the fewest runs, then
 * by what is free. Equal ones go by registration, so that choices are
 * reproducible. */
static int
compare_workers(const void *pa, const void *pb)
{
	const struct jadvice_worker *a = pa, *b = pb;

	if ((a->room > 0) != (b->room > 0))
		return a->room > 0 ? -1 : 1;
	if (a->room > 0 && a->nruns != b->nruns)
		return a->nruns < b->nruns ? -1 : 1;
	if (a->free != b->free)
		return a->free > b->free ? -1 : 1;
	return (a->num > b->num) - (a->num < b->num);
}

/* Workers taken from each failure domain. */
struct domains {
	const char *names[DOMAINS_MAX];
	size_t ntaken[DOMAINS_MAX];
	size_t n;
};

/* Returns the count of a domain; the last one is shared by further ones. */
static size_t *
count_of(struct domains *d, const char *name)
{
	size_t i;

	for (i = 0; i < d->n; i++) {
		if (strcmp(d->names[i], name) == 0)
			return &d->ntaken[i];
	}
	if (d->n == DOMAINS_MAX)
		return &d->ntaken[DOMAINS_MAX - 1];
	d->names[d->n++] = name;
	return &d->ntaken[i];
}

/* Moves up to max of n workers, which are in order, to out, taking the failure
 * domains in turn. */
static size_t
take_spread(
    struct jadvice_worker *v, size_t n, struct jadvice_worker *out, size_t max)
{
	struct domains d = { 0 };
	size_t i, k = 0, turn, *count;

	for (turn = 1; k < max && turn <= n; turn++) {
		size_t before = k;

		for (i = 0; i < n && k < max; i++) {
			if (v[i].id == NULL)
				continue;
			count = count_of(&d, v[i].domain);
			if (*count >= turn)
				continue;
			(*count)++;
			out[k++] = v[i];
			v[i].id = NULL;
		}
		if (k == before)
			break;
	}
	return k;
}

/* What jadvice_choose finds among the workers. */
struct survey {
	uint64_t room;	 /* tasks that fit on workers with a ticket */
	size_t nallowed; /* workers with a ticket */
	size_t nrenewed; /* to be named again, in out */
	size_t nnew;	 /* not asked about, moved to the front of v */
	size_t nwith_room;
};

/* Sorts the workers into those that need another ticket and those that were not
 * asked about. */
static void
survey_workers(const struct jadvice_step *s, const struct jadvice_terms *t,
    struct jadvice_worker *v, size_t n, int64_t now_ms,
    struct jadvice_worker *out, struct survey *u)
{
	/* Renewing earlier than half-way would name a worker at all times. */
	int64_t ahead_ms =
	    call_ms(t, JADVICE_WORKERS) + JADVICE_TIMEOUT_MS + JADVICE_PLACE_MS;
	struct jadvice_worker w;
	const struct known *k;
	size_t i;

	if (ahead_ms > t->valid_ms / 2)
		ahead_ms = t->valid_ms / 2;
	memset(u, 0, sizeof(*u));
	for (i = 0; i < n; i++) {
		w = v[i];
		k = g_hash_table_lookup(s->known, w.id);
		if (k == NULL) {
			if (w.room == 0 && !w.fits_empty)
				continue;
			u->nwith_room += w.room > 0;
			v[i] = v[u->nnew];
			v[u->nnew++] = w;
			continue;
		}
		if (!k->is_good)
			continue;
		if (is_valid(k, w.num, now_ms, JADVICE_PLACE_MS)) {
			u->room += w.room;
			u->nallowed++;
		}
		if (!is_valid(k, w.num, now_ms, ahead_ms) &&
		    now_ms >= k->retry_ms && u->nrenewed < JADVICE_WORKERS_MAX)
			out[u->nrenewed++] = w;
	}
}

/* Returns how many new workers a call may name: as many more with each call, as
 * the ones before brought too few. */
static size_t
limit_of(const struct jadvice_step *s)
{
	size_t most = JADVICE_WORKERS * ((size_t)s->ncalls + 1);

	return most < JADVICE_WORKERS_MAX ? most : JADVICE_WORKERS_MAX;
}

/* Chooses the workers that a call for a step names: those whose ticket runs
 * out, and new ones while those with a ticket have too little room. Before the
 * step is ready, one call about new ones is enough. */
size_t
jadvice_choose(struct jadvice_step *s, const struct jadvice_terms *t,
    struct jadvice_worker *v, size_t n, uint32_t ntasks, bool is_ready,
    int64_t now_ms, struct jadvice_worker *out)
{
	struct survey u;
	size_t most = limit_of(s), nnew, few;

	s->look_ms = now_ms + JADVICE_LOOK_MS;
	survey_workers(s, t, v, n, now_ms, out, &u);
	if (u.room >= ntasks || (!is_ready && s->ncalls > 0))
		return u.nrenewed;
	/* Workers without room are of use later, if there are none that are
	 * allowed. */
	few = ntasks < JADVICE_FEW ? ntasks : JADVICE_FEW;
	nnew = u.nwith_room;
	if (nnew < JADVICE_FEW && u.nallowed + u.nrenewed < few)
		nnew = u.nnew;
	if (s->ncalls > 0 && nnew < JADVICE_FEW &&
	    now_ms - s->called_ms < JADVICE_FEW_WAIT_MS)
		return u.nrenewed;
	if (most > JADVICE_WORKERS_MAX - u.nrenewed)
		most = JADVICE_WORKERS_MAX - u.nrenewed;
	if (u.nnew > 1)
		qsort(v, u.nnew, sizeof(*v), compare_workers);
	nnew = take_spread(v, nnew, out + u.nrenewed, most);
	return u.nrenewed + nnew;
}

/* ---- calls ---- */

/* Returns an instance that makes calls, NULL if it isn't known. */
static struct caller *
find_caller(struct jadvice *a, uint32_t instance)
{
	size_t i;

	for (i = 0; i < a->ncallers; i++) {
		if (a->callers[i].instance == instance)
			return &a->callers[i];
	}
	return NULL;
}

/* Sets the instances that make calls besides the leader. Those that left and
 * have no call are forgotten. */
void
jadvice_set_callers(struct jadvice *a, const uint32_t *v, size_t n)
{
	struct caller *c;
	size_t i, kept = 1;

	for (i = 1; i < a->ncallers; i++)
		a->callers[i].is_live = false;
	for (i = 0; i < n; i++) {
		c = find_caller(a, v[i]);
		if (c == NULL) {
			if (a->ncallers == JADVICE_CALLERS_MAX)
				break;
			c = &a->callers[a->ncallers++];
			memset(c, 0, sizeof(*c));
			c->instance = v[i];
			c->backoff_ms = JADVICE_RETRY_MS;
		}
		c->is_live = true;
	}
	for (i = 1; i < a->ncallers; i++) {
		if (a->callers[i].is_live || a->callers[i].serial != 0)
			a->callers[kept++] = a->callers[i];
	}
	a->ncallers = kept;
}

/* Finds a caller without a call that doesn't pause. */
bool
jadvice_find_caller(const struct jadvice *a, int64_t now_ms, uint32_t *instance)
{
	size_t i;

	for (i = 0; i < a->ncallers; i++) {
		const struct caller *c = &a->callers[i];

		if (!c->is_live || c->serial != 0 || now_ms < c->retry_ms)
			continue;
		*instance = c->instance;
		return true;
	}
	return false;
}

/* Records a call. */
uint64_t
jadvice_begin(struct jadvice *a, uint32_t instance, struct jadvice_step *s,
    const struct jadvice_terms *t, const struct jadvice_worker *v, size_t n,
    int64_t now_ms, int64_t *timeout_ms)
{
	struct caller *c = find_caller(a, instance);
	size_t i;

	*timeout_ms = call_ms(t, n) + JADVICE_TIMEOUT_MS;
	clear_call(c);
	c->serial = ++a->serial;
	job__task__init(&c->step);
	c->step.job = s->job;
	c->step.has_occurrence = c->step.has_step = 1;
	c->step.occurrence = s->occurrence;
	c->step.step = s->number;
	c->ids = g_ptr_array_new_with_free_func(g_free);
	c->nums = g_new(uint64_t, n);
	for (i = 0; i < n; i++) {
		g_ptr_array_add(c->ids, g_strdup(v[i].id));
		c->nums[i] = v[i].num;
	}
	c->sent_ms = now_ms;
	c->until_ms = now_ms + *timeout_ms + JADVICE_RELAY_MS;
	c->valid_ms = t->valid_ms;
	s->is_in_call = true;
	s->called_ms = now_ms;
	return c->serial;
}

/* Returns the ticket of a worker in an answer, NULL if it isn't good. */
static const char *
find_good(const struct jadvice_answer *r, const char *id)
{
	size_t i;

	for (i = 0; i < r->ngood; i++) {
		if (strcmp(r->good[i].worker, id) == 0)
			return r->good[i].ticket;
	}
	return NULL;
}

/* Stores what an answer says of a worker. One that was allowed and isn't listed
 * again may be unknown to the service for a while, as the set of allowed
 * workers doesn't change. */
static void
learn(struct jadvice_step *s, const struct caller *c, size_t i,
    const struct jadvice_answer *r, int64_t now_ms)
{
	const char *id = g_ptr_array_index(c->ids, i);
	const char *ticket = find_good(r, id);
	struct known *k = g_hash_table_lookup(s->known, id);

	if (k == NULL) {
		k = g_new0(struct known, 1);
		g_hash_table_insert(s->known, g_strdup(id), k);
	}
	if (ticket == NULL) {
		k->retry_ms = now_ms + JADVICE_REJECTED_MS;
		return;
	}
	if (k->num != c->nums[i])
		k->nrefused = 0;
	g_free(k->ticket);
	k->is_good = true;
	k->ticket = g_strdup(ticket);
	k->num = c->nums[i];
	k->until_ms = c->sent_ms + c->valid_ms;
}

/* Sets when a caller gets its next call. */
static void
pause_caller(struct caller *c, enum jadvice_result result, int64_t now_ms)
{
	if (result == JADVICE_OK) {
		c->backoff_ms = JADVICE_RETRY_MS;
		c->retry_ms = now_ms;
		return;
	}
	c->retry_ms = now_ms + c->backoff_ms;
	c->backoff_ms = MIN(c->backoff_ms * 2, JADVICE_RETRY_MAX_MS);
}

/* Records the end of a call. Answers to calls that have ended are dropped. */
void
jadvice_end(struct jadvice *a, const struct jadvice_answer *r, int64_t now_ms,
    struct jadvice_outcome *o)
{
	struct caller *c = find_caller(a, r->instance);
	struct jadvice_step *s;
	size_t i;

	memset(o, 0, sizeof(*o));
	if (c == NULL || c->serial == 0 || c->serial != r->serial)
		return;
	o->expected = true;
	o->step = c->step;
	o->nasked = c->ids->len;
	o->took_ms = now_ms - c->sent_ms;
	s = find_step(a, &c->step);
	o->has_step = s != NULL;
	if (s != NULL) {
		s->is_in_call = false;
		s->look_ms = now_ms;
		s->ncalls += r->result == JADVICE_OK;
	}
	for (i = 0; s != NULL && r->result == JADVICE_OK && i < c->ids->len;
	     i++) {
		learn(s, c, i, r, now_ms);
		o->ngood += find_good(r, g_ptr_array_index(c->ids, i)) != NULL;
	}
	pause_caller(c, r->result, now_ms);
	clear_call(c);
}

/* Finds a call whose time limit has passed, or whose caller is gone. */
bool
jadvice_find_overdue(
    const struct jadvice *a, int64_t now_ms, struct jadvice_answer *r)
{
	size_t i;

	for (i = 0; i < a->ncallers; i++) {
		const struct caller *c = &a->callers[i];

		if (c->serial == 0 || (c->is_live && now_ms < c->until_ms))
			continue;
		memset(r, 0, sizeof(*r));
		r->instance = c->instance;
		r->serial = c->serial;
		r->result = JADVICE_NO_ANSWER;
		return true;
	}
	return false;
}

/* Returns the number of calls in flight. */
size_t
jadvice_count_calls(const struct jadvice *a)
{
	size_t i, n = 0;

	for (i = 0; i < a->ncallers; i++)
		n += a->callers[i].serial != 0;
	return n;
}
