#include <string.h>

#include "job/jadvice_impl.h"

/* The calls in flight, and the instances that make them. */

/* Removes the call of a caller. */
void
jadvice_clear_call(struct jadvice_caller *c)
{
	c->serial = 0;
	if (c->ids != NULL)
		g_ptr_array_free(c->ids, TRUE);
	g_free(c->nums);
	c->ids = NULL;
	c->nums = NULL;
}

/* Returns an instance that makes calls, NULL if it isn't known. */
static struct jadvice_caller *
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
	struct jadvice_caller *c;
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
		const struct jadvice_caller *c = &a->callers[i];

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
	struct jadvice_caller *c = find_caller(a, instance);
	size_t i;

	*timeout_ms = jadvice_call_ms(t, n) + JADVICE_TIMEOUT_MS;
	jadvice_clear_call(c);
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
learn(struct jadvice_step *s, const struct jadvice_caller *c, size_t i,
    const struct jadvice_answer *r, int64_t now_ms)
{
	const char *id = g_ptr_array_index(c->ids, i);
	const char *ticket = find_good(r, id);
	struct jadvice_known *k = g_hash_table_lookup(s->known, id);

	if (k == NULL) {
		k = g_new0(struct jadvice_known, 1);
		g_hash_table_insert(s->known, g_strdup(id), k);
	}
	if (ticket == NULL) {
		k->retry_ms = now_ms + JADVICE_REJECTED_MS;
		return;
	}
	/* A ticket that is replaced at its end wasn't refused. */
	if (k->num != c->nums[i] || k->ticket != NULL)
		k->nrefused = 0;
	g_free(k->ticket);
	k->is_good = true;
	k->ticket = g_strdup(ticket);
	k->num = c->nums[i];
	k->until_ms = c->sent_ms + c->valid_ms;
}

/* Sets when a caller gets its next call. */
static void
pause_caller(
    struct jadvice_caller *c, enum jadvice_result result, int64_t now_ms)
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
	struct jadvice_caller *c = find_caller(a, r->instance);
	struct jadvice_step *s;
	size_t i;

	memset(o, 0, sizeof(*o));
	if (c == NULL || c->serial == 0 || c->serial != r->serial)
		return;
	o->expected = true;
	o->step = c->step;
	o->nasked = c->ids->len;
	o->took_ms = now_ms - c->sent_ms;
	s = jadvice_step_find(a, &c->step);
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
	jadvice_clear_call(c);
}

/* Finds a call whose time limit has passed, or whose caller is gone. */
bool
jadvice_find_overdue(
    const struct jadvice *a, int64_t now_ms, struct jadvice_answer *r)
{
	size_t i;

	for (i = 0; i < a->ncallers; i++) {
		const struct jadvice_caller *c = &a->callers[i];

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
