/* The service that owns the machines, for tests of moves between pools. */
#ifndef JOB_TESTS_POOL_SIM_H
#define JOB_TESTS_POOL_SIM_H

#include "job/jlead_pool_impl.h"
#include "job/tests/wave_sim.h"

const int64_t MOVE_MS = 1500;

/* The service that owns the machines of the pools "svc", "other" and "spare"
 * (which is off), beside the simulation of the leader. Checks what holds for
 * each order: it is recorded, its machine is empty, its token is new, at most
 * four are open, and no machine moves twice within 30 s. */
class Pools {
      public:
	struct Machine {
		std::string pool, zone = "z";
		uint64_t num = 0; /* of its worker, 0: off */
		enum jcloud_state state = JCLOUD_UP;
		uint64_t fence = 0;
		int64_t moved_ms = -1000000;
		uint32_t cpu = 8000;
	};
	JobSim s;
	std::map<std::string, Machine> machines;
	std::vector<std::string> moves; /* carried out: MACHINE POOL */
	std::function<enum order_fault(const std::string &)> fault =
	    [](const std::string &) { return CARRY_OUT; };
	/* called before an order is carried out */
	std::function<void(const std::string &)> on_ordered =
	    [](const std::string &) {};
	enum jcloud_result result = JCLOUD_BUSY;
	bool is_silent = false; /* lists aren't answered */
	/* The budget allows no orders of maintenance. */
	bool lacks_budget = false;
	std::vector<int64_t> refusal_times;
	unsigned norders = 0, nreads = 0, most_open = 0;
	int64_t last_read_ms = -1;
	uint64_t last_fence = 0;

	explicit Pools(uint64_t seed, bool has_spare = true) : s(seed)
	{
		struct jcloud_ops ops = { on_read, on_order, this };
		jlead_set_cloud(&s.jl, &ops, HOLDER_WAIT_MS);
		config(2, { "svc", "other" }, has_spare);
	}

	/* Configures a queue of the name of each service, and a spare pool. */
	void config(uint64_t version, const std::vector<std::string> &services,
	    bool has_spare)
	{
		Job__Command c = JOB__COMMAND__INIT;
		Job__Config cf = JOB__CONFIG__INIT;
		std::vector<std::string> names = services;
		if (has_spare)
			names.push_back("spare");
		std::vector<Job__Queue> q(services.size());
		std::vector<Job__Service> v(names.size());
		std::vector<Job__Queue *> qs;
		std::vector<Job__Service *> vs;
		std::string host = "h";
		for (size_t i = 0; i < names.size(); i++) {
			job__service__init(&v[i]);
			v[i].name = names[i].data();
			v[i].has_spare = 1;
			v[i].spare = names[i] == "spare";
			vs.push_back(&v[i]);
		}
		for (size_t i = 0; i < q.size(); i++) {
			job__queue__init(&q[i]);
			q[i].name = q[i].service = q[i].prefix =
			    names[i].data();
			q[i].host = host.data();
			q[i].has_target_ms = 1;
			q[i].target_ms = 60000;
			qs.push_back(&q[i]);
		}
		cf.version = version;
		cf.queues = qs.data();
		cf.n_queues = qs.size();
		cf.services = vs.data();
		cf.n_services = vs.size();
		c.config = &cf;
		s.apply(c);
	}

	/* Adds n machines to a pool; those of the spare one are off. */
	void add(const std::string &pool, int n, uint32_t cpu = 8000)
	{
		for (int i = 0; i < n; i++) {
			Machine m;
			m.pool = pool;
			m.cpu = cpu;
			if (pool != "spare")
				m.num = s.add_worker(cpu, "r1", pool.c_str());
			machines["m-" + std::to_string(machines.size() + 1)] =
			    m;
		}
	}

	/* Leads, and waits until services may give machines. */
	void lead()
	{
		s.lead();
		s.run(JPOOL_CALM_MS + 500);
	}

	/* Submits n tasks that take a whole machine for ms. */
	void load(uint64_t job, const char *queue, uint32_t n,
	    uint32_t ms = 60000, uint32_t cpu = 8000)
	{
		auto before = s.run_time_ms;
		s.run_time_ms = [=](const SimTask &t) {
			return t.job == job ? (int64_t)ms : before(t);
		};
		s.submit(job, queue, { JobSim::step(n, cpu, ms) });
	}

	/* Starts a wave of one machine. */
	void wave(const char *machine)
	{
		Job__Command m = JOB__COMMAND__INIT;
		Job__Wave w = JOB__WAVE__INIT;
		std::string name = machine;
		char *names[] = { name.data() };
		w.id = 1;
		w.machines = names;
		w.n_machines = 1;
		w.has_term_ms = w.has_max_down = w.has_at_ms = 1;
		w.term_ms = 60000;
		w.max_down = 1;
		w.at_ms = s.wall_ms();
		m.wave = &w;
		s.apply(m);
	}

