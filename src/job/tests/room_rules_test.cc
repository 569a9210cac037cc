#include "job/tests/room_sim.h"

namespace {

/* Returns the place of the last plan, which keeps just one. */
const struct jplan_slot &
only_slot(Room &s)
{
	static struct jst_job no_job = {};
	static struct jst_step no_step = {};
	static struct jplan_slot none = {};
	no_step.job = &no_job;
	none.step = &no_step;
	EXPECT_EQ(1u, s.slots());
	return s.jl.look.nslots == 1 ? s.jl.look.slots[0] : none;
}

/* Returns how many places the plan before keeps for the large task. */
size_t
count_holds(const Room &s)
{
	size_t n = 0;
	for (size_t i = 0; i < s.jl.nsessions; i++)
		n += s.jl.plan_workers[i].hold.start_ms != 0 &&
		    s.jl.plan_workers[i].hold.job == Room::LARGE;
	return n;
}

/* Guards against places on all workers of a rare label, or of a rare size, of a
 * service with many others. */
TEST(JobRoomRules, TheBoundCountsTheWorkersThatMayRunTheStep)
{
	for (bool by_label : { true, false }) {
		Room s(0);
		for (int i = 0; i < 40; i++)
			s.add_worker(8000);
		s.new_kind = "b";
		for (int i = 0; i < 3; i++)
			s.add_worker(16000);
		s.run(100);
		s.task(1, "fast", 6000, 3000, 0, 6, "b");
		s.task(2, "fast", 7500, 3000, 0, 40, "a");
		s.run(100);
		s.task(Room::LARGE, "fast", 14000, 3000, 0, 3,
		    by_label ? "b" : NULL);
		s.run(50);
		EXPECT_EQ(1u, s.slots());
		s.run(20000);
		EXPECT_EQ(JST_COMPLETED, s.state(Room::LARGE));
	}
}

/* Guards against a task that gets no place because a single end suffices for
 * another one on workers of another label. */
TEST(JobRoomRules, ASingleEndOnAnotherLabelDoesntCount)
{
	Room s(1);
	s.new_kind = "b";
	s.add_worker(16000);
	s.run(100);
	s.task(1, "fast", 16000, 2000, 0, 1, "b");
	s.task(2, "fast", 6000, 2000, 0, 2, "a");
	s.run(100);
	s.task(3, "fast", 14000, 3000, 0, 1, "b");
	s.run(50);
	EXPECT_EQ(0u, s.slots());
	s.task(Room::LARGE, "fast", 14000, 3000, 0, 1, "a");
	s.run(50);
	EXPECT_EQ(Room::LARGE, only_slot(s).step->job->id);
}

/* Guards against a place for a task that is smaller than one for which a single
 * end suffices: it would keep a fragment unused. */
TEST(JobRoomRules, ATaskSmallerThanOneThatNeedsASingleEndGetsNoPlace)
{
	for (bool larger_waits : { true, false }) {
		Room s(2);
		s.task(1, "fast", 16000, 1000);
		s.run(50);
		s.task(2, "fast", 5000, 500, 0, 2);
		s.task(3, "fast", 6000, 4000);
		s.run(50);
		if (larger_waits)
			s.task(4, "fast", 12000, 3000);
		s.task(5, "batch", 9000, 3000);
		s.run(20);
		EXPECT_EQ(larger_waits ? 0u : 1u, s.slots());
	}
}

/* Guards against a step that has to wait for a place because it had one for a
 * moment long before. */
TEST(JobRoomRules, ABriefPlaceDoesntCostALaterOne)
{
	for (int gaps : { 1, 2 }) {
		Room s(1);
		uint64_t w = s.workers.begin()->first;
		s.fill(1, 3000, 30000);
		s.large(9000);
		ASSERT_EQ(1u, s.slots());
		for (int i = 1; i <= gaps; i++) {
			s.run(300);
			s.drain(w);
			EXPECT_EQ(0u, s.slots());
			s.run((JPLAN_SLOT_HOLD_MAX_MS + 1000) / gaps);
			s.new_kind = "b" + std::to_string(i);
			s.task(1 + (uint64_t)i, "fast", 6000, 4000, 30000, 2,
			    s.new_kind.c_str());
			w = s.add_worker(16000);
			s.run(JPLAN_SLOT_RETRY_MS + 200);
			EXPECT_EQ(1u, s.slots()) << gaps;
		}
	}
}

/* Guards against a place that is forgotten because a plan has reached its limit
 * of assignments before its step. */
TEST(JobRoomRules, APlanAtItsLimitKeepsThePlacesItHasntReached)
{
	Room s(1);
	s.new_kind = "b";
	s.add_worker(16000);
	s.run(100);
	s.task(1, "fast", 6000, 2000, 0, 2, "a");
	s.run(100);
	s.task(Room::LARGE, "batch", 14000, 3000, 0, 1, "a");
	s.run(50);
	ASSERT_EQ(1u, s.slots());
	s.task(2, "fast", 10, 2000, 0, JLEAD_ASSIGN_MAX + 200, "b");
	s.jl.plan_needed = true;
	s.run(1);
	EXPECT_EQ(0u, s.jl.look.nslots);
	EXPECT_EQ(1u, count_holds(s));
	s.run(50);
	EXPECT_EQ(1u, s.slots());
	s.cancel(Room::LARGE);
	s.slots();
	EXPECT_EQ(0u, count_holds(s));
}

/* Guards against a run that seems overdue because its first start got lost. */
TEST(JobRoomRules, AStartSentAgainIsTimedFromItsLastOrder)
{
	Room s(1);
	uint64_t w = s.workers.begin()->first;
	s.drop_starts_to = w;
	s.fill(1, 1500);
	s.run(1500);
	ASSERT_FALSE(s.has_started(1));
	s.drop_starts_to = 0;
	for (int i = 0; i < 5000 && !s.has_started(1); i++)
		s.run(1);
	int64_t started_ms = s.now_ms;
	s.run(100);
	s.large(3000);
	EXPECT_NEAR(
	    (double)(started_ms + 1560), (double)only_slot(s).start_ms, 100);
}

/* Guards against a place that is timed from the first order of a start that is
 * sent again meanwhile. */
TEST(JobRoomRules, APlaceMovesWithAStartThatIsSentAgain)
{
	Room s(1);
	s.drop_starts_to = s.workers.begin()->first;
	s.fill(1, 3000);
	s.large(3000);
	const struct jst_task *t =
	    &jst_find_step(jst_find_job(&s.st, 1), 0, 0)->tasks[1];
	ASSERT_EQ(1u, s.slots());
	int nchecks = 0;
	for (int i = 0; i < 800 && t->active_run->nstarts < 3; i++) {
		int64_t sent_ms = 0;
		if (s.slots() == 0 || t->active_run->nstarts < 2)
			continue;
		sent_ms = clk_ns(t->active_run->order_sent_at) / CLK_NS_PER_MS;
		EXPECT_GE(s.jl.look.slots[0].start_ms, sent_ms + 3000);
		nchecks++;
	}
	EXPECT_GT(nchecks, 0);
}

/* Guards against a run that was refused and whose resources seem to be held
 * until its expected end. */
TEST(JobRoomRules, ARefusedRunMovesThePlace)
{
	Room s(1);
	s.workers.begin()->second.unhealthy = true;
	s.call_ms = 50;
	s.task(1, "fast", 8000, 5000, 0, 2);
	s.run(30);
	s.large(9000);
	s.commit_ms = 2000;
	int64_t least = JROOM_NEVER;
	for (int i = 0; i < 100; i++) {
		if (s.slots() > 0)
			least = std::min(
			    least, s.jl.look.slots[0].start_ms - s.now_ms);
	}
	EXPECT_LE(least, JLEAD_REFUSED_PAUSE_MS);
}

/* Guards against a displaced task, or a gang, that is held off by a place and
 * fits nowhere else. */
TEST(JobRoomRules, DisplacedTasksAndGangsArentHeldOff)
{
	for (bool gang : { true, false }) {
		Room s(0);
		Job__Step x = JobSim::step(gang ? 2 : 1, gang ? 2000 : 4000);
		x.has_lasting = x.lasting = !gang;
		x.has_gang = x.gang = gang;
		x.estimate_ms = 9000;
		s.real_ms[5] = 9000;
		uint64_t b = gang ? 0 : s.add_worker(4000);
		s.run(100);
		if (!gang)
			s.submit(5, "batch", { x });
		s.run(100);
		s.add_worker(16000);
		s.run(100);
		s.fill(1, 5000);
		s.large(9000);
		ASSERT_EQ(1u, s.slots());
		int before = s.starts[{ 5, 0, 0, 0 }];
		if (gang)
			s.submit(5, "batch", { x });
		else
			s.end_running(b, 5, JOB__HOW__FAILED);
		if (!gang)
			s.drain(b);
		s.run(1000);
		EXPECT_EQ(before + 1, (s.starts[{ 5, 0, 0, 0 }])) << gang;
		EXPECT_FALSE(s.has_started(Room::LARGE));
	}
}

/* Guards against a displaced task that goes elsewhere than without look-ahead
 * because a worker was kept in the plan before. */
TEST(JobRoomRules, ADisplacedTaskGoesWhereItWouldWithoutPlaces)
{
	for (bool on : { false, true }) {
		Room s(0, on);
		uint64_t b = s.add_worker(4000);
		s.run(100);
		Job__Step x = JobSim::step(1, 2000, 9000);
		x.has_lasting = x.lasting = 1;
		s.submit(5, "batch", { x });
		s.run(100);
		uint64_t a = s.add_worker(16000);
		s.new_kind = "c";
		s.add_worker(16000);
		s.run(100);
		s.task(1, "fast", 6000, 5000, 0, 2, "a");
		s.task(2, "fast", 13000, 9000, 0, 1, "c");
		s.run(100);
		s.task(Room::LARGE, "fast", 14000, 9000, 0, 1, "a");
		s.run(50);
		ASSERT_EQ(on ? 1u : 0u, s.slots());
		s.drain(b);
		s.end_running(b, 5, JOB__HOW__FAILED);
		s.run(500);
		EXPECT_EQ(1u, s.workers[a].running.count({ 5, 0, 0, 0 })) << on;
	}
}

/* Guards against a task that is held off for long while much of its service is
 * free. */
TEST(JobRoomRules, AtLowLoadATaskIsHeldOffOnlyForAMoment)
{
	for (bool low_load : { true, false }) {
		Room s(1);
		s.new_kind = "b";
		for (int i = 0; i < 3; i++)
			s.add_worker(16000);
		s.run(100);
		if (!low_load)
			s.task(3, "fast", 15000, 9000, 0, 3, "b");
		s.task(1, "fast", 6000, 4000, 0, 2, "a");
		s.run(100);
		s.task(Room::LARGE, "fast", 14000, 9000, 0, 1, "a");
		s.run(50);
		ASSERT_EQ(1u, s.slots());
		s.task(2, "batch", 3000, 20000, 0, 1, "a");
		s.run(JPLAN_LOW_LOAD_WAIT_MS - 200);
		EXPECT_FALSE(s.has_started(2));
		s.run(500);
		EXPECT_EQ(low_load, s.has_started(2));
	}
}

/* Guards against a place on a worker that takes no starts for a while, as if it
 * took them at once, and against a worker that is left out for the pause. */
TEST(JobRoomRules, APausedWorkerHasAPlaceFromTheEndOfItsPause)
{
	Room s(1);
	SimWorker &w = s.workers.begin()->second;
	s.fill(1, 300);
	w.unhealthy = true;
	s.task(2, "fast", 2000, 1000);
	int64_t paused_ms = 0;
	for (int i = 0; i < 100 && paused_ms == 0; i++) {
		s.run(1);
		if (clk_before(s.now(), s.jl.plan_sessions[0]->paused_until))
			paused_ms =
			    clk_ns(s.jl.plan_sessions[0]->paused_until) /
			    CLK_NS_PER_MS;
	}
	ASSERT_GT(paused_ms, 0);
	s.large(3000);
	EXPECT_EQ(paused_ms, only_slot(s).start_ms);
}

/* Guards against runs whose ends are expected as before, although they are
 * being stopped or have ended. */
TEST(JobRoomRules, EndsThatComeEarlierMoveThePlace)
{
	for (bool stopped : { true, false }) {
		Room s(1);
		if (stopped)
			s.stop_max_ms = 900;
		s.fill(1, 5000, stopped ? 5000 : 700);
		s.large(9000);
		ASSERT_GT(only_slot(s).start_ms, s.now_ms + 3000);
		s.commit_ms = 600;
		if (stopped) {
			s.run(20);
			s.cancel(1);
		}
		for (int i = 0; i < 900 && s.now_ms % 25 != 1; i++)
			s.run(1);
		int64_t until = s.now_ms + (stopped ? 20 : 700);
		int64_t least = JROOM_NEVER;
		while (s.now_ms < until && !s.has_started(Room::LARGE)) {
			if (s.slots() > 0)
				least = std::min(least,
				    s.jl.look.slots[0].start_ms - s.now_ms);
		}
		EXPECT_LE(
		    least, stopped ? JROOM_STOP_MS : JROOM_OVERRUN_MIN_MS);
	}
}

/* Guards against a new leader that keeps no place, that counts the time for
 * which the one before kept it, or under which a task runs twice or never. */
TEST(JobRoomRules, ANewLeaderKeepsPlacesAnew)
{
	Room s(2);
	s.fill(1, 1000, 20000, 4);
	s.large(9000, 2);
	ASSERT_EQ(1u, s.slots());
	s.run(JPLAN_SLOT_HOLD_MAX_MS - 1000);
	ASSERT_EQ(1u, s.slots());
	s.lead();
	s.run(2000);
	EXPECT_EQ(1u, s.slots());
	for (int i = 0; i < 4; i++) {
		s.run(2500);
		s.lead();
	}
	s.run(60000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
	EXPECT_EQ(JST_COMPLETED, s.state(Room::LARGE));
	for (uint32_t i = 0; i < 2; i++)
		EXPECT_EQ(1, (s.starts[{ Room::LARGE, 0, 0, i }]));
}

/* Guards against "why" that shows no kept worker, one of another job, or one of
 * a former leader. */
TEST(JobRoomRules, TheKeptWorkersOfAJobAreKnown)
{
	Room s(1);
	const struct jplan_worker *v[2] = {};
	s.fill(1, 2000);
	s.large(3000);
	int64_t start_ms = only_slot(s).start_ms;
	ASSERT_EQ(1u, jlead_kept_places(&s.jl, Room::LARGE, v, 2));
	EXPECT_STREQ("z", v[0]->w->info->zone);
	EXPECT_EQ(start_ms, v[0]->hold.start_ms);
	EXPECT_EQ(0u, v[0]->hold.step);
	EXPECT_EQ(0u, jlead_kept_places(&s.jl, 1, v, 2));
	s.dark(10);
	EXPECT_EQ(0u, jlead_kept_places(&s.jl, Room::LARGE, v, 2));
}

/* Guards against "why" that reads the entry of a worker that was removed since
 * the last plan, and against a place that gets lost when the entry of another
 * worker is removed. */
TEST(JobRoomRules, AWorkerThatIsRemovedBetweenPlansIsNotShown)
{
	for (bool removes_kept : { true, false }) {
		Room s(0);
		s.new_kind = removes_kept ? "b" : "a";
		uint64_t first = s.add_worker(16000);
		s.new_kind = removes_kept ? "a" : "b";
		uint64_t last = s.add_worker(16000);
		s.run(100);
		s.task(1, "fast", 6000, 3000, 0, 2, "a");
		s.task(2, "fast", 6000, 3000, 0, 2, "b");
		s.run(100);
		s.task(Room::LARGE, "fast", 14000, 3000, 0, 1, "b");
		s.run(50);
		ASSERT_EQ(1u, s.slots());
		Job__Command c = JOB__COMMAND__INIT;
		Job__WorkerGone g = JOB__WORKER_GONE__INIT;
		g.num = first;
		c.gone = &g;
		s.apply(c);
		const struct jplan_worker *v[2] = {};
		size_t n = jlead_kept_places(&s.jl, Room::LARGE, v, 2);
		ASSERT_EQ(removes_kept ? 0u : 1u, n);
		if (n == 1) {
			EXPECT_EQ(last, v[0]->w->num);
			ASSERT_EQ(1u, s.slots());
			EXPECT_FALSE(s.jl.look.slots[0].is_new);
		}
	}
}

/* Guards against ends that are read out of order: each search must find the
 * same start as one that sorts all ends. */
TEST(JobRoomRules, EndsAreReadInOrder)
{
	struct rng rng;
	rng_init(&rng, 5);
	for (int round = 0; round < 2000; round++) {
		struct jroom_worker w = {};
		std::vector<std::pair<int64_t, int64_t>> ends;
		size_t n = rng_below(&rng, 20), i;
		struct jroom_run gone = { 9000, 1234, 77, 1, 0 };
		jroom_add_run(&w, &gone);
		for (i = 0; i < n; i++) {
			struct jroom_run r = { 10000 -
				    (int64_t)rng_below(&rng, 4000),
				(int64_t)rng_below(&rng, 5000),
				(int64_t)rng_below(&rng, 5), 1, 0 };
			jroom_add_run(&w, &r);
			ends.emplace_back(jroom_end_ms(&r, 10000), r.cpu);
		}
		jroom_remove_run(&w, &gone);
		std::sort(ends.begin(), ends.end());
		struct jroom_amount has = { 2, 0, 0 }, need = { 15, 0, 0 };
		int64_t cpu = has.cpu, at = 10000;
		for (i = 0; i < n && cpu < need.cpu; i++) {
			cpu += ends[i].second;
			at = ends[i].first;
		}
		int64_t expected = cpu < need.cpu ? JROOM_NEVER : at;
		EXPECT_EQ(expected,
		    jroom_find_start(&w, &has, &need, 10000, JROOM_NEVER)
			.at_ms);
		if (expected != JROOM_NEVER) {
			EXPECT_EQ(JROOM_NEVER,
			    jroom_find_start(
				&w, &has, &need, 10000, expected - 1)
				.at_ms);
		}
		jroom_worker_finish(&w);
	}
}

} // namespace
