"""Stand-ins for a case of the review: a guide server, discovery, clients, and the sidecar's process.

All of them run in one event loop and on loopback addresses. They follow the users' pages (PROTOCOL, DEPLOY);
what a case makes them do beyond that stands in the case.
"""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
READY_S = 30  # "clients come once all sidecars are ready, or after 30 s" (DEPLOY)
LONGEST_S = 110  # a case takes 120 s at most
BROKEN, HELD, NOT_RUN = 1, 0, 2  # exit codes of a case


class CaseFailed(Exception):
    """The case could not run."""


class Record:
    """The case's record.txt: one line for each event, with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")  # pylint: disable=consider-using-with
        self._start = time.monotonic()

    def now(self):
        """Seconds since the start of the case."""
        return time.monotonic() - self._start

    def line(self, what, **details):
        """Writes one event and returns its time."""
        at = self.now()
        text = " ".join(f"{key}={value}" for key, value in details.items())
        self._file.write(f"{at:9.4f} {what} {text}".rstrip() + "\n")
        self._file.flush()
        return at

    def close(self):
        """Closes the file."""
        self._file.close()


def free_port():
    """A TCP port of 127.0.0.1 that nothing uses now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


@dataclass
class Message:
    """A parsed HTTP/1.1 message: the words of its first line, its fields in lower case, its body."""

    first_line: list
    fields: dict
    body: bytes = b""


async def _read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if size == 0:
            return body


async def read_message(reader):
    """Reads one message with a length, chunked or without a body. None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.lower()] = value.strip()
    message = Message(lines[0].split(" ", 2), fields)
    if fields.get("transfer-encoding", "").lower() == "chunked":
        message.body = await _read_chunks(reader)
    elif "content-length" in fields:
        message.body = await reader.readexactly(int(fields["content-length"]))
    return message


def response(status, body=b"", **fields):
    """The bytes of an answer. In the names of fields, _ stands for -."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def request(request_class, name, time_left_ms, body=None):
    """The bytes of a client's request: GET without a body, POST with one."""
    lines = [
        f"{'GET' if body is None else 'POST'} /{request_class}?sid=7f3a9c21e0b4d655 HTTP/1.1",
        "Host: api.internal",
        f"X-Correlation-Id: {name}",
        f"X-Service-Class: {request_class}",
        "X-Account: acme",
        f"X-Time-Left: {time_left_ms}m",
    ]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


@dataclass
class Run:
    """One request that a guide server has received whole."""

    server: str
    at: float
    name: str


class GuideServer:
    """A guide server. `behave(message)` is a coroutine that returns the answer's bytes; None closes the
    connection without an answer."""

    def __init__(self, name, record, behave):
        self.name, self._record, self._behave = name, record, behave
        self.port, self.runs, self._server, self._writers = 0, [], None, set()

    async def start(self):
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        """Ends the server and its connections."""
        self._server.close()
        for writer in self._writers:
            writer.close()

    def end(self):
        """Ends the process: its connections are reset and new ones refused."""
        self._record.line("ends", server=self.name)
        self._server.close()
        for writer in self._writers:
            linger = struct.pack("ii", 1, 0)  # on, 0 s: the close is a reset
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    def entry(self, health="SERVING"):
        """The server's entry in discovery's list."""
        return {
            "host": self.name,
            "dial": f"{HOST}:{self.port}",
            "site": "a",
            "class": "m1",
            "block": 0,
            "health": health,
            "share": 1.0,
            "born_ms": 0,
        }

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while message := await read_message(reader):
                name = message.fields.get("x-correlation-id", "-")
                if message.first_line[1].startswith("/healthz"):
                    writer.write(response(200))
                    continue
                at = self._record.line("runs", server=self.name, id=name)
                self.runs.append(Run(self.name, at, name))
                answer = await self._behave(message)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        writer.close()
        self._writers.discard(writer)


