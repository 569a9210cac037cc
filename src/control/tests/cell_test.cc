#include <gtest/gtest.h>

#include <map>
#include <string>

#include "control/lease.h"
#include "control/tests/cell_sim.h"

namespace {

struct Reply {
	unsigned n = 0;
	enum status status = STATUS_OK;
	uint64_t version = 0, id = 0, epoch = 0, event_ack = 0;
	int key_state = -1;
	std::string body, text;
	std::vector<std::pair<int, uint64_t>> orders; /* kind, task */
	uint64_t order_seq = 0;
	uint32_t attempt = 0;
	size_t workers = 0;
};

/* A simulated group; its operations run until they have a result. */
struct Group {
	struct sim *s;
	std::map<uint64_t, Reply> replies;

	explicit Group(const struct sim_conf &c) : s(sim_new(&c))
	{
		s->arg = this;
		s->on_reply = [](void *arg, uint32_t, uint64_t id,
				  const Control__OpResult *r) {
			((Group *)arg)->store_reply(id, r);
		};
	}
	~Group()
	{
		sim_free(s);
	}
	void store_reply(uint64_t id, const Control__OpResult *r)
	{
		Reply &p = replies[id];

		p.n++;
		p.status = (enum status)r->status;
		p.version = r->version;
		p.id = r->id;
		p.epoch = r->epoch;
		p.event_ack = r->event_ack;
		if (r->has_key_state)
			p.key_state = r->key_state;
		if (r->has_body)
			p.body.assign((char *)r->body.data, r->body.len);
		if (r->text != nullptr)
			p.text = r->text;
		for (size_t i = 0; i < r->n_orders; i++) {
			p.orders.push_back(
			    { r->orders[i]->kind, r->orders[i]->task });
			p.order_seq = r->orders[i]->seq;
			p.attempt = r->orders[i]->attempt;
		}
		p.workers = r->n_workers;
	}
	/* Runs the simulation until the operation has a result. */
	Reply op(uint32_t inst, const Control__Op *op)
	{
		uint64_t id = sim_op(s, inst, op);
		int64_t limit = s->now_ns + 20000 * SIM_MS;

		while (replies[id].n == 0 && sim_step(s, limit))
			;
		return replies[id];
	}
	Reply worker_up(uint32_t inst, const char *name, uint64_t incarnation)
	{
		Control__Op o = CONTROL__OP__INIT;
		Control__WorkerUp u = CONTROL__WORKER_UP__INIT;
		char *serves[1] = { (char *)"web" };

		u.name = (char *)name;
		u.incarnation = incarnation;
		u.addr = (char *)"127.0.0.1:1";
		u.cpu_milli = 64000;
		u.mem_mb = 250000;
		u.slots = 8;
		u.serves = serves;
		u.n_serves = 1;
		o.worker_up = &u;
		return op(inst, &o);
	}
	Reply poll(uint32_t inst, const char *name, uint64_t incarnation,
	    uint64_t epoch, uint64_t order_seq = 0, int running = -1)
	{
		Control__Op o = CONTROL__OP__INIT;
		Control__WorkerPoll p = CONTROL__WORKER_POLL__INIT;

		p.name = (char *)name;
		p.incarnation = incarnation;
		p.epoch = epoch;
		p.has_order_seq = order_seq != 0;
		p.order_seq = order_seq;
		p.has_running_requests = running >= 0;
		p.running_requests = (uint32_t)running;
		o.worker_poll = &p;
		return op(inst, &o);
	}
	Reply config(uint32_t inst, const char *change, uint64_t expected,
	    unsigned bound = 100)
	{
		Control__Op o = CONTROL__OP__INIT;
		Control__ConfigSet set = CONTROL__CONFIG_SET__INIT;
		Control__Config c = CONTROL__CONFIG__INIT;
		Control__Class web = CONTROL__CLASS__INIT;
		Control__Class batch = CONTROL__CLASS__INIT;
		Control__Class *v[2] = { &web, &batch };

		web.name = (char *)"web";
		web.urgent = 1;
		web.has_bound_ms = 1;
		web.bound_ms = bound;
		batch.name = (char *)"batch";
		c.classes = v;
		c.n_classes = 2;
		set.change_id = (char *)change;
		set.expected_version = expected;
		set.config = &c;
		o.config_set = &set;
		return op(inst, &o);
	}
	Reply submit(uint32_t inst, const char *change, unsigned tasks)
	{
		Control__Op o = CONTROL__OP__INIT;
		Control__JobSubmit j = CONTROL__JOB_SUBMIT__INIT;
		Control__JobSpec spec = CONTROL__JOB_SPEC__INIT;

		spec.class_name = (char *)"batch";
		spec.tasks = tasks;
		spec.cpu_milli = 1000;
		spec.mem_mb = 1000;
		j.change_id = (char *)change;
		j.spec = &spec;
		o.job_submit = &j;
		return op(inst, &o);
	}
	Reply claim(uint32_t inst, const char *key, uint64_t request,
	    uint64_t digest = 1)
	{
		Control__Op o = CONTROL__OP__INIT;
		Control__KeyClaim k = CONTROL__KEY_CLAIM__INIT;

		k.key = (char *)key;
		k.class_name = (char *)"web";
		k.digest = digest;
		k.instance = inst;
		k.incarnation = s->inst[inst].incarnation;
		k.request = request;
		k.has_deadline_ms = 1;
		k.deadline_ms = SIM_WALL_MS + s->now_ns / SIM_MS + 30000;
		o.key_claim = &k;
		return op(inst, &o);
	}
};

/* Five instances, of which three have become voters. */
struct FiveInstances : Group {
	explicit FiveInstances(
	    uint64_t seed, struct sim_conf c = sim_defaults(0, 5, 3))
	    : Group(with_seed(c, seed))
	{
		sim_run(s, 8000 * SIM_MS);
	}
	static struct sim_conf with_seed(struct sim_conf c, uint64_t seed)
	{
		c.seed = seed;
		return c;
	}
	/* Restarts the leader and waits until another one serves. */
	uint32_t change_leader()
	{
		uint32_t old = sim_leader(s);

		sim_stop(s, old);
		sim_run(s, 5000 * SIM_MS);
		sim_start(s, old);
		sim_run(s, 1000 * SIM_MS);
		return old;
	}
	/* Polls with one task event. */
	Reply event(uint32_t inst, uint64_t epoch, uint64_t task,
	    uint32_t attempt, int kind, uint64_t seq, uint64_t progress)
	{
		Control__Op o = CONTROL__OP__INIT;
		Control__WorkerPoll p = CONTROL__WORKER_POLL__INIT;
		Control__TaskEvent e = CONTROL__TASK_EVENT__INIT;
		Control__TaskEvent *v[1] = { &e };

		e.task = task;
		e.attempt = attempt;
		e.kind = (Control__TaskEventKind)kind;
		e.has_progress = 1;
		e.progress = progress;
		p.name = (char *)"w1";
		p.incarnation = 7;
		p.epoch = epoch;
		p.events = v;
		p.n_events = 1;
		p.has_event_seq = 1;
		p.event_seq = seq;
		o.worker_poll = &p;
		return op(inst, &o);
	}
};

/* Returns the slots of the first worker under which an instance may start
 * requests now. */
unsigned
usable_slots(struct sim *s, uint32_t inst)
{
	struct sim_instance *in = &s->inst[inst];
	struct timespec now = sim_local_time(s, in);

	if (!in->up || in->view == nullptr || in->view->nworkers == 0 ||
	    !clk_before(now, in->view->fresh_until) ||
	    !clk_before(now, in->view->workers[0].grant_start_until) ||
	    !clk_before(now, in->view->workers[0].grant_expiry))
		return 0;
	return in->view->workers[0].slots;
}

/* A group with a worker that has 8 slots and counts its requests. */
struct CountingWorker : FiveInstances {
	uint64_t epoch = 0, order_seq = 0;
	unsigned running = 0;	  /* requests, as the worker reports them */
	unsigned most_usable = 0; /* of all instances at any time */

