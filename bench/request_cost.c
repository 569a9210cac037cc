/*
 * Processor time and memory of the request engine. Prints "name value unit".
 */
#include <stdio.h>
#include <stdlib.h>

#include "request/eng.h"

static const unsigned serves[1] = { 0 };

/* One engine alone: processor time of a request and memory. */
static void
bench_cost(size_t workers)
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
	size_t empty, idle, n = 500000, open = 100000;

	if (vw == NULL)
		abort();
	v.fresh_until = clk_from_ns(INT64_MAX / 2);
	for (size_t i = 0; i < workers; i++) {
		vw[i] = (struct view_worker){ .epoch = i + 1,
			.rack = str_from("r"),
			.slots = 1,
			.connections = 7,
			.grant_expiry = v.fresh_until,
			.serves = serves,
			.nserves = 1 };
	}
	empty = talloc_total_size(e);
	ev.u.view = &v;
	(void)eng_step(e, now, &ev, &acts);
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
	idle = talloc_total_size(e);
	printf("request_bytes_per_worker_%zu_workers %.0f bytes\n", workers,
	    (double)(idle - empty) / (double)workers);
	for (size_t i = 0; i < open; i++) {
		acts.n = 0;
		req++;
		ev = (struct eng_ev){ .kind = ENG_EV_ARRIVE, .req = req };
		ev.u.arrive.class_name = vc.name;
		ev.u.arrive.key = str_from("");
		(void)eng_step(e, now, &ev, &acts);
	}
	printf("request_bytes_per_request_%zu_workers %.0f bytes\n", workers,
	    (double)(talloc_total_size(e) - idle) / (double)open);
	talloc_free(acts.v);
	talloc_free(e);
	free(vw);
}

int
main(void)
{
	bench_cost(50);
	bench_cost(1000);
	return 0;
}
