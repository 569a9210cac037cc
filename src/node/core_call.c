#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/crc.h"
#include "base/log.h"
#include "job/jcall.h"
#include "job/jctr.h"
#include "node/core_impl.h"
#include "node/nctr.h"

/* Calls on the leader. A change is answered once it is committed, a read once
 * this replica has confirmed that it still leads. */

/* Sends an answer to an instance; instance 0 stands for none. */
static void
send_answer(struct core *c, uint32_t from, Job__Answer *a)
{
	Job__Msg m = JOB__MSG__INIT;

	if (from == 0)
		return;
	m.answer = a;
	mesh_send(c->mesh, from, &m);
}

/* Answers a call with an outcome; NOT_LEADER also names the leader. */
void
core_send_outcome(struct core *c, uint32_t from, uint64_t id, Job__Outcome o)
{
	Job__Answer a = JOB__ANSWER__INIT;

	a.id = id;
	a.outcome = o;
	if (o == JOB__OUTCOME__BUSY) {
		a.has_retry_ms = 1;
		a.retry_ms = CORE_BUSY_RETRY_MS;
	}
	if (o == JOB__OUTCOME__NOT_LEADER) {
		a.has_leader = 1;
		a.leader = c->leader;
	}
	send_answer(c, from, &a);
}

/* Answers the call of a command that isn't committed. After NOT_LEADER the
 * caller sends it again to the next leader. */
void
core_fail_waiter(struct core *c, const struct core_waiter *w, Job__Outcome o)
{
	core_send_outcome(c, w->from, w->call_id, o);
}

/* ---- reads ---- */

/* Fills the answer to a query for the state of a job. */
static void
fill_job_state(struct core *c, const Job__Call *k, Job__Answer *a)
{
	struct jst_job *j = jst_find_job(&c->st, k->job);

	if (j == NULL) {
		a->outcome = JOB__OUTCOME__NO_JOB;
		return;
	}
	a->has_state = 1;
	a->state = j->state;
	a->has_waiting = 1;
	a->waiting = !j->started;
}

/* Fills the answer to a query for a wave: its state is 1 once all of its
 * machines are done. */
static void
fill_wave_state(struct core *c, const Job__Call *k, Job__Answer *a)
{
	bool is_done = k->wave != NULL && jst_wave_is_done(&c->st, k->wave->id);

	if (k->wave == NULL ||
	    (!is_done && jst_find_wave(&c->st, k->wave->id) == NULL)) {
		a->outcome = JOB__OUTCOME__NOT_FOUND;
		return;
	}
	a->has_state = 1;
	a->state = is_done;
}

/* Fills the answer to a query for the configuration. */
static void
fill_config(struct core *c, Job__Answer *a)
{
	if (c->st.config == NULL) {
		a->outcome = JOB__OUTCOME__NO_CONFIG;
		return;
	}
	a->has_document = 1;
	a->document = c->st.config->document;
}

/* Tells whether a call for a job is at a place where its queue was. */
static bool
is_orphaned(const struct core *c, const Job__Call *k)
{
	return k->has_job && c->st.config != NULL &&
	    jst_is_orphaned(&c->st, k->job, str_from(k->path));
}

/*
 * Handles a SUBMIT or CANCEL again that had been queued as a read, because its
 * queue or job was unknown then, and that can change the state now. Returns
 * false for other calls.
 */
static bool
retry_as_change(struct core *c, uint32_t from, const Job__Call *k)
{
	if (k->kind != JOB__CALL_KIND__SUBMIT &&
	    (k->kind != JOB__CALL_KIND__CANCEL ||
		!jst_cancel_has_effect(&c->st, k->job)))
		return false;
	core_on_call(c, from, k);
	return true;
}

/* Answers a read from the state. The caller has made sure that the state is up
 * to date. */
