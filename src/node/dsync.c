#include "node/dsync.h"

#include <inttypes.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "base/clk.h"
#include "base/log.h"

enum work_kind {
	WORK_PERSIST,
	WORK_SNAPSHOT
};

/* One item of work; a talloc tree that is handed from the loop's thread to the
 * disk thread. */
struct disk_work {
	struct disk_work *next;
	enum work_kind kind;
	struct raft_act persist;
	struct wal_snapshot snapshot;
	bool received;
};

struct dsync {
	struct dsync_conf conf;
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t wake;
	int event_fd; /* eventfd, readable while there are results */
	struct tevent_fd *fde;
	/* Protected by lock: */
	struct disk_work *head, **tail;
	uint64_t synced_seq, saved_index;
	bool stop, failed;
	struct err err;
	/* Used by the loop's thread only: */
	uint64_t reported_seq, reported_index;
	struct disk_work *held, **held_tail; /* until dsync_submit */
};

/* Writes one item of work. */
static enum status
write_item(struct dsync *d, const struct disk_work *w, struct err *e)
{
	if (w->kind == WORK_PERSIST)
		return wal_persist(d->conf.wal, &w->persist, e);
	return wal_snapshot_save(d->conf.wal, &w->snapshot, w->received, e);
}

/* Wakes the event loop, which then calls on_results. */
static void
notify_loop(struct dsync *d)
{
	uint64_t one = 1;

	if (write(d->event_fd, &one, sizeof(one)) != (ssize_t)sizeof(one))
		log_event(LOG_ERR, "dsync", "event=wakeup_failed");
}

/* Makes everything written durable; logs how long it took if that was long. */
static enum status
sync_log(struct dsync *d, struct err *e)
{
	struct clk clk = clk_system();
	struct timespec start = clk_now(&clk);
	enum status st = wal_sync(d->conf.wal, e);
	int64_t ms = clk_diff_ms(clk_now(&clk), start);

	if (ms > DSYNC_SLOW_MS)
		log_event(LOG_INFO, "dsync", "event=slow_sync ms=%" PRId64, ms);
	return st;
}

/* Writes a list of items, then syncs once and publishes the results. */
static enum status
run_batch(struct dsync *d, struct disk_work *list, struct err *e)
{
	uint64_t synced = 0, saved = 0;
	enum status st = STATUS_OK;
	struct disk_work *w;

	for (w = list; w != NULL && st == STATUS_OK; w = w->next) {
		st = write_item(d, w, e);
		if (w->kind == WORK_PERSIST)
			synced = w->persist.u.persist.seq;
		else
			saved = w->snapshot.index;
	}
	if (st == STATUS_OK)
		st = sync_log(d, e);
	pthread_mutex_lock(&d->lock);
	if (st != STATUS_OK) {
		d->failed = true;
		d->err = *e;
	} else {
		if (synced > 0)
			d->synced_seq = synced;
		if (saved > 0)
			d->saved_index = saved;
	}
	pthread_mutex_unlock(&d->lock);
	notify_loop(d);
	return st;
}

/* Takes all queued items at once and runs them, until stopped or the disk
 * fails. */
static void *
thread_main(void *arg)
{
	struct dsync *d = arg;
	struct disk_work *list, *next;
	enum status st = STATUS_OK;
	struct err e;

	err_clear(&e);
	while (st == STATUS_OK) {
		pthread_mutex_lock(&d->lock);
		while (d->head == NULL && !d->stop)
			pthread_cond_wait(&d->wake, &d->lock);
		list = d->head;
		d->head = NULL;
		d->tail = &d->head;
		pthread_mutex_unlock(&d->lock);
		if (list == NULL)
			break;
		st = run_batch(d, list, &e);
		for (; list != NULL; list = next) {
			next = list->next;
			talloc_free(list);
		}
	}
	return NULL;
}

/* Reports new results from the event loop's thread. */
static void
on_results(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct dsync *d = arg;
	uint64_t n, synced, saved;
	bool failed;
	struct err e;

	if (read(d->event_fd, &n, sizeof(n)) != (ssize_t)sizeof(n))
		return;
	pthread_mutex_lock(&d->lock);
	synced = d->synced_seq;
	saved = d->saved_index;
	failed = d->failed;
	e = d->err;
	pthread_mutex_unlock(&d->lock);
	if (failed) {
		d->conf.on_failed(d->conf.arg, &e);
		return;
	}
	if (saved > d->reported_index) {
		d->reported_index = saved;
		d->conf.on_saved(d->conf.arg, saved);
	}
	if (synced > d->reported_seq) {
		d->reported_seq = synced;
		d->conf.on_synced(d->conf.arg, synced);
	}
}

