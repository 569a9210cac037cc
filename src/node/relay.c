#include "node/relay.h"

#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "node/mtimer.h"
#include "node/nctr.h"
#include "node/relay_msg.h"
#include "node/wcon.h"
#include "platform/pf.h"

/* A call that this instance makes. */
struct wcall {
	struct relay *rl;
	uint32_t from; /* instance of its leader; 0: this one */
	uint64_t token;
	struct jl_reply reply;
	struct wcon_call *call;
	struct timespec ordered_at; /* estimated if the leader is elsewhere */
	struct timespec deadline;
	char *worker_id; /* set for starts and stops */
	struct wcall *prev, *next;
};

/* A call of this leader that another instance makes. */
struct relayed_call {
	uint64_t serial;
	uint64_t token; /* serials restart with the process, tokens rise */
	uint32_t peer;
	struct jl_reply reply;
	struct timespec deadline;
};

/* Another instance, with the calls and answers queued for it. */
struct rpeer {
	struct rpeer *next;
	uint32_t instance;
	char domain[JRELAY_DOMAIN_MAX];
	bool is_live; /* calls may be forwarded to it */
	struct timespec heard_at;
	TALLOC_CTX *calls_ctx; /* owns the queued calls */
	GPtrArray *calls;      /* of this leader, for that instance to make */
	GPtrArray *answers;    /* to calls of that instance's leader */
	struct timespec calls_since; /* when the oldest queued call was made */
	uint64_t calls_token, answers_token; /* of what is queued */
};

struct relay {
	struct relay_conf conf;
	struct wcon *wcon;
	struct wcall *wcalls;
	GHashTable *relayed; /* by serial */
	struct rpeer *rpeers;
	struct jrelay_peer live_peers[RELAY_PEERS_MAX];
	size_t nlive_peers;
	struct jrelay_delay batch_age;
	uint64_t token;		       /* of the newest leader that is known */
	struct timespec next_sweep_at; /* not after the first deadline */
	struct mtimer answer_timer;    /* set while answers are queued */
};

/* ---- calls that this instance makes ---- */

/* Returns the record of an instance; creates it if needed. */
static struct rpeer *
get_rpeer(struct relay *rl, uint32_t instance)
{
	struct rpeer *p;

	for (p = rl->rpeers; p != NULL; p = p->next) {
		if (p->instance == instance)
			return p;
	}
	p = talloc_zero(rl, struct rpeer);
	if (p == NULL)
		abort();
	p->instance = instance;
	p->calls = g_ptr_array_new();
	p->answers = g_ptr_array_new();
	p->calls_ctx = talloc_new(p);
	p->next = rl->rpeers;
	rl->rpeers = p;
	return p;
}

/* Returns how many of n queued calls or answers go into the next message: at
 * least one, and no more than RELAY_MESSAGE_MAX_BYTES. */
static size_t
count_batch(void **v, size_t n)
{
	size_t i, bytes = 0;

	for (i = 0; i < n; i++) {
		bytes += protobuf_c_message_get_packed_size(v[i]);
		if (i > 0 && bytes > RELAY_MESSAGE_MAX_BYTES)
			break;
	}
	return i;
}

/* Sends the queued answers to an instance. Those that can't be sent are lost:
 * the leader's calls end at their deadline, as they have been made. */
static void
send_answers(struct relay *rl, struct rpeer *p)
{
	Job__Msg m = JOB__MSG__INIT;
	Job__WorkerAnswers a = JOB__WORKER_ANSWERS__INIT;
	size_t n = p->answers->len, first;
	guint i;

	m.worker_answers = &a;
	a.token = p->answers_token;
	for (first = 0; first < n; first += a.n_answers) {
		a.answers = (Job__WorkerAnswer **)p->answers->pdata + first;
		a.n_answers = count_batch(p->answers->pdata + first, n - first);
		if (!rl->conf.send(rl->conf.arg, p->instance, &m))
			log_event(LOG_WARNING, "relay",
			    "event=answers_not_sent to=%u answers=%zu",
			    p->instance, a.n_answers);
	}
	for (i = 0; i < p->answers->len; i++)
		talloc_free(p->answers->pdata[i]);
	g_ptr_array_set_size(p->answers, 0);
}

