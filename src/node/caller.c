#include "node/caller.h"

#include <stdlib.h>
#include <string.h>

#include "base/clk.h"
#include "base/log.h"

/* A call that has not ended. */
struct caller_call {
	struct caller_call *prev, *next;
	uint64_t id;
	Job__Call *call;
	struct timespec deadline, resend_at;
	bool is_sent;	 /* at least once */
	bool needs_send; /* at the next tick */
	void (*done)(void *arg, enum caller_end, const Job__Answer *);
	void *arg;
};

/* A replica that is asked who leads, and the difference to its clock. */
struct member {
	uint32_t instance;
	uint64_t ping_seq; /* sequence number of the newest ping */
	struct timespec pinged_at;
	uint64_t seen; /* rises with each sign that it is a member */
	bool clock_known;
	int64_t clock_ahead_ms;
};

struct caller {
	uint32_t self;
	struct caller_ops ops;
	struct member members[CALLER_MEMBERS_MAX];
	size_t nmembers;
	uint64_t next_seen;
	uint32_t leader;
	bool leader_configured;
	struct timespec leader_heard_at, next_ping_at;
	/* a ping to the leader has had no answer since then */
	struct timespec ping_unanswered_since;
	bool is_ping_unanswered;
	uint64_t ping_seq, next_id;
	const char *domain; /* of this instance, or NULL */
	bool calls_workers, calls_advice;
	uint32_t memory_mb; /* of this replica; 0: an entry instance */
	struct caller_call *calls,
	    *calls_last; /* in the order of their start */
	size_t ncalls;
};

/* Returns the replica with this instance number, or NULL. */
static struct member *
find_member(struct caller *c, uint32_t instance)
{
	size_t i;

	for (i = 0; i < c->nmembers; i++) {
		if (c->members[i].instance == instance)
			return &c->members[i];
	}
	return NULL;
}

/* Returns the entry for a further replica: a new one, or that of the replica
 * with the oldest sign of being a member. */
static struct member *
get_free_member(struct caller *c)
{
	struct member *oldest = NULL;
	size_t i;

	if (c->nmembers < CALLER_MEMBERS_MAX)
		return &c->members[c->nmembers++];
	for (i = 0; i < c->nmembers; i++) {
		struct member *m = &c->members[i];

		if (m->instance != c->leader &&
		    (oldest == NULL || m->seen < oldest->seen))
			oldest = m;
	}
	return oldest;
}

/* Adds a replica to ask, unless it is known or is this instance. */
static void
add_member(struct caller *c, uint32_t instance)
{
	struct member *m;

	if (instance == 0 || instance == c->self ||
	    find_member(c, instance) != NULL)
		return;
	m = get_free_member(c);
	memset(m, 0, sizeof(*m));
	m->instance = instance;
	m->seen = ++c->next_seen;
}

/* Records a sign that a replica is a member. */
static void
note_seen(struct caller *c, uint32_t instance)
{
	struct member *m = find_member(c, instance);

	if (m != NULL)
		m->seen = ++c->next_seen;
}

/* Adds replicas to ask who leads. */
void
caller_add_members(struct caller *c, const uint32_t *v, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		add_member(c, v[i]);
}

/* Removes a call from the list and releases it. */
static void
free_call(struct caller *c, struct caller_call *k)
{
	if (k->prev != NULL)
		k->prev->next = k->next;
	else
		c->calls = k->next;
	if (k->next != NULL)
		k->next->prev = k->prev;
	else
		c->calls_last = k->prev;
	c->ncalls--;
	job__call__free_unpacked(k->call, NULL);
	free(k);
}

/* Releases the pending calls without their callbacks. */
static int
caller_destroy(struct caller *c)
{
	struct caller_call *k, *next;

	for (k = c->calls; k != NULL; k = next) {
		next = k->next;
		free_call(c, k);
	}
	return 0;
}

