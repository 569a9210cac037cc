/*
 * A hash index over objects that the caller owns. It uses open addressing with
 * linear probing, and backward-shift deletion instead of tombstones.
 */
#ifndef CONTROL_IDX_H
#define CONTROL_IDX_H

#include <sys/cdefs.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

__BEGIN_DECLS

struct idx_slot {
	uint64_t hash;
	void *object; /* NULL: free */
};

struct idx {
	struct idx_slot *slots;
	size_t cap; /* 0 or a power of two */
	size_t n;   /* objects */
};

/* Returns whether an object has a key. */
typedef bool (*idx_eq)(const void *object, const void *key);

void idx_init(struct idx *);
void idx_finish(struct idx *);
void *idx_find(const struct idx *, uint64_t hash, idx_eq, const void *key);
void idx_add(struct idx *, uint64_t hash, void *object);
/* Removes the object. Returns false if it is not in the index. */
bool idx_remove(struct idx *, uint64_t hash, const void *object);
/* Hashes a number; consecutive numbers get unrelated hashes. */
uint64_t idx_hash_u64(uint64_t);

__END_DECLS

#endif
