/*
 * HTTP server of one thread: libmicrohttpd driven from a tevent loop. The
 * handler gets a request once its body is complete and answers it with one
 * call of front_answer, at once or later.
 */
#ifndef NODE_FRONT_H
#define NODE_FRONT_H

#include <tevent.h>

#include "base/ctr.h"
#include "base/err.h"
#include "base/str.h"
#include "node/memacct.h"

__BEGIN_DECLS

#define FRONT_IDLE_TIMEOUT_S	60    /* without progress, then closed */
#define FRONT_HEADERS_MAX_BYTES 32768 /* memory for a connection's headers */
#define FRONT_TARGET_MAX_BYTES	4096
/* What an open connection holds without a body: the library's buffer, which it
 * fills with zeros between requests, its record of the connection and ours. */
#define FRONT_CONNECTION_BYTES (FRONT_HEADERS_MAX_BYTES + 4096)
/* What a complete request holds in addition to copies of its body. */
#define FRONT_WORK_BYTES 4096
/* A body over the limit is read on for this long after its refusal: a socket
 * that is closed with unread bytes discards the answer. */
#define FRONT_DISCARD_MAX_BYTES (256 * 1024)
/* Requests in a row that a connection may have sent before the answer to the
 * one before: after these it is closed with an answer. */
#define FRONT_PIPELINED_MAX 16
/* Smaller answers are not counted in the account. */
#define FRONT_ANSWER_SMALL_BYTES 1024

struct front;

struct front_header {
	struct str name, value;
};

/* A request: a talloc tree, valid until it is answered. */
struct front_req {
	struct front *front;
	struct str method;
	struct str target; /* as sent: path and query */
	struct str path;   /* target without the query */
	struct str query;  /* after "?", may be empty */
	struct str body;
	const struct front_header *headers;
	size_t nheaders;
	void *user; /* of the handler */
};

struct front_reply {
	int status;
	const struct front_header *headers;
	size_t nheaders;
	struct str body;
};

struct front_conf {
	int listen_fd; /* closed by the front */
	size_t body_max;
	unsigned connections_max;
	struct ctr_set *ctr;
	/* The memory of this process. NULL: no bounds but the above. */
	struct memacct *account;
	enum memacct_use use; /* of account */
	const char *name;     /* of this entry point, in the log */
	unsigned body_copies; /* that the handler keeps until its answer */
	/* Handles a whole request. */
	void (*on_request)(void *arg, struct front_req *);
	/* The client has disconnected; the request must be answered all the
	 * same, and the answer is dropped. */
	void (*on_client_gone)(void *arg, struct front_req *);
	void *arg;
};

struct front *front_new(TALLOC_CTX *, struct tevent_context *,
    const struct front_conf *, struct err *);
/* Answers a request; copies everything. The request is invalid afterwards. */
void front_answer(struct front_req *, const struct front_reply *);
/* Tells, from within the handler, whether the client has closed already. */
bool front_is_client_gone(const struct front_req *);
/* Releases the body of a request that the handler no longer needs. */
void front_release_body(struct front_req *);
/* Reserves memory for a large answer before it is fetched; false, and answers
 * the request with 503, if there is none. */
bool front_reserve_answer(struct front_req *, size_t bytes);
/* Tells whether a complete request would be handled. */
bool front_has_room(const struct front *);
/* Returns the value of a header, empty when absent; sets *nfound to the number
 * of occurrences. */
struct str front_header_get(
    const struct front_req *, const char *name, size_t *nfound);
/* Has every connection closed after its next answer. */
void front_drain(struct front *);
/* Sets up the C library's heap; to be called once at the start of a process
 * whose memory is limited. */
void front_init_heap(void);
/* Returns the number of requests being received, handled or answered. */
size_t front_count_requests(const struct front *);

__END_DECLS

#endif
