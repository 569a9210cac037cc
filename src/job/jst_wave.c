#include <stdlib.h>
#include <string.h>

#include "job/jst.h"

/* Maintenance waves. A wave that is done is kept with its machines for a while,
 * then only by its id, so that an order that comes again doesn't repeat it. */

/* Frees a maintenance wave. */
static void
wave_free(struct jst_wave *w)
{
	size_t i;

	for (i = 0; i < w->info->n_machines; i++)
		free(w->orders[i].worker);
	free(w->orders);
	free(w->notes);
	free(w->states);
	jst_free_msg(w->info);
	free(w);
}

/* Frees all waves. */
void
jst_free_waves(struct jst *s)
{
	struct jst_wave *w, *next;

	for (w = s->waves; w != NULL; w = next) {
		next = w->next;
		wave_free(w);
	}
	free(s->waves_done);
}

/* Tells whether all machines of a wave are done. */
static bool
is_done(const struct jst_wave *w)
{
	size_t i;

	for (i = 0; i < w->info->n_machines; i++) {
		if (w->states[i] != JST_WAVE_DONE)
			return false;
	}
	return true;
}

/* Returns the index of a wave that is kept only by its id, or their number. */
static size_t
find_done(const struct jst *s, uint64_t id)
{
	size_t i;

	for (i = 0; i < s->nwaves_done && s->waves_done[i] != id; i++)
		;
	return i;
}

/* Tells whether a wave has been completed. */
bool
jst_wave_is_done(const struct jst *s, uint64_t id)
{
	const struct jst_wave *w = jst_find_wave(s, id);

	return w == NULL ? find_done(s, id) < s->nwaves_done : is_done(w);
}

/* Remembers the id of a wave that is done; the oldest one makes room. */
void
jst_add_wave_done(struct jst *s, uint64_t id)
{
	if (s->nwaves_done == JST_WAVES_DONE_MAX) {
		s->nwaves_done--;
		memmove(s->waves_done, s->waves_done + 1,
		    s->nwaves_done * sizeof(id));
	}
	s->waves_done =
	    realloc(s->waves_done, (s->nwaves_done + 1) * sizeof(id));
	if (s->waves_done == NULL)
		abort();
	s->waves_done[s->nwaves_done++] = id;
}

/* Keeps only the id of the oldest wave that is done; false if there is none. */
static bool
compact_oldest(struct jst *s)
{
	struct jst_wave **p, **oldest = NULL, *w;

	for (p = &s->waves; *p != NULL; p = &(*p)->next) {
		if (is_done(*p))
			oldest = p;
	}
	if (oldest == NULL)
		return false;
	w = *oldest;
	*oldest = w->next;
	s->nwave_machines -= w->info->n_machines;
	jst_add_wave_done(s, w->info->id);
	wave_free(w);
	return true;
}

/* Counts the waves that are done and kept with their machines. */
static size_t
count_done(const struct jst *s)
{
	const struct jst_wave *w;
	size_t n = 0;

	for (w = s->waves; w != NULL; w = w->next)
		n += is_done(w);
	return n;
}

/* Makes room for the machines of a wave; false if there is none. */
static bool
make_room(struct jst *s, size_t nmachines)
{
	if (count_done(s) > JST_WAVES_KEPT_MAX)
		compact_oldest(s);
	while (s->nwave_machines + nmachines > JST_WAVE_MACHINES_MAX) {
		if (!compact_oldest(s))
			return false;
	}
	return true;
}

/* Adds a maintenance wave; STATUS_FULL if too many machines are in waves. */
void
jst_apply_wave(struct jst *s, const Job__Wave *m, struct jst_result *r)
{
	struct jst_wave *w;

	if (jst_find_wave(s, m->id) != NULL ||
	    find_done(s, m->id) < s->nwaves_done) {
		r->status = STATUS_EXISTS;
		return;
	}
	if (!s->loading && !make_room(s, m->n_machines)) {
		r->status = STATUS_FULL;
		return;
	}
	w = jst_alloc(1, sizeof(*w));
	w->info = jst_copy_msg(&m->base);
	w->states = jst_alloc(m->n_machines, sizeof(*w->states));
	w->orders = jst_alloc(m->n_machines, sizeof(*w->orders));
	w->next = s->waves;
	s->waves = w;
	s->nwave_machines += m->n_machines;
}

/* Tells whether a step is later than what is recorded of its machine. States
 * advance; only an attempt that was given up makes its machine wait again. */
static bool
is_later_step(const struct jst_wave *w, size_t i, const Job__WaveStep *m)
{
	enum jst_wave_state state = (enum jst_wave_state)m->state;

	if (w->states[i] == JST_WAVE_DONE)
		return false;
	if (m->attempt != w->orders[i].attempt)
		return m->attempt > w->orders[i].attempt;
	return state > w->states[i];
}

/* Advances a machine of a maintenance wave, which may be named several times.
 */
void
jst_apply_wave_step(struct jst *s, const Job__WaveStep *m, struct jst_result *r)
{
	struct jst_wave *w = jst_find_wave(s, m->wave);
	size_t i;

	r->status = STATUS_NOT_FOUND;
	for (i = 0; w != NULL && i < w->info->n_machines; i++) {
		if (strcmp(w->info->machines[i], m->machine) != 0)
			continue;
		if (r->status == STATUS_NOT_FOUND)
			r->status = STATUS_STALE;
		if (is_later_step(w, i, m)) {
			w->states[i] = (enum jst_wave_state)m->state;
			w->orders[i].attempt = m->attempt;
			if (m->worker != NULL ||
			    m->state == JOB__WAVE_STATE__WAVE_WAITING) {
				free(w->orders[i].worker);
				w->orders[i].worker = jst_copy_text(m->worker);
			}
			r->status = STATUS_OK;
		}
	}
}
