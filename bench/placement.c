/*
 * Placement: the cost of one decision against the size of the fleet, and the
 * quality of decisions on a fake of the workers with a slowdown table that
 * the scheduler cannot see. Prints "name value unit". Arguments: cost, or
 * sim [WORLD [POLICY]].
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/rng.h"
#include "placement/sched.h"

#define URGENT_MAX    75000
#define BATCH_MAX     200000
#define FLEET_MAX     22000
#define SIM_SECONDS   2400
#define SIM_VICTIMS   3
#define SIM_BATCH     6
#define SIM_WORKERS   65
#define SIM_SIGMA     0.5 /* of the logarithm of answer times */
#define SIM_BOUND     4.3 /* bound over the answer time when alone */
#define SIM_BASE_MS   40.0
#define SIM_CKPT_S    60
#define SIM_START_S   7.3
#define SIM_USAGE_S   5 /* between reports, and their age */
#define SIM_STEPS_S   4 /* decisions per second */
#define SIM_SPLIT_OF  5 /* the static split gives 3 of 5 to requests */
#define SIM_SPLIT_REQ 3

static double
cpu_seconds(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

/* The cost of a decision. */
struct cost {
	struct sched *s;
	struct sched_acts acts, got;
	struct timespec now;
	double in; /* processor time inside the scheduler */
	uint64_t next_job;
	uint64_t *run; /* running tasks and their workers */
	uint64_t *on;
	size_t nrun;
	uint64_t starts;
};

static void
cost_step(struct cost *c, const struct sched_ev *ev)
{
	c->acts.n = 0;
	(void)sched_step(c->s, c->now, ev, &c->acts);
}

/* Confirms the starts of the last step. */
static void
cost_confirm(struct cost *c)
{
	struct sched_acts swap = c->got;
	struct sched_ev ev = { .kind = SCHED_EV_ASSIGNED };
	size_t i;

	c->got = c->acts;
	c->acts = swap;
	for (i = 0; i < c->got.n; i++) {
		if (c->got.v[i].kind != SCHED_ACT_START)
			continue;
		ev.u.task.task = c->got.v[i].u.task.task;
		ev.u.task.epoch = c->got.v[i].u.task.epoch;
		ev.u.task.attempt = 1;
		c->run[c->nrun] = ev.u.task.task;
		c->on[c->nrun++] = ev.u.task.epoch;
		c->starts++;
		cost_step(c, &ev);
	}
}

static void
cost_tick(struct cost *c)
{
	struct sched_ev ev = { .kind = SCHED_EV_TICK };

	c->now = clk_add_ms(c->now, 10);
	cost_step(c, &ev);
	cost_confirm(c);
}

static void
cost_submit(struct cost *c, struct rng *r, bool urgent, uint32_t tasks)
{
	struct sched_ev ev = { .kind = SCHED_EV_JOB_SUBMIT };
	char name[16];

	snprintf(name, sizeof(name), "%c%u", urgent ? 'u' : 'b',
	    (unsigned)rng_below(r, urgent ? 20 : 80));
	ev.u.job.id = c->next_job++;
	ev.u.job.class_name = str_from(name);
	ev.u.job.tasks = tasks;
	ev.u.job.declared.cpu_milli = 500 + (int64_t)rng_below(r, 3000);
	ev.u.job.declared.mem_mb = 1000 + (int64_t)rng_below(r, 10000);
	cost_step(c, &ev);
	cost_confirm(c);
}

/* Ends n random running tasks. */
static void
cost_end(struct cost *c, struct rng *r, unsigned n)
{
	struct sched_ev ev = { .kind = SCHED_EV_TASK_DONE };
	size_t k;

	for (; n > 0 && c->nrun > 0; n--) {
		k = rng_below(r, c->nrun);
		ev.u.task.task = c->run[k];
		ev.u.task.epoch = c->on[k];
		ev.u.task.attempt = 1;
		c->run[k] = c->run[--c->nrun];
		c->on[k] = c->on[c->nrun];
		cost_step(c, &ev);
		cost_confirm(c);
	}
}

static void
cost_fleet(struct cost *c, unsigned workers)
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
			.cap = { 64000, 250000, i % 3 == 0 ? 4 : 0 },
			.rack = str_from(rack),
			.domain = str_from(domain),
			.slots = 8,
			.serves = &serves,
			.nserves = 1 };
		cost_step(c, &ev);
	}
}

