/*
 * Measures how far a class meets its target over windows of 1 and 10 minutes,
 * and controls how much interfering batch work may run next to an urgent class.
 */
#ifndef PLACEMENT_TGT_H
#define PLACEMENT_TGT_H

#include <sys/cdefs.h>
#include <stdbool.h>
#include <stdint.h>

__BEGIN_DECLS

#define TGT_SLOTS   60 /* ring of slots of TGT_SLOT_MS: 10 minutes */
#define TGT_SLOT_MS 10000

struct tgt {
	/* Answers, or finished batch tasks, of each slot. */
	uint32_t total[TGT_SLOTS];
	uint32_t late[TGT_SLOTS]; /* of them, later than the bound */
	int64_t newest_slot;	  /* number of the newest slot since time 0 */
	int64_t since_ms;	  /* time of tgt_init() */
	/* Answers and late ones, decaying with TGT_RECENT_TAU_MS. */
	double recent_n, recent_late;
	int64_t recent_ms;  /* time that recent_* refer to */
	double batch_cap;   /* weighted share of processors for batch */
	int64_t control_ms; /* time of the last change of batch_cap */
};

void tgt_init(struct tgt *, int64_t now_ms);
void tgt_add(struct tgt *, int64_t now_ms, uint32_t n, uint32_t late);
/* Counts the observations of the last slots, at most TGT_SLOTS of them. */
void tgt_window(const struct tgt *, int64_t now_ms, unsigned slots, uint64_t *n,
    uint64_t *late);
/* Return the attainment: the part of the target that is met, 1 or more if it is
 * met in full. */
double tgt_attainment_answers(
    const struct tgt *, int64_t now_ms, unsigned slots, int percentile_x10);
double tgt_attainment_finished(
    const struct tgt *, int64_t now_ms, unsigned slots, int64_t per_hour);
/* Adjusts the batch cap to the late answers of the last seconds. */
void tgt_update_cap(struct tgt *, int64_t now_ms, int percentile_x10);

__END_DECLS

#endif
