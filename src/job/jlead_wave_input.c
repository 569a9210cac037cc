#include <stdlib.h>
#include <string.h>

#include "job/jlead_pool.h"
#include "job/jlead_wave_impl.h"

/* Maintenance waves: the input of the decision, from the list of machines and
 * the sessions of their workers. */

/* A list that was requested longer ago, apart from the time that its read took,
 * decides nothing; several reads may fail. */
#define LIST_AGE_MAX_MS 3000
/* A machine that is listed as failed for this long after its maintenance began
 * isn't down for the maintenance any more, which takes 2 s. */
#define FAILED_AFTER_MS 30000
/* After this many orders that weren't carried out other machines get their
 * turn; with the pauses between them this takes about 5 s. */
#define FAILED_ORDERS_MAX 5
/* A machine has left once this many complete lists in a row, over this time,
 * are without it: lists may miss a machine if others are added between two of
 * their pages. */
#define ABSENT_LISTS  3
#define ABSENT_MIN_MS 5000

/* Sets a text; most stay the same from one list to the next. */
static void
set_text(char **p, const char *v)
{
	if (g_strcmp0(*p, v) == 0)
		return;
	g_free(*p);
	*p = g_strdup(v);
}

/* Tells whether the labels of a machine are the listed ones. */
static bool
has_labels(const struct jl_seen *s, const struct jcloud_machine *m)
{
	size_t i;

	for (i = 0; s->labels != NULL && s->labels[i] != NULL; i++) {
		if (i >= m->nlabels || strcmp(s->labels[i], m->labels[i]) != 0)
			return false;
	}
	return s->labels != NULL && i == m->nlabels;
}

/* Takes what is listed of a machine and only moves between pools need. */
void
jl_wave_fill_seen(struct jl_seen *s, const struct jcloud_machine *m)
{
	size_t i;

	set_text(&s->pool, m->pool);
	set_text(&s->zone, m->zone);
	if (!has_labels(s, m)) {
		g_strfreev(s->labels);
		s->labels = g_new0(char *, m->nlabels + 1);
		for (i = 0; i < m->nlabels; i++)
			s->labels[i] = g_strdup(m->labels[i]);
	}
	s->size.cpu = m->cpu_milli;
	s->size.mem = m->mem_mb;
	s->size.accel = m->accel;
}

/* Returns what the last list says of a machine, NULL if that isn't listed. */
struct jl_seen *
jl_wave_find_seen(const struct jl_waves *v, const char *machine)
{
	struct jl_seen *s = g_hash_table_lookup(v->seen, machine);

	return s == NULL || s->list < v->nlists ? NULL : s;
}

/* Tells whether a machine has left: complete lists in a row are without it. */
bool
jl_wave_has_left(const struct jl_waves *v, const char *machine)
{
	const struct jl_seen *s = g_hash_table_lookup(v->seen, machine);

	return v->nlists >= ABSENT_LISTS + (s == NULL ? 0 : s->list) &&
	    v->list_ms - (s == NULL ? v->first_list_ms : s->listed_ms) >=
	    ABSENT_MIN_MS;
}

/* Tells whether a machine's worker is another one than before the order. */
static bool
is_other_worker(const struct jl_seen *s, const struct jst_wave *w, size_t i)
{
	return s->worker != NULL &&
	    (w->orders[i].worker == NULL ||
		strcmp(s->worker, w->orders[i].worker) != 0);
}

/* Tells whether a recorded maintenance has begun, as the list shows. Another
 * worker, or the maintenance of another wave, proves nothing if no order of
 * this attempt can have been carried out. */
bool
jl_wave_shows_begun(const struct jl_waves *v, const struct jst_wave *w,
    size_t i, const struct jl_wave_note *n)
{
	const struct jl_seen *s = jl_wave_find_seen(v, w->info->machines[i]);

	if (s == NULL || v->list_ms <= n->begun_ms ||
	    (w->states[i] == JST_WAVE_BEGUN && !n->may_be_sent))
		return false;
	return s->state == JCLOUD_MAINTENANCE ||
	    (w->orders[i].worker != NULL && is_other_worker(s, w, i));
}

