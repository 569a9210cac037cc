/*
 * How much short urgent work arrives for each service: processors that it
 * takes on average, by declared times. Pure.
 *
 * The load it answers: lasting tasks that would fill a service to the last
 * processor. Each takes its room for a minute or more and earns little for it;
 * short jobs that come meanwhile find no room and are late. So new lasting
 * tasks leave free what short jobs have needed of late.
 */
#ifndef JOB_JDEMAND_H
#define JOB_JDEMAND_H

#include <stddef.h>
#include <stdint.h>
#include <sys/cdefs.h>

#include "job/job.pb-c.h"

__BEGIN_DECLS

/* Time constant of the average: several waves of arrivals, and shorter than
 * what a load needs to change for good. */
#define JDEMAND_TIME_CONSTANT_MS 10000
/* Free processors for each one that short work takes on average, as its
 * arrivals swing. */
#define JDEMAND_MARGIN 2.0
/* Services that are told apart; later ones have nothing kept free. */
#define JDEMAND_SERVICES_MAX 16
/* Bytes of a service's name; a longer one is cut. */
#define JDEMAND_NAME_MAX 64

struct jdemand {
	struct {
		char service[JDEMAND_NAME_MAX];
		double cpu_milli;     /* thousandths of processors, at at_ms */
		double size_weighted; /* milli times the size of its tasks */
		int64_t at_ms;
	} v[JDEMAND_SERVICES_MAX];
	size_t n;
};

void jdemand_init(struct jdemand *);
/* Counts a job that arrives. */
void jdemand_add(
    struct jdemand *, const char *service, const Job__Spec *, int64_t now_ms);
/* Processors to be kept free for a service, in thousandths, and in pieces of
 * what size: the mean of its tasks, each counted by its work. */
int64_t jdemand_reserve(const struct jdemand *, const char *service,
    int64_t now_ms, int64_t *piece);

__END_DECLS

#endif
