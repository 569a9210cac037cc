/*
 * Measures the processor time of the leader of jobs by the kind of its work,
 * with simulated workers on a simulated clock.
 *
 * usage: bench_lead [WORKERS [SECONDS]]
 *
 * The load is that of a large deployment: serving tasks from the start and,
 * per second and 1000 workers, 10.7 urgent jobs of 13 tasks, 20.6 best-effort
 * jobs of two steps of 40 tasks and 1.08 long-running jobs of 24 tasks.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clk.h"
#include "base/ctr.h"
#include "base/log.h"
#include "base/rng.h"
#include "job/jctr.h"
#include "job/jlead.h"

#define WHEEL_MS	 8192 /* every event is due in less; a power of two */
#define COMMIT_MS	 12   /* between commits of proposed commands */
#define CALL_MS		 4    /* one way between leader and worker */
#define TICK_MS		 25
#define IMAGES		 16
#define WARM_UP_MS	 3000 /* before the measurement */
#define WORKER_CPU_MILLI 64000
#define WORKER_MEM_MB	 256000
#define START_MS	 INT64_C(1000000)
#define SERVING_MS	 1000
/* Tasks of a long-running job and processors of each, in thousandths. */
#define SERVING_TASKS	  24
#define SERVING_CPU_MILLI 13000
/* Serving tasks per worker that run from the start. */
#define SERVING_PER_WORKER 3

enum work {
	WORK_SUBMIT,
	WORK_APPLY,
	WORK_TICK,
	WORK_PLAN,
	WORK_POLL_ANSWER,
	WORK_ORDER_ANSWER,
	WORK_COUNT
};

static const char *const work_name[] = { "submit", "apply", "tick", "plan",
	"look_answers", "order_answers" };

enum job_kind {
	URGENT,
	BEST_EFFORT,
	LONG_RUNNING
};

struct sim_run {
	Job__Task task;
	uint32_t run;
	int64_t end_ms; /* 0: runs for good */
	bool serves_requests;
};

struct sim_worker {
	GArray *running;	  /* struct sim_run */
	GArray *ended;		  /* struct jl_ended, not acknowledged yet */
	uint64_t next_end;	  /* number of the next ended run */
	uint64_t poll_serial;	  /* of the waiting long poll, or 0 */
	int64_t poll_deadline_ms; /* when that poll gets its answer */
};

enum event_kind {
	EV_END,	  /* a run ends or a long poll times out */
	EV_CALL,  /* a call reaches its worker */
	EV_REPLY, /* an answer reaches the leader */
};

struct event {
	enum event_kind kind;
	uint64_t worker;
	struct jl_call call;
	enum jl_reply_kind answer;
};

struct sim {
	struct jst st;
	struct jlead jl;
	struct ctr_set ctr;
	struct rng rng;
	int64_t now_ms;
	GPtrArray *commands; /* packed, until the next commit */
	/* Timer wheel: the events of each ms, as struct event. */
	GArray *wheel[WHEEL_MS];
	struct sim_worker *workers;
	size_t nworkers;
	uint64_t next_job;
	int64_t spent_ns[WORK_COUNT], calls[WORK_COUNT];
	int64_t log_bytes, starts, polls;
	bool measuring;
};

/* Returns the processor time of this thread in nanoseconds. */
static int64_t
cpu_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return clk_ns(t);
}

/* Returns the simulated time as a timespec. */
static struct timespec
sim_now(const struct sim *s)
{
	return clk_from_ns(s->now_ms * CLK_NS_PER_MS);
}

/* Counts one piece of work that began at processor time since_ns. */
static void
count_work(struct sim *s, enum work work, int64_t since_ns)
{
	if (!s->measuring)
		return;
	s->spent_ns[work] += cpu_ns() - since_ns;
	s->calls[work]++;
}

