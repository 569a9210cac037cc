#include <stdlib.h>
#include <string.h>

#include "job/jplan_impl.h"

/* Look-ahead placement: keeps workers for large short tasks that fit nowhere,
 * and tells which other tasks may go there meanwhile. */

/* A worker where a large task can start, and when. */
struct place {
	int64_t order_ms; /* at_ms, less if it was kept there before */
	size_t worker;
	struct jroom_start start;
};

/* Starts a plan without any place. */
void
jplan_room_init(struct jplan_round *r, struct jplan_lookahead *look)
{
	r->look = look;
	if (look == NULL)
		return;
	look->nslots = 0;
	look->nscans = 0;
	look->plan++;
}

/* Completes a need by what matters for places kept for others. */
void
jplan_room_need(
    struct jplan_round *r, const struct jst_step *st, struct jplan_need *d)
{
	if (r->look == NULL)
		return;
	d->ignores_room = d->displaced || st->spec->gang;
	d->band = r->claim.band;
	d->priority = r->claim.priority;
	d->duration_ms = st->spec->lasting
	    ? JROOM_NEVER
	    : jroom_expected_ms(r->look->model, st, d->image_index);
}

/* Tells whether a task is kept off a worker because it would delay the start of
 * a large task there, which is at least as urgent. */
bool
jplan_room_blocks(const struct jplan_round *r, const struct jplan_need *d,
    const struct jplan_worker *p)
{
	const struct jplan_slot *s;

	if (p->room_slot == 0 || d->ignores_room)
		return false;
	s = &r->look->slots[p->room_slot - 1];
	if (d->band < s->band || d->priority < s->priority ||
	    d->duration_ms <= s->start_ms - r->now_ms)
		return false;
	return (!d->best_effort && d->cpu > s->spare.cpu) ||
	    d->mem > s->spare.mem || d->accel > s->spare.accel;
}

/* Tells whether a task would use a place that the plan before kept for another
 * job, beyond the start there. */
bool
jplan_room_is_held(const struct jplan_round *r, const struct jst_step *st,
    const struct jplan_need *d, const struct jplan_worker *p)
{
	return r->look != NULL && p->hold.start_ms != 0 && !d->ignores_room &&
	    p->hold.job != st->job->id &&
	    d->duration_ms > p->hold.start_ms - r->now_ms;
}

/* Brings the runs of a worker up to date. */
static void
refresh(const struct jplan_round *r, const struct jplan_worker *p)
{
	if (!p->room->stale)
		return;
	p->room->n = 0;
	p->room->stale = false;
	r->look->fill(r->look->arg, (size_t)(p - r->workers), p->room);
}

/* Adds a placed task to the runs of its worker, and subtracts it from what is
 * free beside a large task there; sign -1 undoes that. */
void
jplan_room_note(struct jplan_round *r, const struct jst_step *st,
    const struct jplan_need *d, struct jplan_worker *p, int sign)
{
	struct jroom_run run = { r->now_ms, d->duration_ms,
		d->best_effort ? 0 : d->cpu, d->mem, d->accel };
	struct jplan_slot *s;

	if (r->look == NULL)
		return;
	if (p->room_slot > 0) {
		s = &r->look->slots[p->room_slot - 1];
		if (d->duration_ms > s->start_ms - r->now_ms) {
			s->spare.cpu -= sign * run.cpu;
			s->spare.mem -= sign * run.mem;
			s->spare.accel -= sign * run.accel;
		}
	}
	if (st->spec->lasting)
		return;
	refresh(r, p);
	if (sign > 0)
		jroom_add_run(p->room, &run);
	else
		jroom_remove_run(p->room, &run);
}

/* Tells whether a step may get places now: not if it has kept some for long
 * without a start. */
static bool
may_hold(const struct jst_step *st, int64_t now_ms)
{
	return st->room_held_ms < JPLAN_SLOT_HOLD_MAX_MS ||
	    now_ms - st->room_kept_ms >= JPLAN_SLOT_HOLD_MAX_MS;
}

/* Counts the time since the plan before if a place was kept there as well. */
static void
note_kept(const struct jplan_round *r, struct jst_step *st)
{
	if (st->room_kept_ms != 0 && st->room_plan == r->look->plan)
		return;
	if (r->now_ms - st->room_kept_ms >= JPLAN_SLOT_HOLD_MAX_MS &&
	    st->room_plan + 1 != r->look->plan)
		st->room_held_ms = 0;
	else if (st->room_kept_ms != 0 && st->room_plan + 1 == r->look->plan)
		st->room_held_ms += r->now_ms - st->room_kept_ms;
	st->room_plan = r->look->plan;
	st->room_kept_ms = r->now_ms;
}

/* Tells whether a worker, if it were empty, could run the task: it has the
 * service, the label, a ticket if the task needs one, and the size. */
