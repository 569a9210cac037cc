#include "job/tests/wave_sim.h"

namespace {

/* Guards against a wave that doesn't complete, more machines down than it
 * allows, an order before the previous holder's time is over, and calls where
 * no wave is open. */
TEST(Wave, CompletesWithinItsLimit)
{
	Cloud c(1);
	c.add(9);
	c.s.lead();
	c.s.run(2000);
	EXPECT_EQ(0U, c.nreads);
	int64_t start_ms = c.s.now_ms;
	c.wave(7, 1, 6, 2);
	c.s.run(20000);
	EXPECT_TRUE(c.completed(7));
	EXPECT_EQ(6U, c.ncarried);
	EXPECT_GE(c.first_order_ms, start_ms - 2000 + HOLDER_WAIT_MS);
	unsigned reads = c.nreads;
	c.s.run(3000);
	EXPECT_EQ(reads, c.nreads) << "no wave is open";
	EXPECT_EQ(6U, c.norders);
}

/* Guards against two waves that share machines: both orders for one machine at
 * once, or one wave that waits for the other for good. */
TEST(Wave, TwoWavesShareMachines)
{
	Cloud c(2);
	unsigned n = 0;
	c.add(6);
	c.fault = [&](const std::string &) {
		return n++ % 3 == 0 ? CARRY_LATE : CARRY_OUT;
	};
	c.s.lead();
	c.s.run(100);
	c.wave(1, 1, 4, 2);
	c.wave(2, 3, 6, 1);
	c.s.run(80000);
	EXPECT_TRUE(c.completed(1));
	EXPECT_TRUE(c.completed(2));
	EXPECT_EQ(8U, c.ncarried);
	for (auto &x : c.begun) {
		if (x.second.size() == 2) {
			EXPECT_GE(x.second[1] - x.second[0], MAINTENANCE_MS);
		}
	}
}

/* Guards against a new leader that begins a further machine while one that its
 * predecessor recorded, or has ordered without hearing the answer, may be down;
 * and against one that forgets it. */
TEST(Wave, ALeaderChangesAroundAnOrder)
{
	for (int64_t after_ms = 0; after_ms < 40; after_ms += 2) {
		SCOPED_TRACE(after_ms);
		Cloud c((uint64_t)after_ms + 10);
		c.add(4);
		c.s.lead();
		c.s.run(100);
		c.wave(1, 1, 4, 1);
		while (c.state(1, 0) + c.state(1, 1) + c.state(1, 2) +
			c.state(1, 3) ==
		    0)
			c.s.run(1);
		c.s.run(after_ms);
		c.s.lead();
		c.s.run(HOLDER_WAIT_MS / 2);
		c.s.lead();
		c.s.run(60000);
		EXPECT_TRUE(c.completed(1));
		EXPECT_EQ(4U, c.ncarried);
	}
}

/* Guards against an order without an answer that is carried out late, while
 * another machine is down: it counts as down until known otherwise. */
TEST(Wave, OrdersWithoutAnAnswerCountAsDown)
{
	for (order_fault f : { LOSE_ANSWER, CARRY_LATE, LOSE_ORDER }) {
		SCOPED_TRACE(f);
		Cloud c(3);
		unsigned n = 0;
		c.add(5);
		c.fault = [&](const std::string &) {
			return n++ % 2 == 0 ? f : CARRY_OUT;
		};
		c.s.lead();
		c.s.run(100);
		c.wave(1, 1, 5, 1, 120000);
		c.s.run(120000);
		EXPECT_TRUE(c.completed(1));
		EXPECT_EQ(5U, c.ncarried);
	}
}

/* Guards against a wave that never completes because every answer is lost: the
 * list shows what was carried out. */
TEST(Wave, TheListReplacesLostAnswers)
{
	Cloud c(10);
	c.add(4);
	c.fault = [](const std::string &) { return LOSE_ANSWER; };
	c.s.lead();
	c.s.run(100);
	c.wave(1, 1, 4, 2);
	c.s.run(40000);
	EXPECT_TRUE(c.completed(1));
	EXPECT_EQ(4U, c.ncarried);
	EXPECT_EQ(4U, c.norders);
}

/* Guards against another machine that begins because a copy of an order was
 * refused, while an earlier copy is still carried out. */
TEST(Wave, ARefusedCopyDoesNotFreeThePlaceOfALateOne)
{
	Cloud c(11);
	std::string first;
	c.add(3);
	c.fault = [&](const std::string &name) {
		if (first.empty()) {
			first = name;
			return CARRY_LATE;
		}
		return name == first && c.begun.count(name) == 0 ? REFUSE
								 : CARRY_OUT;
	};
	c.s.lead();
	c.s.run(100);
	c.wave(1, 1, 3, 1);
	c.s.run(40000);
	EXPECT_TRUE(c.completed(1));
	EXPECT_EQ(3U, c.ncarried);
}

/* Guards against a wave that waits for a machine that has left, and against one
 * completed by a single list that misses a machine. */
TEST(Wave, AMachineThatLeavesIsNotWaitedFor)
{
	Cloud c(4);
	c.add(4);
	c.fault = [](const std::string &name) {
		return name == "m-2" ? REFUSE : CARRY_OUT;
	};
	c.s.lead();
	c.s.run(100);
	c.wave(1, 1, 4, 1);
	c.s.run(30000);
	EXPECT_FALSE(c.completed(1));
	EXPECT_EQ(3U, c.ncarried) << "one that is refused holds up the others";
	auto gone = c.machines.extract("m-2");
	while (c.s.now_ms - c.last_read_ms != 1)
		c.s.run(1);
	c.s.run(200);
	EXPECT_FALSE(c.completed(1)) << "one list without it";
	c.s.run(3000);
	EXPECT_FALSE(c.completed(1)) << "4 s without it";
	c.s.run(3000);
	EXPECT_TRUE(c.completed(1));
}

/* Guards against a refusal that ends a wave's attempts, counts as begun, or
 * blocks the other machines. */
TEST(Wave, RefusedOrdersAreRepeated)
{
	for (enum jcloud_result r :
	    { JCLOUD_BUSY, JCLOUD_FENCED, JCLOUD_NOT_MEMBER, JCLOUD_UNKNOWN,
		JCLOUD_LIMITED, JCLOUD_NOT_SENT }) {
		SCOPED_TRACE(r);
		Cloud c(5);
		c.add(3);
		c.result = r;
		c.fault = [](const std::string &) { return REFUSE; };
		c.s.lead();
		c.s.run(100);
		c.wave(1, 1, 3, 1);
		c.s.run(20000);
		EXPECT_EQ(0U, c.ncarried);
		EXPECT_EQ(0U, c.begun.size());
		EXPECT_FALSE(c.completed(1));
		/* At most five a second and machine. */
		EXPECT_LE(c.norders, 100U);
		EXPECT_GE(c.norders, 3U);
		c.fault = [](const std::string &) { return CARRY_OUT; };
		c.s.run(30000);
		EXPECT_TRUE(c.completed(1));
		EXPECT_EQ(3U, c.ncarried);
	}
}

/* Guards against orders that rest on an old list: the service answers no reads,
 * or answers them slowly. */
TEST(Wave, NoOrderWithoutARecentList)
{
	Cloud c(6);
	c.add(3);
	c.is_silent = true;
	c.s.lead();
	c.s.run(100);
	c.wave(1, 1, 3, 1);
	c.s.run(10000);
	EXPECT_EQ(0U, c.norders);
	EXPECT_LE(c.nreads, 11U);
	c.is_silent = false;
	c.read_ms = 900;
	c.result = JCLOUD_NOT_MEMBER;
	c.fault = [](const std::string &) { return REFUSE; };
	while (c.norders == 0)
		c.s.run(1);
	c.is_silent = true;
	/* A list that took 900 ms decides for as much longer. */
	c.s.run(3900);
	unsigned norders = c.norders;
	c.s.run(10000);
	EXPECT_EQ(norders, c.norders);
	c.is_silent = false;
	c.fault = [](const std::string &) { return CARRY_OUT; };
	c.s.run(40000);
	EXPECT_TRUE(c.completed(1));
}

/* Guards against a start on a machine that is about to be maintained, and
 * against a short task that is lost although it would have ended soon. */
TEST(Wave, ShortTasksEndFirst)
{
	Cloud c(7);
	c.add(2);
	c.s.run_time_ms = [](const SimTask &) { return 900; };
	c.s.lead();
	c.s.run(3500);
	c.wave(1, 1, 2, 1);
	/* More than the machines can do. */
	for (uint64_t j = 1; j <= 100; j++) {
		c.s.submit(j, "batch", { JobSim::step(4, 1000, 900) });
		c.s.run(200);
	}
	c.s.run(40000);
	EXPECT_TRUE(c.completed(1));
	for (uint64_t j = 1; j <= 100; j++)
		EXPECT_EQ(JST_COMPLETED, c.s.state(j)) << j;
	for (auto &x : c.s.starts)
		EXPECT_EQ(1, x.second) << "a task was lost to the order";
}

/* Guards against an order that ends a task of a step that may miss none, and
 * against a wave that doesn't begin the machines that it may. */
TEST(Wave, MayMissHoldsMachinesBack)
{
	Cloud c(8);
	c.add(2);
	c.machines["m-3"].num = c.s.add_worker(1000);
	c.s.lead();
	c.s.run(3500);
	/* One task on each machine, and no room elsewhere. */
	c.s.submit(1, "batch", { lasting(2, 7000, 0) });
	c.s.run(1000);
	c.wave(1, 1, 3, 3, 10000);
	c.s.run(15000);
	EXPECT_EQ(1U, c.ncarried) << "only the empty one";
	EXPECT_FALSE(c.completed(1));
	c.s.cancel(1);
	c.s.run(20000);
	EXPECT_TRUE(c.completed(1));
}

/* Guards against several orders that each keep to may_miss and together don't,
 * and against one that comes before the tasks ended by the last are back. */
TEST(Wave, MayMissCountsTasksEndedByOtherOrders)
{
	Cloud c(9);
	c.add(6);
	c.s.lead();
	c.s.run(3500);
	c.s.submit(1, "batch", { lasting(5, 5000, 1) });
	c.s.run(1000);
	c.wave(1, 1, 6, 6, 60000);
	c.s.run(80000);
	EXPECT_TRUE(c.completed(1));
	EXPECT_EQ(6U, c.ncarried);
}

/* Guards against an order that rests on what was true when it was recorded: a
 * task elsewhere was lost since. */
TEST(Wave, MayMissIsCheckedAgainBeforeTheOrder)
{
	Cloud c(12);
	c.add(2);
	c.s.lead();
	c.s.run(3500);
	c.s.submit(1, "batch", { lasting(2, 7000, 1) });
	c.s.run(1000);
	c.s.commit_ms = 4000;
	c.wave(1, 1, 1, 1);
	auto *w = jst_find_wave(&c.s.st, 1);
	while (
	    w->notes == NULL || !((struct jl_wave_note *)w->notes)[0].recording)
		c.s.run(1);
	c.s.crash(c.machines["m-2"].num);
	c.s.run(15000);
	EXPECT_EQ(0U, c.norders);
	c.s.cancel(1);
	c.s.run(20000);
	EXPECT_TRUE(c.completed(1));
}

/* Guards against a wave that waits for good for the tasks of a step that may
 * miss none although there is room for them elsewhere, or that moves several at
 * once. */
TEST(Wave, LongRunningTasksMoveFirst)
{
	Cloud c(13);
	c.add(5);
	c.s.lead();
	c.s.run(3500);
	c.s.submit(1, "batch", { lasting(4, 3000, 0) });
	c.s.submit(2, "batch", { lasting(4, 2000, 0) });
	c.s.run(1000);
	c.wave(1, 1, 5, 1, 120000);
	for (int i = 0; i < 12000 && !c.completed(1); i++) {
		c.s.run(10);
		for (uint64_t j = 1; j <= 2; j++) {
			auto *st =
			    jst_find_step(jst_find_job(&c.s.st, j), 0, 0);
			ASSERT_LE(c.absent(st, 0), 1U) << c.s.now_ms;
		}
	}
	EXPECT_TRUE(c.completed(1));
	EXPECT_EQ(5U, c.ncarried);
}

/* Guards against the work of a checkpointing task that is lost to the order. */
TEST(Wave, CheckpointingTasksAreStoppedFirst)
{
	Cloud c(14);
	Job__Step st = JobSim::step(1, 1000, 60000);
	c.add(2);
	c.s.run_time_ms = [](const SimTask &) { return 60000; };
	c.s.lead();
	c.s.run(3500);
	st.has_checkpoints = st.checkpoints = 1;
	c.s.submit(1, "batch", { st });
	c.s.run(1000);
	c.wave(1, 1, 2, 1);
	uint64_t stops = ctr_get(&c.s.ctr, JCTR_STOPS);
	c.s.run(30000);
	EXPECT_TRUE(c.completed(1));
	EXPECT_GT(ctr_get(&c.s.ctr, JCTR_STOPS), stops);
	EXPECT_EQ(0U, ctr_get(&c.s.ctr, JCTR_ENDS_GONE));
}

/* Guards against tasks that wait for the lease of a worker which an order has
 * ended: 6 s and more. */
TEST(Wave, TasksEndedByAnOrderComeBackAtOnce)
{
	Cloud c(15);
	c.add(1);
	c.machines["m-2"].num = c.s.add_worker(1000);
	c.s.lead();
	c.s.run(3500);
	c.s.submit(1, "batch", { lasting(1, 7000, 1) });
	c.s.run(1000);
	c.wave(1, 1, 1, 1, 5000);
	while (c.ncarried == 0)
		c.s.run(1);
	c.s.run(MAINTENANCE_MS + 500);
	EXPECT_EQ(
	    0U, c.absent(jst_find_step(jst_find_job(&c.s.st, 1), 0, 0), 0));
}

/* Guards against waves that complete because the service gives empty lists. */
TEST(Wave, EmptyListsCompleteNothing)
{
	Cloud c(16);
	c.add(3);
	c.is_empty = true;
	c.s.lead();
	c.s.run(100);
	c.wave(1, 1, 3, 1);
	c.s.run(10000);
	EXPECT_FALSE(c.completed(1));
	c.is_empty = false;
	c.s.run(30000);
	EXPECT_TRUE(c.completed(1));
	EXPECT_EQ(3U, c.ncarried);
}

} // namespace
