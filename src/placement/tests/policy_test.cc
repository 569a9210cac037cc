#include <gtest/gtest.h>
#include <algorithm>
#include <string>
#include <vector>

#include "base/rng.h"
#include "placement/hmap.h"
#include "placement/intf.h"
#include "placement/learn.h"
#include "placement/sched.h"
#include "placement/tgt.h"

namespace {

/* A scheduler whose START actions are confirmed at once. */
struct harness {
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct sched *s;
	struct sched_acts acts = {};
	std::vector<sched_act> all; /* since the last take() */
	struct timespec now = { 100, 0 };

	harness()
	{
		struct sched_conf c = {};
		c.seed = 1;
		c.learning = c.interference = c.targets = true;
		s = sched_new(ctx, &c, now);
	}
	~harness()
	{
		talloc_free(acts.v);
		talloc_free(ctx);
	}
	/* Passes an event and confirms the resulting starts. */
	void step(const sched_ev &ev)
	{
		acts.n = 0;
		(void)sched_step(s, now, &ev, &acts);
		all.insert(all.end(), acts.v, acts.v + acts.n);
		std::vector<sched_act> mine(acts.v, acts.v + acts.n);
		for (auto &a : mine)
			if (a.kind == SCHED_ACT_START)
				task(SCHED_EV_ASSIGNED, a.u.task.task,
				    a.u.task.epoch);
	}
	/* Passes an event of the first attempt of a task. */
	void task(sched_ev_kind kind, uint64_t id, uint64_t epoch)
	{
		sched_ev ev = {};
		ev.kind = kind;
		ev.u.task.task = id;
		ev.u.task.epoch = epoch;
		ev.u.task.attempt = 1;
		step(ev);
	}
	/* Moves the clock on and ticks the scheduler. */
	void tick(int64_t ms)
	{
		sched_ev ev = {};
		now = clk_add_ms(now, ms);
		ev.kind = SCHED_EV_TICK;
		step(ev);
	}
	/* Adds a worker; with slots it serves requests of class u. */
	void worker(uint64_t epoch, sched_res cap, unsigned slots = 0)
	{
		sched_ev ev = {};
		struct str serves = str_from("u");
		ev.kind = SCHED_EV_WORKER_UP;
		ev.u.worker.epoch = epoch;
		ev.u.worker.name = str_from("w");
		ev.u.worker.capacity = cap;
		ev.u.worker.slots = slots;
		ev.u.worker.serves = &serves;
		ev.u.worker.nserves = slots > 0;
		step(ev);
	}
	/* Configures a class. */
	void klass(const char *name, bool urgent)
	{
		sched_ev ev = {};
		ev.kind = SCHED_EV_CLASS_SET;
		ev.u.cls.name = str_from(name);
		ev.u.cls.urgent = urgent;
		ev.u.cls.percentile_x10 = 990;
		ev.u.cls.bound_ms = 100;
		ev.u.cls.finish_per_hour = 100;
		ev.u.cls.team = str_from("t");
		step(ev);
	}
	/* Submits a job whose tasks declare need each. */
	void submit(
	    uint64_t id, const char *cls, uint32_t tasks, sched_res need)
	{
		sched_ev ev = {};
		ev.kind = SCHED_EV_JOB_SUBMIT;
		ev.u.job.id = id;
		ev.u.job.class_name = str_from(cls);
		ev.u.job.ntasks = tasks;
		ev.u.job.declared = need;
		step(ev);
	}
	/* Reports the usage of tasks; the worker uses their sum. */
	void usage(uint64_t epoch, std::vector<sched_usage> v)
	{
		sched_ev ev = {};
		ev.kind = SCHED_EV_USAGE;
		ev.u.usage.epoch = epoch;
		for (auto &u : v) {
			ev.u.usage.used.cpu_milli += u.cpu_milli;
			ev.u.usage.used.mem_mb += u.mem_mb;
		}
		ev.u.usage.tasks = v.data();
		ev.u.usage.n = v.size();
		step(ev);
	}
	/* Reports 100 answers of class u, some of them late. */
	void latency(uint64_t epoch, uint32_t late)
	{
		sched_ev ev = {};
		ev.kind = SCHED_EV_LATENCY;
		ev.u.latency.epoch = epoch;
		ev.u.latency.class_name = str_from("u");
		ev.u.latency.count = 100;
		ev.u.latency.late = late;
		ev.u.latency.mean_ms = 10 + late;
		step(ev);
	}
	/* Counts the actions of a kind since the last take(). */
	size_t count(sched_act_kind k) const
	{
		size_t n = 0;
		for (auto &a : all)
			n += a.kind == k;
		return n;
	}
	/* Returns the actions of one kind and clears all. */
	std::vector<sched_act> take(sched_act_kind k)
	{
		std::vector<sched_act> v;
		for (auto &a : all)
			if (a.kind == k)
				v.push_back(a);
		all.clear();
		return v;
	}
};

/*
 * Guards against a worker that fails every task but keeps getting tasks, and
 * against one that stays in quarantine after a probe has succeeded.
 */
TEST(policy, failing_worker_is_quarantined_and_probed)
{
	harness w;
	for (uint64_t e = 1; e <= 10; e++)
		w.worker(e, { 4000, 8192, 0 });
	w.klass("b", false);
	for (uint64_t id = 1; id <= 8; id++)
		w.submit(id, "b", 40, { 1000, 1024, 0 });
	size_t on_failing = 0;
	for (int i = 0; i < 100 && w.count(SCHED_ACT_QUARANTINE) == 0; i++) {
		w.tick(20);
		for (auto &a : w.take(SCHED_ACT_START)) {
			bool fails = a.u.task.epoch == 3;
			on_failing += fails;
			w.task(
			    fails ? SCHED_EV_TASK_FAILED : SCHED_EV_TASK_DONE,
			    a.u.task.task, a.u.task.epoch);
		}
	}
	auto q = w.take(SCHED_ACT_QUARANTINE);
	ASSERT_EQ(1u, q.size());
	EXPECT_EQ(3u, q[0].u.quarantine.epoch);
	EXPECT_LE(on_failing, 16u);
	w.submit(100, "b", 200, { 1000, 1024, 0 });
	w.tick(20);
	for (auto &a : w.take(SCHED_ACT_START))
		EXPECT_NE(3u, a.u.task.epoch);
	w.tick(61000);
	size_t probes = 0;
	sched_act probe = {};
	for (auto &a : w.take(SCHED_ACT_START))
		if (a.u.task.epoch == 3) {
			probes++;
			probe = a;
		}
	ASSERT_EQ(1u, probes);
	w.task(SCHED_EV_TASK_DONE, probe.u.task.task, 3);
	q = w.take(SCHED_ACT_QUARANTINE);
	ASSERT_EQ(1u, q.size());
	EXPECT_FALSE(q[0].u.quarantine.on);
}

/*
 * Guards against quarantining workers because of a job that fails on every
 * worker.
 */
TEST(policy, failing_job_is_failed_and_no_worker_is_quarantined)
{
	harness w;
	for (uint64_t e = 1; e <= 10; e++)
		w.worker(e, { 4000, 8192, 0 });
	w.klass("b", false);
	w.submit(1, "b", 40, { 1000, 1024, 0 });
	w.tick(20);
	for (auto &a : w.take(SCHED_ACT_START))
		w.task(SCHED_EV_TASK_DONE, a.u.task.task, a.u.task.epoch);
	w.submit(2, "b", 12, { 1000, 1024, 0 });
	size_t failed = 0;
	for (int i = 0; i < 20 && failed == 0; i++) {
		w.tick(20);
		std::vector<sched_act> starts;
		for (auto &a : w.all)
			if (a.kind == SCHED_ACT_START)
				starts.push_back(a);
		w.all.clear();
		for (auto &a : starts)
			w.task(SCHED_EV_TASK_FAILED, a.u.task.task,
			    a.u.task.epoch);
		failed = w.count(SCHED_ACT_JOB_FAILED);
		EXPECT_EQ(0u, w.count(SCHED_ACT_QUARANTINE));
	}
	EXPECT_EQ(1u, failed);
}

/*
 * Guards the order of reactions to late answers: batch tasks are throttled
 * first and evicted later, but not stopped without a checkpoint.
 */
TEST(policy, late_answers_throttle_before_any_eviction)
{
	harness w;
	w.worker(1, { 8000, 16384, 0 }, 8);
	w.worker(2, { 8000, 16384, 0 });
	w.klass("u", true);
	w.klass("b", false);
	for (int i = 0; i < 200; i++) {
		w.latency(1, 0);
		w.tick(1000);
	}
	w.submit(1, "b", 8, { 1000, 1024, 0 });
	w.tick(1000);
	w.all.clear();
	size_t throttled_first = 0;
	for (int i = 0; i < 60 && w.count(SCHED_ACT_CHECKPOINT) == 0; i++) {
		throttled_first = w.count(SCHED_ACT_THROTTLE);
		w.latency(1, 30);
		w.tick(1000);
	}
	EXPECT_GT(throttled_first, 0u);
	EXPECT_EQ(0u, w.count(SCHED_ACT_STOP));
}

/*
 * Guards against a worker running out of memory because its tasks use more than
 * they declared: one is stopped without a checkpoint.
 */
TEST(policy, critical_memory_stops_one_task)
{
	harness w;
	w.worker(1, { 8000, 10000, 0 });
	w.klass("b", false);
	w.submit(1, "b", 4, { 1000, 2000, 0 });
	w.tick(20);
	auto v = w.take(SCHED_ACT_START);
	ASSERT_EQ(4u, v.size());
	std::vector<sched_usage> use;
	for (auto &a : v)
		use.push_back({ a.u.task.task, 500, 2450 });
	w.usage(1, use);
	EXPECT_EQ(1u, w.count(SCHED_ACT_STOP));
	struct sched_res allocated, cap;
	ASSERT_TRUE(sched_worker_allocated(w.s, 1, &allocated, &cap));
	EXPECT_LE(allocated.mem_mb, cap.mem_mb);
}

/* Guards against an urgent task that waits for batch tasks to end. */
TEST(policy, urgent_task_starts_at_once_on_a_full_worker)
{
	harness w;
	w.worker(1, { 4000, 16384, 0 });
	w.klass("u", true);
	w.klass("b", false);
	w.submit(1, "b", 4, { 1000, 1024, 0 });
	w.tick(20);
	ASSERT_EQ(4u, w.take(SCHED_ACT_START).size());
	w.submit(2, "u", 1, { 1000, 1024, 0 });
	w.tick(20);
	EXPECT_EQ(2u, w.count(SCHED_ACT_THROTTLE));
	EXPECT_EQ(1u, w.count(SCHED_ACT_START));
	EXPECT_EQ(0u, w.count(SCHED_ACT_CHECKPOINT));
	/* Memory cannot be throttled, so a batch task is evicted. */
	w.submit(3, "u", 1, { 100, 12000, 0 });
	w.tick(16000);
	w.tick(2000);
	EXPECT_EQ(1u, w.count(SCHED_ACT_CHECKPOINT));
}

/*
 * Guards against an explanation without the wait reason, the help text, the
 * worker or the attainment.
 */
TEST(policy, explanation_names_reason_worker_and_attainment)
{
	harness w;
	w.worker(1, { 4000, 8192, 0 });
	w.klass("b", false);
	w.submit(1, "b", 5, { 1000, 1024, 0 });
	w.tick(20);
	std::string why = sched_explain_job(w.s, w.ctx, 1);
	EXPECT_NE(std::string::npos, why.find("NO_ROOM")) << why;
	EXPECT_NE(std::string::npos, why.find("help:")) << why;
	EXPECT_NE(std::string::npos, why.find("runs on w")) << why;
	EXPECT_NE(std::string::npos, why.find("of its target")) << why;
	EXPECT_LT(std::count(why.begin(), why.end(), '\n'), 24);
	EXPECT_EQ(NULL, sched_explain_job(w.s, w.ctx, 99));
}

/*
 * Guards against attributing a slowdown to the wrong neighbour class, or to all
 * of them alike.
 */
TEST(intf, finds_the_interfering_pair)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct intf f;
	struct rng r;
	double sd;
	intf_init(&f, ctx);
	rng_init(&r, 5);
	for (int i = 0; i < 4000; i++) {
		double a = rng_unit(&r) * 0.5, b = rng_unit(&r) * 0.5;
		struct intf_neighbour near[2] = { { 1, a }, { 2, b } };
		intf_observe(&f, i * 10, 0, near, 2, 100,
		    40 * (1 + 2 * a + 0.1 * b) * (0.9 + 0.2 * rng_unit(&r)));
	}
	double bad = intf_slowdown(&f, 40000, 0, 1, &sd);
	EXPECT_LT(sd, 0.2);
	double good = intf_slowdown(&f, 40000, 0, 2, &sd);
	EXPECT_GT(bad, 5 * good);
	/* A pair not seen for hours is close to the mean again. */
	double mean = intf_mean(&f, 0);
	double old = intf_slowdown(&f, 40000 + 6 * 3600 * 1000, 0, 1, &sd);
	EXPECT_LT(old - mean, 0.1 * (bad - mean));
	talloc_free(ctx);
}

