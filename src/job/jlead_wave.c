#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "job/jlead_pool.h"
#include "job/jlead_wave_impl.h"

/* Maintenance waves: what the leader knows of the machines, and the steps and
 * orders that follow from the decision (jwave). */

/* The list is read no more often than this, a limit of the platform's rules. */
#define LIST_INTERVAL_MS 1000
/* Pause after a failed order, doubled up to the maximum. */
#define RETRY_MS     200
#define RETRY_MAX_MS 2000
/* Pause after an order was refused because the machine isn't up. */
#define BUSY_RETRY_MS 1000
/* Pause after a refusal that a repetition hardly changes. */
#define REFUSED_RETRY_MS 5000

/* Orders that have a fencing token in one term; after them none is sent until
 * the leader changes. */
#define ORDERS_MAX ((UINT64_C(1) << JLEAD_FENCE_BITS) - 1)

/* Returns the monotonic time in ms. */
int64_t
jl_wave_now_ms(const struct jlead *jl)
{
	return clk_ns(jl->now) / CLK_NS_PER_MS;
}

/* Releases what is known of a machine. */
static void
seen_free(void *p)
{
	struct jl_seen *s = p;

	g_free(s->worker);
	g_free(s->pool);
	g_free(s->zone);
	g_strfreev(s->labels);
	g_free(s);
}

/* Enables the orders of maintenance. */
void
jlead_set_cloud(
    struct jlead *jl, const struct jcloud_ops *ops, int64_t holder_wait_ms)
{
	struct jl_waves *v = calloc(1, sizeof(*v));

	if (v == NULL)
		abort();
	v->ops = *ops;
	v->holder_wait_ms = holder_wait_ms;
	v->seen =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, seen_free);
	v->waves = g_array_new(FALSE, TRUE, sizeof(struct jwave_wave));
	v->infos = g_array_new(FALSE, TRUE, sizeof(struct jst_wave *));
	v->machines = g_array_new(FALSE, TRUE, sizeof(struct jwave_machine));
	v->indexes = g_array_new(FALSE, TRUE, sizeof(size_t));
	v->steps = g_array_new(FALSE, TRUE, sizeof(struct jwave_step));
	v->step_index = g_hash_table_new(NULL, NULL);
	jl->waves = v;
	jl_pool_init(jl);
}

/* Drops what only a leader keeps. */
void
jl_wave_stop(struct jlead *jl)
{
	struct jl_waves *v = jl->waves;
	struct jst_wave *w;

	for (w = jl->st->waves; w != NULL; w = w->next) {
		free(w->notes);
		w->notes = NULL;
	}
	if (v == NULL)
		return;
	g_hash_table_remove_all(v->seen);
	v->nlists = 0;
	v->list_ms = v->next_ms = v->next_read_ms = v->next_log_ms = 0;
	v->norders = 0;
	v->is_active = v->is_order_refused = false;
	v->mover = NULL;
}

/* Releases all memory. */
void
jl_wave_finish(struct jlead *jl)
{
	struct jl_waves *v = jl->waves;

	if (v == NULL)
		return;
	g_hash_table_destroy(v->seen);
	g_hash_table_destroy(v->step_index);
	g_array_free(v->waves, TRUE);
	g_array_free(v->infos, TRUE);
	g_array_free(v->machines, TRUE);
	g_array_free(v->indexes, TRUE);
	g_array_free(v->steps, TRUE);
	free(v);
	jl->waves = NULL;
}

/* Tells whether a worker is open to new work, as far as maintenance and moves
 * go.
 */
bool
jl_takes_new_work(const struct wsess *ws)
{
	return !ws->awaits_maintenance && !ws->in_maintenance &&
	    !ws->awaits_move;
}

/* Returns the session of a worker by its id, NULL if there is none. */
struct wsess *
jl_wave_session(const struct jlead *jl, const char *id)
{
	struct jst_worker *w =
	    id == NULL ? NULL : jst_find_worker_by_id(jl->st, id);

	return w == NULL ? NULL : w->session;
}

/* Tells whether a wave has a machine that hasn't begun. */
bool
jl_wave_is_open(const struct jst_wave *w)
{
	size_t i;

	for (i = 0; i < w->info->n_machines; i++) {
		if (w->states[i] != JST_WAVE_DONE)
			return true;
	}
	return false;
}

