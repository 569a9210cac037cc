#include "job/tests/job_sim.h"

namespace {

/* What a replica that leads does with a worker's notice to leave. */
void
leave(JobSim &s, uint64_t num, uint64_t born)
{
	Job__Command c = JOB__COMMAND__INIT;
	Job__WorkerGone g = JOB__WORKER_GONE__INIT;
	struct jst_worker *w =
	    jst_find_leaver(&s.st, s.workers[num].id.c_str(), born);
	if (w == NULL || !jlead_leave(&s.jl, s.now(), w))
		return;
	g.num = w->num;
	c.gone = &g;
	s.apply(c);
}

/* Guards against a notice to leave that was held up, or sent again, and ends
 * the worker's next life. */
TEST(Leave, OfAFormerLifeLeavesThePresentOne)
{
	JobSim s(1);
	uint64_t a = s.add_worker(8000);
	s.length = [](const SimTask &) { return -1; };
	s.lead();
	s.run(100);
	uint64_t born = s.workers[a].born;
	s.crash(a);
	s.reborn(a);
	s.beat(a);
	s.submit(1, "batch", { JobSim::step(2, 1000) });
	s.run(2000);
	ASSERT_EQ(2U, s.workers[a].running.size());
	s.add_worker(8000);
	leave(s, a, born);
	s.run(2000);
	EXPECT_NE(
	    nullptr, jst_find_worker_by_id(&s.st, s.workers[a].id.c_str()));
	EXPECT_EQ(2U, s.workers[a].running.size());
	for (auto &x : s.starts)
		EXPECT_EQ(1, x.second);
}

/* Guards against a worker that stays registered although it said that it
 * leaves, with its life named or not. */
TEST(Leave, EndsTheLifeItNames)
{
	JobSim s(2);
	uint64_t a = s.add_worker(8000), b = s.add_worker(8000);
	s.lead();
	s.run(100);
	leave(s, a, s.workers[a].born);
	leave(s, b, 0);
	s.run(100);
	EXPECT_EQ(0U, s.st.nworkers);
}

bool
registered(JobSim &s, uint64_t num)
{
	return jst_find_worker(&s.st, num) != NULL;
}

/* Guards against a task that is started elsewhere while the worker that leaves
 * still runs it, as its acknowledgement was lost. */
TEST(Leave, ALeaverThatGoesOnRunsNothingTwice)
{
	JobSim s(3);
	uint64_t a = s.add_worker(8000);
	s.length = [](const SimTask &) { return 4000; };
	s.lead();
	s.run(100);
	s.submit(1, "batch", { JobSim::step(4, 1000) });
	s.run(1000);
	s.add_worker(8000);
	s.run(100);
	leave(s, a, s.workers[a].born);
	s.run(200);
	EXPECT_FALSE(registered(s, a)) << "its acknowledgement is late";
	s.run(4800);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
}

/* Guards against a task of a cancelled job that runs on where a worker leaves:
 * its stop had no answer, and the registration is gone. */
TEST(Leave, ACancelledTaskEndsOnALeaver)
{
	JobSim s(4);
	uint64_t a = s.add_worker(8000);
	s.length = [](const SimTask &) { return -1; };
	s.lead();
	s.run(100);
	s.submit(1, "batch", { JobSim::step(4, 1000) });
	s.run(1000);
	s.lose = 1;
	s.cancel(1);
	s.run(10);
	leave(s, a, s.workers[a].born);
	s.run(500);
	s.lose = 0;
	s.run(2500);
	EXPECT_EQ(0U, s.workers[a].running.size());
	EXPECT_FALSE(registered(s, a));
}

/* Guards against tasks that wait for the lease of a worker which said that it
 * ends, and has. */
TEST(Leave, TheTasksOfAnEndedLeaverComeBackAtOnce)
{
	JobSim s(8);
	uint64_t a = s.add_worker(8000);
	s.length = [](const SimTask &) { return -1; };
	s.lead();
	s.run(100);
	s.submit(1, "batch", { JobSim::step(4, 1000) });
	s.run(1000);
	uint64_t b = s.add_worker(8000);
	s.run(100);
	leave(s, a, s.workers[a].born);
	s.crash(a);
	s.run(300);
	EXPECT_EQ(4U, s.workers[b].running.size());
	EXPECT_FALSE(registered(s, a));
}

/* Guards against a worker that leaves cut off and keeps its tasks for ever:
 * they come back when its lease is over. */
TEST(Leave, ALeaverThatIsGoneLosesItsTasksWithItsLease)
{
	JobSim s(5);
	uint64_t a = s.add_worker(8000);
	s.length = [](const SimTask &) { return -1; };
	s.lead();
	s.run(100);
	s.submit(1, "batch", { JobSim::step(4, 1000) });
	s.run(1000);
	uint64_t b = s.add_worker(8000);
	s.run(100);
	s.workers[a].cut = true;
	leave(s, a, s.workers[a].born);
	s.run(2000);
	s.crash(a);
	s.run(5000);
	EXPECT_EQ(4U, s.workers[b].running.size());
	EXPECT_FALSE(registered(s, a));
}

/* Guards against an order that was under way when its worker said that it
 * leaves, and that is carried out there later. */
TEST(Leave, LateOrdersToLeaversNeverDoubleATask)
{
	for (uint64_t seed = 1; seed <= 12; seed++) {
		JobSim s(seed);
		std::vector<uint64_t> on;
		for (int i = 0; i < 4; i++)
			on.push_back(s.add_worker(8000));
		s.late = 0.15;
		s.lose = 0.05;
		s.lead();
		for (uint64_t j = 1; j <= 12; j++) {
			s.submit(j, "batch", { JobSim::step(6, 1500) });
			s.run((int64_t)rng_below(&s.rng, 600));
			size_t i = rng_below(&s.rng, on.size());
			uint64_t num = on[i];
			leave(s, num, s.workers[num].born);
			/* It ends without an acknowledgement, too. */
			s.events.emplace(
			    s.now_ms + 4000 + (int64_t)rng_below(&s.rng, 3000),
			    [&s, num]() { s.crash(num); });
			on[i] = s.add_worker(8000);
			if (j % 4 == 0)
				s.lead();
		}
		s.late = s.lose = 0;
		s.run(40000);
		for (uint64_t j = 1; j <= 12; j++)
			EXPECT_EQ(JST_COMPLETED, s.state(j)) << seed;
	}
}

/* Guards against a heartbeat held up on its way that brings back a life that
 * has left, or one before it, and gets it work. */
TEST(Leave, ALateHeartbeatOfAnEndedLifeGetsNoWork)
{
	JobSim s(6);
	uint64_t a = s.add_worker(8000);
	s.lead();
	s.run(100);
	s.crash(a);
	s.reborn(a);
	s.beat(a);
	s.run(100);
	leave(s, a, s.workers[a].born);
	s.crash(a);
	s.run(100);
	ASSERT_EQ(0U, s.st.nworkers);
	for (uint64_t born : { s.workers[a].born, s.workers[a].born - 1 }) {
		uint64_t now = s.workers[a].born;
		s.workers[a].born = born;
		s.beat(a);
		s.workers[a].born = now;
	}
	s.submit(1, "batch", { JobSim::step(4, 1000) });
	s.run(2000);
	EXPECT_EQ(0U, s.starts.size());
	/* The next life at that address answers, but has not registered. */
	s.reborn(a);
	s.run(2000);
	EXPECT_EQ(0U, s.starts.size());
	s.beat(a);
	s.run(2000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
}

/* Guards against a run that nobody stops: its order had no answer and reaches
 * the life after the next, when the session that gave it is gone. */
TEST(Leave, AnOrderThatOutlivesItsSessionIsStopped)
{
	uint64_t strangers = 0;
	for (uint64_t seed = 1; seed <= 12; seed++) {
		JobSim s(seed);
		uint64_t a = s.add_worker(8000);
		s.length = [](const SimTask &) { return -1; };
		s.lead();
		s.run(100);
		s.via_lost = 1;
		s.submit(1, "batch", { JobSim::step(4, 1000) });
		s.run((int64_t)rng_below(&s.rng, 600));
		s.via_lost = 0;
		s.cancel(1);
		for (int i = 0; i < 2; i++) {
			s.crash(a);
			s.reborn(a);
			s.beat(a);
			s.run(100);
		}
		/* Orders come up to 3 s late, looks every 2 s. */
		s.run(5000);
		EXPECT_EQ(0U, s.workers[a].running.size()) << seed;
		strangers += ctr_get(&s.ctr, JCTR_ORPHANS);
	}
	EXPECT_LT(0U, strangers);
}

/* Guards against a task that never comes back: the answer to its order was on
 * its way when the worker's next life registered, and is not taken in. */
TEST(Reborn, AnAnswerOfTheFormerLifeEndsItsCall)
{
	JobSim s(7);
	uint64_t a = s.add_worker(8000);
	s.length = [](const SimTask &) { return -1; };
	s.lead();
	s.run(200);
	s.call_ms = 50;
	s.submit(1, "batch", { JobSim::step(4, 1000) });
	for (int i = 0; i < 300 && s.workers[a].running.size() < 4; i++)
		s.run(1);
	ASSERT_EQ(4U, s.workers[a].running.size());
	s.crash(a);
	s.reborn(a);
	s.beat(a);
	uint64_t b = s.add_worker(8000);
	s.run(30000);
	EXPECT_EQ(
	    4U, s.workers[a].running.size() + s.workers[b].running.size());
	EXPECT_EQ(2U, s.st.nworkers);
}

/* Guards against a worker that leaves and is never removed: its next life
 * registered before the answers to its stops came. */
TEST(Reborn, AnAnswerOfALeaverEndsItsCall)
{
	JobSim s(8);
	uint64_t a = s.add_worker(8000);
	s.length = [](const SimTask &) { return -1; };
	s.lead();
	s.run(200);
	s.submit(1, "batch", { JobSim::step(4, 1000) });
	s.run(1000);
	ASSERT_EQ(4U, s.workers[a].running.size());
	s.call_ms = 50;
	leave(s, a, s.workers[a].born);
	s.run(60);
	s.crash(a);
	s.reborn(a);
	s.beat(a);
	uint64_t b = s.add_worker(8000);
	s.run(30000);
	EXPECT_EQ(
	    4U, s.workers[a].running.size() + s.workers[b].running.size());
	EXPECT_EQ(2U, s.st.nworkers);
}

/* Guards against a run that outlives its job in the state: a gang is done with
 * its first member, and the others' runs still point at it. */
TEST(Reborn, AGangsLastRunOutlivesNoJob)
{
	JobSim s(9);
	uint64_t a = s.add_worker(8000);
	s.length = [](const SimTask &k) { return k.index == 0 ? 300 : -1; };
	s.lead();
	s.run(200);
	Job__Step gang = JobSim::step(2, 1000);
	gang.has_gang = gang.gang = 1;
	s.submit(1, "batch", { gang });
	for (int i = 0; i < 300 && s.workers[a].running.size() < 2; i++)
		s.run(1);
	s.run(50);
	s.call_ms = 50;
	for (int i = 0; i < 900 && s.state(1) == JST_ACTIVE; i++)
		s.run(1);
	ASSERT_EQ(JST_COMPLETED, s.state(1));
	s.run(60); /* the stop is carried out, its answer under way */
	s.crash(a);
	s.reborn(a);
	s.beat(a);
	s.run(JST_ENDED_RETENTION_MS + 1000);
	s.submit(2, "batch", { JobSim::step(1, 1000) });
	EXPECT_EQ(nullptr, jst_find_job(&s.st, 1));
	s.run(2000);
	for (size_t i = 0; i < s.st.nworkers; i++)
		EXPECT_EQ(s.workers[a].born, s.st.workers[i]->info->born);
}

/* Guards against tasks for a worker that has left and whose heartbeat came
 * before its acknowledgement. */
TEST(Leave, AHeartbeatAfterTheLeaveGetsNoWork)
{
	JobSim s(11);
	uint64_t a = s.add_worker(8000);
	s.length = [](const SimTask &) { return -1; };
	s.lead();
	s.run(100);
	s.submit(1, "batch", { JobSim::step(4, 1000) });
	s.run(1000);
	leave(s, a, s.workers[a].born);
	s.run(200);
	ASSERT_FALSE(registered(s, a));
	s.beat(a);
	s.run(500);
	EXPECT_EQ(0U, s.workers[a].running.size());
}

} // namespace
