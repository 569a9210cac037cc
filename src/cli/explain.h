/* Lists the counters of all modules with their meanings. */
#ifndef CLI_EXPLAIN_H
#define CLI_EXPLAIN_H

#include <talloc.h>

/* Returns a Markdown table, owned by ctx. */
char *explain_counters(TALLOC_CTX *ctx);

#endif
