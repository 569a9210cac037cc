#include <gtest/gtest.h>

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include <unistd.h>

#include "base/crc.h"
#include "control/wal.h"

namespace fs = std::filesystem;

/* System calls that fail after a while. */
struct Injected {
	int64_t bytes = INT64_MAX; /* accepted before the disk is full */
	int syncs = INT32_MAX;	   /* that succeed */
};

static ssize_t
injected_write(void *arg, int fd, const void *p, size_t len)
{
	Injected *i = (Injected *)arg;
	if (i->bytes <= 0) {
		errno = ENOSPC;
		return -1;
	}
	if ((int64_t)len > i->bytes)
		len = (size_t)i->bytes;
	i->bytes -= (int64_t)len;
	return write(fd, p, len);
}

static int
injected_sync(void *arg, int fd)
{
	Injected *i = (Injected *)arg;
	if (i->syncs-- <= 0) {
		errno = EIO;
		return -1;
	}
	(void)fd; /* these tests cannot observe a real sync */
	return 0;
}

class Wal : public ::testing::Test {
      protected:
	fs::path root;
	struct err e = {};
	struct wal *w = nullptr;
	Injected inject;
	struct wal_io io = { injected_write, injected_sync, &inject };

	void SetUp() override
	{
		std::string t = fs::temp_directory_path() / "wal-XXXXXX";
		ASSERT_NE(nullptr, mkdtemp(t.data()));
		root = t;
		struct wal_init in = {};
		in.instance = 7;
		in.domain = str_from("zone-a");
		ASSERT_EQ(STATUS_OK, wal_init_dir(dir("d").c_str(), &in, &e))
		    << e.msg;
	}

	void TearDown() override
	{
		talloc_free(w);
		fs::remove_all(root);
	}

	std::string dir(const std::string &name) const
	{
		return root / name;
	}

	bool open(const std::string &name = "d")
	{
		talloc_free(w);
		err_clear(&e);
		w = wal_open(NULL, dir(name).c_str(), &io, &e);
		return w != nullptr;
	}

	static std::string data(uint64_t index)
	{
		return std::string(index * 7 % 40, 'a') + std::to_string(index);
	}

	enum status append(uint64_t from, uint64_t to, uint64_t term)
	{
		for (uint64_t i = from; i <= to; i++) {
			std::string d = data(i);
			struct raft_entry en = { i, term,
				CONTROL__ENTRY_KIND__ENTRY_DATA,
				str_mem(d.data(), d.size()) };
			enum status st = wal_append(w, &en, 1, &e);
			if (st != STATUS_OK)
				return st;
		}
		return wal_sync(w, &e);
	}

	enum status snapshot(uint64_t index, uint64_t term, bool received)
	{
		struct raft_member m = { 5, 7, true, str_from("z") };
		struct wal_snapshot s = { index, term, &m, 1,
			str_from("state") };
		return wal_snapshot_save(w, &s, received, &e);
	}

	/* Returns the last index; checks the data of every entry. */
	uint64_t last()
	{
		struct raft_initial_state c = {};
		wal_initial_state(w, &c);
		for (size_t i = 0; i < c.nentries; i++) {
			std::string d = data(c.entries[i].index);
			EXPECT_EQ(c.snap_index + 1 + i, c.entries[i].index);
			EXPECT_TRUE(
			    str_eq(c.entries[i].data, str_from(d.c_str())));
		}
		return c.snap_index + c.nentries;
	}

	/* Returns the path of the newest log segment. */
	std::string segment(const std::string &name = "d")
	{
		std::string best;
		for (auto &f : fs::directory_iterator(dir(name))) {
			std::string n = f.path();
			if (f.path().filename().string().rfind("log-", 0) == 0)
				best = std::max(best, n);
		}
		return best;
	}
};

/* Guards against a checksum that is not the standard CRC-32C. */
TEST(Crc, MatchesPublishedVectors)
{
	unsigned char zero[32] = {};
	EXPECT_EQ(0xe3069283u, crc32c(0, "123456789", 9));
	EXPECT_EQ(0x8a9136aau, crc32c(0, zero, 32));
	EXPECT_EQ(crc32c(0, "123456789", 9),
	    crc32c(crc32c(0, "1234", 4), "56789", 5));
}

