/*
 * Decides which machines of the maintenance waves are closed to new work, which
 * maintenance is recorded, and which order is sent. Pure: the machines, the
 * long-running steps and the time in, one choice per machine out.
 *
 * Addresses three failures: more than max_down machines of a wave down at
 * once, also while orders have no answer; an order that leaves more tasks of a
 * long-running step absent than its may_miss; and a machine that can't begin
 * and keeps others from their turn.
 */
#ifndef JOB_JWAVE_H
#define JOB_JWAVE_H

#include <sys/cdefs.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

__BEGIN_DECLS

/* A machine is closed before its maintenance for at most this long; longer
 * short tasks are lost to the order. */
#define JWAVE_CLOSED_MAX_MS 15000
/* Least time closed while something runs there, so that orders in flight are
 * answered; also the time to save checkpoints. */
#define JWAVE_CLOSED_MIN_MS 300
/* A machine that may_miss holds back is opened again after this, and others get
 * their turn for as long. Longer than a long-running task takes to stop and to
 * start elsewhere. */
#define JWAVE_HELD_MAX_MS 5000
/* A machine that waits closed for the place of others is opened again after
 * this. Longer than an order without an answer takes its place, 12 s. */
#define JWAVE_SLOT_MAX_MS 20000
/* Time that a machine is down, and the time to notice that it is back: 2 s on
 * the platform, and a read of the list. */
#define JWAVE_DOWN_MS 3500

enum jwave_phase {
	JWAVE_WAITING,
	JWAVE_BEGUN, /* recorded; the order may have been sent */
	JWAVE_DONE
};

/* What a machine does next, or why it waits. */
enum jwave_choice {
	JWAVE_NONE,	  /* done */
	JWAVE_UNLISTED,	  /* not listed as up, or the list is too old */
	JWAVE_OTHER,	  /* an order of another wave is open there */
	JWAVE_RETRY,	  /* an order failed shortly before, or is in flight */
	JWAVE_QUEUED,	  /* other machines come first */
	JWAVE_CLOSE,	  /* closed to new work */
	JWAVE_SLOT,	  /* empty enough; max_down others are down */
	JWAVE_HELD,	  /* closed, held back by may_miss */
	JWAVE_HELD_BEGUN, /* recorded, and now held back by may_miss */
	JWAVE_RECORD,	  /* record that it begins */
	JWAVE_ORDER	  /* send the order that was recorded */
};

/* A long-running step with tasks on a machine of a wave. */
struct jwave_step {
	uint32_t may_miss;
	/* Tasks not at work now, or on a machine whose maintenance has been
	 * recorded; grows with each choice to record one. */
	uint32_t absent;
};

struct jwave_use {
	size_t step;	 /* index into the steps */
	uint32_t ntasks; /* at work on the machine */
};

struct jwave_machine {
	size_t wave; /* index into the waves */
	enum jwave_phase phase;
	bool is_up;	 /* listed as up, by a list that is recent enough */
	bool is_down;	 /* begun, and not known to be back or untouched */
	bool is_blocked; /* an order of another wave is open */
	bool is_waiting; /* an order is in flight, or its retry isn't due */
	bool is_closed;
	int64_t closed_ms;  /* since when it is closed */
	int64_t busy_ms;    /* its short tasks need this much longer */
	int64_t reopens_ms; /* isn't closed again before */
	bool is_saving;	    /* checkpointing tasks are still being stopped */
	bool is_moving;	    /* long-running tasks are still being moved */
	uint64_t cost;	    /* core-ms that an order would lose now */
	const struct jwave_use *uses;
	size_t nuses;
	enum jwave_choice choice;
};

struct jwave_wave {
	uint32_t max_down;
	int64_t deadline_ms;		   /* end of its term */
	uint32_t ndown, nclosed, nwaiting; /* filled by jwave_choose */
};

/* Sets the choice of each machine. Times are on the caller's clock. */
void jwave_choose(struct jwave_wave *, size_t nwaves, struct jwave_machine *,
    size_t nmachines, struct jwave_step *, int64_t now_ms);
const char *jwave_choice_name(enum jwave_choice);

__END_DECLS

#endif
