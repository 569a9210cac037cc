#include "control/raft_priv.h"

#include <stdlib.h>
#include <string.h>

/* Returns the estimated memory use of an entry in bytes. */
static size_t
entry_size(const struct raft_entry *e)
{
	return e->data.len + RAFT_ENTRY_OVERHEAD;
}

/* Returns the index of the last entry, or of the snapshot if there is none. */
uint64_t
raft_log_last(const struct raft *r)
{
	return r->base_index + r->nlog;
}

/* Returns the entry at an index, or NULL if it is not in memory. */
const struct raft_entry *
raft_log_at(const struct raft *r, uint64_t index)
{
	if (index <= r->base_index || index > raft_log_last(r))
		return NULL;
	return &r->log[index - r->base_index - 1];
}

/*
 * Stores the term of the entry at an index. Returns false if the index is
 * beyond the end of the log or was compacted.
 */
bool
raft_log_term(const struct raft *r, uint64_t index, uint64_t *term)
{
	const struct raft_entry *e;

	if (index == r->base_index) {
		*term = r->base_term;
		return true;
	}
	if (index == r->snap_index) {
		*term = r->snap_term;
		return true;
	}
	e = raft_log_at(r, index);
	if (e == NULL)
		return false;
	*term = e->term;
	return true;
}

/* Appends a copy of data as the next entry and marks it to be persisted. */
void
raft_log_append(
    struct raft *r, uint64_t term, Control__EntryKind kind, struct str data)
{
	struct raft_entry *e;

	if (r->nlog == r->caplog) {
		r->caplog = r->caplog == 0 ? 64 : r->caplog * 2;
		r->log =
		    talloc_realloc(r, r->log, struct raft_entry, r->caplog);
		if (r->log == NULL)
			abort();
	}
	e = &r->log[r->nlog++];
	e->index = r->base_index + r->nlog;
	e->term = term;
	e->kind = kind;
	e->data = data.len > 0 ? str_dup(r, data) : str_mem(NULL, 0);
	r->log_bytes += entry_size(e);
	r->uncommitted_bytes += entry_size(e);
	if (r->unpersisted_from == 0)
		r->unpersisted_from = e->index;
	if (kind == CONTROL__ENTRY_KIND__ENTRY_MEMBERS)
		raft_member_list_update(r);
}

/* Frees the data of an entry. */
static void
entry_free(struct raft_entry *e)
{
	if (e->data.p != NULL)
		talloc_free((void *)(uintptr_t)e->data.p);
}

/*
 * Removes all entries from an index on, which must be above the commit index.
 * Syncs under way no longer count for the removed entries.
 */
void
raft_log_truncate(struct raft *r, uint64_t from)
{
	size_t i;

	if (from > raft_log_last(r))
		return;
	for (i = from - r->base_index - 1; i < r->nlog; i++) {
		r->log_bytes -= entry_size(&r->log[i]);
		r->uncommitted_bytes -= entry_size(&r->log[i]);
		entry_free(&r->log[i]);
	}
	r->nlog = from - r->base_index - 1;
	if (r->durable >= from)
		r->durable = from - 1;
	for (i = 0; i < r->nsyncs; i++) {
		if (r->syncs[i].last >= from)
			r->syncs[i].last = from - 1;
	}
	if (!r->truncated || from < r->truncate_from)
		r->truncate_from = from;
	r->truncated = true;
	if (r->unpersisted_from >= from)
		r->unpersisted_from = 0;
	if (r->members.index >= from)
		raft_member_list_update(r);
}

/* Empties the log, which continues after a snapshot at index and term. */
void
raft_log_reset(struct raft *r, uint64_t index, uint64_t term)
{
	size_t i;

	for (i = 0; i < r->nlog; i++)
		entry_free(&r->log[i]);
	r->nlog = 0;
	r->base_index = index;
	r->base_term = term;
	r->log_bytes = 0;
	r->uncommitted_bytes = 0;
	r->durable = index;
	for (i = 0; i < r->nsyncs; i++)
		r->syncs[i].last = index;
}

/*
 * Removes the entries that a snapshot at index covers, except the last few,
 * which serve followers that are slightly behind.
 */
void
raft_log_compact(struct raft *r, uint64_t index)
{
	uint64_t first = index + 1, i, term = 0;
	size_t bytes = 0, drop;

	while (first > r->base_index + 1 &&
	    index + 1 - first < RAFT_KEEP_ENTRIES) {
		bytes += entry_size(raft_log_at(r, first - 1));
		if (bytes > RAFT_KEEP_BYTES)
			break;
		first--;
	}
	if (!raft_log_term(r, first - 1, &term))
		abort();
	drop = first - 1 - r->base_index;
	for (i = 0; i < drop; i++)
		entry_free(&r->log[i]);
	memmove(r->log, r->log + drop, (r->nlog - drop) * sizeof(*r->log));
	r->nlog -= drop;
	r->base_index = first - 1;
	r->base_term = term;
	r->log_bytes = 0;
	for (i = index + 1; i <= raft_log_last(r); i++)
		r->log_bytes += entry_size(raft_log_at(r, i));
}

/*
 * Returns the highest index not above the given one whose term is not above
 * the given one: the last place where this log can agree with another one
 * that has an entry of that term at that index.
 */
uint64_t
raft_log_find_agreement(const struct raft *r, uint64_t index, uint64_t term)
{
	uint64_t t;

	if (index > raft_log_last(r))
		index = raft_log_last(r);
	while (index > r->base_index && raft_log_term(r, index, &t) && t > term)
		index--;
	return index;
}

/* Copies the descriptors of entries [from, to]; their data is shared. */
const struct raft_entry *
raft_log_copy(struct raft *r, uint64_t from, uint64_t to, size_t *n)
{
	struct raft_entry *v;

	*n = to + 1 - from;
	v = talloc_array(r->scratch, struct raft_entry, *n);
	if (v == NULL)
		abort();
	memcpy(v, raft_log_at(r, from), *n * sizeof(*v));
	return v;
}
