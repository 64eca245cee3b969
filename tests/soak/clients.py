"""The application beside one sidecar: well-behaved requests, early leavers, half requests, bursts on kept connections."""
import asyncio
import time

import http1
from records import HalfRequest, Request

KINDS = {"read": "GET", "pay": "POST", "note": "POST"}
CONNECT_S = 2.0
AFTER_DEADLINE_S = 0.5  # an answer this late still counts as one
HALF_REQUEST_WAIT_S = 4.0
# Half a request behind whole ones has its end soon after the last answer, if that came later than its own time.
HALF_BEHIND_S = 2.5
HALF_REQUEST = (
    b"POST /pay?sid=7f HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: h1\r\nContent-Length: 50\r\n\r\nhalf"
)
IDLE_CROWD = 170  # connections that say nothing: more than a sidecar takes


class Clients:
    def __init__(self, number, address, port, records, random, rate):
        self.number, self.address, self.port = number, address, port
        self.records, self.random, self.rate = records, random, rate
        self.resting = []
        self.accepting = True  # new connections may be opened
        self.serial = 0
        self.tasks = set()

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self, until):
        while time.monotonic() < until:
            await asyncio.sleep(self.random.expovariate(self.rate))
            fate = self.random.random()
            if fate < 0.03 and self.accepting:
                self._spawn(self._stop_half_way())
            elif fate < 0.05 and self.accepting:
                self._spawn(self._send_ahead())
            else:
                self._spawn(self._ask(leaves=fate < 0.15, slow=0.15 <= fate < 0.18))
        if self.tasks:
            await asyncio.wait(list(self.tasks), timeout=8)

    async def crowd(self, seconds):
        """Fills the sidecar's descriptors with connections that say nothing."""
        idle = await asyncio.gather(*(self._connect() for _ in range(IDLE_CROWD)), return_exceptions=True)
        await asyncio.sleep(seconds)
        for connection in idle:
            if not isinstance(connection, BaseException):
                http1.abort(connection[1])

    def drop_connections(self):
        for _, writer in self.resting:
            http1.abort(writer)
        self.resting.clear()

    def _text(self, request):
        method = KINDS[request.kind]
        lines = [
            f"{method} /{request.kind}?sid=7f HTTP/1.1",
            "Host: api",
            f"X-Correlation-Id: {request.id}",
            f"X-Service-Class: {request.kind}",
            f"X-Time-Left: {int(request.time_left * 1000)}m",
        ]
        if request.kind == "note":
            lines.append(f"Idempotency-Key: {request.key}")
        body = b""
        if method == "POST":
            body = b"x" * self.random.choice((0, 20, 3000, 40000))
            lines.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    async def _connect(self):
        return await asyncio.wait_for(
            asyncio.open_connection(self.address, self.port, limit=1 << 20), CONNECT_S
        )

    def _new_name(self):
        self.serial += 1
        return f"{self.number:03d}-{self.serial:06d}-{self.random.getrandbits(32):08x}"

    async def _ask(self, leaves, slow):
        kind = self.random.choice(list(KINDS))
        name = self._new_name()
        time_left = self.random.choice((0.004, 0.02, 0.3, 0.6, 0.9, 1.2, 1.5))
        for attempt in range(2):
            reuse = attempt == 0 and bool(self.resting)
            if not reuse and not self.accepting:
                return
            try:
                reader, writer = self.resting.pop() if reuse else await self._connect()
            except (OSError, asyncio.TimeoutError):
                return
            request = Request(name, self.number, kind, name, 0, time_left, not reuse)
            if await self._exchange(request, reader, writer, leaves, slow):
                return
            name += "r"  # the resting connection ended under it: once more on a new one

    async def _exchange(self, request, reader, writer, leaves, slow):
        """False: the connection that rested was closed by the sidecar, with no answer."""
        text = self._text(request)
        try:
            if slow:
                half = len(text) // 2
                writer.write(text[:half])
                await asyncio.sleep(self.random.uniform(0.05, 1.0))
                text = text[half:]
            request.sent_at = time.monotonic()
            self.records.requests[request.id] = request
            writer.write(text)
            await writer.drain()
            patience = request.deadline + AFTER_DEADLINE_S + 1.5 - time.monotonic()
            if leaves:
                patience = self.random.uniform(0, request.time_left)
            message = await asyncio.wait_for(http1.read_message(reader, response=True), patience)
        except asyncio.TimeoutError:
            if leaves:
                request.left_at = time.monotonic()
            http1.abort(writer) if self.random.random() < 0.5 else writer.close()
            return True
        except (OSError, asyncio.IncompleteReadError, ValueError):
            message = None
        if message is None:
            request.closed_at = time.monotonic()
            writer.close()
            if request.new_connection:
                return True
            self.records.requests.pop(request.id, None) if not request.attempts else None
            return False
        request.answered_at, request.status, request.body = message.last_byte_at, message.status, message.body
        if message.headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            self.resting.append((reader, writer))
        return True

    async def _send_ahead(self):
        """Several requests at once on a new connection, often with half of another behind them."""
        try:
            reader, writer = await self._connect()
        except (OSError, asyncio.TimeoutError):
            return
        requests = []
        for _ in range(self.random.randrange(2, 6)):
            name, kind = self._new_name(), self.random.choice(list(KINDS))
            requests.append(
                Request(name, self.number, kind, name, 0, self.random.choice((0.6, 1.2)), not requests)
            )
        text = b"".join(self._text(request) for request in requests)
        half = (
            HALF_REQUEST[: self.random.randrange(1, len(HALF_REQUEST))] if self.random.random() < 0.5 else b""
        )
        sent_at = time.monotonic()
        for request in requests:
            request.sent_at = sent_at
            self.records.requests[request.id] = request
        try:
            writer.write(text + half)
            await writer.drain()
            for request in requests:
                patience = request.deadline + AFTER_DEADLINE_S + 1.5 - time.monotonic()
                message = await asyncio.wait_for(http1.read_message(reader, response=True), patience)
                if message is None:
                    raise ConnectionResetError
                request.answered_at, request.status, request.body = (
                    message.last_byte_at,
                    message.status,
                    message.body,
                )
                if message.headers.get("connection", "").lower() == "close":
                    raise ConnectionResetError
        except asyncio.TimeoutError:
            http1.abort(writer)
            return
        except (OSError, asyncio.IncompleteReadError, ValueError):
            for request in requests:
                if request.answered_at is None:
                    request.closed_at = time.monotonic()
                    if not request.new_connection and not request.attempts:
                        self.records.requests.pop(request.id, None)  # unread: its client asks anew
            writer.close()
            return
        if half:
            await self._await_end(
                HalfRequest(self.number, max(sent_at, time.monotonic() - HALF_BEHIND_S)), reader
            )
        writer.close()

    async def _stop_half_way(self):
        try:
            reader, writer = await self._connect()
        except (OSError, asyncio.TimeoutError):
            return
        half = HalfRequest(self.number, time.monotonic())
        try:
            writer.write(HALF_REQUEST[: self.random.randrange(1, len(HALF_REQUEST))])
            await writer.drain()
        except OSError:
            pass
        await self._await_end(half, reader)
        writer.close()

    async def _await_end(self, half, reader):
        """The error or the close that a client is owed that stops in the middle of a request and stays."""
        self.records.half_requests.append(half)
        try:
            if await asyncio.wait_for(reader.read(1), HALF_REQUEST_WAIT_S) is not None:
                half.ended_at = time.monotonic()
        except asyncio.TimeoutError:
            pass
        except OSError:
            half.ended_at = time.monotonic()
