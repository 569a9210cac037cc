/*
 * Evacuations of failure domains: which domains are closed to new work, and
 * which orders come too late to be carried out. Pure.
 *
 * Addresses copies of an order that a paused or partitioned replica forwards
 * late: orders carry no version, so that a late end could end a newer
 * evacuation, and a late start begin one that was withdrawn. An order counts as
 * late if the operator has given it up by now, or if a replica received it
 * before the last change of its domain, which the operator ordered later.
 */
#ifndef JOB_JEVAC_H
#define JOB_JEVAC_H

#include "job/jst.h"

__BEGIN_DECLS

/* The operator sends an order again for this long; a limit of the platform. A
 * copy that was received earlier has no caller left. */
#define JEVAC_ORDER_MAX_AGE_MS 5000
/* Greatest error of the time at which an order was received, on the leader's
 * clock: the longest round trip by which clocks are compared. Below the 1 s
 * after which the operator sends an order again, so that a copy is never taken
 * for a newer order. */
#define JEVAC_CLOCK_ERROR_MS 300
/* Most domains of which the last change is remembered. */
#define JEVAC_DOMAINS_MAX JST_EVACUATIONS_MAX

enum jevac_verdict {
	JEVAC_PROPOSE,
	JEVAC_LATE /* refused without effect; its caller has given up */
};

/* What this replica knows of a failure domain. */
struct jevac_domain {
	char *name;
	bool begin;	    /* the last change began an evacuation */
	int64_t changed_ms; /* when, on this replica's monotonic clock */
	uint64_t runs;	    /* leader: there at the last count */
	bool has_runs;	    /* leader: some were there, or none were counted */
};

struct jevac {
	struct jevac_domain *domains; /* oldest change first */
	size_t ndomains;
	/* Changes before this time aren't known. */
	int64_t known_since_ms;
	size_t nruns; /* leader: runs in domains under evacuation */
};

void jevac_init(struct jevac *);
void jevac_finish(struct jevac *);
/* Forgets all changes: the state was loaded at this time. */
void jevac_reset(struct jevac *, int64_t now_ms);
/* Records an order that is about to be proposed, if it changes its domain. */
void jevac_note_proposal(struct jevac *, const struct jst *,
    const Job__Evacuation *, int64_t now_ms);
/* Records a change of a domain that has taken effect. */
void jevac_note_change(
    struct jevac *, const char *name, bool begin, int64_t now_ms);
/* Records an order that took effect without changing its domain. */
void jevac_note_repeat(
    struct jevac *, const char *name, bool begin, int64_t now_ms);
/* Decides on an order; its received_ms and now_ms are times of one clock. */
enum jevac_verdict jevac_judge(const struct jevac *, const struct jst *,
    const Job__Evacuation *, int64_t now_ms);
/* Tells whether nothing new may start in a failure domain. */
bool jevac_is_closed(const struct jst *, const char *domain);
/* Records the number of runs in a domain under evacuation; returns true if the
 * last one there has ended since it began. */
bool jevac_count_runs(struct jevac *, const char *name, uint64_t runs);

__END_DECLS

#endif
