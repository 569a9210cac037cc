/*
 * HTTP client of one thread for requests to workers: libcurl multi on a tevent
 * loop, with a set of connections per worker address. For each request it
 * tracks whether a byte may have been sent.
 */
#ifndef NODE_BACK_H
#define NODE_BACK_H

#include <tevent.h>

#include "base/ctr.h"
#include "base/err.h"
#include "base/str.h"
#include "node/front.h"

__BEGIN_DECLS

#define BACK_ANSWER_MAX_BYTES	 (16 * 1024 * 1024) /* body of an answer */
#define BACK_CONNECT_TIMEOUT_MS	 1000
#define BACK_PROBE_TIMEOUT_MS	 1000
#define BACK_IDLE_CONN_MAX_S	 10 /* longer idle connections are not reused */
#define BACK_DEFAULT_CONNECTIONS 8  /* per worker */
#define BACK_HOST_UNUSED_MS	 30000 /* then its connections are closed */

struct back;
struct back_call;

enum back_fail {
	BACK_CONNECT_FAILED, /* nothing was sent */
	BACK_NOT_STARTED,    /* the worker says it has not run it */
	BACK_RESET,
	BACK_TRUNCATED
};

/* A whole answer, valid during the callback. */
struct back_answer {
	int status;
	const struct front_header *headers; /* end-to-end only */
	size_t nheaders;
	struct str content_type;
	struct str body;
};

struct back_req {
	struct str addr; /* IP:port of the worker */
	struct str method;
	struct str target;
	struct str body;
	const struct front_header *headers;
	size_t nheaders;
	uint64_t epoch;
	uint64_t request_id; /* sent; the answer is to repeat (echo) it */
	int64_t timeout_ms;
	struct timespec send_by;  /* no byte is sent after it; 0: no limit */
	unsigned max_connections; /* limit for the worker; 0: default */
	bool is_probe;		  /* uses a connection of its own */
	bool reuse_without_echo;  /* of the connection, if there is no echo */
	bool all_headers;	  /* of the answer, with Cicadabay-* */
	bool omit_own_headers;	  /* adds no Cicadabay-* headers */
	void *user;
};

/* Callbacks. A call that is not aborted ends with exactly one of them: its
 * answer or its failure. */
struct back_conf {
	struct ctr_set *ctr;
	void (*on_sent)(void *arg, void *user);
	void (*on_done)(void *arg, void *user, const struct back_answer *);
	void (*on_failed)(
	    void *arg, void *user, enum back_fail, bool maybe_sent);
	void *arg;
};

struct back *back_new(
    TALLOC_CTX *, struct tevent_context *, const struct back_conf *);
/* Callbacks come from the event loop, never from within this call. */
struct back_call *back_start(struct back *, const struct back_req *);
/* Ends a call without a callback; its connection is closed. */
void back_abort(struct back_call *);
/* Returns the number of calls that have not ended. */
size_t back_count_calls(const struct back *);

__END_DECLS

#endif
