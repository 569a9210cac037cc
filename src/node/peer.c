#include "node/peer.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clk.h"
#include "base/log.h"
#include "base/rng.h"
#include "node/frame.h"
#include "node/mtimer.h"
#include "node/nctr.h"
#include "node/sock.h"

#define READ_MIN_FREE_BYTES 65536
/* A larger buffer is released once it is empty. */
#define READ_KEEP_BYTES (4 * READ_MIN_FREE_BYTES)
/* A HELLO has names of the cluster and numbers. Until it has come, anyone may
 * be on the other side, and gets no larger buffer. */
#define HELLO_MAX_BYTES	    4096
#define READS_PER_EVENT_MAX 16 /* so that one sender can't starve others */

/* A frame in a send queue. */
struct out_frame {
	struct out_frame *next;
	size_t len;
	uint8_t bytes[];
};

struct link;

/* One connection in either direction. */
struct conn {
	struct peer *peer;
	struct link *link;	  /* NULL on accepted connections */
	struct conn *prev, *next; /* in peer.accepted_conns */
	struct tevent_fd *fde;
	int fd;
	bool connected;
	bool has_hello; /* a valid HELLO has arrived */
	uint32_t instance;
	uint64_t incarnation;
	uint8_t *in_buf;
	size_t in_len, in_capacity;
	struct memacct_conn held; /* in_buf; unused without an account */
	struct out_frame *head, **tail;
	size_t head_offset, queued;
	struct timespec received_at, sent_at; /* of the newest bytes */
	bool owes_answer;		      /* has read since it sent */
	bool awaits_answer; /* nothing has arrived since unanswered_since */
	struct timespec unanswered_since;
};

/* Another instance as a destination. */
struct link {
	struct peer *peer;
	struct node_peer node;
	struct conn *conn;
	struct out_frame *head, **tail; /* waiting for a HELLO */
	size_t queued;
	struct timespec retry_at;
	int64_t backoff_ms;
};

struct peer {
	struct peer_conf conf;
	struct tevent_context *ev;
	struct clk clk;
	struct rng rng;
	struct tevent_fd *listen_fde;
	struct mtimer timer;
	struct timespec ticked_at;
	struct link **links;
	size_t nlinks;
	struct conn *accepted_conns;
	size_t naccepted;
	bool is_closing;
};

static void conn_close(struct conn *, const char *why);

/* Allocates a frame with its header and a copy of the payload. */
static struct out_frame *
out_frame_new(enum frame_type type, const void *payload, size_t len)
{
	struct out_frame *o = malloc(sizeof(*o) + FRAME_HEADER_BYTES + len);

	if (o == NULL)
		abort();
	o->next = NULL;
	o->len = FRAME_HEADER_BYTES + len;
	frame_write_header(o->bytes, type, payload, len);
	if (len > 0)
		memcpy(o->bytes + FRAME_HEADER_BYTES, payload, len);
	return o;
}

/* Frees a list of frames. */
static void
out_frames_free(struct out_frame *o)
{
	struct out_frame *next;

	for (; o != NULL; o = next) {
		next = o->next;
		free(o);
	}
}

/*
 * Waits for writability only while there is something to write or the
 * connection is being made.
 */
static void
conn_update_events(struct conn *c)
{
	uint16_t flags = TEVENT_FD_READ;

	if (!c->connected || c->head != NULL)
		flags |= TEVENT_FD_WRITE;
	tevent_fd_set_flags(c->fde, flags);
}

/* Records that bytes are sent which the other side has to answer. */
static void
conn_await_answer(struct conn *c, struct timespec now)
{
	if (c->link == NULL || c->awaits_answer)
		return;
	c->awaits_answer = true;
	c->unanswered_since = now;
}

