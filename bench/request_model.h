/*
 * A discrete-event model, on a simulated clock, of workers with 8 slots and of
 * the instances that send them requests. Compares the request engine with its
 * slot grants to naive routers that know only their own requests.
 */
#ifndef BENCH_REQUEST_MODEL_H
#define BENCH_REQUEST_MODEL_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "request/eng.h"
#include "request/grant.h"

#define NS_PER_MS      CLK_NS_PER_MS
#define WORKERS	       50
#define RACK_WORKERS   8 /* workers in a rack */
#define INSTANCES      9
#define SLOTS	       8
#define CONNECTIONS    60
#define SERVICE_MS     20.0  /* mean of an exponential distribution */
#define BATCH_MS       500.0 /* mean of the same for batch requests */
#define BOUND_MS       150   /* target of the answer time */
#define TIMEOUT_MS     1000
#define TRANSIT_NS     500000 /* one way between instance and worker */
#define GRANT_TTL_MS   (TIMEOUT_MS + 2000)
#define HEARTBEAT_NS   (500 * NS_PER_MS)
#define NAIVE_TRIES    3 /* attempts of a naive router */
#define CAPACITY_PER_S (WORKERS * SLOTS * 1000.0 / SERVICE_MS)

enum policy {
	LEADER_GRANTS, /* request engine, slots granted by the leader */
	STATIC_GRANTS, /* request engine, slots divided once for all */
	ROUND_ROBIN,   /* naive routers from here on */
	RANDOM_CHOICE
};
static const char *const policy_name[] = { "ours", "static", "round_robin",
	"random" };

enum event_kind {
	K_ARRIVE,	/* a client sends a request to an instance */
	K_HEARTBEAT,	/* an instance sends a heartbeat */
	K_AT_WORKER,	/* an attempt reaches its worker */
	K_SERVED,	/* a worker has finished an attempt */
	K_RESULT,	/* the result of an attempt reaches its instance */
	K_PROBE_ANSWER, /* the answer to a probe reaches its instance */
	K_TIMEOUT	/* the client of a naive router gives up */
};

struct event {
	int64_t at_ns;
	enum event_kind kind;
	int inst, worker;
	size_t req;
	uint64_t attempt;
	bool ok; /* success; for K_ARRIVE: is a batch request */
};

struct req {
	int64_t arrived_ns, ended_ns;
	int inst, tries;
	uint64_t attempt; /* number of the newest one */
	bool answered, done;
	bool batch;
	bool queued;	      /* by a naive router */
	unsigned char worker; /* of the newest attempt */
};

struct inst {
	bool alive;
	struct eng *e;
	struct view view;
	struct view_worker vw[WORKERS];
	struct view_class vc[2];
	uint64_t heartbeat_seq;
	/* For naive routers only; own_requests is by worker. */
	int own_requests[WORKERS], next_worker;
	size_t *queue, head, tail, cap;
};

struct model {
	enum policy policy;
	struct rng rng;
	int64_t now_ns, end_ns; /* requests arrive until the end */
	struct event *heap;
	size_t nheap, heap_cap;
	struct req *reqs;
	size_t nreqs, reqs_cap;
	struct inst inst[INSTANCES];
	struct grant *grant;
	int running[WORKERS];	       /* requests on each worker */
	bool silent[WORKERS];	       /* does not answer any more */
	int64_t last_sent_ns[WORKERS]; /* when it got its last request */
	double per_s, batch_per_s;
	int only_inst; /* the one instance that gets requests, or -1 for all */
	uint64_t reasons[ENG_R_COUNT], refused_naive, expired_naive;
	/*
	 * Slots that the loaded instance has no grant for, summed over its
	 * heartbeats, and the number of these.
	 */
	double ungranted_slots;
	unsigned heartbeats;
	uint64_t worker_full; /* requests refused as no slot was free */
	size_t sent_silent;   /* requests sent to a silent worker */
	struct eng_acts acts;
};

static const unsigned serves[2] = { 0, 1 };

/* Works like realloc, but aborts when there is no memory. */
static void *
xrealloc(void *p, size_t size)
{
	p = realloc(p, size);
	if (p == NULL)
		abort();
	return p;
}

