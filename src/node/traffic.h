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

#define TRAFFIC_STATS_MS   200 /* between figures for the heartbeat */
#define TRAFFIC_REQUESTS   4096
#define TRAFFIC_RECORD_MAX 16384 /* larger answers are not kept by key */
#define TRAFFIC_TIMEOUT_MS 30000 /* longest a request may take */

/* What threads share besides their mailboxes. */
struct node_shared {
	struct mbox control;
	struct node_counters counters;
	bool ready;    /* atomic: takes new work */
	bool draining; /* atomic: a planned stop is under way */
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
struct mbox *traffic_mbox(struct traffic *);
/* Runs the loop until MBOX_STOP; the body of the thread. */
void *traffic_run(void *arg);
void traffic_counters(struct traffic *, struct node_counters *);

__END_DECLS

#endif
