#include "placement/alloc.h"

#include <string.h>

/* True when need is at most room in every dimension. */
bool
res_fits(const struct sched_res *need, const struct sched_res *room)
{
	return need->cpu_milli <= room->cpu_milli &&
	    need->mem_mb <= room->mem_mb && need->accel <= room->accel;
}

void
res_add(struct sched_res *a, const struct sched_res *b)
{
	a->cpu_milli += b->cpu_milli;
	a->mem_mb += b->mem_mb;
	a->accel += b->accel;
}

void
res_sub(struct sched_res *a, const struct sched_res *b)
{
	a->cpu_milli -= b->cpu_milli;
	a->mem_mb -= b->mem_mb;
	a->accel -= b->accel;
}

/*
 * Level of an amount on a scale of half octaves from unit upwards: 0 below
 * unit. Every amount of a level above that of a need is larger than the need.
 */
static unsigned
alloc_level(int64_t amount, int64_t unit)
{
	uint64_t x;
	unsigned log2, half;

	if (amount < unit)
		return 0;
	x = (uint64_t)(amount / unit);
	log2 = 63 - (unsigned)__builtin_clzll(x);
	/* sqrt(2) is taken as 181/128. */
	half = (uint64_t)amount * 128 >= ((uint64_t)unit << log2) * 181;
	x = 1 + 2 * (uint64_t)log2 + half;
	return x < ALLOC_LEVELS ? (unsigned)x : ALLOC_LEVELS - 1;
}

static unsigned
alloc_cpu_level(int64_t cpu_milli)
{
	return alloc_level(cpu_milli, 100);
}

static unsigned
alloc_mem_level(int64_t mem_mb)
{
	return alloc_level(mem_mb, 64);
}

static unsigned
alloc_grid(int64_t accel)
{
	if (accel <= 0)
		return 0;
	return accel >= 8 ? 4 : accel >= 4 ? 3 : accel >= 2 ? 2 : 1;
}

void
alloc_init(struct alloc *a, TALLOC_CTX *ctx, uint64_t seed)
{
	memset(a, 0, sizeof(*a));
	a->tfree = ALLOC_NONE;
	hmap_init(&a->by_epoch, ctx);
	hmap_init(&a->by_task, ctx);
	rng_init(&a->rng, seed);
}

void
alloc_finish(struct alloc *a)
{
	unsigned g, i;

	for (g = 0; g < ALLOC_GRIDS; g++)
		for (i = 0; i < ALLOC_LEVELS * ALLOC_LEVELS; i++)
			talloc_free(a->grid[g][i].v);
	for (i = 0; i < a->nw; i++) {
		talloc_free(a->w[i].name);
		talloc_free(a->w[i].serves);
		talloc_free(a->w[i].shares);
	}
	talloc_free(a->w);
	talloc_free(a->t);
	talloc_free(a->wfree);
	hmap_finish(&a->by_epoch);
	hmap_finish(&a->by_task);
}

/* What is neither held nor taken by requests. */
struct sched_res
alloc_free(const struct alloc_worker *w)
{
	struct sched_res r = w->cap;

	res_sub(&r, &w->held);
	return r;
}

static void
alloc_unbucket(struct alloc *a, uint32_t wi)
{
	struct alloc_worker *w = &a->w[wi];
	unsigned g, cell;
	struct alloc_bucket *b;

	if (w->bucket == ALLOC_NONE)
		return;
	g = w->bucket / (ALLOC_LEVELS * ALLOC_LEVELS);
	cell = w->bucket % (ALLOC_LEVELS * ALLOC_LEVELS);
	b = &a->grid[g][cell];
	b->v[w->pos] = b->v[--b->n];
	a->w[b->v[w->pos]].pos = w->pos;
	if (b->n == 0)
		a->row[g][cell / ALLOC_LEVELS] &=
		    ~(1U << (cell % ALLOC_LEVELS));
	w->bucket = ALLOC_NONE;
}

