#include "job/tests/advice_sim.h"

extern "C" {
#include "job/jadvice_impl.h"
}

namespace {

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
	EXPECT_EQ(nullptr, jst_find_step(jst_find_job(&s.st, 1), 0, 0));
	Job__Task ended = JOB__TASK__INIT;
	ended.job = 1;
	EXPECT_EQ(nullptr, jadvice_step_find(s.jl.advice.known, &ended));
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

/* Guards against best-effort tasks that wait for the few workers with a ticket
 * while others that may run them are never named. */
TEST(JobAdvice, MoreAreNamedForBestEffortTasks)
{
	AdviceSim s(21);
	auto step = JobSim::step(8, 16000, 3000);
	step.has_fills = step.fills = 1;
	s.start(60, 0);
	for (auto &x : s.workers)
		s.allowed.insert(x.second.id);
	s.submit(1, "fast", { step });
	s.run(60);
	ASSERT_EQ(1U, s.calls.size());
	for (size_t i = 1; i < s.calls[0].workers.size(); i++)
		s.allowed.erase(s.calls[0].workers[i]);
	s.run(1500);
	EXPECT_GE(s.calls.size(), 2U);
	EXPECT_EQ(1U, s.starts.count({ 1, 0, 0, 7 }));
}

/* Guards against steps that need no call being looked at again and again on a
 * large fleet, so that those after them are never asked about. */
TEST(JobAdvice, StepsThatNeedNoCallDoNotHoldUpOthers)
{
	AdviceSim s(18);
	std::string label = "nowhere";
	s.start(8000, 8000);
	for (uint64_t id = 1; id <= 40; id++) {
		auto step = JobSim::step(1, 1000);
		step.label = label.data();
		s.submit(id, "fast", { step });
	}
	s.run(200);
	EXPECT_EQ(0U, s.calls.size());
	s.submit(41, "fast", { JobSim::step(1, 1000) });
	s.run(2000);
	EXPECT_EQ(1U, s.calls.size());
}

/* Guards against calls that take so much of the validity of their tickets that
 * none can be used. */
TEST(JobAdvice, CallsAreShortIfTicketsAre)
{
	AdviceSim s(19);
	s.valid_ms = 600;
	s.start(60, 0);
	for (auto &x : s.workers)
		s.allowed.insert(x.second.id);
	s.submit(1, "fast", { JobSim::step(4, 2000) });
	s.run(5000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
}

/* Guards against records and figures of steps that stay once no queue has
 * advice any more. */
TEST(JobAdvice, NothingIsKeptOnceNoQueueHasAdvice)
{
	AdviceSim s(20);
	s.start(8, 3);
	s.fault = SILENT;
	s.submit(1, "fast", { JobSim::step(4, 2000) });
	s.run(60);
	const struct jst_step *st = jst_find_step(jst_find_job(&s.st, 1), 0, 0);
	ASSERT_NE(nullptr, st->advice);
	ASSERT_EQ(1U, s.jl.advice.nwaiting);
	s.advise(3, false);
	EXPECT_EQ(nullptr, st->advice);
	EXPECT_EQ(0U, s.jl.advice.nwaiting);
}

/* Gives a step a ticket for one worker. */
void
give_ticket(struct jadvice *a, struct jadvice_step *s,
    const struct jadvice_terms *t, int64_t now_ms)
{
	struct jadvice_worker w = { "i-1", "a", 1, 1, 0, 1000, true };
	struct jadvice_good good = { "i-1", "t" };
	struct jadvice_answer r = { 0, 0, JADVICE_OK, &good, 1 };
	struct jadvice_outcome o;
	int64_t timeout_ms;
	r.serial = jadvice_begin(a, 0, s, t, &w, 1, now_ms, &timeout_ms);
	jadvice_end(a, &r, now_ms, &o);
}

/* Guards against refusals that are long past making the pause after the next
 * one longer. */
TEST(JobAdvice, RefusalsCountOnlyInARow)
{
	struct jadvice *a = jadvice_new();
	struct jadvice_terms t = { 90, 10, 4000 };
	struct jadvice_worker w, out[JADVICE_WORKERS_MAX];
	Job__Task ref = JOB__TASK__INIT;
	ref.job = 1;
	struct jadvice_step *s = jadvice_step_get(a, &ref);
	int64_t now = 1000;
	auto is_named = [&](int64_t at) {
		w = { "i-1", "a", 1, 1, 0, 1000, true };
		return jadvice_choose(s, &t, &w, 1, 1, true, at, out) == 1;
	};
	for (int i = 0; i < 3; i++) {
		give_ticket(a, s, &t, now);
		jadvice_reject(s, "i-1", 1, now);
	}
	EXPECT_FALSE(is_named(now + 3 * JADVICE_REJECTED_MS));
	now += 10000;
	give_ticket(a, s, &t, now);
	give_ticket(a, s, &t, now + 3000);
	jadvice_reject(s, "i-1", 1, now + 3000);
	EXPECT_FALSE(is_named(now + 3000 + JADVICE_REJECTED_MS - 1));
	EXPECT_TRUE(is_named(now + 3000 + JADVICE_REJECTED_MS));
	jadvice_free(a);
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
