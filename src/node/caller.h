/*
 * Calls on the leader from any instance. Finds out which replica leads, sends
 * calls there, sends them again after a change of leader, and gives up at
 * their deadline. All calls are idempotent. Pure: time is passed in, messages
 * leave by a callback.
 */
#ifndef NODE_CALLER_H
#define NODE_CALLER_H

#include <time.h>

#include "base/err.h"
#include "base/str.h"
#include "job/job.pb-c.h"

__BEGIN_DECLS

/* Interval of pings to the leader. */
#define CALLER_PING_MS 500
/* Interval of pings to all replicas while the leader is unknown. */
#define CALLER_SEARCH_MS 150
/* A leader that has not answered for this long counts as lost: three pings. */
#define CALLER_LEADER_LOST_MS 1600
/* While a ping to the leader has been unanswered for this long, calls that were
 * never sent wait for a sign of it or for the next leader. One that was sent to
 * a leader that had just been lost could only be answered as unknown. Pings are
 * answered within some ms, and 250 ms allow for one lost packet. */
#define CALLER_PING_ANSWER_MS 250
/* A call that has not been sent waits this long for the next leader, as an
 * election takes 2 s at most; after that it is refused at once. */
#define CALLER_ELECTION_WAIT_MS 2300
/* The answer to a ping that takes longer isn't used to compare clocks. */
#define CALLER_CLOCK_MAX_RTT_MS 300
/* Greatest time on the clock of a replica. */
#define CALLER_CLOCK_MAX_MS (INT64_C(1) << 52)
/* An unanswered call is sent again after this. A commit takes about 20 ms, a
 * change of leader 1 to 2 s. */
#define CALLER_RESEND_MS 700
/* Longest timeout of a call; clients may ask for any. */
#define CALLER_TIMEOUT_MAX_MS (INT64_C(3600) * 1000)
/* Replicas that are asked who leads, former ones included; those without a sign
 * of being a member for longest are forgotten. */
#define CALLER_MEMBERS_MAX 64

enum caller_end {
	CALLER_ANSWERED,
	CALLER_NOT_SENT, /* no leader was known; it had no effect */
	CALLER_UNKNOWN	 /* unconfirmed: it may have taken effect */
};

struct caller;
struct caller_call;

struct caller_ops {
	void (*send)(void *arg, uint32_t instance, const Job__Msg *);
	void *arg;
};

/* Ids of calls count from first_id, which has to differ between incarnations
 * of an instance: answers to calls of an earlier one may still arrive. */
struct caller *caller_new(TALLOC_CTX *, uint32_t self, uint64_t first_id,
    const struct caller_ops *, struct timespec now);
/* Sets what pings say about this instance. */
void caller_set_identity(
    struct caller *, const char *domain, bool calls_workers);
/* Makes pings say how much memory this replica has, in MB. */
void caller_set_memory(struct caller *, uint32_t memory_mb);
/* Makes pings say that this instance makes calls for advice. */
void caller_offer_advice(struct caller *);
/* Adds replicas to ask. */
void caller_add_members(struct caller *, const uint32_t *, size_t n);
/* Starts a call, which is copied; timeout_ms is cut to
 * CALLER_TIMEOUT_MAX_MS. done is called exactly once, but not from
 * within this function. */
struct caller_call *caller_start(struct caller *, struct timespec now,
    const Job__Call *, int64_t timeout_ms,
    void (*done)(void *arg, enum caller_end, const Job__Answer *), void *arg);
/* Ends a call without its callback. */
void caller_abort(struct caller *, struct caller_call *);
/* Answers to calls that have ended are dropped. */
void caller_on_answer(
    struct caller *, struct timespec now, uint32_t from, const Job__Answer *);
void caller_on_pong(
    struct caller *, struct timespec now, uint32_t from, const Job__Pong *);
/* Handles the failure of the connection to an instance. */
void caller_on_disconnect(
    struct caller *, struct timespec now, uint32_t instance);
/* Handles that the machine was suspended, which the monotonic clock doesn't
 * count. */
void caller_on_suspension(struct caller *, int64_t ms);
/* Runs the timers; to be called regularly. */
void caller_tick(struct caller *, struct timespec now);
/* Returns the instance that leads; 0: unknown. */
uint32_t caller_leader(const struct caller *);
/* Returns whether the leader has answered lately and has a configuration. */
bool caller_is_ready(const struct caller *, struct timespec now);
/* Returns the number of calls that have not ended. */
size_t caller_count_pending(const struct caller *);
/* Sets *ahead_ms to how far this clock is ahead of that of an instance, the
 * transit time of its answer included. Returns false while no ping was answered
 * in time. */
bool caller_clock_ahead(
    const struct caller *, uint32_t instance, int64_t *ahead_ms);

__END_DECLS

#endif
