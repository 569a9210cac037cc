/* State of a traffic thread, shared by its source files. */
#ifndef NODE_TRAFFIC_IMPL_H
#define NODE_TRAFFIC_IMPL_H

#include <glib.h>
#include <tevent.h>

#include "base/clk.h"
#include "control/control.pb-c.h"
#include "control/view.h"
#include "node/api.h"
#include "node/back.h"
#include "node/front.h"
#include "node/mtimer.h"
#include "node/traffic.h"
#include "request/eng.h"

enum op_kind {
	OP_API,
	OP_CLAIM,
	OP_RECORD
};

/* A request for /svc. Freed once it is answered and nothing is pending. */
struct svc_req {
	struct traffic *t;
	struct svc_req *next_ended;
	uint64_t id;
	struct front_req *http; /* NULL once answered */
	struct str class_name, key;
	uint64_t digest;
	uint64_t deadline_ms; /* wall clock */
	struct back_call *call;
	uint64_t attempt, epoch;
	unsigned nops; /* pending claims and records */
	bool is_ended;
	/* Answer of the worker, or the one recorded for the key. */
	bool has_answer;
	int status;
	struct front_header *headers;
	size_t nheaders;
	struct str content_type, body;
};

/* An operation that the control thread has not answered yet. */
struct pending_op {
	uint64_t id;
	enum op_kind kind;
	enum api_route route;
	struct svc_req *svc_req; /* OP_CLAIM, OP_RECORD */
	struct front_req *http;	 /* OP_API; NULL once the client is gone */
};

/* A probe of a worker under way. */
struct probe {
	struct traffic *t;
	uint64_t epoch;
};

struct traffic {
	struct traffic_conf conf;
	struct tevent_context *ev;
	struct mtimer_queue *timers;
	struct clk clk;
	struct mbox mbox;
	struct tevent_fd *mbox_fde;
	struct mtimer tick_timer, stats_timer;
	struct timespec tick_at;
	struct front *front;
	struct memacct *account; /* of this thread's connections */
	struct back *back;
	struct eng *eng;
	struct eng_acts acts;
	struct view *view;
	struct ctr_set ctr;
	GHashTable *reqs; /* id -> struct svc_req */
	GHashTable *ops;  /* id -> struct pending_op */
	uint64_t next_req, next_op;
	GArray *event_queue; /* struct eng_ev: raised by running actions */
	struct svc_req *ended;
	bool stepping, draining, idle_reported, stop;
	struct timespec stop_deadline;
};

/* User pointer of a call to a worker: req is set for an attempt of a request,
 * probe for a probe. */
struct call_ctx {
	struct svc_req *req;
	uint64_t attempt;
	struct probe *probe;
};

/* traffic.c */
void traffic_reply_json(
    struct traffic *t, struct front_req *http, int status, struct str body);

/* traffic_op.c */
struct pending_op *traffic_start_op(
    struct traffic *t, enum op_kind kind, const Control__Op *op);
void traffic_queue_event(struct traffic *t, const struct eng_ev *ev);
void traffic_send_claim(struct traffic *t, struct svc_req *r);
void traffic_send_record(
    struct traffic *t, struct svc_req *r, enum eng_outcome outcome);
void traffic_req_release(struct svc_req *r);
void traffic_free_ended(struct traffic *t);
void traffic_req_try_release(struct traffic *t, uint64_t id);
void traffic_on_op_result(struct traffic *t, struct mbox_msg *m);

/* traffic_act.c */
void traffic_add_header(
    struct front_header *h, size_t *n, const char *name, struct str value);
void traffic_arm_tick(struct traffic *t);
void traffic_on_tick(void *arg);
void traffic_step(struct traffic *t, const struct eng_ev *first);
void traffic_on_sent(void *arg, void *user);
void traffic_on_done(void *arg, void *user, const struct back_answer *a);
void traffic_on_failed(void *arg, void *user, enum back_fail kind, bool sent);

#endif
