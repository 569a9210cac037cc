/* Encoding of snapshots: variable-length numbers and byte strings. */
#ifndef CONTROL_ENC_H
#define CONTROL_ENC_H

#include "base/str.h"

__BEGIN_DECLS

/* An output buffer that grows. */
struct enc {
	char *p; /* talloc'd */
	size_t n, cap;
};

/* An input that is being decoded. */
struct dec {
	const char *p, *end;
	bool malformed; /* the input is too short or malformed */
};

void enc_init(struct enc *, TALLOC_CTX *);
void enc_u64(struct enc *, uint64_t);
void enc_str(struct enc *, struct str);
uint64_t dec_u64(struct dec *);
/* Returns a view into the input. */
struct str dec_str(struct dec *);

__END_DECLS

#endif
