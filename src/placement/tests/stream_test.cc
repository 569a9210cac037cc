/*
 * Feeds seeded random events to the scheduler. A simple model keeps its own
 * account of tasks and workers from the events sent and the actions received,
 * and checks the invariants after every step.
 */
#include <gtest/gtest.h>
#include <cmath>
#include <cstdio>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/rng.h"
#include "placement/sched.h"

namespace {

enum run_state {
	STARTING,
	RUNNING,
	STOPPING
};

struct placed_task {
	run_state state;
	uint64_t epoch;
	uint32_t attempt;
	sched_res limit;
	int64_t ckpt_ms;
};

struct job {
	std::string cls;
	uint32_t tasks;
	sched_res need;
	bool gang, terminated, fails;
	double mem_factor;
	std::set<uint32_t> done;
	std::map<uint32_t, placed_task> run;
	std::vector<int64_t> evicted;
};

struct node {
	sched_res cap = {};
	std::string rack = "", domain = "";
	bool draining = false, quarantined = false, fails_tasks = false;
	unsigned slots = 0;
};

struct klass {
	bool urgent = false;
	std::string team = "";
	std::vector<int64_t> evicted = {};
	size_t peak = 0; /* maximum of running tasks */
};

struct model {
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct sched *s = NULL;
	struct sched_conf conf = {};
	struct sched_acts acts = {};
	struct timespec now = { 1000, 0 };
	struct rng rng;
	uint64_t seed;
	std::map<uint64_t, job> jobs;
	std::map<uint64_t, node> nodes;
	std::map<std::string, klass> classes;
	std::map<std::string, sched_res> quota;
	uint64_t next_epoch = 1, next_job = 1;
	uint32_t next_attempt = 1;
	uint64_t starts = 0, evictions = 0, failed_jobs = 0, quarantines = 0;
	std::deque<sched_act> pending; /* actions that have no answer yet */

	model(uint64_t seed_, bool learning, bool intf, bool targets)
	    : seed(seed_)
	{
		rng_init(&rng, seed);
		conf.seed = seed;
		conf.learning = learning;
		conf.interference = intf;
		conf.targets = targets;
		conf.candidates = 8;
		s = sched_new(ctx, &conf, now);
	}
	~model()
	{
		talloc_free(acts.v);
		talloc_free(ctx);
	}
	/* Returns the simulated time in ms. */
	int64_t ms() const
	{
		return clk_ns(now) / CLK_NS_PER_MS;
	}
	/* Returns a random number below n. */
	uint64_t below(uint64_t n)
	{
		return rng_below(&rng, n);
	}

	/* Checks an eviction against the budgets of its job and class. */
	void check_budget(job &j, const node &n)
	{
		klass &c = classes[j.cls];
		size_t hour = 0, minute = 0, urgent = 0, running = 0;
		for (auto &[jid, o] : jobs) {
			if (classes[o.cls].urgent)
				urgent +=
				    o.tasks - o.done.size() - o.run.size();
			if (o.cls == j.cls)
				running += o.run.size();
		}
		evictions++;
		c.peak = std::max(c.peak, running);
		/* Draining, gang stops and urgent starts ignore the budgets. */
		if (n.draining || j.gang || urgent > 0)
			return;
		j.evicted.push_back(ms());
		c.evicted.push_back(ms());
		for (int64_t t : j.evicted)
			hour += ms() - t < 3600000;
		for (int64_t t : c.evicted)
			minute += ms() - t < 60000;
		ASSERT_LE(hour, 3u) << "eviction budget of a job";
		/*
		 * The token bucket holds the budget of a minute, at least one
		 * task, and is refilled at that rate.
		 */
		ASSERT_LE(
		    (double)minute, 2 * std::max(1.0, 0.02 * (double)c.peak))
		    << "eviction budget of a class";
	}

