#include "job/tests/job_sim.h"

#include <cinttypes>
#include <cstdlib>

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

/* Plays a day at low load with everything that may keep a job from a place, and
 * checks by what the workers run that no job waits. */
class LostDay {
      public:
	size_t nchecked = 0, nidle = 0;
	int64_t longest_ms = 0;

	explicit LostDay(uint64_t seed) : s(seed), rng(&s.rng)
	{
		for (int i = 0; i < 48; i++)
			add_worker();
		s.max_attempts = 4;
		s.stop_max_ms = 900;
		s.gang_timeout_ms = 3000;
		s.commit_delay_max_ms = 30;
		s.run_time_ms = [this](const SimTask &t) {
			return long_jobs.count(t.job) ? 60000
						      : 200 +
				(int64_t)(t.job * 7919 + t.index * 31) % 4000;
		};
		s.lasting_ms = [this](const SimTask &) {
			return below(4) == 0 ? 2000 + (int64_t)below(20000)
					     : -1;
		};
		s.task_fails = [this](const SimTask &, uint64_t) {
			return rng_chance(rng, 0.03);
		};
		s.config(++version);
		s.lead();
		s.run(200);
	}

	/* Plays the traffic, and what follows until jobs are asked for. */
	void play()
	{
		for (int i = 0; i < 300 && !testing::Test::HasFailure(); i++) {
			if (rng_chance(rng, 0.4))
				submit();
			if (i == 80 || i == 160)
				submit_burst();
			if (rng_chance(rng, 0.2))
				disturb(i < 100);
			step();
		}
		for (int i = 0; i < 150 && !testing::Test::HasFailure(); i++) {
			if (rng_chance(rng, 0.1))
				disturb(false);
			step();
		}
	}

      private:
	JobSim s;
	struct rng *rng;
	uint64_t next_job = 1, version = 1;
	std::set<uint64_t> long_jobs;
	std::map<std::pair<uint64_t, uint32_t>, int64_t> idle_since;

	uint64_t below(uint64_t n)
	{
		return rng_below(rng, n);
	}

	void add_worker()
	{
		bool large = below(2) == 0;
		s.new_mem_mb = large ? 187500 : 125000;
		s.add_worker(large ? 48000 : 32000);
	}

	/* Submits a job of a random kind. */
	void submit()
	{
		static const char *images[] = { "i1", "i2", "i3" };
		std::vector<Job__Step> steps(1 + below(3));
		uint32_t after[1] = { 0 };
		bool lasts = below(8) == 0, fills = !lasts && below(3) == 0;
		bool is_long = fills && below(3) == 0;
		for (auto &st : steps) {
			st = JobSim::step(1 + (uint32_t)below(8),
			    1000 * (1 + (uint32_t)below(below(3) ? 6 : 32)),
			    below(2) ? 1000 : 4000);
			st.mem_mb = (uint32_t)below(below(4) ? 8000 : 120000);
			st.has_spread = below(3) == 0;
			st.spread = st.has_spread;
			st.image = (char *)(uintptr_t)images[below(3)];
			st.has_fills = st.fills = fills;
			if (fills)
				st.mem_mb /= 8;
			if (lasts) {
				st.has_lasting = st.lasting = 1;
				st.has_target_ms = below(4) != 0;
				st.target_ms = st.has_target_ms ? 50 : 0;
				st.cpu_milli = 1000 * (1 + (uint32_t)below(8));
			} else {
				st.has_gang = st.gang = below(4) == 0;
			}
			if (!lasts && &st != &steps[0] && below(2)) {
				st.after = after;
				st.n_after = 1;
			}
		}
		const char *queue = below(2) ? "fast" : "batch";
		if (is_long)
			long_jobs.insert(next_job);
		if (jst_queue(&s.st, queue) == NULL)
			return;
		s.submit(
		    next_job, queue, steps, !lasts && below(6) == 0 ? 3 : 0);
		if (below(8) == 0)
			s.cancel(next_job);
		next_job++;
	}

	/* Submits wide jobs, which raise the average demand. */
	void submit_burst()
	{
		for (int i = 0; i < 10; i++)
			s.submit(next_job++, "fast",
			    { JobSim::step(8, 24000, 3000) });
	}

	SimWorker &any_worker(uint64_t &num)
	{
		auto it = s.workers.begin();
		std::advance(it, (long)below(s.workers.size()));
		num = it->first;
		return it->second;
	}

	/* Causes something; with hard, also what users excuse. */
	void disturb(bool hard)
	{
		uint64_t num;
		SimWorker &w = any_worker(num);
		switch (below(hard ? 9 : 5)) {
		case 0:
			w.unhealthy = !w.unhealthy && below(2) == 0;
			break;
		case 1:
			s.leave(num, (int64_t)below(2000), (int64_t)below(6000),
			    below(2) == 0);
			add_worker();
			break;
		case 2:
			s.config(++version,
			    below(2)
				? std::vector<std::string>{ "fast", "batch" }
				: std::vector<std::string>{ "fast" });
			break;
		case 3: {
			uint64_t id = 1 + below(next_job);
			if (jst_find_job(&s.st, id) != NULL)
				s.cancel(id);
			break;
		}
		case 4:
			s.end_running(num, 1 + below(next_job));
			break;
		case 5:
			s.lead();
			break;
		case 6:
			s.set_unreachable(num, true);
			s.run(1000 + (int64_t)below(3000));
			s.set_unreachable(num, false);
			break;
		case 7:
			s.crash(num);
			s.run((int64_t)below(500));
			s.restart_worker(num);
			s.heartbeat(num);
			break;
		case 8:
			s.loss_rate = s.late_rate = 0.05;
			s.run(500);
			s.loss_rate = s.late_rate = 0;
			break;
		}
	}

