#include <gtest/gtest.h>

#include "base/ini.h"

#define NELEM(a) (sizeof(a) / sizeof((a)[0]))

struct sample {
	struct str addr;
	int64_t wait_ms;
	int64_t size;
	bool on;
};

static const struct ini_field fields[] = {
	{ "addr", INI_ADDR, offsetof(struct sample, addr), NULL, 0, 0,
	    "IP:port" },
	{ "wait", INI_DURATION, offsetof(struct sample, wait_ms), "2s", 1,
	    60000, "a duration" },
	{ "size", INI_SIZE, offsetof(struct sample, size), "1MiB", 0, 1 << 30,
	    "a size" },
	{ "on", INI_BOOL, offsetof(struct sample, on), "true", 0, 0, "" },
};
static const struct ini_denied denied[] = { { "weight",
    "weights are not settings" } };
static const struct ini_group groups[] = { { "item *", fields, NELEM(fields),
    denied, NELEM(denied) } };

class Ini : public ::testing::Test {
      protected:
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct err e = {};
	struct sample s = {};

	enum status load(const char *text)
	{
		struct ini *ini =
		    ini_parse(ctx, "f.ini", str_from(text), groups, 1, &e);
		if (ini == NULL)
			return e.status;
		return ini_decode(ini, ctx, &groups[0], 0, &s, &e);
	}
	~Ini()
	{
		talloc_free(ctx);
	}
};

TEST_F(Ini, DecodesValuesAndDefaults)
{
	ASSERT_EQ(STATUS_OK, load("[item a]\naddr=127.0.0.1:80\nwait=250ms\n"));
	EXPECT_EQ(250, s.wait_ms);
	EXPECT_EQ(1 << 20, s.size);
	EXPECT_TRUE(s.on);
}

/* Guards against starting a daemon with a partly decoded configuration. */
TEST_F(Ini, ReportsErrorsWithFileGroupAndKey)
{
	const struct {
		const char *text, *expect;
	} cases[] = {
		{ "[item a]\nwait=1s\n", "[item a] addr: missing" },
		{ "[item a]\naddr=host:80\n", "IP address" },
		{ "[item a]\naddr=1.2.3.4:0\n", "IP:port" },
		{ "[item a]\naddr=1.2.3.4:1\nwait=5\n", "a duration" },
		{ "[item a]\naddr=1.2.3.4:1\nwait=2h\n", "expected 1 to" },
		{ "[item a]\naddr=1.2.3.4:1\nsize=5parsec\n", "a size" },
		{ "[item a]\naddr=1.2.3.4:1\non=yes\n", "true or false" },
		{ "[item a]\naddr=1.2.3.4:1\nwat=1\n",
		    "wat: unknown key; expected one of addr, wait" },
		{ "[thing]\naddr=1.2.3.4:1\n",
		    "[thing]: unknown group; expected one of [item *]" },
		{ "[item a]\naddr=1.2.3.4:1\naddr=1.2.3.4:2\n", "duplicate" },
		{ "[item a]\naddr=1.2.3.4:1\n[item a]\nwait=1s\n",
		    "duplicate group" },
		{ "[item a]\naddr=1.2.3.4:1\nweight=3\n",
		    "weights are not settings" },
		{ "no group\n", "f.ini" },
		{ "[item a]\nsize=99999999999999999999GiB\naddr=1.1.1.1:1\n",
		    "a size" },
	};

	for (const auto &c : cases) {
		err_clear(&e);
		EXPECT_NE(STATUS_OK, load(c.text)) << c.text;
		EXPECT_NE(nullptr, strstr(e.msg, c.expect))
		    << c.text << " gave: " << e.msg;
		EXPECT_NE(nullptr, strstr(e.msg, "f.ini")) << e.msg;
	}
}
