#include <stdlib.h>
#include <string.h>

#include "job/jlead_pool_impl.h"

/* Moves between pools: the input of the decision, from the sessions of the
 * workers and the last list of machines. */

/* A list that was requested longer ago, apart from the time that its read took,
 * decides nothing; several reads may fail. */
#define LIST_AGE_MAX_MS 3000
/* A machine that moved counts as on its way for this long, until its new worker
 * has answered a poll. */
#define COMING_MAX_MS 10000
/* A pair of pools isn't tried again for this long after a refusal; from the
 * requirements. */
#define REFUSED_PAIR_MS 60000

/* Returns the index of a service, JPOOL_NONE if it isn't configured. */
size_t
jl_pool_index(const struct jl_pools *p, const char *service)
{
	size_t k = service == NULL
	    ? 0
	    : GPOINTER_TO_SIZE(g_hash_table_lookup(p->index, service));

	return k == 0 ? JPOOL_NONE : k - 1;
}

/* Returns the name of a pool. */
const char *
jl_pool_name(const struct jlead *jl, size_t pool)
{
	return jl->st->config->services[pool]->name;
}

/* Returns how long ago a move's state was recorded, by the time of day; 0 if
 * that is in the future. */
int64_t
jl_pool_age_ms(const struct jlead *jl, const Job__Move *m)
{
	return MAX(jl->wall_ms - m->at_ms, 0);
}

/* Tells whether a machine is away from its spare pool. */
bool
jl_pool_is_away(const struct jl_pools *p, const Job__Move *m)
{
	return m->state == JOB__MOVE_STATE__MOVE_DONE && m->home != NULL &&
	    strcmp(m->home, m->to) != 0 &&
	    jl_pool_index(p, m->home) != JPOOL_NONE;
}

/* Returns the key of a pair of pools; the caller frees it. */
static char *
pair_key(const char *from, const char *to)
{
	return g_strdup_printf("%s %s", from, to);
}

/* Remembers that a move between two pools was refused. */
void
jl_pool_refuse(struct jlead *jl, const char *from, const char *to)
{
	int64_t *until = g_new(int64_t, 1);

	*until = jl_wave_now_ms(jl) + REFUSED_PAIR_MS;
	g_hash_table_replace(jl->pools->refused, pair_key(from, to), until);
}

/* Tells whether a move between two pools was refused lately. */
static bool
is_refused(void *arg, size_t from, size_t to)
{
	struct jlead *jl = arg;
	const int64_t *until;
	char *key;

	if (g_hash_table_size(jl->pools->refused) == 0)
		return false;
	key = pair_key(jl_pool_name(jl, from), jl_pool_name(jl, to));
	until = g_hash_table_lookup(jl->pools->refused, key);
	g_free(key);
	return until != NULL && jl_wave_now_ms(jl) < *until;
}

/* ---- workers ---- */

/* Tells whether a place on a worker is kept by the last plan. */
static bool
is_reserved(const struct jlead *jl, const struct wsess *ws)
{
	const struct jplan_worker *k = &jl->plan_workers[ws->plan_index];

	return k->w == ws->w &&
	    (k->reserved || k->room_slot > 0 || k->hold.start_ms > 0);
}

/* Tells whether a worker has no work, and nothing of it is on its way. */
static bool
is_idle(const struct jlead *jl, const struct wsess *ws)
{
	return jl_pool_is_usable(jl, ws) && !ws->awaits_maintenance &&
	    !ws->in_maintenance && ws->runs == NULL && ws->ends_pending == 0 &&
	    !is_reserved(jl, ws);
}

/* Tells whether a run frees its resources before a move could be done, by its
 * declared time. */
static bool
ends_soon(const struct jlead *jl, const struct jrun *r)
{
	return r->phase == RUN_ENDING ||
	    (!r->step->spec->lasting &&
		(int64_t)r->step->spec->estimate_ms -
			clk_diff_ms(jl->now, r->assigned_at) <=
		    JPOOL_MOVE_MS);
}

