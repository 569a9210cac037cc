#include <stdlib.h>
#include <string.h>

#include "control/st_impl.h"

struct key_name {
	struct str class_name, key;
};

/* Compares a record with a class and key for the index. */
static bool
key_matches(const void *object, const void *name)
{
	const struct st_key *k = object;
	const struct key_name *n = name;

	return str_eq(str_mem(k->text, k->class_len), n->class_name) &&
	    str_eq(str_mem(k->text + k->class_len, k->key_len), n->key);
}

/* Returns the hash of a class and key. */
static uint64_t
key_hash(const struct key_name *n)
{
	return idx_hash_u64(str_hash(n->class_name)) ^ str_hash(n->key);
}

/* Returns the class and key of a record. */
static struct key_name
key_name(const struct st_key *k)
{
	struct key_name n = { str_mem(k->text, k->class_len),
		str_mem(k->text + k->class_len, k->key_len) };

	return n;
}

/* Returns the record of a class and key, or NULL. */
static struct st_key *
key_find(const struct st *st, const struct key_name *n)
{
	return idx_find(&st->key_by_name, key_hash(n), key_matches, n);
}

/* Allocates a record with its texts, not linked anywhere. */
static struct st_key *
key_new(struct key_name n, struct str type, struct str body)
{
	struct st_key *k = calloc(
	    1, sizeof(*k) + n.class_name.len + n.key.len + type.len + body.len);
	char *p;

	if (k == NULL)
		abort();
	p = k->text;
	k->class_len = (uint8_t)n.class_name.len;
	k->key_len = (uint8_t)n.key.len;
	k->type_len = (uint8_t)type.len;
	k->body_len = (uint16_t)body.len;
	memcpy(p, n.class_name.p, n.class_name.len);
	p += n.class_name.len;
	memcpy(p, n.key.p, n.key.len);
	p += n.key.len;
	if (type.len > 0)
		memcpy(p, type.p, type.len);
	p += type.len;
	if (body.len > 0)
		memcpy(p, body.p, body.len);
	return k;
}

/* Removes a record from the list and the index. */
static void
key_unlink(struct st *st, struct st_key *k)
{
	struct key_name n = key_name(k);

	if (k->prev != NULL)
		k->prev->next = k->next;
	else
		st->key_first = k->next;
	if (k->next != NULL)
		k->next->prev = k->prev;
	else
		st->key_last = k->prev;
	idx_remove(&st->key_by_name, key_hash(&n), k);
}

/* Adds a record as the most recently changed one. */
static void
key_append(struct st *st, struct st_key *k)
{
	struct key_name n = key_name(k);

	k->prev = st->key_last;
	k->next = NULL;
	if (k->prev != NULL)
		k->prev->next = k;
	else
		st->key_first = k;
	st->key_last = k;
	idx_add(&st->key_by_name, key_hash(&n), k);
}

/* Frees all idempotency records. */
void
st_key_finish(struct st *st)
{
	struct st_key *k, *next;

	for (k = st->key_first; k != NULL; k = next) {
		next = k->next;
		free(k);
	}
	st->key_first = st->key_last = NULL;
	idx_finish(&st->key_by_name);
}

/* Replaces record k, which may be NULL, by a claim. */
static void
key_set_claim(struct st *st, struct st_key *k, const struct key_name *n,
    const Control__KeyClaim *c)
{
	if (k != NULL) {
		key_unlink(st, k);
		free(k);
	}
	k = key_new(*n, str_mem(NULL, 0), str_mem(NULL, 0));
	k->digest = c->digest;
	k->instance = c->instance;
	k->incarnation = c->incarnation;
	k->request = c->request;
	k->deadline_ms = c->deadline_ms;
	k->changed_ms = st->now_ms;
	k->state = ST_KEY_RUNNING;
	key_append(st, k);
	st->res.key_state = CONTROL__KEY_STATE__KEY_STATE_CLAIMED;
}

/*
 * Claims an idempotency key for one request. A resend of the same claim gets
 * the same result again; any other claim gets the state of the first request.
 */
void
st_key_claim(struct st *st, const Control__KeyClaim *c)
{
	struct key_name n = { str_from(c->class_name), str_from(c->key) };
	struct st_key *k;
	bool own;

	if (n.key.len == 0 || n.key.len > ST_NAME_MAX_BYTES ||
	    n.class_name.len > ST_NAME_MAX_BYTES) {
		st_fail(st, STATUS_INVALID, "key is empty or too long");
		return;
	}
	k = key_find(st, &n);
	if (k == NULL) {
		key_set_claim(st, NULL, &n, c);
		return;
	}
	own = k->incarnation == c->incarnation && k->request == c->request;
	st->res.key = k;
	if (k->state == ST_KEY_RELEASED) {
		/* A late copy of a claim that was released since. */
		if (own) {
			st_fail(st, STATUS_STALE, "claim was released before");
			return;
		}
		st->res.key = NULL;
		key_set_claim(st, k, &n, c);
		return;
	}
	if (k->digest != c->digest) {
		st->res.key_state = CONTROL__KEY_STATE__KEY_STATE_MISMATCH;
		return;
	}
	switch (k->state) {
	case ST_KEY_RUNNING:
		if (own)
			st->res.key_state =
			    CONTROL__KEY_STATE__KEY_STATE_CLAIMED;
		else if (st->now_ms <= k->deadline_ms)
			st->res.key_state =
			    CONTROL__KEY_STATE__KEY_STATE_RUNNING;
		else
			st->res.key_state =
			    CONTROL__KEY_STATE__KEY_STATE_UNKNOWN;
		break;
	case ST_KEY_ANSWERED:
		st->res.key_state = CONTROL__KEY_STATE__KEY_STATE_RECORDED;
		break;
	default:
		st->res.key_state = CONTROL__KEY_STATE__KEY_STATE_UNKNOWN;
		break;
	}
}

