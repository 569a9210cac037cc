/*
 * Simulates the instances of one group, with their cells and agents, on
 * simulated clocks, disks and network in one process. A run depends only on
 * its seed. The tests and bench/cell.c use it, so it is C that is also C++.
 *
 * Instances are numbered from 1. Times named *_ns are simulated true time;
 * every instance has a clock of its own rate and offset, whose times are
 * called local.
 */
#ifndef CONTROL_TESTS_CELL_SIM_H
#define CONTROL_TESTS_CELL_SIM_H

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "control/agent.h"
#include "control/cell.h"
#include "control/pb.h"

#define SIM_INSTANCES_MAX 48
#define SIM_MEMBERS	  16
#define SIM_GROUP	  1
#define SIM_MS		  1000000LL
#define SIM_WALL_MS	  1700000000000LL

struct sim_conf {
	uint64_t seed;
	unsigned instances, disks; /* the first ones have a disk */
	int64_t delay_ns, jitter_ns, sync_ns;
	double drop; /* probability that a message is lost */
	double skew; /* clock rates lie within 1 +- skew / 2 */
	uint64_t snapshot_entries;
	int64_t op_timeout_ms;
	int64_t freshness_ms;
};

struct sim_entry {
	uint64_t index, term;
	int kind;
	struct str data;
};

struct sim_disk {
	uint64_t replica, term, vote, snap_index, snap_term;
	struct str snap;
	struct raft_member members[SIM_MEMBERS];
	size_t nmembers;
	struct sim_entry *log; /* after snap_index */
	size_t nlog;
	TALLOC_CTX *ctx;
};

struct sim_instance {
	uint32_t id;
	bool up, has_disk;
	uint64_t run_number; /* incremented at each start and stop */
	uint64_t incarnation;
	double rate;
	int64_t offset_ns;
	struct sim_disk disk;
	struct cell *cell; /* NULL: no disk */
	struct agent *agent;
	struct view *view;
	uint64_t min_config_version; /* newest one seen, as saved on disk */
	enum raft_role role;
};

enum sim_ev_kind {
	SIM_MSG,
	SIM_SYNC,
	SIM_SAVED,
	SIM_CALL
};

struct sim_ev {
	int64_t at_ns;
	uint64_t seq;
	enum sim_ev_kind kind;
	uint32_t from, to;
	uint64_t run_number;
	struct str msg;
	/* SYNC and SAVED: what is written to disk. */
	uint64_t number, term, vote, truncate_from;
	struct sim_entry *entries;
	size_t n;
	struct raft_member members[SIM_MEMBERS];
	size_t nmembers;
	bool received;
	void (*call)(void *arg);
	void *arg;
};

struct sim {
	struct sim_conf conf;
	struct rng rng;
	int64_t now_ns;
	struct sim_instance inst[SIM_INSTANCES_MAX + 1];
	bool cut[SIM_INSTANCES_MAX + 1][SIM_INSTANCES_MAX + 1]; /* [from][to] */
	struct sim_ev **heap;
	size_t nheap, capheap;
	uint64_t seq, op_id;
	uint64_t
	    bytes_sent[SIM_INSTANCES_MAX + 1]; /* heartbeats and replies only */
	uint64_t log_bytes, log_entries, messages;
	struct agent_acts aacts;
	struct cell_acts cacts;
	/* Called with the result of an operation; r is valid in the call. */
	void (*on_reply)(
	    void *arg, uint32_t inst, uint64_t id, const Control__OpResult *r);
	void (*on_view)(void *arg, uint32_t inst);
	/* Called after every event. */
	void (*check)(void *arg);
	void *arg;
};

/* Returns the time on an instance's clock. */
static inline struct timespec
sim_local_time(const struct sim *s, const struct sim_instance *in)
{
	return clk_from_ns(
	    in->offset_ns + (int64_t)((double)s->now_ns * in->rate));
}