/* Sends all answers that are queued. */
static void
on_batch_timer(void *arg)
{
	struct relay *rl = arg;
	struct rpeer *p;

	for (p = rl->rpeers; p != NULL; p = p->next) {
		if (p->answers->len > 0)
			send_answers(rl, p);
	}
}

/* Queues the answer to a call of another instance's leader. It is sent with
 * others after RELAY_BATCH_MS. */
static void
queue_answer(
    struct relay *rl, uint32_t to, uint64_t token, const struct jl_reply *r)
{
	struct rpeer *p = get_rpeer(rl, to);

	if (p->answers->len > 0 && p->answers_token != token)
		send_answers(rl, p);
	p->answers_token = token;
	g_ptr_array_add(p->answers, relay_msg_answer(p, r));
	if (!mtimer_is_set(&rl->answer_timer))
		mtimer_set_ms(&rl->answer_timer, RELAY_BATCH_MS);
}

/* Passes the reply to the leader that asked for the call, and releases the
 * call. */
static void
end_wcall(struct wcall *w)
{
	struct relay *rl = w->rl;

	if (w->prev != NULL)
		w->prev->next = w->next;
	else
		rl->wcalls = w->next;
	if (w->next != NULL)
		w->next->prev = w->prev;
	if (w->from == 0)
		rl->conf.reply(rl->conf.arg, &w->reply);
	else
		queue_answer(rl, w->from, w->token, &w->reply);
	talloc_free(w);
}

/* Logs an order that is sent more than RELAY_LATE_ORDER_MS after the leader
 * gave it. */
static void
on_wcon_sending(void *arg, void *user)
{
	struct wcall *w = user;
	int64_t age;

	if (w->worker_id == NULL)
		return;
	age = clk_diff_ms(clk_now(&w->rl->conf.clk), w->ordered_at);
	if (age <= RELAY_LATE_ORDER_MS)
		return;
	ctr_add(w->rl->conf.ctr, NCTR_RELAY_LATE, 1);
	log_event(LOG_NOTICE, "relay",
	    "event=late_order kind=%s job=%016" PRIx64
	    " task=%u.%u.%u run=%u worker=%s from=%u token=%" PRIu64
	    " serial=%" PRIu64 " age_ms=%" PRId64,
	    w->reply.call == JL_START ? "start" : "stop", w->reply.task.job,
	    w->reply.task.occurrence, w->reply.task.step, w->reply.task.index,
	    w->reply.run, w->worker_id, w->from, w->token, w->reply.serial,
	    age);
}

/* Handles a worker's answer. */
static void
on_wcon_answer(void *arg, void *user, int status, struct str body)
{
	struct wcall *w = user;

	pf_decode_worker_response(w, status, body, &w->reply);
	end_wcall(w);
}

/* Returns what the leader is told about a call that failed. */
static enum jl_reply_kind
get_reply_kind(enum wcon_failure failure)
{
	switch (failure) {
	case WCON_NOT_SENT:
		return JL_NOT_SENT;
	case WCON_REFUSED:
		return JL_CONN_REFUSED;
	case WCON_FULL:
	case WCON_LATE:
		return JL_RELAY_DROPPED;
	case WCON_MAYBE_SENT:
		break;
	}
	return JL_NO_ANSWER;
}

/* Handles a call that ended without an answer. */
static void
on_wcon_failed(void *arg, void *user, enum wcon_failure failure)
{
	struct wcall *w = user;

	w->reply.kind = get_reply_kind(failure);
	end_wcall(w);
}

/* Fills the part of a reply that identifies its call. */
static void
init_reply(struct jl_reply *r, const struct jl_call *call)
{
	memset(r, 0, sizeof(*r));
	r->call = call->kind;
	r->worker = call->worker;
	r->serial = call->serial;
	r->task = call->task;
	r->run = call->run;
}

/* Starts a call to a worker. age_ms is the time since the leader ordered it. */
static void
make_call(
    struct relay *rl, uint32_t from, const struct jl_call *call, int64_t age_ms)
{
	struct wcall *w = talloc_zero(rl, struct wcall);
	struct timespec now = clk_now(&rl->conf.clk);
	struct wcon_req r;
	struct pf_worker_request out;

