/*
 * Admission of the requests of one class: limits of the waiting time, derived
 * from the latency target and the latencies measured. Times are in ns.
 */
#ifndef REQUEST_ADM_H
#define REQUEST_ADM_H

#include <sys/cdefs.h>
#include <stdbool.h>
#include <stdint.h>

#include "request/lat.h"

__BEGIN_DECLS

struct adm {
	int64_t bound_ns; /* latency target; 0: none */
	int64_t timeout_ns;
	double service_ns; /* mean time that a request holds a slot */
	struct lat lat;	   /* latency of attempts; old ones lose weight */
	int64_t p50_ns, p99_ns;
	unsigned new_results; /* since the percentiles were computed */
};

void adm_init(struct adm *);
void adm_set_target(struct adm *, int64_t bound_ms, int64_t timeout_ms);
/* Adds the time that an answered attempt held a slot. */
void adm_add_served(struct adm *, int64_t ns);
/* Adds an attempt that was abandoned after ns. */
void adm_add_abandoned(struct adm *, int64_t ns);
/* Returns the latest start of a request, from its arrival and its deadline. */
int64_t adm_latest_start(const struct adm *, int64_t arrived, int64_t deadline);
/* Returns the expected wait behind ahead requests that share slots. */
int64_t adm_expected_wait(const struct adm *, unsigned ahead, unsigned slots);
/*
 * Returns how long to wait for an attempt that can be retried elsewhere, or
 * left if it should not be abandoned early.
 */
int64_t adm_attempt_limit(const struct adm *, int64_t left);
/* Returns true if a worker that has not answered for ns should have. */
bool adm_is_overlong(const struct adm *, int64_t ns);

__END_DECLS

#endif
