/* CRC-32C (Castagnoli) of network frames and log records. */
#ifndef BASE_CRC_H
#define BASE_CRC_H

#include <sys/cdefs.h>
#include <stddef.h>
#include <stdint.h>

__BEGIN_DECLS

/* Continues a checksum; the first call passes 0. */
uint32_t crc32c(uint32_t crc, const void *data, size_t len);
/* Returns the checksum of a string, by which log lines identify it; 0 for NULL
 * or an empty string. */
uint32_t crc32c_text(const char *);

__END_DECLS

#endif
