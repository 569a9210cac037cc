/*
 * Measures the costs of the replicated state and of the leader's services.
 * Memory and processor time are real. The times of leader changes and until a
 * configuration is in force are simulated, with one-way delays of 1 to 1.25 ms
 * and 0.5 ms for a sync. Prints "name value unit" lines.
 */
#include <malloc.h>
#include <stdio.h>

#include "control/st.h"
#include "control/tests/cell_sim.h"

#define NAME_BYTES 64
#define RUNS	   100 /* simulated groups of a distribution */
/* A literal as a message field, which is not const but only read. */
#define LITERAL(s) ((char *)(uintptr_t)(s))

/* Packs a command and applies it to the state as the next entry. */
static void
apply_command(struct st *st, Control__Command *c)
{
	struct str s;

	c->has_now_ms = 1;
	c->now_ms = SIM_WALL_MS;
	s = pb_pack(NULL, c);
	st_apply(st, st_index(st) + 1, s);
	talloc_free((void *)(uintptr_t)s.p);
}

/* Fills the announcement of worker i, whose name is stored in name. */
static void
fill_worker(Control__WorkerUp *u, char name[NAME_BYTES], unsigned i)
{
	static char *serves[1];

	control__worker_up__init(u);
	snprintf(name, NAME_BYTES, "worker-%05u", i);
	u->name = name;
	u->incarnation = i + 1;
	u->addr = LITERAL("10.100.200.13:8080");
	u->cpu_milli = 64000;
	u->mem_mb = 250000;
	u->slots = 8;
	u->has_connections = 1;
	u->connections = 60;
	u->rack = LITERAL("rack-12");
	u->domain = LITERAL("domain-1");
	serves[0] = LITERAL("drying-log-intake");
	u->serves = serves;
	u->n_serves = 1;
}

/* Adds worker i to the state. */
static void
put_worker(struct st *st, unsigned i)
{
	Control__Command c = CONTROL__COMMAND__INIT;
	Control__WorkerUp u;
	char name[NAME_BYTES];

	fill_worker(&u, name, i);
	c.worker_up = &u;
	apply_command(st, &c);
}

/* Fills a job submission, whose change identifier is stored in id. */
static void
fill_job(Control__JobSubmit *j, Control__JobSpec *spec, char id[NAME_BYTES],
    unsigned i, unsigned tasks)
{
	control__job_submit__init(j);
	control__job_spec__init(spec);
	snprintf(id, NAME_BYTES, "submit-%08u", i);
	j->change_id = id;
	j->spec = spec;
	spec->class_name = LITERAL("log-compaction");
	spec->tasks = tasks;
	spec->cpu_milli = 1000;
	spec->mem_mb = 2000;
	spec->has_run_ms = 1;
	spec->run_ms = 600000;
}

/* Adds a job with that many tasks to the state. */
static void
put_job(struct st *st, unsigned i, unsigned tasks)
{
	Control__Command c = CONTROL__COMMAND__INIT;
	Control__JobSubmit j;
	Control__JobSpec spec;
	char id[NAME_BYTES];

	fill_job(&j, &spec, id, i, tasks);
	c.job_submit = &j;
	apply_command(st, &c);
}

/* Assigns a task to the worker with that epoch. */
static void
put_assigned(struct st *st, uint64_t task, uint64_t epoch)
{
	Control__Command c = CONTROL__COMMAND__INIT;
	Control__Assignment a = CONTROL__ASSIGNMENT__INIT, *v[1] = { &a };

	a.task = task;
	a.attempt = 1;
	a.epoch = epoch;
	c.assign = v;
	c.n_assign = 1;
	apply_command(st, &c);
}

/* Fills the claim of idempotency key i, which is stored in key. */
static void
fill_key_claim(Control__KeyClaim *k, char key[NAME_BYTES], unsigned i)
{
	control__key_claim__init(k);
	/* As long as a UUID. */
	snprintf(key, NAME_BYTES, "9f1c2e74-5b6a-4d3c-8e2f-%012u", i);
	k->key = key;
	k->class_name = LITERAL("drying-log-intake");
	k->digest = 0x123456789abcdefULL + i;
	k->instance = 3;
	k->incarnation = 0xfedcba987654321ULL;
	k->request = i;
	k->has_deadline_ms = 1;
	k->deadline_ms = SIM_WALL_MS + 30000;
}

