"""A fake discovery service with ports for each sidecar, so that it knows what each was notified of."""

import asyncio
import json
import time
import urllib.parse
from dataclasses import dataclass

from records import Span
from support import http1

SILENCE_S = 30.0  # longer than any client waits
FIRST_SEQUENCE = 40


@dataclass(eq=False)
class Watch:
    """An open request for changes."""

    sidecar: int
    silent: bool = False  # it is never answered


class FakeDiscovery:
    """Serves whole lists and watches, and injects outages, delays and silence.

    `omits_draining`: a whole list has only servers that take new requests.
    """

    def __init__(self, records, random, omits_draining=False):
        self.records, self.random, self.omits_draining = records, random, omits_draining
        self.sequence = FIRST_SEQUENCE
        self.down = False
        self.max_delay_s = 0.0  # of each answer
        self.overload_share = 0.0  # of requests get 503
        self._entries = {}  # server: its newest entry
        self._changed_at = {}  # server: the sequence number of its newest entry
        self._changed = asyncio.Condition()
        self._servers = []
        self._watches = set()
        self._writers = set()
        self._ports = {}  # sidecar: the ports that it may be configured with; only the first one answers
        self._unanswered = set()  # sidecars whose next request is not answered

    async def start(self, sidecars):
        """Listens on two free ports for each sidecar."""
        for sidecar in range(sidecars):
            self._ports[sidecar] = [await self._listen(sidecar), await self._listen(sidecar)]
            self.records.outages[sidecar] = []

    async def _listen(self, sidecar):
        port = None
        server = await asyncio.start_server(lambda r, w: self._serve(sidecar, port, r, w), "127.0.0.1", 0)
        self._servers.append(server)
        port = server.sockets[0].getsockname()[1]
        return port

    def port(self, sidecar):
        """The port at which a sidecar gets answers."""
        return self._ports[sidecar][0]

    def move(self, sidecar):
        """From now on a sidecar gets answers at its other port only."""
        self._ports[sidecar].reverse()
        for watch in self._watches:
            watch.silent |= watch.sidecar == sidecar

    def silence_next_request(self, sidecar):
        """The next request of a sidecar is not answered."""
        self._unanswered.add(sidecar)

    def silence_watches(self):
        """The watches that are open now are never answered."""
        for watch in self._watches:
            watch.silent = True
            self.records.silences.setdefault(watch.sidecar, []).append(time.monotonic())

    async def publish(self, entries):
        """Changes the list; every watch is answered."""
        self.sequence += 1
        for entry in entries:
            self._entries[entry["host"]] = entry
            self._changed_at[entry["host"]] = self.sequence
            if entry["health"] != "SERVING":
                self.records.closed.setdefault(entry["host"], time.monotonic())
        async with self._changed:
            self._changed.notify_all()

    def set_down(self, down):
        """While it is down, connections are reset and nothing is answered."""
        self.down = down
        now = time.monotonic()
        for outages in self.records.outages.values():
            if down:
                outages.append(Span(now))
            elif outages:
                outages[-1].end = now
        if down:
            for writer in list(self._writers):
                http1.abort(writer)

    def whole_list(self):
        """The entries of a whole list."""
        omitted = ("DELETED", "DRAINING") if self.omits_draining else ("DELETED",)
        return [entry for entry in self._entries.values() if entry["health"] not in omitted]

    def _changes_after(self, sequence):
        return [entry for name, entry in self._entries.items() if self._changed_at[name] > sequence]

    async def _serve(self, sidecar, port, reader, writer):
        self._writers.add(writer)
        try:
            while not self.down:
                message = await http1.read_message(reader)
                if message is None or self.down:
                    break
                if port != self.port(sidecar) or sidecar in self._unanswered:
                    self._unanswered.discard(sidecar)
                    await asyncio.sleep(SILENCE_S)
                    break
                if not await self._answer(sidecar, message, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            if self.down:
                http1.abort(writer)
            else:
                writer.close()

    async def _answer(self, sidecar, message, writer):
        """Whether the connection goes on."""
        if self.max_delay_s:
            await asyncio.sleep(self.random.uniform(0, self.max_delay_s))
        if self.down or writer.is_closing():
            return False
        if self.random.random() < self.overload_share:
            writer.write(http1.response(503))
            return True
        query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(message.target).query))
        after = int(query["after"]) if "after" in query else None
        if after == self.sequence and not await self._wait(sidecar, float(query.get("wait_ms", 0)) / 1000):
            return False
        if self.down or writer.is_closing():
            return False  # a sidecar counts as notified once its answer is written
        writer.write(http1.response(200, self._list_after(after)))
        self._record_notified(sidecar)
        await writer.drain()
        return True

    def _list_after(self, sequence):
        """The body of an answer: the whole list for None or a number that was never given out."""
        whole = sequence is None or sequence > self.sequence
        hosts = self.whole_list() if whole else self._changes_after(sequence)
        return json.dumps({"seq": self.sequence, "whole": whole, "hosts": hosts}).encode()

    def _record_notified(self, sidecar):
        now = time.monotonic()
        for name, entry in self._entries.items():
            if entry["health"] != "SERVING":
                self.records.notified.setdefault((sidecar, name), now)

    async def _wait(self, sidecar, seconds):
        """Waits for a change, at most so long; false where the watch has fallen silent."""
        watch, sequence = Watch(sidecar), self.sequence
        self._watches.add(watch)
        try:
            async with self._changed:
                changed = self._changed.wait_for(lambda: self.sequence != sequence and not watch.silent)
                await asyncio.wait_for(changed, seconds)
        except asyncio.TimeoutError:
            pass
        finally:
            self._watches.discard(watch)
        if watch.silent:
            await asyncio.sleep(SILENCE_S)
            return False
        return True
