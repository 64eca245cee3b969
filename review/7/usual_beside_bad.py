"""Usual clients beside bad ones that send hundreds of requests at once: see claim.txt."""

import asyncio
import contextlib
import sys
from pathlib import Path

from stand import main, request, response, send_alone, small_fleet

BAD_CLIENTS, BAD_PROCESSES = 340, 4
BAD_S = 12.0  # how long they go on
SERVERS, CORES, WORK_S = 6, 4, 0.15
LEFT_MS = 1200  # of the class
LATE_S = 0.5  # after its time, from then on a request is lost
SLACK_S = 0.05  # "each time limit 50 ms longer"


def guide_server():
    """A guide server that works on as many requests at once as it has cores; the others wait their turn."""
    cores = asyncio.Semaphore(CORES)

    async def serve(_):
        async with cores:
            await asyncio.sleep(WORK_S)
        return response(200, b"track")

    return serve


@contextlib.asynccontextmanager
async def bad_clients(port, trouble):
    """The bad clients, in processes of their own."""
    program = str(Path(__file__).with_name("bad_clients.py"))
    count = str(BAD_CLIENTS // BAD_PROCESSES)
    processes = []
    for i in range(BAD_PROCESSES if trouble else 0):
        arguments = [program, str(port), count, str(BAD_S), f"bad{i}"]
        processes.append(await asyncio.create_subprocess_exec(sys.executable, *arguments))
    try:
        yield
    finally:
        for process in processes:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()


async def case(record, trouble):
    """Returns whether every request of a usual client had its answer at most 0.5 s after its time."""
    async with small_fleet(record, [guide_server() for _ in range(SERVERS)]) as (_, _, sidecar):
        async with bad_clients(sidecar.port, trouble):
            await asyncio.sleep(2)
            sent = []
            for i in range(60):
                message = request("track-fetch", f"u{i}", LEFT_MS)
                sent.append(asyncio.ensure_future(send_alone(record, sidecar.port, message, f"u{i}", 8)))
                await asyncio.sleep(0.1)
            results = await asyncio.gather(*sent)
    limit = LEFT_MS / 1000 + LATE_S + SLACK_S
    waits = [at - start if at is not None else float("inf") for start, at, _ in results]
    late = [wait for wait in waits if wait > limit]
    text = f"{len(late)} of {len(waits)} requests of usual clients answered too late"
    return not late, f"{text}; the longest wait {max(waits):.2f} s, allowed {limit:.2f} s"


main(case)
