/*
 * Sets of counters. Each module numbers its counters with an enum and
 * describes them in a table, with one entry for each reason of a refusal or a
 * retry. One thread writes a set; any thread may read it.
 */
#ifndef BASE_CTR_H
#define BASE_CTR_H

#include <sys/cdefs.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

__BEGIN_DECLS

struct ctr_desc {
	const char *name; /* lower case, words joined by _ */
	const char *help; /* one sentence: what it counts and what to do */
};

struct ctr_set {
	const struct ctr_desc *desc;
	size_t ncounters;
	uint64_t *values;
};

void ctr_init(
    struct ctr_set *, TALLOC_CTX *, const struct ctr_desc *, size_t n);
void ctr_add(struct ctr_set *, size_t which, uint64_t by);
uint64_t ctr_get(const struct ctr_set *, size_t which);
void ctr_finish(struct ctr_set *);

__END_DECLS

#endif
