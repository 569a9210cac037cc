#include "request/retry_budget.h"

#include "base/clk.h"

/* Unused retries of the past are kept for a burst of this many. */
#define RTB_BURST 100.0

/* Starts with a full share of the first second. */
void
rtb_init(struct rtb *b, unsigned percent, unsigned min_per_s, int64_t now)
{
	b->percent = percent;
	b->min_per_s = min_per_s;
	b->by_request = 0;
	b->by_time = min_per_s;
	b->last = now;
}

/* Counts a first attempt, which earns percent/100 of a retry. */
void
rtb_request(struct rtb *b)
{
	b->by_request += b->percent / 100.0;
	if (b->by_request > RTB_BURST)
		b->by_request = RTB_BURST;
}

/*
 * Takes one retry. A retry is charged to both parts, so that the budget is
 * the larger of the two and not their sum.
 */
bool
rtb_take(struct rtb *b, int64_t now)
{
	b->by_time += (double)(now - b->last) / CLK_NS_PER_S * b->min_per_s;
	if (b->by_time > b->min_per_s)
		b->by_time = b->min_per_s;
	b->last = now;
	if (b->by_request < 1 && b->by_time < 1)
		return false;
	b->by_request = b->by_request < 1 ? 0 : b->by_request - 1;
	b->by_time = b->by_time < 1 ? 0 : b->by_time - 1;
	return true;
}
