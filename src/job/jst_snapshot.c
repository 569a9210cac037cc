#include <stdlib.h>
#include <string.h>

#include "job/jst.h"

/* Snapshots: packs the state into one message and loads it. */

/* Returns the number of tasks of a job over all occurrences. */
static uint32_t
task_count(const struct jst_job *j)
{
	uint32_t i, n = 0;

	for (i = 0; i < j->spec->n_steps; i++)
		n += j->spec->steps[i]->count;
	return n * j->occurrences;
}

/* Returns the snapshot of a job. */
static Job__JobImage *
pack_job(TALLOC_CTX *ctx, const struct jst_job *j)
{
	Job__JobImage *im = talloc(ctx, Job__JobImage);
	Job__TaskImage *v;
	uint32_t i, k, n = task_count(j), at = 0;

	if (im == NULL)
		abort();
	job__job_image__init(im);
	im->submit = j->submit;
	im->state = j->state;
	im->has_ended_ms = 1;
	im->ended_ms = j->ended_ms;
	im->has_started = 1;
	im->started = j->started;
	im->tasks = talloc_array(ctx, Job__TaskImage *, n);
	v = talloc_array(ctx, Job__TaskImage, n);
	if (im->tasks == NULL || v == NULL)
		abort();
	for (i = 0; i < j->occurrences * j->spec->n_steps; i++) {
		for (k = 0; k < j->steps[i].spec->count; k++, at++) {
			const struct jst_step *st = &j->steps[i];
			const struct jst_task *t = &st->tasks[k];

			job__task_image__init(&v[at]);
			v[at].has_run = t->run > 0;
			v[at].run = t->run;
			v[at].has_fails = t->nfailed > 0;
			v[at].fails = t->nfailed;
			v[at].has_done = v[at].done = t->state == JST_DONE;
			v[at].has_worker = t->worker != NULL;
			v[at].worker = t->worker == NULL ? 0 : t->worker->num;
			v[at].saved = (char *)(uintptr_t)jst_checkpoint(st, t);
			v[at].has_saved_run = st->checkpoint_run > 0;
			v[at].saved_run = st->checkpoint_run;
			im->tasks[at] = &v[at];
		}
	}
	im->n_tasks = n;
	return im;
}

/* Writes the snapshots of a list of jobs to v, unless it is NULL, and returns
 * their number. */
static size_t
pack_jobs(TALLOC_CTX *ctx, const struct jst_job *j, Job__JobImage **v)
{
	size_t n = 0;

	for (; j != NULL; j = j->next, n++) {
		if (v != NULL)
			v[n] = pack_job(ctx, j);
	}
	return n;
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

/* Returns the whole state as bytes owned by ctx. */
struct str
jst_pack(const struct jst *s, TALLOC_CTX *ctx)
{
	Job__Image im = JOB__IMAGE__INIT;
	TALLOC_CTX *tmp = talloc_new(ctx);
	size_t n = pack_jobs(tmp, s->active, NULL);
	uint8_t *buf;
	size_t len;

	im.config = s->config;
	im.next_worker = s->next_worker;
	im.n_jobs = n + pack_jobs(tmp, s->ended, NULL);
	im.jobs = talloc_array(tmp, Job__JobImage *, im.n_jobs + 1);
	if (im.jobs == NULL)
		abort();
	pack_jobs(tmp, s->active, im.jobs);
	pack_jobs(tmp, s->ended, im.jobs + n);
	pack_workers(s, tmp, &im);
	im.left = s->left;
	im.n_left = s->nleft;
	im.evacuations = s->evacuations;
	im.n_evacuations = s->nevacuations;
	im.moves = s->moves;
	im.n_moves = s->nmoves;
	pack_waves(s, tmp, &im);
	len = job__image__get_packed_size(&im);
	buf = talloc_size(ctx, len + 1);
	if (buf == NULL)
		abort();
	job__image__pack(&im, buf);
	talloc_free(tmp);
	return str_mem(buf, len);
}

/* Loads the checkpoint of a task, or of a gang. Snapshots of earlier versions
 * have one for each member; all members then resume from the first. */
static void
load_checkpoint(
    struct jst_step *st, struct jst_task *t, const Job__TaskImage *ti)
{
	char **checkpoint = st->spec->gang ? &st->checkpoint : &t->checkpoint;

	st->checkpoint_run = ti->saved_run;
	if (ti->saved == NULL || *checkpoint != NULL)
		return;
	*checkpoint = strdup(ti->saved);
	if (*checkpoint == NULL)
		abort();
}

/* Loads the tasks of a job. */
static void
load_tasks(struct jst *s, struct jst_job *j, const Job__JobImage *im)
{
	uint32_t i, k, at = 0;

	for (i = 0; i < j->occurrences * j->spec->n_steps; i++) {
		struct jst_step *st = &j->steps[i];

		for (k = 0; k < st->spec->count; k++, at++) {
			const Job__TaskImage *ti = im->tasks[at];
			struct jst_task *t = &st->tasks[k];

			t->run = ti->run;
			t->nfailed = ti->fails;
			load_checkpoint(st, t, ti);
			t->worker = jst_find_worker(s, ti->worker);
			if (ti->done) {
				t->state = JST_DONE;
				st->ndone++;
				st->nwaiting--;
			} else if (t->worker != NULL) {
				t->state = JST_ASSIGNED;
				t->worker->nassigned++;
				st->nwaiting--;
			}
		}
		j->ndone += st->ndone == st->spec->count;
	}
}

/* Ends a loaded job as cancelled at the time it ended. */
static void
load_cancel(struct jst *s, const Job__JobImage *im, struct jst_result *r)
{
	Job__Command c = JOB__COMMAND__INIT;
	Job__Cancel cancel = JOB__CANCEL__INIT;

	cancel.job = im->submit->job;
	cancel.at_ms = im->ended_ms;
	c.cancel = &cancel;
	jst_apply(s, &c, r);
}

/* Loads a job. STATUS_CORRUPT if its tasks don't match its specification. */
static enum status
load_job(struct jst *s, const Job__JobImage *im, struct err *e)
{
	Job__Command c = JOB__COMMAND__INIT;
	struct jst_result r;
	struct jst_job *j;

	if (im->submit->spec->n_steps == 0) {
		load_cancel(s, im, &r);
		return STATUS_OK;
	}
	c.submit = im->submit;
	jst_apply(s, &c, &r);
	j = r.job;
	if (r.status != STATUS_OK || im->n_tasks != task_count(j))
		return err_set(e, STATUS_CORRUPT, "snapshot: a job is damaged");
	load_tasks(s, j, im);
	j->started = im->started;
	if (im->state != JST_ACTIVE) {
		load_cancel(s, im, &r);
		j->state = (enum jst_job_state)im->state;
	}
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
}

/* Replaces the state by one that jst_pack returned. STATUS_CORRUPT if it can't
 * be read. */
enum status
jst_unpack(struct jst *s, struct str data, struct err *e)
{
	Job__Image *im =
	    job__image__unpack(NULL, data.len, (const uint8_t *)data.p);
	enum status st = STATUS_OK;
	size_t i;

	if (im == NULL)
		return err_set(
		    e, STATUS_CORRUPT, "snapshot: the state is malformed");
	jst_finish(s);
	jst_init(s);
	s->loading = true;
	load_rest(s, im);
	for (i = 0; st == STATUS_OK && i < im->n_jobs; i++)
		st = load_job(s, im->jobs[i], e);
	s->loading = false;
	job__image__free_unpacked(im, NULL);
	return st;
}
