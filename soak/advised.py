#!/usr/bin/env python3
"""Runs replicas, an entry instance and workers on loopback beside a stand-in of
the service that knows which workers may run a step. Jobs of a queue with advice
and of one without are submitted while the stand-in loses answers, answers late
or refuses calls, while it is silent, and while the leader is killed and a
worker restarts. Checks that no start without a valid ticket is sent, that the
other queue goes on, that pauses and the limits of a call are kept, and that no
job is lost or run twice.

    advised.py BINARY SEED... [--net N] [--keep DIR]
"""

import argparse
import asyncio
import json
import os
import re
import shutil
import sys
import tempfile
import time
import zlib

from soak import CONTROL_PORT, Soak
from world import Worker, call, read_message

WORKERS, LOAD_S, SILENT_S = 9, 16, 4
DECIDE_MS, EACH_MS, VALID_MS = 90, 10, 4000
# Shares of calls that get no answer, one 1 s late, and a refusal.
LOST_SHARE, LATE_SHARE, LIMITED_SHARE = 0.08, 0.08, 0.08
# Time in which a job without advice ends also while the service is silent: two
# steps of 1.5 s, and a task that fails once.
PLAIN_S = 8


class Advisor:
    """The stand-in of the service; it handles the calls of one connection in
    turn, as each replica has one."""

    def __init__(self, net, soak):
        self.addr = (f"127.{net}.5.1", 19091)
        self.soak, self.server = soak, None
        self.jobs = set()  # with advice
        self.tickets = {}  # ticket -> worker, incarnation, step, end
        self.is_silent = False
        self.findings = []
        self.calls = self.faults = self.starts = self.bad = 0
        self.silent_calls = 0

    async def serve(self):
        self.server = await asyncio.start_server(self.handle, *self.addr)

    def allows(self, step, worker):
        """Tells whether a worker may run a step; this doesn't change."""
        return zlib.crc32(f"{step} {worker}".encode()) % 5 < 3

    def issue(self, step, ids):
        """Returns the rows of an answer."""
        rows = []
        for w in self.soak.workers:
            if w.id in ids and self.allows(step, w.id):
                ticket = f"{w.id}/{len(self.tickets)}"
                self.tickets[ticket] = (w.id, w.incarnation, step,
                                        time.monotonic() + VALID_MS / 1000)
                rows.append([w.id, ticket])
        return rows

    async def answer(self, args):
        """Handles a call; returns its status and answer, or None for both."""
        chance = self.soak.rng.random()
        self.calls += 1
        step, ids = args["step"], args["workers"]
        if not 1 <= len(ids) <= 100 or len(set(ids)) < len(ids):
            self.findings.append(f"CALL names {ids}")
        if step.split(".")[0] not in self.jobs:
            self.findings.append(f"CALL for {step}, which needs no advice")
        if self.is_silent:
            self.silent_calls += 1
            return None, None
        if chance < LOST_SHARE + LATE_SHARE + LIMITED_SHARE:
            self.faults += 1
        if chance < LIMITED_SHARE:
            return 429, {}
        rows = self.issue(step, ids)
        await asyncio.sleep((DECIDE_MS + EACH_MS * len(ids)) / 1000)
        if chance < LIMITED_SHARE + LOST_SHARE:
            return None, None
        if chance < LIMITED_SHARE + LOST_SHARE + LATE_SHARE:
            await asyncio.sleep(1)
        return 200, {"good": rows}

    async def handle(self, reader, writer):
        """Answers the calls of one connection."""
        try:
            while True:
                first, _, body = await read_message(reader)
                if first.split()[:2] != ["POST", "/-/advise"]:
                    self.findings.append(f"CALL {first}")
                status, answer = await self.answer(json.loads(body))
                if status is None:
                    await asyncio.sleep(30)
                    return
                data = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%b"
                             % (status, len(data), data))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def check(self, worker, args):
        """Tells whether a start carries a valid ticket, if it needs one."""
        step = args["task"].rsplit(".", 1)[0]
        if step.split(".")[0] not in self.jobs:
            if "ticket" in args:
                self.findings.append(f"TICKET for {step}")
            return True
        self.starts += 1
        t = self.tickets.get(args.get("ticket"))
        if t is not None and t[0] == worker.id and t[2] == step and \
                t[1] == worker.incarnation and time.monotonic() < t[3]:
            return True
        self.bad += 1
        # The leader can't know of a restart before the worker tells it.
        if t is None or t[1] == worker.incarnation:
            self.findings.append(f"START of {step} on {worker.id} with {t}")
        return False


class AdvisedWorker(Worker):
    """A worker that refuses starts without a valid ticket."""

    advisor = None

    def execute_order(self, path, args, arrived_at):
        if path == "/-/run-start" and not self.advisor.check(self, args):
            return 409, {"reason": "ticket"}
        return super().execute_order(path, args, arrived_at)


