#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "control/pb.h"
#include "control/st_impl.h"

/* Returns the id of a change. */
static struct str
change_id(const struct st_change *k)
{
	return str_mem(k->id, k->id_len);
}

/* Compares a change with an id for the index. */
static bool
change_matches(const void *object, const void *key)
{
	return str_eq(change_id(object), *(const struct str *)key);
}

/* Frees all kept results. */
static void
changes_finish(struct st_changes *c)
{
	size_t i;

	for (i = 0; i < c->n; i++)
		free(c->ring[(c->first + i) % ST_CHANGES_KEPT]);
	free(c->ring);
	idx_finish(&c->by_id);
	memset(c, 0, sizeof(*c));
}

/* Sets an empty configuration of version 0. */
void
st_config_init(struct st *st)
{
	st->config = talloc(st, Control__Config);
	if (st->config == NULL)
		abort();
	control__config__init(st->config);
}

/* Frees the configuration and the kept results of changes. */
void
st_config_finish(struct st *st)
{
	TALLOC_FREE(st->config);
	changes_finish(&st->config_changes);
	changes_finish(&st->job_changes);
}

/* Hashes the content of a change, to tell a resend from a reused id. */
uint64_t
st_change_digest(const void *msg)
{
	struct str s = pb_pack(NULL, msg);
	uint64_t h = str_hash(s);

	talloc_free((void *)(uintptr_t)s.p);
	return h;
}

/*
 * Looks up the result of an earlier change with this id and makes it the
 * result of the command. An id that was used with other content is refused
 * with STATUS_INVALID, without setting *value. Returns false when the id is
 * new.
 */
bool
st_change_find(struct st *st, struct st_changes *c, struct str id,
    uint64_t digest, uint64_t *value)
{
	const struct st_change *k =
	    idx_find(&c->by_id, str_hash(id), change_matches, &id);

	if (k == NULL)
		return false;
	if (k->digest != digest) {
		st_fail(st, STATUS_INVALID,
		    "change id was already used for a different change");
		return true;
	}
	*value = k->value;
	st->res.status = k->status;
	st->res.message = "result of the first request with this change id";
	return true;
}

/* Stores a result under its id and drops the oldest one at the limit. */
void
st_change_store(struct st_changes *c, struct str id, uint64_t digest,
    uint64_t value, enum status status)
{
	struct st_change *k =
	    calloc(1, offsetof(struct st_change, id) + id.len + 1);

	if (c->ring == NULL)
		c->ring = calloc(ST_CHANGES_KEPT, sizeof(struct st_change *));
	if (k == NULL || c->ring == NULL)
		abort();
	if (c->n == ST_CHANGES_KEPT) {
		struct st_change *old = c->ring[c->first];

		idx_remove(&c->by_id, str_hash(change_id(old)), old);
		free(old);
		c->first = (c->first + 1) % ST_CHANGES_KEPT;
		c->n--;
	}
	k->digest = digest;
	k->value = value;
	k->status = (uint8_t)status;
	k->id_len = (uint8_t)id.len;
	memcpy(k->id, id.p, id.len);
	c->ring[(c->first + c->n++) % ST_CHANGES_KEPT] = k;
	idx_add(&c->by_id, str_hash(id), k);
}

/* Orders classes by name for qsort. */
static int
class_cmp(const void *a, const void *b)
{
	return strcmp((*(Control__Class *const *)a)->name,
	    (*(Control__Class *const *)b)->name);
}

/* Orders teams by name for qsort. */
static int
team_cmp(const void *a, const void *b)
{
	return strcmp((*(Control__Team *const *)a)->name,
	    (*(Control__Team *const *)b)->name);
}

/* Returns whether a name is neither empty nor too long. */
static bool
name_is_valid(const char *name)
{
	size_t n = strlen(name);

	return n > 0 && n <= ST_NAME_MAX_BYTES;
}

