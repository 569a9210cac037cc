"""Starts a small deployment on loopback and holds the stand-ins of the review:
workers, clients, an operator and a proxy between instances.

The programs are started with the commands of deploy/system.toml; their
settings have the keys of platform/instance.ini. Everything that is sent,
answered and run is written to the record of the case.
"""

import asyncio
import json
import logging
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

CORE_COUNT = 5
ZONES = ("a", "a", "b", "b", "c")
PEER_PORT, REACH_PORT = 7720, 7721
CONTROL_PORT, CLIENT_PORT, READY_PORT, METRICS_PORT = 8166, 8161, 8167, 9464
WORKER_PORT = 8367
HEARTBEAT_S = 1.1
LEASE_MAX_MS = 10000  # holdMaxMs
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BINARY = os.path.join(ROOT, "target", "cicadabay")

HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not be run."""


class Record:
    """The file in which a run writes what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.zero = time.monotonic()

    def now(self):
        """Returns the seconds since the run began."""
        return time.monotonic() - self.zero

    def add(self, text):
        """Writes one line with its time."""
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Reads one HTTP message; returns its first line and its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    length = 0
    for line in lines[1:]:
        key, _, value = line.partition(":")
        if key.strip().lower() == "content-length":
            length = int(value)
    return lines[0], await reader.readexactly(length)


async def call(addr, method, path, body=None, host="review", timeout=1.0,
               deadline_ms=None):
    """Sends one HTTP request on a new connection; returns the status and the
    body, or (None, b"") if there is no whole answer in time."""
    data = b"" if body is None else json.dumps(body).encode()
    head = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    if body is not None:
        head.append("Content-Type: application/json")
    if deadline_ms is not None:
        head.append(f"X-Deadline-Ms: {deadline_ms}")
    head.append(f"Content-Length: {len(data)}")
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(*addr)
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + data)
        first, answer = await read_message(reader)
        return int(first.split()[1]), answer

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None, b""
    finally:
        if writer is not None:
            writer.close()


class Proxy:
    """Forwards connections to an instance. Those that are open can be muted:
    they carry nothing any more and are not reset, while new ones work."""

    def __init__(self, listen, target):
        self.listen, self.target = listen, target
        self.server = None
        self.conns = []

    async def start(self):
        """Starts to listen."""
        self.server = await asyncio.start_server(self.accept, *self.listen)

    async def accept(self, reader, writer):
        """Connects to the instance and forwards both directions."""
        try:
            back_reader, back_writer = await asyncio.open_connection(
                *self.target)
        except OSError:
            writer.transport.abort()
            return
        conn = {"muted": False}
        self.conns.append(conn)
        await asyncio.gather(self.copy(conn, reader, back_writer),
                             self.copy(conn, back_reader, writer))

    @staticmethod
    async def copy(conn, reader, writer):
        """Copies one direction until either side closes."""
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                if conn["muted"]:
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            if not conn["muted"]:
                writer.close()

    def mute(self):
        """Mutes the connections that are open now; returns their number."""
        for conn in self.conns:
            conn["muted"] = True
        return len(self.conns)


