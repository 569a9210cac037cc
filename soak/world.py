"""Simulated workers, clients and an operator, and the guarantees that they
check."""

import asyncio
import json
import time

from proxy import Proxy

# Limits of the platform: an evacuation is in force so long after its
# acknowledgement; the operator sends an order again after RESEND_S, for at most
# ACK_S.
EVACUATE_S, RESEND_S, ACK_S = 5.0, 1.0, 5.0
# Without a configuration for so long the run has failed.
CONFIGURE_S = 60
ZONES = ("za", "zb", "zc")


async def read_message(reader):
    """Reads one HTTP message; returns its first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            key, value = line.split(":", 1)
            headers[key.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


async def call(addr, method, path, body=None, headers=(), timeout=3.0):
    """Sends one HTTP request on a new connection and returns the status and
    the body, or (None, b"") without an answer."""
    data = b"" if body is None else json.dumps(body).encode()
    head = f"{method} {path} HTTP/1.1\r\nContent-Length: {len(data)}\r\n"
    head += "".join(f"{k}: {v}\r\n" for k, v in headers)
    if "Host" not in dict(headers):
        head += "Host: soak\r\n"
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


class Ledger:
    """Records what clients and workers have seen. Every violation of a
    guarantee becomes a finding, which begins with its kind:

    TWICE    a task runs in two places, or again after it was done
    LOST     an accepted job is unknown, unfinished or wrongly cancelled
    REFUSED  a job has run although every submission was refused
    UNASKED  a job has run although its cancel was answered "unknown job"
    CONFIG   a configuration change was refused or has been lost
    EVACUATE an evacuation was refused, or a start reached a worker of a failure
             domain too long after its evacuation was acknowledged
    """

    def __init__(self):
        self.findings = []
        self.running = {}  # task -> id of the worker that runs it
        self.acknowledged = set()  # tasks whose end "done" was acknowledged
        self.started_jobs = set()  # ids of jobs that a worker started
        self.refused_jobs = set()  # ids of jobs refused at every attempt
        self.accepted_jobs = {}  # id -> "active", "cancelling", "cancelled"
        self.racing_jobs = set()  # ids of jobs cancelled during their POST
        self.unknown_jobs = set()  # ids of jobs whose cancel was answered 410
        self.durations = {}  # id of a job -> seconds that its tasks take
        self.start_count = 0
        # failure domain -> time of the acknowledgement of its evacuation
        self.evacuated = {}
        self.is_over = False  # the asyncio tasks of this soak end themselves

    def report(self, text):
        """Adds a finding with the monotonic time in seconds."""
        self.findings.append(f"{time.monotonic():.3f} {text}")

    def record_start(self, task, worker):
        """Records that a worker has started a task."""
        self.start_count += 1
        job = task.split(".")[0]
        self.started_jobs.add(job)
        if task in self.running:
            self.report(f"TWICE {task} on {worker} and {self.running[task]}")
        if task in self.acknowledged:
            self.report(f"TWICE {task} is started after its end was "
                        "acknowledged")
        self.running[task] = worker

    def check_domain(self, task, zone, arrived_at):
        """Checks that a start that arrived at this time may reach a worker of
        this failure domain."""
        since = self.evacuated.get(zone)
        if since is not None and arrived_at > since + EVACUATE_S:
            self.report(f"EVACUATE {task} reached {zone} "
                        f"{arrived_at - since:.3f} s after the acknowledgement")

    def record_end(self, task):
        """Records that a task doesn't run any more."""
        self.running.pop(task, None)


