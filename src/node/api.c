#include "node/api.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "base/ini.h"
#include "node/pjson.h"
#include "node/sock.h"

/* Far above any real worker, but low enough that sums cannot overflow. */
#define CPU_MILLI_MAX 100000000ULL
#define MEM_MB_MAX    (1ULL << 32)
#define ACCEL_MAX     100000
#define SLOTS_MAX     100000

/* State while a request is parsed. */
struct parse_ctx {
	TALLOC_CTX *ctx;
	struct str path_id; /* the path segment that "*" stands for */
	struct str query;
	struct json_object *json; /* NULL when the route takes no body */
	Control__Op *op;
	struct api_req *out;
};

struct route {
	const char *method;
	const char *path; /* "*" stands for one segment */
	enum api_route route;
	bool has_body;
	enum status (*parse)(struct parse_ctx *, struct err *);
};

/*
 * Returns whether a name has 1 to API_NAME_MAX bytes, all of them letters,
 * digits or . _ : -
 */
bool
api_is_valid_name(struct str s)
{
	size_t i;

	if (s.len == 0 || s.len > API_NAME_MAX)
		return false;
	for (i = 0; i < s.len; i++) {
		if (!isalnum((unsigned char)s.p[i]) &&
		    strchr("._:-", s.p[i]) == NULL)
			return false;
	}
	return true;
}

/* Checks a name; messages call it by what. */
static enum status
check_name(const char *what, const char *name, struct err *e)
{
	if (!api_is_valid_name(str_from(name)))
		return err_set(e, STATUS_INVALID,
		    "%s \"%.64s\": expected 1 to %d of A-Z a-z 0-9 . _ : -",
		    what, name, API_NAME_MAX);
	return STATUS_OK;
}

/* Allocates an initialised message; aborts if there is no memory. */
static void *
create_message(TALLOC_CTX *ctx, const ProtobufCMessageDescriptor *d)
{
	ProtobufCMessage *m = talloc_zero_size(ctx, d->sizeof_message);

	if (m == NULL)
		abort();
	protobuf_c_message_init(d, m);
	return m;
}

/* Reads the path segment as a number. */
static enum status
parse_id(const struct parse_ctx *in, uint64_t *id, struct err *e)
{
	int64_t v;

	if (!str_to_i64(in->path_id, &v) || v < 0)
		return err_set(e, STATUS_INVALID,
		    "path: expected a number, not \"" STR_FMT "\"",
		    (int)(in->path_id.len > 64 ? 64 : in->path_id.len),
		    in->path_id.p);
	*id = (uint64_t)v;
	return STATUS_OK;
}

/*
 * Moves "change_id" out of the body, so that the rest can be filled into a
 * message without it.
 */
static enum status
take_change_id(struct parse_ctx *in, char **out, struct err *e)
{
	struct json_object *v;

	if (!json_object_object_get_ex(in->json, "change_id", &v) ||
	    !json_object_is_type(v, json_type_string))
		return err_set(e, STATUS_INVALID,
		    "field \"change_id\": expected a string that is unique "
		    "to this change");
	*out = str_cstr(in->ctx,
	    str_mem(json_object_get_string(v),
		(size_t)json_object_get_string_len(v)));
	json_object_object_del(in->json, "change_id");
	return check_name("change_id", *out, e);
}

/* Makes the operation a query. */
static enum status
start_query(struct parse_ctx *in, Control__QueryKind kind)
{
	in->op->query = create_message(in->ctx, &control__query__descriptor);
	in->op->query->kind = kind;
	return STATUS_OK;
}

/*
 * Reads one NAME=NUMBER of the query string; found is false if it has another
 * name.
 */
