/* Maintenance waves of the leader; private to the jlead*.c files. */
#ifndef JOB_JLEAD_WAVE_H
#define JOB_JLEAD_WAVE_H

#include "job/jlead_impl.h"

__BEGIN_DECLS

void jl_wave_stop(struct jlead *);
void jl_wave_finish(struct jlead *);
void jl_wave_tick(struct jlead *);
void jl_wave_applied(struct jlead *, const Job__WaveStep *);
/* Tells whether a worker is open to new work, as far as maintenance goes. */
bool jl_takes_new_work(const struct wsess *);

__END_DECLS

#endif
