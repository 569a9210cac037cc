#include "node/front.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"
#include "node/front_impl.h"

static void front_run(struct front *);

/* Runs the library when its epoll descriptor is ready. */
static void
on_library_ready(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	front_run(arg);
}

/* Runs the library when its timeout has passed. */
static void
on_timer(void *arg)
{
	front_run(arg);
}

/* Runs the library when front_run_soon has asked for it. */
static void
on_immediate(struct tevent_context *ev, struct tevent_immediate *im, void *arg)
{
	front_run(arg);
}

/*
 * Runs the library and arms the next run. The library keeps a list of
 * connections with buffered input, so its epoll descriptor alone does not show
 * when it has to run.
 */
static void
front_run(struct front *f)
{
	MHD_UNSIGNED_LONG_LONG ms;

	if (f->in_library) {
		f->run_again = true;
		return;
	}
	f->in_library = true;
	f->run_again = false;
	f->now = clk_now(&f->clk);
	f->nruns++;
	MHD_run(f->mhd);
	f->in_library = false;
	mtimer_clear(&f->timer);
	if (f->run_again ||
	    (MHD_get_timeout(f->mhd, &ms) == MHD_YES && ms == 0)) {
		tevent_schedule_immediate(f->run_event, f->ev, on_immediate, f);
	} else if (MHD_get_timeout(f->mhd, &ms) == MHD_YES) {
		mtimer_set_ms(&f->timer, (int64_t)ms);
	}
}

/* Runs the library from the event loop; safe within its callbacks. */
void
front_run_soon(struct front *f)
{
	if (f->in_library)
		f->run_again = true;
	else
		tevent_schedule_immediate(f->run_event, f->ev, on_immediate, f);
}

/*
 * Returns whether a request target has an allowed length and only allowed
 * characters.
 */
static bool
is_target_valid(struct str t)
{
	size_t i;

	if (t.len == 0 || t.len > FRONT_TARGET_MAX_BYTES || t.p[0] != '/')
		return false;
	for (i = 0; i < t.len; i++) {
		if (t.p[i] <= ' ' || t.p[i] > '~' || t.p[i] == '#')
			return false;
	}
	return true;
}

/* Called with the request line, before the library decodes the target. */
static void *
on_request_line(void *arg, const char *uri, struct MHD_Connection *mhd)
{
	struct front *f = arg;
	struct front_conn *c;
	const char *q;
	struct str t;

	c = talloc_zero(f, struct front_conn);
	if (c == NULL)
		abort();
	c->req.front = f;
	c->mhd = mhd;
	c->sock = front_sock_of(mhd);
	c->sock->request = c;
	/* What the library reads after an answer in the same run had arrived
	 * before. */
	if (c->sock->completed_run == f->nruns)
		c->sock->pipelined++;
	else
		c->sock->pipelined = 0;
	front_sock_enter(c->sock, SHED_HEADERS);
	t = str_dup(c, str_from(uri));
	c->req.target = t;
	q = memchr(t.p, '?', t.len);
	c->req.path = str_mem(t.p, q == NULL ? t.len : (size_t)(q - t.p));
	if (q != NULL)
		c->req.query = str_mem(q + 1, t.len - c->req.path.len - 1);
	f->nrequests++;
	return c;
}

/* Keeps a header field; a count of REQUEST_HEADERS_MAX + 1 marks too many. */
static enum MHD_Result
on_header(void *arg, enum MHD_ValueKind kind, const char *name, size_t name_len,
    const char *value, size_t value_len)
{
	struct front_conn *c = arg;

	if (c->req.nheaders == REQUEST_HEADERS_MAX) {
		c->req.nheaders = REQUEST_HEADERS_MAX + 1;
		return MHD_NO;
	}
	c->headers[c->req.nheaders].name = str_mem(name, name_len);
	c->headers[c->req.nheaders].value =
	    value == NULL ? str_from("") : str_mem(value, value_len);
	c->req.nheaders++;
	return MHD_YES;
}

/*
 * Returns the value of the first header with a name, compared without regard to
 * case.
 */
struct str
front_header_get(const struct front_req *req, const char *name, size_t *nfound)
{
	struct str found = str_from("");
	size_t i, n = 0, len = strlen(name);

	for (i = 0; i < req->nheaders; i++) {
		if (req->headers[i].name.len != len ||
		    strncasecmp(req->headers[i].name.p, name, len) != 0)
			continue;
		if (n++ == 0)
			found = req->headers[i].value;
	}
	if (nfound != NULL)
		*nfound = n;
	return found;
}

/* Creates the response from copies of the reply's body and headers. A large
 * body for which there is no memory is replaced by a refusal. */
