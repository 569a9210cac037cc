#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>
#include <string>

#include "base/hist.h"
#include "cli/trace.h"

namespace {

/* Guards against a trace that omits the log of an instance, prints lines out
 * of order, or prints lines of other jobs and workers. */
TEST(Trace, PutsTheLinesOfAJobInOrder)
{
	std::string dir = ::testing::TempDir();
	std::string a = dir + "trace-a.log", b = dir + "trace-b.log";
	std::ofstream(a)
	    << "2026-01-01T00:00:02.000Z info job event=assign job=00aa "
	       "worker=i-1\n"
	    << "2026-01-01T00:00:04.000Z notice job event=worker_lost "
	       "worker=i-1\n"
	    << "2026-01-01T00:00:04.500Z notice job event=worker_lost "
	       "worker=i-2\n"
	    << "no time job=00aa\n";
	std::ofstream(b)
	    << "node-1 2026-01-01T00:00:05.000Z info gate event=answer "
	       "job=00aa\n"
	    << "2026-01-01T00:00:01.000Z info core event=accepted job=00aa\n"
	    << "2026-01-01T00:00:03.000Z info core event=accepted job=00bb\n";
	char *args[] = { (char *)"00aa", a.data(), b.data(), NULL };
	struct cmd cmd = {};
	struct cmd_options opt = {};
	::testing::internal::CaptureStdout();
	EXPECT_EQ(EXIT_DONE, trace_run(&cmd, &opt, args));
	std::string out = ::testing::internal::GetCapturedStdout();
	size_t accepted = out.find("accepted job=00aa");
	size_t assign = out.find("assign");
	size_t answer = out.find("answer");
	EXPECT_LT(accepted, assign);
	EXPECT_LT(assign, answer);
	EXPECT_NE(std::string::npos, out.find("- 2026-01-01T00:00:04.000Z"));
	EXPECT_EQ(std::string::npos, out.find("i-2"));
	EXPECT_EQ(std::string::npos, out.find("00bb"));
	args[0] = (char *)"00cc";
	EXPECT_EQ(EXIT_REFUSED, trace_run(&cmd, &opt, args));
	std::remove(a.c_str());
	std::remove(b.c_str());
}

/* Guards against durations that are counted in the wrong bucket. */
TEST(Hist, CountsDurationsInTheirBuckets)
{
	struct hist h;
	hist_init(&h);
	for (int64_t ms : { -5, 0, 1, 2, 3, 5, 6, 40000 })
		hist_add(&h, ms);
	EXPECT_EQ(8U, h.count);
	EXPECT_EQ(3U, h.buckets[0]);
	EXPECT_EQ(1U, h.buckets[1]);
	EXPECT_EQ(2U, h.buckets[2]);
	EXPECT_EQ(1U, h.buckets[HIST_BOUNDS]);
	EXPECT_EQ(2, hist_quantile_ms(&h, 0.5));
	EXPECT_EQ(-1, hist_quantile_ms(&h, 1));
}

} // namespace
