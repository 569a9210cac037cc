/*
 * Measures placement: the processor time of one decision for several fleet
 * sizes, and the quality of decisions on simulated workers whose interference
 * table the scheduler does not see. Prints "name value unit" lines.
 *
 * usage: bench_placement [cost | sim [SCENARIO [POLICY]]]
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/rng.h"
#include "placement/sched.h"

/* Running tasks of the largest fleet; smaller ones get their share. */
#define URGENT_TASKS	   75000
#define BATCH_TASKS	   200000
#define FLEET_WORKERS	   22000
#define SIM_SECONDS	   2400
#define SIM_SERVICES	   3
#define SIM_BATCH_CLASSES  6
#define SIM_WORKERS	   65
#define SIM_LOG_SIGMA	   0.5	/* deviation of the logarithm of answer times */
#define SIM_BOUND_FACTOR   4.3	/* answer time bound over SIM_BASE_MS */
#define SIM_BASE_MS	   40.0 /* mean answer time without interference */
#define SIM_CHECKPOINT_S   60	/* between checkpoints of a task */
#define SIM_START_LIMIT_S  7.3	/* an urgent task starts in time up to this */
#define SIM_USAGE_REPORT_S 5	/* between usage reports, and their age */
#define SIM_TICKS_PER_S	   4	/* scheduler ticks per second */
/* STATIC_SPLIT reserves 3 of 5 workers for requests. */
#define SIM_SPLIT_TOTAL	   5
#define SIM_SPLIT_REQUESTS 3

