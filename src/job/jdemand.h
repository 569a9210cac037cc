/*
 * Average demand of short jobs for each service, in processors by declared
 * times. Pure.
 *
 * Without it, long-running tasks would fill a service to the last processor.
 * Each keeps its resources for a minute or more and earns little, while short
 * jobs that arrive find nothing free and are late. So new long-running tasks
 * leave free what short jobs have needed recently.
 */
#ifndef JOB_JDEMAND_H
#define JOB_JDEMAND_H

#include <stddef.h>
#include <stdint.h>
#include <sys/cdefs.h>

#include "job/job.pb-c.h"

__BEGIN_DECLS

/* Time constant of the average: covers several bursts of arrivals, and follows
 * changes of the load that last longer. */
#define JDEMAND_TIME_CONSTANT_MS 10000
/* Processors kept free for each one that short jobs take on average, because
 * arrivals vary. */
#define JDEMAND_MARGIN 2.0
/* Services tracked; nothing is kept free for further ones. */
#define JDEMAND_SERVICES_MAX 16
/* Size of a service's name; a longer one is truncated. */
#define JDEMAND_NAME_MAX 64

struct jdemand {
	struct {
		char service[JDEMAND_NAME_MAX];
		/* average demand at at_ms, in 1/1000 processors */
		double cpu_milli;
		/* cpu_milli times the average size of a task */
		double size_weighted;
		int64_t at_ms;
	} v[JDEMAND_SERVICES_MAX];
	size_t n;
};

void jdemand_init(struct jdemand *);
/* Adds the short tasks of a new job. */
void jdemand_add(
    struct jdemand *, const char *service, const Job__Spec *, int64_t now_ms);
/* Returns the processors to keep free for a service, in 1/1000. Sets piece to
 * the typical size of its short tasks, in 1/1000 processors: their mean,
 * weighted by work. */
int64_t jdemand_reserve(const struct jdemand *, const char *service,
    int64_t now_ms, int64_t *piece);

__END_DECLS

#endif