static void
answer_read(struct core *c, uint32_t from, const Job__Call *k)
{
	Job__Answer a = JOB__ANSWER__INIT;
	const Job__Queue *q = NULL;
	TALLOC_CTX *ctx = NULL;

	a.id = k->id;
	if (k->kind == JOB__CALL_KIND__CONFIG_GET) {
		fill_config(c, &a);
	} else if (k->kind == JOB__CALL_KIND__WAVE_GET) {
		fill_wave_state(c, k, &a);
	} else if (k->kind == JOB__CALL_KIND__EVACUATIONS_GET) {
		ctx = talloc_new(c);
		core_fill_evacuations(c, ctx, &a);
	} else if (k->kind == JOB__CALL_KIND__WHY_GET) {
		ctx = talloc_new(c);
		core_fill_why(c, ctx, k->job, &a);
	} else if (c->st.config == NULL) {
		a.outcome = JOB__OUTCOME__NO_CONFIG;
	} else {
		q = jst_route(&c->st, str_from(k->host), str_from(k->path));
		if (q == NULL && is_orphaned(c, k)) {
			if (k->kind == JOB__CALL_KIND__CANCEL &&
			    retry_as_change(c, from, k))
				return;
			a.outcome = jcall_orphan_outcome(k->kind);
		} else if (q == NULL) {
			a.outcome = JOB__OUTCOME__NOT_FOUND;
		} else if (retry_as_change(c, from, k)) {
			return;
		} else if (k->kind == JOB__CALL_KIND__COUNT &&
		    strlen(q->prefix) == strlen(k->path)) {
			a.has_waiting = 1;
			a.waiting = jst_count_waiting(&c->st, q->name);
		} else if (k->kind == JOB__CALL_KIND__COUNT) {
			a.outcome = JOB__OUTCOME__NO_JOB;
		} else {
			fill_job_state(c, k, &a);
		}
	}
	send_answer(c, from, &a);
	talloc_free(ctx);
}

/*
 * Queues a read until this replica has confirmed that it still leads. If too
 * much is queued, as many entry instances may each have filled their own part
 * with requests, a read is answered with BUSY. A SUBMIT or CANCEL, of which an
 * earlier copy may still have an effect, is dropped like a lost message.
 */
static void
queue_read(struct core *c, uint32_t from, const Job__Call *k)
{
	size_t len = job__call__get_packed_size(k);
	size_t bytes = sizeof(struct core_read) + CORE_BODY_COPIES * len;
	struct core_read *r;
	uint8_t *buf;

	if (!memacct_grow_any(c->account, &c->calls_held, bytes)) {
		ctr_add(&c->nctr, NCTR_CALLS_NO_MEMORY, 1);
		if (k->kind != JOB__CALL_KIND__SUBMIT &&
		    k->kind != JOB__CALL_KIND__CANCEL)
			core_send_outcome(c, from, k->id, JOB__OUTCOME__BUSY);
		return;
	}
	r = calloc(1, sizeof(*r));
	buf = malloc(len + 1);
	if (r == NULL || buf == NULL)
		abort();
	job__call__pack(k, buf);
	r->call = job__call__unpack(NULL, len, buf);
	free(buf);
	r->bytes = bytes;
	r->id = ++c->last_read;
	r->from = from;
	*c->reads_tail = r;
	c->reads_tail = &r->next;
	core_flush_later(c);
}

/* Releases the first queued read. */
static void
pop_read(struct core *c, struct core_read *r)
{
	c->reads = r->next;
	if (c->reads == NULL)
		c->reads_tail = &c->reads;
	job__call__free_unpacked(r->call, NULL);
	memacct_shrink(c->account, &c->calls_held, r->bytes);
	free(r);
}

/* Answers the reads for which leadership has been confirmed. */
void
core_answer_reads(struct core *c)
{
	struct core_read *r;

	while ((r = c->reads) != NULL && r->id <= c->confirmed_read) {
		answer_read(c, r->from, r->call);
		pop_read(c, r);
	}
}

