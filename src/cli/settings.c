#include "cli/settings.h"

#include <stdio.h>
#include <string.h>

#include "base/log.h"

#define NELEM(a)      (sizeof(a) / sizeof((a)[0]))
#define MAX_INSTANCES 64
#define MAX_GROUPS    1024
#define MAX_THREADS   16
#define MS_PER_MIN    60000
#define MS_PER_DAY    (24 * 60 * MS_PER_MIN)

/* Decoded values, copied to struct settings once all are valid. */
struct raw_settings {
	struct str cluster, domain, http, peer, data, log_level;
	int64_t group, instance, threads;
	int64_t body_max, connections;
	int64_t freshness_ms, retention_ms, lease_ms, poll_ms, replicas;
	int64_t settle_ms;
};

struct raw_peer {
	struct str address;
};

static const struct ini_field node_fields[] = {
	{ "cluster", INI_STRING, offsetof(struct raw_settings, cluster), NULL,
	    0, 0, "name of the cluster, the same on all instances" },
	{ "group", INI_INT, offsetof(struct raw_settings, group), "1", 1,
	    MAX_GROUPS, "number of the group of workers this instance serves" },
	{ "instance", INI_INT, offsetof(struct raw_settings, instance), NULL, 1,
	    MAX_INSTANCES, "number of this instance, unique in the cluster" },
	{ "failure_domain", INI_STRING, offsetof(struct raw_settings, domain),
	    NULL, 0, 0, "name of the failure domain this instance is in" },
	{ "http", INI_ADDR, offsetof(struct raw_settings, http), NULL, 0, 0,
	    "IP:port for clients, workers and operators" },
	{ "peer", INI_ADDR, offsetof(struct raw_settings, peer), NULL, 0, 0,
	    "IP:port for the other instances" },
	{ "data", INI_STRING, offsetof(struct raw_settings, data), "", 0, 0,
	    "data directory; makes this instance a replica" },
	{ "traffic_threads", INI_INT, offsetof(struct raw_settings, threads),
	    "1", 1, MAX_THREADS, "threads that serve requests" },
	{ "log_level", INI_STRING, offsetof(struct raw_settings, log_level),
	    "info", 0, 0,
	    "least important level that is logged: err to debug" },
};

static const struct ini_field limit_fields[] = {
	{ "request_body", INI_SIZE, offsetof(struct raw_settings, body_max),
	    "1MiB", 1, 64LL << 20, "largest request body" },
	{ "connections", INI_INT, offsetof(struct raw_settings, connections),
	    "2048", 8, 65536, "most client connections open at once" },
};

static const struct ini_field control_fields[] = {
	{ "config_freshness", INI_DURATION,
	    offsetof(struct raw_settings, freshness_ms), "3s", 1000,
	    NODE_CONFIG_FRESHNESS_MAX_MS,
	    "no new work without a confirmed configuration for longer" },
	{ "key_retention", INI_DURATION,
	    offsetof(struct raw_settings, retention_ms), "15m", MS_PER_MIN,
	    MS_PER_DAY, "how long idempotency records are kept" },
	{ "worker_lease", INI_DURATION, offsetof(struct raw_settings, lease_ms),
	    "6s", 2000, 60000,
	    "lease of a worker; work moves after it has expired" },
	{ "worker_poll", INI_DURATION, offsetof(struct raw_settings, poll_ms),
	    "1s", 100, 10000,
	    "time between polls of a worker; at most a third of the "
	    "lease" },
	{ "replicas", INI_INT, offsetof(struct raw_settings, replicas), "3", 1,
	    7, "voting replicas of the group; an odd number" },
};

static const struct ini_field shutdown_fields[] = {
	{ "settle", INI_DURATION, offsetof(struct raw_settings, settle_ms),
	    "3s", 0, 60000,
	    "time for the balancer to notice before new work is "
	    "refused" },
};

static const struct ini_field peer_fields[] = {
	{ "address", INI_ADDR, offsetof(struct raw_peer, address), NULL, 0, 0,
	    "IP:port of the instance for its peers" },
};

enum {
	GROUP_NODE,
	GROUP_LIMITS,
	GROUP_CONTROL,
	GROUP_SHUTDOWN,
	GROUP_PEER
};

const struct ini_group settings_groups[] = {
	[GROUP_NODE] = { "node", node_fields, NELEM(node_fields), NULL, 0 },
	[GROUP_LIMITS] = { "limits", limit_fields, NELEM(limit_fields), NULL,
	    0 },
	[GROUP_CONTROL] = { "control", control_fields, NELEM(control_fields),
	    NULL, 0 },
	[GROUP_SHUTDOWN] = { "shutdown", shutdown_fields,
	    NELEM(shutdown_fields), NULL, 0 },
	[GROUP_PEER] = { "peer *", peer_fields, NELEM(peer_fields), NULL, 0 },
};
const size_t settings_ngroups = NELEM(settings_groups);

/* Decodes the groups of peers. */
static enum status
load_peers(TALLOC_CTX *ctx, const struct ini *ini, const char *file,
    struct settings *s, struct err *e)
{
	size_t i, n = ini_count(ini, &settings_groups[GROUP_PEER]);
	struct node_peer *peers = talloc_zero_array(ctx, struct node_peer, n);
	struct raw_peer raw;
	int64_t number;