static double
cost_reports(struct cost *c, struct rng *r, unsigned workers)
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
		cost_confirm(c);
	}
	return (cpu_seconds() - t0) * 1e6 / workers;
}

/* Returns microseconds per start, with its confirmation and its end. */
static double
cost_run(unsigned workers)
{
	struct sched_conf conf = { .seed = 1,
		.interference = true,
		.learning = true,
		.targets = true,
		.candidates = 8 };
	size_t urgent = (size_t)URGENT_MAX * workers / FLEET_MAX;
	size_t batch = (size_t)BATCH_MAX * workers / FLEET_MAX, n, idle, full;
	struct cost c = { .now = { 1000, 0 }, .next_job = 1 };
	double us, t0;
	uint64_t before;
	struct rng r;
	unsigned i;

	rng_init(&r, workers);
	c.s = sched_new(NULL, &conf, c.now);
	c.run = calloc(2 * (urgent + batch) + 100000, sizeof(*c.run));
	c.on = calloc(2 * (urgent + batch) + 100000, sizeof(*c.on));
	idle = sched_bytes(c.s);
	cost_fleet(&c, workers);
	full = sched_bytes(c.s);
	printf("placement_bytes_per_worker_%u %.0f bytes\n", workers,
	    (double)(full - idle) / workers);
	for (n = 0; n < urgent; n += 25)
		cost_submit(&c, &r, true, 25);
	for (n = 0; n < batch; n += 25)
		cost_submit(&c, &r, false, 25);
	t0 = cpu_seconds();
	/* Batch work comes in as far as the caps, which move with time. */
	for (i = 0; i < 4000 && c.nrun < urgent + batch; i++) {
		if (i > 200)
			c.now = clk_add_ms(c.now, 90);
		cost_tick(&c);
	}
	printf("placement_filled_%u %zu tasks\n", workers, c.nrun);
	printf("placement_fill_us_per_start_%u %.2f us\n", workers,
	    (cpu_seconds() - t0) * 1e6 / (double)c.starts);
	printf("placement_bytes_per_task_%u %.0f bytes\n", workers,
	    (double)(sched_bytes(c.s) - full) / (double)c.nrun);
	printf("placement_us_per_latency_report_%u %.2f us\n", workers,
	    cost_reports(&c, &r, workers));
	/* 210 starts per 10 ms are 21,000 a second. */
	before = c.starts;
	t0 = cpu_seconds();
	for (i = 0; i < 400; i++) {
		cost_end(&c, &r, 210);
		cost_submit(&c, &r, i % 4 == 0, 105);
		cost_submit(&c, &r, i % 4 == 1, 105);
		cost_tick(&c);
	}
	us = (cpu_seconds() - t0) * 1e6 / (double)(c.starts - before);
	printf("placement_us_per_start_%u %.2f us\n", workers, us);
	printf("placement_starts_per_second_%u %.0f 1/s\n", workers, 1e6 / us);
	free(c.run);
	free(c.on);
	talloc_free(c.acts.v);
	talloc_free(c.got.v);
	talloc_free(c.s);
	return us;
}

static void
cost_all(void)
{
	static const unsigned size[] = { 65, 500, 5000, 22000 };
	double us[4], sx = 0, sy = 0, sxx = 0, sxy = 0, slope, at, rest = 0;
	int i;

	for (i = 0; i < 4; i++) {
		us[i] = cost_run(size[i]);
		sx += size[i];
		sy += us[i];
		sxx += (double)size[i] * size[i];
		sxy += size[i] * us[i];
	}
	slope = (4 * sxy - sx * sy) / (4 * sxx - sx * sx);
	at = (sy - slope * sx) / 4;
	for (i = 0; i < 4; i++)
		rest += pow(us[i] - at - slope * size[i], 2);
	printf("placement_slope_us_per_1000_workers %.4f us\n", slope * 1000);
	printf("placement_residual_us %.3f us\n", sqrt(rest / 4));
}

/* The quality of decisions. */
enum policy {
	OURS,
	NO_MODEL,
	FIRST_FIT,
	SPLIT,
	POLICIES
};
enum world {
	STEADY,
	DAILY,
	WAVES,
	BROKEN,
	SIZES,
	DOMAIN_LOST,
	WORLDS
};