class Instance:
    """A process of the system: a replica ("core") or an entry instance
    ("gate")."""

    def __init__(self, cluster, kind, number, ip, zone):
        self.cluster, self.kind, self.ip, self.zone = cluster, kind, ip, zone
        self.name = f"{kind}-{number}"
        self.process = None
        self.is_first_start = True
        self.proxy = None

    def settings(self):
        """Returns the text of the settings file."""
        c = self.cluster
        lines = ["[instance]", f"name = {self.name}", f"ip = {self.ip}",
                 f"domain = zone-{self.zone}", f"peer_port = {PEER_PORT}"]
        if c.has_proxies:
            lines.append(f"reach_port = {REACH_PORT}")
        lines += ["seeds = " + ",".join(
            f"{i.ip}:{CONTROL_PORT}" for i in c.cores[0::2]),
                  f"found = {str(self.is_first_start).lower()}",
                  f"counted = {str(self.kind == 'core').lower()}",
                  "tolerate = 2"]
        if self.kind == "core":
            lines += [f"data = {c.dir}/{self.name}",
                      f"control = {self.ip}:{CONTROL_PORT}"]
        else:
            lines += [f"clients = {self.ip}:{CLIENT_PORT}",
                      f"readiness = {self.ip}:{READY_PORT}"]
        lines += [f"metrics = {self.ip}:{METRICS_PORT}", "lease_max = 10000ms",
                  "grace = 6s", "descriptors = 4096"]
        return "\n".join(lines) + "\n"

    def start(self):
        """Writes the settings and starts the process."""
        path = os.path.join(self.cluster.dir, self.name + ".ini")
        with open(path, "w", encoding="utf-8") as f:
            f.write(self.settings())
        with open(os.path.join(self.cluster.dir, self.name + ".log"),
                  "ab") as log:
            self.process = subprocess.Popen(
                [BINARY, self.kind, "-c", path], stdout=log,
                stderr=subprocess.STDOUT, cwd=ROOT)
        self.is_first_start = False

    def signal(self, number):
        """Sends a signal to the process."""
        self.cluster.record.add(
            f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)


