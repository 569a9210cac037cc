#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <cstring>

#include "eng_sim.h"

namespace {
const int64_t MS = 1000000;
const size_t NONE = (size_t)-1;
const int64_t GRANT_TTL = 3000 * MS;
} // namespace

/* Starts servers and engines; shares are the slots of each engine on a server.
 */
Sim::Sim(uint64_t seed, unsigned nservers, std::vector<unsigned> shares)
{
	rng_init(&r, seed);
	classes.push_back({ str_from("batch"), false, 0, 0, 1000 });
	classes.push_back({ str_from("svc"), true, 990, 100, 500 });
	for (unsigned i = 0; i < nservers; i++) {
		SimServer s;

		s.epoch = next_epoch++;
		s.rack = "rack" + std::to_string(i / 2);
		servers.push_back(s);
	}
	engines.resize(shares.size());
	for (size_t i = 0; i < shares.size(); i++) {
		struct eng_conf conf = { seed + i, 10, 3, 20, 10000, 2000 };

		engines[i].e = eng_new(NULL, &conf, clk_from_ns(now));
		engines[i].share = shares[i];
		publish(i);
	}
}

Sim::~Sim()
{
	for (SimEngine &x : engines)
		talloc_free(x.e);
	talloc_free(acts.v);
}

/* Schedules an event at a time in ns. */
void
Sim::at(int64_t t, std::function<void()> f)
{
	events.emplace(t, std::move(f));
}

/* Schedules an event after a delay. */
void
Sim::after_ms(double ms, std::function<void()> f)
{
	at(now + (int64_t)(ms * MS), std::move(f));
}

/* Passes an event to an engine and runs the resulting actions; attempt is the
 * index of the attempt that the event belongs to, or NONE. */
void
Sim::step(size_t engine, struct eng_ev &ev, size_t attempt)
{
	std::vector<struct eng_act> copy;

	if (engines[engine].e == NULL)
		return;
	acts.n = 0;
	EXPECT_EQ(STATUS_OK,
	    eng_step(engines[engine].e, clk_from_ns(now), &ev, &acts));
	copy.assign(acts.v, acts.v + acts.n);
	for (const struct eng_act &a : copy)
		act(engine, a, attempt);
}

/* Passes a new view to an engine, now and every 500 ms. */
void
Sim::publish(size_t engine)
{
	SimEngine &x = engines[engine];
	struct eng_ev ev = {};
	std::vector<size_t> order;

	if (x.e == NULL)
		return;
	x.workers.clear();
	x.server.clear();
	for (size_t i = 0; i < servers.size(); i++)
		order.push_back(i);
	std::sort(order.begin(), order.end(), [&](size_t a, size_t b) {
		return servers[a].epoch < servers[b].epoch;
	});
	for (size_t i : order) {
		view_worker w = {};

		w.epoch = servers[i].epoch;
		w.rack =
		    str_mem(servers[i].rack.data(), servers[i].rack.size());
		w.slots = x.share;
		w.connections = 7 * x.share;
		w.grant_seq = 1;
		w.grant_start_until = clk_from_ns(now + 3000 * MS);
		w.grant_expiry = clk_from_ns(now + GRANT_TTL);
		w.serves = serves;
		w.nserves = 2;
		x.workers.push_back(w);
		x.server.push_back(i);
	}
	x.view.config_version = 1;
	x.view.fresh_until = clk_from_ns(now + 3000 * MS);
	x.view.classes = classes.data();
	x.view.nclasses = classes.size();
	x.view.workers = x.workers.data();
	x.view.nworkers = x.workers.size();
	ev.kind = ENG_EV_VIEW;
	ev.u.view = &x.view;
	step(engine, ev, NONE);
	after_ms(500, [this, engine] { publish(engine); });
}

/* Adds a logical request, with a key or idempotent at random. */
size_t
Sim::logical()
{
	SimLogical l;

	l.idempotent = rng_chance(&r, idempotent);
	if (rng_chance(&r, keyed))
		l.key = "key" + std::to_string(logicals.size());
	logicals.push_back(l);
	return logicals.size() - 1;
}

