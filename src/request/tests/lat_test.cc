#include <gtest/gtest.h>

#include "base/rng.h"
#include "request/lat.h"
#include "request/retry_budget.h"
#include "request/tmr.h"

/* Guards against bucket limits that overlap or leave a gap. */
TEST(Lat, BucketsAreOrderedAndCloseToTheValue)
{
	unsigned last = 0;

	for (int64_t us = 64; us < 60000000; us += us / 100 + 1) {
		unsigned b = lat_bucket(us);

		EXPECT_GE(b, last);
		EXPECT_LE(b, last + 1);
		last = b;
		EXPECT_NEAR((double)lat_bucket_us(b), (double)us, us / 8.0);
	}
	EXPECT_EQ(0u, lat_bucket(-5));
	EXPECT_EQ(LAT_BUCKETS - 1u, lat_bucket(INT64_MAX));
}

/* Guards against a merge that loses counts or moves the quantiles. */
TEST(Lat, MergeOfPartsEqualsTheWhole)
{
	struct lat a, b, all;
	struct rng r;

	rng_init(&r, 3);
	lat_init(&a);
	lat_init(&b);
	lat_init(&all);
	for (int i = 0; i < 10000; i++) {
		int64_t us = (int64_t)rng_exp(&r, 20000);

		lat_add(i % 3 ? &a : &b, us);
		lat_add(&all, us);
	}
	lat_merge(&a, &b);
	for (double q : { 0.0, 0.5, 0.9, 0.99, 1.0 })
		EXPECT_EQ(lat_quantile(&all, q), lat_quantile(&a, q));
	EXPECT_NEAR(92103.0, (double)lat_quantile(&a, 0.99), 92103 / 8.0);
}

/* Guards against a budget that exceeds its share or saves up for a storm. */
TEST(Rtb, BoundsRetriesByShareAndRate)
{
	struct rtb b;
	unsigned n = 0;

	rtb_init(&b, 10, 3, 0);
	for (int64_t t = 0; t < 10000; t++) { /* 10 s, 1000 requests/s */
		rtb_request(&b);
		n += rtb_take(&b, t * 1000000);
	}
	EXPECT_LE(n, 1003u);
	EXPECT_GE(n, 990u);
	n = 0;
	for (int64_t t = 10000; t < 20000; t++)
		n += rtb_take(&b, t * 1000000);
	EXPECT_LE(n, 33u);
	EXPECT_GE(n, 27u);
}

/* Guards against timers that fire out of order after moves and removals. */
TEST(Tmr, FiresInOrder)
{
	struct tmr_heap h;
	struct tmr t[200] = {};
	struct rng r;
	int64_t last = -1;
	size_t n = 0, set = 0;

	rng_init(&r, 4);
	tmr_init(&h);
	for (int i = 0; i < 5000; i++) {
		struct tmr *x = &t[rng_below(&r, 200)];

		if (rng_chance(&r, 0.3))
			tmr_clear(&h, x);
		else
			tmr_set(&h, x, (int64_t)rng_below(&r, 1000));
	}
	for (struct tmr &x : t)
		set += x.pos != 0;
	for (struct tmr *x; (x = tmr_first(&h)) != NULL; n++) {
		EXPECT_GE(x->at, last);
		last = x->at;
		tmr_clear(&h, x);
	}
	EXPECT_EQ(set, n);
	tmr_finish(&h);
}
