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
#include "node/traffic.h"
#include "request/eng.h"

enum op_kind {
	OP_API,
	OP_CLAIM,
	OP_RECORD
};

/* A request for /svc. It lives until answered and free of pending work. */
struct treq {
	struct traffic *t;
	struct treq *next_dead;
	uint64_t id;
	struct front_req *http; /* NULL once answered */
	struct str class_name, key;
	uint64_t digest;
	uint64_t deadline_ms; /* wall clock */
	struct back_call *call;
	uint64_t attempt, epoch;
	unsigned ops; /* claims and records under way */
	bool dead;
	/* The answer of the worker, or the recorded one. */
	bool has_answer;
	int status;
	struct front_header *headers;
	size_t nheaders;
	struct str content_type, body;
};

/* An operation that the control thread has not answered yet. */
struct top {
	uint64_t id;
	enum op_kind kind;
	enum api_route route;
	struct treq *req;	/* OP_CLAIM, OP_RECORD */
	struct front_req *http; /* OP_API; NULL once the client is gone */
};

struct probe {
	struct traffic *t;
	uint64_t epoch;
};

struct traffic {
	struct traffic_conf conf;
	struct tevent_context *ev;
	struct clk clk;
	struct mbox mbox;
	struct tevent_fd *mbox_fde;
	struct tevent_timer *tick, *stats;
	struct timespec tick_at;
	struct front *front;
	struct back *back;
	struct eng *eng;
	struct eng_acts acts;
	struct view *view;
	struct ctr_set ctr;
	GHashTable *reqs; /* id -> struct treq */
	GHashTable *ops;  /* id -> struct top */
	uint64_t next_req, next_op;
	GArray *evq; /* events found while actions are carried out */
	struct treq *dead;
	bool stepping, draining, told_idle, stop;
	struct timespec stop_at;
};

/* The user pointer of calls: a request or a probe, told apart by kind. */
struct call_user {
	struct treq *req;
	uint64_t attempt;
	struct probe *probe;
};

/* traffic.c */
void traffic_reply_text(
    struct traffic *t, struct front_req *http, int status, struct str body);

/* traffic_op.c */
struct top *traffic_op_start(
    struct traffic *t, enum op_kind kind, const Control__Op *op);
void traffic_event_later(struct traffic *t, const struct eng_ev *ev);
void traffic_claim_send(struct traffic *t, struct treq *r);
void traffic_record_send(
    struct traffic *t, struct treq *r, enum eng_outcome outcome);
void traffic_req_release(struct treq *r);
void traffic_reap(struct traffic *t);
void traffic_req_settle(struct traffic *t, uint64_t id);
void traffic_op_done(struct traffic *t, struct mbox_msg *m);

/* traffic_act.c */
void traffic_header_add(
    struct front_header *h, size_t *n, const char *name, struct str value);
void traffic_tick_arm(struct traffic *t);
void traffic_step(struct traffic *t, const struct eng_ev *first);
void traffic_on_sent(void *arg, void *user);
void traffic_on_done(void *arg, void *user, const struct back_answer *a);
void traffic_on_failed(void *arg, void *user, enum back_fail kind, bool sent);

#endif
