#include <stdlib.h>
#include <string.h>

#include "control/cell_impl.h"
#include "control/pb.h"
#include "request/lat.h"

/* Returns what the leader knows of an instance, or NULL. */
struct cell_inst *
cell_inst(struct cell *c, uint32_t instance)
{
	size_t i;

	for (i = 0; i < c->ninsts; i++) {
		if (c->insts[i]->instance == instance)
			return c->insts[i];
	}
	return NULL;
}

static struct cell_inst *
inst_add(struct cell *c, uint32_t instance)
{
	struct cell_inst *n = talloc_zero(c->lead, struct cell_inst);
	size_t i = c->ninsts;

	c->insts = talloc_realloc(
	    c->lead, c->insts, struct cell_inst *, c->ninsts + 1);
	if (n == NULL || c->insts == NULL)
		abort();
	n->instance = instance;
	for (; i > 0 && c->insts[i - 1]->instance > instance; i--)
		c->insts[i] = c->insts[i - 1];
	c->insts[i] = n;
	c->ninsts++;
	return n;
}

static const Control__Class *
beat_class(const struct cell *c, const char *name)
{
	const Control__Config *k = st_config(c->st);
	size_t i;

	for (i = 0; i < k->n_classes; i++) {
		if (strcmp(k->classes[i]->name, name) == 0)
			return k->classes[i];
	}
	return NULL;
}

static void
feed_latency(struct cell *c, const Control__Latency *l)
{
	const Control__Class *k = beat_class(c, l->class_name);
	size_t i, n = l->n_bucket < l->n_count ? l->n_bucket : l->n_count;
	struct sched_ev ev = { .kind = SCHED_EV_LATENCY };
	double sum_ms = 0;
	struct lat all;

	if (k == NULL || cell_worker(c, l->epoch) == NULL)
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
	cell_sched(c, &ev);
}

static void
beat_refuse(struct cell *c, uint32_t from, const Control__Beat *b)
{
	Control__BeatReply *r = talloc(c->step, Control__BeatReply);

	if (r == NULL)
		abort();
	control__beat_reply__init(r);
	r->seq = b->seq;
	r->term = cell_named_term(c);
	r->leader = raft_leader_instance(c->raft);
	r->has_not_leader = 1;
	r->not_leader = 1;
	cell_msg(c, from)->beat_reply = r;
}

/*
 * Takes a heartbeat in. It is answered once leadership is proven; of several
 * that wait for proof, only the newest one of an instance is.
 */
void
cell_beat(struct cell *c, uint32_t from, const Control__Beat *b)
{
	struct cell_inst *n;
	size_t i;

	if (!c->serving) {
		if (!cell_hold(c, (struct cell_from){ from, 0 }, NULL, b))
			beat_refuse(c, from, b);
		return;
	}
	ctr_add(&c->ctr, CELL_C_BEATS, 1);
	n = cell_inst(c, from);
	if (n == NULL)
		n = inst_add(c, from);
	if (n->beat != NULL && n->incarnation == b->incarnation &&
	    b->seq <= n->beat->seq) {
		ctr_add(&c->ctr, CELL_C_BEATS_OLD, 1);
		return;
	}
	n->incarnation = b->incarnation;
	n->heard = c->now;
	talloc_free(n->beat);
	n->beat = pb_dup(n, b);
	for (i = 0; i < b->n_latency; i++)
		feed_latency(c, b->latency[i]);
	if (n->waiting)
		return;
	n->waiting = true;
	cell_wait(c, CELL_WAIT_BEAT, (struct cell_from){ from, 0 });
}

static void
reply_workers(struct cell *c, const Control__Beat *b, Control__BeatReply *r)
{
	uint64_t version = st_worker_version(c->st), *gone;
	bool full = b->worker_version == 0;
	size_t i, n;

	r->has_worker_version = 1;
	r->worker_version = version;
	if (b->worker_version == version && !full)
		return;
	if (!full &&
	    st_workers_gone(c->st, b->worker_version, c->step, &gone, &n)) {
		r->workers_gone = gone;
		r->n_workers_gone = n;
	} else {
		full = true;
		r->has_workers_full = 1;
		r->workers_full = 1;
	}
	n = st_nworkers(c->st);
	r->workers = talloc_array(c->step, Control__WorkerInfo *, n);
	if (r->workers == NULL)
		abort();
	for (i = 0; i < n; i++) {
		const struct st_worker *w = st_worker_at(c->st, i);

		if (full || w->changed > b->worker_version)
			r->workers[r->n_workers++] =
			    cell_worker_info(c, w, false);
	}
}

