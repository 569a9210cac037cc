#include "base/clk.h"

/* Reads the monotonic clock. */
static struct timespec
read_boottime(void *arg)
{
	struct timespec ts;

	(void)arg;
	/* CLOCK_BOOTTIME also counts while the machine is suspended, so that
	 * a lease that expired meanwhile isn't taken for valid. */
	clock_gettime(CLOCK_BOOTTIME, &ts);
	return ts;
}

/* Reads the calendar clock. */
static struct timespec
read_realtime(void *arg)
{
	struct timespec ts;

	(void)arg;
	clock_gettime(CLOCK_REALTIME, &ts);
	return ts;
}

/* Returns the clocks of the operating system. */
struct clk
clk_system(void)
{
	struct clk c = { read_boottime, read_realtime, NULL };

	return c;
}

/* Returns the current monotonic time of the clock. */
struct timespec
clk_now(const struct clk *c)
{
	return c->now(c->arg);
}

/* Returns the current calendar time of the clock. */
struct timespec
clk_wall(const struct clk *c)
{
	return c->wall(c->arg);
}

/* Converts a point in time to nanoseconds. */
int64_t
clk_ns(struct timespec ts)
{
	return (int64_t)ts.tv_sec * CLK_NS_PER_S + ts.tv_nsec;
}

/* Converts nanoseconds, which may be negative, to a point in time. */
struct timespec
clk_from_ns(int64_t ns)
{
	struct timespec ts;

	ts.tv_sec = ns / CLK_NS_PER_S;
	ts.tv_nsec = ns % CLK_NS_PER_S;
	if (ts.tv_nsec < 0) {
		ts.tv_sec--;
		ts.tv_nsec += CLK_NS_PER_S;
	}
	return ts;
}

/* Returns the point in time ns nanoseconds after ts. */
struct timespec
clk_add_ns(struct timespec ts, int64_t ns)
{
	return clk_from_ns(clk_ns(ts) + ns);
}

/* Returns the point in time ms milliseconds after ts. */
struct timespec
clk_add_ms(struct timespec ts, int64_t ms)
{
	return clk_add_ns(ts, ms * CLK_NS_PER_MS);
}

/* Returns a - b in nanoseconds. */
int64_t
clk_diff_ns(struct timespec a, struct timespec b)
{
	return clk_ns(a) - clk_ns(b);
}

/* Returns a - b in milliseconds, rounded towards zero. */
int64_t
clk_diff_ms(struct timespec a, struct timespec b)
{
	return clk_diff_ns(a, b) / CLK_NS_PER_MS;
}

/* Returns true if a is before b. */
bool
clk_before(struct timespec a, struct timespec b)
{
	return clk_ns(a) < clk_ns(b);
}
