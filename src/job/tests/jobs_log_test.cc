#include "job/jlead_impl.h"
#include "job/tests/job_sim.h"

namespace {

/* Captures log lines until the end of the test. */
class JobLog : public ::testing::Test {
      public:
	JobSim s{ 1 };
	void SetUp() override
	{
		log_set_level(LOG_INFO);
		::testing::internal::CaptureStdout();
	}
	/* Returns the lines so far that contain a text; stops the capture. */
	std::vector<std::string> lines(const std::string &with)
	{
		if (all.empty())
			all = ::testing::internal::GetCapturedStdout();
		std::vector<std::string> v;
		for (size_t at = 0, end; at < all.size(); at = end + 1) {
			end = all.find('\n', at);
			std::string line = all.substr(at, end - at);
			if (line.find(with) != std::string::npos)
				v.push_back(line);
		}
		return v;
	}
	void TearDown() override
	{
		lines("");
		log_set_level(LOG_ERR);
	}
	/* Tells whether a line contains a text. */
	static bool has(const std::string &line, const std::string &text)
	{
		return line.find(text) != std::string::npos;
	}

      private:
	std::string all;
};

/* Guards against a log that doesn't show when the runs of a cancelled job
 * ended. */
TEST_F(JobLog, LogsWhenTheLastRunOfACancelledJobHasEnded)
{
	for (int i = 0; i < 2; i++)
		s.add_worker(4000);
	s.run_time_ms = [](const SimTask &) { return 60000; };
	s.lead();
	s.submit(0xabc, "batch", { JobSim::step(4, 1500) });
	s.submit(0xdef, "batch", { JobSim::step(1, 500) });
	s.run(500);
	s.cancel(0xabc);
	s.run(2000);
	ASSERT_EQ(JST_CANCELLED, s.state(0xabc));

	auto done = lines("event=cancel_done ");
	ASSERT_EQ(1U, done.size());
	EXPECT_TRUE(has(done[0], "job=0000000000000abc took_ms="));
	EXPECT_EQ(1U, s.jl.cancel_ms.count);
	EXPECT_GT(s.jl.cancel_ms.sum_ms, 0);
	EXPECT_LT(s.jl.cancel_ms.sum_ms, JLEAD_STOP_MAX_MS);
	EXPECT_EQ(1U, ctr_get(&s.ctr, JCTR_CANCELS_DONE));
	EXPECT_EQ(0U, ctr_get(&s.ctr, JCTR_STARTS_ENDED));

	auto stops = lines("event=stop ");
	EXPECT_EQ(4U, stops.size());
	for (auto &l : stops) {
		EXPECT_TRUE(has(l, "job=0000000000000abc")) << l;
		EXPECT_TRUE(has(l,
		    "why=job_ended again=0 state=cancelled "
		    "since_end_ms=0"))
		    << l;
	}
}

/* Guards against a run that outlives its cancelled job, and stops without an
 * answer, that leave no line. */
TEST_F(JobLog, LogsARunThatOutlivesItsJob)
{
	uint64_t a = s.add_worker(4000);
	s.run_time_ms = [](const SimTask &) { return 60000; };
	s.lead();
	s.submit(0xabc, "batch", { JobSim::step(1, 500) });
	s.run(500);
	s.drop_starts_to = a;
	s.drop_stops = true;
	s.cancel(0xabc);
	s.run(5000);
	auto runs = lines("event=outlived ");
	ASSERT_LE(1U, runs.size());
	EXPECT_TRUE(has(runs[0], "job=0000000000000abc task=0.0.0 run=1"));
	EXPECT_TRUE(has(runs[0], "phase=confirmed")) << runs[0];
	EXPECT_TRUE(has(runs[0], "stop=1 stopped=0")) << runs[0];
	EXPECT_LE(1U, ctr_get(&s.ctr, JCTR_OUTLIVED));
	EXPECT_LE(2U, lines("event=stop_answer ").size());
}

/* Guards against room that is hidden from the plan without a line that says by
 * what. */
TEST_F(JobLog, LogsWhyWorkersWithRoomAreNotUsed)
{
	uint64_t a = s.add_worker(4000);
	uint64_t b = s.add_worker(4000);
	s.lead();
	s.run(500);
	s.drain(a);
	s.set_unreachable(b, true);
	s.run(4000);
	s.submit(0xabc, "batch", { JobSim::step(1, 500) });
	s.run(5000);
	auto idle = lines("event=idle ");
	ASSERT_LE(1U, idle.size());
	EXPECT_TRUE(has(idle[0],
	    "fitting=0 of=2 reserved=0 silent=1 paused=0 draining=1 others=0"))
	    << idle[0];
}

/* Guards against a cancel that is logged as done while its worker is
 * unreachable. */
TEST_F(JobLog, WaitsForTheRunOfASilentWorker)
{
	uint64_t num = s.add_worker(4000);
	s.run_time_ms = [](const SimTask &) { return 60000; };
	s.lead();
	s.submit(0xabc, "batch", { JobSim::step(1, 1500) });
	s.run(500);
	s.workers[num].unreachable = true;
	s.cancel(0xabc);
	s.run(3000);
	EXPECT_EQ(0U, s.jl.cancel_ms.count);
	s.run(9000);
	EXPECT_EQ(1U, s.jl.cancel_ms.count);
	EXPECT_GT(s.jl.cancel_ms.sum_ms, 3000);
	auto done = lines(" notice job event=cancel_done ");
	EXPECT_EQ(1U, done.size());
	auto stops = lines("event=stop ");
	ASSERT_GE(stops.size(), 2U);
	EXPECT_TRUE(has(stops[1], "again=1 state=cancelled since_end_ms="));
}

/* Guards against a change of leader that is counted as the end of runs. */
TEST_F(JobLog, AChangeOfLeaderEndsNoRun)
{
	s.add_worker(4000);
	s.run_time_ms = [](const SimTask &) { return 60000; };
	s.lead();
	s.submit(0xabc, "batch", { JobSim::step(2, 1500) });
	s.run(500);
	s.cancel(0xabc);
	s.lead();
	EXPECT_EQ(0U, s.jl.cancel_ms.count);
	s.run(3000);
	EXPECT_EQ(1U, s.jl.cancel_ms.count);
	EXPECT_EQ(1U, lines("event=cancel_done ").size());
}

/* Guards against an end that is acknowledged without effect and leaves no
 * line. */
TEST_F(JobLog, LogsAnEndThatHasNoEffect)
{
	uint64_t a = s.add_worker(4000);
	s.run_time_ms = [](const SimTask &) { return 60000; };
	s.lead();
	s.submit(0xabc, "batch", { JobSim::step(1, 1500) });
	s.run(500);
	SimWorker &w = s.workers[a];
	w.ended.push_back(
	    { w.next_end++, { 0xabc, 0, 0, 0 }, 7, JOB__HOW__DONE });
	s.run(500);
	EXPECT_TRUE(w.ended.empty());
	EXPECT_EQ(1U, ctr_get(&s.ctr, JCTR_DONE_IGNORED));
	auto v = lines("event=end_ignored ");
	ASSERT_EQ(1U, v.size());
	EXPECT_TRUE(has(v[0], "job=0000000000000abc task=0.0.0 run=7 how=DONE"))
	    << v[0];
	EXPECT_TRUE(has(v[0], "cause=run_unknown state=active current_run=1"))
	    << v[0];
}

/* Guards against runs that are given up for expired leases, without the figures
 * that this follows from. */
TEST_F(JobLog, LogsWhichLeaseOfAWorkerHasExpired)
{
	uint64_t a = s.add_worker(4000);
	s.run_time_ms = [](const SimTask &) { return 60000; };
	s.lead();
	s.submit(0xabc, "batch", { JobSim::step(2, 1500) });
	s.run(500);
	s.set_unreachable(a, true);
	s.run(9000);
	auto v = lines("event=worker_lost ");
	ASSERT_EQ(1U, v.size());
	EXPECT_TRUE(has(v[0], " runs=2 contacted=1 lease_until_ms=")) << v[0];
	EXPECT_TRUE(has(v[0], " clock_age_ms=")) << v[0];
}

/* Guards against a committed command that no longer applies and leaves no
 * line. */
TEST_F(JobLog, LogsACommandThatNoLongerApplies)
{
	uint64_t a = s.add_worker(4000);
	s.run_time_ms = [](const SimTask &) { return 60000; };
	s.lead();
	s.submit(0xabc, "batch", { JobSim::step(1, 1500) });
	s.run(500);
	s.assign({ 0xabc, 0, 0, 0 }, 1, a);
	auto v = lines("event=stale_command ");
	ASSERT_EQ(1U, v.size());
	EXPECT_TRUE(has(v[0],
	    "kind=assign job=0000000000000abc task=0.0.0 run=1 state=active "
	    "task_state=1 current_run=1"))
	    << v[0];
	EXPECT_EQ(1U, ctr_get(&s.ctr, JCTR_COMMANDS_STALE));
}

/* Guards against an orphaned run whose cause isn't logged. */
TEST_F(JobLog, LogsWhyARunIsOrphaned)
{
	uint64_t a = s.add_worker(4000);
	uint64_t b = s.add_worker(4000);
	s.run_time_ms = [](const SimTask &k) {
		return k.job == 1 && k.index == 0 ? 100 : 60000;
	};
	s.lead();
	s.submit(1, "batch", { JobSim::step(2, 1000) });
	s.submit(2, "batch", { JobSim::step(1, 1000) });
	s.run(1500);
	s.cancel(2);
	s.run(1500);
	ASSERT_EQ(JST_ACTIVE, s.state(1));
	uint64_t other = s.workers[a].running.empty() ? a : b;
	auto &running = s.workers[other].running;
	running[{ 1, 0, 0, 0 }] = { 1, -1, false, s.now_ms, "", false };
	running[{ 1, 0, 0, 1 }] = { 1, -1, false, s.now_ms, "", false };
	running[{ 2, 0, 0, 0 }] = { 1, -1, false, s.now_ms, "", false };
	running[{ 1, 0, 0, 2 }] = { 1, -1, false, s.now_ms, "", false };
	running[{ 3, 0, 0, 0 }] = { 4, -1, false, s.now_ms, "", false };
	s.run(3000);
	EXPECT_TRUE(running.empty());

	auto v = lines("event=stop_orphan ");
	std::map<std::string, std::string> want = {
		{ "job=0000000000000001 task=0.0.0 ",
		    "cause=run_ended state=active since_end_ms=-1 "
		    "current_run=1 "
		    "current_worker=- " },
		{ "job=0000000000000001 task=0.0.1 ",
		    "cause=elsewhere state=active since_end_ms=-1 "
		    "current_run=1 "
		    "current_worker=" +
			s.workers[other == a ? b : a].id + " " },
		{ "job=0000000000000001 task=0.0.2 ", "cause=run_unknown " },
		{ "job=0000000000000002 task=0.0.0 ",
		    "cause=job_ended state=cancelled since_end_ms=" },
		{ "job=0000000000000003 task=0.0.0 run=4 ",
		    "cause=job_unknown state=unknown since_end_ms=-1 "
		    "current_run=0 " },
	};
	ASSERT_EQ(want.size(), v.size());
	for (auto &l : v) {
		bool found = false;
		for (auto &x : want) {
			if (!has(l, x.first))
				continue;
			found = true;
			EXPECT_TRUE(has(l, x.second)) << l;
		}
		EXPECT_TRUE(found) << l;
	}
	EXPECT_EQ(5U, ctr_get(&s.ctr, JCTR_ORPHANS));
	EXPECT_EQ(1U, ctr_get(&s.ctr, JCTR_ORPHANS_JOB_ENDED));
	EXPECT_EQ(2U, ctr_get(&s.ctr, JCTR_ORPHANS_RUN_ENDED));
	EXPECT_EQ(2U, ctr_get(&s.ctr, JCTR_ORPHANS_UNKNOWN));
}

/* Guards against a line for each start, too many on a large fleet, and against
 * a repeated start without a line. */
TEST_F(JobLog, LogsOnlyUnusualStarts)
{
	s.add_worker(4000);
	s.run_time_ms = [](const SimTask &) { return 300; };
	s.lead();
	s.submit(1, "fast", { JobSim::step(4, 500) });
	s.run(1000);
	ASSERT_EQ(JST_COMPLETED, s.state(1));
	s.submit(2, "fast", { JobSim::step(1, 500) });
	s.loss_rate = 1;
	s.run(300);
	s.loss_rate = 0;
	s.run(5000);
	ASSERT_EQ(JST_COMPLETED, s.state(2));

	EXPECT_EQ(5U, lines("event=assign ").size());
	EXPECT_EQ(0U, lines("event=start job=0000000000000001").size());
	auto v = lines("event=start job=0000000000000002");
	ASSERT_EQ(1U, v.size());
	EXPECT_TRUE(has(v[0], "token=1 "));
	EXPECT_TRUE(has(v[0], "again=1 inherited=0 "));
	EXPECT_TRUE(has(v[0], "state=active since_end_ms=-1 current=1"));
}

/* Returns a step of long-running tasks. */
Job__Step
lasting_step(uint32_t count, uint32_t cpu)
{
	Job__Step st = JobSim::step(count, cpu);

	st.has_lasting = st.lasting = 1;
	return st;
}

/* Guards against a displaced task that waits without a line saying how many
 * workers have room for it. */
TEST_F(JobLog, LogsADisplacedTaskThatWaits)
{
	for (int i = 0; i < 2; i++)
		s.add_worker(4000);
	s.lead();
	s.submit(0xabc, "batch", { lasting_step(2, 3000) });
	s.run(500);
	s.crash(1);
	s.run(14000);

	auto idle = lines("event=idle job=0000000000000abc");
	ASSERT_FALSE(idle.empty());
	EXPECT_TRUE(has(idle[0], "state=waiting")) << idle[0];
	EXPECT_TRUE(has(idle[0], "fitting=0 of=2")) << idle[0];
	auto sums = lines("event=idle_tasks");
	ASSERT_EQ(idle.size(), sums.size());
	EXPECT_TRUE(has(sums[0], "waiting=1 unconfirmed=0 no_run=0"))
	    << sums[0];
	EXPECT_EQ(idle.size(), ctr_get(&s.ctr, JCTR_IDLE_WAITING));
}

/* Guards against a start that is never confirmed and leaves no trace in the
 * log. */
TEST_F(JobLog, LogsAStartThatIsNotConfirmed)
{
	s.drop_starts_to = s.add_worker(4000);
	s.lead();
	s.run(500);
	s.submit(0xabc, "batch", { lasting_step(1, 3000) });
	s.run(6000);

	auto idle = lines("event=idle job=0000000000000abc");
	ASSERT_FALSE(idle.empty());
	EXPECT_TRUE(has(idle[0], "phase=starting")) << idle[0];
	EXPECT_TRUE(has(idle[0], "unconfirmed=1")) << idle[0];
	EXPECT_GT(ctr_get(&s.ctr, JCTR_IDLE_UNCONFIRMED), 0U);
	EXPECT_GE(lines("event=start_answer").size(), 2U);
}

/* Guards against a task that is assigned without a run, which nothing but the
 * next leader starts, and that leaves no trace in the log. */
TEST_F(JobLog, LogsAnAssignedTaskWithoutARun)
{
	Job__Task t = JOB__TASK__INIT;
	struct jst_step *st = NULL;

	s.add_worker(4000);
	s.lead();
	s.submit(0xabc, "batch", { lasting_step(1, 3000) });
	s.run(500);
	t.job = 0xabc;
	jrun_free(&s.jl, jst_find_task(&s.st, &t, &st)->active_run);
	s.run(4500);

	auto idle = lines("event=idle job=0000000000000abc");
	ASSERT_FALSE(idle.empty());
	EXPECT_TRUE(has(idle[0], "phase=none")) << idle[0];
	EXPECT_GT(ctr_get(&s.ctr, JCTR_IDLE_NO_RUN), 0U);
}

/* Guards against a worker whose answers are lost on the way, which leaves no
 * trace in the log while its task counts as running. */
TEST_F(JobLog, LogsAWorkerWhoseAnswersAreLost)
{
	s.add_worker(4000);
	s.lead();
	s.submit(0xabc, "batch", { lasting_step(1, 3000) });
	s.run(500);
	s.relays_losing_answers = UINT32_MAX;
	s.run(6000);

	auto unheard = lines("event=unheard worker=i-1");
	ASSERT_FALSE(unheard.empty());
	EXPECT_TRUE(has(unheard[0], "runs=1 contacted=1")) << unheard[0];
	EXPECT_EQ(unheard.size(), ctr_get(&s.ctr, JCTR_UNHEARD));
}

/* Guards against lines about tasks that run or wait for their turn. */
TEST_F(JobLog, LogsNoIdleTaskWhileAllRun)
{
	s.add_worker(4000);
	s.lead();
	s.submit(0xabc, "batch", { lasting_step(1, 3000) });
	s.submit(0xdef, "batch", { lasting_step(2, 3000) });
	s.run(8000);
	EXPECT_EQ(0U, lines("event=idle").size());
}

} // namespace
