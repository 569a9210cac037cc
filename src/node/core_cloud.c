#include "node/core_impl.h"

/* Connects the leader's maintenance waves to the service that owns the
 * machines. */

/* Starts to read the list of machines for the leader. */
static bool
read_list(void *arg)
{
	struct core *c = arg;

	return cloud_read(c->cloud);
}

/* Sends an order of the leader. */
static bool
send_order(void *arg, const struct jcloud_order *o)
{
	struct core *c = arg;

	return cloud_order(c->cloud, o);
}

/* Passes the list of machines to the leader. */
static void
on_list(void *arg, const struct jcloud_machine *m, size_t n,
    struct timespec requested_at)
{
	struct core *c = arg;

	jlead_on_machines(&c->jl, mesh_now(c->mesh), m, n, requested_at);
}

/* Passes the result of an order to the leader. */
static void
on_ordered(void *arg, uint64_t serial, enum jcloud_result r)
{
	struct core *c = arg;

	jlead_on_ordered(&c->jl, mesh_now(c->mesh), serial, r);
	core_flush_later(c);
}

/* Creates the client of the service, if the settings name one. */
void
core_cloud_start(struct core *c)
{
	struct cloud_conf conf = { .ev = c->ev,
		.clk = clk_system(),
		.ctr = &c->nctr,
		.addr = c->inst->cloud,
		.holder = c->inst->name,
		.orders_per_s = (int64_t)c->inst->cloud_orders,
		.reads_per_s = (int64_t)c->inst->cloud_reads,
		.on_list = on_list,
		.on_ordered = on_ordered,
		.arg = c };
	struct jcloud_ops ops = { read_list, send_order, c };

	if (c->inst->cloud.len == 0)
		return;
	c->cloud = cloud_new(c, &conf);
	/* An order of the previous leader may find its connection this late. */
	jlead_set_cloud(
	    &c->jl, &ops, c->inst->lease_holder_wait_ms + CLOUD_SEND_MS);
}
