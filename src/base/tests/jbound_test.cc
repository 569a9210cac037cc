#include <gtest/gtest.h>
#include <json-c/json.h>
#include <rapidcheck/gtest.h>
#include <string>

#include "base/jbound.h"

namespace {

struct jbound
count(const std::string &s)
{
	return jbound_count(str_mem(s.data(), s.size()));
}

/* Adds what a parsed document consists of to n. */
void
walk(struct json_object *o, struct jbound *n)
{
	n->values++;
	if (json_object_is_type(o, json_type_array)) {
		n->containers++;
		for (size_t i = 0; i < json_object_array_length(o); i++)
			walk(json_object_array_get_idx(o, i), n);
	} else if (json_object_is_type(o, json_type_object)) {
		n->containers++;
		json_object_object_foreach(o, key, v)
		{
			n->values += key != NULL;
			walk(v, n);
		}
	}
}

/* Guards against objects built from a document that has more of them than was
 * counted: brackets in strings, escaped quotation marks, and random bytes. */
RC_GTEST_PROP(JBound, CountsAtLeastWhatTheParserBuilds, ())
{
	static const std::string pieces[] = { "{", "}", "[", "]", ",", ":",
		"\"a\"", "\"", "\\", "1", " ", "/", "*", "'", "null", "{}",
		"[1,2]", "{\"k\":[]}", "\"\\\"[\"", "[[", "]]", "\"x\":" };
	std::string s;
	for (size_t i : *rc::gen::container<std::vector<size_t>>(
		 rc::gen::inRange<size_t>(0, std::size(pieces))))
		s += pieces[i];
	struct json_tokener *t = json_tokener_new_ex(32);
	json_tokener_set_flags(t, JSON_TOKENER_STRICT);
	struct json_object *o =
	    json_tokener_parse_ex(t, s.data(), (int)s.size());
	json_tokener_free(t);
	if (o == NULL)
		return;
	struct jbound built = { 0, 0 }, counted = count(s);
	walk(o, &built);
	json_object_put(o);
	RC_ASSERT(counted.containers >= built.containers);
	RC_ASSERT(counted.values >= built.values);
}

/* Guards against a body of legal size whose objects take a hundred times as
 * much memory. */
TEST(JBound, RefusesManyShortFields)
{
	const struct jbound max = { 10, 100 };
	struct err e;
	std::string many = "{\"a\":[0";
	for (int i = 0; i < 96; i++)
		many += ",0";
	err_clear(&e);
	EXPECT_TRUE(jbound_check(str_from((many + "]}").c_str()), &max, &e));
	many += ",0,0]}";
	EXPECT_FALSE(jbound_check(str_from(many.c_str()), &max, &e));
	EXPECT_EQ(STATUS_INVALID, e.status);
	EXPECT_FALSE(jbound_check(
	    str_from("[[],[],[],[],[],[],[],[],[],[]]"), &max, &e));
}

/* Guards against a comment that hides the rest from the count, and against
 * brackets in strings that are counted. */
TEST(JBound, KnowsStringsFromTheRest)
{
	EXPECT_EQ(0U, count("\"[{,:\\\"[{,:\"").containers);
	EXPECT_EQ(1U, count("\"[{,:\\\"[{,:\"").values);
	EXPECT_EQ(SIZE_MAX, count("[/*\"*/[],[]]").values);
}

} // namespace
