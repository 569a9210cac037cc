#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "base/rng.h"
#include "job/jst.h"

/* Two replicas apply the same random commands; one of them is rebuilt from its
 * own snapshot every now and then. */

namespace {

const uint64_t kCommands = 1500;
const uint64_t kJobs = 40; /* ids in use */
const uint64_t kWorkers = 6;
const uint64_t kBorn = 5; /* incarnations of a worker */
const uint64_t kWaves = 4;
const char *const kQueues[] = { "a", "b", "c", "d" };

/* Memory of one command; pointers stay valid as long as it exists. */
struct Buffers {
	std::deque<std::string> texts;
	std::deque<std::vector<char *>> lists;
	std::deque<std::vector<uint32_t>> numbers;
	std::deque<Job__Queue> queues;
	std::vector<Job__Queue *> queue_list;
	std::deque<Job__Step> steps;
	std::vector<Job__Step *> step_list;
	Job__Config config;
	Job__Spec spec;
	Job__Submit submit;
	Job__Cancel cancel;
	Job__Assign assign;
	Job__End end;
	Job__Task task;
	Job__Worker worker;
	Job__WorkerGone gone;
	Job__Wave wave;
	Job__WaveStep wave_step;

	char *text(const std::string &s)
	{
		texts.push_back(s);
		return texts.back().data();
	}

	char **list(const std::vector<std::string> &v)
	{
		lists.emplace_back();
		for (auto &s : v)
			lists.back().push_back(text(s));
		return lists.back().data();
	}
};

class Replicas {
      public:
	explicit Replicas(uint64_t s)
	{
		rng_init(&r, s);
		jst_init(&kept);
		jst_init(&rebuilt);
	}

	~Replicas()
	{
		jst_finish(&kept);
		jst_finish(&rebuilt);
	}

	/* How often commands had an effect of each kind. */
	std::map<std::string, uint64_t> seen;

	void run()
	{
		for (uint64_t i = 0; i < kCommands; i++) {
			Buffers b;
			Job__Command c = JOB__COMMAND__INIT;
			struct jst_result x, y;
			size_t before = count_jobs(kept);

			next_worker_before = kept.next_worker;

			if (rng_chance(&r, 0.04))
				rebuild();
			advance_time();
			make(c, b);
			jst_apply(&kept, &c, &x);
			jst_apply(&rebuilt, &c, &y);
			count(c, x, before);
			compare(x, y);
			compare_states();
			if (::testing::Test::HasFailure()) {
				printf("command %llu\n", (unsigned long long)i);
				return;
			}
		}
	}

      private:
	struct rng r;
	struct jst kept, rebuilt;
	int64_t now_ms = 1000000;
	uint64_t version = 0;
	uint64_t next_worker_before = 0;

	static size_t count_jobs(const struct jst &s)
	{
		size_t n = 0;

		for (auto *j = s.active; j != NULL; j = j->next)
			n++;
		for (auto *j = s.ended; j != NULL; j = j->next)
			n++;
		return n;
	}

	uint64_t below(uint64_t n)
	{
		return rng_below(&r, n);
	}

	bool chance(double p)
	{
		return rng_chance(&r, p);
	}

	void advance_time()
	{
		if (chance(0.02))
			now_ms += JST_ENDED_RETENTION_MS / 2;
		else if (chance(0.03))
			now_ms -= (int64_t)below(JST_ENDED_RETENTION_MS);
		else
			now_ms += (int64_t)below(500);
	}

	/* Replaces a state by what its snapshot holds. */
	void rebuild()
	{
		TALLOC_CTX *ctx = talloc_new(NULL);
		struct err e = {};

		ASSERT_EQ(STATUS_OK,
		    jst_unpack(&rebuilt, jst_pack(&rebuilt, ctx), &e))
		    << e.msg;
		talloc_free(ctx);
		seen["snapshot"]++;
	}

	void make(Job__Command &c, Buffers &b)
	{
		uint64_t k = below(100);

		if (k < 3)
			make_config(c, b);
		else if (k < 17)
			make_submit(c, b);
		else if (k < 22)
			make_cancel(c, b);
		else if (k < 50)
			make_assign(c, b);
		else if (k < 82)
			make_end(c, b);
		else if (k < 93)
			make_worker(c, b);
		else if (k < 95)
			make_gone(c, b);
		else if (k < 96)
			make_wave(c, b);
		else
			make_wave_step(c, b);
	}

