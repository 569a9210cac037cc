#!/usr/bin/env python3
"""Plays a crowd of misbehaving HTTP clients of one form against one address.

    crowd.py FORM IP:PORT [--path PATH] [--read PATH] [--limit BYTES]
        [--connections N] [--sources IP,IP] [--seconds S] [--hold S]

Forms:
    stops-short    bodies of legal size that stop one byte short and stay open
    small-pieces   the same, sent in small pieces
    chunks         the same, in chunks without the last one
    over-limit     bodies far over the limit
    short-fields   bodies of legal size made of very many short fields
    pipelined      requests sent ahead without reading the answers
    slow-senders   clients that send their headers or body byte by byte
    slow-readers   requests sent ahead whose answers are read byte by byte
    half-way       clients that stop part-way, and stay open or disconnect

A connection that the server closes is opened again after a pause. The crowd
plays until each connection has sent all that it sends at once or was closed,
and then for the seconds of --hold, but no longer than --seconds. Prints one
line with counts at the end.
"""

import argparse
import collections
import heapq
import os
import select
import socket
import struct
import time

REOPEN_S = 0.25
# Between the bytes of a slow sender or slow reader.
SLOW_S = 0.05
# A body in small pieces is sent in so many; on one connection at least this
# large each.
PIECES, PIECE_MIN = 512, 64
# Bodies over the limit end at this multiple of it.
OVER = 8
# Padding that brings the headers of a request near the 16 KB allowed.
HEADER_PAD = 12000
PIPELINED = 2000
SLOW_READ = 100
RECV_BUFFER = 4096

READ_ALL, READ_NONE, READ_SLOWLY = range(3)
HOLD, RESET, SHUT = "hold", "reset", "shut"

Form = collections.namedtuple("Form", "script reading")


