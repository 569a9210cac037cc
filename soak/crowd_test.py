#!/usr/bin/env python3
"""Runs an entry instance and three replicas as processes on loopback, plays a
crowd of misbehaving clients against one of their addresses (crowd.py), and
checks that every process lives on, stays within its memory and descriptors, and
that ordinary requests are answered afterwards.

    crowd_test.py BINARY [TEST...] [--net N] [--keep DIR]
    crowd_test.py BINARY TEST --full --connections N --seconds S
    crowd_test.py --list

A test is named crowd-FORM-TARGET; without names all are run, one at a time. The
tests crowd-alone-TARGET have no crowd: they send single requests of the largest
legal size, whole, in small pieces and in chunks, and expect them to be served.
With --full the limits are those of the reference deployments, for runs by hand
with large crowds, one test at a time. Prints one line per test; the exit status
is 1 if one failed.

Bounds: the peak resident memory of a process (VmHWM) is at most its setting
`memory`; its open descriptors are at most its setting `descriptors` less the
200 that the platform reserves (FDPLAN_RESERVED).
"""

import argparse
import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

FORMS = ("stops-short", "small-pieces", "chunks", "over-limit", "short-fields",
         "pipelined", "slow-senders", "slow-readers", "half-way")
ALONE = "alone"
# Its server has few connections: fewer than may wait to be accepted.
METRICS = "crowd-stops-short-metrics"
TARGETS = ("route", "no-route", "readiness", "control")

RESERVED_DESCRIPTORS = 200
# An idle entry instance needs 10 MB. An idle replica needs 14 MB, and 19 MB with
# the configuration of these tests.
SMALL = {"gate": {"memory": 48, "descriptors": 400},
         "core": {"memory": 56, "descriptors": 1000}}
FULL = {"gate": {"memory": 160, "descriptors": 4100},
        "core": {"memory": 384, "descriptors": 4096}}
# Largest legal body at each target.
LIMITS = {"route": 256 * 1024, "no-route": 256 * 1024, "readiness": 1024,
          "metrics": 1024, "control": 4 * 1024 * 1024}
# Sizes of the headers and of the pieces of a legal request.
LEGAL_HEADERS, LEGAL_PIECE = 15 * 1024, 1024
# More connections than an entry instance may have descriptors, and nearly as
# many as the descriptors of a replica leave to its control address.
CONNECTIONS = {"route": 300, "no-route": 300, "readiness": 300, "metrics": 100,
               "control": 180}
# Each whole body takes processor time, so that fewer are sent.
FIELDS_CONNECTIONS = {"route": 120, "no-route": 120, "readiness": 300,
                      "control": 24}
# How long a crowd plays at most, and how long once all is sent.
SECONDS, HOLD_S = 3.0, 0.4
SLOW_HOLD_S = 1.0  # with bytes that are sent or read one by one
# Large answers that aren't read reach the address from the leader one by one.
ANSWERS_HOLD_S, ANSWERS_SECONDS = 3.0, 5.0
SOURCES = 8
# Runs beside each other take different nets, up to so many.
NETS = 8
START_S, ANSWER_S, REQUEST_S = 60, 15, 3
# Padding of the configuration, which slow readers of the control address ask
# for.
CONFIG_PAD = 900 * 1024


class Failure(Exception):
    """A check that failed."""


