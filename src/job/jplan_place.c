#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "job/jplan_impl.h"

/* Places the tasks of a step: which workers can take them, and which is
 * best. */

/* Returns the index of a service, JPLAN_NO_SERVICE if it isn't known. */
static uint32_t
find_service(const struct jplan_round *r, const char *name)
{
	uint32_t i;

	for (i = 0; i < r->nservices; i++) {
		if (strcmp(r->services[i].name, name) == 0)
			return i;
	}
	return JPLAN_NO_SERVICE;
}

/* Adds a service and returns its index. */
static uint32_t
add_service(struct jplan_round *r, const char *name)
{
	if (r->nservices == r->services_cap) {
		r->services_cap =
		    r->services_cap == 0 ? 16 : r->services_cap * 2;
		r->services = realloc(
		    r->services, r->services_cap * sizeof(*r->services));
		if (r->services == NULL)
			abort();
	}
	memset(&r->services[r->nservices], 0, sizeof(*r->services));
	r->services[r->nservices].name = name;
	return r->nservices++;
}

/* Returns the index of a worker's service, which is most often the same as in
 * the plan before. */
static uint32_t
worker_service(struct jplan_round *r, const struct jplan_worker *p)
{
	const char *name = p->w->info->service;
	uint32_t i = p->service_index;

	if (i >= r->nservices || strcmp(r->services[i].name, name) != 0)
		i = find_service(r, name);
	return i == JPLAN_NO_SERVICE ? add_service(r, name) : i;
}

/* Returns the free processors of a worker in multiples of a typical short
 * task. */
static int64_t
whole_pieces(const struct jplan_round *r, const struct jplan_worker *p)
{
	int64_t piece = r->services[p->service_index].piece_cpu;

	return !p->usable || piece <= 0 ? 0 : p->free_cpu / piece * piece;
}

/* Adds a worker's free processors to the sums of its service, or subtracts
 * them. */
static void
add_free_cpu(struct jplan_round *r, const struct jplan_worker *p, int sign)
{
	struct jplan_service *s = &r->services[p->service_index];

	s->cpu_free += p->usable ? sign * p->free_cpu : 0;
	s->cpu_in_pieces += sign * whole_pieces(r, p);
}

/* Adds a worker to its service. */
static void
add_worker(struct jplan_round *r, size_t i)
{
	struct jplan_worker *p = &r->workers[i];
	struct jplan_service *s;

	p->service_index = worker_service(r, p);
	p->w->plan_index = (uint32_t)i;
	p->reserved = false;
	p->room_slot = 0;
	if (p->cold)
		jplan_cold_add(r, p);
	/* What is free in a closed domain is of no use to what waits. */
	if (p->closed)
		return;
	s = &r->services[p->service_index];
	s->nworkers++;
	s->cpu_total += p->cpu_total;
	s->cpu_allocated += p->cpu_total - p->free_cpu;
}

/* Starts a plan over these workers. */
void
jplan_round_init(struct jplan_round *r, struct jinterf *interf,
    const struct jdemand *demand, struct jplan_worker *v, size_t n,
    int64_t wall_ms, int64_t now_ms)
{
	size_t i;

	memset(r, 0, sizeof(*r));
	r->now_ms = now_ms;
	r->interf = interf;
	r->workers = v;
	r->nworkers = n;
	r->step_tasks = calloc(n + 1, sizeof(*r->step_tasks));
	r->heap = calloc(n + 1, sizeof(*r->heap));
	if (r->step_tasks == NULL || r->heap == NULL)
		abort();
	for (i = 0; i < n; i++)
		add_worker(r, i);
	for (i = 0; i < r->nservices; i++) {
		struct jplan_service *s = &r->services[i];

		s->cpu_reserved =
		    jdemand_reserve(demand, s->name, wall_ms, &s->piece_cpu);
	}
	for (i = 0; i < n; i++)
		add_free_cpu(r, &v[i], 1);
	jplan_interf_init(v, n);
}

/* Frees a plan; the workers keep the changes. */
void
jplan_round_finish(struct jplan_round *r)
{
	free(r->step_tasks);
	free(r->heap);
	free(r->services);
	free(r->cold);
}

/* Tells whether a worker has a label. */
static bool
has_label(const Job__Worker *w, const char *label)
{
	size_t i;

	for (i = 0; i < w->n_labels; i++) {
		if (strcmp(w->labels[i], label) == 0)
			return true;
	}
	return false;
}

