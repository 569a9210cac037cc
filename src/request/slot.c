#include "request/slot.h"

/*
 * Replaces the grant. If it has fewer slots than are in use, no new request is
 * sent until enough of them have ended.
 */
void
slot_grant(struct slot *s, unsigned granted, unsigned connections, uint64_t seq,
    int64_t start_until, int64_t expiry)
{
	s->granted = granted;
	s->connections = connections;
	s->grant_seq = seq;
	s->start_until_ns = start_until;
	s->expiry_ns = expiry;
}

/*
 * Returns how many requests may be sent at now, limited by slots and
 * connections.
 */
unsigned
slot_free(const struct slot *s, int64_t now)
{
	unsigned slots, conns, open = s->used + s->probes;

	if (s->expiry_ns <= now || s->start_until_ns <= now ||
	    s->granted <= s->used || s->connections <= open)
		return 0;
	slots = s->granted - s->used;
	conns = s->connections - open;
	return slots < conns ? slots : conns;
}

/*
 * Returns true if a request that is sent at now and may run until deadline has
 * certainly ended when the grant expires; see slot_latest_end.
 */
bool
slot_covers(
    const struct slot *s, int64_t now, int64_t deadline, unsigned clock_ppm)
{
	return slot_latest_end(now, deadline, clock_ppm) <= s->expiry_ns;
}

/* Takes a slot for a request. */
void
slot_take(struct slot *s)
{
	s->used++;
}

/* Returns the slot of a request that has ended. */
void
slot_release(struct slot *s)
{
	s->used--;
}

/*
 * Marks a slot in use as lingering: the attempt has ended here but may still
 * run on the worker.
 */
void
slot_linger(struct slot *s)
{
	s->lingering++;
}

/* Returns a lingering slot. */
void
slot_linger_end(struct slot *s)
{
	s->lingering--;
	s->used--;
}

/*
 * Returns when a request that is sent at now with this deadline has certainly
 * ended on the worker: after the transit time, and on a clock whose rate is
 * off by up to clock_ppm.
 */
int64_t
slot_latest_end(int64_t now, int64_t deadline, unsigned clock_ppm)
{
	int64_t left = deadline - now + SLOT_TRANSIT_NS;

	return now + left + left / 1000000 * clock_ppm;
}

/* Returns the granted slots, or those in use if these are more. */
unsigned
slot_held(const struct slot *s, int64_t now)
{
	unsigned n = s->expiry_ns > now ? s->granted : 0;

	return n > s->used ? n : s->used;
}
