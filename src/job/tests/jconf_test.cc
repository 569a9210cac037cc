#include <algorithm>
#include <gtest/gtest.h>
#include <string>

#include "job/jconf.h"
#include "platform/pf.h"

namespace {

/* Decodes and checks a configuration with one queue. */
struct checked {
	TALLOC_CTX *ctx = talloc_new(NULL);
	Job__Config c;
	struct jconf_limits limits;
	struct jconf_report report;

	checked(const std::string &queue, const std::string &service,
	    const std::string &limit = "", int version = 7)
	{
		std::string text = "{\"version\":" + std::to_string(version) +
		    ",\"routes\":[{\"name\":\"q\",\"service\":\"s\"" + queue +
		    "}],\"services\":[{\"name\":\"s\"" + service +
		    "}],\"limits\":{" + limit + "}}";
		char *kept = talloc_strdup(ctx, text.c_str());
		struct jconf_bounds bounds = { 1000, 64 };
		struct err e;

		err_clear(&e);
		EXPECT_EQ(
		    STATUS_OK, pf_decode_config(ctx, str_from(kept), &c, &e))
		    << e.msg;
		EXPECT_EQ(STATUS_OK,
		    pf_decode_limits(ctx, str_from(kept), &limits, &e));
		jconf_report_init(&report, ctx);
		jconf_check(&report, &c, &limits, &bounds);
	}
	~checked()
	{
		talloc_free(ctx);
	}
	size_t count(enum jconf_level level, const char *part) const
	{
		return (size_t)std::count_if(report.v, report.v + report.n,
		    [=](const struct jconf_finding &f) {
			    return f.level == level &&
				strstr(f.text, part) != NULL;
		    });
	}
};

const char PLACE[] = ",\"host\":\"h.example\",\"pathPrefix\":\"/a/\"";
const char TIMES[] = ",\"timeoutMs\":3000,\"targetLatencyMs\":300,"
		     "\"stretch\":1.5";

/* Guards against findings for a configuration that is as it should be. */
TEST(JobConf, ASoundConfigurationHasNoFindings)
{
	checked k(std::string(PLACE) + TIMES, "", "\"maxBodyBytes\":1000");
	EXPECT_EQ(0U, k.report.n);
}

/* Guards against queues that no request can reach. */
TEST(JobConf, FindsQueuesThatCanNeverMatch)
{
	std::string t(TIMES);
	for (const char *place :
	    { ",\"host\":\"h.example:80\",\"pathPrefix\":\"/a/\"",
		",\"host\":\"h.example\",\"pathPrefix\":\"a/\"",
		",\"host\":\"h.example\",\"pathPrefix\":\"/a?b/\"",
		",\"host\":\"h.example\",\"pathPrefix\":\"/a b/\"",
		",\"host\":\"h.example\",\"pathPrefix\":\"/"
		"01234567890123456789012345678901234567890123456789/\"" }) {
		checked k(place + t, "");
		EXPECT_EQ(1U, k.count(JCONF_ERROR, "can never match")) << place;
		EXPECT_EQ(1U, k.report.nerrors) << place;
	}
}

/* Guards against limits that contradict each other and are sent unnoticed. */
TEST(JobConf, FindsLimitsThatContradictEachOther)
{
	checked late(
	    std::string(PLACE) + ",\"timeoutMs\":3000,\"targetLatencyMs\":3001",
	    "");
	EXPECT_EQ(1U, late.count(JCONF_WARNING, "beyond its timeout"));
	checked brief(
	    std::string(PLACE) + ",\"timeoutMs\":1,\"stretch\":0.9", "");
	EXPECT_EQ(1U, brief.count(JCONF_WARNING, "critical path"));
	checked ticket(std::string(PLACE) + TIMES +
		",\"advice\":{\"decideMs\":90,\"eachMs\":10,\"validMs\":100}",
	    "");
	EXPECT_EQ(1U, ticket.count(JCONF_WARNING, "no start"));
	checked body(std::string(PLACE) + TIMES, "", "\"maxBodyBytes\":1001");
	EXPECT_EQ(1U, body.count(JCONF_WARNING, "entry instances"));
	checked idle(std::string(PLACE) + TIMES, "",
	    "\"headerTimeoutMs\":16000,\"idleTimeoutMs\":15000");
	EXPECT_EQ(1U, idle.count(JCONF_WARNING, "headers may take"));
	checked off(std::string(PLACE) + TIMES, ",\"spare\":true");
	EXPECT_EQ(1U, off.count(JCONF_WARNING, "are off"));
}

/* Guards against a change that the comparison doesn't show, and against a
 * version that the replicas would ignore. */
TEST(JobConf, ShowsWhatDiffersFromTheVersionInForce)
{
	checked old(std::string(PLACE) + TIMES, "");
	checked k(",\"host\":\"g.example\",\"pathPrefix\":\"/b/\","
		  "\"timeoutMs\":3000,\"targetLatencyMs\":400,\"stretch\":2,"
		  "\"maxAttempts\":4,\"priority\":1",
	    ",\"enforceCapacity\":true", "\"maxBodyBytes\":9");
	jconf_compare(&k.report, &old.c, &k.c);
	EXPECT_EQ(8U, k.count(JCONF_CHANGE, " becomes "));
	EXPECT_EQ(1U, k.report.nerrors);
	checked higher(std::string(PLACE) + TIMES, "", "", 8);
	jconf_compare(&higher.report, &old.c, &higher.c);
	EXPECT_EQ(0U, higher.report.n);
	higher.c.n_queues = higher.c.n_services = 0;
	jconf_compare(&higher.report, &old.c, &higher.c);
	EXPECT_EQ(2U, higher.count(JCONF_CHANGE, "removed"));
}

} // namespace