/* Sends a logical request to an engine. */
void
Sim::arrive(size_t engine, size_t logical)
{
	SimLogical &l = logicals[logical];
	struct eng_ev ev = {};
	SimArrival a = {};

	if (engines[engine].e == NULL)
		return;
	l.sends++;
	a.engine = engine;
	a.logical = logical;
	a.req = next_req++;
	a.at = now;
	engines[engine].arrivals[a.req] = arrivals.size();
	arrivals.push_back(a);
	ev.kind = ENG_EV_ARRIVE;
	ev.req = a.req;
	ev.u.arrive.class_name =
	    str_from(rng_chance(&r, 0.8) ? "svc" : "batch");
	ev.u.arrive.key = str_mem(l.key.data(), l.key.size());
	ev.u.arrive.idempotent = l.idempotent;
	ev.u.arrive.timeout_ms = 0;
	step(engine, ev, NONE);
}

/* Schedules Poisson arrivals at random engines for some seconds. */
void
Sim::load(double per_s, double seconds)
{
	for (double t = rng_exp(&r, 1 / per_s); t < seconds;
	     t += rng_exp(&r, 1 / per_s))
		after_ms(t * 1000, [this] {
			arrive(
			    (size_t)rng_below(&r, engines.size()), logical());
		});
}

/* Disconnects the client of a request. */
void
Sim::cancel(size_t arrival)
{
	struct eng_ev ev = {};

	ev.kind = ENG_EV_CANCEL;
	ev.req = arrivals[arrival].req;
	step(arrivals[arrival].engine, ev, NONE);
}

/* Kills an engine: its clients see broken connections, servers go on. */
void
Sim::kill(size_t engine)
{
	SimEngine &x = engines[engine];

	talloc_free(x.e);
	x.e = NULL;
	for (auto &p : x.arrivals) {
		SimArrival &a = arrivals[p.second];

		if (a.answers > 0)
			continue;
		a.lost = true;
		size_t l = a.logical;
		if (!logicals[l].key.empty())
			after_ms(20, [this, l] {
				arrive(
				    (size_t)rng_below(&r, engines.size()), l);
			});
	}
	for (auto &c : claims)
		if (arrivals[c.second.arrival].engine == engine &&
		    c.second.state == SimClaim::RUNNING)
			c.second.until = now + 700 * MS;
}

/* Drains an engine. */
void
Sim::drain(size_t engine)
{
	struct eng_ev ev = {};

	engines[engine].draining = true;
	ev.kind = ENG_EV_DRAIN;
	step(engine, ev, NONE);
}

/* Restarts a server: connections of its running requests break. */
void
Sim::restart(size_t server)
{
	SimServer &s = servers[server];

	for (size_t i = 0; i < attempts.size(); i++)
		if (attempts[i].server == server &&
		    attempts[i].epoch == s.epoch)
			result(i, ENG_EV_FAILED, ENG_FAIL_RESET, 0);
	s.epoch = next_epoch++;
	s.running = 0;
}

/* Runs all events and timers up to t. */
void
Sim::run_until(int64_t t)
{
	for (;;) {
		int64_t next =
		    events.empty() ? INT64_MAX : events.begin()->first;
		size_t engine = NONE;

		for (size_t i = 0; i < engines.size(); i++) {
			if (engines[i].e == NULL)
				continue;
			int64_t d = clk_ns(eng_next_tick(engines[i].e));

			if (d < next) {
				next = d;
				engine = i;
			}
		}
		if (next > t)
			break;
		now = std::max(now, next);
		if (engine != NONE) {
			struct eng_ev ev = {};

			ev.kind = ENG_EV_TICK;
			step(engine, ev, NONE);
			continue;
		}
		auto f = std::move(events.begin()->second);
		events.erase(events.begin());
		f();
	}
	now = t;
}

/* Returns a counter of an engine by its name. */
uint64_t
Sim::counter(size_t engine, const char *name)
{
	const struct ctr_set *c = eng_counters(engines[engine].e);

	for (size_t i = 0; i < c->ncounters; i++)
		if (strcmp(c->desc[i].name, name) == 0)
			return ctr_get(c, i);
	ADD_FAILURE() << "no counter " << name;
	return 0;
}

