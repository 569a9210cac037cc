#include "node/node.h"

#include <curl/curl.h>
#include <pthread.h>
#include <signal.h>
#include <string.h>
#include <sys/random.h>
#include <unistd.h>

#include "base/log.h"
#include "node/control.h"
#include "node/disk.h"
#include "node/sock.h"
#include "node/traffic.h"

#define CONTROL_QUEUE_MAX 16384

struct node {
	const struct node_conf *conf;
	struct node_shared shared;
	struct traffic *traffic[TRAFFIC_THREADS_MAX];
	struct mbox *mboxes[TRAFFIC_THREADS_MAX];
	pthread_t threads[TRAFFIC_THREADS_MAX];
	unsigned nthreads, nstarted;
	struct control *control;
	uint64_t incarnation;
};

/* Returns a random number other than zero, which means "none" in messages. */
static uint64_t
random_nonzero(void)
{
	uint64_t v = 0;

	while (v == 0) {
		if (getrandom(&v, sizeof(v), 0) != sizeof(v))
			v = 0;
	}
	return v;
}

/* Checks the settings for values that the daemon cannot run with. */
static enum status
check_conf(const struct node_conf *c, struct err *e)
{
	if (c->cluster.len == 0 || c->instance == 0)
		return err_set(
		    e, STATUS_INVALID, "cluster and instance are required");
	if (c->traffic_threads < 1 || c->traffic_threads > TRAFFIC_THREADS_MAX)
		return err_set(e, STATUS_INVALID,
		    "traffic threads: expected 1 to %d", TRAFFIC_THREADS_MAX);
	if (c->body_max == 0 || c->connections_max < c->traffic_threads ||
	    c->config_freshness_ms <= 0 || c->lease_ms <= 0 ||
	    c->poll_ms <= 0 || c->replicas == 0)
		return err_set(
		    e, STATUS_INVALID, "a limit or an interval is zero");
	return STATUS_OK;
}

/*
 * Checks that no other process listens on addr. Threads share the port with
 * SO_REUSEPORT, which would let another process share it too.
 */
static enum status
check_port_unused(struct str addr, struct err *e)
{
	int fd = sock_listen(addr, false, e);

	if (fd < 0)
		return e->status;
	close(fd);
	return STATUS_OK;
}

/* Creates the traffic threads' modules and sockets. */
static enum status
start_traffic(struct node *n, struct err *e)
{
	const struct node_conf *c = n->conf;
	struct traffic_conf tc;
	unsigned i;

	if (c->traffic_threads > 1 &&
	    check_port_unused(c->http_listen, e) != STATUS_OK)
		return e->status;
	for (i = 0; i < c->traffic_threads; i++) {
		memset(&tc, 0, sizeof(tc));
		tc.thread = i;
		tc.instance = c->instance;
		tc.incarnation = n->incarnation;
		tc.seed = random_nonzero();
		tc.body_max = c->body_max;
		tc.connections_max = c->connections_max / c->traffic_threads;
		tc.shared = &n->shared;
		tc.listen_fd =
		    sock_listen(c->http_listen, c->traffic_threads > 1, e);
		if (tc.listen_fd < 0)
			return e->status;
		n->traffic[i] = traffic_new(NULL, &tc, e);
		if (n->traffic[i] == NULL)
			return e->status;
		n->mboxes[i] = traffic_mbox(n->traffic[i]);
		n->nthreads++;
		traffic_register_counters(n->traffic[i], &n->shared.counters);
	}
	return STATUS_OK;
}

/* Creates the control thread's modules and its socket. */
static enum status
start_control(struct node *n, struct err *e)
{
	struct control_conf cc;

	memset(&cc, 0, sizeof(cc));
	cc.node = n->conf;
	cc.incarnation = n->incarnation;
	cc.seed = random_nonzero();
	cc.shared = &n->shared;
	cc.threads = n->mboxes;
	cc.nthreads = n->nthreads;
	cc.peer_fd = sock_listen(n->conf->peer_listen, false, e);
	if (cc.peer_fd < 0)
		return e->status;
	n->control = control_new(NULL, &cc, e);
	if (n->control == NULL)
		return e->status;
	control_register_counters(n->control, &n->shared.counters);
	return STATUS_OK;
}

/*
 * Starts the traffic threads with signals blocked, so that the control thread
 * gets them.
 */
static enum status
start_threads(struct node *n, struct err *e)
{
	sigset_t block, old;
	unsigned i;
	int rc = 0;

	sigemptyset(&block);
	sigaddset(&block, SIGTERM);
	sigaddset(&block, SIGINT);
	pthread_sigmask(SIG_BLOCK, &block, &old);
	for (i = 0; i < n->nthreads && rc == 0; i++) {
		rc = pthread_create(
		    &n->threads[i], NULL, traffic_run, n->traffic[i]);
		if (rc == 0)
			n->nstarted++;
	}
	pthread_sigmask(SIG_SETMASK, &old, NULL);
	if (rc != 0)
		return err_set(e, STATUS_IO, "thread: %s", strerror(rc));
	return STATUS_OK;
}

/* Stops the traffic threads and frees everything. */
static void
node_stop(struct node *n)
{
	unsigned i;

	for (i = 0; i < n->nstarted; i++) {
		mbox_post(n->mboxes[i], mbox_msg_new(MBOX_STOP, 0));
		pthread_join(n->threads[i], NULL);
	}
	talloc_free(n->control);
	for (i = 0; i < n->nthreads; i++)
		talloc_free(n->traffic[i]);
	mbox_destroy(&n->shared.control);
}

/*
 * Starts the daemon and runs it until a graceful shutdown has finished. Serves
 * nothing if a part cannot be started. Returns 0, or 1 with e set.
 */
int
node_run(const struct node_conf *conf, struct err *e)
{
	struct node n;
	enum status st;

	memset(&n, 0, sizeof(n));
	n.conf = conf;
	n.incarnation = random_nonzero();
	if (check_conf(conf, e) != STATUS_OK)
		return 1;
	signal(SIGPIPE, SIG_IGN);
	if (curl_global_init(CURL_GLOBAL_DEFAULT) != 0) {
		err_set(e, STATUS_IO, "HTTP client library did not start");
		return 1;
	}
	if (mbox_init(&n.shared.control, CONTROL_QUEUE_MAX, e) != STATUS_OK)
		return 1;
	st = start_traffic(&n, e);
	if (st == STATUS_OK)
		st = start_control(&n, e);
	if (st == STATUS_OK)
		st = start_threads(&n, e);
	if (st == STATUS_OK) {
		log_event(LOG_NOTICE, "node",
		    "event=start instance=%u http=" STR_FMT " peer=" STR_FMT,
		    conf->instance, STR_ARG(conf->http_listen),
		    STR_ARG(conf->peer_listen));
		st = control_run(n.control, e);
	}
	node_stop(&n);
	curl_global_cleanup();
	return st == STATUS_OK ? 0 : 1;
}

/*
 * Creates a group whose first replica is this instance. Refuses a directory
 * that isn't empty, so that no group is created twice on it.
 */
enum status
node_init_group(const struct node_conf *conf, struct err *e)
{
	if (conf->data_dir.len == 0)
		return err_set(
		    e, STATUS_INVALID, "a group needs a data directory");
	return disk_init(conf->data_dir, conf->instance, conf->domain, e);
}
