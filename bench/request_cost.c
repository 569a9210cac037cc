/*
 * Measures processor time and memory of the request engine and of the leader's
 * slot grants. Prints "name value unit" lines.
 */
#include <stdio.h>
#include <stdlib.h>

#include "request/eng.h"
#include "request/grant.h"

static const unsigned serves[1] = { 0 };

/*
 * Measures one request engine: the processor time of a view and of a request
 * from arrival to answer, and the memory of a worker and of an open request.
 */
static void
bench_engine(size_t workers)
{
	struct eng_conf conf = { 1, 10, 3, 20, 10000, 200000 };
	struct timespec t0, t1, now = clk_from_ns(1000 * CLK_NS_PER_MS);
	struct view_class vc = { str_from("svc"), true, 0, 0, 30000 };
	struct view_worker *vw = calloc(workers, sizeof(*vw));
	struct eng_ev ev = { .kind = ENG_EV_VIEW };
	struct eng_acts acts = { 0 };
	struct view v = { .config_version = 1,
		.classes = &vc,
		.nclasses = 1,
		.workers = vw,
		.nworkers = workers };
	struct eng *e = eng_new(NULL, &conf, now);
	uint64_t req = 0;
	size_t empty_bytes, idle_bytes, n = 500000, nopen = 100000;

	if (vw == NULL)
		abort();
	v.fresh_until = clk_from_ns(INT64_MAX / 2);
	for (size_t i = 0; i < workers; i++) {
		vw[i] = (struct view_worker){ .epoch = i + 1,
			.rack = str_from("r"),
			.slots = 1,
			.connections = 7,
			.grant_start_until = v.fresh_until,
			.grant_expiry = v.fresh_until,
			.serves = serves,
			.nserves = 1 };
	}
	empty_bytes = talloc_total_size(e);
	ev.u.view = &v;
	(void)eng_step(e, now, &ev, &acts);
	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t0);
	for (int i = 0; i < 200; i++)
		(void)eng_step(e, now, &ev, &acts);
	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t1);
	printf("request_cpu_per_view_%zu_workers %.0f us\n", workers,
	    (double)clk_diff_ns(t1, t0) / 1000 / 200);
	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t0);
	for (size_t i = 0; i < n; i++) {
		uint64_t attempt;

		now = clk_add_ns(now, 1000);
		acts.n = 0;
		req++;
		ev = (struct eng_ev){ .kind = ENG_EV_ARRIVE, .req = req };
		ev.u.arrive.class_name = vc.name;
		ev.u.arrive.key = str_from("");
		(void)eng_step(e, now, &ev, &acts);
		attempt = acts.v[0].attempt;
		ev = (struct eng_ev){
			.kind = ENG_EV_SENT, .req = req, .attempt = attempt
		};
		(void)eng_step(e, now, &ev, &acts);
		ev.kind = ENG_EV_DONE;
		ev.u.done.http_status = 200;
		(void)eng_step(e, now, &ev, &acts);
	}
	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t1);
	printf("request_cpu_per_request_%zu_workers %.2f us\n", workers,
	    (double)clk_diff_ns(t1, t0) / 1000 / (double)n);
	idle_bytes = talloc_total_size(e);
	printf("request_bytes_per_worker_%zu_workers %.0f bytes\n", workers,
	    (double)(idle_bytes - empty_bytes) / (double)workers);
	for (size_t i = 0; i < nopen; i++) {
		acts.n = 0;
		req++;
		ev = (struct eng_ev){ .kind = ENG_EV_ARRIVE, .req = req };
		ev.u.arrive.class_name = vc.name;
		ev.u.arrive.key = str_from("");
		(void)eng_step(e, now, &ev, &acts);
	}
	printf("request_bytes_per_request_%zu_workers %.0f bytes\n", workers,
	    (double)(talloc_total_size(e) - idle_bytes) / (double)nopen);
	talloc_free(acts.v);
	talloc_free(e);
	free(vw);
}

/*
 * Measures the leader's handling of 900 heartbeats from 9 instances: processor
 * time, message sizes and memory.
 */
static void
bench_grant(size_t workers)
{
	struct grant_conf conf = { 32000, 10000, 4, 0 };
	int64_t now = CLK_NS_PER_S;
	struct grant *g = grant_new(NULL, &conf, clk_from_ns(0));
	Control__SlotUse *use = calloc(workers, sizeof(*use));
	Control__SlotUse **up = calloc(workers, sizeof(*up));
	struct timespec t0, t1;
	size_t heartbeats = 0, sent_bytes = 0, reply_bytes = 0;
	uint64_t *seq = calloc(9 * workers, sizeof(*seq));
	uint32_t *held = calloc(9 * workers, sizeof(*held));

	if (use == NULL || up == NULL || seq == NULL || held == NULL)
		abort();
	grant_set_term(g, 1, 0, 0);
	for (size_t i = 0; i < workers; i++)
		grant_update_worker(g, clk_from_ns(now), i + 1, 8, 60, false);
	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t0);
	for (; heartbeats < 900; heartbeats++, now += 500 * CLK_NS_PER_MS / 9) {
		size_t n = heartbeats % 9;
		TALLOC_CTX *ctx = talloc_new(NULL);
		Control__Beat b = CONTROL__BEAT__INIT;
		Control__BeatReply r = CONTROL__BEAT_REPLY__INIT;
		Control__ClassDemand d = CONTROL__CLASS_DEMAND__INIT, *dp = &d;
		char name[] = "svc";

		d.name = name;
		d.running = (uint32_t)(40 + heartbeats / 90 * n);
		b.demand = &dp;
		b.n_demand = 1;
		b.instance = (uint32_t)n;
		b.seq = heartbeats + 1;
		b.slots = up;
		for (size_t i = 0; i < workers; i++) {
			if (seq[n * workers + i] == 0)
				continue;
			control__slot_use__init(&use[i]);
			use[i].epoch = i + 1;
			use[i].held = held[n * workers + i];
			use[i].has_grant_seq = 1;
			use[i].grant_seq = seq[n * workers + i];
			up[b.n_slots++] = &use[i];
		}
		grant_handle_heartbeat(g, clk_from_ns(now), &b, ctx, &r);
		for (size_t i = 0; i < r.n_grants; i++) {
			size_t at = n * workers + r.grants[i]->epoch - 1;

			held[at] = r.grants[i]->slots;
			seq[at] = r.grants[i]->seq;
		}
		sent_bytes += control__beat__get_packed_size(&b);
		reply_bytes += control__beat_reply__get_packed_size(&r);
		talloc_free(ctx);
	}
	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t1);
	printf("grant_cpu_per_beat_%zu_workers %.0f us\n", workers,
	    (double)clk_diff_ns(t1, t0) / 1000 / (double)heartbeats);
	printf("grant_bytes_per_beat_%zu_workers %.0f bytes\n", workers,
	    (double)sent_bytes / (double)heartbeats);
	printf("grant_bytes_per_reply_%zu_workers %.0f bytes\n", workers,
	    (double)reply_bytes / (double)heartbeats);
	printf("grant_bytes_%zu_workers %zu bytes\n", workers,
	    talloc_total_size(g));
	talloc_free(g);
	free(use);
	free(up);
	free(seq);
	free(held);
}

int
main(void)
{
	bench_grant(50);
	bench_grant(1000);
	bench_engine(50);
	bench_engine(1000);
	return 0;
}
