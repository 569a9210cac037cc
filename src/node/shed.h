/*
 * Decides which connections are closed: those that make too little progress,
 * and when memory or descriptors run short, those that hold most for least
 * progress. Pure.
 */
#ifndef NODE_SHED_H
#define NODE_SHED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/cdefs.h>

__BEGIN_DECLS

/* Between requests, without any byte. */
#define SHED_IDLE_MS 60000
/* From the first byte of a request to the end of its headers, which are 16 KB
 * at most: 1.6 KB per second. */
#define SHED_HEADERS_MS 10000
/* A body or an answer has this long and the time it takes at the minimum rate:
 * a link of 2 Mbit/s that 16 clients share still has 15 KB/s for each. */
#define SHED_GRACE_MS	       10000
#define SHED_MIN_BYTES_PER_SEC 8192
/* An answer of which nothing was taken for this long. */
#define SHED_UNREAD_MS 10000
/* In a shortage, a connection counts as late by the time that it has had beyond
 * what its bytes take at this rate. */
#define SHED_FAIR_BYTES_PER_SEC (64 * 1024)

enum shed_phase {
	SHED_IDLE,    /* between requests */
	SHED_HEADERS, /* a request has begun */
	SHED_BODY,
	SHED_HELD,   /* with the handler: accepted, or passed on */
	SHED_ANSWER, /* an answer is being sent */
	SHED_CLOSING
};

enum shed_reason {
	SHED_KEEP,
	SHED_HEADERS_SLOW,
	SHED_BODY_SLOW,
	SHED_ANSWER_SLOW, /* the client reads too slowly, or not at all */
	SHED_IDLE_LONG,
	SHED_SHORT, /* memory or descriptors */
	SHED_REASONS
};

/* A connection as the decision sees it. */
struct shed_conn {
	enum shed_phase phase;
	bool is_read;	  /* the request changes nothing */
	int64_t phase_ms; /* since the phase began */
	/* while idle or answering: sent bytes wait, and none was taken for so
	 * long */
	int64_t unread_ms;
	size_t bytes;	   /* that closing it would free */
	size_t progress;   /* bytes received of the request */
	size_t answer;	   /* bytes of the answer */
	size_t addr_bytes; /* held by all connections of its address */
};

/* Tells whether a connection is too slow to be kept, also without a shortage.
 */
enum shed_reason shed_check(const struct shed_conn *);
/* Chooses connections until they free excess bytes and there are at least
 * nconns of them; writes their indexes and returns how many. Those that are
 * with the handler, are being told the outcome of a change, or are closing, are
 * never chosen. */
size_t shed_choose(const struct shed_conn *, size_t n, size_t excess,
    size_t nconns, size_t *chosen);

__END_DECLS

#endif