/* Adds an event to the heap. */
static void
push_event(struct model *m, struct event ev)
{
	size_t i = m->nheap++;

	if (m->nheap > m->heap_cap) {
		m->heap_cap = m->heap_cap > 0 ? 2 * m->heap_cap : 1024;
		m->heap = xrealloc(m->heap, m->heap_cap * sizeof(*m->heap));
	}
	for (; i > 0 && m->heap[(i - 1) / 2].at_ns > ev.at_ns; i = (i - 1) / 2)
		m->heap[i] = m->heap[(i - 1) / 2];
	m->heap[i] = ev;
}

/* Removes the earliest event from the heap and returns it. */
static struct event
pop_event(struct model *m)
{
	struct event first = m->heap[0], last = m->heap[--m->nheap];
	size_t i = 0;

	for (;;) {
		size_t c = 2 * i + 1;

		if (c + 1 < m->nheap && m->heap[c + 1].at_ns < m->heap[c].at_ns)
			c++;
		if (c >= m->nheap || m->heap[c].at_ns >= last.at_ns)
			break;
		m->heap[i] = m->heap[c];
		i = c;
	}
	m->heap[i] = last;
	return first;
}

/* Ends a request for its client. */
static void
finish_request(struct model *m, size_t r, bool answered)
{
	m->reqs[r].done = true;
	m->reqs[r].answered = answered;
	m->reqs[r].ended_ns = m->now_ns;
}

/* Sends an attempt of a request on its way to a worker. */
static void
send_request(struct model *m, size_t r, int worker, uint64_t attempt)
{
	struct event ev = { m->now_ns + TRANSIT_NS, K_AT_WORKER,
		m->reqs[r].inst, worker, r, attempt, true };

	m->reqs[r].attempt = attempt;
	m->reqs[r].worker = (unsigned char)worker;
	m->last_sent_ns[worker] = m->now_ns;
	m->sent_silent += m->silent[worker];
	push_event(m, ev);
}

static void step_engine(struct model *, int inst, struct eng_ev *);

/* Carries out one action of the engine of an instance. */
static void
do_act(struct model *m, int inst, const struct eng_act *a)
{
	struct event ev = { .inst = inst, .kind = K_PROBE_ANSWER };
	struct eng_ev sent = { .kind = ENG_EV_SENT };

	switch (a->kind) {
	case ENG_ACT_DISPATCH:
		send_request(
		    m, a->req - 1, (int)a->u.dispatch.worker, a->attempt);
		/* A silent worker accepts no connection: nothing is sent. */
		if (m->silent[a->u.dispatch.worker])
			break;
		sent.req = a->req;
		sent.attempt = a->attempt;
		step_engine(m, inst, &sent);
		break;
	case ENG_ACT_ANSWER:
		m->reasons[a->u.answer.reason]++;
		finish_request(
		    m, a->req - 1, a->u.answer.outcome == ENG_ANSWERED);
		break;
	case ENG_ACT_PROBE:
		ev.worker = (int)a->u.probe.worker;
		ev.at_ns = m->now_ns + 2 * (int64_t)TRANSIT_NS;
		if (!m->silent[ev.worker])
			push_event(m, ev);
		break;
	default:
		break;
	}
}

/*
 * Passes an event to the engine of an instance and carries out its actions.
 * Actions may step the engine again, so they are copied first.
 */
static void
step_engine(struct model *m, int inst, struct eng_ev *ev)
{
	struct eng_act copy[64];
	size_t n;

	m->acts.n = 0;
	(void)eng_step(m->inst[inst].e, clk_from_ns(m->now_ns), ev, &m->acts);
	n = m->acts.n < 64 ? m->acts.n : 0;
	if (n > 0) {
		memcpy(copy, m->acts.v, n * sizeof(*copy));
		for (size_t i = 0; i < n; i++)
			do_act(m, inst, &copy[i]);
	} else if (m->acts.n > 0) {
		struct eng_acts all = m->acts;

		m->acts = (struct eng_acts){ 0 };
		for (size_t i = 0; i < all.n; i++)
			do_act(m, inst, &all.v[i]);
		talloc_free(all.v);
	}
}

/*
 * Sends a heartbeat of instance n and takes the reply into its view. Grants
 * come from the leader or, for STATIC_GRANTS, are always the same.
 */
