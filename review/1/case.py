"""A notice to leave that is delivered late removes the worker's next life."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                ".."))
import harness as h  # noqa: E402

FREEZE_S = 1.7  # of one replica; node_freeze lasts up to 5 s
DOWN_S = 0.2  # between the worker's two lives
FINISH_S = 14.0  # finish_s


async def leave(worker, first):
    """Announces the end of a worker: to one replica, and to others if it
    doesn't answer within a second."""
    order = [first] + [c for c in worker.control_order if c is not first]
    for core in order:
        worker.record.add(f"worker {worker.id} sends its leave to {core.name}")
        status, _ = await h.call((core.ip, h.CONTROL_PORT), "POST",
                                 f"/-/Instances.Leave/{worker.id}")
        worker.record.add(f"worker {worker.id} leave: {status}")
        if status is not None and 200 <= status < 300:
            return


async def case(cluster, trouble):
    """Restarts a worker as planned while a replica that doesn't lead is
    frozen, then submits a job that only this worker may run."""
    client = h.Client(cluster)
    plain = h.Worker(cluster, "i-plain", 40)
    special = h.Worker(cluster, "i-special", 41, labels=("b", "r1"))
    await h.put_config(cluster, 1, [h.route()])
    await h.wait_ready(cluster)
    await plain.boot()
    await special.boot()
    await asyncio.sleep(2.5)

    leader = await cluster.find_leader()
    frozen = next(c for c in cluster.cores if c is not leader)
    special.control_order = [c for c in cluster.cores if c is not frozen]
    plain.control_order = special.control_order

    job = client.new_id()
    body = {"spec": "before", "steps": [h.step(constraints="b")]}
    if (await client.request("POST", job, body))[0] != 200:
        raise h.NotRun("the first job was not accepted")
    await asyncio.sleep(2.0)
    if b"completed" not in (await client.request("GET", job))[1]:
        raise h.NotRun("the first job has not run")

    # The worker is restarted as planned: it drains, leaves and ends.
    special.state = "draining"
    if not await special.beat():
        raise h.NotRun("the drain was not acknowledged")
    cluster.record.add("the drain of i-special is acknowledged")
    await asyncio.sleep(2.5)
    if trouble:
        frozen.signal(signal.SIGSTOP)
    frozen_at = cluster.record.now()
    await leave(special, frozen)
    special.end()
    await asyncio.sleep(DOWN_S)
    await special.boot()
    await asyncio.sleep(max(0, frozen_at + FREEZE_S - cluster.record.now()))
    if trouble:
        frozen.signal(signal.SIGCONT)
    await asyncio.sleep(4.0)  # over contactMs after the freeze

    job = client.new_id()
    body = {"spec": "after", "steps": [h.step(constraints="b")]}
    if (await client.request("POST", job, body))[0] != 200:
        raise h.NotRun("the second job was not accepted")
    await asyncio.sleep(FINISH_S)
    state = (await client.request("GET", job))[1]
    if b"completed" in state:
        return []
    return [f"LOST job {job} was accepted {FINISH_S} s ago, is shown as "
            f"{state.decode()}, and worker i-special, which is ready, sound "
            "and has all of its capacity free, was never told to start it"]


if __name__ == "__main__":
    h.main(os.path.dirname(os.path.abspath(__file__)), case)
