#include "placement/alloc.h"

#include <string.h>

/* Returns true if need is at most room in every dimension. */
bool
res_fits(const struct sched_res *need, const struct sched_res *room)
{
	return need->cpu_milli <= room->cpu_milli &&
	    need->mem_mb <= room->mem_mb && need->accel <= room->accel;
}

/* Adds b to a in every dimension. */
void
res_add(struct sched_res *a, const struct sched_res *b)
{
	a->cpu_milli += b->cpu_milli;
	a->mem_mb += b->mem_mb;
	a->accel += b->accel;
}

/* Subtracts b from a in every dimension. The result may be negative. */
void
res_sub(struct sched_res *a, const struct sched_res *b)
{
	a->cpu_milli -= b->cpu_milli;
	a->mem_mb -= b->mem_mb;
	a->accel -= b->accel;
}

/*
 * Returns the level of an amount on a scale of half octaves from unit upwards,
 * 0 below unit. Every amount at a higher level than a need is larger than the
 * need.
 */
static unsigned
alloc_level(int64_t amount, int64_t unit)
{
	uint64_t x;
	unsigned log2, upper_half;

	if (amount < unit)
		return 0;
	x = (uint64_t)(amount / unit);
	log2 = 63 - (unsigned)__builtin_clzll(x);
	/* 181/128 approximates sqrt(2). */
	upper_half = (uint64_t)amount * 128 >= ((uint64_t)unit << log2) * 181;
	x = 1 + 2 * (uint64_t)log2 + upper_half;
	return x < ALLOC_LEVELS ? (unsigned)x : ALLOC_LEVELS - 1;
}

/* Returns the level of an amount of processors in thousandths. */
static unsigned
alloc_cpu_level(int64_t cpu_milli)
{
	return alloc_level(cpu_milli, 100);
}

/* Returns the level of an amount of memory in MiB. */
static unsigned
alloc_mem_level(int64_t mem_mb)
{
	return alloc_level(mem_mb, 64);
}

/* Returns the index of the grid for a number of free accelerators. */
static unsigned
alloc_grid(int64_t accel)
{
	if (accel <= 0)
		return 0;
	return accel >= 8 ? 4 : accel >= 4 ? 3 : accel >= 2 ? 2 : 1;
}

/*
 * Initialises an allocator without workers. seed determines the order in which
 * candidates are examined.
 */
void
alloc_init(struct alloc *a, TALLOC_CTX *ctx, uint64_t seed)
{
	memset(a, 0, sizeof(*a));
	a->free_task = ALLOC_NONE;
	hmap_init(&a->by_epoch, ctx);
	hmap_init(&a->by_task, ctx);
	rng_init(&a->rng, seed);
}

/* Frees the memory of an allocator. */
void
alloc_finish(struct alloc *a)
{
	unsigned g, i;

	for (g = 0; g < ALLOC_GRIDS; g++)
		for (i = 0; i < ALLOC_LEVELS * ALLOC_LEVELS; i++)
			talloc_free(a->grid[g][i].workers);
	for (i = 0; i < a->nworkers; i++) {
		talloc_free(a->workers[i].name);
		talloc_free(a->workers[i].serves);
		talloc_free(a->workers[i].class_uses);
	}
	talloc_free(a->workers);
	talloc_free(a->tasks);
	talloc_free(a->free_workers);
	hmap_finish(&a->by_epoch);
	hmap_finish(&a->by_task);
}

/*
 * Returns the capacity of a worker that is allocated neither to tasks nor to
 * requests.
 */
struct sched_res
alloc_free_capacity(const struct alloc_worker *w)
{
	struct sched_res r = w->capacity;

	res_sub(&r, &w->allocated);
	return r;
}

/* Takes a worker out of its bucket, if it is in one. */
static void
alloc_bucket_remove(struct alloc *a, uint32_t wi)
{
	struct alloc_worker *w = &a->workers[wi];
	unsigned g, cell;
	struct alloc_bucket *b;

	if (w->bucket == ALLOC_NONE)
		return;
	g = w->bucket / (ALLOC_LEVELS * ALLOC_LEVELS);
	cell = w->bucket % (ALLOC_LEVELS * ALLOC_LEVELS);
	b = &a->grid[g][cell];
	b->workers[w->bucket_pos] = b->workers[--b->nworkers];
	a->workers[b->workers[w->bucket_pos]].bucket_pos = w->bucket_pos;
	if (b->nworkers == 0)
		a->nonempty[g][cell / ALLOC_LEVELS] &=
		    ~(1U << (cell % ALLOC_LEVELS));
	w->bucket = ALLOC_NONE;
}

/*
 * Moves a worker to the bucket of its free capacity. A closed or draining
 * worker is in no bucket.
 */