def pad_headers(size=HEADER_PAD):
    """Returns header fields of about this many bytes."""
    line = b"X-Pad: " + b"p" * 991 + b"\r\n"
    return line * (size // len(line))


def head(args, number, more, method=b"POST"):
    """Returns the headers of a request, up to the empty line."""
    path = args.path.replace("JOB", f"{0xc000000000000000 + number:016x}")
    return b"%s %s HTTP/1.1\r\nHost: crowd\r\n%s%s\r\n" % (
        method, path.encode(), more, pad_headers())


def length(size):
    """Returns the header of a body of this many bytes."""
    return b"Content-Length: %d\r\n" % size


def send_in_pieces(body, size, end):
    """Yields pieces of a body up to a position."""
    for i in range(0, end, size):
        yield body[i:min(i + size, end)]


def send_slowly(data):
    """Yields bytes with pauses."""
    for i in range(len(data)):
        yield data[i:i + 1]
        yield SLOW_S


def stop_short(args, number):
    """A body without its last byte, in one piece."""
    yield head(args, number, length(args.limit))
    yield args.text[:-1]
    yield HOLD


def stop_short_in_pieces(args, number):
    """A body without its last byte, in small pieces."""
    yield head(args, number, length(args.limit))
    yield from send_in_pieces(args.text, args.piece, args.limit - 1)
    yield HOLD


def send_chunks(args, number):
    """A body in chunks without the last one."""
    yield head(args, number, b"Transfer-Encoding: chunked\r\n")
    for piece in send_in_pieces(args.text, args.piece, args.limit - 1):
        yield b"%x\r\n%s\r\n" % (len(piece), bytes(piece))
    yield HOLD


def exceed_limit(args, number):
    """A body far over the limit: every second client declares its size, the
    others send chunks."""
    if number % 2 == 0:
        yield head(args, number, length(args.limit * 400))
        for _ in range(OVER):
            yield args.text
        yield HOLD
    yield head(args, number, b"Transfer-Encoding: chunked\r\n")
    for _ in range(OVER):
        yield b"%x\r\n" % args.limit
        yield args.text
        yield b"\r\n"
    yield HOLD


def make_fields(kind, size):
    """Returns an object of exactly this many bytes that consists of very many
    short fields, objects or numbers."""
    if kind == 0:  # members of the object itself
        begin, end = b'{"spec":"x"', b"}"
        room = max(0, size - len(begin) - len(end))
        parts, used, i = [], 0, 0
        while used < room - 16:
            parts.append(b',"%x":1' % i)
            used += len(parts[-1])
            i += 1
        middle = b"".join(parts)
    elif kind == 1:  # empty objects
        begin, end = b'{"x":[{}', b"]}"
        room = max(0, size - len(begin) - len(end))
        middle = b",{}" * (room // 3)
    else:  # steps that wait for the same step again and again
        begin = b'{"spec":"x","steps":[{"count":1,"estimateMs":1,"cpu":1,' \
            b'"memMb":1},{"count":1,"after":[0'
        end = b"]}]}"
        room = max(0, size - len(begin) - len(end))
        middle = b",0" * (room // 2)
    return begin + middle + b" " * (room - len(middle)) + end


def send_fields(args, number):
    """Whole bodies of very many short fields."""
    body = args.fields[number % len(args.fields)]
    while True:
        yield head(args, number, length(len(body)))
        yield memoryview(body)
        yield 0.2


def get(args, number):
    """Returns a request that reads."""
    return b"GET %s HTTP/1.1\r\nHost: crowd\r\n\r\n" % args.read.replace(
        "JOB", f"{0xc000000000000000 + number:016x}").encode()


def send_ahead(args, number):
    """Many requests whose answers are never read."""
    request = get(args, number)
    for _ in range(PIPELINED // 20):
        yield request * 20
    yield HOLD


def send_slow(args, number):
    """Headers, or the last part of a body, byte by byte."""
    data = head(args, number, length(args.limit))
    if number % 4 == 0:
        yield data[:-200]
        yield from send_slowly(data[-200:])
    else:
        yield data
        sent = args.limit * 3 // 4
        yield args.text[:sent]
        yield from send_slowly(args.text[sent:-1])
    yield HOLD


def read_slow(args, number):
    """Requests whose answers are read byte by byte."""
    yield get(args, number) * SLOW_READ
    yield HOLD


def stop_half_way(args, number):
    """Part of the headers or of the body. Some disconnect then, some close
    their side, most stay open."""
    data = head(args, number, length(args.limit))
    if number % 8 == 0:
        yield data[:len(data) // 2]
        yield HOLD
    yield data
    yield args.text[:args.limit * 3 // 4]
    yield {1: RESET, 2: SHUT}.get(number % 8, HOLD)
    yield HOLD


FORMS = {
    "stops-short": Form(stop_short, READ_ALL),
    "small-pieces": Form(stop_short_in_pieces, READ_ALL),
    "chunks": Form(send_chunks, READ_ALL),
    "over-limit": Form(exceed_limit, READ_ALL),
    "short-fields": Form(send_fields, READ_ALL),
    "pipelined": Form(send_ahead, READ_NONE),
    "slow-senders": Form(send_slow, READ_ALL),
    "slow-readers": Form(read_slow, READ_SLOWLY),
    "half-way": Form(stop_half_way, READ_ALL),
}


class Client:
    """One connection of the crowd, opened again when it is closed."""

    def __init__(self, crowd, number):
        self.crowd, self.number = crowd, number
        self.sock = None
        self.is_settled = False  # has nothing more to send at once
        self.generation = 0

    def open(self):
        """Starts to connect."""
        args = self.crowd.args
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.crowd.form.reading != READ_ALL:
            self.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECV_BUFFER)
        self.sock.bind((args.sources[self.number % len(args.sources)], 0))
        self.sock.connect_ex(args.address)
        self.generation += 1
        self.script = self.crowd.form.script(args, self.number)
        self.data = b""
        self.is_waiting = False  # for a time, or for good
        self.crowd.add(self)
        if self.crowd.form.reading == READ_SLOWLY:
            self.crowd.call_in(SLOW_S, self.read_byte, self.generation)

    def close(self, reset=False):
        """Closes the connection and opens it again later."""
        if self.sock is None:
            return
        if reset:
            self.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.crowd.remove(self)
        self.sock.close()
        self.sock = None
        self.generation += 1
        self.settle()
        self.crowd.counts["closed"] += 1
        self.crowd.call_in(REOPEN_S, self.reopen, self.generation)

    def reopen(self, generation):
        """Opens the connection again unless it is open."""
        if self.sock is None and generation == self.generation:
            self.open()

    def settle(self):
        """Notes that nothing more is sent at once."""
        if not self.is_settled:
            self.is_settled = True
            self.crowd.settled += 1

    def resume(self, generation):
        """Sends on after a pause."""
        if generation == self.generation and self.sock is not None:
            self.is_waiting = False
            self.crowd.update(self)

    def read_byte(self, generation):
        """Reads one byte of a slow reader."""
        if generation == self.generation and self.sock is not None:
            self.read(1)
            self.crowd.call_in(SLOW_S, self.read_byte, generation)

    def read(self, size):
        """Reads what has arrived; closes at the end of the connection."""
        try:
            data = self.sock.recv(size)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        if data:
            self.crowd.counts["received"] += len(data)
        else:
            self.close()

    def take_step(self):
        """Takes the next step of the script once all data are sent."""
        step = next(self.script)
        if step is HOLD:
            self.is_waiting = True
            self.settle()
        elif step is RESET:
            self.close(reset=True)
        elif step is SHUT:
            self.sock.shutdown(socket.SHUT_WR)
        elif isinstance(step, float):
            self.is_waiting = True
            self.settle()
            self.crowd.call_in(step, self.resume, self.generation)
        else:
            self.data = step

    def note_blocked(self):
        """A client that doesn't read has sent all that it can once the server
        stops reading."""
        if self.crowd.form.reading != READ_ALL:
            self.settle()

    def write(self):
        """Sends what the socket takes; takes at most one step, so that the
        pieces of all connections arrive in turn."""
        try:
            if len(self.data) == 0:
                self.take_step()
                if self.sock is None:
                    return
            if len(self.data) > 0:
                n = self.sock.send(self.data)
                self.crowd.counts["sent"] += n
                self.data = self.data[n:]
                if len(self.data) > 0:
                    self.note_blocked()
        except (BlockingIOError, InterruptedError):
            self.note_blocked()
        except OSError:
            self.close()
            return
        self.crowd.update(self)


class Crowd:
    """All connections and the event loop."""

    def __init__(self, args):
        self.args = args
        self.form = FORMS[args.form]
        self.epoll = select.epoll()
        self.by_fd = {}
        self.timers = []
        self.settled = 0
        self.counts = collections.Counter()
        self.order = 0

    def call_in(self, seconds, function, *arguments):
        """Calls a function later."""
        self.order += 1
        heapq.heappush(self.timers, (
            time.monotonic() + seconds, self.order, function, arguments))

    def events(self, client):
        """Returns the events that a connection waits for."""
        mask = 0 if client.is_waiting else select.EPOLLOUT
        return mask | (select.EPOLLIN if self.form.reading == READ_ALL else 0)

    def add(self, client):
        """Watches a new connection."""
        self.counts["opened"] += 1
        self.by_fd[client.sock.fileno()] = client
        self.epoll.register(client.sock.fileno(), self.events(client))

    def update(self, client):
        """Changes what a connection waits for."""
        if client.sock is not None:
            self.epoll.modify(client.sock.fileno(), self.events(client))

    def remove(self, client):
        """Stops to watch a connection."""
        self.epoll.unregister(client.sock.fileno())
        del self.by_fd[client.sock.fileno()]

    def run_timers(self):
        """Makes the calls that are due."""
        while self.timers and self.timers[0][0] <= time.monotonic():
            _, _, function, arguments = heapq.heappop(self.timers)
            function(*arguments)

    def handle(self, fd, events):
        """Handles what happened to a connection."""
        client = self.by_fd.get(fd)
        if client is None:
            return
        if events & select.EPOLLERR:
            client.close()
        elif events & select.EPOLLHUP and self.form.reading != READ_ALL:
            client.close()
        elif events & (select.EPOLLIN | select.EPOLLHUP):
            client.read(65536)
            if client.sock is not None and events & select.EPOLLOUT:
                client.write()
        elif events & select.EPOLLOUT:
            client.write()

    def run(self):
        """Plays the form until its end."""
        clients = [Client(self, n) for n in range(self.args.connections)]
        for client in clients:
            client.open()
        end = time.monotonic() + self.args.seconds
        while time.monotonic() < end:
            for fd, events in self.epoll.poll(0.02, 256):
                self.handle(fd, events)
            self.run_timers()
            if self.settled == len(clients):
                end = min(end, time.monotonic() + self.args.hold)
                self.settled = -1
        self.counts["open_at_end"] = len(self.by_fd)


def parse_address(text):
    """Returns the pair of an address IP:PORT."""
    ip, port = text.rsplit(":", 1)
    return ip, int(port)


def parse_arguments():
    """Returns the arguments, with the bodies that all connections share."""
    parser = argparse.ArgumentParser()
    parser.add_argument("form", choices=FORMS)
    parser.add_argument("address", type=parse_address)
    parser.add_argument("--path", default="/", help="JOB becomes an id")
    parser.add_argument("--read", default="/", help="path that is read")
    parser.add_argument("--limit", type=int, default=262144,
                        help="largest legal body in bytes")
    parser.add_argument("--connections", type=int, default=100)
    parser.add_argument("--sources", default="127.0.0.1",
                        help="addresses that the connections come from")
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--hold", type=float, default=0.4)
    args = parser.parse_args()
    args.sources = args.sources.split(",")
    text = b'{"pad":"'
    text += b"a" * (args.limit - len(text) - 2) + b'"}'
    args.text = memoryview(text)
    args.piece = max(PIECE_MIN, args.limit // PIECES)
    args.fields = []
    if args.form == "short-fields":
        args.fields = [make_fields(k, args.limit) for k in range(3)]
    return args


if __name__ == "__main__":
    crowd = Crowd(parse_arguments())
    crowd.run()
    print(" ".join(f"{k}={v}" for k, v in sorted(crowd.counts.items())),
          flush=True)
    # Closing thousands of connections one by one would take long.
    os._exit(0)
