#include <stdlib.h>
#include <string.h>

#include "job/jst.h"

/* Jobs: creation and end, what they take in memory, and the limit for that. */

/* The specification of a job that has ended and has no task assigned. */
static char no_text[] = "";
static const Job__Spec no_spec = {
	PROTOBUF_C_MESSAGE_INIT(&job__spec__descriptor), .text = no_text
};

/* ---- lists ---- */

/* Returns a list, and its last job, of those that jobs can be in. */
static struct jst_job **
get_list(struct jst *s, enum jst_list list, struct jst_job ***last)
{
	switch (list) {
	case JST_LIST_ACTIVE:
		*last = &s->active_last;
		return &s->active;
	case JST_LIST_DORMANT:
		*last = &s->dormant_last;
		return &s->dormant;
	case JST_LIST_ENDED:
		*last = &s->ended_last;
		return &s->ended;
	case JST_LIST_NONE:
	case JST_LISTS:
		break;
	}
	return NULL;
}

/* Removes a job from its list. */
static void
list_remove(struct jst *s, struct jst_job *j)
{
	struct jst_job **last, **head = get_list(s, j->list, &last);

	if (head == NULL)
		return;
	if (j->prev != NULL)
		j->prev->next = j->next;
	else
		*head = j->next;
	if (j->next != NULL)
		j->next->prev = j->prev;
	else
		*last = j->prev;
	j->prev = j->next = NULL;
}

/* Moves a job to the end of a list. */
void
jst_job_list(struct jst *s, struct jst_job *j, enum jst_list list)
{
	struct jst_job **last, **head;

	list_remove(s, j);
	j->list = list;
	head = get_list(s, list, &last);
	if (head == NULL)
		return;
	j->prev = *last;
	if (*last != NULL)
		(*last)->next = j;
	else
		*head = j;
	*last = j;
}

/* ---- queues ---- */

/* Returns what the jobs of a queue take, NULL if it has none. */
struct jst_use *
jst_find_use(const struct jst *s, const char *queue)
{
	return g_hash_table_lookup(s->uses, queue);
}

/* Adds a job to what its queue's jobs take. */
static void
use_add(struct jst *s, struct jst_job *j)
{
	struct jst_use *u = jst_find_use(s, j->queue);

	if (u == NULL) {
		u = jst_alloc(1, sizeof(*u));
		u->queue = jst_copy_text(j->queue);
		g_hash_table_insert(s->uses, u->queue, u);
	}
	u->njobs++;
	u->nactive++;
	u->nwaiting++;
	j->use = u;
}

/* Removes a job from what its queue's jobs take. */
static void
use_remove(struct jst *s, struct jst_job *j)
{
	struct jst_use *u = j->use;

	j->use = NULL;
	if (u == NULL || --u->njobs > 0)
		return;
	g_hash_table_remove(s->uses, u->queue);
	free(u->queue);
	free(u);
}

/* Notes that a worker has begun a task of a job. */
void
jst_job_begun(struct jst_job *j)
{
	if (!j->started && j->state == JST_ACTIVE && j->use != NULL)
		j->use->nwaiting--;
	j->started = true;
}

/* ---- memory ---- */

/* Returns what a job takes with this many occurrences in memory. An active one
 * always has the memory for one. */
static size_t
job_bytes(const struct jst_job *j, uint32_t n)
{
	if (j->list == JST_LIST_NONE)
		return 0;
	if (j->state != JST_ACTIVE && n == 0)
		return jmem_ended(j->queue);
	return j->base_bytes + j->extra_bytes + j->occ_bytes * (n == 0 ? 1 : n);
}

/* Counts again what a job takes. */
void
jst_update_memory(struct jst *s, struct jst_job *j)
{
	size_t counted = job_bytes(j, j->ncounted);
	size_t local = job_bytes(j, j->ncounted + j->nsoft);

	s->bytes += counted - j->counted_bytes;
	s->local_bytes += local - j->local_bytes;
	if (j->use != NULL)
		j->use->bytes += counted - j->counted_bytes;
	j->counted_bytes = counted;
	j->local_bytes = local;
}

/* Tells whether a job of this size fits beside others of its queue and of all
 * queues. */
static bool
fits(const struct jst *s, size_t queue_bytes, size_t bytes, size_t need)
{
	return bytes <= s->max.jobs && need <= s->max.jobs - bytes &&
	    queue_bytes + need <= JMEM_QUEUE_FACTOR * (s->max.jobs - bytes);
}

/* Tells whether there is room for a job. */
bool
jst_admits(const struct jst *s, const Job__Submit *m)
{
	const struct jst_use *u = jst_find_use(s, m->queue);

	return s->max.jobs == 0 ||
	    fits(s, u == NULL ? 0 : u->bytes, s->bytes,
		jmem_job(m) + jmem_occurrence(m->spec));
}

/* Tells whether a job could be accepted if there were no other. */
bool
jst_can_ever_admit(const struct jst *s, const Job__Submit *m)
{
	return s->max.jobs == 0 ||
	    fits(s, 0, 0, jmem_job(m) + jmem_occurrence(m->spec));
}

/* Returns what a checkpoint of a step takes beyond what was reserved for it. */
size_t
jst_checkpoint_extra(const struct jst_step *st, const char *checkpoint)
{
	size_t bytes = jmem_checkpoint(checkpoint);
	size_t reserve = !st->spec->checkpoints
	    ? 0
	    : jmem_block(JMEM_CHECKPOINT_BYTES + 1) +
		JMEM_SNAPSHOT_COPIES * (JMEM_CHECKPOINT_BYTES + 2);

	return bytes > reserve ? bytes - reserve : 0;
}

