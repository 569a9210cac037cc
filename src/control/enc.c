#include "control/enc.h"

#include <stdlib.h>
#include <string.h>

#define ENC_FIRST_BYTES	  256
#define ENC_U64_BYTES_MAX 10 /* longest encoding of a number */

/* Initialises an empty buffer owned by ctx. */
void
enc_init(struct enc *e, TALLOC_CTX *ctx)
{
	e->cap = ENC_FIRST_BYTES;
	e->n = 0;
	e->p = talloc_array(ctx, char, e->cap);
	if (e->p == NULL)
		abort();
}

/* Grows the buffer so that n more bytes fit; aborts when memory runs out. */
static void
enc_reserve(struct enc *e, size_t n)
{
	if (e->n + n <= e->cap)
		return;
	while (e->n + n > e->cap)
		e->cap *= 2;
	e->p = talloc_realloc(NULL, e->p, char, e->cap);
	if (e->p == NULL)
		abort();
}

/* Appends a number in LEB128: seven bits a byte, least significant first. */
void
enc_u64(struct enc *e, uint64_t v)
{
	enc_reserve(e, ENC_U64_BYTES_MAX);
	while (v >= 0x80) {
		e->p[e->n++] = (char)(v | 0x80);
		v >>= 7;
	}
	e->p[e->n++] = (char)v;
}

/* Appends the length and the bytes of s. */
void
enc_str(struct enc *e, struct str s)
{
	enc_u64(e, s.len);
	enc_reserve(e, s.len);
	if (s.len > 0)
		memcpy(e->p + e->n, s.p, s.len);
	e->n += s.len;
}

/* Reads a number. Returns 0 and marks d as malformed if there is none. */
uint64_t
dec_u64(struct dec *d)
{
	uint64_t v = 0;
	unsigned shift;

	for (shift = 0; shift < 64; shift += 7) {
		unsigned char c;

		if (d->p == d->end)
			break;
		c = (unsigned char)*d->p++;
		v |= (uint64_t)(c & 0x7f) << shift;
		if (c < 0x80)
			return v;
	}
	d->malformed = true;
	return 0;
}

/*
 * Reads a byte string. Returns an empty one and marks d as malformed if the
 * input is too short.
 */
struct str
dec_str(struct dec *d)
{
	uint64_t n = dec_u64(d);
	struct str s = { d->p, (size_t)n };

	if (n > (uint64_t)(d->end - d->p)) {
		d->malformed = true;
		return str_mem(NULL, 0);
	}
	d->p += n;
	return s;
}
