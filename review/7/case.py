"""A job is stuck: a worker starts again under its id, takes a task and is lost
for good before its first heartbeat. The time on its new clock is compared with
a lease by its old one, so that the lease never expires."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
import standins as si

FOLDER = os.path.dirname(os.path.abspath(__file__))
UP_BEFORE_MS = 480000  # how long the worker has been up when the case begins
DOWN_S = 0.4
OTHER_WORKERS = 7  # srv_crash: at most 0.14 of the workers go down
TASK_S = 1.5
WAIT_S = 60


async def play(world, trouble):
    """Returns the outcome."""
    await world.start(0, TASK_S)
    await world.add_worker(TASK_S, UP_BEFORE_MS)
    first = si.config(1, [si.route("r-1", "/jobs/")])
    if not await world.set_config(first, 15) or \
            not await world.wait_until_ready(15):
        return si.NOT_RUN
    await asyncio.sleep(3)
    # Of workers that are equal the first one that came gets the first task.
    for _ in range(OTHER_WORKERS):
        await world.add_worker(TASK_S, UP_BEFORE_MS)
    for worker in world.workers:
        worker.names_life_always = False
    await asyncio.sleep(3)
    lost = world.workers[0]
    if trouble:
        lost.crash()
        await asyncio.sleep(DOWN_S)
        lost.restart()
    await asyncio.sleep(0.1)
    job = si.new_job()
    status, _ = await world.client(
        world.gates[0], "POST", "/jobs/" + job, si.job_body(1, 1500))
    await asyncio.sleep(0.4)
    if status != 200 or (trouble and not lost.runs):
        return si.NOT_RUN
    if trouble:
        lost.crash()
        world.record.add(f"{lost.id} doesn't come back")
    state, waited = "", 0
    while state != "completed" and waited < WAIT_S:
        await asyncio.sleep(5)
        waited += 5
        status, body = await world.client(
            world.gates[0], "GET", "/jobs/" + job)
        state = json.loads(body)["state"] if status == 200 else ""
    if state == "completed":
        return si.HELD
    world.record.add(
        f"LOST: {job} is {state}; its task has run nowhere for {WAIT_S} s, "
        f"and {OTHER_WORKERS} workers have nothing to do")
    return si.BROKEN


async def case(folder):
    """Runs the case."""
    world = si.World(folder, 3, 1)
    try:
        return await play(world, os.environ.get("TROUBLE") != "0")
    finally:
        await world.finish()


si.main(FOLDER, case)
