/*
 * Fake workers for tests and the demo: announce themselves, poll, run tasks
 * as timers, serve requests, and write a ledger of all that they ran.
 *
 * Ledger lines, with wall-clock milliseconds first:
 *   MS R worker epoch request target      a request was started
 *   MS S worker task attempt epoch from   a task was started
 *   MS E worker task attempt epoch how    a task ended: done, failed,
 *                                         stopped, expired, dropped
 */
#include <glib.h>
#include <json-c/json.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <sys/socket.h>
#include <arpa/inet.h>
#include <tevent.h>
#include <unistd.h>

#include "base/clk.h"
#include "base/log.h"
#include "base/rng.h"
#include "node/back.h"
#include "node/front.h"
#include "node/nctr.h"
#include "node/sock.h"

#define DEFAULT_RUN_MS 1000
#define RETRY_MS       200
/* A silent instance must not cost the lease: others are asked in time. */
#define CALLS_PER_LEASE 3
#define WORKERS_MAX	2000
#define MIN_STEP_MS	10
#define LEAVE_MS	3000 /* new requests may come for so long */

struct opts {
	char *instances, *name, *serves, *rack, *domain, *ledger, *listen;
	int count, port, cpu_milli, mem_mb, accel, slots, connections;
	int service_ms, jitter_ms, checkpoint_ms, usage_percent;
	int silent_after_ms, leave_after_ms, seed;
	gboolean fail, no_guards;
};

struct worker;

struct task {
	struct task *next;
	struct worker *w;
	uint64_t id;
	uint32_t attempt;
	uint64_t epoch;
	uint64_t cpu_milli, mem_mb;
	double progress, goal; /* milliseconds of work */
	uint64_t checkpoint;
	unsigned percent; /* of full speed */
	struct timespec at;
	struct tevent_timer *timer;
};

struct event {
	uint64_t seq, task, progress;
	uint32_t attempt;
	const char *kind;
};

struct worker {
	char name[96], addr[64];
	uint64_t incarnation, epoch, order_seq, event_seq;
	bool announced, calling, leaving, done, left, silent;
	unsigned target; /* index of the instance asked next */
	struct timespec asked, lease_until, left_at;
	int64_t lease_ms, poll_ms;
	struct front *front;
	struct task *tasks;
	GArray *events;
	unsigned running, overdue;
	struct tevent_timer *timer, *call_timer, *lease_timer;
	struct back_call *call; /* while calling */
};

/* A request that is being served. */
struct served {
	struct worker *w;
	struct front_req *http;
	uint64_t request;
	bool late;
	struct tevent_timer *timer, *over;
};

static struct opts opt = { .count = 1,
	.cpu_milli = 8000,
	.mem_mb = 16000,
	.slots = 8,
	.connections = 60,
	.service_ms = 5,
	.checkpoint_ms = 500,
	.usage_percent = 80,
	.seed = 1 };
static struct tevent_context *ev;
static struct clk the_clock;
static struct ctr_set ctr;
static struct back *back;
static struct rng rng;
static struct worker *workers;
static char **instances;
static unsigned ninstances;
static FILE *ledger;
static bool stopping;

static void worker_call(struct worker *);
static void worker_later(struct worker *, int64_t ms);

static int64_t
wall_ms(void)
{
	return clk_ns(clk_wall(&the_clock)) / CLK_NS_PER_MS;
}

static struct timeval
in_ms(int64_t ms)
{
	ms = ms > 0 ? ms : 0;
	return tevent_timeval_current_ofs(
	    (uint32_t)(ms / 1000), (uint32_t)(ms % 1000) * 1000);
}

static void __attribute__((format(printf, 1, 2))) note(const char *fmt, ...)
{
	va_list ap;

	if (ledger == NULL)
		return;
	fprintf(ledger, "%lld ", (long long)wall_ms());
	va_start(ap, fmt);
	vfprintf(ledger, fmt, ap);
	va_end(ap);
	fputc('\n', ledger);
	/* A killed process must not lose lines. */
	fflush(ledger);
}

/* ---- tasks ---- */

static void
event_add(
    struct worker *w, const struct task *t, const char *kind, uint64_t progress)
{
	struct event e = { ++w->event_seq, t->id, progress, t->attempt, kind };

	g_array_append_val(w->events, e);
}

