#include <gtest/gtest.h>

#include "script_server.h"

#include "base/log.h"
#include "node/fdplan.h"
#include "node/nctr.h"
#include "node/wcon.h"

namespace {

const char OK[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

class Wcon : public ::testing::Test {
      protected:
	struct tevent_context *ev = tevent_context_init(NULL);
	struct script_server *server = new script_server(ev);
	struct ctr_set ctr;
	struct wcon *w = NULL;
	bool ended = false;
	std::vector<std::string> bodies;
	std::vector<int> statuses;
	std::vector<enum wcon_failure> failures;
	std::vector<int> order; /* calls in the order in which they ended */

	static void on_done(void *arg, void *user, int status, struct str body)
	{
		Wcon *t = (Wcon *)arg;
		t->statuses.push_back(status);
		t->bodies.push_back(std::string(body.p, body.len));
		t->order.push_back((int)(intptr_t)user);
		t->ended = true;
	}
	static void on_failed(void *arg, void *user, enum wcon_failure failure)
	{
		Wcon *t = (Wcon *)arg;
		t->failures.push_back(failure);
		t->order.push_back((int)(intptr_t)user);
		t->ended = true;
	}
	void open(size_t most)
	{
		struct wcon_conf c = {};
		c.ev = ev;
		c.clk = clk_system();
		c.ctr = &ctr;
		c.connections_max = most;
		c.on_done = on_done;
		c.on_failed = on_failed;
		c.arg = this;
		w = wcon_new(ev, &c);
	}
	void SetUp() override
	{
		log_set_level(LOG_EMERG);
		ctr_init(&ctr, ev, nctr_desc, NCTR_COUNT);
	}
	void TearDown() override
	{
		talloc_free(w);
		delete server;
		talloc_free(ev);
	}
	struct wcon_call *call(
	    int n, const std::string &addr, unsigned connections = 1)
	{
		struct wcon_req r = {};
		r.addr = str_from(addr.c_str());
		r.method = str_from("POST");
		r.target = str_from("/x");
		r.body = str_from("{}");
		r.max_conns = connections;
		struct clk clk = clk_system();
		r.send_by = clk_add_ms(clk_now(&clk), 60000);
		r.user = (void *)(intptr_t)n;
		return wcon_start(w, &r);
	}
	void wait()
	{
		ended = false;
		ASSERT_TRUE(loop_until(ev, &ended));
	}
};

/* Guards against opening a connection for each call. */
TEST_F(Wcon, CallsShareAConnection)
{
	server->steps = { { OK, false }, { OK, false } };
	open(10);
	call(1, server->addr);
	wait();
	call(2, server->addr);
	wait();
	EXPECT_EQ(1U, server->accepted);
	EXPECT_EQ((std::vector<std::string>{ "hi", "hi" }), bodies);
	EXPECT_EQ(1U, wcon_count_open(w));
	EXPECT_NE(std::string::npos,
	    server->requests[1].find("Content-Length: 2\r\n\r\n{}"));
}

/* Guards against a call that is sent twice when a reused connection fails: the
 * worker may have carried it out. */
TEST_F(Wcon, ABrokenConnectionDoesNotResend)
{
	server->steps = { { OK, false }, { "", true }, { OK, false } };
	open(10);
	call(1, server->addr);
	wait();
	call(2, server->addr);
	wait();
	ASSERT_EQ(1U, failures.size());
	EXPECT_EQ(WCON_MAYBE_SENT, failures[0]);
	EXPECT_EQ(2U, server->requests.size());
}

/* Guards against a truncated answer that is taken as complete, and against
 * bytes that are not HTTP. */
TEST_F(Wcon, AnswersMustEnd)
{
	server->steps = { { "HTTP/1.1 200 OK\r\n\r\nhi", true },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", true },
		{ "garbage\r\n\r\n", false },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "2\r\nhi\r\n0\r\n\r\n",
		    false } };
	open(10);
	for (int i = 0; i < 4; i++) {
		call(i, server->addr);
		wait();
	}
	EXPECT_EQ(3U, failures.size());
	EXPECT_EQ((std::vector<std::string>{ "hi" }), bodies);
}

/* Guards against extra bytes after an answer that are taken for the next one.
 */
TEST_F(Wcon, ExtraBytesEndTheConnection)
{
	server->steps = { { std::string(OK) + OK, false }, { OK, false } };
	open(10);
	call(1, server->addr);
	wait();
	EXPECT_EQ(0U, wcon_count_open(w));
	call(2, server->addr);
	wait();
	EXPECT_EQ(2U, bodies.size());
	EXPECT_EQ(2U, server->accepted);
}

/* Guards against bytes that have arrived on an idle connection and are taken
 * for the answer to the next call, which the worker may not have got. */
TEST_F(Wcon, StrayBytesOnAnIdleConnectionAnswerNothing)
{
	server->steps = { { OK, false }, { "", false } };
	open(10);
	call(1, server->addr);
	wait();
	ASSERT_EQ(1U, server->conns.size());
	server->write_stray(
	    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray");
	call(2, server->addr);
	for (int i = 0; i < 100 && server->requests.size() < 2; i++)
		tevent_loop_once(ev);
	EXPECT_EQ((std::vector<std::string>{ "hi" }), bodies);
	EXPECT_EQ(2U, server->accepted);
}

/* Guards against connections that went silent, which can't be told from workers
 * that don't answer. */
TEST_F(Wcon, CountsUnansweredCallsOnUsedConnections)
{
	struct script_server other(ev);
	server->steps = { { OK, false }, { "", false } };
	other.steps = { { "", false } };
	open(10);
	call(1, server->addr);
	wait();
	struct wcon_call *used = call(2, server->addr);
	struct wcon_call *fresh = call(3, other.addr);
	while (server->requests.size() < 2 || other.requests.empty())
		tevent_loop_once(ev);
	EXPECT_TRUE(wcon_was_reused(used));
	EXPECT_FALSE(wcon_was_reused(fresh));
	wcon_abort(used);
	wcon_abort(fresh);
	EXPECT_EQ(1U, ctr_get(&ctr, NCTR_WCON_REUSED_SILENT));
}

/* Guards against calls that are lost one after the other on connections that
 * all went silent at once. */
TEST_F(Wcon, AnUnansweredCallEndsTheTrustInOlderConnections)
{
	server->steps.assign(4, { OK, false });
	open(10);
	for (int i = 1; i <= 3; i++)
		call(i, server->addr, 3);
	while (bodies.size() < 3)
		wait();
	ASSERT_EQ(3U, server->accepted);
	server->mute();
	struct wcon_call *lost = call(4, server->addr, 3);
	EXPECT_EQ(WCON_MAYBE_SENT, wcon_abort(lost));
	EXPECT_EQ(0U, wcon_count_open(w));
	EXPECT_EQ(2U, ctr_get(&ctr, NCTR_WCON_DISTRUSTED));
	call(5, server->addr, 3);
	wait();
	EXPECT_EQ((std::vector<int>{ 1, 2, 3, 5 }), order);
	EXPECT_EQ(4U, server->accepted);
}

/* Guards against closing a connection that has answered since the call that got
 * no answer was sent. */
TEST_F(Wcon, AnUnansweredCallLeavesConnectionsThatHaveAnsweredSince)
{
	server->steps = { { "", false }, { OK, false }, { OK, false } };
	open(10);
	struct wcon_call *lost = call(1, server->addr, 3);
	while (server->requests.empty())
		tevent_loop_once(ev);
	call(2, server->addr, 3);
	wait();
	wcon_abort(lost);
	EXPECT_EQ(1U, wcon_count_open(w));
	call(3, server->addr, 3);
	wait();
	EXPECT_EQ((std::vector<int>{ 2, 3 }), order);
	EXPECT_EQ(2U, server->accepted);
}

/* Guards against a call on an idle connection that the worker has closed, which
 * ends as possibly sent. */
TEST_F(Wcon, AClosedIdleConnectionIsNotReused)
{
	server->steps = { { OK, true }, { OK, false } };
	open(10);
	call(1, server->addr);
	wait();
	while (server->closed == 0)
		tevent_loop_once(ev);
	call(2, server->addr);
	wait();
	EXPECT_EQ(0U, failures.size());
	EXPECT_EQ(2U, bodies.size());
}

/* Guards against a call that is reported as possibly sent although its
 * connection was refused, and against a callback from within wcon_start. */
TEST_F(Wcon, ARefusedConnectionSentNothing)
{
	open(10);
	call(1, "127.0.0.1:1");
	EXPECT_EQ(0U, failures.size());
	wait();
	ASSERT_EQ(1U, failures.size());
	EXPECT_EQ(WCON_REFUSED, failures[0]);
}

/* Guards against more connections than the limit, when a new leader calls all
 * workers itself. An idle connection is closed for a new one, a waiting call
 * is sent when another one ends, and one that never had a connection is
 * reported as not sent. */
TEST_F(Wcon, ConnectionsStayWithinTheirShare)
{
	struct script_server other(ev), third(ev);
	server->steps = { { OK, false }, { OK, false } };
	other.steps = { { "", false } };
	third.steps = { { OK, false } };
	open(1);
	call(1, server->addr);
	wait();
	EXPECT_EQ(1U, wcon_count_open(w));
	struct wcon_call *hangs = call(2, other.addr);
	EXPECT_EQ(1U, wcon_count_open(w)); /* the idle one was closed */
	call(3, third.addr);
	struct wcon_call *full = call(4, server->addr);
	EXPECT_EQ(WCON_FULL, wcon_abort(full));
	EXPECT_GE(ctr_get(&ctr, NCTR_WCON_FULL), 1U);
	while (other.requests.empty())
		tevent_loop_once(ev);
	EXPECT_EQ(WCON_MAYBE_SENT, wcon_abort(hangs));
	wait();
	EXPECT_EQ((std::vector<int>{ 1, 3 }), order);
	EXPECT_EQ(1U, wcon_count_open(w));
}

/* Guards against connections that use up the descriptors of the log: a new
 * leader that called 1,800 workers could not write its snapshot and ended. */
TEST(FdPlan, KeepsDescriptorsForTheLog)
{
	for (int64_t n : { 300, 1024, 4096, 6424, 100000 }) {
		struct fdplan p = fdplan_split(n);
		EXPECT_LE((int64_t)p.peers + p.control + p.workers,
		    n - FDPLAN_RESERVED - FDPLAN_LOG_FILES)
		    << n;
		EXPECT_GT(p.peers, 0U);
		EXPECT_GT(p.control, 0U);
		EXPECT_GT(p.workers, 0U);
	}
	EXPECT_GT(fdplan_split(0).workers, 0U);
}

} /* namespace */
