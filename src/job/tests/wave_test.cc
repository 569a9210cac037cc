#include <set>

#include "job/jlead_wave_impl.h"
#include "job/tests/job_sim.h"

namespace {

const int64_t UPKEEP_MS = 2000, HOLDER_WAIT_MS = 3000;

/* What the service does with an order. */
enum order_fault {
	CARRY_OUT,
	LOSE_ANSWER, /* carried out at once, no answer */
	CARRY_LATE,  /* carried out 4 s later, no answer */
	LOSE_ORDER,  /* never carried out, no answer */
	REFUSE	     /* answered with result */
};

/* The service that owns the machines, with one worker each, beside the
 * simulation of the leader. Checks what the platform checks. */
class Cloud {
      public:
	struct Machine {
		uint64_t num; /* of its worker */
		enum jcloud_state state = JCLOUD_UP;
		std::set<uint64_t> waves; /* whose maintenance was done */
		uint64_t wave = 0;	  /* whose maintenance came last */
		uint64_t fence = 0;
	};
	JobSim s;
	std::map<std::string, Machine> machines;
	std::map<uint64_t, uint32_t> max_down;
	std::map<std::string, std::vector<int64_t>> begun; /* times */
	std::function<enum order_fault(const std::string &)> fault =
	    [](const std::string &) { return CARRY_OUT; };
	enum jcloud_result result = JCLOUD_BUSY;
	/* lists */
	bool is_slow = false, is_silent = false, is_empty = false;
	unsigned norders = 0, nreads = 0, ncarried = 0;
	int64_t first_order_ms = 0, last_read_ms = -1;
	std::set<uint64_t> fences;

	explicit Cloud(uint64_t seed) : s(seed)
	{
		struct jcloud_ops ops = { on_read, on_order, this };
		jlead_set_cloud(&s.jl, &ops, HOLDER_WAIT_MS);
	}

	/* Adds machines m-1, m-2 and so on. */
	void add(int n, uint32_t cpu = 8000)
	{
		for (int i = 1; i <= n; i++)
			machines["m-" + std::to_string(i)].num =
			    s.add_worker(cpu);
	}

	/* Starts a wave of machines m-FIRST to m-LAST. */
	void wave(uint64_t id, int first, int last, uint32_t max,
	    int64_t term_ms = 60000)
	{
		Job__Command c = JOB__COMMAND__INIT;
		Job__Wave w = JOB__WAVE__INIT;
		std::vector<std::string> names;
		std::vector<char *> p;
		for (int i = first; i <= last; i++)
			names.push_back("m-" + std::to_string(i));
		for (auto &x : names)
			p.push_back(x.data());
		w.id = id;
		w.machines = p.data();
		w.n_machines = p.size();
		w.has_term_ms = w.has_max_down = w.has_at_ms = 1;
		w.term_ms = (uint32_t)term_ms;
		w.max_down = max_down[id] = max;
		w.at_ms = s.wall_ms();
		c.wave = &w;
		s.apply(c);
	}

	bool completed(uint64_t id)
	{
		struct jst_wave *w = jst_find_wave(&s.st, id);
		for (size_t i = 0; i < w->info->n_machines; i++) {
			if (w->states[i] != JST_WAVE_DONE)
				return false;
		}
		return true;
	}

	enum jst_wave_state state(uint64_t id, size_t i)
	{
		return jst_find_wave(&s.st, id)->states[i];
	}

	/* Returns the long-running tasks of a job that don't run, apart from
	 * those on one machine. */
	uint32_t absent(const struct jst_step *st, uint64_t except)
	{
		uint32_t n = 0;
		for (auto &x : s.workers) {
			if (x.first == except || !x.second.up)
				continue;
			for (auto &r : x.second.running)
				n += r.first.job == st->job->id &&
				    r.first.step == st->number;
		}
		return st->spec->count - std::min(n, st->spec->count);
	}

