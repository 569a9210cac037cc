#include <gtest/gtest.h>

#include "script_server.h"

#include "base/log.h"
#include "node/cloud.h"
#include "node/nctr.h"

namespace {

/* Returns an answer with a JSON body. */
std::string
answer(int status, const std::string &body)
{
	return "HTTP/1.1 " + std::to_string(status) +
	    " x\r\nContent-Length: " + std::to_string(body.size()) +
	    "\r\n\r\n" + body;
}

class CloudCalls : public ::testing::Test {
      protected:
	struct tevent_context *ev = tevent_context_init(NULL);
	struct script_server *server = new script_server(ev);
	struct ctr_set ctr;
	struct cloud *c = NULL;
	int64_t ahead_ms = 0; /* of the system's clock */
	bool ended = false;
	std::vector<std::string> machines;
	std::vector<std::pair<uint64_t, enum jcloud_result>> results;

	static struct timespec now(void *arg)
	{
		struct clk clk = clk_system();
		return clk_add_ms(clk_now(&clk), ((CloudCalls *)arg)->ahead_ms);
	}
	static void on_list(void *arg, const struct jcloud_machine *m, size_t n,
	    struct timespec at)
	{
		CloudCalls *t = (CloudCalls *)arg;
		for (size_t i = 0; i < n; i++)
			t->machines.push_back(m[i].machine);
		t->ended = true;
	}
	static void on_ordered(void *arg, uint64_t serial, enum jcloud_result r)
	{
		CloudCalls *t = (CloudCalls *)arg;
		t->results.emplace_back(serial, r);
		t->ended = true;
	}
	void open(const std::string &addr, int64_t per_s = 50)
	{
		struct cloud_conf f = {};
		f.ev = ev;
		f.clk = { now, now, this };
		f.ctr = &ctr;
		f.addr = str_dup(ev, str_from(addr.c_str()));
		f.holder = str_from("core-1");
		f.orders_per_s = f.reads_per_s = per_s;
		f.on_list = on_list;
		f.on_ordered = on_ordered;
		f.arg = this;
		c = cloud_new(ev, &f);
	}
	bool order(uint64_t serial)
	{
		struct jcloud_order o = { "m-1", 7, 99, serial,
			JCLOUD_ORDER_MAINTENANCE, NULL };
		return cloud_order(c, &o);
	}
	void SetUp() override
	{
		log_set_level(LOG_EMERG);
		ctr_init(&ctr, ev, nctr_desc, NCTR_COUNT);
	}
	void TearDown() override
	{
		talloc_free(c);
		delete server;
		talloc_free(ev);
	}
	void wait()
	{
		ended = false;
		ASSERT_TRUE(loop_until(ev, &ended));
	}
};

/* Guards against a list of only one page, and against a read beside another. */
TEST_F(CloudCalls, ReadsAllPages)
{
	server->steps = { { answer(200,
				"{\"machines\":[{\"machine\":\"a\",\"state\":"
				"\"up\"}],\"nextToken\":\"t\"}"),
			      false },
		{ answer(200,
		      "{\"machines\":[{\"machine\":\"b\",\"state\":\"up\"}]}"),
		    false } };
	open(server->addr);
	ASSERT_TRUE(cloud_read(c));
	EXPECT_FALSE(cloud_read(c));
	for (int i = 0; i < 40 && !ended; i++) {
		ahead_ms += 30;
		cloud_tick(c);
		tevent_loop_once(ev);
	}
	EXPECT_EQ((std::vector<std::string>{ "a", "b" }), machines);
	ASSERT_EQ(2U, server->requests.size());
	EXPECT_NE(std::string::npos, server->requests[1].find("?pageToken=t "));
	EXPECT_TRUE(cloud_read(c));
}

/* Guards against a list that is read without end because the service repeats a
 * page. */
TEST_F(CloudCalls, AListWithoutAnEndIsGivenUp)
{
	for (int i = 0; i < CLOUD_PAGES_MAX + 10; i++)
		server->steps.push_back({ answer(200,
					      "{\"machines\":[],"
					      "\"nextToken\":\"t\"}"),
		    false });
	open(server->addr, 100000);
	ASSERT_TRUE(cloud_read(c));
	for (int i = 0; i < 40 * CLOUD_PAGES_MAX && !cloud_read(c); i++) {
		size_t n = server->requests.size();
		if (n >= CLOUD_PAGES_MAX + 5)
			break;
		tevent_loop_once(ev);
		ahead_ms += n < CLOUD_PAGES_MAX ? 1 : 1000;
		cloud_tick(c);
	}
	EXPECT_LE(server->requests.size(), (size_t)CLOUD_PAGES_MAX);
	EXPECT_FALSE(ended);
}

/* Guards against more orders in a second than the service takes, and against
 * orders without a pause after a refusal by its limit. */
TEST_F(CloudCalls, KeepsToItsBudgetAndPauses)
{
	for (int i = 0; i < 100; i++)
		server->steps.push_back({ answer(429, "{}"), false });
	open(server->addr, 50);
	unsigned n = 0;
	for (uint64_t i = 1; i <= 100; i++)
		n += order(i);
	EXPECT_GE(n, 1U);
	EXPECT_LE(n, 6U);
	while (results.size() < n)
		wait();
	EXPECT_EQ(JCLOUD_LIMITED, results[0].second);
	ahead_ms += CLOUD_RETRY_MS / 2;
	EXPECT_FALSE(order(1));
	ahead_ms += CLOUD_RETRY_MAX_MS;
	EXPECT_TRUE(order(2));
}

/* Guards against an order that waits for its answer for good, counts as not
 * sent although it was, or as sent although it wasn't. */
TEST_F(CloudCalls, OrdersEndWithoutAnAnswer)
{
	server->steps = { { "", false } };
	open(server->addr);
	ASSERT_TRUE(order(1));
	for (int i = 0; i < 50 && server->requests.empty(); i++)
		tevent_loop_once(ev);
	cloud_tick(c);
	EXPECT_EQ(0U, results.size());
	ahead_ms += CLOUD_CALL_TIMEOUT_MS;
	cloud_tick(c);
	ASSERT_EQ(1U, results.size());
	EXPECT_EQ(JCLOUD_NO_ANSWER, results[0].second);
	EXPECT_TRUE(order(3)) << "held up by the order of another machine";
	talloc_free(c);
	open("127.0.0.1:1");
	ASSERT_TRUE(order(2));
	wait();
	EXPECT_EQ(JCLOUD_NOT_SENT, results[1].second);
}

/* Guards against a result that reaches a replica which leads again. */
TEST_F(CloudCalls, DroppedCallsHaveNoResult)
{
	open(server->addr);
	ASSERT_TRUE(order(1));
	ASSERT_TRUE(cloud_read(c));
	cloud_drop(c);
	ahead_ms += CLOUD_CALL_TIMEOUT_MS;
	cloud_tick(c);
	EXPECT_EQ(0U, results.size());
	EXPECT_TRUE(cloud_read(c));
}

} // namespace
