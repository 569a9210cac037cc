/*
 * JSON to and from protobuf-c messages by means of their descriptors. Field
 * names are those of the .proto file; enum values are in lower case without the
 * prefix that they share.
 */
#ifndef NODE_PJSON_H
#define NODE_PJSON_H

#include <json-c/json.h>
#include <protobuf-c/protobuf-c.h>

#include "base/err.h"
#include "base/str.h"

__BEGIN_DECLS

#define PJSON_STRING_MAX_BYTES	1024
#define PJSON_PAYLOAD_MAX_BYTES 65536 /* of bytes fields and of "payload" */
#define PJSON_ITEMS_MAX		65536 /* of a list */
#define PJSON_DEPTH_MAX		8

/* Parses a document that is one object; the caller frees it with
 * json_object_put. */
struct json_object *pjson_parse(struct str, struct err *);
/* Fills an initialised message; what is allocated belongs to ctx. A field that
 * is unknown, missing, of another type or out of range is an error. */
enum status pjson_fill(
    TALLOC_CTX *, ProtobufCMessage *, struct json_object *, struct err *);
/* Renders all fields that are present. */
struct json_object *pjson_render(const ProtobufCMessage *);

__END_DECLS

#endif
