#include <stdlib.h>
#include <string.h>

#include "job/jst.h"

/*
 * Snapshots: packs the state into one message and loads it. Jobs are packed and
 * unpacked one at a time, as all their messages at once would take more memory
 * than the state itself.
 */

/* A snapshot grows by this, or by an eighth. */
#define GROW_BYTES ((size_t)64 * 1024)
/* Type of a message in the wire format of Protocol Buffers, and the longest
 * number there. */
#define WIRE_MESSAGE	2
#define WIRE_NUMBER_MAX 10

/* A snapshot being written. */
struct out {
	TALLOC_CTX *ctx;
	uint8_t *p;
	size_t len, cap;
};

/* Makes room for n more bytes. */
static void
out_reserve(struct out *o, size_t n)
{
	size_t more = o->cap / 8 > GROW_BYTES ? o->cap / 8 : GROW_BYTES;

	if (n <= o->cap - o->len)
		return;
	o->cap += n > more ? n : more;
	o->p = talloc_realloc(o->ctx, o->p, uint8_t, o->cap);
	if (o->p == NULL)
		abort();
}

/* Appends a number. */
static void
out_number(struct out *o, uint64_t v)
{
	for (; v >= 0x80; v >>= 7)
		o->p[o->len++] = (uint8_t)(v | 0x80);
	o->p[o->len++] = (uint8_t)v;
}

/* Appends a message as a field of the snapshot. */
static void
out_message(struct out *o, uint32_t field, const ProtobufCMessage *m)
{
	size_t len = protobuf_c_message_get_packed_size(m);

	out_reserve(o, len + 2 * WIRE_NUMBER_MAX);
	out_number(o, (uint64_t)field << 3 | WIRE_MESSAGE);
	out_number(o, len);
	protobuf_c_message_pack(m, o->p + o->len);
	o->len += len;
}

/* Returns the number of the field of a snapshot that has this name. */
static uint32_t
get_field(const char *name)
{
	const ProtobufCFieldDescriptor *f =
	    protobuf_c_message_descriptor_get_field_by_name(
		&job__image__descriptor, name);

	if (f == NULL)
		abort();
	return f->id;
}

/* Returns the number of tasks of one occurrence. */
static uint32_t
task_count(const Job__Spec *spec)
{
	uint32_t i, n = 0;

	for (i = 0; i < spec->n_steps; i++)
		n += spec->steps[i]->count;
	return n;
}

/* Fills the snapshot of a task. The checkpoint of a gang is in its first one
 * only. */
static void
pack_task(const struct jst_step *st, uint32_t index, Job__TaskImage *im)
{
	const struct jst_task *t = &st->tasks[index];

	job__task_image__init(im);
	im->has_run = t->run > 0;
	im->run = t->run;
	im->has_fails = t->nfailed > 0;
	im->fails = t->nfailed;
	im->has_done = im->done = t->state == JST_DONE;
	im->has_worker = t->worker != NULL;
	im->worker = t->worker == NULL ? 0 : t->worker->num;
	if (st->spec->gang && index > 0)
		return;
	im->saved = (char *)(uintptr_t)jst_checkpoint(st, t);
	im->has_saved_run = st->checkpoint_run > 0;
	im->saved_run = st->checkpoint_run;
}

/* Returns the snapshot of an occurrence. */
static Job__OccurrenceImage *
pack_occurrence(TALLOC_CTX *ctx, const struct jst_occ *o)
{
	const Job__Spec *spec = o->job->spec;
	Job__OccurrenceImage *im = talloc(ctx, Job__OccurrenceImage);
	uint32_t i, k, at = 0, n = task_count(spec);
	Job__TaskImage *v = talloc_array(ctx, Job__TaskImage, n);

	if (im == NULL || v == NULL)
		abort();
	job__occurrence_image__init(im);
	im->number = o->number;
	im->tasks = talloc_array(ctx, Job__TaskImage *, n);
	if (im->tasks == NULL)
		abort();
	im->n_tasks = n;
	for (i = 0; i < spec->n_steps; i++) {
		for (k = 0; k < o->steps[i].spec->count; k++, at++) {
			pack_task(&o->steps[i], k, &v[at]);
			im->tasks[at] = &v[at];
		}
	}
	return im;
}

/* Appends the snapshot of a job. One that has ended and has no assigned task
 * has no specification. */
