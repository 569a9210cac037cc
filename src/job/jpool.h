/*
 * Decides which machines move from one pool to another, and which open moves
 * are still needed. Pure: waiting tasks, workers, machines and pools in, one
 * choice per machine out.
 *
 * Addresses a load that exceeds the capacity of one service for seconds while
 * another service, or a spare pool, has empty machines. Addresses two failures
 * of such a decision: more machines than the tasks need, and machines that move
 * back and forth with a load that alternates.
 */
#ifndef JOB_JPOOL_H
#define JOB_JPOOL_H

#include <sys/cdefs.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

__BEGIN_DECLS

/* A machine is moved for tasks that have waited for so long. */
#define JPOOL_WAITED_MIN_MS 2000
/* Time from the decision until a moved machine takes tasks: 1.5 s on the
 * platform; the record, the order and the first poll. */
#define JPOOL_MOVE_MS 2500
/* Most moves that are open at once. */
#define JPOOL_OPEN_MAX 4
/* No machine is moved again within this time. A service that gives machines
 * keeps what it needed at most within it: a load that alternates between two
 * services would move machines back and forth. */
#define JPOOL_CALM_MS 30000
/* A machine away from its spare pool goes back once it was empty for this. */
#define JPOOL_EMPTY_MS 30000
/* A service keeps free one part in so many of what runs there. */
#define JPOOL_KEPT_PART 8

#define JPOOL_NONE	SIZE_MAX

/* In 1/1000 processors, MB and accelerators. */
struct jpool_amount {
	int64_t cpu, mem, accel;
};

struct jpool_labels {
	const char *const *v;
	size_t n;
};

/* The waiting tasks of a step that has waited for long enough. */
struct jpool_demand {
	size_t pool; /* of its service */
	struct jpool_amount size;
	const char *label; /* required, or NULL */
	uint32_t ntasks;
	uint32_t spread; /* most tasks on one worker, 0: any number */
	int64_t waited_ms;
	uint32_t nmissing; /* set: would wait for longer than a move takes */
};

/* A worker that takes new work. */
struct jpool_host {
	size_t pool;
	struct jpool_amount soon; /* free when a move could be done */
	struct jpool_labels labels;
};

struct jpool_machine {
	size_t pool;	/* where it is, or JPOOL_NONE */
	size_t to;	/* of its open move, else JPOOL_NONE */
	size_t home;	/* the spare pool that it is away from, or JPOOL_NONE */
	bool is_coming; /* moved, and its new worker isn't there yet */
	bool is_free;	/* may be moved now */
	bool is_off;	/* listed as down */
	int64_t moved_ms; /* since its last move; INT64_MAX: none is known */
	int64_t empty_ms; /* for how long it has been empty */
	struct jpool_amount size;
	struct jpool_labels labels;
	bool is_needed; /* set, of an open move */
	size_t choice;	/* set: pool to move it to, or JPOOL_NONE */
};

struct jpool_pool {
	bool is_spare;
	struct jpool_amount free, used; /* of its workers that take new work */
	struct jpool_amount waiting;	/* of all its waiting tasks */
	uint32_t nwaiting;
	/* Most that ran and waited there within JPOOL_CALM_MS; a service of
	 * which that isn't known gives no machine. */
	struct jpool_amount peak;
	bool has_peak;
	uint32_t ndemands; /* if 0, its hosts aren't needed */
	uint32_t nopen;	   /* set: open moves to it */
};

struct jpool_input {
	struct jpool_pool *pools;
	struct jpool_demand *demands;
	struct jpool_host *hosts;
	struct jpool_machine *machines;
	size_t npools, ndemands, nhosts, nmachines;
	uint32_t nopen; /* moves that are open */
	/* Tells whether moves between two pools were refused lately. */
	bool (*is_refused)(void *arg, size_t from, size_t to);
	void *arg;
};

/* Sets the choices. Changes the order of the demands, and what the hosts and
 * pools have free. */
void jpool_choose(struct jpool_input *);
/* Tells whether a pool could give a machine to another one, as far as is known
 * without a list of the machines. */
bool jpool_may_give(const struct jpool_input *, size_t from, size_t to);

__END_DECLS

#endif