static enum status
parse_query_number(struct str item, const char *name, bool *found,
    uint64_t *out, struct err *e)
{
	size_t len = strlen(name);
	int64_t v;

	*found = false;
	if (item.len <= len || memcmp(item.p, name, len) != 0 ||
	    item.p[len] != '=')
		return STATUS_OK;
	if (!str_to_i64(str_mem(item.p + len + 1, item.len - len - 1), &v) ||
	    v < 0)
		return err_set(
		    e, STATUS_INVALID, "query: %s: expected a number", name);
	*found = true;
	*out = (uint64_t)v;
	return STATUS_OK;
}

/* Reads after= and limit= of a listing. */
static enum status
parse_paging(struct parse_ctx *in, struct err *e)
{
	Control__Query *q = in->op->query;
	struct str rest = in->query, item;
	const char *amp;
	bool found;
	uint64_t v;

	while (rest.len > 0) {
		amp = memchr(rest.p, '&', rest.len);
		item = str_mem(
		    rest.p, amp == NULL ? rest.len : (size_t)(amp - rest.p));
		rest = amp == NULL ? str_from("")
				   : str_mem(amp + 1, rest.len - item.len - 1);
		if (parse_query_number(item, "after", &found, &v, e) !=
		    STATUS_OK)
			return STATUS_INVALID;
		if (found) {
			q->has_after = 1;
			q->after = v;
			continue;
		}
		if (parse_query_number(item, "limit", &found, &v, e) !=
		    STATUS_OK)
			return STATUS_INVALID;
		if (!found || v > UINT32_MAX)
			return err_set(e, STATUS_INVALID,
			    "query: expected after=N or limit=N");
		q->has_limit = 1;
		q->limit = (uint32_t)v;
	}
	return STATUS_OK;
}

/* Makes the operation a query for the classes and teams. */
static enum status
get_classes(struct parse_ctx *in, struct err *e)
{
	return start_query(in, CONTROL__QUERY_KIND__QUERY_CONFIG);
}

/* Makes the operation a query for a page of the workers. */
static enum status
get_workers(struct parse_ctx *in, struct err *e)
{
	start_query(in, CONTROL__QUERY_KIND__QUERY_WORKERS);
	return parse_paging(in, e);
}

/* Makes the operation a query for a page of the jobs. */
static enum status
get_jobs(struct parse_ctx *in, struct err *e)
{
	start_query(in, CONTROL__QUERY_KIND__QUERY_JOBS);
	return parse_paging(in, e);
}

/* Makes the operation a query for the state of the group. */
static enum status
get_status(struct parse_ctx *in, struct err *e)
{
	return start_query(in, CONTROL__QUERY_KIND__QUERY_STATUS);
}

/* Makes the operation a query for the replicas of the group. */
static enum status
get_members(struct parse_ctx *in, struct err *e)
{
	return start_query(in, CONTROL__QUERY_KIND__QUERY_MEMBERS);
}

/* Makes the operation a query for one job. */
static enum status
get_job(struct parse_ctx *in, struct err *e)
{
	start_query(in, CONTROL__QUERY_KIND__QUERY_JOB);
	in->op->query->has_id = 1;
	return parse_id(in, &in->op->query->id, e);
}

/* Makes the operation a query for what a job is waiting for. */
static enum status
get_why(struct parse_ctx *in, struct err *e)
{
	start_query(in, CONTROL__QUERY_KIND__QUERY_WHY);
	in->op->query->has_id = 1;
	return parse_id(in, &in->op->query->id, e);
}

/*
 * Refuses fields that tell the system how to reach an outcome, such as weights
 * or fixed workers: operators only state the outcome.
 */
static enum status
check_class_fields(struct json_object *o, struct err *e)
{
	static const struct {
		const char *field, *reason;
	} denied[] = { { "weight", "the system computes shares" },
		{ "pin", "work is not tied to workers" },
		{ "worker", "work is not tied to workers" },
		{ "workers", "work is not tied to workers" },
		{ "addr", "workers announce their own addresses" },
		{ "address", "workers announce their own addresses" },
		{ "priority", "state the expected outcome instead" } };
	size_t i;

	for (i = 0; i < sizeof(denied) / sizeof(denied[0]); i++) {
		if (json_object_object_get_ex(o, denied[i].field, NULL))
			return err_set(e, STATUS_REFUSED,
			    "Class: field \"%s\" is refused: %s",
			    denied[i].field, denied[i].reason);
	}
	return STATUS_OK;
}