	for (i = 0; i < n; i++) {
		struct str name =
		    ini_group_name(ini, &settings_groups[GROUP_PEER], i);

		if (!str_to_i64(name, &number) || number < 1 ||
		    number > MAX_INSTANCES)
			return err_set(e, STATUS_INVALID,
			    "%s: [peer " STR_FMT "]: expected the number of an "
			    "instance, 1 to %d",
			    file, STR_ARG(name), MAX_INSTANCES);
		if (ini_decode(ini, ctx, &settings_groups[GROUP_PEER], i, &raw,
			e) != STATUS_OK)
			return e->status;
		peers[i].instance = (uint32_t)number;
		peers[i].addr = raw.address;
	}
	s->node.peers = peers;
	s->node.npeers = n;
	return STATUS_OK;
}

/* Checks the rules that the table of fields can't express. */
static enum status
check_settings(const char *file, const struct raw_settings *r,
    struct settings *s, struct err *e)
{
	char *level = str_cstr(NULL, r->log_level);
	bool is_known_level = log_level_parse(level, &s->log_level);

	talloc_free(level);
	if (!is_known_level)
		return err_set(e, STATUS_INVALID,
		    "%s: [node] log_level: expected err, warning, notice, info "
		    "or debug",
		    file);
	if (r->cluster.len == 0 || r->domain.len == 0)
		return err_set(e, STATUS_INVALID,
		    "%s: [node] %s: expected a "
		    "name",
		    file, r->cluster.len == 0 ? "cluster" : "failure_domain");
	if (str_eq(r->http, r->peer))
		return err_set(e, STATUS_INVALID,
		    "%s: [node] peer: expected another address than http",
		    file);
	if (r->replicas % 2 == 0)
		return err_set(e, STATUS_INVALID,
		    "%s: [control] replicas: expected an odd number", file);
	if (r->poll_ms * 3 > r->lease_ms)
		return err_set(e, STATUS_INVALID,
		    "%s: [control] worker_poll: expected at most a third of "
		    "worker_lease",
		    file);
	return STATUS_OK;
}

/* Copies decoded values to the configuration of the node. */
static void
copy_to_conf(struct node_conf *n, const struct raw_settings *r)
{
	n->cluster = r->cluster;
	n->group = (uint32_t)r->group;
	n->instance = (uint32_t)r->instance;
	n->domain = r->domain;
	n->http_listen = r->http;
	n->peer_listen = r->peer;
	n->data_dir = r->data;
	n->traffic_threads = (unsigned)r->threads;
	n->config_freshness_ms = r->freshness_ms;
	n->key_retention_ms = r->retention_ms;
	n->lease_ms = r->lease_ms;
	n->poll_ms = r->poll_ms;
	n->replicas = (unsigned)r->replicas;
	n->body_max = (size_t)r->body_max;
	n->connections_max = (unsigned)r->connections;
	n->drain_settle_ms = r->settle_ms;
}

/*
 * Parses settings. Returns STATUS_INVALID with the file, group and key and
 * what was expected; s is then incomplete and must not be used.
 */
enum status
settings_parse(TALLOC_CTX *ctx, const char *file, struct str text,
    struct settings *s, struct err *e)
{
	struct ini *ini =
	    ini_parse(ctx, file, text, settings_groups, settings_ngroups, e);
	struct raw_settings r;
	enum status st = STATUS_OK;
	size_t g;

	memset(&r, 0, sizeof(r));
	memset(s, 0, sizeof(*s));
	if (ini == NULL)
		return e->status;
	for (g = GROUP_NODE; g <= GROUP_SHUTDOWN && st == STATUS_OK; g++)
		st = ini_decode(ini, ctx, &settings_groups[g], 0, &r, e);
	if (st == STATUS_OK)
		st = check_settings(file, &r, s, e);
	if (st == STATUS_OK)
		st = load_peers(ctx, ini, file, s, e);
	if (st == STATUS_OK)
		copy_to_conf(&s->node, &r);
	talloc_free(ini);
	return st;
}

/* Reads and parses a settings file. */
enum status
settings_load(
    TALLOC_CTX *ctx, const char *file, struct settings *s, struct err *e)
{
	struct str text = { NULL, 0 };
	enum status st = ini_read(ctx, file, &text, e);

	if (st != STATUS_OK)
		return st;
	st = settings_parse(ctx, file, text, s, e);
	talloc_free((void *)(uintptr_t)text.p);
	return st;
}

/* Formats a Markdown table of all settings with their defaults. */
char *
settings_format_table(TALLOC_CTX *ctx)
{
	char *t = talloc_strdup(ctx,
	    "| group | key | default | meaning |\n"
	    "| --- | --- | --- | --- |\n");
	size_t g, i;

	for (g = 0; g < settings_ngroups; g++) {
		for (i = 0; i < settings_groups[g].nfields; i++) {
			const struct ini_field *f =
			    &settings_groups[g].fields[i];
			const char *def = f->default_text == NULL
			    ? "required"
			    : f->default_text;

			t = talloc_asprintf_append(t, "| %s | %s | %s | %s |\n",
			    settings_groups[g].name, f->key,
			    *def == '\0' ? "none" : def, f->help);
		}
	}
	return t;
}
