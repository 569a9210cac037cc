#include "node/shed.h"

#include <stdlib.h>

#define MS_PER_SEC 1000

/* Tells whether a body or an answer of some bytes has had the time that it
 * takes at the minimum rate. */
static bool
is_below_min_rate(int64_t ms, size_t bytes)
{
	return ms > SHED_GRACE_MS +
	    (int64_t)(bytes * MS_PER_SEC / SHED_MIN_BYTES_PER_SEC);
}

/* Tells whether a connection is too slow to be kept. */
enum shed_reason
shed_check(const struct shed_conn *c)
{
	if ((c->phase == SHED_IDLE || c->phase == SHED_ANSWER) &&
	    c->unread_ms > SHED_UNREAD_MS)
		return SHED_ANSWER_SLOW;
	switch (c->phase) {
	case SHED_IDLE:
		return c->phase_ms > SHED_IDLE_MS ? SHED_IDLE_LONG : SHED_KEEP;
	case SHED_HEADERS:
		return c->phase_ms > SHED_HEADERS_MS ? SHED_HEADERS_SLOW
						     : SHED_KEEP;
	case SHED_BODY:
		return is_below_min_rate(c->phase_ms, c->progress)
		    ? SHED_BODY_SLOW
		    : SHED_KEEP;
	case SHED_ANSWER:
		return is_below_min_rate(c->phase_ms, c->answer)
		    ? SHED_ANSWER_SLOW
		    : SHED_KEEP;
	case SHED_HELD:
	case SHED_CLOSING:
		break;
	}
	return SHED_KEEP;
}

/*
 * Tells whether a connection may be closed in a shortage. A request that is
 * with the handler may have been passed on to the leader: closing its
 * connection would leave its client without the outcome, and so would cutting
 * off the answer. A read may be sent again.
 */
static bool
may_be_closed(const struct shed_conn *c)
{
	switch (c->phase) {
	case SHED_IDLE:
	case SHED_HEADERS:
	case SHED_BODY:
		return true;
	case SHED_ANSWER:
		return c->is_read;
	case SHED_HELD:
	case SHED_CLOSING:
		break;
	}
	return false;
}

/* A connection that may be chosen, and how much it costs for what it does. */
struct candidate {
	size_t index;
	size_t bytes;
	double cost;
};

/*
 * Returns how much a connection costs: the bytes that it and the others of its
 * address hold, and for how long beyond the time that its progress takes at
 * SHED_FAIR_BYTES_PER_SEC. The part of its address weighs as much as its own:
 * many connections of one sender, each of them small, go before one of another
 * sender.
 */
static double
get_cost(const struct shed_conn *c)
{
	int64_t late = c->phase_ms -
	    (int64_t)(c->progress * MS_PER_SEC / SHED_FAIR_BYTES_PER_SEC);

	if (late < 1)
		late = 1;
	return (double)c->bytes * (double)(c->addr_bytes + 1) * (double)late;
}

/* Orders the costliest first, and of equal ones the first. */
static int
cmp_candidates(const void *pa, const void *pb)
{
	const struct candidate *a = pa, *b = pb;

	if (a->cost != b->cost)
		return a->cost > b->cost ? -1 : 1;
	return a->index < b->index ? -1 : a->index > b->index;
}

/* Chooses the costliest connections until enough is freed. */
size_t
shed_choose(const struct shed_conn *v, size_t n, size_t excess, size_t nconns,
    size_t *chosen)
{
	struct candidate *c = calloc(n + 1, sizeof(*c));
	size_t i, ncand = 0, nchosen = 0, freed = 0;

	if (c == NULL)
		abort();
	for (i = 0; i < n; i++) {
		if (!may_be_closed(&v[i]))
			continue;
		c[ncand].index = i;
		c[ncand].bytes = v[i].bytes;
		c[ncand++].cost = get_cost(&v[i]);
	}
	qsort(c, ncand, sizeof(*c), cmp_candidates);
	for (i = 0; i < ncand && (freed < excess || nchosen < nconns); i++) {
		freed += c[i].bytes;
		chosen[nchosen++] = c[i].index;
	}
	free(c);
	return nchosen;
}
