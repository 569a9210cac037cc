/* Workers and tasks of known sizes for the tests of look-ahead placement. */
#ifndef JOB_TESTS_ROOM_SIM_H
#define JOB_TESTS_ROOM_SIM_H

#include "job/tests/job_sim.h"

/* One worker or more of 16 processors with look-ahead, and runs of known
 * length. */
struct Room : JobSim {
	static constexpr uint64_t LARGE = 900;
	std::map<uint64_t, int64_t> real_ms;

	explicit Room(uint32_t nworkers, bool on = true) : JobSim(1)
	{
		jl.lookahead = on;
		run_time_ms = [this](
				  const SimTask &k) { return real_ms[k.job]; };
		for (uint32_t i = 0; i < nworkers; i++)
			add_worker(16000);
		lead();
		run(100);
	}
	/* Submits a job of one step; its tasks really take real. */
	void task(uint64_t id, const char *queue, uint32_t cpu,
	    uint32_t estimate, int64_t real = 0, uint32_t count = 1,
	    const char *label = NULL)
	{
		Job__Step x = step(count, cpu, estimate);
		std::string text = label == NULL ? "" : label;
		x.label = label == NULL ? NULL : text.data();
		real_ms[id] = real > 0 ? real : estimate;
		submit(id, queue, { x });
	}
	/* Fills a worker but for 4 processors. */
	void fill(uint64_t id, uint32_t estimate, int64_t real = 0,
	    uint32_t count = 2)
	{
		task(id, "fast", 6000, estimate, real, count);
		run(100);
	}
	/* Submits a task that fits nowhere. */
	void large(uint32_t estimate = 1000, uint32_t count = 1)
	{
		task(LARGE, "fast", 14000, estimate, 0, count);
		run(50);
	}
	bool has_started(uint64_t id)
	{
		return starts.count({ id, 0, 0, 0 }) > 0;
	}
	/* Plans again, also if nothing has happened. */
	size_t slots()
	{
		jl.plan_needed = true;
		run(5);
		return jl.look.nslots;
	}
};

#endif
