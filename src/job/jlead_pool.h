/* Moves between pools of the leader; private to the jlead*.c files. */
#ifndef JOB_JLEAD_POOL_H
#define JOB_JLEAD_POOL_H

#include "job/jlead_impl.h"

__BEGIN_DECLS

void jl_pool_init(struct jlead *);
void jl_pool_stop(struct jlead *);
void jl_pool_finish(struct jlead *);
void jl_pool_tick(struct jlead *);
void jl_pool_applied(struct jlead *, const Job__Move *);
/* Has the next decision made at once: the list of machines is new. */
void jl_pool_listed(struct jlead *);
/* Takes the result of an order; false if no move has that serial. */
bool jl_pool_ordered(struct jlead *, uint64_t serial, enum jcloud_result);
/* Tells whether a machine has an open move, or one is being recorded. */
bool jl_pool_has_open(const struct jlead *, const char *machine);
/* Tells whether the configuration or a record makes moves possible. */
bool jl_pool_is_possible(const struct jlead *);

__END_DECLS

#endif
