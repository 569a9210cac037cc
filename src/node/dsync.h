/*
 * Writes the log of a replica in a separate thread, so that a slow or stalled
 * disk delays nothing else. Items are written in order; all that are queued
 * when the thread becomes free share one sync. A sync that takes longer than
 * DSYNC_SLOW_MS is logged.
 */
#ifndef NODE_DSYNC_H
#define NODE_DSYNC_H

#include <tevent.h>

#include "control/wal.h"

__BEGIN_DECLS

/* Ten times what a sync takes on the disks of the reference deployments. */
#define DSYNC_SLOW_MS 100

struct dsync;

struct dsync_conf {
	struct wal *wal; /* only the thread may use it from now on */
	/* Items are queued by dsync_submit only, so that those of several
	 * messages share a sync also if the disk is idle. */
	bool submits;
	/* The caller keeps the data of a snapshot, which may be large, until
	 * on_saved is called or the thread has been stopped. */
	bool keeps_snapshots;
	/* Everything up to the PERSIST action with this sequence number is on
	 * disk. */
	void (*on_synced)(void *arg, uint64_t seq);
	/* The snapshot with this index is on disk. */
	void (*on_saved)(void *arg, uint64_t index);
	/* The disk has failed; nothing more will be written. */
	void (*on_failed)(void *arg, const struct err *);
	void *arg;
};

struct dsync *dsync_new(TALLOC_CTX *, struct tevent_context *,
    const struct dsync_conf *, struct err *);
/* Both copy their arguments, unless keeps_snapshots is set: then the data of a
 * snapshot isn't copied. */
void dsync_persist(struct dsync *, const struct raft_act *);
void dsync_snapshot(struct dsync *, const struct wal_snapshot *, bool received);
/* Queues what was held back since the last call; for conf.submits. */
void dsync_submit(struct dsync *);

__END_DECLS

#endif