/* Returns the processor time of this process in seconds. */
static double
cpu_seconds(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

/* State of the measurement of processor time. */
struct cost {
	struct sched *s;
	struct sched_acts acts; /* of the last step */
	struct sched_acts confirming;
	struct timespec now;
	double sched_cpu_seconds;
	uint64_t next_job;
	uint64_t *task;	 /* running tasks */
	uint64_t *epoch; /* their workers, by the same index */
	size_t nrunning;
	uint64_t starts;
};

/* Passes one event to the scheduler; its actions are left in acts. */
static void
cost_step(struct cost *c, const struct sched_ev *ev)
{
	c->acts.n = 0;
	(void)sched_step(c->s, c->now, ev, &c->acts);
}

/*
 * Confirms every start among the actions of the last step, which makes those
 * tasks running.
 */
static void
cost_confirm_starts(struct cost *c)
{
	struct sched_acts swap = c->confirming;
	struct sched_ev ev = { .kind = SCHED_EV_ASSIGNED };
	size_t i;

	c->confirming = c->acts;
	c->acts = swap;
	for (i = 0; i < c->confirming.n; i++) {
		if (c->confirming.v[i].kind != SCHED_ACT_START)
			continue;
		ev.u.task.task = c->confirming.v[i].u.task.task;
		ev.u.task.epoch = c->confirming.v[i].u.task.epoch;
		ev.u.task.attempt = 1;
		c->task[c->nrunning] = ev.u.task.task;
		c->epoch[c->nrunning++] = ev.u.task.epoch;
		c->starts++;
		cost_step(c, &ev);
	}
}

/* Moves the clock on by 10 ms, ticks the scheduler and confirms its starts. */
static void
cost_tick(struct cost *c)
{
	struct sched_ev ev = { .kind = SCHED_EV_TICK };

	c->now = clk_add_ms(c->now, 10);
	cost_step(c, &ev);
	cost_confirm_starts(c);
}

/* Submits a job of a random class and a random declared size. */
static void
cost_submit(struct cost *c, struct rng *r, bool urgent, uint32_t tasks)
{
	struct sched_ev ev = { .kind = SCHED_EV_JOB_SUBMIT };
	char name[16];

	snprintf(name, sizeof(name), "%c%u", urgent ? 'u' : 'b',
	    (unsigned)rng_below(r, urgent ? 20 : 80));
	ev.u.job.id = c->next_job++;
	ev.u.job.class_name = str_from(name);
	ev.u.job.ntasks = tasks;
	ev.u.job.declared.cpu_milli = 500 + (int64_t)rng_below(r, 3000);
	ev.u.job.declared.mem_mb = 1000 + (int64_t)rng_below(r, 10000);
	cost_step(c, &ev);
	cost_confirm_starts(c);
}

/* Ends n running tasks chosen at random. */
static void
cost_end_tasks(struct cost *c, struct rng *r, unsigned n)
{
	struct sched_ev ev = { .kind = SCHED_EV_TASK_DONE };
	size_t k;

	for (; n > 0 && c->nrunning > 0; n--) {
		k = rng_below(r, c->nrunning);
		ev.u.task.task = c->task[k];
		ev.u.task.epoch = c->epoch[k];
		ev.u.task.attempt = 1;
		c->task[k] = c->task[--c->nrunning];
		c->epoch[k] = c->epoch[c->nrunning];
		cost_step(c, &ev);
		cost_confirm_starts(c);
	}
}

/* Defines 20 urgent and 80 batch classes and adds the workers. */
static void
cost_add_fleet(struct cost *c, unsigned workers)
{
	struct sched_ev ev = { .kind = SCHED_EV_CLASS_SET };
	char name[16], rack[16], domain[16], serve[16];
	struct str serves;
	unsigned i;

	for (i = 0; i < 100; i++) {
		snprintf(name, sizeof(name), "%c%u", i < 20 ? 'u' : 'b',
		    i < 20 ? i : i - 20);
		ev.u.cls = (struct sched_class){ .name = str_from(name),
			.urgent = i < 20,
			.percentile_x10 = 990,
			.bound_ms = 100,
			.finish_per_hour = i < 20 ? 0 : 1000,
			.team = str_from(name) };
		cost_step(c, &ev);
	}
	ev.kind = SCHED_EV_WORKER_UP;
	for (i = 0; i < workers; i++) {
		snprintf(name, sizeof(name), "w%u", i);
		snprintf(rack, sizeof(rack), "r%u", i / 8);
		snprintf(domain, sizeof(domain), "d%u", i / 8 % 20);
		snprintf(serve, sizeof(serve), "u%u", i % 20);
		serves = str_from(serve);
		ev.u.worker = (struct sched_worker){ .epoch = i + 1,
			.name = str_from(name),
			.capacity = { 64000, 250000, i % 3 == 0 ? 4 : 0 },
			.rack = str_from(rack),
			.domain = str_from(domain),
			.slots = 8,
			.serves = &serves,
			.nserves = 1 };
		cost_step(c, &ev);
	}
}

/* Reports latency for every worker; returns microseconds per report. */
static double
cost_report_latency(struct cost *c, struct rng *r, unsigned workers)
{
	struct sched_ev ev = { .kind = SCHED_EV_LATENCY };
	char name[16];
	double t0 = cpu_seconds();
	unsigned i;

	for (i = 0; i < workers; i++) {
		snprintf(name, sizeof(name), "u%u", i % 20);
		ev.u.latency.epoch = i + 1;
		ev.u.latency.class_name = str_from(name);
		ev.u.latency.count = 100;
		ev.u.latency.mean_ms = 20 + rng_unit(r);
		cost_step(c, &ev);
		cost_confirm_starts(c);
	}
	return (cpu_seconds() - t0) * 1e6 / workers;
}

/*
 * Fills a fleet of that many workers with tasks and measures it under load.
 * Returns microseconds per start, with its confirmation and its end.
 */
static double
cost_measure(unsigned workers)
{
	struct sched_conf conf = { .seed = 1,
		.interference = true,
		.learning = true,
		.targets = true,
		.candidates = 8 };
	size_t urgent = (size_t)URGENT_TASKS * workers / FLEET_WORKERS;
	size_t batch = (size_t)BATCH_TASKS * workers / FLEET_WORKERS, n, idle,
	       full;
	struct cost c = { .now = { 1000, 0 }, .next_job = 1 };
	double us, t0;
	uint64_t before;
	struct rng r;
	unsigned i;

	rng_init(&r, workers);
	c.s = sched_new(NULL, &conf, c.now);
	c.task = calloc(2 * (urgent + batch) + 100000, sizeof(*c.task));
	c.epoch = calloc(2 * (urgent + batch) + 100000, sizeof(*c.epoch));
	idle = sched_state_bytes(c.s);
	cost_add_fleet(&c, workers);
	full = sched_state_bytes(c.s);
	printf("placement_bytes_per_worker_%u %.0f bytes\n", workers,
	    (double)(full - idle) / workers);
	for (n = 0; n < urgent; n += 25)
		cost_submit(&c, &r, true, 25);
	for (n = 0; n < batch; n += 25)
		cost_submit(&c, &r, false, 25);
	t0 = cpu_seconds();
	/* The limits on batch work change with time: the clock must move. */
	for (i = 0; i < 4000 && c.nrunning < urgent + batch; i++) {
		if (i > 200)
			c.now = clk_add_ms(c.now, 90);
		cost_tick(&c);
	}
	printf("placement_filled_%u %zu tasks\n", workers, c.nrunning);
	printf("placement_fill_us_per_start_%u %.2f us\n", workers,
	    (cpu_seconds() - t0) * 1e6 / (double)c.starts);
	printf("placement_bytes_per_task_%u %.0f bytes\n", workers,
	    (double)(sched_state_bytes(c.s) - full) / (double)c.nrunning);
	printf("placement_us_per_latency_report_%u %.2f us\n", workers,
	    cost_report_latency(&c, &r, workers));
	/* 210 starts per 10 ms are 21,000 a second. */
	before = c.starts;
	t0 = cpu_seconds();
	for (i = 0; i < 400; i++) {
		cost_end_tasks(&c, &r, 210);
		cost_submit(&c, &r, i % 4 == 0, 105);
		cost_submit(&c, &r, i % 4 == 1, 105);
		cost_tick(&c);
	}
	us = (cpu_seconds() - t0) * 1e6 / (double)(c.starts - before);
	printf("placement_us_per_start_%u %.2f us\n", workers, us);
	printf("placement_starts_per_second_%u %.0f 1/s\n", workers, 1e6 / us);
	free(c.task);
	free(c.epoch);
	talloc_free(c.acts.v);
	talloc_free(c.confirming.v);
	talloc_free(c.s);
	return us;
}

/* Measures all fleet sizes and fits a line through the time per start. */
static void
cost_measure_all(void)
{
	static const unsigned size[] = { 65, 500, 5000, 22000 };
	double us[4], sx = 0, sy = 0, sxx = 0, sxy = 0, slope, intercept;
	double squares = 0; /* of the residuals */
	int i;

	for (i = 0; i < 4; i++) {
		us[i] = cost_measure(size[i]);
		sx += size[i];
		sy += us[i];
		sxx += (double)size[i] * size[i];
		sxy += size[i] * us[i];
	}
	slope = (4 * sxy - sx * sy) / (4 * sxx - sx * sx);
	intercept = (sy - slope * sx) / 4;
	for (i = 0; i < 4; i++)
		squares += pow(us[i] - intercept - slope * size[i], 2);
	printf("placement_slope_us_per_1000_workers %.4f us\n", slope * 1000);
	printf("placement_residual_us %.3f us\n", sqrt(squares / 4));
}

/*
 * WITH_MODEL and NO_MODEL run the scheduler with and without its interference
 * model; the other policies are baselines without it.
 */
enum policy {
	WITH_MODEL,
	NO_MODEL,
	FIRST_FIT,
	STATIC_SPLIT,
	POLICIES
};
enum scenario {
	STEADY,
	DAILY_SHIFT,
	NOISY_WAVES,	 /* interference doubles for 2 of each 6 minutes */
	FAILING_WORKERS, /* one worker in ten fails its tasks */
	WRONG_SIZES,	 /* declared sizes are wrong by a factor of 3 */
	DOMAIN_LOSS,
	SCENARIOS
};

static const char *const policy_name[] = { "ours", "no_model", "first_fit",
	"static_split" };
static const char *const scenario_name[] = { "steady", "daily_shift",
	"noisy_waves", "failing_workers", "sizes_off", "domain_loss" };
static const char *const service_name[] = { "intake", "tally", "query" };
static const char *const batch_name[] = { "logcheck", "sync", "scan", "train",
	"compact", "report" };

struct site {
	const char *name;
	unsigned workers;
	int64_t cpu_milli, mem_mb;
};

enum sim_state {
	SIM_WAITING,
	SIM_RUNNING,
	SIM_STOPPING,
	SIM_DONE
};

struct sim_task {
	uint32_t job, number;
	enum sim_state state;
	int worker;
	uint32_t attempt;
	double work_s, progress_s, checkpointed_s; /* seconds at full speed */
	double cpu, mem; /* actual use, unlike declared */
	double cpu_limit;
	unsigned throttle_percent; /* of cpu_limit */
	/* Simulated times in seconds. */
	double stopped_at; /* when a stop has finished */
	double ready_at, started_at, checkpoint_at;
	bool skips_checkpoint; /* stopped without a checkpoint */
	int prev, next; /* index of the neighbours in the worker's list */
};

struct sim_job {
	uint64_t id;
	int cls; /* index of the batch class, or -1 for urgent tasks */
	uint32_t first, tasks;
	struct sched_res declared;
};

struct sim_worker {
	uint64_t epoch;
	bool up, fails_tasks, batch_only, serves_requests;
	int service;
	int head; /* index of the first task of its list, or -1 */
	/* Sum of declared sizes, for the baselines. */
	double allocated_cpu, allocated_mem;
	/* Share of the processors that each batch class uses. */
	double batch_share[SIM_BATCH_CLASSES];
	double service_cpu, service_mem; /* used by requests */
	/* Answers since the last latency report. */
	double count, late, sum_ms;
	unsigned domain;
};

struct sim {
	const struct site *site;
	enum policy policy;
	enum scenario scenario;
	struct rng rng;
	struct sched *s; /* NULL for the baselines */
	struct sched_acts acts;
	double now_s; /* simulated */
	/* Slowdown of a service by a batch class; not told to the scheduler. */
	double slowdown[SIM_SERVICES][SIM_BATCH_CLASSES];
	struct sim_worker w[SIM_WORKERS];
	struct sim_task *task;
	uint32_t ntasks, task_cap;
	struct sim_job *job;
	uint32_t njobs, job_cap;
	uint32_t *queue; /* waiting tasks of the baselines */
	uint32_t nqueue, queue_cap;
	uint64_t next_epoch;
	double backlog; /* unfinished batch work in processor seconds */
	double answers, late;
	double minute_answers[SIM_SERVICES], minute_late[SIM_SERVICES];
	unsigned minutes, minutes_met;
	unsigned starts, starts_late;
	double finished, repeated; /* batch work in processor seconds */
	unsigned evictions, jobs_failed, failures;
};

/* Returns the simulated time as a timespec. */
static struct timespec
sim_now(const struct sim *m)
{
	return clk_from_ns((int64_t)((1000 + m->now_s) * 1e9));
}

/* Passes one event to the scheduler, unless the policy is a baseline. */
static void
sim_step_sched(struct sim *m, const struct sched_ev *ev)
{
	if (m->s != NULL)
		(void)sched_step(m->s, sim_now(m), ev, &m->acts);
}

/* Returns the processors a task wants under its throttle, in thousandths. */
static double
sim_cpu_demand(const struct sim_task *k)
{
	double most = k->cpu_limit * k->throttle_percent / 100;

	return k->throttle_percent < 100 && most < k->cpu ? most : k->cpu;
}

/* Appends a waiting task to the queue of a baseline. */
static void
sim_enqueue(struct sim *m, uint32_t ti)
{
	if (m->s != NULL)
		return;
	if (m->nqueue == m->queue_cap) {
		m->queue_cap = m->queue_cap > 0 ? m->queue_cap * 2 : 256;
		m->queue = realloc(m->queue, m->queue_cap * sizeof(*m->queue));
	}
	m->queue[m->nqueue++] = ti;
}

/* Starts a task on a worker and puts it at the head of its list. */
static void
sim_start_task(struct sim *m, uint32_t ti, int wi)
{
	struct sim_task *k = &m->task[ti];
	struct sim_worker *w = &m->w[wi];
	const struct sim_job *j = &m->job[k->job];

	k->worker = wi;
	k->state = SIM_RUNNING;
	k->attempt++;
	k->started_at = k->checkpoint_at = m->now_s;
	k->throttle_percent = 100;
	k->progress_s = k->checkpointed_s;
	k->prev = -1;
	k->next = w->head;
	if (w->head >= 0)
		m->task[w->head].prev = (int)ti;
	w->head = (int)ti;
	w->allocated_cpu += (double)j->declared.cpu_milli;
	w->allocated_mem += (double)j->declared.mem_mb;
	if (j->cls < 0) {
		m->starts++;
		m->starts_late += m->now_s - k->ready_at > SIM_START_LIMIT_S;
	}
}

/* Takes a task out of its worker's list and frees its allocation. */
static void
sim_remove_task(struct sim *m, uint32_t ti)
{
	struct sim_task *k = &m->task[ti];
	struct sim_worker *w = &m->w[k->worker];
	const struct sim_job *j = &m->job[k->job];

	if (k->prev >= 0)
		m->task[k->prev].next = k->next;
	else
		w->head = k->next;
	if (k->next >= 0)
		m->task[k->next].prev = k->prev;
	w->allocated_cpu -= (double)j->declared.cpu_milli;
	w->allocated_mem -= (double)j->declared.mem_mb;
	k->worker = -1;
}

/* Makes a task wait again; progress since its last checkpoint is lost. */
static void
sim_requeue(struct sim *m, uint32_t ti)
{
	struct sim_task *k = &m->task[ti];

	m->repeated += (k->progress_s - k->checkpointed_s) * k->cpu / 1000;
	sim_remove_task(m, ti);
	k->state = SIM_WAITING;
	k->ready_at = m->now_s;
	sim_enqueue(m, ti);
}

/* Tells the scheduler about a task; epoch names its worker. */
static void
sim_send_task_event(
    struct sim *m, enum sched_ev_kind kind, uint32_t ti, uint64_t epoch)
{
	const struct sim_task *k = &m->task[ti];
	struct sched_ev ev = { .kind = kind };

	ev.u.task.task = m->job[k->job].id << 20 | k->number;
	ev.u.task.attempt = k->attempt;
	ev.u.task.epoch = epoch;
	ev.u.task.progress = (int64_t)k->checkpointed_s;
	sim_step_sched(m, &ev);
}

/* Adds a worker without tasks, with a new epoch. */
static void
sim_worker_up(struct sim *m, unsigned i)
{
	struct sim_worker *w = &m->w[i];
	struct sched_ev ev = { .kind = SCHED_EV_WORKER_UP };
	char name[16], rack[16], domain[16];
	struct str serves = str_from(service_name[w->service]);

	snprintf(name, sizeof(name), "w%u", i);
	snprintf(rack, sizeof(rack), "r%u", i / 8);
	snprintf(domain, sizeof(domain), "d%u", w->domain);
	w->epoch = m->next_epoch++;
	w->up = true;
	w->head = -1;
	w->allocated_cpu = w->allocated_mem = 0;
	ev.u.worker = (struct sched_worker){ .epoch = w->epoch,
		.name = str_from(name),
		.capacity = { m->site->cpu_milli, m->site->mem_mb, 0 },
		.rack = str_from(rack),
		.domain = str_from(domain),
		.slots = 8,
		.serves = &serves,
		.nserves = 1 };
	sim_step_sched(m, &ev);
}

/* Removes a worker; its tasks wait again. */
static void
sim_worker_lost(struct sim *m, unsigned i)
{
	struct sim_worker *w = &m->w[i];
	struct sched_ev ev = { .kind = SCHED_EV_WORKER_LOST };

	while (w->head >= 0)
		sim_requeue(m, (uint32_t)w->head);
	w->up = false;
	ev.u.epoch = w->epoch;
	sim_step_sched(m, &ev);
}

/* Submits a job of random size; cls is a batch class or -1 for urgent tasks. */
static void
sim_submit(struct sim *m, int cls, uint32_t tasks)
{
	static const double factor[] = { 1.0 / 3, 3.0 };
	struct sched_ev ev = { .kind = SCHED_EV_JOB_SUBMIT };
	double cpu_error = 1, mem_error = 1, cpu, mem, secs;
	struct sim_job *j;
	uint32_t i;

	if (m->njobs == m->job_cap) {
		m->job_cap = m->job_cap > 0 ? m->job_cap * 2 : 256;
		m->job = realloc(m->job, m->job_cap * sizeof(*m->job));
	}
	if (m->ntasks + tasks > m->task_cap) {
		m->task_cap = (m->task_cap + tasks) * 2;
		m->task = realloc(m->task, m->task_cap * sizeof(*m->task));
	}
	cpu = 1000 * (1 + (double)rng_below(&m->rng, 4));
	mem = 2000 * (1 + (double)rng_below(&m->rng, 6));
	secs = cls < 0 ? 30 + rng_exp(&m->rng, 30) : 60 + rng_exp(&m->rng, 180);
	if (m->scenario == WRONG_SIZES) {
		cpu_error = factor[rng_below(&m->rng, 2)];
		mem_error = factor[rng_below(&m->rng, 2)];
	}
	j = &m->job[m->njobs];
	j->id = m->njobs + 1;
	j->cls = cls;
	j->first = m->ntasks;
	j->tasks = tasks;
	j->declared = (struct sched_res){ (int64_t)cpu, (int64_t)mem, 0 };
	for (i = 0; i < tasks; i++) {
		struct sim_task *k = &m->task[m->ntasks + i];

		memset(k, 0, sizeof(*k));
		k->job = m->njobs;
		k->number = i;
		k->worker = -1;
		k->work_s = secs * (0.7 + 0.6 * rng_unit(&m->rng));
		k->cpu = cpu * cpu_error * (0.7 + 0.3 * rng_unit(&m->rng));
		k->mem = mem * mem_error * (0.7 + 0.3 * rng_unit(&m->rng));
		k->ready_at = m->now_s;
		if (cls >= 0)
			m->backlog += k->work_s * k->cpu / 1000;
		sim_enqueue(m, m->ntasks + i);
	}
	m->ntasks += tasks;
	m->njobs++;
	ev.u.job.id = j->id;
	ev.u.job.class_name = str_from(cls < 0 ? "alerts" : batch_name[cls]);
	ev.u.job.ntasks = tasks;
	ev.u.job.declared = j->declared;
	sim_step_sched(m, &ev);
}

/* Carries out the actions of the scheduler and answers them with events. */
static void
sim_apply_acts(struct sim *m)
{
	size_t i;

	for (i = 0; i < m->acts.n; i++) {
		struct sched_act a = m->acts.v[i];
		struct sim_task *k;
		uint32_t ti;
		int wi;

		if (a.kind == SCHED_ACT_JOB_FAILED) {
			m->jobs_failed++;
			continue;
		}
		if (a.kind > SCHED_ACT_STOP)
			continue;
		ti = m->job[(a.u.task.task >> 20) - 1].first +
		    (uint32_t)(a.u.task.task & 0xfffff);
		k = &m->task[ti];
		if (a.kind == SCHED_ACT_START) {
			for (wi = 0; m->w[wi].epoch != a.u.task.epoch; wi++)
				;
			sim_start_task(m, ti, wi);
			k->cpu_limit = (double)a.u.task.limit.cpu_milli;
			sim_send_task_event(
			    m, SCHED_EV_ASSIGNED, ti, a.u.task.epoch);
		} else if (k->worker < 0) {
			continue;
		} else if (a.kind == SCHED_ACT_THROTTLE) {
			k->cpu_limit = (double)a.u.task.limit.cpu_milli;
			k->throttle_percent = a.u.task.percent;
		} else if (k->state == SIM_RUNNING) {
			k->state = SIM_STOPPING;
			k->skips_checkpoint = a.kind == SCHED_ACT_STOP;
			k->stopped_at =
			    m->now_s + (k->skips_checkpoint ? 1 : 4);
			m->evictions++;
		}
	}
	m->acts.n = 0;
}

/*
 * Places waiting tasks by first fit on declared sizes, urgent tasks first.
 * STATIC_SPLIT keeps batch tasks and urgent tasks on separate workers.
 */
static void
sim_first_fit(struct sim *m)
{
	int urgent;
	uint32_t i, nkept, n;
	unsigned wi;

	for (urgent = 1; urgent >= 0; urgent--) {
		/* By processors and 2000 MB: no worker has room for it. */
		bool fits_nowhere[8][8] = { { false } };

		for (i = nkept = 0, n = m->nqueue; i < n; i++) {
			uint32_t ti = m->queue[i];
			const struct sim_job *j = &m->job[m->task[ti].job];
			double cpu = (double)j->declared.cpu_milli;
			double mem = (double)j->declared.mem_mb;
			bool *full =
			    &fits_nowhere[(int)(cpu / 1000)][(int)(mem / 2000)];

			if ((j->cls < 0) != (urgent == 1) || *full) {
				m->queue[nkept++] = ti;
				continue;
			}
			for (wi = 0; wi < m->site->workers; wi++) {
				struct sim_worker *w = &m->w[wi];

				if (w->up &&
				    (m->policy != STATIC_SPLIT ||
					w->batch_only == (j->cls >= 0)) &&
				    w->allocated_cpu + cpu <=
					(double)m->site->cpu_milli &&
				    w->allocated_mem + mem <=
					(double)m->site->mem_mb)
					break;
			}
			if (wi < m->site->workers) {
				sim_start_task(m, ti, (int)wi);
				continue;
			}
			*full = true;
			m->queue[nkept++] = ti;
		}
		m->nqueue = nkept;
	}
}

/* Returns the request rate as a factor of the mean rate. */
static double
sim_request_rate(const struct sim *m)
{
	if (m->scenario == DAILY_SHIFT)
		return 1 - 0.6 * cos(2 * M_PI * m->now_s / SIM_SECONDS);
	return 1;
}

/* Returns whether interference is doubled now. */
static bool
sim_in_wave(const struct sim *m)
{
	return m->scenario == NOISY_WAVES && fmod(m->now_s, 360) > 240;
}

/*
 * Runs the tasks of a worker for one second; grant is the share of their
 * processor demand that they get.
 */
static void
sim_run_tasks(struct sim *m, unsigned wi, double grant)
{
	struct sim_worker *w = &m->w[wi];
	int ti, next;

	for (ti = w->head; ti >= 0; ti = next) {
		struct sim_task *k = &m->task[ti];
		const struct sim_job *j = &m->job[k->job];

		next = k->next;
		if (w->fails_tasks && m->now_s - k->started_at > 4) {
			sim_requeue(m, (uint32_t)ti);
			m->failures++;
			sim_send_task_event(
			    m, SCHED_EV_TASK_FAILED, (uint32_t)ti, w->epoch);
			continue;
		}
		k->progress_s += sim_cpu_demand(k) / k->cpu * grant;
		if (k->progress_s >= k->work_s) {
			if (j->cls >= 0) {
				m->finished += k->work_s * k->cpu / 1000;
				m->backlog -= k->work_s * k->cpu / 1000;
			}
			sim_remove_task(m, (uint32_t)ti);
			k->state = SIM_DONE;
			sim_send_task_event(
			    m, SCHED_EV_TASK_DONE, (uint32_t)ti, w->epoch);
		} else if (k->state == SIM_STOPPING &&
		    m->now_s >= k->stopped_at) {
			if (!k->skips_checkpoint)
				k->checkpointed_s = k->progress_s;
			sim_requeue(m, (uint32_t)ti);
			sim_send_task_event(
			    m, SCHED_EV_TASK_STOPPED, (uint32_t)ti, w->epoch);
		} else if (m->now_s - k->checkpoint_at >= SIM_CHECKPOINT_S) {
			k->checkpoint_at = m->now_s;
			k->checkpointed_s = k->progress_s;
			sim_send_task_event(m, SCHED_EV_TASK_CHECKPOINT,
			    (uint32_t)ti, w->epoch);
		}
	}
}

/* Stops the largest tasks of a worker until the others fit in its memory. */
static void
sim_limit_memory(struct sim *m, unsigned wi)
{
	struct sim_worker *w = &m->w[wi];
	double mem = w->service_mem;
	int ti, big;

	for (ti = w->head; ti >= 0; ti = m->task[ti].next)
		mem += m->task[ti].mem;
	while (mem > (double)m->site->mem_mb && w->head >= 0) {
		for (ti = big = w->head; ti >= 0; ti = m->task[ti].next)
			if (m->task[ti].mem > m->task[big].mem)
				big = ti;
		mem -= m->task[big].mem;
		m->evictions++;
		sim_requeue(m, (uint32_t)big);
		sim_send_task_event(
		    m, SCHED_EV_TASK_STOPPED, (uint32_t)big, w->epoch);
	}
}

/* Returns an approximately normal number with mean 0 and deviation 1. */
static double
sim_normal(struct rng *r)
{
	double s = 0;
	int i;

	for (i = 0; i < 12; i++)
		s += rng_unit(r);
	return s - 6;
}

/*
 * Answers the requests of one second on a worker. Counts those over the bound
 * as late, with log-normal answer times.
 */
static void
sim_answer_requests(
    struct sim *m, struct sim_worker *w, double rate, double util)
{
	double slowdown = 1, mean, rho, p, late;
	int n;

	for (n = 0; n < SIM_BATCH_CLASSES; n++)
		slowdown += m->slowdown[w->service][n] * w->batch_share[n] *
		    (sim_in_wave(m) ? 2 : 1);
	if (util > 0.9)
		slowdown *= 1 + 4 * (util - 0.9);
	mean = SIM_BASE_MS * slowdown;
	/* Approximates the wait for one of 8 slots at this load. */
	rho = fmin(0.97, rate * mean / 1000 / 8);
	mean *= 1 + pow(rho, 5.5) / (8 * (1 - rho));
	p = log(SIM_BASE_MS * SIM_BOUND_FACTOR / mean) +
	    SIM_LOG_SIGMA * SIM_LOG_SIGMA / 2;
	p = 0.5 * erfc(p / SIM_LOG_SIGMA / M_SQRT2);
	late = p * rate + sim_normal(&m->rng) * sqrt(p * (1 - p) * rate);
	rate = floor(rate);
	late = fmax(0, fmin(rate, floor(late + rng_unit(&m->rng))));
	w->count += rate;
	w->late += late;
	w->sum_ms += rate * mean *
	    (1 + SIM_LOG_SIGMA * sim_normal(&m->rng) / sqrt(fmax(rate, 1)));
	m->answers += rate;
	m->late += late;
	m->minute_answers[w->service] += rate;
	m->minute_late[w->service] += late;
}

/*
 * Runs a worker for one second. serving and all count, for each service, the
 * workers that serve it now and those assigned to it.
 */
static void
sim_run_worker(
    struct sim *m, unsigned wi, const unsigned *serving, const unsigned *all)
{
	struct sim_worker *w = &m->w[wi];
	double cap = (double)m->site->cpu_milli, demand = 0, util, rate = 0;
	int ti, cls;

	memset(w->batch_share, 0, sizeof(w->batch_share));
	for (ti = w->head; ti >= 0; ti = m->task[ti].next) {
		cls = m->job[m->task[ti].job].cls;
		if (cls >= 0)
			w->batch_share[cls] +=
			    sim_cpu_demand(&m->task[ti]) / cap;
		demand += sim_cpu_demand(&m->task[ti]);
	}
	/* 60 requests a second on each worker when all workers serve. */
	if (w->serves_requests)
		rate = 60 * sim_request_rate(m) * all[w->service] /
		    serving[w->service];
	w->service_cpu = rate / 60 * 0.22 * cap;
	w->service_mem =
	    w->serves_requests ? 0.06 * (double)m->site->mem_mb : 0;
	util = (demand + w->service_cpu) / cap;
	sim_limit_memory(m, wi);
	sim_run_tasks(m, wi, util > 1 ? 1 / util : 1);
	if (w->serves_requests)
		sim_answer_requests(m, w, rate, util);
}

/*
 * Sends the latency report of a worker every 2 seconds and its usage report
 * every SIM_USAGE_REPORT_S.
 */
static void
sim_send_reports(struct sim *m, unsigned wi)
{
	static struct sched_usage v[4096];
	struct sim_worker *w = &m->w[wi];
	struct sched_ev ev = { .kind = SCHED_EV_USAGE };
	size_t n = 0;
	int ti;

	if (w->count > 0 && ((int)m->now_s + (int)wi) % 2 == 0) {
		struct sched_ev l = { .kind = SCHED_EV_LATENCY };

		l.u.latency.epoch = w->epoch;
		l.u.latency.class_name = str_from(service_name[w->service]);
		l.u.latency.count = (uint32_t)w->count;
		l.u.latency.late = (uint32_t)w->late;
		l.u.latency.mean_ms = w->sum_ms / w->count;
		l.u.latency.high_ms = l.u.latency.mean_ms * 3;
		w->count = w->late = w->sum_ms = 0;
		sim_step_sched(m, &l);
	}
	if (((int)m->now_s + (int)wi) % SIM_USAGE_REPORT_S != 0)
		return;
	ev.u.usage.epoch = w->epoch;
	ev.u.usage.age_ms = SIM_USAGE_REPORT_S * 1000;
	for (ti = w->head; ti >= 0 && n < 4096; ti = m->task[ti].next) {
		const struct sim_task *k = &m->task[ti];

		/* The report is this old: it has no younger tasks. */
		if (m->now_s - k->started_at < SIM_USAGE_REPORT_S)
			continue;
		v[n].task = m->job[k->job].id << 20 | k->number;
		v[n].cpu_milli = (int64_t)(sim_cpu_demand(k) *
		    (0.9 + 0.2 * rng_unit(&m->rng)));
		v[n].mem_mb = (int64_t)k->mem;
		ev.u.usage.used.cpu_milli += v[n].cpu_milli;
		ev.u.usage.used.mem_mb += v[n].mem_mb;
		n++;
	}
	ev.u.usage.used.cpu_milli += (int64_t)w->service_cpu;
	ev.u.usage.used.mem_mb += (int64_t)w->service_mem;
	ev.u.usage.tasks = v;
	ev.u.usage.n = n;
	sim_step_sched(m, &ev);
}

/* Defines the classes of the services, of urgent tasks and of batch jobs. */
static void
sim_set_classes(struct sim *m)
{
	struct sched_ev ev = { .kind = SCHED_EV_CLASS_SET };
	int i;

	for (i = 0; i < SIM_SERVICES + 1; i++) {
		ev.u.cls = (struct sched_class){
			.name = str_from(
			    i < SIM_SERVICES ? service_name[i] : "alerts"),
			.urgent = true,
			.percentile_x10 = 990,
			.bound_ms = (int64_t)(SIM_BASE_MS * SIM_BOUND_FACTOR),
			.team = str_from("services")
		};
		sim_step_sched(m, &ev);
	}
	for (i = 0; i < SIM_BATCH_CLASSES; i++) {
		ev.u.cls =
		    (struct sched_class){ .name = str_from(batch_name[i]),
			    .finish_per_hour = 2000,
			    .team = str_from("batch") };
		sim_step_sched(m, &ev);
	}
}

/*
 * Fills the slowdown table: each service suffers strongly from two batch
 * classes and mildly from the others.
 */
static void
sim_fill_slowdown(struct sim *m)
{
	struct rng r;
	int v, n;

	rng_init(&r, 7);
	for (v = 0; v < SIM_SERVICES; v++)
		for (n = 0; n < SIM_BATCH_CLASSES; n++)
			m->slowdown[v][n] = 0.05 + 0.25 * rng_unit(&r);
	for (v = 0; v < SIM_SERVICES; v++) {
		m->slowdown[v][2 * v] = 2.5;
		m->slowdown[v][2 * v + 1] = 1.2;
	}
}

/* In DOMAIN_LOSS, takes the workers of domain 1 down and brings them back. */
static void
sim_toggle_domain(struct sim *m, unsigned i)
{
	struct sim_worker *w = &m->w[i];

	if (m->scenario != DOMAIN_LOSS || w->domain != 1)
		return;
	if (w->up && m->now_s >= 800 && m->now_s < 1600)
		sim_worker_lost(m, i);
	if (!w->up && m->now_s >= 1600)
		sim_worker_up(m, i);
}

/* Runs one second of the simulation. */
static void
sim_run_second(struct sim *m)
{
	unsigned i, serving[SIM_SERVICES] = { 0 }, all[SIM_SERVICES] = { 0 };
	struct sched_ev tick = { .kind = SCHED_EV_TICK };
	double cores = (double)m->site->cpu_milli / 1000 * m->site->workers;
	int v;

	/* Keeps more batch work waiting than the fleet can run. */
	while (m->backlog < cores * 400)
		sim_submit(m, (int)rng_below(&m->rng, SIM_BATCH_CLASSES),
		    5 + (uint32_t)rng_below(&m->rng, 30));
	if (rng_chance(&m->rng, 0.05 * sim_request_rate(m)))
		sim_submit(m, -1,
		    1 + (uint32_t)rng_below(&m->rng, m->site->workers / 3));
	for (i = 0; i < m->site->workers; i++) {
		sim_toggle_domain(m, i);
		all[m->w[i].service]++;
		serving[m->w[i].service] +=
		    m->w[i].up && m->w[i].serves_requests;
	}
	for (i = 0; i < m->site->workers; i++)
		if (m->w[i].up) {
			sim_run_worker(m, i, serving, all);
			sim_send_reports(m, i);
		}
	if (m->s == NULL)
		sim_first_fit(m);
	for (i = 0; i < SIM_TICKS_PER_S; i++) {
		sim_step_sched(m, &tick);
		sim_apply_acts(m);
		m->now_s += 1.0 / SIM_TICKS_PER_S;
	}
	if ((int)m->now_s % 60 != 0)
		return;
	for (v = 0; v < SIM_SERVICES; v++) {
		m->minutes++;
		m->minutes_met +=
		    m->minute_late[v] <= 0.01 * m->minute_answers[v];
		m->minute_answers[v] = m->minute_late[v] = 0;
	}
}

/* Prints one figure under the site, scenario and policy. */
static void
sim_print(const struct sim *m, const char *what, double v, const char *unit)
{
	printf("sim_%s_%s_%s_%s %.2f %s\n", m->site->name,
	    scenario_name[m->scenario], policy_name[m->policy], what, v, unit);
}

/*
 * Prints the figures of a run. With BENCH_COUNTERS in the environment also
 * prints the counters of the scheduler.
 */
static void
sim_print_result(const struct sim *m)
{
	const struct ctr_set *c;
	size_t i;

	sim_print(m, "answers_in_bound", 100 * (1 - m->late / m->answers), "%");
	sim_print(
	    m, "minutes_met", 100.0 * m->minutes_met / (double)m->minutes, "%");
	sim_print(m, "urgent_starts_in_time",
	    100 - 100.0 * m->starts_late / fmax(m->starts, 1), "%");
	sim_print(m, "batch_finished", m->finished / 3600, "core-h");
	sim_print(m, "evictions", m->evictions, "tasks");
	sim_print(m, "failed_attempts", m->failures, "tasks");
	sim_print(m, "repeated", m->repeated / 3600, "core-h");
	sim_print(m, "jobs_failed", m->jobs_failed, "jobs");
	if (getenv("BENCH_COUNTERS") == NULL || m->s == NULL)
		return;
	c = sched_counters(m->s);
	for (i = 0; i < c->ncounters; i++)
		printf("  %s %llu\n", c->desc[i].name,
		    (unsigned long long)ctr_get(c, i));
}

/* Runs one scenario with one policy at one site and prints the result. */
static void
sim_run(const struct site *site, enum scenario scenario, enum policy policy)
{
	struct sim *m = calloc(1, sizeof(*m));
	struct sched_conf conf = { .seed = 3,
		.interference = policy == WITH_MODEL,
		.learning = true,
		.targets = true,
		.candidates = 8 };
	unsigned i;

	m->site = site;
	m->scenario = scenario;
	m->policy = policy;
	m->next_epoch = 1;
	rng_init(&m->rng, 11);
	sim_fill_slowdown(m);
	if (policy == WITH_MODEL || policy == NO_MODEL)
		m->s = sched_new(NULL, &conf, sim_now(m));
	sim_set_classes(m);
	for (i = 0; i < site->workers; i++) {
		struct sim_worker *w = &m->w[i];

		w->domain = i / 8 % 3;
		w->service = i % 10 < 5 ? 0 : i % 10 < 8 ? 1 : 2;
		w->batch_only = policy == STATIC_SPLIT &&
		    (i / 10 + i) % SIM_SPLIT_TOTAL >= SIM_SPLIT_REQUESTS;
		w->serves_requests = !w->batch_only;
		w->fails_tasks = scenario == FAILING_WORKERS && i % 10 == 4;
		sim_worker_up(m, i);
	}
	while (m->now_s < SIM_SECONDS)
		sim_run_second(m);
	sim_print_result(m);
	free(m->task);
	free(m->job);
	free(m->queue);
	talloc_free(m->acts.v);
	talloc_free(m->s);
	free(m);
}

int
main(int argc, char **argv)
{
	static const struct site sites[] = {
		{ "tartu", 65, 64000, 250000 },
		{ "kathmandu", 50, 32000, 125000 },
	};
	unsigned s, w, p;

	if (argc < 2 || strcmp(argv[1], "cost") == 0)
		cost_measure_all();
	if (argc >= 2 && strcmp(argv[1], "sim") != 0)
		return 0;
	for (s = 0; s < 2; s++)
		for (w = 0; w < SCENARIOS; w++)
			for (p = 0; p < POLICIES; p++) {
				if (argc > 2 &&
				    strcmp(argv[2], scenario_name[w]) != 0)
					continue;
				if (argc > 3 &&
				    strcmp(argv[3], policy_name[p]) != 0)
					continue;
				sim_run(&sites[s], (enum scenario)w,
				    (enum policy)p);
			}
	return 0;
}
