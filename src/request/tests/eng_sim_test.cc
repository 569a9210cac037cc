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

void
Sim::at(int64_t t, std::function<void()> f)
{
	events.emplace(t, std::move(f));
}

void
Sim::after_ms(double ms, std::function<void()> f)
{
	at(now + (int64_t)(ms * MS), std::move(f));
}

/* Passes an event in; attempt is the one it belongs to, if any. */
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

/* Requests at random instants of the next seconds, at random engines. */
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

void
Sim::cancel(size_t arrival)
{
	struct eng_ev ev = {};

	ev.kind = ENG_EV_CANCEL;
	ev.req = arrivals[arrival].req;
	step(arrivals[arrival].engine, ev, NONE);
}

/* The process ends: its clients see broken connections, servers run on. */
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

void
Sim::drain(size_t engine)
{
	struct eng_ev ev = {};

	engines[engine].draining = true;
	ev.kind = ENG_EV_DRAIN;
	step(engine, ev, NONE);
}

/* The server process restarts; what it ran has broken connections. */
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
			int64_t d = clk_ns(eng_deadline(engines[i].e));

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

uint64_t
Sim::counter(size_t engine, const char *name)
{
	const struct ctr_set *c = eng_counters(engines[engine].e);

	for (size_t i = 0; i < c->n; i++)
		if (strcmp(c->desc[i].name, name) == 0)
			return ctr_get(c, i);
	ADD_FAILURE() << "no counter " << name;
	return 0;
}

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
		for (SimAttempt &t : attempts)
			if (t.arrival == x.arrivals.at(a.req) &&
			    t.attempt == a.attempt)
				t.aborted = true;
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

/* The connection stands: SENT goes in before the first byte goes out. */
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

/* The server has read the request. */
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
	/* After a broken connection the server may run on for all its time. */
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
	else if (p < f.reset + f.half)
		after_ms(ms, [this, id] {
			result(id, ENG_EV_FAILED, ENG_FAIL_TRUNCATED, 0);
		});
	else if (p < f.reset + f.half + f.late)
		after_ms(
		    (double)t.timeout / MS + 50 * rng_unit(&r), [this, id] {
			    result(id, ENG_EV_DONE, ENG_FAIL_RESET, 200);
		    });
	else
		after_ms(ms, [this, id, e = rng_chance(&r, f.error)] {
			result(id, ENG_EV_DONE, ENG_FAIL_RESET, e ? 500 : 200);
		});
}

/* What the shell saw on the connection. Some events are under way to the
 * engine when the connection is aborted. */
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

