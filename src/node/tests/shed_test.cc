#include <gtest/gtest.h>
#include <vector>

#include "node/shed.h"

namespace {

struct shed_conn
make(enum shed_phase phase, int64_t phase_ms, size_t bytes, size_t progress = 0)
{
	struct shed_conn c = {};
	c.phase = phase;
	c.phase_ms = phase_ms;
	c.bytes = bytes;
	c.progress = progress;
	c.addr_bytes = bytes;
	return c;
}

std::vector<size_t>
choose(const std::vector<struct shed_conn> &v, size_t excess, size_t nconns = 0)
{
	std::vector<size_t> chosen(v.size());
	chosen.resize(
	    shed_choose(v.data(), v.size(), excess, nconns, chosen.data()));
	return chosen;
}

/* Guards against senders that keep a connection for ever by a byte from time to
 * time, and against honest ones on a slow link that are closed. */
TEST(Shed, ClosesWhatComesTooSlowly)
{
	struct shed_conn c = make(SHED_HEADERS, SHED_HEADERS_MS, 1);
	EXPECT_EQ(SHED_KEEP, shed_check(&c));
	c.phase_ms++;
	EXPECT_EQ(SHED_HEADERS_SLOW, shed_check(&c));
	c = make(SHED_BODY, SHED_GRACE_MS + 1000, 1, SHED_MIN_BYTES_PER_SEC);
	EXPECT_EQ(SHED_KEEP, shed_check(&c));
	c.progress--;
	EXPECT_EQ(SHED_BODY_SLOW, shed_check(&c));
	c = make(SHED_IDLE, SHED_IDLE_MS + 1, 1);
	EXPECT_EQ(SHED_IDLE_LONG, shed_check(&c));
}

/* Guards against clients that send requests and don't read the answers. */
TEST(Shed, ClosesWhatIsReadTooSlowly)
{
	struct shed_conn c = make(SHED_ANSWER, SHED_GRACE_MS + 1001, 1);
	EXPECT_EQ(SHED_ANSWER_SLOW, shed_check(&c));
	c.answer = 2 * SHED_MIN_BYTES_PER_SEC;
	EXPECT_EQ(SHED_KEEP, shed_check(&c));
	c = make(SHED_IDLE, 0, 1);
	c.unread_ms = SHED_UNREAD_MS + 1;
	EXPECT_EQ(SHED_ANSWER_SLOW, shed_check(&c));
}

/* Guards against a body within the minimum rate that is cut off because of a
 * figure that was taken before it, between two requests. */
TEST(Shed, SlowReadingCountsOnlyWhileSomethingIsRead)
{
	for (enum shed_phase p : { SHED_HEADERS, SHED_BODY, SHED_HELD }) {
		struct shed_conn c = make(p, 1000, 1);
		c.unread_ms = SHED_UNREAD_MS + 1;
		EXPECT_EQ(SHED_KEEP, shed_check(&c)) << p;
	}
}

/* Guards against a request that was passed on to the leader and whose client
 * is cut off from its outcome, also if nothing else can be closed. */
TEST(Shed, NeverClosesARequestThatWasPassedOn)
{
	struct shed_conn c = make(SHED_HELD, 1000000, 1 << 20);
	c.unread_ms = 1000000;
	EXPECT_EQ(SHED_KEEP, shed_check(&c));
	EXPECT_TRUE(choose({ c, make(SHED_CLOSING, 9, 9) }, 1000, 2).empty());
	c.phase = SHED_ANSWER;
	EXPECT_TRUE(choose({ c }, 1000, 2).empty());
	c.is_read = true;
	EXPECT_EQ(1U, choose({ c }, 1000, 2).size());
}

/* Guards against a shortage in which new or quick requests are closed, and not
 * those that hold most for least progress. */
TEST(Shed, ChoosesWhatHoldsMostForLeastProgress)
{
	std::vector<struct shed_conn> v = {
		make(SHED_BODY, 4000, 300000, 4 * SHED_FAIR_BYTES_PER_SEC),
		make(SHED_BODY, 4000, 300000, 1000), /* as old, but slow */
		make(SHED_BODY, 10, 300000, 1000),   /* new */
		make(SHED_BODY, 4000, 40000, 1000),
		make(SHED_HELD, 4000, 300000),
	};
	EXPECT_EQ(std::vector<size_t>({ 1 }), choose(v, 300000));
	EXPECT_EQ(std::vector<size_t>({ 1, 3 }), choose(v, 300001));
}

/* Guards against one address that crowds out others with connections that are
 * small each. */
TEST(Shed, ChoosesAmongTheConnectionsOfTheLargestAddress)
{
	std::vector<struct shed_conn> v(3, make(SHED_BODY, 1000, 40000));
	v[0].addr_bytes = v[2].addr_bytes = 4000000;
	v[1].phase_ms = 2000;
	EXPECT_EQ(std::vector<size_t>({ 0, 2 }), choose(v, 80000));
}

/* Guards against more closed connections than the shortage needs. */
TEST(Shed, StopsOnceEnoughIsFreed)
{
	std::vector<struct shed_conn> v(10, make(SHED_IDLE, 100, 1000));
	EXPECT_EQ(3U, choose(v, 2001).size());
	EXPECT_EQ(4U, choose(v, 0, 4).size());
	EXPECT_EQ(10U, choose(v, 1000000).size());
	EXPECT_TRUE(choose(v, 0).empty());
}

} // namespace