/* Tells whether a machine is listed as up so long after its maintenance that it
 * is back, whatever worker it has: the one recorded may have joined after the
 * maintenance, and an id may be missing. */
static bool
is_back_late(const struct jl_waves *v, const struct jl_seen *s,
    const struct jl_wave_note *n)
{
	return s->state == JCLOUD_UP &&
	    v->list_ms > n->begun_ms + FAILED_AFTER_MS;
}

/* Tells whether a machine is down for a wave, or may be. */
static bool
is_down(const struct jlead *jl, const struct jst_wave *w, size_t i,
    const struct jl_wave_note *n)
{
	const struct jl_waves *v = jl->waves;
	const struct jl_seen *s = jl_wave_find_seen(v, w->info->machines[i]);

	if (w->states[i] == JST_WAVE_BEGUN || n->recording)
		return true;
	if (w->states[i] == JST_WAVE_WAITING ||
	    jl_wave_has_left(v, w->info->machines[i]))
		return false;
	if (s == NULL || v->list_ms <= n->begun_ms)
		return true;
	if (s->state == JCLOUD_DOWN)
		return jl_wave_now_ms(jl) - n->begun_ms < FAILED_AFTER_MS;
	return s->state != JCLOUD_UP ||
	    (!is_other_worker(s, w, i) && !is_back_late(v, s, n));
}

/* Tells whether a recorded machine that can't begin must give its place to
 * others: it is listed as failed or with a worker that wasn't recorded,
 * may_miss holds it back, or its orders fail. Only once no order can still be
 * carried out, and by a list requested since. */
bool
jl_wave_must_give_up(const struct jlead *jl, const struct jst_wave *w, size_t i,
    const struct jl_wave_note *n)
{
	const struct jl_waves *v = jl->waves;
	const struct jl_seen *s = jl_wave_find_seen(v, w->info->machines[i]);
	int64_t t = jl_wave_now_ms(jl);

	if (w->states[i] != JST_WAVE_BEGUN || n->in_flight || s == NULL ||
	    t < n->late_ms || v->list_ms <= MAX(n->begun_ms, n->late_ms))
		return false;
	if (s->state == JCLOUD_DOWN || s->state == JCLOUD_MOVING ||
	    n->nfailed >= FAILED_ORDERS_MAX)
		return true;
	if (!n->may_be_sent && w->orders[i].worker != NULL &&
	    is_other_worker(s, w, i))
		return true;
	return n->choice == JWAVE_HELD_BEGUN &&
	    t - n->begun_ms >= JWAVE_HELD_MAX_MS;
}

/* Tells whether a task is at work on a worker whose maintenance isn't recorded;
 * one whose worker is silent may not be. */
static bool
is_at_work(const struct jst_task *t)
{
	const struct jrun *r = t->active_run;

	return t->state == JST_ASSIGNED && r != NULL &&
	    r->phase == RUN_CONFIRMED && !r->must_stop && r->ws->contacted &&
	    !r->ws->silent && !r->ws->restarted && !r->ws->leave_announced &&
	    !r->ws->in_maintenance;
}

/* Returns the index of a long-running step, which is added if it is new. */
size_t
jl_wave_step_index(struct jl_waves *v, const struct jst_step *st)
{
	size_t k = GPOINTER_TO_SIZE(g_hash_table_lookup(v->step_index, st));
	struct jwave_step s;
	uint32_t i;

	if (k > 0)
		return k - 1;
	memset(&s, 0, sizeof(s));
	s.may_miss = st->spec->may_miss;
	for (i = 0; i < st->spec->count; i++)
		s.absent += !is_at_work(&st->tasks[i]);
	g_array_append_val(v->steps, s);
	g_hash_table_insert(v->step_index, (gpointer)(uintptr_t)st,
	    GSIZE_TO_POINTER(v->steps->len));
	return v->steps->len - 1;
}

