#include "cli/cmd.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "base/log.h"
#include "cli/check_config.h"
#include "cli/cls.h"
#include "cli/evac.h"
#include "cli/explain.h"
#include "cli/settings.h"
#include "cli/show.h"
#include "cli/trace.h"
#include "node/core.h"
#include "node/gate.h"
#include "platform/pf.h"

#define NELEM(a)	(sizeof(a) / sizeof((a)[0]))
#define CHANGE_ID_BYTES 16
#define BYTES_PER_MIB	(1024 * 1024)
#define TASKS_MAX	1000000
#define TRACE_FILES_MAX 1000

/* Prints an error and returns code. */
static int
print_error(int code, const struct err *e)
{
	fprintf(stderr, "cicadabay: %s: %s\n", status_name(e->status), e->msg);
	return code;
}

/* Returns the exit code for a status. */
static int
exit_code(enum status st)
{
	switch (st) {
	case STATUS_OK:
		return EXIT_DONE;
	case STATUS_UNKNOWN:
	case STATUS_TIMEOUT:
		return EXIT_UNKNOWN;
	case STATUS_UNAVAILABLE:
		return EXIT_UNREACHABLE;
	default:
		return EXIT_REFUSED;
	}
}

/* Returns the status that a reply names, else one for its HTTP status. */
static enum status
get_reply_status(const struct http_reply *r)
{
	const char *name = show_member_text(r->body, "status", NULL);
	int i;

	for (i = 0; name != NULL && i < STATUS_COUNT; i++) {
		if (strcmp(status_name((enum status)i), name) == 0)
			return (enum status)i;
	}
	return r->code >= 200 && r->code < 300 ? STATUS_OK : STATUS_REFUSED;
}

/*
 * Sends a request to the instances and prints an error if it fails or is
 * refused. Returns the exit code of the command. resend: the next instance
 * may be tried after a lost answer.
 */
static int
call_instances(const struct cmd_options *opt, TALLOC_CTX *ctx,
    const char *method, const char *path, const char *body, bool resend,
    struct http_reply *r)
{
	struct http_client c = { opt->instances, opt->timeout_ms };
	struct err e;
	enum status st;

	err_clear(&e);
	st = http_call(&c, ctx, method, path, body, resend, r, &e);
	if (st != STATUS_OK)
		return print_error(exit_code(st), &e);
	st = get_reply_status(r);
	if (st != STATUS_OK) {
		if (opt->json)
			printf("%s\n", r->text);
		err_set(&e, st, "%s",
		    show_member_text(r->body, "message", r->text));
		return print_error(exit_code(st), &e);
	}
	return EXIT_DONE;
}

/* Returns the change id of the command line, else a random one. */
static char *
new_change_id(TALLOC_CTX *ctx, const struct cmd_options *opt)
{
	unsigned char raw[CHANGE_ID_BYTES];
	char *id;
	size_t i;

	if (opt->change_id != NULL)
		return talloc_strdup(ctx, opt->change_id);
	if (getrandom(raw, sizeof(raw), 0) != (ssize_t)sizeof(raw))
		abort();
	id = talloc_strdup(ctx, "");
	for (i = 0; i < sizeof(raw); i++)
		id = talloc_asprintf_append(id, "%02x", raw[i]);
	return id;
}

/*
 * If the outcome of a change is unknown, prints the change id with which it
 * can be sent again without applying it twice. Returns code.
 */
static int
suggest_resend(int code, const char *change_id)
{
	if (code == EXIT_UNKNOWN || code == EXIT_UNREACHABLE)
		fprintf(stderr,
		    "cicadabay: send it again with --change-id %s "
		    "to learn the outcome without a second change\n",
		    change_id);
	return code;
}

/*
 * Runs a command that is a single read or deletion. Both are idempotent, so
 * they are sent to the next instance after a lost answer.
 */
static int
run_request(const struct cmd *cmd, const struct cmd_options *opt, char **args)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct http_reply r;
	char *path;
	int code;

	if (args[0] == NULL)
		path = talloc_strdup(ctx, cmd->path);
	else
		path = talloc_asprintf(
		    ctx, "%s%s%s", cmd->prefix, args[0], cmd->suffix);
	code = call_instances(opt, ctx, cmd->method, path, NULL, true, &r);
	if (code == EXIT_DONE)
		show_body(cmd, r.body, opt->json);
	http_reply_finish(&r);
	talloc_free(ctx);
	return code;
}