/* Answers all queued reads with NOT_LEADER; callers ask the next leader. */
void
core_fail_reads(struct core *c)
{
	while (c->reads != NULL) {
		core_send_outcome(c, c->reads->from, c->reads->call->id,
		    JOB__OUTCOME__NOT_LEADER);
		pop_read(c, c->reads);
	}
	c->confirming = false;
}

/* ---- changes ---- */

/* Proposes the command of a call, whose sender gets the outcome. */
void
core_propose_call(
    struct core *c, uint32_t from, const Job__Call *k, const Job__Command *cmd)
{
	bool is_orphan = is_orphaned(c, k) &&
	    jst_route(&c->st, str_from(k->host), str_from(k->path)) == NULL;
	struct core_waiter w = { .from = from,
		.call_id = k->id,
		.kind = k->kind,
		.job = cmd->submit == NULL ? 0 : cmd->submit->job,
		.is_orphan = is_orphan };

	core_propose(c, cmd, &w);
}

/* Tells whether an earlier copy of a submission is on its way into the log. */
static bool
is_submit_pending(const struct core *c, uint64_t job)
{
	const struct core_inflight *f;
	const struct core_cmd *k;
	size_t i;

	for (k = c->cmds; k != NULL; k = k->next) {
		if (k->waiter.job == job)
			return true;
	}
	for (f = c->inflight; f != NULL; f = f->next) {
		for (i = 0; i < f->nwaiters; i++) {
			if (f->waiters[i].job == job)
				return true;
		}
	}
	return false;
}

/* Counts and logs a submission that is refused for lack of room. */
static void
note_refused(struct core *c, const Job__Submit *m, bool never)
{
	const struct jst_use *u = jst_find_use(&c->st, m->queue);

	ctr_add(&c->jctr, JCTR_REFUSED_FULL, 1);
	if (clk_before(mesh_now(c->mesh), c->refused_log_at))
		return;
	c->refused_log_at =
	    clk_add_ms(mesh_now(c->mesh), CORE_REFUSED_LOG_INTERVAL_MS);
	log_event(LOG_NOTICE, "core",
	    "event=refused job=%016" PRIx64
	    " queue=%s reason=%s need=%zu queue_bytes=%zu state=%zu max=%zu "
	    "refused=%" PRIu64,
	    m->job, m->queue, never ? "too_large" : "full",
	    jmem_job(m) + jmem_occurrence(m->spec), u == NULL ? 0 : u->bytes,
	    c->st.bytes, c->st.max.jobs, ctr_get(&c->jctr, JCTR_REFUSED_FULL));
}

/* Answers a submission for which the state has no room. One that could never be
 * accepted isn't told to come back. */
static void
send_full(struct core *c, uint32_t from, uint64_t id, bool never)
{
	Job__Answer a = JOB__ANSWER__INIT;

	a.id = id;
	a.outcome = JOB__OUTCOME__FULL;
	a.has_retry_ms = !never;
	a.retry_ms = never ? 0 : CORE_FULL_RETRY_MS;
	send_answer(c, from, &a);
}

/*
 * Refuses a submission for which the state has no room, without a record in the
 * log. Only while no other replica can lead, and no earlier copy is on its way:
 * that one may be accepted. The state itself decides when a record is applied.
 */
static bool
refuse_full(
    struct core *c, uint32_t from, const Job__Call *k, const Job__Submit *m)
{
	bool never = !jst_can_ever_admit(&c->st, m);

	if (jst_admits(&c->st, m) || is_submit_pending(c, m->job) ||
	    jst_find_withdrawn(&c->st, m->job) != NULL ||
	    !core_is_sole_leader(c))
		return false;
	note_refused(c, m, never);
	send_full(c, from, k->id, never);
	return true;
}