/* Adds the claim of idempotency key i to the state. */
static void
put_key(struct st *st, unsigned i)
{
	Control__Command c = CONTROL__COMMAND__INIT;
	Control__KeyClaim k;
	char key[NAME_BYTES];

	fill_key_claim(&k, key, i);
	c.key_claim = &k;
	apply_command(st, &c);
}

enum item {
	PENDING_TASKS,
	ASSIGNED_TASKS,
	WORKERS,
	JOBS,
	KEYS
};

/* Adds n items of a kind to the state. */
static void
apply_items(struct st *st, enum item item, unsigned n)
{
	unsigned i;

	for (i = 0; i < n; i++) {
		switch (item) {
		case PENDING_TASKS:
		case ASSIGNED_TASKS:
			if (i % 1000 == 0)
				put_job(st, i, 1000);
			/* Job 1 exists already: jobs here start at 2. */
			if (item == ASSIGNED_TASKS)
				put_assigned(st,
				    (uint64_t)(i / 1000 + 2) << ST_TASK_BITS |
					i % 1000,
				    1 + i % 100);
			break;
		case WORKERS:
			put_worker(st, i);
			break;
		case JOBS:
			put_job(st, i, 1);
			break;
		case KEYS:
			put_key(st, i);
			break;
		}
	}
}

/* Returns the bytes that are allocated on the heap. */
static size_t
heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return m.uordblks + m.hblkhd;
}

/* Prints the memory and snapshot bytes per item of a state with n items. */
static void
bench_state_size(const char *name, enum item item, unsigned n)
{
	struct st *st = st_new(NULL);
	TALLOC_CTX *tmp = talloc_new(NULL);
	size_t before, used, snap;
	unsigned i;

	for (i = 0; i < 100 && item == ASSIGNED_TASKS; i++)
		put_worker(st, i);
	/*
	 * The ring of results of changes, whose size does not depend on n,
	 * exists from the first job on and is not counted.
	 */
	put_job(st, 1U << 30, 1);
	snap = st_snapshot(st, tmp).len;
	before = heap_bytes();
	apply_items(st, item, n);
	used = heap_bytes() - before;
	snap = st_snapshot(st, tmp).len - snap;
	printf("st_bytes_per_%s_%u %.1f bytes\n", name, n, (double)used / n);
	printf(
	    "snapshot_bytes_per_%s_%u %.1f bytes\n", name, n, (double)snap / n);
	talloc_free(tmp);
	talloc_free(st);
}

/* Returns the monotonic time in microseconds. */
static double
now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)clk_ns(ts) / 1000;
}

/* A group of one instance, which needs no network. */
struct single {
	struct sim *s;
	uint64_t *epoch; /* by worker */
	unsigned workers;
	uint64_t last_epoch; /* highest epoch given to a worker */
	uint64_t norders;
};

/* Records the epoch and counts the orders in a reply. */
static void
single_on_reply(
    void *arg, uint32_t inst, uint64_t id, const Control__OpResult *r)
{
	struct single *o = arg;

	(void)inst;
	(void)id;
	if (r->has_epoch && r->epoch > o->last_epoch)
		o->last_epoch = r->epoch;
	o->norders += r->n_orders;
}

/* Starts a group of one and announces the workers to it. */
static void
single_init(struct single *o, unsigned workers)
{
	struct sim_conf c = sim_defaults(1, 1, 1);
	unsigned i;

	memset(o, 0, sizeof(*o));
	c.sync_ns = 0;
	o->s = sim_new(&c);
	o->s->arg = o;
	o->s->on_reply = single_on_reply;
	o->workers = workers;
	o->epoch = calloc(workers, sizeof(uint64_t));
	sim_run(o->s, 2000 * SIM_MS);
	for (i = 0; i < workers; i++) {
		Control__Op op = CONTROL__OP__INIT;
		Control__WorkerUp u;
		char name[NAME_BYTES];

		fill_worker(&u, name, i);
		op.worker_up = &u;
		sim_op(o->s, 1, &op);
		sim_run(o->s, SIM_MS);
		o->epoch[i] = o->last_epoch;
	}
}

/* Frees a group of one. */
static void
single_free(struct single *o)
{
	sim_free(o->s);
	free(o->epoch);
}

/* Runs all events that are due now. */
static void
single_run_due(struct single *o)
{
	sim_run(o->s, 0);
}

/*
 * Polls as worker i with the usage of 10 tasks; order_seq 0 acknowledges no
 * order.
 */