/* Guards against losing entries, terms, votes or identity in a restart. */
TEST_F(Wal, KeepsStateOverRestart)
{
	ASSERT_TRUE(open()) << e.msg;
	uint64_t id = wal_replica(w);
	EXPECT_NE(0u, id);
	EXPECT_EQ(1u, wal_generation(w));
	ASSERT_EQ(STATUS_OK, wal_hard_state(w, 3, 9, &e));
	ASSERT_EQ(STATUS_OK, append(1, 20, 3));
	ASSERT_EQ(STATUS_OK, wal_truncate(w, 15, &e));
	ASSERT_EQ(STATUS_OK, append(15, 30, 4));
	ASSERT_TRUE(open()) << e.msg;
	struct raft_initial_state c = {};
	wal_initial_state(w, &c);
	EXPECT_EQ(id, c.replica);
	EXPECT_EQ(2u, wal_generation(w));
	EXPECT_EQ(3u, c.term);
	EXPECT_EQ(9u, c.voted_for);
	EXPECT_EQ(30u, last());
	EXPECT_EQ(3u, c.entries[13].term);
	EXPECT_EQ(4u, c.entries[14].term);
	ASSERT_EQ(1u, c.nmembers);
	EXPECT_EQ(id, c.members[0].replica);
	EXPECT_EQ(7u, c.members[0].instance);
}

/* Guards against bytes that a failed sync left in the page cache only and that
 * are taken for durable when the directory is opened again. */
TEST_F(Wal, UnsyncedBytesAreTruncatedAfterAFailedSync)
{
	ASSERT_TRUE(open()) << e.msg;
	ASSERT_EQ(STATUS_OK, append(1, 20, 3));
	inject.syncs = 0;
	EXPECT_EQ(STATUS_IO, append(21, 30, 3));
	EXPECT_NE(STATUS_OK, wal_sync(w, &e)); /* the failure is final */
	ASSERT_EQ(STATUS_OK, wal_truncate_unsynced(w, &e)) << e.msg;
	inject.syncs = INT32_MAX;
	ASSERT_TRUE(open()) << e.msg;
	EXPECT_EQ(20u, last());
	ASSERT_EQ(STATUS_OK, append(21, 25, 4));
	ASSERT_TRUE(open()) << e.msg;
	EXPECT_EQ(25u, last());
}

/* Guards against initialising a directory twice, two processes that use one
 * directory, and a joining replica that starts as a member. */
TEST_F(Wal, IdentityIsCreatedOnceAndUsedByOneProcess)
{
	struct wal_init in = {};
	in.join = true;
	in.instance = 7;
	EXPECT_EQ(STATUS_EXISTS, wal_init_dir(dir("d").c_str(), &in, &e));
	ASSERT_EQ(STATUS_OK, wal_init_dir(dir("j").c_str(), &in, &e));
	ASSERT_TRUE(open());
	uint64_t id = wal_replica(w);
	EXPECT_EQ(nullptr, wal_open(NULL, dir("d").c_str(), NULL, &e));
	EXPECT_EQ(STATUS_EXISTS, e.status);
	ASSERT_TRUE(open("j"));
	struct raft_initial_state c = {};
	wal_initial_state(w, &c);
	EXPECT_EQ(0u, c.nmembers);
	EXPECT_NE(id, c.replica);
	EXPECT_FALSE(open("none"));
	EXPECT_EQ(STATUS_NOT_FOUND, e.status);
}

/* Guards against reading a torn record, or refusing to start, after a crash
 * during a write, at every length the file can have. */
TEST_F(Wal, TruncatesTornTailAtEveryOffset)
{
	ASSERT_TRUE(open());
	std::vector<uintmax_t> ends = { fs::file_size(segment()) };
	for (uint64_t i = 1; i <= 8; i++) {
		ASSERT_EQ(STATUS_OK, append(i, i, 1));
		ends.push_back(fs::file_size(segment()));
	}
	talloc_free(w);
	w = nullptr;
	for (uintmax_t len = ends[0]; len <= ends.back(); len++) {
		fs::remove_all(root / "c");
		fs::copy(root / "d", root / "c");
		fs::resize_file(segment("c"), len);
		ASSERT_TRUE(open("c")) << len << " " << e.msg;
		uint64_t want = 0;
		while (want < 8 && ends[want + 1] <= len)
			want++;
		EXPECT_EQ(want, last()) << len;
		ASSERT_EQ(STATUS_OK, append(want + 1, want + 2, 1)) << len;
		ASSERT_TRUE(open("c")) << len << " " << e.msg;
		EXPECT_EQ(want + 2, last()) << len;
	}
}

