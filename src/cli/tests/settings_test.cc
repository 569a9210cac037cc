#include <gtest/gtest.h>

#include <cstring>

#include "base/rng.h"
#include "cli/settings.h"

static const char GOOD[] = "[node]\ncluster = tartu\ninstance = 2\n"
			   "failure_domain = a\nhttp = 127.0.0.1:8080\n"
			   "peer = 127.0.0.1:9080\n[peer 1]\n"
			   "address = 127.0.0.1:9081\n";

class Settings : public ::testing::Test {
      protected:
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct err e = {};
	struct set s = {};

	enum status parse(const std::string &text)
	{
		err_clear(&e);
		return set_parse(
		    ctx, "s.ini", str_mem(text.data(), text.size()), &s, &e);
	}
	~Settings()
	{
		talloc_free(ctx);
	}
};

TEST_F(Settings, TakesACompleteFile)
{
	ASSERT_EQ(STATUS_OK, parse(GOOD)) << e.msg;
	EXPECT_EQ(2u, s.node.instance);
	EXPECT_EQ(1u, s.node.npeers);
	EXPECT_EQ(3000, s.node.config_freshness_ms);
	EXPECT_EQ(0u, s.node.data_dir.len);
}

/* Guards against an instance that runs with settings nobody meant. */
TEST_F(Settings, RefusesFaultsAcrossKeys)
{
	const char *bad[] = {
		"[control]\nreplicas = 2\n",
		"[control]\nworker_poll = 5s\n",
		"[control]\nconfig_freshness = 8s\n",
		"[limits]\nrequest_body = 1TiB\n",
		"[peer x]\naddress = 127.0.0.1:1\n",
		"[peer 3]\naddress = localhost:1\n",
		"[tuning]\nx = 1\n",
	};

	for (const char *text : bad) {
		EXPECT_NE(STATUS_OK, parse(std::string(GOOD) + text)) << text;
		EXPECT_NE(nullptr, strstr(e.msg, "s.ini: [")) << e.msg;
	}
	EXPECT_NE(STATUS_OK, parse("[node]\ncluster = x\n"));
}

/* Guards against a crash or a hang on damaged settings files. */
TEST_F(Settings, SurvivesRandomDamage)
{
	struct rng r;
	int accepted = 0;

	rng_init(&r, 7);
	for (int i = 0; i < 5000; i++) {
		std::string text = GOOD;
		unsigned n = 1 + (unsigned)rng_below(&r, 4);
		while (n-- > 0)
			text[rng_below(&r, text.size())] =
			    (char)rng_below(&r, 256);
		if (rng_chance(&r, 0.2))
			text.resize(rng_below(&r, text.size()));
		if (parse(text) == STATUS_OK)
			accepted++;
		else
			EXPECT_NE('\0', e.msg[0]);
	}
	printf("rounds 5000 damaged settings, %d still valid\n", accepted);
}
