#include <inttypes.h>
#include <json-c/json.h>
#include <stdlib.h>

#include "base/log.h"
#include "job/jctr.h"
#include "node/core_impl.h"

/* Evacuation orders: when they were received, their calls on the leader, and
 * the list of those in effect. */

/* Returns how far a clock that counts suspensions of the machine is ahead of
 * the monotonic one. */
static int64_t
get_boot_ahead_ms(void)
{
	struct timespec boot, mono;

	if (clock_gettime(CLOCK_BOOTTIME, &boot) != 0 ||
	    clock_gettime(CLOCK_MONOTONIC, &mono) != 0)
		return 0;
	return clk_diff_ms(boot, mono);
}

/* Notices, at each tick, that the process or the machine was paused. The
 * monotonic clock doesn't count a suspension of the machine, so that orders
 * would look younger than they are. */
void
core_note_tick(struct core *c, struct timespec now)
{
	int64_t suspended = pause_tick(&c->pause, now, get_boot_ahead_ms());

	if (suspended >= PAUSE_MS)
		caller_on_suspension(mesh_caller(c->mesh), suspended);
}

/* Notes when an order was received, in ms on this instance's monotonic clock.
 * Returns false if its client has closed the connection: it sends the order
 * again, or has ordered something else since. */
bool
core_take_order(struct core *c, const struct front_req *req, Job__Call *call)
{
	struct timespec at = pause_earliest_arrival(
	    &c->pause, mesh_now(c->mesh), get_boot_ahead_ms());

	if (front_is_client_gone(req)) {
		log_event(LOG_NOTICE, "core",
		    "event=evacuation_dropped domain=%s begin=%d "
		    "cause=client_gone",
		    call->evacuation->domain, call->evacuation->begin);
		return false;
	}
	call->evacuation->has_received_ms = 1;
	call->evacuation->received_ms = clk_ns(at) / CLK_NS_PER_MS;
	return true;
}

/* Handles an order on the leader. A late one is answered as not carried out. */
void
core_handle_evacuate(struct core *c, uint32_t from, const Job__Call *k)
{
	Job__Command cmd = JOB__COMMAND__INIT;
	Job__Evacuation m = *k->evacuation;
	int64_t now_ms = clk_ns(mesh_now(c->mesh)) / CLK_NS_PER_MS;

	if (jevac_judge(&c->jl.evac, &c->st, &m, now_ms) == JEVAC_LATE) {
		ctr_add(&c->jctr, JCTR_EVACUATIONS_LATE, 1);
		log_event(LOG_NOTICE, "core",
		    "event=evacuation_late domain=%s begin=%d from=%u "
		    "age_ms=%" PRId64,
		    m.domain, m.begin, from,
		    m.has_received_ms ? now_ms - m.received_ms : -1);
		core_send_outcome(c, from, k->id, JOB__OUTCOME__BUSY);
		return;
	}
	jevac_note_proposal(&c->jl.evac, &c->st, &m, now_ms);
	m.has_at_ms = 1;
	m.at_ms = mesh_wall_ms(c->mesh);
	m.has_received_ms = 0;
	cmd.evacuation = &m;
	core_propose_call(c, from, k, &cmd);
}

/* Adds a member to a JSON object. */
static void
add_member(struct json_object *o, const char *key, struct json_object *v)
{
	if (v == NULL || json_object_object_add(o, key, v) != 0)
		abort();
}

/* Fills the answer to a query for the evacuations in effect. */
void
core_fill_evacuations(struct core *c, TALLOC_CTX *ctx, Job__Answer *a)
{
	struct json_object *o = json_object_new_object();
	struct json_object *v = json_object_new_array(), *row;
	struct str text;
	size_t i;

	if (o == NULL || v == NULL)
		abort();
	for (i = 0; i < c->st.nevacuations; i++) {
		const Job__Evacuation *m = c->st.evacuations[i];

		row = json_object_new_object();
		if (row == NULL)
			abort();
		add_member(row, "domain", json_object_new_string(m->domain));
		add_member(row, "since_ms", json_object_new_int64(m->at_ms));
		add_member(row, "runs",
		    json_object_new_int64(
			(int64_t)jl_evac_count_runs(&c->jl, m->domain)));
		if (json_object_array_add(v, row) != 0)
			abort();
	}
	add_member(o, "evacuations", v);
	text = str_dup(ctx, str_from(json_object_to_json_string(o)));
	json_object_put(o);
	a->has_document = 1;
	a->document.data = (uint8_t *)(uintptr_t)text.p;
	a->document.len = text.len;
}
