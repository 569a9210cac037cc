/*
 * Division of the workers' slots among the instances, on the leader of a
 * group. Pure: no I/O, the time is passed in. The slots of a worker that all
 * instances together may still use never exceed what it has, also across a
 * change of leader and a restart of an instance.
 *
 * An instance may start requests under a grant for as long as the reply with
 * the grant keeps its configuration fresh; requests may run until the grant
 * expires. Slots under grants of earlier leaders are held until these expire,
 * or until no request can start under them and the worker itself counts fewer
 * requests than that.
 */
#ifndef REQUEST_GRANT_H
#define REQUEST_GRANT_H

#include "base/clk.h"
#include "base/str.h"
#include "control/control.pb-c.h"

__BEGIN_DECLS

struct grant_conf {
	int64_t ttl_ms;	    /* longest request timeout + 2000 */
	unsigned clock_ppm; /* most that clock rates differ */
	unsigned
	    reserve_slots; /* slots that weigh as demand of an idle instance */
	/* Longest time after a heartbeat that its reply keeps the configuration
	 * fresh; 0: unknown, so that only the ttl ends earlier grants. */
	int64_t freshness_ms;
};

struct grant;

/*
 * Starts with an empty table: slots that the new leader knows nothing of may
 * be held by any instance until the ttl has passed.
 */
struct grant *grant_new(
    TALLOC_CTX *, const struct grant_conf *, struct timespec now);
/*
 * Heartbeats that name this term were sent after this leader took over. The
 * leader of fence_term may have granted again what leaders before it had
 * granted. Workers with epochs above max_earlier_epoch were never granted by an
 * earlier leader.
 */
void grant_set_term(struct grant *, uint64_t term, uint64_t fence_term,
    uint64_t max_earlier_epoch);
/* Adds a worker or updates its figures. */
void grant_update_worker(struct grant *, struct timespec now, uint64_t epoch,
    unsigned slots, unsigned connections, bool draining);
void grant_remove_worker(struct grant *, uint64_t epoch);
/* Sets the number of requests that run past their timeout on a worker. */
void grant_set_overdue(struct grant *, uint64_t epoch, unsigned n);
/*
 * Returns true if slots of a worker may be held under grants of earlier
 * leaders, but no request can start under these any more.
 */
bool grant_wants_count(
    const struct grant *, struct timespec now, uint64_t epoch);
/*
 * Sets the requests that a worker runs, as it counted them after
 * grant_wants_count had returned true.
 */
void grant_set_running(struct grant *, uint64_t epoch, unsigned n);
/*
 * Handles a heartbeat: updates what the instance holds and puts its grants
 * into the reply, in memory owned by the context.
 */
void grant_handle_heartbeat(struct grant *, struct timespec now,
    const Control__Beat *, TALLOC_CTX *, Control__BeatReply *);
/* Returns the slots that no instance can hold at now, for tests. */
unsigned grant_free_slots(
    const struct grant *, struct timespec now, uint64_t epoch);

__END_DECLS

#endif
