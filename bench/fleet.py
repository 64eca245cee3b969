"""Stand-ins for the scenarios in this folder: servers, discovery and clients on loopback, and the real program.

Everything runs in one asyncio loop beside the sidecar's own process. Ports come from the kernel. Nothing is started that
is not ended again, and each scenario ends by itself.
"""

import asyncio
import json
import os
import random
import signal
import tempfile
import time


async def read_message(reader):
    """A whole HTTP message: its first line, its headers, its body. None where the connection has ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return lines[0], headers, body
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


def answer(status, body=b"", more=""):
    return f"HTTP/1.1 {status} X\r\n{more}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Servers:
    """Servers on their own ports, all in this loop; they remember how often each request ran."""

    def __init__(self, count, work_s=0.002):
        self.count, self.work_s = count, work_s
        self.runs = {}
        self.refuse = set()  # ports whose requests all fail
        self.ports = []
        self._servers = []

    async def start(self):
        for _ in range(self.count):
            server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
            self._servers.append(server)
            self.ports.append(server.sockets[0].getsockname()[1])

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                line, headers, _ = message
                if "x-correlation-id" in headers:
                    name = headers["x-correlation-id"]
                    self.runs[name] = self.runs.get(name, 0) + 1
                    await asyncio.sleep(self.work_s * random.uniform(0.5, 1.5))
                if writer.get_extra_info("sockname")[1] in self.refuse:
                    writer.write(answer(500))
                    continue
                writer.write(answer(200, line.split(" ")[1].encode() if " " in line else b""))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass  # the peer has left, or the scenario is over
        finally:
            writer.close()

    def hosts(self, listed):
        """So many entries for the list; several may share a port."""
        return [
            {
                "host": f"s-{i:03d}",
                "dial": f"127.0.0.1:{self.ports[i % self.count]}",
                "site": "a",
                "class": "m",
                "block": 0,
                "health": "SERVING",
                "share": 1.0,
                "born_ms": 0,
            }
            for i in range(listed)
        ]


class Discovery:
    """The list of servers; watches hold until their wait ends. It can be made to answer late or not at all."""

    def __init__(self, hosts):
        self.hosts, self.seq, self.delay_s = hosts, 41, 0.0
        self.calls = 0
        self._changed = asyncio.Event()

    def change(self, hosts):
        """Another list; whoever watches is told at once, with the whole of it."""
        self.hosts, self.seq = hosts, self.seq + 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                self.calls += 1
                target = message[0].split(" ")[1]
                whole = "after=" not in target
                if whole:
                    await asyncio.sleep(self.delay_s)
                else:
                    after = int(target.split("after=")[1].split("&")[0])
                    if after >= self.seq:
                        try:
                            await asyncio.wait_for(
                                self._changed.wait(), int(target.split("wait_ms=")[1]) / 1000
                            )
                        except asyncio.TimeoutError:
                            pass
                    whole = after != self.seq
                body = {"seq": self.seq, "whole": whole, "hosts": self.hosts if whole else []}
                writer.write(answer(200, json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass  # the peer has left, or the scenario is over
        finally:
            writer.close()


def free_port():
    import socket

    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Sidecar:
    """The real program, its configuration in a file of its own."""

    def __init__(self, program, config):
        self.program, self.config = program, config
        self.folder = tempfile.TemporaryDirectory(prefix="cobaltshift-bench-")
        self.path = os.path.join(self.folder.name, "config.json")
        self.log = os.path.join(self.folder.name, "log")
        self.port = int(config["listen"].rsplit(":", 1)[1])
        self.process = None
        self.write(config)

    def write(self, config):
        with open(self.path + ".new", "w") as f:
            json.dump(config, f)
        os.rename(self.path + ".new", self.path)

    async def start(self):
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                self.program, env={**os.environ, "NODE_CONFIG": self.path}, stderr=log
            )

    async def ready(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.process.returncode is not None:
                raise RuntimeError(
                    f"the sidecar ended with {self.process.returncode}: {open(self.log).read()}"
                )
            reply = await call(self.port, "GET", "/healthz")
            if reply and reply[0] == 200:
                return
            await asyncio.sleep(0.002)
        raise RuntimeError("the sidecar is not ready: " + open(self.log).read())

    def hup(self):
        self.process.send_signal(signal.SIGHUP)

    async def kill(self):
        self.process.kill()
        await self.process.wait()

    async def stop(self):
        if self.process.returncode is None:
            self.process.terminate()
            await self.process.wait()
        self.folder.cleanup()


async def call(port, method, target, body=b"", timeout=5):
    """One call on a connection of its own: status and body, or None."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), timeout)
    except (OSError, asyncio.TimeoutError):
        return None
    try:
        writer.write(
            f"{method} {target} HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body
        )
        message = await asyncio.wait_for(read_message(reader), timeout)
        return (int(message[0].split(" ")[1]), message[2]) if message else None
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        writer.close()


