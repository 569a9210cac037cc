#include <gtest/gtest.h>

#include <vector>

#include "base/rng.h"
#include "request/eng.h"

namespace {

/* One engine with a view and a clock that the test controls. */
struct EngineFixture {
	struct eng_conf conf = { 1, 10, 3, 20, 10000, 1000 };
	int64_t now = 1000000000;
	struct eng *e;
	struct eng_acts acts = {};
	struct view view = {};
	std::vector<view_class> classes;
	std::vector<view_worker> workers;
	unsigned serves[2] = { 0, 1 };
	uint64_t next = 1;

	EngineFixture()
	{
		e = eng_new(NULL, &conf, clk_from_ns(now));
		classes.push_back({ str_from("batch"), false, 0, 0, 10000 });
		classes.push_back({ str_from("svc"), true, 990, 100, 1000 });
	}
	~EngineFixture()
	{
		talloc_free(acts.v);
		talloc_free(e);
	}
	/* Adds a worker that serves both classes to the view. */
	void worker(uint64_t epoch, unsigned slots)
	{
		view_worker w = {};

		w.epoch = epoch;
		w.rack = str_from("r1");
		w.slots = slots;
		w.connections = slots + 1;
		w.grant_seq = 1;
		w.serves = serves;
		w.nserves = 2;
		workers.push_back(w);
	}
	/* Passes an event; its actions are left in acts. */
	void step(struct eng_ev &ev)
	{
		acts.n = 0;
		eng_step(e, clk_from_ns(now), &ev, &acts);
	}
	/* Passes the view, fresh for 3 s, to the engine. */
	void publish()
	{
		struct eng_ev ev = {};

		view.config_version = 1;
		view.fresh_until = clk_from_ns(now + 3000000000);
		for (auto &w : workers) {
			w.grant_start_until = view.fresh_until;
			w.grant_expiry = clk_from_ns(now + 32000000000);
		}
		view.classes = classes.data();
		view.nclasses = classes.size();
		view.workers = workers.data();
		view.nworkers = workers.size();
		ev.kind = ENG_EV_VIEW;
		ev.u.view = &view;
		step(ev);
	}
	/* Passes an ARRIVE and returns the id of the request. */
	uint64_t arrive(const char *name, bool idem = true,
	    const char *key = "", int64_t ms = 0)
	{
		struct eng_ev ev = {};

		ev.kind = ENG_EV_ARRIVE;
		ev.req = next++;
		ev.u.arrive.class_name = str_from(name);
		ev.u.arrive.key = str_from(key);
		ev.u.arrive.idempotent = idem;
		ev.u.arrive.timeout_ms = ms;
		step(ev);
		return ev.req;
	}
	/* Moves the clock on and ticks the engine. */
	void tick(int64_t ms)
	{
		struct eng_ev ev = {};

		now += ms * 1000000;
		ev.kind = ENG_EV_TICK;
		step(ev);
	}
	/* Passes an event of an attempt; DONE has status 200. */
	void event(enum eng_ev_kind kind, uint64_t req, uint64_t attempt)
	{
		struct eng_ev ev = {};

		ev.kind = kind;
		ev.req = req;
		ev.attempt = attempt;
		if (kind == ENG_EV_DONE)
			ev.u.done.http_status = 200;
		step(ev);
	}
	/* Passes a FAILED; sent: a byte may have left. */
	void failed(uint64_t req, uint64_t attempt, enum eng_fail f, bool sent)
	{
		struct eng_ev ev = {};

		ev.kind = ENG_EV_FAILED;
		ev.req = req;
		ev.attempt = attempt;
		ev.u.failed.kind = f;
		ev.u.failed.sent = sent;
		step(ev);
	}
	/* Passes the result of a probe. */
	void probed(uint64_t epoch, bool ok)
	{
		struct eng_ev ev = {};

		ev.kind = ENG_EV_PROBED;
		ev.u.probed.epoch = epoch;
		ev.u.probed.ok = ok;
		step(ev);
	}
	/* Passes the answer to a claim. */
	void claimed(uint64_t req, enum eng_claim c)
	{
		struct eng_ev ev = {};

		ev.kind = ENG_EV_CLAIMED;
		ev.req = req;
		ev.u.claim = c;
		step(ev);
	}
	/* Returns the first action of a kind in the last step, or NULL. */
	const struct eng_act *find(enum eng_act_kind kind)
	{
		for (size_t i = 0; i < acts.n; i++)
			if (acts.v[i].kind == kind)
				return &acts.v[i];
		return NULL;
	}
	/* Expects an ANSWER with this outcome and reason in the last step. */
	void expect_answer(enum eng_outcome o, enum eng_reason why)
	{
		const struct eng_act *a = find(ENG_ACT_ANSWER);

		ASSERT_NE(nullptr, a);
		EXPECT_EQ(o, a->u.answer.outcome);
		EXPECT_EQ(why, a->u.answer.reason)
		    << eng_reason_name(a->u.answer.reason);
	}
};

} // namespace