static void
pack_job(struct out *out, uint32_t field, const struct jst_job *j)
{
	TALLOC_CTX *tmp = talloc_new(NULL);
	Job__JobImage im = JOB__JOB_IMAGE__INIT;
	Job__Submit submit = JOB__SUBMIT__INIT;
	Job__Spec spec = JOB__SPEC__INIT;
	char text[] = "";
	uint32_t i;

	spec.text = text;
	submit.job = j->id;
	submit.queue = j->queue;
	submit.at_ms = j->submitted_ms;
	submit.spec = &spec;
	im.submit =
	    j->state == JST_ACTIVE || j->ncounted > 0 ? j->submit : &submit;
	im.state = j->state;
	im.has_ended_ms = 1;
	im.ended_ms = j->ended_ms;
	im.has_started = 1;
	im.started = j->started;
	im.has_sparse = im.sparse = 1;
	im.has_opened = 1;
	im.opened = j->opened;
	im.has_withdrawn = im.withdrawn = j->is_withdrawn;
	im.occurrences =
	    talloc_array(tmp, Job__OccurrenceImage *, j->nlive + 1);
	if (im.occurrences == NULL)
		abort();
	for (i = 0; i < j->nlive; i++) {
		if (j->live[i]->is_counted && !j->live[i]->is_retired)
			im.occurrences[im.n_occurrences++] =
			    pack_occurrence(tmp, j->live[i]);
	}
	out_message(out, field, &im.base);
	talloc_free(tmp);
}

/* Appends the snapshots of a list of jobs. */
static void
pack_jobs(struct out *out, uint32_t field, const struct jst_job *j)
{
	for (; j != NULL; j = j->next)
		pack_job(out, field, j);
}

/* Adds the maintenance waves to a snapshot. */
static void
pack_waves(const struct jst *s, TALLOC_CTX *ctx, Job__Image *im)
{
	const struct jst_wave *w;
	size_t i, n = 0, steps = 0;

	for (w = s->waves; w != NULL; w = w->next, n++)
		steps += w->info->n_machines;
	im->waves = talloc_array(ctx, Job__Wave *, n + 1);
	im->wave_steps = talloc_array(ctx, Job__WaveStep *, steps + 1);
	if (im->waves == NULL || im->wave_steps == NULL)
		abort();
	for (w = s->waves; w != NULL; w = w->next) {
		im->waves[im->n_waves++] = w->info;
		for (i = 0; i < w->info->n_machines; i++) {
			Job__WaveStep *st = talloc(ctx, Job__WaveStep);

			if (st == NULL)
				abort();
			job__wave_step__init(st);
			st->wave = w->info->id;
			st->machine = w->info->machines[i];
			st->state = (Job__WaveState)w->states[i];
			st->worker = w->orders[i].worker;
			st->has_attempt = w->orders[i].attempt > 0;
			st->attempt = w->orders[i].attempt;
			im->wave_steps[im->n_wave_steps++] = st;
		}
	}
}

/* Adds the workers to a snapshot. */
static void
pack_workers(const struct jst *s, TALLOC_CTX *ctx, Job__Image *im)
{
	size_t i;

	im->workers = talloc_array(ctx, Job__Worker *, s->nworkers + 1);
	if (im->workers == NULL)
		abort();
	for (i = 0; i < s->nworkers; i++) {
		Job__Worker *copy = talloc_memdup(
		    ctx, s->workers[i]->info, sizeof(Job__Worker));

		if (copy == NULL)
			abort();
		copy->has_draining = 1;
		copy->draining = s->workers[i]->draining;
		im->workers[im->n_workers++] = copy;
	}
}

/* Adds the recorded memory of replicas to a snapshot. */
static void
pack_limits(const struct jst *s, TALLOC_CTX *ctx, Job__Image *im)
{
	Job__Limit *v = talloc_array(ctx, Job__Limit, s->nlimits + 1);
	size_t i;

	im->limits = talloc_array(ctx, Job__Limit *, s->nlimits + 1);
	if (im->limits == NULL || v == NULL)
		abort();
	for (i = 0; i < s->nlimits; i++) {
		job__limit__init(&v[i]);
		v[i].instance = s->limits[i].instance;
		v[i].memory_mb = s->limits[i].memory_mb;
		im->limits[im->n_limits++] = &v[i];
	}
}

