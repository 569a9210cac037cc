#include "job/tests/job_sim.h"

/* Tests of entries of another writer among those of the workers. */

namespace {

/* Adds workers that never answer. */
void
add_silent_workers(JobSim &s, int n)
{
	for (int i = 0; i < n; i++)
		s.workers[s.add_worker(4000)].unreachable = true;
}

/* Guards against a worker that isn't polled by a new leader, as entries at
 * whose addresses nothing answers use up the polls of each tick. */
TEST(JobOdd, AWorkerIsPolledBesideManyThatDontAnswer)
{
	for (int silent : { 100, 2000 }) {
		JobSim s(1);
		s.add_worker(4000);
		s.lead();
		s.run(100);
		add_silent_workers(s, silent);
		s.lead();
		s.submit(1, "batch", { JobSim::step(2, 1000) });
		s.run(8000);
		EXPECT_EQ(JST_COMPLETED, s.state(1)) << silent;
	}
}

/* Guards against ends that count as seen, and are acknowledged, after one row
 * with a number far above the others. */
TEST(JobOdd, AnEndWithAHugeNumberHidesNoOthers)
{
	JobSim s(2);
	uint64_t a = s.add_worker(4000);
	SimWorker::End odd = {};
	s.lead();
	s.run(100);
	odd.n = UINT32_MAX;
	odd.task.job = 77;
	odd.run = 1;
	odd.how = JOB__HOW__STOPPED;
	s.workers[a].ended.push_back(odd);
	s.run(100);
	s.submit(1, "batch", { JobSim::step(2, 1000) });
	s.run(8000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
	for (auto &x : s.starts)
		EXPECT_EQ(1, x.second);
}

/* Guards against sums of capacity that overflow, and against a worker of any
 * capacity that ends the process. */
TEST(JobOdd, AnyCapacityCanBePlanned)
{
	JobSim s(3);
	for (uint32_t cpu : { 0U, 1U, 100000000U, UINT32_MAX })
		for (uint32_t mem : { 0U, UINT32_MAX })
			for (int i = 0; i < 3; i++) {
				s.new_mem_mb = mem;
				s.new_accel = mem;
				s.add_worker(cpu);
			}
	s.lead();
	s.run(100);
	for (uint32_t cpu : { 0U, 1000U, 100000000U }) {
		Job__Step st = JobSim::step(5, cpu);
		st.has_fills = st.fills = cpu == 1000;
		s.submit(1 + cpu, "batch", { st });
	}
	s.run(8000);
	for (uint32_t cpu : { 0U, 1000U, 100000000U })
		EXPECT_EQ(JST_COMPLETED, s.state(1 + cpu)) << cpu;
}

} // namespace
