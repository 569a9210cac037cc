#!/usr/bin/env python3
"""Serves good workers, sends odd entries beside them and submits jobs; part of
tests/odd_entries.sh.

    odd_entries.py NET RESTARTED

Prints "before" once a first series of jobs is completed, then waits for the
file RESTARTED and completes a second one. The exit status is 1 if jobs are not
completed in time, a guarantee was violated, an entry was answered in an
unexpected way, or an address that a refused entry names was called.
"""

import asyncio
import json
import os
import random
import sys
import time

from world import Client, Ledger, Operator, Worker

JOB_COUNT = 20
LIMIT_S = 30
TRAP_PORT = 18090
HUGE = 2 ** 70


def nested(depth):
    """Returns brackets nested this deep."""
    return "[" * depth + "]" * depth


class OddWorker(Worker):
    """A worker with odd rows in its answers."""

    async def answer_poll(self, args):
        status, answer = await super().answer_poll(args)
        if status == 200:
            odd = "5c0e7a21d94b36f8.0.0.0"
            answer["running"] += [
                [odd, HUGE, "", 1], [odd, 2 ** 32 + 1, "", HUGE], ["x"], 7,
                [odd, -1, "\0", 1], json.loads(nested(200))]
            answer["finished"] = answer["finished"] + [
                [HUGE, odd, 1, "done", ""], [2 ** 33, odd, 1, "done", ""],
                [-1, odd, 1, "done", ""], ["x", odd], 7, None]
        return status, answer


def refused_entries(net):
    """Returns bodies of heartbeats that name no worker, by their id. Those with
    an address name the trap."""
    trap = f"127.{net}.0.99:{TRAP_PORT}"
    good = {"service": "svc", "address": trap, "zone": "z", "version": "v1",
            "slots": 8, "state": "ready", "coldLeftMs": 0, "born": 7,
            "capacity": {"cpu": 16000, "memMb": 64000}, "labels": ["a", "r1"],
            "clockMs": 5, "seq": 1}
    entries = {
        "deep": json.dumps(good)[:-1] + ',"more":' + nested(100000) + "}",
        "cut": json.dumps(good)[:-9], "empty": "", "list": "[1]",
        "bytes": "\xff\xfe\x00",
        "text": json.dumps(dict(good, zone="Z")).replace("Z", "\xff"),
    }
    for name, value in {
            "service": 7, "address": None, "zone": [], "state": "gone",
            "slots": HUGE, "born": 2 ** 52, "seq": -1, "clockMs": "x",
            "coldLeftMs": True, "capacity": {"cpu": 1e30, "memMb": 1},
            "labels": [["a"]], "version": {}}.items():
        entries[name] = json.dumps(dict(good, **{name: value}))
    for port in ("0", "65536", "99999", "-80", "1e3", "80x", str(HUGE), ""):
        address = f"127.{net}.0.99:{port}"
        entries[f"port-{port}"] = json.dumps(dict(good, address=address))
    return {"odd-" + k: v.encode("latin-1") for k, v in entries.items()}


def accepted_entries(net):
    """Returns heartbeats that are well-formed, but of workers that are none,
    by their id. One has the id of a good worker, a later start and a service
    that isn't configured."""
    entries = {"i-0001": json.dumps({
        "service": "another", "address": f"127.{net}.1.2:18080", "zone": "z",
        "slots": 8, "state": "ready", "born": int(time.time() * 1000) + 60000,
        "labels": [], "capacity": {"cpu": 16000, "memMb": 64000}, "seq": 1})}
    for i, address in enumerate((
            "127.0.0.1:1", f"127.{net}.1.1:18080", f"127.{net}.2.1:8166",
            f"127.{net}.2.1:7720", f"127.{net}.3.1:8161", "224.0.0.1:80",
            "255.255.255.255:80", "0.0.0.0:9", "240.0.0.1:9", "[::1]:9",
            "[ff02::1]:9", "[fe80::1]:9")):
        entries[f"odd-address-{i}"] = json.dumps({
            "service": "svc", "address": address, "zone": "z", "slots": 8,
            "state": "ready", "born": 7, "labels": [],
            "capacity": {"cpu": 100000000, "memMb": 100000000}, "seq": 1})
    return {k: v.encode() for k, v in entries.items()}


