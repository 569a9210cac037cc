#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "control/tests/cell_sim.h"

namespace {

const unsigned SLOTS = 8;
const int64_t TASK_CPU = 2000, WORKER_CPU = 8000;

struct Running {
	uint32_t attempt;
	uint64_t progress;
	int64_t finish_ns;
};

/* Models a worker process: lease, order sequence, resent task events. */
struct SimWorker {
	std::string name;
	uint64_t incarnation = 0, epoch = 0;
	bool up = true, isolated = false;
	double rate = 1;
	int64_t lease_until_ns = 0, next_poll_ns = 0;
	uint64_t op = 0;
	int64_t op_sent_ns = 0;
	std::map<uint64_t, Running> tasks;
	std::set<std::pair<uint64_t, uint32_t>> received;
	std::deque<std::pair<uint64_t, Control__TaskEvent>> events;
	uint64_t event_seq = 0, order_seq = 0;
};

struct Change {
	std::string id;
	uint64_t expected;
	int status = -1; /* of the first result OK or CONFLICT */
	uint64_t version = 0;
};

struct World {
	struct sim *s;
	struct rng rng;
	std::vector<SimWorker> workers;
	std::map<uint64_t, size_t> worker_ops; /* op -> worker */
	std::map<uint64_t, size_t> change_ops; /* op -> change */
	std::map<uint64_t, std::pair<std::string, uint64_t>> claim_ops;
	std::set<uint64_t> plain_ops, submit_ops;
	std::map<uint64_t, unsigned> answers; /* by op */
	std::vector<Change> changes;
	std::map<uint64_t, int64_t> accepted_ns; /* version -> time */
	std::map<uint64_t, std::string> change_by_version;
	std::map<std::string, uint64_t> claimed; /* key -> request */
	std::map<std::pair<uint64_t, uint32_t>, uint64_t> started;
	std::map<uint64_t, uint32_t> last_attempt; /* of a task */
	std::map<uint64_t, size_t> runs_on;
	std::set<uint64_t> done;      /* whose end was acknowledged */
	std::map<uint64_t, int> jobs; /* state at the end */
	uint64_t query_op = 0;
	size_t unfinished = 0;
	std::vector<uint64_t> view_version;
	std::vector<std::string> violations;
	uint64_t newest_version = 0, evicted = 0, resumed = 0, requests = 0;

