/*
 * Calls to workers that other instances relay for the leader: which instance
 * calls which worker, and which calls are too old to be made. Pure.
 *
 * A call costs about 0.1 ms of a processor, most of it for HTTP, and each of
 * hundreds of workers gets several calls a second, so that 400 workers use up a
 * leader with a third of a core. The leader keeps the decisions and the log;
 * connections, HTTP and JSON are spread over the other instances.
 */
#ifndef JOB_JRELAY_H
#define JOB_JRELAY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/cdefs.h>

__BEGIN_DECLS

/*
 * A batch of calls that took this much longer than the fastest one of its
 * leader is dropped: the leader has given up on these calls by now, and they
 * may be meant for an earlier incarnation of a worker. Above a pause of the
 * network or the scheduler, below JLEAD_CALL_TIMEOUT_MS and the margin of the
 * leader's lease.
 */
#define JRELAY_STALE_MS 700

/* Size of a failure domain's name; longer ones are truncated and compared by
 * what is left. */
#define JRELAY_DOMAIN_MAX 64

struct jrelay_peer {
	uint32_t instance;
	char domain[JRELAY_DOMAIN_MAX];
};

/* Least delay of the batches of one leader, including the difference of the
 * clocks. */
struct jrelay_delay {
	uint32_t leader;
	uint64_t token;
	int64_t min_delay_ms;
};

/* Returns the instance that calls a worker, 0 if there is none. Prefers those
 * in the worker's failure domain. attempt is the number of instances to skip
 * after failed calls. Most workers keep their instance when others come and
 * go. */
uint32_t jrelay_choose(const struct jrelay_peer *, size_t n, const char *domain,
    uint64_t worker, uint32_t attempt);
/* Tells whether a batch may still be carried out, from the time on the leader's
 * clock when it was sent and the time on this one when it arrived. */
bool jrelay_is_fresh(struct jrelay_delay *, uint32_t leader, uint64_t token,
    int64_t sent_ms, int64_t now_ms);

__END_DECLS

#endif
