#!/usr/bin/env python3
"""Runs replicas with little memory and an entry instance as processes on
loopback, and submits jobs until they are refused. Checks that every process
stays within its memory and is never restarted by itself, that a refusal says
why and is true, that other queues, cancels, reads and the operator are served
at the limit, that all accepted jobs are known after restarts, a kill of all
replicas and a lost disk, and that jobs that end make room.

    memory.py BINARY SEED... [--net N] [--keep DIR] [--sanitizer]

The seed chooses the kinds of jobs and the order of the restarts.
"""

import argparse
import asyncio
import json
import os
import shutil
import sys
import tempfile
import time

from soak import BACKEND_PORT_OFFSET, CLIENT_PORT, CONTROL_PORT, Soak
from world import call

MEMORY_MB = 96
# Submissions at one time.
PARALLEL = 16
# Most time to fill a queue.
FILL_S = 60
# Versions of the configuration, above that of the start.
FIRST_VERSION = 1000
SPEC_BYTES = 4000


class Memory:
    """One run: its cluster, the jobs it has submitted, and its findings."""

    def __init__(self, binary, seed, root, net, has_bound=True):
        self.has_bound = has_bound
        self.soak = Soak(binary, seed, root, net, 1, 0, False)
        self.rng = self.soak.rng
        # Drawn first: the draws that follow depend on the timing.
        self.kinds = ["recurring", "due", "tasks", "specs"]
        self.rng.shuffle(self.kinds)
        for p in self.soak.cores:
            p.extra_settings = [f"memory = {MEMORY_MB}"]
        self.gate = (self.soak.gates[0].ip, CLIENT_PORT + BACKEND_PORT_OFFSET)
        self.findings = []
        self.accepted = {}  # queue by job
        self.refused = set()
        self.peak_mb = 0

    def control(self):
        """Returns the control address of a random replica."""
        p = self.rng.choice(self.soak.cores)
        return p.ip, CONTROL_PORT + BACKEND_PORT_OFFSET

    async def configure(self, version):
        """Sends a configuration with three queues until it is acknowledged."""
        routes = [{"name": q, "host": "soak", "pathPrefix": f"/{q}/",
                   "service": "svc", "timeoutMs": 3000 + version,
                   "targetLatencyMs": 500, "priority": 0, "maxAttempts": 6,
                   "stretch": 2.0} for q in ("q", "r", "s")]
        body = {"version": version, "routes": routes,
                "services": [{"name": "svc", "enforceCapacity": True}]}
        until = time.monotonic() + 20
        while time.monotonic() < until:
            status, _ = await call(self.control(), "POST",
                                   "/-/Config.Replace", body)
            if status == 200:
                return
            await asyncio.sleep(0.2)
        self.findings.append(f"configuration {version} isn't acknowledged")

    def make_body(self, kind):
        """Returns a job that can't run, as there are no workers."""
        step = {"count": 1, "cpu": 1000, "memMb": 10, "estimateMs": 800}
        if kind == "recurring":
            return {"spec": "x", "steps": [step], "repeatCount": 10000,
                    "intervalMs": 10000,
                    "startAtMs": int((time.time() + 86400) * 1000)}
        if kind == "due":
            return {"spec": "x", "steps": [dict(step, count=20)],
                    "repeatCount": 1000}
        if kind == "tasks":
            return {"spec": "x", "steps": [
                dict(step, count=250, checkpointing=True)] * 8}
        return {"spec": "x" * SPEC_BYTES, "steps": [step]}

    async def submit(self, queue, kind):
        """Submits a job once; returns the status and the reason of a
        refusal."""
        job = f"{self.rng.getrandbits(64):016x}"
        status, body = await call(
            self.gate, "POST", f"/{queue}/{job}", self.make_body(kind))
        if status == 200:
            self.accepted[job] = queue
        elif status in (429, 503):
            self.refused.add(job)
        reason = json.loads(body).get("reason") if body else None
        return status, reason

    async def fill(self, queue, kind):
        """Submits jobs of one kind until many in a row are refused as the state
        is full; returns how many were accepted."""
        before, full = len(self.accepted), 0
        until = time.monotonic() + FILL_S
        while full < 3 * PARALLEL and time.monotonic() < until:
            answers = await asyncio.gather(
                *[self.submit(queue, kind) for _ in range(PARALLEL)])
            for status, reason in answers:
                full = full + 1 if (status, reason) == (429, "full") else 0
            self.watch_memory()
        if full < 3 * PARALLEL:
            self.findings.append(f"queue {queue} isn't full of {kind} "
                                 f"in {FILL_S} s")
        return len(self.accepted) - before

    def watch_memory(self):
        """Notes the peak of each replica since it was started, and that none
        has ended by itself."""
        for p in self.soak.cores:
            if p.process.poll() is not None:
                self.findings.append(f"{p.name} has ended by itself")
                continue
            with open(f"/proc/{p.process.pid}/status") as f:
                line = next(x for x in f if x.startswith("VmHWM"))
            mb = int(line.split()[1]) / 1024
            self.peak_mb = max(self.peak_mb, mb)
            if mb > MEMORY_MB and self.has_bound:
                self.findings.append(f"{p.name} takes {mb:.0f} MB")

    async def fetch_state(self, job, queue):
        """Returns the status and the state of a job, asked until answered."""
        until = time.monotonic() + 15
        while time.monotonic() < until:
            status, body = await call(self.gate, "GET", f"/{queue}/{job}")
            if status == 200:
                return json.loads(body)["state"]
            if status == 410:
                return "unknown"
            await asyncio.sleep(0.2)
        return "no answer"

    async def check_known(self, when):
        """Checks that accepted jobs are known, and refused ones aren't."""
        await asyncio.sleep(2)
        jobs = self.rng.sample(sorted(self.accepted),
                               min(200, len(self.accepted)))
        for job in jobs:
            state = await self.fetch_state(job, self.accepted[job])
            if state != "queued":
                self.findings.append(f"{job} is {state} {when}")
                return
        for job in self.rng.sample(sorted(self.refused),
                                   min(50, len(self.refused))):
            state = await self.fetch_state(job, "q")
            if state != "unknown":
                self.findings.append(f"refused {job} is {state} {when}")
                return
        self.watch_memory()

    async def cancel(self, job):
        """Cancels a job, also again if there is no answer."""
        for _ in range(20):
            status, _ = await call(
                self.gate, "DELETE", f"/{self.accepted[job]}/{job}")
            if status in (200, 410):
                del self.accepted[job]
                return
            await asyncio.sleep(0.2)
        self.findings.append(f"{job} can't be cancelled")

    async def restart(self):
        """Kills replicas in turn, then all, and one whose disk is lost."""
        for p in self.rng.sample(self.soak.cores, len(self.soak.cores)):
            p.kill()
            p.start()
            await asyncio.sleep(1)
        await self.check_known("after each replica was killed")
        for p in self.soak.cores:
            p.kill()
        for p in self.soak.cores:
            p.start()
        await self.check_known("after all replicas were killed")
        p = self.rng.choice(self.soak.cores)
        p.kill()
        shutil.rmtree(p.data)
        p.start()
        await asyncio.sleep(4)
        await self.check_known("after a disk was lost")

    async def check(self):
        """Fills the state, restarts replicas, and empties it."""
        await self.configure(FIRST_VERSION)
        kinds = self.kinds
        counts = [await self.fill("q", kinds[0]),
                  await self.fill("r", kinds[1]),
                  await self.fill("s", kinds[2])]
        if 0 in counts:
            self.findings.append(f"a queue was shut out: {counts}")
        await self.check_known("at the limit")
        await self.configure(FIRST_VERSION + 1)
        await self.restart()
        await self.configure(FIRST_VERSION + 2)
        for job in sorted(self.accepted)[:len(self.accepted) * 2 // 3]:
            await self.cancel(job)
        status, reason = await self.submit("q", kinds[3])
        if status != 200:
            self.findings.append(f"no room after cancels: {status} {reason}")
        await self.check_known("after cancels")
        return kinds, counts

    async def run(self):
        """Starts everything, checks, and closes the servers."""
        try:
            await self.soak.start()
            return await self.check()
        finally:
            self.soak.close()


def run_seed(binary, seed, keep, net, has_bound):
    """Runs one seed and prints its result; returns True without findings."""
    root = tempfile.mkdtemp(prefix="memory-")
    run = Memory(binary, seed, root, net, has_bound)
    try:
        kinds, counts = asyncio.run(run.run())
    finally:
        run.soak.kill_instances()
    findings = run.findings + run.soak.ledger.findings
    print(f"seed {seed}: accepted {dict(zip(kinds, counts))} peak "
          f"{run.peak_mb:.0f} of {MEMORY_MB} MB findings {len(findings)}",
          flush=True)
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
    p.add_argument("--net", type=int, default=4,
                   help="second number of the loopback addresses")
    p.add_argument("--keep", help="folder for the logs of failed seeds")
    p.add_argument("--sanitizer", action="store_true",
                   help="the program's own memory can't be measured: the "
                   "sanitizer keeps freed blocks")
    a = p.parse_args()
    good = [run_seed(a.binary, s, a.keep, a.net, not a.sanitizer)
            for s in a.seeds]
    sys.exit(0 if all(good) else 1)


if __name__ == "__main__":
    main()
