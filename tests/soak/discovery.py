"""A stand-in for discovery with a port for each sidecar, so that what each was told is known."""
import asyncio
import json
import time

import http1
from records import Span

SILENCE_S = 30.0  # longer than anybody waits


class Discovery:
    """`leaves_out_draining`: a whole list names only servers that take something new."""

    def __init__(self, records, random, leaves_out_draining=False):
        self.records, self.random, self.leaves_out_draining = records, random, leaves_out_draining
        self.seq = 40
        self.entries = {}  # name: the newest entry
        self.changed_at = {}  # name: the version of its newest entry
        self.down = False
        self.slow_s = 0.0  # each answer takes up to this
        self.crowded = 0.0  # this share of calls gets 503
        self._news = asyncio.Condition()
        self._servers = []
        self._watches = {}
        self._writers = {}
        self._places = {}  # sidecar: the ports at which it may be told to ask; the first answers
        self._silent_calls = set()  # sidecars whose next call gets no answer

    async def start(self, sidecars):
        for i in range(sidecars):
            self._places[i] = [await self._listen(i), await self._listen(i)]
            self.records.outages[i] = []

    async def _listen(self, sidecar):
        port = None
        server = await asyncio.start_server(lambda r, w: self._serve(sidecar, port, r, w), "127.0.0.1", 0)
        self._servers.append(server)
        port = server.sockets[0].getsockname()[1]
        return port

    def port(self, sidecar):
        return self._places[sidecar][0]

    def move(self, sidecar):
        """From now on the sidecar is answered at another port, and at the one before it hears nothing."""
        self._places[sidecar].reverse()
        for watch in self._watches.values():
            watch["silent"] |= watch["sidecar"] == sidecar

    def silence_next_call(self, sidecar):
        self._silent_calls.add(sidecar)

    async def publish(self, entries):
        self.seq += 1
        for entry in entries:
            self.entries[entry["host"]] = entry
            self.changed_at[entry["host"]] = self.seq
            if entry["health"] != "SERVING":
                self.records.closed.setdefault(entry["host"], time.monotonic())
        async with self._news:
            self._news.notify_all()

    def set_down(self, down):
        self.down = down
        now = time.monotonic()
        for i in self.records.outages:
            if down:
                self.records.outages[i].append(Span(now))
            elif self.records.outages[i]:
                self.records.outages[i][-1].end = now
        if down:
            for writer in list(self._writers):
                http1.abort(writer)

    def silence(self):
        """The watches that are open get nothing any more."""
        for watch in self._watches.values():
            watch["silent"] = True
            self.records.silences.setdefault(watch["sidecar"], []).append(time.monotonic())

    def whole(self):
        left_out = ("DELETED", "DRAINING") if self.leaves_out_draining else ("DELETED",)
        return [e for e in self.entries.values() if e["health"] not in left_out]

    async def _serve(self, sidecar, port, reader, writer):
        self._writers[writer] = sidecar
        try:
            while not self.down:
                message = await http1.read_message(reader)
                if message is None or self.down:
                    break
                if port != self.port(sidecar) or sidecar in self._silent_calls:
                    self._silent_calls.discard(sidecar)
                    await asyncio.sleep(SILENCE_S)
                    break
                if not await self._answer(sidecar, message, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.pop(writer, None)
            http1.abort(writer) if self.down else writer.close()

    async def _answer(self, sidecar, message, writer):
        if self.slow_s:
            await asyncio.sleep(self.random.uniform(0, self.slow_s))
        if self.down or writer.is_closing():
            return False
        if self.random.random() < self.crowded:
            writer.write(http1.response(503))
            return True
        query = dict(part.split("=") for part in message.target.partition("?")[2].split("&") if part)
        after = int(query["after"]) if "after" in query else None
        if after == self.seq and not await self._watch(sidecar, float(query.get("wait_ms", 0)) / 1000):
            return False
        if self.down or writer.is_closing():
            return False  # a notice counts when it is written
        whole = after is None or after > self.seq
        hosts = self.whole() if whole else [e for n, e in self.entries.items() if self.changed_at[n] > after]
        body = json.dumps({"seq": self.seq, "whole": whole, "hosts": hosts}).encode()
        writer.write(http1.response(200, body))
        now = time.monotonic()
        open_names = {e["host"] for e in self.entries.values() if e["health"] == "SERVING"}
        for name in self.entries:
            if name not in open_names:
                self.records.notices.setdefault((sidecar, name), now)
        await writer.drain()
        return True

    async def _watch(self, sidecar, seconds):
        """Waits for news; false where the watch has fallen silent."""
        watch, seq = {"sidecar": sidecar, "silent": False}, self.seq
        self._watches[id(watch)] = watch
        try:
            async with self._news:
                await asyncio.wait_for(
                    self._news.wait_for(lambda: self.seq != seq and not watch["silent"]), seconds
                )
        except asyncio.TimeoutError:
            pass
        finally:
            self._watches.pop(id(watch), None)
        if watch["silent"]:
            await asyncio.sleep(SILENCE_S)
            return False
        return True