static const char *const policy_name[] = { "ours", "no_model", "first_fit",
	"static_split" };
static const char *const world_name[] = { "steady", "daily_shift",
	"noisy_waves", "failing_workers", "sizes_off", "domain_loss" };
static const char *const victim_name[] = { "intake", "tally", "query" };
static const char *const batch_name[] = { "logcheck", "sync", "scan", "train",
	"compact", "report" };

struct site {
	const char *name;
	unsigned workers;
	int64_t cpu_milli, mem_mb;
};

enum simstate {
	SIM_WAIT,
	SIM_RUN,
	SIM_STOP,
	SIM_DONE
};

struct simtask {
	uint32_t job, number;
	enum simstate state;
	int worker;
	uint32_t attempt;
	double work, progress, saved; /* seconds at full speed */
	double cpu, mem;	      /* what it really uses */
	double limit_cpu;
	unsigned percent;
	double until; /* when a stop is over */
	double ready, started, ckpt;
	bool lose;	/* stopped without checkpoint */
	int prev, next; /* on the worker */
};

struct simjob {
	uint64_t id;
	int cls; /* batch class, or -1: urgent tasks */
	uint32_t first, tasks;
	struct sched_res declared;
};

struct simworker {
	uint64_t epoch;
	bool up, broken, batch_only, requests;
	int victim;
	int head;
	double held_cpu, held_mem; /* declared, for the baselines */
	double x[SIM_BATCH];
	double svc_cpu, svc_mem;
	double count, late, sum_ms; /* answers since the last summary */
	unsigned domain;
};

struct sim {
	const struct site *site;
	enum policy policy;
	enum world world;
	struct rng rng;
	struct sched *s;
	struct sched_acts acts;
	double t;
	double slow[SIM_VICTIMS][SIM_BATCH]; /* hidden */
	struct simworker w[SIM_WORKERS];
	struct simtask *task;
	uint32_t ntask, ctask;
	struct simjob *job;
	uint32_t njob, cjob;
	uint32_t *queue; /* waiting tasks of the baselines */
	uint32_t nqueue, cqueue;
	uint64_t next_epoch;
	double backlog; /* waiting and running batch work, processor seconds */
	double answers, late;
	double minute_n[SIM_VICTIMS], minute_late[SIM_VICTIMS];
	unsigned minutes, minutes_met;
	unsigned starts, starts_late;
	double finished, repeated; /* processor seconds */
	unsigned evictions, killed, failures;
};

static struct timespec
sim_now(const struct sim *m)
{
	return clk_from_ns((int64_t)((1000 + m->t) * 1e9));
}

static void
sim_send(struct sim *m, const struct sched_ev *ev)
{
	if (m->s != NULL)
		(void)sched_step(m->s, sim_now(m), ev, &m->acts);
}

static double
sim_demand(const struct simtask *k)
{
	double most = k->limit_cpu * k->percent / 100;

	return k->percent < 100 && most < k->cpu ? most : k->cpu;
}

static void
sim_queue(struct sim *m, uint32_t ti)
{
	if (m->s != NULL)
		return;
	if (m->nqueue == m->cqueue) {
		m->cqueue = m->cqueue > 0 ? m->cqueue * 2 : 256;
		m->queue = realloc(m->queue, m->cqueue * sizeof(*m->queue));
	}
	m->queue[m->nqueue++] = ti;
}

static void
sim_link(struct sim *m, uint32_t ti, int wi)
{
	struct simtask *k = &m->task[ti];
	struct simworker *w = &m->w[wi];
	const struct simjob *j = &m->job[k->job];

	k->worker = wi;
	k->state = SIM_RUN;
	k->attempt++;
	k->started = k->ckpt = m->t;
	k->percent = 100;
	k->progress = k->saved;
	k->prev = -1;
	k->next = w->head;
	if (w->head >= 0)
		m->task[w->head].prev = (int)ti;
	w->head = (int)ti;
	w->held_cpu += (double)j->declared.cpu_milli;
	w->held_mem += (double)j->declared.mem_mb;
	if (j->cls < 0) {
		m->starts++;
		m->starts_late += m->t - k->ready > SIM_START_S;
	}
}