/* Puts a worker into the bucket of its free capacity. */
static void
alloc_rebucket(struct alloc *a, uint32_t wi)
{
	struct alloc_worker *w = &a->w[wi];
	struct sched_res r = alloc_free(w);
	unsigned g = alloc_grid(r.accel);
	unsigned cell = alloc_cpu_level(r.cpu_milli) * ALLOC_LEVELS +
	    alloc_mem_level(r.mem_mb);
	uint32_t id = g * ALLOC_LEVELS * ALLOC_LEVELS + cell;
	struct alloc_bucket *b = &a->grid[g][cell];

	if (w->closed || w->draining) {
		alloc_unbucket(a, wi);
		return;
	}
	if (w->bucket == id)
		return;
	alloc_unbucket(a, wi);
	if (b->n == b->cap) {
		b->cap = b->cap > 0 ? b->cap * 2 : 8;
		b->v = talloc_realloc(a->by_task.ctx, b->v, uint32_t, b->cap);
	}
	w->bucket = id;
	w->pos = b->n;
	b->v[b->n++] = wi;
	a->row[g][cell / ALLOC_LEVELS] |= 1U << (cell % ALLOC_LEVELS);
}

/* Adds to what is held on a worker and in the fleet. */
static void
alloc_charge(struct alloc *a, uint32_t wi, const struct sched_res *by)
{
	res_add(&a->w[wi].held, by);
	res_add(&a->held, by);
	alloc_rebucket(a, wi);
}

static void
alloc_shape_count(struct alloc *a, const struct sched_res *cap, int by)
{
	uint32_t i;

	for (i = 0; i < a->nshapes; i++)
		if (memcmp(&a->shape[i], cap, sizeof(*cap)) == 0)
			break;
	if (i == a->nshapes) {
		if (by < 0)
			return;
		/* With very many shapes, one is merged into the largest. */
		if (a->nshapes == ALLOC_SHAPES)
			return;
		a->shape[a->nshapes] = *cap;
		a->shape_n[a->nshapes++] = 0;
	}
	a->shape_n[i] += (uint32_t)by;
	if (a->shape_n[i] == 0) {
		a->nshapes--;
		a->shape[i] = a->shape[a->nshapes];
		a->shape_n[i] = a->shape_n[a->nshapes];
	}
}

/*
 * Adds a worker under its epoch. The classes it serves are left for the
 * caller to fill in. Returns its index.
 */
uint32_t
alloc_worker_add(struct alloc *a, TALLOC_CTX *owner,
    const struct sched_worker *in, uint32_t rack, uint32_t domain)
{
	uint32_t i;
	struct alloc_worker *w;

	if (a->nwfree > 0) {
		i = a->wfree[--a->nwfree];
	} else {
		if (a->nw == a->cw) {
			a->cw = a->cw > 0 ? a->cw * 2 : 16;
			a->w = talloc_realloc(
			    owner, a->w, struct alloc_worker, a->cw);
			a->wfree =
			    talloc_realloc(owner, a->wfree, uint32_t, a->cw);
		}
		i = a->nw++;
	}
	w = &a->w[i];
	memset(w, 0, sizeof(*w));
	w->epoch = in->epoch;
	w->name = str_cstr(owner, in->name);
	w->cap = in->cap;
	w->rack = rack;
	w->domain = domain;
	w->head = ALLOC_NONE;
	w->slots = in->slots;
	w->bucket = ALLOC_NONE;
	hmap_set(&a->by_epoch, in->epoch, i);
	a->alive++;
	res_add(&a->total, &w->cap);
	alloc_shape_count(a, &w->cap, 1);
	alloc_rebucket(a, i);
	return i;
}

/* Forgets a worker; its tasks have been released before. */
void
alloc_worker_del(struct alloc *a, uint32_t wi)
{
	struct alloc_worker *w = &a->w[wi];

	alloc_unbucket(a, wi);
	hmap_del(&a->by_epoch, w->epoch);
	res_sub(&a->total, &w->cap);
	res_sub(&a->held, &w->held);
	alloc_shape_count(a, &w->cap, -1);
	talloc_free(w->name);
	talloc_free(w->serves);
	talloc_free(w->shares);
	memset(w, 0, sizeof(*w));
	w->bucket = ALLOC_NONE;
	a->wfree[a->nwfree++] = wi;
	a->alive--;
}

/* Index of the worker with an epoch, or ALLOC_NONE. */
uint32_t
alloc_worker_find(const struct alloc *a, uint64_t epoch)
{
	return hmap_get(&a->by_epoch, epoch);
}