/* Tells why a job waits. A job of the job scheduler has an id of 16 digits, and
 * a replica's control address knows of it. */
static int
run_why(const struct cmd *cmd, const struct cmd_options *opt, char **args)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	bool is_scheduled = pf_why_path(ctx, args[0]) != NULL;

	talloc_free(ctx);
	return is_scheduled ? evac_run_why(cmd, opt, args)
			    : run_request(cmd, opt, args);
}

/* Asks for the current version of the configuration. */
static int
fetch_version(const struct cmd_options *opt, TALLOC_CTX *ctx, int64_t *v)
{
	struct http_reply r;
	int code =
	    call_instances(opt, ctx, "GET", "/v1/classes", NULL, true, &r);

	if (code == EXIT_DONE)
		*v =
		    strtoll(show_member_text(r.body, "version", "0"), NULL, 10);
	http_reply_finish(&r);
	return code;
}

/* Replaces the configuration by that of a class file. */
static int
run_apply(const struct cmd *cmd, const struct cmd_options *opt, char **args)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	char *id = new_change_id(ctx, opt);
	int64_t version = opt->version;
	struct http_reply r = { 0 };
	struct cls_file *file;
	int code = EXIT_DONE;
	struct err e;

	err_clear(&e);
	file = cls_load(ctx, args[0], &e);
	if (file == NULL) {
		code = print_error(EXIT_REFUSED, &e);
		goto out;
	}
	if (version < 0)
		code = fetch_version(opt, ctx, &version);
	if (code != EXIT_DONE)
		goto out;
	code = suggest_resend(
	    call_instances(opt, ctx, "PUT", "/v1/classes",
		cls_to_json(ctx, file, id, (uint64_t)version), true, &r),
	    id);
	if (code == EXIT_DONE)
		show_body(cmd, r.body, opt->json);
out:
	http_reply_finish(&r);
	talloc_free(ctx);
	return code;
}

/* Parses the value of an option as the settings parser parses that of a key. */
static enum status
parse_option_value(
    const struct ini_field *f, const char *text, int64_t *out, struct err *e)
{
	const struct ini_group group = { "option", f, 1, NULL, 0 };
	char *file = talloc_asprintf(NULL, "[option]\n%s = %s\n", f->key, text);
	struct ini *ini =
	    ini_parse(file, "command line", str_from(file), &group, 1, e);
	enum status st =
	    ini == NULL ? e->status : ini_decode(ini, file, &group, 0, out, e);

	talloc_free(file);
	return st;
}

/* Formats the JSON body of a job submission from the options. */
static enum status
build_submit_body(const struct cmd_options *opt, const char *id, char **out,
    TALLOC_CTX *ctx, struct err *e)
{
	static const struct ini_field memory = { "memory", INI_SIZE, 0, NULL, 0,
		INT64_MAX, "a size" };
	static const struct ini_field run_time = { "run-time", INI_DURATION, 0,
		NULL, 0, INT64_MAX, "a duration" };
	struct json_object *o, *spec;
	int64_t bytes = 0, run_ms = 0;

	if (opt->class_name == NULL || opt->cpu <= 0 || opt->tasks < 1 ||
	    opt->tasks > TASKS_MAX || opt->memory == NULL)
		return err_set(e, STATUS_INVALID,
		    "submit needs --class, --cpu above 0, --memory, and "
		    "--tasks from 1 to %d",
		    TASKS_MAX);
	if (parse_option_value(&memory, opt->memory, &bytes, e) != STATUS_OK)
		return e->status;
	if (opt->run_time != NULL &&
	    parse_option_value(&run_time, opt->run_time, &run_ms, e) !=
		STATUS_OK)
		return e->status;
	o = json_object_new_object();
	spec = json_object_new_object();
	json_object_object_add(o, "change_id", json_object_new_string(id));
	json_object_object_add(o, "spec", spec);
	json_object_object_add(
	    spec, "class_name", json_object_new_string(opt->class_name));
	json_object_object_add(spec, "tasks", json_object_new_int(opt->tasks));
	json_object_object_add(spec, "cpu_milli",
	    json_object_new_int64((int64_t)(opt->cpu * 1000 + 0.5)));
	json_object_object_add(spec, "mem_mb",
	    json_object_new_int64((bytes + BYTES_PER_MIB - 1) / BYTES_PER_MIB));
	json_object_object_add(
	    spec, "accel", json_object_new_int(opt->accelerators));
	json_object_object_add(
	    spec, "gang", json_object_new_boolean(opt->gang));
	if (run_ms > 0)
		json_object_object_add(
		    spec, "run_ms", json_object_new_int64(run_ms));
	if (opt->payload != NULL)
		json_object_object_add(
		    spec, "payload", json_object_new_string(opt->payload));
	*out = talloc_strdup(ctx, json_object_to_json_string(o));
	json_object_put(o);
	return STATUS_OK;
}

