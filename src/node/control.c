#include "node/control.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <tevent.h>
#include <unistd.h>

#include "base/clk.h"
#include "base/log.h"
#include "control/agent.h"
#include "control/cell.h"
#include "node/disk.h"
#include "node/mtimer.h"
#include "node/nctr.h"
#include "node/peer.h"
#include "node/vsplit.h"

/* Upper bound of the transit time between two instances. */
#define MAX_TRANSIT_MS		  500
#define SNAPSHOT_INTERVAL_ENTRIES 4096
#define SNAPSHOT_INTERVAL_BYTES	  (16 * 1024 * 1024)
#define OP_ID_THREAD_SHIFT	  48  /* thread number within an operation id */
#define READY_CHECK_INTERVAL_MS	  100 /* at most, between two checks */

/* A queued message between the agent and the replica of this instance. */
struct local_msg {
	struct local_msg *next;
	Control__PeerMsg *msg;
};

enum drain_state {
	DRAIN_NONE,
	DRAIN_SETTLE, /* reported as not ready, but still accepts work */
	DRAIN_FINISH, /* waits for requests in flight */
	DRAIN_LAST_HEARTBEATS, /* the last heartbeats return the slots */
	DRAIN_DONE
};

struct control {
	struct control_conf conf;
	struct tevent_context *ev;
	struct clk clk;
	struct ctr_set ctr;
	struct agent *agent;
	struct agent_acts agent_acts;
	struct cell *cell; /* NULL: no replica */
	struct cell_acts cell_acts;
	struct disk *disk;
	/* Of the disk, not yet passed to the replica; 0: none. */
	uint64_t synced_seq, saved_index;
	struct peer *peer;
	struct tevent_fd *mbox_fde;
	struct mtimer tick_timer;
	int flush_fd; /* eventfd: control_flush is due */
	struct tevent_fd *flush_fde;
	bool flush_scheduled;
	struct local_msg *local_queue, **local_queue_tail;
	/* Newest statistics of each traffic thread. */
	Control__Beat *stats[TRAFFIC_THREADS_MAX];
	bool thread_idle[TRAFFIC_THREADS_MAX];
	enum drain_state drain;
	struct timespec drain_step_at, settle_started_at;
	uint32_t leader;
	struct err fault;
};

static void control_flush(struct control *);
static void step_agent(struct control *, const struct agent_ev *);

/* Returns the wall clock in milliseconds. */
static int64_t
get_wall_ms(struct control *c)
{
	return clk_ns(clk_wall(&c->clk)) / CLK_NS_PER_MS;
}

static void schedule_flush(struct control *);

/*
 * Queues a copy of a message from this instance to itself. control_flush
 * delivers it, not this call.
 */
static void
queue_local_msg(struct control *c, const Control__PeerMsg *m)
{
	struct local_msg *l = talloc_zero(c, struct local_msg);
	size_t len = control__peer_msg__get_packed_size(m);
	uint8_t *buf;

	if (l == NULL)
		abort();
	buf = talloc_size(l, len + 1);
	if (buf == NULL)
		abort();
	control__peer_msg__pack(m, buf);
	l->msg = control__peer_msg__unpack(NULL, len, buf);
	if (l->msg == NULL)
		abort();
	*c->local_queue_tail = l;
	c->local_queue_tail = &l->next;
	schedule_flush(c);
}

/* Sends a message to an instance, which may be this one. */
static void
send_msg(struct control *c, uint32_t instance, const Control__PeerMsg *m)
{
	if (instance == c->conf.node->instance)
		queue_local_msg(c, m);
	else
		peer_send(c->peer, instance, m);
}

/*
 * Answers a forwarded operation or a heartbeat with "not leader", as no replica
 * runs here; the sender then tries another instance. Other messages get no
 * answer.
 */
