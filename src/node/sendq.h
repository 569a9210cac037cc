/*
 * Queues of frames that wait to be written to other instances, and the rule by
 * which they share the memory that is set aside for them. No sockets.
 */
#ifndef NODE_SENDQ_H
#define NODE_SENDQ_H

#include "node/frame.h"
#include "node/memacct.h"

__BEGIN_DECLS

/* Limit of what waits for one instance, with or without an account. */
#define SENDQ_MAX_BYTES (8 * 1024 * 1024)
/* Part of MEMACCT_SEND that only messages of the consensus protocol use: a
 * leader whose other messages aren't read must still reach its followers. */
#define SENDQ_CONSENSUS_DIVISOR 4

/* A frame with its header, of which the payload is filled in by the caller. */
struct sendq_frame {
	struct sendq_frame *next;
	size_t len;
	uint8_t bytes[];
};

struct sendq {
	struct sendq_frame *head, **tail;
	size_t head_written; /* bytes of the first frame */
	size_t bytes;	     /* of all frames, with their overhead */
	struct memacct *account;
	struct memacct_conn held; /* unused without an account */
};

/* Sets up an empty queue; addr is the account's key for the instance. The
 * account may be NULL. */
void sendq_init(struct sendq *, struct memacct *, uint64_t addr);
/* Drops all frames. */
void sendq_clear(struct sendq *);
/* Drops all frames and ends the queue's part in the account. */
void sendq_destroy(struct sendq *);
/* Tells whether a message of len bytes may be queued for an instance for which
 * queued bytes wait. */
bool sendq_admits(
    const struct memacct *, size_t queued, size_t len, bool is_consensus);
/* Allocates a frame for a payload of len bytes. */
struct sendq_frame *sendq_frame_new(size_t len);
/* Returns where the payload of a frame begins. */
uint8_t *sendq_frame_payload(struct sendq_frame *);
/* Writes the header for the payload and appends the frame, which the queue then
 * owns. */
void sendq_push(struct sendq *, enum frame_type, struct sendq_frame *);
/* Moves all frames of another queue, none of which has been written in part, to
 * the end. */
void sendq_append(struct sendq *, struct sendq *from);
/* Records that n bytes of the first frame were written. */
void sendq_advance(struct sendq *, size_t n);

__END_DECLS

#endif