static void
conn_create_response(struct front_conn *c, const struct front_reply *r)
{
	struct front_header retry = { str_from("Retry-After"), str_from("1") };
	struct front_reply no_memory = {
		.status = 503, .headers = &retry, .nheaders = 1
	};
	size_t i;
	char *name, *value;

	front_sock_end_work(c->sock);
	if (r->body.len > FRONT_ANSWER_SMALL_BYTES &&
	    !front_sock_begin_work(c->sock, r->body.len)) {
		ctr_add(c->req.front->conf.ctr,
		    front_entry_counter(c->req.front, NCTR_REQUESTS_NO_MEMORY),
		    1);
		r = &no_memory;
	}
	front_sock_enter(c->sock, SHED_ANSWER);
	c->sock->answer = r->body.len;

	c->response = MHD_create_response_from_buffer(
	    r->body.len, (void *)(uintptr_t)r->body.p, MHD_RESPMEM_MUST_COPY);
	if (c->response == NULL)
		abort();
	for (i = 0; i < r->nheaders; i++) {
		name = str_cstr(c, r->headers[i].name);
		value = str_cstr(c, r->headers[i].value);
		MHD_add_response_header(c->response, name, value);
		talloc_free(name);
		talloc_free(value);
	}
	if (c->req.front->draining || c->sock->pipelined >= FRONT_PIPELINED_MAX)
		MHD_add_response_header(
		    c->response, MHD_HTTP_HEADER_CONNECTION, "close");
	c->status = r->status;
	c->answered = true;
}

/* Passes the response to the library. */
static enum MHD_Result
conn_send_response(struct front_conn *c)
{
	enum MHD_Result ret;

	ret = MHD_queue_response(c->mhd, (unsigned)c->status, c->response);
	MHD_destroy_response(c->response);
	c->response = NULL;
	return ret;
}

/* Answers a request that is not passed to the handler, and counts it. */
static enum MHD_Result
conn_refuse(struct front_conn *c, int status, const char *name,
    const char *message, size_t which)
{
	struct front_header h[2] = { { str_from("Content-Type"),
					 str_from("application/json") },
		{ str_from("Retry-After"), str_from("1") } };
	struct front_reply r = { .status = status,
		.headers = h,
		.nheaders = status == 503 ? 2 : 1 };
	char *body;

	ctr_add(c->req.front->conf.ctr, which, 1);
	body = talloc_asprintf(
	    c, "{\"status\":\"%s\",\"message\":\"%s\"}\n", name, message);
	if (body == NULL)
		abort();
	r.body = str_from(body);
	conn_create_response(c, &r);
	c->is_delivered = true;
	return conn_send_response(c);
}

/*
 * Reports a client that closed its connection while its request was being
 * handled.
 */
static void
on_client_event(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct front_conn *c = arg;
	ssize_t n;
	char b;

	n = recv(c->fd, &b, 1, MSG_PEEK | MSG_DONTWAIT);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	/* More input is the next request; it hides the end of the connection,
	 * so there is nothing left to watch for. */
	TALLOC_FREE(c->client_watch);
	if (n > 0)
		return;
	c->client_gone = true;
	ctr_add(c->req.front->conf.ctr, NCTR_HTTP_CLIENT_GONE, 1);
	c->req.front->conf.on_client_gone(c->req.front->conf.arg, &c->req);
}

/*
 * Handles a piece of a body that is over the limit. The refusal is sent at
 * once, and the rest dropped: false if the connection is to be closed.
 */
static bool
conn_cut_off(struct front_conn *c, size_t len)
{
	struct front *f = c->req.front;

	if (!c->cut_off) {
		c->cut_off = true;
		front_sock_refuse(c->sock, 413);
		front_drop_body(c);
		c->body_len = 0;
		ctr_add(f->conf.ctr, NCTR_HTTP_BODY_LIMIT, 1);
		ctr_add(f->conf.ctr,
		    front_entry_counter(f, NCTR_REQUESTS_CUT_OFF), 1);
	}
	c->body_len += len;
	return c->body_len <= FRONT_DISCARD_MAX_BYTES;
}

/* Appends a piece of the body; false if the connection is to be closed. */
static bool
conn_append_body(struct front_conn *c, const char *data, size_t len)
{
	struct front *f = c->req.front;
	size_t cap;

	if (c->sock->phase == SHED_CLOSING)
		return false;
	if (c->cut_off || c->body_len + len > f->conf.body_max)
		return conn_cut_off(c, len);
	if (c->body_len + len > c->body_capacity) {
		cap = c->body_capacity == 0 ? 1024 : c->body_capacity;
		while (cap < c->body_len + len)
			cap *= 2;
		if (!front_sock_grow(c->sock, cap - c->body_capacity))
			return false;
		c->body = talloc_realloc(c, c->body, uint8_t, cap);
		if (c->body == NULL)
			abort();
		c->body_capacity = cap;
	}
	memcpy(c->body + c->body_len, data, len);
	c->body_len += len;
	c->sock->progress = c->body_len;
	return true;
}

