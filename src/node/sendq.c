#include "node/sendq.h"

#include <stdlib.h>

/* Returns the memory that a frame takes. */
static size_t
frame_cost(const struct sendq_frame *f)
{
	return sizeof(*f) + f->len;
}

/* Sets up an empty queue. */
void
sendq_init(struct sendq *q, struct memacct *account, uint64_t addr)
{
	*q = (struct sendq){ .account = account };
	q->tail = &q->head;
	if (account != NULL)
		memacct_open_any(account, &q->held, MEMACCT_SEND, addr, 0);
}

/* Takes the first frame off the queue. */
static void
pop(struct sendq *q)
{
	struct sendq_frame *f = q->head;
	size_t cost = frame_cost(f);

	q->head = f->next;
	if (q->head == NULL)
		q->tail = &q->head;
	q->head_written = 0;
	q->bytes -= cost;
	if (q->account != NULL)
		memacct_shrink(q->account, &q->held, cost);
	free(f);
}

/* Drops all frames. */
void
sendq_clear(struct sendq *q)
{
	while (q->head != NULL)
		pop(q);
}

/* Drops all frames and ends the queue's part in the account. */
void
sendq_destroy(struct sendq *q)
{
	sendq_clear(q);
	if (q->account != NULL)
		memacct_close(q->account, &q->held);
}

/*
 * Tells whether a message may be queued. A queue may hold as much as the others
 * leave free: with n instances that don't read, each of their queues stops at
 * 1 / (n + 1) of the part, and a queue that is read has as much room. One
 * message may be larger than the part of a small process, so any size is
 * admitted while little is in use. A consensus message is always admitted to an
 * empty queue, as replicas are few and can't go on without it.
 */
bool
sendq_admits(
    const struct memacct *m, size_t queued, size_t len, bool is_consensus)
{
	size_t n = sizeof(struct sendq_frame) + FRAME_HEADER_BYTES + len;
	size_t max, used, room;

	if (queued + n > SENDQ_MAX_BYTES)
		return false;
	if (m == NULL)
		return true;
	max = memacct_max(m, MEMACCT_SEND);
	used = memacct_used(m, MEMACCT_SEND);
	if (used <= max / MEMACCT_LITTLE_DIVISOR)
		return true;
	if (is_consensus)
		return queued == 0 || memacct_fits(m, MEMACCT_SEND, n);
	max -= max / SENDQ_CONSENSUS_DIVISOR;
	room = used < max ? max - used : 0;
	return queued + n <= room;
}

/* Allocates a frame for a payload of len bytes. */
struct sendq_frame *
sendq_frame_new(size_t len)
{
	struct sendq_frame *f = malloc(sizeof(*f) + FRAME_HEADER_BYTES + len);

	if (f == NULL)
		abort();
	f->next = NULL;
	f->len = FRAME_HEADER_BYTES + len;
	return f;
}

/* Returns where the payload of a frame begins. */
uint8_t *
sendq_frame_payload(struct sendq_frame *f)
{
	return f->bytes + FRAME_HEADER_BYTES;
}

/* Appends a frame that isn't in a queue, and counts it. */
void
sendq_push(struct sendq *q, enum frame_type type, struct sendq_frame *f)
{
	frame_write_header(f->bytes, type, sendq_frame_payload(f),
	    f->len - FRAME_HEADER_BYTES);
	*q->tail = f;
	q->tail = &f->next;
	q->bytes += frame_cost(f);
	if (q->account != NULL)
		memacct_hold(q->account, &q->held, frame_cost(f));
}

/* Moves all frames of another queue to the end of this one. */
void
sendq_append(struct sendq *q, struct sendq *from)
{
	if (from->head == NULL)
		return;
	*q->tail = from->head;
	q->tail = from->tail;
	q->bytes += from->bytes;
	if (q->account != NULL) {
		memacct_shrink(from->account, &from->held, from->bytes);
		memacct_hold(q->account, &q->held, from->bytes);
	}
	from->head = NULL;
	from->tail = &from->head;
	from->bytes = 0;
}

/* Records that n bytes of the first frame were written. */
void
sendq_advance(struct sendq *q, size_t n)
{
	q->head_written += n;
	if (q->head_written == q->head->len)
		pop(q);
}
