"""As much of HTTP/1.1 as the stand-ins need, over asyncio streams."""
import contextlib
import socket
import struct
import time

MOST_HEAD = 64 * 1024


class Message:
    def __init__(self, start, headers, body, first_byte_at):
        self.start, self.headers, self.body = start, headers, body
        self.first_byte_at, self.last_byte_at = first_byte_at, time.monotonic()

    @property
    def status(self):
        return int(self.start.split(" ")[1])

    @property
    def target(self):
        return self.start.split(" ")[1]


async def read_message(reader, response=False):
    """A whole message, or None where the other side ends before its first byte. Raises on a cut one."""
    first = await reader.read(1)
    if not first:
        return None
    first_byte_at = time.monotonic()
    head = first + await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif response:
        raise ValueError("an answer without a length")
    return Message(lines[0], headers, body, first_byte_at)


def response(status, body=b"", headers=""):
    return (f"HTTP/1.1 {status} Said\r\n{headers}Content-Length: {len(body)}\r\n\r\n").encode() + body


def abort(writer):
    """Resets the connection."""
    transport = writer.transport
    if transport is None or transport.is_closing():
        return
    with contextlib.suppress(OSError):  # without this an abort sends FIN
        transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    transport.abort()
