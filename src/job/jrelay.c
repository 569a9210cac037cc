#include "job/jrelay.h"

#include <string.h>

/* Multipliers of a 64-bit mix; any odd ones with well spread bits do. */
#define MIX_A UINT64_C(0xbf58476d1ce4e5b9)
#define MIX_B UINT64_C(0x94d049bb133111eb)

static uint64_t
weight(uint64_t worker, uint32_t instance)
{
	uint64_t x = worker * MIX_A ^ (uint64_t)instance * MIX_B;

	x = (x ^ x >> 30) * MIX_A;
	x = (x ^ x >> 27) * MIX_B;
	return x ^ x >> 31;
}

/* Tells whether a comes before b for a worker of this domain. */
static bool
before(const struct jvia_peer *a, const struct jvia_peer *b, const char *domain,
    uint64_t worker)
{
	bool near_a = strcmp(a->domain, domain) == 0;
	bool near_b = strcmp(b->domain, domain) == 0;

	if (near_a != near_b)
		return near_a;
	return weight(worker, a->instance) > weight(worker, b->instance);
}

/* Chooses by rendezvous hashing; a detour takes the next ones in the order. */
uint32_t
jvia_pick(const struct jvia_peer *v, size_t n, const char *domain,
    uint64_t worker, uint32_t detour)
{
	size_t i, k, rank;

	for (i = 0; i < n; i++) {
		rank = 0;
		for (k = 0; k < n; k++)
			rank += k != i && before(&v[k], &v[i], domain, worker);
		if (rank == detour % n)
			return v[i].instance;
	}
	return 0;
}

/* Compares a batch's delay with the least one of the same leader. */
bool
jvia_fresh(struct jvia_age *a, uint32_t from, uint64_t token, int64_t sent_ms,
    int64_t now_ms)
{
	int64_t delay = now_ms - sent_ms;

	if (a->from != from || a->token != token) {
		a->from = from;
		a->token = token;
		a->least_ms = delay;
	}
	if (delay < a->least_ms)
		a->least_ms = delay;
	return delay - a->least_ms <= JVIA_STALE_MS;
}