	World(uint64_t seed, const struct sim_conf &c);
	~World()
	{
		sim_free(s);
	}
	void violation(const std::string &what)
	{
		if (violations.size() < 5)
			violations.push_back("at " +
			    std::to_string(s->now_ns / SIM_MS) +
			    " ms: " + what);
	}
	uint32_t instance()
	{
		return 1 + (uint32_t)rng_below(&rng, s->conf.instances);
	}
	uint64_t op(uint32_t inst, const Control__Op *o)
	{
		uint64_t id = sim_op(s, inst, o);

		return id;
	}
	void reply(uint64_t id, const Control__OpResult *r);
	void reply_change(Change &c, const Control__OpResult *r);
	void reply_worker(size_t i, const Control__OpResult *r);
	void view(uint32_t inst);
	void check();
	void event(SimWorker &w, uint64_t task, uint32_t attempt, int kind,
	    uint64_t p);
	void stop_task(size_t i, uint64_t task);
	void drop_all(size_t i);
	void stop_all_tasks(size_t i);
	void start(size_t i, const Control__Order *o);
	void worker_tick(size_t i);
	void announce(size_t i);
	void poll(size_t i);
	void submit_changes();
	void claim_key();
	void report_stats(uint32_t inst);
	void run(int64_t ns, bool load);
	void inject_fault();
	void end_faults();
	void query();
};

World::World(uint64_t seed, const struct sim_conf &c) : s(sim_new(&c))
{
	rng_init(&rng, seed ^ 0x5eedULL);
	s->arg = this;
	s->on_reply = [](void *a, uint32_t, uint64_t id,
			  const Control__OpResult *r) {
		((World *)a)->reply(id, r);
	};
	s->on_view = [](void *a, uint32_t inst) { ((World *)a)->view(inst); };
	s->check = [](void *a) { ((World *)a)->check(); };
	view_version.resize(c.instances + 1);
	workers.resize(4);
	for (size_t i = 0; i < workers.size(); i++) {
		workers[i].name = "w" + std::to_string(i);
		workers[i].incarnation = rng_next(&rng);
		workers[i].rate = 1 + (rng_unit(&rng) - 0.5) * c.skew;
	}
}

void
World::reply_change(Change &c, const Control__OpResult *r)
{
	if (r->status != STATUS_OK && r->status != STATUS_CONFLICT)
		return;
	if (r->version > newest_version)
		newest_version = r->version;
	if (c.status >= 0 &&
	    (c.status != (int)r->status || c.version != r->version))
		violation("resent change " + c.id + " got another result");
	if (c.status >= 0)
		return;
	c.status = (int)r->status;
	c.version = r->version;
	if (r->status != STATUS_OK)
		return;
	if (change_by_version.count(r->version))
		violation("two changes got the same version");
	change_by_version[r->version] = c.id;
	accepted_ns[r->version] = s->now_ns;
}

void
World::reply(uint64_t id, const Control__OpResult *r)
{
	if (++answers[id] > 1)
		violation("operation answered twice");
	if (r->status == STATUS_NOT_LEADER)
		violation("caller got NOT_LEADER");
	for (size_t i = 0; id == query_op && i < r->n_jobs; i++) {
		jobs[r->jobs[i]->id] = r->jobs[i]->state;
		unfinished += r->jobs[i]->pending + r->jobs[i]->running;
	}
	if (worker_ops.count(id))
		reply_worker(worker_ops[id], r);
	if (change_ops.count(id))
		reply_change(changes[change_ops[id]], r);
	if (submit_ops.count(id) && r->status == STATUS_OK)
		jobs[r->id];
	if (claim_ops.count(id) && r->status == STATUS_OK && r->has_key_state &&
	    r->key_state == CONTROL__KEY_STATE__KEY_STATE_CLAIMED) {
		auto &c = claim_ops[id];
		if (claimed.count(c.first) && claimed[c.first] != c.second)
			violation("key " + c.first + " claimed twice");
		claimed[c.first] = c.second;
	}
}

void
World::event(
    SimWorker &w, uint64_t task, uint32_t attempt, int kind, uint64_t p)
{
	Control__TaskEvent e = CONTROL__TASK_EVENT__INIT;

	e.task = task;
	e.attempt = attempt;
	e.kind = (Control__TaskEventKind)kind;
	e.has_progress = p > 0;
	e.progress = p;
	w.events.push_back({ ++w.event_seq, e });
}

void
World::stop_task(size_t i, uint64_t task)
{
	workers[i].tasks.erase(task);
	if (runs_on.count(task) && runs_on[task] == i)
		runs_on.erase(task);
}

/* Stops all tasks as the lease has expired; the epoch may not have ended. */
void
World::stop_all_tasks(size_t i)
{
	SimWorker &w = workers[i];

	while (!w.tasks.empty()) {
		uint64_t task = w.tasks.begin()->first;
		Running r = w.tasks.begin()->second;

		stop_task(i, task);
		event(w, task, r.attempt,
		    CONTROL__TASK_EVENT_KIND__TASK_STOPPED, r.progress);
	}
}

/* Forgets all tasks and orders as the epoch has ended or the worker died. */
void
World::drop_all(size_t i)
{
	SimWorker &w = workers[i];

	while (!w.tasks.empty())
		stop_task(i, w.tasks.begin()->first);
	w.events.clear();
	w.received.clear();
	w.epoch = 0;
	w.order_seq = w.event_seq = 0;
}

void
World::start(size_t i, const Control__Order *o)
{
	SimWorker &w = workers[i];
	auto key = std::make_pair(o->task, o->attempt);

	if (!w.received.insert(key).second)
		return;
	if (runs_on.count(o->task))
		violation("task runs in two places");
	if (started.count(key))
		violation("attempt started twice: task " +
		    std::to_string(o->task) + " attempt " +
		    std::to_string(o->attempt) + " epochs " +
		    std::to_string(started[key]) + ", " +
		    std::to_string(w.epoch));
	if (done.count(o->task))
		violation("finished task started again");
	if (o->attempt <= last_attempt[o->task])
		violation("attempt number did not increase");
	resumed += last_attempt[o->task] != 0;
	last_attempt[o->task] = o->attempt;
	started[key] = w.epoch;
	runs_on[o->task] = i;
	w.tasks[o->task] = { o->attempt, o->resume_from,
		s->now_ns + (200 + (int64_t)rng_below(&rng, 4000)) * SIM_MS };
	if ((int64_t)w.tasks.size() * TASK_CPU > WORKER_CPU)
		violation("worker got more tasks than its capacity");
	event(
	    w, o->task, o->attempt, CONTROL__TASK_EVENT_KIND__TASK_RUNNING, 0);
}

void
World::reply_worker(size_t i, const Control__OpResult *r)
{
	SimWorker &w = workers[i];

	w.op = 0;
	if (!w.up || w.isolated)
		return;
	if (r->status == STATUS_STALE) {
		drop_all(i);
		return;
	}
	if (r->status != STATUS_OK)
		return;
	if (w.epoch == 0)
		w.epoch = r->epoch;
	if (w.epoch != r->epoch)
		return;
	w.lease_until_ns =
	    w.op_sent_ns + (int64_t)((double)r->lease_ms * SIM_MS / w.rate);
	while (!w.events.empty() && w.events.front().first <= r->event_ack) {
		if (w.events.front().second.kind ==
		    CONTROL__TASK_EVENT_KIND__TASK_DONE)
			done.insert(w.events.front().second.task);
		w.events.pop_front();
	}
	if (s->now_ns >= w.lease_until_ns)
		return; /* the lease has expired meanwhile */
	for (size_t k = 0; k < r->n_orders; k++) {
		const Control__Order *o = r->orders[k];

		if (o->seq <= w.order_seq || o->epoch != w.epoch)
			continue;
		w.order_seq = o->seq;
		if (o->kind == CONTROL__ORDER_KIND__ORDER_START) {
			start(i, o);
		} else if (o->kind != CONTROL__ORDER_KIND__ORDER_THROTTLE) {
			uint64_t p = w.tasks.count(o->task)
			    ? w.tasks[o->task].progress
			    : 0;
			stop_task(i, o->task);
			event(w, o->task, o->attempt,
			    CONTROL__TASK_EVENT_KIND__TASK_STOPPED, p);
		}
	}
}

void
World::announce(size_t i)
{
	SimWorker &w = workers[i];
	Control__Op o = CONTROL__OP__INIT;
	Control__WorkerUp u = CONTROL__WORKER_UP__INIT;

	u.name = (char *)w.name.c_str();
	u.incarnation = w.incarnation;
	u.addr = (char *)"127.0.0.1:1";
	u.cpu_milli = WORKER_CPU;
	u.mem_mb = 100000;
	u.slots = SLOTS;
	o.worker_up = &u;
	w.op_sent_ns = s->now_ns;
	w.op = op(instance(), &o);
	if (w.op != 0)
		worker_ops[w.op] = i;
}

void
World::poll(size_t i)
{
	SimWorker &w = workers[i];
	Control__Op o = CONTROL__OP__INIT;
	Control__WorkerPoll p = CONTROL__WORKER_POLL__INIT;
	std::vector<Control__TaskEvent *> ev;
	std::vector<uint64_t> running;

	for (auto &e : w.events)
		ev.push_back(&e.second);
	for (auto &t : w.tasks)
		running.push_back(t.first);
	p.name = (char *)w.name.c_str();
	p.incarnation = w.incarnation;
	p.epoch = w.epoch;
	p.events = ev.data();
	p.n_events = ev.size();
	p.has_event_seq = !ev.empty();
	p.event_seq = w.event_seq;
	p.running = running.data();
	p.n_running = running.size();
	p.has_order_seq = w.order_seq != 0;
	p.order_seq = w.order_seq;
	o.worker_poll = &p;
	w.op_sent_ns = s->now_ns;
	w.op = op(instance(), &o);
	if (w.op != 0)
		worker_ops[w.op] = i;
}

void
World::worker_tick(size_t i)
{
	SimWorker &w = workers[i];

	if (!w.up)
		return;
	if (w.epoch != 0 && s->now_ns >= w.lease_until_ns)
		stop_all_tasks(i);
	for (auto t = w.tasks.begin(); t != w.tasks.end();) {
		uint64_t task = t->first;
		Running r = t->second;

		++t;
		if (s->now_ns >= r.finish_ns) {
			unsigned how = (unsigned)rng_below(&rng, 20);

			stop_task(i, task);
			evicted += how == 1;
			event(w, task, r.attempt,
			    how == 0 ? CONTROL__TASK_EVENT_KIND__TASK_FAILED
				: how == 1
				? CONTROL__TASK_EVENT_KIND__TASK_STOPPED
				: CONTROL__TASK_EVENT_KIND__TASK_DONE,
			    r.progress);
		} else if (rng_chance(&rng, 0.05)) {
			w.tasks[task].progress = ++r.progress;
			event(w, task, r.attempt,
			    CONTROL__TASK_EVENT_KIND__TASK_CHECKPOINTED,
			    r.progress);
		}
	}
	if (w.isolated || s->now_ns < w.next_poll_ns)
		return;
	/* A call without an answer times out after 2 s. */
	if (w.op != 0 && s->now_ns - w.op_sent_ns < 2000 * SIM_MS)
		return;
	if (w.op != 0)
		worker_ops.erase(w.op);
	w.next_poll_ns =
	    s->now_ns + (500 + (int64_t)rng_below(&rng, 600)) * SIM_MS;
	if (w.epoch == 0)
		announce(i);
	else
		poll(i);
}

void
World::view(uint32_t inst)
{
	const struct view *v = s->inst[inst].view;

	if (v->config_version < s->inst[inst].min_config_version)
		violation("configuration version decreased on instance " +
		    std::to_string(inst));
}

/* Checks freshness, granted slots and leases after every event. */
void
World::check()
{
	std::map<uint64_t, unsigned> slots;
	uint64_t required_version = 0;

	/* 3 s on a clock that is as slow as the bound allows. */
	for (auto &a : accepted_ns)
		if (s->now_ns - a.second > 3031 * SIM_MS)
			required_version = a.first;
	for (uint32_t i = 1; i <= s->conf.instances; i++) {
		struct sim_instance *in = &s->inst[i];

		if (!in->up || in->view == nullptr)
			continue;
		if (agent_is_ready(in->agent, sim_local_time(s, in)) &&
		    in->view->config_version < required_version)
			violation("instance accepts work with an outdated "
				  "configuration");
		for (size_t k = 0; k < in->view->nworkers; k++) {
			const struct view_worker *w = &in->view->workers[k];
			if (clk_before(sim_local_time(s, in), w->grant_expiry))
				slots[w->epoch] += w->slots;
		}
	}
	for (auto &w : slots)
		if (w.second > SLOTS)
			violation("more slots granted than the worker has");
	for (size_t i = 0; i < workers.size(); i++)
		if (s->now_ns >= workers[i].lease_until_ns)
			stop_all_tasks(i);
}

/* Submits or resends a configuration, at times outdated, and a job. */
void
World::submit_changes()
{
	Control__Op o = CONTROL__OP__INIT;
	Control__ConfigSet set = CONTROL__CONFIG_SET__INIT;
	Control__Config c = CONTROL__CONFIG__INIT;
	Control__Class web = CONTROL__CLASS__INIT, batch = web;
	Control__Class *v[2] = { &web, &batch };
	bool resend = !changes.empty() && rng_chance(&rng, 0.3);
	size_t n = resend ? rng_below(&rng, changes.size()) : changes.size();
	uint64_t id;

	if (!resend)
		changes.push_back({ "change-" + std::to_string(n),
		    newest_version -
			(newest_version > 0 && rng_chance(&rng, 0.2)) });
	web.name = (char *)"web";
	batch.name = (char *)"batch";
	c.classes = v;
	c.n_classes = 2;
	set.change_id = (char *)changes[n].id.c_str();
	set.expected_version = changes[n].expected;
	set.config = &c;
	o.config_set = &set;
	id = op(instance(), &o);
	if (id != 0)
		change_ops[id] = n;
	if (!rng_chance(&rng, 0.4))
		return;
	Control__JobSubmit j = CONTROL__JOB_SUBMIT__INIT;
	Control__JobSpec spec = CONTROL__JOB_SPEC__INIT;
	std::string job = "job-" + std::to_string(rng_below(&rng, 12));

	o.config_set = nullptr;
	o.job_submit = &j;
	j.change_id = (char *)job.c_str();
	j.spec = &spec;
	spec.class_name = (char *)"batch";
	spec.tasks = 6;
	spec.cpu_milli = TASK_CPU;
	spec.mem_mb = 100;
	id = op(instance(), &o);
	if (id != 0)
		submit_ops.insert(id);
}

/* Claims a key from two instances at about the same time. */
void
World::claim_key()
{
	std::string key = "key-" + std::to_string(rng_below(&rng, 1000));

	for (int i = 0; i < 2; i++) {
		Control__Op o = CONTROL__OP__INIT;
		Control__KeyClaim k = CONTROL__KEY_CLAIM__INIT;
		uint32_t inst = instance();
		uint64_t id;

		k.key = (char *)key.c_str();
		k.class_name = (char *)"web";
		k.digest = 1;
		k.instance = inst;
		k.incarnation = s->inst[inst].incarnation;
		k.request = ++requests;
		k.has_deadline_ms = 1;
		k.deadline_ms = SIM_WALL_MS + s->now_ns / SIM_MS + 30000;
		o.key_claim = &k;
		id = op(inst, &o);
		if (id != 0)
			claim_ops[id] = { key, k.request };
	}
}

/* Reports all slots that the view grants as held. */
void
World::report_stats(uint32_t inst)
{
	struct sim_instance *in = &s->inst[inst];
	std::vector<Control__SlotUse> use;
	struct agent_ev ev = { AGENT_EV_STATS, { nullptr } };
	Control__ClassDemand d = CONTROL__CLASS_DEMAND__INIT;

	if (!in->up || in->view == nullptr)
		return;
	for (size_t i = 0; i < in->view->nworkers; i++) {
		Control__SlotUse u = CONTROL__SLOT_USE__INIT;

		u.epoch = in->view->workers[i].epoch;
		u.held = in->view->workers[i].slots;
		u.used = (uint32_t)rng_below(&rng, u.held + 1);
		u.has_grant_seq = 1;
		u.grant_seq = in->view->workers[i].grant_seq;
		use.push_back(u);
	}
	d.name = (char *)"web";
	d.queued = (uint32_t)rng_below(&rng, 30);
	memset(&ev.u, 0, sizeof(ev.u));
	ev.u.stats.slots = use.data();
	ev.u.stats.nslots = use.size();
	ev.u.stats.demand = &d;
	ev.u.stats.ndemand = 1;
	sim_step_agent(s, in, &ev);
}

void
World::inject_fault()
{
	uint32_t i = instance(), k = instance();
	SimWorker &w = workers[rng_below(&rng, workers.size())];
	size_t wi = (size_t)(&w - workers.data());

	switch (rng_below(&rng, 8)) {
	case 0:
		if (s->inst[i].up)
			sim_stop(s, i);
		break;
	case 1:
		sim_isolate(s, i, true);
		break;
	case 2:
		if (i != k)
			s->cut[i][k] = true;
		break;
	case 3:
		w.isolated = true;
		break;
	case 4: /* restarts with a new incarnation */
		drop_all(wi);
		worker_ops.erase(w.op);
		w.incarnation = rng_next(&rng);
		w.op = 0;
		break;
	default:
		end_faults();
	}
}

void
World::end_faults()
{
	memset(s->cut, 0, sizeof(s->cut));
	for (uint32_t i = 1; i <= s->conf.instances; i++)
		if (!s->inst[i].up)
			sim_start(s, i);
	for (auto &w : workers)
		w.isolated = false;
}

void
World::query()
{
	Control__Op o = CONTROL__OP__INIT;
	Control__Query q = CONTROL__QUERY__INIT;

	q.kind = CONTROL__QUERY_KIND__QUERY_JOBS;
	o.query = &q;
	query_op = s->op_id + 1;
	op(instance(), &o);
	sim_run(s, 1000 * SIM_MS);
}

void
World::run(int64_t ns, bool load)
{
	int64_t end = s->now_ns + ns;

	while (s->now_ns < end && violations.empty()) {
		sim_run(s, 50 * SIM_MS);
		for (size_t i = 0; i < workers.size(); i++)
			worker_tick(i);
		for (uint32_t i = 1; i <= s->conf.instances; i++)
			if (rng_chance(&rng, 0.3))
				report_stats(i);
		if (!load)
			continue;
		if (rng_chance(&rng, 0.1))
			submit_changes();
		if (rng_chance(&rng, 0.1))
			claim_key();
		if (rng_chance(&rng, 0.03))
			inject_fault();
	}
}

} /* namespace */