/* Tells whether a worker has a label; any has the one that is NULL or empty. */
bool
jplan_has_label(const Job__Worker *w, const char *label)
{
	return label == NULL || label[0] == '\0' || has_label(w, label);
}

/* Returns s, NULL if it is empty. */
static const char *
nonempty_or_null(const char *s)
{
	return s == NULL || s[0] == '\0' ? NULL : s;
}

/* Tells whether a task waits and isn't being assigned. */
static bool
is_waiting(const struct jst_task *t)
{
	return t->state == JST_WAITING && t->active_run == NULL;
}

/* Counts the waiting tasks of a long-running step that have run before. */
uint32_t
jplan_count_displaced(const struct jst_step *st)
{
	uint32_t i, n = 0;

	if (!st->spec->lasting || st->nwaiting <= st->nproposed)
		return 0;
	for (i = 0; i < st->spec->count; i++)
		n += is_waiting(&st->tasks[i]) && st->tasks[i].run > 0;
	return n;
}

/* Returns the resources and constraints of a step's tasks. */
struct jplan_need
jplan_get_need(struct jplan_round *r, const struct jst_step *st, bool displaced)
{
	const Job__Queue *q = st->job->queue_cfg;
	const Job__Step *s = st->spec;
	struct jplan_need d = { 0 };

	d.service_index =
	    q == NULL ? JPLAN_NO_SERVICE : find_service(r, q->service);
	d.label = nonempty_or_null(s->label);
	d.advice = q == NULL || q->advice == NULL ? NULL : st->advice;
	d.rack = nonempty_or_null(s->rack);
	d.best_effort = s->fills;
	d.prefers_warm = !s->fills;
	d.displaced = displaced;
	d.image_index = jinterf_image_index(r->interf, s->image);
	d.cpu = s->cpu_milli;
	d.mem = s->mem_mb;
	d.accel = s->accel;
	jplan_room_need(r, st, &d);
	return d;
}

/* Tells whether two labels are equal; NULL is none. */
bool
jplan_is_same_label(const char *a, const char *b)
{
	return a == b || (a != NULL && b != NULL && strcmp(a, b) == 0);
}

/* Tells whether a need no larger than this one didn't fit anywhere in this
 * plan. */
static bool
known_not_to_fit(const struct jplan_round *r, const struct jplan_need *d)
{
	size_t i;

	for (i = 0; i < r->nno_fit; i++) {
		const struct jplan_need *f = &r->no_fit[i];

		if (f->service_index == d->service_index &&
		    jplan_is_same_label(f->label, d->label) &&
		    f->best_effort == d->best_effort &&
		    (f->may_use_reserved || !d->may_use_reserved) &&
		    (!f->may_wait ||
			(d->may_wait && f->image_index == d->image_index)) &&
		    (f->ignores_room || !d->ignores_room) &&
		    f->band <= d->band && f->priority <= d->priority &&
		    f->duration_ms <= d->duration_ms && f->cpu <= d->cpu &&
		    f->mem <= d->mem && f->accel <= d->accel)
			return true;
	}
	return false;
}

/* Tells whether a worker has the service and the label that a task needs, and a
 * ticket if it needs one. */
bool
jplan_is_eligible(const struct jplan_need *d, const struct jplan_worker *p)
{
	return d->service_index == p->service_index &&
	    (d->label == NULL || has_label(p->w->info, d->label)) &&
	    (d->advice == NULL ||
		jadvice_allows(d->advice, p->w->info->id, p->w->num));
}

/* Returns the processors that further best-effort tasks can use on a worker. */
static double
best_effort_free_cpu(const struct jplan_worker *p)
{
	return (double)p->free_cpu +
	    (double)p->serving_cpu * (1 - JPLAN_SERVING_USE) -
	    (double)p->best_effort_cpu;
}

/* Tells whether a worker has the resources that a task needs. */
static bool
fits(const struct jplan_need *d, const struct jplan_worker *p)
{
	if (d->mem > p->free_mem || d->accel > p->free_accel)
		return false;
	if (!d->best_effort)
		return d->cpu <= p->free_cpu;
	/* A task too large for any worker runs where no other best-effort task
	 * does. */
	return d->shares_cpu || p->nbest_effort == 0 ||
	    (double)d->cpu <= best_effort_free_cpu(p);
}

/* Tells whether a need is held off a worker where it would fit by a place that
 * is kept there. */
