#include <errno.h>
#include <linux/tcp.h>
#include <malloc.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/log.h"
#include "node/front_impl.h"

/*
 * Connections of the HTTP server: the memory that they hold, their progress,
 * and which of them are closed.
 */

/* Interval of the checks for slow connections. */
#define CHECK_MS 1000
/* Checks that come later than this show that the process was held up. */
#define CHECK_LATE_MS 500
/* Shedding has ended after this long without any. */
#define SHED_QUIET_MS 5000
/* Connections that are kept free for new ones: the library stops accepting at
 * its limit. Few, as healthy clients that wait for their next request are
 * closed for them. */
#define SPARE_CONNECTIONS 8
/* Larger blocks are mapped on their own and go back to the system at once;
 * otherwise the C library raises this bound up to 32 MB by itself. */
#define MAPPED_MIN_BYTES (128 * 1024)

/* Has the C library return freed bodies to the system: the account counts what
 * is in use, while the limit of the machine counts what the process holds. */
void
front_init_heap(void)
{
	mallopt(M_MMAP_THRESHOLD, MAPPED_MIN_BYTES);
	mallopt(M_TRIM_THRESHOLD, MAPPED_MIN_BYTES);
}

/* Returns the counter of this entry point that matches one of REQUESTS. */
size_t
front_entry_counter(const struct front *f, enum nctr requests_counter)
{
	size_t offset = (size_t)requests_counter - NCTR_REQUESTS_HEADERS_SLOW;

	switch (f->conf.use) {
	case MEMACCT_READINESS:
		return NCTR_READINESS_HEADERS_SLOW + offset;
	case MEMACCT_METRICS:
		return NCTR_METRICS_HEADERS_SLOW + offset;
	case MEMACCT_REQUESTS:
	case MEMACCT_WORK:
	case MEMACCT_PEERS:
	case MEMACCT_CALLS:
	case MEMACCT_RECEIVE:
	case MEMACCT_SEND:
	case MEMACCT_USES:
		break;
	}
	return NCTR_REQUESTS_HEADERS_SLOW + offset;
}

/* Returns the connection that the library's one stands for. */
struct front_sock *
front_sock_of(struct MHD_Connection *mhd)
{
	return MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
	    ->socket_context;
}

/* Begins a phase, unless the connection is being closed. */
void
front_sock_enter(struct front_sock *s, enum shed_phase phase)
{
	if (s->phase == SHED_CLOSING)
		return;
	/* Headers that arrive slowly have begun before their first line was
	 * complete. */
	if (phase != SHED_HEADERS || s->phase != SHED_HEADERS)
		s->phase_at = s->front->now;
	s->phase = phase;
	s->progress = s->answer = 0;
	/* The samples of an earlier phase say nothing of this one. */
	s->sampled = false;
}

/* Releases the body of a request. */
void
front_drop_body(struct front_conn *c)
{
	struct front_sock *s = c->sock;

	TALLOC_FREE(c->body);
	c->req.body = str_mem("", 0);
	if (s->held.addr != NULL && c->body_capacity > 0)
		memacct_shrink(
		    s->front->conf.account, &s->held, c->body_capacity);
	c->body_capacity = 0;
}

/* Sends an answer without the library, which can't answer an incomplete
 * request. It is lost if the socket doesn't take it at once. */
static void
send_raw(const struct front_sock *s, int status)
{
	const char *text = status == 413 ? "413 Content Too Large"
	    : status == 408		 ? "408 Request Timeout"
					 : "503 Service Unavailable";
	char buf[160];
	int len;

	len = snprintf(buf, sizeof(buf),
	    "HTTP/1.1 %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n",
	    text, status == 503 ? "Retry-After: 1\r\n" : "");
	if (send(s->fd, buf, (size_t)len, MSG_DONTWAIT | MSG_NOSIGNAL) < 0)
		log_event(LOG_DEBUG, "front",
		    "event=refusal_not_sent status=%d errno=%d", status, errno);
}

/* Answers an incomplete request, which is never handled. */
void
front_sock_refuse(struct front_sock *s, int status)
{
	if ((s->phase == SHED_HEADERS || s->phase == SHED_BODY) &&
	    (s->request == NULL || !s->request->cut_off))
		send_raw(s, status);
}