/* Adds a long-running task to those of its machine. */
static void
add_use(struct jl_waves *v, GArray *uses, const struct jrun *r)
{
	struct jwave_use u = { jl_wave_step_index(v, r->step), 0 }, *p = NULL;
	guint i;

	for (i = 0; i < uses->len && p == NULL; i++) {
		p = &g_array_index(uses, struct jwave_use, i);
		p = p->step == u.step ? p : NULL;
	}
	if (p == NULL) {
		g_array_append_val(uses, u);
		p = &g_array_index(uses, struct jwave_use, uses->len - 1);
	}
	p->ntasks += is_at_work(r->task);
}

/* Fills what runs on a machine. */
static void
fill_tasks(struct jlead *jl, const struct wsess *ws, struct jwave_machine *m)
{
	GArray *uses = g_array_new(FALSE, TRUE, sizeof(struct jwave_use));
	const struct jrun *r;

	for (r = ws->runs; r != NULL; r = r->next) {
		const Job__Step *s = r->step->spec;
		int64_t age = clk_diff_ms(jl->now, r->assigned_at), left;

		if (r->step->job->state != JST_ACTIVE)
			continue;
		if (s->lasting) {
			add_use(jl->waves, uses, r);
			m->cost += (uint64_t)s->cpu_milli;
			continue;
		}
		/* Declared times are off by 20% and more. */
		left = (int64_t)s->estimate_ms * 3 / 2 - age;
		m->busy_ms = MAX(m->busy_ms, MAX(left, JL_WAVE_TICK_MS));
		m->cost += (uint64_t)s->cpu_milli *
		    (uint64_t)CLAMP(age, 0, 1000000) / 1000;
	}
	m->nuses = uses->len;
	m->uses = (struct jwave_use *)(void *)g_array_free(uses, FALSE);
}

/* Fills one machine of a wave. */
static void
fill_machine(
    struct jlead *jl, struct jst_wave *w, size_t i, struct jwave_machine *m)
{
	struct jl_waves *v = jl->waves;
	const struct jl_wave_note *n = &jl_wave_notes(jl, w)[i];
	struct jl_seen *s = jl_wave_find_seen(v, w->info->machines[i]);
	const struct wsess *ws;
	int64_t t = jl_wave_now_ms(jl);

	m->phase = (enum jwave_phase)w->states[i];
	m->is_down = is_down(jl, w, i, n);
	if (s != NULL)
		s->ndown += m->is_down;
	if (m->phase == JWAVE_DONE)
		return;
	m->is_up = s != NULL && s->state == JCLOUD_UP &&
	    t - v->list_ms <= LIST_AGE_MAX_MS + v->read_ms &&
	    (m->phase != JWAVE_WAITING || v->list_ms > n->begun_ms);
	m->is_waiting = n->recording || n->in_flight || t < n->retry_ms ||
	    (m->phase == JWAVE_BEGUN && t < n->late_ms &&
		v->list_ms <= n->begun_ms);
	m->is_closed = n->is_closed;
	m->closed_ms = n->closed_ms;
	m->reopens_ms = n->reopens_ms;
	m->is_moving = n->is_moving;
	m->is_saving = n->is_saving;
	ws = s == NULL ? NULL : jl_wave_session(jl, s->worker);
	if (ws != NULL)
		fill_tasks(jl, ws, m);
}

