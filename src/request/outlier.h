/* What one instance thinks of one worker: recent failures, suspicion. */
#ifndef REQUEST_OUTLIER_H
#define REQUEST_OUTLIER_H

#include <sys/cdefs.h>
#include <stdbool.h>
#include <stdint.h>

__BEGIN_DECLS

#define OUTLIER_WINDOW		 20 /* results that are remembered */
#define OUTLIER_EJECT_FAILURES	 10 /* failures among them that eject */
#define OUTLIER_SUSPECT_TIMEOUTS 2  /* in a row that make suspect */

enum outlier_state {
	OUTLIER_IN_USE,
	OUTLIER_SUSPECT, /* no new work until a probe passes */
	OUTLIER_EJECTED	 /* likewise; counts towards the cap */
};

struct outlier {
	uint32_t failed_bits; /* one bit per result, the newest lowest */
	uint8_t timeouts;
	uint8_t state;
	bool probing;
	int64_t probe_delay_ns;	 /* ns until the next probe */
	int64_t readmitted_ns;	 /* ns, when a probe last passed */
	int64_t last_failure_ns; /* ns, of the newest failure */
	int64_t withdrawn_ns;	 /* ns, when it was taken out of use */
};

void outlier_init(struct outlier *);
/* A result of work; returns true if the worker should be ejected. */
bool outlier_add_result(struct outlier *, bool ok, int64_t now);
/* A timeout that the worker is answerable for; true: it is now suspect. */
bool outlier_add_timeout(struct outlier *);
unsigned outlier_count_failures(const struct outlier *);
/* Disadvantage of a worker that is in use, 0 when it has none. */
unsigned outlier_failure_score(const struct outlier *, int64_t now);
/* Takes the worker out of use; returns when to probe. */
int64_t outlier_withdraw(struct outlier *, enum outlier_state, int64_t now);
/* A probe failed; returns when to probe again. */
int64_t outlier_probe_failed(struct outlier *, int64_t now);
void outlier_readmit(struct outlier *, int64_t now);
/* Most workers out of n that may be ejected at a time. */
unsigned outlier_max_ejected(unsigned n, unsigned percent);

__END_DECLS

#endif
