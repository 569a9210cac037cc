#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"
#include "node/nctr.h"
#include "node/sock.h"
#include "node/wcon_impl.h"

/* One connection to a worker and the call on it. */

#define READ_MAX_BYTES 65536

/* Appends to the body of the answer, up to WCON_ANSWER_MAX_BYTES. */
static int
on_body(http_parser *p, const char *data, size_t len)
{
	struct wconn *c = p->data;
	struct wcon_call *k = c->call;
	size_t cap = k->body_cap == 0 ? 1024 : k->body_cap;

	if (k->body_len + len > WCON_ANSWER_MAX_BYTES) {
		ctr_add(c->host->pool->conf.ctr, NCTR_BACK_ANSWER_LIMIT, 1);
		return 1;
	}
	while (cap < k->body_len + len)
		cap *= 2;
	if (cap != k->body_cap) {
		k->body = talloc_realloc(k, k->body, uint8_t, cap);
		if (k->body == NULL)
			abort();
		k->body_cap = cap;
	}
	memcpy(k->body + k->body_len, data, len);
	k->body_len += len;
	return 0;
}

/* Handles the end of an answer. One that ends only with its connection is
 * refused, as it may be truncated. */
static int
on_complete(http_parser *p)
{
	struct wconn *c = p->data;

	if (p->status_code / 100 == 1) {
		c->call->body_len = 0;
		return 0;
	}
	if ((p->flags & (F_CONTENTLENGTH | F_CHUNKED)) == 0 &&
	    p->status_code != 204 && p->status_code != 304) {
		ctr_add(c->host->pool->conf.ctr, NCTR_BACK_NO_LENGTH, 1);
		return 1;
	}
	c->call->is_complete = true;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_body = on_body,
	.on_message_complete = on_complete,
};

/* Removes a connection from the list of idle ones. */
void
wconn_remove_idle(struct wconn *c)
{
	g_queue_unlink(&c->host->pool->idle_conns, &c->idle_link);
}

/* Closes a connection; its call, if any, stays without one. */
void
wconn_close(struct wconn *c)
{
	struct wcon_host *h = c->host;
	struct wconn **p;

	if (c->call == NULL)
		wconn_remove_idle(c);
	else
		c->call->conn = NULL;
	for (p = &h->conns; *p != c; p = &(*p)->next)
		;
	*p = c->next;
	h->nconns--;
	h->pool->nconns--;
	ctr_add(h->pool->conf.ctr, NCTR_WCON_CLOSED, 1);
	talloc_free(c->fde);
	close(c->fd);
	talloc_free(c);
}

/* Closes a connection that failed, and reports the failure of its call. */
static void
fail_conn(struct wconn *c)
{
	struct wcon_call *k = c->call;
	struct wcon_host *h = c->host;
	struct wcon *w = h->pool;
	enum wcon_failure failure;
	void *user;

	wconn_close(c);
	if (k == NULL) {
		wcon_dispatch_blocked(w);
		return;
	}
	failure = wcon_call_failure(k);
	user = k->user;
	wcon_count_failure(k);
	wcon_call_free(k);
	wcon_host_dispatch(h);
	wcon_dispatch_blocked(w);
	w->conf.on_failed(w->conf.arg, user, failure);
}

/*
 * Sends the rest of the request. Returns false if the connection failed, or if
 * the call's send_by has passed before its first byte was sent: this process
 * may have been paused.
 */
static bool
write_request(struct wconn *c)
{
	struct wcon_call *k = c->call;
	struct wcon *w = c->host->pool;
	ssize_t n;

	if (k != NULL && !k->has_sent &&
	    !clk_before(clk_now(&w->conf.clk), k->send_by)) {
		k->is_late = true;
		return false;
	}
	while (k != NULL && c->sent_bytes < k->len) {
		if (!k->has_sent) {
			k->sent_at = clk_now(&w->conf.clk);
			if (w->conf.on_sending != NULL)
				w->conf.on_sending(w->conf.arg, k->user);
		}
		k->has_sent = true;
		n = send(c->fd, k->request + c->sent_bytes,
		    k->len - c->sent_bytes, MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			break;
		if (n < 0)
			return false;
		c->sent_bytes += (size_t)n;
	}
	tevent_fd_set_flags(c->fde,
	    k != NULL && c->sent_bytes < k->len
		? TEVENT_FD_READ | TEVENT_FD_WRITE
		: TEVENT_FD_READ);
	return true;
}

/* Reports a complete answer. The connection is kept if the whole request was
 * sent, no extra bytes followed the answer, and the worker keeps it too. */
static void
finish_call(struct wconn *c, bool extra)
{
	struct wcon_call *k = c->call;
	struct wcon_host *h = c->host;
	struct wcon *w = h->pool;
	int status = c->parser.status_code;
	struct str body;
	bool keep;

	http_parser_pause(&c->parser, 0);
	keep = !extra && c->sent_bytes == k->len &&
	    http_should_keep_alive(&c->parser);
	c->call = NULL;
	k->conn = NULL;
	c->used_at = clk_now(&w->conf.clk);
	g_queue_push_tail_link(&w->idle_conns, &c->idle_link);
	if (!keep)
		wconn_close(c);
	wcon_host_dispatch(h);
	wcon_dispatch_blocked(w);
	body = str_mem(k->body, k->body_len);
	w->conf.on_done(w->conf.arg, k->user, status, body);
	wcon_call_free(k);
}

/* Reads and parses a part of the answer. */
static void
read_answer(struct wconn *c)
{
	char buf[READ_MAX_BYTES];
	ssize_t n = recv(c->fd, buf, sizeof(buf), MSG_DONTWAIT);
	size_t used;

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0 || c->call == NULL) {
		fail_conn(c);
		return;
	}
	used =
	    http_parser_execute(&c->parser, &parser_settings, buf, (size_t)n);
	if (c->call->is_complete)
		finish_call(c, used < (size_t)n);
	else if (HTTP_PARSER_ERRNO(&c->parser) != HPE_OK)
		fail_conn(c);
}

