#include "control/lease.h"

#include <stdlib.h>
#include <string.h>

#define PPM 1000000

static bool
lease_is(const void *object, const void *key)
{
	return ((const struct lease_item *)object)->epoch ==
	    *(const uint64_t *)key;
}

static struct lease_item *
lease_find(const struct lease *l, uint64_t epoch)
{
	return idx_find(&l->by_epoch, idx_hash_u64(epoch), lease_is, &epoch);
}

/* Starts without leases. */
void
lease_init(struct lease *l, const struct lease_conf *conf)
{
	memset(l, 0, sizeof(*l));
	l->conf = *conf;
	idx_init(&l->by_epoch);
}

/* Frees all leases. */
void
lease_finish(struct lease *l)
{
	struct lease_item *i, *next;

	for (i = l->first; i != NULL; i = next) {
		next = i->next;
		free(i);
	}
	idx_finish(&l->by_epoch);
	l->first = l->last = NULL;
}

static void
lease_unlink(struct lease *l, struct lease_item *i)
{
	if (i->prev != NULL)
		i->prev->next = i->next;
	else
		l->first = i->next;
	if (i->next != NULL)
		i->next->prev = i->prev;
	else
		l->last = i->prev;
}

/* Every lease lasts equally long, so the newest one expires last. */
static void
lease_append(struct lease *l, struct lease_item *i, struct timespec now)
{
	int64_t ns = l->conf.lease_ms * CLK_NS_PER_MS;

	ns += ns / PPM * l->conf.clock_ppm + l->conf.flight_ms * CLK_NS_PER_MS;
	i->expiry_ns = clk_ns(now) + ns;
	i->ended = false;
	i->prev = l->last;
	i->next = NULL;
	if (i->prev != NULL)
		i->prev->next = i;
	else
		l->first = i;
	l->last = i;
}

/* Starts the lease of an epoch, or starts it anew. */
void
lease_add(struct lease *l, struct timespec now, uint64_t epoch)
{
	struct lease_item *i = lease_find(l, epoch);

	if (i != NULL) {
		lease_unlink(l, i);
	} else {
		i = calloc(1, sizeof(*i));
		if (i == NULL)
			abort();
		i->epoch = epoch;
		idx_add(&l->by_epoch, idx_hash_u64(epoch), i);
	}
	lease_append(l, i, now);
}

/*
 * Extends a lease from the arrival of a poll. A lease that has been given out
 * as ended is not extended: the record of its end may be on its way.
 */
bool
lease_renew(struct lease *l, struct timespec now, uint64_t epoch)
{
	struct lease_item *i = lease_find(l, epoch);

	if (i == NULL || i->ended)
		return false;
	lease_unlink(l, i);
	lease_append(l, i, now);
	return true;
}

/* Forgets an epoch that has ended. */
void
lease_remove(struct lease *l, uint64_t epoch)
{
	struct lease_item *i = lease_find(l, epoch);

	if (i == NULL)
		return;
	lease_unlink(l, i);
	idx_remove(&l->by_epoch, idx_hash_u64(epoch), i);
	free(i);
}

/* Returns the next epoch whose lease has ended, or 0. */
uint64_t
lease_expired(struct lease *l, struct timespec now)
{
	struct lease_item *i;

	for (i = l->first; i != NULL; i = i->next) {
		if (i->expiry_ns > clk_ns(now))
			return 0;
		if (i->ended)
			continue;
		i->ended = true;
		return i->epoch;
	}
	return 0;
}

/* Undoes that an epoch was given out by lease_expired. */
void
lease_retry(struct lease *l, uint64_t epoch)
{
	struct lease_item *i = lease_find(l, epoch);

	if (i != NULL)
		i->ended = false;
}

/* Returns when the next lease ends; far in the future without one. */
struct timespec
lease_deadline(const struct lease *l)
{
	const struct lease_item *i;

	for (i = l->first; i != NULL; i = i->next) {
		if (!i->ended)
			return clk_from_ns(i->expiry_ns);
	}
	return clk_from_ns(INT64_MAX);
}

/* Tells whether the lease of an epoch may still be held by its worker. */
bool
lease_held(const struct lease *l, struct timespec now, uint64_t epoch)
{
	const struct lease_item *i = lease_find(l, epoch);

	return i != NULL && !i->ended && i->expiry_ns > clk_ns(now);
}
