"""The bad clients of this case: `bad_clients.py PORT COUNT SECONDS TAG`.

Each opens a connection, sends hundreds of requests at once, writes the next one slowly, reads whatever comes,
and begins again when that request is written or the connection has ended.
"""

import asyncio
import contextlib
import sys
import time

from stand import HOST, request

AT_ONCE = 380  # requests of about 195 bytes: under the 80 KiB that the sidecar keeps for a connection
PIECE_S = 0.02  # between two bytes of the next request


def _message(name):
    return request("loan-return", name, 4000, b'{"loan":1}')


async def _discard(reader):
    with contextlib.suppress(OSError):
        while await reader.read(65536):
            pass


async def _connection(port, name, end):
    reader, writer = await asyncio.open_connection(HOST, port)
    discarding = asyncio.ensure_future(_discard(reader))
    writer.write(b"".join(_message(f"{name}-{i}") for i in range(AT_ONCE)))
    for byte in _message(f"{name}-last"):
        if discarding.done() or time.monotonic() > end:
            break
        writer.write(bytes([byte]))
        await asyncio.sleep(PIECE_S)
    discarding.cancel()
    writer.close()


async def _client(port, name, end):
    turn = 0
    while time.monotonic() < end:
        turn += 1
        with contextlib.suppress(OSError):
            await _connection(port, f"{name}-{turn}", end)
        await asyncio.sleep(0.05)


async def _run(port, count, seconds, tag):
    end = time.monotonic() + seconds
    await asyncio.gather(*(_client(port, f"{tag}-{i}", end) for i in range(count)))


asyncio.run(_run(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]), sys.argv[4]))