static void
single_poll(struct single *o, unsigned i, uint64_t order_seq)
{
	Control__Op op = CONTROL__OP__INIT;
	Control__WorkerPoll p = CONTROL__WORKER_POLL__INIT;
	Control__TaskUsage use[10], *v[10];
	char name[NAME_BYTES];
	unsigned k;

	snprintf(name, NAME_BYTES, "worker-%05u", i);
	for (k = 0; k < 10; k++) {
		control__task_usage__init(&use[k]);
		use[k].task = 1ULL << ST_TASK_BITS | k;
		v[k] = &use[k];
	}
	p.name = name;
	p.incarnation = i + 1;
	p.epoch = o->epoch[i];
	p.usage = v;
	p.n_usage = 10;
	p.has_order_seq = order_seq != 0;
	p.order_seq = order_seq;
	p.has_cpu_used_milli = 1;
	p.cpu_used_milli = 20000;
	op.worker_poll = &p;
	sim_op(o->s, 1, &op);
}

/* Measures the processor time of a poll of a worker. */
static void
bench_poll(unsigned workers)
{
	struct single o;
	unsigned i, n = 20000;
	double t0;

	single_init(&o, workers);
	t0 = now_us();
	for (i = 0; i < n; i++) {
		o.s->now_ns += 1000000000LL / workers;
		single_poll(&o, i % workers, 0);
		single_run_due(&o);
	}
	printf("leader_us_per_poll_%u_workers %.2f us\n", workers,
	    (now_us() - t0) / n);
	single_free(&o);
}

/* Fills a change of the configuration with that many urgent classes. */
static void
fill_config(Control__Op *op, Control__ConfigSet *set, Control__Config *cfg,
    Control__Class *cls, Control__Class **v, char (*names)[NAME_BYTES],
    unsigned classes)
{
	unsigned i;

	control__op__init(op);
	control__config_set__init(set);
	control__config__init(cfg);
	for (i = 0; i < classes; i++) {
		control__class__init(&cls[i]);
		snprintf(names[i], NAME_BYTES, "class-%03u", i);
		cls[i].name = names[i];
		cls[i].urgent = 1;
		cls[i].has_bound_ms = cls[i].has_percentile_x10 = 1;
		cls[i].bound_ms = 200;
		cls[i].percentile_x10 = 990;
		cls[i].team = LITERAL("team-1");
		v[i] = &cls[i];
	}
	cfg->classes = v;
	cfg->n_classes = classes;
	set->config = cfg;
	op->config_set = set;
}

/*
 * Measures a job from its submission until all of its tasks have been sent to
 * workers as orders.
 */
static void
bench_starts(unsigned workers, unsigned tasks)
{
	struct single o;
	Control__Op op = CONTROL__OP__INIT;
	Control__JobSubmit j;
	Control__JobSpec spec;
	Control__ConfigSet set;
	Control__Config cfg;
	Control__Class cls[2], *v[2];
	char names[2][NAME_BYTES], id[NAME_BYTES];
	unsigned i, round;
	uint64_t log;
	double t0;

	single_init(&o, workers);
	fill_config(&op, &set, &cfg, cls, v, names, 2);
	set.change_id = id;
	snprintf(id, NAME_BYTES, "change");
	snprintf(names[0], NAME_BYTES, "log-compaction");
	sim_op(o.s, 1, &op);
	single_run_due(&o);
	control__op__init(&op);
	log = o.s->log_bytes;
	fill_job(&j, &spec, id, 1, tasks);
	op.job_submit = &j;
	t0 = now_us();
	sim_op(o.s, 1, &op);
	for (round = 0; round < 5 && o.norders < tasks; round++) {
		sim_run(o.s, 200 * SIM_MS);
		/* The first round acknowledges no order, later ones all. */
		for (i = 0; i < workers; i++)
			single_poll(&o, i, round == 0 ? 0 : UINT64_MAX >> 1);
		sim_run(o.s, SIM_MS);
	}
	printf("leader_us_per_task_start_%u_workers %.2f us\n", workers,
	    (now_us() - t0) / (double)o.norders);
	printf("leader_task_starts_%u_workers %llu tasks\n", workers,
	    (unsigned long long)o.norders);
	printf("log_bytes_per_task_start_%u_workers %.1f bytes\n", workers,
	    (double)(o.s->log_bytes - log) / (double)o.norders);
	single_free(&o);
}

