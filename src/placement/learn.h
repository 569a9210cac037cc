/*
 * Learned task sizes: for each class and job, decaying histograms of the ratio
 * of used to declared size. A task is counted a few times while it runs,
 * not once per usage report. Sizes are read as quantiles, since means would
 * hide the large tasks.
 */
#ifndef PLACEMENT_LEARN_H
#define PLACEMENT_LEARN_H

#include <sys/cdefs.h>
#include <stdint.h>

__BEGIN_DECLS

#define LEARN_BUCKETS 96 /* an eighth of an octave each, from 1/64 to 64 */

struct learn {
	uint16_t cpu[LEARN_BUCKETS];
	uint16_t mem[LEARN_BUCKETS];
	uint32_t ncpu, nmem;
};

void learn_init(struct learn *);
/* Add one observation of a task: the ratio of used to declared size. */
void learn_cpu(struct learn *, double ratio);
void learn_mem(struct learn *, double ratio);
/* Return the upper edge of the bucket with the quantile, 0 if empty. */
double learn_cpu_quantile(const struct learn *, double q);
double learn_mem_quantile(const struct learn *, double q);

__END_DECLS

#endif