	if (w == NULL)
		abort();
	w->rl = rl;
	w->from = from;
	w->token = call->token;
	init_reply(&w->reply, call);
	w->ordered_at = clk_add_ms(now, -age_ms);
	w->deadline = clk_add_ms(now, call->timeout_ms);
	if (call->kind == JL_START || call->kind == JL_STOP)
		w->worker_id =
		    talloc_strdup(w, call->id == NULL ? "-" : call->id);
	pf_build_worker_request(w, call, &out);
	memset(&r, 0, sizeof(r));
	r.addr = str_from(call->addr);
	r.method = out.method;
	r.target = out.target;
	r.body = out.body;
	r.headers = out.headers;
	r.nheaders = out.nheaders;
	r.max_conns = RELAY_WORKER_CONNECTIONS;
	r.send_by = w->deadline;
	r.user = w;
	w->next = rl->wcalls;
	if (w->next != NULL)
		w->next->prev = w;
	rl->wcalls = w;
	w->call = wcon_start(rl->wcon, &r);
}

/*
 * Records the fencing token of a leader. Calls of earlier leaders that have not
 * been sent are dropped: a worker that has restarted meanwhile would not refuse
 * them.
 */
void
relay_on_leader(struct relay *rl, uint64_t token)
{
	struct wcall *w, *next;

	if (token <= rl->token)
		return;
	rl->token = token;
	for (w = rl->wcalls; w != NULL; w = next) {
		next = w->next;
		if (w->token >= token || wcon_was_sent(w->call))
			continue;
		wcon_abort(w->call);
		w->reply.kind = JL_RELAY_DROPPED;
		end_wcall(w);
	}
}

/*
 * Tells whether a batch of calls may be carried out: no newer leader is known,
 * and it was not delayed on its way. A batch whose sender has a clock of
 * unknown difference may be of any age and is refused; senders of earlier
 * versions don't set clock_told and are judged by the delay of their other
 * batches only. One from the future isn't noted: it would make all later ones
 * look late.
 */
static bool
is_batch_fresh(
    struct relay *rl, uint32_t from, const Job__WorkerCalls *m, int64_t now_ms)
{
	int64_t ahead_ms, delay_ms;

	if (m->token != rl->token || m->sent_ms < 0 ||
	    m->sent_ms > RELAY_TIME_MAX_MS)
		return false;
	if (m->clock_told) {
		if (!rl->conf.get_clock_ahead(rl->conf.arg, from, &ahead_ms))
			return false;
		delay_ms = now_ms - m->sent_ms - ahead_ms;
		if (delay_ms > JRELAY_STALE_MS || delay_ms < -JRELAY_STALE_MS)
			return false;
	}
	return jrelay_is_fresh(
	    &rl->batch_age, from, m->token, m->sent_ms, now_ms);
}

/* Makes the calls of another instance's leader; outdated and malformed ones are
 * answered with JL_RELAY_DROPPED. */
void
relay_on_calls(struct relay *rl, uint32_t from, const Job__WorkerCalls *m)
{
	int64_t now_ms = clk_ns(clk_now(&rl->conf.clk)) / CLK_NS_PER_MS;
	bool first =
	    rl->batch_age.leader != from || rl->batch_age.token != m->token;
	struct jl_reply r;
	struct jl_call c;
	int64_t age_ms, delay_ms = m->sent_ms < 0 ? 0 : now_ms - m->sent_ms;
	bool fresh, valid;
	size_t i;

	relay_on_leader(rl, m->token);
	fresh = is_batch_fresh(rl, from, m, now_ms);
	age_ms = delay_ms - rl->batch_age.min_delay_ms;
	if (first)
		log_event(LOG_NOTICE, "relay",
		    "event=first_calls from=%u token=%" PRIu64
		    " calls=%zu delay_ms=%" PRId64,
		    from, m->token, m->n_calls, delay_ms);
	if (!fresh) {
		ctr_add(rl->conf.ctr, NCTR_RELAY_STALE, m->n_calls);
		log_event(LOG_NOTICE, "relay",
		    "event=stale_calls from=%u token=%" PRIu64
		    " newest_token=%" PRIu64 " calls=%zu delay_ms=%" PRId64
		    " min_delay_ms=%" PRId64,
		    from, m->token, rl->token, m->n_calls, delay_ms,
		    rl->batch_age.min_delay_ms);
	}
	for (i = 0; i < m->n_calls; i++) {
		valid = relay_msg_to_call(m->calls[i], &c);
		if (!valid)
			log_event(LOG_WARNING, "relay",
			    "event=bad_call from=%u serial=%" PRIu64, from,
			    m->calls[i]->serial);
		c.serial = m->calls[i]->serial;
		c.token = m->token;
		if (fresh && valid) {
			ctr_add(rl->conf.ctr, NCTR_RELAY_MADE, 1);
			make_call(rl, from, &c, age_ms);
			continue;
		}
		init_reply(&r, &c);
		r.kind = JL_RELAY_DROPPED;
		queue_answer(rl, from, m->token, &r);
	}
}