/*
 * Checks the headers of a request before its body is read. done: the request
 * has been answered.
 */
static enum MHD_Result
conn_check_headers(struct front_conn *c, const char *method, bool *done)
{
	struct front *f = c->req.front;
	struct str length;
	int64_t len;
	size_t n;

	*done = true;
	c->headers_checked = true;
	front_sock_enter(c->sock, SHED_BODY);
	ctr_add(f->conf.ctr, NCTR_HTTP_REQUESTS, 1);
	c->req.method = str_dup(c, str_from(method));
	c->req.headers = c->headers;
	MHD_get_connection_values_n(c->mhd, MHD_HEADER_KIND, on_header, c);
	if (c->req.nheaders > REQUEST_HEADERS_MAX) {
		c->req.nheaders = 0;
		return conn_refuse(c, 431, "LIMIT", "too many header fields",
		    NCTR_HTTP_BAD_HEADER);
	}
	if (!is_target_valid(c->req.target))
		return conn_refuse(c, 400, "INVALID",
		    "target is too long or contains invalid bytes",
		    NCTR_HTTP_BAD_TARGET);
	length = front_header_get(&c->req, "Content-Length", &n);
	if (n > 1 || (n == 1 && (!str_to_i64(length, &len) || len < 0)) ||
	    (n == 1 &&
		front_header_get(&c->req, "Transfer-Encoding", NULL).len > 0))
		return conn_refuse(c, 400, "INVALID",
		    "length of the request body is ambiguous",
		    NCTR_HTTP_BAD_HEADER);
	if (n == 1 && (uint64_t)len > f->conf.body_max)
		return conn_refuse(c, 413, "LIMIT",
		    "request body is over the limit", NCTR_HTTP_BODY_LIMIT);
	*done = false;
	return MHD_YES;
}

/*
 * Passes a whole request to the handler and suspends the connection until its
 * reply.
 */
static enum MHD_Result
conn_deliver_request(struct front_conn *c)
{
	struct front *f = c->req.front;
	const union MHD_ConnectionInfo *info;

	if (!front_sock_begin_work(
		c->sock, FRONT_WORK_BYTES + c->body_len * f->conf.body_copies))
		return conn_refuse(c, 503, "BUSY",
		    "no memory for the request, it was not run",
		    front_entry_counter(f, NCTR_REQUESTS_NO_MEMORY));
	c->is_delivered = true;
	c->req.body = str_mem(c->body, c->body_len);
	front_sock_enter(c->sock, SHED_HELD);
	f->conf.on_request(f->conf.arg, &c->req);
	if (c->answered)
		return conn_send_response(c);
	MHD_suspend_connection(c->mhd);
	c->suspended = true;
	c->prev = NULL;
	c->next = f->suspended;
	if (c->next != NULL)
		c->next->prev = c;
	f->suspended = c;
	info =
	    MHD_get_connection_info(c->mhd, MHD_CONNECTION_INFO_CONNECTION_FD);
	c->fd = info->connect_fd;
	c->client_watch =
	    tevent_add_fd(f->ev, c, c->fd, TEVENT_FD_READ, on_client_event, c);
	return MHD_YES;
}

/*
 * Called by the library for the headers, for each piece of the body, at its
 * end, and again after a suspended connection was resumed.
 */
static enum MHD_Result
on_request_data(void *arg, struct MHD_Connection *mhd, const char *url,
    const char *method, const char *version, const char *data, size_t *size,
    void **con_cls)
{
	struct front_conn *c = *con_cls;
	enum MHD_Result ret;
	bool done;

	if (c == NULL)
		return MHD_NO;
	if (!c->headers_checked) {
		ret = conn_check_headers(c, method, &done);
		return ret;
	}
	if (*size > 0) {
		if (!conn_append_body(c, data, *size))
			return MHD_NO;
		*size = 0;
		return MHD_YES;
	}
	if (c->cut_off || c->sock->phase == SHED_CLOSING)
		return MHD_NO;
	if (c->answered) {
		if (c->response == NULL)
			return MHD_YES;
		return conn_send_response(c);
	}
	if (c->is_delivered)
		return MHD_YES;
	return conn_deliver_request(c);
}

/* Frees a request once the library has finished with it. */
static void
on_completed(void *arg, struct MHD_Connection *mhd, void **con_cls,
    enum MHD_RequestTerminationCode code)
{
	struct front_conn *c = *con_cls;

