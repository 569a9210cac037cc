#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

#include "job/jcall.h"
#include "job/jst.h"

namespace {

/* A valid call of any kind. */
struct ValidCall {
	Job__Call c = JOB__CALL__INIT;
	Job__Spec spec = JOB__SPEC__INIT;
	Job__Step step[2] = { JOB__STEP__INIT, JOB__STEP__INIT };
	Job__Step *steps[2] = { &step[0], &step[1] };
	Job__Config config = JOB__CONFIG__INIT;
	Job__Worker worker = JOB__WORKER__INIT;
	Job__Wave wave = JOB__WAVE__INIT;
	Job__Evacuation evacuation = JOB__EVACUATION__INIT;
	std::string long_name = std::string(JCALL_DOMAIN_BYTES_MAX + 1, 'z');
	uint32_t after = 0;
	char text[2] = "x";

	explicit ValidCall(int kind)
	{
		c.kind = (Job__CallKind)kind;
		c.host = c.path = text;
		spec.text = text;
		spec.steps = steps;
		spec.n_steps = 2;
		step[0].count = step[1].count = 3;
		step[1].after = &after;
		step[1].n_after = 1;
		c.spec = &spec;
		c.config = &config;
		c.worker = &worker;
		c.wave = &wave;
		evacuation.domain = text;
		c.evacuation = &evacuation;
	}
	/* Checks the call and returns the status. */
	enum status check()
	{
		struct err e;
		err_clear(&e);
		return jcall_check(&c, &e);
	}
};

/* Guards against a call without a field that its kind needs, which crashed the
 * leader or each replica that applied it. */
TEST(JobCall, DamagedCallsAreRefused)
{
	for (int k = 0; k <= JOB__CALL_KIND__WAVE_GET; k++)
		EXPECT_EQ(STATUS_OK, ValidCall(k).check()) << k;
	EXPECT_EQ(STATUS_INVALID, ValidCall(77).check());
	std::vector<std::pair<int, std::function<void(ValidCall &)>>> faults = {
		{ JOB__CALL_KIND__SUBMIT,
		    [](ValidCall &w) { w.c.spec = NULL; } },
		{ JOB__CALL_KIND__SUBMIT,
		    [](ValidCall &w) { w.c.host = NULL; } },
		{ JOB__CALL_KIND__SUBMIT,
		    [](ValidCall &w) { w.spec.text = NULL; } },
		{ JOB__CALL_KIND__SUBMIT,
		    [](ValidCall &w) { w.spec.n_steps = 0; } },
		{ JOB__CALL_KIND__SUBMIT,
		    [](ValidCall &w) { w.step[1].count = 0; } },
		{ JOB__CALL_KIND__SUBMIT, [](ValidCall &w) { w.after = 1; } },
		{ JOB__CALL_KIND__SUBMIT,
		    [](ValidCall &w) { w.step[0].count = UINT32_MAX; } },
		{ JOB__CALL_KIND__SUBMIT,
		    [](ValidCall &w) {
			    w.spec.repeat = JST_TASKS_MAX / 6 + 1;
		    } },
		{ JOB__CALL_KIND__STATUS,
		    [](ValidCall &w) { w.c.path = NULL; } },
		{ JOB__CALL_KIND__CANCEL,
		    [](ValidCall &w) { w.c.path = NULL; } },
		{ JOB__CALL_KIND__COUNT,
		    [](ValidCall &w) { w.c.host = NULL; } },
		{ JOB__CALL_KIND__CONFIG_PUT,
		    [](ValidCall &w) { w.c.config = NULL; } },
		{ JOB__CALL_KIND__BEAT,
		    [](ValidCall &w) { w.c.worker = NULL; } },
		{ JOB__CALL_KIND__LEAVE,
		    [](ValidCall &w) { w.c.worker = NULL; } },
		{ JOB__CALL_KIND__WAVE_PUT,
		    [](ValidCall &w) { w.c.wave = NULL; } },
		{ JOB__CALL_KIND__WAVE_GET,
		    [](ValidCall &w) { w.c.wave = NULL; } },
		{ JOB__CALL_KIND__EVACUATE,
		    [](ValidCall &w) { w.c.evacuation = NULL; } },
		{ JOB__CALL_KIND__EVACUATE,
		    [](ValidCall &w) { w.evacuation.domain = NULL; } },
		{ JOB__CALL_KIND__EVACUATE,
		    [](ValidCall &w) { w.evacuation.domain = &w.text[1]; } },
		{ JOB__CALL_KIND__EVACUATE,
		    [](ValidCall &w) {
			    w.evacuation.domain = w.long_name.data();
		    } },
	};
	for (size_t i = 0; i < faults.size(); i++) {
		ValidCall w(faults[i].first);
		faults[i].second(w);
		EXPECT_EQ(STATUS_INVALID, w.check()) << i;
	}
}

/* Guards against a cancel without effect, or a refused submission, that is
 * answered as done. */
TEST(JobCall, TheAnswerTellsWhatACommandDid)
{
	Job__Command c = JOB__COMMAND__INIT;
	Job__Cancel cancel = JOB__CANCEL__INIT;
	Job__Submit submit = JOB__SUBMIT__INIT;
	c.cancel = &cancel;
	EXPECT_EQ(JOB__OUTCOME__OK, jcall_outcome(&c, STATUS_OK));
	EXPECT_EQ(JOB__OUTCOME__NO_JOB, jcall_outcome(&c, STATUS_NOT_FOUND));
	EXPECT_EQ(JOB__OUTCOME__BUSY, jcall_outcome(&c, STATUS_FULL));
	c.cancel = NULL;
	c.submit = &submit;
	EXPECT_EQ(JOB__OUTCOME__OK, jcall_outcome(&c, STATUS_EXISTS));
	EXPECT_EQ(JOB__OUTCOME__OK, jcall_outcome(&c, STATUS_STALE));
	EXPECT_EQ(JOB__OUTCOME__NOT_FOUND, jcall_outcome(&c, STATUS_NOT_FOUND));
}

/* Guards against an order that is refused because it repeats another one: the
 * operator then gives up. */
TEST(JobCall, ARepeatedOrderSucceeds)
{
	Job__Command c = JOB__COMMAND__INIT;
	Job__Evacuation m = JOB__EVACUATION__INIT;
	c.evacuation = &m;
	EXPECT_EQ(JOB__OUTCOME__OK, jcall_outcome(&c, STATUS_EXISTS));
	EXPECT_EQ(JOB__OUTCOME__OK, jcall_outcome(&c, STATUS_NOT_FOUND));
	EXPECT_EQ(JOB__OUTCOME__BUSY, jcall_outcome(&c, STATUS_FULL));
}

} /* namespace */