/* Guards against starting with a log that is damaged before its tail. */
TEST_F(Wal, RefusesFlippedBitsInTheMiddle)
{
	ASSERT_TRUE(open());
	ASSERT_EQ(STATUS_OK, append(1, 6, 1));
	uintmax_t middle = fs::file_size(segment());
	ASSERT_EQ(STATUS_OK, append(7, 7, 1));
	talloc_free(w);
	w = nullptr;
	for (uintmax_t off = 0; off < middle; off++) {
		fs::remove_all(root / "c");
		fs::copy(root / "d", root / "c");
		std::fstream f(segment("c"),
		    std::ios::in | std::ios::out | std::ios::binary);
		f.seekg((long)off);
		char b = (char)f.get();
		f.seekp((long)off);
		f.put((char)(b ^ (1 << off % 8)));
		f.close();
		EXPECT_FALSE(open("c")) << off;
		EXPECT_EQ(STATUS_CORRUPT, e.status) << off;
	}
	for (const char *name : { "replica", "snapshot" }) {
		fs::remove_all(root / "c");
		fs::copy(root / "d", root / "c");
		std::fstream f(root / "c" / name, std::ios::in | std::ios::out);
		f.seekg(25);
		char b = (char)f.get();
		f.seekp(25);
		f.put((char)(b ^ 0x55));
		f.close();
		EXPECT_FALSE(open("c")) << name;
		EXPECT_EQ(STATUS_CORRUPT, e.status) << name;
	}
}

/* Guards against refusing to start after a power failure in which each write
 * since the last sync was independently kept, lost or torn. */
TEST_F(Wal, TruncatesDamageInUnsyncedTail)
{
	ASSERT_TRUE(open());
	ASSERT_EQ(STATUS_OK, append(1, 4, 1));
	uintmax_t synced = fs::file_size(segment());
	ASSERT_EQ(STATUS_OK, append(5, 7, 1));
	uintmax_t all = fs::file_size(segment());
	talloc_free(w);
	w = nullptr;
	for (uintmax_t off = synced; off < all; off++) {
		fs::remove_all(root / "c");
		fs::copy(root / "d", root / "c");
		std::fstream f(segment("c"),
		    std::ios::in | std::ios::out | std::ios::binary);
		f.seekp((long)off);
		f.put('\0');
		f.put('\0');
		f.close();
		ASSERT_TRUE(open("c")) << off << " " << e.msg;
		EXPECT_GE(last(), 4U) << off;
	}
}

/* Guards against reporting an entry as durable although the disk was full, at
 * every point where it can fill up, and against writing on after that. */
TEST_F(Wal, FullDiskIsFinalAndLosesNothingSynced)
{
	for (int64_t room = 0; room < 400; room += 7) {
		fs::remove_all(root / "c");
		fs::copy(root / "d", root / "c");
		inject = Injected();
		ASSERT_TRUE(open("c"));
		ASSERT_EQ(STATUS_OK, append(1, 3, 1));
		inject.bytes = room;
		uint64_t ok = 3;
		while (append(ok + 1, ok + 1, 1) == STATUS_OK)
			ok++;
		EXPECT_EQ(STATUS_FULL, e.status);
		inject.bytes = INT64_MAX;
		EXPECT_EQ(STATUS_FULL, wal_sync(w, &e));
		EXPECT_EQ(STATUS_FULL, wal_hard_state(w, 9, 9, &e));
		ASSERT_TRUE(open("c")) << e.msg;
		EXPECT_GE(last(), ok);
	}
}

/* Guards against writing on after a failed sync. */
TEST_F(Wal, FailedSyncIsFinal)
{
	ASSERT_TRUE(open());
	inject.syncs = 0;
	EXPECT_EQ(STATUS_IO, append(1, 1, 1));
	inject.syncs = INT32_MAX;
	EXPECT_EQ(STATUS_IO, wal_sync(w, &e));
	EXPECT_EQ(STATUS_IO, append(2, 2, 1));
	EXPECT_EQ(STATUS_IO, snapshot(1, 1, false));
}

/* Guards against losing entries, or keeping them forever, when a snapshot
 * replaces the start of the log and the process ends at any write. */
