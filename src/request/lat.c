#include "request/lat.h"

#include <string.h>

/* Initialises an empty histogram. */
void
lat_init(struct lat *l)
{
	memset(l, 0, sizeof(*l));
}

/* Returns the bucket of a time in microseconds. */
unsigned
lat_bucket(int64_t us)
{
	uint64_t v;
	unsigned octave, b;

	if (us < LAT_MIN_US)
		return 0;
	v = (uint64_t)us;
	octave = 63 - (unsigned)__builtin_clzll(v);
	b = (octave - 6) * LAT_BUCKETS_PER_OCTAVE +
	    (unsigned)((v >> (octave - 3)) & 7);
	return b < LAT_BUCKETS ? b : LAT_BUCKETS - 1;
}

/* Returns the middle of a bucket in microseconds. */
int64_t
lat_bucket_us(unsigned bucket)
{
	unsigned octave = bucket / LAT_BUCKETS_PER_OCTAVE + 6;
	int64_t low =
	    (int64_t)(LAT_BUCKETS_PER_OCTAVE + bucket % LAT_BUCKETS_PER_OCTAVE)
	    << (octave - 3);

	return low + (1LL << (octave - 3)) / 2;
}

/* Counts one time in microseconds. */
void
lat_add(struct lat *l, int64_t us)
{
	lat_add_bucket(l, lat_bucket(us), 1);
}

/*
 * Adds to the count of one bucket, which saturates at UINT32_MAX. An invalid
 * bucket is ignored.
 */
void
lat_add_bucket(struct lat *l, unsigned bucket, uint32_t count)
{
	uint32_t room;

	if (bucket >= LAT_BUCKETS)
		return;
	room = UINT32_MAX - l->count[bucket];
	if (count > room)
		count = room;
	l->count[bucket] += count;
	l->total += count;
}

/* Adds all counts of another histogram. */
void
lat_merge(struct lat *l, const struct lat *o)
{
	for (unsigned i = 0; i < LAT_BUCKETS; i++)
		lat_add_bucket(l, i, o->count[i]);
}

/* Halves all counts, rounding down. */
void
lat_decay(struct lat *l)
{
	l->total = 0;
	for (unsigned i = 0; i < LAT_BUCKETS; i++) {
		l->count[i] /= 2;
		l->total += l->count[i];
	}
}

/*
 * Returns the quantile q (0 to 1) in microseconds, as the middle of the bucket
 * that holds it, or 0 if the histogram is empty.
 */
int64_t
lat_quantile(const struct lat *l, double q)
{
	uint64_t sum = 0;
	double want = q * (double)l->total;

	if (l->total == 0)
		return 0;
	for (unsigned i = 0; i < LAT_BUCKETS; i++) {
		sum += l->count[i];
		if (sum > 0 && (double)sum >= want)
			return lat_bucket_us(i);
	}
	return lat_bucket_us(LAT_BUCKETS - 1);
}

/*
 * Writes the indexes and counts of the used buckets and returns their number.
 */
size_t
lat_export(const struct lat *l, uint32_t *bucket, uint32_t *count)
{
	size_t n = 0;

	for (unsigned i = 0; i < LAT_BUCKETS; i++) {
		if (l->count[i] == 0)
			continue;
		bucket[n] = i;
		count[n++] = l->count[i];
	}
	return n;
}
