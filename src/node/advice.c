#include "node/advice.h"

#include <inttypes.h>
#include <stdlib.h>

#include "base/log.h"
#include "node/wcon.h"
#include "platform/pf.h"

/* Greatest time limit of a call that another instance asks for. */
#define TIMEOUT_MAX_MS 600000

/* Another instance that makes calls. */
struct peer {
	uint32_t instance;
	struct timespec heard_at;
};

struct advice {
	struct advice_conf conf;
	struct wcon *wcon;
	/* The call that this instance makes; wcon_call NULL: none. */
	struct wcon_call *wcon_call;
	uint32_t from; /* instance of its leader; 0: this one */
	uint64_t token, serial;
	struct timespec deadline;
	uint64_t newest_token; /* of the leaders that have asked for calls */
	struct peer peers[JADVICE_CALLERS_MAX];
	size_t npeers;
};

/* ---- the call that this instance makes ---- */

/* Sends an answer to the instance whose leader asked for it. One that can't be
 * sent is lost: the leader ends the call at its time limit. */
static void
send_answer(struct advice *a, uint32_t to, uint64_t token,
    const struct jadvice_answer *r)
{
	Job__Msg m = JOB__MSG__INIT;
	Job__AdviceAnswer o = JOB__ADVICE_ANSWER__INIT;
	TALLOC_CTX *ctx = talloc_new(a);
	size_t i;

	o.token = token;
	o.serial = r->serial;
	o.result = r->result;
	o.good = talloc_array(ctx, char *, r->ngood + 1);
	o.tickets = talloc_array(ctx, char *, r->ngood + 1);
	if (o.good == NULL || o.tickets == NULL)
		abort();
	for (i = 0; i < r->ngood; i++) {
		o.good[i] = (char *)(uintptr_t)r->good[i].worker;
		o.tickets[i] = (char *)(uintptr_t)r->good[i].ticket;
	}
	o.n_good = o.n_tickets = r->ngood;
	m.advice_answer = &o;
	if (!a->conf.send(a->conf.arg, to, &m))
		log_event(LOG_NOTICE, "advice",
		    "event=answer_not_sent to=%u serial=%" PRIu64, to,
		    r->serial);
	talloc_free(ctx);
}

/* Ends the call and passes its answer to the leader that asked for it. */
static void
end_call(struct advice *a, enum jadvice_result result,
    const struct jadvice_good *good, size_t n)
{
	struct jadvice_answer r = {
		.serial = a->serial, .result = result, .good = good, .ngood = n
	};

	a->wcon_call = NULL;
	if (a->from == 0)
		a->conf.on_answer(a->conf.arg, a->token, &r);
	else
		send_answer(a, a->from, a->token, &r);
}

/* Handles the service's answer. */
static void
on_done(void *arg, void *user, int status, struct str body)
{
	struct advice *a = arg;
	TALLOC_CTX *ctx = talloc_new(a);
	struct jadvice_good *good;
	size_t n;
	enum jadvice_result r = pf_decode_advice(ctx, status, body, &good, &n);

	if (r == JADVICE_NO_ANSWER)
		log_event(LOG_NOTICE, "advice",
		    "event=bad_answer status=%d bytes=%zu", status, body.len);
	end_call(a, r, good, n);
	talloc_free(ctx);
}

/* Returns what the leader is told about a call that failed. */
static enum jadvice_result
get_result(enum wcon_failure why)
{
	return why == WCON_MAYBE_SENT ? JADVICE_NO_ANSWER : JADVICE_NOT_SENT;
}

/* Handles a call that ended without an answer. */
static void
on_failed(void *arg, void *user, enum wcon_failure why)
{
	end_call(arg, get_result(why), NULL, 0);
}

/* Starts a call to the service. One in flight is given up: its leader has ended
 * it, or is no longer the leader. */
static void
start_call(struct advice *a, uint32_t from, const struct jadvice_call *c)
{
	struct timespec now = clk_now(&a->conf.clk);
	TALLOC_CTX *ctx = talloc_new(a);
	struct pf_cloud_request q;
	struct wcon_req r = { .addr = a->conf.addr, .max_conns = 1 };

	if (a->wcon_call != NULL)
		wcon_abort(a->wcon_call);
	a->from = from;
	a->token = c->token;
	a->serial = c->serial;
	a->deadline = clk_add_ms(now, c->timeout_ms);
	pf_build_advise(ctx, c, &q);
	r.method = q.method;
	r.target = q.target;
	r.body = q.body;
	r.headers = q.headers;
	r.nheaders = q.nheaders;
	r.send_by = a->deadline;
	a->wcon_call = wcon_start(a->wcon, &r);
	talloc_free(ctx);
}

/* Makes a call for another instance's leader. Those of earlier leaders are
 * dropped. */
