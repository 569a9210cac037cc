#include <gtest/gtest.h>
#include <malloc.h>

#include <string>
#include <vector>

#include "job/jst.h"

/* Memory of accepted jobs: what is charged, what is refused, and what a
 * snapshot takes. No network, no leader. */

namespace {

const uint32_t kMemoryMb = 256;
const uint32_t kInstance = 1;
const size_t kMb = 1024 * 1024;

class State {
      public:
	struct jst s;
	int64_t now_ms = 1000000;

	explicit State(uint32_t memory_mb = kMemoryMb)
	{
		jst_init(&s);
		configure({ "a", "b", "c" });
		if (memory_mb > 0)
			limit(kInstance, memory_mb);
	}

	~State()
	{
		jst_finish(&s);
	}

	struct jst_result apply(const Job__Command &c)
	{
		struct jst_result r;
		jst_apply(&s, &c, &r);
		return r;
	}

	void configure(const std::vector<std::string> &queues)
	{
		Job__Command c = JOB__COMMAND__INIT;
		Job__Config m = JOB__CONFIG__INIT;
		std::vector<Job__Queue> v(queues.size());
		std::vector<Job__Queue *> p;
		std::vector<std::string> names = queues;
		for (size_t i = 0; i < v.size(); i++) {
			job__queue__init(&v[i]);
			v[i].name = v[i].host = v[i].prefix = v[i].service =
			    names[i].data();
			p.push_back(&v[i]);
		}
		m.version = ++version;
		m.queues = p.data();
		m.n_queues = p.size();
		c.config = &m;
		ASSERT_EQ(STATUS_OK, apply(c).status);
	}

	void limit(uint32_t instance, uint32_t memory_mb)
	{
		Job__Command c = JOB__COMMAND__INIT;
		Job__Limit m = JOB__LIMIT__INIT;
		m.instance = instance;
		m.memory_mb = memory_mb;
		c.limit = &m;
		ASSERT_EQ(STATUS_OK, apply(c).status);
	}

	/* Submits a job with one step. */
	enum status submit(uint64_t id, const char *queue = "a",
	    size_t text = 20, uint32_t count = 1, uint32_t repeat = 0,
	    bool checkpoints = false)
	{
		Job__Command c = JOB__COMMAND__INIT;
		Job__Submit m = JOB__SUBMIT__INIT;
		Job__Spec spec = JOB__SPEC__INIT;
		Job__Step step = JOB__STEP__INIT, *steps = &step;
		std::string q = queue, t(text, 'x');
		step.count = count;
		step.has_checkpoints = step.checkpoints = checkpoints;
		spec.text = t.data();
		spec.steps = &steps;
		spec.n_steps = 1;
		if (repeat > 0) {
			spec.has_repeat = spec.has_interval_ms =
			    spec.has_start_at_ms = 1;
			spec.repeat = repeat;
			spec.interval_ms = interval_ms;
			spec.start_at_ms = now_ms + 86400000;
		}
		m.job = id;
		m.queue = q.data();
		m.spec = &spec;
		m.at_ms = now_ms;
		c.submit = &m;
		return apply(c).status;
	}

	enum status cancel(uint64_t id)
	{
		Job__Command c = JOB__COMMAND__INIT;
		Job__Cancel m = JOB__CANCEL__INIT;
		m.job = id;
		m.at_ms = now_ms;
		c.cancel = &m;
		return apply(c).status;
	}

	void forget()
	{
		Job__Command c = JOB__COMMAND__INIT;
		Job__Forget m = JOB__FORGET__INIT;
		m.at_ms = now_ms;
		c.forget = &m;
		apply(c);
	}

	uint64_t add_worker()
	{
		Job__Command c = JOB__COMMAND__INIT;
		Job__Worker m = JOB__WORKER__INIT;
		std::string id = "w" + std::to_string(s.next_worker), x = "x";
		m.id = id.data();
		m.addr = m.zone = m.service = x.data();
		c.worker = &m;
		struct jst_result r = apply(c);
		return r.status == STATUS_OK ? r.worker->num : 0;
	}