	/* Begins the maintenance of a machine. */
	void carry_out(const std::string &name, uint64_t wave)
	{
		Machine &m = machines[name];
		uint32_t down = 1;
		if (m.state != JCLOUD_UP || m.waves.count(wave) > 0)
			return;
		for (auto &x : machines)
			down += x.second.state == JCLOUD_UPKEEP &&
			    x.second.wave == wave;
		EXPECT_LE(down, max_down[wave]) << "at once, wave " << wave;
		for (auto *j = s.st.active; j != NULL; j = j->next) {
			for (uint32_t i = 0; i < j->spec->n_steps; i++) {
				if (!j->spec->steps[i]->lasting ||
				    absent(&j->steps[i], 0) ==
					absent(&j->steps[i], m.num))
					continue;
				EXPECT_LE(absent(&j->steps[i], m.num),
				    j->spec->steps[i]->may_miss)
				    << name;
			}
		}
		ncarried++;
		begun[name].push_back(s.now_ms);
		m.waves.insert(wave);
		m.wave = wave;
		m.state = JCLOUD_UPKEEP;
		s.crash(m.num);
		int64_t cpu = s.workers[m.num].cpu;
		s.events.emplace(s.now_ms + UPKEEP_MS, [=, this]() {
			machines[name].num = s.add_worker((uint32_t)cpu);
			machines[name].state = JCLOUD_UP;
		});
	}

      private:
	/* Gives the list of machines 5 ms later. */
	static bool on_read(void *arg)
	{
		auto *c = (Cloud *)arg;
		struct timespec at = c->s.now();
		EXPECT_TRUE(c->last_read_ms < 0 ||
		    c->s.now_ms - c->last_read_ms >= 1000)
		    << "lists are read too often";
		c->last_read_ms = c->s.now_ms;
		c->nreads++;
		if (c->is_silent)
			return true;
		c->s.events.emplace(
		    c->s.now_ms + (c->is_slow ? 900 : 5), [=]() {
			    std::vector<struct jcloud_machine> v;
			    for (auto &x : c->machines) {
				    struct jcloud_machine m = {};
				    m.machine = x.first.c_str();
				    m.state = x.second.state;
				    m.worker = x.second.state == JCLOUD_UP
					? c->s.workers[x.second.num].id.c_str()
					: NULL;
				    v.push_back(m);
			    }
			    if (c->is_empty)
				    v.clear();
			    jlead_on_machines(
				&c->s.jl, c->s.now(), v.data(), v.size(), at);
		    });
		return true;
	}

	/* Answers an order 5 ms later, or 1.5 s later that there is none. */
	void answer(uint64_t serial, enum jcloud_result r)
	{
		s.events.emplace(
		    s.now_ms + (r == JCLOUD_NO_ANSWER ? 1500 : 5), [=, this]() {
			    jlead_on_ordered(&s.jl, s.now(), serial, r);
		    });
	}

