#!/usr/bin/env python3
"""Runs replicas as processes on loopback beside a stand-in of the service that
owns the machines, starts a maintenance wave under load and kills the leader
between its orders. Checks that the wave completes, that each machine was
maintained once, that never more than maxCount were down, that fencing tokens
rise, that two holders keep apart, and that no job is lost or run twice.

With --moves: starts tasks that wait for capacity beside a spare pool, leaves
the first order of a move without an answer, carries it out late and kills the
leader meanwhile. Checks that just the machines that are needed move, that none
of them has work, and that they go back once they have been empty.

    waves.py BINARY SEED... [--moves] [--net N] [--keep DIR]
"""

import argparse
import asyncio
import json
import os
import shutil
import sys
import tempfile
import time

from soak import CONTROL_PORT, Soak
from world import Worker, call, read_message

MACHINES, MAX_COUNT, TERM_S = 10, 2, 60
MAINTENANCE_S, HOLDER_WAIT_S, PAGE = 2.0, 3.0, 4
# Machines of the service and of the spare pool in a run with moves, how many
# of the latter the tasks need, and how long these run.
OWN, SPARE, NEEDED, TASK_S = 2, 4, 2, 25.0
MOVE_S, LATE_S = 1.5, 3.0
# Share of orders that get no answer; half of them are carried out, 2 to 4 s
# later.
LOST_SHARE = 0.15


class Machines:
    """The stand-in of the service that owns the machines: their list in pages,
    and the orders of maintenance, which end a worker and add another one."""

    def __init__(self, net, soak, make_worker):
        self.addr = (f"127.{net}.4.1", 19090)
        self.soak, self.make_worker = soak, make_worker
        self.machines = {}  # name -> worker, state, whether maintained
        for n, w in enumerate(soak.workers):
            self.machines[f"m-{n + 1}"] = {
                "worker": w, "state": "up", "was_maintained": False,
                "fence": 0, "pool": "svc"}
        self.moves = []  # carried out: machine, pool, time
        self.move_orders = 0
        self.holders, self.findings = [], []
        self.most_down = self.reads = self.orders = self.lost = 0
        self.server = None

    async def serve(self):
        self.server = await asyncio.start_server(self.handle, *self.addr)

    async def handle(self, reader, writer):
        """Answers the requests of one connection."""
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target = first.split()[:2]
                if method == "GET":
                    status, answer = 200, self.list_page(target)
                else:
                    status, answer = self.take_order(
                        headers, target, json.loads(body))
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

    def list_page(self, target):
        """Returns a page of the list."""
        self.reads += 1
        start = int(target.split("pageToken=")[1]) if "?" in target else 0
        names = list(self.machines)
        page = [{"machine": n, "pool": self.machines[n]["pool"],
                 "zone": "z", "labels": ["a"],
                 "state": self.machines[n]["state"],
                 "id": (self.machines[n]["worker"].id
                        if self.machines[n]["state"] == "up"
                        and self.machines[n]["worker"] else None),
                 "capacity": {"cpu": 16000, "memMb": 64000}}
                for n in names[start:start + PAGE]]
        more = start + PAGE < len(names)
        return {"machines": page, "nextToken": str(start + PAGE) if more
                else None}

    def add_spare(self, count):
        """Adds machines of the spare pool, which are off."""
        for _ in range(count):
            self.machines[f"m-{len(self.machines) + 1}"] = {
                "worker": None, "state": "up", "was_maintained": False,
                "fence": 0, "pool": "spare"}

    def take_move(self, name, pool):
        """Takes an order of a move; returns its answer, or None without one:
        the first is carried out late."""
        machine = self.machines[name]
        if pool not in ("svc", "spare"):
            return 400, {}
        if machine["pool"] == pool:
            return 200, {}
        if machine["state"] != "up":
            return 409, {"reason": "busy"}
        self.move_orders += 1
        if self.move_orders == 1:
            self.lost += 1
            asyncio.get_running_loop().call_later(
                LATE_S, self.move, name, pool)
            return None, {}
        self.move(name, pool)
        return 200, {}

    def move(self, name, pool):
        """Moves a machine, unless it has been moved."""
        machine, now = self.machines[name], time.monotonic()
        if machine["pool"] == pool or machine["state"] != "up":
            return
        worker = machine["worker"]
        if worker and worker.runs:
            self.findings.append(f"MOVE of {name}, which has work")
        if any(m == name and now - at < 30 for m, _, at in self.moves):
            self.findings.append(f"MOVE of {name} twice within 30 s")
        self.moves.append((name, pool, now))
        machine["pool"], machine["state"] = pool, "moving"
        if worker:
            worker.is_cut_off = True
            worker.crash()
        machine["worker"] = None
        asyncio.create_task(self.finish_move(machine, pool))

    async def finish_move(self, machine, pool):
        """Brings a machine up in its new pool; in the spare one it is off."""
        await asyncio.sleep(MOVE_S)
        if pool != "spare":
            machine["worker"] = self.make_worker()
            await machine["worker"].serve()
        machine["state"] = "up"

    def take_order(self, headers, target, order):
        """Takes an order of maintenance or of a move; returns its answer, or
        None without one."""
        self.orders += 1
        now, fence = time.monotonic(), int(headers["x-fencing-token"])
        holder = headers["x-lease-holder"]
        machine = self.machines[order["machine"]]
        if self.holders and self.holders[-1][1] != holder and \
                now - self.holders[-1][0] < HOLDER_WAIT_S:
            self.findings.append(
                f"HOLDER {holder} {now - self.holders[-1][0]:.3f} s after "
                f"{self.holders[-1][1]}")
        self.holders.append((now, holder))
        if fence <= machine["fence"]:
            return 409, {"reason": "fence"}
        machine["fence"] = fence
        if target == "/-/machine-move":
            return self.take_move(order["machine"], order["pool"])
        if machine["was_maintained"]:
            return 200, {}
        if machine["state"] != "up":
            return 409, {"reason": "busy"}
        chance = self.soak.rng.random()
        if chance < LOST_SHARE:
            self.lost += 1
            if chance < LOST_SHARE / 2:
                asyncio.get_running_loop().call_later(
                    self.soak.rng.uniform(2, 4), self.begin, machine)
            return None, {}
        self.begin(machine)
        return 200, {}

    def begin(self, machine):
        """Begins the maintenance of a machine, unless it has been done."""
        if machine["was_maintained"]:
            return
        machine["was_maintained"], machine["state"] = True, "upkeep"
        down = sum(m["state"] == "upkeep" for m in self.machines.values())
        self.most_down = max(self.most_down, down)
        if down > MAX_COUNT:
            self.findings.append(f"DOWN {down} machines at once")
        machine["worker"].is_cut_off = True
        machine["worker"].crash()
        asyncio.create_task(self.finish(machine))

    async def finish(self, machine):
        """Brings a machine back with another worker."""
        await asyncio.sleep(MAINTENANCE_S)
        machine["worker"] = self.make_worker()
        await machine["worker"].serve()
        machine["state"] = "up"