/* Returns the whole state as bytes owned by ctx. */
struct str
jst_pack(const struct jst *s, TALLOC_CTX *ctx)
{
	struct out out = { .ctx = ctx };
	Job__Image im = JOB__IMAGE__INIT;
	TALLOC_CTX *tmp = talloc_new(NULL);
	uint32_t field = get_field("jobs");

	im.config = s->config;
	im.next_worker = s->next_worker;
	pack_workers(s, tmp, &im);
	im.left = s->left;
	im.n_left = s->nleft;
	im.evacuations = s->evacuations;
	im.n_evacuations = s->nevacuations;
	im.moves = s->moves;
	im.n_moves = s->nmoves;
	im.waves_done = s->waves_done;
	im.n_waves_done = s->nwaves_done;
	pack_waves(s, tmp, &im);
	pack_limits(s, tmp, &im);
	out_reserve(&out, job__image__get_packed_size(&im) + 1);
	out.len = job__image__pack(&im, out.p);
	talloc_free(tmp);
	pack_jobs(&out, field, s->active);
	pack_jobs(&out, field, s->dormant);
	pack_jobs(&out, field, s->ended);
	out.p = talloc_realloc(ctx, out.p, uint8_t, out.len + 1);
	if (out.p == NULL)
		abort();
	return str_mem(out.p, out.len);
}

/* Loads the checkpoint of a task, or of a gang. Snapshots of earlier versions
 * have one for each member; all members then resume from the first. */
static void
load_checkpoint(struct jst *s, struct jst_step *st, struct jst_task *t,
    const Job__TaskImage *ti)
{
	char **checkpoint = st->spec->gang ? &st->checkpoint : &t->checkpoint;

	if (ti->saved_run > st->checkpoint_run)
		st->checkpoint_run = ti->saved_run;
	if (ti->saved != NULL && *checkpoint == NULL)
		jst_save_checkpoint(s, st, checkpoint, ti->saved);
}

/* Loads the tasks of an occurrence. */
static void
load_tasks(struct jst *s, struct jst_occ *o, Job__TaskImage **v)
{
	uint32_t i, k, at = 0;

	for (i = 0; i < o->job->spec->n_steps; i++) {
		struct jst_step *st = &o->steps[i];

		for (k = 0; k < st->spec->count; k++, at++) {
			const Job__TaskImage *ti = v[at];
			struct jst_task *t = &st->tasks[k];

			t->run = ti->run;
			t->nfailed = ti->fails;
			load_checkpoint(s, st, t, ti);
			t->worker = jst_find_worker(s, ti->worker);
			if (ti->done) {
				t->state = JST_DONE;
				st->ndone++;
				st->nwaiting--;
			} else if (t->worker != NULL) {
				t->state = JST_ASSIGNED;
				t->worker->nassigned++;
				o->nassigned++;
				st->nwaiting--;
			}
		}
		o->ndone += st->ndone == st->spec->count;
	}
}

/* Loads an occurrence that isn't done. */
static void
load_occurrence(
    struct jst *s, struct jst_job *j, uint32_t number, Job__TaskImage **v)
{
	struct jst_occ *o = jst_find_occ(j, number);

	if (o == NULL) {
		j->next_open = number;
		o = jst_occ_open(s, j);
		o->is_counted = true;
		j->nsoft--;
		j->ncounted++;
	}
	load_tasks(s, o, v);
}

/* Tells whether all tasks of an occurrence are done, or any has been
 * assigned. */
static bool
is_image_done(Job__TaskImage *const *v, uint32_t n, bool *is_touched)
{
	uint32_t i, ndone = 0;

	*is_touched = false;
	for (i = 0; i < n; i++) {
		ndone += v[i]->done;
		*is_touched |= v[i]->done || v[i]->run > 0 || v[i]->worker > 0;
	}
	return ndone == n;
}

/* Loads the occurrences from a snapshot of an earlier version, which has all
 * tasks. Returns how many are done. */
static uint32_t
load_all_tasks(struct jst *s, struct jst_job *j, const Job__JobImage *im)
{
	uint32_t i, n = task_count(j->spec), opened = j->opened, ndone = 0;
	bool is_touched;

	for (i = 0; i < j->occurrences; i++) {
		is_image_done(im->tasks + (size_t)i * n, n, &is_touched);
		if (is_touched)
			opened = i + 1;
	}
	for (i = 0; i < opened; i++) {
		Job__TaskImage **v = im->tasks + (size_t)i * n;

		if (is_image_done(v, n, &is_touched))
			ndone++;
		else
			load_occurrence(s, j, i, v);
	}
	j->opened = opened;
	return ndone;
}

