#include "node/cloud.h"

#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>

#include "base/log.h"
#include "node/nctr.h"
#include "node/wcon.h"
#include "platform/pf.h"

#define MS_PER_S 1000

/* Calls of one kind: what may be sent, and when. */
struct budget {
	int64_t per_s; /* calls a second */
	double tokens; /* calls that may be sent now */
	struct timespec filled_at, retry_at;
	int64_t backoff_ms;
};

/* One call in flight. */
struct cloud_call {
	struct cloud_call *next;
	struct wcon_call *call;
	bool is_order;
	uint64_t serial; /* of the order */
	struct timespec deadline;
};

struct cloud {
	struct cloud_conf conf;
	struct wcon *wcon;
	struct budget orders, reads;
	struct cloud_call *calls;
	unsigned norders;
	/* The list that is being read, NULL: none. */
	TALLOC_CTX *list_ctx;
	GArray *list; /* struct jcloud_machine */
	char *next_page;
	bool page_pending; /* a page is in flight */
	unsigned npages;   /* requested so far */
	struct timespec requested_at;
};

/* ---- budget ---- */

/* Sets up a budget: a tenth of a second's calls may be sent at once. */
static void
budget_init(struct budget *b, int64_t limit, struct timespec now)
{
	b->per_s = limit * CLOUD_BUDGET_PERCENT / 100;
	if (b->per_s < 1)
		b->per_s = 1;
	b->tokens = 1;
	b->filled_at = b->retry_at = now;
	b->backoff_ms = CLOUD_RETRY_MS;
}

/* Takes a call from the budget; false if none may be sent now. */
static bool
budget_take(struct budget *b, struct timespec now)
{
	double most = (double)b->per_s / 10 + 1;

	b->tokens += (double)clk_diff_ms(now, b->filled_at) * (double)b->per_s /
	    MS_PER_S;
	b->filled_at = now;
	if (b->tokens > most)
		b->tokens = most;
	if (b->tokens < 1 || clk_before(now, b->retry_at))
		return false;
	b->tokens -= 1;
	return true;
}

/* Pauses calls of a kind after one failed, or ends the pauses. */
static void
budget_result(struct budget *b, struct timespec now, bool ok)
{
	if (ok) {
		b->backoff_ms = CLOUD_RETRY_MS;
		return;
	}
	b->retry_at = clk_add_ms(now, b->backoff_ms);
	b->backoff_ms = MIN(b->backoff_ms * 2, CLOUD_RETRY_MAX_MS);
}

/* ---- calls ---- */

/* Starts a call. */
static void
start_call(struct cloud *c, const struct pf_cloud_request *q, bool is_order,
    uint64_t serial)
{
	struct cloud_call *k = talloc_zero(c, struct cloud_call);
	struct timespec now = clk_now(&c->conf.clk);
	struct wcon_req r = { .addr = c->conf.addr,
		.method = q->method,
		.target = q->target,
		.body = q->body,
		.headers = q->headers,
		.nheaders = q->nheaders,
		.max_conns = CLOUD_ORDERS_MAX + 1,
		.user = k };

	if (k == NULL)
		abort();
	k->is_order = is_order;
	k->serial = serial;
	k->deadline = clk_add_ms(now, CLOUD_CALL_TIMEOUT_MS);
	r.send_by = clk_add_ms(now, CLOUD_SEND_MS);
	k->next = c->calls;
	c->calls = k;
	c->norders += is_order;
	k->call = wcon_start(c->wcon, &r);
}

/* Removes a call from the list. */
static void
unlink_call(struct cloud *c, struct cloud_call *k)
{
	struct cloud_call **p;

	for (p = &c->calls; *p != k; p = &(*p)->next)
		;
	*p = k->next;
	c->norders -= k->is_order;
}

/* Gives up the list that is being read. */
static void
drop_list(struct cloud *c)
{
	if (c->list != NULL)
		g_array_free(c->list, TRUE);
	talloc_free(c->list_ctx);
	c->list = NULL;
	c->list_ctx = NULL;
	c->next_page = NULL;
	c->page_pending = false;
}

/* Ends a read that failed. */
static void
fail_read(struct cloud *c, const char *why)
{
	log_event(LOG_NOTICE, "cloud", "event=list_failed error=\"%s\"", why);
	budget_result(&c->reads, clk_now(&c->conf.clk), false);
	drop_list(c);
}

/* Requests the next page, if the budget allows it. */
static void
request_page(struct cloud *c)
{
	struct pf_cloud_request q;

	if (c->list_ctx == NULL || c->page_pending)
		return;
	if (c->npages >= CLOUD_PAGES_MAX ||
	    clk_diff_ms(clk_now(&c->conf.clk), c->requested_at) >=
		CLOUD_READ_MAX_MS) {
		fail_read(c, "the list has no end");
		return;
	}
	if (!budget_take(&c->reads, clk_now(&c->conf.clk)))
		return;
	pf_build_machine_list(c->list_ctx, c->next_page, &q);
	c->page_pending = true;
	c->npages++;
	start_call(c, &q, false, 0);
}

