#include "node/core.h"

#include <curl/curl.h>
#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "base/log.h"
#include "job/jctr.h"
#include "node/core_impl.h"
#include "node/nctr.h"
#include "node/sock.h"

#define TICK_MS 25
/* A tick that comes this much later is logged: the process was suspended, had
 * no processor time, or was busy with one event. */
#define TICK_LATE_MS 250
/* The id of a founding replica is derived from its address, so that all
 * founders write the same member list; other replicas draw a random one. */
#define FOUNDER_ID_MIX UINT64_C(0x9e3779b97f4a7c15)

/* Queues a command to be replicated. w receives the outcome; it may be NULL. A
 * command that raft would not accept is refused, as no later one could pass
 * it. That of a call for which there is no memory is dropped. */
void
core_propose(
    struct core *c, const Job__Command *cmd, const struct core_waiter *w)
{
	size_t len = job__command__get_packed_size(cmd);
	struct core_cmd *k;

	if (len > CORE_COMMAND_MAX_BYTES) {
		log_event(w == NULL ? LOG_CRIT : LOG_NOTICE, "core",
		    "event=command_too_large call=%d bytes=%zu limit=%d",
		    w == NULL ? -1 : (int)w->kind, len, CORE_COMMAND_MAX_BYTES);
		if (w != NULL)
			core_fail_waiter(c, w, JOB__OUTCOME__INVALID);
		return;
	}
	/* Like a lost message: the caller sends it again. A refusal could be
	 * wrong, as an earlier copy may be queued. */
	if (w != NULL &&
	    !memacct_grow_any(c->account, &c->calls_held, sizeof(*k) + len)) {
		ctr_add(&c->nctr, NCTR_CALLS_NO_MEMORY, 1);
		return;
	}
	k = calloc(1, sizeof(*k) + len);
	if (k == NULL)
		abort();
	k->bytes = w == NULL ? 0 : sizeof(*k) + len;
	c->own_bytes += w == NULL ? len : 0;
	k->len = len;
	job__command__pack(cmd, k->data);
	if (w != NULL)
		k->waiter = *w;
	k->waiter.since = mesh_now(c->mesh);
	*c->cmds_tail = k;
	c->cmds_tail = &k->next;
	c->ncmds++;
	core_flush_later(c);
}

/* Queues a command of the leader's own decisions. These can't be refused; while
 * many wait, as the disk stalls, ends go without their checkpoints, which may
 * be long. The task resumes from the one before. */
static void
lead_propose(void *arg, const Job__Command *cmd)
{
	struct core *c = arg;
	Job__Command reduced = *cmd;
	Job__End end;

	if (cmd->end != NULL && cmd->end->saved != NULL &&
	    c->st.max.checkpoints > 0 &&
	    c->own_bytes + strlen(cmd->end->saved) > c->st.max.checkpoints) {
		ctr_add(&c->jctr, JCTR_CHECKPOINTS_DROPPED, 1);
		end = *cmd->end;
		end.saved = NULL;
		reduced.end = &end;
	}
	core_propose(c, &reduced, NULL);
}

/* Tells whether this replica still holds the leader's lease, so that no other
 * one can lead. */
bool
core_is_sole_leader(struct core *c)
{
	return !c->disk_failed &&
	    raft_has_leader_lease(c->raft, mesh_now(c->mesh));
}

/* The same for the leader's decisions. */
static bool
is_sole_leader(void *arg)
{
	return core_is_sole_leader(arg);
}

/* ---- calls to workers ---- */

/* Makes a call of the leader to a worker. */
static void
lead_call(void *arg, const struct jl_call *call)
{
	struct core *c = arg;

	relay_call(c->relay, call, c->jl.nsessions);
	core_flush_later(c);
}

/* Sends a message of the relay to an instance. */
static bool
send_to(void *arg, uint32_t instance, const Job__Msg *m)
{
	struct core *c = arg;

	return mesh_send(c->mesh, instance, m);
}

/* Passes a worker's answer to the leader. */
static void
on_worker_reply(void *arg, const struct jl_reply *r)
{
	struct core *c = arg;

	jlead_reply(&c->jl, mesh_now(c->mesh), r);
	core_flush_later(c);
}

/* Gives how far this clock is ahead of that of an instance, in ms. */
static bool
get_clock_ahead(void *arg, uint32_t instance, int64_t *ms)
{
	struct core *c = arg;

	return caller_clock_ahead(mesh_caller(c->mesh), instance, ms);
}