/* Writes what the socket accepts; false if the connection was closed. */
static bool
conn_flush(struct conn *c)
{
	struct out_frame *o;
	ssize_t n;

	while ((o = c->head) != NULL) {
		n = send(c->fd, o->bytes + c->head_offset,
		    o->len - c->head_offset, MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			break;
		if (n < 0) {
			conn_close(c, "send_failed");
			return false;
		}
		c->sent_at = clk_now(&c->peer->clk);
		c->owes_answer = false;
		conn_await_answer(c, c->sent_at);
		c->head_offset += (size_t)n;
		if (c->head_offset < o->len)
			continue;
		c->head = o->next;
		if (c->head == NULL)
			c->tail = &c->head;
		c->head_offset = 0;
		c->queued -= o->len;
		free(o);
	}
	conn_update_events(c);
	return true;
}

/* Appends a frame to the send queue. */
static void
conn_queue(struct conn *c, struct out_frame *o)
{
	*c->tail = o;
	c->tail = &o->next;
	c->queued += o->len;
}

/* Queues the HELLO frame, which names this instance and its replica. */
static void
conn_send_hello(struct conn *c)
{
	Control__PeerMsg m = CONTROL__PEER_MSG__INIT;
	Control__Hello h = CONTROL__HELLO__INIT;
	struct peer *p = c->peer;
	uint8_t *buf;
	size_t len;

	m.group = p->conf.group;
	m.from = p->conf.instance;
	m.hello = &h;
	h.cluster = str_cstr(c, p->conf.cluster);
	h.group = p->conf.group;
	h.instance = p->conf.instance;
	h.incarnation = p->conf.incarnation;
	if (p->conf.replica != 0) {
		h.has_replica = 1;
		h.replica = p->conf.replica;
		h.has_generation = 1;
		h.generation = p->conf.generation;
	}
	len = control__peer_msg__get_packed_size(&m);
	buf = talloc_size(c, len);
	control__peer_msg__pack(&m, buf);
	conn_queue(c, out_frame_new(FRAME_HELLO, buf, len));
	talloc_free(buf);
	talloc_free(h.cluster);
}

/* Returns the destination for an instance, NULL if it is not known. */
static struct link *
peer_find_link(struct peer *p, uint32_t instance)
{
	size_t i;

	for (i = 0; i < p->nlinks; i++) {
		if (p->links[i]->node.instance == instance)
			return p->links[i];
	}
	return NULL;
}

/* Returns why a HELLO is refused, NULL if it is valid. */
static const char *
check_hello(struct conn *c, const Control__Hello *h)
{
	struct peer *p = c->peer;

	if (c->has_hello)
		return "duplicate_hello";
	if (!str_eq_c(p->conf.cluster, h->cluster))
		return "wrong_cluster";
	if (h->group != p->conf.group)
		return "wrong_group";
	if (h->instance == p->conf.instance)
		return "own_instance";
	if (peer_find_link(p, h->instance) == NULL &&
	    (p->conf.on_unknown == NULL ||
		!p->conf.on_unknown(p->conf.arg, h->instance)))
		return "unknown_instance";
	if (c->link != NULL && c->link->node.instance != h->instance)
		return "wrong_instance";
	/* A data directory increases its generation at each start, so a lower
	 * one than seen before belongs to an old copy, which must not vote. */
	if (h->has_replica && h->replica != 0 &&
	    !p->conf.check_hello(
		p->conf.arg, h->replica, h->generation, h->incarnation))
		return "older_generation";
	return NULL;
}

/*
 * Moves the waiting messages to the connection, once a HELLO has shown that the
 * right instance is on the other side.
 */
static void
link_send_queued(struct link *l)
{
	struct conn *c = l->conn;

	l->backoff_ms = PEER_BACKOFF_MIN_MS;
	if (l->head == NULL)
		return;
	*c->tail = l->head;
	c->tail = l->tail;
	c->queued += l->queued;
	l->head = NULL;
	l->tail = &l->head;
	l->queued = 0;
}

/* Handles a HELLO; false if the connection was closed. */
static bool
conn_handle_hello(struct conn *c, const Control__Hello *h)
{
	const char *fault = check_hello(c, h);
	struct conn *o, *next;

	if (fault != NULL) {
		ctr_add(c->peer->conf.ctr, NCTR_PEER_HELLO_REFUSED, 1);
		conn_close(c, fault);
		return false;
	}
	c->has_hello = true;
	c->instance = h->instance;
	c->incarnation = h->incarnation;
	if (c->link != NULL) {
		link_send_queued(c->link);
		return conn_flush(c);
	}
	/* A newer connection of the same instance replaces the old one. */
	for (o = c->peer->accepted_conns; o != NULL; o = next) {
		next = o->next;
		if (o != c && o->has_hello && o->instance == c->instance)
			conn_close(o, "replaced");
	}
	conn_send_hello(c);
	return conn_flush(c);
}

/* Returns why a message is invalid at this point, NULL if it is valid. */
static const char *
check_msg(const struct conn *c, const Control__PeerMsg *m)
{
	int set = (m->raft != NULL) + (m->beat != NULL) +
	    (m->beat_reply != NULL) + (m->forward != NULL) +
	    (m->forward_reply != NULL) + (m->hello != NULL) + (m->has_job != 0);

	if (set != 1 || m->group != c->peer->conf.group)
		return "bad_message";
	if (m->hello == NULL && (!c->has_hello || c->link != NULL))
		return "unexpected_message";
	if (m->hello == NULL && m->from != c->instance)
		return "wrong_sender";
	return NULL;
}

/* Handles one frame; false if the connection was closed. */
static bool
conn_handle_frame(struct conn *c, const struct frame *f)
{
	Control__PeerMsg *m;
	const char *fault;
	bool alive = true;

	if (f->type == FRAME_HEARTBEAT)
		return true;
	m = control__peer_msg__unpack(
	    NULL, f->payload.len, (const uint8_t *)f->payload.p);
	fault = m == NULL ? "bad_message" : check_msg(c, m);
	if (fault == NULL && (m->hello != NULL) != (f->type == FRAME_HELLO))
		fault = "bad_message";
	if (fault != NULL) {
		ctr_add(c->peer->conf.ctr, NCTR_PEER_BAD_MESSAGE, 1);
		conn_close(c, fault);
		alive = false;
	} else if (m->hello != NULL) {
		alive = conn_handle_hello(c, m->hello);
	} else {
		c->peer->conf.on_message(c->peer->conf.arg, m);
	}
	if (m != NULL)
		control__peer_msg__free_unpacked(m, NULL);
	return alive;
}

/*
 * Handles all whole frames in the buffer; false if the connection was closed.
 */
static bool
conn_parse(struct conn *c)
{
	enum frame_fault fault;
	struct frame f;
	size_t off = 0;

	for (;;) {
		fault =
		    frame_parse(str_mem(c->in_buf + off, c->in_len - off), &f);
		if (fault == FRAME_INCOMPLETE)
			break;
		if (fault != FRAME_OK) {
			ctr_add(c->peer->conf.ctr, NCTR_PEER_BAD_FRAME, 1);
			conn_close(c, frame_fault_name(fault));
			return false;
		}
		if (!conn_handle_frame(c, &f))
			return false;
		off += f.size;
	}
	if (off > 0) {
		memmove(c->in_buf, c->in_buf + off, c->in_len - off);
		c->in_len -= off;
	}
	return true;
}

/* Releases a large buffer that is empty. */
static void
conn_shrink_buffer(struct conn *c)
{
	if (c->in_len > 0 || c->in_capacity <= READ_KEEP_BYTES)
		return;
	if (c->held.addr != NULL)
		memacct_shrink(c->peer->conf.account, &c->held, c->held.bytes);
	TALLOC_FREE(c->in_buf);
	c->in_capacity = 0;
}

/*
 * Makes room in the buffer; false if there is no memory for it. Only senders
 * that haven't identified themselves are limited: how many instances there are
 * isn't known here, and 285 entry instances need more than an eighth of a
 * replica's 384 MB.
 */
static bool
conn_grow_buffer(struct conn *c)
{
	size_t cap = c->in_capacity;

	if (!c->has_hello && c->in_capacity > 0)
		return c->in_capacity > c->in_len;
	if (c->in_capacity - c->in_len >= READ_MIN_FREE_BYTES)
		return true;
	cap =
	    c->has_hello ? cap * 2 + 2 * READ_MIN_FREE_BYTES : HELLO_MAX_BYTES;
	if (c->held.addr != NULL && !c->has_hello &&
	    !memacct_grow(
		c->peer->conf.account, &c->held, cap - c->in_capacity))
		return false;
	c->in_buf = talloc_realloc(c, c->in_buf, uint8_t, cap);
	if (c->in_buf == NULL)
		abort();
	c->in_capacity = cap;
	return true;
}

/*
 * Reads and handles what has arrived, READS_PER_EVENT_MAX times at most; false
 * if the connection was closed.
 */
static bool
conn_read(struct conn *c)
{
	ssize_t n;
	int i;

	for (i = 0; i < READS_PER_EVENT_MAX; i++) {
		if (!conn_grow_buffer(c)) {
			ctr_add(c->peer->conf.ctr,
			    c->has_hello ? NCTR_PEERS_NO_MEMORY
					 : NCTR_PEER_HELLO_REFUSED,
			    1);
			conn_close(
			    c, c->has_hello ? "no_memory" : "long_hello");
			return false;
		}
		n = recv(c->fd, c->in_buf + c->in_len,
		    c->in_capacity - c->in_len, MSG_DONTWAIT);
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			return true;
		if (n <= 0) {
			conn_close(c, n == 0 ? "end" : "receive_failed");
			return false;
		}
		c->received_at = clk_now(&c->peer->clk);
		c->awaits_answer = false;
		c->owes_answer = true;
		c->in_len += (size_t)n;
		if (!conn_parse(c))
			return false;
		conn_shrink_buffer(c);
	}
	return true;
}

/* Handles the end of a connection attempt; false if it failed. */
static bool
conn_finish_connect(struct conn *c)
{
	socklen_t len = sizeof(int);
	int error = 0;

	getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &error, &len);
	if (error != 0) {
		conn_close(c, "connect_failed");
		return false;
	}
	c->connected = true;
	ctr_add(c->peer->conf.ctr, NCTR_PEER_CONNECTED, 1);
	return true;
}

