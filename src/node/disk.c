#include "node/disk.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/log.h"
#include "control/wal.h"
#include "node/dsync.h"

#define VERSION_FILE "config-version"

struct disk {
	char *dir;
	struct wal *wal;
	uint64_t config_version;
	struct dsync *dsync; /* NULL before disk_start */
	/* STATUS_OK, or why the generations of other replicas weren't saved. */
	struct err peers_err;
};

/* Returns the path of the version file, with a suffix, owned by d. */
static char *
make_version_path(struct disk *d, const char *suffix)
{
	char *p = talloc_asprintf(d, "%s/" VERSION_FILE "%s", d->dir, suffix);

	if (p == NULL)
		abort();
	return p;
}

/* Reads the configuration version; without a file it is 0. */
static enum status
read_version(struct disk *d, struct err *e)
{
	char *path = make_version_path(d, ""), buf[32];
	int fd = open(path, O_RDONLY | O_CLOEXEC);
	enum status st = STATUS_OK;
	int64_t v = 0;
	ssize_t n;

	if (fd < 0) {
		if (errno != ENOENT)
			st = err_errno(e, STATUS_IO, "open %s", path);
		talloc_free(path);
		return st;
	}
	n = read(fd, buf, sizeof(buf));
	close(fd);
	if (n < 1 || buf[n - 1] != '\n' ||
	    !str_to_i64(str_mem(buf, (size_t)n - 1), &v) || v < 0)
		st = err_set(
		    e, STATUS_CORRUPT, "%s: expected a version number", path);
	d->config_version = (uint64_t)v;
	talloc_free(path);
	return st;
}

/* Syncs a file or directory to the disk. */
static bool
sync_path(const char *path, int flags)
{
	int fd = open(path, flags | O_CLOEXEC);
	bool ok;

	if (fd < 0)
		return false;
	ok = fsync(fd) == 0;
	close(fd);
	return ok;
}

/* Replaces the version file atomically and durably. */
static bool
write_version(struct disk *d, uint64_t version)
{
	char *path = make_version_path(d, ""),
	     *tmp = make_version_path(d, ".tmp");
	FILE *f = fopen(tmp, "we");
	bool ok = f != NULL;

	if (f != NULL) {
		ok = fprintf(f, "%" PRIu64 "\n", version) > 0;
		ok &= fclose(f) == 0;
	}
	ok = ok && sync_path(tmp, O_RDONLY) && rename(tmp, path) == 0 &&
	    sync_path(d->dir, O_RDONLY | O_DIRECTORY);
	talloc_free(path);
	talloc_free(tmp);
	return ok;
}

/* Creates a group: a data directory whose replica is the only member. */
enum status
disk_init(struct str dir, uint32_t instance, struct str domain, struct err *e)
{
	const struct wal_init init = { .instance = instance, .domain = domain };
	char *path = str_cstr(NULL, dir);
	enum status st = wal_init_dir(path, &init, e);

	talloc_free(path);
	return st;
}

/* Opens a data directory. One that is missing or empty gets a new replica id,
 * and waits for the leader to add it to the group. */
struct disk *
disk_open(TALLOC_CTX *ctx, struct str dir, const struct wal_io *io,
    struct cell_conf *cc, struct err *e)
{
	const struct wal_init join = { .join = true };
	struct wal_snapshot snap;
	struct disk *d = talloc_zero(ctx, struct disk);

	if (d == NULL)
		abort();
	err_clear(&d->peers_err);
	d->dir = str_cstr(d, dir);
	d->wal = wal_open(d, d->dir, io, e);
	if (d->wal == NULL && e->status == STATUS_NOT_FOUND) {
		err_clear(e);
		if (wal_init_dir(d->dir, &join, e) == STATUS_OK)
			d->wal = wal_open(d, d->dir, io, e);
	}
	if (d->wal == NULL || read_version(d, e) != STATUS_OK) {
		talloc_free(d);
		return NULL;
	}
	wal_initial_state(d->wal, &cc->raft);
	if (cc->raft.snap_index > 0) {
		if (wal_snapshot_load(d->wal, d, &snap, e) != STATUS_OK) {
			talloc_free(d);
			return NULL;
		}
		cc->snapshot = snap.data;
	}
	return d;
}

