#include <cstdlib>

#include "job/jlead_impl.h"
#include "job/tests/job_sim.h"

namespace {

/* What users accept while half of a service is free and a job has room twice
 * over. */
const int64_t IDLE_JOB_MAX_MS = 3000;

/* Resources of a worker, without what its runs have. */
struct Room {
	int64_t cpu, mem, accel, serving_cpu = 0, best_effort_cpu = 0;
	int nbest_effort = 0;
};

/* Plays random jobs on a random fleet, and checks each plan against a naive
 * reference that counts everything anew. */
class PlanDay {
      public:
	explicit PlanDay(uint64_t seed) : s(seed), rng(&s.rng)
	{
		nservices = rng_chance(rng, 0.2) ? 20 : 1 + below(3);
		s.commit_ms = 1 + (int64_t)below(30);
		s.run_time_ms = [this](const SimTask &t) {
			return 100 +
			    (int64_t)(t.job * 7919 + t.index * 31) % 2500;
		};
		s.task_fails = [this](const SimTask &t, uint64_t) {
			return lasting.count(t.job) == 0 &&
			    rng_chance(rng, 0.02);
		};
		s.tail_ms = [](const SimTask &t) {
			return (uint32_t)(20 + t.job % 60);
		};
		s.max_attempts = 100;
		configure();
		uint64_t n = 3 + below(12);
		for (uint64_t i = 0; i < n; i++)
			add_worker();
		s.lead();
		s.run(200);
	}

	/* Plays the day: events at random, then calm. */
	void play()
	{
		for (int i = 0; i < 60 && !testing::Test::HasFailure(); i++) {
			if (rng_chance(rng, 0.5))
				submit();
			if (rng_chance(rng, 0.15))
				disturb();
			step(100);
		}
		for (int i = 0; i < 60 && !testing::Test::HasFailure(); i++)
			step(100);
	}

	size_t nplans = 0, ndisplaced = 0, nidle = 0;

      private:
	JobSim s;
	struct rng *rng;
	uint64_t nservices, next_job = 1, version = 1;
	std::set<uint64_t> lasting;
	/* by queue, in the last configuration that had it */
	std::map<std::string, std::string> service_of;
	/* since when a job or an occurrence has nothing running, with room */
	std::map<std::pair<uint64_t, uint32_t>, int64_t> idle_since;

	uint64_t below(uint64_t n)
	{
		return rng_below(rng, n);
	}

	std::string service()
	{
		return "svc" + std::to_string(below(nservices));
	}

	void add_worker()
	{
		static const char *racks[] = { "r1", "r2" };
		std::string name = service();
		s.new_kind = below(4) == 0 ? "b" : "a";
		s.new_mem_mb = 1000 + (uint32_t)below(4) * 1000;
		s.new_accel = (uint32_t)below(3);
		s.add_worker(4000 + (uint32_t)below(5) * 1000, racks[below(2)],
		    name.c_str());
	}

	/* Puts a configuration with some of the queues in force. */
	void configure()
	{
		std::vector<std::string> queues;
		for (const char *q : { "fast", "batch" }) {
			if (version == 1 || below(3) > 0)
				queues.push_back(q);
		}
		std::string name = service();
		for (auto &q : queues)
			service_of[q] = name;
		s.config(++version, queues, name.c_str());
	}

	void submit()
	{
		static const char *images[] = { "i1", "i2", "i3" };
		static char label[] = "b", rack[] = "r1";
		const char *queue = below(2) ? "fast" : "batch";
		std::vector<Job__Step> steps(1 + below(3));
		uint32_t after[1] = { 0 };
		bool lasts = below(3) == 0, fills = !lasts && below(2) == 0;
		for (auto &st : steps) {
			st = JobSim::step(1 + (uint32_t)below(4),
			    500 * (1 + (uint32_t)below(6)),
			    below(2) ? 1000 : 20000);
			st.mem_mb = (uint32_t)below(1000);
			st.has_accel = below(5) == 0;
			st.accel = st.has_accel;
			st.label = below(6) == 0 ? label : NULL;
			st.rack = below(4) == 0 ? rack : NULL;
			st.has_spread = below(3) == 0;
			st.spread = st.has_spread;
			st.has_fills = st.fills = fills;
			st.image = (char *)(uintptr_t)images[below(3)];
			if (fills)
				st.mem_mb /= 4;
			if (lasts) {
				st.has_lasting = st.lasting = 1;
				st.has_target_ms = below(4) != 0;
				st.target_ms = st.has_target_ms ? 50 : 0;
			} else {
				st.has_gang = st.gang = below(6) == 0;
			}
			if (!lasts && &st != &steps[0] && below(2)) {
				st.after = after;
				st.n_after = 1;
			}
		}
		if (lasts)
			lasting.insert(next_job);
		if (jst_queue(&s.st, queue) != NULL)
			s.submit(next_job, queue, steps,
			    !lasts && below(6) == 0 ? 3 : 0);
		next_job++;
	}

