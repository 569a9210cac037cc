/* Slots and connections of one worker that this instance may use. */
#ifndef REQUEST_SLOT_H
#define REQUEST_SLOT_H

#include <sys/cdefs.h>
#include <stdbool.h>
#include <stdint.h>

__BEGIN_DECLS

/* Longest time that a request may be in transit to the worker. */
#define SLOT_TRANSIT_NS 500000000LL

struct slot {
	unsigned granted;
	unsigned connections; /* most that may be open, with probes */
	unsigned used;	      /* running and lingering */
	unsigned lingering;   /* ended here, may still run on the worker */
	unsigned probes;      /* connections of probes */
	uint64_t grant_seq;
	int64_t start_until_ns; /* the grant lets no request start after */
	int64_t expiry_ns;	/* of the grant */
};

/* Replaces the grant by a newer one. */
void slot_grant(struct slot *, unsigned granted, unsigned connections,
    uint64_t seq, int64_t start_until, int64_t expiry);
/* Returns the number of requests that may be sent at now. */
unsigned slot_free(const struct slot *, int64_t now);
/* Returns true if the grant outlasts a request that may run until deadline. */
bool slot_covers(
    const struct slot *, int64_t now, int64_t deadline, unsigned clock_ppm);
void slot_take(struct slot *);
void slot_release(struct slot *);
/* The attempt has ended here, but the worker may still run it. */
void slot_linger(struct slot *);
void slot_linger_end(struct slot *);
/* Returns when a request with this deadline has certainly ended everywhere. */
int64_t slot_latest_end(int64_t now, int64_t deadline, unsigned clock_ppm);
/* Returns the slots that this instance relies on, for the heartbeat. */
unsigned slot_held(const struct slot *, int64_t now);

__END_DECLS

#endif
