#include <string.h>

#include "base/crc.h"
#include "control/wal_priv.h"

/* Stores a 32-bit number in little-endian order. */
void
wal_put32(uint8_t *p, uint32_t v)
{
	int i;

	for (i = 0; i < 4; i++)
		p[i] = (uint8_t)(v >> (8 * i));
}

/* Stores a 64-bit number in little-endian order. */
void
wal_put64(uint8_t *p, uint64_t v)
{
	wal_put32(p, (uint32_t)v);
	wal_put32(p + 4, (uint32_t)(v >> 32));
}

/* Reads a 32-bit number in little-endian order. */
uint32_t
wal_get32(const uint8_t *p)
{
	return (uint32_t)p[0] | (uint32_t)p[1] << 8 | (uint32_t)p[2] << 16 |
	    (uint32_t)p[3] << 24;
}

/* Reads a 64-bit number in little-endian order. */
uint64_t
wal_get64(const uint8_t *p)
{
	return wal_get32(p) | (uint64_t)wal_get32(p + 4) << 32;
}

/*
 * Fills the header of a record whose payload is the concatenation of parts.
 * Returns the length of the payload.
 */
size_t
wal_rec_encode_header(uint8_t *head, enum wal_rec_type type, uint32_t salt,
    const struct str *parts, size_t nparts)
{
	size_t i, len = 0;
	uint32_t crc;

	for (i = 0; i < nparts; i++)
		len += parts[i].len;
	head[0] = WAL_REC_MAGIC & 0xff;
	head[1] = WAL_REC_MAGIC >> 8;
	head[2] = (uint8_t)type;
	head[3] = 0;
	wal_put32(head + 4, (uint32_t)len);
	crc = crc32c(salt, head, 8);
	for (i = 0; i < nparts; i++)
		crc = crc32c(crc, parts[i].p, parts[i].len);
	wal_put32(head + 8, crc);
	return len;
}

/* Returns the shortest valid payload of a record type in bytes. */
static size_t
payload_min_bytes(enum wal_rec_type type)
{
	switch (type) {
	case WAL_REC_SEGMENT:
		return 28;
	case WAL_REC_ENTRY:
		return 17;
	case WAL_REC_HARD_STATE:
		return 16;
	case WAL_REC_TRUNCATE:
	case WAL_REC_SYNCED:
		return 8;
	default:
		return SIZE_MAX;
	}
}

/*
 * Decodes the record at p; salt is the start value of its checksum. Returns
 * false unless there is a complete and valid record.
 */
bool
wal_rec_decode(const uint8_t *p, size_t len, uint32_t salt, struct wal_rec *r)
{
	uint32_t crc;

	if (len < WAL_REC_HEADER_BYTES || p[0] != (WAL_REC_MAGIC & 0xff) ||
	    p[1] != WAL_REC_MAGIC >> 8 || p[2] < WAL_REC_SEGMENT ||
	    p[2] >= WAL_REC_END || p[3] != 0)
		return false;
	r->type = (enum wal_rec_type)p[2];
	r->len = wal_get32(p + 4);
	if (r->len > WAL_REC_PAYLOAD_MAX ||
	    r->len > len - WAL_REC_HEADER_BYTES ||
	    r->len < payload_min_bytes(r->type))
		return false;
	r->p = p + WAL_REC_HEADER_BYTES;
	r->size = r->len + WAL_REC_HEADER_BYTES;
	crc = crc32c(salt, p, 8);
	return crc32c(crc, r->p, r->len) == wal_get32(p + 8);
}

/*
 * Returns whether the bytes hold a SYNCED record which says that more than
 * length bytes of the segment were on disk. Other valid records behind a
 * damaged one prove nothing: a power failure can lose each write since the
 * last sync independently.
 */
bool
wal_rec_proves_synced(
    const uint8_t *p, size_t len, uint32_t salt, uint64_t length)
{
	struct wal_rec r;
	size_t i;

	for (i = 0; i + WAL_REC_HEADER_BYTES <= len; i++) {
		if (wal_rec_decode(p + i, len - i, salt, &r) &&
		    r.type == WAL_REC_SYNCED && wal_get64(r.p) > length)
			return true;
	}
	return false;
}
