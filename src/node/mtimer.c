#include "node/mtimer.h"

#include <stdlib.h>
#include <string.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "base/clk.h"

struct mtimer_queue {
	int fd;
	struct tevent_fd *fde;
	GSequence *timers; /* sorted by time */
	bool armed;
	struct timespec armed_at; /* when the descriptor becomes readable */
};

/* Orders timers by time. */
static gint
compare_timers(gconstpointer pa, gconstpointer pb, gpointer user)
{
	const struct mtimer *a = pa, *b = pb;

	if (clk_before(a->at, b->at))
		return -1;
	return clk_before(b->at, a->at) ? 1 : 0;
}

/* Returns the timer that is due first, NULL if none is set. */
static struct mtimer *
first_timer(const struct mtimer_queue *q)
{
	GSequenceIter *it = g_sequence_get_begin_iter(q->timers);

	return g_sequence_iter_is_end(it) ? NULL : g_sequence_get(it);
}

/* Sets the descriptor for the first timer, unless it becomes readable by then
 * anyway. */
static void
arm(struct mtimer_queue *q)
{
	const struct mtimer *first = first_timer(q);
	struct clk clk = clk_system();
	struct itimerspec its;
	int64_t ns;

	if (first == NULL || (q->armed && !clk_before(first->at, q->armed_at)))
		return;
	memset(&its, 0, sizeof(its));
	ns = clk_diff_ns(first->at, clk_now(&clk));
	its.it_value = clk_from_ns(ns > 0 ? ns : 1); /* 0 would clear it */
	if (timerfd_settime(q->fd, 0, &its, NULL) < 0)
		abort();
	q->armed = true;
	q->armed_at = first->at;
}

/* Fires the timers that are due. */
static void
on_fd(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct mtimer_queue *q = arg;
	struct clk clk = clk_system();
	struct timespec now;
	struct mtimer *t;
	uint64_t times;

	if (read(q->fd, &times, sizeof(times)) != (ssize_t)sizeof(times))
		return;
	q->armed = false;
	now = clk_now(&clk);
	while ((t = first_timer(q)) != NULL && !clk_before(now, t->at)) {
		mtimer_clear(t);
		t->fire(t->arg);
	}
	arm(q);
}

/* Closes the descriptor. */
static int
queue_destroy(struct mtimer_queue *q)
{
	TALLOC_FREE(q->fde);
	close(q->fd);
	g_sequence_free(q->timers);
	return 0;
}

/* Creates the timers of an event loop; ends the process if the system gives no
 * timer. */
struct mtimer_queue *
mtimer_queue_new(TALLOC_CTX *ctx, struct tevent_context *ev)
{
	struct mtimer_queue *q = talloc_zero(ctx, struct mtimer_queue);

	if (q == NULL)
		abort();
	/* The clock of clk_system. */
	q->fd = timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
	if (q->fd < 0)
		abort();
	q->timers = g_sequence_new(NULL);
	q->fde = tevent_add_fd(ev, q, q->fd, TEVENT_FD_READ, on_fd, q);
	if (q->fde == NULL)
		abort();
	talloc_set_destructor(q, queue_destroy);
	return q;
}

/* Prepares a timer that is not set. */
void
mtimer_init(
    struct mtimer *t, struct mtimer_queue *q, void (*fire)(void *), void *arg)
{
	memset(t, 0, sizeof(*t));
	t->q = q;
	t->fire = fire;
	t->arg = arg;
}

/* Sets a timer to ns nanoseconds from now; a negative value counts as 0. */
void
mtimer_set(struct mtimer *t, int64_t ns)
{
	struct clk clk = clk_system();

	mtimer_clear(t);
	t->at = clk_from_ns(clk_ns(clk_now(&clk)) + (ns > 0 ? ns : 0));
	t->pos =
	    g_sequence_insert_sorted(t->q->timers, t, compare_timers, NULL);
	arm(t->q);
}

/* Sets a timer to ms milliseconds from now. */
void
mtimer_set_ms(struct mtimer *t, int64_t ms)
{
	mtimer_set(t, ms * CLK_NS_PER_MS);
}

/* Clears a timer; one that isn't set stays so. */
void
mtimer_clear(struct mtimer *t)
{
	if (t->pos == NULL)
		return;
	g_sequence_remove(t->pos);
	t->pos = NULL;
}

/* Tells whether a timer is set and has not fired. */
bool
mtimer_is_set(const struct mtimer *t)
{
	return t->pos != NULL;
}
