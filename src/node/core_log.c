#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "node/core_impl.h"
#include "node/nctr.h"

/* The replicated log: proposals, applied entries, snapshots and membership. */

/* Tells whether a replica is in the applied member list. */
bool
core_has_member(const struct core *c, uint64_t replica)
{
	size_t i;

	for (i = 0; i < c->nmembers; i++) {
		if (c->members[i].replica == replica)
			return true;
	}
	return false;
}

/* Replaces the member list and connects to the new members. */
static void
set_members(struct core *c, const struct raft_member *v, size_t n)
{
	size_t i;

	talloc_free(c->members);
	c->members = raft_members_copy(c, v, n);
	c->nmembers = n;
	for (i = 0; i < n; i++) {
		mesh_connect(c->mesh, v[i].instance);
		caller_add_members(mesh_caller(c->mesh), &v[i].instance, 1);
	}
}

/* Logs the members that a new list lacks. */
static void
log_removed_members(const struct core *c, const struct raft_member *v, size_t n)
{
	size_t i, k;

	for (i = 0; i < c->nmembers; i++) {
		for (k = 0; k < n && v[k].replica != c->members[i].replica; k++)
			;
		if (k == n)
			log_event(LOG_NOTICE, "core",
			    "event=member_remove replica=%016" PRIx64
			    " instance=%u",
			    c->members[i].replica, c->members[i].instance);
	}
}

/* Applies a committed member list. */
static void
apply_members(struct core *c, struct str data)
{
	Control__Members *m =
	    control__members__unpack(NULL, data.len, (const uint8_t *)data.p);
	struct raft_member *v;
	size_t i;

	if (m == NULL)
		return;
	v = talloc_zero_array(c, struct raft_member, m->n_members + 1);
	if (v == NULL)
		abort();
	for (i = 0; i < m->n_members; i++) {
		v[i].replica = m->members[i]->replica;
		v[i].instance = m->members[i]->instance;
		v[i].voter = m->members[i]->voter;
		v[i].domain = str_from(m->members[i]->domain);
		log_event(LOG_NOTICE, "core",
		    "event=member index=%" PRIu64 " replica=%016" PRIx64
		    " instance=%u voter=%d",
		    c->applied, v[i].replica, v[i].instance, v[i].voter);
	}
	log_removed_members(c, v, m->n_members);
	set_members(c, v, m->n_members);
	talloc_free(v);
	control__members__free_unpacked(m, NULL);
}

/* Removes the entry at index from those in flight; returns NULL if it was
 * proposed by another leader. The caller frees it. */
static struct core_inflight *
take_inflight(struct core *c, uint64_t index)
{
	struct core_inflight *f = c->inflight;

	if (f == NULL || f->index != index)
		return NULL;
	c->inflight = f->next;
	if (c->inflight == NULL)
		c->inflight_tail = &c->inflight;
	return f;
}

/* Answers all callers whose commands are not committed yet. */
static void
fail_inflight(struct core *c)
{
	struct core_inflight *f;
	size_t i;

	while ((f = c->inflight) != NULL) {
		c->inflight = f->next;
		for (i = 0; i < f->nwaiters; i++)
			core_fail_waiter(
			    c, &f->waiters[i], JOB__OUTCOME__NOT_LEADER);
		free(f);
	}
	c->inflight_tail = &c->inflight;
}

/* Records the durations that end with a committed command: from proposal to
 * commit, from submission to first start and to completion. */
static void
record_latency(struct core *c, const struct core_waiter *w,
    const Job__Command *cmd, const struct jst_result *r, struct timespec now,
    int64_t wall)
{
	if (w != NULL)
		hist_add(&c->commit_ms, clk_diff_ms(now, w->since));
	if (cmd->begun != NULL && r->status == STATUS_OK)
		hist_add(&c->first_start_ms, wall - r->job->submitted_ms);
	if (r->job_ended && r->job->state == JST_COMPLETED)
		hist_add(&c->complete_ms, wall - r->job->submitted_ms);
}