class Waves:
    """One run: its cluster, its machines and one wave."""

    def __init__(self, binary, seed, root, net, machines=MACHINES):
        self.soak = Soak(binary, seed, root, net, 2, machines, False)
        self.net, self.workers = net, machines
        self.cloud = Machines(net, self.soak, self.make_worker)
        self.findings = []
        for p in self.soak.cores:
            p.extra_settings = ["cloud = %s:%d" % self.cloud.addr,
                                "cloud_orders = 60", "cloud_reads = 60",
                                "lease_holder_wait = 3s"]

    def make_worker(self):
        """Returns a worker under an id of its own."""
        self.workers += 1
        soak = self.soak
        w = Worker(self.net, self.workers, soak.ledger, soak.rng,
                   [(p.ip, CONTROL_PORT) for p in soak.cores])
        soak.workers.append(w)
        return w

    async def ask(self, method, path, body=None):
        """Asks the replicas in turn until one answers with 200; returns its
        answer, or None."""
        for p in self.soak.cores:
            status, data = await call((p.ip, CONTROL_PORT), method, path, body,
                                      timeout=1.0)
            if status == 200:
                return json.loads(data)
        return None

    async def kill_leader(self, orders=3):
        """Kills the replica that has sent the third order, and restarts it."""
        while len(self.cloud.holders) < orders:
            await asyncio.sleep(0.01)
        name = self.cloud.holders[-1][1]
        for p in self.soak.cores:
            if p.name == name:
                await self.soak.kill_and_restart(p, 2, False)

    async def run_wave(self):
        """Starts the wave and waits for its end; returns the time it took."""
        body = {"wave": 1, "machines": list(self.cloud.machines),
                "termS": TERM_S, "maxCount": MAX_COUNT}
        while await self.ask("POST", "/-/wave-start", body) is None:
            await asyncio.sleep(0.1)
        start = time.monotonic()
        kill = asyncio.create_task(self.kill_leader())
        while time.monotonic() < start + TERM_S:
            answer = await self.ask("GET", "/-/wave-get/1")
            if answer is not None and answer["state"] == "completed":
                break
            await asyncio.sleep(0.1)
        else:
            self.findings.append("WAVE not completed within its term")
            kill.cancel()
            return TERM_S
        took = time.monotonic() - start
        left = [n for n, m in self.cloud.machines.items()
                if not m["was_maintained"]]
        if left:
            self.findings.append(f"WAVE completed without {left}")
        await kill
        return took

    async def start(self):
        """Starts everything."""
        await self.cloud.serve()
        await self.soak.start()
        if self.cloud.reads > 0:
            self.findings.append("READS although no wave or move is open")

    async def check_end(self):
        """Checks the state of the jobs and that the list isn't read any
        more."""
        soak = self.soak
        reads = self.cloud.reads
        await asyncio.sleep(2)
        if self.cloud.reads > reads:
            self.findings.append("READS after the last wave or move")
        gone = [w for w in soak.workers if w.is_cut_off]
        soak.workers = [w for w in soak.workers if not w.is_cut_off]
        await soak.check_final_state()
        soak.workers += gone

    def close(self):
        """Closes all servers."""
        self.soak.close()
        self.cloud.server.close()

    def check_holders(self):
        """Returns the holders in turn; the leader must have changed."""
        holders = []
        for _, holder in self.cloud.holders:
            if holder not in holders[-1:]:
                holders.append(holder)
        if len(holders) < 2:
            self.findings.append("LEADER wasn't changed between two orders")
        self.findings += self.cloud.findings
        return " ".join(holders)

    async def run(self):
        """Runs the wave under load and checks."""
        soak, loop = self.soak, asyncio.get_running_loop()
        await self.start()
        try:
            load = asyncio.create_task(
                soak.generate_load(loop.time() + 25))
            took = await self.run_wave()
            await load
            await asyncio.sleep(MAINTENANCE_S + 1)
            await self.check_end()
        finally:
            self.close()
        holders = self.check_holders()
        return (f"wave {took:.1f} s, {self.cloud.orders} orders, "
                f"{self.cloud.lost} without an answer, at most "
                f"{self.cloud.most_down} down, holders {holders}")


