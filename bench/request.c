/*
 * Measures answer times, refusals and the loss of workers and instances on the
 * model of request_model.h. Prints "name value unit" lines.
 */
#include "request_model.h"

/* Compares two int64_t for qsort. */
static int
compare_int64(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/*
 * Prints the p99 of the answer times, the share within BOUND_MS and the share
 * answered, of urgent requests that arrived in [from, to).
 */
static void
print_answers(const struct model *m, const char *name, int64_t from, int64_t to)
{
	int64_t *v = xrealloc(NULL, (m->nreqs + 1) * sizeof(*v));
	size_t n = 0, all = 0, within = 0, at;

	for (size_t i = 0; i < m->nreqs; i++) {
		const struct req *r = &m->reqs[i];

		if (r->batch || r->arrived_ns < from || r->arrived_ns >= to)
			continue;
		all++;
		if (!r->answered)
			continue;
		v[n++] = r->ended_ns - r->arrived_ns;
		within += r->ended_ns - r->arrived_ns <= BOUND_MS * NS_PER_MS;
	}
	qsort(v, n, sizeof(*v), compare_int64);
	at = n * 99 / 100;
	printf(
	    "request_%s_p99 %.1f ms\n", name, n > 0 ? (double)v[at] / 1e6 : 0);
	printf("request_%s_within_target %.4f share\n", name,
	    all > 0 ? (double)within / (double)all : 0);
	printf("request_%s_answered %.4f share\n", name,
	    all > 0 ? (double)n / (double)all : 0);
	free(v);
}

/* Prints, by reason, the share of requests that were refused. */
static void
print_refusals(const struct model *m, const char *name)
{
	printf("request_%s_worker_full %.5f share\n", name,
	    (double)m->worker_full / (double)m->nreqs);
	for (int i = 1; i < ENG_R_COUNT; i++)
		if (m->reasons[i] > 0)
			printf("request_%s_refused_%s %.5f share\n", name,
			    eng_reason_name((enum eng_reason)i),
			    (double)m->reasons[i] / (double)m->nreqs);
	if (m->policy >= ROUND_ROBIN) {
		printf("request_%s_refused_worker_full %.5f share\n", name,
		    (double)m->refused_naive / (double)m->nreqs);
		printf("request_%s_refused_timeout %.5f share\n", name,
		    (double)m->expired_naive / (double)m->nreqs);
	}
}

/* Compares the policies at several loads, as shares of the capacity. */
static void
bench_loads(void)
{
	static const double loads[] = { 0.5, 0.8, 0.95, 1.5 };
	static const enum policy policies[] = { LEADER_GRANTS, ROUND_ROBIN,
		RANDOM_CHOICE };

	for (size_t i = 0; i < 4; i++)
		for (size_t k = 0; k < 3; k++) {
			struct model *m =
			    model_new(policies[k], loads[i], -1, 10);
			char name[64];

			snprintf(name, sizeof(name), "load%.0f_%s",
			    loads[i] * 100, policy_name[policies[k]]);
			run_until(m, m->end_ns + 2 * TIMEOUT_MS * NS_PER_MS);
			print_answers(m, name, 0, INT64_MAX);
			print_refusals(m, name);
			model_free(m);
		}
}

/* Sends all requests to one instance, with leader and static grants. */
static void
bench_one_instance_loaded(void)
{
	for (int k = LEADER_GRANTS; k <= STATIC_GRANTS; k++) {
		struct model *m = model_new((enum policy)k, 0.5, 0, 10);
		int64_t start = m->now_ns;
		char name[64];

		m->ungranted_slots = 0;
		m->heartbeats = 0;
		snprintf(name, sizeof(name), "skew_%s", policy_name[k]);
		run_until(m, m->end_ns + 2 * TIMEOUT_MS * NS_PER_MS);
		print_answers(m, name, 0, INT64_MAX);
		print_refusals(m, name);
		printf("request_%s_stranded %.1f slots\n", name,
		    m->ungranted_slots / m->heartbeats);
		snprintf(name, sizeof(name), "skew_settled_%s", policy_name[k]);
		print_answers(m, name, start + 5000 * NS_PER_MS, INT64_MAX);
		model_free(m);
	}
}

/*
 * Measures urgent requests while batch requests come at twice the rate that the
 * workers can serve.
 */
static void
bench_mixed(void)
{
	struct model *m = model_new(LEADER_GRANTS, 0.3, -1, 10);
	int64_t from = m->now_ns + 2000 * NS_PER_MS;
	size_t answered = 0;

	m->batch_per_s = 2 * WORKERS * SLOTS * 1000.0 / BATCH_MS;
	push_event(m,
	    (struct event){ .at_ns = m->now_ns, .kind = K_ARRIVE, .ok = true });
	run_until(m, m->end_ns + 2 * TIMEOUT_MS * NS_PER_MS);
	print_answers(m, "mixed_urgent", from, INT64_MAX);
	for (size_t i = 0; i < m->nreqs; i++)
		answered += m->reqs[i].batch && m->reqs[i].answered;
	printf(
	    "request_mixed_batch_answered %.0f per_s\n", (double)answered / 10);
	model_free(m);
}

/* Measures how long a worker that stopped answering still gets requests. */
static void
bench_silent_worker(void)
{
	static const enum policy policies[] = { LEADER_GRANTS, ROUND_ROBIN };

	for (size_t k = 0; k < 2; k++) {
		struct model *m = model_new(policies[k], 0.7, -1, 20);
		int64_t from = m->now_ns + 5000 * NS_PER_MS, worst = 0;
		size_t failed = 0;
		const char *p = policy_name[policies[k]];

		run_until(m, from);
		m->silent[0] = true;
		run_until(m, m->end_ns + 2 * TIMEOUT_MS * NS_PER_MS);
		for (size_t i = 0; i < m->nreqs; i++) {
			const struct req *r = &m->reqs[i];

			if (r->ended_ns < from)
				continue;
			if (r->answered && r->ended_ns - r->arrived_ns > worst)
				worst = r->ended_ns - r->arrived_ns;
			failed += r->arrived_ns >= from && !r->answered;
		}
		printf("request_silent_%s_out_of_use %.0f ms\n", p,
		    (double)(m->last_sent_ns[0] - from) / 1e6);
		printf("request_silent_%s_sent_to_it %zu requests\n", p,
		    m->sent_silent);
		printf("request_silent_%s_worst_answer %.0f ms\n", p,
		    (double)worst / 1e6);
		printf(
		    "request_silent_%s_unanswered %zu requests\n", p, failed);
		model_free(m);
	}
}

/*
 * Measures the loss of all workers of a rack, or else of an instance, before,
 * during and after it.
 */
static void
bench_loss(bool rack)
{
	struct model *m = model_new(LEADER_GRANTS, 0.7, -1, 20);
	int64_t start = m->now_ns, from = start + 5000 * NS_PER_MS;
	const char *what = rack ? "rack" : "instance";
	char name[64];

	run_until(m, from);
	if (rack)
		for (int i = 0; i < RACK_WORKERS; i++)
			m->silent[i] = true;
	else
		m->inst[0].alive = false;
	run_until(m, m->end_ns + 2 * TIMEOUT_MS * NS_PER_MS);
	snprintf(name, sizeof(name), "%s_loss_before", what);
	/* Requests that were running at the loss count as during it. */
	print_answers(m, name, start, from - TIMEOUT_MS * NS_PER_MS);
	snprintf(name, sizeof(name), "%s_loss_during", what);
	print_answers(
	    m, name, from - TIMEOUT_MS * NS_PER_MS, from + 5000 * NS_PER_MS);
	snprintf(name, sizeof(name), "%s_loss_after", what);
	print_answers(m, name, from + 5000 * NS_PER_MS, INT64_MAX);
	snprintf(name, sizeof(name), "%s_loss", what);
	print_refusals(m, name);
	model_free(m);
}

int
main(void)
{
	bench_loads();
	bench_one_instance_loaded();
	bench_mixed();
	bench_silent_worker();
	bench_loss(false);
	bench_loss(true);
	return 0;
}