static void
reply_not_leader(struct control *c, const Control__PeerMsg *m)
{
	Control__PeerMsg out = CONTROL__PEER_MSG__INIT;
	Control__ForwardReply f = CONTROL__FORWARD_REPLY__INIT;
	Control__OpResult res = CONTROL__OP_RESULT__INIT;
	Control__BeatReply b = CONTROL__BEAT_REPLY__INIT;

	out.group = c->conf.node->group;
	out.from = c->conf.node->instance;
	if (m->forward != NULL) {
		res.status = STATUS_NOT_LEADER;
		f.id = m->forward->id;
		f.result = &res;
		out.forward_reply = &f;
	} else if (m->beat != NULL) {
		b.seq = m->beat->seq;
		b.has_not_leader = 1;
		b.not_leader = 1;
		out.beat_reply = &b;
	} else {
		return;
	}
	send_msg(c, m->from, &out);
}

/*
 * Stops the replica for good after an error of its disk or its state: a replica
 * that cannot write must neither vote nor acknowledge entries.
 */
static void
stop_cell(struct control *c, const struct err *e)
{
	log_event(
	    LOG_CRIT, "control", "event=replica_stopped error=\"%s\"", e->msg);
	ctr_add(&c->ctr, NCTR_DISK_FAILED, 1);
	c->fault = *e;
	TALLOC_FREE(c->disk);
	/* The cell object stays, as other threads read its counters. */
	c->cell_acts.n = 0;
}

/* Returns whether a replica runs on this instance. */
static bool
is_cell_running(const struct control *c)
{
	return c->cell != NULL && c->disk != NULL;
}

/* Carries out one action that the replica has asked for. */
static void
run_cell_action(struct control *c, const struct cell_act *a)
{
	struct err e;

	err_clear(&e);
	switch (a->kind) {
	case CELL_ACT_SEND:
		send_msg(c, a->u.send.instance, a->u.send.msg);
		break;
	case CELL_ACT_PERSIST:
		if (disk_persist(c->disk, &a->u.persist, &e) != STATUS_OK) {
			stop_cell(c, &e);
			break;
		}
		schedule_flush(c);
		break;
	case CELL_ACT_SAVE_SNAPSHOT:
		if (disk_snapshot(c->disk, a, &e) != STATUS_OK) {
			stop_cell(c, &e);
			break;
		}
		schedule_flush(c);
		break;
	case CELL_ACT_ROLE:
		c->leader = a->u.role.leader_instance;
		log_event(LOG_INFO, "control",
		    "event=role role=%s term=%llu leader=%u",
		    a->u.role.role == RAFT_LEADER	  ? "leader"
			: a->u.role.role == RAFT_FOLLOWER ? "follower"
							  : "candidate",
		    (unsigned long long)a->u.role.term,
		    a->u.role.leader_instance);
		break;
	}
}

/*
 * Passes an event to the replica and carries out the resulting actions. Does
 * nothing if no replica runs; a corrupt snapshot stops the replica.
 */
static void
step_cell(struct control *c, struct cell_ev *ev)
{
	enum status st;
	struct err e;
	size_t i;

	if (!is_cell_running(c))
		return;
	ev->wall_ms = get_wall_ms(c);
	c->cell_acts.n = 0;
	st = cell_step(c->cell, clk_now(&c->clk), ev, &c->cell_acts);
	if (st == STATUS_CORRUPT) {
		err_set(&e, st, "received snapshot cannot be decoded");
		stop_cell(c, &e);
		return;
	}
	for (i = 0; i < c->cell_acts.n; i++)
		run_cell_action(c, &c->cell_acts.v[i]);
}

/* Tells the replica what the disk thread has reported; returns whether there
 * was anything. */
static bool
report_disk_results(struct control *c)
{
	struct cell_ev synced = { .kind = CELL_EV_SYNCED };
	struct cell_ev saved = { .kind = CELL_EV_SNAPSHOT_SAVED };

	saved.u.saved_index = c->saved_index;
	synced.u.synced = c->synced_seq;
	c->saved_index = c->synced_seq = 0;
	if (saved.u.saved_index > 0)
		step_cell(c, &saved);
	if (synced.u.synced > 0)
		step_cell(c, &synced);
	return saved.u.saved_index > 0 || synced.u.synced > 0;
}

