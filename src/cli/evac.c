#include "cli/evac.h"

#include <stdio.h>

#include "cli/show.h"
#include "platform/pf.h"

const char *const evac_columns[] = { "domain", "since_ms", "runs", NULL };

/* HTTP status of a replica that can't tell whether an order has taken effect,
 * or has no leader. */
#define HTTP_UNAVAILABLE 503

/*
 * Sends a request to the instances in turn until one carries it out or refuses
 * it; both kinds of orders and the list may be sent again. Returns the exit
 * code; the reply is only set for EXIT_DONE.
 */
static int
send_to_any(const struct cmd_options *opt, TALLOC_CTX *ctx, const char *method,
    const char *path, struct http_reply *r)
{
	int code = EXIT_UNREACHABLE;
	enum status st;
	struct err e;
	size_t i;

	for (i = 0; opt->instances[i] != NULL; i++) {
		char *one[2] = { opt->instances[i], NULL };
		struct http_client c = { one, opt->timeout_ms };

		err_clear(&e);
		st = http_call(&c, ctx, method, path, NULL, true, r, &e);
		if (st == STATUS_OK && r->code >= 200 && r->code < 300)
			return EXIT_DONE;
		if (st == STATUS_OK) {
			err_set(&e, STATUS_REFUSED, "%s: HTTP status %ld",
			    opt->instances[i], r->code);
			http_reply_finish(r);
		}
		fprintf(stderr, "cicadabay: %s: %s\n", status_name(e.status),
		    e.msg);
		if (st == STATUS_OK && r->code != HTTP_UNAVAILABLE)
			return EXIT_REFUSED;
		if (st != STATUS_UNAVAILABLE)
			code = EXIT_UNKNOWN;
	}
	return code;
}

/* Orders that nothing new starts in a failure domain, or withdraws that. */
int
evac_run_order(
    const struct cmd *cmd, const struct cmd_options *opt, char **args)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct http_reply r;
	int code = send_to_any(
	    opt, ctx, "POST", pf_evacuation_path(ctx, args[0], !opt->end), &r);

	if (code == EXIT_DONE) {
		if (opt->json)
			printf("%s\n", r.text);
		http_reply_finish(&r);
	} else if (code == EXIT_UNKNOWN) {
		fprintf(
		    stderr, "cicadabay: the same command may be given again\n");
	}
	talloc_free(ctx);
	return code;
}

/* Tells why a job of the job scheduler waits. */
int
evac_run_why(const struct cmd *cmd, const struct cmd_options *opt, char **args)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct http_reply r;
	int code = send_to_any(opt, ctx, "GET", pf_why_path(ctx, args[0]), &r);

	if (code == EXIT_DONE) {
		show_body(cmd, r.body, opt->json);
		http_reply_finish(&r);
	}
	talloc_free(ctx);
	return code;
}

/* Lists the evacuations in effect. */
int
evac_run_list(const struct cmd *cmd, const struct cmd_options *opt, char **args)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct http_reply r;
	int code = send_to_any(opt, ctx, "GET", pf_evacuations_path(), &r);

	if (code == EXIT_DONE) {
		show_body(cmd, r.body, opt->json);
		http_reply_finish(&r);
	}
	talloc_free(ctx);
	return code;
}
