/*
 * What the leader asks of the service that owns the machines, and what it
 * learns from it: the list of machines, orders of maintenance and of moves
 * between pools, their results.
 */
#ifndef JOB_JCLOUD_H
#define JOB_JCLOUD_H

#include <sys/cdefs.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

__BEGIN_DECLS

enum jcloud_state {
	JCLOUD_UP,
	JCLOUD_MOVING,	    /* to another pool */
	JCLOUD_MAINTENANCE, /* its maintenance is under way */
	JCLOUD_DOWN
};

/* One entry of the list. */
struct jcloud_machine {
	const char *machine, *pool, *zone;
	const char *worker; /* id of its worker, NULL: none */
	enum jcloud_state state;
	/* In 1/1000 processors, MB and accelerators; 0: not listed. */
	uint32_t cpu_milli, mem_mb, accel;
	const char **labels;
	size_t nlabels;
};

enum jcloud_kind {
	JCLOUD_ORDER_MAINTENANCE,
	JCLOUD_ORDER_MOVE
};

/* An order to begin the maintenance of a machine, or to move it to another
 * pool. */
struct jcloud_order {
	const char *machine;
	uint64_t wave;	 /* of its maintenance */
	uint64_t fence;	 /* fencing token */
	uint64_t serial; /* copied into the result */
	enum jcloud_kind kind;
	const char *pool; /* to which it moves */
};

enum jcloud_result {
	JCLOUD_DONE,	   /* carried out, now or before */
	JCLOUD_FENCED,	   /* a higher token was used there */
	JCLOUD_BUSY,	   /* the machine isn't up, or leaves */
	JCLOUD_NOT_MEMBER, /* the machine isn't one of the wave */
	JCLOUD_UNKNOWN,	   /* no such machine, or the pool is of others */
	JCLOUD_LIMITED,	   /* too many orders */
	JCLOUD_NOT_SENT,
	JCLOUD_NO_ANSWER /* may have been carried out, or may be later */
};

/* How the leader calls the service. Both return false if the budget or the
 * pause after a failure doesn't allow the call now. */
struct jcloud_ops {
	bool (*read)(void *arg);
	bool (*order)(void *arg, const struct jcloud_order *);
	void *arg;
};

__END_DECLS

#endif
