"""Recurring jobs: the platform kills a replica that uses more than memoryMb."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins3 as st

MEMORY_MB = 256      # of a core machine of the site
RESTART_S = 0.5      # a killed process is restarted after a short delay
JOBS, PER_S = 120, 5
FINISH_S = 14.0


def resident_mb(process):
    """Returns the memory that a process uses, in MB; 0 if it has ended."""
    try:
        with open(f"/proc/{process.proc.pid}/status") as f:
            for line in f:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0


async def enforce_limit(world, process, kills):
    """Does what the platform does to a process over its limit."""
    while True:
        await asyncio.sleep(0.05)
        used = resident_mb(process)
        if used <= MEMORY_MB:
            continue
        process.kill()
        kills[process.name] += 1
        world.rec.note(f"platform kills {process.name}: {used:.0f} MB of "
                       f"{MEMORY_MB}")
        await asyncio.sleep(RESTART_S)
        process.start()


async def scenario(world, trouble):
    kills = {p.name: 0 for p in world.cluster.cores}
    await world.start(8)
    for p in world.cluster.cores:
        asyncio.create_task(enforce_limit(world, p, kills))
    accepted, refused = [], 0
    for n in range(JOBS if trouble else 10):
        if refused >= 4:
            break
        # Every 10 s from tomorrow on.
        job = await world.submit(
            [{"count": 1, "cpu": 1000, "memMb": 256, "estimateMs": 500}],
            tries=1, repeatCount=10000, intervalMs=10000,
            startAtMs=int((time.time() + 86400) * 1000))
        if job is not None:
            accepted.append(job)
        refused = 0 if job is not None else refused + 1
        await asyncio.sleep(1 / PER_S)
        if n % 10 == 9:
            world.rec.note("resident MB: " + " ".join(
                f"{resident_mb(p):.0f}" for p in world.cluster.cores))
    world.rec.note(f"end of the traffic, {len(accepted)} jobs accepted")
    await asyncio.sleep(FINISH_S)
    unknown = set(accepted)
    until = time.monotonic() + 15
    while unknown and time.monotonic() < until:
        for job in sorted(unknown):
            state = await world.state(job)
            if state in ("queued", "running"):
                unknown.discard(job)
            elif time.monotonic() > until:
                break
    world.rec.note(f"replicas killed: {kills}")
    if unknown:
        world.rec.breaks("LOST", f"{len(unknown)} of {len(accepted)} accepted "
                         "jobs get no answer")
    often = [name for name, n in kills.items() if n >= 3]
    if 2 * len(often) >= len(kills):
        world.rec.breaks("Fault", f"{often} were over their memory three "
                         "times or more")


sys.exit(st.main(HERE, scenario))