static void
task_advance(struct task *t)
{
	struct timespec now = clk_now(&the_clock);

	t->progress += (double)clk_diff_ns(now, t->at) / CLK_NS_PER_MS *
	    t->percent / 100.0;
	t->at = now;
}

static void
task_end(struct task *t, const char *how)
{
	struct task **p;

	note("E %s %llu %u %llu %s", t->w->name, (unsigned long long)t->id,
	    t->attempt, (unsigned long long)t->epoch, how);
	for (p = &t->w->tasks; *p != t; p = &(*p)->next)
		;
	*p = t->next;
	talloc_free(t);
}

static void task_arm(struct task *);

static void
on_task(struct tevent_context *c, struct tevent_timer *te, struct timeval tv,
    void *arg)
{
	struct task *t = arg;
	struct worker *w = t->w;

	t->timer = NULL;
	task_advance(t);
	if (opt.fail) {
		event_add(w, t, "failed", 0);
		task_end(t, "failed");
	} else if (t->progress >= t->goal) {
		event_add(w, t, "done", (uint64_t)t->goal);
		task_end(t, "done");
	} else {
		t->checkpoint = (uint64_t)t->progress;
		event_add(w, t, "checkpointed", t->checkpoint);
		task_arm(t);
		return;
	}
	if (!w->silent)
		worker_later(w, MIN_STEP_MS);
}

static void
task_arm(struct task *t)
{
	double left = t->goal - t->progress, wait;

	if (t->percent == 0) {
		TALLOC_FREE(t->timer);
		return;
	}
	wait = left * 100.0 / t->percent;
	if (wait > opt.checkpoint_ms)
		wait = opt.checkpoint_ms;
	if (wait < 1)
		wait = 1;
	TALLOC_FREE(t->timer);
	t->timer = tevent_add_timer(ev, t, in_ms((int64_t)wait), on_task, t);
}

static uint64_t
number(struct json_object *o, const char *name, uint64_t def)
{
	struct json_object *v;

	return json_object_object_get_ex(o, name, &v)
	    ? json_object_get_uint64(v)
	    : def;
}

static const char *
text(struct json_object *o, const char *name)
{
	struct json_object *v;

	return json_object_object_get_ex(o, name, &v)
	    ? json_object_get_string(v)
	    : "";
}

static struct task *
task_find(struct worker *w, uint64_t id)
{
	struct task *t = w->tasks;

	while (t != NULL && t->id != id)
		t = t->next;
	return t;
}

static void
task_start(struct worker *w, struct json_object *o)
{
	struct task *t = talloc_zero(NULL, struct task);

	t->w = w;
	t->id = number(o, "task", 0);
	t->attempt = (uint32_t)number(o, "attempt", 0);
	t->epoch = w->epoch;
	t->cpu_milli = number(o, "cpu_milli", 0);
	t->mem_mb = number(o, "mem_mb", 0);
	t->goal = (double)number(o, "run_ms", DEFAULT_RUN_MS);
	t->checkpoint = number(o, "resume_from", 0);
	t->progress = (double)t->checkpoint;
	t->percent = 100;
	t->at = clk_now(&the_clock);
	t->next = w->tasks;
	w->tasks = t;
	note("S %s %llu %u %llu %llu", w->name, (unsigned long long)t->id,
	    t->attempt, (unsigned long long)t->epoch,
	    (unsigned long long)t->checkpoint);
	event_add(w, t, "running", t->checkpoint);
	task_arm(t);
}

static void
task_stop(struct task *t, bool checkpoint)
{
	task_advance(t);
	if (checkpoint)
		t->checkpoint = (uint64_t)t->progress;
	event_add(t->w, t, "stopped", t->checkpoint);
	task_end(t, "stopped");
}

/* Carries out one order; older ones and those of other epochs are refused. */
static void
order_do(struct worker *w, struct json_object *o)
{
	uint64_t seq = number(o, "seq", 0);
	const char *kind = text(o, "kind");
	struct task *t;

	if (seq <= w->order_seq || number(o, "epoch", 0) != w->epoch)
		return;
	w->order_seq = seq;
	t = task_find(w, number(o, "task", 0));
	if (strcmp(kind, "start") == 0) {
		if (t == NULL)
			task_start(w, o);
		return;
	}
	if (t == NULL || t->attempt != number(o, "attempt", 0))
		return;
	if (strcmp(kind, "throttle") == 0) {
		task_advance(t);
		t->percent = (unsigned)number(o, "percent", 100);
		task_arm(t);
	} else {
		task_stop(t, strcmp(kind, "checkpoint") == 0);
	}
}