/* Sorts classes and teams by name; returns an error message or NULL. */
static const char *
config_sort_and_check(Control__Config *c)
{
	size_t i;

	if (c->n_classes > 0)
		qsort(c->classes, c->n_classes, sizeof(Control__Class *),
		    class_cmp);
	if (c->n_teams > 0)
		qsort(c->teams, c->n_teams, sizeof(Control__Team *), team_cmp);
	for (i = 0; i < c->n_classes; i++) {
		if (!name_is_valid(c->classes[i]->name))
			return "class name is empty or too long";
		if (i > 0 && class_cmp(&c->classes[i - 1], &c->classes[i]) == 0)
			return "two classes have the same name";
		if (c->classes[i]->timeout_ms > ST_TIMEOUT_MAX_MS)
			return "class timeout is above the limit";
	}
	for (i = 0; i < c->n_teams; i++) {
		if (!name_is_valid(c->teams[i]->name))
			return "team name is empty or too long";
		if (i > 0 && team_cmp(&c->teams[i - 1], &c->teams[i]) == 0)
			return "two teams have the same name";
	}
	return NULL;
}

/*
 * Replaces the configuration if the expected version is the current one. The
 * result, also a refusal, is kept under the change id.
 */
void
st_config_set(struct st *st, const Control__ConfigSet *set)
{
	struct str id = str_from(set->change_id);
	uint64_t digest = st_change_digest(set);
	uint64_t version = st->config->version;
	const char *error;
	Control__Config *c;

	if (!name_is_valid(set->change_id)) {
		st_fail(st, STATUS_INVALID, "change id is empty or too long");
		return;
	}
	if (st_change_find(st, &st->config_changes, id, digest, &version)) {
		st->res.version = version;
		return;
	}
	c = pb_dup(st, set->config);
	error = config_sort_and_check(c);
	if (set->expected_version != st->config->version) {
		st_fail(st, STATUS_CONFLICT,
		    "expected version is not the current version");
		talloc_free(c);
	} else if (error != NULL) {
		st_fail(st, STATUS_INVALID, error);
		talloc_free(c);
	} else {
		c->version = st->config->version + 1;
		talloc_free(st->config);
		st->config = c;
		st->res.version = c->version;
		st_effect_add(st, ST_EFFECT_CONFIG, c->version);
	}
	st_change_store(&st->config_changes, id, digest, st->config->version,
	    st->res.status);
}

/* Writes the kept results, oldest first, into a snapshot. */
static void
changes_save(const struct st_changes *c, struct enc *e)
{
	size_t i;

	enc_u64(e, c->n);
	for (i = 0; i < c->n; i++) {
		const struct st_change *k =
		    c->ring[(c->first + i) % ST_CHANGES_KEPT];

		enc_str(e, change_id(k));
		enc_u64(e, k->digest);
		enc_u64(e, k->value);
		enc_u64(e, k->status);
	}
}

/* Reads what changes_save wrote. */
static void
changes_load(struct st_changes *c, struct dec *d)
{
	uint64_t n = dec_u64(d);

	if (n > ST_CHANGES_KEPT)
		d->malformed = true;
	for (; n > 0 && !d->malformed; n--) {
		struct str id = dec_str(d);
		uint64_t digest = dec_u64(d), value = dec_u64(d);
		uint64_t status = dec_u64(d);

		if (id.len > ST_NAME_MAX_BYTES || status >= STATUS_COUNT)
			d->malformed = true;
		if (!d->malformed)
			st_change_store(
			    c, id, digest, value, (enum status)status);
	}
}

/* Writes the configuration and the kept results into a snapshot. */
void
st_config_save(const struct st *st, struct enc *e)
{
	struct str s = pb_pack(NULL, st->config);

	enc_str(e, s);
	talloc_free((void *)(uintptr_t)s.p);
	changes_save(&st->config_changes, e);
	changes_save(&st->job_changes, e);
}

/* Reads what st_config_save wrote. */
void
st_config_load(struct st *st, struct dec *d)
{
	TALLOC_CTX *tmp = talloc_new(NULL);
	struct str s = dec_str(d);
	Control__Config *c = NULL;

	if (!d->malformed)
		c = pb_unpack(tmp, &control__config__descriptor, s);
	if (c == NULL) {
		d->malformed = true;
	} else {
		talloc_free(st->config);
		st->config = pb_dup(st, c);
		changes_load(&st->config_changes, d);
		changes_load(&st->job_changes, d);
	}
	talloc_free(tmp);
}

/* Returns the current configuration; its classes are sorted by name. */
const Control__Config *
st_config(const struct st *st)
{
	return st->config;
}
