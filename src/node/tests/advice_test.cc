#include <gtest/gtest.h>

#include "script_server.h"

#include "base/log.h"
#include "node/advice.h"
#include "node/nctr.h"

namespace {

/* A leader (instance 1) and a replica (instance 2) that makes calls for it,
 * beside the service. */
class AdviceCalls : public ::testing::Test {
      protected:
	struct End {
		uint64_t token, serial;
		uint32_t instance;
		enum jadvice_result result;
		std::vector<std::string> good;
	};
	struct tevent_context *ev = tevent_context_init(NULL);
	struct script_server *server = new script_server(ev);
	struct ctr_set ctr;
	struct advice *leader = NULL, *replica = NULL;
	int64_t ahead_ms = 0; /* of the system's clock */
	bool ended = false, is_cut_off = false;
	std::vector<End> ends;

	static struct timespec now(void *arg)
	{
		struct clk clk = clk_system();
		return clk_add_ms(
		    clk_now(&clk), ((AdviceCalls *)arg)->ahead_ms);
	}
	static void on_answer(
	    void *arg, uint64_t token, const struct jadvice_answer *r)
	{
		auto *t = (AdviceCalls *)arg;
		End e = { token, r->serial, r->instance, r->result, {} };
		for (size_t i = 0; i < r->ngood; i++)
			e.good.push_back(std::string(r->good[i].worker) + "=" +
			    r->good[i].ticket);
		t->ends.push_back(e);
		t->ended = true;
	}
	static bool send(void *arg, uint32_t to, const Job__Msg *m)
	{
		auto *t = (AdviceCalls *)arg;
		if (t->is_cut_off)
			return false;
		std::vector<uint8_t> b(job__msg__get_packed_size(m));
		job__msg__pack(m, b.data());
		Job__Msg *got = job__msg__unpack(NULL, b.size(), b.data());
		if (to == 2)
			advice_on_call(t->replica, 1, got->advice_call);
		else
			advice_on_answer(t->leader, 2, got->advice_answer);
		job__msg__free_unpacked(got, NULL);
		return true;
	}
	void SetUp() override
	{
		struct advice_conf f = {};
		log_set_level(LOG_EMERG);
		ctr_init(&ctr, ev, nctr_desc, NCTR_COUNT);
		f.ev = ev;
		f.clk = { now, now, this };
		f.ctr = &ctr;
		f.addr = str_dup(ev, str_from(server->addr.c_str()));
		f.send = send;
		f.on_answer = on_answer;
		f.arg = this;
		leader = advice_new(ev, &f);
		replica = advice_new(ev, &f);
	}
	void TearDown() override
	{
		talloc_free(leader);
		talloc_free(replica);
		delete server;
		talloc_free(ev);
	}
	bool call(uint32_t instance, uint64_t serial, uint64_t token = 7)
	{
		static const char *const ids[] = { "i-1", "i-2" };
		struct jadvice_call c = {};
		c.instance = instance;
		c.token = token;
		c.serial = serial;
		job__task__init(&c.step);
		c.step.job = 5;
		c.workers = ids;
		c.nworkers = 2;
		c.timeout_ms = 600;
		return advice_call(leader, &c);
	}
	void reply(int status, const std::string &body)
	{
		server->steps.push_back({ "HTTP/1.1 " + std::to_string(status) +
			" x\r\nContent-Length: " + std::to_string(body.size()) +
			"\r\n\r\n" + body,
		    false });
	}
	void wait()
	{
		ended = false;
		ASSERT_TRUE(loop_until(ev, &ended));
	}
	/* Runs the event loop until the service has this many requests. */
	void wait_for_requests(size_t n)
	{
		for (int i = 0; i < 100 && server->requests.size() < n; i++)
			tevent_loop_once(ev);
		ASSERT_EQ(n, server->requests.size());
	}
};

/* Guards against calls that the leader or a replica doesn't make, and answers
 * that get lost between them. */
TEST_F(AdviceCalls, TheLeaderAndAReplicaCall)
{
	reply(200, "{\"good\":[[\"i-1\",\"t\"]]}");
	ASSERT_TRUE(call(0, 1));
	wait();
	reply(200, "{\"good\":[[\"i-2\",\"u\"]]}");
	ASSERT_TRUE(call(2, 2));
	wait();
	ASSERT_EQ(2U, ends.size());
	EXPECT_EQ(JADVICE_OK, ends[0].result);
	EXPECT_EQ(0U, ends[0].instance);
	EXPECT_EQ((std::vector<std::string>{ "i-1=t" }), ends[0].good);
	EXPECT_EQ(2U, ends[1].instance);
	EXPECT_EQ(2U, ends[1].serial);
	EXPECT_EQ(7U, ends[1].token);
	EXPECT_EQ((std::vector<std::string>{ "i-2=u" }), ends[1].good);
	EXPECT_NE(std::string::npos,
	    server->requests[1].find("\"step\":\"0000000000000005.0.0\""));
}

/* Guards against a call without an end: refused, without an answer, or without
 * a connection. */
TEST_F(AdviceCalls, FailuresAreTold)
{
	reply(429, "{}");
	ASSERT_TRUE(call(2, 1));
	wait();
	EXPECT_EQ(JADVICE_LIMITED, ends[0].result);
	ASSERT_TRUE(call(0, 2));
	wait_for_requests(2);
	advice_tick(leader);
	ASSERT_EQ(1U, ends.size());
	ahead_ms += 600;
	advice_tick(leader);
	ASSERT_EQ(2U, ends.size());
	EXPECT_EQ(JADVICE_NO_ANSWER, ends[1].result);
	delete server;
	server = new script_server(ev); /* at another address */
	ASSERT_TRUE(call(0, 3));
	wait();
	EXPECT_EQ(JADVICE_NOT_SENT, ends[2].result);
	is_cut_off = true;
	EXPECT_FALSE(call(2, 4));
}

/* Guards against a replica that is kept busy by a call that its leader has
 * given up, and one that calls for an earlier leader. */
TEST_F(AdviceCalls, ALaterCallReplacesOneInFlight)
{
	ASSERT_TRUE(call(2, 1));
	wait_for_requests(1);
	/* One step of the script for each request, also that without answer. */
	for (int i = 0; i < 3; i++)
		reply(200, "{\"good\":[]}");
	ASSERT_TRUE(call(2, 2, 8));
	wait();
	ASSERT_TRUE(call(2, 3, 7));
	ASSERT_TRUE(call(2, 4, 8));
	wait();
	ASSERT_EQ(2U, ends.size());
	EXPECT_EQ(2U, ends[0].serial);
	EXPECT_EQ(4U, ends[1].serial);
	EXPECT_EQ(3U, server->requests.size());
}

/* Guards against an answer that reaches the next term of this leader. */
TEST_F(AdviceCalls, DroppedCallsGetNoAnswer)
{
	ASSERT_TRUE(call(0, 1));
	wait_for_requests(1);
	advice_drop(leader);
	ahead_ms += 10000;
	advice_tick(leader);
	EXPECT_EQ(0U, ends.size());
}

/* Guards against calls given to a replica that is silent or cut off. */
TEST_F(AdviceCalls, PeersThatAreSilentAreNotListed)
{
	uint32_t v[8];
	advice_on_peer(leader, 2);
	advice_on_peer(leader, 3);
	advice_on_peer(leader, 2);
	EXPECT_EQ(2U, advice_list_peers(leader, v, 8));
	advice_on_disconnect(leader, 2);
	ASSERT_EQ(1U, advice_list_peers(leader, v, 8));
	EXPECT_EQ(3U, v[0]);
	ahead_ms += ADVICE_PEER_SILENT_MS + 1;
	EXPECT_EQ(0U, advice_list_peers(leader, v, 8));
}

/* Guards against replicas that are never given calls once as many others as can
 * be recorded have fallen silent. */
TEST_F(AdviceCalls, ASilentPeerLosesItsPlace)
{
	uint32_t v[8];
	for (uint32_t i = 0; i < JADVICE_CALLERS_MAX; i++)
		advice_on_peer(leader, 2 + i);
	ahead_ms += ADVICE_PEER_SILENT_MS + 1;
	advice_on_peer(leader, 1000);
	ASSERT_EQ(1U, advice_list_peers(leader, v, 8));
	EXPECT_EQ(1000U, v[0]);
}

} // namespace