/* Guards against accepting requests without a view or with a stale one. */
TEST(Eng, RefusesWithoutAFreshView)
{
	EngineFixture b;

	b.arrive("svc");
	b.expect_answer(ENG_NOT_RUN, ENG_R_CONFIG_STALE);
	b.worker(5, 1);
	b.publish();
	b.arrive("svc");
	ASSERT_NE(nullptr, b.find(ENG_ACT_DISPATCH));
	b.tick(3000);
	b.arrive("svc");
	b.expect_answer(ENG_NOT_RUN, ENG_R_CONFIG_STALE);
}

/* Guards against more requests on a worker than slots are granted, and
 * against a batch request that is dispatched before an urgent one. */
TEST(Eng, QueuesForAFreeSlotUrgentFirst)
{
	EngineFixture b;
	uint64_t first, batch, urgent;

	b.worker(5, 1);
	b.publish();
	first = b.arrive("svc");
	EXPECT_EQ(5u, b.find(ENG_ACT_DISPATCH)->u.dispatch.epoch);
	batch = b.arrive("batch");
	EXPECT_EQ(0u, b.acts.n);
	urgent = b.arrive("svc");
	EXPECT_EQ(0u, b.acts.n);
	b.event(ENG_EV_SENT, first, 1);
	b.event(ENG_EV_DONE, first, 1);
	b.expect_answer(ENG_ANSWERED, ENG_R_NONE);
	ASSERT_NE(nullptr, b.find(ENG_ACT_DISPATCH));
	EXPECT_EQ(urgent, b.find(ENG_ACT_DISPATCH)->req);
	b.event(ENG_EV_DONE, urgent, 2);
	EXPECT_EQ(batch, b.find(ENG_ACT_DISPATCH)->req);
	b.event(ENG_EV_DONE, batch, 3);
	EXPECT_TRUE(eng_is_idle(b.e));
}

/* Guards against an attempt whose first byte may leave after the engine has
 * given it up as not sent. */
TEST(Eng, AnAttemptMayBeSentOnlyWhileItConnects)
{
	EngineFixture b;
	int64_t send_by;

	b.worker(5, 2);
	b.publish();
	b.arrive("svc", false, "", 20);
	ASSERT_NE(nullptr, b.find(ENG_ACT_DISPATCH));
	EXPECT_EQ(b.now + 20000000,
	    clk_ns(b.find(ENG_ACT_DISPATCH)->u.dispatch.send_by));
	b.event(ENG_EV_DONE, 1, 1);
	b.arrive("svc", false);
	ASSERT_NE(nullptr, b.find(ENG_ACT_DISPATCH));
	send_by = clk_ns(b.find(ENG_ACT_DISPATCH)->u.dispatch.send_by);
	EXPECT_EQ(b.now + 250000000, send_by);
	b.tick(249);
	EXPECT_EQ(nullptr, b.find(ENG_ACT_ABORT));
	b.tick(1);
	EXPECT_NE(nullptr, b.find(ENG_ACT_ABORT));
}

/* Guards against an answer to a claim that leads to a dispatch or to an outcome
 * that it does not prove, and against a lost claim that is never released. */
