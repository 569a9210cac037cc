/*
 * Class files, in which operators state the targets of request classes and
 * the limits of teams. A file replaces the whole configuration. Weights, pins
 * and addresses are refused: targets are the only input.
 */
#ifndef CLI_CLS_H
#define CLI_CLS_H

#include "base/ini.h"

__BEGIN_DECLS

struct cls_class {
	struct str name;
	struct str kind;    /* "urgent" or "batch" */
	double percentile;  /* of answers; 0: no target for their time */
	int64_t bound_ms;   /* longest answer time at the percentile */
	int64_t timeout_ms; /* longest a request may take */
	int64_t finish_per_hour;
	struct str team;
};

struct cls_team {
	struct str name;
	double cpu;	      /* processors; 0: no limit */
	int64_t memory;	      /* bytes; 0: no limit */
	int64_t accelerators; /* -1: no limit */
};

struct cls_file {
	struct cls_class *classes;
	size_t nclasses;
	struct cls_team *teams;
	size_t nteams;
};

extern const struct ini_group cls_groups[];
extern const size_t cls_ngroups;

/* Reads and checks a class file; NULL with *e set if it is invalid. */
struct cls_file *cls_load(TALLOC_CTX *, const char *file, struct err *e);
struct cls_file *cls_parse(
    TALLOC_CTX *, const char *file, struct str text, struct err *e);
/* Formats the JSON body of PUT /v1/classes, owned by ctx. */
char *cls_to_json(TALLOC_CTX *ctx, const struct cls_file *,
    const char *change_id, uint64_t expected_version);

__END_DECLS

#endif