/* Applies the commands of a committed entry and answers their callers. */
static void
apply_batch(struct core *c, const struct raft_entry *en)
{
	Job__Batch *b =
	    job__batch__unpack(NULL, en->data.len, (const uint8_t *)en->data.p);
	struct core_inflight *f = take_inflight(c, en->index);
	struct timespec now = mesh_now(c->mesh);
	int64_t wall = mesh_wall_ms(c->mesh);
	struct jst_result r;
	size_t i;

	for (i = 0; b != NULL && i < b->n_commands; i++) {
		jlead_apply(&c->jl, now, wall, b->commands[i], &r);
		if (c->leading)
			record_latency(c, f == NULL ? NULL : &f->waiters[i],
			    b->commands[i], &r, now, wall);
		if (f != NULL && i < f->nwaiters)
			core_on_applied(c, &f->waiters[i], b->commands[i], &r);
		if (b->commands[i]->gone != NULL)
			core_answer_leaves(
			    c, b->commands[i]->gone->num, JOB__OUTCOME__OK);
	}
	if (b == NULL)
		log_event(LOG_CRIT, "core", "event=bad_record index=%" PRIu64,
		    en->index);
	else
		job__batch__free_unpacked(b, NULL);
	free(f);
}

/* Applies a committed entry. A leader takes over with the first entry of its
 * own term, as all earlier ones are applied by then. */
static void
apply_entry(struct core *c, const struct raft_entry *en)
{
	c->applied = en->index;
	c->applied_term = en->term;
	if (en->kind == CONTROL__ENTRY_KIND__ENTRY_DATA)
		apply_batch(c, en);
	else if (en->kind == CONTROL__ENTRY_KIND__ENTRY_MEMBERS)
		apply_members(c, en->data);
	if (c->role == RAFT_LEADER && !c->leading && en->term == c->term) {
		c->leading = true;
		c->limits_at = mesh_now(c->mesh);
		jlead_begin(
		    &c->jl, mesh_now(c->mesh), mesh_wall_ms(c->mesh), c->term);
	}
}

/* Drops the state that only a leader has; callers that wait are sent to the
 * next one. */
void
core_stop_leading(struct core *c)
{
	c->leading = false;
	jlead_stop(&c->jl);
	relay_drop_calls(c->relay);
	if (c->cloud != NULL)
		cloud_drop(c->cloud);
	if (c->advice != NULL)
		advice_drop(c->advice);
	fail_inflight(c);
	core_fail_reads(c);
	core_answer_leaves(c, 0, JOB__OUTCOME__NOT_LEADER);
}

/* Handles a change of role, term or leader. */
static void
on_role(struct core *c, const struct raft_act *a)
{
	bool led = c->role == RAFT_LEADER;

	c->role = a->u.role.role;
	c->leader = a->u.role.leader_instance;
	log_event(LOG_NOTICE, "core",
	    "event=role role=%d term=%" PRIu64 " leader=%u index=%" PRIu64
	    " commit=%" PRIu64 " last=%" PRIu64 " snapshot=%" PRIu64,
	    c->role, a->u.role.term, c->leader, c->applied,
	    raft_commit_index(c->raft), raft_last_index(c->raft),
	    c->snapshot_index);
	if (led && (c->role != RAFT_LEADER || a->u.role.term != c->term))
		core_stop_leading(c);
	c->term = a->u.role.term;
	relay_on_leader(c->relay, c->term);
}

/* Replaces the state by a snapshot from the leader and queues it for the
 * disk. */
static void
load_snapshot(struct core *c, const struct raft_act *a)
{
	struct wal_snapshot s = { a->u.snapshot.index, a->u.snapshot.term,
		a->u.snapshot.members, a->u.snapshot.nmembers,
		a->u.snapshot.data };
	struct err e;

	err_clear(&e);
	if (jst_unpack(&c->st, s.data, &e) != STATUS_OK) {
		core_disk_failed(c, &e);
		return;
	}
	log_event(LOG_NOTICE, "core",
	    "event=snapshot_loaded index=%" PRIu64 " bytes=%zu before=%" PRIu64
	    " last=%" PRIu64,
	    s.index, s.data.len, c->applied, raft_last_index(c->raft));
	jevac_reset(&c->jl.evac, clk_ns(mesh_now(c->mesh)) / CLK_NS_PER_MS);
	c->applied = s.index;
	c->applied_term = s.term;
	set_members(c, s.members, s.nmembers);
	c->snapshot_index = s.index;
	c->snapshot_term = s.term;
	/* Raft keeps the data until it is told that the snapshot is loaded. */
	c->loading_snapshot = true;
	dsync_snapshot(c->dsync, &s, true);
}

