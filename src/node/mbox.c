#include "node/mbox.h"

#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>

/*
 * Creates an empty queue that refuses operations and statistics once it holds
 * max messages.
 */
enum status
mbox_init(struct mbox *m, size_t max, struct err *e)
{
	m->head = NULL;
	m->tail = &m->head;
	m->nmsgs = 0;
	m->max_msgs = max;
	m->fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (m->fd < 0)
		return err_errno(e, STATUS_IO, "eventfd");
	pthread_mutex_init(&m->lock, NULL);
	return STATUS_OK;
}

/* Allocates a message; data.p points to len writable bytes. */
struct mbox_msg *
mbox_msg_new(enum mbox_kind kind, size_t len)
{
	struct mbox_msg *msg;
	uint8_t *p;

	msg = talloc_zero(NULL, struct mbox_msg);
	if (msg == NULL)
		abort();
	p = talloc_array(msg, uint8_t, len + 1);
	if (p == NULL)
		abort();
	p[len] = 0;
	msg->kind = kind;
	msg->data = str_mem(p, len);
	return msg;
}

/*
 * Appends a message and wakes the owner. Only operations (OP) and statistics
 * (STATS) are subject to the limit: results must always arrive, and there is at
 * most one for each operation.
 */
enum status
mbox_post(struct mbox *m, struct mbox_msg *msg)
{
	const uint64_t one = 1;
	bool wake;

	pthread_mutex_lock(&m->lock);
	if (m->nmsgs >= m->max_msgs &&
	    (msg->kind == MBOX_OP || msg->kind == MBOX_STATS)) {
		pthread_mutex_unlock(&m->lock);
		return STATUS_FULL;
	}
	wake = m->head == NULL;
	msg->next = NULL;
	*m->tail = msg;
	m->tail = &msg->next;
	m->nmsgs++;
	pthread_mutex_unlock(&m->lock);
	/* A write fails only if the counter is at its limit; fd is readable
	 * then. */
	if (wake && write(m->fd, &one, sizeof(one)) < 0)
		return STATUS_OK;
	return STATUS_OK;
}

/* Takes all waiting messages and resets the descriptor. */
struct mbox_msg *
mbox_take(struct mbox *m)
{
	struct mbox_msg *msg;
	uint64_t v;

	if (read(m->fd, &v, sizeof(v)) < 0)
		v = 0;
	pthread_mutex_lock(&m->lock);
	msg = m->head;
	m->head = NULL;
	m->tail = &m->head;
	m->nmsgs = 0;
	pthread_mutex_unlock(&m->lock);
	return msg;
}

/* Frees the remaining messages; no thread may post any more. */
void
mbox_destroy(struct mbox *m)
{
	struct mbox_msg *msg, *next;

	for (msg = mbox_take(m); msg != NULL; msg = next) {
		next = msg->next;
		talloc_free(msg->view);
		talloc_free(msg);
	}
	close(m->fd);
	pthread_mutex_destroy(&m->lock);
}