/* Returns the notes of a wave. An order that an earlier leader recorded may be
 * on its way. */
struct jl_wave_note *
jl_wave_notes(struct jlead *jl, struct jst_wave *w)
{
	struct jl_wave_note *notes = w->notes;
	int64_t since = clk_ns(jl->leading_since) / CLK_NS_PER_MS;
	GHashTable *names;
	size_t i;

	if (notes != NULL)
		return notes;
	notes = calloc(w->info->n_machines + 1, sizeof(*notes));
	if (notes == NULL)
		abort();
	names = g_hash_table_new(g_str_hash, g_str_equal);
	for (i = 0; i < w->info->n_machines; i++) {
		notes[i].is_duplicate =
		    !g_hash_table_add(names, w->info->machines[i]);
		notes[i].backoff_ms = RETRY_MS;
		notes[i].begun_ms = since;
		if (w->states[i] == JST_WAVE_BEGUN)
			notes[i].late_ms = since + JL_WAVE_LATE_MS;
		notes[i].may_be_sent = w->states[i] == JST_WAVE_BEGUN;
	}
	g_hash_table_destroy(names);
	w->notes = notes;
	return notes;
}

/* Proposes a step of a machine. */
static void
propose_step(struct jlead *jl, struct jst_wave *w, size_t i,
    enum jst_wave_state state, uint32_t attempt, const char *worker)
{
	Job__Command c = JOB__COMMAND__INIT;
	Job__WaveStep m = JOB__WAVE_STEP__INIT;
	struct jl_wave_note *n = &jl_wave_notes(jl, w)[i];

	m.wave = w->info->id;
	m.machine = w->info->machines[i];
	m.state = (Job__WaveState)state;
	m.has_attempt = 1;
	m.attempt = attempt;
	m.worker = (char *)(uintptr_t)worker;
	c.wave_step = &m;
	n->recording = true;
	log_event(LOG_INFO, "job",
	    "event=wave_step wave=%" PRIu64
	    " machine=%s state=%d attempt=%u worker=%s",
	    w->info->id, m.machine, state, attempt,
	    worker == NULL ? "-" : worker);
	jl->ops.propose(jl->ops.arg, &c);
}

/* Continues a machine whose step has been committed. */
void
jl_wave_applied(struct jlead *jl, const Job__WaveStep *m)
{
	struct jst_wave *w = jst_find_wave(jl->st, m->wave);
	struct jl_wave_note *notes;
	size_t i;

	if (jl->waves == NULL || w == NULL)
		return;
	notes = jl_wave_notes(jl, w);
	for (i = 0; i < w->info->n_machines; i++) {
		if (strcmp(w->info->machines[i], m->machine) != 0)
			continue;
		notes[i].recording = false;
		notes[i].begun_ms = jl_wave_now_ms(jl);
		if (m->state == JOB__WAVE_STATE__WAVE_WAITING)
			notes[i].may_be_sent = false;
	}
	jl->waves->next_ms = 0;
}

/* Ends the runs of a worker whose machine's maintenance has begun, or which was
 * moved: nothing runs there any more, and another worker will join under
 * another id. */
void
jl_wave_end_worker(struct jlead *jl, const char *id)
{
	struct wsess *ws = jl_wave_session(jl, id);
	struct jrun *r, *next;

	if (ws == NULL || ws->leave_announced)
		return;
	ws->leave_announced = true;
	for (r = ws->runs; r != NULL; r = next) {
		next = r->next;
		if (r->phase == RUN_PROPOSED || r->phase == RUN_ENDING)
			continue;
		ctr_add(jl->ctr, JCTR_ENDS_GONE, 1);
		jrun_end(jl, r, JOB__HOW__GONE, NULL);
	}
}

/* Records that the maintenance of a machine has begun. Its worker is ended if
 * the list shows that, or an answer to the first attempt: the worker recorded
 * by a later attempt may have joined after an order of an earlier one, and
 * still runs if this answer repeats the result of that order. */
static void
finish_machine(struct jlead *jl, struct jst_wave *w, size_t i, bool is_listed)
{
	if (is_listed || w->orders[i].attempt == 0)
		jl_wave_end_worker(jl, w->orders[i].worker);
	propose_step(
	    jl, w, i, JST_WAVE_DONE, w->orders[i].attempt, w->orders[i].worker);
}

