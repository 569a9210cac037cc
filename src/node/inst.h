/*
 * Settings of an instance of the job scheduler. Entry instances and replicas
 * have the same kind of file.
 */
#ifndef NODE_INST_H
#define NODE_INST_H

#include "base/err.h"
#include "base/str.h"

__BEGIN_DECLS

#define INST_SEEDS_MAX 16

struct inst {
	struct str name;
	struct str ip;
	struct str domain;
	int64_t peer_port;
	int64_t reach_port;  /* peer port of other instances; 0: peer_port */
	int64_t own_workers; /* with more, other replicas make the calls */
	struct str seeds;    /* as written: IP:port, joined by commas */
	bool found;	     /* with the other seeds, creates the group */
	struct str look;     /* on or off */
	bool counted;	     /* this replica may vote */
	int64_t tolerate;    /* replicas that may be lost at once */
	struct str data;
	struct str clients, readiness, control, metrics;
	int64_t lease_max_ms;
	int64_t grace_ms;
	struct str cloud;    /* address of the service that owns the machines */
	double cloud_orders; /* orders a second that it takes */
	double cloud_reads;  /* pages of its list a second that it gives */
	/* from the start of a leadership to its first order there */
	int64_t lease_holder_wait_ms;
	struct str advice;   /* address of the service that knows workers */
	int64_t descriptors; /* limit of this process; 0: the system's */
	int64_t memory_mb;   /* limit of this process; 0: the defaults */
	struct str log_level;
	/* Derived from the above. */
	bool lookahead;	      /* look-ahead placement is on */
	const char *file;     /* path of the settings file */
	int64_t control_port; /* port of control, the same on all replicas */
	uint32_t instance;    /* the IPv4 address as a number */
	uint32_t seed[INST_SEEDS_MAX];
	size_t nseeds;
};

/* Reads a settings file; strings are owned by ctx. */
enum status inst_load(
    TALLOC_CTX *, const char *file, struct inst *, struct err *);
/* Returns the number of the instance with an IPv4 address, 0 if ip isn't one.
 */
uint32_t inst_from_ip(struct str ip);
/* Returns the address IP:port of an instance, owned by ctx. */
struct str inst_addr(TALLOC_CTX *, uint32_t instance, int64_t port);

__END_DECLS

#endif
