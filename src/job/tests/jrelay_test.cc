#include <gtest/gtest.h>
#include <map>
#include <vector>

#include "job/jrelay.h"

namespace {

/* Returns four instances in three failure domains. */
std::vector<struct jrelay_peer>
peers()
{
	return { { 11, "a" }, { 12, "a" }, { 13, "b" }, { 14, "c" } };
}

/* Guards against calls across failure domains where an instance in the worker's
 * own is available. */
TEST(JobRelay, PrefersTheWorkersDomain)
{
	auto v = peers();
	for (uint64_t w = 1; w <= 100; w++) {
		EXPECT_EQ(13U, jrelay_choose(v.data(), v.size(), "b", w, 0));
		EXPECT_EQ(14U, jrelay_choose(v.data(), v.size(), "c", w, 0));
		EXPECT_LE(jrelay_choose(v.data(), v.size(), "a", w, 0), 12U);
		EXPECT_NE(0U, jrelay_choose(v.data(), v.size(), "other", w, 0));
	}
	EXPECT_EQ(0U, jrelay_choose(v.data(), 0, "a", 1, 0));
}

/* Guards against one instance that calls most workers of its failure domain. */
TEST(JobRelay, SharesTheWorkersOfADomain)
{
	auto v = peers();
	std::map<uint32_t, int> n;
	for (uint64_t w = 1; w <= 1000; w++)
		n[jrelay_choose(v.data(), v.size(), "a", w, 0)]++;
	EXPECT_NEAR(500, n[11], 75);
	EXPECT_NEAR(500, n[12], 75);
}

/* Guards against new connections to all workers when one instance goes. */
TEST(JobRelay, OtherWorkersKeepTheirInstanceWhenOneGoes)
{
	auto v = peers(), left = peers();
	left.erase(left.begin() + 2);
	for (uint64_t w = 1; w <= 300; w++) {
		const char *domain = w % 3 == 0 ? "a" : w % 3 == 1 ? "b" : "c";
		uint32_t before =
		    jrelay_choose(v.data(), v.size(), domain, w, 0);
		uint32_t after =
		    jrelay_choose(left.data(), left.size(), domain, w, 0);
		if (before != 13) {
			EXPECT_EQ(before, after);
		}
	}
}

/* Guards against a worker that one instance can't reach and no other is tried
 * for. */
TEST(JobRelay, RepeatedAttemptsTryEveryInstance)
{
	auto v = peers();
	std::map<uint32_t, int> n;
	for (uint32_t attempt = 0; attempt < 4; attempt++)
		n[jrelay_choose(v.data(), v.size(), "b", 7, attempt)]++;
	EXPECT_EQ(4U, n.size());
}

/* Guards against orders that a paused instance carries out when it resumes. */
TEST(JobRelay, ALateBatchIsNotFresh)
{
	struct jrelay_delay a = {};
	EXPECT_TRUE(jrelay_is_fresh(&a, 5, 1, 1000, 90020));
	EXPECT_TRUE(jrelay_is_fresh(&a, 5, 1, 2000, 91005));
	EXPECT_TRUE(jrelay_is_fresh(&a, 5, 1, 3000, 92005 + JRELAY_STALE_MS));
	EXPECT_FALSE(jrelay_is_fresh(&a, 5, 1, 3000, 92006 + JRELAY_STALE_MS));
	EXPECT_TRUE(jrelay_is_fresh(&a, 5, 1, 9000, 98006));
}

/* Guards against batches of the next leader that are all dropped
 * because its clock differs. */
TEST(JobRelay, EachLeaderHasItsOwnClock)
{
	struct jrelay_delay a = {};
	EXPECT_TRUE(jrelay_is_fresh(&a, 5, 1, 900000, 90000));
	EXPECT_TRUE(jrelay_is_fresh(&a, 6, 2, 1000, 90100));
	EXPECT_TRUE(jrelay_is_fresh(&a, 6, 3, 500, 90200));
	EXPECT_FALSE(jrelay_is_fresh(&a, 6, 3, 600, 90400 + JRELAY_STALE_MS));
}

} // namespace
