"""Fake upstream servers that answer well or badly, each behind a fault proxy: sidecars dial the proxy."""

import asyncio
import time

from fault_proxy import FaultProxy
from records import Attempt
from support import http1

IDLE_CLOSE_S = 3.0
EARLY_IDLE_CLOSE_S = 0.3  # in mode close_idle
MEAN_WORK_S = 0.012
HANG_S = 5
RESET_AFTER_S = 0.005  # from a response's bytes to the reset, so that the bytes arrive
TRUNCATED_BYTES = 5
ENDLESS_LENGTH = 3_000_000_000
ENDLESS_PIECES, ENDLESS_PIECE_BYTES, ENDLESS_PIECE_EVERY_S = 40, 4096, 0.01
MAX_SECOND_ANSWER_DELAY_S = 0.008


class FakeUpstream:
    """Answers by its mode; each request draws from the run's random source whether the mode applies to it."""

    def __init__(self, name, records, random):
        self.name, self.records, self.random = name, records, random
        self.mode, self.mode_share = "ok", 0.0
        self.born, self.started_at = time.time(), time.monotonic()
        self.proxy = FaultProxy(self, random)
        self.port = 0
        self._server = None
        self._writers = set()
        # Each answers a request and returns whether the connection goes on.
        self._answers = {
            "ok": self._answer_well,
            "error": self._answer_error,
            "away": self._answer_away,
            "hang": self._answer_never,
            "reset": self._reset,
            "cut": self._answer_truncated,
            "no_length": self._answer_without_length,
            "no_length_reset": self._answer_without_length_and_reset,
            "twice": self._answer_twice,
            "endless": self._answer_endless,
            "close_idle": self._answer_well,
        }

    @property
    def failure_modes(self):
        """Every mode but the one that serves well."""
        return [mode for mode in self._answers if mode != "ok"]

    async def start(self):
        """Listens on a free port, and so does the proxy."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=http1.MAX_HEAD_BYTES)
        self.port = self._server.sockets[0].getsockname()[1]
        await self.proxy.start()

    def stop(self):
        """Like a process that dies: its connections are reset."""
        self._server.close()
        self.proxy.close()
        for writer in list(self._writers):
            http1.abort(writer)
        self.proxy.reset_all()

    def entry(self, health):
        """Its entry in discovery's list."""
        return {
            "host": self.name,
            "dial": f"127.0.0.1:{self.proxy.port}",
            "site": "a",
            "class": "m",
            "block": 0,
            "health": health,
            "share": 1.0,
            "born_ms": int(self.born * 1000),
        }

    def set_mode(self, mode, share):
        """From now on a share of the requests is answered by this mode, the others well."""
        self.mode, self.mode_share = mode, share

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                idle_s = EARLY_IDLE_CLOSE_S if self.mode == "close_idle" else IDLE_CLOSE_S
                message = await asyncio.wait_for(http1.read_message(reader), idle_s)
                if message is None or not await self._answer(message, writer):
                    break
        except (
            OSError,
            asyncio.TimeoutError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            ValueError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            if not writer.is_closing():
                writer.close()

    def _record(self, message):
        request = self.records.requests.get(message.headers.get("x-correlation-id", ""))
        if request is None:
            return None
        time_left = message.headers.get("x-time-left", "0u")
        attempt = Attempt(
            self.name,
            request.sidecar,
            message.first_byte_at,
            message.last_byte_at,
            float(time_left[:-1]) / (1000 if time_left[-1] == "u" else 1),
        )
        request.attempts.append(attempt)
        return attempt

    async def _answer(self, message, writer):
        """Whether the connection goes on."""
        if message.target == "/healthz":
            writer.write(http1.response(200))
            return True
        attempt = self._record(message)
        if attempt is None:
            writer.write(http1.response(400))
            return True
        mode = self.mode if self.random.random() < self.mode_share else "ok"
        body = f"{message.headers['x-correlation-id']} {self.name}".encode()
        return await self._answers[mode](attempt, body, writer)

    async def _work(self):
        await asyncio.sleep(self.random.expovariate(1 / MEAN_WORK_S))

    async def _answer_well(self, attempt, body, writer):
        await self._work()
        attempt.body = body
        writer.write(http1.response(200, body))
        await writer.drain()
        return True

    async def _answer_error(self, _attempt, _body, writer):
        writer.write(http1.response(500))
        return True

    async def _answer_away(self, attempt, _body, writer):
        """Says that the request did not run."""
        attempt.may_have_run = False
        writer.write(http1.response(503, headers="X-Unprocessed: 1\r\n"))
        return True

    async def _answer_never(self, _attempt, _body, _writer):
        await asyncio.sleep(HANG_S)
        return False

    async def _reset(self, _attempt, _body, writer):
        await self._work()
        http1.abort(writer)
        return False

    async def _answer_truncated(self, _attempt, body, writer):
        await self._work()
        writer.write(http1.response(200, body)[:-TRUNCATED_BYTES])
        await writer.drain()
        return False

    async def _answer_without_length(self, attempt, body, writer):
        """Whole where the connection ends."""
        await self._work()
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body)
        await writer.drain()
        attempt.body, attempt.no_length = body, True
        return False

    async def _answer_without_length_and_reset(self, attempt, body, writer):
        """Truncated, which only the reset shows."""
        await self._work()
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body[:-TRUNCATED_BYTES])
        await writer.drain()
        await asyncio.sleep(RESET_AFTER_S)
        http1.abort(writer)
        attempt.body = body
        return False

    async def _answer_endless(self, _attempt, _body, writer):
        await self._work()
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {ENDLESS_LENGTH}\r\n\r\n".encode())
        for _ in range(ENDLESS_PIECES):
            if writer.is_closing():
                break
            writer.write(b"x" * ENDLESS_PIECE_BYTES)
            await writer.drain()
            await asyncio.sleep(ENDLESS_PIECE_EVERY_S)
        return False

    async def _answer_twice(self, attempt, body, writer):
        """A second response that no request asked for."""
        await self._work()
        attempt.body = body
        writer.write(http1.response(200, body))
        await asyncio.sleep(self.random.uniform(0, MAX_SECOND_ANSWER_DELAY_S))
        if writer.is_closing():
            return False
        writer.write(http1.response(200, b"a second answer"))
        await writer.drain()
        return True