	/* Checks a START and adds the task to the model; counts those of gangs.
	 */
	void on_start(const sched_act &a, std::map<uint64_t, unsigned> &gang)
	{
		uint64_t id = a.u.task.task, jid = id >> 20;
		uint32_t k = id & 0xfffff;
		ASSERT_TRUE(jobs.count(jid));
		job &j = jobs[jid];
		ASSERT_FALSE(j.terminated) << "start of a cancelled job";
		ASSERT_LT(k, j.tasks);
		ASSERT_FALSE(j.done.count(k)) << "finished task started";
		ASSERT_FALSE(j.run.count(k)) << "task on two workers";
		ASSERT_TRUE(nodes.count(a.u.task.epoch));
		node &n = nodes[a.u.task.epoch];
		ASSERT_FALSE(n.draining) << "start on a draining worker";
		size_t ntasks = 0;
		for (auto &[ojid, o] : jobs)
			for (auto &[ok, l] : o.run)
				ntasks += l.epoch == a.u.task.epoch;
		if (n.quarantined) {
			ASSERT_EQ(0u, ntasks)
			    << "more than one task on a quarantined worker";
		}
		j.run[k] = { STARTING, a.u.task.epoch, 0, a.u.task.limit, 0 };
		starts++;
		if (j.gang)
			gang[jid]++;
		pending.push_back(a);
	}

	/* Drops ended jobs, to keep the model small. */
	void drop_ended_jobs()
	{
		for (auto it = jobs.begin(); it != jobs.end();) {
			job &j = it->second;
			bool ended = j.run.empty() &&
			    (j.terminated || j.done.size() == j.tasks);
			it = ended ? jobs.erase(it) : std::next(it);
		}
	}

	/* Checks the actions of the last step and updates the model. */
	void check_acts()
	{
		std::map<uint64_t, unsigned> gang, waiting;
		for (auto &[jid, j] : jobs)
			waiting[jid] = j.tasks - j.done.size() - j.run.size();
		for (size_t i = 0; i < acts.n; i++) {
			const sched_act &a = acts.v[i];
			uint64_t jid = a.u.task.task >> 20;
			uint32_t k = a.u.task.task & 0xfffff;
			switch (a.kind) {
			case SCHED_ACT_START:
				on_start(a, gang);
				break;
			case SCHED_ACT_CHECKPOINT:
			case SCHED_ACT_STOP: {
				ASSERT_TRUE(jobs.count(jid));
				job &j = jobs[jid];
				ASSERT_TRUE(j.run.count(k));
				ASSERT_EQ(RUNNING, j.run[k].state);
				ASSERT_EQ(j.run[k].epoch, a.u.task.epoch);
				j.run[k].state = STOPPING;
				if (a.kind == SCHED_ACT_CHECKPOINT)
					check_budget(j, nodes[a.u.task.epoch]);
				pending.push_back(a);
				break;
			}
			case SCHED_ACT_THROTTLE:
				ASSERT_LE(a.u.task.percent, 100u);
				ASSERT_GE(a.u.task.percent, 1u);
				ASSERT_TRUE(jobs[jid].run.count(k));
				jobs[jid].run[k].limit.cpu_milli =
				    a.u.task.limit.cpu_milli *
				    a.u.task.percent / 100;
				break;
			case SCHED_ACT_JOB_FAILED:
				ASSERT_TRUE(jobs.count(a.u.job.id));
				ASSERT_TRUE(jobs[a.u.job.id].fails)
				    << "a job was failed that does not fail "
				       "everywhere";
				jobs[a.u.job.id].terminated = true;
				failed_jobs++;
				break;
			case SCHED_ACT_QUARANTINE:
				nodes[a.u.quarantine.epoch].quarantined =
				    a.u.quarantine.on;
				quarantines += a.u.quarantine.on;
				break;
			case SCHED_ACT_JOB_STATE:
				break;
			}
		}
		/* A gang starts with all its waiting tasks in one step. */
		for (auto &[jid, n] : gang) {
			ASSERT_EQ(waiting[jid], n) << "gang started in part";
		}
	}

