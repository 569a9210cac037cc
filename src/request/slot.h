/* The slots of one worker that this instance may use. */
#ifndef REQUEST_SLOT_H
#define REQUEST_SLOT_H

#include <sys/cdefs.h>
#include <stdbool.h>
#include <stdint.h>

__BEGIN_DECLS

/* Longest time a request is taken to be on its way to the worker. */
#define SLOT_TRANSIT_NS 500000000LL

struct slot {
	unsigned granted;
	unsigned connections; /* most that may be open */
	unsigned used;	      /* running and lingering */
	unsigned lingering;   /* ended here, maybe still running there */
	unsigned probes;      /* connections of probes */
	uint64_t grant_seq;   /* of the grant */
	int64_t expiry_ns;    /* ns; of the grant */
};

/* The newest grant; replaces the one before. */
void slot_grant(struct slot *, unsigned granted, unsigned connections,
    uint64_t seq, int64_t expiry);
/* Slots and connections that are free at now. */
unsigned slot_free(const struct slot *, int64_t now);
/* True if a request that may run until deadline fits the grant. */
bool slot_covers(
    const struct slot *, int64_t now, int64_t deadline, unsigned clock_ppm);
void slot_take(struct slot *);
void slot_release(struct slot *);
/* The request ended here, but the worker may still run it. */
void slot_linger(struct slot *);
void slot_linger_end(struct slot *);
/* When a request with this deadline has certainly ended everywhere. */
int64_t slot_latest_end(int64_t now, int64_t deadline, unsigned clock_ppm);
/* Slots that this instance relies on, for the heartbeat. */
unsigned slot_held(const struct slot *, int64_t now);

__END_DECLS

#endif
