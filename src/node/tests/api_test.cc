#include <gtest/gtest.h>

#include <string>

#include "base/rng.h"
#include "node/api.h"
#include "node/vsplit.h"

class Api : public ::testing::Test {
      protected:
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct err e = {};
	struct api_req q = {};

	enum status parse(
	    const char *method, const char *target, const std::string &body)
	{
		const char *mark = strchr(target, '?');
		struct str path = str_from(target), query = str_from("");
		if (mark != NULL) {
			path.len = (size_t)(mark - target);
			query = str_from(mark + 1);
		}
		err_clear(&e);
		return api_parse(ctx, str_from(method), path, query,
		    str_mem(body.data(), body.size()), &q, &e);
	}

	void TearDown() override
	{
		talloc_free(ctx);
	}
};

static const char announce[] =
    "{\"incarnation\":7,\"addr\":\"127.0.0.1:80\",\"cpu_milli\":8000,"
    "\"mem_mb\":100,\"accel\":0,\"slots\":8,\"serves\":[\"a\"]}";

static const char poll_body[] =
    "{\"incarnation\":7,\"epoch\":3,\"events\":[{\"task\":1048576,"
    "\"attempt\":1,\"kind\":\"done\",\"progress\":5,\"result\":\"x\"}],"
    "\"event_seq\":1,\"usage\":[{\"task\":1,\"cpu_milli\":2,"
    "\"mem_mb\":3}],\"running\":[1,2]}";

/* Guards against fields of a request that are missing or swapped in its op. */
TEST_F(Api, FieldsReachTheOperation)
{
	ASSERT_EQ(STATUS_OK, parse("POST", "/v1/workers/w1", announce))
	    << e.msg;
	ASSERT_NE(nullptr, q.op->worker_up);
	EXPECT_STREQ("w1", q.op->worker_up->name);
	EXPECT_EQ(7u, q.op->worker_up->incarnation);
	EXPECT_EQ(8u, q.op->worker_up->slots);
	ASSERT_EQ(1u, q.op->worker_up->n_serves);
	EXPECT_FALSE(q.op->worker_up->has_connections);

	ASSERT_EQ(STATUS_OK, parse("POST", "/v1/workers/w1/poll", poll_body))
	    << e.msg;
	const Control__WorkerPoll *p = q.op->worker_poll;
	ASSERT_EQ(1u, p->n_events);
	EXPECT_EQ(CONTROL__TASK_EVENT_KIND__TASK_DONE, p->events[0]->kind);
	EXPECT_EQ(1048576u, p->events[0]->task);
	EXPECT_EQ(1u, p->events[0]->result.len);
	ASSERT_EQ(2u, p->n_running);
	EXPECT_EQ(2u, p->running[1]);

	ASSERT_EQ(STATUS_OK, parse("GET", "/v1/jobs?after=5&limit=9", ""));
	EXPECT_EQ(5u, q.op->query->after);
	EXPECT_EQ(9u, q.op->query->limit);
	ASSERT_EQ(STATUS_OK,
	    parse("POST", "/v1/workers/w1/leave", "{\"incarnation\":7}"));
	EXPECT_NE(nullptr, q.op->worker_drain);
	ASSERT_EQ(STATUS_OK,
	    parse("POST", "/v1/workers/w1/leave",
		"{\"incarnation\":7,\"done\":true}"));
	EXPECT_NE(nullptr, q.op->worker_leave);
	ASSERT_EQ(STATUS_OK, parse("GET", "/svc/c/x/y", ""));
	EXPECT_EQ(API_SERVICE, q.kind);
	EXPECT_TRUE(str_eq_c(q.class_name, "c"));
}

struct invalid_input {
	const char *method, *target, *body;
	int http;
	const char *part; /* expected in the message */
};

/* Guards against accepting invalid input, and against an error with the wrong
 * HTTP status or without the name of the fault. */