/* ---- calls that others make for this leader ---- */

/* Rebuilds the array of live peers that jrelay_choose chooses from. */
static void
rebuild_peers(struct relay *rl)
{
	struct rpeer *p;

	rl->nlive_peers = 0;
	for (p = rl->rpeers; p != NULL && rl->nlive_peers < RELAY_PEERS_MAX;
	     p = p->next) {
		if (!p->is_live)
			continue;
		rl->live_peers[rl->nlive_peers].instance = p->instance;
		memcpy(rl->live_peers[rl->nlive_peers++].domain, p->domain,
		    sizeof(p->domain));
	}
}

/* Records that an instance makes calls to workers for the leader. It is used
 * unless it is behind with the log. */
void
relay_on_peer(struct relay *rl, uint32_t instance, const char *domain)
{
	struct rpeer *p = get_rpeer(rl, instance);

	p->heard_at = clk_now(&rl->conf.clk);
	g_strlcpy(p->domain, domain, sizeof(p->domain));
	if (p->is_live ||
	    rl->conf.get_silent_ms(rl->conf.arg, instance) >
		RELAY_PEER_STUCK_MS)
		return;
	p->is_live = true;
	log_event(LOG_NOTICE, "relay",
	    "event=relay_found instance=%u domain=%s", instance, domain);
	rebuild_peers(rl);
}

/* Returns the number of other instances that make calls. */
size_t
relay_count_peers(const struct relay *rl)
{
	return rl->nlive_peers;
}

/* Ends a call that another instance was to make, with this kind of reply. */
static void
end_relayed(struct relay *rl, struct relayed_call *rc, enum jl_reply_kind kind)
{
	struct jl_reply r = rc->reply;

	g_hash_table_remove(rl->relayed, &rc->serial);
	r.kind = kind;
	rl->conf.reply(rl->conf.arg, &r);
}

/* Ends the calls that peer was to make, or those past their deadline if peer is
 * 0. Returns their number. */
static size_t
sweep_relayed(struct relay *rl, uint32_t peer, enum jl_reply_kind kind)
{
	struct timespec now = clk_now(&rl->conf.clk), next;
	GPtrArray *v = g_ptr_array_new();
	GHashTableIter it;
	gpointer key, value;
	size_t n;
	guint i;

	next = clk_add_ms(now, RELAY_SWEEP_MS);
	g_hash_table_iter_init(&it, rl->relayed);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct relayed_call *rc = value;

		if (clk_before(rc->deadline, next))
			next = rc->deadline;
		if (peer == 0 ? !clk_before(now, rc->deadline)
			      : rc->peer == peer)
			g_ptr_array_add(v, rc);
	}
	rl->next_sweep_at = next;
	for (i = 0; i < v->len; i++)
		end_relayed(rl, v->pdata[i], kind);
	n = v->len;
	g_ptr_array_free(v, TRUE);
	return n;
}

/* Stops using an instance and ends its calls as unconfirmed. */
static void
drop_peer(struct relay *rl, struct rpeer *p, const char *reason)
{
	size_t n;

	p->is_live = false;
	rebuild_peers(rl);
	n = sweep_relayed(rl, p->instance, JL_RELAY_LOST);
	ctr_add(rl->conf.ctr, NCTR_RELAY_LOST, 1);
	log_event(LOG_NOTICE, "relay",
	    "event=relay_lost instance=%u reason=%s heard_ms=%" PRId64
	    " calls=%zu peers=%zu",
	    p->instance, reason,
	    clk_diff_ms(clk_now(&rl->conf.clk), p->heard_at), n,
	    rl->nlive_peers);
}

/* Handles the failure of the connection to an instance: calls may have been
 * lost with it. */