/* Submits a job. */
static int
run_submit(const struct cmd *cmd, const struct cmd_options *opt, char **args)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	char *id = new_change_id(ctx, opt), *body = NULL;
	struct http_reply r = { 0 };
	struct err e;
	int code;

	(void)args;
	err_clear(&e);
	if (build_submit_body(opt, id, &body, ctx, &e) != STATUS_OK) {
		code = print_error(EXIT_USAGE, &e);
	} else {
		code = suggest_resend(call_instances(opt, ctx, "POST",
					  "/v1/jobs", body, true, &r),
		    id);
		if (code == EXIT_DONE)
			show_body(cmd, r.body, opt->json);
	}
	http_reply_finish(&r);
	talloc_free(ctx);
	return code;
}

/*
 * Drains the named worker or, without a name, stops the first instance. Only
 * the former is idempotent and sent to the next instance after a lost
 * answer.
 */
static int
run_drain(const struct cmd *cmd, const struct cmd_options *opt, char **args)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct json_object *body = json_object_new_object();
	struct http_reply r;
	int code;

	if (args[0] != NULL)
		json_object_object_add(
		    body, "worker", json_object_new_string(args[0]));
	code = call_instances(opt, ctx, "POST", "/v1/drain",
	    json_object_to_json_string(body), args[0] != NULL, &r);
	if (code == EXIT_DONE)
		show_body(cmd, r.body, opt->json);
	json_object_put(body);
	http_reply_finish(&r);
	talloc_free(ctx);
	return code;
}

/* Loads the settings file and sets the log level. Returns an exit code. */
static int
load_settings(const struct cmd_options *opt, char **args, struct settings *s,
    TALLOC_CTX *ctx)
{
	const char *file = opt->config != NULL ? opt->config : args[0];
	struct err e;

	err_clear(&e);
	if (file == NULL) {
		err_set(&e, STATUS_INVALID,
		    "no settings file given; expected -c FILE.ini");
		return print_error(EXIT_USAGE, &e);
	}
	if (settings_load(ctx, file, s, &e) != STATUS_OK)
		return print_error(EXIT_REFUSED, &e);
	log_set_level(s->log_level);
	return EXIT_DONE;
}

/* Runs an instance until it is told to stop. */
static int
run_serve(const struct cmd *cmd, const struct cmd_options *opt, char **args)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct settings s;
	struct err e;
	int code = load_settings(opt, args, &s, ctx);

	(void)cmd;
	err_clear(&e);
	if (code == EXIT_DONE && node_run(&s.node, &e) != 0)
		code = print_error(EXIT_REFUSED, &e);
	talloc_free(ctx);
	return code;
}

/* Creates the first replica of a group. */
static int
run_init(const struct cmd *cmd, const struct cmd_options *opt, char **args)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct settings s;
	struct err e;
	int code = load_settings(opt, args, &s, ctx);

	(void)cmd;
	err_clear(&e);
	if (code == EXIT_DONE && node_init_group(&s.node, &e) != STATUS_OK)
		code = print_error(EXIT_REFUSED, &e);
	talloc_free(ctx);
	return code;
}