/* Adds a page to the list, and reports the list once it is complete. */
static void
handle_page(struct cloud *c, int status, struct str body)
{
	struct jcloud_machine *m;
	struct err e;
	size_t n;

	err_clear(&e);
	c->page_pending = false;
	if (status != 200)
		err_set(&e, STATUS_UNAVAILABLE, "status %d", status);
	else if (pf_decode_machine_list(
		     c->list_ctx, body, &m, &n, &c->next_page, &e) == STATUS_OK)
		g_array_append_vals(c->list, m, (guint)n);
	if (e.status == STATUS_OK && c->list->len > CLOUD_MACHINES_MAX)
		err_set(
		    &e, STATUS_LIMIT, "over %d machines", CLOUD_MACHINES_MAX);
	if (e.status != STATUS_OK) {
		fail_read(c, e.msg);
		return;
	}
	budget_result(&c->reads, clk_now(&c->conf.clk), true);
	if (c->next_page != NULL) {
		request_page(c);
		return;
	}
	c->conf.on_list(c->conf.arg,
	    (const struct jcloud_machine *)(void *)c->list->data, c->list->len,
	    c->requested_at);
	drop_list(c);
}

/* Reports the result of an order. */
static void
finish_order(struct cloud *c, uint64_t serial, enum jcloud_result r)
{
	/* One machine's order without an answer holds up no others. */
	if (r != JCLOUD_NO_ANSWER)
		budget_result(&c->orders, clk_now(&c->conf.clk),
		    r != JCLOUD_LIMITED && r != JCLOUD_NOT_SENT);
	c->conf.on_ordered(c->conf.arg, serial, r);
}

/* Handles an answer. */
static void
on_done(void *arg, void *user, int status, struct str body)
{
	struct cloud *c = arg;
	struct cloud_call *k = user;

	unlink_call(c, k);
	if (k->is_order)
		finish_order(
		    c, k->serial, pf_decode_order_answer(status, body));
	else
		handle_page(c, status, body);
	talloc_free(k);
}

/* Ends a call without an answer. */
static void
fail_call(struct cloud *c, struct cloud_call *k, enum wcon_failure why)
{
	unlink_call(c, k);
	if (k->is_order)
		finish_order(c, k->serial,
		    why == WCON_MAYBE_SENT ? JCLOUD_NO_ANSWER
					   : JCLOUD_NOT_SENT);
	else
		fail_read(
		    c, why == WCON_MAYBE_SENT ? "no answer" : "no connection");
	talloc_free(k);
}

/* Handles a failed call. */
static void
on_failed(void *arg, void *user, enum wcon_failure why)
{
	fail_call(arg, user, why);
}

/* Starts to read the list. */
bool
cloud_read(struct cloud *c)
{
	if (c->list_ctx != NULL ||
	    clk_before(clk_now(&c->conf.clk), c->reads.retry_at))
		return false;
	c->list_ctx = talloc_new(c);
	c->list = g_array_new(FALSE, TRUE, sizeof(struct jcloud_machine));
	c->requested_at = clk_now(&c->conf.clk);
	c->npages = 0;
	request_page(c);
	return true;
}

/* Sends an order. */
bool
cloud_order(struct cloud *c, const struct jcloud_order *o)
{
	struct pf_cloud_request q;
	TALLOC_CTX *tmp;

	if (c->norders >= CLOUD_ORDERS_MAX ||
	    !budget_take(&c->orders, clk_now(&c->conf.clk)))
		return false;
	tmp = talloc_new(c);
	pf_build_order(tmp, o, c->conf.holder, &q);
	start_call(c, &q, true, o->serial);
	talloc_free(tmp);
	return true;
}

/* Ends calls past their time limit, and reads the next page. */
void
cloud_tick(struct cloud *c)
{
	struct timespec now = clk_now(&c->conf.clk);
	struct cloud_call *k, *next;

	for (k = c->calls; k != NULL; k = next) {
		next = k->next;
		if (!clk_before(now, k->deadline))
			fail_call(c, k, wcon_abort(k->call));
	}
	request_page(c);
}

/* Drops all calls without a result. */
void
cloud_drop(struct cloud *c)
{
	struct cloud_call *k;

	while ((k = c->calls) != NULL) {
		wcon_abort(k->call);
		unlink_call(c, k);
		talloc_free(k);
	}
	drop_list(c);
}

/* Releases the list that is being read. */
static int
cloud_destroy(struct cloud *c)
{
	cloud_drop(c);
	return 0;
}

/* Creates the client. Nothing is sent before the first call. */
struct cloud *
cloud_new(TALLOC_CTX *ctx, const struct cloud_conf *conf)
{
	struct cloud *c = talloc_zero(ctx, struct cloud);
	struct wcon_conf wc = { .ev = conf->ev,
		.clk = conf->clk,
		.ctr = conf->ctr,
		.connections_max = CLOUD_ORDERS_MAX + 1,
		.on_done = on_done,
		.on_failed = on_failed,
		.arg = c };

	if (c == NULL)
		abort();
	c->conf = *conf;
	c->wcon = wcon_new(c, &wc);
	budget_init(&c->orders, conf->orders_per_s, clk_now(&conf->clk));
	budget_init(&c->reads, conf->reads_per_s, clk_now(&conf->clk));
	talloc_set_destructor(c, cloud_destroy);
	return c;
}
