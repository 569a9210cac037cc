#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "node/nctr.h"
#include "node/wcon_impl.h"

/* The connection pool: hosts, their waiting calls, and the limits. */

/* ---- hosts ---- */

/* Dispatches the calls of blocked hosts while another connection may be
 * opened. */
void
wcon_dispatch_blocked(struct wcon *w)
{
	guint n = w->blocked_hosts.length;
	struct wcon_host *h;

	while (n-- > 0 &&
	    (w->nconns < w->conf.connections_max || w->idle_conns.length > 0)) {
		h = g_queue_pop_head(&w->blocked_hosts);
		h->is_blocked = false;
		wcon_host_dispatch(h);
	}
}

/* Releases a call and records when its host was last used. */
void
wcon_call_free(struct wcon_call *k)
{
	struct wcon_host *h = k->host;

	if (k->is_waiting)
		g_queue_unlink(&h->waiting_calls, &k->link);
	if (k->is_failed)
		g_queue_unlink(&h->pool->failed_calls, &k->link);
	h->used_at = clk_now(&h->pool->conf.clk);
	free(k->request);
	talloc_free(k);
}

/* Returns why a call ends without an answer. */
enum wcon_failure
wcon_call_failure(const struct wcon_call *k)
{
	if (k->has_sent)
		return WCON_MAYBE_SENT;
	if (k->is_late)
		return WCON_LATE;
	if (k->is_refused)
		return WCON_REFUSED;
	return k->host->is_blocked && k->is_waiting ? WCON_FULL : WCON_NOT_SENT;
}

/* Counts a call whose connection failed. */
void
wcon_count_failure(const struct wcon_call *k)
{
	struct ctr_set *ctr = k->host->pool->conf.ctr;

	if (k->has_sent)
		ctr_add(ctr, NCTR_BACK_RESET, 1);
	else if (k->is_late)
		ctr_add(ctr, NCTR_WCON_LATE, 1);
	else
		ctr_add(ctr, NCTR_BACK_CONNECT, 1);
}

/* Tells whether a byte of a call may have been sent. */
bool
wcon_was_sent(const struct wcon_call *k)
{
	return k->has_sent;
}

/* Tells whether a call was sent on a connection that had carried another. */
bool
wcon_was_reused(const struct wcon_call *k)
{
	return k->has_sent && k->conn != NULL && k->conn->ncalls > 1;
}

/* Reports the calls for which no connection could be opened, or whose
 * connection failed at once. */
static void
on_failed_calls(
    struct tevent_context *ev, struct tevent_immediate *im, void *arg)
{
	struct wcon *w = arg;
	struct wcon_call *k;
	void *user;

	while ((k = g_queue_peek_head(&w->failed_calls)) != NULL) {
		enum wcon_failure failure = wcon_call_failure(k);

		user = k->user;
		wcon_count_failure(k);
		wcon_call_free(k);
		w->conf.on_failed(w->conf.arg, user, failure);
	}
}

/* Reports the failure of a call from the event loop, as wcon_start must not
 * call back. */
static void
fail_call_later(struct wcon_call *k)
{
	struct wcon *w = k->host->pool;

	k->is_failed = true;
	g_queue_push_tail_link(&w->failed_calls, &k->link);
	tevent_schedule_immediate(
	    w->fail_event, w->conf.ev, on_failed_calls, w);
}

/* Tells whether one more connection may be opened; at the limit, closes the one
 * that has been idle longest. */
static bool
reserve_connection(struct wcon *w)
{
	if (w->nconns < w->conf.connections_max) {
		if (w->full_logged &&
		    w->nconns < w->conf.connections_max * 9 / 10) {
			w->full_logged = false;
			log_event(LOG_NOTICE, "wcon",
			    "event=connections_free open=%zu", w->nconns);
		}
		return true;
	}
	ctr_add(w->conf.ctr, NCTR_WCON_FULL, 1);
	if (!w->full_logged) {
		w->full_logged = true;
		log_event(LOG_WARNING, "wcon",
		    "event=connections_full open=%zu idle=%u", w->nconns,
		    w->idle_conns.length);
	}
	if (w->idle_conns.length == 0)
		return false;
	wconn_close(g_queue_peek_head(&w->idle_conns));
	return true;
}

/* Assigns the waiting calls of a host to idle or new connections, as far as the
 * limits allow. */
void
wcon_host_dispatch(struct wcon_host *h)
{
	struct wcon *w = h->pool;
	struct wcon_call *k;
	struct wconn *c;

	while ((k = g_queue_peek_head(&h->waiting_calls)) != NULL) {
		c = wconn_find_idle(h);
		if (c != NULL) {
			wconn_remove_idle(c);
		} else {
			if (h->nconns >= h->max_conns)
				return;
			if (!reserve_connection(w)) {
				if (!h->is_blocked)
					g_queue_push_tail(&w->blocked_hosts, h);
				h->is_blocked = true;
				return;
			}
			c = wconn_open(h);
		}
		g_queue_unlink(&h->waiting_calls, &k->link);
		k->is_waiting = false;
		if (c == NULL) {
			fail_call_later(k);
		} else if (!wconn_assign(c, k)) {
			wconn_close(c);
			fail_call_later(k);
		}
	}
}

/* ---- calls ---- */

/* Returns the record of a worker's address; creates it if needed. */
static struct wcon_host *
get_host(struct wcon *w, struct str addr)
{
	char *key = str_cstr(w, addr);
	struct wcon_host *h = g_hash_table_lookup(w->hosts, key);

	if (h != NULL) {
		talloc_free(key);
		return h;
	}
	h = talloc_zero(w, struct wcon_host);
	if (h == NULL)
		abort();
	h->pool = w;
	h->addr = talloc_steal(h, key);
	g_queue_init(&h->waiting_calls);
	g_hash_table_insert(w->hosts, h->addr, h);
	return h;
}

