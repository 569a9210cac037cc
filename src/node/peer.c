#include "node/peer_impl.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"
#include "node/sock.h"

#define DROP_LOG_MS 1000 /* between two log lines on dropped messages */

/* Returns the destination for an instance, NULL if it is not known. */
struct peer_link *
peer_find_link(struct peer *p, uint32_t instance)
{
	size_t i;

	for (i = 0; i < p->nlinks; i++) {
		if (p->links[i]->node.instance == instance)
			return p->links[i];
	}
	return NULL;
}

/*
 * Sets the time of the next connection attempt: 0.5 to 1.5 times the backoff,
 * which then doubles up to PEER_BACKOFF_MAX_MS.
 */
static void
link_schedule_retry(struct peer_link *l)
{
	struct peer *p = l->peer;
	int64_t wait = l->backoff_ms / 2 +
	    (int64_t)rng_below(&p->rng, (uint64_t)l->backoff_ms);

	l->retry_at = clk_add_ms(clk_now(&p->clk), wait);
	l->backoff_ms *= 2;
	if (l->backoff_ms > PEER_BACKOFF_MAX_MS)
		l->backoff_ms = PEER_BACKOFF_MAX_MS;
}

/* Handles that the connection of a link is closed: what waited for it is lost,
 * as the protocols that use it repeat a message or answer it with a timeout. */
void
peer_link_on_close(struct peer_link *l)
{
	struct peer *p = l->peer;

	l->conn = NULL;
	sendq_clear(&l->waiting);
	link_schedule_retry(l);
	if (!p->is_closing)
		p->conf.on_disconnect(p->conf.arg, l->node.instance);
}

/* Starts to connect to an instance and queues the HELLO. */
static void
link_connect(struct peer_link *l)
{
	struct err e;
	int fd;

	err_clear(&e);
	fd = sock_connect(l->node.addr, &e);
	if (fd < 0) {
		log_event(LOG_DEBUG, "peer",
		    "event=connect_failed instance=%u "
		    "error=\"%s\"",
		    l->node.instance, e.msg);
		link_schedule_retry(l);
		return;
	}
	l->conn = peer_conn_new(l->peer, l, fd, false, l->node.instance, true);
	peer_conn_send_hello(l->conn);
}

/* Closes the oldest accepted connection that has not sent a HELLO; false if
 * there is none. Without this, anyone who opens connections could keep the
 * instances of the group out until the connections are closed as silent. */
static bool
close_oldest_unidentified(struct peer *p)
{
	struct peer_conn *c, *oldest = NULL;

	/* New connections are added in front. */
	for (c = p->accepted_conns; c != NULL; c = c->next) {
		if (!c->has_hello)
			oldest = c;
	}
	if (oldest == NULL)
		return false;
	ctr_add(p->conf.ctr, NCTR_PEERS_SHED, 1);
	peer_conn_close(oldest, "shed");
	return true;
}

/* Creates an accepted connection. Where there is no memory for its buffer, one
 * that isn't identified makes room. If all are, the new one is accepted over
 * the limit: their number is limited, and connections of instances that are
 * refused are made again at once. */
static struct peer_conn *
conn_accept(struct peer *p, int fd, uint64_t addr)
{
	struct peer_conn *c = peer_conn_new(p, NULL, fd, true, addr, false);

	if (c != NULL)
		return c;
	close_oldest_unidentified(p);
	return peer_conn_new(p, NULL, fd, true, addr, true);
}

/* Accepts a connection, or closes it at once above the limit. */
static void
on_accept(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct peer *p = arg;
	struct sockaddr_in from = { 0 };
	socklen_t len = sizeof(from);
	struct peer_conn *c;
	int fd;

	fd = accept4(p->conf.listen_fd, (struct sockaddr *)&from, &len,
	    SOCK_NONBLOCK | SOCK_CLOEXEC);
	if (fd < 0)
		return;
	if (p->naccepted >= (p->conf.max_accepted != 0 ? p->conf.max_accepted
						       : PEER_ACCEPTED_MAX) &&
	    !close_oldest_unidentified(p)) {
		ctr_add(p->conf.ctr, NCTR_PEER_QUEUE_FULL, 1);
		close(fd);
		return;
	}
	sock_set_nodelay(fd);
	c = conn_accept(p, fd, ntohl(from.sin_addr.s_addr));
	c->next = p->accepted_conns;
	if (c->next != NULL)
		c->next->prev = c;
	p->accepted_conns = c;
	p->naccepted++;
	ctr_add(p->conf.ctr, NCTR_PEER_ACCEPTED, 1);
}

/* Checks all connections and retries those that have failed. */
static void
on_tick(void *arg)
{
	struct peer *p = arg;
	struct timespec now = clk_now(&p->clk);
	int64_t late_ms = clk_diff_ms(now, p->ticked_at) - PEER_BACKOFF_MIN_MS;
	struct peer_conn *c, *next;
	size_t i;

	if (late_ms < PEER_TICK_LATE_MS)
		late_ms = 0;
	p->ticked_at = now;
	mtimer_set_ms(&p->timer, PEER_BACKOFF_MIN_MS);
	for (c = p->accepted_conns; c != NULL; c = next) {
		next = c->next;
		peer_conn_tick(c, now, late_ms);
	}
	for (i = 0; i < p->nlinks; i++) {
		if (p->links[i]->conn != NULL)
			peer_conn_tick(p->links[i]->conn, now, late_ms);
		else if (!clk_before(now, p->links[i]->retry_at))
			link_connect(p->links[i]);
	}
}