class Clients:
    """Clients that ask at an even rate, each on a connection that it keeps. An answer is served, refused, failed, or
    lost where none came."""

    CLASSES = [("listen", "GET"), ("deposit", "POST")]

    def __init__(self, port, count=20, per_s=400, seed=1, time_left_ms=2000):
        self.port, self.count, self.per_s, self.time_left_ms = port, count, per_s, time_left_ms
        self.random = random.Random(seed)
        self.asked = 0
        self.ended = {"served": 0, "refused": 0, "failed": 0, "lost": 0}
        self.wrong = 0  # a body that belongs to another request
        self.first_served = None
        self._stop = False

    async def run(self, seconds):
        await asyncio.gather(*(self._one(i, seconds) for i in range(self.count)))

    async def _one(self, number, seconds):
        start = time.monotonic()
        period = self.count / self.per_s
        next_at = start + period * self.random.random()
        connection = None
        while (now := time.monotonic()) < start + seconds:
            if now < next_at:
                await asyncio.sleep(next_at - now)
                continue
            next_at += period
            name, method = self.CLASSES[self.random.randrange(len(self.CLASSES))]
            connection = await self._ask(connection, name, method)
        if connection:
            connection[1].close()

    async def _ask(self, connection, name, method):
        self.asked += 1
        rid = f"{self.random.getrandbits(64):016x}"
        target = f"/{name}?sid={rid}"
        body = b"x" * 100 if method == "POST" else b""
        text = (
            f"{method} {target} HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: {rid}\r\nX-Service-Class: {name}\r\n"
            f"X-Time-Left: {self.time_left_ms}m\r\n"
            + (f"Content-Length: {len(body)}\r\n" if body else "")
            + "\r\n"
        ).encode() + body
        for fresh in [False, True] if connection else [True]:
            # A connection closed between requests is no loss: the request is sent once more on a new one.
            try:
                if fresh:
                    connection = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.port), 1)
                reader, writer = connection
                writer.write(text)
                reply = await asyncio.wait_for(read_message(reader), self.time_left_ms / 1000 + 0.5)
            except (OSError, asyncio.TimeoutError):
                reply = None
            if reply:
                break
            if connection:
                connection[1].close()
            connection = None
        if not reply:
            self.ended["lost"] += 1
            return None
        status = int(reply[0].split(" ")[1])
        if status == 200:
            self.ended["served"] += 1
            self.wrong += reply[2] != target.encode()
            if self.first_served is None:
                self.first_served = time.monotonic()
        else:
            self.ended["refused" if status in (429, 503) else "failed"] += 1
        if reply[1].get("connection", "").lower() == "close":
            connection[1].close()
            return None
        return connection


def a_config(discovery_port, hosts, peers=300):
    """A configuration of a large fleet's size, in the platform's form."""
    kind = lambda name, effect: {
        "name": name,
        "effect": effect,
        "on-time-ms": 500,
        "give-up-ms": 2000,
        "credit": 2,
    }
    own = free_port()
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": f"127.0.0.1:{discovery_port}",
        "seed": "1f",
        "limits": {"sockets": 1024, "memory_mb": 64},
        "peer_listen": f"127.0.0.1:{own}",
        "peers": [f"127.0.0.1:{own}"]
        + [f"127.0.9.{1 + i // 100}:{20000 + i % 100}" for i in range(peers - 1)],
        "known": {"seq": 41, "whole": True, "hosts": hosts},
        "cobaltshift": {"admin": {"listen": f"127.0.0.1:{free_port()}"}},
        "settings": {
            "classes": [kind("listen", "repeatable"), kind("deposit", "once")],
            "siblings": peers,
            "my-number": 0,
            "my-zone": "a",
            "azs": ["a", "b"],
            "limits": {
                "max-attempts": 5,
                "may-cancel": True,
                "may-probe": True,
                "may-tell": True,
                "connect-timeout-ms": 250,
                "idle-close-ms": 60000,
                "max-retry-after-ms": 2000,
            },
            "rules": {"cold-from": 0.12, "fall-multiple": 3, "warm-within-ms": 24000},
            "fees": {"cross-zone": 0.01, "probe": 0.01},
        },
    }


def metric(text, name):
    for line in text.decode().splitlines():
        if line.startswith("cobaltshift_" + name + " "):
            return float(line.rsplit(" ", 1)[1])
    raise KeyError(name)


def table(rows, columns):
    print("| " + " | ".join(columns) + " |")
    print("| " + " | ".join("---" for _ in columns) + " |")
    for row in rows:
        print("| " + " | ".join(str(row[c]) for c in columns) + " |")


def median(values):
    ordered = sorted(values)
    return ordered[len(ordered) // 2]
