/*
 * Fake workers for tests and the demo. They announce themselves, poll, run
 * tasks as timers, serve requests and write all that they ran to a ledger.
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
/* Calls that fit in a lease: one silent instance must not cost it. */
#define CALLS_PER_LEASE 3
#define WORKERS_MAX	2000
#define EVENT_DELAY_MS	10   /* from an event to the poll that reports it */
#define LEAVE_GRACE_MS	3000 /* requests may still arrive for this long */

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
	/* Work in milliseconds at full speed. */
	double progress_ms, goal_ms;
	uint64_t checkpoint_ms;
	unsigned throttle_percent;   /* of full speed */
	struct timespec advanced_at; /* when progress_ms was computed */
	struct tevent_timer *timer;
};

/* A task event that no poll has acknowledged yet. */
struct event {
	uint64_t seq, task, progress_ms;
	uint32_t attempt;
	const char *kind;
};

struct worker {
	char name[96], addr[64];
	uint64_t incarnation, epoch, order_seq, event_seq;
	/* done_sent: the last call of leaving is sent; has_left: answered. */
	bool announced, calling, leaving, done_sent, has_left, silent;
	unsigned target; /* next instance to ask, modulo ninstances */
	struct timespec asked_at, lease_end, leaving_since;
	int64_t lease_ms, poll_ms;
	struct front *front;
	struct task *tasks;
	GArray *events;
	unsigned nrequests, noverdue; /* requests in service */
	struct tevent_timer *next_call_timer, *call_timer, *lease_timer;
	struct back_call *call; /* valid while calling */
};

/* A request in service; overdue is one over its time limit. */
struct served {
	struct worker *w;
	struct front_req *http;
	uint64_t request;
	bool is_overdue;
	struct tevent_timer *done_timer, *overdue_timer;
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
static void worker_schedule_call(struct worker *, int64_t ms);

/* Returns the wall-clock time in milliseconds. */
static int64_t
wall_ms(void)
{
	return clk_ns(clk_wall(&the_clock)) / CLK_NS_PER_MS;
}

/* Returns the time in ms milliseconds as a timer takes it. */
static struct timeval
in_ms(int64_t ms)
{
	ms = ms > 0 ? ms : 0;
	return tevent_timeval_current_ofs(
	    (uint32_t)(ms / 1000), (uint32_t)(ms % 1000) * 1000);
}

/* Writes a line to the ledger, if there is one. */
static void __attribute__((format(printf, 1, 2)))
ledger_write(const char *fmt, ...)
{
	va_list ap;

	if (ledger == NULL)
		return;
	fprintf(ledger, "%lld ", (long long)wall_ms());
	va_start(ap, fmt);
	vfprintf(ledger, fmt, ap);
	va_end(ap);
	fputc('\n', ledger);
	/* So that no line is lost when the process is killed. */
	fflush(ledger);
}

/* Queues a task event for the next poll. */
static void
event_add(
    struct worker *w, const struct task *t, const char *kind, uint64_t progress)
{
	struct event e = { ++w->event_seq, t->id, progress, t->attempt, kind };

	g_array_append_val(w->events, e);
}

/* Brings the progress of a task up to the current time. */
static void
task_advance(struct task *t)
{
	struct timespec now = clk_now(&the_clock);

	t->progress_ms += (double)clk_diff_ns(now, t->advanced_at) /
	    CLK_NS_PER_MS * t->throttle_percent / 100.0;
	t->advanced_at = now;
}

/* Records the end of a task in the ledger and frees the task. */
static void
task_end(struct task *t, const char *how)
{
	struct task **p;

	ledger_write("E %s %llu %u %llu %s", t->w->name,
	    (unsigned long long)t->id, t->attempt, (unsigned long long)t->epoch,
	    how);
	for (p = &t->w->tasks; *p != t; p = &(*p)->next)
		;
	*p = t->next;
	talloc_free(t);
}

static void task_set_timer(struct task *);

/* Ends a task that is done or fails, or else takes a checkpoint of it. */
static void
on_task_timer(struct tevent_context *c, struct tevent_timer *te,
    struct timeval tv, void *arg)
{
	struct task *t = arg;
	struct worker *w = t->w;

