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

} // namespace
