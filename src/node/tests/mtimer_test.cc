#include <gtest/gtest.h>

#include <ctime>
#include <sys/syscall.h>
#include <sys/time.h>
#include <unistd.h>
#include <vector>

extern "C" {
#include <tevent.h>
}

#include "base/clk.h"
#include "node/mtimer.h"
#include "node/tests/wall_clock.h"

int64_t wall_clock_offset_ms = 0;

/* Replaces the C library's function, which the event loop calls. */
extern "C" int
gettimeofday(struct timeval *tv, void *) noexcept
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	int64_t ns = clk_ns(ts) + wall_clock_offset_ms * CLK_NS_PER_MS;
	tv->tv_sec = ns / CLK_NS_PER_S;
	tv->tv_usec = ns % CLK_NS_PER_S / 1000;
	return 0;
}

namespace {

/* How long the machine has been suspended since it was started, in ms. */
int64_t suspended_ms = 0;

} // namespace

/* Replaces the C library's function; only CLOCK_BOOTTIME counts the time while
 * the machine was suspended. */
extern "C" int
clock_gettime(clockid_t id, struct timespec *ts) noexcept
{
	long rc = syscall(SYS_clock_gettime, id, ts);

	if (rc == 0 && id == CLOCK_BOOTTIME && suspended_ms != 0)
		*ts = clk_from_ns(clk_ns(*ts) + suspended_ms * CLK_NS_PER_MS);
	return (int)rc;
}

namespace {

/* Timers on an event loop; each notes its number when it fires. */
class Timers : public ::testing::Test {
      protected:
	struct one {
		Timers *t;
		int number;
		struct mtimer timer;
	};
	struct tevent_context *ev = tevent_context_init(NULL);
	struct mtimer_queue *q = mtimer_queue_new(ev, ev);
	std::vector<int> fired;
	one v[3];

	void SetUp() override
	{
		for (int i = 0; i < 3; i++) {
			v[i].t = this;
			v[i].number = i;
			mtimer_init(&v[i].timer, q, on_fire, &v[i]);
		}
	}
	void TearDown() override
	{
		for (one &o : v)
			mtimer_clear(&o.timer);
		talloc_free(ev);
	}
	static void on_fire(void *arg)
	{
		one *o = (one *)arg;
		o->t->fired.push_back(o->number);
	}
	/* Runs the loop until n timers have fired. */
	void run(size_t n)
	{
		while (fired.size() < n)
			tevent_loop_once(ev);
	}
	static int64_t now_ms()
	{
		struct clk clk = clk_system();
		return clk_ns(clk_now(&clk)) / CLK_NS_PER_MS;
	}
};

/* Guards against timers that fire in another order than their times, or not at
 * all after one is moved or cleared. */
TEST_F(Timers, FireInTheOrderOfTheirTimes)
{
	mtimer_set_ms(&v[0].timer, 30);
	mtimer_set_ms(&v[1].timer, 10);
	mtimer_set_ms(&v[2].timer, 1);
	mtimer_set_ms(&v[2].timer, 20);
	run(3);
	EXPECT_EQ((std::vector<int>{ 1, 2, 0 }), fired);
	mtimer_set_ms(&v[0].timer, 1);
	mtimer_clear(&v[0].timer);
	EXPECT_FALSE(mtimer_is_set(&v[0].timer));
	mtimer_set_ms(&v[1].timer, 5);
	run(4);
	EXPECT_EQ(1, fired.back());
}

/* Guards against a timer that fires late because the time of day is set
 * back. */
TEST_F(Timers, FireOnTimeWhenTheTimeOfDayIsSetBack)
{
	int64_t from = now_ms();
	mtimer_set_ms(&v[0].timer, 10);
	WallClockSetBack back(20000);
	run(1);
	EXPECT_LT(now_ms() - from, 5000);
	EXPECT_GE(now_ms() - from, 9);
}

/* Guards against timers that all fire late, by as long as the machine has ever
 * been suspended. */
TEST_F(Timers, FireOnTimeOnAMachineThatHasBeenSuspended)
{
	suspended_ms = 3000;
	int64_t from = now_ms();
	mtimer_set_ms(&v[0].timer, 10);
	run(1);
	EXPECT_LT(now_ms() - from, 1000);
	EXPECT_GE(now_ms() - from, 10);
	suspended_ms = 0;
}

} // namespace
