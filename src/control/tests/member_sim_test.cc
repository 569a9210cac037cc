#include "control/tests/raft_sim.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>

extern "C" {
#include "control/raft_priv.h"
}

/*
 * Simulates the membership of a group whose machines are lost, replaced and
 * brought back, and counts what is lost as the users do: a machine is lost
 * while it is down, frozen or cut off and for CATCH_UP_NS after that, and one
 * that was removed until its successor has had that time. While no more than
 * TOLERATE are lost, so many others may be lost at any moment that TOLERATE
 * are: the rest has to hold a majority of the members in force.
 */

namespace {

const int64_t MS = 1000000, SECOND = 1000 * MS;
const int64_t CATCH_UP_NS = 4 * SECOND, RECOVERY_NS = 12 * SECOND;
const size_t TOLERATE = 2, GROUP = 2 * TOLERATE + 1;
const int64_t JOIN_INTERVAL_NS = 300 * MS, FORGET_LEARNER_MS = 4000;
/* A process has this time to stop before its machine is taken away. */
const int64_t GRACE_NS = 6 * SECOND;
/* How long a replica that stops waits until it has left the group. */
const int64_t LEAVE_NS = 4500 * MS;

/* One of the machines that count, or the one that took its place. */
struct Place {
	uint32_t instance;
	bool is_absent = false; /* gone, and its successor hasn't started */
	bool is_changing = false;
	bool is_stopping = false; /* by plan; lost until its grace is over */
	int64_t free_at = 0;	  /* counts as lost until then */
};

class MemberSim {
      public:
	RaftSim s;
	std::vector<Place> places;
	std::set<uint32_t> cut;
	std::vector<std::string> trace;
	bool has_failed = false;

	explicit MemberSim(uint64_t seed) : s(conf(seed))
	{
		s.add_group(GROUP);
		for (uint32_t i = 1; i <= GROUP; i++) {
			Place p;
			p.instance = i;
			places.push_back(p);
		}
	}

	static SimConf conf(uint64_t seed)
	{
		SimConf c;
		c.seed = seed;
		c.jitter_ns = 2 * MS;
		c.sync_ns = 6 * MS;
		c.voters_needed = GROUP;
		return c;
	}

	/* Tells whether a machine works now. */
	bool works(uint32_t instance)
	{
		return s.node(instance).up() && !cut.count(instance) &&
		    s.node(instance).stalled_until <= s.now;
	}

	bool is_lost(const Place &p)
	{
		return p.is_absent || p.is_stopping || !works(p.instance) ||
		    s.now < p.free_at;
	}

	size_t count_lost()
	{
		size_t n = 0;

		for (auto &p : places)
			n += is_lost(p);
		return n;
	}

	/* Simulates, with the duties of the processes around raft: asking to
	 * join, forgetting silent learners, proposing. */
	void run(int64_t ns)
	{
		int64_t end = s.now + ns;

		while (s.now < end && !has_failed) {
			s.run(std::min<int64_t>(20 * MS, end - s.now));
			run_due();
			uint32_t l = s.leader();
			if (l != 0 && works(l))
				s.propose(l, "x");
			if (l != 0 && l != last_leader)
				note(std::to_string(l) + " leads");
			last_leader = l == 0 ? last_leader : l;
			if (s.now >= next_join) {
				next_join = s.now + JOIN_INTERVAL_NS;
				join_and_forget();
			}
			check();
		}
	}

	void later(int64_t ns, std::function<void()> fn)
	{
		due.emplace(s.now + ns, std::move(fn));
	}

	void note(const std::string &what)
	{
		trace.push_back(std::to_string(s.now / MS) + " ms: " + what);
	}

	/* Takes a machine away for good; an empty one comes after a pause at
	 * another address. */
	void replace(size_t i, int64_t pause_ns)
	{
		uint32_t m = places[i].instance;

		note("replaces " + std::to_string(m));
		s.crash(m, 0);
		places[i].is_absent = true;
		later(pause_ns, [this, m] {
			Place &p = place_of(m);

			p.instance = add_machine();
			p.is_absent = false;
			p.free_at = s.now + CATCH_UP_NS;
		});
	}

	/* Starts a successor, then stops a machine for good: it leaves the
	 * group if it isn't needed. */
	void replace_planned(size_t i, int64_t overlap_ns)
	{
		Place next;
		uint32_t old = places[i].instance;

		note("plans to replace " + std::to_string(old));
		next.instance = add_machine();
		next.free_at = s.now + CATCH_UP_NS;
		next.is_changing = true;
		places[i].is_changing = true;
		places.push_back(next);
		later(overlap_ns, [=] { stop_for_good(old, next.instance); });
	}

