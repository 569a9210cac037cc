#include <gtest/gtest.h>

#include "control/tests/raft_sim.h"

static const int64_t kMs = CLK_NS_PER_MS;
static const int64_t kSecond = CLK_NS_PER_S;

/* Replica 1 of the voters 1 to 3, driven event by event. */
class RaftStep : public ::testing::Test {
      protected:
	struct raft *r = nullptr;
	struct raft_acts acts = {};
	int64_t now = kSecond;

	void TearDown() override
	{
		talloc_free(r);
		talloc_free(acts.v);
	}

	void start(
	    uint64_t term, uint64_t vote, const std::vector<uint64_t> &terms)
	{
		struct raft_member m[3];
		std::vector<struct raft_entry> log;
		struct raft_initial_state c = {};

		for (uint64_t i = 0; i < 3; i++)
			m[i] = { i + 1, (uint32_t)i + 1, true, str_from("") };
		for (size_t i = 0; i < terms.size(); i++)
			log.push_back({ i + 1, terms[i],
			    CONTROL__ENTRY_KIND__ENTRY_DATA, str_from("x") });
		c.replica = 1;
		c.term = term;
		c.voted_for = vote;
		c.members = m;
		c.nmembers = 3;
		c.entries = log.data();
		c.nentries = log.size();
		talloc_free(r);
		r = raft_new(NULL, &c, clk_from_ns(now));
		now += 3 * kSecond;
	}

	enum status step(const struct raft_ev &ev)
	{
		acts.n = 0;
		return raft_step(r, clk_from_ns(now), &ev, &acts);
	}

	enum status tick()
	{
		struct raft_ev ev = {};
		return step(ev);
	}

	enum status synced(uint64_t seq)
	{
		struct raft_ev ev = {};
		ev.kind = RAFT_EV_SYNCED;
		ev.u.synced = seq;
		return step(ev);
	}

	static Control__RaftMsg msg(Control__RaftKind kind, uint64_t term,
	    uint64_t from, uint64_t index = 0, uint64_t log_term = 0)
	{
		Control__RaftMsg m = CONTROL__RAFT_MSG__INIT;
		m.kind = kind;
		m.term = term;
		m.from = from;
		m.to = 1;
		m.has_index = m.has_log_term = 1;
		m.index = index;
		m.log_term = log_term;
		m.has_ok = m.ok = 1;
		return m;
	}

	enum status receive(const Control__RaftMsg &m)
	{
		struct raft_ev ev = {};
		ev.kind = RAFT_EV_MSG;
		ev.u.msg = &m;
		return step(ev);
	}

	/* Receives an APPEND of n entries after prev, all of one term. */
	enum status append(
	    uint64_t term, uint64_t prev, uint64_t prev_term, size_t n)
	{
		std::vector<Control__Entry> e(n, CONTROL__ENTRY__INIT);
		std::vector<Control__Entry *> p;
		for (size_t i = 0; i < n; i++) {
			e[i].index = prev + 1 + i;
			e[i].term = term;
			e[i].kind = CONTROL__ENTRY_KIND__ENTRY_DATA;
			p.push_back(&e[i]);
		}
		Control__RaftMsg m = msg(
		    CONTROL__RAFT_KIND__RAFT_APPEND, term, 2, prev, prev_term);
		m.n_entries = n;
		m.entries = p.data();
		return receive(m);
	}

	/* Whether the last step granted a vote or pre-vote. */
	bool granted(Control__RaftKind kind) const
	{
		const Control__RaftMsg *m = sent(kind);
		return m != nullptr && m->ok;
	}

	const Control__RaftMsg *sent(Control__RaftKind kind) const
	{
		for (size_t i = 0; i < acts.n; i++) {
			if (acts.v[i].kind == RAFT_ACT_SEND &&
			    acts.v[i].u.send.msg->kind == kind)
				return acts.v[i].u.send.msg;
		}
		return nullptr;
	}

	/* Sequence number of the PERSIST action of the last step, or 0. */
	uint64_t persist_seq() const
	{
		for (size_t i = 0; i < acts.n; i++) {
			if (acts.v[i].kind == RAFT_ACT_PERSIST)
				return acts.v[i].u.persist.seq;
		}
		return 0;
	}

