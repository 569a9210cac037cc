"""A task runs twice: a worker goes down silently and starts again under its id;
a start reaches its new life before the first heartbeat does, and the answer is
taken for one of the life before."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
import standins as si

FOLDER = os.path.dirname(os.path.abspath(__file__))
DOWN_S = 0.4
OTHER_WORKERS = 7  # srv_crash: at most 0.14 of the workers go down
TASK_S = 4.0
STOP_S = 0.6  # stopTimeoutMs is 900


async def play(world, trouble):
    """Returns the outcome."""
    await world.start(1, TASK_S)
    first = si.config(1, [si.route("r-1", "/jobs/")])
    if not await world.set_config(first, 15) or \
            not await world.wait_until_ready(15):
        return si.NOT_RUN
    await asyncio.sleep(3)
    # Of workers that are equal the first one that came gets the first task.
    for _ in range(OTHER_WORKERS):
        await world.add_worker(TASK_S)
    for worker in world.workers:
        worker.names_life_always = False
        worker.stop_s = STOP_S
    await asyncio.sleep(3)
    if trouble:
        world.workers[0].crash()
        await asyncio.sleep(DOWN_S)
        world.workers[0].restart()
    await asyncio.sleep(0.1)
    status, _ = await world.client(
        world.gates[0], "POST", "/jobs/" + si.new_job(),
        si.job_body(2, 4000))
    if status != 200:
        return si.NOT_RUN
    await asyncio.sleep(12)
    for task in sorted(set(world.doubled)):
        world.record.add(f"TWICE: {task} has run in two places at once")
    return si.BROKEN if world.doubled else si.HELD


async def case(folder):
    """Runs the case."""
    world = si.World(folder, 3, 1)
    try:
        return await play(world, os.environ.get("TROUBLE") != "0")
    finally:
        await world.finish()


si.main(FOLDER, case)
