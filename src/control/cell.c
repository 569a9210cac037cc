#include "control/cell.h"

#include <stdlib.h>
#include <string.h>

#include "base/vec.h"
#include "control/cell_impl.h"
#include "control/pb.h"

static const struct ctr_desc cell_ctr_desc[CELL_C_COUNT] = {
	[CELL_C_OPS] = { "cell_ops", "Operations received." },
	[CELL_C_NOT_LEADER] = { "cell_not_leader",
	    "Operations refused because another instance leads." },
	[CELL_C_UNKNOWN] = { "cell_unknown",
	    "Operations whose outcome is unknown since leadership was lost." },
	[CELL_C_REFUSED] = { "cell_refused",
	    "Operations refused by the replicated state." },
	[CELL_C_FULL] = { "cell_full",
	    "Operations refused because too many are pending; check the "
	    "disks." },
	[CELL_C_HEARTBEATS] = { "cell_beats",
	    "Heartbeats received from instances." },
	[CELL_C_HEARTBEATS_OLD] = { "cell_beats_old",
	    "Heartbeats dropped because a newer one arrived first." },
	[CELL_C_POLLS] = { "cell_polls", "Polls received from workers." },
	[CELL_C_POLLS_STALE] = { "cell_polls_stale",
	    "Polls refused because the worker's epoch has ended." },
	[CELL_C_CONFIRMS] = { "cell_confirms",
	    "Confirmations of leadership started." },
	[CELL_C_WORKERS_LOST] = { "cell_workers_lost",
	    "Workers lost because their lease expired." },
	[CELL_C_ASSIGNED] = { "cell_assigned", "Tasks assigned to workers." },
	[CELL_C_ASSIGN_REFUSED] = { "cell_assign_refused",
	    "Proposed assignments that were rejected." },
	[CELL_C_EVENTS_DROPPED] = { "cell_events_dropped",
	    "Task events of an outdated attempt or epoch." },
	[CELL_C_TASKS_VANISHED] = { "cell_tasks_vanished",
	    "Tasks that a worker lost without reporting; check the worker." },
	[CELL_C_KEYS_DROPPED] = { "cell_keys_dropped",
	    "Idempotency records dropped after their retention time." },
	[CELL_C_SNAPSHOTS] = { "cell_snapshots", "Snapshots taken." },
	[CELL_C_MEMBERS_ADDED] = { "cell_members_added",
	    "Replicas added because the group had too few." },
	[CELL_C_ELECTED] = { "cell_elected",
	    "Times that this replica began to serve as leader." },
};

/* Appends an empty action of this kind to the output of the step. */
struct cell_act *
cell_act_add(struct cell *c, enum cell_act_kind kind)
{
	struct cell_acts *out = c->acts;
	struct cell_act *a;

	out->v = vec_grow(out->v, out->n, &out->cap, sizeof(*out->v));
	a = &out->v[out->n++];
	memset(a, 0, sizeof(*a));
	a->kind = kind;
	return a;
}

/* Appends a SEND of an empty message, which is valid until the next step. */
Control__PeerMsg *
cell_msg_new(struct cell *c, uint32_t instance)
{
	struct cell_act *a = cell_act_add(c, CELL_ACT_SEND);
	Control__PeerMsg *m = talloc(c->step_ctx, Control__PeerMsg);

	if (m == NULL)
		abort();
	control__peer_msg__init(m);
	m->group = c->conf.group;
	m->from = c->conf.instance;
	a->u.send.instance = instance;
	a->u.send.msg = m;
	return m;
}

/* Copies log entries and their data into memory of ctx. */
static struct raft_entry *
entries_copy(TALLOC_CTX *ctx, const struct raft_entry *v, size_t n)
{
	struct raft_entry *copy = talloc_array(ctx, struct raft_entry, n);
	size_t i;

	if (copy == NULL)
		abort();
	for (i = 0; i < n; i++) {
		copy[i] = v[i];
		copy[i].data = str_dup(ctx, v[i].data);
	}
	return copy;
}

/* Replaces the applied member list. */
static void
members_set(struct cell *c, const struct raft_member *v, size_t n)
{
	struct raft_member *copy = raft_members_copy(c, v, n);

	talloc_free(c->members);
	c->members = copy;
	c->nmembers = n;
}

