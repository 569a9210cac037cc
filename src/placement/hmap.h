/*
 * Hash table from 64-bit keys to 32-bit indices, with open addressing and
 * linear probing.
 */
#ifndef PLACEMENT_HMAP_H
#define PLACEMENT_HMAP_H

#include <sys/cdefs.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

__BEGIN_DECLS

#define HMAP_NONE UINT32_MAX

struct hmap {
	TALLOC_CTX *ctx;
	uint64_t *keys;
	uint32_t *vals; /* HMAP_NONE: the slot is free */
	size_t n, cap;	/* cap is 0 or a power of two */
};

void hmap_init(struct hmap *, TALLOC_CTX *);
/* Returns the value of a key, or HMAP_NONE. */
uint32_t hmap_get(const struct hmap *, uint64_t key);
void hmap_set(struct hmap *, uint64_t key, uint32_t val);
void hmap_del(struct hmap *, uint64_t key);
void hmap_finish(struct hmap *);

__END_DECLS

#endif
