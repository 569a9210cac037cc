/* Seeded pseudo-random number generator (splitmix64). */
#ifndef BASE_RNG_H
#define BASE_RNG_H

#include <sys/cdefs.h>
#include <stdbool.h>
#include <stdint.h>

__BEGIN_DECLS

struct rng {
	uint64_t state;
};

void rng_init(struct rng *, uint64_t seed);
uint64_t rng_next(struct rng *);
/* Returns a number uniform in [0, n); 0 when n is 0. */
uint64_t rng_below(struct rng *, uint64_t n);
/* Returns a number uniform in [0, 1). */
double rng_unit(struct rng *);
bool rng_chance(struct rng *, double p);
/* Returns an exponentially distributed number with the given mean. */
double rng_exp(struct rng *, double mean);

__END_DECLS

#endif