TEST(Eng, ClaimDecidesTheOutcome)
{
	static const struct {
		enum eng_claim claim;
		enum eng_outcome outcome;
		enum eng_reason reason;
		size_t actions;
	} T[] = {
		{ ENG_CLAIM_RUNNING, ENG_UNKNOWN, ENG_R_KEY_RUNNING, 1 },
		{ ENG_CLAIM_RECORDED, ENG_ANSWERED, ENG_R_NONE, 1 },
		{ ENG_CLAIM_UNKNOWN, ENG_UNKNOWN, ENG_R_KEY_UNKNOWN, 1 },
		{ ENG_CLAIM_MISMATCH, ENG_NOT_RUN, ENG_R_KEY_MISMATCH, 1 },
		{ ENG_CLAIM_REFUSED, ENG_NOT_RUN, ENG_R_CLAIM_FAILED, 1 },
		{ ENG_CLAIM_LOST, ENG_UNKNOWN, ENG_R_CLAIM_UNKNOWN, 2 },
	};
	EngineFixture b;
	uint64_t req;

	b.worker(5, 8);
	b.publish();
	for (auto &t : T) {
		req = b.arrive("svc", true, "k");
		ASSERT_EQ(1u, b.acts.n);
		EXPECT_EQ(ENG_ACT_CLAIM, b.acts.v[0].kind);
		b.claimed(req, t.claim);
		EXPECT_EQ(t.actions, b.acts.n);
		b.expect_answer(t.outcome, t.reason);
		EXPECT_EQ(t.claim == ENG_CLAIM_RECORDED,
		    b.find(ENG_ACT_ANSWER)->u.answer.recorded);
		if (t.claim == ENG_CLAIM_LOST) {
			EXPECT_EQ(ENG_NOT_RUN,
			    b.find(ENG_ACT_RECORD)->u.record.outcome);
		}
	}
	req = b.arrive("svc", true, "k");
	b.claimed(req, ENG_CLAIM_GRANTED);
	ASSERT_NE(nullptr, b.find(ENG_ACT_DISPATCH));
	b.event(ENG_EV_SENT, req, 1);
	b.failed(req, 1, ENG_FAIL_NOT_STARTED, true);
	ASSERT_NE(nullptr, b.find(ENG_ACT_DISPATCH)); /* did not run */
	b.event(ENG_EV_SENT, req, 2);
	b.failed(req, 2, ENG_FAIL_RESET, true);
	b.expect_answer(ENG_UNKNOWN, ENG_R_RESET);
	EXPECT_EQ(ENG_UNKNOWN, b.find(ENG_ACT_RECORD)->u.record.outcome);
}

/* Guards against a claim that stays granted because its request ended before
 * the answer to the claim arrived. */
TEST(Eng, LateClaimIsReleased)
{
	EngineFixture b;
	uint64_t timed_out, cancelled;

	b.worker(5, 8);
	b.publish();
	timed_out = b.arrive("svc", true, "a");
	cancelled = b.arrive("svc", true, "b");
	b.event(ENG_EV_CANCEL, cancelled, 0);
	b.expect_answer(ENG_UNKNOWN, ENG_R_CANCELLED);
	b.tick(1000);
	b.expect_answer(ENG_UNKNOWN, ENG_R_CLAIM_UNKNOWN);
	EXPECT_TRUE(eng_is_idle(b.e));
	for (uint64_t req : { timed_out, cancelled }) {
		b.claimed(req, ENG_CLAIM_GRANTED);
		ASSERT_EQ(1u, b.acts.n);
		EXPECT_EQ(
		    ENG_NOT_RUN, b.find(ENG_ACT_RECORD)->u.record.outcome);
	}
}

/* Guards against a cancelled request that stays in the queue, and against
 * aborting one that may be running. */
TEST(Eng, CancelFreesTheSlotUnlessTheRequestMayRun)
{
	EngineFixture b;
	uint64_t run, wait, last;

	b.worker(5, 1);
	b.publish();
	run = b.arrive("svc", false);
	wait = b.arrive("svc");
	last = b.arrive("svc");
	b.event(ENG_EV_SENT, run, 1);
	b.event(ENG_EV_CANCEL, run, 0);
	EXPECT_EQ(0u, b.acts.n);
	b.event(ENG_EV_CANCEL, wait, 0);
	b.expect_answer(ENG_NOT_RUN, ENG_R_CANCELLED);
	b.event(ENG_EV_DONE, run, 1);
	b.expect_answer(ENG_ANSWERED, ENG_R_NONE);
	ASSERT_NE(nullptr, b.find(ENG_ACT_DISPATCH));
	EXPECT_EQ(last, b.find(ENG_ACT_DISPATCH)->req);
	b.event(ENG_EV_CANCEL, last, 0); /* no byte has left */
	EXPECT_NE(nullptr, b.find(ENG_ACT_ABORT));
	b.expect_answer(ENG_NOT_RUN, ENG_R_CANCELLED);
}

/* Guards against sending a request that could still run after its grant has
 * expired, and against reusing the slot of a timed-out request while the
 * worker may still run it. */