static bool
may_run(const struct jplan_need *d, const struct jplan_worker *p)
{
	const Job__Worker *w = p->w->info;

	return !p->closed && d->cpu <= p->cpu_total &&
	    d->mem <= (int64_t)w->mem_mb && d->accel <= (int64_t)w->accel &&
	    jplan_is_eligible(d, p);
}

/* Tells whether a worker that may run the task could take it if nothing but
 * long-running tasks ran there. */
static bool
is_possible(const struct jplan_round *r, const struct jplan_need *d,
    const struct jplan_worker *p)
{
	const Job__Worker *w = p->w->info;

	return !p->reserved && p->room_slot == 0 &&
	    p->failure_score <= JPLAN_SLOT_FAILURE_MAX &&
	    p->usable_at_ms <= r->now_ms + JPLAN_SLOT_AHEAD_MAX_MS &&
	    d->cpu <= p->cpu_total - p->lasting_cpu &&
	    d->mem <= (int64_t)w->mem_mb - p->lasting_mem &&
	    d->accel <= (int64_t)w->accel - p->lasting_accel;
}

/* Sets pl to where and when a task of a step can start on a worker. Returns
 * false if its order_ms would be later than by_ms, or the start too far off. */
static bool
place_init(const struct jplan_round *r, const struct jst_step *st,
    const struct jplan_need *d, size_t worker, int64_t by_ms, struct place *pl)
{
	const struct jplan_worker *p = &r->workers[worker];
	struct jroom_amount available = { p->free_cpu, p->free_mem,
		p->free_accel };
	struct jroom_amount need = { d->cpu, d->mem, d->accel };
	int64_t gain_ms = p->hold.start_ms != 0 && p->hold.job == st->job->id
	    ? JPLAN_SLOT_MOVE_MS
	    : 0;

	by_ms += gain_ms;
	if (by_ms > r->now_ms + JPLAN_SLOT_AHEAD_MAX_MS)
		by_ms = r->now_ms + JPLAN_SLOT_AHEAD_MAX_MS;
	if (p->usable_at_ms > by_ms || !is_possible(r, d, p))
		return false;
	refresh(r, p);
	pl->worker = worker;
	pl->start =
	    jroom_find_start(p->room, &available, &need, r->now_ms, by_ms);
	if (pl->start.at_ms == JROOM_NEVER)
		return false;
	if (pl->start.at_ms < p->usable_at_ms)
		pl->start.at_ms = p->usable_at_ms;
	pl->order_ms = pl->start.at_ms - gain_ms;
	return true;
}

/* Finds the workers where tasks of a step can start earliest, at most max, and
 * returns their number. Counts in set the workers that may run the step. */
static size_t
find_places(struct jplan_round *r, const struct jst_step *st,
    const struct jplan_need *d, struct jplan_set *set, struct place *v,
    size_t max)
{
	struct place x;
	size_t i, k, n = 0;
	int64_t by_ms = r->now_ms + JPLAN_SLOT_AHEAD_MAX_MS;

	r->look->nscans++;
	for (i = 0; i < r->nworkers; i++) {
		const struct jplan_worker *p = &r->workers[i];

		if (!may_run(d, p))
			continue;
		set->nworkers++;
		set->nslots += p->room_slot != 0;
		if (n == max)
			by_ms = v[n - 1].order_ms - 1;
		if (!place_init(r, st, d, i, by_ms, &x))
			continue;
		n += n < max;
		for (k = n - 1; k > 0 && v[k - 1].order_ms > x.order_ms; k--)
			v[k] = v[k - 1];
		v[k] = x;
	}
	return n;
}

/* Keeps a place for a task. Returns false if its job has no value left by
 * then. */
static bool
keep(struct jplan_round *r, struct jst_step *st, const struct jplan_need *d,
    const struct place *pl)
{
	struct jplan_worker *p = &r->workers[pl->worker];
	struct jplan_slot *s = &r->look->slots[r->look->nslots];
	const struct jplan_claim *c = &r->claim;
	int64_t end_ms = c->wall_ms + (pl->start.at_ms - r->now_ms) +
	    c->left_ms - st->spec->estimate_ms - JPLAN_STEP_OVERHEAD_MS +
	    d->duration_ms;

	if (end_ms > c->late_ms)
		return false;
	s->step = st;
	s->worker = pl->worker;
	s->is_late = end_ms > c->deadline_ms;
	s->band = s->is_late ? 1 : c->band;
	s->priority = c->priority;
	s->start_ms = pl->start.at_ms;
	s->spare = pl->start.spare;
	s->nends = pl->start.nends;
	s->is_new = p->hold.start_ms == 0 || p->hold.job != st->job->id;
	p->room_slot = (uint32_t)++r->look->nslots;
	r->services[d->service_index].nslots++;
	note_kept(r, st);
	return true;
}

