#include "node/fdplan.h"

#include <sys/resource.h>

/* Used if the system sets no limit. */
#define FDPLAN_DEFAULT 1024

/* Returns the limit of this process for file descriptors. */
static int64_t
system_limit(void)
{
	struct rlimit lim;

	if (getrlimit(RLIMIT_NOFILE, &lim) != 0 ||
	    lim.rlim_cur == RLIM_INFINITY)
		return FDPLAN_DEFAULT;
	return (int64_t)lim.rlim_cur;
}

/* Divides the descriptors that the files leave; each kind gets at least one. */
struct fdplan
fdplan_split(int64_t descriptors)
{
	struct fdplan p;
	int64_t rest;

	if (descriptors <= 0)
		descriptors = system_limit();
	rest = descriptors - FDPLAN_RESERVED - FDPLAN_LOG_FILES;
	if (rest < FDPLAN_SHARES)
		rest = FDPLAN_SHARES;
	p.peers = p.control = (unsigned)(rest / FDPLAN_SHARES);
	p.workers = (unsigned)rest - p.peers - p.control;
	return p;
}

/*
 * Divides the descriptors of an entry instance: clients get what the other
 * kinds leave. These take a fixed number each, or an eighth of a small limit.
 */
struct fdplan_entry
fdplan_split_entry(int64_t descriptors)
{
	struct fdplan_entry p;
	int64_t rest, eighth;

	if (descriptors <= 0)
		descriptors = system_limit();
	rest = descriptors - FDPLAN_RESERVED - FDPLAN_ENTRY_FILES;
	if (rest < 8 * FDPLAN_ENTRY_MIN)
		rest = 8 * FDPLAN_ENTRY_MIN;
	eighth = rest / 8;
	p.peers = (unsigned)(eighth < FDPLAN_ENTRY_PEERS ? eighth
							 : FDPLAN_ENTRY_PEERS);
	p.readiness = (unsigned)(eighth < FDPLAN_ENTRY_READINESS
		? eighth
		: FDPLAN_ENTRY_READINESS);
	rest -= p.peers + p.readiness;
	p.clients = (unsigned)(rest < FDPLAN_ENTRY_CLIENTS_MAX
		? rest
		: FDPLAN_ENTRY_CLIENTS_MAX);
	return p;
}