/*
 * Closes a connection: its body is released now, the rest once the library has
 * noticed that the socket was shut down.
 */
static void
sock_close(struct front_sock *s, enum shed_reason why)
{
	struct front *f = s->front;

	front_sock_refuse(s, why == SHED_SHORT ? 503 : 408);
	if (s->request != NULL)
		front_drop_body(s->request);
	shutdown(s->fd, SHUT_RDWR);
	s->phase = SHED_CLOSING;
	f->nclosing++;
	f->closing_bytes += s->held.bytes;
	ctr_add(f->conf.ctr,
	    front_entry_counter(f, NCTR_REQUESTS_HEADERS_SLOW) +
		(size_t)(why - SHED_HEADERS_SLOW),
	    1);
}

/* Describes a connection for the decision. */
static struct shed_conn
describe(const struct front_sock *s, struct timespec now)
{
	const struct front_conn *c = s->request;
	struct shed_conn d = { .phase = s->phase,
		.is_read = c != NULL && str_eq_c(c->req.method, "GET"),
		.phase_ms = clk_diff_ms(now, s->phase_at),
		.unread_ms = s->sampled ? clk_diff_ms(now, s->unread_at) : 0,
		.bytes = s->held.bytes,
		.progress = s->progress,
		.answer = s->answer,
		.addr_bytes = memacct_addr_bytes(&s->held) };

	return d;
}

/* Records that connections were closed, and logs the first one. */
static void
note_shedding(struct front *f, size_t n, size_t excess)
{
	f->shed_at = f->now;
	f->nshed += n;
	if (f->shedding)
		return;
	f->shedding = true;
	log_event(LOG_WARNING, "front",
	    "event=shedding_begun entry=%s connections=%zu excess=%zu "
	    "level=%zu",
	    f->conf.name, f->nsocks, excess, memacct_total(f->conf.account));
}

/* Closes connections that hold excess bytes, and at least nconns of them. */
static void
shed(struct front *f, size_t excess, size_t nconns)
{
	struct shed_conn *v = calloc(f->nsocks + 1, sizeof(*v));
	struct front_sock **socks = calloc(f->nsocks + 1, sizeof(*socks));
	size_t *chosen = calloc(f->nsocks + 1, sizeof(*chosen));
	struct front_sock *s;
	size_t i, n = 0;

	if (v == NULL || socks == NULL || chosen == NULL)
		abort();
	for (s = f->socks; s != NULL; s = s->next) {
		socks[n] = s;
		v[n++] = describe(s, f->now);
	}
	n = shed_choose(v, n, excess, nconns, chosen);
	for (i = 0; i < n; i++)
		sock_close(socks[chosen[i]], SHED_SHORT);
	if (n > 0)
		note_shedding(f, n, excess);
	free(v);
	free(socks);
	free(chosen);
}

/*
 * Closes connections if n more bytes, or new_conns more connections, would
 * exceed the level at which shedding begins.
 */
static void
make_room(struct front *f, size_t n, size_t new_conns)
{
	size_t excess = memacct_excess(f->conf.account, f->conf.use, n);
	size_t live = f->nsocks - f->nclosing + new_conns, nconns = 0;

	excess = excess > f->closing_bytes ? excess - f->closing_bytes : 0;
	if (live + SPARE_CONNECTIONS > f->conf.connections_max)
		nconns = SPARE_CONNECTIONS;
	if (excess > 0 || (new_conns > 0 && nconns > 0))
		shed(f, excess, new_conns > 0 ? nconns : 0);
}

/* Reserves bytes for a body. Returns false if this connection has to go. */
bool
front_sock_grow(struct front_sock *s, size_t n)
{
	struct front *f = s->front;

	if (f->conf.account == NULL)
		return true;
	make_room(f, n, 0);
	if (s->phase == SHED_CLOSING)
		return false;
	if (memacct_grow(f->conf.account, &s->held, n))
		return true;
	sock_close(s, SHED_SHORT);
	note_shedding(f, 1, n);
	return false;
}

/* Reserves bytes for the handling of a complete request. */
bool
front_sock_begin_work(struct front_sock *s, size_t n)
{
	return s->front->conf.account == NULL ||
	    memacct_begin_work(s->front->conf.account, &s->held, n);
}

