#include <gtest/gtest.h>

#include "node/memacct.h"

namespace {

const size_t MB = 1024 * 1024;

struct account {
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct memacct *m;
	explicit account(size_t requests, size_t work = 1000)
	{
		struct memacct_limits l = { { requests, work, 100, 100, 100,
		    100 } };
		m = memacct_new(ctx, &l);
	}
	~account()
	{
		talloc_free(ctx);
	}
};

/* Guards against a process that reads bodies for which it has no memory. */
TEST(MemAcct, ReservesNoMoreThanItsLimit)
{
	account a(100);
	struct memacct_conn c, d;
	ASSERT_TRUE(memacct_open(a.m, &c, MEMACCT_REQUESTS, 1, 40));
	ASSERT_TRUE(memacct_open(a.m, &d, MEMACCT_REQUESTS, 2, 40));
	EXPECT_FALSE(memacct_grow(a.m, &d, 21));
	EXPECT_EQ(80U, memacct_used(a.m, MEMACCT_REQUESTS));
	EXPECT_TRUE(memacct_grow(a.m, &d, 20));
	EXPECT_FALSE(memacct_grow(a.m, &c, SIZE_MAX));
	memacct_close(a.m, &c);
	memacct_close(a.m, &c);
	EXPECT_EQ(60U, memacct_used(a.m, MEMACCT_REQUESTS));
	EXPECT_EQ(60U, memacct_total(a.m));
	EXPECT_EQ(100U, memacct_peak(a.m));
}

/* Guards against clients that take the memory of the readiness answer, of
 * complete requests or of the other instances. */
TEST(MemAcct, KeepsTheOtherPartsFree)
{
	account a(100);
	struct memacct_conn c, ready, peer;
	ASSERT_TRUE(memacct_open(a.m, &c, MEMACCT_REQUESTS, 1, 100));
	EXPECT_TRUE(memacct_open(a.m, &ready, MEMACCT_READINESS, 1, 100));
	EXPECT_TRUE(memacct_open(a.m, &peer, MEMACCT_PEERS, 1, 100));
	EXPECT_TRUE(memacct_begin_work(a.m, &c, 1000));
	EXPECT_FALSE(memacct_open(a.m, &peer, MEMACCT_REQUESTS, 1, 1));
}

/* Guards against a readiness check that is refused because clients' requests
 * take all memory for requests. */
TEST(MemAcct, ReadinessHasWorkOfItsOwn)
{
	account a(100, 1000);
	struct memacct_conn c, ready;
	ASSERT_TRUE(memacct_open(a.m, &c, MEMACCT_REQUESTS, 1, 10));
	ASSERT_TRUE(memacct_open(a.m, &ready, MEMACCT_READINESS, 1, 10));
	ASSERT_TRUE(memacct_begin_work(a.m, &c, 1000));
	EXPECT_TRUE(memacct_begin_work(a.m, &ready, 10));
	EXPECT_EQ(20U, memacct_used(a.m, MEMACCT_READINESS));
	memacct_end_work(a.m, &ready);
	memacct_close(a.m, &ready);
	EXPECT_EQ(0U, memacct_used(a.m, MEMACCT_READINESS));
}

/* Guards against an answer that is replaced by a refusal, which would say that
 * the request was not run. */
TEST(MemAcct, AnAnswerIsHeldAlsoWithoutRoom)
{
	account a(100, 1000);
	struct memacct_conn c, d, closed = {};
	ASSERT_TRUE(memacct_open(a.m, &c, MEMACCT_REQUESTS, 1, 10));
	ASSERT_TRUE(memacct_open(a.m, &d, MEMACCT_REQUESTS, 1, 10));
	ASSERT_TRUE(memacct_begin_work(a.m, &c, 1000));
	memacct_hold_answer(a.m, &d, 500);
	EXPECT_EQ(1500U, memacct_used(a.m, MEMACCT_WORK));
	EXPECT_FALSE(memacct_begin_work(a.m, &d, 1));
	memacct_end_work(a.m, &d);
	EXPECT_EQ(1000U, memacct_used(a.m, MEMACCT_WORK));
	/* Bytes of a connection that has been given up are still read. */
	EXPECT_FALSE(memacct_begin_work(a.m, &closed, 1));
	memacct_hold_answer(a.m, &closed, 1);
	memacct_end_work(a.m, &closed);
	EXPECT_EQ(1000U, memacct_used(a.m, MEMACCT_WORK));
}

/* Guards against requests that are complete but pile up while the leader
 * doesn't answer, and against one that is refused although it is alone but for
 * heartbeats. */
TEST(MemAcct, AdmitsOneLargeRequestAtATime)
{
	account a(100, 1000);
	struct memacct_conn c, d, beat;
	ASSERT_TRUE(memacct_open(a.m, &c, MEMACCT_REQUESTS, 1, 10));
	ASSERT_TRUE(memacct_open(a.m, &d, MEMACCT_REQUESTS, 1, 10));
	ASSERT_TRUE(memacct_open(a.m, &beat, MEMACCT_REQUESTS, 1, 10));
	EXPECT_TRUE(memacct_begin_work(a.m, &beat, 250));
	EXPECT_TRUE(memacct_begin_work(a.m, &c, 5000));
	memacct_close(a.m, &beat);
	EXPECT_FALSE(memacct_begin_work(a.m, &d, 1));
	memacct_end_work(a.m, &c);
	EXPECT_TRUE(memacct_begin_work(a.m, &d, 1));
	memacct_close(a.m, &d);
	EXPECT_EQ(0U, memacct_used(a.m, MEMACCT_WORK));
	EXPECT_EQ(10U, memacct_addr_bytes(&c));
}

/* Guards against an address that hides what it holds behind many small
 * connections. */
TEST(MemAcct, AddsUpTheConnectionsOfAnAddress)
{
	account a(1000);
	struct memacct_conn c, d, other;
	ASSERT_TRUE(memacct_open(a.m, &c, MEMACCT_REQUESTS, 7, 10));
	ASSERT_TRUE(memacct_open(a.m, &d, MEMACCT_REQUESTS, 7, 10));
	ASSERT_TRUE(memacct_open(a.m, &other, MEMACCT_REQUESTS, 8, 10));
	ASSERT_TRUE(memacct_grow(a.m, &d, 100));
	EXPECT_EQ(120U, memacct_addr_bytes(&c));
	memacct_shrink(a.m, &d, 50);
	memacct_close(a.m, &c);
	EXPECT_EQ(60U, memacct_addr_bytes(&d));
	EXPECT_EQ(10U, memacct_addr_bytes(&other));
}

/* Guards against shedding that begins only when there is no room left for the
 * next request, or that frees too little to last. */
TEST(MemAcct, IsShortBeforeItIsFull)
{
	account a(800);
	struct memacct_conn c;
	ASSERT_TRUE(memacct_open(a.m, &c, MEMACCT_REQUESTS, 1, 650));
	EXPECT_EQ(0U, memacct_excess(a.m, MEMACCT_REQUESTS, 50));
	EXPECT_EQ(101U, memacct_excess(a.m, MEMACCT_REQUESTS, 51));
}

/* Guards against a configuration that a small replica accepts as a request and
 * then drops as a call on its leader, each time that it is sent. */
TEST(MemAcct, AConfigurationFitsAsARequestAndAsACall)
{
	struct memacct_limits l = memacct_split(MEMACCT_REPLICA, 56);
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct memacct *m = memacct_new(ctx, &l);
	struct memacct_conn request, call;
	ASSERT_TRUE(memacct_open(m, &request, MEMACCT_REQUESTS, 1, 4 * MB));
	ASSERT_TRUE(memacct_open(m, &call, MEMACCT_CALLS, 0, 0));
	ASSERT_TRUE(memacct_begin_work(m, &request, 3 * 4 * MB));
	EXPECT_TRUE(memacct_grow_any(m, &call, 3 * 4 * MB));
	EXPECT_FALSE(memacct_grow_any(m, &call, 1));
	memacct_shrink(m, &call, 3 * 4 * MB);
	EXPECT_TRUE(memacct_grow_any(m, &call, 1));
	talloc_free(ctx);
}

/* Guards against parts that exceed the machine, or that are too small for a
 * body within the limits. */
TEST(MemAcct, DividesTheMemoryOfTheMachine)
{
	for (int64_t mb : { 32, 64, 96, 160, 384, 4096 }) {
		struct memacct_limits e = memacct_split(MEMACCT_ENTRY, mb);
		struct memacct_limits r = memacct_split(MEMACCT_REPLICA, mb);
		size_t entry = 0, replica = 0;
		for (int i = 0; i < MEMACCT_USES; i++) {
			entry += e.max[i];
			replica += r.max[i];
		}
		/* Queues to the replicas are part of the base, too. */
		EXPECT_LE(entry,
		    (size_t)(mb - MEMACCT_ENTRY_BASE_MB +
			MEMACCT_ENTRY_SEND_MB) *
			MB)
		    << mb;
		size_t http = replica - r.max[MEMACCT_PEERS] -
		    r.max[MEMACCT_CALLS] - r.max[MEMACCT_RECEIVE] -
		    r.max[MEMACCT_SEND];
		EXPECT_LE(http, mb * MB / 4) << mb;
		EXPECT_LE(replica, mb * MB / 2) << mb;
	}
	/* A HELLO of each connection that a replica has descriptors for. */
	EXPECT_GE(memacct_split(MEMACCT_REPLICA, 384).max[MEMACCT_PEERS],
	    2048 * 4096U);
	/* 1,800 connections without a body, as the deployments have. */
	EXPECT_GE(memacct_split(MEMACCT_ENTRY, 160).max[MEMACCT_REQUESTS] / 8 *
		MEMACCT_HIGH_EIGHTHS,
	    1800 * 36 * 1024U);
	EXPECT_GE(memacct_split(MEMACCT_ENTRY, 64).max[MEMACCT_REQUESTS],
	    64 * 256 * 1024U);
	EXPECT_GE(memacct_split(MEMACCT_REPLICA, 96).max[MEMACCT_REQUESTS],
	    2 * 4 * MB);
}

} // namespace
