/* State of the scheduler and the functions its source files share. */
#ifndef PLACEMENT_SCHED_IMPL_H
#define PLACEMENT_SCHED_IMPL_H

#include "placement/alloc.h"
#include "placement/jobq.h"
#include "placement/sched.h"

__BEGIN_DECLS

#define SCHED_PASS_MS	 10   /* between two placement passes */
#define SCHED_PASS_MAX	 4096 /* starts per pass */
#define SCHED_CANDIDATES 64   /* upper limit of conf.candidates */

enum sched_ctr {
	SCHED_CTR_STARTS,
	SCHED_CTR_PASSES,
	SCHED_CTR_NO_ROOM,
	SCHED_CTR_STALE,
	SCHED_CTR_ASSIGN_FAILED,
	SCHED_CTR_GANG_ROLLBACK,
	SCHED_CTR_GANG_STOP,
	SCHED_CTR_COUNT
};

struct sched {
	struct sched_conf conf;
	struct alloc a;
	struct jobq q;
	struct hmap racks, domains;
	uint32_t nracks, ndomains;
	struct ctr_set ctr;
	int64_t now_ms;
	int64_t pass_ms;  /* earliest next pass */
	int64_t retry_ms; /* a gang is tried again */
	bool ready;	  /* the first TICK was seen */
	bool dirty;	  /* a pass may find something to start */
	struct sched_acts *out;
	uint32_t *order; /* classes, scratch of a pass */
	uint32_t norder, corder;
};

struct sched_act *sched_emit(struct sched *, enum sched_act_kind);
/* Sends an order for a running task. */
void sched_order(struct sched *, enum sched_act_kind, uint32_t task);
void sched_job_wait(struct sched *, uint32_t job, enum sched_wait);
/* Frees what a task holds; the task is then done or waits again. */
void sched_drop(struct sched *, uint32_t task, bool done);
/* Deletes a job without tasks left, or queues one that has waiting tasks. */
void sched_job_settle(struct sched *, uint32_t job);
/* What a new task of the job would reserve. */
struct sched_res sched_need(const struct sched *, const struct jobq_job *);
/* Accounts a new or released reservation to class and team. */
void sched_charge(struct sched *, const struct alloc_task *, int sign);
bool sched_hold(struct sched *, uint32_t job, uint32_t number, uint32_t worker,
    struct sched_res need, uint32_t *task);

void sched_place(struct sched *);
void sched_check_fits(struct sched *, uint32_t job);
void sched_fleet_changed(struct sched *);

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