static bool
is_held_off(const struct jplan_round *r, const struct jplan_need *d)
{
	size_t i;

	for (i = 0; r->look != NULL && i < r->look->nslots; i++) {
		const struct jplan_worker *p =
		    &r->workers[r->look->slots[i].worker];

		if (p->usable && fits(d, p) && jplan_is_eligible(d, p) &&
		    jplan_room_blocks(r, d, p))
			return true;
	}
	return false;
}

/* Remembers a need that doesn't fit anywhere. Unless a kept place is the
 * reason, this holds for tasks of any length and urgency. */
static void
record_no_fit(struct jplan_round *r, const struct jplan_need *d)
{
	struct jplan_need *f = &r->no_fit[r->nno_fit];

	if (r->nno_fit == JPLAN_NO_FIT_MAX)
		return;
	*f = *d;
	if (r->look != NULL && !is_held_off(r, d)) {
		f->duration_ms = 0;
		f->band = 0;
		f->priority = 0;
		f->ignores_room = true;
	}
	r->nno_fit++;
}

/* Returns a task's share of the worker's processors. */
static double
cpu_share(const struct jplan_need *d, const struct jplan_worker *p)
{
	return p->cpu_total > 0 ? (double)d->cpu / (double)p->cpu_total : 1;
}

/* Returns the share of a worker's serving tasks that are of other images. */
static double
other_image_share(const struct jplan_need *d, const struct jplan_worker *p)
{
	uint32_t i, n = 0, all = 0;

	for (i = 0; i < p->ngroups; i++) {
		all += p->groups[i].ntasks;
		n += p->groups[i].image != d->image_index ? p->groups[i].ntasks
							  : 0;
	}
	return all == 0 ? 0 : (double)n / all;
}

/*
 * Returns the cost of a worker for a serving task.
 *
 * Serving tasks of one image go together, as the same images interfere with
 * them, so that each best-effort image finds workers where it doesn't
 * interfere. Those of one job go together, so that a best-effort task
 * affects few jobs and only one load has to be low. They go where they leave
 * the least free, so that some workers stay without any.
 */
static double
serving_cost(const struct jst_step *st, const struct jplan_need *d,
    const struct jplan_worker *p, uint32_t ntasks_there)
{
	double total = p->cpu_total > 0 ? (double)p->cpu_total : 1.0;
	uint32_t most = st->spec->spread > 0 ? st->spec->spread - ntasks_there
					     : st->spec->count;
	int64_t n = d->cpu > 0 ? p->free_cpu / d->cpu : most;

	if (n > most)
		n = most;
	if (n > st->nwaiting)
		n = st->nwaiting;
	return 1000.0 * (double)(p->free_cpu - n * d->cpu) / total +
	    JPLAN_OTHER_IMAGE_COST * other_image_share(d, p) -
	    JPLAN_SAME_JOB_GAIN * (double)(n + ntasks_there) / st->spec->count +
	    (p->nserving == 0 ? JPLAN_FIRST_SERVING_COST : 0);
}

/* Returns the cost of a worker for a task, in 1/1000 of its processors. Lower
 * is better. */
static double
worker_cost(const struct jst_step *st, const struct jplan_need *d,
    const struct jplan_worker *p, double interference, uint32_t ntasks_there)
{
	double total = p->cpu_total > 0 ? (double)p->cpu_total : 1.0;
	double c = p->failure_score * JPLAN_FAILURE_COST;

	if (p->cold && d->prefers_warm)
		c += JPLAN_COLD_COST;
	if (d->rack != NULL && !has_label(p->w->info, d->rack))
		c += JPLAN_OTHER_RACK_COST;
	if (!st->spec->lasting)
		c += p->slowness * JPLAN_SLOW_COST;
	if (d->best_effort)
		return c - 1000.0 * best_effort_free_cpu(p) / total +
		    (p->nserving == 0 ? JPLAN_NO_SERVING_COST
				      : JPLAN_INTERFERENCE_COST * interference);
	if (st->spec->target_ms > 0)
		return c + serving_cost(st, d, p, ntasks_there);
	return c - 1000.0 * (best_effort_free_cpu(p) - (double)d->cpu) / total;
}

/* Subtracts a task's resources from a worker's free ones; sign -1 gives them
 * back. */