/* Takes the member list from an applied MEMBERS entry. */
static void
members_apply(struct cell *c, struct str data)
{
	Control__Members *m =
	    pb_unpack(c->step_ctx, &control__members__descriptor, data);
	struct raft_member *v;
	size_t i;

	if (m == NULL)
		return;
	v = talloc_zero_array(c->step_ctx, struct raft_member, m->n_members);
	if (v == NULL)
		abort();
	for (i = 0; i < m->n_members; i++) {
		v[i].replica = m->members[i]->replica;
		v[i].instance = m->members[i]->instance;
		v[i].voter = m->members[i]->voter;
		v[i].domain = str_from(m->members[i]->domain);
	}
	members_set(c, v, m->n_members);
}

/* Clears the leader's state, whose memory is being freed. */
static int
leader_destroy(struct cell **leader_ctx)
{
	struct cell *c = *leader_ctx;

	lease_finish(&c->lease);
	idx_finish(&c->workers);
	idx_finish(&c->starts);
	idx_finish(&c->jobs);
	c->instances = NULL;
	c->ninstances = 0;
	c->grant = NULL;
	c->sched = NULL;
	c->leader_ctx = NULL;
	return 0;
}

/*
 * Begins to serve as leader once everything committed by earlier leaders is
 * applied; index is that of the entry that showed it. Leases and grants given
 * by earlier leaders may still be held: every lease starts at full length, and
 * outstanding grants are learnt from heartbeats.
 */
static void
cell_begin_serving(struct cell *c, uint64_t index)
{
	const struct lease_conf lc = { c->conf.lease_ms, c->conf.max_transit_ms,
		c->conf.clock_ppm };
	const struct grant_conf gc = { CELL_GRANT_TTL_MS, c->conf.clock_ppm, 1,
		c->conf.freshness_max_ms };
	const struct sched_conf sc = { c->conf.raft.seed ^ c->term, true, true,
		true, 8 };
	struct cell **leader_ctx = talloc(c, struct cell *);
	size_t i;

	if (leader_ctx == NULL)
		abort();
	*leader_ctx = c;
	c->leader_ctx = leader_ctx;
	talloc_set_destructor(leader_ctx, leader_destroy);
	lease_init(&c->lease, &lc);
	idx_init(&c->workers);
	idx_init(&c->starts);
	idx_init(&c->jobs);
	c->grant = grant_new(c->leader_ctx, &gc, c->now);
	grant_set_term(c->grant, c->term, c->grant_fence_term, index);
	c->fence_proposed = false;
	c->sched = sched_new(c->leader_ctx, &sc, c->now);
	c->order_count = 0;
	c->next_housekeeping = c->now;
	c->serving = true;
	ctr_add(&c->ctr, CELL_C_ELECTED, 1);
	for (i = 0; i < st_nworkers(c->st); i++)
		cell_worker_up(c, st_worker_at(c->st, i)->epoch);
	cell_sched_rebuild(c);
}

/*
 * Gives up the leadership: every pending request is answered and the state of
 * the leader is freed.
 */
static void
cell_step_down(struct cell *c)
{
	struct cell_proposal *p;

	c->leading = c->serving = false;
	while ((p = c->batch_first) != NULL) {
		c->batch_first = p->next;
		cell_proposal_fail(c, p, STATUS_NOT_LEADER);
	}
	c->batch_end = &c->batch_first;
	c->nbatch = 0;
	while ((p = c->proposed_first) != NULL) {
		c->proposed_first = p->next;
		cell_proposal_fail(c, p, STATUS_UNKNOWN);
	}
	c->proposed_end = &c->proposed_first;
	TALLOC_FREE(c->assignments);
	if (c->member_op.is_active)
		cell_reply_not_leader(c, c->member_op.caller, STATUS_UNKNOWN);
	c->member_op.is_active = false;
	cell_deferred_refuse(c);
	cell_waiters_refuse(c);
	c->confirm_pending = false;
	TALLOC_FREE(c->leader_ctx);
}

/* Handles a change of the role, term or known leader. */
static void
cell_role_changed(struct cell *c, const struct raft_act *ra)
{
	struct cell_act *a;

	if (c->leading &&
	    (ra->u.role.role != RAFT_LEADER || ra->u.role.term != c->term))
		cell_step_down(c);
	c->term = ra->u.role.term;
	if (ra->u.role.role == RAFT_LEADER)
		c->leading = true;
	a = cell_act_add(c, CELL_ACT_ROLE);
	a->u.role.role = ra->u.role.role;
	a->u.role.term = ra->u.role.term;
	a->u.role.leader_instance = ra->u.role.leader_instance;
}