/* Tells whether the occurrences of a snapshot match the job's
 * specification. */
static bool
is_sound(const struct jst_job *j, const Job__JobImage *im)
{
	uint32_t n = task_count(j->spec);
	size_t i;

	if (!im->sparse)
		return im->n_tasks == (size_t)n * j->occurrences;
	for (i = 0; i < im->n_occurrences; i++) {
		if (im->occurrences[i]->n_tasks != n ||
		    im->occurrences[i]->number >= im->opened ||
		    (i > 0 &&
			im->occurrences[i]->number <=
			    im->occurrences[i - 1]->number))
			return false;
	}
	return im->opened <= j->occurrences && im->opened >= j->opened;
}

/* Loads the occurrences of a job. */
static void
load_occurrences(struct jst *s, struct jst_job *j, const Job__JobImage *im)
{
	size_t i;

	if (!im->sparse) {
		j->ndone = load_all_tasks(s, j, im);
	} else {
		for (i = 0; i < im->n_occurrences; i++)
			load_occurrence(s, j, im->occurrences[i]->number,
			    im->occurrences[i]->tasks);
		j->opened = im->opened;
		j->ndone = im->opened - (uint32_t)im->n_occurrences;
	}
	j->next_open = j->opened;
	for (i = 0; i < j->nlive; i++)
		jst_occ_check(s, j->live[i]);
	jst_update_memory(s, j);
	jst_set_timer(s, j);
}

/* Loads a job that has ended and has no assigned task. */
static void
load_ended(struct jst *s, const Job__JobImage *im)
{
	struct jst_job *j = jst_job_new_ended(
	    s, im->submit->job, im->submit->queue, im->submit->at_ms);

	j->state = (enum jst_job_state)im->state;
	j->ended_ms = im->ended_ms;
	j->started = im->started;
	j->opened = j->next_open = im->opened;
	j->is_withdrawn = im->sparse ? im->withdrawn : true;
	s->nwithdrawn += j->is_withdrawn;
}

/* Loads a job. STATUS_CORRUPT if its tasks don't match its specification. */
static enum status
load_job(struct jst *s, const Job__JobImage *im, struct err *e)
{
	bool is_known = g_hash_table_contains(s->jobs, &im->submit->job);
	struct jst_result r;
	struct jst_job *j;

	if (!is_known && im->submit->spec->n_steps == 0 &&
	    im->state != JST_ACTIVE) {
		load_ended(s, im);
		return STATUS_OK;
	}
	if (is_known || im->submit->spec->n_steps == 0)
		return err_set(e, STATUS_CORRUPT, "snapshot: a job is damaged");
	j = jst_job_new(s, im->submit);
	if (!is_sound(j, im))
		return err_set(e, STATUS_CORRUPT, "snapshot: a job is damaged");
	load_occurrences(s, j, im);
	if (im->started)
		jst_job_begun(j);
	if (im->state != JST_ACTIVE)
		jst_job_end(
		    s, j, (enum jst_job_state)im->state, im->ended_ms, &r);
	jst_free_dead(s);
	return STATUS_OK;
}

/* Loads everything but the jobs. */
static void
load_rest(struct jst *s, Job__Image *im)
{
	Job__Command c = JOB__COMMAND__INIT;
	struct jst_result r;
	size_t i;

	c.config = im->config;
	if (c.config != NULL)
		jst_apply(s, &c, &r);
	c.config = NULL;
	for (i = 0; i < im->n_workers; i++) {
		s->next_worker = im->workers[i]->num;
		c.worker = im->workers[i];
		jst_apply(s, &c, &r);
	}
	s->next_worker = im->next_worker;
	c.worker = NULL;
	/* After the workers, which are loaded as they were registered. */
	for (i = 0; i < im->n_left; i++) {
		jst_add_left(s, im->left[i]);
		im->left[i] = NULL;
	}
	im->n_left = 0;
	/* The list is newest first, so add the oldest first. */
	for (i = im->n_waves; i > 0; i--) {
		c.wave = im->waves[i - 1];
		jst_apply(s, &c, &r);
	}
	c.wave = NULL;
	for (i = 0; i < im->n_wave_steps; i++) {
		c.wave_step = im->wave_steps[i];
		jst_apply(s, &c, &r);
	}
	c.wave_step = NULL;
	for (i = 0; i < im->n_evacuations; i++) {
		c.evacuation = im->evacuations[i];
		jst_apply(s, &c, &r);
	}
	c.evacuation = NULL;
	for (i = 0; i < im->n_moves; i++) {
		c.move = im->moves[i];
		jst_apply(s, &c, &r);
	}
	c.move = NULL;
	for (i = 0; i < im->n_limits; i++) {
		c.limit = im->limits[i];
		jst_apply(s, &c, &r);
	}
	for (i = 0; i < im->n_waves_done; i++)
		jst_add_wave_done(s, im->waves_done[i]);
}