/* Releases what disk_open has read. */
void
disk_release_loaded(struct disk *d)
{
	wal_free_loaded(d->wal);
}

/* Returns the id of the replica. */
uint64_t
disk_replica(const struct disk *d)
{
	return wal_replica(d->wal);
}

/* Returns how often the data directory has been opened. */
uint64_t
disk_generation(const struct disk *d)
{
	return wal_generation(d->wal);
}

/* Stops the thread before the log is closed. */
static int
disk_destroy(struct disk *d)
{
	TALLOC_FREE(d->dsync);
	return 0;
}

/* Starts the thread that writes the log. */
enum status
disk_start(struct disk *d, struct tevent_context *ev,
    const struct disk_results *results, struct err *e)
{
	const struct dsync_conf dc = {
		.wal = d->wal,
		.submits = true,
		.on_synced = results->on_synced,
		.on_saved = results->on_saved,
		.on_failed = results->on_failed,
		.arg = results->arg,
	};

	d->dsync = dsync_new(d, ev, &dc, e);
	if (d->dsync == NULL)
		return e->status;
	talloc_set_destructor(d, disk_destroy);
	return STATUS_OK;
}

/* Returns STATUS_OK, or the error of the file with the generations of the other
 * replicas, after which nothing may be written. */
static enum status
check_peers_saved(const struct disk *d, struct err *e)
{
	*e = d->peers_err;
	return e->status;
}

/* Has the thread write entries and hard state, once submitted. */
enum status
disk_persist(struct disk *d, const struct raft_act *a, struct err *e)
{
	if (check_peers_saved(d, e) == STATUS_OK)
		dsync_persist(d->dsync, a);
	return e->status;
}

/* Has the thread write what was passed since the last call, with one sync. */
void
disk_submit(struct disk *d)
{
	dsync_submit(d->dsync);
}

/* Has the thread save a snapshot, once submitted; the log that it covers is
 * dropped. */
enum status
disk_snapshot(struct disk *d, const struct cell_act *a, struct err *e)
{
	struct wal_snapshot s = { a->u.snapshot.index, a->u.snapshot.term,
		a->u.snapshot.members, a->u.snapshot.nmembers,
		a->u.snapshot.data };

	if (check_peers_saved(d, e) == STATUS_OK)
		dsync_snapshot(d->dsync, &s, a->u.snapshot.received);
	return e->status;
}

/* Checks the HELLO of a replica: a generation below one seen before means that
 * it runs on an older copy of its data directory. */
bool
disk_accepts_peer(
    struct disk *d, uint64_t replica, uint64_t generation, uint64_t incarnation)
{
	enum status st;
	struct err e;

	err_clear(&e);
	st = wal_check_peer(d->wal, replica, generation, incarnation, &e);
	if (st != STATUS_STALE) {
		if (st != STATUS_OK)
			d->peers_err = e;
		return true;
	}
	log_event(
	    LOG_ERR, "disk", "event=peer_data_outdated error=\"%s\"", e.msg);
	return false;
}

/* Returns the newest configuration version that was recorded. */
uint64_t
disk_config_version(const struct disk *d)
{
	return d->config_version;
}

/* Records a configuration version if it is newer. */
void
disk_record_config_version(struct disk *d, uint64_t version)
{
	if (version <= d->config_version)
		return;
	if (!write_version(d, version)) {
		log_event(LOG_ERR, "disk",
		    "event=config_version_not_saved version=%" PRIu64, version);
		return;
	}
	d->config_version = version;
}