/* Converts a time of the instance's clock to true time. */
static inline int64_t
sim_true_ns(const struct sim_instance *in, struct timespec local)
{
	int64_t ns = clk_ns(local);

	if (ns > INT64_MAX / 2)
		return INT64_MAX;
	return (int64_t)((double)(ns - in->offset_ns) / in->rate) + 1;
}

/* Orders events by time, then by the order they were added. */
static inline bool
sim_ev_before(const struct sim_ev *a, const struct sim_ev *b)
{
	return a->at_ns != b->at_ns ? a->at_ns < b->at_ns : a->seq < b->seq;
}

/* Adds an event to the heap of future events. */
static inline void
sim_push(struct sim *s, struct sim_ev *e, int64_t at_ns)
{
	size_t i;

	e->at_ns = at_ns;
	e->seq = ++s->seq;
	if (s->nheap == s->capheap) {
		s->capheap = s->capheap == 0 ? 256 : 2 * s->capheap;
		s->heap = (struct sim_ev **)realloc(
		    s->heap, s->capheap * sizeof(struct sim_ev *));
	}
	for (i = s->nheap++; i > 0 && sim_ev_before(e, s->heap[(i - 1) / 2]);
	     i = (i - 1) / 2)
		s->heap[i] = s->heap[(i - 1) / 2];
	s->heap[i] = e;
}

/* Removes the earliest event from the heap. */
static inline struct sim_ev *
sim_pop(struct sim *s)
{
	struct sim_ev *top = s->heap[0], *e = s->heap[--s->nheap];
	size_t i = 0, c;

	while ((c = 2 * i + 1) < s->nheap) {
		if (c + 1 < s->nheap &&
		    sim_ev_before(s->heap[c + 1], s->heap[c]))
			c++;
		if (!sim_ev_before(s->heap[c], e))
			break;
		s->heap[i] = s->heap[c];
		i = c;
	}
	s->heap[i] = e;
	return top;
}

/* Creates an event for an instance; CALL events have none. */
static inline struct sim_ev *
sim_ev_new(enum sim_ev_kind kind, uint32_t to, uint64_t run_number)
{
	struct sim_ev *e = talloc_zero(NULL, struct sim_ev);

	e->kind = kind;
	e->to = to;
	e->run_number = run_number;
	return e;
}

/* Schedules a callback at a true time. */
static inline void
sim_call(struct sim *s, int64_t at_ns, void (*call)(void *), void *arg)
{
	struct sim_ev *e = sim_ev_new(SIM_CALL, 0, 0);

	e->call = call;
	e->arg = arg;
	sim_push(s, e, at_ns);
}

/* Sends a message, which is delayed and may be lost on the network. */
static inline void
sim_send(struct sim *s, uint32_t from, uint32_t to, const Control__PeerMsg *m)
{
	struct sim_ev *e;
	int64_t d = 0;

	if (to == 0 || to > s->conf.instances)
		return;
	e = sim_ev_new(SIM_MSG, to, 0);
	e->from = from;
	e->msg = pb_pack(e, m);
	s->messages++;
	if (from != to && (m->beat != NULL || m->beat_reply != NULL))
		s->bytes_sent[from] += e->msg.len;
	if (from != to) {
		d = s->conf.delay_ns +
		    (int64_t)rng_below(&s->rng, s->conf.jitter_ns + 1);
		if (s->cut[from][to] || rng_chance(&s->rng, s->conf.drop)) {
			talloc_free(e);
			return;
		}
	}
	sim_push(s, e, s->now_ns + d);
}

/* Drops the log entries of a disk from an index on. */
static inline void
sim_disk_truncate(struct sim_disk *d, uint64_t from)
{
	while (d->nlog > 0 && d->log[d->nlog - 1].index >= from)
		d->nlog--;
}

/* Appends a log entry to a disk, replacing those that follow it. */
static inline void
sim_disk_append(struct sim_disk *d, const struct sim_entry *e)
{
	struct sim_entry *n;

	if (e->index <= d->snap_index)
		return;
	sim_disk_truncate(d, e->index);
	d->log = talloc_realloc(d->ctx, d->log, struct sim_entry, d->nlog + 1);
	n = &d->log[d->nlog++];
	*n = *e;
	n->data = str_dup(d->ctx, e->data);
}

