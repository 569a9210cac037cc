/* The command check-config: checks a configuration before it is sent. */
#ifndef CLI_CHECK_CONFIG_H
#define CLI_CHECK_CONFIG_H

#include "cli/cmd.h"

__BEGIN_DECLS

/* Prints what is wrong with the configuration in a file and, with --compare,
 * what differs from the one in force at a replica. Returns EXIT_REFUSED if
 * there are errors. */
int check_config_run(
    const struct cmd *, const struct cmd_options *, char **args);

__END_DECLS

#endif
