#include "job/tests/pool_sim.h"

/* Moves between pools: when machines move, and which. */

namespace {

/* Guards against tasks that wait although a spare pool has machines, more
 * machines moved than they need, and a machine that stays after they ended. */
TEST(Pool, SpareMachinesComeAndGoBack)
{
	Pools c(1);
	c.add("svc", 1);
	c.add("spare", 6);
	c.lead();
	EXPECT_EQ(0U, c.nreads);
	c.load(1, "svc", 3, 20000);
	c.s.run(1900);
	EXPECT_EQ(0U, c.s.st.nmoves) << "before 2 s";
	c.s.run(8000);
	EXPECT_EQ(2U, c.moves.size());
	EXPECT_EQ(3, (int)c.s.starts.size());
	c.s.run(33000);
	EXPECT_EQ(2U, c.moves.size()) << "empty for less than 30 s";
	c.s.run(42000);
	EXPECT_EQ(4U, c.moves.size());
	EXPECT_EQ(6U, c.count("spare"));
	c.s.run(40000);
	EXPECT_EQ(0U, c.s.st.nmoves) << "all is forgotten";
	unsigned reads = c.nreads;
	c.s.run(5000);
	EXPECT_EQ(reads, c.nreads) << "no move is open";
}

/* Guards against moves for tasks that would start sooner without them, by
 * declared times, and for tasks that no machine fits. */
TEST(Pool, NoMoveThatDoesntHelp)
{
	for (int i = 0; i < 3; i++) {
		SCOPED_TRACE(i);
		Pools c(2);
		c.add("svc", 1);
		c.add("spare", 2);
		c.lead();
		/* Two tasks in turn, of 4 s each: the second one starts 2 s
		 * after it has waited for 2 s. */
		if (i == 0)
			c.load(1, "svc", 2, 4000);
		else if (i == 1)
			c.load(1, "svc", 1, 60000, 9000);
		else {
			Job__Step st = JobSim::step(1, 1000);
			c.load(2, "svc", 1);
			c.s.run(100);
			st.label = (char *)"b";
			c.s.submit(1, "svc", { st });
		}
		c.s.run(12000);
		EXPECT_EQ(0U, c.moves.size());
		EXPECT_EQ(0U, c.norders);
	}
}

/* Guards against a read of the list, of all machines, for tasks that have
 * waited for 2 s and start soon without a move. */
TEST(Pool, NothingIsReadForTasksThatStartSoon)
{
	Pools c(2);
	c.add("svc", 1);
	c.add("spare", 2);
	c.lead();
	c.load(1, "svc", 2, 4000);
	c.s.run(12000);
	EXPECT_EQ(2U, c.s.starts.size());
	EXPECT_EQ(0U, c.nreads);
}

/* Guards against a service whose many waiting steps, which no machine fits,
 * keep those of another service from being looked at. */
TEST(Pool, ManyStepsHideNoOtherService)
{
	Pools c(11);
	c.add("svc", 1);
	c.add("other", 1);
	c.add("spare", 2);
	c.lead();
	for (uint64_t i = 1; i <= 80; i++) {
		Job__Step st = JobSim::step(1, 1000);
		st.label = (char *)"b";
		c.s.submit(i, "svc", { st });
	}
	c.load(100, "other", 2);
	c.s.run(8000);
	EXPECT_EQ(1U, c.moves.size());
}

/* Guards against a service that gives away what its own waiting tasks, or an
 * eighth of what runs there, need; and one that gives machines with work. */
TEST(Pool, AServiceKeepsWhatItNeeds)
{
	Pools c(3, false);
	c.add("svc", 1);
	c.add("other", 10);
	c.lead();
	c.load(1, "other", 6);
	c.s.run(200);
	c.load(2, "svc", 20);
	c.s.run(20000);
	/* 4 of 10 are empty; an eighth of 6 is one machine. */
	EXPECT_EQ(3U, c.moves.size());
}

/* Guards against a machine of a service moved although a spare one fits, and
 * against more than four open moves. */
TEST(Pool, SpareMachinesFirstAndFourAtOnce)
{
	Pools c(4);
	c.add("other", 9);
	c.add("svc", 1);
	c.add("spare", 6);
	c.fault = [](const std::string &) { return CARRY_LATE; };
	c.lead();
	c.load(1, "svc", 8);
	c.s.run(40000);
	ASSERT_EQ(7U, c.moves.size());
	EXPECT_EQ(4U, c.most_open);
	EXPECT_EQ(0U, c.count("spare"));
	EXPECT_EQ(8U, c.count("other"));
}

/* Guards against one service that gets all machines while two are short, and
 * against services that are short and give machines to each other. */
TEST(Pool, TwoServicesShortAtOnce)
{
	Pools c(5);
	c.add("svc", 2);
	c.add("other", 2);
	c.add("spare", 4);
	c.lead();
	c.load(1, "svc", 12);
	c.load(2, "other", 12);
	c.s.run(20000);
	EXPECT_EQ(4U, c.moves.size());
	EXPECT_EQ(4U, c.count("svc"));
	EXPECT_EQ(4U, c.count("other"));
}

/* Guards against machines that move back and forth with a load that alternates
 * between two services, also when the leader changes. */
TEST(Pool, AnAlternatingLoadMovesNothingBack)
{
	for (bool changes : { false, true }) {
		SCOPED_TRACE(changes);
		Pools c(6, false);
		c.add("svc", 4);
		c.add("other", 4);
		c.lead();
		for (uint64_t i = 0; i < 16; i++) {
			c.load(i + 1, i % 2 == 0 ? "svc" : "other", 6, 5500);
			c.s.run(6000);
			if (changes && i % 3 == 2)
				c.s.lead();
		}
		EXPECT_LE(c.moves.size(), 2U);
	}
}

/* Guards against calls or other decisions where the configuration has only one
 * service. */
TEST(Pool, NothingIsReadWithOneService)
{
	Pools c(7);
	c.config(3, { "svc" }, false);
	c.add("svc", 1);
	c.add("spare", 3);
	c.lead();
	c.load(1, "svc", 5, 60000);
	c.s.run(10000);
	EXPECT_EQ(0U, c.nreads);
	EXPECT_EQ(0U, c.s.st.nmoves);
	EXPECT_EQ(0U, g_hash_table_size(c.s.jl.pools->peaks))
	    << "no worker is visited";
}

/* Guards against a moved machine that is in a wave, or in an evacuated domain,
 * or draining. */
TEST(Pool, OnlyFreeMachinesMove)
{
	for (int i = 0; i < 4; i++) {
		SCOPED_TRACE(i);
		Pools c(8, false);
		c.add("svc", 1);
		c.s.new_zone = "y";
		c.add("other", 1);
		c.lead();
		if (i == 1)
			c.s.evacuate("y");
		if (i == 2)
			c.s.drain(c.machines["m-2"].num);
		c.load(1, "svc", 3);
		if (i == 3)
			c.wave("m-2");
		c.s.run(8000);
		EXPECT_EQ(i == 0 ? 1U : 0U, c.moves.size());
	}
}

/* Guards against a spare machine that is moved although its domain is under
 * evacuation. */
TEST(Pool, NoSpareMachineOfAnEvacuatedDomain)
{
	Pools c(9);
	c.add("svc", 1);
	c.add("spare", 2);
	c.machines["m-2"].zone = "y";
	c.lead();
	c.s.evacuate("y");
	c.load(1, "svc", 3);
	c.s.run(8000);
	EXPECT_EQ((std::vector<std::string>{ "m-3 svc" }), c.moves);
}

/* Guards against a moved machine on which the plan keeps a place. */
TEST(Pool, NoMachineWithAReservation)
{
	Pools c(10, false);
	c.add("svc", 1);
	c.add("other", 1);
	c.lead();
	c.load(1, "svc", 2);
	c.run_until_recorded();
	auto *s = jl_wave_find_seen(c.s.jl.waves, "m-2");
	auto *k = &c.s.jl.plan_workers[c.session("m-2")->plan_index];
	EXPECT_TRUE(jl_pool_may_move(&c.s.jl, "m-2", s));
	k->reserved = true;
	EXPECT_FALSE(jl_pool_may_move(&c.s.jl, "m-2", s));
	k->reserved = false;
	k->hold.start_ms = 1;
	EXPECT_FALSE(jl_pool_may_move(&c.s.jl, "m-2", s));
	k->hold.start_ms = 0;
}

/* Guards against a move that a restart of all replicas, or a slow step of an
 * earlier move, loses or undoes. */
TEST(Pool, RecordsSurviveASnapshot)
{
	struct jst a, b;
	struct jst_result r;
	Job__Command c = JOB__COMMAND__INIT;
	Job__Move m = JOB__MOVE__INIT;
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct err e;
	char name[] = "m-1", spare[] = "spare", svc[] = "svc",
	     other[] = "other", worker[] = "i-1";
	auto apply = [&](char *from, char *to, Job__MoveState st) {
		m.from = from;
		m.to = to;
		m.state = st;
		m.at_ms++;
		jst_apply(&a, &c, &r);
		return r.status;
	};
	jst_init(&a);
	jst_init(&b);
	m.machine = name;
	m.home = spare;
	m.worker = worker;
	c.move = &m;
	EXPECT_EQ(
	    STATUS_NOT_FOUND, apply(spare, svc, JOB__MOVE_STATE__MOVE_DONE));
	EXPECT_EQ(STATUS_OK, apply(spare, svc, JOB__MOVE_STATE__MOVE_BEGUN));
	EXPECT_EQ(
	    STATUS_EXISTS, apply(spare, other, JOB__MOVE_STATE__MOVE_BEGUN));
	EXPECT_EQ(
	    STATUS_STALE, apply(spare, other, JOB__MOVE_STATE__MOVE_FORGOTTEN));
	EXPECT_EQ(STATUS_OK, apply(spare, svc, JOB__MOVE_STATE__MOVE_DONE));
	/* Given up, it is still away from its spare pool. */
	EXPECT_EQ(STATUS_OK, apply(svc, other, JOB__MOVE_STATE__MOVE_BEGUN));
	EXPECT_EQ(
	    STATUS_OK, apply(svc, other, JOB__MOVE_STATE__MOVE_FORGOTTEN));
	ASSERT_EQ(STATUS_OK, jst_unpack(&b, jst_pack(&a, ctx), &e));
	ASSERT_EQ(1U, b.nmoves);
	EXPECT_STREQ("svc", b.moves[0]->to);
	EXPECT_STREQ("spare", b.moves[0]->home);
	EXPECT_STREQ("i-1", b.moves[0]->worker);
	EXPECT_EQ(JOB__MOVE_STATE__MOVE_DONE, b.moves[0]->state);
	EXPECT_EQ(m.at_ms, b.moves[0]->at_ms);
	EXPECT_EQ(
	    STATUS_OK, apply(spare, svc, JOB__MOVE_STATE__MOVE_FORGOTTEN));
	EXPECT_EQ(0U, a.nmoves);
	jst_finish(&a);
	jst_finish(&b);
	talloc_free(ctx);
}

} // namespace