/* Handles a submission; one that is sent again gets its answer at once. */
static void
handle_submit(struct core *c, uint32_t from, const Job__Call *k)
{
	Job__Command cmd = JOB__COMMAND__INIT;
	Job__Submit s = JOB__SUBMIT__INIT;
	const Job__Queue *q = c->st.config == NULL
	    ? NULL
	    : jst_route(&c->st, str_from(k->host), str_from(k->path));

	if (q == NULL) {
		queue_read(c, from, k);
		return;
	}
	if (jst_find_job(&c->st, k->job) != NULL) {
		ctr_add(&c->jctr, JCTR_RESENT, 1);
		core_send_outcome(c, from, k->id, JOB__OUTCOME__OK);
		return;
	}
	s.job = k->job;
	s.queue = q->name;
	s.spec = k->spec;
	s.at_ms = mesh_wall_ms(c->mesh);
	if (refuse_full(c, from, k, &s))
		return;
	cmd.submit = &s;
	core_propose_call(c, from, k, &cmd);
}

/* Handles a cancellation of a job. */
static void
handle_cancel(struct core *c, uint32_t from, const Job__Call *k)
{
	Job__Command cmd = JOB__COMMAND__INIT;
	Job__Cancel m = JOB__CANCEL__INIT;

	if (c->st.config == NULL || !jst_cancel_has_effect(&c->st, k->job) ||
	    (jst_route(&c->st, str_from(k->host), str_from(k->path)) == NULL &&
		!is_orphaned(c, k))) {
		queue_read(c, from, k);
		return;
	}
	m.job = k->job;
	m.at_ms = mesh_wall_ms(c->mesh);
	cmd.cancel = &m;
	core_propose_call(c, from, k, &cmd);
}

/*
 * Tells whether a heartbeat changes nothing in the replicated state: its
 * incarnation of the worker is registered, as draining if the heartbeat says
 * so, or a later incarnation is, as the heartbeat was delayed.
 */
bool
core_is_heartbeat_known(struct core *c, const Job__Worker *heartbeat)
{
	struct jst_worker *w = jst_find_worker_by_id(&c->st, heartbeat->id);

	return w != NULL && !jst_is_other_writer(&c->st, w->info, heartbeat) &&
	    !jst_is_other_writer(&c->st, heartbeat, w->info) &&
	    (w->info->born > heartbeat->born ||
		(w->info->born == heartbeat->born &&
		    w->draining >= heartbeat->draining));
}

/* Handles a heartbeat; a new or restarted worker is registered. */
static void
handle_heartbeat(struct core *c, uint32_t from, const Job__Call *k)
{
	Job__Command cmd = JOB__COMMAND__INIT;
	const struct jst_worker *w =
	    jst_find_worker_by_id(&c->st, k->worker->id);

	if (w != NULL && jst_is_other_writer(&c->st, w->info, k->worker)) {
		log_event(LOG_NOTICE, "core",
		    "event=other_writer id=%s born=%" PRIu64
		    " addr=%s service=%s registered=%s",
		    k->worker->id, k->worker->born, k->worker->addr,
		    k->worker->service, w->info->service);
		core_send_outcome(c, from, k->id, JOB__OUTCOME__OK);
		return;
	}
	if (core_is_heartbeat_known(c, k->worker)) {
		jlead_on_heartbeat(&c->jl,
		    jst_find_worker_by_id(&c->st, k->worker->id),
		    k->worker->cold_left_ms);
		core_send_outcome(c, from, k->id, JOB__OUTCOME__OK);
		return;
	}
	log_event(LOG_NOTICE, "core",
	    "event=worker id=%s born=%" PRIu64 " addr=%s zone=%s service=%s "
	    "draining=%d remaining_ms=%u",
	    k->worker->id, k->worker->born, k->worker->addr, k->worker->zone,
	    k->worker->service, k->worker->draining, k->worker->remaining_ms);
	k->worker->has_registered_ms = 1;
	k->worker->registered_ms = mesh_wall_ms(c->mesh);
	cmd.worker = k->worker;
	core_propose_call(c, from, k, &cmd);
}

