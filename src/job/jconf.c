#include "job/jconf.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* Digits of a job's id, which follows the prefix of its queue. */
#define ID_DIGITS 16

/* Starts an empty report whose memory is owned by ctx. */
void
jconf_report_init(struct jconf_report *r, TALLOC_CTX *ctx)
{
	memset(r, 0, sizeof(*r));
	r->ctx = ctx;
}

/* Adds a finding. */
static void __attribute__((format(printf, 3, 4)))
add(struct jconf_report *r, enum jconf_level level, const char *fmt, ...)
{
	va_list ap;
	char *text;

	va_start(ap, fmt);
	text = talloc_vasprintf(r->ctx, fmt, ap);
	va_end(ap);
	r->v = talloc_realloc(r->ctx, r->v, struct jconf_finding, r->n + 1);
	if (r->v == NULL || text == NULL)
		abort();
	r->v[r->n].level = level;
	r->v[r->n++].text = text;
	r->nerrors += level == JCONF_ERROR;
}

/* Returns the queue with a name, or NULL. */
static const Job__Queue *
find_queue(const Job__Config *c, const char *name)
{
	size_t i;

	for (i = 0; i < c->n_queues; i++) {
		if (strcmp(c->queues[i]->name, name) == 0)
			return c->queues[i];
	}
	return NULL;
}

/* Returns the first service with a name, or NULL. */
static const Job__Service *
find_service(const Job__Config *c, const char *name)
{
	size_t i;

	for (i = 0; i < c->n_services; i++) {
		if (strcmp(c->services[i]->name, name) == 0)
			return c->services[i];
	}
	return NULL;
}

/* Tells whether a path may contain all characters of a prefix. */
static bool
is_path(const char *prefix)
{
	for (; *prefix != '\0'; prefix++) {
		if (*prefix <= ' ' || *prefix > '~' || *prefix == '#' ||
		    *prefix == '?')
			return false;
	}
	return true;
}

/* Adds why no request can match a queue. */
static void
check_match(struct jconf_report *r, const Job__Queue *q,
    const struct jconf_bounds *bounds)
{
	if (strchr(q->host, ':') != NULL)
		add(r, JCONF_ERROR,
		    "queue %s: can never match: its host \"%s\" has a port, "
		    "which is removed from requests before hosts are compared",
		    q->name, q->host);
	if (q->prefix[0] != '/')
		add(r, JCONF_ERROR,
		    "queue %s: can never match: its prefix \"%s\" doesn't "
		    "begin with /",
		    q->name, q->prefix);
	else if (!is_path(q->prefix))
		add(r, JCONF_ERROR,
		    "queue %s: can never match: its prefix \"%s\" has "
		    "characters that no path has",
		    q->name, q->prefix);
	if (strlen(q->prefix) + ID_DIGITS > bounds->path_max)
		add(r, JCONF_ERROR,
		    "queue %s: can never match: its prefix and a job's id are "
		    "longer than the %zu bytes that a path may have",
		    q->name, bounds->path_max);
}

/* Adds the limits of a queue that contradict each other. */
static void
check_queue_limits(
    struct jconf_report *r, const Job__Queue *q, uint32_t timeout_ms)
{
	const Job__Advice *a = q->advice;

	if (timeout_ms > 0 && q->target_ms > timeout_ms)
		add(r, JCONF_WARNING,
		    "queue %s: its objective of %u ms is beyond its timeout "
		    "of %u ms",
		    q->name, q->target_ms, timeout_ms);
	if (q->stretch_milli > 0 && q->stretch_milli < 1000)
		add(r, JCONF_WARNING,
		    "queue %s: a stretch of %u.%03u asks for jobs that are "
		    "shorter than their critical path",
		    q->name, q->stretch_milli / 1000, q->stretch_milli % 1000);
	if (a != NULL && a->valid_ms <= (uint64_t)a->decide_ms + a->each_ms)
		add(r, JCONF_WARNING,
		    "queue %s: a ticket is valid for %u ms, and advice for one "
		    "worker takes %u ms: no start can carry a valid one",
		    q->name, a->valid_ms, a->decide_ms + a->each_ms);
}

/* Adds what is wrong with a queue's service. */
static void
check_queue_service(
    struct jconf_report *r, const Job__Config *c, const Job__Queue *q)
{
	const Job__Service *s = find_service(c, q->service);

	if (s != NULL && s->spare)
		add(r, JCONF_WARNING,
		    "queue %s: the machines of its service %s are off: its "
		    "jobs wait until some are moved there",
		    q->name, s->name);
}

/* Adds what is wrong with a service. */
static void
check_service(
    struct jconf_report *r, const Job__Config *c, const Job__Service *s)
{
	size_t i;

	if (find_service(c, s->name) != s) {
		add(r, JCONF_ERROR, "service %s: listed twice", s->name);
		return;
	}
	for (i = 0; i < c->n_queues; i++) {
		if (strcmp(c->queues[i]->service, s->name) == 0)
			return;
	}
	if (!s->spare)
		add(r, JCONF_WARNING,
		    "service %s: no queue names it, so its workers get no work",
		    s->name);
}