	/* Kills a process and starts it again, with an empty disk if wiped. */
	void restart(size_t i, int64_t down_ns, bool wiped)
	{
		uint32_t m = places[i].instance;

		note((wiped ? "wipes " : "kills ") + std::to_string(m));
		s.crash(m, (size_t)rng_below(&s.rng, 3));
		if (wiped)
			s.node(m).disk = new_disk();
		later(down_ns, [this, m] { s.start(m); });
		places[i].free_at = s.now + down_ns + CATCH_UP_NS;
	}

	void freeze(size_t i, int64_t ns)
	{
		note("freezes " + std::to_string(places[i].instance));
		s.node(places[i].instance).stalled_until = s.now + ns;
		places[i].free_at = s.now + ns + CATCH_UP_NS;
	}

	void cut_off(size_t i, int64_t ns)
	{
		uint32_t m = places[i].instance;

		note("cuts off " + std::to_string(m));
		cut.insert(m);
		update_paths();
		later(ns, [this, m] {
			cut.erase(m);
			update_paths();
		});
		places[i].free_at = s.now + ns + CATCH_UP_NS;
	}

	/* Kills all at once, wipes some disks, and expects that the group
	 * commits again. */
	void close(size_t wiped)
	{
		std::vector<size_t> order;

		note("loses all and " + std::to_string(wiped) + " disks");
		for (size_t i = 0; i < places.size(); i++) {
			order.push_back(i);
			s.crash(places[i].instance, 0);
		}
		for (size_t i = order.size() - 1; i > 0; i--)
			std::swap(order[i], order[rng_below(&s.rng, i + 1)]);
		for (size_t i = 0; i < wiped; i++)
			s.node(places[order[i]].instance).disk = new_disk();
		s.run(1500 * MS);
		for (auto &p : places)
			s.start(p.instance);
		closing = true;
		run(RECOVERY_NS);
		size_t before = s.history.size();
		run(SECOND);
		if (s.history.size() == before)
			fail("nothing is committed after the loss of all");
	}

	void report()
	{
		std::string all;

		for (auto &t : trace)
			all += "\n" + t;
		for (auto &v : s.violations)
			all += "\n" + v;
		if (has_failed || !s.violations.empty())
			ADD_FAILURE() << all;
	}

	/* Returns the index of a machine's place. */
	size_t index_of(uint32_t instance)
	{
		size_t i = 0;

		while (places.at(i).instance != instance)
			i++;
		return i;
	}

      private:
	Place &place_of(uint32_t instance)
	{
		return places[index_of(instance)];
	}

	std::multimap<int64_t, std::function<void()>> due;
	int64_t next_join = 0;
	uint32_t last_leader = 0;
	bool closing = false;

	/* Stops a machine by plan as soon as another one may be lost. */
	void stop_for_good(uint32_t old, uint32_t next)
	{
		if (count_lost() >= TOLERATE) {
			later(20 * MS, [=] { stop_for_good(old, next); });
			return;
		}
		note("stops " + std::to_string(old));
		place_of(old).is_stopping = true;
		later(GRACE_NS, [=] { take_place(old, next); });
		leave(old, s.now + LEAVE_NS, [=] {
			s.crash(old, SIZE_MAX);
			note(std::to_string(old) + " has stopped");
		});
	}

	/* Lets a successor count instead of the machine that it replaces. */
	void take_place(uint32_t old, uint32_t next)
	{
		for (size_t i = 0; i < places.size(); i++) {
			if (places[i].instance == next)
				places[i].is_changing = false;
		}
		for (size_t i = 0; i < places.size(); i++) {
			if (places[i].instance != old)
				continue;
			places.erase(places.begin() + (long)i);
			return;
		}
	}

	SimDisk new_disk()
	{
		SimDisk d;

		d.replica = s.new_replica();
		return d;
	}

	uint32_t add_machine()
	{
		uint32_t m = s.add_node(new_disk());

		update_paths();
		s.start(m);
		note("adds " + std::to_string(m));
		return m;
	}

	void update_paths()
	{
		s.blocked.clear();
		for (uint32_t m : cut)
			s.isolate(m, true, true);
	}

	void run_due()
	{
		while (!due.empty() && due.begin()->first <= s.now) {
			auto fn = due.begin()->second;
			due.erase(due.begin());
			fn();
		}
	}

	/* Asks the leader to remove a replica that stops, until it has, no
	 * other replica may take its place, or the time is over. */
	void leave(uint32_t m, int64_t until, std::function<void()> stop)
	{
		uint32_t l = s.leader();
		size_t voters = 0, learners = 0;
		bool is_voter = false;

		for (auto &x : s.node(m).members()) {
			voters += x.voter;
			learners += !x.voter;
		}
		for (auto &x : s.node(l == 0 ? m : l).members())
			is_voter |= x.voter && x.instance == m;
		if (!is_voter || (voters <= GROUP && learners == 0) ||
		    s.now >= until) {
			stop();
			return;
		}
		if (l == m)
			s.event(m, RAFT_EV_TRANSFER);
		else if (l != 0 && count_voters(l) > GROUP)
			s.remove_member(l, s.node(m).disk.replica);
		later(20 * MS, [=] { leave(m, until, stop); });
	}

