/* Growth of arrays that are appended to. */
#ifndef BASE_VEC_H
#define BASE_VEC_H

#include <sys/cdefs.h>
#include <stddef.h>

__BEGIN_DECLS

/* Room for element n: *cap is doubled when it is used up. Returns the array,
 * which may have moved; aborts when memory runs out. */
void *vec_grow(void *v, size_t n, size_t *cap, size_t elem_bytes);

__END_DECLS

#endif
