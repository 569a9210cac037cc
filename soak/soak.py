#!/usr/bin/env python3
"""Runs replicas and entry instances as processes on loopback, injects faults
from outside, and checks the guarantees given to clients and workers.

    soak.py BINARY SEED... [--seconds N] [--keep DIR] [--net N] [--gates N]
            [--workers N] [--leaves] [--evacuations]

Ends only processes that it started, by their ids. Prints one line for each
seed, then its first findings; the exit status is 1 if a guarantee was
violated.
"""

import argparse
import asyncio
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile

from proxy import MODES, Proxy
from world import Client, Ledger, Operator, Worker, ZONES

REPLICA_COUNT = 5
PEER_PORT, CONTROL_PORT, CLIENT_PORT = 17720, 18166, 18161
# A proxy listens on each port; the instance behind it listens on the port plus
# this offset.
BACKEND_PORT_OFFSET = 1000
# Time after the last fault in which every accepted job has to end.
RECOVERY_TIMEOUT_S = 30


class Instance:
    """One instance: its settings, data, log, process and proxies. The kind
    is "core" for a replica and "gate" for an entry instance."""

    def __init__(self, binary, root, net, kind, number, seeds, uses_relays,
                 rng):
        self.name = f"{kind}-{number}"
        self.kind = kind
        self.ip = f"127.{net}.{2 if kind == 'core' else 3}.{number}"
        self.binary, self.root = binary, root
        self.data = os.path.join(root, self.name)
        self.extra_settings = []
        self.seeds, self.process, self.may_found_cluster = seeds, None, True
        self.uses_relays = uses_relays
        ports = [PEER_PORT, CONTROL_PORT if kind == "core" else CLIENT_PORT]
        self.proxies = [Proxy((self.ip, port),
                              (self.ip, port + BACKEND_PORT_OFFSET), rng)
                        for port in ports]

    def settings(self):
        """Returns the text of the settings file."""
        lines = ["[instance]", f"name = {self.name}", f"ip = {self.ip}",
                 "domain = z",
                 f"peer_port = {PEER_PORT + BACKEND_PORT_OFFSET}",
                 f"reach_port = {PEER_PORT}", "seeds = " + self.seeds,
                 f"own_workers = {0 if self.uses_relays else 100}",
                 f"found = {str(self.may_found_cluster).lower()}",
                 "tolerate = 2"]
        if self.kind == "core":
            lines += [
                "counted = true", f"data = {self.data}",
                f"control = {self.ip}:{CONTROL_PORT + BACKEND_PORT_OFFSET}"]
        else:
            lines += [
                f"clients = {self.ip}:{CLIENT_PORT + BACKEND_PORT_OFFSET}"]
        return "\n".join(lines + self.extra_settings) + "\n"

    def start(self):
        """Writes the settings and starts the process; only the first start
        may found the cluster."""
        path = os.path.join(self.root, self.name + ".ini")
        with open(path, "w") as f:
            f.write(self.settings())
        log = open(os.path.join(self.root, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [self.binary, self.kind, "-c", path], stdout=log,
            stderr=subprocess.STDOUT)
        log.close()
        self.may_found_cluster = False

    def send_signal(self, number):
        """Sends a signal to the process if it is running."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        """Kills the process, even if it is paused, and waits for its end."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        self.process.wait()


class Soak:
    """One run of a seed: its cluster, workers, clients and faults."""

    def __init__(self, binary, seed, root, net, gates, workers, leaves,
                 evacuations=False):
        self.rng = random.Random(seed)
        self.leave_rng = random.Random(f"{seed} leaves")
        self.has_leaves = leaves
        self.evacuate_rng = random.Random(f"{seed} evacuations")
        self.has_evacuations = evacuations
        self.order_times = []  # how long the orders of the operator took
        self.ledger = Ledger()
        seeds = ",".join(f"127.{net}.2.{n}:{CONTROL_PORT}" for n in (1, 2, 3))
        uses_relays = seed % 2 == 1  # calls of the leader are relayed calls
        self.cores = [Instance(binary, root, net, "core", n + 1, seeds,
                               uses_relays, self.rng)
                      for n in range(REPLICA_COUNT)]
        self.gates = [Instance(binary, root, net, "gate", n + 1, seeds,
                               uses_relays, self.rng) for n in range(gates)]
        cores = [(p.ip, CONTROL_PORT) for p in self.cores]
        self.workers = [Worker(net, n + 1, self.ledger, self.rng, cores)
                        for n in range(workers)]
        for n, w in enumerate(self.workers if evacuations else []):
            w.zone = ZONES[n % len(ZONES)]
        self.client = Client(
            self.ledger, self.rng, [(p.ip, CLIENT_PORT) for p in self.gates])
        self.operator = Operator(self.ledger, self.rng, cores)
        self.unavailable = set()  # replicas down, paused, cut off or recovering
        self.faults = []  # kinds of the injected faults

    async def pause(self, instance, seconds):
        """Suspends the process of an instance for a while."""
        instance.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        instance.send_signal(signal.SIGCONT)

    async def kill_and_restart(self, instance, seconds, wipe):
        """Kills an instance, restarts it later and gives it time to recover;
        with wipe its data folder is deleted."""
        instance.kill()
        if wipe:
            shutil.rmtree(instance.data, ignore_errors=True)
        await asyncio.sleep(seconds)
        instance.start()
        await asyncio.sleep(4 if wipe else 1)

    async def stop_and_restart(self, instance):
        """Stops an instance gracefully, or by force after 6 s, and restarts
        it."""
        instance.send_signal(signal.SIGTERM)
        for _ in range(60):
            if instance.process.poll() is not None:
                break
            await asyncio.sleep(0.1)
        instance.kill()
        instance.start()
        await asyncio.sleep(1)

    async def disturb_replica(self, kind):
        """Injects a fault into a random replica. At most two of the five are
        unavailable at once, as the setting "tolerate" allows."""
        left = [p for p in self.cores if p not in self.unavailable]
        if len(left) <= REPLICA_COUNT - 2:
            return
        p = self.rng.choice(left)
        self.unavailable.add(p)
        seconds = self.rng.uniform(0.2, 3)
        if kind == "pause":
            await self.pause(p, seconds)
        elif kind == "net":
            await self.disturb_network(p.proxies, seconds)
            await asyncio.sleep(2)
        elif kind == "stop":
            await self.stop_and_restart(p)
        else:
            await self.kill_and_restart(p, seconds, kind == "wipe")
        self.unavailable.discard(p)

    async def disturb_network(self, proxies, seconds):
        """Injects one random network fault at all the proxies."""
        mode = self.rng.choice(MODES)
        await asyncio.gather(*(p.inject_fault(mode, seconds) for p in proxies))

    async def kill_all_replicas(self):
        """Kills and restarts all replicas unless one is unavailable."""
        if self.unavailable:
            return
        self.unavailable.update(self.cores)
        await asyncio.gather(
            *(self.kill_and_restart(p, 0.5, False) for p in self.cores))
        self.unavailable.clear()

    async def disturb_worker(self, kind):
        """Crashes a random worker, delays half of its orders ("late") or
        cuts it off from all replicas for a while ("cut")."""
        w = self.rng.choice(self.workers)
        if kind == "crash":
            w.crash()
            return
        if kind == "late":
            w.late_share = 0.5
        else:
            w.is_cut_off = True
        await asyncio.sleep(self.rng.uniform(1, 8))
        w.late_share, w.is_cut_off = 0.0, False

    async def inject_fault(self):
        """Injects one random fault and waits until it is over."""
        kind = self.rng.choice(
            ["pause", "kill", "kill", "wipe", "stop", "all", "gate", "crash",
             "late", "late", "cut", "net", "net", "gate-net", "worker-net"])
        self.faults.append(kind)
        if kind in ("pause", "kill", "wipe", "stop", "net"):
            await self.disturb_replica(kind)
        elif kind == "all":
            await self.kill_all_replicas()
        elif kind == "gate":
            await self.stop_and_restart(self.rng.choice(self.gates))
        elif kind == "gate-net":
            await self.disturb_network(self.rng.choice(self.gates).proxies,
                                       self.rng.uniform(0.2, 3))
        elif kind == "worker-net":
            await self.disturb_network([self.rng.choice(self.workers).proxy],
                                       self.rng.uniform(0.2, 3))
        else:
            await self.disturb_worker(kind)

    async def generate_load(self, until):
        """Submits about 8 jobs a second with cancels, configuration changes
        and checks, and waits for all of them."""
        loop, tasks = asyncio.get_running_loop(), []
        while loop.time() < until:
            tasks.append(asyncio.create_task(
                self.client.submit_random_job()))
            if self.rng.random() < 0.2:
                tasks.append(asyncio.create_task(
                    self.client.submit_and_cancel()))
            if self.rng.random() < 0.1:
                tasks.append(asyncio.create_task(
                    self.operator.change_config()))
            if self.rng.random() < 0.3:
                tasks.append(asyncio.create_task(
                    self.operator.check_config()))
            if self.ledger.accepted_jobs and self.rng.random() < 0.3:
                tasks.append(asyncio.create_task(self.check_random_job()))
            await asyncio.sleep(self.rng.expovariate(8))
        await asyncio.gather(*tasks)

    async def check_random_job(self):
        """Checks that an accepted job is known, and cancelled only if a client
        asked for it."""
        job = self.rng.choice(list(self.ledger.accepted_jobs))
        was = self.ledger.accepted_jobs[job]
        state = await self.client.fetch_state(job)
        if state == "unknown job":
            self.ledger.report(f"LOST {job} was accepted but is unknown")
        if state == "cancelled" and was == "active" and \
                self.ledger.accepted_jobs[job] == "active":
            self.ledger.report(f"LOST {job} is cancelled although "
                               "nobody has cancelled it")

    async def inject_faults(self, until):
        """Injects a fault every 0.3 to 2 s; faults may overlap."""
        loop, tasks = asyncio.get_running_loop(), []
        while loop.time() < until:
            await asyncio.sleep(self.rng.uniform(0.3, 2))
            tasks.append(asyncio.create_task(self.inject_fault()))
        await asyncio.gather(*tasks)

    async def inject_leaves(self, until):
        """Lets a random worker leave as planned every 0.3 to 1.5 s."""
        loop, tasks = asyncio.get_running_loop(), []
        while loop.time() < until:
            await asyncio.sleep(self.leave_rng.uniform(0.3, 1.5))
            w = self.leave_rng.choice(self.workers)
            if not w.is_draining:
                tasks.append(asyncio.create_task(w.leave(self.leave_rng)))
        await asyncio.gather(*tasks)

    async def inject_evacuations(self, until):
        """Evacuates a random failure domain and takes it back, every 1 to 4 s;
        two domains may overlap."""
        loop, rng, tasks = asyncio.get_running_loop(), self.evacuate_rng, {}

        async def evacuate(zone):
            self.order_times += await self.operator.evacuate(
                zone, rng.uniform(0.2, 9), self.workers, rng)

        while loop.time() < until:
            await asyncio.sleep(rng.uniform(1, 4))
            busy = [z for z in tasks if not tasks[z].done()]
            free = [z for z in ZONES if z not in busy]
            if len(free) > 1:
                zone = rng.choice(free)
                tasks[zone] = asyncio.create_task(evacuate(zone))
        await asyncio.gather(*tasks.values())

    async def check_final_state(self):
        """Checks that every worker is in use, that every accepted job ends in
        time, and that no refused or unknown one has run."""
        loop = asyncio.get_running_loop()
        await asyncio.gather(
            *[self.client.submit_for(w) for w in self.workers])
        until = loop.time() + RECOVERY_TIMEOUT_S
        left = set(self.ledger.accepted_jobs)
        while left and loop.time() < until:
            for job in list(left):
                if await self.client.fetch_state(job) in (
                        "completed", "failed", "cancelled"):
                    left.discard(job)
            await asyncio.sleep(0.3)
        for job in left:
            state = self.ledger.accepted_jobs[job]
            self.ledger.report(f"LOST {job} ({state}) has not ended in time")
        for job in self.ledger.refused_jobs & self.ledger.started_jobs:
            self.ledger.report(f"REFUSED {job} has run although "
                               "every attempt to submit it was refused")
        for job in self.ledger.unknown_jobs & self.ledger.started_jobs:
            self.ledger.report(f"UNASKED {job} has run although its "
                               "cancel was answered 410")
        await self.operator.check_config()

    def proxies(self):
        """Returns all proxies: those of the instances and of the workers."""
        found = [x for p in self.cores + self.gates for x in p.proxies]
        return found + [w.proxy for w in self.workers]

    async def start(self):
        """Starts the instances, the workers and their proxies, and waits until
        a configuration is acknowledged and the workers are registered."""
        for p in self.cores + self.gates:
            for proxy in p.proxies:
                await proxy.serve()
            p.start()
        for w in self.workers:
            await w.serve()
        await self.operator.configure()
        await asyncio.sleep(2)

    def close(self):
        """Ends what start has begun, but not the processes."""
        self.ledger.is_over = True
        for served in self.workers + self.proxies():
            served.server.close()

    async def run(self, seconds):
        """Starts everything, injects faults under load and checks the
        outcome."""
        loop = asyncio.get_running_loop()
        await self.start()
        until = loop.time() + seconds
        try:
            await asyncio.gather(
                self.generate_load(until), self.inject_faults(until),
                self.inject_leaves(until if self.has_leaves else 0),
                self.inject_evacuations(
                    until if self.has_evacuations else 0))
            await self.check_final_state()
        finally:
            self.close()

    def kill_instances(self):
        """Kills every instance that was started."""
        for p in self.cores + self.gates:
            if p.process is not None:
                p.kill()


def run_seed(binary, seed, seconds, keep, net, gates, workers, leaves,
             evacuations):
    """Runs one seed and prints its result; returns True without findings."""
    root = tempfile.mkdtemp(prefix="soak-")
    soak = Soak(binary, seed, root, net, gates, workers, leaves, evacuations)
    try:
        asyncio.run(soak.run(seconds))
    finally:
        soak.kill_instances()
    ledger = soak.ledger
    print(f"seed {seed}: faults {len(soak.faults)} "
          f"jobs {len(ledger.accepted_jobs)} starts {ledger.start_count} "
          f"config {soak.operator.acknowledged_version} "
          f"orders {len(soak.order_times)} "
          f"slowest {max(soak.order_times, default=0):.1f} s "
          f"findings {len(ledger.findings)}", flush=True)
    for text in ledger.findings[:10]:
        print("  " + text)
    if ledger.findings and keep:
        shutil.copytree(root, os.path.join(keep, f"seed-{seed}"))
    shutil.rmtree(root)
    return not ledger.findings


def main():
    p = argparse.ArgumentParser()
    p.add_argument("binary")
    p.add_argument("seeds", nargs="+", type=int)
    p.add_argument("--seconds", type=float, default=15)
    p.add_argument("--keep", help="folder for the settings, data and logs of "
                   "failed seeds")
    p.add_argument("--net", type=int, default=1,
                   help="second number of the loopback addresses; runs at "
                   "the same time need different ones")
    p.add_argument("--gates", type=int, default=3,
                   help="number of entry instances, a process each")
    p.add_argument("--workers", type=int, default=8)
    p.add_argument("--leaves", action="store_true",
                   help="workers leave as planned and restart")
    p.add_argument("--evacuations", action="store_true",
                   help="the operator evacuates failure domains")
    a = p.parse_args()
    good = [run_seed(a.binary, s, a.seconds, a.keep, a.net, a.gates, a.workers,
                 a.leaves, a.evacuations)
            for s in a.seeds]
    sys.exit(0 if all(good) else 1)


if __name__ == "__main__":
    main()
