/*
 * A model of workers with 8 slots and of the instances in front of them, on a
 * passed-in clock: the engine with slot grants beside naive routers that know
 * only their own requests.
 */
#ifndef BENCH_REQUEST_MODEL_H
#define BENCH_REQUEST_MODEL_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "request/eng.h"
#include "request/grant.h"

#define MS	       CLK_NS_PER_MS
#define WORKERS	       50
#define RACK	       8 /* workers in a rack */
#define INSTANCES      9
#define SLOTS	       8
#define CONNECTIONS    60
#define SERVICE_MS     20.0  /* mean, exponentially distributed */
#define BATCH_MS       500.0 /* likewise, of batch requests */
#define BOUND_MS       150
#define TIMEOUT_MS     1000
#define TRANSIT_NS     500000 /* one way */
#define TTL_MS	       (TIMEOUT_MS + 2000)
#define BEAT_NS	       (500 * MS)
#define TRIES	       3 /* of a naive router */
#define CAPACITY_PER_S (WORKERS * SLOTS * 1000.0 / SERVICE_MS)

enum policy {
	OURS,
	STATIC,
	ROBIN,
	RANDOM
};
static const char *const policy_name[] = { "ours", "static", "round_robin",
	"random" };

enum kind {
	K_ARRIVE,
	K_BEAT,
	K_REACH,
	K_END,
	K_RESULT,
	K_PROBED,
	K_TIMEOUT
};

struct event {
	int64_t at;
	enum kind kind;
	int inst, worker;
	size_t req;
	uint64_t attempt;
	bool ok;
};

struct req {
	int64_t arrived, ended;
	int inst, tries;
	uint64_t attempt; /* newest */
	bool answered, done;
	bool batch;
	bool queued;	     /* of a naive router */
	unsigned char where; /* worker of the newest attempt */
};

struct inst {
	bool alive;
	struct eng *e;
	struct view view;
	struct view_worker vw[WORKERS];
	struct view_class vc[2];
	uint64_t beat;
	/* naive router */
	int own[WORKERS], next;
	size_t *queue, head, tail, cap;
};

struct model {
	enum policy policy;
	struct rng rng;
	int64_t now, end;
	struct event *heap;
	size_t nheap, caph;
	struct req *reqs;
	size_t nreqs, capr;
	struct inst inst[INSTANCES];
	struct grant *grant;
	int running[WORKERS];
	bool silent[WORKERS];
	int64_t last_sent[WORKERS]; /* a request was sent to it */
	double per_s, batch_per_s;
	int only; /* the one instance that gets load, -1: all */
	uint64_t reasons[ENG_R_COUNT], refused_naive, expired_naive;
	double stranded; /* sum over beats of the loaded instance */
	unsigned beats;
	uint64_t full;	    /* requests that met a worker without a free slot */
	size_t sent_silent; /* requests sent to a silent worker */
	struct eng_acts acts;
};

static const unsigned serves[2] = { 0, 1 };

static void *
grow(void *p, size_t size)
{
	p = realloc(p, size);
	if (p == NULL)
		abort();
	return p;
}

static void
push(struct model *m, struct event ev)
{
	size_t i = m->nheap++;

	if (m->nheap > m->caph) {
		m->caph = m->caph > 0 ? 2 * m->caph : 1024;
		m->heap = grow(m->heap, m->caph * sizeof(*m->heap));
	}
	for (; i > 0 && m->heap[(i - 1) / 2].at > ev.at; i = (i - 1) / 2)
		m->heap[i] = m->heap[(i - 1) / 2];
	m->heap[i] = ev;
}

static struct event
pop(struct model *m)
{
	struct event first = m->heap[0], last = m->heap[--m->nheap];
	size_t i = 0;

	for (;;) {
		size_t c = 2 * i + 1;

		if (c + 1 < m->nheap && m->heap[c + 1].at < m->heap[c].at)
			c++;
		if (c >= m->nheap || m->heap[c].at >= last.at)
			break;
		m->heap[i] = m->heap[c];
		i = c;
	}
	m->heap[i] = last;
	return first;
}

