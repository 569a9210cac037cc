#include "placement/hmap.h"

/*
 * Returns the home slot of a key. The finaliser of splitmix64 spreads
 * consecutive keys over the table.
 */
static size_t
hmap_slot(const struct hmap *m, uint64_t key)
{
	key ^= key >> 30;
	key *= 0xbf58476d1ce4e5b9ULL;
	key ^= key >> 27;
	key *= 0x94d049bb133111ebULL;
	key ^= key >> 31;
	return key & (m->cap - 1);
}

/*
 * Initialises an empty table. Memory is taken from ctx at the first insertion.
 */
void
hmap_init(struct hmap *m, TALLOC_CTX *ctx)
{
	*m = (struct hmap){ .ctx = ctx };
}

/* Returns the value of a key, or HMAP_NONE if it is absent. */
uint32_t
hmap_get(const struct hmap *m, uint64_t key)
{
	size_t i;

	if (m->cap == 0)
		return HMAP_NONE;
	for (i = hmap_slot(m, key); m->vals[i] != HMAP_NONE;
	     i = (i + 1) & (m->cap - 1))
		if (m->keys[i] == key)
			return m->vals[i];
	return HMAP_NONE;
}

/* Doubles the table and inserts all entries again. */
static void
hmap_grow(struct hmap *m)
{
	struct hmap old = *m;
	size_t i;

	m->cap = old.cap > 0 ? old.cap * 2 : 16;
	m->n = 0;
	m->keys = talloc_array(m->ctx, uint64_t, m->cap);
	m->vals = talloc_array(m->ctx, uint32_t, m->cap);
	for (i = 0; i < m->cap; i++)
		m->vals[i] = HMAP_NONE;
	for (i = 0; i < old.cap; i++)
		if (old.vals[i] != HMAP_NONE)
			hmap_set(m, old.keys[i], old.vals[i]);
	talloc_free(old.keys);
	talloc_free(old.vals);
}

/* Inserts a key or replaces its value. val must not be HMAP_NONE. */
void
hmap_set(struct hmap *m, uint64_t key, uint32_t val)
{
	size_t i;

	if ((m->n + 1) * 4 > m->cap * 3)
		hmap_grow(m);
	for (i = hmap_slot(m, key); m->vals[i] != HMAP_NONE;
	     i = (i + 1) & (m->cap - 1))
		if (m->keys[i] == key) {
			m->vals[i] = val;
			return;
		}
	m->keys[i] = key;
	m->vals[i] = val;
	m->n++;
}

/*
 * Removes a key, if it is present. The entries behind it are moved up, so that
 * no tombstones remain.
 */
void
hmap_del(struct hmap *m, uint64_t key)
{
	size_t mask = m->cap - 1, i, j, home;

	if (m->cap == 0)
		return;
	for (i = hmap_slot(m, key);
	     m->keys[i] != key || m->vals[i] == HMAP_NONE; i = (i + 1) & mask)
		if (m->vals[i] == HMAP_NONE)
			return;
	m->n--;
	for (j = (i + 1) & mask; m->vals[j] != HMAP_NONE; j = (j + 1) & mask) {
		home = hmap_slot(m, m->keys[j]);
		if (((j - home) & mask) < ((j - i) & mask))
			continue;
		m->keys[i] = m->keys[j];
		m->vals[i] = m->vals[j];
		i = j;
	}
	m->vals[i] = HMAP_NONE;
}

/* Frees the table and leaves it empty. */
void
hmap_finish(struct hmap *m)
{
	talloc_free(m->keys);
	talloc_free(m->vals);
	*m = (struct hmap){ .ctx = m->ctx };
}
