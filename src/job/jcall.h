/* Checks calls to the leader before they are carried out. Pure. Calls come from
 * this system's own instances, but a damaged one, or one of another version,
 * must be refused instead of crashing each replica that applies it. */
#ifndef JOB_JCALL_H
#define JOB_JCALL_H

#include "base/err.h"
#include "job/job.pb-c.h"

__BEGIN_DECLS

/* Most steps of a job; the platform adapter accepts no more. */
#define JCALL_STEPS_MAX 64
/* Most occurrences of a scheduled job; the platform adapter accepts no more. */
#define JCALL_REPEAT_MAX 10000

/* Longest name of a failure domain in bytes, as in heartbeats. */
#define JCALL_DOMAIN_BYTES_MAX 255

/* Returns the outcome of a call from the status of its applied command. */
Job__Outcome jcall_outcome(const Job__Command *, enum status applied);
Job__Outcome jcall_orphan_outcome(Job__CallKind);
/* Returns STATUS_OK, or STATUS_INVALID with the invalid field in the error. */
enum status jcall_check(const Job__Call *, struct err *);
/* As jcall_check, for the specification of a job. */
enum status jcall_check_spec(const Job__Spec *, struct err *);

__END_DECLS

#endif