/* Adds an event at a time less than WHEEL_MS ahead and returns it. */
static struct event *
add_event(struct sim *s, int64_t at_ms)
{
	GArray **slot = &s->wheel[at_ms & (WHEEL_MS - 1)];
	struct event e = { 0 };

	if (at_ms - s->now_ms >= WHEEL_MS)
		abort();
	if (*slot == NULL)
		*slot = g_array_new(FALSE, FALSE, sizeof(struct event));
	g_array_append_val(*slot, e);
	return &g_array_index(*slot, struct event, (*slot)->len - 1);
}

/* Keeps a command that the leader proposed for the next commit. */
static void
on_propose(void *arg, const Job__Command *cmd)
{
	struct sim *s = arg;
	size_t len = job__command__get_packed_size(cmd);
	GByteArray *b = g_byte_array_sized_new((guint)len);

	g_byte_array_set_size(b, (guint)len);
	job__command__pack(cmd, b->data);
	if (s->measuring)
		s->log_bytes += (int64_t)len;
	g_ptr_array_add(s->commands, b);
}

/*
 * Sends a call of the leader on its way to its worker. Texts of the call are
 * not kept, since they live only during this function.
 */
static void
on_call(void *arg, const struct jl_call *c)
{
	struct sim *s = arg;
	struct event *e = add_event(s, s->now_ms + CALL_MS);

	e->kind = EV_CALL;
	e->worker = c->worker;
	e->call = *c;
	e->call.spec = e->call.checkpoint = e->call.id = e->call.addr = NULL;
	if (s->measuring && c->kind == JL_START)
		s->starts++;
	if (s->measuring && c->kind == JL_POLL)
		s->polls++;
}

/* Tells the leader that it is the only one. */
static bool
on_is_sole_leader(void *arg)
{
	return true;
}

/* Applies a committed command to the state. */
static void
apply_command(struct sim *s, const Job__Command *c)
{
	struct jst_result r;

	jlead_apply(&s->jl, sim_now(s), s->now_ms, c, &r);
}

/* Configures the queues urgent, batch and lasting. */
static void
set_queues(struct sim *s)
{
	static char *const names[] = { (char *)"urgent", (char *)"batch",
		(char *)"lasting" };
	Job__Queue q[3], *qs[3];
	Job__Config cf = JOB__CONFIG__INIT;
	Job__Command c = JOB__COMMAND__INIT;
	int i;

	for (i = 0; i < 3; i++) {
		job__queue__init(&q[i]);
		q[i].name = names[i];
		q[i].host = (char *)"h";
		q[i].prefix = names[i];
		q[i].service = (char *)"svc";
		q[i].has_priority = q[i].has_max_attempts = 1;
		q[i].priority = i == 1 ? 2 : 0;
		q[i].max_attempts = 3;
		q[i].has_target_ms = q[i].has_stretch_milli = 1;
		q[i].target_ms = i == 0 ? 250 : 1000;
		q[i].stretch_milli = 1500 + 500 * (uint32_t)(i > 0);
		qs[i] = &q[i];
	}
	cf.version = 1;
	cf.queues = qs;
	cf.n_queues = 3;
	c.config = &cf;
	apply_command(s, &c);
}

/* Adds a worker with its index as identifier. */
static void
add_worker(struct sim *s, size_t i)
{
	char id[32], rack[32], *labels[2] = { (char *)"a", rack };
	Job__Worker m = JOB__WORKER__INIT;
	Job__Command c = JOB__COMMAND__INIT;

	snprintf(id, sizeof(id), "i-%08zx", i);
	snprintf(rack, sizeof(rack), "r-%zu", i / 12);
	m.id = id;
	m.addr = (char *)"10.1.2.3:8080";
	m.zone = (char *)"z";
	m.service = (char *)"svc";
	m.born = 1;
	m.cpu_milli = WORKER_CPU_MILLI;
	m.mem_mb = WORKER_MEM_MB;
	m.labels = labels;
	m.n_labels = 2;
	c.worker = &m;
	s->workers[i].running =
	    g_array_new(FALSE, FALSE, sizeof(struct sim_run));
	s->workers[i].ended =
	    g_array_new(FALSE, FALSE, sizeof(struct jl_ended));
	s->workers[i].next_end = 1;
	apply_command(s, &c);
}

