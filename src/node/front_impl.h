/* Internals of the HTTP server, shared by the front*.c files only. */
#ifndef NODE_FRONT_IMPL_H
#define NODE_FRONT_IMPL_H

#include <microhttpd.h>

#include "base/clk.h"
#include "node/front.h"
#include "node/mtimer.h"
#include "node/nctr.h"
#include "node/shed.h"

#define REQUEST_HEADERS_MAX 64

/* A connection, from its acceptance to its end. */
struct front_sock {
	struct front *front;
	struct front_sock *prev, *next; /* in front.socks */
	struct MHD_Connection *mhd;
	struct front_conn *request; /* NULL between requests */
	int fd;
	struct memacct_conn held; /* unused without an account */
	enum shed_phase phase;
	struct timespec phase_at;
	size_t progress;	   /* bytes of the request's body */
	size_t answer;		   /* bytes of the answer's body */
	bool sampled;		   /* the next three fields are set */
	uint64_t received, acked;  /* bytes of the connection */
	struct timespec unread_at; /* when some of the answers were taken */
	uint64_t completed_run; /* front.nruns when the last answer was sent */
	unsigned pipelined; /* requests that had come before that, in a row */
};

struct front {
	struct front_conf conf;
	struct tevent_context *ev;
	struct MHD_Daemon *mhd;
	struct tevent_fd *fde;
	struct mtimer timer, check_timer;
	struct tevent_immediate *run_event;
	struct clk clk;
	struct timespec now; /* when the library was last run */
	struct timespec checked_at;
	uint64_t nruns;	 /* of the library */
	bool in_library; /* inside MHD_run */
	bool run_again;
	bool draining;
	size_t nrequests;
	struct front_conn *suspended;
	struct front_sock *socks;
	size_t nsocks;
	size_t nclosing, closing_bytes; /* shut down, not yet released */
	bool shedding;
	struct timespec shed_at; /* newest */
	size_t nshed;		 /* since shedding began */
};

/* A request with the state that only these files use. */
struct front_conn {
	struct front_req req; /* first member */
	struct MHD_Connection *mhd;
	struct front_sock *sock;
	bool headers_checked;
	bool cut_off;	   /* 413 was sent, the rest of the body is dropped */
	bool is_delivered; /* passed to the handler, or refused */
	bool answered;	   /* response is set */
	bool suspended;
	bool client_gone;
	uint8_t *body;
	size_t body_len, body_capacity;
	int fd;
	struct tevent_fd *client_watch;
	struct MHD_Response *response;
	int status;
	struct front_header headers[REQUEST_HEADERS_MAX];
	struct front_conn *prev, *next; /* in front.suspended */
};

/* front.c */
void front_run_soon(struct front *);
/* front_sock.c */
enum MHD_Result front_on_accept(
    void *arg, const struct sockaddr *, socklen_t len);
void front_on_connection(void *arg, struct MHD_Connection *, void **ctx,
    enum MHD_ConnectionNotificationCode);
struct front_sock *front_sock_of(struct MHD_Connection *);
void front_sock_enter(struct front_sock *, enum shed_phase);
/* Reserves bytes for a body; closes others, or this one, if they don't fit. */
bool front_sock_grow(struct front_sock *, size_t n);
bool front_sock_begin_work(struct front_sock *, size_t n);
void front_sock_hold_answer(struct front_sock *, size_t n);
void front_sock_end_work(struct front_sock *);
void front_sock_refuse(struct front_sock *, int status);
void front_drop_body(struct front_conn *);
void front_check_all(void *arg);
size_t front_entry_counter(const struct front *, enum nctr requests_counter);

#endif
