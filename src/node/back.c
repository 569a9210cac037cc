#include "node/back.h"

#include <curl/curl.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/clk.h"
#include "base/log.h"
#include "node/mtimer.h"
#include "node/nctr.h"

#define ANSWER_HEADERS_MAX 64
#define SPARE_HANDLES_MAX  64

/* The connections to one worker. */
struct host {
	struct back *back;
	char *addr;
	CURLM *multi;
	struct mtimer timer;
	unsigned max_connections;
	size_t ncalls;
	struct timespec used_at;
	bool in_library; /* inside a libcurl call */
};

/* A socket of libcurl that the event loop watches. */
struct lib_socket {
	struct tevent_fd *fde;
	struct host *host;
	curl_socket_t fd;
};

struct back_call {
	struct back *back;
	struct host *host;
	CURL *easy;
	struct curl_slist *header_list;
	void *user;
	struct str body;
	uint64_t request_id;
	struct timespec send_by; /* as in struct back_req */
	bool is_probe;
	bool maybe_sent;    /* a byte may have been sent */
	bool sent_reported; /* on_sent was called */
	bool has_length, chunked, bodyless, not_started;
	bool too_large, has_echo, wrong_echo, reuse_without_echo, all_headers;
	uint8_t *answer;
	size_t answer_len, answer_cap;
	struct str content_type;
	struct front_header headers[ANSWER_HEADERS_MAX];
	size_t nheaders;
	struct back_call *next_unreported; /* in back.unreported */
	bool is_queued;
};

struct back {
	struct back_conf conf;
	struct tevent_context *ev;
	struct clk clk;
	GHashTable *hosts;
	struct back_call *unreported;
	CURL *spare_handles[SPARE_HANDLES_MAX];
	size_t nspare;
	size_t ncalls;
	struct mtimer_queue *timers;
	struct mtimer sweep_timer;
};

static const char *const stripped_headers[] = { "connection", "keep-alive",
	"proxy-authenticate", "proxy-authorization", "te", "trailer",
	"trailers", "transfer-encoding", "upgrade", "content-length", "host",
	"expect", "proxy-connection", "date" };

/* Compares a header name without regard to case. */
static bool
is_name(struct str s, const char *name)
{
	return s.len == strlen(name) && strncasecmp(s.p, name, s.len) == 0;
}

/* Returns whether a header field is not passed between client and worker. */
static bool
is_stripped(struct str name)
{
	size_t i;

	for (i = 0; i < sizeof(stripped_headers) / sizeof(stripped_headers[0]);
	     i++) {
		if (is_name(name, stripped_headers[i]))
			return true;
	}
	return name.len >= 10 && strncasecmp(name.p, "cicadabay-", 10) == 0;
}

/* Reports to the owner which calls may have sent a byte. */
static void
back_report_sent(struct back *b)
{
	struct back_call *c;

	while ((c = b->unreported) != NULL) {
		b->unreported = c->next_unreported;
		c->is_queued = false;
		if (c->sent_reported)
			continue;
		c->sent_reported = true;
		b->conf.on_sent(b->conf.arg, c->user);
	}
}

/* Removes a call from the list of those to report as sent. */
static void
call_cancel_sent_report(struct back_call *c)
{
	struct back_call **p;

	if (!c->is_queued)
		return;
	for (p = &c->back->unreported; *p != NULL; p = &(*p)->next_unreported) {
		if (*p == c) {
			*p = c->next_unreported;
			break;
		}
	}
	c->is_queued = false;
}

/*
 * Called by libcurl on an established connection before the first byte is sent.
 * libcurl resends a request by itself if a reused connection closes before an
 * answer; this second send is refused, since the worker may have run the first
 * one. So is one after send_by: a process that was paused while it connected
 * may get here before its timers run.
 */
static int
on_prereq(
    void *arg, char *remote_ip, char *local_ip, int remote_port, int local_port)
{
	struct back_call *c = arg;

	if (c->maybe_sent) {
		ctr_add(c->back->conf.ctr, NCTR_BACK_RESEND_STOPPED, 1);
		return CURL_PREREQFUNC_ABORT;
	}
	if (clk_ns(c->send_by) != 0 &&
	    clk_before(c->send_by, clk_now(&c->back->clk)))
		return CURL_PREREQFUNC_ABORT;
	c->maybe_sent = true;
	if (!c->is_probe) {
		c->next_unreported = c->back->unreported;
		c->back->unreported = c;
		c->is_queued = true;
	}
	return CURL_PREREQFUNC_OK;
}

