#include "base/crc.h"

#include <pthread.h>
#include <string.h>

#define POLYNOMIAL 0x82f63b78U /* reflected */
#define SLICES	   8	       /* bytes per step (slicing-by-8) */

static uint32_t tables[SLICES][256];
static pthread_once_t once = PTHREAD_ONCE_INIT;

/* Computes the tables for one to eight bytes ahead. */
static void
init_tables(void)
{
	uint32_t i, c;
	int k;

	for (i = 0; i < 256; i++) {
		c = i;
		for (k = 0; k < 8; k++)
			c = (c >> 1) ^ ((c & 1) != 0 ? POLYNOMIAL : 0);
		tables[0][i] = c;
	}
	for (i = 0; i < 256; i++) {
		for (k = 1; k < SLICES; k++)
			tables[k][i] = (tables[k - 1][i] >> 8) ^
			    tables[0][tables[k - 1][i] & 0xff];
	}
}

/*
 * Returns the checksum of len more bytes. crc is 0 or the result for the
 * preceding bytes; any other start value gives an independent checksum.
 */
uint32_t
crc32c(uint32_t crc, const void *data, size_t len)
{
	const uint8_t *p = data;

	pthread_once(&once, init_tables);
	crc = ~crc;
	for (; len >= SLICES; len -= SLICES, p += SLICES) {
		crc ^= (uint32_t)p[0] | (uint32_t)p[1] << 8 |
		    (uint32_t)p[2] << 16 | (uint32_t)p[3] << 24;
		crc = tables[7][crc & 0xff] ^ tables[6][crc >> 8 & 0xff] ^
		    tables[5][crc >> 16 & 0xff] ^ tables[4][crc >> 24] ^
		    tables[3][p[4]] ^ tables[2][p[5]] ^ tables[1][p[6]] ^
		    tables[0][p[7]];
	}
	while (len-- > 0)
		crc = (crc >> 8) ^ tables[0][(crc ^ *p++) & 0xff];
	return ~crc;
}

/* Returns the checksum of a string; 0 for NULL. */
uint32_t
crc32c_text(const char *s)
{
	return s == NULL ? 0 : crc32c(0, s, strlen(s));
}
