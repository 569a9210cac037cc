/*
 * Retry budget: retries are limited to a percentage of the requests, but a
 * minimum per second is always allowed.
 */
#ifndef REQUEST_RETRY_BUDGET_H
#define REQUEST_RETRY_BUDGET_H

#include <sys/cdefs.h>
#include <stdbool.h>
#include <stdint.h>

__BEGIN_DECLS

struct retry_budget {
	unsigned percent, min_per_s;
	double by_request; /* retries earned by requests */
	double by_time;	   /* retries earned by time */
	int64_t last_take_ns;
};

void retry_budget_init(
    struct retry_budget *, unsigned percent, unsigned min_per_s, int64_t now);
void retry_budget_earn(struct retry_budget *);
/* Returns true and takes a retry if one is left in the budget. */
bool retry_budget_take(struct retry_budget *, int64_t now);

__END_DECLS

#endif