/* Applies a committed entry and answers its proposer if that waits here. */
static void
cell_apply(struct cell *c, const struct raft_entry *e)
{
	bool proposed_here = c->leading && e->term == c->term;
	const struct st_result *res;
	struct cell_proposal *p = NULL;
	size_t i;

	switch (e->kind) {
	case CONTROL__ENTRY_KIND__ENTRY_DATA:
		/* An empty command fences the grants of earlier terms. */
		if (e->data.len == 0)
			c->grant_fence_term = e->term;
		res = st_apply(c->st, e->index, e->data);
		/* The leader of a term proposes all its records, in order. */
		if (proposed_here && c->proposed_first != NULL) {
			p = c->proposed_first;
			c->proposed_first = p->next;
			if (c->proposed_first == NULL)
				c->proposed_end = &c->proposed_first;
		}
		for (i = 0; c->serving && i < res->neffects; i++)
			cell_effect_apply(c, &res->effects[i]);
		ctr_add(&c->ctr, CELL_C_KEYS_DROPPED, res->keys_dropped);
		if (p != NULL)
			cell_proposal_applied(c, p, res);
		break;
	case CONTROL__ENTRY_KIND__ENTRY_MEMBERS:
		st_skip(c->st, e->index);
		members_apply(c, e->data);
		if (proposed_here)
			cell_member_op_applied(c);
		break;
	default:
		st_skip(c->st, e->index);
		break;
	}
	c->applied_term = e->term;
	if (proposed_here && !c->serving)
		cell_begin_serving(c, e->index);
}

/* Requests that a snapshot be written; takes over data. */
static struct cell_act *
cell_snapshot_write(struct cell *c, uint64_t index, uint64_t term,
    struct str data, const struct raft_member *members, size_t nmembers)
{
	struct cell_act *a = cell_act_add(c, CELL_ACT_SAVE_SNAPSHOT);

	talloc_free((void *)(uintptr_t)c->save_data.p);
	c->save_data = data;
	c->save_index = index;
	c->save_term = term;
	a->u.snapshot.index = index;
	a->u.snapshot.term = term;
	a->u.snapshot.members =
	    raft_members_copy(c->step_ctx, members, nmembers);
	a->u.snapshot.nmembers = nmembers;
	a->u.snapshot.data = data;
	return a;
}

/* Replaces the state by a snapshot received from the leader. */
static enum status
cell_snapshot_load(struct cell *c, const struct raft_act *ra)
{
	struct cell_act *a;
	struct err err;

	if (st_restore(c->st, ra->u.snapshot.data, &err) != STATUS_OK)
		return err.status;
	members_set(c, ra->u.snapshot.members, ra->u.snapshot.nmembers);
	c->applied_term = c->grant_fence_term = ra->u.snapshot.term;
	c->saving_snapshot = false;
	c->loading_snapshot = true;
	a = cell_snapshot_write(c, ra->u.snapshot.index, ra->u.snapshot.term,
	    str_dup(c, ra->u.snapshot.data), ra->u.snapshot.members,
	    ra->u.snapshot.nmembers);
	a->u.snapshot.received = true;
	return STATUS_OK;
}

/* Carries out one action of Raft. */
static enum status
cell_raft_action(struct cell *c, const struct raft_act *ra)
{
	struct cell_act *a;
	size_t i;

	switch (ra->kind) {
	case RAFT_ACT_SEND:
		cell_msg_new(c, ra->u.send.instance)->raft =
		    pb_dup(c->step_ctx, ra->u.send.msg);
		return STATUS_OK;
	case RAFT_ACT_PERSIST:
		a = cell_act_add(c, CELL_ACT_PERSIST);
		a->u.persist = *ra;
		a->u.persist.u.persist.entries = entries_copy(
		    c->step_ctx, ra->u.persist.entries, ra->u.persist.n);
		return STATUS_OK;
	case RAFT_ACT_COMMIT:
		for (i = 0; i < ra->u.commit.n; i++)
			cell_apply(c, &ra->u.commit.entries[i]);
		return STATUS_OK;
	case RAFT_ACT_ROLE:
		cell_role_changed(c, ra);
		return STATUS_OK;
	case RAFT_ACT_LEADERSHIP_CONFIRMED:
		c->confirm_pending = false;
		if (ra->u.confirmed.ok)
			c->confirm_done_id = ra->u.confirmed.id;
		return STATUS_OK;
	case RAFT_ACT_LOAD_SNAPSHOT:
		return cell_snapshot_load(c, ra);
	}
	return STATUS_INVALID;
}