	t->timer = NULL;
	task_advance(t);
	if (opt.fail) {
		event_add(w, t, "failed", 0);
		task_end(t, "failed");
	} else if (t->progress_ms >= t->goal_ms) {
		event_add(w, t, "done", (uint64_t)t->goal_ms);
		task_end(t, "done");
	} else {
		t->checkpoint_ms = (uint64_t)t->progress_ms;
		event_add(w, t, "checkpointed", t->checkpoint_ms);
		task_set_timer(t);
		return;
	}
	if (!w->silent)
		worker_schedule_call(w, EVENT_DELAY_MS);
}

/*
 * Sets the timer of a task to its end or its next checkpoint; a task throttled
 * to 0 has none.
 */
static void
task_set_timer(struct task *t)
{
	double left = t->goal_ms - t->progress_ms, wait;

	if (t->throttle_percent == 0) {
		TALLOC_FREE(t->timer);
		return;
	}
	wait = left * 100.0 / t->throttle_percent;
	if (wait > opt.checkpoint_ms)
		wait = opt.checkpoint_ms;
	if (wait < 1)
		wait = 1;
	TALLOC_FREE(t->timer);
	t->timer =
	    tevent_add_timer(ev, t, in_ms((int64_t)wait), on_task_timer, t);
}

/* Returns a number of a JSON object, or def if it is missing. */
static uint64_t
json_number(struct json_object *o, const char *name, uint64_t def)
{
	struct json_object *v;

	return json_object_object_get_ex(o, name, &v)
	    ? json_object_get_uint64(v)
	    : def;
}

/* Returns a string of a JSON object, or an empty one if it is missing. */
static const char *
json_text(struct json_object *o, const char *name)
{
	struct json_object *v;

	return json_object_object_get_ex(o, name, &v)
	    ? json_object_get_string(v)
	    : "";
}

/* Returns the task with an identifier, or NULL. */
static struct task *
task_find(struct worker *w, uint64_t id)
{
	struct task *t = w->tasks;

	while (t != NULL && t->id != id)
		t = t->next;
	return t;
}

/* Starts the task of an order, from its checkpoint if it has one. */
static void
task_start(struct worker *w, struct json_object *o)
{
	struct task *t = talloc_zero(NULL, struct task);

	t->w = w;
	t->id = json_number(o, "task", 0);
	t->attempt = (uint32_t)json_number(o, "attempt", 0);
	t->epoch = w->epoch;
	t->cpu_milli = json_number(o, "cpu_milli", 0);
	t->mem_mb = json_number(o, "mem_mb", 0);
	t->goal_ms = (double)json_number(o, "run_ms", DEFAULT_RUN_MS);
	t->checkpoint_ms = json_number(o, "resume_from", 0);
	t->progress_ms = (double)t->checkpoint_ms;
	t->throttle_percent = 100;
	t->advanced_at = clk_now(&the_clock);
	t->next = w->tasks;
	w->tasks = t;
	ledger_write("S %s %llu %u %llu %llu", w->name,
	    (unsigned long long)t->id, t->attempt, (unsigned long long)t->epoch,
	    (unsigned long long)t->checkpoint_ms);
	event_add(w, t, "running", t->checkpoint_ms);
	task_set_timer(t);
}

/* Stops a task and reports it, after a checkpoint if that is asked for. */
static void
task_stop(struct task *t, bool checkpoint)
{
	task_advance(t);
	if (checkpoint)
		t->checkpoint_ms = (uint64_t)t->progress_ms;
	event_add(t->w, t, "stopped", t->checkpoint_ms);
	task_end(t, "stopped");
}

/* Carries out one order; ignores older ones and those of other epochs. */
static void
order_execute(struct worker *w, struct json_object *o)
{
	uint64_t seq = json_number(o, "seq", 0);
	const char *kind = json_text(o, "kind");
	struct task *t;

	if (seq <= w->order_seq || json_number(o, "epoch", 0) != w->epoch)
		return;
	w->order_seq = seq;
	t = task_find(w, json_number(o, "task", 0));
	if (strcmp(kind, "start") == 0) {
		if (t == NULL)
			task_start(w, o);
		return;
	}
	if (t == NULL || t->attempt != json_number(o, "attempt", 0))
		return;
	if (strcmp(kind, "throttle") == 0) {
		task_advance(t);
		t->throttle_percent = (unsigned)json_number(o, "percent", 100);
		task_set_timer(t);
	} else {
		task_stop(t, strcmp(kind, "checkpoint") == 0);
	}
}

/*
 * Ends all tasks without reporting them. Without a lease nothing may run, as
 * the tasks may have been given to another worker.
 */
static void
tasks_end_all(struct worker *w, const char *how)
{
	while (w->tasks != NULL)
		task_end(w->tasks, how);
	g_array_set_size(w->events, 0);
}

/* Adds an empty array to a JSON object and returns it. */
static struct json_object *
json_add_list(struct json_object *o, const char *name)
{
	struct json_object *l = json_object_new_array();

	json_object_object_add(o, name, l);
	return l;
}

/* Adds a number to a JSON object. */
static void
json_add_number(struct json_object *o, const char *name, uint64_t v)
{
	json_object_object_add(o, name, json_object_new_uint64(v));
}

/* Returns the body of the call that announces a worker. */
static struct json_object *
announce_body(struct worker *w)
{
	struct json_object *o = json_object_new_object(), *l;
	char **names = g_strsplit(opt.serves ? opt.serves : "", ",", -1);
	size_t i;

	json_add_number(o, "incarnation", w->incarnation);
	json_object_object_add(o, "addr", json_object_new_string(w->addr));
	json_add_number(o, "cpu_milli", (uint64_t)opt.cpu_milli);
	json_add_number(o, "mem_mb", (uint64_t)opt.mem_mb);
	json_add_number(o, "accel", (uint64_t)opt.accel);
	json_add_number(o, "slots", (uint64_t)opt.slots);
	json_add_number(o, "connections", (uint64_t)opt.connections);
	if (opt.rack != NULL)
		json_object_object_add(
		    o, "rack", json_object_new_string(opt.rack));
	if (opt.domain != NULL)
		json_object_object_add(
		    o, "domain", json_object_new_string(opt.domain));
	l = json_add_list(o, "serves");
	for (i = 0; names[i] != NULL && names[i][0] != '\0'; i++)
		json_object_array_add(l, json_object_new_string(names[i]));
	g_strfreev(names);
	return o;
}

/* Returns the body of a poll: events, running tasks and their usage. */
static struct json_object *
poll_body(struct worker *w)
{
	struct json_object *o = json_object_new_object(), *l, *e;
	uint64_t cpu = 0, mem = 0, task_cpu, task_mem;
	struct event *v;
	struct task *t;
	guint i;

	json_add_number(o, "incarnation", w->incarnation);
	json_add_number(o, "epoch", w->epoch);
	l = json_add_list(o, "events");
	for (i = 0; i < w->events->len; i++) {
		v = &g_array_index(w->events, struct event, i);
		e = json_object_new_object();
		json_add_number(e, "task", v->task);
		json_add_number(e, "attempt", v->attempt);
		json_object_object_add(
		    e, "kind", json_object_new_string(v->kind));
		json_add_number(e, "progress", v->progress_ms);
		json_object_array_add(l, e);
	}
	json_add_number(o, "event_seq", w->event_seq);
	json_add_number(o, "overdue", w->noverdue);
	json_add_number(o, "running_requests", w->nrequests);
	json_add_number(o, "order_seq", w->order_seq);
	json_add_number(o, "usage_age_ms", 0);
	l = json_add_list(o, "usage");
	e = json_add_list(o, "running");
	for (t = w->tasks; t != NULL; t = t->next) {
		struct json_object *u = json_object_new_object();

		task_cpu = t->cpu_milli * (unsigned)opt.usage_percent / 100;
		task_mem = t->mem_mb * (unsigned)opt.usage_percent / 100;
		json_add_number(u, "task", t->id);
		json_add_number(u, "cpu_milli", task_cpu);
		json_add_number(u, "mem_mb", task_mem);
		cpu += task_cpu;
		mem += task_mem;
		json_object_array_add(l, u);
		json_object_array_add(e, json_object_new_uint64(t->id));
	}
	json_add_number(o, "cpu_used_milli", cpu);
	json_add_number(o, "mem_used_mb", mem);
	return o;
}

static void on_call_failed(void *, void *, enum back_fail, bool);

/* Aborts a call without an answer; the next one asks another instance. */
static void
on_call_timeout(struct tevent_context *c, struct tevent_timer *te,
    struct timeval tv, void *arg)
{
	struct worker *w = arg;

