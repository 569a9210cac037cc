/*
 * Buffer of what arrives on a connection between instances. Small frames have a
 * buffer that is reserved with the connection. The whole of a larger frame is
 * reserved once its header has arrived; until that fits, nothing more is read
 * from the connection. No sockets.
 */
#ifndef NODE_RECVBUF_H
#define NODE_RECVBUF_H

#include "node/frame.h"
#include "node/memacct.h"

__BEGIN_DECLS

/* A HELLO, and nearly every message of ordinary traffic, is smaller. */
#define RECVBUF_SMALL_BYTES 4096

/* Part of MEMACCT_RECEIVE that only frames of replicas use: slow frames of
 * entry instances must not hold up the consensus protocol. */
#define RECVBUF_REPLICA_DIVISOR 4

enum recvbuf_room {
	RECVBUF_ROOM,
	RECVBUF_NO_ROOM, /* no memory for the frame at present */
	RECVBUF_TOO_LONG /* larger than the connection is allowed */
};

struct recvbuf {
	uint8_t *bytes; /* NULL, or of capacity */
	size_t len, capacity;
	struct memacct *account;
	struct memacct_conn small; /* in MEMACCT_PEERS */
	struct memacct_conn large; /* in MEMACCT_RECEIVE */
};

/* Sets up an empty buffer; the account may be NULL, addr is its key for the
 * other side. Returns false, and reserves nothing, if the small buffer doesn't
 * fit, unless is_forced. */
bool recvbuf_init(
    struct recvbuf *, struct memacct *, uint64_t addr, bool is_forced);
void recvbuf_destroy(struct recvbuf *);
/* Returns the size of the large frame at the start of the buffer, 0 if there is
 * none or the buffer has room for it. */
size_t recvbuf_missing(const struct recvbuf *);
/* Makes room for at least one more byte. allows_large tells whether a frame may
 * exceed the small buffer, may_reserve whether memory may be reserved now,
 * is_replica whether it may be from the part for replicas. */
enum recvbuf_room recvbuf_make_room(
    struct recvbuf *, bool allows_large, bool may_reserve, bool is_replica);
/* Drops the first n bytes; true if that released the memory of a large frame.
 */
bool recvbuf_consume(struct recvbuf *, size_t n);

__END_DECLS

#endif
