/*
 * An entry instance: passes clients' requests about jobs to the leader and
 * its answers back. Stores nothing.
 */
#ifndef NODE_GATE_H
#define NODE_GATE_H

#include "node/inst.h"

__BEGIN_DECLS

/* Timeout of a request that names none. */
#define GATE_DEFAULT_TIMEOUT_MS 3000
/* The answer is sent this long before the client's timeout, as it still has
 * two hops to go. */
#define GATE_ANSWER_MARGIN_MS 60
/* Largest request body; a configuration may set less. */
#define GATE_BODY_MAX (256 * 1024)
/* Copies of a body between its decoding and the answer: the call and its
 * message. */
#define GATE_BODY_COPIES 2
/* Retry-After while there is no leader: an election takes 1 to 2 s. */
#define GATE_RETRY_AFTER_S 1

/* Runs until SIGTERM and a graceful shutdown. Returns the exit status: 0, or
 * 1 with an error. */
int gate_run(const struct inst *, struct err *);

__END_DECLS

#endif