/* Notes that the log is on disk up to a sequence number. */
static void
on_disk_synced(void *arg, uint64_t seq)
{
	struct control *c = arg;

	ctr_add(&c->ctr, NCTR_DISK_SYNCS, 1);
	c->synced_seq = seq;
	schedule_flush(c);
}

/* Notes that a snapshot is on disk. */
static void
on_disk_saved(void *arg, uint64_t index)
{
	struct control *c = arg;

	c->saved_index = index;
	schedule_flush(c);
}

/* Stops the replica after an error of the disk thread. */
static void
on_disk_failed(void *arg, const struct err *e)
{
	stop_cell(arg, e);
}

/*
 * Sends the result of an operation to its traffic thread, whose number is in
 * the upper bits of id.
 */
static void
reply_op(struct control *c, uint64_t id, const Control__OpResult *res)
{
	unsigned thread = (unsigned)(id >> OP_ID_THREAD_SHIFT);
	struct mbox_msg *m;

	if (thread >= c->conf.nthreads)
		return;
	m = mbox_msg_new(MBOX_RESULT, control__op_result__get_packed_size(res));
	control__op_result__pack(res, (uint8_t *)(uintptr_t)m->data.p);
	m->id = id & ((1ULL << OP_ID_THREAD_SHIFT) - 1);
	mbox_post(c->conf.threads[thread], m);
}

/*
 * Sends each traffic thread its share of a view, which is freed or handed over.
 */
static void
publish_view(struct control *c, struct view *v)
{
	struct mbox_msg *m;
	unsigned i;

	if (c->disk != NULL)
		disk_record_config_version(c->disk, v->config_version);
	for (i = 0; i < c->conf.nthreads; i++) {
		m = mbox_msg_new(MBOX_VIEW, 0);
		m->view = c->conf.nthreads == 1
		    ? v
		    : vsplit_copy_share(v, i, c->conf.nthreads);
		mbox_post(c->conf.threads[i], m);
	}
	if (c->conf.nthreads > 1)
		talloc_free(v);
}

/* Carries out one action that the agent has asked for. */
static void
run_agent_action(struct control *c, const struct agent_act *a)
{
	switch (a->kind) {
	case AGENT_ACT_SEND:
		send_msg(c, a->u.send.instance, a->u.send.msg);
		break;
	case AGENT_ACT_REPLY:
		reply_op(c, a->u.reply.id, a->u.reply.result);
		break;
	case AGENT_ACT_VIEW:
		publish_view(c, a->u.view);
		break;
	}
}

/* Publishes whether this instance accepts new work. */
static void
update_readiness(struct control *c)
{
	bool ready = c->drain == DRAIN_NONE &&
	    agent_is_ready(c->agent, clk_now(&c->clk));

	__atomic_store_n(&c->conf.shared->is_ready, ready, __ATOMIC_RELAXED);
}

/* Passes an event to the agent and carries out the resulting actions. */
static void
step_agent(struct control *c, const struct agent_ev *ev)
{
	size_t i;

	c->agent_acts.n = 0;
	agent_step(c->agent, clk_now(&c->clk), ev, &c->agent_acts);
	for (i = 0; i < c->agent_acts.n; i++)
		run_agent_action(c, &c->agent_acts.v[i]);
	update_readiness(c);
}

/*
 * Passes a message to the replica or the agent of this instance. Messages for
 * the replica are refused if none runs.
 */
static void
deliver_msg(struct control *c, const Control__PeerMsg *m)
{
	struct cell_ev cev = { .kind = CELL_EV_PEER, .u.peer = m };
	struct agent_ev aev = { .kind = AGENT_EV_PEER };

	if (m->beat_reply != NULL || m->forward_reply != NULL) {
		aev.u.peer = m;
		step_agent(c, &aev);
		return;
	}
	if (!is_cell_running(c)) {
		reply_not_leader(c, m);
		return;
	}
	if (m->forward != NULL && m->from == c->conf.node->instance) {
		cev.kind = CELL_EV_OP;
		cev.u.op.id = m->forward->id;
		cev.u.op.op = m->forward->op;
	}
	step_cell(c, &cev);
}