/* Carries out an action of an engine; attempt is as for step(). */
void
Sim::act(size_t engine, const struct eng_act &a, size_t attempt)
{
	SimEngine &x = engines[engine];

	switch (a.kind) {
	case ENG_ACT_CLAIM:
		claim(x.arrivals.at(a.req));
		break;
	case ENG_ACT_DISPATCH:
		dispatch(engine, a);
		break;
	case ENG_ACT_ABORT:
		for (size_t i = attempts.size(); i-- > 0;)
			if (attempts[i].arrival == x.arrivals.at(a.req) &&
			    attempts[i].attempt == a.attempt) {
				attempts[i].aborted = true;
				break;
			}
		break;
	case ENG_ACT_ANSWER:
		answer(x.arrivals.at(a.req), a, attempt);
		break;
	case ENG_ACT_RECORD:
		record(x.arrivals.at(a.req), a.u.record.outcome);
		break;
	case ENG_ACT_PROBE: {
		size_t server = x.server[a.u.probe.worker];
		uint64_t epoch = a.u.probe.epoch;

		probes++;
		if (servers[server].faults.all_silent)
			break;
		after_ms(transit_ms(), [this, engine, server, epoch] {
			struct eng_ev ev = {};

			ev.kind = ENG_EV_PROBED;
			ev.u.probed.epoch = epoch;
			ev.u.probed.ok = servers[server].epoch == epoch;
			step(engine, ev, NONE);
		});
		break;
	}
	}
}

/* Starts an attempt, whose connection may be refused or get no answer. */
void
Sim::dispatch(size_t engine, const struct eng_act &a)
{
	SimEngine &x = engines[engine];
	SimAttempt t;
	size_t id = attempts.size();
	double p = rng_unit(&r);

	t.arrival = x.arrivals.at(a.req);
	t.server = x.server[a.u.dispatch.worker];
	t.attempt = a.attempt;
	t.epoch = a.u.dispatch.epoch;
	t.timeout = clk_ns(a.u.dispatch.deadline) - now;
	EXPECT_EQ(t.epoch, x.workers[a.u.dispatch.worker].epoch);
	EXPECT_FALSE(arrivals[t.arrival].answers);
	arrivals[t.arrival].attempts++;
	arrivals[t.arrival].attempt = a.attempt;
	attempts.push_back(t);
	const Faults &f = servers[t.server].faults;

	if (p < f.connect)
		after_ms(transit_ms(), [this, id] {
			result(id, ENG_EV_FAILED, ENG_FAIL_CONNECT, 0);
		});
	else if (p >= f.connect + f.hang)
		after_ms(transit_ms() / 4, [this, id] { connected(id); });
}

/* The connection is open: SENT is passed in before the first byte is sent. */
void
Sim::connected(size_t id)
{
	SimAttempt &t = attempts[id];
	SimArrival &a = arrivals[t.arrival];
	struct eng_ev ev = {};

	if (t.aborted || a.lost)
		return;
	ev.kind = ENG_EV_SENT;
	ev.req = a.req;
	ev.attempt = t.attempt;
	step(a.engine, ev, NONE);
	if (!attempts[id].aborted)
		after_ms(transit_ms(), [this, id] { received(id); });
}

