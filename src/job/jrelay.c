#include "job/jrelay.h"

#include <string.h>

/* Multipliers of a 64-bit hash; any odd numbers with well-spread bits will
 * do. */
#define MIX_A UINT64_C(0xbf58476d1ce4e5b9)
#define MIX_B UINT64_C(0x94d049bb133111eb)

/* Returns the weight of an instance for a worker. */
static uint64_t
rendezvous_weight(uint64_t worker, uint32_t instance)
{
	uint64_t x = worker * MIX_A ^ (uint64_t)instance * MIX_B;

	x = (x ^ x >> 30) * MIX_A;
	x = (x ^ x >> 27) * MIX_B;
	return x ^ x >> 31;
}

/* Tells whether a is preferred to b for a worker of this failure domain. */
static bool
is_preferred(const struct jrelay_peer *a, const struct jrelay_peer *b,
    const char *domain, uint64_t worker)
{
	bool near_a = strcmp(a->domain, domain) == 0;
	bool near_b = strcmp(b->domain, domain) == 0;

	if (near_a != near_b)
		return near_a;
	return rendezvous_weight(worker, a->instance) >
	    rendezvous_weight(worker, b->instance);
}

/* Chooses by rendezvous hashing; attempt skips instances in order of
 * preference. */
uint32_t
jrelay_choose(const struct jrelay_peer *v, size_t n, const char *domain,
    uint64_t worker, uint32_t attempt)
{
	size_t i, k, rank;

	for (i = 0; i < n; i++) {
		rank = 0;
		for (k = 0; k < n; k++)
			rank += k != i &&
			    is_preferred(&v[k], &v[i], domain, worker);
		if (rank == attempt % n)
			return v[i].instance;
	}
	return 0;
}

/* Compares the delay of a batch with the least one of the same leader. */
bool
jrelay_is_fresh(struct jrelay_delay *a, uint32_t leader, uint64_t token,
    int64_t sent_ms, int64_t now_ms)
{
	int64_t delay = now_ms - sent_ms;

	if (a->leader != leader || a->token != token) {
		a->leader = leader;
		a->token = token;
		a->min_delay_ms = delay;
	}
	if (delay < a->min_delay_ms)
		a->min_delay_ms = delay;
	return delay - a->min_delay_ms <= JRELAY_STALE_MS;
}