/* Checks a settings file. */
static int
run_check(const struct cmd *cmd, const struct cmd_options *opt, char **args)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct settings s;
	int code = load_settings(opt, args, &s, ctx);

	(void)cmd;
	if (code == EXIT_DONE)
		printf("settings are valid\n");
	talloc_free(ctx);
	return code;
}

/* Prints the table of all settings. */
static int
run_settings(const struct cmd *cmd, const struct cmd_options *opt, char **args)
{
	char *t = settings_format_table(NULL);

	(void)cmd;
	(void)opt;
	(void)args;
	fputs(t, stdout);
	talloc_free(t);
	return EXIT_DONE;
}

/* Prints the table of all counters. */
static int
run_explain(const struct cmd *cmd, const struct cmd_options *opt, char **args)
{
	char *t = explain_counters(NULL);

	(void)cmd;
	(void)opt;
	(void)args;
	fputs(t, stdout);
	talloc_free(t);
	return EXIT_DONE;
}

static const char *const class_columns[] = { "name", "urgent", "percentile_x10",
	"bound_ms", "timeout_ms", "finish_per_hour", "team", NULL };
static const char *const instance_columns[] = { "instance", "domain", "replica",
	"config_version", "beat_age_ms", "draining", NULL };
static const char *const worker_columns[] = { "name", "epoch", "addr", "slots",
	"cpu_milli", "mem_mb", "accel", "rack", "domain", "tasks", "draining",
	"quarantined", NULL };
static const char *const job_columns[] = { "id", "state", "pending", "running",
	"done", "failed", "evictions", "reason", NULL };
static const char *const status_columns[] = { "name", "attained_x1000_1m",
	"attained_x1000_10m", "requests", "late", "batch_done", "at_risk",
	"reason", NULL };
static const char *const member_columns[] = { "replica", "instance", "voter",
	"domain", NULL };

/* Runs one of the daemons of the job scheduler with its settings file. */
static int
run_daemon(const struct cmd_options *opt,
    int (*run)(const struct inst *, struct err *))
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct inst inst;
	struct err e;
	int level, code = EXIT_USAGE;

	err_clear(&e);
	if (opt->config == NULL) {
		fprintf(stderr,
		    "cicadabay: no settings file given; expected -c "
		    "FILE.ini\n");
	} else if (inst_load(ctx, opt->config, &inst, &e) != STATUS_OK) {
		code = print_error(EXIT_REFUSED, &e);
	} else {
		if (log_level_parse(str_cstr(ctx, inst.log_level), &level))
			log_set_level(level);
		code = run(&inst, &e);
		if (code != 0)
			code = print_error(EXIT_REFUSED, &e);
	}
	talloc_free(ctx);
	return code;
}

/* Runs an entry instance of the job scheduler. */
static int
run_gate(const struct cmd *cmd, const struct cmd_options *opt, char **args)
{
	return run_daemon(opt, gate_run);
}

/* Runs a replica of the job scheduler. */
static int
run_core(const struct cmd *cmd, const struct cmd_options *opt, char **args)
{
	return run_daemon(opt, core_run);
}

