/*
 * Splits a view of the control plane for several traffic threads, each with a
 * share of the granted slots, and merges what the threads report.
 */
#ifndef NODE_VSPLIT_H
#define NODE_VSPLIT_H

#include "control/control.pb-c.h"
#include "control/view.h"

__BEGIN_DECLS

/* Returns a copy, without a talloc parent, with the slots of thread i of n. */
struct view *vsplit_copy_share(const struct view *, unsigned i, unsigned n);
/* Returns the share of thread i of n; it never shrinks when total grows. */
unsigned vsplit_slots(uint64_t epoch, unsigned total, unsigned i, unsigned n);
/* Return the sums of slots by worker and of demand by class over the heartbeats
 * of n threads, owned by ctx; an entry of the array may be NULL. */
Control__SlotUse *vsplit_merge_slots(
    TALLOC_CTX *, Control__Beat *const *, unsigned n, size_t *nout);
Control__ClassDemand *vsplit_merge_demand(
    TALLOC_CTX *, Control__Beat *const *, unsigned n, size_t *nout);

__END_DECLS

#endif