	explicit CountingWorker(uint64_t seed) : FiveInstances(seed)
	{
		s->check = [](void *arg) {
			CountingWorker *w = (CountingWorker *)(Group *)arg;

			w->most_usable = std::max(w->most_usable, w->usable());
		};
		config(1, "c1", 0);
		epoch = worker_up(1, "w1", 7).epoch;
	}
	unsigned usable()
	{
		unsigned sum = 0;

		for (uint32_t i = 1; i <= s->conf.instances; i++)
			sum += usable_slots(s, i);
		return sum;
	}
	/* Reports the slots that an instance holds. */
	void report_held(uint32_t inst)
	{
		struct sim_instance *in = &s->inst[inst];
		struct agent_ev ev = { AGENT_EV_STATS, { nullptr } };
		Control__SlotUse u = CONTROL__SLOT_USE__INIT;

		if (!in->up || in->view == nullptr || in->view->nworkers == 0)
			return;
		memset(&ev.u, 0, sizeof(ev.u));
		u.epoch = epoch;
		u.has_grant_seq = 1;
		u.grant_seq = in->view->workers[0].grant_seq;
		if (clk_before(sim_local_time(s, in),
			in->view->workers[0].grant_expiry))
			u.held = in->view->workers[0].slots;
		ev.u.stats.slots = &u;
		ev.u.stats.nslots = 1;
		sim_step_agent(s, in, &ev);
	}
	/* Runs for some seconds, with reports of all instances. */
	void run(int seconds)
	{
		for (int i = 0; i < seconds * 5; i++) {
			for (uint32_t k = 1; k <= s->conf.instances; k++)
				report_held(k);
			sim_run(s, 200 * SIM_MS);
		}
	}
	/* The same, with a poll at the instance in each second. */
	void run_polling(uint32_t inst, int seconds)
	{
		for (int i = 0; i < seconds; i++) {
			Reply r =
			    poll(inst, "w1", 7, epoch, order_seq, (int)running);

			order_seq = std::max(order_seq, r.order_seq);
			run(1);
		}
	}
	/* Restarts the leader and waits until another one serves. */
	void replace_leader()
	{
		uint32_t old = sim_leader(s);

		sim_stop(s, old);
		run(4);
		sim_start(s, old);
		run(1);
	}
};

bool
ready(struct sim *s, uint32_t inst)
{
	return agent_is_ready(
	    s->inst[inst].agent, sim_local_time(s, &s->inst[inst]));
}

uint64_t
resends(struct sim *s, uint32_t inst)
{
	const struct ctr_set *c = agent_counters(s->inst[inst].agent);

	for (size_t i = 0; i < c->ncounters; i++)
		if (strcmp(c->desc[i].name, "agent_resends") == 0)
			return ctr_get(c, i);
	return UINT64_MAX;
}

} /* namespace */

