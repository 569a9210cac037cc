/*
 * The daemon: runs the modules that do no I/O themselves with threads, sockets
 * and files. Settings come as a struct; the environment is not read.
 */
#ifndef NODE_NODE_H
#define NODE_NODE_H

#include "base/err.h"
#include "base/str.h"

__BEGIN_DECLS

/* Defaults of the settings. */
#define NODE_DRAIN_SETTLE_MS	 3000
#define NODE_BODY_MAX		 (1024 * 1024)
#define NODE_CONNECTIONS_MAX	 2048
#define NODE_CONFIG_FRESHNESS_MS 3000
#define NODE_KEY_RETENTION_MS	 900000
#define NODE_LEASE_MS		 6000
#define NODE_POLL_MS		 1000
/* Longest time of this setting on any instance; leaders rely on it. */
#define NODE_CONFIG_FRESHNESS_MAX_MS 7000
/* Upper bound of the drift between two clocks, in parts per million. */
#define NODE_CLOCK_PPM 10000
#define NODE_REPLICAS  3

struct node_peer {
	uint32_t instance;
	struct str addr; /* IPv4:port or [IPv6]:port */
};

/* All strings stay valid until node_run has returned. */
struct node_conf {
	struct str cluster;
	uint32_t group;
	uint32_t instance; /* number of the instance, from 1 */
	struct str domain; /* failure domain */
	struct str http_listen;
	struct str peer_listen;
	const struct node_peer *peers; /* may include this instance */
	size_t npeers;
	struct str data_dir; /* empty: no replica */
	unsigned traffic_threads;
	int64_t config_freshness_ms;
	int64_t key_retention_ms;
	int64_t lease_ms; /* of workers */
	int64_t poll_ms;  /* of workers */
	unsigned replicas;
	size_t body_max;	  /* of a request, in bytes */
	unsigned connections_max; /* open at once */
	int64_t drain_settle_ms;  /* from SIGTERM to refusing new work */
};

/* Runs until a graceful shutdown after SIGTERM or SIGINT: 0; 1 on failure. */
int node_run(const struct node_conf *, struct err *);

/* Creates the first replica of a group in data_dir. Called once per group. */
enum status node_init_group(const struct node_conf *, struct err *);

__END_DECLS

#endif