/* Lets the replica and the agent act if their deadlines have passed. */
static void
on_tick(void *arg)
{
	struct control *c = arg;
	struct timespec now = clk_now(&c->clk);
	struct cell_ev cev = { .kind = CELL_EV_TICK };
	struct agent_ev aev = { .kind = AGENT_EV_TICK };

	if (is_cell_running(c) && !clk_before(now, cell_next_tick(c->cell)))
		step_cell(c, &cev);
	if (!clk_before(now, agent_next_tick(c->agent)))
		step_agent(c, &aev);
	update_readiness(c);
	schedule_flush(c);
}

/*
 * Sets the timer to the next deadline of the replica and the agent, at most
 * READY_CHECK_INTERVAL_MS ahead.
 */
static void
arm_tick(struct control *c)
{
	struct timespec at = agent_next_tick(c->agent);
	int64_t ns;

	if (is_cell_running(c) && clk_before(cell_next_tick(c->cell), at))
		at = cell_next_tick(c->cell);
	ns = clk_diff_ns(at, clk_now(&c->clk));
	if (ns < 0)
		ns = 0;
	if (ns > READY_CHECK_INTERVAL_MS * CLK_NS_PER_MS)
		ns = READY_CHECK_INTERVAL_MS * CLK_NS_PER_MS;
	mtimer_set(&c->tick_timer, ns);
}

/* Delivers local messages and what the disk has reported until neither is left
 * to do, then has everything written that the replica has asked for. */
static void
control_flush(struct control *c)
{
	struct local_msg *l;

	do {
		while ((l = c->local_queue) != NULL) {
			c->local_queue = l->next;
			if (c->local_queue == NULL)
				c->local_queue_tail = &c->local_queue;
			deliver_msg(c, l->msg);
			control__peer_msg__free_unpacked(l->msg, NULL);
			talloc_free(l);
		}
	} while (report_disk_results(c) || c->local_queue != NULL);
	/* Answers and entries for followers leave before this disk syncs. */
	peer_flush(c->peer);
	if (is_cell_running(c))
		disk_submit(c->disk);
	arm_tick(c);
}

/* Runs the flush that schedule_flush asked for. */
static void
on_flush(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct control *c = arg;
	uint64_t n;

	if (read(c->flush_fd, &n, sizeof(n)) != (ssize_t)sizeof(n))
		return;
	c->flush_scheduled = false;
	control_flush(c);
}

/*
 * Has control_flush run after the descriptors that are ready now have been
 * handled, so that everything they bring shares one sync. An immediate event or
 * a timer would run before them.
 */
static void
schedule_flush(struct control *c)
{
	const uint64_t one = 1;

	if (c->flush_scheduled)
		return;
	if (write(c->flush_fd, &one, sizeof(one)) != (ssize_t)sizeof(one))
		abort();
	c->flush_scheduled = true;
}

/* Handles a message from another instance. */
static void
on_peer_message(void *arg, const Control__PeerMsg *m)
{
	struct control *c = arg;

	deliver_msg(c, m);
	schedule_flush(c);
}

/* Tells the agent that the connection to an instance has failed. */
static void
on_peer_down(void *arg, uint32_t instance)
{
	struct agent_ev ev = { .kind = AGENT_EV_PEER_DOWN };

	ev.u.down = instance;
	step_agent(arg, &ev);
	schedule_flush(arg);
}

/*
 * Returns whether a replica may connect; false for an older copy of its data
 * directory.
 */
static bool
check_peer_hello(
    void *arg, uint64_t replica, uint64_t generation, uint64_t incarnation)
{
	struct control *c = arg;

	return c->disk == NULL ||
	    disk_accepts_peer(c->disk, replica, generation, incarnation);
}

/*
 * Passes the newest slots and demand of all threads, merged, to the agent.
 * Latencies are only those of the latest report: each report counts them from
 * zero.
 */
