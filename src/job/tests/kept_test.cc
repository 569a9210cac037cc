#include "job/tests/job_sim.h"

#include <cstdlib>

namespace {

/* Failures that happen while long-running tasks run; one bit each. */
enum mix {
	MIX_LEADERS = 1,      /* leaders change */
	MIX_LATE = 2,	      /* orders get no answer, are carried out late */
	MIX_LOSE = 4,	      /* calls are lost */
	MIX_RELAYS = 8,	      /* instances that relay calls are lost */
	MIX_CRASH = 16,	      /* workers restart under their ids */
	MIX_UNREACHABLE = 32, /* workers are cut off and come back */
	MIX_LEAVE = 64,	      /* workers drain and leave; new ones come */
	MIX_PAUSE = 128,      /* the leader is paused while others lead */
	MIX_DARK = 256,	      /* nobody leads for some seconds */
	MIX_LEAVE_AT_ONCE = 512, /* workers leave that nobody saw drain */
	MIX_SLOW_LOG = 1024	 /* commits take up to half a second */
};

/* Causes some of the failures of a mix. */
void
disturb(JobSim &s, unsigned mixes)
{
	uint64_t w = 1 + rng_below(&s.rng, s.workers.size());
	SimWorker &worker = s.workers[w];

	if ((mixes & MIX_LEADERS) && rng_chance(&s.rng, 0.3))
		s.lead();
	if ((mixes & MIX_DARK) && rng_chance(&s.rng, 0.2)) {
		s.dark((int64_t)rng_below(&s.rng, 8000));
		s.lead();
	}
	if ((mixes & MIX_CRASH) && rng_chance(&s.rng, 0.4) && worker.up) {
		s.crash(w);
		s.run((int64_t)rng_below(&s.rng, 300));
		s.restart_worker(w);
		if (rng_chance(&s.rng, 0.5))
			s.run((int64_t)rng_below(&s.rng, 1000));
		s.heartbeat(w);
	}
	if ((mixes & MIX_UNREACHABLE) && rng_chance(&s.rng, 0.4))
		s.set_unreachable(w, !worker.unreachable);
	if ((mixes & MIX_LEAVE) && rng_chance(&s.rng, 0.4)) {
		s.leave(w, (int64_t)rng_below(&s.rng, 2000),
		    (int64_t)rng_below(&s.rng, 6000), rng_chance(&s.rng, 0.5));
		s.add_worker(8000);
	}
	if ((mixes & MIX_LEAVE_AT_ONCE) && rng_chance(&s.rng, 0.5)) {
		s.leave_at_once(w, (int64_t)rng_below(&s.rng, 3000));
		s.add_worker(8000);
	}
	if ((mixes & MIX_PAUSE) && rng_chance(&s.rng, 0.3)) {
		s.pause();
		s.run(1000);
		s.lead();
	} else if (rng_chance(&s.rng, 0.3)) {
		s.resume();
	}
}

/* Runs one mix of failures; the simulation does the checks. */
void
run_mix(uint64_t seed, unsigned mixes)
{
	JobSim s(seed);
	uint64_t job = 0;

	SCOPED_TRACE(
	    "mix " + std::to_string(mixes) + " seed " + std::to_string(seed));
	for (int i = 0; i < 6; i++)
		s.add_worker(8000);
	s.run_time_ms = [&s](const SimTask &) {
		return 200 + (int64_t)rng_below(&s.rng, 3000);
	};
	s.lasting_ms = [&s](const SimTask &) {
		return 500 + (int64_t)rng_below(&s.rng, 10000);
	};
	s.late_rate = mixes & MIX_LATE ? 0.1 : 0;
	s.loss_rate = mixes & MIX_LOSE ? 0.1 : 0;
	s.relay_lost_rate = s.relay_dropped_rate = mixes & MIX_RELAYS ? 0.1 : 0;
	s.check_lasting = true;
	s.commit_delay_max_ms = mixes & MIX_SLOW_LOG ? 500 : 0;
	s.lead();
	for (int i = 0; i < 16; i++) {
		Job__Step st = JobSim::step(2, 500);
		st.has_lasting = st.lasting = i % 3 == 0;
		s.submit(++job, i % 2 == 0 ? "fast" : "batch", { st });
		s.run((int64_t)rng_below(&s.rng, 800));
		disturb(s, mixes);
	}
	s.resume();
	s.late_rate = s.loss_rate = s.relay_lost_rate = s.relay_dropped_rate =
	    0;
	for (auto &x : s.workers) {
		if (x.second.unreachable)
			s.set_unreachable(x.first, false);
	}
	s.run(40000);
	for (uint64_t j = 1; j <= job; j++)
		EXPECT_EQ(
		    (j - 1) % 3 == 0 ? JST_ACTIVE : JST_COMPLETED, s.state(j))
		    << "job " << j;
}

/* Returns a step of long-running tasks. */
Job__Step
lasting_step(uint32_t count, uint32_t cpu)
{
	Job__Step st = JobSim::step(count, cpu);

	st.has_lasting = st.lasting = 1;
	return st;
}

/* Guards against a task that waits for a worker which answers polls and never
 * a start, while other workers have room. */
TEST(JobKept, ATaskWhoseStartIsNeverConfirmedGoesElsewhere)
{
	JobSim s(1);
	uint64_t a = s.add_worker(8000);
	s.lead();
	s.run(100);
	s.drop_starts_to = a;
	s.submit(1, "batch", { lasting_step(1, 1000) });
	s.run(200);
	uint64_t b = s.add_worker(8000);
	s.run(6000);
	EXPECT_EQ(1U, s.workers[b].running.size());
}

/* Guards against a task whose end is never heard because the instance that
 * polls its worker loses the answers, though another would not. */
TEST(JobKept, AnEndIsHeardThroughAnotherInstance)
{
	JobSim s(3);
	s.add_worker(8000);
	s.lasting_ms = [](const SimTask &) { return 2000; };
	s.lead();
	s.submit(1, "batch", { lasting_step(1, 1000) });
	s.run(1000);
	ASSERT_EQ(1, (s.starts[{ 1, 0, 0, 0 }]));
	s.relays_losing_answers = 1;
	s.run(1000 + 6000);
	EXPECT_GE((s.starts[{ 1, 0, 0, 0 }]), 2);
}

/* Guards against a task that waits without end for the stop of a start which
 * was never confirmed, at a worker that answers nothing but polls. */
TEST(JobKept, ATaskWhoseStartAndStopAreLostGoesElsewhere)
{
	JobSim s(5);
	uint64_t a = s.add_worker(8000);
	s.lead();
	s.run(100);
	s.drop_starts_to = a;
	s.drop_stops = true;
	s.submit(1, "batch", { lasting_step(1, 1000) });
	s.run(200);
	uint64_t b = s.add_worker(8000);
	s.run(JLEAD_START_MS + JLEAD_LEASE_MS + 3000);
	EXPECT_EQ(1U, s.workers[b].running.size());
}

/* Guards against a start that is repeated at a worker which has begun to drain,
 * until it is carried out there. */
TEST(JobKept, AStartIsNotRepeatedAtADrainingWorker)
{
	JobSim s(2);
	uint64_t a = s.add_worker(8000);
	s.lead();
	s.run(100);
	s.drop_starts_to = a;
	s.submit(1, "batch", { lasting_step(1, 1000) });
	s.run(200);
	s.drain(a);
	uint64_t b = s.add_worker(8000);
	s.run(700);
	s.drop_starts_to = 0;
	s.run(3000);
	EXPECT_EQ(0U, s.workers[a].running.size());
	EXPECT_EQ(1U, s.workers[b].running.size());
}

/* Guards against a task that is given to another worker while a late order may
 * still start it on the first one. */
TEST(JobKept, ATaskGivenElsewhereIsNotStartedByALateOrder)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		JobSim s(seed);
		SCOPED_TRACE(seed);
		for (int i = 0; i < 3; i++)
			s.add_worker(8000);
		s.lead();
		s.run(100);
		s.late_rate = 0.7;
		for (uint64_t j = 1; j <= 6; j++)
			s.submit(j, "batch", { lasting_step(2, 1000) });
		s.run(8000);
		s.late_rate = 0;
		s.run(12000);
		size_t n = 0;
		for (auto &x : s.workers)
			n += x.second.running.size();
		EXPECT_EQ(12U, n);
	}
}

