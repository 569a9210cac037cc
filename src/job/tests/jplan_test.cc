#include <math.h>

#include "job/jthrottle.h"
#include "job/tests/job_sim.h"

namespace {

/* Share of jobs of a queue whose last task ended within the objective. */
struct Tally {
	int jobs = 0, on_time = 0;
};

/* Plays a fleet that is asked for more than it has for some seconds: short
 * urgent jobs beside large batch jobs. */
void
play_overload(uint64_t seed, double batch_factor, Tally &fast, Tally &batch)
{
	JobSim s(seed);
	for (int i = 0; i < 6; i++)
		s.add_worker(16000);
	s.lead();
	s.run(100);
	s.length = [](const SimTask &k) { return k.job < 1000 ? 400 : 1500; };
	std::map<uint64_t, int64_t> due;
	uint64_t f = 1, b = 1000;
	for (int tick = 0; tick < 80; tick++) {
		if (tick % 2 == 0) {
			s.submit(f, "fast", { JobSim::step(4, 2000, 400) });
			due[f] = s.now_ms + (400 + 60) * 3 / 2 + 500;
			f++;
		}
		if (rng_chance(&s.rng, batch_factor)) {
			s.submit(b, "batch", { JobSim::step(8, 3000, 1500) });
			due[b] = s.now_ms + (1500 + 60) * 3 / 2 + 500;
			b++;
		}
		s.run(100);
	}
	s.run(60000);
	for (auto &d : due) {
		struct jst_job *j = jst_find_job(&s.st, d.first);
		Tally &t = d.first < 1000 ? fast : batch;
		ASSERT_EQ(JST_COMPLETED, j->state);
		t.jobs++;
		t.on_time += j->ended_ms <= d.second;
	}
}

/* Guards against urgent callers who wait behind batch work when a fleet is
 * asked for up to twice what it has. */
TEST(JobPlan, UrgentJobsKeepTheirObjectiveInAnOverload)
{
	for (double factor : { 0.1, 0.25, 0.4 }) {
		Tally fast, batch;
		for (uint64_t seed = 1; seed <= 4; seed++)
			play_overload(seed, factor, fast, batch);
		EXPECT_GE(fast.on_time, fast.jobs * 95 / 100) << factor;
	}
}

/* Guards against capacity that goes to jobs which are worth nothing any more
 * while others could still meet their objective: with first come, first
 * served, nearly all would be late once the fleet is behind. */
TEST(JobPlan, SomeBatchJobsStayOnTimeInAnOverload)
{
	Tally fast, batch;
	for (uint64_t seed = 1; seed <= 4; seed++)
		play_overload(seed, 0.5, fast, batch);
	EXPECT_GE(batch.on_time, batch.jobs / 5);
}

/* Guards against large jobs that are never in time in an overload because
 * there is always a smaller one: seen on a day on which the largest tenth of a
 * kind was served less than half as often as the whole kind. */
TEST(JobPlan, LargeJobsAreNotStarvedInAnOverload)
{
	int jobs = 0, on_time = 0, large = 0, large_on_time = 0;
	for (uint64_t seed = 1; seed <= 6; seed++) {
		JobSim s(seed);
		std::map<uint64_t, std::pair<bool, int64_t>> due;
		for (int i = 0; i < 8; i++)
			s.add_worker(16000);
		s.lead();
		s.run(100);
		s.length = [](const SimTask &) { return 1500; };
		/* A tenth is large; in all 1.4 times what the fleet has. */
		for (uint64_t id = 1; id <= 90; id++) {
			bool big = id % 10 == 0;
			s.submit(id, "batch",
			    { JobSim::step(big ? 16 : 4, 3000, 1500) });
			due[id] = { big,
				jst_find_job(&s.st, id)->at_ms + 2840 };
			s.run(105 + (int64_t)rng_below(&s.rng, 60));
		}
		s.run(60000);
		for (auto &d : due) {
			struct jst_job *j = jst_find_job(&s.st, d.first);
			bool ok = j->ended_ms <= d.second.second;
			jobs++;
			on_time += ok;
			large += d.second.first;
			large_on_time += d.second.first && ok;
		}
	}
	printf("figure on_time %d of %d large %d of %d\n", on_time, jobs,
	    large_on_time, large);
	EXPECT_GE(on_time * 100, jobs * 40);
	EXPECT_GE(2 * large_on_time * jobs, on_time * large);
}

/* Guards against serving tasks spread over all workers, which leaves none for
 * what fills and disturbs. */
TEST(JobPlan, ServingTasksShareWorkers)
{
	JobSim s(5);
	for (int i = 0; i < 6; i++)
		s.add_worker(64000);
	s.lead();
	s.run(100);
	Job__Step st = JobSim::step(4, 12000);
	st.has_lasting = st.lasting = 1;
	st.has_target_ms = 1;
	st.target_ms = 50;
	s.submit(1, "fast", { st });
	s.run(200);
	s.submit(2, "fast", { st });
	s.run(200);
	int used = 0;
	for (auto &w : s.workers)
		used += !w.second.running.empty();
	EXPECT_EQ(2, used);
}

/* Guards against a serving task that is over its target for longer than the
 * 4 s that callers are promised, while something fills beside it. */
TEST(JobPace, HoldsWhatFillsBeforeTheHarmIsTooLong)
{
	struct jpace p;
	int64_t t = 10000;
	jpace_init(&p, t);
	EXPECT_EQ(100U, jpace_of(&p, true));
	for (; jpace_of(&p, false) > 0 && t < 20000; t += 300)
		jpace_look(&p, t, 2.0);
	/* The order shows in the tail after about 0.6 s. */
	EXPECT_LE(t - 10000, 4000 - 600);
	jpace_look(&p, t, 0.5);
	EXPECT_EQ(100U, jpace_of(&p, true));
	EXPECT_EQ(100U, jpace_of(&p, false));
}

/* Guards against a figure that is a little too low once in a while and makes
 * a tail over its target for 4 s look like several short ones. */
TEST(JobPace, ARoughFigureDoesNotHideTheHarm)
{
	struct jpace p;
	int64_t t = 10000;
	jpace_init(&p, t);
	for (; jpace_of(&p, false) > 0 && t < 20000; t += 300)
		jpace_look(&p, t, t / 300 % 3 == 0 ? 0.97 : 1.05);
	EXPECT_LE(t - 10000, 4000 - 600);
}

/* Guards against filling tasks that are held for every short peak. */
TEST(JobPace, ShortPeaksHoldNothing)
{
	struct jpace p;
	jpace_init(&p, 0);
	for (int64_t t = 0; t < 60000; t += 300) {
		jpace_look(&p, t, t % 3000 < 1500 ? 3.0 : 0.4);
		EXPECT_EQ(100U, jpace_of(&p, true)) << t;
	}
}

/* Guards against images that are taken to disturb everything because they
 * disturb one kind of service, and against the swinging load of a serving job
 * that is taken for their press. */
TEST(JobPress, LearnsWhichImagesDisturbWhich)
{
	struct jpress p;
	struct rng rng;
	rng_init(&rng, 3);
	jpress_init(&p);
	const char *fills[4] = { "f1", "f2", "f3", "f4" };
	const char *serves[2] = { "s1", "s2" };
	double press[4][2] = { { 0.1, 1.4 }, { 0.9, 0.1 }, { 0, 0.1 },
		{ 1.2, 1.2 } };
	double load[2] = { 0, 0 }, wrong = 0;
	int over = 0;
	for (int n = 0; n < 8000; n++) {
		struct jpress_part v[3];
		size_t job = rng_below(&rng, 2);
		double t = n * 0.005;
		double real = 0.45 + 0.2 * sin(t * 6.28 / 14 + (double)job);
		double use = real;
		size_t k = rng_below(&rng, 4);
		for (size_t i = 0; i < k; i++) {
			size_t im = rng_below(&rng, 4);
			v[i].image = jpress_image(&p, fills[im]);
			v[i].share = 0.05 + 0.1 * rng_unit(&rng);
			use += press[im][job] * v[i].share;
		}
		if (n > 4000)
			wrong += fabs(load[job] - real);
		over += use >= 0.98;
		jpress_learn(&p, jpress_image(&p, serves[job]),
		    JPRESS_IDLE_RATIO / (1 - fmin(use, 0.98)), &load[job], v,
		    k);
	}
	EXPECT_GT(over, 0);
	EXPECT_LT(wrong / 4000, 0.08);
	for (size_t f = 0; f < 4; f++) {
		for (size_t s = 0; s < 2; s++)
			EXPECT_NEAR(press[f][s],
			    jpress_of(&p, jpress_image(&p, fills[f]),
				jpress_image(&p, serves[s])),
			    0.35)
			    << f << s;
	}
	jpress_finish(&p);
}

/* A fleet with serving jobs of two images, and what each filling image does
 * to them; fills in the state that looks would have brought. */
struct Beside {
	JobSim s;
	char image[4][4] = { "s1", "s2", "f1", "f2" };
	size_t no[4];

