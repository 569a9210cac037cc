/* Settings of the daemon: one strict INI file. */
#ifndef CLI_SET_H
#define CLI_SET_H

#include "base/ini.h"
#include "node/node.h"

__BEGIN_DECLS

struct set {
	struct node_conf node;
	int log_level; /* of syslog.h */
};

extern const struct ini_group set_groups[];
extern const size_t set_ngroups;

/* Reads and checks a settings file into s; strings are owned by ctx. */
enum status set_load(
    TALLOC_CTX *, const char *file, struct set *, struct err *);
enum status set_parse(TALLOC_CTX *, const char *file, struct str text,
    struct set *, struct err *);
/* The table of all settings as Markdown, for the operations page. */
char *set_table(TALLOC_CTX *);

__END_DECLS

#endif
