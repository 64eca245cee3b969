#!/usr/bin/env python3
"""A real sidecar with little memory beside bad clients: its memory, and how long other clients wait.

    bench/bad_clients.py --program PROGRAM [--kind KIND] [--clients N] [--seconds S] [--memory-mb N]
                         [--sockets N]

Prints one line for each kind of bad clients: the most memory of the process, the longest wait of a regular
client and how its requests ended. The exit code is 1 if the process ended or exceeded its memory, or if a
regular client waited longer than its time left plus the grace. Needs Python 3.9 and nothing else.
"""

import argparse
import asyncio
import collections
import contextlib
import itertools
import os
import sys
import time
from dataclasses import dataclass, field

from support import http1
from support.config import large_fleet_config
from support.fakes import FakeDiscovery, FakeServers
from support.program import BenchSidecar

KB_PER_MB = 1024
SERVERS, WORK_S = 6, 0.1
BAD_PROCESSES = 4
TIME_LEFT_MS = 1200
GRACE_S = 0.55  # the platform counts an answer as lost this long after the request's time
REGULAR_INTERVAL_S, ANSWER_TIMEOUT_S = 0.05, 10
SLOW_INTERVAL_S = 0.02
SAMPLE_INTERVAL_S = 0.01
FLOOD_BATCH = 400  # requests in one write of a flood
READ_LIMIT = 4096  # bytes that a bad client's stream buffers
STAY_UNREAD_S = 8
LARGE_ANSWER = b"x" * 65000


def request(name, request_class="listen", body=None, extra=""):
    """The bytes of a request; `extra` holds further header lines."""
    method, length = ("GET", "") if body is None else ("POST", f"Content-Length: {len(body)}\r\n")
    head = (
        f"{method} /{request_class}?sid=7f HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: {name}\r\n"
        f"X-Service-Class: {request_class}\r\nX-Time-Left: {TIME_LEFT_MS}m\r\n{extra}{length}\r\n"
    )
    return head.encode() + (body or b"")


def _short_fields(name):
    return request(name)[:-2] + b"a:\r\n" * 3900


def _long_field(name):
    return request(name)[:-2] + b"X-Long: " + b"x" * 15500


def _half_body(name):
    return request(name, "deposit", b"x" * 65536)[:-20000]


def _half_chunked(name):
    head = request(name, "deposit", b"", "Transfer-Encoding: chunked\r\n").replace(
        b"Content-Length: 0\r\n", b""
    )
    return head + b"fa00\r\n" + b"x" * 45000


def _half_behind_whole(name):
    return request(name, "deposit", b"") + _half_body(name + "b")


def _whole_large_head(name):
    return request(name, extra="X-Long: " + "x" * 15000 + "\r\n")


def _whole_large_body(name):
    return request(name, "deposit", b"x" * 65000)


# Sent at once on each connection, which then stays open.
STOPPING = {
    "short-fields": _short_fields,
    "long-field": _long_field,
    "half-body": _half_body,
    "half-chunked": _half_chunked,
    "half-behind-whole": _half_behind_whole,
    "whole-large-head": _whole_large_head,
    "whole-large-body": _whole_large_body,
}

# Each of these asks for a large answer; "unread" never reads it, "cut" leaves at once.
ASKING = ("large-answers", "large-answers-unread", "large-requests-cut")


def _batch(kind, names):
    """The next write of a flood."""
    bodies = {
        "flood-unsound": lambda name: b"GET /unknown HTTP/1.1\r\nHost: api\r\n\r\n",
        "flood-tiny": lambda name: b"G / HTTP/1.1\r\n\r\n",
        "flood-health": lambda name: b"GET /healthz HTTP/1.1\r\nHost: api\r\n\r\n",
        "flood-sound": request,
        "flood-expired": lambda name: request(name).replace(f"{TIME_LEFT_MS}m".encode(), b"1u"),
        "flood-names": lambda name: request(name, f"class-{name}"),
    }
    return b"".join(bodies[kind](next(names)) for _ in range(FLOOD_BATCH))


FLOODS = ("flood-unsound", "flood-tiny", "flood-health", "flood-sound", "flood-expired", "flood-names")
SLOW = ("slow-body", "slow-behind-many")


def _slow_parts(kind, name):
    """What is sent at once, and what is sent byte by byte."""
    if kind == "slow-body":
        large = request(name, "deposit", b"x" * 65536)
        return large[:-1000], large[-1000:]
    many = b"".join(request(f"{name}-{i}", "deposit", b'{"loan":1}') for i in range(380))
    return many, request(f"{name}-last", "deposit")


async def _discard(reader):
    with contextlib.suppress(OSError):
        while await reader.read(65536):
            pass


async def _ask_for_large_answer(kind, writer, discarding, name):
    if kind == "large-answers-unread":
        writer.transport.pause_reading()
    if kind == "large-requests-cut":
        writer.write(request(name, "deposit", b"x" * 65000))
        await writer.drain()
        return
    writer.write(request(name, extra="X-Answer: large\r\n"))
    if kind == "large-answers-unread":
        await asyncio.sleep(STAY_UNREAD_S)
    else:
        await discarding


