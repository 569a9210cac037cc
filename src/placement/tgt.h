/*
 * Attainment of a class over windows of 1 and 10 minutes, and the control of
 * how much interfering batch work a worker of an urgent class may run.
 */
#ifndef PLACEMENT_TGT_H
#define PLACEMENT_TGT_H

#include <sys/cdefs.h>
#include <stdbool.h>
#include <stdint.h>

__BEGIN_DECLS

#define TGT_SLOTS   60 /* of TGT_SLOT_MS each: 10 minutes */
#define TGT_SLOT_MS 10000

struct tgt {
	uint32_t total[TGT_SLOTS];    /* answers, or batch tasks finished */
	uint32_t late[TGT_SLOTS];     /* of them over the bound */
	int64_t newest_slot;	      /* number of the newest slot */
	int64_t since_ms;	      /* first observation */
	double recent_n, recent_late; /* decaying over some 15 s */
	int64_t recent_ms;
	double batch_cap; /* weighted share of processors batch may use */
	int64_t control_ms;
};

void tgt_init(struct tgt *, int64_t now_ms);
void tgt_add(struct tgt *, int64_t now_ms, uint32_t n, uint32_t late);
/* Observations of the last slots, at most TGT_SLOTS of them. */
void tgt_window(const struct tgt *, int64_t now_ms, unsigned slots, uint64_t *n,
    uint64_t *late);
/* Share of the target met, 1 or more is met; 1 without observations. */
double tgt_share_answers(
    const struct tgt *, int64_t now_ms, unsigned slots, int percentile_x10);
double tgt_share_finished(
    const struct tgt *, int64_t now_ms, unsigned slots, int64_t per_hour);
/* Moves the cap by the late answers of the last seconds. */
void tgt_update_cap(struct tgt *, int64_t now_ms, int percentile_x10);

__END_DECLS

#endif
