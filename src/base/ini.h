/*
 * Strict INI parser. Every group and key is checked against tables that
 * describe them, and the first error is reported with the file, group and key
 * and what was expected. GLib merges duplicates silently, so they are searched
 * for in the text itself.
 */
#ifndef BASE_INI_H
#define BASE_INI_H

#include "base/err.h"
#include "base/str.h"

__BEGIN_DECLS

#define INI_FILE_MAX (1024 * 1024)

enum ini_type {
	INI_STRING,   /* struct str */
	INI_INT,      /* int64_t */
	INI_BOOL,     /* bool; true or false */
	INI_DURATION, /* int64_t milliseconds; 250ms, 3s, 2m, 1h */
	INI_SIZE,     /* int64_t bytes; 64KiB, 16MiB, 2GiB, or plain bytes */
	INI_ADDR,     /* struct str; IPv4:port or [IPv6]:port */
	INI_DECIMAL,  /* double */
};

struct ini_field {
	const char *key;
	enum ini_type type;
	size_t offset;		  /* of the member in the destination struct */
	const char *default_text; /* default value; NULL: the key is required */
	int64_t min, max;	  /* for numbers, in the unit of the member */
	const char *help;
};

/* A key that is refused with its own message. */
struct ini_denied {
	const char *key;
	const char *reason;
};

struct ini_group {
	const char *name; /* "node"; "class *" stands for "[class NAME]" */
	const struct ini_field *fields;
	size_t nfields;
	const struct ini_denied *denied; /* may be NULL */
	size_t ndenied;
};

struct ini;

/* Parses text and checks all groups and keys; file is named in errors. */
struct ini *ini_parse(TALLOC_CTX *, const char *file, struct str text,
    const struct ini_group *, size_t ngroups, struct err *);
/* Reads a file of at most INI_FILE_MAX bytes; text->p is owned by ctx. */
enum status ini_read(
    TALLOC_CTX *, const char *file, struct str *text, struct err *);
struct ini *ini_load(TALLOC_CTX *, const char *file, const struct ini_group *,
    size_t ngroups, struct err *);
/* Return the number of matching groups, and the NAME part of the i-th in file
 * order. */
size_t ini_count(const struct ini *, const struct ini_group *);
struct str ini_group_name(
    const struct ini *, const struct ini_group *, size_t i);
/* Decodes the i-th matching group into dst; strings are owned by ctx. */
enum status ini_decode(const struct ini *, TALLOC_CTX *ctx,
    const struct ini_group *, size_t i, void *dst, struct err *);
bool ini_parse_addr(struct str, struct err *);

__END_DECLS

#endif
