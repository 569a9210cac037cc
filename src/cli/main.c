#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/cmd.h"

#define DEFAULT_INSTANCE   "127.0.0.1:8080"
#define DEFAULT_TIMEOUT_MS 10000
#define INSTANCES_ENV	   "CICADABAY_INSTANCES"

/* Formats the list of commands; the caller frees it. */
static char *
format_command_list(void)
{
	GString *s = g_string_new("Commands:\n");
	size_t i;

	for (i = 0; i < ncmds; i++)
		g_string_append_printf(
		    s, "  %-14s %s\n", cmds[i].name, cmds[i].help);
	g_string_append(s,
	    "\nExit codes: 0 done, 1 refused, 2 usage, "
	    "3 no instance reachable, 4 outcome unknown.\n"
	    "Instances are taken from --instance, then from " INSTANCES_ENV
	    " (separated by commas).\n");
	return g_string_free(s, FALSE);
}

/* Prints an error and the usage. Returns the exit code for it. */
static int
print_usage(const char *what, const char *name)
{
	char *list = format_command_list();

	fprintf(stderr,
	    "cicadabay: %s%s\nusage: cicadabay COMMAND [OPTION...]"
	    "\n\n%s",
	    what, name, list);
	g_free(list);
	return EXIT_USAGE;
}

/*
 * Takes the instances from the environment, else the local one, unless
 * options name any.
 */
static void
set_default_instances(struct cmd_options *opt)
{
	const char *env = g_getenv(INSTANCES_ENV);

	if (opt->instances != NULL)
		return;
	opt->instances = g_strsplit(
	    env != NULL && *env != '\0' ? env : DEFAULT_INSTANCE, ",", -1);
}

/* Parses the options of a command and runs it. Returns the exit code. */
static int
parse_and_run(const struct cmd *cmd, int argc, char **argv)
{
	struct cmd_options opt = {
		.version = -1, .tasks = 1, .timeout_ms = DEFAULT_TIMEOUT_MS
	};
	const GOptionEntry entries[] = {
		{ "config", 'c', 0, G_OPTION_ARG_FILENAME, &opt.config,
		    "settings file of the daemon", "FILE" },
		{ "instance", 'i', 0, G_OPTION_ARG_STRING_ARRAY, &opt.instances,
		    "instance to ask; may be repeated", "IP:PORT" },
		{ "json", 0, 0, G_OPTION_ARG_NONE, &opt.json,
		    "print the answer as JSON", NULL },
		{ "compare", 0, 0, G_OPTION_ARG_NONE, &opt.compare,
		    "check-config: compare with the version in force", NULL },
		{ "timeout-ms", 0, 0, G_OPTION_ARG_INT, &opt.timeout_ms,
		    "longest wait for one instance", "MS" },
		{ "change-id", 0, 0, G_OPTION_ARG_STRING, &opt.change_id,
		    "id of the change, to send it again safely", "ID" },
		{ "version", 0, 0, G_OPTION_ARG_INT64, &opt.version,
		    "apply: version that the change replaces", "N" },
		{ "class", 0, 0, G_OPTION_ARG_STRING, &opt.class_name,
		    "submit: class of the job", "NAME" },
		{ "tasks", 0, 0, G_OPTION_ARG_INT, &opt.tasks,
		    "submit: number of tasks", "N" },
		{ "cpu", 0, 0, G_OPTION_ARG_DOUBLE, &opt.cpu,
		    "submit: processors of a task", "N" },
		{ "memory", 0, 0, G_OPTION_ARG_STRING, &opt.memory,
		    "submit: memory of a task", "SIZE" },
		{ "accelerators", 0, 0, G_OPTION_ARG_INT, &opt.accelerators,
		    "submit: accelerators of a task", "N" },
		{ "gang", 0, 0, G_OPTION_ARG_NONE, &opt.gang,
		    "submit: start all tasks together or none", NULL },
		{ "run-time", 0, 0, G_OPTION_ARG_STRING, &opt.run_time,
		    "submit: expected run time of a task", "DURATION" },
		{ "payload", 0, 0, G_OPTION_ARG_STRING, &opt.payload,
		    "submit: text passed to the worker", "TEXT" },
		{ "end", 0, 0, G_OPTION_ARG_NONE, &opt.end,
		    "evacuate: withdraw the order", NULL },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	GOptionContext *ctx = g_option_context_new(cmd->args);
	char *summary = g_strdup_printf("%s: %s.", cmd->name, cmd->help);
	GError *ge = NULL;
	int code;

	g_option_context_set_summary(ctx, summary);
	g_option_context_add_main_entries(ctx, entries, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &ge)) {
		fprintf(stderr, "cicadabay: %s\n", ge->message);
		g_error_free(ge);
		code = EXIT_USAGE;
	} else if (argc - 1 < cmd->min_args || argc - 1 > cmd->max_args ||
	    opt.timeout_ms < 1) {
		fprintf(
		    stderr, "usage: cicadabay %s %s\n", cmd->name, cmd->args);
		code = EXIT_USAGE;
	} else {
		set_default_instances(&opt);
		code = cmd->run(cmd, &opt, argv + 1);
	}
	g_strfreev(opt.instances);
	g_free(opt.config);
	g_free(opt.change_id);
	g_free(opt.class_name);
	g_free(opt.memory);
	g_free(opt.run_time);
	g_free(opt.payload);
	g_free(summary);
	g_option_context_free(ctx);
	return code;
}

/* Runs the command that the first argument names. */
int
main(int argc, char **argv)
{
	const struct cmd *cmd;
	char *list;

	if (argc < 2)
		return print_usage("no command given", "");
	if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "help") == 0) {
		list = format_command_list();
		printf("usage: cicadabay COMMAND [OPTION...]\n\n%s", list);
		g_free(list);
		return EXIT_DONE;
	}
	cmd = cmd_find(argv[1]);
	if (cmd == NULL)
		return print_usage("unknown command ", argv[1]);
	return parse_and_run(cmd, argc - 1, argv + 1);
}
