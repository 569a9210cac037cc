#include <cmath>

#include "job/jspeed.h"
#include "job/tests/job_sim.h"

namespace {

/* Runs on a fleet, without a plan: each step has a task on each worker. */
struct Fleet {
	std::vector<struct jspeed> workers;
	struct jspeed all = {};
	struct rng rng;
	int64_t now_ms = 1000;

	explicit Fleet(uint64_t seed, size_t n) : workers(n)
	{
		rng_init(&rng, seed);
	}
	/* Ends a task of each step on each worker, in order of their lengths;
	 * lengths vary by spread either way. The first worker takes slow times
	 * as long. */
	void run(int steps, double slow, double spread)
	{
		for (int i = 0; i < steps; i++) {
			struct jst_step st = {};
			std::vector<std::pair<int64_t, size_t>> ends;
			double base = 100 + (double)rng_below(&rng, 2000);
			for (size_t w = 0; w < workers.size(); w++) {
				double x = 1 - spread +
				    2 * spread * (double)rng_below(&rng, 1001) /
					1000;
				ends.push_back(
				    { (int64_t)(base * x * (w == 0 ? slow : 1)),
					w });
			}
			std::sort(ends.begin(), ends.end());
			now_ms += 100;
			for (auto &e : ends)
				jspeed_learn(&workers[e.second], &all, &st,
				    e.first, now_ms);
		}
	}
	int slow_ones()
	{
		int n = 0;
		for (auto &w : workers)
			n += jspeed_slowness(&w, &all, now_ms) > 0;
		return n;
	}
};

/* Guards against a slow worker that isn't found, and against workers that count
 * as slow by chance. */
TEST(JobSpeed, FindsASlowWorkerAndNoneByChance)
{
	int slow = 0, chance = 0, few = 0;
	for (uint64_t seed = 1; seed <= 20; seed++) {
		Fleet f(seed, 12), even(seed, 12), brief(seed, 12);
		f.run(4, 2, 0.2);
		few += f.slow_ones();
		f.run(40, 2, 0.2);
		slow += jspeed_slowness(&f.workers[0], &f.all, f.now_ms) > 0.5;
		chance += f.slow_ones() - 1;
		brief.run(8, 1, 0.8);
		chance += brief.slow_ones();
		even.run(60, 1, 0.5);
		chance += even.slow_ones();
	}
	EXPECT_EQ(20, slow);
	EXPECT_EQ(0, few);
	EXPECT_LE(chance, 2);
}

/* Guards against a worker that is avoided for so little that its processors are
 * worth more, and against a single run that hides all others. */
TEST(JobSpeed, LittleAndSingleDifferencesDontCount)
{
	Fleet f(1, 12);
	f.run(60, 1.1, 0.02);
	EXPECT_EQ(0, f.slow_ones());
	struct jst_step st = {};
	for (int64_t ms : { 100, 100, 100 })
		jspeed_learn(&f.workers[1], &f.all, &st, ms, f.now_ms);
	double before = f.workers[0].sum;
	jspeed_learn(&f.workers[0], &f.all, &st, 1000000, f.now_ms);
	EXPECT_LE(f.workers[0].sum, before + log(JSPEED_RATIO_MAX) + 1e-9);
}

/* Guards against a worker that is avoided for good: it is tried again. */
TEST(JobSpeed, ForgetsAWorkerThatIsAvoided)
{
	Fleet f(1, 12);
	f.run(40, 3, 0.2);
	EXPECT_GT(jspeed_slowness(&f.workers[0], &f.all, f.now_ms), 1);
	EXPECT_EQ(0,
	    jspeed_slowness(
		&f.workers[0], &f.all, f.now_ms + 3 * JSPEED_DECAY_MS));
}

/* Plays short jobs on 8 workers, of which the first takes three times as long;
 * returns the mean time of a job. */
double
play(uint64_t seed, bool on, int64_t slow)
{
	JobSim s(seed);
	double sum = 0;
	s.jl.lookahead = on;
	for (int i = 0; i < 8; i++)
		s.add_worker(16000);
	uint64_t first = s.workers.begin()->first;
	s.lead();
	s.run(100);
	s.run_time_ms = [&](const SimTask &k) {
		const struct jst_step *st =
		    jst_find_step(jst_find_job(&s.st, k.job), 0, 0);
		const struct jst_worker *w = st->tasks[k.index].worker;
		int64_t ms = 300 + (int64_t)rng_below(&s.rng, 100);
		return w != NULL && w->num == first ? slow * ms : ms;
	};
	std::map<uint64_t, int64_t> at;
	for (uint64_t id = 1; id <= 200; id++) {
		at[id] = s.now_ms;
		s.submit(id, "fast", { JobSim::step(5, 2000, 400) });
		s.run(50);
	}
	s.run(5000);
	for (auto &x : at)
		sum +=
		    (double)(jst_find_job(&s.st, x.first)->ended_ms - x.second);
	return sum / 200;
}

/* Guards against jobs that wait for their task on a slow worker while others
 * have room. */
TEST(JobSpeed, ShortTasksGoElsewhere)
{
	for (uint64_t seed = 1; seed <= 3; seed++) {
		EXPECT_LT(play(seed, true, 3), 0.85 * play(seed, false, 3));
		EXPECT_LT(play(seed, true, 1), 1.02 * play(seed, false, 1));
	}
}

} // namespace
