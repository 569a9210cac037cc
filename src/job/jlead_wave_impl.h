/* Internals of the maintenance waves; private to the jlead_wave*.c files. */
#ifndef JOB_JLEAD_WAVE_IMPL_H
#define JOB_JLEAD_WAVE_IMPL_H

#include <glib.h>

#include "job/jlead_wave.h"
#include "job/jpool.h"
#include "job/jwave.h"

__BEGIN_DECLS

/* Interval of the decision; a short task takes several times as long. */
#define JL_WAVE_TICK_MS 100
/* An order without an answer may be carried out this much later; as for calls
 * to workers. */
#define JL_WAVE_LATE_MS JLEAD_LATE_CALL_MS

/* A machine as last listed. */
struct jl_seen {
	char *worker; /* or NULL */
	enum jcloud_state state;
	uint64_t list;	   /* number of the list that had it last */
	int64_t listed_ms; /* when that was requested */
	/* For moves between pools; NULL or 0 if none is possible. */
	char *pool, *zone;
	char **labels;
	struct jpool_amount size;
	int64_t empty_since_ms; /* without work, 0: not known to be */
	int64_t move_after_ms;	/* isn't moved before */
	int64_t moved_at_ms;	/* a list requested before shows it earlier */
	uint32_t ndown; /* waves for which it is down, in this decision */
};

/* What this leader knows of one machine of a wave; times are monotonic, in
 * ms. */
struct jl_wave_note {

	bool recording, in_flight, is_closed;
	/* An order of this attempt may have been carried out unknown to this
	 * leader. */
	bool may_be_sent;
	bool is_duplicate;	   /* named earlier in the same wave */
	bool is_moving, is_saving; /* tasks are being stopped there */
	uint64_t serial;	   /* of the order in flight */
	int64_t closed_ms;	   /* since when it is closed */
	int64_t reopens_ms;	   /* isn't closed again before */
	int64_t retry_ms;	   /* no order before */
	int64_t late_ms;	   /* an order may be carried out until then */
	int64_t begun_ms;	   /* a list requested before decides nothing */
	int64_t backoff_ms;
	unsigned nfailed; /* orders of this attempt that weren't carried out */
	enum jwave_choice choice;
};

struct jl_waves {
	struct jcloud_ops ops;
	int64_t holder_wait_ms;
	GHashTable *seen;      /* struct jl_seen by machine */
	uint64_t nlists;       /* complete lists in this term */
	int64_t list_ms;       /* when the last one was requested */
	int64_t first_list_ms; /* when the first one was */
	int64_t read_ms;       /* how long the last one took */
	int64_t next_ms, next_read_ms, next_log_ms;
	uint64_t serial, norders;
	bool is_active; /* sessions may be closed */
	/* The budget didn't allow an order of maintenance, which has
	 * precedence over moves. */
	bool is_order_refused;
	/* Input of the decision. */
	GArray *waves;		/* struct jwave_wave */
	GArray *infos;		/* struct jst_wave * */
	GArray *machines;	/* struct jwave_machine */
	GArray *indexes;	/* size_t: of the machine in its wave */
	GArray *steps;		/* struct jwave_step */
	GHashTable *step_index; /* of struct jst_step *, plus 1 */
	/* The machine whose long-running tasks are moved, or NULL. */
	const struct jl_wave_note *mover;
};
/* jlead_wave.c */
int64_t jl_wave_now_ms(const struct jlead *);
struct wsess *jl_wave_session(const struct jlead *, const char *id);
bool jl_wave_is_open(const struct jst_wave *);
void jl_wave_read(struct jlead *);
bool jl_wave_send(struct jlead *, struct jcloud_order *);
void jl_wave_end_worker(struct jlead *, const char *id);
struct jl_wave_note *jl_wave_notes(struct jlead *, struct jst_wave *);
/* jlead_wave_input.c */
struct jl_seen *jl_wave_find_seen(const struct jl_waves *, const char *machine);
void jl_wave_fill_seen(struct jl_seen *, const struct jcloud_machine *);
bool jl_wave_has_left(const struct jl_waves *, const char *machine);
bool jl_wave_shows_begun(const struct jl_waves *, const struct jst_wave *,
    size_t i, const struct jl_wave_note *);
bool jl_wave_must_give_up(const struct jlead *, const struct jst_wave *,
    size_t i, const struct jl_wave_note *);
size_t jl_wave_step_index(struct jl_waves *, const struct jst_step *);
void jl_wave_mark_sessions(struct jlead *);
void jl_wave_fill_input(struct jlead *);
void jl_wave_fill_blocked(struct jlead *);
/* jlead_wave_log.c */
void jl_wave_log(struct jlead *);
const char *jl_wave_result_name(enum jcloud_result, enum jctr *);
/* jlead_wave_move.c */
void jl_wave_move(struct jlead *, struct jl_wave_note *, struct wsess *);

__END_DECLS

#endif
