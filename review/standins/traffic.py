"""The application beside a sidecar: ordinary clients, each with one request at a time on a connection."""

import asyncio
import itertools
import random

from standins import wire

CLASSES = {  # of each class: its share of the requests, the client's time and the body
    "track-fetch": (0.37, 900, b""),
    "rental-charge": (0.32, 1100, b"c" * 212),
    "loan-return": (0.17, 2800, b"r" * 212),
    "pass-issue": (0.14, 1400, b"p" * 212),
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
        self.record.add("application", "sends", id=request_id, service_class=name)
        if self._idle and await self._exchange(self._idle.pop(), request_id, data, time_left_ms):
            return
        try:
            connection = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            self.record.add("application", "refused", id=request_id)
            return
        if not await self._exchange(connection, request_id, data, time_left_ms):
            self.record.add("application", "unanswered", id=request_id)

    async def _exchange(self, connection, request_id, data, time_left_ms):
        """False where the connection ends without an answer."""
        reader, writer = connection
        try:
            writer.write(data)
            reply = await asyncio.wait_for(wire.receive(reader), time_left_ms / 1000 + 0.6)
        except (OSError, wire.Malformed, asyncio.TimeoutError):
            reply = None
        if reply is None:
            writer.close()
            return False
        self.record.add(
            "application", "answered", id=request_id, status=reply.status, body=reply.body.decode()
        )
        if reply.headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            self._idle.append(connection)
        return True