	size_t count_voters(uint32_t l)
	{
		size_t n = 0;

		for (auto &x : s.node(l).members())
			n += x.voter;
		return n;
	}

	/* Has replicas that aren't members ask the leader to be added, and the
	 * leader forget silent learners. */
	void join_and_forget()
	{
		uint32_t l = s.leader();

		if (l == 0 || !works(l))
			return;
		for (auto &m : s.node(l).members()) {
			if (!m.voter &&
			    raft_ms_since_reply(s.node(l).raft, m.replica) >
				FORGET_LEARNER_MS)
				s.remove_member(l, m.replica);
		}
		for (auto &p : places)
			join(l, p.instance);
	}

	void join(uint32_t l, uint32_t m)
	{
		if (!works(m))
			return;
		for (auto &x : s.node(l).members()) {
			if (x.replica == s.node(m).disk.replica)
				return;
		}
		s.add_member(l, m);
	}

	void fail(const std::string &what)
	{
		note(what);
		has_failed = true;
	}

	/* Tells whether these machines can elect a leader by themselves: the
	 * one with the newest log needs a majority of the members it knows. */
	bool has_majority(const std::vector<uint32_t> &machines)
	{
		std::pair<uint64_t, uint64_t> newest = { 0, 0 };
		const struct raft *best = nullptr;
		size_t voters = 0, present = 0;

		for (uint32_t m : machines) {
			const struct raft *r = s.node(m).raft;
			std::pair<uint64_t, uint64_t> log = { 0,
				raft_log_last(r) };

			raft_log_term(r, log.second, &log.first);
			if (best == nullptr || log > newest) {
				best = r;
				newest = log;
			}
		}
		if (best == nullptr)
			return false;
		for (size_t i = 0; i < best->members.n; i++) {
			const struct raft_member &m = best->members.v[i];

			voters += m.voter;
			for (uint32_t x : machines)
				present += m.voter && m.instance == x &&
				    m.replica == s.node(x).disk.replica;
		}
		return present >= voters / 2 + 1;
	}

	/* Checks that every choice of machines that may still be lost leaves a
	 * majority. */
	void check()
	{
		std::vector<uint32_t> sound;
		size_t left;

		if (closing || has_failed || count_lost() > TOLERATE)
			return;
		left = TOLERATE - count_lost();
		for (auto &p : places) {
			if (!is_lost(p))
				sound.push_back(p.instance);
		}
		/* Each choice of `left` of them, as a bit set. */
		for (unsigned set = 0; set < 1U << sound.size(); set++) {
			std::vector<uint32_t> rest;

			if ((size_t)__builtin_popcount(set) != left)
				continue;
			for (size_t i = 0; i < sound.size(); i++) {
				if (!(set >> i & 1))
					rest.push_back(sound[i]);
			}
			if (!has_majority(rest)) {
				fail_without(rest);
				return;
			}
		}
	}