/* Proposes that a machine waits again, so that others get its place until
 * then. */
static void
give_up(struct jlead *jl, struct jst_wave *w, size_t i, int64_t retry_ms)
{
	struct jl_wave_note *n = &jl_wave_notes(jl, w)[i];

	n->is_closed = false;
	n->reopens_ms = n->retry_ms = retry_ms;
	n->nfailed = 0;
	propose_step(
	    jl, w, i, JST_WAVE_WAITING, w->orders[i].attempt + 1, NULL);
}

/* ---- what the service answers ---- */

/* Tells whether an entry is of a machine that has left. */
static gboolean
is_left_entry(gpointer key, gpointer value, gpointer arg)
{
	(void)value;
	return jl_wave_has_left(arg, key);
}

/* Takes a complete list of the machines, requested at a time. */
void
jlead_on_machines(struct jlead *jl, struct timespec now,
    const struct jcloud_machine *m, size_t n, struct timespec requested_at)
{
	struct jl_waves *v = jl->waves;
	struct jl_seen *s;
	size_t i;

	if (!jl->leading || v == NULL ||
	    clk_before(requested_at, jl->leading_since))
		return;
	if (n == 0) {
		/* More likely a fault of the service than the end of all
		 * machines, which would complete every wave. */
		log_event(LOG_WARNING, "job", "event=no_machines");
		return;
	}
	jl->now = now;
	v->nlists++;
	v->list_ms = clk_ns(requested_at) / CLK_NS_PER_MS;
	if (v->nlists == 1)
		v->first_list_ms = v->list_ms;
	v->read_ms = clk_diff_ms(now, requested_at);
	v->next_ms = 0;
	jl_pool_listed(jl);
	ctr_add(jl->ctr, JCTR_MACHINE_LISTS, 1);
	for (i = 0; i < n; i++) {
		s = g_hash_table_lookup(v->seen, m[i].machine);
		if (s == NULL) {
			s = g_new0(struct jl_seen, 1);
			g_hash_table_insert(v->seen, g_strdup(m[i].machine), s);
		}
		g_free(s->worker);
		s->worker = g_strdup(m[i].worker);
		s->state = s->moved_at_ms > 0 && v->list_ms <= s->moved_at_ms
		    ? JCLOUD_MOVING
		    : m[i].state;
		s->list = v->nlists;
		if (jl_pool_is_possible(jl))
			jl_wave_fill_seen(s, &m[i]);
		s->listed_ms = v->list_ms;
	}
	g_hash_table_foreach_remove(v->seen, is_left_entry, v);
}

/* Handles the result of an order. After a refusal the machine waits again, so
 * that others get its place, but only while no earlier copy of the order can
 * still be carried out. */
static void
handle_result(
    struct jlead *jl, struct jst_wave *w, size_t i, enum jcloud_result r)
{
	struct jl_wave_note *n = &jl_wave_notes(jl, w)[i];
	int64_t t = jl_wave_now_ms(jl);

	n->in_flight = false;
	if (w->states[i] != JST_WAVE_BEGUN || n->recording)
		return;
	n->retry_ms = t + n->backoff_ms;
	n->backoff_ms = MIN(n->backoff_ms * 2, RETRY_MAX_MS);
	switch (r) {
	case JCLOUD_DONE:
		finish_machine(jl, w, i, false);
		return;
	case JCLOUD_NO_ANSWER:
		n->may_be_sent = true;
		n->late_ms = t + JL_WAVE_LATE_MS;
		/* Only a list that is requested from now on shows whether it
		 * was carried out. */
		n->begun_ms = t;
		return;
	case JCLOUD_FENCED:
	case JCLOUD_LIMITED:
	case JCLOUD_NOT_SENT:
		n->nfailed++;
		return;
	case JCLOUD_BUSY:
		n->retry_ms = t + BUSY_RETRY_MS;
		break;
	case JCLOUD_NOT_MEMBER:
	case JCLOUD_UNKNOWN:
		n->retry_ms = t + REFUSED_RETRY_MS;
		break;
	}
	if (t < n->late_ms)
		return;
	give_up(jl, w, i, n->retry_ms);
}

/* Takes the result of an order. */
void
jlead_on_ordered(struct jlead *jl, struct timespec now, uint64_t serial,
    enum jcloud_result r)
{
	struct jst_wave *w;
	const struct jl_wave_note *notes;
	enum jctr which;
	const char *name = jl_wave_result_name(r, &which);
	size_t i;

