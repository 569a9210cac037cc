#include <gtest/gtest.h>

#include <vector>

#include "request/eng.h"

namespace {

/* One engine with a hand-made view and a clock that the test moves. */
struct Bench {
	struct eng_conf conf = { 1, 10, 3, 20, 10000, 1000 };
	int64_t now = 1000000000;
	struct eng *e;
	struct eng_acts acts = {};
	struct view view = {};
	std::vector<view_class> classes;
	std::vector<view_worker> workers;
	unsigned serves[2] = { 0, 1 };
	uint64_t next = 1;

	Bench()
	{
		e = eng_new(NULL, &conf, clk_from_ns(now));
		classes.push_back({ str_from("batch"), false, 0, 0, 10000 });
		classes.push_back({ str_from("svc"), true, 990, 100, 1000 });
	}
	~Bench()
	{
		talloc_free(acts.v);
		talloc_free(e);
	}
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
	void step(struct eng_ev &ev)
	{
		acts.n = 0;
		eng_step(e, clk_from_ns(now), &ev, &acts);
	}
	void publish()
	{
		struct eng_ev ev = {};

		view.config_version = 1;
		view.fresh_until = clk_from_ns(now + 3000000000);
		for (auto &w : workers)
			w.grant_expiry = clk_from_ns(now + 32000000000);
		view.classes = classes.data();
		view.nclasses = classes.size();
		view.workers = workers.data();
		view.nworkers = workers.size();
		ev.kind = ENG_EV_VIEW;
		ev.u.view = &view;
		step(ev);
	}
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
	void tick(int64_t ms)
	{
		struct eng_ev ev = {};

		now += ms * 1000000;
		ev.kind = ENG_EV_TICK;
		step(ev);
	}
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
	void claimed(uint64_t req, enum eng_claim c)
	{
		struct eng_ev ev = {};

		ev.kind = ENG_EV_CLAIMED;
		ev.req = req;
		ev.u.claim = c;
		step(ev);
	}
	const struct eng_act *find(enum eng_act_kind kind)
	{
		for (size_t i = 0; i < acts.n; i++)
			if (acts.v[i].kind == kind)
				return &acts.v[i];
		return NULL;
	}
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

/* Guards against taking work without a view, or after it has grown stale. */
TEST(Eng, RefusesWithoutAFreshView)
{
	Bench b;

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
 * against batch before urgent. */
TEST(Eng, QueuesForAFreeSlotUrgentFirst)
{
	Bench b;
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
	EXPECT_TRUE(eng_idle(b.e));
}
