/*
 * Clocks and times. Points in time are struct timespec of a monotonic clock;
 * durations are int64_t with the unit in the name. Decision modules never
 * read a clock: they get the time with each event.
 */
#ifndef BASE_CLK_H
#define BASE_CLK_H

#include <sys/cdefs.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

__BEGIN_DECLS

#define CLK_NS_PER_MS 1000000LL
#define CLK_NS_PER_S  1000000000LL

/* A source of time; tests pass one that they advance themselves. */
struct clk {
	struct timespec (*now)(void *arg);  /* monotonic */
	struct timespec (*wall)(void *arg); /* since 1970, for stored times */
	void *arg;
};

/* Returns the clocks of the operating system. */
struct clk clk_system(void);
struct timespec clk_now(const struct clk *);
struct timespec clk_wall(const struct clk *);

int64_t clk_ns(struct timespec);
struct timespec clk_from_ns(int64_t ns);
struct timespec clk_add_ns(struct timespec, int64_t ns);
struct timespec clk_add_ms(struct timespec, int64_t ms);
/* Return a - b. */
int64_t clk_diff_ns(struct timespec a, struct timespec b);
int64_t clk_diff_ms(struct timespec a, struct timespec b);
bool clk_before(struct timespec a, struct timespec b);

__END_DECLS

#endif
