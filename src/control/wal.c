#include "control/wal.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/crc.h"
#include "control/wal_priv.h"

/* Records the first failure, which every later call returns again. */
enum status
wal_set_failed(struct wal *w, struct err *e, enum status st)
{
	if (st != STATUS_OK && w->failed_status == STATUS_OK) {
		w->failed_status = st;
		if (e != NULL)
			w->failed_err = *e;
	}
	return st;
}

/* Returns the recorded failure, or STATUS_OK. */
static enum status
check_failed(const struct wal *w, struct err *e)
{
	if (w->failed_status != STATUS_OK && e != NULL)
		*e = w->failed_err;
	return w->failed_status;
}

/* Returns the replica id, a random id of the data directory. */
uint64_t
wal_replica(const struct wal *w)
{
	return w->replica;
}

/* Returns how often the data directory has been opened. */
uint64_t
wal_generation(const struct wal *w)
{
	return w->generation;
}

/* Returns the number of times the log was synced since wal_open. */
uint64_t
wal_syncs(const struct wal *w)
{
	return w->nsyncs;
}

/* Fills the fields of a raft_initial_state that come from the disk: all but
 * seed. */
void
wal_initial_state(const struct wal *w, struct raft_initial_state *c)
{
	c->replica = w->replica;
	c->term = w->term;
	c->voted_for = w->voted_for;
	c->snap_index = w->snap.index;
	c->snap_term = w->snap.term;
	c->snap_data = w->snap.data;
	c->members = w->snap.members;
	c->nmembers = w->snap.nmembers;
	c->entries = w->entries;
	c->nentries = w->nentries;
}

/* Frees the entries and the snapshot that wal_initial_state returned. */
void
wal_free_loaded(struct wal *w)
{
	talloc_free(w->read_ctx);
	w->read_ctx = NULL;
	w->entries = NULL;
	w->nentries = w->capentries = 0;
	memset(&w->snap, 0, sizeof(w->snap));
}

/*
 * Returns the start value of the checksums of a segment. It differs between
 * segments, so that bytes of an older file are never taken for records.
 */
uint32_t
wal_salt(const struct wal *w, uint64_t number)
{
	uint64_t v[3] = { w->replica, w->generation, number };

	return crc32c(0, v, sizeof(v));
}

/* Writes the buffered records to the open segment. */
static enum status
write_buffer(struct wal *w, struct err *e)
{
	if (w->nbuf == 0)
		return STATUS_OK;
	if (wal_write_all(&w->io, w->fd, w->buf, w->nbuf) != STATUS_OK)
		return wal_set_failed(
		    w, e, wal_io_error(e, "write", "the log"));
	w->seg_bytes += w->nbuf;
	w->file_bytes += (int64_t)w->nbuf;
	w->nbuf = 0;
	return STATUS_OK;
}

/* Encodes a record into the buffer, and writes the buffer if it is large. */
static enum status
buffer_record(struct wal *w, enum wal_rec_type type, const struct str *parts,
    size_t n, struct err *e)
{
	uint8_t head[WAL_REC_HEADER_BYTES];
	size_t len = wal_rec_encode_header(head, type, w->salt, parts, n) +
	    WAL_REC_HEADER_BYTES;
	size_t i;

	if (w->nbuf + len > w->capbuf) {
		w->capbuf = (w->nbuf + len) * 2;
		w->buf = talloc_realloc(w, w->buf, uint8_t, w->capbuf);
		if (w->buf == NULL)
			abort();
	}
	memcpy(w->buf + w->nbuf, head, WAL_REC_HEADER_BYTES);
	w->nbuf += WAL_REC_HEADER_BYTES;
	for (i = 0; i < n; i++) {
		if (parts[i].len > 0)
			memcpy(w->buf + w->nbuf, parts[i].p, parts[i].len);
		w->nbuf += parts[i].len;
	}
	w->is_dirty = true;
	return w->nbuf > WAL_BUF_FLUSH_BYTES ? write_buffer(w, e) : STATUS_OK;
}

/*
 * Appends a record to the buffer. The first one after a sync is preceded by a
 * SYNCED record with the length of the segment that is on disk.
 */
static enum status
append_record(struct wal *w, enum wal_rec_type type, const struct str *parts,
    size_t n, struct err *e)
{
	uint8_t buf[8] = { 0 };
	struct str part = str_mem(buf, sizeof(buf));
	enum status st = STATUS_OK;

	if (!w->is_dirty && w->seg_bytes > 0) {
		wal_put64(buf, w->seg_bytes);
		st = buffer_record(w, WAL_REC_SYNCED, &part, 1, e);
	}
	return st == STATUS_OK ? buffer_record(w, type, parts, n, e) : st;
}

