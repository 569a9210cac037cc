/* Traces one job through the logs of all instances. */
#ifndef CLI_TRACE_H
#define CLI_TRACE_H

#include "cli/cmd.h"

__BEGIN_DECLS

/* args: the job's id, then log files, or none for standard input. */
int trace_run(const struct cmd *, const struct cmd_options *, char **args);

__END_DECLS

#endif
