#include "node/front.h"

#include <errno.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clk.h"
#include "base/log.h"
#include "node/nctr.h"

#define HEADERS_MAX 64

struct front {
	struct front_conf conf;
	struct tevent_context *ev;
	struct MHD_Daemon *mhd;
	struct tevent_fd *fde;
	struct tevent_timer *timer;
	struct tevent_immediate *im;
	struct clk clk;
	bool running; /* inside MHD_run */
	bool again;
	bool draining;
	size_t busy;
	struct conn *waiting; /* suspended */
};

/* The part of a request that only this file sees. */
struct conn {
	struct front_req req; /* first member */
	struct MHD_Connection *mhd;
	struct timespec start;
	bool started; /* the headers have been looked at */
	bool too_large;
	bool handed;   /* the handler has it, or had it */
	bool answered; /* response is set */
	bool suspended;
	bool client_gone;
	uint8_t *body;
	size_t body_len, body_cap;
	int fd;
	struct tevent_fd *watch;
	struct MHD_Response *response;
	int status;
	struct front_header headers[HEADERS_MAX];
	struct conn *prev, *next; /* suspended ones of the front */
};

static void front_run(struct front *);

static void
on_fd(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	front_run(arg);
}

static void
on_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
    void *arg)
{
	struct front *f = arg;

	f->timer = NULL;
	front_run(f);
}

static void
on_immediate(struct tevent_context *ev, struct tevent_immediate *im, void *arg)
{
	front_run(arg);
}

/*
 * Lets the library work and arms the next call. The library keeps its own
 * list of connections with buffered input, so the epoll descriptor alone
 * doesn't say when it has to run.
 */
static void
front_run(struct front *f)
{
	MHD_UNSIGNED_LONG_LONG ms;

	if (f->running) {
		f->again = true;
		return;
	}
	f->running = true;
	f->again = false;
	MHD_run(f->mhd);
	f->running = false;
	TALLOC_FREE(f->timer);
	if (f->again || (MHD_get_timeout(f->mhd, &ms) == MHD_YES && ms == 0)) {
		tevent_schedule_immediate(f->im, f->ev, on_immediate, f);
	} else if (MHD_get_timeout(f->mhd, &ms) == MHD_YES) {
		f->timer = tevent_add_timer(f->ev, f,
		    tevent_timeval_current_ofs(
			(uint32_t)(ms / 1000), (uint32_t)(ms % 1000) * 1000),
		    on_timer, f);
	}
}

/* Runs the library soon, from the loop; safe within its callbacks. */
static void
front_kick(struct front *f)
{
	if (f->running)
		f->again = true;
	else
		tevent_schedule_immediate(f->im, f->ev, on_immediate, f);
}

static bool
target_valid(struct str t)
{
	size_t i;

	if (t.len == 0 || t.len > FRONT_TARGET_MAX || t.p[0] != '/')
		return false;
	for (i = 0; i < t.len; i++) {
		if (t.p[i] <= ' ' || t.p[i] > '~' || t.p[i] == '#')
			return false;
	}
	return true;
}

/* Called with the request line, before the library decodes the target. */
static void *
on_uri(void *arg, const char *uri, struct MHD_Connection *mhd)
{
	struct front *f = arg;
	struct conn *c;
	const char *q;
	struct str t;

	c = talloc_zero(f, struct conn);
	if (c == NULL)
		abort();
	c->req.front = f;
	c->mhd = mhd;
	t = str_dup(c, str_from(uri));
	c->req.target = t;
	q = memchr(t.p, '?', t.len);
	c->req.path = str_mem(t.p, q == NULL ? t.len : (size_t)(q - t.p));
	if (q != NULL)
		c->req.query = str_mem(q + 1, t.len - c->req.path.len - 1);
	f->busy++;
	return c;
}

static enum MHD_Result
on_header(void *arg, enum MHD_ValueKind kind, const char *name, size_t name_len,
    const char *value, size_t value_len)
{
	struct conn *c = arg;

	if (c->req.nheaders == HEADERS_MAX) {
		c->req.nheaders = HEADERS_MAX + 1;
		return MHD_NO;
	}
	c->headers[c->req.nheaders].name = str_mem(name, name_len);
	c->headers[c->req.nheaders].value =
	    value == NULL ? str_from("") : str_mem(value, value_len);
	c->req.nheaders++;
	return MHD_YES;
}

/* Looks a header up without regard to case. */
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

static void
conn_respond(struct conn *c, const struct front_reply *r)
{
	size_t i;
	char *name, *value;

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
	if (c->req.front->draining)
		MHD_add_response_header(
		    c->response, MHD_HTTP_HEADER_CONNECTION, "close");
	c->status = r->status;
	c->answered = true;
}

