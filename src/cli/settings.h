/* Settings of the daemon, read from a strictly checked INI file. */
#ifndef CLI_SETTINGS_H
#define CLI_SETTINGS_H

#include "base/ini.h"
#include "node/node.h"

__BEGIN_DECLS

struct settings {
	struct node_conf node;
	int log_level; /* LOG_ERR to LOG_DEBUG of syslog.h */
};

extern const struct ini_group settings_groups[];
extern const size_t settings_ngroups;

/* Reads and checks a settings file; strings are owned by ctx. */
enum status settings_load(
    TALLOC_CTX *, const char *file, struct settings *, struct err *);
enum status settings_parse(TALLOC_CTX *, const char *file, struct str text,
    struct settings *, struct err *);
/* Returns the Markdown table of all settings of the operations page. */
char *settings_format_table(TALLOC_CTX *);

__END_DECLS

#endif
