#include "request/retry_budget.h"

#include "base/clk.h"

/* Most unused retries that are saved for a burst. */
#define RETRY_BUDGET_BURST 100.0

/* Initialises a budget with the retries of one second. */
void
retry_budget_init(
    struct retry_budget *b, unsigned percent, unsigned min_per_s, int64_t now)
{
	b->percent = percent;
	b->min_per_s = min_per_s;
	b->by_request = 0;
	b->by_time = min_per_s;
	b->last_take_ns = now;
}

/* Counts a first attempt, which earns percent/100 of a retry. */
void
retry_budget_earn(struct retry_budget *b)
{
	b->by_request += b->percent / 100.0;
	if (b->by_request > RETRY_BUDGET_BURST)
		b->by_request = RETRY_BUDGET_BURST;
}

/*
 * Takes one retry and returns true, or returns false if none is left. A retry
 * is charged to both parts, so that the budget is the larger of the two and
 * not their sum.
 */
bool
retry_budget_take(struct retry_budget *b, int64_t now)
{
	b->by_time +=
	    (double)(now - b->last_take_ns) / CLK_NS_PER_S * b->min_per_s;
	if (b->by_time > b->min_per_s)
		b->by_time = b->min_per_s;
	b->last_take_ns = now;
	if (b->by_request < 1 && b->by_time < 1)
		return false;
	b->by_request = b->by_request < 1 ? 0 : b->by_request - 1;
	b->by_time = b->by_time < 1 ? 0 : b->by_time - 1;
	return true;
}