/* The server has received the request. */
void
Sim::received(size_t id)
{
	SimAttempt &t = attempts[id];
	SimServer &s = servers[t.server];
	const Faults &f = s.faults;
	double p = rng_unit(&r), ms;
	bool runs = true;

	s.received++;
	if (t.epoch != s.epoch || rng_chance(&r, f.not_started)) {
		after_ms(transit_ms(), [this, id] {
			result(id, ENG_EV_FAILED, ENG_FAIL_NOT_STARTED, 0);
		});
		return;
	}
	if ((p < f.reset || p >= 1 - f.silent) && rng_chance(&r, 0.5))
		runs = false;
	if (runs) {
		logicals[arrivals[t.arrival].logical].runs++;
		arrivals[t.arrival].runs++;
	}
	if (++s.running > SLOTS)
		excess++;
	ms = std::min(rng_exp(&r, service_ms) * f.slow, (double)t.timeout / MS);
	if (p >= 1 - f.silent)
		ms = (double)t.timeout / MS;
	/* After a broken connection the server may still use the whole time. */
	after_ms(
	    p < f.reset && rng_chance(&r, 0.5) ? (double)t.timeout / MS : ms,
	    [this, id] {
		    SimServer &v = servers[attempts[id].server];

		    if (v.epoch == attempts[id].epoch)
			    v.running--;
	    });
	if (p >= 1 - f.silent)
		return;
	ms += transit_ms();
	if (p < f.reset)
		after_ms(ms, [this, id] {
			result(id, ENG_EV_FAILED, ENG_FAIL_RESET, 0);
		});
	else if (p < f.reset + f.truncate)
		after_ms(ms, [this, id] {
			result(id, ENG_EV_FAILED, ENG_FAIL_TRUNCATED, 0);
		});
	else if (p < f.reset + f.truncate + f.late)
		after_ms(
		    (double)t.timeout / MS + 50 * rng_unit(&r), [this, id] {
			    result(id, ENG_EV_DONE, ENG_FAIL_RESET, 200);
		    });
	else
		after_ms(ms, [this, id, e = rng_chance(&r, f.error)] {
			result(id, ENG_EV_DONE, ENG_FAIL_RESET, e ? 500 : 200);
		});
}

/* Reports the end of an attempt to its engine. Half of the results of aborted
 * attempts are delivered, as events may be in transit at the abort. */
void
Sim::result(size_t id, enum eng_ev_kind kind, enum eng_fail f, int status)
{
	const SimAttempt &t = attempts[id];
	struct eng_ev ev = {};

	if (t.aborted && rng_chance(&r, 0.5))
		return;
	ev.kind = kind;
	ev.req = arrivals[t.arrival].req;
	ev.attempt = t.attempt;
	if (kind == ENG_EV_DONE) {
		ev.u.done.http_status = status;
	} else {
		ev.u.failed.kind = f;
		ev.u.failed.sent = f != ENG_FAIL_CONNECT;
	}
	step(arrivals[t.arrival].engine, ev, id);
}

/* Answers a claim. The claim is recorded first, then its answer may be lost. */
void
Sim::claim(size_t arrival)
{
	SimArrival &a = arrivals[arrival];
	enum eng_claim c = ENG_CLAIM_GRANTED;

	if (rng_chance(&r, claim_faults.claim_refused)) {
		c = ENG_CLAIM_REFUSED;
	} else if (rng_chance(&r, claim_faults.claim_lost / 2)) {
		c = ENG_CLAIM_LOST; /* before the claim was recorded */
	} else {
		const std::string &key = logicals[a.logical].key;
		auto it = claims.find(key);

		if (it == claims.end()) {
			claims[key] = { arrival, a.logical, SimClaim::RUNNING,
				INT64_MAX };
		} else if (it->second.state == SimClaim::RUNNING) {
			c = now < it->second.until ? ENG_CLAIM_RUNNING
						   : ENG_CLAIM_UNKNOWN;
		} else {
			c = it->second.state == SimClaim::ANSWERED
			    ? ENG_CLAIM_RECORDED
			    : ENG_CLAIM_UNKNOWN;
		}
		if (rng_chance(&r, claim_faults.claim_lost / 2))
			c = ENG_CLAIM_LOST;
	}
	after_ms(rng_chance(&r, claim_faults.claim_lost) ? 700 : transit_ms(),
	    [this, arrival, c] {
		    struct eng_ev ev = {};

		    ev.kind = ENG_EV_CLAIMED;
		    ev.req = arrivals[arrival].req;
		    ev.u.claim = c;
		    step(arrivals[arrival].engine, ev, NONE);
	    });
}

/* Records the end of a claim, unless another request has it. */
void
Sim::record(size_t arrival, enum eng_outcome o)
{
	auto it = claims.find(logicals[arrivals[arrival].logical].key);

	if (it == claims.end() || it->second.arrival != arrival)
		return;
	if (o == ENG_NOT_RUN)
		claims.erase(it);
	else
		it->second.state =
		    o == ENG_ANSWERED ? SimClaim::ANSWERED : SimClaim::UNKNOWN;
}

