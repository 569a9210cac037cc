/*
 * A replica of the job scheduler: it stores the replicated log and the state,
 * and schedules jobs while it is the leader. Serves workers and operators,
 * whose calls it passes to the leader.
 */
#ifndef NODE_CORE_H
#define NODE_CORE_H

#include "control/raft.h"
#include "node/inst.h"

__BEGIN_DECLS

/* A snapshot is taken after this many entries or bytes; replaying 8192
 * entries takes about 0.1 s of processor time. */
#define CORE_SNAPSHOT_ENTRIES 8192
#define CORE_SNAPSHOT_BYTES   (8 * 1024 * 1024)
/* Nothing is added to a log that is this many times as long: a disk that stalls
 * must not cost the memory of the replica. */
#define CORE_LOG_FULL_FACTOR 3
/* Largest entry of several commands; further ones go into the next entry. */
#define CORE_BATCH_MAX_BYTES (512 * 1024)
/* Tag and length of a command in its entry. */
#define CORE_COMMAND_OVERHEAD_BYTES 8
/* Largest command, alone in its entry. */
#define CORE_COMMAND_MAX_BYTES                                                 \
	(RAFT_INFLIGHT_BYTES_MAX - CORE_COMMAND_OVERHEAD_BYTES)
/* Pause before a failed disk is tried again, doubled up to the maximum: a
 * full disk often accepts a few bytes and fails again. */
#define CORE_DISK_RETRY_MS     1000
#define CORE_DISK_RETRY_MAX_MS 8000
/* After a disk has worked for this long the pause is reset. */
#define CORE_DISK_STABLE_MS 30000
/* Interval at which a replica asks to be added until it is a member. */
#define CORE_JOIN_INTERVAL_MS 300
/* A learner that is silent for this long is removed. */
#define CORE_FORGET_LEARNER_MS 4000
/* Timeout of calls by workers, which ask the next instance after 1 s. */
#define CORE_WORKER_TIMEOUT_MS 900
/* A worker that leaves is answered after this even if it may still run tasks;
 * no other worker gets these before its lease has ended. Below
 * CORE_WORKER_TIMEOUT_MS. */
#define CORE_LEAVE_WAIT_MS 800
/* Timeout of calls by operators: their bodies may be large. */
#define CORE_OPERATOR_TIMEOUT_MS 2500
/* Largest request body. */
#define CORE_BODY_MAX (4 * 1024 * 1024)
/* After a refusal for lack of memory: a read takes some milliseconds. */
#define CORE_BUSY_RETRY_MS 1000
/* After a refusal because the state has no room for a job: room comes back as
 * jobs end, and their records 180 s after that. */
#define CORE_FULL_RETRY_MS 5000
/* Least interval of log lines on refused submissions. */
#define CORE_REFUSED_LOG_INTERVAL_MS 1000
/* Interval at which the leader compares the memory of replicas with what is
 * recorded. */
#define CORE_LIMITS_INTERVAL_MS 500
/* Copies of a document between the leader's state and the response. */
#define CORE_ANSWER_COPIES 3
/* Copies of a body between its decoding and the answer: the call, its message,
 * and the command that is proposed. */
#define CORE_BODY_COPIES 3

/* Runs until SIGTERM and a graceful shutdown. Returns the exit status: 0, or
 * 1 with an error. */
int core_run(const struct inst *, struct err *);

__END_DECLS

#endif
