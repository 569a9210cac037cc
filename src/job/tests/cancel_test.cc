#include "job/tests/job_sim.h"

#include <cstdlib>

/* Tests of how soon the tasks of cancelled jobs end. */

namespace {

const SimTask TASK = { 1, 0, 0, 0 };
/* Most orders of a run that its worker loses one after the other. */
const int ORDERS_LOST_MAX = 3;

/* Cancels the job of a running task whose first nlost stops are lost; returns
 * how long the task runs on. */
int64_t
cancelled_task_ms(JobSim &s, int nlost)
{
	int64_t cancelled_ms = s.now_ms;

	s.is_late = [nlost](const jl_call &c) mutable {
		return c.kind == JL_STOP && nlost-- > 0;
	};
	s.cancel(1);
	while (s.starts[TASK] > 0 && s.now_ms < cancelled_ms + 10000) {
		bool runs = false;
		for (auto &w : s.workers)
			runs |= w.second.running.count(TASK) > 0;
		if (!runs)
			break;
		s.run(1);
	}
	return s.now_ms - cancelled_ms;
}

/* Guards against a task of a cancelled job that runs on too long because its
 * worker loses the first orders to stop it. */
TEST(JobCancel, ATaskWhoseStopsAreLostEndsInTime)
{
	for (int nlost = 0; nlost <= ORDERS_LOST_MAX; nlost++) {
		JobSim s(1);
		SCOPED_TRACE(nlost);
		s.add_worker(8000);
		s.run_time_ms = [](const SimTask &) { return -1; };
		s.lead();
		s.submit(1, "batch", { JobSim::step(1, 1000) });
		s.run(4000);
		EXPECT_LE(cancelled_task_ms(s, nlost), JobSim::CANCEL_MS);
	}
}

/* Guards against delays of a run's starts that also delay its stops. */
TEST(JobCancel, FailedStartsDontDelayTheStops)
{
	for (int nlost = 0; nlost <= ORDERS_LOST_MAX; nlost++) {
		JobSim s(2);
		int starts = 2;
		SCOPED_TRACE(nlost);
		s.add_worker(8000);
		s.run_time_ms = [](const SimTask &) { return -1; };
		s.is_late = [&starts](const jl_call &c) {
			return c.kind == JL_START && starts-- > 0;
		};
		s.lead();
		s.submit(1, "batch", { JobSim::step(1, 1000) });
		s.run(4000);
		ASSERT_EQ(1, s.starts[TASK]);
		EXPECT_LE(cancelled_task_ms(s, nlost), JobSim::CANCEL_MS);
	}
}

/* Guards against a task of a cancelled job that runs on where the leader has no
 * run of it, because the orders to stop it are lost. */
TEST(JobCancel, AnOrphanedRunIsStoppedThoughStopsAreLost)
{
	for (int nlost = 0; nlost <= ORDERS_LOST_MAX; nlost++) {
		JobSim s(3);
		SCOPED_TRACE(nlost);
		uint64_t a = s.add_worker(8000);
		s.run_time_ms = [](const SimTask &) { return -1; };
		s.lead();
		s.submit(1, "batch", { JobSim::step(1, 1000) });
		s.submit(2, "batch", { JobSim::step(1, 1000) });
		s.run(1000);
		SimRun run = s.workers[a].running[TASK];
		s.cancel(1);
		s.run(1000);
		ASSERT_EQ(0U, s.workers[a].running.count(TASK));
		run.started_ms = s.now_ms;
		s.workers[a].running[TASK] = run;
		EXPECT_LE(
		    cancelled_task_ms(s, nlost), JobSim::CANCEL_MS + 1000);
	}
}

/* Guards against a task of a cancelled job that runs on because its worker has
 * confirmed the stop and lists the run all the same. */
TEST(JobCancel, ARunThatIsListedAfterItsStopIsStoppedAgain)
{
	JobSim s(4);
	uint64_t a = s.add_worker(8000);
	s.run_time_ms = [](const SimTask &) { return -1; };
	s.lead();
	s.submit(1, "batch", { JobSim::step(1, 1000) });
	s.run(4000);
	SimRun run = s.workers[a].running[TASK];
	s.cancel(1);
	while (s.workers[a].running.count(TASK) > 0)
		s.run(1);
	s.workers[a].ended.clear();
	s.workers[a].running[TASK] = run;
	EXPECT_LE(cancelled_task_ms(s, 0), JobSim::CANCEL_MS);
}

/* Failures around the cancels; one bit each. */
enum mix {
	MIX_LOSE = 1,	       /* calls are lost until 3 s before the cancels */
	MIX_LEADERS = 2,       /* the leader changes 3 s before */
	MIX_LEAVE = 4,	       /* workers drain and leave; new ones come */
	MIX_SLOW_LOG = 8,      /* commits take up to half a second */
	MIX_SLOW_ANSWERS = 16, /* answers take up to 0.7 s longer */
	MIX_LATE = 32,	       /* orders get no answer, are carried out late */
	MIX_CRASH = 64	       /* a worker restarts 3 s before */
};

/* Makes a worker leave, and adds another one. */
void
replace_worker(JobSim &s)
{
	uint64_t w = 1 + rng_below(&s.rng, s.workers.size());

	s.leave(w, (int64_t)rng_below(&s.rng, 2000),
	    (int64_t)rng_below(&s.rng, 6000), rng_chance(&s.rng, 0.5));
	s.add_worker(8000);
}

/* Disrupts workers and leaders of a mix for some time. */
void
disrupt(JobSim &s, unsigned mixes)
{
	uint64_t w = 1 + rng_below(&s.rng, s.workers.size());

	s.loss_rate = mixes & MIX_LOSE ? 0.3 : 0;
	s.run((int64_t)rng_below(&s.rng, 3000));
	s.loss_rate = 0;
	if ((mixes & MIX_CRASH) && s.workers[w].up) {
		s.crash(w);
		s.run((int64_t)rng_below(&s.rng, 300));
		s.restart_worker(w);
		s.heartbeat(w);
	}
	if (mixes & MIX_LEADERS)
		s.lead();
}

/* Cancels jobs one by one, some just after they are submitted, while nothing is
 * disrupted. */
void
cancel_all(JobSim &s, unsigned mixes, uint64_t &job, std::vector<uint64_t> live)
{
	while (!live.empty()) {
		size_t at = rng_below(&s.rng, live.size());

		if (rng_chance(&s.rng, 0.3)) {
			s.submit(++job, "batch", { JobSim::step(2, 500) });
			live.push_back(job);
			s.run((int64_t)rng_below(&s.rng, 40));
		}
		s.cancel(live[at]);
		live.erase(live.begin() + (long)at);
		s.run((int64_t)rng_below(&s.rng, 200));
		if ((mixes & MIX_LEAVE) && rng_chance(&s.rng, 0.2))
			replace_worker(s);
	}
}

/* Sets the rates of a mix. A worker loses at most ORDERS_LOST_MAX orders of a
 * run one after the other. */
void
set_rates(JobSim &s, unsigned mixes)
{
	auto lost = std::make_shared<std::map<SimTask, int>>();

	s.stop_max_ms = JobSim::STOP_MS;
	s.commit_delay_max_ms = mixes & MIX_SLOW_LOG ? 500 : 0;
	s.slow_answer_rate = mixes & MIX_SLOW_ANSWERS ? 0.3 : 0;
	s.slow_answer_max_ms = 700;
	if (!(mixes & MIX_LATE))
		return;
	s.is_late = [&s, lost](const jl_call &c) {
		int &n = (*lost)[{
		    c.task.job, c.task.occurrence, c.task.step, c.task.index }];
		if (c.kind == JL_POLL)
			return false;
		bool late = n < ORDERS_LOST_MAX && rng_chance(&s.rng, 0.4);
		n = late ? n + 1 : 0;
		return late;
	};
}

/* Runs one mix; the simulation does the checks. */
void
run_mix(uint64_t seed, unsigned mixes)
{
	JobSim s(seed);
	uint64_t job = 0;

	SCOPED_TRACE(
	    "mix " + std::to_string(mixes) + " seed " + std::to_string(seed));
	for (int i = 0; i < 6; i++)
		s.add_worker(8000);
	s.run_time_ms = [](const SimTask &) { return -1; };
	set_rates(s, mixes);
	s.lead();
	for (int round = 0; round < 3; round++) {
		std::vector<uint64_t> live;
		for (int i = 0; i < 8; i++) {
			s.submit(++job, i % 2 == 0 ? "fast" : "batch",
			    { JobSim::step(2, 500) });
			live.push_back(job);
			s.run((int64_t)rng_below(&s.rng, 200));
		}
		disrupt(s, mixes);
		s.run(JobSim::NEAR_MS + 1);
		cancel_all(s, mixes, job, live);
		s.run(JobSim::CANCEL_MS + JobSim::STOP_MS + 1000);
	}
}

class JobCancelMixes : public testing::TestWithParam<unsigned> {};

/* Guards against a task of a cancelled job that is still at work 3.9 s after
 * the cancel, with no disruption since 3 s before it. */
TEST_P(JobCancelMixes, TasksOfCancelledJobsEndInTime)
{
	const char *more = getenv("JOB_SEEDS");
	uint64_t seeds = more == NULL ? 16 : strtoull(more, NULL, 10);

	for (uint64_t seed = 1; seed <= seeds && !HasFailure(); seed++)
		run_mix(seed, GetParam());
}

INSTANTIATE_TEST_SUITE_P(Mixes, JobCancelMixes,
    testing::Values(0, MIX_LOSE, MIX_LEADERS, MIX_LEAVE, MIX_SLOW_LOG,
	MIX_SLOW_ANSWERS, MIX_LATE, MIX_LATE | MIX_LEAVE,
	MIX_LATE | MIX_LEADERS, MIX_LATE | MIX_SLOW_LOG | MIX_LEADERS,
	MIX_LEADERS | MIX_LOSE | MIX_SLOW_LOG, MIX_LEAVE | MIX_SLOW_ANSWERS,
	MIX_CRASH, MIX_CRASH | MIX_LATE, 63, 127));

} // namespace
