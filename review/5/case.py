"""Jobs whose starts are all refused by unhealthy workers are left out of the
number of waiting jobs of their queue."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                ".."))
import harness as h  # noqa: E402

UNHEALTHY_S = 6.5  # srv_grey, as on the site
JOBS = 10
ACCEPTED_BEFORE_S = 5.0  # visible_ms + 2 s


async def case(cluster, trouble):
    """Submits jobs that need a label which one worker in eight has; it answers
    starts with 503, or, without the disruption, is full."""
    client, begun = h.Client(cluster), set()
    workers = [h.Worker(cluster, f"i-{n}", 40 + n, cpu=16000,
                        labels=("b" if n == 0 else "a", "r1"))
               for n in range(8)]
    for w in workers:
        w.on_change = (lambda _, task, run, what:
                       begun.add(task.split(".")[0]))
    await h.put_config(cluster, 1, [h.route()])
    await h.wait_ready(cluster)
    for w in workers:
        await w.boot()
    await asyncio.sleep(4.0)

    first = client.new_id()
    if not trouble:
        workers[0].task_s[first] = 30.0
        await client.request("POST", first, {
            "spec": "fills the worker",
            "steps": [h.step(cpu=16000, constraints="b")]})
        await asyncio.sleep(0.5)
    else:
        workers[0].is_unhealthy = True
        cluster.record.add("i-0 answers starts with 503 from now on")
    jobs, accepted_at = [], cluster.record.now()
    for _ in range(JOBS):
        job = client.new_id()
        status, _ = await client.request("POST", job, {
            "spec": "text", "steps": [h.step(constraints="b")]})
        if status != 200:
            raise h.NotRun("a job was not accepted")
        jobs.append(job)
    last_accepted_at = cluster.record.now()
    faults = []
    await asyncio.sleep(
        last_accepted_at + ACCEPTED_BEFORE_S + 0.2 - cluster.record.now())
    while cluster.record.now() < accepted_at + UNHEALTHY_S - 0.1:
        waiting_jobs = [j for j in jobs if j not in begun]
        status, body = await client.request("GET", "")
        still_waiting = [j for j in waiting_jobs if j not in begun]
        if status == 200 and json.loads(body)["waiting"] < (
                len(still_waiting) / 2):
            faults.append(
                f"MIXED the queue gives {body.decode()} as waiting, and "
                f"{len(still_waiting)} jobs that were accepted over "
                f"{ACCEPTED_BEFORE_S} s before have not begun")
        await asyncio.sleep(0.3)
    if trouble:
        cluster.record.add("i-0 is healthy again")
        workers[0].is_unhealthy = False
    return faults


if __name__ == "__main__":
    h.main(os.path.dirname(os.path.abspath(__file__)), case)