/* Reads a number from the front; false if there is none. */
static bool
read_number(struct str *in, uint64_t *v)
{
	unsigned shift;

	*v = 0;
	for (shift = 0; in->len > 0 && shift < 64; shift += 7) {
		uint8_t b = (uint8_t)in->p[0];

		*in = str_mem(in->p + 1, in->len - 1);
		*v |= (uint64_t)(b & 0x7f) << shift;
		if (b < 0x80)
			return true;
	}
	return false;
}

/* Reads the tag and the length of a field from the front of a snapshot, whose
 * fields are all messages but for numbers. Sets *value to the content of a
 * message. False if it is malformed. */
static bool
read_field(struct str *in, uint32_t *field, struct str *value)
{
	uint64_t tag, n;

	*value = str_mem(NULL, 0);
	if (!read_number(in, &tag) || !read_number(in, &n))
		return false;
	*field = (uint32_t)(tag >> 3);
	if ((tag & 7) == 0)
		return true;
	if ((tag & 7) != WIRE_MESSAGE || n > in->len)
		return false;
	*value = str_mem(in->p, n);
	*in = str_mem(in->p + n, in->len - n);
	return true;
}

/* Loads everything but the jobs; what is before and after them is copied
 * together first. */
static enum status
unpack_rest(struct jst *s, struct str data, struct err *e)
{
	struct str in = data, value;
	uint32_t field, jobs = get_field("jobs");
	uint8_t *buf = NULL;
	size_t len = 0;
	Job__Image *im;

	while (in.len > 0) {
		const char *from = in.p;
		size_t n;

		if (!read_field(&in, &field, &value)) {
			free(buf);
			return err_set(e, STATUS_CORRUPT,
			    "snapshot: the state is malformed");
		}
		if (field == jobs)
			continue;
		n = (size_t)(in.p - from);
		buf = realloc(buf, len + n);
		if (buf == NULL)
			abort();
		memcpy(buf + len, from, n);
		len += n;
	}
	im = job__image__unpack(NULL, len, buf);
	free(buf);
	if (im == NULL)
		return err_set(
		    e, STATUS_CORRUPT, "snapshot: the state is malformed");
	load_rest(s, im);
	job__image__free_unpacked(im, NULL);
	return STATUS_OK;
}

/* Loads the jobs, one at a time. */
static enum status
unpack_jobs(struct jst *s, struct str data, struct err *e)
{
	uint32_t field, jobs = get_field("jobs");
	enum status st = STATUS_OK;
	struct str value;
	Job__JobImage *im;

	while (st == STATUS_OK && data.len > 0 &&
	    read_field(&data, &field, &value)) {
		if (field != jobs)
			continue;
		im = job__job_image__unpack(
		    NULL, value.len, (const uint8_t *)value.p);
		if (im == NULL)
			return err_set(
			    e, STATUS_CORRUPT, "snapshot: a job is malformed");
		st = load_job(s, im, e);
		job__job_image__free_unpacked(im, NULL);
	}
	return st;
}

/* Replaces the state by one that jst_pack returned. STATUS_CORRUPT if it can't
 * be read. */
enum status
jst_unpack(struct jst *s, struct str data, struct err *e)
{
	enum status st;

	jst_finish(s);
	jst_init(s);
	s->loading = true;
	st = unpack_rest(s, data, e);
	if (st == STATUS_OK)
		st = unpack_jobs(s, data, e);
	s->loading = false;
	return st;
}
