#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "job/jlead_pool_impl.h"

/* Moves between pools: records, orders and their results. */

/* Pause after a failed order, doubled up to the maximum. */
#define RETRY_MS     200
#define RETRY_MAX_MS 2000
/* A move is given up after so many orders that weren't carried out; with the
 * pauses between them this takes about 5 s. */
#define FAILED_ORDERS_MAX 5
/* A machine whose move was given up isn't chosen again before. */
#define GIVEN_UP_PAUSE_MS 5000
/* A move whose order can't be sent for so long is given up: its worker is
 * closed meanwhile. */
#define UNSENT_MAX_MS 10000
/* How long a move that was done is kept; two leaders' times of day differ. */
#define KEPT_MS (JPOOL_CALM_MS + JLEAD_WALL_CLOCK_STEP_MS)
/* A machine that was moved and is listed in another pool after this was moved
 * by somebody else. */
#define SETTLED_MS 10000

/* Releases a note. */
static void
note_free(void *arg)
{
	struct jl_move_note *n = arg;

	g_free(n->worker);
	g_free(n);
}

/* Enables the moves. */
void
jl_pool_init(struct jlead *jl)
{
	struct jl_pools *p = calloc(1, sizeof(*p));

	if (p == NULL)
		abort();
	p->notes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, note_free);
	p->refused =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	p->peaks =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	p->pools = g_array_new(FALSE, TRUE, sizeof(struct jpool_pool));
	p->demands = g_array_new(FALSE, TRUE, sizeof(struct jpool_demand));
	p->hosts = g_array_new(FALSE, TRUE, sizeof(struct jpool_host));
	p->machines = g_array_new(FALSE, TRUE, sizeof(struct jpool_machine));
	p->names = g_ptr_array_new_with_free_func(g_free);
	p->index = g_hash_table_new(g_str_hash, g_str_equal);
	p->in_wave = g_hash_table_new(g_str_hash, g_str_equal);
	jl->pools = p;
}

/* Drops what only a leader keeps. */
void
jl_pool_stop(struct jlead *jl)
{
	struct jl_pools *p = jl->pools;

	if (p == NULL)
		return;
	g_hash_table_remove_all(p->notes);
	g_hash_table_remove_all(p->refused);
	g_hash_table_remove_all(p->peaks);
	p->next_ms = p->next_log_ms = 0;
	p->is_active = false;
}

/* Releases all memory. */
void
jl_pool_finish(struct jlead *jl)
{
	struct jl_pools *p = jl->pools;

	if (p == NULL)
		return;
	g_hash_table_destroy(p->notes);
	g_hash_table_destroy(p->refused);
	g_hash_table_destroy(p->peaks);
	g_hash_table_destroy(p->index);
	g_hash_table_destroy(p->in_wave);
	g_array_free(p->pools, TRUE);
	g_array_free(p->demands, TRUE);
	g_array_free(p->hosts, TRUE);
	g_array_free(p->machines, TRUE);
	g_ptr_array_free(p->names, TRUE);
	free(p);
	jl->pools = NULL;
}

/* Tells whether the configuration or a record makes moves possible. */
bool
jl_pool_is_possible(const struct jlead *jl)
{
	const Job__Config *c = jl->st->config;

	return jl->pools != NULL &&
	    ((c != NULL && c->n_services > 1) || jl->st->nmoves > 0 ||
		g_hash_table_size(jl->pools->notes) > 0);
}

/* Tells whether a machine has an open move, or one is being recorded. */
bool
jl_pool_has_open(const struct jlead *jl, const char *machine)
{
	return jl->pools != NULL &&
	    g_hash_table_contains(jl->pools->notes, machine);
}

/* Has the next decision made at once: the list of machines is new. */
void
jl_pool_listed(struct jlead *jl)
{
	if (jl->pools != NULL)
		jl->pools->next_ms = 0;
}

/* Adds the note of a move. */
static struct jl_move_note *
note_new(struct jlead *jl, const Job__Move *m)
{
	struct jl_move_note *n = g_new0(struct jl_move_note, 1);

	n->since_ms = jl_wave_now_ms(jl);
	n->backoff_ms = RETRY_MS;
	n->worker = g_strdup(m->worker);
	g_hash_table_replace(jl->pools->notes, g_strdup(m->machine), n);
	return n;
}

/* Returns the note of an open move. An order that an earlier leader recorded
 * may be on its way. */
struct jl_move_note *
jl_pool_note(struct jlead *jl, const Job__Move *m)
{
	struct jl_move_note *n =
	    g_hash_table_lookup(jl->pools->notes, m->machine);

	if (n != NULL)
		return n;
	n = note_new(jl, m);
	n->may_be_sent = true;
	n->decided_ms = clk_ns(jl->leading_since) / CLK_NS_PER_MS;
	n->late_ms = n->decided_ms + JL_MOVE_LATE_MS;
	return n;
}