/* Without a lease nothing may run: another worker may have the tasks. */
static void
tasks_drop(struct worker *w, const char *how)
{
	while (w->tasks != NULL)
		task_end(w->tasks, how);
	g_array_set_size(w->events, 0);
}

/* ---- calls to the instances ---- */

static struct json_object *
list_of(struct json_object *o, const char *name)
{
	struct json_object *l = json_object_new_array();

	json_object_object_add(o, name, l);
	return l;
}

static void
put(struct json_object *o, const char *name, uint64_t v)
{
	json_object_object_add(o, name, json_object_new_uint64(v));
}

static struct json_object *
announce_body(struct worker *w)
{
	struct json_object *o = json_object_new_object(), *l;
	char **names = g_strsplit(opt.serves ? opt.serves : "", ",", -1);
	size_t i;

	put(o, "incarnation", w->incarnation);
	json_object_object_add(o, "addr", json_object_new_string(w->addr));
	put(o, "cpu_milli", (uint64_t)opt.cpu_milli);
	put(o, "mem_mb", (uint64_t)opt.mem_mb);
	put(o, "accel", (uint64_t)opt.accel);
	put(o, "slots", (uint64_t)opt.slots);
	put(o, "connections", (uint64_t)opt.connections);
	if (opt.rack != NULL)
		json_object_object_add(
		    o, "rack", json_object_new_string(opt.rack));
	if (opt.domain != NULL)
		json_object_object_add(
		    o, "domain", json_object_new_string(opt.domain));
	l = list_of(o, "serves");
	for (i = 0; names[i] != NULL && names[i][0] != '\0'; i++)
		json_object_array_add(l, json_object_new_string(names[i]));
	g_strfreev(names);
	return o;
}

static struct json_object *
poll_body(struct worker *w)
{
	struct json_object *o = json_object_new_object(), *l, *e;
	uint64_t cpu = 0, mem = 0, c, m;
	struct event *v;
	struct task *t;
	guint i;

	put(o, "incarnation", w->incarnation);
	put(o, "epoch", w->epoch);
	l = list_of(o, "events");
	for (i = 0; i < w->events->len; i++) {
		v = &g_array_index(w->events, struct event, i);
		e = json_object_new_object();
		put(e, "task", v->task);
		put(e, "attempt", v->attempt);
		json_object_object_add(
		    e, "kind", json_object_new_string(v->kind));
		put(e, "progress", v->progress);
		json_object_array_add(l, e);
	}
	put(o, "event_seq", w->event_seq);
	put(o, "overdue", w->overdue);
	put(o, "running_requests", w->running);
	put(o, "order_seq", w->order_seq);
	put(o, "usage_age_ms", 0);
	l = list_of(o, "usage");
	e = list_of(o, "running");
	for (t = w->tasks; t != NULL; t = t->next) {
		struct json_object *u = json_object_new_object();

		c = t->cpu_milli * (unsigned)opt.usage_percent / 100;
		m = t->mem_mb * (unsigned)opt.usage_percent / 100;
		put(u, "task", t->id);
		put(u, "cpu_milli", c);
		put(u, "mem_mb", m);
		cpu += c;
		mem += m;
		json_object_array_add(l, u);
		json_object_array_add(e, json_object_new_uint64(t->id));
	}
	put(o, "cpu_used_milli", cpu);
	put(o, "mem_used_mb", mem);
	return o;
}

static void on_call_failed(void *, void *, enum back_fail, bool);

/* Asks another instance, well before the lease has expired. */
static void
on_call_timeout(struct tevent_context *c, struct tevent_timer *te,
    struct timeval tv, void *arg)
{
	struct worker *w = arg;

	w->call_timer = NULL;
	back_abort(w->call);
	on_call_failed(NULL, w, BACK_RESET, true);
}

/* Stops all tasks when the lease has expired by this worker's own clock. */
static void
on_lease_end(struct tevent_context *c, struct tevent_timer *te,
    struct timeval tv, void *arg)
{
	struct worker *w = arg;

	w->lease_timer = NULL;
	tasks_drop(w, "expired");
}

