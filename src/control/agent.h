/*
 * An agent connects an instance to its group: it finds the leader, forwards
 * operations to it, sends heartbeats and keeps the newest view of the group.
 * It does no I/O: each step takes an event and the current time and returns
 * actions for the caller to carry out.
 */
#ifndef CONTROL_AGENT_H
#define CONTROL_AGENT_H

#include "base/ctr.h"
#include "base/err.h"
#include "control/control.pb-c.h"
#include "control/view.h"

__BEGIN_DECLS

#define AGENT_HEARTBEAT_MS 500

struct agent_conf {
	uint32_t group;
	uint32_t instance;
	uint64_t incarnation;
	struct str domain;
	uint64_t replica;      /* 0: no data directory */
	const uint32_t *peers; /* all instances, this one included */
	size_t npeers;
	int64_t freshness_ms;  /* of the configuration, default 3000 */
	int64_t op_timeout_ms; /* of a forwarded operation, default 5000 */
	uint64_t min_config_version; /* from disk; older ones are refused */
	unsigned clock_ppm; /* largest clock rate error; 10000 is 1 % */
	uint64_t seed;
};

enum agent_ev_kind {
	AGENT_EV_TICK,
	AGENT_EV_PEER,	    /* BeatReply or ForwardReply */
	AGENT_EV_PEER_DOWN, /* connection to an instance failed */
	AGENT_EV_OP,	    /* from the HTTP interface or a traffic thread */
	AGENT_EV_STATS,	    /* newest statistics for the next heartbeat */
	AGENT_EV_DRAIN	    /* planned stop: return all slots */
};

/* Statistics reported by traffic threads; all of them are copied. */
struct agent_stats {
	const Control__SlotUse *slots;
	size_t nslots;
	const Control__ClassDemand *demand;
	size_t ndemand;
	const Control__Latency *latency; /* since the last report */
	size_t nlatency;
};

struct agent_ev {
	enum agent_ev_kind kind;
	union {
		const Control__PeerMsg *peer;
		uint32_t down;
		struct {
			uint64_t id;
			const Control__Op *op;
		} op;
		struct agent_stats stats;
	} u;
};

enum agent_act_kind {
	AGENT_ACT_SEND,	 /* send msg to an instance */
	AGENT_ACT_REPLY, /* result of an operation */
	AGENT_ACT_VIEW	 /* a new view; the receiver owns it */
};

struct agent_act {
	enum agent_act_kind kind;
	union {
		struct {
			uint32_t instance;
			Control__PeerMsg *msg;
		} send;
		struct {
			uint64_t id;
			const Control__OpResult *result;
		} reply;
		struct view *view; /* a talloc tree without a parent */
	} u;
};

struct agent_acts {
	struct agent_act *v;
	size_t n, cap;
};

struct agent;

struct agent *agent_new(
    TALLOC_CTX *, const struct agent_conf *, struct timespec now);
enum status agent_step(struct agent *, struct timespec now,
    const struct agent_ev *, struct agent_acts *);
struct timespec agent_next_tick(const struct agent *);
bool agent_is_ready(const struct agent *, struct timespec now);
const struct ctr_set *agent_counters(const struct agent *);

__END_DECLS

#endif