/*
 * Guards against a task that runs twice or in two places, an operation that is
 * answered twice, a configuration that reverts or takes effect too late, a key
 * claimed twice, and slots granted twice. These can come about through lost
 * messages, partitions, restarts, and clocks whose rates differ by the bound.
 */
TEST(CellSim, InvariantsHoldUnderFaults)
{
	const char *more = getenv("CELL_SIM_SCHEDULES");
	const uint64_t first = 1, n = more != nullptr ? atoi(more) : 24;
	uint64_t resumed = 0, done = 0, accepted = 0;

	for (uint64_t seed = first; seed < first + n; seed++) {
		struct sim_conf c = sim_defaults(seed, 5, 3);

		c.drop = seed % 4 == 0 ? 0 : 0.01;
		c.skew = 0.0099;
		c.snapshot_entries = 200;
		World w(seed, c);
		w.run(5000 * SIM_MS, false);
		w.run(60000 * SIM_MS, true);
		w.s->conf.drop = 0;
		w.end_faults();
		w.run(60000 * SIM_MS, false);
		EXPECT_TRUE(w.violations.empty()) << w.violations[0];
		w.query();
		EXPECT_TRUE(w.runs_on.empty()) << w.runs_on.size();
		EXPECT_EQ(0u, w.unfinished);
		for (auto &j : w.jobs)
			EXPECT_GE(j.second, CONTROL__JOB_STATE__JOB_DONE);
		resumed += w.resumed;
		done += w.done.size();
		accepted += w.accepted_ns.size();
		if (HasFailure()) {
			printf("seed %llu\n", (unsigned long long)seed);
			return;
		}
	}
	/* The checks above are only of use if work was done. */
	EXPECT_GT(resumed, n);
	EXPECT_GT(done, 6 * n);
	EXPECT_GT(accepted, 3 * n);
	printf("schedules %llu\n", (unsigned long long)n);
	printf("figure resumed %llu done %llu accepted %llu\n",
	    (unsigned long long)resumed, (unsigned long long)done,
	    (unsigned long long)accepted);
}
