/* HTTP client of the operator commands, which tries instances in turn. */
#ifndef CLI_HTTP_H
#define CLI_HTTP_H

#include <json-c/json.h>

#include "base/err.h"
#include "base/str.h"

__BEGIN_DECLS

struct http_client {
	char **instances; /* "IP:port"; ends with NULL */
	long timeout_ms;  /* of one attempt */
};

struct http_reply {
	long code;		  /* HTTP status */
	struct json_object *body; /* NULL if not JSON */
	char *text;
};

/*
 * Sends one request. The next instance is tried if no connection could be
 * made, and also after a lost answer if resend is set. Returns
 * STATUS_UNAVAILABLE if no instance could be reached and STATUS_UNKNOWN if the
 * request may have taken effect.
 */
enum status http_call(const struct http_client *, TALLOC_CTX *,
    const char *method, const char *path, const char *body, bool resend,
    struct http_reply *, struct err *);
void http_reply_finish(struct http_reply *);

__END_DECLS

#endif