/* Guards against a run that is taken for refused, and started a second time,
 * because a replica that leads again gets the answer to a start of its earlier
 * term. */
TEST(JobKept, AnAnswerToACallOfAnEarlierTermEndsNoRun)
{
	JobSim s(4);
	uint64_t a = s.add_worker(8000);
	s.lead();
	s.submit(1, "batch", { lasting_step(1, 1000) });
	s.run(1000);
	ASSERT_EQ(1U, s.workers[a].running.size());
	uint64_t before = s.jl.serial;
	s.lead();
	jl_reply late = {};
	late.kind = JL_NO_ROOM;
	late.call = JL_START;
	late.worker = a;
	late.serial = before;
	job__task__init(&late.task);
	late.task.job = 1;
	late.run = 1;
	jlead_reply(&s.jl, s.now(), &late);
	s.run(2000);
	EXPECT_EQ(1, (s.starts[{ 1, 0, 0, 0 }]));
	EXPECT_EQ(1U, s.workers[a].running.size());
}

/* Guards against a task that is stopped and started again because its worker
 * was silent after it had carried out the order. */
TEST(JobKept, ATaskStartedBeforeItsWorkerWasSilentIsKept)
{
	for (int64_t silent_ms = 1000; silent_ms <= 5000; silent_ms += 250) {
		JobSim s(4);
		SCOPED_TRACE(silent_ms);
		uint64_t a = s.add_worker(8000);
		s.lead();
		s.run(100);
		s.relays_losing_answers = 1;
		s.submit(1, "batch", { lasting_step(1, 1000) });
		s.run(40);
		s.relays_losing_answers = 0;
		ASSERT_EQ(1U, s.workers[a].running.size());
		s.set_unreachable(a, true);
		s.add_worker(8000);
		s.run(silent_ms);
		s.set_unreachable(a, false);
		s.run(10000);
		EXPECT_EQ(1U, s.workers[a].running.size());
		EXPECT_EQ(1, (s.starts[{ 1, 0, 0, 0 }]));
	}
}