/* Guards against a service that doesn't work in a group of one. */
TEST(Cell, ServesAGroupOfOne)
{
	Group g(sim_defaults(1, 1, 1));
	Reply r;

	EXPECT_EQ(STATUS_OK, g.config(1, "c1", 0).status);
	r = g.worker_up(1, "w1", 7);
	EXPECT_EQ(STATUS_OK, r.status);
	EXPECT_EQ(STATUS_OK, g.poll(1, "w1", 7, r.epoch).status);
	EXPECT_EQ(STATUS_OK, g.submit(1, "j1", 3).status);
	sim_run(g.s, 1500 * SIM_MS);
	r = g.poll(1, "w1", 7, r.epoch);
	EXPECT_EQ(3u, r.orders.size());
	EXPECT_EQ(CONTROL__KEY_STATE__KEY_STATE_CLAIMED,
	    g.claim(1, "k", 1).key_state);
	ASSERT_NE(nullptr, g.s->inst[1].view);
	EXPECT_EQ(1u, g.s->inst[1].view->config_version);
	ASSERT_EQ(1u, g.s->inst[1].view->nworkers);
	EXPECT_EQ(8u, g.s->inst[1].view->workers[0].slots);
	EXPECT_TRUE(agent_is_ready(
	    g.s->inst[1].agent, sim_local_time(g.s, &g.s->inst[1])));
}

