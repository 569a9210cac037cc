/*
 * Memory that accepted jobs take on every replica: what a job is charged, and
 * how much may be charged in all. Pure and the same on each replica, as the
 * answer to a submission depends on it.
 *
 * Built for clients that submit more than a replica can keep: jobs are refused
 * before they are accepted, and a queue that has taken much leaves room for the
 * others.
 */
#ifndef JOB_JMEM_H
#define JOB_JMEM_H

#include "job/job.pb-c.h"

__BEGIN_DECLS

/* Memory of a replica without the setting, in MB. */
#define JMEM_DEFAULT_MB 1024
/* The process without jobs, workers or connections, in MB. */
#define JMEM_BASE_MB 12
/*
 * Parts of a replica's memory in 32nds, beside what node/memacct.h gives to
 * connections: accepted jobs (less the above), the log and its copies on the
 * way to the disk, registered workers, and runs of tasks on the leader. The
 * rest is for the configuration, waves and the allocator.
 */
#define JMEM_JOBS_PARTS	   7
#define JMEM_LOG_PARTS	   3
#define JMEM_WORKERS_PARTS 2
#define JMEM_RUNS_PARTS	   2
#define JMEM_PARTS	   32
/* A small replica still gives jobs this part. */
#define JMEM_JOBS_MIN_DIVISOR 8
/* What a worker takes on the leader: its registration, its session, its entry
 * in the plan's input and its connection. */
#define JMEM_WORKER_BYTES 4096
/* What a run takes on the leader, with a call to its worker, without its
 * checkpoint. */
#define JMEM_RUN_BYTES 1024
/* A queue may take this many times the room that is left. */
#define JMEM_QUEUE_FACTOR 3
/* A snapshot is held twice while it is replaced: the one before, and the new
 * one until it is on disk or loaded. */
#define JMEM_SNAPSHOT_COPIES 2
/* A task in a snapshot, without its checkpoint. */
#define JMEM_TASK_IMAGE_BYTES 16
/* Checkpoint that is reserved for a task that has them; longer ones are kept
 * while there is room. */
#define JMEM_CHECKPOINT_BYTES 23

struct jmem_limits {
	size_t jobs;	    /* bytes of accepted jobs; 0: no limit */
	size_t log;	    /* bytes of the log before a snapshot is taken */
	size_t checkpoints; /* bytes of the leader's copies of checkpoints */
	uint32_t workers;
	uint32_t runs; /* assigned at one time */
};

/* Divides the memory of a replica in MB; 0: JMEM_DEFAULT_MB. */
struct jmem_limits jmem_split(uint32_t memory_mb);
/* Returns what an allocation of this size takes. */
size_t jmem_block(size_t);
/* Returns what an unpacked message takes. */
size_t jmem_message(const ProtobufCMessage *);
/* Returns what an active job takes without its occurrences. */
size_t jmem_job(const Job__Submit *);
/* Returns what an occurrence of a job takes. */
size_t jmem_occurrence(const Job__Spec *);
/* Returns what an ended job takes of which no task is assigned. */
size_t jmem_ended(const char *queue);
/* Returns what a checkpoint takes; NULL: none. */
size_t jmem_checkpoint(const char *);

__END_DECLS

#endif
