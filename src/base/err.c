#include "base/err.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static const char *const status_names[STATUS_COUNT] = {
	[STATUS_OK] = "OK",
	[STATUS_INVALID] = "INVALID",
	[STATUS_NOT_FOUND] = "NOT_FOUND",
	[STATUS_CONFLICT] = "CONFLICT",
	[STATUS_EXISTS] = "EXISTS",
	[STATUS_NOT_LEADER] = "NOT_LEADER",
	[STATUS_UNAVAILABLE] = "UNAVAILABLE",
	[STATUS_TIMEOUT] = "TIMEOUT",
	[STATUS_STALE] = "STALE",
	[STATUS_REFUSED] = "REFUSED",
	[STATUS_FULL] = "FULL",
	[STATUS_CORRUPT] = "CORRUPT",
	[STATUS_IO] = "IO",
	[STATUS_PROTOCOL] = "PROTOCOL",
	[STATUS_LIMIT] = "LIMIT",
	[STATUS_UNKNOWN] = "UNKNOWN",
};

/* Returns the name of a status, as logs and JSON have it. */
const char *
status_name(enum status s)
{
	if ((unsigned)s >= STATUS_COUNT)
		return "UNKNOWN";
	return status_names[s];
}

/* Resets e to STATUS_OK with an empty message. */
void
err_clear(struct err *e)
{
	e->status = STATUS_OK;
	e->msg[0] = '\0';
}

/*
 * Stores a status and a formatted message in e, which may be NULL. Returns
 * the status.
 */
enum status
err_set(struct err *e, enum status s, const char *fmt, ...)
{
	va_list ap;

	if (e == NULL)
		return s;
	e->status = s;
	va_start(ap, fmt);
	vsnprintf(e->msg, sizeof(e->msg), fmt, ap);
	va_end(ap);
	return s;
}

/* Like err_set, with the text of errno appended to the message. */
enum status
err_errno(struct err *e, enum status s, const char *fmt, ...)
{
	int saved = errno;
	size_t n;
	va_list ap;

	if (e == NULL)
		return s;
	e->status = s;
	va_start(ap, fmt);
	vsnprintf(e->msg, sizeof(e->msg), fmt, ap);
	va_end(ap);
	n = strlen(e->msg);
	snprintf(e->msg + n, sizeof(e->msg) - n, ": %s", strerror(saved));
	return s;
}
