"""The application beside a sidecar: ordinary clients, each with one request at a time on a connection."""

import asyncio
import itertools
import random

from standins import wire

PATIENCE_S = 3  # behind a request's time, so that an answer that comes too late is seen

CLASSES = {  # of each class: its share of the requests, the client's time and the body
    "track-fetch": (0.37, 700, b""),
    "rental-charge": (0.32, 900, b"c" * 212),
    "loan-return": (0.17, 2200, b"r" * 212),
    "pass-issue": (0.14, 1100, b"p" * 212),
}


class Application:
    """Sends requests at random moments, keeps its connections and opens more when every one is busy."""

    def __init__(self, record, port, per_s, seed):
        self.record, self.port, self.per_s = record, port, per_s
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self._idle = []
        self._tasks = set()

    async def run(self, seconds):
        """Sends for this long, then waits for the answers that are still due."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            await asyncio.sleep(self._random.expovariate(self.per_s))
            task = loop.create_task(self._ask())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self._tasks:
            await asyncio.wait(list(self._tasks))
        for _, writer in self._idle:
            writer.close()

    async def _ask(self):
        names = list(CLASSES)
        name = self._random.choices(names, [CLASSES[each][0] for each in names])[0]
        _, time_left_ms, body = CLASSES[name]
        request_id = f"app-{next(self._numbers):05d}"
        data = wire.request(name, request_id, time_left_ms, body)
        self.record.add("application", "asks", id=request_id, service_class=name)
        sent = {"id": request_id, "time_left_ms": time_left_ms}
        # Where the sidecar closes a kept connection, the request is sent once more on a new one.
        if self._idle and await self._exchange(self._idle.pop(), sent, data):
            return
        try:
            connection = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            self.record.add("application", "not connected", id=request_id)
            return
        await self._exchange(connection, sent, data)

    async def _exchange(self, connection, sent, data):
        """False where the sidecar closes the connection without an answer."""
        reader, writer = connection
        self.record.add("application", "sends", **sent)
        reply = None
        try:
            writer.write(data)
            reply = await asyncio.wait_for(wire.receive(reader), sent["time_left_ms"] / 1000 + PATIENCE_S)
        except asyncio.TimeoutError:
            writer.close()
            self.record.add("application", "gives up", id=sent["id"])
            return True
        except (OSError, wire.Malformed):
            pass  # closed
        if reply is None:
            writer.close()
            self.record.add("application", "was closed", id=sent["id"])
            return False
        details = {"status": reply.status, "body": reply.body.decode()}
        self.record.add("application", "answered", id=sent["id"], **details)
        if reply.headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            self._idle.append(connection)
        return True