class Moves(Waves):
    """One run with a spare pool, whose machines some tasks need."""

    def __init__(self, binary, seed, root, net):
        super().__init__(binary, seed, root, net, OWN)
        self.cloud.add_spare(SPARE)
        self.soak.operator.services.append({"name": "spare", "spare": True})

    async def run(self):
        """Runs tasks that need the spare machines and checks."""
        soak = self.soak
        await self.start()
        try:
            kill = asyncio.create_task(self.kill_leader(1))
            job = f"{soak.rng.getrandbits(64):016x}"
            soak.ledger.durations[job] = TASK_S
            start = time.monotonic()
            await soak.client.submit(job, {"spec": "soak", "steps": [{
                "count": OWN + NEEDED, "cpu": 16000, "memMb": 10,
                "estimateMs": int(1000 * TASK_S)}]})
            while await soak.client.fetch_state(job) != "completed":
                if time.monotonic() > start + 60:
                    self.findings.append("MOVES that don't help")
                    break
                await asyncio.sleep(0.1)
            took, helped = time.monotonic() - start, len(self.cloud.moves)
            if helped != NEEDED:
                self.findings.append(f"MOVES {helped}, not {NEEDED}")
            await kill
            while len(self.cloud.moves) < 2 * helped:
                if time.monotonic() > start + took + 60:
                    self.findings.append("MOVES not back in the spare pool")
                    break
                await asyncio.sleep(0.1)
            back = time.monotonic() - start - took
            await asyncio.sleep(MOVE_S + 1)
            await self.check_end()
        finally:
            self.close()
        holders = self.check_holders()
        return (f"tasks {took:.1f} s, {helped} moves, back {back:.1f} s later, "
                f"{self.cloud.orders} orders, {self.cloud.lost} without an "
                f"answer, holders {holders}")


def run_seed(binary, seed, keep, net, moves):
    """Runs one seed and prints its result; returns True without findings."""
    root = tempfile.mkdtemp(prefix="waves-")
    run = (Moves if moves else Waves)(binary, seed, root, net)
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
    p.add_argument("--moves", action="store_true",
                   help="moves between pools instead of a wave")
    p.add_argument("--net", type=int, default=2,
                   help="second number of the loopback addresses")
    p.add_argument("--keep", help="folder for the logs of failed seeds")
    a = p.parse_args()
    good = [run_seed(a.binary, s, a.keep, a.net, a.moves) for s in a.seeds]
    sys.exit(0 if all(good) else 1)


if __name__ == "__main__":
    main()
