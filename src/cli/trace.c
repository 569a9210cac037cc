#include "cli/trace.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define TIMESTAMP_LEN 24 /* 2026-12-04T08:14:33.300Z */

struct line {
	char *text;
	const char *timestamp;
};

/* Finds the timestamp; a log collector may have put text before it. */
static const char *
find_timestamp(const char *text)
{
	const char *p;

	for (p = strchr(text, 'T'); p != NULL; p = strchr(p + 1, 'T')) {
		if (p - text >= 10 && strlen(p) > TIMESTAMP_LEN - 10 &&
		    p[-3] == '-' && p[-6] == '-' && p[3] == ':' && p[13] == 'Z')
			return p - 10;
	}
	return NULL;
}

/* Reads the lines of a file; those without a timestamp are skipped. */
static void
read_lines(FILE *f, GArray *out)
{
	char buf[4096];
	struct line l;

	while (fgets(buf, sizeof(buf), f) != NULL) {
		buf[strcspn(buf, "\n")] = '\0';
		l.text = g_strdup(buf);
		l.timestamp = find_timestamp(l.text);
		if (l.timestamp == NULL)
			g_free(l.text);
		else
			g_array_append_val(out, l);
	}
}

/* Orders lines by time. */
static gint
cmp_line(gconstpointer a, gconstpointer b)
{
	return strncmp(((const struct line *)a)->timestamp,
	    ((const struct line *)b)->timestamp, TIMESTAMP_LEN);
}

/* Returns a copy of the value after key, such as "worker="; NULL if missing. */
static char *
find_value(const char *text, const char *key)
{
	const char *p = strstr(text, key);

	if (p == NULL)
		return NULL;
	p += strlen(key);
	return g_strndup(p, strcspn(p, " "));
}

/* Returns the set of workers that the lines of a job name. */
static GHashTable *
collect_workers(const GArray *lines, const char *id)
{
	GHashTable *set =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	guint i;

	for (i = 0; i < lines->len; i++) {
		const char *t = g_array_index(lines, struct line, i).text;
		char *w =
		    strstr(t, id) == NULL ? NULL : find_value(t, "worker=");

		if (w != NULL)
			g_hash_table_add(set, w);
	}
	return set;
}

/*
 * Returns true for lines about the state of the job's workers or about a
 * change of the leader: they explain what the job's own lines only show.
 */
static bool
is_context_line(const char *text, GHashTable *workers)
{
	char *w;
	bool is_worker_of_job;

	if (strstr(text, "event=lead ") != NULL ||
	    strstr(text, "event=leader_lost") != NULL)
		return true;
	if (strstr(text, "event=worker_") == NULL)
		return false;
	w = find_value(text, "worker=");
	is_worker_of_job = w != NULL && g_hash_table_contains(workers, w);
	g_free(w);
	return is_worker_of_job;
}

/*
 * Prints the lines of a job and those that give context. Returns the exit
 * code.
 */
static int
print_trace(const GArray *lines, const char *id)
{
	GHashTable *workers = collect_workers(lines, id);
	guint i, found = 0;

	for (i = 0; i < lines->len; i++) {
		const char *t = g_array_index(lines, struct line, i).text;
		bool names_job = strstr(t, id) != NULL;

		found += names_job;
		if (names_job || is_context_line(t, workers))
			printf("%c %s\n", names_job ? ' ' : '-', t);
	}
	g_hash_table_destroy(workers);
	if (found > 0)
		return EXIT_DONE;
	fprintf(stderr, "cicadabay: no log line mentions %s\n", id);
	return EXIT_REFUSED;
}

/*
 * Prints all lines of a job in the order of their times. Lines marked "-"
 * are context: they are about its workers or about changes of the leader.
 */
int
trace_run(const struct cmd *cmd, const struct cmd_options *opt, char **args)
{
	GArray *lines = g_array_new(FALSE, FALSE, sizeof(struct line));
	int code = EXIT_DONE, i;
	guint k;
	FILE *f;

	if (args[1] == NULL)
		read_lines(stdin, lines);
	for (i = 1; args[i] != NULL && code == EXIT_DONE; i++) {
		f = fopen(args[i], "re");
		if (f == NULL) {
			perror(args[i]);
			code = EXIT_USAGE;
			break;
		}
		read_lines(f, lines);
		fclose(f);
	}
	if (code == EXIT_DONE) {
		g_array_sort(lines, cmp_line);
		code = print_trace(lines, args[0]);
	}
	for (k = 0; k < lines->len; k++)
		g_free(g_array_index(lines, struct line, k).text);
	g_array_free(lines, TRUE);
	return code;
}