class Worker:
    """A simulated worker: runs tasks under leases and reports their ends.
    Faults can be switched on."""

    def __init__(self, net, number, ledger, rng, cores):
        self.id = f"i-{number:04d}"
        self.addr = (f"127.{net}.1.{number}", 18080)
        self.zone = "z"
        self.cold_until_s = 0.0
        self.proxy = Proxy(self.addr, (self.addr[0], 18081), rng)
        self.ledger, self.rng, self.cores = ledger, rng, cores
        self.is_cut_off = self.is_draining = False
        # Share of orders that get no answer and are carried out later.
        self.late_share = 0.0
        self.server = None
        self.begin_incarnation()

    def begin_incarnation(self):
        """Starts a new incarnation under the same id, without any state."""
        for task in list(getattr(self, "runs", {})):
            self.ledger.record_end(task)
        self.is_draining = False
        self.started_unix_ms = int(time.time() * 1000)
        self.clock_zero_s = time.monotonic()
        self.fencing_token = self.lease_end_ms = self.last_end_number = 0
        self.runs = {}  # task -> (run, timer of its end)
        self.ends = []  # [number, task, run, how, ""], oldest first
        # task -> its latest run that has ended or was stopped; neither this
        # nor an earlier one may start any more
        self.refused_runs = {}
        # Number of the last end after which the lease has lapsed.
        self.last_lapsed_end = 0
        self.end_added = asyncio.Event()
        self.incarnation = getattr(self, "incarnation", 0) + 1

    def clock_ms(self):
        """Returns the worker's clock: ms since this incarnation started."""
        return int((time.monotonic() - self.clock_zero_s) * 1000)

    async def serve(self):
        """Starts the server, its proxy, the heartbeats and the lease watch."""
        self.server = await asyncio.start_server(
            self.handle_connection, *self.proxy.target)
        await self.proxy.serve()
        asyncio.create_task(self.send_heartbeats())
        asyncio.create_task(self.watch_lease())

    async def send_heartbeats(self):
        """Sends a heartbeat every 0.5 s, to the first replica that
        accepts it."""
        seq = 0
        while not self.ledger.is_over:
            seq += 1
            body = {
                "service": "svc", "address": "%s:%d" % self.addr,
                "zone": self.zone, "coldLeftMs": max(0, int(
                    1000 * (self.cold_until_s - time.monotonic()))),
                "state": "draining" if self.is_draining else "ready",
                "born": self.started_unix_ms, "seq": seq,
                "capacity": {"cpu": 16000, "memMb": 64000},
                "labels": ["a", "r1", self.id], "clockMs": self.clock_ms(),
            }
            for core in self.rng.sample(self.cores, len(self.cores)):
                if self.is_cut_off:
                    break
                status, _ = await call(
                    core, "POST", f"/-/Instances.Heartbeat/{self.id}", body,
                    timeout=1.0)
                if status == 200:
                    break
            await asyncio.sleep(0.5)

    async def watch_lease(self):
        """Ends all runs when the lease lapses."""
        while not self.ledger.is_over:
            await asyncio.sleep(0.02)
            if self.runs and self.clock_ms() >= self.lease_end_ms:
                for task in list(self.runs):
                    self.end_run(task, "lapsed")

    def end_run(self, task, how):
        """Ends the current run of a task; how is done, failed, stopped or
        lapsed."""
        run, timer = self.runs.pop(task)
        timer.cancel()
        self.refused_runs[task] = max(run, self.refused_runs.get(task, 0))
        self.last_end_number += 1
        self.ends.append([self.last_end_number, task, run, how, ""])
        self.ledger.record_end(task)
        self.end_added.set()

    async def handle_connection(self, reader, writer):
        """Answers the requests of one connection, with the faults that are
        switched on. A request that outlasts its incarnation has no effect."""
        try:
            while not self.ledger.is_over:
                first, headers, body = await read_message(reader)
                arrived_at = time.monotonic()
                path, incarnation = first.split()[1], self.incarnation
                args = json.loads(body or b"{}")
                if self.is_cut_off:
                    await asyncio.sleep(30)
                    return
                if headers.get("x-expect-instance", self.id) != self.id:
                    await self.send_answer(writer, 421, b"")
                    continue
                order = path in ("/-/run-start", "/-/run-stop")
                if order and self.rng.random() < self.late_share:
                    await asyncio.sleep(self.rng.uniform(2, 6))
                    if incarnation == self.incarnation:
                        self.execute_order(path, args, arrived_at)
                    return
                if path == "/-/hold":
                    status, answer = await self.answer_poll(args)
                else:
                    status, answer = self.execute_order(
                        path, args, arrived_at)
                if self.is_cut_off or incarnation != self.incarnation:
                    return
                answer["clockMs"] = self.clock_ms()
                if path == "/-/hold":
                    answer["born"] = self.started_unix_ms
                await self.send_answer(
                    writer, status, json.dumps(answer).encode())
        except (OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass  # the soak has ended
        finally:
            writer.close()

    async def send_answer(self, writer, status, data):
        """Sends the answer to a request."""
        writer.write(b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%b"
                     % (status, len(data), data))
        await writer.drain()

    def renew_lease(self, args):
        """Renews the lease, by at most 10 s, unless the fencing token is
        outdated; tells whether the token was accepted."""
        if args.get("fencingToken", 0) < self.fencing_token:
            return False
        self.fencing_token = args.get("fencingToken", 0)
        if self.clock_ms() >= self.lease_end_ms:
            self.last_lapsed_end = self.last_end_number
        self.lease_end_ms = max(self.lease_end_ms, min(
            args.get("untilMs", 0), self.clock_ms() + 10000))
        return True

    async def answer_poll(self, args):
        """Forgets acknowledged ends and answers a long poll with the running
        and the ended tasks, once there is an end or its wait is over."""
        if not self.renew_lease(args):
            return 409, {"reason": "fence"}
        for end in self.ends:
            # An end doesn't count as acknowledged if the lease has lapsed
            # since: its task may have been assigned to another worker
            # (docs/platform.md).
            if (self.last_lapsed_end < end[0] <= args["ackCursor"]
                    and end[3] == "done"):
                self.ledger.acknowledged.add(end[1])
        self.ends = [e for e in self.ends if e[0] > args["ackCursor"]]
        if not self.ends and args.get("waitMs", 0) > 0:
            self.end_added.clear()
            try:
                await asyncio.wait_for(
                    self.end_added.wait(), args["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[t, r[0], "", 100] for t, r in self.runs.items()]
        return 200, {"running": running, "finished": self.ends[:500]}

    def execute_order(self, path, args, arrived_at):
        """Starts or stops a run; returns the status and the answer."""
        task, run = args["task"], args["run"]
        if not self.renew_lease(args):
            return 409, {"reason": "fence"}
        if path == "/-/run-stop":
            self.refused_runs[task] = max(run, self.refused_runs.get(task, 0))
            if task in self.runs and self.runs[task][0] <= run:
                self.end_run(task, "stopped")
        elif path == "/-/run-start":
            if task in self.runs and self.runs[task][0] == run:
                return 200, {}
            if run <= self.refused_runs.get(task, 0):
                return 409, {"reason": "old"}
            if args["untilMs"] <= self.clock_ms():
                return 409, {"reason": "late"}
            if len(self.runs) >= 16:
                return 409, {"reason": "room"}
            self.ledger.record_start(task, self.id)
            self.ledger.check_domain(task, self.zone, arrived_at)
            seconds, how = self.draw_end(task)
            timer = asyncio.get_running_loop().call_later(
                seconds, self.end_run, task, how)
            self.runs[task] = (run, timer)
        return 200, {}

    def draw_end(self, task):
        """Returns after how many seconds a run of a task ends, and how."""
        if task[:16] in self.ledger.durations:
            return self.ledger.durations[task[:16]], "done"
        how = "failed" if self.rng.random() < 0.02 else "done"
        return self.rng.uniform(0.1, 1.5), how

    async def send_leave(self, body):
        """Announces the leave to a replica; tells whether it was taken."""
        status, _ = await call(
            self.rng.choice(self.cores), "POST",
            f"/-/Instances.Leave/{self.id}", body, timeout=1.0)
        return status == 200

    async def leave(self, rng):
        """Leaves as planned and restarts. The notice may be repeated after the
        restart, as if it had been delayed."""
        incarnation = self.incarnation
        # The platform promises no body.
        body = ({"born": self.started_unix_ms} if int(self.id[-1]) % 2
                else None)
        self.is_draining = True
        await asyncio.sleep(rng.uniform(0.5, 2))
        acks_are_lost = rng.random() < 0.4
        until = time.monotonic() + rng.uniform(2, 5)
        while time.monotonic() < until and incarnation == self.incarnation:
            if await self.send_leave(body) and not acks_are_lost:
                break
            await asyncio.sleep(0.5)
        if incarnation == self.incarnation:
            self.crash()
        await asyncio.sleep(rng.uniform(0.5, 3))
        if rng.random() < 0.5:
            await self.send_leave(body)

    def crash(self):
        """Loses all state at once and restarts."""
        for _, timer in self.runs.values():
            timer.cancel()
        self.begin_incarnation()


class Client:
    """Submits jobs, cancels some and asks for their states."""

    def __init__(self, ledger, rng, gates):
        self.ledger, self.rng, self.gates = ledger, rng, gates
        self.headers = (("Host", "soak"), ("X-Deadline-Ms", "3000"))

    async def submit_random_job(self):
        """Submits a job of one or two steps; one in ten is cancelled."""
        job = f"{self.rng.getrandbits(64):016x}"
        steps = [{"count": self.rng.randint(1, 6), "cpu": 1000, "memMb": 10,
                  "estimateMs": 800}]
        if self.rng.random() < 0.4:
            steps.append(dict(steps[0], after=[0]))
        if await self.submit(job, {"spec": "soak", "steps": steps}):
            if self.rng.random() < 0.1:
                await self.cancel(job)

    async def submit_for(self, worker):
        """Submits a job that only this worker may run."""
        job = f"{self.rng.getrandbits(64):016x}"
        await self.submit(job, {"spec": "soak", "steps": [{
            "count": 1, "cpu": 1000, "memMb": 10, "estimateMs": 800,
            "constraints": worker.id}]})

    async def submit_and_cancel(self):
        """Submits a job and cancels it during the submission."""
        job = f"{self.rng.getrandbits(64):016x}"
        step = {"count": 2, "cpu": 1000, "memMb": 10, "estimateMs": 800}
        self.ledger.racing_jobs.add(job)
        await asyncio.gather(
            self.submit(job, {"spec": "soak", "steps": [step]}),
            self.cancel_during_submission(job))

    async def cancel_during_submission(self, job):
        """Sends one cancel up to 30 ms after the submission has begun."""
        await asyncio.sleep(self.rng.uniform(0, 0.03))
        status, _ = await call(
            self.rng.choice(self.gates), "DELETE", f"/q/{job}", None,
            self.headers)
        if status == 410:
            self.ledger.unknown_jobs.add(job)

    async def submit(self, job, body):
        """Submits a job in up to 8 attempts; tells whether it was accepted."""
        is_refused = True
        for attempt in range(8):
            status, _ = await call(
                self.rng.choice(self.gates), "POST", f"/q/{job}", body,
                self.headers)
            if status == 200:
                self.ledger.accepted_jobs.setdefault(
                    job, "cancelling" if job in self.ledger.racing_jobs
                    else "active")
                return True
            is_refused = is_refused and status in (429, 503)
            await asyncio.sleep(0.2 * (attempt + 1))
        if is_refused:
            self.ledger.refused_jobs.add(job)
        return False

    async def cancel(self, job):
        """Cancels an accepted job in up to 8 attempts."""
        self.ledger.accepted_jobs[job] = "cancelling"
        for _ in range(8):
            status, _ = await call(
                self.rng.choice(self.gates), "DELETE", f"/q/{job}", None,
                self.headers)
            if status == 200:
                self.ledger.accepted_jobs[job] = "cancelled"
                return
            await asyncio.sleep(0.3)

    async def fetch_state(self, job):
        """Returns the state of a job, "unknown job", or None without an
        answer."""
        status, body = await call(
            self.rng.choice(self.gates), "GET", f"/q/{job}", None,
            self.headers)
        if status == 410:
            return "unknown job"
        return json.loads(body)["state"] if status == 200 else None


class Operator:
    """Changes the configuration and checks that no change is lost."""

    def __init__(self, ledger, rng, cores):
        self.ledger, self.rng, self.cores = ledger, rng, cores
        self.acknowledged_version = 0
        self.last_version = 0
        self.services = [{"name": "svc", "enforceCapacity": True}]

    def config(self, version):
        """Returns a configuration; its route timeout tells the version."""
        route = {"name": "r", "host": "soak", "pathPrefix": "/q/",
                 "service": "svc", "timeoutMs": 3000 + version,
                 "targetLatencyMs": 500, "priority": 0, "maxAttempts": 6,
                 "stretch": 2.0}
        return {"version": version, "routes": [route],
                "services": self.services}

    async def change_config(self):
        """Replaces the configuration by one of a higher version."""
        self.last_version += self.rng.randint(1, 4)
        version = self.last_version
        for _ in range(10):
            status, _ = await call(
                self.rng.choice(self.cores), "POST", "/-/Config.Replace",
                self.config(version))
            if status == 200:
                self.acknowledged_version = max(
                    self.acknowledged_version, version)
                return
            if status in (400, 409, 412, 413, 422):
                self.ledger.report(f"CONFIG version {version} was refused with "
                                   f"{status}")
                return
            await asyncio.sleep(0.3)

    async def configure(self):
        """Sends configurations until one is acknowledged. The tries of one
        change end after 3 s, and on a busy machine the first leader may take
        longer; a refusal ends it, and so does CONFIGURE_S."""
        until = time.monotonic() + CONFIGURE_S
        while self.acknowledged_version == 0 and not self.ledger.findings:
            await self.change_config()
            if self.acknowledged_version == 0 and time.monotonic() > until:
                self.ledger.report("CONFIG none was acknowledged in "
                                   f"{CONFIGURE_S} s")

    async def check_config(self):
        """Checks that the version isn't older than one acknowledged before."""
        acknowledged = self.acknowledged_version
        status, body = await call(
            self.rng.choice(self.cores), "GET", "/-/Config.Read")
        if status == 200 and json.loads(body)["version"] < acknowledged:
            self.ledger.report(
                f"CONFIG version {acknowledged} was acknowledged, but "
                f"version {json.loads(body)['version']} was read")

    async def send_order(self, name, zone):
        """Sends an order about a failure domain, again to any replica until it
        is acknowledged or given up; tells whether it was acknowledged."""
        until = time.monotonic() + ACK_S
        while time.monotonic() < until:
            sent_at = time.monotonic()
            status, _ = await call(
                self.rng.choice(self.cores), "POST", f"/-/{name}/{zone}",
                timeout=RESEND_S)
            if status is not None and 200 <= status < 300:
                return True
            if status is not None and 400 <= status < 500:
                self.ledger.report(f"EVACUATE {name} {zone} was refused with "
                                   f"{status}")
                return False
            await asyncio.sleep(max(0, sent_at + RESEND_S - time.monotonic()))
        return False

    async def evacuate(self, zone, seconds, workers, rng):
        """Evacuates a failure domain and takes it back, which makes its workers
        cold; returns how long both orders took."""
        began_at = time.monotonic()
        if await self.send_order("Evacuate.Start", zone):
            self.ledger.evacuated[zone] = time.monotonic()
        took = [time.monotonic() - began_at]
        await asyncio.sleep(seconds)
        self.ledger.evacuated.pop(zone, None)
        began_at = time.monotonic()
        while not await self.send_order("Evacuate.Finish", zone):
            if self.ledger.is_over:
                return took
        for w in workers:
            if w.zone == zone:
                w.cold_until_s = time.monotonic() + rng.uniform(0, 3)
        return took + [time.monotonic() - began_at]
