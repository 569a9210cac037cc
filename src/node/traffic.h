/*
 * One traffic thread: inbound and outbound HTTP around the request engine,
 * and the HTTP interface for operators and workers.
 */
#ifndef NODE_TRAFFIC_H
#define NODE_TRAFFIC_H

#include "base/ctr.h"
#include "base/err.h"
#include "node/mbox.h"
#include "node/tstats.h"

__BEGIN_DECLS

#define TRAFFIC_STATS_INTERVAL_MS 200 /* of reports for the heartbeat */
#define TRAFFIC_REQUESTS_MAX	  4096
/* Longer bodies of answers are not recorded with an idempotency key. */
#define TRAFFIC_RECORD_MAX_BYTES 16384
/* Of requests whose class is unknown or has no timeout. */
#define TRAFFIC_DEFAULT_TIMEOUT_MS 30000

/* What all threads share besides their mailboxes. */
struct node_shared {
	struct mbox control;
	struct node_counters counters;
	bool is_ready;	  /* atomic: accepts new work */
	bool is_draining; /* atomic: a graceful shutdown is under way */
};

struct traffic_conf {
	unsigned thread; /* from 0 */
	uint32_t instance;
	uint64_t incarnation;
	uint64_t seed;
	int listen_fd; /* closed by traffic */
	size_t body_max;
	unsigned connections_max;
	struct node_shared *shared;
};

struct traffic;

struct traffic *traffic_new(
    TALLOC_CTX *, const struct traffic_conf *, struct err *);
/* Returns the mailbox of the thread. */
struct mbox *traffic_mbox(struct traffic *);
/* Thread function: runs the event loop until MBOX_STOP. */
void *traffic_run(void *arg);
/* Registers the counter sets of the thread. */
void traffic_register_counters(struct traffic *, struct node_counters *);

__END_DECLS

#endif
