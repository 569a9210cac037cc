#!/usr/bin/env python3
"""Runs replicas and entry instances as processes on loopback and silences, a few
times, all connections that are open at that moment, without closing them, while
new ones work. Checks that a job that is cancelled CONTACT_S later is gone in
time, that a job that is submitted then runs, and that no run loses its lease.

    silenced.py BINARY SEED... [--net N] [--keep DIR]
"""

import argparse
import asyncio
import os
import shutil
import sys
import tempfile
import time

from soak import Soak
from world import Worker

# Limits of the platform: after CONTACT_S a disturbed instance counts as sound
# again; the runs of a cancelled job are gone CANCEL_S + STOP_S after the
# acknowledgement, and a task whose turn has come runs IDLE_S later.
CONTACT_S, CANCEL_S, STOP_S, IDLE_S = 3.0, 3.0, 0.9, 3.0
# By then a lease that wasn't renewed since the connections were silenced has
# lapsed.
LAPSE_S = 9.0
# The connections are silenced so often, this far apart. A replica that leads
# again still has connections to workers of its last term.
ROUNDS, ROUND_S = 4, 3.5
JOBS = 24


class SteadyWorker(Worker):
    """A worker whose tasks run until they are stopped."""

    def draw_end(self, task):
        return 3600.0, "done"


class Silenced:
    """One run: its cluster, and the jobs that are cancelled or submitted."""

    def __init__(self, binary, seed, root, net):
        self.soak = Soak(binary, seed, root, net, 3, 0, False)
        cores = [(p.ip, 18166) for p in self.soak.cores]
        self.soak.workers = [
            SteadyWorker(net, n + 1, self.soak.ledger, self.soak.rng, cores)
            for n in range(8)]
        self.findings = []
        self.figures = []

    def count_runs(self, job):
        """Returns how many tasks of a job run."""
        return sum(t.startswith(job) for w in self.soak.workers
                   for t in w.runs)

    async def submit(self, number):
        """Submits a job of two tasks that last; returns its id once it is
        accepted, or None."""
        job = f"{number:016x}"
        step = {"count": 2, "cpu": 500, "memMb": 10, "estimateMs": 800,
                "longRunning": True}
        body = {"spec": "soak", "steps": [step]}
        return job if await self.soak.client.submit(job, body) else None

    async def wait_for_runs(self, job, count, seconds):
        """Waits until so many tasks of a job run; returns the time that it
        took, or None."""
        start = time.monotonic()
        while time.monotonic() < start + seconds:
            if self.count_runs(job) == count:
                return time.monotonic() - start
            await asyncio.sleep(0.01)
        return None

    async def check_cancel(self, job):
        """Cancels a job and checks that its runs end in time."""
        await self.soak.client.cancel(job)
        took = await self.wait_for_runs(job, 0, 15)
        self.figures.append(took)
        if took is None or took > CANCEL_S + STOP_S:
            self.findings.append(f"UNASKED {job} runs on, gone after {took}")

    async def check_submit(self, number):
        """Submits a job and checks that its tasks run in time."""
        job = await self.submit(number)
        took = None if job is None else await self.wait_for_runs(job, 2, 15)
        self.figures.append(took)
        if took is None or took > IDLE_S:
            self.findings.append(f"LOST job {number} runs after {took}")

    async def run(self):
        """Starts everything, silences all connections and checks."""
        soak = self.soak
        await soak.start()
        try:
            jobs = await asyncio.gather(
                *(self.submit(n + 1) for n in range(JOBS)))
            for job in jobs:
                await self.wait_for_runs(job, 2, 10)
            # Orders in parallel leave several idle connections.
            await asyncio.gather(
                *(soak.client.cancel(j) for j in jobs[:JOBS // 2]))
            await asyncio.sleep(1)
            for n in range(ROUNDS):
                await asyncio.sleep(ROUND_S if n > 0 else 0)
                silenced_at = time.monotonic()
                for proxy in self.soak.proxies():
                    await proxy.inject_fault("mute", 0)
            await asyncio.sleep(CONTACT_S)
            await asyncio.gather(
                *(self.check_cancel(j) for j in jobs[JOBS // 2:]),
                *(self.check_submit(JOBS + n + 1) for n in range(4)))
            await asyncio.sleep(silenced_at + LAPSE_S - time.monotonic())
            lapsed = sum(e[3] == "lapsed" for w in soak.workers
                         for e in w.ends)
            if lapsed > 0:
                self.findings.append(f"LOST {lapsed} runs lapsed")
        finally:
            soak.close()


def run_seed(binary, seed, keep, net):
    """Runs one seed and prints its result; returns True without findings."""
    root = tempfile.mkdtemp(prefix="silenced-")
    run = Silenced(binary, seed, root, net)
    try:
        asyncio.run(run.run())
    finally:
        run.soak.kill_instances()
    findings = run.findings + run.soak.ledger.findings
    slowest = max((x for x in run.figures if x is not None), default=0)
    print(f"seed {seed}: checks {len(run.figures)} slowest {slowest:.2f} s "
          f"findings {len(findings)}", flush=True)
    for text in findings[:10]:
        print("  " + text)
    if findings and keep:
        shutil.copytree(root, os.path.join(keep, f"seed-{seed}"))
    shutil.rmtree(root)
    return not findings


def main():
    p = argparse.ArgumentParser()
    p.add_argument("binary")
    p.add_argument("seeds", nargs="+", type=int)
    p.add_argument("--net", type=int, default=2,
                   help="second number of the loopback addresses")
    p.add_argument("--keep", help="folder for the logs of failed seeds")
    a = p.parse_args()
    good = [run_seed(a.binary, s, a.keep, a.net) for s in a.seeds]
    sys.exit(0 if all(good) else 1)


if __name__ == "__main__":
    main()
