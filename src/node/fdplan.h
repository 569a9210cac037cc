/*
 * Divides the file descriptors of a process between its uses. Pure, but for the
 * system's limit.
 *
 * A replica has connections to thousands of workers, from their heartbeats and
 * from entry instances. If any kind could take all descriptors, the log could
 * not open its files and the replica would end.
 */
#ifndef NODE_FDPLAN_H
#define NODE_FDPLAN_H

#include <stddef.h>
#include <stdint.h>
#include <sys/cdefs.h>

__BEGIN_DECLS

/* Reserved for libraries and files outside the data directory, as the
 * platform's documentation demands. */
#define FDPLAN_RESERVED 200
/* The log, snapshots, listening sockets, metrics and the event loop. */
#define FDPLAN_LOG_FILES 64
/* One share of the rest each for peers and control, the others for workers. */
#define FDPLAN_SHARES 4

struct fdplan {
	unsigned peers;	  /* from and to other instances */
	unsigned control; /* from workers and operators */
	unsigned workers; /* calls to workers */
};

/* The metrics address, listening sockets, the log, the event loop, and
 * connections to replicas of an entry instance. */
#define FDPLAN_ENTRY_FILES 128
/* Other instances that connect to an entry instance. */
#define FDPLAN_ENTRY_PEERS 256
/* Checks of readiness, of one balancer or a few. */
#define FDPLAN_ENTRY_READINESS 128
/* Clients at most, also with more descriptors. */
#define FDPLAN_ENTRY_CLIENTS_MAX 2048
/* Clients at least, and other kinds of connections in a small process. */
#define FDPLAN_ENTRY_MIN 16

/* Shares of an entry instance. */
struct fdplan_entry {
	unsigned clients;
	unsigned readiness;
	unsigned peers; /* from other instances */
};

/* Divides a number of descriptors; 0 stands for the system's limit. */
struct fdplan fdplan_split(int64_t descriptors);
struct fdplan_entry fdplan_split_entry(int64_t descriptors);

__END_DECLS

#endif
