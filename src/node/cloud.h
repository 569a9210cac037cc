/*
 * Calls of the leader to the service that owns the machines: reads of its list,
 * page by page, and orders. Never blocks the event loop. Keeps to a budget of
 * orders and of pages a second, pauses after failures, and gives each call a
 * time limit. An order is sent once at most; the caller learns whether it may
 * have been carried out.
 */
#ifndef NODE_CLOUD_H
#define NODE_CLOUD_H

#include <tevent.h>

#include "base/clk.h"
#include "base/ctr.h"
#include "base/err.h"
#include "base/str.h"
#include "job/jcloud.h"

__BEGIN_DECLS

/* Time limit of a call. An order without an answer is looked up in the list
 * then, which takes another second. */
#define CLOUD_CALL_TIMEOUT_MS 1500
/* A call that has found no connection by then isn't sent: the leader checks its
 * leadership when it gives the order. */
#define CLOUD_SEND_MS 300
/* Pause after a failed call of a kind, doubled up to the maximum. */
#define CLOUD_RETRY_MS	   200
#define CLOUD_RETRY_MAX_MS 3000
/* Part of the service's limits that is used: another instance may have called
 * it in the same second, and its clock may differ. */
#define CLOUD_BUDGET_PERCENT 80
/* Orders in flight at once; also the connections, with one for the list. */
#define CLOUD_ORDERS_MAX 16
/* Most machines of a list; a longer one is refused. Limits its memory, at about
 * 500 bytes each. */
#define CLOUD_MACHINES_MAX 30000
/* Most pages of a list, and the longest time to read it: a list may not end if
 * the service repeats a page. */
#define CLOUD_PAGES_MAX	  1000
#define CLOUD_READ_MAX_MS 20000

struct cloud;

struct cloud_conf {
	struct tevent_context *ev;
	struct clk clk;
	struct ctr_set *ctr;
	struct str addr;		   /* IP:port */
	struct str holder;		   /* name of this instance */
	int64_t orders_per_s, reads_per_s; /* limits of the service */
	/* A complete list; valid only during the call. */
	void (*on_list)(void *arg, const struct jcloud_machine *, size_t n,
	    struct timespec requested_at);
	/* The result of an order; exactly one unless cloud_drop comes first. */
	void (*on_ordered)(void *arg, uint64_t serial, enum jcloud_result);
	void *arg;
};

struct cloud *cloud_new(TALLOC_CTX *, const struct cloud_conf *);
/* Starts to read the list; false if a read is in progress, or the budget or the
 * pause after a failure doesn't allow it. */
bool cloud_read(struct cloud *);
/* Sends an order; false for the same reasons. */
bool cloud_order(struct cloud *, const struct jcloud_order *);
/* Ends calls past their time limit, and reads the next page. */
void cloud_tick(struct cloud *);
/* Drops all calls without a result: this replica doesn't lead any more. */
void cloud_drop(struct cloud *);

__END_DECLS

#endif
