#include "base/log.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_MAX_BYTES 1024

static const char *const level_names[] = { "emerg", "alert", "crit", "err",
	"warning", "notice", "info", "debug" };
static int max_level = LOG_INFO;
static unsigned dropped; /* lines lost since the last lines_dropped event */

/* Sets the least important level that is still written. */
void
log_set_level(int level)
{
	__atomic_store_n(&max_level, level, __ATOMIC_RELAXED);
}

/* Returns true if lines of a level are written. */
bool
log_is_enabled(int level)
{
	return level <= __atomic_load_n(&max_level, __ATOMIC_RELAXED);
}

/*
 * Makes standard output non-blocking; lines that it doesn't accept are
 * dropped.
 */
void
log_set_nonblocking(void)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	if (flags >= 0)
		(void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

/*
 * Takes one line from the budget of the current second; false if it is used
 * up. Notices have a budget of their own: they are few, and the lines about
 * single tasks, of which a large deployment writes thousands, must not
 * displace them.
 */
static bool
take_from_budget(int level, time_t second)
{
	static time_t budget_second;
	static unsigned notices, others;
	unsigned *used = level <= LOG_NOTICE ? &notices : &others;

	if (level <= LOG_WARNING)
		return true;
	if (__atomic_load_n(&budget_second, __ATOMIC_RELAXED) != second) {
		__atomic_store_n(&budget_second, second, __ATOMIC_RELAXED);
		__atomic_store_n(&notices, 0, __ATOMIC_RELAXED);
		__atomic_store_n(&others, 0, __ATOMIC_RELAXED);
	}
	return __atomic_fetch_add(used, 1, __ATOMIC_RELAXED) < LOG_LINES_PER_S;
}

/* Writes a line, and before it the number of lines dropped since the last. */
static void
write_line(const char *line, size_t n)
{
	char note[96];
	unsigned lost = __atomic_exchange_n(&dropped, 0, __ATOMIC_RELAXED);
	int len;

	if (lost > 0) {
		len = snprintf(note, sizeof(note),
		    "%.24s notice log event=lines_dropped n=%u\n", line, lost);
		if (write(STDOUT_FILENO, note, (size_t)len) != len)
			__atomic_add_fetch(&dropped, lost, __ATOMIC_RELAXED);
	}
	if (write(STDOUT_FILENO, line, n) < 0)
		__atomic_add_fetch(&dropped, 1, __ATOMIC_RELAXED);
}

/* Finds a level by its name; false if there is none. */
bool
log_level_parse(const char *name, int *level)
{
	int i;

	for (i = 0; i <= LOG_DEBUG; i++) {
		if (strcmp(level_names[i], name) == 0) {
			*level = i;
			return true;
		}
	}
	return false;
}

/*
 * Writes one line with a single write(2), so that lines of different threads
 * don't mix. Control characters are replaced, so that untrusted input can't
 * forge a line.
 */
void
log_event(int level, const char *module, const char *fmt, ...)
{
	char line[LINE_MAX_BYTES];
	struct timespec ts;
	struct tm tm;
	size_t head, i, n;
	va_list ap;

	if (!log_is_enabled(level))
		return;
	clock_gettime(CLOCK_REALTIME, &ts);
	if (!take_from_budget(level, ts.tv_sec)) {
		__atomic_add_fetch(&dropped, 1, __ATOMIC_RELAXED);
		return;
	}
	gmtime_r(&ts.tv_sec, &tm);
	head = strftime(line, sizeof(line), "%Y-%m-%dT%H:%M:%S", &tm);
	head += (size_t)snprintf(line + head, sizeof(line) - head,
	    ".%03ldZ %s %s ", ts.tv_nsec / 1000000, level_names[level], module);
	va_start(ap, fmt);
	vsnprintf(line + head, sizeof(line) - head - 1, fmt, ap);
	va_end(ap);
	n = strlen(line);
	for (i = head; i < n; i++) {
		if ((unsigned char)line[i] < ' ')
			line[i] = '?';
	}
	line[n++] = '\n';
	write_line(line, n);
}
