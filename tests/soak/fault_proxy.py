"""A proxy in front of a fake upstream that injects faults into the connections it carries."""

import asyncio
import socket

from support import http1

BACKLOG = 16  # connections that the kernel holds until the proxy accepts them
# How reads are split: bytes of a piece, and pieces of a read, since each costs a turn of this harness's loop.
MIN_PIECE_BYTES, MAX_PIECES = 7, 32
READ_BYTES = 65536
MAX_BYTES_BEFORE_RESET = 2000


class ByteBudget:
    """The bytes that both directions of a connection may carry before it is reset; None for any number."""

    def __init__(self, size):
        self._left = size

    def spend(self, size):
        """Raises ConnectionResetError once the budget is exceeded."""
        if self._left is None:
            return
        self._left -= size
        if self._left < 0:
            raise ConnectionResetError


class FaultProxy:
    """Carries bytes between sidecars and one server without delay, or not at all."""

    def __init__(self, target, random):
        self.target, self.random = target, random
        self.split = False  # carries bytes in small pieces
        self.reset_share = 0.0  # of new connections, reset after some bytes
        self.silent = False  # open connections carry nothing
        self.port = 0
        self._connections = set()
        self._accepting, self._fillers = asyncio.Event(), []
        self._accepting.set()
        self._listening, self._accept_task = None, None

    async def start(self):
        """Listens on a free port and accepts connections."""
        self._listening = socket.socket()
        self._listening.setblocking(False)
        self._listening.bind(("127.0.0.1", 0))
        self._listening.listen(BACKLOG)
        self.port = self._listening.getsockname()[1]
        self._accept_task = asyncio.create_task(self._accept())

    def close(self):
        """Stops listening; open connections stay."""
        self._accept_task.cancel()
        for listening in (self._listening, *self._fillers):
            listening.close()

    def reset_all(self):
        """Resets every open connection, on both sides."""
        for writers in list(self._connections):
            for writer in writers:
                http1.abort(writer)

    def set_accepting(self, accepting):
        """While it does not accept, its backlog is full: new connections come up late or never."""
        if not accepting and self._accepting.is_set():
            self._accepting.clear()
            for _ in range(BACKLOG + 2):
                self._fill_backlog()
        elif accepting and not self._accepting.is_set():
            for filler in self._fillers:
                filler.close()
            self._fillers.clear()
            self._accepting.set()

    def set_silent(self, silent):
        """Silent connections are reset when the silence ends."""
        self.silent = silent
        if not silent:
            self.reset_all()

    def _fill_backlog(self):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(self._listening.getsockname())
        self._fillers.append(filler)

    async def _accept(self):
        loop, serving = asyncio.get_running_loop(), set()
        while True:
            await self._accepting.wait()
            connection, _ = await loop.sock_accept(self._listening)
            if not self._accepting.is_set():
                self._fill_backlog()  # in place of this one: whoever waits there would count as connected
            task = asyncio.create_task(self._serve(*await self._open_streams(connection)))
            serving.add(task)
            task.add_done_callback(serving.discard)

    @staticmethod
    async def _open_streams(connection):
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader()
        protocol = asyncio.StreamReaderProtocol(reader)
        transport, _ = await loop.connect_accepted_socket(lambda: protocol, connection)
        return reader, asyncio.StreamWriter(transport, protocol, reader, loop)

    async def _serve(self, reader, writer):
        try:
            server_reader, server_writer = await asyncio.open_connection("127.0.0.1", self.target.port)
        except OSError:
            http1.abort(writer)
            return
        pair = (writer, server_writer)
        self._connections.add(pair)
        is_reset = self.random.random() < self.reset_share
        budget = ByteBudget(self.random.randrange(1, MAX_BYTES_BEFORE_RESET) if is_reset else None)
        await asyncio.gather(
            self._carry(reader, server_writer, pair, budget),
            self._carry(server_reader, writer, pair, budget),
        )
        self._connections.discard(pair)

    async def _carry(self, reader, writer, pair, budget):
        """One direction, until its end; both directions are reset on an error."""
        try:
            while data := await reader.read(READ_BYTES):
                if self.silent:
                    continue
                budget.spend(len(data))
                await self._write(writer, data)
            if not writer.is_closing():
                writer.close()
        except OSError:
            for one in pair:
                http1.abort(one)

    async def _write(self, writer, data):
        piece_bytes = max(MIN_PIECE_BYTES, len(data) // MAX_PIECES) if self.split else len(data)
        for start in range(0, len(data), piece_bytes):
            writer.write(data[start : start + piece_bytes])
            if self.split:
                await asyncio.sleep(0)
        await writer.drain()