/* Guards against missing replicas not being added automatically. */
TEST(Cell, GrowsToThreeVoters)
{
	FiveInstances g(2);

	EXPECT_EQ(STATUS_OK, g.config(5, "c1", 0).status);
	sim_stop(g.s, 1);
	EXPECT_EQ(STATUS_OK, g.config(4, "c2", 1).status);
	EXPECT_NE(1u, sim_leader(g.s));
}

/*
 * Guards against a resent change that is applied again or gets a different
 * result after a change of leader, a restart of a replica from a snapshot, or
 * both.
 */
TEST(Cell, GivesTheFirstAnswerToResentChanges)
{
	struct sim_conf c = sim_defaults(0, 5, 3);

	c.snapshot_entries = 20;
	FiveInstances g(3, c);
	EXPECT_EQ(STATUS_OK, g.config(4, "first", 0, 50).status);
	EXPECT_EQ(STATUS_CONFLICT, g.config(5, "second", 0, 60).status);
	for (unsigned i = 1; i < 40; i++)
		ASSERT_EQ(STATUS_OK,
		    g.config(5, ("c" + std::to_string(i)).c_str(), i).status);
	for (unsigned i = 0; i < 3; i++) {
		Reply r = g.config(4, "first", 0, 50);
		EXPECT_EQ(STATUS_OK, r.status);
		EXPECT_EQ(1u, r.version);
		r = g.config(4, "second", 0, 60);
		EXPECT_EQ(STATUS_CONFLICT, r.status);
		EXPECT_EQ(1u, r.version);
		/* The same id with other content is not a resend. */
		EXPECT_EQ(STATUS_INVALID, g.config(4, "first", 0, 99).status);
		g.change_leader();
	}
	EXPECT_GT(g.s->inst[sim_leader(g.s)].disk.snap_index, 0u);
	EXPECT_EQ(STATUS_CONFLICT, g.config(4, "late", 39).status);
}

/*
 * Guards against a partitioned instance that continues with an outdated
 * configuration, and against one that uses an older one after a restart.
 */
TEST(Cell, StaleInstanceStopsAndNeverGoesBack)
{
	FiveInstances g(4);

	ASSERT_EQ(STATUS_OK, g.config(1, "c1", 0).status);
	sim_run(g.s, 1000 * SIM_MS);
	ASSERT_TRUE(ready(g.s, 5));
	EXPECT_EQ(1u, g.s->inst[5].view->config_version);
	sim_isolate(g.s, 5, true);
	ASSERT_EQ(STATUS_OK, g.config(1, "c2", 1).status);
	int64_t accepted = g.s->now_ns;
	while (ready(g.s, 5) && g.s->now_ns < accepted + 10000 * SIM_MS)
		sim_run(g.s, SIM_MS);
	EXPECT_LE(g.s->now_ns - accepted, 3000 * SIM_MS);
	sim_isolate(g.s, 5, false);
	sim_run(g.s, 1500 * SIM_MS);
	EXPECT_TRUE(ready(g.s, 5));
	EXPECT_EQ(2u, g.s->inst[5].view->config_version);
	/* An instance refuses a group that was restored from an old copy. */
	sim_stop(g.s, 5);
	g.s->inst[5].min_config_version = 9;
	sim_start(g.s, 5);
	sim_run(g.s, 5000 * SIM_MS);
	EXPECT_FALSE(ready(g.s, 5));
	EXPECT_EQ(nullptr, g.s->inst[5].view);
}

