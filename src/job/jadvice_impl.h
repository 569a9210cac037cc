/* Private to the jadvice*.c files. */
#ifndef JOB_JADVICE_IMPL_H
#define JOB_JADVICE_IMPL_H

#include <glib.h>

#include "job/jadvice.h"

/* What is known of a worker for one step. */
struct jadvice_known {
	bool is_good;
	char *ticket;	   /* NULL: none, or refused */
	uint64_t num;	   /* registration that the ticket was issued for */
	int64_t until_ms;  /* end of its validity */
	uint32_t nrefused; /* tickets in a row */
	int64_t retry_ms;  /* it isn't named in a call before */
};

struct jadvice_step {
	uint64_t job;
	uint32_t occurrence, number;
	GHashTable *known; /* by the worker's id */
	uint32_t ncalls;   /* with an answer */
	bool is_in_call;
	int64_t called_ms; /* start of the last call */
	int64_t look_ms;   /* no call is needed before */
	int64_t place_ms;  /* time that jadvice_allows refers to */
	size_t nusable;	   /* at that time */
};

/* An instance that makes calls, and its call in flight. */
struct jadvice_caller {
	uint32_t instance;
	bool is_live; /* it may be given calls */
	int64_t retry_ms, backoff_ms;
	uint64_t serial; /* 0: no call */
	Job__Task step;
	GPtrArray *ids;	 /* of the workers that are named */
	uint64_t *nums;	 /* their registrations */
	int64_t sent_ms; /* when the leader ordered the call */
	int64_t until_ms, valid_ms;
};

struct jadvice {
	GHashTable *steps; /* a set of struct jadvice_step */
	struct jadvice_caller callers[JADVICE_CALLERS_MAX];
	size_t ncallers;
	uint64_t serial; /* of the last call */
};

/* jadvice.c */
struct jadvice_step *jadvice_step_find(
    const struct jadvice *, const Job__Task *);
int64_t jadvice_call_ms(const struct jadvice_terms *, size_t n);
/* jadvice_call.c */
void jadvice_clear_call(struct jadvice_caller *);

#endif