/* Handles a socket that is readable or writable. */
static void
on_conn_event(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct conn *c = arg;

	if (!c->connected && !conn_finish_connect(c))
		return;
	if ((flags & TEVENT_FD_WRITE) && !conn_flush(c))
		return;
	if (flags & TEVENT_FD_READ)
		conn_read(c);
}

/* Creates a connection for a socket; l is NULL for an accepted one. addr is
 * the account's key for the other side. */
static struct conn *
conn_new(struct peer *p, struct link *l, int fd, bool connected, uint64_t addr)
{
	struct conn *c = talloc_zero(p, struct conn);

	if (c == NULL)
		abort();
	c->peer = p;
	c->link = l;
	c->fd = fd;
	c->connected = connected;
	c->tail = &c->head;
	if (p->conf.account != NULL &&
	    !memacct_open(p->conf.account, &c->held, MEMACCT_PEERS, addr, 0))
		abort(); /* nothing always fits */
	c->received_at = c->sent_at = clk_now(&p->clk);
	conn_await_answer(c, c->sent_at);
	c->fde = tevent_add_fd(p->ev, c, fd, TEVENT_FD_READ, on_conn_event, c);
	conn_update_events(c);
	return c;
}

/*
 * Sets the time of the next connection attempt: 0.5 to 1.5 times the backoff,
 * which then doubles up to PEER_BACKOFF_MAX_MS.
 */
