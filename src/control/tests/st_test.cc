#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "base/rng.h"
#include "control/pb.h"
#include "control/st.h"

namespace {

struct ModelTask {
	int state = ST_TASK_PENDING;
	uint32_t attempt = 1;
	uint64_t epoch = 0, progress = 0;
};

struct ModelJob {
	int state = CONTROL__JOB_STATE__JOB_PENDING;
	uint32_t evictions = 0;
	std::vector<ModelTask> tasks;
	bool is_open() const
	{
		return state == CONTROL__JOB_STATE__JOB_PENDING ||
		    state == CONTROL__JOB_STATE__JOB_ACTIVE;
	}
	size_t count(int which) const
	{
		size_t n = 0;
		for (auto &t : tasks)
			n += t.state == which;
		return n;
	}
};

struct ModelWorker {
	uint64_t epoch, incarnation, superseded = 0;
	bool draining = false;
};

struct ModelKey {
	uint64_t digest, incarnation, request, deadline, changed;
	int state = ST_KEY_RUNNING;
	std::string body = "";
};

struct Answer {
	int status = STATUS_OK;
	uint64_t version = 0, id = 0, epoch = 0;
	int key = 0;
	bool operator==(const Answer &o) const
	{
		return status == o.status && version == o.version &&
		    id == o.id && epoch == o.epoch && key == o.key;
	}
};

/* A simple reference model of the replicated state. */
struct Model {
	uint64_t version = 0, now = 0, last_job = 0, index = 0;
	std::map<std::string, std::pair<std::string, Answer>> changes, submits;
	std::map<uint64_t, ModelJob> jobs;
	std::map<std::string, ModelWorker> workers;
	std::map<std::string, ModelKey> keys;

