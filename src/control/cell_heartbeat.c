#include <stdlib.h>
#include <string.h>

#include "control/cell_impl.h"
#include "control/pb.h"
#include "request/lat.h"

/* Returns the leader's entry of an instance, or NULL if it sent nothing. */
struct cell_instance *
cell_instance_find(struct cell *c, uint32_t instance)
{
	size_t i;

	for (i = 0; i < c->ninstances; i++) {
		if (c->instances[i]->instance == instance)
			return c->instances[i];
	}
	return NULL;
}

/* Adds an instance to the list, which is sorted by number. */
static struct cell_instance *
instance_add(struct cell *c, uint32_t instance)
{
	struct cell_instance *n =
	    talloc_zero(c->leader_ctx, struct cell_instance);
	size_t i = c->ninstances;

	c->instances = talloc_realloc(c->leader_ctx, c->instances,
	    struct cell_instance *, c->ninstances + 1);
	if (n == NULL || c->instances == NULL)
		abort();
	n->instance = instance;
	for (; i > 0 && c->instances[i - 1]->instance > instance; i--)
		c->instances[i] = c->instances[i - 1];
	c->instances[i] = n;
	c->ninstances++;
	return n;
}

/* Returns the configuration of a class, or NULL. */
static const Control__Class *
class_find(const struct cell *c, const char *name)
{
	const Control__Config *k = st_config(c->st);
	size_t i;

	for (i = 0; i < k->n_classes; i++) {
		if (strcmp(k->classes[i]->name, name) == 0)
			return k->classes[i];
	}
	return NULL;
}

/* Passes the answer times of one worker and class to the scheduler. */
static void
report_latency(struct cell *c, const Control__Latency *l)
{
	const Control__Class *k = class_find(c, l->class_name);
	size_t i, n = l->n_bucket < l->n_count ? l->n_bucket : l->n_count;
	struct sched_ev ev = { .kind = SCHED_EV_LATENCY };
	double sum_ms = 0;
	struct lat all;

	if (k == NULL || cell_worker_find(c, l->epoch) == NULL)
		return;
	lat_init(&all);
	ev.u.latency.epoch = l->epoch;
	ev.u.latency.class_name = str_from(l->class_name);
	for (i = 0; i < n; i++) {
		double ms;

		if (l->bucket[i] >= LAT_BUCKETS)
			continue;
		ms = (double)lat_bucket_us(l->bucket[i]) / 1000;
		lat_add_bucket(&all, l->bucket[i], l->count[i]);
		sum_ms += ms * l->count[i];
		ev.u.latency.count += l->count[i];
		if (k->bound_ms > 0 && ms > k->bound_ms)
			ev.u.latency.late += l->count[i];
	}
	if (ev.u.latency.count == 0)
		return;
	ev.u.latency.mean_ms = sum_ms / ev.u.latency.count;
	ev.u.latency.high_ms =
	    (double)lat_quantile(&all,
		k->percentile_x10 > 0 ? k->percentile_x10 / 1000.0 : 0.5) /
	    1000;
	cell_sched_step(c, &ev);
}

/* Answers a heartbeat with NOT_LEADER. */
static void
heartbeat_refuse(struct cell *c, uint32_t instance, const Control__Beat *b)
{
	Control__BeatReply *r = talloc(c->step_ctx, Control__BeatReply);

	if (r == NULL)
		abort();
	control__beat_reply__init(r);
	r->seq = b->seq;
	r->term = cell_refusal_term(c);
	r->leader = raft_leader_instance(c->raft);
	r->has_not_leader = 1;
	r->not_leader = 1;
	cell_msg_new(c, instance)->beat_reply = r;
}

/*
 * Handles a heartbeat of an instance. It is answered once leadership is
 * confirmed; of several heartbeats of one instance, only the newest is.
 */
void
cell_handle_heartbeat(struct cell *c, uint32_t instance, const Control__Beat *b)
{
	struct cell_instance *n;
	size_t i;

	if (!c->serving) {
		if (!cell_defer(
			c, (struct cell_caller){ instance, 0 }, NULL, b))
			heartbeat_refuse(c, instance, b);
		return;
	}
	ctr_add(&c->ctr, CELL_C_HEARTBEATS, 1);
	n = cell_instance_find(c, instance);
	if (n == NULL)
		n = instance_add(c, instance);
	if (n->heartbeat != NULL && n->incarnation == b->incarnation &&
	    b->seq <= n->heartbeat->seq) {
		ctr_add(&c->ctr, CELL_C_HEARTBEATS_OLD, 1);
		return;
	}
	n->incarnation = b->incarnation;
	n->last_heartbeat = c->now;
	talloc_free(n->heartbeat);
	n->heartbeat = pb_dup(n, b);
	for (i = 0; i < b->n_latency; i++)
		report_latency(c, b->latency[i]);
	if (n->reply_pending)
		return;
	n->reply_pending = true;
	cell_waiter_add(
	    c, CELL_WAITER_HEARTBEAT, (struct cell_caller){ instance, 0 });
}