void
alloc_worker_close(struct alloc *a, uint32_t wi, bool closed)
{
	a->w[wi].closed = closed;
	alloc_rebucket(a, wi);
}

void
alloc_worker_svc(struct alloc *a, uint32_t wi, struct sched_res svc)
{
	struct alloc_worker *w = &a->w[wi];
	struct sched_res room = alloc_free(w), by;

	res_add(&room, &w->svc);
	if (svc.cpu_milli > room.cpu_milli)
		svc.cpu_milli = room.cpu_milli;
	if (svc.mem_mb > room.mem_mb)
		svc.mem_mb = room.mem_mb;
	svc.accel = 0;
	by = svc;
	res_sub(&by, &w->svc);
	w->svc = svc;
	alloc_charge(a, wi, &by);
}

/*
 * Checks a need against the capacities in the fleet. *accel is set when some
 * worker has enough accelerators, whatever its other sizes.
 */
bool
alloc_ever_fits(
    const struct alloc *a, const struct sched_res *need, bool *accel)
{
	uint32_t i;

	*accel = false;
	for (i = 0; i < a->nshapes; i++) {
		if (need->accel <= a->shape[i].accel)
			*accel = true;
		if (res_fits(need, &a->shape[i]))
			return true;
	}
	return false;
}

/*
 * Examines one bucket from a random start. Appends workers with room to out
 * until max are found or the allowance of examined workers is used up.
 */
static unsigned
alloc_bucket_scan(struct alloc *a, const struct alloc_bucket *b,
    const struct sched_res *need, uint32_t *out, unsigned n, unsigned max,
    unsigned *scan)
{
	uint32_t k, at = (uint32_t)rng_below(&a->rng, b->n), wi;
	struct sched_res room;

	for (k = 0; k < b->n && n<max && * scan> 0; k++, (*scan)--) {
		wi = b->v[at];
		at = at + 1 < b->n ? at + 1 : 0;
		room = alloc_free(&a->w[wi]);
		if (res_fits(need, &room))
			out[n++] = wi;
	}
	return n;
}

/*
 * Collects candidates from the buckets that can hold need. The walk starts at
 * a random row of the eligible ones, so that both nearly full and nearly
 * empty workers are among the candidates. Rows at the level of the need
 * itself are walked too; workers there are checked one by one. The work is
 * bounded by the size of the grid and by ALLOC_SCAN.
 */
unsigned
alloc_candidates(
    struct alloc *a, const struct sched_res *need, uint32_t *out, unsigned max)
{
	unsigned c0 = alloc_cpu_level(need->cpu_milli);
	unsigned m0 = alloc_mem_level(need->mem_mb);
	unsigned g0 = alloc_grid(need->accel);
	unsigned n = 0, scan = ALLOC_SCAN > max ? ALLOC_SCAN : max;
	unsigned g, i, rows = ALLOC_LEVELS - c0, start, c, m, share;
	unsigned each = max >= a->alive ? max : (max + 1) / 2;
	uint32_t mask;

	start = (unsigned)rng_below(&a->rng, rows);
	for (g = g0; g < ALLOC_GRIDS && n < max && scan > 0; g++) {
		for (i = 0; i < rows && n < max && scan > 0; i++) {
			c = c0 + (start + i) % rows;
			mask = a->row[g][c] & ~((1U << m0) - 1);
			while (mask != 0 && n < max && scan > 0) {
				m = (unsigned)__builtin_ctz(mask);
				mask &= mask - 1;
				share = n + each;
				n = alloc_bucket_scan(a,
				    &a->grid[g][c * ALLOC_LEVELS + m], need,
				    out, n, share < max ? share : max, &scan);
			}
		}
	}
	return n;
}

static struct alloc_share *
alloc_share_of(struct alloc *a, struct alloc_worker *w, uint32_t cls)
{
	uint32_t i;

	for (i = 0; i < w->nshares; i++)
		if (w->shares[i].cls == cls)
			return &w->shares[i];
	if (w->nshares == w->cshares) {
		w->cshares = w->cshares > 0 ? w->cshares * 2 : 4;
		w->shares = talloc_realloc(
		    a->by_task.ctx, w->shares, struct alloc_share, w->cshares);
	}
	w->shares[w->nshares] = (struct alloc_share){ .cls = cls };
	return &w->shares[w->nshares++];
}