/* Reserves bytes for the answer to a request that was handled, also if there is
 * no room: a refusal now would say that it was not run. */
void
front_sock_hold_answer(struct front_sock *s, size_t n)
{
	if (s->front->conf.account != NULL)
		memacct_hold_answer(s->front->conf.account, &s->held, n);
}

/* Gives back what the handling of a request held. */
void
front_sock_end_work(struct front_sock *s)
{
	if (s->front->conf.account != NULL)
		memacct_end_work(s->front->conf.account, &s->held);
}

/*
 * Releases the body of a request that is with the handler. What the handler
 * keeps of it was reserved when the request was complete.
 */
void
front_release_body(struct front_req *req)
{
	front_drop_body((struct front_conn *)req);
}

/*
 * Reserves memory for the answer to a request, from within its handler. Without
 * this, the answers to many requests could all be fetched before the first one
 * is counted.
 */
bool
front_reserve_answer(struct front_req *req, size_t bytes)
{
	struct front_conn *c = (struct front_conn *)req;
	struct front_header retry = { str_from("Retry-After"), str_from("1") };
	struct front_reply r = {
		.status = 503, .headers = &retry, .nheaders = 1
	};

	if (front_sock_begin_work(c->sock, bytes))
		return true;
	ctr_add(req->front->conf.ctr,
	    front_entry_counter(req->front, NCTR_REQUESTS_NO_MEMORY), 1);
	front_answer(req, &r);
	return false;
}

/* Tells whether a complete request would be handled, rather than refused for
 * lack of memory. */
bool
front_has_room(const struct front *f)
{
	return f->conf.account == NULL ||
	    memacct_fits(f->conf.account, MEMACCT_WORK, FRONT_WORK_BYTES);
}

/* Returns the key of an address: an IPv4 address, or a network of 64 bits. */
static uint64_t
get_addr_key(const struct sockaddr *a)
{
	struct sockaddr_in in;
	struct sockaddr_in6 in6;
	uint64_t key = 0;

	if (a == NULL)
		return 0;
	if (a->sa_family == AF_INET) {
		memcpy(&in, a, sizeof(in));
		return in.sin_addr.s_addr;
	}
	if (a->sa_family == AF_INET6) {
		memcpy(&in6, a, sizeof(in6));
		memcpy(&key, &in6.sin6_addr, sizeof(key));
	}
	return key;
}

/* Decides whether a connection is accepted, before the library allocates its
 * buffer. */
enum MHD_Result
front_on_accept(void *arg, const struct sockaddr *addr, socklen_t len)
{
	struct front *f = arg;

	if (f->conf.account == NULL)
		return MHD_YES;
	make_room(f, FRONT_CONNECTION_BYTES, 1);
	if (memacct_fits(f->conf.account, f->conf.use, FRONT_CONNECTION_BYTES))
		return MHD_YES;
	ctr_add(
	    f->conf.ctr, front_entry_counter(f, NCTR_REQUESTS_NOT_ACCEPTED), 1);
	return MHD_NO;
}

/* Adds an accepted connection to the list and to the account. */
static struct front_sock *
sock_new(struct front *f, struct MHD_Connection *mhd)
{
	struct front_sock *s = talloc_zero(f, struct front_sock);
	const union MHD_ConnectionInfo *info;

	if (s == NULL)
		abort();
	s->front = f;
	s->mhd = mhd;
	info = MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD);
	s->fd = info->connect_fd;
	front_sock_enter(s, SHED_IDLE);
	/* Nothing has been read: what arrives until the first check belongs to
	 * the headers of a request. */
	s->sampled = true;
	s->unread_at = f->now;
	s->next = f->socks;
	if (s->next != NULL)
		s->next->prev = s;
	f->socks = s;
	f->nsocks++;
	if (!mtimer_is_set(&f->check_timer)) {
		f->checked_at = f->now;
		mtimer_set_ms(&f->check_timer, CHECK_MS);
	}
	if (f->conf.account == NULL)
		return s;
	info = MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	if (!memacct_open(f->conf.account, &s->held, f->conf.use,
		get_addr_key(info->client_addr), FRONT_CONNECTION_BYTES))
		sock_close(s, SHED_SHORT);
	return s;
}