static void
send_heartbeat(struct model *m, int n)
{
	struct inst *x = &m->inst[n];
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct eng_stats st;
	Control__Beat b = CONTROL__BEAT__INIT;
	Control__BeatReply rep = CONTROL__BEAT_REPLY__INIT;
	Control__ClassDemand d = CONTROL__CLASS_DEMAND__INIT, *dp = &d;
	Control__SlotUse use[WORKERS], *up[WORKERS];
	struct eng_ev ev = { .kind = ENG_EV_VIEW, .u.view = &x->view };
	unsigned held = 0;

	eng_stats(x->e, ctx, &st);
	for (size_t i = 0; i < st.nslots; i++) {
		control__slot_use__init(&use[i]);
		use[i].epoch = st.slots[i].epoch;
		use[i].held = st.slots[i].held;
		use[i].used = st.slots[i].used;
		use[i].has_grant_seq = 1;
		use[i].grant_seq = st.slots[i].grant_seq;
		up[i] = &use[i];
	}
	b.instance = (uint32_t)n;
	b.incarnation = 1;
	b.seq = ++x->heartbeat_seq;
	b.n_slots = st.nslots;
	b.slots = up;
	if (st.ndemand > 0) {
		for (size_t i = 0; i < st.ndemand; i++) {
			d.queued += st.demand[i].queued;
			d.running += st.demand[i].running;
		}
		b.n_demand = 1;
		b.demand = &dp;
	}
	grant_handle_heartbeat(m->grant, clk_from_ns(m->now_ns), &b, ctx, &rep);
	for (size_t i = 0; i < rep.n_grants; i++) {
		struct view_worker *w = &x->vw[rep.grants[i]->epoch - 1];

		w->slots = rep.grants[i]->slots;
		w->connections = rep.grants[i]->connections;
		w->grant_seq = rep.grants[i]->seq;
		w->grant_expiry = w->grant_start_until =
		    clk_from_ns(m->now_ns + GRANT_TTL_MS * NS_PER_MS);
	}
	for (int i = 0; i < WORKERS && m->policy == STATIC_GRANTS; i++) {
		/* 8 slots for 9 instances: each has none on 1 of 9 workers. */
		x->vw[i].slots = i % INSTANCES == n ? 0 : 1;
		x->vw[i].connections = 6;
		x->vw[i].grant_expiry = x->vw[i].grant_start_until =
		    clk_from_ns(m->now_ns + GRANT_TTL_MS * NS_PER_MS);
	}
	for (int i = 0; i < WORKERS; i++)
		held += x->vw[i].slots;
	if (n == m->only_inst) {
		m->ungranted_slots += WORKERS * SLOTS - (double)held;
		m->heartbeats++;
	}
	x->view.fresh_until = clk_from_ns(m->now_ns + 3000 * NS_PER_MS);
	step_engine(m, n, &ev);
	talloc_free(ctx);
	push_event(m,
	    (struct event){ .at_ns = m->now_ns + HEARTBEAT_NS,
		.kind = K_HEARTBEAT,
		.inst = n });
}

/*
 * Sends a request of a naive router to the first worker from a starting point
 * with fewer than SLOTS of its own requests; queues it if there is none.
 */
static void
naive_send(struct model *m, size_t r)
{
	struct inst *x = &m->inst[m->reqs[r].inst];
	int at = m->policy == ROUND_ROBIN ? x->next_worker++
					  : (int)rng_below(&m->rng, WORKERS);

	for (int i = 0; i < WORKERS; i++, at++)
		if (x->own_requests[at % WORKERS] < SLOTS) {
			x->own_requests[at % WORKERS]++;
			m->reqs[r].tries++;
			send_request(
			    m, r, at % WORKERS, m->reqs[r].attempt + 1);
			return;
		}
	if (x->tail == x->cap) {
		x->cap = x->cap > 0 ? 2 * x->cap : 64;
		x->queue = xrealloc(x->queue, x->cap * sizeof(*x->queue));
	}
	m->reqs[r].queued = true;
	x->queue[x->tail++] = r;
}

/* Sends the first queued request of a naive router that has not timed out. */
static void
naive_send_queued(struct model *m, struct inst *x)
{
	while (x->head < x->tail) {
		size_t r = x->queue[x->head++];

		if (m->reqs[r].done)
			continue;
		m->reqs[r].queued = false;
		naive_send(m, r);
		return;
	}
}

/*
 * Handles the result of an attempt of a naive router: answers the client, tries
 * again or gives up.
 */
static void
naive_handle_result(struct model *m, const struct event *ev)
{
	struct inst *x = &m->inst[ev->inst];
	struct req *r = &m->reqs[ev->req];

	x->own_requests[ev->worker]--;
	if (!r->done && r->attempt == ev->attempt) {
		if (ev->ok)
			finish_request(m, ev->req, true);
		else if (r->tries < NAIVE_TRIES)
			naive_send(m, ev->req);
		else {
			m->refused_naive++;
			finish_request(m, ev->req, false);
		}
	}
	naive_send_queued(m, x);
}