/* Adds the worker table, or its changes since the instance's version. */
static void
reply_add_workers(struct cell *c, const Control__Beat *b, Control__BeatReply *r)
{
	uint64_t version = st_worker_version(c->st), *ended;
	bool full = b->worker_version == 0;
	size_t i, n;

	r->has_worker_version = 1;
	r->worker_version = version;
	if (b->worker_version == version && !full)
		return;
	if (!full &&
	    st_epochs_ended_since(
		c->st, b->worker_version, c->step_ctx, &ended, &n)) {
		r->workers_gone = ended;
		r->n_workers_gone = n;
	} else {
		full = true;
		r->has_workers_full = 1;
		r->workers_full = 1;
	}
	n = st_nworkers(c->st);
	r->workers = talloc_array(c->step_ctx, Control__WorkerInfo *, n);
	if (r->workers == NULL)
		abort();
	for (i = 0; i < n; i++) {
		const struct st_worker *w = st_worker_at(c->st, i);

		if (full || w->changed_index > b->worker_version)
			r->workers[r->n_workers++] =
			    cell_worker_info(c, w, false);
	}
}

/* Answers the newest heartbeat of an instance; leadership is confirmed. */
void
cell_heartbeat_answer(struct cell *c, uint32_t instance)
{
	Control__BeatReply *r = talloc(c->step_ctx, Control__BeatReply);
	struct cell_instance *n = cell_instance_find(c, instance);
	const Control__Config *k = st_config(c->st);

	if (r == NULL)
		abort();
	n->reply_pending = false;
	control__beat_reply__init(r);
	r->seq = n->heartbeat->seq;
	r->term = c->term;
	r->leader = c->conf.instance;
	r->config_version = k->version;
	if (k->version > n->heartbeat->config_version)
		r->config = pb_dup(c->step_ctx, k);
	reply_add_workers(c, n->heartbeat, r);
	grant_handle_heartbeat(c->grant, c->now, n->heartbeat, c->step_ctx, r);
	cell_msg_new(c, instance)->beat_reply = r;
}

/* Returns whether the last heartbeat of an instance is recent. */
static bool
instance_is_recent(const struct cell *c, const struct cell_instance *n)
{
	return clk_diff_ms(c->now, n->last_heartbeat) <
	    CELL_HEARTBEAT_RECENT_MS;
}

/*
 * Returns whether a member is still of use: its instance hasn't replaced its
 * data directory, and a learner must have sent a heartbeat lately.
 */
static bool
member_is_usable(struct cell *c, const struct raft_member *m)
{
	const struct cell_instance *n = cell_instance_find(c, m->instance);
	bool recent = n != NULL && instance_is_recent(c, n);

	if (m->replica == c->conf.raft.replica)
		return true;
	if (recent && n->heartbeat->has_replica &&
	    n->heartbeat->replica != m->replica)
		return false;
	return m->voter || recent;
}

/* Returns how many members are in a failure domain. */
static size_t
count_domain_members(const struct raft_member *v, size_t n, struct str domain)
{
	size_t i, count = 0;

	for (i = 0; i < n; i++)
		count += str_eq(v[i].domain, domain);
	return count;
}

/*
 * Adds a replica while the group has too few. Among the instances with a data
 * directory, it takes one whose failure domain holds the fewest members.
 */
static void
add_missing_replica(struct cell *c)
{
	struct raft_ev ev = { .kind = RAFT_EV_MEMBER_ADD };
	const struct raft_member *v;
	size_t n = raft_members(c->raft, &v), i, j, usable = 0;
	size_t best_members = SIZE_MAX;
	enum status status;

	for (i = 0; i < n; i++)
		usable += member_is_usable(c, &v[i]);
	if (usable >= c->conf.replicas || c->member_op.is_active)
		return;
	for (i = 0; i < c->ninstances; i++) {
		const struct cell_instance *in = c->instances[i];
		struct str domain = str_from(in->heartbeat->domain);
		size_t in_domain = count_domain_members(v, n, domain);

		if (!in->heartbeat->has_replica ||
		    in->heartbeat->replica == 0 || in->heartbeat->draining ||
		    !instance_is_recent(c, in) || in_domain >= best_members)
			continue;
		for (j = 0; j < n && v[j].replica != in->heartbeat->replica;
		     j++)
			;
		if (j < n)
			continue;
		best_members = in_domain;
		ev.u.member.replica = in->heartbeat->replica;
		ev.u.member.instance = in->instance;
		ev.u.member.domain = domain;
	}
	if (best_members == SIZE_MAX)
		return;
	cell_raft_step(c, &ev, &status);
	if (status == STATUS_OK)
		ctr_add(&c->ctr, CELL_C_MEMBERS_ADDED, 1);
}

/* Proposes to drop idempotency records that are past their retention. */
static void
expire_keys(struct cell *c)
{
	const struct st_key *k = st_key_first(c->st);
	int64_t cutoff = c->wall_ms - c->conf.key_retention_ms;
	Control__Command *cmd;

	if (k == NULL || (int64_t)k->changed_ms > cutoff)
		return;
	cmd = cell_command_new(c);
	cmd->has_key_expire = cmd->has_key_cutoff_ms = 1;
	cmd->key_expire = 1;
	cmd->key_cutoff_ms = (uint64_t)cutoff;
	cell_propose(c, CELL_PROPOSAL_INTERNAL, cmd);
}

/* Runs the leader's periodic checks when they are due. */
void
cell_run_housekeeping(struct cell *c)
{
	if (clk_before(c->now, c->next_housekeeping))
		return;
	c->next_housekeeping = clk_add_ms(c->now, CELL_HOUSEKEEPING_MS);
	expire_keys(c);
	add_missing_replica(c);
}
