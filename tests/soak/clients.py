"""The application beside one sidecar: requests, clients that leave early, half requests and crowds."""

import asyncio
import time
from dataclasses import dataclass

from client_connection import METHODS, connect, encode_request
from records import HalfRequest, Request

TIMES_LEFT_S = (0.004, 0.02, 0.3, 0.6, 0.9, 1.2, 1.5)
PIPELINED_TIMES_LEFT_S = (0.6, 1.2)
PATIENCE_AFTER_DEADLINE_S = 2.0  # so that a late response is seen and judged
FINISH_TIMEOUT_S = 8  # for the requests that are still open at the end
IDLE_CROWD = 170  # idle connections: more than a sidecar accepts

# The fate of each turn of a client is drawn from these shares.
HALF_REQUEST_SHARE, PIPELINE_SHARE, LEAVE_SHARE, SLOW_SHARE = 0.03, 0.02, 0.10, 0.03
MAX_SLOW_WRITE_S = 1.0

HALF_REQUEST = (
    b"POST /pay?sid=7f HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: h1\r\nContent-Length: 50\r\n\r\nhalf"
)
HALF_REQUEST_WAIT_S = 4.0
# Half a request behind whole ones ends soon after the last response, if that came later than its own time.
HALF_REQUEST_BEHIND_S = 2.5


@dataclass(frozen=True)
class Behaviour:
    """What is unusual about one request's client."""

    leaves: bool = False  # at a random moment before the deadline
    slow: bool = False  # pauses in the middle of the request


