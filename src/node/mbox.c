#include "node/mbox.h"

#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>

/* Starts an empty queue that refuses operations above max messages. */
enum status
mbox_init(struct mbox *m, size_t max, struct err *e)
{
	m->head = NULL;
	m->tail = &m->head;
	m->n = 0;
	m->max = max;
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
 * Appends a message and wakes the owner. Only requests (OP) and figures
 * (STATS) are subject to the limit; answers must always get through, and
 * there is at most one for each request.
 */
enum status
mbox_post(struct mbox *m, struct mbox_msg *msg)
{
	const uint64_t one = 1;
	bool wake;

	pthread_mutex_lock(&m->lock);
	if (m->n >= m->max &&
	    (msg->kind == MBOX_OP || msg->kind == MBOX_STATS)) {
		pthread_mutex_unlock(&m->lock);
		return STATUS_FULL;
	}
	wake = m->head == NULL;
	msg->next = NULL;
	*m->tail = msg;
	m->tail = &msg->next;
	m->n++;
	pthread_mutex_unlock(&m->lock);
	if (wake && write(m->fd, &one, sizeof(one)) < 0)
		return STATUS_OK; /* the counter is at its limit: readable */
	return STATUS_OK;
}

/* Takes over all waiting messages and resets the descriptor. */
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
	m->n = 0;
	pthread_mutex_unlock(&m->lock);
	return msg;
}

/* Drops what is left; no thread may post any more. */
void
mbox_finish(struct mbox *m)
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