/* Keeps a worker's notice to leave until its registration ends, or for
 * CORE_LEAVE_WAIT_MS. */
static void
queue_leave(struct core *c, uint32_t from, uint64_t id, uint64_t num)
{
	struct core_leave *l;

	for (l = c->leaves; l != NULL; l = l->next) {
		if (l->call_id == id && l->from == from)
			return; /* a resend */
	}
	l = calloc(1, sizeof(*l));
	if (l == NULL)
		abort();
	l->call_id = id;
	l->from = from;
	l->registration = num;
	l->since = mesh_now(c->mesh);
	l->next = c->leaves;
	c->leaves = l;
}

/* Answers the workers that wait for the end of a registration; 0 stands for all
 * of them. */
void
core_answer_leaves(struct core *c, uint64_t num, Job__Outcome o)
{
	struct core_leave **p = &c->leaves, *l;

	while ((l = *p) != NULL) {
		if (num != 0 && l->registration != num) {
			p = &l->next;
			continue;
		}
		*p = l->next;
		core_send_outcome(c, l->from, l->call_id, o);
		free(l);
	}
}

/* Answers the workers that have waited for CORE_LEAVE_WAIT_MS. */
void
core_tick_leaves(struct core *c)
{
	struct timespec now = mesh_now(c->mesh);
	struct core_leave **p = &c->leaves, *l;

	while ((l = *p) != NULL) {
		if (clk_diff_ms(now, l->since) < CORE_LEAVE_WAIT_MS) {
			p = &l->next;
			continue;
		}
		*p = l->next;
		core_send_outcome(c, l->from, l->call_id, JOB__OUTCOME__OK);
		free(l);
	}
}

/* Registers a worker as draining, so that the next leader assigns nothing to it
 * either. */
static void
propose_drain(struct core *c, const struct jst_worker *w)
{
	Job__Command cmd = JOB__COMMAND__INIT;
	Job__Worker info = *w->info;

	if (w->draining)
		return;
	info.has_draining = info.draining = 1;
	cmd.worker = &info;
	core_propose(c, &cmd, NULL);
}

/* Handles a worker's notice to leave: its registration ends at once if nothing
 * runs there. A late notice of an earlier incarnation changes nothing. */
static void
handle_leave(struct core *c, uint32_t from, const Job__Call *k)
{
	Job__Command cmd = JOB__COMMAND__INIT;
	Job__WorkerGone g = JOB__WORKER_GONE__INIT;
	const struct jst_worker *latest =
	    jst_find_worker_by_id(&c->st, k->worker->id);
	struct jst_worker *w =
	    jst_find_leaving_worker(&c->st, k->worker->id, k->worker->born);

	log_event(LOG_NOTICE, "core",
	    "event=worker_leaves id=%s born=%" PRIu64 " registered=%" PRIu64
	    " latest=%" PRIu64 " draining=%d",
	    k->worker->id, k->worker->born, w == NULL ? 0 : w->info->born,
	    latest == NULL ? 0 : latest->info->born,
	    latest != NULL && latest->draining);
	if (w == NULL) {
		core_send_outcome(c, from, k->id, JOB__OUTCOME__OK);
		return;
	}
	if (!jlead_leave(&c->jl, mesh_now(c->mesh), w)) {
		queue_leave(c, from, k->id, w->num);
		propose_drain(c, w);
		return;
	}
	g.num = w->num;
	g.has_left = g.left = 1;
	cmd.gone = &g;
	core_propose_call(c, from, k, &cmd);
}

/* Handles a new configuration. */
static void
handle_config_put(struct core *c, uint32_t from, const Job__Call *k)
{
	Job__Command cmd = JOB__COMMAND__INIT;

	cmd.config = k->config;
	core_propose_call(c, from, k, &cmd);
}