	void make_config(Job__Command &c, Buffers &b)
	{
		b.config = JOB__CONFIG__INIT;
		version += below(3);
		b.config.version = version;
		char *doc = b.text("document");
		b.config.document = { 8, (uint8_t *)doc };
		for (const char *name : kQueues) {
			if (chance(0.4))
				continue;
			Job__Queue q = JOB__QUEUE__INIT;
			q.name = b.text(name);
			q.host = b.text("host");
			q.prefix = b.text("/");
			q.service = b.text("service");
			q.has_max_attempts = chance(0.8);
			q.max_attempts = (uint32_t)below(4);
			b.queues.push_back(q);
		}
		for (auto &q : b.queues)
			b.queue_list.push_back(&q);
		b.config.queues = b.queue_list.data();
		b.config.n_queues = b.queue_list.size();
		c.config = &b.config;
	}

	void make_submit(Job__Command &c, Buffers &b)
	{
		b.spec = JOB__SPEC__INIT;
		b.submit = JOB__SUBMIT__INIT;
		b.spec.text = b.text("spec");
		size_t n = chance(0.5) ? 1 : 1 + below(3);
		for (size_t i = 0; i < n; i++) {
			Job__Step s = JOB__STEP__INIT;
			s.count = 1 + (uint32_t)below(4);
			s.has_gang = chance(0.3);
			s.gang = s.has_gang;
			s.has_lasting = chance(0.1);
			s.lasting = s.has_lasting;
			if (i > 0) {
				b.numbers.push_back({ (uint32_t)below(i) });
				s.after = b.numbers.back().data();
				s.n_after = 1;
			}
			b.steps.push_back(s);
		}
		for (auto &s : b.steps)
			b.step_list.push_back(&s);
		b.spec.steps = b.step_list.data();
		b.spec.n_steps = n;
		b.spec.has_repeat = chance(0.3);
		b.spec.repeat = b.spec.has_repeat ? (uint32_t)below(4) : 0;
		b.submit.job = 1 + below(kJobs);
		b.submit.queue = b.text(kQueues[below(4)]);
		b.submit.spec = &b.spec;
		b.submit.at_ms = now_ms;
		c.submit = &b.submit;
	}

	void make_cancel(Job__Command &c, Buffers &b)
	{
		b.cancel = JOB__CANCEL__INIT;
		b.cancel.job = 1 + below(kJobs);
		b.cancel.at_ms = now_ms;
		c.cancel = &b.cancel;
	}

	/* Chooses a task, mostly one that exists; prefers a state. */
	struct jst_task *choose_task(Buffers &b, enum jst_task_state wanted)
	{
		struct jst_task *t = NULL;
		struct jst_step *st;

		for (int i = 0; i < 200; i++) {
			b.task = JOB__TASK__INIT;
			b.task.job = 1 + below(kJobs);
			b.task.has_occurrence = b.task.has_step =
			    b.task.has_index = 1;
			b.task.occurrence = (uint32_t)below(3);
			b.task.step = (uint32_t)below(3);
			b.task.index = (uint32_t)below(4);
			t = jst_find_task(&kept, &b.task, &st);
			if (t != NULL && t->state == wanted)
				break;
		}
		return t;
	}

	void make_assign(Job__Command &c, Buffers &b)
	{
		struct jst_task *t = choose_task(b, JST_WAITING);

		b.assign = JOB__ASSIGN__INIT;
		b.assign.task = &b.task;
		b.assign.run = t == NULL ? 1 : t->run + (chance(0.9) ? 1 : 0);
		b.assign.worker = kept.nworkers > 0 && chance(0.9)
		    ? kept.workers[below(kept.nworkers)]->num
		    : below(kept.next_worker + 1);
		c.assign = &b.assign;
	}

	void make_end(Job__Command &c, Buffers &b)
	{
		struct jst_task *t =
		    choose_task(b, chance(0.85) ? JST_ASSIGNED : JST_WAITING);

		b.end = JOB__END__INIT;
		b.end.task = &b.task;
		b.end.run = t == NULL ? 1 : t->run;
		if (chance(0.2))
			b.end.run += (uint32_t)below(4) - 2;
		b.end.how = chance(0.4)
		    ? JOB__HOW__DONE
		    : (Job__How)below(JOB__HOW__REFUSED + 1);
		if (chance(0.4))
			b.end.saved = b.text(
			    chance(0.2) ? "" : std::to_string(below(1000)));
		b.end.has_at_ms = chance(0.95);
		b.end.at_ms = b.end.has_at_ms ? now_ms : 0;
		c.end = &b.end;
	}

