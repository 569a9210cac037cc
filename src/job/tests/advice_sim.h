/* The service that gives advice, beside the simulated leader and workers. */
#ifndef JOB_TESTS_ADVICE_SIM_H
#define JOB_TESTS_ADVICE_SIM_H

#include "job/tests/job_sim.h"

#include "job/jadvice.h"

/* What the service does with a call. */
enum service_fault {
	ANSWER,
	SILENT,	 /* no answer until the time limit */
	LIMITED, /* refused at once */
	NO_CONNECTION,
	RELAY_SILENT /* the instance that makes the call says nothing */
};

/* The service that knows which workers may run steps of "fast", beside the
 * simulation. Its tickets are valid from when the call was ordered, the worst
 * that the leader has to expect. Checks each start that is sent. */
class AdviceSim : public JobSim {
      public:
	struct Call {
		uint32_t instance;
		uint64_t token, serial;
		SimTask step;
		std::vector<std::string> workers;
		int64_t at_ms;
	};
	struct Ticket {
		std::string worker;
		uint64_t incarnation;
		SimTask step;
		int64_t until_ms;
	};
	std::vector<Call> calls;
	std::map<std::string, Ticket> tickets;
	std::set<std::string> allowed;
	std::vector<uint32_t> callers;
	std::map<uint32_t, int64_t> busy_until_ms; /* by caller */
	enum service_fault fault = ANSWER;
	uint32_t valid_ms = 4000;
	int64_t extra_ms = 0; /* on top of the time that a call needs */
	bool answers_twice = false;
	unsigned nrefuse = 0; /* starts that workers refuse from now on */
	unsigned nrefused = 0, nbad = 0;

	explicit AdviceSim(uint64_t seed, bool has_setting = true)
	    : JobSim(seed)
	{
		struct jadvice_ops ops = { on_advice_call, list, this };
		if (has_setting)
			jlead_set_advice(&jl, &ops);
		on_start = [this](const SimCall &c) { check_ticket(c); };
		takes_ticket = [this](const SimCall &c, const SimWorker &w) {
			return take(c, w);
		};
	}
	~AdviceSim()
	{
		EXPECT_EQ(0U, nbad) << "starts without a valid ticket";
	}

	/* Configures "fast" with advice, "batch" without. */
	void advise(uint64_t version = 2, bool has_advice = true)
	{
		Job__Command c = JOB__COMMAND__INIT;
		Job__Config cf = JOB__CONFIG__INIT;
		Job__Advice a = JOB__ADVICE__INIT;
		Job__Queue q[2], *p[2] = { &q[0], &q[1] };
		std::string names[] = { "fast", "batch" }, host = "h",
			    prefixes[] = { "/f/", "/b/" }, service = "svc";
		a.decide_ms = 90;
		a.each_ms = 10;
		a.valid_ms = valid_ms;
		for (int i = 0; i < 2; i++) {
			job__queue__init(&q[i]);
			q[i].name = names[i].data();
			q[i].host = host.data();
			q[i].prefix = prefixes[i].data();
			q[i].service = service.data();
			q[i].has_target_ms = 1;
			q[i].target_ms = 5000;
			q[i].has_max_attempts = 1;
			q[i].max_attempts = 3;
		}
		q[0].advice = has_advice ? &a : NULL;
		cf.version = version;
		cf.queues = p;
		cf.n_queues = 2;
		c.config = &cf;
		apply(c);
	}

	/* Adds workers, the first half in "a" and the others in three more
	 * domains, and leads. Every third one is allowed, up to nallowed. */
	void start(int n, size_t nallowed, uint32_t cpu = 16000)
	{
		for (int i = 0; i < n; i++) {
			new_zone = i < n / 2
			    ? "a"
			    : std::string(1, (char)('b' + i % 3));
			uint64_t num = add_worker(cpu);
			if (i % 3 == 0 && allowed.size() < nallowed)
				allowed.insert(workers[num].id);
		}
		advise();
		lead();
		run(200);
	}

	uint64_t count(enum jctr which) const
	{
		return ctr_get(&ctr, which);
	}