/* Measures changes of a configuration with that many classes. */
static void
bench_config(unsigned classes)
{
	struct single o;
	Control__Op op;
	Control__ConfigSet set;
	Control__Config cfg;
	Control__Class cls[100], *v[100];
	char names[100][NAME_BYTES], id[NAME_BYTES];
	unsigned i, n = 2000;
	uint64_t log;
	double t0;

	single_init(&o, 65);
	fill_config(&op, &set, &cfg, cls, v, names, classes);
	set.change_id = id;
	log = o.s->log_bytes;
	t0 = now_us();
	for (i = 0; i < n; i++) {
		snprintf(id, NAME_BYTES, "change-%08u", i);
		set.expected_version = i;
		sim_op(o.s, 1, &op);
		single_run_due(&o);
	}
	printf("leader_us_per_config_change_%u_classes %.2f us\n", classes,
	    (now_us() - t0) / n);
	printf("log_bytes_per_config_change_%u_classes %.1f bytes\n", classes,
	    (double)(o.s->log_bytes - log) / n);
	single_free(&o);
}

/* Measures claims of idempotency keys and the records of their answers. */
static void
bench_keys(void)
{
	struct single o;
	Control__Op op = CONTROL__OP__INIT;
	Control__KeyClaim k;
	Control__KeyDone d = CONTROL__KEY_DONE__INIT;
	uint8_t body[1024] = { 0 };
	char key[NAME_BYTES];
	unsigned i, n = 3000;
	uint64_t log;
	double t0;

	single_init(&o, 1);
	log = o.s->log_bytes;
	t0 = now_us();
	for (i = 0; i < n; i++) {
		fill_key_claim(&k, key, i);
		op.key_claim = &k;
		sim_op(o.s, 1, &op);
		single_run_due(&o);
	}
	printf("leader_us_per_key_claim %.2f us\n", (now_us() - t0) / n);
	printf("log_bytes_per_key_claim %.1f bytes\n",
	    (double)(o.s->log_bytes - log) / n);
	log = o.s->log_bytes;
	op.key_claim = NULL;
	op.key_done = &d;
	d.class_name = k.class_name;
	d.incarnation = k.incarnation;
	d.has_http_status = d.has_body = 1;
	d.http_status = 200;
	d.content_type = LITERAL("application/json");
	d.body.data = body;
	d.body.len = sizeof(body);
	for (i = 0; i < n; i++) {
		fill_key_claim(&k, key, i);
		d.key = key;
		d.request = i;
		sim_op(o.s, 1, &op);
		single_run_due(&o);
	}
	printf("log_bytes_per_key_record_1KiB %.1f bytes\n",
	    (double)(o.s->log_bytes - log) / n);
	single_free(&o);
}

/* A group of several instances on the simulated clock. */
struct group {
	struct sim *s;
	uint64_t version; /* configuration to wait for, or 0 */
	/* When the last instance had that version; when a change succeeded. */
	int64_t in_force_ns, accepted_ns;
	unsigned nupdated;
	bool updated[SIM_INSTANCES_MAX + 1]; /* by instance */
};

/* Records the time of the first success since accepted_ns was reset. */
static void
group_on_reply(
    void *arg, uint32_t inst, uint64_t id, const Control__OpResult *r)
{
	struct group *g = arg;

	(void)inst;
	(void)id;
	if (r->status == STATUS_OK && g->accepted_ns == 0)
		g->accepted_ns = g->s->now_ns;
}

/* Records when an instance first has the version that is waited for. */
static void
group_on_view(void *arg, uint32_t inst)
{
	struct group *g = arg;

	if (g->version == 0 || g->updated[inst] ||
	    g->s->inst[inst].view->config_version < g->version)
		return;
	g->updated[inst] = true;
	g->nupdated++;
	g->in_force_ns = g->s->now_ns;
}

/* Starts a group of instances and runs it for 10 to 10.5 seconds. */
static void
group_init(struct group *g, uint64_t seed, unsigned instances)
{
	struct sim_conf c = sim_defaults(seed, instances, 3);

	memset(g, 0, sizeof(*g));
	c.op_timeout_ms = 20000;
	g->s = sim_new(&c);
	g->s->arg = g;
	g->s->on_reply = group_on_reply;
	g->s->on_view = group_on_view;
	sim_run(g->s,
	    10000 * SIM_MS + (int64_t)rng_below(&g->s->rng, 500 * SIM_MS));
}

/*
 * Starts a change of the configuration of version expected through an instance.
 */
