#include "job/tests/pool_sim.h"

/* Moves whose orders, machines or leaders fail halfway. */

namespace {

/* Starts a shortage of one machine, which m-2 of the other service can end. */
struct Shortage : Pools {
	explicit Shortage(uint64_t seed) : Pools(seed, false)
	{
		add("svc", 1);
		add("other", 1);
		lead();
		load(1, "svc", 2);
	}
};

/* Guards against a move that a new leader forgets, repeats too early, or orders
 * for another machine, whether its order was sent or not. */
TEST(PoolFail, ALeaderChangesAroundAnOrder)
{
	for (int64_t after_ms = 0; after_ms < 40; after_ms += 4) {
		for (order_fault f : { CARRY_OUT, CARRY_LATE, LOSE_ORDER }) {
			SCOPED_TRACE(
			    testing::Message() << after_ms << " " << f);
			Shortage c((uint64_t)after_ms + 10);
			c.add("other", 2);
			c.fault = [&](const std::string &) {
				return c.norders == 1 ? f : CARRY_OUT;
			};
			c.run_until_recorded();
			c.s.run(after_ms);
			c.s.lead();
			c.s.run(HOLDER_WAIT_MS / 2);
			c.s.lead();
			c.s.run(25000);
			EXPECT_EQ(1U, c.moves.size());
			EXPECT_EQ(2U, c.s.starts.size());
		}
	}
}

/* Guards against an order without an answer that is carried out late and ends
 * work: its worker gets none while that is possible, also once the shortage is
 * over, and from a new leader. */
TEST(PoolFail, ALateOrderEndsNoWork)
{
	for (bool changes : { false, true }) {
		SCOPED_TRACE(changes);
		Shortage c(20);
		c.fault = [](const std::string &) { return CARRY_LATE; };
		c.run_until_ordered();
		c.s.cancel(1);
		c.load(2, "other", 1, 1000);
		if (changes)
			c.s.lead();
		c.s.run(30000);
		EXPECT_EQ(1U, c.moves.size());
		EXPECT_EQ(1U, c.norders);
	}
}

/* Guards against a worker that stays closed for good after an order without an
 * answer that is never carried out, also if the platform doesn't answer. */
TEST(PoolFail, AnOrderThatIsLostOpensItsWorker)
{
	for (bool silent : { false, true }) {
		SCOPED_TRACE(silent);
		Shortage c(21);
		c.fault = [](const std::string &) { return LOSE_ORDER; };
		c.run_until_ordered();
		c.is_silent = silent;
		c.s.cancel(1);
		c.load(2, "other", 1, 1000);
		c.s.run(11000);
		EXPECT_EQ(0U, c.s.starts.count({ 2, 0, 0, 0 }));
		c.s.run(6000);
		EXPECT_EQ(1U, c.s.starts.count({ 2, 0, 0, 0 }));
		c.is_silent = false;
		c.s.run(10000);
		EXPECT_EQ(0U, c.s.st.nmoves);
	}
}

/* Guards against a refused machine that is tried again and again while another
 * one fits, and against a worker that stays closed after a refusal. */
TEST(PoolFail, ARefusedMachineGivesWay)
{
	for (enum jcloud_result r :
	    { JCLOUD_BUSY, JCLOUD_FENCED, JCLOUD_LIMITED, JCLOUD_NOT_SENT }) {
		SCOPED_TRACE(r);
		Shortage c(22);
		std::string refused;
		c.add("other", 1);
		c.result = r;
		c.fault = [&](const std::string &name) {
			if (refused.empty())
				refused = name;
			return name == refused ? REFUSE : CARRY_OUT;
		};
		c.s.run(14000);
		EXPECT_EQ(1U, c.moves.size());
		EXPECT_LE(c.norders, 6U);
		for (size_t i = 1; i < c.refusal_times.size(); i++)
			EXPECT_GE(
			    c.refusal_times[i] - c.refusal_times[i - 1], 200);
		c.load(3, "other", 1, 1000);
		c.s.run(1000);
		EXPECT_EQ(1U, c.s.starts.count({ 3, 0, 0, 0 }));
	}
}

/* Guards against a pair of pools that is tried again within 60 s of a 400, and
 * against one that isn't tried again after. */
TEST(PoolFail, ARefusedPairOfPoolsRests)
{
	Pools c(23);
	int64_t refused_ms = 0;
	c.add("svc", 1);
	c.add("spare", 3);
	c.result = JCLOUD_UNKNOWN;
	c.fault = [](const std::string &) { return REFUSE; };
	c.lead();
	c.load(1, "svc", 2, 300000);
	c.run_until_ordered();
	refused_ms = c.s.now_ms;
	c.s.run(59000);
	EXPECT_EQ(1U, c.norders);
	c.fault = [](const std::string &) { return CARRY_OUT; };
	c.s.run(5000);
	EXPECT_EQ(1U, c.moves.size());
	EXPECT_GE(c.machines[c.moves[0].substr(0, 3)].moved_ms + 1000,
	    refused_ms + 60000);
}

/* Guards against a move without a list, or a worker that stays closed, while
 * the platform doesn't answer. */
TEST(PoolFail, ThePlatformDoesntAnswer)
{
	Shortage c(24);
	c.run_until_recorded();
	c.is_silent = true;
	c.s.jl.waves->list_ms -= 10000;
	c.s.run(9000);
	EXPECT_EQ(0U, c.norders);
	EXPECT_EQ(1U, c.s.st.nmoves);
	c.s.run(4000);
	EXPECT_EQ(0U, c.s.st.nmoves);
	EXPECT_FALSE(c.session("m-2")->awaits_move);
	c.is_silent = false;
	c.s.run(8000);
	EXPECT_EQ(1U, c.moves.size());
}

/* Guards against an order for a machine that got work, began to drain, or whose
 * domain was evacuated since its move was recorded. */
TEST(PoolFail, AMachineIsCheckedBeforeItsOrder)
{
	for (int i = 0; i < 3; i++) {
		SCOPED_TRACE(i);
		Shortage c(25);
		c.s.jl.waves->is_order_refused = true; /* orders wait */
		c.run_until_recorded();
		if (i == 0) {
			/* An assignment that was proposed before. */
			c.load(2, "other", 1, 60000, 100);
			c.s.assign({ 2, 0, 0, 0 }, 1, c.machines["m-2"].num);
		} else if (i == 1) {
			c.s.drain(c.machines["m-2"].num);
		} else {
			c.s.evacuate("z");
		}
		c.s.jl.waves->is_order_refused = false;
		c.s.run(8000);
		EXPECT_EQ(0U, c.norders);
		EXPECT_EQ(0U, c.s.st.nmoves);
	}
}

/* Guards against new work on a machine whose move is recorded. */
TEST(PoolFail, AMachineIsClosedBeforeItsMoveIsRecorded)
{
	Shortage c(26);
	c.s.commit_ms = 300;
	while (c.s.jl.pools->notes == NULL ||
	    g_hash_table_size(c.s.jl.pools->notes) == 0)
		c.s.run(1);
	ASSERT_EQ(0U, c.s.st.nmoves) << "being recorded";
	c.load(2, "other", 1, 1000);
	c.s.run(3000);
	EXPECT_EQ(1U, c.moves.size());
}

/* Guards against a record that stays for good when its machine leaves. */
TEST(PoolFail, AMachineLeaves)
{
	for (order_fault f : { LOSE_ORDER, REFUSE }) {
		SCOPED_TRACE(f);
		Shortage c(27);
		c.result = JCLOUD_LIMITED;
		c.fault = [=](const std::string &) { return f; };
		c.run_until_ordered();
		c.s.crash(c.machines["m-2"].num);
		c.machines.erase("m-2");
		c.s.run(12000);
		EXPECT_EQ(0U, c.s.st.nmoves);
	}
}

/* Guards against an order to a pool that the configuration has dropped, and a
 * record or a closed worker that stays because of it. */
TEST(PoolFail, TheConfigurationDropsAPool)
{
	for (order_fault f : { CARRY_OUT, LOSE_ORDER, CARRY_LATE, REFUSE }) {
		SCOPED_TRACE(f);
		Shortage c(28);
		c.fault = [=](const std::string &) { return f; };
		if (f == CARRY_OUT || f == REFUSE)
			c.run_until_recorded();
		else
			c.run_until_ordered();
		unsigned n = c.norders;
		/* The pool that the machine goes to, or the one it is in. */
		c.config(3, { f == REFUSE ? "svc" : "other" }, false);
		c.s.run(20000);
		EXPECT_EQ(n, c.norders);
		EXPECT_EQ(f == CARRY_LATE ? 1U : 0U, c.moves.size());
		c.s.run(30000);
		EXPECT_EQ(0U, c.s.st.nmoves);
		if (f != CARRY_LATE) {
			EXPECT_FALSE(c.session("m-2")->awaits_move);
		}
	}
}

/* Guards against a machine moved for a shortage that ended before the order,
 * and a worker that stays closed then. */
TEST(PoolFail, AShortageEndsBeforeTheOrder)
{
	Shortage c(29);
	c.run_until_recorded();
	c.s.cancel(1);
	c.s.run(3000);
	EXPECT_EQ(0U, c.norders);
	EXPECT_EQ(0U, c.s.st.nmoves);
	EXPECT_FALSE(c.session("m-2")->awaits_move);
}

/* Guards against an order of maintenance for a machine with an open move. */
TEST(PoolFail, AWaveWaitsForAnOpenMove)
{
	Shortage c(30);
	c.fault = [](const std::string &) { return CARRY_LATE; };
	c.run_until_ordered();
	EXPECT_TRUE(jl_pool_has_open(&c.s.jl, "m-2"));
	c.wave("m-2");
	c.s.run(3500);
	EXPECT_EQ(JST_WAVE_WAITING, jst_find_wave(&c.s.st, 1)->states[0]);
	EXPECT_EQ(0U, jst_find_wave(&c.s.st, 1)->orders[0].attempt);
	c.s.run(10000);
	EXPECT_EQ(1U, c.moves.size());
	EXPECT_FALSE(jl_pool_has_open(&c.s.jl, "m-2"));
}

/* Guards against moves that use up the budget while an order of maintenance
 * waits for it. */
TEST(PoolFail, OrdersOfMaintenanceComeFirst)
{
	Pools c(31, false);
	c.add("svc", 1);
	c.add("other", 3);
	c.lead();
	c.lacks_budget = true;
	c.wave("m-4");
	c.s.run(2000);
	c.load(1, "svc", 2);
	c.run_until_recorded();
	c.s.run(3000);
	EXPECT_EQ(0U, c.norders);
	c.lacks_budget = false;
	c.s.run(3000);
	EXPECT_EQ(1U, c.norders);
}

/* Guards against an order that is repeated because of a list that was requested
 * before it. */
TEST(PoolFail, AnOlderListDecidesNothing)
{
	Shortage c(33);
	c.fault = [](const std::string &) { return CARRY_LATE; };
	c.s.jl.waves->is_order_refused = true; /* orders wait */
	c.run_until_recorded();
	unsigned reads = c.nreads;
	while (c.nreads == reads)
		c.s.run(1);
	c.s.run(20);
	c.is_silent = true;
	c.s.jl.waves->is_order_refused = false;
	c.s.run(2500);
	EXPECT_EQ(1U, c.norders);
	c.is_silent = false;
	c.s.run(5000);
	EXPECT_EQ(1U, c.moves.size());
	EXPECT_EQ(JOB__MOVE_STATE__MOVE_DONE, c.s.st.moves[0]->state);
}

/* Guards against a second machine for the same task while the first one's new
 * worker isn't there yet, with an answer or without one. */
TEST(PoolFail, AMachineOnItsWayCounts)
{
	for (order_fault f : { CARRY_OUT, LOSE_ANSWER }) {
		SCOPED_TRACE(f);
		Shortage c(32);
		c.add("other", 4);
		c.fault = [=](const std::string &) { return f; };
		c.s.run(30000);
		EXPECT_EQ(1U, c.moves.size());
	}
}

/* Guards against maintenance that is recorded for a machine on its way to
 * another pool, with the worker that its move has ended: the list read before
 * the move still shows it as up. */
TEST(PoolFail, AWaveWaitsForAMachineOnItsWay)
{
	Shortage c(34);
	c.run_until_ordered();
	while (c.s.st.moves[0]->state == JOB__MOVE_STATE__MOVE_BEGUN)
		c.s.run(1);
	c.wave("m-2");
	while (c.machines["m-2"].state == JCLOUD_MOVING) {
		c.s.run(1);
		ASSERT_EQ(
		    JST_WAVE_WAITING, jst_find_wave(&c.s.st, 1)->states[0]);
	}
}

/* Guards against a moved machine that counts as on its way after its worker has
 * joined, for lack of a new list: a task that waits then would get its machine
 * seconds later. */
TEST(PoolFail, AMachineThatHasJoinedIsNotOnItsWay)
{
	Shortage c(35);
	c.add("other", 4);
	for (int i = 0; i < 10000 && c.s.starts.size() < 2; i++)
		c.s.run(1);
	ASSERT_EQ(2U, c.s.starts.size());
	c.load(2, "svc", 1);
	c.s.run(4500);
	EXPECT_EQ(2U, c.moves.size());
}

} // namespace
