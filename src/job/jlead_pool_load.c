#include <stdlib.h>
#include <string.h>

#include "job/jlead_pool_impl.h"
#include "job/jplan.h"

/* Moves between pools: what waits and runs in each pool. */

/* Steps that are looked at, those found first; limits the time of a decision,
 * which compares each with all workers of its service. They are shared among
 * the services, so that one with many waiting steps doesn't hide another. */
#define DEMANDS_MAX	    64
#define SERVICE_DEMANDS_MIN 8

/* Adds n times the resources of a task to an amount. */
void
jl_pool_add_tasks(struct jpool_amount *a, const Job__Step *s, int64_t n)
{
	a->cpu += n * (int64_t)s->cpu_milli;
	a->mem += n * (int64_t)s->mem_mb;
	a->accel += n * (int64_t)s->accel;
}

/* Tells whether a worker takes new work, apart from moves and maintenance. */
bool
jl_pool_is_usable(const struct jlead *jl, const struct wsess *ws)
{
	return ws->contacted && !ws->silent && !ws->restarted && !ws->closed &&
	    !ws->leave_announced && !ws->removal_proposed && !ws->w->draining &&
	    !clk_before(jl->now, ws->paused_until);
}

/* Fills the pools from the configuration. */
static void
fill_pools(struct jlead *jl)
{
	struct jl_pools *p = jl->pools;
	const Job__Config *c = jl->st->config;
	size_t i;

	g_array_set_size(p->pools, 0);
	g_hash_table_remove_all(p->index);
	p->nservices = 0;
	for (i = 0; c != NULL && i < c->n_services; i++) {
		struct jpool_pool k = { .is_spare = c->services[i]->spare };

		g_array_append_val(p->pools, k);
		p->nservices += !k.is_spare;
		g_hash_table_insert(
		    p->index, c->services[i]->name, GSIZE_TO_POINTER(i + 1));
	}
	p->nservices = MAX(p->nservices, 1);
}

/* Adds the waiting tasks of a step to those of its pool, and to the demands
 * once they have waited for long enough. */
static void
add_step(struct jlead *jl, const struct jst_step *st, size_t pool)
{
	struct jl_pools *p = jl->pools;
	struct jpool_pool *k =
	    &g_array_index(p->pools, struct jpool_pool, pool);
	uint32_t n = st->nwaiting - st->nproposed;
	struct jpool_demand d = { .pool = pool,
		.size = { st->spec->cpu_milli, st->spec->mem_mb,
		    st->spec->accel },
		.ntasks = n,
		.nmissing = n,
		.spread = st->spec->spread,
		.waited_ms = jl_wave_now_ms(jl) - st->short_since_ms };

	jl_pool_add_tasks(&k->waiting, st->spec, n);
	k->nwaiting += n;
	if (st->spec->fills || d.waited_ms < JPOOL_WAITED_MIN_MS)
		return;
	if (st->spec->label != NULL && st->spec->label[0] != '\0')
		d.label = st->spec->label;
	if (k->ndemands >= MAX(DEMANDS_MAX / p->nservices, SERVICE_DEMANDS_MIN))
		return;
	g_array_append_val(p->demands, d);
	k->ndemands++;
}

/* Tells whether tasks of a step could run now and aren't assigned. */
static bool
is_waiting(const struct jlead *jl, const struct jst_step *st)
{
	return st->nwaiting > st->nproposed &&
	    (!st->spec->gang || st->nwaiting == st->spec->count) &&
	    jplan_may_start(st, jl->wall_ms) && jst_step_ready(st);
}

