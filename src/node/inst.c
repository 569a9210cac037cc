#include "node/inst.h"

#include <arpa/inet.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "base/ini.h"

#define F(key, type, member, def, min, max, help)                              \
	{                                                                      \
		key, type, offsetof(struct inst, member), def, min, max, help  \
	}

static const struct ini_field fields[] = {
	F("name", INI_STRING, name, NULL, 0, 0, "name of this instance"),
	F("ip", INI_STRING, ip, NULL, 0, 0, "IPv4 address of this instance"),
	F("domain", INI_STRING, domain, NULL, 0, 0, "failure domain"),
	F("peer_port", INI_INT, peer_port, NULL, 1, 65535,
	    "TCP port between instances, the same on all"),
	F("reach_port", INI_INT, reach_port, "0", 0, 65535,
	    "port that others are reached at if a proxy is between; 0: "
	    "peer_port"),
	F("own_workers", INI_INT, own_workers, "100", 0, 100000,
	    "with more workers other replicas make the calls to them"),
	F("lookahead", INI_STRING, look, "off", 0, 0,
	    "on: a replica keeps workers for large waiting tasks; or off"),
	F("seeds", INI_STRING, seeds, NULL, 0, 0,
	    "replicas to ask first, IP:port joined by commas"),
	F("found", INI_BOOL, found, "false", 0, 0,
	    "create the group with the seeds as its replicas"),
	F("counted", INI_BOOL, counted, "false", 0, 0, "this replica may vote"),
	F("tolerate", INI_INT, tolerate, "1", 0, 8,
	    "replicas that may be lost at once"),
	F("data", INI_STRING, data, "", 0, 0, "data directory of a replica"),
	F("clients", INI_STRING, clients, "", 0, 0,
	    "address for clients, IP:port"),
	F("readiness", INI_STRING, readiness, "", 0, 0,
	    "address for the balancer's checks, IP:port"),
	F("control", INI_STRING, control, "", 0, 0,
	    "address for workers and operators, IP:port"),
	F("metrics", INI_STRING, metrics, "", 0, 0,
	    "address for counters, IP:port"),
	F("lease_max", INI_DURATION, lease_max_ms, "10s", 1000, 600000,
	    "longest lease that workers take"),
	F("grace", INI_DURATION, grace_ms, "6s", 100, 600000,
	    "from SIGTERM to the end"),
	F("cloud", INI_STRING, cloud, "", 0, 0,
	    "address of the service that owns the machines"),
	F("cloud_orders", INI_DECIMAL, cloud_orders, "60", 1, 100000,
	    "orders a second that the service takes from all instances"),
	F("cloud_reads", INI_DECIMAL, cloud_reads, "60", 1, 100000,
	    "list pages a second that it gives to all instances"),
	F("lease_holder_wait", INI_DURATION, lease_holder_wait_ms, "3s", 0,
	    600000, "from the start of a leadership to its first order there"),
	F("advice", INI_STRING, advice, "", 0, 0,
	    "address of the service that knows a queue's workers"),
	F("descriptors", INI_INT, descriptors, "0", 0, 100000000,
	    "file descriptors of this process; 0: the limit in force"),
	F("memory", INI_INT, memory_mb, "0", 0, 1000000,
	    "memory of this process in MB, which connections share; 0: more "
	    "than they can use"),
	F("log_level", INI_STRING, log_level, "info", 0, 0,
	    "least important level that is written"),
};

static const struct ini_group group = { "instance", fields,
	sizeof(fields) / sizeof(fields[0]), NULL, 0 };

/* Returns the number of the instance with an IPv4 address, 0 if the text is not
 * an address. */
uint32_t
inst_from_ip(struct str ip)
{
	char buf[INET_ADDRSTRLEN];
	struct in_addr a;

	if (ip.len >= sizeof(buf))
		return 0;
	memcpy(buf, ip.p, ip.len);
	buf[ip.len] = '\0';
	return inet_pton(AF_INET, buf, &a) == 1 ? ntohl(a.s_addr) : 0;
}

/* Returns the address IP:port of a port of an instance. */
struct str
inst_addr(TALLOC_CTX *ctx, uint32_t instance, int64_t port)
{
	char *s = talloc_asprintf(ctx, "%u.%u.%u.%u:%d", instance >> 24,
	    instance >> 16 & 255, instance >> 8 & 255, instance & 255,
	    (int)port);

	if (s == NULL)
		abort();
	return str_from(s);
}

/* Returns the port of an address IP:port, 0 if it has none. */
static int64_t
parse_port(struct str addr)
{
	const char *colon =
	    addr.len > 0 ? memrchr(addr.p, ':', addr.len) : NULL;
	int64_t port = 0;

	if (colon == NULL)
		return 0;
	colon++;
	return str_to_i64(
		   str_mem(colon, addr.len - (size_t)(colon - addr.p)), &port)
	    ? port
	    : 0;
}

/* Parses the list of seeds. Returns STATUS_INVALID for an entry that is not an
 * IPv4 address. */
static enum status
parse_seeds(struct inst *in, struct err *e)
{
	struct str rest = in->seeds;

	in->nseeds = 0;
	while (rest.len > 0 && in->nseeds < INST_SEEDS_MAX) {
		const char *comma = memchr(rest.p, ',', rest.len), *colon;
		size_t len =
		    comma == NULL ? rest.len : (size_t)(comma - rest.p);
		uint32_t n;

		colon = memchr(rest.p, ':', len);
		n = inst_from_ip(str_mem(
		    rest.p, colon == NULL ? len : (size_t)(colon - rest.p)));
		if (n == 0)
			return err_set(e, STATUS_INVALID,
			    "instance: seeds: \"" STR_FMT
			    "\" is not an IPv4 address",
			    (int)len, rest.p);
		in->seed[in->nseeds++] = n;
		len += comma != NULL;
		rest = str_mem(rest.p + len, rest.len - len);
	}
	return STATUS_OK;
}

/* Reads a settings file. STATUS_INVALID names the key that is wrong. */
enum status
inst_load(TALLOC_CTX *ctx, const char *file, struct inst *in, struct err *e)
{
	struct ini *ini = ini_load(ctx, file, &group, 1, e);
	enum status st;

	memset(in, 0, sizeof(*in));
	if (ini == NULL)
		return e->status;
	if (ini_count(ini, &group) != 1)
		return err_set(
		    e, STATUS_INVALID, "%s: expected one [instance]", file);
	st = ini_decode(ini, ctx, &group, 0, in, e);
	if (st != STATUS_OK)
		return st;
	in->file = talloc_strdup(ctx, file);
	in->instance = inst_from_ip(in->ip);
	if (in->instance == 0)
		return err_set(e, STATUS_INVALID,
		    "instance: ip: expected an IPv4 address");
	in->lookahead = str_eq_c(in->look, "on");
	if (!in->lookahead && !str_eq_c(in->look, "off"))
		return err_set(e, STATUS_INVALID,
		    "instance: lookahead: expected on or off");
	in->control_port = parse_port(in->control);
	return parse_seeds(in, e);
}
