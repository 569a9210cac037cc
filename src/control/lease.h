/*
 * Worker leases on the leader, kept in memory only: a poll renews a lease
 * without a log write. Does no I/O. A lease has certainly ended on the worker's
 * clock once this much has passed here since the poll arrived: the lease time,
 * plus the largest clock-rate difference over it, plus the longest transit.
 */
#ifndef CONTROL_LEASE_H
#define CONTROL_LEASE_H

#include "base/clk.h"
#include "control/idx.h"

__BEGIN_DECLS

struct lease_conf {
	int64_t lease_ms;
	int64_t max_transit_ms; /* longest transit of an order to a worker */
	unsigned clock_ppm;	/* largest clock-rate difference */
};

struct lease_item {
	struct lease_item *prev, *next; /* by expiry, earliest first */
	uint64_t epoch;
	int64_t expiry_ns;
	bool is_reported; /* returned by lease_next_expired */
};

struct lease {
	struct lease_conf conf;
	struct idx by_epoch;
	struct lease_item *first, *last;
};

void lease_init(struct lease *, const struct lease_conf *);
void lease_finish(struct lease *);
/* Starts a full lease at now, also for workers that a new leader finds. */
void lease_start(struct lease *, struct timespec now, uint64_t epoch);
/* Returns false if the epoch is unknown or its end was reported. */
bool lease_renew(struct lease *, struct timespec now, uint64_t epoch);
void lease_remove(struct lease *, uint64_t epoch);
/* Returns the next epoch whose lease has ended, each once; 0: none. */
uint64_t lease_next_expired(struct lease *, struct timespec now);
/* Lets lease_next_expired return epoch again: its end could not be recorded. */
void lease_report_again(struct lease *, uint64_t epoch);
struct timespec lease_next_expiry_time(const struct lease *);
bool lease_is_held(const struct lease *, struct timespec now, uint64_t epoch);

__END_DECLS

#endif