/* Handles a new wave of machine restarts. */
static void
handle_wave_put(struct core *c, uint32_t from, const Job__Call *k)
{
	Job__Command cmd = JOB__COMMAND__INIT;

	k->wave->has_at_ms = 1;
	k->wave->at_ms = mesh_wall_ms(c->mesh);
	cmd.wave = k->wave;
	core_propose_call(c, from, k, &cmd);
}

/* Handles a call on the leader. A replica that does not lead answers
 * NOT_LEADER. */
void
core_on_call(struct core *c, uint32_t from, const Job__Call *k)
{
	struct err e;

	err_clear(&e);
	if (jcall_check(k, &e) != STATUS_OK) {
		log_event(LOG_WARNING, "core",
		    "event=bad_call from=%u call=%d error=\"%s\"", from,
		    k->kind, e.msg);
		core_send_outcome(c, from, k->id, JOB__OUTCOME__INVALID);
		return;
	}
	if (!c->leading) {
		core_send_outcome(c, from, k->id, JOB__OUTCOME__NOT_LEADER);
		return;
	}
	switch (k->kind) {
	case JOB__CALL_KIND__SUBMIT:
		handle_submit(c, from, k);
		break;
	case JOB__CALL_KIND__CANCEL:
		handle_cancel(c, from, k);
		break;
	case JOB__CALL_KIND__CONFIG_PUT:
		handle_config_put(c, from, k);
		break;
	case JOB__CALL_KIND__BEAT:
		handle_heartbeat(c, from, k);
		break;
	case JOB__CALL_KIND__LEAVE:
		handle_leave(c, from, k);
		break;
	case JOB__CALL_KIND__WAVE_PUT:
		handle_wave_put(c, from, k);
		break;
	case JOB__CALL_KIND__EVACUATE:
		core_handle_evacuate(c, from, k);
		break;
	default:
		queue_read(c, from, k);
		break;
	}
}

/* Logs a command that has been committed and applied, and answers the call that
 * it came from. */
void
core_on_applied(struct core *c, const struct core_waiter *w,
    const Job__Command *cmd, const struct jst_result *r)
{
	if (cmd->submit != NULL && r->status == STATUS_FULL) {
		note_refused(c, cmd->submit, false);
	} else if (cmd->submit != NULL) {
		if (r->status != STATUS_NOT_FOUND)
			ctr_add(&c->jctr, JCTR_ACCEPTED, 1);
		log_event(LOG_INFO, "core",
		    "event=accepted job=%016" PRIx64 " queue=%s steps=%zu "
		    "config=%" PRIu64 " status=%s spec=%08x",
		    cmd->submit->job, cmd->submit->queue,
		    cmd->submit->spec->n_steps, c->st.config->version,
		    status_name(r->status),
		    crc32c_text(cmd->submit->spec->text));
	} else if (cmd->cancel != NULL) {
		log_event(LOG_INFO, "core",
		    "event=cancelled job=%016" PRIx64 " status=%s",
		    cmd->cancel->job, status_name(r->status));
	} else if (cmd->config != NULL) {
		log_event(LOG_NOTICE, "core",
		    "event=config version=%" PRIu64 " in_force=%" PRIu64
		    " routes=%zu",
		    cmd->config->version, c->st.config->version,
		    cmd->config->n_queues);
	} else if (cmd->wave != NULL) {
		log_event(LOG_NOTICE, "core",
		    "event=wave wave=%" PRIu64 " machines=%zu max_down=%u "
		    "term_ms=%u",
		    cmd->wave->id, cmd->wave->n_machines, cmd->wave->max_down,
		    cmd->wave->term_ms);
	}
	if (cmd->submit != NULL && r->status == STATUS_FULL) {
		send_full(c, w->from, w->call_id, false);
		return;
	}
	core_send_outcome(c, w->from, w->call_id,
	    w->is_orphan ? jcall_orphan_outcome(w->kind)
			 : jcall_outcome(cmd, r->status));
}