static void
sim_unlink(struct sim *m, uint32_t ti)
{
	struct simtask *k = &m->task[ti];
	struct simworker *w = &m->w[k->worker];
	const struct simjob *j = &m->job[k->job];

	if (k->prev >= 0)
		m->task[k->prev].next = k->next;
	else
		w->head = k->next;
	if (k->next >= 0)
		m->task[k->next].prev = k->prev;
	w->held_cpu -= (double)j->declared.cpu_milli;
	w->held_mem -= (double)j->declared.mem_mb;
	k->worker = -1;
}

/* A task waits again, with what its last checkpoint has saved. */
static void
sim_again(struct sim *m, uint32_t ti)
{
	struct simtask *k = &m->task[ti];

	m->repeated += (k->progress - k->saved) * k->cpu / 1000;
	sim_unlink(m, ti);
	k->state = SIM_WAIT;
	k->ready = m->t;
	sim_queue(m, ti);
}

static void
sim_task_event(
    struct sim *m, enum sched_ev_kind kind, uint32_t ti, uint64_t epoch)
{
	const struct simtask *k = &m->task[ti];
	struct sched_ev ev = { .kind = kind };

	ev.u.task.task = m->job[k->job].id << 20 | k->number;
	ev.u.task.attempt = k->attempt;
	ev.u.task.epoch = epoch;
	ev.u.task.progress = (int64_t)k->saved;
	sim_send(m, &ev);
}

static void
sim_worker_up(struct sim *m, unsigned i)
{
	struct simworker *w = &m->w[i];
	struct sched_ev ev = { .kind = SCHED_EV_WORKER_UP };
	char name[16], rack[16], domain[16];
	struct str serves = str_from(victim_name[w->victim]);

	snprintf(name, sizeof(name), "w%u", i);
	snprintf(rack, sizeof(rack), "r%u", i / 8);
	snprintf(domain, sizeof(domain), "d%u", w->domain);
	w->epoch = m->next_epoch++;
	w->up = true;
	w->head = -1;
	w->held_cpu = w->held_mem = 0;
	ev.u.worker = (struct sched_worker){ .epoch = w->epoch,
		.name = str_from(name),
		.cap = { m->site->cpu_milli, m->site->mem_mb, 0 },
		.rack = str_from(rack),
		.domain = str_from(domain),
		.slots = 8,
		.serves = &serves,
		.nserves = 1 };
	sim_send(m, &ev);
}

static void
sim_worker_lost(struct sim *m, unsigned i)
{
	struct simworker *w = &m->w[i];
	struct sched_ev ev = { .kind = SCHED_EV_WORKER_LOST };

	while (w->head >= 0)
		sim_again(m, (uint32_t)w->head);
	w->up = false;
	ev.u.epoch = w->epoch;
	sim_send(m, &ev);
}

static void
sim_submit(struct sim *m, int cls, uint32_t tasks)
{
	static const double off[] = { 1.0 / 3, 3.0 };
	struct sched_ev ev = { .kind = SCHED_EV_JOB_SUBMIT };
	double wrong_cpu = 1, wrong_mem = 1, cpu, mem, secs;
	struct simjob *j;
	uint32_t i;

	if (m->njob == m->cjob) {
		m->cjob = m->cjob > 0 ? m->cjob * 2 : 256;
		m->job = realloc(m->job, m->cjob * sizeof(*m->job));
	}
	if (m->ntask + tasks > m->ctask) {
		m->ctask = (m->ctask + tasks) * 2;
		m->task = realloc(m->task, m->ctask * sizeof(*m->task));
	}
	cpu = 1000 * (1 + (double)rng_below(&m->rng, 4));
	mem = 2000 * (1 + (double)rng_below(&m->rng, 6));
	secs = cls < 0 ? 30 + rng_exp(&m->rng, 30) : 60 + rng_exp(&m->rng, 180);
	if (m->world == SIZES) {
		wrong_cpu = off[rng_below(&m->rng, 2)];
		wrong_mem = off[rng_below(&m->rng, 2)];
	}
	j = &m->job[m->njob];
	j->id = m->njob + 1;
	j->cls = cls;
	j->first = m->ntask;
	j->tasks = tasks;
	j->declared = (struct sched_res){ (int64_t)cpu, (int64_t)mem, 0 };
	for (i = 0; i < tasks; i++) {
		struct simtask *k = &m->task[m->ntask + i];

		memset(k, 0, sizeof(*k));
		k->job = m->njob;
		k->number = i;
		k->worker = -1;
		k->work = secs * (0.7 + 0.6 * rng_unit(&m->rng));
		k->cpu = cpu * wrong_cpu * (0.7 + 0.3 * rng_unit(&m->rng));
		k->mem = mem * wrong_mem * (0.7 + 0.3 * rng_unit(&m->rng));
		k->ready = m->t;
		if (cls >= 0)
			m->backlog += k->work * k->cpu / 1000;
		sim_queue(m, m->ntask + i);
	}
	m->ntask += tasks;
	m->njob++;
	ev.u.job.id = j->id;
	ev.u.job.class_name = str_from(cls < 0 ? "alerts" : batch_name[cls]);
	ev.u.job.tasks = tasks;
	ev.u.job.declared = j->declared;
	sim_send(m, &ev);
}