/* Checks the answer of a request; a keyed client may send it again. */
void
Sim::answer(size_t arrival, const struct eng_act &act, size_t attempt)
{
	SimArrival &a = arrivals[arrival];
	size_t l = a.logical;

	a.answers++;
	a.outcome = act.u.answer.outcome;
	a.reason = act.u.answer.reason;
	a.took = now - a.at;
	if (a.outcome == ENG_ANSWERED && act.u.answer.recorded) {
		auto it = claims.find(logicals[l].key);

		wrong += it == claims.end() ||
		    it->second.state != SimClaim::ANSWERED;
	} else if (a.outcome == ENG_ANSWERED) {
		wrong += attempt == NONE ||
		    attempts[attempt].arrival != arrival ||
		    attempts[attempt].attempt != a.attempt;
	}
	if (a.outcome != ENG_ANSWERED && !logicals[l].key.empty() &&
	    logicals[l].sends < 4 && a.reason != ENG_R_CANCELLED)
		after_ms(50 + 400 * rng_unit(&r), [this, l] {
			arrive((size_t)rng_below(&r, engines.size()), l);
		});
}

/* Guards against a retry storm, and against requests that are still sent to
 * silent servers, when a rack goes silent under idempotent load. */
TEST(EngSim, SilentRackCausesNoRetryStorm)
{
	Sim s(11, 12, { 3, 3, 2 });
	unsigned long before = 0, after = 0, attempts = 0;

	s.keyed = 0;
	s.idempotent = 1;
	s.load(1500, 6);
	s.run_until(s.now + 500 * MS);
	for (size_t i = 0; i < 2; i++) {
		s.servers[i].faults.silent = 1;
		s.servers[i].faults.all_silent = true;
	}
	s.run_until(s.now + 3000 * MS);
	for (size_t i = 0; i < 2; i++)
		before += s.servers[i].received;
	s.run_until(s.now + 3000 * MS);
	for (size_t i = 0; i < 2; i++)
		after += s.servers[i].received;
	for (const SimArrival &a : s.arrivals)
		attempts += a.attempts;
	EXPECT_EQ(before, after);
	EXPECT_LE(attempts, s.arrivals.size() * 11 / 10 + 3 * 6 * 3);
	EXPECT_GT(s.probes, 6u);
}

/* Guards against ejecting more workers of a class than the limit when all
 * servers fail, and against keeping a single failing server in use. */
TEST(EngSim, EjectsTheFailingServerWithinTheCap)
{
	Sim one(12, 10, { 8 }), all(13, 10, { 8 });
	unsigned long before;

	for (Sim *s : { &one, &all }) {
		s->keyed = 0;
		for (SimServer &v : s->servers)
			if (s == &all || &v == &s->servers[0])
				v.faults.error = 1;
		s->load(s == &one ? 6000 : 1000, s == &one ? 2 : 4);
		s->run_until(s->now + 1500 * MS);
	}
	EXPECT_GE(one.counter(0, "worker_ejected"), 1u);
	before = one.servers[0].received;
	one.run_until(one.now + 400 * MS);
	EXPECT_LE(one.servers[0].received - before, 6u);
	for (int i = 0; i < 200; i++) {
		all.run_until(all.now + 10 * MS);
		ASSERT_LE(all.counter(0, "worker_ejected") -
			all.counter(0, "worker_readmitted"),
		    2u);
	}
	EXPECT_GT(all.counter(0, "eject_capped"), 100u);
	EXPECT_GT(all.counter(0, "worker_readmitted"), 0u);
}

/* Guards against retries beyond the budget when all servers refuse requests. */
TEST(EngSim, RetriesStayWithinTheBudget)
{
	Sim s(14, 6, { 4, 4 });
	unsigned long attempts = 0;

	for (SimServer &v : s.servers)
		v.faults.not_started = 1;
	s.keyed = 0;
	s.load(300, 5);
	s.run_until(s.now + 6000 * MS);
	for (const SimArrival &a : s.arrivals)
		attempts += a.attempts;
	EXPECT_LE(attempts, s.arrivals.size() * 11 / 10 + 2 * 3 * 6);
	EXPECT_GT(s.counter(0, "retry_not_started"), 20u);
}