	bool current(uint64_t epoch) const
	{
		for (auto &w : workers)
			if (w.second.epoch == epoch)
				return true;
		return false;
	}
	void update_state(ModelJob &j)
	{
		size_t on_workers =
		    j.count(ST_TASK_ASSIGNED) + j.count(ST_TASK_ENDING);

		if (j.state == CONTROL__JOB_STATE__JOB_PENDING &&
		    on_workers > 0)
			j.state = CONTROL__JOB_STATE__JOB_ACTIVE;
		if (j.is_open() && on_workers + j.count(ST_TASK_PENDING) == 0)
			j.state = j.count(ST_TASK_FAILED) > 0
			    ? CONTROL__JOB_STATE__JOB_FAILED
			    : CONTROL__JOB_STATE__JOB_DONE;
	}
	void requeue(ModelJob &j, ModelTask &t)
	{
		t.epoch = 0;
		if (t.state == ST_TASK_ENDING) {
			t.state = j.state == CONTROL__JOB_STATE__JOB_FAILED
			    ? ST_TASK_FAILED
			    : ST_TASK_CANCELLED;
			return;
		}
		t.state = ST_TASK_PENDING;
		t.attempt++;
	}
	void end_epoch(uint64_t epoch)
	{
		for (auto &j : jobs)
			for (auto &t : j.second.tasks)
				if (t.epoch == epoch)
					requeue(j.second, t);
	}
	void end(ModelJob &j, int state)
	{
		for (auto &t : j.tasks) {
			if (t.state == ST_TASK_PENDING)
				t.state =
				    state == CONTROL__JOB_STATE__JOB_FAILED
				    ? ST_TASK_FAILED
				    : ST_TASK_CANCELLED;
			else if (t.state == ST_TASK_ASSIGNED)
				t.state = ST_TASK_ENDING;
		}
		j.state = state;
	}
	ModelTask *task(uint64_t id)
	{
		auto j = jobs.find(id >> ST_TASK_BITS);
		size_t n = id & (ST_JOB_TASKS_MAX - 1);

		return j == jobs.end() || n >= j->second.tasks.size()
		    ? nullptr
		    : &j->second.tasks[n];
	}
	Answer claim(const Control__KeyClaim *c)
	{
		auto k = keys.find(c->key);
		Answer a;
		bool own = k != keys.end() &&
		    k->second.incarnation == c->incarnation &&
		    k->second.request == c->request;

		if (k != keys.end() && k->second.state == ST_KEY_RELEASED &&
		    own) {
			a.status = STATUS_STALE;
		} else if (k == keys.end() ||
		    k->second.state == ST_KEY_RELEASED) {
			keys[c->key] = { c->digest, c->incarnation, c->request,
				c->deadline_ms, now };
			a.key = CONTROL__KEY_STATE__KEY_STATE_CLAIMED;
		} else if (k->second.digest != c->digest) {
			a.key = CONTROL__KEY_STATE__KEY_STATE_MISMATCH;
		} else if (k->second.state == ST_KEY_RUNNING) {
			a.key = own ? CONTROL__KEY_STATE__KEY_STATE_CLAIMED
			    : now <= k->second.deadline
			    ? CONTROL__KEY_STATE__KEY_STATE_RUNNING
			    : CONTROL__KEY_STATE__KEY_STATE_UNKNOWN;
		} else {
			a.key = k->second.state == ST_KEY_ANSWERED
			    ? CONTROL__KEY_STATE__KEY_STATE_RECORDED
			    : CONTROL__KEY_STATE__KEY_STATE_UNKNOWN;
		}
		return a;
	}
	Answer done(const Control__KeyDone *c)
	{
		auto k = keys.find(c->key);
		Answer a;

		if (k == keys.end())
			a.status = STATUS_NOT_FOUND;
		else if (k->second.incarnation != c->incarnation ||
		    k->second.request != c->request)
			a.status = STATUS_STALE;
		if (a.status != STATUS_OK || k->second.state != ST_KEY_RUNNING)
			return a;
		k->second.changed = now;
		k->second.state = c->end == CONTROL__KEY_END__KEY_NOT_RUN
		    ? ST_KEY_RELEASED
		    : c->end == CONTROL__KEY_END__KEY_UNKNOWN ? ST_KEY_UNKNOWN
		    : !c->has_body || c->body.len > ST_BODY_MAX_BYTES
		    ? ST_KEY_TOO_LARGE
		    : ST_KEY_ANSWERED;
		if (k->second.state == ST_KEY_ANSWERED)
			k->second.body.assign(
			    (char *)c->body.data, c->body.len);
		return a;
	}
	Answer up(const Control__WorkerUp *u)
	{
		auto w = workers.find(u->name);
		Answer a;
		ModelWorker n = { index, u->incarnation };

		if (w != workers.end()) {
			a.epoch = w->second.epoch;
			if (w->second.incarnation == u->incarnation)
				return a;
			if (w->second.superseded == u->incarnation) {
				a.status = STATUS_STALE;
				return a;
			}
			n.superseded = w->second.incarnation;
			end_epoch(w->second.epoch);
		}
		workers[u->name] = n;
		a.epoch = index;
		return a;
	}
	void event(uint64_t epoch, const Control__TaskEvent *e)
	{
		ModelTask *t = task(e->task);

		if (t == nullptr || !current(epoch) || t->epoch != epoch ||
		    t->attempt != e->attempt)
			return;
		ModelJob &j = jobs[e->task >> ST_TASK_BITS];
		if (e->has_progress && e->progress > t->progress)
			t->progress = e->progress;
		if (e->kind == CONTROL__TASK_EVENT_KIND__TASK_DONE) {
			t->state = ST_TASK_DONE;
			t->epoch = 0;
		} else if (e->kind == CONTROL__TASK_EVENT_KIND__TASK_FAILED ||
		    e->kind == CONTROL__TASK_EVENT_KIND__TASK_STOPPED) {
			j.evictions +=
			    e->kind == CONTROL__TASK_EVENT_KIND__TASK_STOPPED &&
			    t->state == ST_TASK_ASSIGNED;
			requeue(j, *t);
		}
	}
	Answer apply(uint64_t i, const Control__Command *c);
};

Answer
Model::apply(uint64_t i, const Control__Command *c)
{
	Answer a;

	index = i;
	now = c->now_ms > now ? c->now_ms : now;
	a.version = version;
	if (c->config_set != nullptr) {
		std::string id = c->config_set->change_id;
		std::string content(
		    std::to_string(c->config_set->expected_version) +
		    c->config_set->config->classes[0]->name);
		if (changes.count(id)) {
			a = changes[id].second;
			if (changes[id].first != content) {
				a = Answer();
				a.status = STATUS_INVALID;
				a.version = version;
			}
			return a;
		}
		if (c->config_set->expected_version == version)
			version++;
		else
			a.status = STATUS_CONFLICT;
		a.version = version;
		changes[id] = { content, a };
	} else if (c->worker_up != nullptr) {
		a = up(c->worker_up);
	} else if (c->has_worker_lost) {
		a.status = STATUS_NOT_FOUND;
		for (auto w = workers.begin(); w != workers.end(); ++w) {
			if (w->second.epoch != c->worker_lost)
				continue;
			end_epoch(c->worker_lost);
			workers.erase(w);
			a.status = STATUS_OK;
			break;
		}
	} else if (c->job_submit != nullptr) {
		std::string id = c->job_submit->change_id;
		std::string content =
		    std::to_string(c->job_submit->spec->tasks);
		if (submits.count(id)) {
			if (submits[id].first == content)
				a.id = submits[id].second.id;
			else
				a.status = STATUS_INVALID;
			a.version = version;
			return a;
		}
		jobs[++last_job].tasks.resize(c->job_submit->spec->tasks);
		a.id = last_job;
		submits[id] = { content, a };
	} else if (c->job_cancel != nullptr) {
		auto j = jobs.find(c->job_cancel->job);
		a.id = c->job_cancel->job;
		if (j == jobs.end())
			a.status = STATUS_NOT_FOUND;
		else if (j->second.is_open())
			end(j->second, CONTROL__JOB_STATE__JOB_CANCELLED);
		else if (j->second.state != CONTROL__JOB_STATE__JOB_CANCELLED)
			a.status = STATUS_REFUSED;
	} else if (c->key_claim != nullptr) {
		a = claim(c->key_claim);
	} else if (c->key_done != nullptr) {
		a = done(c->key_done);
	} else if (c->has_key_expire) {
		for (auto k = keys.begin(); k != keys.end();)
			if (k->second.changed <= c->key_cutoff_ms &&
			    (k->second.state != ST_KEY_RUNNING ||
				k->second.deadline < now))
				k = keys.erase(k);
			else
				++k;
	}
	for (size_t k = 0; k < c->n_assign; k++) {
		ModelTask *t = task(c->assign[k]->task);
		if (t == nullptr || t->state != ST_TASK_PENDING ||
		    t->attempt != c->assign[k]->attempt ||
		    !current(c->assign[k]->epoch))
			continue;
		t->state = ST_TASK_ASSIGNED;
		t->epoch = c->assign[k]->epoch;
	}
	for (size_t k = 0; k < c->n_task_events; k++)
		event(c->events_epoch, c->task_events[k]);
	if (c->has_events_epoch && !current(c->events_epoch))
		a.status = STATUS_STALE;
	for (size_t k = 0; k < c->n_fail_tasks; k++) {
		auto j = jobs.find(c->fail_tasks[k] >> ST_TASK_BITS);
		if (j != jobs.end() && j->second.is_open())
			end(j->second, CONTROL__JOB_STATE__JOB_FAILED);
	}
	for (auto &j : jobs)
		update_state(j.second);
	a.version = version;
	return a;
}

/* Generates random commands, most of which refer to existing objects. */
struct CommandGenerator {
	struct rng r;
	TALLOC_CTX *ctx;
	Model &n;
	uint64_t now = 1000;