/* Adds a worker to what its pool has, if tasks wait there. */
static void
add_host(struct jlead *jl, const struct wsess *ws)
{
	struct jl_pools *p = jl->pools;
	const Job__Worker *w = ws->w->info;
	struct jpool_host h = { .pool = jl_pool_index(p, w->service) };
	const struct jrun *r;

	if (h.pool == JPOOL_NONE ||
	    g_array_index(p->pools, struct jpool_pool, h.pool).ndemands == 0 ||
	    !jl_pool_is_usable(jl, ws) || !jl_takes_new_work(ws))
		return;
	h.labels.v = (const char *const *)(const void *)w->labels;
	h.labels.n = w->n_labels;
	h.soon.cpu = (int64_t)w->cpu_milli - ws->cpu_allocated;
	h.soon.mem = (int64_t)w->mem_mb - ws->mem_allocated;
	h.soon.accel = (int64_t)w->accel - ws->accel_allocated;
	for (r = ws->runs; r != NULL; r = r->next) {
		if (!ends_soon(jl, r))
			continue;
		jl_pool_add_tasks(&h.soon, r->step->spec, 1);
		if (r->step->spec->fills)
			h.soon.cpu -= r->step->spec->cpu_milli;
	}
	g_array_append_val(p->hosts, h);
}

/* ---- machines ---- */

/* Tells whether the last list of machines is recent enough. */
bool
jl_pool_list_is_recent(const struct jlead *jl)
{
	const struct jl_waves *v = jl->waves;

	return v->nlists > 0 &&
	    jl_wave_now_ms(jl) - v->list_ms <= LIST_AGE_MAX_MS + v->read_ms;
}

/* Tells whether a listed machine may be moved now: empty, not named by an open
 * wave, not in an evacuated domain, not draining. A spare machine is off, and
 * may be listed as down. */
bool
jl_pool_may_move(
    const struct jlead *jl, const char *machine, const struct jl_seen *s)
{
	const struct jl_pools *p = jl->pools;
	size_t pool = s == NULL ? JPOOL_NONE : jl_pool_index(p, s->pool);
	const struct wsess *ws;

	if (s == NULL || s->pool == NULL || !jl_pool_list_is_recent(jl) ||
	    jl_wave_now_ms(jl) < s->move_after_ms ||
	    g_hash_table_contains(p->in_wave, machine) ||
	    (s->zone != NULL && jevac_is_closed(jl->st, s->zone)))
		return false;
	ws = jl_wave_session(jl, s->worker);
	if (ws != NULL && !is_idle(jl, ws))
		return false;
	if (pool != JPOOL_NONE &&
	    g_array_index(p->pools, struct jpool_pool, pool).is_spare)
		return s->state == JCLOUD_UP || s->state == JCLOUD_DOWN;
	return s->state == JCLOUD_UP && ws != NULL &&
	    strcmp(ws->w->info->service, s->pool) == 0;
}

/* Fills the capacity and labels of a machine: those of its worker, else those
 * listed. */
static void
fill_size(const struct jlead *jl, const struct jl_seen *s, const char *worker,
    struct jpool_machine *m)
{
	const struct wsess *ws = jl_wave_session(jl, worker);
	const Job__Worker *w;

	if (ws != NULL) {
		w = ws->w->info;
		m->size.cpu = w->cpu_milli;
		m->size.mem = w->mem_mb;
		m->size.accel = w->accel;
		m->labels.v = (const char *const *)(const void *)w->labels;
		m->labels.n = w->n_labels;
	} else if (s != NULL) {
		m->size = s->size;
		m->labels.v = (const char *const *)(const void *)s->labels;
		m->labels.n = s->labels == NULL ? 0 : g_strv_length(s->labels);
	}
}

