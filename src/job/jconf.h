/*
 * Checks a configuration before it is sent: what can never match or be met, and
 * what differs from the version in force. Pure.
 */
#ifndef JOB_JCONF_H
#define JOB_JCONF_H

#include <talloc.h>

#include "job/job.pb-c.h"

__BEGIN_DECLS

enum jconf_level {
	JCONF_ERROR,   /* the configuration must not be sent as it is */
	JCONF_WARNING, /* valid, but probably not what is meant */
	JCONF_CHANGE   /* a difference to the version in force */
};

struct jconf_finding {
	enum jconf_level level;
	const char *text;
};

/* Findings in the order in which they were made, owned by ctx. */
struct jconf_report {
	TALLOC_CTX *ctx;
	struct jconf_finding *v;
	size_t n, nerrors;
};

/* Limits of a configuration that the replicated state doesn't keep. Times are
 * in ms, sizes in bytes; 0: not set. */
struct jconf_limits {
	uint32_t *timeout_ms; /* of each queue, in their order */
	uint32_t header_timeout_ms, idle_timeout_ms;
};

/* Limits of the entry instances, in bytes. */
struct jconf_bounds {
	size_t body_max;
	size_t path_max;
};

void jconf_report_init(struct jconf_report *, TALLOC_CTX *);
/* Adds what is wrong with a configuration that has been decoded. */
void jconf_check(struct jconf_report *, const Job__Config *,
    const struct jconf_limits *, const struct jconf_bounds *);
/* Adds what differs from the configuration in force. */
void jconf_compare(
    struct jconf_report *, const Job__Config *in_force, const Job__Config *);

__END_DECLS

#endif