static enum MHD_Result
conn_queue(struct conn *c)
{
	enum MHD_Result ret;

	ret = MHD_queue_response(c->mhd, (unsigned)c->status, c->response);
	MHD_destroy_response(c->response);
	c->response = NULL;
	return ret;
}

static enum MHD_Result
conn_refuse(struct conn *c, int status, const char *name, const char *message,
    enum nctr which)
{
	struct front_header type = { str_from("Content-Type"),
		str_from("application/json") };
	struct front_reply r = {
		.status = status, .headers = &type, .nheaders = 1
	};
	char *body;

	ctr_add(c->req.front->conf.ctr, which, 1);
	body = talloc_asprintf(
	    c, "{\"status\":\"%s\",\"message\":\"%s\"}\n", name, message);
	if (body == NULL)
		abort();
	r.body = str_from(body);
	conn_respond(c, &r);
	c->handed = true;
	return conn_queue(c);
}

/* The client closed its connection while its request was being handled. */
static void
on_watch(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct conn *c = arg;
	ssize_t n;
	char b;

	n = recv(c->fd, &b, 1, MSG_PEEK | MSG_DONTWAIT);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	/* More input is the next request; an end is not seen behind it. */
	TALLOC_FREE(c->watch);
	if (n > 0)
		return;
	c->client_gone = true;
	ctr_add(c->req.front->conf.ctr, NCTR_HTTP_CLIENT_GONE, 1);
	c->req.front->conf.gone(c->req.front->conf.arg, &c->req);
}

static bool
conn_body_add(struct conn *c, const char *data, size_t len)
{
	struct front *f = c->req.front;
	size_t cap;

	if (c->body_len + len > f->conf.body_max) {
		c->too_large = true;
		c->body_len += len;
		/* Reads on for a while so that the client sees the answer. */
		return c->body_len <= 4 * f->conf.body_max;
	}
	if (c->body_len + len > c->body_cap) {
		cap = c->body_cap == 0 ? 1024 : c->body_cap;
		while (cap < c->body_len + len)
			cap *= 2;
		c->body = talloc_realloc(c, c->body, uint8_t, cap);
		if (c->body == NULL)
			abort();
		c->body_cap = cap;
	}
	memcpy(c->body + c->body_len, data, len);
	c->body_len += len;
	return true;
}

/* Checks the head of a request; the body has not been read yet. */
static enum MHD_Result
conn_start(struct conn *c, const char *method, bool *done)
{
	struct front *f = c->req.front;
	struct str length;
	int64_t len;
	size_t n;

	*done = true;
	c->started = true;
	c->start = clk_now(&f->clk);
	ctr_add(f->conf.ctr, NCTR_HTTP_REQUESTS, 1);
	c->req.method = str_dup(c, str_from(method));
	c->req.headers = c->headers;
	MHD_get_connection_values_n(c->mhd, MHD_HEADER_KIND, on_header, c);
	if (c->req.nheaders > HEADERS_MAX) {
		c->req.nheaders = 0;
		return conn_refuse(c, 431, "LIMIT", "too many header fields",
		    NCTR_HTTP_BAD_HEADER);
	}
	if (!target_valid(c->req.target))
		return conn_refuse(c, 400, "INVALID",
		    "target is too long or holds invalid bytes",
		    NCTR_HTTP_BAD_TARGET);
	length = front_header_get(&c->req, "Content-Length", &n);
	if (n > 1 || (n == 1 && (!str_to_i64(length, &len) || len < 0)) ||
	    (n == 1 &&
		front_header_get(&c->req, "Transfer-Encoding", NULL).len > 0))
		return conn_refuse(c, 400, "INVALID",
		    "length of the body is ambiguous", NCTR_HTTP_BAD_HEADER);
	if (n == 1 && (uint64_t)len > f->conf.body_max)
		return conn_refuse(c, 413, "LIMIT",
		    "request body is over the limit", NCTR_HTTP_BODY_LIMIT);
	*done = false;
	return MHD_YES;
}

/* Hands a whole request over and waits for its reply. */
static enum MHD_Result
conn_hand(struct conn *c)
{
	struct front *f = c->req.front;
	const union MHD_ConnectionInfo *info;

	c->handed = true;
	c->req.body = str_mem(c->body, c->body_len);
	f->conf.request(f->conf.arg, &c->req);
	if (c->answered)
		return conn_queue(c);
	MHD_suspend_connection(c->mhd);
	c->suspended = true;
	c->prev = NULL;
	c->next = f->waiting;
	if (c->next != NULL)
		c->next->prev = c;
	f->waiting = c;
	info =
	    MHD_get_connection_info(c->mhd, MHD_CONNECTION_INFO_CONNECTION_FD);
	c->fd = info->connect_fd;
	c->watch = tevent_add_fd(f->ev, c, c->fd, TEVENT_FD_READ, on_watch, c);
	return MHD_YES;
}

