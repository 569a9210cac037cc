/*
 * Answer times, refusals and behaviour under loss on the model of
 * request_model.h. Prints "name value unit".
 */
#include "request_model.h"

static int
by_value(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/* p99 of the answered and share of all within the bound, of requests that
 * arrived in [from, to). */
static void
report(const struct model *m, const char *name, int64_t from, int64_t to)
{
	int64_t *v = grow(NULL, (m->nreqs + 1) * sizeof(*v));
	size_t n = 0, all = 0, within = 0, at;

	for (size_t i = 0; i < m->nreqs; i++) {
		const struct req *r = &m->reqs[i];

		if (r->batch || r->arrived < from || r->arrived >= to)
			continue;
		all++;
		if (!r->answered)
			continue;
		v[n++] = r->ended - r->arrived;
		within += r->ended - r->arrived <= BOUND_MS * MS;
	}
	qsort(v, n, sizeof(*v), by_value);
	at = n * 99 / 100;
	printf(
	    "request_%s_p99 %.1f ms\n", name, n > 0 ? (double)v[at] / 1e6 : 0);
	printf("request_%s_within_target %.4f share\n", name,
	    all > 0 ? (double)within / (double)all : 0);
	printf("request_%s_answered %.4f share\n", name,
	    all > 0 ? (double)n / (double)all : 0);
	free(v);
}

static void
refusals(const struct model *m, const char *name)
{
	printf("request_%s_worker_full %.5f share\n", name,
	    (double)m->full / (double)m->nreqs);
	for (int i = 1; i < ENG_R_COUNT; i++)
		if (m->reasons[i] > 0)
			printf("request_%s_refused_%s %.5f share\n", name,
			    eng_reason_name((enum eng_reason)i),
			    (double)m->reasons[i] / (double)m->nreqs);
	if (m->policy >= ROBIN) {
		printf("request_%s_refused_worker_full %.5f share\n", name,
		    (double)m->refused_naive / (double)m->nreqs);
		printf("request_%s_refused_timeout %.5f share\n", name,
		    (double)m->expired_naive / (double)m->nreqs);
	}
}

static void
bench_load(void)
{
	static const double loads[] = { 0.5, 0.8, 0.95, 1.5 };
	static const enum policy policies[] = { OURS, ROBIN, RANDOM };

	for (size_t i = 0; i < 4; i++)
		for (size_t k = 0; k < 3; k++) {
			struct model *m =
			    model_new(policies[k], loads[i], -1, 10);
			char name[64];

			snprintf(name, sizeof(name), "load%.0f_%s",
			    loads[i] * 100, policy_name[policies[k]]);
			run_until(m, m->end + 2 * TIMEOUT_MS * MS);
			report(m, name, 0, INT64_MAX);
			refusals(m, name);
			model_free(m);
		}
}

static void
bench_skew(void)
{
	for (int k = OURS; k <= STATIC; k++) {
		struct model *m = model_new((enum policy)k, 0.5, 0, 10);
		int64_t start = m->now;
		char name[64];

		m->stranded = 0;
		m->beats = 0;
		snprintf(name, sizeof(name), "skew_%s", policy_name[k]);
		run_until(m, m->end + 2 * TIMEOUT_MS * MS);
		report(m, name, 0, INT64_MAX);
		refusals(m, name);
		printf("request_%s_stranded %.1f slots\n", name,
		    m->stranded / m->beats);
		snprintf(name, sizeof(name), "skew_settled_%s", policy_name[k]);
		report(m, name, start + 5000 * MS, INT64_MAX);
		model_free(m);
	}
}

/* Urgent requests beside twice as many batch requests as there is room for. */
static void
bench_mixed(void)
{
	struct model *m = model_new(OURS, 0.3, -1, 10);
	int64_t from = m->now + 2000 * MS;
	size_t answered = 0;

	m->batch_per_s = 2 * WORKERS * SLOTS * 1000.0 / BATCH_MS;
	push(m, (struct event){ .at = m->now, .kind = K_ARRIVE, .ok = true });
	run_until(m, m->end + 2 * TIMEOUT_MS * MS);
	report(m, "mixed_urgent", from, INT64_MAX);
	for (size_t i = 0; i < m->nreqs; i++)
		answered += m->reqs[i].batch && m->reqs[i].answered;
	printf(
	    "request_mixed_batch_answered %.0f per_s\n", (double)answered / 10);
	model_free(m);
}

static void
bench_silent(void)
{
	static const enum policy policies[] = { OURS, ROBIN };

	for (size_t k = 0; k < 2; k++) {
		struct model *m = model_new(policies[k], 0.7, -1, 20);
		int64_t from = m->now + 5000 * MS, worst = 0;
		size_t failed = 0;
		const char *p = policy_name[policies[k]];

		run_until(m, from);
		m->silent[0] = true;
		run_until(m, m->end + 2 * TIMEOUT_MS * MS);
		for (size_t i = 0; i < m->nreqs; i++) {
			const struct req *r = &m->reqs[i];

			if (r->ended < from)
				continue;
			if (r->answered && r->ended - r->arrived > worst)
				worst = r->ended - r->arrived;
			failed += r->arrived >= from && !r->answered;
		}
		printf("request_silent_%s_out_of_use %.0f ms\n", p,
		    (double)(m->last_sent[0] - from) / 1e6);
		printf("request_silent_%s_sent_to_it %zu requests\n", p,
		    m->sent_silent);
		printf("request_silent_%s_worst_answer %.0f ms\n", p,
		    (double)worst / 1e6);
		printf(
		    "request_silent_%s_unanswered %zu requests\n", p, failed);
		model_free(m);
	}
}

static void
bench_loss(bool rack)
{
	struct model *m = model_new(OURS, 0.7, -1, 20);
	int64_t start = m->now, from = start + 5000 * MS;
	const char *what = rack ? "rack" : "instance";
	char name[64];

	run_until(m, from);
	if (rack)
		for (int i = 0; i < RACK; i++)
			m->silent[i] = true;
	else
		m->inst[0].alive = false;
	run_until(m, m->end + 2 * TIMEOUT_MS * MS);
	snprintf(name, sizeof(name), "%s_loss_before", what);
	/* Requests that were under way at the loss count as during it. */
	report(m, name, start, from - TIMEOUT_MS * MS);
	snprintf(name, sizeof(name), "%s_loss_during", what);
	report(m, name, from - TIMEOUT_MS * MS, from + 5000 * MS);
	snprintf(name, sizeof(name), "%s_loss_after", what);
	report(m, name, from + 5000 * MS, INT64_MAX);
	snprintf(name, sizeof(name), "%s_loss", what);
	refusals(m, name);
	model_free(m);
}

int
main(void)
{
	bench_load();
	bench_skew();
	bench_mixed();
	bench_silent();
	bench_loss(false);
	bench_loss(true);
	return 0;
}
