#include <gtest/gtest.h>

#include <cstdio>
#include <filesystem>

#include "control/tests/raft_sim.h"

static const int64_t kMs = CLK_NS_PER_MS;
static const int64_t kSecond = CLK_NS_PER_S;

/* A random sequence of faults, membership changes and proposals. */
class Schedule {
      public:
	explicit Schedule(uint64_t seed, const SimConf &c, bool eager = false)
	    : s(c), eager_snapshots(eager)
	{
		rng_init(&r, seed * 77777);
		voters = 3 + 2 * (uint32_t)rng_below(&r, 2);
		s.add_group(voters);
		if (rng_chance(&r, 0.3))
			s.start(s.add_node(new_disk()));
		for (auto &n : s.nodes)
			n->clock_rate = 0.99 + rng_unit(&r) * 0.02;
	}
	RaftSim s;
	uint64_t proposed = 0, repairs = 0, restarts = 0;

	void run(int rounds)
	{
		for (int i = 0; i < rounds && s.violations.empty(); i++) {
			add_missing_members();
			if (eager_snapshots && rng_chance(&r, 0.15))
				leave_behind(random_instance());
			if (eager_snapshots && rng_chance(&r, 0.15))
				restart_all();
			if (rng_chance(&r, 0.5))
				inject_fault();
			propose_and_read();
			run_with_barriers(rng_below(&r, 400));
		}
		recover_and_check();
	}

      private:
	struct rng r;
	uint32_t voters, replaced_instance = 0;
	/* Large entries, of which leaders keep few, and restarts of all. */
	bool eager_snapshots;

	SimDisk new_disk()
	{
		SimDisk d;
		d.replica = s.new_replica();
		return d;
	}

	uint32_t random_instance()
	{
		return 1 + (uint32_t)rng_below(&r, s.nodes.size());
	}

	/* Proposes entries and requests a read barrier on every instance. */
	void propose_and_read()
	{
		size_t n = rng_below(&r, 12);
		size_t size =
		    rng_chance(&r, eager_snapshots ? 0.5 : 0.08) ? 40000 : 20;

		for (uint32_t i = 1; i <= s.nodes.size(); i++) {
			for (size_t k = 0; k < n; k++) {
				std::string d = std::to_string(++proposed);
				d.resize(size, '.');
				s.propose(i, d);
			}
			s.barrier(i);
		}
	}

	/* Lets time pass while read barriers are requested everywhere. */
	void run_with_barriers(uint64_t ms)
	{
		for (uint64_t t = 0; t < ms; t += 25) {
			s.run(25 * kMs);
			for (uint32_t i = 1; i <= s.nodes.size(); i++)
				s.barrier(i);
		}
	}

	void start_all()
	{
		for (uint32_t k = 1; k <= s.nodes.size(); k++) {
			if (!s.node(k).up())
				s.start(k);
		}
	}

	/* All replicas lose some unsynced writes, then start again. */
	void power_failure()
	{
		s.run((int64_t)rng_below(&r, (uint64_t)s.conf.sync_ns + kMs));
		for (uint32_t k = 1; k <= s.nodes.size(); k++) {
			if (s.node(k).up())
				s.crash(k, rng_below(&r, 2));
		}
		start_all();
	}

	/* All replicas are stopped at once, half of the time while one of them
	 * saves a snapshot, and start again with any part of what they had not
	 * synced. Some start later. */
	void restart_all()
	{
		auto saving = [this] {
			for (auto &n : s.nodes) {
				if (n->up() && n->saving != 0)
					return true;
			}
			return false;
		};

		propose_and_read();
		if (rng_chance(&r, 0.5))
			s.run_until(saving, kSecond);
		s.run((int64_t)rng_below(&r, (uint64_t)s.conf.sync_ns + kMs));
		for (uint32_t k = 1; k <= s.nodes.size(); k++) {
			if (s.node(k).up())
				s.crash(k,
				    rng_below(&r, s.node(k).writes.size() + 1));
		}
		for (uint32_t k = 1; k <= s.nodes.size(); k++) {
			if (rng_chance(&r, 0.8))
				s.start(k);
		}
		restarts++;
		if (rng_chance(&r, 0.7))
			commit_some();
	}