/*
 * Submits a job; with two steps, the second is like the first and follows it.
 */
static void
submit_job(struct sim *s, char *queue, const Job__Step *step, int nsteps)
{
	Job__Step st[2] = { *step, *step }, *v[2] = { &st[0], &st[1] };
	Job__Spec spec = JOB__SPEC__INIT;
	Job__Submit m = JOB__SUBMIT__INIT;
	Job__Command c = JOB__COMMAND__INIT;
	uint32_t after = 0;
	int64_t t;

	st[1].after = &after;
	st[1].n_after = 1;
	spec.text = (char *)"work";
	spec.steps = v;
	spec.n_steps = (size_t)nsteps;
	m.job = ++s->next_job * UINT64_C(0x9e3779b97f4a7c15);
	m.queue = queue;
	m.spec = &spec;
	m.at_ms = s->now_ms;
	c.submit = &m;
	t = cpu_ns();
	apply_command(s, &c);
	count_work(s, WORK_SUBMIT, t);
}

/* Submits a job of the given kind, with a random image and spread. */
static void
submit_random(struct sim *s, enum job_kind kind)
{
	static char image[IMAGES][8];
	Job__Step st = JOB__STEP__INIT;
	uint64_t n = rng_below(&s->rng, IMAGES);

	snprintf(image[n], sizeof(image[n]), "im-%u", (unsigned)n);
	st.has_cpu_milli = st.has_mem_mb = st.has_estimate_ms = 1;
	st.estimate_ms = 800;
	if (kind == URGENT) {
		st.count = 13;
		st.cpu_milli = 21000;
		st.mem_mb = 42000;
		submit_job(s, (char *)"urgent", &st, 1);
	} else if (kind == BEST_EFFORT) {
		st.count = 40;
		st.cpu_milli = 7000;
		st.mem_mb = 13000;
		st.estimate_ms = 2200;
		st.has_fills = st.fills = 1;
		st.image = image[n];
		submit_job(s, (char *)"batch", &st, 2);
	} else {
		st.count = SERVING_TASKS;
		st.cpu_milli = SERVING_CPU_MILLI;
		st.mem_mb = 26000;
		st.has_lasting = st.lasting = 1;
		st.has_target_ms = 1;
		st.target_ms = 50;
		st.has_spread = rng_below(&s->rng, 2) != 0;
		st.spread = 4;
		st.image = image[n];
		submit_job(s, (char *)"lasting", &st, 1);
	}
}

/* Returns when a run that starts now ends, or 0 if it runs for good. */
static int64_t
end_time(const struct sim *s, const struct jst_step *st)
{
	return st->spec->lasting ? 0 : s->now_ms + st->spec->estimate_ms;
}

/* Sends the answer of the waiting long poll on its way to the leader. */
static void
answer_poll(struct sim *s, uint64_t num)
{
	struct sim_worker *w = &s->workers[num - 1];
	struct event *e = add_event(s, s->now_ms + CALL_MS);

	e->kind = EV_REPLY;
	e->worker = num;
	e->call.kind = JL_POLL;
	e->call.serial = w->poll_serial;
	e->answer = JL_OK;
	w->poll_serial = 0;
}

/* Ends the runs of a worker that are due and answers its long poll. */
static void
end_runs(struct sim *s, uint64_t num)
{
	struct sim_worker *w = &s->workers[num - 1];
	guint i;

	for (i = 0; i < w->running->len;) {
		struct sim_run *r =
		    &g_array_index(w->running, struct sim_run, i);
		struct jl_ended d = { 0 };

		if (r->end_ms == 0 || r->end_ms > s->now_ms) {
			i++;
			continue;
		}
		d.number = w->next_end++;
		d.task = r->task;
		d.run = r->run;
		d.how = JOB__HOW__DONE;
		d.checkpoint = "";
		g_array_append_val(w->ended, d);
		g_array_remove_index_fast(w->running, i);
	}
	if (w->poll_serial != 0 && w->ended->len > 0)
		answer_poll(s, num);
}