/* Proposes a state of a move. */
static void
propose(struct jlead *jl, const Job__Move *m, Job__MoveState state,
    struct jl_move_note *n, const char *what)
{
	Job__Command c = JOB__COMMAND__INIT;
	Job__Move k = *m;

	k.state = state;
	k.at_ms = jl->wall_ms;
	c.move = &k;
	if (n != NULL)
		n->recording = true;
	jl_pool_log_move(jl, &k, what);
	jl->ops.propose(jl->ops.arg, &c);
}

/* Continues a move whose state has been committed. */
void
jl_pool_applied(struct jlead *jl, const Job__Move *m)
{
	const Job__Move *r = jst_find_move(jl->st, m->machine);
	struct jl_move_note *n;

	if (jl->pools == NULL)
		return;
	if (r == NULL || r->state != JOB__MOVE_STATE__MOVE_BEGUN) {
		g_hash_table_remove(jl->pools->notes, m->machine);
	} else {
		n = jl_pool_note(jl, r);
		n->recording = false;
		n->decided_ms = jl_wave_now_ms(jl);
	}
	jl->pools->next_ms = 0;
}

/* Records that a move is done. Its worker has ended, unless the list still
 * shows it. After an answer the last list is out of date: until the next one
 * the machine counts as on its way, so that no wave records maintenance of it
 * with the worker that has ended. */
static void
finish_move(struct jlead *jl, const Job__Move *m, bool is_listed)
{
	struct jl_seen *s = jl_wave_find_seen(jl->waves, m->machine);

	if (!is_listed && s != NULL) {
		s->state = JCLOUD_MOVING;
		s->moved_at_ms = jl_wave_now_ms(jl);
	}
	if (!is_listed || s == NULL || s->worker == NULL || m->worker == NULL ||
	    strcmp(s->worker, m->worker) != 0)
		jl_wave_end_worker(jl, m->worker);
	propose(jl, m, JOB__MOVE_STATE__MOVE_DONE, jl_pool_note(jl, m),
	    is_listed ? "listed" : "done");
}

/* Gives up a move, so that its machine takes work again. */
static void
give_up(struct jlead *jl, const Job__Move *m, const char *why)
{
	struct jl_seen *s = jl_wave_find_seen(jl->waves, m->machine);

	if (s != NULL)
		s->move_after_ms = jl_wave_now_ms(jl) + GIVEN_UP_PAUSE_MS;
	ctr_add(jl->ctr, JCTR_MOVE_GIVEN_UP, 1);
	propose(
	    jl, m, JOB__MOVE_STATE__MOVE_FORGOTTEN, jl_pool_note(jl, m), why);
}

/* ---- results ---- */

/* Handles the result of an order. */
static void
handle_result(struct jlead *jl, const Job__Move *m, struct jl_move_note *n,
    enum jcloud_result r)
{
	int64_t t = jl_wave_now_ms(jl);

	n->retry_ms = t + n->backoff_ms;
	n->backoff_ms = MIN(n->backoff_ms * 2, RETRY_MAX_MS);
	switch (r) {
	case JCLOUD_DONE:
		finish_move(jl, m, false);
		return;
	case JCLOUD_NO_ANSWER:
		n->may_be_sent = true;
		n->late_ms = t + JL_MOVE_LATE_MS;
		/* Only a list that is requested from now on shows whether it
		 * was carried out. */
		n->decided_ms = t;
		return;
	case JCLOUD_FENCED:
	case JCLOUD_LIMITED:
	case JCLOUD_NOT_SENT:
		n->nfailed++;
		return;
	case JCLOUD_UNKNOWN:
		jl_pool_refuse(jl, m->from, m->to);
		n->is_refused = true;
		return;
	case JCLOUD_BUSY:
	case JCLOUD_NOT_MEMBER:
		n->is_refused = true;
		return;
	}
}

/* Takes the result of an order; false if no move has that serial. */
bool
jl_pool_ordered(struct jlead *jl, uint64_t serial, enum jcloud_result r)
{
	const Job__Move *m;
	struct jl_move_note *n;
	enum jctr which;
	const char *name = jl_pool_result_name(r, &which);
	GHashTableIter it;
	gpointer key, value;

	if (jl->pools == NULL)
		return false;
	g_hash_table_iter_init(&it, jl->pools->notes);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		n = value;
		if (!n->in_flight || n->serial != serial)
			continue;
		n->in_flight = false;
		ctr_add(jl->ctr, which, 1);
		jl->pools->next_ms = 0;
		m = jst_find_move(jl->st, key);
		if (m == NULL || m->state != JOB__MOVE_STATE__MOVE_BEGUN)
			return true;
		log_event(LOG_NOTICE, "job",
		    "event=move state=answered machine=%s from=%s to=%s "
		    "serial=%" PRIu64 " result=%s",
		    m->machine, m->from, m->to, serial, name);
		if (!n->recording)
			handle_result(jl, m, n, r);
		return true;
	}
	return false;
}