TEST(Eng, SlotOfATimedOutRequestStaysInUse)
{
	EngineFixture b;
	struct eng_stats st;
	uint64_t req;

	b.worker(5, 1);
	b.publish();
	req = b.arrive("svc", false, "", 400);
	b.event(ENG_EV_SENT, req, 1);
	b.tick(400);
	b.expect_answer(ENG_UNKNOWN, ENG_R_TIMEOUT);
	ASSERT_NE(nullptr, b.find(ENG_ACT_ABORT));
	EXPECT_TRUE(b.find(ENG_ACT_ABORT)->u.abort.close_idle);
	b.probed(5, true);
	eng_stats(b.e, b.e, &st);
	ASSERT_EQ(1u, st.nslots);
	EXPECT_EQ(1u, st.slots[0].used);
	b.publish();
	b.arrive("svc");
	EXPECT_EQ(nullptr, b.find(ENG_ACT_DISPATCH));
	b.tick(50);
	b.publish();
	EXPECT_EQ(nullptr, b.find(ENG_ACT_DISPATCH));
	b.tick(600);
	b.publish();
	b.arrive("svc");
	EXPECT_NE(nullptr, b.find(ENG_ACT_DISPATCH));

	EngineFixture c;
	c.worker(5, 1);
	c.publish();
	c.workers[0].grant_expiry = clk_from_ns(c.now + 1500 * 1000000LL);
	struct eng_ev ev = {};
	ev.kind = ENG_EV_VIEW;
	ev.u.view = &c.view;
	c.step(ev);
	c.arrive("svc", true, "", 1000); /* ends at 1515 ms at the latest */
	EXPECT_EQ(nullptr, c.find(ENG_ACT_DISPATCH));
	c.arrive("svc", true, "", 900);
}

/* Guards against lost answers of running requests, and against admitting new
 * requests, after DRAIN. */
TEST(Eng, DrainFinishesWhatRuns)
{
	EngineFixture b;
	uint64_t run;
	struct eng_ev ev = {};

	b.worker(5, 1);
	b.publish();
	run = b.arrive("svc");
	ev.kind = ENG_EV_DRAIN;
	b.step(ev);
	b.arrive("svc");
	b.expect_answer(ENG_NOT_RUN, ENG_R_DRAINING);
	EXPECT_FALSE(eng_is_idle(b.e));
	b.event(ENG_EV_DONE, run, 1);
	b.expect_answer(ENG_ANSWERED, ENG_R_NONE);
	EXPECT_TRUE(eng_is_idle(b.e));
}

/* Guards against one class starving another without a counter that shows it. */
TEST(Eng, CountsRefusalsWhileOtherClassesHoldSlots)
{
	EngineFixture b;
	const struct ctr_set *c = eng_counters(b.e);
	uint64_t seen = 0;

	b.worker(5, 1);
	b.publish();
	b.arrive("batch");
	b.arrive("svc");
	b.tick(200);
	b.expect_answer(ENG_NOT_RUN, ENG_R_QUEUE_TIMEOUT);
	for (size_t i = 0; i < c->ncounters; i++)
		if (str_eq_c(str_from("competing_urgent"), c->desc[i].name))
			seen = ctr_get(c, i);
	EXPECT_EQ(1u, seen);
}

/* Guards against a crash, a second or missing answer, or a slot that is never
 * released, for random orders of events and views. */
