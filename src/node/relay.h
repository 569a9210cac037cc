/*
 * Calls to workers. This instance makes them, for itself as the leader or for
 * a leader elsewhere, or it forwards them as the leader to another instance
 * that makes them: a relayed call. Every call gets a reply, at its deadline at
 * the latest.
 */
#ifndef NODE_RELAY_H
#define NODE_RELAY_H

#include <tevent.h>

#include "base/clk.h"
#include "job/jlead.h"
#include "job/jrelay.h"

__BEGIN_DECLS

/* Answers for another instance are collected for this long into a message. */
#define RELAY_BATCH_MS 2
/* More calls or answers than this go into further messages; far below
 * FRAME_PAYLOAD_MAX_BYTES. */
#define RELAY_MESSAGE_MAX_BYTES (1024 * 1024)
/* A relayed call may take this much longer than its own timeout, for the
 * messages between the instances; above JRELAY_STALE_MS. */
#define RELAY_TIMEOUT_MARGIN_MS 1000
/* Connections to one worker: one for a long poll, one for a poll that the
 * leader has replaced, two for orders. */
#define RELAY_WORKER_CONNECTIONS 4
/* Greatest time on the clock of an instance. */
#define RELAY_TIME_MAX_MS (INT64_C(1) << 52)
/* An instance that has sent no ping for this long gets no more calls; three
 * times CALLER_PING_MS. */
#define RELAY_PEER_SILENT_MS 1600
/* Nor does a replica that has not answered the leader's log for this long;
 * four heartbeats of raft. */
#define RELAY_PEER_STUCK_MS 600
#define RELAY_PEERS_MAX	    64
/* Starts and stops that are sent this long after the leader ordered them are
 * logged. */
#define RELAY_LATE_ORDER_MS 1000
/* Relayed calls are checked when the first deadline among them has passed, and
 * at least this often. */
#define RELAY_SWEEP_MS 10000

struct relay;

struct relay_conf {
	struct tevent_context *ev;
	struct clk clk;
	struct ctr_set *ctr;
	/* Up to this many workers the leader makes all calls itself: those to
	 * 100 workers take 0.1 of a core, and a relayed call takes about 3 ms
	 * longer. */
	int64_t direct_workers_max;
	size_t connections_max; /* to all workers */
	/* Returns false if the message isn't sent. */
	bool (*send)(void *arg, uint32_t instance, const Job__Msg *);
	/* Gives the reply to a call of this leader. */
	void (*reply)(void *arg, const struct jl_reply *);
	/* Returns for how long a replica has not answered the log, in ms; 0 if
	 * that isn't known. */
	int64_t (*get_silent_ms)(void *arg, uint32_t instance);
	/* Gives how far this clock is ahead of an instance's, in ms; returns
	 * false if that isn't known. */
	bool (*get_clock_ahead)(void *arg, uint32_t instance, int64_t *ms);
	void *arg;
};

struct relay *relay_new(TALLOC_CTX *, const struct relay_conf *);
/* Starts a call of this leader, which has nworkers workers. */
void relay_call(struct relay *, const struct jl_call *, size_t nworkers);
/* Sends the calls that were forwarded since the last time. */
void relay_flush(struct relay *);
/* Records that an instance offers to make calls to workers for the leader. */
void relay_on_peer(struct relay *, uint32_t instance, const char *domain);
/* Returns the number of other instances that make calls. */
size_t relay_count_peers(const struct relay *);
/* Ends the calls of an instance to which the connection failed. */
void relay_on_disconnect(struct relay *, uint32_t instance);
/* Records the fencing token of a leader; unsent calls of earlier leaders
 * end. */
void relay_on_leader(struct relay *, uint64_t token);
void relay_on_calls(struct relay *, uint32_t from, const Job__WorkerCalls *);
void relay_on_answers(
    struct relay *, uint32_t from, const Job__WorkerAnswers *);
/* Ends calls past their deadline, stops using instances that are silent. */
void relay_tick(struct relay *);
/* Drops the forwarded calls of this leader, whose term has ended; they get no
 * reply. */
void relay_drop_calls(struct relay *);

__END_DECLS

#endif
