#include <gtest/gtest.h>

#include <cstring>

#include "cli/cls.h"

class ClassFile : public ::testing::Test {
      protected:
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct err e = {};

	struct cls_file *parse(const char *text)
	{
		err_clear(&e);
		return cls_parse(ctx, "c.ini", str_from(text), &e);
	}
	~ClassFile()
	{
		talloc_free(ctx);
	}
};

TEST_F(ClassFile, AcceptsTargets)
{
	struct cls_file *f = parse("[team a]\ncpu = 1.5\nmemory = 2GiB\n"
				   "[class check]\nkind = urgent\n"
				   "answer_percentile = 99.5\n"
				   "answer_within = 250ms\nteam = a\n"
				   "[class report]\nkind = batch\n"
				   "finish_per_hour = 600\n");
	ASSERT_NE(nullptr, f) << e.msg;
	EXPECT_STREQ("{ \"change_id\": \"x\", \"expected_version\": 4, "
		     "\"classes\": [ { \"name\": \"check\", \"urgent\": true, "
		     "\"percentile_x10\": 995, \"bound_ms\": 250, "
		     "\"timeout_ms\": 10000, \"team\": \"a\" }, "
		     "{ \"name\": \"report\", \"urgent\": false, "
		     "\"timeout_ms\": 10000, \"finish_per_hour\": 600 } ], "
		     "\"teams\": [ { \"name\": \"a\", \"cpu_milli\": 1500, "
		     "\"mem_mb\": 2048 } ] }",
	    cls_to_json(ctx, f, "x", 4));
}

/* Guards against accepting any input besides targets. */
TEST_F(ClassFile, RefusesWeightsPinsAndAddresses)
{
	for (const char *key :
	    { "weight", "pin", "address", "priority", "instance", "rack" }) {
		std::string text = std::string("[class a]\nkind = batch\n"
					       "finish_per_hour = 1\n") +
		    key + " = 1\n";
		EXPECT_EQ(nullptr, parse(text.c_str()));
		EXPECT_EQ(STATUS_REFUSED, e.status) << key;
		EXPECT_NE(nullptr, strstr(e.msg, "state an outcome")) << e.msg;
	}
}

/* Guards against accepting a class with a missing or impossible target. */
TEST_F(ClassFile, RefusesIncompleteTargets)
{
	const char *bad[] = {
		"[class a]\nkind = urgent\n",
		"[class a]\nkind = batch\n",
		"[class a]\nkind = fast\n",
		"[class A]\nkind = batch\nfinish_per_hour = 1\n",
		"[class a]\nkind = batch\nfinish_per_hour = 1\nteam = t\n",
		"[class a]\nkind = urgent\nanswer_percentile = 99\n"
		"answer_within = 2s\ngive_up_after = 1s\n",
		"[class a]\nkind = urgent\nanswer_percentile = 101\n"
		"answer_within = 2s\n",
	};

	for (const char *text : bad) {
		EXPECT_EQ(nullptr, parse(text)) << text;
		EXPECT_NE(nullptr, strstr(e.msg, "c.ini: [class")) << e.msg;
	}
}
