#include "request/tmr.h"

#include <stdlib.h>
#include <string.h>

/* Initialises an empty heap. */
void
tmr_init(struct tmr_heap *h)
{
	memset(h, 0, sizeof(*h));
}

/* Stores a timer at an index of the heap and updates its position. */
static void
tmr_place(struct tmr_heap *h, size_t i, struct tmr *t)
{
	h->v[i] = t;
	t->pos = (unsigned)i + 1;
}

/* Moves the timer at index i towards the root until its parent is not later. */
static void
tmr_sift_up(struct tmr_heap *h, size_t i)
{
	struct tmr *t = h->v[i];

	while (i > 0 && h->v[(i - 1) / 2]->at_ns > t->at_ns) {
		tmr_place(h, i, h->v[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
	tmr_place(h, i, t);
}

/* Moves the timer at index i away from the root until no child is earlier. */
static void
tmr_sift_down(struct tmr_heap *h, size_t i)
{
	struct tmr *t = h->v[i];

	for (;;) {
		size_t c = 2 * i + 1;

		if (c + 1 < h->n && h->v[c + 1]->at_ns < h->v[c]->at_ns)
			c++;
		if (c >= h->n || h->v[c]->at_ns >= t->at_ns)
			break;
		tmr_place(h, i, h->v[c]);
		i = c;
	}
	tmr_place(h, i, t);
}

/* Sets a timer to an instant in nanoseconds, or moves one that is set. */
void
tmr_set(struct tmr_heap *h, struct tmr *t, int64_t at)
{
	if (t->pos == 0) {
		if (h->n == h->cap) {
			h->cap = h->cap > 0 ? 2 * h->cap : 64;
			h->v = talloc_realloc(NULL, h->v, struct tmr *, h->cap);
			if (h->v == NULL)
				abort();
		}
		tmr_place(h, h->n++, t);
	}
	t->at_ns = at;
	tmr_sift_up(h, t->pos - 1);
	tmr_sift_down(h, t->pos - 1);
}

/* Removes a timer from the heap. A timer that is not set is ignored. */
void
tmr_clear(struct tmr_heap *h, struct tmr *t)
{
	size_t i;
	struct tmr *last;

	if (t->pos == 0)
		return;
	i = t->pos - 1;
	t->pos = 0;
	last = h->v[--h->n];
	if (last == t)
		return;
	tmr_place(h, i, last);
	tmr_sift_up(h, i);
	tmr_sift_down(h, last->pos - 1);
}

/* Returns the earliest timer, or NULL if none is set. */
struct tmr *
tmr_first(const struct tmr_heap *h)
{
	return h->n > 0 ? h->v[0] : NULL;
}

/* Frees the heap. The timers belong to their owners. */
void
tmr_finish(struct tmr_heap *h)
{
	talloc_free(h->v);
	memset(h, 0, sizeof(*h));
}
