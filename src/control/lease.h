/*
 * Worker leases on the leader. Pure. A lease is renewed by a poll without a
 * log write. It has certainly ended on the worker's own clock once
 * lease x (1 + clock_ppm) + flight has passed here since the poll arrived.
 */
#ifndef CONTROL_LEASE_H
#define CONTROL_LEASE_H

#include "base/clk.h"
#include "control/idx.h"

__BEGIN_DECLS

struct lease_conf {
	int64_t lease_ms;
	int64_t flight_ms; /* bound on the transit of an order */
	unsigned clock_ppm;
};

struct lease_item {
	struct lease_item *prev, *next; /* by expiry, earliest first */
	uint64_t epoch;
	int64_t expiry_ns;
	bool ended; /* given out by lease_expired */
};

struct lease {
	struct lease_conf conf;
	struct idx by_epoch;
	struct lease_item *first, *last;
};

void lease_init(struct lease *, const struct lease_conf *);
void lease_finish(struct lease *);
/* A whole lease from now on; also for workers found by a new leader. */
void lease_add(struct lease *, struct timespec now, uint64_t epoch);
/* False when the epoch is unknown or its lease has ended. */
bool lease_renew(struct lease *, struct timespec now, uint64_t epoch);
void lease_remove(struct lease *, uint64_t epoch);
/* The next epoch whose lease has ended, each given once; 0: none. */
uint64_t lease_expired(struct lease *, struct timespec now);
/* Gives epoch out again: the record of its end was not accepted. */
void lease_retry(struct lease *, uint64_t epoch);
struct timespec lease_deadline(const struct lease *);
bool lease_held(const struct lease *, struct timespec now, uint64_t epoch);

__END_DECLS

#endif