static void
link_schedule_retry(struct link *l)
{
	struct peer *p = l->peer;
	int64_t wait = l->backoff_ms / 2 +
	    (int64_t)rng_below(&p->rng, (uint64_t)l->backoff_ms);

	l->retry_at = clk_add_ms(clk_now(&p->clk), wait);
	l->backoff_ms *= 2;
	if (l->backoff_ms > PEER_BACKOFF_MAX_MS)
		l->backoff_ms = PEER_BACKOFF_MAX_MS;
}

/*
 * Closes a connection and drops its queued messages: the protocols that use it
 * repeat a message or answer it with a timeout.
 */
static void
conn_close(struct conn *c, const char *why)
{
	struct peer *p = c->peer;
	struct link *l = c->link;

	if (c->connected) {
		ctr_add(p->conf.ctr, NCTR_PEER_CLOSED, 1);
		/* Connections without a valid HELLO must not fill the
		 * log. */
		log_event(l == NULL && !c->has_hello ? LOG_DEBUG : LOG_INFO,
		    "peer", "event=closed instance=%u direction=%s reason=%s",
		    l != NULL ? l->node.instance : c->instance,
		    l != NULL ? "out" : "in", why);
	}
	out_frames_free(c->head);
	TALLOC_FREE(c->fde);
	close(c->fd);
	if (p->conf.account != NULL)
		memacct_close(p->conf.account, &c->held);
	if (l == NULL) {
		if (c->prev != NULL)
			c->prev->next = c->next;
		else
			p->accepted_conns = c->next;
		if (c->next != NULL)
			c->next->prev = c->prev;
		p->naccepted--;
		talloc_free(c);
		return;
	}
	l->conn = NULL;
	out_frames_free(l->head);
	l->head = NULL;
	l->tail = &l->head;
	l->queued = 0;
	talloc_free(c);
	link_schedule_retry(l);
	if (!p->is_closing)
		p->conf.on_disconnect(p->conf.arg, l->node.instance);
}