/* Creates a caller that does not know the leader yet. */
struct caller *
caller_new(TALLOC_CTX *ctx, uint32_t self, uint64_t first_id,
    const struct caller_ops *ops, struct timespec now)
{
	struct caller *c = talloc_zero(ctx, struct caller);

	if (c == NULL)
		abort();
	talloc_set_destructor(c, caller_destroy);
	c->self = self;
	c->ops = *ops;
	c->leader_heard_at = c->next_ping_at = now;
	c->next_id = first_id;
	return c;
}

/* Sets what pings say about this instance: its failure domain, and whether it
 * makes calls to workers for the leader. */
void
caller_set_identity(struct caller *c, const char *domain, bool calls_workers)
{
	c->domain = talloc_strdup(c, domain);
	if (c->domain == NULL)
		abort();
	c->calls_workers = calls_workers;
}

/* Makes pings say how much memory this replica has, in MB. */
void
caller_set_memory(struct caller *c, uint32_t memory_mb)
{
	c->memory_mb = memory_mb;
}

/* Makes pings say that this instance makes calls for advice. */
void
caller_offer_advice(struct caller *c)
{
	c->calls_advice = true;
}

/* Ends a call without its callback. */
void
caller_abort(struct caller *c, struct caller_call *k)
{
	free_call(c, k);
}

/* Releases a call and then calls its callback. */
static void
end_call(struct caller *c, struct caller_call *k, enum caller_end end,
    const Job__Answer *a)
{
	void (*done)(void *, enum caller_end, const Job__Answer *) = k->done;
	void *arg = k->arg;

	free_call(c, k);
	done(arg, end, a);
}

/* Tells whether the leader owes an answer to a ping for so long that it may
 * have been lost. */
static bool
is_leader_suspected(const struct caller *c, struct timespec now)
{
	return c->is_ping_unanswered &&
	    clk_diff_ms(now, c->ping_unanswered_since) >= CALLER_PING_ANSWER_MS;
}

/* Sends a call to the leader, if one is known. A call that was never sent isn't
 * sent to one that may have been lost. The time at which an order was received
 * is given on the leader's clock; until that is known, the order waits, as the
 * leader could not tell a late copy. */
static void
send_call(struct caller *c, struct timespec now, struct caller_call *k)
{
	Job__Msg m = JOB__MSG__INIT;
	Job__Evacuation *order = k->call->evacuation;
	int64_t ahead_ms = 0;

	if (c->leader == 0 || (!k->is_sent && is_leader_suspected(c, now)))
		return;
	k->needs_send = order != NULL && c->leader != c->self &&
	    !caller_clock_ahead(c, c->leader, &ahead_ms);
	if (k->needs_send)
		return;
	m.call = k->call;
	k->is_sent = true;
	k->resend_at = clk_add_ms(now, CALLER_RESEND_MS);
	if (order != NULL)
		order->received_ms -= ahead_ms;
	c->ops.send(c->ops.arg, c->leader, &m);
	if (order != NULL)
		order->received_ms += ahead_ms;
}

/* Records a sign of life of the leader. Calls that were held back are sent
 * before any that starts later: a cancel must not overtake its submission. */
static void
note_leader_heard(struct caller *c, struct timespec now)
{
	bool was_suspected = is_leader_suspected(c, now);
	struct caller_call *k;

	c->leader_heard_at = now;
	c->is_ping_unanswered = false;
	for (k = was_suspected ? c->calls : NULL; k != NULL; k = k->next) {
		if (!k->is_sent)
			send_call(c, now, k);
	}
}

/* Starts a call. It is sent at once, or as soon as a leader is known. */
struct caller_call *
caller_start(struct caller *c, struct timespec now, const Job__Call *call,
    int64_t timeout_ms,
    void (*done)(void *arg, enum caller_end, const Job__Answer *), void *arg)
{
	struct caller_call *k = calloc(1, sizeof(*k));
	size_t len = job__call__get_packed_size(call);
	uint8_t *buf = malloc(len + 1);

	if (k == NULL || buf == NULL)
		abort();
	job__call__pack(call, buf);
	k->call = job__call__unpack(NULL, len, buf);
	free(buf);
	if (k->call == NULL)
		abort();
	k->id = k->call->id = c->next_id++;
	k->deadline = clk_add_ms(now,
	    timeout_ms < CALLER_TIMEOUT_MAX_MS ? timeout_ms
					       : CALLER_TIMEOUT_MAX_MS);
	k->resend_at = now;
	k->needs_send = true;
	k->done = done;
	k->arg = arg;
	k->prev = c->calls_last;
	if (k->prev != NULL)
		k->prev->next = k;
	else
		c->calls = k;
	c->calls_last = k;
	c->ncalls++;
	send_call(c, now, k);
	return k;
}

