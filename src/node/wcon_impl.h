/* Internals of the connection pool, shared by the wcon*.c files only. */
#ifndef NODE_WCON_IMPL_H
#define NODE_WCON_IMPL_H

#include <glib.h>
#include <http_parser.h>

#include "node/mtimer.h"
#include "node/wcon.h"

/* One connection to a worker. */
struct wconn {
	struct wcon_host *host;
	struct wconn *next; /* of the same host */
	int fd;
	struct tevent_fd *fde;
	bool connected;
	unsigned ncalls;	/* assigned so far */
	struct wcon_call *call; /* NULL: idle */
	size_t sent_bytes;	/* of the call's request */
	struct timespec used_at;
	GList idle_link; /* in wcon.idle_conns while there is no call */
	http_parser parser;
};

/* A worker's address. */
struct wcon_host {
	struct wcon *pool;
	char *addr;
	struct wconn *conns;
	unsigned nconns, max_conns;
	GQueue waiting_calls; /* without a connection */
	bool is_blocked;      /* in wcon.blocked_hosts */
	struct timespec used_at;
};

struct wcon_call {
	struct wcon_host *host;
	struct wconn *conn;
	GList link; /* in host.waiting_calls or wcon.failed_calls */
	bool is_waiting, is_failed;
	bool has_sent, is_complete, is_late, is_refused;
	struct timespec send_by, sent_at;
	void *user;
	char *request;
	size_t len;
	uint8_t *body;
	size_t body_len, body_cap;
};

struct wcon {
	struct wcon_conf conf;
	GHashTable *hosts;
	GQueue idle_conns;    /* the one used last at the tail */
	GQueue blocked_hosts; /* whose calls wait for connections_max */
	GQueue failed_calls;  /* to be reported from the event loop */
	size_t nconns;
	bool full_logged;
	struct tevent_immediate *fail_event;
	struct mtimer sweep_timer;
};

/* wcon.c */
void wcon_call_free(struct wcon_call *);
enum wcon_failure wcon_call_failure(const struct wcon_call *);
void wcon_count_failure(const struct wcon_call *);
void wcon_host_dispatch(struct wcon_host *);
void wcon_dispatch_blocked(struct wcon *);
/* wcon_conn.c */
struct wconn *wconn_open(struct wcon_host *);
struct wconn *wconn_find_idle(struct wcon_host *);
bool wconn_assign(struct wconn *, struct wcon_call *);
void wconn_remove_idle(struct wconn *);
void wconn_close(struct wconn *);
void wconn_close_older(struct wcon_host *, struct timespec);

#endif