/*
 * Guards against events accepted from an ended epoch, and against a lost
 * worker's task that resumes twice or without its checkpoint.
 */
TEST(Cell, LostWorkerIsFencedAndItsTaskResumesOnce)
{
	FiveInstances g(5);
	uint64_t task = 1ULL << 20;

	ASSERT_EQ(STATUS_OK, g.config(1, "c1", 0).status);
	uint64_t epoch = g.worker_up(2, "w1", 7).epoch;
	EXPECT_EQ(epoch, g.worker_up(3, "w1", 7).epoch);
	ASSERT_EQ(STATUS_OK, g.submit(2, "j1", 1).status);
	sim_run(g.s, 1000 * SIM_MS);
	Reply r = g.poll(2, "w1", 7, epoch);
	ASSERT_EQ(1u, r.orders.size());
	ASSERT_EQ(task, r.orders[0].second);
	/* The order is repeated until it is reported as executed. */
	EXPECT_EQ(1u, g.poll(3, "w1", 7, epoch).orders.size());
	r = g.event(2, epoch, task, 1,
	    CONTROL__TASK_EVENT_KIND__TASK_CHECKPOINTED, 1, 40);
	EXPECT_EQ(1u, r.event_ack);
	int64_t last_event_ns = g.s->now_ns;
	uint64_t other = g.worker_up(4, "w2", 9).epoch;
	r = Reply();
	while (
	    r.orders.empty() && g.s->now_ns < last_event_ns + 20000 * SIM_MS) {
		sim_run(g.s, 500 * SIM_MS);
		r = g.poll(4, "w2", 9, other);
	}
	ASSERT_EQ(1u, r.orders.size());
	EXPECT_EQ(2u, r.attempt);
	/* 6 s lease, 1 % for clock rates and 500 ms for messages in transit. */
	EXPECT_GE(g.s->now_ns - last_event_ns, 6560 * SIM_MS);
	EXPECT_EQ(STATUS_STALE,
	    g.event(
		 2, epoch, task, 1, CONTROL__TASK_EVENT_KIND__TASK_DONE, 2, 0)
		.status);
	uint64_t new_epoch = g.worker_up(2, "w1", 7).epoch;
	EXPECT_GT(new_epoch, other);
	EXPECT_TRUE(g.poll(2, "w1", 7, new_epoch).orders.empty());
	g.change_leader();
	EXPECT_TRUE(g.poll(2, "w1", 7, new_epoch).orders.empty());
}

/* Guards against a new leader that reassigns before old leases expire. */
TEST(Cell, NewLeaderWaitsAWholeLease)
{
	FiveInstances g(6);

	ASSERT_EQ(STATUS_OK, g.config(1, "c1", 0).status);
	uint64_t epoch = g.worker_up(4, "w1", 7).epoch;
	sim_run(g.s, 5500 * SIM_MS);
	g.change_leader();
	/* Under the old leader the lease would have expired by now. */
	EXPECT_EQ(STATUS_OK, g.poll(4, "w1", 7, epoch).status);
	sim_run(g.s, 6000 * SIM_MS);
	EXPECT_EQ(STATUS_OK, g.poll(4, "w1", 7, epoch).status);
	sim_run(g.s, 6700 * SIM_MS);
	EXPECT_EQ(STATUS_STALE, g.poll(4, "w1", 7, epoch).status);
}

/*
 * Guards against requests that are refused until grants expire because the only
 * worker's slots are taken for held by instances that are gone.
 */
