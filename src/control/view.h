/*
 * What an instance knows about its group: configuration, workers and the
 * slots granted to it. A view is immutable once published; it is one talloc
 * tree, which is handed over as a whole to the thread that reads it.
 */
#ifndef CONTROL_VIEW_H
#define CONTROL_VIEW_H

#include "base/clk.h"
#include "base/str.h"

__BEGIN_DECLS

struct view_class {
	struct str name;
	bool urgent;	    /* latency-critical, else batch */
	int percentile_x10; /* 990: the 99th; 0: no answer-time target */
	int64_t bound_ms;   /* target answer time at the percentile */
	int64_t timeout_ms; /* of a request */
};

struct view_worker {
	uint64_t epoch; /* identifies the incarnation of the worker */
	struct str name;
	struct str addr; /* IP:port */
	struct str rack;
	struct str domain;
	bool draining;	      /* gets no new work */
	unsigned slots;	      /* granted to the reader of this view */
	unsigned connections; /* most that the reader may keep open */
	uint64_t grant_seq;
	struct timespec grant_expiry; /* 0 when slots is 0 */
	/* No request is started under the grant after this. */
	struct timespec grant_start_until;
	const unsigned *serves; /* indexes into classes */
	size_t nserves;
};

struct view {
	uint64_t config_version; /* 0: none received yet */
	uint64_t term;
	struct timespec fresh_until; /* no new work is accepted after this */
	struct view_class *classes;  /* sorted by name */
	size_t nclasses;
	struct view_worker *workers; /* sorted by epoch */
	size_t nworkers;
};

__END_DECLS

#endif