class Clients:
    """All clients of one sidecar. `rate` is in requests per second."""

    def __init__(self, number, endpoint, records, random, rate):
        self.number, self.endpoint = number, endpoint
        self.records, self.random, self.rate = records, random, rate
        self.accepting = True  # new connections may be opened
        self._idle = []  # connections without an open request
        self._serial = 0
        self._tasks = set()

    async def run(self, until):
        """Sends requests at random moments until `until` (monotonic), then waits for the open ones."""
        while time.monotonic() < until:
            await asyncio.sleep(self.random.expovariate(self.rate))
            self._spawn(self._draw_turn(self.random.random()))
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=FINISH_TIMEOUT_S)

    def _draw_turn(self, fate):
        """The coroutine of one turn; `fate` is between 0 and 1."""
        pipeline_below = HALF_REQUEST_SHARE + PIPELINE_SHARE
        leave_below = pipeline_below + LEAVE_SHARE
        if fate < HALF_REQUEST_SHARE and self.accepting:
            return self._send_half_request()
        if fate < pipeline_below and self.accepting:
            return self._pipeline()
        slow = leave_below <= fate < leave_below + SLOW_SHARE
        return self._ask(Behaviour(leaves=fate < leave_below, slow=slow))

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def crowd(self, seconds):
        """Uses up the sidecar's descriptors with idle connections."""
        crowd = await asyncio.gather(
            *(connect(self.endpoint) for _ in range(IDLE_CROWD)), return_exceptions=True
        )
        await asyncio.sleep(seconds)
        for connection in crowd:
            if not isinstance(connection, BaseException):
                connection.abort()

    def drop_connections(self):
        """Resets all idle connections."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    async def _try_connect(self):
        try:
            return await connect(self.endpoint)
        except (OSError, asyncio.TimeoutError):
            return None

    def _new_id(self):
        self._serial += 1
        return f"{self.number:03d}-{self._serial:06d}-{self.random.getrandbits(32):08x}"

    def _new_kind(self):
        return self.random.choice(list(METHODS))

    @staticmethod
    def _patience_s(request):
        """How long its client still waits for a response."""
        return request.deadline + PATIENCE_AFTER_DEADLINE_S - time.monotonic()

    async def _ask(self, behaviour):
        """One request, on an idle connection where there is one."""
        kind, request_id = self._new_kind(), self._new_id()
        time_left_s = self.random.choice(TIMES_LEFT_S)
        if self._idle:
            request = Request(request_id, self.number, kind, 0, time_left_s, False)
            if await self._exchange(request, self._idle.pop(), behaviour):
                return
            request_id += "r"  # the sidecar had closed the idle connection: once more on a new one
        if not self.accepting:
            return
        connection = await self._try_connect()
        if connection:
            request = Request(request_id, self.number, kind, 0, time_left_s, True)
            await self._exchange(request, connection, behaviour)

    async def _exchange(self, request, connection, behaviour):
        """False where the sidecar has closed an idle connection without a response."""
        data = encode_request(request, self.random)
        try:
            if behaviour.slow:
                half = len(data) // 2
                connection.writer.write(data[:half])
                await asyncio.sleep(self.random.uniform(0.05, MAX_SLOW_WRITE_S))
                data = data[half:]
            request.sent_at = time.monotonic()
            self.records.requests[request.id] = request
            await connection.send(data)
            patience_s = self._patience_s(request)
            if behaviour.leaves:
                patience_s = self.random.uniform(0, request.time_left_s)
            message = await connection.read_response(patience_s)
        except asyncio.TimeoutError:
            self._leave(request, connection, behaviour)
            return True
        except (OSError, asyncio.IncompleteReadError, ValueError):
            message = None
        if message is None:
            return self._ended_without_response(request, connection)
        request.answer(message)
        if message.ends_connection:
            connection.close()
        else:
            self._idle.append(connection)
        return True

    def _leave(self, request, connection, behaviour):
        if behaviour.leaves:
            request.left_at = time.monotonic()
        if self.random.random() < 0.5:
            connection.abort()
        else:
            connection.close()

    def _ended_without_response(self, request, connection):
        """Whether this is the request's end: not on an idle connection, where it is sent once more."""
        request.closed_at = time.monotonic()
        connection.close()
        if request.new_connection:
            return True
        self._forget_unread(request)
        return False

    def _forget_unread(self, request):
        """A request that no server got was not read by the sidecar; its client sends it anew."""
        if not request.attempts:
            self.records.requests.pop(request.id, None)

    async def _pipeline(self):
        """Several requests at once on a new connection, often with half of another behind them."""
        connection = await self._try_connect()
        if connection is None:
            return
        requests = self._new_pipeline()
        data = b"".join(encode_request(request, self.random) for request in requests)
        half = self._new_half_request() if self.random.random() < 0.5 else b""
        sent_at = time.monotonic()
        for request in requests:
            request.sent_at = sent_at
            self.records.requests[request.id] = request
        try:
            await connection.send(data + half)
            await self._read_responses(connection, requests)
        except asyncio.TimeoutError:
            connection.abort()
            return
        except (OSError, asyncio.IncompleteReadError, ValueError):
            self._pipeline_ended(requests)
            connection.close()
            return
        if half:
            stopped_at = max(sent_at, time.monotonic() - HALF_REQUEST_BEHIND_S)
            await self._await_end(HalfRequest(self.number, stopped_at), connection)
        connection.close()

    def _new_pipeline(self):
        requests = []
        for _ in range(self.random.randrange(2, 6)):
            request_id, kind = self._new_id(), self._new_kind()
            time_left_s = self.random.choice(PIPELINED_TIMES_LEFT_S)
            is_first = not requests
            requests.append(Request(request_id, self.number, kind, 0, time_left_s, is_first))
        return requests

    def _new_half_request(self):
        return HALF_REQUEST[: self.random.randrange(1, len(HALF_REQUEST))]

    async def _read_responses(self, connection, requests):
        """Raises ConnectionResetError where the connection ends after one of them."""
        for request in requests:
            message = await connection.read_response(self._patience_s(request))
            if message is None:
                raise ConnectionResetError
            request.answer(message)
            if message.ends_connection:
                raise ConnectionResetError

    def _pipeline_ended(self, requests):
        for request in requests:
            if request.answered_at is None:
                request.closed_at = time.monotonic()
                if not request.new_connection:
                    self._forget_unread(request)

    async def _send_half_request(self):
        """Stops in the middle of a request and stays."""
        connection = await self._try_connect()
        if connection is None:
            return
        half = HalfRequest(self.number, time.monotonic())
        try:
            await connection.send(self._new_half_request())
        except OSError:
            pass
        await self._await_end(half, connection)
        connection.close()

    async def _await_end(self, half, connection):
        """Records when the sidecar ends a half request, by an error response or a close."""
        self.records.half_requests.append(half)
        try:
            await asyncio.wait_for(connection.reader.read(1), HALF_REQUEST_WAIT_S)
            half.ended_at = time.monotonic()
        except asyncio.TimeoutError:
            pass
        except OSError:
            half.ended_at = time.monotonic()