static void
allocate(const struct jinterf *interf, const struct jst_step *st,
    const struct jplan_need *d, struct jplan_worker *p, int sign)
{
	const Job__Step *s = st->spec;

	if (s->fills) {
		p->best_effort_cpu += sign * (int64_t)s->cpu_milli;
		p->nbest_effort += (uint32_t)sign;
		jplan_interf_add(
		    interf, p, d->image_index, sign * cpu_share(d, p));
	} else {
		p->free_cpu -= sign * (int64_t)s->cpu_milli;
	}
	p->changed = true;
	p->free_mem -= sign * (int64_t)s->mem_mb;
	p->free_accel -= sign * (int64_t)s->accel;
	if (s->lasting) {
		p->lasting_cpu += s->fills ? 0 : sign * (int64_t)s->cpu_milli;
		p->lasting_mem += sign * (int64_t)s->mem_mb;
		p->lasting_accel += sign * (int64_t)s->accel;
	}
	if (s->target_ms > 0) {
		p->nserving += (uint32_t)sign;
		p->serving_cpu += sign * (int64_t)s->cpu_milli;
	}
}

/* Adds the runs of a step to step_tasks of their workers, or subtracts them.
 * Tasks chosen in this plan count; only long-running steps are placed twice. */
static void
count_step_tasks(struct jplan_round *r, const struct jst_step *st, int sign)
{
	size_t i;

	for (i = 0; i < st->spec->count; i++) {
		const struct jst_worker *w = st->tasks[i].run_worker;

		if (st->tasks[i].active_run != NULL &&
		    w->plan_index < r->nworkers &&
		    r->workers[w->plan_index].w == w)
			r->step_tasks[w->plan_index] += (uint32_t)sign;
	}
	for (i = 0; st->spec->lasting && i < r->nchosen; i++) {
		if (r->chosen[i].step == st)
			r->step_tasks[r->chosen[i].worker] += (uint32_t)sign;
	}
}

/* Computes the cost of a worker for a task. Returns false if it can't take
 * one. */
static bool
option_init(const struct jplan_round *r, const struct jst_step *st,
    const struct jplan_need *d, struct jplan_option *pl)
{
	const struct jplan_worker *p = &r->workers[pl->worker];
	uint32_t ntasks_there = r->step_tasks[pl->worker];

	if (!p->usable || (p->reserved && !d->may_use_reserved) ||
	    !fits(d, p) || !jplan_is_eligible(d, p) ||
	    jplan_room_blocks(r, d, p) ||
	    (p->cold && !jplan_cold_may_use(r, p, st->spec->gang)) ||
	    (st->spec->spread > 0 && ntasks_there >= st->spec->spread))
		return false;
	pl->interference = d->best_effort
	    ? jplan_interf_cost(r->interf, p, d->image_index, cpu_share(d, p))
	    : 0;
	if (d->may_wait && pl->interference > JPLAN_WAIT_INTERFERENCE)
		return false;
	pl->cost = worker_cost(st, d, p, pl->interference, ntasks_there) +
	    (jplan_room_is_held(r, st, d, p) ? JPLAN_SLOT_COST : 0);
	return true;
}

/* Tells whether a is better than b. Equal costs go by index, so that plans are
 * reproducible. */
static bool
is_cheaper(const struct jplan_option *a, const struct jplan_option *b)
{
	return a->cost < b->cost ||
	    (a->cost == b->cost && a->worker < b->worker);
}

/* Moves entry i down to its place in the heap. */
static void
sift_down(struct jplan_round *r, size_t i)
{
	struct jplan_option x = r->heap[i];
	size_t k;

	while ((k = 2 * i + 1) < r->nheap) {
		if (k + 1 < r->nheap &&
		    is_cheaper(&r->heap[k + 1], &r->heap[k]))
			k++;
		if (!is_cheaper(&r->heap[k], &x))
			break;
		r->heap[i] = r->heap[k];
		i = k;
	}
	r->heap[i] = x;
}

/* Builds the heap of the workers that can take a task of a step. */
static void
heap_fill(struct jplan_round *r, const struct jst_step *st,
    const struct jplan_need *d)
{
	size_t i;

	r->nheap = 0;
	for (i = 0; i < r->nworkers; i++) {
		r->heap[r->nheap].worker = (uint32_t)i;
		r->nheap += option_init(r, st, d, &r->heap[r->nheap]);
	}
	for (i = r->nheap / 2; i > 0; i--)
		sift_down(r, i - 1);
}

/* Removes the best worker from the heap. */
static void
heap_pop(struct jplan_round *r)
{
	r->heap[0] = r->heap[--r->nheap];
	if (r->nheap > 0)
		sift_down(r, 0);
}

/* Computes the cost of the best worker again, and removes it if it can't take
 * another task. */