	size_t count(const std::string &pool)
	{
		size_t n = 0;
		for (auto &x : machines)
			n += x.second.pool == pool;
		return n;
	}

	/* Runs until a machine's move is recorded, or an order was sent. */
	void run_until_recorded(int64_t ms = 10000)
	{
		while (s.st.nmoves == 0 && ms-- > 0)
			s.run(1);
		ASSERT_EQ(1U, s.st.nmoves);
	}
	void run_until_ordered(int64_t ms = 10000)
	{
		unsigned n = norders;
		while (norders == n && ms-- > 0)
			s.run(1);
		ASSERT_GT(norders, n);
	}

	/* Returns a machine's worker's session. */
	struct wsess *session(const std::string &name)
	{
		return (struct wsess *)jst_find_worker(
		    &s.st, machines[name].num)
		    ->session;
	}

	/* Moves a machine, unless it is there or can't be moved. */
	void carry_out(const std::string &name, const std::string &pool)
	{
		Machine &m = machines[name];
		if (m.state != JCLOUD_UP || m.pool == pool)
			return;
		if (m.num != 0) {
			EXPECT_TRUE(s.workers[m.num].running.empty())
			    << name << " has work";
			s.crash(m.num);
		}
		EXPECT_GE(s.now_ms - m.moved_ms, 30000) << name;
		m.moved_ms = s.now_ms;
		moves.push_back(name + " " + pool);
		m.pool = pool;
		m.state = JCLOUD_MOVING;
		m.num = 0;
		s.events.emplace(s.now_ms + MOVE_MS, [=, this]() {
			Machine &k = machines[name];
			k.state = JCLOUD_UP;
			if (pool != "spare")
				k.num = s.add_worker(k.cpu, "r1", pool.c_str());
		});
	}

      private:
	/* Gives the list of machines. */
	static bool on_read(void *arg)
	{
		auto *c = (Pools *)arg;
		struct timespec at = c->s.now();
		EXPECT_TRUE(c->last_read_ms < 0 ||
		    c->s.now_ms - c->last_read_ms >= 1000)
		    << "lists are read too often";
		c->last_read_ms = c->s.now_ms;
		c->nreads++;
		if (c->is_silent)
			return true;
		c->s.events.emplace(c->s.now_ms + 5, [=]() {
			std::vector<struct jcloud_machine> v;
			for (auto &x : c->machines) {
				struct jcloud_machine m = {};
				m.machine = x.first.c_str();
				m.state = x.second.state;
				m.pool = x.second.pool.c_str();
				m.zone = x.second.zone.c_str();
				m.cpu_milli = x.second.cpu;
				m.mem_mb = 1000000;
				if (x.second.num != 0)
					m.worker = c->s.workers[x.second.num]
						       .id.c_str();
				v.push_back(m);
			}
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
		auto *c = (Pools *)arg;
		std::string name = o->machine, pool;
		if (o->kind != JCLOUD_ORDER_MOVE) {
			if (c->lacks_budget)
				return false;
			c->answer(o->serial, JCLOUD_BUSY);
			return true;
		}
		pool = o->pool;
		const Job__Move *r = jst_find_move(&c->s.st, o->machine);
		unsigned nopen = 0;
		c->norders++;
		EXPECT_TRUE(r != NULL && r->state == 0 && pool == r->to)
		    << "the order isn't recorded";
		EXPECT_GE(clk_diff_ms(c->s.now(), c->s.jl.leading_since),
		    HOLDER_WAIT_MS);
		for (size_t i = 0; i < c->s.st.nmoves; i++)
			nopen += c->s.st.moves[i]->state == 0;
		c->most_open = std::max(c->most_open, nopen);
		EXPECT_LE(nopen, 4U);
		EXPECT_GT(o->fence, c->last_fence) << "of all orders";
		c->last_fence = o->fence;
		order_fault f = c->fault(name);
		c->on_ordered(name);
		if (f == REFUSE) {
			c->refusal_times.push_back(c->s.now_ms);
			c->answer(o->serial, c->result);
			return true;
		}
		if (f == CARRY_OUT || f == LOSE_ANSWER)
			c->carry_out(name, pool);
		else if (f == CARRY_LATE)
			c->s.events.emplace(c->s.now_ms + 4000,
			    [=]() { c->carry_out(name, pool); });
		c->answer(
		    o->serial, f == CARRY_OUT ? JCLOUD_DONE : JCLOUD_NO_ANSWER);
		return true;
	}
};

#endif
