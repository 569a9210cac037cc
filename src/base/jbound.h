/*
 * Bounds of a JSON document, checked before objects are built from it. In the
 * JSON library a list or an object takes 0.3 to 1 KB, also an empty one, and
 * any other value 100 to 200 bytes: a body of very many short ones would take
 * a hundred times its size. Pure.
 */
#ifndef BASE_JBOUND_H
#define BASE_JBOUND_H

#include "base/err.h"
#include "base/str.h"

__BEGIN_DECLS

struct jbound {
	size_t containers; /* lists and objects */
	size_t values;	   /* of any type, and names */
};

/* Counts what a document consists of, without checking its syntax. One that a
 * strict parser takes has no more than that. A comment or a single quotation
 * mark, which no strict parser takes, counts as more than any bound. */
struct jbound jbound_count(struct str);
/* Returns false and sets e to STATUS_INVALID if a document exceeds the
 * bounds. */
bool jbound_check(struct str, const struct jbound *, struct err *);

__END_DECLS

#endif