/* Replaces a checkpoint of a step; false if there is no room for it. */
bool
jst_save_checkpoint(
    struct jst *s, struct jst_step *st, char **to, const char *checkpoint)
{
	size_t before = jst_checkpoint_extra(st, *to);
	size_t after = jst_checkpoint_extra(st, checkpoint);

	if (!s->loading && s->max.jobs > 0 && after > before &&
	    (s->bytes > s->max.jobs || after - before > s->max.jobs - s->bytes))
		return false;
	st->job->extra_bytes += after - before;
	jst_update_memory(s, st->job);
	free(*to);
	*to = jst_copy_text(checkpoint);
	return true;
}

/* Sets the limits by the smallest memory that is recorded. */
static void
update_max(struct jst *s)
{
	uint32_t least = 0;
	size_t i;

	for (i = 0; i < s->nlimits; i++) {
		if (least == 0 || s->limits[i].memory_mb < least)
			least = s->limits[i].memory_mb;
	}
	memset(&s->max, 0, sizeof(s->max));
	if (least > 0)
		s->max = jmem_split(least);
}

/* Records the memory of a replica, or forgets that of a former one. */
void
jst_apply_limit(struct jst *s, const Job__Limit *m, struct jst_result *r)
{
	size_t i;

	for (i = 0; i < s->nlimits && s->limits[i].instance != m->instance; i++)
		;
	if (i == JST_LIMITS_MAX) {
		r->status = STATUS_FULL;
		return;
	}
	if (m->memory_mb == 0) {
		if (i < s->nlimits)
			s->limits[i] = s->limits[--s->nlimits];
	} else {
		s->limits =
		    realloc(s->limits, (s->nlimits + 1) * sizeof(*s->limits));
		if (s->limits == NULL)
			abort();
		s->nlimits += i == s->nlimits;
		s->limits[i].instance = m->instance;
		s->limits[i].memory_mb = m->memory_mb;
	}
	update_max(s);
}

/* ---- creation and end ---- */

/* Frees a job. */
void
jst_job_free(struct jst_job *j)
{
	uint32_t i;

	for (i = 0; i < j->nlive; i++)
		jst_occ_free(j->live[i]);
	if (j->use != NULL && --j->use->njobs == 0) {
		free(j->use->queue);
		free(j->use);
	}
	free(j->live);
	free(j->queue);
	jst_free_msg(j->submit);
	free(j);
}

/* Adds a job without occurrences to the state. */
static struct jst_job *
add_job(struct jst *s, uint64_t id, const char *queue, int64_t submitted_ms)
{
	struct jst_job *j = jst_alloc(1, sizeof(*j));

	j->id = id;
	j->queue = jst_copy_text(queue);
	j->submitted_ms = submitted_ms;
	j->spec = &no_spec;
	g_hash_table_insert(s->jobs, &j->id, j);
	return j;
}

/* Adds a submitted job to the state. The only occurrence of a job without times
 * is in memory from now on. */
struct jst_job *
jst_job_new(struct jst *s, const Job__Submit *m)
{
	struct jst_job *j = add_job(s, m->job, m->queue, m->at_ms);

	j->submit = jst_copy_msg(&m->base);
	j->spec = j->submit->spec;
	j->occurrences = j->spec->repeat > 0 ? j->spec->repeat : 1;
	j->base_bytes = jmem_job(j->submit);
	j->occ_bytes = jmem_occurrence(j->spec);
	use_add(s, j);
	jst_job_list(s, j, JST_LIST_DORMANT);
	if (j->spec->repeat == 0)
		jst_occ_touch(s, j, 0);
	jst_update_memory(s, j);
	jst_set_timer(s, j);
	return j;
}

/* Adds a job to the state that has ended, or was cancelled before it was
 * submitted. The caller sets its state. */
struct jst_job *
jst_job_new_ended(
    struct jst *s, uint64_t id, const char *queue, int64_t submitted_ms)
{
	struct jst_job *j = add_job(s, id, queue, submitted_ms);

	j->state = JST_CANCELLED;
	if (queue[0] != '\0') {
		use_add(s, j);
		j->use->nactive--;
		j->use->nwaiting--;
	}
	jst_job_list(s, j, JST_LIST_ENDED);
	jst_update_memory(s, j);
	return j;
}

/* Drops the specification of an ended job that has nothing in memory. */
void
jst_job_compact(struct jst *s, struct jst_job *j)
{
	if (j->state == JST_ACTIVE || j->nlive > 0)
		return;
	j->spec = &no_spec;
	jst_free_msg(j->submit);
	j->submit = NULL;
	free(j->live);
	j->live = NULL;
	j->live_cap = 0;
}

/* Ends an active job and moves it to the list of ended ones. */
void
jst_job_end(struct jst *s, struct jst_job *j, enum jst_job_state state,
    int64_t at_ms, struct jst_result *r)
{
	uint32_t i;

	if (j->state != JST_ACTIVE)
		return;
	jst_clear_timer(s, j);
	j->use->nactive--;
	j->use->nwaiting -= !j->started;
	j->state = state;
	j->ended_ms = at_ms;
	jst_job_list(s, j, JST_LIST_ENDED);
	for (i = 0; i < j->nlive; i++)
		jst_occ_check(s, j->live[i]);
	jst_update_memory(s, j);
	jst_job_compact(s, j);
	r->job_ended = true;
}

/* Removes an ended job from the state. Its memory stays while a run of the
 * leader refers to it. */
void
jst_job_forget(struct jst *s, struct jst_job *j)
{
	s->nwithdrawn -= j->is_withdrawn;
	g_hash_table_remove(s->jobs, &j->id);
	jst_job_list(s, j, JST_LIST_NONE);
	jst_update_memory(s, j);
	use_remove(s, j);
	if (j->nlive == 0)
		jst_job_free(j);
}
