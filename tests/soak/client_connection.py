"""A client's connection to its sidecar, and the bytes of its requests."""

import asyncio
from dataclasses import dataclass

from support import http1

METHODS = {"read": "GET", "pay": "POST", "note": "POST"}  # of each class
BODY_BYTES = (0, 20, 3000, 40000)
CONNECT_TIMEOUT_S = 2.0
STREAM_LIMIT_BYTES = 1 << 20


@dataclass(frozen=True)
class Connection:
    """A client's connection to its sidecar."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def send(self, data):
        """Writes all bytes. Raises OSError."""
        self.writer.write(data)
        await self.writer.drain()

    async def read_response(self, timeout_s):
        """The response, or None where the connection has ended. Raises like http1.read_message, and
        asyncio.TimeoutError."""
        reading = http1.read_message(self.reader, length_required=True)
        return await asyncio.wait_for(reading, timeout_s)

    def close(self):
        """FIN."""
        self.writer.close()

    def abort(self):
        """RST."""
        http1.abort(self.writer)


async def connect(endpoint):
    """A new connection. Raises OSError and asyncio.TimeoutError."""
    connecting = asyncio.open_connection(endpoint.address, endpoint.port, limit=STREAM_LIMIT_BYTES)
    return Connection(*await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S))


def encode_request(request, random):
    """The bytes of a request, with a body of random length where its method has one."""
    method = METHODS[request.kind]
    lines = [
        f"{method} /{request.kind}?sid=7f HTTP/1.1",
        "Host: api",
        f"X-Correlation-Id: {request.id}",
        f"X-Service-Class: {request.kind}",
        f"X-Time-Left: {int(request.time_left_s * 1000)}m",
    ]
    if request.kind == "note":
        lines.append(f"Idempotency-Key: {request.id}")
    body = b""
    if method == "POST":
        body = b"x" * random.choice(BODY_BYTES)
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