	char *text(const char *prefix, uint64_t of)
	{
		return talloc_asprintf(
		    ctx, "%s%u", prefix, (unsigned)rng_below(&r, of));
	}
	uint64_t epoch()
	{
		if (n.workers.empty() || rng_chance(&r, 0.1))
			return rng_below(&r, n.index + 1);
		auto w = n.workers.begin();
		std::advance(w, rng_below(&r, n.workers.size()));
		return w->second.epoch;
	}
	uint64_t task()
	{
		uint64_t job = 1 + rng_below(&r, n.last_job + 1);

		if (n.last_job > 8 && rng_chance(&r, 0.8))
			job = n.last_job - rng_below(&r, 8);
		return job << ST_TASK_BITS | rng_below(&r, 6);
	}
	uint32_t attempt(uint64_t task)
	{
		const ModelTask *t = n.task(task);

		return t == nullptr || rng_chance(&r, 0.1)
		    ? 1 + (uint32_t)rng_below(&r, 3)
		    : t->attempt;
	}
	template <class T> T *make(void (*init)(T *))
	{
		T *m = talloc(ctx, T);
		init(m);
		return m;
	}
	Control__Command *next();
	void assign(Control__Command *);
	void events(Control__Command *);
	void key(Control__Command *);
};

void
CommandGenerator::assign(Control__Command *c)
{
	c->n_assign = 1 + rng_below(&r, 4);
	c->assign = talloc_array(ctx, Control__Assignment *, c->n_assign);
	for (size_t i = 0; i < c->n_assign; i++) {
		Control__Assignment *a = make(control__assignment__init);
		a->task = task();
		a->attempt = attempt(a->task);
		a->epoch = epoch();
		c->assign[i] = a;
	}
}

void
CommandGenerator::events(Control__Command *c)
{
	c->has_events_epoch = c->has_event_seq = 1;
	c->events_epoch = epoch();
	c->event_seq = n.index;
	c->n_task_events = 1 + rng_below(&r, 6);
	c->task_events =
	    talloc_array(ctx, Control__TaskEvent *, c->n_task_events);
	for (size_t i = 0; i < c->n_task_events; i++) {
		Control__TaskEvent *e = make(control__task_event__init);
		e->task = task();
		e->attempt = attempt(e->task);
		if (n.task(e->task) != nullptr && rng_chance(&r, 0.8) &&
		    n.task(e->task)->epoch != 0)
			c->events_epoch = n.task(e->task)->epoch;
		e->kind = (Control__TaskEventKind)rng_below(&r, 5);
		e->has_progress = rng_chance(&r, 0.5);
		e->progress = rng_below(&r, 100);
		c->task_events[i] = e;
	}
}

void
CommandGenerator::key(Control__Command *c)
{
	if (rng_chance(&r, 0.05)) {
		c->has_key_expire = c->key_expire = 1;
		c->has_key_cutoff_ms = 1;
		c->key_cutoff_ms = now > 3000 ? now - 3000 : 0;
	} else if (rng_chance(&r, 0.5)) {
		Control__KeyClaim *k = make(control__key_claim__init);
		k->key = text("k", 12);
		k->class_name = (char *)"web";
		k->digest = rng_below(&r, 10) == 0;
		k->incarnation = rng_below(&r, 2);
		k->request = rng_below(&r, 4);
		k->has_deadline_ms = 1;
		k->deadline_ms = now + rng_below(&r, 500);
		c->key_claim = k;
	} else {
		Control__KeyDone *k = make(control__key_done__init);
		k->key = text("k", 12);
		k->class_name = (char *)"web";
		k->incarnation = rng_below(&r, 2);
		k->request = rng_below(&r, 4);
		k->end = (Control__KeyEnd)rng_below(&r, 3);
		k->has_body = rng_chance(&r, 0.8);
		k->body.len = rng_chance(&r, 0.1) ? ST_BODY_MAX_BYTES + 1
						  : rng_below(&r, 50);
		k->body.data =
		    (uint8_t *)talloc_zero_size(ctx, k->body.len + 1);
		c->key_done = k;
	}
}

Control__Command *
CommandGenerator::next()
{
	Control__Command *c = make(control__command__init);

	now += rng_below(&r, 40);
	c->has_now_ms = 1;
	/* Clocks of successive leaders may differ. */
	c->now_ms = now - rng_below(&r, 30);
	switch (rng_below(&r, 12)) {
	case 0: {
		Control__ConfigSet *s = make(control__config_set__init);
		s->config = make(control__config__init);
		s->config->n_classes = 1;
		s->config->classes = talloc_array(ctx, Control__Class *, 1);
		s->config->classes[0] = make(control__class__init);
		s->config->classes[0]->name = text("class", 3);
		s->change_id = text("c", n.changes.size() + 2);
		s->expected_version = n.version - (rng_chance(&r, 0.2) ? 1 : 0);
		c->config_set = s;
		break;
	}
	case 1: {
		Control__WorkerUp *u = make(control__worker_up__init);
		u->name = text("w", 6);
		u->incarnation = rng_below(&r, 4);
		u->addr = (char *)"127.0.0.1:1";
		c->worker_up = u;
		break;
	}
	case 2:
		c->has_worker_lost = rng_chance(&r, 0.4);
		c->worker_lost = epoch();
		break;
	case 3: {
		Control__JobSubmit *s = make(control__job_submit__init);
		s->spec = make(control__job_spec__init);
		s->spec->class_name = (char *)"batch";
		s->spec->tasks = 1 + (uint32_t)rng_below(&r, 6);
		s->change_id = text("j", n.submits.size() + 2);
		c->job_submit = s;
		break;
	}
	case 4:
		if (rng_chance(&r, 0.5)) {
			c->job_cancel = make(control__job_cancel__init);
			c->job_cancel->job = task() >> ST_TASK_BITS;
		} else {
			c->n_fail_tasks = 1;
			c->fail_tasks = talloc(ctx, uint64_t);
			c->fail_tasks[0] = task();
		}
		break;
	case 5:
	case 6:
		key(c);
		break;
	case 7:
	case 8:
	case 9:
		assign(c);
		break;
	default:
		events(c);
	}
	return c;
}

void
compare(const struct st *st, const Model &n)
{
	size_t on_workers = 0, listed = 0;

	ASSERT_EQ(n.version, st_config(st)->version);
	ASSERT_EQ(n.jobs.size(), st_njobs(st));
	for (auto &j : n.jobs) {
		const struct st_job *s = st_job_get(st, j.first);
		ASSERT_EQ(j.second.state, (int)s->state) << j.first;
		ASSERT_EQ(j.second.evictions, s->evictions);
		ASSERT_EQ(j.second.count(ST_TASK_PENDING), s->pending);
		ASSERT_EQ(j.second.count(ST_TASK_DONE), s->done);
		ASSERT_EQ(j.second.count(ST_TASK_FAILED), s->failed);
		ASSERT_EQ(j.second.count(ST_TASK_ENDING), s->ending);
		for (size_t i = 0; s->tasks != nullptr && i < s->ntasks; i++) {
			const ModelTask &t = j.second.tasks[i];
			ASSERT_EQ(t.state, s->tasks[i].state);
			ASSERT_EQ(t.attempt, s->tasks[i].attempt);
			ASSERT_EQ(t.epoch, s->tasks[i].epoch);
			ASSERT_EQ(t.progress, s->tasks[i].progress);
			on_workers += t.epoch != 0;
		}
	}
	ASSERT_EQ(n.workers.size(), st_nworkers(st));
	for (auto &w : n.workers) {
		const struct st_worker *s =
		    st_worker_get_by_name(st, str_from(w.first.c_str()));
		ASSERT_EQ(w.second.epoch, s->epoch);
		ASSERT_EQ(s, st_worker_get(st, s->epoch));
		listed += s->ntasks;
	}
	ASSERT_EQ(on_workers, listed);
	ASSERT_EQ(n.keys.size(), st_nkeys(st));
	for (auto &k : n.keys) {
		const struct st_key *s =
		    st_key_get(st, str_from("web"), str_from(k.first.c_str()));
		ASSERT_EQ(k.second.state, s->state);
		struct str b = st_key_body(s);
		ASSERT_EQ(k.second.body, std::string(b.p, b.len));
	}
}

bool
same(struct str a, struct str b)
{
	return str_eq(a, b);
}

} /* namespace */