async def _bad_connection(kind, port, name):
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=READ_LIMIT)
    discarding = asyncio.ensure_future(_discard(reader))
    try:
        if kind in STOPPING:
            writer.write(STOPPING[kind](name))
            await discarding
        elif kind in ASKING:
            await _ask_for_large_answer(kind, writer, discarding, name)
        elif kind in FLOODS:
            names = (f"{name}-{i}" for i in itertools.count())
            while not discarding.done():
                writer.write(_batch(kind, names))
                await writer.drain()
        else:
            at_once, slowly = _slow_parts(kind, name)
            writer.write(at_once)
            for byte in slowly:
                if discarding.done():
                    break
                writer.write(bytes([byte]))
                await asyncio.sleep(SLOW_INTERVAL_S)
    finally:
        discarding.cancel()
        writer.close()


async def _bad_client(kind, port, name):
    for turn in itertools.count():
        with contextlib.suppress(OSError):
            await _bad_connection(kind, port, f"{name}-{turn}")
        await asyncio.sleep(0.05)


async def bad_clients(kind, port, count):
    """Runs until the process is killed."""
    await asyncio.gather(*(_bad_client(kind, port, f"{os.getpid()}-{i}") for i in range(count)))


class LargeAnswerServers(FakeServers):
    """Fake servers whose answer is large if the request asks for it."""

    def body(self, message):
        """The answer's body."""
        return LARGE_ANSWER if "x-answer" in message.headers else super().body(message)


@dataclass
class Observed:
    """What one run has shown."""

    most_mb: float = 0.0
    waits: list = field(default_factory=list)
    ends: collections.Counter = field(default_factory=collections.Counter)


def _memory_mb(pid):
    """Memory of the process that neither belongs to files nor to the kernel."""
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / KB_PER_MB
    return 0.0


async def _watch_memory(sidecar, observed):
    while sidecar.running:
        with contextlib.suppress(OSError):
            observed.most_mb = max(observed.most_mb, _memory_mb(sidecar.process.pid))
        await asyncio.sleep(SAMPLE_INTERVAL_S)


async def _regular_request(endpoint, name, observed):
    start = time.monotonic()
    status = "none"
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        reader, writer = await asyncio.open_connection("127.0.0.1", endpoint.port)
        try:
            writer.write(request(name))
            message = await asyncio.wait_for(http1.read_message(reader), ANSWER_TIMEOUT_S)
            status = message.status if message else "closed"
        finally:
            writer.close()
    observed.ends[status] += 1
    observed.waits.append(time.monotonic() - start)


async def _regular_clients(endpoint, seconds, observed):
    sent = []
    for i in range(int(seconds / REGULAR_INTERVAL_S)):
        sent.append(asyncio.ensure_future(_regular_request(endpoint, f"regular-{i}", observed)))
        await asyncio.sleep(REGULAR_INTERVAL_S)
    await asyncio.gather(*sent)


async def _start_bad(options, kind, port):
    arguments = [__file__, "--bad", kind, "--port", str(port), "--clients"]
    counts = [len(range(i, options.clients, BAD_PROCESSES)) for i in range(BAD_PROCESSES)]
    return [
        await asyncio.create_subprocess_exec(sys.executable, *arguments, str(count))
        for count in counts
        if count
    ]


async def play(options, kind):
    """Plays one kind of bad clients; whether the sidecar stayed within its bounds."""
    observed = Observed()
    servers = LargeAnswerServers(SERVERS, WORK_S)
    await servers.start()
    discovery = FakeDiscovery(servers.hosts(SERVERS))
    await discovery.start()
    config = large_fleet_config(discovery.port, discovery.hosts, fleet_size=1)
    config["limits"] = {"cores": 1.0, "sockets": options.sockets, "memory_mb": options.memory_mb}
    async with BenchSidecar(options.program, config) as sidecar:
        watching = asyncio.ensure_future(_watch_memory(sidecar, observed))
        bad = await _start_bad(options, kind, sidecar.endpoint.port)
        await asyncio.sleep(1)
        await _regular_clients(sidecar.endpoint, options.seconds, observed)
        survived = sidecar.running
        for process in bad:
            process.kill()
            await process.wait()
        watching.cancel()
    longest = max(observed.waits)
    print(
        f"{kind}: {observed.most_mb:.1f} MB of {options.memory_mb}, longest wait {longest:.2f} s, "
        f"ends {dict(observed.ends)}{'' if survived else ', THE PROCESS ENDED'}",
        flush=True,
    )
    in_time = longest <= TIME_LEFT_MS / 1000 + GRACE_S and not set(observed.ends) & {"none", "closed"}
    return survived and in_time and observed.most_mb <= options.memory_mb


def main():
    """Parses the arguments and plays the kinds one after another."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--program")
    parser.add_argument("--kind", choices=[*STOPPING, *ASKING, *FLOODS, *SLOW], action="append")
    parser.add_argument("--clients", type=int, help="default: 600, for a flood 1")
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument("--memory-mb", type=int, default=32)
    parser.add_argument("--sockets", type=int, default=1024)
    parser.add_argument("--bad", help=argparse.SUPPRESS)
    parser.add_argument("--port", type=int, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.bad:
        asyncio.run(bad_clients(options.bad, options.port, options.clients))
        return 0
    held = True
    for kind in options.kind or [*STOPPING, *ASKING, *FLOODS, *SLOW]:
        chosen = argparse.Namespace(**vars(options))
        chosen.clients = options.clients or (1 if kind in FLOODS else 600)
        held &= asyncio.run(play(chosen, kind))
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
