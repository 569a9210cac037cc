/* Statistics of the threads, for the heartbeat and for /v1/counters. */
#ifndef NODE_TSTATS_H
#define NODE_TSTATS_H

#include "base/ctr.h"
#include "node/mbox.h"

__BEGIN_DECLS

#define TRAFFIC_THREADS_MAX 16

/* Counter sets of all threads; all are added before any thread starts. */
struct node_counters {
	struct {
		const char *module;
		const struct ctr_set *set;
	} v[4 + 2 * TRAFFIC_THREADS_MAX];
	size_t n;
};

struct eng;

/* Registers a set; those that find no room are ignored. */
void node_counters_add(
    struct node_counters *, const char *module, const struct ctr_set *);
/* Formats {"module": {"counter": number}}, summed over threads. */
struct str tstats_counters_json(TALLOC_CTX *, const struct node_counters *);
/* Creates an MBOX_STATS with the engine's statistics as a packed Beat. */
struct mbox_msg *tstats_message(struct eng *, unsigned thread);

__END_DECLS

#endif
