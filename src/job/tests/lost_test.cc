#include "job/tests/job_sim.h"

namespace {

/* Guards against an accepted job that waits for good because two
 * configurations that were in flight before it have made the state forget its
 * queue. */
TEST(JobLost, AJobWhoseQueueIsForgottenIsNotAccepted)
{
	JobSim s(1);
	s.add_worker(8000);
	s.lead();
	s.run(100);
	s.config(2, { "fast" });
	s.config(3, { "fast" });
	s.submit(1, "batch", { JobSim::step(1, 1000) });
	s.run(3000);
	struct jst_job *j = jst_find_job(&s.st, 1);
	EXPECT_TRUE(j == NULL || j->state == JST_COMPLETED)
	    << "accepted, and never run";
}

} // namespace