	/* Checks allocations, quarantines and quotas against the model. */
	void check_state()
	{
		std::map<uint64_t, sched_res> by_worker;
		std::map<std::string, sched_res> team;
		size_t nquarantined = 0;
		for (auto &[jid, j] : jobs)
			for (auto &[k, l] : j.run) {
				sched_res &r = by_worker[l.epoch];
				r.cpu_milli += l.limit.cpu_milli;
				r.mem_mb += l.limit.mem_mb;
				r.accel += l.limit.accel;
				sched_res &t = team[classes[j.cls].team];
				t.cpu_milli += l.limit.cpu_milli;
			}
		for (auto &[epoch, n] : nodes) {
			sched_res allocated, cap;
			ASSERT_TRUE(
			    sched_worker_allocated(s, epoch, &allocated, &cap));
			ASSERT_LE(allocated.cpu_milli, cap.cpu_milli);
			ASSERT_LE(allocated.mem_mb, cap.mem_mb);
			ASSERT_LE(allocated.accel, cap.accel);
			ASSERT_GE(allocated.cpu_milli, 0);
			ASSERT_GE(allocated.mem_mb, 0);
			ASSERT_GE(allocated.accel, 0);
			nquarantined += n.quarantined;
			if (!conf.learning) {
				ASSERT_LE(by_worker[epoch].cpu_milli,
				    n.cap.cpu_milli);
				ASSERT_LE(
				    by_worker[epoch].mem_mb, n.cap.mem_mb);
				ASSERT_LE(by_worker[epoch].accel, n.cap.accel);
			}
		}
		ASSERT_LE(nquarantined, most_quarantined);
		if (!conf.learning && !rebuilt)
			for (auto &[name, q] : quota) {
				int64_t most =
				    q.cpu_milli < 0 ? INT64_MAX : q.cpu_milli;
				ASSERT_LE(team[name].cpu_milli, most);
			}
	}
	size_t most_quarantined = 0;
	bool rebuilt = false;

	/* Passes an event, whose status must be want, or any with COUNT; then
	 * checks everything. */
	void step(const sched_ev &ev, enum status want = STATUS_OK)
	{
		acts.n = 0;
		enum status rc = sched_step(s, now, &ev, &acts);
		if (want != STATUS_COUNT) {
			ASSERT_EQ(want, rc) << "event " << ev.kind;
		}
		check_acts();
		if (testing::Test::HasFatalFailure())
			return;
		check_state();
	}

	/* Moves the clock on by ms and ticks the scheduler. */
	void tick(int64_t by)
	{
		sched_ev ev = {};
		now = clk_add_ms(now, by);
		ev.kind = SCHED_EV_TICK;
		step(ev);
	}

	/* Announces a worker of the model. */
	void set_worker(uint64_t epoch, enum status want = STATUS_OK)
	{
		sched_ev ev = {};
		node &n = nodes[epoch];
		struct str serves = str_from("u0");
		std::string name = "w" + std::to_string(epoch);
		ev.kind = SCHED_EV_WORKER_UP;
		ev.u.worker.epoch = epoch;
		ev.u.worker.name = str_from(name.c_str());
		ev.u.worker.capacity = n.cap;
		ev.u.worker.rack = str_from(n.rack.c_str());
		ev.u.worker.domain = str_from(n.domain.c_str());
		ev.u.worker.slots = n.slots;
		ev.u.worker.serves = &serves;
		ev.u.worker.nserves = n.slots > 0;
		step(ev, want);
	}

	/* Adds a worker of random size, which may fail all its tasks. */
	void add_worker()
	{
		uint64_t e = next_epoch++;
		node n;
		n.cap = { 8000 << below(3), 16384 << (int)below(3),
			below(4) == 0 ? 4 : 0 };
		n.rack = "r" + std::to_string(below(6));
		n.domain = "d" + std::to_string(below(3));
		n.slots = conf.targets && below(2) ? 8 : 0;
		n.fails_tasks = below(12) == 0;
		nodes[e] = n;
		most_quarantined =
		    std::max(most_quarantined, nodes.size() / 10);
		set_worker(e);
	}

