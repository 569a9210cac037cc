/* A hash index over objects that the caller owns: open addressing with
 * backward-shift deletion, so that it needs no tombstones. */
#ifndef CONTROL_IDX_H
#define CONTROL_IDX_H

#include <sys/cdefs.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

__BEGIN_DECLS

struct idx_slot {
	uint64_t hash;
	void *p; /* NULL: free */
};

struct idx {
	struct idx_slot *v;
	size_t cap; /* 0 or a power of two */
	size_t n;
};

typedef bool (*idx_eq)(const void *object, const void *key);

void idx_init(struct idx *);
void idx_finish(struct idx *);
void *idx_find(const struct idx *, uint64_t hash, idx_eq, const void *key);
void idx_add(struct idx *, uint64_t hash, void *object);
/* Removes the object; false when it is not in the index. */
bool idx_remove(struct idx *, uint64_t hash, const void *object);
/* Spreads consecutive numbers over 64 bits. */
uint64_t idx_hash_u64(uint64_t);

__END_DECLS

#endif