	/* Wins the election of the next term with the vote of replica 2. */
	void win_election()
	{
		uint64_t t = raft_term(r) + 1;
		tick();
		receive(msg(CONTROL__RAFT_KIND__RAFT_PREVOTE_REPLY, t, 2));
		uint64_t seq = persist_seq();
		receive(msg(CONTROL__RAFT_KIND__RAFT_VOTE_REPLY, t, 2));
		synced(seq - 1);
		EXPECT_EQ(RAFT_CANDIDATE, raft_role(r))
		    << "won before its vote for itself was on disk";
		synced(seq);
		EXPECT_EQ(RAFT_LEADER, raft_role(r));
	}

	enum status propose(const std::string &data)
	{
		struct str s = str_mem(data.data(), data.size());
		struct raft_ev ev = {};
		ev.kind = RAFT_EV_PROPOSE;
		ev.u.propose.data = &s;
		ev.u.propose.n = 1;
		return step(ev);
	}
};

/* Guards against sending a vote before it is on disk, so that a replica that
 * crashes could vote again in the same term. */
TEST_F(RaftStep, VoteWaitsForTheDisk)
{
	start(1, 0, {});
	receive(msg(CONTROL__RAFT_KIND__RAFT_VOTE, 2, 3));
	EXPECT_EQ(nullptr, sent(CONTROL__RAFT_KIND__RAFT_VOTE_REPLY));
	uint64_t seq = persist_seq();
	EXPECT_NE(0u, seq);
	synced(seq);
	EXPECT_TRUE(granted(CONTROL__RAFT_KIND__RAFT_VOTE_REPLY));
	start(2, 3, {});
	receive(msg(CONTROL__RAFT_KIND__RAFT_VOTE, 2, 2));
	synced(1);
	EXPECT_FALSE(granted(CONTROL__RAFT_KIND__RAFT_VOTE_REPLY))
	    << "second vote in one term after a restart";
}

/* Guards against a lost request or answer that costs the whole time for which
 * the next election is put off. */
TEST_F(RaftStep, CandidateAsksAgainInItsTerm)
{
	start(1, 0, {});
	for (uint64_t term = 2; term <= 4; term++) {
		do {
			now = clk_ns(raft_next_tick(r));
			tick();
			ASSERT_GE(term, raft_term(r) + 1);
		} while (raft_role(r) == RAFT_CANDIDATE);
		receive(msg(CONTROL__RAFT_KIND__RAFT_PREVOTE_REPLY, term, 2));
		ASSERT_EQ(RAFT_CANDIDATE, raft_role(r));
	}
	uint64_t seq = persist_seq();
	receive(msg(CONTROL__RAFT_KIND__RAFT_VOTE_REPLY, 4, 2));
	int64_t began = now;
	now = clk_ns(raft_next_tick(r));
	EXPECT_GE(450 * CLK_NS_PER_MS, now - began);
	tick();
	EXPECT_EQ(RAFT_CANDIDATE, raft_role(r));
	EXPECT_EQ(4u, raft_term(r));
	ASSERT_NE(nullptr, sent(CONTROL__RAFT_KIND__RAFT_VOTE));
	EXPECT_EQ(3u, sent(CONTROL__RAFT_KIND__RAFT_VOTE)->to)
	    << "asked one again that has answered";
	synced(seq);
	EXPECT_EQ(RAFT_LEADER, raft_role(r));
}

/* Guards against a candidate that gets no majority, for example on a slow disk,
 * and keeps the others from an election by asking again. */
TEST_F(RaftStep, RepeatedRequestDoesNotPutOffTheNextElection)
{
	start(1, 0, {});
	receive(msg(CONTROL__RAFT_KIND__RAFT_VOTE, 2, 3));
	synced(persist_seq());
	int64_t at = clk_ns(raft_next_tick(r));
	now += 100 * CLK_NS_PER_MS;
	receive(msg(CONTROL__RAFT_KIND__RAFT_VOTE, 2, 3));
	EXPECT_TRUE(granted(CONTROL__RAFT_KIND__RAFT_VOTE_REPLY));
	EXPECT_EQ(at, clk_ns(raft_next_tick(r)));
}

/* Guards against acknowledging entries that are not on disk, also in the reply
 * to a heartbeat that arrives during a sync. */