/* Adds a request that arrives now and schedules the arrival of the next. */
static void
add_request(struct model *m, bool batch)
{
	struct eng_ev ev = { .kind = ENG_EV_ARRIVE };
	struct req *r;
	int n = m->only_inst;

	if (m->nreqs == m->reqs_cap) {
		m->reqs_cap = m->reqs_cap > 0 ? 2 * m->reqs_cap : 4096;
		m->reqs = xrealloc(m->reqs, m->reqs_cap * sizeof(*m->reqs));
	}
	while (n < 0 || !m->inst[n].alive)
		n = (int)rng_below(&m->rng, INSTANCES);
	r = &m->reqs[m->nreqs++];
	memset(r, 0, sizeof(*r));
	r->arrived_ns = m->now_ns;
	r->inst = n;
	r->batch = batch;
	push_event(m,
	    (struct event){ .at_ns = m->now_ns +
		    (int64_t)(rng_exp(
			&m->rng, 1e9 / (batch ? m->batch_per_s : m->per_s))),
		.kind = K_ARRIVE,
		.ok = batch });
	if (m->policy == ROUND_ROBIN || m->policy == RANDOM_CHOICE) {
		push_event(m,
		    (struct event){ .at_ns = m->now_ns + TIMEOUT_MS * NS_PER_MS,
			.kind = K_TIMEOUT,
			.req = m->nreqs - 1 });
		naive_send(m, m->nreqs - 1);
		return;
	}
	ev.req = m->nreqs;
	ev.u.arrive.class_name = str_from(batch ? "batch" : "svc");
	ev.u.arrive.key = str_from("");
	ev.u.arrive.idempotent = true;
	step_engine(m, n, &ev);
}

/* Passes the result of an attempt to the instance that sent it. */
static void
handle_result(struct model *m, const struct event *ev)
{
	struct eng_ev out = { .kind = ev->ok ? ENG_EV_DONE : ENG_EV_FAILED };

	if (!m->inst[ev->inst].alive)
		return;
	if (m->policy == ROUND_ROBIN || m->policy == RANDOM_CHOICE) {
		naive_handle_result(m, ev);
		return;
	}
	out.req = ev->req + 1;
	out.attempt = ev->attempt;
	if (ev->ok) {
		out.u.done.http_status = 200;
	} else {
		out.u.failed.kind = ENG_FAIL_NOT_STARTED;
		out.u.failed.sent = true;
	}
	step_engine(m, ev->inst, &out);
}

/* Starts a request on its worker, which refuses it if all slots are in use. */
static void
arrive_at_worker(struct model *m, struct event ev)
{
	if (m->silent[ev.worker])
		return;
	ev.ok = m->running[ev.worker] < SLOTS;
	ev.kind = K_SERVED;
	m->worker_full += !ev.ok;
	if (ev.ok) {
		m->running[ev.worker]++;
		ev.at_ns = m->now_ns +
		    (int64_t)rng_exp(&m->rng,
			(m->reqs[ev.req].batch ? BATCH_MS : SERVICE_MS) *
			    NS_PER_MS);
	} else {
		ev.kind = K_RESULT;
		ev.at_ns = m->now_ns + TRANSIT_NS;
	}
	push_event(m, ev);
}

/* Handles one event of the heap. */
static void
handle_event(struct model *m, struct event ev)
{
	struct eng_ev out = { .kind = ENG_EV_PROBED };

	switch (ev.kind) {
	case K_ARRIVE:
		if (m->now_ns < m->end_ns)
			add_request(m, ev.ok);
		break;
	case K_HEARTBEAT:
		if (m->inst[ev.inst].alive)
			send_heartbeat(m, ev.inst);
		break;
	case K_AT_WORKER:
		arrive_at_worker(m, ev);
		break;
	case K_SERVED:
		m->running[ev.worker]--;
		ev.kind = K_RESULT;
		ev.at_ns = m->now_ns + TRANSIT_NS;
		if (!m->silent[ev.worker])
			push_event(m, ev);
		break;
	case K_RESULT:
		handle_result(m, &ev);
		break;
	case K_PROBE_ANSWER:
		out.u.probed.epoch = (uint64_t)ev.worker + 1;
		out.u.probed.ok = true;
		if (m->inst[ev.inst].alive)
			step_engine(m, ev.inst, &out);
		break;
	case K_TIMEOUT:
		if (!m->reqs[ev.req].done) {
			m->expired_naive++;
			finish_request(m, ev.req, false);
			/*
			 * A silent worker gives no result; the router closes
			 * the connection and counts the request no more.
			 */
			if (!m->reqs[ev.req].queued &&
			    m->silent[m->reqs[ev.req].worker])
				m->inst[m->reqs[ev.req].inst]
				    .own_requests[m->reqs[ev.req].worker]--;
		}
		break;
	}
}