/* Carries out one action of raft. */
static void
run_action(struct core *c, const struct raft_act *a)
{
	size_t i;

	switch (a->kind) {
	case RAFT_ACT_SEND:
		mesh_send_raft(c->mesh, a->u.send.instance, a->u.send.msg);
		break;
	case RAFT_ACT_PERSIST:
		dsync_persist(c->dsync, a);
		break;
	case RAFT_ACT_COMMIT:
		for (i = 0; i < a->u.commit.n; i++)
			apply_entry(c, &a->u.commit.entries[i]);
		core_flush_later(c);
		break;
	case RAFT_ACT_ROLE:
		on_role(c, a);
		break;
	case RAFT_ACT_LEADERSHIP_CONFIRMED:
		c->confirming = false;
		c->confirm_ok = a->u.confirmed.ok;
		if (c->confirm_ok)
			c->confirmed_read = a->u.confirmed.id;
		core_flush_later(c);
		break;
	case RAFT_ACT_LOAD_SNAPSHOT:
		load_snapshot(c, a);
		break;
	}
}

/*
 * Passes an event to raft and carries out the actions that it asks for. Actions
 * are only valid until the next step, so nothing called from here may call
 * core_step.
 */
void
core_step(struct core *c, const struct raft_ev *ev)
{
	size_t i;

	if (c->disk_failed)
		return;
	c->acts.n = 0;
	raft_step(c->raft, mesh_now(c->mesh), ev, &c->acts);
	for (i = 0; i < c->acts.n && !c->disk_failed; i++)
		run_action(c, &c->acts.v[i]);
}

/* Packs the commands of the next entry, in a buffer that the caller frees. The
 * commands stay queued. */
static uint8_t *
pack_batch(struct core *c, struct core_inflight **flight, size_t *len)
{
	struct core_cmd *k;
	size_t n = 0, bytes = 0, i;
	uint8_t *buf, *p;
	size_t v;

	for (k = c->cmds; k != NULL; k = k->next) {
		if (n > 0 && bytes + k->len > CORE_BATCH_MAX_BYTES)
			break;
		bytes += k->len + CORE_COMMAND_OVERHEAD_BYTES;
		n++;
	}
	buf = p = calloc(1, bytes);
	*flight = calloc(1, sizeof(**flight) + n * sizeof(struct core_waiter));
	if (buf == NULL || *flight == NULL)
		abort();
	(*flight)->nwaiters = n;
	for (i = 0, k = c->cmds; i < n; i++, k = k->next) {
		/* Field 1 of a Batch, length-delimited: packing it here saves
		 * unpacking each command first. */
		*p++ = 1 << 3 | 2;
		for (v = k->len; v >= 0x80; v >>= 7)
			*p++ = (uint8_t)(v | 0x80);
		*p++ = (uint8_t)v;
		memcpy(p, k->data, k->len);
		p += k->len;
		(*flight)->waiters[i] = k->waiter;
	}
	*len = (size_t)(p - buf);
	return buf;
}

/* Releases the first n queued commands. */
static void
drop_commands(struct core *c, size_t n)
{
	while (n-- > 0) {
		struct core_cmd *k = c->cmds;

		c->cmds = k->next;
		c->own_bytes -= k->bytes == 0 ? k->len : 0;
		memacct_shrink(c->account, &c->calls_held, k->bytes);
		free(k);
		c->ncmds--;
	}
	if (c->cmds == NULL)
		c->cmds_tail = &c->cmds;
}

/* Removes an entry that raft did not accept. */
static void
undo_inflight(struct core *c, struct core_inflight *f)
{
	struct core_inflight **p;

	for (p = &c->inflight; *p != NULL && *p != f; p = &(*p)->next)
		;
	if (*p == NULL)
		return;
	*p = NULL;
	c->inflight_tail = p;
	free(f);
}

/*
 * Proposes the queued commands. While raft accepts none, during a transfer of
 * leadership or with too much uncommitted, they stay queued until the next
 * tick.
 */