/* Handles a call that reaches its worker. */
static void
on_call_event(struct sim *s, const struct event *ev)
{
	struct sim_worker *w = &s->workers[ev->worker - 1];
	struct jst_step *st = NULL;
	struct event *e;
	struct sim_run r;

	if (ev->call.kind == JL_POLL) {
		while (w->ended->len > 0 &&
		    g_array_index(w->ended, struct jl_ended, 0).number <=
			ev->call.acked_end)
			g_array_remove_index(w->ended, 0);
		w->poll_serial = ev->call.serial;
		w->poll_deadline_ms = s->now_ms + ev->call.wait_ms;
		if (w->ended->len > 0 || ev->call.wait_ms == 0) {
			answer_poll(s, ev->worker);
			return;
		}
		e = add_event(s, w->poll_deadline_ms);
		e->kind = EV_END;
		e->worker = ev->worker;
		e->call.serial = w->poll_serial;
		return;
	}
	if (ev->call.kind == JL_START &&
	    jst_find_task(&s->st, &ev->call.task, &st) != NULL) {
		r.task = ev->call.task;
		r.run = ev->call.run;
		r.serves_requests = st->spec->target_ms > 0;
		r.end_ms = end_time(s, st);
		g_array_append_val(w->running, r);
		if (r.end_ms != 0) {
			e = add_event(s, r.end_ms);
			e->kind = EV_END;
			e->worker = ev->worker;
		}
	}
	e = add_event(s, s->now_ms + CALL_MS);
	e->kind = EV_REPLY;
	e->worker = ev->worker;
	e->call = ev->call;
	e->answer = JL_OK;
}

/* Passes an answer that reaches the leader to it. */
static void
on_reply_event(struct sim *s, const struct event *ev)
{
	struct sim_worker *w = &s->workers[ev->worker - 1];
	struct jl_running *rows;
	struct jl_reply rep = { 0 };
	int64_t t;
	guint i;

	rep.kind = ev->answer;
	rep.call = ev->call.kind;
	rep.worker = ev->worker;
	rep.serial = ev->call.serial;
	rep.task = ev->call.task;
	rep.run = ev->call.run;
	rep.has_clock = true;
	rep.clock_ms = s->now_ms;
	rep.incarnation = 1;
	rows = calloc(w->running->len + 1, sizeof(*rows));
	for (i = 0; rep.call == JL_POLL && i < w->running->len; i++) {
		struct sim_run *r =
		    &g_array_index(w->running, struct sim_run, i);

		rows[i].task = r->task;
		rows[i].run = r->run;
		rows[i].checkpoint = "0123456789abcdef";
		rows[i].progress_percent = 100;
		rows[i].metric = r->serves_requests
		    ? 12 + (uint32_t)rng_below(&s->rng, 30)
		    : 7000;
		rep.nrunning++;
	}
	rep.running = rows;
	if (rep.call == JL_POLL) {
		rep.ended = (struct jl_ended *)(void *)w->ended->data;
		rep.nended = w->ended->len;
	}
	t = cpu_ns();
	jlead_reply(&s->jl, sim_now(s), &rep);
	count_work(
	    s, rep.call == JL_POLL ? WORK_POLL_ANSWER : WORK_ORDER_ANSWER, t);
	free(rows);
}

/* Commits and applies the commands proposed since the last commit. */
static void
commit_commands(struct sim *s)
{
	GPtrArray *v = s->commands;
	guint i;
	int64_t t = cpu_ns();

	s->commands = g_ptr_array_new();
	for (i = 0; i < v->len; i++) {
		GByteArray *b = v->pdata[i];
		Job__Command *c = job__command__unpack(NULL, b->len, b->data);

		apply_command(s, c);
		job__command__free_unpacked(c, NULL);
		g_byte_array_free(b, TRUE);
	}
	count_work(s, WORK_APPLY, t);
	if (s->measuring && v->len > 0)
		s->calls[WORK_APPLY] += v->len - 1;
	g_ptr_array_free(v, TRUE);
}