	/* Passes in the configuration of classes and teams. */
	void set_classes()
	{
		for (auto &[name, c] : classes) {
			sched_ev ev = {};
			ev.kind = SCHED_EV_CLASS_SET;
			ev.u.cls.name = str_from(name.c_str());
			ev.u.cls.urgent = c.urgent;
			ev.u.cls.percentile_x10 = 990;
			ev.u.cls.bound_ms = 100;
			ev.u.cls.finish_per_hour = c.urgent ? 0 : 100;
			ev.u.cls.team = str_from(c.team.c_str());
			step(ev);
		}
		for (auto &[name, q] : quota) {
			sched_ev ev = {};
			ev.kind = SCHED_EV_TEAM_SET;
			ev.u.team.name = str_from(name.c_str());
			ev.u.team.quota = q;
			step(ev);
		}
	}

	/* Submits a job of the model, with its finished tasks. */
	void send_job(uint64_t id)
	{
		job &j = jobs[id];
		sched_ev ev = {};
		std::vector<uint8_t> done((j.tasks + 7) / 8);
		for (uint32_t k : j.done)
			done[k / 8] |= 1U << (k % 8);
		ev.kind = SCHED_EV_JOB_SUBMIT;
		ev.u.job.id = id;
		ev.u.job.class_name = str_from(j.cls.c_str());
		ev.u.job.ntasks = j.tasks;
		ev.u.job.declared = j.need;
		ev.u.job.gang = j.gang;
		ev.u.job.done = done.data();
		step(ev);
	}

	/* Submits a random job; some fail or fit on no worker. */
	void submit()
	{
		uint64_t id = next_job++;
		job j = {};
		unsigned c = below(5);
		j.cls = c < 2 ? "u" + std::to_string(c)
			      : "b" + std::to_string(c - 2);
		j.tasks = 1 + below(below(4) == 0 ? 40 : 6);
		j.need = { 250 << below(5), 256 << (int)below(5),
			below(10) == 0 ? 1 : 0 };
		j.gang = below(6) == 0;
		j.fails = below(25) == 0;
		j.mem_factor = below(3) == 0 ? 3.0 : below(2) ? 0.33 : 0.9;
		if (below(30) == 0)
			j.need.mem_mb = 1 << 20;
		jobs[id] = j;
		send_job(id);
	}

	/* Passes an event of a task, with the worker and attempt of l. */
	void task_event(sched_ev_kind kind, uint64_t id, const placed_task &l,
	    enum status want = STATUS_OK)
	{
		sched_ev ev = {};
		ev.kind = kind;
		ev.u.task.task = id;
		ev.u.task.attempt = l.attempt;
		ev.u.task.epoch = l.epoch;
		step(ev, want);
	}

	/*
	 * Answers one pending action, as the replicated state or a worker
	 * would.
	 */
	void answer_order()
	{
		if (pending.empty())
			return;
		size_t at = below(std::min<size_t>(pending.size(), 8));
		sched_act a = pending[at];
		pending.erase(pending.begin() + (long)at);
		uint64_t id = a.u.task.task, jid = id >> 20;
		uint32_t k = id & 0xfffff;
		if (!jobs.count(jid) || !jobs[jid].run.count(k))
			return;
		placed_task &l = jobs[jid].run[k];
		if (l.epoch != a.u.task.epoch)
			return;
		if (a.kind == SCHED_ACT_START) {
			if (l.state != STARTING)
				return;
			if (below(20) == 0 || jobs[jid].terminated) {
				placed_task was = l;
				jobs[jid].run.erase(k);
				task_event(SCHED_EV_ASSIGN_FAILED, id, was);
				return;
			}
			l.attempt = next_attempt++;
			l.state = RUNNING;
			placed_task is = l;
			task_event(SCHED_EV_ASSIGNED, id, is);
			return;
		}
		placed_task was = l;
		jobs[jid].run.erase(k);
		task_event(SCHED_EV_TASK_STOPPED, id, was);
	}