/* Schedules a write of term, vote and log entries. */
static inline void
sim_persist(struct sim *s, struct sim_instance *in, const struct raft_act *a)
{
	struct sim_ev *e = sim_ev_new(SIM_SYNC, in->id, in->run_number);
	size_t i;

	e->number = a->u.persist.seq;
	e->term = a->u.persist.term;
	e->vote = a->u.persist.voted_for;
	e->truncate_from = a->u.persist.truncate_from;
	e->n = a->u.persist.n;
	e->entries = talloc_array(e, struct sim_entry, e->n);
	for (i = 0; i < e->n; i++) {
		const struct raft_entry *r = &a->u.persist.entries[i];

		e->entries[i].index = r->index;
		e->entries[i].term = r->term;
		e->entries[i].kind = r->kind;
		e->entries[i].data = str_dup(e, r->data);
		if (in->role == RAFT_LEADER) {
			s->log_bytes += r->data.len;
			s->log_entries++;
		}
	}
	sim_push(s, e, s->now_ns + s->conf.sync_ns);
}

/* Copies a member list into an event. */
static inline void
sim_members(struct sim_ev *e, const struct raft_member *v, size_t n)
{
	size_t i;

	e->nmembers = n;
	for (i = 0; i < n && i < SIM_MEMBERS; i++) {
		e->members[i] = v[i];
		e->members[i].domain = str_dup(e, v[i].domain);
	}
}

/* Carries out the actions of a cell's step. */
static inline void
sim_cell_acts(struct sim *s, struct sim_instance *in)
{
	struct cell_acts acts = s->cacts;
	struct sim_ev *e;
	size_t i;

	for (i = 0; i < acts.n; i++) {
		const struct cell_act *a = &acts.v[i];

		switch (a->kind) {
		case CELL_ACT_SEND:
			sim_send(s, in->id, a->u.send.instance, a->u.send.msg);
			break;
		case CELL_ACT_PERSIST:
			sim_persist(s, in, &a->u.persist);
			break;
		case CELL_ACT_SAVE_SNAPSHOT:
			e = sim_ev_new(SIM_SAVED, in->id, in->run_number);
			e->number = a->u.snapshot.index;
			e->term = a->u.snapshot.term;
			e->msg = str_dup(e, a->u.snapshot.data);
			e->received = a->u.snapshot.received;
			sim_members(
			    e, a->u.snapshot.members, a->u.snapshot.nmembers);
			sim_push(s, e, s->now_ns + 3 * s->conf.sync_ns);
			break;
		case CELL_ACT_ROLE:
			in->role = a->u.role.role;
			break;
		}
	}
}

/* Passes an event to a cell and carries out its actions. */
static inline void
sim_step_cell(struct sim *s, struct sim_instance *in, struct cell_ev *ev)
{
	ev->wall_ms = SIM_WALL_MS + s->now_ns / SIM_MS;
	s->cacts.n = 0;
	cell_step(in->cell, sim_local_time(s, in), ev, &s->cacts);
	sim_cell_acts(s, in);
}

/* Passes an event to an agent and carries out its actions. */
static inline void
sim_step_agent(
    struct sim *s, struct sim_instance *in, const struct agent_ev *ev)
{
	size_t i;

	s->aacts.n = 0;
	agent_step(in->agent, sim_local_time(s, in), ev, &s->aacts);
	for (i = 0; i < s->aacts.n; i++) {
		const struct agent_act *a = &s->aacts.v[i];

		switch (a->kind) {
		case AGENT_ACT_SEND:
			sim_send(s, in->id, a->u.send.instance, a->u.send.msg);
			break;
		case AGENT_ACT_REPLY:
			if (s->on_reply != NULL)
				s->on_reply(s->arg, in->id, a->u.reply.id,
				    a->u.reply.result);
			break;
		case AGENT_ACT_VIEW:
			talloc_free(in->view);
			in->view = a->u.view;
			if (s->on_view != NULL)
				s->on_view(s->arg, in->id);
			if (in->view->config_version > in->min_config_version)
				in->min_config_version =
				    in->view->config_version;
			break;
		}
	}
}

