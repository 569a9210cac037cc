#include "node/core_impl.h"

/* Connects the leader's advice to the service that gives it. */

/* Makes a call of the leader. */
static bool
make_call(void *arg, const struct jadvice_call *call)
{
	struct core *c = arg;

	return advice_call(c->advice, call);
}

/* Lists the other instances that make calls. */
static size_t
list_callers(void *arg, uint32_t *out, size_t max)
{
	struct core *c = arg;

	return advice_list_peers(c->advice, out, max);
}

/* Sends a message to an instance. */
static bool
send_to(void *arg, uint32_t instance, const Job__Msg *m)
{
	struct core *c = arg;

	return mesh_send(c->mesh, instance, m);
}

/* Passes the answer to a call to the leader, and plans with it. */
static void
on_answer(void *arg, uint64_t token, const struct jadvice_answer *r)
{
	struct core *c = arg;

	jlead_on_advice(&c->jl, mesh_now(c->mesh), token, r);
	core_flush_later(c);
}

/* Creates the client of the service, if the settings name one. */
void
core_advice_start(struct core *c)
{
	struct advice_conf conf = { .ev = c->ev,
		.clk = clk_system(),
		.ctr = &c->nctr,
		.addr = c->inst->advice,
		.send = send_to,
		.on_answer = on_answer,
		.arg = c };
	struct jadvice_ops ops = { make_call, list_callers, c };

	if (c->inst->advice.len == 0)
		return;
	c->advice = advice_new(c, &conf);
	caller_offer_advice(mesh_caller(c->mesh));
	jlead_set_advice(&c->jl, &ops);
}