/*
 * Called for the head, for each piece of the body, at its end, and again
 * after a suspended connection was resumed.
 */
static enum MHD_Result
on_access(void *arg, struct MHD_Connection *mhd, const char *url,
    const char *method, const char *version, const char *data, size_t *size,
    void **con_cls)
{
	struct conn *c = *con_cls;
	enum MHD_Result ret;
	bool done;

	if (c == NULL)
		return MHD_NO;
	if (!c->started) {
		ret = conn_start(c, method, &done);
		return ret;
	}
	if (*size > 0) {
		if (clk_diff_ms(clk_now(&c->req.front->clk), c->start) >
		    FRONT_BODY_SLOW_MS) {
			ctr_add(c->req.front->conf.ctr, NCTR_HTTP_BODY_SLOW, 1);
			return MHD_NO;
		}
		if (!conn_body_add(c, data, *size)) {
			ctr_add(
			    c->req.front->conf.ctr, NCTR_HTTP_BODY_LIMIT, 1);
			return MHD_NO;
		}
		*size = 0;
		return MHD_YES;
	}
	if (c->answered) {
		if (c->response == NULL)
			return MHD_YES;
		return conn_queue(c);
	}
	if (c->handed)
		return MHD_YES;
	if (c->too_large)
		return conn_refuse(c, 413, "LIMIT",
		    "request body is over the limit", NCTR_HTTP_BODY_LIMIT);
	return conn_hand(c);
}

static void
on_completed(void *arg, struct MHD_Connection *mhd, void **con_cls,
    enum MHD_RequestTerminationCode code)
{
	struct conn *c = *con_cls;

	if (c == NULL)
		return;
	*con_cls = NULL;
	c->req.front->busy--;
	if (c->response != NULL)
		MHD_destroy_response(c->response);
	talloc_free(c);
}

static void
on_mhd_log(void *arg, const char *fmt, va_list ap)
{
	char line[256];

	vsnprintf(line, sizeof(line), fmt, ap);
	line[strcspn(line, "\n")] = '\0';
	log_event(LOG_DEBUG, "front", "event=http detail=\"%s\"", line);
}

static void
conn_unlink(struct conn *c)
{
	if (c->prev != NULL)
		c->prev->next = c->next;
	else
		c->req.front->waiting = c->next;
	if (c->next != NULL)
		c->next->prev = c->prev;
}

/*
 * Answers a request, from within the handler or later. The body and the
 * headers are copied.
 */
void
front_answer(struct front_req *req, const struct front_reply *r)
{
	struct conn *c = (struct conn *)req;

	if (c->answered)
		return;
	conn_respond(c, r);
	TALLOC_FREE(c->watch);
	if (c->suspended) {
		c->suspended = false;
		conn_unlink(c);
		MHD_resume_connection(c->mhd);
		front_kick(req->front);
	}
}

/* Makes every further answer the last of its connection. */
void
front_drain(struct front *f)
{
	f->draining = true;
}

/* Counts requests from their first line to the end of their answer. */
size_t
front_busy(const struct front *f)
{
	return f->busy;
}

static int
front_destroy(struct front *f)
{
	struct conn *c;

	/* The library aborts when it is stopped with suspended connections. */
	for (c = f->waiting; c != NULL; c = c->next) {
		c->suspended = false;
		c->client_gone = true;
		MHD_resume_connection(c->mhd);
	}
	f->waiting = NULL;
	if (f->mhd != NULL)
		MHD_stop_daemon(f->mhd);
	f->mhd = NULL;
	return 0;
}

/*
 * Starts to serve a listening socket. All requests must have been answered
 * before the front is freed.
 */
struct front *
front_new(TALLOC_CTX *ctx, struct tevent_context *ev,
    const struct front_conf *conf, struct err *e)
{
	const union MHD_DaemonInfo *info;
	struct front *f;

	f = talloc_zero(ctx, struct front);
	if (f == NULL)
		abort();
	f->conf = *conf;
	f->ev = ev;
	f->clk = clk_system();
	f->im = tevent_create_immediate(f);
	f->mhd = MHD_start_daemon(
	    MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG, 0,
	    NULL, NULL, on_access, f, MHD_OPTION_EXTERNAL_LOGGER, on_mhd_log, f,
	    MHD_OPTION_LISTEN_SOCKET, conf->listen_fd,
	    MHD_OPTION_CONNECTION_LIMIT, conf->connections_max,
	    MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)FRONT_IDLE_S,
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)FRONT_HEAD_MAX,
	    MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_URI_LOG_CALLBACK,
	    on_uri, f, MHD_OPTION_NOTIFY_COMPLETED, on_completed, f,
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
	f->fde = tevent_add_fd(ev, f, info->epoll_fd, TEVENT_FD_READ, on_fd, f);
	front_run(f);
	return f;
}
