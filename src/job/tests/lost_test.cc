#include "job/tests/job_sim.h"

namespace {

/* Guards against an accepted job that waits for good because two
 * configurations that were in flight before it have made the state forget its
 * queue. */
TEST(JobLost, AJobWhoseQueueIsForgottenIsNotAccepted)
{
	JobSim s(1);
	s.add_worker(8000);
	s.lead();
	s.run(100);
	s.config(2, { "fast" });
	s.config(3, { "fast" });
	s.submit(1, "batch", { JobSim::step(1, 1000) });
	s.run(3000);
	struct jst_job *j = jst_find_job(&s.st, 1);
	EXPECT_TRUE(j == NULL || j->state == JST_COMPLETED)
	    << "accepted, and never run";
}

/* Guards against a best-effort job of which nothing runs for seconds because
 * others have all processors left for best-effort work, though such tasks
 * aren't counted against the processors, and there is memory. */
TEST(JobLost, ABestEffortJobRunsWhereThereIsMemoryWhileMuchIsFree)
{
	JobSim s(2);
	for (int i = 0; i < 4; i++)
		s.add_worker(8000);
	s.lead();
	s.run(100);
	s.run_time_ms = [](const SimTask &) { return 20000; };
	Job__Step fill = JobSim::step(8, 4000, 20000);
	fill.has_fills = fill.fills = 1;
	s.submit(1, "batch", { fill });
	s.run(500);
	fill.count = 3;
	s.submit(2, "batch", { fill });
	s.run(3000);
	EXPECT_EQ(1U, s.starts.count(SimTask{ 2, 0, 0, 0 }));
	/* One task is enough; more would only slow down those that run. */
	EXPECT_EQ(9U, s.starts.size());
}

/* Guards against a best-effort gang that waits for seconds where only some of
 * its tasks find processors left for best-effort work. */
TEST(JobLost, ABestEffortGangRunsWhereThereIsMemoryWhileMuchIsFree)
{
	JobSim s(3);
	for (int i = 0; i < 4; i++)
		s.add_worker(8000);
	s.lead();
	s.run(100);
	s.run_time_ms = [](const SimTask &) { return 20000; };
	Job__Step fill = JobSim::step(6, 4000, 20000);
	fill.has_fills = fill.fills = 1;
	s.submit(1, "batch", { fill });
	s.run(500);
	fill.count = 4;
	fill.has_gang = fill.gang = 1;
	s.submit(2, "batch", { fill });
	s.run(3000);
	EXPECT_EQ(10U, s.starts.size());
}

/* Guards against a wait for a better place that begins anew each time a worker
 * refuses the start. */
TEST(JobLost, ARefusedStartDoesNotProlongTheWaitForAPlace)
{
	JobSim s(5);
	for (int i = 0; i < 4; i++)
		s.add_worker(8000);
	s.lead();
	s.run(100);
	s.run_time_ms = [](const SimTask &) { return 20000; };
	Job__Step fill = JobSim::step(8, 4000, 20000);
	fill.has_fills = fill.fills = 1;
	s.submit(1, "batch", { fill });
	s.run(500);
	for (uint64_t n = 1; n <= 3; n++)
		s.workers[n].unhealthy = true;
	fill.count = 1;
	s.submit(2, "batch", { fill });
	s.run(2500);
	EXPECT_EQ(1U, s.starts.count(SimTask{ 2, 0, 0, 0 }));
}

/* Returns a step of a gang. */
Job__Step
gang_step(uint32_t count, uint32_t cpu)
{
	Job__Step st = JobSim::step(count, cpu, 1000);

	st.has_gang = st.gang = 1;
	return st;
}

/* Guards against a gang that is placed on the same unhealthy worker again and
 * again, as that is the one with the most room, while others have room. */
TEST(JobLost, AGangGoesElsewhereThanToAnUnhealthyWorker)
{
	JobSim s(4);
	for (int i = 0; i < 5; i++)
		s.add_worker(8000);
	uint64_t bad = s.add_worker(12000);
	s.workers[bad].unhealthy = true;
	s.gang_timeout_ms = 3000;
	s.lead();
	s.run(100);
	s.submit(1, "fast", { gang_step(5, 6000) });
	s.run(3000 + 2500);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
}

} // namespace
