/*
 * Calls to workers: made by this instance, for its own leader or for another
 * instance's, or handed to another instance that makes them for this leader.
 * Every call is answered, at the latest when it is out of time.
 */
#ifndef NODE_RELAY_H
#define NODE_RELAY_H

#include <tevent.h>

#include "base/clk.h"
#include "job/jlead.h"
#include "job/jrelay.h"

__BEGIN_DECLS

/* Answers for another instance wait so long for others, to share a message. */
#define RELAY_BATCH_MS 2
/* Calls that were handed on may take so much longer than their own time: the
 * way there and back, above JVIA_STALE_MS. */
#define RELAY_MARGIN_MS 1000
/* Connections to one worker: a look, and two for orders. */
#define RELAY_WORKER_CONNECTIONS 3
/* An instance that says so every CALLER_PING_MS calls workers; three of these.
 */
#define RELAY_SILENT_MS 1600
/* A replica that has not answered the leader's log for so long is not given
 * more calls; four heartbeats. */
#define RELAY_STUCK_MS	600
#define RELAY_PEERS_MAX 64
/* Starts and stops that leave so long after they were handed over have a line
 * in the log. */
#define RELAY_LOG_LATE_MS 1000
/* Calls that others make are looked at for those out of time when the first
 * of them is, and at least this often. */
#define RELAY_SWEEP_MS 10000

struct relay;

struct relay_conf {
	struct tevent_context *ev;
	struct clk clk;
	struct ctr_set *ctr;
	/* Up to so many workers the leader calls them all itself: 100 take 0.1
	 * of a core, and the way over another instance adds about 3 ms. */
	int64_t own_workers;
	size_t connections_max; /* to all workers */
	void (*send)(void *arg, uint32_t instance, const Job__Msg *);
	/* The answer to a call of this leader. */
	void (*reply)(void *arg, const struct jl_reply *);
	/* How long a peer has not answered the log; 0 if it isn't known. */
	int64_t (*silent_ms)(void *arg, uint32_t instance);
	/* How far this clock is ahead of an instance's; false: not known. */
	bool (*clock_ahead)(void *arg, uint32_t instance, int64_t *ms);
	void *arg;
};

struct relay *relay_new(TALLOC_CTX *, const struct relay_conf *);
/* Carries out a call of this leader, which has so many workers. */
void relay_call(struct relay *, const struct jl_call *, size_t nworkers);
/* Sends what was handed on since the last time. */
void relay_flush(struct relay *);
/* An instance calls workers for whoever leads. */
void relay_peer(struct relay *, uint32_t instance, const char *domain);
/* Instances besides this one that make calls now. */
size_t relay_ways(const struct relay *);
/* The connection to an instance failed. */
void relay_down(struct relay *, uint32_t instance);
/* There is a leader of this token, or was: calls of earlier ones end. */
void relay_term(struct relay *, uint64_t token);
void relay_on_calls(struct relay *, uint32_t from, const Job__WorkerCalls *);
void relay_on_answers(
    struct relay *, uint32_t from, const Job__WorkerAnswers *);
/* Ends calls that are out of time, forgets instances that are silent. */
void relay_tick(struct relay *);
/* This leader's time is over: its calls need no answer any more. */
void relay_forget(struct relay *);

__END_DECLS

#endif