class Discovery:
    """Discovery: `GET /v1/servers`, whole or as a watch. Each change raises the list's number."""

    def __init__(self, name, record, entries, seq=41):
        self.name, self._record = name, record
        self.entries = {entry["host"]: entry for entry in entries}
        self.seq, self.port, self.calls = seq, 0, 0
        self.before_answer = None  # a coroutine function; may delay the answer, or return False to drop it
        self._changes = [(seq, host) for host in self.entries]
        self._changed, self._server, self._writers = asyncio.Event(), None, set()

    async def start(self):
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self):
        """For NODE_DISCOVERY."""
        return f"{HOST}:{self.port}"

    async def retire(self):
        """Takes no new connection from now on and closes the open ones after 1.5 s (DAYS)."""
        self._server.close()
        await asyncio.sleep(1.5)
        self.stop()

    def stop(self):
        """Ends discovery and its connections."""
        self._server.close()
        for writer in self._writers:
            writer.close()

    def whole(self):
        """The whole list, also for `known`."""
        return {"seq": self.seq, "whole": True, "hosts": list(self.entries.values())}

    def change(self, entry):
        """Lists a changed entry; open watches are told at once."""
        self.seq += 1
        self.entries[entry["host"]] = entry
        self._changes.append((self.seq, entry["host"]))
        self._record.line("list", discovery=self.name, host=entry["host"], health=entry["health"])
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, target):
        _, _, query = target.partition("?")
        asked = dict(part.split("=") for part in query.split("&")) if query else {}
        if "after" not in asked:
            return self.whole()
        after, wait_s = int(asked["after"]), int(asked.get("wait_ms", 0)) / 1000
        if self.seq <= after:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait_s)
        hosts = {host for seq, host in self._changes if seq > after}
        return {"seq": self.seq, "whole": False, "hosts": [self.entries[host] for host in sorted(hosts)]}

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while message := await read_message(reader):
                self.calls += 1
                target = message.first_line[1]
                self._record.line("call", discovery=self.name, number=self.calls, target=target)
                if self.before_answer and await self.before_answer() is False:
                    await reader.read()  # nothing is said any more on this connection
                    break
                answer = await self._answer(target)
                writer.write(response(200, json.dumps(answer).encode()))
                await writer.drain()
                told = ",".join(f"{host['host']}:{host['health']}" for host in answer["hosts"])
                self._record.line("told", discovery=self.name, seq=answer["seq"], hosts=told or "-")
        writer.close()
        self._writers.discard(writer)


def service_class(name, effect, aim_ms, deadline_ms, credit):
    """One class of the settings."""
    return {
        "name": name,
        "effect": effect,
        "dedup-scope": "all",
        "dedup-window-ms": 5000.0,
        "on-time-ms": aim_ms,
        "give-up-ms": deadline_ms,
        "credit": credit,
        "late-value": 0.25,
        "stream": False,
    }


CLASSES = [
    service_class("track-fetch", "repeatable", 500.0, 1200.0, 2.0),
    service_class("rental-charge", "once", 600.0, 1500.0, 10.0),
    service_class("loan-return", "once", 750.0, 4000.0, 3.0),
    service_class("pass-issue", "once", 1000.0, 2000.0, 5.0),
]


def settings():
    """The settings of a small deployment, with the figures of BRIEF and WIRE."""
    return {
        "azs": ["a"],
        "my-zone": "a",
        "classes": CLASSES,
        "membership-mode": "on_request",
        "siblings": 1,
        "my-number": 0,
        "limits": {
            "max-attempts": 5,
            "parallel-tries": True,
            "may-cancel": True,
            "may-probe": False,
            "may-tell": False,
            "connect-timeout-ms": 250.0,
            "idle-close-ms": 60000.0,
            "max-retry-after-ms": 2000.0,
            "retry-after": True,
        },
        "rules": {
            "stop-sending-within-ms": 1500.0,
            "warm-within-ms": 24000.0,
            "cold-from": 0.12,
            "fall-multiple": 3.0,
            "fall-ms": 1000.0,
            "ask-within-ms": 10000.0,
            "grace-to-answer-ms": 20.0,
        },
    }