/* Parses a new configuration of classes and teams. */
static enum status
put_classes(struct parse_ctx *in, struct err *e)
{
	Control__ConfigSet *set;
	struct json_object *v, *list;
	enum status st;
	size_t i;

	set = create_message(in->ctx, &control__config_set__descriptor);
	set->config = create_message(in->ctx, &control__config__descriptor);
	in->op->config_set = set;
	st = take_change_id(in, &set->change_id, e);
	if (st != STATUS_OK)
		return st;
	if (!json_object_object_get_ex(in->json, "expected_version", &v) ||
	    !json_object_is_type(v, json_type_int) ||
	    json_object_get_int64(v) < 0)
		return err_set(e, STATUS_INVALID,
		    "field \"expected_version\": expected the number of the "
		    "version to replace");
	set->expected_version = json_object_get_uint64(v);
	json_object_object_del(in->json, "expected_version");
	if (json_object_object_get_ex(in->json, "version", NULL))
		return err_set(e, STATUS_INVALID,
		    "field \"version\" is set by the system; use "
		    "\"expected_version\"");
	if (json_object_object_get_ex(in->json, "classes", &list) &&
	    json_object_is_type(list, json_type_array)) {
		for (i = 0; i < json_object_array_length(list); i++) {
			v = json_object_array_get_idx(list, i);
			if (!json_object_is_type(v, json_type_object))
				continue;
			st = check_class_fields(v, e);
			if (st != STATUS_OK)
				return st;
		}
	}
	json_object_object_add(in->json, "version", json_object_new_uint64(0));
	st = pjson_fill(in->ctx, &set->config->base, in->json, e);
	if (st != STATUS_OK)
		return st;
	for (i = 0; i < set->config->n_classes; i++) {
		st =
		    check_name("Class: name", set->config->classes[i]->name, e);
		if (st != STATUS_OK)
			return st;
	}
	for (i = 0; i < set->config->n_teams; i++) {
		st = check_name("Team: name", set->config->teams[i]->name, e);
		if (st != STATUS_OK)
			return st;
	}
	return STATUS_OK;
}

/*
 * Fills a message from the body with the worker's name from the path; a name in
 * the body is refused.
 */
static enum status
fill_worker_message(struct parse_ctx *in, ProtobufCMessage *m, struct err *e)
{
	char *name = str_cstr(in->ctx, in->path_id);
	enum status st;

	st = check_name("worker", name, e);
	if (st != STATUS_OK)
		return st;
	if (json_object_object_get_ex(in->json, "name", NULL))
		return err_set(e, STATUS_INVALID,
		    "field \"name\": the path names the worker");
	json_object_object_add(in->json, "name", json_object_new_string(name));
	return pjson_fill(in->ctx, m, in->json, e);
}

/*
 * Refuses a worker without processors or memory, or with more than any real
 * worker has.
 */
static enum status
check_capacity(const Control__WorkerUp *up, struct err *e)
{
	const struct {
		const char *name;
		uint64_t value, min, max;
	} fields[] = {
		{ "cpu_milli", up->cpu_milli, 1, CPU_MILLI_MAX },
		{ "mem_mb", up->mem_mb, 1, MEM_MB_MAX },
		{ "accel", up->accel, 0, ACCEL_MAX },
		{ "slots", up->slots, 0, SLOTS_MAX },
	};
	size_t i;

	for (i = 0; i < sizeof(fields) / sizeof(fields[0]); i++) {
		if (fields[i].value < fields[i].min ||
		    fields[i].value > fields[i].max)
			return err_set(e, STATUS_INVALID,
			    "field \"%s\": expected %llu to %llu",
			    fields[i].name, (unsigned long long)fields[i].min,
			    (unsigned long long)fields[i].max);
	}
	return STATUS_OK;
}