/*
 * Appends a piece of an answer's body. Returns 0, which ends the call, above
 * BACK_ANSWER_MAX_BYTES.
 */
static size_t
on_body(char *data, size_t size, size_t n, void *arg)
{
	struct back_call *c = arg;
	size_t cap, len = size * n;

	if (c->answer_len + len > BACK_ANSWER_MAX_BYTES) {
		c->too_large = true;
		return 0;
	}
	if (c->answer_len + len > c->answer_cap) {
		cap = c->answer_cap == 0 ? 1024 : c->answer_cap;
		while (cap < c->answer_len + len)
			cap *= 2;
		c->answer = talloc_realloc(c, c->answer, uint8_t, cap);
		if (c->answer == NULL)
			abort();
		c->answer_cap = cap;
	}
	memcpy(c->answer + c->answer_len, data, len);
	c->answer_len += len;
	return len;
}

/* Handles the end of an answer's headers. */
static void
call_end_headers(struct back_call *c)
{
	long status = 0;

	curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
	c->bodyless |= status == 204 || status == 304;
	/* Without the echoed request id, late bytes of this answer could be
	 * taken for the next one if the connection were reused. */
	if (!c->has_echo && !c->reuse_without_echo)
		curl_easy_setopt(c->easy, CURLOPT_FORBID_REUSE, 1L);
}

/*
 * Handles one header line of an answer. A status line, which has no colon,
 * resets what an interim answer has set.
 */
static size_t
on_header(char *data, size_t size, size_t n, void *arg)
{
	struct back_call *c = arg;
	struct str line = str_mem(data, size * n), name, value;
	const char *colon;
	int64_t v;

	while (line.len > 0 &&
	    (line.p[line.len - 1] == '\n' || line.p[line.len - 1] == '\r'))
		line.len--;
	if (line.len == 0) {
		call_end_headers(c);
		return size * n;
	}
	colon = memchr(line.p, ':', line.len);
	if (colon == NULL) {
		c->nheaders = 0;
		c->has_length = c->chunked = c->not_started = false;
		c->has_echo = false;
		return size * n;
	}
	name = str_mem(line.p, (size_t)(colon - line.p));
	value = str_mem(colon + 1, line.len - name.len - 1);
	while (value.len > 0 && (*value.p == ' ' || *value.p == '\t')) {
		value.p++;
		value.len--;
	}
	if (is_name(name, "content-length"))
		c->has_length = true;
	else if (is_name(name, "transfer-encoding"))
		c->chunked = is_name(value, "chunked");
	else if (is_name(name, "cicadabay-not-started"))
		c->not_started = str_eq_c(value, "1");
	else if (is_name(name, "cicadabay-request")) {
		c->has_echo =
		    str_to_i64(value, &v) && (uint64_t)v == c->request_id;
		c->wrong_echo |= !c->has_echo;
	}
	if ((is_stripped(name) && !c->all_headers) ||
	    c->nheaders == ANSWER_HEADERS_MAX)
		return size * n;
	c->headers[c->nheaders].name = str_dup(c, name);
	c->headers[c->nheaders].value = str_dup(c, value);
	if (is_name(name, "content-type"))
		c->content_type = c->headers[c->nheaders].value;
	c->nheaders++;
	return size * n;
}

/*
 * Removes a call from libcurl, which closes an unfinished connection, and keeps
 * its handle for reuse.
 */
static void
call_detach(struct back_call *c)
{
	struct back *b = c->back;

	call_cancel_sent_report(c);
	curl_multi_remove_handle(c->host->multi, c->easy);
	c->host->ncalls--;
	c->host->used_at = clk_now(&b->clk);
	b->ncalls--;
	curl_slist_free_all(c->header_list);
	if (b->nspare < SPARE_HANDLES_MAX) {
		curl_easy_reset(c->easy);
		b->spare_handles[b->nspare++] = c->easy;
	} else {
		curl_easy_cleanup(c->easy);
	}
	c->easy = NULL;
}

/* Ends a call with a failure and counts it. */
static void
call_fail(struct back_call *c, enum back_fail kind, enum nctr which)
{
	struct back *b = c->back;
	bool sent = c->maybe_sent;
	void *user = c->user;

	ctr_add(b->conf.ctr, which, 1);
	call_detach(c);
	b->conf.on_failed(b->conf.arg, user, kind, sent);
	talloc_free(c);
}

