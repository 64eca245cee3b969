"""HTTP/1.1 messages of the stand-ins, over asyncio streams."""

import asyncio
from dataclasses import dataclass, field


class Malformed(Exception):
    """The bytes are no HTTP/1.1 message, or the connection ended inside one."""


@dataclass
class Received:
    """A message that arrived completely; header names are in lower case."""

    first_line: str
    headers: dict = field(default_factory=dict)
    body: bytes = b""

    @property
    def path(self):
        """Path and query of a request."""
        return self.first_line.split(" ")[1]

    @property
    def status(self):
        """Status code of a response."""
        return int(self.first_line.split(" ")[1])


async def _read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        part = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += part[:-2]


async def receive(reader):
    """The next message on the connection; None if the peer closes before its first byte."""
    first = await reader.read(1)
    if not first:
        return None
    try:
        head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first_line, *lines = head.split("\r\n")
        pairs = (line.split(":", 1) for line in lines if line)
        message = Received(first_line, {name.lower(): value.strip() for name, value in pairs})
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            message.body = await _read_chunks(reader)
        else:
            message.body = await reader.readexactly(int(message.headers.get("content-length", "0")))
        return message
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError) as error:
        raise Malformed(str(error)) from error


def answer(status, body=b"", fields=()):
    """The bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}", *fields, "", ""]
    return "\r\n".join(lines).encode() + body


def request(service_class, request_id, time_left_ms, body=b"", fields=(), chunked=False):
    """The bytes of a request as the application sends it: GET without a body, otherwise POST."""
    lines = [
        f"{'GET' if body == b'' else 'POST'} /{service_class}?sid=7f3a9c21e0b4d655 HTTP/1.1",
        "Host: api.internal",
        f"X-Correlation-Id: {request_id}",
        f"X-Service-Class: {service_class}",
        "X-Account: kansallis",
        f"X-Time-Left: {time_left_ms}m",
        *fields,
    ]
    if chunked:
        lines.append("Transfer-Encoding: chunked")
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    elif body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body
