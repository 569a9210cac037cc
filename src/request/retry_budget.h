/* Retry budget: a share of the requests, but at least some per second. */
#ifndef REQUEST_RTB_H
#define REQUEST_RTB_H

#include <sys/cdefs.h>
#include <stdbool.h>
#include <stdint.h>

__BEGIN_DECLS

struct rtb {
	unsigned percent, min_per_s;
	double by_request; /* retries earned by requests */
	double by_time;	   /* retries earned by time */
	int64_t last;	   /* ns */
};

void rtb_init(struct rtb *, unsigned percent, unsigned min_per_s, int64_t now);
void rtb_request(struct rtb *);
/* True if one more retry is within the budget; it is then taken. */
bool rtb_take(struct rtb *, int64_t now);

__END_DECLS

#endif
