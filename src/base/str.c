#include "base/str.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define FNV_OFFSET 14695981039346656037ULL
#define FNV_PRIME  1099511628211ULL
#define I64_DIGITS 24 /* longest accepted text, with its NUL */

/* Returns a view of a NUL-terminated string. */
struct str
str_from(const char *cstr)
{
	struct str s = { cstr, cstr == NULL ? 0 : strlen(cstr) };

	return s;
}

/* Returns a view of len bytes at p. */
struct str
str_mem(const void *p, size_t len)
{
	struct str s = { p, len };

	return s;
}

/* Copies s into memory owned by ctx; aborts if out of memory. */
struct str
str_dup(TALLOC_CTX *ctx, struct str s)
{
	struct str d = { str_cstr(ctx, s), s.len };

	return d;
}

/* Copies s into NUL-terminated memory owned by ctx; aborts if out of memory. */
char *
str_cstr(TALLOC_CTX *ctx, struct str s)
{
	char *p = talloc_array(ctx, char, s.len + 1);

	if (p == NULL)
		abort();
	if (s.len > 0)
		memcpy(p, s.p, s.len);
	p[s.len] = '\0';
	return p;
}

/* Returns true if a and b contain the same bytes. */
bool
str_eq(struct str a, struct str b)
{
	return a.len == b.len && (a.len == 0 || memcmp(a.p, b.p, a.len) == 0);
}

/* Returns true if a contains the bytes of a NUL-terminated string. */
bool
str_eq_c(struct str a, const char *cstr)
{
	return str_eq(a, str_from(cstr));
}

/* Compares bytes like memcmp; a prefix sorts first. */
int
str_cmp(struct str a, struct str b)
{
	size_t n = a.len < b.len ? a.len : b.len;
	int c = n == 0 ? 0 : memcmp(a.p, b.p, n);

	if (c != 0)
		return c;
	return a.len < b.len ? -1 : a.len > b.len;
}

/* Returns true if s starts with prefix. */
bool
str_starts(struct str s, const char *prefix)
{
	size_t n = strlen(prefix);

	return s.len >= n && memcmp(s.p, prefix, n) == 0;
}

/* Returns the 64-bit FNV-1a hash of s. */
uint64_t
str_hash(struct str s)
{
	uint64_t h = FNV_OFFSET;
	size_t i;

	for (i = 0; i < s.len; i++) {
		h ^= (unsigned char)s.p[i];
		h *= FNV_PRIME;
	}
	return h;
}

/* Parses all of s as a decimal number; false if it isn't one or overflows. */
bool
str_to_i64(struct str s, int64_t *out)
{
	char buf[I64_DIGITS];
	char *end;

	if (s.len == 0 || s.len >= sizeof(buf))
		return false;
	memcpy(buf, s.p, s.len);
	buf[s.len] = '\0';
	if (strspn(buf, "-0123456789") != s.len)
		return false;
	errno = 0;
	*out = strtoll(buf, &end, 10);
	return errno == 0 && *end == '\0' && end != buf;
}
