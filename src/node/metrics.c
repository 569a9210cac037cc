#include "node/metrics.h"

#include <inttypes.h>
#include <stdlib.h>

#include "node/sock.h"

#define METRICS_CONNECTIONS_MAX 16
#define METRICS_BODY_MAX_BYTES	1024

struct metrics {
	const struct ctr_set *ctr[METRICS_MAX];
	size_t nctr;
	const struct hist *hist[METRICS_MAX];
	const char *hist_names[METRICS_MAX];
	size_t nhist;
	const char *gauge_names[METRICS_MAX];
	size_t (*gauges[METRICS_MAX])(const void *);
	const void *gauge_args[METRICS_MAX];
	size_t ngauges;
	struct front *front;
};

/* Adds a counter set. */
void
metrics_add_counters(struct metrics *m, const struct ctr_set *c)
{
	if (m->nctr == METRICS_MAX)
		abort();
	m->ctr[m->nctr++] = c;
}

/* Adds a histogram under a name. */
void
metrics_add_hist(struct metrics *m, const char *name, const struct hist *h)
{
	if (m->nhist == METRICS_MAX)
		abort();
	m->hist_names[m->nhist] = name;
	m->hist[m->nhist++] = h;
}

/* Adds a value that is read by a function. */
static void
add_gauge(struct metrics *m, const char *name, size_t (*read)(const void *),
    const void *arg)
{
	if (m->ngauges == METRICS_MAX)
		abort();
	m->gauge_names[m->ngauges] = name;
	m->gauges[m->ngauges] = read;
	m->gauge_args[m->ngauges++] = arg;
}

/* Returns a value that is kept as a size_t. */
static size_t
read_value(const void *value)
{
	return *(const size_t *)value;
}

/* Adds a value that may rise and fall, under a name. */
void
metrics_add_gauge(struct metrics *m, const char *name, const size_t *value)
{
	add_gauge(m, name, read_value, value);
}

/* Return the bytes reserved in an account, now and at most. */
static size_t
read_reserved(const void *account)
{
	return memacct_total(account);
}

static size_t
read_reserved_peak(const void *account)
{
	return memacct_peak(account);
}

/* Appends a histogram to the text t; NULL if there is no memory. */
static char *
append_hist(char *t, const char *name, const struct hist *h)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < HIST_BOUNDS; i++) {
		sum += h->buckets[i];
		t = talloc_asprintf_append_buffer(t,
		    "cicadabay_%s_ms_bucket{le=\"%" PRId64 "\"} %" PRIu64 "\n",
		    name, hist_bound_ms[i], sum);
	}
	return talloc_asprintf_append_buffer(t,
	    "cicadabay_%s_ms_bucket{le=\"+Inf\"} %" PRIu64
	    "\ncicadabay_%s_ms_sum %" PRId64 "\ncicadabay_%s_ms_count %" PRIu64
	    "\n",
	    name, h->count, name, h->sum_ms, name, h->count);
}

/* Returns all counters, histograms and gauges as text. */
struct str
metrics_text(TALLOC_CTX *ctx, const struct metrics *m)
{
	char *t = talloc_strdup(ctx, "");
	size_t i, k;

	for (i = 0; i < m->nctr; i++) {
		for (k = 0; k < m->ctr[i]->ncounters; k++)
			t = talloc_asprintf_append_buffer(t,
			    "cicadabay_%s_total %" PRIu64 "\n",
			    m->ctr[i]->desc[k].name, ctr_get(m->ctr[i], k));
	}
	for (i = 0; i < m->ngauges; i++)
		t = talloc_asprintf_append_buffer(t, "cicadabay_%s %zu\n",
		    m->gauge_names[i], m->gauges[i](m->gauge_args[i]));
	for (i = 0; i < m->nhist; i++)
		t = append_hist(t, m->hist_names[i], m->hist[i]);
	if (t == NULL)
		abort();
	return str_from(t);
}

/* Answers any request with the metrics. */
static void
on_request(void *arg, struct front_req *req)
{
	struct front_header h = { str_from("Content-Type"),
		str_from("text/plain; version=0.0.4") };
	struct str text = metrics_text(req, arg);
	struct front_reply r = { 200, &h, 1, text };

	front_answer(req, &r);
}

/* Ignored: requests are answered at once. */
static void
on_client_gone(void *arg, struct front_req *req)
{
}

/* Starts to serve metrics; NULL with e set if it cannot listen on addr. */
struct metrics *
metrics_new(TALLOC_CTX *ctx, struct tevent_context *ev, struct str addr,
    struct ctr_set *ctr, struct memacct *account, struct err *e)
{
	struct metrics *m = talloc_zero(ctx, struct metrics);
	struct front_conf fc = { 0 };

	if (m == NULL)
		abort();
	if (account != NULL) {
		add_gauge(m, "memory_reserved_bytes", read_reserved, account);
		add_gauge(m, "memory_reserved_peak_bytes", read_reserved_peak,
		    account);
	}
	if (addr.len == 0)
		return m;
	fc.listen_fd = sock_listen(addr, false, e);
	if (fc.listen_fd < 0) {
		talloc_free(m);
		return NULL;
	}
	fc.body_max = METRICS_BODY_MAX_BYTES;
	fc.connections_max = METRICS_CONNECTIONS_MAX;
	fc.ctr = ctr;
	fc.account = account;
	fc.use = MEMACCT_METRICS;
	fc.name = "metrics";
	fc.on_request = on_request;
	fc.on_client_gone = on_client_gone;
	fc.arg = m;
	m->front = front_new(m, ev, &fc, e);
	if (m->front == NULL)
		TALLOC_FREE(m);
	return m;
}