TEST(Eng, AnyOrderOfEventsEndsInOneAnswerEach)
{
	for (uint64_t seed = 1; seed <= 300; seed++) {
		EngineFixture b;
		struct rng r;
		struct eng_stats st;
		std::vector<unsigned> answers(1, 0);
		uint64_t tries = 0;

		rng_init(&r, seed);
		for (uint64_t w = 5; w < 9; w++)
			b.worker(w, 2);
		b.publish();
		auto all = b.workers;
		for (int i = 0; i < 600; i++) {
			struct eng_ev ev = {};

			b.now += (int64_t)rng_below(&r, 40000000);
			ev.kind = (enum eng_ev_kind)rng_below(&r, ENG_EV_VIEW);
			if (rng_chance(&r, 0.1)) {
				b.workers.clear();
				b.classes.assign({ { str_from("svc"), true, 990,
				    100, 1000 } });
				if (rng_chance(&r, 0.7))
					b.classes.insert(b.classes.begin(),
					    { str_from("batch"), false, 0, 0,
						10000 });
				for (auto w : all) {
					w.nserves = b.classes.size();
					if (rng_chance(&r, 0.8))
						b.workers.push_back(w);
				}
				b.publish();
				goto count;
			}
			ev.req = 1 + rng_below(&r, b.next);
			ev.attempt = 1 + rng_below(&r, ++tries);
			if (ev.attempt + 8 < tries)
				ev.attempt = tries - 4;
			switch (ev.kind) {
			case ENG_EV_ARRIVE:
				b.arrive(rng_chance(&r, 0.7) ? "svc" : "batch",
				    rng_chance(&r, 0.5),
				    rng_chance(&r, 0.3) ? "k" : "");
				answers.push_back(0);
				goto count;
			case ENG_EV_CLAIMED:
				ev.u.claim = (enum eng_claim)rng_below(
				    &r, ENG_CLAIM_LOST + 1);
				break;
			case ENG_EV_FAILED:
				ev.u.failed.kind = (enum eng_fail)rng_below(
				    &r, ENG_FAIL_TRUNCATED + 1);
				ev.u.failed.sent = rng_chance(&r, 0.5);
				break;
			case ENG_EV_PROBED:
				ev.u.probed.epoch = 5 + rng_below(&r, 4);
				ev.u.probed.ok = rng_chance(&r, 0.5);
				break;
			default:
				break;
			}
			b.step(ev);
		count:
			for (size_t k = 0; k < b.acts.n; k++) {
				const struct eng_act &a = b.acts.v[k];

				if (a.kind == ENG_ACT_ANSWER)
					answers.at(a.req)++;
				if (a.kind == ENG_ACT_DISPATCH)
					tries = a.attempt;
			}
		}
		for (int i = 0; i < 40; i++) {
			b.tick(1000);
			for (size_t k = 0; k < b.acts.n; k++)
				if (b.acts.v[k].kind == ENG_ACT_ANSWER)
					answers.at(b.acts.v[k].req)++;
		}
		for (size_t i = 1; i < answers.size(); i++)
			ASSERT_EQ(1u, answers[i])
			    << "seed " << seed << " request " << i;
		EXPECT_TRUE(eng_is_idle(b.e)) << "seed " << seed;
		eng_stats(b.e, b.e, &st);
		for (size_t i = 0; i < st.nslots; i++)
			ASSERT_EQ(0u, st.slots[i].used) << "seed " << seed;
	}
}

/* Guards against more connections to a worker, probes included, than this
 * instance may open. */
TEST(Eng, ConnectionsBoundWorkAndProbes)
{
	EngineFixture b;
	uint64_t one, two;

	b.worker(5, 4);
	b.workers[0].connections = 2;
	b.publish();
	one = b.arrive("svc", false, "", 200);
	two = b.arrive("svc", false, "", 1000);
	b.event(ENG_EV_SENT, one, 1);
	b.event(ENG_EV_SENT, two, 2);
	b.arrive("svc");
	EXPECT_EQ(nullptr, b.find(ENG_ACT_DISPATCH));
	b.tick(200); /* times out; both connections are still in use */
	EXPECT_EQ(nullptr, b.find(ENG_ACT_PROBE));
	b.event(ENG_EV_DONE, two, 2);
	b.tick(1000);
	EXPECT_NE(nullptr, b.find(ENG_ACT_PROBE));
}

/* Guards against batch requests that take every slot before urgent requests
 * arrive, and against slots kept free where no urgent class is served. */
TEST(Eng, BatchLeavesHeadroomForUrgent)
{
	for (bool both : { true, false }) {
		EngineFixture b;
		unsigned sent = 0;
		uint64_t svc;

		b.worker(5, 8);
		b.workers[0].nserves = both ? 2 : 1;
		b.publish();
		for (int i = 0; i < 10; i++) {
			b.arrive("batch");
			sent += b.find(ENG_ACT_DISPATCH) != NULL;
		}
		EXPECT_EQ(both ? 7u : 8u, sent);
		if (!both)
			continue;
		svc = b.arrive("svc");
		ASSERT_NE(nullptr, b.find(ENG_ACT_DISPATCH));
		b.event(ENG_EV_DONE, svc, 8);
		EXPECT_EQ(nullptr, b.find(ENG_ACT_DISPATCH));
		b.event(ENG_EV_DONE, 1, 1);
		EXPECT_NE(nullptr, b.find(ENG_ACT_DISPATCH));
	}
}
