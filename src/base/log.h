/*
 * One line per event on standard error: "level module key=value ...".
 * Levels are those of syslog.h.
 */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <sys/cdefs.h>
#include <stdbool.h>
#include <syslog.h>

__BEGIN_DECLS

void log_set_level(int level);
bool log_level_parse(const char *name, int *level);
/* fmt gives "event=... key=value ..."; values hold no secrets. */
void log_event(int level, const char *module, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

__END_DECLS

#endif
