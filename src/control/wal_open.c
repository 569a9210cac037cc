#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <unistd.h>

#include "control/wal_priv.h"

#define PEER_BYTES 24U

/* Returns the term of the entry at an index, or 0 if it is not in the log. */
uint64_t
wal_term_at(const struct wal *w, uint64_t index)
{
	size_t i = w->nterm_runs;

	if (index == w->base_index)
		return w->base_term;
	if (index < w->base_index || index > w->last)
		return 0;
	while (i > 0 && w->term_runs[i - 1].first > index)
		i--;
	return i == 0 ? w->base_term : w->term_runs[i - 1].term;
}

/* Records index and term of an entry that was appended to the log. */
void
wal_record_entry(struct wal *w, uint64_t index, uint64_t term)
{
	w->last = index;
	if (w->nterm_runs > 0 && w->term_runs[w->nterm_runs - 1].term == term)
		return;
	w->term_runs = talloc_realloc(
	    w, w->term_runs, struct wal_term_run, w->nterm_runs + 1);
	if (w->term_runs == NULL)
		abort();
	w->term_runs[w->nterm_runs].first = index;
	w->term_runs[w->nterm_runs++].term = term;
}

/* Records that all entries from an index on were removed. */
void
wal_record_truncation(struct wal *w, uint64_t from)
{
	if (from > w->last)
		return;
	w->last = from - 1;
	while (
	    w->nterm_runs > 0 && w->term_runs[w->nterm_runs - 1].first >= from)
		w->nterm_runs--;
}

/* Appends a segment to the table, with base 0. */
struct wal_segment *
wal_segment_add(struct wal *w, uint64_t number)
{
	w->segs = talloc_realloc(w, w->segs, struct wal_segment, w->nsegs + 1);
	if (w->segs == NULL)
		abort();
	w->segs[w->nsegs].number = number;
	w->segs[w->nsegs].base = 0;
	return &w->segs[w->nsegs++];
}

/* Orders segments by number. */
static int
cmp_segment(const void *a, const void *b)
{
	const struct wal_segment *x = a, *y = b;

	return (x->number > y->number) - (x->number < y->number);
}

/*
 * Lists all segments in order of their numbers and removes temporary files of
 * interrupted writes. Returns STATUS_CORRUPT if a segment is missing.
 */
