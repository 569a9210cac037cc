/* Commands about evacuations of failure domains and waiting jobs, sent to the
 * control address of a replica of the job scheduler. */
#ifndef CLI_EVAC_H
#define CLI_EVAC_H

#include "cli/cmd.h"

__BEGIN_DECLS

extern const char *const evac_columns[];

/* Orders that nothing new starts in a failure domain, or withdraws that. */
int evac_run_order(const struct cmd *, const struct cmd_options *, char **args);
/* Tells why a job waits, whose id has 16 hexadecimal digits. */
int evac_run_why(const struct cmd *, const struct cmd_options *, char **args);
/* Lists the evacuations in effect. */
int evac_run_list(const struct cmd *, const struct cmd_options *, char **args);

__END_DECLS

#endif
