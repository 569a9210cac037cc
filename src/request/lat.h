/*
 * Latency histograms with logarithmic buckets, eight per power of two. They
 * are merged bucket by bucket. A quantile is off by at most 1/8 of its value
 * between 64 us and 67 s; times outside count in the first or last bucket.
 */
#ifndef REQUEST_LAT_H
#define REQUEST_LAT_H

#include <sys/cdefs.h>
#include <stddef.h>
#include <stdint.h>

__BEGIN_DECLS

#define LAT_BUCKETS_PER_OCTAVE 8
#define LAT_MIN_US	       64
#define LAT_BUCKETS	       (20 * LAT_BUCKETS_PER_OCTAVE)

struct lat {
	uint64_t total;
	uint32_t count[LAT_BUCKETS];
};

void lat_init(struct lat *);
unsigned lat_bucket(int64_t us);
/* Returns the middle of a bucket in microseconds. */
int64_t lat_bucket_us(unsigned bucket);
void lat_add(struct lat *, int64_t us);
void lat_add_bucket(struct lat *, unsigned bucket, uint32_t count);
void lat_merge(struct lat *, const struct lat *);
/* Halves all counts, so that old times lose weight. */
void lat_decay(struct lat *);
/*
 * Returns the microseconds below which a share q of all times lies; 0 when
 * empty.
 */
int64_t lat_quantile(const struct lat *, double q);
/* Writes the used buckets; both arrays have LAT_BUCKETS elements. */
size_t lat_export(const struct lat *, uint32_t *bucket, uint32_t *count);

__END_DECLS

#endif
