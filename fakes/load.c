/*
 * Sends a fixed number of HTTP requests to several instances. Every request
 * has its name in its path and checks that the answer repeats that path.
 * Prints figures as "name value" lines; exits with 1 if an answer was wrong.
 *
 * Ledger lines: name keyed|plain method outcome reason milliseconds
 */
#include <curl/curl.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <tevent.h>
#include <unistd.h>

#include "base/clk.h"
#include "base/rng.h"
#include "node/back.h"
#include "node/nctr.h"

#define GRACE_MS    5000 /* after the request timeout, then a call is aborted */
#define RETRY_MS    300
#define REASONS_MAX 64
#define PACING_MS   5 /* between checks of the rate */

struct opts {
	char *instances, *class_name, *ledger, *prefix;
	int count, concurrency, rate, keyed, idempotent, timeout_ms, seed;
	int direct;
	int retry_s;
};

struct request {
	int number;
	bool keyed, get;
	bool maybe_ran;	 /* a connection broke after bytes were sent */
	unsigned target; /* next instance to ask, modulo ninstances */
	unsigned tries;
	struct back_call *call;
	struct tevent_timer *timer;
	struct timespec start;
	char name[96], path[192], key[128];
};

struct reason {
	char name[64];
	int n;
};

static struct opts opt = { .class_name = NULL,
	.count = 100,
	.concurrency = 8,
	.keyed = 50,
	.timeout_ms = 5000,
	.retry_s = 40,
	.seed = 1 };
static struct tevent_context *ev;
static struct clk the_clock;
static struct ctr_set ctr;
static struct back *back;
static struct rng rng;
static char **instances;
static unsigned ninstances;
static FILE *ledger;
/* Numbers of requests, and of retries. */
static int started, ended, answered, not_run, unknown, wrong, retried;
static struct reason reasons[REASONS_MAX];
static double *answer_ms; /* by order of the answers */
static struct timespec started_at;

static void request_send(struct request *);
static void start_requests(void);

/* Returns the time in ms milliseconds as a timer takes it. */
static struct timeval
in_ms(int64_t ms)
{
	return tevent_timeval_current_ofs(
	    (uint32_t)(ms / 1000), (uint32_t)(ms % 1000) * 1000);
}

/* Counts an outcome and reason; those beyond REASONS_MAX are dropped. */
static void
reason_count(const char *kind, const char *name)
{
	char full[64];
	size_t i;

	snprintf(full, sizeof(full), "%s %s", kind, name);
	for (i = 0; i < REASONS_MAX; i++) {
		if (reasons[i].n == 0)
			memcpy(reasons[i].name, full, sizeof(full));
		if (strcmp(reasons[i].name, full) == 0) {
			reasons[i].n++;
			return;
		}
	}
}

/* Records the outcome of a request, frees it and starts further ones. */
static void
request_end(struct request *r, const char *outcome, const char *reason)
{
	double ms =
	    (double)clk_diff_ns(clk_now(&the_clock), r->start) / CLK_NS_PER_MS;

	if (strcmp(outcome, "answered") == 0) {
		answer_ms[answered++] = ms;
	} else if (strcmp(outcome, "not-run") == 0) {
		not_run++;
		reason_count("not_run", reason);
	} else if (strcmp(outcome, "wrong") == 0) {
		wrong++;
	} else {
		unknown++;
		reason_count("unknown", reason);
	}
	if (ledger != NULL)
		fprintf(ledger, "%s %s %s %s %s %.2f\n", r->name,
		    r->keyed ? "keyed" : "plain", r->get ? "GET" : "POST",
		    outcome, reason, ms);
	ended++;
	talloc_free(r);
	start_requests();
}

/* Sends a request again. */
static void
on_retry(struct tevent_context *c, struct tevent_timer *te, struct timeval tv,
    void *arg)
{
	struct request *r = arg;

	r->timer = NULL;
	request_send(r);
}

/*
 * Schedules a retry on the next instance. Returns false if the time for retries
 * is over.
 */
static bool
request_retry(struct request *r, int64_t wait_ms)
{
	if (clk_diff_ms(clk_now(&the_clock), r->start) > opt.retry_s * 1000LL)
		return false;
	retried++;
	r->target++;
	r->tries++;
	TALLOC_FREE(r->timer);
	r->timer = tevent_add_timer(ev, r, in_ms(wait_ms), on_retry, r);
	return true;
}

/*
 * Handles a call that failed; sent tells whether bytes had left, after which
 * the outcome is unknown. A request with a key is retried on another instance;
 * one without only if it was never sent.
 */
static void
request_call_failed(struct request *r, bool sent)
{
	r->maybe_ran |= sent;
	if ((r->keyed || !sent) && request_retry(r, sent ? 0 : RETRY_MS / 3))
		return;
	if (r->maybe_ran)
		request_end(r, "unknown", "connection");
	else
		request_end(r, "not-run", "no-instance");
}