/* Fills for how long a machine has been empty, as seen by this leader. */
static void
fill_empty(const struct jlead *jl, struct jl_seen *s, struct jpool_machine *m)
{
	const struct wsess *ws = jl_wave_session(jl, s->worker);

	if (ws == NULL || ws->runs != NULL || !ws->contacted)
		s->empty_since_ms = 0;
	else if (s->empty_since_ms == 0)
		s->empty_since_ms = jl_wave_now_ms(jl);
	m->empty_ms =
	    s->empty_since_ms == 0 ? 0 : jl_wave_now_ms(jl) - s->empty_since_ms;
}

/* Adds a machine to the input. */
static void
add_machine(struct jl_pools *p, const struct jpool_machine *m, const char *name)
{
	g_array_append_vals(p->machines, m, 1);
	g_ptr_array_add(p->names, g_strdup(name));
}

/* Returns the state of a machine without a move. */
static struct jpool_machine
new_machine(void)
{
	struct jpool_machine m = { .pool = JPOOL_NONE,
		.to = JPOOL_NONE,
		.home = JPOOL_NONE,
		.moved_ms = INT64_MAX };

	return m;
}

/* Adds a machine with an open move. If a pool of it isn't configured any more,
 * it isn't needed. */
static void
add_open(struct jlead *jl, const Job__Move *r)
{
	struct jl_pools *p = jl->pools;
	struct jpool_machine m = new_machine();
	size_t to = jl_pool_index(p, r->to);

	m.pool = jl_pool_index(p, r->from);
	if (m.pool != JPOOL_NONE ||
	    (r->home != NULL && strcmp(r->home, r->to) == 0))
		m.to = to;
	fill_size(jl, jl_wave_find_seen(jl->waves, r->machine), r->worker, &m);
	add_machine(p, &m, r->machine);
}

/* Adds a machine that was moved. */
static void
add_moved(struct jlead *jl, const Job__Move *r)
{
	struct jl_pools *p = jl->pools;
	struct jl_seen *s = jl_wave_find_seen(jl->waves, r->machine);
	struct jpool_machine m = new_machine();
	const struct wsess *ws;
	bool is_there =
	    s != NULL && s->pool != NULL && strcmp(s->pool, r->to) == 0;

	m.pool = jl_pool_index(p, r->to);
	if (jl_pool_is_away(p, r))
		m.home = jl_pool_index(p, r->home);
	m.moved_ms = jl_pool_age_ms(jl, r);
	ws = s != NULL && is_there ? jl_wave_session(jl, s->worker) : NULL;
	m.is_coming =
	    m.moved_ms < COMING_MAX_MS && (ws == NULL || !ws->contacted);
	m.is_free = is_there && jl_pool_may_move(jl, r->machine, s);
	if (s != NULL)
		fill_empty(jl, s, &m);
	fill_size(jl, s, s == NULL ? NULL : s->worker, &m);
	add_machine(p, &m, r->machine);
}

/* Tells whether a pool could give a machine for tasks that remain. */
static bool
can_help(const struct jpool_input *in, size_t pool)
{
	size_t i;

	for (i = 0; i < in->ndemands; i++) {
		if (in->demands[i].nmissing > 0 &&
		    jpool_may_give(in, pool, in->demands[i].pool))
			return true;
	}
	return false;
}

/* Adds the listed machines without a record that may be moved. */
static void
add_free_machines(struct jlead *jl)
{
	struct jl_pools *p = jl->pools;
	bool *can_give = g_new0(bool, p->in.npools + 1);
	GHashTable *moved = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter it;
	gpointer key, value;
	size_t i;

	for (i = 0; i < jl->st->nmoves; i++)
		g_hash_table_add(moved, jl->st->moves[i]->machine);
	for (i = 0; i < p->in.npools; i++)
		can_give[i] = can_help(&p->in, i);
	g_hash_table_iter_init(&it, jl->waves->seen);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct jl_seen *s = value;
		struct jpool_machine m = new_machine();

		m.pool = jl_pool_index(p, s->pool);
		if (m.pool == JPOOL_NONE || !can_give[m.pool] ||
		    s->list < jl->waves->nlists ||
		    g_hash_table_contains(moved, key) ||
		    g_hash_table_contains(p->notes, key) ||
		    !jl_pool_may_move(jl, key, s))
			continue;
		m.is_free = true;
		m.is_off = s->state == JCLOUD_DOWN;
		fill_size(jl, s, s->worker, &m);
		add_machine(p, &m, key);
	}
	g_hash_table_destroy(moved);
	g_free(can_give);
}

