/* HTTP client of the operator commands: tries instances in turn. */
#ifndef CLI_HTTP_H
#define CLI_HTTP_H

#include <json-c/json.h>

#include "base/err.h"
#include "base/str.h"

__BEGIN_DECLS

struct http_client {
	char **instances; /* "IP:port", NULL at the end */
	long timeout_ms;  /* of one try */
};

struct http_reply {
	long code;		  /* HTTP status */
	struct json_object *body; /* NULL if not JSON */
	char *text;
};

/*
 * Sends one request. The next instance is tried when no connection came
 * about, and also after a lost answer if resend is set. STATUS_UNAVAILABLE:
 * no instance reached; STATUS_UNKNOWN: the request may have had effect.
 */
enum status http_call(const struct http_client *, TALLOC_CTX *,
    const char *method, const char *path, const char *body, bool resend,
    struct http_reply *, struct err *);
void http_reply_finish(struct http_reply *);

__END_DECLS

#endif
