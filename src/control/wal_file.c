#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/crc.h"
#include "control/wal_priv.h"

/* A document is a file of magic, length u64, CRC-32C u32 and payload. */
#define DOC_MAGIC_LEN 8U
#define DOC_HEAD      (DOC_MAGIC_LEN + 12U)
#define PARTS_MAX     4
#define FILE_MODE     0640
#define DIR_MODE      0750

static const uint8_t doc_magic[DOC_MAGIC_LEN] = { 'C', 'B', 'A', 'Y', 'D', 'O',
	'C', '1' };

/* Writes with write(2). */
static ssize_t
system_write(void *arg, int fd, const void *p, size_t len)
{
	(void)arg;
	return write(fd, p, len);
}

/* Syncs with fsync(2). */
static int
system_sync(void *arg, int fd)
{
	(void)arg;
	return fsync(fd);
}

const struct wal_io wal_io_system = { system_write, system_sync, NULL };

/*
 * Describes errno as STATUS_FULL if the disk or the quota is full, else as
 * STATUS_IO. what and name say what could not be done to which file.
 */
enum status
wal_io_error(struct err *e, const char *what, const char *name)
{
	bool full = errno == ENOSPC || errno == EDQUOT;

	return err_errno(e, full ? STATUS_FULL : STATUS_IO,
	    "data directory: cannot %s %s", what, name);
}

/* Writes all bytes. Returns STATUS_IO with errno set if that fails. */
enum status
wal_write_all(const struct wal_io *io, int fd, const void *data, size_t len)
{
	const char *p = data;
	ssize_t n;

	while (len > 0) {
		n = io->write(io->arg, fd, p, len);
		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0) {
			if (n == 0)
				errno = ENOSPC;
			return STATUS_IO;
		}
		p += n;
		len -= (size_t)n;
	}
	return STATUS_OK;
}

/*
 * Replaces a file atomically: after a crash it has either the old or the new
 * content. On success the new content is on disk.
 */
enum status
wal_file_replace(const struct wal_io *io, int dirfd, const char *name,
    const struct str *parts, size_t nparts, struct err *e)
{
	char tmp[WAL_NAME_MAX + 8];
	enum status st = STATUS_OK;
	size_t i;
	int fd;

	snprintf(tmp, sizeof(tmp), "%s.tmp", name);
	fd = openat(
	    dirfd, tmp, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FILE_MODE);
	if (fd < 0)
		return wal_io_error(e, "create", tmp);
	for (i = 0; i < nparts && st == STATUS_OK; i++) {
		if (wal_write_all(io, fd, parts[i].p, parts[i].len) !=
		    STATUS_OK)
			st = wal_io_error(e, "write", tmp);
	}
	if (st == STATUS_OK && io->sync(io->arg, fd) != 0)
		st = wal_io_error(e, "sync", tmp);
	if (close(fd) != 0 && st == STATUS_OK)
		st = wal_io_error(e, "close", tmp);
	if (st == STATUS_OK && renameat(dirfd, tmp, dirfd, name) != 0)
		st = wal_io_error(e, "rename", tmp);
	if (st != STATUS_OK) {
		/* If the disk is full, this frees some space again. */
		(void)unlinkat(dirfd, tmp, 0);
		return st;
	}
	if (st == STATUS_OK && io->sync(io->arg, dirfd) != 0)
		st = wal_io_error(e, "sync the directory of", name);
	return st;
}

/* Reads a whole file. Returns STATUS_NOT_FOUND if it does not exist. */
enum status
wal_file_read(TALLOC_CTX *ctx, int dirfd, const char *name, struct str *out,
    struct err *e)
{
	int fd = openat(dirfd, name, O_RDONLY | O_CLOEXEC);
	enum status st = STATUS_OK;
	struct stat sb;
	size_t got = 0;
	ssize_t n = 1;
	char *buf;

	*out = str_mem(NULL, 0);
	if (fd < 0 && errno == ENOENT)
		return err_set(e, STATUS_NOT_FOUND,
		    "data directory: file %s does not exist", name);
	if (fd < 0)
		return wal_io_error(e, "open", name);
	if (fstat(fd, &sb) != 0) {
		st = wal_io_error(e, "read", name);
		close(fd);
		return st;
	}
	buf = talloc_array(ctx, char, (size_t)sb.st_size + 1);
	if (buf == NULL)
		abort();
	while (got < (size_t)sb.st_size && n > 0) {
		n = read(fd, buf + got, (size_t)sb.st_size - got);
		if (n > 0)
			got += (size_t)n;
	}
	if (n < 0)
		st = wal_io_error(e, "read", name);
	close(fd);
	*out = str_mem(buf, got);
	return st;
}

