#include <gtest/gtest.h>

#include <cstdio>

#include "eng_sim.h"

namespace {

const int64_t MS = 1000000;

enum Kind {
	CLEAN,
	SILENT,
	LATE,
	RESET,
	TRUNCATED,
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
	/* Returns the number of answers and runs that must not happen. */
	unsigned long violations() const
	{
		return duplicates + wrong + false_not_run + no_run +
		    unanswered + excess + claims_left;
	}
};

/* Sets the fault probabilities of a kind of round. */
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
		if (kind == TRUNCATED || kind == MIXED)
			f.truncate = p;
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

/* Schedules the events of a kind of round. */
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

/* Adds the results of a round to the totals, violations included. */
void
add_results(Sim &s, Totals &t)
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
			t.unanswered += !eng_is_idle(s.engines[i].e);
			t.late_events += s.counter(i, "late_answer") +
			    s.counter(i, "old_event");
		}
}

} // namespace

/* Guards against answers that contradict what the servers ran: a request run
 * twice, reported as not run although it ran, answered with the result of
 * another attempt, answered twice or never; and against more requests on a
 * server than it has slots. Faults and events depend on the seed. */
TEST(EngSim, OutcomesMatchWhatTheServersRan)
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
		add_results(s, t);
		ASSERT_EQ(0u, t.violations())
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
