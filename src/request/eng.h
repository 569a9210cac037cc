/*
 * The request engine of one traffic thread. Pure: an event and the time in,
 * actions out. It admits, queues, claims, dispatches, retries and answers;
 * the shell moves the bytes. Every request ends in exactly one ANSWER, which
 * speaks of this request only: an earlier one with the same key has its own.
 *
 * The shell passes SENT in before a byte of an attempt can leave, and sends
 * none if that step aborts the attempt. After ABORT the connection is closed
 * and never used again. RECORD with NOT_RUN releases the claim of this very
 * request and no other; it may come after the ANSWER, when the answer to the
 * claim was late. The ANSWER of a cancelled request comes when it has ended,
 * which for a running one is not at once. A view's connections bound what the
 * shell keeps open, idle ones included.
 */
#ifndef REQUEST_ENG_H
#define REQUEST_ENG_H

#include "base/clk.h"
#include "base/ctr.h"
#include "base/err.h"
#include "base/str.h"
#include "control/view.h"

__BEGIN_DECLS

#define ENG_KEY_MAX 128

struct eng_conf {
	uint64_t seed;
	unsigned retry_percent;	  /* of requests, 10 */
	unsigned retry_min_per_s; /* 3 */
	unsigned eject_percent;	  /* most workers of a class out, 20 */
	unsigned clock_ppm;
	unsigned max_requests; /* at once, queued and running */
};

/* What the caller is told; there is no fourth outcome. */
enum eng_outcome {
	ENG_ANSWERED,
	ENG_NOT_RUN, /* proven: nothing of it was run */
	ENG_UNKNOWN
};

/* One counter for each; names in eng_ctr_desc. */
enum eng_reason {
	ENG_R_NONE,
	ENG_R_UNKNOWN_CLASS,
	ENG_R_CONFIG_STALE,
	ENG_R_DRAINING,
	ENG_R_OVERLOAD, /* would miss its deadline in the queue */
	ENG_R_QUEUE_TIMEOUT,
	ENG_R_TOO_MANY,	 /* max_requests */
	ENG_R_NO_WORKER, /* none serves the class */
	ENG_R_BAD_REQUEST,
	ENG_R_CLAIM_FAILED,  /* claim refused before it was recorded */
	ENG_R_CLAIM_UNKNOWN, /* nobody knows whether the claim stands */
	ENG_R_KEY_RUNNING,
	ENG_R_KEY_UNKNOWN,
	ENG_R_KEY_MISMATCH,
	ENG_R_CONNECT,	   /* no connection to the backend server */
	ENG_R_NOT_STARTED, /* the backend server refused before starting */
	ENG_R_RESET,	   /* connection broke after a byte may have left */
	ENG_R_TRUNCATED,
	ENG_R_TIMEOUT,
	ENG_R_RETRY_BUDGET,
	ENG_R_CANCELLED, /* the client is gone */
	ENG_R_COUNT
};

enum eng_ev_kind {
	ENG_EV_TICK,
	ENG_EV_ARRIVE,
	ENG_EV_CLAIMED, /* answer to CLAIM */
	ENG_EV_SENT,	/* comes before the first byte may leave */
	ENG_EV_DONE,	/* a whole answer came */
	ENG_EV_FAILED,
	ENG_EV_CANCEL,
	ENG_EV_PROBED,
	ENG_EV_VIEW,
	ENG_EV_DRAIN
};

enum eng_claim {
	ENG_CLAIM_GRANTED,
	ENG_CLAIM_RUNNING,
	ENG_CLAIM_RECORDED, /* the shell holds the recorded answer */
	ENG_CLAIM_UNKNOWN,  /* the earlier attempt's outcome is unknown */
	ENG_CLAIM_MISMATCH,
	ENG_CLAIM_REFUSED, /* certainly not recorded */
	ENG_CLAIM_LOST	   /* no answer: it may or may not be recorded */
};

enum eng_fail {
	ENG_FAIL_CONNECT,     /* nothing can have left */
	ENG_FAIL_NOT_STARTED, /* refused by the backend server's own word */
	ENG_FAIL_RESET,
	ENG_FAIL_TRUNCATED
};

struct eng_ev {
	enum eng_ev_kind kind;
	uint64_t req;	  /* id chosen by the shell at ARRIVE */
	uint64_t attempt; /* of DISPATCH; an older one is dropped */
	union {
		struct {
			struct str class_name;
			struct str key;	    /* empty: none */
			bool idempotent;    /* by its method */
			int64_t timeout_ms; /* 0: of the class */
		} arrive;
		enum eng_claim claim;
		struct {
			int http_status;
		} done;
		struct {
			enum eng_fail kind;
			bool sent; /* a byte may have left */
		} failed;
		struct {
			uint64_t epoch;
			bool ok;
		} probed;
		const struct view *view; /* valid until the next VIEW */
	} u;
};

enum eng_act_kind {
	ENG_ACT_CLAIM,	  /* record the key before dispatch */
	ENG_ACT_DISPATCH, /* to worker, until deadline */
	ENG_ACT_ABORT,	  /* close the attempt's connection */
	ENG_ACT_ANSWER,
	ENG_ACT_RECORD, /* end of a claimed key; may follow the ANSWER */
	ENG_ACT_PROBE	/* on a new connection */
};

struct eng_act {
	enum eng_act_kind kind;
	uint64_t req;
	uint64_t attempt;
	union {
		struct {
			size_t worker; /* index in the view */
			uint64_t epoch;
			struct timespec deadline;
		} dispatch;
		struct {
			enum eng_outcome outcome;
			enum eng_reason reason;
			int64_t retry_after_ms;
			bool recorded; /* answer with the recorded one */
		} answer;
		struct {
			size_t worker;
			uint64_t epoch;
			bool idle_too; /* also idle connections to it */
		} abort;
		struct {
			enum eng_outcome outcome;
		} record;
		struct {
			size_t worker;
			uint64_t epoch;
		} probe;
	} u;
};

struct eng_acts {
	struct eng_act *v;
	size_t n, cap;
};

struct eng;

struct eng *eng_new(TALLOC_CTX *, const struct eng_conf *, struct timespec now);
enum status eng_step(struct eng *, struct timespec now, const struct eng_ev *,
    struct eng_acts *);
struct timespec eng_deadline(const struct eng *);
/* No request queued or running: a planned stop may end. */
bool eng_idle(const struct eng *);
const char *eng_reason_name(enum eng_reason);
const struct ctr_set *eng_counters(const struct eng *);

/* Figures for the next heartbeat; latency counts start anew after a call. */
struct eng_slot_use {
	uint64_t epoch;
	unsigned held, used;
	uint64_t grant_seq;
};
struct eng_demand {
	struct str name;
	unsigned queued, running;
	uint64_t answered, late, refused;
};
struct eng_latency {
	uint64_t epoch;
	struct str class_name;
	const uint32_t *bucket, *count; /* see request/lat.h */
	size_t n;
};
struct eng_stats {
	struct eng_slot_use *slots;
	size_t nslots;
	struct eng_demand *demand;
	size_t ndemand;
	struct eng_latency *latency;
	size_t nlatency;
};
/* C++ warns of a function with the name of a struct. */
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wshadow"
void eng_stats(struct eng *, TALLOC_CTX *, struct eng_stats *);
#pragma GCC diagnostic pop

__END_DECLS

#endif