	w->call_timer = NULL;
	back_abort(w->call);
	on_call_failed(NULL, w, BACK_RESET, true);
}

/* Ends all tasks when the lease has expired by this worker's own clock. */
static void
on_lease_end(struct tevent_context *c, struct tevent_timer *te,
    struct timeval tv, void *arg)
{
	struct worker *w = arg;

	w->lease_timer = NULL;
	tasks_end_all(w, "expired");
}

/* Sends a call of a worker to its current instance; frees the body. */
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
	r.reuse_without_echo = true;
	r.max_connections = (unsigned)opt.count + 1;
	r.user = w;
	w->calling = true;
	w->asked_at = clk_now(&the_clock);
	w->call = back_start(back, &r);
	w->call_timer = tevent_add_timer(
	    ev, ev, in_ms(w->lease_ms / CALLS_PER_LEASE), on_call_timeout, w);
	json_object_put(body);
}

/* Drops all tasks and begins a new incarnation, not announced yet. */
static void
worker_restart(struct worker *w)
{
	tasks_end_all(w, "dropped");
	w->announced = w->leaving = w->done_sent = false;
	w->order_seq = w->event_seq = 0;
	w->incarnation = rng_next(&rng) >> 1;
}

/*
 * Returns whether a leaving worker may end: it runs nothing, has reported all
 * events and gets no new requests.
 */
