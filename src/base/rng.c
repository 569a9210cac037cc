#include "base/rng.h"

#include <math.h>

/* Starts the sequence that the seed determines. */
void
rng_init(struct rng *r, uint64_t seed)
{
	r->state = seed;
}

/* Returns the next 64 random bits (splitmix64). */
uint64_t
rng_next(struct rng *r)
{
	uint64_t z = (r->state += 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

/*
 * Returns a number in [0, n). Multiplication instead of a modulo keeps the
 * bias negligible.
 */
uint64_t
rng_below(struct rng *r, uint64_t n)
{
	return (uint64_t)(((unsigned __int128)rng_next(r) * n) >> 64);
}

/* Returns a number in [0, 1) with 53 random bits. */
double
rng_unit(struct rng *r)
{
	return (double)(rng_next(r) >> 11) * 0x1.0p-53;
}

/* Returns true with probability p. */
bool
rng_chance(struct rng *r, double p)
{
	return rng_unit(r) < p;
}

/* Returns an exponentially distributed number with a given mean. */
double
rng_exp(struct rng *r, double mean)
{
	return -mean * log1p(-rng_unit(r));
}
