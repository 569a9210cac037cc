#include "node/mesh.h"

#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "base/log.h"
#include "node/node.h"
#include "node/sock.h"

/* All instances of a system form one group of one cluster. */
#define MESH_CLUSTER "jobs"
#define MESH_GROUP   1

/* A message of this instance to itself. */
struct local_msg {
	struct local_msg *next;
	Job__Msg *msg;
};

struct mesh {
	struct mesh_conf conf;
	struct clk clk;
	struct tevent_context *ev;
	struct peer *peer;
	struct caller *caller;
	struct tevent_immediate *local_event;
	struct local_msg *local_head, **local_tail;
	struct timespec next_settings_check;
	struct timespec settings_mtime; /* of the settings file */
};

/* Returns the monotonic time. */
struct timespec
mesh_now(struct mesh *m)
{
	return clk_now(&m->clk);
}

/* Returns the time of day in ms since 1970. */
int64_t
mesh_wall_ms(struct mesh *m)
{
	return clk_ns(clk_wall(&m->clk)) / CLK_NS_PER_MS;
}

/* Returns the caller, which makes calls on the leader. */
struct caller *
mesh_caller(struct mesh *m)
{
	return m->caller;
}

/* Returns when the settings file was last changed; 0 if that can't be told. */
static struct timespec
get_settings_mtime(const struct mesh *m)
{
	struct stat st;

	if (m->conf.inst->file == NULL || stat(m->conf.inst->file, &st) < 0)
		return clk_from_ns(0);
	return st.st_mtim;
}

/* Reads the settings file again; if it is invalid, nothing changes. */
void
mesh_reload(struct mesh *m)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct inst in;
	struct err e;
	int level;
	size_t i;

	err_clear(&e);
	m->settings_mtime = get_settings_mtime(m);
	if (inst_load(ctx, m->conf.inst->file, &in, &e) != STATUS_OK) {
		log_event(LOG_ERR, "mesh", "event=reload_refused error=\"%s\"",
		    e.msg);
		talloc_free(ctx);
		return;
	}
	if (log_level_parse(str_cstr(ctx, in.log_level), &level))
		log_set_level(level);
	caller_add_members(m->caller, in.seed, in.nseeds);
	for (i = 0; i < in.nseeds; i++)
		mesh_connect(m, in.seed[i]);
	log_event(LOG_NOTICE, "mesh",
	    "event=reload seeds=" STR_FMT " log_level=" STR_FMT,
	    STR_ARG(in.seeds), STR_ARG(in.log_level));
	talloc_free(ctx);
}

/* Runs the timers of the caller and checks the settings file every
 * MESH_SETTINGS_CHECK_MS. */
void
mesh_tick(struct mesh *m)
{
	struct timespec now = mesh_now(m), changed;

	caller_tick(m->caller, now);
	if (clk_before(now, m->next_settings_check))
		return;
	m->next_settings_check = clk_add_ms(now, MESH_SETTINGS_CHECK_MS);
	changed = get_settings_mtime(m);
	if (clk_ns(changed) != 0 &&
	    clk_ns(changed) != clk_ns(m->settings_mtime))
		mesh_reload(m);
}

/* Dispatches a message: answers go to the caller, the rest to on_job. */
static void
deliver(struct mesh *m, uint32_t from, const Job__Msg *msg)
{
	if (msg->answer != NULL)
		caller_on_answer(m->caller, mesh_now(m), from, msg->answer);
	else if (msg->pong != NULL)
		caller_on_pong(m->caller, mesh_now(m), from, msg->pong);
	else
		m->conf.on_job(m->conf.arg, from, msg);
}

/* Delivers the messages of this instance to itself. */
static void
on_local(struct tevent_context *ev, struct tevent_immediate *im, void *arg)
{
	struct mesh *m = arg;
	struct local_msg *l;

	while ((l = m->local_head) != NULL) {
		m->local_head = l->next;
		if (m->local_head == NULL)
			m->local_tail = &m->local_head;
		deliver(m, m->conf.inst->instance, l->msg);
		job__msg__free_unpacked(l->msg, NULL);
		free(l);
	}
}

/* Queues a message of this instance to itself. */
static void
send_local(struct mesh *m, const uint8_t *buf, size_t len)
{
	struct local_msg *l = calloc(1, sizeof(*l));

	if (l == NULL)
		abort();
	l->msg = job__msg__unpack(NULL, len, buf);
	if (l->msg == NULL)
		abort();
	*m->local_tail = l;
	m->local_tail = &l->next;
	tevent_schedule_immediate(m->local_event, m->ev, on_local, m);
}

/* Connects to an instance unless it is known. */
void
mesh_connect(struct mesh *m, uint32_t instance)
{
	const struct inst *in = m->conf.inst;
	struct node_peer p;

	p.instance = instance;
	p.addr = inst_addr(
	    m, instance, in->reach_port != 0 ? in->reach_port : in->peer_port);
	peer_add(m->peer, &p);
	talloc_free((void *)(uintptr_t)p.addr.p);
}

