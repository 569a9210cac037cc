/*
 * Learned sizes. For each class and job, histograms of used over declared
 * size, one count per task rather than per report, with decay. Quantiles are
 * read from them; means would hide the large tasks.
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
/* One observation of a task: used over declared. */
void learn_cpu(struct learn *, double ratio);
void learn_mem(struct learn *, double ratio);
/* Upper edge of the step that holds the quantile; 0 without observations. */
double learn_cpu_quantile(const struct learn *, double q);
double learn_mem_quantile(const struct learn *, double q);

__END_DECLS

#endif