	/* Returns the id of a random task in a state, 0 if there is none. */
	uint64_t pick_task(run_state state)
	{
		std::vector<uint64_t> v;
		for (auto &[jid, j] : jobs)
			for (auto &[k, l] : j.run)
				if (l.state == state)
					v.push_back(jid << 20 | k);
		return v.empty() ? 0 : v[below(v.size())];
	}

	/* Ends a random running task, or reports a checkpoint of it. */
	void end_task()
	{
		uint64_t id = pick_task(RUNNING), jid = id >> 20;
		uint32_t k = id & 0xfffff;
		if (id == 0)
			return;
		job &j = jobs[jid];
		placed_task was = j.run[k];
		if (below(10) == 0) {
			/* A report of another attempt must be refused. */
			placed_task old = was;
			old.attempt += 1000000;
			task_event(SCHED_EV_TASK_DONE, id, old, STATUS_STALE);
		}
		if (below(8) == 0) {
			j.run[k].ckpt_ms = ms();
			task_event(SCHED_EV_TASK_CHECKPOINT, id, was);
			return;
		}
		j.run.erase(k);
		if (j.fails || nodes[was.epoch].fails_tasks) {
			task_event(SCHED_EV_TASK_FAILED, id, was);
			return;
		}
		j.done.insert(k);
		task_event(SCHED_EV_TASK_DONE, id, was);
	}

	/* Cancels a random job. */
	void cancel()
	{
		std::vector<uint64_t> v;
		for (auto &[jid, j] : jobs)
			if (!j.terminated && j.done.size() < j.tasks)
				v.push_back(jid);
		if (v.empty())
			return;
		uint64_t id = v[below(v.size())];
		jobs[id].terminated = true;
		sched_ev ev = {};
		ev.kind = SCHED_EV_JOB_CANCEL;
		ev.u.job_id = id;
		step(ev);
	}

	/* Loses or drains a random worker. */
	void lose_worker()
	{
		if (nodes.size() < 4)
			return;
		auto it = nodes.begin();
		std::advance(it, (long)below(nodes.size()));
		uint64_t epoch = it->first;
		sched_ev ev = {};
		ev.u.epoch = epoch;
		if (below(3) == 0 && !it->second.draining) {
			ev.kind = SCHED_EV_WORKER_DRAIN;
			it->second.draining = true;
			step(ev);
			return;
		}
		for (auto &[jid, j] : jobs)
			for (auto r = j.run.begin(); r != j.run.end();)
				r = r->second.epoch == epoch ? j.run.erase(r)
							     : std::next(r);
		nodes.erase(it);
		ev.kind = SCHED_EV_WORKER_LOST;
		step(ev);
	}

	/*
	 * Sends a usage report of one worker, sometimes late, with tasks
	 * missing or with more use than declared.
	 */
	void usage()
	{
		if (nodes.empty())
			return;
		auto it = nodes.begin();
		std::advance(it, (long)below(nodes.size()));
		std::vector<sched_usage> v;
		sched_ev ev = {};
		ev.kind = SCHED_EV_USAGE;
		ev.u.usage.epoch = it->first;
		ev.u.usage.age_ms = below(4) == 0 ? 8000 : 500;
		for (auto &[jid, j] : jobs)
			for (auto &[k, l] : j.run) {
				if (l.epoch != it->first ||
				    l.state == STARTING || below(10) == 0)
					continue;
				sched_usage u = { jid << 20 | k,
					(int64_t)((double)j.need.cpu_milli *
					    rng_unit(&rng) * 2),
					(int64_t)((double)j.need.mem_mb *
					    j.mem_factor) };
				ev.u.usage.used.cpu_milli += u.cpu_milli;
				ev.u.usage.used.mem_mb += u.mem_mb;
				v.push_back(u);
			}
		if (it->second.slots > 0) {
			ev.u.usage.used.cpu_milli += (int64_t)below(6000);
			ev.u.usage.used.mem_mb += (int64_t)below(4000);
		}
		ev.u.usage.tasks = v.data();
		ev.u.usage.n = v.size();
		step(ev, STATUS_COUNT);
	}