/* Replaces a file by a document whose payload is the concatenated parts. */
enum status
wal_doc_save(const struct wal_io *io, int dirfd, const char *name,
    const struct str *parts, size_t nparts, struct err *e)
{
	struct str all[PARTS_MAX + 1];
	uint8_t head[DOC_HEAD] = { 0 };
	uint32_t crc = 0;
	uint64_t len = 0;
	size_t i;

	if (nparts > PARTS_MAX)
		abort();
	for (i = 0; i < nparts; i++) {
		crc = crc32c(crc, parts[i].p, parts[i].len);
		len += parts[i].len;
		all[i + 1] = parts[i];
	}
	memcpy(head, doc_magic, DOC_MAGIC_LEN);
	wal_put64(head + DOC_MAGIC_LEN, len);
	wal_put32(head + DOC_MAGIC_LEN + 8, crc);
	all[0] = str_mem(head, sizeof(head));
	return wal_file_replace(io, dirfd, name, all, nparts + 1, e);
}

/* Reads and verifies a document. Returns STATUS_CORRUPT if it is damaged. */
enum status
wal_doc_load(TALLOC_CTX *ctx, int dirfd, const char *name, struct str *payload,
    struct err *e)
{
	enum status st = wal_file_read(ctx, dirfd, name, payload, e);
	const uint8_t *p;

	if (st != STATUS_OK)
		return st;
	p = (const uint8_t *)payload->p;
	if (payload->len < DOC_HEAD ||
	    memcmp(p, doc_magic, DOC_MAGIC_LEN) != 0 ||
	    wal_get64(p + DOC_MAGIC_LEN) != payload->len - DOC_HEAD ||
	    wal_get32(p + DOC_MAGIC_LEN + 8) !=
		crc32c(0, p + DOC_HEAD, payload->len - DOC_HEAD))
		return err_set(e, STATUS_CORRUPT,
		    "data directory: file %s is damaged", name);
	*payload = str_mem(p + DOC_HEAD, payload->len - DOC_HEAD);
	return STATUS_OK;
}

/* Saves the replica id and the generation of a data directory. */
enum status
wal_identity_save(const struct wal_io *io, int dirfd, uint64_t replica,
    uint64_t generation, struct err *e)
{
	uint8_t buf[16] = { 0 };
	struct str part = str_mem(buf, sizeof(buf));

	wal_put64(buf, replica);
	wal_put64(buf + 8, generation);
	return wal_doc_save(io, dirfd, "replica", &part, 1, e);
}

/* Writes a snapshot file, with the member list as of its index. */
enum status
wal_snapshot_file_write(const struct wal_io *io, int dirfd,
    const struct wal_snapshot *s, struct err *e)
{
	Control__Members m = CONTROL__MEMBERS__INIT;
	TALLOC_CTX *tmp = talloc_new(NULL);
	Control__Member *store =
	    talloc_array(tmp, Control__Member, s->nmembers);
	struct str parts[3];
	uint8_t head[20] = { 0 }, *buf;
	enum status st;
	size_t i;

	m.members = talloc_array(tmp, Control__Member *, s->nmembers);
	m.n_members = s->nmembers;
	if (store == NULL || m.members == NULL)
		abort();
	for (i = 0; i < s->nmembers; i++) {
		control__member__init(&store[i]);
		store[i].replica = s->members[i].replica;
		store[i].instance = s->members[i].instance;
		store[i].voter = s->members[i].voter;
		if (s->members[i].domain.len > 0)
			store[i].domain = str_cstr(tmp, s->members[i].domain);
		m.members[i] = &store[i];
	}
	parts[1].len = control__members__get_packed_size(&m);
	buf = talloc_array(tmp, uint8_t, parts[1].len + 1);
	if (buf == NULL)
		abort();
	control__members__pack(&m, buf);
	parts[1].p = (const char *)buf;
	wal_put64(head, s->index);
	wal_put64(head + 8, s->term);
	wal_put32(head + 16, (uint32_t)parts[1].len);
	parts[0] = str_mem(head, sizeof(head));
	parts[2] = s->data;
	st = wal_doc_save(io, dirfd, "snapshot", parts, 3, e);
	talloc_free(tmp);
	return st;
}

/* Reads the snapshot file; members and data are owned by ctx. */
enum status
wal_snapshot_file_read(
    TALLOC_CTX *ctx, int dirfd, struct wal_snapshot *s, struct err *e)
{
	struct str doc;
	enum status st = wal_doc_load(ctx, dirfd, "snapshot", &doc, e);
	const uint8_t *p;
	Control__Members *m = NULL;
	struct raft_member *v;
	size_t i, mlen = 0;

	if (st != STATUS_OK)
		return st;
	p = (const uint8_t *)doc.p;
	if (doc.len >= 20) {
		mlen = wal_get32(p + 16);
		if (mlen <= doc.len - 20)
			m = control__members__unpack(NULL, mlen, p + 20);
	}
	if (m == NULL)
		return err_set(e, STATUS_CORRUPT,
		    "data directory: file snapshot is malformed");
	v = talloc_array(ctx, struct raft_member, m->n_members);
	if (v == NULL)
		abort();
	for (i = 0; i < m->n_members; i++) {
		v[i].replica = m->members[i]->replica;
		v[i].instance = m->members[i]->instance;
		v[i].voter = m->members[i]->voter;
		v[i].domain = str_dup(v, str_from(m->members[i]->domain));
	}
	s->index = wal_get64(p);
	s->term = wal_get64(p + 8);
	s->members = v;
	s->nmembers = m->n_members;
	s->data = str_mem(p + 20 + mlen, doc.len - 20 - mlen);
	control__members__free_unpacked(m, NULL);
	return STATUS_OK;
}

