/*
 * Simulation of several engines and fake backend servers on a virtual clock.
 * Each run of a request is counted where it happens, so that the answers of
 * the engines can be compared with what the servers really ran.
 */
#ifndef REQUEST_TESTS_ENG_SIM_H
#define REQUEST_TESTS_ENG_SIM_H

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/rng.h"
#include "request/eng.h"

/* Probabilities of faults, per attempt or claim. */
struct Faults {
	double connect = 0;	/* connection refused */
	double hang = 0;	/* connection attempt gets no answer */
	double not_started = 0; /* refused before starting */
	double reset = 0;	/* after the request was read */
	double truncate = 0;	/* answer truncated */
	double silent = 0;	/* no answer on this connection */
	double late = 0;	/* answer long after the deadline */
	double error = 0;	/* status 500 */
	double slow = 1;	/* factor of the service time */
	double claim_lost = 0, claim_refused = 0;
	bool all_silent = false; /* probes get no answer either */
};

struct SimServer {
	uint64_t epoch;
	std::string rack;
	Faults faults;
	unsigned running = 0;
	unsigned long received = 0;
};

/* One logical request; a client resends it with the same key if it has one. */
struct SimLogical {
	std::string key;
	bool idempotent;
	unsigned runs = 0;
	unsigned sends = 0;
};

/* One request that has reached an engine. */
struct SimArrival {
	size_t engine, logical;
	uint64_t req;
	int64_t at;
	unsigned runs = 0, attempts = 0, answers = 0;
	uint64_t attempt = 0; /* newest */
	enum eng_outcome outcome;
	enum eng_reason reason;
	bool lost = false; /* its engine was killed before the answer */
	int64_t took = 0;
};

/* One attempt of a request on a backend server. */
struct SimAttempt {
	size_t arrival, server;
	uint64_t attempt, epoch;
	int64_t timeout;
	bool aborted = false;
};

/* The state of a claimed key. */
struct SimClaim {
	size_t arrival, logical;
	enum {
		RUNNING,
		ANSWERED,
		UNKNOWN
	} state;
	int64_t until; /* RUNNING becomes unknown then */
};

/* One engine and its current view. */
struct SimEngine {
	struct eng *e = NULL;
	unsigned share; /* of the slots of each server */
	bool draining = false;
	struct view view = {};
	std::vector<view_worker> workers;
	std::vector<size_t> server; /* index of the server of each worker */
	std::map<uint64_t, size_t> arrivals;
};

/* The simulation; at() and after_ms() schedule events. */
struct Sim {
	static const unsigned SLOTS = 8;
	struct rng r;
	int64_t now = 1000000000;
	uint64_t next_epoch = 10, next_req = 1;
	std::multimap<int64_t, std::function<void()>> events;
	std::vector<SimServer> servers;
	std::vector<SimEngine> engines;
	std::vector<SimLogical> logicals;
	std::vector<SimArrival> arrivals;
	std::vector<SimAttempt> attempts;
	std::map<std::string, SimClaim> claims;
	std::vector<view_class> classes;
	unsigned serves[2] = { 0, 1 };
	struct eng_acts acts = {};
	double service_ms = 10;
	double keyed = 0.3, idempotent = 0.5;
	Faults claim_faults;
	/* wrong: answers of another attempt; excess: requests beyond SLOTS. */
	unsigned long wrong = 0, excess = 0, probes = 0;

	Sim(uint64_t seed, unsigned nservers, std::vector<unsigned> shares);
	~Sim();
	void at(int64_t t, std::function<void()> f);
	void after_ms(double ms, std::function<void()> f);
	/* Returns a random time in transit, one way. */
	double transit_ms()
	{
		return 0.1 + rng_unit(&r) * 2;
	}
	void step(size_t engine, struct eng_ev &ev, size_t attempt);
	void publish(size_t engine);
	void arrive(size_t engine, size_t logical);
	size_t logical();
	void load(double per_s, double seconds);
	void cancel(size_t arrival);
	void kill(size_t engine);
	void drain(size_t engine);
	void restart(size_t server);
	/* Runs all events and timers up to t. */
	void run_until(int64_t t);
	uint64_t counter(size_t engine, const char *name);

      private:
	void act(size_t engine, const struct eng_act &a, size_t attempt);
	void dispatch(size_t engine, const struct eng_act &a);
	void connected(size_t attempt);
	void received(size_t attempt);
	void result(
	    size_t attempt, enum eng_ev_kind kind, enum eng_fail f, int status);
	void claim(size_t arrival);
	void record(size_t arrival, enum eng_outcome o);
	void answer(size_t arrival, const struct eng_act &a, size_t attempt);
};

#endif
