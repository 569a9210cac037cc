#include "placement/tgt.h"

#include <math.h>
#include <string.h>

#define TGT_RECENT_TAU_MS 8000.0
#define TGT_CONTROL_MS	  1000
#define TGT_CAP_START	  0.2
#define TGT_CAP_IDLE_STEP 0.005
#define TGT_CAP_MIN	  0.01
#define TGT_CAP_MAX	  2.0
#define TGT_ANSWERS_MIN	  50 /* fewer recent answers are taken as none */

/* Initialises the record of a class without observations. */
void
tgt_init(struct tgt *t, int64_t now_ms)
{
	memset(t, 0, sizeof(*t));
	t->newest_slot = now_ms / TGT_SLOT_MS;
	t->since_ms = now_ms;
	t->recent_ms = now_ms;
	t->control_ms = now_ms;
	t->batch_cap = TGT_CAP_START;
}

/* Adds n observations, of which late were later than the bound. */
void
tgt_add(struct tgt *t, int64_t now_ms, uint32_t n, uint32_t late)
{
	int64_t slot = now_ms / TGT_SLOT_MS;
	double decay =
	    exp(-(double)(now_ms - t->recent_ms) / TGT_RECENT_TAU_MS);

	if (slot - t->newest_slot > TGT_SLOTS)
		t->newest_slot = slot - TGT_SLOTS;
	while (t->newest_slot < slot) {
		t->newest_slot++;
		t->total[t->newest_slot % TGT_SLOTS] = 0;
		t->late[t->newest_slot % TGT_SLOTS] = 0;
	}
	t->total[slot % TGT_SLOTS] += n;
	t->late[slot % TGT_SLOTS] += late;
	t->recent_n = t->recent_n * decay + n;
	t->recent_late = t->recent_late * decay + late;
	t->recent_ms = now_ms;
}

/*
 * Counts the observations and the late ones in the last slots, at most
 * TGT_SLOTS of them.
 */
void
tgt_window(const struct tgt *t, int64_t now_ms, unsigned slots, uint64_t *n,
    uint64_t *late)
{
	int64_t slot = now_ms / TGT_SLOT_MS, i;

	*n = *late = 0;
	for (i = slot - (int64_t)slots + 1; i <= t->newest_slot; i++) {
		if (i < 0 || i <= t->newest_slot - TGT_SLOTS)
			continue;
		*n += t->total[i % TGT_SLOTS];
		*late += t->late[i % TGT_SLOTS];
	}
}

/*
 * Returns the share of answers in time divided by the share that the
 * percentile demands; 1 without answers.
 */
double
tgt_attainment_answers(
    const struct tgt *t, int64_t now_ms, unsigned slots, int percentile_x10)
{
	uint64_t n, late;

	tgt_window(t, now_ms, slots, &n, &late);
	if (n == 0 || percentile_x10 <= 0)
		return 1;
	return (double)(n - late) / (double)n * 1000 / percentile_x10;
}

/*
 * Returns the rate of finished tasks divided by the demanded one per hour,
 * over the window or since the class is known. The first minute counts as met,
 * since nothing may have finished yet.
 */
double
tgt_attainment_finished(
    const struct tgt *t, int64_t now_ms, unsigned slots, int64_t per_hour)
{
	int64_t span = now_ms - t->since_ms, window = slots * TGT_SLOT_MS;
	uint64_t n, late;

	if (per_hour <= 0 || span < 60000)
		return 1;
	if (span > window)
		span = window;
	tgt_window(t, now_ms, slots, &n, &late);
	return (double)n * 3600e3 / ((double)per_hour * (double)span);
}

/*
 * Adjusts the batch cap. It falls in proportion to the excess when more
 * answers are late than the target allows, and rises slowly when clearly fewer
 * are. Because of this asymmetry batch work yields fast and returns carefully.
 */
void
tgt_update_cap(struct tgt *t, int64_t now_ms, int percentile_x10)
{
	double allowed = 1 - percentile_x10 / 1000.0, late_ratio;

	if (now_ms - t->control_ms < TGT_CONTROL_MS)
		return;
	t->control_ms = now_ms;
	t->recent_n *=
	    exp(-(double)(now_ms - t->recent_ms) / TGT_RECENT_TAU_MS);
	t->recent_late *=
	    exp(-(double)(now_ms - t->recent_ms) / TGT_RECENT_TAU_MS);
	t->recent_ms = now_ms;
	if (t->recent_n < TGT_ANSWERS_MIN) {
		/*
		 * With almost no answers none can be late, so the cap may rise.
		 */
		t->batch_cap =
		    fmin(TGT_CAP_MAX, t->batch_cap + TGT_CAP_IDLE_STEP);
		return;
	}
	late_ratio = t->recent_late / t->recent_n / fmax(allowed, 0.0005);
	if (late_ratio > 0.9)
		t->batch_cap *= 1 - 0.12 * fmin(1, late_ratio - 0.9);
	else if (late_ratio < 0.7)
		t->batch_cap += 0.01 * (0.7 - late_ratio) / 0.7;
	t->batch_cap = fmax(TGT_CAP_MIN, fmin(TGT_CAP_MAX, t->batch_cap));
}
