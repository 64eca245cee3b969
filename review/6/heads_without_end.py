"""Bad clients whose heads don't end, and a platform that kills a sidecar over its memory: see claim.txt."""

import asyncio
import contextlib
from pathlib import Path

from stand import HOST, main, request, response, send_alone, small_fleet

LIMITS = {"cores": 1.0, "memory_mb": 32, "sockets": 256}  # the least that DAYS has
BAD_CLIENTS = 120
# A head that is shorter than the 16 KiB a sidecar may well read, and of which the end never comes.
HEAD = b"GET /track-fetch?sid=7f3a9c21e0b4d655x HTTP/1.1\r\n" + b"a:\r\n" * 3900
CHECK_S = 0.02
KB_PER_MB = 1024


async def bad_client(port):
    """Sends a head that doesn't end and stays; begins again when it has been turned away."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(HEAD)
            await reader.read()
            writer.close()
        await asyncio.sleep(0.1)


class Platform:
    """Kills the sidecar when its own memory (RssAnon: neither its program's pages nor the kernel's) is over
    the limit."""

    def __init__(self, record, sidecar):
        self._record, self._sidecar = record, sidecar
        self.most_mb, self.killed = 0.0, False

    def _memory_mb(self):
        for line in Path(f"/proc/{self._sidecar.pid}/status").read_text(encoding="ascii").splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / KB_PER_MB
        return 0.0

    async def watch(self):
        """Checks until the sidecar has ended."""
        while self._sidecar.process.returncode is None:
            memory = self._memory_mb()
            if memory > self.most_mb + 1:
                self._record.line("memory", rss_anon_mb=f"{memory:.1f}")
            self.most_mb = max(self.most_mb, memory)
            if memory > LIMITS["memory_mb"]:
                self._record.line(
                    "killed-for-memory", rss_anon_mb=f"{memory:.1f}", limit_mb=LIMITS["memory_mb"]
                )
                self.killed = True
                self._sidecar.process.kill()
                await self._sidecar.process.wait()
            await asyncio.sleep(CHECK_S)


async def case(record, trouble):
    """Returns whether the sidecar stayed within its memory."""

    async def serve(_):
        await asyncio.sleep(0.1)
        return response(200, b"track")

    async with small_fleet(record, [serve] * 4, limits=LIMITS) as (_, _, sidecar):
        platform = Platform(record, sidecar)
        watching = asyncio.ensure_future(platform.watch())
        bad, sent = [], []
        for i in range(80):
            if i == 20 and trouble:
                record.line("bad-clients", count=BAD_CLIENTS)
                bad = [asyncio.ensure_future(bad_client(sidecar.port)) for _ in range(BAD_CLIENTS)]
            message = request("track-fetch", f"u{i}", 1200)
            sent.append(asyncio.ensure_future(send_alone(record, sidecar.port, message, f"u{i}", 3)))
            await asyncio.sleep(0.05)
        results = await asyncio.gather(*sent)
        for task in [watching, *bad]:
            task.cancel()
    lost = sum(1 for _, at, _ in results if at is None)
    text = f"at most {platform.most_mb:.1f} MB of {LIMITS['memory_mb']} MB"
    if platform.killed:
        text += f"; killed, {lost} of {len(results)} requests of usual clients got no answer"
    return not platform.killed, text


main(case)
