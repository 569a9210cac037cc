"""Stand-ins for the platform's workers, clients, operator and machine service,
and a small cluster of the project's processes on loopback addresses.

They follow PROTOCOL.md. What they see is appended to record.txt, with the time
in seconds since the start.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import traceback

BINARY = "target/cicadabay"
CONTROL_PORT, CLIENT_PORT, READY_PORT = 8166, 8161, 8167
PEER_PORT, METRICS_PORT, WORKER_PORT, CLOUD_PORT = 7720, 9464, 8080, 8169
HOST, PREFIX, SERVICE = "nony24.example", "/lohu930/", "huvo11a"

# Bounds of the site gullak-ktm, in seconds.
HOLD_MAX_S, STOP_S, GANG_S, CANCEL_S = 10.0, 0.9, 3.0, 3.0
NOTICE_S, UPKEEP_S, CHECKPOINT_S, GRACE_S = 4.5, 2.0, 1.0, 6
LEASE_MS = 3000
REPO = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def free_net():
    """Returns the first three numbers of loopback addresses that nobody
    listens on."""
    for _ in range(200):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for host, port in ((f"{net}.1", CONTROL_PORT),
                               (f"{net}.1", PEER_PORT),
                               (f"{net}.21", CLIENT_PORT)):
                with socket.socket() as s:
                    s.bind((host, port))
            return net
        except OSError:
            continue
    raise OSError("no free address")


class Record:
    """What was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()
        self.broken = []

    def now(self):
        return time.monotonic() - self.start

    def note(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()

    def breaks(self, rule, text):
        """Notes a broken rule."""
        self.broken.append(rule)
        self.note(f"BROKEN {rule}: {text}")


async def read_message(reader):
    """Reads one HTTP message; returns its first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            key, value = line.split(":", 1)
            headers[key.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


async def call(addr, method, path, body=None, headers=(), timeout=3.0):
    """Sends one HTTP request on a new connection; returns status and body,
    or (None, b"") without an answer."""
    data = b"" if body is None else json.dumps(body).encode()
    head = (f"{method} {path} HTTP/1.1\r\nContent-Length: {len(data)}\r\n"
            "Content-Type: application/json\r\n")
    head += "".join(f"{k}: {v}\r\n" for k, v in headers)
    if "Host" not in dict(headers):
        head += f"Host: {addr[0]}:{addr[1]}\r\n"
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(*addr)
        writer.write((head + "\r\n").encode() + data)
        first, _, answer = await read_message(reader)
        return int(first.split()[1]), answer

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None, b""
    finally:
        if writer is not None:
            writer.close()


async def send_answer(writer, status, answer):
    """Sends an answer with a JSON body."""
    data = json.dumps(answer).encode()
    writer.write(b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\n"
                 b"Content-Length: %d\r\n\r\n%b" % (status, len(data), data))
    await writer.drain()


class Run:
    """One run of a task on a worker."""

    def __init__(self, task, run, step, now):
        self.task, self.run, self.step = task, run, step
        self.started = now
        self.work_since = None if step.get("gang") else now
        self.saved, self.saved_at = "", now
        self.stopping = False
        self.will = "done"
        self.duration = 1.0

    def percent(self, now):
        if self.work_since is None:
            return 0
        return min(100, int(100 * (now - self.work_since) / self.duration))


class Worker:
    """A worker: one life, or several under one id, at one address."""

    def __init__(self, world, wid, ip, machine, cpu=32000, mem=125000,
                 labels=("a", "r1-1"), zone="bagmati-a"):
        self.world, self.id, self.machine = world, wid, machine
        self.addr, self.zone = (ip, WORKER_PORT), zone
        self.cpu, self.mem, self.labels = cpu, mem, list(labels)
        self.state, self.up = "ready", False
        self.cut = False           # no bytes pass, in either direction
        self.late_share = 0.0
        self.hears_control = True
        self.heartbeat_address = None
        self.server, self.conns, self.tasks = None, set(), []
        self.life = 0

    # ---- life ----

    async def start(self):
        """Begins an incarnation."""
        self.life += 1
        self.up = True
        self.born = int(time.time() * 1000)
        self.clock0 = time.monotonic() - random.uniform(0, 20)
        self.rate = random.choice([0.98, 1.0])
        self.fence = self.seq = self.last_end = 0
        self.lease_until = 0.0
        self.runs, self.ends, self.over = {}, [], {}
        self.lapsed_before = 0
        self.changed = asyncio.Event()
        self.world.rec.note(f"worker {self.id} up on {self.machine} "
                            f"born {self.born}")
        self.server = await asyncio.start_server(self.serve, *self.addr)
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.beat()),
                      loop.create_task(self.watch())]

    def crash(self):
        """Ends the incarnation: what runs ends, nothing is told."""
        if not self.up:
            return
        self.up = False
        self.world.rec.note(f"worker {self.id} down, runs {len(self.runs)}")
        for r in list(self.runs.values()):
            self.world.on_end(self, r, "lost")
        self.runs = {}
        for t in self.tasks:
            t.cancel()
        self.server.close()
        for w in list(self.conns):
            w.transport.abort()

    def clock(self):
        """Returns the worker's steady clock in ms."""
        return int((time.monotonic() - self.clock0) * 1000 * self.rate)

    async def beat(self):
        """Sends heartbeats, to the next replica if one doesn't answer."""
        cores = self.world.control_addrs()
        random.shuffle(cores)
        while True:
            if self.cut in (False, 'in') and self.hears_control:
                targets = list(cores)
                if self.heartbeat_address:
                    targets.insert(0, self.heartbeat_address)
                for addr in targets:
                    self.seq += 1
                    body = {"service": SERVICE, "zone": self.zone,
                            "address": "%s:%d" % self.addr, "version": "v1",
                            "slots": 8, "state": self.state, "coldLeftMs": 0,
                            "capacity": {"cpu": self.cpu, "memMb": self.mem,
                                         "gpu": 0},
                            "labels": self.labels, "clockMs": self.clock(),
                            "seq": self.seq, "born": self.born}
                    if self.state == "draining":
                        body["remainingMs"] = 2000
                    status, data = await call(
                        addr, "POST", f"/-/Instances.Heartbeat/{self.id}",
                        body, timeout=1.0)
                    if status is not None and 200 <= status < 300:
                        if body["state"] == "draining":
                            self.world.on_drain_ack(self)
                        self.heartbeat_address = None
                        got = json.loads(data or b"{}").get("heartbeatAddress")
                        if got:
                            host, port = got.rsplit(":", 1)
                            self.heartbeat_address = (host, int(port))
                        break
                    self.heartbeat_address = None
            await asyncio.sleep(1.5)

    async def watch(self):
        """Ends what lapses, is done, or waits in vain for its gang."""
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            if self.runs and self.clock() >= self.lease_until:
                for r in list(self.runs.values()):
                    self.end(r, "lapsed")
            for r in list(self.runs.values()):
                if r.stopping or self.runs.get(r.task) is not r:
                    continue
                if r.work_since is None:
                    if now - r.started > GANG_S:
                        self.end(r, "alone")
                    continue
                if r.step.get("checkpointing") and \
                        now - r.saved_at >= CHECKPOINT_S:
                    r.saved_at, r.saved = now, self.world.checkpoint(r)
                if now - r.work_since >= r.duration:
                    if r.step.get("longRunning"):
                        self.world.on_at_work(self, r)
                    else:
                        self.end(r, r.will)

    # ---- runs ----

    def end(self, r, how):
        """Ends a run and lists its end."""
        if self.runs.get(r.task) is not r:
            return
        del self.runs[r.task]
        self.over[r.task] = max(r.run, self.over.get(r.task, 0))
        self.last_end += 1
        self.ends.append([self.last_end, r.task, r.run, how, r.saved])
        self.changed.set()
        self.world.on_end(self, r, how)

    def note_lapse(self):
        """Notes that the lease has lapsed after the ends so far."""
        if self.clock() >= self.lease_until:
            self.lapsed_before = self.last_end

    def lease(self, args):
        """Renews the lease; false if the fencing token is lower than one seen
        before."""
        self.note_lapse()
        token = args.get("fencingToken", 0)
        if token < self.fence:
            return False
        self.fence = token
        until = args.get("untilMs")
        if until is not None:
            until = min(until, self.clock() + HOLD_MAX_S * 1000)
            self.lease_until = max(self.lease_until, until)
        return True

    def order(self, path, args):
        """Carries out an order; returns status and answer."""
        if args.get("fencingToken", 0) < self.fence:
            return 409, {"reason": "fence"}
        task, run = args["task"], args["run"]
        if path == "/-/run-stop":
            self.fence = args.get("fencingToken", 0)
            self.over[task] = max(run, self.over.get(task, 0))
            r = self.runs.get(task)
            if r is not None and r.run <= run and not r.stopping:
                self.world.on_stop(self, r)
                r.stopping = True
                asyncio.get_running_loop().call_later(
                    random.uniform(0.02, 0.88), self.finish_stop, r, self.life)
            return 200, {}
        if path == "/-/pace":
            self.fence = args.get("fencingToken", 0)
            return 200, {}
        if args.get("untilMs", 0) <= self.clock():
            self.fence = args.get("fencingToken", 0)
            return 409, {"reason": "late"}
        self.lease(args)
        there = self.runs.get(task)
        if there is not None and there.run == run:
            return 200, {}
        if run <= self.over.get(task, 0):
            return 409, {"reason": "old"}
        step = self.world.step_of(task)
        if self.world.guards and step is not None and not self.has_room(step):
            return 409, {"reason": "room"}
        r = Run(task, run, step or {}, time.monotonic())
        self.runs[task] = r
        self.world.on_start(self, r, args)
        return 200, {}

    def used(self):
        """Returns the processors and memory in use."""
        cpu = sum(r.step.get("cpu", 0) for r in self.runs.values()
                  if not r.step.get("fills"))
        return cpu, sum(r.step.get("memMb", 0) for r in self.runs.values())

    def has_room(self, step):
        cpu, mem = self.used()
        need = 0 if step.get("fills") else step.get("cpu", 0)
        return cpu + need <= self.cpu and mem + step.get("memMb", 0) <= self.mem

    def finish_stop(self, r, life):
        if life == self.life and self.up:
            if r.step.get("checkpointing"):
                r.saved = self.world.checkpoint(r)
            self.end(r, "stopped")

    async def hold(self, args):
        """Answers a long poll."""
        if not self.lease(args):
            return 409, {"reason": "fence"}
        ack = args.get("ackCursor", 0)
        for e in [e for e in self.ends if e[0] <= ack]:
            self.world.on_noted(self, e)
        self.ends = [e for e in self.ends if e[0] > ack]
        if not self.ends and args.get("waitMs", 0) > 0:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       min(args["waitMs"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        rows = [[t, r.run, r.saved, r.percent(now), 10]
                for t, r in self.runs.items()]
        return 200, {"running": rows, "finished": self.ends[:500]}

    async def serve(self, reader, writer):
        """Answers the requests of one connection."""
        self.conns.add(writer)
        life = self.life
        try:
            while True:
                first, headers, body = await read_message(reader)
                while self.cut and self.cut != "out":
                    await asyncio.sleep(0.02)
                path = first.split()[1]
                if life != self.life or not self.up:
                    return
                if path == "/health":
                    await send_answer(writer, 200, {})
                    continue
                args = json.loads(body or b"{}")
                if headers.get("x-expect-instance", self.id) != self.id:
                    await send_answer(writer, 421, {"clockMs": self.clock()})
                    continue
                if path == "/-/hold":
                    status, answer = await self.hold(args)
                elif random.random() < self.late_share:
                    self.world.rec.note(f"late {path} {args.get('task')} "
                                        f"run {args.get('run')} at {self.id}")
                    asyncio.get_running_loop().call_later(
                        random.uniform(2, 12), self.late, path, args,
                        headers.get("x-expect-instance", self.id))
                    continue
                else:
                    status, answer = self.order(path, args)
                answer["clockMs"], answer["born"] = self.clock(), self.born
                if path != "/-/hold":
                    del answer["born"]
                while self.cut:
                    await asyncio.sleep(0.02)
                if life != self.life or not self.up:
                    return
                await send_answer(writer, status, answer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.conns.discard(writer)
            writer.close()

    def late(self, path, args, wid):
        """Carries out an order that got no answer."""
        if self.up and wid == self.id:
            status, answer = self.order(path, args)
            self.world.rec.note(f"late {path} {args['task']} run "
                                f"{args['run']} carried out at {self.id}: "
                                f"{status} {answer}")


class Process:
    """One process of the system."""

    def __init__(self, cluster, kind, number):
        self.cluster, self.kind = cluster, kind
        self.name = f"{kind}-bagmati-{'abc'[number % 3]}-{number + 1}"
        self.ip = f"{cluster.net}.{(1 if kind == 'core' else 21) + number}"
        self.data = os.path.join(cluster.dir, self.name)
        self.found, self.proc = kind == "core", None

    def settings(self):
        """Returns the settings file, as platform/instance.ini is filled in."""
        lines = ["[instance]", f"name = {self.name}", f"ip = {self.ip}",
                 f"domain = {self.name[5:14]}", f"peer_port = {PEER_PORT}",
                 f"seeds = {self.cluster.seeds}",
                 f"found = {str(self.found).lower()}",
                 f"counted = {str(self.kind == 'core').lower()}",
                 "tolerate = 2", f"metrics = {self.ip}:{METRICS_PORT}",
                 "lease_max = 10000ms", f"grace = {GRACE_S}s",
                 "descriptors = 4096", "memory = 256",
                 f"cloud = {self.cluster.net}.41:{CLOUD_PORT}",
                 "cloud_orders = 60.0", "cloud_reads = 60.0",
                 f"lease_holder_wait = {LEASE_MS}ms"]
        if self.kind == "core":
            lines += [f"data = {self.data}",
                      f"control = {self.ip}:{CONTROL_PORT}"]
        else:
            lines += [f"clients = {self.ip}:{CLIENT_PORT}",
                      f"readiness = {self.ip}:{READY_PORT}"]
        return "\n".join(lines) + "\n"

    def start(self):
        path = os.path.join(self.cluster.dir, self.name + ".ini")
        with open(path, "w") as f:
            f.write(self.settings())
        self.found = False
        with open(os.path.join(self.cluster.dir, self.name + ".log"),
                  "ab") as log:
            self.proc = subprocess.Popen(
                [os.path.join(REPO, BINARY), self.kind, "-c", path],
                stdout=log, stderr=log, cwd=REPO)

    def signal(self, number):
        if self.proc is not None and self.proc.poll() is None:
            self.proc.send_signal(number)

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.proc is not None:
            self.proc.wait()


class Cluster:
    """Five replicas and three entry instances."""

    def __init__(self):
        self.net = free_net()
        self.dir = tempfile.mkdtemp(prefix="review-")
        self.seeds = ",".join(f"{self.net}.{n}:{CONTROL_PORT}"
                              for n in (1, 2, 3))
        self.cores = [Process(self, "core", n) for n in range(5)]
        self.gates = [Process(self, "gate", n) for n in range(3)]

    def start(self):
        for p in self.cores + self.gates:
            p.start()

    def stop(self):
        for p in self.cores + self.gates:
            p.kill()
        if os.environ.get("KEEP"):
            print("kept", self.dir)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)

    def leader(self):
        """Returns the replica that leads by its log, the newest term."""
        best, term = None, -1
        for p in self.cores:
            if p.proc is None or p.proc.poll() is not None:
                continue
            with open(os.path.join(self.dir, p.name + ".log"),
                      errors="replace") as f:
                for line in f:
                    if "event=lead token=" in line:
                        t = int(line.split("event=lead token=")[1].split()[0])
                        if t > term:
                            best, term = p, t
        return best


class Cloud:
    """The service that owns the machines."""

    def __init__(self, world):
        self.world, self.machines = world, {}
        self.down = None       # None, "silent", "busy" or "reset"
        self.on_order = None   # called before an order is carried out
        self.fences, self.tokens, self.last = {}, {}, None
        self.same_id = False  # whether a worker keeps its id

    def add(self, worker):
        self.machines[worker.machine] = {
            "worker": worker, "state": "up", "pool": SERVICE, "wave": None,
            "members": set()}

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, f"{self.world.cluster.net}.41", CLOUD_PORT)

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target = first.split()[:2]
                if method == "POST" and self.on_order is not None:
                    self.on_order(target, json.loads(body))
                if self.down == "silent":
                    self.world.rec.note(f"platform silent to {target} "
                                        f"{body.decode()}")
                    await asyncio.sleep(60)
                    return
                if self.down == "reset":
                    writer.transport.abort()
                    return
                if self.down == "busy":
                    await send_answer(writer, 503, {})
                    continue
                if method == "GET":
                    if self.down == "lost":
                        await asyncio.sleep(60)
                        return
                    status, answer = 200, self.page(target)
                else:
                    status, answer = self.order(target, headers,
                                                json.loads(body))
                    self.world.rec.note(f"platform {target} {body.decode()} "
                                        f"from {headers['x-lease-holder']} "
                                        f"{headers['x-fencing-token']}: "
                                        f"{status} {answer}")
                if self.down == "lost":
                    await asyncio.sleep(60)
                    return
                await send_answer(writer, status, answer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def page(self, target):
        token = target.partition("pageToken=")[2]
        start = int(token) if token else 0
        names = sorted(self.machines)
        rows = []
        for n in names[start:start + 200]:
            m = self.machines[n]
            w = m["worker"]
            rows.append({"machine": n, "pool": m["pool"],
                         "state": m["state"] if m["state"] != "up" or
                         w is None or w.up else "down",
                         "zone": (w or m["last"]).zone,
                         "labels": (w or m["last"]).labels,
                         "capacity": {"cpu": (w or m["last"]).cpu,
                                      "memMb": (w or m["last"]).mem, "gpu": 0},
                         "id": w.id if w and w.up else None})
        more = start + 200 < len(names)
        return {"machines": rows, "nextToken": str(start + 200)} if more \
            else {"machines": rows, "nextToken": None}

    def order(self, target, headers, args):
        m = self.machines.get(args["machine"])
        now, holder = time.monotonic(), headers["x-lease-holder"]
        token = int(headers["x-fencing-token"])
        if self.last and self.last[1] != holder and \
                now - self.last[0] < LEASE_MS / 1000:
            self.world.rec.breaks("ONE", f"{holder} {now - self.last[0]:.3f} s "
                                  f"after {self.last[1]}")
        self.last = (now, holder)
        if self.tokens.setdefault((args["machine"], token), holder) != holder:
            self.world.rec.breaks("ONE", f"two holders with token {token}")
        if token < self.fences.get(args["machine"], 0):
            self.world.rec.breaks("ONE", f"token {token} after a higher one")
        self.fences[args["machine"]] = token
        if m is None:
            return 400, {}
        if target == "/-/machine-move":
            if args["pool"] not in (SERVICE, "spare1"):
                return 400, {}
            if m["pool"] == args["pool"]:
                return 200, {}
            if m["state"] != "up" or (m["worker"] and not m["worker"].up):
                return 409, {"reason": "busy"}
            m["pool"], m["state"] = args["pool"], "moving"
            if m["worker"]:
                for r in list(m["worker"].runs.values()):
                    self.world.check_avail(m["worker"], r, "move")
                m["worker"].crash()
                m["last"] = m["worker"]
                m["worker"] = None
            asyncio.get_running_loop().create_task(self.finish_move(m))
            return 200, {}
        if args["wave"] not in m["members"]:
            return 409, {"reason": "wave"}
        if m["wave"] == args["wave"]:
            return 200, {}
        if m["state"] != "up" or not (m["worker"] and m["worker"].up):
            return 409, {"reason": "busy"}
        m["wave"], m["state"] = args["wave"], "upkeep"
        self.world.on_upkeep(args["machine"], m["worker"], args["wave"])
        m["worker"].crash()
        asyncio.get_running_loop().create_task(self.finish(m))
        return 200, {}

    async def finish_move(self, m):
        await asyncio.sleep(1.5)
        if m["pool"] != "spare1":
            m["worker"] = await self.world.new_life(m["last"])
        m["state"] = "up"

    async def finish(self, m):
        await asyncio.sleep(UPKEEP_S)
        if self.same_id:
            await m["worker"].start()
        else:
            m["worker"] = await self.world.new_life(m["worker"])
        m["state"] = "up"


class World:
    """Everything that surrounds the system, and the rules that it checks."""

    def __init__(self, folder):
        self.rec = Record(os.path.join(folder, "record.txt"))
        self.cluster = Cluster()
        self.cloud = Cloud(self)
        self.workers, self.jobs = [], {}
        self.guards, self.is_over = True, False
        self.version = 0
        self.extra_services = []
        self.nids = 0
        self.running = {}      # task -> list of (worker, run)
        self.at_work = {}      # task -> True while at work
        self.away = {}         # task -> since when it isn't at work
        self.by_order = set()  # tasks ended by an order, not yet at work again
        self.done, self.noted, self.saves = {}, {}, {}
        self.fails, self.gangs = {}, {}
        self.restarted, self.done_runs = {}, {}
        self.noted_fails, self.starts = set(), []
        self.duration = lambda task, run: random.uniform(0.3, 1.2)
        self.outcome = lambda task, run: "done"
        self.route = {"name": "r-3hwrr6x", "host": HOST, "pathPrefix": PREFIX,
                      "kind": "unsafe", "timeoutMs": 3000,
                      "targetLatencyMs": 250, "priority": 0,
                      "service": SERVICE, "maxAttempts": 3, "stretch": 1.5}
        self.quiet_since = 0.0

    # ---- set-up ----

    def control_addrs(self):
        return [(p.ip, CONTROL_PORT) for p in self.cluster.cores]

    def new_id(self):
        self.nids += 1
        return f"i-{self.nids:04x}{random.getrandbits(16):04x}"

    async def add_worker(self, **kw):
        n = len(self.workers) + 1
        w = Worker(self, self.new_id(), f"{self.cluster.net}.{100 + n}",
                   f"m-{n:05d}", **kw)
        self.workers.append(w)
        self.cloud.add(w)
        await w.start()
        return w

    async def new_life(self, old):
        """Starts another worker on the machine of one that has ended."""
        w = Worker(self, self.new_id(), old.addr[0], old.machine, cpu=old.cpu,
                   mem=old.mem, labels=old.labels, zone=old.zone)
        self.workers[self.workers.index(old)] = w
        await w.start()
        return w

    async def start(self, nworkers, **kw):
        """Starts the system, the configuration and the workers."""
        self.cluster.start()
        await self.cloud.start()
        while not await self.configure():
            await asyncio.sleep(0.3)
        for _ in range(nworkers):
            await self.add_worker(**kw)
        await asyncio.sleep(3.0)

    async def operator(self, method, path, body=None, tries=20):
        """Sends an order of the operator, again until there is an answer."""
        for n in range(tries):
            addr = random.choice(self.control_addrs())
            status, data = await call(addr, method, path, body, timeout=1.0)
            if body is not None:
                self.rec.note(f"operator {method} {path} to {addr[0]}: "
                              f"{status}")
            if status is not None and status < 500 and status not in (408,
                                                                      429):
                return status, data
            await asyncio.sleep(min(1.0, 0.1 * 2 ** n))
        return None, b""

    def config(self):
        return {"version": self.version, "routes": [self.route],
                "services": self.extra_services + [{"name": SERVICE, "healthPath": "/health",
                              "maxConns": 64, "protocol": "h1", "tls": False,
                              "enforceCapacity": self.guards,
                              "spare": False}],
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                           "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}

    async def configure(self):
        self.version += 3
        status, _ = await self.operator("POST", "/-/Config.Replace",
                                        self.config(), tries=5)
        return status == 200

    # ---- clients ----

    async def client(self, method, path, body=None):
        gate = random.choice(self.cluster.gates)
        status, data = await call(
            (gate.ip, CLIENT_PORT), method, path, body,
            (("Host", HOST), ("X-Deadline-Ms", "3000")), timeout=3.0)
        return status, data

    async def submit(self, steps, spec=None, **fields):
        """Hands a job in until there is an answer; returns its id, or None
        if it was refused."""
        job = f"{random.getrandbits(64):016x}"
        spec = spec or f"spec of {job}"
        self.jobs[job] = {"spec": spec, "steps": steps, "accepted": False,
                          "cancelled": None, "cancel_sent": None, **fields}
        refused = True
        for _ in range(10):
            status, _ = await self.client(
                "POST", PREFIX + job, {"spec": spec, "steps": steps, **fields})
            self.rec.note(f"client POST {job}: {status}")
            if status is not None and 200 <= status < 300:
                self.jobs[job]["accepted"] = True
                return job
            if status not in (429, 503):
                refused = False
            await asyncio.sleep(0.3)
        self.jobs[job]["refused"] = refused
        return None

    async def cancel(self, job):
        """Cancels a job until that is acknowledged."""
        self.jobs[job]["cancel_sent"] = time.monotonic()
        for _ in range(20):
            status, _ = await self.client("DELETE", PREFIX + job)
            self.rec.note(f"client DELETE {job}: {status}")
            if status == 410 or (status and 200 <= status < 300):
                self.jobs[job]["cancelled"] = time.monotonic()
                return
            await asyncio.sleep(0.3)

    async def state(self, job):
        status, data = await self.client("GET", PREFIX + job)
        if status == 200:
            return json.loads(data)["state"]
        return status

    # ---- rules ----

    def parts(self, task):
        job, k, step, index = task.split(".")
        return job, int(k), int(step), int(index)

    def step_of(self, task):
        job, _, step, _ = self.parts(task)
        j = self.jobs.get(job)
        return None if j is None or step >= len(j["steps"]) else \
            j["steps"][step]

    def gang_key(self, r):
        return r.task.rsplit(".", 1)[0], r.run

    def checkpoint(self, r):
        """Returns a new checkpoint of a run."""
        value = f"{random.getrandbits(64):016x}"
        key = r.task.rsplit(".", 1)[0] if r.step.get("gang") else r.task
        self.saves.setdefault(key, set()).add(value)
        return value

    def on_start(self, w, r, args):
        job, k, number, index = self.parts(r.task)
        j = self.jobs.get(job)
        self.rec.note(f"start {r.task} run {r.run} on {w.id} "
                      f"checkpoint {args.get('checkpoint', '')}")
        if j is None or number >= len(j["steps"]) or \
                index >= j["steps"][number]["count"] or \
                args.get("spec") != j["spec"]:
            self.rec.breaks("UNASKED", f"{r.task} on {w.id}")
            return
        step = j["steps"][number]
        r.duration = self.duration(r.task, r.run)
        r.will = self.outcome(r.task, r.run)
        key = r.task.rsplit(".", 1)[0] if step.get("gang") else r.task
        given = args.get("checkpoint", "")
        if given and given not in self.saves.get(key, ()):
            self.rec.breaks("UNASKED", f"{r.task}: not its checkpoint")
        r.saved = given
        if self.running.get(r.task):
            self.rec.breaks("TWICE", f"{r.task} run {r.run} on {w.id}, beside "
                            f"{self.running[r.task]}")
        self.running.setdefault(r.task, []).append((w.id, r.run))
        if r.task in self.noted:
            self.rec.breaks("TWICE", f"{r.task} run {r.run} after its end "
                            f"was taken note of")
        self.restarted.setdefault(r.task, set()).update(
            self.done_runs.get(r.task, ()))
        self.starts.append((r.task, r.run, time.monotonic()))
        for a in step.get("after", ()):
            missing = [i for i in range(j["steps"][a]["count"])
                       if f"{job}.{k}.{a}.{i}" not in self.done]
            if missing and not j["steps"][a].get("gang"):
                self.rec.breaks("ORDER", f"{r.task} before step {a}")
        label = step.get("constraints")
        if label and label not in w.labels:
            self.rec.breaks("ROUTE", f"{r.task} on {w.id} without {label}")
        most = step.get("antiAffinity", 0)
        prefix = f"{job}.{k}.{number}."
        if most and sum(t.startswith(prefix) for t in w.runs) > most:
            self.rec.breaks("ROUTE", f"{r.task}: too many on {w.id}")
        if not self.guards:
            cpu, mem = w.used()
            if cpu > w.cpu or mem > w.mem:
                self.rec.breaks("LIMIT", f"{w.id} has cpu {cpu} of {w.cpu}, "
                                f"mem {mem} of {w.mem} with {r.task}")
        if j["cancelled"] and time.monotonic() > j["cancelled"] + CANCEL_S:
            self.rec.breaks("UNASKED", f"{r.task} after its cancel")
        if step.get("gang"):
            members = self.gangs.setdefault(self.gang_key(r), {})
            members[index] = (w, r)
            if len(members) == step["count"]:
                for _, m in members.values():
                    m.work_since = time.monotonic()
                    m.duration = r.duration

    def on_at_work(self, w, r):
        if not self.at_work.get(r.task):
            self.at_work[r.task] = True
            self.by_order.discard(r.task)
            self.away.pop(r.task, None)
            self.rec.note(f"at work {r.task} run {r.run} on {w.id}")

    def on_stop(self, w, r):
        self.rec.note(f"stop {r.task} run {r.run} on {w.id}")
        self.check_avail(w, r, "stop")

    def on_upkeep(self, machine, w, wave):
        self.rec.note(f"upkeep of {machine} for wave {wave} begins")
        down = [n for n, m in self.cloud.machines.items()
                if m["state"] == "upkeep" and m["wave"] == wave]
        if len(down) > self.max_count:
            self.rec.breaks("LIMIT", f"upkeeps at once: {down}")
        for r in list(w.runs.values()):
            self.check_avail(w, r, "upkeep")

    def check_avail(self, w, r, what):
        """Checks mayMiss before an order ends a task."""
        may = r.step.get("mayMiss", 0)
        job, k, number, index = self.parts(r.task)
        if not r.step.get("longRunning"):
            return
        j = self.jobs[job]
        if may and self.at_work.get(r.task) and j["cancel_sent"] is None \
                and w.state != "draining":
            now = time.monotonic()
            others = [f"{job}.{k}.{number}.{i}"
                      for i in range(r.step["count"]) if i != index]
            away = [t for t in others if t in self.by_order or
                    (t in self.away and now - self.away[t] >= NOTICE_S)]
            if len(away) >= may:
                self.rec.breaks("AVAIL", f"{what} ends {r.task} on {w.id} "
                                f"while {away} are away, mayMiss {may}")
        self.by_order.add(r.task)

    def on_end(self, w, r, how):
        if self.is_over:
            return
        self.rec.note(f"end {r.task} run {r.run} on {w.id} {how}")
        if (w.id, r.run) in self.running.get(r.task, []):
            self.running[r.task].remove((w.id, r.run))
        if r.step.get("longRunning"):
            self.at_work[r.task] = False
            self.away.setdefault(r.task, time.monotonic())
        if how == "done":
            self.done[r.task] = time.monotonic()
            self.done_runs.setdefault(r.task, set()).add(r.run)
        if how == "failed":
            self.fails.setdefault(r.task, []).append(
                (r.run, time.monotonic()))
        if how == "alone":
            self.rec.note(f"ALONE {r.task} run {r.run}")
            self.on_alone(w, r)
        if r.step.get("gang"):
            members = self.gangs.get(self.gang_key(r), {})
            index = self.parts(r.task)[3]
            if index in members and members[index][1] is r:
                del members[index]
            if how not in ("done", "alone"):
                for ow, m in list(members.values()):
                    if m.work_since is not None and \
                            ow.runs.get(m.task) is m:
                        asyncio.get_running_loop().call_soon(
                            ow.end, m, "broken")

    def on_alone(self, w, r):
        pass

    def on_noted(self, w, e):
        if w.lapsed_before >= e[0]:
            return
        if e[3] == "done":
            self.noted[e[1]] = time.monotonic()
            if e[2] in self.restarted.get(e[1], ()):
                self.rec.breaks("TWICE", f"{e[1]} was started again after run "
                                f"{e[2]} on {w.id} had done it")
        if e[3] == "failed":
            self.noted_fails.add((e[1], e[2]))

    def on_drain_ack(self, w):
        pass

    max_count = 1

    def check_budget(self):
        """Checks that no task was started after maxAttempts failed runs."""
        for task, run, at in self.starts:
            if (self.step_of(task) or {}).get("longRunning"):
                continue
            n = sum(t < at and (task, k) in self.noted_fails
                    for k, t in self.fails.get(task, []))
            if n >= self.route["maxAttempts"]:
                self.rec.breaks("BUDGET", f"{task} run {run} after {n} "
                                "failed runs")

    async def finish(self, jobs, limit=20.0):
        """Waits until the jobs have ended; returns those that haven't."""
        until = time.monotonic() + limit
        left = {}
        while time.monotonic() < until:
            left = {}
            for j in jobs:
                s = await self.state(j)
                if s not in ("completed", "failed", "cancelled"):
                    left[j] = s
                if s == 410 and not self.jobs[j]["cancel_sent"]:
                    self.rec.breaks("LOST", f"{j} is answered 410")
            if not left:
                break
            await asyncio.sleep(0.3)
        return left

    def stop(self):
        self.is_over = True
        for w in self.workers:
            if w.up:
                w.crash()
        self.cluster.stop()


def main(folder, scenario):
    """Runs a scenario; returns the exit status."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    world = World(folder)
    if not os.path.exists(os.path.join(REPO, BINARY)):
        print("no", BINARY)
        return 2

    async def run():
        await asyncio.wait_for(scenario(world, trouble), 110)

    try:
        asyncio.run(run())
    except asyncio.TimeoutError:
        world.rec.note("the script took too long")
        return 2
    except Exception as e:  # the case could not run
        world.rec.note(f"the script failed: {e!r}")
        traceback.print_exc()
        return 2
    finally:
        world.stop()
    for rule in world.rec.broken:
        print("broken:", rule)
    return 1 if world.rec.broken else 0