TEST_F(Api, InvalidInputIsNamed)
{
	static const struct invalid_input cases[] = {
		{ "GET", "/v1/nothing", "", 404, "no such path" },
		{ "GET", "/v1/workers/", "", 404, "no such path" },
		{ "PATCH", "/v1/jobs", "", 405, "method" },
		{ "POST", "/v1/jobs", "", 400, "empty" },
		{ "POST", "/v1/jobs", "{", 400, "ends too early" },
		{ "POST", "/v1/jobs", "[]", 400, "expected an object" },
		{ "POST", "/v1/jobs", "{} x", 400, "JSON" },
		{ "POST", "/v1/jobs", "{\"a\":\"\xff\"}", 400, "JSON" },
		{ "POST", "/v1/jobs", "{\"a\":[[[[[[[[[[[[1]]]]]]]]]]]]}", 400,
		    "JSON" },
		{ "POST", "/v1/jobs", "{\"change_id\":\"a\"}", 400,
		    "\"spec\" is missing" },
		{ "POST", "/v1/jobs",
		    "{\"change_id\":\"a\",\"spec\":{\"class_name\":\"c\","
		    "\"tasks\":0,\"cpu_milli\":1,\"mem_mb\":1}}",
		    400, "tasks" },
		{ "POST", "/v1/jobs",
		    "{\"change_id\":\"a\",\"spec\":{\"class_name\":\"c\","
		    "\"tasks\":-1,\"cpu_milli\":1,\"mem_mb\":1}}",
		    400, "whole number" },
		{ "POST", "/v1/jobs",
		    "{\"change_id\":\"a\",\"spec\":{\"class_name\":\"c\","
		    "\"tasks\":4294967296,\"cpu_milli\":1,\"mem_mb\":1}}",
		    400, "2^32" },
		{ "POST", "/v1/jobs",
		    "{\"change_id\":\"a b\",\"spec\":{\"class_name\":\"c\","
		    "\"tasks\":1,\"cpu_milli\":1,\"mem_mb\":1}}",
		    400, "change_id" },
		{ "POST", "/v1/jobs",
		    "{\"change_id\":\"a\",\"spec\":{\"class_name\":\"c\","
		    "\"tasks\":1,\"cpu_milli\":1.5,\"mem_mb\":1}}",
		    400, "whole number" },
		{ "POST", "/v1/workers/w!", announce, 400, "worker" },
		{ "POST", "/v1/workers/w1",
		    "{\"incarnation\":1,\"addr\":\"host:80\",\"cpu_milli\":1,"
		    "\"mem_mb\":1,\"accel\":0,\"slots\":1}",
		    400, "expected an IP address" },
		{ "POST", "/v1/workers/w1",
		    "{\"incarnation\":1,\"addr\":\"1.2.3.4:99999\","
		    "\"cpu_milli\":1,\"mem_mb\":1,\"accel\":0,\"slots\":1}",
		    400, "expected a port from 0 to 65535" },
		{ "POST", "/v1/workers/w1", "{\"name\":\"w2\"}", 400, "path" },
		{ "POST", "/v1/workers/w1/poll",
		    "{\"incarnation\":1,\"epoch\":1,\"events\":[{\"task\":1,"
		    "\"attempt\":1,\"kind\":\"DONE\"}]}",
		    400, "kind" },
		{ "POST", "/v1/workers/w1/poll",
		    "{\"incarnation\":1,\"epoch\":1,\"events\":[null]}", 400,
		    "an object" },
		{ "PUT", "/v1/classes",
		    "{\"change_id\":\"a\",\"expected_version\":1,\"classes\":"
		    "[{\"name\":\"c\",\"urgent\":true,\"weight\":5}]}",
		    403, "weight" },
		{ "PUT", "/v1/classes",
		    "{\"change_id\":\"a\",\"expected_version\":1,\"classes\":"
		    "[{\"name\":\"c\",\"urgent\":true,\"speed\":5}]}",
		    400, "\"speed\" is not known" },
		{ "PUT", "/v1/classes", "{\"change_id\":\"a\"}", 400,
		    "expected_version" },
		{ "PUT", "/v1/classes",
		    "{\"change_id\":\"a\",\"expected_version\":1,"
		    "\"version\":2}",
		    400, "version" },
		{ "GET", "/v1/jobs?limit=x", "", 400, "number" },
		{ "GET", "/v1/jobs?color=1", "", 400, "query" },
		{ "GET", "/v1/jobs/x", "", 400, "number" },
		{ "DELETE", "/v1/members/-1", "", 400, "replica" },
		{ "POST", "/v1/drain", "{\"worker\":1}", 400, "worker" },
	};
	for (const auto &c : cases) {
		EXPECT_NE(STATUS_OK, parse(c.method, c.target, c.body))
		    << c.method << " " << c.target << " " << c.body;
		EXPECT_EQ(c.http, q.http_status) << c.target << c.body;
		EXPECT_NE(nullptr, strstr(e.msg, c.part))
		    << c.target << " " << c.body << ": " << e.msg;
	}
}