/* Formats the HTTP request of a call. */
static void
format_request(struct wcon_call *k, const struct wcon_req *r)
{
	GString *s = g_string_sized_new(256 + r->body.len);
	size_t i;

	g_string_append_len(s, r->method.p, (gssize)r->method.len);
	g_string_append_c(s, ' ');
	g_string_append_len(s, r->target.p, (gssize)r->target.len);
	g_string_append(s, " HTTP/1.1\r\nHost: ");
	g_string_append_len(s, r->addr.p, (gssize)r->addr.len);
	for (i = 0; i < r->nheaders; i++) {
		g_string_append(s, "\r\n");
		g_string_append_len(
		    s, r->headers[i].name.p, (gssize)r->headers[i].name.len);
		g_string_append(s, ": ");
		g_string_append_len(
		    s, r->headers[i].value.p, (gssize)r->headers[i].value.len);
	}
	g_string_append_printf(
	    s, "\r\nContent-Length: %zu\r\n\r\n", r->body.len);
	g_string_append_len(s, r->body.p, (gssize)r->body.len);
	k->len = s->len;
	k->request = g_string_free(s, FALSE);
}

/* Starts a call; it waits while all connections to its worker are in use. */
struct wcon_call *
wcon_start(struct wcon *w, const struct wcon_req *r)
{
	struct wcon_call *k = talloc_zero(w, struct wcon_call);

	if (k == NULL)
		abort();
	k->host = get_host(w, r->addr);
	k->host->max_conns = r->max_conns;
	k->host->used_at = clk_now(&w->conf.clk);
	k->user = r->user;
	k->send_by = r->send_by;
	k->link.data = k;
	k->is_waiting = true;
	format_request(k, r);
	g_queue_push_tail_link(&k->host->waiting_calls, &k->link);
	ctr_add(w->conf.ctr, NCTR_BACK_CALLS, 1);
	wcon_host_dispatch(k->host);
	return k;
}

/* Ends a call without a callback. Its connection is closed, as the answer may
 * still arrive there. If the call was sent, so are the idle connections to its
 * worker that haven't answered since. Returns what is known of the call. */
enum wcon_failure
wcon_abort(struct wcon_call *k)
{
	struct wcon_host *h = k->host;
	struct wcon *w = h->pool;
	struct wconn *c = k->conn;
	enum wcon_failure failure = wcon_call_failure(k);

	ctr_add(w->conf.ctr, NCTR_BACK_ABORTED, 1);
	if (wcon_was_reused(k))
		ctr_add(w->conf.ctr, NCTR_WCON_REUSED_SILENT, 1);
	if (c != NULL)
		wconn_close(c);
	if (k->has_sent)
		wconn_close_older(h, k->sent_at);
	wcon_call_free(k);
	wcon_host_dispatch(h);
	wcon_dispatch_blocked(w);
	return failure;
}

/* Returns the number of open connections. */
size_t
wcon_count_open(const struct wcon *w)
{
	return w->nconns;
}

/* ---- start and end ---- */

/* Closes connections and releases hosts that have not been used for long. */
static void
on_sweep(void *arg)
{
	struct wcon *w = arg;
	struct timespec t = clk_now(&w->conf.clk);
	GHashTableIter it;
	gpointer key, value;
	struct wconn *c;

	while ((c = g_queue_peek_head(&w->idle_conns)) != NULL &&
	    clk_diff_ms(t, c->used_at) >= WCON_IDLE_MS)
		wconn_close(c);
	g_hash_table_iter_init(&it, w->hosts);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct wcon_host *h = value;

		if (h->nconns > 0 || h->waiting_calls.length > 0 ||
		    h->is_blocked ||
		    clk_diff_ms(t, h->used_at) < WCON_HOST_UNUSED_MS)
			continue;
		g_hash_table_iter_remove(&it);
		talloc_free(h);
	}
	mtimer_set_ms(&w->sweep_timer, WCON_IDLE_MS);
}

/* Closes all connections and releases all calls. */
static int
wcon_destroy(struct wcon *w)
{
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, w->hosts);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct wcon_host *h = value;
		struct wcon_call *k;

		while (h->conns != NULL) {
			k = h->conns->call;
			wconn_close(h->conns);
			if (k != NULL)
				wcon_call_free(k);
		}
		while ((k = g_queue_peek_head(&h->waiting_calls)) != NULL)
			wcon_call_free(k);
	}
	while (w->failed_calls.length > 0)
		wcon_call_free(g_queue_peek_head(&w->failed_calls));
	g_queue_clear(&w->blocked_hosts);
	g_hash_table_destroy(w->hosts);
	return 0;
}

/* Creates the pool. Calls that are pending when it is freed get no callback. */
struct wcon *
wcon_new(TALLOC_CTX *ctx, const struct wcon_conf *conf)
{
	struct wcon *w = talloc_zero(ctx, struct wcon);

	if (w == NULL)
		abort();
	w->conf = *conf;
	w->hosts = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&w->idle_conns);
	g_queue_init(&w->blocked_hosts);
	g_queue_init(&w->failed_calls);
	w->fail_event = tevent_create_immediate(w);
	mtimer_init(
	    &w->sweep_timer, mtimer_queue_new(w, conf->ev), on_sweep, w);
	mtimer_set_ms(&w->sweep_timer, WCON_IDLE_MS);
	talloc_set_destructor(w, wcon_destroy);
	return w;
}