/* Collects the machines that open waves name. */
static void
fill_in_wave(struct jlead *jl)
{
	const struct jst_wave *w;
	size_t i;

	g_hash_table_remove_all(jl->pools->in_wave);
	for (w = jl->st->waves; w != NULL; w = w->next) {
		for (i = 0; jl_wave_is_open(w) && i < w->info->n_machines; i++)
			g_hash_table_add(
			    jl->pools->in_wave, w->info->machines[i]);
	}
}

/* Fills the recorded moves. */
static void
fill_moves(struct jlead *jl)
{
	size_t i;

	for (i = 0; i < jl->st->nmoves; i++) {
		const Job__Move *r = jl->st->moves[i];

		if (r->state == JOB__MOVE_STATE__MOVE_BEGUN)
			add_open(jl, r);
		else
			add_moved(jl, r);
	}
}

/* Fills the input of the decision; the tasks that wait are in it. */
void
jl_pool_fill_input(struct jlead *jl)
{
	struct jl_pools *p = jl->pools;
	const struct wsess *ws;

	g_array_set_size(p->hosts, 0);
	g_array_set_size(p->machines, 0);
	g_ptr_array_set_size(p->names, 0);
	fill_in_wave(jl);
	p->in.pools = (struct jpool_pool *)(void *)p->pools->data;
	p->in.npools = p->pools->len;
	p->in.demands = (struct jpool_demand *)(void *)p->demands->data;
	p->in.ndemands = p->demands->len;
	p->in.is_refused = is_refused;
	p->in.arg = jl;
	for (ws = jl->sessions; ws != NULL && p->demands->len > 0;
	     ws = ws->next)
		add_host(jl, ws);
	fill_moves(jl);
	p->nrecords = p->machines->len;
	if (p->demands->len > 0)
		add_free_machines(jl);
	p->in.hosts = (struct jpool_host *)(void *)p->hosts->data;
	p->in.nhosts = p->hosts->len;
	p->in.machines = (struct jpool_machine *)(void *)p->machines->data;
	p->in.nmachines = p->machines->len;
	p->in.nopen = g_hash_table_size(p->notes);
}

/* Tells whether a pool has a machine to give, as far as is known without a
 * list: a service needs an empty worker. */
static bool
has_machine(const struct jlead *jl, size_t pool)
{
	const struct wsess *ws;

	if (jl->st->config->services[pool]->spare)
		return true;
	for (ws = jl->sessions; ws != NULL; ws = ws->next) {
		if (strcmp(ws->w->info->service, jl_pool_name(jl, pool)) == 0 &&
		    is_idle(jl, ws))
			return true;
	}
	return false;
}

/* Tells whether a machine that moved counts as on its way. */
static bool
is_any_coming(const struct jpool_input *in)
{
	size_t i;

	for (i = 0; i < in->nmachines && !in->machines[i].is_coming; i++)
		;
	return i < in->nmachines;
}

/* Tells whether the list of machines is needed, after the decision: a move is
 * open, a machine is away from its spare pool, or another pool may help a
 * service that is short of capacity. Tasks placed onto a machine on its way
 * count: the list shows when its worker is there. */
bool
jl_pool_needs_list(const struct jlead *jl)
{
	const struct jl_pools *p = jl->pools;
	size_t i, k;

	if (g_hash_table_size(p->notes) > 0 ||
	    (p->in.ndemands > 0 && is_any_coming(&p->in)))
		return true;
	for (i = 0; i < jl->st->nmoves; i++) {
		if (jl_pool_is_away(p, jl->st->moves[i]))
			return true;
	}
	for (k = 0; k < p->in.npools; k++) {
		if (can_help(&p->in, k) && has_machine(jl, k))
			return true;
	}
	return false;
}
