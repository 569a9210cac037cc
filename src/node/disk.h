/*
 * The data directory of a replica, for the control thread: the log and the
 * newest configuration version that this instance has seen.
 */
#ifndef NODE_DISK_H
#define NODE_DISK_H

#include "base/err.h"
#include "control/cell.h"

__BEGIN_DECLS

struct disk;
struct wal_io;

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
/* Writes a PERSIST action; durable after disk_sync. */
enum status disk_persist(struct disk *, const struct raft_act *, struct err *);
/* Makes everything written durable. */
enum status disk_sync(struct disk *, struct err *);
/* Writes and syncs a SAVE_SNAPSHOT action. */
enum status disk_snapshot(struct disk *, const struct cell_act *, struct err *);
/* Returns whether a snapshot has been saved since the last call; sets its
 * index. */
bool disk_take_saved_index(struct disk *, uint64_t *index);
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