/* Removes a connection that the library has released. */
static void
sock_free(struct front_sock *s)
{
	struct front *f = s->front;

	if (s->phase == SHED_CLOSING) {
		f->nclosing--;
		f->closing_bytes -= s->held.bytes;
	}
	if (f->conf.account != NULL)
		memacct_close(f->conf.account, &s->held);
	if (s->prev != NULL)
		s->prev->next = s->next;
	else
		f->socks = s->next;
	if (s->next != NULL)
		s->next->prev = s->prev;
	/* At its limit the library doesn't accept, and it looks whether it may
	 * again only when it is run the next time. */
	if (f->nsocks-- >= f->conf.connections_max)
		front_run_soon(f);
	talloc_free(s);
}

/* Called by the library when it has accepted or released a connection. */
void
front_on_connection(void *arg, struct MHD_Connection *mhd, void **ctx,
    enum MHD_ConnectionNotificationCode code)
{
	switch (code) {
	case MHD_CONNECTION_NOTIFY_STARTED:
		*ctx = sock_new(arg, mhd);
		break;
	case MHD_CONNECTION_NOTIFY_CLOSED:
		if (*ctx != NULL)
			sock_free(*ctx);
		*ctx = NULL;
		break;
	}
}

/*
 * Compares the bytes received and acknowledged on a connection with those at
 * the last check. The library shows neither headers that arrive piece by piece
 * nor how much of an answer was taken.
 */
static void
sock_sample(struct front_sock *s, struct timespec now)
{
	struct tcp_info info;
	socklen_t len = sizeof(info);

	memset(&info, 0, sizeof(info));
	if (getsockopt(s->fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0)
		return;
	if (s->phase == SHED_IDLE && s->sampled &&
	    info.tcpi_bytes_received != s->received)
		front_sock_enter(s, SHED_HEADERS);
	if (!s->sampled || info.tcpi_bytes_acked != s->acked ||
	    (info.tcpi_unacked == 0 && info.tcpi_notsent_bytes == 0))
		s->unread_at = now;
	s->received = info.tcpi_bytes_received;
	s->acked = info.tcpi_bytes_acked;
	s->sampled = true;
}

/* Ends a period of shedding; what the connections held goes back to the
 * system. */
static void
end_shedding(struct front *f)
{
	f->shedding = false;
	malloc_trim(0);
	log_event(LOG_NOTICE, "front",
	    "event=shedding_ended entry=%s connections=%zu closed=%zu "
	    "level=%zu peak=%zu",
	    f->conf.name, f->nsocks, f->nshed, memacct_total(f->conf.account),
	    memacct_peak(f->conf.account));
	f->nshed = 0;
}

/* Moves the phases ahead by how long this process was held up: it has not read
 * what may have arrived meanwhile. */
static void
skip_pause(struct front *f)
{
	int64_t late_ms = clk_diff_ms(f->now, f->checked_at) - CHECK_MS;
	struct front_sock *s;

	f->checked_at = f->now;
	if (late_ms < CHECK_LATE_MS)
		return;
	for (s = f->socks; s != NULL; s = s->next) {
		s->phase_at = clk_add_ms(s->phase_at, late_ms);
		if (clk_before(f->now, s->phase_at))
			s->phase_at = f->now;
		s->unread_at = clk_add_ms(s->unread_at, late_ms);
		if (clk_before(f->now, s->unread_at))
			s->unread_at = f->now;
	}
}

/* Closes the connections that are too slow. */
void
front_check_all(void *arg)
{
	struct front *f = arg;
	struct front_sock *s;
	struct shed_conn d;
	enum shed_reason why;

	f->now = clk_now(&f->clk);
	skip_pause(f);
	for (s = f->socks; s != NULL; s = s->next) {
		if (s->phase == SHED_IDLE || s->phase == SHED_ANSWER)
			sock_sample(s, f->now);
		d = describe(s, f->now);
		why = shed_check(&d);
		if (why != SHED_KEEP)
			sock_close(s, why);
	}
	if (f->shedding && clk_diff_ms(f->now, f->shed_at) > SHED_QUIET_MS)
		end_shedding(f);
	if (f->nsocks > 0 || f->shedding)
		mtimer_set_ms(&f->check_timer, CHECK_MS);
}