static enum status
list_segments(struct wal *w, struct err *e)
{
	int fd = openat(w->dirfd, ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	DIR *d = fd < 0 ? NULL : fdopendir(fd);
	struct dirent *de;
	uint64_t number;
	size_t i;

	if (d == NULL)
		return wal_io_error(e, "list", "the directory");
	while ((de = readdir(d)) != NULL) {
		size_t n = strlen(de->d_name);
		char *end;

		if (n > 4 && strcmp(de->d_name + n - 4, ".tmp") == 0) {
			unlinkat(w->dirfd, de->d_name, 0);
			continue;
		}
		if (strncmp(de->d_name, "log-", 4) != 0)
			continue;
		number = strtoull(de->d_name + 4, &end, 16);
		if (*end == '\0')
			wal_segment_add(w, number);
	}
	closedir(d);
	if (w->nsegs == 0)
		return err_set(e, STATUS_CORRUPT,
		    "data directory: there are no log segments");
	qsort(w->segs, w->nsegs, sizeof(*w->segs), cmp_segment);
	for (i = 1; i < w->nsegs; i++) {
		if (w->segs[i].number != w->segs[0].number + i)
			return err_set(e, STATUS_CORRUPT,
			    "data directory: log segment %" PRIx64
			    " is missing",
			    w->segs[0].number + i);
	}
	return STATUS_OK;
}

/* Adds the entry of a record to those that wal_initial_state returns. */
static void
store_entry(struct wal *w, const struct wal_rec *r)
{
	struct raft_entry *en;

	if (w->nentries == w->capentries) {
		w->capentries = w->capentries == 0 ? 256 : w->capentries * 2;
		w->entries = talloc_realloc(
		    w->read_ctx, w->entries, struct raft_entry, w->capentries);
		if (w->entries == NULL)
			abort();
	}
	en = &w->entries[w->nentries++];
	en->index = wal_get64(r->p);
	en->term = wal_get64(r->p + 8);
	en->kind = (Control__EntryKind)r->p[16];
	en->data = str_mem(r->p + 17, r->len - 17);
}

/*
 * Removes all entries from an index on. The first segment may begin with the
 * removal of entries of an earlier one, which is gone because the snapshot
 * covers it. Returns false if there is no such snapshot.
 */
static bool
replay_truncation(struct wal *w, uint64_t from)
{
	if (from == 0 ||
	    (from <= w->base_index && w->base_index > w->snap_index))
		return false;
	if (from <= w->base_index) {
		w->base_index = w->last = from - 1;
		w->base_term = 0;
		w->nterm_runs = 0;
		w->nentries = 0;
		return true;
	}
	wal_record_truncation(w, from);
	while (w->nentries > 0 && w->entries[w->nentries - 1].index >= from)
		w->nentries--;
	return true;
}

/* Applies one record. Returns false if it does not continue the log. */
static bool
replay_record(struct wal *w, const struct wal_rec *r)
{
	uint64_t index;

	switch (r->type) {
	case WAL_REC_HARD_STATE:
		w->term = wal_get64(r->p);
		w->voted_for = wal_get64(r->p + 8);
		return true;
	case WAL_REC_TRUNCATE:
		return replay_truncation(w, wal_get64(r->p));
	case WAL_REC_ENTRY:
		index = wal_get64(r->p);
		if (index != w->last + 1)
			return false;
		wal_record_entry(w, index, wal_get64(r->p + 8));
		if (index > w->snap_index)
			store_entry(w, r);
		return true;
	case WAL_REC_SYNCED:
		return true;
	default:
		return false;
	}
}

/*
 * Checks the first record of a segment. Empties the log read so far unless the
 * segment continues it.
 */
static enum status
replay_segment_header(
    struct wal *w, size_t i, const struct wal_rec *r, struct err *e)
{
	uint64_t base = wal_get64(r->p + 8), term = wal_get64(r->p + 16);

	if (r->type != WAL_REC_SEGMENT || wal_get64(r->p) != w->segs[i].number)
		return err_set(e, STATUS_CORRUPT,
		    "data directory: log segment %" PRIx64
		    " has an unexpected header",
		    w->segs[i].number);
	w->segs[i].base = base;
	w->salt = wal_get32(r->p + 24);
	if (i > 0 && base == w->last && term == wal_term_at(w, base))
		return STATUS_OK;
	/* The first segment, or the first after a received snapshot. */
	w->base_index = w->last = base;
	w->base_term = term;
	w->nterm_runs = 0;
	w->nentries = 0;
	return STATUS_OK;
}

/* Truncates a segment to a size in bytes and syncs it. */
static enum status
truncate_tail(struct wal *w, const char *name, off_t size, struct err *e)
{
	int fd = openat(w->dirfd, name, O_WRONLY | O_CLOEXEC);
	enum status st = STATUS_OK;

	if (fd < 0 || ftruncate(fd, size) != 0 ||
	    w->io.sync(w->io.arg, fd) != 0)
		st = wal_io_error(e, "truncate the tail of", name);
	if (fd >= 0)
		close(fd);
	return st;
}

/*
 * Reads one segment. If a record of the last segment is damaged and no later
 * SYNCED record proves that it was on disk, it was being written when the
 * process ended or the power failed. It was then never acknowledged, so the
 * segment is truncated before it. Any other damage is STATUS_CORRUPT.
 */
static enum status
replay_segment(struct wal *w, size_t i, struct err *e)
{
	char name[WAL_NAME_MAX];
	struct wal_rec r;
	enum status st;
	struct str s;
	const uint8_t *p;
	size_t off;

	wal_segment_name(name, w->segs[i].number);
	st = wal_file_read(w->read_ctx, w->dirfd, name, &s, e);
	if (st != STATUS_OK)
		return st;
	p = (const uint8_t *)s.p;
	/* Segments are created by rename, so their header is never torn. */
	if (!wal_rec_decode(p, s.len, 0, &r))
		return err_set(e, STATUS_CORRUPT,
		    "data directory: %s: damaged header", name);
	st = replay_segment_header(w, i, &r, e);
	for (off = r.size; st == STATUS_OK && off < s.len; off += r.size) {
		if (!wal_rec_decode(p + off, s.len - off, w->salt, &r))
			break;
		if (!replay_record(w, &r))
			st = err_set(e, STATUS_CORRUPT,
			    "data directory: %s: record at offset %zu does "
			    "not continue the log",
			    name, off);
	}
	w->seg_bytes = off;
	if (st != STATUS_OK || off >= s.len)
		return st;
	if (i + 1 < w->nsegs ||
	    wal_rec_proves_synced(p + off + 1, s.len - off - 1, w->salt, off))
		return err_set(e, STATUS_CORRUPT,
		    "data directory: %s: record at offset %zu is damaged "
		    "although it was synced",
		    name, off);
	return truncate_tail(w, name, (off_t)off, e);
}

/* Reads the newest generation and incarnation seen of each replica. */
static enum status
load_peers(struct wal *w, struct err *e)
{
	struct str doc;
	enum status st = wal_doc_load(w->read_ctx, w->dirfd, "peers", &doc, e);
	size_t i;

	if (st == STATUS_NOT_FOUND)
		return STATUS_OK;
	if (st != STATUS_OK)
		return st;
	w->npeers = doc.len / PEER_BYTES;
	w->peers = talloc_array(NULL, struct wal_peer, w->npeers);
	if (w->peers == NULL)
		abort();
	for (i = 0; i < w->npeers; i++) {
		const uint8_t *p = (const uint8_t *)doc.p + i * PEER_BYTES;

		w->peers[i].replica = wal_get64(p);
		w->peers[i].generation = wal_get64(p + 8);
		w->peers[i].incarnation = wal_get64(p + 16);
	}
	return STATUS_OK;
}

/* Saves the newest generation and incarnation seen of each replica. */
static enum status
save_peers(struct wal *w, struct err *e)
{
	uint8_t *buf = talloc_array(NULL, uint8_t, w->npeers * PEER_BYTES + 1);
	struct str part;
	enum status st;
	size_t i;

	if (buf == NULL)
		abort();
	for (i = 0; i < w->npeers; i++) {
		uint8_t *p = buf + i * PEER_BYTES;

		wal_put64(p, w->peers[i].replica);
		wal_put64(p + 8, w->peers[i].generation);
		wal_put64(p + 16, w->peers[i].incarnation);
	}
	part = str_mem(buf, w->npeers * PEER_BYTES);
	st = wal_doc_save(&w->io, w->dirfd, "peers", &part, 1, e);
	talloc_free(buf);
	return st;
}

/*
 * Checks the generation and incarnation in the HELLO of a replica against the
 * newest ones seen, and saves newer ones. Returns STATUS_STALE if the replica
 * runs on an old copy of its directory: such a copy has a lower generation, or
 * the same one that another incarnation has used already.
 */
enum status
wal_check_peer(struct wal *w, uint64_t replica, uint64_t generation,
    uint64_t incarnation, struct err *e)
{
	struct wal_peer *p = NULL;
	size_t i;

	for (i = 0; i < w->npeers; i++) {
		if (w->peers[i].replica == replica)
			p = &w->peers[i];
	}
	if (replica == w->replica ||
	    (p != NULL &&
		(generation < p->generation ||
		    (generation == p->generation &&
			incarnation != p->incarnation))))
		return err_set(e, STATUS_STALE,
		    "replica %016" PRIx64 " runs on an older copy of its data "
		    "directory (generation %" PRIu64 ")",
		    replica, generation);
	if (p != NULL && generation == p->generation)
		return STATUS_OK;
	if (p == NULL) {
		w->peers = talloc_realloc(
		    NULL, w->peers, struct wal_peer, w->npeers + 1);
		if (w->peers == NULL)
			abort();
		p = &w->peers[w->npeers++];
		p->replica = replica;
	}
	p->generation = generation;
	p->incarnation = incarnation;
	return save_peers(w, e);
}

/* Reads replica id and generation, and raises the generation in memory. */
static enum status
load_id(struct wal *w, struct err *e)
{
	struct str doc;
	enum status st =
	    wal_doc_load(w->read_ctx, w->dirfd, "replica", &doc, e);

	if (st != STATUS_OK)
		return st;
	if (doc.len != 16)
		return err_set(e, STATUS_CORRUPT,
		    "data directory: file replica is malformed");
	w->replica = wal_get64((const uint8_t *)doc.p);
	w->generation = wal_get64((const uint8_t *)doc.p + 8) + 1;
	return STATUS_OK;
}

/*
 * Checks that the log continues the snapshot. Replaces the log if it ends
 * before the snapshot or disagrees with it. Returns STATUS_CORRUPT if there is
 * a gap between them.
 */
static enum status
reconcile_snapshot(struct wal *w, struct err *e)
{
	size_t old = w->nsegs;
	enum status st;

	if (w->base_index > w->snap_index)
		return err_set(e, STATUS_CORRUPT,
		    "data directory: the log begins after index %" PRIu64
		    ", but the snapshot ends at %" PRIu64,
		    w->base_index, w->snap_index);
	if (w->last >= w->snap_index &&
	    wal_term_at(w, w->snap_index) == w->snap_term)
		return STATUS_OK;
	/* The process ended between saving a received snapshot and removing
	 * the log that it replaces. */
	w->nentries = 0;
	st = wal_roll(w, w->snap_index, w->snap_term, e);
	return st == STATUS_OK ? wal_remove_segments(w, old, e) : st;
}

/* Closes the files of a wal; its talloc destructor. */
static int
wal_destroy(struct wal *w)
{
	if (w->fd >= 0)
		close(w->fd);
	if (w->dirfd >= 0)
		close(w->dirfd);
	talloc_free(w->peers);
	return 0;
}

/*
 * Reads the whole data directory, repairs a torn tail and raises the
 * generation.
 */
static enum status
read_all(struct wal *w, const char *dir, struct err *e)
{
	enum status st = load_id(w, e);
	size_t i;

	if (st == STATUS_NOT_FOUND)
		return err_set(
		    e, st, "data directory: %s is not initialised", dir);
	if (st == STATUS_OK)
		st = wal_snapshot_file_read(w->read_ctx, w->dirfd, &w->snap, e);
	if (st == STATUS_NOT_FOUND)
		st = err_set(e, STATUS_CORRUPT,
		    "data directory: the snapshot is missing");
	if (st != STATUS_OK)
		return st;
	w->snap_index = w->snap.index;
	w->snap_term = w->snap.term;
	st = load_peers(w, e);
	if (st == STATUS_OK)
		st = list_segments(w, e);
	for (i = 0; st == STATUS_OK && i < w->nsegs; i++)
		st = replay_segment(w, i, e);
	if (st == STATUS_OK)
		st = wal_segment_open(w, w->segs[w->nsegs - 1].number, e);
	/* What was read may so far be in the page cache only. */
	if (st == STATUS_OK && w->io.sync(w->io.arg, w->fd) != 0)
		st = wal_io_error(e, "sync", "the log");
	if (st == STATUS_OK)
		st = reconcile_snapshot(w, e);
	/* The new generation has to be on disk before it is sent to anyone. */
	if (st == STATUS_OK)
		st = wal_identity_save(
		    &w->io, w->dirfd, w->replica, w->generation, e);
	return st;
}

/*
 * Opens and locks a data directory, reads all of it and raises its generation.
 * Returns NULL with STATUS_NOT_FOUND if it was never initialised,
 * STATUS_EXISTS if another process uses it, STATUS_CORRUPT if it is damaged,
 * STATUS_IO or STATUS_FULL if a system call fails.
 */
struct wal *
wal_open(
    TALLOC_CTX *ctx, const char *dir, const struct wal_io *io, struct err *e)
{
	struct wal *w = talloc_zero(ctx, struct wal);

	if (w == NULL)
		abort();
	w->io = io != NULL ? *io : wal_io_system;
	w->fd = -1;
	w->read_ctx = talloc_new(w);
	w->dirfd = open(dir, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	talloc_set_destructor(w, wal_destroy);
	if (w->dirfd < 0 && errno == ENOENT)
		err_set(e, STATUS_NOT_FOUND,
		    "data directory: %s does not exist", dir);
	else if (w->dirfd < 0)
		wal_io_error(e, "open", dir);
	else if (flock(w->dirfd, LOCK_EX | LOCK_NB) != 0)
		err_set(e, STATUS_EXISTS,
		    "data directory: %s is in use by another process", dir);
	else if (read_all(w, dir, e) == STATUS_OK)
		return w;
	talloc_free(w);
	return NULL;
}