/*
 * Decides what the end of a transfer means: an answer only if it is whole and
 * belongs to this request.
 */
static void
call_end(struct back_call *c, CURLcode code)
{
	struct back *b = c->back;
	struct back_answer a;
	long status = 0;

	curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
	if (!c->maybe_sent) {
		call_fail(c, BACK_CONNECT_FAILED, NCTR_BACK_CONNECT);
		return;
	}
	if (c->wrong_echo) {
		call_fail(c, BACK_RESET, NCTR_BACK_WRONG_ANSWER);
		return;
	}
	if (c->too_large) {
		call_fail(c, BACK_TRUNCATED, NCTR_BACK_ANSWER_LIMIT);
		return;
	}
	if (code != CURLE_OK) {
		if (status != 0)
			call_fail(c, BACK_TRUNCATED, NCTR_BACK_TRUNCATED);
		else
			call_fail(c, BACK_RESET, NCTR_BACK_RESET);
		return;
	}
	if (status == 503 && c->not_started) {
		call_fail(c, BACK_NOT_STARTED, NCTR_BACK_NOT_STARTED);
		return;
	}
	if (!c->has_length && !c->chunked && !c->bodyless) {
		call_fail(c, BACK_TRUNCATED, NCTR_BACK_NO_LENGTH);
		return;
	}
	call_detach(c);
	a.status = (int)status;
	a.headers = c->headers;
	a.nheaders = c->nheaders;
	a.content_type = c->content_type;
	a.body = str_mem(c->answer, c->answer_len);
	b->conf.on_done(b->conf.arg, c->user, &a);
	talloc_free(c);
}

/*
 * Reports sent and ended calls to the owner, whose callbacks may start and
 * abort calls.
 */
static void
host_handle_results(struct host *h)
{
	struct back_call *c;
	CURLMsg *m;
	int left;

	back_report_sent(h->back);
	while ((m = curl_multi_info_read(h->multi, &left)) != NULL) {
		if (m->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &c);
		call_end(c, m->data.result);
		back_report_sent(h->back);
	}
}

/* Lets libcurl handle a socket event or a timeout. */
static void
host_run(struct host *h, curl_socket_t fd, int mask)
{
	int running;

	h->in_library = true;
	curl_multi_socket_action(h->multi, fd, mask, &running);
	h->in_library = false;
	host_handle_results(h);
}

/* Handles a socket of libcurl that is readable or writable. */
static void
on_socket_event(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct lib_socket *s = arg;
	int mask = 0;

	if (flags & TEVENT_FD_READ)
		mask |= CURL_CSELECT_IN;
	if (flags & TEVENT_FD_WRITE)
		mask |= CURL_CSELECT_OUT;
	host_run(s->host, s->fd, mask);
}

/* Called by libcurl when it wants to wait for other events of a socket. */
static int
on_socket_change(CURL *easy, curl_socket_t fd, int what, void *arg, void *sockp)
{
	struct host *h = arg;
	struct lib_socket *s = sockp;
	uint16_t flags = 0;

	if (what == CURL_POLL_REMOVE) {
		talloc_free(s);
		curl_multi_assign(h->multi, fd, NULL);
		return 0;
	}
	if (what & CURL_POLL_IN)
		flags |= TEVENT_FD_READ;
	if (what & CURL_POLL_OUT)
		flags |= TEVENT_FD_WRITE;
	if (s == NULL) {
		s = talloc_zero(h, struct lib_socket);
		if (s == NULL)
			abort();
		s->host = h;
		s->fd = fd;
		s->fde = tevent_add_fd(
		    h->back->ev, s, (int)fd, flags, on_socket_event, s);
		curl_multi_assign(h->multi, fd, s);
	} else {
		tevent_fd_set_flags(s->fde, flags);
	}
	return 0;
}

/* Handles the end of a timeout of libcurl. */
static void
on_library_timeout(void *arg)
{
	host_run(arg, CURL_SOCKET_TIMEOUT, 0);
}

/* Called by libcurl to set its timeout; ms below 0 deletes it. */
static int
on_timer_change(CURLM *multi, long ms, void *arg)
{
	struct host *h = arg;

	if (ms < 0)
		mtimer_clear(&h->timer);
	else
		mtimer_set_ms(&h->timer, ms);
	return 0;
}

/* Frees the connections to a worker. */
static int
host_destroy(struct host *h)
{
	curl_multi_cleanup(h->multi);
	mtimer_clear(&h->timer);
	return 0;
}

