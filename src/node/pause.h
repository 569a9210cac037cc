/*
 * Tells when a request that is read now may have arrived at the earliest: one
 * that was sent while the process or the machine was paused is read only
 * afterwards. Pure: gets the monotonic time, and by how much a clock that
 * counts suspensions of the machine is ahead of it.
 */
#ifndef NODE_PAUSE_H
#define NODE_PAUSE_H

#include <stdint.h>
#include <time.h>

#include "base/clk.h"

__BEGIN_DECLS

/* A tick that comes this much late shows a pause of the process. */
#define PAUSE_MS 250
/* Requests that waited during a pause are read within this time after it, also
 * by a process that gets a tenth of a processor. */
#define PAUSE_SETTLE_MS 1000

struct pause {
	struct timespec ticked_at;	/* zero before the first tick */
	struct timespec began, noticed; /* the last pause; zero without any */
	int64_t boot_ahead_ms;		/* at the last tick */
};

/* Handles a tick; returns for how long the machine was suspended before it, in
 * ms. */
int64_t pause_tick(struct pause *, struct timespec now, int64_t boot_ahead_ms);
/* Returns the earliest arrival of a request that is read now. It may lie before
 * the monotonic clock's start of a suspension, which that clock doesn't
 * count. */
struct timespec pause_earliest_arrival(
    const struct pause *, struct timespec now, int64_t boot_ahead_ms);

__END_DECLS

#endif
