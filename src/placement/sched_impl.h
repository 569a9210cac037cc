/*
 * State of the scheduler and functions that its source files share. Parameters
 * ji, ti, wi and ci are indices of a job, task, worker and class; number is the
 * number of a task within its job.
 */
#ifndef PLACEMENT_SCHED_IMPL_H
#define PLACEMENT_SCHED_IMPL_H

#include "placement/alloc.h"
#include "placement/intf.h"
#include "placement/jobq.h"
#include "placement/sched.h"

__BEGIN_DECLS

#define SCHED_PASS_INTERVAL_MS 10   /* minimum time between placement passes */
#define SCHED_STARTS_PER_PASS  4096 /* tasks started per pass at most */
#define SCHED_CANDIDATES_MAX   64   /* upper limit of conf.candidates */
/* Expected use of one request slot before any usage report. */
#define SCHED_SLOT_CPU_MILLI 250.0
#define SCHED_SLOT_MEM_MB    256.0
#define SCHED_SUSPECT_SCORE  6 /* failure score of a suspect worker */
#define SCHED_VICTIMS_MAX    8 /* urgent classes considered per worker */
/* An urgent task that starts later counts as a late answer. */
#define SCHED_URGENT_START_MS 7300

enum sched_ctr {
	SCHED_CTR_STARTS,
	SCHED_CTR_PASSES,
	SCHED_CTR_NO_ROOM,
	SCHED_CTR_STALE,
	SCHED_CTR_ASSIGN_FAILED,
	SCHED_CTR_GANG_ROLLBACK,
	SCHED_CTR_GANG_STOP,
	SCHED_CTR_THROTTLE,
	SCHED_CTR_UNTHROTTLE,
	SCHED_CTR_EVICT_TARGET,
	SCHED_CTR_EVICT_USE,
	SCHED_CTR_EVICT_PREEMPT,
	SCHED_CTR_EVICT_DRAIN,
	SCHED_CTR_EVICT_REFUSED,
	SCHED_CTR_STOP_MEMORY,
	SCHED_CTR_SHORTAGE,
	SCHED_CTR_HELD_BACK,
	SCHED_CTR_LATE_USAGE,
	SCHED_CTR_QUARANTINE,
	SCHED_CTR_PROBE,
	SCHED_CTR_JOB_FAILED,
	SCHED_CTR_COUNT
};

struct sched {
	struct sched_conf conf;
	struct alloc alloc;
	struct jobq queue;
	struct intf intf;
	struct hmap racks, domains;
	uint32_t nracks, ndomains;
	struct ctr_set ctr;
	int64_t now_ms;
	uint32_t refreshes; /* number of the present second, from 1 */
	int64_t refresh_ms; /* time of the next sched_refresh() */
	/* Mean use per request slot in the fleet. */
	double slot_cpu_milli, slot_mem_mb;
	uint32_t nurgent;      /* urgent tasks placed */
	double nurgent_peak;   /* decaying maximum of nurgent */
	int64_t urgent_mem_mb; /* decaying maximum of their memory */
	uint32_t nquarantined;
	int64_t pass_ms;  /* earliest next pass */
	int64_t retry_ms; /* earliest retry of a gang or held-back class */
	bool ready;	  /* the first TICK was seen */
	bool pass_needed; /* a pass may find something to start */
	struct sched_acts *acts;
	uint32_t *order; /* scratch: classes in the order of a pass */
	uint32_t norder, order_cap;
};

struct sched_act *sched_emit(struct sched *, enum sched_act_kind);
/* Emits an action for a task, with its allocation and throttle. */
void sched_emit_task(struct sched *, enum sched_act_kind, uint32_t ti);
void sched_job_set_wait(struct sched *, uint32_t ji, enum sched_wait);
/* Releases the resources of a task, which is then finished or waits again. */
void sched_release(struct sched *, uint32_t ti, bool done);
/* Deletes a job that has ended, or queues one that has waiting tasks. */
void sched_job_update(struct sched *, uint32_t ji);
/* Returns what a new task of the job would reserve. */
struct sched_res sched_task_need(const struct sched *, const struct jobq_job *);
/* Adds (sign 1) or removes (-1) an allocation in its class and team. */
void sched_account(struct sched *, const struct alloc_task *, int sign);
bool sched_allocate(struct sched *, uint32_t ji, uint32_t number, uint32_t wi,
    struct sched_res need, uint32_t *task);

/* Returns the memory that batch work leaves free on a worker. */
int64_t sched_headroom_mb(const struct sched *, uint32_t wi);
void sched_placement_pass(struct sched *);
void sched_check_fits(struct sched *, uint32_t ji);
void sched_fleet_changed(struct sched *);

/* Lists the classes that run on a worker, with their shares. */
unsigned sched_neighbours(
    const struct sched *, const struct alloc_worker *, struct intf_neighbour *);
/* Lists the urgent classes that a worker serves or runs. */
unsigned sched_victims(
    const struct sched *, const struct alloc_worker *, uint32_t *victims);
/* Returns the weight of a neighbour class; 1 is the mean of the victim. */
double sched_neighbour_weight(
    const struct sched *, uint32_t victim, uint32_t cls);
/* Returns the weighted share of batch work next to a victim. */
double sched_weighted_load(const struct sched *, uint32_t victim,
    const struct intf_neighbour *, unsigned n);
/* Adds the maximum usage of a task to the learned sizes. */
void sched_learn_size(struct sched *, const struct alloc_task *);
enum status sched_usage(struct sched *, const struct sched_ev *);
enum status sched_latency(struct sched *, const struct sched_ev *);
/* Throttles batch tasks to free lack; returns what is still missing. */
int64_t sched_throttle_batch(struct sched *, uint32_t wi, int64_t lack);
void sched_emit_throttle(struct sched *, uint32_t ti);
void sched_set_percent(struct sched *, uint32_t ti, unsigned percent);
void sched_class_attainment(
    const struct sched *, uint32_t ci, double *m1, double *m10);

/* Evicts a task within the budgets. Returns false if refused. */
bool sched_evict(struct sched *, uint32_t ti, enum sched_ctr why);
/* Returns the work that a task would repeat if it stopped now. */
int64_t sched_repeated_work_ms(const struct sched *, const struct alloc_task *);
/* Throttles batch work to make room; returns the worker or ALLOC_NONE. */
uint32_t sched_throttle_for_urgent(
    struct sched *, const struct sched_res *need);
/* Evicts batch work to make room. Returns false if that is impossible now. */
bool sched_preempt(struct sched *, uint32_t ji, const struct sched_res *need);

void sched_task_failed(struct sched *, uint32_t ti);
void sched_worker_succeeded(struct sched *, uint32_t wi);
void sched_probe_workers(struct sched *);
bool sched_task_failed_on(
    const struct jobq_job *, uint32_t number, uint64_t epoch);

enum status sched_worker_up(struct sched *, const struct sched_worker *);
enum status sched_worker_lost(struct sched *, uint64_t epoch);
enum status sched_worker_drain(struct sched *, uint64_t epoch);

enum status sched_assigned(struct sched *, const struct sched_ev *);
enum status sched_assign_failed(struct sched *, const struct sched_ev *);
enum status sched_task_event(struct sched *, const struct sched_ev *);
enum status sched_job_submit(struct sched *, const struct sched_job *);
enum status sched_job_cancel(struct sched *, uint64_t id);

__END_DECLS

#endif
