/* Inside of the request engine; not for other modules. */
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

/* Counters after those of the reasons. */
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
	ENG_C_CROWDED_URGENT,
	ENG_C_CROWDED_BATCH,
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
	ENG_S_LINGER, /* answered or retried; holds a slot until its timer */
	ENG_S_ORPHAN  /* answered while its claim was under way */
};

struct eng_class;
struct eng_worker;

struct eng_req {
	uint64_t id, attempt;
	struct eng_class *class;
	struct eng_worker *worker; /* of the attempt */
	int64_t arrived, deadline, start_by;
	int64_t begun; /* of the attempt */
	int64_t attempt_deadline;
	uint64_t avoid; /* epoch of the worker that failed it last */
	struct tmr tmr;
	TAILQ_ENTRY(eng_req) link; /* queue of the class */
	struct eng_req *next;	   /* of the hash chain or the free list */
	uint8_t state;
	uint8_t attempts;
	uint8_t reason; /* of the newest failure */
	bool keyed, claimed, idempotent;
	bool sent;	/* a byte of this attempt may have left */
	bool maybe_run; /* an earlier attempt may have run */
	bool gone;	/* the client is */
};

TAILQ_HEAD(eng_queue, eng_req);

struct eng_class {
	struct str name;
	size_t index; /* in the view; SIZE_MAX: not there */
	bool urgent;
	struct adm adm;
	struct rtb rtb;
	struct eng_queue queue;
	unsigned queued, running, claiming;
	unsigned usable; /* workers that may get new work */
	unsigned slots;	 /* of these */
	unsigned free;	 /* of slots, not in use */
	unsigned ejected;
	struct eng_worker **workers; /* that serve it, by epoch */
	size_t nworkers, cap;
	/* for the heartbeat */
	uint64_t answered, late, refused;
	unsigned unmet; /* refused for want of slots since last asked */
};

struct eng_rack {
	struct str name;
	unsigned used, granted;
};

struct eng_serve {
	struct eng_class *class;
	struct lat *lat; /* since the last heartbeat; NULL: nothing */
};

struct eng_worker {
	uint64_t epoch;
	size_t index; /* in the view; SIZE_MAX: not there */
	bool draining;
	size_t rack;
	struct slot slot;
	struct out out;
	struct tmr tmr;	  /* next probe, or end of the wait for one */
	unsigned counted; /* slots in the sums of its classes */
	unsigned counted_free;
	bool counted_usable;
	struct eng_serve *serves;
	size_t nserves;
};

struct eng {
	struct eng_conf conf;
	struct rng rng;
	struct ctr_set ctr;
	struct tmr_heap tmr;
	const struct view *view;
	int64_t fresh_until;
	int64_t now;   /* of the newest step */
	int64_t asked; /* when statistics were last taken */
	bool draining;
	uint64_t attempt; /* newest */
	unsigned nreq;	  /* queued, claiming, running */
	unsigned norphan;
	struct eng_req **hash;
	size_t nhash, nhashed;
	struct eng_req *free;
	struct eng_class **classes;
	size_t nclasses;
	struct eng_class **by_index; /* of the view */
	struct eng_worker **workers; /* by epoch */
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
/* The one place that ends a request. */
void eng_answer(struct eng *, struct eng_req *, int64_t now, enum eng_outcome,
    enum eng_reason);

/* eng_run.c: attempts */
void eng_enqueue(struct eng *, struct eng_req *, int64_t now);
void eng_dequeue(struct eng *, struct eng_req *);
void eng_abort(struct eng *, const struct eng_req *, bool silent);
enum eng_outcome eng_fail_outcome(const struct eng_req *);
/* The attempt ended; maybe: the worker may have run or still run it. */
void eng_failed(
    struct eng *, struct eng_req *, int64_t now, enum eng_reason, bool maybe);
void eng_done(struct eng *, struct eng_req *, int64_t now, int http_status);
void eng_req_timer(struct eng *, struct eng_req *, int64_t now);
/* Sends queued work to a worker as long as it has a free slot. */
void eng_pump(struct eng *, struct eng_worker *, int64_t now);
void eng_release(struct eng *, struct eng_worker *);

/* eng_worker.c: views, suspicion, statistics */
void eng_take_view(struct eng *, const struct view *, int64_t now);
struct eng_worker *eng_worker_find(const struct eng *, uint64_t epoch);
bool eng_worker_usable(const struct eng_worker *);
void eng_worker_changed(struct eng *, struct eng_worker *);
void eng_worker_result(
    struct eng *, struct eng_worker *, int64_t now, bool ok, bool timed_out);
void eng_worker_timer(struct eng *, struct eng_worker *, int64_t now);
void eng_probed(struct eng *, uint64_t epoch, bool ok, int64_t now);

#endif