TEST_F(Wal, SnapshotsBoundTheLogAtAnyCrash)
{
	for (bool received : { false, true }) {
		bool failed = true;
		for (int64_t room = 0; failed; room += 3) {
			fs::remove_all(root / "c");
			fs::copy(root / "d", root / "c");
			inject = Injected();
			ASSERT_TRUE(open("c"));
			ASSERT_EQ(STATUS_OK, append(1, 40, 1));
			ASSERT_EQ(STATUS_OK, snapshot(10, 1, false));
			ASSERT_EQ(STATUS_OK, append(41, 50, 1));
			inject.bytes = room;
			/* A received snapshot has another term. */
			failed = snapshot(45, received ? 2 : 1, received) !=
			    STATUS_OK;
			inject.bytes = INT64_MAX;
			ASSERT_TRUE(open("c")) << room << " " << e.msg;
			struct raft_initial_state c = {};
			wal_initial_state(w, &c);
			uint64_t end = last();
			EXPECT_EQ(failed ? c.snap_index : 45u, c.snap_index);
			EXPECT_EQ(
			    received && c.snap_index == 45 ? 45u : 50u, end);
			EXPECT_TRUE(str_eq_c(c.snap_data, "state"));
			ASSERT_EQ(STATUS_OK, append(end + 1, end + 5, 2));
			ASSERT_TRUE(open("c")) << room << " " << e.msg;
			EXPECT_EQ(end + 5, last());
		}
		size_t files = 0;
		for (auto &f : fs::directory_iterator(dir("c")))
			files += f.path().extension() != ".tmp";
		EXPECT_LE(files, 5u);
	}
}

/* Guards against refusing to start after a segment began with the removal of
 * entries of the one before, which a snapshot has removed since. */
TEST_F(Wal, TruncationBelowTheFirstSegmentIsRead)
{
	ASSERT_TRUE(open());
	ASSERT_EQ(STATUS_OK, append(1, 25, 1));
	ASSERT_EQ(STATUS_OK, snapshot(7, 1, false));
	ASSERT_EQ(STATUS_OK, wal_truncate(w, 23, &e));
	ASSERT_EQ(STATUS_OK, append(23, 30, 2));
	ASSERT_EQ(STATUS_OK, snapshot(26, 2, false));
	ASSERT_TRUE(open()) << e.msg;
	struct raft_initial_state c = {};
	wal_initial_state(w, &c);
	EXPECT_EQ(26u, c.snap_index);
	EXPECT_EQ(30u, last());
	EXPECT_EQ(2u, c.entries[0].term);
}

/* Guards against entries lost between segments, and a missing segment that is
 * not noticed. */
TEST_F(Wal, RollsSegments)
{
	ASSERT_TRUE(open());
	std::string big(300 * 1024, 'x');
	for (uint64_t i = 1; i <= 40; i++) {
		struct raft_entry en = { i, 1, CONTROL__ENTRY_KIND__ENTRY_DATA,
			str_mem(big.data(), big.size()) };
		ASSERT_EQ(STATUS_OK, wal_append(w, &en, 1, &e));
		ASSERT_EQ(STATUS_OK, wal_sync(w, &e));
	}
	ASSERT_TRUE(open()) << e.msg;
	struct raft_initial_state c = {};
	wal_initial_state(w, &c);
	EXPECT_EQ(40u, c.nentries);
	std::string first = dir("d") + "/log-0000000000000002";
	ASSERT_TRUE(fs::exists(first));
	fs::remove(first);
	EXPECT_FALSE(open());
	EXPECT_EQ(STATUS_CORRUPT, e.status);
}

/* Guards against accepting a replica that runs on an older copy of its
 * directory and could vote again in the same term. */
TEST_F(Wal, PeerOnOlderCopyIsRefused)
{
	ASSERT_TRUE(open());
	EXPECT_EQ(STATUS_OK, wal_check_peer(w, 99, 4, 1000, &e));
	EXPECT_EQ(STATUS_OK, wal_check_peer(w, 99, 5, 1001, &e));
	EXPECT_EQ(STATUS_OK, wal_check_peer(w, 99, 5, 1001, &e));
	EXPECT_EQ(STATUS_STALE, wal_check_peer(w, 99, 4, 1002, &e));
	EXPECT_EQ(STATUS_STALE, wal_check_peer(w, 99, 5, 1002, &e));
	EXPECT_EQ(STATUS_STALE, wal_check_peer(w, wal_replica(w), 9, 1, &e));
	ASSERT_TRUE(open());
	EXPECT_EQ(STATUS_STALE, wal_check_peer(w, 99, 4, 1003, &e));
	EXPECT_EQ(STATUS_OK, wal_check_peer(w, 99, 6, 1004, &e));
}