/*
 * Returns the connections to a worker address, created at first use, and
 * updates their limit.
 */
static struct host *
back_get_host(struct back *b, struct str addr, unsigned connections)
{
	struct host *h;
	char *key = str_cstr(b, addr);

	h = g_hash_table_lookup(b->hosts, key);
	if (h == NULL) {
		h = talloc_zero(b, struct host);
		if (h == NULL)
			abort();
		h->back = b;
		h->addr = talloc_steal(h, key);
		mtimer_init(&h->timer, b->timers, on_library_timeout, h);
		h->multi = curl_multi_init();
		if (h->multi == NULL)
			abort();
		curl_multi_setopt(
		    h->multi, CURLMOPT_SOCKETFUNCTION, on_socket_change);
		curl_multi_setopt(h->multi, CURLMOPT_SOCKETDATA, h);
		curl_multi_setopt(
		    h->multi, CURLMOPT_TIMERFUNCTION, on_timer_change);
		curl_multi_setopt(h->multi, CURLMOPT_TIMERDATA, h);
		curl_multi_setopt(
		    h->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
		talloc_set_destructor(h, host_destroy);
		g_hash_table_insert(b->hosts, h->addr, h);
	} else {
		talloc_free(key);
	}
	if (connections == 0)
		connections = BACK_DEFAULT_CONNECTIONS;
	if (h->max_connections != connections) {
		h->max_connections = connections;
		curl_multi_setopt(
		    h->multi, CURLMOPT_MAXCONNECTS, (long)connections);
		curl_multi_setopt(h->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS,
		    (long)connections);
	}
	return h;
}

/* Appends a header line to the request. */
static void
call_add_header(struct back_call *c, const char *line)
{
	struct curl_slist *s = curl_slist_append(c->header_list, line);

	if (s == NULL)
		abort();
	c->header_list = s;
}

/*
 * Sets the headers of the request: those of the client that are passed on, and
 * Cicadabay-* for the worker.
 */
static void
call_set_headers(struct back_call *c, const struct back_req *r)
{
	bool type = false, accept = false;
	char line[64], *l;
	size_t i;

	for (i = 0; i < r->nheaders; i++) {
		if (is_stripped(r->headers[i].name))
			continue;
		type |= is_name(r->headers[i].name, "content-type");
		accept |= is_name(r->headers[i].name, "accept");
		/* libcurl drops an empty field unless it ends in ";". */
		l = r->headers[i].value.len == 0
		    ? talloc_asprintf(
			  c, STR_FMT ";", STR_ARG(r->headers[i].name))
		    : talloc_asprintf(c, STR_FMT ": " STR_FMT,
			  STR_ARG(r->headers[i].name),
			  STR_ARG(r->headers[i].value));
		if (l == NULL)
			abort();
		call_add_header(c, l);
		talloc_free(l);
	}
	if (!type)
		call_add_header(c, "Content-Type:");
	if (!accept)
		call_add_header(c, "Accept:");
	call_add_header(c, "Expect:");
	if (r->omit_own_headers)
		return;
	snprintf(line, sizeof(line), "Cicadabay-Epoch: %llu",
	    (unsigned long long)r->epoch);
	call_add_header(c, line);
	if (r->is_probe)
		return;
	snprintf(line, sizeof(line), "Cicadabay-Request: %llu",
	    (unsigned long long)r->request_id);
	call_add_header(c, line);
	snprintf(line, sizeof(line), "Cicadabay-Timeout-Ms: %lld",
	    (long long)r->timeout_ms);
	call_add_header(c, line);
}

/* Sets the options of the request's handle. */
static void
call_set_options(struct back_call *c, const struct back_req *r)
{
	CURL *e = c->easy;
	char *url, *method, *target;

	url = talloc_asprintf(c, "http://" STR_FMT "/", STR_ARG(r->addr));
	method = str_cstr(c, r->method);
	target = str_cstr(c, r->target);
	if (url == NULL)
		abort();
	curl_easy_setopt(e, CURLOPT_URL, url);
	curl_easy_setopt(e, CURLOPT_REQUEST_TARGET, target);
	curl_easy_setopt(e, CURLOPT_PRIVATE, c);
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(e, CURLOPT_FOLLOWLOCATION, 0L);
	curl_easy_setopt(e, CURLOPT_HTTP09_ALLOWED, 0L);
	curl_easy_setopt(e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(
	    e, CURLOPT_CONNECTTIMEOUT_MS, (long)BACK_CONNECT_TIMEOUT_MS);
	curl_easy_setopt(e, CURLOPT_MAXAGE_CONN, (long)BACK_IDLE_CONN_MAX_S);
	curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_prereq);
	curl_easy_setopt(e, CURLOPT_PREREQDATA, c);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, c);
	curl_easy_setopt(e, CURLOPT_HTTPHEADER, c->header_list);
	if (r->body.len > 0 || str_eq_c(r->method, "POST") ||
	    str_eq_c(r->method, "PUT") || str_eq_c(r->method, "PATCH")) {
		c->body = str_dup(c, r->body);
		curl_easy_setopt(e, CURLOPT_POSTFIELDS, c->body.p);
		curl_easy_setopt(
		    e, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)c->body.len);
	}
	if (str_eq_c(r->method, "HEAD")) {
		c->bodyless = true;
		curl_easy_setopt(e, CURLOPT_NOBODY, 1L);
	}
	curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, method);
	if (r->is_probe) {
		curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(e, CURLOPT_FORBID_REUSE, 1L);
		curl_easy_setopt(
		    e, CURLOPT_TIMEOUT_MS, (long)BACK_PROBE_TIMEOUT_MS);
	}
}