@dataclass
class Sidecar:
    """One sidecar, started with the deploy file's command `run`."""

    record: Record
    discovery: str
    known: dict
    limits: dict = field(default_factory=lambda: {"cores": 1.0, "memory_mb": 192, "sockets": 1024})
    folder: str = ""
    port: int = 0
    process: Any = None  # asyncio.subprocess.Process, once it is started

    @property
    def pid(self):
        """The process id of the program."""
        return self.process.pid

    def write_config(self, discovery):
        """Replaces the file of the configuration as a whole."""
        self.discovery = discovery
        config = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
            "known": self.known,
            "settings": settings(),
        }
        path = Path(self.folder, "config.json")
        Path(self.folder, "next.json").write_text(json.dumps(config), encoding="utf-8")
        os.replace(Path(self.folder, "next.json"), path)
        return path

    async def start(self):
        """Starts the program and waits until it is ready."""
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.port = free_port()
        path = self.write_config(self.discovery)
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": self.folder,
            "NODE_NAME": "n0",
            "NODE_LISTEN": f"{HOST}:{self.port}",
            "NODE_DISCOVERY": self.discovery,
            "NODE_CONFIG": str(path),
        }
        with open(Path(self.folder, "log"), "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", deploy_command("run"), cwd=ROOT, env=environment, stderr=log, stdout=log
            )
        await self._wait_until_ready()
        self.record.line("ready", sidecar="n0", pid=self.pid)

    async def _wait_until_ready(self):
        end = time.monotonic() + READY_S
        while time.monotonic() < end:
            if self.process.returncode is not None:
                raise CaseFailed("the sidecar has ended: " + self.log())
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                answer = await read_message(reader)
                writer.close()
                if answer and answer.first_line[1] == "200":
                    return
            await asyncio.sleep(0.1)
        raise CaseFailed("the sidecar is not ready after 30 s")

    def signal(self, number):
        """Sends a signal to the program."""
        self.record.line("signal", sidecar="n0", name=signal.Signals(number).name)
        self.process.send_signal(number)

    def log(self):
        """What the program has written to its log."""
        return Path(self.folder, "log").read_text(encoding="utf-8", errors="replace")

    async def stop(self):
        """Ends the program, at once if it still runs."""
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self.folder:
            shutil.rmtree(self.folder, ignore_errors=True)


@contextlib.asynccontextmanager
async def small_fleet(record, behaviours, **options):
    """Guide servers, one for each behaviour, discovery, and a sidecar. Yields the three and ends them."""
    servers = [GuideServer(f"s-{i}", record, behave) for i, behave in enumerate(behaviours)]
    for server in servers:
        await server.start()
    discovery = Discovery("A", record, [server.entry() for server in servers])
    await discovery.start()
    sidecar = Sidecar(record, discovery.address, discovery.whole(), **options)
    try:
        await sidecar.start()
        yield servers, discovery, sidecar
    finally:
        await sidecar.stop()
        for party in [discovery, *servers]:
            party.stop()


async def send_alone(record, port, message, name, patience_s):
    """Sends one request on a connection of its own, as a client does that waits for its answer. Returns the
    time of sending, the time of the answer's last byte and its status; None for no answer."""
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        record.line("unreachable", id=name)
        return record.now(), None, None
    writer.write(message)
    sent = record.line("sent", id=name)
    answer = None
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        answer = await asyncio.wait_for(read_message(reader), patience_s)
    writer.close()
    if answer is None:
        record.line("no-answer", id=name)
        return sent, None, None
    status = answer.first_line[1]
    return sent, record.line("answered", id=name, status=status), status


def deploy_command(key):
    """The command of the deploy file."""
    for line in (ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8").splitlines():
        name, _, value = line.partition("=")
        if name.strip() == key:
            return json.loads(value.strip())
    raise CaseFailed("the deploy file has no " + key)


async def _run(case, record, trouble):
    task = asyncio.ensure_future(asyncio.wait_for(case(record, trouble), LONGEST_S))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


def main(case):
    """Runs a case, the coroutine function `case(record, trouble)`, which returns whether the rule held and a
    sentence. Writes record.txt beside the case's script and exits as the case's run.sh has to."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(sys.argv[0]).resolve().parent / "record.txt")
    record.line("case", trouble=int(trouble))
    try:
        held, verdict = asyncio.run(_run(case, record, trouble))
        code = HELD if held else BROKEN
    except (Exception, asyncio.CancelledError) as error:  # pylint: disable=broad-exception-caught
        verdict, code = f"could not run: {type(error).__name__} {error}", NOT_RUN
    record.line("verdict", exit=code, text=verdict)
    record.close()
    print(verdict)
    sys.exit(code)