/* Returns the record state for a reported outcome. */
static uint8_t
key_end_state(const Control__KeyDone *c)
{
	switch (c->end) {
	case CONTROL__KEY_END__KEY_ANSWERED:
		return c->has_body && c->body.len <= ST_BODY_MAX_BYTES
		    ? ST_KEY_ANSWERED
		    : ST_KEY_TOO_LARGE;
	case CONTROL__KEY_END__KEY_NOT_RUN:
		return ST_KEY_RELEASED;
	default:
		return ST_KEY_UNKNOWN;
	}
}

/*
 * Records the outcome of a claimed request. Only its claimant may do so; a
 * second outcome is ignored.
 */
void
st_key_done(struct st *st, const Control__KeyDone *c)
{
	struct key_name n = { str_from(c->class_name), str_from(c->key) };
	struct str type = str_from(c->content_type), body = { 0 };
	struct st_key *old = key_find(st, &n), *k;
	uint8_t state = key_end_state(c);

	if (old == NULL) {
		st_fail(st, STATUS_NOT_FOUND, "no record of this key");
		return;
	}
	if (old->incarnation != c->incarnation || old->request != c->request) {
		st_fail(st, STATUS_STALE, "key is claimed by another request");
		return;
	}
	if (old->state != ST_KEY_RUNNING)
		return;
	if (state == ST_KEY_ANSWERED)
		body = str_mem(c->body.data, c->body.len);
	if (state != ST_KEY_ANSWERED || type.len > ST_NAME_MAX_BYTES)
		type = str_mem(NULL, 0);
	k = key_new(n, type, body);
	k->digest = old->digest;
	k->instance = old->instance;
	k->incarnation = old->incarnation;
	k->request = old->request;
	k->deadline_ms = old->deadline_ms;
	k->http_status = (uint16_t)c->http_status;
	k->changed_ms = st->now_ms;
	k->state = state;
	key_unlink(st, old);
	free(old);
	key_append(st, k);
}

/*
 * Removes the records that have not changed since cutoff_ms, except for running
 * requests before their deadline.
 */
void
st_key_expire(struct st *st, uint64_t cutoff_ms)
{
	struct st_key *k, *next;

	for (k = st->key_first; k != NULL && k->changed_ms <= cutoff_ms;
	     k = next) {
		next = k->next;
		if (k->state == ST_KEY_RUNNING && k->deadline_ms >= st->now_ms)
			continue;
		key_unlink(st, k);
		free(k);
		st->res.keys_dropped++;
	}
}

/* Writes the records, in order of their last change, into a snapshot. */
void
st_key_save(const struct st *st, struct enc *e)
{
	const struct st_key *k;

	enc_u64(e, st->key_by_name.n);
	for (k = st->key_first; k != NULL; k = k->next) {
		struct key_name n = key_name(k);

		enc_str(e, n.class_name);
		enc_str(e, n.key);
		enc_str(e, st_key_type(k));
		enc_str(e, st_key_body(k));
		enc_u64(e, k->digest);
		enc_u64(e, k->incarnation);
		enc_u64(e, k->request);
		enc_u64(e, k->deadline_ms);
		enc_u64(e, k->changed_ms);
		enc_u64(e, k->instance);
		enc_u64(e, k->http_status);
		enc_u64(e, k->state);
	}
}

/* Reads what st_key_save wrote. */
void
st_key_load(struct st *st, struct dec *d)
{
	uint64_t n;

	for (n = dec_u64(d); n > 0 && !d->malformed; n--) {
		struct key_name name = { dec_str(d), { 0 } };
		struct str type, body;
		struct st_key *k;

		name.key = dec_str(d);
		type = dec_str(d);
		body = dec_str(d);
		if (d->malformed || name.class_name.len > ST_NAME_MAX_BYTES ||
		    name.key.len > ST_NAME_MAX_BYTES ||
		    type.len > ST_NAME_MAX_BYTES ||
		    body.len > ST_BODY_MAX_BYTES ||
		    key_find(st, &name) != NULL) {
			d->malformed = true;
			return;
		}
		k = key_new(name, type, body);
		k->digest = dec_u64(d);
		k->incarnation = dec_u64(d);
		k->request = dec_u64(d);
		k->deadline_ms = dec_u64(d);
		k->changed_ms = dec_u64(d);
		k->instance = (uint32_t)dec_u64(d);
		k->http_status = (uint16_t)dec_u64(d);
		k->state = (uint8_t)dec_u64(d);
		key_append(st, k);
	}
}

/* Returns the number of idempotency records. */
size_t
st_nkeys(const struct st *st)
{
	return st->key_by_name.n;
}

/* Returns the least recently changed record, or NULL. */
const struct st_key *
st_key_first(const struct st *st)
{
	return st->key_first;
}

/* Returns the record of a key, or NULL. */
const struct st_key *
st_key_get(const struct st *st, struct str class_name, struct str key)
{
	struct key_name n = { class_name, key };

	return key_find(st, &n);
}

/* Returns the content type of a recorded answer. */
struct str
st_key_type(const struct st_key *k)
{
	return str_mem(k->text + k->class_len + k->key_len, k->type_len);
}

/* Returns the body of a recorded answer. */
struct str
st_key_body(const struct st_key *k)
{
	return str_mem(
	    k->text + k->class_len + k->key_len + k->type_len, k->body_len);
}
