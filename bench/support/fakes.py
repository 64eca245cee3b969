"""Fake servers and a fake discovery service for the benchmarks, on loopback in this process's event loop.

The fault soak has separate fakes (tests/soak), which inject faults and record events.
"""

import asyncio
import collections
import json
import random
import urllib.parse

from support import http1

FIRST_SEQUENCE = 41  # sequence number of the first endpoint list
_BACKLOG = 512


class FakeServers:
    """Fake servers, each on a separate port, that count the executions of each request."""

    def __init__(self, count, work_s=0.002):
        self.count, self.work_s = count, work_s
        self.executions = collections.Counter()  # by correlation id
        self.failing_ports = set()  # ports on which every request gets status 500
        self.ports = []
        self._servers = []

    async def start(self):
        """Listens on every port."""
        for _ in range(self.count):
            server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=_BACKLOG)
            self._servers.append(server)
            self.ports.append(server.sockets[0].getsockname()[1])

    async def _serve(self, reader, writer):
        try:
            while (message := await http1.read_message_or_none(reader)) is not None:
                await self._execute(message)
                if writer.get_extra_info("sockname")[1] in self.failing_ports:
                    writer.write(http1.response(500))
                    continue
                writer.write(http1.response(200, self.body(message)))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass  # the peer closed the connection, or the run ended
        finally:
            writer.close()

    def body(self, message):
        """The answer's body."""
        return message.target.encode()

    async def _execute(self, message):
        """Simulates the work of a request. Probes, which have no correlation id, take no time."""
        if "x-correlation-id" in message.headers:
            self.executions[message.headers["x-correlation-id"]] += 1
            await asyncio.sleep(self.work_s * random.uniform(0.5, 1.5))

    def hosts(self, listed):
        """The first `listed` entries of an endpoint list; several may share a port."""
        return [self._host(i) for i in range(listed)]

    def _host(self, number):
        return {
            "host": f"s-{number:03d}",
            "dial": f"127.0.0.1:{self.ports[number % self.count]}",
            "site": "a",
            "class": "m",
            "block": 0,
            "health": "SERVING",
            "share": 1.0,
            "born_ms": 0,
        }


class FakeDiscovery:
    """Serves the endpoint list; a watch gets its response on a change or when its wait expires."""

    def __init__(self, hosts):
        self.hosts, self.sequence = hosts, FIRST_SEQUENCE
        self.delay_s = 0.0  # before each response to a request for the complete list
        self.port = 0
        self._server = None
        self._changed = asyncio.Event()

    async def start(self):
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def publish(self, hosts):
        """Replaces the list; every watch gets the complete new list at once."""
        self.hosts, self.sequence = hosts, self.sequence + 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while (message := await http1.read_message_or_none(reader)) is not None:
                whole = await self._wait(message.target)
                listed = {"seq": self.sequence, "whole": whole, "hosts": self.hosts if whole else []}
                writer.write(http1.response(200, json.dumps(listed).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass  # the peer closed the connection, or the run ended
        finally:
            writer.close()

    async def _wait(self, target):
        """Waits until the response is due; returns whether the response contains the complete list."""
        query = urllib.parse.parse_qs(urllib.parse.urlsplit(target).query)
        if "after" not in query:
            await asyncio.sleep(self.delay_s)
            return True
        after = int(query["after"][0])
        if after >= self.sequence:
            try:
                await asyncio.wait_for(self._changed.wait(), int(query["wait_ms"][0]) / 1000)
            except asyncio.TimeoutError:
                pass
        return after != self.sequence