static void
alloc_bucket_update(struct alloc *a, uint32_t wi)
{
	struct alloc_worker *w = &a->workers[wi];
	struct sched_res r = alloc_free_capacity(w);
	unsigned g = alloc_grid(r.accel);
	unsigned cell = alloc_cpu_level(r.cpu_milli) * ALLOC_LEVELS +
	    alloc_mem_level(r.mem_mb);
	uint32_t id = g * ALLOC_LEVELS * ALLOC_LEVELS + cell;
	struct alloc_bucket *b = &a->grid[g][cell];

	if (w->closed || w->draining) {
		alloc_bucket_remove(a, wi);
		return;
	}
	if (w->bucket == id)
		return;
	alloc_bucket_remove(a, wi);
	if (b->nworkers == b->workers_cap) {
		b->workers_cap = b->workers_cap > 0 ? b->workers_cap * 2 : 8;
		b->workers = talloc_realloc(
		    a->by_task.ctx, b->workers, uint32_t, b->workers_cap);
	}
	w->bucket = id;
	w->bucket_pos = b->nworkers;
	b->workers[b->nworkers++] = wi;
	a->nonempty[g][cell / ALLOC_LEVELS] |= 1U << (cell % ALLOC_LEVELS);
}

/* Adds to what is allocated on a worker and in the fleet. */
static void
alloc_add_allocated(struct alloc *a, uint32_t wi, const struct sched_res *by)
{
	res_add(&a->workers[wi].allocated, by);
	res_add(&a->allocated, by);
	alloc_bucket_update(a, wi);
}

/* Adds by, 1 or -1, to the number of workers with a capacity. */
static void
alloc_count_shape(struct alloc *a, const struct sched_res *cap, int by)
{
	uint32_t i;

	for (i = 0; i < a->nshapes; i++)
		if (memcmp(&a->shape[i], cap, sizeof(*cap)) == 0)
			break;
	if (i == a->nshapes) {
		if (by < 0)
			return;
		/* Capacities beyond ALLOC_SHAPES_MAX are not counted. */
		if (a->nshapes == ALLOC_SHAPES_MAX)
			return;
		a->shape[a->nshapes] = *cap;
		a->shape_count[a->nshapes++] = 0;
	}
	a->shape_count[i] += (uint32_t)by;
	if (a->shape_count[i] == 0) {
		a->nshapes--;
		a->shape[i] = a->shape[a->nshapes];
		a->shape_count[i] = a->shape_count[a->nshapes];
	}
}

/*
 * Adds a worker under its epoch and returns its index. Its strings and lists
 * are allocated below owner; the caller fills in the classes it serves.
 */
uint32_t
alloc_worker_add(struct alloc *a, TALLOC_CTX *owner,
    const struct sched_worker *in, uint32_t rack, uint32_t domain)
{
	uint32_t i;
	struct alloc_worker *w;

	if (a->nfree_workers > 0) {
		i = a->free_workers[--a->nfree_workers];
	} else {
		if (a->nworkers == a->workers_cap) {
			a->workers_cap =
			    a->workers_cap > 0 ? a->workers_cap * 2 : 16;
			a->workers = talloc_realloc(owner, a->workers,
			    struct alloc_worker, a->workers_cap);
			a->free_workers = talloc_realloc(
			    owner, a->free_workers, uint32_t, a->workers_cap);
		}
		i = a->nworkers++;
	}
	w = &a->workers[i];
	memset(w, 0, sizeof(*w));
	w->epoch = in->epoch;
	w->name = str_cstr(owner, in->name);
	w->capacity = in->capacity;
	w->rack = rack;
	w->domain = domain;
	w->first_task = ALLOC_NONE;
	w->slots = in->slots;
	w->bucket = ALLOC_NONE;
	hmap_set(&a->by_epoch, in->epoch, i);
	a->nalive++;
	res_add(&a->total, &w->capacity);
	alloc_count_shape(a, &w->capacity, 1);
	alloc_bucket_update(a, i);
	return i;
}

/* Deletes a worker whose tasks have been released before. */
void
alloc_worker_del(struct alloc *a, uint32_t wi)
{
	struct alloc_worker *w = &a->workers[wi];

	alloc_bucket_remove(a, wi);
	hmap_del(&a->by_epoch, w->epoch);
	res_sub(&a->total, &w->capacity);
	res_sub(&a->allocated, &w->allocated);
	alloc_count_shape(a, &w->capacity, -1);
	talloc_free(w->name);
	talloc_free(w->serves);
	talloc_free(w->class_uses);
	memset(w, 0, sizeof(*w));
	w->bucket = ALLOC_NONE;
	a->free_workers[a->nfree_workers++] = wi;
	a->nalive--;
}

