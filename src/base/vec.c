#include "base/vec.h"

#include <stdlib.h>
#include <talloc.h>

#define VEC_MIN 16

/*
 * Makes room for element n of a growable array. v is talloc memory without a
 * parent, or NULL. Returns the array, which may have moved.
 */
void *
vec_grow(void *v, size_t n, size_t *cap, size_t elem_bytes)
{
	if (n < *cap)
		return v;
	*cap = *cap == 0 ? VEC_MIN : 2 * *cap;
	v = talloc_realloc_size(NULL, v, *cap * elem_bytes);
	if (v == NULL)
		abort();
	return v;
}