TEST(Cell, ANewLeaderFreesSlotsOfInstancesThatAreGone)
{
	CountingWorker g(21);

	ASSERT_EQ(0u, usable_slots(g.s, 3));
	for (uint32_t i : { 1, 2, 4, 5 })
		sim_stop(g.s, i);
	sim_run(g.s, 5000 * SIM_MS);
	EXPECT_FALSE(ready(g.s, 3));
	sim_start(g.s, 1);
	while (!ready(g.s, 3))
		sim_run(g.s, 100 * SIM_MS);
	EXPECT_EQ(0u, g.usable());
	/* A poll may be old if it doesn't show that it came after the order. */
	for (int i = 0; i < 8; i++) {
		g.poll(3, "w1", 7, g.epoch, 0, 0);
		g.run(1);
	}
	EXPECT_EQ(0u, g.usable());
	g.run_polling(3, 3);
	EXPECT_GT(usable_slots(g.s, 3), 0u);
	EXPECT_EQ(8u, g.usable());
	EXPECT_EQ(8u, g.most_usable);
}

/*
 * Guards against an instance that returns after its slots were granted again
 * and starts requests under its earlier grant, which has not expired.
 */
TEST(Cell, AnInstanceThatReturnsUsesNoEarlierGrant)
{
	CountingWorker g(22);

	g.run_polling(4, 3);
	ASSERT_EQ(8u, g.usable());
	ASSERT_GT(usable_slots(g.s, 5), 0u);
	sim_isolate(g.s, 5, true);
	g.replace_leader();
	EXPECT_LT(g.usable(), 8u);
	EXPECT_GT(g.usable(), 0u);
	g.run_polling(4, 8);
	EXPECT_EQ(8u, g.usable());
	EXPECT_EQ(0u, usable_slots(g.s, 5));
	EXPECT_TRUE(clk_before(sim_local_time(g.s, &g.s->inst[5]),
	    g.s->inst[5].view->workers[0].grant_expiry));
	sim_isolate(g.s, 5, false);
	g.run_polling(4, 8);
	EXPECT_EQ(8u, g.usable());
	EXPECT_EQ(8u, g.most_usable);
	EXPECT_GT(usable_slots(g.s, 5), 0u);
}

/*
 * Guards against slots in use twice after two changes of leader: the first new
 * leader grants those of a silent instance again, which reports them to the
 * second one as its own.
 */
TEST(Cell, AVoidGrantIsNotHonouredByLaterLeaders)
{
	CountingWorker g(22);
	unsigned again;

	g.run_polling(4, 3);
	sim_isolate(g.s, 5, true);
	g.replace_leader();
	g.run_polling(4, 8);
	ASSERT_EQ(8u, g.usable());
	/* What instance 4 and the leader were granted is in use when they are
	 * gone; instance 5 can't know that. */
	again = usable_slots(g.s, 4) + usable_slots(g.s, sim_leader(g.s));
	ASSERT_GT(again, 2u);
	g.running = again;
	sim_isolate(g.s, 4, true);
	sim_isolate(g.s, 5, false);
	g.s->cut[4][5] = g.s->cut[5][4] = true;
	g.replace_leader();
	EXPECT_TRUE(clk_before(sim_local_time(g.s, &g.s->inst[5]),
	    g.s->inst[5].view->workers[0].grant_expiry));
	for (int i = 0; i < 10; i++) {
		g.run_polling(5, 1);
		EXPECT_LE(g.usable() + again, 8u);
	}
	EXPECT_EQ(8u, g.usable() + again);
	EXPECT_EQ(8u, g.most_usable);
}

/*
 * Guards against a leader that was suspended and answers heartbeats and polls
 * before it learns that it has been replaced.
 */
TEST(Cell, AnswersOnlyAfterConfirmingLeadership)
{
	FiveInstances g(9);
	Control__PeerMsg m = CONTROL__PEER_MSG__INIT;
	Control__Beat b = CONTROL__BEAT__INIT;
	struct cell_acts acts = {};
	struct cell_ev ev = { CELL_EV_PEER, SIM_WALL_MS, { nullptr } };

	ASSERT_EQ(STATUS_OK, g.config(1, "c1", 0).status);
	struct sim_instance *in = &g.s->inst[sim_leader(g.s)];
	m.group = SIM_GROUP;
	m.from = 5;
	m.beat = &b;
	b.instance = 5;
	b.incarnation = 77;
	ev.u.peer = &m;
	for (int suspended = 0; suspended < 2; suspended++) {
		size_t answers = 0;

		b.seq++;
		acts.n = 0;
		cell_step(in->cell,
		    clk_add_ms(sim_local_time(g.s, in), suspended ? 5000 : 0),
		    &ev, &acts);
		for (size_t i = 0; i < acts.n; i++)
			answers += acts.v[i].kind == CELL_ACT_SEND &&
			    acts.v[i].u.send.msg->beat_reply != nullptr;
		EXPECT_EQ(suspended ? 0u : 1u, answers);
	}
	talloc_free(acts.v);
}

