#include "node/memacct.h"

#include <glib.h>
#include <stdlib.h>

#define MB ((size_t)1024 * 1024)

/* A peer address with open connections. */
struct memacct_addr {
	int64_t key;
	size_t bytes;
	size_t nconns;
};

struct memacct {
	struct memacct_limits limits;
	size_t used[MEMACCT_USES];
	size_t total, peak;
	GHashTable *addrs; /* struct memacct_addr by its key */
};

/*
 * Parts in 32nds: of what an entry instance has for connections, and of the
 * whole memory of a replica, where those of other instances come on top of the
 * quarter for HTTP. Queued calls have a part of their own: a configuration
 * takes all that complete requests may hold at a small replica, which then has
 * to queue the same configuration as a call.
 */
static const size_t parts[][MEMACCT_USES] = {
	[MEMACCT_ENTRY] = { 20, 6, 1, 1, 1, 0, 1, 2 },
	[MEMACCT_REPLICA] = { 5, 2, 0, 1, 1, 4, 1, 2 },
};
#define PARTS_TOTAL 32

/*
 * Divides the memory of a process. What a replica's state takes grows with the
 * number of workers and jobs, so its connections get a fixed part of the
 * whole; an entry instance has no state, and they get the rest.
 */
struct memacct_limits
memacct_split(enum memacct_kind kind, int64_t memory_mb)
{
	struct memacct_limits l;
	int64_t mb = memory_mb <= 0 ? MEMACCT_DEFAULT_MB : memory_mb;
	size_t i;

	if (kind == MEMACCT_ENTRY)
		mb -= mb / MEMACCT_SLACK_DIVISOR + MEMACCT_ENTRY_BASE_MB;
	if (mb < 1)
		mb = 1;
	for (i = 0; i < MEMACCT_USES; i++)
		l.max[i] = (size_t)mb * MB / PARTS_TOTAL * parts[kind][i];
	if (kind == MEMACCT_ENTRY)
		l.max[MEMACCT_SEND] += MEMACCT_ENTRY_SEND_MB * MB;
	return l;
}

/* Releases the table of addresses. */
static int
memacct_destroy(struct memacct *m)
{
	g_hash_table_destroy(m->addrs);
	return 0;
}

/* Creates an account in which nothing is reserved. */
struct memacct *
memacct_new(TALLOC_CTX *ctx, const struct memacct_limits *limits)
{
	struct memacct *m = talloc_zero(ctx, struct memacct);

	if (m == NULL)
		abort();
	m->limits = *limits;
	m->addrs =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	talloc_set_destructor(m, memacct_destroy);
	return m;
}

/* Tells whether a use has room for n more bytes. */
bool
memacct_fits(const struct memacct *m, enum memacct_use use, size_t n)
{
	return m->used[use] <= m->limits.max[use] &&
	    n <= m->limits.max[use] - m->used[use];
}

/* Adds to the level of a use and of the whole. */
static void
add_level(struct memacct *m, enum memacct_use use, size_t n)
{
	m->used[use] += n;
	m->total += n;
	if (m->total > m->peak)
		m->peak = m->total;
}

/* Takes from the level of a use and of the whole. */
static void
subtract_level(struct memacct *m, enum memacct_use use, size_t n)
{
	if (n > m->used[use])
		abort();
	m->used[use] -= n;
	m->total -= n;
}

/* Returns the entry of an address, which is created if need be. */
static struct memacct_addr *
get_addr(struct memacct *m, uint64_t key)
{
	int64_t k = (int64_t)key;
	struct memacct_addr *a = g_hash_table_lookup(m->addrs, &k);

	if (a != NULL)
		return a;
	a = g_new0(struct memacct_addr, 1);
	a->key = k;
	g_hash_table_insert(m->addrs, &a->key, a);
	return a;
}

/* Reserves n bytes for a new connection of a peer address. */
bool
memacct_open(struct memacct *m, struct memacct_conn *c, enum memacct_use use,
    uint64_t addr, size_t n)
{
	c->addr = NULL;
	c->use = use;
	c->bytes = c->work = 0;
	if (!memacct_fits(m, use, n))
		return false;
	memacct_open_any(m, c, use, addr, n);
	return true;
}

/* Reserves n bytes for a new connection, also over the limit. */
void
memacct_open_any(struct memacct *m, struct memacct_conn *c,
    enum memacct_use use, uint64_t addr, size_t n)
{
	c->use = use;
	c->bytes = c->work = 0;
	c->addr = get_addr(m, addr);
	c->addr->nconns++;
	memacct_hold(m, c, n);
}