static void
call_send(struct worker *w, const char *suffix, struct json_object *body)
{
	struct front_header h = { str_from("Content-Type"),
		str_from("application/json") };
	struct back_req r;
	char target[160];

	snprintf(target, sizeof(target), "/v1/workers/%s%s", w->name, suffix);
	memset(&r, 0, sizeof(r));
	r.addr = str_from(instances[w->target % ninstances]);
	r.method = str_from("POST");
	r.target = str_from(target);
	r.body = str_from(json_object_to_json_string(body));
	r.headers = &h;
	r.nheaders = 1;
	r.reuse = true;
	r.connections = (unsigned)opt.count + 1;
	r.user = w;
	w->calling = true;
	w->asked = clk_now(&the_clock);
	w->call = back_start(back, &r);
	w->call_timer = tevent_add_timer(
	    ev, ev, in_ms(w->lease_ms / CALLS_PER_LEASE), on_call_timeout, w);
	json_object_put(body);
}

static void
worker_restart(struct worker *w)
{
	tasks_drop(w, "dropped");
	w->announced = w->leaving = w->done = false;
	w->order_seq = w->event_seq = 0;
	w->incarnation = rng_next(&rng) >> 1;
}

/* A leaving worker holds nothing, has reported all and gets nothing new. */
static bool
worker_empty(const struct worker *w)
{
	return clk_diff_ms(clk_now(&the_clock), w->left_at) >= LEAVE_MS &&
	    w->running == 0 && w->tasks == NULL && w->events->len == 0;
}

/* Announces, polls or leaves, whichever is next. */
static void
worker_call(struct worker *w)
{
	struct json_object *o;

	if (w->calling || w->silent || w->left)
		return;
	if (!w->announced && stopping) {
		w->left = true;
		return;
	}
	if (!w->announced) {
		call_send(w, "", announce_body(w));
		return;
	}
	if (stopping && !w->leaving) {
		w->leaving = true;
		w->left_at = clk_now(&the_clock);
		o = json_object_new_object();
		put(o, "incarnation", w->incarnation);
		call_send(w, "/leave", o);
		return;
	}
	if (w->leaving && !w->done && worker_empty(w)) {
		w->done = true;
		o = json_object_new_object();
		put(o, "incarnation", w->incarnation);
		json_object_object_add(
		    o, "done", json_object_new_boolean(true));
		call_send(w, "/leave", o);
		return;
	}
	call_send(w, "/poll", poll_body(w));
}

static void
on_worker(struct tevent_context *c, struct tevent_timer *te, struct timeval tv,
    void *arg)
{
	struct worker *w = arg;

	w->timer = NULL;
	worker_call(w);
}

static void
worker_later(struct worker *w, int64_t ms)
{
	TALLOC_FREE(w->timer);
	w->timer = tevent_add_timer(ev, ev, in_ms(ms), on_worker, w);
}

static void
events_acked(struct worker *w, uint64_t ack)
{
	guint i = 0;

	while (i < w->events->len &&
	    g_array_index(w->events, struct event, i).seq <= ack)
		i++;
	if (i > 0)
		g_array_remove_range(w->events, 0, i);
}

static void
reply_ok(struct worker *w, struct json_object *o)
{
	struct json_object *orders;
	size_t i;

	w->lease_ms = (int64_t)number(o, "lease_ms", (uint64_t)w->lease_ms);
	w->poll_ms = (int64_t)number(o, "poll_ms", (uint64_t)w->poll_ms);
	w->lease_until = clk_add_ms(w->asked, w->lease_ms);
	TALLOC_FREE(w->lease_timer);
	w->lease_timer = tevent_add_timer(ev, ev,
	    in_ms(clk_diff_ms(w->lease_until, clk_now(&the_clock))),
	    on_lease_end, w);
	if (!w->announced) {
		w->announced = true;
		w->epoch = number(o, "epoch", 0);
		return;
	}
	events_acked(w, number(o, "event_ack", 0));
	if (!json_object_object_get_ex(o, "orders", &orders))
		return;
	for (i = 0; i < json_object_array_length(orders); i++)
		order_do(w, json_object_array_get_idx(orders, i));
}

