/* Status codes, and errors with a status and a message. */
#ifndef BASE_ERR_H
#define BASE_ERR_H

#include <sys/cdefs.h>
#include <stddef.h>

__BEGIN_DECLS

#define ERR_MSG_MAX 256

enum status {
	STATUS_OK,
	STATUS_INVALID, /* malformed or out of range */
	STATUS_NOT_FOUND,
	STATUS_CONFLICT, /* compare-and-set on a superseded version */
	STATUS_EXISTS,
	STATUS_NOT_LEADER,
	STATUS_UNAVAILABLE, /* no quorum, or no instance reachable */
	STATUS_TIMEOUT,
	STATUS_STALE,	/* older epoch, term or version */
	STATUS_REFUSED, /* by policy: quota, admission, membership */
	STATUS_FULL,	/* queue, budget or disk */
	STATUS_CORRUPT, /* checksum or structure of stored data */
	STATUS_IO,
	STATUS_PROTOCOL, /* invalid frame or wrong peer */
	STATUS_LIMIT,	 /* larger than a fixed limit */
	STATUS_UNKNOWN,	 /* the outcome cannot be known */
	STATUS_COUNT
};

struct err {
	enum status status;
	char msg[ERR_MSG_MAX];
};

const char *status_name(enum status);
void err_clear(struct err *);
/* Sets status and message; e may be NULL. Returns the status. */
enum status err_set(struct err *e, enum status, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
/* Like err_set with ": strerror(errno)" appended. */
enum status err_errno(struct err *e, enum status, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

__END_DECLS

#endif
