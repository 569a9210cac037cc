#include <gtest/gtest.h>

#include <unistd.h>

#include "script_server.h"

#include "base/clk.h"
#include "node/back.h"
#include "node/nctr.h"

class Back : public ::testing::Test {
      protected:
	struct tevent_context *ev = tevent_context_init(NULL);
	struct script_server *server = new script_server(ev);
	struct ctr_set ctr;
	struct back *back;
	bool has_ended = false, reported_sent = false,
	     failed_after_sending = false, ok = false;
	enum back_fail kind = BACK_CONNECT_FAILED;
	std::string body;
	struct timespec send_by = {};

	static void on_sent(void *arg, void *)
	{
		((Back *)arg)->reported_sent = true;
	}

	static void on_done(void *arg, void *, const struct back_answer *a)
	{
		Back *t = (Back *)arg;
		t->has_ended = t->ok = true;
		t->body.assign(a->body.p == NULL ? "" : a->body.p, a->body.len);
	}

	static void on_failed(
	    void *arg, void *, enum back_fail k, bool was_sent)
	{
		Back *t = (Back *)arg;
		t->has_ended = true;
		t->ok = false;
		t->kind = k;
		t->failed_after_sending = was_sent;
	}

	void SetUp() override
	{
		ctr_init(&ctr, ev, nctr_desc, NCTR_COUNT);
		struct back_conf conf = { &ctr, on_sent, on_done, on_failed,
			this };
		back = back_new(ev, ev, &conf);
	}

	void TearDown() override
	{
		talloc_free(back);
		delete server;
		talloc_free(ev);
	}

	struct back_call *start(const char *method = "POST")
	{
		struct back_req r = {};
		r.addr = str_from(server->addr.c_str());
		r.method = str_from(method);
		r.target = str_from("/x");
		r.epoch = 3;
		r.request_id = 42;
		r.timeout_ms = 1000;
		r.send_by = send_by;
		has_ended = reported_sent = failed_after_sending = ok = false;
		return back_start(back, &r);
	}

	void call(const char *method = "POST")
	{
		start(method);
		ASSERT_TRUE(loop_until(ev, &has_ended));
	}

	uint64_t count(enum nctr which)
	{
		return ctr_get(&ctr, which);
	}
};

