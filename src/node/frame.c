#include "node/frame.h"

#include "base/crc.h"

/* Writes a number in big-endian order. */
static void
put_be32(uint8_t *p, uint32_t v)
{
	p[0] = (uint8_t)(v >> 24);
	p[1] = (uint8_t)(v >> 16);
	p[2] = (uint8_t)(v >> 8);
	p[3] = (uint8_t)v;
}

/* Reads a big-endian number. */
static uint32_t
get_be32(const uint8_t *p)
{
	return (uint32_t)p[0] << 24 | (uint32_t)p[1] << 16 |
	    (uint32_t)p[2] << 8 | p[3];
}

/* Writes the header of a frame; len is at most FRAME_PAYLOAD_MAX_BYTES. */
void
frame_write_header(
    uint8_t *head, enum frame_type type, const void *p, size_t len)
{
	head[0] = 'C';
	head[1] = 'B';
	head[2] = FRAME_VERSION;
	head[3] = (uint8_t)type;
	put_be32(head + 4, (uint32_t)len);
	put_be32(head + 8, crc32c(0, p, len));
}

/*
 * Parses the frame at the start of buf. A fault in the header is reported as
 * soon as the header is complete: waiting for the payload of a wrong length
 * could take forever.
 */
enum frame_fault
frame_parse(struct str buf, struct frame *f)
{
	const uint8_t *p = (const uint8_t *)buf.p;
	uint32_t len;

	if (buf.len >= 2 && (p[0] != 'C' || p[1] != 'B'))
		return FRAME_BAD_MAGIC;
	if (buf.len < FRAME_HEADER_BYTES)
		return FRAME_INCOMPLETE;
	if (p[2] != FRAME_VERSION)
		return FRAME_BAD_VERSION;
	if (p[3] < FRAME_HELLO || p[3] > FRAME_MSG)
		return FRAME_BAD_TYPE;
	len = get_be32(p + 4);
	if (len > FRAME_PAYLOAD_MAX_BYTES ||
	    (p[3] == FRAME_HEARTBEAT && len != 0))
		return FRAME_BAD_LENGTH;
	if (buf.len - FRAME_HEADER_BYTES < len)
		return FRAME_INCOMPLETE;
	if (crc32c(0, p + FRAME_HEADER_BYTES, len) != get_be32(p + 8))
		return FRAME_BAD_CRC;
	f->type = (enum frame_type)p[3];
	f->payload = str_mem(p + FRAME_HEADER_BYTES, len);
	f->size = FRAME_HEADER_BYTES + (size_t)len;
	return FRAME_OK;
}

/* Returns the size that the header of a frame announces. */
size_t
frame_announced_size(struct str buf)
{
	if (buf.len < FRAME_HEADER_BYTES)
		return 0;
	return FRAME_HEADER_BYTES +
	    (size_t)get_be32((const uint8_t *)buf.p + 4);
}

/* Returns the name of a fault for log lines. */
const char *
frame_fault_name(enum frame_fault fault)
{
	static const char *const names[] = { "ok", "incomplete", "bad_magic",
		"bad_version", "bad_type", "bad_length", "bad_crc" };

	if ((size_t)fault >= sizeof(names) / sizeof(names[0]))
		return "unknown";
	return names[fault];
}
