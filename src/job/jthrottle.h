/*
 * Throttles the best-effort tasks of one worker so that the serving tasks
 * beside them keep their latency targets. Pure.
 *
 * The load of serving tasks changes within seconds. Near its peak any
 * best-effort task multiplies their tail latency by ten, while at other times
 * the same task has no noticeable effect. A serving task over its target loses
 * four times what it earns while a best-effort task is the cause; a best-effort
 * task that is stopped for a peak of two or three seconds mostly still meets
 * its objective. So best-effort tasks are stopped when a serving task has
 * missed its target for some time, and run at full speed again once it is
 * below.
 */
#ifndef JOB_JTHROTTLE_H
#define JOB_JTHROTTLE_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/cdefs.h>

__BEGIN_DECLS

#define JTHROTTLE_FULL_PERCENT 100 /* not throttled */
/* Share of the target below which a tail latency counts as within it, as the
 * figure is imprecise. */
#define JTHROTTLE_UNDER_TARGET 0.88
/* Effect (see jinterf.h) from which a best-effort image counts as heavy for a
 * serving one: a tenth of a worker's processors adds 0.05 to the utilisation.
 * Effects seen are below 0.5 or above 0.7. */
#define JTHROTTLE_HEAVY_EFFECT 0.5
/*
 * After a serving task has missed its target for this long, heavy images are
 * stopped, and a little later all, until it is below again. Stopping earlier
 * costs best-effort tasks more than it gives the serving ones. Users are
 * promised at most 4 s, and an order takes 0.6 s to show in the figures.
 */
#define JTHROTTLE_HEAVY_MS 1900
#define JTHROTTLE_ALL_MS   2600

/*
 * A task that uses no processor this long after its last order is told again
 * not to be throttled: an order without an answer may be carried out late. A
 * figure covers half a second and comes with the next poll.
 */
#define JTHROTTLE_REPEAT_MS 2000

struct jthrottle {
	bool stop_heavy, stop_all;
	/* monotonic time when all were last below their target */
	int64_t last_under_ms;
	double worst_ratio; /* latest worst tail latency over its target */
};

void jthrottle_init(struct jthrottle *, int64_t now_ms);
/* Updates the state with the worst tail latency over its target, 0 if no
 * serving task runs there. */
void jthrottle_update(struct jthrottle *, int64_t now_ms, double worst);
/* Returns the share of its processors that a best-effort task may use, in
 * percent. heavy: its image interferes strongly with a serving task there. */
uint32_t jthrottle_percent(const struct jthrottle *, bool heavy);

__END_DECLS

#endif