/* Starts a request to a worker; everything is copied. */
struct back_call *
back_start(struct back *b, const struct back_req *r)
{
	struct back_call *c;

	c = talloc_zero(b, struct back_call);
	if (c == NULL)
		abort();
	c->back = b;
	c->host = back_get_host(b, r->addr, r->max_connections);
	c->user = r->user;
	c->request_id = r->request_id;
	c->send_by = r->send_by;
	c->is_probe = r->is_probe;
	c->reuse_without_echo = r->reuse_without_echo;
	c->all_headers = r->all_headers;
	c->easy =
	    b->nspare > 0 ? b->spare_handles[--b->nspare] : curl_easy_init();
	if (c->easy == NULL)
		abort();
	call_set_headers(c, r);
	call_set_options(c, r);
	c->host->ncalls++;
	b->ncalls++;
	ctr_add(b->conf.ctr, r->is_probe ? NCTR_PROBES : NCTR_BACK_CALLS, 1);
	if (curl_multi_add_handle(c->host->multi, c->easy) != CURLM_OK)
		abort();
	return c;
}

/*
 * Ends a call without a callback and closes its connection; nothing more is
 * sent.
 */
void
back_abort(struct back_call *c)
{
	ctr_add(c->back->conf.ctr, NCTR_BACK_ABORTED, 1);
	call_detach(c);
	talloc_free(c);
}

/* Returns the number of calls that have not ended. */
size_t
back_count_calls(const struct back *b)
{
	return b->ncalls;
}

/*
 * Closes the connections to workers that have not been used for
 * BACK_HOST_UNUSED_MS.
 */
static void
on_sweep_timer(void *arg)
{
	struct back *b = arg;
	struct timespec t = clk_now(&b->clk);
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, b->hosts);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct host *h = value;

		if (h->ncalls > 0 ||
		    clk_diff_ms(t, h->used_at) < BACK_HOST_UNUSED_MS)
			continue;
		g_hash_table_iter_remove(&it);
		talloc_free(h);
	}
	mtimer_set_ms(&b->sweep_timer, BACK_IDLE_CONN_MAX_S * 1000);
}

/* Frees the hosts and the unused handles. */
static int
back_destroy(struct back *b)
{
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, b->hosts);
	while (g_hash_table_iter_next(&it, &key, &value))
		talloc_free(value);
	g_hash_table_destroy(b->hosts);
	while (b->nspare > 0)
		curl_easy_cleanup(b->spare_handles[--b->nspare]);
	return 0;
}

/*
 * Creates the outbound side of a thread. All calls must have ended before it is
 * freed.
 */
struct back *
back_new(
    TALLOC_CTX *ctx, struct tevent_context *ev, const struct back_conf *conf)
{
	struct back *b;

	b = talloc_zero(ctx, struct back);
	if (b == NULL)
		abort();
	b->conf = *conf;
	b->ev = ev;
	b->clk = clk_system();
	b->hosts = g_hash_table_new(g_str_hash, g_str_equal);
	b->timers = mtimer_queue_new(b, ev);
	mtimer_init(&b->sweep_timer, b->timers, on_sweep_timer, b);
	mtimer_set_ms(&b->sweep_timer, BACK_IDLE_CONN_MAX_S * 1000);
	talloc_set_destructor(b, back_destroy);
	return b;
}