/* Answers the newest heartbeat of an instance: leadership is proven. */
void
cell_beat_answer(struct cell *c, uint32_t instance)
{
	Control__BeatReply *r = talloc(c->step, Control__BeatReply);
	struct cell_inst *n = cell_inst(c, instance);
	const Control__Config *k = st_config(c->st);

	if (r == NULL)
		abort();
	n->waiting = false;
	control__beat_reply__init(r);
	r->seq = n->beat->seq;
	r->term = c->term;
	r->leader = c->conf.instance;
	r->config_version = k->version;
	if (k->version > n->beat->config_version)
		r->config = pb_dup(c->step, k);
	reply_workers(c, n->beat, r);
	grant_beat(c->grant, c->now, n->beat, c->step, r);
	cell_msg(c, instance)->beat_reply = r;
}

static bool
beat_recent(const struct cell *c, const struct cell_inst *n)
{
	return clk_diff_ms(c->now, n->heard) < CELL_BEAT_RECENT_MS;
}

/* Whether a member can still count: its instance has no newer directory. */
static bool
member_counts(struct cell *c, const struct raft_member *m)
{
	const struct cell_inst *n = cell_inst(c, m->instance);
	bool recent = n != NULL && beat_recent(c, n);

	if (m->replica == c->conf.raft.replica)
		return true;
	if (recent && n->beat->has_replica && n->beat->replica != m->replica)
		return false;
	return m->voter || recent;
}

static size_t
domain_members(const struct raft_member *v, size_t n, struct str domain)
{
	size_t i, count = 0;

	for (i = 0; i < n; i++)
		count += str_eq(v[i].domain, domain);
	return count;
}

/*
 * Adds a replica while the group has too few: of the instances with a data
 * directory, one whose failure domain holds the fewest members.
 */
static void
member_check(struct cell *c)
{
	struct raft_ev ev = { .kind = RAFT_EV_MEMBER_ADD };
	const struct raft_member *v;
	size_t n = raft_members(c->raft, &v), i, j, counting = 0;
	size_t best_members = SIZE_MAX;
	enum status status;

	for (i = 0; i < n; i++)
		counting += member_counts(c, &v[i]);
	if (counting >= c->conf.replicas || c->member_op.active)
		return;
	for (i = 0; i < c->ninsts; i++) {
		const struct cell_inst *in = c->insts[i];
		struct str domain = str_from(in->beat->domain);
		size_t in_domain = domain_members(v, n, domain);

		if (!in->beat->has_replica || in->beat->replica == 0 ||
		    in->beat->draining || !beat_recent(c, in) ||
		    in_domain >= best_members)
			continue;
		for (j = 0; j < n && v[j].replica != in->beat->replica; j++)
			;
		if (j < n)
			continue;
		best_members = in_domain;
		ev.u.member.replica = in->beat->replica;
		ev.u.member.instance = in->instance;
		ev.u.member.domain = domain;
	}
	if (best_members == SIZE_MAX)
		return;
	cell_raft(c, &ev, &status);
	if (status == STATUS_OK)
		ctr_add(&c->ctr, CELL_C_MEMBERS_ADDED, 1);
}

static void
key_check(struct cell *c)
{
	const struct st_key *k = st_key_first(c->st);
	int64_t cutoff = c->wall_ms - c->conf.key_retention_ms;
	Control__Command *cmd;

	if (k == NULL || (int64_t)k->changed_ms > cutoff)
		return;
	cmd = cell_command(c);
	cmd->has_key_expire = cmd->has_key_cutoff_ms = 1;
	cmd->key_expire = 1;
	cmd->key_cutoff_ms = (uint64_t)cutoff;
	cell_propose(c, CELL_PEND_INTERNAL, cmd);
}

/* Does the leader's periodic work: expired keys, replicas to add. */
void
cell_housekeeping(struct cell *c)
{
	if (clk_before(c->now, c->housekeeping))
		return;
	c->housekeeping = clk_add_ms(c->now, CELL_HOUSEKEEPING_MS);
	key_check(c);
	member_check(c);
}
