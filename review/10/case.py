"""A task runs on after its job was cancelled: the job's route has been removed,
and each DELETE is answered 404."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
import standins as si

FOLDER = os.path.dirname(os.path.abspath(__file__))
CONFIG_APPLY_S, ACK_S, CANCEL_S, STOP_S = 2.0, 4.0, 3.0, 0.9  # of the site
TASK_S = 300  # it lasts until it is stopped


async def cancel(world, job):
    """Cancels the job until that is acknowledged, for ACK_S in steady state;
    tells whether it was."""
    for _ in range(int(ACK_S) + 1):
        status, _ = await world.client(
            world.gates[0], "DELETE", "/gone/" + job)
        if status is not None and (status == 410 or status // 100 == 2):
            return True
        await asyncio.sleep(1)
    return False


async def play(world, trouble):
    """Returns the outcome."""
    await world.start(3, TASK_S)
    routes = [si.route("r-kept", "/kept/"), si.route("r-gone", "/gone/")]
    if not await world.set_config(si.config(1, routes), 15) or \
            not await world.wait_until_ready(15):
        return si.NOT_RUN
    await asyncio.sleep(3)
    job, body = si.new_job(), si.job_body(1, 500)
    body["steps"][0]["longRunning"] = True
    status, _ = await world.client(
        world.gates[0], "POST", "/gone/" + job, body)
    await asyncio.sleep(1)
    if status != 200 or not world.running.get(job + ".0.0.0"):
        return si.NOT_RUN
    if trouble:
        if not await world.set_config(si.config(2, routes[:1]), 10):
            return si.NOT_RUN
        await asyncio.sleep(CONFIG_APPLY_S + 1)
    acknowledged = await cancel(world, job)
    await asyncio.sleep(CANCEL_S + STOP_S + 0.5)
    status, answer = await world.client(world.gates[0], "GET", "/gone/" + job)
    runs = world.running.get(job + ".0.0.0")
    world.record.add(f"the cancel was acknowledged: {acknowledged}; runs of "
                     f"its task: {sorted(runs)}")
    if not runs:
        return si.HELD
    world.record.add(
        f"UNASKED: {job} was cancelled; {CANCEL_S + STOP_S} s after that was "
        f"acknowledged, or had waited {ACK_S} s for it, its task runs on")
    return si.BROKEN


async def case(folder):
    """Runs the case."""
    world = si.World(folder, 3, 1)
    try:
        return await play(world, os.environ.get("TROUBLE") != "0")
    finally:
        await world.finish()


si.main(FOLDER, case)
