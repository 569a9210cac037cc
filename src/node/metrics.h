/*
 * Counters and histograms of an instance over HTTP, in the Prometheus text
 * format.
 */
#ifndef NODE_METRICS_H
#define NODE_METRICS_H

#include <tevent.h>

#include "base/ctr.h"
#include "base/hist.h"
#include "node/front.h"

__BEGIN_DECLS

#define METRICS_MAX 16 /* counter sets, histograms, and gauges */

struct metrics;

/* Serves on an address; nothing is served if it is empty. NULL with e set if
 * it can't listen. The account may be NULL. */
struct metrics *metrics_new(TALLOC_CTX *, struct tevent_context *,
    struct str addr, struct ctr_set *, struct memacct *, struct err *);
/* The added sets and histograms are read at each request, so they have to
 * stay valid. */
void metrics_add_counters(struct metrics *, const struct ctr_set *);
void metrics_add_hist(struct metrics *, const char *name, const struct hist *);
/* Adds a value that may rise and fall. */
void metrics_add_gauge(struct metrics *, const char *name, const size_t *value);
/* Returns the text, owned by ctx. */
struct str metrics_text(TALLOC_CTX *ctx, const struct metrics *);

__END_DECLS

#endif