/* Starts to connect to an instance and queues the HELLO. */
static void
link_connect(struct link *l)
{
	struct err e;
	int fd;

	err_clear(&e);
	fd = sock_connect(l->node.addr, &e);
	if (fd < 0) {
		log_event(LOG_DEBUG, "peer",
		    "event=connect_failed instance=%u "
		    "error=\"%s\"",
		    l->node.instance, e.msg);
		link_schedule_retry(l);
		return;
	}
	l->conn = conn_new(l->peer, l, fd, false, l->node.instance);
	conn_send_hello(l->conn);
}

/* Closes the oldest accepted connection that has not said HELLO; false if there
 * is none. Without this, anyone who opens connections could keep the instances
 * of the group out until the connections are closed as silent. */
static bool
shed_stranger(struct peer *p)
{
	struct conn *c, *oldest = NULL;

	/* New connections are added in front. */
	for (c = p->accepted_conns; c != NULL; c = c->next) {
		if (!c->has_hello)
			oldest = c;
	}
	if (oldest == NULL)
		return false;
	ctr_add(p->conf.ctr, NCTR_PEERS_SHED, 1);
	conn_close(oldest, "shed");
	return true;
}

/* Accepts a connection, or closes it at once above the limit. */
static void
on_accept(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct peer *p = arg;
	struct sockaddr_in from = { 0 };
	socklen_t len = sizeof(from);
	struct conn *c;
	int fd;

	fd = accept4(p->conf.listen_fd, (struct sockaddr *)&from, &len,
	    SOCK_NONBLOCK | SOCK_CLOEXEC);
	if (fd < 0)
		return;
	if (p->naccepted >= (p->conf.max_accepted != 0 ? p->conf.max_accepted
						       : PEER_ACCEPTED_MAX) &&
	    !shed_stranger(p)) {
		ctr_add(p->conf.ctr, NCTR_PEER_QUEUE_FULL, 1);
		close(fd);
		return;
	}
	sock_set_nodelay(fd);
	c = conn_new(p, NULL, fd, true, ntohl(from.sin_addr.s_addr));
	c->next = p->accepted_conns;
	if (c->next != NULL)
		c->next->prev = c;
	p->accepted_conns = c;
	p->naccepted++;
	ctr_add(p->conf.ctr, NCTR_PEER_ACCEPTED, 1);
}