/* Guards against freshness that counts from the arrival of a slow reply. */
TEST(Cell, FreshnessCountsFromWhenTheHeartbeatWasSent)
{
	struct sim_conf c = sim_defaults(0, 5, 3);

	c.delay_ns = 200 * SIM_MS;
	FiveInstances g(10, c);
	struct sim_instance *in = &g.s->inst[5];
	for (int i = 0; i < 200; i++) {
		sim_run(g.s, 10 * SIM_MS);
		ASSERT_NE(nullptr, in->view);
		EXPECT_LE(
		    clk_diff_ms(in->view->fresh_until, sim_local_time(g.s, in)),
		    2970 - 400);
	}
	EXPECT_TRUE(ready(g.s, 5));
}

/*
 * Guards against orders of a new leader that a worker drops as outdated, and
 * against a task that stays assigned for ever after its worker lost it.
 */
TEST(Cell, OrdersGrowAcrossLeadersAndLostTasksEnd)
{
	FiveInstances g(11);

	ASSERT_EQ(STATUS_OK, g.config(1, "c1", 0).status);
	uint64_t epoch = g.worker_up(4, "w1", 7).epoch;
	ASSERT_EQ(STATUS_OK, g.submit(4, "j1", 1).status);
	sim_run(g.s, 1000 * SIM_MS);
	Reply r = g.poll(4, "w1", 7, epoch);
	ASSERT_EQ(1u, r.orders.size());
	uint64_t seq = r.order_seq;
	/* The order was executed but the task isn't listed: it is lost. */
	for (int i = 0; i < 5 && r.attempt != 2; i++) {
		r = g.poll(4, "w1", 7, epoch, seq);
		sim_run(g.s, 1000 * SIM_MS);
	}
	EXPECT_EQ(2u, r.attempt);
	EXPECT_GT(r.order_seq, seq);
	seq = r.order_seq;
	g.change_leader();
	/* The order is unconfirmed, so it is repeated. */
	r = g.poll(4, "w1", 7, epoch);
	/* A new leader also repeats the throttle of running tasks. */
	ASSERT_EQ(2u, r.orders.size());
	EXPECT_EQ(CONTROL__ORDER_KIND__ORDER_START, r.orders[0].first);
	EXPECT_EQ(CONTROL__ORDER_KIND__ORDER_THROTTLE, r.orders[1].first);
	EXPECT_EQ(r.orders[0].second, r.orders[1].second);
	EXPECT_EQ(2u, r.attempt);
	EXPECT_GT(r.order_seq, seq);
}

