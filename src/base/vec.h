/* Growable arrays. */
#ifndef BASE_VEC_H
#define BASE_VEC_H

#include <sys/cdefs.h>
#include <stddef.h>

__BEGIN_DECLS

/* Makes room for element n, doubling the capacity if necessary. Returns the
 * array, which may have moved; aborts if out of memory. */
void *vec_grow(void *v, size_t n, size_t *cap, size_t elem_bytes);

__END_DECLS

#endif