/* Starts an instance with the contents of its disk. */
static inline void
sim_start(struct sim *s, uint32_t id)
{
	struct sim_instance *in = &s->inst[id];
	struct sim_disk *d = &in->disk;
	uint32_t peers[SIM_INSTANCES_MAX];
	struct agent_conf ac;
	unsigned i;

	in->up = true;
	in->run_number++;
	in->role = RAFT_FOLLOWER;
	if (in->has_disk) {
		struct cell_conf cc;
		struct raft_entry *v =
		    talloc_array(NULL, struct raft_entry, d->nlog);
		struct err err;

		for (i = 0; i < d->nlog; i++) {
			v[i].index = d->log[i].index;
			v[i].term = d->log[i].term;
			v[i].kind = (Control__EntryKind)d->log[i].kind;
			v[i].data = d->log[i].data;
		}
		memset(&cc, 0, sizeof(cc));
		cc.group = SIM_GROUP;
		cc.instance = id;
		cc.raft.replica = d->replica;
		cc.raft.seed = rng_next(&s->rng);
		cc.raft.term = d->term;
		cc.raft.voted_for = d->vote;
		cc.raft.snap_index = d->snap_index;
		cc.raft.snap_term = d->snap_term;
		cc.raft.members = d->members;
		cc.raft.nmembers = d->nmembers;
		cc.raft.entries = v;
		cc.raft.nentries = d->nlog;
		cc.snapshot = d->snap;
		cc.replicas = 3;
		cc.lease_ms = 6000;
		cc.poll_ms = 1000;
		cc.max_transit_ms = 500;
		cc.freshness_max_ms = s->conf.freshness_ms;
		cc.key_retention_ms = 900000;
		cc.clock_ppm = 10000;
		cc.snapshot_entries = s->conf.snapshot_entries;
		cc.snapshot_bytes = 16 << 20;
		in->cell = cell_new(NULL, &cc, sim_local_time(s, in), &err);
		talloc_free(v);
		if (in->cell == NULL)
			abort();
	}
	for (i = 0; i < s->conf.instances; i++)
		peers[i] = i + 1;
	memset(&ac, 0, sizeof(ac));
	ac.group = SIM_GROUP;
	ac.instance = id;
	ac.incarnation = in->incarnation = rng_next(&s->rng);
	ac.replica = in->has_disk ? d->replica : 0;
	ac.peers = peers;
	ac.npeers = s->conf.instances;
	ac.freshness_ms = s->conf.freshness_ms;
	ac.op_timeout_ms = s->conf.op_timeout_ms;
	ac.min_config_version = in->min_config_version;
	ac.clock_ppm = 10000;
	ac.seed = rng_next(&s->rng);
	in->agent = agent_new(NULL, &ac, sim_local_time(s, in));
}

/* Stops an instance at once; unsynced writes are lost. */
static inline void
sim_stop(struct sim *s, uint32_t id)
{
	struct sim_instance *in = &s->inst[id];

	(void)s;
	in->up = false;
	in->run_number++;
	in->role = RAFT_FOLLOWER;
	talloc_free(in->cell);
	talloc_free(in->agent);
	talloc_free(in->view);
	in->cell = NULL;
	in->agent = NULL;
	in->view = NULL;
}

/* Returns the default configuration. */
static inline struct sim_conf
sim_defaults(uint64_t seed, unsigned instances, unsigned disks)
{
	struct sim_conf c = { seed, instances, disks, SIM_MS, SIM_MS / 4,
		SIM_MS / 2, 0, 0, 4096, 5000, 3000 };

	return c;
}

/*
 * Starts a simulation. The first instance is the only voter of the group; other
 * instances with a disk are added by the leader.
 */