/* Marks the workers that are closed, or whose maintenance was recorded. */
void
jl_wave_mark_sessions(struct jlead *jl)
{
	struct jl_waves *v = jl->waves;
	const struct jl_wave_note *notes;
	struct wsess *ws;
	struct jst_wave *w;
	const struct jl_seen *s;
	size_t i;

	for (ws = jl->sessions; ws != NULL; ws = ws->next)
		ws->awaits_maintenance = ws->in_maintenance = false;
	for (w = jl->st->waves; w != NULL; w = w->next) {
		if (!jl_wave_is_open(w))
			continue;
		notes = jl_wave_notes(jl, w);
		for (i = 0; i < w->info->n_machines; i++) {
			s = jl_wave_find_seen(v, w->info->machines[i]);
			ws = s == NULL ? NULL : jl_wave_session(jl, s->worker);
			if (ws != NULL && notes[i].is_closed &&
			    w->states[i] == JST_WAVE_WAITING)
				ws->awaits_maintenance = true;
			if (ws != NULL &&
			    (notes[i].recording ||
				w->states[i] == JST_WAVE_BEGUN))
				ws->in_maintenance = true;
			ws = jl_wave_session(jl, w->orders[i].worker);
			if (ws != NULL &&
			    (w->states[i] != JST_WAVE_DONE || s == NULL ||
				!is_back_late(v, s, &notes[i])))
				ws->in_maintenance = true;
		}
	}
	v->is_active = true;
}

/* Counts the machines that are still down for a completed wave: another wave
 * must not take its maintenance for its own. */
static void
count_closed_wave(struct jlead *jl, struct jst_wave *w)
{
	const struct jl_wave_note *notes = jl_wave_notes(jl, w);
	struct jl_seen *s;
	size_t i;

	for (i = 0; i < w->info->n_machines; i++) {
		s = jl_wave_find_seen(jl->waves, w->info->machines[i]);
		if (s != NULL && !notes[i].is_duplicate)
			s->ndown += is_down(jl, w, i, &notes[i]);
	}
}

/* Fills the input of the decision. */
void
jl_wave_fill_input(struct jlead *jl)
{
	struct jl_waves *v = jl->waves;
	struct jst_wave *w;
	GHashTableIter it;
	gpointer key, value;
	size_t i;

	g_array_set_size(v->waves, 0);
	g_array_set_size(v->infos, 0);
	g_array_set_size(v->machines, 0);
	g_array_set_size(v->indexes, 0);
	g_array_set_size(v->steps, 0);
	g_hash_table_remove_all(v->step_index);
	g_hash_table_iter_init(&it, v->seen);
	while (g_hash_table_iter_next(&it, &key, &value))
		((struct jl_seen *)value)->ndown = 0;
	for (w = jl->st->waves; w != NULL; w = w->next) {
		struct jwave_wave k = { .max_down = w->info->max_down,
			.deadline_ms = jl_wave_now_ms(jl) + w->info->at_ms +
			    w->info->term_ms - jl->wall_ms };

		if (!jl_wave_is_open(w)) {
			count_closed_wave(jl, w);
			continue;
		}
		g_array_append_val(v->waves, k);
		g_array_append_val(v->infos, w);
		for (i = 0; i < w->info->n_machines; i++) {
			struct jwave_machine m = { .wave = v->waves->len - 1 };

			if (jl_wave_notes(jl, w)[i].is_duplicate)
				continue;
			fill_machine(jl, w, i, &m);
			g_array_append_val(v->machines, m);
			g_array_append_val(v->indexes, i);
		}
	}
}

/* Sets which machines are down for another wave, or have an open move. */
void
jl_wave_fill_blocked(struct jlead *jl)
{
	struct jl_waves *v = jl->waves;
	guint k;

	for (k = 0; k < v->machines->len; k++) {
		struct jwave_machine *m =
		    &g_array_index(v->machines, struct jwave_machine, k);
		const struct jst_wave *w =
		    g_array_index(v->infos, struct jst_wave *, m->wave);
		const char *name =
		    w->info->machines[g_array_index(v->indexes, size_t, k)];
		const struct jl_seen *s = jl_wave_find_seen(v, name);

		m->is_blocked = (s != NULL && s->ndown > m->is_down) ||
		    jl_pool_has_open(jl, name);
	}
}
