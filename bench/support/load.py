"""Clients that send requests to one sidecar at an even rate and count how each ends."""

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
_AFTER_DEADLINE_S = 0.5  # how long a client waits for an answer past its request's deadline


@dataclass
class LoadResult:
    """How requests ended: served, rejected by the sidecar, failed otherwise, or lost without an answer."""

    asked: int = 0
    served: int = 0
    rejected: int = 0
    failed: int = 0
    lost: int = 0
    wrong: int = 0  # served with a body that belongs to another request
    first_served_at: Optional[float] = None  # on the monotonic clock


class LoadGenerator:
    """Clients with one persistent connection each, which together send `per_s` requests a second."""

    def __init__(self, port, per_s=400, seed=1, time_left_ms=2000, count=20):
        self.port, self.count, self.per_s, self.time_left_ms = port, count, per_s, time_left_ms
        self.random = random.Random(seed)
        self.result = LoadResult()

    async def run(self, seconds):
        """Sends requests for so long; the counts over all runs of this generator."""
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
        """One request; the connection that the client retains, or None."""
        self.result.asked += 1
        class_name, method = self.random.choice(_CLASSES)
        request_id = f"{self.random.getrandbits(64):016x}"
        target = f"/{class_name}?sid={request_id}"
        request = self._request(class_name, method, target, request_id)
        reply = None
        # A connection closed between requests is no loss: the request is sent once more on a new one.
        if connection:
            reply, connection = await self._exchange(connection, request)
        if reply is None:
            reply, connection = await self._exchange(None, request)
        self._count(reply, target)
        if reply and reply.ends_connection:
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
        """The reply and its connection, opened here where there is none; both None where no reply came."""
        try:
            if connection is None:
                connecting = asyncio.open_connection("127.0.0.1", self.port)
                connection = await asyncio.wait_for(connecting, _CONNECT_TIMEOUT_S)
            reader, writer = connection
            writer.write(request)
            patience_s = self.time_left_ms / 1000 + _AFTER_DEADLINE_S
            reply = await asyncio.wait_for(http1.read_message_or_none(reader), patience_s)
        except (OSError, asyncio.TimeoutError):
            reply = None
        if reply:
            return reply, connection
        if connection:
            connection[1].close()
        return None, None

    def _count(self, reply, target):
        if reply is None:
            self.result.lost += 1
        elif reply.status == 200:
            self.result.served += 1
            self.result.wrong += reply.body != target.encode()
            self.result.first_served_at = self.result.first_served_at or time.monotonic()
        elif reply.status in _REJECTED:
            self.result.rejected += 1
        else:
            self.result.failed += 1