	if (!jl->leading || jl->waves == NULL)
		return;
	jl->now = now;
	if (jl_pool_ordered(jl, serial, r))
		return;
	ctr_add(jl->ctr, which, 1);
	for (w = jl->st->waves; w != NULL; w = w->next) {
		notes = w->notes;
		for (i = 0; notes != NULL && i < w->info->n_machines; i++) {
			if (!notes[i].in_flight || notes[i].serial != serial)
				continue;
			log_event(LOG_NOTICE, "job",
			    "event=maintenance_result wave=%" PRIu64
			    " machine=%s serial=%" PRIu64 " result=%s",
			    w->info->id, w->info->machines[i], serial, name);
			handle_result(jl, w, i, r);
			return;
		}
	}
}

/* ---- acting on the decision ---- */

/* Sends an order with the next serial and fencing token; false if it can't be
 * sent now. Asks again whether this replica is the only leader: it may have
 * been paused since the event that led here. */
bool
jl_wave_send(struct jlead *jl, struct jcloud_order *o)
{
	struct jl_waves *v = jl->waves;

	if (v->norders >= ORDERS_MAX || !jl->ops.is_sole_leader(jl->ops.arg))
		return false;
	o->serial = ++v->serial;
	o->fence = jl->token << JLEAD_FENCE_BITS | (v->norders + 1);
	if (!v->ops.order(v->ops.arg, o))
		return false;
	v->norders++;
	if (v->norders == ORDERS_MAX)
		log_event(LOG_ERR, "job",
		    "event=order_tokens_used_up token=%" PRIu64, jl->token);
	return true;
}

/* Sends the order for a machine. */
static void
send_order(struct jlead *jl, struct jst_wave *w, size_t i)
{
	struct jl_waves *v = jl->waves;
	struct jl_wave_note *n = &jl_wave_notes(jl, w)[i];
	struct jcloud_order o = { .machine = w->info->machines[i],
		.wave = w->info->id };

	n->in_flight = true;
	n->serial = v->serial + 1;
	if (!jl_wave_send(jl, &o)) {
		n->in_flight = false;
		v->is_order_refused = true;
		return;
	}
	ctr_add(jl->ctr, JCTR_MAINTENANCE_ORDERS, 1);
	log_event(LOG_NOTICE, "job",
	    "event=maintenance_order wave=%" PRIu64 " machine=%s worker=%s "
	    "fence=%" PRIu64 " serial=%" PRIu64 " token=%" PRIu64,
	    w->info->id, o.machine,
	    w->orders[i].worker == NULL ? "-" : w->orders[i].worker, o.fence,
	    o.serial, jl->token);
}

/* Records that the maintenance of a machine begins. */
static void
record_begin(struct jlead *jl, struct jst_wave *w, size_t i)
{
	struct jl_seen *s = jl_wave_find_seen(jl->waves, w->info->machines[i]);

	/* Another wave may have recorded it in the same decision. */
	if (s == NULL || s->ndown > 0)
		return;
	s->ndown++;
	propose_step(jl, w, i, JST_WAVE_BEGUN, w->orders[i].attempt, s->worker);
}

/* Closes or opens a machine, as the decision says. */
static void
set_closed(struct jlead *jl, struct jl_wave_note *n, enum jwave_choice c)
{
	bool close = c == JWAVE_CLOSE || c == JWAVE_SLOT || c == JWAVE_HELD ||
	    c == JWAVE_RECORD;

	if (close && !n->is_closed)
		n->closed_ms = jl_wave_now_ms(jl);
	if (!close && n->is_closed)
		n->reopens_ms = jl_wave_now_ms(jl) + JWAVE_HELD_MAX_MS;
	n->is_closed = close;
	n->is_moving = n->is_saving = false;
}

/* Moves the tasks of a machine that stays closed. */
static void
move_tasks(
    struct jlead *jl, const struct jst_wave *w, size_t i, enum jwave_choice c)
{
	struct jl_wave_note *n = &((struct jl_wave_note *)w->notes)[i];
	const struct jl_seen *s =
	    jl_wave_find_seen(jl->waves, w->info->machines[i]);
	struct wsess *ws = s == NULL ? NULL : jl_wave_session(jl, s->worker);

