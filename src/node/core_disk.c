#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "node/core_impl.h"
#include "node/nctr.h"

/* The disk of the replicated log: opened at the start, written by a separate
 * thread, closed when it fails and reopened once it answers again. */

/*
 * Takes this replica out of the group's work. Without a disk it must not vote,
 * acknowledge or lead. Heartbeats, operators and calls to workers need no disk:
 * these go on.
 */
void
core_disk_failed(struct core *c, const struct err *e)
{
	struct timespec now = mesh_now(c->mesh);

	ctr_add(&c->nctr, NCTR_DISK_FAILED, 1);
	if (c->disk_failed)
		return;
	if (c->disk_backoff_ms == 0 ||
	    clk_diff_ms(now, c->disk_changed_at) > CORE_DISK_STABLE_MS)
		c->disk_backoff_ms = CORE_DISK_RETRY_MS;
	log_event(LOG_CRIT, "core",
	    "event=disk_failed leading=%d index=%" PRIu64 " retry_ms=%" PRId64
	    " error=\"%s\"",
	    c->leading, c->applied, c->disk_backoff_ms, e->msg);
	c->disk_failed = true;
	c->disk_changed_at = now;
	c->disk_retry_at = clk_add_ms(now, c->disk_backoff_ms);
	c->role = RAFT_FOLLOWER;
	c->leader = 0;
	core_stop_leading(c);
}

/* Tells raft that a snapshot is on disk: the log up to it may be dropped, or
 * continues after it if it came from the leader. */
static void
on_snapshot_saved(void *arg, uint64_t index)
{
	struct core *c = arg;
	struct raft_ev ev = { .kind = RAFT_EV_SNAPSHOT_TAKEN };

	if (c->disk_failed || index != c->snapshot_index ||
	    (!c->saving_snapshot && !c->loading_snapshot))
		return;
	if (c->loading_snapshot)
		ev.kind = RAFT_EV_SNAPSHOT_LOADED;
	c->saving_snapshot = c->loading_snapshot = false;
	ev.u.snapshot.index = index;
	ev.u.snapshot.term = c->snapshot_term;
	ev.u.snapshot.data = c->snapshot_data;
	ev.u.snapshot.is_given = true;
	c->snapshot_data = str_mem(NULL, 0);
	core_step(c, &ev);
	core_flush_later(c);
}

/* Tells raft that the entries up to a sequence number are on disk. */
static void
on_synced(void *arg, uint64_t seq)
{
	struct core *c = arg;
	struct raft_ev ev = { .kind = RAFT_EV_SYNCED };

	ctr_add(&c->nctr, NCTR_DISK_SYNCS, 1);
	ev.u.synced = seq;
	core_step(c, &ev);
	core_flush_later(c);
}

/* Handles an error of the disk thread. */
static void
on_disk_failed(void *arg, const struct err *e)
{
	core_disk_failed(arg, e);
}

/* Loads the state of the scheduler and of raft from an opened log. */
static enum status
load_log_state(struct core *c, struct err *e)
{
	struct raft_initial_state rc;
	struct clk clk = clk_system();

	memset(&rc, 0, sizeof(rc));
	wal_initial_state(c->wal, &rc);
	rc.seed = wal_replica(c->wal) ^ wal_generation(c->wal);
	rc.voters_needed = core_voters_needed(c);
	if (rc.snap_data.len > 0 &&
	    jst_unpack(&c->st, rc.snap_data, e) != STATUS_OK)
		return e->status;
	c->applied = c->snapshot_index = rc.snap_index;
	c->applied_term = rc.snap_term;
	c->raft = raft_new(c, &rc, clk_now(&clk));
	c->members = raft_members_copy(c, rc.members, rc.nmembers);
	c->nmembers = rc.nmembers;
	wal_free_loaded(c->wal);
	c->replica = wal_replica(c->wal);
	c->generation = wal_generation(c->wal);
	return STATUS_OK;
}

/* Opens the data directory and starts raft and the disk thread; an empty
 * directory is initialised from in. */
