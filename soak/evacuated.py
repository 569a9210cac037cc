#!/usr/bin/env python3
"""Runs replicas and an entry instance as processes on loopback and evacuates a
failure domain with the command line. Checks that nothing starts there: after
the order, after the leader was killed, and after all replicas were; and that
work starts there again once the order is withdrawn.

    evacuated.py BINARY SEED... [--net N] [--keep DIR]
"""

import argparse
import asyncio
import json
import os
import re
import shutil
import signal
import sys
import tempfile
import time

from soak import BACKEND_PORT_OFFSET, Soak
from world import Worker, call

CONTROL_PORT = 18166
# Exit codes of the command line.
DONE, REFUSED, UNREACHABLE = 0, 1, 3


class Evacuated:
    """One run: its cluster, and what it has found."""

    def __init__(self, binary, seed, root, net):
        self.soak = Soak(binary, seed, root, net, 1, 0, False)
        self.binary, self.root, self.net = binary, root, net
        cores = [(p.ip, CONTROL_PORT) for p in self.soak.cores]
        self.workers = self.soak.workers = [
            Worker(net, n + 1, self.soak.ledger, self.soak.rng, cores)
            for n in range(4)]
        for n, w in enumerate(self.workers):
            w.zone = ("za", "zb")[n % 2]
        self.starts = 0  # in za, up to the last look
        self.findings = []

    async def command(self, *args):
        """Runs a command against all replicas, without their proxies; returns
        its exit code and what it prints."""
        port = CONTROL_PORT + BACKEND_PORT_OFFSET
        options = [x for p in self.soak.cores
                   for x in ("-i", f"{p.ip}:{port}")]
        process = await asyncio.create_subprocess_exec(
            self.binary, *args, *options, stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL)
        out, _ = await process.communicate()
        return process.returncode, out.decode()

    async def expect(self, code, *args):
        """Runs a command until it ends with this code, for at most 10 s."""
        until = time.monotonic() + 10
        while (await self.command(*args))[0] != code:
            if time.monotonic() > until:
                self.findings.append(f"{args} didn't end with {code}")
                return
            await asyncio.sleep(0.2)

    def find_leader(self):
        """Returns the replica that has begun to lead last."""
        def last_token(p):
            with open(os.path.join(self.root, p.name + ".log")) as f:
                found = re.findall(r"event=lead token=(\d+)", f.read())
            return int(found[-1]) if found else 0
        return max(self.soak.cores, key=last_token)

    async def count_starts(self, jobs):
        """Submits jobs and waits until they have ended; returns how many tasks
        ran in za, and reports jobs that don't end."""
        before = {w.id: w.last_end_number for w in self.workers}
        ids = []
        for _ in range(jobs):
            job = f"{self.soak.rng.getrandbits(64):016x}"
            step = {"count": 4, "cpu": 1000, "memMb": 10, "estimateMs": 800}
            if await self.soak.client.submit(job, {"spec": "x",
                                                   "steps": [step]}):
                ids.append(job)
        until = time.monotonic() + 20
        left = set(ids)
        while left and time.monotonic() < until:
            for job in list(left):
                if await self.soak.client.fetch_state(job) in (
                        "completed", "failed"):
                    left.discard(job)
            await asyncio.sleep(0.1)
        if left or len(ids) < jobs:
            self.findings.append(f"{len(left)} jobs left of {len(ids)}")
        return sum(w.last_end_number - before[w.id] for w in self.workers
                   if w.zone == "za")

    async def expect_none(self, when):
        """Checks that no task runs in za."""
        n = await self.count_starts(3)
        if n > 0:
            self.findings.append(f"{n} tasks ran in za {when}")

    async def check_cold(self):
        """Checks that a heartbeat of a cold worker reaches the leader, whichever
        replica it is sent to."""
        leader = self.find_leader()
        followers = [p for p in self.soak.cores if p is not leader]
        w = self.workers[0]
        body = {"service": "svc", "address": "%s:%d" % w.addr, "zone": w.zone,
                "state": "ready", "born": w.started_unix_ms,
                "capacity": {"cpu": 16000, "memMb": 64000},
                "labels": ["a", "r1", w.id], "coldLeftMs": 4000}
        for p in followers:
            status, _ = await call((p.ip, CONTROL_PORT), "POST",
                                   f"/-/Instances.Heartbeat/{w.id}", body)
            if status != 200:
                self.findings.append(f"a heartbeat was answered {status}")
            break
        await asyncio.sleep(1.5)
        with open(os.path.join(self.root, leader.name + ".log")) as f:
            if " cold=1" not in f.read():
                self.findings.append("the leader knows of no cold worker")

    async def check_delayed(self, closes):
        """Checks that an order that waited in the socket buffers of a paused
        replica doesn't begin an evacuation that was withdrawn meanwhile; closes:
        its client has closed the connection by then."""
        leader = self.find_leader()
        paused = next(p for p in self.soak.cores if p is not leader)
        paused.send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.2)
        late = asyncio.create_task(call(
            (paused.ip, CONTROL_PORT + BACKEND_PORT_OFFSET), "POST",
            "/-/Evacuate.Start/za", timeout=1.0 if closes else 9.0))
        await asyncio.sleep(1)
        for order in ("Evacuate.Start", "Evacuate.Finish"):
            status, _ = await call((leader.ip, CONTROL_PORT), "POST",
                                   f"/-/{order}/za", timeout=1.0)
            if status != 200:
                self.findings.append(f"{order} was answered {status}")
        await asyncio.sleep(0.8)
        paused.send_signal(signal.SIGCONT)
        status, _ = await late
        if status not in ((None,) if closes else (503,)):
            self.findings.append(f"a late order was answered {status}")
        await asyncio.sleep(1.5)
        code, out = await self.command("evacuations", "--json")
        if code != DONE or json.loads(out)["evacuations"]:
            self.findings.append(f"after a late order: {code} {out}")
            await self.expect(DONE, "evacuate", "za", "--end")

    async def check_why(self):
        """Checks that why tells of a job that fits nowhere, in a bounded
        answer, and refuses one that isn't known or has no proper id."""
        job = f"{self.soak.rng.getrandbits(64):016x}"
        step = {"count": 1, "cpu": 900000, "memMb": 10, "estimateMs": 800}
        await self.soak.client.submit(job, {"spec": "x", "steps": [step]})
        code, out = await self.command("why", job, "--json")
        expected = ["step 0.0: 1 of 1 tasks wait", "no worker is kept for it"]
        if code != DONE or json.loads(out)["text"] != expected:
            self.findings.append(f"why ended with {code}: {out}")
        await self.expect(REFUSED, "why", "0" * 15 + "1")
        job = f"{self.soak.rng.getrandbits(64):016x}"
        await self.soak.client.submit(job, {"spec": "x", "steps": [step], "repeatCount": 2000})
        code, out = await self.command("why", job, "--json")
        text = json.loads(out)["text"] if code == DONE else []
        if text[64:] != ["1936 more steps wait", "no worker is kept for it"]:
            self.findings.append(f"why of many steps ended with {code}: {out[-200:]}")

    async def check(self):
        """Evacuates, kills replicas, and takes the domain back."""
        if await self.count_starts(6) == 0:
            self.findings.append("nothing ran in za before")
        await self.check_why()
        await self.check_cold()
        await self.check_delayed(False)
        await self.check_delayed(True)
        await self.expect(DONE, "evacuate", "za")
        await self.expect(DONE, "evacuate", "za")
        await self.expect_none("after the order")
        leader = self.find_leader()
        leader.kill()
        await asyncio.sleep(3)
        await self.expect_none("with the next leader")
        leader.start()
        await asyncio.sleep(1)
        for p in self.soak.cores:
            p.kill()
        await self.expect(UNREACHABLE, "evacuations")
        for p in self.soak.cores:
            p.start()
        await asyncio.sleep(3)
        await self.expect_none("after all replicas were killed")
        code, out = await self.command("evacuations", "--json")
        domains = [x["domain"] for x in json.loads(out)["evacuations"]
                   ] if code == DONE else code
        if domains != ["za"]:
            self.findings.append(f"evacuations shows {domains}")
        await self.expect(DONE, "evacuate", "za", "--end")
        await self.expect(DONE, "evacuate", "za", "--end")
        if await self.count_starts(6) == 0:
            self.findings.append("nothing ran in za afterwards")

    async def run(self):
        """Starts everything, checks, and closes the servers."""
        soak = self.soak
        await soak.start()
        try:
            await self.check()
        finally:
            soak.close()


def run_seed(binary, seed, keep, net):
    """Runs one seed and prints its result; returns True without findings."""
    root = tempfile.mkdtemp(prefix="evacuated-")
    run = Evacuated(binary, seed, root, net)
    try:
        asyncio.run(run.run())
    finally:
        run.soak.kill_instances()
    findings = run.findings + run.soak.ledger.findings
    print(f"seed {seed}: starts {run.soak.ledger.start_count} "
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