static bool
worker_is_idle(const struct worker *w)
{
	return clk_diff_ms(clk_now(&the_clock), w->leaving_since) >=
	    LEAVE_GRACE_MS &&
	    w->nrequests == 0 && w->tasks == NULL && w->events->len == 0;
}

/* Sends the next call, which announces the worker, polls or leaves. */
static void
worker_call(struct worker *w)
{
	struct json_object *o;

	if (w->calling || w->silent || w->has_left)
		return;
	if (!w->announced && stopping) {
		w->has_left = true;
		return;
	}
	if (!w->announced) {
		call_send(w, "", announce_body(w));
		return;
	}
	if (stopping && !w->leaving) {
		w->leaving = true;
		w->leaving_since = clk_now(&the_clock);
		o = json_object_new_object();
		json_add_number(o, "incarnation", w->incarnation);
		call_send(w, "/leave", o);
		return;
	}
	if (w->leaving && !w->done_sent && worker_is_idle(w)) {
		w->done_sent = true;
		o = json_object_new_object();
		json_add_number(o, "incarnation", w->incarnation);
		json_object_object_add(
		    o, "done", json_object_new_boolean(true));
		call_send(w, "/leave", o);
		return;
	}
	call_send(w, "/poll", poll_body(w));
}

/* Sends the next call of a worker. */
static void
on_next_call(struct tevent_context *c, struct tevent_timer *te,
    struct timeval tv, void *arg)
{
	struct worker *w = arg;

	w->next_call_timer = NULL;
	worker_call(w);
}

/* Schedules the next call of a worker, in place of one scheduled before. */
static void
worker_schedule_call(struct worker *w, int64_t ms)
{
	TALLOC_FREE(w->next_call_timer);
	w->next_call_timer =
	    tevent_add_timer(ev, ev, in_ms(ms), on_next_call, w);
}