static inline struct sim *
sim_new(const struct sim_conf *conf)
{
	struct sim *s = (struct sim *)calloc(1, sizeof(*s));
	uint32_t i;

	s->conf = *conf;
	rng_init(&s->rng, conf->seed);
	for (i = 1; i <= conf->instances; i++) {
		struct sim_instance *in = &s->inst[i];

		in->id = i;
		in->rate = 1 + (rng_unit(&s->rng) - 0.5) * conf->skew;
		in->offset_ns = (int64_t)rng_below(&s->rng, 1000 * SIM_MS);
		in->has_disk = i <= conf->disks;
		in->disk.ctx = talloc_new(NULL);
		in->disk.replica = rng_next(&s->rng);
		if (i == 1) {
			in->disk.members[0].replica = in->disk.replica;
			in->disk.members[0].instance = 1;
			in->disk.members[0].voter = true;
			in->disk.nmembers = 1;
		}
		sim_start(s, i);
	}
	return s;
}

/* Ends a simulation. */
static inline void
sim_free(struct sim *s)
{
	uint32_t i;

	while (s->nheap > 0)
		talloc_free(sim_pop(s));
	for (i = 1; i <= s->conf.instances; i++) {
		if (s->inst[i].up)
			sim_stop(s, i);
		talloc_free(s->inst[i].disk.ctx);
	}
	talloc_free(s->aacts.v);
	talloc_free(s->cacts.v);
	free(s->heap);
	free(s);
}

/* Completes a write to the log of a disk. */
static inline void
sim_synced(struct sim *s, struct sim_instance *in, const struct sim_ev *e)
{
	struct sim_disk *d = &in->disk;
	struct cell_ev ev = { CELL_EV_SYNCED, 0, { NULL } };
	size_t i;

	d->term = e->term;
	d->vote = e->vote;
	if (e->truncate_from != 0)
		sim_disk_truncate(d, e->truncate_from);
	for (i = 0; i < e->n; i++)
		sim_disk_append(d, &e->entries[i]);
	ev.u.synced = e->number;
	sim_step_cell(s, in, &ev);
}

/* Completes the write of a snapshot. */
static inline void
sim_saved(struct sim *s, struct sim_instance *in, const struct sim_ev *e)
{
	struct sim_disk *d = &in->disk;
	struct cell_ev ev = { CELL_EV_SNAPSHOT_SAVED, 0, { NULL } };
	size_t i, n = 0;

	for (i = 0; i < d->nlog; i++) {
		if (!e->received && d->log[i].index > e->number)
			d->log[n++] = d->log[i];
	}
	d->nlog = n;
	d->snap_index = e->number;
	d->snap_term = e->term;
	d->snap = str_dup(d->ctx, e->msg);
	d->nmembers = e->nmembers;
	for (i = 0; i < e->nmembers; i++) {
		d->members[i] = e->members[i];
		d->members[i].domain = str_dup(d->ctx, e->members[i].domain);
	}
	ev.u.saved_index = e->number;
	sim_step_cell(s, in, &ev);
}

/* Delivers a message to the cell or agent it is for. */
static inline void
sim_deliver(struct sim *s, struct sim_instance *in, const struct sim_ev *e)
{
	TALLOC_CTX *tmp = talloc_new(NULL);
	Control__PeerMsg *m = (Control__PeerMsg *)pb_unpack(
	    tmp, &control__peer_msg__descriptor, e->msg);
	struct cell_ev ce = { CELL_EV_PEER, 0, { NULL } };
	struct agent_ev ae = { AGENT_EV_PEER, { NULL } };

	if (m->beat_reply != NULL || m->forward_reply != NULL) {
		ae.u.peer = m;
		sim_step_agent(s, in, &ae);
	} else if (in->cell != NULL) {
		ce.u.peer = m;
		sim_step_cell(s, in, &ce);
	} else if (m->forward != NULL) {
		/* An instance without a replica refuses with term 0. */
		Control__PeerMsg r = CONTROL__PEER_MSG__INIT;
		Control__ForwardReply f = CONTROL__FORWARD_REPLY__INIT;
		Control__OpResult o = CONTROL__OP_RESULT__INIT;

		r.group = SIM_GROUP;
		r.from = in->id;
		r.forward_reply = &f;
		f.id = m->forward->id;
		f.result = &o;
		o.status = STATUS_NOT_LEADER;
		sim_send(s, in->id, m->from, &r);
	} else if (m->beat != NULL) {
		Control__PeerMsg r = CONTROL__PEER_MSG__INIT;
		Control__BeatReply b = CONTROL__BEAT_REPLY__INIT;

		r.group = SIM_GROUP;
		r.from = in->id;
		r.beat_reply = &b;
		b.seq = m->beat->seq;
		b.has_not_leader = b.not_leader = 1;
		sim_send(s, in->id, m->from, &r);
	}
	talloc_free(tmp);
}

