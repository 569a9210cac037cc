/* Layout of an agent, shared by the files of agent. */
#ifndef CONTROL_AGENT_IMPL_H
#define CONTROL_AGENT_IMPL_H

#include "base/rng.h"
#include "control/agent.h"
#include "control/idx.h"

__BEGIN_DECLS

/* An instance that has not answered for this long is not waited for: above
 * the round trip and two disk syncs, below the shortest election. */
#define AGENT_TRY_MS 500
/* Between rounds over the candidates while none leads. */
#define AGENT_PAUSE_MS 60
/* While a leader is looked for: a refusal takes one round trip only. */
#define AGENT_SEEK_MS 150
/* An instance that did not answer is passed over, longer each time. */
#define AGENT_SILENT_MS	    300
#define AGENT_SILENT_MAX_MS 1200
/* Rounds without success after which every instance is asked again. */
#define AGENT_ROUNDS_ALL 16
#define AGENT_SENT_KEPT	 16 /* beats whose sending time is remembered */
#define AGENT_OPS_MAX	 65536
#define AGENT_TRIES_MAX	 8 /* sends of one operation without an answer */
/* Requests time out after at most this, whatever a class says. */
#define AGENT_TIMEOUT_MS 30000

enum agent_ctr {
	AGENT_C_BEATS,
	AGENT_C_BEAT_TIMEOUTS,
	AGENT_C_BEAT_REFUSED,
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

/* What is known of an instance as a possible leader. */
struct agent_peer {
	uint32_t instance;
	bool no_replica;	/* it refused without naming a term */
	struct timespec silent; /* passed over until then */
	int64_t silent_ms;	/* the last time, 0 after an answer */
};

struct agent_op {
	struct agent_op *prev, *next; /* by start */
	uint64_t id;		      /* of the caller */
	uint64_t fid; /* of the Forward, the same in every resend */
	Control__Op *op;
	bool repeatable; /* idempotent by construction */
	bool lost;	 /* a send may have been carried out unseen */
	struct timespec deadline;
	struct timespec try_until;
	int64_t try_ms;
	uint32_t at; /* instance it was last sent to; 0: to be sent */
	uint32_t tried[AGENT_TRIES_MAX]; /* instances without an answer */
	unsigned ntried;
};

struct agent_grant {
	uint64_t epoch;
	uint64_t seq;
	unsigned slots, connections;
	struct timespec expiry;
};

struct agent_sent {
	uint64_t seq;
	struct timespec at;
};

struct agent {
	struct agent_conf conf;
	struct ctr_set ctr;
	struct rng rng;
	TALLOC_CTX *step;
	struct agent_acts *acts;
	struct timespec now;

	/* Leader discovery. */
	uint32_t target;
	size_t cursor; /* of target in peers, for turns */
	struct agent_peer *peers;
	unsigned failed;       /* in this round */
	unsigned rounds;       /* since the last success */
	bool seeking;	       /* no leader is known */
	struct timespec pause; /* nothing is sent before */
	struct timespec heard; /* last answer of the target */

	struct timespec beat_at;
	uint64_t beat_seq;
	uint64_t reply_seq; /* of the newest reply taken */
	bool beat_open;
	struct agent_sent sent[AGENT_SENT_KEPT];

	/* Newest figures, and latencies that no beat carried yet. */
	Control__Beat *stats;
	Control__Latency **latency;
	size_t nlatency;
	bool draining;

	struct agent_op *op_first, *op_last;
	struct idx op_by_fid;
	struct timespec op_due; /* when one of them is next due */
	size_t nops;
	uint64_t fid;

	/* What the view shows. */
	uint64_t term; /* newest that a reply was taken from */
	uint64_t version_floor;
	Control__Config *config;       /* NULL: none yet */
	Control__WorkerInfo **workers; /* by epoch */
	size_t nworkers;
	uint64_t worker_version;
	struct agent_grant *grants; /* by epoch */
	size_t ngrants;
	struct timespec fresh_until;
};

/* agent.c */
struct agent_act *agent_act(struct agent *, enum agent_act_kind);
Control__PeerMsg *agent_msg(struct agent *, uint32_t instance);
/* The instance does not lead; leader and term are what it named, or 0. */
void agent_refused(struct agent *, uint32_t instance, uint64_t term);
/* How long the target is waited for. */
int64_t agent_patience_ms(const struct agent *);
/* The instance does not answer. */
void agent_silent(struct agent *, uint32_t instance);
void agent_led(struct agent *, uint32_t instance);

/* agent_op.c */
void agent_op_start(struct agent *, uint64_t id, const Control__Op *);
void agent_op_reply(
    struct agent *, uint32_t from, const Control__ForwardReply *);
void agent_op_down(struct agent *, uint32_t instance);
void agent_op_tick(struct agent *);
void agent_op_finish(struct agent *);

/* agent_view.c */
/* Takes a reply to a beat sent at sent over; true if the view changed. */
bool agent_view_take(
    struct agent *, struct timespec sent, const Control__BeatReply *);
void agent_view_publish(struct agent *);

__END_DECLS

#endif
