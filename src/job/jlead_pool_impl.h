/* Internals of the moves between pools; private to the jlead_pool*.c files. */
#ifndef JOB_JLEAD_POOL_IMPL_H
#define JOB_JLEAD_POOL_IMPL_H

#include <glib.h>

#include "job/jlead_pool.h"
#include "job/jlead_wave_impl.h"
#include "job/jpool.h"

__BEGIN_DECLS

/* Interval of the decision; it visits all waiting steps, and all workers while
 * a service is short of capacity. */
#define JL_POOL_TICK_MS 500
/* An order without an answer may be carried out this much later; as for calls
 * to workers. */
#define JL_MOVE_LATE_MS JLEAD_LATE_CALL_MS

/* What this leader knows of a move that is open or being recorded; times are
 * monotonic, in ms. */
struct jl_move_note {
	bool recording, in_flight;
	/* An order may have been carried out unknown to this leader. */
	bool may_be_sent;
	bool is_refused;    /* an order was, and a repetition hardly helps */
	char *worker;	    /* closed to new work, or NULL */
	uint64_t serial;    /* of the order in flight */
	int64_t since_ms;   /* when this leader learnt of the move */
	int64_t decided_ms; /* a list requested before decides nothing */
	int64_t late_ms;    /* an order may be carried out until then */
	int64_t retry_ms;   /* no order before */
	int64_t backoff_ms;
	unsigned nfailed; /* orders that weren't carried out */
};

/* Most that ran and waited in a service, by intervals of JL_PEAK_SLOT_MS; the
 * last ones cover JPOOL_CALM_MS. */
#define JL_PEAK_SLOT_MS 10000
#define JL_PEAK_SLOTS	(JPOOL_CALM_MS / JL_PEAK_SLOT_MS + 1)

struct jl_peak {
	struct jpool_amount v[JL_PEAK_SLOTS];
	int64_t slot; /* number of the last interval */
};

struct jl_pools {
	GHashTable *notes;   /* struct jl_move_note by machine */
	GHashTable *refused; /* int64_t, until when, by "FROM TO" */
	GHashTable *peaks;   /* struct jl_peak by service */
	int64_t next_ms, next_log_ms;
	bool is_active; /* sessions may be closed */
	/* Input of the decision. */
	struct jpool_input in;
	GArray *pools;	     /* struct jpool_pool */
	GArray *demands;     /* struct jpool_demand */
	GArray *hosts;	     /* struct jpool_host */
	GArray *machines;    /* struct jpool_machine */
	GPtrArray *names;    /* of the machines */
	uint32_t nservices;  /* that aren't spare pools, at least 1 */
	size_t nrecords;     /* machines with a record; they come first */
	GHashTable *index;   /* of a service, plus 1, by name */
	GHashTable *in_wave; /* machines of open waves */
};

/* jlead_pool.c */
struct jl_move_note *jl_pool_note(struct jlead *, const Job__Move *);
/* jlead_pool_input.c */
size_t jl_pool_index(const struct jl_pools *, const char *service);
const char *jl_pool_name(const struct jlead *, size_t pool);
int64_t jl_pool_age_ms(const struct jlead *, const Job__Move *);
bool jl_pool_is_away(const struct jl_pools *, const Job__Move *);
bool jl_pool_may_move(
    const struct jlead *, const char *machine, const struct jl_seen *);
bool jl_pool_list_is_recent(const struct jlead *);
void jl_pool_fill_input(struct jlead *);
bool jl_pool_needs_list(const struct jlead *);
void jl_pool_refuse(struct jlead *, const char *from, const char *to);
/* jlead_pool_load.c */
void jl_pool_add_tasks(struct jpool_amount *, const Job__Step *, int64_t n);
bool jl_pool_is_usable(const struct jlead *, const struct wsess *);
void jl_pool_scan(struct jlead *);
/* jlead_pool_log.c */
const char *jl_pool_result_name(enum jcloud_result, enum jctr *);
void jl_pool_log_move(
    const struct jlead *, const Job__Move *, const char *what);
void jl_pool_log(struct jlead *);

__END_DECLS

#endif