/*
 * Guards against a command whose effect or result differs from that of the
 * reference model, and against a snapshot that loses or changes state.
 */
TEST(St, EqualsTheNaiveState)
{
	const uint64_t seeds = 60;

	for (uint64_t seed = 1; seed <= seeds && !HasFatalFailure(); seed++) {
		TALLOC_CTX *ctx = talloc_new(nullptr);
		Model n;
		CommandGenerator s = { {}, ctx, n };
		struct st *st = st_new(nullptr);

		rng_init(&s.r, seed);
		for (uint64_t i = 1; i <= 600 && !HasFatalFailure(); i++) {
			Control__Command *c = s.next();
			const struct st_result *res =
			    st_apply(st, i, pb_pack(ctx, c));
			Answer got = { res->status, res->version, res->id,
				res->epoch, res->key_state };
			Answer want = n.apply(i, c);
			want.version = want.version ? want.version : n.version;

			ASSERT_TRUE(got == want)
			    << "seed " << seed << " index " << i << " status "
			    << got.status << "/" << want.status << " version "
			    << got.version << "/" << want.version << " epoch "
			    << got.epoch << "/" << want.epoch << " key "
			    << got.key << "/" << want.key << " id " << got.id
			    << "/" << want.id;
			compare(st, n);
			if (HasFatalFailure())
				printf("seed %llu\n", (unsigned long long)seed);
			if (!rng_chance(&s.r, 0.02))
				continue;
			struct st *copy = st_new(nullptr);
			struct str a = st_snapshot(st, ctx);
			ASSERT_EQ(STATUS_OK, st_restore(copy, a, nullptr));
			ASSERT_TRUE(same(a, st_snapshot(copy, ctx)))
			    << "seed " << seed;
			talloc_free(st);
			st = copy;
		}
		talloc_free(st);
		talloc_free(ctx);
	}
	printf("schedules %llu\n", (unsigned long long)seeds);
}

