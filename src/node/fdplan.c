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
