/* The service that owns the machines, for tests of the waves. */
#ifndef JOB_TESTS_WAVE_SIM_H
#define JOB_TESTS_WAVE_SIM_H

#include <set>

#include "job/jlead_wave_impl.h"
#include "job/tests/job_sim.h"

const int64_t MAINTENANCE_MS = 2000, HOLDER_WAIT_MS = 3000;

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
	int64_t read_ms = 5; /* time that a list takes */
	bool is_silent = false, is_empty = false;
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
		std::vector<int> numbers;
		for (int i = first; i <= last; i++)
			numbers.push_back(i);
		wave_of(id, numbers, max, term_ms);
	}

	/* Starts a wave of machines by their numbers. */
	void wave_of(uint64_t id, const std::vector<int> &numbers, uint32_t max,
	    int64_t term_ms)
	{
		Job__Command c = JOB__COMMAND__INIT;
		Job__Wave w = JOB__WAVE__INIT;
		std::vector<std::string> names;
		std::vector<char *> p;
		for (int i : numbers)
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
			down += x.second.state == JCLOUD_MAINTENANCE &&
			    x.second.wave == wave;
		EXPECT_LE(down, max_down[wave]) << "at once, wave " << wave;
		for (auto *j = s.st.active; j != NULL; j = j->next) {
			for (uint32_t i = 0; i < j->spec->n_steps; i++) {
				if (!j->spec->steps[i]->lasting ||
				    absent(&j->live[0]->steps[i], 0) ==
					absent(&j->live[0]->steps[i], m.num))
					continue;
				EXPECT_LE(absent(&j->live[0]->steps[i], m.num),
				    j->spec->steps[i]->may_miss)
				    << name;
			}
		}
		ncarried++;
		begun[name].push_back(s.now_ms);
		m.waves.insert(wave);
		m.wave = wave;
		m.state = JCLOUD_MAINTENANCE;
		s.crash(m.num);
		int64_t cpu = s.workers[m.num].cpu;
		s.events.emplace(s.now_ms + MAINTENANCE_MS, [=, this]() {
			machines[name].num = s.add_worker((uint32_t)cpu);
			machines[name].state = JCLOUD_UP;
		});
	}

      private:
	/* Gives the list of machines. */
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
		c->s.events.emplace(c->s.now_ms + c->read_ms, [=]() {
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
inline Job__Step
lasting(uint32_t count, uint32_t cpu, uint32_t may_miss)
{
	Job__Step st = JobSim::step(count, cpu);
	st.has_lasting = st.lasting = 1;
	st.has_may_miss = 1;
	st.may_miss = may_miss;
	return st;
}

#endif
