/*
 * Outlier detection for one worker, as seen by one instance: recent failures
 * and timeouts, and whether the worker is out of use because of them. Times
 * are in ns.
 */
#ifndef REQUEST_OUTLIER_H
#define REQUEST_OUTLIER_H

#include <sys/cdefs.h>
#include <stdbool.h>
#include <stdint.h>

__BEGIN_DECLS

#define OUTLIER_WINDOW 20 /* number of newest results that count */
/* Failures among these results that eject a worker. */
#define OUTLIER_EJECT_FAILURES 10
/* Timeouts in a row that make a worker suspect. */
#define OUTLIER_SUSPECT_TIMEOUTS 2

enum outlier_state {
	OUTLIER_IN_USE,
	OUTLIER_SUSPECT, /* timeouts in a row; not used until a probe passes */
	OUTLIER_EJECTED	 /* too many failures; limited by outlier_max_ejected */
};

struct outlier {
	uint32_t failed_bits; /* one bit per result, the newest lowest */
	uint8_t timeouts;
	uint8_t state;
	bool probing;
	int64_t probe_delay_ns; /* until the next probe */
	int64_t readmitted_ns;	/* when it was last put back into use */
	int64_t last_failure_ns;
	int64_t withdrawn_ns; /* when it was taken out of use */
};

void outlier_init(struct outlier *);
/*
 * Records a result of an attempt; returns true if the worker should be
 * ejected.
 */
bool outlier_add_result(struct outlier *, bool ok, int64_t now);
/*
 * Counts a timeout that is the worker's fault; returns true if it should
 * become suspect.
 */
bool outlier_add_timeout(struct outlier *);
unsigned outlier_count_failures(const struct outlier *);
/* Returns the failure score of a worker that is in use, 0 if it has none. */
unsigned outlier_failure_score(const struct outlier *, int64_t now);
/* Takes the worker out of use; returns when to probe it. */
int64_t outlier_withdraw(struct outlier *, enum outlier_state, int64_t now);
/* Records a failed probe; returns when to probe again. */
int64_t outlier_probe_failed(struct outlier *, int64_t now);
void outlier_readmit(struct outlier *, int64_t now);
/* Returns how many of n workers may be ejected at a time. */
unsigned outlier_max_ejected(unsigned n, unsigned percent);

__END_DECLS

#endif
