/*
 * Account of the memory that connections of a process hold: for each use, peer
 * address and connection. Bytes are reserved before they are read. Pure.
 *
 * The uses have fixed parts of the memory, so that clients that fill theirs
 * can't take what complete requests, other instances or the readiness answer
 * need.
 */
#ifndef NODE_MEMACCT_H
#define NODE_MEMACCT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/cdefs.h>
#include <talloc.h>

__BEGIN_DECLS

enum memacct_use {
	MEMACCT_REQUESTS,  /* connections and bodies of clients, or workers */
	MEMACCT_WORK,	   /* complete requests: decoded, waiting, answered */
	MEMACCT_READINESS, /* connections that check readiness */
	MEMACCT_METRICS,   /* connections that read counters */
	MEMACCT_PEERS,	   /* small buffers of connections between instances */
	MEMACCT_CALLS,	   /* calls of other instances that the leader queues */
	MEMACCT_RECEIVE,   /* larger frames that instances are sending */
	MEMACCT_SEND,	   /* queues of frames to be sent to instances */
	MEMACCT_USES
};

enum memacct_kind {
	MEMACCT_ENTRY,	/* an entry instance */
	MEMACCT_REPLICA /* a replica: most of its memory holds its state */
};

/* Limit of an instance without the setting: all connections that the limits of
 * their number and of a body allow, together. */
#define MEMACCT_DEFAULT_MB INT64_C(16384)
/* Memory of an entry instance without connections: measured 9 MB, and 7 MB for
 * messages that wait to be sent to the leader. */
#define MEMACCT_ENTRY_BASE_MB 16
#define MEMACCT_ENTRY_SEND_MB 7
/* An eighth of the memory is left to the allocator: blocks are rounded up, and
 * free ones lie between those in use. */
#define MEMACCT_SLACK_DIVISOR 8
/* Shedding begins at this many eighths of a limit and goes on to the second
 * number, so that a request that arrives meanwhile finds room. */
#define MEMACCT_HIGH_EIGHTHS 7
#define MEMACCT_LOW_EIGHTHS  6

/* MEMACCT_WORK, MEMACCT_CALLS, MEMACCT_RECEIVE and MEMACCT_SEND admit any size
 * while at most this part of them is in use. */
#define MEMACCT_LITTLE_DIVISOR 4

struct memacct;
struct memacct_addr;

/* What one connection holds; the memory is the owner's. */
struct memacct_conn {
	enum memacct_use use;
	struct memacct_addr *addr; /* NULL: not open */
	size_t bytes;
	size_t work; /* in MEMACCT_WORK, or in a use of its own */
};

/* Limits of the uses in bytes. */
struct memacct_limits {
	size_t max[MEMACCT_USES];
};

/* Divides the memory of a process in MB; 0: MEMACCT_DEFAULT_MB. */
struct memacct_limits memacct_split(enum memacct_kind, int64_t memory_mb);
/* Creates an empty account. */
struct memacct *memacct_new(TALLOC_CTX *, const struct memacct_limits *);
/* Tells whether a use has room for n more bytes. */
bool memacct_fits(const struct memacct *, enum memacct_use, size_t n);
/* Reserves n bytes for a new connection of a peer address; false, and nothing
 * reserved, if they don't fit. */
bool memacct_open(struct memacct *, struct memacct_conn *, enum memacct_use,
    uint64_t addr, size_t n);
/* The same, also over the limit. */
void memacct_open_any(struct memacct *, struct memacct_conn *, enum memacct_use,
    uint64_t addr, size_t n);
/* Reserves n further bytes; false, and nothing reserved, if they don't fit. */
bool memacct_grow(struct memacct *, struct memacct_conn *, size_t n);
/* Reserves n further bytes. Any size is admitted while at most
 * 1 / MEMACCT_LITTLE_DIVISOR of the part is in use. */
bool memacct_grow_any(struct memacct *, struct memacct_conn *, size_t n);
/* Reserves n further bytes, also over the limit. */
void memacct_hold(struct memacct *, struct memacct_conn *, size_t n);
/* Gives n bytes back. */
void memacct_shrink(struct memacct *, struct memacct_conn *, size_t n);
/* Reserves n bytes for the handling of a connection's request. Any size is
 * admitted while at most 1 / MEMACCT_LITTLE_DIVISOR of the part is in use. */
bool memacct_begin_work(struct memacct *, struct memacct_conn *, size_t n);
/* Reserves n bytes for an answer, also over the limit. */
void memacct_hold_answer(struct memacct *, struct memacct_conn *, size_t n);
void memacct_end_work(struct memacct *, struct memacct_conn *);
/* Gives back all that a connection holds. */
void memacct_close(struct memacct *, struct memacct_conn *);
/* Returns the bytes by which a use, with n more, is over the level at which
 * shedding begins: how many to free. 0: not short. */
size_t memacct_excess(const struct memacct *, enum memacct_use, size_t n);
/* Returns the bytes held by all connections of a connection's address. */
size_t memacct_addr_bytes(const struct memacct_conn *);
size_t memacct_used(const struct memacct *, enum memacct_use);
size_t memacct_max(const struct memacct *, enum memacct_use);
/* Return the bytes reserved for all uses, now and at most. */
size_t memacct_total(const struct memacct *);
size_t memacct_peak(const struct memacct *);

__END_DECLS

#endif