static void
finish(struct model *m, size_t r, bool answered)
{
	m->reqs[r].done = true;
	m->reqs[r].answered = answered;
	m->reqs[r].ended = m->now;
}

static void
send_to(struct model *m, size_t r, int worker, uint64_t attempt)
{
	struct event ev = { m->now + TRANSIT_NS, K_REACH, m->reqs[r].inst,
		worker, r, attempt, true };

	m->reqs[r].attempt = attempt;
	m->reqs[r].where = (unsigned char)worker;
	m->last_sent[worker] = m->now;
	m->sent_silent += m->silent[worker];
	push(m, ev);
}

static void step(struct model *, int inst, struct eng_ev *);

static void
act(struct model *m, int inst, const struct eng_act *a)
{
	struct event ev = { .inst = inst, .kind = K_PROBED };
	struct eng_ev sent = { .kind = ENG_EV_SENT };

	switch (a->kind) {
	case ENG_ACT_DISPATCH:
		send_to(m, a->req - 1, (int)a->u.dispatch.worker, a->attempt);
		/* A silent worker takes no connections either. */
		if (m->silent[a->u.dispatch.worker])
			break;
		sent.req = a->req;
		sent.attempt = a->attempt;
		step(m, inst, &sent);
		break;
	case ENG_ACT_ANSWER:
		m->reasons[a->u.answer.reason]++;
		finish(m, a->req - 1, a->u.answer.outcome == ENG_ANSWERED);
		break;
	case ENG_ACT_PROBE:
		ev.worker = (int)a->u.probe.worker;
		ev.at = m->now + 2 * (int64_t)TRANSIT_NS;
		if (!m->silent[ev.worker])
			push(m, ev);
		break;
	default:
		break;
	}
}

static void
step(struct model *m, int inst, struct eng_ev *ev)
{
	struct eng_act copy[64];
	size_t n;

	m->acts.n = 0;
	(void)eng_step(m->inst[inst].e, clk_from_ns(m->now), ev, &m->acts);
	n = m->acts.n < 64 ? m->acts.n : 0;
	if (n > 0) {
		memcpy(copy, m->acts.v, n * sizeof(*copy));
		for (size_t i = 0; i < n; i++)
			act(m, inst, &copy[i]);
	} else if (m->acts.n > 0) {
		struct eng_acts all = m->acts;

		m->acts = (struct eng_acts){ 0 };
		for (size_t i = 0; i < all.n; i++)
			act(m, inst, &all.v[i]);
		talloc_free(all.v);
	}
}

/* A heartbeat and its reply: grants come from the leader or are fixed. */
static void
beat(struct model *m, int n)
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
	b.seq = ++x->beat;
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
	grant_beat(m->grant, clk_from_ns(m->now), &b, ctx, &rep);
	for (size_t i = 0; i < rep.n_grants; i++) {
		struct view_worker *w = &x->vw[rep.grants[i]->epoch - 1];

		w->slots = rep.grants[i]->slots;
		w->connections = rep.grants[i]->connections;
		w->grant_seq = rep.grants[i]->seq;
		w->grant_expiry = clk_from_ns(m->now + TTL_MS * MS);
	}
	for (int i = 0; i < WORKERS && m->policy == STATIC; i++) {
		/* 8 slots over 9 instances: each goes without one in nine. */
		x->vw[i].slots = i % INSTANCES == n ? 0 : 1;
		x->vw[i].connections = 6;
		x->vw[i].grant_expiry = clk_from_ns(m->now + TTL_MS * MS);
	}
	for (int i = 0; i < WORKERS; i++)
		held += x->vw[i].slots;
	if (n == m->only) {
		m->stranded += WORKERS * SLOTS - (double)held;
		m->beats++;
	}
	x->view.fresh_until = clk_from_ns(m->now + 3000 * MS);
	step(m, n, &ev);
	talloc_free(ctx);
	push(m,
	    (struct event){
		.at = m->now + BEAT_NS, .kind = K_BEAT, .inst = n });
}