/* Parses the announcement of a worker. */
static enum status
post_worker(struct parse_ctx *in, struct err *e)
{
	Control__WorkerUp *up;
	struct sockaddr_storage ss;
	socklen_t len;
	struct err port;
	enum status st;
	size_t i;

	err_clear(&port);
	up = create_message(in->ctx, &control__worker_up__descriptor);
	in->op->worker_up = up;
	st = fill_worker_message(in, &up->base, e);
	if (st != STATUS_OK)
		return st;
	st = check_capacity(up, e);
	if (st == STATUS_OK)
		st = sock_parse_addr(str_from(up->addr), &ss, &len, e);
	/* Only addresses to listen at may have port 0. */
	if (st == STATUS_OK && !ini_parse_addr(str_from(up->addr), &port))
		st = err_set(
		    e, STATUS_INVALID, "addr: expected a port from 1 to 65535");
	for (i = 0; st == STATUS_OK && i < up->n_serves; i++)
		st = check_name("serves", up->serves[i], e);
	if (st == STATUS_OK && up->rack != NULL)
		st = check_name("rack", up->rack, e);
	if (st == STATUS_OK && up->domain != NULL)
		st = check_name("domain", up->domain, e);
	return st;
}

/* Parses a worker's poll. */
static enum status
post_poll(struct parse_ctx *in, struct err *e)
{
	in->op->worker_poll =
	    create_message(in->ctx, &control__worker_poll__descriptor);
	return fill_worker_message(in, &in->op->worker_poll->base, e);
}

/*
 * Parses a worker's request to leave. It takes no new work but continues what
 * it has, like a drained worker. With "done" it has no tasks and requests left,
 * and its epoch ends.
 */
static enum status
post_leave(struct parse_ctx *in, struct err *e)
{
	Control__WorkerDrain *drain;
	struct json_object *v;
	bool done = false;

	if (json_object_object_get_ex(in->json, "done", &v)) {
		if (!json_object_is_type(v, json_type_boolean))
			return err_set(e, STATUS_INVALID,
			    "field \"done\": expected true or false");
		done = json_object_get_boolean(v);
		json_object_object_del(in->json, "done");
	}
	if (!json_object_object_get_ex(in->json, "incarnation", NULL))
		return err_set(
		    e, STATUS_INVALID, "field \"incarnation\" is missing");
	if (done) {
		in->op->worker_leave =
		    create_message(in->ctx, &control__worker_leave__descriptor);
		return fill_worker_message(in, &in->op->worker_leave->base, e);
	}
	drain = create_message(in->ctx, &control__worker_drain__descriptor);
	in->op->worker_drain = drain;
	return fill_worker_message(in, &drain->base, e);
}

/* Parses the submission of a job. */
static enum status
post_job(struct parse_ctx *in, struct err *e)
{
	Control__JobSubmit *sub;
	enum status st;

	sub = create_message(in->ctx, &control__job_submit__descriptor);
	in->op->job_submit = sub;
	st = pjson_fill(in->ctx, &sub->base, in->json, e);
	if (st != STATUS_OK)
		return st;
	st = check_name("change_id", sub->change_id, e);
	if (st != STATUS_OK)
		return st;
	st = check_name("class_name", sub->spec->class_name, e);
	if (st != STATUS_OK)
		return st;
	if (sub->spec->tasks == 0 || sub->spec->tasks >= 1u << 20)
		return err_set(e, STATUS_INVALID,
		    "field \"tasks\": expected 1 to %u", (1u << 20) - 1);
	return STATUS_OK;
}