void
relay_on_disconnect(struct relay *rl, uint32_t instance)
{
	struct rpeer *p;

	for (p = rl == NULL ? NULL : rl->rpeers; p != NULL; p = p->next) {
		if (p->instance == instance && p->is_live)
			drop_peer(rl, p, "down");
	}
}

/* Queues a call for another instance to make. */
static void
forward_call(struct relay *rl, uint32_t peer, const struct jl_call *call)
{
	struct rpeer *p = get_rpeer(rl, peer);
	struct relayed_call *rc = calloc(1, sizeof(*rc));
	struct timespec now = clk_now(&rl->conf.clk);

	if (rc == NULL)
		abort();
	if (p->calls->len == 0)
		p->calls_since = now;
	rc->serial = call->serial;
	rc->token = call->token;
	rc->peer = peer;
	init_reply(&rc->reply, call);
	rc->deadline =
	    clk_add_ms(now, call->timeout_ms + RELAY_TIMEOUT_MARGIN_MS);
	if (clk_before(rc->deadline, rl->next_sweep_at))
		rl->next_sweep_at = rc->deadline;
	g_hash_table_insert(rl->relayed, &rc->serial, rc);
	p->calls_token = call->token;
	g_ptr_array_add(p->calls, relay_msg_call(p->calls_ctx, call));
}

/* Makes a call, or forwards it to the instance that calls this worker. */
void
relay_call(struct relay *rl, const struct jl_call *call, size_t nworkers)
{
	uint32_t peer = 0;

	if ((int64_t)nworkers > rl->conf.direct_workers_max)
		peer = jrelay_choose(rl->live_peers, rl->nlive_peers,
		    call->zone, call->worker, call->relay_attempt);
	if (peer == 0)
		make_call(rl, 0, call, 0);
	else
		forward_call(rl, peer, call);
}

/* Sends the calls that are queued for an instance. Their age counts from when
 * the oldest was queued, as this process may have been paused since. Adds the
 * serials of those that can't be sent to unsent. */
static void
send_calls(struct relay *rl, struct rpeer *p, GArray *unsent)
{
	Job__Msg m = JOB__MSG__INIT;
	Job__WorkerCalls c = JOB__WORKER_CALLS__INIT;
	size_t n = p->calls->len, first, i;

	m.worker_calls = &c;
	c.token = p->calls_token;
	c.sent_ms = clk_ns(p->calls_since) / CLK_NS_PER_MS;
	c.has_clock_told = c.clock_told = 1;
	for (first = 0; first < n; first += c.n_calls) {
		c.calls = (Job__WorkerCall **)p->calls->pdata + first;
		c.n_calls = count_batch(p->calls->pdata + first, n - first);
		if (rl->conf.send(rl->conf.arg, p->instance, &m)) {
			ctr_add(rl->conf.ctr, NCTR_RELAY_HANDED, c.n_calls);
			continue;
		}
		log_event(LOG_WARNING, "relay",
		    "event=calls_not_sent to=%u calls=%zu", p->instance,
		    c.n_calls);
		for (i = 0; i < c.n_calls; i++)
			g_array_append_val(unsent, c.calls[i]->serial);
	}
	talloc_free_children(p->calls_ctx);
	g_ptr_array_set_size(p->calls, 0);
}

/* Sends the forwarded calls. Those that can't be sent end as not made. */
void
relay_flush(struct relay *rl)
{
	GArray *unsent = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	struct relayed_call *rc;
	struct rpeer *p;
	guint i;

	for (p = rl->rpeers; p != NULL; p = p->next)
		send_calls(rl, p, unsent);
	for (i = 0; i < unsent->len; i++) {
		rc = g_hash_table_lookup(
		    rl->relayed, &g_array_index(unsent, uint64_t, i));
		if (rc != NULL)
			end_relayed(rl, rc, JL_RELAY_DROPPED);
	}
	g_array_free(unsent, TRUE);
}

/* Handles answers to forwarded calls; those to calls that have ended are
 * dropped. One that can't be read is lost: its call ends at its deadline. */