/* Guards against a crash, or an error without status and message, on random
 * changes to valid documents. */
TEST_F(Api, FuzzedDocumentsGetAnError)
{
	static const char bytes[] = "{}[]\",:0129-.eE\\ntfu\x00\xff ";
	const std::string docs[] = { announce, poll_body };
	const char *targets[] = { "/v1/workers/w1", "/v1/workers/w1/poll" };
	struct rng r;
	rng_init(&r, 7);
	for (int round = 0; round < 20000; round++) {
		size_t which = rng_below(&r, 2);
		std::string b = docs[which];
		for (uint64_t n = 1 + rng_below(&r, 4); n > 0; n--) {
			size_t at = rng_below(&r, b.size());
			char c = bytes[rng_below(&r, sizeof(bytes) - 1)];
			if (rng_chance(&r, 0.5))
				b[at] = c;
			else if (rng_chance(&r, 0.5))
				b.insert(at, 1, c);
			else
				b.erase(at, 1 + rng_below(&r, 8));
			if (b.empty())
				b = " ";
		}
		enum status st = parse("POST", targets[which], b);
		if (st != STATUS_OK) {
			ASSERT_EQ(400, q.http_status);
			ASSERT_NE('\0', e.msg[0]);
		} else {
			/* An accepted op must survive packing. */
			std::string out(control__op__get_packed_size(q.op), 0);
			control__op__pack(q.op, (uint8_t *)out.data());
		}
		talloc_free_children(ctx);
	}
}

/* Guards against a result that loses its status, message or version, and
 * against a poll without its list of orders. */
TEST_F(Api, ResultsKeepStatusMessageAndVersion)
{
	Control__OpResult r = CONTROL__OP_RESULT__INIT;
	int http = 0;
	r.status = STATUS_CONFLICT;
	r.message = (char *)"a \"newer\" version";
	r.has_version = 1;
	r.version = 12;
	struct str s = api_render(ctx, API_ROUTE_OTHER, &r, &http);
	EXPECT_EQ(409, http);
	EXPECT_STREQ("{\"status\":\"CONFLICT\",\"message\":"
		     "\"a \\\"newer\\\" version\",\"version\":12}",
	    s.p);
	Control__OpResult ok = CONTROL__OP_RESULT__INIT;
	s = api_render(ctx, API_ROUTE_POLL, &ok, &http);
	EXPECT_EQ(200, http);
	EXPECT_STREQ("{\"status\":\"OK\",\"orders\":[]}", s.p);
}

/* Guards against slots that two threads use at once, and against a thread's
 * share that shrinks while the grant grows. */
TEST(Vsplit, SharesAddUpAndNeverShrink)
{
	for (unsigned n = 1; n <= 5; n++) {
		for (uint64_t epoch = 0; epoch < 7; epoch++) {
			std::vector<unsigned> before(n, 0);
			for (unsigned total = 0; total < 40; total++) {
				unsigned sum = 0;
				for (unsigned i = 0; i < n; i++) {
					unsigned s =
					    vsplit_slots(epoch, total, i, n);
					EXPECT_GE(s, before[i]);
					before[i] = s;
					sum += s;
				}
				EXPECT_EQ(total, sum);
			}
		}
	}
}