static void
on_call_done(void *arg, void *user, const struct back_answer *a)
{
	struct json_object *o;
	struct worker *w = user;
	char *body = str_cstr(NULL, a->body);

	w->calling = false;
	TALLOC_FREE(w->call_timer);
	o = json_tokener_parse(body);
	talloc_free(body);
	if (a->status == 200 && w->done) {
		w->left = true;
	} else if (a->status == 200 && o != NULL) {
		reply_ok(w, o);
		worker_later(w, w->announced ? w->poll_ms : RETRY_MS);
	} else if ((a->status == 409 || a->status == 404) && w->announced) {
		/* The lease has been given up on: starts as a new worker. */
		worker_restart(w);
		worker_later(w, RETRY_MS);
	} else {
		w->done = false;
		w->target++;
		worker_later(w, RETRY_MS);
	}
	json_object_put(o);
}

static void
on_call_failed(void *arg, void *user, enum back_fail kind, bool sent)
{
	struct worker *w = user;

	w->calling = w->done = false;
	TALLOC_FREE(w->call_timer);
	w->target++;
	worker_later(w, RETRY_MS);
}

static void
on_call_sent(void *arg, void *user)
{
	(void)arg;
	(void)user;
}

/* ---- requests ---- */

static void
served_reply(struct worker *w, struct front_req *http, int status,
    uint64_t request, bool refused, const char *body)
{
	struct front_header h[3];
	struct front_reply r;
	char id[32];

	memset(&r, 0, sizeof(r));
	snprintf(id, sizeof(id), "%llu", (unsigned long long)request);
	h[0].name = str_from("Content-Type");
	h[0].value = str_from("application/json");
	h[1].name = str_from("Cicadabay-Request");
	h[1].value = str_from(id);
	h[2].name = str_from("Cicadabay-Not-Started");
	h[2].value = str_from("1");
	r.status = status;
	r.headers = h;
	r.nheaders = refused ? 3 : 2;
	r.body = str_from(body);
	front_answer(http, &r);
}

static void
served_end(struct served *s)
{
	s->w->running--;
	if (s->late)
		s->w->overdue--;
	talloc_free(s);
}

static void
on_served(struct tevent_context *c, struct tevent_timer *te, struct timeval tv,
    void *arg)
{
	struct served *s = arg;
	char *body;

	if (s->w->silent)
		return;
	body = talloc_asprintf(s,
	    "{\"worker\":\"%s\",\"request\":%llu,\"target\":\"" STR_FMT "\"}\n",
	    s->w->name, (unsigned long long)s->request,
	    STR_ARG(s->http->target));
	served_reply(
	    s->w, s->http, opt.fail ? 500 : 200, s->request, false, body);
	served_end(s);
}

static void
on_over(struct tevent_context *c, struct tevent_timer *te, struct timeval tv,
    void *arg)
{
	struct served *s = arg;

	s->late = true;
	s->w->overdue++;
}

static int64_t
header_number(struct front_req *http, const char *name)
{
	struct str v = front_header_get(http, name, NULL);
	int64_t n = 0;

	return str_to_i64(v, &n) ? n : 0;
}

static void
on_request(void *arg, struct front_req *http)
{
	struct worker *w = arg;
	uint64_t request = (uint64_t)header_number(http, "Cicadabay-Request");
	uint64_t epoch = (uint64_t)header_number(http, "Cicadabay-Epoch");
	int64_t limit = header_number(http, "Cicadabay-Timeout-Ms");
	int64_t ms = opt.service_ms;
	struct served *s;

	if (!w->silent && str_eq_c(http->path, "/ping")) {
		served_reply(w, http, 200, request, false, "{}\n");
		return;
	}
	if (!w->silent && !opt.no_guards &&
	    (epoch < w->epoch || w->running >= (unsigned)opt.slots)) {
		served_reply(w, http, 503, request, true,
		    epoch < w->epoch ? "{\"refused\":\"epoch\"}\n"
				     : "{\"refused\":\"slots\"}\n");
		return;
	}
	note("R %s %llu %llu " STR_FMT, w->name, (unsigned long long)epoch,
	    (unsigned long long)request, STR_ARG(http->target));
	s = talloc_zero(NULL, struct served);
	s->w = w;
	s->http = http;
	s->request = request;
	http->user = s;
	w->running++;
	if (opt.jitter_ms > 0)
		ms += (int64_t)rng_exp(&rng, opt.jitter_ms);
	s->timer = tevent_add_timer(ev, s, in_ms(ms), on_served, s);
	if (limit > 0)
		s->over = tevent_add_timer(ev, s, in_ms(limit), on_over, s);
}

