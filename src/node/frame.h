/*
 * Frames between instances: magic "CB", version, type, length and CRC-32C of
 * the payload (both big endian), payload.
 */
#ifndef NODE_FRAME_H
#define NODE_FRAME_H

#include "base/err.h"
#include "base/str.h"

__BEGIN_DECLS

#define FRAME_HEADER_BYTES	12
#define FRAME_PAYLOAD_MAX_BYTES (4 * 1024 * 1024)
#define FRAME_VERSION		1

enum frame_type {
	FRAME_HELLO = 1,
	FRAME_HEARTBEAT = 2, /* no payload */
	FRAME_MSG = 3
};

enum frame_fault {
	FRAME_OK,
	FRAME_INCOMPLETE, /* more bytes are needed */
	FRAME_BAD_MAGIC,
	FRAME_BAD_VERSION,
	FRAME_BAD_TYPE,
	FRAME_BAD_LENGTH,
	FRAME_BAD_CRC
};

struct frame {
	enum frame_type type;
	struct str payload; /* points into the parsed bytes */
	size_t size;	    /* of the whole frame */
};

/* Writes the header of a frame, which precedes the payload. */
void frame_write_header(
    uint8_t *head, enum frame_type, const void *p, size_t len);
/* Parses the frame at the start of buf; fills f only for FRAME_OK. */
enum frame_fault frame_parse(struct str buf, struct frame *);
/* Returns the size of the frame at the start of buf, of which at least the
 * header has arrived and was found valid; 0 without a whole header. */
size_t frame_announced_size(struct str buf);
const char *frame_fault_name(enum frame_fault);

__END_DECLS

#endif
