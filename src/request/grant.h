/*
 * Slot grants, on the leader of a group. Pure. The sum of the slots that any
 * instance may still use never exceeds what a worker has, also across a
 * change of leader and a restart of an instance.
 */
#ifndef REQUEST_GRANT_H
#define REQUEST_GRANT_H

#include "base/clk.h"
#include "base/str.h"
#include "control/control.pb-c.h"

__BEGIN_DECLS

struct grant_conf {
	int64_t ttl_ms; /* longest request timeout + 2000 */
	unsigned clock_ppm;
	unsigned reserve; /* slots an instance keeps of each class */
};

struct grant;

/* A new leader starts with an empty table: what it has not heard of may be
 * held by anyone until ttl has passed. */
struct grant *grant_new(
    TALLOC_CTX *, const struct grant_conf *, struct timespec now);
/* Beats that name this term were sent after this leader took over; workers
 * with epochs above first_epoch were never granted by an earlier leader. */
void grant_lead(struct grant *, uint64_t term, uint64_t first_epoch);
void grant_worker(struct grant *, struct timespec now, uint64_t epoch,
    unsigned slots, unsigned connections, bool draining);
void grant_worker_gone(struct grant *, uint64_t epoch);
void grant_overdue(struct grant *, uint64_t epoch, unsigned n);
/* A heartbeat: learns what the instance holds and fills the grants of the
 * reply, in memory owned by the reply's context. */
void grant_beat(struct grant *, struct timespec now, const Control__Beat *,
    TALLOC_CTX *, Control__BeatReply *);
/* Slots that no instance can hold now; for figures and tests. */
unsigned grant_free_slots(
    const struct grant *, struct timespec now, uint64_t epoch);

__END_DECLS

#endif
