/* Packs and unpacks protobuf-c messages in talloc memory. */
#ifndef CONTROL_PB_H
#define CONTROL_PB_H

#include <protobuf-c/protobuf-c.h>

#include "base/str.h"

__BEGIN_DECLS

/* Returns the packed message, owned by ctx. */
struct str pb_pack(TALLOC_CTX *ctx, const void *msg);
/* Returns the decoded message, freed with talloc_free; NULL if malformed. */
void *pb_unpack(
    TALLOC_CTX *ctx, const ProtobufCMessageDescriptor *, struct str);
/* Returns a deep copy owned by ctx. */
void *pb_dup(TALLOC_CTX *ctx, const void *msg);
/* Convert between a string and the value of a bytes field, without a copy. */
ProtobufCBinaryData pb_bytes(struct str);
struct str pb_str(ProtobufCBinaryData);

__END_DECLS

#endif
