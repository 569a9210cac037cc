#include "request/grant.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Silence, four heartbeats, after which an instance has no demand. */
#define GRANT_DEMAND_TIMEOUT_MS 2000
/* From the decision to send a request until the worker has it: the longest time
 * to connect, and its transit. */
#define GRANT_SEND_MAX_MS 1500
/* Position of the leader's term in the sequence number of an offer. */
#define GRANT_SEQ_TERM_SHIFT 32

/* The slots of one worker that one holder has been offered. */
struct grant_hold {
	uint64_t offer_seq;  /* of the newest offer */
	unsigned offered;    /* slots in the newest offer */
	unsigned max_usable; /* most slots the holder may still use */
	unsigned used;	     /* in the newest heartbeat */
	int64_t expiry_ns;   /* by the leader's clock; nothing is held after */
};

/* One incarnation of an instance, to which slots are granted. */
struct grant_holder {
	uint32_t instance;
	uint64_t incarnation;
	uint64_t heartbeat_seq;
	int64_t last_heard_ns;
	double demand; /* in slots; rises at once, falls slowly */
	bool draining;
	bool follows_leader;	 /* ignores grants of earlier leaders */
	struct grant_hold *hold; /* by index of the worker */
	size_t nhold;
};

struct grant_capacity {
	uint64_t epoch;
	unsigned slots, connections, overdue;
	/* may be held under grants of earlier leaders */
	unsigned earlier_slots;
	bool counted; /* earlier_slots are requests that the worker counted */
	bool draining;
	double rounding_offset; /* spreads remainders over holders */
};

struct grant {
	struct grant_conf conf;
	int64_t start_ns; /* when this leader took over */
	int64_t ttl_ns;	  /* validity of a grant, for the slowest clock */
	/* When no request can reach a worker under a grant of an earlier leader
	 * any more. */
	int64_t quiet_ns;
	uint64_t term, fence_term, max_earlier_epoch;
	uint64_t seq;			/* of the newest offer */
	struct grant_capacity *workers; /* epoch 0: unused element */
	size_t nworkers;
	size_t *by_epoch; /* indexes of the known workers, by epoch */
	size_t nactive;
	struct grant_holder **holders; /* sorted by instance, incarnation */
	size_t nholders;
};

/* Resizes an array to n elements of size bytes, or aborts without memory. */
static void *
grant_grow(void *ctx, void *p, size_t size, size_t n)
{
	p = _talloc_realloc_array(ctx, p, size, n, "grant");
	if (p == NULL)
		abort();
	return p;
}

/* Returns the ns that ms on any instance's clock last on the leader's clock. */
static int64_t
grant_slowest_ns(const struct grant *g, int64_t ms)
{
	int64_t ns = ms * CLK_NS_PER_MS;

	return ns + ns / 1000000 * g->conf.clock_ppm + CLK_NS_PER_MS;
}

/* Returns true if grants of earlier leaders may not have expired. */
static bool
grant_earlier_valid(const struct grant *g, int64_t now)
{
	return now < g->start_ns + g->ttl_ns;
}

/*
 * Creates the table of a leader that takes over at now. Nothing is free
 * until grant_set_term has named the term, or ttl_ms (plus the bound of the
 * clock rate) has passed.
 */
struct grant *
grant_new(TALLOC_CTX *ctx, const struct grant_conf *conf, struct timespec now)
{
	struct grant *g = talloc_zero(ctx, struct grant);

	if (g == NULL)
		abort();
	g->conf = *conf;
	g->start_ns = clk_ns(now);
	g->ttl_ns = grant_slowest_ns(g, conf->ttl_ms);
	/* Earlier leaders answered no heartbeat that was sent after now. */
	g->quiet_ns = INT64_MAX;
	if (conf->freshness_ms > 0)
		g->quiet_ns = g->start_ns +
		    grant_slowest_ns(g, conf->freshness_ms + GRANT_SEND_MAX_MS);
	g->max_earlier_epoch = UINT64_MAX;
	return g;
}

/*
 * Sets the leader's term, the term of the last leader that may have granted
 * again what was granted before its term, and the log index at which this term
 * began: workers with higher epochs were never granted by an earlier leader. It
 * is called once, before any worker is added. Without it the table is still
 * safe: it grants nothing of any worker until ttl_ms has passed.
 */