/* The work goes on: closing a connection doesn't stop what was started. */
static void
on_gone(void *arg, struct front_req *http)
{
	(void)arg;
	(void)http;
}

/* ---- start ---- */

static void
on_silent(struct tevent_context *c, struct tevent_timer *te, struct timeval tv,
    void *arg)
{
	int i;

	for (i = 0; i < opt.count; i++)
		workers[i].silent = true;
}

static void
leave_all(void)
{
	int i;

	stopping = true;
	for (i = 0; i < opt.count; i++)
		worker_call(&workers[i]);
}

static void
on_leave(struct tevent_context *c, struct tevent_timer *te, struct timeval tv,
    void *arg)
{
	leave_all();
}

static void
on_term(struct tevent_context *c, struct tevent_signal *se, int signum,
    int count, void *info, void *arg)
{
	leave_all();
}

static void
on_usr1(struct tevent_context *c, struct tevent_signal *se, int signum,
    int count, void *info, void *arg)
{
	on_silent(ev, NULL, tevent_timeval_zero(), NULL);
}

static bool
all_left(void)
{
	bool all = stopping;
	int i;

	for (i = 0; i < opt.count && all; i++)
		all = workers[i].left;
	return all;
}

static bool
worker_init(struct worker *w, int i)
{
	struct front_conf fc;
	struct sockaddr_in sin = { 0 };
	socklen_t len = sizeof(sin);
	struct err e;
	char addr[64];

	err_clear(&e);
	memset(&fc, 0, sizeof(fc));
	snprintf(w->name, sizeof(w->name), "%s-%d",
	    opt.name ? opt.name : "worker", i);
	snprintf(addr, sizeof(addr), "%s:%d",
	    opt.listen ? opt.listen : "127.0.0.1",
	    opt.port > 0 ? opt.port + i : 0);
	fc.listen_fd = sock_listen(str_from(addr), false, &e);
	if (fc.listen_fd < 0) {
		fprintf(stderr, "%s\n", e.msg);
		return false;
	}
	getsockname(fc.listen_fd, (struct sockaddr *)&sin, &len);
	snprintf(w->addr, sizeof(w->addr), "%s:%d",
	    opt.listen ? opt.listen : "127.0.0.1", ntohs(sin.sin_port));
	fc.body_max = 16 * 1024 * 1024;
	fc.connections_max = 1024;
	fc.ctr = &ctr;
	fc.request = on_request;
	fc.gone = on_gone;
	fc.arg = w;
	w->front = front_new(ev, ev, &fc, &e);
	w->incarnation = rng_next(&rng) >> 1;
	w->events = g_array_new(FALSE, TRUE, sizeof(struct event));
	w->poll_ms = 1000;
	w->lease_ms = 6000;
	w->target = (unsigned)i;
	worker_later(w, 1 + i % 100);
	return w->front != NULL;
}