static void
heap_update_top(struct jplan_round *r, const struct jst_step *st,
    const struct jplan_need *d)
{
	if (option_init(r, st, d, &r->heap[0]))
		sift_down(r, 0);
	else
		heap_pop(r);
}

/*
 * Finds the worker of least cost, false if there is none. Since the heap was
 * built, costs have changed only for workers that took a task, and where
 * interference affects a job with tasks on several workers. So the top of the
 * heap is the best if its cost is still no higher than that of the next.
 */
static bool
heap_find_best(struct jplan_round *r, const struct jst_step *st,
    const struct jplan_need *d, struct jplan_option *best)
{
	while (r->nheap > 0) {
		*best = r->heap[0];
		if (option_init(r, st, d, best) &&
		    (r->nheap == 1 || best->cost <= r->heap[0].cost))
			return true;
		heap_update_top(r, st, d);
	}
	return false;
}

/* Tells whether so much of a service is free that no task should wait long. */
static bool
is_low_load(const struct jplan_round *r, const struct jplan_need *d)
{
	const struct jplan_service *s = &r->services[d->service_index];

	return (double)s->cpu_allocated <
	    JPLAN_LOW_LOAD_SHARE * (double)s->cpu_total;
}

/* Tells whether a step has waited too long on a service of which much is
 * free. */
static bool
is_overdue(const struct jplan_round *r, const struct jst_step *st,
    const struct jplan_need *d)
{
	return st->waiting_since_ms != 0 &&
	    r->now_ms - st->waiting_since_ms >= JPLAN_LOW_LOAD_WAIT_MS &&
	    is_low_load(r, d);
}

/* Tells whether no task of a step's occurrence is assigned or being
 * assigned. */
static bool
is_occurrence_idle(const struct jst_step *st)
{
	const Job__Spec *spec = st->job->spec;
	const struct jst_step *s = jst_first_step(st);
	size_t i;

	for (i = 0; i < spec->n_steps; i++) {
		if (s[i].nproposed > 0 ||
		    s[i].nwaiting + s[i].ndone < s[i].spec->count)
			return false;
	}
	return true;
}

/* Tells whether a new long-running task would use processors that short jobs
 * need. */
static bool
needs_reserve(const struct jplan_round *r, const struct jst_step *st,
    const struct jplan_need *d, const struct jplan_worker *p)
{
	struct jplan_worker after = *p;
	const struct jplan_service *s = &r->services[d->service_index];
	int64_t lost;

	if (!st->spec->lasting || d->displaced || is_low_load(r, d))
		return false;
	if (s->cpu_free - d->cpu < s->cpu_reserved)
		return true;
	after.free_cpu -= d->cpu;
	lost = whole_pieces(r, p) - whole_pieces(r, &after);
	return lost > 0 && s->cpu_in_pieces - lost < s->cpu_reserved;
}

/*
 * Places as many waiting tasks of a step as fit. If none does of an overdue
 * best-effort step and nothing of its job runs, one task, or a gang, shares
 * processors that others use already: workers don't count them for best-effort
 * tasks.
 */
