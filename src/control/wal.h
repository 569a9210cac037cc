/*
 * The write-ahead log and other files in the data directory of a replica: log
 * segments with entries and hard state (term and vote), the snapshot, and the
 * replica's identity. Calls block. After a failed write or sync every later
 * call fails, because it is unknown what reached the disk: the directory has
 * to be opened again.
 *
 * How the actions of raft are carried out:
 *   RAFT_ACT_PERSIST        wal_persist at once; wal_sync after a batch of
 *                           events, then one SYNCED with the last seq (this
 *                           is the group commit)
 *   RAFT_ACT_LOAD_SNAPSHOT  wal_snapshot_save with received set
 */
#ifndef CONTROL_WAL_H
#define CONTROL_WAL_H

#include "base/err.h"
#include "control/raft.h"

__BEGIN_DECLS

/* A sync starts a new segment above this size. */
#define WAL_SEGMENT_BYTES (4 * 1024 * 1024)

/* System calls that tests replace to inject failures. */
struct wal_io {
	ssize_t (*write)(void *arg, int fd, const void *, size_t);
	int (*sync)(void *arg, int fd);
	void *arg;
};

struct wal_init {
	bool join;	   /* no members: added to a group later */
	uint32_t instance; /* of the only member, without join */
	struct str domain;
	/* The founding members of a new group of several replicas, the same
	 * list on each of them; empty: a group of one, or join. */
	const struct raft_member *members;
	size_t nmembers;
};

struct wal_snapshot {
	uint64_t index, term;
	const struct raft_member *members;
	size_t nmembers;
	struct str data;
};

struct wal;

/* Initialises an empty or missing directory. */
enum status wal_init_dir(
    const char *dir, const struct wal_init *, struct err *);
/* Opens a directory, truncates a torn tail and raises the generation. io may be
 * NULL. STATUS_NOT_FOUND: not initialised; STATUS_EXISTS: in use. */
struct wal *wal_open(
    TALLOC_CTX *, const char *dir, const struct wal_io *, struct err *);
uint64_t wal_replica(const struct wal *);
uint64_t wal_generation(const struct wal *);
uint64_t wal_syncs(const struct wal *); /* of the log, since wal_open */
/* Fills all fields but seed; they are valid until wal_free_loaded. */
void wal_initial_state(const struct wal *, struct raft_initial_state *);
/* Removes what was written to the log since its last sync. To be called after
 * a failure, before the directory is opened again. */
enum status wal_truncate_unsynced(struct wal *, struct err *);
/* Frees the entries and the snapshot read by wal_open. */
void wal_free_loaded(struct wal *);
enum status wal_append(
    struct wal *, const struct raft_entry *, size_t n, struct err *);
enum status wal_hard_state(
    struct wal *, uint64_t term, uint64_t voted_for, struct err *);
/* Removes all entries from an index on. */
enum status wal_truncate(struct wal *, uint64_t from, struct err *);
enum status wal_sync(struct wal *, struct err *);
/* Writes all of a RAFT_ACT_PERSIST; wal_sync makes it durable. */
enum status wal_persist(struct wal *, const struct raft_act *, struct err *);
/* Saves a snapshot, durable on return, and removes the segments it covers, or
 * all if received. */
enum status wal_snapshot_save(
    struct wal *, const struct wal_snapshot *, bool received, struct err *);
/* Reads the snapshot on disk; memory is owned by ctx. */
enum status wal_snapshot_load(
    struct wal *, TALLOC_CTX *ctx, struct wal_snapshot *, struct err *);
/* To be called for each HELLO of a replica: STATUS_STALE if it runs on an older
 * copy of its directory. Saves the newest generation seen; after any other
 * error the caller must write no more. One thread may call it while another one
 * writes the log. */
enum status wal_check_peer(struct wal *, uint64_t replica, uint64_t generation,
    uint64_t incarnation, struct err *);

__END_DECLS

#endif
