/* A heap of timers that are members of the objects they wake. */
#ifndef REQUEST_TMR_H
#define REQUEST_TMR_H

#include <sys/cdefs.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

__BEGIN_DECLS

struct tmr {
	int64_t at_ns; /* ns */
	unsigned pos;  /* 1-based place in the heap; 0: not set */
	int kind;      /* for the owner */
};

struct tmr_heap {
	struct tmr **v;
	size_t n, cap;
};

void tmr_init(struct tmr_heap *);
/* Sets or moves a timer. */
void tmr_set(struct tmr_heap *, struct tmr *, int64_t at);
void tmr_clear(struct tmr_heap *, struct tmr *);
/* The earliest timer, NULL when none is set. */
struct tmr *tmr_first(const struct tmr_heap *);
void tmr_finish(struct tmr_heap *);

__END_DECLS

#endif