	void fail_without(const std::vector<uint32_t> &rest)
	{
		std::string text = "no majority with";

		for (uint32_t m : rest)
			text += " " + std::to_string(m);
		text += "; leader " + std::to_string(s.leader());
		for (uint32_t x : rest) {
			text += "; members of " + std::to_string(x) + ":";
			for (auto &m : s.node(x).members())
				text += " " + std::to_string(m.instance) +
				    (m.voter ? "" : " (learner)");
		}
		fail(text);
	}
};

/* Picks a machine that isn't lost, often the leader; false if that would lose
 * too many. */
bool
pick(MemberSim &m, size_t *place)
{
	uint32_t l = m.s.leader();
	std::vector<size_t> sound;

	if (m.count_lost() >= TOLERATE)
		return false;
	for (size_t i = 0; i < m.places.size(); i++) {
		if (m.is_lost(m.places[i]) || m.places[i].is_changing)
			continue;
		sound.push_back(i);
		if (m.places[i].instance == l && rng_chance(&m.s.rng, 0.4)) {
			*place = i;
			return true;
		}
	}
	if (sound.empty())
		return false;
	*place = sound[rng_below(&m.s.rng, sound.size())];
	return true;
}

int64_t
between(MemberSim &m, int64_t from_ms, int64_t to_ms)
{
	return (from_ms +
		   (int64_t)rng_below(&m.s.rng, (uint64_t)(to_ms - from_ms))) *
	    MS;
}

/* Causes one disruption. */
void
disturb(MemberSim &m)
{
	size_t i;

	if (!pick(m, &i))
		return;
	switch (rng_below(&m.s.rng, 7)) {
	case 0:
	case 1:
		m.replace(i, between(m, 100, 2000));
		break;
	case 2:
		m.replace_planned(i, between(m, 200, 8000));
		break;
	case 3:
		m.restart(i, between(m, 50, 4000), false);
		break;
	case 4:
		m.restart(i, between(m, 50, 4000), true);
		break;
	case 5:
		m.freeze(i, between(m, 100, 4000));
		break;
	case 6:
		m.cut_off(i, between(m, 100, 6000));
		break;
	}
}

/* Waits until nothing counts as lost; false if it takes too long. */
bool
wait_until_whole(MemberSim &m)
{
	for (int i = 0; i < 1000 && !m.has_failed; i++) {
		bool is_changing = false;

		for (auto &p : m.places)
			is_changing |= p.is_changing;
		if (m.count_lost() == 0 && !is_changing)
			return true;
		m.run(20 * MS);
	}
	return false;
}

/* Waits until nothing counts as lost, then has all lose power and as many as
 * may be lost their disks. */
void
close_whole(MemberSim &m)
{
	bool is_whole = wait_until_whole(m);

	EXPECT_TRUE(is_whole || m.has_failed);
	if (is_whole)
		m.close(TOLERATE);
	m.report();
}

/* Guards against a lost voter that counts when the tolerance is available
 * again, because a change of the leader starts its time anew. */
TEST(Members, AVoterThatIsReplacedStopsCountingAfterAChangeOfTheLeader)
{
	for (uint64_t seed = 1; seed <= 20 && !HasFailure(); seed++) {
		MemberSim m(seed);
		SCOPED_TRACE("seed " + std::to_string(seed));
		m.run(8 * SECOND);
		uint32_t l = m.s.leader();
		ASSERT_NE(0U, l);
		m.replace(l % GROUP, SECOND);
		m.run((int64_t)(3300 + 30 * seed) * MS);
		m.restart(m.index_of(m.s.leader()), 100 * MS, false);
		close_whole(m);
	}
}

/* Guards against a lost leader that counts for too long, because the next
 * leader, which is lost as well, and the one after it start its time anew. */
TEST(Members, ALeaderThatIsReplacedStopsCountingThoughTheNextOneIsLost)
{
	for (uint64_t seed = 1; seed <= 40 && !HasFailure(); seed++) {
		MemberSim m(seed);
		SCOPED_TRACE("seed " + std::to_string(seed));
		m.run(8 * SECOND);
		uint32_t first = m.s.leader();
		ASSERT_NE(0U, first);
		m.replace(m.index_of(first), 300 * MS);
		for (int i = 0;
		     i < 200 && (m.s.leader() == 0 || m.s.leader() == first);
		     i++)
			m.run(20 * MS);
		m.run(between(m, 100, 900));
		m.restart(m.index_of(m.s.leader()), 100 * MS, false);
		close_whole(m);
	}
}

/* Guards against the same after replacements in a row. */
TEST(Members, ReplacementsInARowLeaveAMajority)
{
	for (uint64_t seed = 1; seed <= 10 && !HasFailure(); seed++) {
		MemberSim m(seed);
		SCOPED_TRACE("seed " + std::to_string(seed));
		m.run(8 * SECOND);
		for (size_t i = 0; i < 2 * GROUP && !m.has_failed; i++) {
			m.replace(i % GROUP, between(m, 100, 1500));
			m.run(between(m, 3000, 6000));
			while (m.count_lost() >= TOLERATE && !m.has_failed)
				m.run(20 * MS);
		}
		close_whole(m);
	}
}

/* Plays one seed of the test below. */
void
play(uint64_t seed)
{
	MemberSim m(seed);

	SCOPED_TRACE("seed " + std::to_string(seed));
	m.run(8 * SECOND);
	for (int i = 0; i < 40 && !m.has_failed; i++) {
		disturb(m);
		m.run(between(m, 50, 4000));
	}
	close_whole(m);
}

/* Guards against a voter that counts when it is gone, whatever else is lost,
 * replaced, frozen or cut off within the tolerance. */
TEST(Members, NoDisruptionWithinTheToleranceLeavesAMinority)
{
	const char *more = getenv("MEMBER_SEEDS"), *one = getenv("MEMBER_SEED");
	uint64_t seeds = more == NULL ? 60 : strtoull(more, NULL, 10);

	if (one != NULL) {
		play(strtoull(one, NULL, 10));
		return;
	}
	for (uint64_t seed = 1; seed <= seeds && !HasFailure(); seed++)
		play(seed);
}

} // namespace