/* Parses the cancellation of a job. */
static enum status
delete_job(struct parse_ctx *in, struct err *e)
{
	in->op->job_cancel =
	    create_message(in->ctx, &control__job_cancel__descriptor);
	return parse_id(in, &in->op->job_cancel->job, e);
}

/* Parses the addition of a replica to the group. */
static enum status
post_member(struct parse_ctx *in, struct err *e)
{
	in->op->member_add =
	    create_message(in->ctx, &control__member_add__descriptor);
	return pjson_fill(in->ctx, &in->op->member_add->base, in->json, e);
}

/* Parses the removal of a replica, whose id may use all 64 bits. */
static enum status
delete_member(struct parse_ctx *in, struct err *e)
{
	char *end, *text = str_cstr(in->ctx, in->path_id);

	in->op->member_remove =
	    create_message(in->ctx, &control__member_remove__descriptor);
	if (!isdigit((unsigned char)text[0]))
		return err_set(e, STATUS_INVALID,
		    "path: expected the number of a replica");
	in->op->member_remove->replica = strtoull(text, &end, 10);
	if (*end != '\0')
		return err_set(e, STATUS_INVALID,
		    "path: expected the number of a replica");
	return STATUS_OK;
}

/* Parses a drain: {"worker": NAME} drains a worker, {} this instance. */
static enum status
post_drain(struct parse_ctx *in, struct err *e)
{
	if (json_object_object_length(in->json) == 0) {
		in->out->kind = API_DRAIN;
		return STATUS_OK;
	}
	struct json_object *v;
	if (!json_object_object_get_ex(in->json, "worker", &v) ||
	    !json_object_is_type(v, json_type_string) ||
	    json_object_object_length(in->json) != 1)
		return err_set(e, STATUS_INVALID,
		    "expected {} for this instance or {\"worker\": NAME}");
	in->op->worker_drain =
	    create_message(in->ctx, &control__worker_drain__descriptor);
	in->op->worker_drain->name =
	    str_cstr(in->ctx, str_from(json_object_get_string(v)));
	return check_name("worker", in->op->worker_drain->name, e);
}

/* Selects the answer that this process is alive. */
static enum status
get_health(struct parse_ctx *in, struct err *e)
{
	in->out->kind = API_HEALTH;
	return STATUS_OK;
}

/* Selects the answer whether this instance takes new work. */
static enum status
get_ready(struct parse_ctx *in, struct err *e)
{
	in->out->kind = API_READY;
	return STATUS_OK;
}

/* Selects the counters of this instance as the answer. */
static enum status
get_counters(struct parse_ctx *in, struct err *e)
{
	in->out->kind = API_COUNTERS;
	return STATUS_OK;
}

static const struct route routes[] = {
	{ "GET", "/healthz", API_ROUTE_OTHER, false, get_health },
	{ "GET", "/readyz", API_ROUTE_OTHER, false, get_ready },
	{ "GET", "/v1/counters", API_ROUTE_OTHER, false, get_counters },
	{ "GET", "/v1/classes", API_ROUTE_CLASSES, false, get_classes },
	{ "PUT", "/v1/classes", API_ROUTE_OTHER, true, put_classes },
	{ "GET", "/v1/workers", API_ROUTE_WORKERS, false, get_workers },
	{ "POST", "/v1/workers/*", API_ROUTE_ANNOUNCE, true, post_worker },
	{ "POST", "/v1/workers/*/poll", API_ROUTE_POLL, true, post_poll },
	{ "POST", "/v1/workers/*/leave", API_ROUTE_OTHER, true, post_leave },
	{ "GET", "/v1/instances", API_ROUTE_INSTANCES, false, get_status },
	{ "GET", "/v1/jobs", API_ROUTE_JOBS, false, get_jobs },
	{ "POST", "/v1/jobs", API_ROUTE_OTHER, true, post_job },
	{ "GET", "/v1/jobs/*", API_ROUTE_JOBS, false, get_job },
	{ "DELETE", "/v1/jobs/*", API_ROUTE_OTHER, false, delete_job },
	{ "GET", "/v1/jobs/*/why", API_ROUTE_OTHER, false, get_why },
	{ "GET", "/v1/status", API_ROUTE_STATUS, false, get_status },
	{ "GET", "/v1/members", API_ROUTE_MEMBERS, false, get_members },
	{ "POST", "/v1/members", API_ROUTE_OTHER, true, post_member },
	{ "DELETE", "/v1/members/*", API_ROUTE_OTHER, false, delete_member },
	{ "POST", "/v1/drain", API_ROUTE_OTHER, true, post_drain },
};

