#include "base/ctr.h"

#include <stdlib.h>

/*
 * Creates n counters with the value 0, described by desc; memory is owned by
 * ctx.
 */
void
ctr_init(
    struct ctr_set *c, TALLOC_CTX *ctx, const struct ctr_desc *desc, size_t n)
{
	c->desc = desc;
	c->ncounters = n;
	c->values = talloc_zero_array(ctx, uint64_t, n);
	if (c->values == NULL)
		abort();
}

/* Adds to a counter. Only the thread that owns the set may call this. */
void
ctr_add(struct ctr_set *c, size_t which, uint64_t by)
{
	uint64_t old = __atomic_load_n(&c->values[which], __ATOMIC_RELAXED);

	__atomic_store_n(&c->values[which], old + by, __ATOMIC_RELAXED);
}

/* Returns the value of a counter; any thread may call this. */
uint64_t
ctr_get(const struct ctr_set *c, size_t which)
{
	return __atomic_load_n(&c->values[which], __ATOMIC_RELAXED);
}

/* Frees the counters. */
void
ctr_finish(struct ctr_set *c)
{
	talloc_free(c->values);
	c->values = NULL;
	c->ncounters = 0;
}