	/* Waits for a leader and has it commit some entries. */
	void commit_some()
	{
		s.run_until([this] { return s.leader() != 0; }, 5 * kSecond);
		for (int i = 0; i < 4; i++) {
			propose_and_read();
			run_with_barriers(100);
		}
	}

	/* A replica is down or cut off while the others go on, so that it lags
	 * behind their snapshots. */
	void leave_behind(uint32_t i)
	{
		if (rng_chance(&r, 0.5))
			s.isolate(i, true, true);
		else if (s.node(i).up())
			s.crash(i, rng_below(&r, 3));
		commit_some();
		s.blocked.clear();
		start_all();
	}

	/* Transfers leadership; may isolate the old leader meanwhile. */
	void transfer_leadership()
	{
		uint32_t l = s.leader();

		if (l == 0)
			return;
		s.event(l, RAFT_EV_TRANSFER);
		s.run((int64_t)rng_below(&r, 10 * kMs));
		if (rng_chance(&r, 0.5)) {
			s.isolate(l, true, true);
			for (int i = 0; i < 4; i++) {
				run_with_barriers(50);
				propose_and_read();
			}
			s.blocked.clear();
		}
	}

	/* A replica whose election timeout has expired meets replicas that
	 * have just restarted and so have not heard from the leader, which is
	 * isolated now but may still hold its lease. */
	void elect_after_restarts(uint32_t i)
	{
		uint32_t l = s.leader();

		if (l == 0 || l == i)
			return;
		start_all();
		s.isolate(i, true, true);
		run_with_barriers(2500);
		l = s.leader();
		s.blocked.clear();
		if (l == 0 || l == i)
			return;
		s.isolate(l, true, true);
		for (uint32_t k = 1; k <= s.nodes.size(); k++) {
			if (k == l || k == i)
				continue;
			s.crash(k, SIZE_MAX);
			s.start(k);
		}
		for (int t = 0; t < 12; t++) {
			run_with_barriers(75);
			propose_and_read();
		}
		s.blocked.clear();
	}

	void lose_disk(uint32_t i)
	{
		if (replaced_instance != 0)
			return;
		if (s.node(i).up())
			s.crash(i, 0);
		replaced_instance = i;
		s.node(i).disk = new_disk();
		s.node(i).generations_seen.clear();
		s.start(i);
	}

	bool is_member(uint32_t leader, uint64_t replica)
	{
		for (auto &m : s.node(leader).members()) {
			if (m.replica == replica)
				return true;
		}
		return false;
	}

	/* Tells whether a leader's log is committed up to its end, and with it
	 * the member list in force. */
	bool is_all_committed(uint32_t leader)
	{
		struct raft *l = s.node(leader).raft;

		return raft_commit_index(l) == raft_last_index(l);
	}

	/* Adds replicas that are not members, as the cell does. It repeats
	 * this because a later leader can undo an uncommitted addition. */
	void add_missing_members()
	{
		uint32_t l = s.leader();
		bool member = false, old = false;

		if (l == 0)
			return;
		for (uint32_t i = 1; i <= s.nodes.size(); i++) {
			if (!is_member(l, s.node(i).disk.replica))
				s.add_member(l, i);
		}
		if (replaced_instance == 0)
			return;
		for (auto &m : s.node(l).members()) {
			if (m.instance != replaced_instance)
				continue;
			if (m.replica != s.node(replaced_instance).disk.replica)
				old = true;
			else
				member = m.voter;
		}
		if (member && !old && s.node(l).applied > 0 &&
		    is_all_committed(l)) {
			replaced_instance = 0;
			repairs++;
		}
	}

	void change_network()
	{
		s.conf.drop = rng_chance(&r, 0.5) ? 0 : 0.2;
		s.conf.duplicate = rng_chance(&r, 0.5) ? 0 : 0.2;
		s.conf.jitter_ns = rng_chance(&r, 0.5) ? 0 : 80 * kMs;
		s.conf.sync_ns = rng_chance(&r, 0.7) ? 200000 : 100 * kMs;
	}