/* Sends a message of the scheduler. Returns false if it is too large or too
 * many wait to be sent; a message that is queued is lost if the connection
 * fails. */
bool
mesh_send(struct mesh *m, uint32_t instance, const Job__Msg *msg)
{
	Control__PeerMsg pm = CONTROL__PEER_MSG__INIT;
	size_t len = job__msg__get_packed_size(msg);
	uint8_t *buf = malloc(len + 1);
	bool queued = instance != 0;

	if (buf == NULL)
		abort();
	job__msg__pack(msg, buf);
	if (instance == m->conf.inst->instance) {
		send_local(m, buf, len);
	} else if (instance != 0) {
		pm.group = MESH_GROUP;
		pm.from = m->conf.inst->instance;
		pm.has_job = 1;
		pm.job.data = buf;
		pm.job.len = len;
		mesh_connect(m, instance);
		queued = peer_send(m->peer, instance, &pm) == STATUS_OK;
	}
	free(buf);
	return queued;
}

/* Sends a message of the consensus protocol. */
void
mesh_send_raft(struct mesh *m, uint32_t instance, Control__RaftMsg *msg)
{
	Control__PeerMsg pm = CONTROL__PEER_MSG__INIT;

	pm.group = MESH_GROUP;
	pm.from = m->conf.inst->instance;
	pm.raft = msg;
	mesh_connect(m, instance);
	peer_send(m->peer, instance, &pm);
}

/* Sends a message of the caller. */
static void
caller_send(void *arg, uint32_t instance, const Job__Msg *msg)
{
	mesh_send(arg, instance, msg);
}

/* Handles a message from another instance. */
static void
on_message(void *arg, const Control__PeerMsg *pm)
{
	struct mesh *m = arg;
	Job__Msg *msg;

	if (pm->raft != NULL) {
		if (m->conf.on_raft != NULL)
			m->conf.on_raft(m->conf.arg, pm->raft);
		return;
	}
	if (!pm->has_job)
		return;
	msg = job__msg__unpack(NULL, pm->job.len, pm->job.data);
	if (msg == NULL) {
		log_event(
		    LOG_WARNING, "mesh", "event=bad_message from=%u", pm->from);
		return;
	}
	deliver(m, pm->from, msg);
	job__msg__free_unpacked(msg, NULL);
}

/* Handles the failure of the connection to an instance. */
static void
on_disconnect(void *arg, uint32_t instance)
{
	struct mesh *m = arg;

	caller_on_disconnect(m->caller, mesh_now(m), instance);
	if (m->conf.on_disconnect != NULL)
		m->conf.on_disconnect(m->conf.arg, instance);
}

/* Tells whether a replica that introduces itself is accepted. */
static bool
on_hello(void *arg, uint64_t replica, uint64_t generation, uint64_t incarnation)
{
	struct mesh *m = arg;

	return m->conf.on_hello == NULL ||
	    m->conf.on_hello(m->conf.arg, replica, generation, incarnation);
}

/* Accepts an instance that is not known yet, and connects to it. */
static bool
on_unknown(void *arg, uint32_t instance)
{
	mesh_connect(arg, instance);
	return true;
}

/* Listens for the other instances and connects to the seeds. Returns NULL and
 * sets e if it can't listen. */
struct mesh *
mesh_new(TALLOC_CTX *ctx, struct tevent_context *ev,
    const struct mesh_conf *conf, struct err *e)
{
	struct mesh *m = talloc_zero(ctx, struct mesh);
	struct caller_ops ops = { caller_send, m };
	const struct inst *in = conf->inst;
	struct peer_conf pc;
	size_t i;

	if (m == NULL)
		abort();
	m->conf = *conf;
	m->ev = ev;
	m->clk = clk_system();
	m->local_tail = &m->local_head;
	m->local_event = tevent_create_immediate(m);
	memset(&pc, 0, sizeof(pc));
	pc.cluster = str_from(MESH_CLUSTER);
	pc.group = MESH_GROUP;
	pc.instance = in->instance;
	pc.incarnation = conf->incarnation;
	pc.replica = conf->replica;
	pc.generation = conf->generation;
	pc.seed = conf->incarnation;
	pc.ctr = conf->ctr;
	pc.account = conf->account;
	pc.max_accepted = conf->connections_max;
	pc.on_message = on_message;
	pc.on_disconnect = on_disconnect;
	pc.check_hello = on_hello;
	pc.on_unknown = on_unknown;
	pc.arg = m;
	pc.listen_fd =
	    sock_listen(inst_addr(m, in->instance, in->peer_port), false, e);
	if (pc.listen_fd < 0) {
		talloc_free(m);
		return NULL;
	}
	m->peer = peer_new(m, ev, &pc);
	m->caller =
	    caller_new(m, in->instance, conf->incarnation, &ops, mesh_now(m));
	caller_add_members(m->caller, in->seed, in->nseeds);
	for (i = 0; i < in->nseeds; i++)
		mesh_connect(m, in->seed[i]);
	m->settings_mtime = get_settings_mtime(m);
	m->next_settings_check = mesh_now(m);
	return m;
}
