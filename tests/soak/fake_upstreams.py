"""Stand-ins for guide servers, and a fault proxy in front of each: what sidecars dial is the proxy."""
import asyncio
import socket
import time

import http1
from records import Attempt

IDLE_CLOSE_S = 3.0
# Where the proxy splits: bytes of a piece, and pieces of a read, since each costs a turn of this harness's loop.
LEAST_PIECE, MOST_PIECES = 7, 32
PROXY_BACKLOG = 16  # connections that a proxy's kernel holds until they are accepted


class GuideServer:
    """Answers by its mode; each connection and each request draws its fate from the run's random source."""

    MODES = (
        "ok",
        "error",
        "away",
        "hang",
        "reset",
        "cut",
        "no_length",
        "no_length_reset",
        "twice",
        "endless",
        "close_idle",
    )

    def __init__(self, name, records, random):
        self.name, self.records, self.random = name, records, random
        self.mode, self.share = "ok", 0.0
        self.born, self.started_at = time.time(), time.monotonic()
        self.proxy = FaultProxy(self, random)
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=http1.MOST_HEAD)
        self.port = self._server.sockets[0].getsockname()[1]
        await self.proxy.start()

    def stop(self):
        """As a process that dies: its connections are reset."""
        self._server.close()
        self.proxy.close()
        for writer in list(self._writers):
            http1.abort(writer)
        self.proxy.reset_all()

    def entry(self, health):
        return {
            "host": self.name,
            "dial": f"127.0.0.1:{self.proxy.port}",
            "site": "a",
            "class": "m",
            "block": 0,
            "health": health,
            "share": 1.0,
            "born_ms": int(self.born * 1000),
        }

    def set_mode(self, mode, share):
        self.mode, self.share = mode, share

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                idle = 0.3 if self.mode == "close_idle" else IDLE_CLOSE_S
                message = await asyncio.wait_for(http1.read_message(reader), idle)
                if message is None or not await self._answer(message, writer):
                    break
        except (
            OSError,
            asyncio.TimeoutError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            ValueError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            if not writer.is_closing():
                writer.close()

    def _record(self, message):
        request = self.records.requests.get(message.headers.get("x-correlation-id", ""))
        if request is None:
            return None
        told = message.headers.get("x-time-left", "0u")
        attempt = Attempt(
            self.name,
            request.sidecar,
            message.first_byte_at,
            message.last_byte_at,
            float(told[:-1]) / (1000 if told[-1] == "u" else 1),
        )
        request.attempts.append(attempt)
        return attempt

    async def _answer(self, message, writer):
        """Whether the connection goes on."""
        if message.target == "/healthz":
            writer.write(http1.response(200))
            return True
        attempt = self._record(message)
        if attempt is None:
            writer.write(http1.response(400))
            return True
        mode = self.mode if self.random.random() < self.share else "ok"
        body = f"{message.headers['x-correlation-id']} {self.name}".encode()
        if mode == "away":
            attempt.may_have_run = False
            writer.write(http1.response(503, headers="X-Unprocessed: 1\r\n"))
            return True
        if mode == "error":
            writer.write(http1.response(500))
            return True
        if mode == "hang":
            await asyncio.sleep(5)
            return False
        await asyncio.sleep(self.random.expovariate(1 / 0.012))
        if mode == "reset":
            http1.abort(writer)
            return False
        if mode == "cut":
            writer.write(http1.response(200, body)[:-5])
            await writer.drain()
            return False
        if mode in ("no_length", "no_length_reset"):
            cut = mode == "no_length_reset"
            writer.write(b"HTTP/1.1 200 Said\r\nConnection: close\r\n\r\n" + (body[:-5] if cut else body))
            await writer.drain()
            if cut:
                await asyncio.sleep(0.005)
                http1.abort(writer)
            attempt.body, attempt.no_length = body, not cut
            return False
        if mode == "endless":
            writer.write(b"HTTP/1.1 200 Said\r\nContent-Length: 3000000000\r\n\r\n")
            for _ in range(40):
                if writer.is_closing():
                    break
                writer.write(b"x" * 4096)
                await writer.drain()
                await asyncio.sleep(0.01)
            return False
        attempt.body = body
        writer.write(http1.response(200, body))
        if mode == "twice":
            await asyncio.sleep(self.random.uniform(0, 0.008))
            if writer.is_closing():
                return False
            writer.write(http1.response(200, b"a second answer"))
        await writer.drain()
        return True


class FaultProxy:
    """Carries bytes between sidecars and one server; never later than they came, or not at all."""

    def __init__(self, target, random):
        self.target, self.random = target, random
        self.split = False  # into small pieces
        self.reset_share = 0.0  # of connections are reset after some bytes
        self.silent = False  # what is open carries nothing; it is reset once that is over
        self._connections = set()
        self._accepting, self._fillers = asyncio.Event(), []
        self._accepting.set()

    async def start(self):
        self._listening = socket.socket()
        self._listening.setblocking(False)
        self._listening.bind(("127.0.0.1", 0))
        self._listening.listen(PROXY_BACKLOG)
        self.port = self._listening.getsockname()[1]
        self._accept_task = asyncio.create_task(self._accept())

    def close(self):
        self._accept_task.cancel()
        for one in (self._listening, *self._fillers):
            one.close()

    async def _accept(self):
        loop, serving = asyncio.get_running_loop(), set()
        while True:
            await self._accepting.wait()
            connection, _ = await loop.sock_accept(self._listening)
            if not self._accepting.is_set():
                self._take_place()  # that this last one has left: what waits there would count as connected
            reader = asyncio.StreamReader()
            protocol = asyncio.StreamReaderProtocol(reader)
            transport, _ = await loop.connect_accepted_socket(lambda: protocol, connection)
            task = asyncio.create_task(
                self._serve(reader, asyncio.StreamWriter(transport, protocol, reader, loop))
            )
            serving.add(task)
            task.add_done_callback(serving.discard)

    def reset_all(self):
        for writers in list(self._connections):
            for writer in writers:
                http1.abort(writer)

    def _take_place(self):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(self._listening.getsockname())
        self._fillers.append(filler)

    def set_accepting(self, accepting):
        """While it does not accept, its queue is full: new connections come up late or never."""
        if not accepting and self._accepting.is_set():
            self._accepting.clear()
            for _ in range(PROXY_BACKLOG + 2):
                self._take_place()
        elif accepting and not self._accepting.is_set():
            for filler in self._fillers:
                filler.close()
            self._fillers.clear()
            self._accepting.set()

    def set_silent(self, silent):
        self.silent = silent
        if not silent:
            self.reset_all()

    async def _serve(self, reader, writer):
        try:
            out_reader, out_writer = await asyncio.open_connection("127.0.0.1", self.target.port)
        except OSError:
            return http1.abort(writer)
        pair = (writer, out_writer)
        self._connections.add(pair)
        budget = [self.random.randrange(1, 2000) if self.random.random() < self.reset_share else 1 << 60]
        await asyncio.gather(
            self._carry(reader, out_writer, pair, budget), self._carry(out_reader, writer, pair, budget)
        )
        self._connections.discard(pair)

    async def _carry(self, reader, writer, pair, budget):
        try:
            while data := await reader.read(65536):
                if self.silent:
                    continue
                budget[0] -= len(data)
                if budget[0] < 0:
                    raise ConnectionResetError
                step = max(LEAST_PIECE, len(data) // MOST_PIECES) if self.split else len(data)
                for at in range(0, len(data), step):
                    writer.write(data[at : at + step])
                    if self.split:
                        await asyncio.sleep(0)
                await writer.drain()
            if not writer.is_closing():
                writer.close()
        except OSError:
            for one in pair:
                http1.abort(one)