/* Passes an event to Raft and carries out the resulting actions. */
void
cell_raft_step(struct cell *c, const struct raft_ev *ev, enum status *status)
{
	size_t i;

	c->raft_acts.n = 0;
	*status = raft_step(c->raft, c->now, ev, &c->raft_acts);
	for (i = 0; i < c->raft_acts.n; i++) {
		enum status s = cell_raft_action(c, &c->raft_acts.v[i]);

		if (s != STATUS_OK)
			*status = s;
	}
}

/* Takes a snapshot when the log has grown beyond a limit. */
static void
cell_snapshot_if_due(struct cell *c)
{
	uint64_t entries = raft_log_entries(c->raft);
	size_t bytes = raft_log_bytes(c->raft);

	if (c->saving_snapshot || c->loading_snapshot ||
	    st_index(c->st) <= c->save_index ||
	    (entries < c->conf.snapshot_entries &&
		bytes < c->conf.snapshot_bytes))
		return;
	c->saving_snapshot = true;
	ctr_add(&c->ctr, CELL_C_SNAPSHOTS, 1);
	cell_snapshot_write(c, st_index(c->st), c->applied_term,
	    st_snapshot(c->st, c), c->members, c->nmembers);
}

/* Tells Raft that the snapshot is on disk, so that it drops log entries. */
static void
cell_snapshot_saved(struct cell *c, uint64_t index, enum status *status)
{
	struct raft_ev ev = { .kind = RAFT_EV_SNAPSHOT_TAKEN };

	if (index != c->save_index ||
	    (!c->saving_snapshot && !c->loading_snapshot))
		return;
	if (c->loading_snapshot)
		ev.kind = RAFT_EV_SNAPSHOT_LOADED;
	c->saving_snapshot = c->loading_snapshot = false;
	ev.u.snapshot.index = index;
	ev.u.snapshot.term = c->save_term;
	ev.u.snapshot.data = c->save_data;
	cell_raft_step(c, &ev, status);
	talloc_free((void *)(uintptr_t)c->save_data.p);
	c->save_data = str_mem(NULL, 0);
}

/* Handles a message of another instance. */
static enum status
cell_peer_msg(struct cell *c, const Control__PeerMsg *m)
{
	enum status status = STATUS_OK;

	if (m->group != c->conf.group)
		return STATUS_PROTOCOL;
	if (m->raft != NULL) {
		const struct raft_ev ev = { .kind = RAFT_EV_MSG,
			.u.msg = m->raft };

		cell_raft_step(c, &ev, &status);
		/* A message of an older term is normal and ignored. */
		return status == STATUS_CORRUPT ? status : STATUS_OK;
	}
	if (m->beat != NULL)
		cell_handle_heartbeat(c, m->from, m->beat);
	else if (m->forward != NULL)
		cell_handle_op(c,
		    (struct cell_caller){ m->from, m->forward->id },
		    m->forward->op);
	else
		status = STATUS_PROTOCOL;
	return status;
}

/* Passes a TICK to Raft if it is due. */
static void
cell_tick(struct cell *c, enum status *status)
{
	const struct raft_ev ev = { .kind = RAFT_EV_TICK };

	if (!clk_before(c->now, raft_next_tick(c->raft)))
		cell_raft_step(c, &ev, status);
}

/*
 * Runs what is due after an event, then proposes new records and starts
 * confirmations of leadership until nothing is left to do.
 */
static void
cell_process_due(struct cell *c)
{
	if (c->serving) {
		cell_deferred_run(c);
		cell_leases_expire(c);
		cell_run_housekeeping(c);
	}
	for (;;) {
		if (c->serving) {
			cell_sched_tick(c);
			cell_waiters_answer(c);
		}
		if (c->nbatch > 0 || c->assignments != NULL) {
			cell_propose_batch(c);
			continue;
		}
		if (!cell_confirm_leadership(c))
			break;
	}
	cell_snapshot_if_due(c);
}

/*
 * Creates a replica from the state on disk, owned by ctx. Returns NULL and
 * sets STATUS_CORRUPT in err when the snapshot cannot be read.
 */