/* Queues an item for the thread, or holds it back until dsync_submit. */
static void
enqueue(struct dsync *d, struct disk_work *w)
{
	*d->held_tail = w;
	d->held_tail = &w->next;
	if (!d->conf.submits)
		dsync_submit(d);
}

/* Queues the items that were held back, and wakes the thread. */
void
dsync_submit(struct dsync *d)
{
	if (d->held == NULL)
		return;
	pthread_mutex_lock(&d->lock);
	*d->tail = d->held;
	d->tail = d->held_tail;
	pthread_cond_signal(&d->wake);
	pthread_mutex_unlock(&d->lock);
	d->held = NULL;
	d->held_tail = &d->held;
}

/* Queues the entries and hard state of a PERSIST action; on_synced reports its
 * sequence number. */
void
dsync_persist(struct dsync *d, const struct raft_act *a)
{
	struct disk_work *w = talloc_zero(NULL, struct disk_work);
	struct raft_entry *v;
	size_t i, n = a->u.persist.n;

	if (w == NULL)
		abort();
	w->kind = WORK_PERSIST;
	w->persist = *a;
	v = talloc_array(w, struct raft_entry, n + 1);
	if (v == NULL)
		abort();
	for (i = 0; i < n; i++) {
		v[i] = a->u.persist.entries[i];
		v[i].data = str_dup(w, v[i].data);
	}
	w->persist.u.persist.entries = v;
	enqueue(d, w);
}

/* Queues a snapshot; on_saved reports its index. */
void
dsync_snapshot(struct dsync *d, const struct wal_snapshot *s, bool received)
{
	struct disk_work *w = talloc_zero(NULL, struct disk_work);

	if (w == NULL)
		abort();
	w->kind = WORK_SNAPSHOT;
	w->snapshot = *s;
	if (!d->conf.keeps_snapshots)
		w->snapshot.data = str_dup(w, s->data);
	w->snapshot.members = raft_members_copy(w, s->members, s->nmembers);
	w->received = received;
	enqueue(d, w);
}

/* Stops the thread; queued items are still written, unless the disk has
 * failed. */
static int
dsync_destroy(struct dsync *d)
{
	dsync_submit(d);
	pthread_mutex_lock(&d->lock);
	d->stop = true;
	pthread_cond_signal(&d->wake);
	pthread_mutex_unlock(&d->lock);
	pthread_join(d->thread, NULL);
	TALLOC_FREE(d->fde);
	close(d->event_fd);
	pthread_cond_destroy(&d->wake);
	pthread_mutex_destroy(&d->lock);
	return 0;
}

/* Starts the thread; STATUS_IO if the system refuses one. */
struct dsync *
dsync_new(TALLOC_CTX *ctx, struct tevent_context *ev,
    const struct dsync_conf *conf, struct err *e)
{
	struct dsync *d = talloc_zero(ctx, struct dsync);
	sigset_t all, old;
	int rc;

	if (d == NULL)
		abort();
	d->conf = *conf;
	d->tail = &d->head;
	d->held_tail = &d->held;
	d->event_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (d->event_fd < 0) {
		err_errno(e, STATUS_IO, "eventfd");
		talloc_free(d);
		return NULL;
	}
	pthread_mutex_init(&d->lock, NULL);
	pthread_cond_init(&d->wake, NULL);
	/* Signals are handled by the loop's thread only. */
	sigfillset(&all);
	pthread_sigmask(SIG_BLOCK, &all, &old);
	rc = pthread_create(&d->thread, NULL, thread_main, d);
	pthread_sigmask(SIG_SETMASK, &old, NULL);
	if (rc != 0) {
		err_set(e, STATUS_IO, "pthread_create: %s", strerror(rc));
		close(d->event_fd);
		talloc_free(d);
		return NULL;
	}
	talloc_set_destructor(d, dsync_destroy);
	d->fde =
	    tevent_add_fd(ev, d, d->event_fd, TEVENT_FD_READ, on_results, d);
	return d;
}