/* Returns the value of a header of an answer, or an empty string. */
static struct str
answer_header(const struct back_answer *a, const char *name)
{
	size_t i;

	for (i = 0; i < a->nheaders; i++) {
		if (a->headers[i].name.len == strlen(name) &&
		    strncasecmp(a->headers[i].name.p, name, strlen(name)) == 0)
			return a->headers[i].value;
	}
	return str_from("");
}

/* Decides from an answer whether a request has ended or is retried. */
static void
on_done(void *arg, void *user, const struct back_answer *a)
{
	struct request *r = user;
	struct str outcome = answer_header(a, "Cicadabay-Outcome");
	struct str reason = answer_header(a, "Cicadabay-Reason");
	char text[64], *body;
	bool is_own;

	r->call = NULL;
	TALLOC_FREE(r->timer);
	snprintf(text, sizeof(text), STR_FMT, STR_ARG(reason));
	if (str_eq_c(outcome, "answered") || (opt.direct && a->status == 200)) {
		body = str_cstr(r, a->body);
		is_own = strstr(body, r->path) != NULL;
		request_end(r, is_own ? "answered" : "wrong", "-");
		return;
	}
	/* The first attempt may still be running: waits for its answer. */
	if (r->keyed && r->maybe_ran && strstr(text, "key_running") != NULL &&
	    request_retry(r, RETRY_MS))
		return;
	if (str_eq_c(outcome, "not-run") && !r->maybe_ran) {
		request_end(r, "not-run", text);
		return;
	}
	if (str_eq_c(outcome, "not-run") && r->keyed &&
	    request_retry(r, RETRY_MS))
		return;
	request_end(r, "unknown", text[0] != '\0' ? text : "no-outcome");
}

/* Handles a call that got no answer. */
static void
on_failed(void *arg, void *user, enum back_fail kind, bool sent)
{
	struct request *r = user;

	r->call = NULL;
	TALLOC_FREE(r->timer);
	request_call_failed(r, sent);
}

/* Does nothing when the bytes of a request have been sent. */
static void
on_sent(void *arg, void *user)
{
	(void)arg;
	(void)user;
}

/* Aborts a call that got no answer in time. */
static void
on_timeout(struct tevent_context *c, struct tevent_timer *te, struct timeval tv,
    void *arg)
{
	struct request *r = arg;

	r->timer = NULL;
	back_abort(r->call);
	r->call = NULL;
	request_call_failed(r, true);
}

/* Sends a request to its current target instance. */
static void
request_send(struct request *r)
{
	struct front_header h[3];
	struct back_req b;
	char limit[32];

	memset(&b, 0, sizeof(b));
	snprintf(limit, sizeof(limit), "%d", opt.timeout_ms);
	h[0].name = str_from("Request-Timeout-Ms");
	h[0].value = str_from(limit);
	h[1].name = str_from("Content-Type");
	h[1].value = str_from("text/plain");
	h[2].name = str_from("Idempotency-Key");
	h[2].value = str_from(r->key);
	b.addr = str_from(instances[r->target % ninstances]);
	b.method = str_from(r->get ? "GET" : "POST");
	b.target = str_from(r->path);
	b.body = str_from(r->get ? "" : r->name);
	b.headers = h;
	b.nheaders = r->keyed ? 3 : 2;
	b.max_connections = (unsigned)opt.concurrency + 1;
	b.reuse_without_echo = true;
	b.all_headers = true;
	b.user = r;
	r->call = back_start(back, &b);
	r->timer = tevent_add_timer(
	    ev, r, in_ms(opt.timeout_ms + GRACE_MS), on_timeout, r);
}

/* Starts a new request with random properties at a random instance. */
static void
request_start(void)
{
	struct request *r = talloc_zero(NULL, struct request);

	r->number = started++;
	r->keyed = (int)rng_below(&rng, 100) < opt.keyed;
	r->get = !r->keyed && (int)rng_below(&rng, 100) < opt.idempotent;
	r->target = (unsigned)rng_below(&rng, ninstances);
	r->start = clk_now(&the_clock);
	snprintf(r->name, sizeof(r->name), "%s-%d",
	    opt.prefix ? opt.prefix : "q", r->number);
	snprintf(
	    r->path, sizeof(r->path), "/svc/%s/%s/.", opt.class_name, r->name);
	snprintf(r->key, sizeof(r->key), "key-%s", r->name);
	request_send(r);
}

/* Starts the requests that the concurrency and the rate allow. */
static void
start_requests(void)
{
	int64_t ms = clk_diff_ms(clk_now(&the_clock), started_at);

	while (started < opt.count && started - ended < opt.concurrency &&
	    (opt.rate <= 0 || started <= ms * opt.rate / 1000))
		request_start();
}

/* Starts requests as the rate allows, every PACING_MS. */
static void
on_pacing(struct tevent_context *c, struct tevent_timer *te, struct timeval tv,
    void *arg)
{
	start_requests();
	tevent_add_timer(ev, ev, in_ms(PACING_MS), on_pacing, NULL);
}

