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

/* Sends a heartbeat of another writer, with the id of a sound worker, a service
 * that isn't configured and another start. */
void
send_as_another_writer(JobSim &s, uint64_t num, uint64_t born)
{
	uint64_t incarnation = s.workers[num].incarnation;

	s.workers[num].service = "another";
	s.workers[num].incarnation = born;
	s.heartbeat(num);
	s.workers[num].service = "svc";
	s.workers[num].incarnation = incarnation;
}

/* Guards against a heartbeat of another writer that counts as the restart of a
 * sound worker, whose tasks are then started elsewhere while they run. */
TEST(JobOdd, AHeartbeatOfAnotherServiceIsNoRestart)
{
	JobSim s(4);
	uint64_t a = s.add_worker(4000);

	s.run_time_ms = [](const SimTask &) { return 5000; };
	s.lead();
	s.run(100);
	s.submit(1, "batch", { JobSim::step(4, 1000) });
	s.run(500);
	ASSERT_EQ(4U, s.workers[a].running.size());
	s.add_worker(8000);
	for (int i = 1; i <= 3; i++) {
		send_as_another_writer(s, a, s.workers[a].incarnation + i);
		s.run(500);
	}
	EXPECT_EQ(4U, s.workers[a].running.size());
	s.run(6000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
	for (auto &x : s.starts)
		EXPECT_EQ(1, x.second);
}

/* Guards against a sound worker that isn't used, or whose next incarnation
 * isn't, because another writer's heartbeat with its id and a later start came
 * first and told that the worker drains. */
TEST(JobOdd, AHeartbeatOfAnotherServiceKeepsNoWorkerOut)
{
	for (uint64_t later : { 0, 60000 }) {
		JobSim s(5);
		uint64_t a = s.add_worker(4000);
		Job__Command c = JOB__COMMAND__INIT;
		Job__WorkerGone gone = JOB__WORKER_GONE__INIT;

		gone.num = a;
		c.gone = &gone;
		s.apply(c);
		s.restart_worker(a);
		s.lead();
		send_as_another_writer(s, a, s.workers[a].incarnation + later);
		s.run(300);
		ASSERT_EQ(1U, s.st.nworkers);
		s.drain(s.st.workers[0]->num);
		s.heartbeat(a);
		s.run(300);
		s.submit(1, "batch", { JobSim::step(2, 1000) });
		s.run(8000);
		EXPECT_EQ(JST_COMPLETED, s.state(1)) << later;
		ASSERT_EQ(1U, s.st.nworkers);
		s.crash(a);
		s.restart_worker(a);
		s.heartbeat(a);
		s.run(300);
		s.submit(2, "batch", { JobSim::step(2, 1000) });
		s.run(8000);
		EXPECT_EQ(JST_COMPLETED, s.state(2)) << later;
	}
}

} // namespace
