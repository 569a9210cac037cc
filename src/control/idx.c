#include "control/idx.h"

#include <stdlib.h>

#define IDX_MIN 16

/* Makes an empty index that holds no memory. */
void
idx_init(struct idx *x)
{
	x->v = NULL;
	x->cap = 0;
	x->n = 0;
}

/* Frees the index, not the objects. */
void
idx_finish(struct idx *x)
{
	free(x->v);
	idx_init(x);
}

/* Returns the object with this hash for which eq holds, or NULL. */
void *
idx_find(const struct idx *x, uint64_t hash, idx_eq eq, const void *key)
{
	size_t i;

	if (x->n == 0)
		return NULL;
	for (i = hash & (x->cap - 1); x->v[i].p != NULL;
	     i = (i + 1) & (x->cap - 1)) {
		if (x->v[i].hash == hash && eq(x->v[i].p, key))
			return x->v[i].p;
	}
	return NULL;
}

static void
idx_put(struct idx *x, uint64_t hash, void *object)
{
	size_t i = hash & (x->cap - 1);

	while (x->v[i].p != NULL)
		i = (i + 1) & (x->cap - 1);
	x->v[i].hash = hash;
	x->v[i].p = object;
}

/* Adds an object that is not in the index yet; aborts without memory. */
void
idx_add(struct idx *x, uint64_t hash, void *object)
{
	if (4 * (x->n + 1) > 3 * x->cap) {
		struct idx old = *x;
		size_t i;

		x->cap = old.cap == 0 ? IDX_MIN : 2 * old.cap;
		x->v = calloc(x->cap, sizeof(*x->v));
		if (x->v == NULL)
			abort();
		for (i = 0; i < old.cap; i++) {
			if (old.v[i].p != NULL)
				idx_put(x, old.v[i].hash, old.v[i].p);
		}
		free(old.v);
	}
	idx_put(x, hash, object);
	x->n++;
}

/* Removes an object and closes the gap in its probe sequence. */
bool
idx_remove(struct idx *x, uint64_t hash, const void *object)
{
	size_t mask = x->cap - 1, i, j;

	if (x->n == 0)
		return false;
	for (i = hash & mask; x->v[i].p != object; i = (i + 1) & mask) {
		if (x->v[i].p == NULL)
			return false;
	}
	for (j = (i + 1) & mask; x->v[j].p != NULL; j = (j + 1) & mask) {
		size_t home = x->v[j].hash & mask;

		if (((j - home) & mask) >= ((j - i) & mask)) {
			x->v[i] = x->v[j];
			i = j;
		}
	}
	x->v[i].p = NULL;
	x->n--;
	return true;
}

/* The finaliser of splitmix64. */
uint64_t
idx_hash_u64(uint64_t x)
{
	x ^= x >> 30;
	x *= 0xbf58476d1ce4e5b9ULL;
	x ^= x >> 27;
	x *= 0x94d049bb133111ebULL;
	return x ^ (x >> 31);
}