class Process:
    """A process of the system, with what was seen of it."""

    def __init__(self, binary, role, name, settings, folder):
        self.name, self.role = name, role
        file = os.path.join(folder, name + ".ini")
        with open(file, "w") as f:
            f.write("[instance]\n")
            f.writelines(f"{k} = {v}\n" for k, v in settings.items())
        self.memory_mb = settings["memory"]
        self.descriptors = settings["descriptors"] - RESERVED_DESCRIPTORS
        self.most_descriptors = 0
        self.log = open(os.path.join(folder, name + ".log"), "ab")
        self.child = subprocess.Popen(
            [binary, role, "-c", file], stdout=self.log, stderr=self.log)

    def is_alive(self):
        """Tells whether the process runs."""
        return self.child.poll() is None

    def count_descriptors(self):
        """Counts the open descriptors and keeps the most."""
        try:
            n = len(os.listdir(f"/proc/{self.child.pid}/fd"))
        except OSError:
            return
        self.most_descriptors = max(self.most_descriptors, n)

    def peak_mb(self):
        """Returns the peak resident memory in MB, 0 once it has ended."""
        try:
            with open(f"/proc/{self.child.pid}/status") as f:
                for line in f:
                    if line.startswith("VmHWM:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0

    def stop(self):
        """Ends the process."""
        if self.is_alive():
            self.child.kill()
        self.child.wait()
        self.log.close()

    def check(self):
        """Returns what is wrong with the process, as texts."""
        if not self.is_alive():
            return [f"{self.name} has ended with {self.child.returncode}"]
        found = []
        if self.peak_mb() > self.memory_mb:
            found.append(f"{self.name} needed {self.peak_mb():.1f} MB "
                         f"(bound {self.memory_mb})")
        if self.most_descriptors > self.descriptors:
            found.append(f"{self.name} had {self.most_descriptors} "
                         f"descriptors (bound {self.descriptors})")
        return found


def request(source, address, method, path, body=None):
    """Sends one request on a new connection; returns its status, or None
    without an answer."""
    connection = http.client.HTTPConnection(
        *address, timeout=REQUEST_S, source_address=(source, 0))
    try:
        headers = {"Host": "crowd", "X-Deadline-Ms": str(REQUEST_S * 1000)}
        connection.request(method, path, body, headers)
        answer = connection.getresponse()
        answer.read()
        return answer.status
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def send_legal(source, address, path, body, way):
    """Sends one request with large headers and a body, "whole", in "pieces" or
    in "chunks"; returns its status, or None without an answer."""
    head = f"POST {path} HTTP/1.1\r\nHost: crowd\r\n"
    head += "Transfer-Encoding: chunked\r\n" if way == "chunks" else \
        f"Content-Length: {len(body)}\r\n"
    head += ("X-Pad: " + "p" * 991 + "\r\n") * (
        (LEGAL_HEADERS - len(head)) // 1000)
    pieces = [body[i:i + LEGAL_PIECE]
              for i in range(0, len(body), LEGAL_PIECE)]
    if way == "whole":
        pieces = [body]
    elif way == "chunks":
        pieces = [b"%x\r\n%b\r\n" % (len(p), p) for p in pieces]
        pieces.append(b"0\r\n\r\n")
    try:
        with socket.create_connection(address, 10, (source, 0)) as s:
            s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            s.sendall(head.encode() + b"\r\n")
            try:
                for piece in pieces:
                    s.sendall(piece)
            except OSError:
                pass  # the answer may have been sent before the end
            answer = s.makefile("rb").readline()
        return int(answer.split()[1])
    except (OSError, IndexError):
        return None


def wait_for(what, seconds, function):
    """Waits until a function returns true."""
    end = time.monotonic() + seconds
    while True:
        if function():
            return
        if time.monotonic() > end:
            raise Failure(f"{what} within {seconds} s")
        time.sleep(0.02)


class System:
    """Three replicas and an entry instance."""

    def __init__(self, args, folder):
        self.args, self.folder = args, folder
        self.limits = SMALL
        self.net = f"127.{args.net}"
        self.cores, self.gate = [], None
        self.cores_are_sound = True  # no check of theirs has failed
        self.starts = self.jobs = 0

    def settings(self, role, ip, more):
        """Returns the settings of a process."""
        seeds = ",".join(f"{self.net}.1.{n}:8166" for n in (1, 2, 3))
        common = {"name": f"{role}-{ip}", "ip": ip, "domain": "z" + ip[-1],
                  "peer_port": 7720, "seeds": seeds, "tolerate": 1,
                  "metrics": f"{ip}:9464"}
        return {**common, **self.limits[role], **more}

    def start(self):
        """Starts the processes that don't run, the entry instance always
        anew, and waits until a job is accepted."""
        self.starts += 1
        if not self.cores:
            self.cores_are_sound = True
            for n in (1, 2, 3):
                ip = f"{self.net}.1.{n}"
                data = os.path.join(self.folder, f"data-{self.starts}-{n}")
                self.cores.append(Process(
                    self.args.binary, "core", f"core-{n}",
                    self.settings("core", ip, {
                        "found": "true", "counted": "true", "data": data,
                        "control": f"{ip}:8166"}), self.folder))
            wait_for("no configuration", START_S, self.configure)
        ip = f"{self.net}.2.1"
        self.gate = Process(
            self.args.binary, "gate", "gate-1",
            self.settings("gate", ip, {
                "clients": f"{ip}:8161", "readiness": f"{ip}:8167"}),
            self.folder)
        wait_for("not ready", START_S, self.is_ready)
        wait_for("no job accepted", START_S, self.submit)

    def processes(self):
        """Returns the processes that were started."""
        return self.cores + ([] if self.gate is None else [self.gate])

    def stop(self, cores):
        """Ends the entry instance, and the replicas if told to."""
        if self.gate is not None:
            self.gate.stop()
            self.gate = None
        if cores:
            for p in self.cores:
                p.stop()
            self.cores = []

    def ask(self, address, method, path, body=None):
        """Sends an ordinary request, from an address outside the crowd."""
        return request(f"{self.net}.9.200", address, method, path, body)

    def configure(self):
        """Sets a configuration with one route; true once it is accepted."""
        route = {"name": "work", "host": "crowd", "pathPrefix": "/work/",
                 "service": "svc", "timeoutMs": 3000, "priority": 0,
                 "targetLatencyMs": 1000, "maxAttempts": 3}
        body = {"version": 1, "routes": [route], "pad": "x" * CONFIG_PAD,
                "services": [{"name": "svc"}]}
        return self.ask((f"{self.net}.1.2", 8166), "POST",
                        "/-/Config.Replace", json.dumps(body)) == 200

    def submit(self):
        """Submits a job; true if it is accepted."""
        self.jobs += 1
        step = {"count": 1, "cpu": 100, "memMb": 1, "estimateMs": 500}
        return self.ask(
            (f"{self.net}.2.1", 8161), "POST", f"/work/{self.jobs:016x}",
            json.dumps({"spec": "x", "steps": [step]})) == 200

    def read_config(self):
        """Reads the configuration; true if it is answered."""
        return self.ask((f"{self.net}.1.1", 8166), "GET",
                        "/-/Config.Read") == 200

    def read_metrics(self):
        """Reads the metrics of the entry instance; true if answered."""
        return self.ask((f"{self.net}.2.1", 9464), "GET", "/metrics") == 200

    def is_ready(self):
        """Tells whether the entry instance reports that it is ready."""
        return self.ask((f"{self.net}.2.1", 8167), "GET", "/-/ready") == 200


def take_net(first):
    """Returns the number of a net 127.N that no other run uses, from the given
    one on, and the socket that keeps it."""
    for net in range(first, first + NETS):
        keeper = socket.socket()
        try:
            keeper.bind((f"127.{net}.9.250", 8161))
            return net, keeper
        except OSError:
            keeper.close()
    raise Failure(f"the nets from 127.{first} on are in use")


def duration(args, form, target):
    """Returns how long a crowd holds its connections and plays at most."""
    if target == "control" and form in ("pipelined", "slow-readers"):
        return ANSWERS_HOLD_S, max(args.seconds, ANSWERS_SECONDS)
    if form.startswith("slow"):
        return SLOW_HOLD_S, args.seconds
    return HOLD_S, args.seconds


def crowd_command(args, system, form, target):
    """Returns the command of a crowd."""
    address, path, read = {
        "route": (f"{system.net}.2.1:8161", "/work/JOB", "/work/JOB"),
        "no-route": (f"{system.net}.2.1:8161", "/nowhere/JOB", "/nowhere/JOB"),
        "readiness": (f"{system.net}.2.1:8167", "/-/ready", "/-/ready"),
        "metrics": (f"{system.net}.2.1:9464", "/metrics", "/metrics"),
        "control": (f"{system.net}.1.1:8166", "/-/Config.Replace",
                    "/-/Config.Read")}[target]
    number = args.connections
    if number is None:
        by_target = \
            FIELDS_CONNECTIONS if form == "short-fields" else CONNECTIONS
        number = by_target[target]
    hold, seconds = duration(args, form, target)
    if args.full:
        hold = seconds
    sources = ",".join(f"{system.net}.9.{n + 1}" for n in range(SOURCES))
    script = os.path.join(os.path.dirname(os.path.abspath(__file__)),
                          "crowd.py")
    return [sys.executable, script, form, address, "--path", path, "--read",
            read, "--limit", str(LIMITS[target]), "--connections", str(number),
            "--sources", sources, "--seconds", str(seconds), "--hold",
            str(hold)]


def play(args, system, form, target):
    """Plays a crowd; returns what it reports."""
    crowd = subprocess.Popen(crowd_command(args, system, form, target),
                             stdout=subprocess.PIPE, text=True)
    try:
        while crowd.poll() is None:
            for p in system.processes():
                p.count_descriptors()
            time.sleep(0.01)
        return crowd.stdout.read().strip()
    finally:
        if crowd.poll() is None:
            crowd.kill()
        crowd.wait()
        crowd.stdout.close()


def fill(document, size):
    """Returns a document that a member without a meaning fills to this size."""
    text = json.dumps(document)[:-1] + ', "more": "'
    return (text + "a" * (size - len(text) - 2) + '"}').encode()


def send_alone(system, target):
    """Sends legal requests one by one; returns what is reported."""
    step = {"count": 1, "cpu": 100, "memMb": 1, "estimateMs": 500}
    job = {"spec": "x", "steps": [step]}
    worker = {"service": "svc", "address": "127.0.0.1:9", "zone": "z",
              "version": "v1", "slots": 8, "state": "ready", "labels": [],
              "capacity": {"cpu": 16000, "memMb": 32768}, "born": 1}
    address, path, document, expected = {
        "route": ((f"{system.net}.2.1", 8161), "/work/%016x", job, 200),
        "no-route": ((f"{system.net}.2.1", 8161), "/nowhere/%016x", job, 404),
        "readiness": ((f"{system.net}.2.1", 8167), "/-/ready?%x", {}, 200),
        "control": ((f"{system.net}.1.1", 8166), "/-/Instances.Heartbeat/i-%x",
                    worker, 200)}[target]
    body = fill(document, LIMITS[target])
    statuses = []
    for way in ("whole", "pieces", "chunks"):
        system.jobs += 1
        status = send_legal(f"{system.net}.9.200", address,
                            path % system.jobs, body, way)
        statuses.append(f"{way}={status}")
        if status != expected:
            raise Failure(f"a legal request is answered with {status} ({way})")
    return " ".join(statuses)


def run_test(args, system, form, target):
    """Runs one test; returns what failed, as texts, and the figures."""
    found, report = [], ""
    try:
        system.start()
        report = send_alone(system, target) if form == ALONE else \
            play(args, system, form, target)
        for what, function in (
                ("no configuration read", system.read_config),
                ("not ready again", system.is_ready),
                ("no metrics read", system.read_metrics),
                ("no job accepted", system.submit)):
            wait_for(what, ANSWER_S, function)
    except Failure as e:
        found.append(str(e))
        system.cores_are_sound = False
    for p in system.processes():
        findings = p.check()
        found += findings
        if findings and p in system.cores:
            system.cores_are_sound = False
    figures = " ".join(
        f"{p.name}={p.peak_mb():.1f}MB/{p.most_descriptors}fd"
        for p in system.processes())
    return found, f"{figures} {report}"


def main():
    """Runs the tests that the command line names."""
    names = [f"crowd-{f}-{t}" for t in TARGETS for f in FORMS]
    names += [f"crowd-{ALONE}-{t}" for t in TARGETS] + [METRICS]
    parser = argparse.ArgumentParser()
    parser.add_argument("binary", nargs="?")
    parser.add_argument("--list", action="store_true",
                        help="print the names of the tests and end")
    parser.add_argument("tests", nargs="*", metavar="TEST")
    parser.add_argument("--net", type=int, default=41,
                        help="first net 127.NET to try")
    parser.add_argument("--keep", help="folder that logs are copied to")
    parser.add_argument("--full", action="store_true",
                        help="limits of the reference deployments")
    parser.add_argument("--connections", type=int)
    parser.add_argument("--seconds", type=float, default=SECONDS)
    args = parser.parse_intermixed_args()
    if args.list:
        print("\n".join(names))
        return
    if args.binary is None:
        parser.error("no binary given")
    unknown = set(args.tests) - set(names)
    if unknown:
        parser.error(f"unknown: {', '.join(sorted(unknown))}")
    failed = 0
    # The processes are ended, too, when this one is told to end.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    args.net, keeper = take_net(args.net)
    folder = tempfile.mkdtemp()
    system = System(args, folder)
    try:
        for name in args.tests or names:
            target = "no-route" if name.endswith("-no-route") else \
                name.rsplit("-", 1)[1]
            form = name[len("crowd-"):-len(target) - 1]
            limits = FULL if args.full or form == ALONE else SMALL
            if limits is not system.limits:
                system.stop(cores=True)
                system.limits = limits
            start = time.monotonic()
            found, figures = run_test(args, system, form, target)
            failed += bool(found)
            print(f"{'FAILED' if found else 'ok'} {name} "
                  f"({time.monotonic() - start:.1f} s) "
                  f"{'; '.join(found + [figures])}", flush=True)
            # An election takes over a second: replicas that a crowd hasn't
            # reached serve the next test.
            system.stop(cores=not system.cores_are_sound or
                        target == "control" or form == "short-fields")
    finally:
        system.stop(cores=True)
        if args.keep:
            shutil.copytree(folder, args.keep, dirs_exist_ok=True,
                            ignore=shutil.ignore_patterns("data-*"))
        shutil.rmtree(folder)
        keeper.close()
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