static void
group_set_config(struct group *g, uint32_t inst, uint64_t expected)
{
	Control__Op op;
	Control__ConfigSet set;
	Control__Config cfg;
	Control__Class cls[10], *v[10];
	char names[10][NAME_BYTES], id[NAME_BYTES];

	fill_config(&op, &set, &cfg, cls, v, names, 10);
	snprintf(id, NAME_BYTES, "change-%llu", (unsigned long long)expected);
	set.change_id = id;
	set.expected_version = expected;
	g->accepted_ns = 0;
	sim_op(g->s, inst, &op);
}

/* Compares two doubles for qsort. */
static int
compare_double(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/*
 * Prints the median and the 99th percentile of n times in milliseconds; sorts
 * them.
 */
static void
print_times(const char *name, double *v, size_t n)
{
	qsort(v, n, sizeof(*v), compare_double);
	printf("%s_median %.2f ms\n", name, v[n / 2]);
	printf("%s_p99 %.2f ms\n", name, v[n * 99 / 100]);
}

/*
 * Measures the time from the acceptance of a configuration until all instances
 * use it.
 */
static void
bench_config_in_force(unsigned instances)
{
	double ms[RUNS];
	unsigned i;
	char name[NAME_BYTES];

	for (i = 0; i < RUNS; i++) {
		struct group g;

		group_init(&g, i + 1, instances);
		g.version = 1;
		group_set_config(&g, instances, 0);
		while (g.nupdated < instances)
			sim_step(g.s, INT64_MAX - 1);
		ms[i] = (double)(g.in_force_ns - g.accepted_ns) / SIM_MS;
		sim_free(g.s);
	}
	snprintf(name, NAME_BYTES, "config_accepted_to_in_force_%u_instances",
	    instances);
	print_times(name, ms, RUNS);
}

/*
 * Passes request statistics to the agent of an instance, for its next
 * heartbeat.
 */
static void
pass_stats(struct group *g, uint32_t id)
{
	struct sim_instance *in = &g->s->inst[id];
	struct agent_ev ev = { .kind = AGENT_EV_STATS };
	Control__SlotUse use[65];
	Control__ClassDemand d = CONTROL__CLASS_DEMAND__INIT;
	Control__Latency lat[8];
	uint32_t bucket[8] = { 60, 61, 62, 63, 64, 65, 66, 70 };
	uint32_t count[8] = { 1, 3, 5, 5, 3, 2, 1, 1 };
	size_t i, n = in->view == NULL ? 0 : in->view->nworkers;

	n = n > 65 ? 65 : n;
	for (i = 0; i < n; i++) {
		control__slot_use__init(&use[i]);
		use[i].epoch = in->view->workers[i].epoch;
		use[i].held = in->view->workers[i].slots;
		use[i].used = use[i].held / 2;
		use[i].has_grant_seq = 1;
		use[i].grant_seq = in->view->workers[i].grant_seq;
	}
	d.name = LITERAL("drying-log-intake");
	d.running = 20;
	d.has_answered = 1;
	d.answered = 123456;
	/* 8 of the workers have answered since the last heartbeat. */
	for (i = 0; i < 8; i++) {
		control__latency__init(&lat[i]);
		lat[i].epoch = n > i ? use[i].epoch : 1;
		lat[i].class_name = LITERAL("drying-log-intake");
		lat[i].bucket = bucket;
		lat[i].count = count;
		lat[i].n_bucket = lat[i].n_count = 8;
	}
	ev.u.stats.slots = use;
	ev.u.stats.nslots = n;
	ev.u.stats.demand = &d;
	ev.u.stats.ndemand = 1;
	ev.u.stats.latency = lat;
	ev.u.stats.nlatency = 8;
	sim_step_agent(g->s, in, &ev);
}

/* Measures the bytes of heartbeats and their replies with 65 workers. */
static void
bench_heartbeats(unsigned instances)
{
	struct group g;
	uint64_t to_leader = 0, from_leader;
	unsigned i, t;
	uint32_t leader;
	char name[NAME_BYTES];

	group_init(&g, 1, instances);
	for (i = 0; i < 65; i++) {
		Control__Op op = CONTROL__OP__INIT;
		Control__WorkerUp u;

		fill_worker(&u, name, i);
		op.worker_up = &u;
		sim_op(g.s, 1, &op);
	}
	/*
	 * Measures 2 seconds: after grants have settled and before the leases
	 * of the workers expire.
	 */
	for (t = 0; t < 6; t++) {
		sim_run(g.s, 500 * SIM_MS);
		for (i = 1; i <= instances; i++)
			pass_stats(&g, i);
	}
	memset(g.s->bytes_sent, 0, sizeof(g.s->bytes_sent));
	for (t = 0; t < 4; t++) {
		sim_run(g.s, 500 * SIM_MS);
		for (i = 1; i <= instances; i++)
			pass_stats(&g, i);
	}
	leader = sim_leader(g.s);
	from_leader = g.s->bytes_sent[leader];
	for (i = 1; i <= instances; i++)
		to_leader += i == leader ? 0 : g.s->bytes_sent[i];
	printf("beat_bytes_per_s_sent_%u_instances %.0f bytes/s\n", instances,
	    (double)to_leader / 2 / (instances - 1));
	printf("beat_bytes_per_s_received_%u_instances %.0f bytes/s\n",
	    instances, (double)from_leader / 2 / (instances - 1));
	printf("beat_bytes_per_s_leader_%u_instances %.0f bytes/s\n", instances,
	    (double)(from_leader + to_leader) / 2);
	sim_free(g.s);
}

/*
 * Measures the time from the loss of the leader, or from a planned transfer, to
 * the first successful change, which is requested at that moment from an
 * instance without a replica.
 */
static void
bench_leader_change(unsigned instances, bool planned)
{
	double total_ms[RUNS], after_election_ms[RUNS];
	char name[2 * NAME_BYTES];
	unsigned i;

	for (i = 0; i < RUNS; i++) {
		struct group g;
		uint32_t old;
		int64_t t0, elected_ns = 0;

		group_init(&g, i + 1, instances);
		old = sim_leader(g.s);
		if (planned) {
			struct cell_ev ev = { .kind = CELL_EV_TRANSFER };

			sim_step_cell(g.s, &g.s->inst[old], &ev);
			/* Until the old leader has learned of the new term. */
			while (g.s->inst[old].role == RAFT_LEADER)
				sim_step(g.s, INT64_MAX - 1);
		} else {
			sim_stop(g.s, old);
		}
		t0 = g.s->now_ns;
		group_set_config(&g, instances, 0);
		while (g.accepted_ns == 0) {
			if (elected_ns == 0 && sim_leader(g.s) != 0)
				elected_ns = g.s->now_ns;
			sim_step(g.s, INT64_MAX - 1);
		}
		total_ms[i] = (double)(g.accepted_ns - t0) / SIM_MS;
		after_election_ms[i] =
		    (double)(g.accepted_ns - elected_ns) / SIM_MS;
		sim_free(g.s);
	}
	snprintf(name, sizeof(name), "first_success_%s_%u_instances",
	    planned ? "planned" : "crash", instances);
	print_times(name, total_ms, RUNS);
	snprintf(name, sizeof(name),
	    "first_success_after_election_%s_%u_instances",
	    planned ? "planned" : "crash", instances);
	print_times(name, after_election_ms, RUNS);
}

int
main(void)
{
	static const unsigned tasks[] = { 1000, 14000, 200000 };
	static const unsigned workers[] = { 65, 1100, 22000 };
	static const unsigned jobs[] = { 100, 1000, 4000 };
	static const unsigned keys[] = { 1000, 10000, 100000 };
	static const unsigned heartbeat_instances[] = { 3, 5, 9, 41 };
	static const unsigned config_instances[] = { 3, 9, 41 };
	unsigned i;

	for (i = 0; i < 3; i++) {
		bench_state_size("task_pending", PENDING_TASKS, tasks[i]);
		bench_state_size("task_assigned", ASSIGNED_TASKS, tasks[i]);
		bench_state_size("worker", WORKERS, workers[i]);
		bench_state_size("job", JOBS, jobs[i]);
		bench_state_size("key", KEYS, keys[i]);
	}
	bench_poll(65);
	bench_poll(1100);
	bench_starts(65, 4000);
	bench_starts(1100, 60000);
	bench_config(10);
	bench_config(100);
	bench_keys();
	for (i = 0; i < 4; i++)
		bench_heartbeats(heartbeat_instances[i]);
	for (i = 0; i < 3; i++)
		bench_config_in_force(config_instances[i]);
	bench_leader_change(9, false);
	bench_leader_change(9, true);
	bench_leader_change(41, false);
	return 0;
}