size_t
jplan_place(struct jplan_round *r, struct jst_step *st, bool displaced,
    bool can_wait, struct jplan_choice *out, size_t max)
{
	struct jplan_need d = jplan_get_need(r, st, displaced);
	struct jplan_option best;
	bool found, overdue, may_share, met_reserve = false;
	uint32_t t;
	size_t k = 0, i;

	if (d.service_index == JPLAN_NO_SERVICE)
		return 0;
	overdue = is_overdue(r, st, &d);
	d.may_wait = can_wait && d.best_effort && !overdue;
	d.may_use_reserved = displaced ||
	    (overdue && st->nwaiting + st->ndone == st->spec->count);
	d.ignores_room |= overdue && r->look != NULL;
	may_share = overdue && d.best_effort && is_occurrence_idle(st);
	if (st->waiting_since_ms == 0)
		st->waiting_since_ms = r->now_ms;
	if (!may_share && known_not_to_fit(r, &d))
		return 0;
	count_step_tasks(r, st, 1);
	heap_fill(r, st, &d);
	for (t = 0; t < st->spec->count && k < max; t++) {
		if (!is_waiting(&st->tasks[t]) ||
		    (st->spec->lasting && !st->spec->gang &&
			(st->tasks[t].run > 0) != displaced))
			continue;
		while ((found = heap_find_best(r, st, &d, &best)) &&
		    needs_reserve(r, st, &d, &r->workers[best.worker])) {
			heap_pop(r);
			met_reserve = true;
		}
		if (!found && may_share && (k == 0 || st->spec->gang)) {
			d.shares_cpu = true;
			heap_fill(r, st, &d);
			found = heap_find_best(r, st, &d, &best);
		}
		if (!found) {
			if (st->spec->spread == 0 && !met_reserve &&
			    d.advice == NULL)
				record_no_fit(r, &d);
			break;
		}
		out[k].interference = best.interference;
		out[k].may_wait = d.may_wait;
		add_free_cpu(r, &r->workers[best.worker], -1);
		allocate(r->interf, st, &d, &r->workers[best.worker], 1);
		if (r->workers[best.worker].cold)
			jplan_cold_count(r, &r->workers[best.worker], 1);
		jplan_room_note(r, st, &d, &r->workers[best.worker], 1);
		add_free_cpu(r, &r->workers[best.worker], 1);
		r->step_tasks[best.worker]++;
		heap_update_top(r, st, &d);
		out[k].step = st;
		out[k].index = t;
		out[k].worker = best.worker;
		k++;
		d.shares_cpu &= st->spec->gang;
	}
	count_step_tasks(r, st, -1);
	for (i = 0; i < k; i++)
		r->step_tasks[out[i].worker]--;
	return k;
}

/* Returns how much is lacking of what a task needs, as a share of it. */
static double
lacking_share(int64_t need, int64_t free_amount)
{
	return need > free_amount ? (double)(need - free_amount) / (double)need
				  : 0;
}

/* Returns how much a worker lacks for a task, as a share of what the task
 * needs. */
static double
shortage(const struct jplan_need *d, const struct jplan_worker *p)
{
	double cpu = lacking_share(d->cpu, p->free_cpu);
	double mem = lacking_share(d->mem, p->free_mem);
	double accel = lacking_share(d->accel, p->free_accel);

	return fmax(cpu, fmax(mem, accel));
}

/* Tells whether a worker that can't take a displaced task now will be able to
 * once its short tasks have ended. */
static bool
will_fit(const struct jplan_round *r, const struct jst_step *st,
    const struct jplan_need *d, size_t worker)
{
	const struct jplan_worker *p = &r->workers[worker];
	const Job__Worker *w = p->w->info;

	return p->usable && !p->reserved && jplan_is_eligible(d, p) &&
	    (st->spec->spread == 0 ||
		r->step_tasks[worker] < st->spec->spread) &&
	    d->cpu <= p->cpu_total - p->lasting_cpu &&
	    d->mem <= (int64_t)w->mem_mb - p->lasting_mem &&
	    d->accel <= (int64_t)w->accel - p->lasting_accel;
}

/* Reserves the workers that lack least, among those that will have enough once
 * their short tasks have ended. */
void
jplan_reserve(struct jplan_round *r, const struct jst_step *st, size_t tasks)
{
	struct jplan_need d = jplan_get_need(r, st, true);
	struct jplan_service *s;
	size_t i, best, most;

	if (d.service_index == JPLAN_NO_SERVICE)
		return;
	s = &r->services[d.service_index];
	most = s->nworkers / JPLAN_WORKERS_PER_RESERVED + 1;
	count_step_tasks(r, st, 1);
	for (; tasks > 0 && s->nreserved < most; tasks--) {
		best = r->nworkers;
		for (i = 0; i < r->nworkers; i++) {
			if (!will_fit(r, st, &d, i))
				continue;
			if (best == r->nworkers ||
			    shortage(&d, &r->workers[i]) <
				shortage(&d, &r->workers[best]))
				best = i;
		}
		if (best == r->nworkers)
			break;
		r->workers[best].reserved = true;
		s->nreserved++;
	}
	count_step_tasks(r, st, -1);
}

/* Undoes choices. What didn't fit before may fit again. */
void
jplan_undo(struct jplan_round *r, const struct jplan_choice *c, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		struct jplan_need d = jplan_get_need(r, c[i].step, false);
		struct jplan_worker *p = &r->workers[c[i].worker];

		add_free_cpu(r, p, -1);
		allocate(r->interf, c[i].step, &d, p, -1);
		if (p->cold)
			jplan_cold_count(r, p, -1);
		jplan_room_note(r, c[i].step, &d, p, -1);
		add_free_cpu(r, p, 1);
	}
	if (n > 0)
		r->nno_fit = 0;
}