/* Removes the events that were acknowledged, up to number ack. */
static void
events_remove_acked(struct worker *w, uint64_t ack)
{
	guint i = 0;

	while (i < w->events->len &&
	    g_array_index(w->events, struct event, i).seq <= ack)
		i++;
	if (i > 0)
		g_array_remove_range(w->events, 0, i);
}

/*
 * Handles a successful reply: renews the lease, then takes the epoch of an
 * announcement or carries out the orders of a poll.
 */
static void
worker_handle_reply(struct worker *w, struct json_object *o)
{
	struct json_object *orders;
	size_t i;

	w->lease_ms =
	    (int64_t)json_number(o, "lease_ms", (uint64_t)w->lease_ms);
	w->poll_ms = (int64_t)json_number(o, "poll_ms", (uint64_t)w->poll_ms);
	w->lease_end = clk_add_ms(w->asked_at, w->lease_ms);
	TALLOC_FREE(w->lease_timer);
	w->lease_timer = tevent_add_timer(ev, ev,
	    in_ms(clk_diff_ms(w->lease_end, clk_now(&the_clock))), on_lease_end,
	    w);
	if (!w->announced) {
		w->announced = true;
		w->epoch = json_number(o, "epoch", 0);
		return;
	}
	events_remove_acked(w, json_number(o, "event_ack", 0));
	if (!json_object_object_get_ex(o, "orders", &orders))
		return;
	for (i = 0; i < json_object_array_length(orders); i++)
		order_execute(w, json_object_array_get_idx(orders, i));
}

/* Handles the answer of an instance and schedules the next call. */
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
	if (a->status == 200 && w->done_sent) {
		w->has_left = true;
	} else if (a->status == 200 && o != NULL) {
		worker_handle_reply(w, o);
		worker_schedule_call(w, w->announced ? w->poll_ms : RETRY_MS);
	} else if ((a->status == 409 || a->status == 404) && w->announced) {
		/* This incarnation's epoch has ended: the worker restarts. */
		worker_restart(w);
		worker_schedule_call(w, RETRY_MS);
	} else {
		w->done_sent = false;
		w->target++;
		worker_schedule_call(w, RETRY_MS);
	}
	json_object_put(o);
}

/* Tries another instance after a call that got no answer. */
static void
on_call_failed(void *arg, void *user, enum back_fail kind, bool sent)
{
	struct worker *w = user;

	w->calling = w->done_sent = false;
	TALLOC_FREE(w->call_timer);
	w->target++;
	worker_schedule_call(w, RETRY_MS);
}

/* Does nothing when the bytes of a call have been sent. */
static void
on_call_sent(void *arg, void *user)
{
	(void)arg;
	(void)user;
}

/* Answers a request; a refused one is marked as not started. */
static void
request_reply(struct worker *w, struct front_req *http, int status,
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

/* Ends the service of a request and frees it. */
static void
served_free(struct served *s)
{
	s->w->nrequests--;
	if (s->is_overdue)
		s->w->noverdue--;
	talloc_free(s);
}

/* Answers a request whose service time is over. */
static void
on_request_done(struct tevent_context *c, struct tevent_timer *te,
    struct timeval tv, void *arg)
{
	struct served *s = arg;
	char *body;

	if (s->w->silent)
		return;
	body = talloc_asprintf(s,
	    "{\"worker\":\"%s\",\"request\":%llu,\"target\":\"" STR_FMT "\"}\n",
	    s->w->name, (unsigned long long)s->request,
	    STR_ARG(s->http->target));
	request_reply(
	    s->w, s->http, opt.fail ? 500 : 200, s->request, false, body);
	served_free(s);
}

/* Counts a request as overdue when its time limit has passed. */
static void
on_overdue(struct tevent_context *c, struct tevent_timer *te, struct timeval tv,
    void *arg)
{
	struct served *s = arg;

	s->is_overdue = true;
	s->w->noverdue++;
}

/* Returns the number in a header of a request, or 0. */
static int64_t
header_number(struct front_req *http, const char *name)
{
	struct str v = front_header_get(http, name, NULL);
	int64_t n = 0;

	return str_to_i64(v, &n) ? n : 0;
}

/*
 * Starts the service of a request; refuses it if its epoch is old or all slots
 * are in use.
 */
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
		request_reply(w, http, 200, request, false, "{}\n");
		return;
	}
	if (!w->silent && !opt.no_guards &&
	    (epoch < w->epoch || w->nrequests >= (unsigned)opt.slots)) {
		request_reply(w, http, 503, request, true,
		    epoch < w->epoch ? "{\"refused\":\"epoch\"}\n"
				     : "{\"refused\":\"slots\"}\n");
		return;
	}
	ledger_write("R %s %llu %llu " STR_FMT, w->name,
	    (unsigned long long)epoch, (unsigned long long)request,
	    STR_ARG(http->target));
	s = talloc_zero(NULL, struct served);
	s->w = w;
	s->http = http;
	s->request = request;
	http->user = s;
	w->nrequests++;
	if (opt.jitter_ms > 0)
		ms += (int64_t)rng_exp(&rng, opt.jitter_ms);
	s->done_timer = tevent_add_timer(ev, s, in_ms(ms), on_request_done, s);
	if (limit > 0)
		s->overdue_timer =
		    tevent_add_timer(ev, s, in_ms(limit), on_overdue, s);
}

