/* Variable-length numbers and byte strings, the encoding of snapshots. */
#ifndef CONTROL_ENC_H
#define CONTROL_ENC_H

#include "base/str.h"

__BEGIN_DECLS

struct enc {
	char *p; /* talloc'd */
	size_t n, cap;
};

struct dec {
	const char *p, *end;
	bool bad; /* ran past the end or met a malformed number */
};

void enc_init(struct enc *, TALLOC_CTX *);
void enc_u64(struct enc *, uint64_t);
void enc_str(struct enc *, struct str);
uint64_t dec_u64(struct dec *);
/* A view into the input. */
struct str dec_str(struct dec *);

__END_DECLS

#endif