/* Runs the model up to time t in nanoseconds. */
static void
run_until(struct model *m, int64_t t)
{
	for (;;) {
		int64_t next = m->heap[0].at_ns;
		int inst = -1;

		for (int i = 0; i < INSTANCES; i++) {
			int64_t d;

			if (!m->inst[i].alive || m->policy >= ROUND_ROBIN)
				continue;
			d = clk_ns(eng_next_tick(m->inst[i].e));
			if (d < next) {
				next = d;
				inst = i;
			}
		}
		if (next > t)
			break;
		m->now_ns = next > m->now_ns ? next : m->now_ns;
		if (inst >= 0) {
			struct eng_ev ev = { .kind = ENG_EV_TICK };

			step_engine(m, inst, &ev);
		} else {
			handle_event(m, pop_event(m));
		}
	}
	m->now_ns = t;
}

/*
 * Returns a model whose grants no longer change. load is a share of the
 * capacity; requests arrive for the given seconds, at one instance if only is
 * not -1.
 */
static struct model *
model_new(enum policy policy, double load, int only, double seconds)
{
	struct grant_conf gc = { GRANT_TTL_MS, 10000, 4, 0 };
	struct model *m = calloc(1, sizeof(*m));
	char name[32];

	if (m == NULL)
		abort();
	m->policy = policy;
	rng_init(&m->rng, 42);
	m->now_ns = 10000 * NS_PER_MS;
	m->end_ns = INT64_MAX;
	m->per_s = load * CAPACITY_PER_S;
	m->only_inst = only;
	m->grant = grant_new(NULL, &gc, clk_from_ns(0));
	for (int i = 0; i < WORKERS; i++)
		grant_update_worker(m->grant, clk_from_ns(m->now_ns),
		    (uint64_t)i + 1, SLOTS, CONNECTIONS, false);
	for (int n = 0; n < INSTANCES; n++) {
		struct inst *x = &m->inst[n];
		struct eng_conf ec = { (uint64_t)n + 1, 10, 3, 20, 10000,
			10000 };

		x->alive = true;
		x->e = eng_new(NULL, &ec, clk_from_ns(m->now_ns));
		x->vc[0] = (struct view_class){ str_from("batch"), false, 0, 0,
			TIMEOUT_MS };
		x->vc[1] = (struct view_class){ str_from("svc"), true, 990,
			BOUND_MS, TIMEOUT_MS };
		x->view.config_version = 1;
		x->view.classes = x->vc;
		x->view.nclasses = 2;
		x->view.workers = x->vw;
		x->view.nworkers = WORKERS;
		for (int i = 0; i < WORKERS; i++) {
			snprintf(name, sizeof(name), "r%d", i / RACK_WORKERS);
			x->vw[i].epoch = (uint64_t)i + 1;
			x->vw[i].rack = str_dup(x->e, str_from(name));
			x->vw[i].serves = serves;
			x->vw[i].nserves = 2;
		}
		push_event(m,
		    (struct event){
			.at_ns = m->now_ns + n * HEARTBEAT_NS / INSTANCES,
			.kind = K_HEARTBEAT,
			.inst = n });
	}
	/* Requests arrive only once the grants no longer change. */
	push_event(m,
	    (struct event){
		.at_ns = m->now_ns + 5000 * NS_PER_MS, .kind = K_ARRIVE });
	run_until(m, m->now_ns + 5000 * NS_PER_MS - 1);
	m->end_ns = m->now_ns + (int64_t)(seconds * 1000) * NS_PER_MS;
	return m;
}

/* Frees a model. */
static void
model_free(struct model *m)
{
	for (int n = 0; n < INSTANCES; n++) {
		talloc_free(m->inst[n].e);
		free(m->inst[n].queue);
	}
	talloc_free(m->grant);
	talloc_free(m->acts.v);
	free(m->heap);
	free(m->reqs);
	free(m);
}

#endif
