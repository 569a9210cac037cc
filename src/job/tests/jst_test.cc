#include "job/tests/job_sim.h"

namespace {

/* Returns a command with a configuration, which is stored in cf. */
Job__Command
config(uint64_t version, Job__Config &cf, std::string &doc)
{
	Job__Command c = JOB__COMMAND__INIT;
	cf = JOB__CONFIG__INIT;
	cf.version = version;
	cf.document.data = (uint8_t *)doc.data();
	cf.document.len = doc.size();
	c.config = &cf;
	return c;
}

/* Guards against a configuration that is replaced by an older one, or by
 * another of the same version: repeated or out of order. */
TEST(JobState, OnlyAHigherVersionReplacesTheConfiguration)
{
	struct jst s;
	struct jst_result r;
	Job__Config cf;
	std::string a = "a", b = "b";
	jst_init(&s);
	for (auto &x : std::vector<std::pair<uint64_t, std::string *>>{
		 { 5, &a }, { 5, &b }, { 3, &b } }) {
		Job__Command c = config(x.first, cf, *x.second);
		jst_apply(&s, &c, &r);
	}
	EXPECT_EQ(5U, s.config->version);
	EXPECT_EQ('a', s.config->document.data[0]);
	Job__Command c = config(9, cf, b);
	jst_apply(&s, &c, &r);
	EXPECT_EQ(9U, s.config->version);
	EXPECT_EQ('b', s.config->document.data[0]);
	jst_finish(&s);
}

/* Guards against a lookup by id that finds an earlier incarnation, or none
 * while an older one is still registered. */
TEST(JobState, TheNewestIncarnationIsFoundByItsId)
{
	JobSim s(5);
	uint64_t a = s.add_worker(4000), b = s.add_worker(4000);
	s.workers[a].incarnation++;
	s.heartbeat(a);
	uint64_t newer = s.st.next_worker - 1;
	const char *id = s.workers[a].id.c_str();
	EXPECT_EQ(newer, jst_find_worker_by_id(&s.st, id)->num);
	Job__Command c = JOB__COMMAND__INIT;
	Job__WorkerGone g = JOB__WORKER_GONE__INIT;
	g.num = newer;
	c.gone = &g;
	s.apply(c);
	EXPECT_EQ(a, jst_find_worker_by_id(&s.st, id)->num);
	g.num = a;
	s.apply(c);
	EXPECT_EQ(NULL, jst_find_worker_by_id(&s.st, id));
	EXPECT_EQ(
	    b, jst_find_worker_by_id(&s.st, s.workers[b].id.c_str())->num);
}

/* Guards against memory that grows with each worker that leaves, and against
 * forgetting the latest ones first. */
TEST(JobState, WorkersThatHaveLeftAreBounded)
{
	JobSim s(9);
	Job__Command c = JOB__COMMAND__INIT;
	Job__WorkerGone g = JOB__WORKER_GONE__INIT;
	std::vector<uint64_t> all;

	g.has_left = g.left = 1;
	for (size_t i = 0; i < JST_LEFT_MAX + 2; i++) {
		all.push_back(s.add_worker(4000));
		g.num = all.back();
		c.gone = &g;
		s.apply(c);
	}
	EXPECT_EQ((size_t)JST_LEFT_MAX, s.st.nleft);
	for (size_t i : { (size_t)1, (size_t)2, all.size() - 1 }) {
		s.heartbeat(all[i]);
		EXPECT_EQ(i >= 2,
		    jst_find_worker_by_id(&s.st, s.workers[all[i]].id.c_str())
			->draining)
		    << i;
	}
}

/* Guards against a second job when a submission is repeated. */
TEST(JobState, AResentJobStaysOne)
{
	JobSim s(1);
	s.add_worker(4000);
	s.lead();
	s.submit(1, "batch", { JobSim::step(2, 1000) });
	s.run(300);
	s.submit(1, "batch", { JobSim::step(7, 1000) });
	s.run(2000);
	EXPECT_EQ(JST_COMPLETED, s.state(1));
	EXPECT_EQ(2U, s.starts.size());
}

/* Guards against a job that runs although its cancel, which arrived before the
 * submission, was acknowledged. */
TEST(JobState, ACancelThatArrivesBeforeItsJobTakesEffect)
{
	JobSim s(6);
	s.add_worker(4000);
	s.lead();
	s.run(100);
	s.cancel(1);
	EXPECT_EQ(nullptr, jst_find_job(&s.st, 1));
	s.submit(1, "batch", { JobSim::step(2, 1000) });
	s.run(2000);
	EXPECT_EQ(JST_CANCELLED, s.state(1));
	EXPECT_EQ(0U, s.starts.size());
	EXPECT_EQ(0U, jst_count_waiting(&s.st, "batch"));
	s.submit(1, "batch", { JobSim::step(2, 1000) });
	s.run(2000);
	EXPECT_EQ(JST_CANCELLED, s.state(1));
	EXPECT_EQ(0U, s.starts.size());
}

/* Guards against a cancel that is answered as settled but not recorded. */
TEST(JobState, ACancelIsProposedWhileItChangesAnything)
{
	JobSim s(7);
	s.lead();
	EXPECT_TRUE(jst_cancel_has_effect(&s.st, 1));
	s.cancel(1);
	EXPECT_FALSE(jst_cancel_has_effect(&s.st, 1));
	s.submit(2, "batch", { JobSim::step(2, 1000) });
	EXPECT_TRUE(jst_cancel_has_effect(&s.st, 2));
	s.cancel(2);
	EXPECT_FALSE(jst_cancel_has_effect(&s.st, 2));
}

/* Guards against cancels of jobs that are never submitted, which fill the
 * memory, and against a cancel that is acknowledged but not recorded. */
TEST(JobState, CancelsOfUnknownJobsAreBounded)
{
	JobSim s(8);
	Job__Command c = JOB__COMMAND__INIT;
	Job__Cancel m = JOB__CANCEL__INIT;
	struct jst_result r;
	c.cancel = &m;
	m.at_ms = s.now_ms;
	for (m.job = 1; m.job <= JST_WITHDRAWN_MAX; m.job++) {
		jst_apply(&s.st, &c, &r);
		ASSERT_EQ(STATUS_NOT_FOUND, r.status);
		ASSERT_FALSE(r.job_ended);
	}
	jst_apply(&s.st, &c, &r);
	EXPECT_EQ(STATUS_FULL, r.status);
	EXPECT_TRUE(jst_cancel_has_effect(&s.st, m.job));
	m.job = 1;
	jst_apply(&s.st, &c, &r);
	EXPECT_EQ(STATUS_NOT_FOUND, r.status);
	s.submit(1, "batch", { JobSim::step(1, 1000) });
	EXPECT_EQ(JST_WITHDRAWN_MAX - 1U, s.st.nwithdrawn);
	m.job = JST_WITHDRAWN_MAX + 1;
	m.at_ms += JST_ENDED_RETENTION_MS;
	jst_apply(&s.st, &c, &r);
	EXPECT_EQ(STATUS_NOT_FOUND, r.status);
	EXPECT_EQ(1U, s.st.nwithdrawn);
}

/* Guards against a snapshot that loses part of the state: what a replica loads
 * from it packs to the same bytes. */
TEST(JobState, SnapshotsHoldEverything)
{
	JobSim s(2);
	for (int i = 0; i < 3; i++)
		s.add_worker(4000);
	s.lead();
	Job__Step second = JobSim::step(3, 1000);
	uint32_t after[1] = { 0 };
	second.after = after;
	second.n_after = 1;
	s.submit(1, "batch", { JobSim::step(4, 1000), second });
	s.submit(2, "fast", { JobSim::step(2, 1000) });
	s.submit(3, "fast", { JobSim::step(2, 1000) });
	s.run(400);
	s.cancel(3);
	s.cancel(4);
	s.run(900);
	struct str image = jst_pack(&s.st, s.ctx);
	struct jst copy;
	struct err e = {};
	jst_init(&copy);
	ASSERT_EQ(STATUS_OK, jst_unpack(&copy, image, &e)) << e.msg;
	struct str again = jst_pack(&copy, s.ctx);
	EXPECT_TRUE(str_eq(image, again));
	EXPECT_EQ(s.st.next_worker, copy.next_worker);
	EXPECT_EQ(JST_CANCELLED, jst_find_job(&copy, 3)->state);
	EXPECT_EQ(1U, copy.config->version);
	EXPECT_EQ(nullptr, jst_find_job(&copy, 4));
	EXPECT_NE(nullptr, jst_find_withdrawn(&copy, 4));
	EXPECT_EQ(1U, copy.nwithdrawn);
	jst_finish(&copy);
	EXPECT_EQ(STATUS_CORRUPT,
	    jst_unpack(&copy, str_mem(image.p, image.len / 2), &e));
}

/* Guards against requests that reach the wrong queue for their host and
 * path. */
TEST(JobState, TheLongestPrefixOfTheHostDecides)
{
	JobSim s(3);
	EXPECT_STREQ(
	    "fast", jst_route(&s.st, str_from("h"), str_from("/f/12"))->name);
	EXPECT_EQ(nullptr, jst_route(&s.st, str_from("x"), str_from("/f/12")));
	EXPECT_EQ(nullptr, jst_route(&s.st, str_from("h"), str_from("/f")));
}

/* Guards against a count of waiting jobs that includes started ones. */
TEST(JobState, CountsJobsOfWhichNothingHasStarted)
{
	JobSim s(4);
	s.add_worker(1000);
	s.lead();
	s.run(100);
	for (uint64_t j = 1; j <= 4; j++)
		s.submit(j, "batch", { JobSim::step(1, 1000) });
	EXPECT_EQ(4U, jst_count_waiting(&s.st, "batch"));
	s.run(100);
	EXPECT_EQ(3U, jst_count_waiting(&s.st, "batch"));
	EXPECT_EQ(0U, jst_count_waiting(&s.st, "fast"));
}

/* Submits four jobs of one task. */
void
submit_four(JobSim &s)
{
	for (uint64_t j = 1; j <= 4; j++)
		s.submit(j, "batch", { JobSim::step(1, 1000) });
}

/* Guards against jobs that are left out of the waiting ones because they were
 * assigned, while unhealthy workers refuse every start. */
TEST(JobState, CountsJobsWhoseStartsAreRefused)
{
	JobSim s(11);
	uint64_t a = s.add_worker(8000);
	s.lead();
	s.run(100);
	s.workers[a].unhealthy = true;
	submit_four(s);
	for (int i = 0; i < 65; i++) {
		s.run(100);
		ASSERT_EQ(4U, jst_count_waiting(&s.st, "batch")) << i;
	}
	s.lead();
	s.run(1000);
	EXPECT_EQ(4U, jst_count_waiting(&s.st, "batch"));
	s.workers[a].unhealthy = false;
	s.run(2000);
	EXPECT_EQ(0U, jst_count_waiting(&s.st, "batch"));
	for (uint64_t j = 1; j <= 4; j++)
		EXPECT_EQ(JST_COMPLETED, s.state(j));
}

/* Guards against the same where the orders to start are lost, or the worker
 * that they are meant for can't be reached any more. */
TEST(JobState, CountsJobsWhoseStartsAreLost)
{
	JobSim s(12);
	uint64_t a = s.add_worker(8000);
	s.run_time_ms = [](const SimTask &) { return -1; };
	s.lead();
	s.run(100);
	s.drop_starts_to = a;
	submit_four(s);
	s.run(2000);
	EXPECT_EQ(4U, jst_count_waiting(&s.st, "batch"));
	s.set_unreachable(a, true);
	s.lead();
	s.run(5000);
	EXPECT_EQ(4U, jst_count_waiting(&s.st, "batch"));
	s.set_unreachable(a, false);
	s.drop_starts_to = 0;
	s.run(5000);
	EXPECT_EQ(0U, jst_count_waiting(&s.st, "batch"));
}

/* Guards against a started job that counts as waiting: the answer to its start
 * was lost, or its worker and the leader were lost since. */
TEST(JobState, AStartedJobNeverWaitsAgain)
{
	JobSim s(13);
	uint64_t a = s.add_worker(8000);
	s.run_time_ms = [](const SimTask &) { return -1; };
	s.lead();
	s.run(100);
	s.relays_losing_answers = 1;
	submit_four(s);
	s.run(100);
	ASSERT_EQ(4U, s.workers[a].running.size());
	s.relays_losing_answers = 0;
	s.run(3000);
	EXPECT_EQ(0U, jst_count_waiting(&s.st, "batch"));
	s.crash(a);
	s.dark(200);
	s.reload();
	s.lead();
	s.run(JLEAD_LEASE_MS + 2000);
	for (uint64_t j = 1; j <= 4; j++)
		EXPECT_EQ(JST_WAITING,
		    jst_find_step(jst_find_job(&s.st, j), 0, 0)[0]
			.tasks[0]
			.state);
	EXPECT_EQ(0U, jst_count_waiting(&s.st, "batch"));
}

/* Guards against a job that counts as waiting though its task has ended: the
 * start had no answer, and the first poll that has one lists the end. */
TEST(JobState, AListedEndShowsThatAJobHasStarted)
{
	JobSim s(14);
	uint64_t a = s.add_worker(8000);
	s.run_time_ms = [](const SimTask &) { return 300; };
	s.task_fails = [](const SimTask &, uint64_t) { return true; };
	s.lead();
	s.run(100);
	submit_four(s);
	s.run(5);
	for (int i = 0; i < 100 && s.workers[a].running.empty(); i++)
		s.run(1);
	ASSERT_EQ(4U, s.workers[a].running.size());
	s.lead();
	s.workers[a].unhealthy = true;
	s.run(2000);
	EXPECT_EQ(0U, jst_count_waiting(&s.st, "batch"));
	for (uint64_t j = 1; j <= 4; j++)
		EXPECT_EQ(1, s.starts[SimTask{ j }]);
}

/* Guards against a state that differs between a replica that applied the log
 * and one that loaded a snapshot of it. */
TEST(JobState, LoadingForgetsNoJobThatTheLogKeeps)
{
	JobSim s(10);
	s.add_worker(8000);
	s.run_time_ms = [](const SimTask &) { return -1; };
	s.lead();
	s.run(200);
	s.submit(1, "batch", { JobSim::step(1, 1000) });
	s.run(200);
	jlead_stop(&s.jl);
	s.cancel(1);
	s.now_ms += JST_ENDED_RETENTION_MS + 1;
	s.cancel(2);
	Job__Command c = JOB__COMMAND__INIT;
	Job__End end = JOB__END__INIT;
	Job__Task t = JOB__TASK__INIT;
	t.job = 1;
	t.has_occurrence = t.has_step = t.has_index = 1;
	end.task = &t;
	end.run = 1;
	end.how = JOB__HOW__STOPPED;
	c.end = &end;
	s.apply(c);
	struct str image = jst_pack(&s.st, s.ctx);
	struct jst copy;
	struct err e = {};
	jst_init(&copy);
	ASSERT_EQ(STATUS_OK, jst_unpack(&copy, image, &e)) << e.msg;
	EXPECT_TRUE(str_eq(image, jst_pack(&copy, s.ctx)));
	jst_finish(&copy);
}

/* Guards against a removed queue that still takes requests, and against one
 * whose jobs lose its settings: also with further configurations, in a
 * snapshot, and for a job that was proposed before the removal. */
TEST(JobState, ARemovedQueueIsKeptForItsJobs)
{
	JobSim s(10);
	s.max_attempts = 5;
	s.config(2);
	s.submit(1, "batch", { JobSim::step(1, 1000) });
	s.config(3, {});
	s.submit(2, "fast", { JobSim::step(1, 1000) });
	s.config(4, {});
	EXPECT_EQ(nullptr, jst_route(&s.st, str_from("h"), str_from("/b/1")));
	EXPECT_EQ(nullptr, jst_route(&s.st, str_from(""), str_from("/b/1")));
	EXPECT_EQ(nullptr, jst_route(&s.st, str_from(""), str_from("")));
	struct jst copy;
	struct err e = {};
	jst_init(&copy);
	ASSERT_EQ(STATUS_OK, jst_unpack(&copy, jst_pack(&s.st, s.ctx), &e));
	for (struct jst *st : { &s.st, &copy }) {
		for (const char *name : { "fast", "batch" }) {
			const Job__Queue *q = jst_queue(st, name);
			ASSERT_NE(nullptr, q) << name;
			EXPECT_STREQ("svc", q->service);
			EXPECT_EQ(5U, q->max_attempts);
		}
	}
	jst_finish(&copy);
	/* A queue of that name that comes back replaces it. */
	s.config(5, { "batch" });
	EXPECT_STREQ(
	    "batch", jst_route(&s.st, str_from("h"), str_from("/b/1"))->name);
	/* Without jobs, it is forgotten. */
	s.cancel(1);
	s.cancel(2);
	s.config(6, {});
	s.config(7, {});
	EXPECT_EQ(0U, s.st.config->n_queues);
}

} // namespace