/* Records a change of leader, 0 for none, and sends all pending calls to the
 * new one in the order in which they were started. */
static void
set_leader(struct caller *c, struct timespec now, uint32_t leader)
{
	struct caller_call *k;

	if (leader == c->leader)
		return;
	log_event(LOG_NOTICE, "caller",
	    "event=%s leader=%u previous=%u calls=%zu",
	    leader == 0 ? "leader_lost" : "leader_found", leader, c->leader,
	    c->ncalls);
	c->leader = leader;
	c->next_ping_at = now;
	if (leader == 0)
		return;
	add_member(c, leader);
	c->is_ping_unanswered = false; /* it was for the previous leader */
	note_leader_heard(c, now);
	for (k = c->calls; k != NULL; k = k->next)
		send_call(c, now, k);
}

/* Handles an answer from an instance. Answers to unknown calls are dropped:
 * they have ended, or an earlier incarnation made them. */
void
caller_on_answer(
    struct caller *c, struct timespec now, uint32_t from, const Job__Answer *a)
{
	struct caller_call *k;

	for (k = c->calls; k != NULL && k->id != a->id; k = k->next)
		;
	if (a->outcome == JOB__OUTCOME__NOT_LEADER) {
		if (from == c->leader)
			set_leader(c, now, a->leader == from ? 0 : a->leader);
		if (k != NULL)
			k->needs_send = true;
		return;
	}
	if (from == c->leader)
		note_leader_heard(c, now);
	if (k != NULL)
		end_call(c, k, CALLER_ANSWERED, a);
}

/* Updates the clock difference to a replica from the answer to the newest ping,
 * if it came in time. */
static void
update_clock(
    struct caller *c, struct timespec now, uint32_t from, const Job__Pong *p)
{
	struct member *m = find_member(c, from);

	if (m == NULL || !p->has_at_ms || p->at_ms < 0 ||
	    p->at_ms > CALLER_CLOCK_MAX_MS || p->seq != m->ping_seq ||
	    clk_diff_ms(now, m->pinged_at) > CALLER_CLOCK_MAX_RTT_MS)
		return;
	m->clock_known = true;
	m->clock_ahead_ms = clk_ns(now) / CLK_NS_PER_MS - p->at_ms;
}

/* Gives how far this clock is ahead of that of an instance, in ms. Returns
 * false if that isn't known. */
bool
caller_clock_ahead(const struct caller *c, uint32_t instance, int64_t *ahead_ms)
{
	size_t i;

	for (i = 0; i < c->nmembers; i++) {
		if (c->members[i].instance != instance ||
		    !c->members[i].clock_known)
			continue;
		*ahead_ms = c->members[i].clock_ahead_ms;
		return true;
	}
	return false;
}

/* Handles the answer to a ping: who leads, and which replicas there are. */
void
caller_on_pong(
    struct caller *c, struct timespec now, uint32_t from, const Job__Pong *p)
{
	size_t n = p->n_members < CALLER_MEMBERS_MAX ? p->n_members
						     : CALLER_MEMBERS_MAX;
	size_t i;

	update_clock(c, now, from, p);
	note_seen(c, from);
	/* The list of a replica that doesn't lead may be out of date. */
	for (i = 0; p->leading && i < n; i++)
		note_seen(c, p->members[i]);
	caller_add_members(c, p->members, n);
	if (p->leading) {
		if (from != c->leader)
			set_leader(c, now, from);
		note_leader_heard(c, now);
		c->leader_configured = p->configured;
	} else if (c->leader == from) {
		set_leader(c, now, 0);
	} else if (c->leader == 0 && p->leader != 0 && p->leader != c->self) {
		/* Only a hint, which may be out of date: the named replica is
		 * asked, and is the leader once it says so itself. */
		add_member(c, p->leader);
	}
}

