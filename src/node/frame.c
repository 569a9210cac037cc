#include "node/frame.h"

#include <pthread.h>
#include <string.h>

#define CRC32C_POLY 0x82f63b78u /* Castagnoli, reflected */

static uint32_t table[8][256];
static pthread_once_t table_once = PTHREAD_ONCE_INIT;

static void
table_fill(void)
{
	uint32_t i, c;
	int k;

	for (i = 0; i < 256; i++) {
		c = i;
		for (k = 0; k < 8; k++)
			c = (c >> 1) ^ ((c & 1) ? CRC32C_POLY : 0);
		table[0][i] = c;
	}
	for (i = 0; i < 256; i++) {
		for (k = 1; k < 8; k++) {
			c = table[k - 1][i];
			table[k][i] = (c >> 8) ^ table[0][c & 0xff];
		}
	}
}

/* Returns the CRC-32C of a buffer, eight bytes at a time. */
uint32_t
frame_crc32c(const void *buf, size_t len)
{
	const uint8_t *p = buf;
	uint32_t c = 0xffffffffu;

	pthread_once(&table_once, table_fill);
	while (len >= 8) {
		c ^= (uint32_t)p[0] | (uint32_t)p[1] << 8 |
		    (uint32_t)p[2] << 16 | (uint32_t)p[3] << 24;
		c = table[7][c & 0xff] ^ table[6][(c >> 8) & 0xff] ^
		    table[5][(c >> 16) & 0xff] ^ table[4][c >> 24] ^
		    table[3][p[4]] ^ table[2][p[5]] ^ table[1][p[6]] ^
		    table[0][p[7]];
		p += 8;
		len -= 8;
	}
	while (len-- > 0)
		c = (c >> 8) ^ table[0][(c ^ *p++) & 0xff];
	return ~c;
}

static void
put32(uint8_t *p, uint32_t v)
{
	p[0] = (uint8_t)(v >> 24);
	p[1] = (uint8_t)(v >> 16);
	p[2] = (uint8_t)(v >> 8);
	p[3] = (uint8_t)v;
}

static uint32_t
get32(const uint8_t *p)
{
	return (uint32_t)p[0] << 24 | (uint32_t)p[1] << 16 |
	    (uint32_t)p[2] << 8 | p[3];
}

/* Fills in the header of a frame; len is at most FRAME_MAX. */
void
frame_head(uint8_t *head, enum frame_type type, const void *p, size_t len)
{
	head[0] = 'C';
	head[1] = 'B';
	head[2] = FRAME_VERSION;
	head[3] = (uint8_t)type;
	put32(head + 4, (uint32_t)len);
	put32(head + 8, frame_crc32c(p, len));
}

/*
 * Looks at the frame at the start of buf. Faults of the header are reported
 * as soon as the header is there, so that a wrong length is never waited for.
 */
enum frame_fault
frame_parse(struct str buf, struct frame *f)
{
	const uint8_t *p = (const uint8_t *)buf.p;
	uint32_t len;

	if (buf.len >= 2 && (p[0] != 'C' || p[1] != 'B'))
		return FRAME_BAD_MAGIC;
	if (buf.len < FRAME_HEAD)
		return FRAME_MORE;
	if (p[2] != FRAME_VERSION)
		return FRAME_BAD_VERSION;
	if (p[3] < FRAME_HELLO || p[3] > FRAME_MSG)
		return FRAME_BAD_TYPE;
	len = get32(p + 4);
	if (len > FRAME_MAX || (p[3] == FRAME_HEARTBEAT && len != 0))
		return FRAME_BAD_LENGTH;
	if (buf.len - FRAME_HEAD < len)
		return FRAME_MORE;
	if (frame_crc32c(p + FRAME_HEAD, len) != get32(p + 8))
		return FRAME_BAD_CRC;
	f->type = (enum frame_type)p[3];
	f->payload = str_mem(p + FRAME_HEAD, len);
	f->size = FRAME_HEAD + (size_t)len;
	return FRAME_OK;
}

/* Returns the name of a fault for log lines. */
const char *
frame_fault_name(enum frame_fault fault)
{
	static const char *const names[] = { "ok", "more", "bad_magic",
		"bad_version", "bad_type", "bad_length", "bad_crc" };

	if ((size_t)fault >= sizeof(names) / sizeof(names[0]))
		return "unknown";
	return names[fault];
}
