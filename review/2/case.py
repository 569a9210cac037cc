"""A worker that has announced its exit and is then cut off, with connections
to it refused, runs on; its tasks are started elsewhere meanwhile."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                ".."))
import harness as h  # noqa: E402

CUT_S = 5.0  # node_cut; the site's longest for workers is 7 s
LEAVE_AFTER_S = 1.0  # from the begin of the cut
END_AFTER_S = 2.5  # from the notice to leave, if it isn't acknowledged


class Overlaps:
    """Notes runs of one task that exist at the same time."""

    def __init__(self):
        self.running, self.faults = {}, []

    def on_change(self, worker, task, run, what):
        """Notes a start or an end."""
        runs = self.running.setdefault(task, {})
        if what != "start":
            runs.pop((worker.id, run), None)
            return
        if runs:
            self.faults.append(
                f"TWICE task {task}: run {run} starts on {worker.id} while "
                f"{sorted(runs)} is running")
        runs[(worker.id, run)] = True


async def case(cluster, trouble):
    """Cuts a worker off while it leaves: replicas can't reach it any more and
    are refused, what it sends still arrives."""
    client, overlaps = h.Client(cluster), Overlaps()
    leaving = h.Worker(cluster, "i-leaving", 40)
    other = h.Worker(cluster, "i-other", 41)
    for w in (leaving, other):
        w.on_change, w.keeps_conn = overlaps.on_change, True
    await h.put_config(cluster, 1, [h.route()])
    await h.wait_ready(cluster)
    await leaving.boot()
    await asyncio.sleep(2.0)

    job = client.new_id()
    leaving.task_s[job] = other.task_s[job] = 60.0
    if (await client.request("POST", job, {
            "spec": "text", "steps": [h.step(count=4)]}))[0] != 200:
        raise h.NotRun("the job was not accepted")
    await asyncio.sleep(1.0)
    if len(leaving.runs) != 4:
        raise h.NotRun("the tasks have not started")
    await other.boot()

    leaving.state = "draining"
    await cluster.wait_for(3, "acknowledged drain", leaving.beat)
    cluster.record.add("the drain of i-leaving is acknowledged")
    await asyncio.sleep(2.2)  # over drainMs
    if trouble:
        cluster.record.add("the cut of i-leaving begins")
        leaving.refuse()
        leaving.answers_are_lost = True
    cut_at = cluster.record.now()
    await asyncio.sleep(LEAVE_AFTER_S)
    leaving.loop_task.cancel()
    cluster.record.add("worker i-leaving sends its leave")
    status = await leaving.send_on_open_conn(
        "POST", f"/-/Instances.Leave/{leaving.id}")
    cluster.record.add(f"worker i-leaving leave: {status}")
    if status != 200:
        await asyncio.sleep(END_AFTER_S - 1.0)
    leaving.end()
    await asyncio.sleep(max(0, cut_at + CUT_S - cluster.record.now()))
    cluster.record.add("the cut is over")
    await asyncio.sleep(4.0)
    if not trouble and len(other.runs) != 4:
        return ["LOST the tasks don't run on the other worker"]
    return overlaps.faults


if __name__ == "__main__":
    h.main(os.path.dirname(os.path.abspath(__file__)), case)
