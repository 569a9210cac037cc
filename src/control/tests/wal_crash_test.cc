#include <gtest/gtest.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

#include <sys/stat.h>
#include <unistd.h>

#include "base/rng.h"
#include "control/wal.h"

/* Random operations on a data directory with a copy of it taken at random
 * system calls, as a crash or a power failure there would leave it. */

namespace fs = std::filesystem;

namespace {

const int kOps = 90;

struct Entry {
	uint64_t term;
	std::string data;
	bool operator==(const Entry &o) const
	{
		return term == o.term && data == o.data;
	}
};

/* What the directory holds for raft. */
struct Content {
	uint64_t term = 0, vote = 0, snap_index = 0, snap_term = 0;
	std::vector<Entry> log; /* from snap_index + 1 */
	bool operator==(const Content &o) const
	{
		return term == o.term && vote == o.vote &&
		    snap_index == o.snap_index && snap_term == o.snap_term &&
		    log == o.log;
	}
	uint64_t last() const
	{
		return snap_index + log.size();
	}
	uint64_t term_at(uint64_t i) const
	{
		return i == snap_index ? snap_term
				       : log[i - snap_index - 1].term;
	}
};

/* Copies are read once; syncing them would only take time. */
const struct wal_io image_io = { [](void *, int fd, const void *p, size_t len) {
					return write(fd, p, len);
				},
	[](void *, int) { return 0; }, nullptr };

/* How much of the bytes that were not synced a crash keeps. */
enum class Keep {
	ALL,
	NONE,
	SOME
};

class Crashes {
      public:
	Crashes(uint64_t s, const fs::path &dir, bool large_entries)
	    : seed(s), root(dir), large(large_entries)
	{
		struct wal_init in = {};
		struct err e = {};

		rng_init(&r, s);
		in.instance = 7;
		in.domain = str_from("zone");
		EXPECT_EQ(
		    STATUS_OK, wal_init_dir((root / "d").c_str(), &in, &e))
		    << e.msg;
		states.push_back(Content());
	}

	~Crashes()
	{
		talloc_free(w);
	}

	uint64_t images = 0, failures = 0, snapshots = 0, received = 0;

	void run()
	{
		reopen();
		for (int i = 0; i < kOps && !::testing::Test::HasFailure(); i++)
			do_operation();
	}

      private:
	uint64_t seed;
	struct rng r;
	fs::path root;
	bool large;
	struct wal *w = nullptr;
	/* Contents after each operation since the last sync. */
	std::vector<Content> states;
	size_t synced = 0; /* the newest of them that is on disk for sure */
	uint64_t commit = 0, written = 0;
	std::map<ino_t, int64_t> synced_bytes;
	int calls_until_failure = -1; /* of write and sync; negative: none */

	uint64_t below(uint64_t n)
	{
		return rng_below(&r, n);
	}

	bool chance(double p)
	{
		return rng_chance(&r, p);
	}

	static ssize_t on_write(void *arg, int fd, const void *p, size_t len)
	{
		Crashes *c = (Crashes *)arg;
		struct stat sb;

		fstat(fd, &sb);
		if (sb.st_size == 0)
			c->synced_bytes[sb.st_ino] = 0;
		c->maybe_crash();
		if (c->fails()) {
			/* Part of it may have been written. */
			if (len > 1)
				(void)!write(fd, p, c->below(len));
			errno = ENOSPC;
			return -1;
		}
		return write(fd, p, len);
	}

	static int on_sync(void *arg, int fd)
	{
		Crashes *c = (Crashes *)arg;
		struct stat sb;

		c->maybe_crash();
		if (c->fails()) {
			errno = EIO;
			return -1;
		}
		fstat(fd, &sb);
		if (S_ISREG(sb.st_mode))
			c->synced_bytes[sb.st_ino] = sb.st_size;
		c->maybe_crash();
		return 0;
	}

	bool fails()
	{
		return calls_until_failure >= 0 && calls_until_failure-- == 0;
	}

