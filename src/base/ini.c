#include "base/ini.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PORT_MAX 65535

struct ini {
	const char *file;
	GKeyFile *key_file;
	char **names; /* of all groups, in file order */
	size_t ngroups;
};

/* A suffix of numbers and what they are multiplied by. */
struct unit {
	const char *name;
	int64_t factor;
};

static const struct unit duration_units[] = { { "ms", 1 }, { "s", 1000 },
	{ "m", 60 * 1000 }, { "h", 3600 * 1000 } };
static const struct unit size_units[] = { { "", 1 }, { "KiB", 1024 },
	{ "MiB", 1024 * 1024 }, { "GiB", 1024 * 1024 * 1024 } };

/* Destructor of talloc: frees what GLib has allocated. */
static int
destroy_ini(struct ini *ini)
{
	g_strfreev(ini->names);
	if (ini->key_file != NULL)
		g_key_file_free(ini->key_file);
	return 0;
}

/*
 * Returns true if a group of the file has the name that g describes; a name
 * that ends with " *" stands for any name after the space.
 */
static bool
group_matches(const struct ini_group *g, const char *name)
{
	size_t n = strlen(g->name);

	if (n > 2 && strcmp(g->name + n - 2, " *") == 0)
		return strncmp(g->name, name, n - 1) == 0 &&
		    name[n - 1] != '\0';
	return strcmp(g->name, name) == 0;
}

/* Returns the description of a group by its name in the file, or NULL. */
static const struct ini_group *
find_group(const struct ini_group *groups, size_t n, const char *name)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (group_matches(&groups[i], name))
			return &groups[i];
	}
	return NULL;
}

/* Returns the description of a key, or NULL. */
static const struct ini_field *
find_field(const struct ini_group *g, const char *key)
{
	size_t i;

	for (i = 0; i < g->nfields; i++) {
		if (strcmp(g->fields[i].key, key) == 0)
			return &g->fields[i];
	}
	return NULL;
}

/* Refuses a group or key that occurs twice, which GLib would merge silently. */
static enum status
check_duplicates(const char *file, char *text, struct err *e)
{
	GHashTable *seen =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	char *group = g_strdup("");
	char **lines = g_strsplit(text, "\n", -1);
	enum status st = STATUS_OK;
	size_t i;

	for (i = 0; lines[i] != NULL && st == STATUS_OK; i++) {
		char *line = g_strstrip(lines[i]);
		char *eq = strchr(line, '=');
		char *id = NULL;

		if (line[0] == '[') {
			g_free(group);
			group = g_strdup(line);
			id = g_strdup(line);
		} else if (line[0] != '#' && eq != NULL) {
			*eq = '\0';
			id = g_strconcat(group, "\n", g_strchomp(line), NULL);
		}
		if (id != NULL && !g_hash_table_add(seen, id))
			st = err_set(e, STATUS_INVALID,
			    "%s:%zu: duplicate %s in %s; expected only one",
			    file, i + 1, line[0] == '[' ? "group" : line,
			    group);
	}
	g_strfreev(lines);
	g_free(group);
	g_hash_table_destroy(seen);
	return st;
}

/* Joins the names of groups for a message; the caller frees the result. */
static char *
join_group_names(const struct ini_group *groups, size_t n)
{
	GString *s = g_string_new(NULL);
	size_t i;

	for (i = 0; i < n; i++)
		g_string_append_printf(
		    s, "%s[%s]", i == 0 ? "" : ", ", groups[i].name);
	return g_string_free(s, FALSE);
}

/* Joins the keys of a group for a message; the caller frees the result. */
static char *
join_keys(const struct ini_group *g)
{
	GString *s = g_string_new(NULL);
	size_t i;

	for (i = 0; i < g->nfields; i++)
		g_string_append_printf(
		    s, "%s%s", i == 0 ? "" : ", ", g->fields[i].key);
	return g_string_free(s, FALSE);
}