/*
 * Matches a path with a pattern in which "*" stands for one segment, which is
 * returned in id.
 */
static bool
match_path(const char *pattern, struct str path, struct str *id)
{
	const char *p = path.p, *end = path.p + path.len;

	for (; *pattern != '\0'; pattern++) {
		if (*pattern != '*') {
			if (p == end || *p != *pattern)
				return false;
			p++;
			continue;
		}
		id->p = p;
		while (p < end && *p != '/')
			p++;
		id->len = (size_t)(p - id->p);
		if (id->len == 0)
			return false;
	}
	return p == end;
}

/*
 * Reads the class name of /svc/CLASS or /svc/CLASS/...; false for other paths.
 */
static bool
parse_service_path(struct str path, struct str *name)
{
	const char *slash;

	if (!str_starts(path, "/svc/"))
		return false;
	*name = str_mem(path.p + 5, path.len - 5);
	slash = name->len == 0 ? NULL : memchr(name->p, '/', name->len);
	if (slash != NULL)
		name->len = (size_t)(slash - name->p);
	return true;
}

/*
 * Parses the body, if the route has one, and the operation. Sets the HTTP
 * status on failure.
 */
static enum status
parse_route(
    const struct route *r, struct parse_ctx *in, struct str body, struct err *e)
{
	enum status st;

	if (r->has_body) {
		in->json = pjson_parse(body, e);
		if (in->json == NULL) {
			in->out->http_status = 400;
			return STATUS_PROTOCOL;
		}
	}
	st = r->parse(in, e);
	if (in->json != NULL)
		json_object_put(in->json);
	if (st != STATUS_OK)
		in->out->http_status = st == STATUS_REFUSED ? 403 : 400;
	return st;
}

/*
 * Translates a request into an operation. On failure out->http_status is set:
 * STATUS_NOT_FOUND (404) and STATUS_REFUSED (405) if there is no such path or
 * method, STATUS_PROTOCOL for a body that is not JSON, STATUS_INVALID for a
 * field.
 */
enum status
api_parse(TALLOC_CTX *ctx, struct str method, struct str path, struct str query,
    struct str body, struct api_req *out, struct err *e)
{
	struct parse_ctx in = { .ctx = ctx, .query = query, .out = out };
	bool known = false;
	size_t i;

	memset(out, 0, sizeof(*out));
	if (parse_service_path(path, &out->class_name)) {
		out->kind = API_SERVICE;
		return STATUS_OK;
	}
	in.op = out->op = create_message(ctx, &control__op__descriptor);
	for (i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		if (!match_path(routes[i].path, path, &in.path_id))
			continue;
		known = true;
		if (!str_eq_c(method, routes[i].method))
			continue;
		out->route = routes[i].route;
		return parse_route(&routes[i], &in, body, e);
	}
	if (known) {
		out->http_status = 405;
		return err_set(
		    e, STATUS_REFUSED, "method is not allowed for this path");
	}
	out->http_status = 404;
	return err_set(e, STATUS_NOT_FOUND, "no such path");
}

