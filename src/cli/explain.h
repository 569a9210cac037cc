/* The counters of all modules with their meaning. */
#ifndef CLI_EXPLAIN_H
#define CLI_EXPLAIN_H

#include <talloc.h>

/* A Markdown table, owned by ctx. */
char *explain_counters(TALLOC_CTX *ctx);

#endif
