"""Clients that send requests to one sidecar at a constant rate and count the outcomes."""

import asyncio
import random
import time
from dataclasses import dataclass
from typing import Optional

from support import http1

_CLASSES = [("listen", "GET"), ("deposit", "POST")]
_POST_BODY = b"x" * 100
_REJECTED = (429, 503)
_CONNECT_TIMEOUT_S = 1
_AFTER_DEADLINE_S = 0.5  # how long a client waits for a response past its request's deadline


@dataclass
class LoadResult:
    """Counts of requests: served, rejected by the sidecar, failed otherwise, or lost (no response)."""

    asked: int = 0
    served: int = 0
    rejected: int = 0
    failed: int = 0
    lost: int = 0
    wrong: int = 0  # served, but with the response body of another request
    first_served_at: Optional[float] = None  # on the monotonic clock


class LoadGenerator:
    """Clients with one persistent connection each that together send `per_s` requests a second."""

    def __init__(self, port, per_s=400, seed=1, time_left_ms=2000, count=20):
        self.port, self.count, self.per_s, self.time_left_ms = port, count, per_s, time_left_ms
        self.random = random.Random(seed)
        self.result = LoadResult()

    async def run(self, seconds):
        """Sends requests for this number of seconds; the counts over all calls of this generator's run()."""
        await asyncio.gather(*(self._run_client(seconds) for _ in range(self.count)))
        return self.result

    async def _run_client(self, seconds):
        start = time.monotonic()
        period = self.count / self.per_s
        next_at = start + period * self.random.random()
        connection = None
        while (now := time.monotonic()) < start + seconds:
            if now < next_at:
                await asyncio.sleep(next_at - now)
                continue
            next_at += period
            connection = await self._send(connection)
        if connection:
            connection[1].close()

    async def _send(self, connection):
        """Sends one request; returns the connection for the next request, or None."""
        self.result.asked += 1
        class_name, method = self.random.choice(_CLASSES)
        request_id = f"{self.random.getrandbits(64):016x}"
        target = f"/{class_name}?sid={request_id}"
        request = self._request(class_name, method, target, request_id)
        response = None
        # A connection closed between requests is not counted as lost: the request is sent on a new one.
        if connection:
            response, connection = await self._exchange(connection, request)
        if response is None:
            response, connection = await self._exchange(None, request)
        self._count(response, target)
        if response and response.ends_connection:
            connection[1].close()
            return None
        return connection

    def _request(self, class_name, method, target, request_id):
        lines = [
            f"{method} {target} HTTP/1.1",
            "Host: api",
            f"X-Correlation-Id: {request_id}",
            f"X-Service-Class: {class_name}",
            f"X-Time-Left: {self.time_left_ms}m",
        ]
        body = _POST_BODY if method == "POST" else b""
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    async def _exchange(self, connection, request):
        """The response and its connection, which is opened if None is given; both None without a response."""
        try:
            if connection is None:
                connecting = asyncio.open_connection("127.0.0.1", self.port)
                connection = await asyncio.wait_for(connecting, _CONNECT_TIMEOUT_S)
            reader, writer = connection
            writer.write(request)
            response_timeout_s = self.time_left_ms / 1000 + _AFTER_DEADLINE_S
            response = await asyncio.wait_for(http1.read_message_or_none(reader), response_timeout_s)
        except (OSError, asyncio.TimeoutError):
            response = None
        if response:
            return response, connection
        if connection:
            connection[1].close()
        return None, None

    def _count(self, response, target):
        if response is None:
            self.result.lost += 1
        elif response.status == 200:
            self.result.served += 1
            self.result.wrong += response.body != target.encode()
            self.result.first_served_at = self.result.first_served_at or time.monotonic()
        elif response.status in _REJECTED:
            self.result.rejected += 1
        else:
            self.result.failed += 1
