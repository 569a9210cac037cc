#include "base/log.h"
#include "node/core_impl.h"

/*
 * How much memory the replicas have. The leader records it in the replicated
 * state, so that all replicas accept jobs by the same limit, whoever leads: by
 * the smallest one.
 */

/* Returns this replica's memory by its settings, in MB. */
uint32_t
core_memory_mb(const struct core *c)
{
	int64_t mb = c->inst->memory_mb;

	if (mb <= 0)
		return JMEM_DEFAULT_MB;
	return mb > UINT32_MAX ? UINT32_MAX : (uint32_t)mb;
}

/* Returns the recorded memory of a replica, 0 if there is none. */
static uint32_t
find_recorded(const struct core *c, uint32_t instance)
{
	size_t i;

	for (i = 0; i < c->st.nlimits; i++) {
		if (c->st.limits[i].instance == instance)
			return c->st.limits[i].memory_mb;
	}
	return 0;
}

/* Tells whether an instance has a member of the group. */
static bool
is_member(const struct core *c, uint32_t instance)
{
	size_t i;

	for (i = 0; i < c->nmembers; i++) {
		if (c->members[i].instance == instance)
			return true;
	}
	return false;
}

/* Records the memory of a replica; 0: it is no member any more. */
static void
propose_limit(struct core *c, uint32_t instance, uint32_t memory_mb)
{
	Job__Command cmd = JOB__COMMAND__INIT;
	Job__Limit m = JOB__LIMIT__INIT;

	log_event(LOG_NOTICE, "core",
	    "event=member_memory instance=%u memory_mb=%u before=%u", instance,
	    memory_mb, find_recorded(c, instance));
	m.instance = instance;
	m.memory_mb = memory_mb;
	cmd.limit = &m;
	core_propose(c, &cmd, NULL);
}

/* Handles what a replica says of its memory. */
void
core_on_member_memory(struct core *c, uint32_t instance, uint32_t memory_mb)
{
	if (is_member(c, instance) && find_recorded(c, instance) != memory_mb)
		propose_limit(c, instance, memory_mb);
}

/* Records the leader's own memory, and forgets that of former members. */
void
core_limit_tick(struct core *c)
{
	struct timespec now = mesh_now(c->mesh);
	size_t i;

	if (!c->leading || clk_before(now, c->limits_at))
		return;
	c->limits_at = clk_add_ms(now, CORE_LIMITS_INTERVAL_MS);
	core_on_member_memory(c, c->inst->instance, core_memory_mb(c));
	for (i = 0; i < c->st.nlimits; i++) {
		if (!is_member(c, c->st.limits[i].instance))
			propose_limit(c, c->st.limits[i].instance, 0);
	}
}
