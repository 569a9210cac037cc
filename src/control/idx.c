#include "control/idx.h"

#include <stdlib.h>

#define IDX_SLOTS_MIN 16

/* Initialises an empty index, which holds no memory yet. */
void
idx_init(struct idx *x)
{
	x->slots = NULL;
	x->cap = 0;
	x->n = 0;
}

/* Frees the index but not its objects. */
void
idx_finish(struct idx *x)
{
	free(x->slots);
	idx_init(x);
}

/* Returns the object with this hash for which eq holds, or NULL. */
void *
idx_find(const struct idx *x, uint64_t hash, idx_eq eq, const void *key)
{
	size_t i;

	if (x->n == 0)
		return NULL;
	for (i = hash & (x->cap - 1); x->slots[i].object != NULL;
	     i = (i + 1) & (x->cap - 1)) {
		if (x->slots[i].hash == hash && eq(x->slots[i].object, key))
			return x->slots[i].object;
	}
	return NULL;
}

/* Puts an object into the first free slot of its probe sequence. */
static void
idx_insert_slot(struct idx *x, uint64_t hash, void *object)
{
	size_t i = hash & (x->cap - 1);

	while (x->slots[i].object != NULL)
		i = (i + 1) & (x->cap - 1);
	x->slots[i].hash = hash;
	x->slots[i].object = object;
}

/* Adds an object that is not in the index yet; aborts when memory runs out. */
void
idx_add(struct idx *x, uint64_t hash, void *object)
{
	if (4 * (x->n + 1) > 3 * x->cap) {
		struct idx old = *x;
		size_t i;

		x->cap = old.cap == 0 ? IDX_SLOTS_MIN : 2 * old.cap;
		x->slots = calloc(x->cap, sizeof(*x->slots));
		if (x->slots == NULL)
			abort();
		for (i = 0; i < old.cap; i++) {
			if (old.slots[i].object != NULL)
				idx_insert_slot(
				    x, old.slots[i].hash, old.slots[i].object);
		}
		free(old.slots);
	}
	idx_insert_slot(x, hash, object);
	x->n++;
}

/*
 * Removes an object and moves later ones back, so that no probe sequence is
 * broken by the free slot. Returns false if it is not in the index.
 */
bool
idx_remove(struct idx *x, uint64_t hash, const void *object)
{
	size_t mask = x->cap - 1, i, j;

	if (x->n == 0)
		return false;
	for (i = hash & mask; x->slots[i].object != object;
	     i = (i + 1) & mask) {
		if (x->slots[i].object == NULL)
			return false;
	}
	for (j = (i + 1) & mask; x->slots[j].object != NULL;
	     j = (j + 1) & mask) {
		size_t home = x->slots[j].hash & mask;

		if (((j - home) & mask) >= ((j - i) & mask)) {
			x->slots[i] = x->slots[j];
			i = j;
		}
	}
	x->slots[i].object = NULL;
	x->n--;
	return true;
}

/* Hashes a number with the finaliser of splitmix64. */
uint64_t
idx_hash_u64(uint64_t x)
{
	x ^= x >> 30;
	x *= 0xbf58476d1ce4e5b9ULL;
	x ^= x >> 27;
	x *= 0x94d049bb133111ebULL;
	return x ^ (x >> 31);
}