/* Refuses keys that are denied or unknown. */
static enum status
check_keys(const struct ini *ini, const struct ini_group *g, const char *name,
    struct err *e)
{
	char **keys = g_key_file_get_keys(ini->key_file, name, NULL, NULL);
	enum status st = STATUS_OK;
	size_t i, j;

	for (i = 0; keys[i] != NULL && st == STATUS_OK; i++) {
		for (j = 0; j < g->ndenied; j++) {
			if (strcmp(g->denied[j].key, keys[i]) == 0)
				st = err_set(e, STATUS_REFUSED,
				    "%s: [%s] %s: %s", ini->file, name, keys[i],
				    g->denied[j].reason);
		}
		if (st == STATUS_OK && find_field(g, keys[i]) == NULL) {
			char *known = join_keys(g);

			st = err_set(e, STATUS_INVALID,
			    "%s: [%s] %s: unknown key; expected one of %s",
			    ini->file, name, keys[i], known);
			g_free(known);
		}
	}
	g_strfreev(keys);
	return st;
}

/* Refuses unknown groups and invalid keys. */
static enum status
check_groups(const struct ini *ini, const struct ini_group *groups,
    size_t ngroups, struct err *e)
{
	enum status st;
	size_t i;

	for (i = 0; i < ini->ngroups; i++) {
		const struct ini_group *g =
		    find_group(groups, ngroups, ini->names[i]);

		if (g == NULL) {
			char *known = join_group_names(groups, ngroups);

			st = err_set(e, STATUS_INVALID,
			    "%s: [%s]: unknown group; expected one of %s",
			    ini->file, ini->names[i], known);
			g_free(known);
			return st;
		}
		st = check_keys(ini, g, ini->names[i], e);
		if (st != STATUS_OK)
			return st;
	}
	return STATUS_OK;
}

/*
 * Parses text into a document owned by ctx. Returns NULL and sets e:
 * STATUS_INVALID for a syntax error, a duplicate, or an unknown group or
 * key; STATUS_REFUSED for a denied key.
 */
struct ini *
ini_parse(TALLOC_CTX *ctx, const char *file, struct str text,
    const struct ini_group *groups, size_t ngroups, struct err *e)
{
	struct ini *ini = talloc_zero(ctx, struct ini);
	GError *ge = NULL;
	char *copy;
	gsize n;

	if (ini == NULL)
		abort();
	talloc_set_destructor(ini, destroy_ini);
	ini->file = talloc_strdup(ini, file);
	if (text.p == NULL)
		text = str_from("");
	ini->key_file = g_key_file_new();
	copy = str_cstr(ini, text);
	if (memchr(text.p, '\0', text.len) != NULL ||
	    !g_utf8_validate(text.p, (gssize)text.len, NULL)) {
		err_set(e, STATUS_INVALID, "%s: not UTF-8 text", file);
		goto fail;
	}
	if (!g_key_file_load_from_data(
		ini->key_file, copy, text.len, G_KEY_FILE_NONE, &ge)) {
		err_set(e, STATUS_INVALID, "%s: %s", file, ge->message);
		g_error_free(ge);
		goto fail;
	}
	if (check_duplicates(file, copy, e) != STATUS_OK)
		goto fail;
	ini->names = g_key_file_get_groups(ini->key_file, &n);
	ini->ngroups = n;
	if (check_groups(ini, groups, ngroups, e) != STATUS_OK)
		goto fail;
	return ini;
fail:
	talloc_free(ini);
	return NULL;
}

/*
 * Reads a file of at most INI_FILE_MAX bytes into memory owned by ctx.
 * Returns STATUS_IO if it can't be read and STATUS_LIMIT if it is larger.
 */