	void inject_fault()
	{
		uint32_t i = random_instance();
		SimNode &n = s.node(i);
		bool in = rng_chance(&r, 0.5);

		switch (rng_below(&r, 15)) {
		case 0:
		case 1:
			if (n.up())
				s.crash(i, rng_below(&r, n.writes.size() + 2));
			break;
		case 2:
		case 3:
		case 4:
			start_all();
			break;
		case 5:
			s.isolate(i, true, true);
			break;
		case 6:
			s.isolate(i, in, !in);
			break;
		case 7:
		case 8:
			s.blocked.clear();
			break;
		case 9:
			change_network();
			break;
		case 10:
			transfer_leadership();
			break;
		case 11:
			lose_disk(i);
			break;
		case 12:
			if (in)
				power_failure();
			else
				elect_after_restarts(i);
			break;
		case 13:
			/* Possibly the leader; add_missing_members adds it
			 * back. */
			if (s.leader() != 0 && replaced_instance == 0 &&
			    s.remove_member(s.leader(), n.disk.replica) ==
				STATUS_OK)
				replaced_instance = i;
			break;
		case 14:
			n.stalled_until = s.now +
			    (int64_t)rng_below(&r, 3 * (uint64_t)kSecond);
			break;
		}
	}

	/* Ends all faults; the group has to commit and agree again. */
	void recover_and_check()
	{
		s.blocked.clear();
		s.conf.drop = s.conf.duplicate = 0;
		s.conf.jitter_ns = 0;
		s.conf.sync_ns = 200000;
		s.run(4 * kSecond);
		start_all();
		for (int i = 0; i < 30; i++) {
			add_missing_members();
			s.run(500 * kMs);
		}
		ASSERT_TRUE(
		    s.run_until([&] { return s.leader() != 0; }, 20 * kSecond));
		size_t before = s.history.size();
		EXPECT_EQ(STATUS_OK, s.propose(s.leader(), "last"));
		EXPECT_TRUE(
		    s.run_until([&] { return s.all_applied(); }, 20 * kSecond));
		EXPECT_GT(s.history.size(), before);
		EXPECT_EQ(0u, replaced_instance)
		    << "a repaired replica was not promoted";
	}
};

/*
 * Guards against a write-ahead log that restores another state than was
 * persisted: runs schedules with real files and compares them at each start.
 */
TEST(RaftSim, FilesMatchTheModelOfTheDisk)
{
	std::string dir =
	    std::filesystem::temp_directory_path() / "raft-XXXXXX";

	ASSERT_NE(nullptr, mkdtemp(dir.data()));
	for (uint64_t seed = 1; seed <= 12; seed++) {
		SimConf c;
		c.seed = seed;
		c.wal_dir = dir + "/" + std::to_string(seed);
		std::filesystem::create_directory(c.wal_dir);
		Schedule x(seed, c);
		x.run(45);
		for (auto &f : x.s.violations)
			ADD_FAILURE() << f << ", seed " << seed;
	}
	std::filesystem::remove_all(dir);
}

/*
 * Guards against two leaders in a term, committed entries that are lost or
 * altered, replicas that apply different entries, stale read barriers, and
 * groups that do not recover from random faults. RAFT_SEED=N runs the schedule
 * with that seed, RAFT_SCHEDULES=N sets the number of schedules.
 */
TEST(RaftSim, RandomSchedules)
{
	const char *only = getenv("RAFT_SEED");
	const char *many = getenv("RAFT_SCHEDULES");
	uint64_t first = only ? strtoull(only, NULL, 10) : 1;
	uint64_t n = many ? strtoull(many, NULL, 10) : only ? 1 : 500;
	uint64_t changes = 0, repairs = 0, barriers = 0;

	for (uint64_t seed = first; seed < first + n; seed++) {
		SimConf c;
		c.seed = seed;
		Schedule x(seed, c);
		x.run(45);
		for (auto &f : x.s.violations)
			ADD_FAILURE() << f;
		changes += x.s.history.size();
		repairs += x.repairs;
		barriers += x.s.barriers_ok;
		if (HasFailure()) {
			printf("seed %llu\n", (unsigned long long)seed);
			return;
		}
	}
	printf("schedules %llu\n", (unsigned long long)n);
	printf("figure changes %llu repairs %llu barriers %llu\n",
	    (unsigned long long)changes, (unsigned long long)repairs,
	    (unsigned long long)barriers);
}

