/*
 * One line per event on standard output: "time level module key=value ...".
 * Levels are those of syslog.h.
 */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <sys/cdefs.h>
#include <stdbool.h>
#include <syslog.h>

__BEGIN_DECLS

/* Lines beyond this are dropped and counted. Notices have one such budget and
 * less important lines another; warnings and worse are never dropped by it. */
#define LOG_LINES_PER_S 4000

void log_set_level(int level);
/* Lets callers skip work that only a log line needs. */
bool log_is_enabled(int level);
/* For daemons: a reader that stalls loses lines, but never blocks them. */
void log_set_nonblocking(void);
bool log_level_parse(const char *name, int *level);
/* fmt is "event=NAME key=value ..."; values must not contain secrets. */
void log_event(int level, const char *module, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

__END_DECLS

#endif