const struct cmd cmds[] = {
	{ .name = "serve",
	    .args = "-c FILE.ini",
	    .run = run_serve,
	    .help = "run an entry instance until SIGTERM" },
	{ .name = "init",
	    .args = "-c FILE.ini",
	    .run = run_init,
	    .help = "create the group's first replica; once per group" },
	{ .name = "gate",
	    .args = "-c FILE.ini",
	    .run = run_gate,
	    .help = "run an entry instance of the job scheduler" },
	{ .name = "core",
	    .args = "-c FILE.ini",
	    .run = run_core,
	    .help = "run a replica of the job scheduler" },
	{ .name = "trace",
	    .args = "JOB [LOGFILE...]",
	    .min_args = 1,
	    .max_args = TRACE_FILES_MAX,
	    .run = trace_run,
	    .help = "print a job's log lines in order, from files or standard "
		    "input" },
	{ .name = "check",
	    .args = "FILE.ini",
	    .max_args = 1,
	    .run = run_check,
	    .help = "check a settings file" },
	{ .name = "check-config",
	    .args = "CONFIG.json [--compare -i IP:PORT]",
	    .min_args = 1,
	    .max_args = 1,
	    .run = check_config_run,
	    .help = "check a configuration of the job scheduler before it is "
		    "sent" },
	{ .name = "settings",
	    .args = "",
	    .run = run_settings,
	    .help = "list all settings with their defaults and meanings" },
	{ .name = "apply",
	    .args = "CLASSES.ini",
	    .min_args = 1,
	    .max_args = 1,
	    .run = run_apply,
	    .help = "replace all classes and teams" },
	{ .name = "classes",
	    .args = "",
	    .run = run_request,
	    .method = "GET",
	    .path = "/v1/classes",
	    .list = "classes",
	    .columns = class_columns,
	    .help = "show classes and their targets" },
	{ .name = "instances",
	    .args = "",
	    .run = run_request,
	    .method = "GET",
	    .path = "/v1/instances",
	    .list = "instances",
	    .columns = instance_columns,
	    .help = "show entry instances" },
	{ .name = "workers",
	    .args = "",
	    .run = run_request,
	    .method = "GET",
	    .path = "/v1/workers",
	    .list = "workers",
	    .columns = worker_columns,
	    .help = "show workers" },
	{ .name = "jobs",
	    .args = "",
	    .run = run_request,
	    .method = "GET",
	    .path = "/v1/jobs",
	    .list = "jobs",
	    .columns = job_columns,
	    .help = "show jobs" },
	{ .name = "submit",
	    .run = run_submit,
	    .args = "--class NAME --cpu N --memory SIZE [--tasks N]",
	    .help = "submit a job" },
	{ .name = "cancel",
	    .args = "JOB",
	    .min_args = 1,
	    .max_args = 1,
	    .run = run_request,
	    .method = "DELETE",
	    .prefix = "/v1/jobs/",
	    .suffix = "",
	    .help = "cancel a job" },
	{ .name = "why",
	    .args = "JOB",
	    .min_args = 1,
	    .max_args = 1,
	    .run = run_why,
	    .method = "GET",
	    .prefix = "/v1/jobs/",
	    .suffix = "/why",
	    .list = "text",
	    .help = "tell why a job waits or where it runs" },
	{ .name = "status",
	    .args = "",
	    .run = run_request,
	    .method = "GET",
	    .path = "/v1/status",
	    .list = "classes",
	    .columns = status_columns,
	    .help = "show the leader and how classes meet their targets" },
	{ .name = "drain",
	    .args = "[WORKER]",
	    .max_args = 1,
	    .run = run_drain,
	    .help = "drain a worker, or stop the first instance gracefully" },
	{ .name = "counters",
	    .args = "",
	    .run = run_request,
	    .method = "GET",
	    .path = "/v1/counters",
	    .help = "show an instance's counters" },
	{ .name = "explain",
	    .args = "",
	    .run = run_explain,
	    .help = "list all counters with their meanings" },
	{ .name = "members",
	    .args = "",
	    .run = run_request,
	    .method = "GET",
	    .path = "/v1/members",
	    .list = "members",
	    .columns = member_columns,
	    .help = "show the group's replicas" },
	{ .name = "remove-member",
	    .args = "REPLICA",
	    .min_args = 1,
	    .max_args = 1,
	    .run = run_request,
	    .method = "DELETE",
	    .prefix = "/v1/members/",
	    .suffix = "",
	    .help = "remove a lost replica from the group" },
	{ .name = "evacuate",
	    .args = "DOMAIN [--end]",
	    .min_args = 1,
	    .max_args = 1,
	    .run = evac_run_order,
	    .help = "start nothing new on the workers of a failure domain" },
	{ .name = "evacuations",
	    .args = "",
	    .run = evac_run_list,
	    .list = "evacuations",
	    .columns = evac_columns,
	    .help = "show the failure domains under evacuation" },
};
const size_t ncmds = NELEM(cmds);

/* Returns the command with a name; NULL if there is none. */
const struct cmd *
cmd_find(const char *name)
{
	size_t i;

	for (i = 0; i < ncmds; i++) {
		if (strcmp(cmds[i].name, name) == 0)
			return &cmds[i];
	}
	return NULL;
}