/* Guards against a key claimed twice, also across a change of leader. */
TEST(Cell, OneOfTwoInstancesClaimsAKey)
{
	FiveInstances g(7);

	ASSERT_EQ(STATUS_OK, g.config(1, "c1", 0).status);
	EXPECT_EQ(CONTROL__KEY_STATE__KEY_STATE_CLAIMED,
	    g.claim(2, "k", 1).key_state);
	EXPECT_EQ(CONTROL__KEY_STATE__KEY_STATE_RUNNING,
	    g.claim(3, "k", 1).key_state);
	EXPECT_EQ(CONTROL__KEY_STATE__KEY_STATE_MISMATCH,
	    g.claim(3, "k", 2, 99).key_state);
	g.change_leader();
	EXPECT_EQ(CONTROL__KEY_STATE__KEY_STATE_RUNNING,
	    g.claim(3, "k", 1).key_state);
	EXPECT_EQ(CONTROL__KEY_STATE__KEY_STATE_CLAIMED,
	    g.claim(2, "k", 1).key_state);
	sim_run(g.s, 40000 * SIM_MS);
	EXPECT_EQ(CONTROL__KEY_STATE__KEY_STATE_UNKNOWN,
	    g.claim(3, "k", 1).key_state);
	sim_run(g.s, 910000 * SIM_MS);
	EXPECT_EQ(CONTROL__KEY_STATE__KEY_STATE_CLAIMED,
	    g.claim(3, "k", 1).key_state);
	/* After a restart the claimant will never record an outcome. */
	sim_stop(g.s, 3);
	sim_start(g.s, 3);
	sim_run(g.s, 2000 * SIM_MS);
	EXPECT_EQ(CONTROL__KEY_STATE__KEY_STATE_UNKNOWN,
	    g.claim(4, "k", 1).key_state);
}

/*
 * Guards against resending an operation that isn't idempotent, and against
 * reporting that nothing was done when the outcome is unknown.
 */
TEST(Cell, TellsUnknownFromUnavailable)
{
	FiveInstances g(8);
	Control__Op o = CONTROL__OP__INIT;
	Control__WorkerDrain d = CONTROL__WORKER_DRAIN__INIT;

	d.name = (char *)"w1";
	o.worker_drain = &d;
	uint32_t leader = sim_leader(g.s);
	uint32_t inst = leader == 5 ? 4 : 5;
	/* The request arrives but the answer is lost. */
	for (uint32_t i = 1; i <= 5; i++)
		g.s->cut[i][inst] = true;
	uint64_t before = resends(g.s, inst);
	EXPECT_EQ(STATUS_UNKNOWN, g.op(inst, &o).status);
	EXPECT_EQ(before, resends(g.s, inst));
	/* A configuration change is idempotent and resent until answered. */
	uint64_t id = g.s->op_id + 1;
	sim_call(
	    g.s, g.s->now_ns + 1500 * SIM_MS,
	    [](void *arg) {
		    sim_isolate((struct sim *)arg, 5, false);
		    sim_isolate((struct sim *)arg, 4, false);
	    },
	    g.s);
	EXPECT_EQ(STATUS_OK, g.config(inst, "c1", 0).status);
	EXPECT_EQ(1u, g.replies[id].n);
}

/* Guards against a lease that expires before the worker thinks it does. */
TEST(Lease, OutlivesTheWorkersOwnClock)
{
	struct lease_conf c = { 6000, 500, 10000 };
	struct lease l;
	struct rng r;

	rng_init(&r, 1);
	lease_init(&l, &c);
	for (int i = 0; i < 1000; i++) {
		/* Clock rates may differ by 1 %. */
		double rate = 1 - 0.0099 * rng_unit(&r);
		int64_t sent = (int64_t)rng_below(&r, 1000 * SIM_MS);
		int64_t poll = sent + (int64_t)rng_below(&r, 400 * SIM_MS);
		/* The worker counts from the time it sent the poll. */
		int64_t ends = sent + (int64_t)(6000 * SIM_MS / rate);

		lease_start(&l, clk_from_ns(sent), 5);
		ASSERT_TRUE(lease_renew(&l, clk_from_ns(poll), 5));
		ASSERT_EQ(0u, lease_next_expired(&l, clk_from_ns(ends)));
		int64_t at = clk_ns(lease_next_expiry_time(&l));
		ASSERT_EQ(0u, lease_next_expired(&l, clk_from_ns(at - 1)));
		ASSERT_EQ(5u, lease_next_expired(&l, clk_from_ns(at)));
		ASSERT_EQ(0u, lease_next_expired(&l, clk_from_ns(at)));
		ASSERT_FALSE(lease_renew(&l, clk_from_ns(at), 5));
		lease_remove(&l, 5);
	}
	lease_finish(&l);
}
