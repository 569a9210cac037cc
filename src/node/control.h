/*
 * The control thread: runs the agent of the instance and, if there is a data
 * directory, a replica of the group, and connects them to the other instances,
 * the disk and the traffic threads.
 */
#ifndef NODE_CONTROL_H
#define NODE_CONTROL_H

#include "node/node.h"
#include "node/tstats.h"
#include "node/traffic.h"

__BEGIN_DECLS

#define CONTROL_OP_TIMEOUT_MS 5000
/* Of the steps of a shutdown: for requests in flight, for last heartbeats. */
#define CONTROL_DRAIN_TIMEOUT_MS   60000
#define CONTROL_LAST_HEARTBEATS_MS 1500

struct wal_io;

struct control_conf {
	const struct node_conf *node;
	uint64_t incarnation;
	uint64_t seed;
	int peer_fd; /* listening socket; closed by control */
	struct node_shared *shared;
	struct mbox **threads; /* mailboxes of the traffic threads */
	unsigned nthreads;
	const struct wal_io *io; /* of the log; NULL: system calls */
};

struct control;

struct control *control_new(
    TALLOC_CTX *, const struct control_conf *, struct err *);
/* Runs until a graceful shutdown has finished; tells the traffic threads to
 * stop before it returns. */
enum status control_run(struct control *, struct err *);
/* Registers the counter sets of the control thread. */
void control_register_counters(struct control *, struct node_counters *);

__END_DECLS

#endif