/* Returns the index of the worker with an epoch, or ALLOC_NONE. */
uint32_t
alloc_worker_find(const struct alloc *a, uint64_t epoch)
{
	return hmap_get(&a->by_epoch, epoch);
}

/* Excludes a worker from the candidates, or includes it again. */
void
alloc_worker_set_closed(struct alloc *a, uint32_t wi, bool closed)
{
	a->workers[wi].closed = closed;
	alloc_bucket_update(a, wi);
}

/*
 * Sets what is allocated on a worker for requests, limited to its free
 * capacity.
 */
void
alloc_worker_set_requests(
    struct alloc *a, uint32_t wi, struct sched_res requests)
{
	struct alloc_worker *w = &a->workers[wi];
	struct sched_res room = alloc_free_capacity(w), by;

	res_add(&room, &w->request_allocated);
	if (requests.cpu_milli > room.cpu_milli)
		requests.cpu_milli = room.cpu_milli;
	if (requests.mem_mb > room.mem_mb)
		requests.mem_mb = room.mem_mb;
	requests.accel = 0;
	by = requests;
	res_sub(&by, &w->request_allocated);
	w->request_allocated = requests;
	alloc_add_allocated(a, wi, &by);
}

/*
 * Returns true if some worker of the fleet could hold need when empty. *accel
 * is set if some worker has enough accelerators, whatever its other
 * dimensions.
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
 * Examines one bucket from a random position on. Appends workers with room for
 * need to out until it has max entries or *scan, the number of workers that
 * may still be examined, reaches 0. Returns the number of entries in out.
 */
static unsigned
alloc_bucket_scan(struct alloc *a, const struct alloc_bucket *b,
    const struct sched_res *need, uint32_t *out, unsigned n, unsigned max,
    unsigned *scan)
{
	uint32_t k, at = (uint32_t)rng_below(&a->rng, b->nworkers), wi;
	struct sched_res room;

	for (k = 0; k < b->nworkers && (n < max) && *scan > 0; k++, (*scan)--) {
		wi = b->workers[at];
		at = at + 1 < b->nworkers ? at + 1 : 0;
		room = alloc_free_capacity(&a->workers[wi]);
		if (res_fits(need, &room))
			out[n++] = wi;
	}
	return n;
}

/*
 * Fills out with at most max distinct workers that have room for need and
 * returns their number. The search starts at a random row of the eligible
 * ones, so that both nearly full and nearly empty workers are among the
 * candidates. Rows at the level of the need itself are searched too; there
 * each worker is checked. The cost is bounded by the size of the grid and by
 * ALLOC_SCAN_MAX.
 */
unsigned
alloc_candidates(
    struct alloc *a, const struct sched_res *need, uint32_t *out, unsigned max)
{
	unsigned cpu_level = alloc_cpu_level(need->cpu_milli);
	unsigned mem_level = alloc_mem_level(need->mem_mb);
	unsigned first_grid = alloc_grid(need->accel);
	unsigned n = 0, scan = ALLOC_SCAN_MAX > max ? ALLOC_SCAN_MAX : max;
	unsigned g, i, rows = ALLOC_LEVELS - cpu_level, start, c, m, limit;
	unsigned per_bucket = max >= a->nalive ? max : (max + 1) / 2;
	uint32_t mask;

	start = (unsigned)rng_below(&a->rng, rows);
	for (g = first_grid; g < ALLOC_GRIDS && n < max && scan > 0; g++) {
		for (i = 0; i < rows && n < max && scan > 0; i++) {
			c = cpu_level + (start + i) % rows;
			mask = a->nonempty[g][c] & ~((1U << mem_level) - 1);
			while (mask != 0 && n < max && scan > 0) {
				m = (unsigned)__builtin_ctz(mask);
				mask &= mask - 1;
				limit = n + per_bucket;
				n = alloc_bucket_scan(a,
				    &a->grid[g][c * ALLOC_LEVELS + m], need,
				    out, n, limit < max ? limit : max, &scan);
			}
		}
	}
	return n;
}

/* Returns the record of a class on a worker; creates it if it is missing. */
static struct alloc_class_use *
alloc_class_use_get(struct alloc *a, struct alloc_worker *w, uint32_t cls)
{
	uint32_t i;

	for (i = 0; i < w->nclass_uses; i++)
		if (w->class_uses[i].cls == cls)
			return &w->class_uses[i];
	if (w->nclass_uses == w->class_uses_cap) {
		w->class_uses_cap =
		    w->class_uses_cap > 0 ? w->class_uses_cap * 2 : 4;
		w->class_uses = talloc_realloc(a->by_task.ctx, w->class_uses,
		    struct alloc_class_use, w->class_uses_cap);
	}
	w->class_uses[w->nclass_uses] = (struct alloc_class_use){ .cls = cls };
	return &w->class_uses[w->nclass_uses++];
}