static enum status
open_log(struct core *c, struct wal_init *in, struct err *e)
{
	char *dir = str_cstr(c, c->inst->data);
	struct dsync_conf dc;

	c->wal = wal_open(c, dir, NULL, e);
	if (c->wal == NULL && e->status == STATUS_NOT_FOUND) {
		err_clear(e);
		if (wal_init_dir(dir, in, e) == STATUS_OK)
			c->wal = wal_open(c, dir, NULL, e);
	}
	talloc_free(dir);
	if (c->wal == NULL)
		return e->status;
	if (load_log_state(c, e) != STATUS_OK)
		return e->status;
	memset(&dc, 0, sizeof(dc));
	dc.wal = c->wal;
	dc.keeps_snapshots = true;
	dc.on_synced = on_synced;
	dc.on_saved = on_snapshot_saved;
	dc.on_failed = on_disk_failed;
	dc.arg = c;
	c->dsync = dsync_new(c, c->ev, &dc, e);
	return c->dsync == NULL ? e->status : STATUS_OK;
}

/* Releases what open_log has made; it may have failed half-way. */
static void
close_log(struct core *c)
{
	TALLOC_FREE(c->dsync);
	TALLOC_FREE(c->raft);
	TALLOC_FREE(c->wal);
	talloc_free(c->members);
	c->members = NULL;
	c->nmembers = 0;
	talloc_free((void *)(uintptr_t)c->snapshot_data.p);
	c->snapshot_data = str_mem(NULL, 0);
	c->saving_snapshot = c->loading_snapshot = c->confirming =
	    c->propose_blocked = false;
	c->applied = c->applied_term = c->term = 0;
	jst_finish(&c->st);
	jst_init(&c->st);
}

/* Tells whether a failure may pass: the disk is full, or answers with
 * errors. */
static bool
is_transient(enum status st)
{
	return st == STATUS_IO || st == STATUS_FULL;
}

/* Opens the data directory; an empty one is initialised from in. If the disk
 * fails, the replica starts without it and tries again later. */
enum status
core_log_open(struct core *c, struct wal_init *in, struct err *e)
{
	struct clk clk = clk_system();

	if (open_log(c, in, e) == STATUS_OK)
		return STATUS_OK;
	if (!is_transient(e->status))
		return e->status;
	log_event(LOG_CRIT, "core",
	    "event=disk_failed leading=0 index=0 retry_ms=%d error=\"%s\"",
	    CORE_DISK_RETRY_MS, e->msg);
	ctr_add(&c->nctr, NCTR_DISK_FAILED, 1);
	close_log(c);
	c->disk_failed = true;
	c->disk_changed_at = clk_now(&clk);
	c->disk_backoff_ms = CORE_DISK_RETRY_MS;
	c->disk_retry_at = clk_add_ms(c->disk_changed_at, c->disk_backoff_ms);
	err_clear(e);
	return STATUS_OK;
}

/* Opens a failed disk as a starting process would. What had not been synced is
 * cut off first. */
static enum status
reopen_log(struct core *c, struct err *e)
{
	struct wal_init in;

	TALLOC_FREE(c->dsync);
	if (c->wal != NULL && wal_truncate_unsynced(c->wal, e) != STATUS_OK)
		return e->status;
	close_log(c);
	memset(&in, 0, sizeof(in));
	in.instance = c->inst->instance;
	in.join = true;
	return open_log(c, &in, e);
}

/* Tries a failed disk again when its retry is due. */
void
core_disk_tick(struct core *c)
{
	struct timespec now = mesh_now(c->mesh);
	struct err e;

	if (!c->disk_failed || clk_before(now, c->disk_retry_at))
		return;
	err_clear(&e);
	if (reopen_log(c, &e) != STATUS_OK) {
		c->disk_backoff_ms *= 2;
		if (c->disk_backoff_ms > CORE_DISK_RETRY_MAX_MS)
			c->disk_backoff_ms = CORE_DISK_RETRY_MAX_MS;
		c->disk_retry_at = clk_add_ms(now, c->disk_backoff_ms);
		log_event(LOG_ERR, "core",
		    "event=disk_retry_failed down_ms=%" PRId64
		    " retry_ms=%" PRId64 " error=\"%s\"",
		    clk_diff_ms(now, c->disk_changed_at), c->disk_backoff_ms,
		    e.msg);
		return;
	}
	c->disk_failed = false;
	log_event(LOG_NOTICE, "core",
	    "event=disk_back down_ms=%" PRId64 " replica=%016" PRIx64
	    " generation=%" PRIu64 " index=%" PRIu64,
	    clk_diff_ms(now, c->disk_changed_at), c->replica, c->generation,
	    c->applied);
	c->disk_changed_at = now;
}
