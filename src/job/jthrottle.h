/*
 * How fast the filling tasks of one worker may work, so that the serving
 * tasks beside them keep their targets. Pure.
 *
 * The load it answers: the load of serving tasks swings within seconds, and
 * near its peak anything that fills beside them multiplies their tails by ten,
 * while at other times the same tasks do no harm. A serving task over its
 * target loses four times what it earns while what fills beside it is the
 * cause; a filling task that is held back for a peak of two or three seconds
 * mostly still meets its objective. So the pace is cut when a tail reaches its
 * target and comes back by steps once it is short.
 */
#ifndef JOB_JPACE_H
#define JOB_JPACE_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/cdefs.h>

__BEGIN_DECLS

#define JPACE_FULL 100 /* percent */
/* Tail over target that counts as under it: the figure is a rough one. */
#define JPACE_UNDER 0.88
/* Press from which a filling image counts as heavy for a serving one: a tenth
 * of a worker's processors adds 0.05 to the use. The presses seen are below
 * 0.5 or above 0.7. */
#define JPACE_HEAVY_PRESS 0.5
/* A serving task whose tail has been over its target for so long holds up
 * the heavy images, and a little later all, until it is under it again. Less
 * costs the filling tasks more than it gives the serving ones; 4 s is what is
 * promised at most, and an order shows in the figure after 0.6 s. */
#define JPACE_HEAVY_MS 1900
#define JPACE_ALL_MS   2600

struct jpace {
	bool hold_heavy, hold_all;
	int64_t under_ms; /* steady time: last seen below its target */
	double ratio;	  /* newest worst tail over target */
};

void jpace_init(struct jpace *, int64_t now_ms);
/* Takes in the worst tail over its target, 0 if nothing serves there. */
void jpace_look(struct jpace *, int64_t now_ms, double worst);
/* The pace of a task of a heavy or light image. */
uint32_t jpace_of(const struct jpace *, bool heavy);

__END_DECLS

#endif
