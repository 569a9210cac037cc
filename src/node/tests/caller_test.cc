#include <gtest/gtest.h>
#include <string>
#include <vector>

#include "base/clk.h"
#include "base/log.h"
#include "node/caller.h"

namespace {

struct Sent {
	uint32_t to;
	bool call;
	uint64_t id;
	int64_t received_ms; /* of an order */
};

struct fixture {
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct timespec now = { 100, 0 };
	std::vector<Sent> sent;
	std::vector<enum caller_end> ends;
	struct caller *c;

	explicit fixture(uint64_t first_id = 1)
	{
		struct caller_ops ops = { on_send, this };
		uint32_t members[3] = { 1, 2, 3 };
		log_set_level(LOG_ERR);
		c = caller_new(ctx, 9, first_id, &ops, now);
		caller_add_members(c, members, 3);
	}
	~fixture()
	{
		talloc_free(ctx);
	}
	static void on_send(void *arg, uint32_t to, const Job__Msg *m)
	{
		((fixture *)arg)
		    ->sent.push_back({ to, m->call != NULL,
			m->call != NULL	      ? m->call->id
			    : m->ping != NULL ? m->ping->seq
					      : 0,
			m->call != NULL && m->call->evacuation != NULL
			    ? m->call->evacuation->received_ms
			    : 0 });
	}
	static void on_done(
	    void *arg, enum caller_end end, const Job__Answer *a)
	{
		((fixture *)arg)->ends.push_back(end);
	}
	void advance(int64_t ms)
	{
		for (; ms > 0; ms -= 50) {
			now = clk_add_ms(now, 50);
			caller_tick(c, now);
		}
	}
	void pong(uint32_t from, bool leading, uint32_t hint = 0)
	{
		Job__Pong p = JOB__PONG__INIT;
		p.leading = leading;
		p.configured = 1;
		p.leader = hint;
		caller_on_pong(c, now, from, &p);
	}
	void call(int64_t timeout)
	{
		Job__Call k = JOB__CALL__INIT;
		k.kind = JOB__CALL_KIND__STATUS;
		caller_start(c, now, &k, timeout, on_done, this);
	}
	/* Starts the call of an order that was received now. */
	void order()
	{
		Job__Call k = JOB__CALL__INIT;
		Job__Evacuation m = JOB__EVACUATION__INIT;
		char domain[] = "a";
		k.kind = JOB__CALL_KIND__EVACUATE;
		k.evacuation = &m;
		m.domain = domain;
		m.has_received_ms = 1;
		m.received_ms = clk_ns(now) / CLK_NS_PER_MS;
		caller_start(c, now, &k, 3000, on_done, this);
	}
	/* Answers the last ping to a replica whose clock is behind. */
	void pong_with_clock(uint32_t from, int64_t behind_ms)
	{
		Job__Pong p = JOB__PONG__INIT;
		for (auto &s : sent) {
			if (!s.call && s.to == from)
				p.seq = s.id;
		}
		p.leading = p.configured = p.has_at_ms = 1;
		p.at_ms = clk_ns(now) / CLK_NS_PER_MS - behind_ms;
		caller_on_pong(c, now, from, &p);
	}
	void answer(uint32_t from, uint64_t id, Job__Outcome o)
	{
		Job__Answer a = JOB__ANSWER__INIT;
		a.id = id;
		a.outcome = o;
		caller_on_answer(c, now, from, &a);
	}
	std::vector<Sent> calls() const
	{
		std::vector<Sent> v;
		for (auto &s : sent) {
			if (s.call)
				v.push_back(s);
		}
		return v;
	}
};

/* Guards against a call that takes an answer meant for an earlier incarnation
 * of its instance, which was still on the connection: a job that never reached
 * the leader would be reported as accepted. */
TEST(Caller, AnAnswerToAnEarlierIncarnationIsDropped)
{
	fixture before(UINT64_C(0x1234567800000000)), f;
	before.pong(1, true);
	before.call(3000);
	f.pong(1, true);
	f.call(3000);
	f.answer(1, before.calls()[0].id, JOB__OUTCOME__OK);
	EXPECT_EQ(0U, f.ends.size());
	f.answer(1, f.calls()[0].id, JOB__OUTCOME__OK);
	EXPECT_EQ(1U, f.ends.size());
}

/* Guards against a call that is lost with its leader. */
TEST(Caller, SendsACallAgainToTheNextLeader)
{
	fixture f;
	f.pong(1, true);
	f.call(3000);
	ASSERT_EQ(1U, f.calls().size());
	caller_on_disconnect(f.c, f.now, 1);
	f.pong(2, true);
	ASSERT_EQ(2U, f.calls().size());
	EXPECT_EQ(2U, f.calls()[1].to);
	f.answer(2, f.calls()[1].id, JOB__OUTCOME__OK);
	ASSERT_EQ(1U, f.ends.size());
	EXPECT_EQ(CALLER_ANSWERED, f.ends[0]);
}

/* Guards against a call that may have taken effect and is reported as not
 * sent. */
TEST(Caller, ACallThatWasSentEndsAsUnknown)
{
	fixture f;
	f.pong(1, true);
	f.call(1000);
	f.advance(1100);
	ASSERT_EQ(1U, f.ends.size());
	EXPECT_EQ(CALLER_UNKNOWN, f.ends[0]);
}

/* Guards against a call that ends at once, as the time that its client allows
 * is so long that the deadline can't be represented. */
TEST(Caller, ACallWithAVeryLongTimeoutWaitsForItsAnswer)
{
	for (int64_t timeout :
	    { (int64_t)INT64_MAX, INT64_MAX / (int64_t)CLK_NS_PER_MS }) {
		fixture f;
		f.pong(1, true);
		f.call(timeout);
		f.advance(200);
		EXPECT_EQ(0U, f.ends.size()) << timeout;
		f.answer(1, f.calls()[0].id, JOB__OUTCOME__OK);
		ASSERT_EQ(1U, f.ends.size());
		EXPECT_EQ(CALLER_ANSWERED, f.ends[0]);
	}
}

/* Guards against calls that wait until their deadline although there has been
 * no leader for longer than an election takes. */
TEST(Caller, WithoutALeaderACallIsRefusedAtOnce)
{
	fixture f;
	f.advance(CALLER_ELECTION_WAIT_MS + 100);
	f.call(60000);
	f.advance(100);
	ASSERT_EQ(1U, f.ends.size());
	EXPECT_EQ(CALLER_NOT_SENT, f.ends[0]);
}

/* Guards against calls that are sent to a leader that was lost a moment before:
 * their outcome is unknown, though they could have waited for the next
 * leader. */
TEST(Caller, ACallIsNotSentToALeaderThatOwesAnAnswer)
{
	fixture f;
	f.pong(1, true);
	f.advance(50 + CALLER_PING_ANSWER_MS);
	f.call(10000);
	EXPECT_EQ(0U, f.calls().size());
	f.advance(CALLER_LEADER_LOST_MS);
	EXPECT_EQ(0U, f.calls().size());
	EXPECT_EQ(0U, f.ends.size());
	f.pong(2, true);
	ASSERT_EQ(1U, f.calls().size());
	EXPECT_EQ(2U, f.calls()[0].to);
}

/* Guards against a call that isn't sent although its leader, which was only
 * slow, has answered. */
TEST(Caller, ACallIsSentOnceASlowLeaderAnswers)
{
	fixture f;
	f.pong(1, true);
	f.advance(50 + CALLER_PING_ANSWER_MS);
	f.call(10000);
	EXPECT_EQ(0U, f.calls().size());
	f.pong(1, true);
	f.advance(50);
	ASSERT_EQ(1U, f.calls().size());
	EXPECT_EQ(1U, f.calls()[0].to);
}

/* Guards against a cancel that overtakes its submission, which was held back
 * from a leader that has just given a sign of life. */
TEST(Caller, CallsHeldBackFromASlowLeaderAreSentInTheirOrder)
{
	for (bool by_answer : { false, true }) {
		fixture f;
		f.pong(1, true);
		f.call(10000);
		f.advance(50 + CALLER_PING_ANSWER_MS);
		f.call(10000);
		f.call(10000);
		EXPECT_EQ(1U, f.calls().size());
		if (by_answer)
			f.answer(1, 1, JOB__OUTCOME__OK);
		else
			f.pong(1, true);
		f.call(10000);
		ASSERT_EQ(4U, f.calls().size());
		for (uint64_t i = 0; i < 4; i++)
			EXPECT_EQ(i + 1, f.calls()[i].id);
	}
}

/* Guards against a call that is answered as unknown, so that its client can't
 * hand the job in again, although it was never sent. */
TEST(Caller, ACallThatWaitedForALostLeaderEndsAsNotSent)
{
	fixture f;
	f.pong(1, true);
	f.advance(50 + CALLER_PING_ANSWER_MS);
	f.call(10000);
	f.advance(CALLER_ELECTION_WAIT_MS + 100);
	ASSERT_EQ(1U, f.ends.size());
	EXPECT_EQ(CALLER_NOT_SENT, f.ends[0]);
}

/* Guards against calls that are refused during an election, 100 ms before the
 * next leader is known, as in the incident inc-bd2c. */
TEST(Caller, ACallWaitsOutAnElection)
{
	fixture f;
	f.advance(700);
	f.call(3000);
	f.advance(1400);
	EXPECT_EQ(0U, f.ends.size());
	f.pong(2, true);
	EXPECT_EQ(1U, f.calls().size());
}

/* Guards against a cancel that overtakes the submission before it. */
TEST(Caller, CallsThatWaitAreSentInTheirOrder)
{
	fixture f;
	for (int i = 0; i < 3; i++)
		f.call(3000);
	f.pong(2, true);
	ASSERT_EQ(3U, f.calls().size());
	for (uint64_t i = 0; i < 3; i++)
		EXPECT_EQ(i + 1, f.calls()[i].id);
	f.answer(2, 2, JOB__OUTCOME__OK);
	f.answer(2, 3, JOB__OUTCOME__NOT_LEADER);
	f.call(3000);
	f.sent.clear();
	f.pong(1, true);
	ASSERT_EQ(3U, f.calls().size());
	EXPECT_EQ(1U, f.calls()[0].id);
	EXPECT_EQ(3U, f.calls()[1].id);
	EXPECT_EQ(4U, f.calls()[2].id);
}

/* Guards against an instance that counts as ready without a leader: clients
 * would be sent to it. */
TEST(Caller, IsReadyOnlyWhileTheLeaderAnswers)
{
	fixture f;
	EXPECT_FALSE(caller_is_ready(f.c, f.now));
	f.pong(1, true);
	EXPECT_TRUE(caller_is_ready(f.c, f.now));
	f.advance(CALLER_LEADER_LOST_MS + 100);
	EXPECT_FALSE(caller_is_ready(f.c, f.now));
}

/* Guards against an instance that can't find the leader after 64 replicas have
 * been replaced in its lifetime, and against forgetting a present member. */
TEST(Caller, FindsTheLeaderAfterManyReplacements)
{
	fixture f;
	for (uint32_t leader = 10; leader < 10 + 2 * CALLER_MEMBERS_MAX;
	     leader++) {
		uint32_t members[3] = { 2, leader - 1, leader };
		Job__Pong p = JOB__PONG__INIT;
		p.leading = p.configured = 1;
		p.members = members;
		p.n_members = 3;
		caller_on_pong(f.c, f.now, leader, &p);
	}
	f.sent.clear();
	f.advance(CALLER_PING_MS);
	ASSERT_EQ(1U, f.sent.size());
	EXPECT_EQ(9U + 2 * CALLER_MEMBERS_MAX, f.sent[0].to);
	f.sent.clear();
	caller_on_disconnect(f.c, f.now, 9 + 2 * CALLER_MEMBERS_MAX);
	f.advance(50);
	EXPECT_EQ((size_t)CALLER_MEMBERS_MAX, f.sent.size());
	size_t present = 0;
	for (auto &s : f.sent)
		present += s.to == 2 || s.to == 8 + 2 * CALLER_MEMBERS_MAX;
	EXPECT_EQ(2U, present);
}

/* Guards against a call that is sent to a former leader again and again. */
TEST(Caller, FollowsARefusalToTheLeaderItNames)
{
	fixture f;
	f.pong(1, true);
	f.call(3000);
	Job__Answer a = JOB__ANSWER__INIT;
	a.id = f.calls()[0].id;
	a.outcome = JOB__OUTCOME__NOT_LEADER;
	a.leader = 3;
	caller_on_answer(f.c, f.now, 1, &a);
	f.advance(50);
	ASSERT_GE(f.calls().size(), 2U);
	EXPECT_EQ(3U, f.calls()[1].to);
}

/* Guards against a clock difference taken from a delayed answer, or from an
 * earlier incarnation of the instance. */
TEST(Caller, KnowsAClockFromATimelyAnswerOnly)
{
	fixture f;
	int64_t ahead;
	auto answer = [&](int64_t after_ms) {
		Job__Pong p = JOB__PONG__INIT;
		f.sent.clear();
		while (f.sent.empty())
			f.advance(50);
		for (auto &x : f.sent)
			p.seq = x.to == 2 ? x.id : p.seq;
		p.has_at_ms = 1;
		p.at_ms = 40;
		f.now = clk_add_ms(f.now, after_ms);
		caller_on_pong(f.c, f.now, 2, &p);
	};
	answer(CALLER_CLOCK_MAX_RTT_MS + 1);
	EXPECT_FALSE(caller_clock_ahead(f.c, 2, &ahead));
	answer(CALLER_CLOCK_MAX_RTT_MS);
	ASSERT_TRUE(caller_clock_ahead(f.c, 2, &ahead));
	EXPECT_EQ(clk_ns(f.now) / CLK_NS_PER_MS - 40, ahead);
	EXPECT_FALSE(caller_clock_ahead(f.c, 1, &ahead));
	caller_on_disconnect(f.c, f.now, 2);
	EXPECT_FALSE(caller_clock_ahead(f.c, 2, &ahead));
}

/* Guards against a clock difference of an earlier incarnation, whose answer was
 * in transit when the connection to it failed. */
TEST(Caller, AnAnswerToAPingBeforeADisconnectSetsNoClock)
{
	fixture f;
	int64_t ahead;
	Job__Pong p = JOB__PONG__INIT;
	while (f.sent.empty())
		f.advance(50);
	for (auto &x : f.sent)
		p.seq = x.to == 2 ? x.id : p.seq;
	p.has_at_ms = 1;
	p.at_ms = 40;
	caller_on_disconnect(f.c, f.now, 2);
	caller_on_pong(f.c, f.now, 2, &p);
	EXPECT_FALSE(caller_clock_ahead(f.c, 2, &ahead));
}

/* Guards against a difference of clocks that overflows. */
TEST(Caller, AnImpossibleTimeSetsNoClock)
{
	for (int64_t at_ms : { INT64_MIN, INT64_C(-1), INT64_MAX }) {
		fixture f;
		int64_t ahead;
		Job__Pong p = JOB__PONG__INIT;
		while (f.sent.empty())
			f.advance(50);
		for (auto &x : f.sent)
			p.seq = x.to == 2 ? x.id : p.seq;
		p.has_at_ms = 1;
		p.at_ms = at_ms;
		caller_on_pong(f.c, f.now, 2, &p);
		EXPECT_FALSE(caller_clock_ahead(f.c, 2, &ahead)) << at_ms;
	}
}

/* Guards against a late copy of an order that the leader takes for a new one:
 * an order tells when it was received on the clock of whoever leads, also when
 * it is sent again, and isn't sent while that clock is unknown. */
TEST(Caller, AnOrderTellsItsTimeOnTheLeadersClock)
{
	fixture f;
	f.pong(1, true);
	f.order();
	f.advance(50);
	EXPECT_EQ(0U, f.calls().size());
	f.pong_with_clock(1, 7000);
	f.advance(50);
	ASSERT_EQ(1U, f.calls().size());
	EXPECT_EQ(93000, f.calls()[0].received_ms);
	caller_on_disconnect(f.c, f.now, 1);
	f.advance(200);
	f.pong_with_clock(2, -20000);
	ASSERT_EQ(2U, f.calls().size());
	EXPECT_EQ(120000, f.calls()[1].received_ms);
	caller_on_suspension(f.c, 4000);
	f.advance(CALLER_RESEND_MS + 50);
	EXPECT_EQ(116000, f.calls().back().received_ms);
}

} // namespace