/* Carries the orders of the scheduler out; events answer them. */
static void
sim_orders(struct sim *m)
{
	size_t i;

	for (i = 0; i < m->acts.n; i++) {
		struct sched_act a = m->acts.v[i];
		struct simtask *k;
		uint32_t ti;
		int wi;

		if (a.kind == SCHED_ACT_JOB_FAILED) {
			m->killed++;
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
			sim_link(m, ti, wi);
			k->limit_cpu = (double)a.u.task.limit.cpu_milli;
			sim_task_event(
			    m, SCHED_EV_ASSIGNED, ti, a.u.task.epoch);
		} else if (k->worker < 0) {
			continue;
		} else if (a.kind == SCHED_ACT_THROTTLE) {
			k->limit_cpu = (double)a.u.task.limit.cpu_milli;
			k->percent = a.u.task.percent;
		} else if (k->state == SIM_RUN) {
			k->state = SIM_STOP;
			k->lose = a.kind == SCHED_ACT_STOP;
			k->until = m->t + (k->lose ? 1 : 4);
			m->evictions++;
		}
	}
	m->acts.n = 0;
}

/* First fit by declared size, urgent tasks first; with or without a split. */
static void
sim_first_fit(struct sim *m)
{
	int urgent;
	uint32_t i, keep, n;
	unsigned wi;

	for (urgent = 1; urgent >= 0; urgent--) {
		/* Sizes are whole processors: one entry per size. */
		bool none[8][8] = { { false } };

		for (i = keep = 0, n = m->nqueue; i < n; i++) {
			uint32_t ti = m->queue[i];
			const struct simjob *j = &m->job[m->task[ti].job];
			double cpu = (double)j->declared.cpu_milli;
			double mem = (double)j->declared.mem_mb;
			bool *full =
			    &none[(int)(cpu / 1000)][(int)(mem / 2000)];

			if ((j->cls < 0) != (urgent == 1) || *full) {
				m->queue[keep++] = ti;
				continue;
			}
			for (wi = 0; wi < m->site->workers; wi++) {
				struct simworker *w = &m->w[wi];

				if (w->up &&
				    (m->policy != SPLIT ||
					w->batch_only == (j->cls >= 0)) &&
				    w->held_cpu + cpu <=
					(double)m->site->cpu_milli &&
				    w->held_mem + mem <=
					(double)m->site->mem_mb)
					break;
			}
			if (wi < m->site->workers) {
				sim_link(m, ti, (int)wi);
				continue;
			}
			*full = true;
			m->queue[keep++] = ti;
		}
		m->nqueue = keep;
	}
}

static double
sim_rate(const struct sim *m)
{
	if (m->world == DAILY)
		return 1 - 0.6 * cos(2 * M_PI * m->t / SIM_SECONDS);
	return 1;
}

static bool
sim_wave(const struct sim *m)
{
	return m->world == WAVES && fmod(m->t, 360) > 240;
}

