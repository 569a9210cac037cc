"""Stand-ins for the cases in review/6 to review/10: starts the project's
programs on loopback addresses behind proxies, and plays workers, clients and
the operator as the users' pages describe them. Everything that they send and
see goes to record.txt."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
BINARY = os.path.join(HERE, "..", "target", "cicadabay")
HELD, BROKEN, NOT_RUN = 0, 1, 2
HEARTBEAT_S = 1.1
STOP_S = 0.05  # a stop takes this long; the pages allow 900 ms
HOLD_MAX_MS = 10000
FRAME_HEADER_BYTES = 12


class Record:
    """Writes record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.zero = time.monotonic()

    def now(self):
        """Returns the seconds since the case began."""
        return time.monotonic() - self.zero

    def add(self, text):
        """Adds a line with the time."""
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


async def read_http(reader):
    """Reads one HTTP message; returns its first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        key, sep, value = line.partition(":")
        if sep:
            headers[key.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


async def call(addr, method, path, body=None, headers=None, timeout=3.0):
    """Sends one HTTP request on a new connection. Returns the status and the
    body; status None stands for no complete answer."""
    data = b"" if body is None else json.dumps(body).encode()
    fields = {"Host": "case", "Content-Length": str(len(data))}
    if body is not None:
        fields["Content-Type"] = "application/json"
    fields.update(headers or {})
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(
        f"{k}: {v}\r\n" for k, v in fields.items()) + "\r\n"
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(*addr)
        writer.write(head.encode() + data)
        first, _, answer = await read_http(reader)
        return int(first.split()[1]), answer

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None, b""
    finally:
        if writer is not None:
            writer.close()


def sender_of(data):
    """Returns the address of the instance that sent the first bytes of a
    connection between instances, or None while they are too few. The first
    frame names its sender as the second field of its payload."""
    at = FRAME_HEADER_BYTES
    if len(data) < at + 9 or data[at] != 0x08:
        return None
    at += 2  # the group, a small number
    if data[at] != 0x10:
        return None
    value = shift = 0
    for byte in data[at + 1:]:
        value |= (byte & 0x7f) << shift
        shift += 7
        if not byte & 0x80:
            return socket.inet_ntoa(value.to_bytes(4, "big"))
    return None


class PeerProxy:
    """Forwards the connections between instances to one of them. While
    is_cut(source, destination) holds, the bytes in this direction wait."""

    def __init__(self, ip, port, target_port, is_cut):
        self.ip, self.port, self.target_port = ip, port, target_port
        self.is_cut = is_cut

    async def serve(self):
        """Starts to listen."""
        await asyncio.start_server(self.accept, self.ip, self.port)

    async def accept(self, reader, writer):
        """Forwards one connection until either side closes it."""
        first, sender, target = b"", None, None
        try:
            while sender is None:
                data = await reader.read(65536)
                if not data:
                    return
                first += data
                sender = sender_of(first)
            far, target = await asyncio.open_connection(
                self.ip, self.target_port)
            await asyncio.gather(
                self.copy(first, reader, target, sender, self.ip),
                self.copy(b"", far, writer, self.ip, sender))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for side in (writer, target):
                if side is not None:
                    side.close()

    async def copy(self, data, reader, writer, source, destination):
        """Copies the bytes of one direction."""
        try:
            while True:
                while self.is_cut(source, destination):
                    await asyncio.sleep(0.01)
                    if writer.is_closing():
                        return
                if data:
                    writer.write(data)
                    await writer.drain()
                data = await reader.read(65536)
                if not data:
                    return
        except OSError:
            pass
        finally:
            writer.close()


class Instance:
    """One process of the project: a core or a gate."""

    def __init__(self, world, kind, number):
        self.world, self.kind = world, kind
        self.name = f"{kind}-{number}"
        self.ip = f"{world.net}.{2 if kind == 'core' else 3}.{number}"
        self.data = os.path.join(world.folder, self.name)
        self.addr = (self.ip, world.port + 2)
        self.process = None

    async def start(self, found=False):
        """Writes the settings, as the template of the deploy file has them,
        and starts the program."""
        w = self.world
        lines = [
            "[instance]", f"name = {self.name}", f"ip = {self.ip}",
            "domain = z1", f"peer_port = {w.port + 1}",
            f"reach_port = {w.port}", f"seeds = {w.seeds}",
            f"found = {str(found).lower()}", "tolerate = 2",
            "lease_max = 10000ms", "grace = 6s"]
        if self.kind == "core":
            lines += ["counted = true", f"data = {self.data}",
                      f"control = {self.ip}:{w.port + 2}"]
        else:
            lines += [f"clients = {self.ip}:{w.port + 2}",
                      f"readiness = {self.ip}:{w.port + 3}"]
        path = os.path.join(w.folder, self.name + ".ini")
        with open(path, "w") as f:
            f.write("\n".join(lines) + "\n")
        log = open(os.path.join(w.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            BINARY, self.kind, "-c", path, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log)
        w.record.add(f"{self.name} is started")

    async def kill(self):
        """Ends the process at once."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
            self.world.record.add(f"{self.name} is killed")

    def lose_disk(self):
        """Empties the data folder of a process that has ended."""
        shutil.rmtree(self.data, ignore_errors=True)
        self.world.record.add(f"{self.name} has lost its disk")

    def log(self):
        """Returns what the process has written."""
        with open(os.path.join(self.world.folder, self.name + ".log")) as f:
            return f.read()