static GOptionEntry entries[] = {
	{ "instances", 0, 0, G_OPTION_ARG_STRING, &opt.instances,
	    "addresses of instances, joined by commas", "A,B" },
	{ "name", 0, 0, G_OPTION_ARG_STRING, &opt.name, "prefix of names",
	    "NAME" },
	{ "count", 0, 0, G_OPTION_ARG_INT, &opt.count, "workers to act as",
	    "N" },
	{ "listen", 0, 0, G_OPTION_ARG_STRING, &opt.listen, "own IP number",
	    "IP" },
	{ "port", 0, 0, G_OPTION_ARG_INT, &opt.port, "first port, 0: any",
	    "N" },
	{ "serves", 0, 0, G_OPTION_ARG_STRING, &opt.serves,
	    "classes of requests", "A,B" },
	{ "rack", 0, 0, G_OPTION_ARG_STRING, &opt.rack, "rack", "NAME" },
	{ "domain", 0, 0, G_OPTION_ARG_STRING, &opt.domain, "failure domain",
	    "NAME" },
	{ "cpu-milli", 0, 0, G_OPTION_ARG_INT, &opt.cpu_milli, "capacity",
	    "N" },
	{ "mem-mb", 0, 0, G_OPTION_ARG_INT, &opt.mem_mb, "capacity", "N" },
	{ "accel", 0, 0, G_OPTION_ARG_INT, &opt.accel, "accelerators", "N" },
	{ "slots", 0, 0, G_OPTION_ARG_INT, &opt.slots, "request slots", "N" },
	{ "connections", 0, 0, G_OPTION_ARG_INT, &opt.connections,
	    "most connections", "N" },
	{ "service-ms", 0, 0, G_OPTION_ARG_INT, &opt.service_ms,
	    "time of a request", "MS" },
	{ "jitter-ms", 0, 0, G_OPTION_ARG_INT, &opt.jitter_ms,
	    "mean of an exponential addition to it", "MS" },
	{ "checkpoint-ms", 0, 0, G_OPTION_ARG_INT, &opt.checkpoint_ms,
	    "between checkpoints of a task", "MS" },
	{ "usage-percent", 0, 0, G_OPTION_ARG_INT, &opt.usage_percent,
	    "use of a task, of its limit", "N" },
	{ "ledger", 0, 0, G_OPTION_ARG_FILENAME, &opt.ledger,
	    "file to append to", "FILE" },
	{ "fail", 0, 0, G_OPTION_ARG_NONE, &opt.fail, "fail everything it runs",
	    NULL },
	{ "no-guards", 0, 0, G_OPTION_ARG_NONE, &opt.no_guards,
	    "refuse nothing", NULL },
	{ "silent-after-ms", 0, 0, G_OPTION_ARG_INT, &opt.silent_after_ms,
	    "then answer and poll no more (also SIGUSR1)", "MS" },
	{ "leave-after-ms", 0, 0, G_OPTION_ARG_INT, &opt.leave_after_ms,
	    "then leave (also SIGTERM)", "MS" },
	{ "seed", 0, 0, G_OPTION_ARG_INT, &opt.seed, "of random times", "N" },
	{ NULL, 0, 0, 0, NULL, NULL, NULL },
};

static bool
options(int argc, char **argv)
{
	GOptionContext *c = g_option_context_new("- fake workers");
	GError *ge = NULL;

	g_option_context_add_main_entries(c, entries, NULL);
	if (!g_option_context_parse(c, &argc, &argv, &ge)) {
		fprintf(stderr, "%s\n", ge->message);
		return false;
	}
	g_option_context_free(c);
	if (opt.instances == NULL || opt.count < 1 || opt.count > WORKERS_MAX) {
		fprintf(stderr, "--instances is required; --count 1 to %d\n",
		    WORKERS_MAX);
		return false;
	}
	instances = g_strsplit(opt.instances, ",", -1);
	ninstances = g_strv_length(instances);
	return true;
}

int
main(int argc, char **argv)
{
	struct back_conf bc = { &ctr, on_call_sent, on_call_done,
		on_call_failed, NULL };
	int i;

	if (!options(argc, argv))
		return 2;
	if (opt.ledger != NULL && (ledger = fopen(opt.ledger, "ae")) == NULL) {
		perror(opt.ledger);
		return 1;
	}
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	the_clock = clk_system();
	/* Incarnations differ between processes, whatever the seed. */
	rng_init(&rng,
	    (uint64_t)opt.seed ^ (uint64_t)wall_ms() << 20 ^
		(uint64_t)getpid());
	ev = tevent_context_init(NULL);
	ctr_init(&ctr, ev, nctr_desc, NCTR_COUNT);
	back = back_new(ev, ev, &bc);
	workers = talloc_zero_array(ev, struct worker, (size_t)opt.count);
	for (i = 0; i < opt.count; i++) {
		if (!worker_init(&workers[i], i))
			return 1;
	}
	tevent_add_signal(ev, ev, SIGTERM, 0, on_term, NULL);
	tevent_add_signal(ev, ev, SIGUSR1, 0, on_usr1, NULL);
	if (opt.silent_after_ms > 0)
		tevent_add_timer(
		    ev, ev, in_ms(opt.silent_after_ms), on_silent, NULL);
	if (opt.leave_after_ms > 0)
		tevent_add_timer(
		    ev, ev, in_ms(opt.leave_after_ms), on_leave, NULL);
	printf("ready %d\n", opt.count);
	fflush(stdout);
	while (!all_left()) {
		if (tevent_loop_once(ev) != 0)
			return 1;
	}
	return 0;
}