/* ---- acting on the decision ---- */

/* Sends the order of a move. The worker gets no work while it is in flight. */
static void
send_order(struct jlead *jl, const Job__Move *m, struct jl_move_note *n)
{
	struct wsess *ws = jl_wave_session(jl, m->worker);
	struct jcloud_order o = {
		.kind = JCLOUD_ORDER_MOVE, .machine = m->machine, .pool = m->to
	};

	if (ws != NULL)
		ws->awaits_move = true;
	n->in_flight = true;
	n->serial = jl->waves->serial + 1;
	if (!jl_wave_send(jl, &o)) {
		n->in_flight = false;
		return;
	}
	ctr_add(jl->ctr, JCTR_MOVE_ORDERS, 1);
	log_event(LOG_NOTICE, "job",
	    "event=move state=ordered machine=%s from=%s to=%s worker=%s "
	    "fence=%" PRIu64 " serial=%" PRIu64 " token=%" PRIu64,
	    m->machine, m->from, m->to, m->worker == NULL ? "-" : m->worker,
	    o.fence, o.serial, jl->token);
}

/* Tells whether the list shows that an open move was carried out. */
static bool
shows_done(const struct jlead *jl, const Job__Move *m,
    const struct jl_move_note *n, const struct jl_seen *s)
{
	if (s == NULL || s->pool == NULL || jl->waves->list_ms <= n->decided_ms)
		return false;
	return strcmp(s->pool, m->to) == 0 ||
	    (s->state == JCLOUD_MOVING && n->may_be_sent);
}

/* Tells whether the order of a move may be sent, as far as its machine goes. */
static bool
is_ready(const struct jlead *jl, const Job__Move *m,
    const struct jl_move_note *n, const struct jl_seen *s)
{
	return jl_pool_may_move(jl, m->machine, s) &&
	    strcmp(s->pool, m->from) == 0 &&
	    g_strcmp0(s->worker, m->worker) == 0 &&
	    (!n->may_be_sent || jl->waves->list_ms > n->decided_ms);
}

/* Tells whether no order of a move can be carried out any more, and a list
 * requested since doesn't show that one was. */
static bool
is_over(const struct jlead *jl, const struct jl_move_note *n,
    const struct jl_seen *s)
{
	return !n->may_be_sent ||
	    (s != NULL && jl_wave_now_ms(jl) >= n->late_ms &&
		jl->waves->list_ms > MAX(n->decided_ms, n->late_ms));
}

/* Continues an open move: sends its order while it is needed and its machine
 * is as it was recorded, else gives it up. */
static void
continue_move(struct jlead *jl, const Job__Move *m, bool is_needed)
{
	struct jl_move_note *n = jl_pool_note(jl, m);
	const struct jl_seen *s = jl_wave_find_seen(jl->waves, m->machine);
	int64_t t = jl_wave_now_ms(jl);
	bool is_known = s != NULL && jl_pool_list_is_recent(jl) &&
	    (!n->may_be_sent || jl->waves->list_ms > n->decided_ms);

	if (n->recording || n->in_flight)
		return;
	if (shows_done(jl, m, n, s)) {
		finish_move(jl, m, true);
	} else if (jl_wave_has_left(jl->waves, m->machine)) {
		give_up(jl, m, "left");
	} else if (!is_needed || n->is_refused ||
	    n->nfailed >= FAILED_ORDERS_MAX ||
	    (is_known && !is_ready(jl, m, n, s))) {
		if (is_over(jl, n, s))
			give_up(jl, m, is_needed ? "given_up" : "not_needed");
	} else if (!n->may_be_sent && t - n->since_ms >= UNSENT_MAX_MS) {
		give_up(jl, m, "unsent");
	} else if (is_known && t >= n->retry_ms &&
	    !jl->waves->is_order_refused) {
		send_order(jl, m, n);
	}
}

/* Forgets a move that was done, unless its machine is away from its spare pool
 * or was moved lately. */
static void
review_done(struct jlead *jl, const Job__Move *m)
{
	const struct jl_seen *s = jl_wave_find_seen(jl->waves, m->machine);
	int64_t age_ms = jl_pool_age_ms(jl, m);
	bool is_elsewhere = s != NULL && s->pool != NULL &&
	    jl_pool_list_is_recent(jl) && strcmp(s->pool, m->to) != 0;

	if (jl_pool_has_open(jl, m->machine) || age_ms < SETTLED_MS)
		return;
	if ((age_ms >= KEPT_MS && !jl_pool_is_away(jl->pools, m)) ||
	    is_elsewhere ||
	    (jl->waves->nlists > 0 && jl_pool_is_away(jl->pools, m) &&
		jl_wave_has_left(jl->waves, m->machine)))
		propose(jl, m, JOB__MOVE_STATE__MOVE_FORGOTTEN, note_new(jl, m),
		    "forgotten");
}