/* One second of the tasks of a worker. */
static void
sim_tasks(struct sim *m, unsigned wi, double grant)
{
	struct simworker *w = &m->w[wi];
	int ti, next;

	for (ti = w->head; ti >= 0; ti = next) {
		struct simtask *k = &m->task[ti];
		const struct simjob *j = &m->job[k->job];

		next = k->next;
		if (w->broken && m->t - k->started > 4) {
			sim_again(m, (uint32_t)ti);
			m->failures++;
			sim_task_event(
			    m, SCHED_EV_TASK_FAILED, (uint32_t)ti, w->epoch);
			continue;
		}
		k->progress += sim_demand(k) / k->cpu * grant;
		if (k->progress >= k->work) {
			if (j->cls >= 0) {
				m->finished += k->work * k->cpu / 1000;
				m->backlog -= k->work * k->cpu / 1000;
			}
			sim_unlink(m, (uint32_t)ti);
			k->state = SIM_DONE;
			sim_task_event(
			    m, SCHED_EV_TASK_DONE, (uint32_t)ti, w->epoch);
		} else if (k->state == SIM_STOP && m->t >= k->until) {
			if (!k->lose)
				k->saved = k->progress;
			sim_again(m, (uint32_t)ti);
			sim_task_event(
			    m, SCHED_EV_TASK_STOPPED, (uint32_t)ti, w->epoch);
		} else if (m->t - k->ckpt >= SIM_CKPT_S) {
			k->ckpt = m->t;
			k->saved = k->progress;
			sim_task_event(m, SCHED_EV_TASK_CHECKPOINT,
			    (uint32_t)ti, w->epoch);
		}
	}
}

/* Memory that does not fit ends the largest task. */
static void
sim_memory(struct sim *m, unsigned wi)
{
	struct simworker *w = &m->w[wi];
	double mem = w->svc_mem;
	int ti, big;

	for (ti = w->head; ti >= 0; ti = m->task[ti].next)
		mem += m->task[ti].mem;
	while (mem > (double)m->site->mem_mb && w->head >= 0) {
		for (ti = big = w->head; ti >= 0; ti = m->task[ti].next)
			if (m->task[ti].mem > m->task[big].mem)
				big = ti;
		mem -= m->task[big].mem;
		m->evictions++;
		sim_again(m, (uint32_t)big);
		sim_task_event(
		    m, SCHED_EV_TASK_STOPPED, (uint32_t)big, w->epoch);
	}
}

/* Approximately normal, mean 0 and deviation 1. */
static double
sim_normal(struct rng *r)
{
	double s = 0;
	int i;

	for (i = 0; i < 12; i++)
		s += rng_unit(r);
	return s - 6;
}

/* One second of answers on a worker. */
static void
sim_answers(struct sim *m, struct simworker *w, double rate, double util)
{
	double slow = 1, mean, rho, p, late;
	int n;

	for (n = 0; n < SIM_BATCH; n++)
		slow += m->slow[w->victim][n] * w->x[n] * (sim_wave(m) ? 2 : 1);
	if (util > 0.9)
		slow *= 1 + 4 * (util - 0.9);
	mean = SIM_BASE_MS * slow;
	/* Waiting for one of 8 slots. */
	rho = fmin(0.97, rate * mean / 1000 / 8);
	mean *= 1 + pow(rho, 5.5) / (8 * (1 - rho));
	p = log(SIM_BASE_MS * SIM_BOUND / mean) + SIM_SIGMA * SIM_SIGMA / 2;
	p = 0.5 * erfc(p / SIM_SIGMA / M_SQRT2);
	late = p * rate + sim_normal(&m->rng) * sqrt(p * (1 - p) * rate);
	rate = floor(rate);
	late = fmax(0, fmin(rate, floor(late + rng_unit(&m->rng))));
	w->count += rate;
	w->late += late;
	w->sum_ms += rate * mean *
	    (1 + SIM_SIGMA * sim_normal(&m->rng) / sqrt(fmax(rate, 1)));
	m->answers += rate;
	m->late += late;
	m->minute_n[w->victim] += rate;
	m->minute_late[w->victim] += late;
}

/* One second of a worker: shares, tasks, answers. */
static void
sim_worker(
    struct sim *m, unsigned wi, const unsigned *serving, const unsigned *all)
{
	struct simworker *w = &m->w[wi];
	double cap = (double)m->site->cpu_milli, demand = 0, util, rate = 0;
	int ti, cls;