void
grant_set_term(struct grant *g, uint64_t term, uint64_t fence_term,
    uint64_t max_earlier_epoch)
{
	g->term = term;
	g->seq = term << GRANT_SEQ_TERM_SHIFT;
	g->fence_term = fence_term;
	g->max_earlier_epoch = max_earlier_epoch;
}

/*
 * Returns the position in by_epoch of the first worker whose epoch is not
 * lower.
 */
static size_t
grant_lower_bound(const struct grant *g, uint64_t epoch)
{
	size_t lo = 0, hi = g->nactive;

	while (lo < hi) {
		size_t mid = (lo + hi) / 2;

		if (g->workers[g->by_epoch[mid]].epoch < epoch)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

/* Returns the index of a worker, or nworkers if it is not known. */
static size_t
grant_worker_index(const struct grant *g, uint64_t epoch)
{
	size_t k = grant_lower_bound(g, epoch);

	if (k < g->nactive && g->workers[g->by_epoch[k]].epoch == epoch)
		return g->by_epoch[k];
	return g->nworkers;
}

/*
 * Takes an unused element of workers, or a new one, for an epoch. Returns its
 * index.
 */
static size_t
grant_insert_worker(struct grant *g, uint64_t epoch)
{
	size_t k = grant_lower_bound(g, epoch), i = 0;

	if (g->nactive < g->nworkers)
		while (g->workers[i].epoch != 0)
			i++;
	else
		i = g->nworkers++;
	g->workers =
	    grant_grow(g, g->workers, sizeof(*g->workers), g->nworkers);
	g->by_epoch =
	    grant_grow(g, g->by_epoch, sizeof(*g->by_epoch), g->nactive + 1);
	memmove(g->by_epoch + k + 1, g->by_epoch + k,
	    (g->nactive - k) * sizeof(*g->by_epoch));
	g->by_epoch[k] = i;
	g->nactive++;
	return i;
}

/*
 * Adds a worker or updates its figures. connections bounds the open
 * connections of all instances together; a worker with fewer connections than
 * slots is granted as if it had only as many slots as connections.
 */
void
grant_update_worker(struct grant *g, struct timespec now, uint64_t epoch,
    unsigned slots, unsigned connections, bool draining)
{
	size_t i = grant_worker_index(g, epoch);
	struct grant_capacity *w;

	if (connections < slots)
		slots = connections;
	if (i == g->nworkers) {
		i = grant_insert_worker(g, epoch);
		w = &g->workers[i];
		memset(w, 0, sizeof(*w));
		w->epoch = epoch;
		/* The golden ratio spreads successive epochs evenly. */
		w->rounding_offset =
		    fmod((double)epoch * 0.6180339887498949, 1.0);
		if (epoch <= g->max_earlier_epoch &&
		    grant_earlier_valid(g, clk_ns(now)))
			w->earlier_slots = slots;
	}
	w = &g->workers[i];
	w->slots = slots;
	w->connections = connections;
	w->draining = draining;
}

/* Removes a worker. Its epoch is fenced and never returns. */
void
grant_remove_worker(struct grant *g, uint64_t epoch)
{
	size_t i = grant_worker_index(g, epoch),
	       k = grant_lower_bound(g, epoch);

	if (i == g->nworkers)
		return;
	g->nactive--;
	memmove(g->by_epoch + k, g->by_epoch + k + 1,
	    (g->nactive - k) * sizeof(*g->by_epoch));
	memset(&g->workers[i], 0, sizeof(g->workers[i]));
	for (size_t h = 0; h < g->nholders; h++)
		if (i < g->holders[h]->nhold)
			memset(&g->holders[h]->hold[i], 0,
			    sizeof(struct grant_hold));
}

/* Sets the number of requests that run past their timeout on a worker. */
void
grant_set_overdue(struct grant *g, uint64_t epoch, unsigned n)
{
	size_t i = grant_worker_index(g, epoch);

	if (i < g->nworkers)
		g->workers[i].overdue = n;
}

/*
 * Returns true if slots of a worker may be held under grants of earlier
 * leaders, but no request can start under these any more. What holds them then
 * is only requests on the worker, which it counts in its polls. The caller has
 * the worker count after this call, and first makes sure that later leaders get
 * a fence_term that is not below this term.
 */
bool
grant_wants_count(const struct grant *g, struct timespec now, uint64_t epoch)
{
	size_t i = grant_worker_index(g, epoch);
	int64_t t = clk_ns(now);

	return i < g->nworkers && g->workers[i].earlier_slots > 0 &&
	    t >= g->quiet_ns && grant_earlier_valid(g, t);
}

/*
 * Sets the requests that a worker runs, as it counted them after
 * grant_wants_count had returned true. No more slots than that are in use under
 * grants of earlier leaders. The count includes requests under grants of this
 * leader, since the worker can't tell them apart.
 */
void
grant_set_running(struct grant *g, uint64_t epoch, unsigned n)
{
	size_t i = grant_worker_index(g, epoch);

	if (i == g->nworkers)
		return;
	g->workers[i].counted = true;
	if (n < g->workers[i].earlier_slots)
		g->workers[i].earlier_slots = n;
}

/*
 * Returns the slots of worker i that no instance can hold, that no instance
 * may hold under a grant of an earlier leader, and that no overdue request
 * occupies.
 */
static unsigned
grant_free_by_index(const struct grant *g, int64_t now, size_t i)
{
	const struct grant_capacity *w = &g->workers[i];
	unsigned unavailable = w->overdue;

	if (grant_earlier_valid(g, now))
		unavailable += w->earlier_slots;
	for (size_t h = 0; h < g->nholders; h++) {
		const struct grant_holder *p = g->holders[h];

		if (i < p->nhold && p->hold[i].expiry_ns > now)
			unavailable += p->hold[i].max_usable;
	}
	return unavailable < w->slots ? w->slots - unavailable : 0;
}

/* Returns the slots of a worker that no instance can hold at now. */
unsigned
grant_free_slots(const struct grant *g, struct timespec now, uint64_t epoch)
{
	size_t i = grant_worker_index(g, epoch);

	if (i == g->nworkers)
		return 0;
	return grant_free_by_index(g, clk_ns(now), i);
}

/*
 * Returns the holder for the instance and incarnation of a heartbeat, which is
 * added if it is new.
 */
static struct grant_holder *
grant_find_holder(struct grant *g, const Control__Beat *b)
{
	struct grant_holder *p;
	size_t at = 0;

	for (; at < g->nholders; at++) {
		p = g->holders[at];
		if (p->instance == b->instance &&
		    p->incarnation == b->incarnation)
			return p;
		if (p->instance > b->instance ||
		    (p->instance == b->instance &&
			p->incarnation > b->incarnation))
			break;
	}
	g->holders =
	    grant_grow(g, g->holders, sizeof(*g->holders), g->nholders + 1);
	memmove(g->holders + at + 1, g->holders + at,
	    (g->nholders - at) * sizeof(*g->holders));
	g->nholders++;
	p = talloc_zero(g, struct grant_holder);
	if (p == NULL)
		abort();
	p->instance = b->instance;
	p->incarnation = b->incarnation;
	g->holders[at] = p;
	return p;
}

/*
 * Removes the holders that have been silent for longer than a grant is valid.
 */
static void
grant_expire_holders(struct grant *g, int64_t now)
{
	size_t n = 0;

	for (size_t h = 0; h < g->nholders; h++) {
		if (g->holders[h]->last_heard_ns + g->ttl_ns <= now)
			talloc_free(g->holders[h]);
		else
			g->holders[n++] = g->holders[h];
	}
	g->nholders = n;
}

/* Returns true if a holder has missed several heartbeats. */
static bool
grant_is_silent(const struct grant_holder *p, int64_t now)
{
	return p->last_heard_ns + GRANT_DEMAND_TIMEOUT_MS * CLK_NS_PER_MS < now;
}

/*
 * Returns the weight of a holder in the division of slots: its demand plus the
 * reserve, so that an idle instance keeps some slots. It is 0 if the holder is
 * draining or silent.
 */
static double
grant_weight(const struct grant *g, const struct grant_holder *p, int64_t now)
{
	if (p->draining || grant_is_silent(p, now))
		return 0;
	return p->demand +
	    (g->conf.reserve_slots > 0 ? g->conf.reserve_slots : 1);
}

/*
 * Returns the slots of worker i that can be divided among the instances: those
 * that neither overdue requests nor silent holders have. Instances that follow
 * this leader have reported their earlier slots by quiet_ns.
 */
static unsigned
grant_divisible(const struct grant *g, int64_t now, size_t i)
{
	const struct grant_capacity *w = &g->workers[i];
	unsigned unavailable = w->overdue;

	if (w->draining)
		return 0;
	if (now >= g->quiet_ns && grant_earlier_valid(g, now))
		unavailable += w->earlier_slots;
	for (size_t h = 0; h < g->nholders; h++) {
		const struct grant_holder *p = g->holders[h];

		if (i < p->nhold && p->hold[i].expiry_ns > now &&
		    grant_is_silent(p, now))
			unavailable += p->hold[i].max_usable;
	}
	return unavailable < w->slots ? w->slots - unavailable : 0;
}

/*
 * Returns the slots of a worker that holder number h should have: its share of
 * the demand, of the n slots that can be divided. cum_share has the cumulated
 * shares. Rounding these makes the targets of all holders add up to n; the
 * offset makes remainders fall on different holders at different workers.
 */
static unsigned
grant_target(const struct grant_capacity *w, unsigned n,
    const double *cum_share, size_t h)
{
	return (unsigned)(floor(cum_share[h + 1] * n + w->rounding_offset) -
	    floor(cum_share[h] * n + w->rounding_offset));
}

/*
 * Returns true if a grant that a holder reports is still its own: no leader
 * since may have granted the same slots again. Grants of leaders of an earlier
 * version name no term.
 */
static bool
grant_is_honoured(const struct grant *g, const Control__SlotUse *s)
{
	uint64_t term =
	    s->has_grant_seq ? s->grant_seq >> GRANT_SEQ_TERM_SHIFT : 0;

	return term == 0 || term >= g->fence_term;
}

/*
 * Updates a holder from a heartbeat that is newer than all before: its demand
 * and what it holds of each worker.
 */
static void
grant_apply_report(struct grant *g, struct grant_holder *p, int64_t now,
    const Control__Beat *b)
{
	bool knows_term = g->term != 0 && b->has_term && b->term == g->term;
	bool first_report =
	    knows_term && !p->follows_leader && grant_earlier_valid(g, now);
	double demand = 0;

	for (size_t i = 0; i < b->n_demand; i++)
		demand += b->demand[i]->queued + (double)b->demand[i]->running;
	p->demand = demand > p->demand ? demand
				       : p->demand + (demand - p->demand) * 0.1;
	p->draining = b->has_draining && b->draining;
	p->follows_leader = p->follows_leader || knows_term;
	for (size_t i = 0; i < p->nhold; i++)
		p->hold[i].used = 0;
	for (size_t i = 0; i < b->n_slots; i++) {
		const Control__SlotUse *s = b->slots[i];
		size_t at = grant_worker_index(g, s->epoch);
		struct grant_capacity *w;
		struct grant_hold *d;

		if (at == g->nworkers)
			continue;
		w = &g->workers[at];
		d = &p->hold[at];
		if (first_report && w->earlier_slots > 0 && !w->counted &&
		    d->expiry_ns == 0 && grant_is_honoured(g, s)) {
			/* The holder now ignores grants of earlier leaders,
			 * so the slots it holds are known. */
			unsigned n = s->held < w->earlier_slots
			    ? s->held
			    : w->earlier_slots;

			w->earlier_slots -= n;
			d->max_usable = d->offered = n;
			d->offer_seq = ++g->seq;
			d->expiry_ns = now + g->ttl_ns;
		} else if (d->expiry_ns > now && s->has_grant_seq &&
		    s->grant_seq == d->offer_seq) {
			unsigned n =
			    s->held > d->offered ? s->held : d->offered;

			if (n < d->max_usable)
				d->max_usable = n;
		}
		d->used = s->used;
	}
}

/*
 * Returns true if unused slots of worker i should be taken back from holder
 * number self: another holder has less than its target of the n slots that can
 * be divided, or more slots are offered than the worker has.
 */
static bool
grant_should_reclaim(const struct grant *g, int64_t now, size_t i, unsigned n,
    const double *cum_share, size_t self)
{
	const struct grant_capacity *w = &g->workers[i];
	unsigned sum = w->overdue;

	for (size_t h = 0; h < g->nholders; h++) {
		const struct grant_holder *p = g->holders[h];
		unsigned offered = 0;

		if (i < p->nhold && p->hold[i].expiry_ns > now)
			offered = p->hold[i].offered;
		sum += offered;
		if (h != self && offered < grant_target(w, n, cum_share, h))
			return true;
	}
	return sum > w->slots;
}

/*
 * Updates the offer of worker i to holder number h. An offer grows towards the
 * target by free slots only. It shrinks towards the target, but not below the
 * slots in use, if the worker or the holder is draining or the slots are
 * needed elsewhere.
 */
static void
grant_update_offer(
    struct grant *g, int64_t now, size_t h, size_t i, const double *cum_share)
{
	struct grant_holder *p = g->holders[h];
	struct grant_capacity *w = &g->workers[i];
	struct grant_hold *d = &p->hold[i];
	unsigned n = grant_divisible(g, now, i);
	unsigned target = grant_target(w, n, cum_share, h), offer, unknown;

	if (d->expiry_ns <= now)
		d->offered = d->max_usable = 0;
	offer = d->offered;
	/* Requests under grants that are not honoured any more: with an offer
	 * the holder would report them as held. */
	unknown = d->used > d->max_usable ? d->used : 0;
	if (target > offer) {
		unsigned free = grant_free_by_index(g, now, i);

		free = free > unknown ? free - unknown : 0;
		/* Slots that the holder may still use under an earlier
		 * offer are not free, but may be offered to it again. */
		free += d->max_usable - offer;
		offer += target - offer < free ? target - offer : free;
	} else if (target < offer &&
	    (w->draining || p->draining ||
		grant_should_reclaim(g, now, i, n, cum_share, h))) {
		unsigned least = d->used < offer ? d->used : offer;

		offer = target > least ? target : least;
	}
	if (offer != d->offered) {
		d->offered = offer;
		d->offer_seq = ++g->seq;
		if (offer + unknown > d->max_usable)
			d->max_usable = offer + unknown;
	}
	if (d->max_usable > 0)
		d->expiry_ns = now + g->ttl_ns;
}

/*
 * Handles the heartbeat of an instance: updates what it holds and puts its
 * grants into the reply, with their lifetime counted from when the heartbeat
 * was sent. A heartbeat that is not newer than all before gets no grants.
 * Within ttl_ms of a change of leader, one that does not prove that it was
 * sent after the change gets grants only of workers that no earlier leader can
 * have granted. The caller sends the reply only if it has confirmed its
 * leadership after the heartbeat arrived.
 */
void
grant_handle_heartbeat(struct grant *g, struct timespec now,
    const Control__Beat *b, TALLOC_CTX *ctx, Control__BeatReply *r)
{
	int64_t t = clk_ns(now);
	struct grant_holder *p;
	double *cum_share, sum = 0;
	size_t self = 0;

	grant_expire_holders(g, t);
	r->has_grant_ttl_ms = 1;
	r->grant_ttl_ms = (uint64_t)g->conf.ttl_ms;
	r->n_grants = 0;
	p = grant_find_holder(g, b);
	if (b->seq <= p->heartbeat_seq)
		return;
	p->heartbeat_seq = b->seq;
	p->last_heard_ns = t;
	if (p->nhold < g->nworkers) {
		p->hold = grant_grow(p, p->hold, sizeof(*p->hold), g->nworkers);
		memset(p->hold + p->nhold, 0,
		    (g->nworkers - p->nhold) * sizeof(*p->hold));
		p->nhold = g->nworkers;
	}
	grant_apply_report(g, p, t, b);
	cum_share = grant_grow(ctx, NULL, sizeof(*cum_share), g->nholders + 1);
	cum_share[0] = 0;
	for (size_t h = 0; h < g->nholders; h++) {
		if (g->holders[h] == p)
			self = h;
		sum += grant_weight(g, g->holders[h], t);
		cum_share[h + 1] = sum;
	}
	for (size_t h = 1; sum > 0 && h <= g->nholders; h++)
		cum_share[h] /= sum;
	r->grants = grant_grow(ctx, NULL, sizeof(*r->grants), g->nworkers + 1);
	for (size_t i = 0; i < g->nworkers; i++) {
		struct grant_capacity *w = &g->workers[i];
		struct grant_hold *d = &p->hold[i];
		Control__Grant *gr;

		if (w->epoch == 0 ||
		    (!p->follows_leader && w->epoch <= g->max_earlier_epoch &&
			t < g->start_ns + g->ttl_ns))
			continue;
		grant_update_offer(g, t, self, i, cum_share);
		if (d->max_usable == 0)
			continue;
		gr = talloc(ctx, Control__Grant);
		if (gr == NULL)
			abort();
		control__grant__init(gr);
		gr->epoch = w->epoch;
		gr->slots = d->offered;
		gr->seq = d->offer_seq;
		gr->has_connections = 1;
		if (w->slots > 0)
			gr->connections =
			    d->offered * (w->connections / w->slots);
		r->grants[r->n_grants++] = gr;
	}
	talloc_free(cum_share);
}
