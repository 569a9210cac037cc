/*
 * Mailbox: a message queue into one thread. Any thread posts messages, the
 * owner takes them; an eventfd is readable while there are any.
 */
#ifndef NODE_MBOX_H
#define NODE_MBOX_H

#include <pthread.h>

#include "base/err.h"
#include "base/str.h"

__BEGIN_DECLS

enum mbox_kind {
	MBOX_OP,     /* data: packed Op */
	MBOX_RESULT, /* data: packed OpResult */
	MBOX_STATS,  /* data: packed Beat with a thread's statistics */
	MBOX_VIEW,   /* view: owned by the receiver */
	MBOX_DRAIN,  /* traffic: refuse new work; control: shut down */
	MBOX_IDLE,   /* a draining traffic thread has finished */
	MBOX_STOP
};

struct view;

/* A message: a talloc tree without a parent. mbox_post passes its ownership to
 * the receiver. */
struct mbox_msg {
	struct mbox_msg *next;
	enum mbox_kind kind;
	unsigned thread; /* number of the traffic thread */
	uint64_t id;
	struct str data;
	struct view *view;
};

struct mbox {
	pthread_mutex_t lock;
	struct mbox_msg *head, **tail;
	size_t nmsgs, max_msgs;
	int fd;
};

enum status mbox_init(struct mbox *, size_t max, struct err *);
/* Creates a message with len bytes of data to fill in. */
struct mbox_msg *mbox_msg_new(enum mbox_kind, size_t len);
/* STATUS_FULL leaves the message with the caller; VIEW, DRAIN, IDLE, RESULT
 * and STOP are never refused. */
enum status mbox_post(struct mbox *, struct mbox_msg *);
/* Takes all messages, in order of arrival and linked by next; NULL if there are
 * none. */
struct mbox_msg *mbox_take(struct mbox *);
void mbox_destroy(struct mbox *);

__END_DECLS

#endif
