/* Binary heap of timers; each timer is a member of the object it belongs to. */
#ifndef REQUEST_TMR_H
#define REQUEST_TMR_H

#include <sys/cdefs.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

__BEGIN_DECLS

struct tmr {
	int64_t at_ns;
	unsigned pos; /* 1-based position in the heap; 0: not set */
	int kind;     /* tells the owner which object contains it */
};

struct tmr_heap {
	struct tmr **v;
	size_t n, cap;
};

void tmr_init(struct tmr_heap *);
/* Sets or moves a timer. */
void tmr_set(struct tmr_heap *, struct tmr *, int64_t at);
void tmr_clear(struct tmr_heap *, struct tmr *);
/* Returns the earliest timer, or NULL if none is set. */
struct tmr *tmr_first(const struct tmr_heap *);
void tmr_finish(struct tmr_heap *);

__END_DECLS

#endif