async def post(addr, path, body):
    """Sends raw bytes in a request; returns the status, or None without an
    answer."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection(*addr)
        writer.write(b"POST %b HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n"
                     b"\r\n%b" % (path.encode(), len(body), body))
        line = await asyncio.wait_for(reader.readline(), 2)
        return int(line.split()[1])
    except (OSError, IndexError, asyncio.TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Test:
    """The good workers, the other writer and the client."""

    def __init__(self, net):
        rng = random.Random(1)
        self.ledger = Ledger()
        self.net = net
        self.cores = [(f"127.{net}.2.{n}", 8166) for n in (1, 2, 3)]
        self.workers = [
            kind(net, n + 1, self.ledger, rng, self.cores)
            for n, kind in enumerate((Worker, Worker, OddWorker))]
        self.client = Client(self.ledger, rng, [(f"127.{net}.3.1", 8161)])
        self.operator = Operator(self.ledger, rng, self.cores)
        self.answers = {}  # status -> number of odd entries

    async def on_trap(self, reader, writer):
        """Reports a call to the address of a refused entry."""
        self.ledger.report("an entry that was refused is called")
        writer.close()

    async def send_entries(self):
        """Sends the odd entries to all replicas, again and again."""
        kinds = [(self.check_refused, refused_entries(self.net)),
                 (self.check_accepted, accepted_entries(self.net))]
        while not self.ledger.is_over:
            for check, entries in kinds:
                for name, body in entries.items():
                    for core in self.cores:
                        status = await post(
                            core, f"/-/Instances.Heartbeat/{name}", body)
                        self.answers[status] = self.answers.get(status, 0) + 1
                        check(name, status)
            await asyncio.sleep(0.5)

    def check_refused(self, name, status):
        """Checks the answer to an entry that names no worker."""
        if status not in (400, None):
            self.ledger.report(f"entry {name} is answered with {status}")

    def check_accepted(self, name, status):
        """Checks the answer to a well-formed entry."""
        if status not in (200, 503, None):
            self.ledger.report(f"entry {name} is answered with {status}")

    async def complete_jobs(self):
        """Submits jobs and waits for their end."""
        jobs = [f"{self.client.rng.getrandbits(64):016x}"
                for _ in range(JOB_COUNT)]
        step = {"count": 3, "cpu": 1000, "memMb": 10, "estimateMs": 800}
        for job in jobs:
            if not await self.client.submit(
                    job, {"spec": "odd", "steps": [step]}):
                self.ledger.report(f"job {job} is not accepted")
        for _ in range(LIMIT_S * 2):
            states = [await self.client.fetch_state(j) for j in jobs]
            if all(s == "completed" for s in states):
                return
            await asyncio.sleep(0.5)
        self.ledger.report(f"states of the jobs: {states}")

    async def run(self, restarted):
        """Runs both series of jobs; tells whether all went well."""
        await asyncio.start_server(
            self.on_trap, f"127.{self.net}.0.99", TRAP_PORT)
        for w in self.workers:
            await w.serve()
        await self.operator.configure()
        sender = asyncio.create_task(self.send_entries())
        await asyncio.sleep(2)
        await self.complete_jobs()
        print("before", flush=True)
        while not os.path.exists(restarted):
            await asyncio.sleep(0.1)
        await self.complete_jobs()
        self.ledger.is_over = True
        if not sender.done():
            sender.cancel()
        elif sender.exception() is not None:
            self.ledger.report(f"the other writer: {sender.exception()!r}")
        print("starts", self.ledger.start_count, "answers", self.answers)
        for finding in self.ledger.findings[:20]:
            print(finding)
        return not self.ledger.findings


if __name__ == "__main__":
    ok = asyncio.run(Test(int(sys.argv[1])).run(sys.argv[2]))
    sys.exit(0 if ok else 1)
