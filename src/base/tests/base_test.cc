#include <gtest/gtest.h>

#include <cstring>

#include "base/clk.h"
#include "base/ctr.h"
#include "base/err.h"
#include "base/rng.h"
#include "base/str.h"

/* Guards against a wrong borrow when a time crosses a full second. */
TEST(Clk, AddAndDiffAgreeAcrossSeconds)
{
	struct rng r;
	rng_init(&r, 1);
	for (int i = 0; i < 1000; i++) {
		struct timespec a = clk_from_ns((int64_t)rng_below(&r, 1e12));
		int64_t d = (int64_t)rng_below(&r, 1e12) - 500000000000LL;
		struct timespec b = clk_add_ns(a, d);
		EXPECT_EQ(d, clk_diff_ns(b, a));
		EXPECT_GE(b.tv_nsec, 0);
		EXPECT_LT(b.tv_nsec, CLK_NS_PER_S);
	}
}

/* Guards against accepting a number with trailing text or an overflow. */
TEST(Str, ParsesOnlyWholeNumbers)
{
	int64_t v;
	EXPECT_TRUE(str_to_i64(str_from("-12"), &v));
	EXPECT_EQ(-12, v);
	for (const char *bad :
	    { "", "1x", " 1", "--1", "-", "9223372036854775808" })
		EXPECT_FALSE(str_to_i64(str_from(bad), &v)) << bad;
}

/* Guards against a comparison that stops at a NUL byte. */
TEST(Str, ComparesAllBytes)
{
	EXPECT_FALSE(str_eq(str_mem("a\0b", 3), str_mem("a\0c", 3)));
	EXPECT_LT(str_cmp(str_from("a"), str_from("ab")), 0);
}

/* Guards against a message that overruns its buffer. */
TEST(Err, TruncatesLongMessages)
{
	struct err e;
	char big[1000];
	memset(big, 'x', sizeof(big) - 1);
	big[sizeof(big) - 1] = '\0';
	EXPECT_EQ(STATUS_IO, err_set(&e, STATUS_IO, "%s", big));
	EXPECT_EQ(ERR_MSG_MAX - 1, (int)strlen(e.msg));
}

/* Guards against a status without a printable name. */
TEST(Err, NamesEveryStatus)
{
	for (int i = 0; i < STATUS_COUNT; i++)
		EXPECT_NE(nullptr, status_name((enum status)i)) << i;
}
