#include "cli/cls.h"

#include <json-c/json.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define NELEM(a)	 (sizeof(a) / sizeof((a)[0]))
#define MAX_TIMEOUT_MS	 30000
#define MAX_PER_HOUR	 100000000
#define MAX_CPU		 100000000
#define MAX_MEMORY	 (1LL << 52)
#define MAX_ACCELERATORS 1000000
#define BYTES_PER_MIB	 (1024 * 1024)
#define NAME_MAX_BYTES	 64

static const struct ini_field class_fields[] = {
	{ "kind", INI_STRING, offsetof(struct cls_class, kind), NULL, 0, 0,
	    "urgent or batch" },
	{ "answer_percentile", INI_DECIMAL,
	    offsetof(struct cls_class, percentile), "0", 0, 100,
	    "share of answers in per cent that must come within "
	    "answer_within" },
	{ "answer_within", INI_DURATION, offsetof(struct cls_class, bound_ms),
	    "0ms", 0, MAX_TIMEOUT_MS, "a duration" },
	{ "give_up_after", INI_DURATION, offsetof(struct cls_class, timeout_ms),
	    "10s", 1, MAX_TIMEOUT_MS, "longest a request may take" },
	{ "finish_per_hour", INI_INT,
	    offsetof(struct cls_class, finish_per_hour), "0", 0, MAX_PER_HOUR,
	    "batch tasks that must finish in an hour" },
	{ "team", INI_STRING, offsetof(struct cls_class, team), "", 0, 0,
	    "name of a team in the same file" },
};

static const struct ini_field team_fields[] = {
	{ "cpu", INI_DECIMAL, offsetof(struct cls_team, cpu), "0", 0, MAX_CPU,
	    "processors; 0 is no limit" },
	{ "memory", INI_SIZE, offsetof(struct cls_team, memory), "0", 0,
	    MAX_MEMORY, "a size; 0 is no limit" },
	{ "accelerators", INI_INT, offsetof(struct cls_team, accelerators),
	    "-1", -1, MAX_ACCELERATORS, "a number; -1 is no limit" },
};

#define BY_TARGET "classes are driven by their targets alone; state an outcome"
static const struct ini_denied denied[] = {
	{ "weight", "weights are not accepted: " BY_TARGET },
	{ "priority", "priorities are not accepted: " BY_TARGET },
	{ "share", "shares are not accepted: " BY_TARGET },
	{ "pin", "pins are not accepted: " BY_TARGET },
	{ "address", "addresses are not accepted: " BY_TARGET },
	{ "host", "addresses are not accepted: " BY_TARGET },
	{ "instance", "pins to instances are not accepted: " BY_TARGET },
	{ "instances", "pins to instances are not accepted: " BY_TARGET },
	{ "worker", "pins to workers are not accepted: " BY_TARGET },
	{ "workers", "pins to workers are not accepted: " BY_TARGET },
	{ "rack", "pins to racks are not accepted: " BY_TARGET },
	{ "failure_domain", "pins to domains are not accepted: " BY_TARGET },
};

const struct ini_group cls_groups[] = {
	{ "class *", class_fields, NELEM(class_fields), denied, NELEM(denied) },
	{ "team *", team_fields, NELEM(team_fields), denied, NELEM(denied) },
};
const size_t cls_ngroups = NELEM(cls_groups);

