"""A TCP proxy on loopback that injects network faults: delay, silence,
resets and loss in one direction."""

import asyncio

# delay    each chunk of data arrives late
# silent   no data passes in either direction
# one_way  no data passes from the client to the target
# mute     like silent, for ever, but only for the connections open now
# reset    the connections open now are reset
MODES = ("delay", "silent", "one_way", "mute", "reset")


class Connection:
    """The two ends of a forwarded connection."""

    def __init__(self, client_writer, target_writer):
        self.writers = (client_writer, target_writer)
        self.is_muted = False


class Proxy:
    """Forwards the connections of one address to another address."""

    def __init__(self, listen, target, rng):
        self.listen, self.target, self.rng = listen, target, rng
        self.mode = None
        self.conns = []
        self.server = None

    async def serve(self):
        """Starts to listen."""
        self.server = await asyncio.start_server(self.accept, *self.listen)

    async def accept(self, reader, writer):
        """Connects a new client to the target and forwards both directions."""
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self.target)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            return
        conn = Connection(writer, target_writer)
        self.conns.append(conn)
        try:
            await asyncio.gather(
                self.copy(conn, reader, target_writer, True),
                self.copy(conn, target_reader, writer, False))
        except asyncio.CancelledError:
            pass  # the soak has ended
        self.conns = [c for c in self.conns if c is not conn]

    async def copy(self, conn, reader, writer, is_to_target):
        """Copies the bytes of one direction until either side closes."""
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                while conn.is_muted or self.mode == "silent" or (
                        self.mode == "one_way" and is_to_target):
                    await asyncio.sleep(0.05)
                    if writer.transport.is_closing():
                        return
                if self.mode == "delay":
                    await asyncio.sleep(self.rng.uniform(0.02, 0.4))
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for side in conn.writers:
                side.close()

    async def inject_fault(self, mode, seconds):
        """Applies a mode for a while; "mute" and "reset" act at once, on the
        connections open now."""
        conns = list(self.conns)
        if mode == "reset":
            for conn in conns:
                for side in conn.writers:
                    side.transport.abort()
        elif mode == "mute":
            for conn in conns:
                conn.is_muted = True
        else:
            self.mode = mode
            await asyncio.sleep(seconds)
            self.mode = None