/* The claim store: a claim is recorded first, then its answer may be lost. */
void
Sim::claim(size_t arrival)
{
	SimArrival &a = arrivals[arrival];
	enum eng_claim c = ENG_CLAIM_GRANTED;

	if (rng_chance(&r, claim_faults.claim_refused)) {
		c = ENG_CLAIM_REFUSED;
	} else if (rng_chance(&r, claim_faults.claim_lost / 2)) {
		c = ENG_CLAIM_LOST; /* before it was recorded */
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

namespace {

enum Kind {
	CLEAN,
	SILENT,
	LATE,
	RESET,
	HALF,
	SLOW_START,
	DRAIN,
	KILLED,
	REFUSED,
	WRONG_EPOCH,
	CANCEL_BURST,
	RACK_SILENT,
	ALL_FAIL,
	CLAIMS,
	MIXED,
	KINDS
};

struct Totals {
	unsigned long arrivals = 0, answered = 0, not_run = 0, unknown = 0;
	unsigned long lost = 0, attempts = 0, runs = 0, late_events = 0;
	unsigned long duplicates = 0, wrong = 0, false_not_run = 0;
	unsigned long no_run = 0, unanswered = 0, excess = 0, claims_left = 0;
	unsigned long bad() const
	{
		return duplicates + wrong + false_not_run + no_run +
		    unanswered + excess + claims_left;
	}
};

void
set_faults(Sim &s, int kind)
{
	for (SimServer &v : s.servers) {
		Faults &f = v.faults;
		double p = kind == MIXED ? 0.05 : 0.2;

		if (kind == SILENT || kind == MIXED)
			f.silent = p, f.hang = p / 2;
		if (kind == LATE || kind == MIXED)
			f.late = p;
		if (kind == RESET || kind == MIXED || kind == CLAIMS)
			f.reset = p;
		if (kind == HALF || kind == MIXED)
			f.half = p;
		if (kind == REFUSED || kind == MIXED || kind == CLAIMS)
			f.not_started = p, f.connect = p;
		if (kind == MIXED)
			f.error = p;
		if (kind == SLOW_START && &v == &s.servers[0])
			f.slow = 30;
	}
	if (kind == ALL_FAIL)
		s.servers[0].faults.reset = 1;
	if (kind == CLAIMS || kind == KILLED || kind == MIXED) {
		s.keyed = 0.7;
		s.claim_faults.claim_lost = 0.1;
		s.claim_faults.claim_refused = 0.05;
	}
}

void
set_events(Sim &s, int kind)
{
	bool mixed = kind == MIXED;

	if (kind == SLOW_START)
		s.after_ms(400, [&s] { s.servers[0].faults.slow = 1; });
	if (kind == DRAIN)
		s.after_ms(300, [&s] { s.drain(0); });
	if (kind == KILLED || mixed)
		s.after_ms(350, [&s] { s.kill(1); });
	if (kind == WRONG_EPOCH || mixed)
		for (size_t i = 0; i < 3; i++)
			s.after_ms(
			    150 + 130 * (double)i, [&s, i] { s.restart(i); });
	if (kind == CANCEL_BURST || mixed)
		s.after_ms(300, [&s] {
			for (size_t i = 0; i < s.arrivals.size(); i++)
				if (s.arrivals[i].answers == 0 &&
				    !s.arrivals[i].lost)
					s.cancel(i);
		});
	if (kind == RACK_SILENT || mixed)
		s.after_ms(200, [&s] {
			for (size_t i = 0; i < 2; i++) {
				s.servers[i].faults.silent = 1;
				s.servers[i].faults.all_silent = true;
			}
		});
}

void
check(Sim &s, Totals &t)
{
	for (const SimArrival &a : s.arrivals) {
		const SimLogical &l = s.logicals[a.logical];

		t.arrivals++;
		t.attempts += a.attempts;
		t.runs += a.runs;
		t.lost += a.lost;
		if (!a.lost)
			t.unanswered += a.answers != 1;
		t.duplicates += a.runs > 1 && !l.idempotent;
		if (a.answers == 0)
			continue;
		t.answered += a.outcome == ENG_ANSWERED;
		t.not_run += a.outcome == ENG_NOT_RUN;
		t.unknown += a.outcome == ENG_UNKNOWN;
		t.false_not_run += a.outcome == ENG_NOT_RUN && a.runs > 0;
		t.no_run += a.outcome == ENG_ANSWERED && l.runs == 0;
	}
	for (const SimLogical &l : s.logicals)
		t.duplicates += l.runs > 1 && !l.key.empty();
	for (const auto &c : s.claims)
		t.claims_left += c.second.state == SimClaim::RUNNING &&
		    s.engines[s.arrivals[c.second.arrival].engine].e != NULL;
	t.wrong += s.wrong;
	t.excess += s.excess;
	for (size_t i = 0; i < s.engines.size(); i++)
		if (s.engines[i].e != NULL) {
			t.unanswered += !eng_idle(s.engines[i].e);
			t.late_events += s.counter(i, "late_answer") +
			    s.counter(i, "old_event");
		}
}

} // namespace

/* Guards against an answer that the servers' ledgers do not bear out: work
 * run twice, called not run although it was, answered from another attempt,
 * answered twice or never; and against more requests on a server than slots.
 */
TEST(EngSim, OutcomesAgreeWithTheLedgers)
{
	Totals t;
	unsigned long rounds = 0;

	for (uint64_t seed = 1; seed <= 3000; seed++, rounds++) {
		int kind = (int)(seed % KINDS);
		Sim s(seed, 6, { 3, 3, 2 });

		set_faults(s, kind);
		set_events(s, kind);
		s.load(seed % 4 == 0 ? 1500 : 250, 0.6);
		s.run_until(s.now + 5000 * MS);
		check(s, t);
		ASSERT_EQ(0u, t.bad())
		    << "seed " << seed << " kind " << kind << " duplicates "
		    << t.duplicates << " wrong " << t.wrong << " false_not_run "
		    << t.false_not_run << " no_run " << t.no_run
		    << " unanswered " << t.unanswered << " excess " << t.excess
		    << " claims " << t.claims_left;
	}
	printf("rounds %lu\n", rounds);
	printf("figure requests %lu answered %lu not_run %lu unknown %lu "
	       "lost %lu attempts %lu runs %lu late_events %lu\n",
	    t.arrivals, t.answered, t.not_run, t.unknown, t.lost, t.attempts,
	    t.runs, t.late_events);
	printf("figure duplicates %lu wrong_answers %lu false_not_run %lu\n",
	    t.duplicates, t.wrong, t.false_not_run);
	EXPECT_GT(t.late_events, 100u);
}

/* Guards against a retry storm, and against work that keeps going to silent
 * servers, when a rack goes silent under idempotent load. */
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

/* Guards against ejecting more of a class than the cap when all servers fail,
 * and against keeping a single failing server in use. */
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

/* Guards against retries beyond the budget when no server takes work. */
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