/* Reserves n further bytes for a connection, also over the limit. */
void
memacct_hold(struct memacct *m, struct memacct_conn *c, size_t n)
{
	c->bytes += n;
	c->addr->bytes += n;
	add_level(m, c->use, n);
}

/* Reserves n further bytes for a connection. */
bool
memacct_grow(struct memacct *m, struct memacct_conn *c, size_t n)
{
	if (!memacct_fits(m, c->use, n))
		return false;
	memacct_hold(m, c, n);
	return true;
}

/* Tells whether n bytes are admitted: if they fit, or while little is in use.
 * One request may need more than the whole part, as a configuration does on a
 * small replica. */
static bool
admits(const struct memacct *m, enum memacct_use use, size_t n)
{
	return m->used[use] <= m->limits.max[use] / MEMACCT_LITTLE_DIVISOR ||
	    memacct_fits(m, use, n);
}

/* Reserves n further bytes for a connection, of any size while little is in
 * use. */
bool
memacct_grow_any(struct memacct *m, struct memacct_conn *c, size_t n)
{
	if (!admits(m, c->use, n))
		return false;
	memacct_hold(m, c, n);
	return true;
}

/* Gives n bytes of a connection back. */
void
memacct_shrink(struct memacct *m, struct memacct_conn *c, size_t n)
{
	if (n > c->bytes)
		abort();
	c->bytes -= n;
	c->addr->bytes -= n;
	subtract_level(m, c->use, n);
}

/* Returns the use in which the handling of a request counts. Readiness and
 * metrics have their own, so that clients' requests can't take it. */
static enum memacct_use
work_use(const struct memacct_conn *c)
{
	return c->use == MEMACCT_REQUESTS ? MEMACCT_WORK : c->use;
}

/* Adds n bytes to what the handling of a request holds. */
static void
add_work(struct memacct *m, struct memacct_conn *c, size_t n)
{
	c->work += n;
	c->addr->bytes += n;
	add_level(m, work_use(c), n);
}

/* Reserves n bytes for the handling of a request, of any size while the others,
 * such as heartbeats, hold little. */
bool
memacct_begin_work(struct memacct *m, struct memacct_conn *c, size_t n)
{
	if (c->addr == NULL || !admits(m, work_use(c), n))
		return false;
	add_work(m, c, n);
	return true;
}

/* Reserves n bytes for an answer that has to be given, also over the limit. */
void
memacct_hold_answer(struct memacct *m, struct memacct_conn *c, size_t n)
{
	if (c->addr != NULL)
		add_work(m, c, n);
}

/* Gives back what the handling of a request holds. */
void
memacct_end_work(struct memacct *m, struct memacct_conn *c)
{
	if (c->addr == NULL)
		return;
	c->addr->bytes -= c->work;
	subtract_level(m, work_use(c), c->work);
	c->work = 0;
}

/* Gives back all that a connection holds; one that isn't open holds nothing. */
void
memacct_close(struct memacct *m, struct memacct_conn *c)
{
	if (c->addr == NULL)
		return;
	memacct_end_work(m, c);
	memacct_shrink(m, c, c->bytes);
	if (--c->addr->nconns == 0)
		g_hash_table_remove(m->addrs, &c->addr->key);
	c->addr = NULL;
}

/*
 * Returns how many bytes to free for n more: down to MEMACCT_LOW_EIGHTHS, once
 * MEMACCT_HIGH_EIGHTHS would be exceeded. The distance between the two lets one
 * decision free many connections, as each looks at all of them.
 */
size_t
memacct_excess(const struct memacct *m, enum memacct_use use, size_t n)
{
	size_t eighth = m->limits.max[use] / 8, need = m->used[use] + n;

	if (need <= eighth * MEMACCT_HIGH_EIGHTHS)
		return 0;
	return need - eighth * MEMACCT_LOW_EIGHTHS;
}

/* Returns the bytes held by all connections of the same address. */
size_t
memacct_addr_bytes(const struct memacct_conn *c)
{
	return c->addr == NULL ? 0 : c->addr->bytes;
}

/* Returns the bytes reserved for a use. */
size_t
memacct_used(const struct memacct *m, enum memacct_use use)
{
	return m->used[use];
}

/* Returns the limit of a use in bytes. */
size_t
memacct_max(const struct memacct *m, enum memacct_use use)
{
	return m->limits.max[use];
}

/* Returns the bytes reserved for all uses. */
size_t
memacct_total(const struct memacct *m)
{
	return m->total;
}

/* Returns the most bytes that were reserved at once. */
size_t
memacct_peak(const struct memacct *m)
{
	return m->peak;
}
