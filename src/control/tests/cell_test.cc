#include <gtest/gtest.h>

#include <map>
#include <string>

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

/* One simulated group with operations that are waited for. */
struct Group {
	struct sim *s;
	std::map<uint64_t, Reply> replies;

	explicit Group(const struct sim_conf &c) : s(sim_new(&c))
	{
		s->arg = this;
		s->on_reply = [](void *arg, uint32_t, uint64_t id,
				  const Control__OpResult *r) {
			((Group *)arg)->take(id, r);
		};
	}
	~Group()
	{
		sim_free(s);
	}
	void take(uint64_t id, const Control__OpResult *r)
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
	/* Runs until the operation has its result. */
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
	    uint64_t epoch, uint64_t order_seq = 0)
	{
		Control__Op o = CONTROL__OP__INIT;
		Control__WorkerPoll p = CONTROL__WORKER_POLL__INIT;

		p.name = (char *)name;
		p.incarnation = incarnation;
		p.epoch = epoch;
		p.has_order_seq = order_seq != 0;
		p.order_seq = order_seq;
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
	Reply claim(uint32_t inst, const char *key, uint64_t incarnation,
	    uint64_t request, uint64_t digest = 1)
	{
		Control__Op o = CONTROL__OP__INIT;
		Control__KeyClaim k = CONTROL__KEY_CLAIM__INIT;

		k.key = (char *)key;
		k.class_name = (char *)"web";
		k.digest = digest;
		k.instance = inst;
		k.incarnation = incarnation;
		k.request = request;
		k.has_deadline_ms = 1;
		k.deadline_ms = SIM_WALL_MS + s->now_ns / SIM_MS + 30000;
		o.key_claim = &k;
		return op(inst, &o);
	}
};

} /* namespace */

/* Guards against a service that a group of one does not give. */
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
	    g.claim(1, "k", 1, 1).key_state);
	ASSERT_NE(nullptr, g.s->inst[1].view);
	EXPECT_EQ(1u, g.s->inst[1].view->config_version);
	ASSERT_EQ(1u, g.s->inst[1].view->nworkers);
	EXPECT_EQ(8u, g.s->inst[1].view->workers[0].slots);
	EXPECT_TRUE(
	    agent_ready(g.s->inst[1].agent, sim_local(g.s, &g.s->inst[1])));
}

/* Guards against replicas that do not join by themselves. */
TEST(Cell, GrowsToThreeVoters)
{
	Group g(sim_defaults(2, 5, 3));
	Control__Op o = CONTROL__OP__INIT;
	Control__Query q = CONTROL__QUERY__INIT;

	sim_run(g.s, 10000 * SIM_MS);
	q.kind = CONTROL__QUERY_KIND__QUERY_STATUS;
	o.query = &q;
	EXPECT_EQ(STATUS_OK, g.op(5, &o).status);
	sim_stop(g.s, 1);
	sim_run(g.s, 5000 * SIM_MS);
	EXPECT_EQ(STATUS_OK, g.config(4, "c1", 0).status);
}