/* Returns for how long a replica has not answered this leader's log, in ms; 0
 * if that isn't known. */
static int64_t
get_silent_ms(void *arg, uint32_t instance)
{
	struct core *c = arg;
	size_t i;

	for (i = 0; !c->disk_failed && i < c->nmembers; i++) {
		if (c->members[i].instance == instance)
			return raft_ms_since_reply(
			    c->raft, c->members[i].replica);
	}
	return 0;
}

/* Answers reads, plans and flushes the log until no work is left, then sends
 * the relayed calls. */
static void
on_flush(struct tevent_context *ev, struct tevent_immediate *im, void *arg)
{
	struct core *c = arg;

	c->flush_scheduled = false;
	do {
		core_answer_reads(c);
		if (c->leading)
			jlead_plan(&c->jl);
	} while (core_log_flush(c));
	relay_flush(c->relay);
}

/* Schedules on_flush for when the current event has been handled. */
void
core_flush_later(struct core *c)
{
	if (c->flush_scheduled)
		return;
	c->flush_scheduled = true;
	tevent_schedule_immediate(c->flush_event, c->ev, on_flush, c);
}

/* ---- messages ---- */

/* Answers a ping: who leads, the members of the group, and this clock. */
static void
send_pong(struct core *c, uint32_t to, uint64_t seq)
{
	Job__Msg m = JOB__MSG__INIT;
	Job__Pong p = JOB__PONG__INIT;
	uint32_t members[CALLER_MEMBERS_MAX];
	size_t i;

	p.seq = seq;
	p.has_leader = 1;
	p.leader = c->leader;
	p.has_leading = 1;
	p.leading = c->leading;
	p.has_configured = 1;
	p.configured = c->st.config != NULL;
	p.has_at_ms = 1;
	p.at_ms = clk_ns(mesh_now(c->mesh)) / CLK_NS_PER_MS;
	for (i = 0; i < c->nmembers && i < CALLER_MEMBERS_MAX; i++)
		members[i] = c->members[i].instance;
	p.members = members;
	p.n_members = i;
	m.pong = &p;
	mesh_send(c->mesh, to, &m);
}

/* Answers a ping. A leader also notes that its sender makes calls to
 * workers. */
static void
on_ping(struct core *c, uint32_t from, const Job__Ping *p)
{
	send_pong(c, from, p->seq);
	if (c->leading && p->memory_mb > 0)
		core_on_member_memory(c, from, p->memory_mb);
	if (c->leading && p->calls_workers && from != c->inst->instance)
		relay_on_peer(
		    c->relay, from, p->domain == NULL ? "" : p->domain);
	if (c->leading && p->calls_advice && c->advice != NULL &&
	    from != c->inst->instance)
		advice_on_peer(c->advice, from);
}

/* Adds a replica that asks to become a member, or removes one that stops. Only
 * the leader does. Members ask too while no leader sends them the log. */
static void
on_join(struct core *c, const Job__Join *j)
{
	struct raft_ev ev = { .kind = RAFT_EV_MEMBER_ADD };

	if (j->leaving) {
		core_on_leaving(c, j);
		return;
	}
	if (!c->leading || core_has_member(c, j->replica))
		return;
	ev.u.member.replica = j->replica;
	ev.u.member.instance = j->instance;
	ev.u.member.domain = str_from(j->domain == NULL ? "" : j->domain);
	log_event(LOG_INFO, "core",
	    "event=join replica=%016" PRIx64 " instance=%u", j->replica,
	    j->instance);
	core_step(c, &ev);
}

/* Dispatches a message of the scheduler from another instance. */
static void
on_job(void *arg, uint32_t from, const Job__Msg *m)
{
	struct core *c = arg;

	if (m->call != NULL)
		core_on_call(c, from, m->call);
	else if (m->ping != NULL)
		on_ping(c, from, m->ping);
	else if (m->join != NULL)
		on_join(c, m->join);
	else if (m->worker_calls != NULL)
		relay_on_calls(c->relay, from, m->worker_calls);
	else if (m->worker_answers != NULL)
		relay_on_answers(c->relay, from, m->worker_answers);
	else if (m->advice_call != NULL && c->advice != NULL)
		advice_on_call(c->advice, from, m->advice_call);
	else if (m->advice_answer != NULL && c->advice != NULL)
		advice_on_answer(c->advice, from, m->advice_answer);
}