enum status
ini_read(TALLOC_CTX *ctx, const char *file, struct str *text, struct err *e)
{
	FILE *f = fopen(file, "re");
	enum status st = STATUS_OK;
	char *buf;
	size_t n;

	if (f == NULL)
		return err_errno(e, STATUS_IO, "%s: cannot open", file);
	buf = talloc_array(ctx, char, INI_FILE_MAX + 1);
	n = fread(buf, 1, INI_FILE_MAX + 1, f);
	if (ferror(f))
		st = err_errno(e, STATUS_IO, "%s: cannot read", file);
	else if (n > INI_FILE_MAX)
		st = err_set(e, STATUS_LIMIT, "%s: larger than %d bytes", file,
		    INI_FILE_MAX);
	fclose(f);
	if (st != STATUS_OK)
		talloc_free(buf);
	else
		*text = str_mem(buf, n);
	return st;
}

/* Reads and parses a file; fails as ini_read and ini_parse do. */
struct ini *
ini_load(TALLOC_CTX *ctx, const char *file, const struct ini_group *groups,
    size_t ngroups, struct err *e)
{
	struct ini *ini;
	struct str text = { NULL, 0 };

	if (ini_read(ctx, file, &text, e) != STATUS_OK)
		return NULL;
	ini = ini_parse(ctx, file, text, groups, ngroups, e);
	talloc_free((void *)(uintptr_t)text.p);
	return ini;
}

/* Returns the number of groups that match a description. */
size_t
ini_count(const struct ini *ini, const struct ini_group *g)
{
	size_t i, n = 0;

	for (i = 0; i < ini->ngroups; i++)
		n += group_matches(g, ini->names[i]);
	return n;
}

/* Returns the name of the n-th matching group, from 0, or NULL. */
static const char *
find_nth_group(const struct ini *ini, const struct ini_group *g, size_t nth)
{
	size_t i;

	for (i = 0; i < ini->ngroups; i++) {
		if (group_matches(g, ini->names[i]) && nth-- == 0)
			return ini->names[i];
	}
	return NULL;
}

/* Returns the NAME part of the i-th matching group, empty if there is none. */
struct str
ini_group_name(const struct ini *ini, const struct ini_group *g, size_t i)
{
	const char *name = find_nth_group(ini, g, i);

	return name == NULL ? str_from("")
			    : str_from(name + strlen(g->name) - 1);
}

/* Parses a whole number with one of the units as its suffix. */
static bool
parse_with_unit(
    const char *text, const struct unit *units, size_t n, int64_t *out)
{
	char *end;
	long long v;
	size_t i;

	if (*text < '0' || *text > '9')
		return false;
	errno = 0;
	v = strtoll(text, &end, 10);
	if (errno != 0)
		return false;
	for (i = 0; i < n; i++) {
		if (strcmp(end, units[i].name) == 0 &&
		    !__builtin_mul_overflow(v, units[i].factor, out))
			return true;
	}
	return false;
}

/*
 * Checks that s is "IPv4:port" or "[IPv6]:port"; host names are not
 * resolved.
 */
bool
ini_parse_addr(struct str s, struct err *e)
{
	char host[INET6_ADDRSTRLEN + 2];
	unsigned char addr[sizeof(struct in6_addr)];
	const char *colon = memrchr(s.p, ':', s.len);
	size_t hlen = colon == NULL ? 0 : (size_t)(colon - s.p);
	int64_t port;
	bool ok;

	if (colon == NULL || hlen == 0 || hlen >= sizeof(host) ||
	    !str_to_i64(str_mem(colon + 1, s.len - hlen - 1), &port) ||
	    port < 1 || port > PORT_MAX) {
		err_set(e, STATUS_INVALID, "expected IP:port");
		return false;
	}
	memcpy(host, s.p, hlen);
	host[hlen] = '\0';
	if (host[0] == '[' && host[hlen - 1] == ']') {
		host[hlen - 1] = '\0';
		ok = inet_pton(AF_INET6, host + 1, addr) == 1;
	} else {
		ok = inet_pton(AF_INET, host, addr) == 1;
	}
	if (!ok)
		err_set(e, STATUS_INVALID,
		    "expected an IP address, not a host name");
	return ok;
}

