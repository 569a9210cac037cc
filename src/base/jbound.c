#include "base/jbound.h"

/* Returns the end of the string that begins after a quotation mark. */
static const char *
skip_string(const char *p, const char *end)
{
	for (; p < end && *p != '"'; p++) {
		if (*p == '\\' && p + 1 < end)
			p++;
	}
	return p;
}

/* Counts what a document consists of: each value but the first of its list or
 * object follows a comma, and each value of a name a colon. */
struct jbound
jbound_count(struct str doc)
{
	struct jbound n = { 0, 1 };
	const char *p = doc.p, *end = p + doc.len;

	for (; p < end; p++) {
		switch (*p) {
		case '"':
			p = skip_string(p + 1, end);
			break;
		case '{':
		case '[':
			n.containers++;
			n.values++;
			break;
		case ',':
		case ':':
			n.values++;
			break;
		case '/':
		case '\'':
			/* After these the strings can't be told from the rest.
			 */
			n.values = SIZE_MAX;
			return n;
		default:
			break;
		}
	}
	return n;
}

/* Tells whether a document is within the bounds. */
bool
jbound_check(struct str doc, const struct jbound *max, struct err *e)
{
	struct jbound n = jbound_count(doc);

	if (n.containers <= max->containers && n.values <= max->values)
		return true;
	err_set(e, STATUS_INVALID,
	    "body: expected at most %zu lists and objects, and %zu values and "
	    "names",
	    max->containers, max->values);
	return false;
}
