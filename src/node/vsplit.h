/*
 * Views for several traffic threads: each gets a share of the granted slots,
 * and their figures are added up again.
 */
#ifndef NODE_VSPLIT_H
#define NODE_VSPLIT_H

#include "control/control.pb-c.h"
#include "control/view.h"

__BEGIN_DECLS

/* A copy, talloc'd on NULL, with the slots of thread i of n. */
struct view *vsplit_share(const struct view *, unsigned i, unsigned n);
/* Share of thread i of n; never shrinks when total grows. */
unsigned vsplit_slots(uint64_t epoch, unsigned total, unsigned i, unsigned n);
Control__SlotUse *vsplit_merge_slots(
    TALLOC_CTX *, Control__Beat *const *, unsigned n, size_t *nout);
Control__ClassDemand *vsplit_merge_demand(
    TALLOC_CTX *, Control__Beat *const *, unsigned n, size_t *nout);

__END_DECLS

#endif