static void
send_stats_to_agent(struct control *c, const Control__Beat *latest)
{
	TALLOC_CTX *tmp = talloc_new(NULL);
	struct agent_ev ev = { .kind = AGENT_EV_STATS };
	Control__SlotUse *slots;
	Control__ClassDemand *demand;
	Control__Latency *lat;
	size_t i;

	slots = vsplit_merge_slots(
	    tmp, c->stats, c->conf.nthreads, &ev.u.stats.nslots);
	demand = vsplit_merge_demand(
	    tmp, c->stats, c->conf.nthreads, &ev.u.stats.ndemand);
	lat = talloc_array(tmp, Control__Latency, latest->n_latency + 1);
	if (lat == NULL)
		abort();
	for (i = 0; i < latest->n_latency; i++)
		lat[i] = *latest->latency[i];
	ev.u.stats.slots = slots;
	ev.u.stats.demand = demand;
	ev.u.stats.latency = lat;
	ev.u.stats.nlatency = latest->n_latency;
	step_agent(c, &ev);
	talloc_free(tmp);
}

/* Keeps the statistics of a traffic thread and passes them on. */
static void
on_stats(struct control *c, const struct mbox_msg *m)
{
	Control__Beat *b;

	b = control__beat__unpack(
	    NULL, m->data.len, (const uint8_t *)m->data.p);
	if (b == NULL || m->thread >= c->conf.nthreads)
		abort();
	if (c->stats[m->thread] != NULL)
		control__beat__free_unpacked(c->stats[m->thread], NULL);
	c->stats[m->thread] = b;
	send_stats_to_agent(c, b);
}

/* Passes an operation of a traffic thread to the agent. */
static void
on_op(struct control *c, const struct mbox_msg *m)
{
	struct agent_ev ev = { .kind = AGENT_EV_OP };
	Control__Op *op;

	op = control__op__unpack(NULL, m->data.len, (const uint8_t *)m->data.p);
	if (op == NULL)
		abort();
	ev.u.op.id = (uint64_t)m->thread << OP_ID_THREAD_SHIFT | m->id;
	ev.u.op.op = op;
	step_agent(c, &ev);
	control__op__free_unpacked(op, NULL);
}

/* Posts a message without data to all traffic threads. */
static void
post_to_threads(struct control *c, enum mbox_kind kind)
{
	unsigned i;

	for (i = 0; i < c->conf.nthreads; i++)
		mbox_post(c->conf.threads[i], mbox_msg_new(kind, 0));
}

/* Asks the replica to hand leadership over to another one, if it leads. */
static void
transfer_leadership(struct control *c)
{
	struct cell_ev ev = { .kind = CELL_EV_TRANSFER };

	step_cell(c, &ev);
	schedule_flush(c);
}

/* Begins a graceful shutdown; repeated calls have no effect. */
static void
start_drain(struct control *c)
{
	if (c->drain != DRAIN_NONE)
		return;
	log_event(LOG_NOTICE, "control", "event=drain_start");
	c->drain = DRAIN_SETTLE;
	c->drain_step_at = clk_now(&c->clk);
	__atomic_store_n(&c->conf.shared->is_draining, true, __ATOMIC_RELAXED);
	update_readiness(c);
	transfer_leadership(c);
}

/* Returns whether all traffic threads have reported that they are idle. */
static bool
are_threads_idle(const struct control *c)
{
	unsigned i;

	for (i = 0; i < c->conf.nthreads; i++) {
		if (!c->thread_idle[i])
			return false;
	}
	return true;
}

/* Moves a shutdown to its next step once the present one is over. */
static void
step_drain(struct control *c)
{
	struct agent_ev ev = { .kind = AGENT_EV_DRAIN };
	int64_t ms = clk_diff_ms(clk_now(&c->clk), c->drain_step_at);

	switch (c->drain) {
	case DRAIN_SETTLE:
		if (ms < c->conf.node->drain_settle_ms)
			return;
		step_agent(c, &ev);
		post_to_threads(c, MBOX_DRAIN);
		log_event(LOG_NOTICE, "control", "event=drain_settled");
		break;
	case DRAIN_FINISH:
		if (!are_threads_idle(c) && ms < CONTROL_DRAIN_TIMEOUT_MS)
			return;
		if (!are_threads_idle(c))
			log_event(LOG_ERR, "control",
			    "event=drain_timeout detail=\"requests are still "
			    "in flight\"");
		transfer_leadership(c);
		break;
	case DRAIN_LAST_HEARTBEATS:
		if (ms < CONTROL_LAST_HEARTBEATS_MS)
			return;
		post_to_threads(c, MBOX_STOP);
		break;
	case DRAIN_NONE:
	case DRAIN_DONE:
		return;
	}
	c->drain++;
	c->drain_step_at = clk_now(&c->clk);
	schedule_flush(c);
}

