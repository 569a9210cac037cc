#include "node/ticker.h"

#include <stdlib.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#include "base/clk.h"

struct ticker {
	int fd;
	struct tevent_fd *fde;
	void (*tick)(void *arg);
	void *arg;
};

/* Calls tick once, however many periods have passed. */
static void
on_fd(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct ticker *t = arg;
	uint64_t times;

	if (read(t->fd, &times, sizeof(times)) == (ssize_t)sizeof(times))
		t->tick(t->arg);
}

/* Closes the timer. */
static int
ticker_destroy(struct ticker *t)
{
	TALLOC_FREE(t->fde);
	close(t->fd);
	return 0;
}

/* Calls tick every period_ms until freed; returns NULL and sets e if the system
 * gives no timer. */
struct ticker *
ticker_new(TALLOC_CTX *ctx, struct tevent_context *ev, int64_t period_ms,
    void (*tick)(void *arg), void *arg, struct err *e)
{
	struct ticker *t = talloc_zero(ctx, struct ticker);
	struct itimerspec its;

	if (t == NULL)
		abort();
	t->fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	if (t->fd < 0) {
		err_errno(e, STATUS_IO, "timerfd");
		talloc_free(t);
		return NULL;
	}
	talloc_set_destructor(t, ticker_destroy);
	its.it_interval = clk_from_ns(period_ms * CLK_NS_PER_MS);
	its.it_value = its.it_interval;
	if (timerfd_settime(t->fd, 0, &its, NULL) < 0) {
		err_errno(e, STATUS_IO, "timerfd");
		talloc_free(t);
		return NULL;
	}
	t->tick = tick;
	t->arg = arg;
	t->fde = tevent_add_fd(ev, t, t->fd, TEVENT_FD_READ, on_fd, t);
	return t;
}