/* Runs one millisecond of the simulation. */
static void
run_ms(struct sim *s)
{
	GArray *slot;
	guint i;
	int64_t t;

	s->now_ms++;
	slot = s->wheel[s->now_ms & (WHEEL_MS - 1)];
	s->wheel[s->now_ms & (WHEEL_MS - 1)] = NULL;
	for (i = 0; slot != NULL && i < slot->len; i++) {
		struct event *e = &g_array_index(slot, struct event, i);
		struct sim_worker *w = &s->workers[e->worker - 1];

		if (e->kind == EV_CALL)
			on_call_event(s, e);
		else if (e->kind == EV_REPLY)
			on_reply_event(s, e);
		else if (e->call.serial == 0) /* not of a long poll */
			end_runs(s, e->worker);
		else if (e->call.serial == w->poll_serial)
			answer_poll(s, e->worker);
	}
	if (slot != NULL)
		g_array_free(slot, TRUE);
	if (s->now_ms % COMMIT_MS == 0)
		commit_commands(s);
	if (s->now_ms % TICK_MS == 0) {
		t = cpu_ns();
		jlead_tick(&s->jl, sim_now(s), s->now_ms);
		count_work(s, WORK_TICK, t);
	}
	t = cpu_ns();
	jlead_plan(&s->jl);
	count_work(s, WORK_PLAN, t);
}

/* Submits the jobs that arrive in this millisecond. */
static void
submit_arrivals(struct sim *s)
{
	/* Jobs a second for 1000 workers, by kind. */
	static const double rate[] = { 10.7, 20.6, 1.08 };
	int i;

	for (i = 0; i < 3; i++) {
		if (rng_chance(
			&s->rng, rate[i] * (double)s->nworkers / 1000 / 1000))
			submit_random(s, (enum job_kind)i);
	}
}

int
main(int argc, char **argv)
{
	static struct sim s;
	struct jlead_ops ops = { on_propose, on_call, on_is_sole_leader, &s };
	size_t i, n = argc > 1 ? (size_t)atoi(argv[1]) : 1800;
	int64_t end, seconds = argc > 2 ? atoi(argv[2]) : 10;
	int64_t total_ns = 0;
	int d;

	log_set_level(LOG_ERR);
	rng_init(&s.rng, 7);
	s.now_ms = START_MS;
	s.nworkers = n;
	s.workers = calloc(n, sizeof(*s.workers));
	s.commands = g_ptr_array_new();
	ctr_init(&s.ctr, NULL, jctr_desc, JCTR_COUNT);
	jst_init(&s.st);
	jlead_init(&s.jl, &s.st, &ops, &s.ctr);
	set_queues(&s);
	for (i = 0; i < n; i++)
		add_worker(&s, i);
	jlead_begin(&s.jl, sim_now(&s), s.now_ms, 1);
	for (i = 0; i < n * SERVING_PER_WORKER / SERVING_TASKS; i++)
		submit_random(&s, LONG_RUNNING);
	for (end = s.now_ms + WARM_UP_MS; s.now_ms < end;) {
		submit_arrivals(&s);
		run_ms(&s);
	}
	s.measuring = true;
	for (end = s.now_ms + seconds * 1000; s.now_ms < end;) {
		submit_arrivals(&s);
		run_ms(&s);
	}
	printf("lead_workers %zu workers\n", n);
	printf("lead_starts %.0f per_s\n", (double)s.starts / (double)seconds);
	printf("lead_looks %.0f per_s\n", (double)s.polls / (double)seconds);
	printf("lead_log %.1f KB_per_s\n",
	    (double)s.log_bytes / (double)seconds / 1000);
	for (d = 0; d < WORK_COUNT; d++) {
		printf("lead_%s %.4f core (%.2f us each)\n", work_name[d],
		    (double)s.spent_ns[d] / (double)seconds / 1e9,
		    (double)s.spent_ns[d] / 1e3 /
			(double)(s.calls[d] > 0 ? s.calls[d] : 1));
		total_ns += s.spent_ns[d];
	}
	printf(
	    "lead_all %.4f core\n", (double)total_ns / (double)seconds / 1e9);
	return 0;
}
