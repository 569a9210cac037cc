/*
 * The data directory of a replica, for the control thread: the log and the
 * newest configuration version that this instance has seen. The log is written
 * by a thread of its own: a sync takes seconds while other processes fill the
 * same disk, and the control thread has to answer the other instances within
 * PEER_ANSWER_TIMEOUT_MS.
 */
#ifndef NODE_DISK_H
#define NODE_DISK_H

#include <tevent.h>

#include "base/err.h"
#include "control/cell.h"

__BEGIN_DECLS

struct disk;
struct wal_io;

/* Called from the event loop. */
struct disk_results {
	/* Everything up to the PERSIST action with this number is on disk. */
	void (*on_synced)(void *arg, uint64_t seq);
	/* The snapshot with this index is on disk. */
	void (*on_saved)(void *arg, uint64_t index);
	/* The disk has failed; nothing more will be written. */
	void (*on_failed)(void *arg, const struct err *);
	void *arg;
};

/* Initialises an empty directory for the first replica of a new group. */
enum status disk_init(
    struct str dir, uint32_t instance, struct str domain, struct err *);
/* Opens a directory and fills the state read from it; a missing or empty one is
 * initialised for a replica that joins the group. A NULL io is the system's. */
struct disk *disk_open(TALLOC_CTX *, struct str dir, const struct wal_io *io,
    struct cell_conf *, struct err *);
/* Releases the state filled in by disk_open. */
void disk_release_loaded(struct disk *);
/* Returns the id of the replica. */
uint64_t disk_replica(const struct disk *);
/* Returns how often the directory has been opened. */
uint64_t disk_generation(const struct disk *);
/* Starts the thread that writes; to be called before anything is written. */
enum status disk_start(struct disk *, struct tevent_context *,
    const struct disk_results *, struct err *);
/* Writes a PERSIST action after the next disk_submit. */
enum status disk_persist(struct disk *, const struct raft_act *, struct err *);
/* Writes a SAVE_SNAPSHOT action after the next disk_submit. */
enum status disk_snapshot(struct disk *, const struct cell_act *, struct err *);
/* Has the thread write and sync what was passed since the last call. */
void disk_submit(struct disk *);
/* Returns whether a replica that introduces itself may be accepted; false if it
 * runs on an older copy of its data directory. */
bool disk_accepts_peer(
    struct disk *, uint64_t replica, uint64_t generation, uint64_t incarnation);
/* Returns the newest version recorded. The instance accepts no older one, also
 * after a restart. */
uint64_t disk_config_version(const struct disk *);
/* Records a version if it is newer. */
void disk_record_config_version(struct disk *, uint64_t version);

__END_DECLS

#endif