TEST_F(RaftStep, AcknowledgementWaitsForTheDisk)
{
	start(1, 0, {});
	append(1, 0, 0, 3);
	uint64_t seq = persist_seq();
	EXPECT_EQ(nullptr, sent(CONTROL__RAFT_KIND__RAFT_APPEND_REPLY));
	append(1, 3, 1, 0);
	const Control__RaftMsg *a = sent(CONTROL__RAFT_KIND__RAFT_APPEND_REPLY);
	ASSERT_NE(nullptr, a);
	EXPECT_EQ(0u, a->index);
	synced(seq);
	a = sent(CONTROL__RAFT_KIND__RAFT_APPEND_REPLY);
	ASSERT_NE(nullptr, a);
	EXPECT_EQ(3u, a->index);
}

/* Guards against counting a sync for entries that replaced the synced ones. */
TEST_F(RaftStep, TruncationVoidsEarlierSyncs)
{
	start(1, 0, {});
	append(1, 0, 0, 5);
	uint64_t first = persist_seq();
	append(2, 2, 1, 2);
	EXPECT_NE(0u, persist_seq());
	synced(first);
	EXPECT_EQ(nullptr, sent(CONTROL__RAFT_KIND__RAFT_APPEND_REPLY));
	synced(first + 1);
	const Control__RaftMsg *a = sent(CONTROL__RAFT_KIND__RAFT_APPEND_REPLY);
	ASSERT_NE(nullptr, a);
	EXPECT_EQ(4u, a->index);
	append(2, 4, 2, 2);
	append(2, 6, 2, 0);
	a = sent(CONTROL__RAFT_KIND__RAFT_APPEND_REPLY);
	ASSERT_NE(nullptr, a);
	EXPECT_EQ(4u, a->index);
}

/* Guards against committing an entry of an older term because a majority holds
 * it: a leader of a term in between could still replace it. */
TEST_F(RaftStep, OlderTermsCommitOnlyThroughOwnTerm)
{
	start(3, 0, { 1, 2 });
	win_election();
	synced(persist_seq());
	Control__RaftMsg a =
	    msg(CONTROL__RAFT_KIND__RAFT_APPEND_REPLY, raft_term(r), 2, 2);
	receive(a);
	EXPECT_EQ(0u, raft_commit_index(r));
	a.index = 3;
	receive(a);
	EXPECT_EQ(3u, raft_commit_index(r));
}

/* Guards against a replaced leader that handles what the next one committed as
 * its own decisions. */
TEST_F(RaftStep, AReplacedLeaderIsToldBeforeItAppliesEntriesOfTheNext)
{
	start(1, 0, { 1 });
	win_election();
	std::vector<Control__Entry> e(2, CONTROL__ENTRY__INIT);
	Control__Entry *p[2] = { &e[0], &e[1] };
	for (uint64_t i = 0; i < 2; i++) {
		e[i].index = 2 + i;
		e[i].term = 3;
		e[i].kind = CONTROL__ENTRY_KIND__ENTRY_DATA;
	}
	Control__RaftMsg m = msg(CONTROL__RAFT_KIND__RAFT_APPEND, 3, 2, 1, 1);
	m.has_commit = 1;
	m.commit = 3;
	m.n_entries = 2;
	m.entries = p;
	EXPECT_EQ(STATUS_OK, receive(m));
	bool told = false, applied = false;
	for (size_t i = 0; i < acts.n; i++) {
		told |= acts.v[i].kind == RAFT_ACT_ROLE;
		if (acts.v[i].kind != RAFT_ACT_COMMIT)
			continue;
		applied = true;
		EXPECT_TRUE(told);
	}
	EXPECT_TRUE(applied);
}

/* Guards against a replica that deposes a working leader: no vote may be
 * granted while followers hear from the leader. */
TEST_F(RaftStep, VotesAreRefusedWhileALeaderIsHeard)
{
	start(1, 0, {});
	append(1, 0, 0, 0);
	receive(msg(CONTROL__RAFT_KIND__RAFT_PREVOTE, 2, 3, 9, 9));
	EXPECT_FALSE(granted(CONTROL__RAFT_KIND__RAFT_PREVOTE_REPLY));
	receive(msg(CONTROL__RAFT_KIND__RAFT_VOTE, 2, 3, 9, 9));
	EXPECT_EQ(1u, raft_term(r));
	/* Another message may raise the term; the lease still holds. */
	receive(msg(CONTROL__RAFT_KIND__RAFT_APPEND_REPLY, 2, 3));
	EXPECT_EQ(2u, raft_term(r));
	receive(msg(CONTROL__RAFT_KIND__RAFT_VOTE, 2, 3, 9, 9));
	synced(1);
	EXPECT_FALSE(granted(CONTROL__RAFT_KIND__RAFT_VOTE_REPLY));
	now += RAFT_ELECTION_MIN_MS * kMs;
	receive(msg(CONTROL__RAFT_KIND__RAFT_PREVOTE, 3, 3, 9, 9));
	EXPECT_TRUE(granted(CONTROL__RAFT_KIND__RAFT_PREVOTE_REPLY));
	EXPECT_EQ(2u, raft_term(r));
}

