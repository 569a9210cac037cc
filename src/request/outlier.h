/* What one instance thinks of one worker: recent failures, suspicion. */
#ifndef REQUEST_OUT_H
#define REQUEST_OUT_H

#include <sys/cdefs.h>
#include <stdbool.h>
#include <stdint.h>

__BEGIN_DECLS

#define OUT_WINDOW   20 /* results that are remembered */
#define OUT_FAILURES 10 /* failures among them that eject */
#define OUT_TIMEOUTS 2	/* in a row that make suspect */

enum out_state {
	OUT_OK,
	OUT_SUSPECT, /* no new work until a probe passes */
	OUT_EJECTED  /* likewise; counts towards the cap */
};

struct out {
	uint32_t failed; /* one bit per result, the newest lowest */
	uint8_t timeouts;
	uint8_t state;
	bool probing;
	int64_t delay;	   /* ns until the next probe */
	int64_t back_at;   /* ns, when a probe last passed */
	int64_t failed_at; /* ns, of the newest failure */
	int64_t since;	   /* ns, when it was taken out of use */
};

void out_init(struct out *);
/* A result of work; returns true if the worker should be ejected. */
bool out_result(struct out *, bool ok, int64_t now);
/* A timeout that the worker is answerable for; true: it is now suspect. */
bool out_timeout(struct out *);
unsigned out_failures(const struct out *);
/* Disadvantage of a worker that is in use, 0 when it has none. */
unsigned out_penalty(const struct out *, int64_t now);
/* Takes the worker out of use; returns when to probe. */
int64_t out_remove(struct out *, enum out_state, int64_t now);
/* A probe failed; returns when to probe again. */
int64_t out_probe_failed(struct out *, int64_t now);
void out_readmit(struct out *, int64_t now);
/* Most workers out of n that may be ejected at a time. */
unsigned out_cap(unsigned n, unsigned percent);

__END_DECLS

#endif