/* Does nothing: a closed connection does not stop what was started. */
static void
on_client_gone(void *arg, struct front_req *http)
{
	(void)arg;
	(void)http;
}

/* Makes all workers silent: they answer nothing and do not call. */
static void
on_silent(struct tevent_context *c, struct tevent_timer *te, struct timeval tv,
    void *arg)
{
	int i;

	for (i = 0; i < opt.count; i++)
		workers[i].silent = true;
}

/* Makes all workers leave. */
static void
leave_all(void)
{
	int i;

	stopping = true;
	for (i = 0; i < opt.count; i++)
		worker_call(&workers[i]);
}

/* Makes all workers leave after --leave-after-ms. */
static void
on_leave(struct tevent_context *c, struct tevent_timer *te, struct timeval tv,
    void *arg)
{
	leave_all();
}

/* Makes all workers leave on SIGTERM. */
static void
on_term(struct tevent_context *c, struct tevent_signal *se, int signum,
    int count, void *info, void *arg)
{
	leave_all();
}

/* Makes all workers silent on SIGUSR1. */
static void
on_usr1(struct tevent_context *c, struct tevent_signal *se, int signum,
    int count, void *info, void *arg)
{
	on_silent(ev, NULL, tevent_timeval_zero(), NULL);
}

/* Returns whether all workers have been told to leave and have left. */
static bool
all_left(void)
{
	bool all = stopping;
	int i;

	for (i = 0; i < opt.count && all; i++)
		all = workers[i].has_left;
	return all;
}

/*
 * Starts worker i: listens and schedules its announcement. Prints an error and
 * returns false if it cannot listen.
 */
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
	fc.on_request = on_request;
	fc.on_client_gone = on_client_gone;
	fc.arg = w;
	w->front = front_new(ev, ev, &fc, &e);
	w->incarnation = rng_next(&rng) >> 1;
	w->events = g_array_new(FALSE, TRUE, sizeof(struct event));
	w->poll_ms = 1000;
	w->lease_ms = 6000;
	w->target = (unsigned)i;
	worker_schedule_call(w, 1 + i % 100);
	return w->front != NULL;
}