/* A naive router: a worker with fewer than 8 own requests, else wait. */
static void
naive_send(struct model *m, size_t r)
{
	struct inst *x = &m->inst[m->reqs[r].inst];
	int at =
	    m->policy == ROBIN ? x->next++ : (int)rng_below(&m->rng, WORKERS);

	for (int i = 0; i < WORKERS; i++, at++)
		if (x->own[at % WORKERS] < SLOTS) {
			x->own[at % WORKERS]++;
			m->reqs[r].tries++;
			send_to(m, r, at % WORKERS, m->reqs[r].attempt + 1);
			return;
		}
	if (x->tail == x->cap) {
		x->cap = x->cap > 0 ? 2 * x->cap : 64;
		x->queue = grow(x->queue, x->cap * sizeof(*x->queue));
	}
	m->reqs[r].queued = true;
	x->queue[x->tail++] = r;
}

static void
naive_next(struct model *m, struct inst *x)
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

static void
naive_result(struct model *m, const struct event *ev)
{
	struct inst *x = &m->inst[ev->inst];
	struct req *r = &m->reqs[ev->req];

	x->own[ev->worker]--;
	if (!r->done && r->attempt == ev->attempt) {
		if (ev->ok)
			finish(m, ev->req, true);
		else if (r->tries < TRIES)
			naive_send(m, ev->req);
		else {
			m->refused_naive++;
			finish(m, ev->req, false);
		}
	}
	naive_next(m, x);
}

static void
arrive(struct model *m, bool batch)
{
	struct eng_ev ev = { .kind = ENG_EV_ARRIVE };
	struct req *r;
	int n = m->only;

	if (m->nreqs == m->capr) {
		m->capr = m->capr > 0 ? 2 * m->capr : 4096;
		m->reqs = grow(m->reqs, m->capr * sizeof(*m->reqs));
	}
	while (n < 0 || !m->inst[n].alive)
		n = (int)rng_below(&m->rng, INSTANCES);
	r = &m->reqs[m->nreqs++];
	memset(r, 0, sizeof(*r));
	r->arrived = m->now;
	r->inst = n;
	r->batch = batch;
	push(m,
	    (struct event){ .at = m->now +
		    (int64_t)(rng_exp(
			&m->rng, 1e9 / (batch ? m->batch_per_s : m->per_s))),
		.kind = K_ARRIVE,
		.ok = batch });
	if (m->policy == ROBIN || m->policy == RANDOM) {
		push(m,
		    (struct event){ .at = m->now + TIMEOUT_MS * MS,
			.kind = K_TIMEOUT,
			.req = m->nreqs - 1 });
		naive_send(m, m->nreqs - 1);
		return;
	}
	ev.req = m->nreqs;
	ev.u.arrive.class_name = str_from(batch ? "batch" : "svc");
	ev.u.arrive.key = str_from("");
	ev.u.arrive.idempotent = true;
	step(m, n, &ev);
}