/* Tells whether the other side has left what was sent unanswered for too long,
 * or has sent nothing at all. */
static bool
conn_is_silent(const struct conn *c, struct timespec now)
{
	return (c->awaits_answer &&
		   clk_diff_ms(now, c->unanswered_since) >=
		       PEER_ANSWER_TIMEOUT_MS) ||
	    clk_diff_ms(now, c->received_at) >= PEER_SILENCE_TIMEOUT_MS;
}

/* Tells whether a heartbeat is due. On an accepted connection it is an answer:
 * none is sent while nothing arrives, so that a connection that carries data
 * only in the other direction is noticed. */
static bool
conn_heartbeat_is_due(const struct conn *c, struct timespec now)
{
	if (!c->connected || c->head != NULL)
		return false;
	if (c->link != NULL)
		return clk_diff_ms(now, c->sent_at) >=
		    PEER_HEARTBEAT_INTERVAL_MS;
	return c->has_hello && c->owes_answer &&
	    clk_diff_ms(now, c->sent_at) >= PEER_ANSWER_INTERVAL_MS;
}

/* Moves a time ahead by how long this process was held up, but not past now:
 * what was read or sent after that doesn't count for longer. */
static struct timespec
skip_pause(struct timespec t, int64_t late_ms, struct timespec now)
{
	struct timespec later = clk_add_ms(t, late_ms);

	return clk_before(now, later) ? now : later;
}

/* Closes a silent connection, or sends a heartbeat if one is due. late_ms is
 * how long this process was held up: it has not read what may have arrived
 * meanwhile. */
static void
conn_tick(struct conn *c, struct timespec now, int64_t late_ms)
{
	c->received_at = skip_pause(c->received_at, late_ms, now);
	c->unanswered_since = skip_pause(c->unanswered_since, late_ms, now);
	if (conn_is_silent(c, now)) {
		ctr_add(c->peer->conf.ctr, NCTR_PEER_SILENT, 1);
		conn_close(c, "silent");
		return;
	}
	if (!conn_heartbeat_is_due(c, now))
		return;
	conn_queue(c, out_frame_new(FRAME_HEARTBEAT, NULL, 0));
	conn_flush(c);
}

/* Checks all connections and retries those that have failed. */
static void
on_tick(void *arg)
{
	struct peer *p = arg;
	struct timespec now = clk_now(&p->clk);
	int64_t late_ms = clk_diff_ms(now, p->ticked_at) - PEER_BACKOFF_MIN_MS;
	struct conn *c, *next;
	size_t i;

	if (late_ms < PEER_TICK_LATE_MS)
		late_ms = 0;
	p->ticked_at = now;
	mtimer_set_ms(&p->timer, PEER_BACKOFF_MIN_MS);
	for (c = p->accepted_conns; c != NULL; c = next) {
		next = c->next;
		conn_tick(c, now, late_ms);
	}
	for (i = 0; i < p->nlinks; i++) {
		if (p->links[i]->conn != NULL)
			conn_tick(p->links[i]->conn, now, late_ms);
		else if (!clk_before(now, p->links[i]->retry_at))
			link_connect(p->links[i]);
	}
}

/*
 * Queues a message for an instance. It waits until the connection is made and
 * the other side has sent its HELLO, and is lost if the connection fails.
 */