void
relay_on_answers(struct relay *rl, uint32_t from, const Job__WorkerAnswers *m)
{
	TALLOC_CTX *ctx = talloc_new(rl);
	size_t i;

	for (i = 0; i < m->n_answers; i++) {
		uint64_t serial = m->answers[i]->serial;
		struct relayed_call *rc =
		    g_hash_table_lookup(rl->relayed, &serial);
		struct jl_reply r;

		if (rc == NULL || rc->peer != from || rc->token != m->token)
			continue;
		r = rc->reply;
		if (!relay_msg_to_reply(ctx, m->answers[i], &r)) {
			log_event(LOG_WARNING, "relay",
			    "event=bad_answer from=%u serial=%" PRIu64, from,
			    serial);
			talloc_free_children(ctx);
			continue;
		}
		g_hash_table_remove(rl->relayed, &serial);
		rl->conf.reply(rl->conf.arg, &r);
		talloc_free_children(ctx);
	}
	talloc_free(ctx);
}

/* ---- time ---- */

/* Logs a start or stop that got no answer: whether it was sent, and on a
 * connection that had been used before. */
static void
log_unanswered(const struct wcall *w)
{
	if (w->worker_id == NULL)
		return;
	log_event(LOG_NOTICE, "relay",
	    "event=unanswered kind=%s job=%016" PRIx64
	    " task=%u.%u.%u run=%u worker=%s from=%u token=%" PRIu64
	    " serial=%" PRIu64 " sent=%d reused=%d",
	    w->reply.call == JL_START ? "start" : "stop", w->reply.task.job,
	    w->reply.task.occurrence, w->reply.task.step, w->reply.task.index,
	    w->reply.run, w->worker_id, w->from, w->token, w->reply.serial,
	    wcon_was_sent(w->call), wcon_was_reused(w->call));
}

/* Ends calls past their deadline and stops using instances that are silent or
 * behind. */
void
relay_tick(struct relay *rl)
{
	struct timespec now = clk_now(&rl->conf.clk);
	struct wcall *w, *next;
	struct rpeer *p;

	for (w = rl->wcalls; w != NULL; w = next) {
		next = w->next;
		if (clk_before(now, w->deadline))
			continue;
		log_unanswered(w);
		w->reply.kind = get_reply_kind(wcon_abort(w->call));
		end_wcall(w);
	}
	if (!clk_before(now, rl->next_sweep_at))
		sweep_relayed(rl, 0, JL_RELAY_LOST);
	for (p = rl->rpeers; p != NULL; p = p->next) {
		if (!p->is_live)
			continue;
		if (clk_diff_ms(now, p->heard_at) > RELAY_PEER_SILENT_MS)
			drop_peer(rl, p, "silent");
		else if (rl->conf.get_silent_ms(rl->conf.arg, p->instance) >
		    RELAY_PEER_STUCK_MS)
			drop_peer(rl, p, "stuck");
	}
}

/* Drops the forwarded calls of a leader whose term has ended. */
void
relay_drop_calls(struct relay *rl)
{
	struct rpeer *p;

	g_hash_table_remove_all(rl->relayed);
	for (p = rl->rpeers; p != NULL; p = p->next) {
		talloc_free_children(p->calls_ctx);
		g_ptr_array_set_size(p->calls, 0);
	}
}

/* Releases what talloc doesn't own. */
static int
relay_destroy(struct relay *rl)
{
	struct rpeer *p;

	for (p = rl->rpeers; p != NULL; p = p->next) {
		g_ptr_array_free(p->calls, TRUE);
		g_ptr_array_free(p->answers, TRUE);
	}
	g_hash_table_destroy(rl->relayed);
	return 0;
}

/* Creates the relay. */
struct relay *
relay_new(TALLOC_CTX *ctx, const struct relay_conf *conf)
{
	struct relay *rl = talloc_zero(ctx, struct relay);
	struct wcon_conf wc;

	if (rl == NULL)
		abort();
	rl->conf = *conf;
	rl->relayed =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
	talloc_set_destructor(rl, relay_destroy);
	mtimer_init(&rl->answer_timer, mtimer_queue_new(rl, conf->ev),
	    on_batch_timer, rl);
	memset(&wc, 0, sizeof(wc));
	wc.ev = conf->ev;
	wc.clk = conf->clk;
	wc.ctr = conf->ctr;
	wc.connections_max = conf->connections_max;
	wc.on_sending = on_wcon_sending;
	wc.on_done = on_wcon_answer;
	wc.on_failed = on_wcon_failed;
	wc.arg = rl;
	rl->wcon = wcon_new(rl, &wc);
	return rl;
}