	void make_worker(Job__Command &c, Buffers &b)
	{
		uint64_t i = below(kWorkers);

		b.worker = JOB__WORKER__INIT;
		b.worker.id = b.text("w" + std::to_string(i));
		b.worker.born = 1 + below(kBorn);
		b.worker.addr = b.text("127.0.0.1:" + std::to_string(i));
		b.worker.zone = b.text("zone");
		b.worker.service = b.text("service");
		b.worker.cpu_milli = 4000;
		b.worker.mem_mb = 1024;
		b.worker.labels = b.list({ "kind", "rack" });
		b.worker.n_labels = below(3);
		b.worker.has_draining = chance(0.4);
		b.worker.draining = b.worker.has_draining && chance(0.5);
		b.worker.has_seq = chance(0.5);
		b.worker.seq = b.worker.has_seq ? below(9) : 0;
		c.worker = &b.worker;
	}

	void make_gone(Job__Command &c, Buffers &b)
	{
		b.gone = JOB__WORKER_GONE__INIT;
		b.gone.num = kept.nworkers > 0 && chance(0.9)
		    ? kept.workers[below(kept.nworkers)]->num
		    : below(kept.next_worker + 1);
		b.gone.has_left = chance(0.5);
		b.gone.left = b.gone.has_left;
		c.gone = &b.gone;
	}

	void make_wave(Job__Command &c, Buffers &b)
	{
		b.wave = JOB__WAVE__INIT;
		b.wave.id = 1 + below(kWaves);
		b.wave.machines = b.list({ "w0", "w1", "w1", "w2" });
		b.wave.n_machines = below(5);
		b.wave.has_at_ms = 1;
		b.wave.at_ms = now_ms;
		c.wave = &b.wave;
	}

	void make_wave_step(Job__Command &c, Buffers &b)
	{
		b.wave_step = JOB__WAVE_STEP__INIT;
		b.wave_step.wave = 1 + below(kWaves);
		b.wave_step.machine = b.text("w" + std::to_string(below(4)));
		b.wave_step.state = (Job__WaveState)below(3);
		c.wave_step = &b.wave_step;
	}

	/* Counts what a command did, to show that all cases occur. */
	void count(const Job__Command &c, const struct jst_result &x,
	    size_t njobs_before)
	{
		const char *kind = c.config != NULL ? "config"
		    : c.submit != NULL		    ? "submit"
		    : c.cancel != NULL		    ? "cancel"
		    : c.assign != NULL		    ? "assign"
		    : c.end != NULL		    ? "end"
		    : c.worker != NULL		    ? "worker"
		    : c.gone != NULL		    ? "gone"
		    : c.wave != NULL		    ? "wave"
						    : "wave step";

		seen[std::string(kind) + " " + status_name(x.status)]++;
		if (c.end != NULL && x.status == STATUS_OK &&
		    c.end->run < x.task->run)
			seen["end of an earlier run"]++;
		if (c.end != NULL && x.job_ended)
			seen[x.job->state == JST_FAILED ? "job failed"
							: "job completed"]++;
		if (c.end != NULL && x.status == STATUS_OK && x.step != NULL &&
		    x.step->spec->gang && x.step->spec->count > 1 &&
		    x.task->state == JST_DONE)
			seen["gang done"]++;
		if (c.worker != NULL && x.status == STATUS_OK &&
		    kept.next_worker > next_worker_before &&
		    x.worker->draining && !c.worker->draining)
			seen["worker that has left"]++;
		if (count_jobs(kept) < njobs_before)
			seen["ended jobs removed"]++;
		for (size_t i = 0;
		     c.config != NULL && i < kept.config->n_queues; i++)
			seen["removed queue kept"] +=
			    jst_queue_removed(kept.config->queues[i]);
	}

	static void compare(
	    const struct jst_result &x, const struct jst_result &y)
	{
		EXPECT_EQ(x.status, y.status);
		EXPECT_EQ(x.job_ended, y.job_ended);
		EXPECT_EQ(x.job == NULL, y.job == NULL);
		EXPECT_EQ(x.task == NULL, y.task == NULL);
		EXPECT_EQ(x.step == NULL, y.step == NULL);
		ASSERT_EQ(x.worker == NULL, y.worker == NULL);
		if (x.worker != NULL) {
			EXPECT_EQ(x.worker->num, y.worker->num);
		}
	}

