#include "control/lease.h"

#include <stdlib.h>
#include <string.h>

#define PPM 1000000

/* Compares a lease with a key, for idx_find. */
static bool
lease_has_epoch(const void *object, const void *key)
{
	return ((const struct lease_item *)object)->epoch ==
	    *(const uint64_t *)key;
}

/* Returns the lease of an epoch, or NULL. */
static struct lease_item *
lease_find(const struct lease *l, uint64_t epoch)
{
	return idx_find(
	    &l->by_epoch, idx_hash_u64(epoch), lease_has_epoch, &epoch);
}

/* Initialises an empty set of leases. */
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

/* Removes an item from the list ordered by expiry. */
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

/*
 * Appends an item with a full lease from now on. All leases last equally long,
 * so the list stays ordered by expiry.
 */
static void
lease_append(struct lease *l, struct lease_item *i, struct timespec now)
{
	int64_t ns = l->conf.lease_ms * CLK_NS_PER_MS;

	ns += ns / PPM * l->conf.clock_ppm +
	    l->conf.max_transit_ms * CLK_NS_PER_MS;
	i->expiry_ns = clk_ns(now) + ns;
	i->is_reported = false;
	i->prev = l->last;
	i->next = NULL;
	if (i->prev != NULL)
		i->prev->next = i;
	else
		l->first = i;
	l->last = i;
}

/* Starts a full lease for an epoch, whether or not it has one. */
void
lease_start(struct lease *l, struct timespec now, uint64_t epoch)
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
 * Renews a lease at the arrival of a poll. Returns false if the epoch is
 * unknown or lease_next_expired returned it: the record of its end may be under
 * way then.
 */
bool
lease_renew(struct lease *l, struct timespec now, uint64_t epoch)
{
	struct lease_item *i = lease_find(l, epoch);

	if (i == NULL || i->is_reported)
		return false;
	lease_unlink(l, i);
	lease_append(l, i, now);
	return true;
}

/* Removes the lease of an epoch, if there is one. */
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

/* Returns the next epoch whose lease has ended, each one once; 0: none. */
uint64_t
lease_next_expired(struct lease *l, struct timespec now)
{
	struct lease_item *i;

	for (i = l->first; i != NULL; i = i->next) {
		if (i->expiry_ns > clk_ns(now))
			return 0;
		if (i->is_reported)
			continue;
		i->is_reported = true;
		return i->epoch;
	}
	return 0;
}

/* Lets lease_next_expired return an epoch again. */
void
lease_report_again(struct lease *l, uint64_t epoch)
{
	struct lease_item *i = lease_find(l, epoch);

	if (i != NULL)
		i->is_reported = false;
}

/*
 * Returns when the next lease ends that lease_next_expired has not returned
 * yet, or a time far in the future if there is none.
 */
struct timespec
lease_next_expiry_time(const struct lease *l)
{
	const struct lease_item *i;

	for (i = l->first; i != NULL; i = i->next) {
		if (!i->is_reported)
			return clk_from_ns(i->expiry_ns);
	}
	return clk_from_ns(INT64_MAX);
}

/* Returns whether an epoch's worker may still hold its lease at now. */
bool
lease_is_held(const struct lease *l, struct timespec now, uint64_t epoch)
{
	const struct lease_item *i = lease_find(l, epoch);

	return i != NULL && !i->is_reported && i->expiry_ns > clk_ns(now);
}
