#include "node/pjson.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "base/jbound.h"

/* Bounds of a document: PJSON_ITEMS_MAX numbers, and lists of messages with
 * ten fields each. */
static const struct jbound limits = { 16384, 4 * PJSON_ITEMS_MAX };

/*
 * Parses a document; NULL with e set on failure. Trailing bytes, invalid UTF-8,
 * comments and nesting deeper than PJSON_DEPTH_MAX are errors.
 */
struct json_object *
pjson_parse(struct str s, struct err *e)
{
	struct json_tokener *t;
	struct json_object *o = NULL;
	enum json_tokener_error je;

	if (s.len == 0) {
		err_set(e, STATUS_INVALID, "body is empty, expected an object");
		return NULL;
	}
	if (s.len > INT32_MAX) {
		err_set(e, STATUS_LIMIT, "body is too large");
		return NULL;
	}
	if (!jbound_check(s, &limits, e))
		return NULL;
	t = json_tokener_new_ex(PJSON_DEPTH_MAX);
	if (t == NULL)
		abort();
	json_tokener_set_flags(
	    t, JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
	o = json_tokener_parse_ex(t, s.p, (int)s.len);
	je = json_tokener_get_error(t);
	if (je == json_tokener_continue)
		err_set(e, STATUS_INVALID, "JSON ends too early");
	else if (je != json_tokener_success)
		err_set(e, STATUS_INVALID, "JSON: %s at byte %zu",
		    json_tokener_error_desc(je), json_tokener_get_parse_end(t));
	else if (json_tokener_get_parse_end(t) != s.len)
		err_set(
		    e, STATUS_INVALID, "unexpected text after the JSON object");
	else if (!json_object_is_type(o, json_type_object))
		err_set(e, STATUS_INVALID, "JSON: expected an object");
	else
		e = NULL;
	json_tokener_free(t);
	if (e != NULL) {
		json_object_put(o);
		return NULL;
	}
	return o;
}

/* Returns a message name without its package. */
static const char *
strip_package(const char *name)
{
	const char *dot = strrchr(name, '.');

	return dot == NULL ? name : dot + 1;
}

/*
 * Returns the length of the prefix that all values of an enum share, up to and
 * including a "_".
 */
static size_t
enum_prefix_len(const ProtobufCEnumDescriptor *d)
{
	const char *first = d->values[0].name;
	size_t len = 0, k, i;

	for (k = 0; first[k] != '\0'; k++) {
		for (i = 1; i < d->n_values; i++) {
			if (d->values[i].name[k] != first[k])
				return len;
		}
		if (first[k] == '_')
			len = k + 1;
	}
	return len;
}

/* Finds an enum value by its name in lower case without the prefix. */
static bool
enum_find(const ProtobufCEnumDescriptor *d, const char *text, int *out)
{
	size_t skip = enum_prefix_len(d), len = strlen(text), i, k;

	for (k = 0; k < len; k++) {
		if (isupper((unsigned char)text[k]))
			return false;
	}
	for (i = 0; i < d->n_values; i++) {
		if (strcasecmp(d->values[i].name + skip, text) == 0) {
			*out = d->values[i].value;
			return true;
		}
	}
	return false;
}

/* Returns the size of a value in a message or a list. */
static size_t
field_size(ProtobufCType type)
{
	switch (type) {
	case PROTOBUF_C_TYPE_INT64:
	case PROTOBUF_C_TYPE_SINT64:
	case PROTOBUF_C_TYPE_SFIXED64:
	case PROTOBUF_C_TYPE_UINT64:
	case PROTOBUF_C_TYPE_FIXED64:
	case PROTOBUF_C_TYPE_DOUBLE:
		return 8;
	case PROTOBUF_C_TYPE_BOOL:
		return sizeof(protobuf_c_boolean);
	case PROTOBUF_C_TYPE_STRING:
	case PROTOBUF_C_TYPE_MESSAGE:
		return sizeof(void *);
	case PROTOBUF_C_TYPE_BYTES:
		return sizeof(ProtobufCBinaryData);
	default:
		return 4;
	}
}

/* Sets an error that names the field and what was expected. */
static enum status
field_error(const ProtobufCMessage *m, const ProtobufCFieldDescriptor *f,
    struct err *e, const char *expected)
{
	return err_set(e, STATUS_INVALID, "%s: field \"%s\": expected %s",
	    strip_package(m->descriptor->name), f->name, expected);
}

/* Reads a whole number from 0 to max. */
static enum status
fill_unsigned(const ProtobufCMessage *m, const ProtobufCFieldDescriptor *f,
    struct json_object *v, uint64_t max, uint64_t *out, struct err *e)
{
	if (!json_object_is_type(v, json_type_int) ||
	    json_object_get_int64(v) < 0 || json_object_get_uint64(v) > max)
		return field_error(m, f, e,
		    max > UINT32_MAX ? "a whole number, 0 to 2^64 - 1"
				     : "a whole number, 0 to 2^32 - 1");
	*out = json_object_get_uint64(v);
	return STATUS_OK;
}

/* Copies a string, whose limit depends on the field. */
static enum status
fill_text(TALLOC_CTX *ctx, const ProtobufCMessage *m,
    const ProtobufCFieldDescriptor *f, struct json_object *v, struct str *out,
    struct err *e)
{
	size_t len, max;

	if (!json_object_is_type(v, json_type_string))
		return field_error(m, f, e, "a string");
	len = (size_t)json_object_get_string_len(v);
	max =
	    f->type == PROTOBUF_C_TYPE_BYTES || strcmp(f->name, "payload") == 0
	    ? PJSON_PAYLOAD_MAX_BYTES
	    : PJSON_STRING_MAX_BYTES;
	if (len > max)
		return err_set(e, STATUS_INVALID,
		    "%s: field \"%s\": expected at most %zu bytes",
		    strip_package(m->descriptor->name), f->name, max);
	*out = str_dup(ctx, str_mem(json_object_get_string(v), len));
	if (f->type == PROTOBUF_C_TYPE_STRING &&
	    memchr(out->p, '\0', len) != NULL)
		return field_error(m, f, e, "a string without NUL bytes");
	return STATUS_OK;
}

/* Sets one value at p, whose type is that of the field. */
static enum status
fill_value(TALLOC_CTX *ctx, const ProtobufCMessage *m,
    const ProtobufCFieldDescriptor *f, struct json_object *v, void *p,
    struct err *e)
{
	const ProtobufCMessageDescriptor *sub_desc;
	ProtobufCMessage *sub;
	ProtobufCBinaryData *bin = p;
	enum status st;
	struct str text = { NULL, 0 };
	uint64_t u = 0;

	switch (f->type) {
	case PROTOBUF_C_TYPE_UINT32:
	case PROTOBUF_C_TYPE_FIXED32:
		st = fill_unsigned(m, f, v, UINT32_MAX, &u, e);
		if (st == STATUS_OK)
			*(uint32_t *)p = (uint32_t)u;
		return st;
	case PROTOBUF_C_TYPE_UINT64:
	case PROTOBUF_C_TYPE_FIXED64:
		return fill_unsigned(m, f, v, UINT64_MAX, p, e);
	case PROTOBUF_C_TYPE_BOOL:
		if (!json_object_is_type(v, json_type_boolean))
			return field_error(m, f, e, "true or false");
		*(protobuf_c_boolean *)p = json_object_get_boolean(v);
		return STATUS_OK;
	case PROTOBUF_C_TYPE_STRING:
		st = fill_text(ctx, m, f, v, &text, e);
		if (st == STATUS_OK)
			*(const char **)p = text.p;
		return st;
	case PROTOBUF_C_TYPE_BYTES:
		st = fill_text(ctx, m, f, v, &text, e);
		if (st != STATUS_OK)
			return st;
		bin->data = (uint8_t *)(uintptr_t)text.p;
		bin->len = text.len;
		return STATUS_OK;
	case PROTOBUF_C_TYPE_ENUM:
		if (!json_object_is_type(v, json_type_string) ||
		    !enum_find(f->descriptor, json_object_get_string(v), p))
			return field_error(
			    m, f, e, "one of the names of its enum");
		return STATUS_OK;
	case PROTOBUF_C_TYPE_MESSAGE:
		if (!json_object_is_type(v, json_type_object))
			return field_error(m, f, e, "an object");
		sub_desc = f->descriptor;
		sub = talloc_zero_size(ctx, sub_desc->sizeof_message);
		if (sub == NULL)
			abort();
		protobuf_c_message_init(sub_desc, sub);
		*(ProtobufCMessage **)p = sub;
		return pjson_fill(ctx, sub, v, e);
	default:
		return field_error(m, f, e, "a type that JSON can represent");
	}
}

/* Fills a repeated field. */
static enum status
fill_list(TALLOC_CTX *ctx, ProtobufCMessage *m,
    const ProtobufCFieldDescriptor *f, struct json_object *v, struct err *e)
{
	char *base = (char *)m;
	size_t n, i, size = field_size(f->type);
	enum status st;
	char *items;

	if (!json_object_is_type(v, json_type_array))
		return field_error(m, f, e, "a list");
	n = json_object_array_length(v);
	if (n > PJSON_ITEMS_MAX)
		return field_error(m, f, e, "at most 65536 items");
	if (n == 0)
		return STATUS_OK;
	items = talloc_zero_size(ctx, n * size);
	if (items == NULL)
		abort();
	for (i = 0; i < n; i++) {
		st = fill_value(ctx, m, f, json_object_array_get_idx(v, i),
		    items + i * size, e);
		if (st != STATUS_OK)
			return st;
	}
	*(size_t *)(void *)(base + f->quantifier_offset) = n;
	*(void **)(void *)(base + f->offset) = items;
	return STATUS_OK;
}

/*
 * Fills a message from an object and checks that no required field is missing.
 */
enum status
pjson_fill(
    TALLOC_CTX *ctx, ProtobufCMessage *m, struct json_object *o, struct err *e)
{
	const ProtobufCMessageDescriptor *d = m->descriptor;
	const ProtobufCFieldDescriptor *f;
	char *base = (char *)m;
	enum status st;
	unsigned i;

	json_object_object_foreach(o, name, value)
	{
		f = protobuf_c_message_descriptor_get_field_by_name(d, name);
		if (f == NULL)
			return err_set(e, STATUS_INVALID,
			    "%s: field \"%.64s\" is not known",
			    strip_package(d->name), name);
		if (f->label == PROTOBUF_C_LABEL_REPEATED)
			st = fill_list(ctx, m, f, value, e);
		else
			st = fill_value(ctx, m, f, value, base + f->offset, e);
		if (st != STATUS_OK)
			return st;
		if (f->label == PROTOBUF_C_LABEL_OPTIONAL &&
		    f->type != PROTOBUF_C_TYPE_STRING &&
		    f->type != PROTOBUF_C_TYPE_MESSAGE)
			*(protobuf_c_boolean *)(void *)(base +
			    f->quantifier_offset) = 1;
	}
	for (i = 0; i < d->n_fields; i++) {
		f = &d->fields[i];
		if (f->label == PROTOBUF_C_LABEL_REQUIRED &&
		    !json_object_object_get_ex(o, f->name, NULL))
			return err_set(e, STATUS_INVALID,
			    "%s: field \"%s\" is missing",
			    strip_package(d->name), f->name);
	}
	return STATUS_OK;
}

/* Renders an enum value, an unknown one as a number. */
static struct json_object *
render_enum(const ProtobufCEnumDescriptor *d, int v)
{
	const ProtobufCEnumValue *value;
	char name[64];
	size_t i;

	value = protobuf_c_enum_descriptor_get_value(d, v);
	if (value == NULL)
		return json_object_new_int(v);
	snprintf(name, sizeof(name), "%s", value->name + enum_prefix_len(d));
	for (i = 0; name[i] != '\0'; i++)
		name[i] = (char)tolower((unsigned char)name[i]);
	return json_object_new_string(name);
}

/* Renders the value of a field at p; NULL for a type that is not used. */
static struct json_object *
render_value(const ProtobufCFieldDescriptor *f, const void *p)
{
	const ProtobufCBinaryData *bin = p;

	switch (f->type) {
	case PROTOBUF_C_TYPE_UINT32:
	case PROTOBUF_C_TYPE_FIXED32:
		return json_object_new_uint64(*(const uint32_t *)p);
	case PROTOBUF_C_TYPE_UINT64:
	case PROTOBUF_C_TYPE_FIXED64:
		return json_object_new_uint64(*(const uint64_t *)p);
	case PROTOBUF_C_TYPE_BOOL:
		return json_object_new_boolean(*(const protobuf_c_boolean *)p);
	case PROTOBUF_C_TYPE_STRING:
		return json_object_new_string(*(char *const *)p);
	case PROTOBUF_C_TYPE_BYTES:
		return json_object_new_string_len(
		    (const char *)bin->data, (int)bin->len);
	case PROTOBUF_C_TYPE_ENUM:
		return render_enum(f->descriptor, *(const int *)p);
	case PROTOBUF_C_TYPE_MESSAGE:
		return pjson_render(*(ProtobufCMessage *const *)p);
	default:
		return NULL;
	}
}

/* Returns whether a required or optional field is set. */
static bool
is_field_present(const ProtobufCFieldDescriptor *f, const char *base)
{
	if (f->label == PROTOBUF_C_LABEL_REQUIRED)
		return true;
	if (f->type == PROTOBUF_C_TYPE_STRING ||
	    f->type == PROTOBUF_C_TYPE_MESSAGE)
		return *(void *const *)(const void *)(base + f->offset) != NULL;
	return *(const protobuf_c_boolean *)(const void *)(base +
		   f->quantifier_offset) != 0;
}

/* Renders a message as an object; the caller frees it with json_object_put. */
struct json_object *
pjson_render(const ProtobufCMessage *m)
{
	const ProtobufCMessageDescriptor *d = m->descriptor;
	const ProtobufCFieldDescriptor *f;
	const char *base = (const char *)m, *items;
	struct json_object *o, *list;
	size_t n, k;
	unsigned i;

	o = json_object_new_object();
	if (o == NULL)
		abort();
	for (i = 0; i < d->n_fields; i++) {
		f = &d->fields[i];
		if (f->label != PROTOBUF_C_LABEL_REPEATED) {
			if (is_field_present(f, base))
				json_object_object_add(o, f->name,
				    render_value(f, base + f->offset));
			continue;
		}
		n = *(
		    const size_t *)(const void *)(base + f->quantifier_offset);
		items = *(const char *const *)(const void *)(base + f->offset);
		list = json_object_new_array();
		for (k = 0; k < n; k++)
			json_object_array_add(list,
			    render_value(f, items + k * field_size(f->type)));
		json_object_object_add(o, f->name, list);
	}
	return o;
}
