#include "job/tests/wave_sim.h"

/* Waves whose orders, machines or leaders fail halfway. */

namespace {

/* Lets a copy of a refused order be carried out before the next attempt, so
 * that this one records the worker that has joined since. */
void
carry_out_between_attempts(Cloud &c)
{
	c.fault = [&](const std::string &) {
		return c.norders == 1 ? REFUSE : CARRY_OUT;
	};
	while (c.norders == 0 || c.state(1, 0) != JST_WAVE_WAITING)
		c.s.run(1);
	c.carry_out("m-1", 1);
}

/* Guards against tasks that run twice: an order answered as already done ends
 * the runs of the worker that joined after it was carried out. */
TEST(Wave, ARepeatedAnswerEndsNoLivingWorker)
{
	Cloud c(17);
	c.add(1);
	c.s.run_time_ms = [](const SimTask &) { return 60000; };
	c.s.lead();
	c.s.run(3500);
	c.wave(1, 1, 1, 1, 5000);
	carry_out_between_attempts(c);
	c.s.run(MAINTENANCE_MS + 10);
	ASSERT_EQ(JCLOUD_UP, c.machines["m-1"].state);
	c.s.submit(1, "batch", { JobSim::step(1, 1000, 60000) });
	c.s.run(10000);
	EXPECT_TRUE(c.completed(1));
	EXPECT_EQ(2U, c.norders);
	ASSERT_EQ(1U, c.s.starts.size());
	EXPECT_EQ(1, c.s.starts.begin()->second);
	EXPECT_EQ(0U, ctr_get(&c.s.ctr, JCTR_ENDS_GONE));
}

/* Guards against a machine that counts as down for good because its worker is
 * still the one recorded. */
TEST(Wave, AMachineThatIsBackWithItsRecordedWorkerFreesItsPlace)
{
	Cloud c(18);
	c.add(2);
	c.s.lead();
	c.s.run(3500);
	c.machines["m-2"].state = JCLOUD_MOVING;
	c.wave(1, 1, 2, 1, 120000);
	carry_out_between_attempts(c);
	c.s.run(MAINTENANCE_MS + 1500);
	EXPECT_EQ(JST_WAVE_DONE, c.state(1, 0));
	c.machines["m-2"].state = JCLOUD_UP;
	c.s.run(60000);
	EXPECT_TRUE(c.completed(1));
	EXPECT_EQ(2U, c.ncarried);
}

/* Guards against a wave that takes the maintenance by an earlier, completed
 * wave for its own, when its own order was refused or lost. */
TEST(Wave, MaintenanceOfACompletedWaveProvesNothing)
{
	for (order_fault f : { REFUSE, LOSE_ORDER }) {
		SCOPED_TRACE(f);
		Cloud c(19);
		c.add(2);
		c.result = JCLOUD_LIMITED;
		c.fault = [&](const std::string &) {
			return c.norders == 2 ? f : CARRY_OUT;
		};
		c.s.lead();
		c.s.run(3500);
		c.wave(1, 1, 1, 1);
		while (!c.completed(1))
			c.s.run(1);
		c.wave(2, 1, 1, 1);
		for (int i = 0; i < 30000; i++) {
			c.s.run(1);
			ASSERT_TRUE(!c.completed(2) ||
			    c.machines["m-1"].waves.count(2) > 0)
			    << c.s.now_ms;
		}
		EXPECT_TRUE(c.completed(1));
		EXPECT_TRUE(c.completed(2));
	}
}

/* Guards against a machine that fails after it was recorded and keeps the place
 * of others, with its order lost or not sent. */
TEST(Wave, AMachineThatFailsAfterItsRecordFreesItsPlace)
{
	for (order_fault f : { LOSE_ORDER, REFUSE }) {
		SCOPED_TRACE(f);
		Cloud c(20);
		c.add(3);
		c.result = JCLOUD_NOT_SENT;
		c.fault = [&](const std::string &) {
			return c.norders == 1 ? f : CARRY_OUT;
		};
		c.s.lead();
		c.s.run(3500);
		c.wave(1, 1, 3, 1);
		while (c.norders == 0)
			c.s.run(1);
		c.machines["m-1"].state = JCLOUD_DOWN;
		c.s.crash(c.machines["m-1"].num);
		c.s.run(35000);
		EXPECT_EQ(2U, c.ncarried) << "the others";
		EXPECT_FALSE(c.completed(1));
		c.machines["m-1"].num = c.s.add_worker(8000);
		c.machines["m-1"].state = JCLOUD_UP;
		c.s.run(15000);
		EXPECT_TRUE(c.completed(1));
		EXPECT_EQ(3U, c.ncarried);
	}
}

/* Guards against a machine that is recorded, then held back by may_miss, and
 * keeps the place of others. */
TEST(Wave, AMachineHeldBackAfterItsRecordFreesItsPlace)
{
	Cloud c(21);
	c.add(2);
	c.machines["m-3"].num = c.s.add_worker(1000);
	c.s.lead();
	c.s.run(3500);
	c.s.submit(1, "batch", { lasting(2, 7000, 1) });
	c.s.run(1000);
	c.s.commit_ms = 4000;
	c.machines["m-3"].state = JCLOUD_MOVING;
	c.wave_of(1, { 1, 3 }, 1, 60000);
	auto *w = jst_find_wave(&c.s.st, 1);
	while (
	    w->notes == NULL || !((struct jl_wave_note *)w->notes)[0].recording)
		c.s.run(1);
	c.s.crash(c.machines["m-2"].num);
	c.machines["m-3"].state = JCLOUD_UP;
	c.s.run(40000);
	EXPECT_EQ(0U, c.begun.count("m-1"));
	EXPECT_EQ(1U, c.begun.count("m-3"));
	c.s.cancel(1);
	c.s.run(40000);
	EXPECT_TRUE(c.completed(1));
}

/* Guards against a machine whose orders fail for good and that keeps the place
 * of others. */
TEST(Wave, AMachineWhoseOrdersFailFreesItsPlace)
{
	for (enum jcloud_result r :
	    { JCLOUD_FENCED, JCLOUD_LIMITED, JCLOUD_NOT_SENT }) {
		SCOPED_TRACE(r);
		Cloud c(22);
		c.add(3);
		c.result = r;
		c.fault = [](const std::string &name) {
			return name == "m-1" ? REFUSE : CARRY_OUT;
		};
		c.s.lead();
		c.s.run(3500);
		c.wave(1, 1, 3, 1);
		c.s.run(40000);
		EXPECT_EQ(2U, c.ncarried);
	}
}

/* Guards against a machine that stays closed for good while max_down others are
 * down: its worker gets no tasks. */
TEST(Wave, AClosedMachineIsOpenedAgain)
{
	struct jwave_wave w = {};
	struct jwave_machine m[2] = {};
	w.max_down = 1;
	w.deadline_ms = 1000;
	m[0].phase = JWAVE_BEGUN;
	m[0].is_down = m[0].is_waiting = true;
	m[1].is_up = m[1].is_closed = true;
	jwave_choose(&w, 1, m, 2, NULL, JWAVE_SLOT_MAX_MS - 1);
	EXPECT_EQ(JWAVE_SLOT, m[1].choice);
	jwave_choose(&w, 1, m, 2, NULL, JWAVE_SLOT_MAX_MS);
	EXPECT_EQ(JWAVE_QUEUED, m[1].choice);
}

/* Guards against a wave that never completes because it names a machine twice,
 * and against two orders for that machine. */
TEST(Wave, AMachineNamedTwiceIsOrderedOnce)
{
	Cloud c(23);
	c.add(2);
	c.s.lead();
	c.s.run(3500);
	c.wave_of(1, { 1, 1, 2, 1 }, 1, 60000);
	c.s.run(20000);
	EXPECT_TRUE(c.completed(1));
	EXPECT_EQ(2U, c.norders);
}

/* Guards against a wave that waits for good because each list takes longer to
 * read than a list may be old. */
TEST(Wave, ListsThatTakeLongAreUsed)
{
	Cloud c(24);
	c.add(2);
	c.read_ms = 4000;
	c.s.lead();
	c.s.run(3500);
	c.wave(1, 1, 2, 1);
	c.s.run(60000);
	EXPECT_TRUE(c.completed(1));
	EXPECT_EQ(2U, c.ncarried);
}

/* Guards against fencing tokens that reach into those of the next term. */
TEST(Wave, NoOrderWithoutATokenOfItsTerm)
{
	Cloud c(25);
	c.add(2);
	c.s.lead();
	c.s.run(3500);
	c.wave(1, 1, 2, 1);
	c.s.jl.waves->norders = (UINT64_C(1) << JLEAD_FENCE_BITS) - 2;
	c.s.run(20000);
	EXPECT_EQ(1U, c.norders);
	EXPECT_FALSE(c.completed(1));
	c.s.lead();
	c.s.run(30000);
	EXPECT_TRUE(c.completed(1));
	EXPECT_EQ(2U, c.ncarried);
}

} // namespace