/* Adds what is wrong with a configuration. */
void
jconf_check(struct jconf_report *r, const Job__Config *c,
    const struct jconf_limits *limits, const struct jconf_bounds *bounds)
{
	size_t i;

	for (i = 0; i < c->n_queues; i++) {
		const Job__Queue *q = c->queues[i];

		if (find_queue(c, q->name) != q)
			add(r, JCONF_ERROR, "queue %s: listed twice", q->name);
		check_match(r, q, bounds);
		check_queue_limits(r, q, limits->timeout_ms[i]);
		check_queue_service(r, c, q);
	}
	for (i = 0; i < c->n_services; i++)
		check_service(r, c, c->services[i]);
	if (c->max_body > bounds->body_max)
		add(r, JCONF_WARNING,
		    "limits: bodies of %u bytes are allowed, entry instances "
		    "refuse more than %zu",
		    c->max_body, bounds->body_max);
	if (limits->idle_timeout_ms > 0 &&
	    limits->header_timeout_ms > limits->idle_timeout_ms)
		add(r, JCONF_WARNING,
		    "limits: headers may take %u ms, but a connection is "
		    "closed after %u ms without progress",
		    limits->header_timeout_ms, limits->idle_timeout_ms);
}

/* Adds a changed text of an entry. */
static void
compare_text(struct jconf_report *r, const char *entry, const char *field,
    const char *old, const char *new)
{
	if (strcmp(old, new) != 0)
		add(r, JCONF_CHANGE, "%s: %s \"%s\" becomes \"%s\"", entry,
		    field, old, new);
}

/* Adds a changed number of an entry. */
static void
compare_number(struct jconf_report *r, const char *entry, const char *field,
    uint32_t old, uint32_t new)
{
	if (old != new)
		add(r, JCONF_CHANGE, "%s: %s %u becomes %u", entry, field, old,
		    new);
}

/* Adds the changes of a queue that both configurations have. */
static void
compare_queue(
    struct jconf_report *r, const Job__Queue *old, const Job__Queue *new)
{
	static const Job__Advice none = JOB__ADVICE__INIT;
	const Job__Advice *a = old->advice == NULL ? &none : old->advice;
	const Job__Advice *b = new->advice == NULL ? &none : new->advice;
	const char *e = talloc_asprintf(r->ctx, "queue %s", new->name);

	if (e == NULL)
		abort();
	compare_text(r, e, "host", old->host, new->host);
	compare_text(r, e, "prefix", old->prefix, new->prefix);
	compare_text(r, e, "service", old->service, new->service);
	compare_number(r, e, "priority", old->priority, new->priority);
	compare_number(r, e, "attempts", old->max_attempts, new->max_attempts);
	compare_number(r, e, "objective in ms", old->target_ms, new->target_ms);
	compare_number(r, e, "stretch in thousandths", old->stretch_milli,
	    new->stretch_milli);
	compare_number(
	    r, e, "advice, decision in ms", a->decide_ms, b->decide_ms);
	compare_number(
	    r, e, "advice, for each worker in ms", a->each_ms, b->each_ms);
	compare_number(
	    r, e, "advice, validity in ms", a->valid_ms, b->valid_ms);
}

/* Adds the changes of a service that both configurations have. */
static void
compare_service(
    struct jconf_report *r, const Job__Service *old, const Job__Service *new)
{
	const char *e = talloc_asprintf(r->ctx, "service %s", new->name);

	if (e == NULL)
		abort();
	compare_number(r, e, "guarded", old->guarded, new->guarded);
	compare_number(r, e, "spare", old->spare, new->spare);
}

/* Adds what differs from the configuration in force. */
void
jconf_compare(
    struct jconf_report *r, const Job__Config *in_force, const Job__Config *new)
{
	size_t i;

	if (new->version <= in_force->version)
		add(r, JCONF_ERROR,
		    "version %" PRIu64 " isn't higher than %" PRIu64
		    " in force: it would be acknowledged and change nothing",
		    new->version, in_force->version);
	for (i = 0; i < in_force->n_queues; i++) {
		if (find_queue(new, in_force->queues[i]->name) == NULL)
			add(r, JCONF_CHANGE, "queue %s: removed",
			    in_force->queues[i]->name);
	}
	for (i = 0; i < new->n_queues; i++) {
		const Job__Queue *old =
		    find_queue(in_force, new->queues[i]->name);

		if (old == NULL)
			add(r, JCONF_CHANGE, "queue %s: added",
			    new->queues[i]->name);
		else
			compare_queue(r, old, new->queues[i]);
	}
	for (i = 0; i < in_force->n_services; i++) {
		if (find_service(new, in_force->services[i]->name) == NULL)
			add(r, JCONF_CHANGE, "service %s: removed",
			    in_force->services[i]->name);
	}
	for (i = 0; i < new->n_services; i++) {
		const Job__Service *old =
		    find_service(in_force, new->services[i]->name);

		if (old == NULL)
			add(r, JCONF_CHANGE, "service %s: added",
			    new->services[i]->name);
		else
			compare_service(r, old, new->services[i]);
	}
	compare_number(
	    r, "limits", "body in bytes", in_force->max_body, new->max_body);
}