/*
 * Appends entries that continue the log and skips those that the snapshot
 * covers. Returns STATUS_INVALID if there is a gap, STATUS_LIMIT if an entry
 * does not fit into a record.
 */
enum status
wal_append(struct wal *w, const struct raft_entry *v, size_t n, struct err *e)
{
	enum status st = check_failed(w, e);
	uint8_t head[17] = { 0 };
	size_t i;

	for (i = 0; st == STATUS_OK && i < n; i++) {
		struct str parts[2] = { str_mem(head, sizeof(head)),
			v[i].data };

		if (v[i].index <= w->snap_index)
			continue;
		if (v[i].index != w->last + 1)
			return err_set(e, STATUS_INVALID,
			    "log entry %" PRIu64
			    " does not follow entry %" PRIu64,
			    v[i].index, w->last);
		if (v[i].data.len > WAL_REC_PAYLOAD_MAX - sizeof(head))
			return err_set(e, STATUS_LIMIT,
			    "log entry %" PRIu64 " is too large for a record",
			    v[i].index);
		wal_put64(head, v[i].index);
		wal_put64(head + 8, v[i].term);
		head[16] = (uint8_t)v[i].kind;
		st = append_record(w, WAL_REC_ENTRY, parts, 2, e);
		wal_record_entry(w, v[i].index, v[i].term);
	}
	return st;
}

/* Writes term and vote (the hard state of Raft) if they changed. */
enum status
wal_hard_state(struct wal *w, uint64_t term, uint64_t voted_for, struct err *e)
{
	enum status st = check_failed(w, e);
	uint8_t buf[16] = { 0 };
	struct str part = str_mem(buf, sizeof(buf));

	if (st != STATUS_OK || (term == w->term && voted_for == w->voted_for))
		return st;
	w->term = term;
	w->voted_for = voted_for;
	wal_put64(buf, term);
	wal_put64(buf + 8, voted_for);
	return append_record(w, WAL_REC_HARD_STATE, &part, 1, e);
}

/* Removes all entries from an index on that the snapshot does not cover. */
enum status
wal_truncate(struct wal *w, uint64_t from, struct err *e)
{
	enum status st = check_failed(w, e);
	uint8_t buf[8] = { 0 };
	struct str part = str_mem(buf, sizeof(buf));

	if (from <= w->snap_index)
		from = w->snap_index + 1;
	if (st != STATUS_OK || from > w->last)
		return st;
	wal_put64(buf, from);
	wal_record_truncation(w, from);
	return append_record(w, WAL_REC_TRUNCATE, &part, 1, e);
}

/*
 * Writes and syncs all records. Does nothing if none was added since the last
 * sync.
 */
static enum status
sync_log(struct wal *w, struct err *e)
{
	enum status st = write_buffer(w, e);

	if (st != STATUS_OK || !w->is_dirty)
		return st;
	if (w->io.sync(w->io.arg, w->fd) != 0)
		return wal_set_failed(w, e, wal_io_error(e, "sync", "the log"));
	w->is_dirty = false;
	w->synced_bytes = w->file_bytes;
	w->nsyncs++;
	return STATUS_OK;
}

/*
 * Truncates the open segment to its length at the last sync. After a failed
 * sync the kernel may treat bytes as written that never reached the disk, so
 * they could be read back and taken for durable.
 */
enum status
wal_truncate_unsynced(struct wal *w, struct err *e)
{
	if (w->fd >= 0 && ftruncate(w->fd, w->synced_bytes) != 0)
		return wal_io_error(e, "truncate", "the log");
	return STATUS_OK;
}

/* Opens a segment for appending and closes the one open before. */
enum status
wal_segment_open(struct wal *w, uint64_t number, struct err *e)
{
	char name[WAL_NAME_MAX];
	struct stat sb;

	wal_segment_name(name, number);
	if (w->fd >= 0)
		close(w->fd);
	w->fd = openat(w->dirfd, name, O_WRONLY | O_APPEND | O_CLOEXEC);
	if (w->fd < 0 || fstat(w->fd, &sb) != 0)
		return wal_set_failed(w, e, wal_io_error(e, "open", name));
	w->file_bytes = w->synced_bytes = sb.st_size;
	return STATUS_OK;
}

/*
 * Removes the n oldest segments. Syncs the directory after each one, so that a
 * crash leaves no gap between the remaining segments.
 */