/* Guards against loading a delayed snapshot over entries that this replica has
 * already acknowledged. */
TEST_F(RaftStep, SnapshotKeepsAcknowledgedEntries)
{
	start(1, 0, {});
	append(1, 0, 0, 9);
	synced(persist_seq());
	Control__RaftMsg m =
	    msg(CONTROL__RAFT_KIND__RAFT_SNAPSHOT_CHUNK, 1, 2, 5, 1);
	Control__Entry e = CONTROL__ENTRY__INIT;
	Control__Entry *p = &e;
	m.has_last = m.last = 1;
	m.entries = &p;
	m.n_entries = 1;
	receive(m);
	for (size_t i = 0; i < acts.n; i++)
		EXPECT_NE(RAFT_ACT_LOAD_SNAPSHOT, acts.v[i].kind);
	EXPECT_EQ(9u, raft_last_index(r));
	EXPECT_EQ(5u, raft_commit_index(r));
}

/* Guards against a follower that answers from its state although it lacks
 * committed entries, or hasn't heard from the leader for long. */
TEST_F(RaftStep, OnlyAFollowerWithTheCommittedLogIsUpToDate)
{
	start(1, 0, { 1 });
	EXPECT_FALSE(raft_is_up_to_date(r, clk_from_ns(now)));
	append(1, 1, 1, 1);
	EXPECT_TRUE(raft_is_up_to_date(r, clk_from_ns(now)));
	now += (RAFT_ELECTION_MIN_MS - 1) * kMs;
	EXPECT_TRUE(raft_is_up_to_date(r, clk_from_ns(now)));
	/* The leader is heard, but most of its log is missing here. */
	now += kMs;
	Control__RaftMsg behind =
	    msg(CONTROL__RAFT_KIND__RAFT_APPEND, 1, 2, 2, 1);
	behind.has_commit = 1;
	behind.commit = 9;
	receive(behind);
	EXPECT_EQ(2U, raft_commit_index(r));
	EXPECT_FALSE(raft_is_up_to_date(r, clk_from_ns(now)));
	/* Nor do chunks of a snapshot, or entries that don't fit, count. */
	Control__RaftMsg chunk =
	    msg(CONTROL__RAFT_KIND__RAFT_SNAPSHOT_CHUNK, 1, 2, 8, 1);
	receive(chunk);
	EXPECT_FALSE(raft_is_up_to_date(r, clk_from_ns(now)));
	append(1, 7, 1, 0);
	EXPECT_FALSE(raft_is_up_to_date(r, clk_from_ns(now)));
	append(1, 2, 1, 7);
	behind.index = 9;
	receive(behind);
	EXPECT_TRUE(raft_is_up_to_date(r, clk_from_ns(now)));
	/* Without a leader it isn't. */
	receive(msg(CONTROL__RAFT_KIND__RAFT_APPEND_REPLY, 2, 3));
	EXPECT_FALSE(raft_is_up_to_date(r, clk_from_ns(now)));
}

/* Guards against a follower that was paused and takes messages of before the
 * pause, which it reads when it resumes, for the leader's present state. */
TEST_F(RaftStep, MessagesOfBeforeAPauseDoNotMakeAFollowerUpToDate)
{
	start(1, 0, { 1 });
	append(1, 1, 1, 1);
	ASSERT_TRUE(raft_is_up_to_date(r, clk_from_ns(now)));
	now += 15000 * kMs;
	for (int i = 0; i < 4; i++) {
		append(1, 1, 1, 1);
		EXPECT_FALSE(raft_is_up_to_date(r, clk_from_ns(now)));
		now += kMs;
	}
	for (int i = 0; i < 12; i++) {
		now += 100 * kMs;
		append(1, 1, 1, 1);
	}
	EXPECT_TRUE(raft_is_up_to_date(r, clk_from_ns(now)));
}

/* Guards against an election that is won with the vote of a replica that was
 * removed and doesn't know it. */
