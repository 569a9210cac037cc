/*
 * Measures a plan without look-ahead and with it, in one run.
 *
 * usage: bench_look [WORKERS [RUNS [ROUNDS]]]
 *
 * Each worker has RUNS short tasks, of which some are longer than expected.
 * Large tasks of three sizes fit nowhere, so that a plan with look-ahead makes
 * as many searches as it may. Prints the processor time for each worker, the
 * least and the median of ROUNDS plans: without look-ahead; with it, before
 * which no worker had changed; and with it, before which all had, so that their
 * runs are put in order again.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clk.h"
#include "base/ctr.h"
#include "base/log.h"
#include "base/rng.h"
#include "job/jctr.h"
#include "job/jlead.h"

#define START_MS	INT64_C(1000000)
#define RUN_CPU_MILLI	2000
#define WORKER_FREE_CPU 4000
#define LARGE_SIZES	3
#define START_SPAN_MS	2000 /* in which the runs began */
#define ESTIMATE_MIN_MS 500
#define ESTIMATE_MAX_MS 4000

struct sim {
	struct jst st;
	struct jlead jl;
	struct ctr_set ctr;
	struct rng rng;
	int64_t now_ms;
	size_t nworkers, nruns;
	uint64_t next_job;
	struct jplan_worker *workers;
	struct jroom_worker *rooms;
	struct jroom_run *runs; /* nruns for each worker */
	struct jplan_lookahead look;
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

/* Drops a command. */
static void
on_propose(void *arg, const Job__Command *cmd)
{
}

/* Drops a call. */
static void
on_call(void *arg, const struct jl_call *c)
{
}

/* Tells the leader that it is the only one. */
static bool
on_is_sole_leader(void *arg)
{
	return true;
}

/* Applies a command to the state. */
static void
apply_command(struct sim *s, const Job__Command *c)
{
	struct jst_result r;

	jlead_apply(&s->jl, sim_now(s), s->now_ms, c, &r);
}

/* Configures one queue. */
static void
set_queue(struct sim *s)
{
	Job__Queue q = JOB__QUEUE__INIT, *qs[1] = { &q };
	Job__Config cf = JOB__CONFIG__INIT;
	Job__Command c = JOB__COMMAND__INIT;

	q.name = q.prefix = (char *)"urgent";
	q.host = (char *)"h";
	q.service = (char *)"svc";
	q.has_max_attempts = 1;
	q.max_attempts = 3;
	q.has_target_ms = q.has_stretch_milli = 1;
	q.target_ms = 20000;
	q.stretch_milli = 1500;
	cf.version = 1;
	cf.queues = qs;
	cf.n_queues = 1;
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
	m.cpu_milli = (uint32_t)s->nruns * RUN_CPU_MILLI + WORKER_FREE_CPU;
	m.mem_mb = 256000;
	m.labels = labels;
	m.n_labels = 2;
	c.worker = &m;
	apply_command(s, &c);
}

/* Submits a job of one step and returns its id. */
static uint64_t
submit_job(struct sim *s, uint32_t count, uint32_t cpu, uint32_t estimate_ms)
{
	Job__Step st = JOB__STEP__INIT, *v[1] = { &st };
	Job__Spec spec = JOB__SPEC__INIT;
	Job__Submit m = JOB__SUBMIT__INIT;
	Job__Command c = JOB__COMMAND__INIT;

	st.count = count;
	st.has_cpu_milli = st.has_mem_mb = st.has_estimate_ms = 1;
	st.cpu_milli = cpu;
	st.mem_mb = 100;
	st.estimate_ms = estimate_ms;
	spec.text = (char *)"work";
	spec.steps = v;
	spec.n_steps = 1;
	m.job = ++s->next_job;
	m.queue = (char *)"urgent";
	m.spec = &spec;
	m.at_ms = s->now_ms;
	c.submit = &m;
	apply_command(s, &c);
	return m.job;
}

/* Fills the runs of a worker. */
static void
fill(void *arg, size_t worker, struct jroom_worker *w)
{
	struct sim *s = arg;
	size_t i;

	for (i = 0; i < s->nruns; i++)
		jroom_add_run(w, &s->runs[worker * s->nruns + i]);
}

/* Fills what the plan knows of the workers. */
static void
init_workers(struct sim *s)
{
	size_t i, k;

	if (s->st.nworkers != s->nworkers)
		abort();
	for (i = 0; i < s->nworkers; i++) {
		struct jst_worker *w = s->st.workers[i];
		struct jplan_worker *p = &s->workers[i];

		p->w = w;
		p->usable = true;
		p->cpu_total = w->info->cpu_milli;
		p->free_cpu = WORKER_FREE_CPU;
		p->free_mem = w->info->mem_mb;
		p->room = &s->rooms[i];
		p->room->stale = true;
		for (k = 0; k < s->nruns; k++) {
			struct jroom_run *r = &s->runs[i * s->nruns + k];

			r->since_ms = s->now_ms -
			    (int64_t)rng_below(&s->rng, START_SPAN_MS);
			r->expected_ms = ESTIMATE_MIN_MS +
			    (int64_t)rng_below(
				&s->rng, ESTIMATE_MAX_MS - ESTIMATE_MIN_MS);
			r->cpu = RUN_CPU_MILLI;
			r->mem = 100;
		}
	}
}

/* Makes one plan and returns its processor time in nanoseconds. */
static int64_t
plan(struct sim *s, bool on, bool all_changed)
{
	struct jplan_choice *out;
	size_t i;
	int64_t t;

	for (i = 0; all_changed && i < s->nworkers; i++)
		s->rooms[i].stale = true;
	s->now_ms++;
	t = cpu_ns();
	if (jplan_choose(&s->st, &s->jl.interf, &s->jl.demand, s->workers,
		s->nworkers, s->now_ms, s->now_ms, on ? &s->look : NULL, &out,
		JLEAD_ASSIGN_MAX) != 0)
		abort();
	t = cpu_ns() - t;
	free(out);
	return t;
}

/* Orders times for qsort. */
static int
compare_ns(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/* Prints the least and the median of the times for each worker. */
static void
print_times(const struct sim *s, const char *name, int64_t *ns, size_t n)
{
	double all = (double)s->nworkers * 1000;
	int64_t median;

	qsort(ns, n, sizeof(*ns), compare_ns);
	median = ns[n / 2];
	printf("look_%s %.3f us_per_worker (median %.3f)\n", name,
	    (double)ns[0] / all, (double)median / all);
}

int
main(int argc, char **argv)
{
	static struct sim s;
	struct jlead_ops ops = { on_propose, on_call, on_is_sole_leader, &s };
	size_t i, rounds = argc > 3 ? (size_t)atoi(argv[3]) : 20;
	int64_t *ns[3];

	log_set_level(LOG_ERR);
	rng_init(&s.rng, 7);
	s.now_ms = START_MS;
	s.nworkers = argc > 1 ? (size_t)atoi(argv[1]) : 22000;
	s.nruns = argc > 2 ? (size_t)atoi(argv[2]) : 30;
	s.workers = calloc(s.nworkers, sizeof(*s.workers));
	s.rooms = calloc(s.nworkers, sizeof(*s.rooms));
	s.runs = calloc(s.nworkers * s.nruns, sizeof(*s.runs));
	ctr_init(&s.ctr, NULL, jctr_desc, JCTR_COUNT);
	jst_init(&s.st);
	jlead_init(&s.jl, &s.st, &ops, &s.ctr);
	set_queue(&s);
	for (i = 0; i < s.nworkers; i++)
		add_worker(&s, i);
	init_workers(&s);
	s.look.model = &s.jl.room;
	s.look.fill = fill;
	s.look.arg = &s;
	for (i = 0; i < LARGE_SIZES; i++)
		submit_job(
		    &s, 100, (uint32_t)(20000 + 10000 * i), ESTIMATE_MAX_MS);
	for (i = 0; i < 3; i++)
		ns[i] = calloc(rounds, sizeof(*ns[i]));
	for (i = 0; i < rounds; i++) {
		ns[0][i] = plan(&s, false, false);
		ns[2][i] = plan(&s, true, true);
		ns[1][i] = plan(&s, true, false);
	}
	printf("look_workers %zu workers (%zu runs each, %u searches, "
	       "%zu places)\n",
	    s.nworkers, s.nruns, s.look.nscans, s.look.nslots);
	print_times(&s, "off", ns[0], rounds);
	print_times(&s, "on", ns[1], rounds);
	print_times(&s, "on_all_changed", ns[2], rounds);
	for (i = 0; i < 3; i++)
		free(ns[i]);
	for (i = 0; i < s.nworkers; i++)
		jroom_worker_finish(&s.rooms[i]);
	free(s.runs);
	free(s.rooms);
	free(s.workers);
	return 0;
}
