#include <gtest/gtest.h>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/rng.h"
#include "placement/sched.h"

namespace {

/* A scheduler and a clock that the test controls. */
struct fixture {
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct sched *s;
	struct sched_acts acts = {};
	struct timespec now = { 100, 0 };

	explicit fixture(
	    bool learning = false, bool intf = false, bool targets = false)
	{
		struct sched_conf c = {};
		c.seed = 1;
		c.learning = learning;
		c.interference = intf;
		c.targets = targets;
		c.candidates = 8;
		s = sched_new(ctx, &c, now);
	}
	~fixture()
	{
		talloc_free(acts.v);
		talloc_free(ctx);
	}
	/* Passes an event; its actions are left in acts. */
	enum status step(const struct sched_ev &ev)
	{
		acts.n = 0;
		return sched_step(s, now, &ev, &acts);
	}
	/* Moves the clock on and ticks the scheduler. */
	void tick(int64_t ms)
	{
		struct sched_ev ev = {};
		now = clk_add_ms(now, ms);
		ev.kind = SCHED_EV_TICK;
		step(ev);
	}
	/* Adds a worker. */
	void worker(uint64_t epoch, struct sched_res cap)
	{
		struct sched_ev ev = {};
		std::string name = "w" + std::to_string(epoch);
		ev.kind = SCHED_EV_WORKER_UP;
		ev.u.worker.epoch = epoch;
		ev.u.worker.name = str_from(name.c_str());
		ev.u.worker.capacity = cap;
		ev.u.worker.rack = str_from("r1");
		ev.u.worker.domain = str_from("d1");
		ASSERT_EQ(STATUS_OK, step(ev));
	}
	/* Configures a class. */
	void klass(const char *name, bool urgent, const char *team = "t")
	{
		struct sched_ev ev = {};
		ev.kind = SCHED_EV_CLASS_SET;
		ev.u.cls.name = str_from(name);
		ev.u.cls.urgent = urgent;
		ev.u.cls.percentile_x10 = 990;
		ev.u.cls.bound_ms = 100;
		ev.u.cls.finish_per_hour = urgent ? 0 : 1000;
		ev.u.cls.team = str_from(team);
		ASSERT_EQ(STATUS_OK, step(ev));
	}
	/* Submits a job whose tasks declare need each. */
	enum status submit(uint64_t id, const char *cls, uint32_t tasks,
	    struct sched_res need, bool gang = false)
	{
		struct sched_ev ev = {};
		ev.kind = SCHED_EV_JOB_SUBMIT;
		ev.u.job.id = id;
		ev.u.job.class_name = str_from(cls);
		ev.u.job.ntasks = tasks;
		ev.u.job.declared = need;
		ev.u.job.gang = gang;
		return step(ev);
	}
	/* Counts the actions of a kind in the last step. */
	size_t count(enum sched_act_kind k) const
	{
		size_t n = 0;
		for (size_t i = 0; i < acts.n; i++)
			n += acts.v[i].kind == k;
		return n;
	}
};

/* Guards against starting more tasks than the only worker has capacity for. */
TEST(sched, starts_only_what_fits)
{
	fixture f;
	f.worker(1, { 4000, 8192, 0 });
	f.klass("b", false);
	f.submit(1, "b", 10, { 1000, 1024, 0 });
	f.tick(20);
	EXPECT_EQ(4u, f.count(SCHED_ACT_START));
	f.tick(20);
	EXPECT_EQ(0u, f.count(SCHED_ACT_START));
}

/*
 * Guards against a gang that does not fit as a whole but keeps resources
 * allocated for some of its tasks.
 */
TEST(sched, gang_is_whole_or_holds_nothing)
{
	fixture f;
	struct sched_res held, cap;
	f.worker(1, { 4000, 8192, 0 });
	f.klass("b", false);
	f.submit(1, "b", 5, { 1000, 1024, 0 }, true);
	f.tick(20);
	EXPECT_EQ(0u, f.count(SCHED_ACT_START));
	ASSERT_TRUE(sched_worker_allocated(f.s, 1, &held, &cap));
	EXPECT_EQ(0, held.cpu_milli);
	f.worker(2, { 4000, 8192, 0 });
	f.tick(6000);
	EXPECT_EQ(5u, f.count(SCHED_ACT_START));
}

/*
 * Guards against jobs too large for the fleet that are retried in vain, or that
 * do not start after a larger worker has joined.
 */
TEST(sched, parked_job_is_queued_when_the_fleet_changes)
{
	fixture f;
	f.worker(1, { 4000, 8192, 0 });
	f.klass("b", false);
	f.submit(1, "b", 1, { 1000, 1024, 2 });
	ASSERT_EQ(1u, f.count(SCHED_ACT_JOB_STATE));
	EXPECT_EQ(SCHED_WAIT_NO_ACCELERATOR, f.acts.v[0].u.job.wait);
	f.submit(2, "b", 1, { 5000, 1024, 0 });
	ASSERT_EQ(1u, f.count(SCHED_ACT_JOB_STATE));
	EXPECT_EQ(SCHED_WAIT_TOO_LARGE, f.acts.v[0].u.job.wait);
	f.tick(20);
	EXPECT_EQ(0u, f.count(SCHED_ACT_START));
	f.worker(2, { 8000, 8192, 4 });
	f.tick(20);
	EXPECT_EQ(2u, f.count(SCHED_ACT_START));
}

} // namespace
