/* Admission of one class: its queue, bounded by waiting time, and figures. */
#ifndef REQUEST_ADM_H
#define REQUEST_ADM_H

#include <sys/cdefs.h>
#include <stdbool.h>
#include <stdint.h>

#include "request/lat.h"

__BEGIN_DECLS

struct adm {
	int64_t bound_ns; /* of the target; 0: none */
	int64_t timeout_ns;
	double service_ns; /* mean time that a request holds a slot */
	struct lat lat;	   /* of attempts, old ones halved */
	int64_t p50_ns, p99_ns;
	unsigned new_results; /* results since the quantiles were computed */
};

void adm_init(struct adm *);
void adm_set_target(struct adm *, int64_t bound_ms, int64_t timeout_ms);
/* A request held a slot for so long. */
void adm_add_served(struct adm *, int64_t ns);
/* An attempt was given up after so long. */
void adm_add_abandoned(struct adm *, int64_t ns);
/* Latest start of a request that arrived at an instant. */
int64_t adm_latest_start(const struct adm *, int64_t arrived, int64_t deadline);
/* Expected wait behind ahead requests that share slots. */
int64_t adm_expected_wait(const struct adm *, unsigned ahead, unsigned slots);
/* How long an attempt that can be repeated elsewhere is waited for; the
 * whole of left if it should not be cut short. */
int64_t adm_attempt_limit(const struct adm *, int64_t left);
/* True if a worker is answerable for not having answered for so long. */
bool adm_is_overlong(const struct adm *, int64_t ns);

__END_DECLS

#endif
