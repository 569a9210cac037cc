#include "request/slot.h"

/*
 * Takes a grant over. Fewer slots than are in use mean that no new request is
 * sent until enough have ended.
 */
void
slot_grant(struct slot *s, unsigned granted, unsigned connections, uint64_t seq,
    int64_t expiry)
{
	s->granted = granted;
	s->connections = connections;
	s->grant_seq = seq;
	s->expiry_ns = expiry;
}

/* Returns how many requests may be sent at now. */
unsigned
slot_free(const struct slot *s, int64_t now)
{
	unsigned slots, conns, open = s->used + s->probes;

	if (s->expiry_ns <= now || s->granted <= s->used ||
	    s->connections <= open)
		return 0;
	slots = s->granted - s->used;
	conns = s->connections - open;
	return slots < conns ? slots : conns;
}

/*
 * Tells whether a request that is sent at now and may run until deadline has
 * certainly ended when the grant expires: on a clock that is off by
 * clock_ppm, and with the time it may be under way to the worker.
 */
bool
slot_covers(
    const struct slot *s, int64_t now, int64_t deadline, unsigned clock_ppm)
{
	return slot_latest_end(now, deadline, clock_ppm) <= s->expiry_ns;
}

void
slot_take(struct slot *s)
{
	s->used++;
}

void
slot_release(struct slot *s)
{
	s->used--;
}

void
slot_linger(struct slot *s)
{
	s->lingering++;
}

void
slot_linger_end(struct slot *s)
{
	s->lingering--;
	s->used--;
}

/* Returns deadline plus transit time and the clock-rate bound. */
int64_t
slot_latest_end(int64_t now, int64_t deadline, unsigned clock_ppm)
{
	int64_t left = deadline - now + SLOT_TRANSIT_NS;

	return now + left + left / 1000000 * clock_ppm;
}

/* Returns the granted slots, or those in use when these are more. */
unsigned
slot_held(const struct slot *s, int64_t now)
{
	unsigned n = s->expiry_ns > now ? s->granted : 0;

	return n > s->used ? n : s->used;
}