static GOptionEntry option_entries[] = {
	{ "instances", 0, 0, G_OPTION_ARG_STRING, &opt.instances,
	    "addresses of instances, joined by commas", "A,B" },
	{ "name", 0, 0, G_OPTION_ARG_STRING, &opt.name,
	    "prefix of the worker names", "NAME" },
	{ "count", 0, 0, G_OPTION_ARG_INT, &opt.count, "number of workers",
	    "N" },
	{ "listen", 0, 0, G_OPTION_ARG_STRING, &opt.listen,
	    "IP address to listen on", "IP" },
	{ "port", 0, 0, G_OPTION_ARG_INT, &opt.port,
	    "first port to listen on, 0: any", "N" },
	{ "serves", 0, 0, G_OPTION_ARG_STRING, &opt.serves,
	    "classes of requests it serves", "A,B" },
	{ "rack", 0, 0, G_OPTION_ARG_STRING, &opt.rack, "rack", "NAME" },
	{ "domain", 0, 0, G_OPTION_ARG_STRING, &opt.domain, "failure domain",
	    "NAME" },
	{ "cpu-milli", 0, 0, G_OPTION_ARG_INT, &opt.cpu_milli,
	    "processors in thousandths", "N" },
	{ "mem-mb", 0, 0, G_OPTION_ARG_INT, &opt.mem_mb, "memory in MB", "N" },
	{ "accel", 0, 0, G_OPTION_ARG_INT, &opt.accel, "accelerators", "N" },
	{ "slots", 0, 0, G_OPTION_ARG_INT, &opt.slots, "request slots", "N" },
	{ "connections", 0, 0, G_OPTION_ARG_INT, &opt.connections,
	    "largest number of connections", "N" },
	{ "service-ms", 0, 0, G_OPTION_ARG_INT, &opt.service_ms,
	    "service time of a request", "MS" },
	{ "jitter-ms", 0, 0, G_OPTION_ARG_INT, &opt.jitter_ms,
	    "mean of an exponential addition to the service time", "MS" },
	{ "checkpoint-ms", 0, 0, G_OPTION_ARG_INT, &opt.checkpoint_ms,
	    "time between checkpoints of a task", "MS" },
	{ "usage-percent", 0, 0, G_OPTION_ARG_INT, &opt.usage_percent,
	    "reported use of a task in percent of its limit", "N" },
	{ "ledger", 0, 0, G_OPTION_ARG_FILENAME, &opt.ledger,
	    "file to append the ledger to", "FILE" },
	{ "fail", 0, 0, G_OPTION_ARG_NONE, &opt.fail,
	    "fail all tasks and requests", NULL },
	{ "no-guards", 0, 0, G_OPTION_ARG_NONE, &opt.no_guards,
	    "accept requests of old epochs and beyond the slots", NULL },
	{ "silent-after-ms", 0, 0, G_OPTION_ARG_INT, &opt.silent_after_ms,
	    "time after which it stops answering and polling (also SIGUSR1)",
	    "MS" },
	{ "leave-after-ms", 0, 0, G_OPTION_ARG_INT, &opt.leave_after_ms,
	    "time after which it leaves (also SIGTERM)", "MS" },
	{ "seed", 0, 0, G_OPTION_ARG_INT, &opt.seed, "seed of the random times",
	    "N" },
	{ NULL, 0, 0, 0, NULL, NULL, NULL },
};

/*
 * Reads the command line into opt; prints an error and returns false if it is
 * wrong.
 */
static bool
parse_options(int argc, char **argv)
{
	GOptionContext *c = g_option_context_new("- fake workers");
	GError *ge = NULL;

	g_option_context_add_main_entries(c, option_entries, NULL);
	if (!g_option_context_parse(c, &argc, &argv, &ge)) {
		fprintf(stderr, "%s\n", ge->message);
		return false;
	}
	g_option_context_free(c);
	if (opt.instances == NULL || opt.count < 1 || opt.count > WORKERS_MAX) {
		fprintf(stderr,
		    "--instances is required; --count must be 1 to %d\n",
		    WORKERS_MAX);
		return false;
	}
	instances = g_strsplit(opt.instances, ",", -1);
	ninstances = g_strv_length(instances);
	return true;
}

/* Runs the workers until all have left. */
int
main(int argc, char **argv)
{
	struct back_conf bc = { &ctr, on_call_sent, on_call_done,
		on_call_failed, NULL };
	int i;

	if (!parse_options(argc, argv))
		return 2;
	if (opt.ledger != NULL && (ledger = fopen(opt.ledger, "ae")) == NULL) {
		perror(opt.ledger);
		return 1;
	}
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	the_clock = clk_system();
	/* Incarnations must differ between processes with the same seed. */
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
