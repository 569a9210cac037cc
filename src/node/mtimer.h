/*
 * One-shot timers on the monotonic clock. The event loop's own timers use the
 * time of day: when that is set back, they fire late by as much.
 */
#ifndef NODE_MTIMER_H
#define NODE_MTIMER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <tevent.h>
#include <time.h>

__BEGIN_DECLS

struct mtimer_queue;

/* One timer; the memory is the caller's. */
struct mtimer {
	struct mtimer_queue *q;
	GSequenceIter *pos; /* in the queue; NULL: not set */
	struct timespec at; /* monotonic */
	void (*fire)(void *arg);
	void *arg;
};

/* Creates the timers of an event loop. They must be cleared before it is
 * freed. */
struct mtimer_queue *mtimer_queue_new(TALLOC_CTX *, struct tevent_context *);

/* Prepares a timer that is not set. */
void mtimer_init(
    struct mtimer *, struct mtimer_queue *, void (*fire)(void *), void *arg);
/* Calls fire once, ns nanoseconds from now; a timer that is set is moved. */
void mtimer_set(struct mtimer *, int64_t ns);
void mtimer_set_ms(struct mtimer *, int64_t ms);
void mtimer_clear(struct mtimer *);
bool mtimer_is_set(const struct mtimer *);

__END_DECLS

#endif
