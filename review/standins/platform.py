"""The platform: discovery, guide servers, and the sidecar, which the deploy file's command starts."""

import asyncio
import contextlib
import json
import os
import pathlib
import re
import signal
import socket
import tempfile
import urllib.parse

from standins import wire

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
FIRST_SEQUENCE = 41


def free_port():
    """A TCP port on 127.0.0.1 that is free at this moment."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def deploy_command(key):
    """A command of deploy/balancer.toml."""
    text = (ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8")
    return re.search(rf'^{key} = "(.*)"$', text, re.MULTILINE).group(1)


class GuideServer:
    """A guide server. `serve(request, writer)` answers a request; it returns False to close the connection.

    By default a request takes `work_s` and gets 200 with a body that names the request.
    """

    def __init__(self, name, record, serve=None, work_s=0.05):
        self.name, self.record, self.work_s, self.port = name, record, work_s, 0
        self._serve_request = serve or self.serve_normally
        self._server = None

    async def start(self):
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=256)
        self.port = self._server.sockets[0].getsockname()[1]

    def entry(self, health="SERVING"):
        """The server's entry in discovery's list."""
        place = {"site": "hki-dc1", "class": "mid-4", "block": 0}
        return {
            "host": self.name,
            "dial": f"127.0.0.1:{self.port}",
            **place,
            "health": health,
            "share": 1.0,
            "born_ms": 0,
        }

    async def serve_normally(self, request, writer):
        """Answers with 200 after the work."""
        await asyncio.sleep(self.work_s)
        writer.write(wire.answer(200, body_for(request.headers["x-correlation-id"])))
        return True

    async def _serve(self, reader, writer):
        try:
            while (request := await wire.receive(reader)) is not None:
                if not await self._serve_one(request, writer):
                    break
                await writer.drain()
        except (wire.Malformed, ConnectionError, asyncio.CancelledError):
            pass  # the sidecar has abandoned the attempt
        finally:
            writer.close()

    async def _serve_one(self, request, writer):
        request_id = request.headers.get("x-correlation-id")
        if request_id is None:
            writer.write(wire.answer(404))
            return True
        self.record.add(self.name, "arrives", id=request_id, body_bytes=len(request.body))
        return await self._serve_request(request, writer)


def hold_back_small_writes(writer):
    """Gives a socket the default, which asyncio changes: a small write may wait for an acknowledgement."""
    writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)


def body_for(request_id):
    """The body of the answer that a guide server makes for a request."""
    return f"answer for {request_id}".encode()


class Discovery:
    """Serves the list of guide servers; a watch is answered when its wait is over or the list changes."""

    def __init__(self, servers):
        self.servers, self.port = servers, 0
        self._server = None

    async def start(self):
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def listing(self, whole=True):
        """The list, or the empty set of changes."""
        hosts = [server.entry() for server in self.servers] if whole else []
        return {"seq": FIRST_SEQUENCE, "whole": whole, "hosts": hosts}

    async def _serve(self, reader, writer):
        try:
            while (call := await wire.receive(reader)) is not None:
                query = urllib.parse.parse_qs(urllib.parse.urlsplit(call.path).query)
                watch = "after" in query and int(query["after"][0]) >= FIRST_SEQUENCE
                if watch:
                    await asyncio.sleep(int(query["wait_ms"][0]) / 1000)
                writer.write(wire.answer(200, json.dumps(self.listing(not watch)).encode()))
                await writer.drain()
        except (wire.Malformed, ConnectionError, asyncio.CancelledError):
            pass  # the sidecar has gone
        finally:
            writer.close()


def _service_class(name, effect, on_time_ms, give_up_ms, credit):
    return {
        "name": name,
        "effect": effect,
        "on-time-ms": on_time_ms,
        "give-up-ms": give_up_ms,
        "credit": credit,
        "dedup-scope": "all",
        "dedup-window-ms": 5000.0,
        "late-value": 0.25,
        "stream": False,
    }


def settings():
    """The settings of the deployment guide-helsinki, as in the example of the page WIRE."""
    return {
        "classes": [
            _service_class("track-fetch", "repeatable", 500, 1200, 2),
            _service_class("rental-charge", "once", 600, 1500, 10),
            _service_class("loan-return", "once", 750, 4000, 3),
            _service_class("pass-issue", "once", 1000, 2000, 5),
        ],
        "azs": ["hki-dc1"],
        "my-zone": "hki-dc1",
        "my-number": 0,
        "siblings": 1,
        "membership-mode": "on_request",
        "limits": {
            **dict.fromkeys(["may-cancel", "may-probe", "may-tell", "parallel-tries", "retry-after"], True),
            "connect-timeout-ms": 250.0,
            "idle-close-ms": 60000.0,
            "max-attempts": 5,
            "max-retry-after-ms": 2000.0,
        },
        "rules": {
            "ask-within-ms": 10000.0,
            "cold-from": 0.12,
            "fall-ms": 1000.0,
            "fall-multiple": 3.0,
            "grace-to-answer-ms": 20.0,
            "stop-sending-within-ms": 1500.0,
            "warm-within-ms": 24000.0,
        },
        "fees": {"cross-zone": 0.0, "probe": 0.01},
    }


class Sidecar:
    """One sidecar, started with the deploy file's `run` from the repository's root."""

    def __init__(self, record, discovery, sockets):
        self.record, self.port = record, free_port()
        self._folder = tempfile.TemporaryDirectory(prefix="review-")  # pylint: disable=consider-using-with
        self._config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": sockets},
            "known": discovery.listing(),
            "settings": settings(),
        }
        self.process = None

    async def start(self):
        """Starts the process and waits until GET /healthz answers 200."""
        folder = pathlib.Path(self._folder.name)
        path = folder / "config.json"
        path.write_text(json.dumps(self._config), encoding="utf-8")
        temporary = folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environment = {
            **os.environ,
            "NODE_NAME": self._config["name"],
            "NODE_LISTEN": self._config["listen"],
            "NODE_DISCOVERY": self._config["discovery"],
            "NODE_CONFIG": str(path),
            "TMPDIR": str(temporary),
        }
        with open(folder / "log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", deploy_command("run"), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        for _ in range(200):
            if await self._is_ready():
                self.record.add("sidecar", "ready", pid=self.process.pid)
                return
            await asyncio.sleep(0.05)
        raise RuntimeError("the sidecar did not become ready: " + (folder / "log").read_text("utf-8"))

    async def _is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return False
        try:
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
            health = await wire.receive(reader)
            return health is not None and health.status == 200
        except (wire.Malformed, OSError):
            return False
        finally:
            writer.close()

    def send_signal(self, number):
        """Sends a signal to the program that `run` started."""
        self.record.add("operator", "signal", name=signal.Signals(number).name)
        self.process.send_signal(number)

    async def wait(self, timeout_s):
        """Waits for the end of the process; its exit code, or None if it still runs."""
        try:
            code = await asyncio.wait_for(self.process.wait(), timeout_s)
        except asyncio.TimeoutError:
            return None
        self.record.add("sidecar", "ended", code=code)
        return code

    def log(self):
        """The text of the sidecar's log."""
        return (pathlib.Path(self._folder.name) / "log").read_text("utf-8")

    async def close(self):
        """Kills the process if it still runs and removes its folder."""
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self._folder.cleanup()


@contextlib.asynccontextmanager
async def deployment(record, serve, servers, sockets=512):
    """A small deployment: guide servers that answer by `serve`, discovery, and one ready sidecar.

    The sidecar may hold `sockets` descriptors.
    """
    running = [GuideServer(f"s-{i}", record, serve) for i in range(servers)]
    for server in running:
        await server.start()
    discovery = Discovery(running)
    await discovery.start()
    sidecar = Sidecar(record, discovery, sockets)
    try:
        await sidecar.start()
        yield sidecar
    finally:
        await sidecar.close()
