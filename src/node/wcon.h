/*
 * HTTP/1.1 calls to workers over persistent connections, with a limit for each
 * worker and one for all of them. A call is never sent twice, and the caller
 * learns whether a byte of it may have been sent.
 *
 * Made for thousands of short calls a second to thousands of workers on a
 * fraction of a processor, where a general HTTP client costs more than
 * everything else together. A call takes one write and one read; answers are
 * parsed by http_parser; calls have no timers of their own.
 */
#ifndef NODE_WCON_H
#define NODE_WCON_H

#include <tevent.h>

#include "base/clk.h"
#include "base/ctr.h"
#include "base/err.h"
#include "base/str.h"
#include "node/front.h"

__BEGIN_DECLS

#define WCON_ANSWER_MAX_BYTES (16 * 1024 * 1024) /* bytes of a body */
/* A connection that has been idle for longer is not reused, as the worker may
 * have closed it. */
#define WCON_IDLE_MS 10000
/* Hosts without a connection or a call are released after this. */
#define WCON_HOST_UNUSED_MS 30000

struct wcon;
struct wcon_call;

/* Why a call ends without an answer. */
enum wcon_failure {
	WCON_MAYBE_SENT, /* a byte may have been sent */
	WCON_NOT_SENT,	 /* no connection, or none to that worker was free */
	WCON_REFUSED,	 /* nothing listens at the address */
	WCON_FULL,	 /* all connections that are allowed were in use */
	WCON_LATE	 /* send_by had passed before a byte was sent */
};

struct wcon_req {
	struct str addr; /* IP:port of the worker */
	struct str method, target, body;
	const struct front_header *headers;
	size_t nheaders;
	unsigned max_conns;	 /* most that may be open to the worker */
	struct timespec send_by; /* not sent from then on */
	void *user;
};

/* Each call that isn't aborted ends with exactly one of on_done and on_failed;
 * both are called from the event loop. */
struct wcon_conf {
	struct tevent_context *ev;
	struct clk clk;
	struct ctr_set *ctr;
	size_t connections_max; /* to all workers */
	/* The first byte of a call is about to be sent; may be called from
	 * within wcon_start. */
	void (*on_sending)(void *arg, void *user);
	void (*on_done)(void *arg, void *user, int status, struct str body);
	void (*on_failed)(void *arg, void *user, enum wcon_failure);
	void *arg;
};

struct wcon *wcon_new(TALLOC_CTX *, const struct wcon_conf *);
/* Starts a call; the request is copied. */
struct wcon_call *wcon_start(struct wcon *, const struct wcon_req *);
/* Ends a call without a callback; its connection is closed, and idle ones that
 * may have failed with it. Returns what is known of the call. */
enum wcon_failure wcon_abort(struct wcon_call *);
/* Returns whether a byte of a call may have been sent. */
bool wcon_was_sent(const struct wcon_call *);
/* Tells whether a call was sent on a connection that had carried another. */
bool wcon_was_reused(const struct wcon_call *);
/* Returns the number of open connections. */
size_t wcon_count_open(const struct wcon *);

__END_DECLS

#endif