enum status
peer_send(struct peer *p, uint32_t instance, const Control__PeerMsg *m)
{
	struct link *l = peer_find_link(p, instance);
	struct out_frame *o;
	size_t len;

	if (l == NULL)
		return STATUS_NOT_FOUND;
	len = control__peer_msg__get_packed_size(m);
	if (len > FRAME_PAYLOAD_MAX_BYTES) {
		ctr_add(p->conf.ctr, NCTR_PEER_TOO_LARGE, 1);
		return STATUS_LIMIT;
	}
	if (l->queued + (l->conn == NULL ? 0 : l->conn->queued) + len >
	    PEER_QUEUE_MAX_BYTES) {
		ctr_add(p->conf.ctr, NCTR_PEER_QUEUE_FULL, 1);
		return STATUS_FULL;
	}
	o = malloc(sizeof(*o) + FRAME_HEADER_BYTES + len);
	if (o == NULL)
		abort();
	o->next = NULL;
	o->len = FRAME_HEADER_BYTES + len;
	control__peer_msg__pack(m, o->bytes + FRAME_HEADER_BYTES);
	frame_write_header(
	    o->bytes, FRAME_MSG, o->bytes + FRAME_HEADER_BYTES, len);
	if (l->conn != NULL && l->conn->has_hello) {
		conn_queue(l->conn, o);
		/* Written from the event loop: a failed write would be
		 * reported to a caller that still runs its actions. */
		conn_update_events(l->conn);
		return STATUS_OK;
	}
	*l->tail = o;
	l->tail = &o->next;
	l->queued += o->len;
	return STATUS_OK;
}

/*
 * Writes queued messages as far as the sockets accept them, without
 * waiting for the event loop. A connection that fails is closed, which is
 * reported to the owner from within this call.
 */
void
peer_flush(struct peer *p)
{
	size_t i;

	for (i = 0; i < p->nlinks; i++) {
		struct conn *c = p->links[i]->conn;

		if (c != NULL && c->connected && c->head != NULL)
			conn_flush(c);
	}
}

/* Closes all connections and the listening socket. */
static int
peer_destroy(struct peer *p)
{
	size_t i;

	p->is_closing = true;
	while (p->accepted_conns != NULL)
		conn_close(p->accepted_conns, "stop");
	for (i = 0; i < p->nlinks; i++) {
		if (p->links[i]->conn != NULL)
			conn_close(p->links[i]->conn, "stop");
		out_frames_free(p->links[i]->head);
	}
	TALLOC_FREE(p->listen_fde);
	close(p->conf.listen_fd);
	return 0;
}

/*
 * Adds an instance as a destination; one that is already known stays as it is.
 */
void
peer_add(struct peer *p, const struct node_peer *node)
{
	struct link *l;

	if (node->instance == p->conf.instance ||
	    peer_find_link(p, node->instance) != NULL)
		return;
	l = talloc_zero(p, struct link);
	p->links = talloc_realloc(p, p->links, struct link *, p->nlinks + 1);
	if (l == NULL || p->links == NULL)
		abort();
	l->peer = p;
	l->node = *node;
	l->node.addr = str_dup(l, node->addr);
	l->tail = &l->head;
	l->backoff_ms = PEER_BACKOFF_MIN_MS;
	l->retry_at = clk_now(&p->clk);
	p->links[p->nlinks++] = l;
}

/* Starts to accept connections and to connect to each other instance. */
struct peer *
peer_new(
    TALLOC_CTX *ctx, struct tevent_context *ev, const struct peer_conf *conf)
{
	struct peer *p = talloc_zero(ctx, struct peer);
	size_t i;

	if (p == NULL)
		abort();
	p->conf = *conf;
	p->ev = ev;
	p->clk = clk_system();
	p->ticked_at = clk_now(&p->clk);
	rng_init(&p->rng, conf->seed);
	for (i = 0; i < conf->npeers; i++)
		peer_add(p, &conf->peers[i]);
	p->listen_fde =
	    tevent_add_fd(ev, p, conf->listen_fd, TEVENT_FD_READ, on_accept, p);
	mtimer_init(&p->timer, mtimer_queue_new(p, ev), on_tick, p);
	mtimer_set_ms(&p->timer, 0);
	talloc_set_destructor(p, peer_destroy);
	return p;
}
