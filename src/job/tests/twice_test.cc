#include "job/tests/job_sim.h"

#include <cstdlib>

/* Tests of what keeps a task from running a second time. */

namespace {

const SimTask TASK = { 1, 0, 0, 0 };

/* Submits a job of one task and lets it start. Its worker is then cut off for
 * unreachable_ms, in which the task is done while the lease is in force;
 * commits take commit_ms from then on, and a second worker is idle. */
void
finish_behind_a_cut(JobSim &s, int64_t unreachable_ms, int64_t commit_ms)
{
	uint64_t a = s.add_worker(8000);

	s.run_time_ms = [](const SimTask &) { return 5500; };
	s.lead();
	s.submit(1, "batch", { JobSim::step(1, 1000) });
	s.run(300);
	ASSERT_EQ(1U, s.workers[a].running.size());
	s.add_worker(8000);
	s.run(100);
	s.set_unreachable(a, true);
	s.commit_ms = commit_ms;
	s.run(unreachable_ms);
	s.set_unreachable(a, false);
}

/* Guards against an end as done that is acknowledged and lost, because it is
 * reported while the leader's decision to give that run up is committed. */
TEST(JobTwice, AnEndReportedWhileItsRunIsGivenUpCounts)
{
	JobSim s(1);

	finish_behind_a_cut(s, 6200, 3000);
	EXPECT_EQ(JST_ACTIVE, s.state(1));
	s.run(6000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
	EXPECT_EQ(1, s.starts[TASK]);
}

/* Guards against a task that runs to its end a second time although its first
 * run has reported that it was done. */
TEST(JobTwice, AnEndReportedAfterTheTaskWasStartedElsewhereCounts)
{
	JobSim s(2);

	finish_behind_a_cut(s, 7000, 12);
	ASSERT_EQ(2, s.starts[TASK]);
	s.run(1500);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
	for (auto &x : s.workers) {
		EXPECT_TRUE(x.second.running.empty()) << x.second.id;
		EXPECT_TRUE(x.second.ended.empty()) << x.second.id;
	}
	s.run(8000);
	EXPECT_EQ(2, s.starts[TASK]);
}

/* Lets a worker run a task under leases by a clock that is far ahead, with
 * calls that take 300 ms; returns the worker. */
uint64_t
run_by_an_advanced_clock(JobSim &s)
{
	uint64_t a = s.add_worker(8000);

	s.workers[a].clock_start_ms = s.now_ms - 60000;
	s.run_time_ms = [](const SimTask &) { return 60000; };
	s.lead();
	s.submit(1, "batch", { JobSim::step(1, 1000) });
	s.run(500);
	s.call_ms = 300;
	s.run(2500);
	return a;
}

/* Registers the worker's next incarnation, starts a task there and cuts it
 * off; the simulation checks that nothing runs twice. */
void
cut_off_next_incarnation(JobSim &s, uint64_t a)
{
	s.call_ms = 2;
	s.submit(2, "batch", { JobSim::step(1, 1000) });
	s.heartbeat(a);
	s.run(200);
	ASSERT_EQ(1U, s.workers[a].running.count({ 2, 0, 0, 0 }));
	s.add_worker(8000);
	s.set_unreachable(a, true);
	s.run(20000);
	EXPECT_EQ(2, (s.starts[{ 2, 0, 0, 0 }]))
	    << "given up and started again";
}

/* Guards against a lease by the clock of a worker's earlier incarnation that is
 * sent to the next one, which then runs on when its runs are given up. */
TEST(JobTwice, ALeaseMeantForTheEarlierIncarnationIsWaitedFor)
{
	JobSim s(3);
	uint64_t a = run_by_an_advanced_clock(s);

	s.crash(a);
	s.restart_worker(a);
	s.run(600);
	cut_off_next_incarnation(s, a);
}

/* Guards against the same when that lease was on its way as the worker
 * restarted. */
TEST(JobTwice, ALeaseOnItsWayAtTheRestartIsWaitedFor)
{
	JobSim s(4);
	uint64_t a = run_by_an_advanced_clock(s);
	auto *ws = (struct wsess *)jst_find_worker(&s.st, a)->session;
	uint64_t serial = ws->poll_serial;

	while (ws->poll_serial == serial)
		s.run(1);
	s.crash(a);
	s.restart_worker(a);
	s.run(310);
	ASSERT_GT(s.workers[a].lease_until_ms, JLEAD_LEASE_MS + 2000);
	cut_off_next_incarnation(s, a);
}

/* Guards against a lease of an earlier leader that ends later than the next one
 * counts on, because the worker's clock is slow. */
TEST(JobTwice, ALeaseByASlowClockIsNoLongerThanTheNextLeaderExpects)
{
	JobSim s(5);
	uint64_t a = s.add_worker(8000);

	s.workers[a].clock_permille = 1000 - JLEAD_CLOCK_DRIFT_PERMILLE;
	s.run_time_ms = [](const SimTask &) { return 60000; };
	s.lead();
	s.run(1900); /* the last answer is as old */
	s.submit(1, "batch", { JobSim::step(1, 1000) });
	s.run(1);
	while (s.workers[a].running.empty())
		s.run(1);
	s.lead();
	s.run(10);
	auto *ws = (struct wsess *)jst_find_worker(&s.st, a)->session;
	ASSERT_TRUE(ws->contacted);
	EXPECT_GE(ws->lease_until_max_ms, s.workers[a].lease_until_ms);
}

/* Guards against a run that the next leader takes for over, because its worker
 * has restarted, although the order has reached the new incarnation. */
TEST(JobTwice, AnInheritedRunOfARestartedWorkerIsStoppedFirst)
{
	for (bool is_registered : { false, true }) {
		JobSim s(6);
		SCOPED_TRACE(is_registered);
		uint64_t a = s.add_worker(8000);
		s.run_time_ms = [](const SimTask &) { return 60000; };
		s.lead();
		s.run(100);
		s.call_ms = 40;
		s.submit(1, "batch", { JobSim::step(1, 1000) });
		s.run(30);
		s.crash(a);
		s.restart_worker(a);
		while (s.workers[a].running.empty())
			s.run(1);
		if (is_registered)
			s.heartbeat(a);
		s.call_ms = 2;
		s.stop_max_ms = 900;
		s.add_worker(8000);
		s.lead();
		s.run(300);
		if (!is_registered)
			s.heartbeat(a);
		s.run(15000);
		EXPECT_EQ(2, s.starts[TASK]);
	}
}

/* Guards against an end as done in a worker's next incarnation that is
 * acknowledged after the task was started elsewhere, because that incarnation
 * registered late. */
TEST(JobTwice, ARunInTheNextIncarnationIsKeptUntilItsEndsAreKnown)
{
	JobSim s(7);
	uint64_t a = s.add_worker(8000);

	s.run_time_ms = [](const SimTask &) { return 60; };
	s.lead();
	s.run(100);
	s.call_ms = 40;
	s.submit(1, "batch", { JobSim::step(1, 1000) });
	s.run(30);
	s.crash(a);
	s.restart_worker(a);
	s.add_worker(8000);
	s.run(3000);
	s.heartbeat(a);
	s.run(3000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
	EXPECT_EQ(1, s.starts[TASK]);
}

/* Guards against the same lease when the leader changes before the worker is
 * cut off. */
TEST(JobTwice, ALeaseMeantForTheEarlierIncarnationIsKnownToTheNextLeader)
{
	JobSim s(8);
	uint64_t a = run_by_an_advanced_clock(s);
	auto *ws = (struct wsess *)jst_find_worker(&s.st, a)->session;
	uint64_t serial = ws->poll_serial;

	while (ws->poll_serial == serial)
		s.run(1);
	s.crash(a);
	s.restart_worker(a);
	s.run(310);
	ASSERT_GT(s.workers[a].lease_until_ms, JLEAD_LEASE_MS + 2000);
	s.call_ms = 2;
	s.heartbeat(a);
	s.run(100);
	s.lead();
	s.run(100);
	cut_off_next_incarnation(s, a);
}

/* Guards against a start that is ordered although an earlier run is known to
 * have done the task, because that end isn't committed yet. */
TEST(JobTwice, NothingIsStartedWhileAnEndAsDoneIsCommitted)
{
	JobSim s(9);
	uint64_t a = s.add_worker(8000);

	s.run_time_ms = [](const SimTask &) { return 5500; };
	s.lead();
	s.submit(1, "batch", { JobSim::step(1, 1000) });
	s.run(300);
	ASSERT_EQ(1U, s.workers[a].running.size());
	s.set_unreachable(a, true);
	s.run(8000);
	s.commit_ms = 2000;
	s.add_worker(8000);
	s.run(100); /* the second run is being assigned */
	s.set_unreachable(a, false);
	s.run(6000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
	EXPECT_EQ(1, s.starts[TASK]);
}

/* Guards against members of a gang that run again, or are started again, after
 * a run that was given up has done the gang's step. */
TEST(JobTwice, ALaterRunOfAGangEndsWithItsStep)
{
	JobSim s(10);
	uint64_t a = s.add_worker(1000), b = s.add_worker(1000);
	Job__Step gang = JobSim::step(2, 1000), next = JobSim::step(1, 1000);
	uint32_t after[1] = { 0 };

	gang.has_gang = gang.gang = 1;
	next.after = after;
	next.n_after = 1;
	s.run_time_ms = [&s](const SimTask &k) {
		return k.step == 0 && s.now_ms < 1005000 ? 5500 : 60000;
	};
	s.lead();
	s.submit(1, "batch", { gang, next });
	s.run(500);
	ASSERT_EQ(1U, s.workers[a].running.size());
	ASSERT_EQ(1U, s.workers[b].running.size());
	s.set_unreachable(a, true);
	s.set_unreachable(b, true);
	uint64_t c = s.add_worker(1000), d = s.add_worker(1000);
	s.run(7500);
	ASSERT_EQ(1U, s.workers[c].running.size());
	ASSERT_EQ(1U, s.workers[d].running.size());
	s.set_unreachable(a, false);
	s.run(3000);
	for (auto &x : s.workers) {
		for (auto &y : x.second.running)
			EXPECT_EQ(1U, y.first.step) << x.second.id;
	}
}

/* Guards against ends that are acknowledged and lost because the worker lists
 * them in another order than that of their numbers. */
TEST(JobTwice, EndsAreHeardInWhateverOrderTheyAreListed)
{
	JobSim s(11);
	s.list_ends_backwards = true;
	for (int i = 0; i < 3; i++)
		s.add_worker(8000);
	s.lead();
	s.submit(1, "batch", { JobSim::step(18, 1000) });
	s.run(300);
	s.dark(2500);
	s.lead();
	s.run(6000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
	for (auto &x : s.starts)
		EXPECT_EQ(1, x.second) << "task " << x.first.index;
}

/* Guards against runs that are stopped and started again because their ends
 * don't fit into one answer of their worker. */
TEST(JobTwice, RunsWhoseEndsAreListedLaterAreKept)
{
	JobSim s(12);
	s.add_worker(800000);
	s.lead();
	s.submit(1, "batch", { JobSim::step(700, 1000) });
	s.run(500);
	s.dark(2500);
	s.lead();
	s.run(6000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
	for (auto &x : s.starts)
		EXPECT_EQ(1, x.second) << "task " << x.first.index;
}

/* Guards against a run that is given up while it is under a lease, because the
 * bound of that lease is compared with the clock of another incarnation. */
TEST(JobTwice, TheClockOfTheNextIncarnationEndsNoLease)
{
	const int64_t hour_ms = 3600000;
	JobSim s(15);
	uint64_t a = s.add_worker(8000);

	s.workers[a].clock_start_ms = s.now_ms - 2 * hour_ms;
	s.run_time_ms = [](const SimTask &) { return 60000; };
	s.lead();
	s.run(300);
	s.call_ms = 300;
	s.submit(1, "batch", { JobSim::step(1, 1000) });
	s.run(100);
	s.crash(a);
	s.restart_worker(a);
	s.workers[a].clock_start_ms = s.now_ms - hour_ms;
	s.run(500);
	ASSERT_EQ(1U, s.workers[a].running.size());
	s.add_worker(8000);
	s.set_unreachable(a, true);
	s.run(20000);
	EXPECT_EQ(2, s.starts[TASK]) << "given up and started again";
}

/* Runs a worker, which restarts silently and is given a task before its first
 * heartbeat; returns it. Another worker comes when the task runs. */
uint64_t
start_in_next_incarnation(JobSim &s)
{
	uint64_t a = s.add_worker(8000);

	s.workers[a].clock_start_ms = s.now_ms - 480000;
	s.run_time_ms = [](const SimTask &) { return 4000; };
	s.stop_max_ms = 600;
	s.restarts_are_silent = true;
	s.lead();
	s.run(1500);
	s.crash(a);
	s.restart_worker(a);
	s.submit(1, "batch", { JobSim::step(1, 1000) });
	s.run(100);
	EXPECT_EQ(1U, s.workers[a].running.size());
	s.add_worker(8000);
	return a;
}

/* Guards against a lease that never expires: the answer to a start comes from a
 * worker's next incarnation, and its clock is compared with the lease by the
 * clock before. */
TEST(JobTwice, AWorkerThatIsLostAfterASilentRestartLosesItsTasks)
{
	for (bool is_stop : { false, true }) {
		JobSim s(16);
		SCOPED_TRACE(is_stop);
		uint64_t a = start_in_next_incarnation(s);
		if (is_stop)
			s.cancel(1);
		s.submit(2, "batch", { JobSim::step(1, 1000) });
		s.run(400);
		s.crash(a);
		s.workers[a].unreachable = true;
		s.run(16000);
		EXPECT_EQ(JST_COMPLETED, s.state(2));
		EXPECT_EQ(is_stop ? JST_CANCELLED : JST_COMPLETED, s.state(1));
	}
}

/* Guards against a task that runs twice: its start was carried out in a
 * worker's next incarnation, and counts as a run of the one before when the
 * next one is registered. */
TEST(JobTwice, ATaskStartedAfterASilentRestartIsStoppedFirst)
{
	for (bool lacks_clock : { false, true }) {
		for (int64_t at = 0; at < 1200; at += 100) {
			JobSim s(17);
			SCOPED_TRACE(at);
			s.answers_lack_clock = lacks_clock;
			uint64_t a = start_in_next_incarnation(s);
			s.run(at);
			s.heartbeat(a);
			s.run(8000);
			EXPECT_EQ(JST_COMPLETED, s.state(1));
		}
	}
}

/* Guards against a task that runs twice: its worker restarts silently, takes it
 * and is cut off, whether or not the answer arrives, under a lease that is
 * longer than those that were sent. */
TEST(JobTwice, ATaskStartedAfterASilentRestartOutlivesACut)
{
	for (bool is_answered : { false, true }) {
		JobSim s(18);
		SCOPED_TRACE(is_answered);
		s.run_time_ms = [](const SimTask &) { return 30000; };
		uint64_t a = s.add_worker(8000);
		s.workers[a].clock_start_ms = s.now_ms - 480000;
		s.restarts_are_silent = true;
		s.lead();
		s.run(1500);
		s.crash(a);
		s.restart_worker(a);
		s.call_ms = 40;
		s.submit(1, "batch", { JobSim::step(1, 1000) });
		for (int i = 0; i < 500 && s.workers[a].running.empty(); i++)
			s.run(1);
		ASSERT_EQ(1U, s.workers[a].running.size());
		s.run(is_answered ? 100 : 0);
		s.add_worker(8000);
		s.set_unreachable(a, true);
		s.run(20000);
		EXPECT_EQ(2, s.starts[TASK]) << "not given up";
	}
}

/* Guards against a task that runs twice: the next leader counts on shorter
 * leases than the one that a call meant for the incarnation before has given a
 * worker that has restarted, and is cut off before it answers. */
TEST(JobTwice, ANewLeaderWaitsForTheLeasesOfARestartedWorker)
{
	for (bool is_reloaded : { false, true }) {
		JobSim s(19);
		SCOPED_TRACE(is_reloaded);
		s.run_time_ms = [](const SimTask &) { return 60000; };
		uint64_t a = s.add_worker(8000);
		s.workers[a].clock_start_ms = s.now_ms - 480000;
		s.lead();
		s.run(1500);
		s.call_ms = 200;
		s.submit(1, "batch", { JobSim::step(1, 1000) });
		s.run(100);
		s.crash(a);
		s.restart_worker(a);
		for (int i = 0; i < 500 && s.workers[a].running.empty(); i++)
			s.run(1);
		ASSERT_EQ(1U, s.workers[a].running.size());
		s.call_ms = 2;
		s.heartbeat(a);
		s.add_worker(8000);
		s.set_unreachable(a, true);
		s.dark(100);
		if (is_reloaded)
			s.reload();
		s.lead();
		s.run(20000);
		EXPECT_EQ(2, s.starts[TASK]) << "not given up";
	}
}

/* Guards against an end that is acknowledged unheard: a poll that acknowledges
 * ends of a worker's earlier incarnation is delayed and reaches the next one,
 * which has ended a run of the same number. */
TEST(JobTwice, ADelayedAcknowledgementReachesNoLaterIncarnation)
{
	for (int64_t at = 0; at < 6000; at += 300) {
		JobSim s(20 + (uint64_t)at);
		SCOPED_TRACE(at);
		uint64_t a = s.add_worker(8000);
		s.late_reach_next_incarnation = true;
		s.run_time_ms = [](const SimTask &) { return 300; };
		s.lead();
		s.run(200);
		s.is_late = [](const jl_call &c) {
			return c.kind == JL_POLL && c.acked_end > 0;
		};
		s.submit(1, "batch", { JobSim::step(4, 1000) });
		s.run(500);
		s.crash(a);
		s.restart_worker(a);
		s.heartbeat(a);
		s.is_late = [](const jl_call &) { return false; };
		s.run(1000 + at);
		/* The ends are listed until they are committed. */
		s.commit_ms = 3000;
		s.submit(2, "batch", { JobSim::step(4, 1000) });
		s.run(15000);
		EXPECT_EQ(JST_COMPLETED, s.state(2));
		for (uint32_t i = 0; i < 4; i++)
			EXPECT_EQ(1, (s.starts[{ 2, 0, 0, i }]));
	}
}

/* Failures that happen while a fleet runs short tasks; one bit each. */
enum mix {
	MIX_LEADERS = 1,      /* leaders change */
	MIX_DARK = 2,	      /* nobody leads for up to 8 s */
	MIX_SLOW_LOG = 4,     /* commits take up to 2 s */
	MIX_SLOW_ANSWERS = 8, /* answers take up to 2 s and overtake others */
	MIX_LATE = 16,	      /* orders and polls are carried out late */
	MIX_CUTS = 32,	      /* workers are cut off and come back */
	MIX_CRASH = 64,	      /* workers restart under their ids */
	MIX_CANCEL = 128,     /* jobs are cancelled */
	MIX_RELAYS = 256      /* instances that relay calls are lost */
};

/* Submits a job with a random mix of steps. */
void
submit_some(JobSim &s, uint64_t id, uint32_t count)
{
	Job__Step first = JobSim::step(count, 1000);
	Job__Step second = JobSim::step(2, 500);
	uint32_t after[1] = { 0 };
	bool is_gang = rng_chance(&s.rng, 0.2);

	first.has_gang = first.gang = is_gang;
	first.count = is_gang ? 2 : count;
	second.after = after;
	second.n_after = rng_chance(&s.rng, 0.5);
	s.submit(id, id % 2 == 0 ? "fast" : "batch", { first, second },
	    rng_chance(&s.rng, 0.2) ? 2 : 0);
}

/* Replaces the leader, at times by a replica that loaded a snapshot. */
void
change_leader(JobSim &s, unsigned mixes)
{
	if ((mixes & MIX_DARK) && rng_chance(&s.rng, 0.3)) {
		s.dark(500 + (int64_t)rng_below(&s.rng, 7500));
		s.reload();
		s.lead();
	} else if ((mixes & MIX_LEADERS) && rng_chance(&s.rng, 0.3)) {
		s.lead();
	}
}

/* Causes some of the failures of a mix. */
void
disturb(JobSim &s, unsigned mixes)
{
	size_t n = 1 + s.workers.size() / 20;

	for (size_t i = 0; i < n; i++) {
		uint64_t w = 1 + rng_below(&s.rng, s.workers.size());

		if ((mixes & MIX_CUTS) && rng_chance(&s.rng, 0.4))
			s.set_unreachable(w, !s.workers[w].unreachable);
		if ((mixes & MIX_CRASH) && rng_chance(&s.rng, 0.2)) {
			s.crash(w);
			s.restart_worker(w);
			s.events.emplace(
			    s.now_ms + (int64_t)rng_below(&s.rng, 2500),
			    [&s, w]() { s.heartbeat(w); });
		}
	}
	change_leader(s, mixes);
}

/* Runs one mix of failures with this many workers; the simulation does the
 * checks. */
void
run_mix(uint64_t seed, unsigned mixes, int nworkers)
{
	JobSim s(seed);
	uint64_t job = 0;

	SCOPED_TRACE(
	    "mix " + std::to_string(mixes) + " seed " + std::to_string(seed));
	s.clock_drift_permille = JLEAD_CLOCK_DRIFT_PERMILLE;
	s.stop_max_ms = 900;
	for (int i = 0; i < nworkers; i++)
		s.add_worker(4000);
	s.run_time_ms = [&s](const SimTask &) {
		return 200 + (int64_t)rng_below(&s.rng, 4000);
	};
	s.task_fails = [&s](const SimTask &, uint64_t) {
		return rng_chance(&s.rng, 0.02);
	};
	s.commit_delay_max_ms = mixes & MIX_SLOW_LOG ? 2000 : 0;
	s.slow_answer_rate = mixes & MIX_SLOW_ANSWERS ? 0.1 : 0;
	s.late_rate = s.late_poll_rate = mixes & MIX_LATE ? 0.05 : 0;
	s.relay_lost_rate = mixes & MIX_RELAYS ? 0.05 : 0;
	s.lead();
	for (int i = 0; i < 12; i++) {
		submit_some(s, ++job, (uint32_t)nworkers * 2);
		submit_some(s, ++job, 3);
		s.run((int64_t)rng_below(&s.rng, 1500));
		if ((mixes & MIX_CANCEL) && rng_chance(&s.rng, 0.3))
			s.cancel(1 + rng_below(&s.rng, job));
		disturb(s, mixes);
	}
	s.late_rate = s.late_poll_rate = s.slow_answer_rate =
	    s.relay_lost_rate = 0;
	s.commit_delay_max_ms = 0;
	for (auto &x : s.workers) {
		if (x.second.unreachable)
			s.set_unreachable(x.first, false);
	}
	for (int i = 0; i < 60 && s.st.active != NULL; i++)
		s.run(1000);
	for (uint64_t j = 1; j <= job; j++)
		EXPECT_NE(JST_ACTIVE, s.state(j)) << "job " << j;
}

class JobTwiceMixes : public testing::TestWithParam<unsigned> {};

/* Guards against tasks that run twice, or start after they were done, on a
 * small fleet. */
TEST_P(JobTwiceMixes, SmallFleet)
{
	const char *more = getenv("JOB_SEEDS");
	uint64_t seeds = more == NULL ? 3 : strtoull(more, NULL, 10);

	for (uint64_t seed = 1; seed <= seeds && !HasFailure(); seed++)
		run_mix(seed, GetParam(), 5);
}

/* Guards against the same on a fleet whose workers are not all polled at once
 * by a new leader. */
TEST(JobTwiceLarge, NoTaskRunsTwice)
{
	const char *more = getenv("JOB_SEEDS_LARGE");
	uint64_t seeds = more == NULL ? 1 : strtoull(more, NULL, 10);

	for (uint64_t seed = 1; seed <= seeds && !HasFailure(); seed++) {
		run_mix(seed, MIX_DARK | MIX_SLOW_LOG, 200);
		run_mix(seed, 63, 200);
		run_mix(seed, 511, 200);
	}
}

INSTANTIATE_TEST_SUITE_P(Mixes, JobTwiceMixes,
    testing::Values(MIX_DARK | MIX_SLOW_LOG, MIX_SLOW_ANSWERS, MIX_LATE,
	MIX_SLOW_LOG | MIX_CUTS, MIX_LEADERS | MIX_CRASH, 63, 63 | MIX_CANCEL,
	127, 511));

} // namespace