/*
 * Adds processors and a number of tasks to the record of a task's class on its
 * worker. Removes the record with the last task.
 */
static void
alloc_class_use_add(
    struct alloc *a, const struct alloc_task *t, int64_t cpu, int n)
{
	struct alloc_worker *w = &a->workers[t->worker];
	struct alloc_class_use *use = alloc_class_use_get(a, w, t->cls);

	use->ntasks += (uint32_t)n;
	use->cpu_milli += cpu;
	if (use->ntasks == 0)
		*use = w->class_uses[--w->nclass_uses];
}

/*
 * Allocates resources on a worker for a task; no other function does. Returns
 * false without effect if they do not fit.
 */
bool
alloc_task_add(struct alloc *a, uint32_t wi, uint64_t id, uint32_t job,
    uint32_t cls, bool urgent, struct sched_res need, uint32_t *task)
{
	struct alloc_worker *w = &a->workers[wi];
	struct sched_res room = alloc_free_capacity(w);
	struct alloc_task *t;
	uint32_t i;

	if (!res_fits(&need, &room))
		return false;
	if (a->free_task != ALLOC_NONE) {
		i = a->free_task;
		a->free_task = a->tasks[i].worker_next;
	} else {
		if (a->ntasks == a->tasks_cap) {
			a->tasks_cap = a->tasks_cap > 0
			    ? a->tasks_cap + a->tasks_cap / 2
			    : 64;
			a->tasks = talloc_realloc(a->by_task.ctx, a->tasks,
			    struct alloc_task, a->tasks_cap);
		}
		i = a->ntasks++;
	}
	t = &a->tasks[i];
	memset(t, 0, sizeof(*t));
	t->id = id;
	t->allocated = need;
	t->worker = wi;
	t->job = job;
	t->cls = cls;
	t->urgent = urgent;
	t->full_cpu_milli = (int32_t)need.cpu_milli;
	t->percent = 100;
	t->job_next = t->job_prev = ALLOC_NONE;
	t->worker_prev = ALLOC_NONE;
	t->worker_next = w->first_task;
	if (w->first_task != ALLOC_NONE)
		a->tasks[w->first_task].worker_prev = i;
	w->first_task = i;
	w->ntasks++;
	hmap_set(&a->by_task, id, i);
	alloc_add_allocated(a, wi, &need);
	alloc_class_use_add(a, t, need.cpu_milli, 1);
	*task = i;
	return true;
}

/* Frees everything allocated for a task and deletes its record. */
void
alloc_task_release(struct alloc *a, uint32_t ti)
{
	struct alloc_task *t = &a->tasks[ti];
	struct alloc_worker *w = &a->workers[t->worker];
	struct sched_res by = { 0 };

	res_sub(&by, &t->allocated);
	alloc_add_allocated(a, t->worker, &by);
	alloc_class_use_add(a, t, by.cpu_milli, -1);
	if (t->worker_prev != ALLOC_NONE)
		a->tasks[t->worker_prev].worker_next = t->worker_next;
	else
		w->first_task = t->worker_next;
	if (t->worker_next != ALLOC_NONE)
		a->tasks[t->worker_next].worker_prev = t->worker_prev;
	w->ntasks--;
	hmap_del(&a->by_task, t->id);
	t->worker_next = a->free_task;
	a->free_task = ti;
}

/*
 * Sets the processors and memory allocated for a task. A raise is limited to
 * the room on the worker; false is returned if it was limited.
 */
bool
alloc_task_resize(struct alloc *a, uint32_t ti, struct sched_res to)
{
	struct alloc_task *t = &a->tasks[ti];
	struct alloc_worker *w = &a->workers[t->worker];
	struct sched_res room = alloc_free_capacity(w), by;
	bool is_complete = true;

	to.accel = t->allocated.accel;
	res_add(&room, &t->allocated);
	if (to.cpu_milli > room.cpu_milli) {
		to.cpu_milli = room.cpu_milli;
		is_complete = false;
	}
	if (to.mem_mb > room.mem_mb) {
		to.mem_mb = room.mem_mb;
		is_complete = false;
	}
	by = to;
	res_sub(&by, &t->allocated);
	t->allocated = to;
	alloc_add_allocated(a, t->worker, &by);
	alloc_class_use_add(a, t, by.cpu_milli, 0);
	return is_complete;
}

/*
 * Returns the index of the record of a task that has resources allocated, or
 * ALLOC_NONE.
 */
uint32_t
alloc_task_find(const struct alloc *a, uint64_t id)
{
	return hmap_get(&a->by_task, id);
}