/* Counts a message that isn't queued, and logs it at most once per DROP_LOG_MS.
 */
static void
note_dropped(struct peer *p, uint32_t instance, size_t queued, size_t len)
{
	struct timespec now = clk_now(&p->clk);

	ctr_add(p->conf.ctr, NCTR_PEER_QUEUE_FULL, 1);
	p->dropped++;
	if (clk_before(now, p->next_drop_log))
		return;
	log_event(LOG_WARNING, "peer",
	    "event=message_dropped instance=%u bytes=%zu queued=%zu "
	    "reserved=%zu dropped=%" PRIu64,
	    instance, len, queued,
	    p->conf.account == NULL
		? 0
		: memacct_used(p->conf.account, MEMACCT_SEND),
	    p->dropped);
	p->next_drop_log = clk_add_ms(now, DROP_LOG_MS);
	p->dropped = 0;
}

/*
 * Queues a message for an instance. It waits until the connection is made and
 * the other side has sent its HELLO, and is lost if the connection fails.
 */
enum status
peer_send(struct peer *p, uint32_t instance, const Control__PeerMsg *m)
{
	struct peer_link *l = peer_find_link(p, instance);
	struct sendq_frame *f;
	size_t len, queued;

	if (l == NULL)
		return STATUS_NOT_FOUND;
	len = control__peer_msg__get_packed_size(m);
	if (len > FRAME_PAYLOAD_MAX_BYTES) {
		ctr_add(p->conf.ctr, NCTR_PEER_TOO_LARGE, 1);
		return STATUS_LIMIT;
	}
	queued = l->waiting.bytes + (l->conn == NULL ? 0 : l->conn->out.bytes);
	if (!sendq_admits(p->conf.account, queued, len, m->raft != NULL)) {
		note_dropped(p, instance, queued, len);
		return STATUS_FULL;
	}
	f = sendq_frame_new(len);
	control__peer_msg__pack(m, sendq_frame_payload(f));
	if (l->conn != NULL && l->conn->has_hello) {
		sendq_push(&l->conn->out, FRAME_MSG, f);
		/* Written from the event loop: a failed write would be
		 * reported to a caller that still runs its actions. */
		peer_conn_update_events(l->conn);
		return STATUS_OK;
	}
	sendq_push(&l->waiting, FRAME_MSG, f);
	return STATUS_OK;
}

/*
 * Writes queued messages as far as the sockets accept them, without
 * waiting for the event loop. A connection that fails is closed, which is
 * reported to the owner from within this call.
 */
void
peer_flush(struct peer *p)
{
	size_t i;

	for (i = 0; i < p->nlinks; i++) {
		struct peer_conn *c = p->links[i]->conn;

		if (c != NULL && c->connected && c->out.head != NULL)
			peer_conn_flush(c);
	}
}

/* Closes all connections and the listening socket. */
static int
peer_destroy(struct peer *p)
{
	size_t i;

	p->is_closing = true;
	while (p->accepted_conns != NULL)
		peer_conn_close(p->accepted_conns, "stop");
	for (i = 0; i < p->nlinks; i++) {
		if (p->links[i]->conn != NULL)
			peer_conn_close(p->links[i]->conn, "stop");
		sendq_destroy(&p->links[i]->waiting);
	}
	TALLOC_FREE(p->listen_fde);
	close(p->conf.listen_fd);
	return 0;
}

/*
 * Adds an instance as a destination; one that is already known stays as it is.
 */
void
peer_add(struct peer *p, const struct node_peer *node)
{
	struct peer_link *l;

	if (node->instance == p->conf.instance ||
	    peer_find_link(p, node->instance) != NULL)
		return;
	l = talloc_zero(p, struct peer_link);
	p->links =
	    talloc_realloc(p, p->links, struct peer_link *, p->nlinks + 1);
	if (l == NULL || p->links == NULL)
		abort();
	l->peer = p;
	l->node = *node;
	l->node.addr = str_dup(l, node->addr);
	sendq_init(&l->waiting, p->conf.account, node->instance);
	l->backoff_ms = PEER_BACKOFF_MIN_MS;
	l->retry_at = clk_now(&p->clk);
	p->links[p->nlinks++] = l;
}

/* Starts to accept connections and to connect to each other instance. */
struct peer *
peer_new(
    TALLOC_CTX *ctx, struct tevent_context *ev, const struct peer_conf *conf)
{
	struct peer *p = talloc_zero(ctx, struct peer);
	size_t i;

	if (p == NULL)
		abort();
	p->conf = *conf;
	p->ev = ev;
	p->clk = clk_system();
	p->ticked_at = clk_now(&p->clk);
	rng_init(&p->rng, conf->seed);
	for (i = 0; i < conf->npeers; i++)
		peer_add(p, &conf->peers[i]);
	p->listen_fde =
	    tevent_add_fd(ev, p, conf->listen_fd, TEVENT_FD_READ, on_accept, p);
	mtimer_init(&p->timer, mtimer_queue_new(p, ev), on_tick, p);
	mtimer_set_ms(&p->timer, 0);
	talloc_set_destructor(p, peer_destroy);
	return p;
}
