#include <stdlib.h>
#include <string.h>

#include "job/jadvice_impl.h"

/* What is known of steps and workers, and which workers a call names. */

/* Most failure domains that are told apart when workers are spread. */
#define DOMAINS_MAX 64

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
	struct jadvice_known *k = p;

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

/* Frees everything; calls in flight are forgotten. */
void
jadvice_free(struct jadvice *a)
{
	size_t i;

	if (a == NULL)
		return;
	for (i = 0; i < a->ncallers; i++)
		jadvice_clear_call(&a->callers[i]);
	g_hash_table_destroy(a->steps);
	g_free(a);
}

/* Returns the record of a step, NULL if there is none. */
struct jadvice_step *
jadvice_step_find(const struct jadvice *a, const Job__Task *t)
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
	struct jadvice_step *s = jadvice_step_find(a, t);

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
is_valid(const struct jadvice_known *k, uint64_t num, int64_t now_ms,
    int64_t left_ms)
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
		const struct jadvice_known *k = value;

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
	const struct jadvice_known *k = g_hash_table_lookup(s->known, id);

	return is_valid(k, num, now_ms, JADVICE_LAST_MS) ? k->ticket : NULL;
}

/* Notes that a worker has refused its ticket: it needs another one. */
void
jadvice_reject(
    struct jadvice_step *s, const char *id, uint64_t num, int64_t now_ms)
{
	struct jadvice_known *k = g_hash_table_lookup(s->known, id);
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
int64_t
jadvice_call_ms(const struct jadvice_terms *t, size_t n)
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
	    (is_first ? 1 : 0.5) /
	    (double)(jadvice_call_ms(t, JADVICE_WORKERS) + 1);
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

/* Leaves a step for which no call was needed until a later time. */
void
jadvice_put_off(struct jadvice_step *s, int64_t until_ms)
{
	s->look_ms = until_ms;
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

/* Returns how many workers a call may name. Tickets count from when the call is
 * ordered: one that takes most of their validity brings none that can be
 * used. */
static size_t
call_limit(const struct jadvice_terms *t)
{
	int64_t left_ms = t->valid_ms - JADVICE_PLACE_MS - t->decide_ms;
	int64_t most = JADVICE_WORKERS_MAX;

	if (t->each_ms > 0 && left_ms / 2 / t->each_ms < most)
		most = left_ms / 2 / t->each_ms;
	return most > 1 ? (size_t)most : 1;
}

/* Sorts the workers into those that need another ticket and those that were not
 * asked about. */
static void
survey_workers(const struct jadvice_step *s, const struct jadvice_terms *t,
    struct jadvice_worker *v, size_t n, int64_t now_ms,
    struct jadvice_worker *out, struct survey *u)
{
	/* Renewing earlier than half-way would name a worker at all times. */
	int64_t ahead_ms = jadvice_call_ms(t, JADVICE_WORKERS) +
	    JADVICE_TIMEOUT_MS + JADVICE_PLACE_MS;
	struct jadvice_worker w;
	const struct jadvice_known *k;
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
		    now_ms >= k->retry_ms && u->nrenewed < call_limit(t))
			out[u->nrenewed++] = w;
	}
}

/* Returns how many new workers a call may name: as many more with each call, as
 * the ones before brought too few. */
static size_t
limit_of(const struct jadvice_step *s, const struct jadvice_terms *t)
{
	size_t most = JADVICE_WORKERS * ((size_t)s->ncalls + 1);

	return most < call_limit(t) ? most : call_limit(t);
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
	size_t most = limit_of(s, t), nnew, few;

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
	if (most > call_limit(t) - u.nrenewed)
		most = call_limit(t) - u.nrenewed;
	if (u.nnew > 1)
		qsort(v, u.nnew, sizeof(*v), compare_workers);
	nnew = take_spread(v, nnew, out + u.nrenewed, most);
	return u.nrenewed + nnew;
}