TEST_F(RaftStep, TheVoteOfARemovedReplicaIsNotCounted)
{
	Control__Member member[3], *left[3];
	Control__Members list = CONTROL__MEMBERS__INIT;
	uint8_t buf[200];
	for (size_t i = 0; i < 3; i++) {
		control__member__init(&member[i]);
		member[i].replica = member[i].instance = i == 2 ? 4 : i + 1;
		member[i].voter = 1;
		left[i] = &member[i];
	}
	list.members = left;
	list.n_members = 3;
	start(1, 0, {});
	Control__Entry e = CONTROL__ENTRY__INIT, *p = &e;
	e.index = e.term = 1;
	e.kind = CONTROL__ENTRY_KIND__ENTRY_MEMBERS;
	e.has_data = 1;
	e.data.data = buf;
	e.data.len = control__members__pack(&list, buf);
	Control__RaftMsg m = msg(CONTROL__RAFT_KIND__RAFT_APPEND, 1, 2);
	m.n_entries = 1;
	m.entries = &p;
	receive(m);
	now += 3 * kSecond;
	tick();
	ASSERT_EQ(RAFT_PRE_CANDIDATE, raft_role(r));
	receive(msg(CONTROL__RAFT_KIND__RAFT_PREVOTE_REPLY, 2, 3));
	EXPECT_EQ(RAFT_PRE_CANDIDATE, raft_role(r));
	receive(msg(CONTROL__RAFT_KIND__RAFT_PREVOTE_REPLY, 2, 4));
	EXPECT_EQ(RAFT_CANDIDATE, raft_role(r));
	synced(persist_seq());
	receive(msg(CONTROL__RAFT_KIND__RAFT_VOTE_REPLY, 2, 3));
	EXPECT_EQ(RAFT_CANDIDATE, raft_role(r));
	receive(msg(CONTROL__RAFT_KIND__RAFT_VOTE_REPLY, 2, 4));
	EXPECT_EQ(RAFT_LEADER, raft_role(r));
}

/* Guards against a membership change while another one, or the first entry of
 * the leader's term, is not committed: two majorities without a common replica
 * would be possible. */
TEST_F(RaftStep, OneMembershipChangeAtATime)
{
	start(1, 0, { 1 });
	win_election();
	struct raft_ev ev = {};
	ev.kind = RAFT_EV_MEMBER_ADD;
	ev.u.member = { 4, 4, false, str_from("z") };
	EXPECT_EQ(STATUS_FULL, step(ev));
	synced(2);
	receive(msg(CONTROL__RAFT_KIND__RAFT_APPEND_REPLY, raft_term(r), 2, 2));
	EXPECT_EQ(2u, raft_commit_index(r));
	/* Replica 3 does not answer, so removing 2 would block all commits. */
	ev.kind = RAFT_EV_MEMBER_REMOVE;
	ev.u.member.replica = 2;
	EXPECT_EQ(STATUS_UNAVAILABLE, step(ev));
	ev.kind = RAFT_EV_MEMBER_ADD;
	ev.u.member.replica = 4;
	EXPECT_EQ(STATUS_OK, step(ev));
	EXPECT_EQ(STATUS_EXISTS, step(ev));
	ev.u.member.replica = 5;
	EXPECT_EQ(STATUS_FULL, step(ev));
	ev.kind = RAFT_EV_MEMBER_REMOVE;
	EXPECT_EQ(STATUS_NOT_FOUND, step(ev));
	ev.u.member.replica = 2;
	EXPECT_EQ(STATUS_FULL, step(ev));
}

/* Guards against unbounded use of memory and network when followers do not
 * answer. */
TEST_F(RaftStep, FlowControlBoundsWhatIsInFlight)
{
	start(1, 0, {});
	win_election();
	receive(msg(CONTROL__RAFT_KIND__RAFT_APPEND_REPLY, raft_term(r), 2, 1));
	size_t bytes = 0, accepted = 0;
	std::string big(100000, 'b');
	enum status st;
	while ((st = propose(big)) == STATUS_OK) {
		accepted++;
		const Control__RaftMsg *m =
		    sent(CONTROL__RAFT_KIND__RAFT_APPEND);
		for (size_t i = 0; m != nullptr && i < m->n_entries; i++)
			bytes += m->entries[i]->data.len;
		ASSERT_LT(accepted, 1000u);
	}
	EXPECT_EQ(STATUS_FULL, st);
	EXPECT_GE(accepted, 80u);
	EXPECT_LE(bytes, (size_t)RAFT_INFLIGHT_BYTES_MAX + 2 * big.size());
	EXPECT_EQ(STATUS_LIMIT,
	    propose(std::string(RAFT_INFLIGHT_BYTES_MAX + 1, 'c')));
}