	static bool on_order(void *arg, const struct jcloud_order *o)
	{
		auto *c = (Cloud *)arg;
		std::string name = o->machine;
		uint64_t wave = o->wave;
		c->norders++;
		if (c->first_order_ms == 0)
			c->first_order_ms = c->s.now_ms;
		EXPECT_TRUE(c->fences.insert(o->fence).second)
		    << "a fencing token is used twice";
		EXPECT_GE(clk_diff_ms(c->s.now(), c->s.jl.leading_since),
		    HOLDER_WAIT_MS);
		struct jst_wave *w = jst_find_wave(&c->s.st, wave);
		for (size_t i = 0; i < w->info->n_machines; i++) {
			if (name == w->info->machines[i]) {
				EXPECT_EQ(JST_WAVE_BEGUN, w->states[i])
				    << "the order isn't recorded";
			}
		}
		for (w = c->s.st.waves; w != NULL; w = w->next) {
			for (size_t i = 0; i < w->info->n_machines; i++) {
				EXPECT_FALSE(w->info->id != wave &&
				    name == w->info->machines[i] &&
				    w->states[i] == JST_WAVE_BEGUN)
				    << "two orders for one machine";
			}
		}
		order_fault f = c->fault(name);
		Machine &m = c->machines[name];
		EXPECT_GT(o->fence, m.fence);
		if (f == REFUSE) {
			c->answer(o->serial, c->result);
			return true;
		}
		m.fence = o->fence;
		if (f == CARRY_OUT || f == LOSE_ANSWER) {
			if (m.waves.count(wave) == 0 && m.state != JCLOUD_UP) {
				c->answer(o->serial, JCLOUD_BUSY);
				return true;
			}
			c->carry_out(name, wave);
		} else if (f == CARRY_LATE) {
			c->s.events.emplace(c->s.now_ms + 4000,
			    [=]() { c->carry_out(name, wave); });
		}
		c->answer(
		    o->serial, f == CARRY_OUT ? JCLOUD_DONE : JCLOUD_NO_ANSWER);
		return true;
	}
};

/* Returns a long-running step. */
Job__Step
lasting(uint32_t count, uint32_t cpu, uint32_t may_miss)
{
	Job__Step st = JobSim::step(count, cpu);
	st.has_lasting = st.lasting = 1;
	st.has_may_miss = 1;
	st.may_miss = may_miss;
	return st;
}

/* Guards against a wave that doesn't complete, more machines down than it
 * allows, an order before the previous holder's time is over, and calls where
 * no wave is open. */
TEST(Wave, CompletesWithinItsLimit)
{
	Cloud c(1);
	c.add(9);
	c.s.lead();
	c.s.run(2000);
	EXPECT_EQ(0U, c.nreads);
	int64_t start_ms = c.s.now_ms;
	c.wave(7, 1, 6, 2);
	c.s.run(20000);
	EXPECT_TRUE(c.completed(7));
	EXPECT_EQ(6U, c.ncarried);
	EXPECT_GE(c.first_order_ms, start_ms - 2000 + HOLDER_WAIT_MS);
	unsigned reads = c.nreads;
	c.s.run(3000);
	EXPECT_EQ(reads, c.nreads) << "no wave is open";
	EXPECT_EQ(6U, c.norders);
}

/* Guards against two waves that share machines: both orders for one machine at
 * once, or one wave that waits for the other for good. */
TEST(Wave, TwoWavesShareMachines)
{
	Cloud c(2);
	unsigned n = 0;
	c.add(6);
	c.fault = [&](const std::string &) {
		return n++ % 3 == 0 ? CARRY_LATE : CARRY_OUT;
	};
	c.s.lead();
	c.s.run(100);
	c.wave(1, 1, 4, 2);
	c.wave(2, 3, 6, 1);
	c.s.run(80000);
	EXPECT_TRUE(c.completed(1));
	EXPECT_TRUE(c.completed(2));
	EXPECT_EQ(8U, c.ncarried);
	for (auto &x : c.begun) {
		if (x.second.size() == 2) {
			EXPECT_GE(x.second[1] - x.second[0], UPKEEP_MS);
		}
	}
}

/* Guards against a new leader that begins a further machine while one that its
 * predecessor recorded, or has ordered without hearing the answer, may be down;
 * and against one that forgets it. */
TEST(Wave, ALeaderChangesAroundAnOrder)
{
	for (int64_t after_ms = 0; after_ms < 40; after_ms += 2) {
		SCOPED_TRACE(after_ms);
		Cloud c((uint64_t)after_ms + 10);
		c.add(4);
		c.s.lead();
		c.s.run(100);
		c.wave(1, 1, 4, 1);
		while (c.state(1, 0) + c.state(1, 1) + c.state(1, 2) +
			c.state(1, 3) ==
		    0)
			c.s.run(1);
		c.s.run(after_ms);
		c.s.lead();
		c.s.run(HOLDER_WAIT_MS / 2);
		c.s.lead();
		c.s.run(60000);
		EXPECT_TRUE(c.completed(1));
		EXPECT_EQ(4U, c.ncarried);
	}
}

/* Guards against an order without an answer that is carried out late, while
 * another machine is down: it counts as down until known otherwise. */
TEST(Wave, OrdersWithoutAnAnswerCountAsDown)
{
	for (order_fault f : { LOSE_ANSWER, CARRY_LATE, LOSE_ORDER }) {
		SCOPED_TRACE(f);
		Cloud c(3);
		unsigned n = 0;
		c.add(5);
		c.fault = [&](const std::string &) {
			return n++ % 2 == 0 ? f : CARRY_OUT;
		};
		c.s.lead();
		c.s.run(100);
		c.wave(1, 1, 5, 1, 120000);
		c.s.run(120000);
		EXPECT_TRUE(c.completed(1));
		EXPECT_EQ(5U, c.ncarried);
	}
}

/* Guards against a wave that never completes because every answer is lost: the
 * list shows what was carried out. */
TEST(Wave, TheListReplacesLostAnswers)
{
	Cloud c(10);
	c.add(4);
	c.fault = [](const std::string &) { return LOSE_ANSWER; };
	c.s.lead();
	c.s.run(100);
	c.wave(1, 1, 4, 2);
	c.s.run(40000);
	EXPECT_TRUE(c.completed(1));
	EXPECT_EQ(4U, c.ncarried);
	EXPECT_EQ(4U, c.norders);
}

/* Guards against another machine that begins because a copy of an order was
 * refused, while an earlier copy is still carried out. */
TEST(Wave, ARefusedCopyDoesNotFreeThePlaceOfALateOne)
{
	Cloud c(11);
	std::string first;
	c.add(3);
	c.fault = [&](const std::string &name) {
		if (first.empty()) {
			first = name;
			return CARRY_LATE;
		}
		return name == first && c.begun.count(name) == 0 ? REFUSE
								 : CARRY_OUT;
	};
	c.s.lead();
	c.s.run(100);
	c.wave(1, 1, 3, 1);
	c.s.run(40000);
	EXPECT_TRUE(c.completed(1));
	EXPECT_EQ(3U, c.ncarried);
}

/* Guards against a wave that waits for a machine that has left, and against one
 * completed by a single list that misses a machine. */
TEST(Wave, AMachineThatLeavesIsNotWaitedFor)
{
	Cloud c(4);
	c.add(4);
	c.fault = [](const std::string &name) {
		return name == "m-2" ? REFUSE : CARRY_OUT;
	};
	c.s.lead();
	c.s.run(100);
	c.wave(1, 1, 4, 1);
	c.s.run(30000);
	EXPECT_FALSE(c.completed(1));
	EXPECT_EQ(3U, c.ncarried) << "one that is refused holds up the others";
	auto gone = c.machines.extract("m-2");
	while (c.s.now_ms - c.last_read_ms != 1)
		c.s.run(1);
	c.s.run(200);
	EXPECT_FALSE(c.completed(1)) << "one list without it";
	c.s.run(3000);
	EXPECT_TRUE(c.completed(1));
}

/* Guards against a refusal that ends a wave's attempts, counts as begun, or
 * blocks the other machines. */
TEST(Wave, RefusedOrdersAreRepeated)
{
	for (enum jcloud_result r :
	    { JCLOUD_BUSY, JCLOUD_FENCED, JCLOUD_NOT_MEMBER, JCLOUD_UNKNOWN,
		JCLOUD_LIMITED, JCLOUD_NOT_SENT }) {
		SCOPED_TRACE(r);
		Cloud c(5);
		c.add(3);
		c.result = r;
		c.fault = [](const std::string &) { return REFUSE; };
		c.s.lead();
		c.s.run(100);
		c.wave(1, 1, 3, 1);
		c.s.run(20000);
		EXPECT_EQ(0U, c.ncarried);
		EXPECT_EQ(0U, c.begun.size());
		EXPECT_FALSE(c.completed(1));
		/* At most five a second and machine. */
		EXPECT_LE(c.norders, 100U);
		EXPECT_GE(c.norders, 3U);
		c.fault = [](const std::string &) { return CARRY_OUT; };
		c.s.run(30000);
		EXPECT_TRUE(c.completed(1));
		EXPECT_EQ(3U, c.ncarried);
	}
}

/* Guards against orders that rest on an old list: the service answers no reads,
 * or answers them slowly. */
TEST(Wave, NoOrderWithoutARecentList)
{
	Cloud c(6);
	c.add(3);
	c.is_silent = true;
	c.s.lead();
	c.s.run(100);
	c.wave(1, 1, 3, 1);
	c.s.run(10000);
	EXPECT_EQ(0U, c.norders);
	EXPECT_LE(c.nreads, 11U);
	c.is_silent = false;
	c.is_slow = true;
	c.result = JCLOUD_NOT_MEMBER;
	c.fault = [](const std::string &) { return REFUSE; };
	while (c.norders == 0)
		c.s.run(1);
	c.is_silent = true;
	c.s.run(3000);
	unsigned norders = c.norders;
	c.s.run(10000);
	EXPECT_EQ(norders, c.norders);
	c.is_silent = false;
	c.fault = [](const std::string &) { return CARRY_OUT; };
	c.s.run(40000);
	EXPECT_TRUE(c.completed(1));
}

/* Guards against a start on a machine that is about to be maintained, and
 * against a short task that is lost although it would have ended soon. */
TEST(Wave, ShortTasksEndFirst)
{
	Cloud c(7);
	c.add(2);
	c.s.run_time_ms = [](const SimTask &) { return 900; };
	c.s.lead();
	c.s.run(3500);
	c.wave(1, 1, 2, 1);
	/* More than the machines can do. */
	for (uint64_t j = 1; j <= 100; j++) {
		c.s.submit(j, "batch", { JobSim::step(4, 1000, 900) });
		c.s.run(200);
	}
	c.s.run(40000);
	EXPECT_TRUE(c.completed(1));
	for (uint64_t j = 1; j <= 100; j++)
		EXPECT_EQ(JST_COMPLETED, c.s.state(j)) << j;
	for (auto &x : c.s.starts)
		EXPECT_EQ(1, x.second) << "a task was lost to the order";
}

/* Guards against an order that ends a task of a step that may miss none, and
 * against a wave that doesn't begin the machines that it may. */
TEST(Wave, MayMissHoldsMachinesBack)
{
	Cloud c(8);
	c.add(2);
	c.machines["m-3"].num = c.s.add_worker(1000);
	c.s.lead();
	c.s.run(3500);
	/* One task on each machine, and no room elsewhere. */
	c.s.submit(1, "batch", { lasting(2, 7000, 0) });
	c.s.run(1000);
	c.wave(1, 1, 3, 3, 10000);
	c.s.run(15000);
	EXPECT_EQ(1U, c.ncarried) << "only the empty one";
	EXPECT_FALSE(c.completed(1));
	c.s.cancel(1);
	c.s.run(20000);
	EXPECT_TRUE(c.completed(1));
}

/* Guards against several orders that each keep to may_miss and together don't,
 * and against one that comes before the tasks ended by the last are back. */
TEST(Wave, MayMissCountsTasksEndedByOtherOrders)
{
	Cloud c(9);
	c.add(6);
	c.s.lead();
	c.s.run(3500);
	c.s.submit(1, "batch", { lasting(5, 5000, 1) });
	c.s.run(1000);
	c.wave(1, 1, 6, 6, 60000);
	c.s.run(80000);
	EXPECT_TRUE(c.completed(1));
	EXPECT_EQ(6U, c.ncarried);
}

/* Guards against an order that rests on what was true when it was recorded: a
 * task elsewhere was lost since. */
TEST(Wave, MayMissIsCheckedAgainBeforeTheOrder)
{
	Cloud c(12);
	c.add(2);
	c.s.lead();
	c.s.run(3500);
	c.s.submit(1, "batch", { lasting(2, 7000, 1) });
	c.s.run(1000);
	c.s.commit_ms = 4000;
	c.wave(1, 1, 1, 1);
	auto *w = jst_find_wave(&c.s.st, 1);
	while (
	    w->notes == NULL || !((struct jl_wave_note *)w->notes)[0].recording)
		c.s.run(1);
	c.s.crash(c.machines["m-2"].num);
	c.s.run(15000);
	EXPECT_EQ(0U, c.norders);
	c.s.cancel(1);
	c.s.run(20000);
	EXPECT_TRUE(c.completed(1));
}

/* Guards against a wave that waits for good for the tasks of a step that may
 * miss none although there is room for them elsewhere, or that moves several at
 * once. */
TEST(Wave, LongRunningTasksMoveFirst)
{
	Cloud c(13);
	c.add(5);
	c.s.lead();
	c.s.run(3500);
	c.s.submit(1, "batch", { lasting(4, 3000, 0) });
	c.s.submit(2, "batch", { lasting(4, 2000, 0) });
	c.s.run(1000);
	c.wave(1, 1, 5, 1, 120000);
	for (int i = 0; i < 12000 && !c.completed(1); i++) {
		c.s.run(10);
		for (uint64_t j = 1; j <= 2; j++) {
			auto *st =
			    jst_find_step(jst_find_job(&c.s.st, j), 0, 0);
			ASSERT_LE(c.absent(st, 0), 1U) << c.s.now_ms;
		}
	}
	EXPECT_TRUE(c.completed(1));
	EXPECT_EQ(5U, c.ncarried);
}

/* Guards against the work of a checkpointing task that is lost to the order. */
TEST(Wave, CheckpointingTasksAreStoppedFirst)
{
	Cloud c(14);
	Job__Step st = JobSim::step(1, 1000, 60000);
	c.add(2);
	c.s.run_time_ms = [](const SimTask &) { return 60000; };
	c.s.lead();
	c.s.run(3500);
	st.has_checkpoints = st.checkpoints = 1;
	c.s.submit(1, "batch", { st });
	c.s.run(1000);
	c.wave(1, 1, 2, 1);
	uint64_t stops = ctr_get(&c.s.ctr, JCTR_STOPS);
	c.s.run(30000);
	EXPECT_TRUE(c.completed(1));
	EXPECT_GT(ctr_get(&c.s.ctr, JCTR_STOPS), stops);
	EXPECT_EQ(0U, ctr_get(&c.s.ctr, JCTR_ENDS_GONE));
}

/* Guards against tasks that wait for the lease of a worker which an order has
 * ended: 6 s and more. */
TEST(Wave, TasksEndedByAnOrderComeBackAtOnce)
{
	Cloud c(15);
	c.add(1);
	c.machines["m-2"].num = c.s.add_worker(1000);
	c.s.lead();
	c.s.run(3500);
	c.s.submit(1, "batch", { lasting(1, 7000, 1) });
	c.s.run(1000);
	c.wave(1, 1, 1, 1, 5000);
	while (c.ncarried == 0)
		c.s.run(1);
	c.s.run(UPKEEP_MS + 500);
	EXPECT_EQ(
	    0U, c.absent(jst_find_step(jst_find_job(&c.s.st, 1), 0, 0), 0));
}

/* Guards against waves that complete because the service gives empty lists. */
TEST(Wave, EmptyListsCompleteNothing)
{
	Cloud c(16);
	c.add(3);
	c.is_empty = true;
	c.s.lead();
	c.s.run(100);
	c.wave(1, 1, 3, 1);
	c.s.run(10000);
	EXPECT_FALSE(c.completed(1));
	c.is_empty = false;
	c.s.run(30000);
	EXPECT_TRUE(c.completed(1));
	EXPECT_EQ(3U, c.ncarried);
}

/* Lets a copy of a refused order be carried out before the next attempt, so
 * that this one records the worker that has joined since. */
void
carry_out_between_attempts(Cloud &c)
{
	c.fault = [&](const std::string &) {
		return c.norders == 1 ? REFUSE : CARRY_OUT;
	};
	while (c.norders == 0 || c.state(1, 0) != JST_WAVE_WAITING)
		c.s.run(1);
	c.carry_out("m-1", 1);
}

/* Guards against tasks that run twice: an order answered as already done ends
 * the runs of the worker that joined after it was carried out. */
TEST(Wave, ARepeatedAnswerEndsNoLivingWorker)
{
	Cloud c(17);
	c.add(1);
	c.s.run_time_ms = [](const SimTask &) { return 60000; };
	c.s.lead();
	c.s.run(3500);
	c.wave(1, 1, 1, 1, 5000);
	carry_out_between_attempts(c);
	c.s.run(UPKEEP_MS + 10);
	ASSERT_EQ(JCLOUD_UP, c.machines["m-1"].state);
	c.s.submit(1, "batch", { JobSim::step(1, 1000, 60000) });
	c.s.run(10000);
	EXPECT_TRUE(c.completed(1));
	EXPECT_EQ(2U, c.norders);
	ASSERT_EQ(1U, c.s.starts.size());
	EXPECT_EQ(1, c.s.starts.begin()->second);
	EXPECT_EQ(0U, ctr_get(&c.s.ctr, JCTR_ENDS_GONE));
}

/* Guards against a machine that counts as down for good because its worker is
 * still the one recorded. */
TEST(Wave, AMachineThatIsBackWithItsRecordedWorkerFreesItsPlace)
{
	Cloud c(18);
	c.add(2);
	c.s.lead();
	c.s.run(3500);
	c.machines["m-2"].state = JCLOUD_MOVING;
	c.wave(1, 1, 2, 1, 120000);
	carry_out_between_attempts(c);
	c.s.run(UPKEEP_MS + 1500);
	EXPECT_EQ(JST_WAVE_DONE, c.state(1, 0));
	c.machines["m-2"].state = JCLOUD_UP;
	c.s.run(60000);
	EXPECT_TRUE(c.completed(1));
	EXPECT_EQ(2U, c.ncarried);
}

/* Guards against a wave that takes the maintenance by an earlier, completed
 * wave for its own, when its own order was refused or lost. */
TEST(Wave, MaintenanceOfACompletedWaveProvesNothing)
{
	for (order_fault f : { REFUSE, LOSE_ORDER }) {
		SCOPED_TRACE(f);
		Cloud c(19);
		c.add(2);
		c.result = JCLOUD_LIMITED;
		c.fault = [&](const std::string &) {
			return c.norders == 2 ? f : CARRY_OUT;
		};
		c.s.lead();
		c.s.run(3500);
		c.wave(1, 1, 1, 1);
		while (!c.completed(1))
			c.s.run(1);
		c.wave(2, 1, 1, 1);
		for (int i = 0; i < 30000; i++) {
			c.s.run(1);
			ASSERT_TRUE(!c.completed(2) ||
			    c.machines["m-1"].waves.count(2) > 0)
			    << c.s.now_ms;
		}
		EXPECT_TRUE(c.completed(1));
		EXPECT_TRUE(c.completed(2));
	}
}

} // namespace