/* Guards against a long-running task that waits for the longest lease after its
 * run was stopped in its worker's next incarnation, because that has gone
 * silent. */
TEST(JobKept, ATaskStoppedInTheNextIncarnationIsStartedSoon)
{
	JobSim s(6);
	uint64_t a = s.add_worker(8000);
	s.lead();
	s.submit(1, "batch", { lasting_step(1, 1000) });
	s.run(1000);
	ASSERT_EQ(1U, s.workers[a].running.size());
	uint64_t b = s.add_worker(8000);
	s.run(100);
	s.crash(a);
	s.restart_worker(a);
	s.lead();
	s.is_late = [b](const jl_call &c) {
		return c.kind == JL_POLL && c.worker != b;
	};
	s.heartbeat(a);
	s.run(100);
	s.set_unreachable(a, true);
	s.run(JLEAD_STOP_MAX_MS + 200);
	EXPECT_EQ(1U, s.workers[b].running.size());
}

class JobKeptMixes : public testing::TestWithParam<unsigned> {};

/* Guards against a task that is accepted and not started again after its run
 * has ended, although there is room. */
TEST_P(JobKeptMixes, LongRunningTasksAreStartedAgain)
{
	const char *more = getenv("JOB_SEEDS");
	uint64_t seeds = more == NULL ? 16 : strtoull(more, NULL, 10);

	for (uint64_t seed = 1; seed <= seeds && !HasFailure(); seed++)
		run_mix(seed, GetParam());
}

INSTANTIATE_TEST_SUITE_P(Mixes, JobKeptMixes,
    testing::Values(0, MIX_LEADERS, MIX_LATE, MIX_LOSE, MIX_RELAYS, MIX_CRASH,
	MIX_UNREACHABLE, MIX_LEAVE, MIX_PAUSE, MIX_DARK, MIX_DARK | MIX_CRASH,
	MIX_DARK | MIX_UNREACHABLE, MIX_DARK | MIX_LEAVE, MIX_LATE | MIX_CRASH,
	MIX_LEAVE | MIX_LEADERS | MIX_LATE, MIX_CRASH | MIX_LEADERS,
	MIX_LEAVE_AT_ONCE, 255, 1023, MIX_SLOW_LOG,
	MIX_SLOW_LOG | MIX_UNREACHABLE,
	MIX_SLOW_LOG | MIX_DARK | MIX_UNREACHABLE, 2047));

} // namespace
