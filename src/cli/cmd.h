/* Subcommands of the program, described by a table. */
#ifndef CLI_CMD_H
#define CLI_CMD_H

#include "cli/http.h"

__BEGIN_DECLS

/* Exit codes. */
enum {
	EXIT_DONE = 0,
	EXIT_REFUSED = 1, /* the reason has been printed */
	EXIT_USAGE = 2,
	EXIT_UNREACHABLE = 3, /* no instance answered */
	EXIT_UNKNOWN = 4      /* the outcome of a change is unknown */
};

struct cmd_options {
	char **instances;
	char *config; /* -c */
	char *change_id;
	char *class_name; /* submit */
	char *memory;
	char *run_time;
	char *payload;
	double cpu;
	int tasks;
	int accelerators;
	int gang;
	int json;
	int end;	 /* evacuate */
	int compare;	 /* check-config */
	int64_t version; /* that apply replaces; -1: the current one */
	int timeout_ms;
};

struct cmd {
	const char *name;
	const char *args; /* as shown in the usage line */
	const char *help;
	int min_args, max_args;
	int (*run)(const struct cmd *, const struct cmd_options *, char **args);
	/* Only for commands that are a single HTTP request. */
	const char *method;
	const char *path;   /* if there is no argument */
	const char *prefix; /* path before the argument, */
	const char *suffix; /* and after it */
	const char *list;   /* JSON member that holds the rows, or NULL */
	const char *const *columns; /* ends with NULL */
};

extern const struct cmd cmds[];
extern const size_t ncmds;

const struct cmd *cmd_find(const char *name);

__END_DECLS

#endif
