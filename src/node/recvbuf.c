#include "node/recvbuf.h"

#include <stdlib.h>
#include <string.h>

/* Sets up an empty buffer and reserves the small one. */
bool
recvbuf_init(
    struct recvbuf *b, struct memacct *account, uint64_t addr, bool is_forced)
{
	*b = (struct recvbuf){ .account = account };
	if (account == NULL)
		return true;
	if (is_forced)
		memacct_open_any(account, &b->small, MEMACCT_PEERS, addr,
		    RECVBUF_SMALL_BYTES);
	else if (!memacct_open(account, &b->small, MEMACCT_PEERS, addr,
		     RECVBUF_SMALL_BYTES))
		return false;
	memacct_open_any(account, &b->large, MEMACCT_RECEIVE, addr, 0);
	return true;
}

/* Releases the buffer and what it reserved. */
void
recvbuf_destroy(struct recvbuf *b)
{
	free(b->bytes);
	b->bytes = NULL;
	if (b->account == NULL)
		return;
	memacct_close(b->account, &b->small);
	memacct_close(b->account, &b->large);
}

/* Returns the size of the large frame that the buffer has no room for. */
size_t
recvbuf_missing(const struct recvbuf *b)
{
	size_t size = frame_announced_size(str_mem(b->bytes, b->len));

	return size > RECVBUF_SMALL_BYTES && size > b->capacity ? size : 0;
}

/* Changes the size of the buffer. */
static void
resize(struct recvbuf *b, size_t capacity)
{
	uint8_t *bytes = realloc(b->bytes, capacity);

	if (bytes == NULL)
		abort();
	b->bytes = bytes;
	b->capacity = capacity;
}

/* Reserves the memory of a large frame; false if it doesn't fit. One frame may
 * be larger than the part of a small process, so any size is admitted while
 * little is in use. */
static bool
reserve(struct recvbuf *b, size_t size, bool is_replica)
{
	size_t max, used;

	if (b->account == NULL)
		return true;
	max = memacct_max(b->account, MEMACCT_RECEIVE);
	used = memacct_used(b->account, MEMACCT_RECEIVE);
	if (!is_replica && used > max / MEMACCT_LITTLE_DIVISOR &&
	    used + size > max - max / RECVBUF_REPLICA_DIVISOR)
		return false;
	return memacct_grow_any(b->account, &b->large, size);
}

/* Makes room for at least one more byte. All of a large frame is reserved at
 * once: frames that each have a part of the memory could all wait for the rest
 * for good. */
enum recvbuf_room
recvbuf_make_room(
    struct recvbuf *b, bool allows_large, bool may_reserve, bool is_replica)
{
	size_t size = recvbuf_missing(b);

	if (size > 0) {
		if (!allows_large)
			return RECVBUF_TOO_LONG;
		if (!may_reserve || !reserve(b, size, is_replica))
			return RECVBUF_NO_ROOM;
		resize(b, size);
	} else if (b->bytes == NULL) {
		resize(b, RECVBUF_SMALL_BYTES);
	}
	return RECVBUF_ROOM;
}

/* Drops the first n bytes. The buffer of a large frame, which it fills exactly,
 * is released. */
bool
recvbuf_consume(struct recvbuf *b, size_t n)
{
	if (n == 0)
		return false;
	b->len -= n;
	if (b->capacity > RECVBUF_SMALL_BYTES) {
		free(b->bytes);
		b->bytes = NULL;
		b->capacity = 0;
		if (b->account != NULL)
			memacct_shrink(b->account, &b->large, b->large.bytes);
		return true;
	}
	memmove(b->bytes, b->bytes + n, b->len);
	return false;
}