/* Ends the relayed calls of an instance whose connection failed. */
static void
on_disconnect(void *arg, uint32_t instance)
{
	struct core *c = arg;

	relay_on_disconnect(c->relay, instance);
	if (c->advice != NULL)
		advice_on_disconnect(c->advice, instance);
}

/* Passes a message of the consensus protocol to raft. */
static void
on_raft(void *arg, const Control__RaftMsg *m)
{
	struct core *c = arg;
	struct raft_ev ev = { .kind = RAFT_EV_MSG };

	ev.u.msg = m;
	core_step(c, &ev);
}

/* Does nothing: a call goes on when its client has closed. */
static void
on_client_gone(void *arg, struct front_req *req)
{
}

/* ---- time ---- */

/* Tells the caller of this instance whether this replica leads, as it sends
 * itself no pings. */
static void
update_own_leadership(struct core *c)
{
	Job__Pong p = JOB__PONG__INIT;
	struct caller *caller = mesh_caller(c->mesh);
	struct timespec now = mesh_now(c->mesh);

	p.leading = c->leading;
	p.configured = c->st.config != NULL;
	caller_on_pong(caller, now, c->inst->instance, &p);
}

/* Counts and logs a tick that comes late. */
static void
check_tick(struct core *c, struct timespec now)
{
	int64_t late_ms = c->ticked_at.tv_sec == 0
	    ? 0
	    : clk_diff_ms(now, c->ticked_at) - TICK_MS;

	core_note_tick(c, now);
	c->ticked_at = now;
	if (late_ms < TICK_LATE_MS)
		return;
	ctr_add(&c->nctr, NCTR_TICKS_LATE, 1);
	log_event(LOG_NOTICE, "core",
	    "event=late_tick late_ms=%" PRId64 " leading=%d commands=%zu",
	    late_ms, c->leading, c->ncmds);
}

/* Runs the timers of all parts, each TICK_MS. */
static void
on_tick(void *arg)
{
	struct core *c = arg;
	struct raft_ev ev = { .kind = RAFT_EV_TICK };
	struct timespec now = mesh_now(c->mesh);

	check_tick(c, now);
	c->propose_blocked = false;
	core_disk_tick(c);
	if (!c->disk_failed && !clk_before(now, raft_next_tick(c->raft)))
		core_step(c, &ev);
	core_members_tick(c);
	core_tick_leaves(c);
	update_own_leadership(c);
	mesh_tick(c->mesh);
	relay_tick(c->relay);
	if (c->cloud != NULL)
		cloud_tick(c->cloud);
	if (c->advice != NULL)
		advice_tick(c->advice);
	c->jl.nrelays = (uint32_t)relay_count_peers(c->relay);
	core_limit_tick(c);
	if (c->leading)
		jlead_tick(&c->jl, now, mesh_wall_ms(c->mesh));
	core_flush_later(c);
}

/* Reloads the settings on SIGHUP; any other signal starts the shutdown. */
static void
on_signal(struct tevent_context *ev, struct tevent_signal *se, int signum,
    int count, void *siginfo, void *arg)
{
	struct core *c = arg;
	struct raft_ev rev = { .kind = RAFT_EV_TRANSFER };

	if (signum == SIGHUP) {
		mesh_reload(c->mesh);
		return;
	}
	if (c->stopping)
		return;
	log_event(LOG_NOTICE, "core", "event=stop leading=%d", c->leading);
	c->stopping = true;
	c->stop_deadline = clk_add_ms(mesh_now(c->mesh), c->inst->grace_ms / 2);
	c->leave_deadline =
	    clk_add_ms(mesh_now(c->mesh), c->inst->grace_ms * 3 / 4);
	c->next_join_at = mesh_now(c->mesh);
	front_drain(c->control);
	core_step(c, &rev);
}

/* Tells whether leadership has been handed over and every client has its
 * answer, or the time for that is over. */
static bool
is_shutdown_done(struct core *c)
{
	if (!c->stopping || core_waits_to_leave(c))
		return false;
	if (!clk_before(mesh_now(c->mesh), c->stop_deadline))
		return true;
	return c->role != RAFT_LEADER && front_count_requests(c->control) == 0;
}

/* ---- start ---- */