/* Handles a connection that is established, writable or readable. */
static void
on_event(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct wconn *c = arg;
	int error = 0;
	socklen_t len = sizeof(error);

	if (!c->connected) {
		if (getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &error, &len) < 0 ||
		    error != 0) {
			if (c->call != NULL)
				c->call->is_refused = error == ECONNREFUSED;
			fail_conn(c);
			return;
		}
		if (!(flags & TEVENT_FD_WRITE))
			return;
		c->connected = true;
	}
	if ((flags & TEVENT_FD_WRITE) && !write_request(c)) {
		fail_conn(c);
		return;
	}
	if (flags & TEVENT_FD_READ)
		read_answer(c);
}

/* Assigns a call to an idle or new connection. Returns false if the call can't
 * be sent on it. */
bool
wconn_assign(struct wconn *c, struct wcon_call *k)
{
	c->call = k;
	c->ncalls++;
	k->conn = c;
	c->sent_bytes = 0;
	http_parser_init(&c->parser, HTTP_RESPONSE);
	c->parser.data = c;
	return !c->connected || write_request(c);
}

/* Opens a connection to a host; returns NULL if the system refuses it. */
struct wconn *
wconn_open(struct wcon_host *h)
{
	struct wcon *w = h->pool;
	struct wconn *c;
	struct err e;
	int fd;

	err_clear(&e);
	fd = sock_connect(str_from(h->addr), &e);
	if (fd < 0) {
		log_event(LOG_WARNING, "wcon",
		    "event=connect_failed addr=%s open=%zu error=\"%s\"",
		    h->addr, w->nconns, e.msg);
		return NULL;
	}
	c = talloc_zero(h, struct wconn);
	if (c == NULL)
		abort();
	c->host = h;
	c->fd = fd;
	c->idle_link.data = c;
	c->fde = tevent_add_fd(
	    w->conf.ev, c, fd, TEVENT_FD_READ | TEVENT_FD_WRITE, on_event, c);
	c->next = h->conns;
	h->conns = c;
	h->nconns++;
	w->nconns++;
	ctr_add(w->conf.ctr, NCTR_WCON_OPENED, 1);
	return c;
}

/* Tells whether an idle connection can take a call: the worker hasn't closed it
 * and has sent nothing that would be taken for the answer. */
static bool
is_quiet(const struct wconn *c)
{
	char byte;

	return recv(c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	    errno == EAGAIN;
}

/* Returns a usable connection of a host that is idle for less than
 * WCON_IDLE_MS, or NULL. */
struct wconn *
wconn_find_idle(struct wcon_host *h)
{
	struct timespec now = clk_now(&h->pool->conf.clk);
	struct wconn *c, *next;

	for (c = h->conns; c != NULL; c = next) {
		next = c->next;
		if (c->call != NULL)
			continue;
		if (clk_diff_ms(now, c->used_at) < WCON_IDLE_MS && is_quiet(c))
			return c;
		wconn_close(c);
	}
	return NULL;
}

/* Closes the idle connections of a host that haven't answered since a moment.
 * Connections that fail without a reset often fail together. */
void
wconn_close_older(struct wcon_host *h, struct timespec t)
{
	struct wconn *c, *next;

	for (c = h->conns; c != NULL; c = next) {
		next = c->next;
		if (c->call != NULL || clk_before(t, c->used_at))
			continue;
		ctr_add(h->pool->conf.ctr, NCTR_WCON_DISTRUSTED, 1);
		wconn_close(c);
	}
}