	Beside() : s(41)
	{
		for (int i = 0; i < 4; i++)
			s.add_worker(64000);
		s.lead();
		s.run(100);
		s.length = [](const SimTask &) { return 4000; };
		for (int i = 0; i < 4; i++)
			no[i] = jpress_image(&s.jl.press, image[i]);
		for (int f = 0; f < 2; f++) {
			for (int k = 0; k < 2; k++)
				s.jl.press.press[no[2 + f]][no[k]] =
				    f == k ? 2.0 : 0.0;
		}
	}
	void serve(uint64_t id, int kind, uint32_t count)
	{
		Job__Step st = JobSim::step(count, 12000);
		st.has_lasting = st.lasting = 1;
		st.has_target_ms = 1;
		st.target_ms = 50;
		st.image = image[kind];
		s.submit(id, "fast", { st });
		s.run(100);
	}
	void fill(uint64_t id, int kind, uint32_t count)
	{
		Job__Step st = JobSim::step(count, 6000, 4000);
		st.has_fills = st.fills = 1;
		st.image = image[2 + kind];
		s.submit(id, "batch", { st });
		s.run(100);
	}
	/* Whether tasks of both jobs are on one worker. */
	bool share(uint64_t a, uint64_t b)
	{
		for (auto &w : s.workers) {
			bool has[2] = { false, false };
			for (auto &x : w.second.running) {
				has[0] |= x.first.job == a;
				has[1] |= x.first.job == b;
			}
			if (has[0] && has[1])
				return true;
		}
		return false;
	}
};

/* Guards against a task that lasts and lost its place on a full fleet, where
 * small tasks take each bit of room before it is enough. The load is endless
 * small urgent work; the users allow 6 s without it. Found on the grown
 * deployments as tasks that were back after 12 to 17 s. */
TEST(JobPlan, ATaskThatLastsComesBackOnAFullFleet)
{
	JobSim s(17);
	for (int i = 0; i < 20; i++)
		s.add_worker(8000);
	s.lead();
	s.length = [](const SimTask &t) {
		return t.job == 1 ? -1 : 500 + (int64_t)(t.index * 37 % 400);
	};
	Job__Step st = JobSim::step(8, 5000);
	st.has_lasting = st.lasting = 1;
	s.submit(1, "fast", { st });
	s.run(500);
	uint64_t job = 100;
	auto load = [&]() {
		while (jst_waiting(&s.st, "fast") < 30)
			s.submit(job++, "fast", { JobSim::step(4, 2500) });
	};
	for (int i = 0; i < 20; i++) {
		load();
		s.run(100);
	}
	/* Half of the job's tasks fail, and small tasks take their room. */
	int failed = 0;
	for (auto &w : s.workers) {
		for (auto it = w.second.running.begin();
		     it != w.second.running.end() && failed < 4;) {
			if (it->first.job != 1) {
				it++;
				continue;
			}
			w.second.ended.push_back({ w.second.next_end++,
			    it->first, it->second.run, JOB__HOW__FAILED });
			it = w.second.running.erase(it);
			failed++;
		}
	}
	ASSERT_EQ(4, failed);
	size_t running = 0;
	int64_t from = s.now_ms;
	for (; running < 8 && s.now_ms - from < 6000;) {
		load();
		s.run(50);
		running = 0;
		for (auto &w : s.workers) {
			for (auto &r : w.second.running)
				running += r.first.job == 1;
		}
	}
	EXPECT_EQ(8U, running);
}

/* Guards against lasting tasks that take the room of short urgent jobs. The
 * load: a service that is nearly full of lasting tasks, more of them waiting
 * than fit, and short jobs that need a tenth of it. What callers get: short
 * jobs are complete within their objective. Found on the grown and the large
 * deployment, where 17 of 100 short jobs waited for seconds. */
TEST(JobPlan, LastingTasksLeaveRoomForShortJobs)
{
	JobSim s(29);
	for (int i = 0; i < 20; i++)
		s.add_worker(32000);
	s.lead();
	s.length = [](const SimTask &t) { return t.job >= 1000 ? -1 : 800; };
	Job__Step lasts = JobSim::step(10, 7000);
	lasts.has_lasting = lasts.lasting = 1;
	/* 67 processors on average, of 640. */
	uint64_t short_job = 1, long_job = 1000;
	size_t in_time = 0, all = 0;
	std::map<uint64_t, int64_t> since;
	for (int64_t t = 0; t < 30000; t += 100) {
		if (t % 500 == 0) {
			since[short_job] = s.now_ms;
			s.submit(
			    short_job++, "fast", { JobSim::step(7, 6000) });
		}
		if (t >= 5000 && t % 1000 == 0)
			s.submit(long_job++, "fast", { lasts });
		s.run(100);
		for (auto it = since.begin(); it != since.end();) {
			bool late = s.now_ms - it->second > 2000;
			if (s.state(it->first) != JST_COMPLETED && !late) {
				it++;
				continue;
			}
			in_time += !late;
			all++;
			it = since.erase(it);
		}
	}
	EXPECT_GE(in_time * 100, all * 95) << in_time << " of " << all;
	/* Lasting tasks have what is left. */
	int64_t taken = 0;
	for (auto &w : s.workers) {
		for (auto &r : w.second.running)
			taken += r.first.job >= 1000 ? 7000 : 0;
	}
	EXPECT_GE(taken, 640000 * 6 / 10);
}

/* Guards against a demand that never fades, or counts work that isn't short. */
TEST(JobDemand, FollowsShortWorkOfEachService)
{
	struct jdemand d;
	Job__Spec spec = JOB__SPEC__INIT;
	Job__Step st = JobSim::step(10, 4000, 1000), *steps[1] = { &st };
	spec.steps = steps;
	spec.n_steps = 1;
	int64_t piece = 0;
	jdemand_init(&d);
	for (int64_t t = 0; t < 60000; t += 1000)
		jdemand_add(&d, "a", &spec, t);
	/* 40 processors at each moment. */
	EXPECT_NEAR(40000 * JDEMAND_MARGIN,
	    (double)jdemand_reserve(&d, "a", 60000, &piece),
	    4000 * JDEMAND_MARGIN);
	EXPECT_EQ(4000, piece);
	EXPECT_EQ(0, jdemand_reserve(&d, "b", 60000, &piece));
	EXPECT_LT(jdemand_reserve(&d, "a", 120000, &piece), 1000);
	st.has_lasting = st.lasting = 1;
	jdemand_add(&d, "b", &spec, 60000);
	EXPECT_EQ(0, jdemand_reserve(&d, "b", 60000, &piece));
}

/* Guards against services of different kinds on one worker, where whatever
 * fills disturbs one of them. */
TEST(JobPlan, ServicesOfAnImageGoTogether)
{
	Beside b;
	b.serve(1, 0, 3);
	b.serve(2, 1, 3);
	b.serve(3, 1, 2);
	b.serve(4, 0, 2);
	EXPECT_FALSE(b.share(1, 2));
	EXPECT_FALSE(b.share(3, 1));
	EXPECT_FALSE(b.share(4, 2));
	EXPECT_TRUE(b.share(2, 3));
	EXPECT_TRUE(b.share(1, 4));
}

/* Guards against filling tasks beside the services that they disturb while
 * others would not mind them. */
TEST(JobPlan, FillsWhereItDisturbsNobody)
{
	Beside b;
	b.serve(1, 0, 5);
	b.serve(2, 1, 5);
	b.serve(3, 0, 5);
	b.serve(4, 1, 5);
	for (uint64_t n = 0; n < 4; n++) {
		b.fill(10 + n, 0, 1);
		b.fill(20 + n, 1, 1);
	}
	for (uint64_t n = 0; n < 4; n++) {
		EXPECT_FALSE(b.share(10 + n, 1)) << n;
		EXPECT_FALSE(b.share(10 + n, 3)) << n;
		EXPECT_FALSE(b.share(20 + n, 2)) << n;
		EXPECT_FALSE(b.share(20 + n, 4)) << n;
		EXPECT_TRUE(b.share(10 + n, 2) || b.share(10 + n, 4)) << n;
	}
}

/* Guards against harm spread over many services by filling tasks that can't
 * wait: it goes where a service has lost already. */
TEST(JobPlan, HarmGoesWhereItCostsNothingMore)
{
	Beside b;
	for (uint64_t n = 1; n <= 4; n++) {
		b.serve(n, 0, 5);
		jst_find_job(&b.s.st, n)->steps[0].load = 0.7;
	}
	/* Their jobs are late from the start: nothing to spare. */
	for (uint64_t n = 0; n < 3; n++) {
		Job__Step st = JobSim::step(1, 6000, 4000);
		st.has_fills = st.fills = 1;
		st.image = b.image[2];
		b.s.submit(10 + n, "batch", { st });
		jst_find_job(&b.s.st, 10 + n)->due_ms = 1;
		b.s.run(20);
	}
	int harmed = 0;
	for (uint64_t n = 1; n <= 4; n++)
		harmed += b.share(n, 10) || b.share(n, 11) || b.share(n, 12);
	EXPECT_EQ(1, harmed);
}

/* Guards against a task that waits for seconds on a fleet that is mostly free
 * because every worker has a service that it disturbs a little. */
TEST(JobPlan, PatienceIsShortWhileMuchIsFree)
{
	Beside b;
	Job__Step st = JobSim::step(4, 12000);
	st.has_lasting = st.lasting = 1;
	st.has_target_ms = st.has_spread = 1;
	st.target_ms = 50;
	st.spread = 1;
	st.image = b.image[0];
	b.s.submit(1, "fast", { st });
	b.s.run(100);
	jst_find_job(&b.s.st, 1)->steps[0].load = 0.7;
	Job__Step fill = JobSim::step(4, 6000, 12000);
	fill.has_fills = fill.fills = 1;
	fill.image = b.image[2];
	b.s.submit(10, "batch", { fill });
	b.s.run(1000);
	EXPECT_EQ(0U, b.s.starts.count(SimTask{ 10, 0, 0, 0 }));
	b.s.run(1000);
	EXPECT_EQ(1U, b.s.starts.count(SimTask{ 10, 0, 0, 0 }));
}

/* Guards against filling tasks that wait for a better place until their own
 * job is late. */
TEST(JobPlan, PatienceEndsBeforeAJobIsLate)
{
	Beside b;
	for (uint64_t n = 1; n <= 4; n++)
		b.serve(n, 0, 4);
	for (auto *j = b.s.st.active; j != NULL; j = j->next)
		j->steps[0].load = 0.6;
	int64_t at = b.s.now_ms;
	b.fill(10, 0, 1);
	EXPECT_EQ(0U, b.s.starts.count(SimTask{ 10, 0, 0, 0 }));
	int64_t due = jst_find_job(&b.s.st, 10)->due_ms;
	b.s.run(due - at);
	EXPECT_EQ(1U, b.s.starts.count(SimTask{ 10, 0, 0, 0 }));
	EXPECT_EQ(JST_COMPLETED, b.s.state(10));
}

/* Guards against small tasks that wait although they have room, because
 * larger ones or ones of another kind had none in the same plan. */
TEST(JobPlan, ALargerTaskWithoutRoomHidesNoRoomFromOthers)
{
	JobSim s(31);
	for (int i = 0; i < 3; i++)
		s.add_worker(8000);
	s.lead();
	s.run(100);
	s.length = [](const SimTask &) { return 4000; };
	s.submit(1, "fast", { JobSim::step(3, 5000, 4000) });
	s.run(200);
	s.submit(2, "fast", { JobSim::step(3, 3500, 4000) });
	s.submit(3, "batch", { JobSim::step(3, 2000, 4000) });
	s.run(300);
	std::map<uint64_t, int> started;
	for (auto &x : s.starts)
		started[x.first.job] += x.second;
	EXPECT_EQ(3, started[1]);
	EXPECT_EQ(0, started[2]);
	EXPECT_EQ(3, started[3]);
}

/* Guards against a plan that skips what a gang, which did not fit as a whole,
 * gave back. */
TEST(JobPlan, WhatAGangGivesBackIsUsed)
{
	JobSim s(32);
	for (int i = 0; i < 3; i++)
		s.add_worker(8000);
	s.lead();
	s.run(100);
	s.length = [](const SimTask &) { return 4000; };
	Job__Step gang = JobSim::step(5, 6000, 4000);
	gang.has_gang = gang.gang = 1;
	s.submit(1, "fast", { gang });
	s.submit(2, "batch", { JobSim::step(3, 7000, 4000) });
	s.run(300);
	int started = 0;
	for (auto &x : s.starts)
		started += x.first.job == 2 ? x.second : 0;
	EXPECT_EQ(3, started);
}

} // namespace