/* Tells whether an earlier search of this plan has shown that a task gets no
 * place: it is no larger than one that a single end makes room for, which gets
 * its place by its order, or no further worker of its set may be kept. */
static bool
is_settled(const struct jplan_round *r, const struct jplan_need *d)
{
	size_t i;

	for (i = 0; i < r->nsets; i++) {
		const struct jplan_set *s = &r->sets[i];

		if (s->service_index != d->service_index ||
		    s->advice != d->advice ||
		    !jplan_is_same_label(s->label, d->label))
			continue;
		if (s->one_is_enough && d->cpu <= s->need.cpu &&
		    d->mem <= s->need.mem && d->accel <= s->need.accel)
			return true;
		if (s->is_full && d->cpu == s->need.cpu &&
		    d->mem == s->need.mem && d->accel == s->need.accel)
			return true;
	}
	return false;
}

/* Returns for how many more tasks of a step places may be kept, as far as that
 * is known before a search. */
static size_t
slots_left(
    const struct jplan_round *r, const struct jplan_service *s, size_t tasks)
{
	size_t most = s->nworkers / JPLAN_WORKERS_PER_SLOT + 1;

	most = most > s->nslots ? most - s->nslots : 0;
	if (most > JPLAN_SLOTS_MAX - r->look->nslots)
		most = JPLAN_SLOTS_MAX - r->look->nslots;
	if (most > JPLAN_SLOTS_PER_STEP_MAX)
		most = JPLAN_SLOTS_PER_STEP_MAX;
	return most < tasks ? most : tasks;
}

/* Keeps workers for the tasks of a step that fit nowhere now, where they can
 * start earliest. */
void
jplan_room_reserve(struct jplan_round *r, struct jst_step *st, size_t tasks)
{
	struct jplan_need d;
	struct place v[JPLAN_SLOTS_PER_STEP_MAX];
	struct jplan_set *set;
	size_t i, n, most, limit;

	if (r->look == NULL || st->spec->lasting || st->spec->fills ||
	    st->spec->gang || st->spec->spread > 0 || r->claim.band > 1 ||
	    r->now_ms < st->room_retry_ms ||
	    r->look->nscans >= JPLAN_SLOT_SCANS_MAX)
		return;
	d = jplan_get_need(r, st, false);
	if (d.service_index == JPLAN_NO_SERVICE)
		return;
	most = slots_left(r, &r->services[d.service_index], tasks);
	if (most == 0 || is_settled(r, &d) || !may_hold(st, r->now_ms))
		return;
	set = &r->sets[r->nsets++];
	*set = (struct jplan_set){ .service_index = d.service_index,
		.label = d.label,
		.advice = d.advice,
		.need = { d.cpu, d.mem, d.accel } };
	n = find_places(r, st, &d, set, v, most);
	if (n == 0)
		st->room_retry_ms = r->now_ms + JPLAN_SLOT_RETRY_MS;
	limit = set->nworkers / JPLAN_WORKERS_PER_SLOT + 1;
	set->one_is_enough = n > 0 && v[0].start.one_is_enough;
	for (i = 0; i < n && set->nslots < limit && !v[i].start.one_is_enough;
	     i++) {
		if (!keep(r, st, &d, &v[i])) {
			st->room_retry_ms = r->now_ms + JPLAN_SLOT_RETRY_MS;
			return;
		}
		set->nslots++;
	}
	set->is_full = set->nslots >= limit;
}

/* Keeps the places of a step that this plan hasn't reached as they were. */
void
jplan_room_carry(struct jplan_round *r, struct jst_step *st)
{
	if (r->look == NULL || st->room_kept_ms == 0 ||
	    st->room_plan + 1 != r->look->plan ||
	    r->ncarried == JPLAN_SLOTS_MAX || !may_hold(st, r->now_ms))
		return;
	note_kept(r, st);
	r->carried[r->ncarried++] = st->job->id;
}

/* Tells whether a place of the plan before belongs to a step that this plan
 * hasn't reached. */
static bool
is_carried(const struct jplan_round *r, const struct jplan_hold *h)
{
	size_t i;

	for (i = 0; i < r->ncarried; i++) {
		if (r->carried[i] == h->job)
			return true;
	}
	return false;
}

/* Remembers the places of this plan for the next one. */
void
jplan_room_finish(struct jplan_round *r)
{
	size_t i;

	for (i = 0; r->look != NULL && i < r->nworkers; i++) {
		struct jplan_worker *p = &r->workers[i];
		const struct jplan_slot *s;

		if (p->room_slot == 0) {
			if (p->hold.start_ms != 0 && !is_carried(r, &p->hold))
				p->hold.start_ms = 0;
			continue;
		}
		s = &r->look->slots[p->room_slot - 1];
		p->hold.job = s->step->job->id;
		p->hold.occurrence = s->step->occurrence;
		p->hold.step = s->step->number;
		p->hold.start_ms = s->start_ms;
	}
}
