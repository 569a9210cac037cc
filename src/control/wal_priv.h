/* Internals of struct wal, shared by the wal*.c files only. */
#ifndef CONTROL_WAL_PRIV_H
#define CONTROL_WAL_PRIV_H

#include "control/wal.h"

#define WAL_NAME_MAX 32
/* The buffer is written to the segment above this size. */
#define WAL_BUF_FLUSH_BYTES (1024 * 1024)

/* Record: magic u16, type u8, 0 u8, length u32, CRC-32C u32, payload. */
#define WAL_REC_MAGIC	     0x5743U
#define WAL_REC_HEADER_BYTES 12U
#define WAL_REC_PAYLOAD_MAX  (4 * 1024 * 1024)

enum wal_rec_type {
	WAL_REC_SEGMENT = 1, /* number, base index, base term, salt */
	WAL_REC_ENTRY,	     /* index, term, kind, data */
	WAL_REC_HARD_STATE,  /* term, vote */
	WAL_REC_TRUNCATE,    /* first index removed */
	WAL_REC_SYNCED,	     /* length of the segment that is on disk */
	WAL_REC_END
};

struct wal_rec {
	enum wal_rec_type type;
	const uint8_t *p; /* payload */
	size_t len;
	size_t size; /* with header */
};

/* Consecutive entries of one term. A list of these gives any entry's term. */
struct wal_term_run {
	uint64_t first, term;
};

/* The newest generation seen of another replica. */
struct wal_peer {
	uint64_t replica, generation, incarnation;
};

struct wal_segment {
	uint64_t number;
	uint64_t base; /* index before its first entry */
};

struct wal {
	struct wal_io io;
	int dirfd, fd;
	/* The first failure, which is final; STATUS_OK: none. */
	enum status failed_status;
	struct err failed_err;
	uint64_t replica, generation, nsyncs;
	uint64_t term, voted_for;
	uint64_t base_index, base_term, last;
	struct wal_term_run *term_runs;
	size_t nterm_runs;
	struct wal_segment *segs; /* the last one is open */
	size_t nsegs;
	uint32_t salt; /* start value of the checksums of the open segment */
	size_t seg_bytes;
	int64_t file_bytes, synced_bytes; /* of the open segment */
	uint8_t *buf;
	size_t nbuf, capbuf;
	bool is_dirty; /* records were added since the last sync */
	uint64_t snap_index, snap_term;
	/* No part of this talloc tree, and not changed with the other fields:
	 * another thread may check peers while the log is written. */
	struct wal_peer *peers;
	size_t npeers;

	/* Read by wal_open, freed by wal_free_loaded. */
	TALLOC_CTX *read_ctx;
	struct raft_entry *entries;
	size_t nentries, capentries;
	struct wal_snapshot snap;
};

/* wal_rec.c */
void wal_put32(uint8_t *, uint32_t);
void wal_put64(uint8_t *, uint64_t);
uint32_t wal_get32(const uint8_t *);
uint64_t wal_get64(const uint8_t *);
size_t wal_rec_encode_header(uint8_t *head, enum wal_rec_type, uint32_t salt,
    const struct str *parts, size_t nparts);
bool wal_rec_decode(
    const uint8_t *p, size_t len, uint32_t salt, struct wal_rec *);
bool wal_rec_proves_synced(
    const uint8_t *p, size_t len, uint32_t salt, uint64_t length);

/* wal_file.c */
extern const struct wal_io wal_io_system;
enum status wal_io_error(struct err *, const char *what, const char *name);
enum status wal_write_all(const struct wal_io *, int fd, const void *, size_t);
enum status wal_file_replace(const struct wal_io *, int dirfd, const char *name,
    const struct str *parts, size_t nparts, struct err *);
enum status wal_file_read(
    TALLOC_CTX *, int dirfd, const char *name, struct str *, struct err *);
enum status wal_doc_save(const struct wal_io *, int dirfd, const char *name,
    const struct str *parts, size_t nparts, struct err *);
enum status wal_doc_load(TALLOC_CTX *, int dirfd, const char *name,
    struct str *payload, struct err *);
enum status wal_identity_save(const struct wal_io *, int dirfd,
    uint64_t replica, uint64_t generation, struct err *);
enum status wal_snapshot_file_write(const struct wal_io *, int dirfd,
    const struct wal_snapshot *, struct err *);
enum status wal_snapshot_file_read(
    TALLOC_CTX *, int dirfd, struct wal_snapshot *, struct err *);
enum status wal_segment_write(const struct wal_io *, int dirfd, uint64_t number,
    uint64_t base_index, uint64_t base_term, uint32_t salt, uint64_t term,
    uint64_t voted_for, struct err *);
void wal_segment_name(char name[WAL_NAME_MAX], uint64_t number);

/* wal_open.c */
struct wal_segment *wal_segment_add(struct wal *, uint64_t number);
void wal_record_entry(struct wal *, uint64_t index, uint64_t term);
void wal_record_truncation(struct wal *, uint64_t from);
uint64_t wal_term_at(const struct wal *, uint64_t index);
/* wal.c */
enum status wal_set_failed(struct wal *, struct err *, enum status);
uint32_t wal_salt(const struct wal *, uint64_t number);
enum status wal_segment_open(struct wal *, uint64_t number, struct err *);
enum status wal_remove_segments(struct wal *, size_t n, struct err *);
enum status wal_roll(
    struct wal *, uint64_t base_index, uint64_t base_term, struct err *);

#endif