	/* Compares what both states would save, and what they derive. */
	void compare_states()
	{
		TALLOC_CTX *ctx = talloc_new(NULL);

		/* What is done takes memory until the next command, and its job
		 * its place in the list of active ones. */
		jst_free_dead(&kept);
		jst_free_dead(&rebuilt);
		EXPECT_EQ(kept.bytes, rebuilt.bytes);
		struct str a = jst_pack(&kept, ctx);
		struct str b = jst_pack(&rebuilt, ctx);

		EXPECT_EQ(std::string(a.p, a.len), std::string(b.p, b.len));
		talloc_free(ctx);
		EXPECT_EQ(kept.nwithdrawn, rebuilt.nwithdrawn);
		EXPECT_EQ(kept.loading, rebuilt.loading);
		for (uint64_t i = 0; i < kWorkers; i++) {
			std::string id = "w" + std::to_string(i);
			auto *x = jst_find_worker_by_id(&kept, id.c_str());
			auto *y = jst_find_worker_by_id(&rebuilt, id.c_str());
			EXPECT_EQ(x ? x->num : 0, y ? y->num : 0) << id;
		}
		for (const char *q : kQueues)
			EXPECT_EQ(jst_count_waiting(&kept, q),
			    jst_count_waiting(&rebuilt, q));
		for (size_t i = 0; i < kept.nworkers && i < rebuilt.nworkers;
		     i++) {
			EXPECT_EQ(kept.workers[i]->nassigned,
			    rebuilt.workers[i]->nassigned);
			EXPECT_EQ(kept.workers[i]->draining,
			    rebuilt.workers[i]->draining);
		}
		for (uint64_t id = 1; id <= kJobs; id++)
			compare_jobs(id);
	}

	void compare_jobs(uint64_t id)
	{
		auto *x = jst_find_job(&kept, id);
		auto *y = jst_find_job(&rebuilt, id);

		EXPECT_EQ(jst_find_withdrawn(&kept, id) == NULL,
		    jst_find_withdrawn(&rebuilt, id) == NULL);
		ASSERT_EQ(x == NULL, y == NULL);
		if (x == NULL)
			return;
		EXPECT_EQ(
		    jst_max_attempts(&kept, x), jst_max_attempts(&rebuilt, y));
		EXPECT_EQ(x->submitted_ms, y->submitted_ms);
		EXPECT_EQ(x->state, y->state);
		if (x->state == JST_ACTIVE) {
			EXPECT_EQ(x->ndone, y->ndone);
		}
		EXPECT_EQ(x->opened, y->opened);
		EXPECT_EQ(x->ncounted, y->ncounted);
		EXPECT_EQ(x->counted_bytes, y->counted_bytes);
		for (uint32_t o = 0; o < x->opened; o++)
			compare_occurrences(x, y, o);
	}

	/* One that needs no memory any more is freed sooner or later. */
	static bool is_live(const struct jst_occ *o)
	{
		return o != NULL && !o->is_retired;
	}

	void compare_occurrences(
	    const struct jst_job *x, const struct jst_job *y, uint32_t number)
	{
		const struct jst_occ *a = jst_find_occ(x, number);
		const struct jst_occ *b = jst_find_occ(y, number);

		ASSERT_EQ(is_live(a), is_live(b));
		if (!is_live(a))
			return;
		EXPECT_EQ(a->nassigned, b->nassigned);
		EXPECT_EQ(a->ndone, b->ndone);
		for (uint32_t i = 0; i < x->spec->n_steps; i++) {
			const struct jst_step *s = &a->steps[i];
			const struct jst_step *t = &b->steps[i];
			EXPECT_EQ(s->ndone, t->ndone);
			EXPECT_EQ(s->nwaiting, t->nwaiting);
			EXPECT_EQ(jst_step_ready(s), jst_step_ready(t));
			for (uint32_t k = 0; k < s->spec->count; k++) {
				EXPECT_EQ(s->tasks[k].state, t->tasks[k].state);
				EXPECT_EQ(s->tasks[k].run, t->tasks[k].run);
				EXPECT_STREQ(jst_checkpoint(s, &s->tasks[k]),
				    jst_checkpoint(t, &t->tasks[k]));
			}
		}
	}
};

/* Guards against replicas that diverge after one has started from a snapshot.
 * JST_SEED=N plays that seed, JST_SEEDS=N so many. */
TEST(JobSnapshot, AReplicaRebuiltFromASnapshotStaysEqual)
{
	const char *only = getenv("JST_SEED");
	const char *many = getenv("JST_SEEDS");
	uint64_t first = only ? strtoull(only, NULL, 10) : 1;
	uint64_t n = many ? strtoull(many, NULL, 10) : only ? 1 : 20;
	std::map<std::string, uint64_t> seen;

	for (uint64_t seed = first; seed < first + n; seed++) {
		Replicas x(seed);
		x.run();
		for (auto &k : x.seen)
			seen[k.first] += k.second;
		if (HasFailure()) {
			printf("seed %llu\n", (unsigned long long)seed);
			return;
		}
	}
	for (auto &k : seen)
		printf("figure %s: %llu\n", k.first.c_str(),
		    (unsigned long long)k.second);
	for (const char *k :
	    { "snapshot", "end of an earlier run", "job completed",
		"job failed", "gang done", "ended jobs removed",
		"removed queue kept", "worker that has left" })
		EXPECT_GT(seen[k], 0U) << k;
}

} // namespace