/* Decodes an integer, a duration or a size and checks its range. */
static enum status
decode_number(
    const struct ini_field *f, const char *text, int64_t *out, struct err *e)
{
	const char *expected = "a whole number";
	bool ok;

	switch (f->type) {
	case INI_DURATION:
		ok = parse_with_unit(
		    text, duration_units, G_N_ELEMENTS(duration_units), out);
		expected = "a duration such as 250ms, 3s, 2m or 1h";
		break;
	case INI_SIZE:
		ok = parse_with_unit(
		    text, size_units, G_N_ELEMENTS(size_units), out);
		expected = "a size such as 4096, 64KiB, 16MiB or 2GiB";
		break;
	default:
		ok = str_to_i64(str_from(text), out);
		break;
	}
	if (!ok)
		return err_set(e, STATUS_INVALID, "expected %s", expected);
	if (*out < f->min || *out > f->max)
		return err_set(e, STATUS_INVALID,
		    "expected %lld to %lld, in the base unit of the setting",
		    (long long)f->min, (long long)f->max);
	return STATUS_OK;
}

/* Decodes a decimal number and checks its range. */
static enum status
decode_decimal(
    const struct ini_field *f, const char *text, double *out, struct err *e)
{
	char *end;

	*out = g_ascii_strtod(text, &end);
	if (end == text || *end != '\0' || !isfinite(*out) ||
	    *out < (double)f->min || *out > (double)f->max)
		return err_set(e, STATUS_INVALID,
		    "expected a number from %lld to %lld", (long long)f->min,
		    (long long)f->max);
	return STATUS_OK;
}

/* Decodes the text of a value into its member of the struct at dst. */
static enum status
decode_field(TALLOC_CTX *ctx, const struct ini_field *f, const char *text,
    char *dst, struct err *e)
{
	struct str s = str_from(text);

	switch (f->type) {
	case INI_ADDR:
		if (s.len > 0 && !ini_parse_addr(s, e))
			return STATUS_INVALID;
		/* FALLTHROUGH */
	case INI_STRING:
		s = str_dup(ctx, s);
		memcpy(dst + f->offset, &s, sizeof(s));
		return STATUS_OK;
	case INI_BOOL:
		if (!str_eq_c(s, "true") && !str_eq_c(s, "false"))
			return err_set(
			    e, STATUS_INVALID, "expected true or false");
		*(bool *)(void *)(dst + f->offset) = str_eq_c(s, "true");
		return STATUS_OK;
	case INI_DECIMAL:
		return decode_decimal(f, text, (void *)(dst + f->offset), e);
	case INI_INT:
	case INI_DURATION:
	case INI_SIZE:
		return decode_number(f, text, (void *)(dst + f->offset), e);
	}
	return STATUS_INVALID;
}

/*
 * Decodes all fields of the i-th matching group into dst; missing keys get
 * their defaults. For i = 0, a group that is not in the file counts as
 * empty. Returns STATUS_INVALID for a missing required key or an invalid
 * value, STATUS_NOT_FOUND if there is no such group.
 */
enum status
ini_decode(const struct ini *ini, TALLOC_CTX *ctx, const struct ini_group *g,
    size_t i, void *dst, struct err *e)
{
	const char *name = find_nth_group(ini, g, i);
	enum status st = STATUS_OK;
	struct err why;
	size_t j;

	if (name == NULL && i > 0)
		return err_set(e, STATUS_NOT_FOUND, "no such group");
	for (j = 0; j < g->nfields && st == STATUS_OK; j++) {
		const struct ini_field *f = &g->fields[j];
		char *text = name == NULL
		    ? NULL
		    : g_key_file_get_string(ini->key_file, name, f->key, NULL);

		err_clear(&why);
		if (text == NULL && f->default_text == NULL)
			st = err_set(&why, STATUS_INVALID,
			    "missing; expected %s", f->help);
		else
			st = decode_field(ctx, f,
			    text != NULL ? text : f->default_text, dst, &why);
		if (st != STATUS_OK)
			err_set(e, st, "%s: [%s] %s: %s", ini->file,
			    name != NULL ? name : g->name, f->key, why.msg);
		g_free(text);
	}
	return st;
}
