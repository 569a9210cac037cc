#include <stdlib.h>
#include <string.h>

#include "job/jst.h"

/* Moves of machines between pools: at most one record for each machine. */

/* Returns the index of a machine's move, or their number. */
static size_t
find_index(const struct jst *s, const char *machine)
{
	size_t i;

	for (i = 0; i < s->nmoves; i++) {
		if (strcmp(s->moves[i]->machine, machine) == 0)
			break;
	}
	return i;
}

/* Returns the recorded move of a machine, NULL if there is none. */
const Job__Move *
jst_find_move(const struct jst *s, const char *machine)
{
	size_t i = find_index(s, machine);

	return i < s->nmoves ? s->moves[i] : NULL;
}

/* Returns a copy of a record. */
static Job__Move *
copy_move(const Job__Move *m)
{
	size_t len = job__move__get_packed_size(m);
	uint8_t *buf = malloc(len + 1);
	Job__Move *copy;

	if (buf == NULL)
		abort();
	job__move__pack(m, buf);
	copy = job__move__unpack(NULL, len, buf);
	free(buf);
	if (copy == NULL)
		abort();
	return copy;
}

/* Records a move that begins. A machine has one open move at a time. */
static void
begin_move(struct jst *s, size_t i, const Job__Move *m, struct jst_result *r)
{
	if (i < s->nmoves && s->moves[i]->state != JOB__MOVE_STATE__MOVE_DONE) {
		r->status = STATUS_EXISTS;
		return;
	}
	if (i == s->nmoves && s->nmoves == JST_MOVES_MAX) {
		r->status = STATUS_FULL;
		return;
	}
	if (i < s->nmoves) {
		job__move__free_unpacked(s->moves[i], NULL);
	} else {
		s->moves =
		    realloc(s->moves, (s->nmoves + 1) * sizeof(*s->moves));
		if (s->moves == NULL)
			abort();
		s->nmoves++;
	}
	s->moves[i] = copy_move(m);
}

/* Forgets a move. A machine that stays away from its spare pool because its
 * move was given up keeps a record of that. */
static void
forget_move(struct jst *s, size_t i, const Job__Move *m)
{
	Job__Move *r = s->moves[i];

	if (r->state == JOB__MOVE_STATE__MOVE_BEGUN && r->home != NULL &&
	    strcmp(r->home, r->from) != 0) {
		free(r->to);
		r->to = r->from;
		r->from = strdup(r->home);
		if (r->from == NULL)
			abort();
		r->state = JOB__MOVE_STATE__MOVE_DONE;
		r->at_ms = m->at_ms;
		return;
	}
	job__move__free_unpacked(r, NULL);
	s->nmoves--;
	memmove(&s->moves[i], &s->moves[i + 1],
	    (s->nmoves - i) * sizeof(s->moves[0]));
}

/* Begins a move, records that it is done, or forgets it. STATUS_STALE if
 * another move of the machine is recorded by now. A snapshot holds moves that
 * are done without their beginning. */
void
jst_apply_move(struct jst *s, const Job__Move *m, struct jst_result *r)
{
	size_t i = find_index(s, m->machine);

	if (m->state == JOB__MOVE_STATE__MOVE_BEGUN || s->loading) {
		begin_move(s, i, m, r);
	} else if (i == s->nmoves) {
		r->status = STATUS_NOT_FOUND;
	} else if (strcmp(s->moves[i]->from, m->from) != 0 ||
	    strcmp(s->moves[i]->to, m->to) != 0) {
		r->status = STATUS_STALE;
	} else if (m->state == JOB__MOVE_STATE__MOVE_DONE) {
		s->moves[i]->state = JOB__MOVE_STATE__MOVE_DONE;
		s->moves[i]->at_ms = m->at_ms;
	} else {
		forget_move(s, i, m);
	}
}

/* Frees all records of moves. */
void
jst_free_moves(struct jst *s)
{
	size_t i;

	for (i = 0; i < s->nmoves; i++)
		job__move__free_unpacked(s->moves[i], NULL);
	free(s->moves);
}
