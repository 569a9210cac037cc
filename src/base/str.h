/* Strings with a length; they may contain NUL bytes and need no terminator. */
#ifndef BASE_STR_H
#define BASE_STR_H

#include <sys/cdefs.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

__BEGIN_DECLS

struct str {
	const char *p;
	size_t len;
};

#define STR_FMT	   "%.*s"
#define STR_ARG(s) (int)(s).len, (s).p

/* Returns a view of a NUL-terminated string; empty for NULL. */
struct str str_from(const char *cstr);
struct str str_mem(const void *p, size_t len);
/* Returns a copy owned by ctx, followed by a NUL byte. */
struct str str_dup(TALLOC_CTX *ctx, struct str);
/* Returns a NUL-terminated copy owned by ctx. */
char *str_cstr(TALLOC_CTX *ctx, struct str);
bool str_eq(struct str a, struct str b);
bool str_eq_c(struct str a, const char *cstr);
int str_cmp(struct str a, struct str b);
bool str_starts(struct str s, const char *prefix);
/* Returns the 64-bit FNV-1a hash, the same on every machine. */
uint64_t str_hash(struct str);
/* Parses all of s as a decimal number; false if it is not one or overflows. */
bool str_to_i64(struct str s, int64_t *out);

__END_DECLS

#endif