	/* Runs for a while and checks. */
	void step()
	{
		SCOPED_TRACE(s.now_ms);
		s.run(100);
		check();
	}

	/* Returns how many tasks of a step a worker has room for, by what it
	 * runs. */
	uint32_t count_fitting(const SimWorker &w, const struct jst_step *st)
	{
		int64_t cpu = w.cpu, mem = w.mem_mb;
		uint32_t there = 0, n = 0;
		if (!w.up || w.draining || w.unreachable || w.unhealthy)
			return 0;
		for (auto &x : w.running) {
			const struct jst_step *o = step_of(x.first);
			if (o == NULL)
				continue;
			cpu -= o->spec->fills ? 0 : o->spec->cpu_milli;
			mem -= o->spec->mem_mb;
			there += o == st;
		}
		const Job__Step *x = st->spec;
		while (n < 100 && mem >= x->mem_mb &&
		    (x->fills || cpu >= x->cpu_milli) &&
		    (x->spread == 0 || there + n < x->spread)) {
			cpu -= x->fills ? 0 : x->cpu_milli;
			mem -= x->mem_mb;
			n++;
		}
		return n;
	}

	const struct jst_step *step_of(const SimTask &k)
	{
		struct jst_job *j = jst_find_job(&s.st, k.job);
		return j == NULL ? NULL
				 : jst_find_step(j, k.occurrence, k.step);
	}

	/* Returns the share of the processors in use, best-effort tasks left
	 * out. */
	double use()
	{
		double all = 0, used = 0;
		for (auto &x : s.workers) {
			if (!x.second.up)
				continue;
			all += (double)x.second.cpu;
			for (auto &y : x.second.running) {
				const struct jst_step *st = step_of(y.first);
				if (st != NULL && !st->spec->fills)
					used += st->spec->cpu_milli;
			}
		}
		return used / all;
	}

	/* Tells whether the turn of a step's tasks has come, with room for
	 * them twice over. */
	bool could_run(const struct jst_step *st)
	{
		const Job__Spec *spec = st->job->spec;
		uint32_t n = 0, need = st->spec->gang ? 2 * st->spec->count : 2;
		if (st->ndone == st->spec->count || !jst_step_ready(st) ||
		    (spec->repeat > 0 &&
			s.wall_ms() < spec->start_at_ms +
				(int64_t)(st->occurrence * spec->interval_ms)))
			return false;
		for (auto &x : s.workers)
			n += count_fitting(x.second, st);
		return n >= need;
	}

	/* Checks that no job or occurrence that could run has nothing running
	 * for 3 s. */
	void check()
	{
		std::map<std::pair<uint64_t, uint32_t>, int64_t> idle;
		std::set<std::pair<uint64_t, uint32_t>> running;
		if (s.now_ms < s.last_fault_ms + 4000 || use() >= 0.5) {
			idle_since.clear();
			return;
		}
		nchecked++;
		for (auto &x : s.workers) {
			for (auto &y : x.second.running)
				if (x.second.up)
					running.insert({ y.first.job,
					    y.first.occurrence });
		}
		for (auto *list : { s.st.active, s.st.dormant }) {
			for (struct jst_job *j = list; j != NULL; j = j->next)
				check_job(j, running, idle);
		}
		idle_since = idle;
	}

	/* Notes the occurrences of a job that could run and don't. */
	void check_job(struct jst_job *j,
	    const std::set<std::pair<uint64_t, uint32_t>> &running,
	    std::map<std::pair<uint64_t, uint32_t>, int64_t> &idle)
	{
		for (uint32_t o = 0; o < j->occurrences; o++) {
			bool could = false;
			JobSim::each_step(j, o, [&](const struct jst_step *st) {
				could |= could_run(st);
			});
			if (could && !running.count({ j->id, o }))
				note({ j->id, o }, idle);
		}
	}

	void note(std::pair<uint64_t, uint32_t> k,
	    std::map<std::pair<uint64_t, uint32_t>, int64_t> &idle)
	{
		idle[k] = idle_since.count(k) ? idle_since[k] : s.now_ms;
		nidle++;
		longest_ms = std::max(longest_ms, s.now_ms - idle[k]);
		EXPECT_LT(s.now_ms - idle[k], 3000)
		    << "job " << k.first << ", occurrence " << k.second
		    << " has nothing running, with room for it";
	}
};

/* Guards against a job that could run and doesn't on a service of which most is
 * free, whatever happens beside it. */
TEST(JobLost, NoJobWaitsWhileMostIsFree)
{
	const char *more = getenv("LOST_SEEDS"), *only = getenv("LOST_SEED");
	uint64_t seeds = more == NULL ? 4 : strtoull(more, NULL, 10);
	size_t nchecked = 0, nidle = 0;
	int64_t longest_ms = 0;

	for (uint64_t seed = 1; seed <= seeds && !HasFailure(); seed++) {
		SCOPED_TRACE("seed " + std::to_string(seed));
		if (only != NULL && strtoull(only, NULL, 10) != seed)
			continue;
		LostDay day(seed);
		day.play();
		nchecked += day.nchecked;
		nidle += day.nidle;
		longest_ms = std::max(longest_ms, day.longest_ms);
	}
	printf("figure checks %zu idle_with_room %zu longest_ms %" PRId64 "\n",
	    nchecked, nidle, longest_ms);
	EXPECT_TRUE(only != NULL || (nchecked > 0 && nidle > 0));
}

} // namespace