	enum status assign(uint64_t job, uint32_t occurrence, uint32_t index,
	    uint64_t worker, uint32_t run = 1)
	{
		Job__Command c = JOB__COMMAND__INIT;
		Job__Assign m = JOB__ASSIGN__INIT;
		Job__Task t = ref(job, occurrence, index);
		m.task = &t;
		m.run = run;
		m.worker = worker;
		c.assign = &m;
		return apply(c).status;
	}

	struct jst_result end(uint64_t job, uint32_t occurrence, uint32_t index,
	    Job__How how, const std::string &saved = "", uint32_t run = 1)
	{
		Job__Command c = JOB__COMMAND__INIT;
		Job__End m = JOB__END__INIT;
		Job__Task t = ref(job, occurrence, index);
		std::string copy = saved;
		m.task = &t;
		m.run = run;
		m.how = how;
		m.saved = copy.data();
		m.at_ms = now_ms;
		c.end = &m;
		return apply(c);
	}

	int64_t interval_ms = 10000;

      private:
	uint64_t version = 0;

	static Job__Task ref(uint64_t job, uint32_t occurrence, uint32_t index)
	{
		Job__Task t = JOB__TASK__INIT;
		t.job = job;
		t.occurrence = occurrence;
		t.index = index;
		return t;
	}
};

/* Returns the memory that is allocated. */
size_t
in_use()
{
	struct mallinfo2 m = mallinfo2();
	return m.uordblks + m.hblkhd;
}

/* Guards against jobs that take all replicas over their memory: recurring jobs
 * whose first occurrence is due tomorrow took 2.6 MB each. */
TEST(JobMemory, OccurrencesThatAreNotDueTakeNone)
{
	State x(0);
	size_t before = in_use();
	for (uint64_t id = 1; id <= 120; id++)
		ASSERT_EQ(STATUS_OK, x.submit(id, "a", 20, 1, 10000));
	EXPECT_LT(in_use() - before, 2 * kMb);
}

/* Guards against an account that misses memory: what is charged for jobs of
 * each kind is at least what they take. */
TEST(JobMemory, WhatIsChargedCoversWhatIsTaken)
{
	struct {
		size_t text;
		uint32_t count, repeat;
		bool checkpoints;
	} kinds[] = { { 20, 1, 0, false }, { 4000, 1, 0, false },
		{ 20, 300, 0, false }, { 20, 300, 0, true },
		{ 20, 2, 10000, false } };
	for (auto &k : kinds) {
		State x(0);
		size_t before = in_use();
		for (uint64_t id = 1; id <= 500; id++)
			ASSERT_EQ(STATUS_OK,
			    x.submit(id, "a", k.text, k.count, k.repeat,
				k.checkpoints));
		EXPECT_LE(in_use() - before, x.s.bytes) << k.text;
		printf("figure state charge %zu taken %zu bytes a job of %u "
		       "tasks, text %zu\n",
		    x.s.bytes / 500, (in_use() - before) / 500, k.count,
		    k.text);
	}
}

/* Guards against submissions without end: at the limit they are refused, also
 * with specifications of the largest size, and the state with two snapshots
 * fits into what the settings leave for it. */
TEST(JobMemory, JobsAreRefusedAtTheLimit)
{
	size_t max = jmem_split(kMemoryMb).jobs;
	for (size_t text : { 20, 4000 }) {
		State x;
		size_t before = in_use();
		uint64_t id = 0;
		while (id < 100000 && x.submit(id + 1, "a", text) == STATUS_OK)
			id++;
		EXPECT_LT(1000U, id);
		EXPECT_EQ(STATUS_FULL, x.submit(id + 1, "a", text));
		EXPECT_EQ(nullptr, jst_find_job(&x.s, id + 1));
		EXPECT_LE(x.s.bytes, max);
		TALLOC_CTX *ctx = talloc_new(NULL);
		jst_pack(&x.s, ctx);
		jst_pack(&x.s, ctx);
		EXPECT_LE(in_use() - before, max + 4 * kMb);
		talloc_free(ctx);
		/* A job that is there is known, whatever comes. */
		EXPECT_EQ(STATUS_EXISTS, x.submit(id, "a", text));
	}
}

/* Guards against one queue that leaves no room for the others. */
TEST(JobMemory, AQueueThatFillsItsPartLeavesRoomForOthers)
{
	State x;
	uint64_t id = 0, n;
	for (const char *queue : { "a", "b", "c" }) {
		for (n = 0; x.submit(++id, queue, 4000) == STATUS_OK;)
			n++;
		EXPECT_LT(100U, n) << queue;
		EXPECT_EQ(STATUS_FULL, x.submit(++id, queue, 4000));
	}
}

/* Guards against a replica that stays full: a job that ends gives its room
 * back, the rest once it is forgotten, without a submission that is accepted.
 * Cancels are taken at the limit. */
TEST(JobMemory, WhatEndsGivesItsRoomBack)
{
	State x;
	uint64_t id = 0;
	while (x.submit(id + 1, "a", 4000) == STATUS_OK)
		id++;
	size_t full = x.s.bytes;
	for (uint64_t k = 1; k <= id; k++)
		ASSERT_EQ(STATUS_OK, x.cancel(k));
	EXPECT_LT(x.s.bytes, full / 8);
	ASSERT_EQ(STATUS_OK, x.submit(id + 1, "a", 4000));
	EXPECT_EQ(JST_CANCELLED, jst_find_job(&x.s, 1)->state);
	EXPECT_EQ(STATUS_EXISTS, x.submit(1, "a", 4000));
	EXPECT_FALSE(jst_has_expired(&x.s, x.now_ms));
	x.now_ms += JST_ENDED_RETENTION_MS;
	EXPECT_TRUE(jst_has_expired(&x.s, x.now_ms));
	x.forget();
	EXPECT_EQ(nullptr, jst_find_job(&x.s, 1));
	EXPECT_FALSE(jst_has_expired(&x.s, x.now_ms));
}

/* Guards against cancels of unknown jobs without end, and against such marks
 * that cost as much as a job. */
TEST(JobMemory, MarksOfCancelsAreSmallAndLimited)
{
	State x;
	size_t before = in_use();
	for (uint64_t id = 1; id <= JST_WITHDRAWN_MAX; id++)
		ASSERT_EQ(STATUS_NOT_FOUND, x.cancel(id));
	EXPECT_EQ(STATUS_FULL, x.cancel(JST_WITHDRAWN_MAX + 1));
	EXPECT_LT(in_use() - before, JST_WITHDRAWN_MAX * 400UL);
	printf("figure state mark %zu bytes\n",
	    (in_use() - before) / JST_WITHDRAWN_MAX);
}

/* Guards against occurrences that are due at once and take memory without
 * limit, against such that hold up submissions, and against one job that is
 * never opened. */
TEST(JobMemory, OccurrencesThatAreDueOpenWhileThereIsRoom)
{
	State x;
	x.interval_ms = 0;
	for (uint64_t id = 1; id <= 100; id++)
		ASSERT_EQ(STATUS_OK, x.submit(id, "a", 20, 1000, 20));
	size_t accepted = x.s.bytes;
	x.now_ms += 86400000;
	for (int i = 0; i < 100; i++)
		jst_open_due(&x.s, x.now_ms);
	EXPECT_EQ(accepted, x.s.bytes);
	EXPECT_LE(x.s.local_bytes, x.s.max.jobs);
	EXPECT_LT(accepted, x.s.local_bytes);
	for (uint64_t id = 1; id <= 100; id++)
		EXPECT_LE(1U, jst_find_job(&x.s, id)->nlive) << id;
	EXPECT_EQ(STATUS_OK, x.submit(1000));
	jst_close_untouched(&x.s);
	EXPECT_EQ(x.s.bytes, x.s.local_bytes);
	EXPECT_EQ(0U, jst_find_job(&x.s, 1)->nlive);
}

/* Guards against work for times far off: a leader that looked at each
 * occurrence of each job in every plan used a whole core. */
TEST(JobMemory, JobsThatAreNotDueAreNotLookedAt)
{
	State x;
	for (uint64_t id = 1; id <= 10000; id++)
		ASSERT_EQ(STATUS_OK, x.submit(id, "a", 20, 1, 10000));
	EXPECT_EQ(nullptr, x.s.active);
	jst_open_due(&x.s, x.now_ms + 86399999);
	EXPECT_EQ(nullptr, x.s.active);
	jst_open_due(&x.s, x.now_ms + 86400000);
	size_t n = 0;
	for (auto *j = x.s.active; j != NULL; j = j->next)
		n++;
	EXPECT_EQ(10000U, n);
}

/* Guards against an occurrence that keeps its memory when it is done, and
 * against one that is done and starts again. */
TEST(JobMemory, AnOccurrenceThatIsDoneTakesNone)
{
	State x;
	uint64_t w = x.add_worker();
	ASSERT_EQ(STATUS_OK, x.submit(1, "a", 20, 2, 3));
	size_t accepted = x.s.bytes;
	for (uint32_t o = 0; o < 3; o++) {
		for (uint32_t k = 0; k < 2; k++) {
			ASSERT_EQ(STATUS_OK, x.assign(1, o, k, w));
			EXPECT_EQ(accepted, x.s.bytes);
			ASSERT_EQ(
			    STATUS_OK, x.end(1, o, k, JOB__HOW__DONE).status);
		}
		x.forget();
		EXPECT_EQ(nullptr, jst_find_step(jst_find_job(&x.s, 1), o, 0));
		EXPECT_EQ(STATUS_STALE, x.assign(1, o, 0, w, 2));
		EXPECT_EQ(
		    STATUS_STALE, x.end(1, o, 0, JOB__HOW__DONE, "", 2).status);
		EXPECT_EQ(o == 2 ? JST_COMPLETED : JST_ACTIVE,
		    jst_find_job(&x.s, 1)->state);
	}
	EXPECT_LT(x.s.bytes, accepted / 2);
}

/* Guards against checkpoints that take what nothing has counted: one that is
 * longer than what was reserved is kept while there is room; then the one
 * before is. */
TEST(JobMemory, CheckpointsAreCounted)
{
	State x;
	uint64_t w = x.add_worker();
	std::string text(20, 'c'), large(30000, 'c');
	ASSERT_EQ(STATUS_OK, x.submit(1, "a", 20, 2000, 0, true));
	size_t accepted = x.s.bytes;
	for (uint32_t k = 0; k < 2000; k++) {
		ASSERT_EQ(STATUS_OK, x.assign(1, 0, k, w));
		EXPECT_FALSE(
		    x.end(1, 0, k, JOB__HOW__STOPPED, text).checkpoint_dropped);
	}
	EXPECT_EQ(accepted, x.s.bytes);
	bool dropped = false;
	for (uint32_t k = 0; k < 2000; k++) {
		ASSERT_EQ(STATUS_OK, x.assign(1, 0, k, w, 2));
		bool d = x.end(1, 0, k, JOB__HOW__STOPPED, large, 2)
			     .checkpoint_dropped;
		const struct jst_step *st =
		    jst_find_step(jst_find_job(&x.s, 1), 0, 0);
		EXPECT_EQ(d ? text : large, st->tasks[k].checkpoint);
		dropped |= d;
	}
	EXPECT_TRUE(dropped);
	EXPECT_LE(x.s.bytes, x.s.max.jobs);
	ASSERT_EQ(STATUS_OK, x.cancel(1));
	x.forget();
	EXPECT_LT(x.s.bytes, accepted);
}

/* Guards against replicas that decide differently: the smallest memory of all
 * counts, and the decision is the same after a snapshot. */
TEST(JobMemory, TheSmallestReplicaDecides)
{
	State x(512);
	uint64_t id = 0;
	while (x.submit(id + 1, "a", 4000) == STATUS_OK)
		id++;
	x.limit(2, 256);
	EXPECT_GT(x.s.bytes, x.s.max.jobs);
	EXPECT_EQ(STATUS_FULL, x.submit(id + 1));
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct err e;
	err_clear(&e);
	State y(0);
	ASSERT_EQ(STATUS_OK, jst_unpack(&y.s, jst_pack(&x.s, ctx), &e));
	talloc_free(ctx);
	EXPECT_EQ(x.s.bytes, y.s.bytes);
	EXPECT_EQ(x.s.max.jobs, y.s.max.jobs);
	EXPECT_EQ(STATUS_FULL, y.submit(id + 1));
	EXPECT_NE(nullptr, jst_find_job(&y.s, id));
	for (State *s : { &x, &y }) {
		s->limit(2, 0);
		s->cancel(1);
		s->cancel(2);
		EXPECT_EQ(STATUS_OK, s->submit(id + 1, "a", 4000));
	}
	EXPECT_EQ(x.s.bytes, y.s.bytes);
}

/* Guards against a log of an earlier version that can't be replayed: nothing is
 * refused before the memory of a replica is recorded, and a state over the
 * limit is kept. */
TEST(JobMemory, OlderDataIsKept)
{
	State x(0);
	for (uint64_t id = 1; id <= 30000; id++)
		ASSERT_EQ(STATUS_OK, x.submit(id, "a", 4000));
	x.limit(kInstance, kMemoryMb);
	EXPECT_GT(x.s.bytes, x.s.max.jobs);
	EXPECT_EQ(STATUS_FULL, x.submit(30001));
	EXPECT_EQ(STATUS_OK, x.cancel(1));
	EXPECT_NE(nullptr, jst_find_job(&x.s, 30000));
	x.configure({ "a", "d" });
}

/* Guards against a snapshot that takes several times what the state takes while
 * it is packed or loaded. */
TEST(JobMemory, ASnapshotIsPackedAndLoadedJobByJob)
{
	State x;
	uint64_t id = 0;
	while (x.submit(id + 1, "a", 20, 1000) == STATUS_OK)
		id++;
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct err e;
	err_clear(&e);
	malloc_trim(0);
	size_t before = in_use();
	struct str data = jst_pack(&x.s, ctx);
	size_t packed = in_use() - before;
	EXPECT_LT(packed, data.len + 2 * kMb);
	State y(0);
	ASSERT_EQ(STATUS_OK, jst_unpack(&y.s, data, &e));
	EXPECT_LE(in_use() - before - packed, x.s.bytes + kMb);
	talloc_free(ctx);
}

/* Guards against a snapshot of an earlier version, which has all tasks of a
 * recurring job, that can't be loaded or loses what was done. */
TEST(JobMemory, ASnapshotOfAnEarlierVersionIsLoaded)
{
	State x(0);
	uint64_t w = x.add_worker();
	ASSERT_EQ(STATUS_OK, x.submit(1, "a", 20, 2, 100));
	ASSERT_EQ(STATUS_OK, x.submit(2, "b", 20, 1));
	struct jst_job *j = jst_find_job(&x.s, 1);
	Job__TaskImage tasks[200], *p[200], single = JOB__TASK_IMAGE__INIT;
	Job__TaskImage *one = &single;
	for (size_t i = 0; i < 200; i++) {
		job__task_image__init(&tasks[i]);
		p[i] = &tasks[i];
	}
	/* Done: 0 and 2. Of 3, one task is done and the other runs. */
	for (size_t i : { 0, 1, 4, 5, 6, 7 }) {
		tasks[i].has_run = 1;
		tasks[i].run = 1;
		tasks[i].has_done = tasks[i].done = i != 7;
	}
	tasks[7].has_worker = 1;
	tasks[7].worker = w;
	Job__JobImage a = JOB__JOB_IMAGE__INIT, b = JOB__JOB_IMAGE__INIT;
	Job__JobImage c = JOB__JOB_IMAGE__INIT, *jobs[] = { &a, &b, &c };
	a.submit = j->submit;
	a.tasks = p;
	a.n_tasks = 200;
	b.submit = jst_find_job(&x.s, 2)->submit;
	b.state = JST_FAILED;
	b.has_ended_ms = 1;
	b.ended_ms = x.now_ms;
	b.tasks = &one;
	b.n_tasks = 1;
	/* The cancel of a job that was never submitted. */
	Job__Submit mark = *b.submit;
	Job__Spec none = JOB__SPEC__INIT;
	none.text = b.submit->spec->text;
	mark.job = 3;
	mark.spec = &none;
	c.submit = &mark;
	c.state = JST_CANCELLED;
	c.has_ended_ms = 1;
	c.ended_ms = x.now_ms;
	Job__Image im = JOB__IMAGE__INIT;
	Job__Worker *worker = (Job__Worker *)x.s.workers[0]->info;
	im.config = x.s.config;
	im.jobs = jobs;
	im.n_jobs = 3;
	im.workers = &worker;
	im.n_workers = 1;
	im.next_worker = x.s.next_worker;
	std::vector<uint8_t> buf(job__image__get_packed_size(&im));
	job__image__pack(&im, buf.data());

	State y(0);
	struct err e;
	err_clear(&e);
	ASSERT_EQ(
	    STATUS_OK, jst_unpack(&y.s, str_mem(buf.data(), buf.size()), &e));
	j = jst_find_job(&y.s, 1);
	EXPECT_EQ(4U, j->opened);
	EXPECT_EQ(2U, j->ndone);
	EXPECT_EQ(2U, j->nlive);
	EXPECT_TRUE(jst_has_done(j, 0));
	EXPECT_FALSE(jst_has_done(j, 1));
	EXPECT_TRUE(jst_has_done(j, 2));
	EXPECT_EQ(JST_DONE, jst_find_step(j, 3, 0)->tasks[0].state);
	EXPECT_EQ(JST_ASSIGNED, jst_find_step(j, 3, 0)->tasks[1].state);
	EXPECT_EQ(1U, y.s.workers[0]->nassigned);
	EXPECT_EQ(JST_FAILED, jst_find_job(&y.s, 2)->state);
	EXPECT_NE(nullptr, jst_find_withdrawn(&y.s, 3));
	EXPECT_EQ(STATUS_OK, y.end(1, 3, 1, JOB__HOW__DONE).status);
	EXPECT_EQ(3U, j->ndone);
	a.n_tasks = 199;
	buf.resize(job__image__get_packed_size(&im));
	job__image__pack(&im, buf.data());
	EXPECT_EQ(STATUS_CORRUPT,
	    jst_unpack(&y.s, str_mem(buf.data(), buf.size()), &e));
}

/* Guards against waves that are kept for good with all their machines, and
 * against one that is ordered again when it has been forgotten so far. */
TEST(JobMemory, WavesThatAreDoneKeepOnlyTheirId)
{
	State x;
	std::string name = "m";
	std::vector<char *> machines(100, name.data());
	size_t before = in_use();
	for (uint64_t id = 1; id <= 2000; id++) {
		Job__Command c = JOB__COMMAND__INIT;
		Job__Wave w = JOB__WAVE__INIT;
		Job__WaveStep step = JOB__WAVE_STEP__INIT;
		w.id = id;
		w.machines = machines.data();
		w.n_machines = machines.size();
		c.wave = &w;
		ASSERT_EQ(STATUS_OK, x.apply(c).status);
		c.wave = NULL;
		step.wave = id;
		step.machine = name.data();
		step.state = JOB__WAVE_STATE__WAVE_DONE;
		c.wave_step = &step;
		ASSERT_EQ(STATUS_OK, x.apply(c).status);
	}
	EXPECT_LT(in_use() - before, 2 * kMb);
	for (uint64_t id : { 1, 1000, 2000 })
		EXPECT_TRUE(jst_wave_is_done(&x.s, id)) << id;
	EXPECT_FALSE(jst_wave_is_done(&x.s, 2001));
	Job__Command c = JOB__COMMAND__INIT;
	Job__Wave again = JOB__WAVE__INIT;
	again.id = 1;
	c.wave = &again;
	EXPECT_EQ(STATUS_EXISTS, x.apply(c).status);
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct err e;
	err_clear(&e);
	State y(0);
	ASSERT_EQ(STATUS_OK, jst_unpack(&y.s, jst_pack(&x.s, ctx), &e));
	EXPECT_TRUE(jst_wave_is_done(&y.s, 1));
	talloc_free(ctx);
}

/* Guards against workers that other writers announce without end. */
TEST(JobMemory, WorkersAreLimitedByTheMemory)
{
	State x;
	for (uint32_t i = 0; i < jmem_split(kMemoryMb).workers; i++)
		ASSERT_NE(0U, x.add_worker());
	EXPECT_EQ(0U, x.add_worker());
}

/* Guards against parts of the memory that add up to more than there is. */
TEST(JobMemory, ThePartsFitIntoTheMemory)
{
	for (uint32_t mb : { 256, 384, 640, 16384 }) {
		struct jmem_limits l = jmem_split(mb);
		size_t sum = JMEM_BASE_MB * kMb + l.jobs + 3 * l.log +
		    l.checkpoints + l.workers * (size_t)JMEM_WORKER_BYTES;
		EXPECT_LT(sum, mb * kMb / 2) << mb;
		EXPECT_LE((size_t)JST_TASKS_MAX, l.runs);
	}
	EXPECT_EQ(jmem_split(JMEM_DEFAULT_MB).jobs, jmem_split(0).jobs);
}

} // namespace
