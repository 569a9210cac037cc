/*
 * Calls to workers that other instances make for the leader: which instance
 * calls which worker, and which calls are too old to be made. Pure.
 *
 * The load it answers: hundreds of workers, each with several calls a second.
 * A call costs about 0.1 ms of a processor, most of it HTTP, so that one leader
 * with a third of a core is used up by 400 workers. Decisions and records stay
 * with it; connections, HTTP and JSON are spread over the others.
 */
#ifndef JOB_JVIA_H
#define JOB_JVIA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/cdefs.h>

__BEGIN_DECLS

/* A batch that took so much longer on its way than the fastest one of its
 * leader is not carried out: its sender has given up on its calls by then, and
 * they may be meant for a former life of a worker. Above a pause of the
 * network or of the scheduler, below JLEAD_CALL_MS and the leader's margin. */
#define JVIA_STALE_MS 700

/* Bytes of a failure domain's name; a longer one is cut, and such domains
 * count as one. */
#define JVIA_DOMAIN_MAX 64

struct jvia_peer {
	uint32_t instance;
	char domain[JVIA_DOMAIN_MAX];
};

/* The delay of the batches of one leader, clock difference included. */
struct jvia_age {
	uint32_t from;
	uint64_t token;
	int64_t least_ms;
};

/* The instance that calls a worker, 0 if there is none: one in the worker's
 * domain if any. detour counts the times that another one was to be tried.
 * Most workers keep theirs when instances come and go. */
uint32_t jvia_pick(const struct jvia_peer *, size_t n, const char *domain,
    uint64_t worker, uint32_t detour);
/* Whether a batch that was sent at a time of its leader's clock and came at
 * another of this one's may still be carried out. */
bool jvia_fresh(struct jvia_age *, uint32_t from, uint64_t token,
    int64_t sent_ms, int64_t now_ms);

__END_DECLS

#endif