/* Closes a machine and records that its move begins. */
static void
begin_move(struct jlead *jl, const char *machine, size_t to)
{
	const struct jl_seen *s = jl_wave_find_seen(jl->waves, machine);
	const Job__Move *last = jst_find_move(jl->st, machine);
	struct wsess *ws;
	Job__Move m = JOB__MOVE__INIT;
	const Job__Service *from;

	if (s == NULL)
		return;
	ws = jl_wave_session(jl, s->worker);
	if (ws != NULL)
		ws->awaits_move = true;
	from = jst_service(jl->st, s->pool);
	m.machine = (char *)(uintptr_t)machine;
	m.from = s->pool;
	m.to = (char *)(uintptr_t)jl_pool_name(jl, to);
	m.worker = s->worker;
	if (last != NULL)
		m.home = last->home;
	if (m.home == NULL && from != NULL && from->spare)
		m.home = s->pool;
	propose(jl, &m, JOB__MOVE_STATE__MOVE_BEGUN, note_new(jl, &m), "begun");
}

/* Carries out what was chosen for a machine. */
static void
act(struct jlead *jl, const char *machine, const struct jpool_machine *k)
{
	const Job__Move *m = jst_find_move(jl->st, machine);

	if (m != NULL && m->state == JOB__MOVE_STATE__MOVE_BEGUN)
		continue_move(jl, m, k->is_needed);
	else if (k->choice != JPOOL_NONE && !jl_pool_has_open(jl, machine))
		begin_move(jl, machine, k->choice);
	else if (m != NULL)
		review_done(jl, m);
}

/* Closes the workers of open moves. After an order without an answer a worker
 * is open again once no copy can be carried out. */
static void
mark_sessions(struct jlead *jl)
{
	struct jl_pools *p = jl->pools;
	const struct jl_move_note *n;
	const struct jl_seen *s;
	struct wsess *ws;
	GHashTableIter it;
	gpointer key, value;
	size_t i;

	for (ws = jl->sessions; ws != NULL; ws = ws->next)
		ws->awaits_move = false;
	for (i = 0; i < jl->st->nmoves; i++) {
		if (jl->st->moves[i]->state == JOB__MOVE_STATE__MOVE_BEGUN)
			jl_pool_note(jl, jl->st->moves[i]);
	}
	g_hash_table_iter_init(&it, p->notes);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		n = value;
		if (n->may_be_sent && !n->in_flight && !n->recording &&
		    jl_wave_now_ms(jl) >= n->late_ms)
			continue;
		ws = jl_wave_session(jl, n->worker);
		if (ws != NULL)
			ws->awaits_move = true;
		s = jl_wave_find_seen(jl->waves, key);
		ws = s == NULL ? NULL : jl_wave_session(jl, s->worker);
		if (ws != NULL)
			ws->awaits_move = true;
	}
	p->is_active = g_hash_table_size(p->notes) > 0;
}

/* Decides, acts, and reads the list if it is needed. */
static void
run_pools(struct jlead *jl)
{
	struct jl_pools *p = jl->pools;
	const struct jpool_machine *m;
	size_t i;

	mark_sessions(jl);
	jl_pool_fill_input(jl);
	jpool_choose(&p->in);
	for (i = 0; i < p->in.nmachines &&
	     clk_diff_ms(jl->now, jl->leading_since) >=
		 jl->waves->holder_wait_ms;
	     i++) {
		m = &g_array_index(p->machines, struct jpool_machine, i);
		if (i < p->nrecords || m->choice != JPOOL_NONE)
			act(jl, g_ptr_array_index(p->names, i), m);
	}
	if (jl_pool_needs_list(jl))
		jl_wave_read(jl);
	jl_pool_log(jl);
}

/* Decides on moves and continues the open ones; does nothing where there is
 * only one service. */
void
jl_pool_tick(struct jlead *jl)
{
	struct jl_pools *p = jl->pools;

	if (p == NULL || jl_wave_now_ms(jl) < p->next_ms ||
	    (!jl_pool_is_possible(jl) && !p->is_active))
		return;
	p->next_ms = jl_wave_now_ms(jl) + JL_POOL_TICK_MS;
	jl_pool_scan(jl);
	if (p->demands->len > 0 || jl->st->nmoves > 0 || p->is_active)
		run_pools(jl);
}
