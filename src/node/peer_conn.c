#include "node/peer_impl.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"
#include "node/shed.h"

/* So that one sender can't starve others. */
#define READ_PER_EVENT_MAX_BYTES (256 * 1024)

/*
 * Waits for writability only while there is something to write or the
 * connection is being made, and for readability unless it waits for memory.
 */
void
peer_conn_update_events(struct peer_conn *c)
{
	uint16_t flags = c->is_waiting ? 0 : TEVENT_FD_READ;

	if (!c->connected || c->out.head != NULL)
		flags |= TEVENT_FD_WRITE;
	tevent_fd_set_flags(c->fde, flags);
}

/* Records that bytes are sent which the other side has to answer. */
static void
conn_await_answer(struct peer_conn *c, struct timespec now)
{
	if (c->link == NULL || c->awaits_answer)
		return;
	c->awaits_answer = true;
	c->unanswered_since = now;
}

/* Writes what the socket accepts; false if the connection was closed. */
bool
peer_conn_flush(struct peer_conn *c)
{
	struct sendq_frame *f;
	ssize_t n;

	while ((f = c->out.head) != NULL) {
		n = send(c->fd, f->bytes + c->out.head_written,
		    f->len - c->out.head_written, MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			break;
		if (n < 0) {
			peer_conn_close(c, "send_failed");
			return false;
		}
		c->sent_at = clk_now(&c->peer->clk);
		c->owes_answer = false;
		conn_await_answer(c, c->sent_at);
		sendq_advance(&c->out, (size_t)n);
	}
	peer_conn_update_events(c);
	return true;
}

/* Queues the HELLO frame, which names this instance and its replica. */
void
peer_conn_send_hello(struct peer_conn *c)
{
	Control__PeerMsg m = CONTROL__PEER_MSG__INIT;
	Control__Hello h = CONTROL__HELLO__INIT;
	struct peer *p = c->peer;
	struct sendq_frame *f;

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
	f = sendq_frame_new(control__peer_msg__get_packed_size(&m));
	control__peer_msg__pack(&m, sendq_frame_payload(f));
	sendq_push(&c->out, FRAME_HELLO, f);
	talloc_free(h.cluster);
}

/* Returns why a HELLO is refused, NULL if it is valid. */
static const char *
check_hello(struct peer_conn *c, const Control__Hello *h)
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
link_send_queued(struct peer_link *l)
{
	l->backoff_ms = PEER_BACKOFF_MIN_MS;
	sendq_append(&l->conn->out, &l->waiting);
}

/* Handles a HELLO; false if the connection was closed. */
static bool
conn_handle_hello(struct peer_conn *c, const Control__Hello *h)
{
	const char *fault = check_hello(c, h);
	struct peer_conn *o, *next;

	if (fault != NULL) {
		ctr_add(c->peer->conf.ctr, NCTR_PEER_HELLO_REFUSED, 1);
		peer_conn_close(c, fault);
		return false;
	}
	c->has_hello = true;
	c->is_replica = h->has_replica && h->replica != 0;
	c->instance = h->instance;
	c->incarnation = h->incarnation;
	if (c->link != NULL) {
		link_send_queued(c->link);
		return peer_conn_flush(c);
	}
	/* A newer connection of the same instance replaces the old one. */
	for (o = c->peer->accepted_conns; o != NULL; o = next) {
		next = o->next;
		if (o != c && o->has_hello && o->instance == c->instance)
			peer_conn_close(o, "replaced");
	}
	peer_conn_send_hello(c);
	return peer_conn_flush(c);
}

/* Returns why a message is invalid at this point, NULL if it is valid. */
static const char *
check_msg(const struct peer_conn *c, const Control__PeerMsg *m)
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
conn_handle_frame(struct peer_conn *c, const struct frame *f)
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
		peer_conn_close(c, fault);
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

/* Removes a connection from those that wait for memory, if it waits. */
static void
stop_waiting(struct peer_conn *c)
{
	struct peer_conn **at = &c->peer->waiting;

	if (!c->is_waiting)
		return;
	while (*at != c)
		at = &(*at)->next_waiting;
	*at = c->next_waiting;
	c->is_waiting = false;
}

/* Begins to wait for memory: nothing is read until the frame at the start of
 * the buffer fits, so that its sender waits. Replicas come first, as their
 * group can't go on without them. */
static void
begin_waiting(struct peer_conn *c)
{
	struct peer_conn **at = &c->peer->waiting;

	if (c->is_waiting)
		return;
	while (*at != NULL && (!c->is_replica || (*at)->is_replica))
		at = &(*at)->next_waiting;
	c->next_waiting = *at;
	*at = c;
	c->is_waiting = true;
	ctr_add(c->peer->conf.ctr, NCTR_PEER_READS_PAUSED, 1);
	peer_conn_update_events(c);
}

/* Tells whether no connection that waits for memory comes before this one. */
static bool
is_next(const struct peer_conn *c)
{
	const struct peer_conn *first = c->peer->waiting;

	return first == NULL || first == c ||
	    (c->is_replica && !first->is_replica);
}

/* Makes room to read; closes the connection if its frame is longer than it may
 * be. A frame waits behind those that began to wait earlier, but one of a
 * replica only behind those of replicas. */
static bool
conn_make_room(struct peer_conn *c)
{
	bool is_new_frame = recvbuf_missing(&c->in) > 0;
	/* Only a HELLO and heartbeats arrive on connections of links. */
	bool allows_large = c->has_hello && c->link == NULL;

	switch (recvbuf_make_room(
	    &c->in, allows_large, is_next(c), c->is_replica)) {
	case RECVBUF_ROOM:
		if (is_new_frame)
			c->frame_since = clk_now(&c->peer->clk);
		return true;
	case RECVBUF_NO_ROOM:
		begin_waiting(c);
		return false;
	case RECVBUF_TOO_LONG:
		break;
	}
	ctr_add(c->peer->conf.ctr,
	    c->has_hello ? NCTR_PEER_BAD_MESSAGE : NCTR_PEER_HELLO_REFUSED, 1);
	peer_conn_close(c, c->has_hello ? "unexpected_message" : "long_hello");
	return false;
}

/* Reads on from connections that waited for memory, in turn, as far as their
 * frames fit now. */
static void
resume_waiting(struct peer *p)
{
	struct peer_conn *c;

	while ((c = p->waiting) != NULL && conn_make_room(c)) {
		stop_waiting(c);
		peer_conn_update_events(c);
	}
}

/*
 * Handles all whole frames in the buffer; false if the connection was closed.
 */
static bool
conn_parse(struct peer_conn *c)
{
	enum frame_fault fault;
	struct frame f;
	size_t off = 0;

	for (;;) {
		fault = frame_parse(
		    str_mem(c->in.bytes + off, c->in.len - off), &f);
		if (fault == FRAME_INCOMPLETE)
			break;
		if (fault != FRAME_OK) {
			ctr_add(c->peer->conf.ctr, NCTR_PEER_BAD_FRAME, 1);
			peer_conn_close(c, frame_fault_name(fault));
			return false;
		}
		if (!conn_handle_frame(c, &f))
			return false;
		off += f.size;
	}
	if (recvbuf_consume(&c->in, off))
		resume_waiting(c->peer);
	return true;
}

/* Reads and handles what has arrived, until READ_PER_EVENT_MAX_BYTES were read,
 * there is no memory for more, or the connection was closed. */
static void
conn_read(struct peer_conn *c)
{
	size_t total = 0, room;
	ssize_t n;

	while (total < READ_PER_EVENT_MAX_BYTES) {
		if (!conn_make_room(c))
			return;
		room = c->in.capacity - c->in.len;
		n = recv(c->fd, c->in.bytes + c->in.len, room, MSG_DONTWAIT);
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			return;
		if (n <= 0) {
			peer_conn_close(c, n == 0 ? "end" : "receive_failed");
			return;
		}
		total += (size_t)n;
		c->received_at = clk_now(&c->peer->clk);
		c->awaits_answer = false;
		c->owes_answer = true;
		c->in.len += (size_t)n;
		/* A second read would nearly always find nothing. */
		if (!conn_parse(c) || (size_t)n < room)
			return;
	}
}

/* Handles the end of a connection attempt; false if it failed. */
static bool
conn_finish_connect(struct peer_conn *c)
{
	socklen_t len = sizeof(int);
	int error = 0;

	getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &error, &len);
	if (error != 0) {
		peer_conn_close(c, "connect_failed");
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
	struct peer_conn *c = arg;

	if (!c->connected && !conn_finish_connect(c))
		return;
	if ((flags & TEVENT_FD_WRITE) && !peer_conn_flush(c))
		return;
	if (flags & TEVENT_FD_READ)
		conn_read(c);
}

/* Creates a connection for a socket. */
struct peer_conn *
peer_conn_new(struct peer *p, struct peer_link *l, int fd, bool connected,
    uint64_t addr, bool is_forced)
{
	struct peer_conn *c = talloc_zero(p, struct peer_conn);

	if (c == NULL)
		abort();
	if (!recvbuf_init(&c->in, p->conf.account, addr, is_forced)) {
		talloc_free(c);
		return NULL;
	}
	sendq_init(&c->out, p->conf.account, addr);
	c->peer = p;
	c->link = l;
	c->fd = fd;
	c->connected = connected;
	c->received_at = c->sent_at = clk_now(&p->clk);
	conn_await_answer(c, c->sent_at);
	c->fde = tevent_add_fd(p->ev, c, fd, TEVENT_FD_READ, on_conn_event, c);
	peer_conn_update_events(c);
	return c;
}

/*
 * Closes a connection and drops its queued messages: the protocols that use it
 * repeat a message or answer it with a timeout.
 */
void
peer_conn_close(struct peer_conn *c, const char *why)
{
	struct peer *p = c->peer;
	struct peer_link *l = c->link;

	if (c->connected) {
		ctr_add(p->conf.ctr, NCTR_PEER_CLOSED, 1);
		/* Connections without a valid HELLO must not fill the
		 * log. */
		log_event(l == NULL && !c->has_hello ? LOG_DEBUG : LOG_INFO,
		    "peer", "event=closed instance=%u direction=%s reason=%s",
		    l != NULL ? l->node.instance : c->instance,
		    l != NULL ? "out" : "in", why);
	}
	stop_waiting(c);
	recvbuf_destroy(&c->in);
	sendq_destroy(&c->out);
	TALLOC_FREE(c->fde);
	close(c->fd);
	if (l == NULL) {
		if (c->prev != NULL)
			c->prev->next = c->next;
		else
			p->accepted_conns = c->next;
		if (c->next != NULL)
			c->next->prev = c->prev;
		p->naccepted--;
	}
	talloc_free(c);
	if (!p->is_closing)
		resume_waiting(p);
	if (l != NULL)
		peer_link_on_close(l);
}

/* Tells whether the other side has left what was sent unanswered for too long,
 * or has sent nothing at all. */
static bool
conn_is_silent(const struct peer_conn *c, struct timespec now)
{
	return (c->awaits_answer &&
		   clk_diff_ms(now, c->unanswered_since) >=
		       PEER_ANSWER_TIMEOUT_MS) ||
	    clk_diff_ms(now, c->received_at) >= PEER_SILENCE_TIMEOUT_MS;
}

/* Tells whether a large frame arrives more slowly than a body may, or, while
 * others wait for memory, than a connection may that is kept in a shortage. */
static bool
conn_is_slow(const struct peer_conn *c, struct timespec now)
{
	struct shed_conn s = { .phase = SHED_BODY,
		.phase_ms = clk_diff_ms(now, c->frame_since),
		.progress = c->in.len };
	int64_t fair_ms = (int64_t)(c->in.len * 1000 / SHED_FAIR_BYTES_PER_SEC);

	if (c->in.capacity <= RECVBUF_SMALL_BYTES)
		return false;
	if (c->peer->waiting != NULL &&
	    s.phase_ms > PEER_FRAME_GRACE_MS + fair_ms)
		return true;
	return shed_check(&s) != SHED_KEEP;
}

/* Tells whether a heartbeat is due. On an accepted connection it is an answer:
 * none is sent while nothing arrives, so that a connection that carries data
 * only in the other direction is noticed.
 * While nothing is read, heartbeats tell the sender to wait. */
static bool
conn_heartbeat_is_due(const struct peer_conn *c, struct timespec now)
{
	if (!c->connected || c->out.head != NULL)
		return false;
	if (c->link != NULL)
		return clk_diff_ms(now, c->sent_at) >=
		    PEER_HEARTBEAT_INTERVAL_MS;
	return c->has_hello && (c->owes_answer || c->is_waiting) &&
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

/* Closes a silent or too slow connection, or sends a heartbeat if one is due.
 * late_ms is how long this process was held up: it has not read what may have
 * arrived meanwhile. */
void
peer_conn_tick(struct peer_conn *c, struct timespec now, int64_t late_ms)
{
	c->received_at =
	    c->is_waiting ? now : skip_pause(c->received_at, late_ms, now);
	c->unanswered_since = skip_pause(c->unanswered_since, late_ms, now);
	c->frame_since = skip_pause(c->frame_since, late_ms, now);
	if (conn_is_silent(c, now)) {
		ctr_add(c->peer->conf.ctr, NCTR_PEER_SILENT, 1);
		peer_conn_close(c, "silent");
		return;
	}
	if (conn_is_slow(c, now)) {
		ctr_add(c->peer->conf.ctr, NCTR_PEER_SLOW, 1);
		peer_conn_close(c, "slow");
		return;
	}
	if (!conn_heartbeat_is_due(c, now))
		return;
	sendq_push(&c->out, FRAME_HEARTBEAT, sendq_frame_new(0));
	peer_conn_flush(c);
}
