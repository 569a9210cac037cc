/*
 * Parts of the connections between instances that peer.c and peer_conn.c share.
 */
#ifndef NODE_PEER_IMPL_H
#define NODE_PEER_IMPL_H

#include "base/clk.h"
#include "base/rng.h"
#include "node/mtimer.h"
#include "node/nctr.h"
#include "node/peer.h"
#include "node/recvbuf.h"
#include "node/sendq.h"

__BEGIN_DECLS

struct peer_link;

/* One connection in either direction. */
struct peer_conn {
	struct peer *peer;
	struct peer_link *link;	       /* NULL on accepted connections */
	struct peer_conn *prev, *next; /* in peer.accepted_conns */
	struct tevent_fd *fde;
	int fd;
	bool connected;
	bool has_hello;	 /* a valid HELLO has arrived */
	bool is_replica; /* which the HELLO named */
	uint32_t instance;
	uint64_t incarnation;
	struct recvbuf in;
	struct sendq out;
	bool is_waiting; /* nothing is read: in peer.waiting */
	struct peer_conn *next_waiting;
	struct timespec frame_since;	      /* a large frame has its buffer */
	struct timespec received_at, sent_at; /* of the newest bytes */
	bool owes_answer;		      /* has read since it sent */
	bool awaits_answer; /* nothing has arrived since unanswered_since */
	struct timespec unanswered_since;
};

/* Another instance as a destination. */
struct peer_link {
	struct peer *peer;
	struct node_peer node;
	struct peer_conn *conn;
	struct sendq waiting; /* for a HELLO */
	struct timespec retry_at;
	int64_t backoff_ms;
};

struct peer {
	struct peer_conf conf;
	struct tevent_context *ev;
	struct clk clk;
	struct rng rng;
	struct tevent_fd *listen_fde;
	struct mtimer timer;
	struct timespec ticked_at;
	struct peer_link **links;
	size_t nlinks;
	struct peer_conn *accepted_conns;
	size_t naccepted;
	struct peer_conn *waiting; /* for memory: replicas first, in turn */
	struct timespec next_drop_log;
	uint64_t dropped; /* messages since the last log line */
	bool is_closing;
};

/* Creates a connection for a socket; l is NULL for an accepted one. addr is the
 * account's key for the other side. Returns NULL if there is no memory for its
 * buffer, unless is_forced. */
struct peer_conn *peer_conn_new(struct peer *, struct peer_link *l, int fd,
    bool connected, uint64_t addr, bool is_forced);
/* Queues the HELLO, which names this instance and its replica. */
void peer_conn_send_hello(struct peer_conn *);
/* Waits for what the connection has to do next. */
void peer_conn_update_events(struct peer_conn *);
/* Writes what the socket accepts; false if the connection was closed. */
bool peer_conn_flush(struct peer_conn *);
/* Closes a connection and drops its queued messages. */
void peer_conn_close(struct peer_conn *, const char *why);
/* Closes a silent or too slow connection, or sends a heartbeat if one is due.
 * late_ms is how long this process was held up. */
void peer_conn_tick(struct peer_conn *, struct timespec now, int64_t late_ms);
/* Returns the destination for an instance, NULL if it is not known. */
struct peer_link *peer_find_link(struct peer *, uint32_t instance);
/* Handles that the connection of a link is closed. */
void peer_link_on_close(struct peer_link *);

__END_DECLS

#endif
