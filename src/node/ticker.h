/*
 * A periodic event on the monotonic clock. The event loop's own timers use the
 * time of day and stall when that is set back.
 */
#ifndef NODE_TICKER_H
#define NODE_TICKER_H

#include <tevent.h>

#include "base/err.h"

__BEGIN_DECLS

struct ticker;

/* Calls tick every period_ms until it is freed. */
struct ticker *ticker_new(TALLOC_CTX *, struct tevent_context *,
    int64_t period_ms, void (*tick)(void *arg), void *arg, struct err *);

__END_DECLS

#endif
