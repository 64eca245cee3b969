"""A subset of HTTP/1.1 for the fakes and the load generators, over asyncio streams.

Times are seconds on the monotonic clock.
"""

import asyncio
import contextlib
import http
import socket
import struct
import time
from dataclasses import dataclass

MAX_HEAD_BYTES = 64 * 1024
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, zero seconds


@dataclass(frozen=True)
class Message:
    """A complete request or response. The header names are in lower case."""

    start_line: str
    headers: dict
    body: bytes
    first_byte_at: float
    last_byte_at: float

    @property
    def status(self):
        """The status code of a response."""
        return int(self.start_line.split(" ")[1])

    @property
    def target(self):
        """The path and query of a request."""
        return self.start_line.split(" ")[1]

    @property
    def ends_connection(self):
        """Whether the sender closes the connection after this message."""
        return self.headers.get("connection", "").lower() == "close"


def _parse_headers(lines):
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return headers


async def read_message(reader, length_required=False):
    """Reads a complete message; None if the peer closes the connection before the first byte.

    Raises asyncio.IncompleteReadError on a truncated message and ValueError on a malformed message. A message
    without Content-Length has an empty body; with `length_required` such a message is malformed.
    """
    first_byte = await reader.read(1)
    if not first_byte:
        return None
    first_byte_at = time.monotonic()
    head = first_byte + await reader.readuntil(b"\r\n\r\n")
    start_line, *header_lines = head.decode("latin-1").split("\r\n")
    headers = _parse_headers(header_lines)
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif length_required:
        raise ValueError("message has no Content-Length header")
    return Message(start_line, headers, body, first_byte_at, time.monotonic())


async def read_message_or_none(reader):
    """Like read_message, but also None for a truncated or malformed message or a failed connection."""
    try:
        return await read_message(reader)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


def response(status, body=b"", headers=""):
    """The bytes of a response; `headers` is a string of header lines, each ending with CRLF."""
    reason = http.HTTPStatus(status).phrase
    return f"HTTP/1.1 {status} {reason}\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode() + body


def abort(writer):
    """Resets the connection: the peer receives RST instead of FIN."""
    transport = writer.transport
    if transport is None or transport.is_closing():
        return
    with contextlib.suppress(OSError):
        connection = transport.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    transport.abort()


@dataclass(frozen=True)
class Endpoint:
    """The address and port on which a process listens."""

    port: int
    address: str = "127.0.0.1"


async def call(endpoint, method, target, body=b"", connect_timeout_s=5, read_timeout_s=5):
    """Sends one request on a new connection; its response, or None without a complete response in time."""
    connecting = asyncio.open_connection(endpoint.address, endpoint.port)
    try:
        reader, writer = await asyncio.wait_for(connecting, connect_timeout_s)
    except (OSError, asyncio.TimeoutError):
        return None
    try:
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: {endpoint.address}\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        return await asyncio.wait_for(read_message_or_none(reader), read_timeout_s)
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        writer.close()