static void
result(struct model *m, const struct event *ev)
{
	struct eng_ev out = { .kind = ev->ok ? ENG_EV_DONE : ENG_EV_FAILED };

	if (!m->inst[ev->inst].alive)
		return;
	if (m->policy == ROBIN || m->policy == RANDOM) {
		naive_result(m, ev);
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
	step(m, ev->inst, &out);
}

/* The worker refuses above its slots, before starting. */
static void
reach(struct model *m, struct event ev)
{
	if (m->silent[ev.worker])
		return;
	ev.ok = m->running[ev.worker] < SLOTS;
	ev.kind = K_END;
	m->full += !ev.ok;
	if (ev.ok) {
		m->running[ev.worker]++;
		ev.at = m->now +
		    (int64_t)rng_exp(&m->rng,
			(m->reqs[ev.req].batch ? BATCH_MS : SERVICE_MS) * MS);
	} else {
		ev.kind = K_RESULT;
		ev.at = m->now + TRANSIT_NS;
	}
	push(m, ev);
}

static void
handle(struct model *m, struct event ev)
{
	struct eng_ev out = { .kind = ENG_EV_PROBED };

	switch (ev.kind) {
	case K_ARRIVE:
		if (m->now < m->end)
			arrive(m, ev.ok);
		break;
	case K_BEAT:
		if (m->inst[ev.inst].alive)
			beat(m, ev.inst);
		break;
	case K_REACH:
		reach(m, ev);
		break;
	case K_END:
		m->running[ev.worker]--;
		ev.kind = K_RESULT;
		ev.at = m->now + TRANSIT_NS;
		if (!m->silent[ev.worker])
			push(m, ev);
		break;
	case K_RESULT:
		result(m, &ev);
		break;
	case K_PROBED:
		out.u.probed.epoch = (uint64_t)ev.worker + 1;
		out.u.probed.ok = true;
		if (m->inst[ev.inst].alive)
			step(m, ev.inst, &out);
		break;
	case K_TIMEOUT:
		if (!m->reqs[ev.req].done) {
			m->expired_naive++;
			finish(m, ev.req, false);
			/* As for a silent worker: the connection is closed. */
			if (!m->reqs[ev.req].queued &&
			    m->silent[m->reqs[ev.req].where])
				m->inst[m->reqs[ev.req].inst]
				    .own[m->reqs[ev.req].where]--;
		}
		break;
	}
}

static void
run_until(struct model *m, int64_t t)
{
	for (;;) {
		int64_t next = m->heap[0].at;
		int inst = -1;

		for (int i = 0; i < INSTANCES; i++) {
			int64_t d;

			if (!m->inst[i].alive || m->policy >= ROBIN)
				continue;
			d = clk_ns(eng_deadline(m->inst[i].e));
			if (d < next) {
				next = d;
				inst = i;
			}
		}
		if (next > t)
			break;
		m->now = next > m->now ? next : m->now;
		if (inst >= 0) {
			struct eng_ev ev = { .kind = ENG_EV_TICK };

			step(m, inst, &ev);
		} else {
			handle(m, pop(m));
		}
	}
	m->now = t;
}

static struct model *
model_new(enum policy policy, double load, int only, double seconds)
{
	struct grant_conf gc = { TTL_MS, 10000, 4 };
	struct model *m = calloc(1, sizeof(*m));
	char name[32];

	if (m == NULL)
		abort();
	m->policy = policy;
	rng_init(&m->rng, 42);
	m->now = 10000 * MS;
	m->end = INT64_MAX;
	m->per_s = load * CAPACITY_PER_S;
	m->only = only;
	m->grant = grant_new(NULL, &gc, clk_from_ns(0));
	for (int i = 0; i < WORKERS; i++)
		grant_worker(m->grant, clk_from_ns(m->now), (uint64_t)i + 1,
		    SLOTS, CONNECTIONS, false);
	for (int n = 0; n < INSTANCES; n++) {
		struct inst *x = &m->inst[n];
		struct eng_conf ec = { (uint64_t)n + 1, 10, 3, 20, 10000,
			10000 };

		x->alive = true;
		x->e = eng_new(NULL, &ec, clk_from_ns(m->now));
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
			snprintf(name, sizeof(name), "r%d", i / RACK);
			x->vw[i].epoch = (uint64_t)i + 1;
			x->vw[i].rack = str_dup(x->e, str_from(name));
			x->vw[i].serves = serves;
			x->vw[i].nserves = 2;
		}
		push(m,
		    (struct event){ .at = m->now + n * BEAT_NS / INSTANCES,
			.kind = K_BEAT,
			.inst = n });
	}
	/* Grants settle before the load starts. */
	push(m, (struct event){ .at = m->now + 5000 * MS, .kind = K_ARRIVE });
	run_until(m, m->now + 5000 * MS - 1);
	m->end = m->now + (int64_t)(seconds * 1000) * MS;
	return m;
}

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