/* The remaining tests run whole groups on the simulation. */

static void
expect_no_violations(const RaftSim &s)
{
	for (auto &f : s.violations)
		ADD_FAILURE() << f << ", seed " << s.conf.seed;
}

static uint32_t
wait_for_leader(RaftSim &s)
{
	EXPECT_TRUE(s.run_until([&] { return s.leader() != 0; }, 10 * kSecond));
	return s.leader();
}

static void
propose_many(RaftSim &s, int n)
{
	for (int i = 0; i < n; i++) {
		ASSERT_EQ(STATUS_OK,
		    s.propose(wait_for_leader(s), "v" + std::to_string(i)));
		s.run(kMs);
	}
}

static SimDisk
new_disk(RaftSim &s)
{
	SimDisk d;
	d.replica = s.new_replica();
	return d;
}

static size_t
count_voters(RaftSim &s)
{
	size_t n = 0;
	uint32_t l = wait_for_leader(s);
	for (auto &m : s.node(l).members())
		n += m.voter;
	return n;
}

/* Guards against a group of one that waits for votes of others, and against one
 * that cannot grow to three voters. */
TEST(Raft, GroupOfOneCommitsAndGrows)
{
	RaftSim s({});
	s.add_group(1);
	ASSERT_TRUE(s.run_until([&] { return s.leader() == 1; }, kSecond / 10));
	propose_many(s, 300);
	for (uint32_t i = 2; i <= 3; i++) {
		s.start(s.add_node(new_disk(s)));
		EXPECT_TRUE(s.run_until(
		    [&] { return s.add_member(1, i) == STATUS_OK; }, kSecond));
		EXPECT_TRUE(s.run_until(
		    [&] { return count_voters(s) == i; }, 5 * kSecond));
	}
	EXPECT_TRUE(s.run_until([&] { return s.all_applied(); }, 5 * kSecond));
	s.crash(1, 0);
	propose_many(s, 10);
	expect_no_violations(s);
}

/* Guards against entries that some replicas do not apply, and against state
 * that is lost when all restart after hundreds of entries and snapshots. */
TEST(Raft, RestartAfterHundredsOfChanges)
{
	RaftSim s({});
	s.add_group(3);
	propose_many(s, 900);
	uint32_t l = s.leader();
	EXPECT_EQ(STATUS_NOT_LEADER, s.propose(l % 3 + 1, "x"));
	EXPECT_TRUE(s.run_until([&] { return s.all_applied(); }, 5 * kSecond));
	EXPECT_EQ(901u, s.history.size());
	for (uint32_t i = 1; i <= 3; i++)
		s.crash(i, 0);
	for (uint32_t i = 1; i <= 3; i++)
		s.start(i);
	propose_many(s, 1);
	EXPECT_TRUE(s.run_until([&] { return s.all_applied(); }, 5 * kSecond));
	EXPECT_EQ(903u, s.history.size());
	expect_no_violations(s);
}

/* Guards against a group that does not survive the loss of a second replica
 * after the first was replaced and promoted, and against commits or lost
 * entries when the second one is lost before that promotion. */
TEST(Raft, SecondReplicaLostAfterRepair)
{
	RaftSim s({});
	s.add_group(3);
	propose_many(s, 700);
	EXPECT_TRUE(s.run_until([&] { return s.all_applied(); }, kSecond));
	uint32_t l = wait_for_leader(s), a = l % 3 + 1, b = a % 3 + 1;
	uint64_t old = s.node(a).disk.replica;
	s.crash(a, 0);
	s.node(a).disk = new_disk(s);
	s.start(a);
	/* Before the promotion there is no majority: commits stop. */
	s.crash(b, 0);
	s.propose(l, "waits");
	s.run(5 * kSecond);
	EXPECT_EQ(0u, s.leader());
	EXPECT_EQ(701u, s.history.size());
	s.start(b);
	l = wait_for_leader(s);
	s.run(100 * kMs);
	ASSERT_EQ(STATUS_OK, s.add_member(l, a));
	auto repaired = [&] {
		uint32_t x = s.leader();
		if (x == 0)
			return false;
		for (auto &m : s.node(x).members()) {
			if (m.replica == old || !m.voter)
				return false;
		}
		return s.node(x).members().size() == 3 && s.all_applied();
	};
	EXPECT_TRUE(s.run_until(repaired, 10 * kSecond));
	size_t before = s.history.size();
	s.crash(s.leader() == a ? l : s.leader(), 0);
	propose_many(s, 20);
	EXPECT_TRUE(s.run_until([&] { return s.all_applied(); }, 5 * kSecond));
	EXPECT_GE(s.history.size(), before + 20);
	expect_no_violations(s);
}