/* Begins a graceful shutdown on SIGTERM or SIGINT. */
static void
on_signal(struct tevent_context *ev, struct tevent_signal *se, int signum,
    int count, void *info, void *arg)
{
	start_drain(arg);
}

/* Handles the messages of the traffic threads. */
static void
on_mbox(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct control *c = arg;
	struct mbox_msg *m, *next;

	for (m = mbox_take(&c->conf.shared->control); m != NULL; m = next) {
		next = m->next;
		switch (m->kind) {
		case MBOX_OP:
			on_op(c, m);
			break;
		case MBOX_STATS:
			on_stats(c, m);
			break;
		case MBOX_DRAIN:
			start_drain(c);
			break;
		case MBOX_IDLE:
			if (m->thread < c->conf.nthreads)
				c->thread_idle[m->thread] = true;
			break;
		default:
			break;
		}
		talloc_free(m);
	}
	schedule_flush(c);
}

/*
 * Runs the event loop of the control thread until a graceful shutdown has
 * finished. STATUS_IO if the loop fails.
 */
enum status
control_run(struct control *c, struct err *e)
{
	while (c->drain != DRAIN_DONE) {
		if (tevent_loop_once(c->ev) != 0)
			return err_errno(e, STATUS_IO, "event loop");
		step_drain(c);
	}
	log_event(LOG_NOTICE, "control", "event=drain_end");
	return STATUS_OK;
}

/* Registers the counter sets of the control thread. */
void
control_register_counters(struct control *c, struct node_counters *out)
{
	node_counters_add(out, "node", &c->ctr);
	node_counters_add(out, "agent", agent_counters(c->agent));
	if (c->cell != NULL)
		node_counters_add(out, "cell", cell_counters(c->cell));
}

/* Frees what talloc does not own. */
static int
control_destroy(struct control *c)
{
	struct local_msg *l;
	size_t i;

	for (l = c->local_queue; l != NULL; l = l->next)
		control__peer_msg__free_unpacked(l->msg, NULL);
	for (i = 0; i < TRAFFIC_THREADS_MAX; i++) {
		if (c->stats[i] != NULL)
			control__beat__free_unpacked(c->stats[i], NULL);
	}
	TALLOC_FREE(c->flush_fde);
	close(c->flush_fd);
	talloc_free(c->agent_acts.v);
	talloc_free(c->cell_acts.v);
	return 0;
}

/* Opens the data directory and creates the replica, if one is configured. */
static enum status
start_cell(struct control *c, struct err *e)
{
	const struct node_conf *n = c->conf.node;
	const struct disk_results results = { on_disk_synced, on_disk_saved,
		on_disk_failed, c };
	struct cell_conf cc;

	if (n->data_dir.len == 0)
		return STATUS_OK;
	memset(&cc, 0, sizeof(cc));
	c->disk = disk_open(c, n->data_dir, c->conf.io, &cc, e);
	if (c->disk == NULL)
		return e->status;
	cc.group = n->group;
	cc.instance = n->instance;
	cc.raft.seed = c->conf.seed ^ 0x5bd1e995;
	cc.replicas = n->replicas;
	cc.lease_ms = n->lease_ms;
	cc.poll_ms = n->poll_ms;
	cc.max_transit_ms = MAX_TRANSIT_MS;
	cc.freshness_max_ms = NODE_CONFIG_FRESHNESS_MAX_MS;
	cc.key_retention_ms = n->key_retention_ms;
	cc.clock_ppm = NODE_CLOCK_PPM;
	cc.snapshot_entries = SNAPSHOT_INTERVAL_ENTRIES;
	cc.snapshot_bytes = SNAPSHOT_INTERVAL_BYTES;
	c->cell = cell_new(c, &cc, clk_now(&c->clk), e);
	disk_release_loaded(c->disk);
	if (c->cell == NULL)
		return e->status;
	return disk_start(c->disk, c->ev, &results, e);
}