class Advised:
    """One run: its cluster, the stand-in, and what was found."""

    def __init__(self, binary, seed, root, net):
        self.soak = soak = Soak(binary, seed, root, net, 1, 0, False)
        self.root = root
        self.advisor = Advisor(net, soak)
        cores = [(p.ip, CONTROL_PORT) for p in soak.cores]
        soak.workers = [AdvisedWorker(net, n + 1, soak.ledger, soak.rng, cores)
                        for n in range(WORKERS)]
        for n, w in enumerate(soak.workers):
            w.advisor, w.zone = self.advisor, f"z{n % 3}"
        for p in soak.cores:
            p.extra_settings = ["advice = %s:%d" % self.advisor.addr]
        self.make_config = soak.operator.config
        soak.operator.config = self.config
        self.findings = []

    def config(self, version):
        """Returns a configuration of two queues, the second one without
        advice."""
        c = self.make_config(version)
        plain = dict(c["routes"][0], name="p", pathPrefix="/p/")
        c["routes"][0]["advice"] = {"decideMs": DECIDE_MS, "eachMs": EACH_MS,
                                    "validMs": VALID_MS}
        c["routes"].append(plain)
        return c

    async def submit(self, prefix):
        """Submits a job of one or two steps; returns its id and the time, or
        None."""
        rng = self.soak.rng
        job = f"{rng.getrandbits(64):016x}"
        steps = [{"count": rng.randint(1, 4), "cpu": 1000, "memMb": 10,
                  "estimateMs": 800}]
        if rng.random() < 0.4:
            steps.append(dict(steps[0], after=[0]))
        if prefix == "q":
            self.advisor.jobs.add(job)
        for _ in range(10):
            status, _ = await call(
                rng.choice(self.soak.client.gates), "POST", f"/{prefix}/{job}",
                {"spec": "x", "steps": steps}, self.soak.client.headers)
            if status == 200:
                return job, time.monotonic()
            await asyncio.sleep(0.3)
        self.findings.append(f"SUBMIT /{prefix}/{job} not accepted")
        return None

    async def wait_for(self, prefix, job, seconds):
        """Waits for the end of a job; reports one that doesn't end."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            status, body = await call(
                self.soak.client.gates[0], "GET", f"/{prefix}/{job}", None,
                self.soak.client.headers)
            if status == 200 and \
                    json.loads(body)["state"] in ("completed", "failed"):
                return True
            await asyncio.sleep(0.1)
        self.findings.append(f"JOB /{prefix}/{job} has not ended after "
                             f"{seconds} s")
        return False

    def find_leader(self):
        """Returns the replica that has begun to lead last."""
        def last_token(p):
            with open(os.path.join(self.root, p.name + ".log")) as f:
                found = re.findall(r"event=lead token=(\d+)", f.read())
            return int(found[-1]) if found else 0
        return max(self.soak.cores, key=last_token)

    def count_relayed(self):
        """Returns how many calls other replicas were to make."""
        n = 0
        for p in self.soak.cores:
            with open(os.path.join(self.root, p.name + ".log")) as f:
                n += len(re.findall(r"event=advice_call .*caller=[1-9]",
                                    f.read()))
        return n

    async def disturb(self):
        """Kills the leader, restarts a worker, and silences the service."""
        await asyncio.sleep(3)
        await self.soak.kill_and_restart(self.find_leader(), 1, False)
        await asyncio.sleep(2)
        self.soak.workers[0].crash()
        await asyncio.sleep(2)
        self.advisor.is_silent = True
        plain = await self.submit("p")
        if plain is not None:
            await self.wait_for("p", plain[0], PLAIN_S)
        await asyncio.sleep(max(0.0, SILENT_S - 1))
        self.advisor.is_silent = False

    async def check(self):
        """Runs the load and the faults, and waits for all jobs."""
        jobs, end = [], time.monotonic() + LOAD_S
        disturbing = asyncio.create_task(self.disturb())
        while time.monotonic() < end:
            for prefix in "qp":
                found = await self.submit(prefix)
                if found is not None:
                    jobs.append((prefix, found[0]))
            await asyncio.sleep(0.3)
        await disturbing
        left = await asyncio.gather(
            *(self.wait_for(prefix, job, 30) for prefix, job in jobs))
        if len(self.advisor.jobs) < 10 or self.advisor.starts < 20:
            self.findings.append("LOAD too small to show anything")
        # Each of the 5 replicas pauses 0.2 to 2 s after each call.
        if self.advisor.silent_calls > 5 * 4 * (SILENT_S + PLAIN_S) / 2:
            self.findings.append(
                f"CALLS {self.advisor.silent_calls} to a silent service")
        relayed = self.count_relayed()
        if relayed == 0:
            self.findings.append("CALLS by the leader only")
        return (f"{sum(left)} of {len(jobs)} jobs ended, "
                f"{self.advisor.calls} calls, {self.advisor.faults} with "
                f"faults, {self.advisor.silent_calls} while silent, "
                f"{relayed} by other replicas, "
                f"{self.advisor.starts} starts with advice, "
                f"{self.advisor.bad} refused")

    async def run(self):
        """Starts everything, checks, and closes the servers."""
        soak = self.soak
        for p in soak.cores + soak.gates:
            for proxy in p.proxies:
                await proxy.serve()
            p.start()
        for w in soak.workers:
            await w.serve()
        await self.advisor.serve()
        while soak.operator.acknowledged_version == 0:
            await soak.operator.change_config()
        await asyncio.sleep(2)
        try:
            figures = await self.check()
        finally:
            soak.ledger.is_over = True
            proxies = [x for p in soak.cores + soak.gates for x in p.proxies]
            proxies += [w.proxy for w in soak.workers]
            for served in soak.workers + proxies + [self.advisor]:
                served.server.close()
        self.findings += self.advisor.findings
        return figures


def run_seed(binary, seed, keep, net):
    """Runs one seed and prints its result; returns True without findings."""
    root = tempfile.mkdtemp(prefix="advised-")
    run = Advised(binary, seed, root, net)
    figures = "no result"
    try:
        figures = asyncio.run(run.run())
    finally:
        run.soak.kill_instances()
    findings = run.findings + run.soak.ledger.findings
    print(f"seed {seed}: {figures}, findings {len(findings)}", flush=True)
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
