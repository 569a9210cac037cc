#include <gtest/gtest.h>

#include "node/pause.h"

namespace {

/* A process that ticks every 50 ms. */
struct fixture {
	struct pause p = {};
	struct timespec now = { 1000, 0 };
	int64_t ahead_ms = 7;
	int64_t suspended_ms = 0;

	fixture()
	{
		run(2000);
	}
	void run(int64_t ms)
	{
		for (; ms > 0; ms -= 50)
			stall(50);
	}
	void stall(int64_t ms)
	{
		now = clk_add_ms(now, ms);
		suspended_ms = pause_tick(&p, now, ahead_ms);
	}
	int64_t age_ms() const
	{
		return clk_diff_ms(
		    now, pause_earliest_arrival(&p, now, ahead_ms));
	}
};

/* Guards against requests that are dated back although nothing was paused: an
 * order would count as late. */
TEST(Pause, ARequestArrivesWhenItIsReadWithoutAPause)
{
	fixture f;
	EXPECT_EQ(0, f.age_ms());
	f.now = clk_add_ms(f.now, 100);
	EXPECT_EQ(0, f.age_ms());
}

/* Guards against a request that was sent during a pause and looks new. */
TEST(Pause, ARequestOfAPausedProcessIsDatedBack)
{
	fixture f;
	f.stall(10000);
	EXPECT_EQ(10000, f.age_ms());
	f.run(500);
	EXPECT_EQ(10500, f.age_ms());
	f.run(1000);
	EXPECT_EQ(0, f.age_ms());
}

/* Guards against a short second stall that hides the long one before it. */
TEST(Pause, ASecondStallKeepsTheFirst)
{
	fixture f;
	f.stall(10000);
	f.run(200);
	f.stall(300);
	EXPECT_EQ(10500, f.age_ms());
	f.now = clk_add_ms(f.now, 2000);
	EXPECT_EQ(12500, f.age_ms());
}

/* Guards against a request that is read after a pause, before the next tick. */
TEST(Pause, ARequestReadBeforeTheNextTickIsDatedBack)
{
	fixture f;
	f.now = clk_add_ms(f.now, 3000);
	EXPECT_EQ(3000, f.age_ms());
}

/* Guards against a suspension of the machine, which the monotonic clock doesn't
 * count, before and after the next tick. */
TEST(Pause, ASuspensionCounts)
{
	fixture f;
	f.ahead_ms += 8000;
	EXPECT_EQ(8000, f.age_ms());
	f.stall(50);
	EXPECT_EQ(8000, f.suspended_ms);
	EXPECT_EQ(8050, f.age_ms());
	f.stall(50);
	EXPECT_EQ(0, f.suspended_ms);
}

} // namespace
