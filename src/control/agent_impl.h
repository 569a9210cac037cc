/* Private structures and functions of the agent module (agent*.c). */
#ifndef CONTROL_AGENT_IMPL_H
#define CONTROL_AGENT_IMPL_H

#include "base/rng.h"
#include "control/agent.h"
#include "control/idx.h"

__BEGIN_DECLS

/*
 * How long to wait for an answer of the leader: above a round trip and two
 * disk syncs, below the shortest election timeout.
 */
#define AGENT_ANSWER_TIMEOUT_MS 500
/* Mean pause between rounds over all candidates when none leads. */
#define AGENT_ROUND_PAUSE_MS 60
/* The same while no leader is known: a refusal takes only a round trip. */
#define AGENT_DISCOVERY_TIMEOUT_MS 150
/* How long an unresponsive instance is skipped; doubles up to the maximum. */
#define AGENT_BACKOFF_MS     300
#define AGENT_BACKOFF_MAX_MS 1200
/* Failed rounds after which skipped instances are tried again too. */
#define AGENT_RESET_ROUNDS    16
#define AGENT_SENT_HEARTBEATS 16 /* heartbeats whose send time is kept */
#define AGENT_OPS_MAX	      65536
#define AGENT_UNANSWERED_MAX  8 /* unanswered sends kept per operation */
/* Upper limit of request timeouts, whatever the class says. */
#define AGENT_REQUEST_TIMEOUT_MAX_MS 30000

enum agent_ctr {
	AGENT_C_HEARTBEATS,
	AGENT_C_HEARTBEAT_TIMEOUTS,
	AGENT_C_HEARTBEAT_REFUSED,
	AGENT_C_REPLIES_OLD,
	AGENT_C_VERSION_OLD,
	AGENT_C_OPS,
	AGENT_C_RESENDS,
	AGENT_C_LATE,
	AGENT_C_UNKNOWN,
	AGENT_C_UNAVAILABLE,
	AGENT_C_FULL,
	AGENT_C_COUNT
};

/* An instance as a candidate for the leader. */
struct agent_peer {
	uint32_t instance;
	bool has_no_replica; /* it refused with term 0 */
	struct timespec skip_until;
	int64_t backoff_ms; /* last backoff; 0 after an answer */
};

/* A forwarded operation without a result yet. */
struct agent_op {
	struct agent_op *prev, *next; /* by start */
	uint64_t id;		      /* given by the caller */
	uint64_t forward_id; /* id of the Forward, kept in every resend */
	Control__Op *op;
	bool is_idempotent;
	bool unconfirmed; /* an unanswered send may have been executed */
	struct timespec deadline;
	struct timespec retry_at;
	int64_t retry_ms;
	uint32_t sent_to; /* instance it was sent to; 0: to be sent */
	uint32_t unanswered[AGENT_UNANSWERED_MAX]; /* by instance */
	unsigned nunanswered;
};

/* Slots and connections granted to this instance on one worker. */
struct agent_grant {
	uint64_t epoch;
	uint64_t seq;
	unsigned slots, connections;
	struct timespec start_until; /* no request is started after this */
	struct timespec expiry;
};

/* Send time of a heartbeat. */
struct agent_sent_heartbeat {
	uint64_t seq;
	struct timespec sent_at;
};

struct agent {
	struct agent_conf conf;
	struct ctr_set ctr;
	struct rng rng;
	TALLOC_CTX *step_ctx;
	struct agent_acts *acts;
	struct timespec now;

	/* Leader discovery. */
	uint32_t target;
	size_t target_index; /* index of target in peers */
	struct agent_peer *peers;
	unsigned nfailed;	      /* candidates tried in this round */
	unsigned failed_rounds;	      /* since a leader was found */
	bool seeking_leader;	      /* no leader is known */
	struct timespec paused_until; /* nothing is sent before then */
	struct timespec last_answer;  /* of the target */

	/* Heartbeats. */
	struct timespec next_heartbeat;
	uint64_t heartbeat_seq;
	uint64_t reply_seq;	/* of the newest accepted reply */
	bool heartbeat_pending; /* the newest one has no reply */
	struct agent_sent_heartbeat sent_heartbeats[AGENT_SENT_HEARTBEATS];

	/* Newest statistics, and latencies not sent yet. */
	Control__Beat *stats;
	Control__Latency **latency;
	size_t nlatency;
	bool draining;

	struct agent_op *op_first, *op_last;
	struct idx op_by_forward_id;
	struct timespec next_op_at; /* next deadline of an operation */
	size_t nops;
	uint64_t last_forward_id;

	/* Contents of the view. */
	uint64_t term;			/* newest term of an accepted reply */
	uint64_t newest_config_version; /* seen; older ones are refused */
	Control__Config *config;	/* NULL: none received yet */
	Control__WorkerInfo **workers;	/* by epoch */
	size_t nworkers;
	uint64_t worker_version;
	struct agent_grant *grants; /* by epoch */
	size_t ngrants;
	struct timespec fresh_until;
};

/* agent.c */
struct agent_act *agent_act_add(struct agent *, enum agent_act_kind);
Control__PeerMsg *agent_msg_new(struct agent *, uint32_t instance);
void agent_peer_refused(struct agent *, uint32_t instance, uint64_t term);
int64_t agent_answer_timeout_ms(const struct agent *);
void agent_peer_unresponsive(struct agent *, uint32_t instance);
void agent_peer_leads(struct agent *, uint32_t instance);

/* agent_op.c */
void agent_op_start(struct agent *, uint64_t id, const Control__Op *);
void agent_op_reply(
    struct agent *, uint32_t from, const Control__ForwardReply *);
void agent_op_peer_down(struct agent *, uint32_t instance);
void agent_op_tick(struct agent *);
void agent_op_finish(struct agent *);

/* agent_view.c */
bool agent_view_update(
    struct agent *, struct timespec sent, const Control__BeatReply *);
void agent_view_publish(struct agent *);

__END_DECLS

#endif
