/*
 * Calls to the service that knows which workers may run a step. This instance
 * makes them, for itself as the leader or for a leader elsewhere, one at a
 * time; or it forwards them as the leader to another instance that makes them.
 * Never blocks the event loop.
 */
#ifndef NODE_ADVICE_H
#define NODE_ADVICE_H

#include <tevent.h>

#include "base/clk.h"
#include "base/ctr.h"
#include "base/str.h"
#include "job/jadvice.h"

__BEGIN_DECLS

/* An instance that has sent no ping for this long gets no more calls; three
 * times CALLER_PING_MS. */
#define ADVICE_PEER_SILENT_MS 1600

struct advice;

struct advice_conf {
	struct tevent_context *ev;
	struct clk clk;
	struct ctr_set *ctr;
	struct str addr; /* IP:port of the service */
	/* Returns false if the message isn't sent. */
	bool (*send)(void *arg, uint32_t instance, const Job__Msg *);
	/* Gives the answer to a call of this leader, which has this token. Not
	 * called from within advice_call. */
	void (*on_answer)(
	    void *arg, uint64_t token, const struct jadvice_answer *);
	void *arg;
};

struct advice *advice_new(TALLOC_CTX *, const struct advice_conf *);
/* Makes or forwards a call of this leader; false if it isn't sent. */
bool advice_call(struct advice *, const struct jadvice_call *);
/* Records that an instance offers to make calls. */
void advice_on_peer(struct advice *, uint32_t instance);
void advice_on_disconnect(struct advice *, uint32_t instance);
/* Writes the instances that make calls to out and returns their number. */
size_t advice_list_peers(const struct advice *, uint32_t *out, size_t max);
/* Makes a call for another instance's leader. It replaces one in flight, which
 * its leader has given up by then. */
void advice_on_call(struct advice *, uint32_t from, const Job__AdviceCall *);
void advice_on_answer(
    struct advice *, uint32_t from, const Job__AdviceAnswer *);
/* Ends a call past its time limit. */
void advice_tick(struct advice *);
/* Drops a call of this leader, whose term has ended. */
void advice_drop(struct advice *);

__END_DECLS

#endif