	/* Reports latency of some workers; late answers come in waves. */
	void latency()
	{
		for (auto &[epoch, n] : nodes) {
			if (n.slots == 0 || below(2))
				continue;
			sched_ev ev = {};
			bool noisy = (ms() / 60000) % 2;
			ev.kind = SCHED_EV_LATENCY;
			ev.u.latency.epoch = epoch;
			ev.u.latency.class_name = str_from("u0");
			ev.u.latency.count = 100;
			ev.u.latency.late = noisy ? 10 : 0;
			ev.u.latency.mean_ms = noisy ? 80 : 40;
			ev.u.latency.high_ms = 120;
			step(ev);
			if (testing::Test::HasFatalFailure())
				return;
		}
	}

	/* Feeds the same state into a new object, as a new leader does. */
	void rebuild()
	{
		talloc_free(s);
		s = sched_new(ctx, &conf, now);
		rebuilt = true;
		std::map<uint64_t, node> all = nodes;
		nodes.clear();
		set_classes();
		for (auto &[epoch, n] : all) {
			nodes[epoch] = n;
			nodes[epoch].quarantined = false;
			set_worker(epoch);
			if (n.draining) {
				sched_ev ev = {};
				ev.kind = SCHED_EV_WORKER_DRAIN;
				ev.u.epoch = epoch;
				step(ev);
			}
		}
		/*
		 * Proposals that were not confirmed are lost with the old
		 * leader.
		 */
		for (auto it = jobs.begin(); it != jobs.end();) {
			job &j = it->second;
			for (auto r = j.run.begin(); r != j.run.end();)
				r = r->second.state == STARTING ? j.run.erase(r)
								: std::next(r);
			bool gone = j.terminated && j.run.empty();
			it = gone ? jobs.erase(it) : std::next(it);
		}
		pending.clear();
		for (auto &[jid, j] : jobs) {
			if (j.done.size() == j.tasks)
				continue;
			send_job(jid);
			for (auto &[k, l] : j.run) {
				l.state = RUNNING;
				task_event(SCHED_EV_ASSIGNED, jid << 20 | k, l);
				if (testing::Test::HasFatalFailure())
					return;
			}
			if (j.terminated) {
				sched_ev ev = {};
				ev.kind = SCHED_EV_JOB_CANCEL;
				ev.u.job_id = jid;
				step(ev);
			}
		}
	}

	/* Passes one random event. */
	void random_event()
	{
		switch (below(40)) {
		case 0:
			add_worker();
			break;
		case 1:
			if (below(3) == 0)
				lose_worker();
			break;
		case 2:
		case 3:
		case 4:
			submit();
			break;
		case 5:
			if (below(2))
				cancel();
			break;
		case 6:
		case 7:
		case 8:
			usage();
			break;
		case 9:
			latency();
			break;
		case 10:
			if (below(12) == 0)
				rebuild();
			break;
		case 11:
		case 12:
		case 13:
		case 14:
		case 15:
		case 16:
			end_task();
			break;
		case 17:
		case 18:
		case 19:
		case 20:
			tick((int64_t)below(2000));
			break;
		default:
			answer_order();
			break;
		}
	}