	if (c == NULL)
		return;
	*con_cls = NULL;
	c->req.front->nrequests--;
	front_drop_body(c);
	front_sock_end_work(c->sock);
	c->sock->request = NULL;
	c->sock->completed_run = c->req.front->nruns;
	front_sock_enter(c->sock, SHED_IDLE);
	if (c->response != NULL)
		MHD_destroy_response(c->response);
	talloc_free(c);
}

/* Logs a message of the library. */
static void
on_library_log(void *arg, const char *fmt, va_list ap)
{
	char line[256];

	vsnprintf(line, sizeof(line), fmt, ap);
	line[strcspn(line, "\n")] = '\0';
	log_event(LOG_DEBUG, "front", "event=http_library detail=\"%s\"", line);
}

/* Removes a connection from the list of suspended ones. */
static void
conn_unlink(struct front_conn *c)
{
	if (c->prev != NULL)
		c->prev->next = c->next;
	else
		c->req.front->suspended = c->next;
	if (c->next != NULL)
		c->next->prev = c->prev;
}

/*
 * Answers a request, from within the handler or later. Copies the body and the
 * headers.
 */
void
front_answer(struct front_req *req, const struct front_reply *r)
{
	struct front_conn *c = (struct front_conn *)req;

	if (c->answered)
		return;
	c->req.front->now = clk_now(&c->req.front->clk);
	conn_create_response(c, r);
	TALLOC_FREE(c->client_watch);
	if (c->suspended) {
		c->suspended = false;
		conn_unlink(c);
		MHD_resume_connection(c->mhd);
		front_run_soon(req->front);
	}
}

/* Has every connection closed after its next answer. */
void
front_drain(struct front *f)
{
	f->draining = true;
}

/*
 * Returns the number of requests between their first line and the end of their
 * answer.
 */
size_t
front_count_requests(const struct front *f)
{
	return f->nrequests;
}

/* Stops the library. */
static int
front_destroy(struct front *f)
{
	struct front_conn *c;

	/* The library aborts if it is stopped with suspended connections. */
	for (c = f->suspended; c != NULL; c = c->next) {
		c->suspended = false;
		c->client_gone = true;
		MHD_resume_connection(c->mhd);
	}
	f->suspended = NULL;
	mtimer_clear(&f->check_timer);
	if (f->mhd != NULL)
		MHD_stop_daemon(f->mhd);
	f->mhd = NULL;
	return 0;
}

/*
 * Starts to serve a listening socket; NULL with e set on failure, when the
 * socket is closed as well. All requests must have been answered before the
 * front is freed.
 */
struct front *
front_new(TALLOC_CTX *ctx, struct tevent_context *ev,
    const struct front_conf *conf, struct err *e)
{
	const union MHD_DaemonInfo *info;
	struct mtimer_queue *timers;
	struct front *f;

	f = talloc_zero(ctx, struct front);
	if (f == NULL)
		abort();
	f->conf = *conf;
	f->ev = ev;
	timers = mtimer_queue_new(f, ev);
	mtimer_init(&f->timer, timers, on_timer, f);
	mtimer_init(&f->check_timer, timers, front_check_all, f);
	f->clk = clk_system();
	f->now = f->checked_at = clk_now(&f->clk);
	f->run_event = tevent_create_immediate(f);
	f->mhd = MHD_start_daemon(
	    MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG, 0,
	    front_on_accept, f, on_request_data, f, MHD_OPTION_EXTERNAL_LOGGER,
	    on_library_log, f, MHD_OPTION_LISTEN_SOCKET, conf->listen_fd,
	    MHD_OPTION_CONNECTION_LIMIT, conf->connections_max,
	    MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)FRONT_IDLE_TIMEOUT_S,
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)FRONT_HEADERS_MAX_BYTES,
	    MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_URI_LOG_CALLBACK,
	    on_request_line, f, MHD_OPTION_NOTIFY_COMPLETED, on_completed, f,
	    MHD_OPTION_NOTIFY_CONNECTION, front_on_connection, f,
	    MHD_OPTION_SIGPIPE_HANDLED_BY_APP, 1, MHD_OPTION_END);
	if (f->mhd == NULL) {
		err_set(e, STATUS_IO, "HTTP server did not start");
		close(conf->listen_fd);
		talloc_free(f);
		return NULL;
	}
	talloc_set_destructor(f, front_destroy);
	info = MHD_get_daemon_info(f->mhd, MHD_DAEMON_INFO_EPOLL_FD);
	if (info == NULL) {
		err_set(e, STATUS_IO, "HTTP server has no epoll descriptor");
		talloc_free(f);
		return NULL;
	}
	f->fde = tevent_add_fd(
	    ev, f, info->epoll_fd, TEVENT_FD_READ, on_library_ready, f);
	front_run(f);
	return f;
}