	memset(w->x, 0, sizeof(w->x));
	for (ti = w->head; ti >= 0; ti = m->task[ti].next) {
		cls = m->job[m->task[ti].job].cls;
		if (cls >= 0)
			w->x[cls] += sim_demand(&m->task[ti]) / cap;
		demand += sim_demand(&m->task[ti]);
	}
	/* 60 a second on each worker when all workers serve. */
	if (w->requests)
		rate = 60 * sim_rate(m) * all[w->victim] / serving[w->victim];
	w->svc_cpu = rate / 60 * 0.22 * cap;
	w->svc_mem = w->requests ? 0.06 * (double)m->site->mem_mb : 0;
	util = (demand + w->svc_cpu) / cap;
	sim_memory(m, wi);
	sim_tasks(m, wi, util > 1 ? 1 / util : 1);
	if (w->requests)
		sim_answers(m, w, rate, util);
}

static void
sim_reports(struct sim *m, unsigned wi)
{
	static struct sched_usage v[4096];
	struct simworker *w = &m->w[wi];
	struct sched_ev ev = { .kind = SCHED_EV_USAGE };
	size_t n = 0;
	int ti;

	if (w->count > 0 && ((int)m->t + (int)wi) % 2 == 0) {
		struct sched_ev l = { .kind = SCHED_EV_LATENCY };

		l.u.latency.epoch = w->epoch;
		l.u.latency.class_name = str_from(victim_name[w->victim]);
		l.u.latency.count = (uint32_t)w->count;
		l.u.latency.late = (uint32_t)w->late;
		l.u.latency.mean_ms = w->sum_ms / w->count;
		l.u.latency.high_ms = l.u.latency.mean_ms * 3;
		w->count = w->late = w->sum_ms = 0;
		sim_send(m, &l);
	}
	if (((int)m->t + (int)wi) % SIM_USAGE_S != 0)
		return;
	ev.u.usage.epoch = w->epoch;
	ev.u.usage.age_ms = SIM_USAGE_S * 1000;
	for (ti = w->head; ti >= 0 && n < 4096; ti = m->task[ti].next) {
		const struct simtask *k = &m->task[ti];

		/* The report is late: younger tasks are not in it. */
		if (m->t - k->started < SIM_USAGE_S)
			continue;
		v[n].task = m->job[k->job].id << 20 | k->number;
		v[n].cpu_milli =
		    (int64_t)(sim_demand(k) * (0.9 + 0.2 * rng_unit(&m->rng)));
		v[n].mem_mb = (int64_t)k->mem;
		ev.u.usage.used.cpu_milli += v[n].cpu_milli;
		ev.u.usage.used.mem_mb += v[n].mem_mb;
		n++;
	}
	ev.u.usage.used.cpu_milli += (int64_t)w->svc_cpu;
	ev.u.usage.used.mem_mb += (int64_t)w->svc_mem;
	ev.u.usage.tasks = v;
	ev.u.usage.n = n;
	sim_send(m, &ev);
}

static void
sim_classes(struct sim *m)
{
	struct sched_ev ev = { .kind = SCHED_EV_CLASS_SET };
	int i;

	for (i = 0; i < SIM_VICTIMS + 1; i++) {
		ev.u.cls = (struct sched_class){
			.name = str_from(
			    i < SIM_VICTIMS ? victim_name[i] : "alerts"),
			.urgent = true,
			.percentile_x10 = 990,
			.bound_ms = (int64_t)(SIM_BASE_MS * SIM_BOUND),
			.team = str_from("services")
		};
		sim_send(m, &ev);
	}
	for (i = 0; i < SIM_BATCH; i++) {
		ev.u.cls =
		    (struct sched_class){ .name = str_from(batch_name[i]),
			    .finish_per_hour = 2000,
			    .team = str_from("batch") };
		sim_send(m, &ev);
	}
}

/* The hidden table: most pairs are mild, each victim has two bad ones. */
static void
sim_table(struct sim *m)
{
	struct rng r;
	int v, n;

	rng_init(&r, 7);
	for (v = 0; v < SIM_VICTIMS; v++)
		for (n = 0; n < SIM_BATCH; n++)
			m->slow[v][n] = 0.05 + 0.25 * rng_unit(&r);
	for (v = 0; v < SIM_VICTIMS; v++) {
		m->slow[v][2 * v] = 2.5;
		m->slow[v][2 * v + 1] = 1.2;
	}
}

static void
sim_domain(struct sim *m, unsigned i)
{
	struct simworker *w = &m->w[i];

	if (m->world != DOMAIN_LOST || w->domain != 1)
		return;
	if (w->up && m->t >= 800 && m->t < 1600)
		sim_worker_lost(m, i);
	if (!w->up && m->t >= 1600)
		sim_worker_up(m, i);
}