	uint64_t any_worker()
	{
		auto it = s.workers.begin();
		std::advance(it, (long)below(s.workers.size()));
		return it->first;
	}

	void disturb()
	{
		uint64_t w = any_worker();
		switch (below(9)) {
		case 0:
			s.end_running(w, 1 + below(next_job));
			break;
		case 1:
			s.crash(w);
			break;
		case 2:
			if (!s.workers[w].up) {
				s.restart_worker(w);
				s.heartbeat(w);
			}
			break;
		case 3:
			s.leave(w, 200, 1000, false);
			break;
		case 4:
			s.lead();
			break;
		case 5:
			s.pause();
			s.lead();
			s.resume();
			break;
		case 6:
			configure();
			break;
		case 7:
			s.wall_offset_ms = (int64_t)below(10000) - 5000;
			break;
		case 8:
			if (next_job > 1)
				cancel_any();
			break;
		}
	}

	void cancel_any()
	{
		struct jst_job *j = jst_find_job(&s.st, 1 + below(next_job));
		if (j != NULL && j->state == JST_ACTIVE)
			s.cancel(j->id);
	}

	/* Runs for a while, then has the leader plan and checks the result. */
	void step(int64_t ms)
	{
		SCOPED_TRACE(s.now_ms);
		s.run(ms);
		s.jl.plan_needed = true;
		s.jl.plan_at = s.now();
		jlead_plan(&s.jl);
		nplans++;
		check_counts();
		for (struct wsess *ws = s.jl.sessions; ws != NULL;
		     ws = ws->next)
			check_session(ws);
		for (struct jst_job *j = s.st.active; j != NULL; j = j->next) {
			for (uint32_t o = 0; o < j->nlive; o++) {
				for (uint32_t i = 0; i < j->spec->n_steps; i++)
					check_displaced(&j->live[o]->steps[i]);
			}
		}
		check_idle();
	}

	/* Tells whether a run was chosen by the last plan and isn't a displaced
	 * task. */
	bool is_new_choice(const struct jrun *r) const
	{
		return r->phase == RUN_PROPOSED &&
		    clk_diff_ms(s.now(), r->created) == 0 &&
		    (!r->step->spec->lasting || r->task->run == 0);
	}

	/* Returns what is free on a worker, counted anew; without what the last
	 * plan chose after displaced tasks, if before. */
	Room room(const struct wsess *ws, bool before = false) const
	{
		const Job__Worker *w = ws->w->info;
		Room x = { w->cpu_milli, w->mem_mb, w->accel };
		for (const struct jrun *r = ws->runs; r != NULL; r = r->next) {
			const Job__Step *st = r->step->spec;
			if (before && is_new_choice(r))
				continue;
			x.mem -= st->mem_mb;
			x.accel -= st->accel;
			if (st->fills) {
				x.best_effort_cpu += st->cpu_milli;
				x.nbest_effort++;
			} else {
				x.cpu -= st->cpu_milli;
			}
			x.serving_cpu += st->target_ms > 0 ? st->cpu_milli : 0;
		}
		return x;
	}

	uint32_t count_on(const struct wsess *ws, const struct jst_step *st,
	    bool before = false) const
	{
		uint32_t n = 0;
		for (const struct jrun *r = ws->runs; r != NULL; r = r->next)
			n += r->step == st && !(before && is_new_choice(r));
		return n;
	}

	bool is_usable(const struct wsess *ws) const
	{
		return ws->contacted && !ws->silent && !ws->restarted &&
		    !ws->leave_announced && !ws->w->draining &&
		    !clk_before(s.jl.now, ws->paused_until);
	}

	/* Tells whether a worker is one that the step's tasks may run on. */
	bool may_run_on(const struct wsess *ws, const struct jst_step *st) const
	{
		const Job__Worker *w = ws->w->info;
		bool labelled = st->spec->label == NULL;
		for (size_t i = 0; i < w->n_labels; i++)
			labelled |= st->spec->label != NULL &&
			    strcmp(w->labels[i], st->spec->label) == 0;
		return service_of.at(st->job->queue) == w->service && labelled;
	}

