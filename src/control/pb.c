#include "control/pb.h"

#include <stdlib.h>

/* Allocates from a talloc context, for ProtobufCAllocator. */
static void *
pb_alloc(void *ctx, size_t n)
{
	return talloc_size(ctx, n);
}

/* Frees memory of pb_alloc. */
static void
pb_free(void *ctx, void *p)
{
	(void)ctx;
	talloc_free(p);
}

/* Packs a protobuf-c message; aborts when memory runs out. */
struct str
pb_pack(TALLOC_CTX *ctx, const void *msg)
{
	size_t n = protobuf_c_message_get_packed_size(msg);
	uint8_t *p = talloc_array(ctx, uint8_t, n + 1);

	if (p == NULL)
		abort();
	protobuf_c_message_pack(msg, p);
	return str_mem(p, n);
}

/*
 * Decodes s as a message of type d. All its parts are talloc children of the
 * message, so talloc_free on it frees them too. Returns NULL if the bytes are
 * malformed.
 */
void *
pb_unpack(TALLOC_CTX *ctx, const ProtobufCMessageDescriptor *d, struct str s)
{
	TALLOC_CTX *parts = talloc_new(ctx);
	ProtobufCAllocator a = { pb_alloc, pb_free, parts };
	void *msg =
	    protobuf_c_message_unpack(d, &a, s.len, (const uint8_t *)s.p);

	if (msg == NULL) {
		talloc_free(parts);
		return NULL;
	}
	talloc_steal(ctx, msg);
	talloc_steal(msg, parts);
	return msg;
}

/* Returns a deep copy of a message, made by packing and unpacking it. */
void *
pb_dup(TALLOC_CTX *ctx, const void *msg)
{
	const ProtobufCMessage *m = msg;
	struct str s = pb_pack(ctx, msg);
	void *copy = pb_unpack(ctx, m->descriptor, s);

	talloc_free((void *)(uintptr_t)s.p);
	if (copy == NULL)
		abort();
	return copy;
}

/* Returns s as the value of a bytes field, which does not own it. */
ProtobufCBinaryData
pb_bytes(struct str s)
{
	ProtobufCBinaryData b = { s.len, (uint8_t *)(uintptr_t)s.p };

	return b;
}

/* Returns a view of the value of a bytes field. */
struct str
pb_str(ProtobufCBinaryData b)
{
	return str_mem(b.data, b.len);
}
