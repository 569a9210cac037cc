#include "cli/show.h"

#include <stdio.h>
#include <string.h>

#define MAX_COLUMNS 16

/* Returns the text of a member of an object, or def if it is missing. */
const char *
show_member_text(struct json_object *o, const char *key, const char *def)
{
	struct json_object *v;

	if (o == NULL || !json_object_object_get_ex(o, key, &v))
		return def;
	return json_object_get_string(v);
}

/* Prints a value padded to the width of its column. */
static void
print_cell(struct json_object *v, int width)
{
	const char *text = v == NULL ? "-" : json_object_get_string(v);

	printf("%-*s  ", width, text);
}

/* Returns the width of the longest value of a column or of its title. */
static int
column_width(struct json_object *rows, const char *column)
{
	size_t i, n = json_object_array_length(rows);
	int width = (int)strlen(column);

	for (i = 0; i < n; i++) {
		const char *t = show_member_text(
		    json_object_array_get_idx(rows, i), column, "-");

		if ((int)strlen(t) > width)
			width = (int)strlen(t);
	}
	return width;
}

/* Prints rows as a table. */
static void
show_rows(struct json_object *rows, const char *const *columns)
{
	int width[MAX_COLUMNS];
	size_t i, c, n = json_object_array_length(rows);

	for (c = 0; columns[c] != NULL; c++) {
		width[c] = column_width(rows, columns[c]);
		printf("%-*s  ", width[c], columns[c]);
	}
	printf("\n");
	for (i = 0; i < n; i++) {
		struct json_object *row = json_object_array_get_idx(rows, i);

		for (c = 0; columns[c] != NULL; c++) {
			struct json_object *v = NULL;

			json_object_object_get_ex(row, columns[c], &v);
			print_cell(v, width[c]);
		}
		printf("\n");
	}
}

/*
 * Prints scalar members, one per line; those of a nested object as
 * GROUP.KEY.
 */
static void
show_members(struct json_object *o, const char *group)
{
	json_object_object_foreach(o, key, val)
	{
		if (json_object_is_type(val, json_type_array))
			continue;
		if (json_object_is_type(val, json_type_object))
			show_members(val, key);
		else
			printf("%s%s%-32s %s\n", group,
			    *group == '\0' ? "" : ".", key,
			    json_object_get_string(val));
	}
}

/*
 * Prints the body of a reply: as JSON, or its scalar members followed by a
 * table of the rows that the command lists.
 */
void
show_body(const struct cmd *cmd, struct json_object *body, bool json)
{
	struct json_object *rows;

	if (json || body == NULL) {
		printf("%s\n", json_object_to_json_string(body));
		return;
	}
	if (cmd->list == NULL) {
		show_members(body, "");
		return;
	}
	if (cmd->columns == NULL) {
		printf("%s\n", show_member_text(body, cmd->list, ""));
		return;
	}
	show_members(body, "");
	if (json_object_object_get_ex(body, cmd->list, &rows) &&
	    json_object_is_type(rows, json_type_array))
		show_rows(rows, cmd->columns);
}