static void
alloc_share_add(struct alloc *a, const struct alloc_task *t, int64_t cpu, int n)
{
	struct alloc_worker *w = &a->w[t->worker];
	struct alloc_share *sh = alloc_share_of(a, w, t->cls);

	sh->n += (uint32_t)n;
	sh->cpu_milli += cpu;
	if (sh->n == 0)
		*sh = w->shares[--w->nshares];
}

/*
 * Takes resources on a worker for a task. Fails without effect when they do
 * not fit; this is the only way in which a task comes to hold resources.
 */
bool
alloc_task_hold(struct alloc *a, uint32_t wi, uint64_t id, uint32_t job,
    uint32_t cls, bool urgent, struct sched_res need, uint32_t *task)
{
	struct alloc_worker *w = &a->w[wi];
	struct sched_res room = alloc_free(w);
	struct alloc_task *t;
	uint32_t i;

	if (!res_fits(&need, &room))
		return false;
	if (a->tfree != ALLOC_NONE) {
		i = a->tfree;
		a->tfree = a->t[i].wnext;
	} else {
		if (a->nt == a->ct) {
			a->ct = a->ct > 0 ? a->ct + a->ct / 2 : 64;
			a->t = talloc_realloc(
			    a->by_task.ctx, a->t, struct alloc_task, a->ct);
		}
		i = a->nt++;
	}
	t = &a->t[i];
	memset(t, 0, sizeof(*t));
	t->id = id;
	t->held = need;
	t->worker = wi;
	t->job = job;
	t->cls = cls;
	t->urgent = urgent;
	t->full_cpu = (int32_t)need.cpu_milli;
	t->percent = 100;
	t->jnext = t->jprev = ALLOC_NONE;
	t->wprev = ALLOC_NONE;
	t->wnext = w->head;
	if (w->head != ALLOC_NONE)
		a->t[w->head].wprev = i;
	w->head = i;
	w->ntasks++;
	hmap_set(&a->by_task, id, i);
	alloc_charge(a, wi, &need);
	alloc_share_add(a, t, need.cpu_milli, 1);
	*task = i;
	return true;
}

/* Gives everything a task holds back and forgets it. */
void
alloc_task_release(struct alloc *a, uint32_t ti)
{
	struct alloc_task *t = &a->t[ti];
	struct alloc_worker *w = &a->w[t->worker];
	struct sched_res by = { 0 };

	res_sub(&by, &t->held);
	alloc_charge(a, t->worker, &by);
	alloc_share_add(a, t, by.cpu_milli, -1);
	if (t->wprev != ALLOC_NONE)
		a->t[t->wprev].wnext = t->wnext;
	else
		w->head = t->wnext;
	if (t->wnext != ALLOC_NONE)
		a->t[t->wnext].wprev = t->wprev;
	w->ntasks--;
	hmap_del(&a->by_task, t->id);
	t->wnext = a->tfree;
	a->tfree = ti;
}

/*
 * Sets the processors and memory a task holds. A raise is limited to the
 * room on the worker; false is returned when it was.
 */
bool
alloc_task_resize(struct alloc *a, uint32_t ti, struct sched_res to)
{
	struct alloc_task *t = &a->t[ti];
	struct alloc_worker *w = &a->w[t->worker];
	struct sched_res room = alloc_free(w), by;
	bool whole = true;

	to.accel = t->held.accel;
	res_add(&room, &t->held);
	if (to.cpu_milli > room.cpu_milli) {
		to.cpu_milli = room.cpu_milli;
		whole = false;
	}
	if (to.mem_mb > room.mem_mb) {
		to.mem_mb = room.mem_mb;
		whole = false;
	}
	by = to;
	res_sub(&by, &t->held);
	t->held = to;
	alloc_charge(a, t->worker, &by);
	alloc_share_add(a, t, by.cpu_milli, 0);
	return whole;
}

/* Index of the record of a task that holds resources, or ALLOC_NONE. */
uint32_t
alloc_task_find(const struct alloc *a, uint64_t id)
{
	return hmap_get(&a->by_task, id);
}
