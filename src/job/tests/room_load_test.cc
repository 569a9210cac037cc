#include "job/tests/job_sim.h"

namespace {

/* A job of the load, and whether its client got it while it had value. */
struct LoadJob {
	uint32_t cpu;
	int64_t submitted_ms;
	double factor; /* of real to declared time */
	bool served = false;
};

/* Returns the share of served jobs in a part of the jobs. */
double
served_share(const std::vector<LoadJob> &v, size_t from, size_t to)
{
	double sum = 0;
	for (size_t i = from; i < to; i++)
		sum += v[i].served;
	return sum / (double)(to - from);
}

/* Shares of the smallest tenth of the jobs, the largest one, and all. */
struct Shares {
	double smallest = 0, largest = 0, all = 0;
};

/* Plays jobs of 1 or 2 tasks of 0.5 to 14 processors on 32 workers of 16, of
 * which small ones are the most common. Declared times are off by up to 0.9 of
 * their value; bias -1: all too long, 1: all too short, 0: either. */
Shares
play(uint64_t seed, bool on, double rate, int bias)
{
	const int64_t ms = 700, span = (ms + 60) * 3 / 2 + 500;
	JobSim s(seed);
	struct rng r;
	std::map<uint64_t, LoadJob> jobs;
	std::vector<LoadJob> v;
	rng_init(&r, seed * 31 + 7);
	s.jl.lookahead = on;
	for (int i = 0; i < 32; i++)
		s.add_worker(16000);
	s.lead();
	s.run(100);
	s.run_time_ms = [&](const SimTask &k) {
		return std::max<int64_t>(
		    5, (int64_t)((double)ms * jobs[k.job].factor));
	};
	for (uint64_t id = 1; s.now_ms < 1000000 + 8000; s.run(50)) {
		for (double x = rate; x > 0; x -= 1) {
			if (!rng_chance(&r, std::min(x, 1.0)))
				continue;
			double u = (double)rng_below(&r, 1001) / 1000;
			double e = (double)rng_below(&r, 1001) / 1000 * 0.9;
			bool shorter =
			    bias == 0 ? rng_chance(&r, 0.5) : bias < 0;
			LoadJob &j = jobs[id];
			j.cpu = 500 + (uint32_t)(13500 * u * u * u);
			j.submitted_ms = s.now_ms;
			j.factor = shorter ? 1 - e : 1 + e;
			s.submit(id++, "fast",
			    { JobSim::step(
				j.cpu < 6000 ? 2 : 1, j.cpu, (uint32_t)ms) });
		}
	}
	s.run(30000);
	for (auto &x : jobs) {
		const struct jst_job *j = jst_find_job(&s.st, x.first);
		EXPECT_EQ(JST_COMPLETED, j->state);
		int64_t took = j->ended_ms - x.second.submitted_ms;
		x.second.served = took <= 3 * span;
		v.push_back(x.second);
	}
	std::stable_sort(v.begin(), v.end(),
	    [](const LoadJob &a, const LoadJob &b) { return a.cpu < b.cpu; });
	return { served_share(v, 0, v.size() / 10),
		served_share(v, v.size() - v.size() / 10, v.size()),
		served_share(v, 0, v.size()) };
}

/* Plays a load without look-ahead and with it, and checks that neither the
 * smallest tenth of the jobs nor the largest gets less than half of what all
 * get. */
void
expect_none_starved(double rate, int bias)
{
	Shares c[2];
	for (int on = 0; on < 2; on++) {
		for (uint64_t seed = 1; seed <= 2; seed++) {
			Shares x = play(seed, on == 1, rate, bias);
			c[on].smallest += x.smallest / 2;
			c[on].largest += x.largest / 2;
			c[on].all += x.all / 2;
		}
	}
	printf("figure rate %.1f bias %d smallest %.3f %.3f largest %.3f %.3f "
	       "all %.3f %.3f\n",
	    rate, bias, c[0].smallest, c[1].smallest, c[0].largest,
	    c[1].largest, c[0].all, c[1].all);
	EXPECT_GE(c[1].smallest, 0.5 * c[1].all);
	EXPECT_GE(c[1].largest, 0.5 * c[1].all);
	EXPECT_GE(c[1].smallest, c[0].smallest - 0.02);
	EXPECT_GE(c[1].largest, c[0].largest - 0.02);
	EXPECT_GE(c[1].all, c[0].all - 0.02);
}

/* Guards against a size of tasks that is starved near the capacity while
 * declared times are wrong in either direction. */
TEST(JobRoomLoad, NeitherTheSmallestNorTheLargestTenthIsStarved)
{
	expect_none_starved(6.4, -1);
	expect_none_starved(6.4, 0);
	expect_none_starved(4.8, 1);
}

/* The same at loads of about 1.3 times the capacity. */
TEST(JobRoomLoad, NeitherTenthIsStarvedInAnOverload)
{
	expect_none_starved(8.8, 0);
	expect_none_starved(6.4, 1);
}

} // namespace
