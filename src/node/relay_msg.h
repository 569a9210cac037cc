/* Encodes relayed calls and their answers as messages between instances. */
#ifndef NODE_RELAY_MSG_H
#define NODE_RELAY_MSG_H

#include <talloc.h>

#include "job/jlead.h"

__BEGIN_DECLS

/* Encode; the result is a deep copy owned by ctx. */
Job__WorkerCall *relay_msg_call(TALLOC_CTX *ctx, const struct jl_call *);
Job__WorkerAnswer *relay_msg_answer(TALLOC_CTX *ctx, const struct jl_reply *);
/* Decode; strings point into the message, rows are owned by ctx. Return false
 * if the message is invalid. In a reply only the fields that a message holds
 * are set. */
bool relay_msg_to_call(const Job__WorkerCall *, struct jl_call *);
bool relay_msg_to_reply(
    TALLOC_CTX *ctx, const Job__WorkerAnswer *, struct jl_reply *);

__END_DECLS

#endif