/* Formats the file name of a segment. */
void
wal_segment_name(char name[WAL_NAME_MAX], uint64_t number)
{
	snprintf(name, WAL_NAME_MAX, "log-%016" PRIx64, number);
}

/* Creates a segment file with term and vote; it is on disk on return. */
enum status
wal_segment_write(const struct wal_io *io, int dirfd, uint64_t number,
    uint64_t base_index, uint64_t base_term, uint32_t salt, uint64_t term,
    uint64_t voted_for, struct err *e)
{
	uint8_t seg[28] = { 0 }, hard[16] = { 0 };
	uint8_t h1[WAL_REC_HEADER_BYTES] = { 0 },
		h2[WAL_REC_HEADER_BYTES] = { 0 };
	struct str parts[4] = { str_mem(h1, sizeof(h1)),
		str_mem(seg, sizeof(seg)), str_mem(h2, sizeof(h2)),
		str_mem(hard, sizeof(hard)) };
	char name[WAL_NAME_MAX];

	wal_put64(seg, number);
	wal_put64(seg + 8, base_index);
	wal_put64(seg + 16, base_term);
	wal_put32(seg + 24, salt);
	wal_put64(hard, term);
	wal_put64(hard + 8, voted_for);
	wal_rec_encode_header(h1, WAL_REC_SEGMENT, 0, &parts[1], 1);
	wal_rec_encode_header(h2, WAL_REC_HARD_STATE, salt, &parts[3], 1);
	wal_segment_name(name, number);
	return wal_file_replace(io, dirfd, name, parts, 4, e);
}

/* Syncs the parent of a directory, so that its creation is durable. */
static enum status
sync_parent_dir(const char *dir, struct err *e)
{
	char *copy = talloc_strdup(NULL, dir);
	size_t n = copy == NULL ? 0 : strlen(copy);
	enum status st = STATUS_OK;
	char *slash;
	int fd;

	while (n > 1 && copy[n - 1] == '/')
		copy[--n] = '\0';
	slash = copy == NULL ? NULL : strrchr(copy, '/');
	if (slash != NULL)
		slash[slash == copy] = '\0';
	fd = open(
	    slash == NULL ? "." : copy, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (fd < 0 || fsync(fd) != 0)
		st = wal_io_error(e, "sync the parent of", dir);
	if (fd >= 0)
		close(fd);
	talloc_free(copy);
	return st;
}

/* Returns the replica id listed for this instance, or 0 if there is none. */
static uint64_t
find_founder_replica(const struct wal_init *in)
{
	size_t i;

	for (i = 0; i < in->nmembers; i++) {
		if (in->members[i].instance == in->instance)
			return in->members[i].replica;
	}
	return 0;
}

/*
 * Initialises a data directory for the first member of a new group, one of
 * several founding members, or a replica that is added to a group later. The
 * replica id is random unless the member list names it. The file "replica" is
 * written last and marks the directory as complete. Returns STATUS_EXISTS if
 * it is complete already.
 */
enum status
wal_init_dir(const char *dir, const struct wal_init *in, struct err *e)
{
	struct raft_member self = { 0 };
	struct wal_snapshot snap = { 0 };
	enum status st;
	uint32_t salt;
	int dirfd;

	if (mkdir(dir, DIR_MODE) != 0 && errno != EEXIST)
		return wal_io_error(e, "create", dir);
	st = sync_parent_dir(dir, e);
	if (st != STATUS_OK)
		return st;
	dirfd = open(dir, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (dirfd < 0)
		return wal_io_error(e, "open", dir);
	if (faccessat(dirfd, "replica", F_OK, 0) == 0) {
		close(dirfd);
		return err_set(e, STATUS_EXISTS,
		    "data directory: %s is already initialised", dir);
	}
	do {
		if (getrandom(&self.replica, sizeof(self.replica), 0) < 0 ||
		    getrandom(&salt, sizeof(salt), 0) < 0) {
			st = wal_io_error(e, "generate a replica id for", dir);
			close(dirfd);
			return st;
		}
	} while (self.replica == 0);
	self.instance = in->instance;
	self.domain = in->domain;
	self.voter = true;
	snap.members = &self;
	snap.nmembers = in->join ? 0 : 1;
	if (in->nmembers > 0) {
		snap.members = in->members;
		snap.nmembers = in->nmembers;
		self.replica = find_founder_replica(in);
	}
	st = wal_snapshot_file_write(&wal_io_system, dirfd, &snap, e);
	if (st == STATUS_OK)
		st = wal_segment_write(
		    &wal_io_system, dirfd, 1, 0, 0, salt, 0, 0, e);
	if (st == STATUS_OK)
		st = wal_identity_save(
		    &wal_io_system, dirfd, self.replica, 0, e);
	close(dirfd);
	return st;
}
