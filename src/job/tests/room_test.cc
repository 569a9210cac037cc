#include "job/tests/room_sim.h"

namespace {

/* What the clients of one kind of jobs got. */
struct Served {
	int jobs = 0, on_time = 0, of_value = 0;
	double wait_ms = 0; /* until their last task had started, mean */
	double credit() const
	{
		return (on_time + 0.5 * (of_value - on_time)) / jobs;
	}
};

/* The load: large tasks beside small ones that leave fragments. */
struct Load {
	uint32_t small_cpu = 3000, large_cpu = 13000;
	int64_t small_ms = 600, large_ms = 1500;
	double small_rate = 1.6, large_rate = 0.2; /* jobs in 100 ms */
	double error = 0.9;			   /* of declared times */
	const char *small_queue = "fast", *large_queue = "fast";
	uint32_t nworkers = 8;
	int64_t length_ms = 6000;
};

/* Plays a load, and adds what small and large jobs got. */
void
play(const Load &l, uint64_t seed, bool lookahead, Served &small, Served &large)
{
	JobSim s(seed);
	struct rng arrivals;
	std::map<uint64_t, double> factor;
	rng_init(&arrivals, seed * 31 + 7);
	s.jl.lookahead = lookahead;
	for (uint32_t i = 0; i < l.nworkers; i++)
		s.add_worker(16000);
	s.lead();
	s.run(100);
	s.run_time_ms = [&](const SimTask &k) {
		return std::max<int64_t>(5,
		    (int64_t)((double)(k.job < 100000 ? l.small_ms
						      : l.large_ms) *
			factor[k.job]));
	};
	uint64_t id[2] = { 1, 100000 };
	std::map<uint64_t, int64_t> submitted;
	for (int64_t t = 0; t < l.length_ms; t += 50) {
		for (int kind = 0; kind < 2; kind++) {
			double rate =
			    (kind == 0 ? l.small_rate : l.large_rate) / 2;
			while (rate > 0 &&
			    rng_chance(&arrivals, std::min(rate, 1.0))) {
				factor[id[kind]] = 1 - l.error +
				    2 * l.error *
					(double)rng_below(&arrivals, 1001) /
					1000;
				submitted[id[kind]] = s.now_ms;
				s.submit(id[kind]++,
				    kind == 0 ? l.small_queue : l.large_queue,
				    { kind == 0 ? JobSim::step(2, l.small_cpu,
						      (uint32_t)l.small_ms)
						: JobSim::step(1, l.large_cpu,
						      (uint32_t)l.large_ms) });
				rate -= 1;
			}
		}
		s.run(50);
	}
	s.run(30000);
	for (auto &x : submitted) {
		struct jst_job *j = jst_find_job(&s.st, x.first);
		Served &v = x.first < 100000 ? small : large;
		int64_t estimate = x.first < 100000 ? l.small_ms : l.large_ms;
		int64_t span = (estimate + 60) * 3 / 2 + 500;
		ASSERT_EQ(JST_COMPLETED, j->state);
		v.jobs++;
		v.on_time += j->ended_ms <= x.second + span;
		v.of_value += j->ended_ms <= x.second + 3 * span;
		v.wait_ms += (double)(j->ended_ms - x.second);
	}
}

/* Plays a load with some seeds, without look-ahead and with it. */
struct Both {
	Served small[2], large[2];
	explicit Both(const Load &l, uint64_t seeds = 6)
	{
		for (int on = 0; on < 2; on++)
			for (uint64_t seed = 1; seed <= seeds; seed++)
				play(l, seed, on == 1, small[on], large[on]);
	}
};

/* Guards against large tasks that wait while small ones take every fragment:
 * with declared times that are right, and off by 0.9 either way. */
TEST(JobRoom, LargeTasksStartEarlierAndSmallOnesLoseLittle)
{
	for (double error : { 0.0, 0.9 }) {
		Load l;
		l.small_rate = 1.8;
		l.error = error;
		Both b(l);
		EXPECT_GT(b.large[1].credit(), b.large[0].credit() + 0.04);
		EXPECT_LT(b.large[1].wait_ms / b.large[1].jobs,
		    0.85 * b.large[0].wait_ms / b.large[0].jobs);
		EXPECT_GT(b.small[1].credit(), b.small[0].credit() - 0.02);
		EXPECT_LT(b.small[1].wait_ms, 1.15 * b.small[0].wait_ms);
	}
}

/* Guards against a load above the capacity that starves jobs by their size:
 * neither size may be served less than half as often as all. */
TEST(JobRoom, NoSizeIsStarvedInAnOverload)
{
	for (double rate : { 2.4, 3.2 }) {
		Load l;
		l.small_rate = rate;
		l.large_rate = 0.3;
		Both b(l, 4);
		double jobs = b.small[1].jobs + b.large[1].jobs;
		double all = (b.small[1].of_value + b.large[1].of_value) / jobs;
		EXPECT_GE(b.small[1].of_value, 0.5 * all * b.small[1].jobs);
		EXPECT_GE(b.large[1].of_value, 0.5 * all * b.large[1].jobs);
		EXPECT_GE(b.large[1].credit(), b.large[0].credit());
	}
}

/* Guards against places kept at the cost of a more urgent queue, and against
 * its tasks taking them though they fit elsewhere. */
TEST(JobRoom, AMoreUrgentQueueLosesNothing)
{
	Load l;
	l.small_rate = 2.2;
	l.large_queue = "batch";
	Both b(l);
	EXPECT_GE(b.small[1].credit(), b.small[0].credit() - 0.005);
	EXPECT_LE(b.small[1].wait_ms, 1.02 * b.small[0].wait_ms);
	EXPECT_GT(b.large[1].credit(), b.large[0].credit() + 0.04);
}

/* Guards against a fragment that is given to a task that outlasts the start of
 * the large one, or kept from one that doesn't. */
TEST(JobRoom, OnlyTasksThatEndInTimeUseAKeptPlace)
{
	for (bool on : { false, true }) {
		Room s(1, on);
		s.fill(1, 800);
		s.large();
		s.task(2, "batch", 3000, 200);
		s.task(3, "batch", 3000, 3000);
		s.run(100);
		EXPECT_TRUE(s.has_started(2));
		s.run(300);
		EXPECT_EQ(!on, s.has_started(3));
		s.run(1000);
		EXPECT_EQ(on, s.has_started(Room::LARGE));
	}
}

/* Guards against a place that is refused to a task that fits beside. */
TEST(JobRoom, ATaskThatFitsBesideUsesAKeptPlace)
{
	Room s(1);
	s.fill(1, 800);
	s.large();
	s.task(2, "batch", 1000, 3000);
	s.task(3, "batch", 2000, 3000);
	s.run(100);
	EXPECT_TRUE(s.has_started(2));
	EXPECT_FALSE(s.has_started(3));
}

/* Guards against a place kept for a task that a single end makes room for: it
 * would only leave the fragment unused. */
TEST(JobRoom, NoPlaceIsKeptIfOneEndSuffices)
{
	Room s(1);
	s.task(1, "fast", 12000, 800);
	s.run(50);
	s.task(2, "fast", 10000, 1000);
	EXPECT_EQ(0u, s.slots());
	s.large();
	EXPECT_EQ(1u, s.slots());
}

/* Guards against a place that holds off a late task of a more urgent queue. */
TEST(JobRoom, ALateTaskOfAMoreUrgentQueueUsesAKeptPlace)
{
	Room s(1);
	s.fill(1, 4500);
	s.task(4, "fast", 4000, 2500);
	s.run(50);
	s.task(Room::LARGE, "batch", 14000, 9000);
	s.task(2, "fast", 3000, 3000);
	s.run(2300);
	ASSERT_EQ(1u, s.slots());
	ASSERT_FALSE(s.has_started(2));
	s.run(300);
	EXPECT_TRUE(s.has_started(2));
}

/* Guards against a place kept for a job that is worth nothing by then, or that
 * is cancelled, or late by the model against one that can be in time. */
TEST(JobRoom, APlaceIsDroppedWithTheValueOfItsJob)
{
	Room worthless(1), cancelled(1), late(1);
	worthless.fill(1, 7000);
	worthless.large();
	EXPECT_EQ(0u, worthless.slots());
	cancelled.fill(1, 2000);
	cancelled.large();
	EXPECT_EQ(1u, cancelled.slots());
	cancelled.cancel(Room::LARGE);
	EXPECT_EQ(0u, cancelled.slots());
	late.fill(1, 3000);
	late.large();
	EXPECT_EQ(1u, late.slots());
	EXPECT_TRUE(late.jl.look.slots[0].is_late);
	late.task(2, "batch", 4000, 5000);
	late.run(50);
	EXPECT_TRUE(late.has_started(2));
}

/* Guards against a place that is kept for good when the runs there never end:
 * it is given up for a while. */
TEST(JobRoom, APlaceIsGivenUpAfterABoundedTime)
{
	Room s(1);
	s.fill(1, 1000, 100000);
	s.large(9000);
	EXPECT_EQ(1u, s.slots());
	s.run(JPLAN_SLOT_HOLD_MAX_MS - 500);
	EXPECT_EQ(1u, s.slots());
	s.run(600);
	EXPECT_EQ(0u, s.slots());
	s.run(JPLAN_SLOT_HOLD_MAX_MS);
	EXPECT_EQ(1u, s.slots());
}

/* Guards against a place that stays where the task can't start any more, or
 * where it starts later than elsewhere. */
TEST(JobRoom, APlaceMovesToABetterOneAndFromOneThatIsLost)
{
	for (bool lost : { true, false }) {
		Room s(1);
		s.new_kind = "b";
		s.add_worker(16000);
		s.run(100);
		s.task(1, "fast", 6000, 2000, 0, 2, "a");
		s.task(2, "fast", 6000, 1000, 0, 1, "b");
		s.task(3, "fast", 6000, 3000, 0, 1, "b");
		s.run(100);
		s.large(3000);
		ASSERT_EQ(1u, s.slots());
		size_t first = s.jl.look.slots[0].worker;
		struct jst_worker *w = s.jl.plan_workers[first].w;
		if (lost)
			s.drain(w->num);
		else
			s.cancel(3);
		s.run(200);
		ASSERT_EQ(1u, s.slots());
		EXPECT_NE(w, s.jl.plan_workers[s.jl.look.slots[0].worker].w);
	}
}

/* Guards against places for a wide step that take up a whole service. */
TEST(JobRoom, PlacesAreBounded)
{
	Room s(40);
	s.fill(1, 2000, 0, 80);
	s.large(3000, 40);
	EXPECT_EQ(40u / JPLAN_WORKERS_PER_SLOT + 1, s.slots());
	s.run(20000);
	EXPECT_EQ(JST_COMPLETED, s.state(Room::LARGE));
}

/* Guards against places that delay displaced long-running tasks and gangs. */
TEST(JobRoom, DisplacedTasksAndGangsUseAKeptPlace)
{
	for (bool gang : { true, false }) {
		Room s(0);
		Job__Step x = JobSim::step(gang ? 2 : 1, gang ? 2000 : 4000);
		x.has_lasting = x.lasting = !gang;
		x.has_gang = x.gang = gang;
		uint64_t b = gang ? 0 : s.add_worker(4000);
		s.run(100);
		s.real_ms[5] = x.estimate_ms = 9000;
		if (!gang)
			s.submit(5, "batch", { x });
		s.run(100);
		s.add_worker(16000);
		s.run(100);
		s.fill(1, 5000);
		s.large(9000);
		ASSERT_EQ(1u, s.slots());
		if (gang) {
			s.submit(5, "batch", { x });
		} else {
			s.restart_worker(b);
			s.workers[b].unhealthy = true;
			s.heartbeat(b);
		}
		s.run(1500);
		EXPECT_EQ(gang ? 1 : 2, (s.starts[{ 5, 0, 0, 0 }]));
		EXPECT_FALSE(s.has_started(Room::LARGE));
	}
}

/* Guards against look-ahead that changes choices while nothing waits. */
TEST(JobRoom, NothingChangesWhileNothingWaits)
{
	Load l;
	l.small_rate = 0.6;
	l.large_rate = 0;
	Both b(l, 2);
	EXPECT_EQ(b.small[0].wait_ms, b.small[1].wait_ms);
}

/* Guards against a model that trusts declared times, or expects a run that is
 * longer to end at once. */
TEST(JobRoom, TheModelLearnsAndExpectsOverrunsToGoOn)
{
	static struct jroom m;
	struct jst_step st = {}, other = {};
	Job__Step spec = JobSim::step(10, 1000, 940);
	st.spec = other.spec = &spec;
	other.number = 1;
	jroom_init(&m);
	EXPECT_EQ(1000, jroom_expected_ms(&m, &st, 0));
	for (int i = 0; i < 20; i++) {
		struct jst_step ended = {};
		ended.spec = &spec;
		jroom_learn(&m, &ended, 0, 2000, 1000 + i);
	}
	EXPECT_NEAR(2000, (double)jroom_expected_ms(&m, &st, 0), 30);
	EXPECT_NEAR(1900, (double)jroom_expected_ms(&m, &other, 0), 60);
	EXPECT_EQ(1000, jroom_expected_ms(&m, &st, 1));
	for (int i = 0; i < 20; i++)
		jroom_learn(&m, &st, 0, 500, 2000);
	EXPECT_NEAR(500, (double)jroom_expected_ms(&m, &st, 0), 200);
	struct jroom_run run = { 1000, 1000, 1, 1, 0 };
	EXPECT_EQ(2000, jroom_end_ms(&run, 1500));
	EXPECT_EQ(6000, jroom_end_ms(&run, 5000));
}

} // namespace