/* Returns the first members of a new group: one replica on each seed. */
static struct raft_member *
make_founders(struct core *c)
{
	const struct inst *in = c->inst;
	struct raft_member *v =
	    talloc_zero_array(c, struct raft_member, in->nseeds + 1);
	size_t i;

	if (v == NULL)
		abort();
	for (i = 0; i < in->nseeds; i++) {
		v[i].replica = FOUNDER_ID_MIX ^ in->seed[i];
		v[i].instance = in->seed[i];
		v[i].voter = true;
		v[i].domain = str_from("");
	}
	return v;
}

/* Tells whether this instance is one of the seeds. */
static bool
is_seed(const struct inst *in)
{
	size_t i;

	for (i = 0; i < in->nseeds; i++) {
		if (in->seed[i] == in->instance)
			return true;
	}
	return false;
}

/* Opens the log; an empty data directory founds a group or joins one. */
static enum status
start_log(struct core *c, struct err *e)
{
	struct wal_init wi;

	memset(&wi, 0, sizeof(wi));
	wi.instance = c->inst->instance;
	wi.join = true;
	if (c->inst->found && is_seed(c->inst)) {
		wi.join = false;
		wi.members = make_founders(c);
		wi.nmembers = c->inst->nseeds;
	}
	return core_log_open(c, &wi, e);
}

/* Connects to the other instances. */
static enum status
start_mesh(struct core *c, struct err *e)
{
	struct mesh_conf mc;
	size_t i;

	memset(&mc, 0, sizeof(mc));
	mc.inst = c->inst;
	mc.connections_max = c->fds.peers;
	mc.ctr = &c->nctr;
	mc.account = c->account;
	mc.replica = c->replica;
	mc.generation = c->generation;
	mc.on_job = on_job;
	mc.on_raft = on_raft;
	mc.on_disconnect = on_disconnect;
	mc.arg = c;
	if (getrandom(&mc.incarnation, sizeof(mc.incarnation), 0) < 0)
		return err_errno(e, STATUS_IO, "getrandom");
	c->mesh = mesh_new(c, c->ev, &mc, e);
	if (c->mesh == NULL)
		return e->status;
	caller_set_identity(
	    mesh_caller(c->mesh), str_cstr(c, c->inst->domain), true);
	caller_set_memory(mesh_caller(c->mesh), core_memory_mb(c));
	for (i = 0; i < c->nmembers; i++) {
		mesh_connect(c->mesh, c->members[i].instance);
		caller_add_members(
		    mesh_caller(c->mesh), &c->members[i].instance, 1);
	}
	return STATUS_OK;
}

/* Listens for workers and operators. */
static enum status
start_control(struct core *c, struct err *e)
{
	struct front_conf fc;

	memset(&fc, 0, sizeof(fc));
	fc.listen_fd = sock_listen(c->inst->control, false, e);
	if (fc.listen_fd < 0)
		return e->status;
	fc.body_max = CORE_BODY_MAX;
	fc.connections_max = c->fds.control;
	fc.ctr = &c->nctr;
	fc.account = c->account;
	fc.use = MEMACCT_REQUESTS;
	fc.name = "control";
	fc.body_copies = CORE_BODY_COPIES;
	fc.on_request = core_on_control;
	fc.on_client_gone = on_client_gone;
	fc.arg = c;
	c->control = front_new(c, c->ev, &fc, e);
	return c->control == NULL ? e->status : STATUS_OK;
}

