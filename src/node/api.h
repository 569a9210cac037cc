/*
 * The HTTP interface for operators and workers: translates paths and JSON to Op
 * and OpResult to JSON. Has no state and does no I/O.
 */
#ifndef NODE_API_H
#define NODE_API_H

#include "base/err.h"
#include "base/str.h"
#include "control/control.pb-c.h"

__BEGIN_DECLS

#define API_NAME_MAX 128

enum api_kind {
	API_OP,	     /* op is to be sent to the leader */
	API_SERVICE, /* /svc/CLASS/...: class_name is set */
	API_HEALTH,
	API_READY,
	API_COUNTERS,
	API_DRAIN /* drain this instance */
};

enum api_route {
	API_ROUTE_NONE,
	API_ROUTE_CLASSES,
	API_ROUTE_WORKERS,
	API_ROUTE_INSTANCES,
	API_ROUTE_JOBS,
	API_ROUTE_STATUS,
	API_ROUTE_MEMBERS,
	API_ROUTE_ANNOUNCE,
	API_ROUTE_POLL,
	API_ROUTE_OTHER
};

struct api_req {
	enum api_kind kind;
	enum api_route route;
	int http_status; /* if the request is refused */
	struct str class_name;
	Control__Op *op; /* owned by the context of api_parse */
};

/* Parses a request; e is set on failure. */
enum status api_parse(TALLOC_CTX *, struct str method, struct str path,
    struct str query, struct str body, struct api_req *, struct err *);
/* Returns a result as JSON text, owned by ctx, and sets its HTTP status. */
struct str api_render(
    TALLOC_CTX *, enum api_route, const Control__OpResult *, int *http_status);
struct str api_render_error(
    TALLOC_CTX *, enum status, const char *message, int *http_status);
/* Returns whether a text may name a class, worker, rack or the like. */
bool api_is_valid_name(struct str);

__END_DECLS

#endif
