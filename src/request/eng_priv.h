/* Internals of the request engine; times without a unit are in ns. */
#ifndef REQUEST_ENG_PRIV_H
#define REQUEST_ENG_PRIV_H

#include <sys/queue.h>

#include "base/rng.h"
#include "request/adm.h"
#include "request/eng.h"
#include "request/outlier.h"
#include "request/retry_budget.h"
#include "request/slot.h"
#include "request/tmr.h"

#define ENG_ATTEMPTS_MAX 4

/* Counters; those of the reasons come before these. */
enum eng_ctr {
	ENG_C_ANSWERED = ENG_R_COUNT,
	ENG_C_NOT_RUN,
	ENG_C_UNKNOWN,
	ENG_C_OLD_EVENT,
	ENG_C_LATE_ANSWER,
	ENG_C_LATE_CLAIM,
	ENG_C_RETRY_CONNECT,
	ENG_C_RETRY_NOT_STARTED,
	ENG_C_RETRY_RESET,
	ENG_C_RETRY_TRUNCATED,
	ENG_C_RETRY_TIMEOUT,
	ENG_C_SUSPECTED,
	ENG_C_EJECTED,
	ENG_C_EJECT_CAPPED,
	ENG_C_READMITTED,
	ENG_C_PROBE_FAILED,
	ENG_C_COMPETING_URGENT,
	ENG_C_COMPETING_BATCH,
	ENG_C_COUNT
};

enum eng_tmr_kind {
	ENG_TMR_REQ,
	ENG_TMR_WORKER
};

enum eng_state {
	ENG_S_FREE,
	ENG_S_CLAIMING,
	ENG_S_QUEUED,
	ENG_S_RUNNING,
	ENG_S_LINGER,	  /* ended here; holds a slot until its timer fires */
	ENG_S_UNCONFIRMED /* answered before its claim was */
};

struct eng_class;
struct eng_worker;

struct eng_req {
	uint64_t id, attempt;
	struct eng_class *class;
	struct eng_worker *worker; /* of the current attempt */
	int64_t arrived_ns, deadline_ns, start_by_ns;
	int64_t attempt_start_ns;
	int64_t attempt_deadline_ns;
	uint64_t avoid_epoch; /* of the worker of the last failed attempt */
	struct tmr tmr;
	TAILQ_ENTRY(eng_req) link; /* queue of the class */
	struct eng_req *next;	   /* in the hash chain or the free list */
	uint8_t state;
	uint8_t attempts;
	uint8_t reason; /* of the last failed attempt */
	bool keyed, claimed, idempotent;
	bool sent;	   /* a byte of this attempt may have left */
	bool may_have_run; /* an earlier attempt may have run */
	bool client_gone;
};

TAILQ_HEAD(eng_queue, eng_req);

struct eng_class {
	struct str name;
	size_t index; /* in the view; SIZE_MAX: not there */
	bool urgent;
	struct adm adm;
	struct retry_budget retry_budget;
	struct eng_queue queue;
	unsigned queued, running, claiming;
	unsigned usable_workers; /* that may get new requests */
	unsigned slots;		 /* of usable workers */
	unsigned free_slots;	 /* of these, not in use */
	unsigned ejected;
	struct eng_worker **workers; /* that serve it, sorted by epoch */
	size_t nworkers, cap;
	/* For the heartbeat: */
	uint64_t answered, late, refused;
	unsigned unmet_requests; /* refused for lack of slots */
};

struct eng_rack {
	struct str name;
	unsigned used, granted;
};

struct eng_served_class {
	struct eng_class *class;
	struct lat *lat; /* since the last statistics; NULL: no results */
};

struct eng_worker {
	uint64_t epoch;
	size_t index; /* in the view; SIZE_MAX: not there */
	bool draining;
	size_t rack;
	struct slot slot;
	struct outlier outlier;
	struct tmr tmr;		/* next probe, or timeout of one under way */
	unsigned counted_slots; /* included in the sums of its classes */
	unsigned counted_free;
	bool counted_usable;
	struct eng_served_class *serves;
	size_t nserves;
};

struct eng {
	struct eng_conf conf;
	struct rng rng;
	struct ctr_set ctr;
	struct tmr_heap timers;
	const struct view *view;
	int64_t fresh_until_ns;
	int64_t now_ns; /* of the current step */
	int64_t last_stats_ns;
	bool draining;
	uint64_t last_attempt;
	unsigned nreq; /* being claimed, queued, running */
	unsigned nunconfirmed;
	struct eng_req **hash;
	size_t nhash, nhashed;
	struct eng_req *free_reqs;
	struct eng_class **classes;
	size_t nclasses;
	struct eng_class **by_index; /* index as in the view */
	struct eng_worker **workers; /* sorted by epoch */
	size_t nworkers;
	struct eng_rack *racks;
	size_t nracks;
	struct eng_acts *acts; /* of the current step */
};

extern const struct ctr_desc eng_ctr_desc[];

/* eng.c: requests */
struct eng_act *eng_emit(struct eng *, enum eng_act_kind, uint64_t req);
struct eng_req *eng_req_new(struct eng *);
void eng_req_free(struct eng *, struct eng_req *);
/* Answers and frees a request. */
void eng_answer(struct eng *, struct eng_req *, int64_t now, enum eng_outcome,
    enum eng_reason);

/* eng_run.c: attempts */
void eng_enqueue(struct eng *, struct eng_req *, int64_t now);
void eng_dequeue(struct eng *, struct eng_req *);
void eng_abort_attempt(struct eng *, const struct eng_req *, bool close_idle);
enum eng_outcome eng_failure_outcome(const struct eng_req *);
/* may_run: the worker may have run the attempt, or may still run it. */
void eng_attempt_failed(
    struct eng *, struct eng_req *, int64_t now, enum eng_reason, bool may_run);
void eng_attempt_done(
    struct eng *, struct eng_req *, int64_t now, int http_status);
void eng_req_timer(struct eng *, struct eng_req *, int64_t now);
/* Sends queued requests to a worker while it has a free slot. */
void eng_dispatch_queued(struct eng *, struct eng_worker *, int64_t now);
void eng_release_slot(struct eng *, struct eng_worker *);

/* eng_worker.c: views, outlier detection */
void eng_apply_view(struct eng *, const struct view *, int64_t now);
struct eng_worker *eng_worker_find(const struct eng *, uint64_t epoch);
bool eng_worker_usable(const struct eng_worker *);
void eng_update_class_sums(struct eng *, struct eng_worker *);
void eng_add_result(
    struct eng *, struct eng_worker *, int64_t now, bool ok, bool timed_out);
void eng_worker_timer(struct eng *, struct eng_worker *, int64_t now);
void eng_probe_answered(struct eng *, uint64_t epoch, bool ok, int64_t now);

#endif