/* Handles the failure of the connection to an instance. */
void
caller_on_disconnect(struct caller *c, struct timespec now, uint32_t instance)
{
	struct member *m = find_member(c, instance);

	/* Its next incarnation may run on another clock; answers of this one
	 * may still arrive. */
	if (m != NULL) {
		m->clock_known = false;
		m->ping_seq = 0;
	}
	if (instance == c->leader)
		set_leader(c, now, 0);
}

/* Handles that the machine was suspended: orders that wait are older than the
 * monotonic clock shows. */
void
caller_on_suspension(struct caller *c, int64_t ms)
{
	struct caller_call *k;

	for (k = c->calls; k != NULL; k = k->next) {
		if (k->call->evacuation != NULL)
			k->call->evacuation->received_ms -= ms;
	}
}

/* Asks a replica who leads. */
static void
send_ping(struct caller *c, struct timespec now, struct member *to)
{
	Job__Msg m = JOB__MSG__INIT;
	Job__Ping p = JOB__PING__INIT;

	if (to->instance == c->leader && !c->is_ping_unanswered) {
		c->is_ping_unanswered = true;
		c->ping_unanswered_since = now;
	}
	to->pinged_at = now;
	to->ping_seq = p.seq = ++c->ping_seq;
	p.domain = (char *)(uintptr_t)c->domain;
	p.has_calls_workers = c->calls_workers;
	p.calls_workers = c->calls_workers;
	p.has_calls_advice = p.calls_advice = c->calls_advice;
	p.has_memory_mb = c->memory_mb > 0;
	p.memory_mb = c->memory_mb;
	m.ping = &p;
	c->ops.send(c->ops.arg, to->instance, &m);
}

/*
 * Asks replicas who leads, sends unanswered calls again, and ends those whose
 * deadline has passed. A call that has never been sent ends early if no leader
 * was found in time.
 */
void
caller_tick(struct caller *c, struct timespec now)
{
	struct caller_call *k, *next;
	size_t i;

	if (c->leader != 0 &&
	    clk_diff_ms(now, c->leader_heard_at) > CALLER_LEADER_LOST_MS)
		set_leader(c, now, 0);
	if (!clk_before(now, c->next_ping_at)) {
		c->next_ping_at = clk_add_ms(
		    now, c->leader != 0 ? CALLER_PING_MS : CALLER_SEARCH_MS);
		for (i = 0; i < c->nmembers; i++) {
			struct member *m = &c->members[i];

			if (c->leader == 0 || c->leader == m->instance)
				send_ping(c, now, m);
		}
	}
	for (k = c->calls; k != NULL; k = next) {
		next = k->next;
		if (!clk_before(now, k->deadline))
			end_call(c, k,
			    k->is_sent ? CALLER_UNKNOWN : CALLER_NOT_SENT,
			    NULL);
		else if (!k->is_sent && c->leader == 0 &&
		    clk_diff_ms(now, c->leader_heard_at) >
			CALLER_ELECTION_WAIT_MS)
			end_call(c, k, CALLER_NOT_SENT, NULL);
		else if (k->needs_send || !clk_before(now, k->resend_at))
			send_call(c, now, k);
	}
}

/* Returns the instance that leads, 0 if unknown. */
uint32_t
caller_leader(const struct caller *c)
{
	return c->leader;
}

/* Tells whether calls can be served: the leader has answered lately and has a
 * configuration. */
bool
caller_is_ready(const struct caller *c, struct timespec now)
{
	return c->leader != 0 && c->leader_configured &&
	    clk_diff_ms(now, c->leader_heard_at) <= CALLER_LEADER_LOST_MS;
}

/* Returns the number of calls that have not ended. */
size_t
caller_count_pending(const struct caller *c)
{
	return c->ncalls;
}