/* Returns the HTTP status for a status. */
static int
to_http_status(uint32_t status)
{
	switch (status) {
	case STATUS_OK:
		return 200;
	case STATUS_INVALID:
	case STATUS_PROTOCOL:
		return 400;
	case STATUS_NOT_FOUND:
		return 404;
	case STATUS_CONFLICT:
	case STATUS_EXISTS:
	case STATUS_STALE:
		return 409;
	case STATUS_REFUSED:
		return 403;
	case STATUS_LIMIT:
		return 413;
	case STATUS_NOT_LEADER:
	case STATUS_UNAVAILABLE:
	case STATUS_FULL:
		return 503;
	case STATUS_TIMEOUT:
	case STATUS_UNKNOWN:
		return 504;
	default:
		return 500;
	}
}

/* Returns an object as text and frees it. */
static struct str
to_json_text(TALLOC_CTX *ctx, struct json_object *o)
{
	size_t len;
	const char *text;
	struct str s;

	text = json_object_to_json_string_length(
	    o, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE, &len);
	s = str_dup(ctx, str_mem(text, len));
	json_object_put(o);
	return s;
}

/* Adds a list of another object, or an empty one if it has none. */
static void
add_list(struct json_object *to, struct json_object *from, const char *name)
{
	struct json_object *v;

	if (from != NULL && json_object_object_get_ex(from, name, &v))
		json_object_object_add(to, name, json_object_get(v));
	else
		json_object_object_add(to, name, json_object_new_array());
}

/*
 * Renders a result as JSON. A refusal has the name of its status and a message.
 * Lists appear only on the routes they belong to, even if they are empty.
 */
struct str
api_render(TALLOC_CTX *ctx, enum api_route route, const Control__OpResult *r,
    int *http_status)
{
	static const char *const lists[] = { "orders", "workers", "jobs" };
	struct json_object *o, *all, *sub = NULL;
	size_t i;

	*http_status = to_http_status(r->status);
	all = pjson_render(&r->base);
	for (i = 0; i < sizeof(lists) / sizeof(lists[0]); i++) {
		if ((route == API_ROUTE_POLL && i == 0) ||
		    (route == API_ROUTE_WORKERS && i == 1) ||
		    (route == API_ROUTE_JOBS && i == 2))
			continue;
		json_object_object_del(all, lists[i]);
	}
	json_object_object_del(all, "body");
	o = json_object_new_object();
	json_object_object_add(o, "status",
	    json_object_new_string(status_name((enum status)r->status)));
	json_object_object_foreach(all, name, value)
	{
		if (strcmp(name, "status") == 0 ||
		    strcmp(name, "config") == 0 || strcmp(name, "info") == 0 ||
		    strcmp(name, "members") == 0)
			continue;
		json_object_object_add(o, name, json_object_get(value));
	}
	if (r->status == STATUS_OK && route == API_ROUTE_CLASSES) {
		json_object_object_get_ex(all, "config", &sub);
		add_list(o, sub, "classes");
		add_list(o, sub, "teams");
		if (r->config != NULL)
			json_object_object_add(o, "version",
			    json_object_new_uint64(r->config->version));
	} else if (r->status == STATUS_OK && route == API_ROUTE_INSTANCES) {
		json_object_object_get_ex(all, "info", &sub);
		add_list(o, sub, "instances");
	} else if (r->status == STATUS_OK && route == API_ROUTE_MEMBERS) {
		json_object_object_get_ex(all, "members", &sub);
		add_list(o, sub, "members");
	} else if (json_object_object_get_ex(all, "info", &sub)) {
		json_object_object_foreach(sub, key, item)
		{
			json_object_object_add(o, key, json_object_get(item));
		}
	}
	json_object_put(all);
	return to_json_text(ctx, o);
}

/* Renders a failure that was found on this instance. */
struct str
api_render_error(
    TALLOC_CTX *ctx, enum status st, const char *message, int *http_status)
{
	struct json_object *o = json_object_new_object();

	*http_status = to_http_status(st);
	json_object_object_add(
	    o, "status", json_object_new_string(status_name(st)));
	json_object_object_add(o, "message", json_object_new_string(message));
	return to_json_text(ctx, o);
}