enum status
wal_remove_segments(struct wal *w, size_t n, struct err *e)
{
	char name[WAL_NAME_MAX];
	size_t i;

	for (i = 0; i < n; i++) {
		wal_segment_name(name, w->segs[i].number);
		if (unlinkat(w->dirfd, name, 0) != 0 && errno != ENOENT)
			return wal_set_failed(
			    w, e, wal_io_error(e, "remove", name));
		if (w->io.sync(w->io.arg, w->dirfd) != 0)
			return wal_set_failed(w, e,
			    wal_io_error(e, "sync the directory of", name));
	}
	if (n > 0 && n < w->nsegs) {
		memmove(
		    w->segs, w->segs + n, (w->nsegs - n) * sizeof(*w->segs));
		w->nsegs -= n;
		w->base_term = wal_term_at(w, w->segs[0].base);
		w->base_index = w->segs[0].base;
	}
	return STATUS_OK;
}

/*
 * Syncs the log and starts a new segment. The base is the entry before its
 * first one: the last of the log, or that of a snapshot which replaces the
 * log.
 */
enum status
wal_roll(struct wal *w, uint64_t base_index, uint64_t base_term, struct err *e)
{
	uint64_t number = w->segs[w->nsegs - 1].number + 1;
	uint32_t salt = wal_salt(w, number);
	enum status st = sync_log(w, e);

	if (st == STATUS_OK)
		st = wal_segment_write(&w->io, w->dirfd, number, base_index,
		    base_term, salt, w->term, w->voted_for, e);
	if (st != STATUS_OK)
		return wal_set_failed(w, e, st);
	if (base_index != w->last || base_term != wal_term_at(w, base_index)) {
		w->base_index = w->last = base_index;
		w->base_term = base_term;
		w->nterm_runs = 0;
	}
	wal_segment_add(w, number)->base = base_index;
	w->salt = salt;
	w->seg_bytes = 0;
	return wal_segment_open(w, number, e);
}

/* Makes all records durable and starts a new segment if this one is full. */
enum status
wal_sync(struct wal *w, struct err *e)
{
	enum status st = check_failed(w, e);

	if (st == STATUS_OK)
		st = sync_log(w, e);
	if (st == STATUS_OK && w->seg_bytes > WAL_SEGMENT_BYTES)
		st = wal_roll(w, w->last, wal_term_at(w, w->last), e);
	return st;
}

/* Writes the hard state, the truncation and the entries of a PERSIST action. */
enum status
wal_persist(struct wal *w, const struct raft_act *a, struct err *e)
{
	enum status st =
	    wal_hard_state(w, a->u.persist.term, a->u.persist.voted_for, e);

	if (st == STATUS_OK && a->u.persist.truncate_from != 0)
		st = wal_truncate(w, a->u.persist.truncate_from, e);
	if (st == STATUS_OK)
		st = wal_append(w, a->u.persist.entries, a->u.persist.n, e);
	return st;
}

/*
 * Saves a snapshot and removes the log segments that it covers completely. A
 * received snapshot replaces the whole log, as does one that the log does not
 * reach or does not agree with. Returns STATUS_STALE if the snapshot on disk
 * is as new.
 */
enum status
wal_snapshot_save(
    struct wal *w, const struct wal_snapshot *s, bool received, struct err *e)
{
	enum status st = check_failed(w, e);
	size_t n = 0;

	if (st != STATUS_OK)
		return st;
	if (s->index <= w->snap_index)
		return err_set(e, STATUS_STALE,
		    "snapshot at %" PRIu64 " is not newer than %" PRIu64,
		    s->index, w->snap_index);
	st = sync_log(w, e);
	if (st == STATUS_OK)
		st = wal_set_failed(
		    w, e, wal_snapshot_file_write(&w->io, w->dirfd, s, e));
	if (st != STATUS_OK)
		return st;
	w->snap_index = s->index;
	w->snap_term = s->term;
	if (received || s->index > w->last ||
	    wal_term_at(w, s->index) != s->term) {
		n = w->nsegs;
		st = wal_roll(w, s->index, s->term, e);
	} else {
		st = wal_roll(w, w->last, wal_term_at(w, w->last), e);
		while (n + 1 < w->nsegs && w->segs[n + 1].base <= s->index)
			n++;
	}
	return st == STATUS_OK ? wal_remove_segments(w, n, e) : st;
}

/* Reads the snapshot from the disk; members and data are owned by ctx. */
enum status
wal_snapshot_load(
    struct wal *w, TALLOC_CTX *ctx, struct wal_snapshot *s, struct err *e)
{
	return wal_snapshot_file_read(ctx, w->dirfd, s, e);
}