/* Runs and frees an event; a stopped instance ignores its events. */
static inline void
sim_run_ev(struct sim *s, struct sim_ev *e)
{
	struct sim_instance *in = &s->inst[e->to];

	if (e->kind == SIM_CALL)
		e->call(e->arg);
	else if (in->up && e->kind == SIM_MSG)
		sim_deliver(s, in, e);
	else if (in->up && in->run_number == e->run_number &&
	    e->kind == SIM_SYNC)
		sim_synced(s, in, e);
	else if (in->up && in->run_number == e->run_number &&
	    e->kind == SIM_SAVED)
		sim_saved(s, in, e);
	talloc_free(e);
}

/* Runs the next event or timer; returns false if it is after until_ns. */
static inline bool
sim_step(struct sim *s, int64_t until_ns)
{
	int64_t next = s->nheap > 0 ? s->heap[0]->at_ns : INT64_MAX, at;
	struct sim_instance *cell = NULL, *agent = NULL;
	uint32_t i;

	for (i = 1; i <= s->conf.instances; i++) {
		struct sim_instance *in = &s->inst[i];

		if (!in->up)
			continue;
		at = sim_true_ns(in, agent_next_tick(in->agent));
		if (at < next) {
			next = at;
			agent = in;
			cell = NULL;
		}
		if (in->cell == NULL)
			continue;
		at = sim_true_ns(in, cell_next_tick(in->cell));
		if (at < next) {
			next = at;
			cell = in;
			agent = NULL;
		}
	}
	if (next > until_ns) {
		s->now_ns = until_ns;
		return false;
	}
	if (next > s->now_ns)
		s->now_ns = next;
	if (cell != NULL) {
		struct cell_ev ev = { CELL_EV_TICK, 0, { NULL } };

		sim_step_cell(s, cell, &ev);
	} else if (agent != NULL) {
		struct agent_ev ev = { AGENT_EV_TICK, { NULL } };

		sim_step_agent(s, agent, &ev);
	} else {
		sim_run_ev(s, sim_pop(s));
	}
	if (s->check != NULL)
		s->check(s->arg);
	return true;
}

/* Runs the simulation for a time. */
static inline void
sim_run(struct sim *s, int64_t ns)
{
	int64_t until = s->now_ns + ns;

	while (sim_step(s, until))
		;
}

/* Starts an operation at an instance; returns 0 if that is down. */
static inline uint64_t
sim_op(struct sim *s, uint32_t id, const Control__Op *op)
{
	struct agent_ev ev = { AGENT_EV_OP, { NULL } };

	if (!s->inst[id].up)
		return 0;
	ev.u.op.id = ++s->op_id;
	ev.u.op.op = op;
	sim_step_agent(s, &s->inst[id], &ev);
	return ev.u.op.id;
}

/* Returns an instance that considers itself the leader, or 0. */
static inline uint32_t
sim_leader(const struct sim *s)
{
	uint32_t i;

	for (i = 1; i <= s->conf.instances; i++) {
		if (s->inst[i].up && s->inst[i].role == RAFT_LEADER)
			return i;
	}
	return 0;
}

/* Disconnects an instance from all others, or reconnects it. */
static inline void
sim_isolate(struct sim *s, uint32_t id, bool cut)
{
	uint32_t i;

	for (i = 1; i <= s->conf.instances; i++) {
		if (i != id)
			s->cut[id][i] = s->cut[i][id] = cut;
	}
}

#endif