	/* Returns how many more tasks of a step fit on a worker; with share,
	 * best-effort tasks need no processors left for them. */
	uint32_t count_fitting(const struct wsess *ws,
	    const struct jst_step *st, bool before = false,
	    bool share = false) const
	{
		const Job__Step *x = st->spec;
		Room free_room = room(ws, before);
		uint32_t n = 0, there = count_on(ws, st, before);
		if (!is_usable(ws) || !may_run_on(ws, st))
			return 0;
		while (n < 100 && (x->spread == 0 || there + n < x->spread)) {
			if (free_room.mem < x->mem_mb ||
			    free_room.accel < x->accel)
				break;
			if (x->fills && !share && free_room.nbest_effort > 0 &&
			    free_room.cpu + free_room.serving_cpu / 2 -
				    free_room.best_effort_cpu <
				x->cpu_milli)
				break;
			if (!x->fills && free_room.cpu < x->cpu_milli)
				break;
			free_room.mem -= x->mem_mb;
			free_room.accel -= x->accel;
			free_room.cpu -= x->fills ? 0 : x->cpu_milli;
			free_room.best_effort_cpu +=
			    x->fills ? x->cpu_milli : 0;
			free_room.nbest_effort += x->fills != 0;
			n++;
		}
		return n;
	}

	/* Checks the leader's counters of a step and of workers. */
	void check_counts()
	{
		std::map<const struct jst_worker *, uint32_t> assigned;
		struct jst_job *lists[] = { s.st.active, s.st.dormant,
			s.st.ended };
		for (auto *list : lists) {
			for (auto *j = list; j != NULL; j = j->next)
				check_job(j, assigned);
		}
		for (size_t i = 0; i < s.st.nworkers; i++)
			EXPECT_EQ(assigned[s.st.workers[i]],
			    s.st.workers[i]->nassigned);
	}

	void check_job(struct jst_job *j,
	    std::map<const struct jst_worker *, uint32_t> &assigned)
	{
		uint32_t nruns = 0, o, i;
		struct jst_step *st;
		JST_FOREACH_STEP(j, st, o, i)
		{
			uint32_t nwaiting = 0, ndone = 0, nproposed = 0;
			for (uint32_t k = 0; k < st->spec->count; k++) {
				const struct jst_task *t = &st->tasks[k];
				bool proposed = t->active_run != NULL &&
				    t->active_run->phase == RUN_PROPOSED;
				nwaiting += t->state == JST_WAITING;
				ndone += t->state == JST_DONE;
				nproposed += proposed;
				nruns += t->active_run != NULL && !proposed;
				if (t->state == JST_ASSIGNED)
					assigned[t->worker]++;
			}
			EXPECT_EQ(nwaiting, st->nwaiting) << j->id;
			EXPECT_EQ(ndone, st->ndone) << j->id;
			EXPECT_EQ(nproposed, st->nproposed) << j->id;
		}
		EXPECT_EQ(nruns, j->nruns) << j->id;
	}

	/* Checks what is allocated on a worker, and the assignments of this
	 * plan. */
	void check_session(const struct wsess *ws)
	{
		const Job__Worker *w = ws->w->info;
		Room x = room(ws);
		EXPECT_EQ(w->cpu_milli - x.cpu, ws->cpu_allocated);
		EXPECT_EQ(w->mem_mb - x.mem, ws->mem_allocated);
		EXPECT_EQ(w->accel - x.accel, ws->accel_allocated);
		EXPECT_EQ(x.best_effort_cpu, ws->best_effort_cpu);
		EXPECT_EQ(x.serving_cpu, ws->serving_cpu);
		EXPECT_GE(x.cpu, 0) << w->id;
		EXPECT_GE(x.mem, 0) << w->id;
		EXPECT_GE(x.accel, 0) << w->id;
		for (const struct jrun *r = ws->runs; r != NULL; r = r->next) {
			const struct jst_step *st = r->step;
			EXPECT_TRUE(st->spec->spread == 0 ||
			    count_on(ws, st) <= st->spec->spread);
			if (r->phase != RUN_PROPOSED ||
			    clk_diff_ms(s.now(), r->created) > 0)
				continue;
			EXPECT_TRUE(is_usable(ws)) << w->id;
			EXPECT_TRUE(may_run_on(ws, st)) << w->id;
			EXPECT_TRUE(jst_step_ready(st));
		}
	}