/* Guards against accepting a snapshot that is truncated or altered on disk. */
TEST(St, RefusesDamagedSnapshots)
{
	TALLOC_CTX *ctx = talloc_new(nullptr);
	Model n;
	CommandGenerator s = { {}, ctx, n };
	struct st *st = st_new(ctx), *copy = st_new(ctx);

	rng_init(&s.r, 5);
	for (uint64_t i = 1; i <= 300; i++) {
		Control__Command *c = s.next();
		st_apply(st, i, pb_pack(ctx, c));
		n.apply(i, c);
	}
	struct str a = st_snapshot(st, ctx);
	for (size_t len = 0; len < a.len; len++) {
		EXPECT_EQ(STATUS_CORRUPT,
		    st_restore(copy, str_mem(a.p, len), nullptr));
		EXPECT_EQ(0u, st_index(copy));
	}
	/* Altered bytes may be a valid state, but must not cause a crash. */
	for (size_t i = 0; i < a.len; i++) {
		char *p = (char *)talloc_memdup(ctx, a.p, a.len);
		p[i] = (char)(p[i] ^ (1 << (i % 8)));
		st_restore(copy, str_mem(p, a.len), nullptr);
		talloc_free(p);
	}
	talloc_free(ctx);
}

/* Guards against dropping a result before 4,096 later changes. */
TEST(St, KeepsResultsOfChanges)
{
	TALLOC_CTX *ctx = talloc_new(nullptr);
	struct st *st = st_new(ctx);
	auto set = [&](uint64_t index, unsigned id, uint64_t expected) {
		Control__Command c = CONTROL__COMMAND__INIT;
		Control__ConfigSet s = CONTROL__CONFIG_SET__INIT;
		Control__Config k = CONTROL__CONFIG__INIT;

		s.change_id = talloc_asprintf(ctx, "change-%u", id);
		s.expected_version = expected;
		s.config = &k;
		c.config_set = &s;
		return st_apply(st, index, pb_pack(ctx, &c));
	};
	for (unsigned i = 0; i < ST_CHANGES_KEPT; i++)
		ASSERT_EQ(STATUS_OK, set(i + 1, i, i)->status);
	struct str snap = st_snapshot(st, ctx);
	st = st_new(ctx);
	ASSERT_EQ(STATUS_OK, st_restore(st, snap, nullptr));
	EXPECT_EQ(1u, set(5000, 0, 0)->version);
	EXPECT_EQ((uint64_t)ST_CHANGES_KEPT, st_config(st)->version);
	EXPECT_EQ(STATUS_OK, set(5001, 9999, ST_CHANGES_KEPT)->status);
	EXPECT_EQ(STATUS_CONFLICT, set(5002, 0, 0)->status);
	talloc_free(ctx);
}