/* Adds up what runs on the workers of each pool, and what is free. */
static void
fill_usage(struct jlead *jl)
{
	struct jl_pools *p = jl->pools;
	const struct wsess *ws;
	size_t pool;

	for (ws = jl->sessions; ws != NULL; ws = ws->next) {
		const Job__Worker *w = ws->w->info;
		struct jpool_pool *k;

		pool = jl_pool_index(p, w->service);
		if (pool == JPOOL_NONE || !jl_pool_is_usable(jl, ws) ||
		    !jl_takes_new_work(ws))
			continue;
		k = &g_array_index(p->pools, struct jpool_pool, pool);
		k->free.cpu += (int64_t)w->cpu_milli - ws->cpu_allocated;
		k->free.mem += (int64_t)w->mem_mb - ws->mem_allocated;
		k->free.accel += (int64_t)w->accel - ws->accel_allocated;
		k->used.cpu += ws->cpu_allocated;
		k->used.mem += ws->mem_allocated;
		k->used.accel += ws->accel_allocated;
	}
}

/* Returns the peaks of a pool, without those that are too old. */
static struct jl_peak *
current_peak(struct jlead *jl, size_t pool)
{
	const char *name = jl_pool_name(jl, pool);
	struct jl_peak *k = g_hash_table_lookup(jl->pools->peaks, name);
	int64_t slot = jl_wave_now_ms(jl) / JL_PEAK_SLOT_MS;

	if (k == NULL) {
		k = g_new0(struct jl_peak, 1);
		k->slot = slot;
		g_hash_table_insert(jl->pools->peaks, g_strdup(name), k);
	}
	k->slot = MAX(k->slot, slot - JL_PEAK_SLOTS);
	while (k->slot < slot) {
		k->slot++;
		memset(&k->v[k->slot % JL_PEAK_SLOTS], 0, sizeof(k->v[0]));
	}
	return k;
}

/* Sets an amount to the larger one, of each resource. */
static void
raise_to(struct jpool_amount *a, const struct jpool_amount *b)
{
	a->cpu = MAX(a->cpu, b->cpu);
	a->mem = MAX(a->mem, b->mem);
	a->accel = MAX(a->accel, b->accel);
}

/* Records what runs and waits in each pool, and sets its peak. A new leader
 * doesn't know it until it has led for long enough. */
static void
note_peaks(struct jlead *jl)
{
	struct jl_pools *p = jl->pools;
	size_t i, n;

	for (i = 0; i < p->pools->len; i++) {
		struct jpool_pool *k =
		    &g_array_index(p->pools, struct jpool_pool, i);
		struct jl_peak *peak = current_peak(jl, i);
		struct jpool_amount now = { k->used.cpu + k->waiting.cpu,
			k->used.mem + k->waiting.mem,
			k->used.accel + k->waiting.accel };

		raise_to(&peak->v[peak->slot % JL_PEAK_SLOTS], &now);
		for (n = 0; n < JL_PEAK_SLOTS; n++)
			raise_to(&k->peak, &peak->v[n]);
		k->has_peak =
		    clk_diff_ms(jl->now, jl->leading_since) >= JPOOL_CALM_MS;
	}
}

/* Finds the tasks that wait, and since when. */
void
jl_pool_scan(struct jlead *jl)
{
	const Job__Queue *q;
	struct jst_job *j;
	struct jst_step *st;
	uint32_t o, i;
	size_t pool;

	fill_pools(jl);
	fill_usage(jl);
	g_array_set_size(jl->pools->demands, 0);
	for (j = jl->st->active; j != NULL; j = j->next) {
		q = j->queue_cfg != NULL ? j->queue_cfg
					 : jst_queue(jl->st, j->queue);
		pool = q == NULL ? JPOOL_NONE
				 : jl_pool_index(jl->pools, q->service);
		JST_FOREACH_STEP(j, st, o, i)
		{
			if (!is_waiting(jl, st)) {
				st->short_since_ms = 0;
				continue;
			}
			if (st->short_since_ms == 0)
				st->short_since_ms = jl_wave_now_ms(jl);
			if (pool != JPOOL_NONE)
				add_step(jl, st, pool);
		}
	}
	note_peaks(jl);
}