static void
sim_second(struct sim *m)
{
	unsigned i, serving[SIM_VICTIMS] = { 0 }, all[SIM_VICTIMS] = { 0 };
	struct sched_ev tick = { .kind = SCHED_EV_TICK };
	double cores = (double)m->site->cpu_milli / 1000 * m->site->workers;
	int v;

	/* Batch demand is always more than the fleet can do. */
	while (m->backlog < cores * 400)
		sim_submit(m, (int)rng_below(&m->rng, SIM_BATCH),
		    5 + (uint32_t)rng_below(&m->rng, 30));
	if (rng_chance(&m->rng, 0.05 * sim_rate(m)))
		sim_submit(m, -1,
		    1 + (uint32_t)rng_below(&m->rng, m->site->workers / 3));
	for (i = 0; i < m->site->workers; i++) {
		sim_domain(m, i);
		all[m->w[i].victim]++;
		serving[m->w[i].victim] += m->w[i].up && m->w[i].requests;
	}
	for (i = 0; i < m->site->workers; i++)
		if (m->w[i].up) {
			sim_worker(m, i, serving, all);
			sim_reports(m, i);
		}
	if (m->s == NULL)
		sim_first_fit(m);
	for (i = 0; i < SIM_STEPS_S; i++) {
		sim_send(m, &tick);
		sim_orders(m);
		m->t += 1.0 / SIM_STEPS_S;
	}
	if ((int)m->t % 60 != 0)
		return;
	for (v = 0; v < SIM_VICTIMS; v++) {
		m->minutes++;
		m->minutes_met += m->minute_late[v] <= 0.01 * m->minute_n[v];
		m->minute_n[v] = m->minute_late[v] = 0;
	}
}

static void
sim_print(const struct sim *m, const char *what, double v, const char *unit)
{
	printf("sim_%s_%s_%s_%s %.2f %s\n", m->site->name, world_name[m->world],
	    policy_name[m->policy], what, v, unit);
}

static void
sim_result(const struct sim *m)
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
	sim_print(m, "jobs_failed", m->killed, "jobs");
	if (getenv("BENCH_COUNTERS") == NULL || m->s == NULL)
		return;
	c = sched_counters(m->s);
	for (i = 0; i < c->n; i++)
		printf("  %s %llu\n", c->desc[i].name,
		    (unsigned long long)ctr_get(c, i));
}

static void
sim_run(const struct site *site, enum world world, enum policy policy)
{
	struct sim *m = calloc(1, sizeof(*m));
	struct sched_conf conf = { .seed = 3,
		.interference = policy == OURS,
		.learning = true,
		.targets = true,
		.candidates = 8 };
	unsigned i;

	m->site = site;
	m->world = world;
	m->policy = policy;
	m->next_epoch = 1;
	rng_init(&m->rng, 11);
	sim_table(m);
	if (policy == OURS || policy == NO_MODEL)
		m->s = sched_new(NULL, &conf, sim_now(m));
	sim_classes(m);
	for (i = 0; i < site->workers; i++) {
		struct simworker *w = &m->w[i];

		w->domain = i / 8 % 3;
		w->victim = i % 10 < 5 ? 0 : i % 10 < 8 ? 1 : 2;
		w->batch_only = policy == SPLIT &&
		    (i / 10 + i) % SIM_SPLIT_OF >= SIM_SPLIT_REQ;
		w->requests = !w->batch_only;
		w->broken = world == BROKEN && i % 10 == 4;
		sim_worker_up(m, i);
	}
	while (m->t < SIM_SECONDS)
		sim_second(m);
	sim_result(m);
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
		cost_all();
	if (argc >= 2 && strcmp(argv[1], "sim") != 0)
		return 0;
	for (s = 0; s < 2; s++)
		for (w = 0; w < WORLDS; w++)
			for (p = 0; p < POLICIES; p++) {
				if (argc > 2 &&
				    strcmp(argv[2], world_name[w]) != 0)
					continue;
				if (argc > 3 &&
				    strcmp(argv[3], policy_name[p]) != 0)
					continue;
				sim_run(
				    &sites[s], (enum world)w, (enum policy)p);
			}
	return 0;
}
