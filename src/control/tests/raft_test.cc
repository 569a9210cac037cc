#include <gtest/gtest.h>

#include "control/tests/raft_sim.h"

static const int64_t kSecond = CLK_NS_PER_S;

static void
expect_clean(const RaftSim &s)
{
	for (auto &f : s.faults)
		ADD_FAILURE() << f << ", seed " << s.conf.seed;
}

static uint32_t
wait_leader(RaftSim &s)
{
	EXPECT_TRUE(s.run_until([&] { return s.leader() != 0; }, 10 * kSecond));
	return s.leader();
}

/* Guards against a group of one that waits for votes it cannot get. */
TEST(Raft, GroupOfOneCommits)
{
	RaftSim s({});
	s.add_group(1);
	ASSERT_TRUE(s.run_until([&] { return s.leader() == 1; }, kSecond / 10));
	EXPECT_EQ(STATUS_OK, s.propose(1, "a"));
	EXPECT_TRUE(
	    s.run_until([&] { return s.node(1).applied == 2; }, kSecond));
	expect_clean(s);
}

/* Guards against entries that are not replicated or not applied by all. */
TEST(Raft, ElectsReplicatesCommits)
{
	RaftSim s({});
	s.add_group(3);
	uint32_t l = wait_leader(s);
	for (int i = 0; i < 200; i++)
		ASSERT_EQ(STATUS_OK, s.propose(l, "v" + std::to_string(i)));
	EXPECT_TRUE(s.run_until([&] { return s.settled(); }, 5 * kSecond));
	EXPECT_EQ(201u, s.history.size());
	EXPECT_EQ(STATUS_NOT_LEADER, s.propose(l % 3 + 1, "x"));
	expect_clean(s);
}