void
advice_on_call(struct advice *a, uint32_t from, const Job__AdviceCall *m)
{
	struct jadvice_call c = { .token = m->token,
		.serial = m->serial,
		.step = *m->step,
		.workers = (const char *const *)m->workers,
		.nworkers = m->n_workers,
		.timeout_ms = m->timeout_ms };

	if (m->token < a->newest_token || m->n_workers == 0 ||
	    m->n_workers > JADVICE_WORKERS_MAX ||
	    m->timeout_ms > TIMEOUT_MAX_MS) {
		log_event(LOG_NOTICE, "advice",
		    "event=call_dropped from=%u token=%" PRIu64
		    " serial=%" PRIu64 " workers=%zu",
		    from, m->token, m->serial, m->n_workers);
		return;
	}
	a->newest_token = m->token;
	start_call(a, from, &c);
}

/* ---- calls of this leader ---- */

/* Forwards a call to the instance that is to make it. */
static bool
forward_call(struct advice *a, const struct jadvice_call *c)
{
	Job__Msg m = JOB__MSG__INIT;
	Job__AdviceCall o = JOB__ADVICE_CALL__INIT;
	Job__Task step = c->step;

	o.token = c->token;
	o.serial = c->serial;
	o.step = &step;
	o.workers = (char **)(uintptr_t)c->workers;
	o.n_workers = c->nworkers;
	o.timeout_ms = (uint32_t)c->timeout_ms;
	m.advice_call = &o;
	return a->conf.send(a->conf.arg, c->instance, &m);
}

/* Makes or forwards a call. */
bool
advice_call(struct advice *a, const struct jadvice_call *c)
{
	if (c->token > a->newest_token)
		a->newest_token = c->token;
	if (c->instance != 0)
		return forward_call(a, c);
	start_call(a, 0, c);
	return true;
}

/* Takes the answer to a forwarded call; one with a ticket missing is lost. */
void
advice_on_answer(struct advice *a, uint32_t from, const Job__AdviceAnswer *m)
{
	struct jadvice_answer r = { .instance = from,
		.serial = m->serial,
		.result = (enum jadvice_result)m->result };
	struct jadvice_good *good;
	size_t i;

	if (m->n_good != m->n_tickets || m->result >= JADVICE_RESULTS)
		return;
	good = talloc_zero_array(a, struct jadvice_good, m->n_good + 1);
	if (good == NULL)
		abort();
	for (i = 0; i < m->n_good; i++) {
		good[i].worker = m->good[i];
		good[i].ticket = m->tickets[i];
	}
	r.good = good;
	r.ngood = m->n_good;
	a->conf.on_answer(a->conf.arg, m->token, &r);
	talloc_free(good);
}

/* Tells whether an instance has sent no ping for too long. */
static bool
is_silent(const struct peer *p, struct timespec now)
{
	return clk_diff_ms(now, p->heard_at) > ADVICE_PEER_SILENT_MS;
}

/* Records that an instance makes calls; one that is silent may lose its
 * place. */
void
advice_on_peer(struct advice *a, uint32_t instance)
{
	struct timespec now = clk_now(&a->conf.clk);
	size_t i;

	for (i = 0; i < a->npeers && a->peers[i].instance != instance; i++)
		;
	if (i == a->npeers) {
		for (i = 0; i < a->npeers && !is_silent(&a->peers[i], now); i++)
			;
	}
	if (i == JADVICE_CALLERS_MAX)
		return;
	if (i == a->npeers)
		a->npeers++;
	a->peers[i].instance = instance;
	a->peers[i].heard_at = now;
}

/* Stops using an instance to which the connection failed: a call or its answer
 * may be lost with it. */
void
advice_on_disconnect(struct advice *a, uint32_t instance)
{
	size_t i;

	for (i = 0; i < a->npeers; i++) {
		if (a->peers[i].instance != instance)
			continue;
		a->peers[i] = a->peers[--a->npeers];
		return;
	}
}

/* Writes the instances that make calls to out and returns their number. */
size_t
advice_list_peers(const struct advice *a, uint32_t *out, size_t max)
{
	struct timespec now = clk_now(&a->conf.clk);
	size_t i, n = 0;

	for (i = 0; i < a->npeers && n < max; i++) {
		if (!is_silent(&a->peers[i], now))
			out[n++] = a->peers[i].instance;
	}
	return n;
}

/* Ends a call past its time limit. */
void
advice_tick(struct advice *a)
{
	if (a->wcon_call == NULL ||
	    clk_before(clk_now(&a->conf.clk), a->deadline))
		return;
	end_call(a, get_result(wcon_abort(a->wcon_call)), NULL, 0);
}

/* Drops a call of this leader without an answer. */
void
advice_drop(struct advice *a)
{
	if (a->wcon_call == NULL || a->from != 0)
		return;
	wcon_abort(a->wcon_call);
	a->wcon_call = NULL;
}

/* Creates the client. Nothing is sent before the first call. */
struct advice *
advice_new(TALLOC_CTX *ctx, const struct advice_conf *conf)
{
	struct advice *a = talloc_zero(ctx, struct advice);
	struct wcon_conf wc = { .ev = conf->ev,
		.clk = conf->clk,
		.ctr = conf->ctr,
		.connections_max = 1,
		.on_done = on_done,
		.on_failed = on_failed,
		.arg = a };

	if (a == NULL)
		abort();
	a->conf = *conf;
	a->wcon = wcon_new(a, &wc);
	return a;
}