/* Starts all parts of a replica. */
static enum status
start_core(struct core *c, struct err *e)
{
	struct jlead_ops ops = { lead_propose, lead_call, is_sole_leader, c };
	struct relay_conf rc;
	struct memacct_limits limits;

	c->fds = fdplan_split(c->inst->descriptors);
	limits = memacct_split(MEMACCT_REPLICA, c->inst->memory_mb);
	c->account = memacct_new(c, &limits);
	memacct_open(c->account, &c->calls_held, MEMACCT_CALLS, 0, 0);
	c->log_max_bytes =
	    MIN(CORE_SNAPSHOT_BYTES, jmem_split(core_memory_mb(c)).log);
	c->cmds_tail = &c->cmds;
	c->inflight_tail = &c->inflight;
	c->reads_tail = &c->reads;
	c->flush_event = tevent_create_immediate(c);
	ctr_init(&c->nctr, c, nctr_desc, NCTR_COUNT);
	ctr_init(&c->jctr, c, jctr_desc, JCTR_COUNT);
	jst_init(&c->st);
	jlead_init(&c->jl, &c->st, &ops, &c->jctr);
	c->jl.lookahead = c->inst->lookahead;
	if (start_log(c, e) != STATUS_OK || start_mesh(c, e) != STATUS_OK ||
	    start_control(c, e) != STATUS_OK)
		return e->status;
	rc.ev = c->ev;
	rc.clk = clk_system();
	rc.direct_workers_max = c->inst->own_workers;
	rc.connections_max = c->fds.workers;
	rc.send = send_to;
	rc.ctr = &c->nctr;
	rc.reply = on_worker_reply;
	rc.get_silent_ms = get_silent_ms;
	rc.get_clock_ahead = get_clock_ahead;
	rc.arg = c;
	c->relay = relay_new(c, &rc);
	core_cloud_start(c);
	core_advice_start(c);
	if (c->raft != NULL)
		relay_on_leader(c->relay, raft_term(c->raft));
	c->metrics =
	    metrics_new(c, c->ev, c->inst->metrics, &c->nctr, c->account, e);
	if (c->metrics == NULL)
		return e->status;
	metrics_add_counters(c->metrics, &c->nctr);
	metrics_add_counters(c->metrics, &c->jctr);
	metrics_add_hist(c->metrics, "commit", &c->commit_ms);
	metrics_add_hist(c->metrics, "first_start", &c->first_start_ms);
	metrics_add_hist(c->metrics, "job_complete", &c->complete_ms);
	metrics_add_hist(c->metrics, "cancel_done", &c->jl.cancel_ms);
	jevac_reset(&c->jl.evac, clk_ns(mesh_now(c->mesh)) / CLK_NS_PER_MS);
	metrics_add_gauge(c->metrics, "evacuated_domains", &c->st.nevacuations);
	metrics_add_gauge(c->metrics, "evacuated_runs", &c->jl.evac.nruns);
	metrics_add_gauge(
	    c->metrics, "advice_waiting_steps", &c->jl.advice.nwaiting);
	metrics_add_gauge(
	    c->metrics, "advice_queued_calls", &c->jl.advice.nqueued);
	metrics_add_gauge(c->metrics, "advice_tickets", &c->jl.advice.ntickets);
	metrics_add_gauge(c->metrics, "state_bytes", &c->st.bytes);
	metrics_add_gauge(c->metrics, "state_max_bytes", &c->st.max.jobs);
	c->next_join_at = mesh_now(c->mesh);
	c->ticker = ticker_new(c, c->ev, TICK_MS, on_tick, c, e);
	return c->ticker == NULL ? e->status : STATUS_OK;
}

/* Runs a replica until SIGTERM and a graceful shutdown. Returns the exit
 * status: 0, or 1 if it could not start. */
int
core_run(const struct inst *inst, struct err *e)
{
	struct core *c = talloc_zero(NULL, struct core);

	if (c == NULL)
		abort();
	signal(SIGPIPE, SIG_IGN);
	log_set_nonblocking();
	front_init_heap();
	c->inst = inst;
	c->ev = tevent_context_init(c);
	if (c->ev == NULL)
		abort();
	if (curl_global_init(CURL_GLOBAL_NOTHING) != 0)
		return err_set(
			   e, STATUS_IO, "HTTP client: initialisation failed"),
		       1;
	if (start_core(c, e) != STATUS_OK)
		return 1;
	tevent_add_signal(c->ev, c, SIGTERM, 0, on_signal, c);
	tevent_add_signal(c->ev, c, SIGINT, 0, on_signal, c);
	tevent_add_signal(c->ev, c, SIGHUP, 0, on_signal, c);
	log_event(LOG_NOTICE, "core",
	    "event=start name=" STR_FMT " replica=%016" PRIx64
	    " generation=%" PRIu64 " index=%" PRIu64 " last=%" PRIu64
	    " members=%zu found=%d",
	    STR_ARG(inst->name), c->replica, c->generation, c->applied,
	    c->raft == NULL ? 0 : raft_last_index(c->raft), c->nmembers,
	    inst->found);
	while (!is_shutdown_done(c)) {
		if (tevent_loop_once(c->ev) != 0)
			break;
	}
	log_event(LOG_NOTICE, "core", "event=end");
	return 0;
}