	/* Checks that every job that fits and does not fail ends. */
	void finish()
	{
		for (auto &[e, n] : nodes)
			n.fails_tasks = false;
		for (int i = 0; i < 8; i++) {
			uint64_t e = next_epoch++;
			nodes[e] = node{ { 64000, 262144, 0 }, "r0", "d0" };
			most_quarantined =
			    std::max(most_quarantined, nodes.size() / 10);
			set_worker(e);
		}
		for (auto &[e, n] : nodes)
			n.fails_tasks = false;
		quota["t1"] = { -1, -1, -1 };
		set_classes();
		for (int round = 0; round < 4000; round++) {
			size_t left = 0;
			tick(100);
			for (int i = 0; i < 30; i++)
				answer_order();
			for (int i = 0; i < 10; i++)
				end_task();
			drop_ended_jobs();
			if (testing::Test::HasFatalFailure())
				return;
			for (auto &[jid, j] : jobs)
				left += !j.terminated && !j.fails &&
				    j.done.size() < j.tasks &&
				    j.need.mem_mb < 1 << 20 &&
				    (j.need.accel == 0);
			if (left == 0 && round > 20)
				return;
		}
		for (auto &[jid, j] : jobs)
			if (!j.terminated && !j.fails &&
			    j.done.size() < j.tasks &&
			    j.need.mem_mb < 1 << 20 && j.need.accel == 0)
				ADD_FAILURE() << "never ended: "
					      << sched_explain_job(s, ctx, jid);
	}
};

/* Runs random events for one seed and configuration, and then checks that all
 * jobs end. */
void
run_stream(uint64_t seed, bool learning, bool intf, bool targets)
{
	model w(seed, learning, intf, targets);
	w.classes["u0"] = klass{ true, "t0" };
	w.classes["u1"] = klass{ true, "t1" };
	w.classes["b0"] = klass{ false, "t0" };
	w.classes["b1"] = klass{ false, "t1" };
	w.classes["b2"] = klass{ false, "t2" };
	w.quota["t1"] = { 40000, 1 << 20, -1 };
	w.set_classes();
	for (int i = 0; i < 10; i++)
		w.add_worker();
	for (int i = 0; i < 3000; i++) {
		w.random_event();
		w.drop_ended_jobs();
		if (testing::Test::HasFailure())
			break;
	}
	if (!testing::Test::HasFailure())
		w.finish();
	if (testing::Test::HasFailure())
		printf("seed %llu learning %d interference %d targets %d\n",
		    (unsigned long long)seed, learning, intf, targets);
	EXPECT_GT(w.starts, 100u);
}

/* Returns the first seed: SCHED_SEED, or 1. */
uint64_t
base_seed()
{
	const char *env = getenv("SCHED_SEED");
	return env ? strtoull(env, NULL, 10) : 1;
}

/* Returns the number of seeds: SCHED_ROUNDS, or the usual one. */
int
rounds(int usual)
{
	const char *env = getenv("SCHED_ROUNDS");
	return env ? atoi(env) : usual;
}

/*
 * Guards against allocations beyond a worker's capacity, tasks placed twice and
 * gangs started in part, with declared sizes.
 */
TEST(sched_stream, invariants_declared)
{
	int n = 0;
	for (; n < rounds(4) && !HasFailure(); n++)
		run_stream(base_seed() + n, false, false, false);
	printf("rounds %d\n", n);
}

/* Guards against the same with learned sizes, interference and targets. */
TEST(sched_stream, invariants_learned)
{
	int n = 0;
	for (; n < rounds(4) && !HasFailure(); n++)
		run_stream(base_seed() + 1000 + n, true, true, true);
	printf("rounds %d\n", n);
}

/*
 * Guards against allocations beyond a worker's capacity when batch tasks are
 * throttled for urgent ones.
 */
TEST(sched_stream, invariants_throttled)
{
	int n = 0;
	for (; n < rounds(4) && !HasFailure(); n++)
		run_stream(base_seed() + 3000 + n, false, false, true);
	printf("rounds %d\n", n);
}

/*
 * Guards against candidates that the bucketed search misses or scores wrongly:
 * it must choose the same worker as a scan of all workers.
 */
TEST(sched_stream, same_choice_as_a_full_scan)
{
	int n = 0;
	uint64_t compared = 0;
	for (; n < rounds(8) && !HasFailure(); n++) {
		model w(base_seed() + 2000 + n, false, false, false);
		TALLOC_CTX *ctx = talloc_new(NULL);
		w.conf.candidates = 64;
		talloc_free(w.s);
		w.s = sched_new(w.ctx, &w.conf, w.now);
		w.classes["u0"] = klass{ true, "t0" };
		w.classes["b0"] = klass{ false, "t0" };
		w.set_classes();
		for (int i = 0; i < 40; i++)
			w.add_worker();
		for (auto &[e, nd] : w.nodes)
			nd.fails_tasks = false;
		w.tick(20);
		for (int i = 0; i < 300 && !HasFailure(); i++) {
			std::map<uint64_t, sched_res> by_worker;
			std::map<std::string, unsigned> at;
			unsigned running = 0;
			job j = {};
			/* Tasks whose START failed are started again first. */
			w.tick(20);
			j.cls = w.below(2) ? "u0" : "b0";
			bool urgent = j.cls == "u0";
			j.tasks = 1;
			j.need = { (int64_t)(100 + w.below(6000)),
				(int64_t)(100 + w.below(9000)),
				w.below(6) == 0 ? 1 : 0 };
			for (auto &[jid, o] : w.jobs)
				for (auto &[k, l] : o.run) {
					sched_res &r = by_worker[l.epoch];
					r.cpu_milli += l.limit.cpu_milli;
					r.mem_mb += l.limit.mem_mb;
					r.accel += l.limit.accel;
					if (o.cls != j.cls)
						continue;
					running++;
					at[w.nodes[l.epoch].rack]++;
					at[w.nodes[l.epoch].domain]++;
				}
			double low = INFINITY, second = INFINITY;
			uint64_t best = 0;
			for (auto &[e, nd] : w.nodes) {
				int64_t cpu = nd.cap.cpu_milli -
				    by_worker[e].cpu_milli - j.need.cpu_milli;
				int64_t mem = nd.cap.mem_mb -
				    by_worker[e].mem_mb - j.need.mem_mb;
				int64_t acc = nd.cap.accel -
				    by_worker[e].accel - j.need.accel;
				if (cpu < 0 || mem < 0 || acc < 0)
					continue;
				double fc =
				    (double)cpu / (double)nd.cap.cpu_milli;
				double fm = (double)mem / (double)nd.cap.mem_mb;
				double sc =
				    0.3 * std::fabs(fc - fm) + 0.3 * (1 - fc);
				if (j.need.accel == 0 && acc > 0)
					sc += 0.5;
				if (urgent)
					sc += (0.5 * at[nd.rack] +
						  1.0 * at[nd.domain]) /
					    (running + 1);
				if (sc < low) {
					second = low;
					low = sc;
					best = e;
				} else if (sc < second) {
					second = sc;
				}
			}
			uint64_t id = w.next_job++;
			uint64_t before = w.starts;
			w.now = clk_add_ms(w.now, 20);
			w.jobs[id] = j;
			w.send_job(id);
			if (HasFailure())
				break;
			bool started =
			    w.starts > before && w.jobs[id].run.count(0);
			ASSERT_EQ(best != 0, started);
			if (started && second - low > 1e-9) {
				ASSERT_EQ(best, w.jobs[id].run[0].epoch);
				compared++;
			}
			if (!started) {
				/*
				 * Cancelled, so that it does not start later
				 * unnoticed.
				 */
				sched_ev ev = {};
				w.jobs[id].terminated = true;
				ev.kind = SCHED_EV_JOB_CANCEL;
				ev.u.job_id = id;
				w.step(ev);
			}
			while (!w.pending.empty() && w.below(4) > 0)
				w.answer_order();
			if (w.below(3) == 0)
				w.end_task();
		}
		if (HasFailure())
			printf("seed %llu\n", (unsigned long long)w.seed);
		talloc_free(ctx);
	}
	EXPECT_GT(compared, 100u * (unsigned)n);
	printf("rounds %d\n", n);
}

} // namespace
