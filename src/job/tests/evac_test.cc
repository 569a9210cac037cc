#include "job/tests/job_sim.h"

namespace {

/* Simulates workers of two domains; those of "a" get the first tasks, as they
 * have more free processors. */
class EvacSim : public JobSim {
      public:
	std::vector<uint64_t> in_a, in_b;

	explicit EvacSim(uint64_t seed) : JobSim(seed)
	{
		add("a", 16000, in_a);
		add("b", 8000, in_b);
		lead();
		run(200);
	}

	/* Adds three workers to a domain. */
	void add(const char *zone, uint32_t cpu, std::vector<uint64_t> &list)
	{
		new_zone = zone;
		for (int i = 0; i < 3; i++)
			list.push_back(add_worker(cpu));
	}

	/* Submits a long-running job. */
	void submit_lasting(uint64_t id, uint32_t count)
	{
		Job__Step lasting = step(count, 2000);
		lasting.has_lasting = lasting.lasting = 1;
		run_time_ms = [](const SimTask &) { return -1; };
		submit(id, "fast", { lasting });
	}

	/* Returns a worker of a domain that runs something, 0 if none does. */
	uint64_t find_busy(const std::vector<uint64_t> &list)
	{
		for (uint64_t num : list) {
			if (!workers[num].running.empty())
				return num;
		}
		return 0;
	}
};

/* Guards against new work in a domain under evacuation, against running tasks
 * that are stopped there, and against a domain that stays closed. */
TEST(JobEvac, NothingNewStartsThereAndWhatRunsGoesOn)
{
	EvacSim s(1);
	s.run_time_ms = [](const SimTask &) { return 3000; };
	s.submit(1, "batch", { JobSim::step(6, 2000) });
	s.run(500);
	ASSERT_EQ(6U, s.count_running("a"));
	s.evacuate("a");
	s.submit(2, "batch", { JobSim::step(6, 2000) });
	s.run(500);
	EXPECT_EQ(6U, s.count_running("a"));
	EXPECT_EQ(6U, s.count_running("b"));
	s.run(5000);
	EXPECT_EQ(0U, s.count_running("a"));
	for (auto &x : s.starts)
		EXPECT_EQ(1, x.second);
	s.evacuate("a", false);
	s.submit(3, "batch", { JobSim::step(6, 2000) });
	s.run(500);
	EXPECT_EQ(6U, s.count_running("a"));
}

/* Guards against a new leader that doesn't know of an evacuation, with the
 * state as it is or from a snapshot. */
TEST(JobEvac, ANewLeaderKeepsToIt)
{
	EvacSim s(2);
	s.evacuate("a");
	s.lead();
	s.submit(1, "batch", { JobSim::step(6, 2000) });
	s.run(2000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
	s.dark(100);
	s.reload();
	s.lead();
	s.submit(2, "batch", { JobSim::step(6, 2000) });
	s.run(2000);
	EXPECT_EQ(JST_COMPLETED, s.state(2));
	ASSERT_EQ(1U, s.st.nevacuations);
	EXPECT_STREQ("a", s.st.evacuations[0]->domain);
}

/* Guards against a start that was proposed before the order, and committed
 * after it. */
TEST(JobEvac, AStartThatWasProposedBeforeIsNotSent)
{
	EvacSim s(3);
	s.commit_ms = 300;
	s.submit(1, "batch", { JobSim::step(6, 2000) });
	s.run(100);
	s.evacuate("a");
	s.run(1000);
	EXPECT_EQ(0U, s.count_running("a"));
	EXPECT_EQ(6U, ctr_get(&s.ctr, JCTR_STARTS_EVACUATED));
	s.run(3000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
}

/* Guards against a start without an answer that is sent again after the order,
 * or whose task waits there. */
TEST(JobEvac, AStartWithoutAnAnswerIsStopped)
{
	EvacSim s(4);
	s.new_zone = "a";
	uint64_t big = s.add_worker(64000);
	s.run(200);
	s.drop_starts_to = big;
	s.submit(1, "batch", { JobSim::step(2, 12000) });
	s.run(100);
	s.evacuate("a");
	s.run(1500);
	s.drop_starts_to = 0;
	s.evacuate("b", true);
	EXPECT_EQ(0U, s.count_running("a"));
	EXPECT_LT(0U, ctr_get(&s.ctr, JCTR_STOPS));
	s.evacuate("a", false);
	s.run(4000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
}

/* Guards against an inherited start of an earlier leader that is sent again. */
TEST(JobEvac, AnInheritedStartIsNotSentAgain)
{
	EvacSim s(5);
	s.drop_starts_to = s.in_a[0];
	s.submit(1, "batch", { JobSim::step(1, 2000) });
	s.assign({ 1, 0, 0, 0 }, 1, s.in_a[0]);
	s.evacuate("a");
	s.lead();
	s.drop_starts_to = 0;
	s.run(4000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
	EXPECT_EQ(0U, s.count_running("a"));
}

/* Guards against work lost or started where it may not be, while two domains
 * are evacuated in turn, leaders change and calls are late. */
TEST(JobEvac, TwoDomainsInTurnUnderFaults)
{
	for (uint64_t seed = 1; seed <= 8; seed++) {
		EvacSim s(seed);
		s.late_rate = 0.05;
		s.loss_rate = 0.02;
		for (uint64_t j = 1; j <= 12; j++) {
			s.submit(j, "batch", { JobSim::step(4, 1500) });
			if (j == 3 || j == 8)
				s.evacuate("a");
			if (j == 5)
				s.evacuate("b");
			if (j == 7)
				s.evacuate("a", false);
			if (j == 10)
				s.evacuate("b", false);
			if (j % 4 == 0)
				s.lead();
			s.run(400);
		}
		s.late_rate = s.loss_rate = 0;
		s.evacuate("a", false);
		s.run(40000);
		for (uint64_t j = 1; j <= 12; j++)
			EXPECT_EQ(JST_COMPLETED, s.state(j)) << seed;
	}
}

/* Guards against a displaced long-running task that is placed, or for which a
 * worker is reserved, in a closed domain, though most is free there. */
TEST(JobEvac, ADisplacedTaskGoesToAnOpenDomain)
{
	EvacSim s(6);
	s.submit_lasting(1, 6);
	s.run(500);
	uint64_t lost = s.find_busy(s.in_a);
	ASSERT_NE(0U, lost);
	size_t in_a = s.count_running("a");
	size_t displaced = s.workers[lost].running.size();
	/* Until job 2 is done, there is room only in the closed domain. */
	s.run_time_ms = [](const SimTask &t) {
		return t.job == 1 ? -1 : 12000;
	};
	s.evacuate("a");
	s.submit(2, "fast", { JobSim::step(3, 7500) });
	s.run(500);
	ASSERT_EQ(3U, s.count_running("b"));
	s.crash(lost);
	s.run(JLEAD_LEASE_MS + 3000);
	EXPECT_EQ(in_a - displaced, s.count_running("a"));
	s.run(6000);
	EXPECT_EQ(in_a - displaced, s.count_running("a"));
	EXPECT_EQ(displaced, s.count_running("b"));
}

/* Guards against a reservation of a closed worker, which would keep the
 * displaced task waiting while an open one becomes free. */
TEST(JobEvac, NoClosedWorkerIsReserved)
{
	EvacSim s(7);
	s.submit_lasting(1, 1);
	s.run(300);
	uint64_t lost = s.find_busy(s.in_a);
	ASSERT_NE(0U, lost);
	s.run_time_ms = [](const SimTask &) { return 20000; };
	s.submit(2, "fast", { JobSim::step(40, 1800) });
	s.run(500);
	s.evacuate("a");
	s.crash(lost);
	s.run(JLEAD_LEASE_MS + 1500);
	for (size_t i = 0; i < s.jl.nsessions; i++)
		EXPECT_FALSE(s.jl.plan_sessions[i]->closed &&
		    s.jl.plan_workers[i].reserved);
	size_t reserved = 0;
	for (size_t i = 0; i < s.jl.nsessions; i++)
		reserved += s.jl.plan_workers[i].reserved;
	EXPECT_LT(0U, reserved);
}

/* A gang of which two members are in the closed domain and three are not, and
 * room for it elsewhere afterwards. */
class GangSim : public EvacSim {
      public:
	explicit GangSim(uint64_t seed) : EvacSim(seed)
	{
		gang_timeout_ms = 20000;
		commit_ms = 200;
		run_time_ms = [](const SimTask &t) {
			return t.job == 1 ? 60000 : 800;
		};
		submit(1, "batch", { JobSim::step(3, 10000) });
		run(1000);
		Job__Step gang = JobSim::step(5, 6000);
		gang.has_gang = gang.gang = 1;
		submit(2, "batch", { gang });
	}

	/* Closes the domain, makes room elsewhere, and expects the gang to be
	 * done long before its members give up waiting for each other. */
	void expect_done_elsewhere()
	{
		evacuate("a");
		add("b", 8000, in_b);
		run(6000);
		EXPECT_EQ(JST_COMPLETED, state(2));
		EXPECT_EQ(3U, count_running("a"));
	}
};

/* Guards against members of a gang that start and wait in vain for others that
 * were placed in a domain under evacuation: while all of them are proposed, and
 * while some are sent and have no answer. */
TEST(JobEvac, AGangOverTwoDomainsStartsElsewhere)
{
	GangSim proposed(8);
	proposed.run(100);
	proposed.expect_done_elsewhere();
	EXPECT_LT(0U, ctr_get(&proposed.ctr, JCTR_STARTS_EVACUATED));

	GangSim sent(9);
	for (uint64_t num : sent.in_a)
		sent.workers[num].unreachable = true;
	sent.run(300);
	for (uint64_t num : sent.in_a)
		sent.workers[num].unreachable = false;
	sent.expect_done_elsewhere();
}

/* Guards against the same with a new leader, which has inherited the members
 * and learns at different times which of them run. */
TEST(JobEvac, AnInheritedGangStartsAsAWholeElsewhere)
{
	GangSim s(10);
	s.run(100);
	s.evacuate("a");
	s.run(150);
	s.lead();
	s.expect_done_elsewhere();
}

/* Submits a gang of four members on one worker each: three go to domain "a",
 * one to "b". They wait 20 s for each other. */
void
submit_gang(EvacSim &s)
{
	Job__Step gang = JobSim::step(4, 7000);
	gang.has_gang = gang.gang = gang.has_spread = gang.spread = 1;
	s.gang_timeout_ms = 20000;
	s.add("b", 8000, s.in_b);
	s.run(200);
	s.submit(1, "batch", { gang });
}

/* Guards against a member of a gang that is started and waits in vain for those
 * whose start was proposed before the order and isn't sent. */
TEST(JobEvac, AGangStartsAsAWholeElsewhere)
{
	EvacSim s(8);
	s.commit_ms = 200;
	submit_gang(s);
	s.run(100);
	s.evacuate("a");
	s.run(4000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
}

/* Guards against members of a gang that run on and wait in vain for one whose
 * start had no answer before the order. */
TEST(JobEvac, AGangOfWhichAMemberCantStartIsStopped)
{
	EvacSim s(8);
	s.drop_starts_to = s.in_a[0];
	submit_gang(s);
	s.run(100);
	ASSERT_EQ(2U, s.count_running("a"));
	ASSERT_EQ(1U, s.count_running("b"));
	s.evacuate("a");
	s.run(5000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
}

/* Guards against a worker that registers in a closed domain and gets work, also
 * after the new incarnation of a known one. */
TEST(JobEvac, AWorkerThatRegistersThereGetsNothing)
{
	EvacSim s(9);
	s.evacuate("a");
	s.new_zone = "a";
	s.add_worker(64000);
	s.crash(s.in_a[0]);
	s.restart_worker(s.in_a[0]);
	s.heartbeat(s.in_a[0]);
	s.submit(1, "batch", { JobSim::step(6, 2000) });
	s.run(2000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
}

/* Guards against a configuration that undoes an evacuation. */
TEST(JobEvac, AConfigurationLeavesItInEffect)
{
	EvacSim s(10);
	s.evacuate("a");
	s.config(2);
	s.submit(1, "batch", { JobSim::step(6, 2000) });
	s.run(2000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
	EXPECT_TRUE(jevac_is_closed(&s.st, "a"));
}

/* Guards against repeated orders that fail or restart the time, and against
 * more domains than the limit. */
TEST(JobEvac, RepeatedOrdersChangeNothing)
{
	JobSim s(11);
	s.evacuate("a");
	int64_t at = s.st.evacuations[0]->at_ms;
	s.run(100);
	s.evacuate("a");
	ASSERT_EQ(1U, s.st.nevacuations);
	EXPECT_EQ(at, s.st.evacuations[0]->at_ms);
	s.evacuate("b", false);
	s.evacuate("a", false);
	s.evacuate("a", false);
	EXPECT_EQ(0U, s.st.nevacuations);
	for (int i = 0; i < JST_EVACUATIONS_MAX + 5; i++)
		s.evacuate(("d" + std::to_string(i)).c_str());
	EXPECT_EQ((size_t)JST_EVACUATIONS_MAX, s.st.nevacuations);
}

/* Guards against new long-running tasks that take what short jobs need, because
 * much is free in a closed domain. */
TEST(JobEvac, WhatIsFreeThereDoesntCount)
{
	EvacSim s(12);
	s.evacuate("a");
	s.run_time_ms = [](const SimTask &) { return 20000; };
	s.submit(1, "fast", { JobSim::step(9, 2000, 20000) });
	s.run(300);
	ASSERT_EQ(9U, s.count_running("b"));
	s.submit_lasting(2, 1);
	s.run(500);
	EXPECT_EQ(9U, s.count_running("b"));
}

/* Simulates one warm worker and four larger ones that are cold for 10 s. */
class ColdSim : public JobSim {
      public:
	explicit ColdSim(uint64_t seed) : JobSim(seed)
	{
		new_zone = "warm";
		add_worker(8000);
		lead();
		new_zone = "cold";
		cold_left_ms = 10000;
		for (int i = 0; i < 4; i++)
			add_worker(16000);
		run(200);
	}

	/* Counts the cold workers that run something. */
	int count_busy()
	{
		int n = 0;
		for (auto &x : workers)
			n += x.second.zone == "cold" &&
			    !x.second.running.empty();
		return n;
	}
};

/* Guards against tasks that miss their objective on a slow worker while a warm
 * one is free, and against cold workers that stay unused while tasks wait. */
TEST(JobCold, WarmWorkersComeFirst)
{
	ColdSim s(1);
	s.submit(1, "fast", { JobSim::step(4, 2000) });
	s.run(100);
	EXPECT_EQ(4U, s.count_running("warm"));
	s.submit(2, "fast", { JobSim::step(2, 2000) });
	s.run(100);
	EXPECT_EQ(2U, s.count_running("cold"));
	/* The new leader has heard no heartbeat yet. */
	s.run(2000);
	s.lead();
	s.run(100);
	for (auto &x : s.workers) {
		if (x.second.zone == "cold")
			jlead_on_heartbeat(
			    &s.jl, jst_find_worker(&s.st, x.first), 500);
	}
	s.submit(3, "fast", { JobSim::step(1, 2000) });
	s.run(100);
	EXPECT_EQ(1U, s.count_running("warm"));
	s.run(2000);
	s.submit(4, "fast", { JobSim::step(1, 2000) });
	s.run(100);
	EXPECT_EQ(1U, s.count_running("cold")) << "cold for too long";
}

/* Guards against a plan that fills every worker of a domain that has just come
 * back, and against one that leaves the rest empty for good. */
TEST(JobCold, OnePlanUsesHalfOfThem)
{
	ColdSim s(2);
	s.commit_ms = 300;
	s.submit(1, "fast", { JobSim::step(8, 7000) });
	s.run(1);
	uint32_t nused = 0;
	for (struct wsess *ws = s.jl.sessions; ws != NULL; ws = ws->next)
		nused += ws->nruns > 0 && ws->w->info->zone[0] == 'c';
	EXPECT_EQ(2U, nused);
	s.run(700);
	EXPECT_EQ(4, s.count_busy());
}

/* Guards against a large gang that waits for as long as a domain is cold. */
TEST(JobCold, AGangMayUseAllOfThem)
{
	ColdSim s(3);
	Job__Step gang = JobSim::step(4, 12000);
	gang.has_gang = gang.gang = 1;
	s.submit(1, "fast", { gang });
	s.run(300);
	EXPECT_EQ(4, s.count_busy());
}

/* Orders as they reach the leader. */
class EvacOrders : public ::testing::Test {
      protected:
	struct jst st;
	struct jevac ev;
	int64_t now_ms = 100000;

	void SetUp() override
	{
		jst_init(&st);
		jevac_init(&ev);
	}
	void TearDown() override
	{
		jevac_finish(&ev);
		jst_finish(&st);
	}

	/* Judges an order and carries it out; returns whether it was late. */
	bool is_late(bool begin, int64_t received_ms, bool has_received = true)
	{
		Job__Evacuation m = JOB__EVACUATION__INIT;
		struct jst_result r = {};
		char domain[] = "a";
		m.domain = domain;
		m.begin = begin;
		m.has_received_ms = has_received;
		m.received_ms = received_ms;
		if (jevac_judge(&ev, &st, &m, now_ms) == JEVAC_LATE)
			return true;
		jevac_note_proposal(&ev, &st, &m, now_ms);
		jst_apply_evacuation(&st, &m, &r);
		if (r.status == STATUS_OK)
			jevac_note_change(&ev, "a", begin, now_ms);
		else
			jevac_note_repeat(&ev, "a", begin, now_ms);
		return false;
	}
};

/* Guards against an order that is refused although it is valid: first, resent
 * at another replica, ended, begun again, and repeated. */
TEST_F(EvacOrders, OrdersInTurnAreTaken)
{
	EXPECT_FALSE(is_late(true, now_ms - 3));
	EXPECT_FALSE(is_late(true, now_ms - 1000));
	EXPECT_FALSE(is_late(true, now_ms - 2));
	now_ms += 8000;
	EXPECT_FALSE(is_late(false, now_ms - 2));
	EXPECT_FALSE(is_late(false, now_ms - 1500));
	now_ms += 100;
	EXPECT_FALSE(is_late(true, now_ms - 2));
	EXPECT_TRUE(jevac_is_closed(&st, "a"));
}

/* Guards against a late copy of a begin that undoes the end, and a late copy of
 * an end that undoes the second begin, within the time in which the operator
 * sends an order again. */
TEST_F(EvacOrders, ACopyFromBeforeTheLastChangeIsLate)
{
	int64_t first = now_ms;
	now_ms += 1002;
	EXPECT_FALSE(is_late(true, now_ms - 2));
	now_ms += 1500;
	EXPECT_FALSE(is_late(false, now_ms - 2));
	now_ms += 200;
	EXPECT_TRUE(is_late(true, first));
	EXPECT_FALSE(jevac_is_closed(&st, "a"));
	int64_t end_copy = now_ms - 1300;
	now_ms += 500;
	EXPECT_FALSE(is_late(true, now_ms - 2));
	EXPECT_TRUE(is_late(false, end_copy));
	EXPECT_TRUE(jevac_is_closed(&st, "a"));
}

/* Guards against orders that the operator has given up, ones without a time,
 * and ones from a clock that is far ahead. */
TEST_F(EvacOrders, AnOrderThatTheOperatorHasGivenUpIsLate)
{
	EXPECT_TRUE(is_late(true, now_ms - JEVAC_ORDER_MAX_AGE_MS - 1));
	EXPECT_TRUE(is_late(true, 0, false));
	EXPECT_TRUE(is_late(true, now_ms + JEVAC_CLOCK_ERROR_MS + 1));
	EXPECT_FALSE(is_late(true, now_ms - JEVAC_ORDER_MAX_AGE_MS));
}

/* Guards against a copy from before a change that this leader doesn't know of,
 * as it has loaded the state since. */
TEST_F(EvacOrders, ACopyFromBeforeTheStateWasLoadedIsLate)
{
	EXPECT_FALSE(is_late(true, now_ms));
	now_ms += 2000;
	jevac_reset(&ev, now_ms);
	EXPECT_TRUE(is_late(false, now_ms - 1000));
	EXPECT_FALSE(is_late(true, now_ms - 1000));
	EXPECT_FALSE(is_late(false, now_ms + 100));
}

/* Guards against a copy that is taken because the order which was proposed
 * before it isn't committed yet, and against a proposal that never was and
 * makes an opposite order look like its copy. */
TEST_F(EvacOrders, AProposedChangeCountsBeforeItIsCommitted)
{
	Job__Evacuation m = JOB__EVACUATION__INIT;
	char domain[] = "a";
	m.domain = domain;
	EXPECT_FALSE(is_late(true, now_ms));
	now_ms += 2000;
	jevac_note_proposal(&ev, &st, &m, now_ms);
	now_ms += 100;
	m.begin = m.has_received_ms = 1;
	m.received_ms = now_ms - 1500;
	EXPECT_EQ(JEVAC_LATE, jevac_judge(&ev, &st, &m, now_ms));
	/* Another leader commits a begin instead. */
	jevac_note_repeat(&ev, "a", true, now_ms);
	EXPECT_TRUE(is_late(false, now_ms - 1000));
}

/* Guards against changes that are forgotten for lack of room and whose copies
 * are taken. */
TEST_F(EvacOrders, ForgottenChangesCountAsRecent)
{
	EXPECT_FALSE(is_late(true, now_ms));
	now_ms += 1000;
	EXPECT_FALSE(is_late(false, now_ms));
	for (int i = 0; i < JEVAC_DOMAINS_MAX; i++)
		jevac_note_change(
		    &ev, ("d" + std::to_string(i)).c_str(), true, now_ms);
	now_ms += 1000;
	EXPECT_TRUE(is_late(true, now_ms - 1900));
}

/* Guards against a line about the last run there that is missing or
 * repeated. */
TEST_F(EvacOrders, TheLastRunIsReportedOnce)
{
	jevac_note_change(&ev, "a", true, now_ms);
	EXPECT_FALSE(jevac_count_runs(&ev, "a", 2));
	EXPECT_TRUE(jevac_count_runs(&ev, "a", 0));
	EXPECT_FALSE(jevac_count_runs(&ev, "a", 0));
	EXPECT_TRUE(jevac_count_runs(&ev, "b", 0));
}

} // namespace
