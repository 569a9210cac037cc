#include "job/jcall.h"

#include <string.h>

#include "job/jst.h"

/* Checks that steps depend on earlier steps only, and that the number of tasks
 * is within its limit. */
enum status
jcall_check_spec(const Job__Spec *spec, struct err *e)
{
	uint64_t tasks = 0, repeat;
	size_t i, k;

	if (spec->text == NULL)
		return err_set(e, STATUS_INVALID, "spec: missing");
	if (spec->n_steps == 0 || spec->n_steps > JCALL_STEPS_MAX)
		return err_set(e, STATUS_INVALID, "steps: expected 1 to %d",
		    JCALL_STEPS_MAX);
	if (spec->repeat > JCALL_REPEAT_MAX)
		return err_set(
		    e, STATUS_INVALID, "repeat: over %d", JCALL_REPEAT_MAX);
	for (i = 0; i < spec->n_steps; i++) {
		const Job__Step *s = spec->steps[i];

		if (s->count == 0)
			return err_set(e, STATUS_INVALID,
			    "steps.%zu.count: expected 1 or more", i);
		tasks += s->count;
		for (k = 0; k < s->n_after; k++) {
			if (s->after[k] >= i)
				return err_set(e, STATUS_INVALID,
				    "steps.%zu.after: not an earlier step", i);
		}
	}
	repeat = spec->repeat == 0 ? 1 : spec->repeat;
	if (tasks > JST_TASKS_MAX || tasks * repeat > JST_TASKS_MAX)
		return err_set(
		    e, STATUS_INVALID, "steps: over %d tasks", JST_TASKS_MAX);
	return STATUS_OK;
}

/* Reports a missing field. */
static enum status
report_missing(struct err *e, const char *field)
{
	return err_set(e, STATUS_INVALID, "%s: missing", field);
}

/* Checks a call about a maintenance wave. */
static enum status
check_wave(const Job__Wave *w, struct err *e)
{
	size_t i;

	if (w == NULL)
		return report_missing(e, "wave");
	for (i = 0; i < w->n_machines; i++) {
		if (w->machines[i] == NULL)
			return report_missing(e, "wave.machines");
	}
	if (w->n_machines > JST_WAVE_MACHINES_MAX)
		return err_set(e, STATUS_INVALID, "wave.machines: over %d",
		    JST_WAVE_MACHINES_MAX);
	return STATUS_OK;
}

/* Checks an order to begin or end an evacuation. */
static enum status
check_evacuation(const Job__Evacuation *m, struct err *e)
{
	if (m == NULL || m->domain == NULL || m->domain[0] == '\0')
		return report_missing(e, "evacuation.domain");
	if (strlen(m->domain) > JCALL_DOMAIN_BYTES_MAX)
		return err_set(e, STATUS_INVALID,
		    "evacuation.domain: over %d bytes", JCALL_DOMAIN_BYTES_MAX);
	return STATUS_OK;
}

/* Checks that a call has the fields that its kind needs. */
enum status
jcall_check(const Job__Call *c, struct err *e)
{
	switch (c->kind) {
	case JOB__CALL_KIND__SUBMIT:
	case JOB__CALL_KIND__STATUS:
	case JOB__CALL_KIND__CANCEL:
	case JOB__CALL_KIND__COUNT:
		if (c->host == NULL || c->path == NULL)
			return report_missing(e, "host or path");
		if (c->kind != JOB__CALL_KIND__SUBMIT)
			return STATUS_OK;
		return c->spec == NULL ? report_missing(e, "spec")
				       : jcall_check_spec(c->spec, e);
	case JOB__CALL_KIND__CONFIG_PUT:
		return c->config == NULL ? report_missing(e, "config")
					 : STATUS_OK;
	case JOB__CALL_KIND__CONFIG_GET:
	case JOB__CALL_KIND__EVACUATIONS_GET:
		return STATUS_OK;
	case JOB__CALL_KIND__WHY_GET:
		return c->has_job ? STATUS_OK : report_missing(e, "job");
	case JOB__CALL_KIND__EVACUATE:
		return check_evacuation(c->evacuation, e);
	case JOB__CALL_KIND__BEAT:
	case JOB__CALL_KIND__LEAVE:
		return c->worker == NULL ? report_missing(e, "worker")
					 : STATUS_OK;
	case JOB__CALL_KIND__WAVE_PUT:
	case JOB__CALL_KIND__WAVE_GET:
		return check_wave(c->wave, e);
	default:
		return err_set(e, STATUS_INVALID, "kind: not known");
	}
}

/*
 * Returns the outcome of a call for a job at a place where its queue was, but
 * isn't any more. Nothing may succeed there; but the job was accepted and runs
 * on, so that it can be cancelled, and it can't be said that it wasn't taken.
 */
Job__Outcome
jcall_orphan_outcome(Job__CallKind kind)
{
	switch (kind) {
	case JOB__CALL_KIND__CANCEL:
		return JOB__OUTCOME__NO_JOB;
	case JOB__CALL_KIND__SUBMIT:
		return JOB__OUTCOME__UNKNOWN;
	default:
		return JOB__OUTCOME__NOT_FOUND;
	}
}

/* Returns the outcome of a call from the status of its applied command. */
Job__Outcome
jcall_outcome(const Job__Command *c, enum status applied)
{
	if (applied == STATUS_FULL)
		return JOB__OUTCOME__BUSY;
	if (c->cancel != NULL && applied == STATUS_NOT_FOUND)
		return JOB__OUTCOME__NO_JOB;
	if (c->submit != NULL && applied == STATUS_NOT_FOUND)
		return JOB__OUTCOME__NOT_FOUND;
	return JOB__OUTCOME__OK;
}