static bool
propose_batch(struct core *c)
{
	struct raft_ev ev = { .kind = RAFT_EV_PROPOSE };
	struct core_inflight *f;
	struct str data;
	size_t len, n;
	uint8_t *buf = pack_batch(c, &f, &len);
	uint64_t before = raft_last_index(c->raft);
	uint64_t term = c->term;

	data = str_mem(buf, len);
	ev.u.propose.data = &data;
	ev.u.propose.n = 1;
	f->index = before + 1;
	n = f->nwaiters;
	/* Queued before the step: a group of one commits within it. */
	*c->inflight_tail = f;
	c->inflight_tail = &f->next;
	core_step(c, &ev);
	free(buf);
	if (raft_last_index(c->raft) > before) {
		drop_commands(c, n);
		return true;
	}
	if (c->term == term && c->role == RAFT_LEADER)
		undo_inflight(c, f);
	c->propose_blocked = true;
	return false;
}

/* Starts to confirm that this replica still leads, for all reads that are
 * queued. */
static void
start_confirm(struct core *c)
{
	struct raft_ev ev = { .kind = RAFT_EV_CONFIRM_LEADERSHIP };

	c->confirming = true;
	ev.u.confirm = c->last_read;
	core_step(c, &ev);
}

/* Takes a snapshot once the log is long, so that the log can be dropped up to
 * it. */
static void
maybe_take_snapshot(struct core *c)
{
	struct wal_snapshot s;

	if (c->disk_failed || c->saving_snapshot || c->loading_snapshot ||
	    c->applied <= c->snapshot_index ||
	    (raft_log_entries(c->raft) < CORE_SNAPSHOT_ENTRIES &&
		raft_log_bytes(c->raft) < c->log_max_bytes))
		return;
	memset(&s, 0, sizeof(s));
	s.index = c->snapshot_index = c->applied;
	s.term = c->snapshot_term = c->applied_term;
	s.members = c->members;
	s.nmembers = c->nmembers;
	s.data = c->snapshot_data = jst_pack(&c->st, c);
	c->saving_snapshot = true;
	log_event(LOG_INFO, "core",
	    "event=snapshot index=%" PRIu64 " bytes=%zu", s.index, s.data.len);
	dsync_snapshot(c->dsync, &s, false);
}

/* Tells whether the log has no room: snapshots that would shorten it don't
 * reach the disk. */
static bool
is_log_full(const struct core *c)
{
	return raft_log_bytes(c->raft) >
	    CORE_LOG_FULL_FACTOR * c->log_max_bytes;
}

/* Proposes queued commands, or fails them if another replica leads; starts the
 * confirmation of reads. Returns true if anything was done. */
bool
core_log_flush(struct core *c)
{
	if (c->cmds != NULL && c->role == RAFT_LEADER && !c->propose_blocked &&
	    !is_log_full(c) && propose_batch(c))
		return true;
	if (c->cmds != NULL && c->role != RAFT_LEADER) {
		while (c->cmds != NULL) {
			struct core_cmd *k = c->cmds;

			c->cmds = k->next;
			core_fail_waiter(
			    c, &k->waiter, JOB__OUTCOME__NOT_LEADER);
			memacct_shrink(c->account, &c->calls_held, k->bytes);
			free(k);
		}
		c->cmds_tail = &c->cmds;
		c->ncmds = 0;
		c->own_bytes = 0;
		return true;
	}
	if (c->reads != NULL && c->leading && !c->confirming &&
	    c->reads->id > c->confirmed_read) {
		start_confirm(c);
		return true;
	}
	maybe_take_snapshot(c);
	return false;
}

/* ---- members ---- */

/* Asks the leader, or all seeds if it is unknown, to be added to the group, or
 * removed from it. */
static void
send_join(struct core *c, bool leaving)
{
	Job__Msg m = JOB__MSG__INIT;
	Job__Join j = JOB__JOIN__INIT;
	size_t i;

	j.replica = c->replica;
	j.instance = c->inst->instance;
	j.has_leaving = leaving;
	j.leaving = leaving;
	m.join = &j;
	if (caller_leader(mesh_caller(c->mesh)) != 0) {
		mesh_send(c->mesh, caller_leader(mesh_caller(c->mesh)), &m);
		return;
	}
	for (i = 0; i < c->inst->nseeds; i++) {
		if (c->inst->seed[i] != c->inst->instance)
			mesh_send(c->mesh, c->inst->seed[i], &m);
	}
}