	static size_t list(void *arg, uint32_t *out, size_t max)
	{
		auto *s = (AdviceSim *)arg;
		std::copy(s->callers.begin(), s->callers.end(), out);
		return s->callers.size();
	}
	static bool on_advice_call(void *arg, const struct jadvice_call *c)
	{
		auto *s = (AdviceSim *)arg;
		Call k = { c->instance, c->token, c->serial,
			{ c->step.job, c->step.occurrence, c->step.step, 0 },
			{}, s->now_ms };
		int64_t took_ms = 90 + 10 * (int64_t)c->nworkers + s->extra_ms;
		for (size_t i = 0; i < c->nworkers; i++)
			k.workers.push_back(c->workers[i]);
		EXPECT_LE(c->nworkers, (size_t)JADVICE_WORKERS_MAX);
		EXPECT_EQ(90 + 10 * (int64_t)c->nworkers + 500, c->timeout_ms);
		EXPECT_GE(s->now_ms, s->busy_until_ms[c->instance])
		    << "a second call of one caller";
		s->calls.push_back(k);
		if (s->fault == NO_CONNECTION)
			return false;
		s->busy_until_ms[c->instance] = s->now_ms + c->timeout_ms;
		if (s->fault == SILENT || took_ms >= c->timeout_ms)
			s->answer_at(c->timeout_ms, k, JADVICE_NO_ANSWER);
		if (s->fault == LIMITED)
			s->answer_at(2, k, JADVICE_LIMITED);
		if (s->fault == ANSWER)
			s->answer_at(took_ms, k, JADVICE_OK);
		if (s->answers_twice)
			s->answer_at(took_ms + 5, k, JADVICE_OK);
		return true;
	}
	void answer_at(int64_t ms, const Call &k, enum jadvice_result result)
	{
		events.emplace(now_ms + ms, [=]() { answer(k, result); });
	}
	void answer(const Call &k, enum jadvice_result result)
	{
		std::vector<std::string> issued;
		std::vector<struct jadvice_good> good;
		struct jadvice_answer r = { k.instance, k.serial, result, NULL,
			0 };
		busy_until_ms[k.instance] = 0;
		for (auto &id : k.workers) {
			if (result != JADVICE_OK || allowed.count(id) == 0)
				continue;
			std::string text =
			    id + "/" + std::to_string(tickets.size());
			uint64_t born = 0;
			for (auto &x : workers)
				born = x.second.id == id ? x.second.incarnation
							 : born;
			tickets[text] = { id, born, k.step,
				k.at_ms + valid_ms };
			issued.push_back(text);
		}
		for (auto &x : issued)
			good.push_back(
			    { tickets[x].worker.c_str(), x.c_str() });
		r.good = good.data();
		r.ngood = good.size();
		jlead_on_advice(&jl, now(), k.token, &r);
	}

	bool is_advised(uint64_t job)
	{
		return std::string(jst_find_job(&st, job)->queue) == "fast";
	}
	/* Checks that a start is sent with a ticket of its step and worker that
	 * is valid for long enough. */
	void check_ticket(const SimCall &c)
	{
		if (!is_advised(c.call.task.job)) {
			EXPECT_EQ("", c.ticket);
			return;
		}
		auto it = tickets.find(c.ticket);
		ASSERT_TRUE(it != tickets.end()) << "no ticket";
		EXPECT_EQ(worker_of(c.call.worker).id, it->second.worker);
		EXPECT_EQ(c.call.task.job, it->second.step.job);
		EXPECT_EQ(c.call.task.step, it->second.step.step);
		EXPECT_GT(it->second.until_ms - now_ms, JADVICE_LAST_MS);
	}
	bool take(const SimCall &c, const SimWorker &w)
	{
		if (!is_advised(c.call.task.job))
			return true;
		if (nrefuse > 0) {
			nrefuse--;
			nrefused++;
			return false;
		}
		auto it = tickets.find(c.ticket);
		bool good = it != tickets.end() && it->second.worker == w.id &&
		    it->second.incarnation == w.incarnation &&
		    it->second.step.job == c.call.task.job &&
		    now_ms < it->second.until_ms;
		nbad += !good;
		return good;
	}
};

#endif