	void maybe_crash()
	{
		if (w == nullptr || !chance(large ? 0.05 : 0.15))
			return;
		for (Keep k : { Keep::ALL, Keep::NONE, Keep::SOME })
			check_image(k);
		images++;
	}

	/* Opens a copy of the directory as it is after a crash now. */
	void check_image(Keep k)
	{
		struct err e = {};

		fs::remove_all(root / "c");
		fs::copy(root / "d", root / "c");
		for (auto &f : fs::directory_iterator(root / "d")) {
			struct stat sb;
			stat(f.path().c_str(), &sb);
			int64_t kept = synced_bytes[sb.st_ino];
			if (k == Keep::ALL || kept >= sb.st_size)
				continue;
			if (k == Keep::SOME)
				kept += (int64_t)below(sb.st_size - kept + 1);
			fs::resize_file(root / "c" / f.path().filename(), kept);
		}
		struct wal *x =
		    wal_open(NULL, (root / "c").c_str(), &image_io, &e);
		ASSERT_NE(nullptr, x) << e.msg << ", seed " << seed;
		find(content(x));
		talloc_free(x);
	}

	static Content content(const struct wal *x)
	{
		struct raft_initial_state c = {};
		Content v;

		wal_initial_state(x, &c);
		v.term = c.term;
		v.vote = c.voted_for;
		v.snap_index = c.snap_index;
		v.snap_term = c.snap_term;
		for (size_t i = 0; i < c.nentries; i++) {
			EXPECT_EQ(c.snap_index + 1 + i, c.entries[i].index);
			v.log.push_back({ c.entries[i].term,
			    std::string(
				c.entries[i].data.p, c.entries[i].data.len) });
		}
		if (c.snap_index > 0) {
			EXPECT_TRUE(str_eq_c(
			    c.snap_data, std::to_string(c.snap_index).c_str()));
		}
		return v;
	}

	/* Returns which of the possible contents this is. */
	size_t find(const Content &v)
	{
		for (size_t i = synced; i < states.size(); i++) {
			if (states[i] == v)
				return i;
		}
		ADD_FAILURE() << "seed " << seed << ": snapshot "
			      << v.snap_index << ", last entry " << v.last()
			      << ", synced were " << states[synced].snap_index
			      << " and " << states[synced].last();
		return synced;
	}

	/* Opens the directory, as the same content or what a failed disk has
	 * kept. */
	void reopen()
	{
		struct wal_io io = { on_write, on_sync, this };
		struct err e = {};

		talloc_free(w);
		w = nullptr;
		calls_until_failure = -1;
		for (auto &f : fs::directory_iterator(root / "d")) {
			struct stat sb;
			stat(f.path().c_str(), &sb);
			synced_bytes[sb.st_ino] = sb.st_size;
		}
		w = wal_open(NULL, (root / "d").c_str(), &io, &e);
		ASSERT_NE(nullptr, w) << e.msg << ", seed " << seed;
		Content v = states[find(content(w))];
		wal_free_loaded(w);
		states = { v };
		synced = 0;
		ASSERT_LE(commit, v.last()) << "seed " << seed;
		/* A received snapshot may be on disk although saving failed. */
		commit = std::max(commit, v.snap_index);
	}

	void on_failure()
	{
		struct err e = {};

		calls_until_failure = -1;
		failures++;
		ASSERT_EQ(STATUS_OK, wal_truncate_unsynced(w, &e)) << e.msg;
		reopen();
	}

	/* Does one operation. A content is listed as possible before the call
	 * that makes it. */
	void do_operation()
	{
		struct err e = {};
		uint64_t k = below(100);
		enum status st = STATUS_OK;

		if (chance(0.02))
			calls_until_failure = (int)below(8);
		states.push_back(states.back());
		Content &c = states.back();
		if (k < 55) {
			st = append(c);
		} else if (k < 63) {
			c.term++;
			c.vote = below(4);
			st = wal_hard_state(w, c.term, c.vote, &e);
		} else if (k < 68) {
			st = truncate(c);
		} else if (k < 86) {
			st = sync();
		} else if (k < 93) {
			st = save(c);
		} else if (k < 97) {
			st = save_received(c);
		} else {
			states.pop_back();
			if (sync() == STATUS_OK)
				reopen();
			else
				on_failure();
			return;
		}
		if (st != STATUS_OK)
			on_failure();
	}