	if (ws != NULL &&
	    (c == JWAVE_CLOSE || c == JWAVE_SLOT || c == JWAVE_HELD))
		jl_wave_move(jl, n, ws);
	if (jl->waves->mover == n && !n->is_moving)
		jl->waves->mover = NULL;
}

/* Carries out what was chosen for a machine. */
static void
act(struct jlead *jl, struct jst_wave *w, size_t i,
    const struct jwave_machine *m)
{
	struct jl_waves *v = jl->waves;
	struct jl_wave_note *n = &jl_wave_notes(jl, w)[i];

	n->choice = m->choice;
	if (m->phase == JWAVE_DONE && w->orders[i].attempt > 0 &&
	    jl_wave_shows_begun(v, w, i, n))
		jl_wave_end_worker(jl, w->orders[i].worker);
	if (m->phase == JWAVE_DONE || n->recording)
		return;
	if (jl_wave_has_left(v, w->info->machines[i])) {
		propose_step(jl, w, i, JST_WAVE_DONE, w->orders[i].attempt,
		    w->orders[i].worker);
		return;
	}
	if (m->phase == JWAVE_WAITING) {
		set_closed(jl, n, m->choice);
		move_tasks(jl, w, i, m->choice);
	} else if (!n->in_flight && jl_wave_shows_begun(v, w, i, n)) {
		finish_machine(jl, w, i, true);
		return;
	} else if (jl_wave_must_give_up(jl, w, i, n)) {
		give_up(jl, w, i, jl_wave_now_ms(jl) + REFUSED_RETRY_MS);
		return;
	}
	if (m->choice == JWAVE_RECORD)
		record_begin(jl, w, i);
	else if (m->choice == JWAVE_ORDER)
		send_order(jl, w, i);
}

/* Reads the list of machines, unless it was read less than a second ago; an
 * earlier leader may have read it just before this one began. */
void
jl_wave_read(struct jlead *jl)
{
	struct jl_waves *v = jl->waves;
	int64_t t = jl_wave_now_ms(jl);

	if (clk_diff_ms(jl->now, jl->leading_since) >= LIST_INTERVAL_MS &&
	    t >= v->next_read_ms && v->ops.read(v->ops.arg))
		v->next_read_ms = t + LIST_INTERVAL_MS;
}

/* Reads the list, decides, and acts. */
static void
run_waves(struct jlead *jl)
{
	struct jl_waves *v = jl->waves;
	int64_t t = jl_wave_now_ms(jl);
	guint k;

	jl_wave_read(jl);
	v->is_order_refused = false;
	jl_wave_mark_sessions(jl);
	jl_wave_fill_input(jl);
	jl_wave_fill_blocked(jl);
	jwave_choose((struct jwave_wave *)(void *)v->waves->data, v->waves->len,
	    (struct jwave_machine *)(void *)v->machines->data, v->machines->len,
	    (struct jwave_step *)(void *)v->steps->data, t);
	for (k = 0; k < v->machines->len; k++) {
		struct jwave_machine *m =
		    &g_array_index(v->machines, struct jwave_machine, k);

		if (clk_diff_ms(jl->now, jl->leading_since) >=
		    v->holder_wait_ms)
			act(jl,
			    g_array_index(v->infos, struct jst_wave *, m->wave),
			    g_array_index(v->indexes, size_t, k), m);
	}
	jl_wave_log(jl);
	for (k = 0; k < v->machines->len; k++)
		g_free((void *)(uintptr_t)g_array_index(
		    v->machines, struct jwave_machine, k)
			   .uses);
}

/* Continues the open waves; does nothing where there is none. */
void
jl_wave_tick(struct jlead *jl)
{
	struct jl_waves *v = jl->waves;
	struct wsess *ws;
	struct jst_wave *w;

	if (v == NULL || jl_wave_now_ms(jl) < v->next_ms)
		return;
	for (w = jl->st->waves; w != NULL && !jl_wave_is_open(w); w = w->next)
		;
	if (w != NULL) {
		v->next_ms = jl_wave_now_ms(jl) + JL_WAVE_TICK_MS;
		run_waves(jl);
	} else if (v->is_active) {
		v->is_active = v->is_order_refused = false;
		for (ws = jl->sessions; ws != NULL; ws = ws->next)
			ws->awaits_maintenance = ws->in_maintenance = false;
	}
}
