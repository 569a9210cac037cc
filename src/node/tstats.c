#include "node/tstats.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "control/control.pb-c.h"
#include "request/eng.h"

/*
 * Registers a counter set; sets of the same module are summed. Ignored if there
 * is no room left.
 */
void
node_counters_add(
    struct node_counters *c, const char *module, const struct ctr_set *set)
{
	if (set == NULL || c->n == sizeof(c->v) / sizeof(c->v[0]))
		return;
	c->v[c->n].module = module;
	c->v[c->n].set = set;
	c->n++;
}

/* Adds to a number in an object. */
static void
add_counter(struct json_object *group, const char *name, uint64_t by)
{
	struct json_object *old;

	if (json_object_object_get_ex(group, name, &old))
		by += json_object_get_uint64(old);
	json_object_object_add(group, name, json_object_new_uint64(by));
}

/* Renders all counters as JSON, including those at zero. */
struct str
tstats_counters_json(TALLOC_CTX *ctx, const struct node_counters *c)
{
	struct json_object *o = json_object_new_object(), *group;
	const struct ctr_set *set;
	struct str out;
	size_t i, k, len;
	const char *text;

	for (i = 0; i < c->n; i++) {
		set = c->v[i].set;
		if (!json_object_object_get_ex(o, c->v[i].module, &group)) {
			group = json_object_new_object();
			json_object_object_add(o, c->v[i].module, group);
		}
		for (k = 0; k < set->ncounters; k++)
			add_counter(group, set->desc[k].name, ctr_get(set, k));
	}
	text =
	    json_object_to_json_string_length(o, JSON_C_TO_STRING_PLAIN, &len);
	out = str_dup(ctx, str_mem(text, len));
	json_object_put(o);
	return out;
}

/* Allocates n zeroed items; aborts if there is no memory. */
static void *
alloc_array(TALLOC_CTX *ctx, size_t n, size_t size)
{
	void *p = talloc_zero_size(ctx, n * size + 1);

	if (p == NULL)
		abort();
	return p;
}

/* Fills in the slots that this thread holds and uses of each worker. */
static void
fill_slots(TALLOC_CTX *ctx, const struct eng_stats *s, Control__Beat *b)
{
	Control__SlotUse *u = alloc_array(ctx, s->nslots, sizeof(*u));
	size_t i;

	b->slots = alloc_array(ctx, s->nslots, sizeof(*b->slots));
	b->n_slots = s->nslots;
	for (i = 0; i < s->nslots; i++) {
		control__slot_use__init(&u[i]);
		u[i].epoch = s->slots[i].epoch;
		u[i].held = s->slots[i].held;
		u[i].used = s->slots[i].used;
		u[i].has_grant_seq = 1;
		u[i].grant_seq = s->slots[i].grant_seq;
		b->slots[i] = &u[i];
	}
}

/* Fills in the queued and running requests of each class and how they ended. */
static void
fill_demand(TALLOC_CTX *ctx, const struct eng_stats *s, Control__Beat *b)
{
	Control__ClassDemand *d = alloc_array(ctx, s->ndemand, sizeof(*d));
	size_t i;

	b->demand = alloc_array(ctx, s->ndemand, sizeof(*b->demand));
	b->n_demand = s->ndemand;
	for (i = 0; i < s->ndemand; i++) {
		control__class_demand__init(&d[i]);
		d[i].name = str_cstr(ctx, s->demand[i].name);
		d[i].queued = s->demand[i].queued;
		d[i].running = s->demand[i].running;
		d[i].has_answered = d[i].has_late = d[i].has_refused = 1;
		d[i].answered = s->demand[i].answered;
		d[i].late = s->demand[i].late;
		d[i].refused = s->demand[i].refused;
		b->demand[i] = &d[i];
	}
}

/* Fills in the latency histograms by worker and class. */
static void
fill_latency(TALLOC_CTX *ctx, const struct eng_stats *s, Control__Beat *b)
{
	Control__Latency *l = alloc_array(ctx, s->nlatency, sizeof(*l));
	size_t i;

	b->latency = alloc_array(ctx, s->nlatency, sizeof(*b->latency));
	b->n_latency = s->nlatency;
	for (i = 0; i < s->nlatency; i++) {
		control__latency__init(&l[i]);
		l[i].epoch = s->latency[i].epoch;
		l[i].class_name = str_cstr(ctx, s->latency[i].class_name);
		l[i].n_bucket = l[i].n_count = s->latency[i].nbuckets;
		l[i].bucket = (uint32_t *)(uintptr_t)s->latency[i].bucket;
		l[i].count = (uint32_t *)(uintptr_t)s->latency[i].count;
		b->latency[i] = &l[i];
	}
}

/*
 * Returns a message with the engine's statistics; this resets the engine's
 * latency counts.
 */
struct mbox_msg *
tstats_message(struct eng *eng, unsigned thread)
{
	TALLOC_CTX *tmp = talloc_new(NULL);
	Control__Beat b = CONTROL__BEAT__INIT;
	struct eng_stats s;
	struct mbox_msg *m;

	memset(&s, 0, sizeof(s));
	eng_stats(eng, tmp, &s);
	fill_slots(tmp, &s, &b);
	fill_demand(tmp, &s, &b);
	fill_latency(tmp, &s, &b);
	m = mbox_msg_new(MBOX_STATS, control__beat__get_packed_size(&b));
	control__beat__pack(&b, (uint8_t *)(uintptr_t)m->data.p);
	m->thread = thread;
	talloc_free(tmp);
	return m;
}
