#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>
#include <string>

#include "node/inst.h"

namespace {

struct fixture {
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct inst in = {};
	struct err e = {};
	~fixture()
	{
		talloc_free(ctx);
	}
	enum status load(const std::string &text)
	{
		std::string path = ::testing::TempDir() + "inst-test.ini";
		std::ofstream(path) << text;
		err_clear(&e);
		enum status st = inst_load(ctx, path.c_str(), &in, &e);
		std::remove(path.c_str());
		return st;
	}
};

const std::string good = "[instance]\nname = a\nip = 10.1.0.16\n"
			 "domain = z\npeer_port = 7720\n"
			 "seeds = 10.1.0.16:8166,10.2.0.32:8166\n"
			 "control = 10.1.0.16:8166\n";

/* Guards against an instance that uses the number or port of another one. */
TEST(Inst, ReadsAddressesAsNumbers)
{
	fixture f;
	ASSERT_EQ(STATUS_OK, f.load(good)) << f.e.msg;
	EXPECT_EQ(0x0a010010U, f.in.instance);
	ASSERT_EQ(2U, f.in.nseeds);
	EXPECT_EQ(0x0a020020U, f.in.seed[1]);
	EXPECT_EQ(8166, f.in.control_port);
	EXPECT_TRUE(
	    str_eq_c(inst_addr(f.ctx, f.in.seed[1], 7720), "10.2.0.32:7720"));
}

/* Guards against an instance without the limits that its settings name. */
TEST(Inst, ReadsLimits)
{
	fixture f;
	ASSERT_EQ(
	    STATUS_OK, f.load(good + "memory = 160\ndescriptors = 4100\n"))
	    << f.e.msg;
	EXPECT_EQ(160, f.in.memory_mb);
	EXPECT_EQ(4100, f.in.descriptors);
	ASSERT_EQ(STATUS_OK, f.load(good));
	EXPECT_EQ(0, f.in.memory_mb);
}

/* Guards against an instance that starts with invalid settings. */
TEST(Inst, RefusesFaultySettings)
{
	fixture f;
	EXPECT_EQ(STATUS_INVALID, f.load(good + "unknown = 1\n"));
	EXPECT_EQ(STATUS_INVALID, f.load(good + "tolerate = 99\n"));
	EXPECT_EQ(STATUS_INVALID, f.load(good + "memory = -1\n"));
	EXPECT_EQ(STATUS_INVALID, f.load(good + "cloud_orders = many\n"));
	/* The platform writes rates with a fraction. */
	ASSERT_EQ(STATUS_OK, f.load(good + "cloud_orders = 60.0\n"));
	EXPECT_EQ(60.0, f.in.cloud_orders);
	EXPECT_EQ(STATUS_INVALID, f.load(good + "lookahead = true\n"));
	ASSERT_EQ(STATUS_OK, f.load(good));
	EXPECT_FALSE(f.in.lookahead);
	/* Not every deployment has the service. */
	EXPECT_EQ(0U, f.in.advice.len);
	ASSERT_EQ(STATUS_OK, f.load(good + "advice = 10.0.0.9:80\n"));
	EXPECT_TRUE(str_eq_c(f.in.advice, "10.0.0.9:80"));
	ASSERT_EQ(STATUS_OK, f.load(good + "lookahead = on\n"));
	EXPECT_TRUE(f.in.lookahead);
	std::string bad = good;
	bad.replace(bad.find("10.2.0.32"), 9, "somewhere");
	EXPECT_EQ(STATUS_INVALID, f.load(bad));
	EXPECT_NE(std::string::npos, std::string(f.e.msg).find("seeds"));
	EXPECT_EQ(STATUS_INVALID, f.load("[instance]\nname = a\n"));
}

} // namespace