/* Returns how many voters the group needs, so that a majority is left when as
 * many are lost at once as the settings say. */
size_t
core_voters_needed(const struct core *c)
{
	return 2 * (size_t)c->inst->tolerate + 1;
}

/* Counts the members that vote, or that don't yet. */
static size_t
count_members(const struct core *c, bool voters)
{
	size_t i, n = 0;

	for (i = 0; i < c->nmembers; i++)
		n += c->members[i].voter == voters;
	return n;
}

/* Tells whether a replica is a voter as of the applied index. */
static bool
is_voter(const struct core *c, uint64_t replica)
{
	size_t i;

	for (i = 0; i < c->nmembers; i++) {
		if (c->members[i].replica == replica)
			return c->members[i].voter;
	}
	return false;
}

/* Tells a replica that it is no member any more. */
static void
confirm_leave(struct core *c, const Job__Join *leaving)
{
	Job__Msg m = JOB__MSG__INIT;
	Job__Join j = *leaving;

	m.join = &j;
	mesh_send(c->mesh, j.instance, &m);
}

/* Handles a voter's message that it is about to stop. It is removed if there
 * are enough without it: it may not come back, and must not raise the size of
 * the majority then. One that does come back joins again. A replica that isn't
 * the leader gets this message as the confirmation. */
void
core_on_leaving(struct core *c, const Job__Join *j)
{
	struct raft_ev ev = { .kind = RAFT_EV_MEMBER_REMOVE };

	if (j->replica == c->replica) {
		c->has_left = c->stopping;
		return;
	}
	if (!c->leading)
		return;
	if (!core_has_member(c, j->replica)) {
		confirm_leave(c, j);
		return;
	}
	if (!is_voter(c, j->replica) ||
	    count_members(c, true) <= core_voters_needed(c))
		return;
	log_event(LOG_NOTICE, "core",
	    "event=member_stops replica=%016" PRIx64 " instance=%u", j->replica,
	    j->instance);
	ev.u.member.replica = j->replica;
	core_step(c, &ev);
}

/* Tells whether this replica, which is stopping, still waits to be removed: it
 * votes, and another member can do so in its place. */
bool
core_waits_to_leave(const struct core *c)
{
	if (c->disk_failed || c->has_left || !is_voter(c, c->replica) ||
	    !clk_before(mesh_now(c->mesh), c->leave_deadline))
		return false;
	return count_members(c, true) > core_voters_needed(c) ||
	    count_members(c, false) > 0;
}

/* Removes a learner that has been silent for CORE_FORGET_LEARNER_MS; raft
 * removes dead voters. */
static void
remove_dead_learner(struct core *c)
{
	struct raft_ev ev = { .kind = RAFT_EV_MEMBER_REMOVE };
	const struct raft_member *dead = NULL;
	size_t i;

	for (i = 0; i < c->nmembers; i++) {
		const struct raft_member *m = &c->members[i];

		if (!m->voter &&
		    raft_ms_since_reply(c->raft, m->replica) >
			CORE_FORGET_LEARNER_MS)
			dead = m;
	}
	if (dead == NULL)
		return;
	ev.u.member = *dead;
	core_step(c, &ev);
}

/*
 * Removes a dead learner if this replica leads, or asks to be added to the
 * group if it is no member, or to be removed if it stops. A replica that was
 * removed while it could not be reached doesn't have the entry that says so: no
 * leader sends it the log.
 */
void
core_members_tick(struct core *c)
{
	struct timespec now = mesh_now(c->mesh);

	if (c->disk_failed || clk_before(now, c->next_join_at))
		return;
	c->next_join_at = clk_add_ms(now, CORE_JOIN_INTERVAL_MS);
	if (c->leading)
		remove_dead_learner(c);
	else if (c->stopping && core_waits_to_leave(c))
		send_join(c, true);
	else if (c->inst->counted && !c->stopping &&
	    (c->leader == 0 || !core_has_member(c, c->replica)))
		send_join(c, false);
}
