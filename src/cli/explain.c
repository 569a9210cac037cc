#include "cli/explain.h"

#include "cicadabay.h"
#include "node/nctr.h"

/* Appends a row for each counter of a module to the table. */
static char *
append_counters(char *table, const char *module, const struct ctr_set *set)
{
	size_t i;

	for (i = 0; i < set->ncounters; i++)
		table = talloc_asprintf_append(table, "| %s.%s | %s |\n",
		    module, set->desc[i].name, set->desc[i].help);
	return table;
}

/*
 * Formats a table of the counters of all modules from their descriptors. The
 * modules do no I/O, so one of each can be created without a daemon.
 */
char *
explain_counters(TALLOC_CTX *ctx)
{
	TALLOC_CTX *tmp = talloc_new(ctx);
	const uint32_t peer = 1;
	const struct timespec now = { 1, 0 };
	struct cell_conf cell_conf = { .group = 1,
		.instance = 1,
		.raft = { .replica = 1 },
		.replicas = 1,
		.lease_ms = 6000,
		.poll_ms = 1000 };
	struct agent_conf agent_conf = { .group = 1,
		.instance = 1,
		.incarnation = 1,
		.peers = &peer,
		.npeers = 1 };
	struct eng_conf eng_conf = { .max_requests = 1 };
	struct sched_conf sched_conf = { .candidates = 1 };
	struct ctr_set node;
	struct err e;
	struct cell *cell;
	char *table;

	table = talloc_strdup(ctx, "| counter | counts |\n| --- | --- |\n");
	ctr_init(&node, tmp, nctr_desc, NCTR_COUNT);
	table = append_counters(table, "node", &node);
	table = append_counters(
	    table, "request", eng_counters(eng_new(tmp, &eng_conf, now)));
	table = append_counters(
	    table, "agent", agent_counters(agent_new(tmp, &agent_conf, now)));
	err_clear(&e);
	cell = cell_new(tmp, &cell_conf, now, &e);
	if (cell != NULL)
		table = append_counters(table, "cell", cell_counters(cell));
	table = append_counters(
	    table, "sched", sched_counters(sched_new(tmp, &sched_conf, now)));
	talloc_free(tmp);
	return table;
}
