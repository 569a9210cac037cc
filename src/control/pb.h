/* protobuf-c messages in talloc memory. */
#ifndef CONTROL_PB_H
#define CONTROL_PB_H

#include <protobuf-c/protobuf-c.h>

#include "base/str.h"

__BEGIN_DECLS

/* The packed form, owned by ctx. */
struct str pb_pack(TALLOC_CTX *ctx, const void *msg);
/* The decoded message, one talloc tree; NULL if malformed. */
void *pb_unpack(
    TALLOC_CTX *ctx, const ProtobufCMessageDescriptor *, struct str);
/* A deep copy owned by ctx. */
void *pb_dup(TALLOC_CTX *ctx, const void *msg);
/* A binary field of a message. */
ProtobufCBinaryData pb_bytes(struct str);
struct str pb_str(ProtobufCBinaryData);

__END_DECLS

#endif