/* Returns true for a name of a class or a team. */
static bool
is_valid_name(struct str s)
{
	size_t i;

	if (s.len == 0 || s.len > NAME_MAX_BYTES)
		return false;
	for (i = 0; i < s.len; i++) {
		char c = s.p[i];

		if (!((c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') ||
			c == '-' || c == '_' || c == '.'))
			return false;
	}
	return true;
}

/* Stores an error that names the file, the class and the key. */
static enum status
set_class_error(const char *file, const struct cls_class *c, const char *key,
    const char *expected, struct err *e)
{
	return err_set(e, STATUS_INVALID,
	    "%s: [class " STR_FMT "] %s: expected %s", file, STR_ARG(c->name),
	    key, expected);
}

/* Checks the rules that concern several keys of a class. */
static enum status
check_class(const char *file, const struct cls_class *c, struct err *e)
{
	bool urgent = str_eq_c(c->kind, "urgent");

	if (!is_valid_name(c->name))
		return set_class_error(file, c, "name",
		    "lower-case letters, digits, '-', '_', '.'; at most 64", e);
	if (!urgent && !str_eq_c(c->kind, "batch"))
		return set_class_error(file, c, "kind", "urgent or batch", e);
	if (urgent && (c->percentile <= 0 || c->bound_ms <= 0))
		return set_class_error(file, c, "answer_percentile",
		    "a target: answer_percentile and answer_within", e);
	if (urgent && c->finish_per_hour > 0)
		return set_class_error(file, c, "finish_per_hour",
		    "this key only for kind = batch", e);
	if (!urgent && c->finish_per_hour <= 0)
		return set_class_error(file, c, "finish_per_hour",
		    "a target: batch tasks finished per hour", e);
	if (c->bound_ms > c->timeout_ms)
		return set_class_error(
		    file, c, "give_up_after", "at least answer_within", e);
	return STATUS_OK;
}

/* Returns true if the file defines the team, or if none is named. */
static bool
is_known_team(const struct cls_file *f, struct str team)
{
	size_t i;

	for (i = 0; i < f->nteams; i++) {
		if (str_eq(f->teams[i].name, team))
			return true;
	}
	return team.len == 0;
}

/* Decodes and checks all groups of a parsed file. */
static enum status
decode_file(
    struct cls_file *f, const struct ini *ini, const char *file, struct err *e)
{
	size_t i;

	for (i = 0; i < f->nteams; i++) {
		struct cls_team *t = &f->teams[i];

		t->name = str_dup(f, ini_group_name(ini, &cls_groups[1], i));
		if (!is_valid_name(t->name))
			return err_set(e, STATUS_INVALID,
			    "%s: [team " STR_FMT "]: expected a name of lower-"
			    "case letters, digits, '-', '_', '.'",
			    file, STR_ARG(t->name));
		if (ini_decode(ini, f, &cls_groups[1], i, t, e) != STATUS_OK)
			return e->status;
	}
	for (i = 0; i < f->nclasses; i++) {
		struct cls_class *c = &f->classes[i];

		c->name = str_dup(f, ini_group_name(ini, &cls_groups[0], i));
		if (ini_decode(ini, f, &cls_groups[0], i, c, e) != STATUS_OK ||
		    check_class(file, c, e) != STATUS_OK)
			return e->status;
		if (!is_known_team(f, c->team))
			return set_class_error(file, c, "team",
			    "a [team NAME] group in this file", e);
	}
	return STATUS_OK;
}

/*
 * Parses the text of a class file; file is named in errors. Returns NULL
 * with e set if it is invalid.
 */
struct cls_file *
cls_parse(TALLOC_CTX *ctx, const char *file, struct str text, struct err *e)
{
	struct cls_file *f = talloc_zero(ctx, struct cls_file);
	struct ini *ini = ini_parse(f, file, text, cls_groups, cls_ngroups, e);

	if (ini == NULL)
		goto fail;
	f->nclasses = ini_count(ini, &cls_groups[0]);
	f->nteams = ini_count(ini, &cls_groups[1]);
	f->classes = talloc_zero_array(f, struct cls_class, f->nclasses);
	f->teams = talloc_zero_array(f, struct cls_team, f->nteams);
	if (decode_file(f, ini, file, e) != STATUS_OK)
		goto fail;
	return f;
fail:
	talloc_free(f);
	return NULL;
}

/* Reads and parses a class file. Returns NULL with e set on failure. */
struct cls_file *
cls_load(TALLOC_CTX *ctx, const char *file, struct err *e)
{
	struct str text = { NULL, 0 };
	struct cls_file *f;

	if (ini_read(ctx, file, &text, e) != STATUS_OK)
		return NULL;
	f = cls_parse(ctx, file, text, e);
	talloc_free((void *)(uintptr_t)text.p);
	return f;
}

/* Adds a string to a JSON object. */
static void
add_string(struct json_object *o, const char *key, struct str s)
{
	json_object_object_add(
	    o, key, json_object_new_string_len(s.p, (int)s.len));
}

/* Adds a number to a JSON object. */
static void
add_int(struct json_object *o, const char *key, int64_t v)
{
	json_object_object_add(o, key, json_object_new_int64(v));
}

/* Converts a class to its JSON form. */
static struct json_object *
class_to_json(const struct cls_class *c)
{
	struct json_object *o = json_object_new_object();
	bool urgent = str_eq_c(c->kind, "urgent");

	add_string(o, "name", c->name);
	json_object_object_add(o, "urgent", json_object_new_boolean(urgent));
	if (c->percentile > 0) {
		add_int(o, "percentile_x10", llround(c->percentile * 10));
		add_int(o, "bound_ms", c->bound_ms);
	}
	add_int(o, "timeout_ms", c->timeout_ms);
	if (!urgent)
		add_int(o, "finish_per_hour", c->finish_per_hour);
	if (c->team.len > 0)
		add_string(o, "team", c->team);
	return o;
}

/* Converts a team to its JSON form; limits that are not set are left out. */
static struct json_object *
team_to_json(const struct cls_team *t)
{
	struct json_object *o = json_object_new_object();

	add_string(o, "name", t->name);
	if (t->cpu > 0)
		add_int(o, "cpu_milli", llround(t->cpu * 1000));
	if (t->memory > 0)
		add_int(o, "mem_mb", t->memory / BYTES_PER_MIB);
	if (t->accelerators >= 0)
		add_int(o, "accel", t->accelerators);
	return o;
}

/*
 * Formats the request body that replaces all classes and teams, if the
 * current version is still the expected one.
 */
char *
cls_to_json(TALLOC_CTX *ctx, const struct cls_file *f, const char *change_id,
    uint64_t expected_version)
{
	struct json_object *o = json_object_new_object();
	struct json_object *classes = json_object_new_array();
	struct json_object *teams = json_object_new_array();
	char *text;
	size_t i;

	for (i = 0; i < f->nclasses; i++)
		json_object_array_add(classes, class_to_json(&f->classes[i]));
	for (i = 0; i < f->nteams; i++)
		json_object_array_add(teams, team_to_json(&f->teams[i]));
	add_string(o, "change_id", str_from(change_id));
	add_int(o, "expected_version", (int64_t)expected_version);
	json_object_object_add(o, "classes", classes);
	json_object_object_add(o, "teams", teams);
	text = talloc_strdup(ctx, json_object_to_json_string(o));
	json_object_put(o);
	return text;
}
