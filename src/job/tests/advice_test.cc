#include "job/tests/job_sim.h"

#include "job/jadvice.h"

namespace {

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
	void advise(uint64_t version = 2)
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
		q[0].advice = &a;
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

/* Guards against a call for each worker, against workers of few domains, and
 * against such as are cold, evacuated, paused, failing or slow. */
TEST(JobAdvice, OneCallNamesFreeWorkersOfAllDomains)
{
	AdviceSim s(1);
	s.start(60, 20);
	s.cold_left_ms = 60000;
	s.new_zone = "e";
	std::string cold = s.workers[s.add_worker(64000)].id;
	s.cold_left_ms = 0;
	std::vector<struct wsess *> bad;
	for (auto zone : { "f", "g", "h" }) {
		s.new_zone = zone;
		uint64_t num = s.add_worker(64000);
		bad.push_back(
		    (struct wsess *)jst_find_worker(&s.st, num)->session);
	}
	s.run(200);
	int64_t at_ms = s.now_ms;
	bad[0]->paused_until = clk_add_ms(s.now(), 5000);
	bad[1]->failure_score = 5;
	bad[1]->failure_score_at = s.now();
	bad[2]->speed = { 100, 100, 101, at_ms };
	s.jl.speed = { 1000, 0, 10, at_ms };
	s.evacuate("d");
	s.submit(1, "fast", { JobSim::step(6, 2000) });
	s.run(2500);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
	ASSERT_EQ(1U, s.calls.size());
	EXPECT_EQ((size_t)JADVICE_WORKERS, s.calls[0].workers.size());
	std::map<std::string, int> zones;
	for (auto &id : s.calls[0].workers) {
		EXPECT_NE(cold, id);
		for (auto *ws : bad)
			EXPECT_NE(ws->w->info->id, id);
		for (auto &x : s.workers)
			zones[x.second.zone] += x.second.id == id;
	}
	EXPECT_EQ(0, zones["d"]);
	EXPECT_EQ(10, zones["a"]);
	EXPECT_EQ(10, zones["b"]);
	EXPECT_EQ(10, zones["c"]);
}

/* Guards against calls where no queue has advice, and against a flag that stays
 * set. */
TEST(JobAdvice, NothingIsAskedWithoutSuchAQueue)
{
	AdviceSim s(2);
	s.start(4, 4);
	s.config(3);
	s.submit(1, "batch", { JobSim::step(6, 2000) });
	s.run(2000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
	EXPECT_FALSE(s.jl.advice.is_used);
	EXPECT_EQ(0U, s.calls.size());
}

/* Guards against a service that holds up other queues, or that is called
 * without a pause: when it is silent, refuses, or can't be reached. */
TEST(JobAdvice, AServiceThatFailsIsCalledAgainAfterPauses)
{
	for (auto fault : { SILENT, LIMITED, NO_CONNECTION, RELAY_SILENT }) {
		AdviceSim s(3);
		s.start(8, 3);
		s.fault = fault;
		s.submit(1, "fast", { JobSim::step(2, 2000) });
		s.run(300);
		s.submit(2, "batch", { JobSim::step(6, 2000) });
		s.run(1500);
		EXPECT_EQ(JST_COMPLETED, s.state(2)) << fault;
		s.run(4000);
		EXPECT_GE(s.calls.size(), 3U) << fault;
		EXPECT_LE(s.calls.size(), 6U) << fault;
		EXPECT_EQ(0U, s.starts.count({ 1, 0, 0, 0 }));
		s.fault = ANSWER;
		s.run(5500);
		EXPECT_EQ(JST_COMPLETED, s.state(1)) << fault;
	}
}

/* Guards against an answer after the time limit, or a second one, that counts
 * for another call. */
TEST(JobAdvice, LateAndRepeatedAnswersAreDropped)
{
	AdviceSim s(4);
	s.start(8, 3);
	/* It comes while the next call is in flight. */
	s.extra_ms = 800;
	s.submit(1, "fast", { JobSim::step(2, 2000) });
	s.run(1000);
	EXPECT_EQ(1U, s.count(JCTR_ADVICE_NO_ANSWER));
	EXPECT_EQ(1U, s.count(JCTR_ADVICE_UNEXPECTED));
	EXPECT_EQ(0U, s.count(JCTR_ADVICE_OK));
	s.extra_ms = 0;
	s.answers_twice = true;
	s.run(3000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
	EXPECT_EQ(1U, s.count(JCTR_ADVICE_OK));
	EXPECT_EQ(2U, s.count(JCTR_ADVICE_NO_ANSWER));
	EXPECT_EQ(3U, s.count(JCTR_ADVICE_UNEXPECTED));
}

/* Guards against a ticket that is used for the next incarnation of its
 * worker. */
TEST(JobAdvice, AWorkerThatRestartsNeedsAnotherTicket)
{
	AdviceSim s(5);
	s.start(1, 1, 2000);
	s.submit(1, "fast", { JobSim::step(3, 2000) });
	s.run(400);
	ASSERT_EQ(1U, s.calls.size());
	s.crash(s.workers.begin()->first);
	s.run(50);
	s.restart_worker(s.workers.begin()->first);
	s.heartbeat(s.workers.begin()->first);
	s.run(8000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
	EXPECT_GE(s.calls.size(), 2U);
}

/* Guards against a start with a ticket that ran out while its assignment was
 * committed. */
TEST(JobAdvice, AStartIsNotSentOnceItsTicketRunsOut)
{
	AdviceSim s(6);
	s.valid_ms = 1000;
	s.start(1, 1);
	s.commit_ms = 720;
	s.submit(1, "fast", { JobSim::step(1, 2000) });
	s.run(1500);
	EXPECT_GE(s.count(JCTR_STARTS_NO_TICKET), 1U);
	EXPECT_EQ(0U, s.starts.count({ 1, 0, 0, 0 }));
	s.commit_ms = 12;
	s.run(4000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
}

/* Guards against a start without an answer that is sent again after its ticket
 * ran out, and against a task that stays at that worker. */
TEST(JobAdvice, AStartIsNotRepeatedOnceItsTicketRunsOut)
{
	AdviceSim s(18);
	s.valid_ms = 1500;
	s.start(1, 1);
	uint64_t lost = s.workers.begin()->first;
	s.drop_starts_to = lost;
	s.submit(1, "fast", { JobSim::step(1, 2000) });
	s.run(2600);
	EXPECT_GE(s.count(JCTR_STARTS_NO_TICKET), 1U);
	s.drop_starts_to = 0;
	s.run(16000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
}

/* Guards against a step that ends up without a ticket while its tasks wait. */
TEST(JobAdvice, TicketsAreRenewedWhileTasksWait)
{
	AdviceSim s(7);
	s.valid_ms = 2500;
	s.start(1, 1, 2000);
	s.submit(1, "fast", { JobSim::step(8, 2000) });
	s.run(300);
	uint64_t nready = s.count(JCTR_ADVICE_WAITING);
	s.run(7500);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
	EXPECT_GE(s.calls.size(), 4U);
	EXPECT_LE(s.calls.size(), 9U);
	EXPECT_EQ(nready, s.count(JCTR_ADVICE_WAITING));
	size_t n = s.calls.size();
	s.run(5000);
	EXPECT_EQ(n, s.calls.size());
}

/* Guards against a plan that goes on with tickets that ran out. */
TEST(JobAdvice, NothingIsPlacedWithAnOldTicket)
{
	AdviceSim s(19);
	s.valid_ms = 2500;
	s.start(1, 1, 2000);
	s.submit(1, "fast", { JobSim::step(12, 2000) });
	s.run(900);
	/* The ticket of the second worker runs out later. */
	s.allowed.insert(s.workers[s.add_worker(2000)].id);
	s.run(700);
	ASSERT_GE(s.count(JCTR_ADVICE_OK), 2U);
	s.fault = SILENT;
	s.run(6000);
	EXPECT_EQ(0U, s.count(JCTR_STARTS_NO_TICKET));
	EXPECT_EQ(0U, s.starts.count({ 1, 0, 0, 11 }));
	s.fault = ANSWER;
	s.run(9000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
}

/* Guards against a ticket that is used again after it was refused, a new call
 * at once, and a worker that is closed to other queues for it. */
TEST(JobAdvice, ARefusedTicketIsReplaced)
{
	AdviceSim s(8);
	s.start(1, 1);
	s.nrefuse = 1;
	s.submit(1, "fast", { JobSim::step(1, 2000) });
	s.run(160);
	ASSERT_EQ(1U, s.nrefused);
	s.submit(2, "batch", { JobSim::step(1, 2000) });
	s.run(100);
	EXPECT_EQ(1U, s.starts.count({ 2, 0, 0, 0 }));
	s.run(2000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
	EXPECT_EQ(1U, s.count(JCTR_START_BAD_TICKET));
	ASSERT_EQ(2U, s.calls.size());
	EXPECT_GE(
	    s.calls[1].at_ms - s.calls[0].at_ms, 100 + JADVICE_REJECTED_MS);
}

/* Guards against a new leader that doesn't ask, or takes an answer to its
 * predecessor, whose step may be another one. */
TEST(JobAdvice, ANewLeaderAsksAgain)
{
	AdviceSim s(9);
	s.start(8, 3);
	s.submit(1, "fast", { JobSim::step(4, 2000) });
	s.run(60);
	ASSERT_EQ(1U, s.calls.size());
	s.busy_until_ms.clear();
	s.submit(2, "fast", { JobSim::step(4, 2000) });
	s.cancel(1);
	s.lead();
	s.submit(3, "fast", { JobSim::step(4, 2000) });
	s.run(3000);
	EXPECT_EQ(JST_COMPLETED, s.state(2));
	EXPECT_EQ(JST_COMPLETED, s.state(3));
	EXPECT_EQ(3U, s.calls.size());
	EXPECT_EQ(1U, s.count(JCTR_ADVICE_UNEXPECTED));
	EXPECT_EQ(2U, s.count(JCTR_ADVICE_OK));
	s.dark(10);
	EXPECT_EQ(nullptr, s.jl.advice.known);
}

/* Guards against an answer for a job that has ended, and a caller that stays
 * busy. */
TEST(JobAdvice, AJobMayEndDuringItsCall)
{
	AdviceSim s(10);
	s.start(8, 3);
	s.submit(1, "fast", { JobSim::step(4, 2000) });
	s.run(60);
	s.cancel(1);
	s.submit(2, "fast", { JobSim::step(4, 2000) });
	s.run(2500);
	EXPECT_EQ(JST_COMPLETED, s.state(2));
	EXPECT_EQ(2U, s.calls.size());
	EXPECT_EQ(0U, s.starts.count({ 1, 0, 0, 0 }));
	s.run(1000);
	EXPECT_EQ(0U, s.jl.advice.ntickets);
	EXPECT_EQ(nullptr, jst_find_step(jst_find_job(&s.st, 1), 0, 0)->advice);
}

/* Guards against calls without end for a step that no worker may run, against
 * workers that stay unknown, and against such a step holding up another
 * queue. */
TEST(JobAdvice, AStepThatNoWorkerMayRunWaits)
{
	AdviceSim s(11);
	s.start(60, 0);
	s.submit(1, "fast", { JobSim::step(4, 2000) });
	s.run(3000);
	size_t n = s.calls.size();
	EXPECT_EQ(2U, n);
	s.submit(2, "batch", { JobSim::step(4, 2000) });
	s.run(3000);
	EXPECT_EQ(JST_COMPLETED, s.state(2));
	EXPECT_EQ(n, s.calls.size());
	for (int i = 0; i < 5; i++) {
		s.add_worker(16000);
		s.run(80);
	}
	s.run(1000);
	EXPECT_EQ(n + 2, s.calls.size());
	s.allowed.insert(s.workers[s.add_worker(16000)].id);
	s.run(3000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
	EXPECT_EQ(1U, s.calls.back().workers.size());
}

/* Guards against too few workers being named when those that are allowed have
 * too little room. */
TEST(JobAdvice, MoreAreNamedIfTooFewAreGood)
{
	AdviceSim s(12);
	s.start(150, 0, 2000);
	for (auto &x : s.workers) {
		if (x.first > 140)
			s.allowed.insert(x.second.id);
	}
	s.submit(1, "fast", { JobSim::step(4, 2000) });
	s.run(4000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
	ASSERT_GE(s.calls.size(), 2U);
	EXPECT_EQ(30U, s.calls[0].workers.size());
	EXPECT_EQ(60U, s.calls[1].workers.size());
}

/* Guards against a step that waits for its advice after the step before, and
 * against more than one call for it meanwhile. */
TEST(JobAdvice, AStepIsAskedAboutBeforeItCanStart)
{
	AdviceSim s(13);
	s.start(60, 20);
	Job__Step first = JobSim::step(2, 2000),
		  second = JobSim::step(30, 16000);
	uint32_t after = 0;
	second.after = &after;
	second.n_after = 1;
	s.submit(1, "fast", { first, second });
	s.run(600);
	ASSERT_EQ(2U, s.calls.size());
	EXPECT_EQ(1U, s.calls[1].step.step);
	s.run(550);
	EXPECT_EQ(2U, s.calls.size());
	s.run(4000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
	SimTask t0 = { 1, 0, 0, 0 }, t1 = { 1, 0, 1, 0 };
	EXPECT_LE(s.last_start_ms[t1] - s.last_start_ms[t0], 800 + 100);
}

/* Guards against a repeated job that is asked about long before its
 * occurrences, when their tickets would run out, or only once they are due. */
TEST(JobAdvice, AnOccurrenceIsAskedAboutShortlyBefore)
{
	AdviceSim s(20);
	s.start(8, 3);
	int64_t from_ms = s.now_ms;
	s.submit(1, "fast", { JobSim::step(2, 2000) }, 3);
	s.run(900);
	EXPECT_EQ(1U, s.calls.size());
	s.run(4000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
	EXPECT_EQ(3U, s.calls.size());
	SimTask last = { 1, 2, 0, 0 };
	EXPECT_LE(s.last_start_ms[last], from_ms + 3000 + 60);
}

/* Guards against a gang that starts without tickets for all of it. */
TEST(JobAdvice, AGangNeedsTicketsForAll)
{
	AdviceSim s(14);
	s.gang_timeout_ms = 1500;
	s.start(8, 2, 2000);
	Job__Step gang = JobSim::step(3, 2000);
	gang.has_gang = gang.gang = 1;
	s.submit(1, "fast", { gang });
	s.run(3000);
	EXPECT_EQ(0U, s.starts.size());
	s.allowed.insert(s.workers[s.add_worker(2000)].id);
	s.run(3000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
}

/* Guards against a gang of which one member lost its ticket and the others
 * wait for it until their time is up. */
TEST(JobAdvice, AGangIsStoppedIfOneTicketIsRefused)
{
	AdviceSim s(15);
	s.gang_timeout_ms = 20000;
	s.start(8, 3, 2000);
	Job__Step gang = JobSim::step(3, 2000);
	gang.has_gang = gang.gang = 1;
	s.nrefuse = 1;
	s.submit(1, "fast", { gang });
	s.run(6000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
}

/* Guards against starts without the setting, and a step that waits unseen. */
TEST(JobAdvice, WithoutTheSettingItsStepsWait)
{
	AdviceSim s(16, false);
	s.start(4, 4);
	s.submit(1, "fast", { JobSim::step(2, 2000) });
	s.submit(2, "batch", { JobSim::step(2, 2000) });
	s.run(3500);
	EXPECT_EQ(JST_COMPLETED, s.state(2));
	EXPECT_EQ(0U, s.starts.count({ 1, 0, 0, 0 }));
	EXPECT_GE(s.count(JCTR_ADVICE_NO_SETTING), 2U);
	EXPECT_TRUE(s.jl.advice.is_lack_logged);
}

/* Guards against a single caller where others could call, and a call that is
 * waited for although the instance that makes it has gone. */
TEST(JobAdvice, OtherInstancesCallToo)
{
	AdviceSim s(17);
	s.start(8, 3);
	s.callers = { 2, 3 };
	s.fault = RELAY_SILENT;
	for (uint64_t id = 1; id <= 4; id++)
		s.submit(id, "fast", { JobSim::step(2, 1000) });
	s.run(60);
	ASSERT_EQ(3U, s.calls.size());
	EXPECT_EQ(3U, jadvice_count_calls(s.jl.advice.known));
	EXPECT_EQ(1U, s.jl.advice.nqueued);
	s.callers = { 3 };
	s.run(30);
	EXPECT_EQ(1U, s.count(JCTR_ADVICE_NO_ANSWER));
	EXPECT_EQ(2U, jadvice_count_calls(s.jl.advice.known));
	s.fault = ANSWER;
	s.run(5000);
	for (uint64_t id = 1; id <= 4; id++)
		EXPECT_EQ(JST_COMPLETED, s.state(id));
}

/* Guards against a queue without a bound, or one in which urgent steps come
 * last. */
TEST(JobAdvice, TheQueueKeepsThoseThatGainMost)
{
	struct jadvice_queue q = {};
	struct jadvice_terms t = { 90, 10, 4000 };
	for (int i = 39; i >= 0; i--) {
		struct jadvice_want w = {};
		w.gain = jadvice_gain(
		    i % 3, (uint32_t)i % 2, i % 5 > 0, i % 7 > 0, &t);
		w.deadline_ms = i;
		jadvice_queue_add(&q, &w);
	}
	ASSERT_EQ((size_t)JADVICE_QUEUE_MAX, q.n);
	EXPECT_EQ(40U - JADVICE_QUEUE_MAX, q.nleft_out);
	for (size_t i = 1; i < q.n; i++)
		EXPECT_GE(q.v[i - 1].gain, q.v[i].gain);
	EXPECT_EQ(jadvice_gain(0, 0, true, true, &t), q.v[0].gain);
	EXPECT_EQ(6, q.v[0].deadline_ms);
	EXPECT_GT(jadvice_gain(0, 0, true, true, &t),
	    jadvice_gain(1, 0, true, true, &t));
}

/* Guards against a task for which no worker is kept because a single end
 * suffices for a step that needs tickets, on the few workers that it has. */
TEST(JobAdvice, AnEndOnAWorkerWithATicketSaysNothingOfOtherSteps)
{
	AdviceSim s(6);
	s.jl.lookahead = true;
	uint64_t first = s.add_worker(16000);
	s.allowed.insert(s.workers[first].id);
	s.new_kind = "b";
	s.add_worker(16000);
	s.advise();
	s.lead();
	s.run(200);
	char label[] = "b";
	Job__Step pair = JobSim::step(2, 6000, 3000);
	pair.label = label;
	s.submit(1, "batch", { pair });
	s.run(100);
	s.submit(2, "fast", { JobSim::step(2, 14000, 4000) });
	s.run(500);
	ASSERT_EQ(1U, s.starts.count({ 2, 0, 0, 0 }));
	EXPECT_EQ(0U, s.jl.look.nslots);
	s.submit(3, "batch", { JobSim::step(1, 14000, 4000) });
	s.run(50);
	ASSERT_EQ(1U, s.jl.look.nslots);
	EXPECT_EQ(3U, s.jl.look.slots[0].step->job->id);
}

} // namespace