/*
 * Guards against quantiles that miss rare large tasks, as a mean would: one
 * task in ten is large here.
 */
TEST(learn, quantiles_keep_the_large_tasks)
{
	struct learn l;
	learn_init(&l);
	EXPECT_EQ(0, learn_cpu_quantile(&l, 0.95));
	for (int i = 0; i < 100; i++)
		learn_cpu(&l, i % 10 == 0 ? 3.0 : 0.5);
	EXPECT_GE(learn_cpu_quantile(&l, 0.95), 3.0);
	EXPECT_LE(learn_cpu_quantile(&l, 0.95), 3.3);
	EXPECT_GE(learn_cpu_quantile(&l, 0.5), 0.5);
	EXPECT_LE(learn_cpu_quantile(&l, 0.5), 0.55);
}

/*
 * Guards against counting late answers from outside the window, and against a
 * batch cap that does not react.
 */
TEST(tgt, windows_and_cap_follow_late_answers)
{
	struct tgt t;
	tgt_init(&t, 1000000);
	tgt_add(&t, 1000000, 1000, 500);
	EXPECT_LT(tgt_attainment_answers(&t, 1000000, 6, 990), 0.6);
	tgt_add(&t, 1070000, 1000, 0);
	EXPECT_GE(tgt_attainment_answers(&t, 1070000, 6, 990), 1.0);
	EXPECT_LT(tgt_attainment_answers(&t, 1070000, TGT_SLOTS, 990), 0.8);
	double before = t.batch_cap;
	tgt_add(&t, 1071000, 1000, 200);
	tgt_update_cap(&t, 1071000, 990);
	EXPECT_LT(t.batch_cap, before);
	for (int64_t ms = 1072000; ms < 1172000; ms += 1000) {
		tgt_add(&t, ms, 1000, 0);
		tgt_update_cap(&t, ms, 990);
	}
	EXPECT_GT(t.batch_cap, before);
}

/*
 * Guards against a removal that makes other keys of the same probe sequence
 * unreachable.
 */
TEST(hmap, agrees_with_a_plain_array)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct hmap m;
	struct rng r;
	std::vector<uint32_t> want(500, HMAP_NONE);
	hmap_init(&m, ctx);
	rng_init(&r, 9);
	for (int i = 0; i < 20000; i++) {
		uint64_t k = rng_below(&r, 500);
		if (rng_chance(&r, 0.5)) {
			want[k] = (uint32_t)i;
			hmap_set(&m, k, (uint32_t)i);
		} else {
			want[k] = HMAP_NONE;
			hmap_del(&m, k);
		}
		k = rng_below(&r, 500);
		ASSERT_EQ(want[k], hmap_get(&m, k));
	}
	hmap_finish(&m);
	talloc_free(ctx);
}

} // namespace
