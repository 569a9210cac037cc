#include "job/tests/job_sim.h"

namespace {

/* Submits a gang of three members that save checkpoints. */
void
submit_gang(JobSim &s, uint64_t job)
{
	Job__Step gang = JobSim::step(3, 5000);

	gang.has_gang = gang.gang = 1;
	gang.has_checkpoints = gang.checkpoints = 1;
	s.submit(job, "batch", { gang });
}

/* Simulates a gang on workers that run one member each. */
class GangSim : public JobSim {
      public:
	std::vector<uint64_t> on;

	explicit GangSim(uint64_t seed, int nworkers = 7) : JobSim(seed)
	{
		gang_timeout_ms = 3000;
		run_time_ms = [](const SimTask &) { return 4000; };
		for (int i = 0; i < nworkers; i++)
			on.push_back(add_worker(8000));
		lead();
		run(200);
	}

	/* Returns the number of members at work. */
	size_t count_at_work()
	{
		size_t n = 0;
		for (auto &x : workers) {
			for (auto &y : x.second.running)
				n += x.second.up && !y.second.is_alone;
		}
		return n;
	}

	/* Returns a worker that runs a member. */
	uint64_t find_busy()
	{
		for (uint64_t num : on) {
			if (workers[num].up && !workers[num].running.empty())
				return num;
		}
		return 0;
	}

	/* Ends a worker's process, and as broken the members elsewhere of the
	 * gangs that it took part in. */
	void lose_worker(uint64_t lost)
	{
		std::set<uint64_t> jobs;
		for (auto &x : workers[lost].running)
			jobs.insert(x.first.job);
		crash(lost);
		for (uint64_t num : on) {
			for (uint64_t job : jobs)
				end_running(num, job, JOB__HOW__BROKEN);
		}
	}
};

/* Guards against members of a gang that are started with checkpoints of their
 * own, so that they never work together and the job never ends. */
TEST(JobGang, MembersResumeFromOneCheckpoint)
{
	GangSim s(1);
	submit_gang(s, 1);
	s.run(1500);
	ASSERT_EQ(3U, s.count_at_work());
	s.lose_worker(s.find_busy());
	s.run(JLEAD_LEASE_MS + 1000);
	EXPECT_EQ(3U, s.count_at_work());
	std::set<std::string> values;
	for (auto &x : s.workers) {
		for (auto &y : x.second.running)
			values.insert(y.second.resumed_from);
	}
	EXPECT_EQ(1U, values.size());
	EXPECT_EQ(0U, values.count("")) << "work was thrown away";
	s.run(5000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
}

/* Guards against the same through a change of leader, and through a snapshot,
 * between the ends of the members. */
TEST(JobGang, MembersResumeFromOneCheckpointAfterASnapshot)
{
	GangSim s(2);
	submit_gang(s, 1);
	s.run(1500);
	s.lose_worker(s.find_busy());
	s.run(50);
	s.dark(200);
	s.reload();
	s.lead();
	s.run(JLEAD_LEASE_MAX_MS + 7000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
}

/* Guards against a gang that falls back to the last checkpoint known of a lost
 * member, though another member has listed a newer one with its end. */
TEST(JobGang, AListedCheckpointIsKeptOverTheOneOfALostMember)
{
	GangSim s(3);
	submit_gang(s, 1);
	s.run(1500);
	ASSERT_EQ(3U, s.count_at_work());
	s.lose_worker(s.find_busy());
	s.run(100);
	const struct jst_step *st = jst_find_step(jst_find_job(&s.st, 1), 0, 0);
	ASSERT_NE(nullptr, st->checkpoint);
	std::string listed = st->checkpoint;
	s.run(JLEAD_LEASE_MS + 500);
	EXPECT_EQ(listed, st->checkpoint);
	EXPECT_EQ(3U, s.count_at_work());
}

/* Guards against gangs that never end where workers crash and leaders change
 * again and again. */
TEST(JobGang, GangsEndAfterManyCrashes)
{
	for (uint64_t seed = 1; seed <= 8; seed++) {
		GangSim s(seed, 9);
		for (uint64_t j = 1; j <= 3; j++)
			submit_gang(s, j);
		for (int i = 0; i < 6; i++) {
			s.run(500 + (int64_t)rng_below(&s.rng, 3000));
			uint64_t num = s.on[rng_below(&s.rng, s.on.size())];
			s.lose_worker(num);
			s.restart_worker(num);
			s.heartbeat(num);
			if (rng_below(&s.rng, 3) == 0)
				s.lead();
		}
		s.run(60000);
		for (uint64_t j = 1; j <= 3; j++)
			EXPECT_EQ(JST_COMPLETED, s.state(j)) << seed;
	}
}

} // namespace