	/* Checks that no displaced task waits although a worker has room. */
	void check_displaced(const struct jst_step *st)
	{
		uint32_t n = 0;
		for (uint32_t k = 0; k < st->spec->count; k++)
			n += st->tasks[k].state == JST_WAITING &&
			    st->tasks[k].active_run == NULL &&
			    st->tasks[k].run > 0;
		if (!st->spec->lasting || n == 0)
			return;
		ndisplaced++;
		for (struct wsess *ws = s.jl.sessions; ws != NULL;
		     ws = ws->next)
			EXPECT_EQ(0U, count_fitting(ws, st, true))
			    << "a displaced task of job " << st->job->id
			    << " waits, " << ws->w->info->id
			    << " had room before new ones were chosen";
	}

	/* Tells whether less than half of a queue's service is in use,
	 * best-effort tasks left out. */
	bool is_mostly_free(const std::string &name) const
	{
		int64_t all = 0, used = 0;
		for (struct wsess *ws = s.jl.sessions; ws != NULL;
		     ws = ws->next) {
			if (name != ws->w->info->service)
				continue;
			all += ws->w->info->cpu_milli;
			used += ws->cpu_allocated;
		}
		return 2 * used < all;
	}

	/* Tells whether a step has a task that could run, with room for it, or
	 * for all of a gang, twice over. */
	bool could_run(const struct jst_step *st)
	{
		const Job__Spec *spec = st->job->spec;
		uint32_t n = 0, need = st->spec->gang ? 2 * st->spec->count : 2;
		if (st->nwaiting == 0 || !jst_step_ready(st) ||
		    (st->spec->gang && st->nwaiting < st->spec->count) ||
		    (spec->repeat > 0 &&
			s.wall_ms() < spec->start_at_ms +
				(int64_t)(st->occurrence * spec->interval_ms)))
			return false;
		for (struct wsess *ws = s.jl.sessions; ws != NULL;
		     ws = ws->next)
			n += count_fitting(ws, st, false, true);
		return n >= need &&
		    is_mostly_free(service_of.at(st->job->queue));
	}

	/* Checks that no job or occurrence with room has nothing running for
	 * longer than users accept. */
	void check_idle()
	{
		std::map<std::pair<uint64_t, uint32_t>, int64_t> idle;
		for (auto *list : { s.st.active, s.st.dormant }) {
			for (struct jst_job *j = list; j != NULL; j = j->next)
				check_idle_job(j, idle);
		}
		idle_since = idle;
	}

	/* Notes the occurrences of a job that could run and don't. */
	void check_idle_job(struct jst_job *j,
	    std::map<std::pair<uint64_t, uint32_t>, int64_t> &idle)
	{
		for (uint32_t o = 0; o < j->occurrences; o++) {
			bool running = false, could = false;
			JobSim::each_step(j, o, [&](struct jst_step *st) {
				for (uint32_t k = 0; k < st->spec->count; k++)
					running |=
					    st->tasks[k].active_run != NULL;
				could |= could_run(st);
			});
			if (!running && could)
				note_idle({ j->id, o }, idle);
		}
	}

	void note_idle(std::pair<uint64_t, uint32_t> k,
	    std::map<std::pair<uint64_t, uint32_t>, int64_t> &idle)
	{
		idle[k] = idle_since.count(k) ? idle_since[k] : s.now_ms;
		nidle++;
		EXPECT_LT(s.now_ms - idle[k], IDLE_JOB_MAX_MS)
		    << "job " << k.first << ", occurrence " << k.second
		    << " has nothing running, with room for it";
	}
};

/* Guards against tasks that have room and no place in the plan, whatever waits
 * beside them, and against plans that exceed what is free. */
TEST(JobPlanProperty, WorkWithRoomForItIsRun)
{
	const char *more = getenv("PLAN_SEEDS"), *only = getenv("PLAN_SEED");
	uint64_t seeds = more == NULL ? 100 : strtoull(more, NULL, 10);
	size_t nplans = 0, ndisplaced = 0, nidle = 0;

	for (uint64_t seed = 1; seed <= seeds && !HasFailure(); seed++) {
		SCOPED_TRACE("seed " + std::to_string(seed));
		if (only != NULL && strtoull(only, NULL, 10) != seed)
			continue;
		PlanDay day(seed);
		day.play();
		nplans += day.nplans;
		ndisplaced += day.ndisplaced;
		nidle += day.nidle;
	}
	printf("figure plans %zu displaced_waiting %zu idle_with_room %zu\n",
	    nplans, ndisplaced, nidle);
	EXPECT_TRUE(only != NULL || (ndisplaced > 0 && nidle > 0));
}

} // namespace