/* Guards against entries that are lost or applied twice when all replicas
 * restart from snapshots and when followers that lag get one. */
TEST(RaftSim, RestartsOfAllFromSnapshots)
{
	const char *only = getenv("RAFT_SEED");
	const char *many = getenv("RAFT_SCHEDULES");
	uint64_t first = only ? strtoull(only, NULL, 10) : 1;
	uint64_t n = many ? strtoull(many, NULL, 10) : only ? 1 : 60;
	uint64_t restarts = 0, snapshots = 0, changes = 0;
	std::string dir =
	    std::filesystem::temp_directory_path() / "raft-XXXXXX";

	ASSERT_NE(nullptr, mkdtemp(dir.data()));
	for (uint64_t seed = first; seed < first + n && !HasFailure(); seed++) {
		SimConf c;
		c.seed = seed;
		c.snapshot_every = 3 + seed % 20;
		if (seed % 10 == 0) { /* with real files */
			c.wal_dir = dir + "/" + std::to_string(seed);
			std::filesystem::create_directory(c.wal_dir);
		}
		Schedule x(seed, c, true);
		x.run(45);
		for (auto &f : x.s.violations)
			ADD_FAILURE() << f << ", seed " << seed;
		restarts += x.restarts;
		snapshots += x.s.snapshots_received;
		changes += x.s.history.size();
		if (!c.wal_dir.empty())
			std::filesystem::remove_all(c.wal_dir);
	}
	std::filesystem::remove_all(dir);
	EXPECT_GT(restarts, 0U);
	EXPECT_GT(snapshots, 0U);
	printf("figure schedules %llu changes %llu restarts of all %llu "
	       "snapshots received %llu\n",
	    (unsigned long long)n, (unsigned long long)changes,
	    (unsigned long long)restarts, (unsigned long long)snapshots);
}

/* Guards against elections that nobody wins while the disks are slow: each
 * retry raised the term before the votes of the last one were on disk. */
TEST(RaftSim, SlowDisksElectALeader)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		SimConf c;
		c.seed = seed;
		c.sync_ns = 700 * kMs;
		RaftSim s(c);
		s.add_group(3);
		ASSERT_TRUE(
		    s.run_until([&] { return s.leader() != 0; }, 15 * kSecond))
		    << "seed " << seed;
		uint32_t first = s.leader();
		s.isolate(first, true, true);
		EXPECT_TRUE(s.run_until(
		    [&] { return s.leader() != 0 && s.leader() != first; },
		    20 * kSecond))
		    << "seed " << seed;
		EXPECT_TRUE(s.violations.empty()) << s.violations[0];
	}
}

/* Guards against retries that are put off for slow disks although only messages
 * were lost: it took up to 12 s until a leader was replaced. */
TEST(RaftSim, LostMessagesDelayNoElectionForLong)
{
	for (uint64_t seed = 1; seed <= 300; seed++) {
		SimConf c;
		c.seed = seed;
		c.drop = 0.2;
		RaftSim s(c);
		s.add_group(3);
		ASSERT_TRUE(
		    s.run_until([&] { return s.leader() != 0; }, 15 * kSecond))
		    << "seed " << seed;
		uint32_t first = s.leader();
		s.crash(first, 0);
		EXPECT_TRUE(s.run_until(
		    [&] { return s.leader() != 0 && s.leader() != first; },
		    6 * kSecond))
		    << "seed " << seed;
		EXPECT_TRUE(s.violations.empty()) << s.violations[0];
	}
}