static const char answer_with_echo[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nCicadabay-Request: 42\r\n\r\nhi";
static const char answer_without_echo[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

/* Guards against missing headers, which workers need to refuse old leaders, and
 * against not reusing a connection that echoed the request id. */
TEST_F(Back, SendsItsHeadersAndReusesAConnectionWithEcho)
{
	server->steps = { { answer_with_echo, false },
		{ answer_with_echo, false } };
	call();
	EXPECT_TRUE(ok);
	EXPECT_TRUE(reported_sent);
	EXPECT_EQ("hi", body);
	const std::string &r = server->requests.at(0);
	EXPECT_NE(std::string::npos, r.find("Cicadabay-Epoch: 3\r\n"));
	EXPECT_NE(std::string::npos, r.find("Cicadabay-Request: 42\r\n"));
	EXPECT_NE(std::string::npos, r.find("Cicadabay-Timeout-Ms: 1000\r\n"));
	call();
	EXPECT_TRUE(ok);
	EXPECT_EQ(1u, server->accepted);
}

/* Guards against taking late bytes of one answer for the next one. */
TEST_F(Back, WithoutEchoAConnectionIsUsedOnce)
{
	server->steps = { { answer_without_echo, false },
		{ answer_without_echo, false } };
	call();
	EXPECT_TRUE(ok);
	call();
	EXPECT_TRUE(ok);
	EXPECT_EQ(2u, server->accepted);
}

/* Guards against passing another request's answer to the client. */
TEST_F(Back, AnswerToAnotherRequestIsDropped)
{
	server->steps = { { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
			    "Cicadabay-Request: 41\r\n\r\nno",
	    false } };
	call();
	EXPECT_FALSE(ok);
	EXPECT_EQ(BACK_RESET, kind);
	EXPECT_TRUE(failed_after_sending);
	EXPECT_EQ(1u, count(NCTR_BACK_WRONG_ANSWER));
}

/* Guards against taking a partial answer for a whole one. */
TEST_F(Back, ShortAndUnprovenAnswersFail)
{
	server->steps = {
		{ "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", true },
		{ "HTTP/1.1 200 OK\r\n\r\nhi", true },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "2\r\nhi\r\n",
		    true },
		{ "HTTP/1.1 200 OK\r\nConte", true },
	};
	for (int i = 0; i < 4; i++) {
		call();
		EXPECT_FALSE(ok) << i;
		EXPECT_TRUE(failed_after_sending) << i;
		EXPECT_EQ(BACK_TRUNCATED, kind) << i;
	}
	/* libcurl reports a truncated header as a success. */
	EXPECT_EQ(2u, count(NCTR_BACK_NO_LENGTH));
}

/* Guards against libcurl resending a request on a new connection when a reused
 * one closes before the answer: the worker may have run the first one. */
TEST_F(Back, ClosedReusedConnectionIsNotResent)
{
	server->steps = { { answer_with_echo, false }, { "", true },
		{ answer_with_echo, false } };
	call();
	ASSERT_TRUE(ok);
	call();
	EXPECT_FALSE(ok);
	EXPECT_EQ(BACK_RESET, kind);
	EXPECT_TRUE(failed_after_sending);
	EXPECT_EQ(2u, server->requests.size());
	EXPECT_EQ(1u, count(NCTR_BACK_RESEND_STOPPED));
}

/* Guards against reporting a request as not sent although a byte may have been
 * sent, and the reverse. */
TEST_F(Back, ReportsWhetherAByteMayHaveBeenSent)
{
	server->steps = { { "", true },
		{ "HTTP/1.1 503 No\r\nContent-Length: 0\r\n"
		  "Cicadabay-Not-Started: 1\r\n\r\n",
		    false },
		{ "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", false } };
	call();
	EXPECT_EQ(BACK_RESET, kind);
	EXPECT_TRUE(failed_after_sending);
	call();
	EXPECT_FALSE(ok);
	EXPECT_EQ(BACK_NOT_STARTED, kind);
	/* Any other 503 is an answer: the worker may have run the request. */
	call();
	EXPECT_TRUE(ok);

	/* Nobody listens on the reserved port 1. */
	server->addr = "127.0.0.1:1";
	call();
	EXPECT_FALSE(ok);
	EXPECT_EQ(BACK_CONNECT_FAILED, kind);
	EXPECT_FALSE(failed_after_sending);
	EXPECT_FALSE(reported_sent);
}

static void
set_flag(
    struct tevent_context *, struct tevent_timer *, struct timeval, void *arg)
{
	*(bool *)arg = true;
}

/* Guards against reusing the connection of an aborted request. */
TEST_F(Back, AbortClosesTheConnection)
{
	server->steps = { { answer_with_echo, false } };
	call();
	struct back_call *c = start();
	while (server->requests.size() < 2)
		tevent_loop_once(ev);
	back_abort(c);
	EXPECT_EQ(0u, back_count_calls(back));
	while (server->closed < 1)
		tevent_loop_once(ev);
	EXPECT_FALSE(has_ended);
	server->steps.push_back({ "", false });
	server->steps.push_back({ answer_with_echo, false });
	call();
	EXPECT_TRUE(ok);
	EXPECT_EQ(2u, server->accepted);
}

/* Guards against sending anything of a call that was aborted before its
 * connection was made. */
TEST_F(Back, AbortBeforeTheConnectionSendsNothing)
{
	bool over = false;
	back_abort(start());
	tevent_add_timer(
	    ev, ev, tevent_timeval_current_ofs(0, 50000), set_flag, &over);
	ASSERT_TRUE(loop_until(ev, &over));
	EXPECT_EQ(0u, server->requests.size());
	EXPECT_FALSE(reported_sent);
}

/* Guards against a request that is sent after its limit because the process was
 * paused while it connected: its slot may be another instance's by then. */
TEST_F(Back, APausedProcessSendsNothingAfterTheLimit)
{
	const struct clk clk = clk_system();

	server->steps = { { answer_with_echo, false } };
	send_by = clk_add_ms(clk_now(&clk), 20);
	start();
	usleep(30000);
	ASSERT_TRUE(loop_until(ev, &has_ended));
	EXPECT_FALSE(ok);
	EXPECT_EQ(BACK_CONNECT_FAILED, kind);
	EXPECT_FALSE(failed_after_sending);
	EXPECT_FALSE(reported_sent);
	EXPECT_EQ(0u, server->requests.size());
	send_by = clk_add_ms(clk_now(&clk), 10000);
	call();
	EXPECT_TRUE(ok);
}
