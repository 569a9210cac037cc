/*
 * JSON to and from protobuf-c messages by their descriptors. Field names are
 * those of control.proto; enum values are in lower case without their prefix.
 */
#ifndef NODE_PJSON_H
#define NODE_PJSON_H

#include <json-c/json.h>
#include <protobuf-c/protobuf-c.h>

#include "base/err.h"
#include "base/str.h"

__BEGIN_DECLS

#define PJSON_TEXT_MAX	1024
#define PJSON_BYTES_MAX 65536 /* of bytes fields and of "payload" */
#define PJSON_ITEMS_MAX 65536 /* of a list */
#define PJSON_DEPTH_MAX 8

/* Parses a whole document that is one object; the caller puts it. */
struct json_object *pjson_parse(struct str, struct err *);
/* Fills an initialised message; anything that is allocated belongs to ctx.
 * An unknown, missing, mistyped or out-of-range field is an error. */
enum status pjson_fill(
    TALLOC_CTX *, ProtobufCMessage *, struct json_object *, struct err *);
/* All fields that are present. */
struct json_object *pjson_render(const ProtobufCMessage *);

__END_DECLS

#endif
