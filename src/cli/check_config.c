#include "cli/check_config.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "job/jconf.h"
#include "node/front.h"
#include "node/gate.h"
#include "platform/pf.h"

/* Returns the name of a finding's level. */
static const char *
level_name(enum jconf_level level)
{
	switch (level) {
	case JCONF_ERROR:
		return "error";
	case JCONF_WARNING:
		return "warning";
	case JCONF_CHANGE:
		return "change";
	}
	return "";
}

/* Prints a report, a line a finding. */
static void
print_report(const struct jconf_report *r)
{
	size_t i;

	for (i = 0; i < r->n; i++)
		printf("%s: %s\n", level_name(r->v[i].level), r->v[i].text);
	if (r->n == 0)
		printf("no findings\n");
}

/* Adds what differs from the configuration in force at the first replica that
 * answers. */
static int
compare_with_replica(TALLOC_CTX *ctx, const struct cmd_options *opt,
    const Job__Config *c, struct jconf_report *report)
{
	struct http_client client = { opt->instances, opt->timeout_ms };
	struct http_reply reply;
	Job__Config in_force;
	int code = EXIT_DONE;
	struct err e;

	err_clear(&e);
	if (http_call(&client, ctx, "GET", pf_config_path(), NULL, true, &reply,
		&e) != STATUS_OK) {
		fprintf(stderr, "cicadabay: %s\n", e.msg);
		return EXIT_UNREACHABLE;
	}
	if (reply.code != 200) {
		fprintf(stderr,
		    "cicadabay: the replica has no configuration or no leader "
		    "(status %ld)\n",
		    reply.code);
		code = EXIT_UNREACHABLE;
	} else if (pf_decode_config(ctx, str_from(reply.text), &in_force, &e) !=
	    STATUS_OK) {
		fprintf(stderr,
		    "cicadabay: the configuration in force can't be read: %s\n",
		    e.msg);
		code = EXIT_UNREACHABLE;
	} else {
		jconf_compare(report, &in_force, c);
	}
	http_reply_finish(&reply);
	return code;
}

/* Checks the configuration in a text. */
static int
check_text(TALLOC_CTX *ctx, const struct cmd_options *opt, struct str text)
{
	static const struct jconf_bounds bounds = { GATE_BODY_MAX,
		FRONT_TARGET_MAX_BYTES };
	struct jconf_limits limits;
	struct jconf_report report;
	Job__Config c;
	struct err e;
	int code = EXIT_DONE;

	err_clear(&e);
	if (pf_decode_config(ctx, text, &c, &e) != STATUS_OK ||
	    pf_decode_limits(ctx, text, &limits, &e) != STATUS_OK) {
		printf("error: %s\n", e.msg);
		return EXIT_REFUSED;
	}
	jconf_report_init(&report, ctx);
	jconf_check(&report, &c, &limits, &bounds);
	if (opt->compare)
		code = compare_with_replica(ctx, opt, &c, &report);
	print_report(&report);
	return report.nerrors > 0 ? EXIT_REFUSED : code;
}

/* Checks the configuration in a file. */
int
check_config_run(
    const struct cmd *cmd, const struct cmd_options *opt, char **args)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	GError *ge = NULL;
	char *text = NULL;
	gsize len = 0;
	int code;

	(void)cmd;
	if (!g_file_get_contents(args[0], &text, &len, &ge)) {
		fprintf(stderr, "cicadabay: %s\n", ge->message);
		g_error_free(ge);
		code = EXIT_USAGE;
	} else {
		code = check_text(ctx, opt, str_mem(text, len));
	}
	g_free(text);
	talloc_free(ctx);
	return code;
}
