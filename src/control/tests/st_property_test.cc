#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include "control/pb.h"
#include "control/st.h"

namespace {

/* The seed is fixed, so that every run has the same outcome. */
const int params = setenv("RC_PARAMS", "seed=7 max_success=400", 0);

struct Change {
	int id, content, expected;
	bool restore; /* restore a snapshot before the change */
};

void
showValue(const Change &c, std::ostream &os)
{
	os << "{id " << c.id << " content " << c.content << " expected "
	   << c.expected << " restore " << c.restore << "}";
}

struct Result {
	int status;
	uint64_t version;
};

struct Oracle {
	uint64_t version = 0;
	std::map<int, std::pair<std::pair<int, int>, Result>> first;

	Result apply(const Change &c)
	{
		auto body = std::make_pair(c.content, c.expected);
		auto seen = first.find(c.id);
		if (seen != first.end()) {
			if (seen->second.first == body)
				return seen->second.second;
			return { STATUS_INVALID, version };
		}
		Result r = { STATUS_CONFLICT, version };
		if ((uint64_t)c.expected == version)
			r = { STATUS_OK, ++version };
		first[c.id] = { body, r };
		return r;
	}
};

Result
apply(struct st *st, uint64_t index, const Change &c)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	Control__Command cmd = CONTROL__COMMAND__INIT;
	Control__ConfigSet set = CONTROL__CONFIG_SET__INIT;
	Control__Config cfg = CONTROL__CONFIG__INIT;
	Control__Class cls = CONTROL__CLASS__INIT;
	Control__Class *list[] = { &cls };
	std::string id = "c" + std::to_string(c.id);
	std::string name = "class" + std::to_string(c.content);

	cls.name = &name[0];
	cfg.classes = list;
	cfg.n_classes = 1;
	set.change_id = &id[0];
	set.expected_version = (uint64_t)c.expected;
	set.config = &cfg;
	cmd.config_set = &set;
	const struct st_result *r = st_apply(st, index, pb_pack(ctx, &cmd));
	Result out = { r->status, r->version };
	talloc_free(ctx);
	return out;
}

} // namespace

/*
 * Guards against a change that is applied twice, a result that differs on a
 * resend, and a version that decreases, also across snapshots.
 */
TEST(StProperty, ChangesAgreeWithAnOracle)
{
	EXPECT_EQ(0, params);
	EXPECT_TRUE(rc::check("configuration changes", [] {
		auto changes = *rc::gen::container<std::vector<Change>>(
		    rc::gen::build<Change>(
			rc::gen::set(&Change::id, rc::gen::inRange(0, 12)),
			rc::gen::set(&Change::content, rc::gen::inRange(0, 3)),
			rc::gen::set(&Change::expected, rc::gen::inRange(0, 6)),
			rc::gen::set(&Change::restore,
			    rc::gen::weightedElement<bool>(
				{ { 1, true }, { 4, false } }))));
		struct st *st = st_new(NULL);
		Oracle oracle;
		uint64_t index = 0, last = 0;

		for (const Change &c : changes) {
			if (c.restore) {
				struct err e;
				struct str snap = st_snapshot(st, st);
				struct st *fresh = st_new(NULL);
				RC_ASSERT(
				    st_restore(fresh, snap, &e) == STATUS_OK);
				talloc_free(st);
				st = fresh;
			}
			Result got = apply(st, ++index, c);
			Result want = oracle.apply(c);
			RC_ASSERT(got.status == want.status);
			RC_ASSERT(got.version == want.version);
			RC_ASSERT(st_config(st)->version >= last);
			last = st_config(st)->version;
			RC_ASSERT(last == oracle.version);
		}
		talloc_free(st);
	}));
}