struct cell *
cell_new(TALLOC_CTX *ctx, const struct cell_conf *conf, struct timespec now,
    struct err *err)
{
	struct cell *c = talloc_zero(ctx, struct cell);
	struct raft_initial_state rc = conf->raft;

	if (c == NULL)
		abort();
	c->conf = *conf;
	c->now = now;
	c->step_ctx = talloc_new(c);
	c->st = st_new(c);
	/* Raft and the scheduler grow the arrays under the parent set here. */
	c->raft_acts.cap = c->sched_acts.cap = CELL_ACTS_INITIAL;
	c->raft_acts.v = talloc_array(c, struct raft_act, c->raft_acts.cap);
	c->sched_acts.v = talloc_array(c, struct sched_act, c->sched_acts.cap);
	if (c->raft_acts.v == NULL || c->sched_acts.v == NULL)
		abort();
	ctr_init(&c->ctr, c, cell_ctr_desc, CELL_C_COUNT);
	c->proposed_end = &c->proposed_first;
	c->batch_end = &c->batch_first;
	c->waiter_end = &c->waiter_first;
	c->deferred_end = &c->deferred_first;
	if (conf->snapshot.len > 0 &&
	    st_restore(c->st, conf->snapshot, err) != STATUS_OK) {
		talloc_free(c);
		return NULL;
	}
	if (st_index(c->st) > rc.snap_index) {
		err_set(err, STATUS_CORRUPT,
		    "snapshot state is newer than the snapshot index on disk");
		talloc_free(c);
		return NULL;
	}
	st_skip(c->st, rc.snap_index);
	/* A snapshot doesn't tell whether its log had fences. */
	c->applied_term = c->grant_fence_term = rc.snap_term;
	c->save_index = rc.snap_index;
	members_set(c, rc.members, rc.nmembers);
	rc.snap_data = conf->snapshot;
	c->raft = raft_new(c, &rc, now);
	/* Copied above; the caller may free its memory. */
	c->conf.snapshot = str_mem(NULL, 0);
	c->conf.raft.members = NULL;
	c->conf.raft.entries = NULL;
	return c;
}

/*
 * Handles one event at time now and appends the resulting actions, which are
 * valid until the next step. Returns STATUS_PROTOCOL for a message that isn't
 * for a cell of this group, and STATUS_CORRUPT when a received snapshot cannot
 * be read, after which the replica must stop.
 */
enum status
cell_step(struct cell *c, struct timespec now, const struct cell_ev *ev,
    struct cell_acts *acts)
{
	enum status status = STATUS_OK;
	struct raft_ev re;

	talloc_free_children(c->step_ctx);
	c->acts = acts;
	c->now = now;
	c->wall_ms = ev->wall_ms;
	switch (ev->kind) {
	case CELL_EV_TICK:
		cell_tick(c, &status);
		break;
	case CELL_EV_PEER:
		status = cell_peer_msg(c, ev->u.peer);
		break;
	case CELL_EV_OP:
		cell_handle_op(c,
		    (struct cell_caller){ c->conf.instance, ev->u.op.id },
		    ev->u.op.op);
		break;
	case CELL_EV_SYNCED:
		re = (struct raft_ev){ .kind = RAFT_EV_SYNCED };
		re.u.synced = ev->u.synced;
		cell_raft_step(c, &re, &status);
		break;
	case CELL_EV_SNAPSHOT_SAVED:
		cell_snapshot_saved(c, ev->u.saved_index, &status);
		break;
	case CELL_EV_TRANSFER:
		re = (struct raft_ev){ .kind = RAFT_EV_TRANSFER };
		cell_raft_step(c, &re, &status);
		break;
	}
	cell_process_due(c);
	c->acts = NULL;
	return status;
}

/* Returns the earlier of two times. */
static struct timespec
earlier_time(struct timespec a, struct timespec b)
{
	return clk_before(b, a) ? b : a;
}

/* Returns the time at which the next TICK is due. */
struct timespec
cell_next_tick(const struct cell *c)
{
	struct timespec t = raft_next_tick(c->raft);

	if (!c->serving)
		return t;
	t = earlier_time(t, lease_next_expiry_time(&c->lease));
	t = earlier_time(t, sched_next_tick(c->sched));
	return earlier_time(t, c->next_housekeeping);
}

/* Returns the counters of this replica. */
const struct ctr_set *
cell_counters(const struct cell *c)
{
	return &c->ctr;
}