/* Creates the agent, with this instance as the first of its peers. */
static void
start_agent(struct control *c)
{
	const struct node_conf *n = c->conf.node;
	struct agent_conf ac;
	uint32_t *peers;
	size_t i;

	memset(&ac, 0, sizeof(ac));
	peers = talloc_array(c, uint32_t, n->npeers + 1);
	if (peers == NULL)
		abort();
	peers[0] = n->instance;
	ac.npeers = 1;
	for (i = 0; i < n->npeers; i++) {
		if (n->peers[i].instance != n->instance)
			peers[ac.npeers++] = n->peers[i].instance;
	}
	ac.group = n->group;
	ac.instance = n->instance;
	ac.incarnation = c->conf.incarnation;
	ac.domain = n->domain;
	ac.peers = peers;
	ac.freshness_ms = n->config_freshness_ms;
	ac.op_timeout_ms = CONTROL_OP_TIMEOUT_MS;
	ac.clock_ppm = NODE_CLOCK_PPM;
	ac.seed = c->conf.seed;
	if (c->disk != NULL) {
		ac.replica = disk_replica(c->disk);
		ac.min_config_version = disk_config_version(c->disk);
	}
	c->agent = agent_new(c, &ac, clk_now(&c->clk));
}

/* Creates the connections to the other instances. */
static void
start_peer(struct control *c)
{
	const struct node_conf *n = c->conf.node;
	struct peer_conf pc;

	memset(&pc, 0, sizeof(pc));
	pc.cluster = n->cluster;
	pc.group = n->group;
	pc.instance = n->instance;
	pc.incarnation = c->conf.incarnation;
	if (c->disk != NULL) {
		pc.replica = disk_replica(c->disk);
		pc.generation = disk_generation(c->disk);
	}
	pc.listen_fd = c->conf.peer_fd;
	pc.peers = n->peers;
	pc.npeers = n->npeers;
	pc.seed = c->conf.seed ^ 0x9747b28c;
	pc.ctr = &c->ctr;
	pc.on_message = on_peer_message;
	pc.on_disconnect = on_peer_down;
	pc.check_hello = check_peer_hello;
	pc.arg = c;
	c->peer = peer_new(c, c->ev, &pc);
}

/*
 * Creates the control thread's modules and opens the disk; nothing runs before
 * control_run. Returns NULL with e set on failure. Closes conf->peer_fd in
 * either case, at the latest when the object is freed.
 */
struct control *
control_new(TALLOC_CTX *ctx, const struct control_conf *conf, struct err *e)
{
	struct control *c = talloc_zero(ctx, struct control);

	if (c == NULL)
		abort();
	c->conf = *conf;
	c->clk = clk_system();
	c->local_queue_tail = &c->local_queue;
	ctr_init(&c->ctr, c, nctr_desc, NCTR_COUNT);
	c->ev = tevent_context_init(c);
	if (c->ev == NULL)
		abort();
	c->flush_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (c->flush_fd < 0) {
		err_errno(e, STATUS_IO, "eventfd");
		close(conf->peer_fd);
		talloc_free(c);
		return NULL;
	}
	mtimer_init(&c->tick_timer, mtimer_queue_new(c, c->ev), on_tick, c);
	talloc_set_destructor(c, control_destroy);
	if (start_cell(c, e) != STATUS_OK) {
		close(conf->peer_fd);
		talloc_free(c);
		return NULL;
	}
	start_agent(c);
	start_peer(c);
	c->mbox_fde = tevent_add_fd(
	    c->ev, c, conf->shared->control.fd, TEVENT_FD_READ, on_mbox, c);
	c->flush_fde =
	    tevent_add_fd(c->ev, c, c->flush_fd, TEVENT_FD_READ, on_flush, c);
	tevent_add_signal(c->ev, c, SIGTERM, 0, on_signal, c);
	tevent_add_signal(c->ev, c, SIGINT, 0, on_signal, c);
	arm_tick(c);
	return c;
}
