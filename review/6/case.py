"""The core never serves again: a core machine is replaced, the leader is
killed and returns, and then two of five machines lose their disks while all
lose power. Nothing counts as lost at that moment."""

import asyncio
import json
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
import standins as si

FOLDER = os.path.dirname(os.path.abspath(__file__))
CATCH_UP_S = 4  # catchUpS of the site
CONTACT_S = 3  # contactMs of the site; a successor is given this time too
SUCCESSOR_AFTER_S = 1.0
LEADER_AFTER_S = 3.7
DOWN_S = 1.5
RECOVERY_S = 12 + 20  # recoveryS, and 20 s more


async def replace(world, core):
    """Takes a machine away for good and adds an empty one."""
    await core.kill()
    world.cores.remove(core)
    world.record.add(f"{core.name} is gone for good")
    await asyncio.sleep(SUCCESSOR_AFTER_S)
    new = si.Instance(world, "core", 6)
    await si.PeerProxy(new.ip, world.port, world.port + 1,
                       world.is_cut).serve()
    await new.start()
    world.cores.append(new)
    return time.monotonic()


async def disturb(world):
    """Plays the disruptions."""
    began = time.monotonic()
    leader = world.find_leader()
    other = random.choice([c for c in world.cores if c is not leader])
    free_from = await replace(world, other) + CATCH_UP_S + CONTACT_S
    await asyncio.sleep(LEADER_AFTER_S - (time.monotonic() - began))
    leader = world.find_leader()
    world.record.add(f"{leader.name} leads")
    await leader.kill()
    await asyncio.sleep(0.1)
    await leader.start()
    free_from = max(free_from, time.monotonic() + CATCH_UP_S)
    if not await world.set_config(si.config(2, [si.route("r-1", "/jobs/")]),
                                  15):
        return False
    await asyncio.sleep(max(0, free_from - time.monotonic()) + 0.05)
    world.record.add("nothing counts as lost; two disks will be lost")
    await asyncio.gather(*(c.kill() for c in world.cores))
    for core in random.sample(world.cores, 2):
        core.lose_disk()
    await asyncio.sleep(DOWN_S)
    for core in world.cores:
        await core.start()
    return True


async def play(world, trouble):
    """Returns the outcome."""
    await world.start(3, 0.6)
    if not await world.set_config(
            si.config(1, [si.route("r-1", "/jobs/")]), 15) or \
            not await world.wait_until_ready(15):
        return si.NOT_RUN
    await asyncio.sleep(3)
    if trouble:
        if not await disturb(world):
            return si.NOT_RUN
    elif not await world.set_config(
            si.config(2, [si.route("r-1", "/jobs/")]), 15):
        return si.NOT_RUN
    end = time.monotonic() + RECOVERY_S
    job, version, accepted = si.new_job(), None, None
    while time.monotonic() < end and (version != 2 or accepted != 200):
        status, body = await world.operator("GET", "/-/Config.Read")
        if status == 200:
            version = json.loads(body)["version"]
        accepted, _ = await world.client(
            world.gates[0], "POST", "/jobs/" + job, si.job_body(1, 600))
        await asyncio.sleep(0.5)
    if version != 2:
        world.record.add(f"LOST: version 2 was acknowledged; {RECOVERY_S} s "
                         f"after the machines are back, version {version} "
                         "has been read")
    if accepted != 200:
        world.record.add("RECOVER: no job has been accepted since")
    return si.HELD if version == 2 and accepted == 200 else si.BROKEN


async def case(folder):
    """Runs the case."""
    world = si.World(folder, 5, 1)
    try:
        return await play(world, os.environ.get("TROUBLE") != "0")
    finally:
        await world.finish()


si.main(FOLDER, case)