class Cluster:
    """Five replicas in three zones, and entry instances."""

    def __init__(self, record, gates=2, has_proxies=False):
        self.record, self.has_proxies = record, has_proxies
        self.dir = tempfile.mkdtemp(prefix="cicadabay-review-")
        self.net = self.find_net()
        self.cores = [
            Instance(self, "core", n + 1, f"{self.net}.2{n}", ZONES[n])
            for n in range(CORE_COUNT)]
        self.gates = [
            Instance(self, "gate", n + 1, f"{self.net}.3{n}", ZONES[n])
            for n in range(gates)]

    @staticmethod
    def find_net():
        """Returns the first three parts of loopback addresses whose ports are
        free."""
        for _ in range(100):
            net = f"127.{random.randrange(2, 250)}.{random.randrange(250)}"
            try:
                for host in range(20, 50):
                    for port in (PEER_PORT, CONTROL_PORT, WORKER_PORT):
                        with socket.socket() as s:
                            s.setsockopt(
                                socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                            s.bind((f"{net}.{host}", port))
                return net
            except OSError:
                continue
        raise NotRun("no free loopback addresses")

    def instances(self):
        """Returns all instances."""
        return self.cores + self.gates

    async def start(self):
        """Starts all processes and waits until they elect a leader."""
        if not os.access(BINARY, os.X_OK):
            raise NotRun(f"{BINARY} isn't built")
        for i in self.instances():
            if self.has_proxies:
                i.proxy = Proxy((i.ip, REACH_PORT), (i.ip, PEER_PORT))
                await i.proxy.start()
            i.start()
        self.record.add("processes started: " + " ".join(
            f"{i.name}={i.ip}" for i in self.instances()))
        await self.wait_for(10, "a leader", self.find_leader)

    async def wait_for(self, seconds, what, condition):
        """Repeats a condition until it holds; returns what it returned."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            value = condition()
            if asyncio.iscoroutine(value):
                value = await value
            if value:
                return value
            await asyncio.sleep(0.05)
        raise NotRun(f"no {what} within {seconds} s")

    async def find_leader(self):
        """Returns the replica that has logged last that it leads, if there is
        one; only to aim a disruption."""
        latest = None
        for i in self.cores:
            path = os.path.join(self.dir, i.name + ".log")
            with open(path, encoding="utf-8", errors="replace") as f:
                for line in f:
                    if " event=lead " in line:
                        key = (int(line.split("token=")[1].split()[0]), i)
                        if latest is None or key[0] > latest[0]:
                            latest = key
        return None if latest is None else latest[1]

    def stop(self, keep_logs_in=None):
        """Ends all processes that were started and removes their files."""
        for i in self.instances():
            if i.process is not None and i.process.poll() is None:
                i.process.send_signal(signal.SIGCONT)
                i.process.kill()
        for i in self.instances():
            if i.process is not None:
                i.process.wait()
        if keep_logs_in:
            shutil.copytree(self.dir, keep_logs_in, dirs_exist_ok=True)
        shutil.rmtree(self.dir, ignore_errors=True)


class Run:
    """A run of a task on a worker."""

    def __init__(self, number, timer, need):
        self.number, self.timer, self.need = number, timer, need
        self.is_stopping = False


class Worker:
    """A stand-in for a worker: accepts orders under fencing tokens and leases,
    runs each task for a set time, and sends heartbeats."""

    def __init__(self, cluster, name, host, labels=("a", "r1"), cpu=16000,
                 service="svc", stop_s=0.1):
        self.cluster, self.record = cluster, cluster.record
        self.id, self.labels, self.cpu = name, list(labels), cpu
        self.service, self.stop_s = service, stop_s
        self.addr = (f"{cluster.net}.{host}", WORKER_PORT)
        self.task_s = {}  # job id -> how long its tasks run; default 1 s
        self.listener = None
        self.loop_task = None
        self.is_up = False
        self.is_unhealthy = False  # answers starts with 503
        self.keeps_conn = False  # sends heartbeats on one open connection
        self.answers_are_lost = False  # bytes to the worker are lost
        self.writers = set()
        self.control_order = list(cluster.cores)
        self.on_change = None  # called with (task, run, "start" or how)

    # ---- life ----

    async def boot(self):
        """Starts a new life under the id."""
        self.born = int(time.time() * 1000)
        self.zero = time.monotonic() - random.uniform(1, 1000)
        self.token = self.lease_end_ms = self.last_end = self.seq = 0
        self.runs, self.ends, self.over = {}, [], {}
        self.state = "ready"
        self.is_up, self.is_unhealthy = True, False
        self.answers_are_lost = False
        self.changed = asyncio.Event()
        self.conn = None
        await self.listen()
        self.record.add(f"worker {self.id} is up, born={self.born}")
        self.loop_task = asyncio.create_task(self.beat_loop())
        self.lease_task = asyncio.create_task(self.watch_lease())

    async def listen(self):
        """Accepts connections."""
        self.listener = await asyncio.start_server(self.serve, *self.addr)

    def refuse(self):
        """Makes the path to the worker refuse: open connections are reset and
        new ones are refused. The worker runs on."""
        self.listener.close()
        self.listener = None
        for w in list(self.writers):
            w.transport.abort()

    def end(self):
        """Ends the process of the worker with all that runs there."""
        self.is_up = False
        if self.listener is not None:
            self.refuse()
        self.loop_task.cancel()
        self.lease_task.cancel()
        if self.conn is not None:
            self.conn[1].close()
            self.conn = None
        for task in list(self.runs):
            run = self.runs.pop(task)
            run.timer.cancel()
            self.tell(task, run.number, "gone with its worker")
        self.record.add(f"worker {self.id} has ended")

    def clock_ms(self):
        """Returns the worker's steady clock."""
        return int((time.monotonic() - self.zero) * 1000)

    def tell(self, task, run, what):
        """Records a change of a run."""
        self.record.add(f"worker {self.id} task {task} run {run}: {what}")
        if self.on_change is not None:
            self.on_change(self, task, run, what)

    # ---- calls to the system ----

    async def send_on_open_conn(self, method, path, body=None):
        """Sends a request on the connection that the worker keeps open to a
        replica; returns the status, or None without an answer in a second."""
        data = b"" if body is None else json.dumps(body).encode()
        try:
            if self.conn is None:
                self.conn = await asyncio.wait_for(asyncio.open_connection(
                    self.control_order[0].ip, CONTROL_PORT), 1.0)
            reader, writer = self.conn
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: control\r\n"
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
            await writer.drain()
            if self.answers_are_lost:
                await asyncio.sleep(1.0)
                return None
            first, _ = await asyncio.wait_for(read_message(reader), 1.0)
            return int(first.split()[1])
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None

    def heartbeat_body(self):
        """Returns what the worker says of itself."""
        self.seq += 1
        return {"service": self.service, "address": "%s:%d" % self.addr,
                "zone": "zone-a", "version": "v1", "slots": 8,
                "state": self.state, "coldLeftMs": 0,
                "capacity": {"cpu": self.cpu, "memMb": 64000, "gpu": 0},
                "labels": self.labels, "clockMs": self.clock_ms(),
                "seq": self.seq, "born": self.born}

    async def beat(self):
        """Sends one heartbeat, to the next replica if one does not answer
        within a second; tells whether it was acknowledged."""
        if self.keeps_conn:
            status = await self.send_on_open_conn(
                "POST", f"/-/Instances.Heartbeat/{self.id}",
                self.heartbeat_body())
            return status is not None and 200 <= status < 300
        for core in list(self.control_order):
            status, _ = await call(
                (core.ip, CONTROL_PORT), "POST",
                f"/-/Instances.Heartbeat/{self.id}", self.heartbeat_body())
            if status is not None and 200 <= status < 300:
                return True
        return False

    async def beat_loop(self):
        """Sends heartbeats while the worker is up."""
        while self.is_up:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def watch_lease(self):
        """Ends all runs when the lease expires."""
        while self.is_up:
            await asyncio.sleep(0.02)
            if self.runs and self.clock_ms() >= self.lease_end_ms:
                for task in list(self.runs):
                    self.end_run(task, "lapsed")

    # ---- orders ----

    def end_run(self, task, how):
        """Ends a run and lists its end."""
        run = self.runs.pop(task, None)
        if run is None:
            return
        run.timer.cancel()
        self.over[task] = max(run.number, self.over.get(task, 0))
        self.last_end += 1
        self.ends.append([self.last_end, task, run.number, how, ""])
        self.tell(task, run.number, how)
        self.changed.set()

    def renew(self, args):
        """Notes token and lease of an order; false for an old token."""
        if args.get("fencingToken", 0) < self.token:
            return False
        self.token = args.get("fencingToken", 0)
        self.lease_end_ms = max(self.lease_end_ms, min(
            args.get("untilMs", 0), self.clock_ms() + LEASE_MAX_MS))
        return True

    def start_run(self, args):
        """Carries out an order to start; returns status and body."""
        task, number = args["task"], args["run"]
        if not self.renew(args):
            return 409, {"reason": "fence"}
        if task in self.runs and self.runs[task].number == number:
            return 200, {}
        if number <= self.over.get(task, 0) or task in self.runs:
            return 409, {"reason": "old"}
        if args["untilMs"] <= self.clock_ms():
            return 409, {"reason": "late"}
        seconds = self.task_s.get(task.split(".")[0], 1.0)
        timer = asyncio.get_running_loop().call_later(
            seconds, self.end_run, task, "done")
        self.runs[task] = Run(number, timer, 0)
        self.tell(task, number, "start")
        return 200, {}

    def stop_run(self, args):
        """Carries out an order to stop; returns status and body."""
        task, number = args["task"], args["run"]
        if not self.renew(args):
            return 409, {"reason": "fence"}
        self.over[task] = max(number, self.over.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.number <= number and not run.is_stopping:
            run.is_stopping = True
            run.timer.cancel()
            run.timer = asyncio.get_running_loop().call_later(
                self.stop_s, self.end_run, task, "stopped")
        return 200, {}

    async def hold(self, args):
        """Answers a look, after an end if it says so."""
        if not self.renew(args):
            return 409, {"reason": "fence"}
        cursor = args.get("ackCursor", 0)
        self.ends = [e for e in self.ends if e[0] > cursor]
        if not self.ends and args.get("waitMs", 0) > 0:
            self.changed.clear()
            try:
                await asyncio.wait_for(
                    self.changed.wait(), args["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, {
            "running": [[t, r.number, "", 100, 0]
                        for t, r in self.runs.items()],
            "finished": self.ends[:500]}

    async def serve(self, reader, writer):
        """Answers the calls on one connection."""
        self.writers.add(writer)
        life = self.born
        try:
            while True:
                first, body = await read_message(reader)
                path, args = first.split()[1], json.loads(body or b"{}")
                status, answer = 200, {}
                if path == "/-/hold":
                    status, answer = await self.hold(args)
                elif path == "/-/run-start":
                    if self.is_unhealthy:
                        status = 503
                    else:
                        status, answer = self.start_run(args)
                    self.record.add(
                        f"worker {self.id} start of {args['task']} run "
                        f"{args['run']} answered {status} {answer}")
                elif path == "/-/run-stop":
                    status, answer = self.stop_run(args)
                    self.record.add(
                        f"worker {self.id} stop of {args['task']} run "
                        f"{args['run']} answered {status} {answer}")
                if life != self.born:
                    return
                answer["clockMs"] = self.clock_ms()
                answer["born"] = self.born
                data = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d x\r\nContent-Type: application/json"
                             b"\r\nContent-Length: %d\r\n\r\n%b"
                             % (status, len(data), data))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Client:
    """A stand-in for a client of one queue."""

    def __init__(self, cluster, prefix="/q/", host="review"):
        self.cluster, self.record = cluster, cluster.record
        self.prefix, self.host = prefix, host

    async def request(self, method, job, body=None, gate=0, timeout=3.0):
        """Sends one request; returns status and body."""
        g = self.cluster.gates[gate]
        path = self.prefix + job
        self.record.add(f"client {method} {path} to {g.name}")
        status, answer = await call(
            (g.ip, CLIENT_PORT), method, path, body, self.host, timeout,
            int(timeout * 1000))
        self.record.add(f"client {method} {path}: {status} "
                        f"{answer.decode('utf-8', 'replace')}")
        return status, answer

    @staticmethod
    def new_id():
        """Returns a job id."""
        return f"{random.getrandbits(64):016x}"


def step(count=1, cpu=1000, **more):
    """Returns a step of a job."""
    return {"count": count, "cpu": cpu, "memMb": 100, "estimateMs": 1000,
            **more}


def route(name="r-q", prefix="/q/", **more):
    """Returns a route of a configuration."""
    return {"name": name, "host": "review", "pathPrefix": prefix,
            "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 1000,
            "priority": 0, "service": "svc", "maxAttempts": 3, "stretch": 2.0,
            **more}


async def put_config(cluster, version, routes):
    """Sends a configuration as the operator does, to the replicas in turn,
    until one acknowledges it."""
    body = {"version": version, "routes": routes,
            "services": [{"name": "svc", "healthPath": "/health",
                          "maxConns": 64, "protocol": "h1", "tls": False,
                          "enforceCapacity": True, "spare": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
    for _ in range(10):
        for core in cluster.cores:
            if core.process.poll() is not None:
                continue
            cluster.record.add(f"operator sends version {version} with routes "
                               f"{[r['name'] for r in routes]} to {core.name}")
            status, _ = await call((core.ip, CONTROL_PORT), "POST",
                                   "/-/Config.Replace", body)
            cluster.record.add(f"operator version {version}: {status}")
            if status == 200:
                return
            if status in (400, 409, 412, 413, 422):
                raise NotRun(f"version {version} was refused with {status}")
        await asyncio.sleep(0.2)
    raise NotRun(f"version {version} was not acknowledged")


async def wait_ready(cluster):
    """Waits until all entry instances report that they are ready."""
    async def are_ready():
        for g in cluster.gates:
            status, _ = await call((g.ip, READY_PORT), "GET", "/-/ready")
            if status != 200:
                return False
        return True
    await cluster.wait_for(10, "ready entry instances", are_ready)


def main(folder, case, **cluster_args):
    """Runs a case: case(cluster, trouble) returns the list of what broke the
    rule. Writes record.txt and exits with 0, 1 or 2."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    cluster = None

    async def run():
        await cluster.start()
        return await asyncio.wait_for(case(cluster, trouble), 100)

    # Connections that are still open at the end need no orderly close.
    sys.unraisablehook = lambda _: None
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    status = NOT_RUN
    try:
        cluster = Cluster(record, **cluster_args)
        faults = asyncio.run(run())
        status = BROKEN if faults else HELD
        for f in faults:
            record.add("BROKEN " + f)
            print("BROKEN " + f)
        if not faults:
            record.add("the rule held")
            print("the rule held")
    except (NotRun, OSError, asyncio.TimeoutError) as e:
        record.add(f"not run: {e!r}")
        print(f"not run: {e!r}")
    except Exception:
        traceback.print_exc()
    finally:
        if cluster is not None:
            cluster.stop(os.environ.get("KEEP_LOGS"))
    sys.exit(status)