class Worker:
    """One worker. Its address stays when it starts again."""

    def __init__(self, world, number, seconds):
        self.world, self.seconds = world, seconds
        self.id = f"i-{number:08x}"
        # The pages promise `born` in the lists of runs only; without this the
        # answers to starts and stops name it too.
        self.names_life_always = True
        self.stop_s = STOP_S
        self.life = 0
        self.first_clock = 0  # of the first life; later ones begin at 0
        self.is_down = False
        self.addr = (f"{world.net}.1.{number}", world.port + 4)
        self.service = world.service
        self.begin()

    def begin(self):
        """Begins a life that knows nothing of an earlier one."""
        self.born = int(time.time() * 1000)
        self.zero = time.monotonic()
        self.token = self.until = self.number = self.seq = 0
        self.runs, self.over, self.ends = {}, {}, []
        self.changed = asyncio.Event()
        self.life += 1

    def crash(self):
        """Ends this life and all that it runs, without a word. Its connections
        stay silent; new ones get no answer until the next life begins."""
        self.is_down = True
        for task in list(self.runs):
            run, timer = self.runs.pop(task)
            timer.cancel()
            self.world.on_end(self, task, run, "lost")
        self.world.record.add(f"{self.id} is down")

    def restart(self):
        """Begins the next life under the same id."""
        self.begin()
        self.is_down = False
        self.world.record.add(f"{self.id} is up again, born {self.born}")

    def clock(self):
        """Returns this life's steady clock in ms."""
        return int((time.monotonic() - self.zero) * 1000) + (
            self.first_clock if self.life == 1 else 0)

    def describe(self):
        """Returns the body of a heartbeat."""
        self.seq += 1
        return {"service": self.service, "address": "%s:%d" % self.addr,
                "zone": "z1", "version": "v1", "slots": 8, "state": "ready",
                "coldLeftMs": 0, "born": self.born,
                "capacity": {"cpu": 16000, "memMb": 64000, "gpu": 0},
                "labels": ["a", "r1-1"], "clockMs": self.clock(),
                "seq": self.seq}

    async def serve(self):
        """Starts to listen, to send heartbeats and to watch the lease."""
        await asyncio.start_server(self.accept, *self.addr)
        asyncio.create_task(self.send_heartbeats())
        asyncio.create_task(self.watch_lease())

    async def send_heartbeats(self):
        """Sends heartbeats to the first core that acknowledges one."""
        while True:
            if self.is_down:
                while self.is_down:
                    await asyncio.sleep(0.01)
                await asyncio.sleep(HEARTBEAT_S)
                continue
            cores = list(self.world.cores)
            random.shuffle(cores)
            for core in cores:
                status, _ = await call(
                    core.addr, "POST", f"/-/Instances.Heartbeat/{self.id}",
                    self.describe(), timeout=1.0)
                if status == 200:
                    break
            life = self.life
            for _ in range(int(HEARTBEAT_S / 0.01)):
                await asyncio.sleep(0.01)
                if self.is_down or self.life != life:
                    break

    async def watch_lease(self):
        """Ends all runs when the lease has expired."""
        while True:
            await asyncio.sleep(0.02)
            if self.runs and self.clock() >= self.until:
                for task in list(self.runs):
                    self.end(task, self.runs[task][0], "lapsed")

    def end(self, task, run, how):
        """Ends a run."""
        if task not in self.runs or self.runs[task][0] != run:
            return
        self.runs.pop(task)[1].cancel()
        self.over[task] = max(run, self.over.get(task, 0))
        self.number += 1
        self.ends.append([self.number, task, run, how, ""])
        self.world.record.add(f"{self.id} ends {task} run {run}: {how}")
        self.world.on_end(self, task, run, how)
        self.changed.set()

    async def accept(self, reader, writer):
        """Answers the calls of one connection."""
        life = self.life
        try:
            while True:
                first, headers, body = await read_http(reader)
                if self.is_down or self.life != life:
                    await asyncio.sleep(60)
                    return
                path = first.split()[1]
                if headers.get("x-expect-instance", self.id) != self.id:
                    status, answer = 421, {}
                else:
                    status, answer = await self.answer(
                        path, json.loads(body or b"{}"))
                if self.is_down or self.life != life:
                    await asyncio.sleep(60)
                    return
                answer["clockMs"] = self.clock()
                if path == "/-/hold" or self.names_life_always:
                    answer["born"] = self.born
                data = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%b"
                    % (status, len(data), data))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, path, args):
        """Carries out a call; returns the status and the answer."""
        if args.get("fencingToken", 0) < self.token:
            return 409, {"reason": "fence"}
        self.token = args.get("fencingToken", 0)
        now = self.clock()
        if path == "/-/hold":
            self.renew(args, now)
            return await self.hold(args)
        task, run = args["task"], args["run"]
        if path == "/-/run-start":
            return self.start_run(task, run, args, now)
        if path == "/-/run-stop":
            self.over[task] = max(run, self.over.get(task, 0))
            if task in self.runs and self.runs[task][0] <= run:
                asyncio.get_running_loop().call_later(
                    self.stop_s, self.end, task, self.runs[task][0], "stopped")
        return 200, {}

    def renew(self, args, now):
        """Extends the lease."""
        self.until = max(self.until, min(
            args.get("untilMs", 0), now + HOLD_MAX_MS))

    def start_run(self, task, run, args, now):
        """Starts a run unless it is outdated, late or without room."""
        if task in self.runs and self.runs[task][0] == run:
            self.renew(args, now)
            return 200, {}
        if run <= self.over.get(task, 0):
            self.renew(args, now)
            return 409, {"reason": "old"}
        if args["untilMs"] <= now:
            return 409, {"reason": "late"}
        self.renew(args, now)
        if len(self.runs) >= 16:
            return 409, {"reason": "room"}
        self.world.record.add(f"{self.id} starts {task} run {run}")
        timer = asyncio.get_running_loop().call_later(
            self.seconds, self.end, task, run, "done")
        self.runs[task] = (run, timer)
        self.world.on_start(self, task, run)
        return 200, {}

    async def hold(self, args):
        """Forgets the ends that were taken note of, and answers with the
        lists, once there is an end or the wait is over."""
        cursor = args.get("ackCursor", 0)
        self.ends = [e for e in self.ends if e[0] > cursor]
        if not self.ends and args.get("waitMs", 0) > 0:
            self.changed.clear()
            try:
                await asyncio.wait_for(
                    self.changed.wait(), min(args["waitMs"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, {
            "running": [[t, r[0], "", 50, 1000]
                        for t, r in self.runs.items()],
            "finished": self.ends[:500]}


class World:
    """The processes and stand-ins of a case."""

    def __init__(self, folder, ncores, ngates):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp()
        self.net, self.port = self.choose_addresses()
        self.service = "svc"
        self.cuts = []  # functions of source and destination
        self.seeds = ",".join(
            f"{self.net}.2.{n}:{self.port + 2}" for n in (1, 2, 3))
        self.cores = [Instance(self, "core", n + 1) for n in range(ncores)]
        self.gates = [Instance(self, "gate", n + 1) for n in range(ngates)]
        self.others = []  # further instances, started by the case
        self.workers = []
        self.starts = []  # time, worker, task, run
        self.running = {}  # task -> {(worker id, run)}
        self.doubled = []  # tasks with two runs at the same time
        self.done = {}  # task -> time of its first end as done

    @staticmethod
    def choose_addresses():
        """Returns the first two numbers of free loopback addresses, and the
        first of five free ports."""
        for _ in range(100):
            net = f"127.{random.randint(20, 250)}"
            port = random.randint(11000, 30000)
            try:
                for kind, count in ((1, 9), (2, 7), (3, 3)):
                    for n in range(1, count + 1):
                        for offset in range(5):
                            with socket.socket() as s:
                                s.bind((f"{net}.{kind}.{n}", port + offset))
                return net, port
            except OSError:
                continue
        sys.exit(NOT_RUN)

    def is_cut(self, source, destination):
        """Tells whether bytes between two instances wait."""
        return any(cut(source, destination) for cut in self.cuts)

    async def start(self, nworkers, seconds):
        """Starts the processes and the workers, whose tasks take so long."""
        for i in self.cores + self.gates:
            await PeerProxy(
                i.ip, self.port, self.port + 1, self.is_cut).serve()
        for i in self.cores + self.gates:
            await i.start(found=i.kind == "core")
        for _ in range(nworkers):
            await self.add_worker(seconds)

    async def add_worker(self, seconds, first_clock=0):
        """Starts one more worker, whose steady clock shows this time in ms."""
        worker = Worker(self, len(self.workers) + 1, seconds)
        worker.first_clock = first_clock
        self.workers.append(worker)
        await worker.serve()
        return worker

    def on_start(self, worker, task, run):
        """Notes that a task begins."""
        self.starts.append((self.record.now(), worker.id, task, run))
        runs = self.running.setdefault(task, set())
        if runs:
            self.doubled.append(task)
            self.record.add(f"{task} runs twice: also {sorted(runs)}")
        runs.add((worker.id, run))

    def on_end(self, worker, task, run, how):
        """Notes that a task ends."""
        self.running.get(task, set()).discard((worker.id, run))
        if how == "done":
            self.done.setdefault(task, self.record.now())

    async def operator(self, method, path, body=None, cores=None,
                       timeout=1.0):
        """Makes one call of the operator; returns status and body."""
        core = random.choice(cores or self.cores)
        status, answer = await call(
            core.addr, method, path, body, timeout=timeout)
        what = f" version {body['version']}" if body else ""
        self.record.add(
            f"operator: {method} {path}{what} at {core.name}: {status}")
        return status, answer

    async def set_config(self, config, limit_s, cores=None):
        """Sends a configuration until it is acknowledged."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            status, _ = await self.operator(
                "POST", "/-/Config.Replace", config, cores)
            if status == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    async def client(self, gate, method, path, body=None, host="a.example",
                     deadline_ms=3000):
        """Makes one call of a client; returns status and body."""
        self.record.add(f"client: {method} {path} sent to {gate.name}")
        status, answer = await call(
            gate.addr, method, path, body,
            {"Host": host, "X-Deadline-Ms": str(deadline_ms)},
            timeout=deadline_ms / 1000)
        self.record.add(
            f"client: {method} {path} is answered {status} "
            f"{answer.decode('latin-1')}")
        return status, answer

    async def wait_until_ready(self, limit_s):
        """Waits until all gates are ready; tells whether they are."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            got = [await call((g.ip, self.port + 3), "GET", "/-/ready",
                              timeout=1.0) for g in self.gates]
            if all(status == 200 for status, _ in got):
                return True
            await asyncio.sleep(0.2)
        return False

    def find_leader(self):
        """Returns the core whose log says last that it leads."""
        best = None
        for core in self.cores + self.others:
            if core.process is None or core.process.returncode is not None:
                continue
            for line in core.log().splitlines():
                if "event=lead " in line:
                    token = int(line.split("token=")[1].split()[0])
                    if best is None or token > best[0]:
                        best = (token, core)
        return None if best is None else best[1]

    async def finish(self):
        """Ends all processes that the case has started."""
        for i in self.cores + self.gates + self.others:
            await i.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, service="svc"):
    """Returns a route of a configuration."""
    return {"name": name, "host": "a.example", "pathPrefix": prefix,
            "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 500,
            "priority": 0, "service": service, "maxAttempts": 3,
            "stretch": 2.0}


def config(version, routes):
    """Returns a configuration with one service."""
    return {"version": version, "routes": routes, "services": [
        {"name": "svc", "healthPath": "/health", "maxConns": 64,
         "protocol": "h1", "tls": False, "enforceCapacity": True,
         "spare": False}], "limits": {
             "maxHeaderBytes": 16384, "maxBodyBytes": 262144,
             "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


def new_job():
    """Returns the id of a new job."""
    return f"{random.getrandbits(64):016x}"


def job_body(count, estimate_ms):
    """Returns a job of one step."""
    return {"spec": "case", "steps": [
        {"count": count, "cpu": 1000, "memMb": 100,
         "estimateMs": estimate_ms}]}


def main(folder, case, limit_s=110):
    """Runs a case, which returns HELD, BROKEN or NOT_RUN, and exits."""

    async def run():
        task = asyncio.ensure_future(case(folder))
        # The case ends its processes also if it is told to stop.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(
                number, task.cancel)
        try:
            return await asyncio.wait_for(task, limit_s)
        except asyncio.CancelledError:
            return NOT_RUN
        except asyncio.TimeoutError:
            return NOT_RUN

    sys.exit(asyncio.run(run()))
