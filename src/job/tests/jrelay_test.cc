#include <gtest/gtest.h>
#include <map>
#include <vector>

#include "job/jrelay.h"

namespace {

std::vector<struct jvia_peer>
peers()
{
	return { { 11, "a" }, { 12, "a" }, { 13, "b" }, { 14, "c" } };
}

/* Guards against calls across domains where one in the worker's would do. */
TEST(JobVia, PrefersTheWorkersDomain)
{
	auto v = peers();
	for (uint64_t w = 1; w <= 100; w++) {
		EXPECT_EQ(13U, jvia_pick(v.data(), v.size(), "b", w, 0));
		EXPECT_EQ(14U, jvia_pick(v.data(), v.size(), "c", w, 0));
		EXPECT_LE(jvia_pick(v.data(), v.size(), "a", w, 0), 12U);
		EXPECT_NE(0U, jvia_pick(v.data(), v.size(), "other", w, 0));
	}
	EXPECT_EQ(0U, jvia_pick(v.data(), 0, "a", 1, 0));
}

/* Guards against one instance that calls most workers of its domain. */
TEST(JobVia, SharesTheWorkersOfADomain)
{
	auto v = peers();
	std::map<uint32_t, int> n;
	for (uint64_t w = 1; w <= 1000; w++)
		n[jvia_pick(v.data(), v.size(), "a", w, 0)]++;
	EXPECT_NEAR(500, n[11], 75);
	EXPECT_NEAR(500, n[12], 75);
}

/* Guards against new connections to all workers when one instance goes. */
TEST(JobVia, KeepsTheWayOfOtherWorkersWhenAnInstanceGoes)
{
	auto v = peers(), left = peers();
	left.erase(left.begin() + 2);
	for (uint64_t w = 1; w <= 300; w++) {
		const char *domain = w % 3 == 0 ? "a" : w % 3 == 1 ? "b" : "c";
		uint32_t before = jvia_pick(v.data(), v.size(), domain, w, 0);
		uint32_t after =
		    jvia_pick(left.data(), left.size(), domain, w, 0);
		if (before != 13) {
			EXPECT_EQ(before, after);
		}
	}
}

/* Guards against a worker that only one instance can't reach and that is
 * never tried through another. */
TEST(JobVia, ADetourTriesEveryInstance)
{
	auto v = peers();
	std::map<uint32_t, int> n;
	for (uint32_t detour = 0; detour < 4; detour++)
		n[jvia_pick(v.data(), v.size(), "b", 7, detour)]++;
	EXPECT_EQ(4U, n.size());
}

/* Guards against orders that a frozen instance carries out when it wakes. */
TEST(JobVia, ALateBatchIsNotFresh)
{
	struct jvia_age a = {};
	EXPECT_TRUE(jvia_fresh(&a, 5, 1, 1000, 90020));
	EXPECT_TRUE(jvia_fresh(&a, 5, 1, 2000, 91005));
	EXPECT_TRUE(jvia_fresh(&a, 5, 1, 3000, 92005 + JVIA_STALE_MS));
	EXPECT_FALSE(jvia_fresh(&a, 5, 1, 3000, 92006 + JVIA_STALE_MS));
	EXPECT_TRUE(jvia_fresh(&a, 5, 1, 9000, 98006));
}

/* Guards against all batches of the next leader dropped because its clock
 * shows another time. */
TEST(JobVia, EachLeaderHasItsOwnClock)
{
	struct jvia_age a = {};
	EXPECT_TRUE(jvia_fresh(&a, 5, 1, 900000, 90000));
	EXPECT_TRUE(jvia_fresh(&a, 6, 2, 1000, 90100));
	EXPECT_TRUE(jvia_fresh(&a, 6, 3, 500, 90200));
	EXPECT_FALSE(jvia_fresh(&a, 6, 3, 600, 90400 + JVIA_STALE_MS));
}

} // namespace