	enum status append(Content &c)
	{
		struct err e = {};
		std::string d = std::to_string(++written);

		d.resize(large ? 1 + below(900000) : 1 + below(300), 'x');
		c.log.push_back({ c.term, d });
		struct raft_entry en = { c.last(), c.term,
			CONTROL__ENTRY_KIND__ENTRY_DATA,
			str_mem(d.data(), d.size()) };
		return wal_append(w, &en, 1, &e);
	}

	enum status truncate(Content &c)
	{
		struct err e = {};
		uint64_t from = commit + 1 + below(c.last() - commit + 1);

		if (from <= c.last())
			c.log.resize(from - c.snap_index - 1);
		return wal_truncate(w, from, &e);
	}

	/* Entries are committed only once they are on disk here. */
	enum status sync()
	{
		struct err e = {};
		enum status st = wal_sync(w, &e);

		if (st != STATUS_OK)
			return st;
		synced = states.size() - 1;
		commit += below(states.back().last() - commit + 1);
		return st;
	}

	enum status write_snapshot(const Content &c, bool from_leader)
	{
		std::string data = std::to_string(c.snap_index);
		struct raft_member m = { 5, 7, true, str_from("zone") };
		struct wal_snapshot s = { c.snap_index, c.snap_term, &m, 1,
			str_mem(data.data(), data.size()) };
		struct err e = {};
		enum status st = wal_snapshot_save(w, &s, from_leader, &e);

		if (st == STATUS_OK)
			synced = states.size() - 1;
		return st;
	}

	enum status save(Content &c)
	{
		if (commit <= c.snap_index)
			return STATUS_OK;
		uint64_t n = 1 + below(commit - c.snap_index);
		c.snap_term = c.term_at(c.snap_index + n);
		c.snap_index += n;
		c.log.erase(c.log.begin(), c.log.begin() + (long)n);
		snapshots++;
		return write_snapshot(c, false);
	}

	/* Raft loads no snapshot that its log agrees with. */
	enum status save_received(Content &c)
	{
		c.snap_index = commit + 1 + below(20);
		c.snap_term = c.term + 1;
		c.log.clear();
		received++;
		enum status st = write_snapshot(c, true);
		if (st == STATUS_OK)
			commit = c.snap_index;
		return st;
	}
};

/* Guards against synced data that is lost, and a directory that can't be
 * opened, after a crash. WAL_SEED=N plays that seed, WAL_SEEDS=N so many. */
TEST(WalCrash, WhatWasSyncedIsKept)
{
	const char *only = getenv("WAL_SEED");
	const char *many = getenv("WAL_SEEDS");
	uint64_t first = only ? strtoull(only, NULL, 10) : 1;
	uint64_t n = many ? strtoull(many, NULL, 10) : only ? 1 : 15;
	uint64_t images = 0, failures = 0, snapshots = 0, received = 0;
	std::string t = fs::temp_directory_path() / "wal-XXXXXX";

	ASSERT_NE(nullptr, mkdtemp(t.data()));
	for (uint64_t seed = first; seed < first + n && !HasFailure(); seed++) {
		fs::path dir = fs::path(t) / std::to_string(seed);
		fs::create_directory(dir);
		{
			Crashes x(seed, dir, seed % 10 == 0);
			x.run();
			images += x.images;
			failures += x.failures;
			snapshots += x.snapshots;
			received += x.received;
		}
		fs::remove_all(dir);
	}
	fs::remove_all(t);
	EXPECT_GT(images, 0U);
	printf("figure seeds %llu crashes %llu disk failures %llu snapshots "
	       "%llu received %llu\n",
	    (unsigned long long)n, (unsigned long long)images,
	    (unsigned long long)failures, (unsigned long long)snapshots,
	    (unsigned long long)received);
}

} // namespace