/* Compares two doubles for qsort. */
static int
compare_double(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/* Returns a quantile of the sorted answer times in milliseconds. */
static double
quantile(double q)
{
	size_t i;

	if (answered == 0)
		return 0;
	i = (size_t)(q * (answered - 1) + 0.5);
	return answer_ms[i];
}

/* Prints the figures of the run. */
static void
print_report(void)
{
	size_t i;

	qsort(answer_ms, (size_t)answered, sizeof(*answer_ms), compare_double);
	printf("asked %d\nanswered %d\nnot_run %d\nunknown %d\nwrong %d\n",
	    ended, answered, not_run, unknown, wrong);
	printf("retried %d\n", retried);
	for (i = 0; i < REASONS_MAX && reasons[i].n > 0; i++)
		printf("%s %d\n", reasons[i].name, reasons[i].n);
	printf("p50_ms %.2f\np99_ms %.2f\np999_ms %.2f\n", quantile(0.50),
	    quantile(0.99), quantile(0.999));
}

static GOptionEntry option_entries[] = {
	{ "instances", 0, 0, G_OPTION_ARG_STRING, &opt.instances,
	    "addresses of instances, joined by commas", "A,B" },
	{ "class", 0, 0, G_OPTION_ARG_STRING, &opt.class_name,
	    "class of the requests", "NAME" },
	{ "count", 0, 0, G_OPTION_ARG_INT, &opt.count, "number of requests",
	    "N" },
	{ "concurrency", 0, 0, G_OPTION_ARG_INT, &opt.concurrency,
	    "requests at once", "N" },
	{ "rate", 0, 0, G_OPTION_ARG_INT, &opt.rate,
	    "requests a second, 0: limited by --concurrency", "N" },
	{ "direct", 0, 0, G_OPTION_ARG_NONE, &opt.direct,
	    "addresses are of workers: accept any status 200", NULL },
	{ "keyed", 0, 0, G_OPTION_ARG_INT, &opt.keyed,
	    "percentage with an idempotency key", "N" },
	{ "idempotent", 0, 0, G_OPTION_ARG_INT, &opt.idempotent,
	    "percentage of the others that are GET", "N" },
	{ "timeout-ms", 0, 0, G_OPTION_ARG_INT, &opt.timeout_ms,
	    "timeout of a request", "MS" },
	{ "retry-s", 0, 0, G_OPTION_ARG_INT, &opt.retry_s,
	    "time after which a request is not retried", "S" },
	{ "prefix", 0, 0, G_OPTION_ARG_STRING, &opt.prefix,
	    "prefix of the names of requests", "NAME" },
	{ "ledger", 0, 0, G_OPTION_ARG_FILENAME, &opt.ledger,
	    "file to write one line per request to", "FILE" },
	{ "seed", 0, 0, G_OPTION_ARG_INT, &opt.seed,
	    "seed of the random numbers", "N" },
	{ NULL, 0, 0, 0, NULL, NULL, NULL },
};

/*
 * Reads the command line into opt; prints an error and returns false if it is
 * wrong.
 */
static bool
parse_options(int argc, char **argv)
{
	GOptionContext *c = g_option_context_new("- load on instances");
	GError *ge = NULL;

	g_option_context_add_main_entries(c, option_entries, NULL);
	if (!g_option_context_parse(c, &argc, &argv, &ge)) {
		fprintf(stderr, "%s\n", ge->message);
		return false;
	}
	g_option_context_free(c);
	if (opt.instances == NULL || opt.class_name == NULL || opt.count < 1 ||
	    opt.concurrency < 1) {
		fprintf(stderr,
		    "--instances and --class are required; --count and "
		    "--concurrency must be at least 1\n");
		return false;
	}
	instances = g_strsplit(opt.instances, ",", -1);
	ninstances = g_strv_length(instances);
	return true;
}

/* Sends the requests and prints the results. */
int
main(int argc, char **argv)
{
	struct back_conf bc = { &ctr, on_sent, on_done, on_failed, NULL };

	if (!parse_options(argc, argv))
		return 2;
	if (opt.ledger != NULL && (ledger = fopen(opt.ledger, "we")) == NULL) {
		perror(opt.ledger);
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	the_clock = clk_system();
	rng_init(&rng, (uint64_t)opt.seed);
	ev = tevent_context_init(NULL);
	ctr_init(&ctr, ev, nctr_desc, NCTR_COUNT);
	back = back_new(ev, ev, &bc);
	answer_ms = talloc_array(ev, double, (size_t)opt.count);
	started_at = clk_now(&the_clock);
	on_pacing(ev, NULL, tevent_timeval_zero(), NULL);
	while (ended < opt.count) {
		if (tevent_loop_once(ev) != 0)
			return 2;
	}
	print_report();
	if (ledger != NULL)
		fclose(ledger);
	return wrong > 0 ? 1 : 0;
}
