#include "job/tests/job_sim.h"

/* Tests of ends that are acknowledged although they aren't recorded. */

namespace {

const SimTask TASK = { 1, 0, 0, 0 };

/* Runs a job of n tasks on one worker, whose ends all come while no replica
 * leads; returns how many tasks were started more than once. */
int
repeated_after_dark(JobSim &s, uint32_t n)
{
	int repeated = 0;

	s.add_worker(8000000);
	s.lead();
	s.submit(1, "batch", { JobSim::step(n, 1000) });
	s.run(700);
	EXPECT_EQ(n, s.starts.size());
	s.dark(3000);
	s.lead();
	s.run(10000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
	for (auto &x : s.starts)
		repeated += x.second > 1;
	return repeated;
}

/* Guards against ends that are acknowledged unheard because a full answer lists
 * those with the highest numbers. */
TEST(JobTwiceReview, AFullAnswerWithTheNewestEndsHidesNoOthers)
{
	JobSim s(21);

	s.list_newest_ends = true;
	EXPECT_EQ(0, repeated_after_dark(s, 700));
}

/* Guards against runs that are given up before their ends are listed, because
 * these fill more than two answers. */
TEST(JobTwiceReview, RunsWhoseEndsFillManyAnswersAreKept)
{
	JobSim s(22);

	s.run_time_ms = [](const SimTask &) { return 1500; };
	EXPECT_EQ(0, repeated_after_dark(s, 3000));
}

/* Guards against the use of a proposed run after it was freed, when the end as
 * done of an earlier run is committed before the assignment. Shown by the
 * address sanitizer. */
TEST(JobTwiceReview, AProposedRunIsDroppedWhenAnEarlierOneIsDone)
{
	JobSim s(23);
	uint64_t a = s.add_worker(8000);

	s.run_time_ms = [](const SimTask &) { return 5500; };
	s.lead();
	s.submit(1, "batch", { JobSim::step(1, 1000) });
	s.run(300);
	ASSERT_EQ(1U, s.workers[a].running.size());
	s.set_unreachable(a, true);
	s.run(8000);
	s.commit_ms = 2000;
	s.set_unreachable(a, false);
	while (s.state(1) == JST_ACTIVE &&
	    jst_find_step(jst_find_job(&s.st, 1), 0, 0)->tasks[0].active_run ==
		NULL)
		s.run(1);
	ASSERT_NE(nullptr, s.jl.late_ends);
	s.run(6000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
	EXPECT_EQ(1, s.starts[TASK]);
}

/* Guards against an end as failed of a run that was given up, which is
 * acknowledged and not counted. */
TEST(JobTwiceReview, AFailureReportedAfterItsRunWasGivenUpCounts)
{
	JobSim s(24);
	s.max_attempts = 1;
	s.config(2);
	uint64_t a = s.add_worker(8000);

	s.run_time_ms = [](const SimTask &) { return 5500; };
	s.task_fails = [](const SimTask &, uint64_t) { return true; };
	s.lead();
	s.submit(1, "batch", { JobSim::step(1, 1000) });
	s.run(300);
	ASSERT_EQ(1U, s.workers[a].running.size());
	s.set_unreachable(a, true);
	s.run(8000); /* given up; no other worker */
	s.commit_ms = 300;
	s.set_unreachable(a, false);
	s.run(3000);
	EXPECT_EQ(1, s.starts[TASK]);
	EXPECT_EQ(JST_FAILED, s.state(1));
}

/* Guards against starts of a gang's members while the end as done of another
 * member's earlier run, which completes the whole gang, is committed. */
TEST(JobTwiceReview, NoMemberOfAGangIsStartedWhileItsEndAsDoneIsCommitted)
{
	JobSim s(25);
	uint64_t a = s.add_worker(1000), b = s.add_worker(1000);
	Job__Step gang = JobSim::step(2, 1000);

	gang.has_gang = gang.gang = 1;
	s.run_time_ms = [](const SimTask &) { return 5500; };
	s.lead();
	s.submit(1, "batch", { gang });
	s.run(500);
	ASSERT_EQ(1U, s.workers[a].running.size());
	ASSERT_EQ(1U, s.workers[b].running.size());
	s.set_unreachable(a, true);
	s.set_unreachable(b, true);
	s.run(8000);
	s.commit_ms = 2000;
	s.add_worker(1000);
	s.add_worker(1000);
	s.run(100);
	s.set_unreachable(a, false);
	s.run(8000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
	for (auto &x : s.starts)
		EXPECT_EQ(1, x.second) << "member " << x.first.index;
}

/* Guards against polls at every tick of a worker that lists an end which is
 * never acknowledged. */
TEST(JobTwiceReview, AnEndThatIsNeverAcknowledgedCausesNoStreamOfPolls)
{
	uint64_t polls[2];

	for (int i = 0; i < 2; i++) {
		JobSim s(26);
		uint64_t a = s.add_worker(4000);
		SimWorker::End odd = {};
		s.lead();
		s.run(100);
		odd.n = UINT32_MAX;
		odd.task.job = 77;
		odd.run = 1;
		odd.how = JOB__HOW__STOPPED;
		if (i == 1)
			s.workers[a].ended.push_back(odd);
		uint64_t before = s.jl.serial;
		s.run(10000);
		polls[i] = s.jl.serial - before;
	}
	EXPECT_LE(polls[1], 10 * polls[0] + 20) << "normally " << polls[0];
}

/* Guards against ends that are acknowledged and lost when a worker lists
 * several in another order than that of their numbers, while a leader polls all
 * the time: no poll is sent while ends are being committed, so ends gather. */
TEST(JobTwiceReview, EndsAreHeardInWhateverOrderWhileALeaderPolls)
{
	JobSim s(27);
	struct rng g;

	rng_init(&g, 7);
	s.list_ends_backwards = true;
	s.commit_ms = 100;
	for (int i = 0; i < 20; i++)
		s.add_worker(8000);
	s.run_time_ms = [&g](const SimTask &) {
		return 300 + (int64_t)rng_below(&g, 3000);
	};
	s.lead();
	s.run(200);
	for (uint64_t job = 1; job <= 200; job++) {
		s.submit(job, "batch", { JobSim::step(4, 1000) });
		s.run(100);
	}
	s.run(20000);
	EXPECT_EQ(800U, s.starts.size());
	for (auto &x : s.starts)
		EXPECT_EQ(1, x.second) << "job " << x.first.job;
}

} // namespace