/* Restarts a replica on an older copy of its disk while the only other replica
 * with some committed entries is down. Returns the number of violations. */
static size_t
run_on_older_disk(bool check_generation)
{
	RaftSim s({});
	s.check_generation = check_generation;
	s.add_group(3);
	propose_many(s, 10);
	EXPECT_TRUE(s.run_until([&] { return s.all_applied(); }, kSecond));
	uint32_t l = s.leader(), c = l % 3 + 1, b = c % 3 + 1;
	SimDisk copy = s.node(c).disk;
	s.crash(c, SIZE_MAX);
	s.start(c);
	s.run(kSecond);
	s.isolate(b, true, true);
	propose_many(s, 10);
	EXPECT_TRUE(s.run_until(
	    [&] { return s.node(c).applied == s.history.size(); }, kSecond));
	s.crash(l, SIZE_MAX);
	s.crash(c, SIZE_MAX);
	s.blocked.clear();
	s.node(c).disk = copy;
	s.start(c);
	s.run(8 * kSecond);
	uint32_t x = s.leader();
	if (x != 0)
		s.propose(x, "another history");
	s.run(2 * kSecond);
	s.start(l);
	s.run(10 * kSecond);
	EXPECT_TRUE(s.leader() != 0);
	return s.violations.size();
}

/* Guards against a replica that votes after a start on an older copy of its
 * disk, which lacks entries it acknowledged. */
TEST(Raft, OlderDiskLosesNothing)
{
	EXPECT_EQ(0u, run_on_older_disk(true));
	EXPECT_GT(run_on_older_disk(false), 0u)
	    << "the scenario finds no violation without the check";
}

/* Guards against a leadership transfer that waits for an election timeout. */
TEST(Raft, TransferTakesNoElectionTimeout)
{
	RaftSim s({});
	s.add_group(3);
	propose_many(s, 20);
	uint32_t l = wait_for_leader(s);
	s.run(kSecond);
	EXPECT_EQ(STATUS_OK, s.event(l, RAFT_EV_TRANSFER));
	EXPECT_EQ(STATUS_UNAVAILABLE, s.propose(l, "x"));
	EXPECT_TRUE(s.run_until(
	    [&] { return s.leader() != 0 && s.leader() != l; }, 100 * kMs));
	EXPECT_EQ(STATUS_OK, s.propose(s.leader(), "y"));
	EXPECT_TRUE(s.run_until([&] { return s.all_applied(); }, kSecond));
	expect_no_violations(s);
}

/* Guards against a leader that stays leader without a majority, whichever
 * direction of its network is cut, and against a replica that deposes the
 * leader when it returns from a partition. */
TEST(Raft, PartitionedReplicas)
{
	for (int directions = 1; directions <= 3; directions++) {
		RaftSim s({});
		s.add_group(3);
		propose_many(s, 20);
		uint32_t l = wait_for_leader(s), f = l % 3 + 1;
		uint64_t term = raft_term(s.node(l).raft);
		/* A follower that receives nothing does not raise its term. */
		s.isolate(f, true, directions == 1);
		s.run(10 * kSecond);
		EXPECT_EQ(l, s.leader());
		s.blocked.clear();
		s.run(3 * kSecond);
		EXPECT_EQ(l, s.leader());
		EXPECT_EQ(term, raft_term(s.node(l).raft));
		s.isolate(l, directions & 1, directions & 2);
		s.run(5 * kSecond);
		EXPECT_NE(l, s.leader());
		EXPECT_NE(0u, s.leader());
		EXPECT_NE(RAFT_LEADER, raft_role(s.node(l).raft));
		s.blocked.clear();
		propose_many(s, 5);
		EXPECT_TRUE(
		    s.run_until([&] { return s.all_applied(); }, 5 * kSecond));
		expect_no_violations(s);
	}
}
