/*
 * The request engine of one traffic thread. Pure: it takes an event and the
 * time and returns actions. It admits, queues, claims, dispatches, retries and
 * answers requests; its caller, the shell, does all I/O. Every request ends
 * with exactly one ANSWER, which refers to this request only: an earlier
 * request with the same key has an ANSWER of its own.
 *
 * The shell passes SENT in before a byte of an attempt can leave, and sends
 * none if that step aborts the attempt. After ABORT the connection is closed
 * and never used again. RECORD with NOT_RUN releases the claim of this request
 * and of no other; it may follow the ANSWER if the answer to the claim was
 * late. The ANSWER of a cancelled request comes when the request has ended,
 * which may be later if it is running. The connections of a view limit what
 * the shell keeps open, idle connections included.
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
	unsigned retry_percent;	  /* of requests; 10 */
	unsigned retry_min_per_s; /* allowed at any load; 3 */
	unsigned eject_percent;	  /* most ejected workers per class; 20 */
	unsigned clock_ppm;	  /* most that clock rates differ */
	unsigned max_requests;	  /* queued, being claimed and running */
};

/* Outcome of a request for its client. */
enum eng_outcome {
	ENG_ANSWERED,
	ENG_NOT_RUN, /* certain: no attempt has run */
	ENG_UNKNOWN
};

/* Each reason has a counter; their names are in eng_ctr_desc. */
enum eng_reason {
	ENG_R_NONE,
	ENG_R_UNKNOWN_CLASS,
	ENG_R_CONFIG_STALE,
	ENG_R_DRAINING,
	ENG_R_OVERLOAD, /* would miss its deadline in the queue */
	ENG_R_QUEUE_TIMEOUT,
	ENG_R_TOO_MANY,	 /* max_requests */
	ENG_R_NO_WORKER, /* no worker serves the class */
	ENG_R_BAD_REQUEST,
	ENG_R_CLAIM_FAILED,  /* refused before it was recorded */
	ENG_R_CLAIM_UNKNOWN, /* the claim may have been recorded */
	ENG_R_KEY_RUNNING,
	ENG_R_KEY_UNKNOWN,
	ENG_R_KEY_MISMATCH,
	ENG_R_CONNECT,	   /* no connection to the backend server */
	ENG_R_NOT_STARTED, /* the backend server refused before starting */
	ENG_R_RESET,	   /* connection broke after a byte may have left */
	ENG_R_TRUNCATED,
	ENG_R_TIMEOUT,
	ENG_R_RETRY_BUDGET,
	ENG_R_CANCELLED, /* the client has disconnected */
	ENG_R_COUNT
};

enum eng_ev_kind {
	ENG_EV_TICK,
	ENG_EV_ARRIVE,
	ENG_EV_CLAIMED, /* answer to CLAIM */
	ENG_EV_SENT,	/* passed in before the first byte may leave */
	ENG_EV_DONE,	/* a complete answer has arrived */
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
	ENG_FAIL_CONNECT,     /* no byte can have left */
	ENG_FAIL_NOT_STARTED, /* the backend server says so itself */
	ENG_FAIL_RESET,
	ENG_FAIL_TRUNCATED
};

struct eng_ev {
	enum eng_ev_kind kind;
	uint64_t req;	  /* id chosen by the shell at ARRIVE */
	uint64_t attempt; /* of DISPATCH; older ones are ignored */
	union {
		struct {
			struct str class_name;
			struct str key;	    /* empty: no key */
			bool idempotent;    /* by its method */
			int64_t timeout_ms; /* 0: timeout of the class */
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
	ENG_ACT_DISPATCH, /* send to the worker; ends by the deadline */
	ENG_ACT_ABORT,	  /* close the attempt's connection */
	ENG_ACT_ANSWER,
	ENG_ACT_RECORD, /* outcome of a claimed key; may follow ANSWER */
	ENG_ACT_PROBE	/* over a new connection */
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
			struct timespec send_by; /* no byte may leave later */
		} dispatch;
		struct {
			enum eng_outcome outcome;
			enum eng_reason reason;
			int64_t retry_after_ms;
			bool recorded; /* send the recorded answer */
		} answer;
		struct {
			size_t worker;
			uint64_t epoch;
			bool close_idle; /* also close idle connections to it */
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
struct timespec eng_next_tick(const struct eng *);
/* Returns true if no request is in progress; a drained instance may stop. */
bool eng_is_idle(const struct eng *);
const char *eng_reason_name(enum eng_reason);
const struct ctr_set *eng_counters(const struct eng *);

/* Figures for the next heartbeat; a call resets the latency counts. */
struct eng_slot_use {
	uint64_t epoch;
	unsigned held; /* granted, or those in use if these are more */
	unsigned used;
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
	size_t nbuckets;
};
struct eng_stats {
	struct eng_slot_use *slots;
	size_t nslots;
	struct eng_demand *demand;
	size_t ndemand;
	struct eng_latency *latency;
	size_t nlatency;
};
/* In C++ a function with the name of a struct hides the constructor. */
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wshadow"
void eng_stats(struct eng *, TALLOC_CTX *, struct eng_stats *);
#pragma GCC diagnostic pop

__END_DECLS

#endif
