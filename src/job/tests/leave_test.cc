#include "job/tests/job_sim.h"

#include <cstdlib>

namespace {

/* Does what a leading replica does with a worker's notice to leave. */
void
leave(JobSim &s, uint64_t num, uint64_t incarnation)
{
	Job__Command c = JOB__COMMAND__INIT;
	Job__WorkerGone g = JOB__WORKER_GONE__INIT;
	struct jst_worker *w = jst_find_leaving_worker(
	    &s.st, s.workers[num].id.c_str(), incarnation);
	if (w == NULL || !jlead_leave(&s.jl, s.now(), w))
		return;
	g.num = w->num;
	g.has_left = g.left = 1;
	c.gone = &g;
	s.apply(c);
}

/* Guards against a delayed or repeated notice to leave that removes the
 * worker's next incarnation. */
TEST(Leave, ANoticeOfAnEarlierIncarnationKeepsTheCurrentOne)
{
	JobSim s(1);
	uint64_t a = s.add_worker(8000);
	s.run_time_ms = [](const SimTask &) { return -1; };
	s.lead();
	s.run(100);
	uint64_t incarnation = s.workers[a].incarnation;
	s.crash(a);
	s.restart_worker(a);
	s.heartbeat(a);
	s.submit(1, "batch", { JobSim::step(2, 1000) });
	s.run(2000);
	ASSERT_EQ(2U, s.workers[a].running.size());
	s.add_worker(8000);
	leave(s, a, incarnation);
	s.run(2000);
	EXPECT_NE(
	    nullptr, jst_find_worker_by_id(&s.st, s.workers[a].id.c_str()));
	EXPECT_EQ(2U, s.workers[a].running.size());
	for (auto &x : s.starts)
		EXPECT_EQ(1, x.second);
}

/* Guards against a worker that stays registered after its notice to leave: one
 * that names its incarnation, or the notice of a worker that has reported that
 * it drains. */
TEST(Leave, RemovesTheIncarnationItNames)
{
	JobSim s(2);
	uint64_t a = s.add_worker(8000), b = s.add_worker(8000);
	s.lead();
	s.run(100);
	s.drain(b);
	leave(s, a, s.workers[a].incarnation);
	leave(s, b, 0);
	s.run(100);
	EXPECT_EQ(0U, s.st.nworkers);
}

/* Guards against a delayed notice to leave that names no incarnation and takes
 * the worker's next incarnation out of use: a replica that was frozen, or a
 * broken path, delivers it after the worker has left and started again. */
TEST(Leave, ALateNoticeWithoutIncarnationKeepsTheNextOne)
{
	JobSim s(14);
	uint64_t a = s.add_worker(8000);
	s.run_time_ms = [](const SimTask &) { return -1; };
	s.lead();
	s.run(100);
	s.drain(a);
	leave(s, a, 0);
	s.crash(a);
	s.run(100);
	ASSERT_EQ(0U, s.st.nworkers);
	s.restart_worker(a);
	s.heartbeat(a);
	s.run(100);
	leave(s, a, 0);
	s.run(500);
	s.submit(1, "batch", { JobSim::step(2, 1000) });
	s.run(500);
	EXPECT_EQ(2U, s.workers[a].running.size());
	/* Nor does it stop what runs there. */
	leave(s, a, 0);
	s.run(2000);
	EXPECT_EQ(2U, s.workers[a].running.size());
	for (auto &x : s.starts)
		EXPECT_EQ(1, x.second);
	/* Its own notice is obeyed. */
	ASSERT_EQ(1U, s.st.nworkers);
	s.drain(s.st.workers[0]->num);
	leave(s, a, 0);
	s.run(2000);
	EXPECT_EQ(0U, s.st.nworkers);
}

/* Guards against the same while the earlier incarnation is still registered,
 * because its runs haven't ended, and through a change of leader. */
TEST(Leave, ALateNoticeKeepsTheNextOneBesideAnEarlierOne)
{
	JobSim s(15);
	uint64_t a = s.add_worker(8000);
	s.run_time_ms = [](const SimTask &) { return -1; };
	s.lead();
	s.run(100);
	s.submit(1, "batch", { JobSim::step(2, 1000) });
	s.run(500);
	ASSERT_EQ(2U, s.workers[a].running.size());
	s.drain(a);
	s.drop_starts_to = a;
	s.drop_stops = true;
	leave(s, a, 0);
	s.crash(a);
	s.restart_worker(a);
	s.heartbeat(a);
	leave(s, a, 0);
	s.lead();
	s.run(20);
	leave(s, a, 0);
	s.run(JLEAD_LEASE_MAX_MS + 3000);
	EXPECT_EQ(2U, s.workers[a].running.size());
	EXPECT_EQ(1U, s.st.nworkers);
}

/* Tells whether a registration exists. */
bool
registered(JobSim &s, uint64_t num)
{
	return jst_find_worker(&s.st, num) != NULL;
}

/* Guards against a task that is started elsewhere while the leaving worker
 * still runs it, because its acknowledgement was lost. */
TEST(Leave, ALeavingWorkerRunsNothingTwice)
{
	JobSim s(3);
	uint64_t a = s.add_worker(8000);
	s.run_time_ms = [](const SimTask &) { return 4000; };
	s.lead();
	s.run(100);
	s.submit(1, "batch", { JobSim::step(4, 1000) });
	s.run(1000);
	s.add_worker(8000);
	s.run(100);
	leave(s, a, s.workers[a].incarnation);
	s.run(200);
	EXPECT_FALSE(registered(s, a)) << "its acknowledgement is late";
	s.run(4800);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
}

/* Guards against a task of a cancelled job that runs on at a leaving worker:
 * its stop had no answer, and the registration was removed. */
TEST(Leave, ACancelledTaskEndsOnALeavingWorker)
{
	JobSim s(4);
	uint64_t a = s.add_worker(8000);
	s.run_time_ms = [](const SimTask &) { return -1; };
	s.lead();
	s.run(100);
	s.submit(1, "batch", { JobSim::step(4, 1000) });
	s.run(1000);
	s.loss_rate = 1;
	s.cancel(1);
	s.run(10);
	leave(s, a, s.workers[a].incarnation);
	s.run(500);
	s.loss_rate = 0;
	s.run(2500);
	EXPECT_EQ(0U, s.workers[a].running.size());
	EXPECT_FALSE(registered(s, a));
}

/* Guards against a task that is started elsewhere while a leaving worker still
 * runs it: connections to the worker are refused by a cut, which doesn't show
 * that its process has ended. */
TEST(Leave, ARefusedConnectionDoesNotEndTheRunsOfALeaver)
{
	for (bool is_drained : { false, true }) {
		SCOPED_TRACE(is_drained);
		JobSim s(13);
		uint64_t a = s.add_worker(8000);
		s.run_time_ms = [](const SimTask &) { return -1; };
		s.lead();
		s.run(100);
		s.submit(1, "batch", { JobSim::step(4, 1000) });
		s.run(1000);
		uint64_t b = s.add_worker(8000);
		if (is_drained)
			s.drain(a);
		s.run(2200);
		s.workers[a].refuses_conns = true;
		s.run(200);
		leave(s, a, s.workers[a].incarnation);
		s.run(2500);
		EXPECT_EQ(4U, s.workers[a].running.size());
		s.crash(a);
		s.run(JLEAD_LEASE_MS);
		EXPECT_EQ(4U, s.workers[b].running.size());
		EXPECT_FALSE(registered(s, a));
		for (auto &x : s.starts)
			EXPECT_EQ(2, x.second);
	}
}

/* Guards against tasks that wait longer than the lease of a worker which has
 * announced its exit and has exited. */
TEST(Leave, TheTasksOfAnEndedLeaverComeBackWithinItsLease)
{
	JobSim s(8);
	uint64_t a = s.add_worker(8000);
	s.run_time_ms = [](const SimTask &) { return -1; };
	s.lead();
	s.run(100);
	s.submit(1, "batch", { JobSim::step(4, 1000) });
	s.run(1000);
	uint64_t b = s.add_worker(8000);
	s.run(100);
	leave(s, a, s.workers[a].incarnation);
	s.crash(a);
	/* A slow clock, a tick, two commits and the orders. */
	s.run(
	    JLEAD_LEASE_MS * 1000 / (1000 - JLEAD_CLOCK_DRIFT_PERMILLE) + 100);
	EXPECT_EQ(4U, s.workers[b].running.size());
	EXPECT_FALSE(registered(s, a));
}

/* Guards against a leaving worker that is unreachable and keeps its tasks for
 * ever: they are started elsewhere when its lease has expired. */
TEST(Leave, AnUnreachableLeavingWorkerLosesItsTasksWithItsLease)
{
	JobSim s(5);
	uint64_t a = s.add_worker(8000);
	s.run_time_ms = [](const SimTask &) { return -1; };
	s.lead();
	s.run(100);
	s.submit(1, "batch", { JobSim::step(4, 1000) });
	s.run(1000);
	uint64_t b = s.add_worker(8000);
	s.run(100);
	s.workers[a].unreachable = true;
	leave(s, a, s.workers[a].incarnation);
	s.run(2000);
	s.crash(a);
	s.run(5000);
	EXPECT_EQ(4U, s.workers[b].running.size());
	EXPECT_FALSE(registered(s, a));
}

/* Guards against a task that runs twice because an order in flight is carried
 * out after its worker's notice to leave. */
TEST(Leave, LateOrdersToLeavingWorkersNeverRunATaskTwice)
{
	for (uint64_t seed = 1; seed <= 12; seed++) {
		JobSim s(seed);
		std::vector<uint64_t> on;
		for (int i = 0; i < 4; i++)
			on.push_back(s.add_worker(8000));
		s.late_rate = 0.15;
		s.loss_rate = 0.05;
		s.lead();
		for (uint64_t j = 1; j <= 12; j++) {
			s.submit(j, "batch", { JobSim::step(6, 1500) });
			s.run((int64_t)rng_below(&s.rng, 600));
			size_t i = rng_below(&s.rng, on.size());
			uint64_t num = on[i];
			leave(s, num, s.workers[num].incarnation);
			/* It also exits without an acknowledgement. */
			s.events.emplace(
			    s.now_ms + 4000 + (int64_t)rng_below(&s.rng, 3000),
			    [&s, num]() { s.crash(num); });
			on[i] = s.add_worker(8000);
			if (j % 4 == 0)
				s.lead();
		}
		s.late_rate = s.loss_rate = 0;
		s.run(40000);
		for (uint64_t j = 1; j <= 12; j++)
			EXPECT_EQ(JST_COMPLETED, s.state(j)) << seed;
	}
}

/* Guards against a delayed heartbeat that registers an incarnation that has
 * left, or an earlier one, and gets it tasks. */
TEST(Leave, ALateHeartbeatOfAnEndedIncarnationGetsNoWork)
{
	JobSim s(6);
	uint64_t a = s.add_worker(8000);
	s.lead();
	s.run(100);
	s.crash(a);
	s.restart_worker(a);
	s.heartbeat(a);
	s.run(100);
	leave(s, a, s.workers[a].incarnation);
	s.crash(a);
	s.run(100);
	ASSERT_EQ(0U, s.st.nworkers);
	for (uint64_t incarnation :
	    { s.workers[a].incarnation, s.workers[a].incarnation - 1 }) {
		uint64_t now = s.workers[a].incarnation;
		s.workers[a].incarnation = incarnation;
		s.heartbeat(a);
		s.workers[a].incarnation = now;
	}
	s.submit(1, "batch", { JobSim::step(4, 1000) });
	s.run(2000);
	EXPECT_EQ(0U, s.starts.size());
	/* The next incarnation at that address answers, but hasn't
	 * registered. */
	s.restart_worker(a);
	s.run(2000);
	EXPECT_EQ(0U, s.starts.size());
	s.heartbeat(a);
	s.run(2000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
}

/* Guards against a run that nobody stops: its order had no answer and reaches
 * the incarnation after the next, when the session that sent it is gone. */
TEST(Leave, AnOrderThatOutlivesItsSessionIsStopped)
{
	uint64_t orphans = 0;
	for (uint64_t seed = 1; seed <= 12; seed++) {
		JobSim s(seed);
		uint64_t a = s.add_worker(8000);
		s.run_time_ms = [](const SimTask &) { return -1; };
		s.lead();
		s.run(100);
		s.relay_lost_rate = 1;
		s.submit(1, "batch", { JobSim::step(4, 1000) });
		s.run((int64_t)rng_below(&s.rng, 600));
		s.relay_lost_rate = 0;
		s.cancel(1);
		for (int i = 0; i < 2; i++) {
			s.crash(a);
			s.restart_worker(a);
			/* Calls of the new registration refuse late ones. */
			s.run((int64_t)rng_below(&s.rng, 1100));
			s.heartbeat(a);
			s.run(100);
		}
		/* Orders come up to 3 s late, polls every 2 s. */
		s.run(5000);
		EXPECT_EQ(0U, s.workers[a].running.size()) << seed;
		orphans += ctr_get(&s.ctr, JCTR_ORPHANS);
	}
	EXPECT_LT(0U, orphans);
}

/* Guards against a task that is never started again: the answer to its order
 * was in flight when the worker's next incarnation registered, and was
 * ignored. */
TEST(Restart, AnAnswerOfTheEarlierIncarnationEndsItsCall)
{
	JobSim s(7);
	uint64_t a = s.add_worker(8000);
	s.run_time_ms = [](const SimTask &) { return -1; };
	s.lead();
	s.run(200);
	s.call_ms = 50;
	s.submit(1, "batch", { JobSim::step(4, 1000) });
	for (int i = 0; i < 300 && s.workers[a].running.size() < 4; i++)
		s.run(1);
	ASSERT_EQ(4U, s.workers[a].running.size());
	s.crash(a);
	s.restart_worker(a);
	s.heartbeat(a);
	uint64_t b = s.add_worker(8000);
	s.run(30000);
	EXPECT_EQ(
	    4U, s.workers[a].running.size() + s.workers[b].running.size());
	EXPECT_EQ(2U, s.st.nworkers);
}

/* Guards against a leaving worker that is never removed because its next
 * incarnation registered before the answers to its stops came. */
TEST(Restart, AnAnswerOfALeavingWorkerEndsItsCall)
{
	JobSim s(8);
	uint64_t a = s.add_worker(8000);
	s.run_time_ms = [](const SimTask &) { return -1; };
	s.lead();
	s.run(200);
	s.submit(1, "batch", { JobSim::step(4, 1000) });
	s.run(1000);
	ASSERT_EQ(4U, s.workers[a].running.size());
	s.call_ms = 50;
	leave(s, a, s.workers[a].incarnation);
	s.run(60);
	s.crash(a);
	s.restart_worker(a);
	s.heartbeat(a);
	uint64_t b = s.add_worker(8000);
	s.run(30000);
	EXPECT_EQ(
	    4U, s.workers[a].running.size() + s.workers[b].running.size());
	EXPECT_EQ(2U, s.st.nworkers);
}

/* Guards against a task that never runs again, and a leader that repeats its
 * stop without a pause, because the instance that took over its worker's
 * address is taken for a restart of that worker. */
TEST(Restart, AnotherInstanceAtTheAddressIsNoRestart)
{
	for (bool says_born : { false, true }) {
		SCOPED_TRACE(says_born);
		JobSim s(9);
		uint64_t a = s.add_worker(8000);
		s.lead();
		s.run(100);
		s.drop_starts_to = a;
		s.submit(1, "batch", { JobSim::step(1, 1000) });
		s.run(50);
		uint64_t calls = s.jl.serial;
		s.replace(a, says_born ? s.workers[a].incarnation + 1000 : 0);
		s.drop_starts_to = 0;
		s.add_worker(8000);
		s.run(5000);
		EXPECT_EQ(JST_COMPLETED, s.state(1));
		EXPECT_GT(calls + 100, s.jl.serial);
		EXPECT_EQ(1U, s.st.nworkers);
	}
}

/* Guards against the same after a restart, if the restarted worker is gone
 * before its stop is confirmed. */
TEST(Restart, ARestartedWorkerThatIsReplacedKeepsNoTask)
{
	JobSim s(10);
	uint64_t a = s.add_worker(8000);
	s.lead();
	s.run(100);
	s.drop_starts_to = a;
	s.drop_stops = true;
	s.submit(1, "batch", { JobSim::step(1, 1000) });
	s.run(50);
	s.restart_worker(a);
	s.run(3000);
	ASSERT_TRUE(s.jl.sessions->restarted);
	uint64_t calls = s.jl.serial;
	s.replace(a, 0);
	s.drop_starts_to = 0;
	s.add_worker(8000);
	s.run(5000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
	EXPECT_GT(calls + 100, s.jl.serial);
	EXPECT_EQ(1U, s.st.nworkers);
}

/* Guards against a run that outlives its job in the state: a gang is done when
 * its first task is, while runs of the others still point at it. */
TEST(Restart, AGangsLastRunOutlivesNoJob)
{
	JobSim s(9);
	uint64_t a = s.add_worker(8000);
	s.run_time_ms = [](const SimTask &k) {
		return k.index == 0 ? 300 : -1;
	};
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
	s.run(60); /* the stop is carried out, its answer in flight */
	s.crash(a);
	s.restart_worker(a);
	s.heartbeat(a);
	s.run(JST_ENDED_RETENTION_MS + 1000);
	s.submit(2, "batch", { JobSim::step(1, 1000) });
	EXPECT_EQ(nullptr, jst_find_job(&s.st, 1));
	s.run(2000);
	for (size_t i = 0; i < s.st.nworkers; i++)
		EXPECT_EQ(
		    s.workers[a].incarnation, s.st.workers[i]->info->born);
}

/* Guards against tasks for a worker that has left, when one of its heartbeats
 * arrives before it gets the acknowledgement. */
TEST(Leave, AHeartbeatAfterTheLeaveGetsNoWork)
{
	JobSim s(11);
	uint64_t a = s.add_worker(8000);
	s.run_time_ms = [](const SimTask &) { return -1; };
	s.lead();
	s.run(100);
	s.submit(1, "batch", { JobSim::step(4, 1000) });
	s.run(1000);
	leave(s, a, s.workers[a].incarnation);
	s.run(200);
	ASSERT_FALSE(registered(s, a));
	s.heartbeat(a);
	s.run(500);
	EXPECT_EQ(0U, s.workers[a].running.size());
}

/* Guards against tasks for a worker that has left after a replica has started
 * again from a snapshot, and against a next incarnation that gets none. */
TEST(Leave, AWorkerThatHasLeftStaysSoInASnapshot)
{
	JobSim s(12);
	uint64_t a = s.add_worker(8000);
	s.run_time_ms = [](const SimTask &) { return -1; };
	s.lead();
	s.run(100);
	s.submit(1, "batch", { JobSim::step(4, 1000) });
	s.run(1000);
	leave(s, a, s.workers[a].incarnation);
	s.run(200);
	ASSERT_FALSE(registered(s, a));
	s.dark(100);
	s.reload();
	s.lead();
	s.run(100);
	s.heartbeat(a);
	s.run(500);
	EXPECT_EQ(0U, s.workers[a].running.size());
	s.crash(a);
	s.restart_worker(a);
	s.heartbeat(a);
	s.run(500);
	EXPECT_EQ(4U, s.workers[a].running.size());
}

/* Guards against a worker that gets no work for good although it hasn't left:
 * its registration was removed while it was cut off. */
TEST(Leave, AWorkerThatWasForgottenWhileSilentGetsWorkAgain)
{
	JobSim s(13);
	uint64_t a = s.add_worker(8000);
	s.lead();
	s.run(100);
	s.set_unreachable(a, true);
	s.run(2 * JLEAD_FORGET_SILENT_MS);
	ASSERT_FALSE(registered(s, a));
	s.set_unreachable(a, false);
	s.heartbeat(a);
	s.submit(1, "batch", { JobSim::step(4, 1000) });
	s.run(3000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
}

/* Guards against a task of a cancelled job that runs on where a worker has
 * left: its order is carried out after the registration was removed, and the
 * worker goes on for seconds. */
TEST(Leave, ALateOrderToAWorkerThatHasLeftIsStopped)
{
	for (uint64_t seed = 1; seed <= 12; seed++) {
		JobSim s(seed);
		uint64_t a = s.add_worker(8000);
		s.run_time_ms = [](const SimTask &) { return -1; };
		s.lead();
		s.run(100);
		s.relay_lost_rate = 1;
		s.submit(1, "batch", { JobSim::step(4, 1000) });
		s.run((int64_t)rng_below(&s.rng, 600));
		s.relay_lost_rate = 0;
		s.cancel(1);
		leave(s, a, s.workers[a].incarnation);
		for (int i = 0; i < 14; i++) {
			s.run(500);
			s.heartbeat(a);
		}
		EXPECT_EQ(0U, s.workers[a].running.size()) << seed;
	}
}

/* Guards against a long-running task that waits 10 s for the end of a run that
 * was stopped in its worker's next incarnation, which has ended before it
 * answered another poll. */
TEST(Leave, ATaskStoppedInAnIncarnationThatHasEndedIsStartedElsewhere)
{
	JobSim s(14);
	uint64_t a = s.add_worker(8000);
	Job__Step st = JobSim::step(4, 1000);

	st.has_lasting = st.lasting = 1;
	s.lead();
	s.run(100);
	s.submit(1, "batch", { st });
	s.run(1000);
	ASSERT_EQ(4U, s.workers[a].running.size());
	s.crash(a);
	s.restart_worker(a);
	s.lead();
	s.run(10);
	uint64_t b = 0;
	s.is_late = [&b](const jl_call &c) {
		return c.kind == JL_POLL && c.worker != b;
	};
	s.heartbeat(a);
	s.run(100); /* the stops are answered */
	b = s.add_worker(8000);
	s.drain(jst_find_worker_by_id(&s.st, s.workers[a].id.c_str())->num);
	s.set_unreachable(a, true);
	s.crash(a);
	s.run(JLEAD_STOP_MAX_MS + 500);
	EXPECT_EQ(4U, s.workers[b].running.size());
}

/* Removes a registration, as a command that was committed before those in
 * flight. */
void
remove_worker(JobSim &s, uint64_t num)
{
	Job__Command c = JOB__COMMAND__INIT;
	Job__WorkerGone g = JOB__WORKER_GONE__INIT;
	g.num = num;
	c.gone = &g;
	s.apply(c);
}

/* Guards against a task that is assigned and never started: its worker left
 * while the assignment was in flight, and the leader took the refusal of that
 * assignment for one of the next, which has the same run number. */
TEST(Leave, ARefusedAssignmentLeavesTheNextOneItsRun)
{
	JobSim s(9);
	uint64_t a = s.add_worker(8000);
	Job__Step st = JobSim::step(1, 1000);
	st.has_lasting = st.lasting = 1;
	s.lead();
	s.run(100);
	s.commit_ms = 30;
	s.submit(1, "batch", { st });
	s.run(1); /* assigned to the first worker */
	uint64_t b = s.add_worker(8000);
	s.run(10);
	remove_worker(s, a);
	s.commit_ms = 19;
	s.run(1); /* assigned again; both are committed together */
	s.run(5000);
	EXPECT_EQ(1U, s.workers[b].running.size());
	EXPECT_EQ(0U, s.workers[a].running.size());
}

/* Guards against a task that one worker runs while the state names another, so
 * that the next leader starts it a second time. */
TEST(Leave, ATaskRunsWhereTheCommittedAssignmentSays)
{
	JobSim s(10);
	uint64_t a = s.add_worker(8000);
	Job__Step st = JobSim::step(1, 1000);
	st.has_lasting = st.lasting = 1;
	s.lead();
	s.run(100);
	s.commit_ms = 13;
	s.submit(1, "batch", { st });
	s.run(1);
	uint64_t b = s.add_worker(8000);
	s.run(10);
	remove_worker(s, a);
	s.run(1); /* assigned to b */
	s.drain(b);
	s.add_worker(8000);
	s.run(4); /* assigned to the third worker */
	s.run(500);
	s.lead();
	s.run(5000);
	size_t n = 0;
	for (auto &x : s.workers)
		n += x.second.running.size();
	EXPECT_EQ(1U, n);
	for (auto &x : s.starts)
		EXPECT_EQ(1, x.second);
}

/* Guards against work that is assigned to a worker while its removal is being
 * committed, and comes back only when the assignment is refused. */
TEST(Leave, NothingIsAssignedToAWorkerThatIsBeingRemoved)
{
	JobSim s(11);
	uint64_t a = s.add_worker(8000);
	s.lead();
	s.run(100);
	s.commit_ms = 50;
	s.leave_at_once(a, 5000);
	s.submit(1, "batch", { JobSim::step(1, 1000) });
	s.run(40);
	EXPECT_EQ(0U, jst_find_step(jst_find_job(&s.st, 1), 0, 0)[0].nproposed);
	uint64_t b = s.add_worker(8000);
	s.run(200);
	EXPECT_EQ(1U, s.workers[b].running.size());
}

/* Faults of the time before workers leave. */
enum leave_mix {
	LOSE_ORDERS = 1,
	CHANGE_LEADERS = 2,
	CUT_WORKERS = 4,
	RESTART_WORKERS = 8,
	ANSWER_SLOWLY = 16, /* until the end */
	LEADERS_AMONG_LEAVES = 32
};

/* Plays a day on which faults are followed by calm seconds in which only jobs
 * are cancelled and workers leave. */
class LeaveDay {
      public:
	static const int64_t CANCEL_MS = 3000, STOP_MS = 900, NEAR_MS = 3000;
	static const int64_t IDLE_MS = 9000;

	LeaveDay(uint64_t seed, unsigned m) : s(seed), mix(m)
	{
		s.stop_max_ms = STOP_MS;
		s.commit_delay_max_ms = 20;
		s.run_time_ms = [this](const SimTask &) {
			return 300 + (int64_t)below(4000);
		};
		for (int i = 0; i < 8; i++)
			add_worker();
		s.lead();
		play(2000, false);
		play(8000, true);
		s.late_rate = s.late_poll_rate = s.loss_rate = 0;
		for (auto &x : s.workers)
			s.set_unreachable(x.first, false);
		calm_from_ms = s.now_ms + NEAR_MS;
		leaves = true;
		play(12000, false);
		cancels = false;
		play(14000, false);
		check_staying();
	}

      private:
	JobSim s;
	unsigned mix;
	bool leaves = false, cancels = true;
	int64_t calm_from_ms = INT64_MAX / 2;
	uint64_t jobs = 0;
	std::vector<uint64_t> staying;
	std::map<SimTask, int64_t> idle_since_ms;
	bool failed = false;

	uint64_t below(uint64_t n)
	{
		return rng_below(&s.rng, n);
	}

	void add_worker()
	{
		staying.push_back(s.add_worker(100000));
	}

	/* Submits a job: long-running, best-effort or short. */
	void submit()
	{
		Job__Step st = JobSim::step(1 + (uint32_t)below(6), 1000);

		st.has_lasting = st.lasting = below(2) == 0;
		st.has_fills = st.fills = !st.lasting && below(2) == 0;
		if (s.jl.leading)
			s.submit(++jobs, "batch", { st });
	}

	/* Lets one of the workers leave, with a notice or without, and another
	 * come. */
	void leave_one()
	{
		size_t i = (size_t)below(staying.size());
		uint64_t num = staying[i];
		uint64_t incarnation = s.workers[num].incarnation;

		staying.erase(staying.begin() + (long)i);
		switch (below(4)) {
		case 0:
			s.leave(num, 2000, 7000, below(2) == 0);
			break;
		case 1:
			s.leave(num, (int64_t)below(3000), (int64_t)below(7000),
			    true);
			break;
		case 2:
			s.leave_at_once(num, (int64_t)below(7000));
			break;
		default:
			if (!s.workers[num].up || !s.jl.leading)
				break;
			if (jst_find_worker_by_id(
				&s.st, s.workers[num].id.c_str()) != NULL)
				s.drain(jst_find_worker_by_id(
				    &s.st, s.workers[num].id.c_str())
					    ->num);
			s.events.emplace(s.now_ms + 2000, [=, this]() {
				if (s.workers[num].incarnation == incarnation)
					s.crash(num);
				if (below(2) == 0)
					s.set_unreachable(num, true);
			});
		}
		add_worker();
	}

	/* Causes one of the faults of the mix. */
	void disturb()
	{
		uint64_t num = staying[below(staying.size())];

		if (mix & LOSE_ORDERS) {
			s.late_rate = s.late_poll_rate = 0.4;
			s.loss_rate = 0.1;
		}
		if ((mix & CHANGE_LEADERS) && below(30) == 0)
			s.lead();
		if ((mix & CUT_WORKERS) && below(8) == 0)
			s.set_unreachable(num, !s.workers[num].unreachable);
		if ((mix & RESTART_WORKERS) && below(20) == 0 &&
		    s.workers[num].up) {
			s.crash(num);
			s.restart_worker(num);
			s.heartbeat(num);
		}
	}

	/* Checks the tasks of cancelled jobs. */
	void check_cancelled(const SimWorker &w)
	{
		for (auto &x : w.running) {
			auto it = s.cancelled.find(x.first.job);
			if (it == s.cancelled.end() ||
			    s.now_ms <=
				std::max({ it->second, x.second.started_ms,
				    calm_from_ms }) +
				    CANCEL_MS + STOP_MS)
				continue;
			ADD_FAILURE()
			    << "job " << x.first.job << " task "
			    << x.first.index << " runs on at " << w.id
			    << ", cancelled " << s.now_ms - it->second
			    << " ms ago, started "
			    << s.now_ms - x.second.started_ms << " ms ago, at "
			    << s.now_ms << " calm from " << calm_from_ms
			    << " draining " << w.draining;
			failed = true;
		}
	}

	/* Checks that tasks whose turn has come run. */
	void check_idle()
	{
		for (auto *j = s.st.active; j != NULL; j = j->next) {
			for (uint32_t i = 0; i < j->spec->steps[0]->count; i++)
				check_task({ j->id, 0, 0, i }, j);
		}
	}

	void check_task(const SimTask &k, const struct jst_job *j)
	{
		const struct jst_task &t =
		    jst_find_step(j, 0, 0)->tasks[k.index];
		bool runs = t.state == JST_DONE;

		for (auto &x : s.workers)
			runs |= x.second.up && x.second.running.count(k) > 0;
		if (runs) {
			idle_since_ms.erase(k);
			return;
		}
		auto it = idle_since_ms.emplace(k, s.now_ms).first;
		if (s.now_ms <= std::max(it->second, calm_from_ms) + IDLE_MS)
			return;
		ADD_FAILURE()
		    << "job " << j->id << " task " << k.index << " run "
		    << t.run << " state " << t.state << " doesn't run, for "
		    << s.now_ms - it->second << " ms";
		failed = true;
	}

	/* Delivers a notice to leave of an earlier incarnation, which names
	 * none, to workers that don't leave. */
	void deliver_late_notice()
	{
		uint64_t num = staying[(size_t)s.now_ms % staying.size()];
		struct jst_worker *w = jst_find_leaving_worker(
		    &s.st, s.workers[num].id.c_str(), 0);

		if (!s.workers[num].draining && s.jl.leading && w != NULL &&
		    !w->draining)
			s.leave_at_once(num, INT64_MAX / 2);
	}

	/* Checks that workers which don't leave are in use. */
	void check_staying()
	{
		for (uint64_t num : staying) {
			const SimWorker &w = s.workers[num];
			struct jst_worker *reg =
			    jst_find_worker_by_id(&s.st, w.id.c_str());

			if (!w.up)
				continue;
			EXPECT_TRUE(reg != NULL && !reg->draining)
			    << w.id << " is not in use";
		}
	}

	/* Simulates this many milliseconds. */
	void play(int64_t ms, bool faults)
	{
		for (int64_t end = s.now_ms + ms; s.now_ms < end && !failed;) {
			if (mix & ANSWER_SLOWLY)
				s.slow_answer_rate = 0.2;
			if (below(150) == 0 && cancels)
				submit();
			if (below(200) == 0 && cancels && jobs > 0)
				s.cancel(1 + below(jobs));
			if (faults && s.now_ms % 20 == 0)
				disturb();
			if (leaves && cancels && below(400) == 0)
				leave_one();
			if (leaves && cancels && (mix & LEADERS_AMONG_LEAVES) &&
			    below(2500) == 0) {
				s.lead();
				calm_from_ms = s.now_ms + NEAR_MS;
			}
			if (leaves && s.now_ms % 700 == 0)
				deliver_late_notice();
			s.run(1);
			for (auto &x : s.workers) {
				if (x.second.up && !x.second.unreachable)
					check_cancelled(x.second);
			}
			if (s.now_ms % 25 == 0)
				check_idle();
		}
	}
};

class LeaveMixes : public testing::TestWithParam<unsigned> {};

/* Guards against tasks of cancelled jobs that run on, and tasks that wait,
 * where workers leave in calm seconds after faults. LEAVE_SEEDS=N plays so many
 * seeds, LEAVE_SEED=N that one. */
TEST_P(LeaveMixes, LeaversKeepNoCancelledTaskAndHideNoRoom)
{
	const char *only = getenv("LEAVE_SEED");
	const char *many = getenv("LEAVE_SEEDS");
	uint64_t first = only ? strtoull(only, NULL, 10) : 1;
	uint64_t n = many ? strtoull(many, NULL, 10) : only ? 1 : 3;

	for (uint64_t seed = first; seed < first + n; seed++) {
		LeaveDay day(seed, GetParam());
		if (HasFailure()) {
			printf("mix %u seed %llu\n", GetParam(),
			    (unsigned long long)seed);
			return;
		}
	}
}

INSTANTIATE_TEST_SUITE_P(Mixes, LeaveMixes,
    testing::Values(0, LOSE_ORDERS, CHANGE_LEADERS, CUT_WORKERS,
	RESTART_WORKERS, LOSE_ORDERS | CUT_WORKERS | CHANGE_LEADERS,
	ANSWER_SLOWLY, LEADERS_AMONG_LEAVES, 63));

} // namespace
