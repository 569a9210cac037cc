/*
 * Connections between the instances of a group. This instance connects to each
 * other instance in order to send, and receives on the connections that others
 * make.
 */
#ifndef NODE_PEER_H
#define NODE_PEER_H

#include <tevent.h>

#include "base/ctr.h"
#include "base/err.h"
#include "control/control.pb-c.h"
#include "node/memacct.h"
#include "node/node.h"

__BEGIN_DECLS

#define PEER_HEARTBEAT_INTERVAL_MS 1000
#define PEER_SILENCE_TIMEOUT_MS	   3000 /* then the connection is closed */
/* What arrives on an accepted connection is answered by a heartbeat, at most
 * this often. */
#define PEER_ANSWER_INTERVAL_MS 200
/* A connection on which nothing answers what was sent is closed after this.
 * Instances of earlier versions send a heartbeat every
 * PEER_HEARTBEAT_INTERVAL_MS instead of answers. */
#define PEER_ANSWER_TIMEOUT_MS 1200
/* While others wait for memory, a large message has this long and the time that
 * it takes at SHED_FAIR_BYTES_PER_SEC. */
#define PEER_FRAME_GRACE_MS 2000
/* Ticks that come later than this are not held against the other side. */
#define PEER_TICK_LATE_MS   100
#define PEER_BACKOFF_MIN_MS 50
#define PEER_BACKOFF_MAX_MS 1000
/* Default limit of accepted connections. */
#define PEER_ACCEPTED_MAX 256

struct peer;

struct peer_conf {
	struct str cluster;
	uint32_t group;
	uint32_t instance;
	uint64_t incarnation;
	uint64_t replica;    /* 0: no data directory */
	uint64_t generation; /* of the data directory */
	int listen_fd;	     /* closed by peer */
	const struct node_peer *peers;
	size_t npeers;
	uint64_t seed;	     /* of the backoff */
	size_t max_accepted; /* open at once; 0: PEER_ACCEPTED_MAX */
	struct ctr_set *ctr;
	struct memacct *account; /* of buffers and queues; or NULL */
	/* A message from an instance; valid during the call. */
	void (*on_message)(void *arg, const Control__PeerMsg *);
	/* The connection to an instance failed. */
	void (*on_disconnect)(void *arg, uint32_t instance);
	/* Called for the HELLO of a replica; false refuses it, as its data
	 * directory is an older copy. */
	bool (*check_hello)(void *arg, uint64_t replica, uint64_t generation,
	    uint64_t incarnation);
	/* Called for the HELLO of an unknown instance; true accepts it, after
	 * peer_add was called for it. NULL refuses all of them. */
	bool (*on_unknown)(void *arg, uint32_t instance);
	void *arg;
};

struct peer *peer_new(
    TALLOC_CTX *, struct tevent_context *, const struct peer_conf *);
/* Adds an instance to connect to; the address is copied. */
void peer_add(struct peer *, const struct node_peer *);
/* Queues a message; STATUS_FULL, and the message is dropped, when the queue or
 * the memory for all of them is at its limit, STATUS_NOT_FOUND for an unknown
 * instance, STATUS_LIMIT when too large. */
enum status peer_send(
    struct peer *, uint32_t instance, const Control__PeerMsg *);
/* Writes queued messages now. Not allowed from within a callback. */
void peer_flush(struct peer *);

__END_DECLS

#endif
